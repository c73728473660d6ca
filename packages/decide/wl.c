#include "wl.h"

#include <string.h>

#define _WL_DEFAULT_RATE_BYTES_PER_S 1000000000ull
#define _WL_DEFAULT_TIMEOUT_US 30000000
#define _WL_DEFAULT_RETRY_US 5000000
#define _WL_DEFAULT_ENGINES 256
#define _WL_MAX_JOBS 64

typedef struct
{
  bool loading;
  uint64_t timeout_at_us; /* an unreported load fails at this time */
  uint64_t retry_at_us;   /* no order before this time */
} _wl_engine_state;

struct wl_planner
{
  al_allocator allocator;
  uint64_t rate_bytes_per_s;
  uint64_t timeout_us;
  uint64_t retry_us;
  uint32_t max_engines;
  uint32_t loading;
  uint64_t store_busy_until_us; /* expected end of all orders */
  _wl_engine_state *engines;
};

/* Makes a planner; all memory is allocated here.  */
wl_planner *
wl_make_planner (const wl_desc *desc)
{
  wl_planner *p = al_alloc (&desc->allocator, sizeof *p);
  p->allocator = desc->allocator;
  p->rate_bytes_per_s = desc->rate_bytes_per_s > 0
                            ? desc->rate_bytes_per_s
                            : _WL_DEFAULT_RATE_BYTES_PER_S;
  p->timeout_us
      = desc->timeout_us > 0 ? desc->timeout_us : _WL_DEFAULT_TIMEOUT_US;
  p->retry_us = desc->retry_us > 0 ? desc->retry_us : _WL_DEFAULT_RETRY_US;
  p->max_engines
      = desc->max_engines > 0 ? desc->max_engines : _WL_DEFAULT_ENGINES;
  p->engines
      = al_alloc (&p->allocator, p->max_engines * sizeof (_wl_engine_state));
  return p;
}

/* Releases P, which may be NULL.  */
void
wl_destroy_planner (wl_planner *p)
{
  if (p == NULL)
    return;
  al_allocator al = p->allocator;
  al_free (&al, p->engines);
  al_free (&al, p);
}

/* Number of outstanding orders, at most WL_OUTSTANDING_MAX.  */
uint32_t
wl_query_loading (const wl_planner *p)
{
  return p->loading;
}

/* Fraction of the live slots of the job's pool whose engine has loaded its
   version, in permille.  0 when JOB is 64 or more.  */
uint16_t
wl_query_loaded_permille (const wl_job *jobs, uint32_t job,
                          const wl_engine *engines, uint32_t engine_count)
{
  uint64_t all = 0;
  uint64_t loaded = 0;
  if (job >= _WL_MAX_JOBS)
    return 0;
  for (uint32_t i = 0; i < engine_count; i++)
    if (engines[i].live && engines[i].pool == jobs[job].pool)
      {
        all += engines[i].slots;
        if ((engines[i].loaded_jobs >> job & 1) != 0)
          loaded += engines[i].slots;
      }
  return all > 0 ? (uint16_t)(loaded * 1000 / all) : 0;
}

static bool
_wl_is_loading (const wl_planner *p, uint32_t engine)
{
  return p->engines[engine].loading;
}

static void
_wl_expire (wl_planner *p, uint64_t now_us)
{
  for (uint32_t i = 0; i < p->max_engines; i++)
    if (p->engines[i].loading && now_us >= p->engines[i].timeout_at_us)
      wl_on_failed (p, i, now_us);
}

/* Slots of the live engines of POOL that are not loading, without those of
   engine EXCLUDED.  */
static uint64_t
_wl_serving_slots (const wl_planner *p, const wl_engine *engines,
                   uint32_t engine_count, uint32_t pool, uint32_t excluded)
{
  uint64_t slots = 0;
  for (uint32_t i = 0; i < engine_count; i++)
    if (engines[i].live && engines[i].pool == pool && engines[i].id != excluded
        && engines[i].id < p->max_engines
        && !_wl_is_loading (p, engines[i].id))
      slots += engines[i].slots;
  return slots;
}

/* Number of live engines of the job's pool that have its version or are
   loading.  A load in progress counts for every job of the pool, so that a
   job never gets more engines than engines_wanted while an order is
   outstanding.  */
static uint32_t
_wl_assigned_engines (const wl_planner *p, const wl_job *job,
                      uint32_t job_index, const wl_engine *engines,
                      uint32_t engine_count)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < engine_count; i++)
    if (engines[i].live && engines[i].pool == job->pool
        && engines[i].id < p->max_engines
        && ((engines[i].loaded_jobs >> job_index & 1) != 0
            || _wl_is_loading (p, engines[i].id)))
      n++;
  return n;
}

static bool
_wl_less_busy (const wl_engine *a, const wl_engine *b)
{
  /* Compares running / slots without division.  */
  uint64_t x = (uint64_t)a->running * (b->slots > 0 ? b->slots : 1);
  uint64_t y = (uint64_t)b->running * (a->slots > 0 ? a->slots : 1);
  if (x != y)
    return x < y;
  return a->id < b->id;
}

static const wl_engine *
_wl_pick_engine (const wl_planner *p, const wl_job *job, uint32_t job_index,
                 const wl_engine *engines, uint32_t engine_count,
                 uint32_t need_slots, uint64_t now_us)
{
  const wl_engine *best = NULL;
  for (uint32_t i = 0; i < engine_count; i++)
    {
      const wl_engine *e = &engines[i];
      if (!e->live || e->pool != job->pool || e->id >= p->max_engines
          || (e->loaded_jobs >> job_index & 1) != 0
          || _wl_is_loading (p, e->id) || e->free_bytes < job->bytes
          || now_us < p->engines[e->id].retry_at_us)
        continue;
      if (best != NULL && !_wl_less_busy (e, best))
        continue;
      if (_wl_serving_slots (p, engines, engine_count, job->pool, e->id)
          < need_slots)
        continue;
      best = e;
    }
  return best;
}

static bool
_wl_needs_engine (const wl_planner *p, const wl_job *jobs, uint32_t index,
                  const wl_engine *engines, uint32_t engine_count)
{
  const wl_job *job = &jobs[index];
  if (job->cancelled)
    return false;
  return job->engines_wanted == 0
         || _wl_assigned_engines (p, job, index, engines, engine_count)
                < job->engines_wanted;
}

/* Chooses the next load to order.  False when none is possible now.  JOBS
   beyond 64 and engines with an id of max_engines or more are ignored.  The
   order is outstanding until wl_on_loaded, wl_on_failed or its time-out.  */
bool
wl_next_order (wl_planner *p, const wl_job *jobs, uint32_t job_count,
               const wl_engine *engines, uint32_t engine_count,
               const wl_pool *pools, uint32_t pool_count, uint64_t now_us,
               wl_order *out)
{
  _wl_expire (p, now_us);
  if (p->loading >= WL_OUTSTANDING_MAX)
    return false;
  if (job_count > _WL_MAX_JOBS)
    job_count = _WL_MAX_JOBS;
  const wl_engine *engine = NULL;
  uint32_t chosen = 0;
  for (uint32_t j = 0; j < job_count; j++)
    {
      if (engine != NULL && jobs[j].deadline_us >= jobs[chosen].deadline_us)
        continue;
      if (jobs[j].pool >= pool_count
          || !_wl_needs_engine (p, jobs, j, engines, engine_count))
        continue;
      const wl_engine *e
          = _wl_pick_engine (p, &jobs[j], j, engines, engine_count,
                             pools[jobs[j].pool].need_slots, now_us);
      if (e != NULL)
        {
          engine = e;
          chosen = j;
        }
    }
  if (engine == NULL)
    return false;
  uint64_t start
      = p->store_busy_until_us > now_us ? p->store_busy_until_us : now_us;
  uint64_t duration = (uint64_t)((double)jobs[chosen].bytes * 1e6
                                 / (double)p->rate_bytes_per_s);
  p->store_busy_until_us = start + duration;
  _wl_engine_state *state = &p->engines[engine->id];
  state->loading = true;
  state->timeout_at_us = p->store_busy_until_us + p->timeout_us;
  p->loading++;
  out->engine = engine->id;
  out->job = chosen;
  out->expected_us = p->store_busy_until_us;
  return true;
}

static bool
_wl_end_load (wl_planner *p, uint32_t engine, uint64_t now_us)
{
  if (engine >= p->max_engines || !p->engines[engine].loading)
    return false;
  p->engines[engine].loading = false;
  p->loading--;
  if (p->loading == 0)
    p->store_busy_until_us = now_us;
  return true;
}

/* Reports that the load of ENGINE is done.  Ignored when none is
   outstanding.  */
void
wl_on_loaded (wl_planner *p, uint32_t engine, uint64_t now_us)
{
  _wl_end_load (p, engine, now_us);
}

/* Reports that the load of ENGINE failed; the engine gets no order for
   retry_us.  */
void
wl_on_failed (wl_planner *p, uint32_t engine, uint64_t now_us)
{
  if (_wl_end_load (p, engine, now_us))
    p->engines[engine].retry_at_us = now_us + p->retry_us;
}
