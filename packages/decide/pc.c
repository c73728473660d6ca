#include "pc.h"

#include <stdlib.h>
#include <string.h>

/* Shortest interval between two load reports.  */
#define _PC_REPORT_MIN_US 25000
/* Number of recipients up to which reports are sent at that interval: while
   requests wait, and while none do.  Then few decisions depend on the reports,
   and a longer interval saves traffic between regions.  */
#define _PC_RECIPIENTS_BUSY 12
#define _PC_RECIPIENTS_IDLE 6

/* Order of the VMs within a group, the same on all VMs: shorter names first,
   which puts numbered ones in numeric order.  */
int
pc_compare_names (st_str a, st_str b)
{
  if (a.len != b.len)
    return a.len < b.len ? -1 : 1;
  return memcmp (a.ptr, b.ptr, a.len);
}

/* Orders by data centre, then by capacity with the largest first and unknown
   ones last.  */
static int
_pc_compare_size (const void *left, const void *right)
{
  const pc_member *a = *(const pc_member *const *)left;
  const pc_member *b = *(const pc_member *const *)right;
  int data_center_order = pc_compare_names (a->data_center, b->data_center);
  if (data_center_order != 0)
    return data_center_order;
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity ? -1 : 1;
  return pc_compare_names (a->name, b->name);
}

static uint64_t
_pc_capacity (const pc_member *member)
{
  return member->capacity > 0 ? member->capacity : 1;
}

/* Capacity, in thousandths of a core, that the active VMs need for upstreams
   with SLOTS slots; 0, no limit, when no slot is known.  */
uint64_t
pc_needed_capacity (uint32_t slots)
{
  uint64_t steps = ((uint64_t)slots + PC_SLOTS_STEP - 1) / PC_SLOTS_STEP;
  return steps * PC_SLOTS_STEP * PC_CAPACITY_PER_SLOT;
}

/* Capacity that is active in a data centre with CAPACITY of ALL.  */
static double
_pc_active_capacity (uint64_t capacity, uint64_t all, uint64_t needed)
{
  double largest = PC_ACTIVE_FRACTION * (double)capacity;
  double share = (double)needed * (double)capacity / (double)all;
  return needed > 0 && share < largest ? share : largest;
}

/* Sets in ACTIVE which of the MEMBERS accept callers in a deployment of
   several groups, where NEEDED is the result of pc_needed_capacity.  Members
   beyond PC_MEMBERS_MAX do not.  */
void
pc_choose_active (const pc_member *members, uint32_t count, uint64_t needed,
                  bool *active)
{
  const pc_member *order[PC_MEMBERS_MAX];
  uint32_t used = count < PC_MEMBERS_MAX ? count : PC_MEMBERS_MAX;
  uint64_t all = 0;
  memset (active, 0, count * sizeof *active);
  for (uint32_t i = 0; i < used; i++)
    {
      order[i] = &members[i];
      all += _pc_capacity (order[i]);
    }
  qsort (order, used, sizeof (const pc_member *), _pc_compare_size);
  for (uint32_t from = 0, to; from < used; from = to)
    {
      uint64_t capacity = 0;
      uint64_t chosen = 0;
      for (to = from;
           to < used
           && st_equal (order[to]->data_center, order[from]->data_center);
           to++)
        capacity += _pc_capacity (order[to]);
      double enough = _pc_active_capacity (capacity, all, needed);
      for (uint32_t i = from; i < to; i++)
        {
          if (i - from >= PC_ACTIVE_MIN && (double)chosen >= enough)
            break;
          chosen += _pc_capacity (order[i]);
          active[order[i] - members] = true;
        }
    }
}

typedef struct
{
  const pc_member *member;
  uint64_t vm_group;
} _pc_entry;

static int
_pc_compare_data_center (const void *left, const void *right)
{
  const _pc_entry *a = left;
  const _pc_entry *b = right;
  return pc_compare_names (a->member->data_center, b->member->data_center);
}

static int
_pc_compare_vm_group (const void *left, const void *right)
{
  const _pc_entry *a = left;
  const _pc_entry *b = right;
  if (a->vm_group != b->vm_group)
    return a->vm_group < b->vm_group ? -1 : 1;
  return pc_compare_names (a->member->name, b->member->name);
}

/* Number of the group of MEMBER, whose data centre has SIZE VMs.  */
static uint64_t
_pc_vm_group (const pc_member *member, uint32_t size)
{
  uint64_t group_count = 1;
  while (size / group_count > PC_GROUP_MAX)
    group_count *= 2;
  uint64_t group = st_hash (member->name, 1) % group_count;
  return (st_hash (member->data_center, 2) | 1) + 2 * group;
}

/* Sets the groups of ENTRIES, of which there are more than fit into one.  */
static void
_pc_set_vm_groups (_pc_entry *entries, uint32_t count)
{
  qsort (entries, count, sizeof *entries, _pc_compare_data_center);
  for (uint32_t from = 0, to; from < count; from = to)
    {
      for (to = from;
           to < count
           && _pc_compare_data_center (&entries[to], &entries[from]) == 0;
           to++)
        ;
      for (uint32_t i = from; i < to; i++)
        entries[i].vm_group = _pc_vm_group (entries[i].member, to - from);
    }
}

/* Sets in ROLES the role of each of the MEMBERS, where NEEDED is the result of
   pc_needed_capacity.  Members beyond PC_MEMBERS_MAX are ignored.  */
void
pc_assign_roles (const pc_member *members, uint32_t count, uint64_t needed,
                 pc_role *roles)
{
  _pc_entry entries[PC_MEMBERS_MAX];
  bool active[PC_MEMBERS_MAX];
  bool one_group = count <= PC_ONE_GROUP_MAX;
  if (count > PC_MEMBERS_MAX)
    count = PC_MEMBERS_MAX;
  for (uint32_t i = 0; i < count; i++)
    entries[i] = (_pc_entry){ .member = &members[i] };
  if (!one_group)
    {
      _pc_set_vm_groups (entries, count);
      pc_choose_active (members, count, needed, active);
    }
  qsort (entries, count, sizeof *entries, _pc_compare_vm_group);
  uint32_t position = 0; /* in the group */
  for (uint32_t i = 0; i < count; i++)
    {
      size_t at = (size_t)(entries[i].member - members);
      position = i > 0 && entries[i].vm_group == entries[i - 1].vm_group
                     ? position + 1
                     : 0;
      roles[at] = (pc_role){ .vm_group = entries[i].vm_group,
                             .aggregator = position < PC_AGGREGATORS,
                             .active = one_group || active[at] };
    }
}

/* Interval between two load reports, in microseconds, of a VM that sends each
   of them to RECIPIENTS others.  Beyond a few recipients it grows with their
   number and the traffic does not.  BUSY: requests wait here or at others.  */
uint64_t
pc_report_interval_us (uint32_t recipients, bool busy)
{
  uint32_t max_recipients = busy ? _PC_RECIPIENTS_BUSY : _PC_RECIPIENTS_IDLE;
  return recipients > max_recipients
             ? (uint64_t)_PC_REPORT_MIN_US * recipients / max_recipients
             : _PC_REPORT_MIN_US;
}
