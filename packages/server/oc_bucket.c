#include "oc_bucket.h"

#include "ms.h"

#include <glib.h>

/* A bucket has less than 1 MB, in entries of more than 64 bytes.  */
#define _OC_OBJECTS_MAX 200000
#define _OC_FIELDS 7
#define _OC_ZONE_CHUNK_BYTES 65536

struct oc_bucket
{
  msgpack_zone zone;
  od_value value;
  od_entry *entries;
};

/* Writes VALUE into OUT, which the caller destroys.  */
void
oc_bucket_encode (const od_value *value, msgpack_sbuffer *out)
{
  msgpack_packer packer;
  msgpack_sbuffer_init (out);
  msgpack_packer_init (&packer, out, msgpack_sbuffer_write);
  msgpack_pack_map (&packer, value->count);
  for (uint32_t i = 0; i < value->count; i++)
    {
      const od_entry *e = &value->entries[i];
      msgpack_pack_str_with_body (&packer, e->key.ptr, e->key.len);
      msgpack_pack_array (&packer, _OC_FIELDS);
      msgpack_pack_uint64 (&packer, e->attempt);
      msgpack_pack_str_with_body (&packer, e->incarnation.ptr,
                                  e->incarnation.len);
      msgpack_pack_uint8 (&packer, (uint8_t)e->state);
      msgpack_pack_uint32 (&packer, e->status);
      msgpack_pack_bin_with_body (&packer, e->body.ptr, e->body.len);
      if (e->body_truncated)
        msgpack_pack_true (&packer);
      else
        msgpack_pack_false (&packer);
      msgpack_pack_uint64 (&packer, e->time_ms);
    }
}

static bool
_oc_read_u64 (const msgpack_object *o, uint64_t max, uint64_t *out)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
    return false;
  *out = o->via.u64;
  return true;
}

static bool
_oc_read_str (const msgpack_object *o, size_t max, st_str *out)
{
  if (o->type != MSGPACK_OBJECT_STR || o->via.str.size > max)
    return false;
  *out = (st_str){ o->via.str.ptr, o->via.str.size };
  return true;
}

static bool
_oc_read_entry (const msgpack_object_kv *kv, od_entry *e)
{
  const msgpack_object *f = kv->val.via.array.ptr;
  uint64_t state;
  uint64_t status;
  if (kv->val.type != MSGPACK_OBJECT_ARRAY
      || kv->val.via.array.size != _OC_FIELDS
      || !_oc_read_str (&kv->key, OD_KEY_MAX, &e->key) || e->key.len == 0
      || !_oc_read_u64 (&f[0], UINT64_MAX, &e->attempt)
      || !_oc_read_str (&f[1], OD_INCARNATION_MAX, &e->incarnation)
      || !_oc_read_u64 (&f[2], OD_ENTRY_STATES - 1, &state)
      || !_oc_read_u64 (&f[3], UINT32_MAX, &status)
      || f[4].type != MSGPACK_OBJECT_BIN
      || f[4].via.bin.size > OD_BODY_MAX_BYTES
      || f[5].type != MSGPACK_OBJECT_BOOLEAN
      || !_oc_read_u64 (&f[6], UINT64_MAX, &e->time_ms))
    return false;
  e->state = (od_entry_state)state;
  e->status = (uint32_t)status;
  e->body = (st_str){ f[4].via.bin.ptr, f[4].via.bin.size };
  e->body_truncated = f[5].via.boolean;
  return true;
}

/* Decodes BYTES, which must outlive the result.  Returns NULL, with ER_INVALID
   in ERR, when any entry is malformed: a bucket that is decoded in part would
   lose intents at the next write.  */
oc_bucket *
oc_bucket_decode (st_str bytes, uint64_t revision, er_error *err)
{
  msgpack_object root;
  size_t offset = 0;
  if (!ms_check_stored (bytes, _OC_OBJECTS_MAX, err))
    return NULL;
  oc_bucket *b = g_new0 (oc_bucket, 1);
  msgpack_zone_init (&b->zone, _OC_ZONE_CHUNK_BYTES);
  b->value.revision = revision;
  if (msgpack_unpack (bytes.ptr, bytes.len, &offset, &b->zone, &root)
          != MSGPACK_UNPACK_SUCCESS
      || root.type != MSGPACK_OBJECT_MAP)
    {
      er_set (err, ER_INVALID, "stored bucket is not a map");
      oc_bucket_destroy (b);
      return NULL;
    }
  b->entries = g_new0 (od_entry, root.via.map.size);
  b->value.entries = b->entries;
  b->value.count = root.via.map.size;
  for (uint32_t i = 0; i < root.via.map.size; i++)
    if (!_oc_read_entry (&root.via.map.ptr[i], &b->entries[i]))
      {
        er_set (err, ER_INVALID, "entry %u of a stored bucket is malformed",
                i);
        oc_bucket_destroy (b);
        return NULL;
      }
  return b;
}

/* The entries of BUCKET.  */
const od_value *
oc_bucket_value (const oc_bucket *bucket)
{
  return &bucket->value;
}

/* Releases BUCKET, which may be NULL.  */
void
oc_bucket_destroy (oc_bucket *bucket)
{
  if (bucket == NULL)
    return;
  msgpack_zone_destroy (&bucket->zone);
  g_free (bucket->entries);
  g_free (bucket);
}
