#include "vr.h"

#include <gtest/gtest.h>
#include <random>

namespace
{
const uint64_t second = 1000000;
const uint64_t ms = 1000;

// Orders the version TARGET with a bound on the exposure that no test reaches.
void
order (vr_rollout *r, const char *target, uint64_t revision, uint64_t now,
       double slack = 1e6)
{
  vr_order o = {};
  o.target = st_from_cstr (target);
  o.duration_us = 12 * second;
  o.revision = revision;
  o.exposure_slack = slack;
  vr_set_order (r, &o, now);
}

vr_rollout
ordered (double slack = 1e6)
{
  vr_rollout r = {};
  order (&r, "v2", 5, 100 * second, slack);
  return r;
}

void
set_peers (vr_rollout *r, const vr_counts &target, const vr_counts &other)
{
  vr_row row = { VR_ALL, target, other };
  vr_set_peer_rows (r, &row, 1);
}

void
record (vr_rollout *r, bool target, bool failed, uint64_t first_us,
        uint64_t pace_us = 0)
{
  vr_sample sample = {};
  sample.failed = failed;
  sample.first_us = first_us;
  sample.pace_us = pace_us;
  vr_record (r, target, &sample);
}

vr_state
tick (vr_rollout *r, uint64_t now, bool controller = true,
      uint32_t target_slots = 90)
{
  vr_inputs in = { controller, false, target_slots, 100, now };
  return vr_tick (r, &in);
}

// Guards against a rollout that nobody ends, because the controller cannot
// reach the store and the others leave it to the controller.
TEST (Vr, ADeputyWritesWhatTheControllerDoesNot)
{
  vr_rollout r = ordered ();
  for (int i = 0; i < 200; i++)
    record (&r, true, false, 80 * ms);
  vr_inputs in = {};
  in.deputy = true;
  in.target_slots = 90;
  in.other_slots = 100;
  in.now_us = 100 * second + 500 * ms;
  EXPECT_EQ (vr_tick (&r, &in), VR_NONE) << "the controller has time";
  in.now_us = 101 * second;
  EXPECT_EQ (vr_tick (&r, &in), VR_RUNNING);
  vr_set_status (&r, ST_LIT ("v2"), VR_RUNNING, 6);
  in.now_us = 112 * second - 400 * ms;
  EXPECT_EQ (vr_tick (&r, &in), VR_NONE) << "the controller has time";
  in.now_us = 112 * second - 200 * ms;
  EXPECT_EQ (vr_tick (&r, &in), VR_COMPLETED);
}

// Guards against a rollout that begins again because the restored store has
// its order at another revision.
TEST (Vr, AnOrderThatIsWrittenAgainGoesOn)
{
  vr_rollout r = ordered ();
  vr_set_status (&r, ST_LIT ("v2"), VR_COMPLETED, 9);
  vr_renew_order (&r, 20);
  EXPECT_EQ (r.state, VR_COMPLETED);
  EXPECT_EQ (r.start_us, 100 * second);
  EXPECT_EQ (tick (&r, 101 * second), VR_NONE);
  order (&r, "v2", 20, 105 * second);
  EXPECT_EQ (r.start_us, 100 * second);
  // A rollout without a stored state gets one.
  vr_rollout running = ordered ();
  vr_set_status (&running, ST_LIT ("v2"), VR_RUNNING, 9);
  EXPECT_EQ (tick (&running, 101 * second), VR_NONE);
  vr_renew_order (&running, 20);
  EXPECT_EQ (tick (&running, 102 * second), VR_RUNNING);
}

// Guards against a new version that gets more than a small share before its
// deadline.
TEST (Vr, TheNewVersionGetsASmallShare)
{
  vr_rollout r = ordered ();
  std::mt19937 rng (7);
  int target = 0;
  for (int i = 0; i < 100000; i++)
    target += vr_choose (&r, 0, (uint32_t)rng ()) == VR_TARGET;
  EXPECT_GT (target, 2000);
  EXPECT_LT (target, 4000);
  vr_rollout none = {};
  EXPECT_EQ (vr_choose (&none, 0, 1), VR_ANY);
  EXPECT_TRUE (vr_allows (&r, VR_TARGET, ST_LIT ("v2")));
  EXPECT_FALSE (vr_allows (&r, VR_OTHERS, ST_LIT ("v2")));
  EXPECT_TRUE (vr_allows (&r, VR_OTHERS, ST_LIT ("v1")));
}

// Guards against requests to a bad version after its fault has shown, whether
// it fails or is slow.
TEST (Vr, ABadVersionIsRevertedAtOnce)
{
  for (bool slow : { false, true })
    {
      vr_rollout r = ordered ();
      for (int i = 0; i < 200; i++)
        record (&r, false, i % 50 == 0, 80 * ms);
      for (int i = 0; i < 10 && !r.found_bad; i++)
        record (&r, true, !slow && i % 2 == 0, slow ? 640 * ms : 80 * ms);
      EXPECT_TRUE (r.found_bad) << slow;
      EXPECT_EQ (vr_choose (&r, 0, 0), VR_OTHERS);
      EXPECT_EQ (tick (&r, 104 * second, false), VR_REVERTED);
    }
}

// Guards against keeping a version that is several times slower: on upstreams
// with little load it stayed below a limit with a large margin.
TEST (Vr, AVersionThreeTimesSlowerIsReverted)
{
  vr_rollout r = ordered ();
  std::mt19937 rng (5);
  for (int i = 0; i < 300; i++)
    record (&r, false, false, (uint64_t)(60 + rng () % 60) * ms);
  for (int i = 0; i < 20 && !r.found_bad; i++)
    record (&r, true, false, (uint64_t)(180 + rng () % 180) * ms);
  EXPECT_TRUE (r.found_bad);
}

// Guards against keeping a version whose streams begin in time and then go on
// several times slower.
TEST (Vr, ASlowPaceIsFound)
{
  vr_rollout r = ordered ();
  vr_rollout same = ordered ();
  std::mt19937 rng (5);
  for (int i = 0; i < 300; i++)
    for (vr_rollout *each : { &r, &same })
      record (each, false, false, 90 * ms, (uint64_t)(14 + rng () % 20) * ms);
  for (int i = 0; i < 20; i++)
    {
      record (&r, true, false, 90 * ms, (uint64_t)(50 + rng () % 70) * ms);
      record (&same, true, false, 90 * ms, (uint64_t)(14 + rng () % 20) * ms);
    }
  EXPECT_TRUE (r.found_bad);
  EXPECT_FALSE (same.found_bad);
}

// Guards against completing a version that is slow for some of the requests
// of a service with few: seen as usual times, since the first request that
// was measured had been a fast one.
TEST (Vr, SlowResponsesOfSomeRequestsAreFound)
{
  int completed = 0;
  for (unsigned seed = 1; seed <= 200; seed++)
    {
      std::mt19937 rng (seed);
      vr_rollout r = ordered ();
      std::lognormal_distribution<> usual (2.5, 0.5);
      record (&r, false, false, 4 * ms);
      for (int i = 0; i < 40; i++)
        record (&r, false, false, (uint64_t)(usual (rng) * 1000));
      for (int i = 0; i < 25; i++)
        record (&r, true, false,
                (uint64_t)(usual (rng) * 1000) * (rng () % 100 < 45 ? 8 : 1));
      completed += !r.found_bad
                   && tick (&r, 112 * second - 500 * ms) == VR_COMPLETED;
    }
  EXPECT_LE (completed, 2);
}

// Guards against deciding by a handful of requests to a service that has few.
TEST (Vr, AServiceWithFewRequestsGivesALargerShare)
{
  for (bool many : { false, true })
    {
      vr_rollout r = ordered ();
      vr_counts seen = { many ? 40u : 3u, 0 };
      vr_counts old = { 900, 9 };
      std::mt19937 rng (7);
      set_peers (&r, seen, old);
      tick (&r, 106 * second, false);
      int target = 0;
      for (int i = 0; i < 100000; i++)
        target += vr_choose (&r, 0, (uint32_t)rng ()) == VR_TARGET;
      EXPECT_GT (target, many ? 2000 : 7000);
      EXPECT_LT (target, many ? 4000 : 9000);
    }
}

// Guards against reverting a good version because its upstreams are of unlike
// speed, as those of the old one.
TEST (Vr, UpstreamsOfUnlikeSpeedAreNoReason)
{
  int reverted = 0;
  std::mt19937 rng (3);
  std::lognormal_distribution<> spread (0, 0.4);
  for (int round = 0; round < 400; round++)
    {
      vr_rollout r = ordered ();
      for (int i = 0; i < 2400; i++)
        {
          double speed = rng () % 3 == 0 ? 0.6 : 1.7;
          record (
              &r, i % 33 == 0, rng () % 50 == 0,
              (uint64_t)(60e3 * speed * spread (rng)),
              (uint64_t)(15e3 * speed * (0.8 + (double)(rng () % 40) / 100)));
        }
      reverted += r.found_bad;
    }
  EXPECT_LT (reverted, 20);
}

// Guards against a slow version of which callers and deadlines end the
// requests first, and against counting other callers that leave.
TEST (Vr, AnAbandonedRequestCountsWhenItWasSlow)
{
  vr_rollout r = ordered ();
  vr_sample sample = {};
  for (int i = 0; i < 100; i++)
    record (&r, false, false, 90 * ms);
  sample.abandoned = true;
  sample.first_us = 50 * ms;
  for (int i = 0; i < 20; i++)
    vr_record (&r, true, &sample);
  EXPECT_EQ (r.target_counts.seen, 0u);
  sample.first_us = 2 * second;
  for (int i = 0; i < 20; i++)
    vr_record (&r, true, &sample);
  EXPECT_TRUE (r.found_bad);
}

// Guards against taking a version for slow on a route that is slow with any
// version.
TEST (Vr, EachRouteHasItsOwnTimes)
{
  vr_rollout r = ordered ();
  vr_sample sample = {};
  for (int i = 0; i < 400; i++)
    for (uint64_t route : { 1, 2 })
      {
        sample.route = route;
        sample.first_us = (route == 1 ? 15 : 900) * ms;
        vr_record (&r, i % 10 == 9, &sample);
      }
  EXPECT_FALSE (r.found_bad);
  EXPECT_EQ (r.target_counts.failed, 0u);
}

// Guards against reverting a version that fails as often as the old one, as in
// an outage of something else.
TEST (Vr, FailuresOfBothVersionsAreNoReason)
{
  int reverted = 0;
  std::mt19937 rng (11);
  for (int round = 0; round < 200; round++)
    {
      vr_rollout r = ordered ();
      for (int i = 0; i < 600; i++)
        record (&r, i % 30 == 0, rng () % 7 == 0, 80 * ms);
      reverted += r.found_bad;
    }
  EXPECT_LT (reverted, 10);
}

TEST (Vr, AGoodVersionIsCompletedBeforeTheDeadline)
{
  vr_rollout r = ordered ();
  EXPECT_EQ (tick (&r, 100 * second + ms), VR_RUNNING);
  EXPECT_EQ (tick (&r, 100 * second + 2 * ms), VR_NONE) << "written";
  vr_set_status (&r, ST_LIT ("v2"), VR_RUNNING, 6);
  for (int i = 0; i < 20; i++)
    record (&r, true, false, 80 * ms);
  EXPECT_EQ (tick (&r, 110 * second), VR_NONE);
  EXPECT_EQ (tick (&r, 112 * second - 500 * ms), VR_COMPLETED);
  vr_set_status (&r, ST_LIT ("v2"), VR_COMPLETED, 9);
  EXPECT_EQ (vr_choose (&r, 0, 0xffffffff), VR_TARGET);
  EXPECT_EQ (tick (&r, 113 * second), VR_NONE);
}

// Guards against judging by a handful of requests where several VMs have seen
// enough together, and against completing what they do not find good.
TEST (Vr, TheCountsOfOtherVmsAreAdded)
{
  vr_rollout good = ordered ();
  vr_counts some = { 20, 0 };
  vr_counts many = { 900, 9 };
  set_peers (&good, some, many);
  EXPECT_EQ (tick (&good, 112 * second - 500 * ms), VR_COMPLETED);
  vr_rollout bad = ordered ();
  vr_counts failing = { 9, 3 };
  record (&bad, true, true, 80 * ms);
  EXPECT_FALSE (bad.found_bad);
  set_peers (&bad, failing, many);
  EXPECT_TRUE (bad.found_bad);
  vr_rollout doubtful = ordered ();
  vr_counts few = { 8, 3 };
  set_peers (&doubtful, few, many);
  EXPECT_FALSE (doubtful.found_bad);
  EXPECT_EQ (tick (&doubtful, 112 * second - 500 * ms), VR_REVERTED);
}

// Guards against completing a version that was hardly used, or whose upstreams
// cannot carry the traffic.
TEST (Vr, AnUndecidedVersionIsReverted)
{
  vr_rollout few = ordered ();
  record (&few, true, false, 80 * ms);
  EXPECT_EQ (tick (&few, 112 * second), VR_REVERTED);
  vr_rollout small = ordered ();
  for (int i = 0; i < 20; i++)
    record (&small, true, false, 80 * ms);
  EXPECT_EQ (tick (&small, 112 * second, true, 50), VR_REVERTED);
}

// Guards against a VM that was paused, or is not the controller, deciding for
// all, and against an order that is read again starting the rollout anew.
TEST (Vr, AFinalStateStays)
{
  vr_rollout r = ordered ();
  EXPECT_EQ (tick (&r, 112 * second, false), VR_NONE);
  vr_set_status (&r, ST_LIT ("v2"), VR_REVERTED, 8);
  order (&r, "v2", 5, 200 * second);
  EXPECT_EQ (tick (&r, 212 * second), VR_NONE);
  EXPECT_EQ (vr_choose (&r, 0, 0), VR_OTHERS);
  vr_set_status (&r, ST_LIT ("v2"), VR_RUNNING, 7);
  EXPECT_EQ (r.state, VR_REVERTED) << "an older state";
  order (&r, "v3", 20, 300 * second);
  EXPECT_EQ (r.state, VR_RUNNING);
  EXPECT_TRUE (vr_allows (&r, VR_OTHERS, ST_LIT ("v1")));
}

// Guards against a state of the rollout before being taken for that of a new
// order, whichever is read first.
TEST (Vr, AStatusReadBeforeItsOrderApplies)
{
  vr_rollout r = {};
  vr_set_status (&r, ST_LIT ("v2"), VR_REVERTED, 8);
  order (&r, "v2", 5, 100 * second);
  EXPECT_EQ (r.state, VR_REVERTED);
  order (&r, "v2", 9, 200 * second);
  EXPECT_EQ (r.state, VR_RUNNING) << "ordered again";
}

// Guards against completing a version that fails on one route, which the
// requests of the other routes hide.
TEST (Vr, ABadRouteIsFoundAmongGoodOnes)
{
  vr_rollout r = ordered ();
  vr_sample sample = {};
  sample.first_us = 80 * ms;
  for (int i = 0; i < 3000; i++)
    {
      sample.route = 10 + (uint64_t)(i % 3);
      sample.failed = i % 50 == 0;
      vr_record (&r, false, &sample);
    }
  for (int i = 0; i < 300; i++)
    {
      sample.route = i % 30 == 0 ? 10 : 11;
      sample.failed = i % 60 == 0;
      vr_record (&r, true, &sample);
    }
  EXPECT_TRUE (r.found_bad);
  EXPECT_EQ (r.bad_key, 10u);
}

// The same where each VM has seen a few of the failures.
TEST (Vr, ABadRouteIsFoundByTheCountsOfAllVms)
{
  vr_rollout r = ordered ();
  vr_row rows[] = { { VR_ALL, { 200, 4 }, { 4000, 80 } },
                    { 10, { 7, 3 }, { 600, 12 } },
                    { VR_ALL, { 100, 3 }, { 2000, 40 } },
                    { 10, { 5, 3 }, { 300, 6 } } };
  vr_set_peer_rows (&r, rows, 2);
  EXPECT_FALSE (r.found_bad);
  vr_set_peer_rows (&r, rows, 4);
  EXPECT_TRUE (r.found_bad);
  EXPECT_EQ (r.peer_target_counts.seen, 300u);
}

// Guards against completing a version that fails under load: the load test's
// requests are few among all.
TEST (Vr, TheLoadTestIsJudgedByItself)
{
  vr_rollout r = ordered ();
  for (int i = 0; i < 2000; i++)
    record (&r, false, i % 50 == 0, 80 * ms);
  for (int i = 0; i < 400; i++)
    record (&r, true, i % 50 == 0, 80 * ms);
  vr_sample sample = {};
  sample.load_test = true;
  sample.running = 4;
  sample.first_us = 900 * ms;
  for (int i = 0; i < 40; i++)
    vr_record (&r, true, &sample);
  EXPECT_FALSE (r.found_bad) << "times under load are not compared";
  EXPECT_EQ (r.target_counts.seen, 400u);
  sample.failed = true;
  for (int i = 0; i < 7; i++)
    vr_record (&r, true, &sample);
  EXPECT_TRUE (r.found_bad);
  EXPECT_EQ (r.bad_key, (uint64_t)VR_LOAD_TEST);
  vr_row rows[VR_ROWS_MAX];
  ASSERT_EQ (vr_query_rows (&r, rows, VR_ROWS_MAX), 2u);
  EXPECT_EQ (rows[1].key, (uint64_t)VR_LOAD_TEST);
  EXPECT_EQ (rows[1].target.seen, 47u);
  EXPECT_EQ (rows[1].target.failed, 7u);
}

// Guards against completing a slow version of which most requests are seen in
// the load test, on an upstream that is hardly busier than the old ones.
TEST (Vr, SlowResponsesInTheLoadTestCount)
{
  vr_rollout r = ordered ();
  for (int i = 0; i < 300; i++)
    record (&r, false, i % 8 == 0, 40 * ms);
  for (int i = 0; i < 12; i++)
    record (&r, true, i % 4 == 0, 40 * ms);
  vr_sample sample = {};
  sample.load_test = true;
  for (int i = 0; i < 40; i++)
    {
      sample.running = (uint32_t)i % 2;
      sample.first_us = (i % 2 == 0 ? 300 : 40) * ms;
      vr_record (&r, true, &sample);
    }
  EXPECT_TRUE (r.found_bad);
  EXPECT_EQ (r.bad_key, (uint64_t)VR_ALL);
}

// Guards against a load test at any other time than shortly before the
// decision, and of a version that is known to be bad.
TEST (Vr, TheLoadTestComesShortlyBeforeTheDecision)
{
  vr_rollout r = ordered ();
  EXPECT_FALSE (vr_in_load_test (&r, 101 * second));
  EXPECT_FALSE (vr_in_load_test (&r, 108 * second));
  EXPECT_TRUE (vr_in_load_test (&r, 109 * second));
  EXPECT_TRUE (vr_in_load_test (&r, 111 * second));
  EXPECT_FALSE (vr_in_load_test (&r, 112 * second - 500 * ms));
  vr_rollout bad = ordered ();
  bad.found_bad = true;
  EXPECT_FALSE (vr_in_load_test (&bad, 111 * second));
  vr_rollout none = {};
  EXPECT_FALSE (vr_in_load_test (&none, 111 * second));
}

// Guards against a bad version that gets more than its share and slack: from
// requests that drew it, in the load test, or after a decision for it, whose
// requests count up to the deadline.
TEST (Vr, TheExposureIsBounded)
{
  for (double slack : { 0.0, 6.0, 50.0 })
    {
      vr_rollout r = ordered (slack);
      std::mt19937 rng (7);
      const int count = 4000;
      int target = 0;
      for (int i = 1; i <= count; i++)
        {
          uint64_t now = 100 * second + (uint64_t)i * 12 * second / count;
          bool to_target = now + 600 * ms >= 112 * second;
          if (!to_target)
            to_target = rng () % 3 == 0 ? vr_choose (&r, 0, 0) == VR_TARGET
                                        : vr_in_load_test (&r, now);
          vr_count_sent (&r, to_target);
          target += to_target;
          if (now + 600 * ms < 112 * second)
            {
              ASSERT_LE (target, 0.1 * i + slack) << i;
            }
        }
      EXPECT_LE (target, 0.1 * count + slack);
      EXPECT_GE (target, 300) << slack;
      EXPECT_EQ (vr_choose (&r, 0, VR_DRAW_OTHERS), VR_OTHERS);
    }
}

// Guards against a route of which hardly anything is seen among many requests
// of others.
TEST (Vr, ARouteWithFewRequestsGivesALargerShare)
{
  vr_rollout r = ordered ();
  vr_sample sample = {};
  for (int i = 0; i < 60; i++)
    {
      sample.route = i < 58 ? 10 : 11;
      vr_record (&r, true, &sample);
    }
  tick (&r, 106 * second, false);
  int usual = 0, rare = 0;
  for (uint32_t draw = 0; draw < 65536; draw++)
    {
      usual += vr_choose (&r, 10, draw << 8) == VR_TARGET;
      rare += vr_choose (&r, 11, draw << 8) == VR_TARGET;
    }
  EXPECT_LT (usual, 3000);
  EXPECT_GT (rare, 4500);
}

// Guards against reverting a good version because several routes and the load
// test are judged: each is one more chance for a false alarm.
TEST (Vr, ManyRoutesAreNoReason)
{
  int reverted = 0;
  std::mt19937 rng (5);
  for (int round = 0; round < 400; round++)
    {
      vr_rollout r = ordered ();
      vr_sample sample = {};
      sample.first_us = 80 * ms;
      for (int i = 0; i < 1200; i++)
        {
          bool load_test = i >= 1000 && i % 5 == 0;
          sample.route = 10 + rng () % 6;
          sample.failed = rng () % 40 == 0;
          sample.load_test = load_test;
          vr_record (&r, load_test || i % 33 == 0, &sample);
        }
      reverted
          += r.found_bad || tick (&r, 112 * second - 500 * ms) != VR_COMPLETED;
    }
  EXPECT_LT (reverted, 20);
}

// Guards against a VM that restarts during a rollout and takes its deadline
// for a later one.
TEST (Vr, AnOrderThatIsReadLateKeepsItsDeadline)
{
  vr_rollout r = {};
  order (&r, "v2", 5, 106 * second);
  vr_set_age (&r, 6 * second, 106 * second);
  EXPECT_EQ (r.end_us, 112 * second);
  vr_set_age (&r, second, 107 * second);
  EXPECT_EQ (r.end_us, 112 * second) << "a later one is not adopted";
  EXPECT_EQ (tick (&r, 112 * second), VR_REVERTED);
}
} // namespace
