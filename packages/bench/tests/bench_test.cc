#include "bn.h"

extern "C"
{
#include "bn_engine.h"
}

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace
{

std::string
csv_of (const char *scenario, uint64_t seed)
{
  bn_report *report = bn_make_report ();
  bn_run_placement (report, scenario, seed);
  std::string path = ::testing::TempDir () + "bench_test.csv";
  EXPECT_TRUE (bn_write_csv (report, path.c_str ()));
  bn_destroy_report (report);
  std::ifstream in (path);
  std::stringstream text;
  text << in.rdbuf ();
  std::remove (path.c_str ());
  return text.str ();
}

/* Guards against figures that depend on anything but the seed.  */
TEST (Bench, SameSeedGivesSameFile)
{
  std::string a = csv_of ("burst_3x", 7);
  EXPECT_EQ (a, csv_of ("burst_3x", 7));
  EXPECT_NE (a, csv_of ("burst_3x", 8));
  EXPECT_EQ (a.rfind ("scenario,policy,seed,metric,unit,value\n", 0), 0u);
}

/* Guards against an upper bound that a policy exceeds.  */
TEST (Bench, NoPolicyExceedsUpperBound)
{
  for (const char *scenario : { "steady", "overload_1_3x", "prefix_heavy" })
    {
      std::istringstream in (csv_of (scenario, 3));
      std::string line;
      double bound[BN_TIERS] = {}, best[BN_TIERS] = {};
      while (std::getline (in, line))
        {
          std::vector<std::string> f;
          std::istringstream fields (line);
          std::string one;
          while (std::getline (fields, one, ','))
            f.push_back (one);
          if (f.size () != 6 || f[3].rfind ("goodput_tier", 0) != 0)
            continue;
          int tier = f[3].back () - '0';
          double value = std::stod (f[5]);
          if (f[1] == "upper_bound")
            bound[tier] = value;
          else
            best[tier] = std::max (best[tier], value);
        }
      for (int t = 0; t < BN_TIERS; t++)
        EXPECT_LE (best[t], bound[t] + 1e-9) << scenario << " tier " << t;
    }
}

/* Guards against a simulated engine that serves out of order, loses requests
   or does not use its prefix cache.  */
TEST (Bench, EngineServesInOrderAndCachesPrefixes)
{
  auto e = std::make_unique<bn_engine> ();
  *e = bn_engine{};
  e->slots = 2;
  e->us_per_prompt_token = 100;
  e->iteration_us = 10000;
  e->us_per_stream = 500;
  e->slow_factor = 1;
  std::vector<bn_work> work (4);
  for (auto &w : work)
    {
      w.prompt_tokens = 600;
      w.output_tokens = 5;
      w.blocks[0] = 99;
      w.block_tokens[0] = 500;
    }
  std::vector<uint32_t> done;
  for (uint32_t i = 0; i < 4; i++)
    ASSERT_TRUE (bn_engine_add (e.get (), i));
  for (uint64_t now = 0; now < 2000000; now += 1000)
    {
      bn_engine_step (e.get (), work.data (), now);
      EXPECT_LE (e->running_len, 2u);
      for (uint32_t k = 0; k < e->done_len; k++)
        done.push_back (e->done[k]);
    }
  ASSERT_EQ (done.size (), 4u);
  EXPECT_EQ (done[0], 0u);
  for (auto &w : work)
    EXPECT_EQ (w.produced_tokens, 5u);
  EXPECT_EQ (work[0].prefilled_tokens, 600u);
  EXPECT_EQ (work[3].prefilled_tokens, 100u);
  bn_engine_kill (e.get (), work.data ());
  EXPECT_FALSE (bn_engine_add (e.get (), 0));
}

}
