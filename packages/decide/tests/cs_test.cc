#include "cs.h"

#include <gtest/gtest.h>

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

}
