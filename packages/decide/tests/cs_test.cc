#include "cs.h"

#include <gtest/gtest.h>

#include <vector>

namespace
{

cs_request
request (uint64_t id, uint32_t tier, uint32_t prompt, uint32_t tokens)
{
  cs_request r = {};
  r.request = id;
  r.tier = tier;
  r.prompt_tokens = prompt;
  r.expected_tokens = tokens;
  return r;
}

id_handle
engine (cs_cell *cs, const char *name, uint32_t slots)
{
  cs_engine_desc d = {};
  d.name = st_from_cstr (name);
  d.slots = slots;
  return cs_make_engine (cs, &d, 0);
}

/* Guards against a grant that never comes while a slot is free.  */
TEST (Cs, GrantsAFreeSlotAndFreesItWhenDone)
{
  cs_desc desc = {};
  cs_cell *cs = cs_make (&desc);
  id_handle e = engine (cs, "a", 1);
  cs_request a = request (1, 0, 100, 10), b = request (2, 0, 100, 10);
  ASSERT_TRUE (cs_submit (cs, &a, 1000));
  ASSERT_TRUE (cs_submit (cs, &b, 1000));
  cs_decision d;
  ASSERT_TRUE (cs_next (cs, 1000, &d));
  EXPECT_EQ (d.kind, CS_GRANT);
  EXPECT_EQ (d.request, 1u);
  EXPECT_EQ (d.engine, e);
  EXPECT_FALSE (cs_next (cs, 1000, &d));
  cs_done_info done = {};
  done.tokens = 10;
  ASSERT_TRUE (cs_done (cs, 1, &done, 2000));
  EXPECT_FALSE (cs_done (cs, 1, &done, 2000));
  ASSERT_TRUE (cs_next (cs, 2000, &d));
  EXPECT_EQ (d.request, 2u);
  cs_destroy (cs);
}

/* Guards against an urgent request that waits behind lower-tier work.  */
TEST (Cs, StopsTheLowestTierForAnUrgentRequest)
{
  cs_desc desc = {};
  desc.headroom_percent = CS_NONE;
  cs_cell *cs = cs_make (&desc);
  id_handle e = engine (cs, "a", 2);
  cs_request low = request (1, 4, 100, 10), mid = request (2, 3, 100, 10),
             urgent = request (3, 0, 100, 10);
  cs_submit (cs, &low, 0);
  cs_submit (cs, &mid, 0);
  cs_decision d;
  while (cs_next (cs, 0, &d))
    EXPECT_EQ (d.kind, CS_GRANT);
  cs_submit (cs, &urgent, 1000);
  ASSERT_TRUE (cs_next (cs, 1000, &d));
  EXPECT_EQ (d.kind, CS_STOP);
  EXPECT_EQ (d.request, 1u);
  EXPECT_FALSE (cs_next (cs, 1000, &d));
  cs_done_info done = {};
  done.outcome = CS_STOPPED;
  cs_done (cs, 1, &done, 2000);
  ASSERT_TRUE (cs_next (cs, 2000, &d));
  EXPECT_EQ (d.kind, CS_GRANT);
  EXPECT_EQ (d.request, 3u);
  low.resume_of = e;
  cs_submit (cs, &low, 2000);
  cs_done_info ok = {};
  cs_done (cs, 3, &ok, 3000);
  ASSERT_TRUE (cs_next (cs, 3000, &d));
  EXPECT_EQ (d.request, 1u);
  EXPECT_EQ (d.cached_tokens, 100u);
  EXPECT_EQ (d.import_from, 0u);
  cs_destroy (cs);
}

/* Guards against one stop in each pass instead of one for each urgent
   request.  */
TEST (Cs, StopsOnceForEachUrgentRequest)
{
  cs_desc desc = {};
  cs_cell *cs = cs_make (&desc);
  engine (cs, "a", 8);
  cs_decision d;
  for (uint64_t i = 1; i <= 8; i++)
    {
      cs_request low = request (i, 1, 100, 10);
      cs_submit (cs, &low, 0);
    }
  while (cs_next (cs, 0, &d))
    EXPECT_EQ (d.kind, CS_GRANT);
  unsigned stops = 0;
  for (uint64_t i = 0; i < 50; i++)
    {
      cs_request urgent = request (100 + i, 0, 100, 10);
      if (i < 3)
        cs_submit (cs, &urgent, i * 1000);
      cs_tick (cs, i * 1000);
      while (cs_next (cs, i * 1000, &d))
        stops += d.kind == CS_STOP;
    }
  EXPECT_EQ (stops, 3u);
  cs_destroy (cs);
}

/* Guards against urgent work that waits although a slot is free, because the
   first token of a non-streamed response, which is never reported, was treated
   as overdue.  */
TEST (Cs, UnreportedFirstTokenIsNotOverdue)
{
  for (bool unreported : { true, false })
    {
      cs_desc desc = {};
      cs_cell *cs = cs_make (&desc);
      engine (cs, "a", 4);
      cs_decision d;
      for (uint64_t i = 1; i <= 3; i++)
        {
          cs_request low = request (i, 4, 5, 100);
          low.first_token_unreported = unreported && i == 2;
          cs_submit (cs, &low, 0);
        }
      while (cs_next (cs, 0, &d))
        EXPECT_EQ (d.kind, CS_GRANT);
      cs_first_token (cs, 1, 60000, 60000);
      cs_first_token (cs, 3, 60000, 60000);
      for (uint64_t now_us = 100000; now_us <= 600000; now_us += 50000)
        {
          cs_tick (cs, now_us);
          EXPECT_FALSE (cs_next (cs, now_us, &d));
        }
      cs_request urgent = request (10, 0, 5, 20);
      cs_submit (cs, &urgent, 600000);
      /* Without the flag the same request has to wait.  */
      EXPECT_EQ (cs_next (cs, 600000, &d), unreported);
      cs_destroy (cs);
    }
}

/* Guards against prefill spent on a response that misses its deadline.  */
TEST (Cs, RefusesADeadlineThatCannotBeMet)
{
  cs_desc desc = {};
  cs_cell *cs = cs_make (&desc);
  engine (cs, "a", 8);
  cs_request q = request (1, 3, 8000, 10);
  q.deadline_us = 500000; /* the prefill alone takes a second */
  cs_submit (cs, &q, 0);
  cs_decision d;
  ASSERT_TRUE (cs_next (cs, 0, &d));
  EXPECT_EQ (d.kind, CS_REFUSE);
  EXPECT_EQ (d.reason, CS_REASON_DEADLINE);
  EXPECT_GT (d.retry_after_ms, 0u);
  cs_destroy (cs);
}

/* Guards against prompts prefilled on an engine without their prefix although
   another one caches it, and against full trust in the cache state after cache
   events were lost.  */
TEST (Cs, PrefersTheEngineThatCachesThePrefix)
{
  cs_desc desc = {};
  cs_cell *cs = cs_make (&desc);
  engine (cs, "a", 8);
  id_handle b = engine (cs, "b", 8);
  cs_prefix prefix = { 77, 4000 };
  cs_cache_event (cs, b, 77, true);
  cs_request q = request (1, 0, 4100, 10);
  q.prefixes = &prefix;
  q.prefix_count = 1;
  cs_submit (cs, &q, 0);
  cs_decision d;
  ASSERT_TRUE (cs_next (cs, 0, &d));
  EXPECT_EQ (d.engine, b);
  EXPECT_EQ (d.cached_tokens, 4000u);
  cs_cache_gap (cs, b);
  q.request = 2;
  cs_submit (cs, &q, 1000000);
  ASSERT_TRUE (cs_next (cs, 1000000, &d));
  EXPECT_EQ (d.cached_tokens, 2000u);
  cs_cache_event (cs, b, 77, false);
  q.request = 3;
  cs_submit (cs, &q, 2000000);
  ASSERT_TRUE (cs_next (cs, 2000000, &d));
  EXPECT_LE (d.cached_tokens, 4000u);
  cs_destroy (cs);
}

/* Guards against a load report older than recent grants that hides external
   load.  */
TEST (Cs, CorrectsAStaleLoadReport)
{
  cs_desc desc = {};
  desc.headroom_percent = CS_NONE;
  cs_cell *cs = cs_make (&desc);
  id_handle e = engine (cs, "a", 4);
  cs_decision d;
  for (uint64_t i = 1; i <= 3; i++)
    {
      cs_request q = request (i, 0, 100, 10);
      cs_submit (cs, &q, 1000000 + i);
      ASSERT_TRUE (cs_next (cs, 1000000 + i, &d));
    }
  /* At 0.9 s the engine ran one external request and none of this cell, as
     the next report confirms.  */
  cs_load load = { 900000, 1, 0, 0 };
  EXPECT_TRUE (cs_set_load (cs, e, &load, 1100000));
  load.time_us = 950000;
  EXPECT_TRUE (cs_set_load (cs, e, &load, 1100000));
  cs_engine_view v;
  ASSERT_TRUE (cs_query_engine (cs, e, &v));
  EXPECT_EQ (v.running, 3u);
  EXPECT_EQ (v.external_running, 1u);
  cs_request q = request (9, 0, 100, 10);
  cs_submit (cs, &q, 1200000);
  EXPECT_FALSE (cs_next (cs, 1200000, &d));
  load.time_us = 800000; /* older than the last one */
  EXPECT_FALSE (cs_set_load (cs, e, &load, 1200000));
  cs_destroy (cs);
}

/* Guards against a slow engine that still gets the same amount of work because
   it reports nothing unusual, and against one that is never probed.  */
TEST (Cs, DetectsASlowEngineAndProbesIt)
{
  cs_desc desc = {};
  cs_cell *cs = cs_make (&desc);
  id_handle slow = engine (cs, "slow", 16);
  engine (cs, "b", 16);
  uint64_t id = 0, last_probe_us = 0;
  unsigned late = 0, probes = 0;
  cs_decision d;
  struct Open
  {
    uint64_t id, at_us, first_us;
  };
  std::vector<Open> open;
  for (uint64_t now_us = 0; now_us < 20000000; now_us += 10000)
    {
      for (size_t i = 0; i < open.size ();)
        if (open[i].at_us <= now_us)
          {
            cs_done_info info = {};
            info.first_token_us = open[i].first_us;
            info.tokens = 10;
            cs_first_token (cs, open[i].id, open[i].first_us, now_us);
            cs_done (cs, open[i].id, &info, now_us);
            open.erase (open.begin () + (long)i);
          }
        else
          i++;
      if (now_us % 100000 == 0)
        {
          cs_request q = request (++id, 2, 800, 10);
          cs_submit (cs, &q, now_us);
          cs_tick (cs, now_us);
        }
      while (cs_next (cs, now_us, &d))
        {
          ASSERT_EQ (d.kind, CS_GRANT);
          bool on_slow = d.engine == slow;
          uint64_t first_us = on_slow ? 415000 : 115000;
          if (now_us > 5000000 && on_slow)
            {
              late++;
              probes++;
              EXPECT_GE (now_us - last_probe_us, 1000000u);
              last_probe_us = now_us;
            }
          open.push_back ({ d.request, now_us + first_us, first_us });
        }
    }
  cs_engine_view v;
  ASSERT_TRUE (cs_query_engine (cs, slow, &v));
  EXPECT_TRUE (v.slow);
  EXPECT_GE (probes, 5u);
  EXPECT_LE (late, 15u);
  cs_destroy (cs);
}

/* Guards against long prompts that occupy every engine and delay short urgent
   requests.  */
TEST (Cs, LongPromptsLeaveEnginesForShortOnes)
{
  cs_desc desc = {};
  cs_cell *cs = cs_make (&desc);
  for (const char *name : { "a", "b", "c", "d" })
    engine (cs, name, 16);
  cs_decision d;
  for (uint64_t i = 1; i <= 8; i++)
    {
      cs_request q = request (i, 0, 50000, 10);
      cs_submit (cs, &q, 0);
    }
  unsigned granted = 0;
  while (cs_next (cs, 0, &d))
    granted += d.kind == CS_GRANT;
  EXPECT_EQ (granted, 2u);
  cs_request q = request (99, 0, 500, 10);
  q.first_token_by_us = 310000;
  cs_submit (cs, &q, 0);
  ASSERT_TRUE (cs_next (cs, 0, &d));
  EXPECT_EQ (d.request, 99u);
  EXPECT_LT (d.first_token_us, 310000u);
  cs_destroy (cs);
}

/* Guards against grants made before those of the previous cell owner are
   restored.  */
TEST (Cs, RestoresGrantsBeforeTheFirstGrant)
{
  cs_desc desc = {};
  desc.collect_until_us = 500000;
  cs_cell *cs = cs_make (&desc);
  id_handle e = engine (cs, "a", 1);
  cs_request restored = request (1, 3, 100, 10), q = request (2, 3, 100, 10);
  cs_submit (cs, &q, 0);
  cs_decision d;
  EXPECT_FALSE (cs_next (cs, 0, &d));
  EXPECT_TRUE (cs_restore_grant (cs, &restored, e, 0, 1000));
  EXPECT_FALSE (cs_restore_grant (cs, &restored, e, 0, 1000));
  EXPECT_FALSE (cs_next (cs, 500000, &d));
  cs_done_info info = {};
  EXPECT_TRUE (cs_done (cs, 1, &info, 600000));
  ASSERT_TRUE (cs_next (cs, 600000, &d));
  EXPECT_EQ (d.request, 2u);
  cs_destroy (cs);
}

}
