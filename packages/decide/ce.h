/* ce.h -- names and owners of engine cells, and the split of pools into cells.

   The engines of one data centre and one model are a pool.  A pool of more
   than CE_CELL_ENGINES_MAX engines is split into cells of at most that many.
   All VMs compute the same result from the same lists.

     uint32_t cell_of[POOL_SIZE], cell_sizes[POOL_SIZE];
     uint32_t n = ce_split (pool, engine_names, count, cell_of, cell_sizes);
     st_name name;
     ce_cell_name (&name, data_center, model, cell_of[i]);
     uint32_t owner = ce_owner (st_name_str (&name), live_vm_names, vm_count);

   When the cell owner is dead, the next one is ce_owner over the list without
   it.  */
#ifndef CE_H
#define CE_H

#include "st.h"

/* Greatest number of engines in one cell.  */
#define CE_CELL_ENGINES_MAX 8
#define CE_NONE UINT32_MAX

#ifdef __cplusplus
extern "C"
{
#endif

  bool ce_cell_name (st_name *out, st_str data_center, st_str model,
                     uint32_t cell);
  uint32_t ce_owner (st_str cell, const st_str *members, uint32_t count);
  uint32_t ce_cell_count (uint32_t engines);
  uint32_t ce_split (st_str pool, const st_str *engines, uint32_t count,
                     uint32_t *cell_of, uint32_t *cell_sizes);
  uint32_t ce_choose_cell (uint64_t engine_hash, uint64_t pool_hash,
                           uint32_t cell_count, const uint32_t *cell_sizes);

#ifdef __cplusplus
}
#endif

#endif
