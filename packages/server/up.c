#include "up.h"

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define _UP_DEFAULT_MAX_CALLS 16384
#define _UP_DEFAULT_MAX_IDLE 256
#define _UP_DEFAULT_IDLE_TIMEOUT_MS 60000
#define _UP_DEFAULT_CONNECT_TIMEOUT_MS 2000
/* Identifies a call to its upstream, which repeats the field in its
   response.  */
#define _UP_CALL_FIELD "Dotterelbend-Call"
#define _UP_NUMBER_MAX 24
/* Most bytes that an upstream may send without a head or a part of a body. */
#define _UP_UNPARSED_MAX_BYTES (256 * 1024)
/* Longest body of a call that does not use it.  */
#define _UP_UNUSED_BODY_MAX_BYTES (1024 * 1024)

typedef struct _up_upstream _up_upstream;

typedef struct
{
  _up_upstream *upstream;
  struct evhttp_connection *http;
  struct evbuffer_cb_entry *output_cb; /* on bytes to the socket */
  struct evbuffer_cb_entry *input_cb;  /* on bytes from it */
  size_t unparsed_bytes; /* received since the last head or part of a body */
  up_id call;            /* 0 while idle and after a cancel */
  bool reused;
  uint64_t idle_timeout_ms;
  up_pool *pool;
} _up_conn;

struct _up_upstream
{
  char host[64];
  uint16_t port;
  GQueue idle; /* _up_conn */
};

typedef struct
{
  up_id id;
  _up_conn *conn;
  char number[_UP_NUMBER_MAX]; /* differs between the calls of the pool */
  bool sent;
  bool paused;
  bool echoed;   /* its response has the number */
  bool mismatch; /* a response of another call was received */
  int status;
  size_t body_bytes;     /* received */
  size_t max_body_bytes; /* 0: no limit */
  enum evhttp_request_error error;
  bool failed;
  void (*on_head) (void *user, int status, struct evkeyvalq *headers);
  void (*on_data) (void *user, struct evbuffer *data);
  void (*on_done) (void *user, const up_result *result);
  void *user;
} _up_call;

struct up_pool
{
  up_desc desc;
  id_pool ids;
  _up_call *calls;
  uint64_t call_count;   /* since the start */
  GHashTable *upstreams; /* "IP:PORT" -> _up_upstream */
  GPtrArray *closing;    /* _up_conn to free outside of its callbacks */
  struct event *close_event;
  GArray *endless; /* up_id of calls to fail outside of evhttp's callbacks */
  struct event *endless_event;
};

static void
_up_conn_free (_up_conn *conn)
{
  evhttp_connection_free (conn->http);
  g_free (conn);
}

static void
_up_free_closing (evutil_socket_t fd, short what, void *arg)
{
  up_pool *pool = arg;
  (void)fd;
  (void)what;
  for (guint i = 0; i < pool->closing->len; i++)
    _up_conn_free (pool->closing->pdata[i]);
  g_ptr_array_set_size (pool->closing, 0);
}

static void
_up_upstream_free (gpointer data)
{
  _up_upstream *upstream = data;
  _up_conn *conn;
  while ((conn = g_queue_pop_head (&upstream->idle)) != NULL)
    _up_conn_free (conn);
  g_free (upstream);
}

/* Ends CALL, whose response exceeds a limit.  */
static void
_up_fail_too_long (up_pool *pool, const _up_call *call)
{
  up_result result = { .end = call->sent ? UP_CONNECTION_LOST : UP_NOT_SENT,
                       .status = call->status,
                       .error = "response too long" };
  void (*on_done) (void *, const up_result *) = call->on_done;
  void *user = call->user;
  up_cancel (pool, call->id);
  on_done (user, &result);
}

static void
_up_fail_endless (evutil_socket_t fd, short what, void *arg)
{
  up_pool *pool = arg;
  (void)fd;
  (void)what;
  while (pool->endless->len > 0)
    {
      up_id id = g_array_index (pool->endless, up_id, 0);
      g_array_remove_index_fast (pool->endless, 0);
      if (id_valid (&pool->ids, id))
        _up_fail_too_long (pool, &pool->calls[id_index (id)]);
    }
}

/* Makes a pool without connections.  */
up_pool *
up_make (const up_desc *desc)
{
  up_pool *pool = g_new0 (up_pool, 1);
  pool->desc = *desc;
  if (pool->desc.max_calls == 0)
    pool->desc.max_calls = _UP_DEFAULT_MAX_CALLS;
  if (pool->desc.max_idle == 0)
    pool->desc.max_idle = _UP_DEFAULT_MAX_IDLE;
  if (pool->desc.idle_timeout_ms == 0)
    pool->desc.idle_timeout_ms = _UP_DEFAULT_IDLE_TIMEOUT_MS;
  if (pool->desc.connect_timeout_ms == 0)
    pool->desc.connect_timeout_ms = _UP_DEFAULT_CONNECT_TIMEOUT_MS;
  id_setup (&pool->ids, &(id_desc){ .capacity = pool->desc.max_calls });
  pool->calls = g_new0 (_up_call, pool->desc.max_calls);
  pool->upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           _up_upstream_free);
  pool->closing = g_ptr_array_new ();
  pool->close_event = event_new (desc->base, -1, 0, _up_free_closing, pool);
  pool->endless = g_array_new (FALSE, FALSE, sizeof (up_id));
  pool->endless_event = event_new (desc->base, -1, 0, _up_fail_endless, pool);
  return pool;
}

/* Cancels every call without callbacks and closes all connections.  */
void
up_destroy (up_pool *pool)
{
  if (pool == NULL)
    return;
  for (uint32_t i = 0; i < pool->desc.max_calls; i++)
    up_cancel (pool, id_at (&pool->ids, i));
  _up_free_closing (-1, 0, pool);
  event_free (pool->close_event);
  event_free (pool->endless_event);
  g_array_free (pool->endless, TRUE);
  g_hash_table_destroy (pool->upstreams);
  g_ptr_array_free (pool->closing, TRUE);
  id_shutdown (&pool->ids);
  g_free (pool->calls);
  g_free (pool);
}

/* Splits "IP:PORT".  False when the port is missing or out of range, or the
   host does not fit.  */
bool
up_parse_address (st_str text, char *host, size_t host_size, uint16_t *port)
{
  size_t colon = text.len;
  while (colon > 0 && text.ptr[colon - 1] != ':')
    colon--;
  uint64_t number;
  if (colon < 2 || colon > host_size
      || !st_parse_u64 (st_slice (text, colon, text.len), &number)
      || number == 0 || number > 65535)
    return false;
  memcpy (host, text.ptr, colon - 1);
  host[colon - 1] = 0;
  *port = (uint16_t)number;
  return true;
}

static _up_upstream *
_up_upstream_get (up_pool *pool, st_str address)
{
  char key[80];
  if (address.len >= sizeof key)
    return NULL;
  memcpy (key, address.ptr, address.len);
  key[address.len] = 0;
  _up_upstream *upstream = g_hash_table_lookup (pool->upstreams, key);
  if (upstream != NULL)
    return upstream;
  upstream = g_new0 (_up_upstream, 1);
  if (!up_parse_address (address, upstream->host, sizeof upstream->host,
                         &upstream->port))
    {
      g_free (upstream);
      return NULL;
    }
  g_hash_table_insert (pool->upstreams, g_strdup (key), upstream);
  return upstream;
}

static _up_call *
_up_call_of (const up_pool *pool, up_id id)
{
  return id_valid (&pool->ids, id) ? &pool->calls[id_index (id)] : NULL;
}

static void
_up_set_timeout (_up_conn *conn, uint64_t timeout_ms)
{
  struct timeval tv = { (time_t)(timeout_ms / 1000),
                        (suseconds_t)(timeout_ms % 1000 * 1000) };
  evhttp_connection_set_timeout_tv (conn->http, &tv);
}

/* Bytes leave the output buffer only towards the socket: evhttp writes a
   request into it once the connection is established.  */
static void
_up_on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
               void *arg)
{
  _up_conn *conn = arg;
  (void)buffer;
  if (info->n_deleted == 0)
    return;
  _up_call *call = _up_call_of (conn->pool, conn->call);
  if (call == NULL || call->sent)
    return;
  call->sent = true;
  _up_set_timeout (conn, conn->idle_timeout_ms);
}

/* Fails the call of a connection on which too much arrives that evhttp stores
   without passing on anything.  */
static void
_up_on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
              void *arg)
{
  _up_conn *conn = arg;
  up_pool *pool = conn->pool;
  (void)buffer;
  conn->unparsed_bytes += info->n_added;
  if (conn->unparsed_bytes <= _UP_UNPARSED_MAX_BYTES || conn->call == 0)
    return;
  conn->unparsed_bytes = 0;
  bufferevent_disable (evhttp_connection_get_bufferevent (conn->http),
                       EV_READ);
  g_array_append_val (pool->endless, conn->call);
  event_active (pool->endless_event, EV_TIMEOUT, 0);
}

static _up_conn *
_up_conn_make (up_pool *pool, _up_upstream *upstream)
{
  _up_conn *conn = g_new0 (_up_conn, 1);
  conn->upstream = upstream;
  conn->pool = pool;
  conn->http = evhttp_connection_base_bufferevent_new (
      pool->desc.base, NULL, NULL, upstream->host, upstream->port);
  /* In force until the first byte was sent.  */
  _up_set_timeout (conn, pool->desc.connect_timeout_ms);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (conn->http);
  conn->output_cb
      = evbuffer_add_cb (bufferevent_get_output (bev), _up_on_output, conn);
  conn->input_cb
      = evbuffer_add_cb (bufferevent_get_input (bev), _up_on_input, conn);
  return conn;
}

static void
_up_conn_close (up_pool *pool, _up_conn *conn)
{
  conn->call = 0;
  g_ptr_array_add (pool->closing, conn);
  event_active (pool->close_event, EV_TIMEOUT, 0);
}

static void
_up_conn_make_idle (up_pool *pool, _up_conn *conn)
{
  conn->call = 0;
  if (conn->upstream->idle.length >= pool->desc.max_idle)
    _up_conn_close (pool, conn);
  else
    g_queue_push_head (&conn->upstream->idle, conn);
}

static const char *
_up_error_text (const _up_call *call)
{
  if (call->mismatch)
    return "response of another call";
  if (!call->failed)
    return call->sent ? "connection lost" : "connection refused";
  switch (call->error)
    {
    case EVREQ_HTTP_TIMEOUT:
      return "timed out";
    case EVREQ_HTTP_EOF:
      return "connection closed early";
    case EVREQ_HTTP_INVALID_HEADER:
      return "invalid response";
    case EVREQ_HTTP_BUFFER_ERROR:
      return "connection lost";
    case EVREQ_HTTP_REQUEST_CANCEL:
      return "cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
      return "response too long";
    }
  return "connection lost";
}

/* The callbacks of a request receive its connection, which outlives the call:
   after a cancel the connection has no call and its events are ignored.  */
static _up_call *
_up_call_of_conn (_up_conn *conn)
{
  return _up_call_of (conn->pool, conn->call);
}

static void
_up_on_error (enum evhttp_request_error error, void *arg)
{
  _up_call *call = _up_call_of_conn (arg);
  if (call == NULL)
    return;
  call->error = error;
  call->failed = true;
}

/* False when bytes follow the response, which would be taken for the start of
   the next one.  */
static bool
_up_is_input_empty (const _up_conn *conn)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (conn->http);
  return evbuffer_get_length (bufferevent_get_input (bev)) == 0;
}

static void
_up_on_complete (struct evhttp_request *req, void *arg)
{
  _up_conn *conn = arg;
  up_pool *pool = conn->pool;
  _up_call *call = _up_call_of_conn (conn);
  if (call == NULL)
    return;
  up_result result = { .status = call->status, .error = "" };
  bool complete = req != NULL && !call->failed
                  && evhttp_request_get_response_code (req) != 0;
  if (complete)
    {
      struct evbuffer *rest = evhttp_request_get_input_buffer (req);
      result.status = evhttp_request_get_response_code (req);
      if (evbuffer_get_length (rest) > 0 && call->on_data != NULL)
        call->on_data (call->user, rest);
      result.end = UP_COMPLETE;
    }
  else
    {
      result.end = call->sent ? UP_CONNECTION_LOST : UP_NOT_SENT;
      result.error = _up_error_text (call);
    }
  /* on_data may have cancelled the call.  */
  if (_up_call_of_conn (conn) == NULL)
    return;
  void (*on_done) (void *, const up_result *) = call->on_done;
  void *user = call->user;
  bool reusable
      = complete && !call->paused && call->echoed && _up_is_input_empty (conn);
  id_destroy (&pool->ids, call->id);
  if (reusable)
    _up_conn_make_idle (pool, conn);
  else
    _up_conn_close (pool, conn);
  on_done (user, &result);
}

static void
_up_on_chunk (struct evhttp_request *req, void *arg)
{
  _up_conn *conn = arg;
  _up_call *call = _up_call_of_conn (conn);
  struct evbuffer *data = evhttp_request_get_input_buffer (req);
  conn->unparsed_bytes = 0;
  if (call != NULL)
    call->body_bytes += evbuffer_get_length (data);
  if (call != NULL && call->max_body_bytes > 0
      && call->body_bytes > call->max_body_bytes)
    {
      evbuffer_drain (data, evbuffer_get_length (data));
      _up_fail_too_long (conn->pool, call);
      return;
    }
  if (call != NULL && call->on_data != NULL)
    call->on_data (call->user, data);
  else
    evbuffer_drain (data, evbuffer_get_length (data));
}

/* Checks that the response with HEADERS belongs to CALL.  The first response
   on a connection needs no echo: there is no other call that it could belong
   to.  */
static bool
_up_is_own_response (_up_call *call, struct evkeyvalq *headers)
{
  const char *number = evhttp_find_header (headers, _UP_CALL_FIELD);
  call->echoed = number != NULL && strcmp (number, call->number) == 0;
  call->mismatch = !call->echoed && (number != NULL || call->conn->reused);
  return !call->mismatch;
}

/* Fails the call, by a negative return value, when the response belongs to an
   earlier one, whose copy arrived late.  The call may have run then.  */
static int
_up_on_head (struct evhttp_request *req, void *arg)
{
  _up_call *call = _up_call_of_conn (arg);
  if (call == NULL)
    return -1;
  int status = evhttp_request_get_response_code (req);
  if (status >= 200
      && !_up_is_own_response (call, evhttp_request_get_input_headers (req)))
    return -1;
  call->status = status;
  if (status >= 200)
    call->conn->unparsed_bytes = 0;
  if (call->on_head != NULL)
    call->on_head (call->user, call->status,
                   evhttp_request_get_input_headers (req));
  return 0;
}

static struct evhttp_request *
_up_build (_up_conn *conn, const up_call_desc *desc, const char *number)
{
  struct evhttp_request *req = evhttp_request_new (_up_on_complete, conn);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  char host[80];
  st_copy (host, sizeof host, desc->address);
  evhttp_request_set_error_cb (req, _up_on_error);
  evhttp_request_set_chunked_cb (req, _up_on_chunk);
  evhttp_request_set_header_cb (req, _up_on_head);
  evhttp_add_header (headers, "Host", host);
  evhttp_add_header (headers, _UP_CALL_FIELD, number);
  for (size_t i = 0; i < desc->header_count; i++)
    evhttp_add_header (headers, desc->headers[i].name, desc->headers[i].value);
  if (desc->body.len > 0)
    evbuffer_add (evhttp_request_get_output_buffer (req), desc->body.ptr,
                  desc->body.len);
  return req;
}

/* Starts a call.  Returns 0 when the address is malformed or the pool is
   full; on_done is then not called and nothing was sent.  */
up_id
up_send (up_pool *pool, const up_call_desc *desc)
{
  _up_upstream *upstream = _up_upstream_get (pool, desc->address);
  if (upstream == NULL)
    return 0;
  up_id id = id_make (&pool->ids);
  if (id == 0)
    return 0;
  _up_conn *conn = g_queue_pop_head (&upstream->idle);
  bool reused = conn != NULL;
  if (conn == NULL)
    conn = _up_conn_make (pool, upstream);
  conn->reused = reused;
  conn->unparsed_bytes = 0;
  conn->idle_timeout_ms = desc->idle_timeout_ms > 0
                              ? desc->idle_timeout_ms
                              : pool->desc.idle_timeout_ms;
  _up_call *call = &pool->calls[id_index (id)];
  *call = (_up_call){ .id = id,
                      .conn = conn,
                      .max_body_bytes
                      = desc->max_body_bytes > 0 || desc->on_data != NULL
                            ? desc->max_body_bytes
                            : _UP_UNUSED_BODY_MAX_BYTES,
                      .on_head = desc->on_head,
                      .on_data = desc->on_data,
                      .on_done = desc->on_done,
                      .user = desc->user };
  g_snprintf (call->number, sizeof call->number, "%" PRIu64,
              ++pool->call_count);
  conn->call = id;
  if (evhttp_make_request (conn->http, _up_build (conn, desc, call->number),
                           desc->method, desc->path)
      != 0)
    {
      id_destroy (&pool->ids, id);
      _up_conn_close (pool, conn);
      return 0;
    }
  return id;
}

static bool
_up_set_reading (up_pool *pool, up_id id, bool reading)
{
  _up_call *call = _up_call_of (pool, id);
  if (call == NULL)
    return false;
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (call->conn->http);
  call->paused = !reading;
  if (reading)
    bufferevent_enable (bev, EV_READ);
  else
    bufferevent_disable (bev, EV_READ);
  return true;
}

/* Stops reading the response, so that the upstream is throttled.  False when
   ID is stale.  */
bool
up_pause (up_pool *pool, up_id id)
{
  return _up_set_reading (pool, id, false);
}

/* Continues reading after up_pause.  False when ID is stale.  */
bool
up_resume (up_pool *pool, up_id id)
{
  return _up_set_reading (pool, id, true);
}

/* Ends a call and closes its connection; its callbacks are no longer called.
   False when ID is stale.  */
bool
up_cancel (up_pool *pool, up_id id)
{
  _up_call *call = _up_call_of (pool, id);
  if (call == NULL)
    return false;
  _up_conn *conn = call->conn;
  id_destroy (&pool->ids, id);
  /* The connection is freed, with its request, outside of this call stack:
     up_cancel may run inside one of the request's own callbacks.  */
  bufferevent_disable (evhttp_connection_get_bufferevent (conn->http),
                       EV_READ | EV_WRITE);
  _up_conn_close (pool, conn);
  return true;
}

/* Number of calls in progress.  */
uint32_t
up_query_calls (const up_pool *pool)
{
  return pool->ids.used;
}
