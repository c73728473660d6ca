#include "dn.h"

/* Time for which all requests are accepted: callers keep an address for up to
   three times the second that it is valid.  */
#define _DN_ACCEPT_ALL_US 2850000
/* Fraction of a short drain after which long requests would be cut off.  */
#define _DN_ACCEPT_ALL_FRACTION 0.5

/* True when a request with DEADLINE_US may be started on a VM in DRAIN.  */
bool
dn_accepts (const dn_drain *drain, uint64_t deadline_us, uint64_t now_us)
{
  if (drain->start_us == 0 || drain->end_us == 0
      || deadline_us <= drain->end_us)
    return true;
  uint64_t accept_us = (uint64_t)(_DN_ACCEPT_ALL_FRACTION
                                  * (double)(drain->end_us - drain->start_us));
  if (accept_us > _DN_ACCEPT_ALL_US)
    accept_us = _DN_ACCEPT_ALL_US;
  return now_us - drain->start_us < accept_us;
}
