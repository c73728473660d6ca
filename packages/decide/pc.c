#include "pc.h"

#include <stdlib.h>
#include <string.h>

static uint32_t
_pc_in_data_center (const pc_member *members, uint32_t count,
                    st_str data_center)
{
  uint32_t found = 0;
  for (uint32_t i = 0; i < count; i++)
    found += st_equal (members[i].data_center, data_center);
  return found;
}

/* Number of the cell of MEMBER, the same on all VMs with the same MEMBERS;
   0 when the deployment is one cell.  */
uint64_t
pc_cell_of (const pc_member *members, uint32_t count, const pc_member *member)
{
  if (count <= PC_ONE_CELL_MAX)
    return 0;
  uint32_t size = _pc_in_data_center (members, count, member->data_center);
  uint64_t parts = 1;
  while (size / parts > PC_CELL_MAX)
    parts *= 2;
  uint64_t part = st_hash (member->name, 1) % parts;
  return (st_hash (member->data_center, 2) | 1) + 2 * part;
}

/* Order of the VMs within a cell, so that all agree on who comes first:
   shorter names first, which puts numbered ones in their order.  */
int
pc_compare_names (st_str a, st_str b)
{
  if (a.len != b.len)
    return a.len < b.len ? -1 : 1;
  return memcmp (a.ptr, b.ptr, a.len);
}

/* True when MEMBER is among the first SPEAKERS of its cell by name.  */
bool
pc_is_speaker (const pc_member *members, uint32_t count,
               const pc_member *member, uint32_t speakers)
{
  uint64_t cell = pc_cell_of (members, count, member);
  uint32_t before = 0;
  for (uint32_t i = 0; i < count; i++)
    if (pc_compare_names (members[i].name, member->name) < 0
        && pc_cell_of (members, count, &members[i]) == cell)
      before++;
  return before < speakers;
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
