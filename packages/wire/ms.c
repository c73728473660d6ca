#include "ms.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/* One array of this many objects takes 768 KiB in msgpack-c, which keeps the
   decoder below the longest frame.  */
#define _MS_OBJECTS_MAX 32768
#define _MS_DEPTH_MAX 4
#define _MS_ZONE_CHUNK_BYTES 8192

struct ms_decoder
{
  msgpack_zone zone;
};

/* State of encoding or decoding one message.  The same functions run in both
   directions: they pack into PACKER or read the next object of ITEMS.  */
typedef struct
{
  msgpack_packer *packer; /* NULL when decoding */
  const msgpack_object *items;
  uint32_t left;
  msgpack_zone *zone;
  const char *type_name;
  er_error *err;
  bool ok;
} _ms_io;

static const char *const _ms_names[MS_TYPE_END] = {
  [MS_HELLO] = "HELLO",
  [MS_PING] = "PING",
  [MS_PING_REQ] = "PING_REQ",
  [MS_ACK] = "ACK",
  [MS_LOOKUP] = "LOOKUP",
  [MS_LOOKUP_REPLY] = "LOOKUP_REPLY",
  [MS_SLOT_ASK] = "SLOT_ASK",
  [MS_SLOT_GRANT] = "SLOT_GRANT",
  [MS_SLOT_REFUSE] = "SLOT_REFUSE",
  [MS_SLOT_DONE] = "SLOT_DONE",
  [MS_SLOT_STOP] = "SLOT_STOP",
  [MS_SLOT_HOLD] = "SLOT_HOLD",
  [MS_SLOT_CANCEL] = "SLOT_CANCEL",
  [MS_SETTINGS_HEAD] = "SETTINGS_HEAD",
  [MS_SETTINGS_GET] = "SETTINGS_GET",
  [MS_SETTINGS_VALUE] = "SETTINGS_VALUE",
  [MS_HALT] = "HALT",
  [MS_EVIDENCE] = "EVIDENCE",
  [MS_ABANDON_ASK] = "ABANDON_ASK",
  [MS_ABANDON_REPLY] = "ABANDON_REPLY",
  [MS_DEMAND] = "DEMAND",
  [MS_LOAD] = "LOAD",
  [MS_SUSPECTS] = "SUSPECTS",
};

/* True when TYPE is an ms_type.  */
bool
ms_type_known (unsigned type)
{
  return type >= MS_HELLO && type < MS_TYPE_END;
}

/* Name of TYPE for logs; "unknown" for any other number.  */
const char *
ms_type_name (unsigned type)
{
  return ms_type_known (type) ? _ms_names[type] : "unknown";
}

static void
_ms_fail (_ms_io *io, const char *field, const char *what)
{
  if (io->ok)
    er_set (io->err, ER_INVALID, "%s: field %s %s", io->type_name, field,
            what);
  io->ok = false;
}

static const msgpack_object *
_ms_next (_ms_io *io, const char *field)
{
  if (!io->ok)
    return NULL;
  if (io->left == 0)
    {
      _ms_fail (io, field, "is missing");
      return NULL;
    }
  io->left--;
  return io->items++;
}

static void
_ms_u64 (_ms_io *io, const char *field, uint64_t *value, uint64_t max)
{
  if (io->packer == NULL)
    {
      const msgpack_object *o = _ms_next (io, field);
      if (o == NULL)
        return;
      if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        {
          _ms_fail (io, field, "is not an unsigned integer");
          return;
        }
      *value = o->via.u64;
    }
  if (*value > max)
    _ms_fail (io, field, "is out of range");
  else if (io->packer != NULL && io->ok)
    msgpack_pack_uint64 (io->packer, *value);
}

static void
_ms_u32 (_ms_io *io, const char *field, uint32_t *value, uint32_t max)
{
  uint64_t wide = io->packer != NULL ? *value : 0;
  _ms_u64 (io, field, &wide, max);
  if (io->packer == NULL)
    *value = (uint32_t)wide;
}

/* Enumerations start at 0 and have COUNT values.  */
#define _MS_ENUM(io, field, value, count)                                     \
  do                                                                          \
    {                                                                         \
      uint64_t _wide = (io)->packer != NULL ? (uint64_t)(value) : 0;          \
      _ms_u64 ((io), (field), &_wide, (count)-1);                             \
      if ((io)->packer == NULL && (io)->ok)                                   \
        (value) = _wide;                                                      \
    }                                                                         \
  while (0)

static void
_ms_bool (_ms_io *io, const char *field, bool *value)
{
  if (io->packer == NULL)
    {
      const msgpack_object *o = _ms_next (io, field);
      if (o == NULL)
        return;
      if (o->type != MSGPACK_OBJECT_BOOLEAN)
        _ms_fail (io, field, "is not a boolean");
      else
        *value = o->via.boolean;
    }
  else if (io->ok && *value)
    msgpack_pack_true (io->packer);
  else if (io->ok)
    msgpack_pack_false (io->packer);
}

static void
_ms_str (_ms_io *io, const char *field, st_str *value, size_t max)
{
  if (io->packer == NULL)
    {
      const msgpack_object *o = _ms_next (io, field);
      if (o == NULL)
        return;
      if (o->type != MSGPACK_OBJECT_STR)
        {
          _ms_fail (io, field, "is not a string");
          return;
        }
      value->ptr = o->via.str.ptr;
      value->len = o->via.str.size;
    }
  if (value->len > max)
    _ms_fail (io, field, "is too long");
  else if (value->len > 0 && memchr (value->ptr, 0, value->len) != NULL)
    _ms_fail (io, field, "contains a zero byte");
  else if (io->packer != NULL && io->ok)
    msgpack_pack_str_with_body (io->packer, value->ptr, value->len);
}

/* A string that must not be empty.  */
static void
_ms_nonempty_str (_ms_io *io, const char *field, st_str *value, size_t max)
{
  _ms_str (io, field, value, max);
  if (io->ok && value->len == 0)
    _ms_fail (io, field, "is empty");
}

static void
_ms_bin (_ms_io *io, const char *field, st_str *value, size_t max)
{
  if (io->packer == NULL)
    {
      const msgpack_object *o = _ms_next (io, field);
      if (o == NULL)
        return;
      if (o->type != MSGPACK_OBJECT_BIN)
        {
          _ms_fail (io, field, "is not a byte string");
          return;
        }
      value->ptr = o->via.bin.ptr;
      value->len = o->via.bin.size;
    }
  if (value->len > max)
    _ms_fail (io, field, "is too long");
  else if (io->packer != NULL && io->ok)
    msgpack_pack_bin_with_body (io->packer, value->ptr, value->len);
}

/* Enters an array of exactly COUNT fields.  SAVED is set to the position after
   it.  */
static bool
_ms_enter_array (_ms_io *io, const char *field, uint32_t count, _ms_io *saved)
{
  *saved = *io;
  if (io->packer != NULL)
    {
      if (io->ok)
        msgpack_pack_array (io->packer, count);
      return io->ok;
    }
  const msgpack_object *o = _ms_next (io, field);
  if (o == NULL)
    return false;
  if (o->type != MSGPACK_OBJECT_ARRAY)
    {
      _ms_fail (io, field, "is not an array");
      return false;
    }
  if (o->via.array.size != count)
    {
      _ms_fail (io, field, "has the wrong number of elements");
      return false;
    }
  *saved = *io;
  io->items = o->via.array.ptr;
  io->left = count;
  return true;
}

static void
_ms_leave_array (_ms_io *io, const _ms_io *saved)
{
  if (io->packer != NULL)
    return;
  io->items = saved->items;
  io->left = saved->left;
}

/* An array of up to MAX elements of SIZE bytes, each passed to IO_ITEM.  */
static void
_ms_list (_ms_io *io, const char *field, size_t *count, const void **items,
          size_t max, size_t size, void (*io_item) (_ms_io *io, void *item))
{
  if (io->packer == NULL)
    {
      const msgpack_object *o = _ms_next (io, field);
      *count = 0;
      *items = NULL;
      if (o == NULL)
        return;
      if (o->type != MSGPACK_OBJECT_ARRAY)
        {
          _ms_fail (io, field, "is not an array");
          return;
        }
      if (o->via.array.size > max)
        {
          _ms_fail (io, field, "has too many elements");
          return;
        }
      size_t n = o->via.array.size;
      if (n == 0)
        return;
      char *memory = msgpack_zone_malloc (io->zone, n * size);
      if (memory == NULL)
        {
          _ms_fail (io, field, "does not fit into memory");
          return;
        }
      memset (memory, 0, n * size);
      _ms_io saved = *io;
      io->items = o->via.array.ptr;
      io->left = o->via.array.size;
      for (size_t i = 0; i < n && io->ok; i++)
        io_item (io, memory + i * size);
      io->items = saved.items;
      io->left = saved.left;
      *items = memory;
      *count = n;
      return;
    }
  if (*count > max)
    {
      _ms_fail (io, field, "has too many elements");
      return;
    }
  if (io->ok)
    msgpack_pack_array (io->packer, *count);
  /* When packing, IO_ITEM reads its item and does not write it.  */
  for (size_t i = 0; i < *count && io->ok; i++)
    io_item (io, (char *)*items + i * size);
}

#define _MS_LIST(io, field, count, items, max, io_item)                       \
  do                                                                          \
    {                                                                         \
      const void *_items = (items);                                           \
      _ms_list ((io), (field), &(count), &_items, (max), sizeof *(items),     \
                (io_item));                                                   \
      if ((io)->packer == NULL)                                               \
        (items) = _items;                                                     \
    }                                                                         \
  while (0)

static void
_ms_io_hello (_ms_io *io, ms_hello *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 7, &saved))
    return;
  _ms_nonempty_str (io, "name", &m->name, MS_NAME_MAX);
  _ms_nonempty_str (io, "incarnation", &m->incarnation, MS_INCARNATION_MAX);
  _ms_str (io, "region", &m->region, MS_NAME_MAX);
  _ms_str (io, "data_center", &m->data_center, MS_NAME_MAX);
  _ms_str (io, "peer_address", &m->peer_address, MS_ADDRESS_MAX);
  _ms_str (io, "callers_address", &m->callers_address, MS_ADDRESS_MAX);
  _ms_u32 (io, "protocol_version", &m->protocol_version, 255);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_member (_ms_io *io, void *item)
{
  ms_member *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "member", 9, &saved))
    return;
  _ms_nonempty_str (io, "name", &m->name, MS_NAME_MAX);
  _ms_nonempty_str (io, "incarnation", &m->incarnation, MS_INCARNATION_MAX);
  _ms_str (io, "region", &m->region, MS_NAME_MAX);
  _ms_str (io, "data_center", &m->data_center, MS_NAME_MAX);
  _ms_str (io, "peer_address", &m->peer_address, MS_ADDRESS_MAX);
  _ms_str (io, "callers_address", &m->callers_address, MS_ADDRESS_MAX);
  _MS_ENUM (io, "state", m->state, MS_MEMBER_STATES);
  _ms_u64 (io, "counter", &m->counter, UINT64_MAX);
  _ms_u32 (io, "capacity", &m->capacity, UINT32_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_demand (_ms_io *io, void *item)
{
  ms_demand *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "demand", 3, &saved))
    return;
  _ms_nonempty_str (io, "team", &m->team, MS_NAME_MAX);
  _ms_u64 (io, "demand", &m->demand, UINT64_MAX);
  _ms_u64 (io, "share", &m->share, 1000000);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_probe (_ms_io *io, ms_probe *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 7, &saved))
    return;
  _ms_u64 (io, "sequence", &m->sequence, UINT64_MAX);
  _ms_nonempty_str (io, "sender", &m->sender, MS_INCARNATION_MAX);
  _ms_str (io, "subject", &m->subject, MS_INCARNATION_MAX);
  _ms_u64 (io, "settings_version", &m->settings_version, UINT64_MAX);
  _ms_io_member (io, &m->self);
  _MS_LIST (io, "updates", m->update_count, m->updates, MS_UPDATES_MAX,
            _ms_io_member);
  _MS_LIST (io, "demands", m->demand_count, m->demands, MS_DEMANDS_MAX,
            _ms_io_demand);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_ping_req (_ms_io *io, ms_ping_req *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 3, &saved))
    return;
  _ms_u64 (io, "sequence", &m->sequence, UINT64_MAX);
  _ms_nonempty_str (io, "sender", &m->sender, MS_INCARNATION_MAX);
  _ms_nonempty_str (io, "target", &m->target, MS_INCARNATION_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_lookup (_ms_io *io, ms_lookup *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 3, &saved))
    return;
  _ms_nonempty_str (io, "request_id", &m->request_id, MS_REQUEST_ID_MAX);
  _ms_nonempty_str (io, "asker", &m->asker, MS_INCARNATION_MAX);
  _ms_bool (io, "refuse_if_unseen", &m->refuse_if_unseen);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_lookup_reply (_ms_io *io, ms_lookup_reply *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 4, &saved))
    return;
  _ms_nonempty_str (io, "request_id", &m->request_id, MS_REQUEST_ID_MAX);
  _MS_ENUM (io, "state", m->state, MS_LOOKUP_STATES);
  _MS_ENUM (io, "outcome", m->outcome, MS_OUTCOMES);
  _ms_str (io, "engine", &m->engine, MS_NAME_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_prefix (_ms_io *io, void *item)
{
  ms_prefix *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "prefix", 2, &saved))
    return;
  _ms_u64 (io, "hash", &m->hash, UINT64_MAX);
  _ms_u32 (io, "tokens", &m->tokens, MS_TOKENS_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_slot_ask (_ms_io *io, ms_slot_ask *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 12, &saved))
    return;
  _ms_u64 (io, "handle", &m->handle, UINT64_MAX);
  _ms_nonempty_str (io, "cell", &m->cell, MS_ROUTE_MAX);
  _ms_u32 (io, "tier", &m->tier, MS_TIERS - 1);
  _ms_str (io, "team", &m->team, MS_NAME_MAX);
  _ms_str (io, "version", &m->version, MS_NAME_MAX);
  _ms_str (io, "route", &m->route, MS_ROUTE_MAX);
  _ms_u32 (io, "prompt_tokens", &m->prompt_tokens, MS_TOKENS_MAX);
  _ms_u32 (io, "expected_tokens", &m->expected_tokens, MS_TOKENS_MAX);
  _MS_LIST (io, "prefixes", m->prefix_count, m->prefixes, MS_PREFIXES_MAX,
            _ms_io_prefix);
  _ms_u64 (io, "deadline_ms", &m->deadline_ms, UINT64_MAX / 1000);
  _ms_str (io, "resume_engine", &m->resume_engine, MS_NAME_MAX);
  _ms_bool (io, "first_token_unreported", &m->first_token_unreported);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_slot_grant (_ms_io *io, ms_slot_grant *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 4, &saved))
    return;
  _ms_u64 (io, "handle", &m->handle, UINT64_MAX);
  _ms_nonempty_str (io, "engine", &m->engine, MS_NAME_MAX);
  _ms_u64 (io, "grant_id", &m->grant_id, UINT64_MAX);
  _ms_u64 (io, "first_token_us", &m->first_token_us, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_slot_refuse (_ms_io *io, ms_slot_refuse *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 4, &saved))
    return;
  _ms_u64 (io, "handle", &m->handle, UINT64_MAX);
  _MS_ENUM (io, "reason", m->reason, MS_REFUSE_REASONS);
  _ms_u64 (io, "retry_after_ms", &m->retry_after_ms, UINT64_MAX / 1000);
  _ms_bool (io, "lower_tier_running", &m->lower_tier_running);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_slot_done (_ms_io *io, ms_slot_done *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 7, &saved))
    return;
  _ms_u64 (io, "handle", &m->handle, UINT64_MAX);
  _ms_u64 (io, "grant_id", &m->grant_id, UINT64_MAX);
  _ms_u64 (io, "first_token_us", &m->first_token_us, UINT64_MAX);
  _ms_u32 (io, "tokens", &m->tokens, MS_TOKENS_MAX);
  _ms_u64 (io, "inter_token_us", &m->inter_token_us, UINT64_MAX);
  _MS_ENUM (io, "outcome", m->outcome, MS_OUTCOMES);
  _ms_bool (io, "engine_refused", &m->engine_refused);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_slot_stop (_ms_io *io, ms_slot_stop *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 2, &saved))
    return;
  _ms_u64 (io, "handle", &m->handle, UINT64_MAX);
  _ms_u64 (io, "grant_id", &m->grant_id, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_slot_hold (_ms_io *io, ms_slot_hold *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 11, &saved))
    return;
  _ms_u64 (io, "handle", &m->handle, UINT64_MAX);
  _ms_u64 (io, "grant_id", &m->grant_id, UINT64_MAX);
  _ms_nonempty_str (io, "cell", &m->cell, MS_ROUTE_MAX);
  _ms_nonempty_str (io, "engine", &m->engine, MS_NAME_MAX);
  _ms_u32 (io, "tier", &m->tier, MS_TIERS - 1);
  _ms_str (io, "team", &m->team, MS_NAME_MAX);
  _ms_str (io, "version", &m->version, MS_NAME_MAX);
  _ms_str (io, "route", &m->route, MS_ROUTE_MAX);
  _ms_u32 (io, "prompt_tokens", &m->prompt_tokens, MS_TOKENS_MAX);
  _ms_u32 (io, "expected_tokens", &m->expected_tokens, MS_TOKENS_MAX);
  _ms_u32 (io, "tokens", &m->tokens, MS_TOKENS_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_slot_cancel (_ms_io *io, ms_slot_cancel *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 1, &saved))
    return;
  _ms_u64 (io, "handle", &m->handle, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_settings_ref (_ms_io *io, void *item)
{
  ms_settings_ref *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "ref", 3, &saved))
    return;
  _ms_str (io, "subtree", &m->subtree, MS_HASH_MAX);
  _ms_nonempty_str (io, "hash", &m->hash, MS_HASH_MAX);
  _ms_u64 (io, "changed", &m->changed, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_settings_head (_ms_io *io, ms_settings_head *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 3, &saved))
    return;
  _ms_u64 (io, "version", &m->version, UINT64_MAX);
  _MS_LIST (io, "refs", m->count, m->refs, MS_SETTINGS_MAX,
            _ms_io_settings_ref);
  _ms_u64 (io, "since", &m->since, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_settings_get (_ms_io *io, ms_settings_get *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 2, &saved))
    return;
  _MS_LIST (io, "refs", m->count, m->refs, MS_SETTINGS_MAX,
            _ms_io_settings_ref);
  _ms_u64 (io, "since", &m->since, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_settings_value (_ms_io *io, ms_settings_value *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 2, &saved))
    return;
  _ms_nonempty_str (io, "hash", &m->hash, MS_HASH_MAX);
  _ms_bin (io, "bytes", &m->bytes, MS_VALUE_MAX_BYTES);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_halt (_ms_io *io, ms_halt *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 4, &saved))
    return;
  _ms_nonempty_str (io, "service", &m->service, MS_NAME_MAX);
  _ms_nonempty_str (io, "version", &m->version, MS_NAME_MAX);
  _ms_str (io, "reason", &m->reason, MS_REASON_MAX);
  _ms_u64 (io, "fence", &m->fence, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_count (_ms_io *io, void *item)
{
  _ms_u64 (io, "count", item, UINT64_MAX);
}

static void
_ms_io_evidence_entry (_ms_io *io, void *item)
{
  ms_evidence_entry *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "entry", 5, &saved))
    return;
  _ms_nonempty_str (io, "service", &m->service, MS_NAME_MAX);
  _ms_nonempty_str (io, "version", &m->version, MS_NAME_MAX);
  _ms_str (io, "route", &m->route, MS_ROUTE_MAX);
  _ms_u32 (io, "level", &m->level, 255);
  _MS_LIST (io, "counts", m->count, m->counts, MS_COUNTS_MAX, _ms_io_count);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_evidence (_ms_io *io, ms_evidence *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 3, &saved))
    return;
  _ms_nonempty_str (io, "sender", &m->sender, MS_INCARNATION_MAX);
  _ms_u64 (io, "sequence", &m->sequence, UINT64_MAX);
  _MS_LIST (io, "entries", m->count, m->entries, MS_EVIDENCE_MAX,
            _ms_io_evidence_entry);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_abandon_ask (_ms_io *io, ms_abandon_ask *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 3, &saved))
    return;
  _ms_nonempty_str (io, "incarnation", &m->incarnation, MS_INCARNATION_MAX);
  _ms_nonempty_str (io, "key", &m->key, MS_KEY_MAX);
  _ms_u64 (io, "attempt", &m->attempt, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_demand_report (_ms_io *io, ms_demand_report *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 1, &saved))
    return;
  _MS_LIST (io, "demands", m->count, m->demands, MS_DEMANDS_MAX,
            _ms_io_demand);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_load_row (_ms_io *io, void *item)
{
  ms_load_row *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "row", 3, &saved))
    return;
  _ms_u64 (io, "upstream", &m->upstream, UINT64_MAX);
  _ms_u32 (io, "running", &m->running, UINT32_MAX);
  _ms_u32 (io, "unread_tokens", &m->unread_tokens, UINT32_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_load_team (_ms_io *io, void *item)
{
  ms_load_team *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "team", 2, &saved))
    return;
  _ms_u64 (io, "team", &m->team, UINT64_MAX);
  _ms_u64 (io, "admitted", &m->admitted, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_load_rollout (_ms_io *io, void *item)
{
  ms_load_rollout *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "rollout", 8, &saved))
    return;
  _ms_u64 (io, "service", &m->service, UINT64_MAX);
  _ms_u64 (io, "order", &m->order, UINT64_MAX);
  _ms_u32 (io, "age_ms", &m->age_ms, UINT32_MAX);
  _ms_u64 (io, "stratum", &m->stratum, UINT64_MAX);
  _ms_u32 (io, "target_seen", &m->target_seen, UINT32_MAX);
  _ms_u32 (io, "target_failed", &m->target_failed, UINT32_MAX);
  _ms_u32 (io, "other_seen", &m->other_seen, UINT32_MAX);
  _ms_u32 (io, "other_failed", &m->other_failed, UINT32_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_load_limit (_ms_io *io, void *item)
{
  ms_load_limit *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "limit", 4, &saved))
    return;
  _ms_u64 (io, "upstream", &m->upstream, UINT64_MAX);
  _ms_bool (io, "named", &m->named);
  _ms_u32 (io, "per_s_milli", &m->per_s_milli, UINT32_MAX);
  _ms_u32 (io, "age_ms", &m->age_ms, UINT32_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_load (_ms_io *io, ms_load *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 13 + MS_LOAD_RANKS, &saved))
    return;
  _MS_ENUM (io, "scope", m->scope, MS_LOAD_SCOPES);
  _ms_u64 (io, "cell", &m->cell, UINT64_MAX);
  _ms_bool (io, "active", &m->active);
  _ms_bool (io, "follows", &m->follows);
  _ms_u64 (io, "store_revision", &m->store_revision, UINT64_MAX);
  _ms_u64 (io, "config_version", &m->config_version, UINT64_MAX);
  _ms_bool (io, "ready", &m->ready);
  _ms_bool (io, "no_path", &m->no_path);
  _ms_u32 (io, "uptime_ms", &m->uptime_ms, UINT32_MAX);
  for (int rank = 0; rank < MS_LOAD_RANKS; rank++)
    _ms_u32 (io, "waiting", &m->waiting[rank], UINT32_MAX);
  _MS_LIST (io, "rows", m->row_count, m->rows, MS_LOAD_ROWS_MAX,
            _ms_io_load_row);
  _MS_LIST (io, "teams", m->team_count, m->teams, MS_LOAD_ROWS_MAX,
            _ms_io_load_team);
  _MS_LIST (io, "rollouts", m->rollout_count, m->rollouts,
            MS_LOAD_ROLLOUTS_MAX, _ms_io_load_rollout);
  _MS_LIST (io, "limits", m->limit_count, m->limits, MS_LOAD_LIMITS_MAX,
            _ms_io_load_limit);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_suspect (_ms_io *io, void *item)
{
  ms_suspect *m = item;
  _ms_io saved;
  if (!_ms_enter_array (io, "row", 4, &saved))
    return;
  _ms_nonempty_str (io, "part", &m->part, MS_NAME_MAX);
  _ms_bool (io, "served", &m->served);
  _ms_u64 (io, "upstream", &m->upstream, UINT64_MAX);
  _ms_u64 (io, "request", &m->request, UINT64_MAX);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_suspects (_ms_io *io, ms_suspects *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 1, &saved))
    return;
  _MS_LIST (io, "rows", m->count, m->rows, MS_SUSPECTS_MAX, _ms_io_suspect);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_abandon_reply (_ms_io *io, ms_abandon_reply *m)
{
  _ms_io saved;
  if (!_ms_enter_array (io, "body", 3, &saved))
    return;
  _ms_nonempty_str (io, "key", &m->key, MS_KEY_MAX);
  _ms_u64 (io, "attempt", &m->attempt, UINT64_MAX);
  _ms_bool (io, "abandoned", &m->abandoned);
  _ms_leave_array (io, &saved);
}

static void
_ms_io_message (_ms_io *io, ms_message *m)
{
  switch (m->type)
    {
    case MS_HELLO:
      _ms_io_hello (io, &m->u.hello);
      return;
    case MS_PING:
    case MS_ACK:
      _ms_io_probe (io, &m->u.probe);
      return;
    case MS_PING_REQ:
      _ms_io_ping_req (io, &m->u.ping_req);
      return;
    case MS_LOOKUP:
      _ms_io_lookup (io, &m->u.lookup);
      return;
    case MS_LOOKUP_REPLY:
      _ms_io_lookup_reply (io, &m->u.lookup_reply);
      return;
    case MS_SLOT_ASK:
      _ms_io_slot_ask (io, &m->u.slot_ask);
      return;
    case MS_SLOT_GRANT:
      _ms_io_slot_grant (io, &m->u.slot_grant);
      return;
    case MS_SLOT_REFUSE:
      _ms_io_slot_refuse (io, &m->u.slot_refuse);
      return;
    case MS_SLOT_DONE:
      _ms_io_slot_done (io, &m->u.slot_done);
      return;
    case MS_SLOT_STOP:
      _ms_io_slot_stop (io, &m->u.slot_stop);
      return;
    case MS_SLOT_HOLD:
      _ms_io_slot_hold (io, &m->u.slot_hold);
      return;
    case MS_SLOT_CANCEL:
      _ms_io_slot_cancel (io, &m->u.slot_cancel);
      return;
    case MS_SETTINGS_HEAD:
      _ms_io_settings_head (io, &m->u.settings_head);
      return;
    case MS_SETTINGS_GET:
      _ms_io_settings_get (io, &m->u.settings_get);
      return;
    case MS_SETTINGS_VALUE:
      _ms_io_settings_value (io, &m->u.settings_value);
      return;
    case MS_HALT:
      _ms_io_halt (io, &m->u.halt);
      return;
    case MS_EVIDENCE:
      _ms_io_evidence (io, &m->u.evidence);
      return;
    case MS_ABANDON_ASK:
      _ms_io_abandon_ask (io, &m->u.abandon_ask);
      return;
    case MS_ABANDON_REPLY:
      _ms_io_abandon_reply (io, &m->u.abandon_reply);
      return;
    case MS_DEMAND:
      _ms_io_demand_report (io, &m->u.demand_report);
      return;
    case MS_LOAD:
      _ms_io_load (io, &m->u.load);
      return;
    case MS_SUSPECTS:
      _ms_io_suspects (io, &m->u.suspects);
      return;
    case MS_TYPE_END:
      break;
    }
  _ms_fail (io, "type", "is not defined");
}

/* Appends the frame of M to OUT.  Fails with ER_INVALID, naming the field
   that is out of range, or with the errors of fr_encode; OUT is then
   unchanged.  */
bool
ms_encode (struct evbuffer *out, const ms_message *m, er_error *err)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  ms_message copy = *m;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  _ms_io io = { .packer = &packer,
                .type_name = ms_type_name (m->type),
                .err = err,
                .ok = true };
  _ms_io_message (&io, &copy);
  bool ok = io.ok;
  if (ok)
    {
      st_str body = { buffer.data, buffer.size };
      ok = fr_encode (out, (uint8_t)m->type, m->correlation, body, err);
    }
  msgpack_sbuffer_destroy (&buffer);
  return ok;
}

/* Scan over the objects of a body before msgpack-c unpacks it, because
   msgpack-c allocates an array from its stated count.  Accepts exactly one
   array of integers, booleans, strings, byte strings and arrays.  */
typedef struct
{
  const uint8_t *at;
  size_t left;
  uint32_t objects;
  uint32_t objects_max;
  bool maps;
  const char *failure;
} _ms_scan;

static bool
_ms_scan_take (_ms_scan *scan, size_t n, uint64_t *value)
{
  if (scan->left < n)
    {
      scan->failure = "ends early";
      return false;
    }
  uint64_t v = 0;
  for (size_t i = 0; value != NULL && i < n; i++)
    v = v << 8 | scan->at[i];
  if (value != NULL)
    *value = v;
  scan->at += n;
  scan->left -= n;
  return true;
}

static bool _ms_scan_object (_ms_scan *scan, unsigned depth);

static bool
_ms_scan_array (_ms_scan *scan, uint64_t count, unsigned depth)
{
  if (count > scan->left || depth >= _MS_DEPTH_MAX)
    {
      scan->failure = "has an array that is too long or too deep";
      return false;
    }
  for (uint64_t i = 0; i < count; i++)
    if (!_ms_scan_object (scan, depth + 1))
      return false;
  return true;
}

static bool
_ms_scan_object (_ms_scan *scan, unsigned depth) /* NOLINT: bounded depth */
{
  uint64_t tag;
  uint64_t n;
  if (++scan->objects > scan->objects_max)
    {
      scan->failure = "has too many objects";
      return false;
    }
  if (!_ms_scan_take (scan, 1, &tag))
    return false;
  if (tag <= 0x7f || tag >= 0xe0) /* fixint */
    return true;
  if (scan->maps && tag >= 0x80 && tag <= 0x8f) /* fixmap */
    return _ms_scan_array (scan, 2 * (tag & 0x0f), depth);
  if (tag >= 0x90 && tag <= 0x9f) /* fixarray */
    return _ms_scan_array (scan, tag & 0x0f, depth);
  if (tag >= 0xa0 && tag <= 0xbf) /* fixstr */
    return _ms_scan_take (scan, tag & 0x1f, NULL);
  switch (tag)
    {
    case 0xc2: /* booleans */
    case 0xc3:
      return true;
    case 0xc4: /* bin 8, 16, 32 */
    case 0xc5:
    case 0xc6:
      return _ms_scan_take (scan, (size_t)1 << (tag - 0xc4), &n)
             && _ms_scan_take (scan, n, NULL);
    case 0xcc: /* uint 8, 16, 32, 64 */
    case 0xcd:
    case 0xce:
    case 0xcf:
      return _ms_scan_take (scan, (size_t)1 << (tag - 0xcc), NULL);
    case 0xd9: /* str 8, 16, 32 */
    case 0xda:
    case 0xdb:
      return _ms_scan_take (scan, (size_t)1 << (tag - 0xd9), &n)
             && _ms_scan_take (scan, n, NULL);
    case 0xdc: /* array 16, 32 */
    case 0xdd:
      return _ms_scan_take (scan, (size_t)2 << (tag - 0xdc), &n)
             && _ms_scan_array (scan, n, depth);
    case 0xde: /* map 16, 32 */
    case 0xdf:
      if (scan->maps)
        return _ms_scan_take (scan, (size_t)2 << (tag - 0xde), &n)
               && _ms_scan_array (scan, 2 * n, depth);
      /* fall through */
    default:
      scan->failure = "has an object of an unexpected type";
      return false;
    }
}

/* Makes a decoder; it belongs to one thread.  */
ms_decoder *
ms_make_decoder (void)
{
  ms_decoder *d = calloc (1, sizeof *d);
  if (d == NULL || !msgpack_zone_init (&d->zone, _MS_ZONE_CHUNK_BYTES))
    abort ();
  return d;
}

/* Releases DECODER and every message that it decoded.  */
void
ms_destroy_decoder (ms_decoder *decoder)
{
  if (decoder == NULL)
    return;
  msgpack_zone_destroy (&decoder->zone);
  free (decoder);
}

/* Reads the body of FRAME into M.  Fails with ER_INVALID and a message that
   names the type and the field.  */
bool
ms_decode (ms_decoder *decoder, const fr_frame *frame, ms_message *m,
           er_error *err)
{
  msgpack_object root;
  const char *name = ms_type_name (frame->type);
  memset (m, 0, sizeof *m);
  if (!ms_type_known (frame->type))
    return er_set (err, ER_UNSUPPORTED, "message type %u is not defined",
                   frame->type);
  _ms_scan scan = { .at = (const uint8_t *)frame->body.ptr,
                    .left = frame->body.len,
                    .objects_max = _MS_OBJECTS_MAX };
  if (!_ms_scan_object (&scan, 0))
    return er_set (err, ER_INVALID, "%s: body %s", name, scan.failure);
  if (scan.left != 0)
    return er_set (err, ER_INVALID, "%s: %zu bytes after the body", name,
                   scan.left);
  msgpack_zone_clear (&decoder->zone);
  size_t offset = 0;
  if (msgpack_unpack (frame->body.ptr, frame->body.len, &offset,
                      &decoder->zone, &root)
      != MSGPACK_UNPACK_SUCCESS)
    return er_set (err, ER_INVALID, "%s: body is not msgpack", name);
  _ms_io io = { .items = &root,
                .left = 1,
                .zone = &decoder->zone,
                .type_name = name,
                .err = err,
                .ok = true };
  m->type = (ms_type)frame->type;
  m->correlation = frame->correlation;
  _ms_io_message (&io, m);
  return io.ok;
}

/* Checks that a stored VALUE is one msgpack object of maps, arrays, strings,
   byte strings, integers and booleans, with at most OBJECTS_MAX objects, so
   that msgpack-c may unpack it.  */
bool
ms_check_stored (st_str value, uint32_t objects_max, er_error *err)
{
  _ms_scan scan = { .at = (const uint8_t *)value.ptr,
                    .left = value.len,
                    .objects_max = objects_max,
                    .maps = true };
  if (!_ms_scan_object (&scan, 0))
    return er_set (err, ER_INVALID, "stored value %s", scan.failure);
  if (scan.left != 0)
    return er_set (err, ER_INVALID, "stored value has %zu bytes after its end",
                   scan.left);
  return true;
}
