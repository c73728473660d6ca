// The HTTP driver of the platform client against the stand-in platform.
#include "pf.h"
#include "th.h"
#include "tp.h"

#include <event2/buffer.h>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

struct Reply
{
  struct event_base *base = nullptr;
  int count = 0;
  pf_result result = PF_OK;
  uint64_t revision = 0;
  std::string value;
  std::string message;
  std::vector<std::string> keys;
  std::vector<std::string> names;
  uint32_t malformed = 0;
  uint32_t retry_after_ms = 0;
};

void
on_reply (const pf_reply *a, void *user)
{
  auto *out = static_cast<Reply *> (user);
  out->count++;
  out->result = a->result;
  out->revision = a->revision;
  out->message = a->message;
  out->value.assign (a->value.ptr != nullptr ? a->value.ptr : "",
                     a->value.len);
  for (uint32_t i = 0; i < a->event_count; i++)
    out->keys.emplace_back (a->events[i].key.ptr, a->events[i].key.len);
  for (uint32_t i = 0; i < a->vm_count; i++)
    out->names.emplace_back (a->vms[i].name.ptr, a->vms[i].name.len);
  out->malformed = a->malformed_count;
  out->retry_after_ms = a->retry_after_ms;
  event_base_loopbreak (out->base);
}

st_str
str (const std::string &text)
{
  return { text.data (), text.size () };
}

void
on_malformed (struct evhttp_request *req, void *user)
{
  auto *body = static_cast<std::string *> (user);
  struct evbuffer *out = evbuffer_new ();
  evbuffer_add (out, body->data (), body->size ());
  evhttp_send_reply (req, 200, nullptr, out);
  evbuffer_free (out);
}

class PfHttp : public testing::Test
{
protected:
  void
  SetUp () override
  {
    base = event_base_new ();
    start_standin ("127.0.0.1:0");
    address = "127.0.0.1:" + std::to_string (tp_query_port (standin));
    connect (address);
  }

  void
  TearDown () override
  {
    pf_destroy (platform);
    tp_destroy (standin);
    event_base_free (base);
  }

  void
  start_standin (const std::string &listen)
  {
    tp_desc desc = {};
    er_error err = {};
    desc.base = base;
    desc.listen = listen.c_str ();
    standin = tp_make (&desc, &err);
    ASSERT_NE (standin, nullptr) << err.message;
  }

  void
  connect (const std::string &to)
  {
    pf_desc desc = {};
    er_error err = {};
    pf_destroy (platform);
    desc.base = base;
    desc.store = to.c_str ();
    desc.vm_list = to.c_str ();
    desc.weights = to.c_str ();
    desc.timeout_ms = 300;
    desc.watch_ms = 200;
    desc.retry_ms = 20;
    platform = pf_make (&desc, &err);
    ASSERT_NE (platform, nullptr) << err.message;
  }

  void
  set_faults (const char *text)
  {
    json_t *json = json_loads (text, 0, nullptr);
    ASSERT_NE (json, nullptr);
    tp_set_faults (standin, json);
    json_decref (json);
  }

  // Runs the loop until A has COUNT replies, at most 5 s.
  void
  wait (Reply &a, int count = 1)
  {
    ck_clock clock = {};
    uint64_t end_us = ck_now_us (&clock) + 5 * CK_S_US;
    a.base = base;
    while (a.count < count && ck_now_us (&clock) < end_us)
      run (20, true);
    ASSERT_GE (a.count, count);
  }

  // Runs the loop for MS, with UNTIL_REPLY until a reply if that is earlier.
  void
  run (uint32_t ms, bool until_reply = false)
  {
    ck_clock clock = {};
    uint64_t end_us = ck_now_us (&clock) + ms * CK_MS_US;
    struct timeval tv = { 0, 2000 };
    struct event *tick = event_new (
        base, -1, EV_PERSIST, [] (evutil_socket_t, short, void *) {}, nullptr);
    event_add (tick, &tv);
    while (ck_now_us (&clock) < end_us)
      {
        event_base_loop (base, EVLOOP_ONCE);
        if (until_reply && event_base_got_break (base))
          break;
      }
    event_free (tick);
  }

  Reply
  put (const std::string &key, const std::string &value, uint64_t prev)
  {
    Reply a;
    a.base = base;
    pf_put (platform, str (key), str (value), prev, on_reply, &a);
    wait (a);
    return a;
  }

  Reply
  get (const std::string &key)
  {
    Reply a;
    a.base = base;
    pf_get (platform, str (key), on_reply, &a);
    wait (a);
    return a;
  }

  struct event_base *base = nullptr;
  tp_platform *standin = nullptr;
  pf_platform *platform = nullptr;
  std::string address;
};

} // namespace

// Guards against a wrong mapping of the store's replies, and against keys and
// values with special bytes that are changed on the way.
TEST_F (PfHttp, StoresReadsSwapsAndDeletes)
{
  std::string value ("a\0b\xff", 4);
  Reply first = put ("settings/team/night shift?&%", value, 0);
  EXPECT_EQ (first.result, PF_OK);
  EXPECT_EQ (get ("settings/team/night shift?&%").value, value);
  Reply second = put ("settings/team/night shift?&%", "x", 0);
  EXPECT_EQ (second.result, PF_CONFLICT);
  EXPECT_EQ (second.revision, first.revision);
  Reply listed;
  listed.base = base;
  pf_list (platform, str ("settings/"), on_reply, &listed);
  wait (listed);
  EXPECT_EQ (listed.keys,
             std::vector<std::string>{ "settings/team/night shift?&%" });
  Reply gone;
  gone.base = base;
  pf_delete (platform, str ("settings/team/night shift?&%"), first.revision,
             on_reply, &gone);
  wait (gone);
  EXPECT_EQ (gone.result, PF_OK);
  EXPECT_EQ (get ("settings/team/night shift?&%").result, PF_NOT_FOUND);
}

// Guards against a write that is reported as "not done" after its reply was
// lost.
TEST_F (PfHttp, LostReplyIsUnknownAndTookEffect)
{
  put ("warm", "connection", 0);
  set_faults (R"({"lose_answer":1})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN);
  EXPECT_EQ (get ("a").value, "1");
}

// Guards against a write that is reported as "not done" because its reply came
// after the time-out.
TEST_F (PfHttp, LateReplyIsUnknownForAWriteAndUnavailableForARead)
{
  set_faults (R"({"delay_ms":600})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN);
  EXPECT_EQ (get ("a").result, PF_UNAVAILABLE);
  run (700);
  set_faults (R"({"delay_ms":0})");
  EXPECT_EQ (get ("a").value, "1");
}

// Guards against calls in an outage with another result than "not done", and
// against a client that still fails after it.
TEST_F (PfHttp, OutageIsUnavailableAndEnds)
{
  set_faults (R"({"outage":true})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNAVAILABLE);
  set_faults (R"({"outage":"drop"})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN);
  EXPECT_EQ (get ("a").result, PF_UNAVAILABLE);
  set_faults (R"({"outage":"hang"})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN);
  set_faults (R"({"outage":false})");
  EXPECT_EQ (get ("a").result, PF_NOT_FOUND);
  EXPECT_EQ (put ("a", "1", 0).result, PF_OK);
}

// Guards against the result "unknown" for a refused connection: callers would
// have to read back a write that was never sent.
TEST_F (PfHttp, RefusedConnectionIsUnavailable)
{
  tp_destroy (standin);
  standin = nullptr;
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNAVAILABLE);
  start_standin (address);
  EXPECT_EQ (put ("a", "1", 0).result, PF_OK);
}

// Guards against the result "unknown" for a call that timed out behind others
// and was never sent.
TEST_F (PfHttp, CallThatWaitedPastItsTimeoutIsUnavailable)
{
  Reply a[6];
  int unknown = 0;
  int unavailable = 0;
  set_faults (R"({"outage":"hang"})");
  for (Reply &x : a)
    {
      x.base = base;
      pf_put (platform, str ("a"), str ("1"), 0, on_reply, &x);
    }
  for (Reply &x : a)
    {
      wait (x);
      unknown += x.result == PF_UNKNOWN;
      unavailable += x.result == PF_UNAVAILABLE;
    }
  EXPECT_EQ (unknown, 4);
  EXPECT_EQ (unavailable, 2);
}

// Guards against a lease holder that renews a lapsed lease.
TEST_F (PfHttp, LapsedLeaseCannotBeRenewed)
{
  Reply a;
  Reply b;
  Reply renew;
  Reply release;
  a.base = b.base = renew.base = release.base = base;
  pf_lease_acquire (platform, str ("l"), str ("one"), 60000, on_reply, &a);
  wait (a);
  EXPECT_EQ (a.result, PF_OK);
  set_faults (R"({"lapse_lease":"l"})");
  pf_lease_renew (platform, str ("l"), str ("one"), a.revision, 60000,
                  on_reply, &renew);
  wait (renew);
  EXPECT_EQ (renew.result, PF_CONFLICT);
  pf_lease_acquire (platform, str ("l"), str ("two"), 60000, on_reply, &b);
  wait (b);
  EXPECT_EQ (b.result, PF_OK);
  EXPECT_GT (b.revision, a.revision);
  pf_lease_release (platform, str ("l"), str ("two"), b.revision, on_reply,
                    &release);
  wait (release);
  EXPECT_EQ (release.result, PF_OK);
}

// Guards against a lease that stays held after its holder died.
TEST_F (PfHttp, LeaseExpires)
{
  Reply a;
  Reply b;
  a.base = b.base = base;
  pf_lease_acquire (platform, str ("l"), str ("one"), 50, on_reply, &a);
  wait (a);
  run (80);
  pf_lease_acquire (platform, str ("l"), str ("two"), 50, on_reply, &b);
  wait (b);
  EXPECT_EQ (b.result, PF_OK);
}

// Guards against changes that are missed while the watch is down, and against
// a watch that is not sent again after one without events.
TEST_F (PfHttp, WatchMissesNothingAcrossAnOutage)
{
  Reply w;
  w.base = base;
  pf_watch (platform, str ("s/"), 0, on_reply, &w);
  put ("s/a", "1", 0);
  wait (w);
  EXPECT_EQ (w.keys, std::vector<std::string>{ "s/a" });
  run (500);
  put ("s/b", "1", 0);
  wait (w, 2);
  tp_destroy (standin);
  standin = nullptr;
  wait (w, 3);
  EXPECT_EQ (w.result, PF_UNAVAILABLE);
  start_standin (address);
  put ("s/c1", "1", 0);
  put ("s/c2", "1", 0);
  put ("s/c3", "1", 0);
  wait (w, 4);
  EXPECT_EQ (w.result, PF_OK);
  EXPECT_EQ (w.keys.back ().substr (0, 3), "s/c");
}

// Guards against a pending watch that is counted more than once.
TEST_F (PfHttp, CountsAgreeWithThePlatform)
{
  uint64_t counts[PF_CALLS];
  Reply w;
  w.base = base;
  uint64_t id = pf_watch (platform, str ("s/"), 0, on_reply, &w);
  run (100);
  put ("a", "1", 0);
  get ("a");
  pf_unwatch (platform, id);
  run (50);
  pf_query_counts (platform, counts);
  EXPECT_EQ (counts[PF_PUT], 1u);
  EXPECT_EQ (counts[PF_GET], 1u);
  EXPECT_EQ (counts[PF_WATCH], 1u);
  EXPECT_EQ (tp_query_count (standin, "put"), 1u);
  EXPECT_EQ (tp_query_count (standin, "get"), 1u);
  EXPECT_EQ (tp_query_count (standin, "watch"), 1u);
}

// Guards against endless retries of a value above the store's limit.
TEST_F (PfHttp, OversizedValueIsRefused)
{
  EXPECT_EQ (put ("a", std::string (PF_VALUE_MAX, 'x'), 0).result, PF_OK);
  EXPECT_EQ (get ("a").value.size (), (size_t)PF_VALUE_MAX);
  EXPECT_EQ (put ("b", std::string (PF_VALUE_MAX + 1, 'x'), 0).result,
             PF_REFUSED);
  EXPECT_EQ (get ("b").result, PF_NOT_FOUND);
}

// Guards against malformed replies that crash the client or are accepted.
TEST_F (PfHttp, MalformedReplies)
{
  uint16_t port;
  er_error err = {};
  std::string body;
  struct evhttp *junk
      = th_listen (base, "127.0.0.1:0", on_malformed, &body, &port, &err);
  ASSERT_NE (junk, nullptr) << err.message;
  connect ("127.0.0.1:" + std::to_string (port));
  for (const char *text :
       { "", "{", "[]", "{\"revision\":1}", "{\"revision\":\"1\",\"vms\":[]}",
         "{\"revision\":1,\"vms\":{}}", "{\"revision\":1,\"events\":[7]}" })
    {
      Reply vms;
      Reply listed;
      vms.base = listed.base = base;
      body = text;
      pf_vm_list (platform, on_reply, &vms);
      wait (vms);
      EXPECT_EQ (vms.result, PF_UNAVAILABLE) << text;
      pf_list (platform, str (""), on_reply, &listed);
      wait (listed);
      EXPECT_EQ (listed.result, PF_UNAVAILABLE) << text;
      EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN) << text;
      EXPECT_EQ (get ("a").result, PF_UNAVAILABLE) << text;
    }
  pf_destroy (platform);
  platform = nullptr;
  evhttp_free (junk);
}

// Guards against a malformed VM list entry that makes the client drop the
// others.
TEST_F (PfHttp, VmListOmitsMalformedEntries)
{
  uint16_t port;
  er_error err = {};
  std::string body = R"({"revision":3,"vms":[
    {"name":"e1","kind":"engine","address":"127.0.0.1:1","region":"r",
     "data_center":"d","state":"live","model":"m","versions":["v1","v2"],
     "slots":4},
    {"name":"e2","kind":"engine","address":"127.0.0.1:2"},
    {"name":"e3","kind":"toaster","address":"127.0.0.1:2","region":"r",
     "data_center":"d","state":"live"},
    7,
    {"name":"v1","kind":"vm","address":"127.0.0.1:3","region":"r",
     "peer_address":"127.0.0.1:4","data_center":"d","state":"leaving"}]})";
  struct evhttp *server
      = th_listen (base, "127.0.0.1:0", on_malformed, &body, &port, &err);
  ASSERT_NE (server, nullptr) << err.message;
  connect ("127.0.0.1:" + std::to_string (port));
  Reply vms;
  vms.base = base;
  pf_vm_list (platform, on_reply, &vms);
  wait (vms);
  EXPECT_EQ (vms.result, PF_OK);
  EXPECT_EQ (vms.names, (std::vector<std::string>{ "e1", "v1" }));
  EXPECT_EQ (vms.malformed, 3u);
  EXPECT_EQ (vms.revision, 3u);
  pf_destroy (platform);
  platform = nullptr;
  evhttp_free (server);
}

// Guards against a rate limit that is reported without a retry delay.
TEST_F (PfHttp, WeightRateLimitIsUnavailableWithRetryAfter)
{
  Reply a;
  Reply b;
  a.base = b.base = base;
  pf_weights (platform, str ("m1"), str ("v2"), on_reply, &a);
  wait (a);
  EXPECT_EQ (a.result, PF_OK);
  pf_weights (platform, str ("m1"), str ("v2"), on_reply, &b);
  wait (b);
  EXPECT_EQ (b.result, PF_UNAVAILABLE);
  EXPECT_GT (b.retry_after_ms, 0u);
}

// Guards against memory that is used after a client was freed with calls in
// progress.
TEST_F (PfHttp, DestroyDropsCallsInProgress)
{
  Reply a;
  Reply w;
  a.base = w.base = base;
  set_faults (R"({"delay_ms":100})");
  pf_watch (platform, str ("s/"), 0, on_reply, &w);
  for (int i = 0; i < 8; i++)
    pf_put (platform, str ("a"), str ("1"), PF_ANY_REVISION, on_reply, &a);
  run (30);
  pf_destroy (platform);
  platform = nullptr;
  run (300);
  EXPECT_EQ (a.count, 0);
  EXPECT_EQ (w.count, 0);
}
