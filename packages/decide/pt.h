/* pt.h -- tells callers that come back after a refusal from new ones.

   Each attempt of a caller is a request of its own; what gives one away that
   has been refused before is that it has much less time left than the callers
   of its route usually have.  Where callers of one route differ in the time
   that they allow, the module says nothing.

     pt_route route = { 0 };
     if (pt_returned (&route, left_us)) its answer will be late anyway  */
#ifndef PT_H
#define PT_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of the callers of one route; zeroed at first.  */
typedef struct
{
  uint64_t longest_us; /* time left of new callers, at most */
  double short_share;  /* of requests with much less */
  uint32_t seen;
} pt_route;

#ifdef __cplusplus
extern "C"
{
#endif

  bool pt_returned (pt_route *route, uint64_t left_us);

#ifdef __cplusplus
}
#endif

#endif
