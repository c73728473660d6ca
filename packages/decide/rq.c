#include "rq.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define _RQ_DEFAULT_CAPACITY 16384
#define _RQ_DEFAULT_RETENTION_MS (10 * 60 * 1000ull)
#define _RQ_DEFAULT_MAX_FUTURE_MS (60 * 1000ull)
#define _RQ_DEFAULT_MIN_RETENTION_MS (5 * 1000ull)
/* A full table drops records from the first 1/8 of the range of issue times
   in a sweep.  */
#define _RQ_DROP_DIVISOR 8

typedef struct
{
  uint64_t issued_ms;
  uint64_t user;
  uint32_t next; /* index + 1 of the next record of the hash bucket */
  uint8_t state;
  uint8_t outcome;
  uint8_t id_len;
  char id[RQ_ID_MAX];
} _rq_entry;

struct rq_table
{
  al_allocator allocator;
  char incarnation[RQ_ID_MAX];
  size_t incarnation_len;
  uint64_t retention_ms;
  uint64_t max_future_ms;
  uint64_t min_retention_ms;
  uint64_t wall_ms;  /* highest time passed in */
  uint64_t floor_ms; /* new ids issued at or before this time are refused */
  bool disable_duplicate_check;
  uint32_t open;        /* records without an outcome */
  uint32_t sweep_index; /* record at which the next sweep begins */
  uint32_t bucket_mask;
  uint32_t *buckets; /* index + 1 of the first record, 0 when empty */
  _rq_entry *entries;
  id_pool pool;
};

/* Makes an empty table; all memory is allocated here.  */
rq_table *
rq_make (const rq_desc *desc)
{
  rq_table *t = al_alloc (&desc->allocator, sizeof *t);
  uint32_t capacity
      = desc->capacity > 0 ? desc->capacity : _RQ_DEFAULT_CAPACITY;
  uint32_t buckets = 16;
  while (buckets < capacity)
    buckets *= 2;
  t->allocator = desc->allocator;
  t->incarnation_len = desc->incarnation.len < RQ_ID_MAX
                           ? desc->incarnation.len
                           : RQ_ID_MAX - 1;
  memcpy (t->incarnation, desc->incarnation.ptr, t->incarnation_len);
  t->retention_ms
      = desc->retention_ms > 0 ? desc->retention_ms : _RQ_DEFAULT_RETENTION_MS;
  t->max_future_ms = desc->max_future_ms > 0 ? desc->max_future_ms
                                             : _RQ_DEFAULT_MAX_FUTURE_MS;
  t->min_retention_ms = desc->min_retention_ms > 0
                            ? desc->min_retention_ms
                            : _RQ_DEFAULT_MIN_RETENTION_MS;
  t->disable_duplicate_check = desc->disable_duplicate_check;
  t->bucket_mask = buckets - 1;
  t->buckets = al_alloc (&t->allocator, buckets * sizeof (uint32_t));
  t->entries = al_alloc (&t->allocator, capacity * sizeof (_rq_entry));
  id_setup (&t->pool,
            &(id_desc){ .capacity = capacity, .allocator = desc->allocator });
  return t;
}

/* Releases T, which may be NULL.  */
void
rq_destroy (rq_table *t)
{
  if (t == NULL)
    return;
  al_allocator allocator = t->allocator;
  id_shutdown (&t->pool);
  al_free (&allocator, t->entries);
  al_free (&allocator, t->buckets);
  al_free (&allocator, t);
}

static bool
_rq_validate_name (st_str s, size_t max)
{
  if (s.len == 0 || s.len > max)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      char c = s.ptr[i];
      bool ok = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9') || c == '-' || c == '_';
      if (!ok)
        return false;
    }
  return true;
}

/* Splits an id into its fields, which view TEXT.  False when TEXT is not
   "<incarnation>.<issued_ms>.<nonce>" with letters, digits, '-' and '_' in
   the names.  */
bool
rq_parse_id (st_str text, rq_id *out)
{
  size_t dot1;
  size_t dot2;
  if (text.len >= RQ_ID_MAX || !st_find_char (text, '.', &dot1))
    return false;
  st_str rest = st_slice (text, dot1 + 1, text.len);
  if (!st_find_char (rest, '.', &dot2))
    return false;
  out->incarnation = st_slice (text, 0, dot1);
  out->nonce = st_slice (rest, dot2 + 1, rest.len);
  return st_parse_u64 (st_slice (rest, 0, dot2), &out->issued_ms)
         && _rq_validate_name (out->incarnation, ST_NAME_MAX + 17)
         && _rq_validate_name (out->nonce, RQ_NONCE_MAX);
}

/* Writes an id for a new request and returns its length in bytes; at most
   SIZE - 1 bytes of it are written.  */
size_t
rq_format_id (char *out, size_t size, st_str incarnation, uint64_t issued_ms,
              uint64_t nonce)
{
  int n = snprintf (out, size, "%.*s.%" PRIu64 ".%016" PRIx64,
                    ST_FMT (incarnation), issued_ms, nonce);
  return n < 0 ? 0 : (size_t)n;
}

static uint32_t *
_rq_bucket (rq_table *t, st_str id)
{
  return &t->buckets[st_hash (id, 0) & t->bucket_mask];
}

static _rq_entry *
_rq_find (rq_table *t, st_str id, rq_handle *out)
{
  uint32_t at = *_rq_bucket (t, id);
  while (at != 0)
    {
      _rq_entry *e = &t->entries[at - 1];
      if (e->id_len == id.len && memcmp (e->id, id.ptr, id.len) == 0)
        {
          *out = id_at (&t->pool, at - 1);
          return e;
        }
      at = e->next;
    }
  return NULL;
}

static _rq_entry *
_rq_entry_of (const rq_table *t, rq_handle h)
{
  return id_valid (&t->pool, h) ? &t->entries[id_index (h)] : NULL;
}

static void
_rq_observe_time (rq_table *t, uint64_t wall_ms)
{
  if (wall_ms > t->wall_ms)
    t->wall_ms = wall_ms;
}

static bool
_rq_is_too_old (const rq_table *t, uint64_t issued_ms)
{
  return issued_ms <= t->floor_ms || issued_ms + t->retention_ms < t->wall_ms;
}

static rq_verdict
_rq_validate_id (const rq_table *t, st_str text, rq_id *id)
{
  if (!rq_parse_id (text, id))
    return RQ_MALFORMED;
  st_str own = { t->incarnation, t->incarnation_len };
  if (!st_equal (id->incarnation, own))
    return RQ_OTHER_OWNER;
  if (id->issued_ms > t->wall_ms + t->max_future_ms)
    return RQ_IN_FUTURE;
  return RQ_ADMITTED;
}

static void
_rq_unlink (rq_table *t, uint32_t index)
{
  _rq_entry *e = &t->entries[index];
  uint32_t *at = _rq_bucket (t, (st_str){ e->id, e->id_len });
  while (*at != index + 1)
    at = &t->entries[*at - 1].next;
  *at = e->next;
}

/* Oldest and newest issue time, in ms, among the records of the next SWEEP
   records that may be dropped: finished and older than min_retention_ms.
   False when there is none.  */
static bool
_rq_find_range (const rq_table *t, uint32_t sweep, uint64_t *oldest,
                uint64_t *newest)
{
  bool found = false;
  for (uint32_t n = 0; n < sweep; n++)
    {
      const _rq_entry *e
          = &t->entries[(t->sweep_index + n) % t->pool.capacity];
      if (e->state != RQ_FINISHED
          || e->issued_ms + t->min_retention_ms >= t->wall_ms)
        continue;
      if (!found || e->issued_ms < *oldest)
        *oldest = e->issued_ms;
      if (!found || e->issued_ms > *newest)
        *newest = e->issued_ms;
      found = true;
    }
  return found;
}

/* Makes room in a full table: raises the issue time up to which new ids are
   refused, then drops finished records that were issued no later.  */
static void
_rq_make_room (rq_table *t)
{
  uint64_t oldest = 0;
  uint64_t newest = 0;
  uint32_t sweep = t->pool.capacity < RQ_SWEEP_RECORDS ? t->pool.capacity
                                                       : RQ_SWEEP_RECORDS;
  if (!_rq_find_range (t, sweep, &oldest, &newest))
    {
      t->sweep_index = (t->sweep_index + sweep) % t->pool.capacity;
      return;
    }
  uint64_t floor = oldest + (newest - oldest) / _RQ_DROP_DIVISOR;
  if (floor > t->floor_ms)
    t->floor_ms = floor;
  for (uint32_t n = 0; n < sweep; n++)
    {
      uint32_t i = t->sweep_index;
      rq_handle h = id_at (&t->pool, i);
      t->sweep_index = (i + 1) % t->pool.capacity;
      if (h == 0 || t->entries[i].state != RQ_FINISHED
          || t->entries[i].issued_ms > t->floor_ms)
        continue;
      _rq_unlink (t, i);
      id_destroy (&t->pool, h);
    }
}

static rq_verdict
_rq_insert (rq_table *t, st_str text, uint64_t issued_ms, rq_handle *out)
{
  if (t->pool.free_count == 0 && !t->disable_duplicate_check)
    {
      _rq_make_room (t);
      if (_rq_is_too_old (t, issued_ms))
        return RQ_TOO_OLD;
    }
  rq_handle h = id_make (&t->pool);
  if (h == 0)
    return RQ_FULL;
  uint32_t *bucket = _rq_bucket (t, text);
  _rq_entry *e = &t->entries[id_index (h)];
  memset (e, 0, sizeof *e);
  e->issued_ms = issued_ms;
  e->id_len = (uint8_t)text.len;
  memcpy (e->id, text.ptr, text.len);
  e->next = *bucket;
  *bucket = id_index (h) + 1;
  t->open++;
  *out = h;
  return RQ_ADMITTED;
}

/* Decides whether a received request with the id TEXT may be queued.  OUT is
   set to the record's handle for RQ_ADMITTED and RQ_SEEN.  */
rq_verdict
rq_admit (rq_table *t, st_str text, uint64_t wall_ms, rq_handle *out)
{
  rq_id id;
  _rq_observe_time (t, wall_ms);
  rq_verdict verdict = _rq_validate_id (t, text, &id);
  if (verdict != RQ_ADMITTED)
    return verdict;
  if (!t->disable_duplicate_check)
    {
      if (_rq_find (t, text, out) != NULL)
        return RQ_SEEN;
      if (_rq_is_too_old (t, id.issued_ms))
        return RQ_TOO_OLD;
    }
  return _rq_insert (t, text, id.issued_ms, out);
}

/* Marks the request as dispatched; call it before the request is sent.  True
   at most once for each id, unless rq_undo_dispatch was called in between.  */
bool
rq_begin_dispatch (rq_table *t, rq_handle h)
{
  _rq_entry *e = _rq_entry_of (t, h);
  if (e == NULL || e->state != RQ_QUEUED)
    return false;
  e->state = RQ_DISPATCHED;
  return true;
}

/* Marks a dispatched request as queued again.  Only for a request of which no
   byte was sent, or which the engine explicitly did not admit.  */
bool
rq_undo_dispatch (rq_table *t, rq_handle h)
{
  _rq_entry *e = _rq_entry_of (t, h);
  if (e == NULL || e->state != RQ_DISPATCHED)
    return false;
  e->state = RQ_QUEUED;
  return true;
}

/* Sets the outcome once.  False when the request already has an outcome, when
   OUTCOME is RQ_NOT_RUN for a request that may have run, or RQ_ANSWERED for
   one that was never sent.  */
bool
rq_finish (rq_table *t, rq_handle h, rq_outcome outcome)
{
  _rq_entry *e = _rq_entry_of (t, h);
  if (e == NULL || e->state == RQ_FINISHED || outcome == RQ_NONE)
    return false;
  if (outcome == RQ_NOT_RUN && e->state == RQ_DISPATCHED)
    return false;
  if (outcome == RQ_ANSWERED && e->state == RQ_QUEUED)
    return false;
  e->state = RQ_FINISHED;
  e->outcome = (uint8_t)outcome;
  t->open--;
  return true;
}

static void
_rq_fill (const _rq_entry *e, rq_record *out)
{
  out->id = (st_str){ e->id, e->id_len };
  out->state = (rq_state)e->state;
  out->outcome = (rq_outcome)e->outcome;
  out->issued_ms = e->issued_ms;
  out->user = e->user;
}

/* Looks up the id TEXT.  RQ_SEEN: OUT is set to its record.  With
   REFUSE_IF_UNSEEN an id without a record gets one that is finished with
   RQ_NOT_RUN, so that the id can no longer be admitted and "not run" stays
   true.  Without it, RQ_ADMITTED means that the id has no record.  RQ_TOO_OLD
   means that the outcome is no longer available.  */
rq_verdict
rq_lookup (rq_table *t, st_str text, uint64_t wall_ms, bool refuse_if_unseen,
           rq_record *out)
{
  rq_id id;
  rq_handle h;
  _rq_observe_time (t, wall_ms);
  rq_verdict verdict = _rq_validate_id (t, text, &id);
  if (verdict != RQ_ADMITTED)
    return verdict;
  _rq_entry *e = _rq_find (t, text, &h);
  if (e == NULL)
    {
      if (_rq_is_too_old (t, id.issued_ms))
        return RQ_TOO_OLD;
      if (!refuse_if_unseen)
        return RQ_ADMITTED;
      verdict = _rq_insert (t, text, id.issued_ms, &h);
      if (verdict != RQ_ADMITTED)
        return verdict;
      rq_finish (t, h, RQ_NOT_RUN);
      e = _rq_entry_of (t, h);
    }
  _rq_fill (e, out);
  return RQ_SEEN;
}

/* Fills OUT with the record of H; its id views the table.  False when H is
   stale.  */
bool
rq_query (const rq_table *t, rq_handle h, rq_record *out)
{
  const _rq_entry *e = _rq_entry_of (t, h);
  if (e == NULL)
    return false;
  _rq_fill (e, out);
  return true;
}

/* Sets the user value of the record of H.  False when H is stale.  */
bool
rq_set_user (rq_table *t, rq_handle h, uint64_t user)
{
  _rq_entry *e = _rq_entry_of (t, h);
  if (e == NULL)
    return false;
  e->user = user;
  return true;
}

/* Drops finished records whose ids are too old to be admitted again, after
   a call of ON_DROP (which may be NULL) for each.  One call examines at most
   RQ_SWEEP_RECORDS records and continues where the last one ended.
   Returns the number of dropped records.  */
uint32_t
rq_expire (rq_table *t, uint64_t wall_ms,
           void (*on_drop) (const rq_record *record, void *user), void *user)
{
  uint32_t dropped = 0;
  _rq_observe_time (t, wall_ms);
  uint32_t sweep = t->pool.capacity < RQ_SWEEP_RECORDS ? t->pool.capacity
                                                       : RQ_SWEEP_RECORDS;
  for (uint32_t n = 0; n < sweep; n++)
    {
      uint32_t i = t->sweep_index;
      t->sweep_index = i + 1 < t->pool.capacity ? i + 1 : 0;
      rq_handle h = id_at (&t->pool, i);
      _rq_entry *e = &t->entries[i];
      if (h == 0 || e->state != RQ_FINISHED
          || !_rq_is_too_old (t, e->issued_ms))
        continue;
      if (on_drop != NULL)
        {
          rq_record record;
          _rq_fill (e, &record);
          on_drop (&record, user);
        }
      _rq_unlink (t, i);
      id_destroy (&t->pool, h);
      dropped++;
    }
  return dropped;
}

/* Number of records.  */
uint32_t
rq_query_count (const rq_table *t)
{
  return t->pool.used;
}

/* Number of records without an outcome.  */
uint32_t
rq_query_open (const rq_table *t)
{
  return t->open;
}

/* Name of OUTCOME as used in responses and logs.  */
const char *
rq_outcome_name (rq_outcome outcome)
{
  switch (outcome)
    {
    case RQ_ANSWERED:
      return "answered";
    case RQ_NOT_RUN:
      return "not_run";
    case RQ_UNKNOWN:
      return "unknown";
    case RQ_NONE:
      break;
    }
  return "none";
}
