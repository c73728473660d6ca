/* mb.h -- membership of the VMs and failure detection, after SWIM.

   An mb_state holds one VM's view of the others; the peer connections (pe)
   carry its messages.  It probes one member each period, requests indirect
   probes of a member that did not reply, suspects it and later declares it
   dead.  Updates are piggybacked on probes and ACKs, at most MB_UPDATES_MAX
   per message, so the cost per VM does not grow with the number of VMs.

     mb_state *mb = mb_make (&(mb_desc){ .self = record, .seed = s }, now);
     mb_set_vm_list (mb, entries, count, now);
     mb_on_message (mb, &message, now);
     mb_action a;
     while (mb_next (mb, now, &a))
       switch (a.kind)
         {
         case MB_SEND:  send a.message to a.to_address
         case MB_EVENT: handle a.event of a.incarnation
         }

   Rules:
   - An incarnation is alive, suspect or leaving until it is dead; dead is
     final.  A VM refutes a suspicion by raising its counter.
   - Of two incarnations of one name the one with the higher counter is
     newer.  A VM that receives a higher counter under its name raises its
     own above it.  The user of mb starts the counter at the wall clock in ms,
     so that this is rarely needed.
   - The VM list adds names and removes dead ones.  It has no incarnations
     and revives no dead one.
   - After MB_OWN_DEAD the user of mb calls mb_rejoin with a new incarnation,
     at once or when its work is finished.

   Views in an action or a record are valid until the next call that is not
   a query.  */
#ifndef MB_H
#define MB_H

#include "al.h"
#include "st.h"

#define MB_UPDATES_MAX 8
#define MB_INCARNATION_MAX 96
#define MB_ADDRESS_MAX 64

typedef enum
{
  MB_ALIVE = 0,
  MB_SUSPECT,
  MB_LEAVING,
  MB_DEAD,
  MB_STATES
} mb_member_state;

typedef struct
{
  st_str name;
  st_str incarnation;
  st_str region;
  st_str data_center;
  st_str peer_address;
  st_str callers_address;
  mb_member_state state;
  uint32_t capacity; /* thousandths of a core; 0: unknown */
  uint64_t counter;
} mb_record;

/* An entry of the VM list.  */
typedef struct
{
  st_str name;
  st_str region;
  st_str data_center;
  st_str peer_address;
  st_str callers_address;
  bool leaving;
  uint32_t capacity; /* thousandths of a core; 0: unknown */
} mb_vm_entry;

typedef enum
{
  MB_PING = 0,
  MB_ACK,
  MB_PING_REQ
} mb_message_kind;

typedef struct
{
  mb_message_kind kind;
  uint64_t sequence;
  mb_record self; /* of the sender */
  /* PING: the probed incarnation, empty when the sender has none.  ACK: the
     incarnation that replied.  PING_REQ: the one to probe.  */
  st_str subject;
  uint32_t update_count;
  mb_record updates[MB_UPDATES_MAX];
} mb_message;

typedef enum
{
  MB_JOINED = 0,
  MB_SUSPECTED,
  MB_CLEARED, /* no longer suspect */
  MB_LEFT,    /* leaving: still alive, takes no new work */
  MB_DIED,
  MB_OWN_DEAD, /* others declared this incarnation dead */
  MB_RESYNC    /* events were dropped; query all members again */
} mb_event;

typedef enum
{
  MB_SEND = 0,
  MB_EVENT
} mb_action_kind;

typedef struct
{
  mb_action_kind kind;
  /* SEND */
  st_str to_name;
  st_str to_address;
  mb_message message;
  /* EVENT; the member that it is about */
  mb_event event;
  st_str name;
  st_str incarnation;
  bool declared_locally; /* DIED: by this VM, not by a peer's update */
} mb_action;

/* Test only: turns a rule off.  */
typedef enum
{
  MB_FAULT_NONE = 0,
  MB_FAULT_REVIVE_DEAD, /* revives a dead incarnation */
  MB_FAULT_NO_REFUTE,   /* does not refute a suspicion */
  MB_FAULT_TRUST_TIMERS /* acts on timers that expired while the VM paused */
} mb_fault;

typedef struct
{
  mb_record self; /* state ALIVE; counter: wall clock in ms */
  uint64_t seed;
  uint32_t max_members;        /* 0 means 2048 */
  uint64_t period_us;          /* between probes; 0 means 500 ms */
  uint64_t ack_timeout_us;     /* until indirect probes; 0 means 200 ms */
  uint64_t suspect_timeout_us; /* until declared dead; 0 means 2 s */
  uint32_t indirect_probes;    /* per missed ACK, at most 8; 0 means 3 */
  mb_fault fault;
  al_allocator allocator;
} mb_desc;

typedef struct
{
  uint64_t sent[3]; /* by mb_message_kind */
  uint64_t received;
  uint64_t suspicions; /* raised by this VM */
  uint64_t deaths;     /* declared by this VM */
  uint64_t refutations;
  uint32_t members; /* incarnations that are not dead, self included */
} mb_counts;

typedef struct mb_state mb_state;

#ifdef __cplusplus
extern "C"
{
#endif

  mb_state *mb_make (const mb_desc *desc, uint64_t now_us);
  void mb_destroy (mb_state *mb);
  void mb_set_vm_list (mb_state *mb, const mb_vm_entry *entries,
                       uint32_t count, uint64_t now_us);
  void mb_on_message (mb_state *mb, const mb_message *message,
                      uint64_t now_us);
  void mb_leave (mb_state *mb);
  void mb_rejoin (mb_state *mb, st_str incarnation, uint64_t counter);
  bool mb_next (mb_state *mb, uint64_t now_us, mb_action *action);
  uint64_t mb_query_wake_us (const mb_state *mb, uint64_t now_us);
  mb_record mb_query_self (const mb_state *mb);
  bool mb_query_own_dead (const mb_state *mb);
  bool mb_query_member (const mb_state *mb, uint32_t *cursor,
                        mb_record *record);
  bool mb_query_live (const mb_state *mb, st_str region, st_str data_center,
                      uint32_t *cursor, mb_record *record);
  bool mb_query_name (const mb_state *mb, st_str name, mb_record *record);
  bool mb_query_incarnation (const mb_state *mb, st_str incarnation,
                             mb_member_state *state);
  mb_counts mb_query_counts (const mb_state *mb);

#ifdef __cplusplus
}
#endif

#endif
