#include "fe_internal.h"
#include "ow.h"

#include "lg.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

/* Largest error body of an engine that is passed on.  */
#define _FE_MAX_ERROR_BYTES 4096
#define _FE_ENGINE_IDLE_MS 30000
#define _FE_CONTROL_TIMEOUT_MS 2000
#define _FE_STOP_RETRY_MS 20
#define _FE_MAX_STOP_TRIES 25

static void _fe_fetch_rest (fe_request *r);
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
      if (r->answer->len + size <= _FE_MAX_ERROR_BYTES && !r->resumed)
        fe_append (r, data);
      else
        evbuffer_drain (data, size);
      return;
    }
  if (r->answer->len + evbuffer_get_length (data)
      > r->fe->desc.max_answer_bytes)
    {
      evbuffer_drain (data, evbuffer_get_length (data));
      up_cancel (r->fe->sv->up, r->call);
      up_cancel (r->fe->sv->up, r->control);
      r->call = 0;
      r->control = 0;
      fe_release_place (r, CS_FAILED);
      fe_end (r, RQ_UNKNOWN, "answer_too_long",
              "the answer is longer than limits.answer_bytes: ask for fewer "
              "tokens or raise the limit");
      return;
    }
  if (r->first_token_us == 0 && r->stream)
    {
      r->first_token_us = now_us - r->dispatched_us;
      ow_first_token (r->fe->sv->slot_requests, r->self, r->first_token_us);
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

/* The engine certainly does not run R: places it again or gives up.  */
static void
_fe_place_again (fe_request *r, cs_outcome end, const char *why)
{
  rq_undo_dispatch (r->fe->sv->requests, r->record);
  fe_release_place (r, end);
  r->fe->buffered_bytes -= r->answer->len;
  g_string_truncate (r->answer, 0);
  r->status = 0;
  fe_count (r->fe, "dotterelbend_placed_again_total", "reason",
            st_from_cstr (why));
  lg_log (LG_INFO, r->id, "engine %s did not take the request (%s)", r->engine,
          why);
  if (r->placements >= FE_MAX_PLACEMENTS || !po_take_retry (r->fe->sv->policy))
    fe_end (r, RQ_NOT_RUN, "no_engine",
            "no engine took the request: send it again later");
  else
    fe_ask_place (r);
}

/* The engine may have run a part of R, which cannot be fetched any more.  */
void
fe_lose (fe_request *r, const char *why)
{
  char message[160];
  if (r->foreign && r->events == 0)
    {
      fe_recover_next (r);
      return;
    }
  g_snprintf (message, sizeof message,
              "the connection to engine %s broke (%s) and the engine does not "
              "know the stream; the request is not sent again",
              r->engine, why);
  fe_release_place (r, CS_FAILED);
  fe_end (r, RQ_UNKNOWN, "upstream_lost", message);
}

static bool
_fe_is_not_admitted (const fe_request *r)
{
  return r->status == 503 && strstr (r->answer->str, "\"not_admitted\"");
}

static bool
_fe_stream_is_whole (const fe_request *r)
{
  static const char end[] = "data: [DONE]\n\n";
  size_t len = sizeof end - 1;
  return r->answer->len >= len
         && memcmp (r->answer->str + r->answer->len - len, end, len) == 0;
}

static void
_fe_on_answer (fe_request *r)
{
  if (_fe_is_not_admitted (r))
    {
      _fe_place_again (r, CS_NOT_ADMITTED, "not_admitted");
      return;
    }
  if (r->status >= 500)
    {
      fe_release_place (r, CS_FAILED);
      fe_end (r, RQ_UNKNOWN, "upstream_error",
              "the engine failed while it ran the request; the request is "
              "not sent again");
      return;
    }
  if (r->status == 200 && r->stream && !_fe_stream_is_whole (r))
    {
      _fe_fetch_rest (r);
      return;
    }
  fe_release_place (r, CS_ANSWERED);
  fe_end (r, RQ_ANSWERED, "", "");
}

static void
_fe_on_rest (fe_request *r, const up_result *result)
{
  if (result->end == UP_COMPLETE && result->status == 200)
    {
      if (!r->stream && !fe_assemble_whole (r))
        fe_lose (r, "the resumed stream ended early");
      else if (r->stream && !_fe_stream_is_whole (r))
        _fe_fetch_rest (r);
      else
        {
          fe_release_place (r, CS_ANSWERED);
          fe_end (r, RQ_ANSWERED, "", "");
        }
      return;
    }
  if (result->end == UP_COMPLETE)
    fe_lose (r, "stream not found");
  else
    _fe_fetch_rest (r);
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
                       || _fe_stream_is_whole (r));
      /* Otherwise the engine cut the stream because of the stop, which it is
         about to confirm.  */
      if (!ended && result->end != UP_NOT_SENT)
        return;
      up_cancel (r->fe->sv->up, r->control);
      r->control = 0;
      r->state = r->resumed ? FE_RESUMING : FE_RUNNING;
    }
  if (r->state == FE_RESUMING)
    {
      _fe_on_rest (r, result);
      return;
    }
  switch (result->end)
    {
    case UP_COMPLETE:
      _fe_on_answer (r);
      break;
    case UP_NOT_SENT:
      sv_engine_unreachable (r->fe->sv, st_from_cstr (r->engine));
      _fe_place_again (r, CS_NOT_ADMITTED, "unreachable");
      break;
    case UP_BROKEN:
      lg_log (LG_WARNING, r->id,
              "connection to engine %s broke: %s; "
              "resuming from event %u",
              r->engine, result->error, r->events);
      _fe_fetch_rest (r);
      break;
    }
}

/* Cuts the answer back to whole events, the unit of a resume.  */
static void
_fe_cut_to_events (fe_request *r)
{
  size_t keep = r->stream || r->resumed ? fe_event_offset (r, r->events) : 0;
  r->fe->buffered_bytes -= r->answer->len - keep;
  g_string_truncate (r->answer, keep);
}

static fe_request *
_fe_take_timer (void *arg)
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

/* Reads the events of a stream that the engine has; PATH says from which
   one on.  */
void
fe_call_stream (fe_request *r, const char *path)
{
  r->resumed = true;
  r->state = FE_RESUMING;
  if (_fe_call (r, EVHTTP_REQ_GET, path, ST_LIT (""), true) == 0)
    fe_lose (r, "no connection could be made");
}

static void
_fe_on_retry_timer (evutil_socket_t fd, short what, void *arg)
{
  fe_request *r = _fe_take_timer (arg);
  (void)fd;
  (void)what;
  if (r == NULL || r->state != FE_RESUMING || r->call != 0)
    return;
  char path[RQ_ID_MAX + 48];
  g_snprintf (path, sizeof path, "/v1/streams/%s?from=%u", r->id,
              r->recover_from + r->events);
  fe_call_stream (r, path);
}

/* Fetches the events from the last whole one on from the same engine.  */
static void
_fe_fetch_rest (fe_request *r)
{
  if (r->resumes >= FE_MAX_RESUMES || (r->foreign && r->events == 0))
    {
      fe_lose (r, "resumed too often");
      return;
    }
  _fe_cut_to_events (r);
  r->resumed = true;
  r->state = FE_RESUMING;
  fe_count (r->fe, "dotterelbend_resumes_total", NULL, ST_LIT (""));
  _fe_start_timer (r, po_retry_delay_ms (r->fe->sv->policy, r->resumes++),
                   _fe_on_retry_timer);
}

static void
_fe_dispatch_first (fe_request *r)
{
  if (!rq_begin_dispatch (r->fe->sv->requests, r->record))
    {
      lg_log (LG_ERROR, r->id, "second dispatch prevented");
      fe_release_place (r, CS_NOT_ADMITTED);
      return;
    }
  r->state = FE_RUNNING;
  r->placements++;
  r->dispatched_us = sv_now_us (r->fe->sv);
  st_str body = { r->body, r->body_len };
  if (_fe_call (r, EVHTTP_REQ_POST, r->path, body, true) == 0)
    _fe_place_again (r, CS_NOT_ADMITTED, "unreachable");
}

/* Continues a stopped stream on the engine that kept its state.  */
void
fe_dispatch_resume (fe_request *r)
{
  char path[RQ_ID_MAX + 48];
  g_snprintf (path, sizeof path, "/v1/streams/%s/resume?from=%u", r->id,
              r->events);
  r->state = FE_RESUMING;
  r->resumes = 0;
  if (_fe_call (r, EVHTTP_REQ_POST, path, ST_LIT ("{}"), true) == 0)
    fe_lose (r, "no connection could be made");
}

/* The owner of the cell granted REQUEST a slot.  */
void
fe_on_grant (fe_front *fe, id_handle request, const fe_place *place)
{
  fe_request *r = fe_request_of (fe, request);
  if (r == NULL || r->state != FE_WAITING)
    return;
  r->placed = true;
  st_copy (r->import_from, sizeof r->import_from, st_from_cstr (r->address));
  st_copy (r->engine, sizeof r->engine, place->engine);
  st_copy (r->address, sizeof r->address, place->address);
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
      fe_release_place (r, CS_CANCELLED);
      fe_choose_version (r);
    }
  else
    _fe_dispatch_first (r);
}

/* The owner of the cell refused REQUEST.  */
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
            "the request was stopped for more urgent work and could not be "
            "resumed in time");
  else
    fe_end (r, RQ_NOT_RUN, reason,
            "no engine can answer this request now: send it again after the "
            "time in Retry-After");
}

static void _fe_send_stop (fe_request *r);

static void
_fe_on_stop_timer (evutil_socket_t fd, short what, void *arg)
{
  fe_request *r = _fe_take_timer (arg);
  (void)fd;
  (void)what;
  if (r != NULL && r->state == FE_STOPPING && r->control == 0)
    _fe_send_stop (r);
}

/* The engine keeps the state of the stream: frees the slot and waits for
   another one.  */
static void
_fe_on_stopped (fe_request *r)
{
  up_cancel (r->fe->sv->up, r->call);
  r->call = 0;
  r->paused = false;
  r->resumed = true;
  _fe_cut_to_events (r);
  fe_release_place (r, CS_STOPPED);
  fe_ask_place (r);
}

static void
_fe_on_stop_told (void *user, const up_result *result)
{
  fe_request *r = _fe_user_request (user);
  r->control = 0;
  if (result->end == UP_COMPLETE && result->status == 200)
    {
      _fe_on_stopped (r);
      return;
    }
  /* The engine may not have read the request yet, which was sent on another
     connection.  */
  if (r->stop_tries < _FE_MAX_STOP_TRIES)
    {
      _fe_start_timer (r, _FE_STOP_RETRY_MS, _fe_on_stop_timer);
      return;
    }
  r->state = FE_RUNNING;
  if (r->call == 0)
    _fe_fetch_rest (r);
}

static void
_fe_send_stop (fe_request *r)
{
  char path[RQ_ID_MAX + 48];
  g_snprintf (path, sizeof path, "/v1/streams/%s?keep=1", r->id);
  r->stop_tries++;
  r->control
      = up_send (r->fe->sv->up,
                 &(up_call_desc){ .address = st_from_cstr (r->address),
                                  .method = EVHTTP_REQ_DELETE,
                                  .path = path,
                                  .idle_timeout_ms = _FE_CONTROL_TIMEOUT_MS,
                                  .on_done = _fe_on_stop_told,
                                  .user = r });
  if (r->control == 0)
    r->state = FE_RUNNING;
}

/* The owner of the cell needs the slot of REQUEST for more urgent work.  The
   engine keeps the state of the stream.  The call that carries the stream
   goes on until the engine has confirmed: the answer may end first.  */
void
fe_on_stop (fe_front *fe, id_handle request)
{
  fe_request *r = fe_request_of (fe, request);
  if (r == NULL || !r->placed
      || (r->state != FE_RUNNING && r->state != FE_RESUMING))
    return;
  r->state = FE_STOPPING;
  r->stop_tries = 0;
  fe_count (fe, "dotterelbend_stopped_total", "tier", sv_tier_name (r->tier));
  _fe_send_stop (r);
}

static void
_fe_on_cancel_told (void *user, const up_result *result)
{
  (void)user;
  (void)result;
}

/* Ends R because nobody waits for it any more.  The engine is told to stop
   what may run.  */
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
  if (r->foreign)
    {
      fe_end (r, RQ_UNKNOWN, "cancelled", "the caller is gone");
      return;
    }
  char path[RQ_ID_MAX + 48];
  g_snprintf (path, sizeof path, "/v1/streams/%s", r->id);
  up_send (r->fe->sv->up,
           &(up_call_desc){ .address = st_from_cstr (r->address),
                            .method = EVHTTP_REQ_DELETE,
                            .path = path,
                            .idle_timeout_ms = _FE_CONTROL_TIMEOUT_MS,
                            .on_done = _fe_on_cancel_told });
  if (r->placed)
    fe_release_place (r, CS_CANCELLED);
  else
    ow_cancel (r->fe->sv->slot_requests, r->self);
  fe_end (r, RQ_UNKNOWN, "cancelled",
          "the request was cancelled after it was sent to an engine");
}
