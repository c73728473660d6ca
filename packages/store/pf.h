/* pf.h -- client of the platform: configuration store, VM list, weight store.

   All calls are asynchronous on a libevent event_base.  Each call except
   pf_watch ends with exactly one call of its callback.  A watch calls it for
   events, the first failure after a success and the first success after a
   failure, until pf_unwatch.  Callbacks run from the event loop, never from
   inside the call itself.  The reply's pointers are valid during the callback
   only.

     pf_platform *p = pf_make (&(pf_desc){ .base = base, .driver = PF_HTTP,
                                           .store = "127.0.0.1:7000" }, &err);
     pf_put (p, ST_LIT ("settings/head"), value, 0, on_put, self);
     pf_destroy (p);

   A write that ends PF_UNKNOWN may have taken effect; read the key back
   before reporting a result.  PF_UNAVAILABLE and PF_REFUSED mean that it
   certainly did not.  A read never ends PF_UNKNOWN.

   Drivers: PF_HTTP implements the interface of section 6.3 of the design page.
   PF_MEMORY is an in-process fake for tests: several platforms may share one
   pf_memory; pf_memory_run delivers the replies that are due by the memory's
   manual clock.  */
#ifndef PF_H
#define PF_H

#include "ck.h"
#include "er.h"
#include "st.h"

#include <event2/event.h>

/* Longest value of the store in bytes.  */
#define PF_VALUE_MAX (1u << 20)
/* Versions of one engine that are read from the VM list; further ones are
   ignored.  */
#define PF_VERSIONS_MAX 16
/* As the previous revision of a write: write regardless of the revision.  */
#define PF_ANY_REVISION UINT64_MAX

typedef struct pf_platform pf_platform;
typedef struct pf_memory pf_memory;

typedef enum
{
  PF_HTTP = 0,
  PF_MEMORY
} pf_driver;

typedef enum
{
  PF_OK = 0,
  PF_CONFLICT,    /* the revision differs, or another has the lease */
  PF_NOT_FOUND,   /* the key does not exist */
  PF_UNAVAILABLE, /* not usable now; a write certainly had no effect */
  PF_UNKNOWN,     /* no reply; the write may have taken effect */
  PF_REFUSED      /* too large or malformed; a retry fails again */
} pf_result;

typedef enum
{
  PF_GET = 0,
  PF_PUT,
  PF_DELETE,
  PF_LIST,
  PF_WATCH,
  PF_LEASE_ACQUIRE,
  PF_LEASE_RENEW,
  PF_LEASE_RELEASE,
  PF_VM_LIST,
  PF_WEIGHTS,
  PF_CALLS
} pf_call;

typedef struct
{
  st_str key;
  uint64_t revision;
  bool deleted;
} pf_event;

typedef enum
{
  PF_VM = 0, /* a dotterelbend server */
  PF_ENGINE,
  PF_SERVICE
} pf_vm_kind;

typedef struct
{
  pf_vm_kind kind;
  bool leaving;
  st_str name;
  st_str address;      /* IP:PORT */
  st_str peer_address; /* of a PF_VM */
  st_str region;
  st_str data_center;
  st_str model;   /* of a PF_ENGINE */
  st_str service; /* of a PF_SERVICE */
  uint32_t slots;
  uint32_t version_count;
  st_str versions[PF_VERSIONS_MAX];
} pf_vm;

typedef struct
{
  pf_result result;
  uint64_t revision;      /* of the key, lease, list or watch */
  st_str value;           /* of PF_GET */
  const pf_event *events; /* of PF_WATCH and PF_LIST */
  uint32_t event_count;
  const pf_vm *vms; /* of PF_VM_LIST */
  uint32_t vm_count;
  uint32_t malformed_count; /* VM list entries that were skipped */
  uint32_t retry_after_ms;  /* 0 when the platform gives none */
  const char *message;      /* error text; "" when there is none */
} pf_reply;

typedef void (*pf_done) (const pf_reply *reply, void *user);

typedef struct
{
  struct event_base *base; /* may be NULL with PF_MEMORY */
  pf_driver driver;
  const char *store;    /* IP:PORT; NULL: the store is unavailable */
  const char *vm_list;  /* IP:PORT; NULL: the list is unavailable */
  const char *weights;  /* IP:PORT; NULL: the weights are unavailable */
  uint32_t timeout_ms;  /* of a call; 0 means 2000 */
  uint32_t watch_ms;    /* longest wait of a watch call; 0 means 20000 */
  uint32_t retry_ms;    /* first retry delay of a failed watch; it doubles up
                           to 16 times this value; 0 means 200 */
  uint32_t connections; /* to the store, at most; 0 means 4 */
  uint32_t queue_max;   /* queued calls per endpoint; 0 means 4096 */
  uint64_t seed;        /* of the jitter of retry delays */
  pf_memory *memory;    /* of PF_MEMORY */
} pf_desc;

/* Fault switches of the memory driver.  */
typedef struct
{
  bool outage;          /* calls end PF_UNAVAILABLE */
  bool unresponsive;    /* calls have no effect and time out */
  uint32_t lose_answer; /* the next N writes take effect, end PF_UNKNOWN */
  uint64_t delay_us;    /* time until a reply is due */
  uint64_t list_lag_us; /* age of the VM list that a call returns */
} pf_faults;

#ifdef __cplusplus
extern "C"
{
#endif

  pf_platform *pf_make (const pf_desc *desc, er_error *err);
  void pf_destroy (pf_platform *p);

  void pf_get (pf_platform *p, st_str key, pf_done done, void *user);
  void pf_put (pf_platform *p, st_str key, st_str value, uint64_t prev_rev,
               pf_done done, void *user);
  void pf_delete (pf_platform *p, st_str key, uint64_t prev_rev, pf_done done,
                  void *user);
  void pf_list (pf_platform *p, st_str prefix, pf_done done, void *user);
  uint64_t pf_watch (pf_platform *p, st_str prefix, uint64_t after,
                     pf_done done, void *user);
  void pf_unwatch (pf_platform *p, uint64_t watch);
  void pf_lease_acquire (pf_platform *p, st_str key, st_str holder,
                         uint32_t ttl_ms, pf_done done, void *user);
  void pf_lease_renew (pf_platform *p, st_str key, st_str holder,
                       uint64_t revision, uint32_t ttl_ms, pf_done done,
                       void *user);
  void pf_lease_release (pf_platform *p, st_str key, st_str holder,
                         uint64_t revision, pf_done done, void *user);
  void pf_vm_list (pf_platform *p, pf_done done, void *user);
  void pf_weights (pf_platform *p, st_str model, st_str version, pf_done done,
                   void *user);

  void pf_query_counts (const pf_platform *p, uint64_t counts[PF_CALLS]);
  const char *pf_call_name (pf_call call);
  const char *pf_result_name (pf_result result);

  pf_memory *pf_memory_make (void);
  void pf_memory_destroy (pf_memory *m);
  ck_clock *pf_memory_clock (pf_memory *m);
  pf_faults *pf_memory_faults (pf_memory *m);
  void pf_memory_lapse_lease (pf_memory *m, st_str key);
  void pf_memory_set_vms (pf_memory *m, const pf_vm *vms, uint32_t count);
  uint32_t pf_memory_run (pf_memory *m);

#ifdef __cplusplus
}
#endif

#endif
