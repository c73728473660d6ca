#include "gw_internal.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

/* Intervals of the checks for expired reports, and for queue time-outs while
   requests wait.  */
#define _GW_TICK_US 250000
#define _GW_QUEUE_CHECK_INTERVAL_US 20000
/* Fraction of the quota slack that bursts may use; the rest covers load
   reports in transit between the VMs.  */
#define _GW_BURST_SLACK_FRACTION 0.5

/* Reads the clock into GW->now_us, in microseconds, and returns it.  */
uint64_t
_gw_now (gw_task *gw)
{
  gw->now_us = ck_now_us (gw->desc.clock);
  return gw->now_us;
}

/* Next number of an xorshift generator.  It chooses between equal upstreams
   and makes incarnation names; it is not for secrets.  */
uint32_t
_gw_random (gw_task *gw)
{
  gw->random ^= gw->random << 13;
  gw->random ^= gw->random >> 17;
  gw->random ^= gw->random << 5;
  return gw->random;
}

/* State of the service NAME, created on first use.  */
_gw_service *
_gw_find_service (gw_task *gw, st_str name)
{
  for (guint i = 0; i < gw->services->len; i++)
    {
      _gw_service *service = gw->services->pdata[i];
      if (st_equal (st_name_str (&service->name), name))
        return service;
    }
  _gw_service *service = g_new0 (_gw_service, 1);
  st_name_set (&service->name, name);
  g_ptr_array_add (gw->services, service);
  return service;
}

/* State of R's service.  */
_gw_service *
_gw_service_of (_gw_request *r)
{
  return _gw_find_service (r->gw, st_name_str (&r->service));
}

/* State of the team whose name has HASH, created on first use.  */
_gw_team *
_gw_find_team_hash (gw_task *gw, uint64_t hash)
{
  for (guint i = 0; i < gw->teams->len; i++)
    {
      _gw_team *team = gw->teams->pdata[i];
      if (team->hash == hash)
        return team;
    }
  _gw_team *team = g_new0 (_gw_team, 1);
  team->hash = hash;
  g_ptr_array_add (gw->teams, team);
  return team;
}

/* State of the team NAME, created on first use.  */
_gw_team *
_gw_find_team (gw_task *gw, st_str name)
{
  _gw_team *team = _gw_find_team_hash (gw, ut_hash (name));
  if (team->name.len == 0)
    st_name_set (&team->name, name);
  return team;
}

static void
_gw_on_tick (evutil_socket_t fd, short what, void *user)
{
  gw_task *gw = user;
  (void)fd;
  (void)what;
  _gw_now (gw);
  _gw_expire_peers (gw);
  _gw_reserve_unheard (gw);
  _gw_check_path (gw);
  _gw_forward_waiting (gw);
  _gw_end_stalled (gw);
  _gw_tick_rollouts (gw);
  _gw_publish_quarantine (gw);
  _gw_schedule_all (gw);
}

static bool
_gw_has_waiting (const gw_task *gw)
{
  for (guint i = 0; i < gw->services->len; i++)
    for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
      if (((_gw_service *)gw->services->pdata[i])->queue.first[rank] != NULL)
        return true;
  return false;
}

static void
_gw_on_queue_timer (evutil_socket_t fd, short what, void *user)
{
  gw_task *gw = user;
  (void)fd;
  (void)what;
  _gw_schedule_all (gw);
  _gw_expire_queues (gw);
  if (_gw_has_waiting (gw))
    _gw_arm_queue_timer (gw);
}

/* Arms the timer that checks the queues for time-outs.  */
void
_gw_arm_queue_timer (gw_task *gw)
{
  struct timeval tv = { 0, _GW_QUEUE_CHECK_INTERVAL_US };
  if (!event_pending (gw->queue_timer, EV_TIMEOUT, NULL))
    event_add (gw->queue_timer, &tv);
}

/* Makes the task and opens its listeners; NULL and ERR on failure.  */
gw_task *
gw_make (const gw_desc *desc, er_error *err)
{
  gw_task *gw = g_new0 (gw_task, 1);
  gw->desc = *desc;
  if (gw->desc.clock == NULL)
    gw->desc.clock = &gw->runtime;
  gw->random = (uint32_t)(desc->seed ^ desc->seed >> 32) | 1;
  gw->services = g_ptr_array_new_with_free_func (g_free);
  gw->teams = g_ptr_array_new_with_free_func (g_free);
  gw->route_callers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  gw->route_times
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  gw->conns = g_ptr_array_new ();
  gw->body_waiting = g_ptr_array_new ();
  gw->limits = desc->limits != NULL ? desc->limits : lm_make (&(lm_desc){ 0 });
  _gw_start_bodies (gw);
  _gw_start_responses (gw);
  gw->regions = g_array_new (FALSE, TRUE, sizeof (st_name));
  gw->active_vms = g_array_new (FALSE, TRUE, sizeof (_gw_active_vm));
  _gw_make_group (&gw->group);
  gw->listed = g_array_new (FALSE, TRUE, sizeof (_gw_listed_vm));
  gw->silent = _gw_make_silent ();
  gw->seen_peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  gw->quota_ledger = qa_make (&(qa_desc){ 0 });
  gw->quarantine = qn_make (&(qn_desc){ .seed = desc->seed });
  gw->requests = g_new0 (_gw_request, GW_REQUESTS_MAX);
  ut_desc table = { 0 };
  st_name_set (&table.vm, desc->vm_name);
  st_name_set (&table.data_center, desc->data_center);
  st_name_set (&table.region, desc->region);
  gw->upstreams = ut_make (&table);
  gw->pool
      = uc_make (&(uc_desc){ .base = desc->base,
                             .max_connections = desc->upstream_connections,
                             .id_field = desc->names->request_id });
  gw->started_us = _gw_now (gw);
  if (gw->upstreams == NULL || gw->quota_ledger == NULL
      || gw->quarantine == NULL)
    er_set (err, ER_INTERNAL, "out of memory for the upstreams and quotas");
  if (gw->upstreams == NULL || gw->quota_ledger == NULL
      || gw->quarantine == NULL || !_gw_listen (gw, err)
      || !_gw_start_peers (gw, err))
    {
      gw_destroy (gw);
      return NULL;
    }
  gw->queue_timer = evtimer_new (desc->base, _gw_on_queue_timer, gw);
  gw->tick = event_new (desc->base, -1, EV_PERSIST, _gw_on_tick, gw);
  struct timeval tv = { 0, _GW_TICK_US };
  event_add (gw->tick, &tv);
  return gw;
}

/* Closes everything and releases GW; GW may be NULL.  */
void
gw_destroy (gw_task *gw)
{
  if (gw == NULL)
    return;
  while (gw->conns->len > 0)
    _gw_close_conn (gw->conns->pdata[gw->conns->len - 1]);
  if (gw->tick != NULL)
    event_free (gw->tick);
  if (gw->queue_timer != NULL)
    event_free (gw->queue_timer);
  if (gw->drain_timer != NULL)
    event_free (gw->drain_timer);
  if (gw->load_timer != NULL)
    event_free (gw->load_timer);
  if (gw->group_timer != NULL)
    event_free (gw->group_timer);
  if (gw->peers != NULL)
    pe_destroy (gw->peers);
  if (gw->listener != NULL)
    evconnlistener_free (gw->listener);
  if (gw->desc.limits == NULL)
    lm_destroy (gw->limits);
  uc_destroy (gw->pool);
  ut_destroy (gw->upstreams);
  rc_unref (gw->config);
  g_ptr_array_free (gw->services, TRUE);
  g_ptr_array_free (gw->teams, TRUE);
  g_hash_table_destroy (gw->route_callers);
  g_hash_table_destroy (gw->route_times);
  g_ptr_array_free (gw->conns, TRUE);
  g_ptr_array_free (gw->body_waiting, TRUE);
  _gw_destroy_group (&gw->group);
  g_hash_table_destroy (gw->seen_peers);
  g_array_free (gw->listed, TRUE);
  g_array_free (gw->regions, TRUE);
  g_array_free (gw->active_vms, TRUE);
  g_array_free (gw->silent, TRUE);
  qa_destroy (gw->quota_ledger);
  qn_destroy (gw->quarantine);
  for (int i = 0; i < UT_PEERS_MAX; i++)
    g_free (gw->peer[i].rows);
  g_free (gw->requests);
  g_free (gw);
}

/* Amount that TEAM may use beyond its burst: a fraction of the quota slack.
   The slack is in tokens, so a quota of requests gets none.  */
double
_gw_quota_slack (const gw_task *gw, const rc_team *team)
{
  return team->by_tokens
             ? _GW_BURST_SLACK_FRACTION * gw->desc.bounds.quota_slack
             : 0;
}

/* Applies CONFIG to new requests, unless its version is not newer than the
   current one.  Takes a reference.  */
void
gw_set_config (gw_task *gw, rc_config *config)
{
  uint64_t version = rc_query_version (config);
  if (version <= gw_query_config_version (gw))
    return;
  LO_EVENT ("configuration", ST_LIT (""), LO_INT ("version", version),
            LO_INT ("before", gw_query_config_version (gw)));
  rc_unref (gw->config);
  gw->config = rc_ref (config);
  _gw_now (gw);
  const rc_team *team;
  for (uint32_t i = 0; (team = rc_query_team (config, i)) != NULL; i++)
    {
      bu_set_quota (&_gw_find_team (gw, team->name)->quota, team->rate,
                    team->burst + _gw_quota_slack (gw, team), gw->now_us);
    }
  _gw_set_cold_limits (gw);
  _gw_bind_all_regions (gw);
  _gw_load_changed (gw);
}

/* Adds or updates the upstream ENTRY of the registry.  */
void
gw_put_upstream (gw_task *gw, const ut_entry *entry)
{
  ut_id id = ut_find (gw->upstreams, st_name_str (&entry->id));
  const ut_upstream *existing = ut_query (gw->upstreams, id);
  bool was_leaving = existing != NULL && existing->entry.leaving;
  bool changed
      = existing == NULL || existing->entry.started_ms != entry->started_ms;
  _gw_now (gw);
  id = ut_put (gw->upstreams, entry, gw->now_us);
  if (id.generation == 0)
    {
      LO_EVENT ("upstreams_full", ST_LIT (""),
                LO_STR ("upstream", st_name_str (&entry->id)));
      return;
    }
  bool leaving = ut_query (gw->upstreams, id)->entry.leaving;
  if (!changed && leaving == was_leaving)
    return;
  LO_EVENT ("upstream", ST_LIT (""),
            LO_STR ("upstream", st_name_str (&entry->id)),
            LO_STR ("service", st_name_str (&entry->service)),
            LO_STR ("version", st_name_str (&entry->version)),
            LO_BOOL ("leaving", leaving), LO_INT ("slots", entry->slots));
  _gw_schedule_all (gw);
}

/* Removes the upstream ID, which the registry no longer has, for REASON.
   Requests in progress there continue.  */
void
gw_remove_upstream (gw_task *gw, st_str id, const char *reason)
{
  ut_id upstream = ut_find (gw->upstreams, id);
  if (upstream.generation == 0)
    return;
  LO_EVENT ("upstream_gone", ST_LIT (""), LO_STR ("upstream", id),
            LO_CSTR ("reason", reason));
  ut_remove (gw->upstreams, upstream);
  uc_close_instance (gw->pool, id);
}

static void
_gw_store_listed (gw_task *gw, const gw_vm_entry *vms, uint32_t count)
{
  g_array_set_size (gw->listed, 0);
  for (uint32_t i = 0; i < count; i++)
    {
      _gw_listed_vm vm = { .capacity = vms[i].capacity };
      st_name_set (&vm.name, vms[i].name);
      st_name_set (&vm.region, vms[i].region);
      st_name_set (&vm.data_center, vms[i].data_center);
      st_name_set (&vm.callers_address, vms[i].callers_address);
      g_array_append_val (gw->listed, vm);
    }
}

/* Replaces the VM list by the COUNT VMS of the registry.  */
void
gw_set_vms (gw_task *gw, const gw_vm_entry *vms, uint32_t count)
{
  mb_vm_entry *entries = g_new0 (mb_vm_entry, count + 1);
  for (uint32_t i = 0; i < count; i++)
    entries[i] = (mb_vm_entry){ .name = vms[i].name,
                                .region = vms[i].region,
                                .data_center = vms[i].data_center,
                                .peer_address = vms[i].peer_address,
                                .callers_address = vms[i].callers_address,
                                .capacity = vms[i].capacity };
  if (gw->peers != NULL)
    pe_set_vm_list (gw->peers, entries, count);
  g_free (entries);
  _gw_store_listed (gw, vms, count);
  _gw_start_quotas (gw);
}

/* True when callers may be sent to this VM.  */
bool
gw_query_ready (const gw_task *gw)
{
  return gw->config != NULL && gw->drain.start_us == 0 && !_gw_is_cut_off (gw);
}

/* Requests since the start, and the requests and caller connections that are
   open now.  */
gw_counts
gw_query_counts (const gw_task *gw)
{
  return (gw_counts){ .requests = gw->request_count,
                      .open = gw->open_count,
                      .callers = gw->conns->len,
                      .stored_bytes = gw->stored_bytes,
                      .body_bytes = gw->bodies.used };
}

/* The upstreams and their load.  */
const ut_table *
gw_query_upstreams (const gw_task *gw)
{
  return gw->upstreams;
}

/* Version of the current configuration; 0 when there is none.  */
uint64_t
gw_query_config_version (const gw_task *gw)
{
  return gw->config != NULL ? rc_query_version (gw->config) : 0;
}

/* Port of the listener of callers; 0 when it is closed.  */
uint16_t
gw_query_port (const gw_task *gw)
{
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;
  if (gw->listener == NULL
      || getsockname (evconnlistener_get_fd (gw->listener),
                      (struct sockaddr *)&address, &len)
             != 0)
    return 0;
  return ntohs (address.sin_port);
}
