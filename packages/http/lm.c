#include "lm.h"

#include "lo.h"

#include <glib.h>

/* Interval of the log lines about closed connections.  */
#define _LM_LOG_INTERVAL_US 1000000

struct lm_pool
{
  lm_desc desc;
  ck_clock runtime;
  lm_conn *first; /* has made progress the longest time ago */
  lm_conn *last;
  lm_counts counts;
  uint64_t logged_us;
  uint64_t logged_closed;
};

/* Makes a pool.  */
lm_pool *
lm_make (const lm_desc *desc)
{
  lm_pool *pool = g_new0 (lm_pool, 1);
  pool->desc = *desc;
  if (pool->desc.clock == NULL)
    pool->desc.clock = &pool->runtime;
  return pool;
}

/* Releases POOL, which may be NULL and must have no connections.  */
void
lm_destroy (lm_pool *pool)
{
  g_free (pool);
}

static void
_lm_append (lm_pool *pool, lm_conn *conn)
{
  conn->previous = pool->last;
  conn->next = NULL;
  if (pool->last != NULL)
    pool->last->next = conn;
  else
    pool->first = conn;
  pool->last = conn;
}

static void
_lm_unlink (lm_pool *pool, lm_conn *conn)
{
  if (conn->previous != NULL)
    conn->previous->next = conn->next;
  else
    pool->first = conn->next;
  if (conn->next != NULL)
    conn->next->previous = conn->previous;
  else
    pool->last = conn->previous;
}

static void
_lm_report (lm_pool *pool, const lm_conn *conn, const char *limit)
{
  uint64_t now_us = ck_now_us (pool->desc.clock);
  if (pool->desc.metrics != NULL)
    mt_add (pool->desc.metrics,
            mt_counter (pool->desc.metrics, "connections_closed_total",
                        "listener", st_from_cstr (conn->listener), "limit",
                        st_from_cstr (limit)),
            1);
  if (pool->logged_us != 0 && now_us - pool->logged_us < _LM_LOG_INTERVAL_US)
    return;
  LO_EVENT ("connections_closed", ST_LIT (""),
            LO_CSTR ("listener", conn->listener), LO_CSTR ("limit", limit),
            LO_INT ("closed", pool->counts.closed - pool->logged_closed),
            LO_INT ("connections", pool->counts.connections),
            LO_INT ("bytes", pool->counts.bytes));
  pool->logged_us = now_us;
  pool->logged_closed = pool->counts.closed;
}

/* Closes the connection with the least progress other than EXCEPT, because of
   LIMIT.  False when all others are busy.  */
static bool
_lm_close_one (lm_pool *pool, const lm_conn *except, const char *limit)
{
  lm_conn *conn = pool->first;
  while (conn != NULL && (conn->busy || conn == except))
    conn = conn->next;
  if (conn == NULL)
    return false;
  pool->counts.closed++;
  _lm_report (pool, conn, limit);
  lm_remove (pool, conn);
  conn->close (conn->user);
  return true;
}

/* Adds CONN of LISTENER, which CLOSE closes with USER.  Beyond the limit
   another connection is closed.  */
void
lm_add (lm_pool *pool, lm_conn *conn, const char *listener,
        void (*close) (void *user), void *user)
{
  *conn = (lm_conn){
    .listener = listener, .close = close, .user = user, .added = true
  };
  _lm_append (pool, conn);
  pool->counts.connections++;
  while (pool->desc.max_connections > 0
         && pool->counts.connections > pool->desc.max_connections
         && _lm_close_one (pool, conn, "connections"))
    ;
}

/* Removes CONN, which is being closed; it may have been removed before.  */
void
lm_remove (lm_pool *pool, lm_conn *conn)
{
  if (!conn->added)
    return;
  _lm_unlink (pool, conn);
  pool->counts.connections--;
  pool->counts.bytes -= conn->bytes;
  conn->bytes = 0;
  conn->added = false;
}

/* Counts BYTES that the client of CONN sent or received.  */
void
lm_progress (lm_pool *pool, lm_conn *conn, size_t bytes)
{
  conn->since_progress += bytes;
  if (conn->since_progress < LM_PROGRESS || !conn->added)
    return;
  conn->since_progress = 0;
  _lm_unlink (pool, conn);
  _lm_append (pool, conn);
}

/* States whether a request of CONN is processed, so that it is not closed.  */
void
lm_set_busy (lm_conn *conn, bool busy)
{
  conn->busy = busy;
}

/* Sets what CONN stores to BYTES, and closes others beyond the limit.  False
   when that does not suffice: the caller then closes CONN itself.  */
bool
lm_set_bytes (lm_pool *pool, lm_conn *conn, size_t bytes)
{
  if (!conn->added)
    return true;
  pool->counts.bytes += bytes - conn->bytes;
  conn->bytes = bytes;
  while (pool->desc.max_bytes > 0 && pool->counts.bytes > pool->desc.max_bytes)
    if (!_lm_close_one (pool, conn, "bytes"))
      return false;
  return true;
}

/* Connections of POOL and what they store.  */
lm_counts
lm_query (const lm_pool *pool)
{
  return pool->counts;
}
