/* Relay: forwards the events of a stream one by one as they arrive.  */
#include "gw_internal.h"

#include <string.h>

/* Length in bytes of the first event in BYTES with its empty line; 0 when it
   is not complete.  */
static size_t
_gw_event_length (st_str bytes)
{
  for (size_t i = 0; i + 1 < bytes.len; i++)
    if (bytes.ptr[i] == '\n')
      {
        if (bytes.ptr[i + 1] == '\n')
          return i + 2;
        if (i + 2 < bytes.len && bytes.ptr[i + 1] == '\r'
            && bytes.ptr[i + 2] == '\n')
          return i + 3;
      }
  return 0;
}

/* Reads the id of EVENT; false when it has no numeric id.  */
static bool
_gw_event_id (st_str event, uint64_t *id)
{
  size_t from = 0;
  while (from < event.len)
    {
      const char *end = memchr (event.ptr + from, '\n', event.len - from);
      size_t to = end != NULL ? (size_t)(end - event.ptr) : event.len;
      st_str line = st_slice (event, from, to);
      if (line.len > 0 && line.ptr[line.len - 1] == '\r')
        line.len--;
      if (st_starts_with (line, ST_LIT ("id:")))
        {
          line = st_slice (line, 3, line.len);
          if (line.len > 0 && line.ptr[0] == ' ')
            line = st_slice (line, 1, line.len);
          return st_parse_u64 (line, id);
        }
      from = to + 1;
    }
  return false;
}

/* Forwards EVENT to the caller.  False when its id does not follow the last
   one, or it has none at the start of a resumed stream: it may be an error's
   text.  Comments have no id.  */
static bool
_gw_forward_event (_gw_request *r, st_str event)
{
  gw_task *gw = r->gw;
  uint64_t id;
  if (_gw_event_id (event, &id))
    {
      if (r->has_last_event && id != r->last_event + 1)
        return false;
      r->has_last_event = true;
      r->last_event = id;
      r->is_resumed = false;
    }
  else if (r->is_resumed && event.ptr[0] != ':')
    return false;
  if (r->events == 0)
    {
      r->first_us = gw->now_us;
      r->state = _GW_RELAYING;
      _gw_start_response (
          r->conn, 200,
          (st_str){ r->response_head->str, r->response_head->len });
    }
  if (r->last_event_us == 0)
    {
      r->attempt_first_us = gw->now_us;
      ut_on_response_start (gw->upstreams, r->upstream, r->prefill_tokens);
      r->prefill_tokens = 0;
      _gw_load_changed (gw);
    }
  else
    ut_set_unit_time (gw->upstreams, r->upstream,
                      (double)(gw->now_us - r->last_event_us));
  r->last_event_us = gw->now_us;
  r->events++;
  _gw_record_event (r);
  _gw_send_chunk (r->conn, event);
  return true;
}

/* Ends the current attempt of R as failed for REASON, and retries R.  SENT
   states whether the attempt may have run.  */
void
_gw_end_attempt (_gw_request *r, bool sent, const char *reason)
{
  uc_exchange *x = r->exchange;
  _gw_end_exchange (r, UT_FAILED);
  if (x != NULL)
    uc_cancel (x);
  _gw_retry (r, sent, sent, reason);
}

/* Ends the current attempt of R, which may have run, as failed for REASON, and
   retries R.  */
void
_gw_fail_exchange (_gw_request *r, const char *reason)
{
  _gw_end_attempt (r, true, reason);
}

/* Forwards the complete events in BYTES of a stream, and retains the last
   incomplete one.  */
void
_gw_relay (_gw_request *r, st_str bytes)
{
  size_t done = 0;
  size_t length;
  g_string_append_len (r->response_body, bytes.ptr, (gssize)bytes.len);
  while ((length = _gw_event_length ((st_str){ r->response_body->str + done,
                                               r->response_body->len - done }))
         > 0)
    {
      if (!_gw_forward_event (
              r, (st_str){ r->response_body->str + done, length }))
        {
          _gw_fail_exchange (r, "event_out_of_order");
          return;
        }
      done += length;
    }
  g_string_erase (r->response_body, 0, (gssize)done);
  if (_gw_check_limits (r))
    _gw_limit_unsent (r);
}

/* Handles the end of the upstream's stream.  */
void
_gw_relay_end (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_conn *conn = r->conn;
  _gw_service *service = _gw_service_of (r);
  r->exchange = NULL;
  if (r->response_body->len > 0 || r->events == 0
      || (!r->is_framed && r->last_event_us == 0))
    {
      /* A response without a length that its upstream broke off.  */
      _gw_record_lost (r);
      _gw_fail_exchange (r, "stream_incomplete");
      return;
    }
  r->runs++;
  _gw_record_service_time (r);
  _gw_end_exchange (r, UT_SERVED);
  _gw_end_response (conn);
  _gw_account (r, "answered", 200, "");
  _gw_free_request (r);
  _gw_schedule (gw, service);
}
