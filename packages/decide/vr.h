/* vr.h -- rollout of a service's new version whose upstreams run beside the
   old ones, with a deadline of seconds.

   Used by the gateway.  A rollout of minutes, whose share rises in steps, is
   in ro.h.

   Until shortly before the deadline the new version gets a small share of the
   requests, a larger one where the evidence is late in coming.  Each VM counts
   the failures of its own requests to both versions and reports the counts to
   the others; one VM alone sees a handful.  A response that takes much longer
   than the old version's usually do on its route, until its first event or
   between events, counts as failed.  A VM that finds the new version bad by
   the sum of all stops using it at once and writes the state "reverted".  Near
   the deadline the controller, the first active VM, writes "completed" when
   the evidence suffices and the new upstreams can carry the traffic, else
   "reverted".  Writes are conditional on the revision of the last state, so a
   VM that was paused overwrites nothing, and a state that is final is not
   changed.

   The full share comes last, so that a version whose fault shows only then has
   run few requests before the deadline.

     vr_set_order (&rollout, target, duration_us, revision, now_us);
     vr_set_status (&rollout, target, VR_RUNNING, revision);
     if (vr_choose (&rollout, random) == VR_TARGET) use the new version
     vr_record (&rollout, true, &sample);
     vr_set_peer_counts (&rollout, &target, &other);  // sums of the others
     vr_state state = vr_tick (&rollout, &inputs);
     if (state != VR_NONE) write it  */
#ifndef VR_H
#define VR_H

#include "st.h"

typedef enum
{
  VR_NONE = 0, /* no rollout */
  VR_RUNNING,
  VR_COMPLETED,
  VR_REVERTED
} vr_state;

/* Versions that a request may be sent to.  */
typedef enum
{
  VR_ANY = 0,
  VR_TARGET, /* the new version; others when it has no room */
  VR_OTHERS
} vr_choice;

typedef struct
{
  uint32_t seen;
  uint32_t failed; /* or much slower than the old version usually is */
} vr_counts;

/* An attempt of a request that has ended.  */
typedef struct
{
  uint64_t route; /* hash of its name */
  bool failed;
  bool abandoned;    /* by this side; says something only when it was slow */
  uint64_t first_us; /* until its first event, or the whole response, or the
                        end without either */
  uint64_t pace_us;  /* mean time between its events; 0: not known */
} vr_sample;

/* Routes whose usual times are kept; those with the same index share them.  */
#define VR_ROUTES_MAX 256

/* Mean times of the old version on a route.  */
typedef struct
{
  uint32_t seen;
  uint32_t paces_seen;
  double first_us;
  double pace_us; /* 0: not known */
} vr_route;

typedef struct
{
  st_name target; /* the new version; empty: no rollout */
  uint64_t order_revision;
  uint64_t start_us;
  uint64_t end_us; /* deadline */
  vr_state state;
  uint64_t status_revision; /* 0: none is stored */
  st_name status_target;
  vr_state status;         /* as it is stored */
  bool found_bad;          /* by this VM */
  bool few_seen;           /* too few requests to the new version so far */
  vr_counts target_counts; /* of this VM */
  vr_counts other_counts;
  vr_counts peer_target_counts; /* of the other VMs */
  vr_counts peer_other_counts;
  vr_route routes[VR_ROUTES_MAX];
  uint64_t written_us; /* last write; 0: none */
} vr_rollout;

typedef struct
{
  bool controller;       /* this VM writes the progress */
  uint32_t target_slots; /* of the new version's upstreams */
  uint32_t other_slots;
  uint64_t now_us;
} vr_inputs;

#ifdef __cplusplus
extern "C"
{
#endif

  void vr_set_order (vr_rollout *r, st_str target, uint64_t duration_us,
                     uint64_t revision, uint64_t now_us);
  void vr_set_status (vr_rollout *r, st_str target, vr_state state,
                      uint64_t revision);
  vr_choice vr_choose (const vr_rollout *r, uint32_t random);
  bool vr_allows (const vr_rollout *r, vr_choice choice, st_str version);
  void vr_record (vr_rollout *r, bool target, const vr_sample *sample);
  void vr_set_peer_counts (vr_rollout *r, const vr_counts *target,
                           const vr_counts *other);
  vr_state vr_tick (vr_rollout *r, const vr_inputs *in);

#ifdef __cplusplus
}
#endif

#endif
