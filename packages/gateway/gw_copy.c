/* Copies: sends a second copy of a slow request that may run more than once,
   by the rules of hc.h.

   The copy is a request of its own that shares the caller with the first one;
   the caller's connection belongs to one of the two.  The one that gets a
   whole response first forwards it and the other is cancelled; if one fails
   the other goes on alone.  */
#include "gw_internal.h"

/* Most routes whose response times are recorded.  */
#define _GW_COPY_ROUTES_MAX 1024

static hc_route *
_gw_find_times (gw_task *gw, const rc_route *route)
{
  uint64_t key = ut_hash (route->name);
  hc_route *times = g_hash_table_lookup (gw->route_times, &key);
  if (times != NULL
      || g_hash_table_size (gw->route_times) >= _GW_COPY_ROUTES_MAX)
    return times;
  times = g_new0 (hc_route, 1);
  g_hash_table_insert (gw->route_times, g_memdup2 (&key, sizeof key), times);
  return times;
}

static bool
_gw_may_copy (const _gw_request *r)
{
  return r->gw->desc.copies.share > 0 && r->route->kind == RC_IDEMPOTENT;
}

static void
_gw_count_copy (const gw_task *gw, const char *result)
{
  if (gw->desc.metrics != NULL)
    mt_add (gw->desc.metrics,
            mt_counter (gw->desc.metrics, "gateway_copies_total", "result",
                        st_from_cstr (result), "", ST_LIT ("")),
            1);
}

/* Cancels COPY, whose response is not needed.  */
static void
_gw_cancel_copy (_gw_request *copy, const char *result)
{
  _gw_count_copy (copy->gw, result);
  if (copy->exchange != NULL)
    {
      uc_exchange *x = copy->exchange;
      _gw_end_exchange (copy, UT_ABANDONED);
      uc_cancel (x);
    }
  copy->copy_of = NULL;
  _gw_free_request (copy);
}

/* Ends the copy of R, if any: R ends.  */
void
_gw_end_copy (_gw_request *r)
{
  _gw_request *copy = r->copy;
  r->copy = NULL;
  if (copy != NULL)
    _gw_cancel_copy (copy, "cancelled");
}

/* Gives the caller of R to its COPY, which goes on alone.  */
static void
_gw_hand_over (_gw_request *r, _gw_request *copy)
{
  struct timeval left = ck_timeval (
      copy->end_us > r->gw->now_us ? copy->end_us - r->gw->now_us : 0);
  copy->copy_of = NULL;
  copy->conn->request = copy;
  r->conn = NULL;
  r->copy = NULL;
  event_add (copy->timer, &left);
}

/* R has a whole response: the other one of its pair, if any, is cancelled.  */
void
_gw_win_copy (_gw_request *r)
{
  _gw_request *first = r->copy_of;
  if (r->attempt_count == 1 && _gw_may_copy (r))
    {
      hc_route *times = _gw_find_times (r->gw, r->route);
      if (times != NULL)
        hc_record (times, &r->gw->desc.copies, r->gw->now_us - r->sent_us,
                   r->gw->now_us);
    }
  if (first == NULL)
    {
      _gw_end_copy (r);
      return;
    }
  LO_EVENT (
      "copy_first", st_name_str (&r->id),
      LO_STR ("upstream", st_name_str (&r->upstream_id)),
      LO_STR ("slow", st_name_str (&first->upstream_id)),
      LO_INT ("after_ms", (r->gw->now_us - r->demand.arrived_us) / CK_MS_US));
  _gw_hand_over (first, r);
  _gw_cancel_copy (first, "won");
}

/* The attempt of R, one of a pair, has failed: the other one goes on alone.
   False when R is not one of a pair.  */
bool
_gw_leave_pair (_gw_request *r, bool arrived, bool may_have_run)
{
  _gw_request *other = r->copy_of != NULL ? r->copy_of : r->copy;
  if (other == NULL)
    return false;
  other->runs += may_have_run;
  other->delivered_count += arrived;
  if (other->demand.tried_count < GQ_TRIED_MAX)
    other->demand.tried[other->demand.tried_count++] = r->upstream;
  if (r->copy_of != NULL)
    other->copy = NULL;
  else
    {
      other->attempt_count += r->attempt_count;
      _gw_hand_over (r, other);
    }
  LO_EVENT ("copy_failed", st_name_str (&r->id),
            LO_STR ("upstream", st_name_str (&r->upstream_id)),
            LO_STR ("other", st_name_str (&other->upstream_id)),
            LO_BOOL ("may_have_run", may_have_run));
  r->copy_of = NULL;
  _gw_count_copy (r->gw, "failed");
  _gw_free_request (r);
  return true;
}

/* Makes the copy of R, in no queue and without an exchange; NULL when the pool
   is full or the team's quota has no room for it.  */
static _gw_request *
_gw_make_copy (_gw_request *r)
{
  gw_task *gw = r->gw;
  uint64_t retry_after_us;
  if (r->team != NULL
      && !bu_hold_quota (&_gw_find_team (gw, r->team->name)->quota, r->quota,
                         0, gw->now_us, &retry_after_us))
    return NULL;
  _gw_request *copy = _gw_make_request (gw, r->conn);
  r->conn->request = r;
  if (copy == NULL)
    {
      if (r->team != NULL)
        bu_release_quota (&_gw_find_team (gw, r->team->name)->quota, r->quota);
      return NULL;
    }
  rc_unref (copy->config);
  copy->config = rc_ref (r->config);
  copy->route = r->route;
  copy->team = r->team;
  copy->id = r->id;
  copy->service = r->service;
  copy->engine = r->engine;
  copy->retryable = r->retryable;
  copy->quota = r->quota;
  copy->quota_held = r->team != NULL;
  copy->demand = r->demand;
  copy->end_us = r->end_us;
  copy->max_output_tokens = r->max_output_tokens;
  copy->budget_counted = true;
  copy->version_draw = VR_DRAW_OTHERS;
  copy->body = r->body != NULL ? g_bytes_ref (r->body) : NULL;
  copy->identity = r->identity;
  g_string_append_len (copy->head, r->head->str, (gssize)r->head->len);
  g_string_append_len (copy->prompt_parts, r->prompt_parts->str,
                       (gssize)r->prompt_parts->len);
  copy->regions_config = rc_ref (r->regions_config);
  copy->region_mask = r->region_mask;
  if (copy->demand.tried_count < GQ_TRIED_MAX)
    copy->demand.tried[copy->demand.tried_count++] = r->upstream;
  copy->copy_of = r;
  r->copy = copy;
  return copy;
}

static uint32_t
_gw_count_waiting (const _gw_service *service)
{
  uint32_t waiting = 0;
  for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
    waiting += service->queue.count[rank];
  return waiting;
}

/* The upstream that a copy of R would be sent to; generation 0 when there is
   none but that of R.  */
static ut_id
_gw_choose_for_copy (const _gw_request *r)
{
  gw_task *gw = r->gw;
  gq_demand demand = r->demand;
  if (demand.tried_count < GQ_TRIED_MAX)
    demand.tried[demand.tried_count++] = r->upstream;
  demand.versions = VR_OTHERS;
  ut_id to = gq_choose_upstream (gw->upstreams, st_name_str (&r->service),
                                 &demand, gw->now_us, _gw_random (gw));
  if (to.index == r->upstream.index && to.generation == r->upstream.generation)
    return (ut_id){ 0, 0 };
  return to;
}

static void
_gw_on_copy_timer (evutil_socket_t fd, short what, void *user)
{
  _gw_request *r = user;
  gw_task *gw = r->gw;
  _gw_service *service = _gw_service_of (r);
  (void)fd;
  (void)what;
  _gw_now (gw);
  if (r->state != _GW_SENT || r->exchange == NULL || r->copy != NULL
      || r->end_us <= gw->now_us || _gw_is_suspect (r))
    return;
  ut_id to = _gw_choose_for_copy (r);
  const ut_upstream *up = ut_query (gw->upstreams, to);
  hc_state state = { .left_us = r->end_us - gw->now_us,
                     .delay_us = gw->now_us - r->sent_us,
                     .runs = r->runs + 1,
                     .attempts = r->route->attempts,
                     .waiting = _gw_count_waiting (service),
                     .has_upstream = up != NULL };
  if (up != NULL)
    {
      state.slots = up->entry.slots;
      state.running = up->own_running + up->peer_running;
    }
  hc_verdict verdict = hc_decide (&state);
  if (verdict != HC_SEND)
    {
      _gw_count_copy (gw, hc_verdict_name (verdict));
      return;
    }
  if (!hc_take_copy (&service->copies, &gw->desc.copies, gw->now_us)
      || !_gw_take_retry (r))
    {
      _gw_count_copy (gw, "no_budget");
      return;
    }
  _gw_request *copy = _gw_make_copy (r);
  if (copy == NULL)
    {
      _gw_count_copy (gw, "no_quota");
      return;
    }
  _gw_count_copy (gw, "sent");
  LO_EVENT ("copy", st_name_str (&r->id),
            LO_STR ("slow", st_name_str (&r->upstream_id)),
            LO_STR ("upstream", st_name_str (&up->entry.id)),
            LO_INT ("after_ms", state.delay_us / CK_MS_US));
  _gw_dispatch (copy, to);
}

/* Arms the timer for a copy of R, which has just been sent for the first
   time.  */
void
_gw_plan_copy (_gw_request *r)
{
  gw_task *gw = r->gw;
  if (r->copy_of != NULL || r->attempt_count != 1 || !_gw_may_copy (r))
    return;
  hc_route *times = _gw_find_times (gw, r->route);
  if (times == NULL)
    return;
  hc_count_request (&_gw_service_of (r)->copies, &gw->desc.copies, gw->now_us);
  if (r->copy_timer == NULL)
    r->copy_timer = evtimer_new (gw->desc.base, _gw_on_copy_timer, r);
  struct timeval tv = ck_timeval (
      hc_delay_us (times, &gw->desc.copies, r->demand.target_us, gw->now_us));
  event_add (r->copy_timer, &tv);
}
