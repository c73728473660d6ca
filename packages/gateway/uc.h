/* uc.h -- pool of HTTP connections to upstreams.

   Used by the gateway.  A uc_pool retains idle connections and carries one
   exchange at a time on each.  An exchange reports its events through one
   callback; the last event is UC_END or UC_FAILED.

     uc_exchange *x = uc_send (pool, &(uc_request){ .address = address,
                                 .instance = id, .head = head,
                                 .body = body, .request_id = id,
                                 .on_event = on_event,
                                 .user = self });
     uc_cancel (x);       // closes the connection; no more events

   UC_FAILED states whether bytes of the request may have reached the upstream.
   Only if not may a request that must not run twice be sent to another one.

   A response with another request's id is skipped as the late response of an
   earlier exchange.  Its connection is not reused, and neither is one with
   bytes after a response, or with a response that arrived before the request
   was written.  No connection carries two requests with the same id, so that
   the id tells the attempts of a request apart as well.  */
#ifndef UC_H
#define UC_H

#include "hp.h"
#include "st.h"

#include <event2/event.h>
#include <glib.h>

typedef struct uc_pool uc_pool;
typedef struct uc_exchange uc_exchange;

typedef enum
{
  UC_HEAD = 0, /* head of the response; uc_event.head */
  UC_BODY,     /* portion of its body; uc_event.bytes */
  UC_END,      /* the response is complete; the exchange is freed */
  UC_FAILED    /* it will not be complete; the exchange is freed */
} uc_event_kind;

typedef struct
{
  uc_event_kind kind;
  const hp_head *head;
  st_str bytes;
  bool sent;            /* of UC_FAILED: bytes may have reached the upstream */
  const char *reason;   /* of UC_FAILED, for logs */
  bool over_limit;      /* of UC_FAILED: the response exceeded a limit */
  bool connection_lost; /* of UC_FAILED: the upstream ended the connection */
} uc_event;

typedef void (*uc_on_event) (void *user, const uc_event *event);

typedef struct
{
  st_str address;    /* IP:PORT */
  st_str instance;   /* idle connections are pooled by it */
  st_str request_id; /* the response must echo it */
  st_str head;       /* copied; "": only connects, UC_END then */
  GBytes *body;      /* referenced until it is written; NULL: none */
  bool no_body;      /* the response has none: the method is HEAD */
  bool any_response; /* it need not echo the id */
  uc_on_event on_event;
  void *user;
} uc_request;

typedef struct
{
  struct event_base *base;
  st_str id_field;          /* name of the field that echoes the id */
  uint32_t max_connections; /* idle ones are closed for new ones; 0: no
                               limit */
  uint32_t connect_ms;      /* 0 means 400 */
  uint32_t idle_ms;         /* for upstreams that state no time; 0: 4000 */
} uc_desc;

/* Where an exchange takes place.  */
typedef struct
{
  uint64_t connection; /* its number in the pool, from 1 */
  uint32_t use;        /* requests on it so far, this one included */
} uc_place;

#ifdef __cplusplus
extern "C"
{
#endif

  uc_pool *uc_make (const uc_desc *desc);
  void uc_destroy (uc_pool *pool);
  uc_exchange *uc_send (uc_pool *pool, const uc_request *request);
  uc_place uc_query_place (const uc_exchange *x);
  bool uc_query_sent (const uc_exchange *x);
  void uc_cancel (uc_exchange *x);
  void uc_set_reading (uc_exchange *x, bool reading);
  void uc_close_instance (uc_pool *pool, st_str instance);
  void uc_close_idle (uc_pool *pool);

#ifdef __cplusplus
}
#endif

#endif
