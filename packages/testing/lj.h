/* lj.h -- checks a run by comparing what callers and upstreams recorded.

   Used by loadclient --judge.  The record of the callers is the report of the
   load client; that of the upstreams is the response to GET /received of every
   stand-in engine and service.

     lj_verdict v;
     GString *reasons = g_string_new (NULL);
     bool agree = lj_check (&v, report, received, count, reasons);

   lost: a caller got neither a complete response nor a stated outcome.
   run twice: a stream id or key was received for a first dispatch more than
   once, or its caller got "not run" and an upstream received it.  */
#ifndef LJ_H
#define LJ_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t sent;
  uint32_t answered;
  uint32_t not_run;
  uint32_t unknown;
  uint32_t lost;
  uint32_t run_twice;
} lj_verdict;

#ifdef __cplusplus
extern "C"
{
#endif

  bool lj_check (lj_verdict *v, const json_t *report, json_t *const *received,
                 size_t count, GString *reasons);

#ifdef __cplusplus
}
#endif

#endif
