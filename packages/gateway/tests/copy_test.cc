#include "support.hh"

using namespace support;

namespace
{
// A gateway with two upstreams that sends copies of every slow request.
class Copies : public testing::Test
{
protected:
  std::unique_ptr<Gateway> g;

  void
  SetUp () override
  {
    g = std::make_unique<Gateway> (2, 100, 10000, 0, 0, 0.2);
    // Requests that the share of copies is of.
    for (int i = 0; i < 30; i++)
      expect_answered ("warm-" + std::to_string (i), "/again/x");
    for (auto &u : g->upstreams)
      u->runs = 0;
  }
  void
  expect_answered (const std::string &id, const std::string &path)
  {
    auto c = g->caller ();
    c->request (id, path);
    EXPECT_TRUE (g->run ([&] { return c->complete (); })) << id;
    EXPECT_EQ (c->status (), 200) << c->received;
    EXPECT_TRUE (c->has ("body of " + id)) << c->received;
    EXPECT_EQ (c->received.find ("HTTP/1.1", 1), std::string::npos)
        << "two responses: " << c->received;
  }
  uint32_t
  runs (const std::string &id) const
  {
    uint32_t n = 0;
    for (auto &u : g->upstreams)
      n += u->runs_of.count (id) != 0 ? u->runs_of.at (id) : 0;
    return n;
  }
  void
  all_behave (Behaviour b)
  {
    for (auto &u : g->upstreams)
      u->behaviours.push_back (b);
  }
};

// Guards against a caller that waits for an upstream which is silent while
// another one is idle, and against a second response on its connection.
TEST_F (Copies, ASlowRequestIsAnsweredByItsCopy)
{
  for (int i = 0; i < 4; i++)
    {
      std::string id = "slow-" + std::to_string (i);
      // The next request to either upstream; its copy gets a response.
      g->upstreams[0]->default_behaviour = Silent;
      expect_answered (id, "/again/x");
      EXPECT_LE (runs (id), 2u);
      g->upstreams[0]->default_behaviour = Respond;
      expect_answered ("next-" + std::to_string (i), "/again/x");
    }
  EXPECT_EQ (gw_query_counts (g->gw).open, 0u);
}

// Guards against an error that reaches the caller while the other copy is
// still on its way, and against a request that runs more often than its route
// allows.
TEST_F (Copies, AFailedCopyLeavesTheOtherOne)
{
  for (Behaviour b : { Error, Reset, Truncated, Shed })
    {
      std::string id = "fails-" + std::to_string (b);
      g->upstreams[0]->behaviours.push_back (Silent);
      g->upstreams[1]->behaviours.push_back (b);
      auto c = g->caller ();
      c->request (id, "/again/x");
      EXPECT_TRUE (g->run ([&] { return c->complete () || c->closed; }));
      EXPECT_LE (runs (id), 2u) << b;
      EXPECT_EQ (gw_query_counts (g->gw).open, 0u);
      g->upstreams[0]->behaviours.clear ();
      g->upstreams[1]->behaviours.clear ();
    }
}

// Guards against a copy of a request that may run once.
TEST_F (Copies, RequestsThatRunOnceGetNone)
{
  all_behave (Silent);
  auto c = g->caller ();
  c->request ("once", "/once/x");
  g->run ([&] { return c->complete (); }, 1500);
  EXPECT_EQ (runs ("once"), 1u);
}

// Guards against copies that go on, or memory that stays, when the caller has
// left or the deadline has passed.
TEST_F (Copies, BothEndWithTheCaller)
{
  all_behave (Silent);
  auto c = g->caller ();
  c->request ("left", "/again/x");
  EXPECT_TRUE (g->run ([&] { return runs ("left") == 2; }));
  c.reset ();
  EXPECT_TRUE (g->run ([&] { return gw_query_counts (g->gw).open == 0; }));
  for (auto &u : g->upstreams)
    u->behaviours.clear ();
  all_behave (Silent);
  auto late = g->caller ();
  late->request ("late", "/again/x", "X-Deadline: 500\r\n");
  EXPECT_TRUE (g->run ([&] { return late->complete (); }));
  EXPECT_EQ (late->status (), 504) << late->received;
  EXPECT_EQ (gw_query_counts (g->gw).open, 0u);
}

// Guards against more copies than the share that the operator gives.
TEST_F (Copies, NoMoreThanTheShare)
{
  uint32_t before = g->up (0).runs + g->up (1).runs;
  for (auto &u : g->upstreams)
    u->default_behaviour = Delayed;
  for (int i = 0; i < 40; i++)
    {
      auto c = g->caller ();
      c->request ("d-" + std::to_string (i), "/again/x");
      EXPECT_TRUE (g->run ([&] { return c->complete (); }));
    }
  uint32_t sent = g->up (0).runs + g->up (1).runs - before;
  EXPECT_LE (sent, 40u + (uint32_t)(0.2 * 70) + 1);
}
} // namespace
