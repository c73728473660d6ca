/* Identify: determines the route, team and service of a request and writes the
   head that is sent to upstreams.  */
#include "gw_internal.h"

#include <string.h>

/* Most routes whose caller retries are detected; on other routes no request
   counts as a retry.  */
#define _GW_TRACKED_ROUTES_MAX 2048

static const st_str _gw_hop_by_hop[] = {
  { "Connection", 10 },
  { "Keep-Alive", 10 },
  { "Proxy-Connection", 16 },
  { "Proxy-Authorization", 19 },
  { "Proxy-Authenticate", 18 },
  { "TE", 2 },
  { "Trailer", 7 },
  { "Transfer-Encoding", 17 },
  { "Upgrade", 7 },
  { "Content-Length", 14 },
  { "Expect", 6 },
  { "Authorization", 13 },
};

/* True when NAME is among the COUNT NAMES, ignoring case.  */
bool
_gw_is_named (const st_str *names, size_t count, st_str name)
{
  for (size_t i = 0; i < count; i++)
    if (hp_name_equal (names[i], name))
      return true;
  return false;
}

static bool
_gw_is_forwarded (const gw_names *names, st_str name, st_str connection)
{
  if (_gw_is_named (names->forward, names->forward_count, name))
    return true;
  return !_gw_is_named (_gw_hop_by_hop,
                        sizeof _gw_hop_by_hop / sizeof *_gw_hop_by_hop, name)
         && !_gw_is_named (names->drop, names->drop_count, name)
         && !hp_name_equal (name, names->deadline_ms)
         && !hp_name_equal (name, names->team)
         && !hp_name_equal (name, names->expect_instance)
         && !hp_name_equal (name, names->resume_after)
         && !_gw_is_forward_field (name)
         && !hp_list_contains (connection, name);
}

static void
_gw_put_field (GString *out, st_str name, st_str value)
{
  g_string_append_len (out, name.ptr, (gssize)name.len);
  g_string_append_len (out, ": ", 2);
  g_string_append_len (out, value.ptr, (gssize)value.len);
  g_string_append_len (out, "\r\n", 2);
}

/* Writes the portion of the head that is common to all attempts.  */
static void
_gw_write_head (_gw_request *r, const hp_head *head)
{
  const gw_names *names = r->gw->desc.names;
  st_str connection = ST_LIT ("");
  hp_get (head, ST_LIT ("Connection"), &connection);
  g_string_append_len (r->head, head->method.ptr, (gssize)head->method.len);
  g_string_append_c (r->head, ' ');
  g_string_append_len (r->head, head->target.ptr, (gssize)head->target.len);
  g_string_append (r->head, " HTTP/1.1\r\n");
  for (size_t i = 0; i < head->field_count; i++)
    if (_gw_is_forwarded (names, head->fields[i].name, connection))
      _gw_put_field (r->head, head->fields[i].name, head->fields[i].value);
  if (r->team != NULL)
    _gw_put_field (r->head, names->team, r->team->name);
  size_t length = g_bytes_get_size (r->body);
  if (length > 0 || !st_equal (head->method, ST_LIT ("GET")))
    g_string_append_printf (r->head, "Content-Length: %zu\r\n", length);
}

/* Finds the field NAME; VALUE is empty without it.  False when it occurs twice
   with different values.  */
static bool
_gw_get_once (const hp_head *head, st_str name, st_str *value)
{
  bool found = false;
  *value = (st_str){ "", 0 };
  for (size_t i = 0; i < head->field_count; i++)
    if (hp_name_equal (head->fields[i].name, name))
      {
        if (found && !st_equal (*value, head->fields[i].value))
          return false;
        *value = head->fields[i].value;
        found = true;
      }
  return true;
}

/* Parses "PROMPT,MAX_OUTPUT", both in tokens.  False for anything else.  */
static bool
_gw_parse_usage (st_str text, uint64_t *prompt, uint64_t *output)
{
  size_t comma;
  *prompt = 0;
  *output = 0;
  if (!st_find_char (text, ',', &comma))
    return false;
  st_str second = st_slice (text, comma + 1, text.len);
  while (second.len > 0 && second.ptr[0] == ' ')
    second = st_slice (second, 1, second.len);
  return st_parse_u64 (st_slice (text, 0, comma), prompt)
         && st_parse_u64 (second, output) && *prompt < UINT32_MAX
         && *output < UINT32_MAX;
}

static const rc_team *
_gw_find_caller_team (const gw_task *gw, const hp_head *head)
{
  st_str value;
  st_str scheme = gw->desc.names->key_scheme;
  if (!hp_get (head, ST_LIT ("Authorization"), &value)
      || value.len <= scheme.len + 1
      || !hp_name_equal (st_slice (value, 0, scheme.len), scheme)
      || value.ptr[scheme.len] != ' ')
    return NULL;
  return rc_find_key (gw->config, st_slice (value, scheme.len + 1, value.len));
}

/* True when R, whose caller waits LEFT_MS longer, is the caller's retry after
   a refusal.  */
static bool
_gw_is_caller_retry (const _gw_request *r, uint64_t left_ms)
{
  GHashTable *callers = r->gw->route_callers;
  uint64_t key = ut_hash (r->route->name);
  pt_route *route = g_hash_table_lookup (callers, &key);
  if (route == NULL && g_hash_table_size (callers) >= _GW_TRACKED_ROUTES_MAX)
    return false;
  if (route == NULL)
    {
      route = g_new0 (pt_route, 1);
      g_hash_table_insert (callers, g_memdup2 (&key, sizeof key), route);
    }
  return pt_is_caller_retry (route, left_ms * CK_MS_US);
}

/* Sets the deadline of R, from the caller's DEADLINE in milliseconds and the
   route's time-out, and its latency target.  */
static void
_gw_set_times (_gw_request *r, st_str deadline)
{
  uint64_t ms = 0;
  uint64_t limit_ms = r->route->timeout_ms > 0 ? r->route->timeout_ms : 30000;
  if (st_parse_u64 (deadline, &ms))
    {
      if (!r->was_forwarded)
        r->demand.is_caller_retry = _gw_is_caller_retry (r, ms);
      limit_ms = ms < limit_ms ? ms : limit_ms;
    }
  r->demand.arrived_us = r->gw->now_us;
  r->end_us = r->gw->now_us + limit_ms * CK_MS_US;
  r->demand.deadline_us = r->end_us;
  uint32_t target = r->route->target_ms;
  r->demand.target_us = (target > 0 ? target : limit_ms / 2) * CK_MS_US;
}

static void
_gw_set_demand (_gw_request *r, st_str usage, st_str resume_after)
{
  uint64_t prompt;
  uint64_t output;
  uint64_t event;
  bool has_usage = _gw_parse_usage (usage, &prompt, &output);
  r->quota = 1;
  if (r->team != NULL && r->team->by_tokens)
    r->quota = has_usage ? (double)(prompt + output)
                         : (double)r->team->default_tokens;
  r->demand.prompt_tokens = (uint32_t)prompt;
  r->max_output_tokens = (uint32_t)output;
  r->demand.tier = r->route->tier;
  r->demand.rank
      = gq_rank (r->team != NULL && r->team->has_tier,
                 r->team != NULL ? r->team->tier : 0, r->route->tier);
  if (resume_after.len > 0 && st_parse_u64 (resume_after, &event))
    {
      r->has_last_event = true;
      r->last_event = event;
    }
}

/* Hash of what a request has in common with those that repeat it: its route,
   method, target, team and body, and without a body the parts of its prompt.
   Ids, deadlines and other fields differ.  */
static uint64_t
_gw_hash_identity (const _gw_request *r, const hp_head *head)
{
  gsize size;
  const char *body = g_bytes_get_data (r->body, &size);
  uint64_t hash = st_hash (r->route->host, 0);
  hash = st_hash (r->route->prefix, hash);
  hash = st_hash (head->method, hash);
  hash = st_hash (head->target, hash);
  hash = st_hash (r->team != NULL ? r->team->name : ST_LIT (""), hash);
  if (size == 0)
    return st_hash ((st_str){ r->prompt_parts->str, r->prompt_parts->len },
                    hash);
  return st_hash ((st_str){ body, size }, hash);
}

/* Sends an error for a request without a known route, key or id.  */
static void
_gw_deny (_gw_conn *conn, int status, st_str id, const char *reason)
{
  LO_EVENT ("request_denied", id, LO_INT ("status", status),
            LO_CSTR ("reason", reason),
            LO_INT ("config", gw_query_config_version (conn->gw)));
  _gw_send_error (conn, status, id, reason, 0);
}

static bool
_gw_target_is_path (st_str target)
{
  return target.len > 0 && target.ptr[0] == '/';
}

/* TARGET without its query.  */
st_str
_gw_path (st_str target)
{
  size_t query;
  return st_find_char (target, '?', &query) ? st_slice (target, 0, query)
                                            : target;
}

/* The id of the request whose head CONN has read; empty without one.  */
st_str
_gw_read_id (const _gw_conn *conn)
{
  st_str id;
  return hp_get (hp_query_head (conn->reader),
                 conn->gw->desc.names->request_id, &id)
                 && id.len <= _GW_ID_MAX
             ? id
             : (st_str){ "", 0 };
}

/* Identifies the request that CONN has read completely, and admits it.  */
void
_gw_identify (_gw_conn *conn)
{
  gw_task *gw = conn->gw;
  const gw_names *names = gw->desc.names;
  const hp_head *head = hp_query_head (conn->reader);
  st_str id;
  st_str host;
  st_str deadline;
  st_str usage;
  st_str parts;
  st_str resume_after;
  _gw_now (gw);
  gw->request_count++;
  if (!_gw_get_once (head, names->request_id, &id)
      || !_gw_get_once (head, ST_LIT ("Host"), &host)
      || !_gw_get_once (head, names->deadline_ms, &deadline)
      || !_gw_get_once (head, names->token_usage, &usage)
      || !_gw_get_once (head, names->prompt_parts, &parts)
      || !_gw_get_once (head, names->resume_after, &resume_after))
    {
      _gw_deny (conn, 400, ST_LIT (""), "doubled_field");
      return;
    }
  if (id.len == 0 || id.len > _GW_ID_MAX || host.len == 0
      || !_gw_target_is_path (head->target))
    {
      _gw_deny (conn, 400, ST_LIT (""), "no_id_host_or_path");
      return;
    }
  if (gw->config == NULL)
    {
      _gw_send_error (conn, 503, id, "no_configuration_yet", 300 * CK_MS_US);
      return;
    }
  const rc_route *route = rc_match (gw->config, host, _gw_path (head->target));
  if (route == NULL)
    {
      _gw_deny (conn, 404, id, "no_route");
      return;
    }
  const rc_team *team = _gw_find_caller_team (gw, head);
  if (team == NULL && !route->is_public && rc_has_teams (gw->config))
    {
      _gw_deny (conn, 401, id, "unknown_key");
      return;
    }
  _gw_request *r = _gw_make_request (gw, conn);
  if (r == NULL)
    {
      _gw_send_error (conn, 503, id, "too_many_requests", 500 * CK_MS_US);
      return;
    }
  st_name_set (&r->id, id);
  r->route = route;
  r->team = team;
  r->retryable = route->kind == RC_IDEMPOTENT
                 || (route->kind == RC_STREAM && route->resumable);
  st_name_set (&r->service, rc_choose_service (route, _gw_random (gw)));
  const rc_service *service
      = rc_find_service (gw->config, st_name_str (&r->service));
  r->engine = service != NULL && service->engine;
  r->demand.engine = r->engine;
  r->body = g_string_free_to_bytes (conn->body);
  conn->body = g_string_new (NULL);
  _gw_read_forwarded (r, head);
  _gw_set_regions (r, gw->config, route, team);
  _gw_set_times (r, deadline);
  _gw_set_demand (r, usage, resume_after);
  g_string_append_len (r->prompt_parts, parts.ptr, (gssize)parts.len);
  r->identity = _gw_hash_identity (r, head);
  _gw_write_head (r, head);
  hp_release_fields (conn->reader);
  _gw_admit (r);
}
