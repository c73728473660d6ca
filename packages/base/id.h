/* id.h -- fixed pools of slots with generation-counted handles.

   A pool allocates handles for a fixed number of slots.  A handle holds the
   slot's index and generation, so that a handle used after its slot was freed
   is detected as stale.

     id_pool pool;
     id_setup (&pool, &(id_desc){ .capacity = 64 });
     id_handle h = id_make (&pool);           // 0 when the pool is full
     if (id_valid (&pool, h))
       use (table[id_index (h)]);
     id_destroy (&pool, h);
     id_shutdown (&pool);  */
#ifndef ID_H
#define ID_H

#include "al.h"

#include <stdbool.h>
#include <stdint.h>

/* Low 32 bits: slot index; high 32 bits: generation, never 0.  */
typedef uint64_t id_handle;

typedef struct
{
  uint32_t capacity; /* slots; 0 means 1024 */
  al_allocator allocator;
} id_desc;

typedef struct
{
  uint32_t capacity;
  uint32_t used;
  uint32_t free_count;
  uint32_t *generations; /* odd while the slot is allocated */
  uint32_t *free_list;
  al_allocator allocator;
} id_pool;

#ifdef __cplusplus
extern "C"
{
#endif

  void id_setup (id_pool *pool, const id_desc *desc);
  void id_shutdown (id_pool *pool);
  id_handle id_make (id_pool *pool);
  bool id_destroy (id_pool *pool, id_handle handle);
  bool id_valid (const id_pool *pool, id_handle handle);
  uint32_t id_index (id_handle handle);
  id_handle id_at (const id_pool *pool, uint32_t index);

#ifdef __cplusplus
}
#endif

#endif
