#include "fe_internal.h"
#include "ow.h"

#include "lg.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

/* Bytes kept of a response whose status is not 200; data that would exceed
   them is dropped.  */
#define _FE_MAX_ERROR_BYTES 4096
#define _FE_ENGINE_IDLE_MS 30000
#define _FE_CONTROL_TIMEOUT_MS 2000
#define _FE_STOP_RETRY_MS 20
#define _FE_MAX_STOP_ATTEMPTS 25

static void _fe_schedule_resume (fe_request *r);
static void _fe_on_stream_done (void *user, const up_result *result);

static fe_request *
_fe_user_request (void *user)
{
  return user;
}

static void
_fe_on_head (void *user, int status, struct evkeyvalq *headers)
{
  fe_request *r = _fe_user_request (user);
  const char *type = evhttp_find_header (headers, "Content-Type");
  r->status = status;
  if (type != NULL && !r->resumed)
    g_strlcpy (r->content_type, type, sizeof r->content_type);
}

static void
_fe_on_data (void *user, struct evbuffer *data)
{
  fe_request *r = _fe_user_request (user);
  uint64_t now_us = sv_now_us (r->fe->sv);
  if (r->status != 200)
    {
      size_t size = evbuffer_get_length (data);
      if (r->response->len + size <= _FE_MAX_ERROR_BYTES && !r->resumed)
        fe_append (r, data);
      else
        evbuffer_drain (data, size);
      return;
    }
  if (r->response->len + evbuffer_get_length (data)
      > r->fe->desc.max_response_bytes)
    {
      evbuffer_drain (data, evbuffer_get_length (data));
      up_cancel (r->fe->sv->up, r->call);
      up_cancel (r->fe->sv->up, r->control);
      r->call = 0;
      r->control = 0;
      fe_release_slot (r, CS_FAILED);
      fe_end (r, RQ_UNKNOWN, "answer_too_long",
              "the response is longer than this VM buffers for one request: "
              "ask for fewer tokens");
      return;
    }
  if (r->first_token_delay_us == 0 && r->stream)
    {
      r->first_token_delay_us = now_us - r->dispatched_us;
      ow_first_token (r->fe->sv->slot_requests, r->self,
                      r->first_token_delay_us);
    }
  r->last_event_us = now_us;
  fe_append (r, data);
  if (r->stream)
    fe_flush_readers (r);
}

static up_id
_fe_call (fe_request *r, enum evhttp_cmd_type method, const char *path,
          st_str body, bool with_callbacks)
{
  const up_header headers[] = {
    { "Content-Type", "application/json" },
    { "Dotterelbend-Stream", r->id },
    { "Dotterelbend-Version", r->choice.version.text },
    { "Dotterelbend-Route", r->route.text },
  };
  size_t count = r->choice.version.len > 0 ? G_N_ELEMENTS (headers) : 2;
  r->call = up_send (
      r->fe->sv->up,
      &(up_call_desc){ .address = st_from_cstr (r->address),
                       .method = method,
                       .path = path,
                       .headers = headers,
                       .header_count = count,
                       .body = body,
                       .idle_timeout_ms = _FE_ENGINE_IDLE_MS,
                       .on_head = with_callbacks ? _fe_on_head : NULL,
                       .on_data = with_callbacks ? _fe_on_data : NULL,
                       .on_done = _fe_on_stream_done,
                       .user = r });
  return r->call;
}

/* The engine certainly does not run R: dispatches it again, or ends it as
   not run when the dispatches or the retry budget are used up.  */
static void
_fe_dispatch_again (fe_request *r, cs_outcome end, const char *why)
{
  rq_undo_dispatch (r->fe->sv->requests, r->record);
  fe_release_slot (r, end);
  r->fe->buffered_bytes -= r->response->len;
  g_string_truncate (r->response, 0);
  r->status = 0;
  fe_count (r->fe, "dotterelbend_placed_again_total", "reason",
            st_from_cstr (why));
  lg_log (LG_INFO, r->id, "engine %s did not accept the request (%s)",
          r->engine, why);
  if (r->dispatch_count >= FE_MAX_DISPATCHES
      || !po_take_retry (r->fe->sv->policy))
    fe_end (r, RQ_NOT_RUN, "no_engine",
            "no engine accepted the request: send it again later");
  else
    fe_request_slot (r);
}

/* The engine may have run a portion of R, and the rest cannot be fetched.
   Ends R as unknown, or tries the next engine when R is orphaned and
   has no event yet.  */
void
fe_on_engine_failed (fe_request *r, const char *why)
{
  char message[160];
  if (r->orphaned && r->events == 0)
    {
      fe_recover_next (r);
      return;
    }
  g_snprintf (message, sizeof message,
              "the rest of the response could not be fetched from engine %s "
              "(%s); the request is not sent again",
              r->engine, why);
  fe_release_slot (r, CS_FAILED);
  fe_end (r, RQ_UNKNOWN, "upstream_lost", message);
}

static bool
_fe_is_not_admitted (const fe_request *r)
{
  return r->status == 503 && strstr (r->response->str, "\"not_admitted\"");
}

static bool
_fe_stream_is_complete (const fe_request *r)
{
  static const char end[] = "data: [DONE]\n\n";
  size_t len = sizeof end - 1;
  return r->response->len >= len
         && memcmp (r->response->str + r->response->len - len, end, len) == 0;
}

static void
_fe_on_response (fe_request *r)
{
  if (_fe_is_not_admitted (r))
    {
      _fe_dispatch_again (r, CS_NOT_ADMITTED, "not_admitted");
      return;
    }
  if (r->status >= 500)
    {
      fe_release_slot (r, CS_FAILED);
      fe_end (r, RQ_UNKNOWN, "upstream_error",
              "the engine failed while it ran the request; the request is "
              "not sent again");
      return;
    }
  if (r->status == 200 && r->stream && !_fe_stream_is_complete (r))
    {
      _fe_schedule_resume (r);
      return;
    }
  fe_release_slot (r, CS_ANSWERED);
  fe_end (r, RQ_ANSWERED, "", "");
}

static void
_fe_on_resume_done (fe_request *r, const up_result *result)
{
  if (result->end == UP_COMPLETE && result->status == 200)
    {
      if (!r->stream && !fe_assemble_response (r))
        fe_on_engine_failed (r, "the resumed stream ended early");
      else if (r->stream && !_fe_stream_is_complete (r))
        _fe_schedule_resume (r);
      else
        {
          fe_release_slot (r, CS_ANSWERED);
          fe_end (r, RQ_ANSWERED, "", "");
        }
      return;
    }
  if (result->end == UP_COMPLETE)
    fe_on_engine_failed (r, "the engine did not return the stream");
  else
    _fe_schedule_resume (r);
}

static void
_fe_on_stream_done (void *user, const up_result *result)
{
  fe_request *r = _fe_user_request (user);
  r->call = 0;
  r->paused = false;
  if (r->state == FE_STOPPING)
    {
      bool ended = result->end == UP_COMPLETE
                   && (result->status != 200 || !r->stream
                       || _fe_stream_is_complete (r));
      /* Otherwise the engine ended the stream early because of the stop, and
         its reply to the stop is about to arrive.  */
      if (!ended && result->end != UP_NOT_SENT)
        return;
      up_cancel (r->fe->sv->up, r->control);
      r->control = 0;
      r->state = r->resumed ? FE_RESUMING : FE_RUNNING;
    }
  if (r->state == FE_RESUMING)
    {
      _fe_on_resume_done (r, result);
      return;
    }
  switch (result->end)
    {
    case UP_COMPLETE:
      _fe_on_response (r);
      break;
    case UP_NOT_SENT:
      sv_engine_unreachable (r->fe->sv, st_from_cstr (r->engine));
      _fe_dispatch_again (r, CS_NOT_ADMITTED, "unreachable");
      break;
    case UP_CONNECTION_LOST:
      lg_log (LG_WARNING, r->id,
              "connection to engine %s lost: %s; "
              "resuming from event %u",
              r->engine, result->error, r->events);
      _fe_schedule_resume (r);
      break;
    }
}

/* Truncates the response to complete events, the unit of a resume.  A response
   that is neither streamed nor resumed is emptied: it has no events.  */
static void
_fe_truncate_to_events (fe_request *r)
{
  size_t keep = r->stream || r->resumed ? fe_event_offset (r, r->events) : 0;
  r->fe->buffered_bytes -= r->response->len - keep;
  g_string_truncate (r->response, keep);
}

static fe_request *
_fe_timer_request (void *arg)
{
  sv_timer_ref *ref = arg;
  fe_request *r = fe_request_of (ref->server->front_end, ref->id);
  g_free (ref);
  return r;
}

static void
_fe_start_timer (fe_request *r, uint64_t delay_ms, event_callback_fn callback)
{
  sv_timer_ref *ref = g_new0 (sv_timer_ref, 1);
  struct timeval tv
      = { (time_t)(delay_ms / 1000), (suseconds_t)(delay_ms % 1000 * 1000) };
  ref->server = r->fe->sv;
  ref->id = r->self;
  event_base_once (r->fe->sv->base, -1, EV_TIMEOUT, callback, ref, &tv);
}

/* Fetches the events of a stream that the engine has; PATH names the first
   event.  */
void
fe_fetch_stream (fe_request *r, const char *path)
{
  r->resumed = true;
  r->state = FE_RESUMING;
  if (_fe_call (r, EVHTTP_REQ_GET, path, ST_LIT (""), true) == 0)
    fe_on_engine_failed (r, "no connection could be made");
}

static void
_fe_on_retry_timer (evutil_socket_t fd, short what, void *arg)
{
  fe_request *r = _fe_timer_request (arg);
  (void)fd;
  (void)what;
  if (r == NULL || r->state != FE_RESUMING || r->call != 0)
    return;
  char path[RQ_ID_MAX + 48];
  g_snprintf (path, sizeof path, "/v1/streams/%s?from=%u", r->id,
              r->recover_from + r->events);
  fe_fetch_stream (r, path);
}

/* Fetches the events behind the last complete one from the same engine after
   a retry delay.  */
static void
_fe_schedule_resume (fe_request *r)
{
  if (r->resume_count >= FE_MAX_RESUMES || (r->orphaned && r->events == 0))
    {
      fe_on_engine_failed (r, "resume attempts used up");
      return;
    }
  _fe_truncate_to_events (r);
  r->resumed = true;
  r->state = FE_RESUMING;
  fe_count (r->fe, "dotterelbend_resumes_total", NULL, ST_LIT (""));
  _fe_start_timer (r, po_retry_delay_ms (r->fe->sv->policy, r->resume_count++),
                   _fe_on_retry_timer);
}

static void
_fe_dispatch_first (fe_request *r)
{
  if (!rq_begin_dispatch (r->fe->sv->requests, r->record))
    {
      lg_log (LG_ERROR, r->id,
              "the record of the request does not allow another dispatch");
      fe_release_slot (r, CS_NOT_ADMITTED);
      return;
    }
  r->state = FE_RUNNING;
  r->dispatch_count++;
  r->dispatched_us = sv_now_us (r->fe->sv);
  st_str body = { r->body, r->body_len };
  if (_fe_call (r, EVHTTP_REQ_POST, r->path, body, true) == 0)
    _fe_dispatch_again (r, CS_NOT_ADMITTED, "unreachable");
}

/* Continues a stopped stream on the engine that has its state.  */
void
fe_dispatch_resume (fe_request *r)
{
  char path[RQ_ID_MAX + 48];
  g_snprintf (path, sizeof path, "/v1/streams/%s/resume?from=%u", r->id,
              r->events);
  r->state = FE_RESUMING;
  r->resume_count = 0;
  if (_fe_call (r, EVHTTP_REQ_POST, path, ST_LIT ("{}"), true) == 0)
    fe_on_engine_failed (r, "no connection could be made");
}

/* The cell owner granted REQUEST a slot.  */
void
fe_on_grant (fe_front *fe, id_handle request, const fe_grant *grant)
{
  fe_request *r = fe_request_of (fe, request);
  if (r == NULL || r->state != FE_WAITING)
    return;
  r->has_slot = true;
  st_copy (r->import_from, sizeof r->import_from, st_from_cstr (r->address));
  st_copy (r->engine, sizeof r->engine, grant->engine);
  st_copy (r->address, sizeof r->address, grant->address);
  rq_record record;
  rq_query (fe->sv->requests, r->record, &record);
  if (record.state == RQ_DISPATCHED
      && strcmp (r->import_from, r->address) != 0)
    fe_move (r);
  else if (record.state == RQ_DISPATCHED)
    fe_dispatch_resume (r);
  else if (rl_query_halted (fe->sv->rollouts, st_name_str (&r->model),
                            st_name_str (&r->choice.version)))
    {
      /* The version was halted while the request waited.  */
      fe_release_slot (r, CS_CANCELLED);
      fe_choose_version (r);
    }
  else
    _fe_dispatch_first (r);
}

/* The cell owner refused REQUEST.  */
void
fe_on_refuse (fe_front *fe, id_handle request, const char *reason,
              uint32_t retry_after_ms)
{
  fe_request *r = fe_request_of (fe, request);
  if (r == NULL || r->state != FE_WAITING)
    return;
  rq_record record;
  rq_query (fe->sv->requests, r->record, &record);
  r->retry_after_ms = retry_after_ms;
  if (record.state == RQ_DISPATCHED)
    fe_end (r, RQ_UNKNOWN, reason,
            "the request was stopped for more urgent work and no slot was "
            "available to resume it");
  else
    fe_end (r, RQ_NOT_RUN, reason,
            "no engine can run this request now: send it again after the "
            "time in Retry-After");
}

static void _fe_send_stop (fe_request *r);

static void
_fe_on_stop_timer (evutil_socket_t fd, short what, void *arg)
{
  fe_request *r = _fe_timer_request (arg);
  (void)fd;
  (void)what;
  if (r != NULL && r->state == FE_STOPPING && r->control == 0)
    _fe_send_stop (r);
}

/* The engine keeps the state of the stream: releases the slot and requests
   another one.  */
static void
_fe_on_stopped (fe_request *r)
{
  up_cancel (r->fe->sv->up, r->call);
  r->call = 0;
  r->paused = false;
  r->resumed = true;
  _fe_truncate_to_events (r);
  fe_release_slot (r, CS_STOPPED);
  fe_request_slot (r);
}

static void
_fe_on_stop_reply (void *user, const up_result *result)
{
  fe_request *r = _fe_user_request (user);
  r->control = 0;
  if (result->end == UP_COMPLETE && result->status == 200)
    {
      _fe_on_stopped (r);
      return;
    }
  /* The stop used another connection than the request and may have reached the
     engine first.  */
  if (r->stop_attempts < _FE_MAX_STOP_ATTEMPTS)
    {
      _fe_start_timer (r, _FE_STOP_RETRY_MS, _fe_on_stop_timer);
      return;
    }
  r->state = FE_RUNNING;
  if (r->call == 0)
    _fe_schedule_resume (r);
}

static void
_fe_send_stop (fe_request *r)
{
  char path[RQ_ID_MAX + 48];
  g_snprintf (path, sizeof path, "/v1/streams/%s?keep=1", r->id);
  r->stop_attempts++;
  r->control
      = up_send (r->fe->sv->up,
                 &(up_call_desc){ .address = st_from_cstr (r->address),
                                  .method = EVHTTP_REQ_DELETE,
                                  .path = path,
                                  .idle_timeout_ms = _FE_CONTROL_TIMEOUT_MS,
                                  .on_done = _fe_on_stop_reply,
                                  .user = r });
  if (r->control == 0)
    r->state = FE_RUNNING;
}

/* The cell owner needs the slot of REQUEST for more urgent work.  The engine
   keeps the state of the stream.  The call that carries the stream continues
   until the engine has replied: the response may end first.  */
void
fe_on_stop (fe_front *fe, id_handle request)
{
  fe_request *r = fe_request_of (fe, request);
  if (r == NULL || !r->has_slot
      || (r->state != FE_RUNNING && r->state != FE_RESUMING))
    return;
  r->state = FE_STOPPING;
  r->stop_attempts = 0;
  fe_count (fe, "dotterelbend_stopped_total", "tier", sv_tier_name (r->tier));
  _fe_send_stop (r);
}

static void
_fe_on_cancel_reply (void *user, const up_result *result)
{
  (void)user;
  (void)result;
}

/* Ends R because no caller waits for it.  Cancels the stream at the engine if
   this VM dispatched R; an orphaned R is only ended.  */
void
fe_dispatch_abort (fe_request *r)
{
  rq_record record = { .state = RQ_DISPATCHED };
  rq_query (r->fe->sv->requests, r->record, &record);
  if (r->call != 0)
    up_cancel (r->fe->sv->up, r->call);
  up_cancel (r->fe->sv->up, r->control);
  r->call = 0;
  r->control = 0;
  if (record.state == RQ_QUEUED)
    {
      ow_cancel (r->fe->sv->slot_requests, r->self);
      fe_end (r, RQ_NOT_RUN, "cancelled", "the request was cancelled");
      return;
    }
  if (r->orphaned)
    {
      fe_end (r, RQ_UNKNOWN, "cancelled", "the caller disconnected");
      return;
    }
  char path[RQ_ID_MAX + 48];
  g_snprintf (path, sizeof path, "/v1/streams/%s", r->id);
  up_send (r->fe->sv->up,
           &(up_call_desc){ .address = st_from_cstr (r->address),
                            .method = EVHTTP_REQ_DELETE,
                            .path = path,
                            .idle_timeout_ms = _FE_CONTROL_TIMEOUT_MS,
                            .on_done = _fe_on_cancel_reply });
  if (r->has_slot)
    fe_release_slot (r, CS_CANCELLED);
  else
    ow_cancel (r->fe->sv->slot_requests, r->self);
  fe_end (r, RQ_UNKNOWN, "cancelled",
          "the request was cancelled after it was sent to an engine");
}
