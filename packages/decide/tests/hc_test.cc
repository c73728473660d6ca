// hc_test.cc -- second copies of slow requests, on a paused clock.
#include "hc.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <queue>
#include <random>
#include <vector>

namespace
{
const uint64_t ms = 1000;
const uint64_t second = 1000 * ms;

hc_desc
terms (double share)
{
  hc_desc d = {};
  d.share = share;
  return d;
}

// Guards against a copy where the request may not run again, cannot be on time
// or would feed an overload.
TEST (Hc, NoCopyWhereItDoesNotHelp)
{
  hc_state s = {};
  s.left_us = second;
  s.delay_us = 60 * ms;
  s.runs = 1;
  s.attempts = 2;
  s.has_upstream = true;
  s.slots = 6;
  s.running = 1;
  EXPECT_EQ (hc_decide (&s), HC_SEND);
  auto with = [&s] (const std::function<void (hc_state &)> &change) {
    hc_state other = s;
    change (other);
    return hc_decide (&other);
  };
  EXPECT_EQ (with ([] (hc_state &o) { o.attempts = 1; }), HC_NO_ATTEMPT);
  EXPECT_EQ (with ([] (hc_state &o) { o.left_us = 60 * ms; }), HC_NO_TIME);
  EXPECT_EQ (with ([] (hc_state &o) { o.waiting = 1; }), HC_SHORT);
  EXPECT_EQ (with ([] (hc_state &o) { o.running = 4; }), HC_SHORT);
  EXPECT_EQ (with ([] (hc_state &o) { o.has_upstream = false; }),
             HC_NO_UPSTREAM);
}

// Guards against a delay from too few responses, and from those of long ago.
TEST (Hc, TheDelayFollowsTheResponses)
{
  hc_desc d = terms (0.05);
  hc_route route = {};
  EXPECT_EQ (hc_delay_us (&route, &d, 120 * ms, second), 60 * ms);
  for (int i = 1; i <= 100; i++)
    hc_record (&route, &d, (uint64_t)i * ms, second);
  uint64_t delay = hc_delay_us (&route, &d, 120 * ms, second);
  EXPECT_GE (delay, 90 * ms);
  EXPECT_LE (delay, 110 * ms);
  EXPECT_EQ (hc_delay_us (&route, &d, 120 * ms, 15 * second), delay);
  EXPECT_EQ (hc_delay_us (&route, &d, 120 * ms, 45 * second), 60 * ms);
}

// Upstreams with SLOTS each, of which one pauses for a while; requests arrive
// at random, each at a random upstream, with copies or without.
class Service
{
public:
  std::vector<double> took_ms;
  uint32_t copies = 0, requests = 0;

  Service (double share, double per_s, uint64_t pause_us)
      : desc_ (terms (share)), per_s_ (per_s), pause_us_ (pause_us)
  {
  }
  void
  run (uint64_t seed)
  {
    // The copies do not change the requests.
    std::mt19937_64 random (seed), random_copies (seed + 1000);
    std::exponential_distribution<double> gap (per_s_), work (1 / 15.0);
    double now = (double)second;
    while (now < 60.0 * second)
      {
        now += gap (random) * (double)second;
        requests++;
        size_t first = random () % servers;
        double done = serve (first, now, work (random));
        hc_count_request (&budget_, &desc_, (uint64_t)now);
        double copy_at
            = now
              + (double)hc_delay_us (&route_, &desc_, 120 * ms, (uint64_t)now);
        if (done > copy_at)
          done = std::min (done,
                           copy (first, now, copy_at, work (random_copies)));
        hc_record (&route_, &desc_, (uint64_t)(done - now), (uint64_t)now);
        took_ms.push_back ((done - now) / ms);
      }
    std::sort (took_ms.begin (), took_ms.end ());
  }
  double
  quantile (double q) const
  {
    return took_ms[(size_t)(q * (double)(took_ms.size () - 1))];
  }

private:
  static const size_t servers = 6;
  static const size_t slots = 6;
  hc_desc desc_;
  double per_s_;
  uint64_t pause_us_;
  hc_route route_ = {};
  bu_retries budget_ = {};
  double free_[servers][slots] = {}; // times at which the slots are free

  double
  serve (size_t server, double now, double work_ms)
  {
    double *slot = std::min_element (free_[server], free_[server] + slots);
    double start = std::max (now, *slot);
    // Server 0 pauses every ten seconds.
    double since = std::fmod (start, 10.0 * second);
    if (server == 0 && since < (double)pause_us_)
      start += (double)pause_us_ - since;
    *slot = start + work_ms * ms;
    return *slot;
  }
  uint32_t
  running (size_t server, double now) const
  {
    return (uint32_t)std::count_if (free_[server], free_[server] + slots,
                                    [now] (double at) { return at > now; });
  }
  double
  copy (size_t first, double now, double at, double work_ms)
  {
    size_t other = (first + 1) % servers;
    for (size_t i = 0; i < servers; i++)
      if (i != first && running (i, at) < running (other, at))
        other = i;
    hc_state s = {};
    s.left_us = (uint64_t)(now + 1200.0 * ms - at);
    s.delay_us = (uint64_t)(at - now);
    s.runs = 1;
    s.attempts = 2;
    s.has_upstream = true;
    s.slots = slots;
    s.running = running (other, at);
    if (hc_decide (&s) != HC_SEND
        || !hc_take_copy (&budget_, &desc_, (uint64_t)at))
      return 1e18;
    copies++;
    return serve (other, at, work_ms);
  }
};

// Guards against copies that do not shorten the slowest responses, and against
// more of them than the operator allows.
TEST (Hc, CopiesShortenTheSlowestResponses)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      Service without (0, 200, 300 * ms), with (0.05, 200, 300 * ms);
      without.run (seed);
      with.run (seed);
      EXPECT_EQ (without.copies, 0u);
      EXPECT_GT (with.copies, 0u);
      EXPECT_LE (with.copies, 0.05 * with.requests * 1.1);
      // The latency target.
      EXPECT_GT (without.quantile (0.999), 120) << "seed " << seed;
      EXPECT_LT (with.quantile (0.999), 120) << "seed " << seed;
    }
}

// Guards against extra work that feeds an overload: at a load that the
// upstreams cannot carry no copies are sent and nothing becomes slower.
TEST (Hc, AnOverloadGetsNoCopies)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      Service without (0, 2600, 0), with (0.05, 2600, 0);
      without.run (seed);
      with.run (seed);
      EXPECT_LT (with.copies, 0.005 * with.requests) << "seed " << seed;
      EXPECT_LT (with.quantile (0.5), 1.2 * without.quantile (0.5));
    }
}
} // namespace
