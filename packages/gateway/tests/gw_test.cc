#include "support.hh"

using namespace support;

namespace
{
// One request for PATH through G; its caller once an answer is whole or the
// connection is closed.
std::unique_ptr<Caller>
ask (Gateway &g, const std::string &path, const std::string &fields = "",
     const std::string &body = "")
{
  auto c = g.caller ();
  c->request ("r1", path, fields, body);
  g.run ([&] { return c->whole () || c->closed; });
  return c;
}

TEST (Gw, PassesAWholeAnswerOn)
{
  Gateway g;
  auto c = ask (g, "/once/x?y=1", "X-Deadline: 500\r\nX-Other: kept\r\n",
                "hello");
  EXPECT_EQ (c->status (), 200);
  EXPECT_TRUE (c->has ("body of r1"));
  EXPECT_TRUE (c->has ("X-Sign: s1"));
  ASSERT_EQ (g.up ().heads.size (), 1u);
  const std::string &head = g.up ().heads[0];
  EXPECT_EQ (head.compare (0, 17, "POST /once/x?y=1\n"), 0) << head;
  EXPECT_NE (head.find ("X-Team: team-1\n"), std::string::npos);
  EXPECT_NE (head.find ("X-Expect: up-0\n"), std::string::npos);
  EXPECT_NE (head.find ("X-Other: kept\n"), std::string::npos);
  EXPECT_EQ (head.find ("Authorization"), std::string::npos) << head;
  EXPECT_EQ (g.up ().bodies[0], "hello");
}

// Guards against orders to engines, team names and hop-by-hop fields that
// come from a caller.
TEST (Gw, DropsWhatOnlyThisSideMaySet)
{
  Gateway g;
  ask (g, "/once/x",
       "X-Hold: 7\r\nx-team: mine\r\nX-Expect: other\r\nX-Deadline: 300\r\n"
       "Connection: X-Id, X-Secret\r\nX-Secret: 1\r\n");
  ASSERT_EQ (g.up ().heads.size (), 1u);
  const std::string &head = g.up ().heads[0];
  EXPECT_EQ (head.find ("X-Hold"), std::string::npos);
  EXPECT_EQ (head.find ("mine"), std::string::npos);
  EXPECT_EQ (head.find ("other"), std::string::npos);
  EXPECT_EQ (head.find ("X-Secret"), std::string::npos);
  EXPECT_NE (head.find ("X-Id: r1"), std::string::npos);
  size_t at = head.find ("X-Deadline: ");
  ASSERT_NE (at, std::string::npos);
  EXPECT_LE (atoi (head.c_str () + at + 12), 300);
}

TEST (Gw, RefusesWhatNamesNoRouteOrKey)
{
  Gateway g;
  EXPECT_EQ (ask (g, "/none/")->status (), 404);
  auto c = g.caller ();
  c->send ("GET /once/ HTTP/1.1\r\nHost: api.example\r\nX-Id: a\r\n"
           "Authorization: Token wrong\r\n\r\n");
  g.run ([&] { return c->whole (); });
  EXPECT_EQ (c->status (), 401);
  auto d = g.caller ();
  d->send ("GET /once/ HTTP/1.1\r\nHost: api.example\r\n\r\n");
  g.run ([&] { return d->whole (); });
  EXPECT_EQ (d->status (), 400);
  EXPECT_EQ (g.up ().runs, 0u);
}

// Guards against a request hidden in another one's body.
TEST (Gw, RejectsAmbiguousRequests)
{
  Gateway g;
  auto c = g.caller ();
  c->send ("POST /once/ HTTP/1.1\r\nHost: api.example\r\nX-Id: a\r\n"
           "Authorization: Token key-1\r\nContent-Length: 4\r\n"
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
           "POST /once/ HTTP/1.1\r\nHost: api.example\r\nX-Id: b\r\n"
           "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n");
  g.run ([&] { return c->closed; });
  EXPECT_EQ (c->status (), 400);
  EXPECT_EQ (g.up ().heads.size (), 0u);
}

// Guards against "not run" being told of a request that may have run, and
// against such a request being sent again.
TEST (Gw, ARequestThatMayHaveRunIsNeitherRepeatedNorRefused)
{
  for (Behaviour b :
       { Reset, Cut, Unsigned, OtherId, Plain503, UnframedReset, Encoded })
    {
      Gateway g (2);
      g.up (0).fallback = b;
      g.up (1).fallback = b;
      auto c = ask (g, "/once/x");
      EXPECT_TRUE (c->status () == 502 || c->status () == 504)
          << b << ": " << c->got;
      EXPECT_EQ (g.up (0).runs + g.up (1).runs, 1u) << b;
      EXPECT_FALSE (c->has ("X-Sign")) << b;
    }
}

// Guards against giving up on a request that certainly did not run.
TEST (Gw, ARequestThatDidNotRunGoesElsewhere)
{
  for (Behaviour b : { Shed, OtherInstance })
    {
      Gateway g (2);
      g.up (0).fallback = b;
      auto c = ask (g, "/once/x");
      EXPECT_EQ (c->status (), 200) << b;
      EXPECT_EQ (g.up (1).runs, 1u) << b;
    }
  Gateway refused (2);
  refused.up (0).stop ();
  EXPECT_EQ (ask (refused, "/once/x")->status (), 200);
}

// Guards against a refusal without the promise that nothing ran, and without
// a time to come back.
TEST (Gw, RefusesWithAPromiseWhenNothingRan)
{
  Gateway g (1);
  g.up ().fallback = Shed;
  auto c = ask (g, "/once/x");
  EXPECT_EQ (c->status (), 503);
  EXPECT_TRUE (c->has ("Retry-After: "));
  EXPECT_EQ (g.up ().runs, 0u);
}

TEST (Gw, AnIdempotentRequestIsRepeatedAtAnother)
{
  for (Behaviour b : { Reset, Cut, Unsigned, Error, UnframedReset })
    {
      Gateway g (2);
      g.up (0).behaviours = { b };
      for (int i = 0; i < 20 && !g.up (0).behaviours.empty (); i++)
        EXPECT_EQ (ask (g, "/again/x")->status (), 200) << b;
      EXPECT_TRUE (g.up (0).behaviours.empty ()) << b;
      EXPECT_GE (g.up (1).runs, 1u) << b;
    }
}

// Guards against more runs than the route allows.
TEST (Gw, AttemptsAreBounded)
{
  Gateway g (3);
  for (auto &u : g.upstreams)
    u->fallback = Error;
  auto c = ask (g, "/again/x");
  EXPECT_EQ (c->status (), 500);
  EXPECT_TRUE (c->has ("X-Sign")) << "the upstream's own error is passed on";
  EXPECT_EQ (g.up (0).runs + g.up (1).runs + g.up (2).runs, 2u);
}

// Guards against repeats beyond the budget of all VMs.
TEST (Gw, WithoutBudgetNothingIsRepeated)
{
  Gateway g (2, 0);
  g.up (0).fallback = Error;
  g.up (1).fallback = Error;
  EXPECT_EQ (ask (g, "/again/x")->status (), 500);
  EXPECT_EQ (g.up (0).runs + g.up (1).runs, 1u);
}

// Guards against an upstream that cuts every connection off drawing all
// requests because it alone has room.
TEST (Gw, AnUpstreamThatCutsConnectionsOffIsLeftOut)
{
  Gateway g (2);
  g.put (0, true);
  g.put (1, false, 1);
  g.up (1).fallback = Silent;
  std::vector<std::unique_ptr<Caller>> busy;
  for (const char *id : { "s1", "s2" })
    {
      busy.push_back (g.caller ());
      busy.back ()->request (id, "/once/x");
    }
  ASSERT_TRUE (g.run ([&] { return g.up (1).runs == 2; }));
  g.put (0);
  g.up (0).fallback = Reset;
  // Before the silent ones reach their timeout.
  for (int i = 0; i < 4; i++)
    EXPECT_GE (ask (g, "/again/x")->status (), 500) << i;
  EXPECT_LE (g.up (0).runs, 3u);
}

// Guards against the answer of another request reaching a caller.
TEST (Gw, SkipsALateAnswerOfAnotherRequest)
{
  Gateway g;
  g.up ().behaviours = { LateOtherFirst };
  auto c = ask (g, "/once/x");
  EXPECT_EQ (c->status (), 200);
  EXPECT_TRUE (c->has ("body of r1"));
  EXPECT_FALSE (c->has ("not yours"));
  auto next = ask (g, "/once/y");
  EXPECT_EQ (next->status (), 200);
  EXPECT_EQ (g.up ().connections, 2u) << "the connection was used again";
}

// Guards against stray bytes being taken for the next answer.
TEST (Gw, AConnectionWithExtraBytesIsNotUsedAgain)
{
  Gateway g;
  g.up ().behaviours = { Extra };
  EXPECT_TRUE (ask (g, "/once/x")->has ("body of r1"));
  auto next = ask (g, "/once/y");
  EXPECT_EQ (next->status (), 200);
  EXPECT_FALSE (next->has ("again"));
  EXPECT_EQ (g.up ().connections, 2u);
}

// Guards against the rest of a body being read as the next request.
TEST (Gw, AConnectionWithAnEarlyAnswerIsNotUsedAgain)
{
  Gateway g;
  g.up ().behaviours = { Early };
  auto c = g.caller ();
  c->request ("r1", "/once/x", "", std::string (3000000, 'b'));
  g.run ([&] { return c->whole (); });
  EXPECT_EQ (c->status (), 200);
  EXPECT_EQ (ask (g, "/once/y")->status (), 200);
  EXPECT_EQ (g.up ().connections, 2u);
}

TEST (Gw, KeepsGoodConnections)
{
  Gateway g;
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (ask (g, "/once/x")->status (), 200);
  EXPECT_EQ (g.up ().connections, 1u);
}

TEST (Gw, AnAnswerWithoutALengthIsCompleteAtTheEnd)
{
  Gateway g;
  g.up ().behaviours = { Unframed };
  auto c = ask (g, "/once/x");
  EXPECT_EQ (c->status (), 200);
  EXPECT_TRUE (c->has ("unframed"));
  EXPECT_TRUE (c->has ("Content-Length: 8"));
}

// Guards against a caller that waits for ever, and against an upstream that
// goes on for nobody.
TEST (Gw, EndsAtTheRoutesTimeout)
{
  Gateway g;
  g.up ().fallback = Silent;
  auto c = ask (g, "/once/x");
  EXPECT_EQ (c->status (), 504);
  g.run ([&] { return g.up ().closed_by_peer > 0; });
  EXPECT_EQ (g.up ().closed_by_peer, 1u);
}

// Guards against work for a caller that has left.
TEST (Gw, TheCallersCloseReachesTheUpstreamAtOnce)
{
  Gateway g;
  g.up ().fallback = Silent;
  auto c = g.caller ();
  c->request ("r1", "/once/x");
  g.run ([&] { return g.up ().runs == 1; });
  c->leave ();
  EXPECT_TRUE (g.run ([&] { return g.up ().closed_by_peer == 1; }, 300));
  EXPECT_EQ (gw_query_counts (g.gw).open, 0u);
}

// ---- streams ----

TEST (GwStream, PassesEventsOn)
{
  Gateway g;
  g.up ().fallback = Stream;
  auto c = g.caller ();
  c->request ("r1", "/stream/x");
  EXPECT_TRUE (g.run ([&] { return c->has ("0\r\n\r\n"); }));
  for (int i = 1; i <= 6; i++)
    EXPECT_TRUE (c->has ("data: part-" + std::to_string (i))) << i;
  EXPECT_TRUE (c->has ("X-Sign: s1"));
}

// Guards against a stream that breaks off looking complete, and against half
// an event reaching the caller.
TEST (GwStream, ABrokenStreamNeverEndsAsComplete)
{
  for (Behaviour b : { StreamCut, StreamGap })
    {
      Gateway g (2);
      g.up (0).fallback = b;
      g.up (1).fallback = b;
      auto c = g.caller ();
      c->request ("r1", "/stream/x");
      EXPECT_TRUE (g.run ([&] { return c->closed; })) << b;
      EXPECT_TRUE (c->has ("data: part-2")) << b;
      EXPECT_FALSE (c->has ("id: 3")) << b;
      EXPECT_FALSE (c->has ("\r\n0\r\n")) << b;
      EXPECT_EQ (g.up (0).runs + g.up (1).runs, 1u) << b;
    }
}

// Guards against missing, doubled or mixed pieces when a stream goes on at
// another upstream within one answer.
TEST (GwStream, AResumableStreamGoesOnElsewhere)
{
  for (Behaviour b : { StreamCut, StreamGap })
    {
      Gateway g (2);
      g.up (0).fallback = Stream;
      g.up (1).fallback = Stream;
      auto warm = g.caller ();
      warm->request ("r0", "/resume/x");
      ASSERT_TRUE (g.run ([&] { return warm->has ("\r\n0\r\n"); }));
      // The same one is chosen again, since it is the one that is measured.
      size_t first = g.up (0).runs == 1 ? 0 : 1;
      g.up (first).behaviours = { b };
      for (int n = 1; n < 20 && !g.up (first).behaviours.empty (); n++)
        {
          auto c = g.caller ();
          c->request ("r" + std::to_string (n), "/resume/x");
          EXPECT_TRUE (g.run ([&] { return c->has ("\r\n0\r\n"); })) << c->got;
          size_t from = 0;
          for (int i = 1; i <= 6; i++)
            {
              std::string id = "id: " + std::to_string (i) + "\n";
              size_t at = c->got.find (id, from);
              EXPECT_NE (at, std::string::npos) << i;
              from = at + 1;
              EXPECT_EQ (c->got.find (id, from), std::string::npos)
                  << "twice: " << i;
            }
        }
      EXPECT_TRUE (g.up (first).behaviours.empty ());
      ASSERT_FALSE (g.up (1 - first).heads.empty ());
      EXPECT_NE (g.up (1 - first).heads.back ().find ("Last-Event-Id: 2"),
                 std::string::npos);
    }
}

// Guards against a stream that ends as complete though its second run broke
// as well, and against more runs than the route allows.
TEST (GwStream, AStreamThatBreaksTwiceIsBrokenOff)
{
  Gateway g (2);
  g.up (0).fallback = StreamCut;
  g.up (1).fallback = StreamCut;
  auto c = g.caller ();
  c->request ("r1", "/resume/x");
  EXPECT_TRUE (g.run ([&] { return c->closed; }));
  EXPECT_FALSE (c->has ("\r\n0\r\n"));
  EXPECT_TRUE (c->has ("part-4"));
  EXPECT_EQ (g.up (0).runs + g.up (1).runs, 2u);
}

// Guards against a second head in the middle of an answer: the error of the
// upstream at which a stream was to go on (found by the soak, seed 1).
TEST (GwStream, AnErrorOfTheSecondRunIsNoPartOfTheAnswer)
{
  for (Behaviour b : { Error, Plain503, Unsigned, OtherId })
    {
      Gateway g;
      g.up ().behaviours = { StreamCut, b };
      auto c = g.caller ();
      c->request ("r1", "/resume/x");
      EXPECT_TRUE (g.run ([&] { return c->closed; })) << b;
      EXPECT_TRUE (c->has ("part-2")) << b;
      EXPECT_EQ (c->got.find ("HTTP/1.1", 1), std::string::npos)
          << b << ": " << c->got;
      EXPECT_FALSE (c->has ("\r\n0\r\n")) << b;
    }
}

// Guards against streams being broken off because many upstreams end at once:
// what has begun waits for the budget of repeats.
TEST (GwStream, AStreamThatHasBegunWaitsForTheBudget)
{
  Gateway g (1, 2, 300);
  g.up ().behaviours = { StreamCut, Stream, StreamCut, Stream };
  g.up ().fallback = Stream;
  for (const char *id : { "r1", "r2" })
    {
      auto c = g.caller ();
      c->request (id, "/resume/x");
      EXPECT_TRUE (g.run ([&] { return c->has ("\r\n0\r\n"); }, 690))
          << id << ": " << c->got;
      EXPECT_FALSE (c->closed);
    }
  EXPECT_EQ (g.up ().runs, 4u);
}

// Guards against the place that a caller names being lost on the way.
TEST (GwStream, ACallerMayResume)
{
  Gateway g;
  g.up ().fallback = Stream;
  auto c = g.caller ();
  c->request ("r1", "/resume/x", "Last-Event-Id: 4\r\n");
  EXPECT_TRUE (g.run ([&] { return c->has ("\r\n0\r\n"); }));
  EXPECT_FALSE (c->has ("part-4"));
  EXPECT_TRUE (c->has ("part-5"));
}

// Urgent requests that an engine gets beyond its slots.
const uint32_t beyond_slots = 3;

// Guards against an urgent request being refused beside a stream that can go
// on later, and against that stream losing its place.
TEST (GwStream, AnUrgentRequestTakesThePlaceOfAResumableStream)
{
  Gateway g;
  g.put (0, false, 1);
  g.up ().behaviours = { StreamStall, Silent, Silent, Silent, Answer };
  g.up ().fallback = Stream;
  auto patient = g.caller ();
  patient->request ("r1", "/resume/x");
  g.run ([&] { return patient->has ("part-2"); });
  std::vector<std::unique_ptr<Caller>> silent;
  for (uint32_t i = 0; i < beyond_slots; i++)
    {
      silent.push_back (g.caller ());
      silent.back ()->request ("s" + std::to_string (i), "/once/x");
    }
  g.run ([&] { return g.up ().runs == 1 + beyond_slots; });
  auto urgent = g.caller ();
  urgent->request ("r3", "/once/x");
  ASSERT_TRUE (g.run ([&] { return urgent->whole (); }, 300));
  EXPECT_EQ (urgent->status (), 200);
  EXPECT_EQ (g.up ().closed_by_peer, 1u) << "the stream was not stopped";
  EXPECT_FALSE (patient->closed);
  for (auto &caller : silent)
    caller->leave ();
  EXPECT_TRUE (g.run ([&] { return patient->has ("\r\n0\r\n"); }));
  EXPECT_NE (g.up ().heads.back ().find ("Last-Event-Id: 2"),
             std::string::npos);
  for (int i = 1; i <= 6; i++)
    EXPECT_TRUE (patient->has ("part-" + std::to_string (i))) << i;
}

// ---- admission ----

// Guards against callers being held until they leave when nobody can serve
// them.
TEST (GwQueue, RefusesWhenTheWaitIsTooLong)
{
  Gateway g;
  g.put (0, false, 1);
  g.up ().fallback = Silent;
  std::vector<std::unique_ptr<Caller>> callers;
  for (uint32_t i = 0; i < beyond_slots + 3; i++)
    {
      callers.push_back (g.caller ());
      callers.back ()->request ("r" + std::to_string (i), "/once/x");
    }
  g.run ([&] { return callers.back ()->whole (); }, 500);
  int refused = 0;
  for (auto &c : callers)
    refused += c->status () == 503;
  EXPECT_GE (refused, 1);
  EXPECT_LE (g.up ().runs, 1 + beyond_slots);
}

// Guards against a request being dropped that is served a little late if it
// waits on: the place becomes free when it cannot be on time any more.
TEST (GwQueue, ServesLateWhatCannotBeOnTime)
{
  Gateway g;
  const uint32_t target_ms = 300;
  std::vector<std::unique_ptr<Caller>> busy;
  g.put (0, false, 1);
  g.configure (2, [&] (rc_config *c) {
    rc_route *r
        = rc_add_route (c, ST_LIT ("api.example"), ST_LIT ("/patient/"));
    r->name = ST_LIT ("/patient/");
    r->kind = RC_NON_IDEMPOTENT;
    r->attempts = 1;
    r->timeout_ms = 20000;
    r->target_ms = target_ms;
    rc_add_weighted_service (c, r, ST_LIT ("llm"), 1);
  });
  for (uint32_t i = 0; i < 1 + beyond_slots; i++)
    {
      g.up ().behaviours.push_back (Silent);
      busy.push_back (g.caller ());
      busy.back ()->request ("b" + std::to_string (i), "/once/x");
    }
  g.run ([&] { return g.up ().runs == 1 + beyond_slots; });
  auto c = g.caller ();
  c->request ("c", "/patient/x");
  g.wait (target_ms);
  EXPECT_FALSE (c->whole ()) << c->got;
  for (auto &caller : busy)
    caller->leave ();
  EXPECT_TRUE (g.run ([&] { return c->whole (); }, 1000));
  EXPECT_EQ (c->status (), 200);
}

// Guards against a queue that stands still after a slot became free.
TEST (GwQueue, AWaitingRequestGoesWhenASlotIsFree)
{
  Gateway g;
  const uint32_t slots = 8;
  std::vector<std::unique_ptr<Caller>> busy;
  g.put (0, false, slots);
  for (uint32_t i = 0; i < slots + beyond_slots; i++)
    {
      g.up ().behaviours.push_back (Silent);
      busy.push_back (g.caller ());
      busy.back ()->request ("b" + std::to_string (i), "/once/x");
    }
  g.run ([&] { return g.up ().runs == slots + beyond_slots; });
  auto c = g.caller ();
  c->request ("c", "/once/x");
  g.wait (20);
  EXPECT_EQ (g.up ().runs, slots + beyond_slots);
  busy[0]->leave ();
  EXPECT_TRUE (g.run ([&] { return c->whole (); }, 500));
  EXPECT_EQ (c->status (), 200);
}

// Guards against new work for an upstream that leaves, and against cutting
// off what it still does.
TEST (GwQueue, ALeavingUpstreamGetsNoNewWork)
{
  Gateway g (2);
  g.up (0).fallback = Stream;
  g.up (1).fallback = Stream;
  g.put (0, true);
  for (int i = 0; i < 5; i++)
    {
      auto c = g.caller ();
      c->request ("r" + std::to_string (i), "/stream/x");
      EXPECT_TRUE (g.run ([&] { return c->has ("0\r\n\r\n"); }));
    }
  EXPECT_EQ (g.up (0).runs, 0u);
}

TEST (GwQueue, ATeamOverItsQuotaIsTold429)
{
  Gateway g;
  g.configure (2, [] (rc_config *c) {
    rc_team *team
        = const_cast<rc_team *> (rc_find_team (c, ST_LIT ("team-1")));
    team->rate = 2;
    team->burst = 4;
  });
  int told = 0;
  for (int i = 0; i < 8; i++)
    {
      auto c = ask (g, "/once/x");
      told += c->status () == 429 && c->has ("Retry-After: ");
    }
  EXPECT_GE (told, 3);
  EXPECT_LE (g.up ().runs, 5u);
}

// Guards against a configuration that goes back.
TEST (GwConfig, AnOlderVersionIsNotTaken)
{
  Gateway g;
  g.configure (5, [] (rc_config *c) {
    rc_route *r = rc_add_route (c, ST_LIT ("api.example"), ST_LIT ("/new/"));
    r->name = ST_LIT ("new");
    r->timeout_ms = 700;
    r->target_ms = 300;
    rc_add_weighted_service (c, r, ST_LIT ("llm"), 1);
  });
  g.configure (4, [] (rc_config *) {});
  EXPECT_EQ (ask (g, "/new/x")->status (), 200);
  EXPECT_EQ (gw_query_config_version (g.gw), 5u);
}

// Guards against a request under way losing what it points to when a version
// replaces its own.
TEST (GwConfig, ARequestKeepsTheVersionItBeganWith)
{
  Gateway g;
  g.up ().fallback = Silent;
  auto c = g.caller ();
  c->request ("r1", "/once/x");
  g.run ([&] { return g.up ().runs == 1; });
  for (uint64_t v = 2; v < 6; v++)
    g.configure (v, [] (rc_config *) {});
  EXPECT_TRUE (g.run ([&] { return c->whole (); }));
  EXPECT_EQ (c->status (), 504);
}

// Guards against answering 404 or 401 for what is not known yet.
TEST (GwConfig, WithoutAConfigurationNothingIsDenied)
{
  struct event_base *base = event_base_new ();
  gw_names names = field_names ();
  gw_desc desc = {};
  desc.base = base;
  desc.vm_name = ST_LIT ("vm");
  desc.listen = ST_LIT ("127.0.0.1:0");
  desc.names = &names;
  gw_task *gw = gw_make (&desc, nullptr);
  ASSERT_NE (gw, nullptr);
  EXPECT_FALSE (gw_query_ready (gw));
  {
    Caller c (base, gw_query_port (gw));
    c.request ("r1", "/any/");
    run_loop (
        base, [&] { return c.whole (); }, 1000);
    EXPECT_EQ (c.status (), 503);
  }
  gw_destroy (gw);
  event_base_free (base);
}

// Guards against connections that end under callers at a planned stop.
TEST (GwLeave, AnswersWhatIsUnderWayAndAsksCallersToGo)
{
  Gateway g;
  auto c = g.caller ();
  c->request ("r1", "/once/x");
  g.run ([&] { return c->whole (); });
  gw_leave (g.gw);
  EXPECT_FALSE (gw_query_ready (g.gw));
  c->got.clear ();
  c->request ("r2", "/once/x");
  EXPECT_TRUE (g.run ([&] { return c->closed; }));
  EXPECT_EQ (c->status (), 200);
  EXPECT_TRUE (c->has ("Connection: close"));
}

// Guards against limits of callers that are not kept.
TEST (GwLimits, BoundsHeadsAndBodies)
{
  Gateway g;
  g.configure (2, [] (rc_config *c) {
    rc_limits limits = { 1024, 1000, 200, 400 };
    rc_set_limits (c, &limits);
  });
  auto c = g.caller ();
  c->request ("r1", "/once/x", "", std::string (1001, 'x'));
  g.run ([&] { return c->closed; });
  EXPECT_EQ (c->status (), 413);
  auto d = g.caller ();
  d->request ("r1", "/once/x", "X-Long: " + std::string (2000, 'x') + "\r\n");
  g.run ([&] { return d->closed; });
  EXPECT_EQ (d->status (), 431);
  auto e = g.caller ();
  e->send ("POST /once/x HTTP/1.1\r\nHost: ");
  g.run ([&] { return e->closed; });
  EXPECT_EQ (e->status (), 408);
  EXPECT_EQ (g.up ().runs, 0u);
}
} // namespace
