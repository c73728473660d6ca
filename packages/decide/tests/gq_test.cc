#include "gq.h"

#include <gtest/gtest.h>
#include <set>
#include <string>

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
      ut_begin (t, id, 0);
  }
  std::string
  place (const gq_demand &demand, uint32_t random = 1)
  {
    ut_id id = gq_place (t, ST_LIT ("llm"), &demand, second, random);
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

// Guards against teams' tiers and routes' tiers being mixed up: a team's goes
// first, and a route without a team's tier keeps its own.
TEST (Gq, TeamTierGoesBeforeRouteTier)
{
  EXPECT_EQ (gq_rank (false, 0, 2), 4u);
  EXPECT_LT (gq_rank (true, 0, 2), gq_rank (true, 1, 0));
  EXPECT_LT (gq_rank (true, 1, 0), gq_rank (true, 1, 1));
  EXPECT_LT (gq_rank (true, 9, 9), (uint32_t)GQ_RANKS);
}

// Guards against the fault in which all of a team's requests waited in one
// line and drafts were refused beside running chats.
TEST (Gq, RoutesOfOneTeamKeepTheirOrder)
{
  EXPECT_NE (gq_rank (true, 1, 0), gq_rank (true, 1, 2));
}

// Guards against an engine getting more than it can start soon: what waits
// there cannot be put in order any more.  Urgent tiers have a few places more,
// without which slots stay idle until their end is seen here.
TEST (Gq, SendsNoMoreThanAnEngineCanStart)
{
  const uint32_t most[] = { 7, 6, 4, 4 };
  for (uint32_t tier = 0; tier < 4; tier++)
    {
      Fleet fleet;
      ut_id a = fleet.add ("a");
      uint32_t sent = 0;
      for (; fleet.place (demand (tier)) == "a"; sent++)
        fleet.fill (a, 1);
      EXPECT_EQ (sent, most[tier]);
    }
  Fleet fleet;
  ut_id a = fleet.add ("a");
  fleet.fill (a, 4);
  EXPECT_EQ (fleet.place (demand (1, false)), "");
}

// Guards against patient work taking the place that an urgent request needs,
// here or at another VM.
TEST (Gq, KeepsAPlaceFreeOfTheLowestTiers)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  fleet.fill (a, 4);
  EXPECT_EQ (fleet.place (demand (2)), "");
  EXPECT_EQ (fleet.place (demand (1)), "a");
  fleet.fill (a, 1);
  gq_demand elsewhere = demand (1);
  elsewhere.urgent_elsewhere = true;
  EXPECT_EQ (fleet.place (elsewhere), "");
  EXPECT_EQ (fleet.place (demand (1)), "a");
  EXPECT_EQ (fleet.place (demand (0)), "a");
}

// Guards against a stream that has made room being broken off because requests
// of the next tier up fill every engine beyond its slots, up to their limit.
TEST (Gq, ABegunStreamFindsThePlacesOfTheNextTierUp)
{
  for (uint32_t tier = 1; tier < 4; tier++)
    {
      Fleet fleet;
      ut_id a = fleet.add ("a");
      gq_demand begun = demand (tier);
      begun.begun = true;
      while (fleet.place (demand (tier - 1)) == "a")
        {
          EXPECT_EQ (fleet.place (begun), "a") << "tier " << tier;
          fleet.fill (a, 1);
        }
    }
}

// Where the loads of other VMs come late and slots are dealt out, one slot is
// kept free.
TEST (Gq, KeepsASlotFreeOfTheLowestTiersInSeveralCells)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_assign (fleet.t, nullptr, 0, false);
  ut_row row = { ut_hash (ST_LIT ("a")), 1, 0 };
  ut_report load = { 0, &row, 1 };
  ut_set_peer (fleet.t, 1, &load, second);
  fleet.fill (a, 3);
  gq_demand patient = demand (2);
  gq_demand urgent = demand (1);
  patient.several_cells = true;
  urgent.several_cells = true;
  EXPECT_EQ (fleet.place (patient), "");
  EXPECT_EQ (fleet.place (urgent), "a");
  patient.begun = true;
  EXPECT_EQ (fleet.place (patient), "a");
  urgent.urgent_elsewhere = true;
  EXPECT_EQ (fleet.place (urgent), "");
}

// Guards against load of other VMs being ignored.
TEST (Gq, CountsWhatOtherVmsHave)
{
  Fleet fleet;
  fleet.add ("a");
  fleet.add ("b");
  ut_row row = { ut_hash (ST_LIT ("a")), 4, 0 };
  ut_report report = { 0, &row, 1 };
  ut_set_peer (fleet.t, 1, &report, second);
  for (uint32_t random = 0; random < 50; random++)
    EXPECT_EQ (fleet.place (demand (1), random), "b");
}

TEST (Gq, PrefersTheFasterAndTheNearer)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_id b = fleet.add ("b");
  ut_pace (fleet.t, a, 30000);
  ut_pace (fleet.t, b, 10000);
  EXPECT_EQ (fleet.place (demand (1)), "b");
  Fleet far;
  ut_id near_id = far.add ("near");
  ut_id far_id = far.add ("far", "east-a", "east");
  ut_pace (far.t, near_id, 10000);
  ut_pace (far.t, far_id, 10000);
  EXPECT_EQ (far.place (demand (1)), "near");
}

// Guards against long prompts piling up at one engine: each delays every
// stream beside it.
TEST (Gq, SpreadsUnreadPrompts)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_id b = fleet.add ("b");
  ut_pace (fleet.t, a, 10000);
  ut_pace (fleet.t, b, 10000);
  ut_begin (fleet.t, a, 30000);
  ut_begin (fleet.t, b, 100);
  ut_begin (fleet.t, b, 100);
  EXPECT_EQ (fleet.place (demand (1)), "b");
}

// Guards against sending to one that fails what it gets while it calls itself
// healthy.
TEST (Gq, LeavesFailingUpstreamsAside)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  fleet.add ("b");
  for (int i = 0; i < 10; i++)
    {
      ut_begin (fleet.t, a, 0);
      ut_end (fleet.t, a, 0, UT_FAILED, second);
    }
  for (uint32_t random = 0; random < 50; random++)
    EXPECT_EQ (fleet.place (demand (1), random), "b");
}

// Guards against new work for an upstream that leaves or serves another
// service.
TEST (Gq, NeverSendsToOneThatLeaves)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_entry e = ut_query (fleet.t, a)->entry;
  e.leaving = true;
  ut_put (fleet.t, &e, second);
  EXPECT_EQ (fleet.place (demand (0)), "");
  gq_demand d = demand (0);
  EXPECT_EQ (gq_place (fleet.t, ST_LIT ("orders"), &d, 0, 1).generation, 0u);
}

// Guards against a repeat going back to the upstream that just failed it, and
// against waiting for ever for another when there is none.
TEST (Gq, RepeatsGoElsewhere)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  ut_id b = fleet.add ("b");
  gq_demand d = demand (1);
  d.tried[d.tried_count++] = a;
  EXPECT_EQ (fleet.place (d), "b");
  ut_avoid (fleet.t, b, 2 * second);
  EXPECT_EQ (fleet.place (d), "b");
}

// Guards against callers being held in vain: one whose turn would come too
// late is refused at once, with a time to come back.
TEST (Gq, RefusesWhatCannotBeInTime)
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

// Guards against urgent requests being refused because patient ones wait.
TEST (Gq, PatientRequestsDoNotCountForUrgentOnes)
{
  gq_backlog backlog = {};
  backlog.slots = 10;
  backlog.service_us = 500000;
  backlog.waiting[gq_rank (false, 0, 3)] = 100;
  gq_demand d = demand (0);
  gq_decision decision = {};
  EXPECT_EQ (gq_admit (&backlog, &d, second, 7, &decision), GQ_WAIT);
}

// Guards against a request being dropped that is served a little late if it
// waits on, and against one that waits late making others late.
TEST (Gq, WaitsLateBehindWhatCanBeOnTime)
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
  EXPECT_GT (gq_rank_in (&d, GQ_WAIT_LATE), d.rank);
  EXPECT_LT (gq_rank_in (&d, GQ_WAIT_LATE), demand (2).rank);
  // Once only: its caller is told to come back then.
  d.waited_late = true;
  EXPECT_EQ (gq_admit (&backlog, &d, now_us, 7, &decision), GQ_REFUSE);
  // A caller that leaves before is not held in vain.
  d.waited_late = false;
  d.pause_us = d.target_us / 2;
  EXPECT_EQ (gq_admit (&backlog, &d, now_us, 7, &decision), GQ_REFUSE);
}

// Replays the end of a burst: callers that were refused come back among new
// ones.  Guards against their late answers making those of the others late.
TEST (Gq, CallersThatComeBackDoNotDelayOthers)
{
  gq_backlog backlog = {};
  backlog.slots = 10;
  backlog.service_us = 500000;
  gq_demand back = demand (1);
  back.returned = true;
  gq_decision decision = {};
  ASSERT_EQ (gq_admit (&backlog, &back, second, 7, &decision), GQ_WAIT_LATE);
  backlog.waiting[gq_rank_in (&back, GQ_WAIT_LATE)] = 100;
  gq_demand fresh = demand (1);
  EXPECT_EQ (gq_admit (&backlog, &fresh, second, 7, &decision), GQ_WAIT);
  EXPECT_EQ (gq_admit (&backlog, &back, second, 7, &decision), GQ_REFUSE);
}

// Guards against callers that come back into the burst that they were refused
// in, all at the same time.
TEST (Gq, ACallerThatWillBeLateComesBackWhenTheBurstHasGone)
{
  gq_backlog backlog = {};
  backlog.slots = 10;
  backlog.service_us = 500000;
  gq_demand d = demand (0);
  d.arrived_us = 0;
  d.target_us = second;
  d.deadline_us = 6 * second;
  d.waited_late = true;
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
  // One that can be on time yet comes back as soon as there may be room.
  d.target_us = 10 * second;
  d.deadline_us = 60 * second;
  ASSERT_EQ (gq_admit (&backlog, &d, 46 * second / 10, 0, &decision),
             GQ_REFUSE);
  EXPECT_LE (decision.retry_after_us, second);
}

// Replays the herd of a burst: requests wait at twelve VMs, an engine frees
// three of its slots, and all VMs hear of it in the same report.  Guards
// against each of them filling the three slots.
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
          ut_report waits = { 1u << demand (2).rank, nullptr, 0 };
          if (peer != own)
            ut_set_peer (fleet.t, peer, &waits, second);
        }
      while (fleet.place (demand (2)) == "a")
        {
          fleet.fill (a, 1);
          sent++;
        }
    }
  EXPECT_EQ (sent, slots - running);
}

// Guards against a VM leaving slots empty because others have requests that
// it would not have to let go first.
TEST (Gq, LessUrgentQueuesElsewhereTakeNothingAway)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  for (uint64_t peer = 1; peer <= 12; peer++)
    {
      ut_report waits = { 1u << 3, nullptr, 0 };
      ut_set_peer (fleet.t, peer, &waits, second);
    }
  for (int i = 0; i < 4; i++)
    {
      EXPECT_EQ (fleet.place (demand (1)), "a");
      fleet.fill (a, 1);
    }
}
} // namespace
