#include "support.hh"

using namespace support;

namespace
{
// Sends one request for PATH through G and returns its caller once a response
// is complete or the connection is closed.
std::unique_ptr<Caller>
send_request (Gateway &g, const std::string &path,
              const std::string &fields = "", const std::string &body = "",
              const std::string &id = "r1")
{
  auto c = g.caller ();
  c->request (id, path, fields, body);
  g.run ([&] { return c->complete () || c->closed; });
  return c;
}

TEST (Gw, ForwardsACompleteResponse)
{
  Gateway g;
  auto c = send_request (g, "/once/x?y=1",
                         "X-Deadline: 500\r\nX-Other: kept\r\n", "hello");
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

// Guards against fields for engines, team names and hop-by-hop fields that a
// caller sets reaching an upstream.
TEST (Gw, DropsFieldsThatOnlyTheGatewayMaySet)
{
  Gateway g;
  send_request (
      g, "/once/x",
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

TEST (Gw, DeniesRequestsWithoutAKnownRouteKeyOrId)
{
  Gateway g;
  EXPECT_EQ (send_request (g, "/none/")->status (), 404);
  auto c = g.caller ();
  c->send ("GET /once/ HTTP/1.1\r\nHost: api.example\r\nX-Id: a\r\n"
           "Authorization: Token wrong\r\n\r\n");
  g.run ([&] { return c->complete (); });
  EXPECT_EQ (c->status (), 401);
  auto d = g.caller ();
  d->send ("GET /once/ HTTP/1.1\r\nHost: api.example\r\n\r\n");
  g.run ([&] { return d->complete (); });
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

// Guards against a refusal ("not run") of a request that may have run, and
// against such a request being sent again.
TEST (Gw, ARequestThatMayHaveRunIsNeitherRetriedNorRefused)
{
  for (Behaviour b : { Reset, Truncated, Unsigned, OtherId, Plain503,
                       UnframedReset, Encoded })
    {
      Gateway g (2);
      g.up (0).default_behaviour = b;
      g.up (1).default_behaviour = b;
      auto c = send_request (g, "/once/x");
      EXPECT_TRUE (c->status () == 502 || c->status () == 504)
          << b << ": " << c->received;
      EXPECT_EQ (g.up (0).runs + g.up (1).runs, 1u) << b;
      EXPECT_FALSE (c->has ("X-Sign")) << b;
    }
}

// Guards against failing a request that certainly did not run.
TEST (Gw, ARequestThatDidNotRunIsSentToAnotherUpstream)
{
  for (Behaviour b : { Shed, OtherInstance })
    {
      Gateway g (2);
      g.up (0).default_behaviour = b;
      auto c = send_request (g, "/once/x");
      EXPECT_EQ (c->status (), 200) << b;
      EXPECT_EQ (g.up (1).runs, 1u) << b;
    }
  Gateway refused (2);
  refused.up (0).stop ();
  EXPECT_EQ (send_request (refused, "/once/x")->status (), 200);
}

// Guards against a status that does not state that nothing ran, and against a
// refusal without Retry-After.
TEST (Gw, RefusesWith503AndRetryAfterWhenNothingRan)
{
  Gateway g (1);
  g.up ().default_behaviour = Shed;
  auto c = send_request (g, "/once/x");
  EXPECT_EQ (c->status (), 503);
  EXPECT_TRUE (c->has ("Retry-After: "));
  EXPECT_EQ (g.up ().runs, 0u);
}

TEST (Gw, AnIdempotentRequestIsRetriedAtAnotherUpstream)
{
  for (Behaviour b : { Reset, Truncated, Unsigned, Error, UnframedReset })
    {
      Gateway g (2);
      g.up (0).behaviours = { b };
      for (int i = 0; i < 20 && !g.up (0).behaviours.empty (); i++)
        EXPECT_EQ (send_request (g, "/again/x")->status (), 200) << b;
      EXPECT_TRUE (g.up (0).behaviours.empty ()) << b;
      EXPECT_GE (g.up (1).runs, 1u) << b;
    }
}

// Guards against more runs than the route allows.
TEST (Gw, AttemptsAreBounded)
{
  Gateway g (3);
  for (auto &u : g.upstreams)
    u->default_behaviour = Error;
  auto c = send_request (g, "/again/x");
  EXPECT_EQ (c->status (), 500);
  EXPECT_TRUE (c->has ("X-Sign")) << "the upstream's own error is forwarded";
  EXPECT_EQ (g.up (0).runs + g.up (1).runs + g.up (2).runs, 2u);
}

// Guards against retries beyond the budget that the VMs share.
TEST (Gw, WithoutBudgetNothingIsRetried)
{
  Gateway g (2, 0);
  g.up (0).default_behaviour = Error;
  g.up (1).default_behaviour = Error;
  EXPECT_EQ (send_request (g, "/again/x")->status (), 500);
  EXPECT_EQ (g.up (0).runs + g.up (1).runs, 1u);
}

// Guards against an upstream that resets every connection receiving all
// requests because it alone has free slots.
TEST (Gw, AnUpstreamThatResetsConnectionsIsAvoided)
{
  Gateway g (2);
  g.put (0, true);
  g.put (1, false, 1);
  g.up (1).default_behaviour = Silent;
  std::vector<std::unique_ptr<Caller>> busy;
  for (const char *id : { "s1", "s2" })
    {
      busy.push_back (g.caller ());
      busy.back ()->request (id, "/once/x");
    }
  ASSERT_TRUE (g.run ([&] { return g.up (1).runs == 2; }));
  g.put (0);
  g.up (0).default_behaviour = Reset;
  // Before the silent ones reach their timeout.
  for (int i = 0; i < 4; i++)
    EXPECT_GE (send_request (g, "/again/x")->status (), 500) << i;
  EXPECT_LE (g.up (0).runs, 3u);
}

// Guards against the response of another request reaching a caller.
TEST (Gw, SkipsALateResponseOfAnotherRequest)
{
  Gateway g;
  g.up ().behaviours = { LateOtherFirst };
  auto c = send_request (g, "/once/x");
  EXPECT_EQ (c->status (), 200);
  EXPECT_TRUE (c->has ("body of r1"));
  EXPECT_FALSE (c->has ("not yours"));
  auto next = send_request (g, "/once/y", "", "", "r2");
  EXPECT_EQ (next->status (), 200);
  EXPECT_EQ (g.up ().connections, 2u) << "the connection was reused";
}

// Guards against a late copy of a refusal that is taken for the response to
// the next attempt of the same request, on the connection that was refused on:
// the attempt that runs counts as not run, and the request runs again.
TEST (Gw, ALateCopyOfARefusalIsNotTheNextAttemptsResponse)
{
  Gateway g;
  g.up ().behaviours = { ShedCopied, ShedCopied, Respond };
  auto c = send_request (g, "/once/x");
  EXPECT_EQ (c->status (), 200) << c->received;
  EXPECT_EQ (g.up ().runs, 1u);
}

// Guards against a request that is refused while it runs: with three
// upstreams the last attempt is the first one that may use the connection of a
// rejected one.
TEST (Gw, ALateCopyOfARefusalIsNotTheLastAttemptsResponse)
{
  Gateway g (3);
  for (size_t i = 0; i < 3; i++)
    g.up (i).behaviours = { ShedCopied };
  auto c = send_request (g, "/once/x");
  EXPECT_EQ (c->status (), 200) << c->received;
  EXPECT_EQ (g.up (0).runs + g.up (1).runs + g.up (2).runs, 1u);
}

// Guards against the same copy where the caller sends its refused request
// again, with the id that it had.
TEST (Gw, ALateCopyOfARefusalIsNotTheResponseToTheCallersRetry)
{
  Gateway g (1, 0);
  g.up ().behaviours = { ShedCopied };
  EXPECT_EQ (send_request (g, "/once/x")->status (), 503);
  g.wait (150);
  auto c = send_request (g, "/once/x");
  EXPECT_EQ (c->status (), 200) << c->received;
  EXPECT_EQ (g.up ().runs, 1u);
}

// Guards against stray bytes being taken for the next response.
TEST (Gw, AConnectionWithExtraBytesIsNotReused)
{
  Gateway g;
  g.up ().behaviours = { Extra };
  EXPECT_TRUE (send_request (g, "/once/x")->has ("body of r1"));
  auto next = send_request (g, "/once/y", "", "", "r2");
  EXPECT_EQ (next->status (), 200);
  EXPECT_FALSE (next->has ("again"));
  EXPECT_EQ (g.up ().connections, 2u);
}

// Guards against the rest of a body being read as the next request.
TEST (Gw, AConnectionWithAnEarlyResponseIsNotReused)
{
  Gateway g;
  g.up ().behaviours = { Early };
  auto c = g.caller ();
  c->request ("r1", "/once/x", "", std::string (3000000, 'b'));
  g.run ([&] { return c->complete (); });
  EXPECT_EQ (c->status (), 200);
  EXPECT_EQ (send_request (g, "/once/y", "", "", "r2")->status (), 200);
  EXPECT_EQ (g.up ().connections, 2u);
}

TEST (Gw, ReusesGoodConnections)
{
  Gateway g;
  for (const char *id : { "r1", "r2", "r3" })
    EXPECT_EQ (send_request (g, "/once/x", "", "", id)->status (), 200);
  EXPECT_EQ (g.up ().connections, 1u);
}

// Guards against a connection that retains the ids of its requests without
// end.
TEST (Gw, AConnectionCarriesABoundedNumberOfRequests)
{
  Gateway g;
  for (int i = 0; i < 300; i++)
    EXPECT_EQ (send_request (g, "/once/x", "", "", "r" + std::to_string (i))
                   ->status (),
               200);
  EXPECT_EQ (g.up ().connections, 2u);
}

// Guards against an upstream that ends in the middle of a response's head, and
// a caller that gets a success with an empty or short body for it.
TEST (Gw, AHeadThatIsCutOffIsNoResponse)
{
  static const char *const framings[]
      = { "Content-Length: 30\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n",
          "Connection: close\r\n\r\n", "\r\n" };
  for (const char *framing : framings)
    {
      std::string head = "HTTP/1.1 200 OK\r\nX-Id: @\r\nX-Sign: s1\r\n"
                         "Content-Type: text/event-stream\r\n";
      head += framing;
      for (size_t cut = 0; cut < head.size (); cut++)
        for (const char *path : { "/once/x", "/stream/x", "/again/x" })
          {
            Gateway g (2);
            bool repeats = path[1] == 'a';
            for (size_t i = 0; i < 2; i++)
              {
                g.up (i).raw = head.substr (0, cut);
                g.up (i).default_behaviour = Cut;
              }
            auto c = send_request (g, path);
            EXPECT_EQ (c->status (), 502) << path << " " << cut << "\n"
                                          << c->received;
            EXPECT_EQ (g.up (0).runs + g.up (1).runs, repeats ? 2u : 1u);
          }
    }
}

// Guards against a response to HEAD that is waited for as if it had a body,
// and against one of the gateway with a body, which its caller takes for the
// start of the next response.
TEST (Gw, AResponseToHeadHasNoBody)
{
  Gateway g;
  auto c = g.caller ();
  auto head = [&] (const std::string &id, const std::string &path) {
    c->received.clear ();
    c->send ("HEAD " + path + " HTTP/1.1\r\nHost: api.example\r\nX-Id: " + id
             + "\r\nAuthorization: Token key-1\r\n\r\n");
    g.run ([&] { return c->has ("\r\n\r\n"); });
    g.wait (20);
  };
  g.up ().raw = "HTTP/1.1 200 OK\r\nX-Id: @\r\nX-Sign: s1\r\n"
                "Content-Length: 30\r\n\r\n";
  g.up ().behaviours = { Head, Head };
  for (const char *id : { "r1", "r2" })
    {
      head (id, "/once/x");
      EXPECT_EQ (c->status (), 200) << c->received;
      EXPECT_TRUE (c->has ("Content-Length: 30")) << c->received;
    }
  EXPECT_EQ (g.up ().connections, 1u);
  head ("r3", "/missing/x");
  EXPECT_EQ (c->status (), 404);
  EXPECT_EQ (c->received.substr (c->received.find ("\r\n\r\n")), "\r\n\r\n");
  c->received.clear ();
  c->request ("r4", "/once/x");
  g.run ([&] { return c->complete (); });
  EXPECT_TRUE (c->has ("body of r4")) << c->received;
}

TEST (Gw, AResponseWithoutALengthEndsWithTheConnection)
{
  Gateway g;
  g.up ().behaviours = { Unframed };
  auto c = send_request (g, "/once/x");
  EXPECT_EQ (c->status (), 200);
  EXPECT_TRUE (c->has ("unframed"));
  EXPECT_TRUE (c->has ("Content-Length: 8"));
}

// Guards against a caller that waits for ever, and against an upstream that
// continues after the caller has its error.
TEST (Gw, EndsAtTheRoutesTimeout)
{
  Gateway g;
  g.up ().default_behaviour = Silent;
  auto c = send_request (g, "/once/x");
  EXPECT_EQ (c->status (), 504);
  g.run ([&] { return g.up ().closed_by_peer > 0; });
  EXPECT_EQ (g.up ().closed_by_peer, 1u);
}

// Guards against work for a caller that has disconnected.
TEST (Gw, ACallersCloseClosesTheUpstreamConnectionAtOnce)
{
  Gateway g;
  g.up ().default_behaviour = Silent;
  auto c = g.caller ();
  c->request ("r1", "/once/x");
  g.run ([&] { return g.up ().runs == 1; });
  c->disconnect ();
  EXPECT_TRUE (g.run ([&] { return g.up ().closed_by_peer == 1; }, 300));
  EXPECT_EQ (gw_query_counts (g.gw).open, 0u);
}

// Guards against requests to an upstream that has asked for a pause, also
// where it is the only one or idle, and against avoiding it for longer.
TEST (Gw, AnUpstreamThatAsksForAPauseGetsNoRequests)
{
  Gateway g (2);
  g.up (0).behaviours = { ShedPause };
  int number = 0;
  auto ask = [&] {
    return send_request (g, "/once/x", "", "", "p" + std::to_string (number++))
        ->status ();
  };
  while (g.up (0).heads.empty ())
    EXPECT_EQ (ask (), 200);
  ck_clock clock = {};
  uint64_t paused_us = ck_now_us (&clock);
  while (ck_now_us (&clock) < paused_us + 900000)
    {
      g.put (0);
      EXPECT_EQ (ask (), 200);
    }
  EXPECT_EQ (g.up (0).heads.size (), 1u);
  EXPECT_EQ (g.up (0).runs, 0u);
  g.wait (200);
  for (int i = 0; i < 200 && g.up (0).runs == 0; i++)
    ask ();
  EXPECT_GT (g.up (0).runs, 0u);
}

// Guards against a Retry-After after which all upstreams still pause, and
// against callers that wait for a pause which outlasts them.
TEST (Gw, CallersAreToldWhenTheFirstPauseEnds)
{
  Gateway g;
  g.up ().default_behaviour = ShedPause;
  g.up ().pause_s = "1.5";
  EXPECT_EQ (send_request (g, "/once/x")->status (), 503);
  ASSERT_EQ (g.up ().heads.size (), 1u);
  auto c = send_request (g, "/once/x", "X-Deadline: 6000\r\n", "", "r2");
  EXPECT_EQ (c->status (), 503);
  EXPECT_EQ (g.up ().heads.size (), 1u);
  size_t at = c->received.find ("Retry-After: ");
  ASSERT_NE (at, std::string::npos);
  EXPECT_GE (atof (c->received.c_str () + at + 13), 1.0) << c->received;
  EXPECT_LE (atof (c->received.c_str () + at + 13), 2.5) << c->received;
}

// Guards against requests to an upstream that has said in a response that it
// leaves: its entry need not say so, and may be removed and come back.
TEST (Gw, AnUpstreamThatSaysItLeavesGetsNoRequests)
{
  Gateway g (2);
  g.up (0).behaviours = { Leaving };
  int number = 0;
  auto ask = [&] {
    auto c
        = send_request (g, "/once/x", "", "", "l" + std::to_string (number++));
    EXPECT_EQ (c->status (), 200);
    return c->has ("leaving");
  };
  for (int i = 0; i < 200 && g.up (0).runs == 0; i++)
    ask ();
  ASSERT_EQ (g.up (0).runs, 1u);
  for (int i = 0; i < 20; i++)
    {
      g.put (0);
      ask ();
    }
  gw_remove_upstream (g.gw, ST_LIT ("up-0"), "entry_removed");
  g.put (0);
  for (int i = 0; i < 20; i++)
    ask ();
  EXPECT_EQ (g.up (0).runs, 1u);
  g.put (0, false, 4, 2);
  for (int i = 0; i < 200 && g.up (0).runs == 1; i++)
    ask ();
  EXPECT_GT (g.up (0).runs, 1u) << "started again";
}

// ---- streams ----

TEST (GwStream, ForwardsEvents)
{
  Gateway g;
  g.up ().default_behaviour = Stream;
  auto c = g.caller ();
  c->request ("r1", "/stream/x");
  EXPECT_TRUE (g.run ([&] { return c->has ("0\r\n\r\n"); }));
  for (int i = 1; i <= 6; i++)
    EXPECT_TRUE (c->has ("data: part-" + std::to_string (i))) << i;
  EXPECT_TRUE (c->has ("X-Sign: s1"));
}

// Guards against a truncated stream that looks complete, and against half an
// event reaching the caller.
TEST (GwStream, ATruncatedStreamNeverEndsAsComplete)
{
  for (Behaviour b : { StreamTruncated, StreamGap })
    {
      Gateway g (2);
      g.up (0).default_behaviour = b;
      g.up (1).default_behaviour = b;
      auto c = g.caller ();
      c->request ("r1", "/stream/x");
      EXPECT_TRUE (g.run ([&] { return c->closed; })) << b;
      EXPECT_TRUE (c->has ("data: part-2")) << b;
      EXPECT_FALSE (c->has ("id: 3")) << b;
      EXPECT_FALSE (c->has ("\r\n0\r\n")) << b;
      EXPECT_EQ (g.up (0).runs + g.up (1).runs, 1u) << b;
    }
}

// Guards against missing, doubled or mixed events when a stream is resumed at
// another upstream within one response.
TEST (GwStream, AResumableStreamIsResumedAtAnotherUpstream)
{
  for (Behaviour b : { StreamTruncated, StreamGap })
    {
      Gateway g (2);
      g.up (0).default_behaviour = Stream;
      g.up (1).default_behaviour = Stream;
      auto warm = g.caller ();
      warm->request ("r0", "/resume/x");
      ASSERT_TRUE (g.run ([&] { return warm->has ("\r\n0\r\n"); }));
      // The same one is chosen again: only its time per work unit is known.
      size_t first = g.up (0).runs == 1 ? 0 : 1;
      g.up (first).behaviours = { b };
      for (int n = 1; n < 20 && !g.up (first).behaviours.empty (); n++)
        {
          auto c = g.caller ();
          c->request ("r" + std::to_string (n), "/resume/x");
          EXPECT_TRUE (g.run ([&] { return c->has ("\r\n0\r\n"); }))
              << c->received;
          size_t from = 0;
          for (int i = 1; i <= 6; i++)
            {
              std::string id = "id: " + std::to_string (i) + "\n";
              size_t at = c->received.find (id, from);
              EXPECT_NE (at, std::string::npos) << i;
              from = at + 1;
              EXPECT_EQ (c->received.find (id, from), std::string::npos)
                  << "twice: " << i;
            }
        }
      EXPECT_TRUE (g.up (first).behaviours.empty ());
      ASSERT_FALSE (g.up (1 - first).heads.empty ());
      EXPECT_NE (g.up (1 - first).heads.back ().find ("Last-Event-Id: 2"),
                 std::string::npos);
    }
}

// Guards against a stream that ends as complete though its second run failed
// too, and against more runs than the route allows.
TEST (GwStream, AStreamThatFailsTwiceIsAborted)
{
  Gateway g (2);
  g.up (0).default_behaviour = StreamTruncated;
  g.up (1).default_behaviour = StreamTruncated;
  auto c = g.caller ();
  c->request ("r1", "/resume/x");
  EXPECT_TRUE (g.run ([&] { return c->closed; }));
  EXPECT_FALSE (c->has ("\r\n0\r\n"));
  EXPECT_TRUE (c->has ("part-4"));
  EXPECT_EQ (g.up (0).runs + g.up (1).runs, 2u);
}

// Guards against a second head in the middle of a response: the error of the
// upstream at which a stream was to be resumed (found by the soak, seed 1).
TEST (GwStream, AnErrorOfTheSecondRunIsNotForwarded)
{
  for (Behaviour b :
       { Error, Plain503, Unsigned, OtherId, Shed, OtherInstance, NotFound,
         ErrorText, ErrorEvent, ErrorUnframed, Encoded, Truncated, Unframed,
         UnframedReset, EmptyUnframed, Respond, Extra })
    {
      Gateway g;
      g.up ().behaviours = { StreamTruncated };
      g.up ().default_behaviour = b;
      auto c = g.caller ();
      c->request ("r1", "/resume/x");
      EXPECT_TRUE (g.run ([&] { return c->closed; })) << b;
      EXPECT_TRUE (c->has ("part-2")) << b;
      EXPECT_EQ (c->received.find ("HTTP/1.1", 1), std::string::npos)
          << b << ": " << c->received;
      for (const char *text : { "\r\n0\r\n", "failed", "busy", "unsigned",
                                "body of", "not yours", "unframed", "half" })
        EXPECT_FALSE (c->has (text)) << b << ": " << c->received;
    }
}

// Guards against a response that is no stream of events being forwarded as
// one.
TEST (GwStream, AResponseThatIsNoStreamIsNotForwarded)
{
  Gateway g;
  g.up ().default_behaviour = ErrorText;
  auto c = g.caller ();
  c->request ("r1", "/stream/x");
  EXPECT_TRUE (g.run ([&] { return c->complete () || c->closed; }));
  EXPECT_EQ (c->status (), 502);
  EXPECT_FALSE (c->has ("overloaded"));
}

// Guards against streams that are aborted because many upstreams end at once:
// a stream that has started waits for the retry budget.
TEST (GwStream, AStartedStreamWaitsForTheRetryBudget)
{
  Gateway g (1, 2, 300);
  g.up ().behaviours = { StreamTruncated, Stream, StreamTruncated, Stream };
  g.up ().default_behaviour = Stream;
  for (const char *id : { "r1", "r2" })
    {
      auto c = g.caller ();
      c->request (id, "/resume/x");
      EXPECT_TRUE (g.run ([&] { return c->has ("\r\n0\r\n"); }, 690))
          << id << ": " << c->received;
      EXPECT_FALSE (c->closed);
    }
  EXPECT_EQ (g.up ().runs, 4u);
}

// Guards against the caller's Last-Event-Id not reaching the upstream.
TEST (GwStream, ACallerMayResume)
{
  Gateway g;
  g.up ().default_behaviour = Stream;
  auto c = g.caller ();
  c->request ("r1", "/resume/x", "Last-Event-Id: 4\r\n");
  EXPECT_TRUE (g.run ([&] { return c->has ("\r\n0\r\n"); }));
  EXPECT_FALSE (c->has ("part-4"));
  EXPECT_TRUE (c->has ("part-5"));
}

// Urgent requests that an engine is sent beyond its slots.
const uint32_t beyond_slots = 3;

// Guards against an urgent request being refused while a stream runs that can
// be resumed later, and against events of that stream being lost.
TEST (GwStream, AnUrgentRequestPreemptsAResumableStream)
{
  Gateway g;
  g.put (0, false, 1);
  g.up ().behaviours = { StreamStall, Silent, Silent, Silent, Respond };
  g.up ().default_behaviour = Stream;
  auto stream = g.caller ();
  stream->request ("r1", "/resume/x");
  g.run ([&] { return stream->has ("part-2"); });
  std::vector<std::unique_ptr<Caller>> silent;
  for (uint32_t i = 0; i < beyond_slots; i++)
    {
      silent.push_back (g.caller ());
      silent.back ()->request ("s" + std::to_string (i), "/once/x");
    }
  g.run ([&] { return g.up ().runs == 1 + beyond_slots; });
  auto urgent = g.caller ();
  urgent->request ("r3", "/once/x");
  ASSERT_TRUE (g.run ([&] { return urgent->complete (); }, 300));
  EXPECT_EQ (urgent->status (), 200);
  EXPECT_EQ (g.up ().closed_by_peer, 1u) << "the stream was not stopped";
  EXPECT_FALSE (stream->closed);
  for (auto &caller : silent)
    caller->disconnect ();
  EXPECT_TRUE (g.run ([&] { return stream->has ("\r\n0\r\n"); }));
  EXPECT_NE (g.up ().heads.back ().find ("Last-Event-Id: 2"),
             std::string::npos);
  for (int i = 1; i <= 6; i++)
    EXPECT_TRUE (stream->has ("part-" + std::to_string (i))) << i;
}

// ---- admission ----

// Guards against callers that wait in the queue until they disconnect when no
// upstream can serve them.
TEST (GwQueue, RefusesWhenTheWaitIsTooLong)
{
  Gateway g;
  g.configure (2, [] (rc_config *c) {
    rc_route *r = rc_add_route (c, ST_LIT ("api.example"), ST_LIT ("/long/"));
    r->name = ST_LIT ("long");
    r->kind = RC_STREAM;
    r->attempts = 1;
    r->tier = 2;
    r->timeout_ms = 1500;
    r->target_ms = 4000;
    rc_add_weighted_service (c, r, ST_LIT ("llm"), 1);
  });
  g.put (0, false, 1);
  g.up ().default_behaviour = Silent;
  std::vector<std::unique_ptr<Caller>> callers;
  for (uint32_t i = 0; i < beyond_slots + 3; i++)
    {
      callers.push_back (g.caller ());
      callers.back ()->request ("r" + std::to_string (i), "/once/x");
    }
  g.run ([&] { return callers.back ()->complete (); }, 500);
  int refused = 0;
  for (auto &c : callers)
    refused += c->status () == 503;
  EXPECT_GE (refused, 1);
  EXPECT_LE (g.up ().runs, 1 + beyond_slots);
}

// Guards against dropping a request that would be served a little late: the
// slot becomes free after its latency target has passed.
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
  EXPECT_FALSE (c->complete ()) << c->received;
  for (auto &caller : busy)
    caller->disconnect ();
  EXPECT_TRUE (g.run ([&] { return c->complete (); }, 1000));
  EXPECT_EQ (c->status (), 200);
}

// Guards against a queue that is not scheduled after a slot became free.
TEST (GwQueue, AQueuedRequestIsDispatchedWhenASlotIsFree)
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
  busy[0]->disconnect ();
  EXPECT_TRUE (g.run ([&] { return c->complete (); }, 500));
  EXPECT_EQ (c->status (), 200);
}

// Guards against new work for an upstream that is leaving, and against ending
// its requests in progress.
TEST (GwQueue, ALeavingUpstreamGetsNoNewWork)
{
  Gateway g (2);
  g.up (0).default_behaviour = Stream;
  g.up (1).default_behaviour = Stream;
  g.put (0, true);
  for (int i = 0; i < 5; i++)
    {
      auto c = g.caller ();
      c->request ("r" + std::to_string (i), "/stream/x");
      EXPECT_TRUE (g.run ([&] { return c->has ("0\r\n\r\n"); }));
    }
  EXPECT_EQ (g.up (0).runs, 0u);
}

TEST (GwQueue, ATeamOverItsQuotaReceives429)
{
  Gateway g;
  g.configure (2, [] (rc_config *c) {
    rc_team *team
        = const_cast<rc_team *> (rc_find_team (c, ST_LIT ("team-1")));
    team->rate = 2;
    team->burst = 4;
  });
  int refused = 0;
  for (int i = 0; i < 8; i++)
    {
      auto c = send_request (g, "/once/x");
      refused += c->status () == 429 && c->has ("Retry-After: ");
    }
  EXPECT_GE (refused, 3);
  EXPECT_LE (g.up ().runs, 5u);
}

// Guards against an older configuration replacing a newer one.
// Guards against a stream that is lost for good because its caller, who
// resumes it, is refused for the reserve that new requests of its tier leave.
TEST (GwQueue, AResumedStreamNeedsNoReserve)
{
  Gateway g (1, 100, 10000, 2000);
  g.configure (2, [] (rc_config *c) {
    rc_team *team
        = const_cast<rc_team *> (rc_find_team (c, ST_LIT ("team-1")));
    team->by_tokens = true;
    team->rate = 1000;
    team->burst = 1000;
  });
  g.up ().default_behaviour = Stream;
  g.wait (100); /* 100 tokens, of a reserve of 250 */
  const std::string tokens = "X-Tokens: 10,10\r\n";
  auto fresh = send_request (g, "/resume/x", tokens, "", "r1");
  EXPECT_EQ (fresh->status (), 429) << fresh->received;
  EXPECT_TRUE (fresh->has ("over_quota"));
  auto resumed = g.caller ();
  resumed->request ("r2", "/resume/x", tokens + "Last-Event-Id: 3\r\n");
  g.run ([&] { return resumed->has ("id: 6"); });
  EXPECT_EQ (resumed->status (), 200) << resumed->received;
}

TEST (GwConfig, AnOlderVersionIsNotApplied)
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
  EXPECT_EQ (send_request (g, "/new/x")->status (), 200);
  EXPECT_EQ (gw_query_config_version (g.gw), 5u);
}

// Guards against pointers of a request in progress that become invalid when
// its configuration is replaced.
TEST (GwConfig, ARequestKeepsTheVersionItStartedWith)
{
  Gateway g;
  g.up ().default_behaviour = Silent;
  auto c = g.caller ();
  c->request ("r1", "/once/x");
  g.run ([&] { return g.up ().runs == 1; });
  for (uint64_t v = 2; v < 6; v++)
    g.configure (v, [] (rc_config *) {});
  EXPECT_TRUE (g.run ([&] { return c->complete (); }));
  EXPECT_EQ (c->status (), 504);
}

// Guards against 404 or 401 for routes and keys that are not yet configured.
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
        base, [&] { return c.complete (); }, 1000);
    EXPECT_EQ (c.status (), 503);
  }
  gw_destroy (gw);
  event_base_free (base);
}

// Guards against connections that are closed during requests at a planned
// stop.
TEST (GwLeave, CompletesRequestsAndTellsCallersToClose)
{
  Gateway g;
  auto c = g.caller ();
  c->request ("r1", "/once/x");
  g.run ([&] { return c->complete (); });
  gw_leave (g.gw, 0);
  EXPECT_FALSE (gw_query_ready (g.gw));
  c->received.clear ();
  c->request ("r2", "/once/x");
  EXPECT_TRUE (g.run ([&] { return c->closed; }));
  EXPECT_EQ (c->status (), 200);
  EXPECT_TRUE (c->has ("Connection: close"));
}

// Guards against a stream that is accepted late in the drain, or waits in the
// queue, and is cut off when the process ends.
TEST (GwLeave, ARequestThatMayOutlastTheProcessIsTold)
{
  Gateway g;
  g.configure (2, [] (rc_config *c) {
    rc_route *r = rc_add_route (c, ST_LIT ("api.example"), ST_LIT ("/long/"));
    r->name = ST_LIT ("long");
    r->kind = RC_STREAM;
    r->attempts = 1;
    r->tier = 2;
    r->timeout_ms = 1500;
    r->target_ms = 4000;
    rc_add_weighted_service (c, r, ST_LIT ("llm"), 1);
  });
  g.put (0, false, 1);
  g.up ().default_behaviour = Silent;
  auto running = g.caller ();
  running->request ("r1", "/once/x");
  ASSERT_TRUE (g.run ([&] { return g.up ().runs == 1; }));
  auto queued = g.caller ();
  queued->request ("r2", "/long/x");
  g.wait (20);
  gw_leave (g.gw, 1000000); /* less than the time-out of the route */
  g.wait (50);
  EXPECT_EQ (queued->status (), 0) << queued->received;
  EXPECT_TRUE (g.run ([&] { return queued->complete (); }, 500));
  auto late = g.caller ();
  late->request ("r3", "/long/x");
  auto in_time = g.caller ();
  in_time->request ("r4", "/once/x", "X-Deadline: 100\r\n");
  EXPECT_TRUE (g.run ([&] { return late->complete (); }, 100));
  for (const Caller *c : { queued.get (), late.get () })
    {
      EXPECT_EQ (c->status (), 503) << c->received;
      EXPECT_TRUE (c->has ("vm_leaving") && c->has ("Retry-After: 0.050"));
      EXPECT_TRUE (c->has ("Connection: close"));
    }
  EXPECT_FALSE (in_time->has ("vm_leaving"));
  EXPECT_EQ (g.up ().runs_of.count ("r2") + g.up ().runs_of.count ("r3"), 0u);
}

// Guards against requests that are cut off without an answer at the end of a
// planned stop: what may have run is told so, what waits has not run, and a
// stream that has started does not end like a complete one.
TEST (GwLeave, RequestsThatAreOpenAtItsEndAreAnswered)
{
  Gateway g;
  g.put (0, false, 2);
  g.up ().behaviours = { Silent, StreamStall };
  auto sent = g.caller ();
  sent->request ("r1", "/once/x");
  g.run ([&] { return g.up ().runs == 1; });
  auto stream = g.caller ();
  stream->request ("r2", "/stream/x");
  g.run ([&] { return stream->has ("id: 2"); });
  gw_leave (g.gw, 300000);
  auto queued = g.caller ();
  queued->request ("r3", "/resume/x", "X-Deadline: 290\r\n");
  g.run (
      [&] {
        return sent->complete () && queued->complete () && stream->closed;
      },
      450);
  EXPECT_EQ (sent->status (), 504) << sent->received;
  EXPECT_TRUE (sent->has ("Connection: close"));
  EXPECT_EQ (queued->status (), 503) << queued->received;
  EXPECT_TRUE (stream->closed);
  EXPECT_FALSE (stream->has ("0\r\n\r\n")) << stream->received;
  EXPECT_EQ (gw_query_counts (g.gw).open, 0u);
  EXPECT_EQ (g.up ().runs_of.count ("r3"), 0u);
}

// Guards against requests on connections that the system has established and
// this process has not accepted yet: closing the listener resets them.
TEST (GwLeave, ConnectionsThatAreNotAcceptedYetAreAnswered)
{
  Gateway g;
  g.put (0, false, 64);
  std::vector<int> sockets;
  const std::string request
      = "POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-Id: r1\r\n"
        "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n";
  struct sockaddr_in sin = ipv4 (INADDR_LOOPBACK, gw_query_port (g.gw));
  for (int i = 0; i < 20; i++)
    {
      sockets.push_back (socket (AF_INET, SOCK_STREAM, 0));
      ASSERT_EQ (
          connect (sockets.back (), (struct sockaddr *)&sin, sizeof sin), 0);
      ASSERT_EQ (send (sockets.back (), request.data (), request.size (), 0),
                 (ssize_t)request.size ());
    }
  gw_leave (g.gw, 2000000);
  gw_close_callers (g.gw);
  g.run ([&] { return g.up ().runs == 20; });
  g.wait (50);
  for (int fd : sockets)
    {
      char bytes[512] = "";
      ssize_t n = recv (fd, bytes, sizeof bytes - 1, MSG_DONTWAIT);
      EXPECT_GT (n, 0) << strerror (errno);
      EXPECT_EQ (std::string (bytes).compare (0, 12, "HTTP/1.1 200"), 0)
          << bytes;
      close (fd);
    }
}

// Guards against a connection that is closed while its request is in the
// system's buffer, or just after it was accepted.
TEST (GwLeave, AConnectionWithUnreadBytesIsNotClosed)
{
  Gateway g;
  auto c = g.caller ();
  c->request ("r1", "/once/x");
  g.run ([&] { return c->complete (); });
  auto fresh = g.caller ();
  g.wait (20);
  gw_leave (g.gw, 5000000);
  gw_close_callers (g.gw);
  c->received.clear ();
  c->request ("r2", "/once/x");
  fresh->request ("r3", "/once/x");
  EXPECT_TRUE (g.run ([&] { return c->complete () && fresh->complete (); }));
  EXPECT_EQ (c->status (), 200);
  EXPECT_EQ (fresh->status (), 200);
  auto unused = g.caller ();
  EXPECT_TRUE (g.run ([&] { return unused->closed; })) << "not listening";
}

// Guards against a caller that waits until its deadline for an upstream from
// which no answer comes, though another one could run the request.
TEST (GwStall, ASilentUpstreamIsReplaced)
{
  for (const char *path : { "/repeat/x", "/sturdy/x" })
    for (Behaviour b : { Silent, StreamStall, StreamDribble })
      {
        Gateway g (2);
        g.configure (2, [] (rc_config *c) {
          for (const char *prefix : { "/repeat/", "/sturdy/" })
            {
              rc_route *r = rc_add_route (c, ST_LIT ("api.example"),
                                          st_from_cstr (prefix));
              bool stream = prefix[1] == 's';
              r->name = st_from_cstr (prefix);
              r->kind = stream ? RC_STREAM : RC_IDEMPOTENT;
              r->resumable = stream;
              r->attempts = 2;
              r->timeout_ms = 20000;
              r->target_ms = 100;
              r->max_event_gap_ms = 100;
              rc_add_weighted_service (c, r, ST_LIT ("llm"), 1);
            }
        });
        if (b != Silent && path[1] != 's')
          continue;
        g.up (0).default_behaviour = b;
        g.up (1).default_behaviour = path[1] == 's' ? Stream : Respond;
        g.put (1, true);
        auto c = g.caller ();
        c->request ("r1", path);
        ASSERT_TRUE (g.run ([&] { return g.up (0).runs == 1; }));
        g.put (1);
        EXPECT_TRUE (g.run (
            [&] {
              return path[1] == 's' ? c->has ("\r\n0\r\n\r\n")
                                    : c->complete ();
            },
            4000))
            << path << " " << b << ": " << c->received;
        EXPECT_EQ (c->status (), 200) << path;
        EXPECT_EQ (g.up (1).runs, 1u) << path;
        EXPECT_TRUE (g.run ([&] { return g.up (0).closed_by_peer == 1; }));
      }
}

// Guards against a slow stream that is cut, and against a request that may run
// only once being run again because its upstream is silent.
TEST (GwStall, SlowStreamsAndSingleRunsKeepTheirUpstream)
{
  Gateway g (2);
  g.up (0).default_behaviour = StreamSlow;
  g.up (1).default_behaviour = StreamSlow;
  g.configure (2, [] (rc_config *c) {
    rc_route *r = rc_add_route (c, ST_LIT ("api.example"), ST_LIT ("/slow/"));
    r->name = ST_LIT ("slow");
    r->kind = RC_STREAM;
    r->resumable = true;
    r->attempts = 3;
    r->timeout_ms = 20000;
    r->target_ms = 100;
    r->max_event_gap_ms = 50;
    rc_add_weighted_service (c, r, ST_LIT ("llm"), 1);
  });
  auto c = g.caller ();
  c->request ("r1", "/slow/x");
  EXPECT_TRUE (g.run ([&] { return c->has ("\r\n0\r\n\r\n"); }, 8000));
  EXPECT_EQ (g.up (0).runs + g.up (1).runs, 1u);
  Gateway once (2);
  once.up (0).default_behaviour = Silent;
  once.up (1).default_behaviour = Silent;
  auto d = once.caller ();
  d->request ("r2", "/once/x");
  EXPECT_TRUE (once.run ([&] { return d->complete (); }));
  EXPECT_EQ (d->status (), 504);
  EXPECT_EQ (once.up (0).runs + once.up (1).runs, 1u);
}

// Guards against limits that are not enforced.
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

// Adds routes with a long time-out: /whole/ and /events/, which may run twice.
void
add_patient_routes (Gateway &g)
{
  g.configure (2, [] (rc_config *c) {
    for (const char *prefix : { "/whole/", "/events/" })
      {
        rc_route *r
            = rc_add_route (c, ST_LIT ("api.example"), st_from_cstr (prefix));
        bool stream = prefix[1] == 'e';
        r->name = st_from_cstr (prefix);
        r->kind = stream ? RC_STREAM : RC_IDEMPOTENT;
        r->resumable = stream;
        r->attempts = 2;
        r->timeout_ms = 20000;
        r->target_ms = 5000;
        r->max_event_gap_ms = 5000;
        rc_add_weighted_service (c, r, ST_LIT ("llm"), 1);
      }
  });
}

// Guards against a response without an end that fills the memory, holds the
// caller until its deadline or reaches the caller as a success.
TEST (GwEndless, TheRequestIsSentToAnotherUpstream)
{
  for (int b = EndlessHead; b <= EndlessComments; b++)
    {
      Gateway g (2);
      add_patient_routes (g);
      bool stream = b >= EndlessEvent;
      g.up (0).default_behaviour = (Behaviour)b;
      g.up (1).default_behaviour = stream ? Stream : Respond;
      g.put (1, true);
      auto c = g.caller ();
      c->request ("r1", stream ? "/events/x" : "/whole/x");
      ASSERT_TRUE (g.run ([&] { return g.up (0).runs == 1; })) << b;
      g.put (1);
      EXPECT_TRUE (g.run (
          [&] { return stream ? c->has ("\r\n0\r\n\r\n") : c->complete (); },
          6000))
          << b << " after " << g.up (0).sent_bytes;
      EXPECT_EQ (c->status (), 200) << b;
      EXPECT_EQ (g.up (1).runs, 1u) << b;
      EXPECT_TRUE (g.run ([&] { return g.up (0).closed_by_peer == 1; })) << b;
      EXPECT_EQ (gw_query_counts (g.gw).stored_bytes, 0u) << b;
    }
}

// Guards against responses without an end of many upstreams at once, each of
// which is within the limit for one.
TEST (GwEndless, AllResponsesTogetherAreBounded)
{
  for (const char *path : { "/whole/x", "/events/x" })
    {
      Gateway g (1);
      add_patient_routes (g);
      g.put (0, false, 64);
      g.up ().default_behaviour = path[1] == 'e' ? EndlessEvent : EndlessBody;
      std::vector<std::unique_ptr<Caller>> callers;
      size_t most = 0;
      for (int i = 0; i < 40; i++)
        {
          callers.push_back (g.caller ());
          callers.back ()->request ("r" + std::to_string (i), path);
        }
      EXPECT_TRUE (g.run (
          [&] {
            most = std::max (most, gw_query_counts (g.gw).stored_bytes);
            for (auto &c : callers)
              if (!c->complete () && !c->closed)
                return false;
            return true;
          },
          20000));
      EXPECT_LT (most, 13u * 1024 * 1024) << path;
      for (auto &c : callers)
        EXPECT_EQ (c->status (), 502) << c->received;
    }
}

// Guards against events that are stored for a caller that does not read them,
// and against cutting the stream of one that reads slowly.
TEST (GwEndless, ASlowCallerSlowsItsUpstream)
{
  Gateway g (1);
  add_patient_routes (g);
  g.up ().default_behaviour = EndlessEvents;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sin = ipv4 (INADDR_LOOPBACK, gw_query_port (g.gw));
  ASSERT_EQ (connect (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  const std::string request
      = "POST /events/x HTTP/1.1\r\nHost: api.example\r\nX-Id: r1\r\n"
        "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n";
  ASSERT_EQ (send (fd, request.data (), request.size (), 0),
             (ssize_t)request.size ());
  g.wait (1500);
  size_t before = g.up ().sent_bytes;
  EXPECT_GT (before, 0u);
  g.wait (500);
  EXPECT_EQ (g.up ().sent_bytes, before) << "the system's buffers are full";
  // It goes on as the caller reads.
  std::string bytes (1024 * 1024, 0);
  size_t got = 0;
  g.run (
      [&] {
        ssize_t n = recv (fd, &bytes[0], bytes.size (), MSG_DONTWAIT);
        got += n > 0 ? (size_t)n : 0;
        return got > before + 4 * bytes.size ();
      },
      5000);
  EXPECT_GT (got, before + 4 * bytes.size ());
  EXPECT_EQ (g.up ().runs, 1u);
  close (fd);
}

// Guards against requests that an upstream has to reject until it crashes: it
// states how few rejections it bears.
TEST (Gw, ABrittleUpstreamThatRejectsGetsNothingForAWhile)
{
  Gateway g (1);
  g.up ().brittle = "many";
  auto c = g.caller ();
  c->request ("r0", "/again/x");
  ASSERT_TRUE (g.run ([&] { return c->complete (); }));
  EXPECT_EQ (c->status (), 200) << "a malformed statement has no effect";
  g.up ().brittle = "1";
  auto d = g.caller ();
  d->request ("r1", "/again/x");
  ASSERT_TRUE (g.run ([&] { return d->complete (); }));
  g.up ().default_behaviour = Shed;
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 10; i++)
    {
      callers.push_back (g.caller ());
      callers.back ()->request ("s" + std::to_string (i), "/again/x");
      g.wait (20);
    }
  g.wait (300);
  EXPECT_EQ (g.up ().heads.size (), 3u) << "one rejection";
  for (auto &caller : callers)
    EXPECT_TRUE (caller->status () == 0 || caller->status () == 503);
}

// Sends a request with a body of SIZE bytes to an upstream that responds and
// ends the connection before it has read it; true when the caller can take
// what it gets for a complete success.
bool
is_complete_after (Behaviour behaviour, size_t size, int early_ms)
{
  Gateway g (1);
  g.up ().behaviours = { behaviour };
  g.up ().early_ms = early_ms;
  auto c = g.caller ();
  c->request ("r1", "/once/x", "", std::string (size, 'b'));
  EXPECT_TRUE (g.run ([&] { return c->complete () || c->closed; }));
  return c->status () == 200 && !c->was_reset;
}

// Guards against a part of a response that is taken for all of it: it has no
// length, and its connection is reset while the request is still being
// written.
TEST (Gw, AResponseCutOffDuringTheUploadIsNotComplete)
{
  for (size_t size : { 1000000, 4000000 })
    for (Behaviour b : { EarlyReset, EarlyClose, EarlyShutdown })
      for (int early_ms : { 0, 30 })
        EXPECT_FALSE (is_complete_after (b, size, early_ms))
            << size << " bytes, behaviour " << b << ", after " << early_ms
            << " ms";
}

// Guards against a response whose status is none, which a caller would get as
// an answer, or wait for until its deadline.
TEST (Gw, AResponseWithoutAValidStatusIsMalformed)
{
  for (const char *status : { "000", "099", "600", "999" })
    {
      Gateway g (2);
      for (auto &u : g.upstreams)
        {
          u->behaviours = { Head };
          u->raw = "HTTP/1.1 " + std::string (status)
                   + " X\r\nX-Id: @\r\nX-Sign: s1\r\nContent-Length: 3\r\n"
                     "\r\nabc";
        }
      auto c = g.caller ();
      c->request ("r1", "/once/x");
      EXPECT_TRUE (g.run ([&] { return c->complete () || c->closed; }, 300))
          << status;
      EXPECT_EQ (c->status (), 502) << status << "\n" << c->received;
    }
}

// Guards against a probe of the path that an upstream runs as a request: where
// the path for its health is not known, it is only connected to.
TEST (Gw, ALostPathIsProbedWithoutARequest)
{
  Gateway g (2);
  std::vector<std::unique_ptr<Caller>> callers;
  for (auto &u : g.upstreams)
    u->default_behaviour = Reset;
  for (int i = 0; i < 8; i++)
    {
      callers.push_back (g.caller ());
      callers.back ()->request ("r" + std::to_string (i), "/once/x");
      g.wait (20);
    }
  uint32_t connections = 0;
  for (auto &u : g.upstreams)
    connections += u->connections;
  g.wait (1500);
  uint32_t probed = 0;
  for (auto &u : g.upstreams)
    {
      probed += u->connections;
      EXPECT_EQ (u->runs_of.count (""), 0u);
    }
  EXPECT_GT (probed, connections);
}
} // namespace
