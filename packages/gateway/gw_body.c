/* Body: bounds the memory of request bodies before they are read, by the rules
   of bb.h.  While there is no room a caller is slowed: its connection is not
   read.  The most urgent body gets room first.  */
#include "gw_internal.h"

/* Memory for bodies: a fraction of the process's memory, and what the smallest
   VM of 88 MB can spare where that is not known.  */
#define _GW_BODIES_FRACTION 0.3
#define _GW_BODIES_DEFAULT_BYTES (24 * 1024 * 1024)
/* Fraction of the time that its caller has in which a body may wait; the rest
   is for reading it and for the response.  */
#define _GW_BODY_WAIT_FRACTION 0.5
#define _GW_BODY_RETRY_AFTER_US 1000000

/* Sets the limit for the bodies of GW.  */
void
_gw_start_bodies (gw_task *gw)
{
  gw->bodies.max
      = gw->desc.memory_bytes > 0
            ? (uint64_t)(_GW_BODIES_FRACTION * (double)gw->desc.memory_bytes)
            : _GW_BODIES_DEFAULT_BYTES;
}

/* Tier of the route that the request of CONN, whose head has been read, is
   for, and TIME_MS until its caller leaves or the route's time-out passes, 0
   when neither is known.  */
static uint32_t
_gw_read_urgency (const _gw_conn *conn, uint64_t *time_ms)
{
  const gw_task *gw = conn->gw;
  const hp_head *head = hp_query_head (conn->reader);
  const rc_route *route = NULL;
  st_str host;
  st_str deadline;
  uint64_t ms;
  *time_ms = 0;
  if (gw->config != NULL && hp_get (head, ST_LIT ("Host"), &host))
    route = rc_match (gw->config, host, _gw_path (head->target));
  if (route != NULL)
    *time_ms = route->timeout_ms;
  if (hp_get (head, gw->desc.names->deadline_ms, &deadline)
      && st_parse_u64 (deadline, &ms) && (*time_ms == 0 || ms < *time_ms))
    *time_ms = ms;
  return route != NULL ? route->tier : GQ_ROUTE_TIERS;
}

static void
_gw_wait_for_body (_gw_conn *conn, uint64_t size)
{
  gw_task *gw = conn->gw;
  uint64_t time_ms;
  conn->body_wanted = size;
  conn->body_tier = _gw_read_urgency (conn, &time_ms);
  LO_EVENT ("body_waits", _gw_read_id (conn), LO_INT ("bytes", size),
            LO_INT ("taken", gw->bodies.used),
            LO_INT ("limit", gw->bodies.max),
            LO_INT ("waiting", gw->body_waiting->len));
  bufferevent_disable (conn->bev, EV_READ);
  g_ptr_array_add (gw->body_waiting, conn);
  uint32_t wait_ms = (uint32_t)(_GW_BODY_WAIT_FRACTION * (double)time_ms);
  _gw_arm_conn_timer (conn,
                      wait_ms > 0 ? wait_ms : _gw_limits (gw).head_timeout_ms);
}

/* Takes memory for SIZE bytes of the body of CONN.  False when CONN has to
   wait and is not read.  */
bool
_gw_take_body (_gw_conn *conn, uint64_t size)
{
  if (bb_take (&conn->gw->bodies, &conn->body_memory, size))
    return true;
  _gw_wait_for_body (conn, size);
  return false;
}

static _gw_conn *
_gw_find_next_body (const gw_task *gw)
{
  _gw_conn *next = NULL;
  for (guint i = 0; i < gw->body_waiting->len; i++)
    {
      _gw_conn *conn = gw->body_waiting->pdata[i];
      if (next == NULL || conn->body_tier < next->body_tier)
        next = conn;
    }
  return next;
}

/* Reads the connections again for whose bodies there is room.  */
static void
_gw_resume_bodies (gw_task *gw)
{
  _gw_conn *conn;
  while ((conn = _gw_find_next_body (gw)) != NULL
         && bb_take (&gw->bodies, &conn->body_memory, conn->body_wanted))
    {
      /* In the order of arrival.  */
      g_ptr_array_remove (gw->body_waiting, conn);
      conn->body_wanted = 0;
      bufferevent_enable (conn->bev, EV_READ);
      _gw_arm_conn_timer (conn, _gw_limits (gw).head_timeout_ms);
      event_active (conn->timer, EV_READ, 0);
    }
}

/* Returns the memory of the body of CONN, whose request has ended.  */
void
_gw_release_body (_gw_conn *conn)
{
  gw_task *gw = conn->gw;
  bool waited = conn->body_wanted > 0;
  /* The body of a request that was not admitted is still here.  */
  if (conn->body->allocated_len > BB_SMALL_BYTES)
    {
      g_string_free (conn->body, TRUE);
      conn->body = g_string_new (NULL);
    }
  if (waited)
    g_ptr_array_remove (gw->body_waiting, conn);
  conn->body_wanted = 0;
  if (conn->body_memory.taken == 0 && !waited)
    return;
  bb_release (&gw->bodies, &conn->body_memory);
  _gw_resume_bodies (gw);
}

/* Refuses the request of CONN, whose body has waited too long for room.  What
   its caller still sends is dropped.  */
void
_gw_refuse_body (_gw_conn *conn)
{
  struct evbuffer *in = bufferevent_get_input (conn->bev);
  LO_EVENT ("request_rejected", _gw_read_id (conn), LO_INT ("status", 503),
            LO_CSTR ("reason", "no_room_for_body"));
  conn->close_after = true;
  conn->dropping = true;
  evbuffer_drain (in, evbuffer_get_length (in));
  _gw_send_error (conn, 503, _gw_read_id (conn), "no_room_for_body",
                  _GW_BODY_RETRY_AFTER_US);
  bufferevent_enable (conn->bev, EV_READ);
}
