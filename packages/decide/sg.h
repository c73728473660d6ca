/* sg.h -- when a silent response counts as stalled.

   Used by the gateway, which then sends a request that may run again to
   another upstream while its caller still waits.

   A slow upstream must not be taken for a stalled one, so the time is never
   shorter than several times the upstream's own pace, which is measured while
   it is slow too.  Bytes that complete no event do not count as progress.

     uint64_t stall_us = sg_stall_us (&(sg_desc){ .tolerance_us = 2400000,
                                                  .pace_us = 40000 });
     if (now - last_progress_us >= stall_us) send it elsewhere  */
#ifndef SG_H
#define SG_H

#include <stdint.h>

typedef struct
{
  /* Silence after which the caller gives up.  */
  uint64_t tolerance_us;
  /* Mean time between two events, or of a whole response, at the upstream; 0:
     not measured.  */
  uint64_t pace_us;
} sg_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  uint64_t sg_stall_us (const sg_desc *desc);

#ifdef __cplusplus
}
#endif

#endif
