#include "qn.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Upstreams that requests with a part must have lost, and different requests
   among these, before it is blocked.  An upstream that crashes by itself takes
   with it the requests that wait there, some of them again after a retry.  */
#define _QN_UPSTREAMS_MIN 4
#define _QN_REQUESTS_MIN 3
/* Upstreams that a request must have lost before it is blocked.  Deployments
   bound how often it may be sent after it has crashed three.  */
#define _QN_REQUEST_UPSTREAMS_MIN 3
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
/* Suspect and blocked subjects; the one that was used least recently makes
   room.  */
#define _QN_ENTRIES_MAX 1024
/* Parts, and requests, that were responded to; a newer one with the same index
   replaces an older one.  Most requests are unlike all others.  */
#define _QN_SERVED_MAX 8192
/* Time after which a suspicion, a response and a block that no request has met
   are forgotten.  */
#define _QN_RETENTION_US (600 * UINT64_C (1000000))
/* Trials of a blocked request: deployments allow three sends of a request that
   has crashed three upstreams, and two VMs may begin one at the same time.  A
   request that was only beside others has its first one while these have just
   been blocked too, so the next one comes after a while.  The VMs' times are
   spread, so that the first to send one can tell the others.  */
#define _QN_TRIALS_MAX 2
static const uint64_t _qn_trial_delay_us[_QN_TRIALS_MAX]
    = { 1000000, 15000000 };
static const uint64_t _qn_trial_spread_us[_QN_TRIALS_MAX]
    = { 1000000, 20000000 };
/* Longest delay of a publication.  All VMs reach the same verdict at the same
   time, and the first write spares the others theirs.  */
#define _QN_PUBLISH_DELAY_US 500000
/* Time after which a publication that has not been read back is repeated.  */
#define _QN_REPUBLISH_US 2000000

typedef struct
{
  uint64_t upstream;
  uint64_t prompt;
  uint64_t at_us;
} _qn_loss;

typedef struct
{
  st_name subject;
  bool blocked;
  bool disproved; /* the end of the block is to be published */
  bool published; /* the store has this state */
  bool written;   /* or it has the block, or may get it from this VM */
  uint32_t trials;
  uint64_t trial_us; /* time from which the next one may be sent */
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
  uint64_t at_us; /* first loss; 0: free */
} _qn_lost;

struct qn_table
{
  qn_desc desc;
  uint64_t random;
  uint64_t hashes[_QN_ENTRIES_MAX]; /* of the subjects of ENTRIES; 0: free */
  _qn_entry entries[_QN_ENTRIES_MAX];
  uint32_t used;                        /* entries used so far */
  _qn_served served[2][_QN_SERVED_MAX]; /* parts, requests */
  _qn_lost lost[_QN_LOST_MAX];          /* ring */
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
_qn_hash (const st_name *subject)
{
  return st_hash (st_name_str (subject), 0) | 1;
}

/* True when SUBJECT is a request, false when it is a part.  */
bool
qn_is_request (const st_name *subject)
{
  return subject->len > 0 && subject->text[0] == '=';
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
_qn_add_part (qn_request *request, st_str service, st_str id)
{
  char name[ST_NAME_MAX + 1];
  if (!_qn_is_id (id) || request->count == QN_SUBJECTS_MAX)
    return;
  if (service.len + 1 + id.len > ST_NAME_MAX)
    snprintf (name, sizeof name, "%016" PRIx64 "/%016" PRIx64,
              st_hash (service, 0), st_hash (id, 0));
  else
    snprintf (name, sizeof name, "%.*s/%.*s", ST_FMT (service), ST_FMT (id));
  st_name_set (&request->subjects[request->count++], st_from_cstr (name));
}

/* The name of the request IDENTITY as a subject.  */
static st_name
_qn_request_name (uint64_t identity)
{
  st_name name;
  char text[ST_NAME_MAX + 1];
  snprintf (text, sizeof text, "=%016" PRIx64, identity);
  st_name_set (&name, st_from_cstr (text));
  return name;
}

/* Reads the subjects of a request to SERVICE.  Requests that repeat each other
   have the same IDENTITY.  PARTS are those of its prompt, "ID:TOKENS,..." in
   their order; the last one is left out, and so is one whose id is
   malformed.  */
void
qn_read_request (qn_request *request, uint64_t identity, st_str service,
                 st_str parts)
{
  size_t end;
  size_t colon;
  /* The names beyond COUNT stay as they are: the array is large.  */
  request->count = 1;
  request->prompt = st_hash (parts, 0);
  request->subjects[0] = _qn_request_name (identity);
  while (st_find_char (parts, ',', &end))
    {
      st_str part = st_slice (parts, 0, end);
      parts = st_slice (parts, end + 1, parts.len);
      while (part.len > 0 && part.ptr[0] == ' ')
        part = st_slice (part, 1, part.len);
      if (st_find_char (part, ':', &colon))
        _qn_add_part (request, service, st_slice (part, 0, colon));
    }
}

static bool
_qn_is_expired (const _qn_entry *e, uint64_t now_us)
{
  return now_us - e->used_us > _QN_RETENTION_US;
}

static void
_qn_remove (qn_table *t, const _qn_entry *e)
{
  t->hashes[e - t->entries] = 0;
}

static _qn_entry *
_qn_find (qn_table *t, const st_name *subject, uint64_t now_us)
{
  uint64_t hash = _qn_hash (subject);
  for (uint32_t i = 0; i < t->used; i++)
    if (t->hashes[i] == hash)
      {
        if (!_qn_is_expired (&t->entries[i], now_us))
          return &t->entries[i];
        t->hashes[i] = 0;
        return NULL;
      }
  return NULL;
}

/* Index of the entry that a new one takes: a free one, else the least recently
   used one, blocked ones last.  */
static uint32_t
_qn_find_room (qn_table *t)
{
  uint32_t room = 0;
  for (uint32_t i = 0; i < t->used; i++)
    {
      const _qn_entry *e = &t->entries[i];
      const _qn_entry *best = &t->entries[room];
      if (t->hashes[i] == 0)
        return i;
      if ((best->blocked && !e->blocked)
          || (best->blocked == e->blocked && e->used_us < best->used_us))
        room = i;
    }
  return t->used < _QN_ENTRIES_MAX ? t->used++ : room;
}

static _qn_entry *
_qn_find_or_add (qn_table *t, const st_name *subject, uint64_t now_us)
{
  _qn_entry *e = _qn_find (t, subject, now_us);
  if (e != NULL)
    return e;
  uint32_t room = _qn_find_room (t);
  t->hashes[room] = _qn_hash (subject);
  t->entries[room] = (_qn_entry){ .subject = *subject, .used_us = now_us };
  return &t->entries[room];
}

static _qn_served *
_qn_find_served (qn_table *t, const st_name *subject, uint64_t now_us)
{
  uint64_t hash = _qn_hash (subject);
  _qn_served *s = &t->served[qn_is_request (subject)][hash % _QN_SERVED_MAX];
  return s->hash == hash && now_us - s->at_us <= _QN_RETENTION_US ? s : NULL;
}

static void
_qn_mark_served (qn_table *t, const st_name *subject, uint64_t now_us)
{
  uint64_t hash = _qn_hash (subject);
  t->served[qn_is_request (subject)][hash % _QN_SERVED_MAX]
      = (_qn_served){ hash, now_us };
}

static uint64_t
_qn_random (qn_table *t, uint64_t below)
{
  t->random ^= t->random << 13;
  t->random ^= t->random >> 7;
  t->random ^= t->random << 17;
  return t->random % below;
}

static uint64_t
_qn_publish_time (qn_table *t, uint64_t now_us)
{
  return now_us + _qn_random (t, _QN_PUBLISH_DELAY_US);
}

static void
_qn_plan_trial (qn_table *t, _qn_entry *e, uint64_t now_us)
{
  if (e->trials < _QN_TRIALS_MAX)
    e->trial_us = now_us + _qn_trial_delay_us[e->trials]
                  + _qn_random (t, _qn_trial_spread_us[e->trials]);
}

static bool
_qn_may_try (const _qn_entry *e, uint64_t now_us)
{
  return qn_is_request (&e->subject) && e->trials < _QN_TRIALS_MAX
         && now_us >= e->trial_us;
}

/* The subject for which REQUEST is to be refused; NULL when it may be sent: it
   has no blocked subject, or a trial of it is due.  */
const st_name *
qn_query_blocked (qn_table *t, const qn_request *request, uint64_t now_us)
{
  for (uint32_t i = 0; i < request->count; i++)
    {
      _qn_entry *e = _qn_find (t, &request->subjects[i], now_us);
      if (e == NULL || !e->blocked)
        continue;
      e->used_us = now_us;
      if (!_qn_may_try (e, now_us))
        return &e->subject;
    }
  return NULL;
}

/* True when the request IDENTITY itself, not only a part of its prompt, has
   lost an upstream and was not responded to since.  */
bool
qn_query_suspect (qn_table *t, uint64_t identity, uint64_t now_us)
{
  st_name subject = _qn_request_name (identity);
  const _qn_entry *e = _qn_find (t, &subject, now_us);
  return e != NULL && (e->blocked || e->loss_count > 0);
}

static void
_qn_count_trial (qn_table *t, _qn_entry *e, uint64_t now_us)
{
  if (e->trials < _QN_TRIALS_MAX)
    e->trials++;
  _qn_plan_trial (t, e, now_us);
}

/* Records that the request IDENTITY is sent to an upstream.  True when this is
   a trial; fills ROW for the other VMs then.  */
bool
qn_on_sent (qn_table *t, uint64_t identity, uint64_t now_us, qn_row *row)
{
  st_name subject = _qn_request_name (identity);
  _qn_entry *e = _qn_find (t, &subject, now_us);
  if (e == NULL || !e->blocked)
    return false;
  _qn_count_trial (t, e, now_us);
  *row = (qn_row){ .kind = QN_TRIAL, .subject = e->subject };
  return true;
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
                          : e->losses[k].prompt != e->losses[i].prompt;
      count += first;
    }
  return count;
}

static _qn_lost *
_qn_find_lost_upstream (qn_table *t, uint64_t upstream)
{
  for (uint32_t i = 0; i < _QN_LOST_MAX; i++)
    if (t->lost[i].at_us != 0 && t->lost[i].upstream == upstream)
      return &t->lost[i];
  return NULL;
}

/* Records the loss of a request at UPSTREAM.  False when the upstream had
   crashed before the request was sent.  */
static bool
_qn_add_lost_upstream (qn_table *t, uint64_t upstream, uint64_t now_us)
{
  _qn_lost *l = _qn_find_lost_upstream (t, upstream);
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

/* True when the losses of E are too many and, of a part, too unlike for
   chance.  */
static bool
_qn_is_bad (const qn_table *t, const _qn_entry *e)
{
  if (qn_is_request (&e->subject))
    return e->loss_count >= _QN_REQUEST_UPSTREAMS_MIN;
  uint32_t upstreams = _qn_count_distinct (e, true);
  return upstreams >= _QN_UPSTREAMS_MIN
         && _qn_count_distinct (e, false) >= _QN_REQUESTS_MIN
         && pow (t->loss_share, upstreams) <= _QN_CHANCE_MAX;
}

/* True when a loss of the request SUBJECT at the upstream of LOSS is that of
   another process, which has started under the same id since.  */
static bool
_qn_is_next_process (const st_name *subject, const _qn_loss *loss,
                     uint64_t now_us)
{
  return qn_is_request (subject) && now_us - loss->at_us >= _QN_BACK_US;
}

static void
_qn_add_loss (qn_table *t, const st_name *subject, uint64_t upstream,
              uint64_t prompt, uint64_t now_us)
{
  _qn_entry *e = _qn_find_or_add (t, subject, now_us);
  if (e->disproved)
    *e = (_qn_entry){ .subject = e->subject };
  e->used_us = now_us;
  for (uint32_t i = 0; i < e->loss_count; i++)
    if (e->losses[i].upstream == upstream && e->losses[i].prompt == prompt
        && !_qn_is_next_process (subject, &e->losses[i], now_us))
      return;
  if (e->loss_count < _QN_LOSSES_MAX)
    e->losses[e->loss_count++] = (_qn_loss){ upstream, prompt, now_us };
  if (e->blocked || !_qn_is_bad (t, e))
    return;
  e->blocked = true;
  e->publish_us = _qn_publish_time (t, now_us);
  _qn_plan_trial (t, e, now_us);
}

/* Drops what is known against the subject of E.  */
static void
_qn_clear (qn_table *t, _qn_entry *e, uint64_t now_us)
{
  if (e->disproved)
    return;
  /* Another VM may write the block.  That of a request often ends before one
     has, as an upstream is found to live; the VM that has written it writes
     its end too.  */
  if (e->blocked)
    *e = (_qn_entry){ .subject = e->subject,
                      .disproved = true,
                      .written = e->written || !qn_is_request (&e->subject),
                      .publish_us = _qn_publish_time (t, now_us),
                      .used_us = now_us };
  else
    _qn_remove (t, e);
}

/* True when a response here outweighs the loss of SUBJECT.  A part that was
   responded to is sound.  A request may crash upstreams that it did not crash
   before: the responses to it outweigh one loss.  */
static bool
_qn_outweighs_loss (qn_table *t, const st_name *subject, uint64_t now_us)
{
  _qn_served *s = _qn_find_served (t, subject, now_us);
  if (s != NULL && qn_is_request (subject))
    s->hash = 0;
  return s != NULL;
}

/* Records that REQUEST lost its UPSTREAM before it was responded to.  Fills
   ROWS for the other VMs and returns their number.  */
uint32_t
qn_on_lost (qn_table *t, const qn_request *request, uint64_t upstream,
            uint64_t now_us, qn_row rows[QN_SUBJECTS_MAX])
{
  uint32_t count = 0;
  t->loss_share += _QN_LOSS_WEIGHT * (1 - t->loss_share);
  if (!_qn_add_lost_upstream (t, upstream, now_us))
    return 0;
  for (uint32_t i = 0; i < request->count; i++)
    {
      const st_name *subject = &request->subjects[i];
      if (_qn_outweighs_loss (t, subject, now_us))
        {
          /* The others' responses outweigh the same loss.  */
          if (qn_is_request (subject))
            rows[count++] = (qn_row){ .kind = QN_SERVED, .subject = *subject };
          continue;
        }
      /* Requests that are equal but for their prompt count once.  */
      uint64_t prompt = qn_is_request (subject) ? 0 : request->prompt;
      _qn_add_loss (t, subject, upstream, prompt, now_us);
      rows[count++] = (qn_row){ .kind = QN_LOST,
                                .subject = *subject,
                                .upstream = upstream,
                                .prompt = prompt };
    }
  return count;
}

/* Records that REQUEST was responded to.  Fills ROWS for the other VMs with
   the subjects that were suspect, and returns their number.  */
uint32_t
qn_on_served (qn_table *t, const qn_request *request, uint64_t now_us,
              qn_row rows[QN_SUBJECTS_MAX])
{
  uint32_t count = 0;
  t->loss_share -= _QN_LOSS_WEIGHT * t->loss_share;
  for (uint32_t i = 0; i < request->count; i++)
    {
      const st_name *subject = &request->subjects[i];
      _qn_entry *e = _qn_find (t, subject, now_us);
      _qn_mark_served (t, subject, now_us);
      if (e == NULL)
        continue;
      if (!e->disproved)
        rows[count++] = (qn_row){ .kind = QN_SERVED, .subject = *subject };
      _qn_clear (t, e, now_us);
    }
  return count;
}

/* Removes the losses of E at UPSTREAM, which lives.  True when others may be
   about to block its subject, or have.  */
static bool
_qn_void_losses (qn_table *t, _qn_entry *e, uint64_t upstream, uint64_t now_us)
{
  uint32_t kept = 0;
  uint32_t before = e->loss_count;
  for (uint32_t i = 0; i < e->loss_count; i++)
    if (e->losses[i].upstream != upstream)
      e->losses[kept++] = e->losses[i];
  if (kept == before)
    return false;
  e->loss_count = kept;
  if (kept == 0 || (e->blocked && !_qn_is_bad (t, e)))
    _qn_clear (t, e, now_us);
  return before + 1 >= _QN_REQUEST_UPSTREAMS_MIN;
}

static bool
_qn_void_upstream (qn_table *t, uint64_t upstream, uint64_t now_us)
{
  bool matters = false;
  _qn_lost *l = _qn_find_lost_upstream (t, upstream);
  if (l != NULL)
    *l = (_qn_lost){ 0 };
  for (uint32_t i = 0; i < t->used; i++)
    if (t->hashes[i] != 0
        && _qn_void_losses (t, &t->entries[i], upstream, now_us))
      matters = true;
  return matters;
}

/* Records a response of UPSTREAM to a request that was sent at SENT_US, which
   voids a loss that was recorded before.  True when the other VMs have to
   know, with ROW filled: all VMs hear of each loss, and many of them get such
   a response, so that only losses that may lead to a block are worth a message
   to all.  */
bool
qn_on_alive (qn_table *t, uint64_t upstream, uint64_t sent_us, uint64_t now_us,
             qn_row *row)
{
  const _qn_lost *l = _qn_find_lost_upstream (t, upstream);
  /* Later it may be a process that has started since.  */
  if (l == NULL || sent_us <= l->at_us || now_us - l->at_us >= _QN_BACK_US)
    return false;
  *row = (qn_row){ .kind = QN_ALIVE, .upstream = upstream };
  return _qn_void_upstream (t, upstream, now_us);
}

/* Records a LOST row.  True when a response here outweighs it.  */
static bool
_qn_on_lost_row (qn_table *t, const qn_row *row, uint64_t now_us)
{
  if (!_qn_add_lost_upstream (t, row->upstream, now_us))
    return false;
  if (_qn_outweighs_loss (t, &row->subject, now_us))
    return true;
  _qn_add_loss (t, &row->subject, row->upstream, row->prompt, now_us);
  return false;
}

/* Records ROW of another VM.  True when a response here disproves the loss,
   which the other VMs have to be told.  */
bool
qn_on_row (qn_table *t, const qn_row *row, uint64_t now_us)
{
  _qn_entry *e;
  switch (row->kind)
    {
    case QN_LOST:
      return _qn_on_lost_row (t, row, now_us);
    case QN_SERVED:
      /* Which responses are newer than the next loss only the VM knows that
         received them.  */
      if (qn_is_request (&row->subject))
        _qn_outweighs_loss (t, &row->subject, now_us);
      else
        _qn_mark_served (t, &row->subject, now_us);
      e = _qn_find (t, &row->subject, now_us);
      if (e != NULL)
        _qn_clear (t, e, now_us);
      return false;
    case QN_TRIAL:
      e = _qn_find (t, &row->subject, now_us);
      if (e != NULL && e->blocked)
        _qn_count_trial (t, e, now_us);
      return false;
    case QN_ALIVE:
      _qn_void_upstream (t, row->upstream, now_us);
      return false;
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
      if (t->hashes[i] == 0 || !(e->blocked || (e->disproved && e->written))
          || e->published || now_us < e->publish_us
          || _qn_is_expired (e, now_us))
        continue;
      e->written = true;
      e->publish_us = now_us + _QN_REPUBLISH_US;
      *change = (qn_change){ .subject = e->subject, .blocked = e->blocked };
      return true;
    }
  return false;
}

static void
_qn_on_published_end (qn_table *t, const st_name *subject, uint64_t now_us)
{
  const _qn_entry *e = _qn_find (t, subject, now_us);
  if (!qn_is_request (subject))
    _qn_mark_served (t, subject, now_us);
  if (e != NULL)
    _qn_remove (t, e);
}

/* Records that the store has CHANGE.  */
void
qn_on_published (qn_table *t, const qn_change *change, uint64_t now_us)
{
  const st_name *subject = &change->subject;
  if (!change->blocked)
    {
      _qn_on_published_end (t, subject, now_us);
      return;
    }
  _qn_entry *e = _qn_find_or_add (t, subject, now_us);
  bool served
      = !qn_is_request (subject) && _qn_find_served (t, subject, now_us);
  if (e->disproved || served)
    {
      *e = (_qn_entry){ .subject = *subject,
                        .disproved = true,
                        .written = true,
                        .publish_us = _qn_publish_time (t, now_us),
                        .used_us = now_us };
      return;
    }
  /* A VM that did not see the losses leaves the trials to those that did.  */
  if (!e->blocked)
    e->trials = _QN_TRIALS_MAX;
  e->blocked = true;
  e->published = true;
  e->written = true;
}

/* Records that the store no longer has SUBJECT.  A block that requests still
   meet is published again.  */
void
qn_on_lapsed (qn_table *t, st_str subject, uint64_t now_us)
{
  st_name name;
  if (!st_name_set (&name, subject))
    return;
  _qn_entry *e = _qn_find (t, &name, now_us);
  if (e == NULL || !e->published)
    return;
  e->published = false;
  e->publish_us = _qn_publish_time (t, now_us);
}
