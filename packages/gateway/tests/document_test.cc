// Fetches of the document that the adapters of the VMs exchange.
#include "support.hh"

using namespace support;

namespace
{
rc_config *
config (uint64_t version)
{
  rc_config *c = rc_make (version);
  rc_seal (c);
  return c;
}

// Two VMs of one group.  "a-1" has the newer configuration, and its replies
// to fetches are held back, as on a link that is full.
class Pair
{
public:
  struct event_base *base = event_base_new ();
  gw_task *vms[2] = {};
  uint32_t fetches = 0; // that a-1 received
  std::string document; // reply of a-1; empty: none
  uint32_t received = 0;

  Pair ()
  {
    std::string names[2] = { "a-1", "a-2" };
    std::string addresses[2]
        = { own_address (free_port ()), own_address (free_port ()) };
    for (int i = 0; i < 2; i++)
      {
        gw_desc desc = {};
        er_error err = {};
        desc.base = base;
        desc.vm_name = str (names[i]);
        desc.region = ST_LIT ("west");
        desc.data_center = ST_LIT ("a");
        desc.listen = ST_LIT ("127.0.0.1:0");
        desc.peer_listen = str (addresses[i]);
        desc.names = &fields_;
        desc.seed = (uint64_t)i + 1;
        desc.query_document = [] (void *user, uint64_t) {
          Pair *p = static_cast<Pair *> (user);
          p->fetches++;
          return str (p->document);
        };
        desc.on_document = [] (void *user, st_str) {
          static_cast<Pair *> (user)->received++;
        };
        desc.user = this;
        vms[i] = gw_make (&desc, &err);
        EXPECT_NE (vms[i], nullptr) << err.message;
        rc_config *c = config (i == 0 ? 2 : 1);
        gw_set_config (vms[i], c);
        rc_unref (c);
      }
    for (gw_task *gw : vms)
      {
        gw_vm_entry listed[2];
        for (int i = 0; i < 2; i++)
          listed[i]
              = { str (names[i]),     ST_LIT ("west"),        ST_LIT ("a"),
                  str (addresses[i]), ST_LIT ("127.0.0.1:1"), 0 };
        gw_set_vms (gw, listed, 2);
      }
  }
  ~Pair ()
  {
    for (gw_task *gw : vms)
      gw_destroy (gw);
    event_base_free (base);
  }
  bool
  run (const std::function<bool ()> &done, int limit_ms)
  {
    return run_loop (base, done, limit_ms);
  }

private:
  gw_names fields_ = field_names ();
};

// Guards against fetches that are repeated while the reply is on its way: a
// large configuration takes a second on the slowest links, and each repetition
// made the reply later.
TEST (GwDocument, AFetchInProgressIsNotRepeated)
{
  Pair p;
  ASSERT_TRUE (p.run ([&] { return p.fetches > 0; }, 5000));
  p.run ([] { return false; }, 2500);
  EXPECT_LE (p.fetches, 3u);
}

// Guards against a VM that waits for a reply that was lost.
TEST (GwDocument, ALostReplyIsFetchedAgain)
{
  Pair p;
  ASSERT_TRUE (p.run ([&] { return p.fetches > 0; }, 5000));
  EXPECT_TRUE (p.run ([&] { return p.fetches > 1; }, 2500));
  p.document = "{}";
  EXPECT_TRUE (p.run ([&] { return p.received > 0; }, 5000));
}
}
