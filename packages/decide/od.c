#include "od.h"

#include "ck.h"

#include <string.h>

#define _OD_HASH_SEED 0x6f64ull
/* Upper bound of the msgpack envelope of one entry: headers and integers.  */
#define _OD_ENTRY_OVERHEAD_BYTES 64
#define _OD_VALUE_OVERHEAD_BYTES 64
#define _OD_OWN_INCARNATIONS_MAX 16
#define _OD_NONE UINT32_MAX

/* A reference-counted copy of an entry.  */
typedef struct
{
  uint32_t refs;
  uint64_t hash;  /* of the key */
  od_entry entry; /* views into TEXT */
  char text[];
} _od_blob;

typedef struct
{
  uint64_t revision;
  uint32_t count;
  uint32_t capacity;
  _od_blob **blobs;
} _od_list;

typedef enum
{
  _OD_NEEDS_INTENT = 0, /* needs its intent in the bucket */
  _OD_WRITING,          /* its intent is in a write without a result yet */
  _OD_INTENT_STORED,    /* its intent is in the store; next it is sent */
  _OD_SENT,
  _OD_OTHER_PROCESS,   /* another process has an intent for the key */
  _OD_OUTCOME_UNSTORED /* has an outcome that is not yet in the store */
} _od_state_kind;

typedef struct
{
  id_handle handle;
  uint32_t next; /* in the bucket */
  uint32_t bucket;
  uint64_t hash;
  uint64_t attempt;
  _od_state_kind state;
  uint64_t deadline_us;
  uint64_t fence;
  bool written;          /* the intent was part of some write */
  bool of_other_process; /* OUTCOME_UNSTORED: another process's attempt */
  bool droppable;        /* OUTCOME_UNSTORED: the attempt was never sent */
  bool may_replace;      /* the other process abandoned OTHER */
  bool awaiting_reply;   /* to an abandon request */
  uint64_t abandon_due_us;
  _od_blob *other;  /* the other process's intent */
  _od_blob *record; /* the outcome to be stored */
  uint32_t first_caller;
  uint8_t incarnation_len;
  uint16_t key_len;
  char incarnation[OD_INCARNATION_MAX];
  char key[OD_KEY_MAX];
} _od_slot;

typedef struct
{
  uint32_t next;
  uint64_t caller;
  /* Set with the outcome.  */
  id_handle call;
  uint64_t attempt;
  od_entry_state outcome;
  od_reason reason;
  _od_blob *stored;
} _od_caller;

typedef struct
{
  uint32_t first_slot;
  bool has_base;
  bool stale;      /* read again before the next decision */
  _od_list base;   /* the value as last read or written */
  _od_list staged; /* the value of the write in flight */
  uint64_t op;     /* in flight; 0: none */
  bool op_is_write;
  uint64_t retry_at_us;
  uint32_t failures;
} _od_bucket;

struct od_state
{
  od_desc desc;
  al_allocator allocator;
  uint64_t random;
  uint64_t attempts;
  uint64_t next_op;
  id_pool slot_ids;
  _od_slot *slots;
  id_pool caller_ids;
  _od_caller *callers;
  uint32_t completed_first; /* queue of callers with an outcome */
  uint32_t completed_last;
  _od_bucket *buckets;
  uint32_t incarnations; /* current one last */
  struct
  {
    uint8_t len;
    char text[OD_INCARNATION_MAX];
  } own_incarnations[_OD_OWN_INCARNATIONS_MAX];
  od_entry *scratch;
  uint32_t scratch_capacity;
  _od_blob *last_stored; /* backs the views of the last COMPLETE */
  od_counts counts;
};

static uint64_t
_od_random (od_state *od)
{
  od->random += 0x9e3779b97f4a7c15ull;
  uint64_t z = od->random;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ z >> 27) * 0x94d049bb133111ebull;
  return z ^ z >> 31;
}

static st_str
_od_slot_key (const _od_slot *s)
{
  return (st_str){ s->key, s->key_len };
}

static _od_blob *
_od_blob_make (od_state *od, const od_entry *e)
{
  size_t n = e->key.len + e->incarnation.len + e->body.len;
  _od_blob *b = al_alloc (&od->allocator, sizeof *b + n);
  char *at = b->text;
  st_str *to[3] = { &b->entry.key, &b->entry.incarnation, &b->entry.body };
  const st_str from[3] = { e->key, e->incarnation, e->body };
  b->refs = 1;
  b->hash = st_hash (e->key, _OD_HASH_SEED);
  b->entry = *e;
  for (int i = 0; i < 3; i++)
    {
      if (from[i].len > 0)
        memcpy (at, from[i].ptr, from[i].len);
      *to[i] = (st_str){ at, from[i].len };
      at += from[i].len;
    }
  return b;
}

static _od_blob *
_od_blob_ref (_od_blob *b)
{
  b->refs++;
  return b;
}

static void
_od_blob_drop (od_state *od, _od_blob **b)
{
  if (*b != NULL && --(*b)->refs == 0)
    al_free (&od->allocator, *b);
  *b = NULL;
}

/* Bytes that E may need in the store.  An intent reserves space for a response
   body, so that its outcome always fits.  */
static size_t
_od_entry_bytes (const od_entry *e)
{
  size_t body = e->state == OD_INTENT ? OD_BODY_MAX_BYTES : e->body.len;
  return _OD_ENTRY_OVERHEAD_BYTES + e->key.len + e->incarnation.len + body;
}

static void
_od_list_clear (od_state *od, _od_list *l)
{
  for (uint32_t i = 0; i < l->count; i++)
    _od_blob_drop (od, &l->blobs[i]);
  l->count = 0;
}

static void
_od_list_add (od_state *od, _od_list *l, _od_blob *b)
{
  if (l->count == l->capacity)
    {
      uint32_t capacity = l->capacity > 0 ? l->capacity * 2 : 16;
      _od_blob **blobs
          = al_alloc (&od->allocator, capacity * sizeof (_od_blob *));
      if (l->count > 0)
        memcpy (blobs, l->blobs, l->count * sizeof (_od_blob *));
      al_free (&od->allocator, l->blobs);
      l->blobs = blobs;
      l->capacity = capacity;
    }
  l->blobs[l->count++] = b;
}

static uint32_t
_od_list_find (const _od_list *l, uint64_t hash, st_str key)
{
  for (uint32_t i = 0; i < l->count; i++)
    if (l->blobs[i]->hash == hash && st_equal (l->blobs[i]->entry.key, key))
      return i;
  return _OD_NONE;
}

static bool
_od_is_own (const od_state *od, st_str incarnation)
{
  for (uint32_t i = 0; i < od->incarnations; i++)
    if (st_equal ((st_str){ od->own_incarnations[i].text,
                            od->own_incarnations[i].len },
                  incarnation))
      return true;
  return false;
}

static bool
_od_validate_entry (const od_entry *e)
{
  return e->key.len > 0 && e->key.len <= OD_KEY_MAX
         && e->incarnation.len <= OD_INCARNATION_MAX
         && e->body.len <= OD_BODY_MAX_BYTES && e->state < OD_ENTRY_STATES;
}

/* Makes the state for one process.  DESC's incarnation must not be empty.  */
od_state *
od_make (const od_desc *desc)
{
  od_state *od = al_alloc (&desc->allocator, sizeof *od);
  od_desc *d = &od->desc;
  *d = *desc;
  od->allocator = desc->allocator;
  d->buckets = d->buckets > 0 ? d->buckets : OD_BUCKETS;
  d->max_calls = d->max_calls > 0 ? d->max_calls : 1024;
  d->max_callers = d->max_callers > 0 ? d->max_callers : 4096;
  d->bucket_max_bytes
      = d->bucket_max_bytes > 0 ? d->bucket_max_bytes : 960 * 1024;
  d->retention_ms
      = d->retention_ms > 0 ? d->retention_ms : 24ull * 3600 * 1000;
  d->wait_us = d->wait_us > 0 ? d->wait_us : 5 * CK_S_US;
  d->abandon_interval_us
      = d->abandon_interval_us > 0 ? d->abandon_interval_us : 200 * CK_MS_US;
  d->retry_us = d->retry_us > 0 ? d->retry_us : 10 * CK_MS_US;
  d->retry_max_us = d->retry_max_us > 0 ? d->retry_max_us : CK_S_US;
  od->random = desc->seed;
  id_setup (&od->slot_ids, &(id_desc){ .capacity = d->max_calls,
                                       .allocator = od->allocator });
  id_setup (&od->caller_ids, &(id_desc){ .capacity = d->max_callers,
                                         .allocator = od->allocator });
  od->slots = al_alloc (&od->allocator, d->max_calls * sizeof *od->slots);
  od->callers
      = al_alloc (&od->allocator, d->max_callers * sizeof *od->callers);
  od->buckets = al_alloc (&od->allocator, d->buckets * sizeof *od->buckets);
  for (uint32_t i = 0; i < d->buckets; i++)
    od->buckets[i].first_slot = _OD_NONE;
  od->completed_first = _OD_NONE;
  od->completed_last = _OD_NONE;
  od_set_incarnation (od, desc->incarnation);
  return od;
}

/* Releases OD, which may be NULL.  */
void
od_destroy (od_state *od)
{
  if (od == NULL)
    return;
  al_allocator al = od->allocator;
  for (uint32_t i = 0; i < od->desc.max_calls; i++)
    {
      _od_blob_drop (od, &od->slots[i].other);
      _od_blob_drop (od, &od->slots[i].record);
    }
  for (uint32_t i = 0; i < od->desc.max_callers; i++)
    _od_blob_drop (od, &od->callers[i].stored);
  for (uint32_t i = 0; i < od->desc.buckets; i++)
    {
      _od_list_clear (od, &od->buckets[i].base);
      _od_list_clear (od, &od->buckets[i].staged);
      al_free (&al, od->buckets[i].base.blobs);
      al_free (&al, od->buckets[i].staged.blobs);
    }
  _od_blob_drop (od, &od->last_stored);
  id_shutdown (&od->slot_ids);
  id_shutdown (&od->caller_ids);
  al_free (&al, od->scratch);
  al_free (&al, od->slots);
  al_free (&al, od->callers);
  al_free (&al, od->buckets);
  al_free (&al, od);
}

/* Uses INCARNATION for new attempts.  Attempts under the previous 15 are still
   treated as this process's own.  */
void
od_set_incarnation (od_state *od, st_str incarnation)
{
  if (incarnation.len > OD_INCARNATION_MAX || _od_is_own (od, incarnation))
    return;
  if (od->incarnations == _OD_OWN_INCARNATIONS_MAX)
    {
      memmove (&od->own_incarnations[0], &od->own_incarnations[1],
               sizeof od->own_incarnations - sizeof od->own_incarnations[0]);
      od->incarnations--;
    }
  memcpy (od->own_incarnations[od->incarnations].text, incarnation.ptr,
          incarnation.len);
  od->own_incarnations[od->incarnations].len = (uint8_t)incarnation.len;
  od->incarnations++;
}

static _od_slot *
_od_find_slot (od_state *od, uint32_t bucket, uint64_t hash, st_str key)
{
  for (uint32_t i = od->buckets[bucket].first_slot; i != _OD_NONE;
       i = od->slots[i].next)
    if (od->slots[i].hash == hash
        && st_equal (_od_slot_key (&od->slots[i]), key))
      return &od->slots[i];
  return NULL;
}

static void
_od_free_slot (od_state *od, _od_slot *s)
{
  uint32_t index = id_index (s->handle);
  uint32_t *link = &od->buckets[s->bucket].first_slot;
  while (*link != index)
    link = &od->slots[*link].next;
  *link = s->next;
  _od_blob_drop (od, &s->other);
  _od_blob_drop (od, &s->record);
  id_destroy (&od->slot_ids, s->handle);
  s->handle = 0;
}

/* Frees one slot whose attempt was never sent by this process.  If its intent
   is in the store, this process reports it as abandoned on request.  */
static bool
_od_evict (od_state *od)
{
  for (uint32_t i = 0; i < od->desc.max_calls; i++)
    {
      _od_slot *s = &od->slots[i];
      if (s->handle != 0 && s->state == _OD_OUTCOME_UNSTORED
          && (s->droppable || s->of_other_process))
        {
          _od_free_slot (od, s);
          return true;
        }
    }
  return false;
}

static void
_od_queue_completion (od_state *od, uint32_t index)
{
  od->callers[index].next = _OD_NONE;
  if (od->completed_last == _OD_NONE)
    od->completed_first = index;
  else
    od->callers[od->completed_last].next = index;
  od->completed_last = index;
}

/* Queues the outcome for all callers of S.  STORED may be NULL.  */
static void
_od_complete_callers (od_state *od, _od_slot *s, od_entry_state outcome,
                      od_reason reason, uint64_t attempt, _od_blob *stored)
{
  uint32_t next;
  for (uint32_t i = s->first_caller; i != _OD_NONE; i = next)
    {
      _od_caller *c = &od->callers[i];
      next = c->next;
      c->call = s->handle;
      c->attempt = attempt;
      c->outcome = outcome;
      c->reason = reason;
      c->stored = stored != NULL ? _od_blob_ref (stored) : NULL;
      _od_queue_completion (od, i);
    }
  s->first_caller = _OD_NONE;
}

static void
_od_new_attempt (od_state *od, _od_slot *s, uint64_t deadline_us)
{
  uint32_t current = od->incarnations - 1;
  st_str own = { od->own_incarnations[current].text,
                 od->own_incarnations[current].len };
  s->attempt = st_hash (own, ++od->attempts);
  memcpy (s->incarnation, own.ptr, own.len);
  s->incarnation_len = (uint8_t)own.len;
  s->state = _OD_NEEDS_INTENT;
  s->deadline_us = deadline_us;
  s->written = false;
  s->of_other_process = false;
  s->droppable = false;
  s->may_replace = false;
  s->awaiting_reply = false;
  _od_blob_drop (od, &s->other);
  _od_blob_drop (od, &s->record);
}

static void
_od_set_record (od_state *od, _od_slot *s, od_entry_state state,
                uint32_t status, st_str body, uint64_t wall_ms)
{
  od_entry e = { .key = _od_slot_key (s),
                 .attempt = s->attempt,
                 .incarnation = { s->incarnation, s->incarnation_len },
                 .state = state,
                 .status = status,
                 .time_ms = wall_ms };
  e.body = st_slice (body, 0, OD_BODY_MAX_BYTES);
  e.body_truncated = body.len > OD_BODY_MAX_BYTES;
  if (body.len == 0)
    e.body = ST_LIT ("");
  _od_blob_drop (od, &s->record);
  s->record = _od_blob_make (od, &e);
  s->state = _OD_OUTCOME_UNSTORED;
}

/* Abandons an attempt that was not sent.  If its intent may be in the store,
   NOT_RUN is written as soon as the store accepts a write.  */
static void
_od_abandon (od_state *od, _od_slot *s, od_reason reason, uint64_t wall_ms)
{
  _od_complete_callers (od, s, OD_NOT_RUN, reason, s->attempt, NULL);
  if (!s->written)
    {
      _od_free_slot (od, s);
      return;
    }
  _od_set_record (od, s, OD_NOT_RUN, 0, ST_LIT (""), wall_ms);
  s->droppable = true;
}

/* Accepts a call.  Its caller receives the outcome in exactly one COMPLETE
   action, which may be queued at once.  False when max_callers are waiting:
   the call was not accepted, and no COMPLETE follows.  */
bool
od_call (od_state *od, const od_call_desc *desc, od_time t)
{
  id_handle h = id_make (&od->caller_ids);
  uint64_t hash;
  if (h == 0)
    return false;
  uint32_t index = id_index (h);
  _od_caller *c = &od->callers[index];

  *c = (_od_caller){ .next = _OD_NONE, .caller = desc->caller };
  od->counts.callers++;
  c->outcome = OD_NOT_RUN;
  if (desc->key.len == 0 || desc->key.len > OD_KEY_MAX)
    {
      c->reason = OD_REASON_KEY_INVALID;
      _od_queue_completion (od, index);
      return true;
    }
  hash = st_hash (desc->key, _OD_HASH_SEED);
  uint32_t bucket = (uint32_t)(hash % od->desc.buckets);
  uint64_t wait_us = desc->wait_us > 0 ? desc->wait_us : od->desc.wait_us;
  _od_slot *s = _od_find_slot (od, bucket, hash, desc->key);
  if (s != NULL && s->state == _OD_OUTCOME_UNSTORED)
    {
      if (s->record->entry.state != OD_NOT_RUN)
        {
          c->next = s->first_caller;
          s->first_caller = index;
          _od_complete_callers (od, s, s->record->entry.state, OD_REASON_NONE,
                                s->attempt, s->record);
          return true;
        }
      _od_new_attempt (od, s, t.now_us + wait_us);
    }
  if (s == NULL)
    {
      id_handle slot = id_make (&od->slot_ids);
      if (slot == 0 && _od_evict (od))
        slot = id_make (&od->slot_ids);
      if (slot == 0)
        {
          c->reason = OD_REASON_TABLE_FULL;
          _od_queue_completion (od, index);
          return true;
        }
      s = &od->slots[id_index (slot)];
      memset (s, 0, offsetof (_od_slot, incarnation));
      s->handle = slot;
      s->bucket = bucket;
      s->hash = hash;
      s->key_len = (uint16_t)desc->key.len;
      memcpy (s->key, desc->key.ptr, desc->key.len);
      s->first_caller = _OD_NONE;
      s->next = od->buckets[bucket].first_slot;
      od->buckets[bucket].first_slot = id_index (slot);
      _od_new_attempt (od, s, t.now_us + wait_us);
      if (od->desc.fault == OD_FAULT_SEND_WITHOUT_INTENT)
        s->state = _OD_INTENT_STORED;
    }
  c->next = s->first_caller;
  s->first_caller = index;
  return true;
}

static void
_od_schedule_retry (od_state *od, _od_bucket *b, uint64_t now_us)
{
  uint64_t cap = od->desc.retry_us << (b->failures < 16 ? b->failures : 16);
  if (cap > od->desc.retry_max_us)
    cap = od->desc.retry_max_us;
  b->failures++;
  b->retry_at_us = now_us + 1 + _od_random (od) % cap;
}

/* Updates S, whose intent was not yet seen in the store, from the current
   value of its bucket.  */
static void
_od_check_intent (od_state *od, _od_bucket *b, _od_slot *s, od_time t)
{
  uint32_t at = _od_list_find (&b->base, s->hash, _od_slot_key (s));
  s->state = _OD_NEEDS_INTENT;
  if (at == _OD_NONE)
    return;
  _od_blob *found = b->base.blobs[at];
  const od_entry *e = &found->entry;
  bool is_own_attempt
      = e->attempt == s->attempt && _od_is_own (od, e->incarnation);
  switch (e->state)
    {
    case OD_INTENT:
      if (is_own_attempt)
        {
          s->state = _OD_INTENT_STORED;
          s->fence = b->base.revision;
        }
      else if (!_od_is_own (od, e->incarnation)
               && !(s->may_replace && s->other != NULL
                    && s->other->entry.attempt == e->attempt))
        {
          if (s->other == NULL || s->other->entry.attempt != e->attempt)
            {
              s->awaiting_reply = false;
              s->abandon_due_us = t.now_us;
            }
          s->may_replace = false;
          _od_blob_ref (found);
          _od_blob_drop (od, &s->other);
          s->other = found;
          s->state = _OD_OTHER_PROCESS;
        }
      return;
    case OD_DONE:
      _od_complete_callers (od, s, OD_DONE, OD_REASON_NONE, e->attempt, found);
      _od_free_slot (od, s);
      return;
    case OD_UNKNOWN:
      if (is_own_attempt)
        {
          /* Another process declared this one dead.  Nothing was sent.  */
          s->written = true;
          _od_abandon (od, s, OD_REASON_DEADLINE, t.wall_ms);
          return;
        }
      _od_complete_callers (od, s, OD_UNKNOWN, OD_REASON_NONE, e->attempt,
                            found);
      _od_free_slot (od, s);
      return;
    case OD_NOT_RUN:
    case OD_ENTRY_STATES:
      return;
    }
}

/* Frees S when its outcome is stored or can no longer be stored.  */
static void
_od_check_outcome (od_state *od, const _od_bucket *b, _od_slot *s)
{
  uint32_t at = _od_list_find (&b->base, s->hash, _od_slot_key (s));
  if (at == _OD_NONE)
    {
      if (s->droppable || s->of_other_process)
        _od_free_slot (od, s);
      return;
    }
  const od_entry *e = &b->base.blobs[at]->entry;
  if (e->attempt != s->attempt || e->state == s->record->entry.state
      || (s->of_other_process && e->state != OD_INTENT))
    _od_free_slot (od, s);
}

static void
_od_check_bucket (od_state *od, _od_bucket *b, od_time t)
{
  uint32_t next;
  for (uint32_t i = b->first_slot; i != _OD_NONE; i = next)
    {
      _od_slot *s = &od->slots[i];
      next = s->next;
      switch (s->state)
        {
        case _OD_NEEDS_INTENT:
        case _OD_WRITING:
        case _OD_OTHER_PROCESS:
          _od_check_intent (od, b, s, t);
          break;
        case _OD_OUTCOME_UNSTORED:
          _od_check_outcome (od, b, s);
          break;
        case _OD_INTENT_STORED:
        case _OD_SENT:
          break;
        }
    }
}

/* True when a slot of B needs a read or a write.  */
static bool
_od_needs_store (const od_state *od, const _od_bucket *b)
{
  for (uint32_t i = b->first_slot; i != _OD_NONE; i = od->slots[i].next)
    {
      _od_state_kind state = od->slots[i].state;
      if (state == _OD_NEEDS_INTENT || state == _OD_WRITING
          || state == _OD_OUTCOME_UNSTORED
          || (state == _OD_OTHER_PROCESS && b->stale))
        return true;
    }
  return false;
}

static void
_od_list_put (od_state *od, _od_list *l, _od_blob *b)
{
  uint32_t at = _od_list_find (l, b->hash, b->entry.key);
  if (at == _OD_NONE)
    {
      _od_list_add (od, l, b);
      return;
    }
  _od_blob_drop (od, &l->blobs[at]);
  l->blobs[at] = b;
}

/* Copies the base to STAGED without entries older than the retention.  The age
   is measured against the newest entry or WALL_MS, whichever is lower, so that
   a VM whose clock is ahead does not drop entries that are still needed.
   Returns the size in bytes.  */
static size_t
_od_stage_base (od_state *od, _od_bucket *b, uint64_t wall_ms)
{
  uint64_t newest = 0;
  size_t bytes = _OD_VALUE_OVERHEAD_BYTES;
  for (uint32_t i = 0; i < b->base.count; i++)
    if (b->base.blobs[i]->entry.time_ms > newest)
      newest = b->base.blobs[i]->entry.time_ms;
  uint64_t now = newest < wall_ms ? newest : wall_ms;
  _od_list_clear (od, &b->staged);
  for (uint32_t i = 0; i < b->base.count; i++)
    {
      _od_blob *blob = b->base.blobs[i];
      if (now > blob->entry.time_ms
          && now - blob->entry.time_ms > od->desc.retention_ms)
        continue;
      _od_list_add (od, &b->staged, _od_blob_ref (blob));
      bytes += _od_entry_bytes (&blob->entry);
    }
  return bytes;
}

/* Builds the next value of B from its base and all waiting slots.  False when
   there is nothing to write.  */
static bool
_od_stage (od_state *od, _od_bucket *b, od_time t)
{
  size_t bytes = _od_stage_base (od, b, t.wall_ms);
  uint32_t changes = 0;
  uint32_t next;
  for (uint32_t i = b->first_slot; i != _OD_NONE; i = next)
    {
      _od_slot *s = &od->slots[i];
      next = s->next;
      if (s->state == _OD_OUTCOME_UNSTORED)
        {
          _od_list_put (od, &b->staged, _od_blob_ref (s->record));
          changes++;
        }
      if (s->state != _OD_NEEDS_INTENT)
        continue;
      od_entry e = { .key = _od_slot_key (s),
                     .attempt = s->attempt,
                     .incarnation = { s->incarnation, s->incarnation_len },
                     .state = OD_INTENT,
                     .body = ST_LIT (""),
                     .time_ms = t.wall_ms };
      size_t need = _od_entry_bytes (&e);
      if (bytes + need > od->desc.bucket_max_bytes)
        {
          _od_abandon (od, s, OD_REASON_BUCKET_FULL, t.wall_ms);
          continue;
        }
      bytes += need;
      _od_list_put (od, &b->staged, _od_blob_make (od, &e));
      s->state = _OD_WRITING;
      s->written = true;
      changes++;
    }
  return changes > 0;
}

static _od_bucket *
_od_take_op (od_state *od, uint64_t op, bool is_write)
{
  if (op == 0)
    return NULL;
  for (uint32_t i = 0; i < od->desc.buckets; i++)
    if (od->buckets[i].op == op && od->buckets[i].op_is_write == is_write)
      {
        od->buckets[i].op = 0;
        return &od->buckets[i];
      }
  return NULL;
}

/* The store is unavailable: abandons all attempts that wait for their intent
   to be stored.  */
static void
_od_refuse_waiting (od_state *od, _od_bucket *b, od_time t)
{
  uint32_t next;
  for (uint32_t i = b->first_slot; i != _OD_NONE; i = next)
    {
      _od_slot *s = &od->slots[i];
      next = s->next;
      if (s->state == _OD_NEEDS_INTENT || s->state == _OD_WRITING)
        _od_abandon (od, s, OD_REASON_STORE_UNAVAILABLE, t.wall_ms);
    }
}

/* Takes the result of the READ action OP.  VALUE is used when RESULT is OD_OK.
   A second result of the same operation has no effect.  */
void
od_on_read (od_state *od, uint64_t op, od_result result, const od_value *value,
            od_time t)
{
  _od_bucket *b = _od_take_op (od, op, false);
  if (b == NULL)
    return;
  switch (result)
    {
    case OD_OK:
      if (value->revision < b->base.revision)
        {
          _od_schedule_retry (od, b, t.now_us);
          return;
        }
      _od_list_clear (od, &b->base);
      b->base.revision = value->revision;
      for (uint32_t i = 0; i < value->count; i++)
        if (_od_validate_entry (&value->entries[i]))
          _od_list_add (od, &b->base, _od_blob_make (od, &value->entries[i]));
      break;
    case OD_NOT_FOUND:
      if (b->base.revision > 0)
        {
          /* Buckets are never removed, so this is not the store that has the
             intents.  */
          _od_refuse_waiting (od, b, t);
          _od_schedule_retry (od, b, t.now_us);
          return;
        }
      _od_list_clear (od, &b->base);
      break;
    case OD_UNAVAILABLE:
      _od_refuse_waiting (od, b, t);
      _od_schedule_retry (od, b, t.now_us);
      return;
    case OD_CONFLICT:
    case OD_LOST:
      _od_schedule_retry (od, b, t.now_us);
      return;
    }
  b->has_base = true;
  b->stale = false;
  _od_check_bucket (od, b, t);
}

/* Takes the result of the WRITE action OP; REVISION is the new one when RESULT
   is OD_OK.  */
void
od_on_write (od_state *od, uint64_t op, od_result result, uint64_t revision,
             od_time t)
{
  _od_bucket *b = _od_take_op (od, op, true);
  if (b == NULL)
    return;
  switch (result)
    {
    case OD_OK:
      {
        _od_list old = b->base;
        b->base = b->staged;
        b->staged = old;
        b->base.revision = revision;
        _od_list_clear (od, &b->staged);
        b->failures = 0;
        _od_check_bucket (od, b, t);
        return;
      }
    case OD_CONFLICT:
      od->counts.conflicts++;
      break;
    case OD_UNAVAILABLE:
      _od_refuse_waiting (od, b, t);
      break;
    case OD_NOT_FOUND:
    case OD_LOST:
      break;
    }
  /* The bucket must be read again before any decision.  */
  b->has_base = false;
  _od_list_clear (od, &b->staged);
  _od_schedule_retry (od, b, t.now_us);
}

/* Takes the result of the SEND action of CALL.  BODY is the response body, of
   any length; the user of od forwards it to the callers in the COMPLETE
   actions that follow with the same CALL.  */
void
od_on_call_result (od_state *od, id_handle call, od_call_result result,
                   uint32_t status, st_str body, od_time t)
{
  if (!id_valid (&od->slot_ids, call))
    return;
  _od_slot *s = &od->slots[id_index (call)];
  if (s->state != _OD_SENT)
    return;
  switch (result)
    {
    case OD_NOT_SENT:
      _od_abandon (od, s, OD_REASON_CONNECT_FAILED, t.wall_ms);
      return;
    case OD_ANSWERED:
      _od_complete_callers (od, s, OD_DONE, OD_REASON_NONE, s->attempt, NULL);
      _od_set_record (od, s, OD_DONE, status, body, t.wall_ms);
      return;
    case OD_CONNECTION_LOST:
      _od_complete_callers (od, s, OD_UNKNOWN, OD_REASON_CONNECTION_LOST,
                            s->attempt, NULL);
      _od_set_record (od, s, OD_UNKNOWN, 0, ST_LIT (""), t.wall_ms);
      return;
    }
}

/* Takes the RESULT of a REQUEST_ABANDON action for ATTEMPT, or the state of
   the other incarnation.  */
void
od_on_abandon_reply (od_state *od, st_str key, uint64_t attempt,
                     od_abandon_result result, od_time t)
{
  uint64_t hash = st_hash (key, _OD_HASH_SEED);
  uint32_t bucket = (uint32_t)(hash % od->desc.buckets);
  _od_slot *s = _od_find_slot (od, bucket, hash, key);
  if (s == NULL || s->state != _OD_OTHER_PROCESS
      || s->other->entry.attempt != attempt)
    return;
  s->awaiting_reply = false;
  s->abandon_due_us = t.now_us + od->desc.abandon_interval_us;
  od->buckets[bucket].stale = true;
  if (result == OD_DEAD && od->desc.fault == OD_FAULT_REPLACE_DEAD)
    result = OD_ABANDONED;
  switch (result)
    {
    case OD_ABANDONED:
      s->may_replace = true;
      s->state = _OD_NEEDS_INTENT;
      return;
    case OD_DEAD:
      {
        const od_entry *e = &s->other->entry;
        _od_complete_callers (od, s, OD_UNKNOWN, OD_REASON_OWNER_DEAD, attempt,
                              NULL);
        s->attempt = attempt;
        memcpy (s->incarnation, e->incarnation.ptr, e->incarnation.len);
        s->incarnation_len = (uint8_t)e->incarnation.len;
        _od_set_record (od, s, OD_UNKNOWN, 0, ST_LIT (""), t.wall_ms);
        s->of_other_process = true;
        return;
      }
    case OD_NOT_ABANDONED:
    case OD_UNREACHABLE:
      return;
    }
}

/* Handles a request of another process to abandon ATTEMPT of INCARNATION.
   True when INCARNATION is this process's and the attempt was not sent and
   never will be.  */
bool
od_on_abandon_request (od_state *od, st_str incarnation, st_str key,
                       uint64_t attempt)
{
  if (!_od_is_own (od, incarnation))
    return false;
  if (od->desc.fault == OD_FAULT_FORGET_SENT)
    return true;
  uint64_t hash = st_hash (key, _OD_HASH_SEED);
  uint32_t bucket = (uint32_t)(hash % od->desc.buckets);
  const _od_slot *s = _od_find_slot (od, bucket, hash, key);
  if (s == NULL || s->of_other_process || s->attempt != attempt)
    return true;
  return s->state == _OD_OTHER_PROCESS
         || (s->state == _OD_OUTCOME_UNSTORED
             && s->record->entry.state == OD_NOT_RUN);
}

static void
_od_expire (od_state *od, _od_bucket *b, od_time t)
{
  uint32_t next;
  for (uint32_t i = b->first_slot; i != _OD_NONE; i = next)
    {
      _od_slot *s = &od->slots[i];
      next = s->next;
      if (t.now_us < s->deadline_us)
        continue;
      switch (s->state)
        {
        case _OD_NEEDS_INTENT:
        case _OD_WRITING:
        case _OD_INTENT_STORED:
          /* After a long pause of the process a stored intent is not sent: its
             entry may be older than the retention.  */
          _od_abandon (od, s, OD_REASON_DEADLINE, t.wall_ms);
          break;
        case _OD_OTHER_PROCESS:
          _od_complete_callers (od, s, OD_UNKNOWN,
                                OD_REASON_OWNER_UNRESPONSIVE,
                                s->other->entry.attempt, NULL);
          _od_free_slot (od, s);
          break;
        case _OD_SENT:
        case _OD_OUTCOME_UNSTORED:
          break;
        }
    }
}

static bool
_od_next_completion (od_state *od, od_action *a)
{
  uint32_t index = od->completed_first;
  if (index == _OD_NONE)
    return false;
  _od_caller *c = &od->callers[index];
  od->completed_first = c->next;
  if (od->completed_first == _OD_NONE)
    od->completed_last = _OD_NONE;
  a->kind = OD_COMPLETE;
  a->caller = c->caller;
  a->call = c->call;
  a->attempt = c->attempt;
  a->outcome = c->outcome;
  a->reason = c->reason;
  a->stored = c->stored != NULL;
  if (c->stored != NULL)
    {
      a->status = c->stored->entry.status;
      a->body = c->stored->entry.body;
      a->body_truncated = c->stored->entry.body_truncated;
    }
  od->last_stored = c->stored;
  c->stored = NULL;
  od->counts.callers--;
  id_destroy (&od->caller_ids, id_at (&od->caller_ids, index));
  return true;
}

static bool
_od_next_slot (od_state *od, _od_bucket *b, od_time t, od_action *a)
{
  for (uint32_t i = b->first_slot; i != _OD_NONE; i = od->slots[i].next)
    {
      _od_slot *s = &od->slots[i];
      if (s->state == _OD_INTENT_STORED)
        {
          s->state = _OD_SENT;
          a->kind = OD_SEND;
          a->call = s->handle;
          a->key = _od_slot_key (s);
          a->attempt = s->attempt;
          a->fence = s->fence;
          od->counts.sends++;
          return true;
        }
      if (s->state == _OD_OTHER_PROCESS && !b->stale && b->op == 0
          && t.now_us >= s->abandon_due_us)
        {
          /* A request without a reply is sent again after this interval.  */
          s->awaiting_reply = true;
          s->abandon_due_us = t.now_us + od->desc.abandon_interval_us;
          b->stale = true;
          a->kind = OD_REQUEST_ABANDON;
          a->key = _od_slot_key (s);
          a->attempt = s->other->entry.attempt;
          a->incarnation = s->other->entry.incarnation;
          od->counts.abandon_requests++;
          return true;
        }
    }
  return false;
}

static void
_od_fill_value (od_state *od, const _od_bucket *b, od_value *value)
{
  const _od_list *l = &b->staged;
  if (l->count > od->scratch_capacity)
    {
      al_free (&od->allocator, od->scratch);
      od->scratch_capacity = l->capacity;
      od->scratch
          = al_alloc (&od->allocator, l->capacity * sizeof *od->scratch);
    }
  for (uint32_t i = 0; i < l->count; i++)
    od->scratch[i] = l->blobs[i]->entry;
  value->revision = b->base.revision;
  value->count = l->count;
  value->entries = od->scratch;
}

static bool
_od_next_store (od_state *od, _od_bucket *b, od_time t, od_action *a)
{
  if (b->op != 0 || t.now_us < b->retry_at_us || !_od_needs_store (od, b))
    return false;
  a->bucket = (uint32_t)(b - od->buckets);
  if (b->has_base && !b->stale)
    {
      _od_check_bucket (od, b, t);
      if (!_od_stage (od, b, t))
        return false;
      a->kind = OD_WRITE;
      _od_fill_value (od, b, &a->value);
      b->op_is_write = true;
      od->counts.writes++;
    }
  else
    {
      a->kind = OD_READ;
      b->op_is_write = false;
      od->counts.reads++;
    }
  b->op = ++od->next_op;
  a->op = b->op;
  return true;
}

/* Returns the next action in ACTION.  Call until it returns false, after each
   input and at the time of od_query_wake_us.  */
bool
od_next (od_state *od, od_time t, od_action *action)
{
  memset (action, 0, sizeof *action);
  _od_blob_drop (od, &od->last_stored);
  if (_od_next_completion (od, action))
    return true;
  for (uint32_t i = 0; i < od->desc.buckets; i++)
    {
      _od_bucket *b = &od->buckets[i];
      if (b->first_slot == _OD_NONE)
        continue;
      _od_expire (od, b, t);
      if (_od_next_slot (od, b, t, action) || _od_next_store (od, b, t, action)
          || _od_next_slot (od, b, t, action))
        return true;
    }
  return _od_next_completion (od, action);
}

/* Monotonic time, in microseconds, at which od_next may have an action without
   a further input; UINT64_MAX when never.  */
uint64_t
od_query_wake_us (const od_state *od, uint64_t now_us)
{
  uint64_t wake = od->completed_first != _OD_NONE ? now_us : UINT64_MAX;
  for (uint32_t i = 0; i < od->desc.buckets; i++)
    {
      const _od_bucket *b = &od->buckets[i];
      for (uint32_t j = b->first_slot; j != _OD_NONE; j = od->slots[j].next)
        {
          const _od_slot *s = &od->slots[j];
          uint64_t at = UINT64_MAX;
          switch (s->state)
            {
            case _OD_NEEDS_INTENT:
            case _OD_WRITING:
              at = s->deadline_us;
              if (b->op == 0 && b->retry_at_us < at)
                at = b->retry_at_us;
              break;
            case _OD_INTENT_STORED:
              at = now_us;
              break;
            case _OD_OTHER_PROCESS:
              at = s->deadline_us;
              /* The next abandon request needs a base that is not stale.  */
              if (!b->stale && b->op == 0 && s->abandon_due_us < at)
                at = s->abandon_due_us;
              if (b->stale && b->op == 0 && b->retry_at_us < at)
                at = b->retry_at_us;
              break;
            case _OD_OUTCOME_UNSTORED:
              if (b->op == 0)
                at = b->retry_at_us;
              break;
            case _OD_SENT:
              break;
            }
          if (at < wake)
            wake = at;
        }
    }
  return wake > now_us ? wake : now_us;
}

/* Counters since the start, and the calls and callers that wait.  */
od_counts
od_query_counts (const od_state *od)
{
  od_counts counts = od->counts;
  counts.calls = od->slot_ids.used;
  return counts;
}
