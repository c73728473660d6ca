#include "bn.h"
#include "rollout_sim.h"

#include <stddef.h>

const bn_scenario bn_scenarios[] = {
  { "steady", bn_run_placement },
  { "burst_3x", bn_run_placement },
  { "overload_1_3x", bn_run_placement },
  { "long_requests", bn_run_placement },
  { "stale_reports", bn_run_placement },
  { "silent_slow_engine", bn_run_placement },
  { "third_of_engines_lost", bn_run_placement },
  { "link_cut", bn_run_placement },
  { "callers_back_at_once", bn_run_placement },
  { "prefix_heavy", bn_run_placement },
  { "rollout_bad_at_once", bn_run_rollout },
  { "rollout_slow_at_once", bn_run_rollout },
  { "rollout_bad_later", bn_run_rollout },
  { "rollout_bad_under_load", bn_run_rollout },
  { "rollout_bad_one_route", bn_run_rollout },
  { "rollout_good", bn_run_rollout },
  { "rollout_good_burst", bn_run_rollout },
  { "rollout_good_slow_engine", bn_run_rollout },
  { NULL, NULL },
};
