#include "po.h"

#include "lg.h"
#include "lk.h"
#include "rt.h"
#include "sv.h"
#include "tl.h"

#include <glib.h>
#include <string.h>

#define _PO_MAX_TEAMS 256
#define _PO_MAX_VMS 64
#define _PO_TICK_US CK_S_US
#define _PO_BYTES_PER_MBIT (1e6 / 8)

struct po_policy
{
  sv_server *sv;
  sx_tree *tree;
  tl_limits *requests; /* of teams, in requests per second */
  tl_limits *tokens;   /* of teams, in prompt tokens per second */
  rt_budget *retries;
  lk_link link;
  GHashTable *teams; /* name -> index + 1 */
  GPtrArray *names;  /* team names by index */
  GHashTable *vms;   /* name -> index + 1 */
  uint64_t next_tick_us;
};

/* Makes a policy with the default settings.  */
po_policy *
po_make (const po_desc *desc)
{
  po_policy *po = g_new0 (po_policy, 1);
  po->sv = desc->server;
  po->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  po->vms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  po->names = g_ptr_array_new_with_free_func (g_free);
  po->requests = tl_make (
      &(tl_desc){ .max_teams = _PO_MAX_TEAMS, .max_vms = _PO_MAX_VMS });
  po->tokens = tl_make (
      &(tl_desc){ .max_teams = _PO_MAX_TEAMS, .max_vms = _PO_MAX_VMS });
  po_set_tree (po, sx_make_empty ());
  return po;
}

/* Releases PO.  */
void
po_destroy (po_policy *po)
{
  if (po == NULL)
    return;
  sx_unref (po->tree);
  tl_destroy (po->requests);
  tl_destroy (po->tokens);
  rt_destroy (po->retries);
  g_hash_table_destroy (po->teams);
  g_hash_table_destroy (po->vms);
  g_ptr_array_free (po->names, TRUE);
  g_free (po);
}

static sx_where
_po_where (st_str team, st_str service)
{
  return (sx_where){ .team = team, .service = service, .tier = SX_NO_TIER };
}

static const sk_value *
_po_root (const po_policy *po, sx_key key)
{
  sx_where where = _po_where (ST_LIT (""), ST_LIT (""));
  return sx_query (po->tree, &where, key);
}

static int64_t
_po_int (const po_policy *po, st_str team, st_str service, sx_key key)
{
  sx_where where = _po_where (team, service);
  return sx_query_int (po->tree, &where, key);
}

static double
_po_team_decimal (const po_policy *po, st_str team, sx_key key)
{
  sx_where where = _po_where (team, ST_LIT (""));
  return sx_query (po->tree, &where, key)->decimal;
}

static void
_po_apply_limit (po_policy *po, uint32_t index, st_str team)
{
  uint64_t now_us = sv_now_us (po->sv);
  tl_set_limit (po->requests, index,
                _po_team_decimal (po, team, SX_LIMIT_REQUESTS_PER_S), now_us);
  tl_set_limit (po->tokens, index,
                _po_team_decimal (po, team, SX_LIMIT_PROMPT_TOKENS_PER_S),
                now_us);
}

/* Index of TEAM; teams above the size of the table share the last index.  */
static uint32_t
_po_team_index (po_policy *po, st_str team)
{
  char text[ST_NAME_MAX + 1];
  st_copy (text, sizeof text, team);
  guint number = GPOINTER_TO_UINT (g_hash_table_lookup (po->teams, text));
  if (number > 0)
    return number - 1;
  if (po->names->len >= _PO_MAX_TEAMS)
    return _PO_MAX_TEAMS - 1;
  g_ptr_array_add (po->names, g_strdup (text));
  g_hash_table_insert (po->teams, g_strdup (text),
                       GUINT_TO_POINTER (po->names->len));
  _po_apply_limit (po, po->names->len - 1, team);
  return po->names->len - 1;
}

/* Puts the settings of TREE into force.  Takes over the reference.  */
void
po_set_tree (po_policy *po, sx_tree *tree)
{
  uint64_t now_us = sv_now_us (po->sv);
  if (po->tree != NULL)
    sx_unref (po->tree);
  po->tree = tree;
  rt_destroy (po->retries);
  po->retries = rt_make (&(rt_desc){
      .ratio_permille
      = (uint32_t)_po_root (po, SX_RETRY_BUDGET_PERCENT)->number * 10,
      .base_us = (uint64_t)_po_root (po, SX_RETRY_BASE_MS)->number * CK_MS_US,
      .max_us = (uint64_t)_po_root (po, SX_RETRY_MAX_MS)->number * CK_MS_US,
      .seed = (uint32_t)sv_random (po->sv) });
  lk_setup (&po->link,
            &(lk_desc){ .bytes_per_s
                        = _po_root (po, SX_LINK_BUDGET_MBIT_PER_S)->decimal
                          * _PO_BYTES_PER_MBIT,
                        .price_per_gb
                        = _po_root (po, SX_REGION_PRICE_PER_GB)->decimal },
            now_us);
  for (guint i = 0; i < po->names->len; i++)
    _po_apply_limit (po, i, st_from_cstr (po->names->pdata[i]));
}

/* Reads the settings for TEAM and SERVICE; TIER is SX_NO_TIER when the request
   names none.  False, with ERR set, when no engine serves SERVICE or the team
   is refused.  */
bool
po_query (po_policy *po, st_str team, st_str service, int tier,
          po_defaults *out, er_error *err)
{
  if (!dr_has_model (po->sv->directory, service))
    return er_set (err, ER_NOT_FOUND,
                   "no engine serves model '%.*s': check the name in 'model'",
                   ST_FMT (service));
  if (!sx_query_team_admitted (po->tree, team))
    return er_set (err, ER_DENIED,
                   "team '%.*s' is not in the settings: check "
                   "Dotterelbend-Team or ask an operator to add the team",
                   ST_FMT (team));
  sx_where where = _po_where (team, service);
  out->default_tier
      = (uint8_t)sx_query_int (po->tree, &where, SX_TIERS_DEFAULT);
  out->most_urgent
      = (uint8_t)sx_query_int (po->tree, &where, SX_TIERS_MOST_URGENT);
  where.tier = tier == SX_NO_TIER ? out->default_tier : tier;
  out->deadline_ms = (uint64_t)sx_query_int (po->tree, &where, SX_DEADLINE_MS);
  out->deadline_max_ms
      = (uint64_t)sx_query_int (po->tree, &where, SX_DEADLINE_MAX_MS);
  return true;
}

/* False when TEAM is not in the settings and they refuse unknown teams.  */
bool
po_query_team_admitted (const po_policy *po, st_str team)
{
  return sx_query_team_admitted (po->tree, team);
}

/* Number of urgent tiers.  */
uint32_t
po_query_strict_tiers (const po_policy *po)
{
  return (uint32_t)_po_root (po, SX_TIERS_STRICT_THROUGH)->number + 1;
}

/* Weight of TEAM relative to the other teams.  */
uint32_t
po_query_weight (const po_policy *po, st_str team)
{
  return (uint32_t)_po_int (po, team, ST_LIT (""), SX_SHARE_WEIGHT);
}

/* Percentage of the slots that is reserved for urgent tiers.  */
uint32_t
po_query_headroom_percent (const po_policy *po, st_str service)
{
  return (uint32_t)_po_int (po, ST_LIT (""), service,
                            SX_HEADROOM_SLOTS_PERCENT);
}

/* Waiting time in microseconds that raises a non-urgent request by one tier.
 */
uint64_t
po_query_ageing_us (const po_policy *po)
{
  return (uint64_t)_po_root (po, SX_AGEING_AFTER_MS)->number * CK_MS_US;
}

/* Time in milliseconds for which callers may cache the addresses.  */
uint64_t
po_query_address_keep_ms (const po_policy *po)
{
  return (uint64_t)_po_root (po, SX_ADDRESS_KEEP_MS)->number;
}

/* Time in milliseconds after 100% in which a version may still be rolled back.
 */
uint64_t
po_query_watch_ms (const po_policy *po, st_str service)
{
  return (uint64_t)_po_int (po, ST_LIT (""), service, SX_ROLLOUT_WATCH_MS);
}

/* Shortest time in microseconds on one traffic share of a rollout.  */
uint64_t
po_query_rung_min_us (const po_policy *po, st_str service)
{
  return (uint64_t)_po_int (po, ST_LIT (""), service, SX_ROLLOUT_RUNG_MIN_MS)
         * CK_MS_US;
}

/* Reads the version and the rollout that the settings have for SERVICE.  False
   when they have neither.  */
bool
po_query_rollout_spec (const po_policy *po, st_str service, rl_spec *out)
{
  sx_where where = _po_where (ST_LIT (""), service);
  memset (out, 0, sizeof *out);
  out->current = sx_query (po->tree, &where, SX_CURRENT_VERSION)->text;
  out->to = sx_query (po->tree, &where, SX_ROLLOUT_TO)->text;
  out->start_ms = (uint64_t)sx_query_int (po->tree, &where, SX_ROLLOUT_START);
  out->deadline_ms
      = (uint64_t)sx_query_int (po->tree, &where, SX_ROLLOUT_DEADLINE);
  out->watch_ms = po_query_watch_ms (po, service);
  return out->current.len > 0 || out->to.len > 0;
}

/* True when an operator withdrew VERSION.  */
bool
po_query_withdrawn (const po_policy *po, st_str service, st_str version)
{
  sx_where where = _po_where (ST_LIT (""), service);
  where.version = version;
  return sx_query_int (po->tree, &where, SX_WITHDRAWN) != 0;
}

/* ---- limits ---- */

/* Takes one request with TOKENS prompt tokens from the limits of TEAM.  False,
   with WAIT_MS set, when a limit is reached.  */
bool
po_take_team (po_policy *po, st_str team, uint32_t tokens, uint32_t *wait_ms)
{
  uint64_t now_us = sv_now_us (po->sv);
  uint32_t index = _po_team_index (po, team);
  bool limited = _po_team_decimal (po, team, SX_LIMIT_REQUESTS_PER_S) > 0;
  bool tokens_limited
      = _po_team_decimal (po, team, SX_LIMIT_PROMPT_TOKENS_PER_S) > 0;
  *wait_ms = 0;
  if (limited && !tl_take (po->requests, index, 1.0, now_us))
    *wait_ms = tl_query_wait_ms (po->requests, index, 1.0) + 1;
  else if (tokens_limited && !tl_take (po->tokens, index, tokens, now_us))
    *wait_ms = tl_query_wait_ms (po->tokens, index, tokens) + 1;
  return *wait_ms == 0;
}

/* Records a first attempt, which adds to the retry budget.  */
void
po_record_first_attempt (po_policy *po)
{
  rt_record_first_attempt (po->retries);
}

/* Takes one retry from the budget.  False when it is used up.  */
bool
po_take_retry (po_policy *po)
{
  return rt_take_retry (po->retries);
}

/* Delay in milliseconds before retry ATTEMPT, from 0: exponential with full
   jitter.  */
uint64_t
po_retry_delay_ms (po_policy *po, unsigned attempt)
{
  return rt_delay_us (po->retries, attempt + 1) / CK_MS_US + 1;
}

/* Takes the bytes of TRANSFER from the link budget.  False when sending the
   request to another region is not worth its bytes or the budget is used up.
 */
bool
po_take_transfer (po_policy *po, const po_transfer *transfer)
{
  return lk_take_transfer (
      &po->link,
      &(lk_transfer){ .tier = transfer->tier,
                      .bytes = transfer->bytes,
                      .local_us = transfer->local_us,
                      .remote_us = transfer->remote_us,
                      .deadline_us = transfer->deadline_us },
      sv_now_us (po->sv));
}

static bool
_po_vm_index (po_policy *po, st_str vm, uint32_t *index)
{
  char text[ST_NAME_MAX + 1];
  st_copy (text, sizeof text, vm);
  guint number = GPOINTER_TO_UINT (g_hash_table_lookup (po->vms, text));
  if (number == 0)
    {
      number = g_hash_table_size (po->vms) + 1;
      if (number > _PO_MAX_VMS)
        return false;
      g_hash_table_insert (po->vms, g_strdup (text),
                           GUINT_TO_POINTER (number));
    }
  *index = number - 1;
  return true;
}

/* Sets the state of another VM of the region for the limits.  REMOVED: it left
   or the VM list has removed it, so that its limit share is free.  */
void
po_set_vm (po_policy *po, st_str vm, bool live, bool removed)
{
  uint32_t index;
  if (!_po_vm_index (po, vm, &index))
    return;
  tl_vm_state state = live ? TL_LIVE : removed ? TL_REMOVED : TL_DEAD;
  tl_set_vm (po->requests, index, state);
  tl_set_vm (po->tokens, index, state);
}

/* Handles the report of another VM for TEAM: its demand in requests per second
   and its limit share.  */
void
po_on_report (po_policy *po, st_str vm, st_str team, double demand,
              double share)
{
  uint32_t index;
  if (!_po_vm_index (po, vm, &index))
    return;
  uint32_t team_index = _po_team_index (po, team);
  tl_report (po->requests, index, team_index, demand, share,
             sv_now_us (po->sv));
  tl_report (po->tokens, index, team_index, demand, share, sv_now_us (po->sv));
}

/* Lists the reports of this VM, at most MAX: for each recently active team,
   the demand in requests per second and the limit share of this VM.  Returns
   their number.  */
size_t
po_query_reports (po_policy *po, st_name *teams, double *demands,
                  double *shares, size_t max)
{
  size_t count = 0;
  for (guint i = 0; i < po->names->len && count < max; i++)
    if (tl_query_report (po->requests, i, &demands[count], &shares[count]))
      {
        st_name_set (&teams[count], st_from_cstr (po->names->pdata[i]));
        count++;
      }
  return count;
}

/* Periodic work: computes the limit shares again every second.  */
void
po_tick (po_policy *po)
{
  uint64_t now_us = sv_now_us (po->sv);
  if (now_us < po->next_tick_us)
    return;
  po->next_tick_us = now_us + _PO_TICK_US;
  tl_tick (po->requests, now_us);
  tl_tick (po->tokens, now_us);
}
