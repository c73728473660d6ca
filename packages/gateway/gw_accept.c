/* Accept: handles caller connections, reads requests from them and writes
   responses to them.  */
#include "gw_internal.h"
#include "nt.h"

#include <arpa/inet.h>
#include <event2/util.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes that are read at a time, and while a request is processed: reading
   continues so that a caller's close is noticed.  */
#define _GW_READ_BYTES 65536
#define _GW_READ_AHEAD_BYTES 4096
/* Bytes of responses that a caller has not read, above which its next request
   is not read either.  */
#define _GW_UNREAD_MAX_BYTES 65536
/* What a connection takes besides its buffers.  */
#define _GW_CONN_BYTES 2048
/* Limits until the first configuration is set.  */
#define _GW_DEFAULT_HEAD_BYTES 16384
#define _GW_DEFAULT_BODY_BYTES 4194304
#define _GW_DEFAULT_HEAD_TIMEOUT_MS 5000
#define _GW_DEFAULT_IDLE_TIMEOUT_MS 15000
/* Idle connections are closed this much later than the configured idle
   time-out, so that no request is sent while its connection is closed.  */
#define _GW_IDLE_MARGIN_MS 1000
/* Time to write the last response to a caller that reads slowly.  */
#define _GW_LAST_WRITE_TIMEOUT_MS 3000

/* Limits on what callers send.  */
rc_limits
_gw_limits (const gw_task *gw)
{
  if (gw->config != NULL)
    return *rc_query_limits (gw->config);
  return (rc_limits){ _GW_DEFAULT_HEAD_BYTES, _GW_DEFAULT_BODY_BYTES,
                      _GW_DEFAULT_HEAD_TIMEOUT_MS,
                      _GW_DEFAULT_IDLE_TIMEOUT_MS };
}

/* Arms the timer of CONN, which closes it or rejects its request.  */
void
_gw_arm_conn_timer (_gw_conn *conn, uint32_t ms)
{
  struct timeval tv = ck_timeval (ms * CK_MS_US);
  event_add (conn->timer, &tv);
}

/* Closes CONN at once.  Its request, if any, is abandoned.  */
void
_gw_close_conn (_gw_conn *conn)
{
  gw_task *gw = conn->gw;
  if (conn->request != NULL)
    {
      _gw_request *r = conn->request;
      conn->request = NULL;
      r->conn = NULL;
      _gw_abandon (r, "caller_left");
    }
  _gw_release_body (conn);
  lm_remove (gw->limits, &conn->limit);
  g_ptr_array_remove_index_fast (gw->conns, conn->index);
  if (conn->index < gw->conns->len)
    ((_gw_conn *)gw->conns->pdata[conn->index])->index = conn->index;
  event_free (conn->timer);
  nt_close (conn->bev);
  hp_destroy (conn->reader);
  g_string_free (conn->body, TRUE);
  g_free (conn);
}

static void _gw_read_requests (_gw_conn *conn);

/* Counts what CONN stores in the limit of all connections.  */
void
_gw_count_conn (_gw_conn *conn)
{
  size_t bytes = _GW_CONN_BYTES + hp_query_memory (conn->reader)
                 + evbuffer_get_length (bufferevent_get_input (conn->bev))
                 + evbuffer_get_length (bufferevent_get_output (conn->bev));
  /* One connection alone cannot exceed what all have.  */
  lm_set_bytes (conn->gw->limits, &conn->limit, bytes);
}

static bool
_gw_is_unread (const _gw_conn *conn)
{
  return evbuffer_get_length (bufferevent_get_output (conn->bev))
         > _GW_UNREAD_MAX_BYTES;
}

/* Called after a response: closes CONN or waits for the next request.  */
static void
_gw_after_response (_gw_conn *conn)
{
  conn->request = NULL;
  conn->idle_since_us = ck_now_us (conn->gw->desc.clock);
  _gw_release_body (conn);
  lm_set_busy (&conn->limit, false);
  lm_progress (conn->gw->limits, &conn->limit, LM_PROGRESS);
  if (conn->close_after)
    {
      /* The write callback closes once all has been written.  */
      bufferevent_disable (conn->bev, EV_READ);
      _gw_arm_conn_timer (conn, _GW_LAST_WRITE_TIMEOUT_MS);
      return;
    }
  hp_next (conn->reader);
  g_string_truncate (conn->body, 0);
  conn->body_too_large = false;
  _gw_arm_conn_timer (conn, _gw_limits (conn->gw).idle_timeout_ms
                                + _GW_IDLE_MARGIN_MS);
  conn->unread = _gw_is_unread (conn);
  if (conn->unread)
    {
      bufferevent_disable (conn->bev, EV_READ);
      return;
    }
  bufferevent_setwatermark (conn->bev, EV_READ, 0, _GW_READ_BYTES);
  if (evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    event_active (conn->timer, EV_READ, 0);
}

static bool
_gw_keep_alive (_gw_conn *conn)
{
  const hp_head *head = hp_query_head (conn->reader);
  if (!head->keep_alive || conn->gw->drain.start_us != 0)
    conn->close_after = true;
  return !conn->close_after;
}

/* Writes the status line and FIELDS, which are complete header lines.  */
static void
_gw_write_response_head (struct evbuffer *out, int status, st_str fields)
{
  const char *reason = hp_reason_of (status);
  evbuffer_add_printf (out, "HTTP/1.1 %d %s\r\n", status,
                       reason != NULL ? reason : "Status");
  evbuffer_add (out, fields.ptr, fields.len);
}

/* True when the response to the request that CONN has read has no body.  */
bool
_gw_is_head_request (const _gw_conn *conn)
{
  return st_equal (hp_query_head (conn->reader)->method, ST_LIT ("HEAD"));
}

/* Sends a complete response; FIELDS are complete header lines.  Of the BODY of
   a response to a HEAD request only the length is used.  */
void
_gw_send_response (_gw_conn *conn, int status, st_str fields, st_str body)
{
  struct evbuffer *out = bufferevent_get_output (conn->bev);
  bool keep_alive = _gw_keep_alive (conn);
  _gw_write_response_head (out, status, fields);
  evbuffer_add_printf (out, "Content-Length: %zu\r\n%s\r\n", body.len,
                       keep_alive ? "" : "Connection: close\r\n");
  if (!_gw_is_head_request (conn))
    evbuffer_add (out, body.ptr, body.len);
  _gw_after_response (conn);
}

/* Starts a response of unknown length; FIELDS are complete header lines.  */
void
_gw_start_response (_gw_conn *conn, int status, st_str fields)
{
  struct evbuffer *out = bufferevent_get_output (conn->bev);
  const hp_head *head = hp_query_head (conn->reader);
  conn->chunked = head->major > 1 || (head->major == 1 && head->minor >= 1);
  if (!conn->chunked)
    conn->close_after = true;
  bool keep_alive = _gw_keep_alive (conn);
  _gw_write_response_head (out, status, fields);
  evbuffer_add_printf (out, "%s%s\r\n",
                       conn->chunked ? "Transfer-Encoding: chunked\r\n" : "",
                       keep_alive ? "" : "Connection: close\r\n");
}

/* Sends BYTES of the body of a response that has been started.  */
void
_gw_send_chunk (_gw_conn *conn, st_str bytes)
{
  struct evbuffer *out = bufferevent_get_output (conn->bev);
  if (bytes.len == 0)
    return;
  if (conn->chunked)
    evbuffer_add_printf (out, "%zx\r\n", bytes.len);
  evbuffer_add (out, bytes.ptr, bytes.len);
  if (conn->chunked)
    evbuffer_add (out, "\r\n", 2);
}

/* Ends the response as complete.  */
void
_gw_end_response (_gw_conn *conn)
{
  if (conn->chunked)
    evbuffer_add (bufferevent_get_output (conn->bev), "0\r\n\r\n", 5);
  _gw_after_response (conn);
}

/* Aborts the response.  The missing last chunk shows the caller that it is
   incomplete; where a close would end it, a reset does.  What has been written
   to a chunked response still reaches the caller.  */
void
_gw_abort_response (_gw_conn *conn)
{
  conn->request = NULL;
  lm_set_busy (&conn->limit, false);
  if (!conn->chunked)
    {
      nt_reset_on_close (bufferevent_getfd (conn->bev));
      _gw_close_conn (conn);
      return;
    }
  conn->close_after = true;
  bufferevent_disable (conn->bev, EV_READ);
  if (evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0)
    _gw_close_conn (conn);
  else
    _gw_arm_conn_timer (conn, _GW_LAST_WRITE_TIMEOUT_MS);
}

/* Sends an error of the gateway.  REASON, a word for programs, is the body; ID
   may be empty.  Retry-After is sent where RETRY_AFTER_US is not 0.  */
void
_gw_send_error (_gw_conn *conn, int status, st_str id, const char *reason,
                uint64_t retry_after_us)
{
  GString *fields = g_string_new ("Content-Type: text/plain\r\n");
  if (id.len > 0)
    {
      st_str name = conn->gw->desc.names->request_id;
      g_string_append_len (fields, name.ptr, (gssize)name.len);
      g_string_append (fields, ": ");
      g_string_append_len (fields, id.ptr, (gssize)id.len);
      g_string_append (fields, "\r\n");
    }
  if (retry_after_us > 0)
    g_string_append_printf (fields,
                            "Retry-After: %" PRIu64 ".%03" PRIu64 "\r\n",
                            (uint64_t)(retry_after_us / CK_S_US),
                            (uint64_t)(retry_after_us % CK_S_US / CK_MS_US));
  _gw_send_response (conn, status, (st_str){ fields->str, fields->len },
                     st_from_cstr (reason));
  g_string_free (fields, TRUE);
}

/* Rejects bytes that cannot be read as a request and closes the connection,
   since the start of the next request is not known.  */
static void
_gw_reject (_gw_conn *conn, int status, const char *reason)
{
  LO_EVENT ("request_rejected", ST_LIT (""), LO_INT ("status", status),
            LO_CSTR ("reason", reason));
  conn->close_after = true;
  _gw_send_error (conn, status, ST_LIT (""), reason, 0);
}

/* Sends 100 Continue to a caller that expects it before the body.  */
static void
_gw_send_continue (_gw_conn *conn)
{
  st_str value;
  if (hp_get (hp_query_head (conn->reader), ST_LIT ("Expect"), &value)
      && hp_name_equal (value, ST_LIT ("100-continue")))
    evbuffer_add_printf (bufferevent_get_output (conn->bev),
                         "HTTP/1.1 100 Continue\r\n\r\n");
}

/* Memory to take for a body of unknown length that has grown.  */
static uint64_t
_gw_next_body_size (const _gw_conn *conn, const rc_limits *limits)
{
  uint64_t size = bb_next_size (&conn->body_memory);
  if (size < conn->body->len)
    size = conn->body->len;
  /* One more read may exceed the limit before the request is rejected.  */
  return size < limits->body_bytes ? size : limits->body_bytes;
}

/* Takes memory for the body of CONN where its length is known, and allocates
   it at once.  False when CONN has to wait.  */
static bool
_gw_prepare_body (_gw_conn *conn)
{
  const hp_head *head = hp_query_head (conn->reader);
  if (!head->has_length || head->length == 0)
    return true;
  if (head->length >= conn->body->allocated_len)
    {
      g_string_free (conn->body, TRUE);
      conn->body = g_string_sized_new (head->length);
    }
  return _gw_take_body (conn, head->length);
}

static void
_gw_read_requests (_gw_conn *conn)
{
  struct evbuffer *in = bufferevent_get_input (conn->bev);
  rc_limits limits = _gw_limits (conn->gw);
  if (conn->request != NULL || conn->close_after || conn->body_wanted > 0
      || conn->unread)
    return;
  bool not_started = !hp_query_started (conn->reader);
  for (;;)
    switch (hp_read (conn->reader, in))
      {
      case HP_MORE:
        if (conn->body->len > conn->body_memory.taken
            && !_gw_take_body (conn, _gw_next_body_size (conn, &limits)))
          return;
        if (conn->continue_due)
          _gw_send_continue (conn);
        conn->continue_due = false;
        if (not_started && hp_query_started (conn->reader))
          _gw_arm_conn_timer (conn, limits.head_timeout_ms);
        if (conn->body_too_large)
          _gw_reject (conn, 413, "body_too_large");
        return;
      case HP_HEAD:
        if (hp_query_head (conn->reader)->length > limits.body_bytes)
          {
            _gw_reject (conn, 413, "body_too_large");
            return;
          }
        conn->continue_due = true;
        if (!_gw_prepare_body (conn))
          return;
        break;
      case HP_END:
        conn->continue_due = false;
        event_del (conn->timer);
        if (conn->body_too_large)
          _gw_reject (conn, 413, "body_too_large");
        else
          {
            lm_progress (conn->gw->limits, &conn->limit, LM_PROGRESS);
            lm_set_busy (&conn->limit, true);
            bufferevent_setwatermark (conn->bev, EV_READ, 0,
                                      _GW_READ_AHEAD_BYTES);
            _gw_identify (conn);
          }
        return;
      case HP_TOO_LARGE:
        _gw_reject (conn, 431, "head_too_large");
        return;
      case HP_BAD:
        _gw_reject (conn, 400, "malformed_request");
        return;
      }
}

static void
_gw_on_body (void *user, st_str bytes)
{
  _gw_conn *conn = user;
  lm_progress (conn->gw->limits, &conn->limit, bytes.len);
  if (conn->body->len + bytes.len > _gw_limits (conn->gw).body_bytes)
    conn->body_too_large = true;
  else
    g_string_append_len (conn->body, bytes.ptr, (gssize)bytes.len);
}

static void
_gw_on_read (struct bufferevent *bev, void *user)
{
  struct evbuffer *in = bufferevent_get_input (bev);
  _gw_conn *conn = user;
  if (conn->dropping)
    evbuffer_drain (in, evbuffer_get_length (in));
  else
    _gw_read_requests (conn);
  _gw_count_conn (conn);
}

static void
_gw_on_write (struct bufferevent *bev, void *user)
{
  _gw_conn *conn = user;
  /* A close with unread bytes would reset the response: the caller closes, or
     the timer does.  */
  if (conn->dropping)
    shutdown (bufferevent_getfd (bev), SHUT_WR);
  else if (conn->close_after && conn->request == NULL)
    _gw_close_conn (conn);
  else if (conn->request != NULL)
    _gw_on_unsent_empty (conn->request);
  else if (conn->unread)
    {
      conn->unread = false;
      bufferevent_setwatermark (bev, EV_READ, 0, _GW_READ_BYTES);
      bufferevent_enable (bev, EV_READ);
      event_active (conn->timer, EV_READ, 0);
    }
}

static void
_gw_on_event (struct bufferevent *bev, short what, void *user)
{
  (void)bev;
  (void)what;
  _gw_close_conn (user);
}

static void
_gw_on_timer (evutil_socket_t fd, short what, void *user)
{
  _gw_conn *conn = user;
  (void)fd;
  if (what & EV_READ)
    {
      /* Bytes of the next request were received with the last one.  */
      _gw_read_requests (conn);
      _gw_count_conn (conn);
      return;
    }
  if (conn->body_wanted > 0)
    _gw_refuse_body (conn);
  else if (hp_query_started (conn->reader) && !conn->close_after)
    _gw_reject (conn, 408, "request_incomplete");
  else
    _gw_close_conn (conn);
}

static void
_gw_close_limited (void *conn)
{
  _gw_close_conn (conn);
}

/* Adds a connection of a caller, on the socket FD.  */
void
_gw_add_conn (gw_task *gw, evutil_socket_t fd)
{
  rc_limits limits = _gw_limits (gw);
  _gw_conn *conn = g_new0 (_gw_conn, 1);
  conn->gw = gw;
  conn->bev
      = bufferevent_socket_new (gw->desc.base, fd, BEV_OPT_CLOSE_ON_FREE);
  conn->reader = hp_make (&(hp_desc){ .kind = HP_REQUEST,
                                      .max_head_bytes = limits.head_bytes,
                                      .max_fields = limits.head_bytes,
                                      .on_body = _gw_on_body,
                                      .user = conn });
  conn->body = g_string_new (NULL);
  conn->timer = event_new (gw->desc.base, -1, 0, _gw_on_timer, conn);
  conn->idle_since_us = ck_now_us (gw->desc.clock);
  conn->index = gw->conns->len;
  g_ptr_array_add (gw->conns, conn);
  lm_add (gw->limits, &conn->limit, "callers", _gw_close_limited, conn);
  nt_set_tcp_options (fd);
  bufferevent_setcb (conn->bev, _gw_on_read, _gw_on_write, _gw_on_event, conn);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, _GW_READ_BYTES);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
  _gw_arm_conn_timer (conn, limits.idle_timeout_ms + _GW_IDLE_MARGIN_MS);
}

static void
_gw_on_accept (struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *address, int len, void *user)
{
  (void)listener;
  (void)address;
  (void)len;
  _gw_add_conn (user, fd);
}

static void
_gw_on_accept_error (struct evconnlistener *listener, void *user)
{
  (void)listener;
  (void)user;
  LO_EVENT ("accept_failed", ST_LIT (""),
            LO_CSTR ("error",
                     evutil_socket_error_to_string (EVUTIL_SOCKET_ERROR ())));
}

/* Opens the listener of callers.  */
bool
_gw_listen (gw_task *gw, er_error *err)
{
  struct sockaddr_in address;
  st_str text = gw->desc.listen;
  if (!nt_parse_address (text, &address))
    return er_set (err, ER_INVALID,
                   "\"%.*s\" is not an address; write IP:PORT", ST_FMT (text));
  gw->listener = evconnlistener_new_bind (
      gw->desc.base, _gw_on_accept, gw,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 512,
      (struct sockaddr *)&address, sizeof address);
  if (gw->listener == NULL)
    return er_set (
        err, ER_UNAVAILABLE, "cannot listen on %.*s: %s; free the address",
        ST_FMT (text), evutil_socket_error_to_string (EVUTIL_SOCKET_ERROR ()));
  evconnlistener_set_error_cb (gw->listener, _gw_on_accept_error);
  nt_limit_buffers (evconnlistener_get_fd (gw->listener));
  return true;
}
