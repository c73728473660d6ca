/* Forward: sends requests through another VM while this one has no path to the
   upstreams.

   The other VM gets them at its listener of callers, with the key, and admits,
   queues and sends them like those of its own callers.  Its responses carry
   the signature of the upstream; a response without one is its own, and a
   refusal among these is as true as towards a caller.  A forwarded request is
   not forwarded again.  */
#include "gw_internal.h"

/* Field of a forwarded request; the value is the name of the VM.  */
#define _GW_FORWARD_FIELD ST_LIT ("Dotterelbend-Forwarded-By")
/* Time that a forwarded request needs to this VM and back; the other VM has so
   much less, and responds before the caller's deadline.  */
#define _GW_FORWARD_HOP_US 40000
/* Most requests that a VM has open for others at a time: several times what a
   small VM has for its own callers.  */
#define _GW_FORWARDED_MAX 128
/* Cost of a VM in another region, in requests that a VM has open: traffic
   between regions costs the most.  */
#define _GW_OTHER_REGION_REQUESTS 8
/* Retry-After where the other VM did not say.  */
#define _GW_FORWARD_RETRY_AFTER_US (300 * CK_MS_US)
#define _GW_FORWARD_RETRY_AFTER_MAX_US (60 * CK_S_US)

/* True when the VM of P reports a path to the upstreams and accepts
   requests.  */
bool
_gw_has_path (const gw_task *gw, const _gw_peer *p)
{
  return p->key != 0 && p->scope == MS_LOAD_VM && p->ready && !p->no_path
         && gw->now_us - p->report_received_us < _GW_REPORT_TIMEOUT_US;
}

/* True when NAME is that of the field of forwarded requests.  */
bool
_gw_is_forward_field (st_str name)
{
  return hp_name_equal (name, _GW_FORWARD_FIELD);
}

/* Reads from HEAD whether R comes from another VM, and the key of its
   caller.  */
void
_gw_read_forwarded (_gw_request *r, const hp_head *head)
{
  st_str value;
  r->was_forwarded = hp_get (head, _GW_FORWARD_FIELD, &value);
  r->gw->forwarded_count += r->was_forwarded;
  if (hp_get (head, ST_LIT ("Authorization"), &value))
    g_string_append_len (r->key, value.ptr, (gssize)value.len);
}

/* Refuses R, which another VM has forwarded, when this one is of no use for
   it; true when it did.  */
bool
_gw_refuse_forwarded (_gw_request *r)
{
  const gw_task *gw = r->gw;
  if (!r->was_forwarded
      || (!gw->path.lost && gw->forwarded_count <= _GW_FORWARDED_MAX))
    return false;
  _gw_refuse (r, 503, gw->path.lost ? "no_path" : "too_many_forwarded",
              _GW_FORWARD_RETRY_AFTER_US);
  return true;
}

static bool
_gw_was_forwarded_to (const _gw_request *r, uint64_t key)
{
  for (uint32_t i = 0; i < r->forward_count; i++)
    if (r->forwarded_to[i] == key)
      return true;
  return false;
}

/* Load of P, the VM of RECORD, in requests.  */
static uint32_t
_gw_vm_cost (const gw_task *gw, const _gw_peer *p, const mb_record *record)
{
  uint32_t cost = p->running + p->forwarded;
  if (!st_equal (record->region, gw->desc.region))
    cost += _GW_OTHER_REGION_REQUESTS;
  return cost;
}

/* A random VM with a path that R has not been forwarded to, other than EXCEPT;
   NULL when there is none, else RECORD is its member.  */
static _gw_peer *
_gw_draw_vm (_gw_request *r, const _gw_peer *except, mb_record *record)
{
  gw_task *gw = r->gw;
  _gw_peer *drawn = NULL;
  uint32_t seen = 0;
  uint32_t cursor = 0;
  mb_record member;
  while (mb_query_member (pe_query_members (gw->peers), &cursor, &member))
    {
      _gw_peer *p = _gw_find_peer (gw, ut_hash (member.incarnation));
      if (member.state != MB_ALIVE || p == NULL || p == except
          || !_gw_has_path (gw, p) || _gw_was_forwarded_to (r, p->key)
          || _gw_random (gw) % ++seen != 0)
        continue;
      drawn = p;
      *record = member;
    }
  return drawn;
}

/* The VM with a path that R is forwarded to: the less loaded of two that are
   drawn at random, so that VMs with the same reports do not all choose the
   same one.  NULL when there is none, else RECORD is its member.  */
static _gw_peer *
_gw_choose_vm (_gw_request *r, mb_record *record)
{
  const gw_task *gw = r->gw;
  mb_record other_record = { 0 };
  _gw_peer *p = _gw_draw_vm (r, NULL, record);
  _gw_peer *other = p != NULL ? _gw_draw_vm (r, p, &other_record) : NULL;
  if (other == NULL
      || _gw_vm_cost (gw, p, record) <= _gw_vm_cost (gw, other, &other_record))
    return p;
  *record = other_record;
  return other;
}

/* Returns the head of R's request to another VM.  The caller frees it.  */
static GString *
_gw_write_forward_head (const _gw_request *r)
{
  const gw_task *gw = r->gw;
  uint64_t left_us = r->end_us > gw->now_us ? r->end_us - gw->now_us : 0;
  GString *head = g_string_sized_new (r->head->len + r->key->len + 256);
  g_string_append_len (head, r->head->str, (gssize)r->head->len);
  _gw_write_attempt_fields (r, head,
                            left_us > 2 * _GW_FORWARD_HOP_US
                                ? left_us - _GW_FORWARD_HOP_US
                                : left_us / 2);
  if (r->key->len > 0)
    g_string_append_printf (head, "Authorization: %s\r\n", r->key->str);
  g_string_append_printf (head, "%s: %.*s\r\n\r\n", _GW_FORWARD_FIELD.ptr,
                          ST_FMT (gw->desc.vm_name));
  return head;
}

/* Sends R, which is in no queue, through another VM; false when this VM has a
   path to the upstreams, or no other one has.  */
bool
_gw_forward (_gw_request *r)
{
  gw_task *gw = r->gw;
  mb_record record = { 0 };
  if (!gw->path.lost || gw->peers == NULL || r->was_forwarded
      || r->forward_count == _GW_FORWARDS_MAX)
    return false;
  _gw_peer *p = _gw_choose_vm (r, &record);
  if (p == NULL)
    return false;
  char instance[ST_NAME_MAX + 1];
  snprintf (instance, sizeof instance, "vm/%.*s",
            (int)MIN (record.name.len, ST_NAME_MAX - 3), record.name.ptr);
  /* The other VM charges the team's quota.  */
  _gw_release_quota (r);
  r->quota_due = r->team != NULL && !r->budget_counted;
  _gw_start_attempt (r);
  r->is_forwarded = true;
  r->upstream = (ut_id){ 0, 0 };
  st_name_set (&r->upstream_id, st_from_cstr (instance));
  r->prefill_tokens = 0;
  r->vm_retry_after_us = 0;
  r->forwarded_to[r->forward_count++] = p->key;
  p->forwarded++;
  _gw_send_attempt (r, record.callers_address, _gw_write_forward_head (r));
  LO_EVENT (
      "forward", st_name_str (&r->id), LO_STR ("vm", record.name),
      LO_INT ("vm_running", p->running), LO_INT ("forwarded", p->forwarded),
      LO_INT ("waited_ms", (gw->now_us - r->demand.arrived_us) / CK_MS_US),
      LO_INT ("send", r->attempt_count), LO_INT ("events", r->events));
  if (r->exchange == NULL)
    {
      _gw_end_exchange (r, UT_UNREACHABLE);
      _gw_retry (r, false, false, "no_connection");
    }
  return true;
}

/* Forwards what waits for an upstream, if this VM has no path to any.  */
void
_gw_forward_waiting (gw_task *gw)
{
  if (!_gw_is_cut_off (gw))
    return;
  for (uint32_t i = 0; i < gw->used; i++)
    {
      _gw_request *r = &gw->requests[i];
      if (r->state != _GW_QUEUED || r->was_forwarded
          || r->forward_count == _GW_FORWARDS_MAX
          || (r->retry_due && !_gw_take_retry (r)))
        continue;
      r->retry_due = false;
      _gw_dequeue (r);
      _gw_requeue (r);
    }
}

/* Reads what the other VM says in HEAD, of a response of its own, about a
   further attempt.  */
void
_gw_on_forward_head (_gw_request *r, const hp_head *head)
{
  st_str value;
  if (!hp_get (head, ST_LIT ("Retry-After"), &value)
      || !rt_parse_retry_after (value, _GW_FORWARD_RETRY_AFTER_MAX_US,
                                &r->vm_retry_after_us))
    r->vm_retry_after_us = _GW_FORWARD_RETRY_AFTER_US;
}

/* The exchange of R with another VM has ended.  */
void
_gw_end_forward (_gw_request *r)
{
  _gw_peer *p
      = r->forward_count > 0
            ? _gw_find_peer (r->gw, r->forwarded_to[r->forward_count - 1])
            : NULL;
  if (p != NULL && p->forwarded > 0)
    p->forwarded--;
}

/* True when the other VM refused R for what concerns that VM alone.  */
static bool
_gw_is_refusal_of_vm (const _gw_request *r)
{
  static const char *const reasons[]
      = { "no_path", "too_many_forwarded", "too_many_requests", "vm_leaving",
          "no_configuration_yet" };
  st_str body = { r->response_body->str, r->response_body->len };
  for (size_t i = 0; i < sizeof reasons / sizeof *reasons; i++)
    if (st_equal_cstr (body, reasons[i]))
      return true;
  return false;
}

/* Handles a response of the other VM itself, not of an upstream: that R has
   not run, or that it may have.  */
void
_gw_on_forward_refused (_gw_request *r)
{
  int status = r->status;
  bool not_run = status == 503 || (status >= 400 && status < 500);
  LO_EVENT ("forward_refused", st_name_str (&r->id),
            LO_STR ("vm", st_name_str (&r->upstream_id)),
            LO_INT ("status", status),
            LO_STR ("reason",
                    ((st_str){ r->response_body->str,
                               MIN (r->response_body->len, ST_NAME_MAX) })));
  _gw_end_exchange (r, not_run ? UT_REFUSED : UT_FAILED);
  if (!not_run)
    {
      r->runs++;
      _gw_fail (r, status == 504 ? 504 : 502, "failed_at_vm");
    }
  else if (status == 503 && (_gw_is_refusal_of_vm (r) || r->events > 0))
    _gw_retry (r, false, false, "refused_by_vm");
  else if (status == 429)
    _gw_refuse (r, 429, "over_quota", r->vm_retry_after_us);
  else
    /* With another status its configuration differs from this VM's.  */
    _gw_refuse (r, 503, "refused_by_vm", r->vm_retry_after_us);
}
