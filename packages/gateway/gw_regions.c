/* Regions: where a request may be served, and the VMs that share the budget
   of cold upstreams.  The rules are those of el.h.  */
#include "gw_internal.h"

/* Bit of the region NAME in masks.  Regions beyond the last bit share it, so
   that requests for them wait for each other.  */
static uint64_t
_gw_region_bit (gw_task *gw, st_str name)
{
  guint i = 0;
  while (i < gw->regions->len
         && !st_equal (st_name_str (&g_array_index (gw->regions, st_name, i)),
                       name))
    i++;
  if (i == gw->regions->len && i < 63)
    {
      st_name copy;
      st_name_set (&copy, name);
      g_array_append_val (gw->regions, copy);
    }
  return UINT64_C (1) << (i < 63 ? i : 63);
}

static uint64_t
_gw_region_mask (gw_task *gw, const el_regions *set)
{
  uint64_t mask = 0;
  if (set == NULL || set->count == 0)
    return UINT64_MAX;
  for (uint32_t i = 0; i < set->count; i++)
    mask |= _gw_region_bit (gw, set->names[i]);
  return mask;
}

/* Sets the regions in which R may be served to those of ROUTE and of TEAM,
   which may be NULL, both of CONFIG.  */
void
_gw_set_regions (_gw_request *r, rc_config *config, const rc_route *route,
                 const rc_team *team)
{
  rc_ref (config);
  rc_unref (r->regions_config);
  r->regions_config = config;
  r->demand.regions[0] = &route->regions;
  r->demand.regions[1] = team != NULL ? &team->regions : NULL;
  r->region_mask = _gw_region_mask (r->gw, r->demand.regions[0])
                   & _gw_region_mask (r->gw, r->demand.regions[1]);
}

/* Applies the regions of a new configuration to R.  A route or a team that it
   does not have keeps those that it had.  */
static void
_gw_rebind_regions (_gw_request *r)
{
  rc_config *config = r->gw->config;
  const rc_route *route
      = rc_find_route (config, r->route->host, r->route->prefix);
  const rc_team *team
      = r->team != NULL ? rc_find_team (config, r->team->name) : NULL;
  if (route != NULL && (team != NULL || r->team == NULL))
    _gw_set_regions (r, config, route, team);
}

/* Applies the regions of a new configuration to the requests that are open, so
   that waiting ones and their next attempts keep to them.  */
void
_gw_bind_all_regions (gw_task *gw)
{
  for (uint32_t i = 0; i < gw->used; i++)
    if (gw->requests[i].state != _GW_FREE && gw->requests[i].route != NULL)
      _gw_rebind_regions (&gw->requests[i]);
}

/* Refuses R where no region is left in which it may be served; true when it
   did.  */
bool
_gw_refuse_without_region (_gw_request *r)
{
  if (!el_is_disjoint (r->demand.regions[0], r->demand.regions[1]))
    return false;
  LO_EVENT ("no_common_region", st_name_str (&r->id),
            LO_STR ("route", r->route->name), LO_STR ("team", r->team->name),
            LO_STR ("route_region", r->demand.regions[0]->names[0]),
            LO_STR ("team_region", r->demand.regions[1]->names[0]),
            LO_INT ("config", rc_query_version (r->regions_config)));
  _gw_refuse (r, 503, "no_common_region", 0);
  return true;
}

/* Sets the limits for cold upstreams from the configuration.  */
void
_gw_set_cold_limits (gw_task *gw)
{
  const rc_service *service;
  for (uint32_t i = 0; (service = rc_query_service (gw->config, i)) != NULL;
       i++)
    ut_set_cold_limit (gw->upstreams, service->name, service->cold_per_s,
                       service->cold_ms * CK_MS_US);
}

/* Starts or ends the evacuation of DATA_CENTER, whose upstreams get nothing
   meanwhile.  */
void
gw_set_evacuated (gw_task *gw, st_str data_center, bool evacuated)
{
  _gw_now (gw);
  bool ok
      = ut_set_evacuated (gw->upstreams, data_center, evacuated, gw->now_us);
  LO_EVENT ("evacuation", ST_LIT (""), LO_STR ("data_center", data_center),
            LO_BOOL ("evacuated", evacuated), LO_BOOL ("accepted", ok));
  _gw_schedule_all (gw);
}
