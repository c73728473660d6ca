#include "uc.h"

#include "ck.h"
#include "lo.h"
#include "nt.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#define _UC_CONNECT_MS 400
#define _UC_IDLE_MS 4000
/* An idle connection is closed this long before the upstream closes it, so
   that no request is sent while its connection is closed.  */
#define _UC_IDLE_MARGIN_MS 900
/* Most responses to other requests that are skipped in one exchange; after
   more the connection fails.  */
#define _UC_SKIP_MAX 2
/* Most bytes of such responses that are read.  */
#define _UC_SKIP_MAX_BYTES (1024 * 1024)
/* Most requests on one connection, which retains their ids.  */
#define _UC_REQUESTS_MAX 256

typedef struct _uc_conn _uc_conn;

struct uc_exchange
{
  uc_pool *pool;
  _uc_conn *conn;
  uc_on_event on_event;
  void *user;
  st_name request_id;
  GString *head; /* of the request, until it is written */
  GBytes *body;  /* the same; NULL: none */
  bool any_response;
  bool sent;
  bool head_seen;
  bool skipping; /* the current response belongs to another request */
  uint32_t skipped_count;
  size_t skipped_bytes;
};

struct _uc_conn
{
  uc_pool *pool;
  uint64_t number;
  struct bufferevent *bev;
  hp_reader *reader;
  struct event *timer; /* of the connect, or of the idle time */
  st_name instance;
  uint64_t *carried; /* hashes of the ids of its requests */
  uint32_t carried_count;
  uint32_t carried_capacity;
  uc_exchange *exchange; /* NULL while idle */
  bool connected;
  bool reusable;
  bool reading;   /* hp_read runs; CONN is freed after it */
  bool cancelled; /* the exchange was, while reading */
  uint32_t idle_ms;
};

struct uc_pool
{
  uc_desc desc;
  GPtrArray *idle;     /* of _uc_conn, newest last */
  GPtrArray *conns;    /* all */
  uint64_t conn_count; /* made so far */
};

static void
_uc_free_conn (_uc_conn *conn)
{
  uc_pool *pool = conn->pool;
  g_ptr_array_remove_fast (pool->conns, conn);
  g_ptr_array_remove (pool->idle, conn);
  event_free (conn->timer);
  nt_close (conn->bev);
  hp_destroy (conn->reader);
  g_free (conn->carried);
  g_free (conn);
}

static void
_uc_free_exchange (uc_exchange *x)
{
  g_string_free (x->head, TRUE);
  if (x->body != NULL)
    g_bytes_unref (x->body);
  g_free (x);
}

/* Ends the exchange of CONN and reports EVENT, its last one.  CONN is pooled
   if REUSE, else closed.  */
static void
_uc_finish (_uc_conn *conn, const uc_event *event, bool reuse)
{
  uc_exchange *x = conn->exchange;
  uc_event copy = *event;
  conn->exchange = NULL;
  if (reuse)
    {
      struct timeval idle = ck_timeval (conn->idle_ms * CK_MS_US);
      hp_next (conn->reader);
      bufferevent_enable (conn->bev, EV_READ);
      event_add (conn->timer, &idle);
      g_ptr_array_add (conn->pool->idle, conn);
    }
  if (x != NULL)
    {
      copy.sent = x->sent;
      x->on_event (x->user, &copy);
      _uc_free_exchange (x);
    }
  if (!reuse)
    _uc_free_conn (conn);
}

static void
_uc_fail (_uc_conn *conn, const char *reason)
{
  _uc_finish (conn, &(uc_event){ .kind = UC_FAILED, .reason = reason }, false);
}

static void
_uc_on_timer (evutil_socket_t fd, short what, void *user)
{
  _uc_conn *conn = user;
  (void)fd;
  (void)what;
  if (conn->exchange == NULL)
    _uc_free_conn (conn);
  else
    _uc_fail (conn, "connect_timeout");
}

static void
_uc_on_body (void *user, st_str bytes)
{
  _uc_conn *conn = user;
  uc_exchange *x = conn->exchange;
  if (x != NULL && x->skipping)
    x->skipped_bytes += bytes.len;
  else if (x != NULL)
    x->on_event (x->user, &(uc_event){ .kind = UC_BODY, .bytes = bytes });
}

/* Time in milliseconds that an idle connection may be pooled: the upstream's
   idle time-out less a margin.  */
static uint32_t
_uc_idle_ms (const uc_pool *pool, const hp_head *head)
{
  st_str value;
  size_t at;
  uint64_t seconds = 0;
  uint32_t idle = pool->desc.idle_ms;
  if (hp_get (head, ST_LIT ("Keep-Alive"), &value))
    {
      if (st_find_char (value, '=', &at))
        value = st_slice (value, at + 1, value.len);
      size_t digits = 0;
      while (digits < value.len && g_ascii_isdigit (value.ptr[digits]))
        digits++;
      value.len = digits;
      if (st_parse_u64 (value, &seconds) && seconds < 3600)
        idle = (uint32_t)seconds * 1000;
    }
  return idle > _UC_IDLE_MARGIN_MS ? idle - _UC_IDLE_MARGIN_MS : 0;
}

/* The request id that HEAD echoes; empty when there is none.  */
static st_str
_uc_echoed_id (const uc_pool *pool, const hp_head *head)
{
  st_str id;
  return hp_get (head, pool->desc.id_field, &id) ? id : (st_str){ "", 0 };
}

/* Skips a response that does not belong to the exchange of CONN.  False after
   too many.  */
static bool
_uc_skip_response (_uc_conn *conn, const hp_head *head)
{
  uc_exchange *x = conn->exchange;
  x->skipping = true;
  if (head->status >= 200)
    {
      conn->reusable = false;
      LO_EVENT ("stray_response", st_name_str (&x->request_id),
                LO_STR ("upstream", st_name_str (&conn->instance)),
                LO_STR ("other_request", _uc_echoed_id (conn->pool, head)),
                LO_INT ("status", head->status));
    }
  return ++x->skipped_count <= _UC_SKIP_MAX;
}

/* Handles a new head.  False after too many responses that were skipped.  */
static bool
_uc_on_head (_uc_conn *conn)
{
  const hp_head *head = hp_query_head (conn->reader);
  uc_exchange *x = conn->exchange;
  if (head->status < 200
      || (!x->any_response
          && !st_equal (_uc_echoed_id (conn->pool, head),
                        st_name_str (&x->request_id))))
    return _uc_skip_response (conn, head);
  x->skipping = false;
  x->head_seen = true;
  if (!head->keep_alive || (!head->has_length && !head->chunked))
    conn->reusable = false;
  /* An upstream that responds before it has read the request continues to
     read the rest of it from this connection.  */
  if (evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
    conn->reusable = false;
  conn->idle_ms = _uc_idle_ms (conn->pool, head);
  /* The callback may cancel X.  */
  x->on_event (x->user, &(uc_event){ .kind = UC_HEAD, .head = head });
  return true;
}

/* Reads up to the next end of a head or message and reports the events.  When
   a callback cancels the exchange, returns HP_MORE with CONN->cancelled
   set.  */
static hp_result
_uc_read_step (_uc_conn *conn, struct evbuffer *in)
{
  conn->reading = true;
  hp_result result = hp_read (conn->reader, in);
  if (result == HP_HEAD && !conn->cancelled && !_uc_on_head (conn))
    result = HP_BAD;
  conn->reading = false;
  if (conn->cancelled)
    return HP_MORE;
  return conn->exchange->skipped_bytes > _UC_SKIP_MAX_BYTES ? HP_TOO_LARGE
                                                            : result;
}

static void
_uc_on_read (struct bufferevent *bev, void *user)
{
  _uc_conn *conn = user;
  struct evbuffer *in = bufferevent_get_input (bev);
  if (conn->exchange == NULL)
    {
      /* Bytes without a request belong to no exchange.  */
      LO_EVENT ("stray_bytes", ST_LIT (""),
                LO_STR ("upstream", st_name_str (&conn->instance)),
                LO_INT ("bytes", evbuffer_get_length (in)));
      _uc_free_conn (conn);
      return;
    }
  for (;;)
    switch (_uc_read_step (conn, in))
      {
      case HP_MORE:
        if (conn->cancelled)
          _uc_free_conn (conn);
        return;
      case HP_HEAD:
        break;
      case HP_END:
        if (conn->exchange->skipping)
          {
            hp_next (conn->reader);
            break;
          }
        if (evbuffer_get_length (in) > 0
            || evbuffer_get_length (bufferevent_get_output (bev)) > 0)
          conn->reusable = false;
        _uc_finish (conn, &(uc_event){ .kind = UC_END },
                    conn->reusable && conn->idle_ms > 0);
        return;
      case HP_TOO_LARGE:
        _uc_finish (conn,
                    &(uc_event){ .kind = UC_FAILED,
                                 .over_limit = true,
                                 .reason = conn->exchange->skipped_bytes
                                                   > _UC_SKIP_MAX_BYTES
                                               ? "stray_response_too_large"
                                               : "head_too_large" },
                    false);
        return;
      case HP_BAD:
        _uc_fail (conn, "malformed_answer");
        return;
      }
}

static void
_uc_on_body_written (const void *data, size_t size, void *body)
{
  (void)data;
  (void)size;
  g_bytes_unref (body);
}

/* Writes the request of CONN's exchange.  Its body is not copied: all attempts
   and the request itself share one.  */
static void
_uc_write (_uc_conn *conn)
{
  uc_exchange *x = conn->exchange;
  struct evbuffer *out = bufferevent_get_output (conn->bev);
  gsize size = 0;
  const void *body
      = x->body != NULL ? g_bytes_get_data (x->body, &size) : NULL;
  x->sent = true;
  evbuffer_add (out, x->head->str, x->head->len);
  g_string_truncate (x->head, 0);
  if (size > 0)
    evbuffer_add_reference (out, body, size, _uc_on_body_written,
                            g_bytes_ref (x->body));
}

static void
_uc_on_event (struct bufferevent *bev, short what, void *user)
{
  _uc_conn *conn = user;
  (void)bev;
  if (what & BEV_EVENT_CONNECTED)
    {
      event_del (conn->timer);
      conn->connected = true;
      nt_set_tcp_options (bufferevent_getfd (conn->bev));
      nt_limit_buffers (bufferevent_getfd (conn->bev));
      bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
      if (conn->exchange->head->len > 0)
        _uc_write (conn);
      else
        _uc_finish (conn, &(uc_event){ .kind = UC_END }, false);
      return;
    }
  if (conn->exchange == NULL)
    {
      _uc_free_conn (conn);
      return;
    }
  /* Who ends the connection while a request is being written has not read it;
     a reset that follows cannot be waited for.  */
  bool unwritten = evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0
                   && hp_query_head (conn->reader)->status < 300;
  if (!conn->connected)
    _uc_fail (conn, "connect_failed");
  else if ((what & BEV_EVENT_EOF) && !unwritten && !conn->exchange->skipping
           && hp_finish (conn->reader) == HP_END && conn->exchange->head_seen)
    _uc_finish (conn, &(uc_event){ .kind = UC_END }, false);
  else
    _uc_finish (
        conn,
        &(uc_event){ .kind = UC_FAILED,
                     .connection_lost = true,
                     .reason = what & BEV_EVENT_EOF ? "closed" : "reset" },
        false);
}

/* Makes a pool.  */
uc_pool *
uc_make (const uc_desc *desc)
{
  uc_pool *pool = g_new0 (uc_pool, 1);
  pool->desc = *desc;
  if (pool->desc.connect_ms == 0)
    pool->desc.connect_ms = _UC_CONNECT_MS;
  if (pool->desc.idle_ms == 0)
    pool->desc.idle_ms = _UC_IDLE_MS;
  pool->idle = g_ptr_array_new ();
  pool->conns = g_ptr_array_new ();
  return pool;
}

/* Closes all connections and releases POOL, which may be NULL; exchanges end
   without an event.  */
void
uc_destroy (uc_pool *pool)
{
  if (pool == NULL)
    return;
  for (guint i = pool->conns->len; i > 0; i--)
    {
      _uc_conn *conn = pool->conns->pdata[i - 1];
      if (conn->exchange != NULL)
        _uc_free_exchange (conn->exchange);
      conn->exchange = NULL;
      _uc_free_conn (conn);
    }
  g_ptr_array_free (pool->idle, TRUE);
  g_ptr_array_free (pool->conns, TRUE);
  g_free (pool);
}

static bool
_uc_has_carried (const _uc_conn *conn, uint64_t request)
{
  for (uint32_t i = 0; i < conn->carried_count; i++)
    if (conn->carried[i] == request)
      return true;
  return false;
}

/* Records that CONN carries REQUEST, the hash of an id.  */
static void
_uc_add_carried (_uc_conn *conn, uint64_t request)
{
  if (conn->carried_count == conn->carried_capacity)
    {
      conn->carried_capacity
          = conn->carried_capacity == 0 ? 8 : 2 * conn->carried_capacity;
      conn->carried
          = g_renew (uint64_t, conn->carried, conn->carried_capacity);
    }
  conn->carried[conn->carried_count++] = request;
  if (conn->carried_count == _UC_REQUESTS_MAX)
    conn->reusable = false;
}

/* Takes an idle connection to INSTANCE that has not carried REQUEST: a late
   copy of an earlier response to the same id could not be told from the
   response to the next attempt.  */
static _uc_conn *
_uc_take_idle (uc_pool *pool, st_str instance, uint64_t request)
{
  for (guint i = pool->idle->len; i > 0; i--)
    {
      _uc_conn *conn = pool->idle->pdata[i - 1];
      if (!st_equal (st_name_str (&conn->instance), instance)
          || _uc_has_carried (conn, request))
        continue;
      g_ptr_array_remove_index (pool->idle, i - 1);
      event_del (conn->timer);
      return conn;
    }
  return NULL;
}

static _uc_conn *
_uc_connect (uc_pool *pool, const uc_request *request)
{
  struct sockaddr_in address;
  /* The oldest idle one; a caller can make its requests need new ones.  */
  if (pool->desc.max_connections > 0
      && pool->conns->len >= pool->desc.max_connections && pool->idle->len > 0)
    _uc_free_conn (pool->idle->pdata[0]);
  if (pool->desc.max_connections > 0
      && pool->conns->len >= pool->desc.max_connections)
    return NULL;
  _uc_conn *conn = g_new0 (_uc_conn, 1);
  conn->pool = pool;
  conn->number = ++pool->conn_count;
  st_name_set (&conn->instance, request->instance);
  conn->reusable = true;
  conn->reader = hp_make (
      &(hp_desc){ .kind = HP_RESPONSE, .on_body = _uc_on_body, .user = conn });
  conn->bev
      = bufferevent_socket_new (pool->desc.base, -1, BEV_OPT_CLOSE_ON_FREE);
  conn->timer = evtimer_new (pool->desc.base, _uc_on_timer, conn);
  bufferevent_setcb (conn->bev, _uc_on_read, NULL, _uc_on_event, conn);
  g_ptr_array_add (pool->conns, conn);
  if (!nt_parse_address (request->address, &address)
      || bufferevent_socket_connect (conn->bev, (struct sockaddr *)&address,
                                     sizeof address)
             != 0)
    {
      _uc_free_conn (conn);
      return NULL;
    }
  struct timeval limit = ck_timeval (pool->desc.connect_ms * CK_MS_US);
  event_add (conn->timer, &limit);
  return conn;
}

/* Sends REQUEST on an idle connection or on a new one.  NULL when no
   connection can be opened; nothing was sent then and on_event is not
   called.  on_event is not called before uc_send has returned.  */
uc_exchange *
uc_send (uc_pool *pool, const uc_request *request)
{
  uint64_t id = st_hash (request->request_id, 0);
  _uc_conn *conn = request->head.len > 0
                       ? _uc_take_idle (pool, request->instance, id)
                       : NULL;
  if (conn == NULL)
    conn = _uc_connect (pool, request);
  if (conn == NULL)
    return NULL;
  _uc_add_carried (conn, id);
  hp_expect_no_body (conn->reader, request->no_body);
  uc_exchange *x = g_new0 (uc_exchange, 1);
  x->pool = pool;
  x->conn = conn;
  x->on_event = request->on_event;
  x->user = request->user;
  x->any_response = request->any_response;
  st_name_set (&x->request_id, request->request_id);
  x->head = g_string_new_len (request->head.ptr, (gssize)request->head.len);
  x->body = request->body != NULL ? g_bytes_ref (request->body) : NULL;
  conn->exchange = x;
  if (conn->connected)
    _uc_write (conn);
  return x;
}

/* The connection of X, for logs.  */
uc_place
uc_query_place (const uc_exchange *x)
{
  return (uc_place){ .connection = x->conn->number,
                     .use = x->conn->carried_count };
}

/* True when bytes of X may have reached the upstream.  */
bool
uc_query_sent (const uc_exchange *x)
{
  return x->sent;
}

/* Ends X and closes its connection, so that the upstream can stop its work.
   No further events are reported.  May be called from on_event.  */
void
uc_cancel (uc_exchange *x)
{
  _uc_conn *conn = x->conn;
  if (conn->exchange != x)
    return; /* UC_END or UC_FAILED is being reported */
  conn->exchange = NULL;
  _uc_free_exchange (x);
  if (conn->reading)
    conn->cancelled = true;
  else
    _uc_free_conn (conn);
}

/* Stops reading the response of X, so that its upstream cannot send more than
   the system buffers, or goes on reading it.  */
void
uc_set_reading (uc_exchange *x, bool reading)
{
  if (x->conn->exchange != x || !x->conn->connected)
    return;
  if (reading)
    bufferevent_enable (x->conn->bev, EV_READ);
  else
    bufferevent_disable (x->conn->bev, EV_READ);
}

/* Closes the idle connections to INSTANCE.  */
void
uc_close_instance (uc_pool *pool, st_str instance)
{
  for (guint i = pool->idle->len; i > 0; i--)
    {
      _uc_conn *conn = pool->idle->pdata[i - 1];
      if (st_equal (st_name_str (&conn->instance), instance))
        _uc_free_conn (conn);
    }
}

/* Closes all idle connections.  */
void
uc_close_idle (uc_pool *pool)
{
  while (pool->idle->len > 0)
    _uc_free_conn (pool->idle->pdata[pool->idle->len - 1]);
}
