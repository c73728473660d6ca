// Team limits over several VMs, with the real programs on loopback.
#include "proc.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

using proc::Cluster;
using proc::ClusterDesc;
using proc::Request;
using proc::Response;

namespace
{

const char token[] = "test-root-token-0123456789";
const uint32_t seed = 17;
const double limit = 30; // requests per second, all VMs together

// Guards against a limit that applies to each VM instead of to all together,
// and against a team that uses one VM and gets only an equal fraction.
TEST (E2eLimit, AppliesToAllVmsAndFollowsDemand)
{
  ClusterDesc desc;
  desc.vms = 3;
  desc.engines = 3;
  desc.services = 0;
  desc.seed = seed;
  desc.engine_args = { "--decode", "1000", "--prefill", "100000" };
  printf ("seed %u\n", seed);
  Cluster cluster (desc);
  ASSERT_TRUE (cluster.start ()) << cluster.error;
  for (int i = 0; i < 3; i++)
    ASSERT_TRUE (cluster.wait_members (i, 3));
  Request change;
  change.method = "POST";
  change.url = cluster.vm (0).admin + "/admin/changes";
  change.headers = { std::string ("Authorization: Bearer ") + token };
  change.body = "{\"base_version\":0,\"edits\":[{\"path\":\"root\",\"key\":"
                "\"limit.requests_per_s\",\"value\":\"30\"}]}";
  ASSERT_EQ (proc::call (change).status, 200);
  proc::sleep_ms (1000);
  std::atomic<int> answered{ 0 };
  std::atomic<int> answered_second_half{ 0 };
  std::atomic<int> refused{ 0 };
  const int64_t begin_ms = proc::now_ms ();
  const int64_t length_ms = 10000;
  std::vector<std::vector<std::string>> ids (4);
  for (auto &list : ids)
    for (int i = 0; i < 4000; i++)
      list.push_back (cluster.new_id (0));
  std::vector<std::thread> callers;
  for (int c = 0; c < 4; c++)
    callers.emplace_back ([&, c] {
      for (const std::string &id : ids[(size_t)c])
        {
          int64_t elapsed_ms = proc::now_ms () - begin_ms;
          if (elapsed_ms > length_ms)
            return;
          Response r = cluster.draft (0, id, 1, false);
          if (r.status == 200)
            {
              answered++;
              answered_second_half += elapsed_ms > length_ms / 2;
            }
          else if (r.status == 429)
            refused++;
          proc::sleep_ms (10);
        }
    });
  for (std::thread &t : callers)
    t.join ();
  printf ("%d answered, %d of them in the second half, %d refused\n",
          answered.load (), answered_second_half.load (), refused.load ());
  double seconds = (double)length_ms / 1000;
  EXPECT_GT (refused, 0);
  // The documented overshoot: one second of the limit, and one for each of the
  // two changes of membership.
  EXPECT_LE (answered, limit * (seconds + 1 + 2));
  EXPECT_GT (answered_second_half, limit * seconds / 2 / 2)
      << "the VM that the team uses has less than half of the limit";
}

} // namespace
