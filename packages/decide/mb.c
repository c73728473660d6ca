#include "mb.h"

#include "ck.h"

#include <string.h>

#define _MB_NONE UINT32_MAX
#define _MB_HASH_SEED 0x6d62ull
#define _MB_SENDS 128
#define _MB_EVENTS 256
#define _MB_RELAYS 64
/* Dead incarnations that are remembered: enough for two days at the design
   rate of 1,970 restarts and failures a day.  */
#define _MB_DEAD_MAX 4096
/* Records sent in rotation in addition to the pending updates, so that a view
   that missed an update is repaired.  */
#define _MB_REPAIR_RECORDS 2
#define _MB_SYNC_INTERVAL_US (100 * CK_MS_US)
/* A PING that fetches the member table has this bit in its sequence, and the
   number of the portion that it fetches in the lower bits.  */
#define _MB_SYNC_BIT (1ull << 63)
/* Periods between two PINGs to listed names without a live incarnation.  */
#define _MB_CONTACT_PERIODS 4
/* PINGs to a member that this VM suspects.  */
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
  bool has_incarnation;
  bool listed;
  bool leaving; /* never reset for an incarnation */
  uint8_t pings_left;
  uint16_t transmits_left; /* of the pending update; 0: none */
  uint64_t name_hash;
  uint64_t counter;
  uint32_t capacity;
  uint64_t suspect_until_us;
  uint64_t ping_due_us;
} _mb_member;

/* A message that is built when mb_next returns it.  */
typedef struct
{
  mb_message_kind kind;
  uint64_t sequence;
  bool sync; /* fill all updates from the table */
  uint8_t name_len, incarnation_len, address_len, subject_len;
  char name[ST_NAME_MAX + 1];
  char incarnation[MB_INCARNATION_MAX];
  char address[MB_ADDRESS_MAX];
  char subject[MB_INCARNATION_MAX];
} _mb_queued_send;

typedef struct
{
  mb_event event;
  bool declared_locally;
  uint8_t name_len, incarnation_len;
  char name[ST_NAME_MAX + 1];
  char incarnation[MB_INCARNATION_MAX];
} _mb_queued_event;

/* An indirect probe that this VM makes for another one, the origin.  */
typedef struct
{
  uint64_t sequence; /* of this VM's probe; 0: free */
  uint64_t origin_sequence;
  uint64_t origin_hash; /* of the origin's name */
} _mb_relay;

struct mb_state
{
  mb_desc desc;
  al_allocator allocator;
  uint64_t random;
  uint32_t used; /* entries of MEMBERS in use or freed; entry 0 is self */
  _mb_member *members;
  uint32_t *index; /* open addressing: position + 1, by name */
  uint32_t index_size;
  uint32_t *order; /* probe order */
  uint32_t order_count;
  uint32_t order_at;
  uint32_t rotate_at;
  uint32_t pending_updates; /* members with transmits_left above 0 */
  uint64_t sequence;
  uint64_t last_us;
  uint64_t probe_due_us;
  uint32_t periods;
  /* The probe that waits for its ACK.  */
  uint32_t probe_member;
  uint64_t probe_incarnation;
  uint64_t probe_sequence;
  uint64_t probe_indirect_us;
  uint64_t probe_end_us;
  bool indirect_probes_sent;
  bool own_dead;
  bool events_dropped;
  bool is_sender_record; /* the record being applied is the sender's own */
  /* A new VM fetches the member table from one member, MB_UPDATES_MAX records
     for each PING.  */
  uint32_t sync_left;
  uint32_t sync_round;
  uint32_t sync_member;
  uint64_t sync_due_us;
  uint64_t dead_incarnations[_MB_DEAD_MAX]; /* hashes */
  uint32_t dead_at;
  _mb_relay relays[_MB_RELAYS];
  uint32_t relay_at;
  _mb_queued_send sends[_MB_SENDS];
  uint32_t send_first, send_count;
  _mb_queued_send current_send; /* backs the views of the last SEND */
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
_mb_is_dead_incarnation (const mb_state *mb, uint64_t incarnation_hash)
{
  for (uint32_t i = 0; i < _MB_DEAD_MAX; i++)
    if (mb->dead_incarnations[i] == incarnation_hash)
      return true;
  return false;
}

static void
_mb_add_dead_incarnation (mb_state *mb, st_str incarnation)
{
  uint64_t hash = _mb_hash (incarnation);
  if (incarnation.len == 0 || _mb_is_dead_incarnation (mb, hash))
    return;
  mb->dead_incarnations[mb->dead_at] = hash;
  mb->dead_at = (mb->dead_at + 1) % _MB_DEAD_MAX;
}

static void
_mb_add_event (mb_state *mb, mb_event event, st_str name, st_str incarnation)
{
  if (mb->event_count == _MB_EVENTS)
    {
      mb->events_dropped = true;
      return;
    }
  _mb_queued_event *e
      = &mb->events[(mb->event_first + mb->event_count++) % _MB_EVENTS];
  e->event = event;
  e->declared_locally = false;
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

/* Piggybacks M's record on the next messages, 3 * log2 (members) + 5 times at
   most.  */
static void
_mb_queue_update (mb_state *mb, _mb_member *m)
{
  unsigned log2 = 1;
  while (mb->used >> log2 != 0)
    log2++;
  if (m->transmits_left == 0)
    mb->pending_updates++;
  m->transmits_left = (uint16_t)(3 * log2 + 2);
}

static void
_mb_clear_update (mb_state *mb, _mb_member *m)
{
  if (m->transmits_left > 0)
    mb->pending_updates--;
  m->transmits_left = 0;
}

/* Frees an entry that is no longer needed: its member is dead, or never had an
   incarnation.  */
static void
_mb_free_entry (mb_state *mb, uint32_t at)
{
  _mb_member *m = &mb->members[at];
  _mb_clear_update (mb, m);
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
    if (!mb->members[i].has_incarnation || mb->members[i].state == MB_DEAD)
      {
        _mb_free_entry (mb, i);
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
  /* A random position among those that are still to be probed this round.  */
  uint32_t left = mb->order_count - mb->order_at;
  uint32_t position = mb->order_at + (uint32_t)(_mb_random (mb) % (left + 1));
  mb->order[mb->order_count] = mb->order[position];
  mb->order[position] = at;
  mb->order_count++;
  return at;
}

/* Makes the view of one VM, which has only the VM itself.  DESC's self must
   have a name and an incarnation.  */
mb_state *
mb_make (const mb_desc *desc, uint64_t now_us)
{
  mb_state *mb = al_alloc (&desc->allocator, sizeof *mb);
  mb_desc *d = &mb->desc;
  *d = *desc;
  mb->allocator = desc->allocator;
  d->max_members = d->max_members > 0 ? d->max_members : 2048;
  d->period_us = d->period_us > 0 ? d->period_us : 500 * CK_MS_US;
  d->ack_timeout_us
      = d->ack_timeout_us > 0 ? d->ack_timeout_us : 200 * CK_MS_US;
  d->suspect_timeout_us
      = d->suspect_timeout_us > 0 ? d->suspect_timeout_us : 2 * CK_S_US;
  d->indirect_probes = d->indirect_probes > 0 ? d->indirect_probes : 3;
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
  self->has_incarnation = true;
  self->counter = desc->self.counter > 0 ? desc->self.counter : 1;
  self->leaving = desc->self.state == MB_LEAVING;
  memset (&d->self, 0, sizeof d->self);
  _mb_queue_update (mb, self);
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
  _mb_add_dead_incarnation (mb, _mb_text (m, _MB_INCARNATION));
  _mb_queue_update (mb, m);
  _mb_member_event (mb, MB_DIED, m);
}

static void
_mb_set_leaving (mb_state *mb, _mb_member *m)
{
  if (m->leaving)
    return;
  m->leaving = true;
  _mb_queue_update (mb, m);
  _mb_member_event (mb, MB_LEFT, m);
}

static void
_mb_set_suspect (mb_state *mb, _mb_member *m, bool by_own_probe,
                 uint64_t now_us)
{
  m->state = MB_SUSPECT;
  m->suspect_until_us = now_us + mb->desc.suspect_timeout_us;
  /* The VM that raises a suspicion sends it to the suspect repeatedly, so that
     the suspect can refute it although a message is lost.  */
  m->pings_left = by_own_probe ? _MB_SUSPECT_PINGS : 1;
  m->ping_due_us = now_us;
  _mb_queue_update (mb, m);
  _mb_member_event (mb, MB_SUSPECTED, m);
}

static void
_mb_raise_own_counter (mb_state *mb, uint64_t above)
{
  _mb_member *self = &mb->members[0];
  if (above < self->counter)
    return;
  self->counter = above + 1;
  _mb_queue_update (mb, self);
}

/* Applies a record of this VM's own name.  */
static void
_mb_apply_own (mb_state *mb, const mb_record *r)
{
  _mb_member *self = &mb->members[0];
  if (!st_equal (r->incarnation, _mb_text (self, _MB_INCARNATION)))
    {
      if (r->state == MB_DEAD)
        _mb_add_dead_incarnation (mb, r->incarnation);
      _mb_raise_own_counter (mb, r->counter);
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
          _mb_raise_own_counter (mb, r->counter);
        }
      return;
    case MB_ALIVE:
    case MB_LEAVING:
    case MB_STATES:
      return;
    }
}

static void
_mb_set_incarnation (mb_state *mb, _mb_member *m, const mb_record *r,
                     uint64_t now_us)
{
  _mb_set_texts (mb, m, r);
  m->has_incarnation = true;
  m->state = MB_ALIVE;
  m->leaving = false;
  m->counter = r->counter;
  m->pings_left = 0;
  /* A record that a new VM fetches from the table of another is not sent on,
     since the others have it already.  */
  if (mb->is_sender_record || mb->sync_left == 0)
    _mb_queue_update (mb, m);
  _mb_member_event (mb, MB_JOINED, m);
  if (r->state == MB_LEAVING)
    _mb_set_leaving (mb, m);
  if (r->state == MB_SUSPECT)
    _mb_set_suspect (mb, m, false, now_us);
}

/* Applies a record of the incarnation that the table already has.  */
static void
_mb_apply_same (mb_state *mb, _mb_member *m, const mb_record *r,
                uint64_t now_us)
{
  if (m->state == MB_DEAD)
    {
      if (mb->desc.fault == MB_FAULT_REVIVE_DEAD && r->state != MB_DEAD)
        _mb_set_incarnation (mb, m, r, now_us);
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
      _mb_queue_update (mb, m);
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
  bool found = at != _MB_NONE && mb->members[at].has_incarnation;
  if (found
      && st_equal (r->incarnation,
                   _mb_text (&mb->members[at], _MB_INCARNATION)))
    {
      _mb_apply_same (mb, &mb->members[at], r, now_us);
      return;
    }
  if (r->state == MB_DEAD)
    {
      _mb_add_dead_incarnation (mb, r->incarnation);
      return;
    }
  bool revive = mb->desc.fault == MB_FAULT_REVIVE_DEAD;
  if (!revive && _mb_is_dead_incarnation (mb, _mb_hash (r->incarnation)))
    return;
  if (found)
    {
      if (!revive && r->counter <= mb->members[at].counter)
        return;
      if (mb->members[at].state != MB_DEAD)
        _mb_set_dead (mb, &mb->members[at]);
    }
  if (at == _MB_NONE)
    at = _mb_add_member (mb, r);
  if (at != _MB_NONE)
    _mb_set_incarnation (mb, &mb->members[at], r, now_us);
}

static void
_mb_queue_send (mb_state *mb, mb_message_kind kind, uint64_t sequence,
                st_str name, st_str incarnation, st_str address,
                st_str subject, bool sync)
{
  if (mb->send_count == _MB_SENDS || address.len == 0)
    return;
  _mb_queued_send *s
      = &mb->sends[(mb->send_first + mb->send_count++) % _MB_SENDS];
  s->kind = kind;
  s->sequence = sequence;
  s->sync = sync;
  s->name_len = (uint8_t)name.len;
  s->incarnation_len = (uint8_t)incarnation.len;
  s->address_len = (uint8_t)address.len;
  s->subject_len = (uint8_t)subject.len;
  memcpy (s->name, name.ptr, name.len);
  memcpy (s->incarnation, incarnation.ptr, incarnation.len);
  memcpy (s->address, address.ptr, address.len);
  memcpy (s->subject, subject.ptr, subject.len);
}

static void
_mb_queue_send_to_member (mb_state *mb, mb_message_kind kind,
                          uint64_t sequence, const _mb_member *m,
                          st_str subject, bool sync)
{
  _mb_queue_send (mb, kind, sequence, _mb_text (m, _MB_NAME),
                  _mb_text (m, _MB_INCARNATION), _mb_text (m, _MB_PEER),
                  subject, sync);
}

static bool
_mb_probeable (const _mb_member *m)
{
  return m->text != NULL && m->has_incarnation && m->state != MB_DEAD;
}

/* Takes a new VM list.  New names are contacted; entries that are no longer
   listed are freed once they are dead.  */
void
mb_set_vm_list (mb_state *mb, const mb_vm_entry *entries, uint32_t count,
                uint64_t now_us)
{
  uint32_t unknown = 0;
  for (uint32_t i = 0; i < mb->used; i++)
    mb->members[i].listed = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const mb_vm_entry *e = &entries[i];
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
      if (!m->has_incarnation)
        _mb_set_texts (mb, m, &r);
      else if (m->state == MB_DEAD)
        {
          /* A VM may restart under its name at another address.  */
          r.incarnation = _mb_text (m, _MB_INCARNATION);
          _mb_set_texts (mb, m, &r);
        }
      else if (e->leaving)
        _mb_set_leaving (mb, m);
    }
  for (uint32_t i = 1; i < mb->used; i++)
    if (mb->members[i].text != NULL && !mb->members[i].listed
        && (!mb->members[i].has_incarnation
            || (mb->members[i].state == MB_DEAD
                && mb->members[i].transmits_left == 0)))
      _mb_free_entry (mb, i);
  if (unknown > 0)
    {
      /* An ACK has eight records; twice the rounds make up for lost messages
         and for members that are new themselves.  */
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
  _mb_queue_update (mb, self);
}

/* Continues under a new incarnation after MB_OWN_DEAD.  COUNTER is the wall
   clock in ms; it is raised above the old counter when needed.  */
void
mb_rejoin (mb_state *mb, st_str incarnation, uint64_t counter)
{
  _mb_member *self = &mb->members[0];
  mb_record r = _mb_record_of (self);
  _mb_add_dead_incarnation (mb, r.incarnation);
  uint64_t above = self->counter + 1;
  r.incarnation = incarnation;
  _mb_set_texts (mb, self, &r);
  self->counter = counter > above ? counter : above;
  mb->own_dead = false;
  _mb_queue_update (mb, self);
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
        uint32_t origin = _mb_find_hash (mb, mb->relays[i].origin_hash);
        if (origin != _MB_NONE)
          _mb_queue_send_to_member (mb, MB_ACK, mb->relays[i].origin_sequence,
                                    &mb->members[origin], msg->subject, false);
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
      relay->origin_sequence = msg->sequence;
      relay->origin_hash = _mb_hash (msg->self.name);
      _mb_queue_send_to_member (mb, MB_PING, relay->sequence, m,
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
  mb->is_sender_record = true;
  _mb_apply (mb, &message->self, now_us);
  mb->is_sender_record = false;
  for (uint32_t i = 0; i < message->update_count; i++)
    _mb_apply (mb, &message->updates[i], now_us);
  switch (message->kind)
    {
    case MB_PING:
      _mb_queue_send (mb, MB_ACK, message->sequence, message->self.name,
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
_mb_send_indirect_probes (mb_state *mb)
{
  const _mb_member *target = &mb->members[mb->probe_member];
  uint32_t probers[8];
  uint32_t count = 0;
  mb->indirect_probes_sent = true;
  for (uint32_t attempt = 0; attempt < 4 * mb->desc.indirect_probes
                             && count < mb->desc.indirect_probes && count < 8;
       attempt++)
    {
      uint32_t at = _mb_random_live (mb, mb->probe_member);
      bool chosen = false;
      if (at == _MB_NONE)
        return;
      for (uint32_t i = 0; i < count; i++)
        chosen = chosen || probers[i] == at;
      if (chosen)
        continue;
      probers[count++] = at;
      _mb_queue_send_to_member (mb, MB_PING_REQ, mb->probe_sequence,
                                &mb->members[at],
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
      mb->probe_indirect_us = now_us + mb->desc.ack_timeout_us;
      mb->probe_end_us = mb->probe_due_us;
      mb->indirect_probes_sent = false;
      _mb_queue_send_to_member (mb, MB_PING, mb->probe_sequence, m,
                                _mb_text (m, _MB_INCARNATION), false);
    }
  if (mb->periods % _MB_CONTACT_PERIODS != 0 && at != _MB_NONE)
    return;
  /* Contacts a listed name without a live incarnation: a new VM of which no
     record was received, or one that was declared dead during a network
     partition.  */
  uint32_t start = (uint32_t)(_mb_random (mb) % mb->used);
  for (uint32_t i = 0; i < mb->used; i++)
    {
      uint32_t j = (start + i) % mb->used;
      const _mb_member *m = &mb->members[j];
      if (j == 0 || m->text == NULL || !m->listed || _mb_probeable (m))
        continue;
      _mb_queue_send_to_member (mb, MB_PING, ++mb->sequence, m, ST_LIT (""),
                                false);
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
  mb->sync_due_us = now_us + _MB_SYNC_INTERVAL_US;
  mb->sync_left--;
  for (uint32_t i = 1; i < mb->used && !unknown; i++)
    unknown = mb->members[i].text != NULL && !mb->members[i].has_incarnation;
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
      /* No member has an incarnation yet: contact any listed name.  */
      uint32_t start = (uint32_t)(_mb_random (mb) % mb->used);
      for (uint32_t i = 0; i < mb->used && at == _MB_NONE; i++)
        {
          uint32_t j = (start + i) % mb->used;
          if (j != 0 && mb->members[j].text != NULL)
            at = j;
        }
    }
  if (at != _MB_NONE)
    _mb_queue_send_to_member (mb, MB_PING, _MB_SYNC_BIT | mb->sync_round++,
                              &mb->members[at], ST_LIT (""), false);
}

/* Restarts the timers that ran during a pause of this process, since replies
   may be waiting to be read.  */
static void
_mb_after_pause (mb_state *mb, uint64_t now_us)
{
  mb->probe_member = _MB_NONE;
  mb->probe_due_us = now_us;
  for (uint32_t i = 1; i < mb->used; i++)
    if (mb->members[i].state == MB_SUSPECT)
      mb->members[i].suspect_until_us = now_us + mb->desc.suspect_timeout_us;
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
      else if (!mb->indirect_probes_sent && now_us >= mb->probe_indirect_us)
        _mb_send_indirect_probes (mb);
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
            mb->events[(mb->event_first + queued) % _MB_EVENTS]
                .declared_locally
                = true;
        }
      else if (m->pings_left > 0 && now_us >= m->ping_due_us)
        {
          m->pings_left--;
          m->ping_due_us = now_us + mb->desc.suspect_timeout_us / 5;
          _mb_queue_send_to_member (mb, MB_PING, ++mb->sequence, m,
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

/* Adds what the receiver has to learn about itself, before other updates: that
   its incarnation is dead, suspect or not the one in the table.  */
static void
_mb_add_receiver (mb_state *mb, const _mb_queued_send *s, mb_message *msg)
{
  st_str name = { s->name, s->name_len };
  st_str incarnation = { s->incarnation, s->incarnation_len };
  if (s->incarnation_len > 0
      && _mb_is_dead_incarnation (mb, _mb_hash (incarnation)))
    msg->updates[msg->update_count++]
        = (mb_record){ .name = name,
                       .incarnation = incarnation,
                       .region = ST_LIT (""),
                       .data_center = ST_LIT (""),
                       .peer_address = ST_LIT (""),
                       .callers_address = ST_LIT (""),
                       .state = MB_DEAD };
  uint32_t at = _mb_find (mb, name);
  if (at == _MB_NONE || at == 0 || !mb->members[at].has_incarnation)
    return;
  const _mb_member *m = &mb->members[at];
  if (m->state != MB_ALIVE
      || !st_equal (incarnation, _mb_text (m, _MB_INCARNATION)))
    msg->updates[msg->update_count++] = _mb_record_of (m);
}

/* Adds the pending updates that were sent least often so far.  */
static void
_mb_add_pending_updates (mb_state *mb, mb_message *msg)
{
  uint32_t picked[MB_UPDATES_MAX];
  uint32_t count = 0;
  uint32_t room = MB_UPDATES_MAX - msg->update_count;
  for (uint32_t i = 1; i < mb->used && mb->pending_updates > 0; i++)
    {
      _mb_member *m = &mb->members[i];
      if (m->transmits_left == 0 || !m->has_incarnation)
        continue;
      uint32_t at = count < room ? count++ : room;
      if (at == room
          && (room == 0
              || mb->members[picked[room - 1]].transmits_left
                     >= m->transmits_left))
        continue;
      if (at == room)
        at = room - 1;
      while (at > 0
             && mb->members[picked[at - 1]].transmits_left < m->transmits_left)
        {
          picked[at] = picked[at - 1];
          at--;
        }
      picked[at] = i;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      _mb_member *m = &mb->members[picked[i]];
      if (--m->transmits_left == 0)
        mb->pending_updates--;
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
      if (mb->rotate_at == 0 || m->text == NULL || !m->has_incarnation
          || _mb_has_update (msg, _mb_text (m, _MB_NAME)))
        continue;
      msg->updates[msg->update_count++] = _mb_record_of (m);
      count--;
    }
}

static bool
_mb_next_send (mb_state *mb, mb_action *a)
{
  if (mb->send_count == 0)
    return false;
  mb->current_send = mb->sends[mb->send_first];
  mb->send_first = (mb->send_first + 1) % _MB_SENDS;
  mb->send_count--;
  const _mb_queued_send *s = &mb->current_send;
  mb_message *msg = &a->message;
  _mb_member *self = &mb->members[0];
  a->kind = MB_SEND;
  a->to_name = (st_str){ s->name, s->name_len };
  a->to_address = (st_str){ s->address, s->address_len };
  msg->kind = s->kind;
  msg->sequence = s->sequence;
  msg->self = _mb_record_of (self);
  msg->subject = (st_str){ s->subject, s->subject_len };
  _mb_clear_update (mb, self); /* every message has it */
  _mb_add_receiver (mb, s, msg);
  if (s->kind == MB_ACK && s->sync)
    {
      uint32_t at = (uint32_t)(s->sequence % mb->used) * MB_UPDATES_MAX;
      uint32_t saved = mb->rotate_at;
      mb->rotate_at = at % mb->used;
      _mb_add_rotated (mb, msg, MB_UPDATES_MAX);
      mb->rotate_at = saved;
    }
  else
    {
      _mb_add_pending_updates (mb, msg);
      if (s->kind != MB_PING_REQ)
        _mb_add_rotated (mb, msg, _MB_REPAIR_RECORDS);
    }
  mb->counts.sent[s->kind]++;
  return true;
}

/* Returns the next action in ACTION.  Call until it returns false, after each
   input and at the time of mb_query_wake_us.  */
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
      action->declared_locally = mb->event.declared_locally;
      action->name = (st_str){ mb->event.name, mb->event.name_len };
      action->incarnation
          = (st_str){ mb->event.incarnation, mb->event.incarnation_len };
      return true;
    }
  if (mb->events_dropped)
    {
      mb->events_dropped = false;
      action->kind = MB_EVENT;
      action->name = ST_LIT ("");
      action->incarnation = ST_LIT ("");
      return true;
    }
  return _mb_next_send (mb, action);
}

/* Monotonic time, in microseconds, at which mb_next may have an action without
   a further input; at least NOW_US.  */
uint64_t
mb_query_wake_us (const mb_state *mb, uint64_t now_us)
{
  uint64_t wake = mb->probe_due_us;
  if (mb->send_count > 0 || mb->event_count > 0 || mb->events_dropped)
    return now_us;
  if (mb->probe_member != _MB_NONE && !mb->indirect_probes_sent
      && mb->probe_indirect_us < wake)
    wake = mb->probe_indirect_us;
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
      if (m->text == NULL || !m->has_incarnation)
        continue;
      *record = _mb_record_of (m);
      return true;
    }
  return false;
}

/* Iterates over the members that accept work: alive or suspect, not leaving
   and not dead; self only while its incarnation is not declared dead.  Start
   with a CURSOR of 0.  An empty REGION or DATA_CENTER matches all.  */
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
  if (at == _MB_NONE || !mb->members[at].has_incarnation)
    return false;
  *record = _mb_record_of (&mb->members[at]);
  return true;
}

/* State of INCARNATION.  False when no record of it was received or it is no
   longer remembered.  */
bool
mb_query_incarnation (const mb_state *mb, st_str incarnation,
                      mb_member_state *state)
{
  for (uint32_t i = 0; i < mb->used; i++)
    {
      const _mb_member *m = &mb->members[i];
      if (m->text != NULL && m->has_incarnation
          && st_equal (_mb_text (m, _MB_INCARNATION), incarnation))
        {
          *state = _mb_record_of (m).state;
          return true;
        }
    }
  *state = MB_DEAD;
  return _mb_is_dead_incarnation (mb, _mb_hash (incarnation));
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
