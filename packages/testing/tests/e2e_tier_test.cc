// Urgent work beside non-urgent work, with the real programs on loopback.
#include "proc.h"

#include <csignal>
#include <future>
#include <gtest/gtest.h>

using proc::Cluster;
using proc::ClusterDesc;
using proc::Response;

namespace
{

const uint32_t seed = 11;

class E2eTier : public testing::Test
{
protected:
  std::unique_ptr<Cluster> cluster;
  std::map<std::string, int> tokens;

  // 12 slots for all VMs together, of which non-urgent work may use 9: the
  // headroom is one slot per engine.  A non-urgent stream takes about 2.4 s.
  void
  run (int vms)
  {
    ClusterDesc desc;
    desc.vms = vms;
    desc.engines = 3;
    desc.services = 0;
    desc.engine_args = { "--decode", "50", "--slots", "4" };
    desc.seed = seed;
    printf ("seed %u\n", seed);
    cluster = std::make_unique<Cluster> (desc);
    ASSERT_TRUE (cluster->start ()) << cluster->error;
    for (int i = 0; i < vms; i++)
      ASSERT_TRUE (cluster->wait_members (i, (size_t)vms));
  }

  void
  TearDown () override
  {
    if (HasFailure () && cluster)
      cluster->print_logs ();
  }

  std::future<Response>
  send (int vm, const std::string &id, int count, int tier)
  {
    tokens[id] = count;
    return std::async (std::launch::async, [=] {
      return cluster->draft (vm, id, count, true, tier, 40000);
    });
  }

  void
  check_answered (const std::string &id, const Response &r)
  {
    EXPECT_EQ (r.status, 200) << id << " " << r.body << r.error;
    EXPECT_TRUE (r.done ()) << id << " " << r.error;
    EXPECT_EQ (r.text (), Cluster::expected (id, tokens[id])) << id;
  }

  void
  check_received_once ()
  {
    for (const auto &entry : cluster->received ())
      EXPECT_LE (entry.second, 1) << entry.first << " was dispatched twice";
  }
};

// Invariant 2.  Guards against urgent requests at one VM that are refused, or
// wait for the end of non-urgent streams that another VM dispatched, and
// against non-urgent streams that are lost or run twice after a stop.
TEST_F (E2eTier, UrgentWorkOvertakesNonUrgentWorkOfOtherVms)
{
  run (3);
  std::map<std::string, std::future<Response>> non_urgent;
  std::map<std::string, std::future<Response>> urgent;
  for (int i = 0; i < 18; i++)
    {
      std::string id = cluster->new_id (0);
      non_urgent[id] = send (0, id, 120, 4);
    }
  ASSERT_TRUE (proc::wait_until (
      5000, [&] { return cluster->running_streams () >= 9; }));
  int64_t begin_ms = proc::now_ms ();
  for (int i = 0; i < 18; i++)
    {
      std::string id = cluster->new_id (1 + i % 2);
      urgent[id] = send (1 + i % 2, id, 10, 0);
    }
  for (auto &entry : urgent)
    check_answered (entry.first, entry.second.get ());
  int64_t urgent_ms = proc::now_ms () - begin_ms;
  int unfinished = 0;
  for (auto &entry : non_urgent)
    if (entry.second.wait_for (std::chrono::seconds (0))
        != std::future_status::ready)
      unfinished++;
  // At least 9 non-urgent streams wait or were stopped, so they end after the
  // urgent ones.
  EXPECT_GE (unfinished, 9) << "urgent work took " << urgent_ms << " ms";
  for (auto &entry : non_urgent)
    check_answered (entry.first, entry.second.get ());
  check_received_once ();
}

// Guards against waiting requests that are lost or refused when the owner of
// their cell dies, and against streams that end early because of it.
TEST_F (E2eTier, CellOwnerKilled)
{
  run (3);
  std::string metric;
  int owner = -1;
  for (int i = 0; i < 3; i++)
    if (cluster->vm (i).process.log ().find ("owns cell") != std::string::npos)
      {
        std::string log = cluster->vm (i).process.log ();
        if (log.rfind ("owns cell") > log.rfind ("no longer owns cell")
            || log.find ("no longer owns cell") == std::string::npos)
          owner = i;
      }
  ASSERT_GE (owner, 0) << "no VM owns the cell";
  std::map<std::string, std::future<Response>> responses;
  for (int i = 0; i < 18; i++)
    {
      int vm = (owner + 1 + i % 2) % 3;
      std::string id = cluster->new_id (vm);
      responses[id] = send (vm, id, 60, 1 + i % 4);
    }
  ASSERT_TRUE (proc::wait_until (
      5000, [&] { return cluster->running_streams () >= 9; }));
  cluster->vm (owner).process.kill ();
  for (auto &entry : responses)
    check_answered (entry.first, entry.second.get ());
  check_received_once ();
}

} // namespace
