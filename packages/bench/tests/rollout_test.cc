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

/* A random rollout: traffic, deadline, bursts, a slow engine and, for one in
   two seeds, a fault schedule (store outage, lost and late answers, lapsed
   leases, paused and restarted VMs, lost, late and duplicated evidence).  */
bn_rollout_desc
random_rollout (uint64_t seed)
{
  std::mt19937_64 rng (seed);
  std::uniform_real_distribution<double> u (0, 1);
  bn_rollout_desc d = {};
  d.seed = seed;
  d.faults = seed % 2 == 0;
  d.deadline_s = 120 + (uint32_t)(u (rng) * 180);
  d.tail_s = 20;
  d.requests_per_s = 60 + u (rng) * 120;
  if (u (rng) < 0.5)
    {
      d.burst_at_s = u (rng) * 60;
      d.burst_s = 5 + u (rng) * 20;
      d.burst_every_s = 40 + u (rng) * 60;
      d.burst_fail = u (rng) * 0.4;
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
      d.only_high = true;
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
  EXPECT_EQ (r.widened_wrongly, 0u) << "seed " << seed;
}

void
print_seed (uint64_t seed, uint64_t runs)
{
  printf ("seed %llu runs %llu (DB_SEED, DB_RUNS)\n", (unsigned long long)seed,
          (unsigned long long)runs);
}
}

/* Runs random good versions.  Fails when they are taken back (more often than
   alpha, 0.001, plus four standard deviations), one misses its deadline, or
   one gets more than 2% of a route before the test has decided.  */
void
check_good (uint64_t shard)
{
  uint64_t runs = env ("DB_RUNS", 2500);
  uint64_t seed = env ("DB_SEED", 1 + shard * runs);
  print_seed (seed, runs);
  uint64_t back = 0;
  uint64_t late = 0;
  for (uint64_t i = 0; i < runs; i++)
    {
      bn_rollout_desc d = random_rollout (seed + i);
      bn_rollout_result r = bn_run_one_rollout (&d);
      expect_rules (r, seed + i);
      if (r.phase == RO_ROLLED_BACK)
        {
          back++;
          printf ("taken back: seed %llu %s\n", (unsigned long long)(seed + i),
                  ro_reason_name (r.reason));
        }
      else if (r.phase != RO_DONE || r.done_s < 0 || r.done_s > d.deadline_s)
        {
          late++;
          printf ("late: seed %llu %s done %.1f of %u\n",
                  (unsigned long long)(seed + i), ro_phase_name (r.phase),
                  r.done_s, d.deadline_s);
        }
    }
  printf ("taken back %llu, late %llu of %llu\n", (unsigned long long)back,
          (unsigned long long)late, (unsigned long long)runs);
  double limit = 0.001 * (double)runs;
  EXPECT_LE ((double)back, limit + 4 * sqrt (limit));
  EXPECT_EQ (late, 0u);
}

/* Runs random bad versions.  Fails when one stays, is dispatched after its
   halt or gets more than 2% of a route before the test has decided; with
   CHECK_TIME when it gets requests for more than 2 s after its fault shows or
   after its halt.  */
void
check_bad (uint64_t shard, bool check_time)
{
  uint64_t runs = env ("DB_RUNS", 2500);
  uint64_t seed = env ("DB_SEED", 1 + shard * runs);
  print_seed (seed, runs);
  uint64_t found = 0;
  uint64_t shown = 0;
  uint64_t over = 0;
  uint64_t sparse = 0;
  uint64_t kept = 0;
  uint64_t slow = 0;
  double worst_share = 0;
  double worst_late = 0;
  for (uint64_t i = 0; i < runs; i++)
    {
      bn_rollout_desc d = random_fault (seed + i);
      bn_rollout_result r = bn_run_one_rollout (&d);
      expect_rules (r, seed + i);
      bool seen = r.shows_s >= 0;
      shown += seen;
      if (r.found_s < 0)
        {
          if (seen)
            {
              kept++;
              printf ("kept: seed %llu\n", (unsigned long long)(seed + i));
            }
          /* Else the fault began too late or met too few requests.  */
          continue;
        }
      found++;
      double late = r.last_faulty_s - std::max (r.shows_s, r.found_s);
      if (seen)
        late = std::max (late, r.last_faulty_s - r.shows_s);
      /* On a route with a faulty request every few seconds the deciding
         one may come later; then their number is bounded.  */
      if (late > 2 && r.faulty_after > 4)
        {
          slow++;
          printf ("slow: seed %llu %.1f s shows %.1f found %.1f faults %d\n",
                  (unsigned long long)(seed + i), late, r.shows_s, r.found_s,
                  d.faults);
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
                d.deadline_s, d.only_high, d.only_route, d.requests_per_s,
                r.found_s, (unsigned long long)r.faulty,
                (unsigned long long)r.requests);
      worst_share = std::max (worst_share, share);
    }
  printf ("found %llu shown %llu kept %llu slow %llu over 2%%: %llu, worst "
          "share %.2f%% worst time %.1f s, few requests: %llu\n",
          (unsigned long long)found, (unsigned long long)shown,
          (unsigned long long)kept, (unsigned long long)slow,
          (unsigned long long)over, worst_share, worst_late,
          (unsigned long long)sparse);
  EXPECT_GE (found + 0.1 * (double)runs, (double)runs);
  EXPECT_EQ (kept, 0u);
  EXPECT_TRUE (!check_time || slow == 0) << slow;
}

// 10,000 schedules of each kind, in four parts to keep each test short.
class RolloutParts : public ::testing::TestWithParam<int>
{
};

TEST_P (RolloutParts, GoodVersionsFinishInTime) { check_good (GetParam ()); }

// Guards against a bad version that stays.
TEST_P (RolloutParts, BadVersionsAreTakenBack)
{
  check_bad (GetParam (), false);
}

// Guards against a halt that is found or spread too late.
TEST_P (RolloutParts, LastDispatchWithinTwoSeconds)
{
  check_bad (GetParam (), true);
}

// Guards against a test that could not fail: without evidence no bad version
// is found.
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
