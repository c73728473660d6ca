/* The state of an owned cell is not stored anywhere else: after a change of
   the cell owner the new one receives the grants from their dispatchers
   (SLOT_HOLD) before it decides, and dispatchers resend each SLOT_ASK that has
   no reply.  */
#include "cl.h"

#include "cm.h"
#include "lg.h"
#include "sv.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

/* Time for SLOT_HOLD to arrive before a new cell owner decides.  */
#define _CL_COLLECT_GRANTS_US (500 * CK_MS_US)
#define _CL_POLL_INTERVAL_US (500 * CK_MS_US)
#define _CL_POLL_TIMEOUT_MS 1000
/* Longest report of an engine's load or cache events.  */
#define _CL_POLL_MAX_BYTES (4 * 1024 * 1024)
/* A dispatcher resends SLOT_ASK each second and SLOT_HOLD each 5 s.  */
#define _CL_REQUEST_EXPIRY_US (5 * CK_S_US)
#define _CL_GRANT_EXPIRY_US (30 * CK_S_US)
#define _CL_MAX_TEAMS 256

typedef struct _cl_cell _cl_cell;

typedef struct
{
  cl_task *cl;
  _cl_cell *cell;
  id_handle cs_engine;
  st_name name;
  char address[80];
  uint64_t cache_next;
  uint64_t next_poll_us;
  bool load_pending;
  bool cache_pending;
  bool in_map; /* found by the current cl_update */
} _cl_engine;

struct _cl_cell
{
  cl_task *cl;
  st_name name;
  cs_cell *cs;
  bool in_map;        /* found by the current cl_update */
  GPtrArray *engines; /* _cl_engine */
};

/* Identifies a request: the dispatcher's index and its handle.  */
typedef struct
{
  uint64_t handle;
  uint32_t dispatcher;
} _cl_key;

/* A request of a dispatcher in one of the owned cells.  */
typedef struct
{
  uint64_t number; /* its id in the scheduler */
  _cl_key key;
  char dispatcher[CM_INCARNATION_MAX];
  uint64_t handle;
  _cl_cell *cell;
  bool granted;
  ms_slot_grant grant; /* without the engine's name */
  st_name engine;
  uint64_t expires_us;
} _cl_entry;

struct cl_task
{
  sv_server *sv;
  GHashTable *cells;       /* name -> _cl_cell */
  GHashTable *entries;     /* number -> _cl_entry */
  GHashTable *by_key;      /* _cl_key -> _cl_entry */
  GHashTable *teams;       /* name -> index + 1 */
  GHashTable *routes;      /* name -> index + 1 */
  GHashTable *dispatchers; /* incarnation -> index + 1 */
  GHashTable *polls;       /* _cl_poll in progress, a set */
  uint64_t next_number;
  uint64_t next_expiry_us;
  bool deciding;
};

static void _cl_poll_free (gpointer data);

static void
_cl_cell_free (gpointer data)
{
  _cl_cell *cell = data;
  cs_destroy (cell->cs);
  g_ptr_array_free (cell->engines, TRUE);
  g_free (cell);
}

static void
_cl_entry_free (gpointer data)
{
  g_free (data);
}

static guint
_cl_key_hash (gconstpointer data)
{
  const _cl_key *key = data;
  return g_int64_hash (&key->handle) * 31 + key->dispatcher;
}

static gboolean
_cl_key_equal (gconstpointer a, gconstpointer b)
{
  const _cl_key *x = a;
  const _cl_key *y = b;
  return x->handle == y->handle && x->dispatcher == y->dispatcher;
}

/* Makes a task that owns no cells.  */
cl_task *
cl_make (const cl_desc *desc)
{
  cl_task *cl = g_new0 (cl_task, 1);
  cl->sv = desc->server;
  cl->next_number = 1;
  cl->cells
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _cl_cell_free);
  cl->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       _cl_entry_free);
  cl->by_key = g_hash_table_new (_cl_key_hash, _cl_key_equal);
  cl->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cl->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cl->polls = g_hash_table_new_full (NULL, NULL, _cl_poll_free, NULL);
  cl->dispatchers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return cl;
}

/* Releases CL and the state of its cells.  */
void
cl_destroy (cl_task *cl)
{
  if (cl == NULL)
    return;
  g_hash_table_destroy (cl->by_key);
  g_hash_table_destroy (cl->entries);
  g_hash_table_destroy (cl->cells);
  g_hash_table_destroy (cl->teams);
  g_hash_table_destroy (cl->routes);
  g_hash_table_destroy (cl->dispatchers);
  g_hash_table_destroy (cl->polls);
  g_free (cl);
}

/* Small index of a name.  Names past MAX share the last index.  */
static uint32_t
_cl_index_of (GHashTable *table, st_str name, uint32_t max)
{
  char text[CM_INCARNATION_MAX];
  st_copy (text, sizeof text, name);
  gpointer hit = g_hash_table_lookup (table, text);
  if (hit == NULL)
    {
      guint next = g_hash_table_size (table) + 1;
      if (next > max)
        return max - 1;
      hit = GUINT_TO_POINTER (next);
      g_hash_table_insert (table, g_strdup (text), hit);
    }
  return GPOINTER_TO_UINT (hit) - 1;
}

static uint32_t
_cl_dispatcher_index (cl_task *cl, st_str dispatcher)
{
  return _cl_index_of (cl->dispatchers, dispatcher, UINT32_MAX);
}

/* ---- engines and their reports ---- */

static json_t *
_cl_parse_body (struct evbuffer *data)
{
  size_t size = evbuffer_get_length (data);
  char *text = g_malloc (size + 1);
  evbuffer_remove (data, text, size);
  json_t *body = json_loadb (text, size, 0, NULL);
  g_free (text);
  return body;
}

/* A call of /load or /cache-events; its response is read to the end before it
   is parsed.  */
typedef struct
{
  cl_task *cl;
  char cell[ST_NAME_MAX + 1];
  st_name engine;
  bool cache;
  struct evbuffer *body;
} _cl_poll;

static void
_cl_poll_free (gpointer data)
{
  _cl_poll *poll = data;
  evbuffer_free (poll->body);
  g_free (poll);
}

static _cl_engine *
_cl_find_engine (_cl_cell *cell, st_str name)
{
  for (guint i = 0; i < cell->engines->len; i++)
    {
      _cl_engine *e = cell->engines->pdata[i];
      if (st_equal (st_name_str (&e->name), name))
        return e;
    }
  return NULL;
}

static void
_cl_apply_load (_cl_engine *e, json_t *body)
{
  sv_server *sv = e->cl->sv;
  uint64_t now_us = sv_now_us (sv);
  uint64_t wall_ms = sv_wall_ms (sv);
  uint64_t time_ms
      = (uint64_t)json_integer_value (json_object_get (body, "time_ms"));
  uint64_t age_us = wall_ms > time_ms ? (wall_ms - time_ms) * CK_MS_US : 0;
  cs_load load = {
    .time_us = now_us > age_us ? now_us - age_us : 0,
    .running
    = (uint32_t)json_integer_value (json_object_get (body, "running")),
    .queued = (uint32_t)json_integer_value (json_object_get (body, "queued")),
    .kv_tokens
    = (uint64_t)json_integer_value (json_object_get (body, "kv_tokens")),
  };
  cs_set_load (e->cell->cs, e->cs_engine, &load, now_us);
}

static void
_cl_apply_cache (_cl_engine *e, json_t *body)
{
  size_t index;
  json_t *event;
  json_t *events = json_object_get (body, "events");
  json_array_foreach (events, index, event)
  {
    const char *block = json_string_value (json_object_get (event, "block"));
    const char *kind = json_string_value (json_object_get (event, "kind"));
    uint64_t n = (uint64_t)json_integer_value (json_object_get (event, "n"));
    if (block == NULL || kind == NULL)
      continue;
    if (n > e->cache_next)
      cs_cache_gap (e->cell->cs, e->cs_engine);
    e->cache_next = n + 1;
    cs_cache_event (e->cell->cs, e->cs_engine,
                    g_ascii_strtoull (block, NULL, 16),
                    strcmp (kind, "stored") == 0);
  }
}

static void
_cl_on_poll_data (void *user, struct evbuffer *data)
{
  _cl_poll *poll = user;
  evbuffer_add_buffer (poll->body, data);
}

static void
_cl_on_poll_done (void *user, const up_result *result)
{
  _cl_poll *poll = user;
  _cl_cell *cell = g_hash_table_lookup (poll->cl->cells, poll->cell);
  _cl_engine *e = cell != NULL
                      ? _cl_find_engine (cell, st_name_str (&poll->engine))
                      : NULL;
  if (e != NULL)
    {
      *(poll->cache ? &e->cache_pending : &e->load_pending) = false;
      json_t *body = result->end == UP_COMPLETE && result->status == 200
                         ? _cl_parse_body (poll->body)
                         : NULL;
      if (json_is_object (body) && poll->cache)
        _cl_apply_cache (e, body);
      else if (json_is_object (body))
        _cl_apply_load (e, body);
      json_decref (body);
    }
  g_hash_table_remove (poll->cl->polls, poll);
}

static void
_cl_poll_engine (_cl_engine *e, bool cache)
{
  char path[64];
  _cl_poll *poll = g_new0 (_cl_poll, 1);
  poll->cl = e->cl;
  poll->engine = e->name;
  poll->cache = cache;
  poll->body = evbuffer_new ();
  g_strlcpy (poll->cell, e->cell->name.text, sizeof poll->cell);
  if (cache)
    g_snprintf (path, sizeof path, "/cache-events?from=%" G_GUINT64_FORMAT,
                e->cache_next);
  else
    g_strlcpy (path, "/load", sizeof path);
  up_id call = up_send (
      e->cl->sv->up, &(up_call_desc){ .address = st_from_cstr (e->address),
                                      .method = EVHTTP_REQ_GET,
                                      .path = path,
                                      .idle_timeout_ms = _CL_POLL_TIMEOUT_MS,
                                      .max_body_bytes = _CL_POLL_MAX_BYTES,
                                      .on_data = _cl_on_poll_data,
                                      .on_done = _cl_on_poll_done,
                                      .user = poll });
  *(cache ? &e->cache_pending : &e->load_pending) = call != 0;
  if (call == 0)
    _cl_poll_free (poll);
  else
    g_hash_table_add (e->cl->polls, poll);
}

static void
_cl_poll_due (_cl_engine *e, uint64_t now_us)
{
  if (now_us < e->next_poll_us)
    return;
  e->next_poll_us = now_us + _CL_POLL_INTERVAL_US;
  if (!e->load_pending)
    _cl_poll_engine (e, false);
  if (!e->cache_pending)
    _cl_poll_engine (e, true);
}

/* ---- entries ---- */

static _cl_entry *
_cl_entry_find (cl_task *cl, st_str dispatcher, uint64_t handle)
{
  _cl_key key = { handle, _cl_dispatcher_index (cl, dispatcher) };
  return g_hash_table_lookup (cl->by_key, &key);
}

static _cl_entry *
_cl_entry_make (cl_task *cl, _cl_cell *cell, st_str dispatcher,
                uint64_t handle)
{
  _cl_entry *entry = g_new0 (_cl_entry, 1);
  entry->number = cl->next_number++;
  entry->key = (_cl_key){ handle, _cl_dispatcher_index (cl, dispatcher) };
  entry->handle = handle;
  entry->cell = cell;
  st_copy (entry->dispatcher, sizeof entry->dispatcher, dispatcher);
  g_hash_table_insert (cl->entries, &entry->number, entry);
  g_hash_table_insert (cl->by_key, &entry->key, entry);
  return entry;
}

static void
_cl_entry_remove (cl_task *cl, _cl_entry *entry)
{
  uint64_t number = entry->number;
  g_hash_table_remove (cl->by_key, &entry->key);
  g_hash_table_remove (cl->entries, &number);
}

static void
_cl_send (cl_task *cl, const _cl_entry *entry, const ms_message *m)
{
  sv_send (cl->sv, st_from_cstr (entry->dispatcher), m);
}

static void
_cl_send_grant (cl_task *cl, const _cl_entry *entry)
{
  ms_message m = { .type = MS_SLOT_GRANT };
  m.u.slot_grant = entry->grant;
  m.u.slot_grant.engine = st_name_str (&entry->engine);
  _cl_send (cl, entry, &m);
}

/* ---- cells ---- */

static _cl_cell *
_cl_cell_make (cl_task *cl, const cm_cell *source)
{
  _cl_cell *cell = g_new0 (_cl_cell, 1);
  uint32_t headroom = po_query_headroom_percent (cl->sv->policy,
                                                 st_name_str (&source->model));
  cell->cl = cl;
  cell->name = source->name;
  cell->engines = g_ptr_array_new_with_free_func (g_free);
  cell->cs = cs_make (&(cs_desc){
      .max_engines = CS_ENGINES_MAX,
      .strict_tiers = po_query_strict_tiers (cl->sv->policy),
      .headroom_percent = headroom > 0 ? headroom : CS_NONE,
      .age_step_us = po_query_ageing_us (cl->sv->policy),
      .collect_until_us = sv_now_us (cl->sv) + _CL_COLLECT_GRANTS_US });
  g_hash_table_insert (cl->cells, cell->name.text, cell);
  lg_log (LG_INFO, "", "owns cell %s", cell->name.text);
  return cell;
}

static void
_cl_update_engine (_cl_cell *cell, const dr_entry *entry, uint64_t now_us)
{
  uint64_t versions[DR_VERSIONS_MAX];
  for (uint32_t i = 0; i < entry->version_count; i++)
    versions[i] = st_hash (st_name_str (&entry->versions[i]), 0);
  cs_engine_desc desc = { .name = st_name_str (&entry->name),
                          .region = st_name_str (&entry->region),
                          .data_center = st_name_str (&entry->data_center),
                          .versions = versions,
                          .version_count = entry->version_count,
                          .slots = entry->slots,
                          .leaving = entry->leaving };
  _cl_engine *e = _cl_find_engine (cell, st_name_str (&entry->name));
  if (e == NULL)
    {
      id_handle id = cs_make_engine (cell->cs, &desc, now_us);
      if (id == 0)
        return;
      e = g_new0 (_cl_engine, 1);
      e->cl = cell->cl;
      e->cell = cell;
      e->name = entry->name;
      e->cs_engine = id;
      g_ptr_array_add (cell->engines, e);
    }
  else
    cs_update_engine (cell->cs, e->cs_engine, &desc, now_us);
  g_strlcpy (e->address, entry->address.text, sizeof e->address);
  e->in_map = true;
}

static void
_cl_update_engines (_cl_cell *cell, const cm_cell *source)
{
  uint64_t now_us = sv_now_us (cell->cl->sv);
  for (guint i = 0; i < cell->engines->len; i++)
    ((_cl_engine *)cell->engines->pdata[i])->in_map = false;
  for (uint32_t i = 0; i < source->engine_count; i++)
    {
      const dr_entry *entry = dr_find (cell->cl->sv->directory, DR_ENGINE,
                                       st_name_str (&source->engines[i]));
      if (entry != NULL)
        _cl_update_engine (cell, entry, now_us);
    }
  for (guint i = cell->engines->len; i > 0; i--)
    {
      _cl_engine *e = cell->engines->pdata[i - 1];
      if (e->in_map)
        continue;
      lg_log (LG_INFO, "", "engine %s left cell %s", e->name.text,
              cell->name.text);
      cs_destroy_engine (cell->cs, e->cs_engine, now_us);
      g_ptr_array_remove_index (cell->engines, i - 1);
    }
}

static gboolean
_cl_entry_is_of_cell (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return ((const _cl_entry *)value)->cell == user;
}

/* Removes a cell that another VM owns now.  The dispatchers resend their
   requests to that VM.  */
static void
_cl_cell_remove (cl_task *cl, _cl_cell *cell)
{
  lg_log (LG_INFO, "", "no longer owns cell %s", cell->name.text);
  g_hash_table_foreach_remove (cl->by_key, _cl_entry_is_of_cell, cell);
  g_hash_table_foreach_remove (cl->entries, _cl_entry_is_of_cell, cell);
  g_hash_table_remove (cl->cells, cell->name.text);
}

static void _cl_decide (cl_task *cl);

/* Follows the cell map: adds, updates and removes cells.  */
void
cl_update (cl_task *cl)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cl->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((_cl_cell *)value)->in_map = false;
  for (size_t i = 0; i < cm_query_count (cl->sv->cells); i++)
    {
      const cm_cell *source = cm_query_at (cl->sv->cells, i);
      if (strcmp (source->owner, cl->sv->incarnation) != 0)
        continue;
      _cl_cell *cell = g_hash_table_lookup (cl->cells, source->name.text);
      if (cell == NULL)
        cell = _cl_cell_make (cl, source);
      cell->in_map = true;
      _cl_update_engines (cell, source);
    }
  GList *cells = g_hash_table_get_values (cl->cells);
  for (GList *at = cells; at != NULL; at = at->next)
    if (!((_cl_cell *)at->data)->in_map)
      _cl_cell_remove (cl, at->data);
  g_list_free (cells);
  _cl_decide (cl);
}

/* ---- messages of dispatchers ---- */

static void
_cl_refuse_unowned (cl_task *cl, st_str dispatcher, uint64_t handle)
{
  ms_message m = { .type = MS_SLOT_REFUSE };
  m.u.slot_refuse.handle = handle;
  m.u.slot_refuse.reason = MS_REFUSE_NOT_OWNER;
  sv_send (cl->sv, dispatcher, &m);
}

static _cl_cell *
_cl_cell_of (cl_task *cl, st_str name)
{
  st_name text;
  if (!st_name_set (&text, name))
    return NULL;
  return g_hash_table_lookup (cl->cells, text.text);
}

static uint64_t
_cl_version_hash (st_str version)
{
  return version.len > 0 ? st_hash (version, 0) : 0;
}

static void
_cl_on_ask (cl_task *cl, st_str dispatcher, const ms_slot_ask *ask)
{
  uint64_t now_us = sv_now_us (cl->sv);
  _cl_cell *cell = _cl_cell_of (cl, ask->cell);
  cs_prefix prefixes[MS_PREFIXES_MAX];
  if (cell == NULL)
    {
      _cl_refuse_unowned (cl, dispatcher, ask->handle);
      return;
    }
  _cl_entry *entry = _cl_entry_find (cl, dispatcher, ask->handle);
  if (entry != NULL)
    {
      if (entry->granted)
        _cl_send_grant (cl, entry);
      else
        entry->expires_us = now_us + _CL_REQUEST_EXPIRY_US;
      return;
    }
  entry = _cl_entry_make (cl, cell, dispatcher, ask->handle);
  entry->expires_us = now_us + _CL_REQUEST_EXPIRY_US;
  for (size_t i = 0; i < ask->prefix_count; i++)
    prefixes[i]
        = (cs_prefix){ ask->prefixes[i].hash, ask->prefixes[i].tokens };
  _cl_engine *resume = ask->resume_engine.len > 0
                           ? _cl_find_engine (cell, ask->resume_engine)
                           : NULL;
  uint64_t number = entry->number;
  bool accepted = cs_submit (
      cell->cs,
      &(cs_request){
          .request = number,
          .dispatcher = _cl_dispatcher_index (cl, dispatcher),
          .tier = ask->tier,
          .team = _cl_index_of (cl->teams, ask->team, _CL_MAX_TEAMS),
          .route = _cl_index_of (cl->routes, ask->route, CS_ROUTES_MAX),
          .version = _cl_version_hash (ask->version),
          .prompt_tokens = ask->prompt_tokens,
          .expected_tokens = ask->expected_tokens,
          .prefixes = prefixes,
          .prefix_count = (uint32_t)ask->prefix_count,
          .deadline_us
          = ask->deadline_ms > 0 ? now_us + ask->deadline_ms * CK_MS_US : 0,
          .first_token_unreported = ask->first_token_unreported,
          .resume_of = resume != NULL ? resume->cs_engine : 0 },
      now_us);
  /* When the decisions of earlier events fill the ring, the request is
     submitted when the dispatcher resends it.  */
  if (!accepted)
    _cl_entry_remove (cl, entry);
}

static void
_cl_on_done (cl_task *cl, st_str dispatcher, const ms_slot_done *done)
{
  _cl_entry *entry = _cl_entry_find (cl, dispatcher, done->handle);
  if (entry == NULL || !entry->granted
      || entry->grant.grant_id != done->grant_id)
    return;
  cs_done_info info = { .first_token_us = done->first_token_us,
                        .itl_us = done->inter_token_us,
                        .tokens = done->tokens };
  switch (done->outcome)
    {
    case MS_OUTCOME_ANSWERED:
      info.outcome = CS_ANSWERED;
      break;
    case MS_OUTCOME_UNKNOWN:
      info.outcome = CS_FAILED;
      break;
    case MS_OUTCOME_NOT_RUN:
      info.outcome = done->engine_refused ? CS_NOT_ADMITTED : CS_CANCELLED;
      break;
    default:
      info.outcome = CS_STOPPED;
    }
  cs_done (entry->cell->cs, entry->number, &info, sv_now_us (cl->sv));
  _cl_entry_remove (cl, entry);
}

static void
_cl_cancel (cl_task *cl, _cl_entry *entry)
{
  uint64_t now_us = sv_now_us (cl->sv);
  if (!cs_cancel (entry->cell->cs, entry->number, now_us))
    cs_done (entry->cell->cs, entry->number,
             &(cs_done_info){ .outcome = CS_CANCELLED }, now_us);
  _cl_entry_remove (cl, entry);
}

static void
_cl_on_hold (cl_task *cl, st_str dispatcher, const ms_slot_hold *hold)
{
  uint64_t now_us = sv_now_us (cl->sv);
  _cl_cell *cell = _cl_cell_of (cl, hold->cell);
  _cl_entry *entry = _cl_entry_find (cl, dispatcher, hold->handle);
  if (entry != NULL)
    {
      entry->expires_us = now_us + _CL_GRANT_EXPIRY_US;
      return;
    }
  _cl_engine *e = cell != NULL ? _cl_find_engine (cell, hold->engine) : NULL;
  if (e == NULL)
    return;
  entry = _cl_entry_make (cl, cell, dispatcher, hold->handle);
  entry->granted = true;
  entry->grant.handle = hold->handle;
  entry->grant.grant_id = hold->grant_id;
  entry->engine = e->name;
  entry->expires_us = now_us + _CL_GRANT_EXPIRY_US;
  bool accepted = cs_restore_grant (
      cell->cs,
      &(cs_request){
          .request = entry->number,
          .dispatcher = _cl_dispatcher_index (cl, dispatcher),
          .tier = hold->tier,
          .team = _cl_index_of (cl->teams, hold->team, _CL_MAX_TEAMS),
          .route = _cl_index_of (cl->routes, hold->route, CS_ROUTES_MAX),
          .version = _cl_version_hash (hold->version),
          .prompt_tokens = hold->prompt_tokens,
          .expected_tokens = hold->expected_tokens },
      e->cs_engine, now_us, now_us);
  if (!accepted)
    _cl_entry_remove (cl, entry);
}

/* Handles one message of DISPATCHER; other types are ignored.  */
void
cl_on_message (cl_task *cl, st_str dispatcher, const ms_message *m)
{
  _cl_entry *entry;
  switch (m->type)
    {
    case MS_SLOT_ASK:
      _cl_on_ask (cl, dispatcher, &m->u.slot_ask);
      break;
    case MS_SLOT_DONE:
      _cl_on_done (cl, dispatcher, &m->u.slot_done);
      break;
    case MS_SLOT_HOLD:
      _cl_on_hold (cl, dispatcher, &m->u.slot_hold);
      break;
    case MS_SLOT_CANCEL:
      entry = _cl_entry_find (cl, dispatcher, m->u.slot_cancel.handle);
      if (entry != NULL)
        _cl_cancel (cl, entry);
      break;
    default:
      return;
    }
  _cl_decide (cl);
}

/* The process DISPATCHER is dead: its requests are removed.  The engines end
   their streams, which shows in the load reports.  */
void
cl_on_dispatcher_dead (cl_task *cl, st_str dispatcher)
{
  GList *entries = g_hash_table_get_values (cl->entries);
  for (GList *at = entries; at != NULL; at = at->next)
    {
      _cl_entry *entry = at->data;
      if (st_equal_cstr (dispatcher, entry->dispatcher))
        _cl_cancel (cl, entry);
    }
  g_list_free (entries);
  _cl_decide (cl);
}

/* A dispatcher on this VM received the first token of a stream FIRST_TOKEN_US
   after it sent the request.  */
void
cl_on_first_token (cl_task *cl, st_str dispatcher, uint64_t handle,
                   uint64_t first_token_us)
{
  _cl_entry *entry = _cl_entry_find (cl, dispatcher, handle);
  if (entry != NULL && entry->granted)
    cs_first_token (entry->cell->cs, entry->number, first_token_us,
                    sv_now_us (cl->sv));
}

/* ---- decisions ---- */

static ms_refuse_reason
_cl_reason (cs_reason reason)
{
  switch (reason)
    {
    case CS_REASON_DEADLINE:
      return MS_REFUSE_DEADLINE;
    case CS_REASON_NO_ENGINE:
      return MS_REFUSE_NO_ENGINE;
    case CS_REASON_FULL:
    case CS_REASON_INVALID:
    case CS_REASON_NONE:
      break;
    }
  return MS_REFUSE_QUEUE_FULL;
}

static void
_cl_grant (cl_task *cl, _cl_cell *cell, _cl_entry *entry, const cs_decision *d)
{
  cs_engine_view view;
  if (!cs_query_engine (cell->cs, d->engine, &view))
    return;
  entry->granted = true;
  entry->engine = view.name;
  entry->expires_us = sv_now_us (cl->sv) + _CL_GRANT_EXPIRY_US;
  entry->grant = (ms_slot_grant){ .handle = entry->handle,
                                  .grant_id = entry->number,
                                  .first_token_us = d->first_token_us };
  _cl_send_grant (cl, entry);
}

static void
_cl_apply (cl_task *cl, _cl_cell *cell, const cs_decision *d)
{
  _cl_entry *entry = g_hash_table_lookup (cl->entries, &d->request);
  ms_message m = { .type = MS_SLOT_REFUSE };
  if (entry == NULL)
    {
      if (d->kind == CS_GRANT)
        cs_done (cell->cs, d->request,
                 &(cs_done_info){ .outcome = CS_NOT_ADMITTED },
                 sv_now_us (cl->sv));
      return;
    }
  lg_log (LG_DEBUG, "", "cell %s: %s handle %" G_GINT64_MODIFIER "x tier %u",
          cell->name.text,
          d->kind == CS_GRANT    ? "grant"
          : d->kind == CS_REFUSE ? "refuse"
                                 : "stop",
          entry->handle, d->tier);
  switch (d->kind)
    {
    case CS_GRANT:
      _cl_grant (cl, cell, entry, d);
      break;
    case CS_REFUSE:
      m.u.slot_refuse
          = (ms_slot_refuse){ .handle = entry->handle,
                              .reason = _cl_reason (d->reason),
                              .retry_after_ms = d->retry_after_ms,
                              .lower_tier_running = d->has_lower_tier_work };
      {
        char dispatcher[CM_INCARNATION_MAX];
        g_strlcpy (dispatcher, entry->dispatcher, sizeof dispatcher);
        _cl_entry_remove (cl, entry);
        sv_send (cl->sv, st_from_cstr (dispatcher), &m);
      }
      break;
    case CS_STOP:
      m.type = MS_SLOT_STOP;
      m.u.slot_stop = (ms_slot_stop){ .handle = entry->handle,
                                      .grant_id = entry->grant.grant_id };
      _cl_send (cl, entry, &m);
      break;
    }
}

/* Applies all decisions of all cells.  A decision that reaches a dispatcher on
   this VM can cause inputs, which call this function again: the outer call
   applies the decisions that follow.  */
static void
_cl_decide (cl_task *cl)
{
  bool more = !cl->deciding;
  if (cl->deciding)
    return;
  cl->deciding = true;
  while (more)
    {
      GList *cells = g_hash_table_get_values (cl->cells);
      more = false;
      for (GList *at = cells; at != NULL; at = at->next)
        {
          _cl_cell *cell = at->data;
          cs_decision d;
          while (cs_next (cell->cs, sv_now_us (cl->sv), &d))
            {
              more = true;
              _cl_apply (cl, cell, &d);
            }
        }
      g_list_free (cells);
    }
  cl->deciding = false;
}

static void
_cl_expire_entries (cl_task *cl, uint64_t now_us)
{
  if (now_us < cl->next_expiry_us)
    return;
  cl->next_expiry_us = now_us + CK_S_US;
  GList *entries = g_hash_table_get_values (cl->entries);
  for (GList *at = entries; at != NULL; at = at->next)
    {
      _cl_entry *entry = at->data;
      if (entry->expires_us < now_us)
        {
          lg_log (LG_WARNING, "",
                  "dispatcher %s is unresponsive; dropping its %s",
                  entry->dispatcher, entry->granted ? "grant" : "request");
          _cl_cancel (cl, entry);
        }
    }
  g_list_free (entries);
}

/* Polls the engines, advances the schedulers and expires the requests of
   unresponsive dispatchers.  */
void
cl_tick (cl_task *cl)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_us = sv_now_us (cl->sv);
  g_hash_table_iter_init (&iter, cl->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      _cl_cell *cell = value;
      cs_tick (cell->cs, now_us);
      for (guint i = 0; i < cell->engines->len; i++)
        _cl_poll_due (cell->engines->pdata[i], now_us);
    }
  _cl_expire_entries (cl, now_us);
  _cl_decide (cl);
}
