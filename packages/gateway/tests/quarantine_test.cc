// Prompt parts that crash each upstream that begins to respond to them.
#include "support.hh"

using namespace support;

namespace
{
// Sends a request with the given prompt PARTS and returns its caller.
std::unique_ptr<Caller>
ask (Gateway &g, int number, const std::string &parts,
     const std::string &path = "/again/x")
{
  auto c = g.caller ();
  c->request ("r" + std::to_string (number), path,
              "X-Tokens: 100,10\r\nX-Parts: " + parts + "\r\n", "");
  g.run ([&] { return c->complete () || c->closed; });
  return c;
}

uint32_t
total_runs (Gateway &g)
{
  uint32_t runs = 0;
  for (auto &u : g.upstreams)
    runs += u->runs;
  return runs;
}

// Sends COUNT requests with the part "bad" that all upstreams lose, each with
// a last part of its own.
void
crash (Gateway &g, int count, const std::string &path = "/once/x")
{
  for (auto &u : g.upstreams)
    u->default_behaviour = Reset;
  for (int i = 0; i < count; i++)
    {
      ask (g, i, "c0:10,bad:20," + std::to_string (i) + ":30", path);
      g.wait (10);
    }
  for (auto &u : g.upstreams)
    u->default_behaviour = Respond;
  /* Upstreams that lost connections are avoided for a while.  */
  g.wait (1700);
}

// Guards against one prompt part that crashes upstreams one after the other:
// 33 requests with it were sent after the fifth had ended.
TEST (GwQuarantine, APartThatCrashesUpstreamsIsRefused)
{
  Gateway g (8);
  crash (g, 8);
  uint32_t before = total_runs (g);
  EXPECT_LE (before, 5u);
  auto c = ask (g, 100, "c0:10,bad:20,100:30");
  EXPECT_EQ (c->status (), 503);
  EXPECT_TRUE (c->has ("Retry-After"));
  EXPECT_EQ (total_runs (g), before);
}

// Guards against refusing sound requests, which share their first part and
// their team with those that crash upstreams.
TEST (GwQuarantine, RequestsWithoutThePartAreServed)
{
  Gateway g (8);
  EXPECT_EQ (ask (g, 99, "c0:10,good:20,99:30")->status (), 200);
  crash (g, 8);
  EXPECT_EQ (ask (g, 100, "c0:10,good:20,100:30")->status (), 200);
  EXPECT_EQ (ask (g, 101, "c0:10,101:30")->status (), 200);
  EXPECT_EQ (ask (g, 102, "")->status (), 200);
}

// Guards against taking parts for bad whose requests were only beside one
// that crashed the upstream: they are served elsewhere.
TEST (GwQuarantine, APartThatIsServedIsNotRefused)
{
  Gateway g (8);
  for (int i = 0; i < 8; i++)
    {
      for (auto &u : g.upstreams)
        u->behaviours = { Reset };
      ask (g, i, "c0:10,sound:20," + std::to_string (i) + ":30");
      for (auto &u : g.upstreams)
        u->behaviours.clear ();
      g.wait (500);
      EXPECT_EQ (
          ask (g, 50 + i, "c0:10,sound:20," + std::to_string (50 + i) + ":30")
              ->status (),
          200);
    }
}

// Guards against a part that is not recognised because it stands behind many
// others or has a long id.
TEST (GwQuarantine, APartBehindManyOthersIsRefused)
{
  std::string before;
  for (int i = 0; i < 30; i++)
    before += "c" + std::to_string (i) + ":10,";
  before += std::string (64, 'a') + ":20,";
  Gateway g (8);
  // Those before it are sound.
  EXPECT_EQ (
      ask (g, 99, before.substr (0, before.find ("aaa")) + "99:30")->status (),
      200);
  for (auto &u : g.upstreams)
    u->default_behaviour = Reset;
  for (int i = 0; i < 8; i++)
    {
      ask (g, i, before + std::to_string (i) + ":30", "/once/x");
      g.wait (10);
    }
  for (auto &u : g.upstreams)
    u->default_behaviour = Respond;
  g.wait (1700);
  uint32_t runs = total_runs (g);
  auto c = ask (g, 100, before + "100:30");
  EXPECT_EQ (c->status (), 503);
  EXPECT_EQ (total_runs (g), runs);
}
}
