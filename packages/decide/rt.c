#include "rt.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define _RT_PERMILLE_PER_RETRY 1000

struct rt_budget
{
  rt_desc desc;
  uint32_t saved_permille; /* saved retries in thousandths */
  GRand *random;
};

/* Makes a full budget.  Returns NULL when out of memory.  */
rt_budget *
rt_make (const rt_desc *desc)
{
  rt_budget *rt = al_alloc (&desc->allocator, sizeof *rt);
  if (rt == NULL)
    return NULL;
  rt->desc = *desc;
  rt_desc *d = &rt->desc;
  d->ratio_permille = d->ratio_permille > 0 ? d->ratio_permille : 100;
  d->burst = d->burst > 0 ? d->burst : 10;
  d->base_us = d->base_us > 0 ? d->base_us : 50000;
  d->max_us = d->max_us > 0 ? d->max_us : 5000000;
  d->min_retry_after_ms
      = d->min_retry_after_ms > 0 ? d->min_retry_after_ms : 500;
  d->max_retry_after_ms
      = d->max_retry_after_ms > 0 ? d->max_retry_after_ms : 60000;
  rt->saved_permille = d->burst * _RT_PERMILLE_PER_RETRY;
  rt->random = g_rand_new_with_seed (d->seed);
  return rt;
}

/* Frees RT; it may be NULL.  */
void
rt_destroy (rt_budget *rt)
{
  if (rt == NULL)
    return;
  g_rand_free (rt->random);
  al_allocator al = rt->desc.allocator;
  al_free (&al, rt);
}

/* Counts a first attempt, which adds a fraction of a retry to the budget.  */
void
rt_record_first_attempt (rt_budget *rt)
{
  uint32_t full_permille = rt->desc.burst * _RT_PERMILLE_PER_RETRY;
  rt->saved_permille += rt->desc.ratio_permille;
  if (rt->saved_permille > full_permille)
    rt->saved_permille = full_permille;
}

/* Takes one retry from the budget.  False when it is used up.  */
bool
rt_take_retry (rt_budget *rt)
{
  if (rt->saved_permille < _RT_PERMILLE_PER_RETRY)
    return false;
  rt->saved_permille -= _RT_PERMILLE_PER_RETRY;
  return true;
}

/* Delay in microseconds after attempt ATTEMPT, counted from 1: full jitter
   below an upper end that doubles each time.  */
uint64_t
rt_delay_us (rt_budget *rt, uint32_t attempt)
{
  uint64_t max_delay_us = rt->desc.base_us;
  for (uint32_t i = 1; i < attempt && max_delay_us < rt->desc.max_us; i++)
    max_delay_us *= 2;
  if (max_delay_us > rt->desc.max_us)
    max_delay_us = rt->desc.max_us;
  return (uint64_t)(g_rand_double (rt->random) * (double)max_delay_us);
}

/* Retry-After in milliseconds for a refused caller when BACKLOG requests wait
   and PER_SECOND are served: uniform between once and twice the time that the
   backlog needs, so that callers refused together do not retry together.  */
uint32_t
rt_retry_after_ms (rt_budget *rt, uint64_t backlog, double per_second)
{
  double rate = per_second > 0.1 ? per_second : 0.1;
  double min_ms = (double)backlog * 1000.0 / rate;
  if (min_ms < rt->desc.min_retry_after_ms)
    min_ms = rt->desc.min_retry_after_ms;
  double ms = min_ms * (1 + g_rand_double (rt->random));
  return ms < rt->desc.max_retry_after_ms ? (uint32_t)ms
                                          : rt->desc.max_retry_after_ms;
}

/* Whole retries that may be made now.  */
uint32_t
rt_query_tokens (const rt_budget *rt)
{
  return rt->saved_permille / _RT_PERMILLE_PER_RETRY;
}

/* Reads TEXT, a decimal number without a sign or an exponent.  */
static bool
_rt_parse_decimal (st_str text, double *out)
{
  char copy[32];
  if (text.len == 0 || text.len >= sizeof copy)
    return false;
  for (size_t i = 0; i < text.len; i++)
    if (!g_ascii_isdigit (text.ptr[i]) && text.ptr[i] != '.')
      return false;
  memcpy (copy, text.ptr, text.len);
  copy[text.len] = 0;
  char *end;
  *out = g_ascii_strtod (copy, &end);
  return end == copy + text.len && isfinite (*out);
}

/* Reads TEXT, the value of a Retry-After field in seconds, whole or with a
   fraction, at most MAX_US.  False for a date and anything else that is not a
   positive number.  */
bool
rt_parse_retry_after (st_str text, uint64_t max_us, uint64_t *out_us)
{
  double s;
  if (!_rt_parse_decimal (text, &s) || s * 1e6 < 1)
    return false;
  *out_us = s * 1e6 < (double)max_us ? (uint64_t)(s * 1e6) : max_us;
  return true;
}

/* Reads TEXT, a number of requests a second, whole or with a fraction.  False
   for anything else; 0 is a rate.  */
bool
rt_parse_rate (st_str text, double *per_s)
{
  return _rt_parse_decimal (text, per_s);
}
