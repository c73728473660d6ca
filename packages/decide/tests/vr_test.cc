#include "vr.h"

#include <gtest/gtest.h>
#include <random>

namespace
{
const uint64_t second = 1000000;
const uint64_t ms = 1000;

vr_rollout
ordered ()
{
  vr_rollout r = {};
  vr_set_order (&r, ST_LIT ("v2"), 12 * second, 5, 100 * second);
  return r;
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
  vr_inputs in = { controller, target_slots, 100, now };
  return vr_tick (r, &in);
}

// Guards against a new version that gets more than a small share before its
// deadline.
TEST (Vr, TheNewVersionGetsASmallShare)
{
  vr_rollout r = ordered ();
  std::mt19937 rng (7);
  int target = 0;
  for (int i = 0; i < 100000; i++)
    target += vr_choose (&r, (uint32_t)rng ()) == VR_TARGET;
  EXPECT_GT (target, 2000);
  EXPECT_LT (target, 4000);
  vr_rollout none = {};
  EXPECT_EQ (vr_choose (&none, 1), VR_ANY);
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
      EXPECT_EQ (vr_choose (&r, 0), VR_OTHERS);
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
      vr_set_peer_counts (&r, &seen, &old);
      tick (&r, 106 * second, false);
      int target = 0;
      for (int i = 0; i < 100000; i++)
        target += vr_choose (&r, (uint32_t)rng ()) == VR_TARGET;
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
  EXPECT_EQ (vr_choose (&r, 0xffffffff), VR_TARGET);
  EXPECT_EQ (tick (&r, 113 * second), VR_NONE);
}

// Guards against judging by a handful of requests where several VMs have seen
// enough together, and against completing what they do not find good.
TEST (Vr, TheCountsOfOtherVmsAreAdded)
{
  vr_rollout good = ordered ();
  vr_counts some = { 20, 0 };
  vr_counts many = { 900, 9 };
  vr_set_peer_counts (&good, &some, &many);
  EXPECT_EQ (tick (&good, 112 * second - 500 * ms), VR_COMPLETED);
  vr_rollout bad = ordered ();
  vr_counts failing = { 9, 3 };
  record (&bad, true, true, 80 * ms);
  EXPECT_FALSE (bad.found_bad);
  vr_set_peer_counts (&bad, &failing, &many);
  EXPECT_TRUE (bad.found_bad);
  vr_rollout doubtful = ordered ();
  vr_counts few = { 8, 3 };
  vr_set_peer_counts (&doubtful, &few, &many);
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
  vr_set_order (&r, ST_LIT ("v2"), 12 * second, 5, 200 * second);
  EXPECT_EQ (tick (&r, 212 * second), VR_NONE);
  EXPECT_EQ (vr_choose (&r, 0), VR_OTHERS);
  vr_set_status (&r, ST_LIT ("v2"), VR_RUNNING, 7);
  EXPECT_EQ (r.state, VR_REVERTED) << "an older state";
  vr_set_order (&r, ST_LIT ("v3"), 12 * second, 20, 300 * second);
  EXPECT_EQ (r.state, VR_RUNNING);
  EXPECT_TRUE (vr_allows (&r, VR_OTHERS, ST_LIT ("v1")));
}

// Guards against a state of the rollout before being taken for that of a new
// order, whichever is read first.
TEST (Vr, AStatusReadBeforeItsOrderApplies)
{
  vr_rollout r = {};
  vr_set_status (&r, ST_LIT ("v2"), VR_REVERTED, 8);
  vr_set_order (&r, ST_LIT ("v2"), 12 * second, 5, 100 * second);
  EXPECT_EQ (r.state, VR_REVERTED);
  vr_set_order (&r, ST_LIT ("v2"), 12 * second, 9, 200 * second);
  EXPECT_EQ (r.state, VR_RUNNING) << "ordered again";
}
} // namespace
