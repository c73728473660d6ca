#include "ut.h"

#include <gtest/gtest.h>

namespace
{
ut_entry
entry (const char *id, const char *service = "llm", const char *dc = "west-a",
       uint64_t started_ms = 1)
{
  ut_entry e = {};
  st_name_set (&e.id, st_from_cstr (id));
  st_name_set (&e.service, st_from_cstr (service));
  st_name_set (&e.address, ST_LIT ("127.0.0.1:1"));
  st_name_set (&e.data_center, st_from_cstr (dc));
  st_name_set (&e.region, ST_LIT ("west"));
  e.slots = 4;
  e.started_ms = started_ms;
  return e;
}

struct Table
{
  ut_table *t;
  Table ()
  {
    ut_desc desc = {};
    st_name_set (&desc.data_center, ST_LIT ("west-a"));
    st_name_set (&desc.region, ST_LIT ("west"));
    t = ut_make (&desc);
  }
  ~Table () { ut_destroy (t); }
  ut_id
  put (const ut_entry &e, uint64_t now_us = 0)
  {
    return ut_put (t, &e, now_us);
  }
};

void
report (Table &table, uint64_t peer, uint32_t waiting_ranks,
        const ut_row *rows, size_t count, uint64_t now_us)
{
  ut_report r = { waiting_ranks, rows, count };
  ut_set_peer (table.t, peer, &r, now_us);
}

// Guards against a request being counted for the upstream that reuses the slot
// of its own.
TEST (Ut, TheIdOfARemovedUpstreamIsNotFound)
{
  Table table;
  ut_id a = table.put (entry ("a"));
  ut_remove (table.t, a);
  ut_id b = table.put (entry ("b"));
  EXPECT_EQ (a.index, b.index);
  EXPECT_EQ (ut_query (table.t, a), nullptr);
  ut_on_sent (table.t, a, 10);
  ut_on_end (table.t, a, 0, UT_FAILED, 0);
  EXPECT_EQ (ut_query (table.t, b)->own_running, 0u);
  EXPECT_EQ (ut_query (table.t, b)->recent_failures, 0.0);
}

// Guards against measurements of a process being used for the next one with
// the same id.
TEST (Ut, AnotherStartTimeIsAnotherProcess)
{
  Table table;
  ut_id a = table.put (entry ("a"));
  ut_set_unit_time (table.t, a, 9000);
  ut_id same = table.put (entry ("a"));
  EXPECT_EQ (same.generation, a.generation);
  EXPECT_EQ (ut_query (table.t, same)->unit_time_us, 9000);
  ut_id other = table.put (entry ("a", "llm", "west-a", 2));
  EXPECT_EQ (ut_query (table.t, a), nullptr);
  EXPECT_EQ (ut_query (table.t, other)->unit_time_us, 0);
}

// Guards against load of other VMs being counted twice or for ever.
TEST (Ut, ReportsReplaceEachOtherAndExpire)
{
  Table table;
  ut_id a = table.put (entry ("a"));
  ut_row rows[] = { { ut_hash (ST_LIT ("a")), 3, 700 },
                    { ut_hash (ST_LIT ("unknown")), 9, 9 } };
  report (table, 1, 0, rows, 2, 0);
  report (table, 2, 0, rows, 1, 1000000);
  EXPECT_EQ (ut_query (table.t, a)->peer_running, 6u);
  rows[0].running = 1;
  report (table, 1, 0, rows, 1, 1000000);
  EXPECT_EQ (ut_query (table.t, a)->peer_running, 4u);
  EXPECT_EQ (ut_query (table.t, a)->peer_prefill_tokens, 1400u);
  report (table, 2, 0, nullptr, 0, 2000000);
  EXPECT_EQ (ut_query (table.t, a)->peer_running, 1u);
  ut_expire_peers (table.t, 2400000);
  EXPECT_EQ (ut_query (table.t, a)->peer_running, 1u);
  ut_expire_peers (table.t, 2600000);
  EXPECT_EQ (ut_query (table.t, a)->peer_running, 0u);
}

// Guards against load that was reported before the upstream was added being
// lost, or subtracted twice when the report is replaced.
TEST (Ut, CountsReportsFromBeforeTheUpstreamWasAdded)
{
  Table table;
  ut_row row = { ut_hash (ST_LIT ("late")), 2, 5 };
  report (table, 7, 0, &row, 1, 0);
  ut_id id = table.put (entry ("late"));
  EXPECT_EQ (ut_query (table.t, id)->peer_running, 2u);
  report (table, 7, 0, nullptr, 0, 0);
  EXPECT_EQ (ut_query (table.t, id)->peer_running, 0u);
}

// Guards against sending more requests to an upstream that refuses
// connections.
TEST (Ut, AvoidsAnUnreachableUpstream)
{
  Table table;
  ut_id a = table.put (entry ("a"));
  for (int i = 0; i < 2; i++)
    {
      ut_on_sent (table.t, a, 0);
      ut_on_end (table.t, a, 0, UT_UNREACHABLE, 1000);
    }
  uint64_t first = ut_query (table.t, a)->avoid_until_us;
  EXPECT_GT (first, 1000u);
  ut_on_sent (table.t, a, 0);
  ut_on_end (table.t, a, 0, UT_UNREACHABLE, first);
  EXPECT_GT (ut_query (table.t, a)->avoid_until_us - first, first - 1000);
  ut_on_sent (table.t, a, 0);
  ut_on_end (table.t, a, 0, UT_SERVED, first);
  EXPECT_EQ (ut_query (table.t, a)->unreachable_in_row, 0u);
}

// Guards against an upstream that accepts connections and closes them at once:
// it always has room and so attracts the requests of all VMs.  Also guards
// against avoiding one that has lost a single response.
TEST (Ut, AvoidsAnUpstreamThatClosesConnections)
{
  Table table;
  ut_id a = table.put (entry ("a"));
  auto lose_connection = [&] (uint64_t now_us) {
    ut_on_sent (table.t, a, 0);
    ut_on_end (table.t, a, 0, UT_CONNECTION_LOST, now_us);
    return ut_query (table.t, a)->avoid_until_us;
  };
  EXPECT_EQ (lose_connection (1000), 0u);
  uint64_t first = lose_connection (2000);
  EXPECT_GT (first, 2000u);
  uint64_t second = lose_connection (first) - first;
  EXPECT_GT (second, first - 2000);
  ut_on_sent (table.t, a, 0);
  ut_on_end (table.t, a, 0, UT_SERVED, first + second);
  EXPECT_EQ (lose_connection (first + second + 1), first + second);
}

// Guards against one failure excluding an upstream, and against failures that
// never expire.
TEST (Ut, FailureRatioIsDampedAndDecays)
{
  Table table;
  ut_id a = table.put (entry ("a"));
  ut_on_sent (table.t, a, 0);
  ut_on_end (table.t, a, 0, UT_FAILED, 0);
  EXPECT_LT (ut_query_failure_ratio (table.t, a, 0), 0.4);
  for (int i = 0; i < 20; i++)
    {
      ut_on_sent (table.t, a, 0);
      ut_on_end (table.t, a, 0, UT_FAILED, 0);
    }
  EXPECT_GT (ut_query_failure_ratio (table.t, a, 0), 0.8);
  EXPECT_LT (ut_query_failure_ratio (table.t, a, 30 * UT_HALF_LIFE_US), 0.01);
}

TEST (Ut, RefusesUpstreamsBeyondItsCapacity)
{
  Table table;
  for (int i = 0; i < UT_UPSTREAMS_MAX; i++)
    ASSERT_NE (table.put (entry (std::to_string (i).c_str ())).generation, 0u);
  EXPECT_EQ (table.put (entry ("one too many")).generation, 0u);
  EXPECT_NE (ut_find (table.t, ST_LIT ("1023")).generation, 0u);
  EXPECT_EQ (ut_find (table.t, ST_LIT ("1024")).generation, 0u);
}
} // namespace

// Guards against VMs dividing the slots among more or fewer contenders than
// there are: some slots would stay empty, or be filled twice.
TEST (Ut, ContendersDivideTheSlotsAmongThemselves)
{
  for (uint64_t vms = 1; vms <= 9; vms++)
    for (uint32_t slots = 0; slots <= 8; slots++)
      {
        uint32_t sum = 0;
        for (uint64_t own = 1; own <= vms; own++)
          {
            Table table;
            ut_id a = table.put (entry ("a"));
            ut_set_key (table.t, own);
            for (uint64_t peer = 1; peer <= vms; peer++)
              if (peer != own)
                report (table, peer, 1u << 2, nullptr, 0, 0);
            ut_contenders contenders = ut_query_contenders (table.t, 2, 0);
            EXPECT_EQ (contenders.count, vms - 1);
            sum += ut_query_slot_share (table.t, a, &contenders, slots);
          }
        EXPECT_EQ (sum, slots) << vms << " VMs";
      }
}

// Guards against slots being reserved for VMs at which nothing waits, or only
// less urgent requests, and against dividing the slots that these VMs use.
TEST (Ut, OnlyAsUrgentRequestsMakeAContender)
{
  Table table;
  ut_id a = table.put (entry ("a"));
  ut_row row = { ut_hash (ST_LIT ("a")), 2, 0 };
  report (table, 1, 0, &row, 1, 0);
  report (table, 2, 1u << 5, &row, 1, 0);
  ut_contenders urgent = ut_query_contenders (table.t, 4, 0);
  EXPECT_EQ (urgent.count, 0u);
  EXPECT_EQ (ut_query_slot_share (table.t, a, &urgent, 6), 2u);
  ut_contenders less_urgent = ut_query_contenders (table.t, 5, 0);
  EXPECT_EQ (less_urgent.count, 1u);
  EXPECT_EQ (ut_query_slot_share (table.t, a, &less_urgent, 6), 2u);
}

// Guards against slots being reserved for a VM that has ended.
TEST (Ut, AnUnresponsiveContenderExpires)
{
  Table table;
  report (table, 1, 1, nullptr, 0, 0);
  EXPECT_EQ (ut_query_contenders (table.t, 0, 500000).count, 1u);
  EXPECT_EQ (ut_query_contenders (table.t, 0, 700000).count, 0u);
}
