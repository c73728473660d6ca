#include "id.h"

#define _ID_DEFAULT_CAPACITY 1024

/* Prepares POOL with all slots free.  */
void
id_setup (id_pool *pool, const id_desc *desc)
{
  uint32_t n = desc->capacity > 0 ? desc->capacity : _ID_DEFAULT_CAPACITY;
  pool->allocator = desc->allocator;
  pool->capacity = n;
  pool->used = 0;
  pool->free_count = n;
  pool->generations = al_alloc (&pool->allocator, n * sizeof (uint32_t));
  pool->free_list = al_alloc (&pool->allocator, n * sizeof (uint32_t));
  for (uint32_t i = 0; i < n; i++)
    pool->free_list[i] = n - 1 - i;
}

/* Frees the memory of POOL.  */
void
id_shutdown (id_pool *pool)
{
  al_free (&pool->allocator, pool->generations);
  al_free (&pool->allocator, pool->free_list);
  pool->generations = NULL;
  pool->free_list = NULL;
  pool->capacity = 0;
}

/* Allocates a slot; returns 0 when the pool is full.  */
id_handle
id_make (id_pool *pool)
{
  if (pool->free_count == 0)
    return 0;
  uint32_t index = pool->free_list[--pool->free_count];
  pool->generations[index]++;
  pool->used++;
  return (id_handle)pool->generations[index] << 32 | index;
}

/* Frees the slot of HANDLE.  False when HANDLE is stale.  */
bool
id_destroy (id_pool *pool, id_handle handle)
{
  if (!id_valid (pool, handle))
    return false;
  uint32_t index = id_index (handle);
  pool->generations[index]++;
  pool->free_list[pool->free_count++] = index;
  pool->used--;
  return true;
}

/* True when the slot of HANDLE was not freed since id_make returned HANDLE. */
bool
id_valid (const id_pool *pool, id_handle handle)
{
  uint32_t index = id_index (handle);
  uint32_t generation = (uint32_t)(handle >> 32);
  return index < pool->capacity && (generation & 1) == 1
         && pool->generations[index] == generation;
}

/* Slot index of HANDLE, for tables that are indexed by slot.  */
uint32_t
id_index (id_handle handle)
{
  return (uint32_t)handle;
}

/* Handle of the slot at INDEX; 0 when the slot is free or out of range.  */
id_handle
id_at (const id_pool *pool, uint32_t index)
{
  if (index >= pool->capacity || (pool->generations[index] & 1) == 0)
    return 0;
  return (id_handle)pool->generations[index] << 32 | index;
}
