/* lm.h -- limits that all connections of a process share.

   Used by each listener.  A pool has the number of connections and the bytes
   that all of them may take together; the bytes are what a connection stores
   for its client (input that is not processed, the head, output that is not
   read), besides bodies and responses, which have limits of their own.

     lm_pool *pool = lm_make (&(lm_desc){ .max_connections = 2600,
                                          .max_bytes = 17600000 });
     lm_add (pool, &conn->limit, "callers", close_conn, conn);
     lm_set_bytes (pool, &conn->limit, bytes);   // whenever they change
     lm_progress (pool, &conn->limit, received); // bytes, or LM_PROGRESS
     lm_set_busy (&conn->limit, true);           // its request is processed
     lm_remove (pool, &conn->limit);             // when it is closed

   Beyond a limit the pool closes the connections that have made the least
   progress, as far as no request of theirs is processed.  Progress is a
   request that has been read completely, or LM_PROGRESS bytes: a client that
   sends a byte now and then makes none.  The load pattern it answers is a
   crowd of clients that begin requests, or do not read responses, and stay.
 */
#ifndef LM_H
#define LM_H

#include "ck.h"
#include "mt.h"
#include "st.h"

/* Bytes that count as progress.  */
#define LM_PROGRESS 4096

typedef struct lm_pool lm_pool;

/* A connection's part of the pool, embedded in the connection.  */
typedef struct lm_conn
{
  struct lm_conn *next; /* made progress later */
  struct lm_conn *previous;
  const char *listener;
  void (*close) (void *user);
  void *user;
  size_t bytes;
  size_t since_progress; /* bytes */
  bool busy;
  bool added;
} lm_conn;

typedef struct
{
  uint32_t max_connections; /* 0: no limit */
  size_t max_bytes;         /* 0: no limit */
  const ck_clock *clock;    /* NULL: the runtime's */
  mt_registry *metrics;     /* may be NULL */
} lm_desc;

typedef struct
{
  uint32_t connections;
  size_t bytes;
  uint64_t closed; /* by the pool, so far */
} lm_counts;

#ifdef __cplusplus
extern "C"
{
#endif

  lm_pool *lm_make (const lm_desc *desc);
  void lm_destroy (lm_pool *pool);
  void lm_add (lm_pool *pool, lm_conn *conn, const char *listener,
               void (*close) (void *user), void *user);
  void lm_remove (lm_pool *pool, lm_conn *conn);
  void lm_progress (lm_pool *pool, lm_conn *conn, size_t bytes);
  void lm_set_busy (lm_conn *conn, bool busy);
  bool lm_set_bytes (lm_pool *pool, lm_conn *conn, size_t bytes);
  lm_counts lm_query (const lm_pool *pool);

#ifdef __cplusplus
}
#endif

#endif
