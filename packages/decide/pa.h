/* pa.h -- whether this VM has a path to the upstreams.

   Used by the gateway.  A VM may be partitioned from all upstreams while
   callers, the store and the other VMs still reach it.  Each upstream alone
   then looks like one that has failed.  What tells the cases apart is that no
   upstream is heard at all.

     pa_on_response (&path, waited_us, now_us); // a response has begun
     pa_on_heard (&path, now_us);             // further bytes of an upstream
     pa_on_failed (&path, upstream, now_us);  // an attempt without any bytes
     pa_on_silent (&path, upstream, since_us, now_us);  // one that waits
     if (pa_update (&path, upstream_count, now_us)) the state has changed;
                                              // several times a second

   The path is lost when several attempts, at more than one upstream where
   there are more, have failed or wait for long, and nothing has been heard for
   a while.  One upstream that is silent for a second or crashes is not enough,
   and neither is a slow link: where responses take longer, so does the while.
   Upstreams that are overloaded are silent too, so that silence alone counts
   later than failures.  The path is found again with the first bytes, for
   which pa_probe_due says when to ask an upstream.  */
#ifndef PA_H
#define PA_H

#include <stdbool.h>
#include <stdint.h>

/* Upstreams that are told apart.  */
#define PA_UPSTREAMS_MAX 4

typedef struct
{
  bool lost;
  uint64_t changed_us;  /* when LOST was set or cleared; 0: never */
  uint64_t heard_us;    /* last bytes; 0: none yet */
  uint64_t wait_us;     /* until a response begins, a moving average */
  uint32_t failed;      /* attempts since then without any bytes */
  uint32_t silent;      /* attempts that wait, since the last update */
  uint32_t silent_long; /* of these, for longer than a sound one is silent */
  uint64_t upstreams[PA_UPSTREAMS_MAX]; /* of both, hashes */
  uint32_t upstream_count;
  uint64_t probe_us;   /* last probe */
  uint64_t updated_us; /* last update */
} pa_path;

#ifdef __cplusplus
extern "C"
{
#endif

  void pa_on_response (pa_path *p, uint64_t waited_us, uint64_t now_us);
  void pa_on_heard (pa_path *p, uint64_t now_us);
  void pa_on_failed (pa_path *p, uint64_t upstream, uint64_t now_us);
  void pa_on_silent (pa_path *p, uint64_t upstream, uint64_t since_us,
                     uint64_t now_us);
  bool pa_update (pa_path *p, uint32_t upstream_count, uint64_t now_us);
  bool pa_probe_due (pa_path *p, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
