#include "ro.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{
st_str
S (const char *text)
{
  return st_from_cstr (text);
}

ro_state
running (uint64_t fence, uint32_t step, uint16_t share)
{
  ro_state s
      = ro_start_state (S ("drafts"), S ("v1"), S ("v2"), 600000, nullptr);
  s.fence = fence;
  s.step = step;
  s.share_step = step;
  s.phase = RO_RUNNING;
  s.share_permille = share;
  s.share_high_permille = share;
  return s;
}

struct Follower
{
  ro_follower *f;
  Follower ()
  {
    ro_follower_desc desc = {};
    f = ro_make_follower (&desc);
  }
  ~Follower () { ro_destroy_follower (f); }
  bool
  picks_new (const char *route, ev_load load = EV_LOAD_LOW,
             uint64_t wall_ms = 0)
  {
    return ro_choose (f, S ("drafts"), S (route), load, wall_ms).new_version;
  }
};
}

// Guards against a traffic share that drifts, on one VM or over 9 VMs, also at
// low traffic.
TEST (Ro, ShareIsExactPerRouteAndOverVms)
{
  std::vector<Follower> vms (9);
  for (uint16_t share : { 10, 20, 50, 250 })
    {
      for (uint32_t i = 0; i < 9; i++)
        {
          ro_set_position (vms[i].f, i, 9);
          ro_state s = running (1, share, share);
          ASSERT_EQ (ro_apply_state (vms[i].f, &s), RO_APPLIED);
        }
      for (const char *route : { "a", "b" })
        {
          int chosen = 0;
          for (int n = 1; n <= 9000; n++)
            {
              chosen += vms[n % 9].picks_new (route);
              ASSERT_LE (chosen, n * share / 1000.0 + 2) << route << n;
              ASSERT_GE (chosen, n * share / 1000.0 - 2) << route << n;
            }
        }
    }
}

// Guards against an older state that replaces a newer one.
TEST (Ro, OlderStateNeverReplacesNewer)
{
  Follower vm;
  ro_state newer = running (2, 5, 20);
  ro_state older_fence = running (1, 9, 500);
  ro_state older_step = running (2, 4, 500);
  EXPECT_EQ (ro_apply_state (vm.f, &newer), RO_APPLIED);
  EXPECT_EQ (ro_apply_state (vm.f, &older_fence), RO_OLDER);
  EXPECT_EQ (ro_apply_state (vm.f, &older_step), RO_OLDER);
  EXPECT_EQ (ro_apply_state (vm.f, &newer), RO_OLDER);
  ro_state stored;
  ASSERT_TRUE (ro_query_state (vm.f, S ("drafts"), &stored));
  EXPECT_EQ (stored.share_permille, 20);
}

// Guards against a dispatch to a halted version, whatever states arrive later,
// and against a halt that is lost when the table is full.
TEST (Ro, HaltedVersionIsNeverChosen)
{
  Follower vm;
  ro_state s = running (1, 1, 500);
  ro_apply_state (vm.f, &s);
  EXPECT_TRUE (ro_halt (vm.f, S ("drafts"), S ("v2")));
  EXPECT_FALSE (ro_halt (vm.f, S ("drafts"), S ("v2")));
  for (uint32_t step = 2; step < 9; step++)
    {
      s = running (step, step, 1000);
      s.phase = step % 2 == 0 ? RO_RUNNING : RO_DONE;
      ro_apply_state (vm.f, &s);
      for (int i = 0; i < 100; i++)
        {
          ro_choice c
              = ro_choose (vm.f, S ("drafts"), S ("a"), EV_LOAD_LOW, i);
          ASSERT_FALSE (c.new_version);
          ASSERT_TRUE (st_equal_cstr (st_name_str (&c.version), "v1"));
        }
    }
  for (int i = 0; i < 40; i++)
    ro_halt (vm.f, S ("drafts"), S (("w" + std::to_string (i)).c_str ()));
  EXPECT_TRUE (ro_query_halted (vm.f, S ("drafts"), S ("v2")));
  s = running (20, 20, 1000);
  st_name_set (&s.to, S ("w39"));
  ro_apply_state (vm.f, &s);
  EXPECT_FALSE (vm.picks_new ("a"));
}

// Guards against a rolled-back version that stays in use on a VM that receives
// the rollback only in a state older than its own.
TEST (Ro, RolledBackStateHaltsItsVersion)
{
  Follower vm;
  ro_state s = running (3, 9, 500);
  ro_apply_state (vm.f, &s);
  ro_state rolled_back = running (2, 4, 0);
  rolled_back.phase = RO_ROLLED_BACK;
  EXPECT_EQ (ro_apply_state (vm.f, &rolled_back), RO_OLDER);
  EXPECT_TRUE (ro_query_halted (vm.f, S ("drafts"), S ("v2")));
  EXPECT_FALSE (vm.picks_new ("a"));
}

// Guards against full exposure at a load level that was never tested.
TEST (Ro, HighLoadHasItsOwnShare)
{
  Follower vm;
  ro_state s = running (1, 1, 1000);
  s.share_high_permille = 20;
  s.phase = RO_DONE;
  s.watch_until_ms = 1000;
  ro_apply_state (vm.f, &s);
  int low = 0;
  int high = 0;
  for (int i = 0; i < 1000; i++)
    {
      low += vm.picks_new ("a", EV_LOAD_LOW);
      high += vm.picks_new ("a", EV_LOAD_HIGH);
    }
  EXPECT_NEAR (low, 950, 1);
  EXPECT_NEAR (high, 20, 1);
  for (int i = 0; i < 1000; i++)
    ASSERT_TRUE (vm.picks_new ("a", EV_LOAD_HIGH, 1000));
}

namespace
{
struct Controller
{
  ro_controller *c;
  ro_inputs in = {};
  Controller ()
  {
    ro_controller_desc desc = {};
    st_name_set (&desc.service, S ("drafts"));
    c = ro_make_controller (&desc);
    in.now_us = 1000000;
    in.candidate = true;
    in.store_ok = true;
    in.lease_held = true;
    in.fence = 5;
    in.lease_until_us = 100000000000;
    in.loaded_permille = 1000;
  }
  ~Controller () { ro_destroy_controller (c); }
};
}

// Guards against a raised share that an earlier lease holder still has in
// flight: the first write under a new lease claims the record and changes its
// revision.
TEST (Ro, FirstWriteUnderALeaseIsAClaim)
{
  Controller k;
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_READ_STATE);
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_NOTHING);
  ro_state s = running (4, 7, 20);
  ro_on_state (k.c, &s, 33);
  ro_action a = ro_tick (k.c, &k.in);
  ASSERT_EQ (a.kind, RO_WRITE_STATE);
  EXPECT_EQ (a.expected_revision, 33u);
  EXPECT_EQ (a.state.fence, 5u);
  EXPECT_EQ (a.state.step, 8u);
  EXPECT_EQ (a.state.share_step, 7u);
  EXPECT_EQ (a.state.share_permille, 20);
}

// Guards against a step that is decided on a state which a write without a
// reply may have changed.
TEST (Ro, WriteWithoutReplyIsReadBack)
{
  Controller k;
  ro_tick (k.c, &k.in);
  ro_state s = running (4, 7, 20);
  ro_on_state (k.c, &s, 33);
  ASSERT_EQ (ro_tick (k.c, &k.in).kind, RO_WRITE_STATE);
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_NOTHING);
  ro_on_write (k.c, RO_WRITE_RESULT_LOST, 0);
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_READ_STATE);
  ro_on_read_failed (k.c);
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_READ_STATE);
}

// Guards against a write by a lease holder whose lease has ended, is about to
// end, or is older than the record's.
TEST (Ro, NoWriteWithoutALease)
{
  Controller k;
  ro_tick (k.c, &k.in);
  ro_state s = running (4, 7, 20);
  ro_on_state (k.c, &s, 33);
  k.in.lease_until_us = k.in.now_us + 100;
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_RENEW_LEASE);
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_NOTHING);
  k.in.lease_until_us = k.in.now_us;
  k.in.now_us += 1000000;
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_ACQUIRE_LEASE);
  k.in.lease_until_us = 100000000000;
  k.in.fence = 3;
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_NOTHING);
}

// Guards against a halt that waits for the store or the lease.
TEST (Ro, HaltIsBroadcastInAStoreOutage)
{
  Controller k;
  ro_tick (k.c, &k.in);
  ro_state s = running (5, 7, 20);
  ro_on_state (k.c, &s, 33);
  k.in.store_ok = false;
  k.in.lease_held = false;
  k.in.halted = true;
  k.in.halt_reason.kind = RO_REASON_FAILURE;
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_BROADCAST_HALT);
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_NOTHING);
  k.in.store_ok = true;
  k.in.lease_held = true;
  ro_action a = ro_tick (k.c, &k.in);
  ASSERT_EQ (a.kind, RO_WRITE_STATE);
  EXPECT_EQ (a.state.phase, RO_ROLLED_BACK);
  EXPECT_EQ (a.state.reason.kind, RO_REASON_FAILURE);
  ro_on_write (k.c, RO_WRITE_RESULT_OK, 34);
  k.in.now_us += 10000000;
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_NOTHING);
}

// Guards against a rollout that never ends when its weights are loaded too
// late.
TEST (Ro, RolledBackWhenTheDeadlineCannotBeMet)
{
  Controller k;
  ro_tick (k.c, &k.in);
  ro_state s
      = ro_start_state (S ("drafts"), S ("v1"), S ("v2"), 600000, nullptr);
  s.fence = 5;
  ro_on_state (k.c, &s, 33);
  k.in.loaded_permille = 0;
  ro_load_order order = {};
  order.engine = 3;
  st_name_set (&order.version, S ("v2"));
  k.in.load = &order;
  ro_action a = ro_tick (k.c, &k.in);
  ASSERT_EQ (a.kind, RO_ORDER_LOAD);
  EXPECT_EQ (a.fence, 5u);
  k.in.load = nullptr;
  EXPECT_EQ (ro_tick (k.c, &k.in).kind, RO_NOTHING);
  k.in.wall_ms = 595000;
  a = ro_tick (k.c, &k.in);
  ASSERT_EQ (a.kind, RO_WRITE_STATE);
  EXPECT_EQ (a.state.phase, RO_ROLLED_BACK);
  EXPECT_EQ (a.state.reason.kind, RO_REASON_DEADLINE);
}
