// Rollouts of a bad version before several VMs.
#include "support.hh"

using namespace support;

namespace
{
class Vms
{
public:
  static const int Count = 3;
  struct event_base *base = event_base_new ();
  gw_task *vms[Count] = {};
  std::unique_ptr<Upstream> before = std::make_unique<Upstream> (base);
  std::unique_ptr<Upstream> target = std::make_unique<Upstream> (base);
  std::vector<vr_state> written;

  // EXPOSURE_SHARE 0 means the default.
  explicit Vms (double exposure_share = 0) : exposure_share_ (exposure_share)
  {
    std::string addresses[Count];
    for (auto &a : addresses)
      a = own_address (free_port ());
    for (int i = 0; i < Count; i++)
      start (i, addresses[i]);
    for (gw_task *gw : vms)
      {
        gw_vm_entry listed[Count];
        for (int i = 0; i < Count; i++)
          listed[i]
              = { str (names_[i]),    ST_LIT ("west"),        ST_LIT ("a"),
                  str (addresses[i]), ST_LIT ("127.0.0.1:1"), 0 };
        gw_set_vms (gw, listed, Count);
      }
  }
  ~Vms ()
  {
    for (gw_task *gw : vms)
      gw_destroy (gw);
    before.reset ();
    target.reset ();
    event_base_free (base);
  }
  bool
  run (const std::function<bool ()> &done, int limit_ms)
  {
    return run_loop (base, done, limit_ms);
  }
  bool
  all_joined ()
  {
    for (gw_task *gw : vms)
      if (gw_query_vm_count (gw) != Count)
        return false;
    return true;
  }
  void
  order (uint64_t duration_us)
  {
    for (gw_task *gw : vms)
      gw_set_rollout (gw, ST_LIT ("llm"), ST_LIT ("v2"), duration_us, 9);
  }
  // Sends a request through VM, and returns its status.
  int
  ask (int vm)
  {
    Caller c (base, gw_query_port (vms[vm]));
    c.request ("r" + std::to_string (++sent_), "/again/x");
    run ([&] { return c.complete () || c.closed; }, 3000);
    return c.status ();
  }
  // Puts the new version's upstream, which gets no requests while LEAVING.
  void
  put_target (bool leaving)
  {
    for (gw_task *gw : vms)
      put (gw, "up-2", "v2", *target, leaving);
  }
  // Has VM look at its queues, as with each change of an upstream.
  void
  look_at_queues (int vm)
  {
    ut_entry e = {};
    st_name_set (&e.id, ST_LIT ("up-3"));
    st_name_set (&e.service, ST_LIT ("other"));
    st_name_set (&e.address, ST_LIT ("127.0.0.1:1"));
    e.slots = 1;
    e.started_ms = ++looks_;
    gw_put_upstream (vms[vm], &e);
  }
  bool
  wrote (vr_state state)
  {
    for (vr_state s : written)
      if (s == state)
        return true;
    return false;
  }

private:
  double exposure_share_;
  gw_names fields_ = field_names ();
  std::string names_[Count] = { "a-1", "a-2", "a-3" };
  int sent_ = 0;
  uint64_t looks_ = 0;

  void
  start (int i, const std::string &address)
  {
    gw_desc desc = {};
    er_error err = {};
    desc.base = base;
    desc.vm_name = str (names_[i]);
    desc.region = ST_LIT ("west");
    desc.data_center = ST_LIT ("a");
    desc.listen = ST_LIT ("127.0.0.1:0");
    desc.peer_listen = str (address);
    desc.names = &fields_;
    desc.bounds.retry_fixed = 1000;
    desc.bounds.retry_window_ms = 10000;
    desc.bounds.exposure_share = exposure_share_;
    desc.bounds.exposure_slack = 50;
    desc.seed = (uint64_t)i + 1;
    desc.write_rollout
        = [] (void *user, st_str, st_str, vr_state state, uint64_t) {
            static_cast<Vms *> (user)->written.push_back (state);
          };
    desc.user = this;
    vms[i] = gw_make (&desc, &err);
    ASSERT_NE (vms[i], nullptr) << err.message;
    rc_config *c = rc_make (1);
    rc_route *r = rc_add_route (c, ST_LIT ("api.example"), ST_LIT ("/again/"));
    r->name = ST_LIT ("again");
    r->kind = RC_IDEMPOTENT;
    r->attempts = 2;
    r->timeout_ms = 2000;
    r->target_ms = 500;
    rc_add_weighted_service (c, r, ST_LIT ("llm"), 1);
    rc_add_service (c, ST_LIT ("llm"))->engine = true;
    rc_team *team = rc_add_team (c, ST_LIT ("team-1"));
    rc_add_key (c, team, ST_LIT ("key-1"));
    rc_seal (c);
    gw_set_config (vms[i], c);
    rc_unref (c);
    put (vms[i], "up-1", "v1", *before);
    put (vms[i], "up-2", "v2", *target);
  }
  void
  put (gw_task *gw, const char *id, const char *version, const Upstream &u,
       bool leaving = false)
  {
    ut_entry e = {};
    st_name_set (&e.id, st_from_cstr (id));
    st_name_set (&e.service, ST_LIT ("llm"));
    st_name_set (&e.version, st_from_cstr (version));
    st_name_set (&e.address, str (u.address ()));
    st_name_set (&e.data_center, ST_LIT ("a"));
    st_name_set (&e.region, ST_LIT ("west"));
    e.slots = 9;
    e.leaving = leaving;
    gw_put_upstream (gw, &e);
  }
};

// Guards against completing a bad version of which each VM has seen a few
// failures only, as one with many VMs and a small share.
TEST (GwRollout, TheEvidenceOfAllVmsDecides)
{
  Vms f;
  f.target->default_behaviour = Error;
  ASSERT_TRUE (f.run ([&] { return f.all_joined (); }, 8000));
  f.order (60000000);
  for (int vm = 0; vm < Vms::Count; vm++)
    for (int i = 0; i < 2000 && f.target->runs < 3u * (uint32_t)(vm + 1)
                    && !f.wrote (VR_REVERTED);
         i++)
      EXPECT_EQ (f.ask (vm), 200);
  EXPECT_LE (f.target->runs, 9u);
  EXPECT_TRUE (f.run ([&] { return f.wrote (VR_REVERTED); }, 3000));
}

// Callers that send a request through the VMs in turn whenever the one before
// has ended.
class Load
{
public:
  Load (Vms &f, uint32_t callers) : f_ (f), callers_ (callers) {}
  // Goes on until DONE or for LIMIT_MS; returns DONE.
  bool
  run (const std::function<bool ()> &done, int limit_ms)
  {
    return f_.run (
        [&] {
          for (auto &c : callers_)
            renew (c);
          return done ();
        },
        limit_ms);
  }

private:
  Vms &f_;
  std::vector<std::unique_ptr<Caller>> callers_;
  uint32_t sent_ = 0;

  void
  renew (std::unique_ptr<Caller> &c)
  {
    if (c != nullptr && !c->complete () && !c->closed)
      return;
    c = std::make_unique<Caller> (
        f_.base, gw_query_port (f_.vms[sent_ % (uint32_t)Vms::Count]));
    c->request ("l" + std::to_string (sent_++), "/again/x");
  }
};

// Guards against completing a version that fails under load only: with a small
// share its upstreams are hardly ever busy.
TEST (GwRollout, AVersionThatFailsUnderLoadIsReverted)
{
  for (bool bad : { true, false })
    {
      Vms f;
      Load load (f, 24);
      f.before->default_behaviour = Delayed;
      f.target->default_behaviour = bad ? BusyError : Delayed;
      ASSERT_TRUE (f.run ([&] { return f.all_joined (); }, 8000));
      // VMs that have just started get no part of the slack.
      f.put_target (true);
      load.run ([] { return false; }, 2200);
      ASSERT_EQ (f.target->runs, 0u);
      uint32_t runs = f.before->runs;
      f.order (4000000);
      f.put_target (false);
      load.run (
          [&] { return f.wrote (VR_REVERTED) || f.wrote (VR_COMPLETED); },
          5000);
      EXPECT_EQ (f.wrote (VR_REVERTED), bad);
      EXPECT_EQ (f.wrote (VR_COMPLETED), !bad);
      EXPECT_GE (f.target->most_open, 5u);
      runs = f.before->runs - runs + f.target->runs;
      EXPECT_LE (f.target->runs, 0.1 * runs + 50);
    }
}

// Guards against a share of the new version that grows with each look at the
// queue: a request that waits for the old version was sent to the new one as
// soon as one of the looks drew it.
TEST (GwRollout, ARequestThatWaitsKeepsItsVersion)
{
  Vms f (1); // the bound on the exposure does not hide it
  f.before->default_behaviour = Silent;
  f.target->default_behaviour = Delayed;
  f.order (600000000);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 40; i++)
    {
      callers.push_back (
          std::make_unique<Caller> (f.base, gw_query_port (f.vms[0])));
      callers.back ()->request ("w" + std::to_string (i), "/again/x");
    }
  f.run ([&] { return f.before->runs >= 12; }, 1000);
  uint32_t before = f.target->runs;
  for (int look = 0; look < 300; look++)
    f.look_at_queues (0);
  f.run ([] { return false; }, 150);
  EXPECT_LE (f.target->runs - before, 2u);
}
}
