#include "ck.h"

#include <time.h>

static uint64_t
_ck_read_us (clockid_t id)
{
  struct timespec ts;
  clock_gettime (id, &ts);
  return (uint64_t)ts.tv_sec * CK_S_US + (uint64_t)ts.tv_nsec / 1000;
}

/* Monotonic time in microseconds.  */
uint64_t
ck_now_us (const ck_clock *clock)
{
  switch (clock->kind)
    {
    case CK_MANUAL:
      return clock->manual_us;
    case CK_RUNTIME:
      break;
    }
  return _ck_read_us (CLOCK_MONOTONIC);
}

/* Wall clock in milliseconds since 1970; a manual clock starts at 0.  */
uint64_t
ck_wall_ms (const ck_clock *clock)
{
  switch (clock->kind)
    {
    case CK_MANUAL:
      return clock->manual_us / CK_MS_US;
    case CK_RUNTIME:
      break;
    }
  return _ck_read_us (CLOCK_REALTIME) / CK_MS_US;
}

/* Advances a manual clock by DELTA_US; has no effect on the system clock.  */
void
ck_advance_us (ck_clock *clock, uint64_t delta_us)
{
  if (clock->kind == CK_MANUAL)
    clock->manual_us += delta_us;
}

/* Converts US microseconds to a timeval, for libevent timers.  */
struct timeval
ck_timeval (uint64_t us)
{
  return (struct timeval){ (time_t)(us / CK_S_US),
                           (suseconds_t)(us % CK_S_US) };
}
