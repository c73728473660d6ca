#include "gq.h"

/* Requests beyond its slots that an engine gets, by route tier.  They fill a
   freed slot during the network round trip, 16 ms between regions, in which
   this VM learns of it and sends the next request.  The lowest tiers get none,
   so that more urgent requests can be sent at once.  */
static const uint32_t _gq_extra_requests[GQ_ROUTE_TIERS] = { 3, 2, 0, 0 };
/* Slots reserved for more urgent requests at other VMs.  */
#define _GQ_URGENT_ELSEWHERE_SLOTS 1
/* Slots of each engine that are reserved from the lower tiers where the load
   reports of some VMs arrive late.  */
#define _GQ_RESERVED_SLOTS 1
/* Requests of other VMs that may have ended since their load report.  */
#define _GQ_STALE_RUNNING 1
/* Slots that must stay free after a VM has taken one beyond its slot share, in
   a deployment whose VMs receive each other's load reports late.  */
#define _GQ_BORROW_MARGIN 2
/* Part of the slots of a brittle upstream, as a divisor, that must stay free
   after a VM has taken one beyond those that no other VM fills.  Several may
   do so before they hear of each other, and those that find no room count.  */
#define _GQ_BRITTLE_MARGIN_DIVISOR 3
/* Time after which the VMs have divided the slots of a new upstream.  */
#define _GQ_BRITTLE_NEW_US 600000
/* Assumed time per work unit (a decode step of an engine, a request to a plain
   service) of an upstream that has not been measured yet: that of a fast one,
   so that it gets requests.  */
#define _GQ_ENGINE_UNIT_TIME_US 6000.0
#define _GQ_PLAIN_UNIT_TIME_US 30000.0
/* Prefill time of one prompt token, in decode steps.  */
#define _GQ_PREFILL_STEPS_PER_TOKEN 0.005
/* Cost of distance.  One way between regions takes about 8 ms, and traffic
   between them costs the most: a local engine is preferred unless it is much
   slower or fuller.  A free slot elsewhere is less certain where load reports
   from there arrive late.  */
#define _GQ_SAME_REGION_US 1500.0
#define _GQ_OTHER_REGION_US 80000.0
#define _GQ_REMOTE_LOAD_US 100000.0
/* Weight of a VM's own order of preference among upstreams.  */
#define _GQ_ORDER_WEIGHT 0.3
/* Expected cost of a failed response: the request has to be sent again.  */
#define _GQ_FAILURE_US 800000.0
/* A request is queued as on time only if the time since its arrival plus the
   expected wait is at most this fraction of the latency target; the rest is
   for the response to start.  */
#define _GQ_WAIT_FRACTION 0.6
/* A wait at an on-time rank ends at this fraction of the latency target after
   the arrival.  */
#define _GQ_ON_TIME_FRACTION 0.45
#define _GQ_RETRY_AFTER_MIN_US 250000
/* Fraction of the time to the deadline that a late request may wait: a first
   one, whose caller can retry afterwards, and (LAST) a retry, which has no
   further chance but needs some time for the response.  */
#define _GQ_LATE_WAIT_FRACTION 0.1
#define _GQ_LAST_WAIT_FRACTION 0.35
/* Fraction of the latency target that a retry needs for the network and for
   the response to start.  */
#define _GQ_RETRY_RESPONSE_FRACTION 0.5
/* Longest Retry-After, as a fraction of the time that the caller has left.  */
#define _GQ_RETRY_AFTER_FRACTION (1.0 / 3)
/* Jitter of Retry-After, as a fraction of it, so that callers do not all retry
   at the same time.  */
#define _GQ_SPREAD_FRACTION 0.4

_Static_assert(GQ_RANKS == UT_RANKS, "load reports cover all queue ranks");

/* Queue rank of a request that can be on time.  The team's tier is compared
   first, then the route's.  */
uint32_t
gq_rank (bool has_team_tier, uint32_t team_tier, uint32_t route_tier)
{
  uint32_t team = has_team_tier ? team_tier : 0;
  if (team >= GQ_TEAM_TIERS)
    team = GQ_TEAM_TIERS - 1;
  if (route_tier >= GQ_ROUTE_TIERS)
    route_tier = GQ_ROUTE_TIERS - 1;
  return 2 * (team * GQ_ROUTE_TIERS + route_tier);
}

/* True when DEMAND waits at a late rank.  */
bool
gq_is_late (const gq_demand *demand)
{
  return demand->rank % 2 == 1;
}

/* The rank at which DEMAND waits after VERDICT.  */
uint32_t
gq_queue_rank (const gq_demand *demand, gq_verdict verdict)
{
  return demand->rank - demand->rank % 2 + (verdict == GQ_WAIT_LATE);
}

/* True when UP may get DEMAND, a new request to SERVICE, as far as it is not
   for the rate at which a cold or limited upstream gets requests.  */
bool
gq_usable (const ut_upstream *up, st_str service, const gq_demand *demand,
           uint64_t now_us)
{
  return !up->entry.leaving && !up->evacuated && up->pause_until_us <= now_us
         && el_allows_region (demand->regions[0],
                              st_name_str (&up->entry.region))
         && el_allows_region (demand->regions[1],
                              st_name_str (&up->entry.region))
         && st_equal (st_name_str (&up->entry.service), service)
         && (demand->rollout == NULL
             || vr_allows (demand->rollout, demand->versions,
                           st_name_str (&up->entry.version)));
}

/* True when DEMAND, a new request to SERVICE, may be sent to UP now.  */
bool
gq_may_send (const ut_upstream *up, st_str service, const gq_demand *demand,
             uint64_t now_us)
{
  return gq_usable (up, service, demand, now_us)
         && el_cold_allows (&up->cold, &up->sends, now_us)
         && el_limit_allows (&up->limit, &up->sends, now_us);
}

static bool
_gq_was_tried (const gq_demand *demand, ut_id id)
{
  for (uint32_t i = 0; i < demand->tried_count; i++)
    if (demand->tried[i].index == id.index
        && demand->tried[i].generation == id.generation)
      return true;
  return false;
}

/* Number of requests at UP below which DEMAND may be sent there.  A stream
   that has started gets the extra requests of the next more urgent tier, and
   no slot is reserved from it for delayed load reports: with a lower limit it
   would find no room as long as requests of that tier arrive.  */
static uint32_t
_gq_limit (const ut_upstream *up, const gq_demand *demand, bool brittle)
{
  uint32_t limit = up->entry.slots > 0 ? up->entry.slots : 1;
  uint32_t tier
      = demand->tier < GQ_ROUTE_TIERS ? demand->tier : GQ_ROUTE_TIERS - 1;
  uint32_t reserved = 0;
  if (!demand->engine)
    return limit;
  if (demand->response_started && tier > 0)
    tier--;
  if (!demand->remote_loads_delayed)
    limit += brittle ? 0 : _gq_extra_requests[tier];
  else if (demand->tier >= 2 && !demand->response_started)
    reserved = _GQ_RESERVED_SLOTS;
  if (demand->tier > 0 && demand->urgent_elsewhere)
    reserved += _GQ_URGENT_ELSEWHERE_SLOTS;
  return limit > reserved ? limit - reserved : 1;
}

/* True when the brittle upstream ID, which may have LIMIT requests of all VMs,
   has room for DEMAND.  A VM fills the slots that no other VM does, and one
   more where several are free and no other VM waits for any.  */
static bool
_gq_brittle_has_room (const ut_table *t, ut_id id, const gq_demand *demand,
                      uint32_t limit, uint64_t now_us)
{
  const ut_upstream *up = ut_query (t, id);
  uint32_t running = up->own_running + up->peer_running;
  uint32_t assigned = ut_query_assigned (t, id);
  if (running >= limit)
    return false;
  if (up->own_running < assigned)
    return true;
  /* All VMs find a process that has just started without a request.  */
  if (now_us - up->known_us < _GQ_BRITTLE_NEW_US)
    return false;
  if (running == 0)
    return true;
  return up->own_running == assigned
         && running + limit / _GQ_BRITTLE_MARGIN_DIVISOR < limit
         && ut_query_contenders (t, demand->rank, now_us).count == 0;
}

/* True when ID has room for DEMAND.  While requests wait at CONTENDERS as
   well, the slots are divided among the VMs.  Where load reports arrive late,
   this VM fills its slot share by its own count, and further slots only while
   several are free, since another VM may be about to fill the last ones.  */
static bool
_gq_has_room (const ut_table *t, ut_id id, const gq_demand *demand,
              const ut_contenders *contenders, uint64_t now_us)
{
  const ut_upstream *up = ut_query (t, id);
  uint32_t running = up->own_running + up->peer_running;
  bool brittle = ut_query_brittle (t, id) != NULL;
  uint32_t limit = _gq_limit (up, demand, brittle);
  if (brittle)
    return _gq_brittle_has_room (t, id, demand, limit, now_us);
  if (!demand->remote_loads_delayed)
    return running < limit
           && (contenders->count == 0
               || up->own_running
                      < ut_query_slot_share (t, id, contenders, limit));
  if (up->own_running < up->slot_share)
    return running < limit + _GQ_STALE_RUNNING;
  return running + _GQ_BORROW_MARGIN < limit;
}

/* Cost of sending DEMAND to UP, in microseconds: the expected time to respond
   plus penalties for distance, failures, cold start and order of preference.
 */
static double
_gq_cost (const ut_table *t, ut_id id, const ut_upstream *up,
          const gq_demand *demand, uint64_t now_us)
{
  static const double distance_us[]
      = { 0, _GQ_SAME_REGION_US, _GQ_OTHER_REGION_US };
  uint32_t running = up->own_running + up->peer_running;
  uint32_t slots = up->entry.slots > 0 ? up->entry.slots : 1;
  double unit_time = up->unit_time_us > 0 ? up->unit_time_us
                     : demand->engine     ? _GQ_ENGINE_UNIT_TIME_US
                                          : _GQ_PLAIN_UNIT_TIME_US;
  uint32_t distance = ut_query_distance (t, id);
  double cost
      = distance_us[distance]
        + (demand->remote_loads_delayed && distance > 0 ? _GQ_REMOTE_LOAD_US
                                                        : 0)
        + _GQ_FAILURE_US * ut_query_failure_ratio (t, id, now_us);
  if (demand->engine)
    {
      double tokens = (double)up->own_prefill_tokens + up->peer_prefill_tokens
                      + demand->prompt_tokens;
      cost += unit_time * _GQ_PREFILL_STEPS_PER_TOKEN * tokens;
      /* Decoding is included: a slow engine occupies the slot longer.  */
      cost += unit_time * 20 * (1 + (double)running / slots);
    }
  else
    cost += unit_time * (1 + (double)running / slots);
  if (up->entry.cold_ms > 0)
    cost *= 2;
  return cost * (1 + _GQ_ORDER_WEIGHT * up->order_penalty);
}

/* Upstreams that are considered; the next set only when this one is empty.  */
typedef enum
{
  _GQ_PREFERRED = 0, /* neither tried nor avoided */
  _GQ_AVOIDED,       /* not tried */
  _GQ_ANY
} _gq_candidate_set;

static bool
_gq_is_candidate (_gq_candidate_set candidates, const ut_upstream *up,
                  bool tried, uint64_t now_us)
{
  switch (candidates)
    {
    case _GQ_PREFERRED:
      return !tried && up->avoid_until_us <= now_us;
    case _GQ_AVOIDED:
      return !tried;
    case _GQ_ANY:
      return true;
    }
  return true;
}

/* Chooses the best upstream of SERVICE for DEMAND; generation 0 when none has
   room.  RANDOM breaks near ties, so that several VMs do not all choose the
   same one.  Upstreams that were tried or are being avoided are chosen only
   when there is no other.  */
ut_id
gq_choose_upstream (const ut_table *t, st_str service, const gq_demand *demand,
                    uint64_t now_us, uint32_t random)
{
  ut_contenders contenders = { 0 };
  if (demand->engine)
    contenders = ut_query_contenders (t, demand->rank, now_us);
  for (_gq_candidate_set candidates = _GQ_PREFERRED; candidates <= _GQ_ANY;
       candidates++)
    {
      ut_id best = { 0, 0 };
      double best_cost = 0;
      bool any_candidate = false;
      ut_id id = { 0, 0 };
      while (ut_next (t, &id))
        {
          const ut_upstream *up = ut_query (t, id);
          if (!gq_usable (up, service, demand, now_us)
              || !el_limit_allows (&up->limit, &up->sends, now_us)
              || !_gq_is_candidate (candidates, up, _gq_was_tried (demand, id),
                                    now_us))
            continue;
          any_candidate = true;
          if (!el_cold_allows (&up->cold, &up->sends, now_us)
              || !_gq_has_room (t, id, demand, &contenders, now_us))
            continue;
          random = random * 1664525u + 1013904223u;
          double cost = _gq_cost (t, id, up, demand, now_us)
                        * (1.0 + 0.1 * (random >> 16) / 65536.0);
          if (el_limit_needs_check (&up->limit, now_us))
            cost = 0;
          if (best.generation == 0 || cost < best_cost)
            {
              best = id;
              best_cost = cost;
            }
        }
      if (any_candidate)
        return best;
    }
  return (ut_id){ 0, 0 };
}

/* Jitter of a Retry-After, as a fraction of it.  */
static double
_gq_spread (uint32_t random)
{
  return _GQ_SPREAD_FRACTION * (random >> 8) / 16777216.0;
}

/* Retry-After of a refused caller, in microseconds.  It is the expected wait
   where a retry can still be on time.  Otherwise it is up to a third of the
   time left, so that a burst is over: a second refusal would waste the wait.
 */
static uint64_t
_gq_retry_after_us (const gq_demand *demand, double expected_us,
                    uint64_t now_us, uint32_t random)
{
  double left = demand->deadline_us > now_us
                    ? (double)(demand->deadline_us - now_us)
                    : 0;
  double spent = (double)(now_us - demand->arrived_us);
  double target = (double)demand->target_us;
  double soon = expected_us > _GQ_RETRY_AFTER_MIN_US ? expected_us
                                                     : _GQ_RETRY_AFTER_MIN_US;
  if (spent + soon + _GQ_RETRY_RESPONSE_FRACTION * target <= target)
    return (uint64_t)soon;
  double last = _GQ_RETRY_AFTER_FRACTION * left * (1 - _gq_spread (random));
  return (uint64_t)(last > _GQ_RETRY_AFTER_MIN_US ? last
                                                  : _GQ_RETRY_AFTER_MIN_US);
}

/* Number of waiting requests of RANK and more urgent ones, on all VMs.  */
static uint32_t
_gq_ahead (const gq_backlog *backlog, uint32_t rank)
{
  uint32_t ahead = 0;
  for (uint32_t i = 0; i <= rank; i++)
    ahead += backlog->waiting[i] + backlog->peer_waiting[i];
  return ahead;
}

/* How long a late request may wait, in microseconds, SPENT_US after its
   arrival and LEFT_US before its deadline.  */
static uint64_t
_gq_late_wait_us (const gq_demand *demand, uint64_t spent_us, uint64_t left_us)
{
  double fraction = demand->is_caller_retry ? _GQ_LAST_WAIT_FRACTION
                                            : _GQ_LATE_WAIT_FRACTION;
  uint64_t wait = (uint64_t)(fraction * (double)left_us);
  if (demand->max_wait_us == 0 || spent_us + wait <= demand->max_wait_us)
    return wait;
  return demand->max_wait_us > spent_us ? demand->max_wait_us - spent_us : 0;
}

/* Decides on a request for which gq_choose_upstream found no room; RANDOM
   spreads the callers that are refused.  Call it again when the wait is over.
 */
gq_verdict
gq_admit (const gq_backlog *backlog, const gq_demand *demand, uint64_t now_us,
          uint32_t random, gq_decision *out)
{
  double slots = backlog->slots > 0 ? backlog->slots : 1;
  uint32_t rank = gq_queue_rank (demand, GQ_WAIT);
  uint32_t late_rank = gq_queue_rank (demand, GQ_WAIT_LATE);
  double expected
      = backlog->service_us * (_gq_ahead (backlog, rank) + 1) / slots;
  if (backlog->slots == 0 && backlog->paused_us > 0)
    expected = (double)backlog->paused_us;
  uint64_t left
      = demand->deadline_us > now_us ? demand->deadline_us - now_us : 0;
  uint64_t spent = now_us - demand->arrived_us;
  uint64_t allowed = (uint64_t)(_GQ_WAIT_FRACTION * (double)demand->target_us);
  uint64_t on_time_wait_us
      = (uint64_t)(_GQ_ON_TIME_FRACTION * (double)demand->target_us);
  out->expected_us = (uint64_t)expected;
  out->retry_after_us = _gq_retry_after_us (demand, expected, now_us, random);
  if (backlog->slots == 0 && out->retry_after_us < backlog->paused_us)
    out->retry_after_us
        = (uint64_t)((double)backlog->paused_us * (1 + _gq_spread (random)));
  if (spent < on_time_wait_us && left > 0 && !demand->is_caller_retry
      && ((backlog->slots == 0 && backlog->paused_us == 0)
          || out->expected_us + spent <= allowed))
    {
      /* Without any slot it waits too: an upstream may appear.  */
      out->wait_until_us = demand->arrived_us + on_time_wait_us;
      return GQ_WAIT;
    }
  uint64_t late_wait = _gq_late_wait_us (demand, spent, left);
  expected
      = backlog->service_us * (_gq_ahead (backlog, late_rank) + 1) / slots;
  if (!demand->engine || backlog->slots == 0 || demand->waited_as_late
      || expected > (double)late_wait)
    return GQ_REFUSE;
  out->expected_us = (uint64_t)expected;
  out->wait_until_us = now_us + late_wait;
  return GQ_WAIT_LATE;
}
