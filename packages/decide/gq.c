#include "gq.h"

/* Requests beyond its slots that an engine gets, by the route's tier: the
   queue of the engine hides the time until a freed slot is seen here and
   filled, two ways through the network, 16 ms between regions.  The lowest
   tiers get none, so that what is more urgent finds a place at once.  */
static const uint32_t _gq_extra[GQ_ROUTE_TIERS] = { 3, 2, 0, 0 };
/* Slots that are left to more urgent requests at other VMs.  */
#define _GQ_ELSEWHERE_SLOTS 1
/* The same where the loads of some VMs come late: slots that the lower tiers
   leave free of each engine.  */
#define _GQ_RESERVED_SLOTS 1
/* Requests of others that may be seen for longer than they run.  */
#define _GQ_LATE_REPORTS 1
/* Slots that have to be free for one that is not this VM's to be taken, in a
   deployment whose VMs hear of each other late.  */
#define _GQ_BORROW_MARGIN 2
/* Pace of an upstream that has not been measured: like a fast one, so that
   it gets measured.  */
#define _GQ_ENGINE_PACE_US 6000.0
#define _GQ_PLAIN_PACE_US 30000.0
/* Time to read one prompt token, relative to the time of one step.  */
#define _GQ_READ_STEPS_PER_TOKEN 0.005
/* One way between regions is some 8 ms, and traffic there is the dearest: an
   engine near by is taken as long as it is not much slower or fuller.  Where
   other cells' loads are known late, a place there is worth less.  */
#define _GQ_SAME_REGION_US 1500.0
#define _GQ_OTHER_REGION_US 80000.0
#define _GQ_OTHER_CELL_US 100000.0
/* Weight of a VM's own order of preference.  */
#define _GQ_BIAS 0.3
/* Expected cost of a failed answer: it has to be sent again.  */
#define _GQ_FAILURE_US 800000.0
/* Part of the target that may be spent waiting; the rest is for the answer
   to begin.  */
#define _GQ_WAIT_PART 0.6
/* Longest wait among the requests that can be on time, as part of the
   target.  */
#define _GQ_ON_TIME_PART 0.45
#define _GQ_RETRY_MIN_US 250000
/* Part of the time left that a request that will be late may wait: its caller
   can come back afterwards.  One that has come back has no other chance, but
   needs some time for the answer.  */
#define _GQ_LATE_WAIT_PART 0.1
#define _GQ_LAST_WAIT_PART 0.35
/* Part of the target that a caller that comes back needs for the way and for
   the answer to begin.  */
#define _GQ_RETURN_PART 0.5
/* Callers wait for at most this part of the time that they have left.  */
#define _GQ_RETRY_PART (1.0 / 3)
/* Callers are spread over this part of the wait, so that they do not come
   back together.  */
#define _GQ_SPREAD_PART 0.4

_Static_assert(GQ_RANKS == UT_RANKS, "reports know all ranks");

/* Place of a request in the order in which requests go.  A team's tier goes
   before the route's; within a team the route's tells.  */
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

/* True when DEMAND waits among those that will be late.  */
bool
gq_is_late (const gq_demand *demand)
{
  return demand->rank % 2 == 1;
}

/* The rank of DEMAND when it waits as VERDICT says.  */
uint32_t
gq_rank_in (const gq_demand *demand, gq_verdict verdict)
{
  return demand->rank - demand->rank % 2 + (verdict == GQ_WAIT_LATE);
}

/* True when UP may get new requests of SERVICE.  */
bool
gq_usable (const ut_upstream *up, st_str service)
{
  return !up->entry.leaving
         && st_equal (st_name_str (&up->entry.service), service);
}

static bool
_gq_tried (const gq_demand *demand, ut_id id)
{
  for (uint32_t i = 0; i < demand->tried_count; i++)
    if (demand->tried[i].index == id.index
        && demand->tried[i].generation == id.generation)
      return true;
  return false;
}

/* Requests that UP may have for one of DEMAND to be sent there.  A stream that
   has begun goes with the next tier up, as in the order of waiting: with fewer
   places it would find none as long as requests of that tier come.  */
static uint32_t
_gq_limit (const ut_upstream *up, const gq_demand *demand)
{
  uint32_t limit = up->entry.slots > 0 ? up->entry.slots : 1;
  uint32_t tier
      = demand->tier < GQ_ROUTE_TIERS ? demand->tier : GQ_ROUTE_TIERS - 1;
  uint32_t reserved = 0;
  if (!demand->engine)
    return limit;
  if (demand->begun && tier > 0)
    tier--;
  if (!demand->several_cells)
    limit += _gq_extra[tier];
  else if (demand->tier >= 2 && !demand->begun)
    reserved = _GQ_RESERVED_SLOTS;
  if (demand->tier > 0 && demand->urgent_elsewhere)
    reserved += _GQ_ELSEWHERE_SLOTS;
  return limit > reserved ? limit - reserved : 1;
}

/* True when ID has a slot for DEMAND.  While requests wait at RIVALS as well,
   what is free is divided.  A slot that is this VM's to fill is
   taken by its own count; others only while some are seen to be free, since
   another VM may be about to take the last ones.  */
static bool
_gq_has_room (const ut_table *t, ut_id id, const gq_demand *demand,
              const ut_rivals *rivals)
{
  const ut_upstream *up = ut_query (t, id);
  uint32_t running = up->own_running + up->peer_running;
  uint32_t limit = _gq_limit (up, demand);
  if (!demand->several_cells)
    return running < limit
           && (rivals->count == 0
               || up->own_running < ut_query_part (t, id, rivals, limit));
  if (up->own_running < up->share)
    return running < limit + _GQ_LATE_REPORTS;
  return running + _GQ_BORROW_MARGIN < limit;
}

/* Expected time until the answer begins, in microseconds.  */
static double
_gq_cost (const ut_table *t, ut_id id, const ut_upstream *up,
          const gq_demand *demand, uint64_t now_us)
{
  static const double far[] = { 0, _GQ_SAME_REGION_US, _GQ_OTHER_REGION_US };
  uint32_t running = up->own_running + up->peer_running;
  uint32_t slots = up->entry.slots > 0 ? up->entry.slots : 1;
  double pace = up->pace_us > 0  ? up->pace_us
                : demand->engine ? _GQ_ENGINE_PACE_US
                                 : _GQ_PLAIN_PACE_US;
  uint32_t distance = ut_query_distance (t, id);
  double cost
      = far[distance]
        + (demand->several_cells && distance > 0 ? _GQ_OTHER_CELL_US : 0)
        + _GQ_FAILURE_US * ut_query_failure_share (t, id, now_us);
  if (demand->engine)
    {
      double tokens = (double)up->own_unread_tokens + up->peer_unread_tokens
                      + demand->prompt_tokens;
      cost += pace * _GQ_READ_STEPS_PER_TOKEN * tokens;
      /* The whole answer counts as well: a slow engine holds the slot.  */
      cost += pace * 20 * (1 + (double)running / slots);
    }
  else
    cost += pace * (1 + (double)running / slots);
  if (up->entry.cold_ms > 0)
    cost *= 2;
  return cost * (1 + _GQ_BIAS * up->bias);
}

/* Which upstreams are looked at; the next kind only when there is none.  */
typedef enum
{
  _GQ_BEST = 0, /* neither tried nor avoided */
  _GQ_AVOIDED,  /* not tried */
  _GQ_ANY
} _gq_choice;

static bool
_gq_chosen (_gq_choice choice, const ut_upstream *up, bool tried,
            uint64_t now_us)
{
  switch (choice)
    {
    case _GQ_BEST:
      return !tried && up->avoid_until_us <= now_us;
    case _GQ_AVOIDED:
      return !tried;
    case _GQ_ANY:
      return true;
    }
  return true;
}

/* Best upstream of SERVICE for DEMAND; generation 0 when none has room.
   RANDOM breaks near ties, so that several VMs do not all choose the same
   one.  Upstreams that were tried or that are avoided are taken only when
   there is no other.  */
ut_id
gq_place (const ut_table *t, st_str service, const gq_demand *demand,
          uint64_t now_us, uint32_t random)
{
  ut_rivals rivals = { 0 };
  if (demand->engine)
    rivals = ut_query_rivals (t, demand->rank, now_us);
  for (_gq_choice choice = _GQ_BEST; choice <= _GQ_ANY; choice++)
    {
      ut_id best = { 0, 0 };
      double best_cost = 0;
      bool some = false;
      ut_id id = { 0, 0 };
      while (ut_next (t, &id))
        {
          const ut_upstream *up = ut_query (t, id);
          if (!gq_usable (up, service)
              || !_gq_chosen (choice, up, _gq_tried (demand, id), now_us))
            continue;
          some = true;
          if (!_gq_has_room (t, id, demand, &rivals))
            continue;
          random = random * 1664525u + 1013904223u;
          double cost = _gq_cost (t, id, up, demand, now_us)
                        * (1.0 + 0.1 * (random >> 16) / 65536.0);
          if (best.generation == 0 || cost < best_cost)
            {
              best = id;
              best_cost = cost;
            }
        }
      if (some)
        return best;
    }
  return (ut_id){ 0, 0 };
}

/* When a caller that is refused is to come back.  Where it can still be on
   time, that is when its turn would have come; else as late as it can, when a
   burst has gone, since a caller that is refused twice has waited in vain.  */
static uint64_t
_gq_retry_after_us (const gq_demand *demand, double expected_us,
                    uint64_t now_us, uint32_t random)
{
  double left = demand->deadline_us > now_us
                    ? (double)(demand->deadline_us - now_us)
                    : 0;
  double spent = (double)(now_us - demand->arrived_us);
  double target = (double)demand->target_us;
  double soon
      = expected_us > _GQ_RETRY_MIN_US ? expected_us : _GQ_RETRY_MIN_US;
  if (spent + soon + _GQ_RETURN_PART * target <= target)
    return (uint64_t)soon;
  double spread = _GQ_SPREAD_PART * (random >> 8) / 16777216.0;
  double last = _GQ_RETRY_PART * left * (1 - spread);
  return (uint64_t)(last > _GQ_RETRY_MIN_US ? last : _GQ_RETRY_MIN_US);
}

/* Requests that go before one of RANK, on all VMs.  */
static uint32_t
_gq_ahead (const gq_backlog *backlog, uint32_t rank)
{
  uint32_t ahead = 0;
  for (uint32_t i = 0; i <= rank; i++)
    ahead += backlog->waiting[i] + backlog->peer_waiting[i];
  return ahead;
}

/* How long a request that will be late may wait, SPENT_US after its arrival
   and LEFT_US before its deadline.  */
static uint64_t
_gq_late_wait_us (const gq_demand *demand, uint64_t spent_us, uint64_t left_us)
{
  double part = demand->returned ? _GQ_LAST_WAIT_PART : _GQ_LATE_WAIT_PART;
  uint64_t wait = (uint64_t)(part * (double)left_us);
  if (demand->pause_us == 0 || spent_us + wait <= demand->pause_us)
    return wait;
  return demand->pause_us > spent_us ? demand->pause_us - spent_us : 0;
}

/* Decides on a request for which gq_place found no room; RANDOM spreads the
   callers that are refused.  To be asked again when the wait is over.  */
gq_verdict
gq_admit (const gq_backlog *backlog, const gq_demand *demand, uint64_t now_us,
          uint32_t random, gq_decision *out)
{
  double slots = backlog->slots > 0 ? backlog->slots : 1;
  uint32_t rank = gq_rank_in (demand, GQ_WAIT);
  uint32_t late_rank = gq_rank_in (demand, GQ_WAIT_LATE);
  double expected
      = backlog->service_us * (_gq_ahead (backlog, rank) + 1) / slots;
  uint64_t left
      = demand->deadline_us > now_us ? demand->deadline_us - now_us : 0;
  uint64_t spent = now_us - demand->arrived_us;
  uint64_t allowed = (uint64_t)(_GQ_WAIT_PART * (double)demand->target_us);
  uint64_t patience = (uint64_t)(_GQ_ON_TIME_PART * (double)demand->target_us);
  out->expected_us = (uint64_t)expected;
  out->retry_after_us = _gq_retry_after_us (demand, expected, now_us, random);
  if (spent < patience && left > 0 && !demand->returned
      && (backlog->slots == 0 || out->expected_us + spent <= allowed))
    {
      /* Without slots nobody serves it now; one may appear.  */
      out->wait_until_us = demand->arrived_us + patience;
      return GQ_WAIT;
    }
  uint64_t late_wait = _gq_late_wait_us (demand, spent, left);
  expected
      = backlog->service_us * (_gq_ahead (backlog, late_rank) + 1) / slots;
  if (!demand->engine || backlog->slots == 0 || demand->waited_late
      || expected > (double)late_wait)
    return GQ_REFUSE;
  out->expected_us = (uint64_t)expected;
  out->wait_until_us = now_us + late_wait;
  return GQ_WAIT_LATE;
}
