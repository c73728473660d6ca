/* Path: notices when this VM is partitioned from all upstreams, by the rules
   of pa.h.  */
#include "gw_internal.h"

static uint32_t
_gw_count_upstreams (const gw_task *gw)
{
  uint32_t count = 0;
  ut_id id = { 0, 0 };
  while (ut_next (gw->upstreams, &id))
    count++;
  return count;
}

static void
_gw_update_path (gw_task *gw)
{
  uint64_t heard_us = gw->path.heard_us;
  uint64_t changed_us = gw->path.changed_us;
  uint32_t failed = gw->path.failed;
  uint32_t silent = gw->path.silent;
  uint32_t upstreams = _gw_count_upstreams (gw);
  if (!pa_update (&gw->path, upstreams, gw->now_us))
    return;
  if (gw->path.lost)
    LO_EVENT ("path_lost", ST_LIT (""),
              LO_INT ("unheard_ms", (gw->now_us - heard_us) / CK_MS_US),
              LO_INT ("failed", failed), LO_INT ("silent", silent),
              LO_INT ("upstreams", upstreams));
  else
    LO_EVENT ("path_found", ST_LIT (""),
              LO_INT ("after_ms", (gw->now_us - changed_us) / CK_MS_US));
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
  _gw_update_path (r->gw);
}

/* Records the attempts that wait for their upstream.  */
void
_gw_check_path (gw_task *gw)
{
  for (uint32_t i = 0; i < gw->used; i++)
    {
      const _gw_request *r = &gw->requests[i];
      if (r->state == _GW_FREE || r->exchange == NULL)
        continue;
      uint64_t since_us = r->last_event_us > 0 ? r->last_event_us : r->sent_us;
      pa_on_silent (&gw->path, ut_hash (st_name_str (&r->upstream_id)),
                    since_us, gw->now_us);
    }
  _gw_update_path (gw);
}
