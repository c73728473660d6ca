// Urgent work beside patient work, with the real programs on loopback.
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

  // Twelve slots for all VMs together, of which patient work may take nine:
  // the headroom is one slot an engine.  A patient stream takes about 2.4 s.
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

// Invariant 2.  Guards against urgent requests that are refused, or wait for
// patient streams to end, at one VM while patient work runs through another,
// and against patient streams that are lost or run twice when they are
// stopped.
TEST_F (E2eTier, UrgentWorkPassesPatientWorkOfOtherVms)
{
  run (3);
  std::map<std::string, std::future<Response>> patient;
  std::map<std::string, std::future<Response>> urgent;
  for (int i = 0; i < 18; i++)
    {
      std::string id = cluster->new_id (0);
      patient[id] = send (0, id, 120, 4);
    }
  ASSERT_TRUE (proc::wait_until (
      5000, [&] { return cluster->running_streams () >= 9; }));
  int64_t begin = proc::now_ms ();
  for (int i = 0; i < 18; i++)
    {
      std::string id = cluster->new_id (1 + i % 2);
      urgent[id] = send (1 + i % 2, id, 10, 0);
    }
  for (auto &entry : urgent)
    check_answered (entry.first, entry.second.get ());
  int64_t urgent_ms = proc::now_ms () - begin;
  int unfinished = 0;
  for (auto &entry : patient)
    if (entry.second.wait_for (std::chrono::seconds (0))
        != std::future_status::ready)
      unfinished++;
  // At least nine patient streams wait or were stopped, so they end after the
  // urgent ones.
  EXPECT_GE (unfinished, 9) << "urgent work took " << urgent_ms << " ms";
  for (auto &entry : patient)
    check_answered (entry.first, entry.second.get ());
  check_received_once ();
}

// Guards against waiting requests that are lost or refused when the owner of
// their cell dies, and against streams that are cut by its death.
TEST_F (E2eTier, OwnerOfTheCellKilled)
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
  std::map<std::string, std::future<Response>> answers;
  for (int i = 0; i < 18; i++)
    {
      int vm = (owner + 1 + i % 2) % 3;
      std::string id = cluster->new_id (vm);
      answers[id] = send (vm, id, 60, 1 + i % 4);
    }
  ASSERT_TRUE (proc::wait_until (
      5000, [&] { return cluster->running_streams () >= 9; }));
  cluster->vm (owner).process.kill ();
  for (auto &entry : answers)
    check_answered (entry.first, entry.second.get ());
  check_received_once ();
}

} // namespace
