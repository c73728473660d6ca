#include "sg.h"

/* Fraction of the caller's tolerance; the rest is for the next upstream to
   respond.  */
#define _SG_TOLERANCE_FRACTION 0.5
/* Multiple of the pace that a sound upstream does not exceed: long prompts
   beside a stream delay its tokens about tenfold.  */
#define _SG_PACE_FACTOR 20

/* Time without progress, in microseconds, after which a response counts as
   stalled; UINT64_MAX when the upstream is too slow to tell within the
   caller's tolerance.  */
uint64_t
sg_stall_us (const sg_desc *desc)
{
  uint64_t patience_us
      = (uint64_t)(_SG_TOLERANCE_FRACTION * (double)desc->tolerance_us);
  uint64_t slow_us = _SG_PACE_FACTOR * desc->pace_us;
  if (slow_us >= desc->tolerance_us)
    return UINT64_MAX;
  return slow_us > patience_us ? slow_us : patience_us;
}
