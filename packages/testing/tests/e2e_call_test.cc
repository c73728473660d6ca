// Non-idempotent calls and membership under failures, with the real programs
// on loopback.
//
// DB_SEED=N repeats the mixed faults of seed N.
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

  // Number of entries in the address list of VM I.
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

// Guards against a second run when several VMs receive the same key at once.
TEST_F (E2eCall, SameKeyAtAllVmsRunsOnce)
{
  run ();
  for (int round = 0; round < 5; round++)
    {
      std::string key = "same-" + std::to_string (round);
      std::vector<std::future<Response>> responses;
      for (int i = 0; i < 6; i++)
        responses.push_back (std::async (
            std::launch::async, [=] { return cluster->order (i % 3, key); }));
      for (auto &response_future : responses)
        {
          Response r = response_future.get ();
          EXPECT_EQ (r.outcome (), "answered") << r.body;
        }
      EXPECT_EQ (cluster->received ()[key], 1);
    }
}

// Guards against a second run of a call whose VM was killed.
TEST_F (E2eCall, VmKilledWithOrderInFlight)
{
  run ();
  cluster->set_faults (cluster->service (0), R"({"delay_ms":3000})");
  auto first = std::async (std::launch::async,
                           [&] { return cluster->order (0, "killed"); });
  ASSERT_TRUE (proc::wait_until (
      3000, [&] { return cluster->received ()["killed"] == 1; }));
  cluster->vm (0).process.signal (SIGKILL);
  EXPECT_EQ (first.get ().status, 0);
  // Before the VM is declared dead the outcome is unknown as well.
  for (int i = 1; i < 3; i++)
    {
      Response r = cluster->order (i, "killed");
      EXPECT_EQ (r.outcome (), "unknown") << r.body;
    }
  cluster->set_faults (cluster->service (0), R"({"delay_ms":0})");
  proc::sleep_ms (5000);
  EXPECT_EQ (cluster->order (1, "killed").outcome (), "unknown");
  EXPECT_EQ (cluster->received ()["killed"], 1);
  EXPECT_EQ (cluster->order (2, "next").outcome (), "answered");
}

// Guards against calls that run although their intent cannot be stored, and
// against refusals that continue after the store outage.
TEST_F (E2eCall, CallDuringStoreOutageIsNotRun)
{
  run ();
  cluster->set_faults (cluster->platform (), R"({"outage":true})");
  Response r = cluster->order (0, "outage");
  EXPECT_EQ (r.status, 503);
  EXPECT_EQ (r.outcome (), "not_run") << r.body;
  EXPECT_NE (r.headers["retry-after"], "");
  EXPECT_EQ (cluster->received ()["outage"], 0);
  cluster->set_faults (cluster->platform (), R"({"outage":false})");
  EXPECT_TRUE (proc::wait_until (5000, [&] {
    return cluster->order (1, "outage").outcome () == "answered";
  }));
  EXPECT_EQ (cluster->received ()["outage"], 1);
}

// Guards against a second run when replies of the store are lost.
TEST_F (E2eCall, LostStoreReplies)
{
  run ();
  for (int i = 0; i < 4; i++)
    {
      std::string key = "lost-" + std::to_string (i);
      cluster->set_faults (cluster->platform (), R"({"lose_answer":1})");
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

// Guards against a paused VM that sends its call after the others declared it
// dead, and against one that does not become a member again.
TEST_F (E2eCall, PausedVmRejoins)
{
  run ();
  cluster->set_faults (cluster->service (0), R"({"delay_ms":500})");
  std::vector<std::future<Response>> responses;
  for (int i = 0; i < 5; i++)
    responses.push_back (std::async (std::launch::async, [=] {
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
      Response r = responses[i].get ();
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

// Guards against a killed VM that stays in the address list of the callers,
// and against a restarted one that does not become a member again.
TEST_F (E2eCall, KilledVmIsRemovedAndRejoins)
{
  run ();
  cluster->vm (2).process.kill ();
  for (int i = 0; i < 2; i++)
    EXPECT_TRUE (proc::wait_until (12000, [&] { return members (i) == 2; }))
        << "VM " << i << " lists " << members (i);
  ASSERT_TRUE (cluster->start_vm (2));
  for (int i = 0; i < 3; i++)
    EXPECT_TRUE (cluster->wait_members (i, 3, 15000)) << "VM " << i;
  EXPECT_EQ (cluster->order (2, "returned").outcome (), "answered");
}

// Guards against second runs and false "not run" when a VM is killed, the
// store fails and the service closes connections, at random times.
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
          cluster->set_faults (cluster->platform (), R"({"lose_answer":1})");
          break;
        case 1:
          cluster->set_faults (cluster->platform (), R"({"outage":true})");
          break;
        case 2:
          cluster->set_faults (cluster->service (0),
                               R"({"close_before_answer":1})");
          break;
        case 3:
          cluster->set_faults (cluster->service (0),
                               R"({"close_before_effect":1})");
          break;
        default:
          cluster->set_faults (cluster->platform (), R"({"outage":false})");
          break;
        }
      std::vector<std::future<Response>> responses;
      std::vector<std::string> keys;
      for (int i = 0; i < 6; i++)
        {
          keys.push_back ("mixed-" + std::to_string (rng () % 30));
          int vm = (int)(rng () % 3);
          std::string key = keys.back ();
          responses.push_back (std::async (std::launch::async, [=] {
            return cluster->order (vm, key, 8000);
          }));
          sent++;
        }
      if (!killed && sent > 300)
        {
          killed = true;
          cluster->vm (0).process.kill ();
        }
      for (size_t i = 0; i < responses.size (); i++)
        outcomes[keys[i]].push_back (responses[i].get ().outcome ());
    }
  cluster->set_faults (cluster->platform (), R"({"outage":false})");
  auto received = cluster->received ();
  int outcome_counts[3] = {};
  for (const auto &entry : outcomes)
    {
      int count = received[entry.first];
      bool all_not_run = true;
      EXPECT_LE (count, 1) << entry.first;
      for (const std::string &o : entry.second)
        {
          all_not_run = all_not_run && o == "not_run";
          outcome_counts[0] += o == "answered" ? 1 : 0;
          outcome_counts[1] += o == "not_run" ? 1 : 0;
          outcome_counts[2] += o == "unknown" ? 1 : 0;
          if (o == "answered")
            {
              EXPECT_EQ (count, 1) << entry.first;
            }
        }
      if (all_not_run)
        {
          EXPECT_EQ (count, 0)
              << entry.first << " ran although all its callers got not_run";
        }
    }
  printf ("%d calls: answered %d, not_run %d, unknown %d, without an outcome "
          "%d\n",
          sent, outcome_counts[0], outcome_counts[1], outcome_counts[2],
          sent - outcome_counts[0] - outcome_counts[1] - outcome_counts[2]);
  EXPECT_TRUE (killed);
  EXPECT_GT (outcome_counts[0], 10);
}
