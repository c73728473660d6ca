#include "gq.h"

#include <gtest/gtest.h>
#include <set>
#include <string>
#include <vector>

namespace
{
const uint64_t second = 1000000;

struct Fleet
{
  ut_table *t;
  Fleet ()
  {
    ut_desc desc = {};
    st_name_set (&desc.data_center, ST_LIT ("west-a"));
    st_name_set (&desc.region, ST_LIT ("west"));
    t = ut_make (&desc);
  }
  ~Fleet () { ut_destroy (t); }
  ut_id
  add (const char *id, const char *dc = "west-a", const char *region = "west",
       uint32_t slots = 4)
  {
    ut_entry e = {};
    st_name_set (&e.id, st_from_cstr (id));
    st_name_set (&e.service, ST_LIT ("llm"));
    st_name_set (&e.address, ST_LIT ("127.0.0.1:1"));
    st_name_set (&e.data_center, st_from_cstr (dc));
    st_name_set (&e.region, st_from_cstr (region));
    e.slots = slots;
    return ut_put (t, &e, 0);
  }
  void
  fill (ut_id id, uint32_t requests)
  {
    for (uint32_t i = 0; i < requests; i++)
      ut_on_sent (t, id, 0);
  }
  std::string
  choose (const gq_demand &demand, uint32_t random = 1)
  {
    ut_id id = gq_choose_upstream (t, ST_LIT ("llm"), &demand, second, random);
    const ut_upstream *up = ut_query (t, id);
    return up != nullptr ? up->entry.id.text : "";
  }
};

gq_demand
demand (uint32_t tier, bool engine = true)
{
  gq_demand d = {};
  d.tier = tier;
  d.rank = gq_rank (false, 0, tier);
  d.engine = engine;
  d.target_us = second;
  d.arrived_us = second;
  d.deadline_us = 10 * second;
  return d;
}

// Guards against team tiers and route tiers being mixed up: the team's is
// compared first, and a route without a team tier keeps its own.
TEST (Gq, TeamTierGoesBeforeRouteTier)
{
  EXPECT_EQ (gq_rank (false, 0, 2), 4u);
  EXPECT_LT (gq_rank (true, 0, 2), gq_rank (true, 1, 0));
  EXPECT_LT (gq_rank (true, 1, 0), gq_rank (true, 1, 1));
  EXPECT_LT (gq_rank (true, 9, 9), (uint32_t)GQ_RANKS);
}

// Guards against a request that leaves its home regions when they are full,
// and against one that goes to a data centre that is evacuated.
TEST (Gq, FullHomeRegionsAndEvacuationsAreKept)
{
  Fleet fleet;
  const st_str west = ST_LIT ("west"), east = ST_LIT ("east");
  el_regions home = { &west, 1 };
  el_regions other = { &east, 1 };
  ut_id a = fleet.add ("a");
  fleet.add ("b", "east-a", "east");
  gq_demand d = demand (2);
  d.regions[0] = &home;
  EXPECT_EQ (fleet.choose (d), "a");
  d.regions[1] = &other;
  EXPECT_EQ (fleet.choose (d), "");
  d.regions[1] = nullptr;
  fleet.fill (a, 4);
  EXPECT_EQ (fleet.choose (d), "");
  d.regions[0] = nullptr;
  EXPECT_EQ (fleet.choose (d), "b");
  EXPECT_TRUE (ut_set_evacuated (fleet.t, ST_LIT ("east-a"), true, second));
  EXPECT_EQ (fleet.choose (d), "");
  fleet.add ("c", "east-a", "east");
  EXPECT_EQ (fleet.choose (d), "");
  EXPECT_TRUE (ut_set_evacuated (fleet.t, ST_LIT ("east-a"), false, second));
  EXPECT_NE (fleet.choose (d), "");
}

// Guards against a cold upstream that gets requests as fast as it has slots,
// when it says so itself or when its data centre is taken back.
TEST (Gq, AColdUpstreamGetsNoMoreThanItBears)
{
  for (bool evacuated : { false, true })
    {
      Fleet fleet;
      ut_id a = fleet.add ("a", "west-a", "west", 100);
      ut_set_cold_limit (fleet.t, ST_LIT ("llm"), 3, 5 * second);
      if (evacuated)
        {
          ut_set_evacuated (fleet.t, ST_LIT ("west-a"), true, 0);
          ut_set_evacuated (fleet.t, ST_LIT ("west-a"), false, 0);
        }
      else
        {
          ut_entry e = ut_query (fleet.t, a)->entry;
          e.cold_ms = 5000;
          ut_put (fleet.t, &e, 0);
        }
      uint32_t sent = 0;
      while (fleet.choose (demand (2)) == "a" && sent < 50)
        {
          ut_on_sent (fleet.t, a, 0);
          ut_count_send (fleet.t, a, second);
          sent++;
        }
      EXPECT_EQ (sent, 3u);
    }
}

// Guards against an upstream that gets more requests than the limit that it
// named, and one whose limit has ended unseen because it is not preferred.
TEST (Gq, ALimitedUpstreamGetsItsLimitAndIsCheckedForItsEnd)
{
  Fleet fleet;
  ut_id a = fleet.add ("a", "west-a", "west", 100);
  ut_id b = fleet.add ("b", "west-a", "west", 100);
  uint64_t now = 10 * second;
  el_limit limit = {};
  limit.named = true;
  limit.per_s = 1;
  limit.stated_us = now;
  EXPECT_TRUE (ut_state_limit (fleet.t, a, &limit));
  ut_avoid (fleet.t, b, now + second);
  gq_demand d = demand (2);
  auto choose = [&] (uint64_t at) {
    ut_id id = gq_choose_upstream (fleet.t, ST_LIT ("llm"), &d, at, 1);
    if (id.index == a.index)
      ut_count_send (fleet.t, a, at);
    return id.index == a.index;
  };
  uint32_t sent = 0;
  for (int i = 0; i < 50; i++)
    sent += choose (now);
  EXPECT_EQ (sent, 4u);
  for (int i = 0; i < 100; i++)
    ut_on_end (fleet.t, a, 0, UT_FAILED, now);
  EXPECT_FALSE (choose (now + 1500000)) << "no budget";
  EXPECT_TRUE (choose (now + 5 * second)) << "the statement is old";
  limit.stated_us = now + 5 * second;
  EXPECT_FALSE (ut_state_limit (fleet.t, a, &limit)) << "it is the same";
  EXPECT_FALSE (choose (now + 5 * second)) << "it fails most";
}

// Guards against VMs that together send a brittle upstream more than it has
// slots for, and against one that stays careful once it is not.
TEST (Gq, ABrittleUpstreamGetsNoMoreThanItsSlots)
{
  Fleet fleet;
  gq_demand d = demand (0);
  ut_id a = fleet.add ("a", "west-a", "west", 6);
  fleet.fill (a, 6);
  EXPECT_EQ (fleet.choose (d), "a") << "one beyond its slots waits there";
  ut_brittle statement = { true, 5, second };
  ASSERT_TRUE (ut_state_brittle (fleet.t, a, &statement));
  EXPECT_FALSE (ut_state_brittle (fleet.t, a, &statement)) << "no news";
  EXPECT_EQ (fleet.choose (d), "");
  /* A process that has just started, as the one before it.  */
  ut_id b = fleet.add ("b", "west-a", "west", 6);
  ASSERT_NE (ut_query_brittle (fleet.t, b), nullptr);
  fleet.fill (b, 6);
  EXPECT_EQ (fleet.choose (d), "");
  ut_brittle ended = { false, 0, 2 * second };
  ASSERT_TRUE (ut_state_brittle (fleet.t, a, &ended));
  EXPECT_EQ (ut_query_brittle (fleet.t, b), nullptr);
  EXPECT_EQ (fleet.choose (d), "a");
}

// Guards against several VMs that fill the same free slots of a brittle
// upstream before they hear of each other.
TEST (Gq, VmsDivideTheSlotsOfABrittleUpstream)
{
  const uint32_t vms = 7;
  const uint32_t slots = 6;
  std::vector<std::string> names;
  for (uint32_t i = 0; i < vms; i++)
    names.push_back ("vm-" + std::to_string (i));
  uint32_t sent = 0;
  for (uint32_t own = 0; own < vms; own++)
    {
      ut_desc desc = {};
      st_name_set (&desc.vm, st_from_cstr (names[own].c_str ()));
      ut_table *t = ut_make (&desc);
      ut_entry e = {};
      st_name_set (&e.id, ST_LIT ("a"));
      st_name_set (&e.service, ST_LIT ("llm"));
      e.slots = slots;
      ut_id a = ut_put (t, &e, 0);
      std::vector<st_str> others;
      for (uint32_t i = 0; i < vms; i++)
        if (i != own)
          others.push_back (st_from_cstr (names[i].c_str ()));
      ut_assign (t, others.data (), vms - 1, false);
      ut_brittle statement = { true, 5, second };
      ut_state_brittle (t, a, &statement);
      /* Two slots are known to be in use, by a VM at which requests wait.  */
      ut_row row = { ut_hash (ST_LIT ("a")), 2, 0 };
      ut_report report = { 1, &row, 1 };
      ut_set_peer (t, 99, &report, second);
      gq_demand d = demand (0);
      while (gq_choose_upstream (t, ST_LIT ("llm"), &d, second, 1).generation
             != 0)
        {
          ut_on_sent (t, a, 0);
          sent++;
        }
      ut_destroy (t);
    }
  EXPECT_LE (sent, slots);
  EXPECT_GE (sent, slots / 2);
}

// Guards against all requests of a team sharing one rank: drafts were refused
// while chats ran.
TEST (Gq, RoutesOfOneTeamKeepTheirOrder)
{
  EXPECT_NE (gq_rank (true, 1, 0), gq_rank (true, 1, 2));
}

// Guards against an engine getting more than it can start soon: requests that
// wait there cannot be reordered.  Urgent tiers have a few more, without which
// a freed slot stays idle until this VM learns of it.
TEST (Gq, SendsNoMoreThanAnEngineCanStart)
{
  const uint32_t most[] = { 7, 6, 4, 4 };
  for (uint32_t tier = 0; tier < 4; tier++)
    {
      Fleet fleet;
      ut_id a = fleet.add ("a");
      uint32_t sent = 0;
      for (; fleet.choose (demand (tier)) == "a"; sent++)
        fleet.fill (a, 1);
      EXPECT_EQ (sent, most[tier]);
    }
  Fleet fleet;
  ut_id a = fleet.add ("a");
  fleet.fill (a, 4);
  EXPECT_EQ (fleet.choose (demand (1, false)), "");
}

// Guards against non-urgent work taking the slot that an urgent request needs,
// here or at another VM.
TEST (Gq, ReservesASlotFromTheLowestTiers)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  fleet.fill (a, 4);
  EXPECT_EQ (fleet.choose (demand (2)), "");
  EXPECT_EQ (fleet.choose (demand (1)), "a");
  fleet.fill (a, 1);
  gq_demand with_urgent_elsewhere = demand (1);
  with_urgent_elsewhere.urgent_elsewhere = true;
  EXPECT_EQ (fleet.choose (with_urgent_elsewhere), "");
  EXPECT_EQ (fleet.choose (demand (1)), "a");
  EXPECT_EQ (fleet.choose (demand (0)), "a");
}

// Guards against a stream that was moved to free a slot finding no other one
// because requests of the next tier up fill every engine up to their limit.
TEST (Gq, AStartedStreamHasTheLimitOfTheNextTierUp)
{
  for (uint32_t tier = 1; tier < 4; tier++)
    {
      Fleet fleet;
      ut_id a = fleet.add ("a");
      gq_demand started = demand (tier);
      started.response_started = true;
      while (fleet.choose (demand (tier - 1)) == "a")
        {
          EXPECT_EQ (fleet.choose (started), "a") << "tier " << tier;
          fleet.fill (a, 1);
        }
    }
}

// Where load reports arrive late and slots are assigned to VMs, one slot is
// reserved.
TEST (Gq, ReservesASlotFromTheLowestTiersWithDelayedLoads)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_assign (fleet.t, nullptr, 0, false);
  ut_row row = { ut_hash (ST_LIT ("a")), 1, 0 };
  ut_report load = { 0, &row, 1 };
  ut_set_peer (fleet.t, 1, &load, second);
  fleet.fill (a, 3);
  gq_demand non_urgent = demand (2);
  gq_demand urgent = demand (1);
  non_urgent.remote_loads_delayed = true;
  urgent.remote_loads_delayed = true;
  EXPECT_EQ (fleet.choose (non_urgent), "");
  EXPECT_EQ (fleet.choose (urgent), "a");
  non_urgent.response_started = true;
  EXPECT_EQ (fleet.choose (non_urgent), "a");
  urgent.urgent_elsewhere = true;
  EXPECT_EQ (fleet.choose (urgent), "");
}

// Guards against load of other VMs being ignored.
TEST (Gq, CountsLoadOfOtherVms)
{
  Fleet fleet;
  fleet.add ("a");
  fleet.add ("b");
  ut_row row = { ut_hash (ST_LIT ("a")), 4, 0 };
  ut_report report = { 0, &row, 1 };
  ut_set_peer (fleet.t, 1, &report, second);
  for (uint32_t random = 0; random < 50; random++)
    EXPECT_EQ (fleet.choose (demand (1), random), "b");
}

TEST (Gq, PrefersFasterAndCloserUpstreams)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_id b = fleet.add ("b");
  ut_set_unit_time (fleet.t, a, 30000);
  ut_set_unit_time (fleet.t, b, 10000);
  EXPECT_EQ (fleet.choose (demand (1)), "b");
  Fleet two_regions;
  ut_id local_id = two_regions.add ("local");
  ut_id remote_id = two_regions.add ("remote", "east-a", "east");
  ut_set_unit_time (two_regions.t, local_id, 10000);
  ut_set_unit_time (two_regions.t, remote_id, 10000);
  EXPECT_EQ (two_regions.choose (demand (1)), "local");
}

// Guards against long prompts piling up at one engine: each delays every
// stream beside it.
TEST (Gq, SpreadsPromptsWaitingForPrefill)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_id b = fleet.add ("b");
  ut_set_unit_time (fleet.t, a, 10000);
  ut_set_unit_time (fleet.t, b, 10000);
  ut_on_sent (fleet.t, a, 30000);
  ut_on_sent (fleet.t, b, 100);
  ut_on_sent (fleet.t, b, 100);
  EXPECT_EQ (fleet.choose (demand (1)), "b");
}

// Guards against sending to an upstream that fails its requests but reports
// itself healthy.
TEST (Gq, AvoidsFailingUpstreams)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  fleet.add ("b");
  for (int i = 0; i < 10; i++)
    {
      ut_on_sent (fleet.t, a, 0);
      ut_on_end (fleet.t, a, 0, UT_FAILED, second);
    }
  for (uint32_t random = 0; random < 50; random++)
    EXPECT_EQ (fleet.choose (demand (1), random), "b");
}

// Guards against new work for an upstream that is leaving or serves another
// service.
TEST (Gq, NeverSendsToALeavingUpstream)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_entry e = ut_query (fleet.t, a)->entry;
  e.leaving = true;
  ut_put (fleet.t, &e, second);
  EXPECT_EQ (fleet.choose (demand (0)), "");
  gq_demand d = demand (0);
  EXPECT_EQ (
      gq_choose_upstream (fleet.t, ST_LIT ("orders"), &d, 0, 1).generation,
      0u);
}

// Guards against a retry going back to the upstream that just failed it, and
// against waiting for ever for another when there is none.
TEST (Gq, RetriesPreferAnotherUpstream)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_id b = fleet.add ("b");
  gq_demand d = demand (1);
  d.tried[d.tried_count++] = a;
  EXPECT_EQ (fleet.choose (d), "b");
  ut_avoid (fleet.t, b, 2 * second);
  EXPECT_EQ (fleet.choose (d), "b");
}

// Guards against callers waiting in vain: a request whose turn would come too
// late is refused at once, with a Retry-After.
TEST (Gq, RefusesWhatCannotBeOnTime)
{
  gq_backlog backlog = {};
  backlog.slots = 10;
  backlog.running = 10;
  backlog.service_us = 500000;
  gq_demand d = demand (1);
  gq_decision decision = {};
  EXPECT_EQ (gq_admit (&backlog, &d, second, 7, &decision), GQ_WAIT);
  EXPECT_GT (decision.wait_until_us, second);
  EXPECT_LT (decision.wait_until_us, second + d.target_us);
  backlog.waiting[d.rank] = 20;
  EXPECT_EQ (gq_admit (&backlog, &d, second, 7, &decision), GQ_REFUSE);
  EXPECT_GT (decision.retry_after_us, 0u);
}

// Guards against urgent requests being refused because non-urgent ones wait.
TEST (Gq, NonUrgentRequestsDoNotDelayUrgentOnes)
{
  gq_backlog backlog = {};
  backlog.slots = 10;
  backlog.service_us = 500000;
  backlog.waiting[gq_rank (false, 0, 3)] = 100;
  gq_demand d = demand (0);
  gq_decision decision = {};
  EXPECT_EQ (gq_admit (&backlog, &d, second, 7, &decision), GQ_WAIT);
}

// Guards against dropping a request that could be served a little late, and
// against a late request making others late.
TEST (Gq, LateRequestsWaitBehindOnTimeOnes)
{
  gq_backlog backlog = {};
  backlog.slots = 10;
  backlog.service_us = 500000;
  gq_demand d = demand (1);
  gq_decision decision = {};
  uint64_t now_us = d.arrived_us + d.target_us / 2;
  ASSERT_EQ (gq_admit (&backlog, &d, now_us, 7, &decision), GQ_WAIT_LATE);
  EXPECT_GT (decision.wait_until_us, now_us);
  EXPECT_LT (decision.wait_until_us, d.deadline_us);
  EXPECT_GT (gq_queue_rank (&d, GQ_WAIT_LATE), d.rank);
  EXPECT_LT (gq_queue_rank (&d, GQ_WAIT_LATE), demand (2).rank);
  // Once only: afterwards it is refused with a Retry-After.
  d.waited_as_late = true;
  EXPECT_EQ (gq_admit (&backlog, &d, now_us, 7, &decision), GQ_REFUSE);
  // A caller that would disconnect earlier is refused at once.
  d.waited_as_late = false;
  d.max_wait_us = d.target_us / 2;
  EXPECT_EQ (gq_admit (&backlog, &d, now_us, 7, &decision), GQ_REFUSE);
}

// The end of a burst: callers that were refused retry among new ones.  Guards
// against their late requests making the others late.
TEST (Gq, RetryingCallersDoNotDelayOthers)
{
  gq_backlog backlog = {};
  backlog.slots = 10;
  backlog.service_us = 500000;
  gq_demand retry = demand (1);
  retry.is_caller_retry = true;
  gq_decision decision = {};
  ASSERT_EQ (gq_admit (&backlog, &retry, second, 7, &decision), GQ_WAIT_LATE);
  backlog.waiting[gq_queue_rank (&retry, GQ_WAIT_LATE)] = 100;
  gq_demand fresh = demand (1);
  EXPECT_EQ (gq_admit (&backlog, &fresh, second, 7, &decision), GQ_WAIT);
  EXPECT_EQ (gq_admit (&backlog, &retry, second, 7, &decision), GQ_REFUSE);
}

// Guards against callers that all retry at the same time, during the burst in
// which they were refused.
TEST (Gq, ALateCallerRetriesAfterTheBurst)
{
  gq_backlog backlog = {};
  backlog.slots = 10;
  backlog.service_us = 500000;
  gq_demand d = demand (0);
  d.arrived_us = 0;
  d.target_us = second;
  d.deadline_us = 6 * second;
  d.waited_as_late = true;
  gq_decision decision = {};
  std::set<uint64_t> times;
  for (uint32_t random = 0; random < 1u << 31; random += 1u << 28)
    {
      ASSERT_EQ (gq_admit (&backlog, &d, second / 2, random, &decision),
                 GQ_REFUSE);
      times.insert (decision.retry_after_us);
      EXPECT_GT (decision.retry_after_us, second);
      EXPECT_LE (decision.retry_after_us, 11 * second / 6);
    }
  EXPECT_GT (times.size (), 4u);
  // One that can still be on time retries as soon as there may be room.
  d.target_us = 10 * second;
  d.deadline_us = 60 * second;
  ASSERT_EQ (gq_admit (&backlog, &d, 46 * second / 10, 0, &decision),
             GQ_REFUSE);
  EXPECT_LE (decision.retry_after_us, second);
}

// Requests wait at twelve VMs, an engine frees three of its slots, and all VMs
// receive the same report of it.  Guards against each VM filling all three.
TEST (Gq, FreedSlotsAreFilledOnce)
{
  const uint32_t vms = 12, slots = 7, running = 4;
  uint32_t sent = 0;
  for (uint64_t own = 1; own <= vms; own++)
    {
      Fleet fleet;
      ut_id a = fleet.add ("a", "west-a", "west", slots);
      ut_set_key (fleet.t, own);
      ut_row row = { ut_hash (ST_LIT ("a")), running, 0 };
      ut_report load = { 0, &row, 1 };
      ut_set_peer (fleet.t, 100, &load, second);
      for (uint64_t peer = 1; peer <= vms; peer++)
        {
          ut_report waiting = { 1u << demand (2).rank, nullptr, 0 };
          if (peer != own)
            ut_set_peer (fleet.t, peer, &waiting, second);
        }
      while (fleet.choose (demand (2)) == "a")
        {
          fleet.fill (a, 1);
          sent++;
        }
    }
  EXPECT_EQ (sent, slots - running);
}

// Guards against a VM leaving slots empty because less urgent requests wait at
// other VMs.
TEST (Gq, LessUrgentQueuesElsewhereReserveNothing)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  for (uint64_t peer = 1; peer <= 12; peer++)
    {
      ut_report waiting = { 1u << 3, nullptr, 0 };
      ut_set_peer (fleet.t, peer, &waiting, second);
    }
  for (int i = 0; i < 4; i++)
    {
      EXPECT_EQ (fleet.choose (demand (1)), "a");
      fleet.fill (a, 1);
    }
}
} // namespace
