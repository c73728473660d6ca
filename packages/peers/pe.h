/* pe.h -- peer task: connections to the other VMs, and membership.

   Listens on peer_address and keeps TCP connections to the peers with which it
   exchanges messages.  Each side sends HELLO first.  A message of pe_send has
   an exact incarnation as its target: it is dropped when another process
   replies at that address.  pe_send_name targets a VM by name.  The task runs
   mb_ (probes, acknowledgements, suspicions) and passes every decoded message
   but HELLO and PING_REQ to one callback.

     pe_task *pe = pe_make (&(pe_desc){ .base = base, .name = name,
                                        .incarnation = inc,
                                        .peer_address = ST_LIT ("IP:PORT"),
                                        .on_message = on_message,
                                        .user = self }, &err);
     pe_set_vm_list (pe, entries, count);
     pe_send (pe, incarnation, &message);
     uint32_t cursor = 0;
     while (mb_query_live (pe_query_members (pe), region, dc, &cursor, &r))
       ...
     pe_destroy (pe);

   Delivery is not guaranteed: a message is lost when its connection is lost.
   The connection of a peer that violates the protocol is closed, and the error
   is counted by its name (peer_errors_total).  The output buffer of a peer is
   bounded: above half the bound messages that are sent periodically anyway are
   dropped and counted (peer_dropped_total), above the bound the connection is
   closed.

   A task belongs to one event loop thread.  Callbacks may call pe_send but
   not pe_destroy.  */
#ifndef PE_H
#define PE_H

#include "ck.h"
#include "er.h"
#include "mb.h"
#include "ms.h"
#include "mt.h"

#include <event2/event.h>

typedef struct pe_task pe_task;

typedef enum
{
  PE_SENT = 0, /* written, or queued until the connection is ready */
  PE_UNKNOWN,  /* no such live peer */
  PE_DROPPED,  /* the output buffer is full, or connecting to the peer
                  failed recently */
  PE_INVALID   /* the message cannot be encoded */
} pe_result;

/* Views are valid during the callback.  */
typedef struct
{
  st_str name;
  st_str incarnation;
} pe_sender;

typedef struct
{
  struct event_base *base;
  const ck_clock *clock; /* NULL: the system clock */
  mt_registry *metrics;  /* may be NULL */
  st_str name;
  st_str incarnation;
  st_str region;
  st_str data_center;
  st_str peer_address;    /* IP:PORT to listen on; port 0: any */
  st_str callers_address; /* sent to the peers */
  uint32_t capacity;      /* thousandths of a core; 0: unknown */
  uint64_t counter;       /* wall clock in ms at the start */
  uint64_t seed;
  size_t output_max_bytes;  /* per peer; 0 means 4 MiB */
  uint32_t max_connections; /* accepted; 0 means 4096 */
  uint64_t hello_ms;        /* longest wait for HELLO; 0 means 5 s */
  uint64_t idle_ms;         /* idle time after which a connection is closed; 0
                               means 15 s */
  uint64_t retry_ms;        /* delay after the first failure; 0 means 50 ms */
  uint64_t retry_max_ms;    /* 0 means 1 s */
  uint64_t period_us;       /* of mb_; 0 means its default */
  uint64_t suspect_us;      /* of mb_; 0 means its default */
  /* Receives any message but HELLO and PING_REQ; probes after mb_ has
     processed them.  */
  void (*on_message) (void *user, const pe_sender *sender,
                      const ms_message *m);
  /* May be NULL.  */
  void (*on_event) (void *user, mb_event event, st_str name,
                    st_str incarnation);
  /* Adds settings version and demands to a probe; may be NULL.  */
  void (*on_probe) (void *user, ms_probe *probe);
  void *user;
} pe_desc;

typedef struct
{
  uint32_t connections;
  uint64_t bytes_sent;
  uint64_t messages_sent;
  uint64_t messages_received;
  uint64_t protocol_errors;
  uint64_t dropped;
  uint64_t connects;
  uint64_t connect_failures;
} pe_counts;

#ifdef __cplusplus
extern "C"
{
#endif

  pe_task *pe_make (const pe_desc *desc, er_error *err);
  void pe_destroy (pe_task *pe);
  void pe_set_vm_list (pe_task *pe, const mb_vm_entry *entries,
                       uint32_t count);
  pe_result pe_send (pe_task *pe, st_str incarnation, const ms_message *m);
  pe_result pe_send_connected (pe_task *pe, const pe_sender *to,
                               const ms_message *m);
  pe_result pe_send_name (pe_task *pe, st_str name, const ms_message *m);
  void pe_leave (pe_task *pe);
  void pe_rejoin (pe_task *pe, st_str incarnation, uint64_t counter);
  const char *pe_result_name (pe_result result);
  bool pe_is_receiving (const pe_task *pe);
  const mb_state *pe_query_members (const pe_task *pe);
  st_str pe_query_address (const pe_task *pe);
  pe_counts pe_query_counts (const pe_task *pe);

#ifdef __cplusplus
}
#endif

#endif
