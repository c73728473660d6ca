// An upstream that is leaving, with the real programs on loopback.
#include "proc.h"

#include <csignal>
#include <future>
#include <gtest/gtest.h>

using proc::Cluster;
using proc::ClusterDesc;
using proc::Json;
using proc::Response;

namespace
{

const uint32_t seed = 13;
// Invariant 7: longest time from the state "leaving" in the VM list until no
// new requests are sent.
const int bound_ms = 3000;

class E2eLeaving : public testing::Test
{
protected:
  std::unique_ptr<Cluster> cluster;

  void
  TearDown () override
  {
    if (HasFailure () && cluster)
      cluster->print_logs ();
  }

  // Number of requests that engine I received, including refused ones.
  json_int_t
  attempts (int i)
  {
    json_int_t count = 0;
    size_t at;
    json_t *stream;
    Json body (proc::get (cluster->engine (i).address + "/received").body);
    json_array_foreach (json_object_get (body.get (), "streams"), at, stream)
        count
        += json_integer_value (json_object_get (stream, "received"))
           + json_integer_value (json_object_get (stream, "refused"));
    return count;
  }
};

// Guards against new requests to an engine that is leaving in the VM list, and
// against an early end of the streams that it still runs.
TEST_F (E2eLeaving, EngineGetsNoNewWork)
{
  ClusterDesc desc;
  desc.vms = 2;
  desc.engines = 2;
  desc.services = 0;
  desc.seed = seed;
  desc.engine_args
      = { "--decode", "50", "--slots", "8", "--leave-ms", "20000" };
  printf ("seed %u\n", seed);
  cluster = std::make_unique<Cluster> (desc);
  ASSERT_TRUE (cluster->start ()) << cluster->error;
  // With --leave-ms the engine exits when it is idle, so long streams keep it
  // running during the test.
  std::map<std::string, std::future<Response>> streams;
  for (int i = 0; i < 8; i++)
    {
      std::string id = cluster->new_id (i % 2);
      streams[id] = std::async (std::launch::async, [this, id, i] {
        return cluster->draft (i % 2, id, 400, true, 3, 40000);
      });
    }
  ASSERT_TRUE (proc::wait_until (
      5000, [&] { return cluster->running_streams () == 8; }));
  ASSERT_GT (attempts (0), 0);
  cluster->engine (0).process.signal (SIGTERM);
  proc::sleep_ms (bound_ms);
  json_int_t before = attempts (0);
  json_int_t other = attempts (1);
  ASSERT_GT (before, 0) << "the engine exited too early";
  for (int i = 0; i < 24; i++)
    {
      std::string id = cluster->new_id (i % 2);
      Response r = cluster->draft (i % 2, id, 2);
      EXPECT_EQ (r.text (), Cluster::expected (id, 2)) << r.body << r.error;
    }
  EXPECT_EQ (attempts (0), before);
  EXPECT_EQ (attempts (1), other + 24);
  for (auto &entry : streams)
    {
      Response r = entry.second.get ();
      EXPECT_TRUE (r.done ()) << r.error;
      EXPECT_EQ (r.text (), Cluster::expected (entry.first, 400));
    }
}

} // namespace
