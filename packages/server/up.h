/* up.h -- HTTP client for upstreams with a connection pool.

   One call runs on one connection at a time.  Each call has a number in the
   field Dotterelbend-Call.  Where the response repeats it, the connection
   stays in the pool for the next call to the same address; otherwise it is
   closed, since a late copy of the response could not be told from the next
   one.  A response with another number ends the call as UP_CONNECTION_LOST.

   A response is not stored here, but for its head: one that goes on for
   256 KiB without a head or a part of its body, in fields, interim responses,
   chunk extensions or trailers, ends the call as UP_CONNECTION_LOST.

   The end of a call states whether any
   byte of it may have reached the upstream, which decides whether the request
   may be dispatched again.

     up_pool *up = up_make (&(up_desc){ .base = base });
     up_id call = up_send (up, &(up_call_desc){
       .address = ST_LIT ("127.0.0.1:9000"), .method = EVHTTP_REQ_POST,
       .path = "/v1/completions", .body = body, .on_data = on_data,
       .on_done = on_done, .user = request });
     up_pause (up, call);     // stop reading: back-pressure
     up_cancel (up, call);    // no further callbacks

   A pool belongs to one event loop thread.  */
#ifndef UP_H
#define UP_H

#include "id.h"
#include "st.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

typedef struct up_pool up_pool;
typedef id_handle up_id;

typedef enum
{
  UP_COMPLETE,       /* the complete response arrived */
  UP_NOT_SENT,       /* failed before a byte was sent */
  UP_CONNECTION_LOST /* failed after a byte may have been sent */
} up_end;

typedef struct
{
  const char *name;
  const char *value;
} up_header;

typedef struct
{
  up_end end;
  int status;        /* 0 when no head arrived */
  const char *error; /* short text, "" for UP_COMPLETE */
} up_result;

typedef struct
{
  st_str address; /* IP:PORT */
  enum evhttp_cmd_type method;
  const char *path;
  const up_header *headers;
  size_t header_count;
  st_str body;              /* copied */
  uint64_t idle_timeout_ms; /* without progress; 0 means that of the pool */
  /* A longer body ends the call as UP_CONNECTION_LOST.  0 means no limit, or
     1 MiB without on_data.  */
  size_t max_body_bytes;
  /* The response head arrived.  May be NULL.  */
  void (*on_head) (void *user, int status, struct evkeyvalq *headers);
  /* A portion of the body arrived; the callee drains DATA.  */
  void (*on_data) (void *user, struct evbuffer *data);
  /* Called exactly once, unless the call was cancelled.  */
  void (*on_done) (void *user, const up_result *result);
  void *user;
} up_call_desc;

typedef struct
{
  struct event_base *base;
  uint32_t max_calls;          /* 0 means 16384 */
  uint32_t max_idle;           /* idle connections per address; 0 means 256 */
  uint64_t idle_timeout_ms;    /* 0 means 60 s */
  uint64_t connect_timeout_ms; /* 0 means 2 s */
} up_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  up_pool *up_make (const up_desc *desc);
  void up_destroy (up_pool *pool);
  up_id up_send (up_pool *pool, const up_call_desc *desc);
  bool up_pause (up_pool *pool, up_id id);
  bool up_resume (up_pool *pool, up_id id);
  bool up_cancel (up_pool *pool, up_id id);
  uint32_t up_query_calls (const up_pool *pool);
  bool up_parse_address (st_str text, char *host, size_t host_size,
                         uint16_t *port);

#ifdef __cplusplus
}
#endif

#endif
