#include "rt.h"

#include <glib.h>

#define _RT_UNIT 1000

struct rt_budget
{
  rt_desc desc;
  uint32_t permille; /* saved retries in thousandths */
  GRand *random;
};

/* Makes a budget that is full.  Returns NULL when the given allocator has no
   memory.  */
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
  rt->permille = d->burst * _RT_UNIT;
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

/* Counts a first try, which earns a part of a retry.  */
void
rt_first_try (rt_budget *rt)
{
  uint32_t full = rt->desc.burst * _RT_UNIT;
  rt->permille += rt->desc.ratio_permille;
  if (rt->permille > full)
    rt->permille = full;
}

/* Takes one retry from the budget.  False when it is used up.  */
bool
rt_retry (rt_budget *rt)
{
  if (rt->permille < _RT_UNIT)
    return false;
  rt->permille -= _RT_UNIT;
  return true;
}

/* Delay before try ATTEMPT + 1, ATTEMPT counting from 1: full jitter below
   an upper end that doubles each time.  */
uint64_t
rt_delay_us (rt_budget *rt, uint32_t attempt)
{
  uint64_t top = rt->desc.base_us;
  for (uint32_t i = 1; i < attempt && top < rt->desc.max_us; i++)
    top *= 2;
  if (top > rt->desc.max_us)
    top = rt->desc.max_us;
  return (uint64_t)(g_rand_double (rt->random) * (double)top);
}

/* Retry-After for a refused caller when BACKLOG requests wait and PER_SECOND
   are served: uniform between once and twice the time that the backlog
   needs, so that the callers of one refusal wave do not return together.  */
uint32_t
rt_retry_after_ms (rt_budget *rt, uint64_t backlog, double per_second)
{
  double rate = per_second > 0.1 ? per_second : 0.1;
  double low = (double)backlog * 1000.0 / rate;
  if (low < rt->desc.min_retry_after_ms)
    low = rt->desc.min_retry_after_ms;
  double ms = low * (1 + g_rand_double (rt->random));
  return ms < rt->desc.max_retry_after_ms ? (uint32_t)ms
                                          : rt->desc.max_retry_after_ms;
}

/* Whole retries that may be made now.  */
uint32_t
rt_query_tokens (const rt_budget *rt)
{
  return rt->permille / _RT_UNIT;
}
