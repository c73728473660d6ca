#include "se.h"

#include <glib.h>
#include <msgpack.h>
#include <sodium.h>
#include <string.h>

/* Format of the value of settings/head:
   [1, version, [[subtree, hash, changed]...],
    [[version, time_ms, id, who, subtree, before, after]...]]
   with hashes as 16 bytes, or no bytes for none.  */
#define _SE_FORMAT 1
#define _SE_HASH_BYTES (SP_HASH_LEN / 2)
/* Objects in the longest head.  msgpack-c allocates by the lengths that the
   bytes claim, so the lengths are checked first.  */
#define _SE_OBJECTS_MAX (8 + 4 * SP_ENTRIES_DEFAULT + 8 * SP_RECORDS_MAX)

static void
_se_pack_name (msgpack_packer *pk, const st_name *name)
{
  msgpack_pack_str_with_body (pk, name->text, name->len);
}

static void
_se_pack_hash (msgpack_packer *pk, const sp_hash *hash)
{
  unsigned char bytes[_SE_HASH_BYTES];
  size_t len = 0;
  if (sodium_hex2bin (bytes, sizeof bytes, hash->text, strlen (hash->text),
                      NULL, &len, NULL)
          != 0
      || len != sizeof bytes)
    len = 0;
  msgpack_pack_bin_with_body (pk, bytes, len);
}

/* Encodes HEAD for the store.  The caller frees BYTES with g_free.  False when
   the result is longer than the store accepts.  */
bool
se_encode_head (const sp_head *head, char **bytes, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer pk;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&pk, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 4);
  msgpack_pack_uint64 (&pk, _SE_FORMAT);
  msgpack_pack_uint64 (&pk, head->version);
  msgpack_pack_array (&pk, head->entry_count);
  for (size_t i = 0; i < head->entry_count; i++)
    {
      const sp_entry *e = &head->entries[i];
      msgpack_pack_array (&pk, 3);
      _se_pack_name (&pk, &e->subtree);
      _se_pack_hash (&pk, &e->hash);
      msgpack_pack_uint64 (&pk, e->changed);
    }
  msgpack_pack_array (&pk, head->record_count);
  for (size_t i = 0; i < head->record_count; i++)
    {
      const sp_record *r = &head->records[i];
      msgpack_pack_array (&pk, 7);
      msgpack_pack_uint64 (&pk, r->version);
      msgpack_pack_uint64 (&pk, r->time_ms);
      _se_pack_name (&pk, &r->id);
      _se_pack_name (&pk, &r->who);
      _se_pack_name (&pk, &r->subtree);
      _se_pack_hash (&pk, &r->before);
      _se_pack_hash (&pk, &r->after);
    }
  *bytes = g_memdup2 (buffer.data, buffer.size);
  *len = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return *len <= PF_VALUE_MAX;
}

/* The items of O, an array of COUNT items (0: of any length), or NULL.  */
static const msgpack_object *
_se_read_array (const msgpack_object *o, uint32_t count, uint32_t *size)
{
  if (o->type != MSGPACK_OBJECT_ARRAY
      || (count > 0 && o->via.array.size != count))
    return NULL;
  if (size != NULL)
    *size = o->via.array.size;
  return o->via.array.ptr;
}

static bool
_se_read_u64 (const msgpack_object *o, uint64_t *out)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *out = o->via.u64;
  return true;
}

static bool
_se_read_name (const msgpack_object *o, st_name *out)
{
  return o->type == MSGPACK_OBJECT_STR
         && st_name_set (out, (st_str){ o->via.str.ptr, o->via.str.size });
}

static bool
_se_read_hash (const msgpack_object *o, sp_hash *out)
{
  memset (out, 0, sizeof *out);
  if (o->type != MSGPACK_OBJECT_BIN
      || (o->via.bin.size != _SE_HASH_BYTES && o->via.bin.size != 0))
    return false;
  if (o->via.bin.size > 0)
    sodium_bin2hex (out->text, sizeof out->text,
                    (const unsigned char *)o->via.bin.ptr, o->via.bin.size);
  return true;
}

static bool
_se_decode_entries (const msgpack_object *o, sp_entry *entries, size_t max,
                    size_t *count)
{
  uint32_t n = 0;
  const msgpack_object *list = _se_read_array (o, 0, &n);
  if (o->type != MSGPACK_OBJECT_ARRAY || n > max || (n > 0 && list == NULL))
    return false;
  for (uint32_t i = 0; i < n; i++)
    {
      const msgpack_object *f = _se_read_array (&list[i], 3, NULL);
      if (f == NULL || !_se_read_name (&f[0], &entries[i].subtree)
          || !_se_read_hash (&f[1], &entries[i].hash)
          || entries[i].hash.text[0] == 0
          || !_se_read_u64 (&f[2], &entries[i].changed))
        return false;
    }
  *count = n;
  return true;
}

static bool
_se_decode_records (const msgpack_object *o, sp_record *records, size_t *count)
{
  uint32_t n = 0;
  const msgpack_object *list = _se_read_array (o, 0, &n);
  if (o->type != MSGPACK_OBJECT_ARRAY || n > SP_RECORDS_MAX
      || (n > 0 && list == NULL))
    return false;
  for (uint32_t i = 0; i < n; i++)
    {
      sp_record *r = &records[i];
      const msgpack_object *f = _se_read_array (&list[i], 7, NULL);
      if (f == NULL || !_se_read_u64 (&f[0], &r->version)
          || !_se_read_u64 (&f[1], &r->time_ms)
          || !_se_read_name (&f[2], &r->id) || !_se_read_name (&f[3], &r->who)
          || !_se_read_name (&f[4], &r->subtree)
          || !_se_read_hash (&f[5], &r->before)
          || !_se_read_hash (&f[6], &r->after))
        return false;
    }
  *count = n;
  return true;
}

/* Decodes a value of settings/head.  ENTRIES has room for MAX_ENTRIES items,
   RECORDS for SP_RECORDS_MAX; OUT points into them.  */
bool
se_decode_head (st_str bytes, sp_entry *entries, size_t max_entries,
                sp_record *records, sp_head *out)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  uint64_t format = 0;
  bool ok = false;
  memset (out, 0, sizeof *out);
  out->entries = entries;
  out->records = records;
  if (!ms_check_stored (bytes, _SE_OBJECTS_MAX, NULL))
    return false;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.ptr, bytes.len, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && offset == bytes.len)
    {
      const msgpack_object *f = _se_read_array (&unpacked.data, 4, NULL);
      ok = f != NULL && _se_read_u64 (&f[0], &format) && format == _SE_FORMAT
           && _se_read_u64 (&f[1], &out->version)
           && _se_decode_entries (&f[2], entries, max_entries,
                                  &out->entry_count)
           && _se_decode_records (&f[3], records, &out->record_count);
    }
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}
