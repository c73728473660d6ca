#include "pa.h"

#include <gtest/gtest.h>

namespace
{
const uint64_t Ms = 1000;
const uint64_t Start = 1000 * 1000;

// Guards against a VM that takes its own lost links for failed upstreams.
TEST (Pa, FailuresAtSeveralUpstreamsWithoutAnyBytesLoseThePath)
{
  pa_path p = {};
  pa_on_heard (&p, Start);
  pa_on_failed (&p, 1, Start + 10 * Ms);
  pa_on_failed (&p, 2, Start + 20 * Ms);
  pa_on_failed (&p, 1, Start + 30 * Ms);
  EXPECT_FALSE (pa_update (&p, 9, Start + 40 * Ms)) << "heard just before";
  EXPECT_TRUE (pa_update (&p, 9, Start + 450 * Ms));
  EXPECT_TRUE (p.lost);
  EXPECT_FALSE (pa_update (&p, 9, Start + 500 * Ms)) << "no change";
  EXPECT_TRUE (p.lost);
  pa_on_heard (&p, Start + 600 * Ms);
  EXPECT_TRUE (pa_update (&p, 9, Start + 600 * Ms));
  EXPECT_FALSE (p.lost);
}

// Guards against hanging connections, which report no failure.
TEST (Pa, SilenceOfSeveralUpstreamsLosesThePath)
{
  pa_path p = {};
  pa_on_heard (&p, Start);
  for (uint64_t at = Start; at <= Start + 1200 * Ms; at += 50 * Ms)
    {
      for (uint64_t upstream = 1; upstream <= 3; upstream++)
        pa_on_silent (&p, upstream, Start, at);
      pa_update (&p, 9, at);
      EXPECT_EQ (p.lost, at >= Start + 1000 * Ms) << at - Start;
    }
}

// Guards against taking one upstream that is silent or has crashed for a
// partition while others are idle.
TEST (Pa, OneUpstreamOfSeveralIsNotEnough)
{
  pa_path p = {};
  pa_on_heard (&p, Start);
  for (int i = 0; i < 20; i++)
    {
      pa_on_failed (&p, 1, Start + 100 * Ms);
      pa_on_silent (&p, 1, Start, Start + 2000 * Ms);
    }
  EXPECT_FALSE (pa_update (&p, 3, Start + 2000 * Ms));
  EXPECT_TRUE (pa_update (&p, 1, Start + 2000 * Ms)) << "the only one";
}

// Guards against taking the only upstream, which is silent for a second, for a
// partition: its requests would be sent once more.
TEST (Pa, TheOnlyUpstreamMayBeSilentForLonger)
{
  pa_path p = {};
  pa_on_heard (&p, Start);
  for (uint64_t at = Start; at <= Start + 2600 * Ms; at += 50 * Ms)
    {
      for (int i = 0; i < 9; i++)
        pa_on_silent (&p, 1, Start, at);
      pa_update (&p, 1, at);
      EXPECT_EQ (p.lost, at >= Start + 2500 * Ms) << at - Start;
    }
}

// Guards against taking upstreams that are overloaded for lost: responses take
// nine times as long as before, and a VM has few requests.
TEST (Pa, OverloadedUpstreamsAreNotLost)
{
  pa_path p = {};
  for (int i = 0; i < 50; i++)
    pa_on_response (&p, 100 * Ms, Start);
  for (uint64_t at = Start; at <= Start + 900 * Ms; at += 50 * Ms)
    {
      for (uint64_t upstream = 1; upstream <= 5; upstream++)
        pa_on_silent (&p, upstream, Start, at);
      pa_update (&p, 9, at);
      EXPECT_FALSE (p.lost) << at - Start;
    }
}

// Guards against a VM that was frozen, and takes its own silence for that of
// the upstreams.
TEST (Pa, AVmThatWasFrozenStartsAnew)
{
  pa_path p = {};
  pa_on_response (&p, 20 * Ms, Start);
  pa_update (&p, 9, Start);
  uint64_t thaw = Start + 5000 * Ms;
  for (uint64_t upstream = 1; upstream <= 5; upstream++)
    {
      pa_on_silent (&p, upstream, Start, thaw);
      pa_on_failed (&p, upstream, thaw);
    }
  EXPECT_FALSE (pa_update (&p, 9, thaw));
  pa_on_heard (&p, thaw + 50 * Ms);
  EXPECT_FALSE (pa_update (&p, 9, thaw + 250 * Ms));
  EXPECT_FALSE (p.lost);
}

// Guards against taking a slow link for a partition: bytes still come.
TEST (Pa, ASlowLinkIsNotLost)
{
  pa_path p = {};
  pa_on_response (&p, 1500 * Ms, Start);
  for (uint64_t at = Start; at < Start + 20000 * Ms; at += 50 * Ms)
    {
      // Each response takes 1.5 s, and most new connections time out.
      for (uint64_t upstream = 1; upstream <= 5; upstream++)
        pa_on_silent (&p, upstream, at - 1500 * Ms, at);
      pa_on_failed (&p, at / (50 * Ms) % 5, at);
      if (at % (1000 * Ms) == 0)
        pa_on_response (&p, 1500 * Ms, at);
      pa_update (&p, 9, at);
      EXPECT_FALSE (p.lost) << at - Start;
    }
}

// Guards against a path that stays lost once all requests go elsewhere, and
// against probes that load upstreams.
TEST (Pa, ALostPathIsProbedAtIntervals)
{
  pa_path p = {};
  pa_on_failed (&p, 1, Start);
  pa_on_failed (&p, 2, Start);
  pa_on_failed (&p, 3, Start);
  EXPECT_FALSE (pa_probe_due (&p, Start));
  ASSERT_TRUE (pa_update (&p, 3, Start + 400 * Ms));
  int probes = 0;
  for (uint64_t at = Start + 400 * Ms; at < Start + 3400 * Ms; at += 10 * Ms)
    {
      pa_update (&p, 3, at);
      EXPECT_TRUE (p.lost);
      probes += pa_probe_due (&p, at);
    }
  EXPECT_EQ (probes, 10);
}
}
