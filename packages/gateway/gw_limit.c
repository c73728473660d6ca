/* Limit: bounds what the responses of upstreams make this VM store.  A faulty
   upstream may send bytes without end, and all upstreams at once may.  */
#include "gw_internal.h"

/* Longest body of a whole response, and longest event that is not
   complete.  */
#define _GW_RESPONSE_MAX_BYTES (8 * 1024 * 1024)
#define _GW_EVENT_MAX_BYTES (1024 * 1024)
/* Most bytes of all responses: the smallest VMs of the deployments have 88 MB,
   and a buffer that grows takes up to twice its contents.  A smaller process
   stores a fraction of its memory.  */
#define _GW_STORED_MAX_BYTES (12 * 1024 * 1024)
#define _GW_STORED_FRACTION 0.13
/* Bytes for a caller above which its upstream is not read.  */
#define _GW_UNSENT_MAX_BYTES (64 * 1024)
/* How long an upstream is avoided that exceeded a limit.  */
#define _GW_LIMIT_AVOID_US 5000000

/* Sets the limit for the responses of GW.  */
void
_gw_start_responses (gw_task *gw)
{
  double part = _GW_STORED_FRACTION * (double)gw->desc.memory_bytes;
  gw->stored_max = _GW_STORED_MAX_BYTES;
  if (gw->desc.memory_bytes > 0 && part < _GW_STORED_MAX_BYTES)
    gw->stored_max = (size_t)part;
}

/* Updates the count of stored bytes after a change of R's response.  */
void
_gw_count_stored (_gw_request *r)
{
  r->gw->stored_bytes += r->response_body->len - r->stored_bytes;
  r->stored_bytes = r->response_body->len;
}

/* Logs and counts that the upstream of R exceeded the limit REASON, and avoids
   the upstream for a while.  */
void
_gw_on_limit_exceeded (_gw_request *r, const char *reason)
{
  gw_task *gw = r->gw;
  LO_EVENT ("response_limit", st_name_str (&r->id), LO_CSTR ("limit", reason),
            LO_STR ("upstream", st_name_str (&r->upstream_id)),
            LO_INT ("bytes", r->response_body->len),
            LO_INT ("stored", gw->stored_bytes));
  ut_avoid (gw->upstreams, r->upstream, gw->now_us + _GW_LIMIT_AVOID_US);
  if (gw->desc.metrics != NULL)
    mt_add (gw->desc.metrics,
            mt_counter (gw->desc.metrics, "gateway_response_limit_total",
                        "limit", st_from_cstr (reason), "", ST_LIT ("")),
            1);
}

static void
_gw_fail_for_limit (_gw_request *r, const char *reason)
{
  _gw_on_limit_exceeded (r, reason);
  _gw_fail_exchange (r, reason);
}

/* The request whose response stores most.  */
static _gw_request *
_gw_find_largest (gw_task *gw)
{
  _gw_request *largest = NULL;
  for (uint32_t i = 0; i < gw->used; i++)
    {
      _gw_request *r = &gw->requests[i];
      if (r->state != _GW_FREE && r->exchange != NULL
          && (largest == NULL || r->stored_bytes > largest->stored_bytes))
        largest = r;
    }
  return largest;
}

/* Checks the limits after R's response has grown.  False when the attempt of R
   has ended.  */
bool
_gw_check_limits (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_count_stored (r);
  size_t max = r->is_stream ? _GW_EVENT_MAX_BYTES : _GW_RESPONSE_MAX_BYTES;
  if (r->response_body->len > max)
    {
      _gw_fail_for_limit (r, r->is_stream ? "event_too_large"
                                          : "answer_too_large");
      return false;
    }
  while (gw->stored_bytes > gw->stored_max)
    {
      _gw_request *largest = _gw_find_largest (gw);
      bool own = largest == r;
      _gw_fail_for_limit (largest, "answers_too_large");
      if (own)
        return false;
    }
  return true;
}

/* Stops reading the upstream of R while much is waiting for its caller.  */
void
_gw_limit_unsent (_gw_request *r)
{
  if (r->exchange != NULL
      && evbuffer_get_length (bufferevent_get_output (r->conn->bev))
             > _GW_UNSENT_MAX_BYTES)
    uc_set_reading (r->exchange, false);
}

/* Goes on reading the upstream of R: its caller has received all.  */
void
_gw_on_unsent_empty (_gw_request *r)
{
  if (r->exchange == NULL || r->state != _GW_RELAYING)
    return;
  /* The upstream has not been silent in between.  */
  if (r->last_event_us > 0)
    r->last_event_us = _gw_now (r->gw);
  uc_set_reading (r->exchange, true);
}
