// Rollouts with the real programs on loopback.
#include "proc.h"

#include <atomic>
#include <ctime>
#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

using proc::Cluster;
using proc::ClusterDesc;
using proc::Json;
using proc::Request;
using proc::Response;

namespace
{

const char token[] = "test-root-token-0123456789";
const uint32_t seed = 5;

class E2eRollout : public testing::Test
{
protected:
  std::unique_ptr<Cluster> cluster;
  std::atomic<bool> stop{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> unexpected_outcomes{ 0 };
  std::vector<std::thread> callers;
  std::mutex ids_mutex;

  void
  run (std::vector<std::string> engine_args)
  {
    ClusterDesc desc;
    desc.vms = 3;
    desc.engines = 3;
    desc.services = 0;
    desc.seed = seed;
    desc.engine_args = std::move (engine_args);
    printf ("seed %u\n", seed);
    cluster = std::make_unique<Cluster> (desc);
    ASSERT_TRUE (cluster->start ()) << cluster->error;
    for (int i = 0; i < 3; i++)
      ASSERT_TRUE (cluster->wait_members (i, 3));
  }

  // Starts 8 callers that send drafts one after another.  A failed draft must
  // have the outcome unknown, never not_run.
  void
  start_callers ()
  {
    for (int c = 0; c < 8; c++)
      callers.emplace_back ([this, c] {
        while (!stop)
          {
            Response r = cluster->draft (c % 3, next_id (c % 3), 2, false);
            sent++;
            if (r.status == 200 || r.outcome () == "unknown")
              continue;
            if (unexpected_outcomes++ == 0)
              printf ("status %d %s%s\n", r.status, r.body.c_str (),
                      r.error.c_str ());
          }
      });
  }

  std::string
  next_id (int vm)
  {
    std::lock_guard<std::mutex> lock (ids_mutex);
    return cluster->new_id (vm);
  }

  void
  stop_callers ()
  {
    stop = true;
    for (std::thread &t : callers)
      t.join ();
    callers.clear ();
  }

  void
  TearDown () override
  {
    stop_callers ();
    if (HasFailure () && cluster)
      cluster->print_logs ();
  }

  Response
  admin (const char *method, const std::string &path, const std::string &body)
  {
    Request r;
    r.method = method;
    r.url = cluster->vm (0).admin + path;
    r.body = body;
    r.headers = { std::string ("Authorization: Bearer ") + token };
    return proc::call (r);
  }

  std::string
  edit (const char *key, const std::string &value)
  {
    return std::string ("{\"path\":\"service/m1\",\"key\":\"") + key
           + "\",\"value\":\"" + value + "\"}";
  }

  void
  start_rollout (int deadline_s)
  {
    char deadline[32];
    time_t at = time (nullptr) + deadline_s;
    struct tm parts;
    gmtime_r (&at, &parts);
    strftime (deadline, sizeof deadline, "%Y-%m-%dT%H:%M:%SZ", &parts);
    Response r = admin ("POST", "/admin/changes",
                        "{\"base_version\":0,\"edits\":["
                            + edit ("current_version", "v1") + ","
                            + edit ("rollout.to", "v2") + ","
                            + edit ("rollout.rung_min_ms", "1000") + ","
                            + edit ("rollout.watch_ms", "1000") + ","
                            + edit ("rollout.deadline", deadline) + "]}");
    ASSERT_EQ (r.status, 200) << r.body;
  }

  // State and reason of the rollout in GET /admin/moves.
  std::pair<std::string, std::string>
  query_rollout ()
  {
    Json body (admin ("GET", "/admin/moves", "").body);
    json_t *moves = json_is_array (body.get ())
                        ? body.get ()
                        : json_object_get (body.get (), "moves");
    size_t i;
    json_t *m;
    json_array_foreach (moves, i, m)
    {
      const char *kind = json_string_value (json_object_get (m, "kind"));
      const char *state = json_string_value (json_object_get (m, "state"));
      const char *reason = json_string_value (json_object_get (m, "reason"));
      if (kind != nullptr && std::string (kind) == "rollout")
        return { state != nullptr ? state : "",
                 reason != nullptr ? reason : "" };
    }
    return { "", "" };
  }

  int
  dispatched (const std::string &version)
  {
    int count = 0;
    for (int i = 0; i < 3; i++)
      {
        Json body (proc::get (cluster->engine (i).address + "/received").body);
        size_t at;
        json_t *stream;
        json_array_foreach (json_object_get (body.get (), "streams"), at,
                            stream)
        {
          const char *v
              = json_string_value (json_object_get (stream, "version"));
          if (v != nullptr && version == v
              && json_integer_value (json_object_get (stream, "received")) > 0)
            count++;
        }
      }
    return count;
  }
};

// Invariant 3.  Guards against a version that fails at once but gets more than
// 2% of the traffic, or still receives requests after the rollback.
TEST_F (E2eRollout, FailingVersionIsRolledBack)
{
  run ({ "--decode", "500", "--prefill", "100000", "--versions", "v1,v2",
         "--bad-mode", "fail", "--bad-version", "v2" });
  start_callers ();
  start_rollout (600);
  ASSERT_TRUE (proc::wait_until (
      60000, [&] { return query_rollout ().first == "taken_back"; }))
      << "state " << query_rollout ().first << " after " << sent
      << " requests";
  int at_halt = dispatched ("v2");
  int total = sent;
  proc::sleep_ms (2000);
  int before = dispatched ("v2");
  proc::sleep_ms (2000);
  stop_callers ();
  printf ("%d requests, %d to v2 until the rollback (%s)\n", total, at_halt,
          query_rollout ().second.c_str ());
  EXPECT_GT (at_halt, 0);
  EXPECT_LE (at_halt, total * 2 / 100 + 3);
  EXPECT_EQ (dispatched ("v2"), before)
      << "requests were sent to v2 more than 2 s after the rollback";
  EXPECT_EQ (unexpected_outcomes, 0);
}

// Guards against a good version that is rolled back, or not fully rolled out
// by its deadline.
TEST_F (E2eRollout, GoodVersionIsDoneByItsDeadline)
{
  run ({ "--decode", "500", "--prefill", "100000", "--versions", "v1,v2" });
  start_callers ();
  start_rollout (60);
  bool done = proc::wait_until (61000, [&] {
    std::string state = query_rollout ().first;
    return state == "done" || state == "taken_back";
  });
  std::pair<std::string, std::string> end = query_rollout ();
  int total = sent;
  proc::sleep_ms (1500);
  int v1 = dispatched ("v1");
  proc::sleep_ms (2000);
  int v1_later = dispatched ("v1");
  int total_later = sent;
  stop_callers ();
  printf ("%d requests until %s (%s)\n", total, end.first.c_str (),
          end.second.c_str ());
  EXPECT_TRUE (done);
  EXPECT_EQ (end.first, "done") << end.second;
  EXPECT_LT (v1_later - v1, (total_later - total) / 2)
      << "the old version still gets most of the requests";
  EXPECT_EQ (unexpected_outcomes, 0);
}

} // namespace
