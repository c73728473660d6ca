#include "ce.h"

#include <stdio.h>

/* Mean fill of the cells of a split pool.  Below CE_ENGINES, so that most
   engines get the cell that they hash to and few move when one is added.  */
#define _CE_FILL 6

static uint64_t
_ce_mix (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };
  return st_hash ((st_str){ (const char *)pair, sizeof pair }, 0);
}

/* Writes "DATA_CENTER/MODEL/CELL" to OUT.  False when it is too long.  */
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
   there are no members.  The order of MEMBERS does not matter.  */
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
ce_cells_for (uint32_t engines)
{
  if (engines <= CE_ENGINES)
    return 1;
  return (engines + _CE_FILL - 1) / _CE_FILL;
}

/* Cell with room that has the highest rendezvous weight for the engine.
   FILL counts the engines of each cell; at least one must have room.  */
uint32_t
ce_cell_of (uint64_t engine_hash, uint64_t pool_hash, uint32_t cells,
            const uint32_t *fill)
{
  uint32_t best = CE_NONE;
  uint64_t best_weight = 0;
  for (uint32_t c = 0; c < cells; c++)
    {
      if (fill[c] >= CE_ENGINES)
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

/* Splits the pool named POOL.  Writes the cell of each engine to CELLS and
   the size of each cell to FILL (COUNT entries each) and returns the number
   of cells.  Engines are taken in the order given, which must be the same on
   every VM: sort them by name.  The time grows with the square of COUNT.  */
uint32_t
ce_split (st_str pool, const st_str *engines, uint32_t count, uint32_t *cells,
          uint32_t *fill)
{
  uint32_t n = ce_cells_for (count);
  uint64_t pool_hash = st_hash (pool, 0);
  for (uint32_t c = 0; c < n && c < count; c++)
    fill[c] = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      cells[i] = ce_cell_of (st_hash (engines[i], 0), pool_hash, n, fill);
      fill[cells[i]]++;
    }
  return n;
}
