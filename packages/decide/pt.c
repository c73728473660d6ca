#include "pt.h"

/* Requests of a route before any is taken for a retry.  */
#define _PT_SEEN_MIN 20
/* A request with less than this fraction of the longest time left is short.
   The times that callers allow vary less than that; a refusal and the wait
   after it take more.  */
#define _PT_SHORT_LEFT_FRACTION 0.75
/* A caller retries once or twice, so a larger fraction of short requests means
   that callers differ.  */
#define _PT_SHORT_FRACTION_MAX 0.6
#define _PT_SAMPLE_WEIGHT (1.0 / 64)
/* The longest time left decays slowly, for a route whose callers change.  */
#define _PT_DECAY_PER_REQUEST (1.0 / 1024)

/* Counts a request of ROUTE whose caller waits for LEFT_US more.  True when
   the caller has most likely been refused before.  */
bool
pt_is_caller_retry (pt_route *route, uint64_t left_us)
{
  double decayed_us = (double)route->max_left_us * (1 - _PT_DECAY_PER_REQUEST);
  route->max_left_us
      = (double)left_us > decayed_us ? left_us : (uint64_t)decayed_us;
  bool is_short
      = (double)left_us < _PT_SHORT_LEFT_FRACTION * (double)route->max_left_us;
  route->short_fraction
      += _PT_SAMPLE_WEIGHT * (is_short - route->short_fraction);
  if (route->seen < _PT_SEEN_MIN)
    route->seen++;
  return is_short && route->seen == _PT_SEEN_MIN
         && route->short_fraction < _PT_SHORT_FRACTION_MAX;
}
