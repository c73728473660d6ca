#include "mb.h"

#include "ck.h"

#include <string.h>

#define _MB_NONE UINT32_MAX
#define _MB_HASH_SEED 0x6d62ull
#define _MB_JOBS 128
#define _MB_EVENTS 256
#define _MB_RELAYS 64
/* Two days of restarts and failures at the design size of 1,970 a day.  */
#define _MB_GONE 4096
/* Records sent in rotation beside the news, so that a view that missed an
   update is repaired.  */
#define _MB_ROTATED 2
#define _MB_JOIN_US (100 * CK_MS_US)
/* A PING that asks for the table has this bit in its sequence, and the part
   that it asks for in the lower ones.  */
#define _MB_SYNC_BIT (1ull << 63)
/* Periods between two contacts to listed names that are dead or unknown.  */
#define _MB_CONTACT_PERIODS 4
#define _MB_SUSPECT_PINGS 4

enum
{
  _MB_NAME,
  _MB_INCARNATION,
  _MB_REGION,
  _MB_DATA_CENTER,
  _MB_PEER,
  _MB_CALLERS,
  _MB_TEXTS
};

typedef struct
{
  char *text; /* the strings, one after another; NULL: free entry */
  uint8_t lens[_MB_TEXTS];
  uint8_t state; /* mb_member_state */
  bool known;    /* has an incarnation */
  bool listed;
  bool leaving; /* sticky for an incarnation */
  uint8_t pings_left;
  uint16_t transmits;
  uint64_t name_hash;
  uint64_t counter;
  uint32_t capacity;
  uint64_t suspect_until_us;
  uint64_t ping_due_us;
} _mb_member;

/* A message to be built when it is taken.  */
typedef struct
{
  mb_message_kind kind;
  uint64_t sequence;
  bool sync; /* fill all updates */
  uint8_t name_len, incarnation_len, address_len, subject_len;
  char name[ST_NAME_MAX + 1];
  char incarnation[MB_INCARNATION_MAX];
  char address[MB_ADDRESS_MAX];
  char subject[MB_INCARNATION_MAX];
} _mb_job;

typedef struct
{
  mb_event event;
  bool by_timer;
  uint8_t name_len, incarnation_len;
  char name[ST_NAME_MAX + 1];
  char incarnation[MB_INCARNATION_MAX];
} _mb_queued_event;

typedef struct
{
  uint64_t sequence; /* of this VM's probe; 0: free */
  uint64_t asker_sequence;
  uint64_t asker_hash; /* of the asker's name */
} _mb_relay;

struct mb_state
{
  mb_desc desc;
  al_allocator allocator;
  uint64_t random;
  uint32_t used; /* entries of MEMBERS in use or freed; 0 is self */
  _mb_member *members;
  uint32_t *index; /* open addressing: position + 1, by name */
  uint32_t index_size;
  uint32_t *order; /* probe order */
  uint32_t order_count;
  uint32_t order_at;
  uint32_t rotate_at;
  uint32_t news; /* members with transmits left */
  uint64_t sequence;
  uint64_t last_us;
  uint64_t probe_due_us;
  uint32_t periods;
  /* The probe that waits for its ack.  */
  uint32_t probe_member;
  uint64_t probe_incarnation;
  uint64_t probe_sequence;
  uint64_t probe_ask_us;
  uint64_t probe_end_us;
  bool probe_asked;
  bool own_dead;
  bool events_lost;
  bool direct; /* the record at hand is its sender's own */
  /* A new VM asks one member for the table, a few records each time.  */
  uint32_t sync_left;
  uint32_t sync_round;
  uint32_t sync_member;
  uint64_t sync_due_us;
  uint64_t gone[_MB_GONE]; /* hashes of dead incarnations */
  uint32_t gone_at;
  _mb_relay relays[_MB_RELAYS];
  uint32_t relay_at;
  _mb_job jobs[_MB_JOBS];
  uint32_t job_first, job_count;
  _mb_job job; /* the one just taken */
  _mb_queued_event events[_MB_EVENTS];
  uint32_t event_first, event_count;
  _mb_queued_event event;
  mb_counts counts;
};

static uint64_t
_mb_random (mb_state *mb)
{
  mb->random += 0x9e3779b97f4a7c15ull;
  uint64_t z = mb->random;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ z >> 27) * 0x94d049bb133111ebull;
  return z ^ z >> 31;
}

static uint64_t
_mb_hash (st_str s)
{
  return st_hash (s, _MB_HASH_SEED);
}

static st_str
_mb_text (const _mb_member *m, unsigned field)
{
  size_t at = 0;
  for (unsigned i = 0; i < field; i++)
    at += m->lens[i];
  return (st_str){ m->text + at, m->lens[field] };
}

static mb_record
_mb_record_of (const _mb_member *m)
{
  mb_member_state state = (mb_member_state)m->state;
  if (state == MB_ALIVE && m->leaving)
    state = MB_LEAVING;
  return (mb_record){ .name = _mb_text (m, _MB_NAME),
                      .incarnation = _mb_text (m, _MB_INCARNATION),
                      .region = _mb_text (m, _MB_REGION),
                      .data_center = _mb_text (m, _MB_DATA_CENTER),
                      .peer_address = _mb_text (m, _MB_PEER),
                      .callers_address = _mb_text (m, _MB_CALLERS),
                      .state = state,
                      .counter = m->counter,
                      .capacity = m->capacity };
}

static bool
_mb_validate_record (const mb_record *r)
{
  return r->name.len > 0 && r->name.len <= ST_NAME_MAX
         && r->incarnation.len > 0 && r->incarnation.len <= MB_INCARNATION_MAX
         && r->region.len <= ST_NAME_MAX && r->data_center.len <= ST_NAME_MAX
         && r->peer_address.len <= MB_ADDRESS_MAX
         && r->callers_address.len <= MB_ADDRESS_MAX && r->state < MB_STATES;
}

static void
_mb_set_texts (mb_state *mb, _mb_member *m, const mb_record *r)
{
  const st_str texts[_MB_TEXTS]
      = { r->name,        r->incarnation,  r->region,
          r->data_center, r->peer_address, r->callers_address };
  m->capacity = r->capacity > 0 ? r->capacity : m->capacity;
  size_t n = 0;
  bool same = m->text != NULL;
  for (unsigned i = 0; i < _MB_TEXTS; i++)
    {
      n += texts[i].len;
      same = same && st_equal (texts[i], _mb_text (m, i));
    }
  if (same)
    return;
  char *text = al_alloc (&mb->allocator, n);
  char *at = text;
  for (unsigned i = 0; i < _MB_TEXTS; i++)
    {
      if (texts[i].len > 0)
        memcpy (at, texts[i].ptr, texts[i].len);
      at += texts[i].len;
    }
  /* R may view the old text, so that one is freed last.  */
  char *old = m->text;
  m->text = text;
  for (unsigned i = 0; i < _MB_TEXTS; i++)
    m->lens[i] = (uint8_t)texts[i].len;
  al_free (&mb->allocator, old);
}

static uint32_t
_mb_find (const mb_state *mb, st_str name)
{
  uint64_t hash = _mb_hash (name);
  for (uint32_t i = (uint32_t)hash & (mb->index_size - 1); mb->index[i] != 0;
       i = (i + 1) & (mb->index_size - 1))
    {
      uint32_t at = mb->index[i] - 1;
      if (mb->members[at].name_hash == hash
          && st_equal (_mb_text (&mb->members[at], _MB_NAME), name))
        return at;
    }
  return _MB_NONE;
}

static uint32_t
_mb_find_hash (const mb_state *mb, uint64_t name_hash)
{
  for (uint32_t i = (uint32_t)name_hash & (mb->index_size - 1);
       mb->index[i] != 0; i = (i + 1) & (mb->index_size - 1))
    if (mb->members[mb->index[i] - 1].name_hash == name_hash)
      return mb->index[i] - 1;
  return _MB_NONE;
}

static void
_mb_index_add (mb_state *mb, uint32_t at)
{
  uint32_t i = (uint32_t)mb->members[at].name_hash & (mb->index_size - 1);
  while (mb->index[i] != 0)
    i = (i + 1) & (mb->index_size - 1);
  mb->index[i] = at + 1;
}

static bool
_mb_gone (const mb_state *mb, uint64_t incarnation_hash)
{
  for (uint32_t i = 0; i < _MB_GONE; i++)
    if (mb->gone[i] == incarnation_hash)
      return true;
  return false;
}

static void
_mb_add_gone (mb_state *mb, st_str incarnation)
{
  uint64_t hash = _mb_hash (incarnation);
  if (incarnation.len == 0 || _mb_gone (mb, hash))
    return;
  mb->gone[mb->gone_at] = hash;
  mb->gone_at = (mb->gone_at + 1) % _MB_GONE;
}

static void
_mb_add_event (mb_state *mb, mb_event event, st_str name, st_str incarnation)
{
  if (mb->event_count == _MB_EVENTS)
    {
      mb->events_lost = true;
      return;
    }
  _mb_queued_event *e
      = &mb->events[(mb->event_first + mb->event_count++) % _MB_EVENTS];
  e->event = event;
  e->by_timer = false;
  e->name_len = (uint8_t)name.len;
  e->incarnation_len = (uint8_t)incarnation.len;
  memcpy (e->name, name.ptr, name.len);
  memcpy (e->incarnation, incarnation.ptr, incarnation.len);
}

static void
_mb_member_event (mb_state *mb, mb_event event, const _mb_member *m)
{
  _mb_add_event (mb, event, _mb_text (m, _MB_NAME),
                 _mb_text (m, _MB_INCARNATION));
}

/* Lets the next messages carry M.  */
static void
_mb_spread (mb_state *mb, _mb_member *m)
{
  unsigned log2 = 1;
  while (mb->used >> log2 != 0)
    log2++;
  if (m->transmits == 0)
    mb->news++;
  m->transmits = (uint16_t)(3 * log2 + 2);
}

static void
_mb_stop_spread (mb_state *mb, _mb_member *m)
{
  if (m->transmits > 0)
    mb->news--;
  m->transmits = 0;
}

/* Frees an entry that nobody needs: not listed and dead, or never known.  */
static void
_mb_forget (mb_state *mb, uint32_t at)
{
  _mb_member *m = &mb->members[at];
  _mb_stop_spread (mb, m);
  al_free (&mb->allocator, m->text);
  memset (m, 0, sizeof *m);
  memset (mb->index, 0, mb->index_size * sizeof *mb->index);
  for (uint32_t i = 0; i < mb->used; i++)
    if (mb->members[i].text != NULL)
      _mb_index_add (mb, i);
}

/* A free entry, or _MB_NONE when the table is full of live members.  */
static uint32_t
_mb_take_entry (mb_state *mb)
{
  for (uint32_t i = 1; i < mb->used; i++)
    if (mb->members[i].text == NULL)
      return i;
  if (mb->used < mb->desc.max_members)
    return mb->used++;
  for (uint32_t i = 1; i < mb->used; i++)
    if (!mb->members[i].known || mb->members[i].state == MB_DEAD)
      {
        _mb_forget (mb, i);
        return i;
      }
  return _MB_NONE;
}

static uint32_t
_mb_add_member (mb_state *mb, const mb_record *r)
{
  uint32_t at = _mb_take_entry (mb);
  if (at == _MB_NONE)
    return at;
  _mb_member *m = &mb->members[at];
  _mb_set_texts (mb, m, r);
  m->name_hash = _mb_hash (r->name);
  _mb_index_add (mb, at);
  if (at == 0)
    return at;
  for (uint32_t i = 0; i < mb->order_count; i++)
    if (mb->order[i] == at)
      return at;
  /* A random place among those that are still to be probed this round.  */
  uint32_t left = mb->order_count - mb->order_at;
  uint32_t place = mb->order_at + (uint32_t)(_mb_random (mb) % (left + 1));
  mb->order[mb->order_count] = mb->order[place];
  mb->order[place] = at;
  mb->order_count++;
  return at;
}

/* Makes the view of one VM, which knows only itself.  DESC's self must have
   a name and an incarnation.  */
mb_state *
mb_make (const mb_desc *desc, uint64_t now_us)
{
  mb_state *mb = al_alloc (&desc->allocator, sizeof *mb);
  mb_desc *d = &mb->desc;
  *d = *desc;
  mb->allocator = desc->allocator;
  d->max_members = d->max_members > 0 ? d->max_members : 2048;
  d->period_us = d->period_us > 0 ? d->period_us : 500 * CK_MS_US;
  d->ack_us = d->ack_us > 0 ? d->ack_us : 200 * CK_MS_US;
  d->suspect_us = d->suspect_us > 0 ? d->suspect_us : 2 * CK_S_US;
  d->helpers = d->helpers > 0 ? d->helpers : 3;
  mb->random = desc->seed;
  mb->index_size = 16;
  while (mb->index_size < d->max_members * 2)
    mb->index_size *= 2;
  mb->members
      = al_alloc (&mb->allocator, d->max_members * sizeof *mb->members);
  mb->index = al_alloc (&mb->allocator, mb->index_size * sizeof *mb->index);
  mb->order = al_alloc (&mb->allocator, d->max_members * sizeof *mb->order);
  mb->probe_member = _MB_NONE;
  mb->sync_member = _MB_NONE;
  mb->last_us = now_us;
  mb->probe_due_us = now_us + _mb_random (mb) % d->period_us;
  uint32_t at = _mb_add_member (mb, &desc->self);
  _mb_member *self = &mb->members[at];
  self->known = true;
  self->counter = desc->self.counter > 0 ? desc->self.counter : 1;
  self->leaving = desc->self.state == MB_LEAVING;
  memset (&d->self, 0, sizeof d->self);
  _mb_spread (mb, self);
  return mb;
}

/* Releases MB.  */
void
mb_destroy (mb_state *mb)
{
  if (mb == NULL)
    return;
  al_allocator al = mb->allocator;
  for (uint32_t i = 0; i < mb->used; i++)
    al_free (&al, mb->members[i].text);
  al_free (&al, mb->members);
  al_free (&al, mb->index);
  al_free (&al, mb->order);
  al_free (&al, mb);
}

static void
_mb_set_dead (mb_state *mb, _mb_member *m)
{
  m->state = MB_DEAD;
  m->pings_left = 0;
  _mb_add_gone (mb, _mb_text (m, _MB_INCARNATION));
  _mb_spread (mb, m);
  _mb_member_event (mb, MB_DIED, m);
}

static void
_mb_set_leaving (mb_state *mb, _mb_member *m)
{
  if (m->leaving)
    return;
  m->leaving = true;
  _mb_spread (mb, m);
  _mb_member_event (mb, MB_LEFT, m);
}

static void
_mb_set_suspect (mb_state *mb, _mb_member *m, bool by_own_probe,
                 uint64_t now_us)
{
  m->state = MB_SUSPECT;
  m->suspect_until_us = now_us + mb->desc.suspect_us;
  /* The VM that raises a suspicion tells the suspect about it repeatedly, so
     that one lost message does not take its chance to refute.  */
  m->pings_left = by_own_probe ? _MB_SUSPECT_PINGS : 1;
  m->ping_due_us = now_us;
  _mb_spread (mb, m);
  _mb_member_event (mb, MB_SUSPECTED, m);
}

static void
_mb_raise_own (mb_state *mb, uint64_t above)
{
  _mb_member *self = &mb->members[0];
  if (above < self->counter)
    return;
  self->counter = above + 1;
  _mb_spread (mb, self);
}

/* A record about this VM's own name.  */
static void
_mb_apply_own (mb_state *mb, const mb_record *r)
{
  _mb_member *self = &mb->members[0];
  if (!st_equal (r->incarnation, _mb_text (self, _MB_INCARNATION)))
    {
      if (r->state == MB_DEAD)
        _mb_add_gone (mb, r->incarnation);
      _mb_raise_own (mb, r->counter);
      return;
    }
  switch (r->state)
    {
    case MB_DEAD:
      if (!mb->own_dead)
        {
          mb->own_dead = true;
          _mb_member_event (mb, MB_OWN_DEAD, self);
        }
      return;
    case MB_SUSPECT:
      if (r->counter >= self->counter && mb->desc.fault != MB_FAULT_NO_REFUTE)
        {
          mb->counts.refutations++;
          _mb_raise_own (mb, r->counter);
        }
      return;
    case MB_ALIVE:
    case MB_LEAVING:
    case MB_STATES:
      return;
    }
}

static void
_mb_make_known (mb_state *mb, _mb_member *m, const mb_record *r,
                uint64_t now_us)
{
  _mb_set_texts (mb, m, r);
  m->known = true;
  m->state = MB_ALIVE;
  m->leaving = false;
  m->counter = r->counter;
  m->pings_left = 0;
  /* What a new VM learns from the table of another is no news.  */
  if (mb->direct || mb->sync_left == 0)
    _mb_spread (mb, m);
  _mb_member_event (mb, MB_JOINED, m);
  if (r->state == MB_LEAVING)
    _mb_set_leaving (mb, m);
  if (r->state == MB_SUSPECT)
    _mb_set_suspect (mb, m, false, now_us);
}

/* A record about the incarnation that the table holds.  */
static void
_mb_apply_same (mb_state *mb, _mb_member *m, const mb_record *r,
                uint64_t now_us)
{
  if (m->state == MB_DEAD)
    {
      if (mb->desc.fault == MB_FAULT_REVIVE_DEAD && r->state != MB_DEAD)
        _mb_make_known (mb, m, r, now_us);
      return;
    }
  if (r->state == MB_DEAD)
    {
      _mb_set_dead (mb, m);
      return;
    }
  if (r->counter < m->counter)
    return;
  if (r->state == MB_LEAVING)
    _mb_set_leaving (mb, m);
  if (r->counter > m->counter)
    {
      m->counter = r->counter;
      _mb_set_texts (mb, m, r);
      _mb_spread (mb, m);
      if (m->state == MB_SUSPECT && r->state != MB_SUSPECT)
        {
          m->state = MB_ALIVE;
          m->pings_left = 0;
          _mb_member_event (mb, MB_CLEARED, m);
        }
    }
  if (r->state == MB_SUSPECT && m->state == MB_ALIVE)
    _mb_set_suspect (mb, m, false, now_us);
}

static void
_mb_apply (mb_state *mb, const mb_record *r, uint64_t now_us)
{
  if (!_mb_validate_record (r))
    return;
  uint32_t at = _mb_find (mb, r->name);
  if (at == 0)
    {
      _mb_apply_own (mb, r);
      return;
    }
  bool held = at != _MB_NONE && mb->members[at].known;
  if (held
      && st_equal (r->incarnation,
                   _mb_text (&mb->members[at], _MB_INCARNATION)))
    {
      _mb_apply_same (mb, &mb->members[at], r, now_us);
      return;
    }
  if (r->state == MB_DEAD)
    {
      _mb_add_gone (mb, r->incarnation);
      return;
    }
  bool revive = mb->desc.fault == MB_FAULT_REVIVE_DEAD;
  if (!revive && _mb_gone (mb, _mb_hash (r->incarnation)))
    return;
  if (held)
    {
      if (!revive && r->counter <= mb->members[at].counter)
        return;
      if (mb->members[at].state != MB_DEAD)
        _mb_set_dead (mb, &mb->members[at]);
    }
  if (at == _MB_NONE)
    at = _mb_add_member (mb, r);
  if (at != _MB_NONE)
    _mb_make_known (mb, &mb->members[at], r, now_us);
}

static void
_mb_queue (mb_state *mb, mb_message_kind kind, uint64_t sequence, st_str name,
           st_str incarnation, st_str address, st_str subject, bool sync)
{
  if (mb->job_count == _MB_JOBS || address.len == 0)
    return;
  _mb_job *j = &mb->jobs[(mb->job_first + mb->job_count++) % _MB_JOBS];
  j->kind = kind;
  j->sequence = sequence;
  j->sync = sync;
  j->name_len = (uint8_t)name.len;
  j->incarnation_len = (uint8_t)incarnation.len;
  j->address_len = (uint8_t)address.len;
  j->subject_len = (uint8_t)subject.len;
  memcpy (j->name, name.ptr, name.len);
  memcpy (j->incarnation, incarnation.ptr, incarnation.len);
  memcpy (j->address, address.ptr, address.len);
  memcpy (j->subject, subject.ptr, subject.len);
}

static void
_mb_queue_member (mb_state *mb, mb_message_kind kind, uint64_t sequence,
                  const _mb_member *m, st_str subject, bool sync)
{
  _mb_queue (mb, kind, sequence, _mb_text (m, _MB_NAME),
             _mb_text (m, _MB_INCARNATION), _mb_text (m, _MB_PEER), subject,
             sync);
}

static bool
_mb_probeable (const _mb_member *m)
{
  return m->text != NULL && m->known && m->state != MB_DEAD;
}

/* Takes a new VM list.  Names that are not known yet are contacted; entries
   that are no longer listed are forgotten once they are dead.  */
void
mb_set_vm_list (mb_state *mb, const mb_listed *entries, uint32_t count,
                uint64_t now_us)
{
  uint32_t unknown = 0;
  for (uint32_t i = 0; i < mb->used; i++)
    mb->members[i].listed = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const mb_listed *e = &entries[i];
      mb_record r = { .name = e->name,
                      .incarnation = ST_LIT ("?"),
                      .region = e->region,
                      .data_center = e->data_center,
                      .peer_address = e->peer_address,
                      .callers_address = e->callers_address,
                      .capacity = e->capacity };
      if (!_mb_validate_record (&r))
        continue;
      r.incarnation = ST_LIT ("");
      uint32_t at = _mb_find (mb, e->name);
      if (at == 0)
        {
          mb->members[0].listed = true;
          continue;
        }
      if (at == _MB_NONE)
        {
          at = _mb_add_member (mb, &r);
          if (at == _MB_NONE)
            continue;
          unknown++;
        }
      _mb_member *m = &mb->members[at];
      m->listed = true;
      if (!m->known)
        _mb_set_texts (mb, m, &r);
      else if (m->state == MB_DEAD)
        {
          /* A VM may come back under its name at another address.  */
          r.incarnation = _mb_text (m, _MB_INCARNATION);
          _mb_set_texts (mb, m, &r);
        }
      else if (e->leaving)
        _mb_set_leaving (mb, m);
    }
  for (uint32_t i = 1; i < mb->used; i++)
    if (mb->members[i].text != NULL && !mb->members[i].listed
        && (!mb->members[i].known
            || (mb->members[i].state == MB_DEAD
                && mb->members[i].transmits == 0)))
      _mb_forget (mb, i);
  if (unknown > 0)
    {
      /* Eight records per answer; twice the rounds make up for losses and for
         members that are new themselves.  */
      mb->sync_left = unknown / 4 + 20;
      mb->sync_due_us = now_us;
    }
}

/* Announces that this VM takes no new work.  */
void
mb_leave (mb_state *mb)
{
  _mb_member *self = &mb->members[0];
  if (self->leaving)
    return;
  self->leaving = true;
  self->counter++;
  _mb_spread (mb, self);
}

/* Continues under a new incarnation, after MB_OWN_DEAD.  COUNTER is the wall
   clock in ms; it is raised above the old one when needed.  */
void
mb_rejoin (mb_state *mb, st_str incarnation, uint64_t counter)
{
  _mb_member *self = &mb->members[0];
  mb_record r = _mb_record_of (self);
  _mb_add_gone (mb, r.incarnation);
  uint64_t above = self->counter + 1;
  r.incarnation = incarnation;
  _mb_set_texts (mb, self, &r);
  self->counter = counter > above ? counter : above;
  mb->own_dead = false;
  _mb_spread (mb, self);
}

static void
_mb_on_ack (mb_state *mb, const mb_message *msg)
{
  uint64_t subject = _mb_hash (msg->subject);
  if (mb->probe_member != _MB_NONE && msg->sequence == mb->probe_sequence
      && subject == mb->probe_incarnation)
    mb->probe_member = _MB_NONE;
  for (uint32_t i = 0; i < _MB_RELAYS; i++)
    if (mb->relays[i].sequence != 0 && mb->relays[i].sequence == msg->sequence)
      {
        uint32_t asker = _mb_find_hash (mb, mb->relays[i].asker_hash);
        if (asker != _MB_NONE)
          _mb_queue_member (mb, MB_ACK, mb->relays[i].asker_sequence,
                            &mb->members[asker], msg->subject, false);
        mb->relays[i].sequence = 0;
      }
}

static void
_mb_on_ping_req (mb_state *mb, const mb_message *msg)
{
  for (uint32_t i = 1; i < mb->used; i++)
    {
      const _mb_member *m = &mb->members[i];
      if (!_mb_probeable (m)
          || !st_equal (_mb_text (m, _MB_INCARNATION), msg->subject))
        continue;
      _mb_relay *relay = &mb->relays[mb->relay_at++ % _MB_RELAYS];
      relay->sequence = ++mb->sequence;
      relay->asker_sequence = msg->sequence;
      relay->asker_hash = _mb_hash (msg->self.name);
      _mb_queue_member (mb, MB_PING, relay->sequence, m,
                        _mb_text (m, _MB_INCARNATION), false);
      return;
    }
}

static void _mb_tick (mb_state *mb, uint64_t now_us);

/* Takes a message from another VM.  */
void
mb_on_message (mb_state *mb, const mb_message *message, uint64_t now_us)
{
  if (!_mb_validate_record (&message->self)
      || message->subject.len > MB_INCARNATION_MAX
      || message->update_count > MB_UPDATES_MAX)
    return;
  _mb_tick (mb, now_us);
  mb->counts.received++;
  mb->direct = true;
  _mb_apply (mb, &message->self, now_us);
  mb->direct = false;
  for (uint32_t i = 0; i < message->update_count; i++)
    _mb_apply (mb, &message->updates[i], now_us);
  switch (message->kind)
    {
    case MB_PING:
      _mb_queue (mb, MB_ACK, message->sequence, message->self.name,
                 message->self.incarnation, message->self.peer_address,
                 _mb_text (&mb->members[0], _MB_INCARNATION),
                 (message->sequence & _MB_SYNC_BIT) != 0);
      return;
    case MB_ACK:
      _mb_on_ack (mb, message);
      return;
    case MB_PING_REQ:
      _mb_on_ping_req (mb, message);
      return;
    }
}

static uint32_t
_mb_next_probe (mb_state *mb)
{
  for (int round = 0; round < 2; round++)
    {
      while (mb->order_at < mb->order_count)
        {
          uint32_t at = mb->order[mb->order_at++];
          if (_mb_probeable (&mb->members[at]))
            return at;
        }
      mb->order_at = 0;
      mb->order_count = 0;
      for (uint32_t i = 1; i < mb->used; i++)
        if (mb->members[i].text != NULL)
          {
            uint32_t j = (uint32_t)(_mb_random (mb) % (mb->order_count + 1));
            mb->order[mb->order_count] = mb->order[j];
            mb->order[j] = i;
            mb->order_count++;
          }
    }
  return _MB_NONE;
}

static uint32_t
_mb_random_live (mb_state *mb, uint32_t except)
{
  uint32_t start = (uint32_t)(_mb_random (mb) % mb->used);
  for (uint32_t i = 0; i < mb->used; i++)
    {
      uint32_t at = (start + i) % mb->used;
      if (at != 0 && at != except && _mb_probeable (&mb->members[at])
          && mb->members[at].state == MB_ALIVE)
        return at;
    }
  return _MB_NONE;
}

static void
_mb_ask_helpers (mb_state *mb)
{
  const _mb_member *target = &mb->members[mb->probe_member];
  uint32_t asked[8];
  uint32_t count = 0;
  mb->probe_asked = true;
  for (uint32_t tries = 0;
       tries < 4 * mb->desc.helpers && count < mb->desc.helpers && count < 8;
       tries++)
    {
      uint32_t at = _mb_random_live (mb, mb->probe_member);
      bool again = false;
      if (at == _MB_NONE)
        return;
      for (uint32_t i = 0; i < count; i++)
        again = again || asked[i] == at;
      if (again)
        continue;
      asked[count++] = at;
      _mb_queue_member (mb, MB_PING_REQ, mb->probe_sequence, &mb->members[at],
                        _mb_text (target, _MB_INCARNATION), false);
    }
}

static void
_mb_start_probe (mb_state *mb, uint64_t now_us)
{
  uint32_t at = _mb_next_probe (mb);
  uint64_t period = mb->desc.period_us;
  mb->probe_due_us
      = now_us + period - period / 10 + _mb_random (mb) % (period / 5 + 1);
  mb->periods++;
  if (at != _MB_NONE)
    {
      const _mb_member *m = &mb->members[at];
      mb->probe_member = at;
      mb->probe_incarnation = _mb_hash (_mb_text (m, _MB_INCARNATION));
      mb->probe_sequence = ++mb->sequence;
      mb->probe_ask_us = now_us + mb->desc.ack_us;
      mb->probe_end_us = mb->probe_due_us;
      mb->probe_asked = false;
      _mb_queue_member (mb, MB_PING, mb->probe_sequence, m,
                        _mb_text (m, _MB_INCARNATION), false);
    }
  if (mb->periods % _MB_CONTACT_PERIODS != 0 && at != _MB_NONE)
    return;
  /* Listed names without a live incarnation: new VMs that nobody told us
     about, and VMs that were cut off and declared dead.  */
  uint32_t start = (uint32_t)(_mb_random (mb) % mb->used);
  for (uint32_t i = 0; i < mb->used; i++)
    {
      uint32_t j = (start + i) % mb->used;
      const _mb_member *m = &mb->members[j];
      if (j == 0 || m->text == NULL || !m->listed || _mb_probeable (m))
        continue;
      _mb_queue_member (mb, MB_PING, ++mb->sequence, m, ST_LIT (""), false);
      return;
    }
}

static void
_mb_end_probe (mb_state *mb, uint64_t now_us)
{
  _mb_member *m = &mb->members[mb->probe_member];
  mb->probe_member = _MB_NONE;
  if (!_mb_probeable (m) || m->state == MB_SUSPECT
      || _mb_hash (_mb_text (m, _MB_INCARNATION)) != mb->probe_incarnation)
    return;
  mb->counts.suspicions++;
  _mb_set_suspect (mb, m, true, now_us);
}

static void
_mb_sync (mb_state *mb, uint64_t now_us)
{
  bool unknown = false;
  mb->sync_due_us = now_us + _MB_JOIN_US;
  mb->sync_left--;
  for (uint32_t i = 1; i < mb->used && !unknown; i++)
    unknown = mb->members[i].text != NULL && !mb->members[i].known;
  if (!unknown)
    {
      mb->sync_left = 0;
      return;
    }
  if (mb->sync_member == _MB_NONE
      || !_mb_probeable (&mb->members[mb->sync_member])
      || mb->sync_left % 16 == 0)
    mb->sync_member = _mb_random_live (mb, _MB_NONE);
  uint32_t at = mb->sync_member;
  if (at == _MB_NONE)
    {
      /* Nobody is known yet: contact any listed name.  */
      uint32_t start = (uint32_t)(_mb_random (mb) % mb->used);
      for (uint32_t i = 0; i < mb->used && at == _MB_NONE; i++)
        {
          uint32_t j = (start + i) % mb->used;
          if (j != 0 && mb->members[j].text != NULL)
            at = j;
        }
    }
  if (at != _MB_NONE)
    _mb_queue_member (mb, MB_PING, _MB_SYNC_BIT | mb->sync_round++,
                      &mb->members[at], ST_LIT (""), false);
}

/* Shifts what was to happen during a pause of this process, in which answers
   may have waited unread.  */
static void
_mb_after_pause (mb_state *mb, uint64_t now_us)
{
  mb->probe_member = _MB_NONE;
  mb->probe_due_us = now_us;
  for (uint32_t i = 1; i < mb->used; i++)
    if (mb->members[i].state == MB_SUSPECT)
      mb->members[i].suspect_until_us = now_us + mb->desc.suspect_us;
}

static void
_mb_tick (mb_state *mb, uint64_t now_us)
{
  if (now_us - mb->last_us > mb->desc.period_us * 2
      && mb->desc.fault != MB_FAULT_TRUST_TIMERS)
    _mb_after_pause (mb, now_us);
  mb->last_us = now_us;
  if (mb->probe_member != _MB_NONE)
    {
      if (now_us >= mb->probe_end_us)
        _mb_end_probe (mb, now_us);
      else if (!mb->probe_asked && now_us >= mb->probe_ask_us)
        _mb_ask_helpers (mb);
    }
  if (now_us >= mb->probe_due_us)
    _mb_start_probe (mb, now_us);
  if (mb->sync_left > 0 && now_us >= mb->sync_due_us)
    _mb_sync (mb, now_us);
  for (uint32_t i = 1; i < mb->used; i++)
    {
      _mb_member *m = &mb->members[i];
      if (m->state != MB_SUSPECT || m->text == NULL)
        continue;
      if (now_us >= m->suspect_until_us)
        {
          uint32_t queued = mb->event_count;
          mb->counts.deaths++;
          _mb_set_dead (mb, m);
          if (mb->event_count > queued)
            mb->events[(mb->event_first + queued) % _MB_EVENTS].by_timer
                = true;
        }
      else if (m->pings_left > 0 && now_us >= m->ping_due_us)
        {
          m->pings_left--;
          m->ping_due_us = now_us + mb->desc.suspect_us / 5;
          _mb_queue_member (mb, MB_PING, ++mb->sequence, m,
                            _mb_text (m, _MB_INCARNATION), false);
        }
    }
}

static bool
_mb_has_update (const mb_message *msg, st_str name)
{
  for (uint32_t i = 0; i < msg->update_count; i++)
    if (st_equal (msg->updates[i].name, name))
      return true;
  return false;
}

/* What the receiver must know about itself comes first.  */
static void
_mb_add_receiver (mb_state *mb, const _mb_job *j, mb_message *msg)
{
  st_str name = { j->name, j->name_len };
  st_str incarnation = { j->incarnation, j->incarnation_len };
  if (j->incarnation_len > 0 && _mb_gone (mb, _mb_hash (incarnation)))
    msg->updates[msg->update_count++]
        = (mb_record){ .name = name,
                       .incarnation = incarnation,
                       .region = ST_LIT (""),
                       .data_center = ST_LIT (""),
                       .peer_address = ST_LIT (""),
                       .callers_address = ST_LIT (""),
                       .state = MB_DEAD };
  uint32_t at = _mb_find (mb, name);
  if (at == _MB_NONE || at == 0 || !mb->members[at].known)
    return;
  const _mb_member *m = &mb->members[at];
  if (m->state != MB_ALIVE
      || !st_equal (incarnation, _mb_text (m, _MB_INCARNATION)))
    msg->updates[msg->update_count++] = _mb_record_of (m);
}

/* The news that were sent least often so far.  */
static void
_mb_add_news (mb_state *mb, mb_message *msg)
{
  uint32_t picked[MB_UPDATES_MAX];
  uint32_t count = 0;
  uint32_t room = MB_UPDATES_MAX - msg->update_count;
  for (uint32_t i = 1; i < mb->used && mb->news > 0; i++)
    {
      _mb_member *m = &mb->members[i];
      if (m->transmits == 0 || !m->known)
        continue;
      uint32_t at = count < room ? count++ : room;
      if (at == room
          && (room == 0
              || mb->members[picked[room - 1]].transmits >= m->transmits))
        continue;
      if (at == room)
        at = room - 1;
      while (at > 0 && mb->members[picked[at - 1]].transmits < m->transmits)
        {
          picked[at] = picked[at - 1];
          at--;
        }
      picked[at] = i;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      _mb_member *m = &mb->members[picked[i]];
      if (--m->transmits == 0)
        mb->news--;
      if (!_mb_has_update (msg, _mb_text (m, _MB_NAME)))
        msg->updates[msg->update_count++] = _mb_record_of (m);
    }
}

static void
_mb_add_rotated (mb_state *mb, mb_message *msg, uint32_t count)
{
  for (uint32_t i = 0;
       i < mb->used && count > 0 && msg->update_count < MB_UPDATES_MAX; i++)
    {
      mb->rotate_at = (mb->rotate_at + 1) % mb->used;
      const _mb_member *m = &mb->members[mb->rotate_at];
      if (mb->rotate_at == 0 || m->text == NULL || !m->known
          || _mb_has_update (msg, _mb_text (m, _MB_NAME)))
        continue;
      msg->updates[msg->update_count++] = _mb_record_of (m);
      count--;
    }
}

static bool
_mb_next_send (mb_state *mb, mb_action *a)
{
  if (mb->job_count == 0)
    return false;
  mb->job = mb->jobs[mb->job_first];
  mb->job_first = (mb->job_first + 1) % _MB_JOBS;
  mb->job_count--;
  const _mb_job *j = &mb->job;
  mb_message *msg = &a->message;
  _mb_member *self = &mb->members[0];
  a->kind = MB_SEND;
  a->to_name = (st_str){ j->name, j->name_len };
  a->to_address = (st_str){ j->address, j->address_len };
  msg->kind = j->kind;
  msg->sequence = j->sequence;
  msg->self = _mb_record_of (self);
  msg->subject = (st_str){ j->subject, j->subject_len };
  _mb_stop_spread (mb, self); /* every message carries it */
  _mb_add_receiver (mb, j, msg);
  if (j->kind == MB_ACK && j->sync)
    {
      uint32_t at = (uint32_t)(j->sequence % mb->used) * MB_UPDATES_MAX;
      uint32_t kept = mb->rotate_at;
      mb->rotate_at = at % mb->used;
      _mb_add_rotated (mb, msg, MB_UPDATES_MAX);
      mb->rotate_at = kept;
    }
  else
    {
      _mb_add_news (mb, msg);
      if (j->kind != MB_PING_REQ)
        _mb_add_rotated (mb, msg, _MB_ROTATED);
    }
  mb->counts.sent[j->kind]++;
  return true;
}

/* Takes the next action.  Call until it returns false, after each input and
   at the time of mb_query_wake_us.  */
bool
mb_next (mb_state *mb, uint64_t now_us, mb_action *action)
{
  memset (action, 0, offsetof (mb_action, message.updates));
  action->event = MB_RESYNC;
  _mb_tick (mb, now_us);
  if (mb->event_count > 0)
    {
      mb->event = mb->events[mb->event_first];
      mb->event_first = (mb->event_first + 1) % _MB_EVENTS;
      mb->event_count--;
      action->kind = MB_EVENT;
      action->event = mb->event.event;
      action->by_timer = mb->event.by_timer;
      action->name = (st_str){ mb->event.name, mb->event.name_len };
      action->incarnation
          = (st_str){ mb->event.incarnation, mb->event.incarnation_len };
      return true;
    }
  if (mb->events_lost)
    {
      mb->events_lost = false;
      action->kind = MB_EVENT;
      action->name = ST_LIT ("");
      action->incarnation = ST_LIT ("");
      return true;
    }
  return _mb_next_send (mb, action);
}

/* Monotonic time at which mb_next has something to do without a message.  */
uint64_t
mb_query_wake_us (const mb_state *mb, uint64_t now_us)
{
  uint64_t wake = mb->probe_due_us;
  if (mb->job_count > 0 || mb->event_count > 0 || mb->events_lost)
    return now_us;
  if (mb->probe_member != _MB_NONE && !mb->probe_asked
      && mb->probe_ask_us < wake)
    wake = mb->probe_ask_us;
  if (mb->sync_left > 0 && mb->sync_due_us < wake)
    wake = mb->sync_due_us;
  for (uint32_t i = 1; i < mb->used; i++)
    {
      const _mb_member *m = &mb->members[i];
      if (m->state != MB_SUSPECT || m->text == NULL)
        continue;
      if (m->suspect_until_us < wake)
        wake = m->suspect_until_us;
      if (m->pings_left > 0 && m->ping_due_us < wake)
        wake = m->ping_due_us;
    }
  return wake > now_us ? wake : now_us;
}

/* This VM's own record.  */
mb_record
mb_query_self (const mb_state *mb)
{
  return _mb_record_of (&mb->members[0]);
}

/* True from MB_OWN_DEAD until mb_rejoin.  */
bool
mb_query_own_dead (const mb_state *mb)
{
  return mb->own_dead;
}

/* Iterates over all members with an incarnation, self and dead ones
   included.  Start with a CURSOR of 0.  */
bool
mb_query_member (const mb_state *mb, uint32_t *cursor, mb_record *record)
{
  while (*cursor < mb->used)
    {
      const _mb_member *m = &mb->members[(*cursor)++];
      if (m->text == NULL || !m->known)
        continue;
      *record = _mb_record_of (m);
      return true;
    }
  return false;
}

/* Iterates over the members that take work: alive or suspect, not leaving
   and not dead; self only while its incarnation is not declared dead.  An
   empty REGION or DATA_CENTER matches all.  */
bool
mb_query_live (const mb_state *mb, st_str region, st_str data_center,
               uint32_t *cursor, mb_record *record)
{
  while (*cursor < mb->used)
    {
      uint32_t at = (*cursor)++;
      const _mb_member *m = &mb->members[at];
      if (!_mb_probeable (m) || m->leaving || (at == 0 && mb->own_dead))
        continue;
      if ((region.len > 0 && !st_equal (_mb_text (m, _MB_REGION), region))
          || (data_center.len > 0
              && !st_equal (_mb_text (m, _MB_DATA_CENTER), data_center)))
        continue;
      *record = _mb_record_of (m);
      return true;
    }
  return false;
}

/* The record of NAME's newest incarnation, dead or not.  */
bool
mb_query_name (const mb_state *mb, st_str name, mb_record *record)
{
  uint32_t at = _mb_find (mb, name);
  if (at == _MB_NONE || !mb->members[at].known)
    return false;
  *record = _mb_record_of (&mb->members[at]);
  return true;
}

/* State of INCARNATION.  False when it was never heard of.  */
bool
mb_query_incarnation (const mb_state *mb, st_str incarnation,
                      mb_member_state *state)
{
  for (uint32_t i = 0; i < mb->used; i++)
    {
      const _mb_member *m = &mb->members[i];
      if (m->text != NULL && m->known
          && st_equal (_mb_text (m, _MB_INCARNATION), incarnation))
        {
          *state = _mb_record_of (m).state;
          return true;
        }
    }
  *state = MB_DEAD;
  return _mb_gone (mb, _mb_hash (incarnation));
}

/* Counters since the start.  */
mb_counts
mb_query_counts (const mb_state *mb)
{
  mb_counts counts = mb->counts;
  counts.members = 0;
  for (uint32_t i = 0; i < mb->used; i++)
    counts.members += _mb_probeable (&mb->members[i]) ? 1 : 0;
  return counts;
}
