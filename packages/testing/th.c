#include "th.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The HTTP server refuses larger bodies.  The limit is above the 1 MB of the
   store, so that too large values get the error of the store.  */
#define TH_BODY_MAX_BYTES (16 << 20)

/* Splits "IP:PORT".  Returns false when ADDRESS is malformed.  */
bool
th_parse_address (const char *address, char *host, size_t host_size,
                  uint16_t *port)
{
  const char *colon = address != NULL ? strrchr (address, ':') : NULL;
  uint64_t value;
  if (colon == NULL || (size_t)(colon - address) >= host_size
      || !st_parse_u64 (st_from_cstr (colon + 1), &value) || value > 65535)
    return false;
  memcpy (host, address, (size_t)(colon - address));
  host[colon - address] = '\0';
  *port = (uint16_t)value;
  return true;
}

/* Starts an HTTP server on ADDRESS (IP:PORT; port 0 means any free one).
   Returns the port in PORT.  Returns NULL and fills ERR on failure.  */
struct evhttp *
th_listen (struct event_base *base, const char *address,
           void (*on_request) (struct evhttp_request *, void *), void *user,
           uint16_t *port, er_error *err)
{
  char host[64];
  struct evhttp *http = NULL;
  struct evhttp_bound_socket *bound;
  struct sockaddr_in name = { 0 };
  socklen_t name_size = sizeof name;
  signal (SIGPIPE, SIG_IGN);
  if (!th_parse_address (address, host, sizeof host, port))
    {
      er_set (err, ER_INVALID, "'%s' is not an address; give IP:PORT",
              address);
      return NULL;
    }
  http = evhttp_new (base);
  bound = evhttp_bind_socket_with_handle (http, host, *port);
  if (bound == NULL)
    {
      er_set (err, ER_UNAVAILABLE, "cannot listen on %s; choose a free port",
              address);
      evhttp_free (http);
      return NULL;
    }
  if (getsockname (evhttp_bound_socket_get_fd (bound),
                   (struct sockaddr *)&name, &name_size)
      == 0)
    *port = ntohs (name.sin_port);
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                        | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_max_body_size (http, TH_BODY_MAX_BYTES);
  evhttp_set_max_headers_size (http, 64 << 10);
  evhttp_set_gencb (http, on_request, user);
  return http;
}

/* Path of the request without the query; "/" when there is none.  */
const char *
th_path (struct evhttp_request *req)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (req);
  const char *path = uri != NULL ? evhttp_uri_get_path (uri) : NULL;
  return path != NULL && path[0] != '\0' ? path : "/";
}

/* Value of a request header; "" when it is absent.  */
const char *
th_header (struct evhttp_request *req, const char *name)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (req), name);
  return value != NULL ? value : "";
}

/* Copies the query parameter NAME.  Returns false when it is absent or too
   long.  */
bool
th_query_text (struct evhttp_request *req, const char *name, char *text,
               size_t size)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (req);
  const char *query = uri != NULL ? evhttp_uri_get_query (uri) : NULL;
  struct evkeyvalq params;
  const char *value;
  bool found;
  if (query == NULL || evhttp_parse_query_str (query, &params) != 0)
    return false;
  value = evhttp_find_header (&params, name);
  found = value != NULL && strlen (value) < size;
  if (found)
    memcpy (text, value, strlen (value) + 1);
  evhttp_clear_headers (&params);
  return found;
}

/* Parses the query parameter NAME as a number.  */
bool
th_query_u64 (struct evhttp_request *req, const char *name, uint64_t *value)
{
  char text[32];
  return th_query_text (req, name, text, sizeof text)
         && st_parse_u64 (st_from_cstr (text), value);
}

/* Makes the response to REQ repeat the number of the call, so that its
   connection can be reused.  */
void
th_echo_call (struct evhttp_request *req)
{
  static const char field[] = "Dotterelbend-Call";
  const char *number = th_header (req, field);
  if (number[0] != '\0')
    evhttp_add_header (evhttp_request_get_output_headers (req), field, number);
}

/* View of the request's body, valid until the reply is sent.  */
st_str
th_body (struct evhttp_request *req)
{
  struct evbuffer *buffer = evhttp_request_get_input_buffer (req);
  size_t len = evbuffer_get_length (buffer);
  if (len == 0)
    return (st_str){ "", 0 };
  return (st_str){ (const char *)evbuffer_pullup (buffer, -1), len };
}

/* The request's body as JSON; NULL when it is not JSON.  */
json_t *
th_body_json (struct evhttp_request *req)
{
  st_str body = th_body (req);
  return json_loadb (body.ptr, body.len, 0, NULL);
}

/* Sends a reply with BODY and releases BODY.  */
void
th_reply_json (struct evhttp_request *req, int status, json_t *body)
{
  struct evbuffer *out = evbuffer_new ();
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  if (text != NULL)
    evbuffer_add (out, text, strlen (text));
  free (text);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     "application/json");
  evhttp_send_reply (req, status, NULL, out);
  evbuffer_free (out);
}

/* Sends a reply with {"error":{"kind","message"}}.  */
void
th_reply_error (struct evhttp_request *req, int status, const char *kind,
                const char *message)
{
  th_reply_json (
      req, status,
      json_pack ("{s:{s:s,s:s}}", "error", "kind", kind, "message", message));
}

static void
_th_close (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (user);
}

/* Closes the request's connection without a reply.  The request must not be
   used afterwards.  */
void
th_abort (struct evhttp_request *req)
{
  struct evhttp_connection *conn = evhttp_request_get_connection (req);
  struct timeval now = { 0, 0 };
  if (conn == NULL)
    {
      /* Frees a request whose connection is closed.  */
      evhttp_send_reply_end (req);
      return;
    }
  /* The connection must not be freed inside its own callback, so the event
     loop frees it.  */
  event_base_once (evhttp_connection_get_base (conn), -1, EV_TIMEOUT,
                   _th_close, conn, &now);
}

/* True until a loss of the connection of REQ was detected.  */
bool
th_connected (struct evhttp_request *req)
{
  return evhttp_request_get_connection (req) != NULL;
}

static void
_th_registered (struct evhttp_request *req, void *user)
{
  (void)user;
  if (req == NULL || evhttp_request_get_response_code (req) != 200)
    fprintf (stderr, "the platform did not accept the VM list entry; check "
                     "--platform\n");
}

/* Posts ENTRY to the VM list at PLATFORM (IP:PORT) and releases ENTRY.  A
   failure is printed to standard error.  */
void
th_register (struct event_base *base, const char *platform, json_t *entry)
{
  char host[64];
  uint16_t port;
  char *text = NULL;
  struct evhttp_connection *conn;
  struct evhttp_request *req;
  json_t *body = json_pack ("{s:[o]}", "vms", entry);
  if (!th_parse_address (platform, host, sizeof host, &port))
    goto out;
  text = json_dumps (body, JSON_COMPACT);
  conn = evhttp_connection_base_new (base, NULL, host, port);
  evhttp_connection_set_timeout (conn, 5);
  evhttp_connection_free_on_completion (conn);
  req = evhttp_request_new (_th_registered, NULL);
  evbuffer_add (evhttp_request_get_output_buffer (req), text, strlen (text));
  evhttp_add_header (evhttp_request_get_output_headers (req), "Host", host);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Connection",
                     "close");
  evhttp_make_request (conn, req, EVHTTP_REQ_POST, "/vms");
out:
  free (text);
  json_decref (body);
}

/* Prints the line "PROGRAM listening IP:PORT" to standard output.  Returns
   false on failure.  */
bool
th_announce (const char *program, const char *address, uint16_t port)
{
  char host[64];
  uint16_t given_port;
  if (!th_parse_address (address, host, sizeof host, &given_port))
    return false;
  printf ("%s listening %s:%u\n", program, host, port);
  return fflush (stdout) == 0;
}
