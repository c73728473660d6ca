#include "pa.h"

/* Attempts without any bytes, and upstreams among them, for which the path is
   lost.  */
#define _PA_ATTEMPTS_MIN 3
#define _PA_UPSTREAMS_MIN 2
/* Time for which nothing has been heard then, and at least as long as
   responses take to begin.  Upstreams that crash leave others that respond. */
#define _PA_UNHEARD_US 400000
/* The same while no attempt has failed, and as a multiple of the time that
   responses take.  Deployments count a cut from 3 s after it has begun.  */
#define _PA_UNHEARD_SILENT_US 800000
#define _PA_UNHEARD_SILENT_WAITS 2
/* Wait after which an attempt counts as silent, and as a multiple likewise. An
   upstream that is sound may be silent for a second, but not several at the
   same time.  */
#define _PA_SILENT_US 1000000
#define _PA_SILENT_WAITS 3
/* A sound upstream may be silent for a second or so; where there is only one,
   silence counts from here on.  */
#define _PA_SILENT_LONG_US 2500000
/* Updates further apart than this mean that the VM was frozen or too slow to
   read what has arrived.  */
#define _PA_STALL_US 600000
/* Weight of the newest response in the time that responses take, as a
   divisor.  */
#define _PA_WAIT_DIVISOR 8
/* Interval of probes while the path is lost.  */
#define _PA_PROBE_INTERVAL_US 300000

static void
_pa_add_upstream (pa_path *p, uint64_t upstream)
{
  for (uint32_t i = 0; i < p->upstream_count; i++)
    if (p->upstreams[i] == upstream)
      return;
  if (p->upstream_count < PA_UPSTREAMS_MAX)
    p->upstreams[p->upstream_count++] = upstream;
}

static uint64_t
_pa_max (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

/* Records that a response has begun, WAITED_US after its request was sent.  */
void
pa_on_response (pa_path *p, uint64_t waited_us, uint64_t now_us)
{
  p->wait_us = p->wait_us == 0 ? waited_us
                               : p->wait_us - p->wait_us / _PA_WAIT_DIVISOR
                                     + waited_us / _PA_WAIT_DIVISOR;
  pa_on_heard (p, now_us);
}

/* Records bytes of an upstream.  */
void
pa_on_heard (pa_path *p, uint64_t now_us)
{
  p->heard_us = now_us;
  p->failed = 0;
  p->silent = 0;
  p->silent_long = 0;
  p->upstream_count = 0;
}

/* Records an attempt at UPSTREAM that has ended without any bytes of it.  */
void
pa_on_failed (pa_path *p, uint64_t upstream, uint64_t now_us)
{
  /* Without a first response the wait starts with the first failure.  */
  if (p->heard_us == 0)
    p->heard_us = now_us;
  p->failed++;
  _pa_add_upstream (p, upstream);
}

/* Records an attempt at UPSTREAM that has waited for bytes since SINCE_US.  */
void
pa_on_silent (pa_path *p, uint64_t upstream, uint64_t since_us,
              uint64_t now_us)
{
  if (now_us - since_us
      < _pa_max (_PA_SILENT_US, _PA_SILENT_WAITS * p->wait_us))
    return;
  if (p->heard_us == 0)
    p->heard_us = since_us;
  p->silent++;
  p->silent_long += now_us - since_us >= _PA_SILENT_LONG_US;
  _pa_add_upstream (p, upstream);
}

/* Decides whether the path is lost, for a VM with UPSTREAM_COUNT upstreams,
   from what was recorded since the last bytes and, of silent attempts, since
   the last update.  True when that changes.  */
bool
pa_update (pa_path *p, uint32_t upstream_count, uint64_t now_us)
{
  if (p->updated_us != 0 && now_us - p->updated_us > _PA_STALL_US)
    pa_on_heard (p, now_us);
  p->updated_us = now_us;
  uint32_t least = upstream_count < _PA_UPSTREAMS_MIN ? upstream_count
                                                      : _PA_UPSTREAMS_MIN;
  uint64_t unheard_us = p->failed > 0
                            ? _pa_max (_PA_UNHEARD_US, p->wait_us)
                            : _pa_max (_PA_UNHEARD_SILENT_US,
                                       _PA_UNHEARD_SILENT_WAITS * p->wait_us);
  bool unheard = p->heard_us != 0 && now_us - p->heard_us >= unheard_us;
  uint32_t silent = upstream_count > 1 ? p->silent : p->silent_long;
  bool was_lost = p->lost;
  if (unheard && upstream_count > 0 && p->failed + silent >= _PA_ATTEMPTS_MIN
      && p->upstream_count >= least)
    p->lost = true;
  else if (p->failed == 0 && p->silent == 0 && !unheard)
    p->lost = false;
  p->silent = 0;
  p->silent_long = 0;
  if (p->lost != was_lost)
    p->changed_us = now_us;
  return p->lost != was_lost;
}

/* True when an upstream is to be asked whether the path is back; counts as
   asked then.  */
bool
pa_probe_due (pa_path *p, uint64_t now_us)
{
  if (!p->lost
      || (p->probe_us != 0 && now_us - p->probe_us < _PA_PROBE_INTERVAL_US))
    return false;
  p->probe_us = now_us;
  return true;
}
