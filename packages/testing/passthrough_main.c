/* passthrough: a minimal HTTP pass-through proxy, the baseline for
   measurements of the request path.  It makes no decisions: every request goes
   to one upstream over a pooled connection, and the response is copied back.
 */
#include "tc.h"
#include "th.h"

#include <event2/buffer.h>
#include <glib.h>
#include <stdio.h>

typedef struct
{
  struct event_base *base;
  const char *upstream;
  GPtrArray *idle; /* tc_conn */
} _proxy;

typedef struct
{
  _proxy *proxy;
  struct evhttp_request *caller;
  tc_conn *conn;
  bool started;
} _exchange;

static void
_on_head (int status, struct evkeyvalq *headers, void *user)
{
  _exchange *r = user;
  const char *type = evhttp_find_header (headers, "Content-Type");
  if (type != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (r->caller),
                       "Content-Type", type);
  evhttp_send_reply_start (r->caller, status, NULL);
  r->started = true;
}

static void
_on_data (st_str data, void *user)
{
  _exchange *r = user;
  struct evbuffer *out = evbuffer_new ();
  evbuffer_add (out, data.ptr, data.len);
  evhttp_send_reply_chunk (r->caller, out);
  evbuffer_free (out);
}

static void
_on_done (const tc_result *result, void *user)
{
  _exchange *r = user;
  if (r->started)
    evhttp_send_reply_end (r->caller);
  else
    th_reply_error (r->caller, 502, "unavailable", "the upstream is down");
  if (result->end == TC_COMPLETE)
    g_ptr_array_add (r->proxy->idle, r->conn);
  else
    tc_destroy (r->conn);
  g_free (r);
}

static void
_on_request (struct evhttp_request *req, void *user)
{
  _proxy *p = user;
  _exchange *r = g_new0 (_exchange, 1);
  const tc_header headers[] = { { "Dotterelbend-Stream",
                                  th_header (req, "Dotterelbend-Request-Id") },
                                { NULL, NULL } };
  r->proxy = p;
  r->caller = req;
  r->conn = p->idle->len > 0
                ? g_ptr_array_remove_index_fast (p->idle, p->idle->len - 1)
                : tc_make (p->base, p->upstream);
  if (r->conn == NULL
      || !tc_send (
          r->conn,
          &(tc_call){ .method = evhttp_request_get_command (req),
                      .path = evhttp_request_get_uri (req),
                      .headers = headers[0].value[0] != '\0' ? headers : NULL,
                      .body = th_body (req),
                      .idle_timeout_ms = 600000,
                      .on_head = _on_head,
                      .on_data = _on_data,
                      .on_done = _on_done,
                      .user = r }))
    {
      tc_destroy (r->conn);
      th_reply_error (req, 502, "unavailable", "the upstream is down");
      g_free (r);
    }
}

int
main (int argc, char **argv)
{
  _proxy p = { 0 };
  er_error err = { 0 };
  uint16_t port;
  if (argc != 3)
    {
      fprintf (stderr, "Usage: passthrough LISTEN-IP:PORT UPSTREAM-IP:PORT\n");
      return 1;
    }
  p.base = event_base_new ();
  p.upstream = argv[2];
  p.idle = g_ptr_array_new ();
  if (th_listen (p.base, argv[1], _on_request, &p, &port, &err) == NULL)
    {
      fprintf (stderr, "passthrough: %s\n", err.message);
      return 1;
    }
  th_announce ("passthrough", argv[1], port);
  return event_base_dispatch (p.base) < 0;
}
