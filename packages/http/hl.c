#include "hl.h"

#include "nt.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#define _HL_HEAD_BYTES (16 * 1024)
#define _HL_BODY_BYTES (4 * 1024 * 1024)
/* Callers look addresses up about once a second, on connections that they
   keep; connections that are idle for longer are closed.  */
#define _HL_IDLE_TIMEOUT_MS 10000
/* Bytes that are read at a time, and unread bytes of responses above which a
   client is not read.  */
#define _HL_READ_BYTES (16 * 1024)
#define _HL_UNSENT_MAX_BYTES (16 * 1024)
/* What a connection takes besides its buffers.  */
#define _HL_CONN_BYTES 2048

typedef struct
{
  hl_listener *listener;
  struct bufferevent *bev;
  hp_reader *reader;
  struct event *timer;
  lm_conn limit;
  uint64_t body_bytes;
  bool closing; /* once all has been written */
  guint index;
} _hl_conn;

struct hl_listener
{
  hl_desc desc;
  struct evconnlistener *accept;
  GPtrArray *conns;
};

static void
_hl_close (void *user)
{
  _hl_conn *conn = user;
  GPtrArray *conns = conn->listener->conns;
  lm_remove (conn->listener->desc.limits, &conn->limit);
  g_ptr_array_remove_index_fast (conns, conn->index);
  if (conn->index < conns->len)
    ((_hl_conn *)conns->pdata[conn->index])->index = conn->index;
  event_free (conn->timer);
  nt_close (conn->bev);
  hp_destroy (conn->reader);
  g_free (conn);
}

static void
_hl_arm (_hl_conn *conn)
{
  struct timeval tv
      = ck_timeval (conn->listener->desc.idle_timeout_ms * CK_MS_US);
  event_add (conn->timer, &tv);
}

static void
_hl_count_bytes (_hl_conn *conn)
{
  size_t bytes = _HL_CONN_BYTES + hp_query_memory (conn->reader)
                 + evbuffer_get_length (bufferevent_get_input (conn->bev))
                 + evbuffer_get_length (bufferevent_get_output (conn->bev));
  /* One connection alone cannot exceed what all have.  */
  lm_set_bytes (conn->listener->desc.limits, &conn->limit, bytes);
}

static void
_hl_write (_hl_conn *conn, const hl_reply *reply, bool has_body)
{
  struct evbuffer *out = bufferevent_get_output (conn->bev);
  const char *reason = hp_reason_of (reply->status);
  evbuffer_add_printf (out, "HTTP/1.1 %d %s\r\n", reply->status,
                       reason != NULL ? reason : "Status");
  if (reply->type != NULL)
    evbuffer_add_printf (out, "Content-Type: %s\r\n", reply->type);
  evbuffer_add_printf (out, "Content-Length: %zu\r\n%s\r\n", reply->body->len,
                       conn->closing ? "Connection: close\r\n" : "");
  if (has_body)
    evbuffer_add (out, reply->body->str, reply->body->len);
}

/* Refuses what cannot be read as a request and closes CONN after that.  */
static void
_hl_reject (_hl_conn *conn, int status)
{
  hl_reply reply = { .status = status, .body = g_string_new (NULL) };
  conn->closing = true;
  _hl_write (conn, &reply, true);
  g_string_free (reply.body, TRUE);
}

static void
_hl_reply (_hl_conn *conn)
{
  const hp_head *head = hp_query_head (conn->reader);
  hl_reply reply = { .status = 404, .body = g_string_new (NULL) };
  const hl_desc *desc = &conn->listener->desc;
  conn->closing |= !head->keep_alive;
  desc->on_request (desc->user, head, &reply);
  _hl_write (conn, &reply, !st_equal (head->method, ST_LIT ("HEAD")));
  g_string_free (reply.body, TRUE);
  hp_next (conn->reader);
  conn->body_bytes = 0;
  lm_progress (desc->limits, &conn->limit, LM_PROGRESS);
  _hl_arm (conn);
}

static bool
_hl_is_unread (const _hl_conn *conn)
{
  return evbuffer_get_length (bufferevent_get_output (conn->bev))
         > _HL_UNSENT_MAX_BYTES;
}

/* Reads requests of CONN until its client has to read or to send.  */
static void
_hl_read (_hl_conn *conn)
{
  struct evbuffer *in = bufferevent_get_input (conn->bev);
  bool more = true;
  while (more && !conn->closing && !_hl_is_unread (conn))
    switch (hp_read (conn->reader, in))
      {
      case HP_MORE:
        more = false;
        break;
      case HP_HEAD:
        break;
      case HP_END:
        _hl_reply (conn);
        break;
      case HP_TOO_LARGE:
        _hl_reject (conn, 431);
        break;
      case HP_BAD:
        _hl_reject (conn, 400);
        break;
      }
  if (!conn->closing && conn->body_bytes > conn->listener->desc.body_bytes)
    _hl_reject (conn, 413);
  if (conn->closing || _hl_is_unread (conn))
    bufferevent_disable (conn->bev, EV_READ);
  _hl_count_bytes (conn);
}

static void
_hl_on_body (void *user, st_str bytes)
{
  _hl_conn *conn = user;
  uint64_t before = conn->body_bytes;
  conn->body_bytes += bytes.len;
  lm_progress (conn->listener->desc.limits, &conn->limit, bytes.len);
  if (conn->body_bytes / LM_PROGRESS > before / LM_PROGRESS)
    _hl_arm (conn);
}

static void
_hl_on_read (struct bufferevent *bev, void *user)
{
  (void)bev;
  _hl_read (user);
}

static void
_hl_on_write (struct bufferevent *bev, void *user)
{
  _hl_conn *conn = user;
  if (conn->closing)
    {
      _hl_close (conn);
      return;
    }
  _hl_count_bytes (conn);
  if ((bufferevent_get_enabled (bev) & EV_READ) != 0)
    return;
  bufferevent_enable (bev, EV_READ);
  _hl_read (conn);
}

static void
_hl_on_event (struct bufferevent *bev, short what, void *user)
{
  (void)bev;
  (void)what;
  _hl_close (user);
}

static void
_hl_on_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  _hl_close (user);
}

static void
_hl_on_accept (struct evconnlistener *accept, evutil_socket_t fd,
               struct sockaddr *address, int len, void *user)
{
  hl_listener *l = user;
  (void)accept;
  (void)address;
  (void)len;
  _hl_conn *conn = g_new0 (_hl_conn, 1);
  conn->listener = l;
  conn->bev = bufferevent_socket_new (l->desc.base, fd, BEV_OPT_CLOSE_ON_FREE);
  conn->reader = hp_make (&(hp_desc){ .kind = HP_REQUEST,
                                      .max_head_bytes = l->desc.head_bytes,
                                      .max_fields = l->desc.head_bytes,
                                      .on_body = _hl_on_body,
                                      .user = conn });
  conn->timer = event_new (l->desc.base, -1, 0, _hl_on_timer, conn);
  conn->index = l->conns->len;
  g_ptr_array_add (l->conns, conn);
  lm_add (l->desc.limits, &conn->limit, l->desc.name, _hl_close, conn);
  nt_set_tcp_options (fd);
  bufferevent_setcb (conn->bev, _hl_on_read, _hl_on_write, _hl_on_event, conn);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, _HL_READ_BYTES);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
  _hl_arm (conn);
  _hl_count_bytes (conn);
}

/* Opens a listener.  NULL with ER_INVALID when the address is malformed, with
   ER_UNAVAILABLE when it cannot be bound.  */
hl_listener *
hl_make (const hl_desc *desc, er_error *err)
{
  struct sockaddr_in address;
  if (!nt_parse_address (desc->address, &address))
    {
      er_set (err, ER_INVALID, "\"%.*s\" is not an address; write IP:PORT",
              ST_FMT (desc->address));
      return NULL;
    }
  hl_listener *l = g_new0 (hl_listener, 1);
  l->desc = *desc;
  l->conns = g_ptr_array_new ();
  if (l->desc.head_bytes == 0)
    l->desc.head_bytes = _HL_HEAD_BYTES;
  if (l->desc.body_bytes == 0)
    l->desc.body_bytes = _HL_BODY_BYTES;
  if (l->desc.idle_timeout_ms == 0)
    l->desc.idle_timeout_ms = _HL_IDLE_TIMEOUT_MS;
  l->accept = evconnlistener_new_bind (
      desc->base, _hl_on_accept, l,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 128,
      (struct sockaddr *)&address, sizeof address);
  if (l->accept == NULL)
    {
      er_set (err, ER_UNAVAILABLE,
              "cannot listen on %.*s: %s; free the address",
              ST_FMT (desc->address),
              evutil_socket_error_to_string (EVUTIL_SOCKET_ERROR ()));
      hl_destroy (l);
      return NULL;
    }
  nt_limit_buffers (evconnlistener_get_fd (l->accept));
  return l;
}

/* Closes the listener and its connections; L may be NULL.  */
void
hl_destroy (hl_listener *l)
{
  if (l == NULL)
    return;
  while (l->conns->len > 0)
    _hl_close (l->conns->pdata[l->conns->len - 1]);
  if (l->accept != NULL)
    evconnlistener_free (l->accept);
  g_ptr_array_free (l->conns, TRUE);
  g_free (l);
}

/* Port of the listener.  */
uint16_t
hl_query_port (const hl_listener *l)
{
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;
  getsockname (evconnlistener_get_fd (l->accept), (struct sockaddr *)&address,
               &len);
  return ntohs (address.sin_port);
}
