/* hc.h -- second copies of slow requests that may run more than once (request
   hedging).

   Used by the gateway for routes whose requests may be repeated, where the
   operator's settings give a share of extra requests.  Pure: times and counts
   go in, decisions come out.

     hc_record (&route, &desc, took_us, now_us);    // each whole response
     uint64_t delay = hc_delay_us (&route, &desc, target_us, now_us);
     ... DELAY after the request was sent, without a response:
     if (hc_decide (&state) == HC_SEND
         && hc_take_copy (&budget, &desc, vms, now_us)) send a second copy

   The first whole response is the caller's; the other copy is cancelled.

   The delay is the time within which the share QUANTILE of the responses of
   the route arrived, of the last one to two windows, or more of them where the
   ordinary slow ones alone would use up half of the share of copies; where few
   were seen, half of the route's latency target.  No copy is sent while
   requests wait for the service or its upstreams are nearly full: then
   slowness is load, and copies would feed it.  The load pattern it answers is
   single slow responses while most upstreams are idle: an upstream that
   pauses, a lost packet.  */
#ifndef HC_H
#define HC_H

#include "bu.h"
#include "hs.h"

typedef struct
{
  double share;       /* copies for each request; 0: none are sent */
  double quantile;    /* of the responses that are not slow; 0 means 0.95 */
  uint64_t window_us; /* 0 means 10 s */
} hc_desc;

/* Response times of a route.  */
typedef struct
{
  uint64_t window; /* number of the current one */
  hs_histogram current;
  hs_histogram previous;
} hc_route;

typedef struct
{
  uint64_t left_us;  /* until the caller's deadline */
  uint64_t delay_us; /* after which the copy is sent */
  uint32_t runs;     /* attempts that may have run, this one included */
  uint32_t attempts; /* most of them */
  uint32_t waiting;  /* requests that wait for the service */
  bool has_upstream; /* there is another one with room */
  uint32_t slots;    /* of that one */
  uint32_t running;  /* there */
} hc_state;

typedef enum
{
  HC_SEND = 0,
  HC_NO_ATTEMPT,  /* all attempts of the request are used */
  HC_NO_TIME,     /* a copy would come too late */
  HC_SHORT,       /* requests wait, or the other upstream is nearly full */
  HC_NO_UPSTREAM, /* there is no other one */
  HC_VERDICTS
} hc_verdict;

#ifdef __cplusplus
extern "C"
{
#endif

  void hc_record (hc_route *route, const hc_desc *desc, uint64_t took_us,
                  uint64_t now_us);
  uint64_t hc_delay_us (hc_route *route, const hc_desc *desc,
                        uint64_t target_us, uint64_t now_us);
  hc_verdict hc_decide (const hc_state *state);
  const char *hc_verdict_name (hc_verdict verdict);
  void hc_count_request (bu_retries *budget, const hc_desc *desc,
                         uint64_t now_us);
  bool hc_take_copy (bu_retries *budget, const hc_desc *desc, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
