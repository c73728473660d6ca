// The stand-ins themselves, as processes without VMs: the other tests rely on
// the behaviour that is checked here.
#include "proc.h"
#include "te.h"

#include <csignal>
#include <future>
#include <gtest/gtest.h>

using proc::Cluster;
using proc::ClusterDesc;
using proc::Json;
using proc::Request;
using proc::Response;

namespace
{

class E2eStandin : public testing::Test
{
protected:
  void
  run (std::vector<std::string> engine_args, int engines = 1)
  {
    ClusterDesc desc;
    desc.vms = 0;
    desc.engines = engines;
    desc.services = 1;
    desc.engine_args = std::move (engine_args);
    desc.platform_args = { "--weights-per-min", "600" };
    cluster = std::make_unique<Cluster> (desc);
    ASSERT_TRUE (cluster->start ()) << cluster->error;
  }

  std::string
  engine (int i = 0)
  {
    return cluster->engine (i).address;
  }

  Response
  send (const std::string &id, int tokens, bool stream,
        const std::string &prompt = "tea", const std::string &version = "",
        const std::string &route = "", long timeout_ms = 10000)
  {
    Request r;
    r.method = "POST";
    r.url = engine () + "/v1/completions";
    r.body = "{\"prompt\":\"" + prompt
             + "\",\"max_tokens\":" + std::to_string (tokens)
             + ",\"stream\":" + (stream ? "true" : "false") + "}";
    r.headers = { "Dotterelbend-Stream: " + id };
    if (!version.empty ())
      r.headers.push_back ("Dotterelbend-Version: " + version);
    if (!route.empty ())
      r.headers.push_back ("Dotterelbend-Route: " + route);
    r.timeout_ms = timeout_ms;
    return proc::call (r);
  }

  static std::string
  text (const std::string &id, int tokens, const std::string &prompt = "tea")
  {
    std::string out;
    char token[TE_TOKEN_LEN + 1];
    for (int i = 0; i < tokens; i++)
      {
        te_token (st_from_cstr (id.c_str ()),
                  te_prompt_hash (st_from_cstr (prompt.c_str ())), (uint32_t)i,
                  token);
        out += token;
      }
    return out;
  }

  // Field NAME of the stream ID in GET /received of engine I; -1 without the
  // stream.
  json_int_t
  received (const std::string &id, const char *name, int i = 0)
  {
    Json body (proc::get (engine (i) + "/received").body);
    size_t n;
    json_t *item;
    json_array_foreach (json_object_get (body.get (), "streams"), n, item)
    {
      if (id == json_string_value (json_object_get (item, "id")))
        return json_integer_value (json_object_get (item, name));
    }
    return -1;
  }

  json_int_t
  load (const char *name)
  {
    return json_integer_value (json_object_get (
        Json (proc::get (engine () + "/load").body).get (), name));
  }

  Response
  stream_call (const char *method, const std::string &path,
               const std::string &body = "", int i = 0,
               long timeout_ms = 10000)
  {
    Request r;
    r.method = method;
    r.url = engine (i) + "/v1/streams/" + path;
    r.body = body;
    r.timeout_ms = timeout_ms;
    return proc::call (r);
  }

  std::unique_ptr<Cluster> cluster;
};

} // namespace

// Guards against the same text for two requests, by which a test could not
// tell them apart, and against a duplicate that is not counted.
TEST_F (E2eStandin, TextDependsOnStreamAndDuplicatesAreCounted)
{
  run ({ "--time-scale", "10" });
  Response non_streamed = send ("a", 5, false);
  EXPECT_EQ (non_streamed.text (), text ("a", 5));
  Response streamed = send ("b", 5, true);
  EXPECT_TRUE (streamed.done ());
  EXPECT_EQ (streamed.text (), text ("b", 5));
  EXPECT_NE (text ("a", 5), text ("b", 5));
  EXPECT_NE (text ("a", 5), text ("a", 5, "coffee"));
  EXPECT_EQ (received ("a", "received"), 1);
  EXPECT_EQ (send ("a", 5, false).status, 409);
  EXPECT_EQ (received ("a", "received"), 2);
}

// Guards against a resume that repeats or omits events, or is counted as a
// dispatch.
TEST_F (E2eStandin, StreamContinuesAndIsResumedFromAnEvent)
{
  run ({ "--decode", "100" });
  Response partial = send ("a", 80, true, "tea", "", "", 300);
  EXPECT_FALSE (partial.done ());
  std::string received_text = partial.text ();
  size_t events = received_text.size () / TE_TOKEN_LEN;
  ASSERT_GT (events, 2u);
  ASSERT_LT (events, 80u);
  Response rest = stream_call ("GET", "a?from=" + std::to_string (events));
  EXPECT_TRUE (rest.done ());
  EXPECT_EQ (received_text + rest.text (), text ("a", 80));
  EXPECT_EQ (received ("a", "received"), 1);
  EXPECT_EQ (received ("a", "resumed"), 1);
  EXPECT_EQ (received ("a", "wasted_tokens"), 0);
  EXPECT_EQ (stream_call ("GET", "nobody?from=0").status, 404);
}

// Guards against a stop that loses the state of the stream, and against wasted
// tokens that are not counted.
TEST_F (E2eStandin, StopRetainsStateAndCancelCountsWaste)
{
  run ({ "--decode", "100" });
  auto stopped
      = std::async (std::launch::async, [=] { return send ("a", 60, true); });
  auto cancelled
      = std::async (std::launch::async, [=] { return send ("b", 60, true); });
  ASSERT_TRUE (proc::wait_until (5000, [&] {
    return received ("a", "tokens") > 3 && received ("b", "tokens") > 3;
  }));
  EXPECT_EQ (stream_call ("DELETE", "a?keep=1").status, 200);
  EXPECT_EQ (stream_call ("DELETE", "b").status, 200);
  std::string received_text = stopped.get ().text ();
  EXPECT_FALSE (cancelled.get ().done ());
  EXPECT_EQ (received ("a", "wasted_tokens"), 0);
  EXPECT_GT (received ("b", "wasted_tokens"), 0);
  Response rest = stream_call (
      "POST",
      "a/resume?from=" + std::to_string (received_text.size () / TE_TOKEN_LEN),
      "{}");
  EXPECT_TRUE (rest.done ()) << rest.body;
  EXPECT_EQ (received_text + rest.text (), text ("a", 60));
  EXPECT_EQ (received ("a", "received"), 1);
  EXPECT_EQ (stream_call ("GET", "b?from=0").status, 410);
}

// Guards against a stop that looks like the end of the response: a streamed
// body ends without a further event, and there is no non-streamed response.
TEST_F (E2eStandin, StopSendsNoResponse)
{
  run ({ "--decode", "100" });
  auto streamed
      = std::async (std::launch::async, [=] { return send ("a", 60, true); });
  auto non_streamed
      = std::async (std::launch::async, [=] { return send ("b", 60, false); });
  ASSERT_TRUE (proc::wait_until (5000, [&] {
    return received ("a", "tokens") > 3 && received ("b", "tokens") > 3;
  }));
  stream_call ("DELETE", "a?keep=1");
  stream_call ("DELETE", "b?keep=1");
  Response r = streamed.get ();
  EXPECT_EQ (r.body.find ("error"), std::string::npos) << r.body;
  EXPECT_EQ (r.text (), text ("a", (int)(r.text ().size () / TE_TOKEN_LEN)));
  EXPECT_EQ (non_streamed.get ().status, 0);
  EXPECT_EQ (stream_call ("POST", "b/resume?from=0", "{}").text (),
             text ("b", 60));
}

// Guards against a stream that changes or is computed again when it moves to
// another engine.
TEST_F (E2eStandin, StreamMovesToAnotherEngineByKv)
{
  run ({ "--decode", "100" }, 2);
  auto first
      = std::async (std::launch::async, [=] { return send ("a", 60, true); });
  ASSERT_TRUE (
      proc::wait_until (5000, [&] { return received ("a", "tokens") > 3; }));
  EXPECT_EQ (stream_call ("GET", "a/kv").status, 409)
      << "the stream still runs";
  stream_call ("DELETE", "a?keep=1");
  std::string received_text = first.get ().text ();
  Response kv = stream_call ("GET", "a/kv");
  ASSERT_EQ (kv.status, 200) << kv.body;
  ASSERT_EQ (stream_call ("PUT", "a/kv", kv.body, 1).status, 200);
  stream_call ("DELETE", "a");
  Response rest = stream_call (
      "POST",
      "a/resume?from=" + std::to_string (received_text.size () / TE_TOKEN_LEN),
      "{}", 1);
  EXPECT_TRUE (rest.done ()) << rest.body;
  EXPECT_EQ (received_text + rest.text (), text ("a", 60));
  EXPECT_EQ (received ("a", "wasted_tokens"), 0) << "the stream was exported";
  EXPECT_EQ (received ("a", "received", 1), 0);
  EXPECT_EQ (received ("a", "prefill_tokens", 1), 0);
}

// Guards against an engine that runs more streams than it has slots, and
// against load reports without their lag.
TEST_F (E2eStandin, RequestsPastTheSlotsWait)
{
  run ({ "--decode", "100", "--slots", "2", "--report-lag-ms", "400" });
  std::vector<std::future<Response>> responses;
  for (int i = 0; i < 4; i++)
    responses.push_back (std::async (std::launch::async, [=] {
      return send ("s" + std::to_string (i), 60, true);
    }));
  proc::sleep_ms (150);
  EXPECT_EQ (load ("running"), 0) << "the report lags";
  proc::sleep_ms (400);
  EXPECT_EQ (load ("running"), 2);
  EXPECT_EQ (load ("queued"), 2);
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (responses[i].get ().text (),
               text ("s" + std::to_string (i), 60));
}

// Guards against a prefix cache without hits, without evictions or without
// events.
TEST_F (E2eStandin, PrefixCacheHitsAndEvicts)
{
  run ({ "--time-scale", "20", "--cache-tokens", "256" });
  std::string prompt (1024, 'x');
  send ("a", 1, false, prompt);
  send ("b", 1, false, prompt);
  EXPECT_EQ (received ("a", "prefill_tokens"), 256);
  EXPECT_EQ (received ("b", "prefill_tokens"), 1);
  send ("c", 1, false, std::string (1024, 'y'));
  send ("d", 1, false, prompt);
  EXPECT_EQ (received ("d", "prefill_tokens"), 256)
      << "the prefix was evicted";
  std::string events = proc::get (engine () + "/cache-events?from=0").body;
  EXPECT_NE (events.find ("\"stored\""), std::string::npos);
  EXPECT_NE (events.find ("\"evicted\""), std::string::npos);
}

// Guards against faults of bad versions that have no effect.
TEST_F (E2eStandin, BadVersions)
{
  run ({ "--time-scale", "10", "--versions", "v1,v2" });
  auto set_faults = [&] (const std::string &json) {
    cluster->set_faults (cluster->engine (0), json);
  };
  set_faults (R"({"bad_version":"v2","bad_mode":"fail"})");
  EXPECT_EQ (send ("a1", 3, true, "tea", "v1").status, 200);
  EXPECT_EQ (send ("a2", 3, true, "tea", "v2").status, 500);
  set_faults (R"({"bad_mode":"route","bad_route":"night"})");
  EXPECT_EQ (send ("b1", 3, true, "tea", "v2", "day").status, 200);
  EXPECT_EQ (send ("b2", 3, true, "tea", "v2", "night").status, 500);
  set_faults (R"({"bad_mode":"slow"})");
  int64_t from = proc::now_ms ();
  send ("c1", 50, true, "tea", "v1");
  int64_t good_ms = proc::now_ms () - from;
  from = proc::now_ms ();
  send ("c2", 50, true, "tea", "v2");
  EXPECT_GT (proc::now_ms () - from, good_ms * 3);
  set_faults (R"({"bad_mode":"fail","bad_from_ms":60000})");
  EXPECT_EQ (send ("d", 3, true, "tea", "v2").status, 200);
  Response missing = send ("e", 3, true, "tea", "v9");
  EXPECT_EQ (missing.status, 503);
  EXPECT_NE (missing.body.find ("not_admitted"), std::string::npos);
  EXPECT_EQ (received ("e", "received"), 0);
  EXPECT_EQ (received ("e", "refused"), 1);
}

// Guards against an order that is executed despite an old fencing number.
TEST_F (E2eStandin, OrdersLoadVersionsAndCheckTheFence)
{
  run ({ "--check-fence", "--load-ms", "100" });
  auto order = [&] (const char *kind, const char *version, int fence) {
    return proc::post (engine () + "/orders",
                       std::string ("{\"kind\":\"") + kind
                           + "\",\"model\":\"m1\",\"version\":\"" + version
                           + "\",\"fence\":" + std::to_string (fence) + "}")
        .status;
  };
  EXPECT_EQ (order ("load", "v2", 5), 200);
  EXPECT_EQ (order ("unload", "v1", 4), 409);
  EXPECT_TRUE (proc::wait_until (5000, [&] {
    return proc::get (engine () + "/load").body.find ("\"v2\"")
           != std::string::npos;
  }));
  EXPECT_TRUE (proc::wait_until (5000, [&] {
    return proc::get (cluster->platform ().address + "/vms")
               .body.find ("\"v2\"")
           != std::string::npos;
  }));
  EXPECT_EQ (order ("unload", "v1", 5), 200);
  EXPECT_EQ (send ("a", 1, true, "tea", "v1").status, 503);
  EXPECT_EQ (send ("b", 1, true, "tea", "v2").status, 200);
}

// Guards against an engine that is listed as live although it is leaving.
TEST_F (E2eStandin, LeavesOnSigterm)
{
  run ({ "--leave-ms", "3000", "--decode", "100" });
  auto response
      = std::async (std::launch::async, [=] { return send ("a", 100, true); });
  ASSERT_TRUE (
      proc::wait_until (5000, [&] { return received ("a", "tokens") > 3; }));
  cluster->engine (0).process.signal (SIGTERM);
  EXPECT_TRUE (proc::wait_until (2000, [&] {
    return proc::get (cluster->platform ().address + "/vms")
               .body.find ("\"leaving\"")
           != std::string::npos;
  }));
  EXPECT_EQ (send ("b", 1, true).status, 503);
  EXPECT_EQ (response.get ().text (), text ("a", 100));
  EXPECT_EQ (cluster->engine (0).process.wait (5000), 0);
}

// Guards against a service that counts a call without an effect, or does not
// count one whose response was lost.
TEST_F (E2eStandin, ServiceCountsEffects)
{
  run ({});
  auto send_call = [&] (const char *key) {
    Request r;
    r.method = "POST";
    r.url = cluster->service (0).address + "/submit";
    r.body = "{}";
    r.headers
        = { std::string ("Idempotency-Key: ") + key, "Dotterelbend-Fence: 3" };
    return proc::call (r).status;
  };
  EXPECT_EQ (send_call ("a"), 200);
  EXPECT_EQ (send_call ("a"), 200);
  cluster->set_faults (cluster->service (0), R"({"close_before_effect":1})");
  EXPECT_EQ (send_call ("b"), 0);
  cluster->set_faults (cluster->service (0), R"({"close_before_answer":1})");
  EXPECT_EQ (send_call ("c"), 0);
  std::map<std::string, int> counts = cluster->received ();
  EXPECT_EQ (counts["a"], 2);
  EXPECT_EQ (counts["b"], 0);
  EXPECT_EQ (counts["c"], 1);
}
