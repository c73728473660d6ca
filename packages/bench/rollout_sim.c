#include "rollout_sim.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define _RS_VMS 9
#define _RS_ENGINES 9
#define _RS_TICK_US 100000ull
#define _RS_TICKS_PER_S 10
#define _RS_RING_TICKS 512 /* longest duration of a request */
#define _RS_LEASE_US 5000000ull
#define _RS_MESSAGES_MAX 512
#define _RS_WRITES_MAX 16

static const double _rs_route_fraction[BN_ROLLOUT_ROUTES]
    = { 0.5, 0.25, 0.15, 0.1 };
static const char *const _rs_route_name[BN_ROLLOUT_ROUTES]
    = { "answers", "drafts", "checks", "lists" };

/* A request in progress.  */
typedef struct
{
  uint32_t next; /* in its ring slot; 0 ends */
  uint8_t vm;
  uint8_t route;
  uint8_t load;
  bool new_version;
  bool failed;
  uint32_t vm_incarnation; /* of the VM at dispatch */
  uint32_t step;
  uint64_t first_us;
  uint64_t inter_us;
} _rs_request;

typedef struct
{
  ro_follower *follower;
  ro_controller *controller;
  ev_tracker *tracker;
  ev_tracker *oracle_input; /* gets the same samples, for the oracle */
  uint32_t step;            /* of the tracker */
  uint32_t incarnation;
  uint64_t paused_until; /* tick */
  bool lease_held;
  uint64_t fence;
  uint64_t lease_until_us;
  ro_reason halt_reason;
} _rs_vm;

typedef enum
{
  _RS_HALT,
  _RS_EVIDENCE
} _rs_message_kind;

typedef struct
{
  bool used;
  _rs_message_kind kind;
  uint64_t due; /* tick */
  uint32_t to;
  ro_reason reason;
  ev_delta *delta;
} _rs_message;

/* A compare-and-swap in progress.  */
typedef struct
{
  bool used;
  uint64_t due; /* tick at which it takes effect */
  uint64_t expected;
  uint32_t vm;
  uint32_t incarnation;
  bool lost; /* its reply */
  ro_state state;
} _rs_write;

typedef struct
{
  bn_rollout_desc d;
  bn_rollout_result r;
  GRand *rand;
  uint64_t tick;
  uint64_t deadline_tick;
  _rs_vm vms[_RS_VMS];
  /* Store.  */
  ro_state record;
  uint64_t revision;
  bool outage;
  uint64_t outage_from, outage_to;
  uint64_t lease_revision;
  int lease_vm;
  uint64_t lease_until_us;
  _rs_write writes[_RS_WRITES_MAX];
  _rs_message messages[_RS_MESSAGES_MAX];
  /* Engines.  */
  uint32_t loaded;
  uint64_t load_done;
  uint32_t ring[_RS_RING_TICKS];
  GArray *requests;
  uint32_t free_request;
  /* Oracle: merges the samples of all VMs at once, without messages.  */
  ev_tracker *oracle;
  /* Baselines.  */
  uint32_t sum[BN_ROLLOUT_ROUTES];
  uint64_t canary_seen, canary_failed;
  bool canary_stopped;
  uint64_t canary_stop_tick;
  ev_delta delta; /* scratch, for one delta */
  /* Figures.  */
  uint64_t route_all[BN_ROLLOUT_ROUTES];
  uint64_t route_new[BN_ROLLOUT_ROUTES];
} _rs_sim;

static double
_rs_uniform (_rs_sim *s)
{
  return g_rand_double (s->rand);
}

static uint32_t
_rs_random_below (_rs_sim *s, uint32_t n)
{
  return (uint32_t)g_rand_int_range (s->rand, 0, (gint32)n);
}

static double
_rs_seconds (const _rs_sim *s)
{
  return (double)s->tick / _RS_TICKS_PER_S;
}

static uint64_t
_rs_now_us (const _rs_sim *s)
{
  return (s->tick + 1) * _RS_TICK_US;
}

static uint64_t
_rs_wall_ms (const _rs_sim *s)
{
  return s->tick * 100;
}

static bool
_rs_in_burst (const _rs_sim *s)
{
  double t = _rs_seconds (s) - s->d.burst_at_s;
  if (s->d.burst_s <= 0 || t < 0)
    return false;
  if (s->d.burst_every_s > 0)
    t = fmod (t, s->d.burst_every_s);
  return t < s->d.burst_s;
}

static bool
_rs_is_faulty (const _rs_sim *s, uint32_t route, ev_load load)
{
  return s->d.fault != BN_FAULT_NONE && _rs_seconds (s) >= s->d.fault_at_s
         && (!s->d.only_high_load || load == EV_LOAD_HIGH)
         && (s->d.only_route == 0 || s->d.only_route == (int)route + 1);
}

static _rs_message *
_rs_add_message (_rs_sim *s, _rs_message_kind kind, uint32_t to)
{
  for (uint32_t i = 0; i < _RS_MESSAGES_MAX; i++)
    if (!s->messages[i].used)
      {
        _rs_message *m = &s->messages[i];
        memset (m, 0, sizeof *m);
        m->used = true;
        m->kind = kind;
        m->to = to;
        m->due = s->tick + 1;
        return m;
      }
  return NULL;
}

static bool
_rs_is_running (const _rs_sim *s, uint32_t vm)
{
  return s->tick >= s->vms[vm].paused_until;
}

static void
_rs_halt (_rs_sim *s, uint32_t vm, ro_reason reason)
{
  _rs_vm *v = &s->vms[vm];
  if (!ro_halt (v->follower, st_name_str (&s->record.service),
                st_name_str (&s->record.to)))
    return;
  v->halt_reason = reason;
  if (s->r.found_s < 0)
    s->r.found_s = _rs_seconds (s);
  for (uint32_t i = 0; i < _RS_VMS; i++)
    if (i != vm && !(s->d.inject_faults && _rs_uniform (s) < 0.05))
      {
        _rs_message *m = _rs_add_message (s, _RS_HALT, i);
        if (m != NULL)
          m->reason = reason;
      }
}

static void
_rs_apply_state (_rs_sim *s, uint32_t vm, const ro_state *state)
{
  _rs_vm *v = &s->vms[vm];
  ro_apply_state (v->follower, state);
  ro_state current;
  if (ro_query_state (v->follower, st_name_str (&state->service), &current)
      && current.share_step != v->step)
    {
      v->step = current.share_step;
      ev_begin_step (v->tracker, v->step, _rs_now_us (s));
      ev_begin_step (v->oracle_input, v->step, _rs_now_us (s));
      ev_begin_step (s->oracle, v->step, _rs_now_us (s));
    }
}

static void
_rs_start_vm (_rs_sim *s, uint32_t vm)
{
  _rs_vm *v = &s->vms[vm];
  ro_follower_desc fd = { .max_services = 1, .max_routes = 4 };
  ro_controller_desc cd = { .min_rung_us = 5000000, .watch_ms = 600000 };
  ev_desc ed = { .vms = _RS_VMS, .max_routes = 4, .max_senders = 256 };
  st_name_set (&cd.service, ST_LIT ("model"));
  v->follower = ro_make_follower (&fd);
  ro_set_position (v->follower, vm, _RS_VMS);
  v->controller = ro_make_controller (&cd);
  v->tracker = ev_make_tracker (&ed);
  v->oracle_input = ev_make_tracker (&ed);
  ev_begin_term (v->tracker, 1000 + vm + (uint64_t)v->incarnation * 16, 1);
  v->step = 0;
  v->lease_held = false;
  v->fence = 0;
}

static void
_rs_stop_vm (_rs_sim *s, uint32_t vm)
{
  _rs_vm *v = &s->vms[vm];
  ro_destroy_follower (v->follower);
  ro_destroy_controller (v->controller);
  ev_destroy_tracker (v->tracker);
  ev_destroy_tracker (v->oracle_input);
}

/* Restarts a VM, which then gets the halts and the state from a peer.  */
static void
_rs_restart_vm (_rs_sim *s, uint32_t vm)
{
  _rs_stop_vm (s, vm);
  s->vms[vm].incarnation++;
  _rs_start_vm (s, vm);
  uint32_t peer = (vm + 1) % _RS_VMS;
  while (peer != vm && !_rs_is_running (s, peer))
    peer = (peer + 1) % _RS_VMS;
  if (peer == vm)
    return;
  st_str service = st_name_str (&s->record.service);
  if (ro_query_halted (s->vms[peer].follower, service,
                       st_name_str (&s->record.to)))
    {
      ro_halt (s->vms[vm].follower, service, st_name_str (&s->record.to));
      s->vms[vm].halt_reason = s->vms[peer].halt_reason;
    }
  ro_state current;
  if (ro_query_state (s->vms[peer].follower, service, &current))
    _rs_apply_state (s, vm, &current);
}

static void
_rs_apply_write (_rs_sim *s, _rs_write *w)
{
  _rs_vm *v = &s->vms[w->vm];
  bool ok = w->expected == s->revision;
  if (ok)
    {
      if (s->record.phase == RO_ROLLED_BACK
          || ro_compare (&w->state, &s->record) <= 0
          || w->state.step != s->record.step + 1)
        s->r.invalid_writes++;
      s->revision++;
      s->record = w->state;
      if (w->state.phase == RO_DONE && s->r.done_s < 0)
        s->r.done_s = _rs_seconds (s);
    }
  if (!w->lost && v->incarnation == w->incarnation)
    ro_on_write (v->controller,
                 ok ? RO_WRITE_RESULT_OK : RO_WRITE_RESULT_CONFLICT,
                 s->revision);
  w->used = false;
}

static void
_rs_send_write (_rs_sim *s, uint32_t vm, const ro_action *a)
{
  _rs_write w = { .used = true,
                  .due = s->tick + 1,
                  .expected = a->expected_revision,
                  .vm = vm,
                  .incarnation = s->vms[vm].incarnation,
                  .state = a->state };
  if (s->d.inject_faults && _rs_uniform (s) < 0.1)
    {
      /* The reply is lost; the write takes effect now, late or never.  */
      w.lost = true;
      w.due += _rs_random_below (s, 20);
      ro_on_write (s->vms[vm].controller, RO_WRITE_RESULT_LOST, 0);
      if (_rs_uniform (s) < 0.3)
        return;
    }
  for (uint32_t i = 0; i < _RS_WRITES_MAX; i++)
    if (!s->writes[i].used)
      {
        s->writes[i] = w;
        return;
      }
  if (!w.lost)
    ro_on_write (s->vms[vm].controller, RO_WRITE_RESULT_LOST, 0);
}

static void
_rs_tick_store (_rs_sim *s)
{
  s->outage = s->tick >= s->outage_from && s->tick < s->outage_to;
  if (s->outage)
    return;
  for (uint32_t i = 0; i < _RS_WRITES_MAX; i++)
    if (s->writes[i].used && s->tick >= s->writes[i].due)
      _rs_apply_write (s, &s->writes[i]);
  if (s->lease_vm >= 0
      && (_rs_now_us (s) >= s->lease_until_us
          || (s->d.inject_faults && _rs_uniform (s) < 0.002)))
    s->lease_vm = -1;
}

static void
_rs_request_lease (_rs_sim *s, uint32_t vm, bool renew)
{
  _rs_vm *v = &s->vms[vm];
  if (s->outage)
    return;
  if (renew && s->lease_vm == (int)vm && v->fence == s->lease_revision)
    {
      s->lease_until_us = _rs_now_us (s) + _RS_LEASE_US;
      v->lease_until_us = s->lease_until_us;
      return;
    }
  v->lease_held = false;
  if (s->lease_vm >= 0)
    return;
  s->lease_vm = (int)vm;
  s->lease_revision++;
  s->lease_until_us = _rs_now_us (s) + _RS_LEASE_US;
  v->lease_held = true;
  v->fence = s->lease_revision;
  v->lease_until_us = s->lease_until_us;
}

static void
_rs_tick_controller (_rs_sim *s, uint32_t vm)
{
  _rs_vm *v = &s->vms[vm];
  ro_load_order order = { .engine = s->loaded, .version = s->record.to };
  ro_inputs in
      = { .now_us = _rs_now_us (s),
          .wall_ms = _rs_wall_ms (s),
          .candidate = vm < 2,
          .store_ok = !s->outage,
          .lease_held = v->lease_held,
          .fence = v->fence,
          .lease_until_us = v->lease_until_us,
          .evidence = v->tracker,
          .halt_reason = v->halt_reason,
          .loaded_permille = (uint16_t)(s->loaded * 1000 / _RS_ENGINES) };
  in.halted = ro_query_halted (v->follower, st_name_str (&s->record.service),
                               st_name_str (&s->record.to));
  if (s->loaded < _RS_ENGINES && s->load_done == 0)
    in.load = &order;
  ro_action a = ro_tick (v->controller, &in);
  switch (a.kind)
    {
    case RO_NOTHING:
      break;
    case RO_ACQUIRE_LEASE:
    case RO_RENEW_LEASE:
      _rs_request_lease (s, vm, a.kind == RO_RENEW_LEASE);
      break;
    case RO_READ_STATE:
      if (s->outage || (s->d.inject_faults && _rs_uniform (s) < 0.1))
        ro_on_read_failed (v->controller);
      else
        ro_on_state (v->controller, &s->record, s->revision);
      break;
    case RO_WRITE_STATE:
      _rs_send_write (s, vm, &a);
      break;
    case RO_ORDER_LOAD:
      if (a.fence >= s->record.fence && s->load_done == 0)
        s->load_done = s->tick + 5;
      break;
    case RO_BROADCAST_HALT:
      _rs_halt (s, vm, a.state.reason);
      break;
    }
}

static void
_rs_deliver (_rs_sim *s)
{
  for (uint32_t i = 0; i < _RS_MESSAGES_MAX; i++)
    {
      _rs_message *m = &s->messages[i];
      if (!m->used || s->tick < m->due || !_rs_is_running (s, m->to))
        continue;
      switch (m->kind)
        {
        case _RS_HALT:
          _rs_halt (s, m->to, m->reason);
          break;
        case _RS_EVIDENCE:
          ev_merge (s->vms[m->to].tracker, m->delta, _rs_now_us (s));
          if (s->d.inject_faults && _rs_uniform (s) < 0.05)
            {
              m->due = s->tick + 1 + _rs_random_below (s, 20);
              continue;
            }
          g_free (m->delta);
          break;
        }
      m->used = false;
    }
}

/* Identifier of the merged counts of candidate VM.  */
static uint64_t
_rs_counts_id (const _rs_sim *s, uint32_t vm)
{
  return 1000 + vm + (uint64_t)s->vms[vm].incarnation * 16;
}

/* Sends the current delta to candidate TO.  */
static void
_rs_send_delta (_rs_sim *s, uint32_t to)
{
  if (s->d.inject_faults && _rs_uniform (s) < 0.02)
    return;
  _rs_message *m = _rs_add_message (s, _RS_EVIDENCE, to);
  if (m == NULL)
    return;
  m->delta = g_memdup2 (&s->delta, sizeof s->delta);
  if (s->d.inject_faults && _rs_uniform (s) < 0.05)
    m->due += _rs_random_below (s, 10);
}

static void
_rs_send_evidence (_rs_sim *s, uint32_t vm)
{
  _rs_vm *v = &s->vms[vm];
  uint64_t sender = vm + 1 + (uint64_t)v->incarnation * 16;
  for (uint32_t to = 0; to < 2; to++)
    while (
        ev_take_delta (v->tracker, sender, _rs_counts_id (s, to), &s->delta))
      _rs_send_delta (s, to);
}

static void
_rs_tick_vm (_rs_sim *s, uint32_t vm)
{
  _rs_vm *v = &s->vms[vm];
  if (!s->outage && (!s->d.inject_faults || _rs_uniform (s) < 0.7))
    {
      _rs_apply_state (s, vm, &s->record);
      if (vm < 2)
        ro_on_state (v->controller, &s->record, s->revision);
    }
  ev_tick (v->tracker, _rs_now_us (s));
  ev_result local = ev_query_local (v->tracker);
  if (local.verdict == EV_BAD)
    {
      ro_reason reason
          = { .kind = (ro_reason_kind)(RO_REASON_FAILURE + local.reason.kind),
              .load = local.reason.load,
              .route = local.reason.route };
      _rs_halt (s, vm, reason);
    }
  if ((s->tick + vm) % 5 == 0)
    _rs_send_evidence (s, vm);
  if (vm < 2)
    _rs_tick_controller (s, vm);
}

static uint32_t
_rs_poisson (_rs_sim *s, double mean)
{
  double limit = exp (-mean);
  double product = _rs_uniform (s);
  uint32_t n = 0;
  while (product > limit && n < 1000)
    {
      product *= _rs_uniform (s);
      n++;
    }
  return n;
}

/* Traffic share of the new version under a baseline, in permille.  */
static uint32_t
_rs_baseline_share (_rs_sim *s)
{
  switch (s->d.policy)
    {
    case BN_POLICY_CANARY:
      if (s->canary_stopped && s->tick >= s->canary_stop_tick)
        return 0;
      if (s->tick * 2 >= s->deadline_tick)
        {
          if (s->r.done_s < 0)
            s->r.done_s = _rs_seconds (s);
          return 1000;
        }
      return 100;
    case BN_POLICY_RAMP:
      {
        uint64_t part = s->tick * 10 / s->deadline_tick;
        uint32_t share = part >= 9 ? 1000 : (uint32_t)(part + 1) * 100;
        if (share == 1000 && s->r.done_s < 0)
          s->r.done_s = _rs_seconds (s);
        return share;
      }
    case BN_POLICY_DOTTERELBEND:
    case BN_POLICIES:
      break;
    }
  return 0;
}

static uint32_t
_rs_allocate_request (_rs_sim *s)
{
  if (s->free_request != 0)
    {
      uint32_t index = s->free_request;
      s->free_request = g_array_index (s->requests, _rs_request, index).next;
      return index;
    }
  _rs_request empty = { 0 };
  g_array_append_val (s->requests, empty);
  return s->requests->len - 1;
}

static void
_rs_count_dispatch (_rs_sim *s, uint32_t vm, uint32_t route, ev_load load,
                    bool is_new)
{
  bool faulty = _rs_is_faulty (s, route, load);
  if (s->r.found_s < 0 && s->record.phase != RO_LOADING
      && (s->d.only_route == 0 || s->d.only_route == (int)route + 1))
    {
      s->r.requests++;
      s->r.faulty += is_new && faulty;
    }
  if (is_new && faulty)
    {
      if (s->r.first_faulty_s < 0)
        s->r.first_faulty_s = _rs_seconds (s);
      s->r.last_faulty_s = _rs_seconds (s);
      s->r.faulty_after_detectable += s->r.detectable_s >= 0;
    }
  if (s->d.policy != BN_POLICY_DOTTERELBEND)
    return;
  if (is_new
      && ro_query_halted (s->vms[vm].follower,
                          st_name_str (&s->record.service),
                          st_name_str (&s->record.to)))
    s->r.dispatched_while_halted++;
  if (s->record.share_permille <= 20)
    {
      s->route_all[route]++;
      s->route_new[route] += is_new;
      if ((double)s->route_new[route] > 0.02 * (double)s->route_all[route] + 2)
        s->r.over_bound++;
    }
}

static void
_rs_dispatch (_rs_sim *s, uint32_t route)
{
  uint32_t vm = _rs_random_below (s, _RS_VMS);
  if (!_rs_is_running (s, vm))
    return;
  ev_load load = _rs_in_burst (s) ? EV_LOAD_HIGH : EV_LOAD_LOW;
  bool is_new = false;
  uint32_t step = 0;
  if (s->d.policy == BN_POLICY_DOTTERELBEND)
    {
      ro_choice c = ro_choose (
          s->vms[vm].follower, st_name_str (&s->record.service),
          st_from_cstr (_rs_route_name[route]), load, _rs_wall_ms (s));
      is_new = c.new_version;
      step = c.step;
    }
  else
    {
      s->sum[route] += _rs_baseline_share (s);
      if (s->sum[route] >= 1000)
        {
          s->sum[route] -= 1000;
          is_new = true;
        }
    }
  _rs_count_dispatch (s, vm, route, load, is_new);
  bool faulty = is_new && _rs_is_faulty (s, route, load);
  double fail = 0.004;
  double slow = load == EV_LOAD_HIGH ? 2 : 1;
  if (load == EV_LOAD_HIGH)
    fail = 1 - (1 - fail) * (1 - s->d.burst_fail_rate);
  if (faulty && s->d.fault == BN_FAULT_FAILING)
    fail = 1 - (1 - fail) * (1 - s->d.fail_rate);
  if (faulty && s->d.fault == BN_FAULT_SLOW)
    slow *= s->d.slow_factor;
  if (s->d.slow_engine_at_s > 0 && _rs_seconds (s) >= s->d.slow_engine_at_s
      && _rs_random_below (s, _RS_ENGINES) == 0)
    slow *= 4;
  double first_s = 0.1 * exp (_rs_uniform (s) * 1.5) * slow;
  /* 0.5% of the requests are much longer than the others.  */
  double last_s = first_s + 0.8 * _rs_uniform (s) * slow;
  if (_rs_uniform (s) < 0.005)
    last_s += 20 * _rs_uniform (s);
  uint32_t index = _rs_allocate_request (s);
  _rs_request *q = &g_array_index (s->requests, _rs_request, index);
  q->vm = (uint8_t)vm;
  q->vm_incarnation = s->vms[vm].incarnation;
  q->route = (uint8_t)route;
  q->load = (uint8_t)load;
  q->new_version = is_new;
  q->step = step;
  q->failed = _rs_uniform (s) < fail;
  q->first_us = (uint64_t)(first_s * 1e6);
  q->inter_us = (uint64_t)(20000 * exp (_rs_uniform (s)) * slow);
  double end_s = q->failed ? first_s : last_s;
  uint64_t ticks = 1 + (uint64_t)(end_s * _RS_TICKS_PER_S);
  if (ticks >= _RS_RING_TICKS)
    ticks = _RS_RING_TICKS - 1;
  uint32_t *slot = &s->ring[(s->tick + ticks) % _RS_RING_TICKS];
  q->next = *slot;
  *slot = index;
}

static void
_rs_finish (_rs_sim *s)
{
  uint32_t *slot = &s->ring[s->tick % _RS_RING_TICKS];
  while (*slot != 0)
    {
      uint32_t index = *slot;
      _rs_request *q = &g_array_index (s->requests, _rs_request, index);
      *slot = q->next;
      ev_sample sample = { .route = st_from_cstr (_rs_route_name[q->route]),
                           .load = (ev_load)q->load,
                           .step = q->step,
                           .new_version = q->new_version,
                           .paired = true,
                           .failed = q->failed,
                           .first_token_us = q->first_us,
                           .inter_token_us = q->inter_us };
      if (q->vm_incarnation == s->vms[q->vm].incarnation
          && !s->d.disable_evidence)
        {
          ev_record (s->vms[q->vm].tracker, &sample, _rs_now_us (s));
          ev_record (s->vms[q->vm].oracle_input, &sample, _rs_now_us (s));
        }
      if (q->new_version)
        {
          s->canary_seen++;
          s->canary_failed += q->failed;
        }
      q->next = s->free_request;
      s->free_request = index;
    }
}

static void
_rs_tick_baseline (_rs_sim *s)
{
  if (s->d.policy != BN_POLICY_CANARY || s->canary_stopped
      || s->tick % 100 != 0 || s->r.done_s >= 0)
    return;
  if (s->canary_seen >= 20 && s->canary_failed * 20 > s->canary_seen)
    {
      s->canary_stopped = true;
      /* The VMs apply the new share one second later.  */
      s->canary_stop_tick = s->tick + _RS_TICKS_PER_S;
      s->r.found_s = _rs_seconds (s);
      s->record.phase = RO_ROLLED_BACK;
      s->record.reason.kind = RO_REASON_FAILURE;
    }
}

static void
_rs_inject_vm_faults (_rs_sim *s)
{
  if (_rs_uniform (s) < 0.001)
    s->vms[_rs_random_below (s, _RS_VMS)].paused_until
        = s->tick + 20 + _rs_random_below (s, 130);
  if (_rs_uniform (s) < 0.001)
    _rs_restart_vm (s, _rs_random_below (s, _RS_VMS));
}

static void
_rs_update_oracle (_rs_sim *s)
{
  for (uint32_t i = 0; i < _RS_VMS; i++)
    {
      uint64_t sender = i + 1 + (uint64_t)s->vms[i].incarnation * 16;
      ev_tick (s->vms[i].oracle_input, _rs_now_us (s));
      while (ev_take_delta (s->vms[i].oracle_input, sender, 1, &s->delta))
        ev_merge (s->oracle, &s->delta, _rs_now_us (s));
    }
  ev_tick (s->oracle, _rs_now_us (s));
  if (s->r.detectable_s < 0 && ev_query_merged (s->oracle).verdict == EV_BAD)
    s->r.detectable_s = _rs_seconds (s);
}

static void
_rs_setup (_rs_sim *s, const bn_rollout_desc *desc)
{
  memset (s, 0, sizeof *s);
  s->d = *desc;
  bn_rollout_desc *d = &s->d;
  d->deadline_s = d->deadline_s > 0 ? d->deadline_s : 300;
  d->tail_s = d->tail_s > 0 ? d->tail_s : 60;
  d->requests_per_s = d->requests_per_s > 0 ? d->requests_per_s : 120;
  d->fail_rate = d->fail_rate > 0 ? d->fail_rate : 0.5;
  d->slow_factor = d->slow_factor > 0 ? d->slow_factor : 2.5;
  s->r.done_s = -1;
  s->r.found_s = -1;
  s->r.detectable_s = -1;
  s->r.first_faulty_s = -1;
  s->r.last_faulty_s = -1;
  s->rand = g_rand_new_with_seed ((guint32)(d->seed * 2654435761u + 12345));
  s->deadline_tick = (uint64_t)d->deadline_s * _RS_TICKS_PER_S;
  s->requests = g_array_new (FALSE, TRUE, sizeof (_rs_request));
  _rs_request none = { 0 };
  g_array_append_val (s->requests, none);
  /* The fault is detectable when all finished requests together are conclusive
     at an error rate of 1e-6.  The VMs decide at 1e-3; the margin accounts for
     requests whose evidence is in another stratum there.  */
  ev_desc od = { .alpha = 1e-6, .max_routes = 4, .max_senders = 256 };
  s->oracle = ev_make_tracker (&od);
  ev_begin_term (s->oracle, 1, 1);
  s->record = ro_start_state (ST_LIT ("model"), ST_LIT ("v1"), ST_LIT ("v2"),
                              (uint64_t)d->deadline_s * 1000, NULL);
  s->revision = 1;
  s->lease_vm = -1;
  for (uint32_t i = 0; i < _RS_VMS; i++)
    _rs_start_vm (s, i);
  if (d->policy != BN_POLICY_DOTTERELBEND)
    s->record.phase = RO_RUNNING;
  if (d->inject_faults)
    {
      s->outage_from
          = _rs_random_below (s, (uint32_t)s->deadline_tick * 6 / 10);
      s->outage_to = s->outage_from + 20 + _rs_random_below (s, 80);
    }
}

static void
_rs_shutdown (_rs_sim *s)
{
  for (uint32_t i = 0; i < _RS_VMS; i++)
    _rs_stop_vm (s, i);
  for (uint32_t i = 0; i < _RS_MESSAGES_MAX; i++)
    if (s->messages[i].used && s->messages[i].kind == _RS_EVIDENCE)
      g_free (s->messages[i].delta);
  ev_destroy_tracker (s->oracle);
  g_array_free (s->requests, TRUE);
  g_rand_free (s->rand);
}

/* Records a minute of traffic before the rollout, so that the VMs have the
   speed of the old version.  */
static void
_rs_warm_up (_rs_sim *s)
{
  for (uint32_t vm = 0; vm < _RS_VMS; vm++)
    for (uint32_t route = 0; route < BN_ROLLOUT_ROUTES; route++)
      {
        double mean
            = s->d.requests_per_s * _rs_route_fraction[route] * 60 / _RS_VMS;
        for (uint32_t i = 0; i < (uint32_t)mean; i++)
          {
            double first_s = 0.1 * exp (_rs_uniform (s) * 1.5);
            ev_sample sample = { .route = st_from_cstr (_rs_route_name[route]),
                                 .paired = true,
                                 .first_token_us = (uint64_t)(first_s * 1e6),
                                 .inter_token_us
                                 = (uint64_t)(20000 * exp (_rs_uniform (s))) };
            ev_record (s->vms[vm].tracker, &sample, 1);
            ev_tick (s->vms[vm].tracker, 1);
            ev_record (s->vms[vm].oracle_input, &sample, 1);
            ev_tick (s->vms[vm].oracle_input, 1);
          }
      }
}

/* Runs one rollout until tail_s after its deadline, or until 10 s after the
   rollback.  */
bn_rollout_result
bn_run_one_rollout (const bn_rollout_desc *desc)
{
  _rs_sim *s = g_new0 (_rs_sim, 1);
  _rs_setup (s, desc);
  _rs_warm_up (s);
  uint64_t end = s->deadline_tick + (uint64_t)s->d.tail_s * _RS_TICKS_PER_S;
  uint64_t rolled_back_ticks = 0;
  for (s->tick = 0; s->tick < end; s->tick++)
    {
      if (s->load_done != 0 && s->tick >= s->load_done)
        {
          s->loaded++;
          s->load_done = 0;
        }
      if (s->d.inject_faults)
        _rs_inject_vm_faults (s);
      _rs_tick_store (s);
      _rs_finish (s);
      _rs_update_oracle (s);
      _rs_deliver (s);
      for (uint32_t i = 0; i < _RS_VMS; i++)
        if (s->d.policy == BN_POLICY_DOTTERELBEND && _rs_is_running (s, i))
          _rs_tick_vm (s, i);
      _rs_tick_baseline (s);
      double rate = s->d.requests_per_s * (_rs_in_burst (s) ? 2 : 1);
      for (uint32_t r = 0; r < BN_ROLLOUT_ROUTES; r++)
        {
          uint32_t n = _rs_poisson (s, rate * _rs_route_fraction[r]
                                           / _RS_TICKS_PER_S);
          for (uint32_t i = 0; i < n; i++)
            _rs_dispatch (s, r);
        }
      if (s->record.phase == RO_ROLLED_BACK && rolled_back_ticks++ > 100)
        break;
    }
  s->r.phase = s->record.phase;
  s->r.reason = s->record.reason.kind;
  bn_rollout_result result = s->r;
  _rs_shutdown (s);
  g_free (s);
  return result;
}

typedef struct
{
  const char *name;
  bn_rollout_desc desc;
} _rs_scenario;

static const _rs_scenario _rs_scenarios[] = {
  { "rollout_bad_at_once", { .fault = BN_FAULT_FAILING } },
  { "rollout_slow_at_once", { .fault = BN_FAULT_SLOW } },
  { "rollout_bad_later", { .fault = BN_FAULT_FAILING, .fault_at_s = 200 } },
  { "rollout_bad_under_load",
    { .fault = BN_FAULT_FAILING,
      .only_high_load = true,
      .burst_at_s = 20,
      .burst_s = 20,
      .burst_every_s = 60 } },
  { "rollout_bad_one_route",
    { .fault = BN_FAULT_FAILING, .fail_rate = 0.6, .only_route = 3 } },
  { "rollout_good", { .fault = BN_FAULT_NONE } },
  { "rollout_good_burst",
    { .fault = BN_FAULT_NONE,
      .burst_at_s = 20,
      .burst_s = 20,
      .burst_every_s = 60,
      .burst_fail_rate = 0.3 } },
  { "rollout_good_slow_engine",
    { .fault = BN_FAULT_NONE, .slow_engine_at_s = 30 } },
};

static const char *const _rs_policy_name[BN_POLICIES]
    = { "dotterelbend", "canary_10", "ramp" };

/* Runs the scenario NAME with each policy and adds its figures.  */
void
bn_run_rollout (bn_report *report, const char *name, uint64_t seed)
{
  for (size_t i = 0; i < G_N_ELEMENTS (_rs_scenarios); i++)
    {
      if (strcmp (_rs_scenarios[i].name, name) != 0)
        continue;
      for (bn_policy p = 0; p < BN_POLICIES; p++)
        {
          bn_rollout_desc d = _rs_scenarios[i].desc;
          d.seed = seed;
          d.policy = p;
          bn_rollout_result r = bn_run_one_rollout (&d);
          const char *policy = _rs_policy_name[p];
          if (d.fault == BN_FAULT_NONE)
            {
              bool on_time = r.done_s >= 0 && r.done_s <= 300
                             && r.phase != RO_ROLLED_BACK;
              bn_add (report, name, policy, seed, "good_on_time_ok", "0/1",
                      on_time);
              bn_add (report, name, policy, seed, "good_taken_back", "0/1",
                      r.phase == RO_ROLLED_BACK);
              continue;
            }
          double share = r.requests > 0
                             ? 100.0 * (double)r.faulty / (double)r.requests
                             : 0;
          bn_add (report, name, policy, seed, "bad_found_ok", "0/1",
                  r.found_s >= 0);
          bn_add (report, name, policy, seed, "faulty_share_until_found", "%",
                  share);
          bn_add (report, name, policy, seed, "last_dispatch_after_first", "s",
                  r.last_faulty_s - r.first_faulty_s);
          if (r.found_s >= 0)
            bn_add (report, name, policy, seed, "last_dispatch_after_found",
                    "s", fmax (r.last_faulty_s - r.found_s, 0));
        }
    }
}
