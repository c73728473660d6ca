// Limits that upstreams name for the requests of all VMs together.
#include "support.hh"

using namespace support;

namespace
{
// VMs of one group before two upstreams of a plain service.  Callers send
// requests to all of them in turn.
class Limited
{
public:
  static const int Count = 9;
  struct event_base *base = event_base_new ();
  gw_task *vms[Count] = {};
  std::unique_ptr<Upstream> upstreams[2];
  int upstream_count;
  uint32_t sent = 0;

  explicit Limited (int upstream_count_ = 2) : upstream_count (upstream_count_)
  {
    config_ = rc_make (1);
    rc_route *r
        = rc_add_route (config_, ST_LIT ("api.example"), ST_LIT ("/again/"));
    r->name = ST_LIT ("again");
    r->kind = RC_IDEMPOTENT;
    r->attempts = 2;
    r->timeout_ms = 2000;
    r->target_ms = 300;
    rc_add_weighted_service (config_, r, ST_LIT ("orders"), 1);
    rc_add_service (config_, ST_LIT ("orders"));
    rc_team *team = rc_add_team (config_, ST_LIT ("team-1"));
    rc_add_key (config_, team, ST_LIT ("key-1"));
    rc_seal (config_);
    for (int i = 0; i < upstream_count; i++)
      upstreams[i] = std::make_unique<Upstream> (base);
    for (int i = 0; i < Count; i++)
      {
        names_.push_back ("a-" + std::to_string (i + 1));
        addresses_.push_back (own_address (free_port ()));
      }
    for (int i = 0; i < Count; i++)
      start (i);
    EXPECT_TRUE (run_loop (
        base,
        [this] {
          for (gw_task *gw : vms)
            if (gw_query_vm_count (gw) != Count)
              return false;
          return true;
        },
        10000));
  }
  ~Limited ()
  {
    callers_.clear ();
    for (gw_task *gw : vms)
      gw_destroy (gw);
    rc_unref (config_);
    for (auto &up : upstreams)
      up.reset ();
    event_base_free (base);
  }
  // Starts the VM I, also again.
  void
  start (int i)
  {
    size_t at = (size_t)i;
    gw_desc desc = {};
    er_error err = {};
    gw_destroy (vms[i]); // NULL at first
    desc.base = base;
    desc.vm_name = str (names_[at]);
    desc.region = ST_LIT ("west");
    desc.data_center = ST_LIT ("a");
    desc.listen = ST_LIT ("127.0.0.1:0");
    desc.peer_listen = str (addresses_[at]);
    desc.names = &fields_;
    desc.bounds.retry_fixed = 1000;
    desc.bounds.retry_window_ms = 10000;
    desc.seed = ++seed_;
    vms[i] = gw_make (&desc, &err);
    ASSERT_NE (vms[i], nullptr) << err.message;
    gw_set_config (vms[i], config_);
    for (int u = 0; u < upstream_count; u++)
      {
        ut_entry e = {};
        st_name_set (&e.id, str ("up-" + std::to_string (u)));
        st_name_set (&e.service, ST_LIT ("orders"));
        st_name_set (&e.address, str (upstreams[u]->address ()));
        st_name_set (&e.data_center, ST_LIT ("a"));
        st_name_set (&e.region, ST_LIT ("west"));
        e.slots = 20;
        e.started_ms = 1;
        gw_put_upstream (vms[i], &e);
      }
    std::vector<gw_vm_entry> listed;
    for (size_t k = 0; k < names_.size (); k++)
      listed.push_back ({ str (names_[k]), ST_LIT ("west"), ST_LIT ("a"),
                          str (addresses_[k]), ST_LIT ("127.0.0.1:1"), 0 });
    gw_set_vms (vms[i], listed.data (), (uint32_t)listed.size ());
  }
  // Sends a request every 10 ms, to the VMs in turn, for MS.
  void
  send_for (int ms)
  {
    ck_clock clock = {};
    uint64_t end_us = ck_now_us (&clock) + (uint64_t)ms * 1000;
    run_loop (
        base,
        [&] {
          uint64_t now_us = ck_now_us (&clock);
          while (due_us_ <= now_us)
            {
              due_us_ = (due_us_ == 0 ? now_us : due_us_) + 10000;
              callers_.push_back (std::make_unique<Caller> (
                  base, gw_query_port (vms[sent % Count])));
              callers_.back ()->request ("r" + std::to_string (sent++),
                                         "/again/x");
            }
          arrivals_.push_back ({ now_us, upstreams[0]->runs });
          return now_us >= end_us;
        },
        ms + 5000);
  }
  // Waits until all callers have a response.
  bool
  finish ()
  {
    return run_loop (
        base,
        [this] {
          for (auto &c : callers_)
            if (!c->complete ())
              return false;
          return true;
        },
        5000);
  }
  uint32_t
  with_status (int status) const
  {
    uint32_t count = 0;
    for (auto &c : callers_)
      count += c->status () == status;
    return count;
  }
  // Most requests that the first upstream got in 4 s since the last call of
  // this function.
  uint32_t
  most_in_4_s ()
  {
    uint32_t most = 0;
    size_t from = 0;
    for (size_t to = 0; to < arrivals_.size (); to++)
      {
        while (arrivals_[to].first - arrivals_[from].first > 4000000)
          from++;
        most = std::max (most, arrivals_[to].second - arrivals_[from].second);
      }
    arrivals_.clear ();
    return most;
  }

private:
  gw_names fields_ = field_names ();
  rc_config *config_ = nullptr;
  std::vector<std::string> names_, addresses_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<std::pair<uint64_t, uint32_t>> arrivals_;
  uint64_t due_us_ = 0;
  uint64_t seed_ = 0;
};

// Of an upstream that takes one request a second, in 4 s.
const uint32_t AllowedInFourSeconds = 11;

// Guards against an upstream in need that gets many times what it can take,
// because the VMs do not read its limit, or obey it each by itself.
TEST (GwLimit, AllVmsTogetherKeepToTheLimit)
{
  Limited l;
  l.send_for (500);
  l.upstreams[0]->limit = "1";
  l.send_for (500);
  l.most_in_4_s ();
  l.send_for (7000);
  EXPECT_LE (l.most_in_4_s (), AllowedInFourSeconds);
  EXPECT_TRUE (l.finish ());
  EXPECT_EQ (l.with_status (200), l.sent);
}

// Guards against VMs that start, and know of no limit, each sending more than
// their part.
TEST (GwLimit, VmsThatStartKeepToTheLimit)
{
  Limited l;
  l.upstreams[0]->limit = "1";
  l.send_for (1000);
  l.most_in_4_s ();
  for (int i = 0; i < 4; i++)
    {
      l.start (i);
      l.send_for (1200);
    }
  l.send_for (3000);
  EXPECT_LE (l.most_in_4_s (), AllowedInFourSeconds);
}

// Guards against requests that are sent beyond the limit, or get no answer,
// where no other upstream is left.
TEST (GwLimit, WhatTheLimitTurnsAwayIsRefused)
{
  Limited l (1);
  l.upstreams[0]->limit = "1";
  l.send_for (1000);
  l.most_in_4_s ();
  l.send_for (6000);
  EXPECT_LE (l.most_in_4_s (), AllowedInFourSeconds);
  EXPECT_TRUE (l.finish ());
  EXPECT_EQ (l.with_status (200), l.upstreams[0]->runs);
  EXPECT_EQ (l.with_status (200) + l.with_status (503), l.sent);
}

// Guards against an error, which need not have the field, being taken for the
// end of the limit.
TEST (GwLimit, AnErrorWithoutTheFieldDoesNotEndTheLimit)
{
  Limited l (1);
  l.upstreams[0]->limit = "1";
  l.send_for (4500);
  l.most_in_4_s ();
  l.upstreams[0]->limit = "";
  l.upstreams[0]->default_behaviour = Plain503;
  l.send_for (4500);
  EXPECT_LE (l.most_in_4_s (), AllowedInFourSeconds);
}

// Guards against a limit that outlasts the need at VMs that may not send, and
// so do not see that it has ended.
TEST (GwLimit, TheLimitEndsAtAllVmsWhenItIsNoLongerNamed)
{
  Limited l (1);
  l.upstreams[0]->limit = "1";
  l.send_for (5000);
  EXPECT_LE (l.upstreams[0]->runs, AllowedInFourSeconds);
  l.upstreams[0]->limit = "";
  l.send_for (5000);
  uint32_t before = l.upstreams[0]->runs;
  uint32_t sent = l.sent;
  l.send_for (2000);
  EXPECT_TRUE (l.finish ());
  EXPECT_GE (l.upstreams[0]->runs - before, l.sent - sent);
}
}
