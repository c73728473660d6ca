/* pt.h -- detects requests that their caller retries after a refusal.

   Used by the gateway, which queues such requests behind others.  Each attempt
   of a caller is a request of its own.  A retry has much less time left than
   the callers of its route usually have.  Where callers of one route differ in
   the time that they allow, no request is taken for a retry.

     pt_route route = { 0 };
     if (pt_is_caller_retry (&route, left_us)) its response will be late  */
#ifndef PT_H
#define PT_H

#include <stdbool.h>
#include <stdint.h>

/* Statistics of the callers of one route; zeroed at first.  */
typedef struct
{
  uint64_t max_left_us;  /* longest time left of a new caller, decayed */
  double short_fraction; /* of requests with much less time left */
  uint32_t seen;         /* requests, up to the number that is required */
} pt_route;

#ifdef __cplusplus
extern "C"
{
#endif

  bool pt_is_caller_retry (pt_route *route, uint64_t left_us);

#ifdef __cplusplus
}
#endif

#endif
