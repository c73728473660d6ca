#include "pc.h"

#include <stdlib.h>
#include <string.h>

/* Shortest time between two reports of load.  */
#define _PC_REPORT_MIN_US 25000
/* VMs that are told as often as that: while requests wait, and while none do,
   when few depend on the reports and traffic between regions is saved.  */
#define _PC_TOLD_BUSY 12
#define _PC_TOLD_CALM 6

/* Order of the VMs within a cell, so that all agree on who comes first:
   shorter names first, which puts numbered ones in their order.  */
int
pc_compare_names (st_str a, st_str b)
{
  if (a.len != b.len)
    return a.len < b.len ? -1 : 1;
  return memcmp (a.ptr, b.ptr, a.len);
}

/* Members of unknown size come last.  */
static int
_pc_compare_size (const void *left, const void *right)
{
  const pc_member *a = *(const pc_member *const *)left;
  const pc_member *b = *(const pc_member *const *)right;
  int place = pc_compare_names (a->data_center, b->data_center);
  if (place != 0)
    return place;
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity ? -1 : 1;
  return pc_compare_names (a->name, b->name);
}

static uint64_t
_pc_capacity (const pc_member *member)
{
  return member->capacity > 0 ? member->capacity : 1;
}

/* Tells in ACTIVE which of the MEMBERS, at most PC_MEMBERS_MAX, take callers
   in a deployment of several cells; further ones do not.  */
void
pc_choose_active (const pc_member *members, uint32_t count, bool *active)
{
  const pc_member *order[PC_MEMBERS_MAX];
  uint32_t known = count < PC_MEMBERS_MAX ? count : PC_MEMBERS_MAX;
  memset (active, 0, count * sizeof *active);
  for (uint32_t i = 0; i < known; i++)
    order[i] = &members[i];
  qsort (order, known, sizeof (const pc_member *), _pc_compare_size);
  for (uint32_t from = 0, to; from < known; from = to)
    {
      uint64_t all = 0;
      uint64_t chosen = 0;
      for (to = from;
           to < known
           && st_equal (order[to]->data_center, order[from]->data_center);
           to++)
        all += _pc_capacity (order[to]);
      for (uint32_t i = from; i < to; i++)
        {
          if (i - from >= PC_ACTIVE_MIN
              && (double)chosen >= PC_ACTIVE_PART * (double)all)
            break;
          chosen += _pc_capacity (order[i]);
          active[order[i] - members] = true;
        }
    }
}

typedef struct
{
  const pc_member *member;
  uint64_t cell;
} _pc_entry;

static int
_pc_compare_data_center (const void *left, const void *right)
{
  const _pc_entry *a = left;
  const _pc_entry *b = right;
  return pc_compare_names (a->member->data_center, b->member->data_center);
}

static int
_pc_compare_cell (const void *left, const void *right)
{
  const _pc_entry *a = left;
  const _pc_entry *b = right;
  if (a->cell != b->cell)
    return a->cell < b->cell ? -1 : 1;
  return pc_compare_names (a->member->name, b->member->name);
}

/* Number of the cell of MEMBER, whose data centre has SIZE VMs.  */
static uint64_t
_pc_cell (const pc_member *member, uint32_t size)
{
  uint64_t parts = 1;
  while (size / parts > PC_CELL_MAX)
    parts *= 2;
  uint64_t part = st_hash (member->name, 1) % parts;
  return (st_hash (member->data_center, 2) | 1) + 2 * part;
}

/* Sets the cells of ENTRIES, of which there are more than fit into one.  */
static void
_pc_set_cells (_pc_entry *entries, uint32_t count)
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
        entries[i].cell = _pc_cell (entries[i].member, to - from);
    }
}

/* Tells in PLACES where each of the MEMBERS, at most PC_MEMBERS_MAX, stands.
   Others than these are not looked at.  */
void
pc_place_all (const pc_member *members, uint32_t count, pc_place *places)
{
  _pc_entry entries[PC_MEMBERS_MAX];
  bool active[PC_MEMBERS_MAX];
  bool one_cell = count <= PC_ONE_CELL_MAX;
  if (count > PC_MEMBERS_MAX)
    count = PC_MEMBERS_MAX;
  for (uint32_t i = 0; i < count; i++)
    entries[i] = (_pc_entry){ .member = &members[i] };
  if (!one_cell)
    {
      _pc_set_cells (entries, count);
      pc_choose_active (members, count, active);
    }
  qsort (entries, count, sizeof *entries, _pc_compare_cell);
  uint32_t before = 0; /* in the cell */
  for (uint32_t i = 0; i < count; i++)
    {
      size_t at = (size_t)(entries[i].member - members);
      before
          = i > 0 && entries[i].cell == entries[i - 1].cell ? before + 1 : 0;
      places[at] = (pc_place){ .cell = entries[i].cell,
                               .speaker = before < PC_SPEAKERS,
                               .active = one_cell || active[at] };
    }
}

/* Time from one report of load to the next for a VM that tells TOLD others.
   What a VM sends does not grow with their number beyond a few.  BUSY:
   requests wait here or at others.  */
uint64_t
pc_report_pause_us (uint32_t told, bool busy)
{
  uint32_t most = busy ? _PC_TOLD_BUSY : _PC_TOLD_CALM;
  return told > most ? (uint64_t)_PC_REPORT_MIN_US * told / most
                     : _PC_REPORT_MIN_US;
}
