#include "pf.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

struct Reply
{
  int count = 0;
  pf_result result = PF_OK;
  uint64_t revision = 0;
  std::string value;
  std::vector<std::string> keys;
  uint32_t vms = 0;
};

void
on_reply (const pf_reply *a, void *user)
{
  auto *out = static_cast<Reply *> (user);
  out->count++;
  out->result = a->result;
  out->revision = a->revision;
  out->value.assign (a->value.ptr != nullptr ? a->value.ptr : "",
                     a->value.len);
  for (uint32_t i = 0; i < a->event_count; i++)
    out->keys.emplace_back (a->events[i].key.ptr, a->events[i].key.len);
  out->vms = a->vm_count;
}

st_str
str (const char *text)
{
  return st_from_cstr (text);
}

class PfMemory : public testing::Test
{
protected:
  void
  SetUp () override
  {
    memory = pf_memory_make ();
    pf_desc desc = {};
    desc.driver = PF_MEMORY;
    desc.memory = memory;
    platform = pf_make (&desc, nullptr);
    ASSERT_NE (platform, nullptr);
  }

  void
  TearDown () override
  {
    pf_destroy (platform);
    pf_memory_destroy (memory);
  }

  Reply
  put (const char *key, const char *value, uint64_t prev)
  {
    Reply a;
    pf_put (platform, str (key), str (value), prev, on_reply, &a);
    await_reply (a);
    return a;
  }

  Reply
  get (const char *key)
  {
    Reply a;
    pf_get (platform, str (key), on_reply, &a);
    await_reply (a);
    return a;
  }

  void
  await_reply (const Reply &a)
  {
    for (int i = 0; i < 100 && a.count == 0; i++)
      {
        pf_memory_run (memory);
        ck_advance_us (pf_memory_clock (memory), 100 * CK_MS_US);
      }
    ASSERT_EQ (a.count, 1);
  }

  pf_memory *memory = nullptr;
  pf_platform *platform = nullptr;
};

} // namespace

// Guards against two concurrent writers that both receive PF_OK.
TEST_F (PfMemory, CompareAndSwapAcceptsOneWriter)
{
  Reply first = put ("a", "1", 0);
  EXPECT_EQ (first.result, PF_OK);
  EXPECT_EQ (put ("a", "2", 0).result, PF_CONFLICT);
  EXPECT_EQ (put ("a", "3", first.revision).result, PF_OK);
  EXPECT_EQ (put ("a", "4", first.revision).result, PF_CONFLICT);
  EXPECT_EQ (get ("a").value, "3");
}

// Guards against a callback that runs inside the call itself.
TEST_F (PfMemory, RepliesAreDeliveredByRunOnly)
{
  Reply a;
  pf_get (platform, str ("a"), on_reply, &a);
  EXPECT_EQ (a.count, 0);
  pf_memory_run (memory);
  EXPECT_EQ (a.count, 1);
  EXPECT_EQ (a.result, PF_NOT_FOUND);
}

// Guards against a lost reply that is reported as a failure, which would
// make the caller write a second time.
TEST_F (PfMemory, LostReplyIsUnknownAndTookEffect)
{
  pf_memory_faults (memory)->lose_answer = 1;
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN);
  EXPECT_EQ (get ("a").value, "1");
}

// Guards against a write that takes effect although it ends PF_UNAVAILABLE.
TEST_F (PfMemory, OutageHasNoEffect)
{
  pf_memory_faults (memory)->outage = true;
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNAVAILABLE);
  pf_memory_faults (memory)->outage = false;
  EXPECT_EQ (get ("a").result, PF_NOT_FOUND);
}

// Guards against a holder that renews its lease after it lapsed, and against
// a fencing number that does not increase.
TEST_F (PfMemory, LapsedLeaseGetsNewHolderAndHigherFence)
{
  Reply a;
  Reply b;
  Reply c;
  Reply renew;
  pf_lease_acquire (platform, str ("l"), str ("one"), 1000, on_reply, &a);
  await_reply (a);
  EXPECT_EQ (a.result, PF_OK);
  pf_lease_acquire (platform, str ("l"), str ("two"), 1000, on_reply, &b);
  await_reply (b);
  EXPECT_EQ (b.result, PF_CONFLICT);
  pf_memory_lapse_lease (memory, str ("l"));
  pf_lease_acquire (platform, str ("l"), str ("two"), 1000, on_reply, &c);
  await_reply (c);
  EXPECT_EQ (c.result, PF_OK);
  EXPECT_GT (c.revision, a.revision);
  pf_lease_renew (platform, str ("l"), str ("one"), a.revision, 1000, on_reply,
                  &renew);
  await_reply (renew);
  EXPECT_EQ (renew.result, PF_CONFLICT);
}

// Guards against a change that is missed because it was made while the watch
// was down.
TEST_F (PfMemory, WatchMissesNothingAcrossAnOutage)
{
  Reply w;
  pf_watch (platform, str ("s/"), 0, on_reply, &w);
  put ("s/a", "1", 0);
  pf_memory_run (memory);
  ASSERT_EQ (w.keys, std::vector<std::string>{ "s/a" });
  pf_memory_faults (memory)->outage = true;
  pf_memory_run (memory);
  EXPECT_EQ (w.result, PF_UNAVAILABLE);
  int callbacks = w.count;
  for (int i = 0; i < 100; i++)
    {
      ck_advance_us (pf_memory_clock (memory), 100 * CK_MS_US);
      pf_memory_run (memory);
    }
  EXPECT_EQ (w.count, callbacks) << "an outage is reported once";
  pf_memory_faults (memory)->outage = false;
  put ("s/b", "1", 0);
  put ("other", "1", 0);
  for (int i = 0; i < 100; i++)
    {
      ck_advance_us (pf_memory_clock (memory), 100 * CK_MS_US);
      pf_memory_run (memory);
    }
  EXPECT_EQ (w.result, PF_OK);
  EXPECT_EQ (w.keys, (std::vector<std::string>{ "s/a", "s/b" }));
}

// Guards against a callback after pf_unwatch, also from inside a callback.
TEST_F (PfMemory, UnwatchStopsCallbacks)
{
  struct Stop
  {
    pf_platform *p;
    uint64_t id;
    int count;
  } stop = { platform, 0, 0 };
  stop.id = pf_watch (
      platform, str (""), 0,
      [] (const pf_reply *, void *user) {
        auto *s = static_cast<Stop *> (user);
        s->count++;
        pf_unwatch (s->p, s->id);
      },
      &stop);
  put ("a", "1", 0);
  put ("b", "1", 0);
  pf_memory_run (memory);
  EXPECT_EQ (stop.count, 1);
}

// Guards against a VM list that contains changes before its lag has passed.
TEST_F (PfMemory, VmListLags)
{
  pf_vm vm = {};
  vm.name = str ("e1");
  ck_advance_us (pf_memory_clock (memory), 10 * CK_S_US);
  pf_memory_set_vms (memory, &vm, 1);
  pf_memory_faults (memory)->list_lag_us = 2 * CK_S_US;
  Reply before;
  pf_vm_list (platform, on_reply, &before);
  pf_memory_run (memory);
  EXPECT_EQ (before.vms, 0u);
  ck_advance_us (pf_memory_clock (memory), 2 * CK_S_US);
  Reply after;
  pf_vm_list (platform, on_reply, &after);
  pf_memory_run (memory);
  EXPECT_EQ (after.vms, 1u);
}

// Guards against calls that are missing from the counts.
TEST_F (PfMemory, CountsEveryCallByKind)
{
  uint64_t counts[PF_CALLS];
  put ("a", "1", 0);
  put ("a", "1", 0);
  get ("a");
  pf_query_counts (platform, counts);
  EXPECT_EQ (counts[PF_PUT], 2u);
  EXPECT_EQ (counts[PF_GET], 1u);
  EXPECT_EQ (counts[PF_WATCH], 0u);
}
