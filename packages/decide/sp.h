/* sp.h -- acceptance and distribution of settings.

   The store holds one immutable value per subtree, named by its content hash,
   and the key settings/head: a version, the hash of each subtree and the
   last changes.  A change is accepted when the compare-and-swap of the head
   is confirmed.

   sp_change runs one change on the VM to which an operator is connected:

     sp_change *c = sp_make_change (&desc, now_us);
     sp_change_action a;
     while (sp_change_next (c, &a))
       switch (a.kind) ...           // read, prepare, write, swap, finish
     sp_change_on_head (c, now_us, SP_OK, &head);  // and the other replies
     sp_destroy_change (c);

   sp_vm holds the settings state of one VM.  The first VMs of a data centre by
   rendezvous hashing watch the head.  A VM that has applied a version pushes
   the difference to its children in a tree over the VMs of its data centre;
   the version is piggybacked on every probe, so that a VM that received no
   push fetches it.

     sp_vm *vm = sp_make_vm (&(sp_vm_desc){ .self = name }, now_us);
     sp_vm_set_members (vm, now_us, members, count);
     sp_vm_on_head (vm, now_us, &source, &head, since);
     sp_vm_tick (vm, now_us);        // every 100 ms
     while (sp_vm_next (vm, &action))
       switch (action.kind) ...
     sp_destroy_vm (vm);

   Both modules do no I/O and allocate memory only when they are made.  */
#ifndef SP_H
#define SP_H

#include "al.h"
#include "st.h"

#define SP_HASH_LEN 32
#define SP_RECORDS_MAX 32
#define SP_CHANGE_SUBTREES_MAX 8
#define SP_ENTRIES_DEFAULT 1024
#define SP_MEMBERS_DEFAULT 2048

/* Hash of a value in hexadecimal.  */
typedef struct
{
  char text[SP_HASH_LEN + 1];
} sp_hash;

typedef struct
{
  uint64_t changed; /* version that last changed the subtree */
  st_name subtree;
  sp_hash hash;
} sp_entry;

/* Effect of one change on one subtree.  */
typedef struct
{
  uint64_t version;
  uint64_t time_ms; /* wall clock of the accepting VM */
  st_name id;       /* of the change */
  st_name who;
  st_name subtree;
  sp_hash before; /* empty: the subtree was new */
  sp_hash after;
} sp_record;

/* The arrays belong to the caller.  Records are sorted by version.  */
typedef struct
{
  uint64_t version;  /* 0: nothing has been written yet */
  uint64_t revision; /* of the store key; 0: head of a peer, or no key */
  size_t entry_count;
  const sp_entry *entries;
  size_t record_count;
  const sp_record *records;
} sp_head;

typedef enum
{
  SP_OK = 0,
  SP_LOST,        /* no reply; the effect is unknown */
  SP_UNAVAILABLE, /* had no effect */
  SP_CONFLICT,    /* the compare-and-swap found another revision */
  SP_NOT_FOUND
} sp_result;

/* --- one change ------------------------------------------------------- */

typedef struct sp_change sp_change;

typedef struct
{
  st_name id; /* unique */
  st_name who;
  uint64_t time_ms;
  uint64_t base_version; /* version on which the operator based the edit */
  size_t subtree_count;
  st_name subtrees[SP_CHANGE_SUBTREES_MAX];
  uint64_t limit_us;    /* time limit of the change; 0 means 10 s */
  uint64_t retry_us;    /* delay after a failed call; 0 means 200 ms */
  uint32_t max_entries; /* 0 means SP_ENTRIES_DEFAULT */
  al_allocator allocator;
} sp_change_desc;

typedef enum
{
  SP_CHANGE_READ_HEAD,
  /* Compute the new value of subtree INDEX from the one with hash BEFORE
     (empty: none), then call sp_change_on_prepared.  */
  SP_CHANGE_PREPARE,
  SP_CHANGE_WRITE_VALUE, /* value of subtree INDEX under its hash AFTER */
  SP_CHANGE_SWAP_HEAD,   /* from REVISION to HEAD */
  SP_CHANGE_FINISHED     /* see sp_change_query_outcome */
} sp_change_action_kind;

typedef struct
{
  sp_change_action_kind kind;
  size_t index;
  sp_hash before;
  sp_hash after;
  uint64_t revision;
  const sp_head *head; /* valid until the next input */
} sp_change_action;

typedef enum
{
  SP_PENDING = 0,
  SP_ACCEPTED,
  SP_CONFLICTED, /* a subtree was changed since base_version */
  SP_INVALID,    /* the edit does not give valid settings */
  SP_REFUSED,    /* the store is unavailable; not accepted */
  SP_UNKNOWN     /* a swap was sent and its effect cannot be determined */
} sp_outcome;

/* --- one VM ----------------------------------------------------------- */

typedef struct sp_vm sp_vm;

typedef struct
{
  st_name self;
  uint64_t seed;
  uint32_t watchers;         /* for each data centre; 0 means 2 */
  uint32_t fan_out;          /* children of a VM; 0 means 2 */
  uint32_t max_entries;      /* 0 means SP_ENTRIES_DEFAULT */
  uint32_t max_members;      /* 0 means SP_MEMBERS_DEFAULT */
  uint64_t fetch_timeout_us; /* for a reply of a peer; 0 means 300 ms */
  uint64_t store_retry_us;   /* 0 means 400 ms */
  /* Shortest time between two reads of a head of the design size by a watcher,
     less for a smaller head; limits the bytes that a watcher receives.  0
     means 2.5 s.  */
  uint64_t watch_interval_us;
  /* Longest time that a watch waits for a reply, so that a hanging watch does
     not leave the watcher without updates.  0 means 2.5 s.  */
  uint64_t watch_timeout_us;
  al_allocator allocator;
} sp_vm_desc;

typedef enum
{
  SP_FROM_STORE,
  SP_FROM_PEER,
  SP_FROM_SELF /* a change accepted on this VM; also pass its values to
                  sp_vm_on_value */
} sp_source_kind;

typedef struct
{
  sp_source_kind kind;
  st_name peer; /* SP_FROM_PEER */
} sp_source;

typedef enum
{
  SP_VM_WATCH,       /* wait for a revision above REVISION; replaces an
                        earlier watch */
  SP_VM_READ_HEAD,   /* from the store */
  SP_VM_FETCH_HEAD,  /* from PEER, the difference since VERSION */
  SP_VM_FETCH_VALUE, /* from PEER */
  SP_VM_READ_VALUE,  /* from the store */
  SP_VM_PUSH,        /* send PEER the difference from SINCE to VERSION */
  SP_VM_APPLY        /* the entries changed after SINCE, up to VERSION */
} sp_vm_action_kind;

typedef struct
{
  sp_vm_action_kind kind;
  uint64_t version;
  uint64_t since;
  uint64_t revision;
  uint64_t sequence; /* WATCH and READ_HEAD: pass it back with the result */
  st_name peer;
  st_name subtree; /* FETCH_VALUE, READ_VALUE */
  sp_hash hash;
} sp_vm_action;

typedef struct
{
  uint64_t version; /* applied */
  uint64_t target;  /* being fetched; equal to version when none is */
  bool ready;
  bool watcher;
  uint32_t rank; /* in the data centre; 0 is the first watcher */
  uint32_t missing;
} sp_vm_state;

#ifdef __cplusplus
extern "C"
{
#endif

  sp_change *sp_make_change (const sp_change_desc *desc, uint64_t now_us);
  void sp_destroy_change (sp_change *c);
  bool sp_change_next (sp_change *c, sp_change_action *out);
  void sp_change_on_head (sp_change *c, uint64_t now_us, sp_result result,
                          const sp_head *head);
  void sp_change_on_prepared (sp_change *c, uint64_t now_us, size_t index,
                              sp_result result, const sp_hash *after);
  void sp_change_on_invalid (sp_change *c);
  void sp_change_on_written (sp_change *c, uint64_t now_us, sp_result result);
  void sp_change_on_swapped (sp_change *c, uint64_t now_us, sp_result result,
                             uint64_t revision);
  void sp_change_tick (sp_change *c, uint64_t now_us);
  sp_outcome sp_change_query_outcome (const sp_change *c);
  uint64_t sp_change_query_version (const sp_change *c);
  const sp_head *sp_change_query_head (const sp_change *c);

  sp_vm *sp_make_vm (const sp_vm_desc *desc, uint64_t now_us);
  void sp_destroy_vm (sp_vm *vm);
  void sp_vm_set_members (sp_vm *vm, uint64_t now_us, const st_name *members,
                          size_t count);
  void sp_vm_on_hint (sp_vm *vm, uint64_t now_us, const st_name *peer,
                      uint64_t version);
  void sp_vm_on_head (sp_vm *vm, uint64_t now_us, const sp_source *source,
                      const sp_head *head, uint64_t since);
  void sp_vm_on_head_error (sp_vm *vm, uint64_t now_us, uint64_t sequence);
  void sp_vm_on_watch (sp_vm *vm, uint64_t now_us, uint64_t sequence,
                       sp_result result, bool changed);
  void sp_vm_on_value (sp_vm *vm, uint64_t now_us, const sp_hash *hash);
  void sp_vm_on_no_value (sp_vm *vm, uint64_t now_us, const sp_source *source,
                          const sp_hash *hash);
  void sp_vm_tick (sp_vm *vm, uint64_t now_us);
  bool sp_vm_next (sp_vm *vm, sp_vm_action *out);
  sp_vm_state sp_vm_query_state (const sp_vm *vm);
  size_t sp_vm_list_entries (const sp_vm *vm, uint64_t since, sp_entry *out,
                             size_t max);

#ifdef __cplusplus
}
#endif

#endif
