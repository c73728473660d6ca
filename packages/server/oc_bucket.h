/* oc_bucket.h -- stored form of a bucket of intents.

   A bucket is a msgpack map from key to [attempt, incarnation, state, status,
   body, whether the body is truncated, time in ms].

     msgpack_sbuffer out;
     oc_bucket_encode (&value, &out);
     oc_bucket *b = oc_bucket_decode (bytes, revision, &err);
     use (oc_bucket_value (b));          // valid while BYTES are
     oc_bucket_destroy (b);  */
#ifndef OC_BUCKET_H
#define OC_BUCKET_H

#include "er.h"
#include "od.h"

#include <msgpack.h>

typedef struct oc_bucket oc_bucket;

#ifdef __cplusplus
extern "C"
{
#endif

  void oc_bucket_encode (const od_value *value, msgpack_sbuffer *out);
  oc_bucket *oc_bucket_decode (st_str bytes, uint64_t revision, er_error *err);
  const od_value *oc_bucket_value (const oc_bucket *bucket);
  void oc_bucket_destroy (oc_bucket *bucket);

#ifdef __cplusplus
}
#endif

#endif
