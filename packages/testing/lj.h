/* lj.h -- judges a run by what callers and upstreams each saw.

   The callers' side is the report of the load client, the upstreams' side
   the answers to GET /received of every stand-in engine and service.

     lj_verdict v;
     GString *reasons = g_string_new (NULL);
     bool agree = lj_judge (&v, report, received, count, reasons);

   lost: a caller was left without its whole answer or a stated outcome.
   run twice: a stream id or key was received for a first dispatch more than
   once, or was told to be not run and was received.  */
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

  bool lj_judge (lj_verdict *v, const json_t *report, json_t *const *received,
                 size_t count, GString *reasons);

#ifdef __cplusplus
}
#endif

#endif
