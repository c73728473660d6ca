#include "hs.h"

static unsigned
_hs_bucket_index (uint64_t value)
{
  if (value < HS_SUB_BUCKETS)
    return (unsigned)value;
  unsigned power = 63 - (unsigned)__builtin_clzll (value);
  if (power >= HS_MAX_POWER)
    return HS_BUCKETS - 1;
  unsigned sub_bucket
      = (unsigned)(value >> (power - 3)) & (HS_SUB_BUCKETS - 1);
  return (power - 2) * HS_SUB_BUCKETS + sub_bucket;
}

/* Largest value that BUCKET counts.  */
uint64_t
hs_bucket_upper (unsigned bucket)
{
  if (bucket < HS_SUB_BUCKETS)
    return bucket;
  unsigned power = bucket / HS_SUB_BUCKETS + 2;
  uint64_t sub_bucket = bucket % HS_SUB_BUCKETS;
  return ((HS_SUB_BUCKETS + sub_bucket + 1) << (power - 3)) - 1;
}

/* Adds VALUE to H.  */
void
hs_record (hs_histogram *h, uint64_t value)
{
  h->buckets[_hs_bucket_index (value)]++;
  h->count++;
  h->sum += value;
  if (value > h->max)
    h->max = value;
}

/* Adds the contents of FROM to INTO.  */
void
hs_merge (hs_histogram *into, const hs_histogram *from)
{
  for (unsigned i = 0; i < HS_BUCKETS; i++)
    into->buckets[i] += from->buckets[i];
  into->count += from->count;
  into->sum += from->sum;
  if (from->max > into->max)
    into->max = from->max;
}

/* Upper bound of the bucket that holds quantile Q (0 to 1); 0 when H is
   empty.  Never above the largest recorded value.  */
uint64_t
hs_quantile (const hs_histogram *h, double q)
{
  if (h->count == 0)
    return 0;
  uint64_t rank = (uint64_t)(q * (double)h->count);
  if (rank >= h->count)
    rank = h->count - 1;
  uint64_t cumulative = 0;
  for (unsigned i = 0; i < HS_BUCKETS; i++)
    {
      cumulative += h->buckets[i];
      if (cumulative > rank)
        {
          uint64_t upper = hs_bucket_upper (i);
          return upper < h->max ? upper : h->max;
        }
    }
  return h->max;
}
