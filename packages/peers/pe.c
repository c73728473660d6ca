#include "pe.h"

#include "fr.h"
#include "lg.h"
#include "pw.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define _PE_OUTPUT_MAX_BYTES (4u * 1024 * 1024)
#define _PE_CONNECTIONS_MAX 4096
#define _PE_HELLO_MS 5000
/* Longest HELLO; a connection that has not sent it may not store more.  */
#define _PE_HELLO_MAX_BYTES 4096
#define _PE_IDLE_MS 15000
#define _PE_RETRY_MS 50
#define _PE_RETRY_MAX_MS 1000
#define _PE_SWEEP_INTERVAL_MS 500
/* A peer that reads nothing for this long is disconnected or stuck.  */
#define _PE_WRITE_TIMEOUT_S 10
/* Longer than _PE_IDLE_MS, after which peers close idle connections.  */
#define _PE_READ_TIMEOUT_S 300
#define _PE_PEER_RETENTION_US (60 * CK_S_US)
#define _PE_BACKLOG 512
/* A message of which nothing more has arrived for this long is not being
   received any more.  */
#define _PE_RECEIVING_US 500000

typedef struct _pe_peer _pe_peer;

typedef struct
{
  pe_task *pe;
  struct bufferevent *bev;
  _pe_peer *peer; /* NULL until an accepted connection sends HELLO */
  bool outgoing;
  bool connected;
  bool ready; /* HELLO was received */
  bool closing;
  uint64_t opened_us;
  uint64_t last_used_us;
  uint64_t last_read_us;
  char incarnation[MS_INCARNATION_MAX + 1]; /* from HELLO */
} _pe_conn;

/* A message that is queued until a connection is ready.  */
typedef struct
{
  char incarnation[MS_INCARNATION_MAX + 1]; /* "": any */
  struct evbuffer *frame;
} _pe_queued_message;

struct _pe_peer
{
  st_name name;
  char address[MS_ADDRESS_MAX + 1];
  _pe_conn *out;
  _pe_conn *in; /* the newest accepted one */
  GQueue queue;
  size_t queued_bytes;
  uint32_t failures;
  uint64_t retry_at_us;
  uint64_t last_used_us;
};

struct pe_task
{
  pe_desc desc;
  ck_clock clock;
  mb_state *mb;
  ms_decoder *decoder;
  struct evconnlistener *listener;
  struct event *mb_timer; /* next wake-up of MB */
  struct event *sweep;
  struct event *close_event;
  GHashTable *peers; /* name -> _pe_peer */
  GPtrArray *conns;
  GRand *random;
  char incarnation[MS_INCARNATION_MAX + 1];
  char address[MS_ADDRESS_MAX + 1];
  char callers_address[MS_ADDRESS_MAX + 1];
  st_name name, region, data_center;
  bool running_mb;
  pe_counts counts;
};

static void _pe_run_mb (pe_task *pe);

static uint64_t
_pe_now (const pe_task *pe)
{
  return ck_now_us (pe->desc.clock != NULL ? pe->desc.clock : &pe->clock);
}

static void
_pe_count (pe_task *pe, const char *metric, const char *label, st_str value)
{
  if (pe->desc.metrics == NULL)
    return;
  mt_add (
      pe->desc.metrics,
      mt_counter (pe->desc.metrics, metric, label, value, NULL, ST_LIT ("")),
      1);
}

static void
_pe_queued_message_free (gpointer data)
{
  _pe_queued_message *w = data;
  evbuffer_free (w->frame);
  g_free (w);
}

static void
_pe_peer_clear_queue (_pe_peer *peer)
{
  g_queue_clear_full (&peer->queue, _pe_queued_message_free);
  peer->queued_bytes = 0;
}

static void
_pe_peer_free (gpointer data)
{
  _pe_peer *peer = data;
  _pe_peer_clear_queue (peer);
  g_free (peer);
}

static _pe_peer *
_pe_find_peer (const pe_task *pe, st_str name)
{
  st_name key;
  if (!st_name_set (&key, name))
    return NULL;
  return g_hash_table_lookup (pe->peers, key.text);
}

static _pe_peer *
_pe_get_peer (pe_task *pe, st_str name)
{
  _pe_peer *peer = _pe_find_peer (pe, name);
  if (peer != NULL)
    return peer;
  peer = g_new0 (_pe_peer, 1);
  if (!st_name_set (&peer->name, name))
    {
      g_free (peer);
      return NULL;
    }
  g_queue_init (&peer->queue);
  peer->last_used_us = _pe_now (pe);
  g_hash_table_insert (pe->peers, peer->name.text, peer);
  return peer;
}

/* Marks CONN for closing.  It is freed later, outside of its own callbacks. */
static void
_pe_close (_pe_conn *conn)
{
  if (conn->closing)
    return;
  conn->closing = true;
  bufferevent_disable (conn->bev, EV_READ | EV_WRITE);
  if (conn->peer != NULL && conn->peer->out == conn)
    conn->peer->out = NULL;
  if (conn->peer != NULL && conn->peer->in == conn)
    conn->peer->in = NULL;
  event_active (conn->pe->close_event, EV_TIMEOUT, 0);
}

static void
_pe_close_with_error (_pe_conn *conn, const char *error, const char *message)
{
  pe_task *pe = conn->pe;
  if (conn->closing)
    return;
  pe->counts.protocol_errors++;
  _pe_count (pe, "peer_errors_total", "error", st_from_cstr (error));
  lg_log (LG_WARNING, "", "closed the connection to peer %s: %s: %s",
          conn->peer != NULL ? conn->peer->name.text : "(unknown)", error,
          message);
  _pe_close (conn);
}

static void
_pe_free_closing (evutil_socket_t fd, short what, void *arg)
{
  pe_task *pe = arg;
  (void)fd;
  (void)what;
  for (guint i = 0; i < pe->conns->len;)
    {
      _pe_conn *conn = pe->conns->pdata[i];
      if (!conn->closing)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (pe->conns, i);
      bufferevent_free (conn->bev);
      g_free (conn);
    }
}

/* ---- sending ---- */

/* True for messages that are sent periodically anyway.  */
static bool
_pe_droppable (ms_type type)
{
  switch (type)
    {
    case MS_PING:
    case MS_PING_REQ:
    case MS_ACK:
    case MS_EVIDENCE:
    case MS_SETTINGS_HEAD:
      return true;
    default:
      return false;
    }
}

static pe_result
_pe_drop (pe_task *pe, const char *reason)
{
  pe->counts.dropped++;
  _pe_count (pe, "peer_dropped_total", "reason", st_from_cstr (reason));
  return PE_DROPPED;
}

static bool
_pe_send_hello (_pe_conn *conn)
{
  pe_task *pe = conn->pe;
  ms_message m = { .type = MS_HELLO };
  m.u.hello
      = (ms_hello){ .name = st_name_str (&pe->name),
                    .incarnation = st_from_cstr (pe->incarnation),
                    .region = st_name_str (&pe->region),
                    .data_center = st_name_str (&pe->data_center),
                    .peer_address = st_from_cstr (pe->address),
                    .callers_address = st_from_cstr (pe->callers_address),
                    .protocol_version = FR_VERSION };
  return ms_encode (bufferevent_get_output (conn->bev), &m, NULL);
}

static void
_pe_write (_pe_conn *conn, struct evbuffer *frame)
{
  pe_task *pe = conn->pe;
  pe->counts.messages_sent++;
  pe->counts.bytes_sent += evbuffer_get_length (frame);
  conn->last_used_us = _pe_now (pe);
  bufferevent_write_buffer (conn->bev, frame);
}

static void
_pe_flush (_pe_peer *peer, _pe_conn *conn)
{
  _pe_queued_message *w;
  while (!conn->closing && (w = g_queue_pop_head (&peer->queue)) != NULL)
    {
      peer->queued_bytes -= evbuffer_get_length (w->frame);
      if (w->incarnation[0] == 0
          || strcmp (w->incarnation, conn->incarnation) == 0)
        _pe_write (conn, w->frame);
      else
        _pe_drop (conn->pe, "other_incarnation");
      _pe_queued_message_free (w);
    }
}

static void
_pe_connect_failed (_pe_peer *peer, pe_task *pe)
{
  uint64_t delay_max_ms = pe->desc.retry_ms
                          << (peer->failures < 10 ? peer->failures : 10);
  if (delay_max_ms > pe->desc.retry_max_ms)
    delay_max_ms = pe->desc.retry_max_ms;
  peer->failures++;
  peer->retry_at_us = _pe_now (pe)
                      + (uint64_t)(g_rand_double (pe->random)
                                   * (double)(delay_max_ms * CK_MS_US));
  pe->counts.connect_failures++;
  for (guint i = peer->queue.length; i > 0; i--)
    _pe_drop (pe, "unreachable");
  _pe_peer_clear_queue (peer);
}

static void _pe_on_read (struct bufferevent *bev, void *arg);
static void _pe_on_bev_event (struct bufferevent *bev, short what, void *arg);

static _pe_conn *
_pe_make_conn (pe_task *pe, evutil_socket_t fd, bool outgoing)
{
  struct bufferevent *bev
      = bufferevent_socket_new (pe->desc.base, fd, BEV_OPT_CLOSE_ON_FREE);
  if (bev == NULL)
    return NULL;
  _pe_conn *conn = g_new0 (_pe_conn, 1);
  const struct timeval read_timeout = { _PE_READ_TIMEOUT_S, 0 };
  const struct timeval write_timeout = { _PE_WRITE_TIMEOUT_S, 0 };
  conn->pe = pe;
  conn->bev = bev;
  conn->outgoing = outgoing;
  conn->connected = !outgoing;
  conn->opened_us = conn->last_used_us = _pe_now (pe);
  bufferevent_setcb (bev, _pe_on_read, NULL, _pe_on_bev_event, conn);
  bufferevent_setwatermark (bev, EV_READ, 0, FR_FRAME_MAX_BYTES);
  bufferevent_set_timeouts (bev, &read_timeout, &write_timeout);
  g_ptr_array_add (pe->conns, conn);
  return conn;
}

static void
_pe_set_no_delay (evutil_socket_t fd)
{
  int one = 1;
  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static bool
_pe_connect (pe_task *pe, _pe_peer *peer)
{
  struct sockaddr_storage address;
  int size = sizeof address;
  if (evutil_parse_sockaddr_port (peer->address, (struct sockaddr *)&address,
                                  &size)
      != 0)
    return false;
  _pe_conn *conn = _pe_make_conn (pe, -1, true);
  if (conn == NULL)
    return false;
  conn->peer = peer;
  peer->out = conn;
  pe->counts.connects++;
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (conn->bev, (struct sockaddr *)&address, size)
          != 0
      || !_pe_send_hello (conn))
    {
      _pe_close (conn);
      return false;
    }
  /* The event callback may already have run with a failure.  */
  return !conn->closing;
}

/* Ready connection to INCARNATION ("": any); NULL when there is none.  */
static _pe_conn *
_pe_ready_conn (const _pe_peer *peer, const char *incarnation)
{
  _pe_conn *conns[2] = { peer->out, peer->in };
  for (int i = 0; i < 2; i++)
    if (conns[i] != NULL && conns[i]->ready && !conns[i]->closing
        && (incarnation[0] == 0
            || strcmp (conns[i]->incarnation, incarnation) == 0))
      return conns[i];
  return NULL;
}

static pe_result
_pe_send_to (pe_task *pe, st_str name, const char *incarnation, st_str address,
             const ms_message *m)
{
  er_error err = { 0 };
  _pe_peer *peer = _pe_get_peer (pe, name);
  if (peer == NULL || address.len > MS_ADDRESS_MAX)
    return PE_UNKNOWN;
  memcpy (peer->address, address.ptr, address.len);
  peer->address[address.len] = 0;
  peer->last_used_us = _pe_now (pe);
  _pe_conn *conn = _pe_ready_conn (peer, incarnation);
  size_t queued
      = conn != NULL ? evbuffer_get_length (bufferevent_get_output (conn->bev))
                     : peer->queued_bytes;
  struct evbuffer *frame = evbuffer_new ();
  if (!ms_encode (frame, m, &err))
    {
      lg_log (LG_ERROR, "", "message to peer %.*s not sent: %s", ST_FMT (name),
              err.message);
      evbuffer_free (frame);
      return PE_INVALID;
    }
  queued += evbuffer_get_length (frame);
  pe_result result = PE_SENT;
  if (_pe_droppable (m->type) && queued > pe->desc.output_max_bytes / 2)
    result = _pe_drop (pe, "output_full");
  else if (queued > pe->desc.output_max_bytes)
    {
      result = _pe_drop (pe, "output_full");
      if (conn != NULL)
        _pe_close_with_error (conn, "output_full",
                              "the peer does not read its messages");
      else
        _pe_peer_clear_queue (peer);
    }
  else if (conn != NULL)
    _pe_write (conn, frame);
  else if (peer->out == NULL && _pe_now (pe) < peer->retry_at_us)
    result = _pe_drop (pe, "unreachable");
  else if (peer->out == NULL && !_pe_connect (pe, peer))
    {
      _pe_connect_failed (peer, pe);
      result = _pe_drop (pe, "unreachable");
    }
  else if (peer->out != NULL && peer->out->ready)
    /* The peer has another incarnation now.  */
    result = _pe_drop (pe, "other_incarnation");
  else
    {
      _pe_queued_message *w = g_new0 (_pe_queued_message, 1);
      g_strlcpy (w->incarnation, incarnation, sizeof w->incarnation);
      w->frame = frame;
      frame = NULL;
      peer->queued_bytes += evbuffer_get_length (w->frame);
      g_queue_push_tail (&peer->queue, w);
    }
  if (frame != NULL)
    evbuffer_free (frame);
  return result;
}

/* Sends M to the process INCARNATION, unless membership has declared it dead.
   Delivery is not guaranteed, also with PE_SENT.  */
pe_result
pe_send (pe_task *pe, st_str incarnation, const ms_message *m)
{
  mb_record r;
  uint32_t cursor = 0;
  char copy[MS_INCARNATION_MAX + 1];
  if (incarnation.len == 0 || incarnation.len > MS_INCARNATION_MAX
      || st_equal_cstr (incarnation, pe->incarnation))
    return PE_UNKNOWN;
  /* An incarnation is its VM's name, '-' and 16 hex digits.  */
  bool found = incarnation.len > 17
               && mb_query_name (
                   pe->mb, st_slice (incarnation, 0, incarnation.len - 17), &r)
               && st_equal (r.incarnation, incarnation);
  while (!found && mb_query_member (pe->mb, &cursor, &r))
    found = st_equal (r.incarnation, incarnation);
  if (!found || r.state == MB_DEAD)
    return PE_UNKNOWN;
  memcpy (copy, incarnation.ptr, incarnation.len);
  copy[incarnation.len] = 0;
  return _pe_send_to (pe, r.name, copy, r.peer_address, m);
}

/* Sends M to the VM of TO over a connection that it uses now, whatever
   membership says of it: what connects a VM and what gossip knows of it differ
   for seconds when many VMs start, wake or are declared dead by mistake.
   Without a connection like pe_send.  For messages that do no harm at a VM
   that others hold dead, and at its next process.  */
pe_result
pe_send_connected (pe_task *pe, const pe_sender *to, const ms_message *m)
{
  char address[MS_ADDRESS_MAX + 1];
  const _pe_peer *peer = _pe_find_peer (pe, to->name);
  if (peer == NULL || _pe_ready_conn (peer, "") == NULL)
    return pe_send (pe, to->incarnation, m);
  g_strlcpy (address, peer->address, sizeof address);
  return _pe_send_to (pe, to->name, "", st_from_cstr (address), m);
}

/* Sends M to the current process of the VM NAME.  */
pe_result
pe_send_name (pe_task *pe, st_str name, const ms_message *m)
{
  mb_record r;
  if (!mb_query_name (pe->mb, name, &r) || r.state == MB_DEAD
      || st_equal (name, st_name_str (&pe->name)))
    return PE_UNKNOWN;
  return _pe_send_to (pe, r.name, "", r.peer_address, m);
}

/* ---- receiving ---- */

static void
_pe_on_hello (_pe_conn *conn, const ms_hello *hello)
{
  pe_task *pe = conn->pe;
  if (hello->protocol_version != FR_VERSION)
    {
      _pe_close_with_error (conn, "unknown_version",
                            "the peer uses another protocol version");
      return;
    }
  if (st_equal (hello->name, st_name_str (&pe->name)))
    {
      _pe_close_with_error (conn, "own_name", "the peer uses this VM's name");
      return;
    }
  if (conn->peer != NULL
      && !st_equal (st_name_str (&conn->peer->name), hello->name))
    {
      _pe_close_with_error (conn, "other_name",
                            "HELLO has another VM's name than expected");
      return;
    }
  bool first = !conn->ready;
  memcpy (conn->incarnation, hello->incarnation.ptr, hello->incarnation.len);
  conn->incarnation[hello->incarnation.len] = 0;
  conn->ready = true;
  if (!first)
    return;
  bufferevent_setwatermark (conn->bev, EV_READ, 0, FR_FRAME_MAX_BYTES);
  if (conn->peer == NULL)
    {
      conn->peer = _pe_get_peer (pe, hello->name);
      if (conn->peer == NULL)
        return;
      if (conn->peer->in != NULL
          && strcmp (conn->peer->in->incarnation, conn->incarnation) != 0)
        _pe_close (conn->peer->in);
      conn->peer->in = conn;
      return;
    }
  conn->peer->failures = 0;
  _pe_flush (conn->peer, conn);
}

static void
_pe_on_probe (_pe_conn *conn, const ms_message *m)
{
  pe_task *pe = conn->pe;
  const ms_probe *p = &m->u.probe;
  if (!st_equal (p->self.name, st_name_str (&conn->peer->name)))
    {
      _pe_close_with_error (conn, "sender_mismatch",
                            "a probe contains the record of another VM");
      return;
    }
  mb_message in;
  pw_read_probe (m, &in);
  mb_on_message (pe->mb, &in, _pe_now (pe));
}

static void
_pe_on_ping_req (_pe_conn *conn, const ms_ping_req *p)
{
  pe_task *pe = conn->pe;
  mb_message in
      = { .kind = MB_PING_REQ, .sequence = p->sequence, .subject = p->target };
  if (mb_query_name (pe->mb, st_name_str (&conn->peer->name), &in.self)
      && st_equal (in.self.incarnation, p->sender))
    mb_on_message (pe->mb, &in, _pe_now (pe));
}

static void
_pe_on_message (_pe_conn *conn, const ms_message *m)
{
  pe_task *pe = conn->pe;
  pe->counts.messages_received++;
  if (m->type == MS_HELLO)
    {
      _pe_on_hello (conn, &m->u.hello);
      return;
    }
  if (!conn->ready || conn->peer == NULL)
    {
      _pe_close_with_error (conn, "no_hello",
                            "the first message is not HELLO");
      return;
    }
  if (m->type == MS_PING_REQ)
    {
      _pe_on_ping_req (conn, &m->u.ping_req);
      return;
    }
  if (m->type == MS_PING || m->type == MS_ACK)
    _pe_on_probe (conn, m);
  if (conn->closing || pe->desc.on_message == NULL)
    return;
  pe_sender sender = { .name = st_name_str (&conn->peer->name),
                       .incarnation = st_from_cstr (conn->incarnation) };
  pe->desc.on_message (pe->desc.user, &sender, m);
}

static void
_pe_on_read (struct bufferevent *bev, void *arg)
{
  _pe_conn *conn = arg;
  pe_task *pe = conn->pe;
  struct evbuffer *in = bufferevent_get_input (bev);
  fr_frame frame;
  fr_result result = FR_MORE;
  conn->last_used_us = conn->last_read_us = _pe_now (pe);
  while (!conn->closing)
    {
      er_error err = { 0 };
      ms_message m;
      result = fr_decode (in, &frame, &err);
      if (result == FR_MORE && !conn->ready && !conn->outgoing
          && evbuffer_get_length (in) >= _PE_HELLO_MAX_BYTES)
        {
          _pe_close_with_error (conn, "no_hello", "HELLO is too long");
          break;
        }
      if (result == FR_MORE)
        break;
      if (result != FR_FRAME)
        {
          _pe_close_with_error (conn, fr_result_name (result), err.message);
          break;
        }
      if (!ms_decode (pe->decoder, &frame, &m, &err))
        {
          _pe_close_with_error (conn, "message_malformed", err.message);
          break;
        }
      _pe_on_message (conn, &m);
      fr_drain (in, &frame);
    }
  _pe_run_mb (pe);
}

static void
_pe_on_bev_event (struct bufferevent *bev, short what, void *arg)
{
  _pe_conn *conn = arg;
  (void)bev;
  if ((what & BEV_EVENT_CONNECTED) != 0)
    {
      conn->connected = true;
      _pe_set_no_delay (bufferevent_getfd (conn->bev));
      return;
    }
  if (conn->closing)
    return;
  /* End of stream, error or timeout.  */
  _pe_peer *peer = conn->peer;
  bool failed = conn->outgoing && !conn->ready;
  if (failed && peer != NULL)
    _pe_connect_failed (peer, conn->pe);
  _pe_close (conn);
}

/* Closes the accepted connection that has not sent HELLO for longest; false
   when there is none.  */
static bool
_pe_close_unidentified (pe_task *pe)
{
  _pe_conn *oldest = NULL;
  for (guint i = 0; i < pe->conns->len; i++)
    {
      _pe_conn *conn = pe->conns->pdata[i];
      if (!conn->ready && !conn->outgoing && !conn->closing
          && (oldest == NULL || conn->opened_us < oldest->opened_us))
        oldest = conn;
    }
  if (oldest == NULL)
    return false;
  _pe_count (pe, "peer_errors_total", "error",
             ST_LIT ("too_many_connections"));
  _pe_close (oldest);
  return true;
}

static void
_pe_on_accept (struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *address, int size, void *arg)
{
  pe_task *pe = arg;
  (void)listener;
  (void)address;
  (void)size;
  if (pe->conns->len >= pe->desc.max_connections
      && !_pe_close_unidentified (pe))
    {
      _pe_count (pe, "peer_errors_total", "error",
                 ST_LIT ("too_many_connections"));
      evutil_closesocket (fd);
      return;
    }
  _pe_conn *conn = _pe_make_conn (pe, fd, false);
  if (conn == NULL)
    {
      evutil_closesocket (fd);
      return;
    }
  _pe_set_no_delay (fd);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, _PE_HELLO_MAX_BYTES);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
  _pe_send_hello (conn);
}

/* ---- membership ---- */

static void
_pe_send_probe (pe_task *pe, const mb_action *a)
{
  ms_member updates[MB_UPDATES_MAX];
  ms_message m;
  pw_write (&a->message, &m, updates);
  if (m.type != MS_PING_REQ && pe->desc.on_probe != NULL)
    pe->desc.on_probe (pe->desc.user, &m.u.probe);
  _pe_send_to (pe, a->to_name, "", a->to_address, &m);
}

/* Closes the connections to a dead process, so that no message stays queued in
   them for an unreachable VM.  */
static void
_pe_close_dead_conns (pe_task *pe, st_str name, st_str incarnation)
{
  _pe_peer *peer = _pe_find_peer (pe, name);
  if (peer == NULL)
    return;
  _pe_conn *conns[2] = { peer->out, peer->in };
  for (int i = 0; i < 2; i++)
    if (conns[i] != NULL && conns[i]->ready
        && st_equal_cstr (incarnation, conns[i]->incarnation))
      _pe_close (conns[i]);
}

static void
_pe_run_mb (pe_task *pe)
{
  mb_action a;
  uint64_t now = _pe_now (pe);
  if (pe->running_mb)
    return;
  pe->running_mb = true;
  while (mb_next (pe->mb, now, &a))
    switch (a.kind)
      {
      case MB_SEND:
        _pe_send_probe (pe, &a);
        break;
      case MB_EVENT:
        if (a.event == MB_DIED)
          _pe_close_dead_conns (pe, a.name, a.incarnation);
        if (pe->desc.on_event != NULL)
          pe->desc.on_event (pe->desc.user, a.event, a.name, a.incarnation);
        break;
      }
  pe->running_mb = false;
  now = _pe_now (pe);
  uint64_t wait = mb_query_wake_us (pe->mb, now) - now;
  struct timeval tv = ck_timeval (wait);
  evtimer_add (pe->mb_timer, &tv);
}

static void
_pe_on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  _pe_run_mb (arg);
}

static void
_pe_on_sweep (evutil_socket_t fd, short what, void *arg)
{
  pe_task *pe = arg;
  uint64_t now = _pe_now (pe);
  GHashTableIter iter;
  gpointer value;
  (void)fd;
  (void)what;
  for (guint i = 0; i < pe->conns->len; i++)
    {
      _pe_conn *conn = pe->conns->pdata[i];
      if (conn->closing)
        continue;
      if (!conn->ready && now - conn->opened_us > pe->desc.hello_ms * CK_MS_US)
        {
          if (conn->outgoing)
            _pe_connect_failed (conn->peer, pe);
          _pe_close_with_error (conn, "no_hello",
                                "HELLO was not received in time");
        }
      else if (conn->ready && conn->outgoing
               && now - conn->last_used_us > pe->desc.idle_ms * CK_MS_US)
        _pe_close (conn);
    }
  g_hash_table_iter_init (&iter, pe->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const _pe_peer *peer = value;
      bool used = peer->queue.length > 0
                  || now - peer->last_used_us < _PE_PEER_RETENTION_US;
      for (guint i = 0; i < pe->conns->len && !used; i++)
        used = ((_pe_conn *)pe->conns->pdata[i])->peer == peer;
      if (!used)
        g_hash_table_iter_remove (&iter);
    }
}

/* ---- set-up ---- */

static bool
_pe_validate_desc (const pe_desc *d, er_error *err)
{
  if (d->name.len == 0 || d->name.len > ST_NAME_MAX)
    return er_set (err, ER_INVALID, "the VM's name must have 1 to %d bytes",
                   ST_NAME_MAX);
  if (d->incarnation.len == 0 || d->incarnation.len > MS_INCARNATION_MAX)
    return er_set (err, ER_INVALID, "the incarnation must have 1 to %d bytes",
                   MS_INCARNATION_MAX);
  if (d->region.len > ST_NAME_MAX || d->data_center.len > ST_NAME_MAX
      || d->callers_address.len > MS_ADDRESS_MAX
      || d->peer_address.len > MS_ADDRESS_MAX)
    return er_set (err, ER_INVALID,
                   "region, data centre or an address is too long");
  return true;
}

static bool
_pe_listen (pe_task *pe, er_error *err)
{
  struct sockaddr_storage address;
  int size = sizeof address;
  char parsed[MS_ADDRESS_MAX + 1];
  /* The parser rejects port 0 but returns it when the port is left out.  */
  g_strlcpy (parsed, pe->address, sizeof parsed);
  if (g_str_has_suffix (parsed, ":0"))
    parsed[strlen (parsed) - 2] = 0;
  if (evutil_parse_sockaddr_port (parsed, (struct sockaddr *)&address, &size)
      != 0)
    return er_set (err, ER_INVALID, "peers' address '%s' is not IP:PORT",
                   pe->address);
  pe->listener = evconnlistener_new_bind (
      pe->desc.base, _pe_on_accept, pe,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      _PE_BACKLOG, (struct sockaddr *)&address, size);
  if (pe->listener == NULL)
    return er_set (err, ER_UNAVAILABLE,
                   "cannot listen on peers' address %s: %s", pe->address,
                   evutil_socket_error_to_string (EVUTIL_SOCKET_ERROR ()));
  char host[INET6_ADDRSTRLEN];
  socklen_t bound = sizeof address;
  getsockname (evconnlistener_get_fd (pe->listener),
               (struct sockaddr *)&address, &bound);
  if (address.ss_family == AF_INET6)
    {
      const struct sockaddr_in6 *in6 = (const void *)&address;
      inet_ntop (AF_INET6, &in6->sin6_addr, host, sizeof host);
      g_snprintf (pe->address, sizeof pe->address, "[%s]:%u", host,
                  ntohs (in6->sin6_port));
    }
  else
    {
      const struct sockaddr_in *in = (const void *)&address;
      inet_ntop (AF_INET, &in->sin_addr, host, sizeof host);
      g_snprintf (pe->address, sizeof pe->address, "%s:%u", host,
                  ntohs (in->sin_port));
    }
  return true;
}

/* Starts the task.  Fails with ER_INVALID or, when the address cannot be
   bound, ER_UNAVAILABLE.  */
pe_task *
pe_make (const pe_desc *desc, er_error *err)
{
  if (!_pe_validate_desc (desc, err))
    return NULL;
  pe_task *pe = g_new0 (pe_task, 1);
  pe_desc *d = &pe->desc;
  *d = *desc;
  d->output_max_bytes
      = d->output_max_bytes > 0 ? d->output_max_bytes : _PE_OUTPUT_MAX_BYTES;
  d->max_connections
      = d->max_connections > 0 ? d->max_connections : _PE_CONNECTIONS_MAX;
  d->hello_ms = d->hello_ms > 0 ? d->hello_ms : _PE_HELLO_MS;
  d->idle_ms = d->idle_ms > 0 ? d->idle_ms : _PE_IDLE_MS;
  d->retry_ms = d->retry_ms > 0 ? d->retry_ms : _PE_RETRY_MS;
  d->retry_max_ms = d->retry_max_ms > 0 ? d->retry_max_ms : _PE_RETRY_MAX_MS;
  st_name_set (&pe->name, desc->name);
  st_name_set (&pe->region, desc->region);
  st_name_set (&pe->data_center, desc->data_center);
  memcpy (pe->incarnation, desc->incarnation.ptr, desc->incarnation.len);
  memcpy (pe->address, desc->peer_address.ptr, desc->peer_address.len);
  if (desc->callers_address.len > 0)
    memcpy (pe->callers_address, desc->callers_address.ptr,
            desc->callers_address.len);
  pe->random = g_rand_new_with_seed ((guint32)desc->seed);
  pe->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _pe_peer_free);
  pe->conns = g_ptr_array_new ();
  pe->decoder = ms_make_decoder ();
  pe->mb_timer = evtimer_new (d->base, _pe_on_timer, pe);
  pe->close_event = event_new (d->base, -1, 0, _pe_free_closing, pe);
  pe->sweep = event_new (d->base, -1, EV_PERSIST, _pe_on_sweep, pe);
  if (!_pe_listen (pe, err))
    {
      pe_destroy (pe);
      return NULL;
    }
  mb_desc members = { .seed = desc->seed,
                      .period_us = desc->period_us,
                      .suspect_timeout_us = desc->suspect_us };
  members.self
      = (mb_record){ .name = st_name_str (&pe->name),
                     .incarnation = st_from_cstr (pe->incarnation),
                     .region = st_name_str (&pe->region),
                     .data_center = st_name_str (&pe->data_center),
                     .peer_address = st_from_cstr (pe->address),
                     .callers_address = st_from_cstr (pe->callers_address),
                     .counter = desc->counter,
                     .capacity = desc->capacity };
  pe->mb = mb_make (&members, _pe_now (pe));
  struct timeval tv = { 0, _PE_SWEEP_INTERVAL_MS * 1000 };
  event_add (pe->sweep, &tv);
  _pe_run_mb (pe);
  return pe;
}

/* Closes all connections and releases PE.  */
void
pe_destroy (pe_task *pe)
{
  if (pe == NULL)
    return;
  for (guint i = 0; i < pe->conns->len; i++)
    ((_pe_conn *)pe->conns->pdata[i])->closing = true;
  _pe_free_closing (-1, 0, pe);
  if (pe->listener != NULL)
    evconnlistener_free (pe->listener);
  event_free (pe->mb_timer);
  event_free (pe->sweep);
  event_free (pe->close_event);
  g_hash_table_destroy (pe->peers);
  g_ptr_array_free (pe->conns, TRUE);
  g_rand_free (pe->random);
  ms_destroy_decoder (pe->decoder);
  mb_destroy (pe->mb);
  g_free (pe);
}

/* Sets the VM list; see mb_set_vm_list.  */
void
pe_set_vm_list (pe_task *pe, const mb_vm_entry *entries, uint32_t count)
{
  mb_set_vm_list (pe->mb, entries, count, _pe_now (pe));
  _pe_run_mb (pe);
}

/* Announces that this VM accepts no new work.  */
void
pe_leave (pe_task *pe)
{
  mb_leave (pe->mb);
  _pe_run_mb (pe);
}

/* Continues under a new INCARNATION after MB_OWN_DEAD and sends HELLO to the
   connected peers.  COUNTER is the wall clock in ms.  */
void
pe_rejoin (pe_task *pe, st_str incarnation, uint64_t counter)
{
  if (incarnation.len == 0 || incarnation.len > MS_INCARNATION_MAX)
    return;
  memcpy (pe->incarnation, incarnation.ptr, incarnation.len);
  pe->incarnation[incarnation.len] = 0;
  mb_rejoin (pe->mb, incarnation, counter);
  for (guint i = 0; i < pe->conns->len; i++)
    {
      _pe_conn *conn = pe->conns->pdata[i];
      if (!conn->closing)
        _pe_send_hello (conn);
    }
  _pe_run_mb (pe);
}

/* True while a part of a message has arrived and more of it is coming.  */
bool
pe_is_receiving (const pe_task *pe)
{
  uint64_t now_us = _pe_now (pe);
  for (guint i = 0; i < pe->conns->len; i++)
    {
      const _pe_conn *conn = pe->conns->pdata[i];
      if (!conn->closing && now_us - conn->last_read_us < _PE_RECEIVING_US
          && evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
        return true;
    }
  return false;
}

/* Name of RESULT for logs.  */
const char *
pe_result_name (pe_result result)
{
  switch (result)
    {
    case PE_SENT:
      return "sent";
    case PE_UNKNOWN:
      return "no_live_member";
    case PE_DROPPED:
      return "dropped";
    case PE_INVALID:
      return "invalid";
    }
  return "invalid";
}

/* The members, for the queries of mb.h.  */
const mb_state *
pe_query_members (const pe_task *pe)
{
  return pe->mb;
}

/* Address that the task listens on, with the port that was bound.  */
st_str
pe_query_address (const pe_task *pe)
{
  return st_from_cstr (pe->address);
}

/* Counters since the start, and the current number of connections.  */
pe_counts
pe_query_counts (const pe_task *pe)
{
  pe_counts counts = pe->counts;
  counts.connections = pe->conns->len;
  return counts;
}
