/* Admit and queue: whether a request is sent, waits or is refused, and which
   one goes next.  The decisions are those of gq.h.  */
#include "gw_internal.h"

/* A stream that was cut off goes on as long as its caller waits, but not
   longer than this: callers abandon a stream after a pause.  */
#define _GW_RESUME_WAIT_US 1500000
/* Mean time in a slot before any was measured.  */
#define _GW_ENGINE_SERVICE_US 600000.0
#define _GW_PLAIN_SERVICE_US 40000.0

static uint32_t
_gw_tier (const _gw_request *r)
{
  return r->demand.tier < GQ_TIERS ? r->demand.tier : GQ_TIERS - 1;
}

static _gw_service *
_gw_service_of (_gw_request *r)
{
  return _gw_find_service (r->gw, st_name_str (&r->service));
}

static void
_gw_enqueue (_gw_request *r, bool at_front)
{
  _gw_queue *q = &_gw_service_of (r)->queue;
  uint32_t tier = _gw_tier (r);
  r->state = _GW_QUEUED;
  r->next = NULL;
  if (q->first[tier] == NULL)
    q->first[tier] = q->last[tier] = r;
  else if (at_front)
    {
      r->next = q->first[tier];
      q->first[tier] = r;
    }
  else
    {
      q->last[tier]->next = r;
      q->last[tier] = r;
    }
  q->count[tier]++;
  _gw_load_changed (r->gw);
}

/* Takes R out of its queue.  */
void
_gw_dequeue (_gw_request *r)
{
  _gw_queue *q = &_gw_service_of (r)->queue;
  uint32_t tier = _gw_tier (r);
  _gw_request *previous = NULL;
  for (_gw_request *at = q->first[tier]; at != NULL; at = at->next)
    {
      if (at == r)
        {
          if (previous != NULL)
            previous->next = r->next;
          else
            q->first[tier] = r->next;
          if (q->last[tier] == r)
            q->last[tier] = previous;
          q->count[tier]--;
          break;
        }
      previous = at;
    }
  r->next = NULL;
  _gw_load_changed (r->gw);
}

static bool
_gw_more_urgent_waits (const _gw_queue *q, uint32_t tier)
{
  for (uint32_t i = 0; i <= tier; i++)
    if (q->count[i] > 0)
      return true;
  return false;
}

static ut_id
_gw_place (_gw_request *r)
{
  gw_task *gw = r->gw;
  uint32_t waiting[GQ_TIERS];
  _gw_peer_waiting (gw, waiting);
  r->demand.urgent_elsewhere = false;
  for (uint32_t i = 0; i < _gw_tier (r); i++)
    r->demand.urgent_elsewhere |= waiting[i] > 0;
  return gq_place (gw->upstreams, st_name_str (&r->service), &r->demand,
                   gw->now_us, _gw_random (gw));
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
  for (uint32_t i = 0; i < GQ_TIERS; i++)
    backlog.waiting[i] = service->queue.count[i];
  _gw_peer_waiting (gw, backlog.peer_waiting);
  return backlog;
}

/* Lets R wait, or refuses it.  */
static void
_gw_wait_or_refuse (_gw_request *r, bool at_front)
{
  gw_task *gw = r->gw;
  gq_backlog backlog = _gw_backlog (r);
  gq_decision decision = { 0 };
  if (r->events > 0)
    {
      r->give_up_us = gw->now_us + _GW_RESUME_WAIT_US;
      _gw_enqueue (r, true);
      return;
    }
  gq_verdict verdict = gq_admit (&backlog, &r->demand, gw->now_us, &decision);
  LO_EVENT (verdict == GQ_WAIT ? "queue" : "refuse", st_name_str (&r->id),
            LO_INT ("tier", r->demand.tier),
            LO_INT ("expected_wait_ms", decision.expected_us / CK_MS_US),
            LO_INT ("slots", backlog.slots),
            LO_INT ("running", backlog.running),
            LO_INT ("waiting_here", backlog.waiting[_gw_tier (r)]),
            LO_INT ("waiting_elsewhere", backlog.peer_waiting[_gw_tier (r)]));
  switch (verdict)
    {
    case GQ_WAIT:
      r->give_up_us = decision.wait_until_us;
      _gw_enqueue (r, at_front);
      return;
    case GQ_REFUSE:
      _gw_refuse (r, 503, "overload", decision.retry_after_us);
      return;
    }
}

/* Takes a request that has been identified.  */
void
_gw_admit (_gw_request *r)
{
  gw_task *gw = r->gw;
  uint64_t retry_after_us = 0;
  _gw_service *service = _gw_service_of (r);
  struct timeval left = { (time_t)((r->end_us - gw->now_us) / CK_S_US),
                          (suseconds_t)((r->end_us - gw->now_us) % CK_S_US) };
  event_add (r->timer, &left);
  if (r->team != NULL
      && !bu_take_allowance (&_gw_find_team (gw, r->team->name)->allowance,
                             r->allowance, gw->now_us, &retry_after_us))
    {
      const bu_allowance *a = &_gw_find_team (gw, r->team->name)->allowance;
      LO_EVENT ("over_allowance", st_name_str (&r->id),
                LO_STR ("team", r->team->name),
                LO_INT ("asked", r->allowance), LO_INT ("left", a->level),
                LO_INT ("rate", a->rate), LO_INT ("burst", a->burst),
                LO_INT ("config", rc_query_version (r->config)));
      _gw_refuse (r, 429, "over_allowance", retry_after_us);
      return;
    }
  ut_id to = { 0, 0 };
  if (!_gw_more_urgent_waits (&service->queue, _gw_tier (r)))
    to = _gw_place (r);
  if (to.generation != 0)
    _gw_dispatch (r, to);
  else
    _gw_wait_or_refuse (r, false);
}

/* Sends R once more, or puts it in front of its queue.  */
void
_gw_requeue (_gw_request *r)
{
  ut_id to = _gw_place (r);
  if (to.generation != 0)
    _gw_dispatch (r, to);
  else
    _gw_wait_or_refuse (r, true);
}

/* Sends what can be sent, the most urgent tier first.  A tier that finds no
   room leaves what is free to the lower ones only where a limit of its own
   keeps it out.  */
void
_gw_schedule (gw_task *gw, _gw_service *service)
{
  _gw_now (gw);
  for (uint32_t tier = 0; tier < GQ_TIERS; tier++)
    while (service->queue.first[tier] != NULL)
      {
        _gw_request *r = service->queue.first[tier];
        ut_id to = _gw_place (r);
        if (to.generation == 0)
          return;
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
  for (uint32_t tier = 0; tier < GQ_TIERS; tier++)
    for (_gw_request *r = service->queue.first[tier]; r != NULL; r = r->next)
      if (r->give_up_us <= now_us)
        return r;
  return NULL;
}

/* Ends the requests that have waited for as long as they may.  */
void
_gw_expire_queues (gw_task *gw)
{
  _gw_now (gw);
  for (guint i = 0; i < gw->services->len; i++)
    {
      _gw_service *service = gw->services->pdata[i];
      _gw_request *r;
      while ((r = _gw_find_expired (service, gw->now_us)) != NULL)
        if (r->events > 0)
          _gw_fail (r, 504, "no_upstream_to_resume");
        else
          {
            gq_backlog backlog = _gw_backlog (r);
            gq_decision decision = { 0 };
            gq_admit (&backlog, &r->demand, gw->now_us, &decision);
            _gw_refuse (r, 503, "waited_too_long", decision.retry_after_us);
          }
    }
}
