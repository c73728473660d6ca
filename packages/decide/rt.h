/* rt.h -- retry budget, delays between attempts and Retry-After.

   Used by the server, with one budget for each service or model.  Retries are
   at most a ratio of the first attempts plus a burst.  Requests that may have
   run must not be retried; the caller of this module checks that.

     rt_budget *rt = rt_make (&(rt_desc){ .seed = seed });
     rt_record_first_attempt (rt);
     if (failed && rt_take_retry (rt))
       retry after rt_delay_us (rt, attempt);      // attempt 1, 2, ...
     else
       refuse with rt_retry_after_ms (rt, backlog, per_second);
     rt_destroy (rt);

   rt_parse_retry_after reads the Retry-After of a response, rt_parse_rate a
   limit that an upstream names in it.  */
#ifndef RT_H
#define RT_H

#include "al.h"
#include "st.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct rt_budget rt_budget;

typedef struct
{
  uint32_t ratio_permille;     /* retries per 1000 first attempts; 0: 100 */
  uint32_t burst;              /* retries that may be saved up; 0: 10 */
  uint64_t base_us;            /* upper end of the first delay; 0: 50 ms */
  uint64_t max_us;             /* upper end of any delay; 0: 5 s */
  uint32_t min_retry_after_ms; /* 0: 500 */
  uint32_t max_retry_after_ms; /* 0: 60000 */
  uint32_t seed;
  al_allocator allocator;
} rt_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  rt_budget *rt_make (const rt_desc *desc);
  void rt_destroy (rt_budget *rt);
  void rt_record_first_attempt (rt_budget *rt);
  bool rt_take_retry (rt_budget *rt);
  uint64_t rt_delay_us (rt_budget *rt, uint32_t attempt);
  uint32_t rt_retry_after_ms (rt_budget *rt, uint64_t backlog,
                              double per_second);
  uint32_t rt_query_tokens (const rt_budget *rt);
  bool rt_parse_retry_after (st_str text, uint64_t max_us, uint64_t *out_us);
  bool rt_parse_rate (st_str text, double *per_s);

#ifdef __cplusplus
}
#endif

#endif
