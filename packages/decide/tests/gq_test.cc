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
  d.rank = tier;
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
  EXPECT_EQ (gq_rank (false, 0, 2), 2u);
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

// Guards against an engine getting more than it can start: what waits there
// cannot be put in order any more.
TEST (Gq, SendsNoMoreThanTheSlots)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  fleet.fill (a, 4);
  EXPECT_EQ (fleet.place (demand (1)), "");
  EXPECT_EQ (fleet.place (demand (1, false)), "");
  EXPECT_EQ (fleet.place (demand (0)), "a");
  fleet.fill (a, 1);
  EXPECT_EQ (fleet.place (demand (0)), "");
}

// Guards against patient work taking the slot that an urgent request needs.
TEST (Gq, KeepsASlotFreeOfTheLowestTiers)
{
  Fleet fleet;
  ut_id a = fleet.add ("a");
  fleet.fill (a, 3);
  EXPECT_EQ (fleet.place (demand (2)), "");
  EXPECT_EQ (fleet.place (demand (1)), "a");
  gq_demand begun = demand (2);
  begun.begun = true;
  EXPECT_EQ (fleet.place (begun), "a");
  gq_demand elsewhere = demand (1);
  elsewhere.urgent_elsewhere = true;
  EXPECT_EQ (fleet.place (elsewhere), "");
}

// Guards against load of other VMs being ignored.
TEST (Gq, CountsWhatOtherVmsHave)
{
  Fleet fleet;
  fleet.add ("a");
  fleet.add ("b");
  ut_row row = { ut_hash (ST_LIT ("a")), 4, 0 };
  ut_set_peer (fleet.t, 1, &row, 1, second);
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
  backlog.waiting[1] = 20;
  EXPECT_EQ (gq_admit (&backlog, &d, second, 7, &decision), GQ_REFUSE);
  EXPECT_GT (decision.retry_after_us, 0u);
}

// Guards against urgent requests being refused because patient ones wait.
TEST (Gq, PatientRequestsDoNotCountForUrgentOnes)
{
  gq_backlog backlog = {};
  backlog.slots = 10;
  backlog.service_us = 500000;
  backlog.waiting[3] = 100;
  gq_demand d = demand (0);
  gq_decision decision = {};
  EXPECT_EQ (gq_admit (&backlog, &d, second, 7, &decision), GQ_WAIT);
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
} // namespace
