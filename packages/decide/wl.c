#include "wl.h"

#include <string.h>

#define _WL_DEFAULT_RATE 1000000000ull
#define _WL_DEFAULT_TIMEOUT_US 30000000
#define _WL_DEFAULT_RETRY_US 5000000
#define _WL_DEFAULT_ENGINES 256
#define _WL_MAX_JOBS 64

typedef struct
{
  bool loading;
  uint64_t give_up_us; /* a load that takes longer counts as failed */
  uint64_t retry_us;   /* no order before this time */
} _wl_slot;

struct wl_planner
{
  al_allocator allocator;
  uint64_t rate_bytes_per_s;
  uint64_t timeout_us;
  uint64_t retry_us;
  uint32_t max_engines;
  uint32_t loading;
  uint64_t booked_until_us; /* the store is busy with ordered loads */
  _wl_slot *slots;
};

/* Makes a planner; all memory is taken here.  */
wl_planner *
wl_make_planner (const wl_desc *desc)
{
  wl_planner *p = al_alloc (&desc->allocator, sizeof *p);
  p->allocator = desc->allocator;
  p->rate_bytes_per_s
      = desc->rate_bytes_per_s > 0 ? desc->rate_bytes_per_s : _WL_DEFAULT_RATE;
  p->timeout_us
      = desc->timeout_us > 0 ? desc->timeout_us : _WL_DEFAULT_TIMEOUT_US;
  p->retry_us = desc->retry_us > 0 ? desc->retry_us : _WL_DEFAULT_RETRY_US;
  p->max_engines
      = desc->max_engines > 0 ? desc->max_engines : _WL_DEFAULT_ENGINES;
  p->slots = al_alloc (&p->allocator, p->max_engines * sizeof (_wl_slot));
  return p;
}

/* Releases P, which may be NULL.  */
void
wl_destroy_planner (wl_planner *p)
{
  if (p == NULL)
    return;
  al_allocator al = p->allocator;
  al_free (&al, p->slots);
  al_free (&al, p);
}

/* Number of loads that are ordered and not reported.  */
uint32_t
wl_query_loading (const wl_planner *p)
{
  return p->loading;
}

/* Part of the live slots of the job's pool whose engine holds its version,
   in permille.  */
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
        if ((engines[i].holds >> job & 1) != 0)
          loaded += engines[i].slots;
      }
  return all > 0 ? (uint16_t)(loaded * 1000 / all) : 0;
}

static bool
_wl_is_loading (const wl_planner *p, uint32_t engine)
{
  return p->slots[engine].loading;
}

static void
_wl_expire (wl_planner *p, uint64_t now_us)
{
  for (uint32_t i = 0; i < p->max_engines; i++)
    if (p->slots[i].loading && now_us >= p->slots[i].give_up_us)
      wl_on_failed (p, i, now_us);
}

/* Slots of POOL that would go on serving if engine TAKEN loaded too.  */
static uint64_t
_wl_serving (const wl_planner *p, const wl_engine *engines,
             uint32_t engine_count, uint32_t pool, uint32_t taken)
{
  uint64_t slots = 0;
  for (uint32_t i = 0; i < engine_count; i++)
    if (engines[i].live && engines[i].pool == pool && engines[i].id != taken
        && engines[i].id < p->max_engines
        && !_wl_is_loading (p, engines[i].id))
      slots += engines[i].slots;
  return slots;
}

/* Engines of the job's pool that hold or load its version.  A load in
   progress counts for every job of the pool, so that a job is not given more
   engines than it wants while an order is outstanding.  */
static uint32_t
_wl_covered (const wl_planner *p, const wl_job *job, uint32_t job_index,
             const wl_engine *engines, uint32_t engine_count)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < engine_count; i++)
    if (engines[i].live && engines[i].pool == job->pool
        && engines[i].id < p->max_engines
        && ((engines[i].holds >> job_index & 1) != 0
            || _wl_is_loading (p, engines[i].id)))
      n++;
  return n;
}

static bool
_wl_better (const wl_engine *a, const wl_engine *b)
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
          || (e->holds >> job_index & 1) != 0 || _wl_is_loading (p, e->id)
          || e->free_bytes < job->bytes || now_us < p->slots[e->id].retry_us)
        continue;
      if (best != NULL && !_wl_better (e, best))
        continue;
      if (_wl_serving (p, engines, engine_count, job->pool, e->id)
          < need_slots)
        continue;
      best = e;
    }
  return best;
}

static bool
_wl_is_open (const wl_planner *p, const wl_job *jobs, uint32_t index,
             const wl_engine *engines, uint32_t engine_count)
{
  const wl_job *job = &jobs[index];
  if (job->cancelled)
    return false;
  return job->engines_wanted == 0
         || _wl_covered (p, job, index, engines, engine_count)
                < job->engines_wanted;
}

/* Next load to order, if one is due.  JOBS beyond 64 and engines with an id
   of max_engines or more are left out.  The order is booked: report its end
   with wl_on_loaded or wl_on_failed.  */
bool
wl_next_order (wl_planner *p, const wl_job *jobs, uint32_t job_count,
               const wl_engine *engines, uint32_t engine_count,
               const wl_pool *pools, uint32_t pool_count, uint64_t now_us,
               wl_order *out)
{
  _wl_expire (p, now_us);
  if (p->loading >= WL_MAX_AHEAD)
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
          || !_wl_is_open (p, jobs, j, engines, engine_count))
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
  uint64_t start = p->booked_until_us > now_us ? p->booked_until_us : now_us;
  uint64_t duration = (uint64_t)((double)jobs[chosen].bytes * 1e6
                                 / (double)p->rate_bytes_per_s);
  p->booked_until_us = start + duration;
  _wl_slot *slot = &p->slots[engine->id];
  slot->loading = true;
  slot->give_up_us = p->booked_until_us + p->timeout_us;
  p->loading++;
  out->engine = engine->id;
  out->job = chosen;
  out->expected_us = p->booked_until_us;
  return true;
}

static bool
_wl_end_load (wl_planner *p, uint32_t engine, uint64_t now_us)
{
  if (engine >= p->max_engines || !p->slots[engine].loading)
    return false;
  p->slots[engine].loading = false;
  p->loading--;
  if (p->loading == 0)
    p->booked_until_us = now_us;
  return true;
}

/* The load of ENGINE is done.  Ignored when none is outstanding.  */
void
wl_on_loaded (wl_planner *p, uint32_t engine, uint64_t now_us)
{
  _wl_end_load (p, engine, now_us);
}

/* The load of ENGINE failed; the engine gets no order for retry_us.  */
void
wl_on_failed (wl_planner *p, uint32_t engine, uint64_t now_us)
{
  if (_wl_end_load (p, engine, now_us))
    p->slots[engine].retry_us = now_us + p->retry_us;
}
