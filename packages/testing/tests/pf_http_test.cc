// The HTTP driver of the platform against the stand-in platform.
#include "pf.h"
#include "th.h"
#include "tp.h"

#include <event2/buffer.h>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

struct Answer
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
on_answer (const pf_reply *a, void *user)
{
  auto *out = static_cast<Answer *> (user);
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
on_junk (struct evhttp_request *req, void *user)
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
  faults (const char *text)
  {
    json_t *json = json_loads (text, 0, nullptr);
    ASSERT_NE (json, nullptr);
    tp_set_faults (standin, json);
    json_decref (json);
  }

  // Runs the loop until A has COUNT answers, at most 5 s.
  void
  wait (Answer &a, int count = 1)
  {
    ck_clock clock = {};
    uint64_t end_us = ck_now_us (&clock) + 5 * CK_S_US;
    a.base = base;
    while (a.count < count && ck_now_us (&clock) < end_us)
      run (20, true);
    ASSERT_GE (a.count, count);
  }

  // Runs the loop for MS, or until an answer arrives when UNTIL_ANSWER.
  void
  run (uint32_t ms, bool until_answer = false)
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
        if (until_answer && event_base_got_break (base))
          break;
      }
    event_free (tick);
  }

  Answer
  put (const std::string &key, const std::string &value, uint64_t prev)
  {
    Answer a;
    a.base = base;
    pf_put (platform, str (key), str (value), prev, on_answer, &a);
    wait (a);
    return a;
  }

  Answer
  get (const std::string &key)
  {
    Answer a;
    a.base = base;
    pf_get (platform, str (key), on_answer, &a);
    wait (a);
    return a;
  }

  struct event_base *base = nullptr;
  tp_platform *standin = nullptr;
  pf_platform *platform = nullptr;
  std::string address;
};

} // namespace

// Guards against a wrong mapping of the store's answers, and against keys and
// values with special bytes that arrive changed.
TEST_F (PfHttp, StoresReadsSwapsAndDeletes)
{
  std::string value ("a\0b\xff", 4);
  Answer first = put ("settings/team/night shift?&%", value, 0);
  EXPECT_EQ (first.result, PF_OK);
  EXPECT_EQ (get ("settings/team/night shift?&%").value, value);
  Answer second = put ("settings/team/night shift?&%", "x", 0);
  EXPECT_EQ (second.result, PF_CONFLICT);
  EXPECT_EQ (second.revision, first.revision);
  Answer listed;
  listed.base = base;
  pf_list (platform, str ("settings/"), on_answer, &listed);
  wait (listed);
  EXPECT_EQ (listed.keys,
             std::vector<std::string>{ "settings/team/night shift?&%" });
  Answer gone;
  gone.base = base;
  pf_delete (platform, str ("settings/team/night shift?&%"), first.revision,
             on_answer, &gone);
  wait (gone);
  EXPECT_EQ (gone.result, PF_OK);
  EXPECT_EQ (get ("settings/team/night shift?&%").result, PF_NOT_FOUND);
}

// Guards against a lost answer that is reported as "not done".
TEST_F (PfHttp, LostAnswerIsUnknownAndTookEffect)
{
  put ("warm", "connection", 0);
  faults (R"({"lose_answer":1})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN);
  EXPECT_EQ (get ("a").value, "1");
}

// Guards against an answer after the time-out that is taken as "not done".
TEST_F (PfHttp, LateAnswerIsUnknownForAWriteAndUnavailableForARead)
{
  faults (R"({"delay_ms":600})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN);
  EXPECT_EQ (get ("a").result, PF_UNAVAILABLE);
  run (700);
  faults (R"({"delay_ms":0})");
  EXPECT_EQ (get ("a").value, "1");
}

// Guards against an outage that is told as anything but "not done", and
// against a client that stays down after it.
TEST_F (PfHttp, OutageIsUnavailableAndEnds)
{
  faults (R"({"outage":true})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNAVAILABLE);
  faults (R"({"outage":"drop"})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN);
  EXPECT_EQ (get ("a").result, PF_UNAVAILABLE);
  faults (R"({"outage":"hang"})");
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN);
  faults (R"({"outage":false})");
  EXPECT_EQ (get ("a").result, PF_NOT_FOUND);
  EXPECT_EQ (put ("a", "1", 0).result, PF_OK);
}

// Guards against a refused connection that is told as "unknown": callers
// would have to read back a write that was never sent.
TEST_F (PfHttp, RefusedConnectionIsUnavailable)
{
  tp_destroy (standin);
  standin = nullptr;
  EXPECT_EQ (put ("a", "1", 0).result, PF_UNAVAILABLE);
  start_standin (address);
  EXPECT_EQ (put ("a", "1", 0).result, PF_OK);
}

// Guards against a call that waits behind others past its time-out and is
// told as "unknown" though it was never sent.
TEST_F (PfHttp, CallThatWaitedPastItsTimeoutIsUnavailable)
{
  Answer a[6];
  int unknown = 0;
  int unavailable = 0;
  faults (R"({"outage":"hang"})");
  for (Answer &x : a)
    {
      x.base = base;
      pf_put (platform, str ("a"), str ("1"), 0, on_answer, &x);
    }
  for (Answer &x : a)
    {
      wait (x);
      unknown += x.result == PF_UNKNOWN;
      unavailable += x.result == PF_UNAVAILABLE;
    }
  EXPECT_EQ (unknown, 4);
  EXPECT_EQ (unavailable, 2);
}

// Guards against a holder that renews a lapsed lease.
TEST_F (PfHttp, LapsedLeaseCannotBeRenewed)
{
  Answer a;
  Answer b;
  Answer renew;
  Answer release;
  a.base = b.base = renew.base = release.base = base;
  pf_lease_acquire (platform, str ("l"), str ("one"), 60000, on_answer, &a);
  wait (a);
  EXPECT_EQ (a.result, PF_OK);
  faults (R"({"lapse_lease":"l"})");
  pf_lease_renew (platform, str ("l"), str ("one"), a.revision, 60000,
                  on_answer, &renew);
  wait (renew);
  EXPECT_EQ (renew.result, PF_CONFLICT);
  pf_lease_acquire (platform, str ("l"), str ("two"), 60000, on_answer, &b);
  wait (b);
  EXPECT_EQ (b.result, PF_OK);
  EXPECT_GT (b.revision, a.revision);
  pf_lease_release (platform, str ("l"), str ("two"), b.revision, on_answer,
                    &release);
  wait (release);
  EXPECT_EQ (release.result, PF_OK);
}

// Guards against a lease whose holder died and that nobody can get.
TEST_F (PfHttp, LeaseExpires)
{
  Answer a;
  Answer b;
  a.base = b.base = base;
  pf_lease_acquire (platform, str ("l"), str ("one"), 50, on_answer, &a);
  wait (a);
  run (80);
  pf_lease_acquire (platform, str ("l"), str ("two"), 50, on_answer, &b);
  wait (b);
  EXPECT_EQ (b.result, PF_OK);
}

// Guards against changes missed while the watch was down, and against a
// watch that is not armed again after an empty wait.
TEST_F (PfHttp, WatchMissesNothingAcrossAnOutage)
{
  Answer w;
  w.base = base;
  pf_watch (platform, str ("s/"), 0, on_answer, &w);
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

// Guards against a waiting watch that is counted more than once a call.
TEST_F (PfHttp, CountsAgreeWithThePlatform)
{
  uint64_t counts[PF_CALLS];
  Answer w;
  w.base = base;
  uint64_t id = pf_watch (platform, str ("s/"), 0, on_answer, &w);
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

// Guards against a value past the store's limit that is tried again and
// again.
TEST_F (PfHttp, OversizedValueIsRefused)
{
  EXPECT_EQ (put ("a", std::string (PF_VALUE_MAX, 'x'), 0).result, PF_OK);
  EXPECT_EQ (get ("a").value.size (), (size_t)PF_VALUE_MAX);
  EXPECT_EQ (put ("b", std::string (PF_VALUE_MAX + 1, 'x'), 0).result,
             PF_REFUSED);
  EXPECT_EQ (get ("b").result, PF_NOT_FOUND);
}

// Guards against malformed answers that crash the client or are taken as
// true.
TEST_F (PfHttp, MalformedAnswers)
{
  uint16_t port;
  er_error err = {};
  std::string body;
  struct evhttp *junk
      = th_listen (base, "127.0.0.1:0", on_junk, &body, &port, &err);
  ASSERT_NE (junk, nullptr) << err.message;
  connect ("127.0.0.1:" + std::to_string (port));
  for (const char *text :
       { "", "{", "[]", "{\"revision\":1}", "{\"revision\":\"1\",\"vms\":[]}",
         "{\"revision\":1,\"vms\":{}}", "{\"revision\":1,\"events\":[7]}" })
    {
      Answer vms;
      Answer listed;
      vms.base = listed.base = base;
      body = text;
      pf_vm_list (platform, on_answer, &vms);
      wait (vms);
      EXPECT_EQ (vms.result, PF_UNAVAILABLE) << text;
      pf_list (platform, str (""), on_answer, &listed);
      wait (listed);
      EXPECT_EQ (listed.result, PF_UNAVAILABLE) << text;
      EXPECT_EQ (put ("a", "1", 0).result, PF_UNKNOWN) << text;
      EXPECT_EQ (get ("a").result, PF_UNAVAILABLE) << text;
    }
  pf_destroy (platform);
  platform = nullptr;
  evhttp_free (junk);
}

// Guards against one wrong VM list entry that hides all others.
TEST_F (PfHttp, VmListLeavesOutMalformedEntries)
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
      = th_listen (base, "127.0.0.1:0", on_junk, &body, &port, &err);
  ASSERT_NE (server, nullptr) << err.message;
  connect ("127.0.0.1:" + std::to_string (port));
  Answer vms;
  vms.base = base;
  pf_vm_list (platform, on_answer, &vms);
  wait (vms);
  EXPECT_EQ (vms.result, PF_OK);
  EXPECT_EQ (vms.names, (std::vector<std::string>{ "e1", "v1" }));
  EXPECT_EQ (vms.malformed, 3u);
  EXPECT_EQ (vms.revision, 3u);
  pf_destroy (platform);
  platform = nullptr;
  evhttp_free (server);
}

// Guards against a rate limit that is told without a time to wait.
TEST_F (PfHttp, WeightRateIsUnavailableWithRetryAfter)
{
  Answer a;
  Answer b;
  a.base = b.base = base;
  pf_weights (platform, str ("m1"), str ("v2"), on_answer, &a);
  wait (a);
  EXPECT_EQ (a.result, PF_OK);
  pf_weights (platform, str ("m1"), str ("v2"), on_answer, &b);
  wait (b);
  EXPECT_EQ (b.result, PF_UNAVAILABLE);
  EXPECT_GT (b.retry_after_ms, 0u);
}

// Guards against memory that is used after a client was freed with calls in
// progress.
TEST_F (PfHttp, DestroyDropsCallsInProgress)
{
  Answer a;
  Answer w;
  a.base = w.base = base;
  faults (R"({"delay_ms":100})");
  pf_watch (platform, str ("s/"), 0, on_answer, &w);
  for (int i = 0; i < 8; i++)
    pf_put (platform, str ("a"), str ("1"), PF_ANY_REVISION, on_answer, &a);
  run (30);
  pf_destroy (platform);
  platform = nullptr;
  run (300);
  EXPECT_EQ (a.count, 0);
  EXPECT_EQ (w.count, 0);
}
