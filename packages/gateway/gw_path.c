/* Path: notices when this VM is partitioned from all upstreams, by the rules
   of pa.h, and asks one of them now and then whether the path is back.  */
#include "gw_internal.h"

/* A probe without a response is given up after this time.  */
#define _GW_PROBE_TIMEOUT_US 1000000
/* Longest head of a probe.  */
#define _GW_PROBE_HEAD_BYTES 512

static uint32_t
_gw_count_upstreams (const gw_task *gw)
{
  uint32_t count = 0;
  ut_id id = { 0, 0 };
  while (ut_next (gw->upstreams, &id))
    count++;
  return count;
}

static uint32_t
_gw_count_with_path (const gw_task *gw)
{
  uint32_t count = 0;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    count += _gw_has_path (gw, &gw->peer[i]);
  return count;
}

/* True when this VM has no path to the upstreams and another one has; without
   one the upstreams have failed.  */
bool
_gw_is_cut_off (const gw_task *gw)
{
  return gw->path.lost && _gw_count_with_path (gw) > 0;
}

/* Ends the attempts that wait for a response, of requests that have not been
   sent yet or, where ANY_FAILED, may run once more, so that other VMs get
   them.  Without a failure the upstreams may be working on them.  */
static void
_gw_move_unheard (gw_task *gw, bool any_failed)
{
  for (uint32_t i = 0; i < gw->used && _gw_is_cut_off (gw); i++)
    {
      _gw_request *r = &gw->requests[i];
      if (r->state == _GW_FREE || r->exchange == NULL || r->is_forwarded
          || r->copy_of != NULL || r->copy != NULL)
        continue;
      bool sent = uc_query_sent (r->exchange);
      if (!sent
          || (any_failed && r->retryable && r->runs + 1 < r->route->attempts))
        _gw_end_attempt (r, sent, "path_lost");
    }
}

static void
_gw_on_path_lost (gw_task *gw, bool any_failed)
{
  /* Idle connections would hang as well.  */
  uc_close_idle (gw->pool);
  _gw_load_changed (gw);
  _gw_move_unheard (gw, any_failed);
  _gw_forward_waiting (gw);
}

static void
_gw_end_probe (gw_task *gw)
{
  uc_exchange *x = gw->path_probe;
  gw->path_probe = NULL;
  if (x != NULL)
    uc_cancel (x);
}

static void
_gw_update_path (gw_task *gw)
{
  pa_path before = gw->path;
  uint32_t upstreams = _gw_count_upstreams (gw);
  if (!pa_update (&gw->path, upstreams, gw->now_us))
    return;
  if (gw->path.lost)
    {
      LO_EVENT (
          "path_lost", ST_LIT (""),
          LO_INT ("unheard_ms", (gw->now_us - before.heard_us) / CK_MS_US),
          LO_INT ("failed", before.failed), LO_INT ("silent", before.silent),
          LO_INT ("upstreams", upstreams),
          LO_INT ("vms_with_path", _gw_count_with_path (gw)));
      _gw_on_path_lost (gw, before.failed > 0);
      return;
    }
  LO_EVENT ("path_found", ST_LIT (""),
            LO_INT ("after_ms", (gw->now_us - before.changed_us) / CK_MS_US));
  _gw_load_changed (gw);
}

/* Records bytes of R's upstream, the first ones where RESPONSE_BEGINS.  */
void
_gw_on_heard (const _gw_request *r, bool response_begins)
{
  gw_task *gw = r->gw;
  if (response_begins)
    pa_on_response (&gw->path, gw->now_us - r->sent_us, gw->now_us);
  else
    pa_on_heard (&gw->path, gw->now_us);
  if (gw->path.lost)
    _gw_update_path (gw);
}

/* Records that R's attempt has ended and its upstream was not heard.  */
void
_gw_on_unheard (const _gw_request *r)
{
  pa_on_failed (&r->gw->path, ut_hash (st_name_str (&r->upstream_id)),
                r->gw->now_us);
}

static void
_gw_on_probe (void *user, const uc_event *event)
{
  gw_task *gw = user;
  _gw_now (gw);
  switch (event->kind)
    {
    case UC_HEAD:
      /* Whatever it says, it has been heard.  */
      pa_on_heard (&gw->path, gw->now_us);
      _gw_update_path (gw);
      _gw_end_probe (gw);
      return;
    case UC_BODY:
      return;
    case UC_END:
      /* It has accepted the connection.  */
      gw->path_probe = NULL;
      pa_on_heard (&gw->path, gw->now_us);
      _gw_update_path (gw);
      return;
    case UC_FAILED:
      gw->path_probe = NULL;
      return;
    }
}

/* A random upstream that is not leaving; NULL when there is none.  */
static const ut_upstream *
_gw_choose_probed (gw_task *gw)
{
  const ut_upstream *chosen = NULL;
  uint32_t seen = 0;
  ut_id id = { 0, 0 };
  while (ut_next (gw->upstreams, &id))
    {
      const ut_upstream *up = ut_query (gw->upstreams, id);
      if (!up->entry.leaving && _gw_random (gw) % ++seen == 0)
        chosen = up;
    }
  return chosen;
}

/* Asks an upstream for its health, or only connects to it where the path for
   that is not known.  */
static void
_gw_probe_path (gw_task *gw)
{
  if (gw->path_probe != NULL
      && gw->now_us - gw->path_probe_us > _GW_PROBE_TIMEOUT_US)
    _gw_end_probe (gw);
  if (gw->path_probe != NULL || !pa_probe_due (&gw->path, gw->now_us))
    return;
  const ut_upstream *up = _gw_choose_probed (gw);
  if (up == NULL || gw->config == NULL)
    return;
  const rc_service *service
      = rc_find_service (gw->config, st_name_str (&up->entry.service));
  char head[_GW_PROBE_HEAD_BYTES] = "";
  int len = 0;
  if (service != NULL && service->health_path.len > 0)
    len = snprintf (head, sizeof head,
                    "GET %.*s HTTP/1.1\r\nHost: %.*s\r\n\r\n",
                    ST_FMT (service->health_path),
                    ST_FMT (st_name_str (&up->entry.address)));
  if (len < 0 || (size_t)len >= sizeof head)
    len = 0;
  gw->path_probe_us = gw->now_us;
  gw->path_probe = uc_send (
      gw->pool, &(uc_request){ .address = st_name_str (&up->entry.address),
                               .instance = st_name_str (&up->entry.id),
                               .head = { head, (size_t)len },
                               .any_response = true,
                               .on_event = _gw_on_probe,
                               .user = gw });
}

/* Records the attempts that wait for their upstream, and decides whether this
   VM has a path to any.  */
void
_gw_check_path (gw_task *gw)
{
  for (uint32_t i = 0; i < gw->used; i++)
    {
      const _gw_request *r = &gw->requests[i];
      if (r->state == _GW_FREE || r->exchange == NULL || r->is_forwarded)
        continue;
      uint64_t since_us = r->last_event_us > 0 ? r->last_event_us : r->sent_us;
      pa_on_silent (&gw->path, ut_hash (st_name_str (&r->upstream_id)),
                    since_us, gw->now_us);
    }
  _gw_update_path (gw);
  _gw_probe_path (gw);
}
