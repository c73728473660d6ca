/* ck.h -- clock.

   A ck_clock is either the system clock or a manual clock that only tests
   advance.  A zeroed ck_clock is the system clock.

     ck_clock c = { .kind = CK_MANUAL };
     ck_advance_us (&c, 500000);
     uint64_t now_us = ck_now_us (&c);  */
#ifndef CK_H
#define CK_H

#include <stdint.h>
#include <sys/time.h>

#define CK_MS_US 1000ull
#define CK_S_US 1000000ull

typedef enum
{
  CK_RUNTIME = 0,
  CK_MANUAL
} ck_kind;

typedef struct
{
  ck_kind kind;
  uint64_t manual_us;
} ck_clock;

#ifdef __cplusplus
extern "C"
{
#endif

  uint64_t ck_now_us (const ck_clock *clock);
  uint64_t ck_wall_ms (const ck_clock *clock);
  struct timeval ck_timeval (uint64_t us);
  void ck_advance_us (ck_clock *clock, uint64_t delta_us);

#ifdef __cplusplus
}
#endif

#endif
