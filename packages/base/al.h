/* al.h -- caller-supplied allocator.

   Modules take an al_allocator in their desc struct.  A zeroed allocator
   means malloc and free.

     al_allocator al = { 0 };
     void *p = al_alloc (&al, 64);     // zeroed memory
     al_free (&al, p);  */
#ifndef AL_H
#define AL_H

#include <stddef.h>

typedef struct
{
  void *(*alloc) (size_t size, void *user);
  void (*free) (void *ptr, void *user);
  void *user;
} al_allocator;

#ifdef __cplusplus
extern "C"
{
#endif

  void *al_alloc (const al_allocator *al, size_t size);
  void al_free (const al_allocator *al, void *ptr);

#ifdef __cplusplus
}
#endif

#endif
