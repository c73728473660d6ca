#include "ce.h"

#include <stdio.h>

/* Mean number of engines in the cells of a split pool.  It is below
   CE_CELL_ENGINES_MAX so that most engines get the cell with their highest
   weight and few move when one is added.  */
#define _CE_CELL_ENGINES_MEAN 6

static uint64_t
_ce_mix (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };
  return st_hash ((st_str){ (const char *)pair, sizeof pair }, 0);
}

/* Writes "DATA_CENTER/MODEL/CELL" to OUT.  Returns false when it is too
   long.  */
bool
ce_cell_name (st_name *out, st_str data_center, st_str model, uint32_t cell)
{
  char text[2 * ST_NAME_MAX + 16];
  if (data_center.len > ST_NAME_MAX || model.len > ST_NAME_MAX)
    return false;
  int n = snprintf (text, sizeof text, "%.*s/%.*s/%u", ST_FMT (data_center),
                    ST_FMT (model), cell);
  return n > 0 && st_name_set (out, (st_str){ text, (size_t)n });
}

/* Index of the member that owns CELL by rendezvous hashing; CE_NONE when
   MEMBERS is empty.  The order of MEMBERS does not matter.  */
uint32_t
ce_owner (st_str cell, const st_str *members, uint32_t count)
{
  uint64_t seed = st_hash (cell, 0);
  uint32_t best = CE_NONE;
  uint64_t best_weight = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t weight = st_hash (members[i], seed);
      if (best == CE_NONE || weight > best_weight)
        {
          best = i;
          best_weight = weight;
        }
    }
  return best;
}

/* Number of cells of a pool of ENGINES engines.  */
uint32_t
ce_cell_count (uint32_t engines)
{
  if (engines <= CE_CELL_ENGINES_MAX)
    return 1;
  return (engines + _CE_CELL_ENGINES_MEAN - 1) / _CE_CELL_ENGINES_MEAN;
}

/* Index of the cell with the highest rendezvous weight for the engine among
   the cells with room.  CELL_SIZES has the number of engines of each of the
   CELL_COUNT cells; at least one must have room.  */
uint32_t
ce_choose_cell (uint64_t engine_hash, uint64_t pool_hash, uint32_t cell_count,
                const uint32_t *cell_sizes)
{
  uint32_t best = CE_NONE;
  uint64_t best_weight = 0;
  for (uint32_t c = 0; c < cell_count; c++)
    {
      if (cell_sizes[c] >= CE_CELL_ENGINES_MAX)
        continue;
      uint64_t weight = _ce_mix (engine_hash, pool_hash + c);
      if (best == CE_NONE || weight > best_weight)
        {
          best = c;
          best_weight = weight;
        }
    }
  return best;
}

/* Splits the pool named POOL.  Writes the cell of each engine to CELL_OF and
   the size of each cell to CELL_SIZES (COUNT entries each) and returns the
   number of cells.  The result depends on the order of ENGINES, which must be
   the same on every VM: sort them by name.  The time grows with the square of
   COUNT.  */
uint32_t
ce_split (st_str pool, const st_str *engines, uint32_t count,
          uint32_t *cell_of, uint32_t *cell_sizes)
{
  uint32_t n = ce_cell_count (count);
  uint64_t pool_hash = st_hash (pool, 0);
  for (uint32_t c = 0; c < n && c < count; c++)
    cell_sizes[c] = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      cell_of[i]
          = ce_choose_cell (st_hash (engines[i], 0), pool_hash, n, cell_sizes);
      cell_sizes[cell_of[i]]++;
    }
  return n;
}
