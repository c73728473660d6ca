/* ce.h -- names, split and owners of cells.

   The engines of one data centre and one model are a pool.  A pool of more
   than CE_ENGINES engines is split into cells of at most CE_ENGINES.  Every
   VM that has the same lists comes to the same result.

     uint32_t cells[POOL_SIZE], fill[POOL_SIZE];
     uint32_t n = ce_split (pool, engine_names, count, cells, fill);
     st_name name;
     ce_cell_name (&name, data_center, model, cells[i]);
     uint32_t owner = ce_owner (st_name_str (&name), live_vm_names, vm_count);

   The next owner, when the first one is dead, is ce_owner over the list
   without it.  */
#ifndef CE_H
#define CE_H

#include "st.h"

/* Most engines of one cell.  */
#define CE_ENGINES 8
#define CE_NONE UINT32_MAX

#ifdef __cplusplus
extern "C"
{
#endif

  bool ce_cell_name (st_name *out, st_str data_center, st_str model,
                     uint32_t cell);
  uint32_t ce_owner (st_str cell, const st_str *members, uint32_t count);
  uint32_t ce_cells_for (uint32_t engines);
  uint32_t ce_split (st_str pool, const st_str *engines, uint32_t count,
                     uint32_t *cells, uint32_t *fill);
  uint32_t ce_cell_of (uint64_t engine_hash, uint64_t pool_hash,
                       uint32_t cells, const uint32_t *fill);

#ifdef __cplusplus
}
#endif

#endif
