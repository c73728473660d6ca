#include "rl.h"

#include "cm.h"
#include "ev.h"
#include "lg.h"
#include "sv.h"
#include "wl.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#define _RL_TICK_US (100 * CK_MS_US)
#define _RL_DELTA_PERIOD_US (500 * CK_MS_US)
#define _RL_LEASE_TTL_MS 10000
#define _RL_MAX_ENGINES 256
#define _RL_ORDER_TIMEOUT_MS 2000
/* The sizes of weights are not published: loads are spaced as if each had this
   size, at the planner's default rate.  */
#define _RL_WEIGHT_BYTES 1000000000ull
#define _RL_COUNTS (2 + 2 * 3 * EV_KINDS)

typedef struct
{
  rl_task *rl;
  st_name name;
  ro_controller *controller;
  ev_tracker *evidence;
  wl_planner *planner;
  uint32_t step; /* of the evidence */
  uint64_t term; /* of the evidence: fencing number of the controller */
  uint64_t next_delta_us;
  bool lease_held;
  bool lease_pending;
  uint64_t fence;
  uint64_t lease_requested_us;
  uint64_t lease_until_us;
  bool state_absent;  /* the store was read and has no state */
  bool start_pending; /* START is being written */
  ro_state start;     /* first state of the rollout */
  bool halt_logged;
} _rl_service;

struct rl_task
{
  sv_server *sv;
  ro_follower *follower;
  GHashTable *services; /* name -> _rl_service */
  GHashTable *reads;    /* _rl_read in progress, a set */
  uint64_t watch;
  bool listed; /* the states were listed once */
  bool list_pending;
  bool store_ok;
  uint64_t next_tick_us;
};

static void
_rl_service_free (gpointer data)
{
  _rl_service *s = data;
  ro_destroy_controller (s->controller);
  ev_destroy_tracker (s->evidence);
  wl_destroy_planner (s->planner);
  g_free (s);
}

/* Makes a task without any rollouts.  */
rl_task *
rl_make (const rl_desc *desc)
{
  rl_task *rl = g_new0 (rl_task, 1);
  rl->sv = desc->server;
  rl->follower = ro_make_follower (&(ro_follower_desc){ 0 });
  rl->reads = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  rl->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        _rl_service_free);
  return rl;
}

/* Releases RL.  */
void
rl_destroy (rl_task *rl)
{
  if (rl == NULL)
    return;
  if (rl->watch != 0)
    pf_unwatch (rl->sv->platform, rl->watch);
  g_hash_table_destroy (rl->services);
  g_hash_table_destroy (rl->reads);
  ro_destroy_follower (rl->follower);
  g_free (rl);
}

static _rl_service *
_rl_get_service (rl_task *rl, st_str name)
{
  st_name text;
  if (!st_name_set (&text, name))
    return NULL;
  _rl_service *s = g_hash_table_lookup (rl->services, text.text);
  if (s != NULL)
    return s;
  s = g_new0 (_rl_service, 1);
  s->rl = rl;
  s->name = text;
  s->controller = ro_make_controller (&(ro_controller_desc){
      .service = text,
      .min_rung_us = po_query_rung_min_us (rl->sv->policy, name),
      .watch_ms = po_query_watch_ms (rl->sv->policy, name) });
  s->evidence = ev_make_tracker (&(ev_desc){ 0 });
  s->planner = wl_make_planner (&(wl_desc){ 0 });
  g_hash_table_insert (rl->services, s->name.text, s);
  return s;
}

static _rl_service *
_rl_find_service (const rl_task *rl, st_str name)
{
  st_name text;
  return st_name_set (&text, name)
             ? g_hash_table_lookup (rl->services, text.text)
             : NULL;
}

/* ---- versions of requests ---- */

static bool
_rl_is_finished (const rl_task *rl, const ro_state *state, const rl_spec *spec)
{
  if (spec->to.len > 0)
    return false;
  return state->phase == RO_NONE || state->phase == RO_ROLLED_BACK
         || (state->phase == RO_DONE
             && sv_wall_ms (rl->sv) > state->watch_until_ms);
}

/* Chooses the version for the next request of ROUTE to SERVICE.  */
rl_choice
rl_choose (rl_task *rl, st_str service, st_str route)
{
  rl_choice out = { 0 };
  rl_spec spec = { 0 };
  ro_state state;
  po_query_rollout_spec (rl->sv->policy, service, &spec);
  bool high = sv_query_high_load (rl->sv, service);
  out.high_load = high;
  if (!ro_query_state (rl->follower, service, &state)
      || (_rl_is_finished (rl, &state, &spec) && spec.current.len > 0))
    {
      out.version = spec.current;
      out.halted = rl_query_halted (rl, service, st_name_str (&spec.current));
      return out;
    }
  ro_choice choice
      = ro_choose (rl->follower, service, route,
                   high ? EV_LOAD_HIGH : EV_LOAD_LOW, sv_wall_ms (rl->sv));
  out.version = choice.version;
  out.new_version = choice.new_version;
  out.step = choice.step;
  out.halted = (choice.version.len == 0 && state.from.len > 0)
               || rl_query_halted (rl, service, st_name_str (&choice.version));
  return out;
}

/* True when no more requests may be dispatched to VERSION.  */
bool
rl_query_halted (const rl_task *rl, st_str service, st_str version)
{
  return version.len > 0
         && (ro_query_halted (rl->follower, service, version)
             || po_query_withdrawn (rl->sv->policy, service, version));
}

static bool
_rl_has_version (const dr_entry *e, const st_name *version)
{
  for (uint32_t i = 0; i < e->version_count; i++)
    if (st_equal (st_name_str (&e->versions[i]), st_name_str (version)))
      return true;
  return false;
}

/* Adds a finished request to the evidence of its service's rollout.  */
void
rl_record (rl_task *rl, const rl_sample *sample)
{
  ro_state state;
  _rl_service *s = _rl_find_service (rl, sample->service);
  const dr_entry *e = dr_find (rl->sv->directory, DR_ENGINE, sample->engine);
  if (s == NULL || e == NULL
      || !ro_query_state (rl->follower, sample->service, &state))
    return;
  ev_record (s->evidence,
             &(ev_sample){ .route = sample->route,
                           .load = sample->choice.high_load ? EV_LOAD_HIGH
                                                            : EV_LOAD_LOW,
                           .step = sample->choice.step,
                           .new_version = sample->choice.new_version,
                           .paired = _rl_has_version (e, &state.from)
                                     && _rl_has_version (e, &state.to),
                           .failed = sample->failed,
                           .first_token_us = sample->first_token_us,
                           .inter_token_us = sample->inter_token_us },
             sv_now_us (rl->sv));
}

/* ---- halts ---- */

static void
_rl_send_halt (rl_task *rl, st_str to, st_str service, st_str version,
               st_str reason, uint64_t fence)
{
  ms_message m = { .type = MS_HALT };
  m.u.halt = (ms_halt){
    .service = service, .version = version, .reason = reason, .fence = fence
  };
  sv_send (rl->sv, to, &m);
}

static void
_rl_broadcast_halt (rl_task *rl, st_str service, st_str version, st_str reason,
                    uint64_t fence)
{
  size_t count;
  const cm_member *members = sv_query_members (rl->sv, &count);
  for (size_t i = 0; i < count; i++)
    if (!st_equal (members[i].incarnation, sv_query_incarnation (rl->sv)))
      _rl_send_halt (rl, members[i].incarnation, service, version, reason,
                     fence);
}

/* Stops dispatch to VERSION.  The first time, forwards the halt to all
   peers.  */
static void
_rl_halt (rl_task *rl, st_str service, st_str version, st_str reason,
          uint64_t fence)
{
  if (ro_query_halted (rl->follower, service, version)
      || !ro_halt (rl->follower, service, version))
    return;
  lg_log (LG_WARNING, "", "version %.*s of %.*s is halted: %.*s",
          ST_FMT (version), ST_FMT (service), ST_FMT (reason));
  _rl_broadcast_halt (rl, service, version, reason, fence);
}

/* Sends a new peer a HALT for each halted version, at most 64.  */
void
rl_on_member_joined (rl_task *rl, st_str incarnation)
{
  st_name services[64];
  st_name versions[64];
  uint32_t count = ro_query_halts (rl->follower, services, versions, 64);
  for (uint32_t i = 0; i < count; i++)
    _rl_send_halt (rl, incarnation, st_name_str (&services[i]),
                   st_name_str (&versions[i]), ST_LIT ("known to a peer"), 0);
}

/* ---- states from the store ---- */

static void
_rl_apply (rl_task *rl, st_str value, uint64_t revision)
{
  ro_state state;
  json_t *json = json_loadb (value.ptr, value.len, 0, NULL);
  bool ok = json != NULL && rl_state_from_json (json, &state);
  json_decref (json);
  if (!ok)
    {
      lg_log (LG_ERROR, "",
              "a stored rollout state is malformed; revision "
              "%" G_GUINT64_FORMAT " is ignored",
              revision);
      return;
    }
  _rl_service *s = _rl_get_service (rl, st_name_str (&state.service));
  s->state_absent = false;
  ro_on_state (s->controller, &state, revision);
  if (ro_apply_state (rl->follower, &state) == RO_APPLIED)
    lg_log (LG_INFO, "", "rollout of %s to %s: %s, share %u/1000, step %u",
            state.service.text, state.to.text, ro_phase_name (state.phase),
            state.share_permille, state.step);
}

typedef struct
{
  rl_task *rl;
  st_name service; /* empty when the read is not for a controller */
} _rl_read;

static void
_rl_on_read (const pf_reply *reply, void *user)
{
  _rl_read *read = user;
  rl_task *rl = read->rl;
  _rl_service *s = read->service.len > 0
                       ? _rl_get_service (rl, st_name_str (&read->service))
                       : NULL;
  rl->store_ok = reply->result == PF_OK || reply->result == PF_NOT_FOUND;
  if (reply->result == PF_OK)
    _rl_apply (rl, reply->value, reply->revision);
  else if (s != NULL && reply->result == PF_NOT_FOUND)
    {
      s->state_absent = true;
      ro_on_state (s->controller, NULL, 0);
    }
  if (s != NULL && reply->result != PF_OK && reply->result != PF_NOT_FOUND)
    ro_on_read_failed (s->controller);
  g_hash_table_remove (rl->reads, read);
}

static void
_rl_read_key (rl_task *rl, st_str key, const st_name *service)
{
  _rl_read *read = g_new0 (_rl_read, 1);
  read->rl = rl;
  if (service != NULL)
    read->service = *service;
  g_hash_table_add (rl->reads, read);
  pf_get (rl->sv->platform, key, _rl_on_read, read);
}

static void
_rl_on_watch (const pf_reply *reply, void *user)
{
  rl_task *rl = user;
  for (uint32_t i = 0; i < reply->event_count; i++)
    if (!reply->events[i].deleted)
      _rl_read_key (rl, reply->events[i].key, NULL);
}

static void
_rl_on_list (const pf_reply *reply, void *user)
{
  rl_task *rl = user;
  rl->list_pending = false;
  rl->store_ok = reply->result == PF_OK;
  if (reply->result != PF_OK)
    return;
  rl->listed = true;
  _rl_on_watch (reply, rl);
  rl->watch = pf_watch (rl->sv->platform, ST_LIT ("rollouts/"),
                        reply->revision, _rl_on_watch, rl);
}

static void
_rl_follow_store (rl_task *rl)
{
  if (rl->listed || rl->list_pending)
    return;
  rl->list_pending = true;
  pf_list (rl->sv->platform, ST_LIT ("rollouts/"), _rl_on_list, rl);
}

/* ---- controller ---- */

static void
_rl_key (char *out, size_t size, const char *prefix, const _rl_service *s)
{
  g_snprintf (out, size, "%s%s", prefix, s->name.text);
}

static bool
_rl_is_candidate (rl_task *rl, const _rl_service *s, char *candidate,
                  size_t size)
{
  char key[ST_NAME_MAX + 16];
  size_t count;
  const cm_member *members = sv_query_members (rl->sv, &count);
  st_str *names = g_new (st_str, count + 1);
  const cm_member **live = g_new (const cm_member *, count + 1);
  uint32_t found = 0;
  for (size_t i = 0; i < count; i++)
    if (!members[i].leaving)
      {
        names[found] = members[i].name;
        live[found++] = &members[i];
      }
  _rl_key (key, sizeof key, "rollouts/", s);
  uint32_t owner = ce_owner (st_from_cstr (key), names, found);
  candidate[0] = 0;
  if (owner != CE_NONE)
    st_copy (candidate, size, live[owner]->incarnation);
  g_free (live);
  g_free (names);
  return strcmp (candidate, rl->sv->incarnation) == 0;
}

static void
_rl_on_lease (const pf_reply *reply, void *user)
{
  _rl_service *s = user;
  s->lease_pending = false;
  switch (reply->result)
    {
    case PF_OK:
      if (!s->lease_held)
        lg_log (LG_INFO, "", "this VM controls the rollout of %s",
                s->name.text);
      s->lease_held = true;
      s->fence = reply->revision;
      /* The time to live runs from when the call was sent: the store may have
         started it at any moment since then.  */
      s->lease_until_us = s->lease_requested_us + _RL_LEASE_TTL_MS * CK_MS_US;
      break;
    case PF_CONFLICT:
    case PF_NOT_FOUND:
      s->lease_held = false;
      break;
    default:
      break;
    }
}

static void
_rl_request_lease (_rl_service *s, bool renew)
{
  char key[ST_NAME_MAX + 24];
  sv_server *sv = s->rl->sv;
  if (s->lease_pending)
    return;
  s->lease_pending = true;
  s->lease_requested_us = sv_now_us (sv);
  _rl_key (key, sizeof key, "leases/rollout/", s);
  if (renew)
    pf_lease_renew (sv->platform, st_from_cstr (key),
                    sv_query_incarnation (sv), s->fence, _RL_LEASE_TTL_MS,
                    _rl_on_lease, s);
  else
    pf_lease_acquire (sv->platform, st_from_cstr (key),
                      sv_query_incarnation (sv), _RL_LEASE_TTL_MS,
                      _rl_on_lease, s);
}

static void
_rl_on_write (const pf_reply *reply, void *user)
{
  _rl_service *s = user;
  rl_task *rl = s->rl;
  ro_state state;
  switch (reply->result)
    {
    case PF_OK:
      ro_on_write (s->controller, RO_WRITE_RESULT_OK, reply->revision);
      if (ro_query_record (s->controller, &state, &(uint64_t){ 0 }))
        ro_apply_state (rl->follower, &state);
      break;
    case PF_CONFLICT:
    case PF_NOT_FOUND:
      ro_on_write (s->controller, RO_WRITE_RESULT_CONFLICT, 0);
      break;
    default:
      rl->store_ok = false;
      ro_on_write (s->controller, RO_WRITE_RESULT_LOST, 0);
    }
}

static void
_rl_write (_rl_service *s, const ro_state *state, uint64_t revision,
           pf_done done)
{
  char key[ST_NAME_MAX + 16];
  json_t *json = rl_state_to_json (state);
  char *text = json_dumps (json, JSON_COMPACT);
  _rl_key (key, sizeof key, "rollouts/", s);
  pf_put (s->rl->sv->platform, st_from_cstr (key), st_from_cstr (text),
          revision, done, s);
  free (text);
  json_decref (json);
}

static void
_rl_on_order_done (void *user, const up_result *result)
{
  (void)user;
  if (result->end != UP_COMPLETE || result->status != 200)
    lg_log (LG_WARNING, "", "order to load weights failed with HTTP status %d",
            result->status);
}

static void
_rl_order_load (_rl_service *s, const ro_action *a)
{
  uint32_t at = 0;
  sv_server *sv = s->rl->sv;
  for (size_t i = 0; i < dr_query_count (sv->directory); i++)
    {
      const dr_entry *e = dr_query_at (sv->directory, i);
      if (e->kind != DR_ENGINE
          || !st_equal (st_name_str (&e->serves), st_name_str (&s->name)))
        continue;
      if (at++ != a->load.engine)
        continue;
      json_t *order = json_pack ("{s:s,s:s,s:s,s:I}", "kind", "load", "model",
                                 s->name.text, "version", a->load.version.text,
                                 "fence", (json_int_t)a->fence);
      char *text = json_dumps (order, JSON_COMPACT);
      lg_log (LG_INFO, "", "ordering engine %s to load version %s of %s",
              e->name.text, a->load.version.text, s->name.text);
      up_send (sv->up,
               &(up_call_desc){ .address = st_name_str (&e->address),
                                .method = EVHTTP_REQ_POST,
                                .path = "/orders",
                                .body = st_from_cstr (text),
                                .idle_timeout_ms = _RL_ORDER_TIMEOUT_MS,
                                .on_done = _rl_on_order_done });
      free (text);
      json_decref (order);
      return;
    }
}

/* Writes the engines of S into OUT, numbered in the order of the directory,
   and the slots of those that are not leaving into SLOTS.  Returns their
   number.  */
static uint32_t
_rl_list_engines (_rl_service *s, const st_name *to, wl_engine *out,
                  uint32_t *slots)
{
  uint32_t count = 0;
  sv_server *sv = s->rl->sv;
  *slots = 0;
  for (size_t i = 0;
       i < dr_query_count (sv->directory) && count < _RL_MAX_ENGINES; i++)
    {
      const dr_entry *e = dr_query_at (sv->directory, i);
      if (e->kind != DR_ENGINE
          || !st_equal (st_name_str (&e->serves), st_name_str (&s->name)))
        continue;
      bool has = _rl_has_version (e, to);
      out[count] = (wl_engine){ .id = count,
                                .slots = e->slots,
                                .free_bytes = _RL_WEIGHT_BYTES,
                                .live = !e->leaving,
                                .loaded_jobs = has ? 1 : 0 };
      if (has)
        wl_on_loaded (s->planner, count, sv_now_us (sv));
      *slots += e->leaving ? 0 : e->slots;
      count++;
    }
  return count;
}

static void
_rl_plan_loads (_rl_service *s, const ro_state *state, ro_inputs *in,
                ro_load_order *order)
{
  wl_engine engines[_RL_MAX_ENGINES];
  uint32_t slots;
  wl_order next;
  uint64_t left_ms = state->deadline_ms > in->wall_ms
                         ? state->deadline_ms - in->wall_ms
                         : 0;
  uint32_t count = _rl_list_engines (s, &state->to, engines, &slots);
  wl_job job = { .version = state->to,
                 .bytes = _RL_WEIGHT_BYTES,
                 .deadline_us = in->now_us + left_ms * CK_MS_US,
                 .cancelled = in->halted || state->phase == RO_ROLLED_BACK };
  /* At least half of the slots stay in service while engines load.  */
  wl_pool pool = { .need_slots = slots / 2 };
  in->loaded_permille = wl_query_loaded_permille (&job, 0, engines, count);
  if (in->lease_held
      && wl_next_order (s->planner, &job, 1, engines, count, &pool, 1,
                        in->now_us, &next))
    {
      order->engine = next.engine;
      order->version = state->to;
      in->load = order;
    }
}

static st_str
_rl_reason_text (const ro_reason *reason, char *out, size_t size)
{
  g_snprintf (out, size, "%s%s%s%s", ro_reason_name (reason->kind),
              reason->route.len > 0 ? " on route " : "", reason->route.text,
              reason->load == EV_LOAD_HIGH ? " under high load" : "");
  return st_from_cstr (out);
}

static void
_rl_act (_rl_service *s, const ro_action *a)
{
  char key[ST_NAME_MAX + 16];
  char text[MS_REASON_MAX];
  switch (a->kind)
    {
    case RO_NOTHING:
      break;
    case RO_ACQUIRE_LEASE:
      _rl_request_lease (s, false);
      break;
    case RO_RENEW_LEASE:
      _rl_request_lease (s, true);
      break;
    case RO_READ_STATE:
      _rl_key (key, sizeof key, "rollouts/", s);
      _rl_read_key (s->rl, st_from_cstr (key), &s->name);
      break;
    case RO_WRITE_STATE:
      lg_log (LG_INFO, "",
              "writing rollout state of %s to %s: %s, share %u/1000",
              s->name.text, a->state.to.text, ro_phase_name (a->state.phase),
              a->state.share_permille);
      _rl_write (s, &a->state, a->expected_revision, _rl_on_write);
      break;
    case RO_ORDER_LOAD:
      _rl_order_load (s, a);
      break;
    case RO_BROADCAST_HALT:
      _rl_halt (s->rl, st_name_str (&s->name), st_name_str (&a->state.to),
                _rl_reason_text (&a->state.reason, text, sizeof text),
                a->state.fence);
      _rl_broadcast_halt (s->rl, st_name_str (&s->name),
                          st_name_str (&a->state.to), st_from_cstr (text),
                          a->state.fence);
      break;
    }
}

static void
_rl_on_start_written (const pf_reply *reply, void *user)
{
  _rl_service *s = user;
  s->start_pending = false;
  if (reply->result == PF_OK)
    {
      s->state_absent = false;
      ro_on_state (s->controller, &s->start, reply->revision);
      ro_apply_state (s->rl->follower, &s->start);
    }
  else
    {
      /* The reply was lost or another VM wrote first: reads the state again.
       */
      char key[ST_NAME_MAX + 16];
      _rl_key (key, sizeof key, "rollouts/", s);
      _rl_read_key (s->rl, st_from_cstr (key), &s->name);
    }
}

/* Writes the first state of a rollout when SPEC has a new one.  */
static void
_rl_start_rollout (_rl_service *s, const rl_spec *spec)
{
  ro_state stored;
  uint64_t revision = 0;
  uint64_t wall_ms = sv_wall_ms (s->rl->sv);
  memset (&stored, 0, sizeof stored);
  bool have = ro_query_record (s->controller, &stored, &revision);
  bool exists = have && stored.service.len > 0;
  bool active
      = exists && (stored.phase == RO_LOADING || stored.phase == RO_RUNNING);
  if ((!have && !s->state_absent) || s->start_pending || spec->to.len == 0
      || spec->start_ms > wall_ms || active
      || (exists
          && st_equal (st_name_str (&stored.to), st_name_str (&spec->to)))
      || ro_query_halted (s->rl->follower, st_name_str (&s->name),
                          st_name_str (&spec->to)))
    return;
  const st_name *from
      = exists && stored.phase == RO_DONE ? &stored.to : &spec->current;
  s->start = ro_start_state (st_name_str (&s->name), st_name_str (from),
                             st_name_str (&spec->to), spec->deadline_ms,
                             exists ? &stored : NULL);
  s->start_pending = true;
  lg_log (LG_INFO, "", "starting the rollout of %s from %s to %s",
          s->name.text, from->text, spec->to.text);
  _rl_write (s, &s->start, revision, _rl_on_start_written);
}

/* ---- evidence ---- */

static void
_rl_follow_step (_rl_service *s, const ro_state *state, uint64_t now_us)
{
  ev_begin_rollout (s->evidence, st_name_str (&state->to));
  if (state->share_step != s->step)
    {
      s->step = state->share_step;
      ev_begin_step (s->evidence, s->step, now_us);
    }
  if (state->fence != s->term)
    {
      s->term = state->fence;
      ev_begin_term (s->evidence, s->term, now_us);
    }
}

static void
_rl_pack_counts (const ev_counts *c, uint64_t *out)
{
  for (unsigned k = 0; k < EV_KINDS; k++)
    {
      out[3 * k] = c->seen[k];
      out[3 * k + 1] = c->hits[k];
      out[3 * k + 2] = c->sum_us[k];
    }
}

static void
_rl_unpack_counts (const uint64_t *in, ev_counts *c)
{
  for (unsigned k = 0; k < EV_KINDS; k++)
    {
      c->seen[k] = (uint32_t)in[3 * k];
      c->hits[k] = (uint32_t)in[3 * k + 1];
      c->sum_us[k] = in[3 * k + 2];
    }
}

static void
_rl_send_delta (_rl_service *s, const ro_state *state, const char *controller,
                const ev_delta *delta)
{
  uint64_t counts[EV_MAX_ROUTES * EV_LOADS][_RL_COUNTS];
  ms_evidence_entry entries[EV_MAX_ROUTES * EV_LOADS];
  sv_server *sv = s->rl->sv;
  for (uint32_t i = 0; i < delta->row_count; i++)
    {
      const ev_row *row = &delta->rows[i];
      counts[i][0] = delta->step;
      counts[i][1] = delta->term;
      _rl_pack_counts (&row->old_counts, &counts[i][2]);
      _rl_pack_counts (&row->new_counts, &counts[i][2 + 3 * EV_KINDS]);
      entries[i] = (ms_evidence_entry){ .service = st_name_str (&s->name),
                                        .version = st_name_str (&state->to),
                                        .route = st_name_str (&row->route),
                                        .level = (uint32_t)row->load,
                                        .count = _RL_COUNTS,
                                        .counts = counts[i] };
    }
  ms_message m = { .type = MS_EVIDENCE };
  m.u.evidence = (ms_evidence){ .sender = sv_query_incarnation (sv),
                                .sequence = delta->seq,
                                .count = delta->row_count,
                                .entries = entries };
  sv_send (sv, st_from_cstr (controller), &m);
}

/* Sends CONTROLLER the evidence that it does not have yet: the remainder of
   the previous step, then this step.  */
static void
_rl_send_evidence (_rl_service *s, const ro_state *state,
                   const char *controller)
{
  static ev_delta delta;
  uint64_t sender = st_hash (sv_query_incarnation (s->rl->sv), 0);
  while (ev_take_delta (s->evidence, sender, s->term, &delta))
    _rl_send_delta (s, state, controller, &delta);
}

static void
_rl_on_evidence (rl_task *rl, const ms_evidence *m)
{
  static ev_delta delta;
  memset (&delta, 0, sizeof delta);
  delta.sender = st_hash (m->sender, 0);
  delta.seq = m->sequence;
  if (m->count == 0)
    return;
  _rl_service *s = _rl_find_service (rl, m->entries[0].service);
  for (size_t i = 0; i < m->count && i < G_N_ELEMENTS (delta.rows); i++)
    {
      const ms_evidence_entry *e = &m->entries[i];
      ev_row *row = &delta.rows[delta.row_count];
      if (e->count != _RL_COUNTS || e->level >= EV_LOADS
          || !st_name_set (&row->route, e->route))
        continue;
      delta.step = (uint32_t)e->counts[0];
      delta.term = e->counts[1];
      row->load = (ev_load)e->level;
      _rl_unpack_counts (&e->counts[2], &row->old_counts);
      _rl_unpack_counts (&e->counts[2 + 3 * EV_KINDS], &row->new_counts);
      delta.row_count++;
    }
  if (s != NULL)
    ev_merge (s->evidence, &delta, sv_now_us (rl->sv));
}

/* Handles HALT and EVIDENCE; other types are ignored.  */
void
rl_on_message (rl_task *rl, st_str sender, const ms_message *m)
{
  (void)sender;
  switch (m->type)
    {
    case MS_HALT:
      _rl_halt (rl, m->u.halt.service, m->u.halt.version, m->u.halt.reason,
                m->u.halt.fence);
      break;
    case MS_EVIDENCE:
      _rl_on_evidence (rl, &m->u.evidence);
      break;
    default:
      break;
    }
}

/* ---- periodic work ---- */

static void
_rl_check_local (_rl_service *s, const ro_state *state)
{
  char text[MS_REASON_MAX];
  ev_result local = ev_query_local (s->evidence);
  if (local.verdict != EV_BAD)
    return;
  g_snprintf (text, sizeof text, "%s on route %s%s",
              ev_kind_name (local.reason.kind), local.reason.route.text,
              local.reason.load == EV_LOAD_HIGH ? " under high load" : "");
  _rl_halt (s->rl, st_name_str (&s->name), st_name_str (&state->to),
            st_from_cstr (text), state->fence);
}

static void
_rl_tick_service (_rl_service *s)
{
  ro_state state;
  rl_spec spec = { 0 };
  ro_load_order order;
  char controller[CM_INCARNATION_MAX] = "";
  rl_task *rl = s->rl;
  ro_inputs in = { .now_us = sv_now_us (rl->sv),
                   .wall_ms = sv_wall_ms (rl->sv),
                   .store_ok = rl->store_ok,
                   .lease_held = s->lease_held,
                   .fence = s->fence,
                   .lease_until_us = s->lease_until_us,
                   .evidence = s->evidence };
  bool have = ro_query_state (rl->follower, st_name_str (&s->name), &state);
  in.candidate = _rl_is_candidate (rl, s, controller, sizeof controller)
                 && !sv_query_leaving (rl->sv);
  po_query_rollout_spec (rl->sv->policy, st_name_str (&s->name), &spec);
  if (in.candidate)
    _rl_start_rollout (s, &spec);
  if (have)
    {
      _rl_follow_step (s, &state, in.now_us);
      ev_tick (s->evidence, in.now_us);
      _rl_check_local (s, &state);
      if (in.now_us >= s->next_delta_us && controller[0] != 0)
        {
          s->next_delta_us = in.now_us + _RL_DELTA_PERIOD_US;
          _rl_send_evidence (s, &state, controller);
        }
      if (po_query_withdrawn (rl->sv->policy, st_name_str (&s->name),
                              st_name_str (&state.to)))
        _rl_halt (rl, st_name_str (&s->name), st_name_str (&state.to),
                  ST_LIT ("withdrawn by an operator"), state.fence);
      in.halted = ro_query_halted (rl->follower, st_name_str (&s->name),
                                   st_name_str (&state.to));
      in.halt_reason.kind = RO_REASON_HALTED;
      _rl_plan_loads (s, &state, &in, &order);
    }
  ro_action a = ro_tick (s->controller, &in);
  _rl_act (s, &a);
}

static void
_rl_set_position (rl_task *rl)
{
  uint32_t before = 0;
  uint32_t live = 0;
  size_t count;
  const cm_member *members = sv_query_members (rl->sv, &count);
  st_str own = st_name_str (&rl->sv->config.vm_name);
  for (size_t i = 0; i < count; i++)
    {
      if (members[i].leaving)
        continue;
      live++;
      size_t len
          = members[i].name.len < own.len ? members[i].name.len : own.len;
      int order = memcmp (members[i].name.ptr, own.ptr, len);
      if (order < 0 || (order == 0 && members[i].name.len < own.len))
        before++;
    }
  ro_set_position (rl->follower, before, live > 0 ? live : 1);
}

/* Periodic work.  */
void
rl_tick (rl_task *rl)
{
  uint64_t now_us = sv_now_us (rl->sv);
  if (now_us < rl->next_tick_us)
    return;
  rl->next_tick_us = now_us + _RL_TICK_US;
  _rl_follow_store (rl);
  _rl_set_position (rl);
  for (size_t i = 0; i < dr_query_count (rl->sv->directory); i++)
    {
      const dr_entry *e = dr_query_at (rl->sv->directory, i);
      rl_spec spec = { 0 };
      if (e->kind != DR_ENGINE)
        continue;
      po_query_rollout_spec (rl->sv->policy, st_name_str (&e->serves), &spec);
      if (spec.to.len > 0)
        _rl_get_service (rl, st_name_str (&e->serves));
    }
  /* The reads of the controllers find out whether the store is available.  */
  if (rl->listed)
    rl->store_ok = true;
  GList *services = g_hash_table_get_values (rl->services);
  for (GList *at = services; at != NULL; at = at->next)
    _rl_tick_service (at->data);
  g_list_free (services);
}

/* Array with one entry for each rollout: {"kind":"rollout","service","from",
   "to","state":"running|done|taken_back","reason",...}.  */
json_t *
rl_query_operations (const rl_task *rl)
{
  GHashTableIter iter;
  gpointer value;
  json_t *operations = json_array ();
  g_hash_table_iter_init (&iter, rl->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const _rl_service *s = value;
      ro_state state;
      if (!ro_query_state (rl->follower, st_name_str (&s->name), &state))
        continue;
      json_t *operation = rl_state_to_json (&state);
      json_object_set_new (operation, "kind", json_string ("rollout"));
      json_array_append_new (operations, operation);
    }
  return operations;
}
