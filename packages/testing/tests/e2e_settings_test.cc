// Settings with real processes: a change that one VM accepts applies on all.
#include "proc.h"

#include <csignal>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <sstream>

using proc::Cluster;
using proc::ClusterDesc;
using proc::Json;
using proc::Request;
using proc::Response;

namespace
{

const char kToken[] = "test-root-token-0123456789";
// Longest time until a change applies on all VMs, by the design page.
constexpr int kAppliedMaxMs = 4000;

class E2eSettings : public testing::Test
{
protected:
  void
  SetUp () override
  {
    ClusterDesc desc;
    desc.vms = 4;
    desc.engines = 1;
    desc.services = 0;
    desc.data_centers = 2;
    cluster = std::make_unique<Cluster> (desc);
    ASSERT_TRUE (cluster->start ()) << cluster->error;
  }

  void
  TearDown () override
  {
    if (HasFailure ())
      cluster->print_logs ();
  }

  Response
  admin (int vm, const char *method, const std::string &path,
         const std::string &body = "", long timeout_ms = 15000)
  {
    Request r;
    r.method = method;
    r.url = cluster->vm (vm).admin + path;
    r.body = body;
    r.headers = { std::string ("Authorization: Bearer ") + kToken };
    r.timeout_ms = timeout_ms;
    return proc::call (r);
  }

  json_int_t
  version (int vm)
  {
    Json body (admin (vm, "GET", "/admin/settings").body);
    return json_integer_value (json_object_get (body.get (), "version"));
  }

  std::string
  value (int vm, const std::string &key)
  {
    return Json (admin (vm, "GET", "/admin/settings/" + key).body)
        .text ("value");
  }

  Response
  change (int vm, json_int_t base, const std::string &path,
          const std::string &key, const std::string &text)
  {
    return admin (vm, "POST", "/admin/changes",
                  "{\"base_version\":" + std::to_string (base)
                      + ",\"edits\":[{\"path\":\"" + path + "\",\"key\":\""
                      + key + "\",\"value\":\"" + text + "\"}]}");
  }

  // Returns true when the first VMS VMs have TEXT as the value of KEY within
  // the bound.
  bool
  applies_on_all (const std::string &key, const std::string &text, int vms = 4)
  {
    return proc::wait_until (kAppliedMaxMs, [&] {
      for (int i = 0; i < vms; i++)
        if (value (i, key) != text)
          return false;
      return true;
    });
  }

  // Runs dotterelbendctl with VM as its server.  Returns its exit status and
  // output.
  std::pair<int, std::string>
  ctl (const std::vector<std::string> &arguments, int vm = 0)
  {
    std::string server = cluster->vm (0).argv[0];
    std::string bin = server.substr (0, server.rfind ("/server/"));
    std::string token = cluster->folder () + "/token";
    std::string log = cluster->folder () + "/ctl.log";
    std::ofstream (token) << kToken << "\n";
    std::remove (log.c_str ());
    std::vector<std::string> argv
        = { bin + "/ctl/dotterelbendctl", "--address", cluster->vm (vm).admin,
            "--token-file", token };
    argv.insert (argv.end (), arguments.begin (), arguments.end ());
    proc::Process p;
    EXPECT_TRUE (p.start (argv, log));
    int status = p.wait (20000);
    std::stringstream out;
    out << std::ifstream (log).rdbuf ();
    return { status, out.str () };
  }

  std::unique_ptr<Cluster> cluster;
};

}

// Guards against a change that applies on some VMs only, or later than the
// bound.
TEST_F (E2eSettings, ChangeAppliesOnAllVms)
{
  for (int i = 0; i < 4; i++)
    {
      std::string text = std::to_string (40000 + i);
      Response r = change (i, version (i), "root", "deadline_ms", text);
      ASSERT_EQ (r.status, 200) << r.body;
      // The VM that accepted the change applies it at once.
      EXPECT_EQ (value (i, "deadline_ms"), text);
      EXPECT_TRUE (applies_on_all ("deadline_ms", text));
    }
}

// Guards against two concurrent changes of which both or none are accepted,
// and against VMs that end with different settings.
TEST_F (E2eSettings, TwoOperatorsAtOnce)
{
  for (int round = 0; round < 5; round++)
    {
      json_int_t base = version (0);
      std::string texts[2]
          = { std::to_string (50000 + round), std::to_string (60000 + round) };
      auto first = std::async (std::launch::async, [&] {
        return change (0, base, "root", "deadline_ms", texts[0]);
      });
      auto second = std::async (std::launch::async, [&] {
        return change (1, base, "root", "deadline_ms", texts[1]);
      });
      Response r[2] = { first.get (), second.get () };
      int winner = r[0].status == 200 ? 0 : 1;
      ASSERT_EQ (r[winner].status, 200) << r[0].body << r[1].body;
      ASSERT_EQ (r[1 - winner].status, 409) << r[1 - winner].body;
      EXPECT_NE (r[1 - winner].body.find ("\"subtree\":\"root\""),
                 std::string::npos)
          << r[1 - winner].body;
      ASSERT_TRUE (applies_on_all ("deadline_ms", texts[winner]));
    }
}

// Guards against an accepted change that is lost in an outage, a change that
// is accepted without the store, and VMs with old settings after the outage.
TEST_F (E2eSettings, StoreOutage)
{
  Response r = change (0, version (0), "root", "deadline_ms", "41000");
  ASSERT_EQ (r.status, 200) << r.body;
  ASSERT_TRUE (applies_on_all ("deadline_ms", "41000"));
  json_int_t base = version (0);
  cluster->set_faults (cluster->platform (), "{\"outage\":true}");
  r = change (1, base, "root", "deadline_ms", "42000");
  EXPECT_EQ (r.status, 503) << r.body;
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (value (i, "deadline_ms"), "41000");
  cluster->set_faults (cluster->platform (), "{\"outage\":false}");
  // The refused change does not take effect later.
  proc::sleep_ms (1000);
  EXPECT_EQ (version (0), base);
  r = change (2, base, "root", "deadline_ms", "43000");
  ASSERT_EQ (r.status, 200) << r.body;
  EXPECT_TRUE (applies_on_all ("deadline_ms", "43000"));
}

// Guards against a change that is lost or applied twice when replies of the
// store are lost.
TEST_F (E2eSettings, LostStoreReplies)
{
  for (int lost = 1; lost <= 2; lost++)
    {
      json_int_t base = version (0);
      std::string text = std::to_string (44000 + lost);
      cluster->set_faults (cluster->platform (),
                           "{\"lose_answer\":" + std::to_string (lost) + "}");
      Response r = change (0, base, "root", "deadline_ms", text);
      ASSERT_EQ (r.status, 200) << r.body;
      EXPECT_EQ (version (0), base + 1);
      EXPECT_TRUE (applies_on_all ("deadline_ms", text));
    }
}

// Guards against a restarted VM with old settings.
TEST_F (E2eSettings, RestartedVmHasTheNewestVersion)
{
  Response r = change (0, version (0), "team/night", "share.weight", "7");
  ASSERT_EQ (r.status, 200) << r.body;
  cluster->vm (3).process.kill ();
  r = change (1, version (0), "team/night", "share.weight", "8");
  ASSERT_EQ (r.status, 200) << r.body;
  ASSERT_TRUE (cluster->start_vm (3));
  ASSERT_TRUE (cluster->wait_ready (3));
  EXPECT_EQ (value (3, "team/night/share.weight"), "8");
}

// Guards against a VM that cannot start, or that uses the defaults, while the
// store is down and its peers have the settings.
TEST_F (E2eSettings, StartsFromPeersWhileTheStoreIsDown)
{
  ASSERT_TRUE (cluster->wait_members (0, 4));
  Response r = change (0, version (0), "root", "deadline_ms", "45000");
  ASSERT_EQ (r.status, 200) << r.body;
  ASSERT_TRUE (applies_on_all ("deadline_ms", "45000"));
  cluster->set_faults (cluster->platform (), "{\"outage\":true}");
  cluster->vm (2).process.kill ();
  ASSERT_TRUE (cluster->start_vm (2));
  ASSERT_TRUE (cluster->wait_ready (2));
  EXPECT_EQ (value (2, "deadline_ms"), "45000");
  EXPECT_EQ (version (2), version (0));
}

// Guards against an interface of dotterelbendctl that differs from the
// server's.
TEST_F (E2eSettings, OperatorToolCommands)
{
  auto set = ctl ({ "set", "team/night", "deadline_ms", "5s" }, 1);
  EXPECT_EQ (set.first, 0) << set.second;
  EXPECT_TRUE (applies_on_all ("team/night/deadline_ms", "5000"));
  auto get = ctl ({ "get", "team/night" }, 2);
  EXPECT_EQ (get.first, 0) << get.second;
  EXPECT_NE (get.second.find ("deadline_ms: 5000"), std::string::npos)
      << get.second;
  auto explain = ctl ({ "explain", "team/night/tier/1", "deadline_ms" });
  EXPECT_NE (explain.second.find ("team/night"), std::string::npos)
      << explain.second;
  std::string file = cluster->folder () + "/settings.yaml";
  std::ofstream (file) << get.second << "tiers.strict_through: 0\n";
  auto diff = ctl ({ "diff", file });
  EXPECT_EQ (diff.first, 6) << diff.second;
  auto apply = ctl ({ "apply", file });
  EXPECT_EQ (apply.first, 0) << apply.second;
  EXPECT_TRUE (applies_on_all ("tiers.strict_through", "0"));
  EXPECT_EQ (ctl ({ "diff", file }).first, 0);
  auto history = ctl ({ "history" }, 3);
  EXPECT_EQ (history.first, 0) << history.second;
  EXPECT_NE (history.second.find ("team/night"), std::string::npos)
      << history.second;
  auto moves = ctl ({ "moves" }, 1);
  EXPECT_NE (moves.second.find ("done"), std::string::npos) << moves.second;
  EXPECT_EQ (ctl ({ "members" }).first, 0);
  EXPECT_EQ (ctl ({ "watch", "--count", "1" }).first, 0);
  EXPECT_EQ (ctl ({ "log-level", "warning" }).first, 0);
  EXPECT_EQ (ctl ({ "set", "team/night", "deadlin_ms", "5s" }).first, 1);
  EXPECT_EQ (ctl ({ "get", "teem/night" }).first, 1);
  auto drain = ctl ({ "drain" }, 3);
  EXPECT_EQ (drain.first, 0) << drain.second;
  EXPECT_EQ (cluster->vm (3).process.wait (10000), 0);
  EXPECT_EQ (ctl ({ "get" }, 3).first, 4);
}
