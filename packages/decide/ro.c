#include "ro.h"

#include <string.h>

#define _RO_DEFAULT_SERVICES 32
#define _RO_DEFAULT_ROUTES 32
#define _RO_DEFAULT_HALTS 16
#define _RO_DEFAULT_CONTROL_PERMILLE 50
#define _RO_ALL_PERMILLE 1000u

/* A halt is broadcast again until it is stored, because a peer may miss one
   message.  */
#define _RO_HALT_INTERVAL_US 500000
#define _RO_LEASE_RETRY_US 500000
/* Gives wl_ time to process an order before the next one.  */
#define _RO_LOAD_INTERVAL_US 100000

/* Largest traffic share of a load level whose test has not passed.  */
#define _RO_UNDECIDED_MAX_PERMILLE 20

static const uint16_t _ro_rung_permille[RO_RUNGS]
    = { 10, 20, 50, 100, 250, 500, 1000 };
/* Weights by which the time to the deadline is divided among the rungs below
   100%.  */
static const uint32_t _ro_rung_time_weights[RO_RUNGS]
    = { 40, 20, 14, 10, 8, 8, 0 };

typedef struct
{
  st_name name;
  /* Remainder of the share; at 1000 a request gets the new version and 1000
     is subtracted.  */
  uint32_t carry_permille[EV_LOADS];
} _ro_route;

typedef struct
{
  st_name name;
  bool has_state;
  ro_state state;
  uint32_t halt_count;
  /* The table of halts is full: no new version of this service is used any
     more.  */
  bool halt_overflow;
  uint32_t route_count;
  st_name *halts;
  _ro_route *routes;
} _ro_service;

struct ro_follower
{
  al_allocator allocator;
  uint32_t max_services;
  uint32_t max_routes;
  uint32_t max_halts;
  uint16_t control_permille;
  uint32_t vm_index;
  uint32_t vm_count;
  uint32_t service_count;
  _ro_service *services;
};

struct ro_controller
{
  al_allocator allocator;
  st_name service;
  uint64_t min_rung_us;
  uint64_t reserve_us;
  uint64_t watch_ms;
  uint64_t write_margin_us;
  uint64_t renew_before_us;
  bool record_valid; /* state and revision are as last read or written */
  ro_state state;
  uint64_t revision;
  bool write_pending; /* a write was issued, its result is not known yet */
  bool read_pending;
  ro_state written; /* state of the last write, until its result is known */
  bool has_state;   /* the store had a state when it was last read */
  uint64_t next_halt_us;
  uint64_t next_lease_us;
  uint64_t next_load_us;
  uint32_t rung_step; /* share_step that rung_until_us belongs to */
  uint64_t rung_began_us;
  uint64_t rung_until_us;
};

/* Name of PHASE as stored and shown.  */
const char *
ro_phase_name (ro_phase phase)
{
  switch (phase)
    {
    case RO_NONE:
      return "none";
    case RO_LOADING:
      return "loading";
    case RO_RUNNING:
      return "running";
    case RO_DONE:
      return "done";
    case RO_ROLLED_BACK:
      return "taken_back";
    }
  return "unknown";
}

/* Name of KIND as stored and shown.  */
const char *
ro_reason_name (ro_reason_kind kind)
{
  switch (kind)
    {
    case RO_REASON_NONE:
      return "none";
    case RO_REASON_FAILURE:
      return ev_kind_name (EV_FAILURE);
    case RO_REASON_SLOW_FIRST_TOKEN:
      return ev_kind_name (EV_SLOW_FIRST_TOKEN);
    case RO_REASON_SLOW_INTER_TOKEN:
      return ev_kind_name (EV_SLOW_INTER_TOKEN);
    case RO_REASON_DEADLINE:
      return "deadline";
    case RO_REASON_HALTED:
      return "halted";
    case RO_REASON_OPERATOR:
      return "operator";
    }
  return "unknown";
}

/* Order of stored states: below 0 when A is older than B.  */
int
ro_compare (const ro_state *a, const ro_state *b)
{
  if (a->fence != b->fence)
    return a->fence < b->fence ? -1 : 1;
  if (a->step != b->step)
    return a->step < b->step ? -1 : 1;
  return 0;
}

static bool
_ro_name_equals (const st_name *a, st_str b)
{
  return st_equal (st_name_str (a), b);
}

/* Makes a follower; all memory is allocated here.  */
ro_follower *
ro_make_follower (const ro_follower_desc *desc)
{
  ro_follower *f = al_alloc (&desc->allocator, sizeof *f);
  f->allocator = desc->allocator;
  f->max_services
      = desc->max_services > 0 ? desc->max_services : _RO_DEFAULT_SERVICES;
  f->max_routes = desc->max_routes > 0 ? desc->max_routes : _RO_DEFAULT_ROUTES;
  f->max_halts = desc->max_halts > 0 ? desc->max_halts : _RO_DEFAULT_HALTS;
  f->control_permille = desc->control_permille > 0
                            ? desc->control_permille
                            : _RO_DEFAULT_CONTROL_PERMILLE;
  f->vm_count = 1;
  f->services
      = al_alloc (&f->allocator, f->max_services * sizeof (_ro_service));
  for (uint32_t i = 0; i < f->max_services; i++)
    {
      _ro_service *s = &f->services[i];
      s->halts = al_alloc (&f->allocator, f->max_halts * sizeof (st_name));
      s->routes = al_alloc (&f->allocator, f->max_routes * sizeof (_ro_route));
    }
  return f;
}

/* Releases F, which may be NULL.  */
void
ro_destroy_follower (ro_follower *f)
{
  if (f == NULL)
    return;
  al_allocator al = f->allocator;
  for (uint32_t i = 0; i < f->max_services; i++)
    {
      al_free (&al, f->services[i].halts);
      al_free (&al, f->services[i].routes);
    }
  al_free (&al, f->services);
  al_free (&al, f);
}

/* Sets this VM's index VM_INDEX among the VM_COUNT live VMs, sorted by name.
   The counters of the VMs start at different points of the cycle, so that the
   VMs together keep the traffic share even at a few requests each.  */
void
ro_set_position (ro_follower *f, uint32_t vm_index, uint32_t vm_count)
{
  f->vm_count = vm_count > 0 ? vm_count : 1;
  f->vm_index = vm_index % f->vm_count;
}

static const _ro_service *
_ro_find_service (const ro_follower *f, st_str service)
{
  for (uint32_t i = 0; i < f->service_count; i++)
    if (_ro_name_equals (&f->services[i].name, service))
      return &f->services[i];
  return NULL;
}

static _ro_service *
_ro_find_or_add_service (ro_follower *f, st_str service)
{
  for (uint32_t i = 0; i < f->service_count; i++)
    if (_ro_name_equals (&f->services[i].name, service))
      return &f->services[i];
  if (f->service_count == f->max_services)
    return NULL;
  _ro_service *s = &f->services[f->service_count];
  if (!st_name_set (&s->name, service))
    return NULL;
  f->service_count++;
  return s;
}

static bool
_ro_is_halted (const _ro_service *s, st_str version)
{
  for (uint32_t i = 0; i < s->halt_count; i++)
    if (_ro_name_equals (&s->halts[i], version))
      return true;
  return s->halt_overflow && s->has_state
         && _ro_name_equals (&s->state.to, version);
}

/* Halts VERSION of SERVICE for the life of this process.  Returns true when it
   was not halted before: the caller then forwards the HALT once.  */
bool
ro_halt (ro_follower *f, st_str service, st_str version)
{
  _ro_service *s = _ro_find_or_add_service (f, service);
  if (s == NULL || _ro_is_halted (s, version))
    return false;
  if (s->halt_count == f->max_halts
      || !st_name_set (&s->halts[s->halt_count], version))
    {
      bool first = !s->halt_overflow;
      s->halt_overflow = true;
      return first;
    }
  s->halt_count++;
  return true;
}

/* True when VERSION of SERVICE may not be used.  */
bool
ro_query_halted (const ro_follower *f, st_str service, st_str version)
{
  const _ro_service *s = _ro_find_service (f, service);
  return s != NULL && _ro_is_halted (s, version);
}

/* Copies up to MAX halts, for a peer that joins.  Returns their number.  */
uint32_t
ro_query_halts (const ro_follower *f, st_name *services, st_name *versions,
                uint32_t max)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < f->service_count; i++)
    for (uint32_t j = 0; j < f->services[i].halt_count && n < max; j++)
      {
        services[n] = f->services[i].name;
        versions[n] = f->services[i].halts[j];
        n++;
      }
  return n;
}

static void
_ro_reset_route (const ro_follower *f, const _ro_service *s, _ro_route *route)
{
  uint64_t hash = st_hash (st_name_str (&route->name), s->state.share_step);
  uint32_t offset
      = (uint32_t)((uint64_t)f->vm_index * _RO_ALL_PERMILLE / f->vm_count);
  route->carry_permille[EV_LOAD_LOW]
      = (uint32_t)((hash + offset) % _RO_ALL_PERMILLE);
  route->carry_permille[EV_LOAD_HIGH]
      = (uint32_t)(((hash >> 32) + offset) % _RO_ALL_PERMILLE);
}

/* Stores STATE if it is newer than the stored one.  A state that is rolled
   back halts its version, also when the state itself is older.  */
ro_apply_result
ro_apply_state (ro_follower *f, const ro_state *state)
{
  _ro_service *s = _ro_find_or_add_service (f, st_name_str (&state->service));
  if (s == NULL)
    return RO_FULL;
  if (state->phase == RO_ROLLED_BACK)
    ro_halt (f, st_name_str (&state->service), st_name_str (&state->to));
  if (s->has_state && ro_compare (state, &s->state) <= 0)
    return RO_OLDER;
  bool restart = !s->has_state || s->state.share_step != state->share_step
                 || !_ro_name_equals (&s->state.to, st_name_str (&state->to));
  s->state = *state;
  s->has_state = true;
  if (restart)
    for (uint32_t i = 0; i < s->route_count; i++)
      _ro_reset_route (f, s, &s->routes[i]);
  return RO_APPLIED;
}

/* Copies the stored state of SERVICE; false when there is none.  */
bool
ro_query_state (const ro_follower *f, st_str service, ro_state *out)
{
  const _ro_service *s = _ro_find_service (f, service);
  if (s == NULL || !s->has_state)
    return false;
  *out = s->state;
  return true;
}

static _ro_route *
_ro_find_or_add_route (ro_follower *f, _ro_service *s, st_str name)
{
  for (uint32_t i = 0; i < s->route_count; i++)
    if (_ro_name_equals (&s->routes[i].name, name))
      return &s->routes[i];
  if (s->route_count == f->max_routes)
    return NULL;
  _ro_route *route = &s->routes[s->route_count];
  if (!st_name_set (&route->name, name))
    return NULL;
  s->route_count++;
  _ro_reset_route (f, s, route);
  return route;
}

/* Traffic share of the new version, in permille, for a request that arrives at
   LOAD.  */
static uint32_t
_ro_share_permille (const ro_follower *f, const ro_state *state, ev_load load,
                    uint64_t wall_ms)
{
  uint32_t share;
  switch (state->phase)
    {
    case RO_NONE:
    case RO_LOADING:
    case RO_ROLLED_BACK:
      return 0;
    case RO_RUNNING:
    case RO_DONE:
      if (state->phase == RO_DONE && wall_ms >= state->watch_until_ms)
        return _RO_ALL_PERMILLE;
      share = load == EV_LOAD_HIGH ? state->share_high_permille
                                   : state->share_permille;
      if (share + f->control_permille > _RO_ALL_PERMILLE)
        share = _RO_ALL_PERMILLE - f->control_permille;
      return share;
    }
  return 0;
}

/* Version for one request of SERVICE on ROUTE that arrives at LOAD.  Routes
   that do not fit into the table get the old version.  The version is empty
   when no state was received yet or every version is halted.  */
ro_choice
ro_choose (ro_follower *f, st_str service, st_str route, ev_load load,
           uint64_t wall_ms)
{
  ro_choice choice = { 0 };
  _ro_service *s = _ro_find_or_add_service (f, service);
  if (s == NULL || !s->has_state || load >= EV_LOADS)
    return choice;
  const ro_state *state = &s->state;
  choice.step = state->share_step;
  uint32_t share = _ro_share_permille (f, state, load, wall_ms);
  if (share > 0 && _ro_is_halted (s, st_name_str (&state->to)))
    share = 0;
  if (share == _RO_ALL_PERMILLE)
    choice.new_version = true;
  else if (share > 0)
    {
      _ro_route *r = _ro_find_or_add_route (f, s, route);
      if (r != NULL)
        {
          r->carry_permille[load] += share;
          if (r->carry_permille[load] >= _RO_ALL_PERMILLE)
            {
              r->carry_permille[load] -= _RO_ALL_PERMILLE;
              choice.new_version = true;
            }
        }
    }
  choice.version = choice.new_version ? state->to : state->from;
  if (!choice.new_version && _ro_is_halted (s, st_name_str (&choice.version)))
    choice.version.len = 0;
  return choice;
}

/* First state of a rollout, to be written by compare-and-swap over PREVIOUS
   (NULL when the service has none).  */
ro_state
ro_start_state (st_str service, st_str from, st_str to, uint64_t deadline_ms,
                const ro_state *previous)
{
  ro_state state = { 0 };
  st_name_set (&state.service, service);
  st_name_set (&state.from, from);
  st_name_set (&state.to, to);
  state.phase = RO_LOADING;
  state.deadline_ms = deadline_ms;
  state.step = 1;
  if (previous != NULL)
    {
      state.fence = previous->fence;
      state.step = previous->step + 1;
    }
  state.share_step = state.step;
  return state;
}

/* Makes the controller of one service.  */
ro_controller *
ro_make_controller (const ro_controller_desc *desc)
{
  ro_controller *c = al_alloc (&desc->allocator, sizeof *c);
  c->allocator = desc->allocator;
  c->service = desc->service;
  c->min_rung_us = desc->min_rung_us > 0 ? desc->min_rung_us : 10000000;
  c->reserve_us = desc->reserve_us > 0 ? desc->reserve_us : 30000000;
  c->watch_ms = desc->watch_ms > 0 ? desc->watch_ms : 600000;
  c->write_margin_us
      = desc->write_margin_us > 0 ? desc->write_margin_us : 1000000;
  c->renew_before_us
      = desc->renew_before_us > 0 ? desc->renew_before_us : 3000000;
  return c;
}

/* Releases C, which may be NULL.  */
void
ro_destroy_controller (ro_controller *c)
{
  if (c == NULL)
    return;
  al_allocator al = c->allocator;
  al_free (&al, c);
}

/* Sets the state as read from the store (or from a watch); NULL when there is
   none.  A revision below the last one is ignored, and so is everything that
   arrives while the result of a write is pending.  */
void
ro_on_state (ro_controller *c, const ro_state *state, uint64_t revision)
{
  c->read_pending = false;
  if (c->write_pending || (c->record_valid && revision < c->revision))
    return;
  c->record_valid = true;
  c->revision = revision;
  if (state == NULL)
    {
      memset (&c->state, 0, sizeof c->state);
      c->has_state = false;
      return;
    }
  c->state = *state;
  c->has_state = true;
}

/* RO_READ_STATE failed or timed out; the next tick requests it again.  */
void
ro_on_read_failed (ro_controller *c)
{
  c->read_pending = false;
}

/* Copies the controller's state and revision; false when they have to be read
   first.  */
bool
ro_query_record (const ro_controller *c, ro_state *out, uint64_t *revision)
{
  if (!c->record_valid || !c->has_state)
    return false;
  *out = c->state;
  *revision = c->revision;
  return true;
}

/* Result of the last RO_WRITE_STATE.  After a conflict or a write without a
   reply, RO_READ_STATE comes before any other write.  */
void
ro_on_write (ro_controller *c, ro_write_result result, uint64_t revision)
{
  if (!c->write_pending)
    return;
  c->write_pending = false;
  if (result == RO_WRITE_RESULT_OK)
    {
      c->state = c->written;
      c->revision = revision;
      return;
    }
  c->record_valid = false;
  c->revision = 0;
}

static ro_action
_ro_write (ro_controller *c, const ro_inputs *in, ro_state next)
{
  ro_action a = { .kind = RO_WRITE_STATE };
  next.fence = in->fence;
  next.step = c->state.step + 1;
  if (next.share_permille != c->state.share_permille
      || next.share_high_permille != c->state.share_high_permille)
    next.share_step = next.step;
  a.state = next;
  a.fence = in->fence;
  a.expected_revision = c->revision;
  c->written = next;
  c->write_pending = true;
  return a;
}

static ro_action
_ro_roll_back (ro_controller *c, const ro_inputs *in, ro_reason reason)
{
  ro_state next = c->state;
  next.phase = RO_ROLLED_BACK;
  next.share_permille = 0;
  next.share_high_permille = 0;
  next.reason = reason;
  return _ro_write (c, in, next);
}

static ro_reason
_ro_reason_of (const ev_reason *r)
{
  ro_reason reason = { .load = r->load, .route = r->route };
  switch (r->kind)
    {
    case EV_FAILURE:
      reason.kind = RO_REASON_FAILURE;
      break;
    case EV_SLOW_FIRST_TOKEN:
      reason.kind = RO_REASON_SLOW_FIRST_TOKEN;
      break;
    case EV_SLOW_INTER_TOKEN:
      reason.kind = RO_REASON_SLOW_INTER_TOKEN;
      break;
    case EV_KINDS:
      break;
    }
  return reason;
}

/* True when the evidence or a halt shows that the version is bad; fills
   REASON.  */
static bool
_ro_is_bad (const ro_inputs *in, ro_reason *reason)
{
  if (in->evidence != NULL)
    {
      ev_result merged = ev_query_merged (in->evidence);
      ev_result local = ev_query_local (in->evidence);
      if (merged.verdict == EV_BAD || local.verdict == EV_BAD)
        {
          *reason = _ro_reason_of (merged.verdict == EV_BAD ? &merged.reason
                                                            : &local.reason);
          return true;
        }
    }
  if (in->halted)
    {
      *reason = in->halt_reason;
      if (reason->kind == RO_REASON_NONE)
        reason->kind = RO_REASON_HALTED;
      return true;
    }
  return false;
}

static int
_ro_rung (const ro_state *state)
{
  int rung = -1;
  for (int i = 0; i < RO_RUNGS; i++)
    if (state->share_permille >= _ro_rung_permille[i])
      rung = i;
  return rung;
}

/* Time to the deadline in microseconds, without the reserve.  */
static uint64_t
_ro_time_left_us (const ro_controller *c, const ro_inputs *in)
{
  if (in->wall_ms >= c->state.deadline_ms)
    return 0;
  uint64_t left_us = (c->state.deadline_ms - in->wall_ms) * 1000;
  return left_us > c->reserve_us ? left_us - c->reserve_us : 0;
}

/* Sets how long the current rung lasts.  */
static void
_ro_plan_rung (ro_controller *c, const ro_inputs *in, int rung)
{
  if (c->rung_step == c->state.share_step && c->rung_until_us != 0)
    return;
  uint64_t weights = 0;
  for (int i = rung; i < RO_RUNGS; i++)
    weights += _ro_rung_time_weights[i];
  uint64_t left_us = _ro_time_left_us (c, in);
  uint64_t duration_us
      = weights > 0 ? left_us / weights * _ro_rung_time_weights[rung] : 0;
  if (duration_us < c->min_rung_us)
    duration_us = c->min_rung_us;
  c->rung_step = c->state.share_step;
  c->rung_began_us = in->now_us;
  c->rung_until_us = in->now_us + duration_us;
}

typedef enum
{
  _RO_WAIT,
  _RO_PASS,
  _RO_ROLL_BACK
} _ro_decision;

/* Decides whether the evidence of this rung lets the low level's share rise.
   At LATEST_US the share has to rise to meet the deadline.  */
static _ro_decision
_ro_decide_low (const ro_inputs *in, uint64_t latest_us)
{
  if (in->evidence == NULL)
    return _RO_WAIT;
  ev_progress p
      = ev_query_progress (in->evidence, EV_LOAD_LOW, in->now_us, latest_us);
  bool late = in->now_us >= latest_us;
  if (p.undecided > 0)
    {
      if (!late)
        return _RO_WAIT;
      return p.inconclusive > 0 ? _RO_ROLL_BACK : _RO_PASS;
    }
  if (p.sparse > 0 && !p.sparse_passed && !late)
    return _RO_WAIT;
  if (p.route_tests == 0 && !late)
    return _RO_WAIT;
  return _RO_PASS;
}

/* Whether the test passes at high load in this rung.  */
static bool
_ro_high_passed (const ro_inputs *in)
{
  if (in->evidence == NULL)
    return false;
  ev_progress p
      = ev_query_progress (in->evidence, EV_LOAD_HIGH, in->now_us, UINT64_MAX);
  return p.route_tests > 0 && p.passed == p.route_tests;
}

static uint16_t
_ro_next_high_share (const ro_state *state, uint16_t share, bool passed)
{
  uint16_t high = state->share_high_permille;
  uint16_t limit = share < _RO_UNDECIDED_MAX_PERMILLE
                       ? share
                       : _RO_UNDECIDED_MAX_PERMILLE;
  if (high < limit)
    return limit;
  if (!passed)
    return high;
  for (int i = 0; i < RO_RUNGS; i++)
    if (_ro_rung_permille[i] > high)
      return _ro_rung_permille[i] < share ? _ro_rung_permille[i] : share;
  return high;
}

static const ro_action _ro_nothing = { .kind = RO_NOTHING };

/* Moves from loading to the first rung, once enough weights are loaded.  */
static ro_action
_ro_start_first_rung (ro_controller *c, const ro_inputs *in)
{
  uint64_t min_ramp_us = c->min_rung_us * (RO_RUNGS - 1);
  if (_ro_time_left_us (c, in) < min_ramp_us)
    return _ro_roll_back (c, in, (ro_reason){ .kind = RO_REASON_DEADLINE });
  if (in->loaded_permille < _ro_rung_permille[0])
    return _ro_nothing;
  ro_state next = c->state;
  next.phase = RO_RUNNING;
  next.share_permille = _ro_rung_permille[0];
  next.share_high_permille = _ro_rung_permille[0];
  return _ro_write (c, in, next);
}

/* True when high load delays the rise.  The first rung waits for it; later
   ones only when it occurs, because its own share is limited.  */
static bool
_ro_high_load_delays (const ro_inputs *in, int rung, uint64_t latest_us)
{
  if (in->evidence == NULL || in->now_us >= latest_us)
    return false;
  ev_progress p
      = ev_query_progress (in->evidence, EV_LOAD_HIGH, in->now_us, latest_us);
  if (p.route_tests == 0)
    return rung == 0;
  return p.undecided > 0 || (p.sparse > 0 && !p.sparse_passed);
}

/* Moves one rung up, when time and evidence allow.  */
static ro_action
_ro_raise_share (ro_controller *c, const ro_inputs *in)
{
  int rung = _ro_rung (&c->state);
  if (rung < 0)
    rung = 0;
  if (rung >= RO_RUNGS - 1)
    return _ro_nothing;
  _ro_plan_rung (c, in, rung);
  uint64_t left_us = _ro_time_left_us (c, in);
  uint64_t min_ramp_us = c->min_rung_us * (uint64_t)(RO_RUNGS - 2 - rung);
  if (left_us + c->reserve_us <= min_ramp_us)
    return _ro_roll_back (c, in, (ro_reason){ .kind = RO_REASON_DEADLINE });
  uint64_t latest_us = left_us > min_ramp_us
                           ? in->now_us + (left_us - min_ramp_us)
                           : in->now_us;
  if (in->now_us < c->rung_began_us + c->min_rung_us)
    return _ro_nothing;
  if (in->now_us < c->rung_until_us && in->now_us < latest_us)
    return _ro_nothing;
  uint16_t share = _ro_rung_permille[rung + 1];
  if (in->loaded_permille < share)
    return _ro_nothing;
  switch (_ro_decide_low (in, latest_us))
    {
    case _RO_WAIT:
      return _ro_nothing;
    case _RO_ROLL_BACK:
      return _ro_roll_back (c, in, (ro_reason){ .kind = RO_REASON_DEADLINE });
    case _RO_PASS:
      break;
    }
  if (_ro_high_load_delays (in, rung, latest_us))
    return _ro_nothing;
  ro_state next = c->state;
  next.share_permille = share;
  next.share_high_permille
      = _ro_next_high_share (&c->state, share, _ro_high_passed (in));
  if (share == _RO_ALL_PERMILLE)
    {
      next.phase = RO_DONE;
      next.watch_until_ms = in->wall_ms + c->watch_ms;
    }
  return _ro_write (c, in, next);
}

/* After 100%, only the share at high load can still rise.  */
static ro_action
_ro_watch (ro_controller *c, const ro_inputs *in)
{
  if (c->state.share_high_permille >= _RO_ALL_PERMILLE
      || !_ro_high_passed (in))
    return _ro_nothing;
  ro_state next = c->state;
  next.share_high_permille
      = _ro_next_high_share (&c->state, _RO_ALL_PERMILLE, true);
  return _ro_write (c, in, next);
}

static bool
_ro_is_active (const ro_state *state, uint64_t wall_ms)
{
  switch (state->phase)
    {
    case RO_LOADING:
    case RO_RUNNING:
      return true;
    case RO_DONE:
      return wall_ms < state->watch_until_ms;
    case RO_NONE:
    case RO_ROLLED_BACK:
      return false;
    }
  return false;
}

/* Returns the lease action that is due, or RO_NOTHING.  */
static ro_action
_ro_lease (ro_controller *c, const ro_inputs *in)
{
  ro_action a = _ro_nothing;
  if (in->now_us < c->next_lease_us)
    return a;
  if (!in->lease_held || in->now_us >= in->lease_until_us)
    {
      if (in->candidate)
        a.kind = RO_ACQUIRE_LEASE;
    }
  else if (in->now_us + c->renew_before_us >= in->lease_until_us)
    a.kind = RO_RENEW_LEASE;
  if (a.kind != RO_NOTHING)
    c->next_lease_us = in->now_us + _RO_LEASE_RETRY_US;
  return a;
}

/* Decides the next action.  Call it every 100 to 500 ms and after each
   result.  */
ro_action
ro_tick (ro_controller *c, const ro_inputs *in)
{
  ro_action a = _ro_nothing;
  ro_reason reason = { 0 };
  bool active = c->has_state && _ro_is_active (&c->state, in->wall_ms);
  bool bad = active && _ro_is_bad (in, &reason);
  if (bad && in->now_us >= c->next_halt_us)
    {
      c->next_halt_us = in->now_us + _RO_HALT_INTERVAL_US;
      a.kind = RO_BROADCAST_HALT;
      a.state = c->state;
      a.state.reason = reason;
      return a;
    }
  if (!in->store_ok || c->write_pending || c->read_pending)
    return a;
  if (!c->record_valid)
    {
      c->read_pending = true;
      a.kind = RO_READ_STATE;
      return a;
    }
  if (!active)
    return a;
  a = _ro_lease (c, in);
  if (a.kind != RO_NOTHING)
    return a;
  if (!in->lease_held || in->now_us + c->write_margin_us >= in->lease_until_us
      || in->fence < c->state.fence)
    return a;
  if (in->fence > c->state.fence)
    return _ro_write (c, in, c->state);
  if (bad)
    return _ro_roll_back (c, in, reason);
  if (in->load != NULL && c->state.phase != RO_DONE
      && st_equal (st_name_str (&in->load->version),
                   st_name_str (&c->state.to))
      && in->now_us >= c->next_load_us)
    {
      c->next_load_us = in->now_us + _RO_LOAD_INTERVAL_US;
      a.kind = RO_ORDER_LOAD;
      a.load = *in->load;
      a.fence = in->fence;
      a.state = c->state;
      return a;
    }
  switch (c->state.phase)
    {
    case RO_LOADING:
      return _ro_start_first_rung (c, in);
    case RO_RUNNING:
      return _ro_raise_share (c, in);
    case RO_DONE:
      return _ro_watch (c, in);
    case RO_NONE:
    case RO_ROLLED_BACK:
      break;
    }
  return a;
}
