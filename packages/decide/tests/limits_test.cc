#include "ce.h"
#include "lk.h"
#include "rt.h"
#include "tl.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{

const uint64_t S = 1000000;

uint64_t
first_seed ()
{
  const char *text = getenv ("DB_SEED");
  return text != nullptr ? strtoull (text, nullptr, 10) : 1;
}

std::vector<std::string>
names (const char *stem, unsigned count)
{
  std::vector<std::string> out;
  for (unsigned i = 0; i < count; i++)
    out.push_back (std::string (stem) + std::to_string (1000 + i));
  return out;
}

std::vector<st_str>
views (const std::vector<std::string> &list)
{
  std::vector<st_str> out;
  for (const auto &s : list)
    out.push_back (st_str{ s.data (), s.size () });
  return out;
}

/* Guards against two VMs that choose different owners of a cell because their
   member lists are in different order, and against cells that change owner
   although only another VM died.  */
TEST (Ce, OwnerDependsOnMembersOnly)
{
  auto list = names ("vm-", 20);
  auto reversed = std::vector<std::string> (list.rbegin (), list.rend ());
  auto a = views (list), b = views (reversed);
  unsigned moved = 0;
  std::map<uint32_t, unsigned> owned;
  for (unsigned c = 0; c < 2000; c++)
    {
      std::string cell = "dc/model/" + std::to_string (c);
      st_str name = { cell.data (), cell.size () };
      uint32_t o = ce_owner (name, a.data (), 20);
      EXPECT_EQ (list[o], reversed[ce_owner (name, b.data (), 20)]);
      uint32_t without = ce_owner (name, a.data (), 19);
      if (o != 19)
        {
          EXPECT_EQ (o, without);
        }
      moved += o != without;
      owned[o]++;
    }
  EXPECT_EQ (moved, owned[19]);
  for (auto &[vm, n] : owned)
    EXPECT_LT (n, 200u) << vm;
  EXPECT_EQ (ce_owner (ST_LIT ("x"), nullptr, 0), CE_NONE);
}

/* Guards against a cell that grows with the number of engines.  */
TEST (Ce, NoCellExceedsItsLimit)
{
  for (unsigned n : { 1u, 8u, 9u, 16u, 17u, 100u, 1000u })
    {
      auto list = names ("engine-", n);
      auto v = views (list);
      std::vector<uint32_t> cell_of (n), cell_sizes (n);
      uint32_t count = ce_split (ST_LIT ("dc/model"), v.data (), n,
                                 cell_of.data (), cell_sizes.data ());
      EXPECT_EQ (count, ce_cell_count (n));
      std::vector<unsigned> seen (count);
      for (uint32_t c : cell_of)
        {
          ASSERT_LT (c, count);
          EXPECT_LE (++seen[c], (unsigned)CE_CELL_ENGINES_MAX);
        }
    }
}

/* Guards against a split that moves most engines when one engine joins.  */
TEST (Ce, OneMoreEngineMovesFew)
{
  auto list = names ("engine-", 102);
  auto v = views (list);
  std::vector<uint32_t> a (102), b (102), cell_sizes (102);
  ce_split (ST_LIT ("dc/model"), v.data (), 101, a.data (),
            cell_sizes.data ());
  ce_split (ST_LIT ("dc/model"), v.data (), 102, b.data (),
            cell_sizes.data ());
  unsigned moved = 0;
  for (unsigned i = 0; i < 101; i++)
    moved += a[i] != b[i];
  EXPECT_LE (moved, 10u);
}

/* Guards against retries beyond 10% of first attempts (design 3.9).  */
TEST (Rt, RetriesStayInTheBudget)
{
  uint64_t seed = first_seed ();
  for (unsigned run = 0; run < 200; run++)
    {
      std::mt19937_64 random (seed + run);
      rt_desc desc = {};
      desc.seed = (uint32_t)run;
      rt_budget *rt = rt_make (&desc);
      uint64_t first = 0, retries = 0;
      for (unsigned i = 0; i < 2000; i++)
        {
          if (random () % 3 == 0)
            {
              rt_record_first_attempt (rt);
              first++;
            }
          else
            retries += rt_take_retry (rt);
          ASSERT_LE (retries, first / 10 + 10) << "DB_SEED=" << seed + run;
        }
      rt_destroy (rt);
    }
}

/* Guards against delays that do not grow or that have no jitter.  */
TEST (Rt, DelaysGrowWithFullJitter)
{
  rt_desc desc = {};
  desc.seed = 7;
  rt_budget *rt = rt_make (&desc);
  for (uint32_t attempt = 1; attempt <= 12; attempt++)
    {
      uint64_t top = std::min<uint64_t> (50000ull << (attempt - 1), 5000000);
      uint64_t low = top, high = 0;
      for (int i = 0; i < 400; i++)
        {
          uint64_t d = rt_delay_us (rt, attempt);
          ASSERT_LE (d, top);
          low = std::min (low, d);
          high = std::max (high, d);
        }
      EXPECT_LT (low, top / 10);
      EXPECT_GT (high, top - top / 10);
    }
  rt_destroy (rt);
}

/* Guards against callers that all retry at the same time after an outage.  */
TEST (Rt, RetryAfterGrowsWithTheBacklogAndSpreads)
{
  rt_desc desc = {};
  rt_budget *rt = rt_make (&desc);
  uint32_t low = UINT32_MAX, high = 0;
  for (int i = 0; i < 400; i++)
    {
      uint32_t ms = rt_retry_after_ms (rt, 1000, 100);
      low = std::min (low, ms);
      high = std::max (high, ms);
    }
  EXPECT_GE (low, 10000u);
  EXPECT_LE (high, 20000u);
  EXPECT_GT (high - low, 9000u);
  EXPECT_LE (rt_retry_after_ms (rt, 1000000, 1), 60000u);
  EXPECT_GE (rt_retry_after_ms (rt, 0, 100), 500u);
  rt_destroy (rt);
}

/* A region of VMs that report to each other over a network that can be
   partitioned.  */
struct Region
{
  std::vector<tl_limits *> vms;
  std::vector<unsigned> side;
  std::vector<unsigned> phase; /* of the tick within the second, in 10 ms */
  double limit;
  unsigned admitted = 0;

  Region (unsigned n, double per_second) : limit (per_second)
  {
    for (unsigned i = 0; i < n; i++)
      {
        tl_desc d = {};
        d.max_teams = 1;
        d.max_vms = 32;
        vms.push_back (tl_make (&d));
        side.push_back (0);
        phase.push_back (i * 37 % 100);
      }
    for (unsigned i = 0; i < n; i++)
      {
        for (unsigned j = 0; j < n; j++)
          if (i != j)
            tl_set_vm (vms[i], j, TL_LIVE);
        tl_set_limit (vms[i], 0, limit, 0);
      }
  }
  ~Region ()
  {
    for (auto *t : vms)
      tl_destroy (t);
  }
  void
  second (uint64_t now, const std::vector<double> &demand)
  {
    for (unsigned step = 0; step < 100; step++)
      for (unsigned i = 0; i < vms.size (); i++)
        {
          uint64_t at = now + step * 10000;
          double per_step = demand[i] / 100;
          unsigned n = (unsigned)(per_step * (step + 1))
                       - (unsigned)(per_step * step);
          for (unsigned k = 0; k < n; k++)
            admitted += tl_take (vms[i], 0, 1, at);
          if (step != phase[i])
            continue;
          tl_tick (vms[i], at);
          double d, s;
          ASSERT_TRUE (tl_query_report (vms[i], 0, &d, &s));
          for (unsigned j = 0; j < vms.size (); j++)
            if (i != j && side[i] == side[j])
              {
                ASSERT_TRUE (tl_report (vms[j], i, 0, d, s, at));
              }
        }
  }
  double
  shares () const
  {
    double sum = 0, d, s;
    for (auto *t : vms)
      if (tl_query_report (t, 0, &d, &s))
        sum += s;
    return sum;
  }
};

/* Guards against a limit that the VMs exceed together, and against one that is
   not fully used because the demand is on one VM.  */
TEST (Tl, LimitHoldsOverAllVmsAndFollowsDemand)
{
  Region r (8, 100);
  std::vector<double> demand (8, 0);
  demand[0] = 500;
  for (unsigned t = 1; t <= 10; t++)
    r.second (t * S, demand);
  unsigned before = r.admitted;
  for (unsigned t = 11; t <= 20; t++)
    r.second (t * S, demand);
  EXPECT_GE (r.admitted - before, 950u);
  EXPECT_LE (r.admitted - before, 1100u);
  /* The demand moves to another VM.  */
  demand[0] = 0;
  demand[5] = 500;
  before = r.admitted;
  for (unsigned t = 21; t <= 40; t++)
    r.second (t * S, demand);
  EXPECT_LE (r.admitted - before, 2100u);
  EXPECT_GE (r.admitted - before, 1500u);
}

/* Guards against a limit exceeded by more than the stated error, for random
   demand and network partitions.  */
TEST (Tl, StatedErrorHoldsOverRandomSchedules)
{
  uint64_t seed = first_seed ();
  printf ("DB_SEED=%llu\n", (unsigned long long)seed);
  for (unsigned run = 0; run < 300; run++)
    {
      std::mt19937_64 random (seed + run);
      unsigned n = 2 + random () % 7;
      Region r (n, 50);
      for (auto &p : r.phase)
        p = random () % 100;
      std::vector<double> demand (n, 0);
      unsigned seconds = 30, changes = 1;
      for (unsigned t = 1; t <= seconds; t++)
        {
          for (auto &d : demand)
            if (random () % 3 == 0)
              d = (double)(random () % 120);
          if (random () % 8 == 0)
            {
              changes++;
              for (auto &s : r.side)
                s = random () % 2;
            }
          r.second (t * S, demand);
          if (::testing::Test::HasFatalFailure ())
            return;
          ASSERT_LE (r.admitted, 50.0 * (t + 1) + 50.0 * changes)
              << "DB_SEED=" << seed + run;
        }
    }
}

/* Guards against a VM that raises its share during a network partition.  */
TEST (Tl, APartitionedVmNeverRaisesItsShare)
{
  Region r (4, 100);
  std::vector<double> demand = { 200, 200, 200, 10 };
  for (unsigned t = 1; t <= 10; t++)
    r.second (t * S, demand);
  double d, before, after;
  tl_query_report (r.vms[3], 0, &d, &before);
  EXPECT_LE (r.shares (), 1.001);
  r.side[3] = 1;
  demand[3] = 1000;
  for (unsigned t = 11; t <= 30; t++)
    {
      r.second (t * S, demand);
      tl_query_report (r.vms[3], 0, &d, &after);
      /* Reports from before the partition are valid for 1.5 s.  */
      EXPECT_LE (after, before + 0.02);
    }
  /* The others declare it dead: its share stays reserved.  */
  for (unsigned i = 0; i < 3; i++)
    tl_set_vm (r.vms[i], 3, TL_DEAD);
  for (unsigned t = 31; t <= 40; t++)
    {
      r.second (t * S, demand);
      EXPECT_LE (r.shares (), 1.01);
    }
}

/* Guards against refusing requests of a team without a limit.  */
TEST (Tl, NoLimitAdmitsAll)
{
  tl_desc desc = {};
  tl_limits *tl = tl_make (&desc);
  for (int i = 0; i < 1000; i++)
    EXPECT_TRUE (tl_take (tl, 3, 1, 0));
  EXPECT_FALSE (tl_take (tl, 100000, 1, 0));
  EXPECT_EQ (tl_query_wait_ms (tl, 3, 1), 0u);
  tl_destroy (tl);
}

/* Guards against paid traffic without a gain (design 3.8).  */
TEST (Lk, TransfersOnlyForAGainAboveThePrice)
{
  lk_link lk;
  lk_desc desc = {};
  lk_setup (&lk, &desc, 0);
  lk_transfer transfer = {};
  transfer.bytes = 40000;
  transfer.local_us = 100000;
  transfer.remote_us = 100000;
  transfer.deadline_us = 310000;
  EXPECT_FALSE (lk_take_transfer (&lk, &transfer, 0));
  transfer.local_us = 900000;
  EXPECT_TRUE (lk_take_transfer (&lk, &transfer, 0));
  transfer.remote_us = 800000;
  transfer.tier = 4;
  EXPECT_FALSE (lk_take_transfer (&lk, &transfer, 0));
  /* A deadline met here and missed there is a loss.  */
  transfer.local_us = 300000;
  transfer.remote_us = 305000;
  EXPECT_LT (lk_gain (&lk, &transfer), 0);
}

/* Guards against use of the link beyond its budget and while it is down.  */
TEST (Lk, BudgetHoldsAndNothingIsSentWhileTheLinkIsDown)
{
  lk_link lk;
  lk_desc desc = {};
  desc.bytes_per_s = 100000;
  desc.burst_s = 1;
  lk_setup (&lk, &desc, 0);
  lk_set_share (&lk, 0.5, 0);
  lk_transfer transfer = {};
  transfer.bytes = 10000;
  transfer.local_us = UINT64_MAX;
  transfer.remote_us = 1000;
  transfer.deadline_us = 310000;
  uint64_t bytes = 0;
  for (uint64_t now = 0; now < 10 * S; now += 10000)
    if (lk_take_transfer (&lk, &transfer, now))
      bytes += transfer.bytes;
  EXPECT_LE (bytes, 10 * 50000u + 50000u);
  EXPECT_GE (bytes, 10 * 50000u - 10000u);
  lk_set_up (&lk, false, 10 * S);
  EXPECT_FALSE (lk_take_transfer (&lk, &transfer, 20 * S));
  lk_set_up (&lk, true, 20 * S);
  EXPECT_TRUE (lk_take_transfer (&lk, &transfer, 20 * S));
  lk_settle (&lk, 10000, 60000);
  EXPECT_FALSE (lk_take_transfer (&lk, &transfer, 20 * S));
}

// Guards against a pause of an upstream that is longer than it asked for, or
// that no number stands for.
TEST (Rt, ReadsRetryAfter)
{
  const uint64_t max_us = 60000000;
  uint64_t us = 0;
  EXPECT_TRUE (rt_parse_retry_after (ST_LIT ("2"), max_us, &us));
  EXPECT_EQ (us, 2000000u);
  EXPECT_TRUE (rt_parse_retry_after (ST_LIT ("0.25"), max_us, &us));
  EXPECT_EQ (us, 250000u);
  EXPECT_TRUE (
      rt_parse_retry_after (ST_LIT ("99999999999999999999"), max_us, &us));
  EXPECT_EQ (us, max_us);
  for (const char *text :
       { "", "0", "-1", "-0.5", "abc", "1s", "1 2", "1e3", "inf", "nan", ".",
         "1.2.3", "Fri, 04 Dec 2026 10:00:00 GMT",
         "111111111111111111111111111111111111111111" })
    EXPECT_FALSE (rt_parse_retry_after (st_from_cstr (text), max_us, &us))
        << text;
}

// Guards against a limit that is not the number in the field.
TEST (Rt, ReadsRates)
{
  double per_s = -1;
  EXPECT_TRUE (rt_parse_rate (ST_LIT ("1.6"), &per_s));
  EXPECT_DOUBLE_EQ (per_s, 1.6);
  EXPECT_TRUE (rt_parse_rate (ST_LIT ("0"), &per_s));
  EXPECT_DOUBLE_EQ (per_s, 0);
  for (const char *text : { "", "-1", "abc", "1/s", "1e3", "inf", "nan", "." })
    EXPECT_FALSE (rt_parse_rate (st_from_cstr (text), &per_s)) << text;
}
}
