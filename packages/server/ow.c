/* Cells and their owners.

   A cell is named "<data centre>/<model>".  Each VM computes the owner of
   every cell from the same member list; while views differ a cell may have
   two owners, which over-commits engines for a moment and breaks no safety
   rule.  A holder repeats its question until it is answered, and registers
   its grants with the new owner after a change, so a lost message or a dead
   owner only delays.  */
#include "ow.h"

#include "fe.h"
#include "lg.h"
#include "sv.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#define _OW_COLLECT_US (500 * CK_MS_US)
#define _OW_LOAD_PERIOD_US (500 * CK_MS_US)
#define _OW_LOAD_TIMEOUT_MS 1000
#define _OW_MAX_PREFIXES 64
#define _OW_BLOCK_BYTES 256
#define _OW_HOLDER_SELF 0

typedef struct
{
  ow_task *ow;
  id_handle cs_engine;
  st_name name;
  char address[80];
  uint64_t cache_next;
  uint64_t next_load_us;
  bool load_asked;
  bool cache_asked;
  bool seen; /* mark of ow_set_upstreams */
  struct _ow_cell *cell;
} _ow_engine;

typedef struct _ow_cell
{
  ow_task *ow;
  char name[2 * ST_NAME_MAX + 2];
  cs_cell *cs;
  st_name data_center;
  st_name region;
  st_name model;
  GPtrArray *engines; /* _ow_engine */
} _ow_cell;

typedef enum
{
  _OW_ASKED,
  _OW_GRANTED
} _ow_state;

/* A request of this VM that waits for or has a place.  */
typedef struct
{
  id_handle request;
  _ow_state state;
  st_name model;
  st_name version;
  st_name team;
  st_name route;
  uint8_t tier;
  uint32_t prompt_tokens;
  uint32_t expected_tokens;
  uint64_t deadline_us;
  st_name resume_engine;
  unsigned tried; /* number of cells that refused */
  _ow_cell *cell;
  uint32_t prefix_count;
  cs_prefix prefixes[CS_PREFIX_MAX];
} _ow_ticket;

struct ow_task
{
  sv_server *sv;
  GHashTable *cells;   /* name -> _ow_cell */
  GHashTable *tickets; /* id_handle -> _ow_ticket */
  GHashTable *teams;   /* name -> index + 1 */
  GHashTable *routes;  /* name -> index + 1 */
  bool draining_decisions;
};

static void
_ow_engine_free (gpointer data)
{
  g_free (data);
}

static void
_ow_cell_free (gpointer data)
{
  _ow_cell *cell = data;
  cs_destroy (cell->cs);
  g_ptr_array_free (cell->engines, TRUE);
  g_free (cell);
}

/* Makes a task without cells.  */
ow_task *
ow_make (const ow_desc *desc)
{
  ow_task *ow = g_new0 (ow_task, 1);
  ow->sv = desc->server;
  ow->cells
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _ow_cell_free);
  ow->tickets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  ow->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ow->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return ow;
}

/* Releases OW and the state of its cells.  */
void
ow_destroy (ow_task *ow)
{
  if (ow == NULL)
    return;
  g_hash_table_destroy (ow->tickets);
  g_hash_table_destroy (ow->cells);
  g_hash_table_destroy (ow->teams);
  g_hash_table_destroy (ow->routes);
  g_free (ow);
}

static uint32_t
_ow_index_of (GHashTable *table, const st_name *name, uint32_t max)
{
  gpointer hit = g_hash_table_lookup (table, name->text);
  if (hit == NULL)
    {
      guint next = g_hash_table_size (table) + 1;
      hit = GUINT_TO_POINTER (next < max ? next : max);
      if (next <= max)
        g_hash_table_insert (table, g_strdup (name->text), hit);
    }
  return GPOINTER_TO_UINT (hit) - 1;
}

/* ---- engines and their reports ---- */

static json_t *
_ow_load_json (struct evbuffer *data)
{
  size_t size = evbuffer_get_length (data);
  char *text = g_malloc (size + 1);
  evbuffer_remove (data, text, size);
  json_t *body = json_loadb (text, size, 0, NULL);
  g_free (text);
  return body;
}

/* Answers to /load and /cache-events are collected whole.  */
typedef struct
{
  ow_task *ow;
  char cell[2 * ST_NAME_MAX + 2];
  st_name engine;
  bool cache;
  struct evbuffer *body;
} _ow_poll;

static _ow_engine *
_ow_find_engine (_ow_cell *cell, st_str name)
{
  for (guint i = 0; i < cell->engines->len; i++)
    {
      _ow_engine *e = cell->engines->pdata[i];
      if (st_equal (st_name_str (&e->name), name))
        return e;
    }
  return NULL;
}

static void
_ow_apply_load (_ow_engine *e, json_t *body)
{
  sv_server *sv = e->ow->sv;
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
_ow_apply_cache (_ow_engine *e, json_t *body)
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
_ow_on_poll_data (void *user, struct evbuffer *data)
{
  _ow_poll *poll = user;
  evbuffer_add_buffer (poll->body, data);
}

static void
_ow_on_poll_done (void *user, const up_result *result)
{
  _ow_poll *poll = user;
  _ow_cell *cell = g_hash_table_lookup (poll->ow->cells, poll->cell);
  _ow_engine *e = cell != NULL
                      ? _ow_find_engine (cell, st_name_str (&poll->engine))
                      : NULL;
  if (e != NULL)
    {
      *(poll->cache ? &e->cache_asked : &e->load_asked) = false;
      json_t *body = result->end == UP_COMPLETE && result->status == 200
                         ? _ow_load_json (poll->body)
                         : NULL;
      if (json_is_object (body) && poll->cache)
        _ow_apply_cache (e, body);
      else if (json_is_object (body))
        _ow_apply_load (e, body);
      json_decref (body);
    }
  evbuffer_free (poll->body);
  g_free (poll);
}

static void
_ow_poll_engine (_ow_engine *e, bool cache)
{
  char path[64];
  _ow_poll *poll = g_new0 (_ow_poll, 1);
  poll->ow = e->ow;
  poll->engine = e->name;
  poll->cache = cache;
  poll->body = evbuffer_new ();
  g_strlcpy (poll->cell, e->cell->name, sizeof poll->cell);
  if (cache)
    g_snprintf (path, sizeof path, "/cache-events?from=%" G_GUINT64_FORMAT,
                e->cache_next);
  else
    g_strlcpy (path, "/load", sizeof path);
  up_id call = up_send (
      e->ow->sv->up, &(up_call_desc){ .address = st_from_cstr (e->address),
                                      .method = EVHTTP_REQ_GET,
                                      .path = path,
                                      .idle_timeout_ms = _OW_LOAD_TIMEOUT_MS,
                                      .on_data = _ow_on_poll_data,
                                      .on_done = _ow_on_poll_done,
                                      .user = poll });
  *(cache ? &e->cache_asked : &e->load_asked) = call != 0;
  if (call == 0)
    {
      evbuffer_free (poll->body);
      g_free (poll);
    }
}

static void
_ow_poll_due (_ow_engine *e, uint64_t now_us)
{
  if (now_us < e->next_load_us)
    return;
  e->next_load_us = now_us + _OW_LOAD_PERIOD_US;
  if (!e->load_asked)
    _ow_poll_engine (e, false);
  if (!e->cache_asked)
    _ow_poll_engine (e, true);
}

/* ---- cells ---- */

static _ow_cell *
_ow_cell_get (ow_task *ow, const dr_entry *engine)
{
  char name[2 * ST_NAME_MAX + 2];
  g_snprintf (name, sizeof name, "%s/%s", engine->data_center.text,
              engine->serves.text);
  _ow_cell *cell = g_hash_table_lookup (ow->cells, name);
  if (cell != NULL)
    return cell;
  cell = g_new0 (_ow_cell, 1);
  cell->ow = ow;
  g_strlcpy (cell->name, name, sizeof cell->name);
  cell->data_center = engine->data_center;
  cell->region = engine->region;
  cell->model = engine->serves;
  cell->engines = g_ptr_array_new_with_free_func (_ow_engine_free);
  cell->cs = cs_make (&(cs_desc){ .max_engines = CS_ENGINES_MAX });
  g_hash_table_insert (ow->cells, cell->name, cell);
  return cell;
}

static void
_ow_set_engine (ow_task *ow, const dr_entry *entry, uint64_t now_us)
{
  uint64_t versions[DR_VERSIONS_MAX];
  _ow_cell *cell = _ow_cell_get (ow, entry);
  for (uint32_t i = 0; i < entry->version_count; i++)
    versions[i] = st_hash (st_name_str (&entry->versions[i]), 0);
  cs_engine_desc desc = { .name = st_name_str (&entry->name),
                          .region = st_name_str (&entry->region),
                          .data_center = st_name_str (&entry->data_center),
                          .versions = versions,
                          .version_count = entry->version_count,
                          .slots = entry->slots,
                          .leaving = entry->leaving };
  _ow_engine *e = _ow_find_engine (cell, st_name_str (&entry->name));
  if (e == NULL)
    {
      e = g_new0 (_ow_engine, 1);
      e->ow = ow;
      e->cell = cell;
      e->name = entry->name;
      e->cs_engine = cs_make_engine (cell->cs, &desc, now_us);
      if (e->cs_engine == 0)
        {
          lg_log (LG_WARNING, "", "cell %s is full; engine %s is not used",
                  cell->name, entry->name.text);
          g_free (e);
          return;
        }
      g_ptr_array_add (cell->engines, e);
    }
  else
    cs_update_engine (cell->cs, e->cs_engine, &desc, now_us);
  g_strlcpy (e->address, entry->address.text, sizeof e->address);
  e->seen = true;
}

static void
_ow_drop_unseen (_ow_cell *cell, uint64_t now_us)
{
  for (guint i = cell->engines->len; i > 0; i--)
    {
      _ow_engine *e = cell->engines->pdata[i - 1];
      if (e->seen)
        continue;
      lg_log (LG_INFO, "", "engine %s is gone from the VM list", e->name.text);
      cs_destroy_engine (cell->cs, e->cs_engine, now_us);
      g_ptr_array_remove_index (cell->engines, i - 1);
    }
}

static void _ow_run (ow_task *ow);

/* Applies the directory's engines to the cells.  */
void
ow_set_upstreams (ow_task *ow)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_us = sv_now_us (ow->sv);
  g_hash_table_iter_init (&iter, ow->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      _ow_cell *cell = value;
      for (guint i = 0; i < cell->engines->len; i++)
        ((_ow_engine *)cell->engines->pdata[i])->seen = false;
    }
  for (size_t i = 0; i < dr_query_count (ow->sv->directory); i++)
    {
      const dr_entry *entry = dr_query_at (ow->sv->directory, i);
      if (entry->kind == DR_ENGINE)
        _ow_set_engine (ow, entry, now_us);
    }
  g_hash_table_iter_init (&iter, ow->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    _ow_drop_unseen (value, now_us);
  _ow_run (ow);
}

/* ---- requests ---- */

/* Cells that serve MODEL, in the order in which a request tries them: own
   data centre, own region, others.  Within a group the order is by name.  */
static int
_ow_cell_rank (const ow_task *ow, const _ow_cell *cell)
{
  const sb_config *config = &ow->sv->config;
  if (st_equal (st_name_str (&cell->data_center),
                st_name_str (&config->data_center)))
    return 0;
  if (st_equal (st_name_str (&cell->region), st_name_str (&config->region)))
    return 1;
  return 2;
}

static _ow_cell *
_ow_choose_cell (ow_task *ow, const _ow_ticket *t)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *ranked = g_ptr_array_new ();
  for (int rank = 0; rank < 3; rank++)
    {
      g_hash_table_iter_init (&iter, ow->cells);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          _ow_cell *cell = value;
          if (cell->engines->len > 0
              && st_equal (st_name_str (&cell->model), st_name_str (&t->model))
              && _ow_cell_rank (ow, cell) == rank)
            g_ptr_array_add (ranked, cell);
        }
    }
  _ow_cell *chosen = t->tried < ranked->len ? ranked->pdata[t->tried] : NULL;
  if (t->resume_engine.len > 0)
    {
      chosen = NULL;
      for (guint i = 0; i < ranked->len && t->tried == 0; i++)
        if (_ow_find_engine (ranked->pdata[i], st_name_str (&t->resume_engine))
            != NULL)
          chosen = ranked->pdata[i];
    }
  g_ptr_array_free (ranked, TRUE);
  return chosen;
}

static void
_ow_submit (ow_task *ow, _ow_ticket *t)
{
  t->state = _OW_ASKED;
  t->cell = _ow_choose_cell (ow, t);
  if (t->cell == NULL)
    {
      id_handle request = t->request;
      bool any = t->tried > 0;
      g_hash_table_remove (ow->tickets, &request);
      fe_on_refuse (ow->sv->front, request, any ? "overload" : "no_engine",
                    1000);
      return;
    }
  _ow_engine *resume
      = t->resume_engine.len > 0
            ? _ow_find_engine (t->cell, st_name_str (&t->resume_engine))
            : NULL;
  cs_request request = {
    .request = t->request,
    .holder = _OW_HOLDER_SELF,
    .tier = t->tier,
    .team = _ow_index_of (ow->teams, &t->team, 256),
    .route = _ow_index_of (ow->routes, &t->route, CS_ROUTES_MAX),
    .version = t->version.len > 0 ? st_hash (st_name_str (&t->version), 0) : 0,
    .prompt_tokens = t->prompt_tokens,
    .expected_tokens = t->expected_tokens,
    .prefixes = t->prefixes,
    .prefix_count = t->prefix_count,
    .deadline_us = t->deadline_us,
    .resume_of = resume != NULL ? resume->cs_engine : 0,
  };
  cs_submit (t->cell->cs, &request, sv_now_us (ow->sv));
}

static void
_ow_hash_prefixes (_ow_ticket *t, st_str prompt)
{
  uint64_t hash = 0;
  cs_prefix all[_OW_MAX_PREFIXES];
  uint32_t count = 0;
  for (size_t at = 0;
       at + _OW_BLOCK_BYTES <= prompt.len && count < _OW_MAX_PREFIXES;
       at += _OW_BLOCK_BYTES)
    {
      hash = st_hash (st_slice (prompt, at, at + _OW_BLOCK_BYTES), hash);
      all[count].hash = hash;
      all[count].tokens = (uint32_t)((at + _OW_BLOCK_BYTES) / 4);
      count++;
    }
  /* Thinned evenly; the longest prefix is always kept.  */
  t->prefix_count = count < CS_PREFIX_MAX ? count : CS_PREFIX_MAX;
  for (uint32_t i = 0; i < t->prefix_count; i++)
    t->prefixes[i] = all[(i + 1) * count / t->prefix_count - 1];
}

/* Asks for a place.  The answer comes by fe_on_grant or fe_on_refuse, not
   before ow_ask has returned to the event loop or run all decisions.  */
void
ow_ask (ow_task *ow, const ow_ask_desc *desc)
{
  _ow_ticket *t = g_new0 (_ow_ticket, 1);
  t->request = desc->request;
  t->tier = desc->tier;
  t->prompt_tokens = desc->prompt_tokens;
  t->expected_tokens = desc->expected_tokens;
  t->deadline_us = desc->deadline_us;
  st_name_set (&t->model, desc->model);
  st_name_set (&t->version, desc->version);
  st_name_set (&t->team, desc->team);
  st_name_set (&t->route, desc->route);
  st_name_set (&t->resume_engine, desc->resume_engine);
  _ow_hash_prefixes (t, desc->prompt);
  g_hash_table_replace (ow->tickets, &t->request, t);
  _ow_submit (ow, t);
  _ow_run (ow);
}

/* Gives up a request that has no grant.  */
void
ow_cancel (ow_task *ow, id_handle request)
{
  _ow_ticket *t = g_hash_table_lookup (ow->tickets, &request);
  if (t == NULL)
    return;
  if (t->cell != NULL)
    cs_cancel (t->cell->cs, request, sv_now_us (ow->sv));
  g_hash_table_remove (ow->tickets, &request);
  _ow_run (ow);
}

/* Tells the scheduler when the first token of a stream arrived.  */
void
ow_first_token (ow_task *ow, id_handle request, uint64_t first_token_us)
{
  _ow_ticket *t = g_hash_table_lookup (ow->tickets, &request);
  if (t != NULL && t->cell != NULL)
    cs_first_token (t->cell->cs, request, first_token_us, sv_now_us (ow->sv));
}

/* Ends the grant of REQUEST.  */
void
ow_done (ow_task *ow, id_handle request, const cs_done_info *info)
{
  _ow_ticket *t = g_hash_table_lookup (ow->tickets, &request);
  if (t == NULL)
    return;
  if (t->cell != NULL)
    cs_done (t->cell->cs, request, info, sv_now_us (ow->sv));
  g_hash_table_remove (ow->tickets, &request);
  _ow_run (ow);
}

/* ---- decisions ---- */

static void
_ow_grant (ow_task *ow, _ow_cell *cell, const cs_decision *d)
{
  cs_engine_view view;
  _ow_ticket *t = g_hash_table_lookup (ow->tickets, &d->request);
  if (t == NULL || !cs_query_engine (cell->cs, d->engine, &view))
    {
      cs_done (cell->cs, d->request,
               &(cs_done_info){ .outcome = CS_NOT_ADMITTED },
               sv_now_us (ow->sv));
      return;
    }
  _ow_engine *e = _ow_find_engine (cell, st_name_str (&view.name));
  t->state = _OW_GRANTED;
  fe_on_grant (ow->sv->front, d->request,
               &(fe_place){ .engine = st_name_str (&e->name),
                            .address = st_from_cstr (e->address),
                            .predicted_first_token_us = d->first_token_us });
}

static const char *
_ow_reason_name (cs_reason reason)
{
  switch (reason)
    {
    case CS_REASON_DEADLINE:
      return "deadline";
    case CS_REASON_FULL:
      return "overload";
    case CS_REASON_NO_ENGINE:
      return "no_engine";
    case CS_REASON_INVALID:
      return "invalid";
    case CS_REASON_NONE:
      break;
    }
  return "overload";
}

static void
_ow_refuse (ow_task *ow, const cs_decision *d)
{
  _ow_ticket *t = g_hash_table_lookup (ow->tickets, &d->request);
  if (t == NULL)
    return;
  t->tried++;
  if (_ow_choose_cell (ow, t) != NULL)
    {
      _ow_submit (ow, t);
      return;
    }
  id_handle request = d->request;
  g_hash_table_remove (ow->tickets, &request);
  fe_on_refuse (ow->sv->front, request, _ow_reason_name (d->reason),
                d->retry_after_ms);
}

static void
_ow_apply (ow_task *ow, _ow_cell *cell, const cs_decision *d)
{
  switch (d->kind)
    {
    case CS_GRANT:
      _ow_grant (ow, cell, d);
      break;
    case CS_REFUSE:
      _ow_refuse (ow, d);
      break;
    case CS_STOP:
      fe_on_stop (ow->sv->front, d->request);
      break;
    }
}

/* Takes all decisions of all cells.  Decisions cause inputs, which call this
   function again: the outer call takes the decisions that follow.  */
static void
_ow_run (ow_task *ow)
{
  bool more = true;
  if (ow->draining_decisions)
    return;
  ow->draining_decisions = true;
  while (more)
    {
      GList *cells = g_hash_table_get_values (ow->cells);
      more = false;
      for (GList *at = cells; at != NULL; at = at->next)
        {
          _ow_cell *cell = at->data;
          cs_decision d;
          while (cs_next (cell->cs, sv_now_us (ow->sv), &d))
            {
              more = true;
              _ow_apply (ow, cell, &d);
            }
        }
      g_list_free (cells);
    }
  ow->draining_decisions = false;
}

/* The set of live VMs changed.  */
void
ow_members_changed (ow_task *ow)
{
  _ow_run (ow);
}

/* Periodic work, at least every 50 ms.  */
void
ow_tick (ow_task *ow)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_us = sv_now_us (ow->sv);
  g_hash_table_iter_init (&iter, ow->cells);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      _ow_cell *cell = value;
      cs_tick (cell->cs, now_us);
      for (guint i = 0; i < cell->engines->len; i++)
        _ow_poll_due (cell->engines->pdata[i], now_us);
    }
  _ow_run (ow);
}
