/* Rollouts: which version of a service requests are sent to, by the rules of
   vr.h.  */
#include "gw_internal.h"
#include "pc.h"

/* An order's age at another VM is adopted beyond this difference, which the
   way of the order to the VMs and of the reports explains.  */
#define _GW_ROLLOUT_SKEW_US 1000000
/* Fewest events of an attempt whose mean time between events is judged.  */
#define _GW_PACE_EVENTS_MIN 3
/* A VM that has run for less when it reads an order may have restarted during
   the rollout.  */
#define _GW_ROLLOUT_UPTIME_MIN_US 2000000

/* This VM's part of the requests that a bad version may get in addition to its
   share.  A VM that may have restarted gets none: its part may be used up.  */
static double
_gw_exposure_slack (const gw_task *gw)
{
  uint32_t vms = gw->group.active_count > 0 ? gw->group.active_count
                                            : gw_query_vm_count (gw);
  if (gw->now_us - gw->started_us < _GW_ROLLOUT_UPTIME_MIN_US)
    return 0;
  return gw->desc.bounds.exposure_slack / (vms > 0 ? vms : 1);
}

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
  _gw_now (gw);
  vr_set_order (rollout,
                &(vr_order){ .target = target,
                             .duration_us = duration_us,
                             .revision = revision,
                             .exposure_share = gw->desc.bounds.exposure_share,
                             .exposure_slack = _gw_exposure_slack (gw) },
                gw->now_us);
}

/* Adopts REVISION, at which the order of the rollout of SERVICE was written
   again without a change.  */
void
gw_renew_rollout (gw_task *gw, st_str service, uint64_t revision)
{
  vr_renew_order (&_gw_find_service (gw, service)->rollout, revision);
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
  r->demand.versions
      = vr_choose (rollout, ut_hash (r->route->name), r->version_draw);
}

static bool
_gw_is_target (const vr_rollout *rollout, const ut_upstream *up)
{
  return st_equal (st_name_str (&rollout->target),
                   st_name_str (&up->entry.version));
}

/* The upstream of R's service that is kept under load, the same one at all
   VMs; generation 0 when none may be.  Where the loads of other data centres
   arrive late each data centre has its own: all VMs together would send it
   many times its load before they see it.  */
static ut_id
_gw_find_tested_upstream (const _gw_request *r, const vr_rollout *rollout)
{
  const gw_task *gw = r->gw;
  ut_id found = { 0, 0 };
  uint64_t found_hash = 0;
  ut_id id = { 0, 0 };
  while (ut_next (gw->upstreams, &id))
    {
      const ut_upstream *up = ut_query (gw->upstreams, id);
      if (!up->entry.leaving && !up->evacuated && _gw_is_target (rollout, up)
          && !(gw->group.remote_loads_delayed
               && ut_query_distance (gw->upstreams, id) > 0)
          && st_equal (st_name_str (&up->entry.service),
                       st_name_str (&r->service))
          && (found.generation == 0 || up->hash < found_hash))
        {
          found = id;
          found_hash = up->hash;
        }
    }
  return found;
}

/* The upstream under load test to which R, a first attempt, is to be sent;
   generation 0 where there is none, or it has its load.  */
ut_id
_gw_choose_load_test (_gw_request *r)
{
  gw_task *gw = r->gw;
  const vr_rollout *rollout = &_gw_service_of (r)->rollout;
  if (!vr_in_load_test (rollout, gw->now_us) || r->attempt_count > 0
      || r->has_last_event)
    return (ut_id){ 0, 0 };
  ut_id id = _gw_find_tested_upstream (r, rollout);
  const ut_upstream *up = ut_query (gw->upstreams, id);
  /* The version that was drawn does not matter here.  */
  gq_demand demand = r->demand;
  demand.rollout = NULL;
  if (up == NULL || up->avoid_until_us > gw->now_us
      || !gq_may_send (up, st_name_str (&r->service), &demand, gw->now_us)
      || up->own_running + up->peer_running > up->entry.slots / 2)
    return (ut_id){ 0, 0 };
  return id;
}

/* Counts the dispatch of R to UP.  */
void
_gw_count_version (_gw_request *r, const ut_upstream *up)
{
  vr_rollout *rollout = &_gw_service_of (r)->rollout;
  bool target = rollout->target.len > 0 && _gw_is_target (rollout, up);
  r->running_before = up->own_running + up->peer_running;
  r->load_test = target && vr_in_load_test (rollout, r->gw->now_us);
  vr_count_sent (rollout, target);
}

/* Adds ROWS, which SERVICE has seen of its rollout, to OUT, which has COUNT
   rows; returns their new number.  */
static size_t
_gw_add_rollout_rows (const gw_task *gw, const _gw_service *service,
                      ms_load_rollout *out, size_t count)
{
  const vr_rollout *r = &service->rollout;
  vr_row rows[VR_ROWS_MAX];
  size_t added = vr_query_rows (r, rows, VR_ROWS_MAX);
  for (size_t i = 0; i < added && count < MS_LOAD_ROLLOUTS_MAX; i++)
    out[count++] = (ms_load_rollout){
      .service = ut_hash (st_name_str (&service->name)),
      .order = r->order_revision,
      .age_ms = (uint32_t)((gw->now_us - r->start_us) / CK_MS_US),
      .stratum = rows[i].key,
      .target_seen = rows[i].target.seen,
      .target_failed = rows[i].target.failed,
      .other_seen = rows[i].other.seen,
      .other_failed = rows[i].other.failed
    };
  return count;
}

/* Fills ROWS with what this VM has seen of the rollouts in progress; returns
   their number.  */
size_t
_gw_own_rollouts (const gw_task *gw,
                  ms_load_rollout rows[MS_LOAD_ROLLOUTS_MAX])
{
  size_t count = 0;
  for (guint i = 0; i < gw->services->len; i++)
    {
      const _gw_service *service = gw->services->pdata[i];
      if (service->rollout.target.len > 0
          && service->rollout.state == VR_RUNNING)
        count = _gw_add_rollout_rows (gw, service, rows, count);
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
            LO_CSTR ("by", r->bad_key == VR_ALL         ? "all"
                           : r->bad_key == VR_LOAD_TEST ? "load_test"
                                                        : "route"),
            LO_INT ("seen", r->target_counts.seen),
            LO_INT ("failed", r->target_counts.failed),
            LO_INT ("old_seen", r->other_counts.seen),
            LO_INT ("old_failed", r->other_counts.failed),
            LO_INT ("peers_seen", r->peer_target_counts.seen),
            LO_INT ("peers_failed", r->peer_target_counts.failed),
            LO_INT ("peers_old_seen", r->peer_other_counts.seen),
            LO_INT ("peers_old_failed", r->peer_other_counts.failed));
}

/* Appends the rows that P has reported of the rollout of SERVICE to ROWS.  */
static void
_gw_add_peer_rows (gw_task *gw, const _gw_peer *p, _gw_service *service,
                   GArray *rows)
{
  uint64_t hash = ut_hash (st_name_str (&service->name));
  for (size_t i = 0; i < p->rollout_count; i++)
    {
      const ms_load_rollout *from = &p->rollouts[i];
      if (from->service != hash
          || from->order != service->rollout.order_revision)
        continue;
      vr_row row = { .key = from->stratum,
                     .target = { from->target_seen, from->target_failed },
                     .other = { from->other_seen, from->other_failed } };
      g_array_append_val (rows, row);
      if (from->age_ms * CK_MS_US
          > gw->now_us - service->rollout.start_us + _GW_ROLLOUT_SKEW_US)
        vr_set_age (&service->rollout, from->age_ms * CK_MS_US, gw->now_us);
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
      bool was_bad = r->found_bad;
      if (r->target.len == 0 || r->state != VR_RUNNING)
        continue;
      GArray *rows = g_array_new (FALSE, FALSE, sizeof (vr_row));
      for (int k = 0; k < UT_PEERS_MAX; k++)
        if (gw->peer[k].key != 0)
          _gw_add_peer_rows (gw, &gw->peer[k], service, rows);
      vr_set_peer_rows (r, (const vr_row *)(void *)rows->data, rows->len);
      g_array_free (rows, TRUE);
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
          .load_test = r->load_test,
          .running = r->running_before,
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
  bool target = _gw_is_target (rollout, up);
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
      if (_gw_is_target (&service->rollout, up))
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
      vr_inputs in = { .controller = _gw_is_first_active (gw),
                       .deputy = gw->peers == NULL || gw->group.active,
                       .now_us = gw->now_us };
      _gw_count_slots (gw, service, &in);
      vr_state state = vr_tick (rollout, &in);
      if (state == VR_NONE)
        continue;
      LO_EVENT (
          "rollout_write", ST_LIT (""),
          LO_STR ("service", st_name_str (&service->name)),
          LO_STR ("target", st_name_str (&rollout->target)),
          LO_INT ("state", state), LO_BOOL ("found_bad", rollout->found_bad),
          LO_INT ("sent", rollout->target_sent),
          LO_INT ("old_sent", rollout->other_sent),
          LO_INT ("seen", rollout->target_counts.seen),
          LO_INT ("failed", rollout->target_counts.failed),
          LO_INT ("peers_seen", rollout->peer_target_counts.seen),
          LO_INT ("peers_failed", rollout->peer_target_counts.failed),
          LO_INT ("test_seen", rollout->strata[0].own.target.seen),
          LO_INT ("test_failed", rollout->strata[0].own.target.failed),
          LO_INT ("peers_test_seen", rollout->strata[0].peers.target.seen),
          LO_INT ("peers_test_failed", rollout->strata[0].peers.target.failed),
          LO_INT ("target_slots", in.target_slots),
          LO_INT ("other_slots", in.other_slots),
          LO_INT ("revision", rollout->status_revision));
      gw->desc.write_rollout (gw->desc.user, st_name_str (&service->name),
                              st_name_str (&rollout->target), state,
                              rollout->status_revision);
    }
}
