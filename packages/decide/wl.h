/* wl.h -- schedules weight loads: which engine loads which version, and when.

   Used by the rollout service, one planner for each service.  The weight
   store serves all loads at a limited rate.  Loads are ordered one after
   another, the version with the earliest deadline first, so that a load that
   is due soon does not share the rate with one that is due later.  One order
   is issued in advance, so that the store does not idle between loads; at
   most WL_OUTSTANDING_MAX orders are outstanding.

   An engine serves less while it loads.  wl_next_order therefore chooses an
   engine only if the other live engines of the pool that are not loading have
   at least need_slots slots.  Among these it chooses the engine with the
   lowest ratio of running requests to slots, which loses the least work, then
   the lowest id.  A load that does not fit into the engine's free memory is
   not ordered.

     wl_planner *p = wl_make_planner (&(wl_desc){ .rate_bytes_per_s = r });
     wl_order o;
     if (wl_next_order (p, jobs, job_count, engines, engine_count, pools,
                        pool_count, now_us, &o))
       send_order (o);
     wl_on_loaded (p, o.engine, now_us);   // or wl_on_failed  */
#ifndef WL_H
#define WL_H

#include "al.h"
#include "st.h"

#include <stdbool.h>
#include <stdint.h>

/* Outstanding orders: one that the store serves and the next one.  */
#define WL_OUTSTANDING_MAX 2

typedef struct
{
  uint64_t rate_bytes_per_s; /* of the weight store; 0 means 1 GB/s */
  uint64_t timeout_us;       /* after the expected end; 0 means 30 s */
  uint64_t retry_us;         /* delay after a failed load; 0 means 5 s */
  uint32_t max_engines;      /* 0 means 256 */
  al_allocator allocator;
} wl_desc;

/* A version that a pool needs.  */
typedef struct
{
  st_name version;
  uint32_t pool;
  uint64_t bytes;
  uint64_t deadline_us;    /* by which the engines should have it */
  uint32_t engines_wanted; /* 0 means all of the pool */
  bool cancelled;          /* rolled back or halted: no further order */
} wl_job;

typedef struct
{
  uint32_t id; /* below max_engines */
  uint32_t pool;
  uint32_t slots;
  uint32_t running;
  uint64_t free_bytes;  /* memory for further weights */
  bool live;            /* not leaving and not dead */
  uint64_t loaded_jobs; /* bit i: has the version of jobs[i], i < 64 */
} wl_engine;

typedef struct
{
  uint32_t need_slots; /* minimum that must not be loading */
} wl_pool;

typedef struct
{
  uint32_t engine;
  uint32_t job;
  uint64_t expected_us; /* expected end of the load */
} wl_order;

typedef struct wl_planner wl_planner;

#ifdef __cplusplus
extern "C"
{
#endif

  wl_planner *wl_make_planner (const wl_desc *desc);
  void wl_destroy_planner (wl_planner *p);
  bool wl_next_order (wl_planner *p, const wl_job *jobs, uint32_t job_count,
                      const wl_engine *engines, uint32_t engine_count,
                      const wl_pool *pools, uint32_t pool_count,
                      uint64_t now_us, wl_order *out);
  void wl_on_loaded (wl_planner *p, uint32_t engine, uint64_t now_us);
  void wl_on_failed (wl_planner *p, uint32_t engine, uint64_t now_us);
  uint32_t wl_query_loading (const wl_planner *p);
  uint16_t wl_query_loaded_permille (const wl_job *jobs, uint32_t job,
                                     const wl_engine *engines,
                                     uint32_t engine_count);

#ifdef __cplusplus
}
#endif

#endif
