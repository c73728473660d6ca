/* gq.h -- admission control and upstream choice for proxied requests.

   Used by the gateway for each request and each retry.  The module is pure:
   the state of the upstreams and the time go in, a decision comes out.

     ut_id to = gq_choose_upstream (table, service, &demand, now_us, random);
     if (to.generation == 0)
       switch (gq_admit (&backlog, &demand, now_us, random, &decision)) ...

   Choice of an upstream.  An engine slows down with each request that it runs
   and queues those beyond its slots first in, first out, whatever their tier.
   So requests queue here, where tiers are obeyed.  An engine gets as many
   requests as it has slots and, of the urgent tiers, a few more, which fill a
   freed slot at once.  All VMs see a freed slot, so where requests wait at
   several VMs, these divide the slots among themselves.  Among the upstreams
   with room, the one with the lowest expected time to respond is chosen; it
   depends on the measured time per work unit, running requests, prompt tokens
   waiting for prefill, distance and recent failures.

   Late requests.  A late response is worth less than one on time, but more
   than none.  A request that will miss its latency target, or that its caller
   retries after a refusal, queues behind those of its tiers that can be on
   time: it delays none of them and uses the capacity left after a burst.

   Refusals.  A request that cannot be on time is refused at once if its
   expected wait exceeds a fraction of the time that its caller has left, or if
   it goes to a plain service or was queued as late before.  Retry-After of a
   caller that can still be on time is the expected wait.  A caller that will
   be late anyway gets up to a third of its time left, with jitter, so that the
   same burst does not refuse it twice.  Both are at least 250 ms.  Where all
   upstreams of a service have asked for a pause, it is not before the first
   pause ends, with jitter.  */
#ifndef GQ_H
#define GQ_H

#include "ut.h"
#include "vr.h"

/* Number of route tiers and of team tiers; a higher tier is treated as the
   last one.  */
#define GQ_ROUTE_TIERS 4
#define GQ_TEAM_TIERS 2
/* Number of queue ranks; rank 0 is served first.  Each pair of a team tier and
   a route tier has two: an even one for requests that can be on time, and the
   next one for late ones.  */
#define GQ_RANKS (2 * GQ_TEAM_TIERS * GQ_ROUTE_TIERS)
#define GQ_TRIED_MAX 4

typedef struct
{
  uint32_t rank;             /* see gq_rank */
  uint32_t tier;             /* of the route; 0 is the most urgent */
  bool engine;               /* the service is a model engine */
  bool response_started;     /* the caller has received part of the response */
  bool is_caller_retry;      /* the caller was refused before */
  bool waited_as_late;       /* queued as late since the last dispatch */
  bool remote_loads_delayed; /* reports of other data centres arrive late */
  bool urgent_elsewhere;     /* more urgent requests wait at other VMs */
  uint32_t prompt_tokens;
  uint64_t target_us;   /* latency target, from the arrival */
  uint64_t max_wait_us; /* bounds a late wait, from the arrival; 0: no limit */
  uint32_t tried_count;
  ut_id tried[GQ_TRIED_MAX]; /* used again only if no other upstream is left */
  uint64_t arrived_us;
  uint64_t deadline_us;
  const el_regions *regions[2]; /* of the route and the team; NULL: all */
  const vr_rollout *rollout;    /* of the service; NULL: none */
  vr_choice versions;           /* that it may be sent to */
} gq_demand;

/* Waiting requests and slots of one service; PEER_WAITING covers all services,
   since load reports give one number by rank.  */
typedef struct
{
  uint32_t slots;                  /* of all usable upstreams */
  uint32_t running;                /* on these upstreams, from all VMs */
  uint32_t waiting[GQ_RANKS];      /* on this VM */
  uint32_t peer_waiting[GQ_RANKS]; /* on the others */
  double service_us;  /* mean time that a request occupies a slot */
  uint64_t paused_us; /* without slots: until the first pause that an upstream
                         asked for ends; 0: none did */
} gq_backlog;

typedef enum
{
  GQ_WAIT = 0,
  GQ_WAIT_LATE, /* at the late rank of its tiers */
  GQ_REFUSE
} gq_verdict;

typedef struct
{
  uint64_t wait_until_us;  /* call gq_admit again at this time */
  uint64_t retry_after_us; /* for GQ_REFUSE */
  uint64_t expected_us;    /* expected wait */
} gq_decision;

#ifdef __cplusplus
extern "C"
{
#endif

  ut_id gq_choose_upstream (const ut_table *t, st_str service,
                            const gq_demand *demand, uint64_t now_us,
                            uint32_t random);
  gq_verdict gq_admit (const gq_backlog *backlog, const gq_demand *demand,
                       uint64_t now_us, uint32_t random, gq_decision *out);
  uint32_t gq_rank (bool has_team_tier, uint32_t team_tier,
                    uint32_t route_tier);
  bool gq_is_late (const gq_demand *demand);
  uint32_t gq_queue_rank (const gq_demand *demand, gq_verdict verdict);
  bool gq_may_send (const ut_upstream *up, st_str service,
                    const gq_demand *demand, uint64_t now_us);
  bool gq_usable (const ut_upstream *up, st_str service,
                  const gq_demand *demand, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
