// Tests of the task for non-idempotent calls: several tasks with the in-memory
// store, and a service on loopback.
#include "oc.h"
#include "oc_bucket.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

st_str
view (const std::string &s)
{
  return { s.data (), s.size () };
}

std::string
text (st_str s)
{
  return std::string (s.ptr != nullptr ? s.ptr : "", s.len);
}

struct Response
{
  int count = 0;
  oc_outcome outcome = OC_UNKNOWN;
  er_kind kind = ER_OK;
  int status = 0;
  std::string body, message;
  bool replayed = false;

  static void
  on_response (void *user, const oc_response *a)
  {
    Response *self = static_cast<Response *> (user);
    self->count++;
    self->outcome = a->outcome;
    self->kind = a->kind;
    self->status = a->status;
    self->body = text (a->body);
    self->message = a->message;
    self->replayed = a->replayed;
  }
};

class Oc : public testing::Test
{
protected:
  struct Vm
  {
    Oc *test;
    oc_task *oc = nullptr;
    pf_platform *platform = nullptr;
    std::string incarnation;
  };
  enum class Mode
  {
    kRespond,
    kClose, // runs the call and closes the connection
    kHang   // runs the call and does not respond
  };

  void
  SetUp () override
  {
    base = event_base_new ();
    memory = pf_memory_make ();
    http = evhttp_new (base);
    evhttp_set_gencb (http, on_request, this);
    evhttp_set_allowed_methods (http, EVHTTP_REQ_POST);
    evhttp_bound_socket *s
        = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
    sockaddr_in in = {};
    socklen_t size = sizeof in;
    getsockname (evhttp_bound_socket_get_fd (s), (sockaddr *)&in, &size);
    service = "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
    // Nothing listens on a port that was just closed.
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    in.sin_port = 0;
    bind (fd, (sockaddr *)&in, sizeof in);
    getsockname (fd, (sockaddr *)&in, &size);
    close (fd);
    refused = "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
    for (int i = 0; i < 3; i++)
      start ();
  }
  void
  TearDown () override
  {
    for (auto &vm : vms)
      stop (vm.get ());
    evhttp_free (http);
    pf_memory_destroy (memory);
    event_base_free (base);
  }

  Vm *
  start ()
  {
    vms.push_back (std::make_unique<Vm> ());
    Vm *vm = vms.back ().get ();
    vm->test = this;
    vm->incarnation = "vm-" + std::to_string (vms.size ());
    pf_desc p = {};
    p.driver = PF_MEMORY;
    p.memory = memory;
    p.timeout_ms = 100;
    vm->platform = pf_make (&p, nullptr);
    oc_desc d = {};
    d.base = base;
    d.platform = vm->platform;
    d.incarnation = view (vm->incarnation);
    d.seed = vms.size ();
    d.wait_us = 1500000;
    d.abandon_interval_us = 20000;
    d.idle_timeout_ms = 1000;
    d.max_calls = 256;
    d.find_peer = find_peer;
    d.send = send;
    d.user = vm;
    vm->oc = oc_make (&d);
    return vm;
  }
  void
  stop (Vm *vm)
  {
    if (vm->oc == nullptr)
      return;
    oc_destroy (vm->oc);
    pf_destroy (vm->platform);
    vm->oc = nullptr;
  }

  static Vm *
  find_vm (Oc *test, st_str incarnation)
  {
    for (auto &vm : test->vms)
      if (vm->incarnation == text (incarnation))
        return vm.get ();
    return nullptr;
  }
  static oc_peer_state
  find_peer (void *user, st_str incarnation)
  {
    Vm *vm = find_vm (static_cast<Vm *> (user)->test, incarnation);
    if (vm == nullptr)
      return OC_PEER_UNKNOWN;
    return vm->oc != nullptr ? OC_PEER_ALIVE : OC_PEER_DEAD;
  }
  // Messages travel as frames, from the event loop.
  static bool
  send (void *user, st_str incarnation, const ms_message *m)
  {
    struct Parcel
    {
      Oc *test;
      std::string from, to;
      struct evbuffer *frame;
    };
    Vm *from = static_cast<Vm *> (user);
    Parcel *p = new Parcel{ from->test, from->incarnation, text (incarnation),
                            evbuffer_new () };
    EXPECT_TRUE (ms_encode (p->frame, m, nullptr));
    struct timeval tv = { 0, 1000 };
    event_base_once (
        from->test->base, -1, EV_TIMEOUT,
        [] (evutil_socket_t, short, void *arg) {
          std::unique_ptr<Parcel> parcel (static_cast<Parcel *> (arg));
          Vm *to = find_vm (parcel->test, view (parcel->to));
          ms_decoder *d = ms_make_decoder ();
          fr_frame frame;
          ms_message got;
          EXPECT_EQ (fr_decode (parcel->frame, &frame, nullptr), FR_FRAME);
          EXPECT_TRUE (ms_decode (d, &frame, &got, nullptr));
          if (to != nullptr && to->oc != nullptr)
            oc_on_message (to->oc, view (parcel->from), &got);
          ms_destroy_decoder (d);
          evbuffer_free (parcel->frame);
        },
        p, &tv);
    return true;
  }

  static void
  on_request (struct evhttp_request *req, void *user)
  {
    Oc *self = static_cast<Oc *> (user);
    struct evkeyvalq *in = evhttp_request_get_input_headers (req);
    const char *key = evhttp_find_header (in, "Idempotency-Key");
    const char *fence = evhttp_find_header (in, "Dotterelbend-Fence");
    EXPECT_NE (key, nullptr);
    EXPECT_NE (fence, nullptr);
    self->executed[key != nullptr ? key : ""]++;
    switch (self->mode)
      {
      case Mode::kRespond:
        {
          struct evbuffer *out = evbuffer_new ();
          evbuffer_add (out, self->reply.data (), self->reply.size ());
          evhttp_send_reply (req, 201, "Created", out);
          evbuffer_free (out);
          return;
        }
      case Mode::kClose:
        evhttp_connection_free (evhttp_request_get_connection (req));
        return;
      case Mode::kHang:
        return;
      }
  }

  oc_id
  call (Vm *vm, const std::string &key, Response *response,
        std::vector<std::string> addresses = {})
  {
    if (addresses.empty ())
      addresses = { service };
    std::vector<st_str> views;
    for (auto &a : addresses)
      views.push_back (view (a));
    oc_call_desc d = {};
    d.team = ST_LIT ("drafts");
    d.service = ST_LIT ("orders");
    d.key = view (key);
    d.path = "/orders";
    d.body = ST_LIT ("{\"rolls\":3}");
    d.addresses = views.data ();
    d.address_count = views.size ();
    return oc_call (vm->oc, &d, Response::on_response, response);
  }

  bool
  run (const std::function<bool ()> &done, int ms = 5000)
  {
    ck_clock clock = {};
    uint64_t last = ck_now_us (&clock);
    uint64_t end = last + (uint64_t)ms * 1000;
    while (!done () && last < end)
      {
        struct timeval tv = { 0, 1000 };
        event_base_loopexit (base, &tv);
        event_base_dispatch (base);
        uint64_t now = ck_now_us (&clock);
        ck_advance_us (pf_memory_clock (memory), now - last);
        last = now;
        pf_memory_run (memory);
      }
    return done ();
  }

  struct event_base *base = nullptr;
  struct evhttp *http = nullptr;
  pf_memory *memory = nullptr;
  std::string service, refused;
  std::string reply = "{\"order\":1}";
  Mode mode = Mode::kRespond;
  std::map<std::string, int> executed;
  std::vector<std::unique_ptr<Vm>> vms;
};

} // namespace

// Guards against a lost response, and a retry at another VM that runs the call
// again.
TEST_F (Oc, AnsweredAndReplayed)
{
  Response a;
  Response b;
  ASSERT_NE (call (vms[0].get (), "k", &a), 0u);
  EXPECT_EQ (a.count, 0);
  ASSERT_TRUE (run ([&] { return a.count == 1; }));
  EXPECT_EQ (a.outcome, OC_ANSWERED);
  EXPECT_EQ (a.status, 201);
  EXPECT_EQ (a.body, reply);
  EXPECT_FALSE (a.replayed);
  ASSERT_TRUE (run ([&] { return oc_query_counts (vms[0]->oc).calls == 0; }));
  ASSERT_NE (call (vms[1].get (), "k", &b), 0u);
  ASSERT_TRUE (run ([&] { return b.count == 1; }));
  EXPECT_EQ (b.outcome, OC_ANSWERED);
  EXPECT_EQ (b.status, 201);
  EXPECT_EQ (b.body, reply);
  EXPECT_TRUE (b.replayed);
  EXPECT_EQ (executed["k"], 1);
}

// Guards against calls with one key that run on several VMs at the same time.
TEST_F (Oc, SameKeyAtAllVmsRunsOnce)
{
  for (int round = 0; round < 20; round++)
    {
      std::string key = "k" + std::to_string (round);
      Response a[6];
      for (int i = 0; i < 6; i++)
        ASSERT_NE (call (vms[i % 3].get (), key, &a[i]), 0u);
      ASSERT_TRUE (run ([&] {
        int n = 0;
        for (auto &x : a)
          n += x.count;
        return n == 6;
      }));
      EXPECT_EQ (executed[key], 1);
      for (auto &x : a)
        {
          EXPECT_EQ (x.outcome, OC_ANSWERED);
          EXPECT_EQ (x.body, reply);
        }
    }
}

// Guards against keys of different teams or services that are treated as one.
TEST_F (Oc, KeysAreSeparateByTeamAndService)
{
  Response a[2];
  oc_call_desc d = {};
  st_str address = view (service);
  d.path = "/";
  d.addresses = &address;
  d.address_count = 1;
  d.team = ST_LIT ("t");
  d.service = ST_LIT ("s1");
  d.key = ST_LIT ("k");
  ASSERT_NE (oc_call (vms[0]->oc, &d, Response::on_response, &a[0]), 0u);
  d.team = ST_LIT ("ts");
  d.service = ST_LIT ("1");
  ASSERT_NE (oc_call (vms[0]->oc, &d, Response::on_response, &a[1]), 0u);
  ASSERT_TRUE (run ([&] { return a[0].count + a[1].count == 2; }));
  EXPECT_EQ (executed["k"], 2);
}

// Guards against calls that are sent although their intent cannot be stored.
TEST_F (Oc, StoreOutageIsNotRun)
{
  pf_memory_faults (memory)->outage = true;
  Response a;
  ASSERT_NE (call (vms[0].get (), "k", &a), 0u);
  ASSERT_TRUE (run ([&] { return a.count == 1; }));
  EXPECT_EQ (a.outcome, OC_NOT_RUN);
  EXPECT_EQ (a.kind, ER_UNAVAILABLE);
  EXPECT_EQ (executed["k"], 0);
  pf_memory_faults (memory)->outage = false;
  Response b;
  ASSERT_NE (call (vms[1].get (), "k", &b), 0u);
  ASSERT_TRUE (run ([&] { return b.count == 1; }));
  EXPECT_EQ (b.outcome, OC_ANSWERED);
  EXPECT_EQ (executed["k"], 1);
}

// Guards against a second call when the store's reply to the write of the
// intent or of the outcome is lost.
TEST_F (Oc, LostStoreRepliesAreReadBack)
{
  for (uint32_t lost = 1; lost <= 3; lost++)
    {
      std::string key = "k" + std::to_string (lost);
      pf_memory_faults (memory)->lose_answer = lost;
      Response a;
      ASSERT_NE (call (vms[0].get (), key, &a), 0u);
      ASSERT_TRUE (run ([&] { return a.count == 1; }, 10000));
      EXPECT_EQ (a.outcome, OC_ANSWERED);
      EXPECT_EQ (executed[key], 1);
      EXPECT_TRUE (run (
          [&] { return oc_query_counts (vms[0]->oc).calls == 0; }, 10000));
      Response b;
      ASSERT_NE (call (vms[1].get (), key, &b), 0u);
      ASSERT_TRUE (run ([&] { return b.count == 1; }));
      EXPECT_EQ (b.outcome, OC_ANSWERED);
      EXPECT_EQ (executed[key], 1);
    }
}

// Guards against a refused connection that makes the key unusable, and an
// instance that is not tried although nothing was sent.
TEST_F (Oc, RefusedConnectionIsNotRun)
{
  Response a;
  ASSERT_NE (call (vms[0].get (), "k", &a, { refused }), 0u);
  ASSERT_TRUE (run ([&] { return a.count == 1; }));
  EXPECT_EQ (a.outcome, OC_NOT_RUN);
  Response b;
  ASSERT_NE (call (vms[1].get (), "k", &b, { refused, service }), 0u);
  ASSERT_TRUE (run ([&] { return b.count == 1; }));
  EXPECT_EQ (b.outcome, OC_ANSWERED);
  EXPECT_EQ (executed["k"], 1);
}

// Guards against a call that is sent again after its connection was lost.
TEST_F (Oc, LostConnectionIsUnknownForEver)
{
  mode = Mode::kClose;
  Response a;
  ASSERT_NE (call (vms[0].get (), "k", &a, { service, service }), 0u);
  ASSERT_TRUE (run ([&] { return a.count == 1; }));
  EXPECT_EQ (a.outcome, OC_UNKNOWN);
  mode = Mode::kRespond;
  ASSERT_TRUE (run ([&] { return oc_query_counts (vms[0]->oc).calls == 0; }));
  for (auto &vm : vms)
    {
      Response b;
      ASSERT_NE (call (vm.get (), "k", &b), 0u);
      ASSERT_TRUE (run ([&] { return b.count == 1; }));
      EXPECT_EQ (b.outcome, OC_UNKNOWN);
    }
  EXPECT_EQ (executed["k"], 1);
}

// Guards against callers that wait for ever for a service that hangs.
TEST_F (Oc, UnresponsiveServiceIsUnknown)
{
  mode = Mode::kHang;
  Response a;
  ASSERT_NE (call (vms[0].get (), "k", &a), 0u);
  ASSERT_TRUE (run ([&] { return a.count == 1; }));
  EXPECT_EQ (a.outcome, OC_UNKNOWN);
  EXPECT_EQ (executed["k"], 1);
}

// Guards against a call of a dead VM that another VM sends again.
TEST_F (Oc, DeadVmLeavesUnknown)
{
  mode = Mode::kHang;
  Response a;
  ASSERT_NE (call (vms[0].get (), "k", &a), 0u);
  ASSERT_TRUE (run ([&] { return executed["k"] == 1; }));
  stop (vms[0].get ());
  mode = Mode::kRespond;
  Response b;
  ASSERT_NE (call (vms[1].get (), "k", &b), 0u);
  ASSERT_TRUE (run ([&] { return b.count == 1; }));
  EXPECT_EQ (b.outcome, OC_UNKNOWN);
  EXPECT_EQ (a.count, 0);
  ASSERT_TRUE (run ([&] { return oc_query_counts (vms[1]->oc).calls == 0; }));
  Response c;
  ASSERT_NE (call (vms[2].get (), "k", &c), 0u);
  ASSERT_TRUE (run ([&] { return c.count == 1; }));
  EXPECT_EQ (c.outcome, OC_UNKNOWN);
  EXPECT_EQ (executed["k"], 1);
}

// Guards against a callback to a caller that has disconnected, and a call that
// ends with its caller.
TEST_F (Oc, DetachedCallerGetsNothing)
{
  Response a;
  oc_id id = call (vms[0].get (), "k", &a);
  ASSERT_NE (id, 0u);
  oc_detach_caller (vms[0]->oc, id);
  EXPECT_TRUE (run ([&] {
    return executed["k"] == 1 && oc_query_waiting (vms[0]->oc) == 0;
  }));
  EXPECT_EQ (a.count, 0);
}

// Guards against malformed calls that reach the store or the service.
TEST_F (Oc, MalformedCallsAreRefused)
{
  Response a[4];
  EXPECT_EQ (call (vms[0].get (), "", &a[0]), 0u);
  EXPECT_EQ (call (vms[0].get (), "a\r\nX-Evil: 1", &a[1]), 0u);
  EXPECT_EQ (call (vms[0].get (), std::string (OC_KEY_MAX + 1, 'k'), &a[2]),
             0u);
  EXPECT_NE (call (vms[0].get (), std::string (OC_KEY_MAX, 'k'), &a[3]), 0u);
  EXPECT_EQ (a[0].count, 0) << "no response from within the call";
  EXPECT_TRUE (run ([&] { return a[3].count == 1; }));
  for (int i = 0; i < 3; i++)
    {
      EXPECT_EQ (a[i].count, 1);
      EXPECT_EQ (a[i].outcome, OC_NOT_RUN);
      EXPECT_EQ (a[i].kind, ER_INVALID);
    }
  EXPECT_EQ (a[3].outcome, OC_ANSWERED);
  EXPECT_EQ (executed.size (), 1u);
}

// Guards against callers that wait for ever because the table is full.
TEST_F (Oc, TooManyCallersAreRefused)
{
  mode = Mode::kHang;
  std::vector<std::unique_ptr<Response>> responses;
  int refused_calls = 0;
  for (int i = 0; i < 1100; i++)
    {
      responses.push_back (std::make_unique<Response> ());
      refused_calls += call (vms[0].get (), "k" + std::to_string (i % 100),
                             responses.back ().get ())
                               == 0
                           ? 1
                           : 0;
    }
  EXPECT_EQ (refused_calls, 1100 - 256 * 4);
  EXPECT_TRUE (run ([&] {
    for (auto &a : responses)
      if (a->count != 1)
        return false;
    return true;
  }));
  EXPECT_EQ (responses.back ()->outcome, OC_NOT_RUN);
  EXPECT_EQ (responses.back ()->kind, ER_LIMIT);
  EXPECT_EQ (executed.size (), 100u);
}

// Guards against a damaged bucket that is overwritten, which would lose the
// intents in it.
TEST_F (Oc, DamagedBucketRefusesCalls)
{
  for (int i = 0; i < OD_BUCKETS; i++)
    {
      char key[64];
      snprintf (key, sizeof key, "orders/bucket/%02d", i);
      pf_put (
          vms[0]->platform, st_from_cstr (key), ST_LIT ("\xde\xff\xff"), 0,
          [] (const pf_reply *, void *) {}, nullptr);
    }
  run ([] { return false; }, 20);
  Response a;
  ASSERT_NE (call (vms[0].get (), "k", &a), 0u);
  ASSERT_TRUE (run ([&] { return a.count == 1; }));
  EXPECT_EQ (a.outcome, OC_NOT_RUN);
  EXPECT_EQ (executed["k"], 0);
}

// Guards against calls that run twice and callers without an outcome, under
// mixed faults with the real store client and sockets.
TEST_F (Oc, MixedFaults)
{
  std::mt19937 rng (1);
  std::vector<std::unique_ptr<Response>> responses;
  for (int i = 0; i < 300; i++)
    {
      responses.push_back (std::make_unique<Response> ());
      if (rng () % 10 == 0)
        pf_memory_faults (memory)->lose_answer = rng () % 3;
      pf_memory_faults (memory)->outage = rng () % 12 == 0;
      mode = rng () % 8 == 0 ? Mode::kClose : Mode::kRespond;
      std::string key = "k" + std::to_string (rng () % 40);
      ASSERT_NE (call (vms[rng () % 3].get (), key, responses.back ().get (),
                       rng () % 5 == 0
                           ? std::vector<std::string>{ refused, service }
                           : std::vector<std::string>{ service }),
                 0u);
      run ([] { return false; }, (int)(rng () % 10));
    }
  pf_memory_faults (memory)->outage = false;
  EXPECT_TRUE (run (
      [&] {
        for (auto &a : responses)
          if (a->count != 1)
            return false;
        return true;
      },
      10000));
  int outcomes[3] = {};
  for (auto &a : responses)
    {
      EXPECT_EQ (a->count, 1);
      outcomes[a->outcome]++;
    }
  for (auto &e : executed)
    EXPECT_LE (e.second, 1) << e.first;
  printf ("answered %d, not_run %d, unknown %d, executed keys %zu\n",
          outcomes[OC_ANSWERED], outcomes[OC_NOT_RUN], outcomes[OC_UNKNOWN],
          executed.size ());
  EXPECT_GT (outcomes[OC_ANSWERED], 50);
}

// Guards against stored entries that change, and damaged values that are
// decoded in part.
TEST (OcBucket, RoundTripAndTruncation)
{
  std::string body (OD_BODY_MAX_BYTES, 'b');
  od_entry entries[3] = {
    { ST_LIT ("k1"), UINT64_MAX, ST_LIT ("vm-1"), OD_INTENT, 0, ST_LIT (""),
      false, 1700000000000 },
    { ST_LIT ("k2"), 1, ST_LIT ("vm-2"), OD_DONE, 201, view (body), true, 5 },
    { ST_LIT ("k3"), 0, ST_LIT (""), OD_UNKNOWN, 0, ST_LIT (""), false, 0 },
  };
  od_value value = { 7, 3, entries };
  msgpack_sbuffer out;
  oc_bucket_encode (&value, &out);
  er_error err = {};
  oc_bucket *b = oc_bucket_decode ({ out.data, out.size }, 9, &err);
  ASSERT_NE (b, nullptr) << err.message;
  const od_value *got = oc_bucket_value (b);
  EXPECT_EQ (got->revision, 9u);
  ASSERT_EQ (got->count, 3u);
  EXPECT_EQ (got->entries[0].attempt, UINT64_MAX);
  EXPECT_EQ (got->entries[0].time_ms, 1700000000000u);
  EXPECT_EQ (got->entries[1].state, OD_DONE);
  EXPECT_EQ (got->entries[1].status, 201u);
  EXPECT_EQ (text (got->entries[1].body), body);
  EXPECT_TRUE (got->entries[1].body_truncated);
  EXPECT_EQ (text (got->entries[2].key), "k3");
  oc_bucket_destroy (b);
  for (size_t n = 0; n < out.size; n++)
    {
      std::vector<char> cut (out.data, out.data + n);
      EXPECT_EQ (oc_bucket_decode ({ cut.data (), n }, 1, &err), nullptr);
    }
  std::mt19937 rng (1);
  for (int i = 0; i < 3000; i++)
    {
      std::string damaged (out.data, out.size);
      damaged[rng () % 200] = (char)rng ();
      oc_bucket_destroy (oc_bucket_decode (view (damaged), 1, &err));
    }
  msgpack_sbuffer_destroy (&out);
  EXPECT_EQ (oc_bucket_decode ({ "\xdf\x7f\xff\xff\xff", 5 }, 1, &err),
             nullptr);
}
