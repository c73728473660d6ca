#include "ck.h"
#include "er.h"
#include "hs.h"
#include "id.h"
#include "mt.h"
#include "st.h"

#include <gtest/gtest.h>
#include <string>

// Guards against accepting a number that overflows 64 bits.
TEST (St, ParseRejectsOverflowAndJunk)
{
  uint64_t v = 7;
  EXPECT_TRUE (st_parse_u64 (st_from_cstr ("18446744073709551615"), &v));
  EXPECT_EQ (v, UINT64_MAX);
  EXPECT_FALSE (st_parse_u64 (st_from_cstr ("18446744073709551616"), &v));
  EXPECT_FALSE (st_parse_u64 (st_from_cstr (""), &v));
  EXPECT_FALSE (st_parse_u64 (st_from_cstr ("12x"), &v));
  EXPECT_EQ (v, UINT64_MAX);
}

// Guards against silent truncation of a name.
TEST (St, NameRejectsTooLong)
{
  st_name n = {};
  std::string s (ST_NAME_MAX, 'a');
  EXPECT_TRUE (st_name_set (&n, st_from_cstr (s.c_str ())));
  s += 'b';
  EXPECT_FALSE (st_name_set (&n, st_from_cstr (s.c_str ())));
  EXPECT_EQ (st_name_str (&n).len, (size_t)ST_NAME_MAX);
}

// Guards against accepting a handle after its slot was allocated again.
TEST (Id, StaleHandleIsDetected)
{
  id_pool pool;
  id_desc desc = {};
  desc.capacity = 2;
  id_setup (&pool, &desc);
  id_handle a = id_make (&pool);
  id_handle b = id_make (&pool);
  EXPECT_NE (a, b);
  EXPECT_EQ (id_make (&pool), 0u);
  EXPECT_TRUE (id_destroy (&pool, a));
  EXPECT_FALSE (id_destroy (&pool, a));
  id_handle c = id_make (&pool);
  EXPECT_EQ (id_index (a), id_index (c));
  EXPECT_FALSE (id_valid (&pool, a));
  EXPECT_TRUE (id_valid (&pool, c));
  EXPECT_FALSE (id_valid (&pool, 0));
  id_shutdown (&pool);
}

// Guards against a quantile whose relative error exceeds 1/8.
TEST (Hs, QuantileWithinOneEighth)
{
  hs_histogram h = {};
  for (uint64_t v = 1; v <= 100000; v++)
    hs_record (&h, v);
  for (double q : { 0.1, 0.5, 0.95, 0.99 })
    {
      double exact = q * 100000;
      double got = (double)hs_quantile (&h, q);
      EXPECT_GE (got, exact * 0.999);
      EXPECT_LE (got, exact * 1.13);
    }
  EXPECT_EQ (hs_quantile (&h, 1.0), 100000u);
}

// Guards against unbounded growth of the registry by new label values.
TEST (Mt, SeriesAreBounded)
{
  mt_desc desc = {};
  desc.max_series = 10;
  mt_registry *m = mt_make (&desc);
  for (int i = 0; i < 1000; i++)
    {
      std::string team = "team" + std::to_string (i);
      mt_id id = mt_counter (m, "requests_total", "team",
                             st_from_cstr (team.c_str ()), nullptr, {});
      mt_add (m, id, 1);
    }
  EXPECT_LE (mt_query_series (m), 11u);
  mt_id other = mt_counter (m, "requests_total", "team", ST_LIT ("other"),
                            nullptr, {});
  EXPECT_EQ (mt_query_value (m, other), 990u);
  GString *text = mt_write_text (m);
  EXPECT_NE (std::string (text->str).find ("team=\"team3\"} 1"),
             std::string::npos);
  g_string_free (text, TRUE);
  mt_destroy (m);
}

// Guards against a manual clock that advances by itself.
TEST (Ck, ManualClockAdvancesOnlyOnRequest)
{
  ck_clock c = {};
  c.kind = CK_MANUAL;
  EXPECT_EQ (ck_now_us (&c), 0u);
  ck_advance_us (&c, 5);
  EXPECT_EQ (ck_now_us (&c), 5u);
  ck_clock real = {};
  EXPECT_GT (ck_now_us (&real), 0u);
}

TEST (Er, SetFillsMessageAndReturnsFalse)
{
  er_error e = {};
  EXPECT_FALSE (er_set (&e, ER_LIMIT, "raise %s to %d", "team.rate", 5));
  EXPECT_EQ (e.kind, ER_LIMIT);
  EXPECT_STREQ (e.message, "raise team.rate to 5");
  EXPECT_STREQ (er_kind_name (ER_LIMIT), "limit");
}
