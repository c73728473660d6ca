#include "rollout_sim.h"

#include <cmath>
#include <cstdlib>
#include <gtest/gtest.h>
#include <random>

namespace
{
uint64_t
env (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? strtoull (text, nullptr, 10) : fallback;
}

/* A random rollout: traffic, deadline, bursts, a slow engine and, for even
   seeds, random faults (store outage, lost and late replies, lapsed leases,
   paused and restarted VMs, lost, late and duplicated evidence).  */
bn_rollout_desc
random_rollout (uint64_t seed)
{
  std::mt19937_64 rng (seed);
  std::uniform_real_distribution<double> u (0, 1);
  bn_rollout_desc d = {};
  d.seed = seed;
  d.inject_faults = seed % 2 == 0;
  d.deadline_s = 120 + (uint32_t)(u (rng) * 180);
  d.tail_s = 20;
  d.requests_per_s = 60 + u (rng) * 120;
  if (u (rng) < 0.5)
    {
      d.burst_at_s = u (rng) * 60;
      d.burst_s = 5 + u (rng) * 20;
      d.burst_every_s = 40 + u (rng) * 60;
      d.burst_fail_rate = u (rng) * 0.4;
    }
  if (u (rng) < 0.3)
    d.slow_engine_at_s = 1 + u (rng) * 100;
  return d;
}

bn_rollout_desc
random_fault (uint64_t seed)
{
  bn_rollout_desc d = random_rollout (seed);
  std::mt19937_64 rng (seed + 1000000007);
  std::uniform_real_distribution<double> u (0, 1);
  d.fault = u (rng) < 0.5 ? BN_FAULT_FAILING : BN_FAULT_SLOW;
  d.fail_rate = 0.3 + u (rng) * 0.7;
  d.slow_factor = 2.5 + u (rng) * 3;
  switch ((int)(u (rng) * 4))
    {
    case 0:
      break;
    case 1:
      d.fault_at_s = u (rng) * d.deadline_s;
      break;
    case 2:
      d.only_high_load = true;
      d.burst_at_s = 10 + u (rng) * 30;
      d.burst_s = 15 + u (rng) * 15;
      d.burst_every_s = 40 + u (rng) * 20;
      break;
    default:
      d.only_route = 1 + (int)(u (rng) * 4);
      break;
    }
  return d;
}

void
expect_rules (const bn_rollout_result &r, uint64_t seed)
{
  EXPECT_EQ (r.dispatched_while_halted, 0u) << "seed " << seed;
  EXPECT_EQ (r.over_bound, 0u) << "seed " << seed;
  EXPECT_EQ (r.invalid_writes, 0u) << "seed " << seed;
}

void
print_seed (uint64_t seed, uint64_t runs)
{
  printf ("seed %llu runs %llu (DB_SEED, DB_RUNS)\n", (unsigned long long)seed,
          (unsigned long long)runs);
}
}

/* Runs random good versions.  Fails when they are rolled back more often than
   alpha (0.001) plus four standard deviations, one misses its deadline, or one
   gets more than 2% of a route before the test has decided.  */
void
check_good (uint64_t shard)
{
  uint64_t runs = env ("DB_RUNS", 2500);
  uint64_t seed = env ("DB_SEED", 1 + shard * runs);
  print_seed (seed, runs);
  uint64_t rolled_back = 0;
  uint64_t late = 0;
  for (uint64_t i = 0; i < runs; i++)
    {
      bn_rollout_desc d = random_rollout (seed + i);
      bn_rollout_result r = bn_run_one_rollout (&d);
      expect_rules (r, seed + i);
      if (r.phase == RO_ROLLED_BACK)
        {
          rolled_back++;
          printf ("rolled back: seed %llu %s\n",
                  (unsigned long long)(seed + i), ro_reason_name (r.reason));
        }
      else if (r.phase != RO_DONE || r.done_s < 0 || r.done_s > d.deadline_s)
        {
          late++;
          printf ("late: seed %llu %s done %.1f of %u\n",
                  (unsigned long long)(seed + i), ro_phase_name (r.phase),
                  r.done_s, d.deadline_s);
        }
    }
  printf ("rolled back %llu, late %llu of %llu\n",
          (unsigned long long)rolled_back, (unsigned long long)late,
          (unsigned long long)runs);
  double limit = 0.001 * (double)runs;
  EXPECT_LE ((double)rolled_back, limit + 4 * sqrt (limit));
  EXPECT_EQ (late, 0u);
}

/* Runs random bad versions.  Fails when one is not found, gets requests after
   its halt, or gets more than 2% of a route before the test has decided; with
   CHECK_TIME also when it gets requests more than 2 s after its fault is
   detectable or after its halt.  */
void
check_bad (uint64_t shard, bool check_time)
{
  uint64_t runs = env ("DB_RUNS", 2500);
  uint64_t seed = env ("DB_SEED", 1 + shard * runs);
  print_seed (seed, runs);
  uint64_t found = 0;
  uint64_t detectable = 0;
  uint64_t over = 0;
  uint64_t sparse = 0;
  uint64_t missed = 0;
  uint64_t late_count = 0;
  double worst_share = 0;
  double worst_late = 0;
  for (uint64_t i = 0; i < runs; i++)
    {
      bn_rollout_desc d = random_fault (seed + i);
      bn_rollout_result r = bn_run_one_rollout (&d);
      expect_rules (r, seed + i);
      bool is_detectable = r.detectable_s >= 0;
      detectable += is_detectable;
      if (r.found_s < 0)
        {
          if (is_detectable)
            {
              missed++;
              printf ("missed: seed %llu\n", (unsigned long long)(seed + i));
            }
          /* Otherwise the fault began too late or affected too few requests.
           */
          continue;
        }
      found++;
      double late = r.last_faulty_s - std::max (r.detectable_s, r.found_s);
      if (is_detectable)
        late = std::max (late, r.last_faulty_s - r.detectable_s);
      /* On a route with a faulty request every few seconds the one that
         decides may be later than 2 s; then the number of faulty requests is
         limited.  */
      if (late > 2 && r.faulty_after_detectable > 4)
        {
          late_count++;
          printf (
              "late: seed %llu %.1f s detectable %.1f found %.1f faults %d\n",
              (unsigned long long)(seed + i), late, r.detectable_s, r.found_s,
              d.inject_faults);
        }
      sparse += late > 2;
      if (late <= 2)
        worst_late = std::max (worst_late, late);
      double share = 100.0 * (double)r.faulty / (double)(r.requests + 1);
      over += share > 2;
      if (share > 2 && getenv ("DB_VERBOSE") != nullptr)
        printf ("share %.2f%%: seed %llu fault %d at %.0f of %u high %d "
                "route %d rps %.0f found %.1f faulty %llu of %llu\n",
                share, (unsigned long long)(seed + i), d.fault, d.fault_at_s,
                d.deadline_s, d.only_high_load, d.only_route, d.requests_per_s,
                r.found_s, (unsigned long long)r.faulty,
                (unsigned long long)r.requests);
      worst_share = std::max (worst_share, share);
    }
  printf (
      "found %llu detectable %llu missed %llu late %llu over 2%%: %llu, worst "
      "share %.2f%% worst time %.1f s, few requests: %llu\n",
      (unsigned long long)found, (unsigned long long)detectable,
      (unsigned long long)missed, (unsigned long long)late_count,
      (unsigned long long)over, worst_share, worst_late,
      (unsigned long long)sparse);
  EXPECT_GE (found + 0.1 * (double)runs, (double)runs);
  EXPECT_EQ (missed, 0u);
  EXPECT_TRUE (!check_time || late_count == 0) << late_count;
}

// 10,000 random rollouts of each kind, in four parts to keep each test short.
class RolloutParts : public ::testing::TestWithParam<int>
{
};

TEST_P (RolloutParts, GoodVersionsFinishInTime) { check_good (GetParam ()); }

// Guards against a bad version that is not found.
TEST_P (RolloutParts, BadVersionsAreRolledBack)
{
  check_bad (GetParam (), false);
}

// Guards against a halt that is decided or distributed too late.
TEST_P (RolloutParts, LastDispatchWithinTwoSeconds)
{
  check_bad (GetParam (), true);
}

// Guards against checks that cannot fail: without evidence no bad version is
// found.
TEST (RolloutProperty, RulesTurnedOffAreFound)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      bn_rollout_desc d = random_fault (seed);
      d.disable_evidence = true;
      EXPECT_LT (bn_run_one_rollout (&d).found_s, 0) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P (Part, RolloutParts, ::testing::Range (0, 4));
