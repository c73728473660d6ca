#include "qn.h"

#include <math.h>
#include <string.h>

/* Upstreams that requests with a part must have lost, and different requests
   among these, before it is blocked.  An upstream that crashes by itself takes
   with it the requests that wait there, some of them again after a retry.  */
#define _QN_UPSTREAMS_MIN 4
#define _QN_REQUESTS_MIN 3
/* Greatest probability that as many requests as have the part were lost by
   chance, from the share of all requests that are lost.  */
#define _QN_CHANCE_MAX 1e-4
/* Weight of the newest request in that share.  */
#define _QN_LOSS_WEIGHT (1.0 / 64)
#define _QN_LOSSES_MAX 16
/* All requests at an upstream that crashes are lost within the first time,
   and it is back no sooner than after the second.  Those lost in between were
   sent to an upstream that had crashed, and say nothing about their parts.  */
#define _QN_CRASH_US 500000
#define _QN_BACK_US 2000000
/* Upstreams whose loss is remembered.  */
#define _QN_LOST_MAX 64
/* Suspect and blocked parts; the one that was used least recently makes room.
 */
#define _QN_ENTRIES_MAX 512
/* Parts that were responded to; a newer one with the same index replaces an
   older one.  */
#define _QN_SERVED_MAX 8192
/* Time after which a suspicion, a response and a block that no request has met
   are forgotten.  */
#define _QN_RETENTION_US (600 * UINT64_C (1000000))
/* Longest delay of a publication.  All VMs reach the same verdict at the same
   time, and the first write spares the others theirs.  */
#define _QN_PUBLISH_DELAY_US 500000
/* Time after which a publication that has not been read back is repeated.  */
#define _QN_REPUBLISH_US 2000000

typedef struct
{
  uint64_t upstream;
  uint64_t request;
} _qn_loss;

typedef struct
{
  uint64_t hash; /* 0: free */
  st_name part;
  bool blocked;
  bool disproved; /* a response is to be published */
  bool published; /* the store has this state */
  uint64_t publish_us;
  uint64_t used_us; /* last loss, or last request that met the block */
  uint32_t loss_count;
  _qn_loss losses[_QN_LOSSES_MAX];
} _qn_entry;

typedef struct
{
  uint64_t hash;
  uint64_t at_us;
} _qn_served;

typedef struct
{
  uint64_t upstream;
  uint64_t at_us; /* 0: free */
} _qn_lost;

struct qn_table
{
  qn_desc desc;
  uint64_t random;
  _qn_entry entries[_QN_ENTRIES_MAX];
  uint32_t used; /* entries used so far */
  _qn_served served[_QN_SERVED_MAX];
  _qn_lost lost[_QN_LOST_MAX]; /* ring */
  uint32_t lost_next;
  double loss_share; /* of requests, a moving average */
};

/* Makes a table; NULL when memory is exhausted.  */
qn_table *
qn_make (const qn_desc *desc)
{
  qn_table *t = al_alloc (&desc->allocator, sizeof *t);
  if (t == NULL)
    return NULL;
  t->desc = *desc;
  t->random = desc->seed | 1;
  return t;
}

/* Releases T; T may be NULL.  */
void
qn_destroy (qn_table *t)
{
  if (t != NULL)
    al_free (&t->desc.allocator, t);
}

static uint64_t
_qn_hash (const st_name *part)
{
  return st_hash (st_name_str (part), 0) | 1;
}

static bool
_qn_is_id (st_str id)
{
  for (size_t i = 0; i < id.len; i++)
    if (!((id.ptr[i] >= '0' && id.ptr[i] <= '9')
          || (id.ptr[i] >= 'a' && id.ptr[i] <= 'z')
          || (id.ptr[i] >= 'A' && id.ptr[i] <= 'Z') || id.ptr[i] == '-'
          || id.ptr[i] == '_'))
      return false;
  return id.len > 0;
}

static void
_qn_add_part (qn_prompt *prompt, st_str service, st_str id)
{
  char name[ST_NAME_MAX + 1];
  size_t len = service.len + 1 + id.len;
  if (!_qn_is_id (id) || len > ST_NAME_MAX
      || prompt->count == QN_PROMPT_PARTS_MAX)
    return;
  memcpy (name, service.ptr, service.len);
  name[service.len] = '/';
  memcpy (name + service.len + 1, id.ptr, id.len);
  st_name_set (&prompt->parts[prompt->count++], (st_str){ name, len });
}

/* Reads PARTS, "ID:TOKENS,..." in the order of the prompt, of a request to
   SERVICE.  The last part is left out, and so is one whose id is malformed or
   too long.  */
void
qn_read_prompt (qn_prompt *prompt, st_str service, st_str parts)
{
  size_t end;
  size_t colon;
  *prompt = (qn_prompt){ .request = st_hash (parts, 0) };
  while (st_find_char (parts, ',', &end))
    {
      st_str part = st_slice (parts, 0, end);
      parts = st_slice (parts, end + 1, parts.len);
      while (part.len > 0 && part.ptr[0] == ' ')
        part = st_slice (part, 1, part.len);
      if (st_find_char (part, ':', &colon))
        _qn_add_part (prompt, service, st_slice (part, 0, colon));
    }
}

static bool
_qn_is_expired (const _qn_entry *e, uint64_t now_us)
{
  return now_us - e->used_us > _QN_RETENTION_US;
}

static _qn_entry *
_qn_find (qn_table *t, const st_name *part, uint64_t now_us)
{
  uint64_t hash = _qn_hash (part);
  for (uint32_t i = 0; i < t->used; i++)
    if (t->entries[i].hash == hash)
      {
        if (!_qn_is_expired (&t->entries[i], now_us))
          return &t->entries[i];
        t->entries[i] = (_qn_entry){ 0 };
        return NULL;
      }
  return NULL;
}

static _qn_entry *
_qn_find_or_add (qn_table *t, const st_name *part, uint64_t now_us)
{
  _qn_entry *e = _qn_find (t, part, now_us);
  if (e != NULL)
    return e;
  _qn_entry *room = NULL;
  for (uint32_t i = 0; i < t->used && (room == NULL || room->hash != 0); i++)
    {
      e = &t->entries[i];
      if (e->hash == 0 || room == NULL || (room->blocked && !e->blocked)
          || (room->blocked == e->blocked && e->used_us < room->used_us))
        room = e;
    }
  if ((room == NULL || room->hash != 0) && t->used < _QN_ENTRIES_MAX)
    room = &t->entries[t->used++];
  *room = (_qn_entry){ .hash = _qn_hash (part),
                       .part = *part,
                       .used_us = now_us };
  return room;
}

static bool
_qn_was_served (const qn_table *t, const st_name *part, uint64_t now_us)
{
  uint64_t hash = _qn_hash (part);
  const _qn_served *s = &t->served[hash % _QN_SERVED_MAX];
  return s->hash == hash && now_us - s->at_us <= _QN_RETENTION_US;
}

static void
_qn_mark_served (qn_table *t, const st_name *part, uint64_t now_us)
{
  uint64_t hash = _qn_hash (part);
  t->served[hash % _QN_SERVED_MAX] = (_qn_served){ hash, now_us };
}

static uint64_t
_qn_publish_time (qn_table *t, uint64_t now_us)
{
  t->random ^= t->random << 13;
  t->random ^= t->random >> 7;
  t->random ^= t->random << 17;
  return now_us + t->random % _QN_PUBLISH_DELAY_US;
}

/* The part of PROMPT that is blocked; NULL when there is none.  */
const st_name *
qn_query_blocked (qn_table *t, const qn_prompt *prompt, uint64_t now_us)
{
  for (uint32_t i = 0; i < prompt->count; i++)
    {
      _qn_entry *e = _qn_find (t, &prompt->parts[i], now_us);
      if (e == NULL || !e->blocked)
        continue;
      e->used_us = now_us;
      return &e->part;
    }
  return NULL;
}

static uint32_t
_qn_count_distinct (const _qn_entry *e, bool upstreams)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < e->loss_count; i++)
    {
      bool first = true;
      for (uint32_t k = 0; k < i && first; k++)
        first = upstreams ? e->losses[k].upstream != e->losses[i].upstream
                          : e->losses[k].request != e->losses[i].request;
      count += first;
    }
  return count;
}

/* Records the loss of a request at UPSTREAM.  False when the upstream had
   crashed before the request was sent.  */
static bool
_qn_add_lost_upstream (qn_table *t, uint64_t upstream, uint64_t now_us)
{
  _qn_lost *l = NULL;
  for (uint32_t i = 0; i < _QN_LOST_MAX && l == NULL; i++)
    if (t->lost[i].at_us != 0 && t->lost[i].upstream == upstream)
      l = &t->lost[i];
  if (l != NULL && now_us - l->at_us < _QN_BACK_US)
    return now_us - l->at_us <= _QN_CRASH_US;
  if (l == NULL)
    {
      l = &t->lost[t->lost_next];
      t->lost_next = (t->lost_next + 1) % _QN_LOST_MAX;
    }
  *l = (_qn_lost){ upstream, now_us };
  return true;
}

/* True when the losses of E are too many and too unlike for chance.  */
static bool
_qn_is_bad (const qn_table *t, const _qn_entry *e)
{
  uint32_t upstreams = _qn_count_distinct (e, true);
  return upstreams >= _QN_UPSTREAMS_MIN
         && _qn_count_distinct (e, false) >= _QN_REQUESTS_MIN
         && pow (t->loss_share, upstreams) <= _QN_CHANCE_MAX;
}

static void
_qn_add_loss (qn_table *t, const st_name *part, uint64_t upstream,
              uint64_t request, uint64_t now_us)
{
  _qn_entry *e = _qn_find_or_add (t, part, now_us);
  if (e->disproved)
    *e = (_qn_entry){ .hash = e->hash, .part = e->part };
  e->used_us = now_us;
  for (uint32_t i = 0; i < e->loss_count; i++)
    if (e->losses[i].upstream == upstream && e->losses[i].request == request)
      return;
  if (e->loss_count < _QN_LOSSES_MAX)
    e->losses[e->loss_count++] = (_qn_loss){ upstream, request };
  if (e->blocked || !_qn_is_bad (t, e))
    return;
  e->blocked = true;
  e->publish_us = _qn_publish_time (t, now_us);
}

/* Drops what is known against PART, which was responded to.  */
static void
_qn_disprove (qn_table *t, const st_name *part, uint64_t now_us)
{
  _qn_entry *e = _qn_find (t, part, now_us);
  _qn_mark_served (t, part, now_us);
  if (e == NULL || e->disproved)
    return;
  /* The store has the block, or may get it from another VM.  */
  bool publish = e->blocked;
  *e = publish ? (_qn_entry){ .hash = e->hash,
                              .part = *part,
                              .disproved = true,
                              .publish_us = _qn_publish_time (t, now_us),
                              .used_us = now_us }
               : (_qn_entry){ 0 };
}

/* Records that a request with PROMPT lost its UPSTREAM before it was responded
   to.  Fills ROWS for the other VMs and returns their number.  */
uint32_t
qn_on_lost (qn_table *t, const qn_prompt *prompt, uint64_t upstream,
            uint64_t now_us, qn_row rows[QN_PROMPT_PARTS_MAX])
{
  uint32_t count = 0;
  t->loss_share += _QN_LOSS_WEIGHT * (1 - t->loss_share);
  if (!_qn_add_lost_upstream (t, upstream, now_us))
    return 0;
  for (uint32_t i = 0; i < prompt->count; i++)
    {
      const st_name *part = &prompt->parts[i];
      if (_qn_was_served (t, part, now_us))
        continue;
      _qn_add_loss (t, part, upstream, prompt->request, now_us);
      rows[count++] = (qn_row){ .part = *part,
                                .upstream = upstream,
                                .request = prompt->request };
    }
  return count;
}

/* Records that a request with PROMPT was responded to.  Fills ROWS for the
   other VMs with the parts that were suspect, and returns their number.  */
uint32_t
qn_on_served (qn_table *t, const qn_prompt *prompt, uint64_t now_us,
              qn_row rows[QN_PROMPT_PARTS_MAX])
{
  uint32_t count = 0;
  t->loss_share -= _QN_LOSS_WEIGHT * t->loss_share;
  for (uint32_t i = 0; i < prompt->count; i++)
    {
      const st_name *part = &prompt->parts[i];
      const _qn_entry *e = _qn_find (t, part, now_us);
      if (e != NULL && !e->disproved)
        rows[count++] = (qn_row){ .part = *part, .served = true };
      _qn_disprove (t, part, now_us);
    }
  return count;
}

/* Records ROW of another VM.  True when a response here disproves the loss,
   which the other VMs have to be told.  */
bool
qn_on_row (qn_table *t, const qn_row *row, uint64_t now_us)
{
  if (row->served)
    _qn_disprove (t, &row->part, now_us);
  else
    {
      if (!_qn_add_lost_upstream (t, row->upstream, now_us))
        return false;
      if (_qn_was_served (t, &row->part, now_us))
        return true;
      _qn_add_loss (t, &row->part, row->upstream, row->request, now_us);
    }
  return false;
}

/* Fills CHANGE with the next one that this VM has to publish; false when there
   is none.  */
bool
qn_next_change (qn_table *t, uint64_t now_us, qn_change *change)
{
  for (uint32_t i = 0; i < t->used; i++)
    {
      _qn_entry *e = &t->entries[i];
      if (e->hash == 0 || !(e->blocked || e->disproved) || e->published
          || now_us < e->publish_us || _qn_is_expired (e, now_us))
        continue;
      e->publish_us = now_us + _QN_REPUBLISH_US;
      *change = (qn_change){ .part = e->part, .blocked = e->blocked };
      return true;
    }
  return false;
}

/* Records that the store has CHANGE.  */
void
qn_on_published (qn_table *t, const qn_change *change, uint64_t now_us)
{
  if (!change->blocked)
    {
      _qn_disprove (t, &change->part, now_us);
      _qn_entry *e = _qn_find (t, &change->part, now_us);
      if (e != NULL)
        *e = (_qn_entry){ 0 };
      return;
    }
  _qn_entry *e = _qn_find_or_add (t, &change->part, now_us);
  if (_qn_was_served (t, &change->part, now_us))
    {
      *e = (_qn_entry){ .hash = e->hash,
                        .part = e->part,
                        .disproved = true,
                        .publish_us = _qn_publish_time (t, now_us),
                        .used_us = now_us };
      return;
    }
  e->blocked = true;
  e->published = true;
}

/* Records that the store no longer has PART.  A block that requests still meet
   is published again.  */
void
qn_on_lapsed (qn_table *t, st_str part, uint64_t now_us)
{
  st_name name;
  if (!st_name_set (&name, part))
    return;
  _qn_entry *e = _qn_find (t, &name, now_us);
  if (e == NULL || !e->published)
    return;
  e->published = false;
  e->publish_us = _qn_publish_time (t, now_us);
}
