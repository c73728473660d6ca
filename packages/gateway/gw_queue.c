/* Admit and queue: decides whether a request is dispatched, waits or is
   refused, and which one is dispatched next, by the rules of gq.h.  */
#include "gw_internal.h"

/* Shortest gap between events after which the caller of a stream leaves, and
   the fraction of the gap that a request may spend in the queue.  The rest is
   for the upstream to produce the next event.  */
#define _GW_STREAM_WAIT_MIN_US 2000000
#define _GW_STREAM_WAIT_FRACTION 0.75
/* Reserve of a quota for the most urgent requests: a fraction of its slack,
   and at most its rate for this time.  */
#define _GW_RESERVE_SLACK_FRACTION 0.5
#define _GW_RESERVE_MAX_S 0.25
/* Retry-After for a caller that resumes a stream.  It is short since the
   caller has already waited.  */
#define _GW_STARTED_RETRY_AFTER_US 250000
/* Assumed mean time of a request in a slot until the first one has ended.  */
#define _GW_DEFAULT_ENGINE_SERVICE_US 600000.0
#define _GW_DEFAULT_PLAIN_SERVICE_US 40000.0

/* Ranks R, whose response has started, before new requests of the next more
   urgent tier: its work is lost if it is not resumed.  R is not in a
   queue.  */
static void
_gw_mark_started (_gw_request *r)
{
  r->demand.rank = gq_queue_rank (&r->demand, GQ_WAIT);
  if (!r->demand.response_started && r->demand.rank > 0)
    r->demand.rank -= 2;
  r->demand.response_started = true;
}

static void
_gw_enqueue (_gw_request *r, bool at_front)
{
  if (r->events > 0)
    _gw_mark_started (r);
  _gw_queue *q = &_gw_service_of (r)->queue;
  uint32_t rank = r->demand.rank;
  r->state = _GW_QUEUED;
  r->next = NULL;
  if (q->first[rank] == NULL)
    q->first[rank] = q->last[rank] = r;
  else if (at_front)
    {
      r->next = q->first[rank];
      q->first[rank] = r;
    }
  else
    {
      q->last[rank]->next = r;
      q->last[rank] = r;
    }
  q->count[rank]++;
  _gw_arm_queue_timer (r->gw);
  _gw_load_changed (r->gw);
}

/* Removes R from its queue.  */
void
_gw_dequeue (_gw_request *r)
{
  _gw_queue *q = &_gw_service_of (r)->queue;
  uint32_t rank = r->demand.rank;
  _gw_request *previous = NULL;
  for (_gw_request *at = q->first[rank]; at != NULL; at = at->next)
    {
      if (at == r)
        {
          if (previous != NULL)
            previous->next = r->next;
          else
            q->first[rank] = r->next;
          if (q->last[rank] == r)
            q->last[rank] = previous;
          q->count[rank]--;
          break;
        }
      previous = at;
    }
  r->next = NULL;
  _gw_load_changed (r->gw);
}

/* True when a request as urgent as R waits that may be served wherever R may:
   it found no upstream, so R would find none.  */
static bool
_gw_any_waits_before (const _gw_queue *q, const _gw_request *r)
{
  for (uint32_t i = 0; i <= r->demand.rank; i++)
    for (const _gw_request *w = q->first[i]; w != NULL; w = w->next)
      if ((r->region_mask & ~w->region_mask) == 0)
        return true;
  return false;
}

static ut_id
_gw_choose_upstream (_gw_request *r)
{
  gw_task *gw = r->gw;
  uint32_t waiting[GQ_RANKS];
  _gw_peer_waiting (gw, waiting);
  r->demand.urgent_elsewhere = false;
  r->demand.remote_loads_delayed = gw->group.remote_loads_delayed;
  for (uint32_t i = 0; i < r->demand.rank; i++)
    r->demand.urgent_elsewhere |= waiting[i] > 0;
  ut_id to = _gw_choose_load_test (r);
  if (to.generation != 0)
    return to;
  _gw_choose_versions (r);
  to = gq_choose_upstream (gw->upstreams, st_name_str (&r->service),
                           &r->demand, gw->now_us, _gw_random (gw));
  if (to.generation != 0 || r->demand.versions != VR_TARGET)
    return to;
  /* The new version has no room.  */
  r->demand.versions = VR_OTHERS;
  return gq_choose_upstream (gw->upstreams, st_name_str (&r->service),
                             &r->demand, gw->now_us, _gw_random (gw));
}

/* Time in microseconds after which UP takes R, which it does not yet because
   it asked for a pause or because this VM has used its part of the limit that
   it named; 0 when it takes R now, or not at all.  */
static uint64_t
_gw_pause_us (const _gw_request *r, const ut_upstream *up)
{
  uint64_t now_us = r->gw->now_us;
  uint64_t wait_us = el_limit_wait_us (&up->limit, &up->sends, now_us);
  if (wait_us == UINT64_MAX)
    return 0;
  if (up->pause_until_us > now_us + wait_us)
    wait_us = up->pause_until_us - now_us;
  return gq_usable (up, st_name_str (&r->service), &r->demand,
                    now_us + wait_us)
             ? wait_us
             : 0;
}

static gq_backlog
_gw_backlog (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_service *service = _gw_service_of (r);
  gq_backlog backlog = { .service_us = service->service_us };
  gq_demand anywhere = r->demand;
  uint32_t slots_anywhere = 0;
  ut_id id = { 0, 0 };
  anywhere.regions[0] = anywhere.regions[1] = NULL;
  if (backlog.service_us <= 0)
    backlog.service_us = r->engine ? _GW_DEFAULT_ENGINE_SERVICE_US
                                   : _GW_DEFAULT_PLAIN_SERVICE_US;
  while (ut_next (gw->upstreams, &id))
    {
      const ut_upstream *up = ut_query (gw->upstreams, id);
      uint64_t pause_us = _gw_pause_us (r, up);
      if (pause_us > 0
          && (backlog.paused_us == 0 || pause_us < backlog.paused_us))
        backlog.paused_us = pause_us;
      if (!el_limit_allows (&up->limit, &up->sends, gw->now_us))
        continue;
      if (gq_usable (up, st_name_str (&r->service), &anywhere, gw->now_us))
        slots_anywhere += up->entry.slots > 0 ? up->entry.slots : 1;
      if (!gq_usable (up, st_name_str (&r->service), &r->demand, gw->now_us))
        continue;
      backlog.slots += up->entry.slots > 0 ? up->entry.slots : 1;
      backlog.running += up->own_running + up->peer_running;
    }
  for (uint32_t i = 0; i < GQ_RANKS; i++)
    backlog.waiting[i] = service->queue.count[i];
  _gw_peer_waiting (gw, backlog.peer_waiting);
  /* Of what waits, the part that competes for the regions of R.  */
  for (uint32_t i = 0; i < GQ_RANKS && backlog.slots < slots_anywhere; i++)
    {
      backlog.waiting[i] = backlog.waiting[i] * backlog.slots / slots_anywhere;
      backlog.peer_waiting[i]
          = backlog.peer_waiting[i] * backlog.slots / slots_anywhere;
    }
  return backlog;
}

/* Gap between events in microseconds after which the caller of stream R
   leaves: the longest of the minimum, four times the latency target and eight
   times the route's event gap.  */
uint64_t
_gw_stream_tolerance_us (const _gw_request *r)
{
  uint64_t wait_us = _GW_STREAM_WAIT_MIN_US;
  uint64_t target_us = 4 * r->demand.target_us;
  uint64_t gap_us = 8 * (uint64_t)r->route->max_event_gap_ms * CK_MS_US;
  wait_us = target_us > wait_us ? target_us : wait_us;
  return gap_us > wait_us ? gap_us : wait_us;
}

/* Longest time in microseconds that stream R may wait in the queue.  */
static uint64_t
_gw_stream_wait_us (const _gw_request *r)
{
  return (uint64_t)(_GW_STREAM_WAIT_FRACTION
                    * (double)_gw_stream_tolerance_us (r));
}

/* Queues R, or refuses it for REASON.  A stream that has started always goes
   to the front and is not refused, a late request always goes to the back, and
   others go to the front where AT_FRONT.  */
static void
_gw_wait_or_refuse (_gw_request *r, bool at_front, const char *reason)
{
  gw_task *gw = r->gw;
  if (r->demand.response_started || r->events > 0)
    {
      r->queue_timeout_us = gw->now_us + _gw_stream_wait_us (r);
      _gw_enqueue (r, true);
      return;
    }
  gq_backlog backlog = _gw_backlog (r);
  gq_decision decision = { 0 };
  if (r->route->kind == RC_STREAM)
    r->demand.max_wait_us = _gw_stream_wait_us (r);
  gq_verdict verdict = gq_admit (&backlog, &r->demand, gw->now_us,
                                 _gw_random (gw), &decision);
  uint32_t rank = gq_queue_rank (&r->demand, verdict);
  LO_EVENT (verdict == GQ_REFUSE ? "refuse" : "queue", st_name_str (&r->id),
            LO_INT ("rank", rank), LO_BOOL ("late", verdict == GQ_WAIT_LATE),
            LO_BOOL ("returned", r->demand.is_caller_retry),
            LO_INT ("left_ms", (r->end_us - gw->now_us) / CK_MS_US),
            LO_INT ("expected_wait_ms", decision.expected_us / CK_MS_US),
            LO_INT ("slots", backlog.slots),
            LO_INT ("running", backlog.running),
            LO_INT ("waiting_here", backlog.waiting[rank]),
            LO_INT ("waiting_elsewhere", backlog.peer_waiting[rank]));
  switch (verdict)
    {
    case GQ_WAIT_LATE:
      r->demand.waited_as_late = true;
      at_front = false;
      /* Fall through.  */
    case GQ_WAIT:
      r->demand.rank = rank;
      r->queue_timeout_us = decision.wait_until_us;
      _gw_enqueue (r, at_front);
      return;
    case GQ_REFUSE:
      _gw_refuse (r, 503, reason, decision.retry_after_us);
      return;
    }
}

/* True when V may be stopped to free its slot for R: V is a stream of the same
   service and a less urgent route tier that may run once more and then
   resumes.  */
static bool
_gw_is_preemptible (const _gw_request *v, const _gw_request *r)
{
  return v->exchange != NULL && !v->is_forwarded && v->route->kind == RC_STREAM
         && v->retryable && v->demand.tier > r->demand.tier
         && v->runs + 1 < v->route->attempts
         && v->attempt_count + 1 < _GW_ATTEMPTS_MAX
         && st_equal (st_name_str (&v->service), st_name_str (&r->service));
}

/* True when A is preempted before B: the less urgent one first, then the one
   that has fewer events.  */
static bool
_gw_preempt_before (const _gw_request *a, const _gw_request *b)
{
  if (a->demand.tier != b->demand.tier)
    return a->demand.tier > b->demand.tier;
  return a->events < b->events;
}

/* Stops a less urgent stream of this VM, queues it to be resumed later, and
   dispatches R to its slot.  False when there is no such stream, its
   upstream may get no new requests, or no retry is left for it.  */
static bool
_gw_preempt_for (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_request *victim = NULL;
  for (uint32_t i = 0; i < gw->used; i++)
    {
      _gw_request *v = &gw->requests[i];
      if (v->state != _GW_FREE && _gw_is_preemptible (v, r)
          && (victim == NULL || _gw_preempt_before (v, victim)))
        victim = v;
    }
  if (victim == NULL)
    return false;
  ut_id to = victim->upstream;
  const ut_upstream *up = ut_query (gw->upstreams, to);
  if (up == NULL
      || !gq_may_send (up, st_name_str (&r->service), &r->demand, gw->now_us)
      || !_gw_take_retry (victim))
    return false;
  LO_EVENT ("preempt", st_name_str (&victim->id),
            LO_STR ("for", st_name_str (&r->id)),
            LO_STR ("upstream", st_name_str (&victim->upstream_id)),
            LO_INT ("tier", victim->demand.tier),
            LO_INT ("events", victim->events));
  uc_exchange *x = victim->exchange;
  _gw_end_exchange (victim, UT_ABANDONED);
  uc_cancel (x);
  victim->runs++;
  victim->queue_timeout_us
      = (victim->last_event_us > 0 ? victim->last_event_us
                                   : victim->demand.arrived_us)
        + _gw_stream_wait_us (victim);
  _gw_enqueue (victim, true);
  _gw_dispatch (r, to);
  return true;
}

/* Amount of its team's quota that R must leave as a reserve.  Requests to
   plain services reserve nothing: they are small, and others gain nothing if
   they wait.  Neither does a stream that its caller resumes: if it is refused,
   all that the caller has received is lost, of the longest streams most
   often.  */
static double
_gw_quota_reserve (const _gw_request *r)
{
  if (r->demand.tier == 0 || !r->engine || r->has_last_event)
    return 0;
  double of_slack
      = _GW_RESERVE_SLACK_FRACTION * _gw_quota_slack (r->gw, r->team);
  double of_rate = _GW_RESERVE_MAX_S * r->team->rate;
  return of_slack < of_rate ? of_slack : of_rate;
}

static void
_gw_refuse_for_quota (_gw_request *r, uint64_t retry_after_us)
{
  gw_task *gw = r->gw;
  const bu_quota *a = &_gw_find_team (gw, r->team->name)->quota;
  const char *bound = bu_bound_name (bu_query_bound (a));
  LO_EVENT ("over_quota", st_name_str (&r->id), LO_STR ("team", r->team->name),
            LO_CSTR ("bound", bound), LO_INT ("asked", r->quota),
            LO_INT ("left", a->level), LO_INT ("held", a->held),
            LO_INT ("urgent_reserve", _gw_quota_reserve (r)),
            LO_INT ("silent_reserve", bu_query_reserved (a)),
            LO_INT ("unheard_percent", 100 * (a->unheard + a->silent)),
            LO_INT ("reports_age_ms", _gw_reports_age_us (gw) / CK_MS_US),
            LO_INT ("rate", a->rate), LO_INT ("burst", a->burst),
            LO_INT ("config", rc_query_version (r->config)));
  if (gw->desc.metrics != NULL)
    mt_add (gw->desc.metrics,
            mt_counter (gw->desc.metrics, "gateway_over_quota_total", "team",
                        r->team->name, "bound", st_from_cstr (bound)),
            1);
  _gw_refuse (r, 429, "over_quota", retry_after_us);
}

/* Refuses R, which has waited, when its team's quota has been used up
   meanwhile; true when it did.  */
static bool
_gw_refuse_over_quota (_gw_request *r)
{
  uint64_t retry_after_us;
  if (!r->quota_held
      || bu_allows_held (&_gw_find_team (r->gw, r->team->name)->quota,
                         _gw_quota_reserve (r), r->gw->now_us,
                         &retry_after_us))
    return false;
  _gw_refuse_for_quota (r, retry_after_us);
  return true;
}

/* Charges the quota that R holds, when R is first sent.  */
void
_gw_charge_quota (_gw_request *r)
{
  gw_task *gw = r->gw;
  if (!r->quota_held)
    return;
  r->quota_held = false;
  _gw_team *team = _gw_find_team (gw, r->team->name);
  bu_charge_quota (&team->quota, r->quota);
  /* An active VM reports directly to all that use the sums.  */
  if (!(gw->group.active && gw->group.active_group))
    team->sums[_GW_SUM_GROUP] += (uint64_t)r->quota;
}

/* Releases the quota that R holds, which has not been sent.  */
void
_gw_release_quota (_gw_request *r)
{
  if (r->quota_held)
    bu_release_quota (&_gw_find_team (r->gw, r->team->name)->quota, r->quota);
  r->quota_held = false;
}

/* Holds what R takes of its team's quota, or refuses R and returns false.  */
static bool
_gw_hold_quota (_gw_request *r)
{
  gw_task *gw = r->gw;
  uint64_t retry_after_us = 0;
  r->quota_due = false;
  r->quota_held
      = r->team != NULL
        && bu_hold_quota (&_gw_find_team (gw, r->team->name)->quota, r->quota,
                          _gw_quota_reserve (r), gw->now_us, &retry_after_us);
  if (r->team == NULL || r->quota_held)
    return true;
  _gw_refuse_for_quota (r, retry_after_us);
  return false;
}

/* Admits R, which has been identified: dispatches, queues or refuses it.  */
void
_gw_admit (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_service *service = _gw_service_of (r);
  struct timeval left = ck_timeval (r->end_us - gw->now_us);
  event_add (r->timer, &left);
  if (_gw_refuse_while_leaving (r) || _gw_refuse_quarantined (r)
      || _gw_refuse_without_region (r) || _gw_refuse_forwarded (r)
      || _gw_forward (r))
    return;
  if (!_gw_hold_quota (r))
    return;
  ut_id to = { 0, 0 };
  /* The caller resumes a stream whose earlier connection was lost.  */
  if (r->has_last_event)
    _gw_mark_started (r);
  else if (r->demand.is_caller_retry && r->engine)
    r->demand.rank = gq_queue_rank (&r->demand, GQ_WAIT_LATE);
  if (!_gw_any_waits_before (&service->queue, r))
    to = _gw_choose_upstream (r);
  if (to.generation != 0)
    _gw_dispatch (r, to);
  else if (gq_is_late (&r->demand) || !_gw_preempt_for (r))
    _gw_wait_or_refuse (r, false, "overload");
}

/* Dispatches R again, or else queues or refuses it.  */
void
_gw_requeue (_gw_request *r)
{
  ut_id to = { 0, 0 };
  if (_gw_refuse_quarantined (r) || (!r->retry_due && _gw_forward (r))
      || (r->quota_due && !_gw_hold_quota (r)))
    return;
  if (!r->retry_due)
    to = _gw_choose_upstream (r);
  if (to.generation != 0)
    _gw_dispatch (r, to);
  else
    _gw_wait_or_refuse (r, true, "overload");
}

/* The first request of rank RANK that waits for SERVICE and may be served in a
   region other than those of FULL; NULL when there is none.  */
static _gw_request *
_gw_find_waiting (const _gw_service *service, uint32_t rank, uint64_t full)
{
  _gw_request *r = service->queue.first[rank];
  while (r != NULL && (r->region_mask & ~full) == 0)
    r = r->next;
  return r;
}

/* Dispatches what waits for SERVICE, the most urgent rank first.  A less
   urgent rank gets a free slot before a more urgent one only where the first
   request of the latter waits for the retry budget.  A request that finds no
   upstream stops those behind it and all less urgent ones, except where these
   may be served in other regions than it.  */
void
_gw_schedule (gw_task *gw, _gw_service *service)
{
  uint64_t full = 0;
  _gw_now (gw);
  for (uint32_t rank = 0; rank < GQ_RANKS && full != UINT64_MAX; rank++)
    {
      _gw_request *r;
      while ((r = _gw_find_waiting (service, rank, full)) != NULL)
        {
          if (_gw_refuse_quarantined (r))
            continue;
          ut_id to = _gw_choose_upstream (r);
          if (to.generation == 0)
            {
              full |= r->region_mask;
              continue;
            }
          if (r->retry_due && !_gw_take_retry (r))
            break;
          if (_gw_refuse_over_quota (r))
            continue;
          r->retry_due = false;
          _gw_dequeue (r);
          _gw_dispatch (r, to);
        }
    }
}

/* Dispatches what waits for all services.  */
void
_gw_schedule_all (gw_task *gw)
{
  for (guint i = 0; i < gw->services->len; i++)
    _gw_schedule (gw, gw->services->pdata[i]);
}

static _gw_request *
_gw_find_timed_out (const _gw_service *service, uint64_t now_us)
{
  for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
    for (_gw_request *r = service->queue.first[rank]; r != NULL; r = r->next)
      if (r->queue_timeout_us <= now_us)
        return r;
  return NULL;
}

/* Handles the queue time-out of R: fails it, refuses it or queues it as late.
 */
static void
_gw_on_queue_timeout (_gw_request *r)
{
  /* It may have run before, as a stream or not.  */
  if (r->runs > 0)
    {
      _gw_fail (r, 504, "no_upstream_to_resume");
      return;
    }
  if (r->demand.response_started)
    {
      _gw_refuse (r, 503, "waited_too_long", _GW_STARTED_RETRY_AFTER_US);
      return;
    }
  _gw_dequeue (r);
  _gw_wait_or_refuse (r, false, "waited_too_long");
}

/* A request of SERVICE that waits, has not run and would outlast this VM's
   planned stop; NULL when there is none.  */
static _gw_request *
_gw_find_outlasting (const _gw_service *service, const gw_task *gw)
{
  for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
    for (_gw_request *r = service->queue.first[rank]; r != NULL; r = r->next)
      if (r->runs == 0 && !dn_accepts (&gw->drain, r->end_us, gw->now_us))
        return r;
  return NULL;
}

/* Handles all requests whose queue time-out has passed.  */
void
_gw_expire_queues (gw_task *gw)
{
  _gw_now (gw);
  for (guint i = 0; i < gw->services->len; i++)
    {
      _gw_service *service = gw->services->pdata[i];
      _gw_request *r;
      while ((r = _gw_find_outlasting (service, gw)) != NULL)
        _gw_refuse_while_leaving (r);
      while ((r = _gw_find_timed_out (service, gw->now_us)) != NULL)
        _gw_on_queue_timeout (r);
    }
}
