// Fetches of the document that the adapters of the VMs exchange.
#include "support.hh"

#include "fr.h"
#include "ms.h"

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
  std::string addresses[2]
      = { own_address (free_port ()), own_address (free_port ()) };

  Pair ()
  {
    std::string names[2] = { "a-1", "a-2" };
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

// A VM that a gateway hears but that is no member: it sends HELLO and load
// reports, and no probes.
class Stranger
{
public:
  uint32_t fetches = 0; // that it received
  uint32_t replies = 0;

  Stranger (struct event_base *base, const std::string &address)
      : decoder_ (ms_make_decoder ()),
        bev_ (bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE))
  {
    struct sockaddr_in sin = {};
    int len = sizeof sin;
    evutil_parse_sockaddr_port (address.c_str (), (struct sockaddr *)&sin,
                                &len);
    bufferevent_setcb (bev_, on_read, nullptr, nullptr, this);
    bufferevent_enable (bev_, EV_READ | EV_WRITE);
    bufferevent_socket_connect (bev_, (struct sockaddr *)&sin, len);
    ms_message m = {};
    m.type = MS_HELLO;
    m.u.hello.name = ST_LIT ("a-9");
    m.u.hello.incarnation = ST_LIT ("a-9-0123456789abcdef");
    m.u.hello.region = ST_LIT ("west");
    m.u.hello.data_center = ST_LIT ("a");
    m.u.hello.peer_address = ST_LIT ("127.0.0.1:1");
    m.u.hello.callers_address = ST_LIT ("127.0.0.1:1");
    m.u.hello.protocol_version = FR_VERSION;
    send (m);
  }
  ~Stranger ()
  {
    bufferevent_free (bev_);
    ms_destroy_decoder (decoder_);
  }
  void
  report (uint64_t version)
  {
    ms_message m = {};
    m.type = MS_LOAD;
    m.u.load.config_version = version;
    m.u.load.follows = true;
    m.u.load.ready = true;
    send (m);
  }
  void
  fetch ()
  {
    ms_message m = {};
    m.type = MS_SETTINGS_GET;
    send (m);
  }

private:
  ms_decoder *decoder_;
  struct bufferevent *bev_;

  void
  send (const ms_message &m)
  {
    er_error err = {};
    EXPECT_TRUE (ms_encode (bufferevent_get_output (bev_), &m, &err))
        << err.message;
  }
  static void
  on_read (struct bufferevent *bev, void *user)
  {
    Stranger *self = static_cast<Stranger *> (user);
    struct evbuffer *in = bufferevent_get_input (bev);
    fr_frame frame;
    er_error err = {};
    while (fr_decode (in, &frame, &err) == FR_FRAME)
      {
        ms_message m = {};
        if (ms_decode (self->decoder_, &frame, &m, &err))
          {
            self->fetches += m.type == MS_SETTINGS_GET;
            self->replies += m.type == MS_SETTINGS_VALUE;
          }
        fr_drain (in, &frame);
      }
  }
};

// Guards against a VM that hears of a newer version and cannot ask for it,
// because its view of the members lags behind.
TEST (GwDocument, AVmThatIsHeardButIsNoMemberIsAsked)
{
  Pair p;
  Stranger stranger (p.base, p.addresses[0]);
  EXPECT_TRUE (p.run (
      [&] {
        stranger.report (3);
        return stranger.fetches > 0;
      },
      3000));
}

// Guards against replies that are dropped because the VM that asks is not, or
// no longer, a live member in the view of the one that is asked.
TEST (GwDocument, AVmThatIsNoMemberIsAnswered)
{
  Pair p;
  p.document = "{}";
  Stranger stranger (p.base, p.addresses[0]);
  stranger.fetch ();
  EXPECT_TRUE (p.run ([&] { return stranger.replies > 0; }, 3000));
}
}
