#include "gw_internal.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

/* How often reports are looked through; and queues, while requests wait.  */
#define _GW_TICK_US 250000
#define _GW_EXPIRY_US 20000
/* Part of the slack that bursts may use; the rest is for reports that are
   under way between the VMs.  */
#define _GW_SLACK_PART 0.5

/* Reads the clock for the work at hand.  */
uint64_t
_gw_now (gw_task *gw)
{
  gw->now_us = ck_now_us (gw->desc.clock);
  return gw->now_us;
}

/* Next number of a plain generator; it breaks ties only.  */
uint32_t
_gw_random (gw_task *gw)
{
  gw->random ^= gw->random << 13;
  gw->random ^= gw->random >> 17;
  gw->random ^= gw->random << 5;
  return gw->random;
}

/* State of the service NAME, made when it is first asked for.  */
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

/* State of the team NAME, made when it is first asked for.  */
_gw_team *
_gw_find_team (gw_task *gw, st_str name)
{
  for (guint i = 0; i < gw->teams->len; i++)
    {
      _gw_team *team = gw->teams->pdata[i];
      if (st_equal (st_name_str (&team->name), name))
        return team;
    }
  _gw_team *team = g_new0 (_gw_team, 1);
  st_name_set (&team->name, name);
  team->hash = ut_hash (name);
  g_ptr_array_add (gw->teams, team);
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
  _gw_schedule_all (gw);
}

static bool
_gw_some_wait (const gw_task *gw)
{
  for (guint i = 0; i < gw->services->len; i++)
    for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
      if (((_gw_service *)gw->services->pdata[i])->queue.first[rank] != NULL)
        return true;
  return false;
}

static void
_gw_on_expiry (evutil_socket_t fd, short what, void *user)
{
  gw_task *gw = user;
  (void)fd;
  (void)what;
  _gw_schedule_all (gw);
  _gw_expire_queues (gw);
  if (_gw_some_wait (gw))
    _gw_watch_queues (gw);
}

/* Looks through the queues soon.  */
void
_gw_watch_queues (gw_task *gw)
{
  struct timeval tv = { 0, _GW_EXPIRY_US };
  if (!event_pending (gw->expiry, EV_TIMEOUT, NULL))
    event_add (gw->expiry, &tv);
}

/* Makes the task and opens its listeners.  */
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
  gw->callers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  gw->conns = g_ptr_array_new ();
  _gw_make_cell (&gw->cell);
  gw->heard
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  gw->requests = g_new0 (_gw_request, GW_REQUESTS_MAX);
  ut_desc table = { 0 };
  st_name_set (&table.vm, desc->vm_name);
  st_name_set (&table.data_center, desc->data_center);
  st_name_set (&table.region, desc->region);
  gw->upstreams = ut_make (&table);
  gw->pool = uc_make (
      &(uc_desc){ .base = desc->base, .id_field = desc->names->request_id });
  gw->started_us = _gw_now (gw);
  if (gw->upstreams == NULL)
    er_set (err, ER_INTERNAL, "out of memory for the upstreams");
  if (gw->upstreams == NULL || !_gw_listen (gw, err)
      || !_gw_start_peers (gw, err))
    {
      gw_destroy (gw);
      return NULL;
    }
  gw->expiry = evtimer_new (desc->base, _gw_on_expiry, gw);
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
  if (gw->expiry != NULL)
    event_free (gw->expiry);
  if (gw->load_timer != NULL)
    event_free (gw->load_timer);
  if (gw->cell_timer != NULL)
    event_free (gw->cell_timer);
  if (gw->peers != NULL)
    pe_destroy (gw->peers);
  if (gw->listener != NULL)
    evconnlistener_free (gw->listener);
  uc_destroy (gw->pool);
  ut_destroy (gw->upstreams);
  rc_unref (gw->config);
  g_ptr_array_free (gw->services, TRUE);
  g_ptr_array_free (gw->teams, TRUE);
  g_hash_table_destroy (gw->callers);
  g_ptr_array_free (gw->conns, TRUE);
  _gw_destroy_cell (&gw->cell);
  g_hash_table_destroy (gw->heard);
  for (int i = 0; i < UT_PEERS_MAX; i++)
    g_free (gw->peer[i].rows);
  g_free (gw->requests);
  g_free (gw);
}

/* What TEAM may use beyond its burst: a part of the slack, which is stated in
   tokens.  */
double
_gw_quota_slack (const gw_task *gw, const rc_team *team)
{
  return team->by_tokens ? _GW_SLACK_PART * gw->desc.bounds.quota_slack : 0;
}

/* Puts CONFIG in force for requests from here on, unless a version as new is.
   Takes a reference.  */
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
  _gw_load_changed (gw);
}

/* Takes an entry of the registry.  */
void
gw_put_upstream (gw_task *gw, const ut_entry *entry)
{
  ut_id id = ut_find (gw->upstreams, st_name_str (&entry->id));
  const ut_upstream *known = ut_query (gw->upstreams, id);
  bool news = known == NULL || known->entry.leaving != entry->leaving
              || known->entry.started_ms != entry->started_ms;
  _gw_now (gw);
  if (ut_put (gw->upstreams, entry, gw->now_us).generation == 0)
    {
      LO_EVENT ("upstreams_full", ST_LIT (""),
                LO_STR ("upstream", st_name_str (&entry->id)));
      return;
    }
  if (!news)
    return;
  LO_EVENT (
      "upstream", ST_LIT (""), LO_STR ("upstream", st_name_str (&entry->id)),
      LO_STR ("service", st_name_str (&entry->service)),
      LO_STR ("version", st_name_str (&entry->version)),
      LO_BOOL ("leaving", entry->leaving), LO_INT ("slots", entry->slots));
  _gw_schedule_all (gw);
}

/* The registry no longer has ID.  Requests at it go on.  */
void
gw_remove_upstream (gw_task *gw, st_str id, const char *reason)
{
  ut_id known = ut_find (gw->upstreams, id);
  if (known.generation == 0)
    return;
  LO_EVENT ("upstream_gone", ST_LIT (""), LO_STR ("upstream", id),
            LO_CSTR ("reason", reason));
  ut_remove (gw->upstreams, known);
  uc_forget (gw->pool, id);
}

/* Takes the VMs that the registry knows.  */
void
gw_set_vms (gw_task *gw, const gw_listed *vms, uint32_t count)
{
  mb_vm_entry *listed = g_new0 (mb_vm_entry, count + 1);
  for (uint32_t i = 0; i < count; i++)
    listed[i] = (mb_vm_entry){ .name = vms[i].name,
                               .region = vms[i].region,
                               .data_center = vms[i].data_center,
                               .peer_address = vms[i].peer_address,
                               .callers_address = vms[i].callers_address,
                               .capacity = vms[i].capacity };
  if (gw->peers != NULL)
    pe_set_vm_list (gw->peers, listed, count);
  g_free (listed);
}

/* This VM is about to end: it is no longer ready, and callers are asked to
   close their connections.  */
void
gw_leave (gw_task *gw)
{
  if (gw->leaving)
    return;
  gw->leaving = true;
  gw->leaving_us = _gw_now (gw);
  if (gw->peers != NULL)
    {
      _gw_load_changed (gw);
      pe_leave (gw->peers);
    }
}

/* Takes no further connections and closes those without a request.  */
void
gw_close_callers (gw_task *gw)
{
  if (gw->listener != NULL)
    evconnlistener_free (gw->listener);
  gw->listener = NULL;
  for (guint i = gw->conns->len; i > 0; i--)
    {
      _gw_conn *conn = gw->conns->pdata[i - 1];
      if (conn->request == NULL && !hp_query_started (conn->reader)
          && evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0)
        _gw_close_conn (conn);
    }
}

/* True when callers may be sent to this VM.  */
bool
gw_query_ready (const gw_task *gw)
{
  return gw->config != NULL && !gw->leaving;
}

/* Counts since the start, and what is open.  */
gw_counts
gw_query_counts (const gw_task *gw)
{
  return (gw_counts){ .requests = gw->count,
                      .open = gw->open,
                      .callers = gw->conns->len };
}

/* The upstreams and their load.  */
const ut_table *
gw_query_upstreams (const gw_task *gw)
{
  return gw->upstreams;
}

/* Version of the configuration in force; 0 when there is none.  */
uint64_t
gw_query_config_version (const gw_task *gw)
{
  return gw->config != NULL ? rc_query_version (gw->config) : 0;
}

/* Port of the listener of callers.  */
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
