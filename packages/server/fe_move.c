/* Moves a stopped stream to another engine of its cell: exports the KV state,
   imports it, and only then ends the old copy.  A move is not a dispatch: the
   new engine continues the stream and does not run the request again.  */
#include "fe_internal.h"

#include "lg.h"

#include <event2/buffer.h>
#include <string.h>

/* KV state of one stream may be large; engines reply within this time.  */
#define _FE_MOVE_TIMEOUT_MS 10000
#define _FE_MAX_KV_BYTES (64 * 1024 * 1024)

static void
_fe_move_fail (fe_request *r, const char *what)
{
  lg_log (LG_WARNING, r->id,
          "moving the stream from %s to engine %s failed: "
          "%s",
          r->import_from, r->engine, what);
  fe_on_engine_failed (r, what);
}

static void
_fe_on_old_ended (void *user, const up_result *result)
{
  (void)user;
  (void)result;
}

static void
_fe_end_old_copy (fe_request *r)
{
  char path[RQ_ID_MAX + 48];
  g_snprintf (path, sizeof path, "/v1/streams/%s", r->id);
  up_send (r->fe->sv->up,
           &(up_call_desc){ .address = st_from_cstr (r->import_from),
                            .method = EVHTTP_REQ_DELETE,
                            .path = path,
                            .idle_timeout_ms = _FE_MOVE_TIMEOUT_MS,
                            .on_done = _fe_on_old_ended });
}

static void
_fe_on_imported (void *user, const up_result *result)
{
  fe_request *r = user;
  r->control = 0;
  if (result->end != UP_COMPLETE || result->status != 200)
    {
      _fe_move_fail (r, "the engine did not import the state");
      return;
    }
  fe_count (r->fe, "dotterelbend_moved_total", NULL, ST_LIT (""));
  _fe_end_old_copy (r);
  fe_dispatch_resume (r);
}

static void
_fe_on_kv_data (void *user, struct evbuffer *data)
{
  fe_request *r = user;
  size_t size = evbuffer_get_length (data);
  if (r->kv_state->len + size <= _FE_MAX_KV_BYTES)
    {
      size_t from = r->kv_state->len;
      g_string_set_size (r->kv_state, from + size);
      evbuffer_remove (data, r->kv_state->str + from, size);
    }
  else
    evbuffer_drain (data, size);
}

static void
_fe_on_exported (void *user, const up_result *result)
{
  fe_request *r = user;
  char path[RQ_ID_MAX + 48];
  r->control = 0;
  if (result->end != UP_COMPLETE || result->status != 200)
    {
      _fe_move_fail (r, "the engine did not export the state");
      return;
    }
  g_snprintf (path, sizeof path, "/v1/streams/%s/kv", r->id);
  r->control = up_send (
      r->fe->sv->up,
      &(up_call_desc){ .address = st_from_cstr (r->address),
                       .method = EVHTTP_REQ_PUT,
                       .path = path,
                       .body = { r->kv_state->str, r->kv_state->len },
                       .idle_timeout_ms = _FE_MOVE_TIMEOUT_MS,
                       .on_done = _fe_on_imported,
                       .user = r });
  g_string_free (r->kv_state, TRUE);
  r->kv_state = NULL;
  if (r->control == 0)
    _fe_move_fail (r, "no connection could be made");
}

/* Moves the stopped stream of R from r->import_from to r->address, where it
   is then resumed.  */
void
fe_move (fe_request *r)
{
  char path[RQ_ID_MAX + 48];
  r->state = FE_MOVING;
  r->kv_state = g_string_new (NULL);
  g_snprintf (path, sizeof path, "/v1/streams/%s/kv", r->id);
  r->control = up_send (
      r->fe->sv->up, &(up_call_desc){ .address = st_from_cstr (r->import_from),
                                      .method = EVHTTP_REQ_GET,
                                      .path = path,
                                      .idle_timeout_ms = _FE_MOVE_TIMEOUT_MS,
                                      .on_data = _fe_on_kv_data,
                                      .on_done = _fe_on_exported,
                                      .user = r });
  if (r->control == 0)
    _fe_move_fail (r, "no connection could be made");
}
