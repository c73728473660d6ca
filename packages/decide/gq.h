/* gq.h -- decisions on proxied requests: where to send, whether to wait.

   Pure: the state of the upstreams and the time go in, a decision comes out.

     ut_id to = gq_place (table, service, &demand, now_us, random);
     if (to.generation == 0)
       switch (gq_admit (&backlog, &demand, &decision)) ...

   Placing.  Engines slow down with each request that they run and queue the
   ones beyond their slots in order of arrival, whatever their tier.  So
   requests wait here, where tiers count, and an engine gets its slots and, of
   the urgent tiers, a few more, with which a slot that becomes free is filled
   at once.  Where requests wait at several VMs, these divide the places among
   themselves, since all of them see a free one.  Among free upstreams the one
   with the shortest expected answer wins: measured pace, running requests,
   prompt tokens not read yet, distance and recent failures.

   Waiting late.  A late answer is worth less than one on time, but more than
   none.  A request that cannot be on time any more, or whose caller comes back
   after a refusal, waits behind those of its tiers that can be: it does not
   make others late, and takes what a burst leaves at its end.

   Refusing.  A request that will not be served in a part of the time that its
   caller has left is refused at once and does not hold the caller.  A caller
   that can be on time yet is told when its turn comes; one that will be late
   anyway comes back as late as it can, spread over some time, so that it is
   not refused twice by the same burst.  */
#ifndef GQ_H
#define GQ_H

#include "ut.h"

/* Tiers of routes and of teams that are told apart; higher numbers count as
   the last one.  */
#define GQ_ROUTE_TIERS 4
#define GQ_TEAM_TIERS 2
/* Places in the order in which requests go: 0 goes first.  Each pair of tiers
   has two: an even one for requests that can be on time, and the next one for
   those that will be late.  */
#define GQ_RANKS (2 * GQ_TEAM_TIERS * GQ_ROUTE_TIERS)
#define GQ_TRIED_MAX 4

typedef struct
{
  uint32_t rank;         /* see gq_rank */
  uint32_t tier;         /* of the route; 0 is the most urgent */
  bool engine;           /* the service is a model engine */
  bool begun;            /* the caller has a part of the answer */
  bool returned;         /* its caller was refused before */
  bool waited_late;      /* it has had its wait among the late ones */
  bool several_cells;    /* loads of other data centres are known late */
  bool urgent_elsewhere; /* other VMs have more urgent requests waiting */
  uint32_t prompt_tokens;
  uint64_t target_us; /* an answer after it is late */
  uint64_t pause_us;  /* its caller leaves after; 0: at the deadline */
  uint32_t tried_count;
  ut_id tried[GQ_TRIED_MAX]; /* not again, if another can serve */
  uint64_t arrived_us;
  uint64_t deadline_us;
} gq_demand;

/* What waits and what is free for one service.  */
typedef struct
{
  uint32_t slots;                  /* of all usable upstreams */
  uint32_t running;                /* on them, from all VMs */
  uint32_t waiting[GQ_RANKS];      /* on this VM */
  uint32_t peer_waiting[GQ_RANKS]; /* on the others */
  double service_us;               /* mean time of a request in a slot */
} gq_backlog;

typedef enum
{
  GQ_WAIT = 0,
  GQ_WAIT_LATE, /* behind those of its tiers that can be on time */
  GQ_REFUSE
} gq_verdict;

typedef struct
{
  uint64_t wait_until_us;  /* decide again then */
  uint64_t retry_after_us; /* of GQ_REFUSE */
  uint64_t expected_us;    /* expected wait */
} gq_decision;

#ifdef __cplusplus
extern "C"
{
#endif

  ut_id gq_place (const ut_table *t, st_str service, const gq_demand *demand,
                  uint64_t now_us, uint32_t random);
  gq_verdict gq_admit (const gq_backlog *backlog, const gq_demand *demand,
                       uint64_t now_us, uint32_t random, gq_decision *out);
  uint32_t gq_rank (bool has_team_tier, uint32_t team_tier,
                    uint32_t route_tier);
  bool gq_is_late (const gq_demand *demand);
  uint32_t gq_rank_in (const gq_demand *demand, gq_verdict verdict);
  bool gq_usable (const ut_upstream *up, st_str service);

#ifdef __cplusplus
}
#endif

#endif
