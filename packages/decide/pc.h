/* pc.h -- which VMs accept callers, and which report their load to each other.

   Used by the gateway on each change of the members.

   Active VMs.  The fewer VMs share the work, the better their decisions: a VM
   cannot reorder the requests of another one, and sees its load late.  In a
   deployment of more than PC_ONE_GROUP_MAX VMs the largest ones of each data
   centre are active, up to its share of the capacity that the upstreams' slots
   need and to a fraction of its own; the others are on standby and become
   active as larger ones end.

   Groups.  A small deployment is one group.  In a larger one the VMs of a data
   centre are a group, so that what a VM sends grows with its group and not
   with the fleet; large data centres are split.  Within a group each VM
   reports to all.  The first VMs of a group by name are its aggregators: they
   exchange sums with the aggregators of the other groups and forward them to
   their own.

     needed = pc_needed_capacity (slots of all upstreams);
     pc_assign_roles (members, count, needed, roles);
     if (roles[self].vm_group != 0 && roles[self].aggregator)
       send the sum of the group to the other groups

   Pure; every VM computes it from its own view of the members.  Views that
   differ for a while only cause reports that are missing or sent twice.  */
#ifndef PC_H
#define PC_H

#include "st.h"

/* Largest deployment that is one group, in VMs.  */
#define PC_ONE_GROUP_MAX 16
/* Largest data centre that is one group, in VMs; a larger one is split into
   groups of half to all of PC_GROUP_MAX VMs.  */
#define PC_GROUP_MAX 24
#define PC_AGGREGATORS 2
/* Fraction of a data centre's capacity that is active.  Fleets are sized to
   lose most of their VMs, so less than half of them can carry the traffic.  */
#define PC_ACTIVE_FRACTION 0.4
/* Capacity of the active VMs for each slot of an upstream, in thousandths of a
   core: four times what the requests of a slot take, for bursts.  */
#define PC_CAPACITY_PER_SLOT 8
/* Slots are rounded up to a multiple of this, so that VMs whose views of the
   upstreams differ by a few choose the same active VMs.  */
#define PC_SLOTS_STEP 128
/* Fewest active VMs of a data centre: callers need a second address.  */
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
  uint64_t vm_group; /* the same on all VMs with the same members; 0 when the
                    deployment is one group */
  bool aggregator;   /* of the group */
  bool active;       /* accepts callers */
} pc_role;

#ifdef __cplusplus
extern "C"
{
#endif

  uint64_t pc_report_interval_us (uint32_t recipients, bool busy);
  uint64_t pc_needed_capacity (uint32_t slots);
  void pc_assign_roles (const pc_member *members, uint32_t count,
                        uint64_t needed, pc_role *roles);
  void pc_choose_active (const pc_member *members, uint32_t count,
                         uint64_t needed, bool *active);
  int pc_compare_names (st_str a, st_str b);

#ifdef __cplusplus
}
#endif

#endif
