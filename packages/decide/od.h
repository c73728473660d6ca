/* od.h -- sends non-idempotent calls (orders, debits) at most once.

   An od_state decides, for one process, when a call with an idempotency key
   may be sent.  The server's oc module drives it.  Before a call is sent, its
   intent is written to the configuration store, into a bucket chosen by the
   hash of the key.  od handles bucket values as typed entries; the user of
   od serialises them.  All effects are actions returned by od_next.

     od_state *od = od_make (&(od_desc){ .incarnation = inc, .seed = s });
     od_call (od, &(od_call_desc){ .key = key, .caller = 7 }, now);
     od_action a;
     while (od_next (od, now, &a))
       switch (a.kind)
         {
         case OD_READ:  read the bucket, then od_on_read (od, a.op, ...)
         case OD_WRITE: compare-and-swap, then od_on_write (od, a.op, ...)
         case OD_SEND:  send the call once, then od_on_call_result
         case OD_REQUEST_ABANDON: send ABANDON_ASK to a.incarnation, then
                                  od_on_abandon_reply
         case OD_COMPLETE: report a.outcome to a.caller
         }
     od_destroy (od);

   Rules that keep a call from running twice:
   - A call is sent only after its intent was seen in the store, only by the
     process that wrote the intent, and only once.
   - An attempt that was sent stays in the table until its outcome is seen in
     the store.  So an attempt of this process that is not in the table was
     never sent and never will be, and may be replaced.
   - An attempt of another process is replaced only after that process reported
     that it abandoned the attempt.  If that process is dead, the outcome is
     unknown.

   Times: now_us is monotonic; wall_ms is used only for the age of stored
   entries.  Memory for calls is fixed in the desc; stored entries are
   allocated and bounded by the bucket size.  */
#ifndef OD_H
#define OD_H

#include "al.h"
#include "id.h"
#include "st.h"

#define OD_KEY_MAX 512
#define OD_INCARNATION_MAX 96
#define OD_BODY_MAX_BYTES 4096 /* of a response body; the rest is dropped */
#define OD_BUCKETS 64

typedef enum
{
  OD_INTENT = 0,
  OD_DONE,
  OD_NOT_RUN,
  OD_UNKNOWN,
  OD_ENTRY_STATES
} od_entry_state;

/* One stored key.  */
typedef struct
{
  st_str key;
  uint64_t attempt;
  st_str incarnation;
  od_entry_state state;
  uint32_t status; /* of the response when DONE */
  st_str body;     /* first OD_BODY_MAX_BYTES of the response when DONE */
  bool body_truncated;
  uint64_t time_ms; /* wall clock of the last change */
} od_entry;

typedef struct
{
  uint64_t revision; /* 0: the bucket does not exist */
  uint32_t count;
  const od_entry *entries;
} od_value;

/* Time of an input.  */
typedef struct
{
  uint64_t now_us;
  uint64_t wall_ms;
} od_time;

/* Result of a store operation.  */
typedef enum
{
  OD_OK = 0,
  OD_CONFLICT,    /* write: another revision is current */
  OD_NOT_FOUND,   /* read: the bucket does not exist */
  OD_UNAVAILABLE, /* the store refused or cannot be reached */
  OD_LOST         /* no reply; a write may take effect, even later */
} od_result;

typedef enum
{
  OD_NOT_SENT = 0, /* the connection failed before a byte was sent */
  OD_ANSWERED,
  OD_CONNECTION_LOST /* the connection failed after a byte was sent */
} od_call_result;

typedef enum
{
  OD_ABANDONED = 0, /* the attempt was not sent and never will be */
  OD_NOT_ABANDONED, /* the attempt was sent or may still be sent */
  OD_DEAD,          /* the other incarnation is dead */
  OD_UNREACHABLE    /* no reply */
} od_abandon_result;

typedef enum
{
  OD_READ = 0,
  OD_WRITE,
  OD_SEND,
  OD_REQUEST_ABANDON,
  OD_COMPLETE
} od_action_kind;

typedef enum
{
  OD_REASON_NONE = 0,
  OD_REASON_STORE_UNAVAILABLE,
  OD_REASON_DEADLINE,
  OD_REASON_BUCKET_FULL,
  OD_REASON_TABLE_FULL,
  OD_REASON_CONNECT_FAILED,
  OD_REASON_CONNECTION_LOST,
  OD_REASON_OWNER_DEAD,
  OD_REASON_OWNER_UNRESPONSIVE,
  OD_REASON_KEY_INVALID
} od_reason;

/* Views in an action are valid until the next call on the same od_state.  */
typedef struct
{
  od_action_kind kind;
  uint64_t op;        /* READ, WRITE */
  uint32_t bucket;    /* READ, WRITE */
  od_value value;     /* WRITE: entries; revision is the expected one */
  id_handle call;     /* SEND, COMPLETE (0 when no call was made) */
  st_str key;         /* SEND, REQUEST_ABANDON */
  uint64_t attempt;   /* SEND, REQUEST_ABANDON, COMPLETE */
  uint64_t fence;     /* SEND: store revision at which the intent was seen */
  st_str incarnation; /* REQUEST_ABANDON */
  uint64_t caller;    /* COMPLETE */
  od_entry_state outcome; /* COMPLETE: DONE, NOT_RUN or UNKNOWN */
  od_reason reason;       /* COMPLETE */
  bool stored;            /* COMPLETE: status and body are from the store */
  uint32_t status;        /* COMPLETE, stored */
  st_str body;            /* COMPLETE, stored */
  bool body_truncated;    /* COMPLETE, stored */
} od_action;

/* Test only: turns a safety rule off.  */
typedef enum
{
  OD_FAULT_NONE = 0,
  OD_FAULT_SEND_WITHOUT_INTENT, /* sends before the intent is stored */
  OD_FAULT_REPLACE_DEAD,        /* replaces the attempt of a dead process */
  OD_FAULT_FORGET_SENT          /* reports a sent attempt as abandoned */
} od_fault;

typedef struct
{
  st_str incarnation;
  uint64_t seed;
  uint32_t buckets;             /* 0 means OD_BUCKETS; the same on all VMs */
  uint32_t max_calls;           /* keys in the table; 0 means 1024 */
  uint32_t max_callers;         /* 0 means 4096 */
  uint32_t bucket_max_bytes;    /* 0 means 960 KiB, below the store's 1 MB */
  uint64_t retention_ms;        /* 0 means 24 h */
  uint64_t wait_us;             /* longest wait for an intent; 0 means 5 s */
  uint64_t abandon_interval_us; /* between abandon requests; 0 means 200 ms */
  uint64_t retry_us;            /* first store retry delay; 0 means 10 ms */
  uint64_t retry_max_us;        /* 0 means 1 s */
  od_fault fault;
  al_allocator allocator;
} od_desc;

typedef struct
{
  st_str key;       /* (team, service, key) in one string */
  uint64_t caller;  /* returned in the COMPLETE action */
  uint64_t wait_us; /* 0 means that of the desc */
} od_call_desc;

typedef struct
{
  uint64_t reads;
  uint64_t writes;
  uint64_t conflicts;
  uint64_t sends;
  uint64_t abandon_requests;
  uint32_t calls;   /* keys in the table */
  uint32_t callers; /* that wait for an outcome */
} od_counts;

typedef struct od_state od_state;

#ifdef __cplusplus
extern "C"
{
#endif

  od_state *od_make (const od_desc *desc);
  void od_destroy (od_state *od);
  void od_set_incarnation (od_state *od, st_str incarnation);
  bool od_call (od_state *od, const od_call_desc *desc, od_time t);
  void od_on_read (od_state *od, uint64_t op, od_result result,
                   const od_value *value, od_time t);
  void od_on_write (od_state *od, uint64_t op, od_result result,
                    uint64_t revision, od_time t);
  void od_on_call_result (od_state *od, id_handle call, od_call_result result,
                          uint32_t status, st_str body, od_time t);
  void od_on_abandon_reply (od_state *od, st_str key, uint64_t attempt,
                            od_abandon_result result, od_time t);
  bool od_on_abandon_request (od_state *od, st_str incarnation, st_str key,
                              uint64_t attempt);
  bool od_next (od_state *od, od_time t, od_action *action);
  uint64_t od_query_wake_us (const od_state *od, uint64_t now_us);
  od_counts od_query_counts (const od_state *od);

#ifdef __cplusplus
}
#endif

#endif
