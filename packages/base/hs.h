/* hs.h -- histogram of non-negative integers with a relative error of 1/8.

   Values below 8 have a bucket each; above that each power of two is split
   into 8 buckets.  Recording neither allocates nor locks.

     hs_histogram h = { 0 };
     hs_record (&h, 310000);
     uint64_t p99_us = hs_quantile (&h, 0.99);  */
#ifndef HS_H
#define HS_H

#include <stdint.h>

#define HS_SUB_BUCKETS 8
#define HS_MAX_POWER 40 /* 2^40 us is 12 days */
#define HS_BUCKETS ((HS_MAX_POWER - 2) * HS_SUB_BUCKETS)

typedef struct
{
  uint64_t count;
  uint64_t sum;
  uint64_t max;
  uint32_t buckets[HS_BUCKETS];
} hs_histogram;

#ifdef __cplusplus
extern "C"
{
#endif

  void hs_record (hs_histogram *h, uint64_t value);
  void hs_merge (hs_histogram *into, const hs_histogram *from);
  uint64_t hs_quantile (const hs_histogram *h, double q);
  uint64_t hs_bucket_upper (unsigned bucket);

#ifdef __cplusplus
}
#endif

#endif
