#include "ow.h"

#include "cm.h"
#include "fe.h"
#include "lg.h"
#include "sv.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define _OW_REPEAT_US CK_S_US
#define _OW_HOLD_PERIOD_US (5 * CK_S_US)
#define _OW_MAX_TRIED 32
#define _OW_MAX_PREFIXES 64
/* Block of the engines' prefix caches: 64 tokens of 4 bytes.  */
#define _OW_BLOCK_BYTES 256
#define _OW_BYTES_PER_TOKEN 4
/* Expected wait that is accepted to stay in the own data centre.  */
#define _OW_OTHER_DC_US (5 * CK_MS_US)
/* Gain below which a request never leaves its region: the wait that is seen
   varies by about this much.  */
#define _OW_MIN_GAIN_US (100 * CK_MS_US)
#define _OW_DEFAULT_TOKENS 256
/* One event of a stream with its JSON frame.  */
#define _OW_EVENT_BYTES 180
/* An observed wait counts half after this time.  */
#define _OW_WAIT_HALF_US ((double)CK_S_US)

/* A request of this VM that waits for or has a place.  */
typedef struct
{
  id_handle request;
  bool granted;
  st_name model;
  st_name version;
  st_name team;
  st_name route;
  uint8_t tier;
  uint32_t prompt_tokens;
  uint32_t expected_tokens;
  uint64_t deadline_us;
  bool stream;
  st_name resume_engine;
  st_name cell;
  char owner[CM_INCARNATION_MAX]; /* that was asked */
  st_name engine;
  uint64_t grant_id;
  uint64_t asked_us;  /* first question to this cell */
  uint64_t repeat_us; /* next repetition of the question or the hold */
  unsigned tried_count;
  uint64_t tried[_OW_MAX_TRIED]; /* hashes of the cells that refused */
  uint32_t retry_after_ms;
  ms_refuse_reason reason;
  size_t prefix_count;
  ms_prefix prefixes[CS_PREFIX_MAX];
} _ow_ticket;

/* Wait that was seen at a cell.  */
typedef struct
{
  double wait_us;
  uint64_t seen_us;
} _ow_wait;

struct ow_task
{
  sv_server *sv;
  GHashTable *tickets; /* id_handle -> _ow_ticket */
  GHashTable *waits;   /* cell name -> _ow_wait */
};

/* Makes a task without tickets.  */
ow_task *
ow_make (const ow_desc *desc)
{
  ow_task *ow = g_new0 (ow_task, 1);
  ow->sv = desc->server;
  ow->tickets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  ow->waits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return ow;
}

/* Releases OW.  */
void
ow_destroy (ow_task *ow)
{
  if (ow == NULL)
    return;
  g_hash_table_destroy (ow->tickets);
  g_hash_table_destroy (ow->waits);
  g_free (ow);
}

/* ---- choice of a cell ---- */

static double
_ow_expected_wait_us (ow_task *ow, const cm_cell *cell)
{
  const _ow_wait *wait = g_hash_table_lookup (ow->waits, cell->name.text);
  if (wait == NULL)
    return 0;
  double age_us = (double)(sv_now_us (ow->sv) - wait->seen_us);
  return wait->wait_us * exp2 (-age_us / _OW_WAIT_HALF_US);
}

static void
_ow_observe_wait (ow_task *ow, const _ow_ticket *t)
{
  uint64_t now_us = sv_now_us (ow->sv);
  _ow_wait *wait = g_hash_table_lookup (ow->waits, t->cell.text);
  if (wait == NULL)
    {
      wait = g_new0 (_ow_wait, 1);
      g_hash_table_insert (ow->waits, g_strdup (t->cell.text), wait);
    }
  wait->wait_us = (double)(now_us - t->asked_us);
  wait->seen_us = now_us;
}

static bool
_ow_is_near (const ow_task *ow, const cm_cell *cell)
{
  return st_equal (st_name_str (&cell->region),
                   st_name_str (&ow->sv->config.region));
}

static double
_ow_cost_us (ow_task *ow, const cm_cell *cell)
{
  double cost = _ow_expected_wait_us (ow, cell);
  if (!st_equal (st_name_str (&cell->data_center),
                 st_name_str (&ow->sv->config.data_center)))
    cost += (double)_OW_OTHER_DC_US;
  return cost;
}

static bool
_ow_was_tried (const _ow_ticket *t, const cm_cell *cell)
{
  uint64_t hash = st_hash (st_name_str (&cell->name), 0);
  for (unsigned i = 0; i < t->tried_count; i++)
    if (t->tried[i] == hash)
      return true;
  return false;
}

/* The cheapest cell of the own region, or of the others, that serves the
   model and has not refused yet.  */
static const cm_cell *
_ow_cheapest (ow_task *ow, const _ow_ticket *t, bool near, double *cost)
{
  const cm_cell *best = NULL;
  for (size_t i = 0; i < cm_query_count (ow->sv->cells); i++)
    {
      const cm_cell *cell = cm_query_at (ow->sv->cells, i);
      if (cell->owner[0] == 0 || _ow_is_near (ow, cell) != near
          || !st_equal (st_name_str (&cell->model), st_name_str (&t->model))
          || _ow_was_tried (t, cell))
        continue;
      double wait_us = _ow_cost_us (ow, cell);
      if (best == NULL || wait_us < *cost)
        {
          best = cell;
          *cost = wait_us;
        }
    }
  return best;
}

static uint64_t
_ow_ms_left (const ow_task *ow, const _ow_ticket *t)
{
  uint64_t now_us = sv_now_us (ow->sv);
  if (t->deadline_us == 0)
    return 0;
  return t->deadline_us > now_us ? (t->deadline_us - now_us) / CK_MS_US + 1
                                 : 1;
}

/* True when T should go to another region: nothing is left in the own one,
   or the wait there is longer by enough to be worth the bytes.  */
static bool
_ow_crosses (ow_task *ow, const _ow_ticket *t, bool near_possible,
             double near_us, double far_us)
{
  uint64_t tokens
      = t->expected_tokens > 0 ? t->expected_tokens : _OW_DEFAULT_TOKENS;
  uint64_t bytes = (uint64_t)t->prompt_tokens * _OW_BYTES_PER_TOKEN
                   + tokens * _OW_EVENT_BYTES;
  if (near_possible && near_us < far_us + _OW_MIN_GAIN_US)
    return false;
  return po_take_transfer (
      ow->sv->policy,
      &(po_transfer){ .tier = t->tier,
                      .bytes = bytes,
                      .local_us
                      = near_possible ? (uint64_t)near_us : UINT64_MAX,
                      .remote_us = (uint64_t)far_us,
                      .deadline_us = _ow_ms_left (ow, t) * CK_MS_US });
}

/* The cell to ask next.  A stopped stream goes to the cell of the engine
   that keeps its state.  */
static const cm_cell *
_ow_choose_cell (ow_task *ow, const _ow_ticket *t)
{
  double near_us = 0;
  double far_us = 0;
  if (t->tried_count >= _OW_MAX_TRIED)
    return NULL;
  if (t->resume_engine.len > 0)
    {
      const cm_cell *cell
          = cm_find_engine (ow->sv->cells, st_name_str (&t->resume_engine));
      return cell != NULL && cell->owner[0] != 0 && !_ow_was_tried (t, cell)
                 ? cell
                 : NULL;
    }
  const cm_cell *near = _ow_cheapest (ow, t, true, &near_us);
  const cm_cell *far = _ow_cheapest (ow, t, false, &far_us);
  if (far != NULL && _ow_crosses (ow, t, near != NULL, near_us, far_us))
    return far;
  return near;
}

/* ---- messages to owners ---- */

static void
_ow_send_ask (ow_task *ow, _ow_ticket *t)
{
  ms_message m = { .type = MS_SLOT_ASK };
  char owner[CM_INCARNATION_MAX];
  m.u.slot_ask = (ms_slot_ask){
    .handle = t->request,
    .cell = st_name_str (&t->cell),
    .tier = t->tier,
    .team = st_name_str (&t->team),
    .version = st_name_str (&t->version),
    .route = st_name_str (&t->route),
    .prompt_tokens = t->prompt_tokens,
    .expected_tokens = t->expected_tokens,
    .prefix_count = t->prefix_count,
    .prefixes = t->prefixes,
    .deadline_ms = _ow_ms_left (ow, t),
    .resume_engine = st_name_str (&t->resume_engine),
    .first_token_unreported
    = !t->stream || strcmp (t->owner, ow->sv->incarnation) != 0,
  };
  t->repeat_us = sv_now_us (ow->sv) + _OW_REPEAT_US;
  g_strlcpy (owner, t->owner, sizeof owner);
  /* T may be gone when a local owner has answered at once.  */
  sv_send (ow->sv, st_from_cstr (owner), &m);
}

static void
_ow_send_hold (ow_task *ow, _ow_ticket *t)
{
  ms_message m = { .type = MS_SLOT_HOLD };
  m.u.slot_hold = (ms_slot_hold){
    .handle = t->request,
    .grant_id = t->grant_id,
    .cell = st_name_str (&t->cell),
    .engine = st_name_str (&t->engine),
    .tier = t->tier,
    .team = st_name_str (&t->team),
    .version = st_name_str (&t->version),
    .route = st_name_str (&t->route),
    .prompt_tokens = t->prompt_tokens,
    .expected_tokens = t->expected_tokens,
  };
  t->repeat_us = sv_now_us (ow->sv) + _OW_HOLD_PERIOD_US;
  sv_send (ow->sv, st_from_cstr (t->owner), &m);
}

static void
_ow_send_done (ow_task *ow, const char *owner, const ms_slot_done *done)
{
  ms_message m = { .type = MS_SLOT_DONE };
  m.u.slot_done = *done;
  sv_send (ow->sv, st_from_cstr (owner), &m);
}

static const char *
_ow_reason_name (ms_refuse_reason reason)
{
  switch (reason)
    {
    case MS_REFUSE_DEADLINE:
      return "deadline";
    case MS_REFUSE_NO_ENGINE:
    case MS_REFUSE_NOT_OWNER:
    case MS_REFUSE_LEAVING:
      return "no_engine";
    default:
      return "overload";
    }
}

/* Asks the next cell, or tells the front end that there is none left.  T may
   be gone afterwards.  */
static void
_ow_submit (ow_task *ow, _ow_ticket *t)
{
  const cm_cell *cell = _ow_choose_cell (ow, t);
  if (cell == NULL)
    {
      id_handle request = t->request;
      ms_refuse_reason reason
          = t->tried_count > 0 ? t->reason : MS_REFUSE_NO_ENGINE;
      uint32_t retry_after_ms
          = t->retry_after_ms > 0 ? t->retry_after_ms : 1000;
      g_hash_table_remove (ow->tickets, &request);
      fe_on_refuse (ow->sv->front_end, request, _ow_reason_name (reason),
                    retry_after_ms);
      return;
    }
  t->cell = cell->name;
  t->asked_us = sv_now_us (ow->sv);
  g_strlcpy (t->owner, cell->owner, sizeof t->owner);
  _ow_send_ask (ow, t);
}

static void
_ow_hash_prefixes (_ow_ticket *t, st_str prompt)
{
  uint64_t hash = 0;
  ms_prefix all[_OW_MAX_PREFIXES];
  size_t count = 0;
  for (size_t at = 0;
       at + _OW_BLOCK_BYTES <= prompt.len && count < _OW_MAX_PREFIXES;
       at += _OW_BLOCK_BYTES)
    {
      hash = st_hash (st_slice (prompt, at, at + _OW_BLOCK_BYTES), hash);
      all[count].hash = hash;
      all[count].tokens
          = (uint32_t)((at + _OW_BLOCK_BYTES) / _OW_BYTES_PER_TOKEN);
      count++;
    }
  /* Thinned evenly; the longest prefix is always kept.  */
  t->prefix_count = count < CS_PREFIX_MAX ? count : CS_PREFIX_MAX;
  for (size_t i = 0; i < t->prefix_count; i++)
    t->prefixes[i] = all[(i + 1) * count / t->prefix_count - 1];
}

/* Asks for a place for DESC's request.  */
void
ow_ask (ow_task *ow, const ow_ask_desc *desc)
{
  _ow_ticket *t = g_new0 (_ow_ticket, 1);
  t->request = desc->request;
  t->tier = desc->tier;
  t->prompt_tokens = desc->prompt_tokens;
  t->expected_tokens = desc->expected_tokens;
  t->deadline_us = desc->deadline_us;
  t->stream = desc->stream;
  st_name_set (&t->model, desc->model);
  st_name_set (&t->version, desc->version);
  st_name_set (&t->team, desc->team);
  st_name_set (&t->route, desc->route);
  st_name_set (&t->resume_engine, desc->resume_engine);
  _ow_hash_prefixes (t, desc->prompt);
  g_hash_table_replace (ow->tickets, &t->request, t);
  _ow_submit (ow, t);
}

/* Gives up a request that has no grant.  */
void
ow_cancel (ow_task *ow, id_handle request)
{
  _ow_ticket *t = g_hash_table_lookup (ow->tickets, &request);
  ms_message m = { .type = MS_SLOT_CANCEL };
  if (t == NULL)
    return;
  char owner[CM_INCARNATION_MAX];
  g_strlcpy (owner, t->owner, sizeof owner);
  m.u.slot_cancel.handle = request;
  g_hash_table_remove (ow->tickets, &request);
  sv_send (ow->sv, st_from_cstr (owner), &m);
}

/* Tells a local owner when the first token of a stream arrived, so that it
   finds a slow engine early.  */
void
ow_first_token (ow_task *ow, id_handle request, uint64_t first_token_us)
{
  const _ow_ticket *t = g_hash_table_lookup (ow->tickets, &request);
  if (t != NULL && strcmp (t->owner, ow->sv->incarnation) == 0)
    cl_on_first_token (ow->sv->owned_cells, st_from_cstr (t->owner), request,
                       first_token_us);
}

static void
_ow_set_end (ms_slot_done *done, cs_outcome outcome)
{
  switch (outcome)
    {
    case CS_ANSWERED:
      done->outcome = MS_OUTCOME_ANSWERED;
      break;
    case CS_FAILED:
      done->outcome = MS_OUTCOME_UNKNOWN;
      break;
    case CS_NOT_ADMITTED:
      done->engine_refused = true;
      done->outcome = MS_OUTCOME_NOT_RUN;
      break;
    case CS_CANCELLED:
      done->outcome = MS_OUTCOME_NOT_RUN;
      break;
    case CS_STOPPED:
      done->outcome = MS_OUTCOME_NONE;
      break;
    }
}

/* Ends the grant of REQUEST.  */
void
ow_done (ow_task *ow, id_handle request, const cs_done_info *info)
{
  const _ow_ticket *t = g_hash_table_lookup (ow->tickets, &request);
  if (t == NULL)
    return;
  ms_slot_done done = { .handle = request,
                        .grant_id = t->grant_id,
                        .first_token_us = info->first_token_us,
                        .inter_token_us = info->itl_us,
                        .tokens = info->tokens };
  char owner[CM_INCARNATION_MAX];
  g_strlcpy (owner, t->owner, sizeof owner);
  _ow_set_end (&done, info->outcome);
  g_hash_table_remove (ow->tickets, &request);
  _ow_send_done (ow, owner, &done);
}

/* ---- messages of owners ---- */

static void
_ow_on_grant (ow_task *ow, st_str owner, const ms_slot_grant *grant)
{
  _ow_ticket *t = g_hash_table_lookup (ow->tickets, &grant->handle);
  const dr_entry *e = dr_find (ow->sv->directory, DR_ENGINE, grant->engine);
  bool expected = t != NULL && !t->granted && st_equal_cstr (owner, t->owner);
  if (t != NULL && t->granted && t->grant_id == grant->grant_id)
    return;
  if (!expected || e == NULL)
    {
      char text[CM_INCARNATION_MAX];
      st_copy (text, sizeof text, owner);
      _ow_send_done (ow, text,
                     &(ms_slot_done){ .handle = grant->handle,
                                      .grant_id = grant->grant_id,
                                      .outcome = MS_OUTCOME_NOT_RUN,
                                      .engine_refused = expected });
      if (expected)
        t->repeat_us = 0;
      return;
    }
  t->granted = true;
  t->grant_id = grant->grant_id;
  t->engine = e->name;
  t->repeat_us = sv_now_us (ow->sv) + _OW_HOLD_PERIOD_US;
  _ow_observe_wait (ow, t);
  fe_on_grant (
      ow->sv->front_end, grant->handle,
      &(fe_place){ .engine = grant->engine,
                   .address = st_name_str (&e->address),
                   .predicted_first_token_us = grant->first_token_us });
}

static void
_ow_on_refuse (ow_task *ow, st_str owner, const ms_slot_refuse *refuse)
{
  _ow_ticket *t = g_hash_table_lookup (ow->tickets, &refuse->handle);
  if (t == NULL || t->granted || !st_equal_cstr (owner, t->owner))
    return;
  if (refuse->reason == MS_REFUSE_NOT_OWNER)
    {
      /* The views of the members differ; the question is repeated to
         whoever owns the cell then.  */
      t->repeat_us = sv_now_us (ow->sv) + _OW_REPEAT_US / 10;
      return;
    }
  _ow_observe_wait (ow, t);
  t->reason = refuse->reason;
  t->retry_after_ms = (uint32_t)refuse->retry_after_ms;
  if (t->tried_count < _OW_MAX_TRIED)
    t->tried[t->tried_count++] = st_hash (st_name_str (&t->cell), 0);
  _ow_submit (ow, t);
}

/* Handles one message of OWNER; other types are ignored.  */
void
ow_on_message (ow_task *ow, st_str owner, const ms_message *m)
{
  const _ow_ticket *t;
  switch (m->type)
    {
    case MS_SLOT_GRANT:
      _ow_on_grant (ow, owner, &m->u.slot_grant);
      break;
    case MS_SLOT_REFUSE:
      _ow_on_refuse (ow, owner, &m->u.slot_refuse);
      break;
    case MS_SLOT_STOP:
      t = g_hash_table_lookup (ow->tickets, &m->u.slot_stop.handle);
      if (t != NULL && t->granted && t->grant_id == m->u.slot_stop.grant_id)
        fe_on_stop (ow->sv->front_end, m->u.slot_stop.handle);
      break;
    default:
      break;
    }
}

/* ---- repetition ---- */

/* Follows a change of the cell's owner, and repeats the question or the
   hold.  False when T is gone.  */
static void
_ow_repeat (ow_task *ow, _ow_ticket *t)
{
  const cm_cell *cell = cm_find (ow->sv->cells, st_name_str (&t->cell));
  if (t->granted)
    {
      if (cell != NULL)
        g_strlcpy (t->owner, cell->owner, sizeof t->owner);
      if (t->owner[0] != 0)
        _ow_send_hold (ow, t);
      return;
    }
  if (cell == NULL || cell->owner[0] == 0)
    {
      _ow_submit (ow, t);
      return;
    }
  g_strlcpy (t->owner, cell->owner, sizeof t->owner);
  _ow_send_ask (ow, t);
}

static void
_ow_repeat_where (ow_task *ow, bool all, uint64_t now_us)
{
  GList *keys = g_hash_table_get_keys (ow->tickets);
  GArray *due = g_array_new (FALSE, FALSE, sizeof (id_handle));
  for (GList *at = keys; at != NULL; at = at->next)
    {
      const _ow_ticket *t = g_hash_table_lookup (ow->tickets, at->data);
      const cm_cell *cell
          = all ? cm_find (ow->sv->cells, st_name_str (&t->cell)) : NULL;
      bool moved
          = all && (cell == NULL || strcmp (cell->owner, t->owner) != 0);
      if (moved || t->repeat_us <= now_us)
        g_array_append_val (due, t->request);
    }
  g_list_free (keys);
  for (guint i = 0; i < due->len; i++)
    {
      _ow_ticket *t = g_hash_table_lookup (ow->tickets,
                                           &g_array_index (due, id_handle, i));
      if (t != NULL)
        _ow_repeat (ow, t);
    }
  g_array_free (due, TRUE);
}

/* The cell map changed: tickets of cells with another owner follow.  */
void
ow_update (ow_task *ow)
{
  _ow_repeat_where (ow, true, sv_now_us (ow->sv));
}

/* Periodic work.  */
void
ow_tick (ow_task *ow)
{
  _ow_repeat_where (ow, false, sv_now_us (ow->sv));
}

/* Longest wait for a slot that was seen lately at a cell of MODEL in the own
   region.  */
uint64_t
ow_query_wait_us (ow_task *ow, st_str model)
{
  double longest = 0;
  st_str region = st_name_str (&ow->sv->config.region);
  for (size_t i = 0; i < cm_query_count (ow->sv->cells); i++)
    {
      const cm_cell *cell = cm_query_at (ow->sv->cells, i);
      if (!st_equal (st_name_str (&cell->model), model)
          || !st_equal (st_name_str (&cell->region), region))
        continue;
      double wait = _ow_expected_wait_us (ow, cell);
      if (wait > longest)
        longest = wait;
    }
  return (uint64_t)longest;
}
