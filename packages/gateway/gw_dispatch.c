/* Dispatch: one sending of a request to an upstream, and what its answer
   means.  */
#include "gw_internal.h"

#include <inttypes.h>
#include <string.h>

/* With less time left another sending is of no use.  */
#define _GW_SEND_MIN_US 20000
/* An upstream that said it is full, or that is another one than expected, is
   left out for this long.  */
#define _GW_FULL_PAUSE_US 100000
#define _GW_OTHER_PAUSE_US 5000000
/* Longest whole answer.  */
#define _GW_ANSWER_MAX_BYTES (8 * 1024 * 1024)
#define _GW_SERVICE_WEIGHT 0.05
/* Part of the budget of repeats that the active VMs share; the rest is for
   callers that come to others, as they do when active ones end.  */
#define _GW_ACTIVE_PART 0.8

static const st_str _gw_answer_drop[] = {
  { "Connection", 10 },       { "Keep-Alive", 10 },
  { "Proxy-Connection", 16 }, { "Transfer-Encoding", 17 },
  { "Content-Length", 14 },   { "Trailer", 7 },
  { "Upgrade", 7 },
};

/* The fixed part of the budget is split among all VMs; the active ones have
   more use for it.  */
static bu_terms
_gw_terms (const gw_task *gw)
{
  const _gw_cell *c = &gw->cell;
  bu_terms terms = { .ratio = gw->desc.bounds.repeat_share,
                     .fixed = gw->desc.bounds.repeat_fixed,
                     .window_us = gw->desc.bounds.repeat_window_ms * CK_MS_US,
                     .vms = gw_query_vm_count (gw) };
  uint32_t standby = terms.vms - c->active_count;
  if (c->cell == 0 || standby == 0)
    return terms;
  terms.vms = c->active ? c->active_count : standby;
  terms.fixed *= c->active ? _GW_ACTIVE_PART : 1 - _GW_ACTIVE_PART;
  return terms;
}

/* Takes one repeat of R from the budget that the VMs share.  */
bool
_gw_take_repeat (_gw_request *r)
{
  bu_terms terms = _gw_terms (r->gw);
  return bu_take_retry (&_gw_service_of (r)->repeats, &terms, r->gw->now_us);
}

static void _gw_on_exchange (void *user, const uc_event *event);

/* Appends the fields that differ for each sending, and the body.  */
static GString *
_gw_write_request (const _gw_request *r)
{
  const gw_names *names = r->gw->desc.names;
  uint64_t left_us = r->end_us - r->gw->now_us;
  uint64_t left_ms = left_us / CK_MS_US;
  GString *bytes = g_string_sized_new (r->head->len + r->body->len + 256);
  g_string_append_len (bytes, r->head->str, (gssize)r->head->len);
  g_string_append_printf (
      bytes, "%.*s: %" PRIu64 "\r\n%.*s: %.*s\r\n",
      ST_FMT (names->deadline_ms), left_ms > 0 ? left_ms : 1,
      ST_FMT (names->expect_instance), ST_FMT (st_name_str (&r->upstream_id)));
  if (r->has_last_event)
    g_string_append_printf (bytes, "%.*s: %" PRIu64 "\r\n",
                            ST_FMT (names->resume_after), r->last_event);
  g_string_append (bytes, "\r\n");
  g_string_append_len (bytes, r->body->str, (gssize)r->body->len);
  return bytes;
}

/* Sends R to TO.  */
void
_gw_dispatch (_gw_request *r, ut_id to)
{
  gw_task *gw = r->gw;
  bu_terms terms = _gw_terms (gw);
  const ut_upstream *up = ut_query (gw->upstreams, to);
  if (!r->counted)
    bu_count_request (&_gw_service_of (r)->repeats, &terms, gw->now_us);
  r->counted = true;
  /* Sent again, it may wait anew.  */
  r->demand.rank = gq_queue_rank (&r->demand, GQ_WAIT);
  r->demand.waited_as_late = false;
  r->state = r->events > 0 ? _GW_RELAYING : _GW_SENT;
  r->upstream = to;
  r->upstream_id = up->entry.id;
  r->unread_tokens = r->demand.prompt_tokens;
  r->sent_us = gw->now_us;
  r->last_event_us = 0;
  r->sends++;
  r->status = 0;
  r->is_stream = false;
  g_string_truncate (r->answer, 0);
  LO_EVENT (
      "dispatch", st_name_str (&r->id),
      LO_STR ("upstream", st_name_str (&r->upstream_id)),
      LO_INT ("waited_ms", (gw->now_us - r->demand.arrived_us) / CK_MS_US),
      LO_INT ("own_running", up->own_running),
      LO_INT ("peer_running", up->peer_running),
      LO_INT ("reports_age_ms", _gw_reports_age_us (gw) / CK_MS_US),
      LO_INT ("slots", up->entry.slots), LO_INT ("send", r->sends));
  ut_on_sent (gw->upstreams, to, r->unread_tokens);
  GString *bytes = _gw_write_request (r);
  r->exchange = uc_send (
      gw->pool, &(uc_request){ .address = st_name_str (&up->entry.address),
                               .instance = st_name_str (&r->upstream_id),
                               .request_id = st_name_str (&r->id),
                               .bytes = { bytes->str, bytes->len },
                               .on_event = _gw_on_exchange,
                               .user = r });
  g_string_free (bytes, TRUE);
  _gw_load_changed (gw);
  if (r->exchange == NULL)
    {
      _gw_end_exchange (r, UT_UNREACHABLE);
      _gw_retry (r, false, false, "no_connection");
    }
}

/* Accounts for the end of R's exchange at its upstream.  */
void
_gw_end_exchange (_gw_request *r, ut_outcome outcome)
{
  gw_task *gw = r->gw;
  ut_on_end (gw->upstreams, r->upstream, r->unread_tokens, outcome,
             gw->now_us);
  r->unread_tokens = 0;
  r->exchange = NULL;
  _gw_load_changed (gw);
}

/* Why R may not be sent once more, given that RUNS sendings may have run;
   NULL when it may, and one repeat has then been taken from the budget.  */
static const char *
_gw_repeat_denied (_gw_request *r, uint32_t runs, uint32_t arrivals)
{
  if (runs > 0 && (!r->repeatable || runs >= r->route->attempts))
    return "may_have_run";
  if (r->sends >= (r->events > 0 ? _GW_SENDS_MAX_BEGUN : _GW_SENDS_MAX))
    return "sends_used_up";
  if (r->gw->now_us + _GW_SEND_MIN_US >= r->end_us)
    return "no_time_left";
  if (arrivals > 0 && !_gw_take_repeat (r))
    {
      /* A stream that has begun waits for the budget: its caller bears a
         pause, and what it has got is lost otherwise.  */
      r->repeat_due = r->events > 0;
      return r->repeat_due ? NULL : "repeat_budget_used_up";
    }
  return NULL;
}

static void
_gw_log_repeat (const _gw_request *r, bool may_have_run, const char *reason,
                const char *denied)
{
  LO_EVENT ("repeat", st_name_str (&r->id), LO_CSTR ("reason", reason),
            LO_STR ("upstream", st_name_str (&r->upstream_id)),
            LO_BOOL ("may_have_run", may_have_run),
            LO_CSTR ("denied", denied != NULL ? denied : ""),
            LO_INT ("events", r->events));
}

static void
_gw_note_tried (_gw_request *r, bool arrived, bool may_have_run)
{
  r->runs += may_have_run;
  r->arrivals += arrived;
  if (r->demand.tried_count < GQ_TRIED_MAX)
    r->demand.tried[r->demand.tried_count++] = r->upstream;
}

/* A sending of R came to nothing: sends it again where that is allowed, else
   ends it.  */
void
_gw_retry (_gw_request *r, bool arrived, bool may_have_run, const char *reason)
{
  _gw_note_tried (r, arrived, may_have_run);
  const char *denied = _gw_repeat_denied (r, r->runs, r->arrivals);
  _gw_log_repeat (r, may_have_run, reason, denied);
  if (denied == NULL)
    _gw_requeue (r);
  else if (r->runs == 0)
    _gw_refuse (r, 503, reason, 300 * CK_MS_US);
  else
    _gw_fail (r, 502, reason);
}

static void
_gw_take_head (_gw_request *r, const hp_head *head)
{
  const gw_names *names = r->gw->desc.names;
  st_str value;
  r->status = head->status;
  r->is_signed = hp_get (head, names->signature, &value) && value.len > 0;
  r->not_run = head->status == 421 || hp_get (head, names->not_run, &value);
  r->encoded = hp_get (head, ST_LIT ("Content-Encoding"), &value)
               && !hp_name_equal (value, ST_LIT ("identity"));
  r->is_stream = r->route->kind == RC_STREAM && head->status == 200
                 && r->is_signed && !r->encoded && !r->not_run;
  if (r->events > 0)
    return; /* the caller has the head of the first upstream */
  g_string_truncate (r->answer_head, 0);
  for (size_t i = 0; i < head->field_count; i++)
    {
      const hp_field *field = &head->fields[i];
      if (_gw_is_named (_gw_answer_drop,
                        sizeof _gw_answer_drop / sizeof *_gw_answer_drop,
                        field->name))
        continue;
      g_string_append_printf (r->answer_head, "%.*s: %.*s\r\n",
                              ST_FMT (field->name), ST_FMT (field->value));
    }
}

/* Passes the checked answer on.  A stream that has begun cannot take another
   head: it is broken off.  */
static void
_gw_pass_on (_gw_request *r)
{
  gw_task *gw = r->gw;
  if (r->events > 0)
    {
      r->runs++;
      _gw_fail (r, 502, "error_of_a_further_run");
      return;
    }
  _gw_conn *conn = r->conn;
  _gw_service *service = _gw_service_of (r);
  r->runs++;
  _gw_reply (conn, r->status,
             (st_str){ r->answer_head->str, r->answer_head->len },
             (st_str){ r->answer->str, r->answer->len });
  _gw_account (r, r->status < 400 ? "answered" : "upstream_error", r->status,
               "");
  _gw_free_request (r);
  _gw_schedule (gw, service);
}

/* Takes the time that R was at its upstream into the means.  */
void
_gw_measure (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_service *service = _gw_service_of (r);
  double took_us = (double)(gw->now_us - r->sent_us);
  if (service->service_us <= 0)
    service->service_us = took_us;
  service->service_us += _GW_SERVICE_WEIGHT * (took_us - service->service_us);
  if (!r->engine)
    ut_set_unit_time (gw->upstreams, r->upstream, took_us);
}

/* The upstream stated that it did not run the request.  */
static void
_gw_on_not_run (_gw_request *r)
{
  gw_task *gw = r->gw;
  uint64_t pause = r->status == 421 ? _GW_OTHER_PAUSE_US : _GW_FULL_PAUSE_US;
  if (r->status == 421)
    uc_forget (gw->pool, st_name_str (&r->upstream_id));
  ut_avoid (gw->upstreams, r->upstream, gw->now_us + pause);
  _gw_end_exchange (r, UT_REFUSED);
  _gw_retry (r, true, false,
             r->status == 421 ? "other_instance" : "upstream_full");
}

/* An error that the upstream gave, or a success that cannot be trusted.  */
static void
_gw_on_bad_answer (_gw_request *r, bool trusted)
{
  const char *reason = trusted ? "upstream_error" : "unsigned_answer";
  /* These statuses promise that nothing has run, which the upstream did not
     state.  */
  bool promises = r->status == 429 || r->status == 503 || r->status == 408
                  || r->status == 421;
  _gw_end_exchange (r, UT_FAILED);
  const char *denied = _gw_repeat_denied (r, r->runs + 1, r->arrivals + 1);
  if (denied != NULL && trusted && !promises)
    {
      _gw_pass_on (r);
      return;
    }
  _gw_note_tried (r, true, true);
  _gw_log_repeat (r, true, reason, denied);
  if (denied == NULL)
    _gw_requeue (r);
  else
    _gw_fail (r, 502, reason);
}

static void
_gw_on_whole_answer (_gw_request *r)
{
  if (r->not_run)
    {
      _gw_on_not_run (r);
      return;
    }
  if (r->status >= 500 || r->status == 429 || r->status == 408)
    {
      _gw_on_bad_answer (r, true);
      return;
    }
  if ((r->status < 300 && !r->is_signed) || r->encoded
      || (r->route->kind == RC_STREAM && r->status < 300))
    {
      _gw_on_bad_answer (r, false);
      return;
    }
  _gw_measure (r);
  _gw_end_exchange (r, UT_SERVED);
  _gw_pass_on (r);
}

static void
_gw_on_broken (_gw_request *r, const uc_event *event)
{
  bool cut_off = event->sent && r->status == 0;
  /* The other connections of an upstream that has ended are of no use; a
     request that is sent on one may have run for all that is known.  */
  if (cut_off)
    uc_forget (r->gw->pool, st_name_str (&r->upstream_id));
  _gw_end_exchange (r, cut_off       ? UT_CONNECTION_LOST
                       : event->sent ? UT_FAILED
                                     : UT_UNREACHABLE);
  _gw_retry (r, event->sent, event->sent, event->reason);
}

static void
_gw_on_exchange (void *user, const uc_event *event)
{
  _gw_request *r = user;
  _gw_now (r->gw);
  switch (event->kind)
    {
    case UC_HEAD:
      _gw_take_head (r, event->head);
      return;
    case UC_BODY:
      if (r->is_stream)
        _gw_relay (r, event->bytes);
      else if (r->answer->len + event->bytes.len > _GW_ANSWER_MAX_BYTES)
        {
          uc_exchange *x = r->exchange;
          _gw_end_exchange (r, UT_FAILED);
          uc_cancel (x);
          _gw_retry (r, true, true, "answer_too_large");
        }
      else
        g_string_append_len (r->answer, event->bytes.ptr,
                             (gssize)event->bytes.len);
      return;
    case UC_END:
      if (r->is_stream)
        _gw_relay_end (r);
      else
        _gw_on_whole_answer (r);
      return;
    case UC_FAILED:
      _gw_on_broken (r, event);
      return;
    }
}
