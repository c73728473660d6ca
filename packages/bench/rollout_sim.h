/* rollout_sim.h -- simulation of one rollout on 9 VMs.

   Used by the rollout scenarios and tests.  Runs the follower, controller and
   evidence modules of 9 VMs against a simulated store and simulated engines,
   in steps of 100 ms, and measures what the callers of the new version see.
   The result depends on the seed only.  The baselines use the same requests
   and engines:

   - canary: 10% from the start; every 10 s the failure rate of the new
     version over all requests is compared with a threshold of 5%; 100% at
     half of the time to the deadline, no test after that.
   - ramp: 10% more at each tenth of the time to the deadline, no test.

     bn_rollout_desc d = { .seed = 1, .fault = BN_FAULT_FAILING };
     bn_rollout_result r = bn_run_one_rollout (&d);  */
#ifndef ROLLOUT_SIM_H
#define ROLLOUT_SIM_H

#include "bn.h"
#include "ro.h"

#include <stdbool.h>
#include <stdint.h>

#define BN_ROLLOUT_ROUTES 4

typedef enum
{
  BN_POLICY_DOTTERELBEND = 0,
  BN_POLICY_CANARY,
  BN_POLICY_RAMP,
  BN_POLICIES
} bn_policy;

typedef enum
{
  BN_FAULT_NONE = 0,
  BN_FAULT_FAILING,
  BN_FAULT_SLOW
} bn_fault;

typedef struct
{
  uint64_t seed;
  bn_policy policy;
  uint32_t deadline_s;   /* from the start; 0 means 300 */
  uint32_t tail_s;       /* simulated time after the deadline; 0 means 60 */
  double requests_per_s; /* all routes; 0 means 120 */
  bn_fault fault;
  double fail_rate;    /* of a failing version; 0 means 0.5 */
  double slow_factor;  /* of a slow version; 0 means 2.5 */
  double fault_at_s;   /* start of the fault */
  bool only_high_load; /* fault at high load only */
  int only_route;      /* 0: all, else route number from 1 */
  double burst_at_s;   /* high load; no burst when burst_s is 0 */
  double burst_s;
  double burst_every_s;    /* repeats; 0: once */
  double burst_fail_rate;  /* failure rate of both versions in a burst */
  double slow_engine_at_s; /* one of 9 engines; 0: none */
  /* Store outages, lost and late replies, lapsed leases, paused and restarted
     VMs, duplicated, late and lost evidence, at random times.  */
  bool inject_faults;
  bool disable_evidence; /* for a test that then finds no fault */
} bn_rollout_desc;

typedef struct
{
  ro_phase phase; /* stored at the end */
  ro_reason_kind reason;
  double done_s;       /* -1: never at 100% */
  double found_s;      /* first halt on a VM; -1: never */
  double detectable_s; /* all finished requests together show the fault, at an
                          error rate of 1e-6; -1: never */
  double first_faulty_s; /* first dispatch to the faulty version; -1: none */
  double last_faulty_s;  /* last dispatch to the version after the fault */
  /* Dispatches to the faulty version after detectable_s.  */
  uint64_t faulty_after_detectable;
  uint64_t requests; /* of the faulty routes until found */
  uint64_t faulty;   /* of these, sent to the faulty version */
  /* Violated rules; all 0 in a correct run.  */
  uint64_t dispatched_while_halted;
  uint64_t over_bound;     /* dispatches beyond 2% (and 2) before a decision */
  uint64_t invalid_writes; /* after a rollback, or with an old fence */
} bn_rollout_result;

#ifdef __cplusplus
extern "C"
{
#endif

  bn_rollout_result bn_run_one_rollout (const bn_rollout_desc *desc);
  void bn_run_rollout (bn_report *report, const char *name, uint64_t seed);

#ifdef __cplusplus
}
#endif

#endif
