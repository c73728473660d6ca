/* bb.h -- shares a limit on memory among the bodies of requests.

   Used by the gateway, before the bytes of a body are read.

   A body whose length is known takes all of its memory before it is read, so
   that bodies which have begun can be completed; another one takes more in
   steps.  Bodies that get none wait in an order that the caller decides, and
   are not read meanwhile.  Larger bodies leave a part of the limit for small
   ones.

     bb_budget budget = { .max = 33000000 };
     bb_body body = { 0 };
     if (!bb_take (&budget, &body, 4194304)) stop reading, try again after
       bb_release (&budget, &another);
     bb_release (&budget, &body);       when the request has ended

   Where all that is taken belongs to bodies that wait, the next one to try
   gets what it needs: otherwise none would be completed.  The limit is
   exceeded by one body at most.  */
#ifndef BB_H
#define BB_H

#include <stdbool.h>
#include <stdint.h>

/* A body up to this size is small.  */
#define BB_SMALL_BYTES 65536

typedef struct
{
  uint64_t max;
  uint64_t used;
  uint64_t used_by_waiting;
} bb_budget;

typedef struct
{
  uint64_t taken;
  bool waiting;
} bb_body;

#ifdef __cplusplus
extern "C"
{
#endif

  bool bb_take (bb_budget *budget, bb_body *body, uint64_t size);
  void bb_release (bb_budget *budget, bb_body *body);
  uint64_t bb_next_size (const bb_body *body);

#ifdef __cplusplus
}
#endif

#endif
