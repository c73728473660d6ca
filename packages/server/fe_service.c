#include "fe_internal.h"
#include "hx.h"

#include "lg.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#define _FE_READ_TIMEOUT_MS 5000
#define _FE_MAX_READ_ATTEMPTS 3

/* An idempotent read that is forwarded to an instance of a plain service.  */
typedef struct
{
  fe_front *fe;
  struct evhttp_request *http; /* NULL once the caller disconnected */
  char *path;
  st_name service;
  unsigned attempts;
  up_id call;
  int status;
  char content_type[64];
  struct evbuffer *response;
} _fe_read;

static void _fe_read_send (_fe_read *read);

static void
_fe_read_free (_fe_read *read)
{
  if (read->http != NULL)
    evhttp_connection_set_closecb (evhttp_request_get_connection (read->http),
                                   NULL, NULL);
  evbuffer_free (read->response);
  g_free (read->path);
  read->fe->service_calls--;
  g_free (read);
}

static void
_fe_read_on_closed (struct evhttp_connection *conn, void *arg)
{
  _fe_read *read = arg;
  (void)conn;
  read->http = NULL;
  up_cancel (read->fe->sv->up, read->call);
  _fe_read_free (read);
}

static void
_fe_read_fail (_fe_read *read, er_kind kind, const char *message)
{
  struct evhttp_request *http = read->http;
  fe_front *fe = read->fe;
  _fe_read_free (read);
  fe_reply_error (
      fe, http,
      &(fe_error){ .kind = kind,
                   .message = message,
                   .retry_after_ms = kind == ER_UNAVAILABLE ? 1000 : 0 });
}

static void
_fe_read_on_head (void *user, int status, struct evkeyvalq *headers)
{
  _fe_read *read = user;
  const char *type = evhttp_find_header (headers, "Content-Type");
  read->status = status;
  if (type != NULL)
    g_strlcpy (read->content_type, type, sizeof read->content_type);
}

static void
_fe_read_on_data (void *user, struct evbuffer *data)
{
  _fe_read *read = user;
  if (evbuffer_get_length (read->response) + evbuffer_get_length (data)
      > read->fe->desc.max_response_bytes)
    {
      up_cancel (read->fe->sv->up, read->call);
      _fe_read_fail (read, ER_TOO_LARGE,
                     "the service's response is longer than this VM buffers");
      return;
    }
  evbuffer_add_buffer (read->response, data);
}

static void
_fe_read_on_done (void *user, const up_result *result)
{
  _fe_read *read = user;
  read->call = 0;
  bool failed = result->end != UP_COMPLETE || result->status >= 500;
  if (failed && read->attempts < _FE_MAX_READ_ATTEMPTS
      && po_take_retry (read->fe->sv->policy))
    {
      evbuffer_drain (read->response, evbuffer_get_length (read->response));
      _fe_read_send (read);
      return;
    }
  if (result->end != UP_COMPLETE)
    {
      _fe_read_fail (read, ER_UNAVAILABLE,
                     "no instance of the service answered: try again");
      return;
    }
  struct evhttp_request *http = read->http;
  evhttp_add_header (evhttp_request_get_output_headers (http), "Content-Type",
                     read->content_type[0] != 0 ? read->content_type
                                                : "application/json");
  hx_track (read->fe->desc.unsent, http);
  evhttp_send_reply (http, result->status, hx_reason_of (result->status),
                     read->response);
  read->http = NULL;
  _fe_read_free (read);
}

static void
_fe_read_send (_fe_read *read)
{
  const dr_entry *target = sv_choose_service (
      read->fe->sv, st_name_str (&read->service), read->attempts++);
  if (target == NULL)
    {
      _fe_read_fail (read, ER_UNAVAILABLE,
                     "no instance of the service is live: try again later");
      return;
    }
  read->call
      = up_send (read->fe->sv->up,
                 &(up_call_desc){ .address = st_name_str (&target->address),
                                  .method = EVHTTP_REQ_GET,
                                  .path = read->path,
                                  .idle_timeout_ms = _FE_READ_TIMEOUT_MS,
                                  .on_head = _fe_read_on_head,
                                  .on_data = _fe_read_on_data,
                                  .on_done = _fe_read_on_done,
                                  .user = read });
  if (read->call == 0)
    _fe_read_fail (read, ER_UNAVAILABLE,
                   "this VM has too many calls in progress: use another "
                   "address");
}

static void
_fe_service_read (fe_front *fe, struct evhttp_request *req, st_str service,
                  st_str path)
{
  _fe_read *read = g_new0 (_fe_read, 1);
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (req));
  read->fe = fe;
  read->http = req;
  read->response = evbuffer_new ();
  st_name_set (&read->service, service);
  read->path
      = g_strdup_printf ("/%.*s%s%s", ST_FMT (path), query != NULL ? "?" : "",
                         query != NULL ? query : "");
  fe->service_calls++;
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 _fe_read_on_closed, read);
  _fe_read_send (read);
}

/* GET and POST /v1/services/SERVICE/PATH; REST is the path behind
   "/v1/services/".  */
void
fe_service (fe_front *fe, struct evhttp_request *req, st_str rest)
{
  size_t slash;
  if (!st_find_char (rest, '/', &slash) || slash == 0 || slash > ST_NAME_MAX)
    {
      fe_reply_error (fe, req,
                      &(fe_error){ .kind = ER_INVALID,
                                   .message = "the path must be "
                                              "/v1/services/SERVICE/PATH" });
      return;
    }
  st_str service = st_slice (rest, 0, slash);
  st_str path = st_slice (rest, slash + 1, rest.len);
  if (evhttp_request_get_command (req) != EVHTTP_REQ_GET)
    fe_service_call (fe, req, service, path);
  else if (sv_query_leaving (fe->sv))
    fe_reply_error (fe, req,
                    &(fe_error){ .kind = ER_UNAVAILABLE,
                                 .name = "leaving",
                                 .message = "this VM is shutting down: use "
                                            "another address",
                                 .retry_after_ms = 1000 });
  else
    _fe_service_read (fe, req, service, path);
}
