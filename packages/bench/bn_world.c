#include "bn.h"
#include "bn_engine.h"
#include "cs.h"
#include "lk.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define _BN_MS 1000ull
#define _BN_S 1000000ull
#define _BN_ENGINES 9
#define _BN_REGIONS 2
#define _BN_ARRIVALS_S 60
#define _BN_SECONDS 180 /* arrivals, and the time to finish or time out */
#define _BN_TEAMS 5
#define _BN_PREFIX_GROUPS 40 /* of callers with a common prefix */
#define _BN_TOKEN_BYTES 4
#define _BN_EVENT_BYTES 200
/* Delay until the platform's VM list shows that an engine died or started.  */
#define _BN_LIST_DELAY_US (1 * _BN_S)
#define _BN_STOP_DELAY_US (5 * _BN_MS)
#define _BN_ATTEMPTS_MAX 4

typedef enum
{
  _BN_DOTTERELBEND = 0,
  _BN_ROUND_ROBIN,
  _BN_LEAST_IN_FLIGHT,
  _BN_LEAST_REPORTED,
  _BN_POLICIES
} _bn_policy;

static const char *const _bn_policy_names[]
    = { "dotterelbend", "round_robin", "least_in_flight", "least_reported" };

typedef enum
{
  _BN_DISRUPTION_NONE = 0,
  _BN_DISRUPTION_BURST,
  _BN_DISRUPTION_SLOW_ENGINE,
  _BN_DISRUPTION_ENGINES_LOST,
  _BN_DISRUPTION_PARTITION,
  _BN_DISRUPTION_OUTAGE
} _bn_disruption;

typedef struct
{
  const char *name;
  double load; /* of capacity */
  _bn_disruption disruption;
  uint64_t disruption_from_us;
  uint64_t disruption_to_us;
  double long_fraction;    /* of requests whose prompt is 100 times longer */
  double prefix_fraction;  /* of requests that share a prefix */
  double prefix_tokens;    /* mean length of a shared prefix */
  double region0_fraction; /* of requests that arrive in region 0 */
  uint64_t report_interval_us;
  uint64_t report_lag_us;
} _bn_config;

static const _bn_config _bn_configs[] = {
  { "steady", 0.7, _BN_DISRUPTION_NONE, 0, 0, 0.0005, 0.3, 300, 0.67,
    250 * _BN_MS, 500 * _BN_MS },
  { "burst_3x", 0.6, _BN_DISRUPTION_BURST, 20 * _BN_S, 30 * _BN_S, 0.0005, 0.3,
    300, 0.67, 250 * _BN_MS, 500 * _BN_MS },
  { "overload_1_3x", 1.3, _BN_DISRUPTION_NONE, 0, 0, 0.0005, 0.3, 300, 0.67,
    250 * _BN_MS, 500 * _BN_MS },
  { "long_requests", 0.7, _BN_DISRUPTION_NONE, 0, 0, 0.01, 0.3, 300, 0.67,
    250 * _BN_MS, 500 * _BN_MS },
  { "stale_reports", 0.8, _BN_DISRUPTION_NONE, 0, 0, 0.0005, 0.3, 300, 0.67,
    1 * _BN_S, 3 * _BN_S },
  { "silent_slow_engine", 0.7, _BN_DISRUPTION_SLOW_ENGINE, 15 * _BN_S,
    35 * _BN_S, 0.0005, 0.3, 300, 0.67, 250 * _BN_MS, 500 * _BN_MS },
  { "third_of_engines_lost", 0.75, _BN_DISRUPTION_ENGINES_LOST, 20 * _BN_S,
    35 * _BN_S, 0.0005, 0.3, 300, 0.67, 250 * _BN_MS, 500 * _BN_MS },
  { "link_cut", 0.6, _BN_DISRUPTION_PARTITION, 20 * _BN_S, 35 * _BN_S, 0.0005,
    0.3, 300, 0.5, 250 * _BN_MS, 500 * _BN_MS },
  { "callers_back_at_once", 0.6, _BN_DISRUPTION_OUTAGE, 15 * _BN_S, 25 * _BN_S,
    0.0005, 0.3, 300, 0.67, 250 * _BN_MS, 500 * _BN_MS },
  { "prefix_heavy", 0.9, _BN_DISRUPTION_NONE, 0, 0, 0.0005, 0.85, 1500, 0.67,
    250 * _BN_MS, 500 * _BN_MS },
};

/* Three hardware generations.  Engines 0 to 5 are in region 0.  */
typedef struct
{
  uint32_t slots;
  double us_per_prompt_token;
  double iteration_us;
  double us_per_stream;
} _bn_generation;

static const _bn_generation _bn_generations[] = {
  { 32, 40, 9000, 250 },
  { 24, 75, 13000, 400 },
  { 16, 140, 18000, 600 },
};

typedef enum
{
  _BN_NEW = 0,
  _BN_QUEUED,  /* in the queue of a cell */
  _BN_SENT,    /* on an engine */
  _BN_STOPPED, /* being removed from an engine */
  _BN_ANSWERED,
  _BN_TIMED_OUT, /* by the caller, at the deadline */
  _BN_SHED,      /* refused, and not retried */
  _BN_UNKNOWN    /* the engine or the link failed */
} _bn_state;

typedef struct
{
  bn_work work;
  _bn_state state;
  uint64_t handle;
  uint64_t ready_us; /* arrival, retry by the caller, or end of the stop */
  uint64_t first_by_us;
  uint64_t sent_us;
  uint32_t engine;
  uint32_t cell;
  uint32_t generation;
  uint32_t attempts;
  id_handle resume_of;
  uint32_t retained_on; /* engine + 1 that retains the stopped stream */
  bool remote_tried;
  bool transferred;
  bool good;
  bool shed_unfairly;
} _bn_req;

typedef struct
{
  uint64_t time_us;
  uint32_t running, queued;
} _bn_load;

typedef struct
{
  uint64_t time_us;
  uint64_t hash;
  uint32_t engine;
  bool added;
} _bn_cache_event;

#define _BN_REPORTS_MAX 64

typedef struct
{
  const _bn_config *config;
  _bn_policy policy;
  GRand *random;
  uint64_t now_us;
  bn_engine engines[_BN_ENGINES];
  bn_work *work; /* of each request, for the engines */
  _bn_req *reqs;
  uint32_t count;
  uint32_t next; /* arrival */
  GArray *due;   /* requests to retry or to resume */
  cs_cell *cells[_BN_REGIONS];
  lk_link link;
  id_handle ids[_BN_ENGINES];
  uint32_t in_flight[_BN_ENGINES];
  _bn_load loads[_BN_ENGINES][_BN_REPORTS_MAX];
  uint32_t loads_reported[_BN_ENGINES];
  uint32_t loads_applied[_BN_ENGINES];
  GArray *cache_events;
  guint cache_events_applied;
  uint32_t rotation;
  uint64_t cross_region_bytes;
  uint64_t prefill_tokens;
  uint64_t prefill_wasted;
  uint32_t urgent_shed;
  uint32_t stop_count;
  bool link_up;
} _bn_world;

static FILE *_bn_trace;

/* Sets the file that gets a line for each request that missed its targets;
   NULL disables this.  */
void
bn_set_trace (FILE *out)
{
  _bn_trace = out;
}

static uint64_t
_bn_block_hash (uint64_t group, uint64_t block)
{
  return (group + 1) * 1000003 + (block + 1) * 7919;
}

static double
_bn_exponential (GRand *random, double mean)
{
  return -mean * log (1 - g_rand_double (random));
}

static double
_bn_normal (GRand *random)
{
  double u = 1 - g_rand_double (random), v = g_rand_double (random);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * v);
}

static const _bn_config *
_bn_find_config (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (_bn_configs); i++)
    if (strcmp (_bn_configs[i].name, name) == 0)
      return &_bn_configs[i];
  return NULL;
}

static const _bn_generation *
_bn_generation_of (uint32_t engine)
{
  return &_bn_generations[engine % 3];
}

/* Requests per second of this mix that the engines can serve, with batches
   three quarters full and half of the shared prefixes in the cache.  */
static double
_bn_capacity (const _bn_config *c, double prompt, double answer)
{
  double rate = 0;
  prompt += c->long_fraction * 99 * prompt;
  prompt -= 0.5 * c->prefix_fraction * c->prefix_tokens;
  for (uint32_t i = 0; i < _BN_ENGINES; i++)
    {
      const _bn_generation *g = _bn_generation_of (i);
      double chunks = prompt / BN_PREFILL_CHUNK_TOKENS;
      double us
          = prompt * g->us_per_prompt_token
            + answer * (g->iteration_us / (0.75 * g->slots) + g->us_per_stream)
            + chunks * g->iteration_us * 0.25;
      rate += 1e6 / us;
    }
  return rate;
}

#define _BN_PROMPT_MEAN 500.0
#define _BN_ANSWER_MEAN 100.0

static void
_bn_make_request (const _bn_config *c, GRand *random, uint64_t at_us,
                  _bn_req *r)
{
  static const double tier_fraction[BN_TIERS]
      = { 0.15, 0.15, 0.3, 0.25, 0.15 };
  static const uint64_t slack_us[BN_TIERS]
      = { 1 * _BN_S, 2 * _BN_S, 10 * _BN_S, 30 * _BN_S, 60 * _BN_S };
  *r = (_bn_req){ 0 };
  bn_work *w = &r->work;
  double x = g_rand_double (random);
  while (w->tier < BN_TIERS - 1 && x >= tier_fraction[w->tier])
    x -= tier_fraction[w->tier++];
  w->team = (uint32_t)g_rand_int_range (random, 0, _BN_TEAMS);
  w->region = g_rand_double (random) >= c->region0_fraction;
  /* Log-normal with mean 1 and sigma 0.8.  */
  double size = exp (0.8 * _bn_normal (random) - 0.32);
  double prompt = _BN_PROMPT_MEAN * size;
  if (g_rand_double (random) < c->prefix_fraction)
    {
      uint32_t group
          = (uint32_t)g_rand_int_range (random, 0, _BN_PREFIX_GROUPS);
      double shared = c->prefix_tokens * (0.5 + (group % 5) * 0.25);
      for (uint32_t b = 0; b < BN_PREFIX_BLOCKS_MAX; b++)
        {
          w->blocks[b] = _bn_block_hash (group, b);
          w->block_tokens[b]
              = (uint32_t)(shared * (b + 1) / BN_PREFIX_BLOCKS_MAX);
        }
      prompt = shared + prompt * 0.4;
    }
  else if (g_rand_double (random) < c->long_fraction)
    prompt = _BN_PROMPT_MEAN * 100;
  w->prompt_tokens = 16 + (uint32_t)prompt;
  double answer = _bn_exponential (random, _BN_ANSWER_MEAN);
  w->output_tokens = 1 + (uint32_t)(answer < 600 ? answer : 600);
  double expected_ratio = 0.7 + 0.6 * g_rand_double (random);
  w->expected_tokens = 1 + (uint32_t)(w->output_tokens * expected_ratio);
  /* The deadline adds 38 ms per output token and, for long prompts, the time
     of the prefill on an engine of the middle generation.  */
  uint64_t prefill_us = (uint64_t)w->prompt_tokens * 100;
  w->arrival_us = r->ready_us = at_us;
  w->deadline_us = at_us + slack_us[w->tier] + w->output_tokens * 38000ull
                   + (prefill_us > _BN_S ? prefill_us : 0);
  r->first_by_us = at_us + BN_FIRST_TOKEN_TARGET_US;
}

static int
_bn_by_time (gconstpointer a, gconstpointer b)
{
  const _bn_req *x = a, *y = b;
  return x->ready_us < y->ready_us ? -1 : x->ready_us > y->ready_us;
}

/* Arrivals of one seed, the same for every policy.  */
static GArray *
_bn_make_arrivals (const _bn_config *c, uint64_t seed)
{
  GRand *random = g_rand_new_with_seed ((guint32)seed);
  GArray *list = g_array_new (FALSE, TRUE, sizeof (_bn_req));
  double prompt = _BN_PROMPT_MEAN * (1 - c->prefix_fraction * 0.6)
                  + c->prefix_fraction * c->prefix_tokens;
  double rate = c->load * _bn_capacity (c, prompt, _BN_ANSWER_MEAN);
  double at_us = 0;
  for (;;)
    {
      bool burst = c->disruption == _BN_DISRUPTION_BURST
                   && at_us >= (double)c->disruption_from_us
                   && at_us < (double)c->disruption_to_us;
      at_us += _bn_exponential (random, 1e6 / (burst ? 3 * rate : rate));
      if (at_us >= _BN_ARRIVALS_S * 1e6)
        break;
      uint64_t when = (uint64_t)at_us;
      /* The callers of an outage retry within 100 ms of its end.  */
      if (c->disruption == _BN_DISRUPTION_OUTAGE
          && when >= c->disruption_from_us && when < c->disruption_to_us)
        when = c->disruption_to_us
               + (uint64_t)g_rand_int_range (random, 0, 100000);
      _bn_req r;
      _bn_make_request (c, random, when, &r);
      g_array_append_val (list, r);
    }
  g_array_sort (list, _bn_by_time);
  g_rand_free (random);
  return list;
}

/* The part of the simulation that all policies share.  */

static uint32_t
_bn_region_of (uint32_t engine)
{
  return engine >= 6;
}

static uint64_t
_bn_transfer_bytes (const bn_work *w)
{
  return (uint64_t)w->prompt_tokens * _BN_TOKEN_BYTES
         + (uint64_t)w->output_tokens * _BN_EVENT_BYTES;
}

static bool
_bn_reachable (const _bn_world *world, const _bn_req *r, uint32_t engine)
{
  return !world->engines[engine].dead
         && (world->link_up || _bn_region_of (engine) == r->work.region);
}

static void
_bn_trace_miss (const _bn_world *world, uint32_t i, const char *what)
{
  const _bn_req *r = &world->reqs[i];
  const bn_work *w = &world->work[i];
  if (_bn_trace == NULL)
    return;
  fprintf (
      _bn_trace,
      "%s %s t=%.3f arrived=%.3f req=%u tier=%u region=%u prompt=%u answer=%u "
      "engine=%u sent=%.3f first=%.3f %s waiting=%u,%u running=%u,%u\n",
      world->config->name, _bn_policy_names[world->policy],
      (double)world->now_us / 1e6, (double)w->arrival_us / 1e6, i, w->tier,
      w->region, w->prompt_tokens, w->output_tokens, r->engine,
      r->sent_us > 0 ? ((double)r->sent_us - (double)w->arrival_us) / 1e6
                     : -1.0,
      w->first_us > 0 ? ((double)w->first_us - (double)w->arrival_us) / 1e6
                      : -1.0,
      what, world->cells[0] ? cs_query_waiting (world->cells[0], 0) : 0,
      world->cells[1] ? cs_query_waiting (world->cells[1], 0) : 0,
      world->cells[0] ? cs_query_running (world->cells[0], 0) : 0,
      world->cells[1] ? cs_query_running (world->cells[1], 0) : 0);
}

static bool _bn_lower_tier_runs (const _bn_world *world, const _bn_req *r);

/* Ends the request without a response: its prefill was wasted.  */
static void
_bn_fail_request (_bn_world *world, uint32_t i, _bn_state state)
{
  _bn_req *r = &world->reqs[i];
  r->state = state;
  world->prefill_wasted += world->work[i].prefilled_tokens;
  if (world->work[i].tier == 0 || world->work[i].prefilled_tokens > 5000)
    _bn_trace_miss (world, i,
                    state == _BN_SHED        ? "shed"
                    : state == _BN_TIMED_OUT ? "given_up"
                                             : "lost");
}

static bool
_bn_send (_bn_world *world, uint32_t i, uint32_t engine)
{
  _bn_req *r = &world->reqs[i];
  bn_work *w = &world->work[i];
  if (!_bn_reachable (world, r, engine)
      || !bn_engine_add (&world->engines[engine], i))
    return false;
  r->state = _BN_SENT;
  r->engine = engine;
  r->sent_us = world->now_us;
  world->in_flight[engine]++;
  if (_bn_region_of (engine) != w->region && !r->transferred)
    {
      r->transferred = true;
      world->cross_region_bytes += _bn_transfer_bytes (w);
    }
  return true;
}

/* Schedules a retry by the caller after DELAY_US, with a new deadline. Returns
   false when it has no attempts left or the scenario has no retries.  */
static bool
_bn_retry_by_caller (_bn_world *world, uint32_t i, uint64_t delay_us)
{
  _bn_req *r = &world->reqs[i];
  bn_work *w = &world->work[i];
  if (world->config->disruption != _BN_DISRUPTION_OUTAGE
      || ++r->attempts >= _BN_ATTEMPTS_MAX)
    return false;
  world->prefill_wasted += w->prefilled_tokens;
  world->prefill_tokens += w->prefilled_tokens;
  uint64_t slack = w->deadline_us - w->arrival_us;
  w->arrival_us = r->ready_us = world->now_us + delay_us;
  w->deadline_us = w->arrival_us + slack;
  r->first_by_us = w->arrival_us + BN_FIRST_TOKEN_TARGET_US;
  w->first_us = w->done_us = 0;
  w->produced_tokens = w->prefilled_tokens = 0;
  w->prefilled = false;
  r->state = _BN_NEW;
  r->resume_of = 0;
  r->retained_on = 0;
  r->remote_tried = false;
  r->transferred = false;
  g_array_append_val (world->due, i);
  return true;
}

/* Policy: cells, as in Dotterelbend.  */

static cs_request
_bn_make_slot_request (_bn_world *world, uint32_t i,
                       cs_prefix prefixes[BN_PREFIX_BLOCKS_MAX])
{
  const _bn_req *r = &world->reqs[i];
  const bn_work *w = &world->work[i];
  uint32_t n = 0;
  while (n < BN_PREFIX_BLOCKS_MAX && w->blocks[n] != 0)
    {
      prefixes[n] = (cs_prefix){ w->blocks[n], w->block_tokens[n] };
      n++;
    }
  uint32_t left = w->expected_tokens > w->produced_tokens
                      ? w->expected_tokens - w->produced_tokens
                      : 1;
  return (cs_request){ .request = r->handle,
                       .dispatcher = w->region,
                       .tier = w->tier,
                       .team = w->team,
                       .prompt_tokens = w->prompt_tokens + w->produced_tokens,
                       .expected_tokens = left,
                       .prefixes = prefixes,
                       .prefix_count = n,
                       .deadline_us = w->deadline_us,
                       .first_token_by_us
                       = w->first_us > 0 ? 0 : r->first_by_us,
                       .resume_of = r->resume_of };
}

static uint32_t
_bn_find_engine (const _bn_world *world, uint32_t cell, id_handle id)
{
  for (uint32_t e = 0; e < _BN_ENGINES; e++)
    if (world->ids[e] == id && _bn_region_of (e) == cell)
      return e;
  return 0;
}

static void _bn_apply_decisions (_bn_world *world, uint32_t cell);

static void
_bn_submit (_bn_world *world, uint32_t i, uint32_t cell)
{
  _bn_req *r = &world->reqs[i];
  cs_prefix prefixes[BN_PREFIX_BLOCKS_MAX];
  r->generation++;
  r->handle = (uint64_t)r->generation << 32 | (i + 1);
  r->state = _BN_QUEUED;
  r->cell = cell;
  cs_request q = _bn_make_slot_request (world, i, prefixes);
  cs_submit (world->cells[cell], &q, world->now_us);
}

/* True when the request should be sent to the other region.  REFUSED says that
   its own region refused it.  */
static bool
_bn_take_transfer (_bn_world *world, uint32_t i, bool refused)
{
  _bn_req *r = &world->reqs[i];
  const bn_work *w = &world->work[i];
  uint32_t remote = !w->region;
  if (r->resume_of != 0 || r->remote_tried)
    return false;
  cs_prefix prefixes[BN_PREFIX_BLOCKS_MAX];
  cs_request q = _bn_make_slot_request (world, i, prefixes);
  q.request = r->handle != 0 ? r->handle : 1;
  uint64_t local_us = UINT64_MAX;
  if (!refused)
    local_us = cs_query_estimate (world->cells[w->region], &q, world->now_us);
  uint64_t remote_us
      = cs_query_estimate (world->cells[remote], &q, world->now_us);
  if (remote_us == UINT64_MAX)
    return false;
  uint64_t latest_start_us
      = w->tier < 2 ? r->first_by_us
                    : w->deadline_us - w->output_tokens * 38000ull;
  if (latest_start_us <= world->now_us)
    return false;
  lk_transfer transfer = { .tier = w->tier,
                           .bytes = _bn_transfer_bytes (w),
                           .local_us = local_us,
                           .remote_us = remote_us,
                           .deadline_us = latest_start_us - world->now_us };
  return lk_take_transfer (&world->link, &transfer, world->now_us);
}

static void
_bn_dispatch_by_cell (_bn_world *world, uint32_t i)
{
  _bn_req *r = &world->reqs[i];
  uint32_t cell = world->work[i].region;
  if (r->resume_of != 0)
    cell = _bn_region_of (r->retained_on - 1);
  else if (_bn_take_transfer (world, i, false))
    {
      cell = !cell;
      r->remote_tried = true;
    }
  _bn_submit (world, i, cell);
  _bn_apply_decisions (world, cell);
}

/* True when an idle engine of the best generation could have met the deadline
   of the request when it arrived.  */
static bool
_bn_could_meet_deadline (const _bn_world *world, uint32_t i)
{
  const bn_work *w = &world->work[i];
  const _bn_generation *g = &_bn_generations[0];
  double chunks = 1 + w->prompt_tokens / (double)BN_PREFILL_CHUNK_TOKENS;
  double us = w->prompt_tokens * g->us_per_prompt_token
              + (chunks + w->output_tokens) * g->iteration_us;
  return (double)w->arrival_us + us < (double)w->deadline_us;
}

static void
_bn_on_refused (_bn_world *world, uint32_t i, const cs_decision *d)
{
  _bn_req *r = &world->reqs[i];
  bn_work *w = &world->work[i];
  uint32_t remote = !w->region;
  /* The dispatcher tries the other cell before it refuses the caller.  */
  if (r->cell == w->region && _bn_take_transfer (world, i, true))
    {
      r->remote_tried = true;
      _bn_submit (world, i, remote);
      return;
    }
  if (w->tier < 2 && _bn_could_meet_deadline (world, i)
      && _bn_lower_tier_runs (world, r))
    {
      world->urgent_shed++;
      _bn_trace_miss (world, i, "urgent_shed_refused");
    }
  if (!_bn_retry_by_caller (world, i, d->retry_after_ms * _BN_MS))
    _bn_fail_request (world, i, _BN_SHED);
}

static void
_bn_apply_decision (_bn_world *world, uint32_t cell, const cs_decision *d)
{
  uint32_t i = (uint32_t)d->request - 1;
  _bn_req *r = &world->reqs[i];
  uint32_t engine;
  switch (d->kind)
    {
    case CS_GRANT:
      engine = _bn_find_engine (world, cell, d->engine);
      if (r->retained_on != 0 && r->retained_on - 1 != engine)
        {
          /* The KV state is exported to the new engine, which retains it.  */
          bn_engine *e = &world->engines[engine];
          e->retained[e->retained_next] = i + 1;
          e->retained_next = (e->retained_next + 1) % BN_ENGINE_RETAINED_MAX;
        }
      r->resume_of = 0;
      if (!_bn_send (world, i, engine))
        {
          cs_done_info info = { .outcome = CS_NOT_ADMITTED };
          cs_done (world->cells[cell], d->request, &info, world->now_us);
          /* The engine refused the connection: request a slot again.  */
          _bn_submit (world, i, cell);
        }
      break;
    case CS_REFUSE:
      _bn_on_refused (world, i, d);
      break;
    case CS_STOP:
      bn_engine_remove (&world->engines[r->engine], world->work, i, true);
      world->in_flight[r->engine]--;
      world->stop_count++;
      r->state = _BN_STOPPED;
      r->retained_on = r->engine + 1;
      r->resume_of = d->engine;
      r->ready_us = world->now_us + _BN_STOP_DELAY_US;
      g_array_append_val (world->due, i);
      break;
    }
}

static void
_bn_apply_decisions (_bn_world *world, uint32_t cell)
{
  cs_decision d;
  (void)cell;
  for (bool any = true; any;)
    {
      any = false;
      for (uint32_t c = 0; c < _BN_REGIONS; c++)
        while (cs_next (world->cells[c], world->now_us, &d))
          {
            _bn_apply_decision (world, c, &d);
            any = true;
          }
    }
}

/* Policies: baselines.  They send at once and have no queue.  Their in-flight
   counts are exact, which several separate senders could not achieve.  */

static uint32_t
_bn_choose_for_baseline (_bn_world *world, const _bn_req *r)
{
  uint32_t best = UINT32_MAX;
  uint64_t best_load = UINT64_MAX;
  uint32_t rotation = world->rotation++;
  for (uint32_t k = 0; k < _BN_ENGINES; k++)
    {
      uint32_t e = (rotation + k) % _BN_ENGINES;
      if (!_bn_reachable (world, r, e))
        continue;
      uint64_t load = 0;
      if (world->policy == _BN_LEAST_IN_FLIGHT)
        load = world->in_flight[e];
      else if (world->policy == _BN_LEAST_REPORTED
               && world->loads_applied[e] > 0)
        {
          const _bn_load *l = &world->loads[e][(world->loads_applied[e] - 1)
                                               % _BN_REPORTS_MAX];
          load = l->running + l->queued;
        }
      if (best == UINT32_MAX || load < best_load)
        {
          best = e;
          best_load = load;
        }
    }
  return best;
}

static void
_bn_dispatch (_bn_world *world, uint32_t i)
{
  if (world->policy == _BN_DOTTERELBEND)
    {
      _bn_dispatch_by_cell (world, i);
      return;
    }
  uint32_t e = _bn_choose_for_baseline (world, &world->reqs[i]);
  if ((e == UINT32_MAX || !_bn_send (world, i, e))
      && !_bn_retry_by_caller (world, i, _BN_S))
    _bn_fail_request (world, i, _BN_SHED);
}

/* True when work of a lower tier runs on an engine that R can reach.  */
static bool
_bn_lower_tier_runs (const _bn_world *world, const _bn_req *r)
{
  for (uint32_t e = 0; e < _BN_ENGINES; e++)
    {
      const bn_engine *engine = &world->engines[e];
      if (!_bn_reachable (world, r, e))
        continue;
      for (uint32_t k = 0; k < engine->running_len; k++)
        if (world->work[engine->running[k]].tier > r->work.tier)
          return true;
    }
  return false;
}

/* Simulation steps.  */

static void
_bn_on_finished (_bn_world *world, uint32_t i)
{
  _bn_req *r = &world->reqs[i];
  bn_work *w = &world->work[i];
  r->state = _BN_ANSWERED;
  world->in_flight[r->engine]--;
  r->good = w->first_us <= r->first_by_us && w->done_us <= w->deadline_us;
  if (w->tier == 0 && !r->good)
    _bn_trace_miss (world, i, "late");
  /* Prompt tokens that were computed again after a stop.  */
  if (w->prefilled_tokens > w->prompt_tokens + 5000)
    _bn_trace_miss (world, i, "prefilled_again");
  if (w->prefilled_tokens > w->prompt_tokens)
    world->prefill_wasted += w->prefilled_tokens - w->prompt_tokens;
  if (world->policy != _BN_DOTTERELBEND)
    return;
  cs_done_info info = { .outcome = CS_ANSWERED, .tokens = w->produced_tokens };
  if (w->first_us > r->sent_us)
    {
      info.first_token_us = w->first_us - r->sent_us;
      if (w->produced_tokens > 1)
        info.itl_us = (w->done_us - w->first_us) / (w->produced_tokens - 1);
    }
  cs_done (world->cells[r->cell], r->handle, &info, world->now_us);
}

/* The caller reached its deadline and closes its connection.  */
static void
_bn_time_out (_bn_world *world, uint32_t i)
{
  _bn_req *r = &world->reqs[i];
  _bn_state state = r->state;
  bool urgent = world->work[i].tier < 2;
  if (state == _BN_QUEUED)
    cs_cancel (world->cells[r->cell], r->handle, world->now_us);
  else if (state == _BN_SENT)
    {
      bn_engine_remove (&world->engines[r->engine], world->work, i, false);
      world->in_flight[r->engine]--;
      if (world->policy == _BN_DOTTERELBEND)
        cs_done (world->cells[r->cell], r->handle,
                 &(cs_done_info){ .outcome = CS_CANCELLED }, world->now_us);
    }
  /* An urgent request without any token is counted as shed when lower-tier
     work ran.  */
  if (urgent && world->work[i].first_us == 0
      && _bn_could_meet_deadline (world, i) && _bn_lower_tier_runs (world, r))
    {
      world->urgent_shed++;
      _bn_trace_miss (world, i,
                      state == _BN_SENT ? "urgent_shed_on_engine"
                                        : "urgent_shed_in_queue");
    }
  if (!_bn_retry_by_caller (world, i, 0))
    _bn_fail_request (world, i, _BN_TIMED_OUT);
}

static void
_bn_fail_engine (_bn_world *world, uint32_t e)
{
  bn_engine_kill (&world->engines[e], world->work);
  for (uint32_t i = 0; i < world->next; i++)
    {
      _bn_req *r = &world->reqs[i];
      if (r->state != _BN_SENT || r->engine != e)
        continue;
      if (world->policy == _BN_DOTTERELBEND)
        cs_done (world->cells[r->cell], r->handle,
                 &(cs_done_info){ .outcome = CS_FAILED }, world->now_us);
      _bn_fail_request (world, i, _BN_UNKNOWN);
    }
  world->in_flight[e] = 0;
}

/* Takes the link between the regions down.  Streams over it fail; requests
   that wait in the other region are queued in their own.  */
static void
_bn_partition (_bn_world *world)
{
  world->link_up = false;
  if (world->policy == _BN_DOTTERELBEND)
    lk_set_up (&world->link, false, world->now_us);
  for (uint32_t i = 0; i < world->next; i++)
    {
      _bn_req *r = &world->reqs[i];
      if (r->state == _BN_QUEUED && r->cell != r->work.region)
        {
          cs_cancel (world->cells[r->cell], r->handle, world->now_us);
          r->state = _BN_NEW;
          _bn_submit (world, i, r->work.region);
        }
      if (r->state != _BN_SENT || _bn_region_of (r->engine) == r->work.region)
        continue;
      bn_engine_remove (&world->engines[r->engine], world->work, i, false);
      world->in_flight[r->engine]--;
      if (world->policy == _BN_DOTTERELBEND)
        cs_done (world->cells[r->cell], r->handle,
                 &(cs_done_info){ .outcome = CS_FAILED }, world->now_us);
      _bn_fail_request (world, i, _BN_UNKNOWN);
    }
}

static void
_bn_add_engine (_bn_world *world, uint32_t e)
{
  static const char *const names[_BN_ENGINES]
      = { "e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8" };
  const _bn_generation *g = _bn_generation_of (e);
  /* The initial speeds are those of the data sheet, which leave out the time
     that other streams add to an iteration.  */
  cs_engine_desc desc = { .name = st_from_cstr (names[e]),
                          .slots = g->slots,
                          .prefill_tokens_s = 1e6 / g->us_per_prompt_token,
                          .base_us = (uint64_t)g->iteration_us,
                          .itl_us = (uint64_t)g->iteration_us,
                          .itl_per_batch_us = (uint64_t)g->us_per_stream };
  world->ids[e]
      = cs_make_engine (world->cells[_bn_region_of (e)], &desc, world->now_us);
}

static void
_bn_apply_disruption (_bn_world *world)
{
  const _bn_config *c = world->config;
  uint64_t now = world->now_us;
  bool is_start = now == c->disruption_from_us && now > 0;
  bool is_end = now == c->disruption_to_us && now > 0;
  switch (c->disruption)
    {
    case _BN_DISRUPTION_SLOW_ENGINE:
      if (is_start)
        world->engines[0].slow_factor = 4;
      if (is_end)
        world->engines[0].slow_factor = 1;
      break;
    case _BN_DISRUPTION_ENGINES_LOST:
      for (uint32_t e = 0; e < _BN_ENGINES; e += 3)
        {
          uint32_t lost = e + (e / 3) % 3;
          bool is_dotterelbend = world->policy == _BN_DOTTERELBEND;
          if (is_start)
            _bn_fail_engine (world, lost);
          if (is_dotterelbend
              && now == c->disruption_from_us + _BN_LIST_DELAY_US)
            cs_destroy_engine (world->cells[_bn_region_of (lost)],
                               world->ids[lost], now);
          if (is_end)
            world->engines[lost].dead = false;
          if (is_dotterelbend
              && now == c->disruption_to_us + _BN_LIST_DELAY_US)
            _bn_add_engine (world, lost);
        }
      break;
    case _BN_DISRUPTION_PARTITION:
      if (is_start)
        _bn_partition (world);
      if (is_end)
        {
          world->link_up = true;
          if (world->policy == _BN_DOTTERELBEND)
            lk_set_up (&world->link, true, now);
        }
      break;
    default:
      break;
    }
}

static void
_bn_report_loads (_bn_world *world)
{
  const _bn_config *c = world->config;
  for (uint32_t e = 0; e < _BN_ENGINES; e++)
    {
      bn_engine *engine = &world->engines[e];
      if (engine->dead)
        continue;
      if (world->now_us % c->report_interval_us == 0)
        world->loads[e][world->loads_reported[e]++ % _BN_REPORTS_MAX]
            = (_bn_load){ world->now_us, engine->running_len,
                          engine->queue_len };
      while (world->loads_applied[e] < world->loads_reported[e])
        {
          const _bn_load *l
              = &world->loads[e][world->loads_applied[e] % _BN_REPORTS_MAX];
          if (l->time_us + c->report_lag_us > world->now_us)
            break;
          if (world->policy == _BN_DOTTERELBEND)
            {
              cs_load load = { .time_us = l->time_us,
                               .running = l->running,
                               .queued = l->queued };
              cs_set_load (world->cells[_bn_region_of (e)], world->ids[e],
                           &load, world->now_us);
            }
          world->loads_applied[e]++;
        }
    }
}

/* Delivers cache events after 300 ms; one in 50 is lost.  */
static void
_bn_report_cache (_bn_world *world)
{
  while (world->cache_events_applied < world->cache_events->len)
    {
      const _bn_cache_event *v = &g_array_index (
          world->cache_events, _bn_cache_event, world->cache_events_applied);
      if (v->time_us + 300 * _BN_MS > world->now_us)
        break;
      cs_cell *cell = world->cells[_bn_region_of (v->engine)];
      if (g_rand_int_range (world->random, 0, 50) == 0)
        cs_cache_gap (cell, world->ids[v->engine]);
      else
        cs_cache_event (cell, world->ids[v->engine], v->hash, v->added);
      world->cache_events_applied++;
    }
}

static void
_bn_step_engine (_bn_world *world, uint32_t e)
{
  bn_engine *engine = &world->engines[e];
  bn_engine_step (engine, world->work, world->now_us);
  if (world->policy == _BN_DOTTERELBEND)
    {
      for (uint32_t k = 0; k < engine->first_len; k++)
        {
          uint32_t i = engine->first[k];
          _bn_req *r = &world->reqs[i];
          if (world->work[i].first_us > r->sent_us)
            cs_first_token (world->cells[r->cell], r->handle,
                            world->work[i].first_us - r->sent_us,
                            world->now_us);
        }
      for (uint32_t k = 0; k < engine->added_len; k++)
        {
          _bn_cache_event v = { world->now_us, engine->added[k], e, true };
          g_array_append_val (world->cache_events, v);
        }
      for (uint32_t k = 0; k < engine->evicted_len; k++)
        {
          _bn_cache_event v = { world->now_us, engine->evicted[k], e, false };
          g_array_append_val (world->cache_events, v);
        }
    }
  for (uint32_t k = 0; k < engine->done_len; k++)
    _bn_on_finished (world, engine->done[k]);
}

static void
_bn_dispatch_due (_bn_world *world)
{
  for (guint k = 0; k < world->due->len;)
    {
      uint32_t i = g_array_index (world->due, uint32_t, k);
      _bn_req *r = &world->reqs[i];
      if (r->ready_us > world->now_us)
        {
          k++;
          continue;
        }
      g_array_remove_index_fast (world->due, k);
      if (r->state == _BN_STOPPED)
        {
          cs_done (world->cells[r->cell], r->handle,
                   &(cs_done_info){ .outcome = CS_STOPPED,
                                    .tokens = world->work[i].produced_tokens },
                   world->now_us);
          _bn_dispatch (world, i);
        }
      else if (r->state == _BN_NEW)
        _bn_dispatch (world, i);
    }
}

static void
_bn_step (_bn_world *world)
{
  _bn_apply_disruption (world);
  while (world->next < world->count
         && world->reqs[world->next].ready_us <= world->now_us)
    _bn_dispatch (world, world->next++);
  _bn_dispatch_due (world);
  for (uint32_t e = 0; e < _BN_ENGINES; e++)
    _bn_step_engine (world, e);
  if (world->now_us % (10 * _BN_MS) == 0)
    for (uint32_t i = 0; i < world->next; i++)
      {
        const _bn_req *r = &world->reqs[i];
        if ((r->state == _BN_QUEUED || r->state == _BN_SENT)
            && world->now_us > world->work[i].deadline_us)
          _bn_time_out (world, i);
      }
  _bn_report_loads (world);
  if (world->policy != _BN_DOTTERELBEND)
    return;
  _bn_report_cache (world);
  if (world->now_us % (50 * _BN_MS) == 0)
    for (uint32_t c = 0; c < _BN_REGIONS; c++)
      cs_tick (world->cells[c], world->now_us);
  _bn_apply_decisions (world, 0);
}

/* Figures.  */

static void
_bn_add_goodput (bn_report *report, const _bn_world *world, uint64_t seed)
{
  const char *name = world->config->name;
  const char *policy = _bn_policy_names[world->policy];
  for (uint32_t t = 0; t < BN_TIERS; t++)
    {
      uint32_t offered = 0, good = 0, in_deadline = 0;
      char metric[32];
      for (uint32_t i = 0; i < world->count; i++)
        {
          const _bn_req *r = &world->reqs[i];
          if (world->work[i].tier != t)
            continue;
          offered++;
          good += r->good;
          in_deadline
              += r->state == _BN_ANSWERED
                 && world->work[i].done_us <= world->work[i].deadline_us;
        }
      double n = offered > 0 ? offered : 1;
      snprintf (metric, sizeof metric, "goodput_tier%u", t);
      bn_add (report, name, policy, seed, metric, "%", 100.0 * good / n);
      snprintf (metric, sizeof metric, "in_deadline_tier%u", t);
      bn_add (report, name, policy, seed, metric, "%",
              100.0 * in_deadline / n);
    }
}

/* Fraction of the urgent requests of second S that met their targets; -1 when
   none arrived.  */
static double
_bn_goodput_in_second (const _bn_world *world, const _bn_req *arrivals,
                       uint32_t s)
{
  uint32_t offered = 0, good = 0;
  for (uint32_t i = 0; i < world->count; i++)
    if (arrivals[i].ready_us / _BN_S == s && arrivals[i].work.tier < 2)
      {
        offered++;
        good += world->reqs[i].good;
      }
  return offered > 0 ? (double)good / offered : -1;
}

/* Seconds from the end of the disruption until the urgent goodput of three
   seconds in a row is at least 95% of the goodput before it.  */
static double
_bn_recovery_s (const _bn_world *world, const _bn_req *arrivals)
{
  const _bn_config *c = world->config;
  uint32_t from = (uint32_t)(c->disruption_from_us / _BN_S);
  uint32_t to = (uint32_t)(c->disruption_to_us / _BN_S);
  double before = 0;
  uint32_t n = 0;
  for (uint32_t s = 3; s < from; s++)
    {
      double g = _bn_goodput_in_second (world, arrivals, s);
      if (g >= 0)
        {
          before += g;
          n++;
        }
    }
  before = n > 0 ? before / n : 1;
  for (uint32_t s = to; s + 3 <= _BN_ARRIVALS_S; s++)
    {
      double sum = 0;
      uint32_t k = 0;
      for (uint32_t j = s; j < s + 3; j++)
        {
          double g = _bn_goodput_in_second (world, arrivals, j);
          if (g >= 0)
            {
              sum += g;
              k++;
            }
        }
      if (k > 0 && sum / k >= 0.95 * before)
        return s - to;
    }
  return _BN_ARRIVALS_S - to;
}

static int
_bn_by_value (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

/* Adds an upper bound of the goodput of any policy.  Each request of the tier
   needs at least its uncached prefill and its decode steps, each on the engine
   that is fastest at it and with a full batch, and the total time of the
   engines is limited.  Requests whose prefill alone misses the first token
   target on the fastest engine cannot be good.  Every shared block counts as
   cached.  */
static void
_bn_add_bound (bn_report *report, const _bn_config *c, const GArray *arrivals,
               uint64_t seed)
{
  const _bn_generation *best = &_bn_generations[0];
  for (uint32_t t = 0; t < BN_TIERS; t++)
    {
      GArray *needs_us = g_array_new (FALSE, FALSE, sizeof (double));
      uint32_t offered = 0;
      uint64_t last_us = 0;
      for (guint i = 0; i < arrivals->len; i++)
        {
          const _bn_req *r = &g_array_index (arrivals, _bn_req, i);
          const bn_work *w = &r->work;
          if (w->tier != t)
            continue;
          offered++;
          uint32_t cached = 0;
          for (int b = 0; b < BN_PREFIX_BLOCKS_MAX && w->blocks[b] != 0; b++)
            cached = w->block_tokens[b];
          uint32_t tokens
              = w->prompt_tokens > cached ? w->prompt_tokens - cached : 0;
          double prefill = tokens * best->us_per_prompt_token;
          if (prefill > BN_FIRST_TOKEN_TARGET_US)
            continue;
          double need_us = prefill
                           + w->output_tokens
                                 * (best->iteration_us / best->slots
                                    + best->us_per_stream);
          g_array_append_val (needs_us, need_us);
          last_us = w->deadline_us > last_us ? w->deadline_us : last_us;
        }
      g_array_sort (needs_us, _bn_by_value);
      double available_us = (double)last_us * _BN_ENGINES;
      if (c->disruption == _BN_DISRUPTION_ENGINES_LOST)
        available_us
            -= (double)(c->disruption_to_us - c->disruption_from_us) * 3;
      uint32_t good = 0;
      for (guint i = 0; i < needs_us->len; i++)
        {
          available_us -= g_array_index (needs_us, double, i);
          good += available_us >= 0;
        }
      char metric[32];
      snprintf (metric, sizeof metric, "goodput_tier%u", t);
      bn_add (report, c->name, "upper_bound", seed, metric, "%",
              offered > 0 ? 100.0 * good / offered : 100);
      g_array_free (needs_us, TRUE);
    }
}

static void
_bn_setup_world (_bn_world *world, const _bn_config *c, _bn_policy policy,
                 const GArray *arrivals, uint64_t seed)
{
  memset (world, 0, sizeof *world);
  world->config = c;
  world->policy = policy;
  world->random = g_rand_new_with_seed ((guint32)(seed + 1000));
  world->count = arrivals->len;
  world->reqs = g_new0 (_bn_req, arrivals->len);
  world->work = g_new0 (bn_work, arrivals->len);
  memcpy (world->reqs, arrivals->data, arrivals->len * sizeof (_bn_req));
  for (uint32_t i = 0; i < world->count; i++)
    world->work[i] = world->reqs[i].work;
  world->due = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  world->cache_events = g_array_new (FALSE, FALSE, sizeof (_bn_cache_event));
  world->link_up = true;
  for (uint32_t e = 0; e < _BN_ENGINES; e++)
    {
      const _bn_generation *g = _bn_generation_of (e);
      world->engines[e]
          = (bn_engine){ .region = _bn_region_of (e),
                         .slots = g->slots,
                         .us_per_prompt_token = g->us_per_prompt_token,
                         .iteration_us = g->iteration_us,
                         .us_per_stream = g->us_per_stream,
                         .slow_factor = 1 };
    }
  if (policy != _BN_DOTTERELBEND)
    return;
  lk_setup (&world->link, &(lk_desc){ 0 }, 0);
  for (uint32_t i = 0; i < _BN_REGIONS; i++)
    world->cells[i] = cs_make (&(cs_desc){ .max_waiting = 2048 });
  for (uint32_t e = 0; e < _BN_ENGINES; e++)
    _bn_add_engine (world, e);
}

static void
_bn_shutdown_world (_bn_world *world)
{
  for (uint32_t i = 0; i < _BN_REGIONS; i++)
    cs_destroy (world->cells[i]);
  g_array_free (world->cache_events, TRUE);
  g_array_free (world->due, TRUE);
  g_free (world->work);
  g_free (world->reqs);
  g_rand_free (world->random);
}

/* Runs the placement scenario NAME under every policy.  */
void
bn_run_placement (bn_report *report, const char *name, uint64_t seed)
{
  const _bn_config *c = _bn_find_config (name);
  if (c == NULL)
    return;
  GArray *arrivals = _bn_make_arrivals (c, seed);
  _bn_world *world = g_new (_bn_world, 1);
  for (_bn_policy p = _BN_DOTTERELBEND; p < _BN_POLICIES; p++)
    {
      _bn_setup_world (world, c, p, arrivals, seed);
      for (uint64_t ms = 0; ms < _BN_SECONDS * 1000ull; ms++)
        {
          world->now_us = ms * _BN_MS;
          _bn_step (world);
        }
      const char *policy = _bn_policy_names[p];
      for (uint32_t i = 0; i < world->count; i++)
        world->prefill_tokens += world->work[i].prefilled_tokens;
      _bn_add_goodput (report, world, seed);
      double all
          = world->prefill_tokens > 0 ? (double)world->prefill_tokens : 1;
      bn_add (report, name, policy, seed, "prefill_wasted", "%",
              100.0 * (double)world->prefill_wasted / all);
      bn_add (report, name, policy, seed, "cross_region", "bytes",
              (double)world->cross_region_bytes);
      bn_add (report, name, policy, seed, "urgent_shed", "requests",
              world->urgent_shed);
      bn_add (report, name, policy, seed, "stops", "requests",
              world->stop_count);
      if (c->disruption != _BN_DISRUPTION_NONE)
        bn_add (report, name, policy, seed, "recovery", "s",
                _bn_recovery_s (world, (const _bn_req *)arrivals->data));
      _bn_shutdown_world (world);
    }
  _bn_add_bound (report, c, arrivals, seed);
  g_free (world);
  g_array_free (arrivals, TRUE);
}
