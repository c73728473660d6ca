#include "pt.h"

#include <gtest/gtest.h>

namespace
{
const uint64_t second = 1000000;

// Guards against retries being taken for new requests: they would be served
// before others that can still be on time.
TEST (Pt, DetectsCallersThatRetry)
{
  pt_route route = {};
  for (int i = 0; i < 100; i++)
    EXPECT_FALSE (
        pt_is_caller_retry (&route, 5 * second - (i % 9) * second / 10));
  EXPECT_TRUE (pt_is_caller_retry (&route, 28 * second / 10));
  EXPECT_FALSE (pt_is_caller_retry (&route, 45 * second / 10));
}

// Guards against a verdict from the first few requests after a start.
TEST (Pt, DetectsNoRetriesAtFirst)
{
  pt_route route = {};
  EXPECT_FALSE (pt_is_caller_retry (&route, 5 * second));
  EXPECT_FALSE (pt_is_caller_retry (&route, second));
}

// Guards against callers that allow less time always being queued last.
TEST (Pt, DetectsNoRetriesWhereCallersDiffer)
{
  pt_route route = {};
  for (int i = 0; i < 1000; i++)
    pt_is_caller_retry (&route, i % 4 == 0 ? 5 * second : 2 * second);
  EXPECT_FALSE (pt_is_caller_retry (&route, 2 * second));
}

// Guards against one caller with a very long time left being used for ever.
TEST (Pt, TheLongestTimeDecays)
{
  pt_route route = {};
  pt_is_caller_retry (&route, 600 * second);
  for (int i = 0; i < 10000; i++)
    pt_is_caller_retry (&route, 5 * second);
  EXPECT_FALSE (pt_is_caller_retry (&route, 45 * second / 10));
  EXPECT_TRUE (pt_is_caller_retry (&route, 2 * second));
}
} // namespace
