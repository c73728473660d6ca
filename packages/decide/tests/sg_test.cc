#include "sg.h"

#include <gtest/gtest.h>

namespace
{
const uint64_t ms = 1000;

uint64_t
stall (uint64_t tolerance_us, uint64_t pace_us)
{
  sg_desc desc = { tolerance_us, pace_us };
  return sg_stall_us (&desc);
}

// Guards against a stalled response that holds its caller until the deadline.
TEST (Sg, LeavesTimeForAnotherUpstream)
{
  EXPECT_EQ (stall (2400 * ms, 0), 1200 * ms);
  EXPECT_EQ (stall (2400 * ms, 40 * ms), 1200 * ms);
}

// Guards against cutting streams of an upstream that is slow but sound.
TEST (Sg, ASlowUpstreamGetsMoreTime)
{
  EXPECT_GE (stall (4800 * ms, 200 * ms), 20 * 200 * ms);
  EXPECT_EQ (stall (2400 * ms, 400 * ms), UINT64_MAX);
}
} // namespace
