#include "dn.h"

#include <gtest/gtest.h>

namespace
{
const uint64_t second = 1000000;
const dn_drain drain = { 100 * second, 110 * second };

TEST (Dn, AllIsAcceptedWithoutAStop)
{
  dn_drain none = {};
  EXPECT_TRUE (dn_accepts (&none, 1000 * second, 5 * second));
  dn_drain open_end = { 100 * second, 0 };
  EXPECT_TRUE (dn_accepts (&open_end, 1000 * second, 500 * second));
}

// Guards against refusing the callers that have not learnt of the stop yet.
TEST (Dn, LongRequestsAreAcceptedAtFirst)
{
  EXPECT_TRUE (dn_accepts (&drain, 130 * second, 100 * second));
  EXPECT_TRUE (dn_accepts (&drain, 130 * second, 102 * second));
}

// Guards against streams that are accepted late in the drain and cut off when
// the process ends.
TEST (Dn, ARequestThatMayOutlastTheProcessIsRefusedLater)
{
  EXPECT_FALSE (dn_accepts (&drain, 111 * second, 104 * second));
  EXPECT_TRUE (dn_accepts (&drain, 109 * second, 104 * second));
  EXPECT_TRUE (dn_accepts (&drain, 110 * second, 109 * second));
}
} // namespace
