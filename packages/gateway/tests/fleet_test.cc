// A fleet of gateways on one event loop: which of them accept callers, and the
// loads that they receive from each other.
#include "support.hh"

#include <algorithm>

using namespace support;

namespace
{
const int Each = 9; // VMs of each of two data centres

class Fleet
{
public:
  struct event_base *base = event_base_new ();
  std::vector<gw_task *> vms;
  std::unique_ptr<Upstream> upstream = std::make_unique<Upstream> (base);

  // The third and the fourth VM of each data centre are the large ones.
  static bool
  is_large (int vm)
  {
    return vm % Each == 2 || vm % Each == 3;
  }
  Fleet ()
  {
    upstream->default_behaviour = Silent;
    config_ = rc_make (1);
    rc_route *r
        = rc_add_route (config_, ST_LIT ("api.example"), ST_LIT ("/once/"));
    r->name = ST_LIT ("once");
    r->kind = RC_NON_IDEMPOTENT;
    r->attempts = 1;
    r->timeout_ms = 30000;
    r->target_ms = 1000;
    rc_add_weighted_service (config_, r, ST_LIT ("llm"), 1);
    rc_add_service (config_, ST_LIT ("llm"))->engine = true;
    rc_team *team = rc_add_team (config_, ST_LIT ("team-1"));
    team->rate = 10;
    team->burst = 10;
    rc_add_key (config_, team, ST_LIT ("key-1"));
    rc_seal (config_);
    for (int i = 0; i < 2 * Each; i++)
      {
        names_.push_back ((i < Each ? "a-" : "b-")
                          + std::to_string (i % Each + 1));
        addresses_.push_back (own_address (free_port ()));
      }
    for (int i = 0; i < 2 * Each; i++)
      start (i);
    for (gw_task *gw : vms)
      list (gw);
  }
  ~Fleet ()
  {
    for (gw_task *gw : vms)
      gw_destroy (gw);
    rc_unref (config_);
    upstream.reset ();
    event_base_free (base);
  }
  bool
  run (const std::function<bool ()> &done, int limit_ms = 8000)
  {
    return run_loop (base, done, limit_ms);
  }
  // Names of the VMs of DATA_CENTER that VM sends callers to.
  std::set<std::string>
  active (int vm, const std::string &data_center)
  {
    static gw_vm all[GW_VMS_MAX];
    std::set<std::string> found;
    uint32_t count = gw_query_vms (vms[(size_t)vm], all, GW_VMS_MAX);
    for (uint32_t i = 0; i < count; i++)
      if (all[i].active && st_equal (all[i].data_center, str (data_center)))
        found.insert (std::string (all[i].name.ptr, all[i].name.len));
    return found;
  }
  // The VM list of VM, for messages: "+" is active, "-" is not ready.
  std::string
  describe (int vm)
  {
    static gw_vm all[GW_VMS_MAX];
    uint32_t count = gw_query_vms (vms[(size_t)vm], all, GW_VMS_MAX);
    std::string text = names_[(size_t)vm] + " sees "
                       + std::to_string (gw_query_vm_count (vms[(size_t)vm]))
                       + ":";
    for (uint32_t i = 0; i < count; i++)
      text += " " + std::string (all[i].name.ptr, all[i].name.len)
              + (all[i].active  ? "+"
                 : all[i].ready ? ""
                                : "-");
    return text + "\n";
  }
  // Requests at the upstream, by the counts of VM.
  uint32_t
  running (int vm)
  {
    const ut_table *t = gw_query_upstreams (vms[(size_t)vm]);
    const ut_upstream *up = ut_query (t, ut_find (t, ST_LIT ("up")));
    return up != nullptr ? up->own_running + up->peer_running : 0;
  }
  bool
  all_see (uint32_t requests)
  {
    for (int i = 0; i < 2 * Each; i++)
      if (running (i) != requests)
        return false;
    return true;
  }

  // True when all VMs have all members and agree on the active ones.
  bool
  all_agree ()
  {
    for (int i = 0; i < 2 * Each; i++)
      if (gw_query_vm_count (vms[(size_t)i]) != 2 * Each
          || active (i, "a") != active (0, "a")
          || active (i, "b") != active (0, "b"))
        return false;
    return true;
  }
  // For messages: running () and describe () of each VM.
  std::string
  describe_all ()
  {
    std::string text;
    for (int i = 0; i < 2 * Each; i++)
      text += std::to_string (running (i)) + " running: " + describe (i);
    return text;
  }

private:
  gw_names fields_ = field_names ();
  rc_config *config_ = nullptr;
  std::vector<std::string> names_, addresses_;

  void
  start (int i)
  {
    size_t at = (size_t)i;
    gw_desc desc = {};
    er_error err = {};
    desc.base = base;
    desc.vm_name = str (names_[at]);
    desc.region = i < Each ? ST_LIT ("west") : ST_LIT ("east");
    desc.data_center = i < Each ? ST_LIT ("a") : ST_LIT ("b");
    desc.capacity = is_large (i) ? 500 : 100;
    desc.listen = ST_LIT ("127.0.0.1:0");
    desc.peer_listen = str (addresses_[at]);
    desc.names = &fields_;
    desc.seed = at + 1;
    gw_task *gw = gw_make (&desc, &err);
    ASSERT_NE (gw, nullptr) << err.message;
    gw_set_config (gw, config_);
    ut_entry e = {};
    st_name_set (&e.id, ST_LIT ("up"));
    st_name_set (&e.service, ST_LIT ("llm"));
    st_name_set (&e.address, str (upstream->address ()));
    st_name_set (&e.data_center, ST_LIT ("a"));
    st_name_set (&e.region, ST_LIT ("west"));
    e.slots = 9;
    gw_put_upstream (gw, &e);
    vms.push_back (gw);
  }
  void
  list (gw_task *gw)
  {
    std::vector<gw_vm_entry> listed;
    for (size_t i = 0; i < names_.size (); i++)
      listed.push_back (
          { str (names_[i]), i < Each ? ST_LIT ("west") : ST_LIT ("east"),
            i < Each ? ST_LIT ("a") : ST_LIT ("b"), str (addresses_[i]),
            ST_LIT ("127.0.0.1:1"), is_large ((int)i) ? 500u : 100u });
    gw_set_vms (gw, listed.data (), (uint32_t)listed.size ());
  }
};

const std::set<std::string> large_a = { "a-3", "a-4" };
const std::set<std::string> large_b = { "b-3", "b-4" };

// Guards against callers spread over all VMs of a large deployment, and
// against VMs that return different addresses to callers.
TEST (GwFleet, AllVmsSendCallersToTheLargeOnes)
{
  Fleet f;
  std::string differs;
  EXPECT_TRUE (f.run ([&] {
    differs = "";
    for (int i = 0; i < 2 * Each; i++)
      if (f.active (i, "a") != large_a || f.active (i, "b") != large_b)
        differs += f.describe (i);
    return differs.empty ();
  })) << differs;
}

// Guards against VMs of a fleet that starts at once, each of which sends
// callers to itself until it has heard of the others.
TEST (GwFleet, TheVmListDecidesBeforeOthersAreHeard)
{
  Fleet f;
  // Nothing has been received yet.
  for (int i = 0; i < 2 * Each; i++)
    {
      EXPECT_EQ (gw_query_vm_count (f.vms[(size_t)i]), 2u * Each) << i;
      EXPECT_EQ (f.active (i, "a"), large_a) << f.describe (i);
      EXPECT_EQ (f.active (i, "b"), large_b) << f.describe (i);
    }
}

// Guards against the address of a VM that is leaving being returned, and
// against a data centre that then has one VM for all its callers.
TEST (GwFleet, AnotherVmReplacesAnActiveOneThatLeaves)
{
  Fleet f;
  ASSERT_TRUE (f.run ([&] { return f.active (0, "a") == large_a; }));
  gw_leave (f.vms[2], 0);
  EXPECT_TRUE (f.run ([&] {
    std::set<std::string> now = f.active (0, "a");
    return now.size () >= 2 && now.count ("a-3") == 0
           && now.count ("a-4") == 1;
  }));
}

// Longest time for which a load report is used.
const int report_age_ms = 1500;

// Guards against loads that a VM does not receive, or counts twice because it
// receives them in two ways.
TEST (GwFleet, EachRequestCountsOnceAtEveryVm)
{
  Fleet f;
  std::vector<std::unique_ptr<Caller>> callers;
  uint32_t sent = 0;
  ASSERT_TRUE (f.run ([&] {
    return f.all_agree () && f.active (0, "a") == large_a
           && f.active (0, "b") == large_b;
  })) << f.describe_all ();
  // VMs whose members differ may send a load twice; such reports are used
  // until they are too old.
  f.run ([] { return false; }, report_age_ms);
  // A large and a small VM of each data centre.
  for (int vm : { 2, 0, Each + 3, Each + 7 })
    {
      callers.push_back (std::make_unique<Caller> (
          f.base, gw_query_port (f.vms[(size_t)vm])));
      callers.back ()->request ("r" + std::to_string (vm), "/once/x");
      sent++;
      EXPECT_TRUE (f.run ([&] { return f.all_see (sent); }))
          << vm << "\n"
          << f.describe_all ();
      // The counts do not change afterwards.
      f.run ([] { return false; }, 700);
      EXPECT_TRUE (f.all_see (sent)) << vm << "\n" << f.describe_all ();
    }
  callers.clear ();
  EXPECT_TRUE (f.run ([&] { return f.all_see (0); }));
}

// Guards against teams that are refused within their quota: a leaving VM
// reports until its end, and all its admitted requests are counted again.
TEST (GwFleet, RequestsAdmittedByALeavingVmCountOnce)
{
  Fleet f;
  ASSERT_TRUE (f.run ([&] { return f.active (3, "a") == large_a; }));
  std::vector<std::unique_ptr<Caller>> callers;
  auto send_request = [&] (int vm, const std::string &id) {
    callers.push_back (
        std::make_unique<Caller> (f.base, gw_query_port (f.vms[(size_t)vm])));
    callers.back ()->request (id, "/once/x");
    f.run ([] { return false; }, 100);
  };
  for (int i = 0; i < 30; i++)
    send_request (2, "a" + std::to_string (i));
  callers.clear ();
  // Requests count when they are sent, here as others end; the bucket is full
  // again after this.
  f.run ([] { return false; }, 2500);
  gw_leave (f.vms[2], 0);
  f.run ([] { return false; }, 1500);
  for (int i = 0; i < 4; i++)
    send_request (3, "b" + std::to_string (i));
  for (auto &c : callers)
    EXPECT_TRUE (c->status () == 0 || c->status () == 503) << c->received;
}
} // namespace
