#include "bb.h"

/* Fraction of the limit that bodies which are not small may use.  */
#define _BB_LARGE_FRACTION 0.75

static void
_bb_set_waiting (bb_budget *budget, bb_body *body, bool waiting)
{
  if (waiting == body->waiting)
    return;
  body->waiting = waiting;
  if (waiting)
    budget->used_by_waiting += body->taken;
  else
    budget->used_by_waiting -= body->taken;
}

/* Raises what BODY has to SIZE bytes.  False, and BODY waits, when there is no
   room.  */
bool
bb_take (bb_budget *budget, bb_body *body, uint64_t size)
{
  uint64_t others = budget->used - body->taken;
  double limit = size <= BB_SMALL_BYTES
                     ? (double)budget->max
                     : _BB_LARGE_FRACTION * (double)budget->max;
  if (size <= body->taken)
    return true;
  _bb_set_waiting (budget, body, false);
  if ((double)(others + size) > limit && others > budget->used_by_waiting)
    {
      _bb_set_waiting (budget, body, true);
      return false;
    }
  budget->used = others + size;
  body->taken = size;
  return true;
}

/* Returns all that BODY has.  */
void
bb_release (bb_budget *budget, bb_body *body)
{
  _bb_set_waiting (budget, body, false);
  budget->used -= body->taken;
  body->taken = 0;
}

/* Size to take next for a body of unknown length.  */
uint64_t
bb_next_size (const bb_body *body)
{
  return body->taken > 0 ? 2 * body->taken : BB_SMALL_BYTES;
}
