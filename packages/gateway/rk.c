#include "rk.h"

#include "hp.h"

#include <stdarg.h>

static void
_rk_free (gpointer item)
{
  rk_finding *f = item;
  g_free (f->where);
  g_free (f->text);
  g_free (f);
}

static void G_GNUC_PRINTF (5, 6)
    _rk_add (GPtrArray *out, rk_kind kind, const char *type, st_str name,
             const char *format, ...)
{
  rk_finding *f = g_new0 (rk_finding, 1);
  va_list args;
  va_start (args, format);
  f->kind = kind;
  f->where = g_strdup_printf ("%s %.*s", type, ST_FMT (name));
  f->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (out, f);
}

/* Name of KIND in the output of commands.  */
const char *
rk_kind_name (rk_kind kind)
{
  switch (kind)
    {
    case RK_ERROR:
      return "error";
    case RK_WARNING:
      return "warning";
    case RK_CHANGE:
      return "change";
    }
  return "";
}

static char *
_rk_route_key (const rc_route *route)
{
  char *host = g_ascii_strdown (route->host.ptr, (gssize)route->host.len);
  char *key = g_strdup_printf ("%s %.*s", host, ST_FMT (route->prefix));
  g_free (host);
  return key;
}

/* A prefix that does not begin or end with a slash matches no path as it was
   meant, and the second route of one host and prefix matches none at all.  */
static void
_rk_check_matching (const rc_config *c, GPtrArray *out)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const rc_route *route;
  for (uint32_t i = 0; (route = rc_query_route (c, i)) != NULL; i++)
    {
      char *key = _rk_route_key (route);
      const rc_route *first = g_hash_table_lookup (seen, key);
      st_str p = route->prefix;
      if (route->host.len == 0)
        _rk_add (out, RK_ERROR, "route", route->name,
                 "has no host, so no request matches it; name one");
      if (p.len == 0 || p.ptr[0] != '/' || p.ptr[p.len - 1] != '/')
        _rk_add (out, RK_ERROR, "route", route->name,
                 "prefix \"%.*s\" does not begin and end with a slash",
                 ST_FMT (p));
      if (first != NULL)
        _rk_add (out, RK_ERROR, "route", route->name,
                 "never matches: route %.*s has the same host and prefix; "
                 "remove one",
                 ST_FMT (first->name));
      g_hash_table_insert (seen, key, (gpointer)route);
      char *name = g_strndup (route->name.ptr, route->name.len);
      if (!g_hash_table_add (names, name))
        _rk_add (out, RK_WARNING, "route", route->name,
                 "another route has this name, and their logs and times are "
                 "mixed; rename one");
    }
  g_hash_table_destroy (seen);
  g_hash_table_destroy (names);
}

static void
_rk_check_services (const rc_config *c, const rc_route *route, GPtrArray *out)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < route->weighted_service_count; i++)
    {
      const rc_weighted_service *s = &route->weighted_services[i];
      total += s->weight;
      if (rc_find_service (c, s->service) == NULL)
        _rk_add (out, RK_ERROR, "route", route->name,
                 "service \"%.*s\" is not among the services; add it or "
                 "correct the name",
                 ST_FMT (s->service));
      if (s->weight == 0)
        _rk_add (out, RK_WARNING, "route", route->name,
                 "service \"%.*s\" has weight 0 and gets nothing",
                 ST_FMT (s->service));
    }
  if (total == 0)
    _rk_add (out, RK_ERROR, "route", route->name,
             "all weights are 0; give one service a weight");
}

static void
_rk_check_route (const rc_config *c, const rc_route *route, GPtrArray *out)
{
  bool once = route->kind == RC_NON_IDEMPOTENT
              || (route->kind == RC_STREAM && !route->resumable);
  _rk_check_services (c, route, out);
  if (route->timeout_ms == 0)
    _rk_add (out, RK_WARNING, "route", route->name,
             "has no time-out; 30 s are used");
  if (route->timeout_ms > 0 && route->target_ms > route->timeout_ms)
    _rk_add (out, RK_ERROR, "route", route->name,
             "latency target %u ms is above the time-out %u ms: no response "
             "can be late and arrive; lower the target",
             route->target_ms, route->timeout_ms);
  if (once && route->attempts > 1)
    _rk_add (out, RK_WARNING, "route", route->name,
             "%u attempts, but its requests run at most once",
             route->attempts);
  if (route->kind != RC_STREAM && route->max_event_gap_ms > 0)
    _rk_add (out, RK_WARNING, "route", route->name,
             "has a gap between events, but is no stream");
  if (route->kind != RC_STREAM && route->resumable)
    _rk_add (out, RK_WARNING, "route", route->name,
             "is resumable, but is no stream");
}

static void
_rk_check_team (const rc_config *c, const rc_team *team, GPtrArray *out)
{
  const rc_route *route;
  uint32_t usable = 0;
  uint32_t routes = 0;
  if (rc_count_keys (c, team) == 0)
    _rk_add (out, RK_ERROR, "team", team->name,
             "has no key, so no request is its; add one or remove it");
  if (team->rate > 0 && team->burst < team->rate / 10)
    _rk_add (out, RK_WARNING, "team", team->name,
             "burst %.0f is less than a tenth of a second's rate %.0f",
             team->burst, team->rate);
  if (team->rate <= 0 && team->burst > 0)
    _rk_add (out, RK_ERROR, "team", team->name,
             "has a burst of %.0f but no rate, which means no limit; set the "
             "rate or remove the burst",
             team->burst);
  if (team->rate > 0 && team->by_tokens
      && team->default_tokens > team->burst + team->rate)
    _rk_add (out, RK_ERROR, "team", team->name,
             "a request without usage counts %u tokens, more than burst and "
             "a second's rate; lower it",
             team->default_tokens);
  for (uint32_t i = 0; (route = rc_query_route (c, i)) != NULL; i++)
    {
      routes++;
      usable += !el_is_disjoint (&route->regions, &team->regions);
    }
  if (routes > 0 && usable == 0)
    _rk_add (out, RK_ERROR, "team", team->name,
             "its regions have none in common with any route");
  else if (usable < routes)
    _rk_add (out, RK_WARNING, "team", team->name,
             "has no region in common with %u of %u routes, whose requests "
             "are refused for it",
             routes - usable, routes);
}

/* What C says that cannot work or is rarely meant, errors first in each
   entry.  */
GPtrArray *
rk_check (const rc_config *c)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (_rk_free);
  const rc_limits *limits = rc_query_limits (c);
  const rc_route *route;
  const rc_team *team;
  _rk_check_matching (c, out);
  for (uint32_t i = 0; (route = rc_query_route (c, i)) != NULL; i++)
    _rk_check_route (c, route, out);
  for (uint32_t i = 0; (team = rc_query_team (c, i)) != NULL; i++)
    _rk_check_team (c, team, out);
  if (limits->head_timeout_ms > limits->idle_timeout_ms)
    _rk_add (out, RK_WARNING, "limits", ST_LIT ("head time-out"),
             "%u ms is above the idle time-out of %u ms",
             limits->head_timeout_ms, limits->idle_timeout_ms);
  return out;
}

static void
_rk_compare_number (GPtrArray *out, const char *type, st_str name,
                    const char *field, double before, double after)
{
  if (before != after)
    _rk_add (out, RK_CHANGE, type, name, "%s: %g -> %g", field, before, after);
}

static char *
_rk_services_text (const rc_route *route)
{
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < route->weighted_service_count; i++)
    g_string_append_printf (text, "%s%.*s=%u", i > 0 ? " " : "",
                            ST_FMT (route->weighted_services[i].service),
                            route->weighted_services[i].weight);
  return g_string_free (text, FALSE);
}

static char *
_rk_regions_text (const el_regions *set)
{
  GString *text = g_string_new (set->count == 0 ? "all" : "");
  for (uint32_t i = 0; i < set->count; i++)
    g_string_append_printf (text, "%s%.*s", i > 0 ? " " : "",
                            ST_FMT (set->names[i]));
  return g_string_free (text, FALSE);
}

/* Adds a change of FIELD; frees both texts.  */
static void
_rk_compare_text (GPtrArray *out, const char *type, st_str name,
                  const char *field, char *before, char *after)
{
  if (g_strcmp0 (before, after) != 0)
    _rk_add (out, RK_CHANGE, type, name, "%s: %s -> %s", field, before, after);
  g_free (before);
  g_free (after);
}

static void
_rk_compare_route (GPtrArray *out, const rc_route *a, const rc_route *b)
{
  const struct
  {
    const char *field;
    double before, after;
  } rows[] = { { "kind", a->kind, b->kind },
               { "resumable", a->resumable, b->resumable },
               { "public", a->is_public, b->is_public },
               { "time-out, ms", a->timeout_ms, b->timeout_ms },
               { "latency target, ms", a->target_ms, b->target_ms },
               { "event gap, ms", a->max_event_gap_ms, b->max_event_gap_ms },
               { "tier", a->tier, b->tier },
               { "attempts", a->attempts, b->attempts } };
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    _rk_compare_number (out, "route", b->name, rows[i].field, rows[i].before,
                        rows[i].after);
  _rk_compare_text (out, "route", b->name, "services", _rk_services_text (a),
                    _rk_services_text (b));
  _rk_compare_text (out, "route", b->name, "regions",
                    _rk_regions_text (&a->regions),
                    _rk_regions_text (&b->regions));
}

static GHashTable *
_rk_index_routes (const rc_config *c)
{
  GHashTable *index
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const rc_route *route;
  for (uint32_t i = 0; (route = rc_query_route (c, i)) != NULL; i++)
    g_hash_table_insert (index, _rk_route_key (route), (gpointer)route);
  return index;
}

static void
_rk_compare_routes (GPtrArray *out, const rc_config *before,
                    const rc_config *after)
{
  GHashTable *old = _rk_index_routes (before);
  GHashTable *new = _rk_index_routes (after);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, new);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const rc_route *route = value;
      const rc_route *was = g_hash_table_lookup (old, key);
      if (was == NULL)
        _rk_add (out, RK_CHANGE, "route", route->name, "added: %s",
                 (const char *)key);
      else
        _rk_compare_route (out, was, route);
    }
  g_hash_table_iter_init (&iter, old);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_hash_table_lookup (new, key) == NULL)
      _rk_add (out, RK_CHANGE, "route", ((const rc_route *)value)->name,
               "removed: %s; requests in progress end under the old one",
               (const char *)key);
  g_hash_table_destroy (old);
  g_hash_table_destroy (new);
}

static void
_rk_compare_teams (GPtrArray *out, const rc_config *before,
                   const rc_config *after)
{
  const rc_team *team;
  for (uint32_t i = 0; (team = rc_query_team (after, i)) != NULL; i++)
    {
      const rc_team *was = rc_find_team (before, team->name);
      if (was == NULL)
        {
          _rk_add (out, RK_CHANGE, "team", team->name, "added");
          continue;
        }
      _rk_compare_number (out, "team", team->name, "rate", was->rate,
                          team->rate);
      _rk_compare_number (out, "team", team->name, "burst", was->burst,
                          team->burst);
      _rk_compare_number (out, "team", team->name, "keys",
                          rc_count_keys (before, was),
                          rc_count_keys (after, team));
      _rk_compare_number (out, "team", team->name, "tier",
                          was->has_tier ? (double)was->tier : -1,
                          team->has_tier ? (double)team->tier : -1);
      _rk_compare_text (out, "team", team->name, "regions",
                        _rk_regions_text (&was->regions),
                        _rk_regions_text (&team->regions));
    }
  for (uint32_t i = 0; (team = rc_query_team (before, i)) != NULL; i++)
    if (rc_find_team (after, team->name) == NULL)
      _rk_add (out, RK_CHANGE, "team", team->name,
               "removed: its keys get 401 at once");
}

static gint
_rk_by_where (gconstpointer a, gconstpointer b)
{
  const rk_finding *x = *(const rk_finding *const *)a;
  const rk_finding *y = *(const rk_finding *const *)b;
  gint order = g_strcmp0 (x->where, y->where);
  return order != 0 ? order : g_strcmp0 (x->text, y->text);
}

/* What AFTER changes against BEFORE, the version in force.  */
GPtrArray *
rk_compare (const rc_config *before, const rc_config *after)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (_rk_free);
  _rk_compare_routes (out, before, after);
  _rk_compare_teams (out, before, after);
  g_ptr_array_sort (out, _rk_by_where);
  if (rc_query_version (after) <= rc_query_version (before))
    _rk_add (out, RK_ERROR, "version", ST_LIT (""),
             "%" G_GUINT64_FORMAT " is not above %" G_GUINT64_FORMAT
             ", so it never takes effect; raise it",
             rc_query_version (after), rc_query_version (before));
  return out;
}
