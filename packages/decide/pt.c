#include "pt.h"

/* Requests of a route before anything is said of it.  */
#define _PT_SEEN_MIN 20
/* Callers state the time that they allow with some spread; the wait after a
   refusal and before it takes more off.  */
#define _PT_SHORT_PART 0.75
/* A caller comes back once or twice, so more short ones than this mean that
   callers differ.  */
#define _PT_SHORT_SHARE_MAX 0.6
#define _PT_SHARE_WEIGHT (1.0 / 64)
/* The longest time is forgotten slowly, for a route whose callers change.  */
#define _PT_FADE_PART (1.0 / 1024)

/* Takes a request of ROUTE whose caller waits for LEFT_US more.  True when
   the caller has most likely been refused before.  */
bool
pt_returned (pt_route *route, uint64_t left_us)
{
  double faded = (double)route->longest_us * (1 - _PT_FADE_PART);
  route->longest_us = (double)left_us > faded ? left_us : (uint64_t)faded;
  bool is_short = (double)left_us < _PT_SHORT_PART * (double)route->longest_us;
  route->short_share += _PT_SHARE_WEIGHT * (is_short - route->short_share);
  if (route->seen < _PT_SEEN_MIN)
    route->seen++;
  return is_short && route->seen == _PT_SEEN_MIN
         && route->short_share < _PT_SHORT_SHARE_MAX;
}
