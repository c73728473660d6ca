/* uc.h -- connections to upstreams.

   One uc_pool keeps idle connections and carries one exchange at a time on
   each.  An exchange tells its owner what happened through one function; the
   last call is UC_END or UC_FAILED.

     uc_exchange *x = uc_send (pool, &(uc_request){ .address = address,
                                 .instance = id, .bytes = head_and_body,
                                 .request_id = id, .on_event = on_event,
                                 .user = self });
     uc_cancel (x);       // closes the connection; no more calls

   UC_FAILED says whether bytes of the request may have reached the upstream:
   only without them may another one get a request that must not run twice.

   An answer that bears another request's id is skipped, as one that came too
   late for its own exchange; its connection is not used again.  Nor is one on
   which bytes lie behind an answer, or whose answer came before the request
   was written.  */
#ifndef UC_H
#define UC_H

#include "hp.h"
#include "st.h"

#include <event2/event.h>

typedef struct uc_pool uc_pool;
typedef struct uc_exchange uc_exchange;

typedef enum
{
  UC_HEAD = 0, /* the head of the answer; uc_event.head */
  UC_BODY,     /* a part of its body; uc_event.bytes */
  UC_END,      /* the answer is complete; the exchange is gone */
  UC_FAILED    /* it never will be; the exchange is gone */
} uc_event_kind;

typedef struct
{
  uc_event_kind kind;
  const hp_head *head;
  st_str bytes;
  bool sent;          /* of UC_FAILED: bytes may have reached the upstream */
  const char *reason; /* of UC_FAILED, for logs */
} uc_event;

typedef void (*uc_on_event) (void *user, const uc_event *event);

typedef struct
{
  st_str address;    /* IP:PORT */
  st_str instance;   /* connections are kept by it */
  st_str request_id; /* the answer must echo it; "" takes any */
  st_str bytes;      /* whole request; copied */
  uc_on_event on_event;
  void *user;
} uc_request;

typedef struct
{
  struct event_base *base;
  st_str id_field;     /* name of the field that echoes the id */
  uint32_t connect_ms; /* 0 means 400 */
  uint32_t idle_ms;    /* for upstreams that name no time; 0: 4000 */
} uc_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  uc_pool *uc_make (const uc_desc *desc);
  void uc_destroy (uc_pool *pool);
  uc_exchange *uc_send (uc_pool *pool, const uc_request *request);
  void uc_cancel (uc_exchange *x);
  void uc_forget (uc_pool *pool, st_str instance);

#ifdef __cplusplus
}
#endif

#endif
