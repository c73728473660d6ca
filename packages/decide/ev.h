/* ev.h -- statistical comparison of a new version with the old one.

   One tracker holds the evidence of one service on one VM.  It has two sets
   of counts: the local counts of the requests that this VM finished, and the
   merged counts, to which the service's controller adds the EVIDENCE messages
   of all VMs (its own included).  Each VM sends to both candidates for the
   lease, so that a paused or replaced controller delays no verdict: a
   candidate that finds the version bad sends HALT without the lease.

     ev_tracker *t = ev_make_tracker (&(ev_desc){ .vms = 9 });
     ev_begin_rollout (t, version);            // each new version
     ev_begin_step (t, step, now_us);
     ev_record (t, &(ev_sample){ .route = route, .step = step, ... }, now_us);
     ev_tick (t, now_us);                      // every 100 to 500 ms
     if (ev_query_local (t).verdict == EV_BAD)
       halt ();                                // local rule, needs no peer
     while (ev_take_delta (t, sender, candidate, &delta)) // every 500 ms
       send (&delta);
     ev_merge (t, &delta, now_us);             // on the candidate

   Test for a bad version.  Requests are put into strata: one route, one load
   level, at most 8 s.  Within a stratum the traffic share of the new version
   is constant and the version of a request is chosen independently of its
   result.  Given the number of failures of a stratum, the number that fell on
   the new version is hypergeometric when both versions are alike, whatever
   the cause of the failures.  The test multiplies the likelihood ratios of
   odds ratios 3, 12 and 100 against 1 and mixes them over the odds ratios
   and over the stratum at which the fault began.  The mixture is a
   non-negative martingale under "alike", so it exceeds 1/a with a
   probability of at most a at any time.  ALPHA is divided among the merged
   counts (half), the local counts of all VMs (half), routes, load levels and
   kinds, so it limits the false alarms of a whole rollout.  A burst or an
   engine problem changes the number of failures but not their split.  The
   same test runs on "slower than the old version's 90th percentile" for the
   first token and for the time between tokens.

   Test for a good version (non-inferiority test).  For each route, load level
   and kind a sequential probability ratio test of "the old version's rate"
   against "that rate plus a margin" (5 points for failures, 10 points for
   slowness) passes when the ratio falls below BETA.  It restarts with each
   step.  */
#ifndef EV_H
#define EV_H

#include "al.h"
#include "st.h"

#include <stdbool.h>
#include <stdint.h>

#define EV_MAX_ROUTES 64
/* Receivers to which a VM sends deltas: the candidates for the lease.  */
#define EV_STREAMS 2

typedef enum
{
  EV_LOAD_LOW = 0,
  EV_LOAD_HIGH,
  EV_LOADS
} ev_load;

typedef enum
{
  EV_FAILURE = 0,
  EV_SLOW_FIRST_TOKEN,
  EV_SLOW_INTER_TOKEN,
  EV_KINDS
} ev_kind;

typedef enum
{
  EV_UNDECIDED = 0,
  EV_GOOD,
  EV_BAD
} ev_verdict;

/* Counts of one version.  hits[k] of seen[k] requests failed or were slow;
   sum_us[k] is the sum of the measured times in microseconds (0 for
   EV_FAILURE).  */
typedef struct
{
  uint32_t seen[EV_KINDS];
  uint32_t hits[EV_KINDS];
  uint64_t sum_us[EV_KINDS];
} ev_counts;

typedef struct
{
  ev_kind kind;
  ev_load load;
  st_name route;
  ev_counts old_counts; /* of the current step */
  ev_counts new_counts;
  double log_evidence; /* natural log of the mixture */
} ev_reason;

typedef struct
{
  ev_verdict verdict;
  ev_reason reason; /* set when the verdict is EV_BAD */
} ev_result;

typedef struct
{
  /* Probability of a false alarm in each rollout; 0 means 0.001.  */
  double alpha;
  /* Probability that a test passes a bad version; 0 means 0.01.  */
  double beta;
  uint32_t vms;         /* VMs that apply the local rule; 0 means 9 */
  uint32_t max_routes;  /* 0 means 16, at most EV_MAX_ROUTES */
  uint32_t max_senders; /* 0 means 64 */
  al_allocator allocator;
} ev_desc;

typedef struct
{
  st_str route;
  ev_load load;     /* load level at dispatch */
  uint32_t step;    /* rollout step at dispatch (ro_choice.step) */
  bool new_version; /* else the old version */
  /* The engine has both versions loaded.  Samples of other engines are
     ignored: a slow engine with one version only would look like a slow
     version.  */
  bool paired;
  bool failed;
  uint64_t first_token_us; /* 0 when not measured */
  uint64_t inter_token_us; /* mean of the request; 0 when not measured */
} ev_sample;

typedef struct
{
  st_name route;
  ev_load load;
  ev_counts old_counts;
  ev_counts new_counts;
} ev_row;

/* Body of EVIDENCE.  SENDER is a hash of the sender's incarnation.  TERM
   identifies the receiver's merged counts: a hash of the receiver's
   incarnation, or its fencing number when only the lease holder receives.  */
typedef struct
{
  uint64_t sender;
  uint64_t term;
  uint64_t seq; /* from 1, for each (sender, term) */
  uint32_t step;
  uint32_t row_count;
  ev_row rows[EV_MAX_ROUTES * EV_LOADS];
} ev_delta;

typedef enum
{
  EV_MERGED = 0,
  EV_DUPLICATE,    /* seq is not above the sender's last one: ignored */
  EV_OTHER_TERM,   /* meant for another controller: ignored */
  EV_OTHER_STEP,   /* neither of this step nor of the one before: ignored, but
                      its seq counts as received */
  EV_MALFORMED,    /* counts contradict each other: ignored */
  EV_SENDERS_FULL, /* table of senders is full: ignored */
  EV_ROUTES_FULL   /* some rows did not fit into the table of routes */
} ev_merge_result;

/* Progress of the non-inferiority test in the merged counts at one load level.
   A route test is a route with traffic at that level in this step.  */
typedef struct
{
  uint32_t route_tests;
  uint32_t passed;
  uint32_t undecided;    /* neither passed nor sparse */
  uint32_t inconclusive; /* undecided with EV_AMPLE_SAMPLES: the version lies
                            between good and bad */
  uint32_t sparse;       /* too few requests to decide before the given time */
  bool sparse_passed;    /* the test passes on the sum of the sparse ones */
} ev_progress;

/* A good version passes a route test long before this many requests.  */
#define EV_AMPLE_SAMPLES 1500

typedef struct ev_tracker ev_tracker;

#ifdef __cplusplus
extern "C"
{
#endif

  ev_tracker *ev_make_tracker (const ev_desc *desc);
  void ev_destroy_tracker (ev_tracker *t);
  void ev_begin_rollout (ev_tracker *t, st_str version);
  void ev_begin_step (ev_tracker *t, uint32_t step, uint64_t now_us);
  void ev_begin_term (ev_tracker *t, uint64_t term, uint64_t now_us);
  void ev_set_vms (ev_tracker *t, uint32_t vms);
  bool ev_record (ev_tracker *t, const ev_sample *sample, uint64_t now_us);
  void ev_tick (ev_tracker *t, uint64_t now_us);
  bool ev_take_delta (ev_tracker *t, uint64_t sender, uint64_t term,
                      ev_delta *out);
  ev_merge_result ev_merge (ev_tracker *t, const ev_delta *delta,
                            uint64_t now_us);
  ev_result ev_query_local (const ev_tracker *t);
  ev_result ev_query_merged (const ev_tracker *t);
  ev_progress ev_query_progress (const ev_tracker *t, ev_load load,
                                 uint64_t now_us, uint64_t until_us);
  const char *ev_kind_name (ev_kind kind);
  const char *ev_load_name (ev_load load);
  double ev_log_ratio (uint32_t new_seen, uint32_t new_hits, uint32_t old_seen,
                       uint32_t old_hits, double odds_ratio);

#ifdef __cplusplus
}
#endif

#endif
