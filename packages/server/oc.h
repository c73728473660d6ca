/* oc.h -- the task for non-idempotent calls.

   Carries out the decisions of od_ with the configuration store and the
   services; the front end makes the calls.  Intents are stored under
   orders/bucket/NN.  Each call gets exactly one response, from the event loop
   and never from inside oc_call.

     oc_task *oc = oc_make (&(oc_desc){ .base = base, .platform = platform,
                                        .incarnation = inc, .seed = s,
                                        .find_peer = find, .send = send,
                                        .user = self });
     oc_id call = oc_call (oc, &(oc_call_desc){
       .team = team, .service = service, .key = key, .path = "/orders",
       .body = body, .addresses = a, .address_count = n }, on_response, self);
     oc_detach_caller (oc, call);                  // it disconnected
     oc_on_message (oc, sender, &message);  // ABANDON_ASK, ABANDON_REPLY
     oc_destroy (oc);

   The service gets the header Idempotency-Key and, as fencing number, the
   store revision of the intent in Dotterelbend-Fence.  The next address is
   used only while no byte of the call was sent.

   OC_NOT_RUN promises that this call was not and will not be sent; an earlier
   call with the same key may have been.  */
#ifndef OC_H
#define OC_H

#include "ck.h"
#include "er.h"
#include "ms.h"
#include "mt.h"
#include "od.h"
#include "pf.h"

#include <event2/event.h>

#define OC_ADDRESSES_MAX 8
#define OC_KEY_MAX 256
#define OC_BODY_MAX_BYTES (1024 * 1024)

typedef struct oc_task oc_task;
typedef id_handle oc_id;

typedef enum
{
  OC_ANSWERED = 0,
  OC_NOT_RUN,
  OC_UNKNOWN
} oc_outcome;

typedef enum
{
  OC_PEER_UNKNOWN = 0, /* not in the member list, or not yet */
  OC_PEER_ALIVE,
  OC_PEER_DEAD
} oc_peer_state;

typedef struct
{
  st_str team;
  st_str service;
  st_str key; /* the caller's Idempotency-Key, 1 to OC_KEY_MAX bytes */
  const char *path;
  st_str content_type; /* empty: application/json */
  st_str body;
  const st_str *addresses; /* IP:PORT, in the order to try */
  size_t address_count;
} oc_call_desc;

/* Views are valid during the callback.  */
typedef struct
{
  oc_outcome outcome;
  er_kind kind;        /* ER_OK when answered */
  const char *message; /* cause and suggested fix; "" when answered */
  uint64_t retry_after_ms;
  int status; /* of the service's response */
  st_str content_type;
  st_str body;
  bool replayed; /* from the store, at most OD_BODY_MAX_BYTES of the body */
  bool body_truncated;
} oc_response;

typedef void (*oc_done) (void *user, const oc_response *response);

typedef struct
{
  struct event_base *base;
  const ck_clock *clock; /* NULL: the runtime's */
  pf_platform *platform;
  mt_registry *metrics; /* may be NULL */
  st_str incarnation;
  uint64_t seed;
  uint32_t max_calls; /* 0 means 1024 */
  uint64_t wait_us;   /* longest wait for an intent; 0 means 5 s */
  /* Longest time without data from a service; 0 means 30 s.  */
  uint64_t idle_timeout_ms;
  /* Between two ABANDON_ASK messages; 0 means 200 ms.  */
  uint64_t abandon_interval_us;
  oc_peer_state (*find_peer) (void *user, st_str incarnation);
  bool (*send) (void *user, st_str incarnation, const ms_message *m);
  void *user;
} oc_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  oc_task *oc_make (const oc_desc *desc);
  void oc_destroy (oc_task *oc);
  oc_id oc_call (oc_task *oc, const oc_call_desc *desc, oc_done done,
                 void *user);
  void oc_detach_caller (oc_task *oc, oc_id call);
  void oc_on_message (oc_task *oc, st_str sender, const ms_message *m);
  void oc_set_incarnation (oc_task *oc, st_str incarnation);
  od_counts oc_query_counts (const oc_task *oc);
  uint32_t oc_query_waiting (const oc_task *oc);

#ifdef __cplusplus
}
#endif

#endif
