/* Rollouts: which version of a service requests are sent to, by the rules of
   vr.h.  */
#include "gw_internal.h"
#include "pc.h"

/* Fewest events of an attempt whose mean time between events is judged.  */
#define _GW_PACE_EVENTS_MIN 3

/* Starts the rollout of SERVICE to the version TARGET, as the order of
   REVISION requests; an order that is known is ignored.  */
void
gw_set_rollout (gw_task *gw, st_str service, st_str target,
                uint64_t duration_us, uint64_t revision)
{
  vr_rollout *rollout = &_gw_find_service (gw, service)->rollout;
  if (revision <= rollout->order_revision)
    return;
  LO_EVENT ("rollout_ordered", ST_LIT (""), LO_STR ("service", service),
            LO_STR ("target", target), LO_INT ("revision", revision),
            LO_INT ("duration_ms", duration_us / CK_MS_US));
  vr_set_order (rollout, target, duration_us, revision, _gw_now (gw));
}

/* Stores the STATE of the rollout of SERVICE to TARGET, which was written at
   REVISION.  */
void
gw_set_rollout_state (gw_task *gw, st_str service, st_str target,
                      vr_state state, uint64_t revision)
{
  vr_rollout *rollout = &_gw_find_service (gw, service)->rollout;
  vr_state before = rollout->state;
  _gw_now (gw);
  vr_set_status (rollout, target, state, revision);
  if (rollout->state == before)
    return;
  LO_EVENT ("rollout_state", ST_LIT (""), LO_STR ("service", service),
            LO_STR ("target", target), LO_INT ("state", rollout->state),
            LO_INT ("revision", revision));
  _gw_schedule_all (gw);
}

/* Sets the versions that R may be sent to.  */
void
_gw_choose_versions (_gw_request *r)
{
  const vr_rollout *rollout = &_gw_service_of (r)->rollout;
  r->demand.rollout = rollout->target.len > 0 ? rollout : NULL;
  r->demand.versions = vr_choose (rollout, _gw_random (r->gw));
}

/* Fills ROWS with what this VM has seen of the rollouts in progress; returns
   their number.  */
size_t
_gw_own_rollouts (const gw_task *gw,
                  ms_load_rollout rows[MS_LOAD_ROLLOUTS_MAX])
{
  size_t count = 0;
  for (guint i = 0; i < gw->services->len && count < MS_LOAD_ROLLOUTS_MAX; i++)
    {
      const _gw_service *service = gw->services->pdata[i];
      const vr_rollout *r = &service->rollout;
      if (r->target.len > 0 && r->state == VR_RUNNING)
        rows[count++]
            = (ms_load_rollout){ .service
                                 = ut_hash (st_name_str (&service->name)),
                                 .order = r->order_revision,
                                 .target_seen = r->target_counts.seen,
                                 .target_failed = r->target_counts.failed,
                                 .other_seen = r->other_counts.seen,
                                 .other_failed = r->other_counts.failed };
    }
  return count;
}

static void
_gw_log_bad_version (const _gw_service *service, st_str id)
{
  const vr_rollout *r = &service->rollout;
  LO_EVENT ("rollout_bad", id,
            LO_STR ("service", st_name_str (&service->name)),
            LO_STR ("target", st_name_str (&r->target)),
            LO_INT ("seen", r->target_counts.seen),
            LO_INT ("failed", r->target_counts.failed),
            LO_INT ("old_seen", r->other_counts.seen),
            LO_INT ("old_failed", r->other_counts.failed),
            LO_INT ("peers_seen", r->peer_target_counts.seen),
            LO_INT ("peers_failed", r->peer_target_counts.failed),
            LO_INT ("peers_old_seen", r->peer_other_counts.seen),
            LO_INT ("peers_old_failed", r->peer_other_counts.failed));
}

static void
_gw_add_peer_counts (const _gw_peer *p, uint64_t service, uint64_t order,
                     vr_counts *target, vr_counts *other)
{
  for (size_t i = 0; i < p->rollout_count; i++)
    if (p->key != 0 && p->rollouts[i].service == service
        && p->rollouts[i].order == order)
      {
        target->seen += p->rollouts[i].target_seen;
        target->failed += p->rollouts[i].target_failed;
        other->seen += p->rollouts[i].other_seen;
        other->failed += p->rollouts[i].other_failed;
      }
}

/* Sums what the other VMs have seen of the rollouts in progress.  */
void
_gw_count_rollouts (gw_task *gw)
{
  for (guint i = 0; i < gw->services->len; i++)
    {
      _gw_service *service = gw->services->pdata[i];
      vr_rollout *r = &service->rollout;
      vr_counts target = { 0 };
      vr_counts other = { 0 };
      bool was_bad = r->found_bad;
      if (r->target.len == 0 || r->state != VR_RUNNING)
        continue;
      for (int k = 0; k < UT_PEERS_MAX; k++)
        _gw_add_peer_counts (&gw->peer[k],
                             ut_hash (st_name_str (&service->name)),
                             r->order_revision, &target, &other);
      vr_set_peer_counts (r, &target, &other);
      if (r->found_bad && !was_bad)
        _gw_log_bad_version (service, ST_LIT (""));
    }
}

/* Times of R's attempt, which ends with OUTCOME.  */
static vr_sample
_gw_version_sample (const _gw_request *r, ut_outcome outcome)
{
  uint64_t first_us
      = r->attempt_first_us > 0 ? r->attempt_first_us : r->gw->now_us;
  vr_sample sample
      = { .route = ut_hash (r->route->name),
          .failed = outcome == UT_FAILED || outcome == UT_CONNECTION_LOST,
          .abandoned = outcome == UT_ABANDONED,
          .first_us = first_us - r->sent_us };
  if (r->attempt_events >= _GW_PACE_EVENTS_MIN)
    sample.pace_us
        = (r->last_event_us - r->attempt_first_us) / (r->attempt_events - 1);
  return sample;
}

/* Records the OUTCOME of R's attempt for the version that it was sent to.  */
void
_gw_record_version (_gw_request *r, ut_outcome outcome)
{
  vr_rollout *rollout = &_gw_service_of (r)->rollout;
  const ut_upstream *up = ut_query (r->gw->upstreams, r->upstream);
  if (rollout->target.len == 0 || up == NULL || outcome == UT_UNREACHABLE
      || outcome == UT_REFUSED)
    return;
  bool target = st_equal (st_name_str (&rollout->target),
                          st_name_str (&up->entry.version));
  vr_sample sample = _gw_version_sample (r, outcome);
  bool was_bad = rollout->found_bad;
  vr_record (rollout, target, &sample);
  if (rollout->found_bad && !was_bad)
    _gw_log_bad_version (_gw_service_of (r), st_name_str (&r->id));
}

/* True when this VM is the first by name of the active ones that report.  */
static bool
_gw_is_first_active (const gw_task *gw)
{
  if (gw->peers != NULL && gw->group.id != 0 && !gw->group.active)
    return false;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      if (p->key != 0 && p->scope == MS_LOAD_VM && p->ready && p->active
          && gw->now_us - p->report_received_us < _GW_REPORT_TIMEOUT_US
          && pc_compare_names (st_name_str (&p->name), gw->desc.vm_name) < 0)
        return false;
    }
  return true;
}

static void
_gw_count_slots (const gw_task *gw, const _gw_service *service, vr_inputs *in)
{
  ut_id id = { 0, 0 };
  while (ut_next (gw->upstreams, &id))
    {
      const ut_upstream *up = ut_query (gw->upstreams, id);
      if (up->entry.leaving
          || !st_equal (st_name_str (&up->entry.service),
                        st_name_str (&service->name)))
        continue;
      if (st_equal (st_name_str (&up->entry.version),
                    st_name_str (&service->rollout.target)))
        in->target_slots += up->entry.slots;
      else
        in->other_slots += up->entry.slots;
    }
}

/* Writes the states of rollouts that this VM has to write.  */
void
_gw_tick_rollouts (gw_task *gw)
{
  for (guint i = 0; i < gw->services->len; i++)
    {
      _gw_service *service = gw->services->pdata[i];
      vr_rollout *rollout = &service->rollout;
      if (rollout->target.len == 0 || rollout->state != VR_RUNNING
          || gw->desc.write_rollout == NULL || gw->drain.start_us != 0)
        continue;
      vr_inputs in
          = { .controller = _gw_is_first_active (gw), .now_us = gw->now_us };
      _gw_count_slots (gw, service, &in);
      vr_state state = vr_tick (rollout, &in);
      if (state == VR_NONE)
        continue;
      LO_EVENT ("rollout_write", ST_LIT (""),
                LO_STR ("service", st_name_str (&service->name)),
                LO_STR ("target", st_name_str (&rollout->target)),
                LO_INT ("state", state),
                LO_BOOL ("found_bad", rollout->found_bad),
                LO_INT ("seen", rollout->target_counts.seen),
                LO_INT ("failed", rollout->target_counts.failed),
                LO_INT ("peers_seen", rollout->peer_target_counts.seen),
                LO_INT ("peers_failed", rollout->peer_target_counts.failed),
                LO_INT ("target_slots", in.target_slots),
                LO_INT ("other_slots", in.other_slots),
                LO_INT ("revision", rollout->status_revision));
      gw->desc.write_rollout (gw->desc.user, st_name_str (&service->name),
                              st_name_str (&rollout->target), state,
                              rollout->status_revision);
    }
}
