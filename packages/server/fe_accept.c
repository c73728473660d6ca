#include "fe_internal.h"

#include "lg.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#define _FE_DEFAULT_MAX_REQUESTS 16384
#define _FE_DEFAULT_MAX_BODY_BYTES (1024 * 1024)
#define _FE_DEFAULT_MAX_HEADER_BYTES (16 * 1024)
#define _FE_DEFAULT_MAX_RESPONSE_BYTES (4 * 1024 * 1024)
#define _FE_DEFAULT_MAX_BUFFERED_BYTES (64 * 1024 * 1024)
#define _FE_EXPIRE_PERIOD_US (100 * CK_MS_US)
#define _FE_EXPECTED_EVENTS 64

/* The request of ID, or NULL when it was freed.  */
fe_request *
fe_request_of (fe_front *fe, id_handle id)
{
  return id_valid (&fe->ids, id) ? &fe->requests[id_index (id)] : NULL;
}

/* Makes an empty request; NULL when the pool is full.  */
fe_request *
fe_request_make (fe_front *fe)
{
  id_handle id = id_make (&fe->ids);
  if (id == 0)
    return NULL;
  fe_request *r = &fe->requests[id_index (id)];
  memset (r, 0, sizeof *r);
  r->fe = fe;
  r->self = id;
  r->accepted_us = sv_now_us (fe->sv);
  r->response = g_string_sized_new (0);
  r->event_ends = g_array_sized_new (FALSE, FALSE, sizeof (uint32_t),
                                     _FE_EXPECTED_EVENTS);
  return r;
}

/* Releases R, which has no readers and no call in progress.  */
void
fe_request_free (fe_request *r)
{
  fe_front *fe = r->fe;
  fe->buffered_bytes -= r->response->len;
  g_string_free (r->response, TRUE);
  g_array_free (r->event_ends, TRUE);
  g_free (r->body);
  if (r->prompt != NULL)
    g_string_free (r->prompt, TRUE);
  if (r->kv_state != NULL)
    g_string_free (r->kv_state, TRUE);
  id_destroy (&fe->ids, r->self);
}

static void
_fe_accept_model (fe_front *fe, struct evhttp_request *req, const char *path)
{
  er_error err = { .kind = ER_OK };
  if (evhttp_request_get_command (req) != EVHTTP_REQ_POST)
    {
      fe_reply_error (fe, req,
                      &(fe_error){ .status = 405,
                                   .kind = ER_INVALID,
                                   .outcome = fe_refusal_outcome (fe, req),
                                   .message = "use POST" });
      return;
    }
  fe_request *r = fe_request_make (fe);
  if (r == NULL)
    {
      fe_reply_error (fe, req,
                      &(fe_error){ .kind = ER_UNAVAILABLE,
                                   .name = "vm_full",
                                   .outcome = fe_refusal_outcome (fe, req),
                                   .retry_after_ms = 1000,
                                   .message = "this VM has too many "
                                              "requests: use another "
                                              "address" });
      return;
    }
  r->path = path;
  if (!fe_identify (fe, req, r, &err))
    {
      fe_reply_error (fe, req,
                      &(fe_error){ .kind = err.kind,
                                   .outcome = fe_refusal_outcome (fe, req),
                                   .message = err.message });
      fe_request_free (r);
      return;
    }
  fe_admit (fe, req, r);
}

static void
_fe_accept_addresses (fe_front *fe, struct evhttp_request *req)
{
  struct evkeyvalq query;
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (req));
  const char *region = NULL;
  bool parsed = text != NULL && evhttp_parse_query_str (text, &query) == 0;
  if (parsed)
    region = evhttp_find_header (&query, "region");
  fe_reply_json (fe, req, 200,
                 sv_addresses_json (fe->sv, st_from_cstr (region)));
  if (parsed)
    evhttp_clear_headers (&query);
}

static void
_fe_accept_metrics (fe_front *fe, struct evhttp_request *req)
{
  GString *text = mt_write_text (fe->sv->metrics);
  struct evbuffer *out = evbuffer_new ();
  evbuffer_add (out, text->str, text->len);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     "text/plain; version=0.0.4");
  hx_track (fe->desc.unsent, req);
  evhttp_send_reply (req, 200, "OK", out);
  evbuffer_free (out);
  g_string_free (text, TRUE);
}

static void
_fe_accept_ready (fe_front *fe, struct evhttp_request *req)
{
  const char *why = "";
  bool ready = sv_query_ready (fe->sv, &why);
  fe_reply_json (fe, req, ready ? 200 : 503,
                 json_pack ("{s:b,s:s}", "ready", ready, "reason", why));
}

static void
_fe_on_request (struct evhttp_request *req, void *arg)
{
  fe_front *fe = arg;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (req);
  const char *text = uri != NULL ? evhttp_uri_get_path (uri) : NULL;
  st_str path = st_from_cstr (text);
  static const st_str requests = { "/v1/requests/", 13 };
  static const st_str services = { "/v1/services/", 13 };
  if (st_equal_cstr (path, "/v1/chat/completions"))
    _fe_accept_model (fe, req, "/v1/chat/completions");
  else if (st_equal_cstr (path, "/v1/completions"))
    _fe_accept_model (fe, req, "/v1/completions");
  else if (st_equal_cstr (path, "/v1/addresses"))
    _fe_accept_addresses (fe, req);
  else if (st_starts_with (path, requests))
    fe_query (fe, req, st_slice (path, requests.len, path.len));
  else if (st_starts_with (path, services))
    fe_service (fe, req, st_slice (path, services.len, path.len));
  else if (st_equal_cstr (path, "/healthz"))
    fe_reply_json (fe, req, 200, json_pack ("{s:b}", "ok", 1));
  else if (st_equal_cstr (path, "/readyz"))
    _fe_accept_ready (fe, req);
  else if (st_equal_cstr (path, "/metrics"))
    _fe_accept_metrics (fe, req);
  else
    fe_reply_error (fe, req,
                    &(fe_error){ .kind = ER_NOT_FOUND,
                                 .message = "no such path: see section 6.1 "
                                            "of docs/design.md" });
}

static void
_fe_apply_defaults (fe_desc *desc)
{
  if (desc->max_requests == 0)
    desc->max_requests = _FE_DEFAULT_MAX_REQUESTS;
  if (desc->max_body_bytes == 0)
    desc->max_body_bytes = _FE_DEFAULT_MAX_BODY_BYTES;
  if (desc->max_header_bytes == 0)
    desc->max_header_bytes = _FE_DEFAULT_MAX_HEADER_BYTES;
  if (desc->max_response_bytes == 0)
    desc->max_response_bytes = _FE_DEFAULT_MAX_RESPONSE_BYTES;
  if (desc->max_buffered_bytes == 0)
    desc->max_buffered_bytes = _FE_DEFAULT_MAX_BUFFERED_BYTES;
}

/* Binds the listener of DESC.  NULL, with ERR set, when the address cannot
   be bound.  */
fe_front *
fe_make (const fe_desc *desc, er_error *err)
{
  fe_front *fe = g_new0 (fe_front, 1);
  fe->sv = desc->server;
  fe->desc = *desc;
  _fe_apply_defaults (&fe->desc);
  id_setup (&fe->ids, &(id_desc){ .capacity = fe->desc.max_requests });
  fe->requests = g_new0 (fe_request, fe->desc.max_requests);
  fe->team_metrics
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&fe->retained);
  fe->http = evhttp_new (fe->sv->base);
  evhttp_set_gencb (fe->http, _fe_on_request, fe);
  evhttp_set_max_body_size (fe->http, (ev_ssize_t)fe->desc.max_body_bytes);
  evhttp_set_max_headers_size (fe->http,
                               (ev_ssize_t)fe->desc.max_header_bytes);
  evhttp_set_allowed_methods (fe->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                            | EVHTTP_REQ_DELETE);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (fe->http, desc->host, desc->port);
  if (bound == NULL)
    {
      er_set (err, ER_UNAVAILABLE,
              "cannot listen on %s:%u: choose a free address in "
              "listen.callers",
              desc->host, desc->port);
      fe_destroy (fe);
      return NULL;
    }
  fe->port = sv_socket_port (evhttp_bound_socket_get_fd (bound));
  return fe;
}

/* Closes the listener and releases all requests.  */
void
fe_destroy (fe_front *fe)
{
  if (fe == NULL)
    return;
  evhttp_free (fe->http);
  for (uint32_t i = 0; i < fe->ids.capacity; i++)
    if (id_at (&fe->ids, i) != 0)
      fe_request_free (&fe->requests[i]);
  g_queue_clear (&fe->retained);
  g_hash_table_destroy (fe->team_metrics);
  id_shutdown (&fe->ids);
  g_free (fe->requests);
  g_free (fe);
}

static void
_fe_on_record_drop (const rq_record *record, void *user)
{
  fe_front *fe = user;
  fe_request *r = fe_request_of (fe, record->user);
  if (r == NULL || r->readers != NULL)
    return;
  if (r->retained != NULL)
    g_queue_delete_link (&fe->retained, r->retained);
  fe_request_free (r);
}

/* Periodic work: drops records that are too old.  */
void
fe_tick (fe_front *fe)
{
  uint64_t now_us = sv_now_us (fe->sv);
  if (now_us < fe->next_expire_us)
    return;
  fe->next_expire_us = now_us + _FE_EXPIRE_PERIOD_US;
  rq_expire (fe->sv->requests, sv_wall_ms (fe->sv), _fe_on_record_drop, fe);
}

/* Number of requests and service reads without an outcome, plus the ended
   requests with a reader that has not received all of the response.  */
uint32_t
fe_query_open (const fe_front *fe)
{
  uint32_t open = fe->open + fe->service_calls;
  for (const GList *at = fe->retained.head; at != NULL; at = at->next)
    if (((const fe_request *)at->data)->readers != NULL)
      open++;
  return open;
}

/* Port of the callers' listener.  */
uint16_t
fe_query_port (const fe_front *fe)
{
  return fe->port;
}
