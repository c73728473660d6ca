/* Admit and queue: whether a request is sent, waits or is refused, and which
   one goes next.  The decisions are those of gq.h.  */
#include "gw_internal.h"

/* Callers abandon a stream after a pause of at least this; a part of it is
   left for the next event to be made.  */
#define _GW_PAUSE_MIN_US 2000000
#define _GW_PAUSE_PART 0.75
/* Parts of a quota's slack that new requests, and streams that have begun,
   leave to the most urgent ones.  */
#define _GW_KEPT_PART 0.5
#define _GW_KEPT_PART_BEGUN 0.25
/* When a caller that goes on with a stream is to come back: soon, since it
   has borne a pause already.  */
#define _GW_BEGUN_RETRY_US 250000
/* Mean time in a slot before any was measured.  */
#define _GW_ENGINE_SERVICE_US 600000.0
#define _GW_PLAIN_SERVICE_US 40000.0

/* What has begun goes before new requests of the next tier up: its work is
   lost if it does not go on.  R is not in a queue.  */
static void
_gw_mark_begun (_gw_request *r)
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
    _gw_mark_begun (r);
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
  _gw_watch_queues (r->gw);
  _gw_load_changed (r->gw);
}

/* Takes R out of its queue.  */
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

static bool
_gw_more_urgent_waits (const _gw_queue *q, uint32_t rank)
{
  for (uint32_t i = 0; i <= rank; i++)
    if (q->count[i] > 0)
      return true;
  return false;
}

static ut_id
_gw_place (_gw_request *r)
{
  gw_task *gw = r->gw;
  uint32_t waiting[GQ_RANKS];
  _gw_peer_waiting (gw, waiting);
  r->demand.urgent_elsewhere = false;
  r->demand.remote_loads_delayed = gw->cell.several;
  for (uint32_t i = 0; i < r->demand.rank; i++)
    r->demand.urgent_elsewhere |= waiting[i] > 0;
  return gq_choose_upstream (gw->upstreams, st_name_str (&r->service),
                             &r->demand, gw->now_us, _gw_random (gw));
}

static gq_backlog
_gw_backlog (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_service *service = _gw_service_of (r);
  gq_backlog backlog = { .service_us = service->service_us };
  ut_id id = { 0, 0 };
  if (backlog.service_us <= 0)
    backlog.service_us
        = r->engine ? _GW_ENGINE_SERVICE_US : _GW_PLAIN_SERVICE_US;
  while (ut_next (gw->upstreams, &id))
    {
      const ut_upstream *up = ut_query (gw->upstreams, id);
      if (!gq_usable (up, st_name_str (&r->service)))
        continue;
      backlog.slots += up->entry.slots > 0 ? up->entry.slots : 1;
      backlog.running += up->own_running + up->peer_running;
    }
  for (uint32_t i = 0; i < GQ_RANKS; i++)
    backlog.waiting[i] = service->queue.count[i];
  _gw_peer_waiting (gw, backlog.peer_waiting);
  return backlog;
}

/* How long the caller of a stream bears a pause: callers leave after the
   longest of these.  */
static uint64_t
_gw_pause_us (const _gw_request *r)
{
  uint64_t pause = _GW_PAUSE_MIN_US;
  uint64_t target = 4 * r->demand.target_us;
  uint64_t gap = 8 * (uint64_t)r->route->gap_ms * CK_MS_US;
  pause = target > pause ? target : pause;
  pause = gap > pause ? gap : pause;
  return (uint64_t)(_GW_PAUSE_PART * (double)pause);
}

/* Lets R wait, or refuses it for REASON.  */
static void
_gw_wait_or_refuse (_gw_request *r, bool at_front, const char *reason)
{
  gw_task *gw = r->gw;
  if (r->demand.response_started || r->events > 0)
    {
      r->give_up_us = gw->now_us + _gw_pause_us (r);
      _gw_enqueue (r, true);
      return;
    }
  gq_backlog backlog = _gw_backlog (r);
  gq_decision decision = { 0 };
  if (r->route->kind == RC_STREAM)
    r->demand.max_wait_us = _gw_pause_us (r);
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
      r->give_up_us = decision.wait_until_us;
      _gw_enqueue (r, at_front);
      return;
    case GQ_REFUSE:
      _gw_refuse (r, 503, reason, decision.retry_after_us);
      return;
    }
}

/* True when V, which runs, may make room for R: another run of it is allowed
   and goes on where this one stops.  */
static bool
_gw_may_yield (const _gw_request *v, const _gw_request *r)
{
  return v->exchange != NULL && v->route->kind == RC_STREAM && v->repeatable
         && v->demand.tier > r->demand.tier && v->runs + 1 < v->route->attempts
         && v->sends + 1 < _GW_SENDS_MAX
         && st_equal (st_name_str (&v->service), st_name_str (&r->service));
}

/* Less urgent first; then the one that has made the least.  */
static bool
_gw_yields_before (const _gw_request *a, const _gw_request *b)
{
  if (a->demand.tier != b->demand.tier)
    return a->demand.tier > b->demand.tier;
  return a->events < b->events;
}

/* Stops a less urgent stream of this VM, which goes on later, and gives its
   place to R.  False when there is none.  */
static bool
_gw_take_place (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_request *victim = NULL;
  for (uint32_t i = 0; i < gw->used; i++)
    {
      _gw_request *v = &gw->requests[i];
      if (v->state != _GW_FREE && _gw_may_yield (v, r)
          && (victim == NULL || _gw_yields_before (v, victim)))
        victim = v;
    }
  if (victim == NULL)
    return false;
  ut_id place = victim->upstream;
  const ut_upstream *up = ut_query (gw->upstreams, place);
  if (up == NULL || !gq_usable (up, st_name_str (&r->service))
      || !_gw_take_repeat (victim))
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
  victim->give_up_us = (victim->last_event_us > 0 ? victim->last_event_us
                                                  : victim->demand.arrived_us)
                       + _gw_pause_us (victim);
  _gw_enqueue (victim, true);
  _gw_dispatch (r, place);
  return true;
}

/* What R has to leave of its team's quota.  Requests to plain services are
   small and gain nothing for others by waiting.  A stream that its caller goes
   on with is lost if it is refused, so it leaves less than a new one.  */
static double
_gw_quota_kept (const _gw_request *r)
{
  if (r->demand.tier == 0 || !r->engine)
    return 0;
  double part = r->has_last_event ? _GW_KEPT_PART_BEGUN : _GW_KEPT_PART;
  return part * _gw_quota_slack (r->gw, r->team);
}

/* Takes a request that has been identified.  */
void
_gw_admit (_gw_request *r)
{
  gw_task *gw = r->gw;
  uint64_t retry_after_us = 0;
  _gw_service *service = _gw_service_of (r);
  struct timeval left = ck_timeval (r->end_us - gw->now_us);
  event_add (r->timer, &left);
  if (r->team != NULL
      && !bu_take_quota (&_gw_find_team (gw, r->team->name)->quota, r->quota,
                         _gw_quota_kept (r), gw->now_us, &retry_after_us))
    {
      const bu_quota *a = &_gw_find_team (gw, r->team->name)->quota;
      LO_EVENT ("over_quota", st_name_str (&r->id),
                LO_STR ("team", r->team->name), LO_INT ("asked", r->quota),
                LO_INT ("left", a->level), LO_INT ("rate", a->rate),
                LO_INT ("burst", a->burst),
                LO_INT ("config", rc_query_version (r->config)));
      _gw_refuse (r, 429, "over_quota", retry_after_us);
      return;
    }
  ut_id to = { 0, 0 };
  /* The caller goes on with a stream that another VM has lost.  */
  if (r->has_last_event)
    _gw_mark_begun (r);
  else if (r->demand.is_caller_retry && r->engine)
    r->demand.rank = gq_queue_rank (&r->demand, GQ_WAIT_LATE);
  if (!_gw_more_urgent_waits (&service->queue, r->demand.rank))
    to = _gw_place (r);
  if (to.generation != 0)
    _gw_dispatch (r, to);
  else if (gq_is_late (&r->demand) || !_gw_take_place (r))
    _gw_wait_or_refuse (r, false, "overload");
}

/* Sends R once more, or puts it in front of its queue.  */
void
_gw_requeue (_gw_request *r)
{
  ut_id to = { 0, 0 };
  if (!r->repeat_due)
    to = _gw_place (r);
  if (to.generation != 0)
    _gw_dispatch (r, to);
  else
    _gw_wait_or_refuse (r, true, "overload");
}

/* Sends what can be sent, the most urgent tier first.  A tier that finds no
   room leaves what is free to the lower ones only where a limit of its own
   keeps it out.  */
void
_gw_schedule (gw_task *gw, _gw_service *service)
{
  _gw_now (gw);
  for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
    while (service->queue.first[rank] != NULL)
      {
        _gw_request *r = service->queue.first[rank];
        ut_id to = _gw_place (r);
        if (to.generation == 0)
          return;
        if (r->repeat_due && !_gw_take_repeat (r))
          break;
        r->repeat_due = false;
        _gw_dequeue (r);
        _gw_dispatch (r, to);
      }
}

/* Schedules all services.  */
void
_gw_schedule_all (gw_task *gw)
{
  for (guint i = 0; i < gw->services->len; i++)
    _gw_schedule (gw, gw->services->pdata[i]);
}

static _gw_request *
_gw_find_expired (const _gw_service *service, uint64_t now_us)
{
  for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
    for (_gw_request *r = service->queue.first[rank]; r != NULL; r = r->next)
      if (r->give_up_us <= now_us)
        return r;
  return NULL;
}

/* R has waited for as long as it may.  */
static void
_gw_end_wait (_gw_request *r)
{
  if (r->runs > 0)
    {
      _gw_fail (r, 504, "no_upstream_to_resume");
      return;
    }
  if (r->demand.response_started)
    {
      _gw_refuse (r, 503, "waited_too_long", _GW_BEGUN_RETRY_US);
      return;
    }
  _gw_dequeue (r);
  _gw_wait_or_refuse (r, false, "waited_too_long");
}

/* Ends the waits that are over.  */
void
_gw_expire_queues (gw_task *gw)
{
  _gw_now (gw);
  for (guint i = 0; i < gw->services->len; i++)
    {
      _gw_service *service = gw->services->pdata[i];
      _gw_request *r;
      while ((r = _gw_find_expired (service, gw->now_us)) != NULL)
        _gw_end_wait (r);
    }
}
