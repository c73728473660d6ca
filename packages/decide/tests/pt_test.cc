#include "pt.h"

#include <gtest/gtest.h>

namespace
{
const uint64_t second = 1000000;

// Guards against callers that come back being taken for new ones: they would
// be served before others that can still be on time.
TEST (Pt, KnowsCallersThatComeBack)
{
  pt_route route = {};
  for (int i = 0; i < 100; i++)
    EXPECT_FALSE (pt_returned (&route, 5 * second - (i % 9) * second / 10));
  EXPECT_TRUE (pt_returned (&route, 28 * second / 10));
  EXPECT_FALSE (pt_returned (&route, 45 * second / 10));
}

// Guards against a verdict from the first few requests after a start.
TEST (Pt, SaysNothingAtFirst)
{
  pt_route route = {};
  EXPECT_FALSE (pt_returned (&route, 5 * second));
  EXPECT_FALSE (pt_returned (&route, second));
}

// Guards against callers that allow less time being put last for ever.
TEST (Pt, SaysNothingWhereCallersDiffer)
{
  pt_route route = {};
  for (int i = 0; i < 1000; i++)
    pt_returned (&route, i % 4 == 0 ? 5 * second : 2 * second);
  EXPECT_FALSE (pt_returned (&route, 2 * second));
}

// Guards against one caller with a very long time left counting for good.
TEST (Pt, ForgetsTheLongestTime)
{
  pt_route route = {};
  pt_returned (&route, 600 * second);
  for (int i = 0; i < 10000; i++)
    pt_returned (&route, 5 * second);
  EXPECT_FALSE (pt_returned (&route, 45 * second / 10));
  EXPECT_TRUE (pt_returned (&route, 2 * second));
}
} // namespace
