/* cm.h -- map of the cells: their engines and their owners.

   Computed from the directory and the member list alone, so that VMs with
   the same lists compute the same map.  A cell is owned by a VM of its data
   centre; when there is none, by one of its region, then by any.

     cm_map *cm = cm_make ();
     cm_update (cm, directory, members, count);   // true when it changed
     for (size_t i = 0; i < cm_query_count (cm); i++)
       use (cm_query_at (cm, i));
     cm_destroy (cm);  */
#ifndef CM_H
#define CM_H

#include "ce.h"
#include "dr.h"
#include "st.h"

#define CM_INCARNATION_MAX (ST_NAME_MAX + 18)

/* A VM that may own cells unless it is leaving.  */
typedef struct
{
  st_str name;
  st_str incarnation;
  st_str region;
  st_str data_center;
  st_str callers_address;
  bool leaving;
} cm_member;

typedef struct
{
  st_name name;
  st_name data_center;
  st_name region;
  st_name model;
  char owner[CM_INCARNATION_MAX]; /* incarnation; "" when no VM is live */
  uint32_t engine_count;
  st_name engines[CE_CELL_ENGINES_MAX];
} cm_cell;

typedef struct cm_map cm_map;

#ifdef __cplusplus
extern "C"
{
#endif

  cm_map *cm_make (void);
  void cm_destroy (cm_map *cm);
  bool cm_update (cm_map *cm, const dr_directory *directory,
                  const cm_member *members, size_t member_count);
  size_t cm_query_count (const cm_map *cm);
  const cm_cell *cm_query_at (const cm_map *cm, size_t index);
  const cm_cell *cm_find (const cm_map *cm, st_str name);
  const cm_cell *cm_find_engine (const cm_map *cm, st_str engine);

#ifdef __cplusplus
}
#endif

#endif
