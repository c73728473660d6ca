// Failures around calls that may not be repeated and around membership, with
// the real programs on loopback.
//
// DB_SEED=N replays the mixed faults of seed N.
#include "proc.h"

#include <csignal>
#include <cstdlib>
#include <future>
#include <gtest/gtest.h>
#include <random>

using proc::Cluster;
using proc::ClusterDesc;
using proc::Json;
using proc::Response;

namespace
{

uint32_t
seed ()
{
  const char *text = getenv ("DB_SEED");
  return text != nullptr ? (uint32_t)strtoul (text, nullptr, 10) : 11;
}

class E2eCall : public testing::Test
{
protected:
  void
  run (int vms = 3)
  {
    ClusterDesc desc;
    desc.vms = vms;
    desc.engines = 1;
    desc.services = 1;
    desc.seed = seed ();
    printf ("seed %u\n", desc.seed);
    cluster = std::make_unique<Cluster> (desc);
    ASSERT_TRUE (cluster->start ()) << cluster->error;
    for (int i = 0; i < vms; i++)
      ASSERT_TRUE (cluster->wait_members (i, (size_t)vms)) << "VM " << i;
  }

  void
  TearDown () override
  {
    if (HasFailure () && cluster)
      cluster->print_logs ();
  }

  // Addresses that VM I names.
  size_t
  members (int i)
  {
    Response r = proc::get (cluster->vm (i).address + "/v1/addresses", 500);
    return json_array_size (
        json_object_get (Json (r.body).get (), "addresses"));
  }

  std::unique_ptr<Cluster> cluster;
};

} // namespace

// Guards against the same key running through several VMs at one moment.
TEST_F (E2eCall, SameKeyAtAllVmsRunsOnce)
{
  run ();
  for (int round = 0; round < 5; round++)
    {
      std::string key = "same-" + std::to_string (round);
      std::vector<std::future<Response>> answers;
      for (int i = 0; i < 6; i++)
        answers.push_back (std::async (
            std::launch::async, [=] { return cluster->order (i % 3, key); }));
      for (auto &a : answers)
        {
          Response r = a.get ();
          EXPECT_EQ (r.outcome (), "answered") << r.body;
        }
      EXPECT_EQ (cluster->received ()[key], 1);
    }
}

// Guards against an order that is sent again after its VM was killed.
TEST_F (E2eCall, VmKilledWithOrderInFlight)
{
  run ();
  cluster->faults (cluster->service (0), R"({"delay_ms":3000})");
  auto first = std::async (std::launch::async,
                           [&] { return cluster->order (0, "killed"); });
  ASSERT_TRUE (proc::wait_until (
      3000, [&] { return cluster->received ()["killed"] == 1; }));
  cluster->vm (0).process.signal (SIGKILL);
  EXPECT_EQ (first.get ().status, 0);
  // While the VM is not yet known to be dead the outcome is unknown as well.
  for (int i = 1; i < 3; i++)
    {
      Response r = cluster->order (i, "killed");
      EXPECT_EQ (r.outcome (), "unknown") << r.body;
    }
  cluster->faults (cluster->service (0), R"({"delay_ms":0})");
  proc::sleep_ms (5000);
  EXPECT_EQ (cluster->order (1, "killed").outcome (), "unknown");
  EXPECT_EQ (cluster->received ()["killed"], 1);
  EXPECT_EQ (cluster->order (2, "next").outcome (), "answered");
}

// Guards against orders that run although their intent cannot be stored, and
// against a store outage that lasts longer than the outage.
TEST_F (E2eCall, StoreOutageIsNotRun)
{
  run ();
  cluster->faults (cluster->platform (), R"({"outage":true})");
  Response r = cluster->order (0, "outage");
  EXPECT_EQ (r.status, 503);
  EXPECT_EQ (r.outcome (), "not_run") << r.body;
  EXPECT_NE (r.headers["retry-after"], "");
  EXPECT_EQ (cluster->received ()["outage"], 0);
  cluster->faults (cluster->platform (), R"({"outage":false})");
  EXPECT_TRUE (proc::wait_until (5000, [&] {
    return cluster->order (1, "outage").outcome () == "answered";
  }));
  EXPECT_EQ (cluster->received ()["outage"], 1);
}

// Guards against a second call when the store's answers are lost.
TEST_F (E2eCall, LostStoreAnswers)
{
  run ();
  for (int i = 0; i < 4; i++)
    {
      std::string key = "lost-" + std::to_string (i);
      cluster->faults (cluster->platform (), R"({"lose_answer":1})");
      Response r = cluster->order (i % 3, key);
      int received = cluster->received ()[key];
      EXPECT_LE (received, 1);
      if (r.outcome () == "answered")
        EXPECT_EQ (received, 1);
      else
        {
          EXPECT_EQ (r.outcome (), "not_run") << r.body;
          EXPECT_EQ (received, 0);
        }
    }
}

// Guards against a paused VM that sends its order after others gave it up,
// and against one that does not come back as a member.
TEST_F (E2eCall, PausedVmReturns)
{
  run ();
  cluster->faults (cluster->service (0), R"({"delay_ms":500})");
  std::vector<std::future<Response>> answers;
  for (int i = 0; i < 5; i++)
    answers.push_back (std::async (std::launch::async, [=] {
      return cluster->order (0, "paused-" + std::to_string (i), 20000);
    }));
  proc::sleep_ms (10);
  cluster->vm (0).process.signal (SIGSTOP);
  EXPECT_TRUE (proc::wait_until (12000, [&] { return members (1) == 2; }))
      << "a paused VM is declared dead";
  std::vector<std::string> others;
  for (int i = 0; i < 5; i++)
    others.push_back (
        cluster->order (1, "paused-" + std::to_string (i)).outcome ());
  cluster->vm (0).process.signal (SIGCONT);
  for (int i = 0; i < 5; i++)
    {
      std::string key = "paused-" + std::to_string (i);
      Response r = answers[i].get ();
      int received = cluster->received ()[key];
      EXPECT_LE (received, 1) << key;
      if (r.outcome () == "not_run" && others[i] == "not_run")
        {
          EXPECT_EQ (received, 0) << key;
        }
      if (r.outcome () == "answered" || others[i] == "answered")
        {
          EXPECT_EQ (received, 1) << key;
        }
    }
  for (int i = 0; i < 3; i++)
    EXPECT_TRUE (cluster->wait_members (i, 3, 20000)) << "VM " << i;
  EXPECT_EQ (cluster->order (0, "after-pause").outcome (), "answered");
}

// Guards against a killed VM that stays in the addresses given to callers,
// and one that cannot come back.
TEST_F (E2eCall, KilledVmLeavesAndReturns)
{
  run ();
  cluster->vm (2).process.kill ();
  for (int i = 0; i < 2; i++)
    EXPECT_TRUE (proc::wait_until (12000, [&] { return members (i) == 2; }))
        << "VM " << i << " names " << members (i);
  ASSERT_TRUE (cluster->start_vm (2));
  for (int i = 0; i < 3; i++)
    EXPECT_TRUE (cluster->wait_members (i, 3, 15000)) << "VM " << i;
  EXPECT_EQ (cluster->order (2, "returned").outcome (), "answered");
}

// Guards against double calls and false "not run" when VMs die, the store
// fails and the service closes connections, all at random.
TEST_F (E2eCall, MixedFaults)
{
  run ();
  std::mt19937 rng (seed ());
  std::map<std::string, std::vector<std::string>> outcomes;
  int64_t end = proc::now_ms () + 30000;
  bool killed = false;
  int sent = 0;
  while (proc::now_ms () < end && sent < 600)
    {
      switch (rng () % 8)
        {
        case 0:
          cluster->faults (cluster->platform (), R"({"lose_answer":1})");
          break;
        case 1:
          cluster->faults (cluster->platform (), R"({"outage":true})");
          break;
        case 2:
          cluster->faults (cluster->service (0),
                           R"({"close_before_answer":1})");
          break;
        case 3:
          cluster->faults (cluster->service (0),
                           R"({"close_before_effect":1})");
          break;
        default:
          cluster->faults (cluster->platform (), R"({"outage":false})");
          break;
        }
      std::vector<std::future<Response>> answers;
      std::vector<std::string> keys;
      for (int i = 0; i < 6; i++)
        {
          keys.push_back ("mixed-" + std::to_string (rng () % 30));
          int vm = (int)(rng () % 3);
          std::string key = keys.back ();
          answers.push_back (std::async (std::launch::async, [=] {
            return cluster->order (vm, key, 8000);
          }));
          sent++;
        }
      if (!killed && sent > 300)
        {
          killed = true;
          cluster->vm (0).process.kill ();
        }
      for (size_t i = 0; i < answers.size (); i++)
        outcomes[keys[i]].push_back (answers[i].get ().outcome ());
    }
  cluster->faults (cluster->platform (), R"({"outage":false})");
  auto received = cluster->received ();
  int told[3] = {};
  for (const auto &entry : outcomes)
    {
      int count = received[entry.first];
      bool all_not_run = true;
      EXPECT_LE (count, 1) << entry.first;
      for (const std::string &o : entry.second)
        {
          all_not_run = all_not_run && o == "not_run";
          told[0] += o == "answered" ? 1 : 0;
          told[1] += o == "not_run" ? 1 : 0;
          told[2] += o == "unknown" ? 1 : 0;
          if (o == "answered")
            {
              EXPECT_EQ (count, 1) << entry.first;
            }
        }
      if (all_not_run)
        {
          EXPECT_EQ (count, 0) << entry.first << " was told not to run";
        }
    }
  printf ("%d calls: answered %d, not_run %d, unknown %d, without an answer "
          "%d\n",
          sent, told[0], told[1], told[2], sent - told[0] - told[1] - told[2]);
  EXPECT_TRUE (killed);
  EXPECT_GT (told[0], 10);
}
