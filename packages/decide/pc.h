/* pc.h -- which VMs take callers, and which tell each other their load.

   Who takes callers.  The fewer VMs share the work, the more each of them
   knows: a VM cannot put the requests of another one in order, and sees its
   load late.  In a deployment of more than PC_ONE_CELL_MAX VMs the largest
   ones of each data centre are active, up to a part of its capacity; the
   others stand by and become active as larger ones end.

   Cells.  A small deployment is one cell.  In a larger one the VMs of a data
   centre are a cell, so that what a VM sends grows with its cell and not with
   the fleet; large data centres are split.  Within a cell each VM reports to
   all.  The first VMs of a cell by name speak for it: they exchange sums with
   the speakers of the other cells and pass them on to their own.

     pc_place_all (members, count, places);
     if (places[self].cell != 0 && places[self].speaker)
       tell the other cells

   Pure; every VM works it out from its own view of the members.  Views that
   differ for a while cost reports that are missing or sent twice, no more.  */
#ifndef PC_H
#define PC_H

#include "st.h"

/* Largest deployment that is one cell.  */
#define PC_ONE_CELL_MAX 16
/* Largest data centre that is one cell; above it cells of half to all of
   PC_CELL_MAX VMs.  */
#define PC_CELL_MAX 24
#define PC_SPEAKERS 2
/* Part of a data centre's capacity that is active.  Fleets are sized to lose
   most of their VMs, so that less than half of them can carry the traffic.  */
#define PC_ACTIVE_PART 0.4
/* Active VMs of a data centre at least: callers need another address.  */
#define PC_ACTIVE_MIN 2
#define PC_MEMBERS_MAX 2048

typedef struct
{
  st_str name;
  st_str data_center;
  uint32_t capacity; /* thousandths of a core; 0: unknown */
} pc_member;

typedef struct
{
  uint64_t cell; /* the same on all VMs with the same members; 0 when the
                    deployment is one cell */
  bool speaker;  /* of the cell */
  bool active;   /* takes callers */
} pc_place;

#ifdef __cplusplus
extern "C"
{
#endif

  uint64_t pc_report_pause_us (uint32_t told, bool busy);
  void pc_place_all (const pc_member *members, uint32_t count,
                     pc_place *places);
  void pc_choose_active (const pc_member *members, uint32_t count,
                         bool *active);
  int pc_compare_names (st_str a, st_str b);

#ifdef __cplusplus
}
#endif

#endif
