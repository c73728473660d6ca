#include "rc.h"

#include "hp.h"

#include <string.h>

struct rc_config
{
  int refs;
  uint64_t version;
  GStringChunk *text;
  GPtrArray *routes;
  GPtrArray *services;
  GPtrArray *teams;
  GHashTable *keys; /* key text to rc_team */
  rc_limits limits;
};

/* Defaults for a configuration that names no limits.  */
static const rc_limits _rc_limits = { 16384, 4194304, 5000, 15000 };

static void
_rc_free_route (gpointer item)
{
  rc_route *route = item;
  g_free (route->weighted_services);
  g_free ((gpointer)route->regions.names);
  g_free (route);
}

static void
_rc_free_team (gpointer item)
{
  rc_team *team = item;
  g_free ((gpointer)team->regions.names);
  g_free (team);
}

/* Makes an empty configuration with one reference.  */
rc_config *
rc_make (uint64_t version)
{
  rc_config *c = g_new0 (rc_config, 1);
  c->refs = 1;
  c->version = version;
  c->text = g_string_chunk_new (4096);
  c->routes = g_ptr_array_new_with_free_func (_rc_free_route);
  c->services = g_ptr_array_new_with_free_func (g_free);
  c->teams = g_ptr_array_new_with_free_func (_rc_free_team);
  c->keys = g_hash_table_new (g_str_hash, g_str_equal);
  c->limits = _rc_limits;
  return c;
}

/* Takes a reference.  */
rc_config *
rc_ref (rc_config *c)
{
  c->refs++;
  return c;
}

/* Drops a reference; C may be NULL.  */
void
rc_unref (rc_config *c)
{
  if (c == NULL || --c->refs > 0)
    return;
  g_hash_table_destroy (c->keys);
  g_ptr_array_free (c->routes, TRUE);
  g_ptr_array_free (c->services, TRUE);
  g_ptr_array_free (c->teams, TRUE);
  g_string_chunk_free (c->text);
  g_free (c);
}

/* Copies TEXT into C; the copy is valid as long as C.  */
st_str
rc_copy_text (rc_config *c, st_str text)
{
  return (st_str){
    g_string_chunk_insert_len (c->text, text.ptr, (gssize)text.len), text.len
  };
}

/* Adds a route with zeroed fields.  */
rc_route *
rc_add_route (rc_config *c, st_str host, st_str prefix)
{
  rc_route *route = g_new0 (rc_route, 1);
  route->host = rc_copy_text (c, host);
  route->prefix = rc_copy_text (c, prefix);
  route->attempts = 1;
  g_ptr_array_add (c->routes, route);
  return route;
}

/* Adds SERVICE with WEIGHT to the services that ROUTE chooses from.  */
void
rc_add_weighted_service (rc_config *c, rc_route *route, st_str service,
                         uint32_t weight)
{
  route->weighted_services
      = g_renew (rc_weighted_service, route->weighted_services,
                 route->weighted_service_count + 1);
  route->weighted_services[route->weighted_service_count++]
      = (rc_weighted_service){ rc_copy_text (c, service), weight };
}

/* Adds REGION to SET, the regions of a route or a team of C.  */
void
rc_add_region (rc_config *c, el_regions *set, st_str region)
{
  st_str *names = g_renew (st_str, (gpointer)set->names, set->count + 1);
  names[set->count] = rc_copy_text (c, region);
  set->names = names;
  set->count++;
}

/* Adds a service.  */
rc_service *
rc_add_service (rc_config *c, st_str name)
{
  rc_service *service = g_new0 (rc_service, 1);
  service->name = rc_copy_text (c, name);
  g_ptr_array_add (c->services, service);
  return service;
}

/* Adds a team.  */
rc_team *
rc_add_team (rc_config *c, st_str name)
{
  rc_team *team = g_new0 (rc_team, 1);
  team->name = rc_copy_text (c, name);
  team->index = c->teams->len;
  g_ptr_array_add (c->teams, team);
  return team;
}

/* Assigns KEY to TEAM.  False when KEY is already assigned.  */
bool
rc_add_key (rc_config *c, rc_team *team, st_str key)
{
  st_str copy = rc_copy_text (c, key);
  if (g_hash_table_lookup (c->keys, copy.ptr) != NULL)
    return false;
  return g_hash_table_insert (c->keys, (gpointer)copy.ptr, team);
}

/* Sets the limits; zero fields keep their default.  */
void
rc_set_limits (rc_config *c, const rc_limits *limits)
{
  if (limits->head_bytes > 0)
    c->limits.head_bytes = limits->head_bytes;
  if (limits->body_bytes > 0)
    c->limits.body_bytes = limits->body_bytes;
  if (limits->head_timeout_ms > 0)
    c->limits.head_timeout_ms = limits->head_timeout_ms;
  if (limits->idle_timeout_ms > 0)
    c->limits.idle_timeout_ms = limits->idle_timeout_ms;
}

static gint
_rc_longer_first (gconstpointer a, gconstpointer b)
{
  const rc_route *x = *(const rc_route *const *)a;
  const rc_route *y = *(const rc_route *const *)b;
  return x->prefix.len > y->prefix.len ? -1 : x->prefix.len < y->prefix.len;
}

/* Ends the building: sorts the routes for rc_match, longest prefix first.  */
void
rc_seal (rc_config *c)
{
  g_ptr_array_sort (c->routes, _rc_longer_first);
}

/* Version of the configuration.  */
uint64_t
rc_query_version (const rc_config *c)
{
  return c->version;
}

/* Limits on callers.  */
const rc_limits *
rc_query_limits (const rc_config *c)
{
  return &c->limits;
}

/* True when the configuration has teams, so that requests need a key.  */
bool
rc_has_teams (const rc_config *c)
{
  return c->teams->len > 0;
}

/* The route of HOST (a port in it is ignored) with the longest prefix of
   PATH; NULL when there is none.  */
const rc_route *
rc_match (const rc_config *c, st_str host, st_str path)
{
  size_t colon;
  if (st_find_char (host, ':', &colon))
    host.len = colon;
  for (guint i = 0; i < c->routes->len; i++)
    {
      const rc_route *route = c->routes->pdata[i];
      if (st_starts_with (path, route->prefix)
          && hp_name_equal (route->host, host))
        return route;
    }
  return NULL;
}

/* The route with exactly this HOST and PREFIX, or NULL.  */
const rc_route *
rc_find_route (const rc_config *c, st_str host, st_str prefix)
{
  for (guint i = 0; i < c->routes->len; i++)
    {
      const rc_route *route = c->routes->pdata[i];
      if (st_equal (route->prefix, prefix)
          && hp_name_equal (route->host, host))
        return route;
    }
  return NULL;
}

/* The route with INDEX, from 0; NULL past the last one.  */
const rc_route *
rc_query_route (const rc_config *c, uint32_t index)
{
  return index < c->routes->len ? c->routes->pdata[index] : NULL;
}

/* Number of keys that are assigned to TEAM.  */
uint32_t
rc_count_keys (const rc_config *c, const rc_team *team)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;
  g_hash_table_iter_init (&iter, c->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += value == team;
  return count;
}

/* The service with INDEX, from 0; NULL past the last one.  */
const rc_service *
rc_query_service (const rc_config *c, uint32_t index)
{
  return index < c->services->len ? c->services->pdata[index] : NULL;
}

/* The service NAME, or NULL.  */
const rc_service *
rc_find_service (const rc_config *c, st_str name)
{
  for (guint i = 0; i < c->services->len; i++)
    {
      const rc_service *service = c->services->pdata[i];
      if (st_equal (service->name, name))
        return service;
    }
  return NULL;
}

/* The team NAME, or NULL.  */
const rc_team *
rc_find_team (const rc_config *c, st_str name)
{
  for (guint i = 0; i < c->teams->len; i++)
    {
      const rc_team *team = c->teams->pdata[i];
      if (st_equal (team->name, name))
        return team;
    }
  return NULL;
}

/* The team with INDEX, from 0; NULL past the last one.  */
const rc_team *
rc_query_team (const rc_config *c, uint32_t index)
{
  return index < c->teams->len ? c->teams->pdata[index] : NULL;
}

/* The team that KEY is assigned to, or NULL.  */
const rc_team *
rc_find_key (const rc_config *c, st_str key)
{
  char text[256];
  if (key.len == 0 || key.len >= sizeof text
      || memchr (key.ptr, 0, key.len) != NULL)
    return NULL;
  memcpy (text, key.ptr, key.len);
  text[key.len] = 0;
  return g_hash_table_lookup (c->keys, text);
}

/* A service of ROUTE, by weight; empty when it has none.  */
st_str
rc_choose_service (const rc_route *route, uint32_t random)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < route->weighted_service_count; i++)
    total += route->weighted_services[i].weight;
  if (total == 0)
    return route->weighted_service_count > 0
               ? route->weighted_services[0].service
               : (st_str){ "", 0 };
  uint64_t point = random % total;
  for (uint32_t i = 0; i < route->weighted_service_count; i++)
    {
      if (point < route->weighted_services[i].weight)
        return route->weighted_services[i].service;
      point -= route->weighted_services[i].weight;
    }
  return route->weighted_services[0].service;
}
