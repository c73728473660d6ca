#include "ev.h"

#include <cmath>
#include <cstdlib>
#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace
{
constexpr uint64_t kMs = 1000;

struct Tracker
{
  ev_tracker *t;
  explicit Tracker (uint32_t vms = 1)
  {
    ev_desc desc = {};
    desc.vms = vms;
    t = ev_make_tracker (&desc);
  }
  ~Tracker () { ev_destroy_tracker (t); }
};

ev_sample
sample (const char *route, bool is_new, bool failed, uint64_t first_us,
        ev_load load = EV_LOAD_LOW, uint32_t step = 1)
{
  ev_sample s = {};
  s.route = st_from_cstr (route);
  s.load = load;
  s.step = step;
  s.new_version = is_new;
  s.paired = true;
  s.failed = failed;
  s.first_token_us = first_us;
  s.inter_token_us = first_us / 10;
  return s;
}

uint64_t
env (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? strtoull (text, nullptr, 10) : fallback;
}
}

// Guards against a wrong likelihood ratio: its mean under equal rates must be
// 1 in every stratum, which is what limits the false alarms.
TEST (Ev, RatioHasMeanOneUnderEqualRates)
{
  for (uint32_t n1 : { 1u, 3u, 20u })
    for (uint32_t n0 : { 1u, 7u, 99u })
      for (uint32_t hits = 0; hits <= n1 + n0; hits += 3)
        for (double odds : { 3.0, 100.0 })
          {
            double mean = 0;
            uint32_t lo = hits > n0 ? hits - n0 : 0;
            uint32_t hi = std::min (hits, n1);
            for (uint32_t x = lo; x <= hi; x++)
              {
                auto choose = [] (double n, double k) {
                  return lgamma (n + 1) - lgamma (k + 1) - lgamma (n - k + 1);
                };
                double p = exp (choose (n1, x) + choose (n0, hits - x)
                                - choose (n1 + n0, hits));
                mean += p * exp (ev_log_ratio (n1, x, n0, hits - x, odds));
              }
            EXPECT_NEAR (mean, 1.0, 1e-9)
                << n1 << " " << n0 << " " << hits << " " << odds;
          }
}

// Guards against losing the evidence of open strata when the share is raised:
// the next step has few requests of the old version to compare with, so a
// fault that shows just then would go undetected.
TEST (Ev, StepChangeKeepsEvidenceOfOpenStrata)
{
  Tracker tr (9);
  ev_begin_step (tr.t, 1, 1);
  ev_begin_term (tr.t, 7, 1);
  for (int i = 0; i < 60; i++)
    {
      ev_sample s = sample ("answers", i % 2 == 0, i % 2 == 0, 100000);
      ASSERT_TRUE (ev_record (tr.t, &s, 1000));
    }
  ev_delta delta;
  ASSERT_TRUE (ev_take_delta (tr.t, 3, 7, &delta));
  ASSERT_EQ (ev_merge (tr.t, &delta, 1000), EV_MERGED);
  EXPECT_EQ (ev_query_local (tr.t).verdict, EV_UNDECIDED);
  ev_begin_step (tr.t, 2, 2000);
  EXPECT_EQ (ev_query_local (tr.t).verdict, EV_BAD);
  EXPECT_EQ (ev_query_merged (tr.t).verdict, EV_BAD);
}

// Guards against losing counts that a VM had not sent yet when a step began.
TEST (Ev, StepChangeKeepsUnsentEvidence)
{
  Tracker from (9);
  Tracker to (9);
  ev_begin_step (from.t, 1, 1);
  ev_begin_step (to.t, 1, 1);
  ev_begin_term (to.t, 7, 1);
  ev_delta delta;
  EXPECT_FALSE (ev_take_delta (from.t, 3, 7, &delta));
  for (int i = 0; i < 60; i++)
    {
      ev_sample s = sample ("answers", i % 2 == 0, i % 2 == 0, 100000);
      ASSERT_TRUE (ev_record (from.t, &s, 1000));
    }
  ev_begin_step (from.t, 2, 2000);
  ev_begin_step (to.t, 2, 2000);
  ev_sample s = sample ("answers", false, false, 100000, EV_LOAD_LOW, 2);
  ASSERT_TRUE (ev_record (from.t, &s, 3000));
  ASSERT_TRUE (ev_take_delta (from.t, 3, 7, &delta));
  EXPECT_EQ (delta.step, 1u);
  EXPECT_EQ (ev_merge (to.t, &delta, 4000), EV_MERGED);
  EXPECT_EQ (ev_merge (to.t, &delta, 4000), EV_DUPLICATE);
  ASSERT_TRUE (ev_take_delta (from.t, 3, 7, &delta));
  EXPECT_EQ (delta.step, 2u);
  EXPECT_EQ (delta.rows[0].old_counts.seen[EV_FAILURE], 1u);
  EXPECT_EQ (ev_merge (to.t, &delta, 4000), EV_MERGED);
  EXPECT_FALSE (ev_take_delta (from.t, 3, 7, &delta));
  ev_tick (to.t, 4000 + 600 * kMs);
  EXPECT_EQ (ev_query_merged (to.t).verdict, EV_BAD);
}

// Guards against a VM that needs the counts of other VMs to report a gross
// fault.
TEST (Ev, LocalRuleStopsGrossFaultAtOnce)
{
  Tracker tr (9);
  ev_begin_step (tr.t, 1, 1);
  uint64_t now = 1000;
  int bad_requests = 0;
  for (int i = 0; i < 2000 && ev_query_local (tr.t).verdict != EV_BAD; i++)
    {
      bool is_new = i % 100 == 50;
      ev_sample s = sample ("answers", is_new, is_new, 100000);
      ASSERT_TRUE (ev_record (tr.t, &s, now));
      bad_requests += is_new;
      now += 10 * kMs;
      if (i % 10 == 0)
        ev_tick (tr.t, now);
    }
  ev_result r = ev_query_local (tr.t);
  ASSERT_EQ (r.verdict, EV_BAD);
  EXPECT_EQ (r.reason.kind, EV_FAILURE);
  EXPECT_EQ (r.reason.load, EV_LOAD_LOW);
  EXPECT_TRUE (st_equal_cstr (st_name_str (&r.reason.route), "answers"));
  EXPECT_LE (bad_requests, 8);
  EXPECT_EQ (r.reason.new_counts.hits[EV_FAILURE],
             r.reason.new_counts.seen[EV_FAILURE]);
}

// Guards against evidence counted twice after a duplicated, late or
// misdirected message.
TEST (Ev, DeltaIsMergedOnce)
{
  Tracker from;
  Tracker to;
  ev_begin_step (from.t, 1, 1);
  ev_begin_step (to.t, 1, 1);
  ev_begin_term (to.t, 7, 1);
  auto d1 = std::make_unique<ev_delta> ();
  auto d2 = std::make_unique<ev_delta> ();
  ev_sample s = sample ("a", false, false, 1000);
  ev_record (from.t, &s, 10);
  ASSERT_TRUE (ev_take_delta (from.t, 5, 7, d1.get ()));
  ASSERT_FALSE (ev_take_delta (from.t, 5, 7, d2.get ()));
  ev_record (from.t, &s, 20);
  ev_tick (from.t, 2000 * kMs);
  ev_record (from.t, &s, 30);
  ASSERT_TRUE (ev_take_delta (from.t, 5, 7, d2.get ()));
  EXPECT_EQ (d2->rows[0].old_counts.seen[EV_FAILURE], 2u);
  EXPECT_EQ (ev_merge (to.t, d2.get (), 40), EV_MERGED);
  EXPECT_EQ (ev_merge (to.t, d2.get (), 41), EV_DUPLICATE);
  EXPECT_EQ (ev_merge (to.t, d1.get (), 42), EV_DUPLICATE);
  d1->term = 6;
  EXPECT_EQ (ev_merge (to.t, d1.get (), 43), EV_OTHER_TERM);
  d1->term = 7;
  d1->seq = 9;
  d1->step = 4;
  EXPECT_EQ (ev_merge (to.t, d1.get (), 44), EV_OTHER_STEP);
  d1->rows[0].old_counts.hits[EV_FAILURE] = 1000;
  EXPECT_EQ (ev_merge (to.t, d1.get (), 45), EV_MALFORMED);
}

// Guards against evidence lost when another VM becomes the controller.
TEST (Ev, NewTermGetsAllCountsOfTheStep)
{
  Tracker from;
  ev_begin_step (from.t, 1, 1);
  auto d = std::make_unique<ev_delta> ();
  ev_sample s = sample ("a", false, false, 1000);
  for (int i = 0; i < 10; i++)
    ev_record (from.t, &s, 10);
  ASSERT_TRUE (ev_take_delta (from.t, 5, 7, d.get ()));
  ev_record (from.t, &s, 10);
  ASSERT_TRUE (ev_take_delta (from.t, 5, 8, d.get ()));
  EXPECT_EQ (d->seq, 1u);
  EXPECT_EQ (d->rows[0].old_counts.seen[EV_FAILURE], 11u);
}

// Guards against a comparison biased by requests of an earlier traffic share
// or of an engine with only one version loaded.
TEST (Ev, IgnoresOtherStepsAndUnpairedEngines)
{
  Tracker tr;
  ev_begin_step (tr.t, 2, 1);
  ev_sample s = sample ("a", true, true, 0, EV_LOAD_LOW, 1);
  EXPECT_FALSE (ev_record (tr.t, &s, 10));
  s.step = 2;
  s.paired = false;
  EXPECT_FALSE (ev_record (tr.t, &s, 10));
  s.paired = true;
  EXPECT_TRUE (ev_record (tr.t, &s, 10));
}

// Guards against a new version that inherits the verdict on the one before.
TEST (Ev, NewRolloutResetsVerdict)
{
  Tracker tr (1);
  ev_begin_rollout (tr.t, st_from_cstr ("v2"));
  ev_begin_step (tr.t, 1, 1);
  uint64_t now = 1000;
  for (int i = 0; i < 2000; i++)
    {
      bool is_new = i % 20 == 10;
      ev_sample s = sample ("a", is_new, is_new, 100000);
      ev_record (tr.t, &s, now);
      now += 10 * kMs;
      ev_tick (tr.t, now);
    }
  ASSERT_EQ (ev_query_local (tr.t).verdict, EV_BAD);
  ev_begin_rollout (tr.t, st_from_cstr ("v2"));
  EXPECT_EQ (ev_query_local (tr.t).verdict, EV_BAD);
  ev_begin_rollout (tr.t, st_from_cstr ("v3"));
  EXPECT_EQ (ev_query_local (tr.t).verdict, EV_UNDECIDED);
  ev_begin_step (tr.t, 2, now);
  ev_sample s = sample ("a", false, false, 100000, EV_LOAD_LOW, 2);
  ASSERT_TRUE (ev_record (tr.t, &s, now));
  auto d = std::make_unique<ev_delta> ();
  ASSERT_TRUE (ev_take_delta (tr.t, 5, 7, d.get ()));
  EXPECT_EQ (d->rows[0].old_counts.seen[EV_FAILURE], 1u);
}

// Guards against evidence that is split between two receivers instead of sent
// to both.
TEST (Ev, BothCandidatesGetAllEvidence)
{
  Tracker from;
  ev_begin_step (from.t, 1, 1);
  auto d = std::make_unique<ev_delta> ();
  ev_sample s = sample ("a", false, false, 1000);
  for (uint64_t term : { 7, 8, 7, 8 })
    {
      ev_record (from.t, &s, 10);
      ASSERT_TRUE (ev_take_delta (from.t, 5, term, d.get ()));
    }
  EXPECT_EQ (d->seq, 2u);
  EXPECT_EQ (d->rows[0].old_counts.seen[EV_FAILURE], 2u);
}

// Guards against a table of routes that callers can grow without limit by
// inventing route names.
TEST (Ev, RoutesAreBounded)
{
  Tracker tr;
  ev_begin_step (tr.t, 1, 1);
  int recorded = 0;
  for (int i = 0; i < 100; i++)
    {
      std::string name = "route" + std::to_string (i);
      ev_sample s = sample (name.c_str (), false, false, 1000);
      recorded += ev_record (tr.t, &s, 10);
    }
  EXPECT_EQ (recorded, 16);
}

namespace
{
struct Outcome
{
  ev_verdict verdict;
  ev_kind kind;
  ev_load load;
  uint64_t new_requests_until_verdict; /* on the faulty route and level */
};

enum class Fault
{
  kNone,
  kFailing,
  kSlow
};

/* Simulates one rollout at a fixed share with 2 routes and 2 load levels;
   bursts raise the failures and times of both versions.  */
Outcome
run_rollout (uint64_t seed, Fault fault, bool only_high, uint32_t permille,
             int requests)
{
  std::mt19937_64 rng (seed);
  std::uniform_real_distribution<double> uniform (0, 1);
  Tracker tr (1);
  ev_begin_step (tr.t, 1, 1);
  uint64_t now = 1;
  double burst_fail = 0;
  double burst_slow = 1;
  ev_load load = EV_LOAD_LOW;
  uint32_t carry_permille[2] = { 0, 500 };
  uint64_t new_seen = 0;
  double fail_rate = 0.25 + uniform (rng) * 0.75;
  double slow_factor = 2 + uniform (rng) * 3;
  for (int i = 0; i < requests; i++)
    {
      if (i % 500 == 0)
        {
          bool burst = uniform (rng) < 0.3;
          load = burst ? EV_LOAD_HIGH : EV_LOAD_LOW;
          burst_fail = burst ? uniform (rng) * 0.6 : 0;
          burst_slow = burst ? 2 + uniform (rng) * 1.5 : 1;
        }
      int route = uniform (rng) < 0.7 ? 0 : 1;
      carry_permille[route] += permille;
      bool is_new = carry_permille[route] >= 1000;
      if (is_new)
        carry_permille[route] -= 1000;
      bool faulty = is_new && (!only_high || load == EV_LOAD_HIGH);
      new_seen += faulty;
      double p = 0.005 + burst_fail;
      double time = 100000 * exp (uniform (rng) * 1.5) * burst_slow;
      if (faulty && fault == Fault::kFailing)
        p = 1 - (1 - p) * (1 - fail_rate);
      if (faulty && fault == Fault::kSlow)
        time *= slow_factor;
      ev_sample s = sample (route == 0 ? "a" : "b", is_new, uniform (rng) < p,
                            (uint64_t)time, load);
      ev_record (tr.t, &s, now);
      now += 5 * kMs;
      if (i % 20 == 0)
        {
          ev_tick (tr.t, now);
          ev_result r = ev_query_local (tr.t);
          if (r.verdict == EV_BAD)
            return { EV_BAD, r.reason.kind, r.reason.load, new_seen };
        }
    }
  return { EV_UNDECIDED, EV_KINDS, EV_LOAD_LOW, new_seen };
}
}

// Guards against a burst that is reported as a fault of the new version.  Over
// 10,000 rollouts the false alarms must stay within alpha (0.001) plus four
// standard deviations.
TEST (EvProperty, FalseAlarmsStayWithinAlpha)
{
  uint64_t runs = env ("DB_RUNS", 10000);
  uint64_t seed = env ("DB_SEED", 1);
  printf ("seed %llu runs %llu (DB_SEED, DB_RUNS)\n", (unsigned long long)seed,
          (unsigned long long)runs);
  uint64_t alarms = 0;
  for (uint64_t i = 0; i < runs; i++)
    {
      uint32_t permille = i % 3 == 0 ? 10 : i % 3 == 1 ? 250 : 980;
      if (run_rollout (seed + i, Fault::kNone, false, permille, 20000).verdict
          == EV_BAD)
        {
          alarms++;
          printf ("false alarm: seed %llu\n", (unsigned long long)(seed + i));
        }
    }
  double limit = 0.001 * runs;
  EXPECT_LE (alarms, limit + 4 * sqrt (limit));
  printf ("false alarms: %llu of %llu\n", (unsigned long long)alarms,
          (unsigned long long)runs);
}

// Guards against a bad version that is found too late or not at all: failing
// or slow, always or only under high load.
TEST (EvProperty, BadVersionsAreFound)
{
  uint64_t runs = env ("DB_RUNS", 10000);
  uint64_t seed = env ("DB_SEED", 1);
  printf ("seed %llu runs %llu (DB_SEED, DB_RUNS)\n", (unsigned long long)seed,
          (unsigned long long)runs);
  uint64_t missed = 0;
  uint64_t max_until_verdict = 0;
  for (uint64_t i = 0; i < runs; i++)
    {
      Fault fault = i % 2 == 0 ? Fault::kFailing : Fault::kSlow;
      Outcome r = run_rollout (seed + i, fault, i % 4 >= 2, 10, 100000);
      if (r.verdict != EV_BAD)
        {
          missed++;
          printf ("missed: seed %llu fault %d\n",
                  (unsigned long long)(seed + i), (int)fault);
        }
      max_until_verdict
          = std::max (max_until_verdict, r.new_requests_until_verdict);
    }
  printf ("missed %llu of %llu, most faulty requests until found %llu\n",
          (unsigned long long)missed, (unsigned long long)runs,
          (unsigned long long)max_until_verdict);
  EXPECT_LE (missed, 0.01 * runs);
}
