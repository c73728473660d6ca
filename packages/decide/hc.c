#include "hc.h"

#define _HC_QUANTILE 0.95
#define _HC_WINDOW_US 10000000
/* Responses from which on their quantile is used.  */
#define _HC_SAMPLES_MIN 20
/* Delay without them, as a fraction of the latency target: the copy can still
   be on time.  */
#define _HC_TARGET_FRACTION 0.5
#define _HC_DELAY_MIN_US 1000
/* Fraction of the copies that may go to responses which are slow only as some
   always are; the rest is left for an upstream that pauses.  */
#define _HC_ORDINARY_FRACTION 0.5
/* Fraction of an upstream's slots that may be taken after a copy.  */
#define _HC_FULL_FRACTION 0.75

static uint64_t
_hc_window_us (const hc_desc *desc)
{
  return desc->window_us > 0 ? desc->window_us : _HC_WINDOW_US;
}

static void
_hc_advance (hc_route *route, const hc_desc *desc, uint64_t now_us)
{
  uint64_t window = now_us / _hc_window_us (desc);
  if (window == route->window)
    return;
  if (window == route->window + 1)
    route->previous = route->current;
  else
    route->previous = (hs_histogram){ 0 };
  route->current = (hs_histogram){ 0 };
  route->window = window;
}

/* Records a whole response that took TOOK_US at its upstream.  */
void
hc_record (hc_route *route, const hc_desc *desc, uint64_t took_us,
           uint64_t now_us)
{
  _hc_advance (route, desc, now_us);
  hs_record (&route->current, took_us);
}

/* Time in microseconds after which a request of ROUTE counts as slow.  */
uint64_t
hc_delay_us (hc_route *route, const hc_desc *desc, uint64_t target_us,
             uint64_t now_us)
{
  _hc_advance (route, desc, now_us);
  hs_histogram all = route->previous;
  hs_merge (&all, &route->current);
  uint64_t delay_us = (uint64_t)(_HC_TARGET_FRACTION * (double)target_us);
  double quantile = desc->quantile > 0 ? desc->quantile : _HC_QUANTILE;
  double spared = 1 - _HC_ORDINARY_FRACTION * desc->share;
  if (all.count >= _HC_SAMPLES_MIN)
    delay_us = hs_quantile (&all, quantile > spared ? quantile : spared);
  return delay_us > _HC_DELAY_MIN_US ? delay_us : _HC_DELAY_MIN_US;
}

/* Decides on a copy of a request that is slow, as far as it is not for the
   budget.  */
hc_verdict
hc_decide (const hc_state *state)
{
  if (state->runs >= state->attempts)
    return HC_NO_ATTEMPT;
  if (state->left_us <= state->delay_us)
    return HC_NO_TIME;
  if (state->waiting > 0)
    return HC_SHORT;
  if (!state->has_upstream)
    return HC_NO_UPSTREAM;
  if (state->running + 1 > _HC_FULL_FRACTION * state->slots)
    return HC_SHORT;
  return HC_SEND;
}

/* Name of VERDICT in metrics.  */
const char *
hc_verdict_name (hc_verdict verdict)
{
  static const char *const names[HC_VERDICTS]
      = { "send", "no_attempt", "no_time", "short", "no_upstream" };
  return names[verdict];
}

static bu_terms
_hc_terms (const hc_desc *desc)
{
  return (bu_terms){ .ratio = desc->share,
                     .window_us = _hc_window_us (desc),
                     .vms = 1 };
}

/* Counts the first attempt of a request, which the share of copies is of.  */
void
hc_count_request (bu_retries *budget, const hc_desc *desc, uint64_t now_us)
{
  bu_terms terms = _hc_terms (desc);
  bu_count_request (budget, &terms, now_us);
}

/* Takes a copy from BUDGET; false when the share of the window is used.  Each
   VM uses the share of its own requests, so all keep it together, also while
   they are cut off from each other.  */
bool
hc_take_copy (bu_retries *budget, const hc_desc *desc, uint64_t now_us)
{
  bu_terms terms = _hc_terms (desc);
  return desc->share > 0 && bu_take_retry (budget, &terms, now_us);
}
