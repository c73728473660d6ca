#include "tc.h"

#include "th.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

#define TC_IDLE_TIMEOUT_MS 30000

struct tc_conn
{
  struct event_base *base;
  struct evhttp_connection *http;
  char host[64];
  uint16_t port;
  tc_call call;
  bool busy;
  bool sent;
  bool failed;
  bool destroyed; /* tc_destroy was called; the event loop frees it */
};

/* Notes that bytes were sent: the output buffer is drained only into the
   socket.  */
static void
_tc_on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
               void *user)
{
  tc_conn *c = user;
  (void)buffer;
  if (info->n_deleted > 0)
    c->sent = true;
}

/* Makes a connection to ADDRESS (IP:PORT).  Returns NULL when it is
   malformed.  */
tc_conn *
tc_make (struct event_base *base, const char *address)
{
  tc_conn *c = g_new0 (tc_conn, 1);
  c->base = base;
  if (!th_parse_address (address, c->host, sizeof c->host, &c->port))
    {
      g_free (c);
      return NULL;
    }
  c->http = evhttp_connection_base_bufferevent_new (base, NULL, NULL, c->host,
                                                    c->port);
  evhttp_connection_set_max_body_size (c->http, 64 << 20);
  evbuffer_add_cb (
      bufferevent_get_output (evhttp_connection_get_bufferevent (c->http)),
      _tc_on_output, c);
  return c;
}

static void
_tc_free (evutil_socket_t fd, short what, void *user)
{
  tc_conn *c = user;
  (void)fd;
  (void)what;
  evhttp_connection_free (c->http);
  g_free (c);
}

/* Closes C.  Its callbacks are not called after this.  */
void
tc_destroy (tc_conn *c)
{
  struct timeval now = { 0, 0 };
  if (c == NULL || c->destroyed)
    return;
  c->destroyed = true;
  bufferevent_disable (evhttp_connection_get_bufferevent (c->http),
                       EV_READ | EV_WRITE);
  event_base_once (c->base, -1, EV_TIMEOUT, _tc_free, c, &now);
}

static void
_tc_deliver (tc_conn *c, struct evhttp_request *req)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (req);
  size_t len = evbuffer_get_length (in);
  if (len > 0 && c->call.on_data != NULL && !c->destroyed)
    c->call.on_data ((st_str){ (const char *)evbuffer_pullup (in, -1), len },
                     c->call.user);
  evbuffer_drain (in, len);
}

static void
_tc_on_chunk (struct evhttp_request *req, void *user)
{
  _tc_deliver (user, req);
}

static int
_tc_on_head (struct evhttp_request *req, void *user)
{
  tc_conn *c = user;
  if (!c->destroyed && c->call.on_head != NULL)
    c->call.on_head (evhttp_request_get_response_code (req),
                     evhttp_request_get_input_headers (req), c->call.user);
  return 0;
}

static void
_tc_on_error (enum evhttp_request_error error, void *user)
{
  tc_conn *c = user;
  (void)error;
  c->failed = true;
}

static void
_tc_on_done (struct evhttp_request *req, void *user)
{
  tc_conn *c = user;
  tc_result result = { .end = c->sent ? TC_CONNECTION_LOST : TC_NOT_SENT };
  if (c->destroyed)
    return;
  if (req != NULL && !c->failed && evhttp_request_get_response_code (req) != 0)
    {
      result.end = TC_COMPLETE;
      result.status = evhttp_request_get_response_code (req);
      result.headers = evhttp_request_get_input_headers (req);
      _tc_deliver (c, req);
      if (c->destroyed)
        return;
    }
  c->busy = false;
  c->call.on_done (&result, c->call.user);
}

/* Starts a call.  Returns false when one is in progress or nothing could be
   sent; on_done is then not called.  */
bool
tc_send (tc_conn *c, const tc_call *call)
{
  struct evhttp_request *req;
  struct evkeyvalq *headers;
  uint32_t idle_timeout_ms
      = call->idle_timeout_ms > 0 ? call->idle_timeout_ms : TC_IDLE_TIMEOUT_MS;
  struct timeval tv
      = { idle_timeout_ms / 1000, idle_timeout_ms % 1000 * 1000 };
  char host[80];
  if (c->busy || c->destroyed)
    return false;
  c->call = *call;
  c->busy = true;
  c->sent = false;
  c->failed = false;
  evhttp_connection_set_timeout_tv (c->http, &tv);
  req = evhttp_request_new (_tc_on_done, c);
  evhttp_request_set_header_cb (req, _tc_on_head);
  evhttp_request_set_chunked_cb (req, _tc_on_chunk);
  evhttp_request_set_error_cb (req, _tc_on_error);
  headers = evhttp_request_get_output_headers (req);
  g_snprintf (host, sizeof host, "%s:%u", c->host, c->port);
  evhttp_add_header (headers, "Host", host);
  if (call->body.len > 0)
    {
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (req), call->body.ptr,
                    call->body.len);
    }
  for (const tc_header *h = call->headers; h != NULL && h->name != NULL; h++)
    evhttp_add_header (headers, h->name, h->value);
  if (evhttp_make_request (c->http, req, call->method, call->path) != 0)
    {
      c->busy = false;
      return false;
    }
  return true;
}
