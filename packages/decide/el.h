/* el.h -- which upstreams may get a request at all, and at what rate.

   Used by ut, which keeps the state of each upstream, and by gq, which asks
   before it weighs load and distance.  Three rules of the operator's:

   Home regions.  A route and a team may each name the regions in which their
   requests may be served; both bind.

     el_regions route = { names, 1 };
     if (!el_allows_region (&route, region)) look at the next upstream
     if (el_is_disjoint (&route, &team)) no region is left: refuse

   Evacuation.  The upstreams of a data centre that is evacuated get nothing;
   ut keeps the names.

   Cold upstreams.  An upstream that has just started crashes when it gets more
   than some requests a second from all VMs together.  Each of these requests
   is assigned to one VM, so no message is needed for it:

     if (el_cold_allows (&cold, &sends, now_us))
       { send; el_on_sent (&sends, now_us); }

   Limits.  An upstream in need names in its responses how many requests a
   second it takes from all VMs together.  They are assigned to VMs likewise,
   over 4 s, so that several VMs have a part in a limit of one a second.  What
   one VM learns the others learn from its reports.

     limit.share = el_limit_share (&fleet, own, upstream, limit.per_s);
     if (el_limit_allows (&limit, &sends, now_us)) send

   The load pattern it answers is an upstream that each of many VMs finds free.

   A VM that is cut off, frozen or killed keeps what is assigned to it: the
   fleet remembers the VMs that were active.  A VM that sees no majority of
   them may itself be the one that is cut off; it forgets none, and takes no
   part that it did not have before.  The quotas of teams are divided between
   the sides of a partition by the same memory:

     el_silent_part (&fleet)   part of the VMs that this side does not hear

     el_update_fleet (&fleet, active, others, count, now_us);
     cold.share = el_share (&fleet, own, upstream, 9.8);

   The load pattern it answers is a
   data centre whose upstreams come back at once, empty, while requests wait at
   all VMs.  */
#ifndef EL_H
#define EL_H

#include "st.h"

/* Most requests that one VM sends to a cold or limited upstream in an
   interval.  */
#define EL_SENDS_MAX 32

/* Most VMs that share the budget of a cold upstream.  */
#define EL_VMS_MAX 256
/* A VM that was active keeps its part for this long, and where those that are
   missing are not the minority, for the second time.  */
#define EL_VM_MEMORY_US 20000000
#define EL_VM_MEMORY_MAX_US 60000000

/* A set of regions; one without names has all.  */
typedef struct
{
  const st_str *names;
  uint32_t count;
} el_regions;

/* From whom a VM has a statement.  It passes on what it has from the upstream
   itself, and in a sum what it has from the VMs of the sum: passed on by all,
   a statement would come back and never grow old.  */
typedef enum
{
  EL_FROM_UPSTREAM = 0,
  EL_FROM_VM,
  EL_FROM_SUM
} el_origin;

/* What an upstream has stated last of its limit.  */
typedef struct
{
  bool named; /* it takes PER_S requests a second of all VMs */
  double per_s;
  uint64_t stated_us; /* time of the newest statement; 0: there was none */
  el_origin origin;
  uint32_t share;   /* of this VM, in an interval */
  uint64_t from_us; /* the process before may have sent until then */
} el_limit;

/* What a VM knows of one upstream that may be cold.  */
typedef struct
{
  double per_s;      /* of all VMs together while it is cold; 0: no limit */
  uint32_t share;    /* of this VM, in an interval */
  uint64_t until_us; /* as the upstream states */
  uint64_t held_us;  /* cold until then, whatever it states */
  uint64_t from_us;  /* the process before may have sent until then */
} el_cold;

/* The newest requests that this VM has sent to an upstream.  */
typedef struct
{
  uint32_t count; /* so far */
  uint64_t us[EL_SENDS_MAX];
} el_sends;

typedef struct
{
  uint64_t vm;        /* hash of its name */
  uint64_t first_us;  /* first seen as active */
  uint64_t active_us; /* last seen as active */
} el_vm;

/* The other VMs that share the budget of cold upstreams.  */
typedef struct
{
  el_vm vms[EL_VMS_MAX];
  uint32_t count;
  uint64_t view_us;  /* time of the newest view */
  uint64_t since_us; /* this VM has had a part since then */
  bool has_part;     /* this VM has one */
} el_fleet;

#ifdef __cplusplus
extern "C"
{
#endif

  void el_update_fleet (el_fleet *fleet, bool active, const uint64_t *others,
                        uint32_t count, uint64_t now_us);
  void el_forget_vm (el_fleet *fleet, uint64_t vm);
  double el_silent_part (const el_fleet *fleet);
  bool el_allows_region (const el_regions *set, st_str region);
  bool el_is_disjoint (const el_regions *a, const el_regions *b);
  uint32_t el_share (const el_fleet *fleet, uint64_t self, uint64_t upstream,
                     double per_s);
  uint64_t el_first_send_us (uint64_t started_us);
  uint64_t el_first_limited_us (uint64_t started_us);
  bool el_is_cold (const el_cold *cold, uint64_t now_us);
  bool el_cold_allows (const el_cold *cold, const el_sends *sends,
                       uint64_t now_us);
  uint32_t el_limit_share (const el_fleet *fleet, uint64_t self,
                           uint64_t upstream, double per_s);
  bool el_limit_allows (const el_limit *limit, const el_sends *sends,
                        uint64_t now_us);
  uint64_t el_limit_wait_us (const el_limit *limit, const el_sends *sends,
                             uint64_t now_us);
  bool el_limit_needs_check (const el_limit *limit, uint64_t now_us);
  void el_on_sent (el_sends *sends, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
