/* tl.h -- limits of teams over all VMs of a region.

   Each VM has a limit share of each team and admits requests by a token bucket
   of share x limit.  Each second a VM sends the others, for each team that it
   saw lately, its demand (offered load per second) and its limit share.
   A VM raises its share only into room that its reports show to be free, so
   the shares add up to at most 1 while the membership does not change.

     tl_limits *tl = tl_make (&(tl_desc){ .max_teams = 256, .max_vms = 64 });
     tl_set_limit (tl, team, 50.0, now_us);
     tl_set_vm (tl, vm, TL_LIVE);                 // each other live VM
     tl_report (tl, vm, team, demand, share, now_us);
     tl_tick (tl, now_us);                        // each second
     for each team: tl_query_report (tl, team, &demand, &share), send both
     bool admitted = tl_take (tl, team, 1.0, now_us);
     tl_destroy (tl);

   In a large region one VM may add up the reports of each team; tl_set_total
   takes the sum over all other VMs in place of tl_report.

   Error: over any time T the VMs admit at most limit x (T + 1 s), plus at most
   limit x 1 s for each change of membership: VMs without each other's reports
   may raise into the same room, and a VM that joins starts with one second of
   an equal share.  A VM that misses a report of a member keeps its share or
   lowers it, never raises it.  The share of a VM that is dead without having
   left stays reserved until it is removed from the VM list, because it may go
   on behind a network partition.  */
#ifndef TL_H
#define TL_H

#include "al.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct tl_limits tl_limits;

typedef struct
{
  uint32_t max_teams;         /* 0: 256 */
  uint32_t max_vms;           /* other VMs of the region; 0: 64 */
  uint64_t report_max_age_us; /* an older report of a VM counts as missing;
0: 1.5 s */
  double burst_s;             /* bucket size in seconds; 0: 1 */
  al_allocator allocator;
} tl_desc;

typedef enum
{
  TL_REMOVED = 0, /* left, or removed from the VM list: its share is free */
  TL_LIVE,
  TL_DEAD /* unresponsive: its share stays reserved */
} tl_vm_state;

#ifdef __cplusplus
extern "C"
{
#endif

  tl_limits *tl_make (const tl_desc *desc);
  void tl_destroy (tl_limits *tl);
  bool tl_set_limit (tl_limits *tl, uint32_t team, double limit_per_s,
                     uint64_t now_us);
  bool tl_set_vm (tl_limits *tl, uint32_t vm, tl_vm_state state);
  bool tl_report (tl_limits *tl, uint32_t vm, uint32_t team, double demand,
                  double share, uint64_t now_us);
  bool tl_set_total (tl_limits *tl, uint32_t team, double demand, double share,
                     bool complete, uint64_t now_us);
  void tl_tick (tl_limits *tl, uint64_t now_us);
  bool tl_take (tl_limits *tl, uint32_t team, double cost, uint64_t now_us);
  bool tl_query_report (const tl_limits *tl, uint32_t team, double *demand,
                        double *share);
  uint32_t tl_query_wait_ms (const tl_limits *tl, uint32_t team, double cost);

#ifdef __cplusplus
}
#endif

#endif
