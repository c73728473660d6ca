// el_test.cc -- home regions and the budget of cold upstreams, on a paused
// clock.
#include "el.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace
{
const uint64_t ms = 1000;
const uint64_t second = 1000 * ms;
// The platform's bound on a cold upstream in any second.
const double per_s = 9.8, over = 1.5, slack = 5;

// Guards against a route whose regions bind and a team whose regions do not,
// or the other way round.
TEST (El, RegionsOfRouteAndTeam)
{
  const st_str west = ST_LIT ("west"), east = ST_LIT ("east");
  const st_str both[] = { west, east };
  el_regions only_west = { &west, 1 }, only_east = { &east, 1 };
  el_regions all = { nullptr, 0 }, two = { both, 2 };
  EXPECT_TRUE (el_allows_region (nullptr, west));
  EXPECT_TRUE (el_allows_region (&all, east));
  EXPECT_TRUE (el_allows_region (&only_west, west));
  EXPECT_FALSE (el_allows_region (&only_west, east));
  EXPECT_FALSE (el_allows_region (&only_west, ST_LIT ("")));
  EXPECT_TRUE (el_is_disjoint (&only_west, &only_east));
  EXPECT_FALSE (el_is_disjoint (&only_west, &two));
  EXPECT_FALSE (el_is_disjoint (&only_west, &all));
  EXPECT_FALSE (el_is_disjoint (&only_west, nullptr));
}

// Guards against an upstream that stays limited after its cold start, and one
// whose word is overtaken by an order.
TEST (El, OnlyColdUpstreamsAreLimited)
{
  el_cold cold = {};
  el_sends sends = {};
  cold.per_s = per_s;
  cold.until_us = 3 * second;
  EXPECT_FALSE (el_cold_allows (&cold, &sends, second)); // no share
  EXPECT_TRUE (el_cold_allows (&cold, &sends, 3 * second));
  cold.held_us = 5 * second;
  EXPECT_FALSE (el_cold_allows (&cold, &sends, 4 * second));
  cold.per_s = 0;
  EXPECT_TRUE (el_cold_allows (&cold, &sends, second));
}

// Guards against a share that can be used twice within a second.
TEST (El, AShareIsUsedOnceInAnInterval)
{
  el_cold cold = {};
  el_sends sends = {};
  cold.per_s = per_s;
  cold.until_us = UINT64_MAX;
  cold.share = 3;
  std::vector<uint64_t> sent;
  for (uint64_t now = second; now < 60 * second; now += 7 * ms)
    if (el_cold_allows (&cold, &sends, now))
      {
        el_on_sent (&sends, now);
        sent.push_back (now);
      }
  EXPECT_GT (sent.size (), 150u);
  for (size_t i = 3; i < sent.size (); i++)
    EXPECT_GT (sent[i] - sent[i - 3], second);
}

// VMs that all send to one cold or limited upstream whenever they may, while
// the network between them is cut and processes restart.
class Cold
{
public:
  // LIMIT_PER_S: the limit that the upstream names; 0: it is cold.
  Cold (uint32_t vms, uint32_t active, uint64_t seed, double limit_per_s = 0)
      : random_ (seed), active_ (active), limit_per_s_ (limit_per_s),
        vms_ (vms)
  {
    for (Vm &vm : vms_)
      {
        vm.cold.per_s = per_s;
        vm.cold.until_us = UINT64_MAX;
        vm.limit.named = true;
      }
  }
  // Returns the most requests in any SPAN.  PARTS: sides of the partition;
  // as many as VMs: each VM is alone.
  size_t
  run (uint32_t parts, uint64_t span = second)
  {
    std::vector<uint64_t> sent;
    for (uint64_t now = second; now < 50 * second; now += 10 * ms)
      {
        if (now % (400 * ms) == 0)
          view (now, now > 10 * second && now < 35 * second ? parts : 1);
        if (now % (100 * ms) == 0)
          restart_one (now);
        for (Vm &vm : vms_)
          if (allows (vm, now))
            {
              el_on_sent (&vm.sends, now);
              sent.push_back (now);
            }
      }
    size_t most = 0, from = 0;
    for (size_t i = 0; i < sent.size (); i++)
      {
        while (sent[i] - sent[from] >= span)
          from++;
        most = std::max (most, i - from + 1);
      }
    total = sent.size ();
    return most;
  }
  size_t total = 0;

private:
  struct Vm
  {
    el_fleet fleet = {};
    el_cold cold = {};
    el_limit limit = {};
    el_sends sends = {};
    uint64_t started_us = 0;
    bool fresh = true;
  };
  std::mt19937_64 random_;
  uint32_t active_;
  double limit_per_s_;
  std::vector<Vm> vms_;

  bool
  allows (const Vm &vm, uint64_t now) const
  {
    return limit_per_s_ > 0 ? el_limit_allows (&vm.limit, &vm.sends, now)
                            : el_cold_allows (&vm.cold, &vm.sends, now);
  }

  // Each VM sees those of its side; the first ones of a side are active.  A
  // process that has just started sees the list of the store.
  void
  view (uint64_t now, uint32_t parts)
  {
    for (uint32_t i = 0; i < vms_.size (); i++)
      {
        std::vector<uint64_t> others;
        uint32_t active = 0;
        bool self = false;
        uint32_t sides = vms_[i].fresh ? 1 : parts;
        for (uint32_t j = 0; j < vms_.size () && active < active_; j++)
          if (j % sides == i % sides)
            {
              active++;
              if (j == i)
                self = true;
              else
                others.push_back (1000 + j);
            }
        Vm &vm = vms_[i];
        vm.fresh = false;
        el_update_fleet (&vm.fleet, self, others.data (),
                         (uint32_t)others.size (), now);
        vm.cold.share = el_share (&vm.fleet, 1000 + i, 77, per_s);
        vm.limit.named = true;
        vm.limit.per_s = limit_per_s_;
        vm.limit.stated_us = now;
        vm.limit.share
            = el_limit_share (&vm.fleet, 1000 + i, 77, limit_per_s_);
      }
  }
  void
  restart_one (uint64_t now)
  {
    Vm &vm = vms_[random_ () % vms_.size ()];
    if (random_ () % 20 != 0)
      return;
    el_cold cold = vm.cold;
    vm = {};
    vm.cold.per_s = cold.per_s;
    vm.cold.until_us = cold.until_us;
    vm.cold.from_us = el_first_send_us (now);
    vm.limit.named = true;
    vm.limit.from_us = el_first_limited_us (now);
    // Without a view it has no configuration and sends nothing.
  }
};

// Guards against a cold upstream that gets more than it bears from all VMs
// together, while these are cut off from each other and restart.
TEST (El, AllVmsTogetherKeepTheBoundOfAColdUpstream)
{
  for (uint32_t vms : { 2u, 6u, 60u, 195u })
    for (uint64_t seed = 1; seed <= 5; seed++)
      for (uint32_t parts : { 1u, 2u, 3u, vms })
        {
          Cold cold (vms, std::min (vms, 12u), seed);
          EXPECT_LE (cold.run (parts), per_s * over + slack)
              << vms << " VMs in " << parts << " parts, seed " << seed;
          // It is not starved either.
          EXPECT_GT (cold.total, 100u) << vms << " VMs in " << parts;
        }
}

// Two sides of a partition of 62 VMs, of which 12 are active; each side makes
// VMs active in place of those that it does not hear.
class Sides
{
public:
  // SHARE of the VMs is on the second side.
  explicit Sides (double share, uint64_t seed) : vms_ (62)
  {
    std::mt19937_64 random (seed);
    for (Vm &vm : vms_)
      vm.second = (double)(random () % 1000) < 1000 * share;
    for (uint64_t now = second; now < 5 * second; now += 400 * ms)
      view (now, false);
  }
  // What all sides may spend together, of the quotas.
  double
  sum (uint64_t from, uint64_t to, bool cut)
  {
    double most = 0;
    for (uint64_t now = from; now < to; now += 400 * ms)
      {
        view (now, cut);
        double part[2] = { 0, 0 };
        for (const Vm &vm : vms_)
          part[vm.second]
              = std::max (part[vm.second], 1 - el_silent_part (&vm.fleet));
        most = std::max (most, cut ? part[0] + part[1]
                                   : std::max (part[0], part[1]));
      }
    return most;
  }

private:
  struct Vm
  {
    el_fleet fleet = {};
    bool second = false;
  };
  std::vector<Vm> vms_;

  void
  view (uint64_t now, bool cut)
  {
    for (size_t i = 0; i < vms_.size (); i++)
      {
        std::vector<uint64_t> others;
        uint32_t active = 0;
        bool self = false;
        for (size_t j = 0; j < vms_.size (); j++)
          if (!cut || vms_[j].second == vms_[i].second)
            {
              if (active++ >= 12)
                el_forget_vm (&vms_[i].fleet, 1000 + j);
              else if (j == i)
                self = true;
              else
                others.push_back (1000 + j);
            }
        el_update_fleet (&vms_[i].fleet, self, others.data (),
                         (uint32_t)others.size (), now);
      }
  }
};

// Guards against a side that takes the part of the other one because it has
// made VMs active in its place, and against parts that stay withheld after the
// partition.
TEST (El, TheSidesOfAPartitionDivideTheQuotas)
{
  for (double share : { 0.1, 0.35, 0.5, 0.8 })
    for (uint64_t seed = 1; seed <= 10; seed++)
      {
        Sides sides (share, seed);
        EXPECT_DOUBLE_EQ (sides.sum (5 * second, 6 * second, false), 1);
        double together = sides.sum (6 * second, 18 * second, true);
        EXPECT_LE (together, 1.001) << share << ", seed " << seed;
        EXPECT_GE (together, 0.9) << share << ", seed " << seed;
        EXPECT_DOUBLE_EQ (sides.sum (19 * second, 21 * second, false), 1);
      }
}
// Guards against an upstream that gets more than the limit that it named from
// all VMs together, while these are cut off from each other and restart.
TEST (El, AllVmsTogetherKeepToANamedLimit)
{
  for (double limit : { 0.2, 1.0, 1.6, 10.0, 60.0 })
    for (uint32_t vms : { 2u, 9u, 195u })
      for (uint64_t seed = 1; seed <= 3; seed++)
        for (uint32_t parts : { 1u, 2u, vms })
          {
            Cold limited (vms, 12, seed, limit);
            EXPECT_LE ((double)limited.run (parts, 4 * second),
                       1.5 * 4 * limit + 5)
                << limit << " a second, " << vms << " VMs, " << parts
                << " parts, seed " << seed;
          }
}

// Guards against a limit that is kept for ever after the last response that
// named it, and one that is too small for any request.
TEST (El, ALimitThatNobodyStatesEnds)
{
  el_fleet fleet = {};
  el_limit limit = {};
  el_sends sends = {};
  fleet.has_part = true;
  limit.named = true;
  limit.stated_us = second;
  EXPECT_FALSE (el_limit_allows (&limit, &sends, second)); // no share
  EXPECT_EQ (el_limit_wait_us (&limit, &sends, second), UINT64_MAX);
  limit.share = el_limit_share (&fleet, 1, 77, 0);
  EXPECT_EQ (limit.share, 1u);
  el_on_sent (&sends, second);
  EXPECT_EQ (el_limit_wait_us (&limit, &sends, second), 10 * second);
  limit.share = 0;
  EXPECT_TRUE (el_limit_allows (&limit, &sends, 61 * second));
}
} // namespace
