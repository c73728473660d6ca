/* dn.h -- which requests a VM accepts while it drains for a planned stop.

   Used by the gateway.

   Callers keep the address of a VM for a while, so that requests arrive after
   the stop has begun.  At first all of them are accepted, since most end in
   time.  Later only those are whose deadline lies before the process ends; the
   others are told that they have not run and go to another VM.

     dn_drain drain = { .start_us = now, .end_us = now + grace };
     if (!dn_accepts (&drain, deadline_us, now_us)) refuse the request  */
#ifndef DN_H
#define DN_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint64_t start_us; /* 0: no stop has begun */
  uint64_t end_us;   /* when open requests are ended; 0: never */
} dn_drain;

#ifdef __cplusplus
extern "C"
{
#endif

  bool dn_accepts (const dn_drain *drain, uint64_t deadline_us,
                   uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
