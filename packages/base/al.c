#include "al.h"

#include <stdlib.h>
#include <string.h>

/* Returns SIZE bytes of zeroed memory.  Aborts when the default allocator
   is out of memory; a caller-supplied allocator may return NULL.  */
void *
al_alloc (const al_allocator *al, size_t size)
{
  void *ptr;
  if (al != NULL && al->alloc != NULL)
    {
      ptr = al->alloc (size, al->user);
      if (ptr != NULL)
        memset (ptr, 0, size);
      return ptr;
    }
  ptr = calloc (1, size > 0 ? size : 1);
  if (ptr == NULL)
    abort ();
  return ptr;
}

/* Frees memory that al_alloc returned.  PTR may be NULL.  */
void
al_free (const al_allocator *al, void *ptr)
{
  if (al != NULL && al->free != NULL)
    al->free (ptr, al->user);
  else
    free (ptr);
}
