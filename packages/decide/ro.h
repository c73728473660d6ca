/* ro.h -- rollouts: which version a request gets, and who changes the traffic
   share of the new version.

   The stored state of a service's rollout (`rollouts/<service>`) is an
   ro_state.  States are ordered by (fence, step); step is raised by every
   write, so a later write always has the higher pair.

   Follower, on every VM.  One ro_follower holds all services:

     ro_follower *f = ro_make_follower (&(ro_follower_desc){ 0 });
     ro_apply_state (f, &state);             // from the store or a peer
     ro_halt (f, service, version);          // HALT, peers on joining, local
     ro_choice c = ro_choose (f, service, route, load, wall_ms);
     // dispatch to c.version, record evidence with c.step and c.new_version

   A halted version is never chosen again by this process; a state that is
   rolled back halts its version.  To try again, give the build a new name.

   Controller, one per service and candidate VM.  It returns one action at a
   time; the caller executes it and reports the result:

     ro_controller *c = ro_make_controller (&(ro_controller_desc){ ... });
     ro_action a = ro_tick (c, &inputs);
     switch (a.kind) ...
     ro_on_write (c, RO_WRITE_RESULT_LOST, 0); // next action: RO_READ_STATE

   Rules of the controller:
   - It acts only while it holds the lease.  Its first write after it got the
     lease is a claim: the same state with its own fence.  A write of an
     earlier lease holder that is still in flight then fails, because the
     revision has changed.  It never overwrites a higher fence.
   - A halt is broadcast without lease and store.
   - A rung is one value of the traffic share.  Each rung lasts for its
     fraction of the time to the deadline (40, 20, 14, 10, 8, 8% for 1, 2, 5,
     10, 25, 50%), which keeps the exposure as low as the deadline allows; the
     share then rises when the evidence of this rung passes on all routes with
     traffic.
   - The latest start of a rise is the latest time from which the remaining
     rungs, at their shortest time each, still reach 100% by the deadline.
   - The high load level has a traffic share of its own.  It stays at no more
     than 2% until the test has passed at high load; a level that never occurs
     does not delay the rollout beyond the latest start.  If high load comes
     later, even after 100%, requests that arrive then get the old version,
     except for the 2%, until the test passes at that level.
   - A route with too little traffic to decide before the latest start is
     tested together with the other such routes.  At the latest start they
     no longer delay the share; the test for a bad version goes on.
   - A version with ample evidence that is neither good nor bad by the latest
     start, or whose weights are not loaded by then, is rolled back: its
     deadline cannot be met.
   - At 100% and during the watch period after it, control_permille (5%) of
     the requests stay on the old version, so that a version that turns bad
     later can still be distinguished from a burst.  */
#ifndef RO_H
#define RO_H

#include "al.h"
#include "ev.h"
#include "st.h"

#include <stdbool.h>
#include <stdint.h>

#define RO_RUNGS 7

typedef enum
{
  RO_NONE = 0, /* no rollout: FROM serves all requests */
  RO_LOADING,
  RO_RUNNING,
  RO_DONE,
  RO_ROLLED_BACK
} ro_phase;

typedef enum
{
  RO_REASON_NONE = 0,
  RO_REASON_FAILURE,
  RO_REASON_SLOW_FIRST_TOKEN,
  RO_REASON_SLOW_INTER_TOKEN,
  RO_REASON_DEADLINE, /* undecided or not loaded by the latest start */
  RO_REASON_HALTED,   /* halted by a peer, without evidence here */
  RO_REASON_OPERATOR
} ro_reason_kind;

typedef struct
{
  ro_reason_kind kind;
  ev_load load;
  st_name route; /* empty for reasons that concern no route */
} ro_reason;

typedef struct
{
  st_name service;
  st_name from;
  st_name to;
  uint64_t fence;
  uint32_t step;       /* raised by every write */
  uint32_t share_step; /* step of the last change of a traffic share */
  uint16_t share_permille;
  uint16_t share_high_permille; /* for requests that arrive at high load */
  ro_phase phase;
  ro_reason reason;
  uint64_t deadline_ms;    /* wall clock */
  uint64_t watch_until_ms; /* wall clock; 0 before 100% */
} ro_state;

typedef struct
{
  uint32_t max_services;     /* 0 means 32 */
  uint32_t max_routes;       /* for each service; 0 means 32 */
  uint32_t max_halts;        /* for each service; 0 means 16 */
  uint16_t control_permille; /* at 100%; 0 means 50 */
  al_allocator allocator;
} ro_follower_desc;

typedef struct
{
  st_name version; /* empty: no version may be used, respond not_run */
  bool new_version;
  uint32_t step; /* for ev_sample.step */
} ro_choice;

typedef enum
{
  RO_APPLIED = 0,
  RO_OLDER, /* not newer than the stored state: ignored */
  RO_FULL   /* table of services is full: ignored */
} ro_apply_result;

typedef struct ro_follower ro_follower;
typedef struct ro_controller ro_controller;

typedef struct
{
  st_name service;
  uint64_t min_rung_us; /* shortest time on a rung; 0 means 10 s */
  uint64_t reserve_us;  /* time before the deadline reserved for changes of the
                           lease holder, about 7 s each (new lease and claim);
                           0 means 30 s */
  uint64_t watch_ms;    /* watch period after 100%; 0 means 10 min */
  uint64_t write_margin_us; /* remaining lease time that a write needs; 0 means
                               1 s */
  uint64_t renew_before_us; /* renewal before the lease ends; 0 means 3 s */
  al_allocator allocator;
} ro_controller_desc;

typedef struct
{
  uint32_t engine; /* the caller's number of the engine */
  st_name version;
} ro_load_order;

/* Inputs of the controller at one tick.  */
typedef struct
{
  uint64_t now_us;
  uint64_t wall_ms;
  bool candidate; /* this VM may acquire the lease */
  bool store_ok;  /* the store is available */
  bool lease_held;
  uint64_t fence; /* revision of the lease held */
  uint64_t lease_until_us;
  const ev_tracker *evidence; /* may be NULL */
  bool halted;                /* TO is halted on this VM (ro_query_halted) */
  ro_reason halt_reason;
  uint16_t loaded_permille;  /* fraction of the pool's slots with TO loaded */
  const ro_load_order *load; /* next order of wl_, or NULL */
} ro_inputs;

typedef enum
{
  RO_NOTHING = 0,
  RO_ACQUIRE_LEASE,
  RO_RENEW_LEASE,
  RO_READ_STATE,
  RO_WRITE_STATE,   /* compare-and-swap: expected_revision, state */
  RO_ORDER_LOAD,    /* load, fence */
  RO_BROADCAST_HALT /* service, version and reason in state */
} ro_action_kind;

typedef struct
{
  ro_action_kind kind;
  uint64_t expected_revision;
  uint64_t fence;
  ro_state state;
  ro_load_order load;
} ro_action;

typedef enum
{
  RO_WRITE_RESULT_OK = 0,
  RO_WRITE_RESULT_CONFLICT,
  RO_WRITE_RESULT_LOST
} ro_write_result;

#ifdef __cplusplus
extern "C"
{
#endif

  ro_follower *ro_make_follower (const ro_follower_desc *desc);
  void ro_destroy_follower (ro_follower *f);
  void ro_set_position (ro_follower *f, uint32_t vm_index, uint32_t vm_count);
  ro_apply_result ro_apply_state (ro_follower *f, const ro_state *state);
  bool ro_halt (ro_follower *f, st_str service, st_str version);
  bool ro_query_halted (const ro_follower *f, st_str service, st_str version);
  uint32_t ro_query_halts (const ro_follower *f, st_name *services,
                           st_name *versions, uint32_t max);
  bool ro_query_state (const ro_follower *f, st_str service, ro_state *out);
  ro_choice ro_choose (ro_follower *f, st_str service, st_str route,
                       ev_load load, uint64_t wall_ms);
  int ro_compare (const ro_state *a, const ro_state *b);

  ro_controller *ro_make_controller (const ro_controller_desc *desc);
  void ro_destroy_controller (ro_controller *c);
  void ro_on_state (ro_controller *c, const ro_state *state,
                    uint64_t revision);
  void ro_on_read_failed (ro_controller *c);
  bool ro_query_record (const ro_controller *c, ro_state *out,
                        uint64_t *revision);
  void ro_on_write (ro_controller *c, ro_write_result result,
                    uint64_t revision);
  ro_action ro_tick (ro_controller *c, const ro_inputs *in);
  ro_state ro_start_state (st_str service, st_str from, st_str to,
                           uint64_t deadline_ms, const ro_state *previous);
  const char *ro_phase_name (ro_phase phase);
  const char *ro_reason_name (ro_reason_kind kind);

#ifdef __cplusplus
}
#endif

#endif
