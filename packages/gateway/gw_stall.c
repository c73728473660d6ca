/* Stall: sends requests whose response makes no progress to another upstream,
   by the rule of sg.h.  */
#include "gw_internal.h"
#include "sg.h"

/* Silence that the caller of a request with a whole response tolerates, as a
   multiple of the latency target; its time-out is often much longer.  */
#define _GW_WHOLE_TOLERANCE_TARGETS 4

static uint64_t
_gw_tolerance_us (const _gw_request *r)
{
  return r->route->kind == RC_STREAM
             ? _gw_stream_tolerance_us (r)
             : _GW_WHOLE_TOLERANCE_TARGETS * r->demand.target_us;
}

/* True when R waits for an upstream that has stalled and may run once more.
   Otherwise it keeps waiting until its deadline.  */
static bool
_gw_is_stalled (const _gw_request *r)
{
  const gw_task *gw = r->gw;
  if (r->exchange == NULL || !r->retryable || r->copy_of != NULL
      || r->runs + 1 >= r->route->attempts)
    return false;
  /* The upstream may not be read until the caller has read more.  */
  if (evbuffer_get_length (bufferevent_get_output (r->conn->bev)) > 0)
    return false;
  uint64_t progress_us = r->last_event_us > 0 ? r->last_event_us : r->sent_us;
  const ut_upstream *up = ut_query (gw->upstreams, r->upstream);
  uint64_t stall_us = sg_stall_us (
      &(sg_desc){ .tolerance_us = _gw_tolerance_us (r),
                  .pace_us = up != NULL ? (uint64_t)up->unit_time_us : 0 });
  return gw->now_us - progress_us >= stall_us;
}

/* Ends the attempts whose response has stalled, and retries them.  */
void
_gw_end_stalled (gw_task *gw)
{
  for (uint32_t i = 0; i < gw->used; i++)
    {
      _gw_request *r = &gw->requests[i];
      if (r->state != _GW_FREE && _gw_is_stalled (r))
        _gw_fail_exchange (r, "response_stalled");
    }
}
