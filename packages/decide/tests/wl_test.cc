#include "wl.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace
{
uint64_t
env (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? strtoull (text, nullptr, 10) : fallback;
}

struct Load
{
  uint32_t engine;
  uint32_t job;
  uint64_t left_bytes;
  bool fails;
};

/* A weight store that serves its loads one after another at a fixed rate.  */
struct World
{
  std::vector<wl_job> jobs;
  std::vector<wl_engine> engines;
  std::vector<wl_pool> pools;
  std::vector<Load> loads;
  uint64_t rate = 1000000000;

  uint64_t
  serving (uint32_t pool) const
  {
    uint64_t slots = 0;
    for (const wl_engine &e : engines)
      {
        bool loading = false;
        for (const Load &l : loads)
          loading |= l.engine == e.id;
        if (e.live && e.pool == pool && !loading)
          slots += e.slots;
      }
    return slots;
  }
};

wl_engine
engine (uint32_t id, uint32_t pool, uint32_t slots)
{
  wl_engine e = {};
  e.id = id;
  e.pool = pool;
  e.slots = slots;
  e.free_bytes = 40000000000;
  e.live = true;
  return e;
}

wl_job
job (uint32_t pool, uint64_t bytes, uint64_t deadline_us)
{
  wl_job j = {};
  j.pool = pool;
  j.bytes = bytes;
  j.deadline_us = deadline_us;
  return j;
}
}

// Guards against a version that waits behind one with a later deadline.
TEST (Wl, EarliestDeadlineFirst)
{
  wl_desc desc = {};
  wl_planner *p = wl_make_planner (&desc);
  wl_job jobs[] = { job (0, 1000, 900), job (1, 1000, 500) };
  wl_engine engines[] = { engine (0, 0, 4), engine (1, 1, 4) };
  wl_pool pools[] = { { 0 }, { 0 } };
  wl_order o;
  ASSERT_TRUE (wl_next_order (p, jobs, 2, engines, 2, pools, 2, 1, &o));
  EXPECT_EQ (o.job, 1u);
  EXPECT_EQ (o.engine, 1u);
  ASSERT_TRUE (wl_next_order (p, jobs, 2, engines, 2, pools, 2, 1, &o));
  EXPECT_EQ (o.job, 0u);
  EXPECT_FALSE (wl_next_order (p, jobs, 2, engines, 2, pools, 2, 1, &o));
  wl_destroy_planner (p);
}

// Guards against loads that leave a pool fewer serving slots than need_slots,
// weights that do not fit into memory, and orders for a cancelled version.
TEST (Wl, KeepsCapacityAndMemory)
{
  wl_desc desc = {};
  wl_planner *p = wl_make_planner (&desc);
  wl_job jobs[] = { job (0, 1000, 900) };
  wl_engine engines[]
      = { engine (0, 0, 4), engine (1, 0, 4), engine (2, 0, 4) };
  engines[0].running = 3;
  engines[1].running = 1;
  engines[2].running = 2;
  wl_pool pools[] = { { 8 } };
  wl_order o;
  ASSERT_TRUE (wl_next_order (p, jobs, 1, engines, 3, pools, 1, 1, &o));
  EXPECT_EQ (o.engine, 1u);
  EXPECT_FALSE (wl_next_order (p, jobs, 1, engines, 3, pools, 1, 1, &o));
  wl_on_failed (p, 1, 10);
  engines[2].free_bytes = 10;
  ASSERT_TRUE (wl_next_order (p, jobs, 1, engines, 3, pools, 1, 10, &o));
  EXPECT_EQ (o.engine, 0u);
  wl_on_loaded (p, 0, 20);
  engines[0].loaded_jobs = 1;
  jobs[0].cancelled = true;
  EXPECT_FALSE (
      wl_next_order (p, jobs, 1, engines, 3, pools, 1, 100000000, &o));
  EXPECT_EQ (wl_query_loaded_permille (jobs, 0, engines, 3), 333);
  wl_destroy_planner (p);
}

// Uses random pools, deadlines, failing loads, leaving engines and cancelled
// versions.  Guards against an order that leaves fewer serving slots than
// need_slots, more outstanding orders than allowed, an order for a full, dead,
// loading or already loaded engine, a later deadline before an earlier one
// that could have been served, a store that idles while an order is possible,
// and, without faults, versions that are never fully loaded.
TEST (WlProperty, RandomFaultSchedules)
{
  uint64_t runs = env ("DB_RUNS", 10000);
  uint64_t seed = env ("DB_SEED", 1);
  printf ("seed %llu runs %llu (DB_SEED, DB_RUNS)\n", (unsigned long long)seed,
          (unsigned long long)runs);
  for (uint64_t run = 0; run < runs; run++)
    {
      std::mt19937_64 rng (seed + run);
      auto below = [&rng] (uint64_t n) { return rng () % n; };
      wl_desc desc = {};
      wl_planner *p = wl_make_planner (&desc);
      World w;
      uint32_t pools = 1 + below (3);
      for (uint32_t i = 0; i < pools; i++)
        w.pools.push_back ({ 0 });
      uint32_t n = pools + below (10);
      for (uint32_t i = 0; i < n; i++)
        w.engines.push_back (engine (i, i % pools, 1 + below (16)));
      for (uint32_t i = 0; i < pools; i++)
        {
          /* The largest engine can always load when no other one does.  */
          uint64_t all = w.serving (i);
          uint64_t largest = 0;
          for (const wl_engine &e : w.engines)
            if (e.pool == i)
              largest = std::max<uint64_t> (largest, e.slots);
          w.pools[i].need_slots = below (all - largest + 1);
        }
      uint32_t job_count = 1 + below (4);
      for (uint32_t i = 0; i < job_count; i++)
        w.jobs.push_back (job (below (pools), 1 + below (9000000000),
                               1 + below (1000000000)));
      bool faults = run % 2 == 0;
      uint64_t now = 1;
      int idle_ticks = 0;
      for (int tick = 0; tick < 6000; tick++)
        {
          now += 100000;
          uint64_t bytes = w.rate / 10;
          while (!w.loads.empty () && bytes > 0)
            {
              Load &l = w.loads.front ();
              uint64_t loaded = std::min (bytes, l.left_bytes);
              l.left_bytes -= loaded;
              bytes -= loaded;
              if (l.left_bytes > 0)
                break;
              if (l.fails)
                wl_on_failed (p, l.engine, now);
              else
                {
                  w.engines[l.engine].loaded_jobs |= 1ull << l.job;
                  wl_on_loaded (p, l.engine, now);
                }
              w.loads.erase (w.loads.begin ());
            }
          if (faults && below (100) == 0)
            {
              wl_engine &e = w.engines[below (n)];
              e.live = !e.live;
            }
          if (faults && below (1000) == 0)
            w.jobs[below (job_count)].cancelled = true;
          for (wl_engine &e : w.engines)
            e.running = below (e.slots + 1);
          wl_order o;
          bool ordered = false;
          while (wl_next_order (p, w.jobs.data (), job_count,
                                w.engines.data (), n, w.pools.data (), pools,
                                now, &o))
            {
              ordered = true;
              const wl_engine &e = w.engines[o.engine];
              const wl_job &j = w.jobs[o.job];
              ASSERT_TRUE (e.live && e.pool == j.pool) << seed + run;
              ASSERT_FALSE (j.cancelled) << seed + run;
              ASSERT_EQ (e.loaded_jobs >> o.job & 1, 0u) << seed + run;
              ASSERT_GE (e.free_bytes, j.bytes) << seed + run;
              for (const Load &l : w.loads)
                ASSERT_NE (l.engine, o.engine) << seed + run;
              w.loads.push_back (
                  { o.engine, o.job, j.bytes, faults && below (10) == 0 });
              ASSERT_LE (w.loads.size (), (size_t)WL_OUTSTANDING_MAX)
                  << seed + run;
              ASSERT_GE (w.serving (j.pool), w.pools[j.pool].need_slots)
                  << seed + run;
              for (uint32_t k = 0; !faults && k < job_count; k++)
                {
                  if (w.jobs[k].deadline_us >= j.deadline_us)
                    continue;
                  for (const wl_engine &x : w.engines)
                    {
                      bool loading = false;
                      for (const Load &l : w.loads)
                        loading |= l.engine == x.id && l.engine != o.engine;
                      if (x.pool != w.jobs[k].pool || loading
                          || (x.loaded_jobs >> k & 1) != 0 || x.id == o.engine)
                        continue;
                      /* Serving slots if X had been ordered instead.  */
                      uint64_t serving = w.serving (x.pool) - x.slots
                                         + (e.pool == x.pool ? e.slots : 0);
                      ASSERT_LT (serving, w.pools[x.pool].need_slots)
                          << seed + run;
                    }
                }
            }
          idle_ticks = w.loads.empty () && !ordered ? idle_ticks + 1 : 0;
          if (!faults && idle_ticks > 2)
            break;
        }
      for (uint32_t j = 0; !faults && j < job_count; j++)
        EXPECT_EQ (
            wl_query_loaded_permille (w.jobs.data (), j, w.engines.data (), n),
            1000)
            << seed + run;
      wl_destroy_planner (p);
    }
}
