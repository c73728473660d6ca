/* vr.h -- rollout of a service's new version whose upstreams run beside the
   old ones, with a deadline of seconds.

   Used by the gateway.  A rollout of minutes, whose share rises in steps, is
   in ro.h.

   Until shortly before the deadline the new version gets a small share of the
   requests, a larger one for routes of which little has been seen.  A request
   draws its version once, so that requests that wait do not raise the share.
   Each VM also bounds what it sends to the new version by the requests that it
   has sent to the service, so that the bound on the exposure holds for the sum
   of all VMs without communication.

   In the load test, the last quarter of the time before the decision, one
   upstream of the new version is kept under the load at which faults of busy
   upstreams show: the small share alone never loads one.  Where there are few
   requests it gets all of them.

   Each VM counts the failures of its own requests to both versions, in all, by
   route and in the load test, and reports the counts to the others; one VM
   alone sees a handful, and a route that fails is hidden by others that do
   not.  A response that takes much longer than the old version's usually do on
   its route, until its first event or between events, counts as failed; where
   the upstream was much busier than the old ones usually are, only the load
   test counts the request, and only errors, as times depend on the load.

   A VM that finds the new version bad by the sum of all VMs, in all, on a
   route or in the load test, stops using it at once and writes the state
   "reverted".  Near the deadline the controller, the first active VM, writes
   "completed" when the evidence suffices and the new upstreams can carry the
   traffic, else "reverted".  Writes are conditional on the revision of the
   last state, so a VM that was paused overwrites nothing, and a state that is
   final is not changed.

   The full share comes last, so that a version whose fault shows only then has
   run few requests before the deadline.

     vr_set_order (&rollout, &order, now_us);
     vr_set_status (&rollout, target, VR_RUNNING, revision);
     if (vr_in_load_test (&rollout, now_us)) use the upstream under test
     if (vr_choose (&rollout, route, draw) == VR_TARGET) use the new version
     vr_count_sent (&rollout, true);
     vr_record (&rollout, true, &sample);
     count = vr_query_rows (&rollout, rows, VR_ROWS_MAX); // for the other VMs
     vr_set_peer_rows (&rollout, rows, count);            // of the other VMs
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

/* Counts of one route, of the load test, or of all requests.  */
typedef struct
{
  uint64_t key; /* VR_ALL, VR_LOAD_TEST or the hash of the route's name */
  vr_counts target;
  vr_counts other;
} vr_row;

#define VR_ALL 0
/* Its counts of the old version are those of all requests, without slow
   responses.  */
#define VR_LOAD_TEST 1
/* The load test and the routes that are counted, the first ones that are seen;
   requests of further routes count in VR_ALL only.  */
#define VR_STRATA_MAX 16
#define VR_ROWS_MAX (1 + VR_STRATA_MAX)

/* Own counts and those of the other VMs, for a key other than VR_ALL.  */
typedef struct
{
  vr_row own;
  vr_row peers;
} vr_stratum;

/* A draw that never gives the new version while the rollout runs.  */
#define VR_DRAW_OTHERS UINT32_MAX

/* An attempt of a request that has ended.  */
typedef struct
{
  uint64_t route;   /* hash of its name; 0: unknown */
  bool load_test;   /* it was sent in the load test */
  uint32_t running; /* other requests at its upstream when it was sent */
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
  st_str target; /* the new version */
  uint64_t duration_us;
  uint64_t revision;
  /* This VM sends at most EXPOSURE_SHARE (0: 0.1) of its requests to the
     service to the new version, and EXPOSURE_SLACK more.  */
  double exposure_share;
  double exposure_slack;
} vr_order;

typedef struct
{
  st_name target; /* the new version; empty: no rollout */
  uint64_t order_revision;
  uint64_t start_us;
  uint64_t end_us; /* deadline */
  double exposure_share;
  double exposure_slack;
  uint64_t target_sent; /* by this VM */
  uint64_t other_sent;
  double other_running;     /* mean of vr_sample.running, of the old version */
  uint64_t bad_key;         /* the key of the row that showed that it is bad */
  uint64_t written_us;      /* last write; 0: none */
  uint64_t status_revision; /* 0: none is stored */
  st_name status_target;
  vr_state status; /* as it is stored */
  vr_state state;
  bool found_bad;          /* by this VM */
  bool few_phase;          /* few requests by now call for a larger share */
  vr_counts target_counts; /* of this VM */
  vr_counts other_counts;
  vr_counts peer_target_counts; /* of the other VMs */
  vr_counts peer_other_counts;
  uint32_t stratum_count;
  vr_stratum strata[VR_STRATA_MAX]; /* the first is the load test */
  vr_route routes[VR_ROUTES_MAX];
} vr_rollout;

typedef struct
{
  bool controller;       /* this VM writes the progress */
  bool deputy;           /* it does so where the controller has not in time */
  uint32_t target_slots; /* of the new version's upstreams */
  uint32_t other_slots;
  uint64_t now_us;
} vr_inputs;

#ifdef __cplusplus
extern "C"
{
#endif

  void vr_set_order (vr_rollout *r, const vr_order *order, uint64_t now_us);
  void vr_set_status (vr_rollout *r, st_str target, vr_state state,
                      uint64_t revision);
  void vr_renew_order (vr_rollout *r, uint64_t revision);
  void vr_set_age (vr_rollout *r, uint64_t age_us, uint64_t now_us);
  vr_choice vr_choose (const vr_rollout *r, uint64_t route, uint32_t draw);
  bool vr_in_load_test (const vr_rollout *r, uint64_t now_us);
  bool vr_allows (const vr_rollout *r, vr_choice choice, st_str version);
  void vr_count_sent (vr_rollout *r, bool target);
  void vr_record (vr_rollout *r, bool target, const vr_sample *sample);
  size_t vr_query_rows (const vr_rollout *r, vr_row *rows, size_t max);
  void vr_set_peer_rows (vr_rollout *r, const vr_row *rows, size_t count);
  vr_state vr_tick (vr_rollout *r, const vr_inputs *in);

#ifdef __cplusplus
}
#endif

#endif
