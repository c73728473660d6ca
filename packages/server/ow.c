#include "ow.h"

#include "cm.h"
#include "fe.h"
#include "lg.h"
#include "sv.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define _OW_RESEND_US CK_S_US
#define _OW_HOLD_PERIOD_US (5 * CK_S_US)
#define _OW_MAX_REFUSED 32
#define _OW_MAX_PREFIXES 64
/* Block of the engines' prefix caches: 64 tokens of 4 bytes.  */
#define _OW_BLOCK_BYTES 256
#define _OW_BYTES_PER_TOKEN 4
/* Longer wait that is accepted to stay in the own data centre.  */
#define _OW_OTHER_DC_COST_US (5 * CK_MS_US)
/* Gain below which a request never leaves a region that has a cell for it:
   observed waits vary by about this much.  */
#define _OW_MIN_GAIN_US (100 * CK_MS_US)
#define _OW_DEFAULT_TOKENS 256
/* Size of one event of a stream with its JSON frame.  */
#define _OW_EVENT_BYTES 180
/* Time after which an observed wait is weighted by one half.  */
#define _OW_WAIT_HALF_LIFE_US ((double)CK_S_US)

/* A request of this VM that waits for or has a slot.  */
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
  char owner[CM_INCARNATION_MAX]; /* cell owner that received the request */
  st_name engine;
  uint64_t grant_id;
  uint64_t requested_us; /* of the first SLOT_ASK to this cell */
  uint64_t resend_us;    /* next resend of SLOT_ASK or SLOT_HOLD */
  unsigned refused_count;
  uint64_t refused_cells[_OW_MAX_REFUSED]; /* hashes of names */
  uint32_t retry_after_ms;
  ms_refuse_reason reason;
  size_t prefix_count;
  ms_prefix prefixes[CS_PREFIX_MAX];
} _ow_ticket;

/* Last wait observed at a cell.  */
typedef struct
{
  double wait_us;
  uint64_t observed_us;
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
  double age_us = (double)(sv_now_us (ow->sv) - wait->observed_us);
  return wait->wait_us * exp2 (-age_us / _OW_WAIT_HALF_LIFE_US);
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
  wait->wait_us = (double)(now_us - t->requested_us);
  wait->observed_us = now_us;
}

static bool
_ow_is_local (const ow_task *ow, const cm_cell *cell)
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
    cost += (double)_OW_OTHER_DC_COST_US;
  return cost;
}

static bool
_ow_has_refused (const _ow_ticket *t, const cm_cell *cell)
{
  uint64_t hash = st_hash (st_name_str (&cell->name), 0);
  for (unsigned i = 0; i < t->refused_count; i++)
    if (t->refused_cells[i] == hash)
      return true;
  return false;
}

/* The cell with the lowest cost in the own region (LOCAL) or in the others
   that serves the model and has not refused T.  Writes its cost in us to
   COST.  */
static const cm_cell *
_ow_cheapest_cell (ow_task *ow, const _ow_ticket *t, bool local, double *cost)
{
  const cm_cell *best = NULL;
  for (size_t i = 0; i < cm_query_count (ow->sv->cells); i++)
    {
      const cm_cell *cell = cm_query_at (ow->sv->cells, i);
      if (cell->owner[0] == 0 || _ow_is_local (ow, cell) != local
          || !st_equal (st_name_str (&cell->model), st_name_str (&t->model))
          || _ow_has_refused (t, cell))
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
_ow_time_left_ms (const ow_task *ow, const _ow_ticket *t)
{
  uint64_t now_us = sv_now_us (ow->sv);
  if (t->deadline_us == 0)
    return 0;
  return t->deadline_us > now_us ? (t->deadline_us - now_us) / CK_MS_US + 1
                                 : 1;
}

/* True when T should be sent to another region: the own one has no cell left,
   or its wait is longer by enough to justify the transferred bytes.  */
static bool
_ow_should_transfer (ow_task *ow, const _ow_ticket *t, bool has_local_cell,
                     double local_us, double remote_us)
{
  uint64_t tokens
      = t->expected_tokens > 0 ? t->expected_tokens : _OW_DEFAULT_TOKENS;
  uint64_t bytes = (uint64_t)t->prompt_tokens * _OW_BYTES_PER_TOKEN
                   + tokens * _OW_EVENT_BYTES;
  if (has_local_cell && local_us < remote_us + _OW_MIN_GAIN_US)
    return false;
  return po_take_transfer (
      ow->sv->policy,
      &(po_transfer){ .tier = t->tier,
                      .bytes = bytes,
                      .local_us
                      = has_local_cell ? (uint64_t)local_us : UINT64_MAX,
                      .remote_us = (uint64_t)remote_us,
                      .deadline_us = _ow_time_left_ms (ow, t) * CK_MS_US });
}

/* The cell to request a slot from next, or NULL.  A stopped stream goes to the
   cell of the engine that has its state.  */
static const cm_cell *
_ow_choose_cell (ow_task *ow, const _ow_ticket *t)
{
  double local_us = 0;
  double remote_us = 0;
  if (t->refused_count >= _OW_MAX_REFUSED)
    return NULL;
  if (t->resume_engine.len > 0)
    {
      const cm_cell *cell
          = cm_find_engine (ow->sv->cells, st_name_str (&t->resume_engine));
      return cell != NULL && cell->owner[0] != 0 && !_ow_has_refused (t, cell)
                 ? cell
                 : NULL;
    }
  const cm_cell *local = _ow_cheapest_cell (ow, t, true, &local_us);
  const cm_cell *remote = _ow_cheapest_cell (ow, t, false, &remote_us);
  if (remote != NULL
      && _ow_should_transfer (ow, t, local != NULL, local_us, remote_us))
    return remote;
  return local;
}

/* ---- messages to cell owners ---- */

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
    .deadline_ms = _ow_time_left_ms (ow, t),
    .resume_engine = st_name_str (&t->resume_engine),
    .first_token_unreported
    = !t->stream || strcmp (t->owner, ow->sv->incarnation) != 0,
  };
  t->resend_us = sv_now_us (ow->sv) + _OW_RESEND_US;
  g_strlcpy (owner, t->owner, sizeof owner);
  /* T may be freed on return, when a local cell owner replies at once.  */
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
  t->resend_us = sv_now_us (ow->sv) + _OW_HOLD_PERIOD_US;
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

/* Requests a slot from the next cell, or refuses T when no cell is left.  T
   may be freed on return.  */
static void
_ow_submit (ow_task *ow, _ow_ticket *t)
{
  const cm_cell *cell = _ow_choose_cell (ow, t);
  if (cell == NULL)
    {
      id_handle request = t->request;
      ms_refuse_reason reason
          = t->refused_count > 0 ? t->reason : MS_REFUSE_NO_ENGINE;
      uint32_t retry_after_ms
          = t->retry_after_ms > 0 ? t->retry_after_ms : 1000;
      g_hash_table_remove (ow->tickets, &request);
      fe_on_refuse (ow->sv->front_end, request, _ow_reason_name (reason),
                    retry_after_ms);
      return;
    }
  t->cell = cell->name;
  t->requested_us = sv_now_us (ow->sv);
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
  /* Evenly spaced; the longest of the first _OW_MAX_PREFIXES is included.  */
  t->prefix_count = count < CS_PREFIX_MAX ? count : CS_PREFIX_MAX;
  for (size_t i = 0; i < t->prefix_count; i++)
    t->prefixes[i] = all[(i + 1) * count / t->prefix_count - 1];
}

/* Requests a slot for DESC's request.  fe_on_grant or fe_on_refuse may be
   called before this function returns.  */
void
ow_request_slot (ow_task *ow, const ow_slot_desc *desc)
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

/* Cancels the slot request of REQUEST.  For use before a grant; ow_done ends a
   granted one.  */
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

/* Reports the time to the first token of a stream to a cell owner on this VM,
   so that it detects a slow engine early.  */
void
ow_first_token (ow_task *ow, id_handle request, uint64_t first_token_us)
{
  const _ow_ticket *t = g_hash_table_lookup (ow->tickets, &request);
  if (t != NULL && strcmp (t->owner, ow->sv->incarnation) == 0)
    cl_on_first_token (ow->sv->owned_cells, st_from_cstr (t->owner), request,
                       first_token_us);
}

static void
_ow_set_outcome (ms_slot_done *done, cs_outcome outcome)
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

/* Ends the grant of REQUEST and reports INFO to the cell owner.  */
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
  _ow_set_outcome (&done, info->outcome);
  g_hash_table_remove (ow->tickets, &request);
  _ow_send_done (ow, owner, &done);
}

/* ---- messages of cell owners ---- */

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
        t->resend_us = 0;
      return;
    }
  t->granted = true;
  t->grant_id = grant->grant_id;
  t->engine = e->name;
  t->resend_us = sv_now_us (ow->sv) + _OW_HOLD_PERIOD_US;
  _ow_observe_wait (ow, t);
  fe_on_grant (
      ow->sv->front_end, grant->handle,
      &(fe_grant){ .engine = grant->engine,
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
      /* The member lists of the VMs differ: SLOT_ASK is resent to the VM that
         owns the cell when resend_us is due.  */
      t->resend_us = sv_now_us (ow->sv) + _OW_RESEND_US / 10;
      return;
    }
  _ow_observe_wait (ow, t);
  t->reason = refuse->reason;
  t->retry_after_ms = (uint32_t)refuse->retry_after_ms;
  if (t->refused_count < _OW_MAX_REFUSED)
    t->refused_cells[t->refused_count++] = st_hash (st_name_str (&t->cell), 0);
  _ow_submit (ow, t);
}

/* Handles one message of the cell owner OWNER; other types are ignored.  */
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

/* ---- resending ---- */

/* Follows a change of the cell owner, and resends SLOT_ASK or SLOT_HOLD.  T
   may be freed on return.  */
static void
_ow_resend (ow_task *ow, _ow_ticket *t)
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

/* Resends the tickets that are due and, with CHECK_OWNERS, those whose cell
   has another owner.  */
static void
_ow_resend_due (ow_task *ow, bool check_owners, uint64_t now_us)
{
  GList *keys = g_hash_table_get_keys (ow->tickets);
  GArray *due = g_array_new (FALSE, FALSE, sizeof (id_handle));
  for (GList *at = keys; at != NULL; at = at->next)
    {
      const _ow_ticket *t = g_hash_table_lookup (ow->tickets, at->data);
      const cm_cell *cell
          = check_owners ? cm_find (ow->sv->cells, st_name_str (&t->cell))
                         : NULL;
      bool owner_changed
          = check_owners
            && (cell == NULL || strcmp (cell->owner, t->owner) != 0);
      if (owner_changed || t->resend_us <= now_us)
        g_array_append_val (due, t->request);
    }
  g_list_free (keys);
  for (guint i = 0; i < due->len; i++)
    {
      _ow_ticket *t = g_hash_table_lookup (ow->tickets,
                                           &g_array_index (due, id_handle, i));
      if (t != NULL)
        _ow_resend (ow, t);
    }
  g_array_free (due, TRUE);
}

/* Call when the cell map changed: resends the tickets of cells that have
   another owner.  */
void
ow_update (ow_task *ow)
{
  _ow_resend_due (ow, true, sv_now_us (ow->sv));
}

/* Resends the messages that are due.  Call periodically.  */
void
ow_tick (ow_task *ow)
{
  _ow_resend_due (ow, false, sv_now_us (ow->sv));
}

/* Longest recent wait for a slot, in us, at a cell of MODEL in the own
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
