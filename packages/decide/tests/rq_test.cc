#include "rq.h"

#include <cstdlib>
#include <glib.h>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

static const char own[] = "rajkot-a-1-0123456789abcdef";

static std::string
make_id (uint64_t issued_ms, uint64_t nonce, const char *incarnation = own)
{
  char text[RQ_ID_MAX];
  size_t n = rq_format_id (text, sizeof text, st_from_cstr (incarnation),
                           issued_ms, nonce);
  return std::string (text, n);
}

static st_str
str (const std::string &s)
{
  return st_str{ s.data (), s.size () };
}

static rq_table *
make_table (uint32_t capacity = 64, bool disable = false)
{
  rq_desc desc = {};
  desc.incarnation = st_from_cstr (own);
  desc.capacity = capacity;
  desc.retention_ms = 1000;
  desc.max_future_ms = 100;
  desc.min_retention_ms = 200;
  desc.disable_duplicate_check = disable;
  return rq_make (&desc);
}

// Guards against a second dispatch of a retried request.
TEST (Rq, RetryNeverDispatchesAgain)
{
  rq_table *t = make_table ();
  std::string id = make_id (5000, 1);
  rq_handle a;
  rq_handle b;
  EXPECT_EQ (rq_admit (t, str (id), 5000, &a), RQ_ADMITTED);
  EXPECT_TRUE (rq_begin_dispatch (t, a));
  EXPECT_EQ (rq_admit (t, str (id), 5001, &b), RQ_SEEN);
  EXPECT_EQ (a, b);
  EXPECT_FALSE (rq_begin_dispatch (t, b));
  EXPECT_TRUE (rq_finish (t, a, RQ_ANSWERED));
  EXPECT_FALSE (rq_begin_dispatch (t, a));
  rq_destroy (t);
}

// Guards against the outcome "not run" for a request that may have run, and
// against a second outcome.
TEST (Rq, NotRunOnlyWhenNotSent)
{
  rq_table *t = make_table ();
  std::string id = make_id (5000, 1);
  rq_handle h;
  ASSERT_EQ (rq_admit (t, str (id), 5000, &h), RQ_ADMITTED);
  EXPECT_FALSE (rq_finish (t, h, RQ_ANSWERED));
  EXPECT_TRUE (rq_begin_dispatch (t, h));
  EXPECT_FALSE (rq_finish (t, h, RQ_NOT_RUN));
  EXPECT_TRUE (rq_undo_dispatch (t, h));
  EXPECT_TRUE (rq_finish (t, h, RQ_NOT_RUN));
  EXPECT_FALSE (rq_finish (t, h, RQ_UNKNOWN));
  rq_destroy (t);
}

// Guards against admitting an id again after its record was dropped, also
// when the wall clock steps back in between.
TEST (Rq, DroppedIdStaysRefusedAfterClockStep)
{
  rq_table *t = make_table ();
  std::string id = make_id (5000, 1);
  rq_handle h;
  ASSERT_EQ (rq_admit (t, str (id), 5000, &h), RQ_ADMITTED);
  ASSERT_TRUE (rq_begin_dispatch (t, h));
  ASSERT_TRUE (rq_finish (t, h, RQ_ANSWERED));
  EXPECT_EQ (rq_expire (t, 6000, nullptr, nullptr), 0u);
  EXPECT_EQ (rq_expire (t, 6001, nullptr, nullptr), 1u);
  EXPECT_EQ (rq_admit (t, str (id), 5000, &h), RQ_TOO_OLD);
  rq_destroy (t);
}

// Guards against dispatching a request that another process owns.
TEST (Rq, OtherIncarnationIsNotAdmitted)
{
  rq_table *t = make_table ();
  rq_handle h;
  std::string id = make_id (5000, 1, "rajkot-a-1-0123456789abcdee");
  EXPECT_EQ (rq_admit (t, str (id), 5000, &h), RQ_OTHER_OWNER);
  rq_record r;
  EXPECT_EQ (rq_lookup (t, str (id), 5000, true, &r), RQ_OTHER_OWNER);
  EXPECT_EQ (rq_query_count (t), 0u);
  rq_destroy (t);
}

// Guards against running a request that arrives after a lookup of its id was
// answered with "not run".
TEST (Rq, LookupRefusesUnseenId)
{
  rq_table *t = make_table ();
  std::string id = make_id (5000, 1);
  rq_record r;
  rq_handle h;
  EXPECT_EQ (rq_lookup (t, str (id), 5000, false, &r), RQ_ADMITTED);
  EXPECT_EQ (rq_lookup (t, str (id), 5000, true, &r), RQ_SEEN);
  EXPECT_EQ (r.outcome, RQ_NOT_RUN);
  EXPECT_EQ (rq_admit (t, str (id), 5001, &h), RQ_SEEN);
  EXPECT_FALSE (rq_begin_dispatch (t, h));
  rq_destroy (t);
}

// Guards against admitting malformed ids and ids of a skewed clock.
TEST (Rq, InvalidIdsAreRefused)
{
  rq_table *t = make_table ();
  rq_handle h;
  for (const char *bad :
       { "", "x", "a.b", "a.1", "a.1.", ".1.x", "a.x.y", "a.1.b c", "a.-1.b",
         "a.99999999999999999999999.b", "a.1.b.c" })
    EXPECT_EQ (rq_admit (t, st_from_cstr (bad), 5000, &h), RQ_MALFORMED)
        << bad;
  std::string longid (RQ_ID_MAX, 'a');
  EXPECT_EQ (rq_admit (t, str (longid), 5000, &h), RQ_MALFORMED);
  EXPECT_EQ (rq_admit (t, str (make_id (5101, 1)), 5000, &h), RQ_IN_FUTURE);
  EXPECT_EQ (rq_admit (t, str (make_id (3999, 1)), 5000, &h), RQ_TOO_OLD);
  rq_destroy (t);
}

// Guards against a full table that drops an unfinished record to make room.
TEST (Rq, FullTableRefuses)
{
  rq_table *t = make_table (2);
  rq_handle h;
  EXPECT_EQ (rq_admit (t, str (make_id (5000, 1)), 5000, &h), RQ_ADMITTED);
  EXPECT_EQ (rq_admit (t, str (make_id (5000, 2)), 5000, &h), RQ_ADMITTED);
  EXPECT_EQ (rq_admit (t, str (make_id (5000, 3)), 5000, &h), RQ_FULL);
  EXPECT_EQ (rq_admit (t, str (make_id (5000, 1)), 5000, &h), RQ_SEEN);
  rq_destroy (t);
}

// Guards against a table full of finished records that admits no more
// requests, and against running a dropped id again.
TEST (Rq, FullTableDropsOldestAndRefusesTheirIds)
{
  rq_table *t = make_table (64);
  std::vector<std::string> ids;
  for (uint64_t i = 0; i < 1000; i++)
    {
      uint64_t wall = 5000 + i * 10;
      rq_handle h;
      ids.push_back (make_id (wall, i));
      ASSERT_EQ (rq_admit (t, str (ids.back ()), wall, &h), RQ_ADMITTED) << i;
      ASSERT_TRUE (rq_begin_dispatch (t, h));
      ASSERT_TRUE (rq_finish (t, h, RQ_ANSWERED));
    }
  for (const std::string &id : ids)
    {
      rq_handle h;
      EXPECT_NE (rq_admit (t, str (id), 5000 + 999 * 10, &h), RQ_ADMITTED);
    }
  rq_destroy (t);
}

static uint64_t
env_number (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? strtoull (text, nullptr, 10) : fallback;
}

// One random schedule of arrivals, duplicates, lookups, failures and clock
// steps.  Returns the highest number of times any id reached an upstream,
// and adds the number of ids that ran after "not run" to RAN_AFTER_NOT_RUN.
static int
run_schedule (uint64_t seed, bool disable, int *ran_after_not_run)
{
  GRand *rand = g_rand_new_with_seed ((guint32)seed);
  rq_table *t = make_table (32, disable);
  uint64_t wall = 10000;
  std::map<std::string, int> received;
  std::map<std::string, bool> not_run_reported;
  std::vector<std::string> ids;
  int worst = 0;
  for (int step = 0; step < 120; step++)
    {
      wall += (uint64_t)g_rand_int_range (rand, 0, 60);
      if (g_rand_int_range (rand, 0, 20) == 0)
        wall -= 300;
      if (ids.empty () || g_rand_boolean (rand))
        ids.push_back (make_id (wall, step));
      std::string id
          = ids[(size_t)g_rand_int_range (rand, 0, (int)ids.size ())];
      rq_handle h = 0;
      rq_record r;
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
        case 1:
          if (rq_admit (t, str (id), wall, &h) != RQ_ADMITTED)
            h = 0;
          break;
        case 2:
          if (rq_lookup (t, str (id), wall, true, &r) == RQ_SEEN
              && r.outcome == RQ_NOT_RUN)
            not_run_reported[id] = true;
          break;
        default:
          rq_expire (t, wall, nullptr, nullptr);
        }
      if (h == 0 || !rq_begin_dispatch (t, h))
        continue;
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0: // connection refused, dispatched again, answered
          EXPECT_TRUE (rq_undo_dispatch (t, h));
          EXPECT_TRUE (rq_begin_dispatch (t, h));
          received[id]++;
          rq_finish (t, h, RQ_ANSWERED);
          break;
        case 1: // connection refused, not dispatched again
          rq_undo_dispatch (t, h);
          if (rq_finish (t, h, RQ_NOT_RUN))
            not_run_reported[id] = true;
          break;
        case 2: // connection lost after the request was sent
          received[id]++;
          if (rq_finish (t, h, RQ_NOT_RUN))
            not_run_reported[id] = true;
          rq_finish (t, h, RQ_UNKNOWN);
          break;
        default: // still running
          received[id]++;
        }
    }
  for (auto &it : received)
    {
      worst = std::max (worst, it.second);
      if (not_run_reported[it.first])
        (*ran_after_not_run)++;
    }
  rq_destroy (t);
  g_rand_free (rand);
  return worst;
}

// Guards against dispatching an id twice and against running an id that was
// reported as "not run".  With the duplicate check disabled the same schedules
// must fail.
TEST (Rq, PropertyDispatchAtMostOnce)
{
  uint64_t seed = env_number ("DB_SEED", 1);
  uint64_t runs = env_number ("DB_RUNS", 10000);
  int worst_without = 0;
  for (uint64_t i = 0; i < runs; i++)
    {
      int ran_after_not_run = 0;
      ASSERT_LE (run_schedule (seed + i, false, &ran_after_not_run), 1)
          << "replay: DB_SEED=" << seed + i << " DB_RUNS=1";
      ASSERT_EQ (ran_after_not_run, 0)
          << "replay: DB_SEED=" << seed + i << " DB_RUNS=1";
      if (i < 100)
        worst_without = std::max (
            worst_without, run_schedule (seed + i, true, &ran_after_not_run));
    }
  EXPECT_GT (worst_without, 1);
}
