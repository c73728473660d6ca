#include "sp.h"

#include <stdlib.h>
#include <string.h>

#define _SP_WATCHERS 2
#define _SP_FAN_OUT 2
#define _SP_ASK_TIMEOUT_US 300000ull
#define _SP_STORE_RETRY_US 400000ull
#define _SP_STORE_TIMEOUT_US 1000000ull
#define _SP_WATCH_PACE_US 2500000ull
/* Sizes in the store, with names of usual length.  */
#define _SP_HEAD_BYTES 64
#define _SP_ENTRY_BYTES 48
#define _SP_RECORD_BYTES 120
/* The head of 240 subtrees, the design size.  */
#define _SP_PACED_BYTES 15000
#define _SP_WATCH_LIMIT_US 2500000ull
#define _SP_QUEUE 512
/* Values asked for at the same time; the rest follows as answers come.  */
#define _SP_VALUES_IN_FLIGHT 64
/* Peers asked for a head that was hinted at, before the hint is dropped; the
   next probe renews it.  */
#define _SP_HEAD_TRIES 4
/* Peers asked at the start.  */
#define _SP_START_PEERS 3
/* The same on all VMs, or they would not agree on the watchers.  */
#define _SP_RANK_SEED 0x5e771465ull

typedef struct
{
  sp_entry target; /* newest known */
  sp_hash applied;
  uint64_t applied_changed;
  bool have; /* the value of TARGET is here */
  bool in_flight;
  bool from_store; /* the newest head came from the store */
  uint32_t tries;
  uint64_t asked_us;
  uint64_t not_before_us;
  st_name source; /* peer that gave the head */
} _sp_slot;

struct sp_vm
{
  sp_vm_desc desc;
  uint64_t random;
  uint64_t started_us;

  uint64_t version; /* applied */
  uint64_t target;
  size_t slot_count;
  _sp_slot *slots;

  size_t member_count;
  st_name *members; /* by rank */
  uint64_t *scores;

  uint64_t goal; /* version that a peer was said to have */
  uint64_t asked_us;

  uint64_t sequence; /* of the last store call */
  uint64_t revision; /* newest seen */
  uint64_t call_us;  /* begin of the read or watch */
  uint64_t last_read_us;
  uint64_t pace_us; /* until the next read, by the size of the last head */
  uint64_t store_due_us;

  uint64_t store_version;
  uint64_t start_ask_us;

  uint32_t in_flight; /* values */
  uint32_t rank;
  uint32_t ask_tries;
  bool known; /* self is among the members */
  bool asking;
  bool reading;
  bool watching;
  bool read_due;
  bool ready;
  bool store_seen;
  bool store_failed;
  bool peer_seen;
  /* The next version comes from a change accepted here: the roots hear of it
     from this VM, also when the store cannot tell them.  */
  bool push_roots;

  size_t queue_head;
  size_t queue_count;
  sp_vm_action queue[_SP_QUEUE];
};

static uint64_t
_sp_random (sp_vm *vm)
{
  /* splitmix64 */
  uint64_t z = (vm->random += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return z ^ (z >> 31);
}

static bool
_sp_name_equal (const st_name *a, const st_name *b)
{
  return st_equal (st_name_str (a), st_name_str (b));
}

static bool
_sp_hash_equal (const sp_hash *a, const sp_hash *b)
{
  return memcmp (a->text, b->text, sizeof a->text) == 0;
}

/* Queues an action; false when the queue is full.  Time-outs repeat what was
   not queued.  */
static bool
_sp_emit (sp_vm *vm, const sp_vm_action *action)
{
  if (vm->queue_count == _SP_QUEUE)
    return false;
  vm->queue[(vm->queue_head + vm->queue_count++) % _SP_QUEUE] = *action;
  return true;
}

/* Takes the oldest action.  */
bool
sp_vm_next (sp_vm *vm, sp_vm_action *out)
{
  if (vm->queue_count == 0)
    return false;
  *out = vm->queue[vm->queue_head];
  vm->queue_head = (vm->queue_head + 1) % _SP_QUEUE;
  vm->queue_count--;
  return true;
}

/* Makes the state of a VM that has no settings yet.  */
sp_vm *
sp_make_vm (const sp_vm_desc *desc, uint64_t now_us)
{
  sp_vm *vm = al_alloc (&desc->allocator, sizeof *vm);
  sp_vm_desc *d = &vm->desc;
  *d = *desc;
  d->watchers = d->watchers > 0 ? d->watchers : _SP_WATCHERS;
  d->fan_out = d->fan_out > 0 ? d->fan_out : _SP_FAN_OUT;
  d->max_entries = d->max_entries > 0 ? d->max_entries : SP_ENTRIES_DEFAULT;
  d->max_members = d->max_members > 0 ? d->max_members : SP_MEMBERS_DEFAULT;
  if (d->ask_timeout_us == 0)
    d->ask_timeout_us = _SP_ASK_TIMEOUT_US;
  if (d->store_retry_us == 0)
    d->store_retry_us = _SP_STORE_RETRY_US;
  if (d->watch_pace_us == 0)
    d->watch_pace_us = _SP_WATCH_PACE_US;
  if (d->watch_limit_us == 0)
    d->watch_limit_us = _SP_WATCH_LIMIT_US;
  vm->random = d->seed ^ st_hash (st_name_str (&d->self), 1);
  vm->started_us = now_us;
  vm->slots = al_alloc (&d->allocator, d->max_entries * sizeof *vm->slots);
  vm->members = al_alloc (&d->allocator, d->max_members * sizeof *vm->members);
  vm->scores = al_alloc (&d->allocator, d->max_members * sizeof *vm->scores);
  vm->read_due = true;
  vm->store_due_us = now_us;
  vm->start_ask_us = now_us;
  return vm;
}

/* Releases VM, which may be NULL.  */
void
sp_destroy_vm (sp_vm *vm)
{
  if (vm == NULL)
    return;
  al_allocator al = vm->desc.allocator;
  al_free (&al, vm->slots);
  al_free (&al, vm->members);
  al_free (&al, vm->scores);
  al_free (&al, vm);
}

static bool
_sp_is_watcher (const sp_vm *vm)
{
  return vm->known && vm->rank < vm->desc.watchers;
}

/* Sets the live VMs of the own data centre, in any order.  The first ones by
   rendezvous hashing watch the store.  */
void
sp_vm_set_members (sp_vm *vm, uint64_t now_us, const st_name *members,
                   size_t count)
{
  bool was = _sp_is_watcher (vm);
  if (count > vm->desc.max_members)
    count = vm->desc.max_members;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t score = st_hash (st_name_str (&members[i]), _SP_RANK_SEED);
      size_t at = i;
      while (at > 0 && vm->scores[at - 1] < score)
        {
          vm->scores[at] = vm->scores[at - 1];
          vm->members[at] = vm->members[at - 1];
          at--;
        }
      vm->scores[at] = score;
      vm->members[at] = members[i];
    }
  vm->member_count = count;
  vm->known = false;
  for (size_t i = 0; i < count; i++)
    if (_sp_name_equal (&vm->members[i], &vm->desc.self))
      {
        vm->known = true;
        vm->rank = (uint32_t)i;
      }
  if (_sp_is_watcher (vm) && !was)
    {
      vm->read_due = true;
      vm->store_due_us = now_us;
    }
}

/* A random other member; NULL when there is none.  */
static const st_name *
_sp_pick_peer (sp_vm *vm)
{
  size_t others = vm->member_count - (vm->known ? 1 : 0);
  if (others == 0)
    return NULL;
  size_t at = (size_t)(_sp_random (vm) % others);
  if (vm->known && at >= vm->rank)
    at++;
  return &vm->members[at];
}

static void
_sp_ask_head (sp_vm *vm, uint64_t now_us, const st_name *peer)
{
  sp_vm_action a
      = { .kind = SP_VM_ASK_HEAD, .version = vm->version, .peer = *peer };
  vm->asking = true;
  vm->asked_us = now_us;
  _sp_emit (vm, &a);
}

/* PEER says that it has VERSION.  Asks for it when it is newer than what is
   known here.  */
void
sp_vm_on_hint (sp_vm *vm, uint64_t now_us, const st_name *peer,
               uint64_t version)
{
  if (version <= vm->version || version <= vm->target)
    return;
  if (version > vm->goal)
    vm->goal = version;
  if (vm->asking)
    return;
  vm->ask_tries = 1;
  _sp_ask_head (vm, now_us, peer);
}

static void
_sp_push_to (sp_vm *vm, size_t rank, uint64_t since)
{
  if (rank >= vm->member_count || (vm->known && rank == vm->rank))
    return;
  sp_vm_action a = { .kind = SP_VM_PUSH,
                     .version = vm->version,
                     .since = since,
                     .peer = vm->members[rank] };
  _sp_emit (vm, &a);
}

/* Ranks 0 to W-1 are the roots; the children of rank R are W + R * F up to
   W + R * F + F - 1.  */
static void
_sp_push (sp_vm *vm, uint64_t since)
{
  if (!vm->known)
    return;
  if (vm->push_roots)
    for (size_t i = 0; i < vm->desc.watchers; i++)
      _sp_push_to (vm, i, since);
  vm->push_roots = false;
  size_t first = vm->desc.watchers + (size_t)vm->rank * vm->desc.fan_out;
  for (size_t i = 0; i < vm->desc.fan_out; i++)
    _sp_push_to (vm, first + i, since);
}

static void
_sp_check_ready (sp_vm *vm, uint64_t now_us)
{
  if (vm->ready || vm->target != vm->version)
    return;
  bool by_store = vm->store_seen && vm->version >= vm->store_version;
  /* In an outage the highest version among the peers counts; they get two
     time-outs to answer.  */
  bool by_peers = vm->store_failed && vm->peer_seen
                  && now_us >= vm->started_us + 2 * vm->desc.ask_timeout_us;
  vm->ready = by_store || by_peers;
}

/* Applies the target when all of its values are here.  */
static void
_sp_try_apply (sp_vm *vm, uint64_t now_us)
{
  if (vm->target > vm->version)
    {
      for (size_t i = 0; i < vm->slot_count; i++)
        if (!vm->slots[i].have)
          return;
      uint64_t since = vm->version;
      sp_vm_action a
          = { .kind = SP_VM_APPLY, .version = vm->target, .since = since };
      if (!_sp_emit (vm, &a))
        return;
      vm->version = vm->target;
      for (size_t i = 0; i < vm->slot_count; i++)
        {
          vm->slots[i].applied = vm->slots[i].target.hash;
          vm->slots[i].applied_changed = vm->slots[i].target.changed;
        }
      if (vm->goal < vm->version)
        vm->goal = vm->version;
      if (vm->ready)
        _sp_push (vm, since);
    }
  _sp_check_ready (vm, now_us);
}

static void
_sp_fetch_slot (sp_vm *vm, uint64_t now_us, _sp_slot *s)
{
  sp_vm_action a = { .kind = SP_VM_READ_VALUE,
                     .subtree = s->target.subtree,
                     .hash = s->target.hash };
  /* A running watcher hears of a change before its peers do and reads it
     from the store; at the start, and after a push, peers have it.  */
  bool store_first = s->from_store && vm->ready;
  const st_name *peer = NULL;
  if (!store_first && s->tries == 0 && s->source.len > 0)
    peer = &s->source;
  else if (s->tries % 3 != 2 && !(store_first && s->tries == 0))
    peer = _sp_pick_peer (vm);
  if (peer != NULL)
    {
      a.kind = SP_VM_ASK_VALUE;
      a.peer = *peer;
    }
  if (!_sp_emit (vm, &a))
    return;
  s->in_flight = true;
  s->asked_us = now_us;
  s->tries++;
  vm->in_flight++;
}

static void
_sp_fetch (sp_vm *vm, uint64_t now_us)
{
  if (vm->target == vm->version)
    return;
  for (size_t i = 0;
       i < vm->slot_count && vm->in_flight < _SP_VALUES_IN_FLIGHT; i++)
    {
      _sp_slot *s = &vm->slots[i];
      if (!s->have && !s->in_flight && now_us >= s->not_before_us)
        _sp_fetch_slot (vm, now_us, s);
    }
}

static void
_sp_land (sp_vm *vm, _sp_slot *s)
{
  if (s->in_flight)
    vm->in_flight--;
  s->in_flight = false;
}

/* Index of the slot of SUBTREE; the slot count when there is none.  GUESS
   is tried first: heads list their entries in the order of the slots.  */
static size_t
_sp_find_slot (const sp_vm *vm, const st_name *subtree, size_t guess)
{
  if (guess < vm->slot_count
      && _sp_name_equal (&vm->slots[guess].target.subtree, subtree))
    return guess;
  size_t i = 0;
  while (i < vm->slot_count
         && !_sp_name_equal (&vm->slots[i].target.subtree, subtree))
    i++;
  return i;
}

static bool
_sp_validate_head (const sp_vm *vm, const sp_head *head)
{
  size_t fresh = 0;
  for (size_t i = 0; i < head->entry_count; i++)
    {
      const sp_entry *e = &head->entries[i];
      if (e->changed == 0 || e->changed > head->version)
        return false;
      if (_sp_find_slot (vm, &e->subtree, i) == vm->slot_count)
        fresh++;
    }
  return vm->slot_count + fresh <= vm->desc.max_entries;
}

/* Takes over the entries of HEAD that are newer.  Entries only ever move
   forward, so heads may be merged in any order.  */
static bool
_sp_merge (sp_vm *vm, const sp_source *source, const sp_head *head)
{
  if (!_sp_validate_head (vm, head))
    return false;
  for (size_t i = 0; i < head->entry_count; i++)
    {
      const sp_entry *e = &head->entries[i];
      size_t at = _sp_find_slot (vm, &e->subtree, i);
      _sp_slot *s = &vm->slots[at];
      if (at == vm->slot_count)
        {
          vm->slot_count++;
          memset (s, 0, sizeof *s);
          s->target.subtree = e->subtree;
        }
      if (e->changed <= s->target.changed)
        continue;
      _sp_land (vm, s);
      s->have = (s->have && _sp_hash_equal (&e->hash, &s->target.hash))
                || (s->applied_changed > 0
                    && _sp_hash_equal (&e->hash, &s->applied));
      s->target = *e;
      s->tries = 0;
      s->not_before_us = 0;
      s->from_store = source->kind == SP_FROM_STORE;
      s->source = source->peer;
    }
  return true;
}

/* Sets when the store is called next: to READ the head, or to watch it.  */
static void
_sp_schedule_store (sp_vm *vm, uint64_t due_us, bool read)
{
  uint64_t paced_us = vm->last_read_us + vm->pace_us;
  vm->read_due = read;
  vm->store_due_us
      = read && vm->store_seen && due_us < paced_us ? paced_us : due_us;
}

/* Time between two reads of a head of this size, so that a watcher receives
   at most _SP_PACED_BYTES in each watch_pace_us.  */
static uint64_t
_sp_pace_us (const sp_vm *vm, const sp_head *head)
{
  uint64_t bytes = _SP_HEAD_BYTES + _SP_ENTRY_BYTES * head->entry_count
                   + _SP_RECORD_BYTES * head->record_count;
  if (bytes > _SP_PACED_BYTES)
    bytes = _SP_PACED_BYTES;
  return vm->desc.watch_pace_us * bytes / _SP_PACED_BYTES;
}

/* Notes what a head from SOURCE means for the start and for the calls in
   progress.  */
static void
_sp_note_source (sp_vm *vm, uint64_t now_us, const sp_source *source,
                 const sp_head *head)
{
  switch (source->kind)
    {
    case SP_FROM_STORE:
      vm->reading = false;
      vm->store_seen = true;
      vm->last_read_us = now_us;
      vm->pace_us = _sp_pace_us (vm, head);
      if (head->version > vm->store_version)
        vm->store_version = head->version;
      if (head->revision > vm->revision)
        vm->revision = head->revision;
      _sp_schedule_store (vm, now_us, false);
      return;
    case SP_FROM_PEER:
      vm->peer_seen = true;
      vm->asking = false;
      /* The peer knows no newer version: the hint was wrong or old.  */
      if (head->version < vm->goal)
        vm->goal = head->version;
      return;
    case SP_FROM_SELF:
      vm->push_roots = true;
      return;
    }
}

/* A head arrived.  SINCE 0 is a whole head; otherwise HEAD holds only the
   entries changed after version SINCE.  */
void
sp_vm_on_head (sp_vm *vm, uint64_t now_us, const sp_source *source,
               const sp_head *head, uint64_t since)
{
  uint64_t have = vm->target > vm->version ? vm->target : vm->version;
  if (head->version > have && since > have)
    {
      if (source->kind == SP_FROM_PEER)
        sp_vm_on_hint (vm, now_us, &source->peer, head->version);
      return;
    }
  _sp_note_source (vm, now_us, source, head);
  if (head->version > have && _sp_merge (vm, source, head))
    vm->target = head->version;
  _sp_try_apply (vm, now_us);
  _sp_fetch (vm, now_us);
}

/* Reading the head from the store failed.  */
void
sp_vm_on_head_error (sp_vm *vm, uint64_t now_us, uint64_t sequence)
{
  if (!vm->reading || sequence != vm->sequence)
    return;
  vm->reading = false;
  vm->store_failed = true;
  _sp_schedule_store (vm,
                      now_us + vm->desc.store_retry_us / 2
                          + _sp_random (vm) % vm->desc.store_retry_us,
                      true);
  _sp_check_ready (vm, now_us);
}

/* A watch ended: CHANGED when the head has a newer revision.  */
void
sp_vm_on_watch (sp_vm *vm, uint64_t now_us, uint64_t sequence,
                sp_result result, bool changed)
{
  if (!vm->watching || sequence != vm->sequence)
    return;
  vm->watching = false;
  if (result != SP_OK)
    {
      vm->store_failed = true;
      _sp_schedule_store (vm,
                          now_us + vm->desc.store_retry_us / 2
                              + _sp_random (vm) % vm->desc.store_retry_us,
                          true);
    }
  else
    _sp_schedule_store (vm, now_us, changed);
}

/* The value with HASH is here and was checked against its hash.  */
void
sp_vm_on_value (sp_vm *vm, uint64_t now_us, const sp_hash *hash)
{
  for (size_t i = 0; i < vm->slot_count; i++)
    {
      _sp_slot *s = &vm->slots[i];
      if (!s->have && _sp_hash_equal (&s->target.hash, hash))
        {
          _sp_land (vm, s);
          s->have = true;
        }
    }
  _sp_try_apply (vm, now_us);
  _sp_fetch (vm, now_us);
}

/* SOURCE has no value with HASH or failed.  */
void
sp_vm_on_no_value (sp_vm *vm, uint64_t now_us, const sp_source *source,
                   const sp_hash *hash)
{
  for (size_t i = 0; i < vm->slot_count; i++)
    {
      _sp_slot *s = &vm->slots[i];
      if (s->in_flight && _sp_hash_equal (&s->target.hash, hash))
        {
          _sp_land (vm, s);
          /* After a round of peers and store, wait before the next.  */
          if (source->kind == SP_FROM_STORE && s->tries > 1)
            s->not_before_us = now_us + vm->desc.store_retry_us;
        }
    }
  _sp_fetch (vm, now_us);
}

static void
_sp_tick_store (sp_vm *vm, uint64_t now_us)
{
  if (vm->reading && now_us >= vm->call_us + _SP_STORE_TIMEOUT_US)
    sp_vm_on_head_error (vm, now_us, vm->sequence);
  if (vm->watching && now_us >= vm->call_us + vm->desc.watch_limit_us)
    {
      vm->watching = false;
      _sp_schedule_store (vm, now_us, false);
    }
  if (vm->reading || vm->watching || now_us < vm->store_due_us)
    return;
  bool wanted = !vm->store_seen || _sp_is_watcher (vm);
  if (!wanted)
    return;
  sp_vm_action a = { .kind = vm->read_due ? SP_VM_READ_HEAD : SP_VM_WATCH,
                     .revision = vm->revision,
                     .sequence = vm->sequence + 1 };
  if (!_sp_emit (vm, &a))
    return;
  vm->sequence++;
  vm->reading = vm->read_due;
  vm->watching = !vm->read_due;
  vm->call_us = now_us;
}

static void
_sp_tick_peers (sp_vm *vm, uint64_t now_us)
{
  if (vm->asking && now_us >= vm->asked_us + vm->desc.ask_timeout_us)
    {
      vm->asking = false;
      const st_name *peer = _sp_pick_peer (vm);
      if (vm->goal > vm->version && vm->goal > vm->target && peer != NULL
          && vm->ask_tries < _SP_HEAD_TRIES)
        {
          vm->ask_tries++;
          _sp_ask_head (vm, now_us, peer);
        }
    }
  if (vm->ready || now_us < vm->start_ask_us)
    return;
  vm->start_ask_us = now_us + vm->desc.ask_timeout_us;
  for (unsigned i = 0; i < _SP_START_PEERS; i++)
    {
      const st_name *peer = _sp_pick_peer (vm);
      if (peer != NULL)
        _sp_ask_head (vm, now_us, peer);
    }
}

/* Repeats what got no answer.  Call it each 100 ms.  */
void
sp_vm_tick (sp_vm *vm, uint64_t now_us)
{
  _sp_tick_store (vm, now_us);
  _sp_tick_peers (vm, now_us);
  for (size_t i = 0; i < vm->slot_count; i++)
    {
      _sp_slot *s = &vm->slots[i];
      if (s->in_flight && now_us >= s->asked_us + vm->desc.ask_timeout_us)
        _sp_land (vm, s);
    }
  _sp_try_apply (vm, now_us);
  _sp_fetch (vm, now_us);
}

/* What VM has applied and what it still fetches.  */
sp_vm_state
sp_vm_query_state (const sp_vm *vm)
{
  sp_vm_state out
      = { .version = vm->version,
          .target = vm->target > vm->version ? vm->target : vm->version,
          .ready = vm->ready,
          .watcher = _sp_is_watcher (vm),
          .rank = vm->rank };
  for (size_t i = 0; i < vm->slot_count; i++)
    out.missing += !vm->slots[i].have;
  return out;
}

/* Copies the applied entries that changed after version SINCE to OUT, at
   most MAX; returns their number.  Together with the applied version they
   are what a peer asks for.  */
size_t
sp_vm_list_entries (const sp_vm *vm, uint64_t since, sp_entry *out, size_t max)
{
  size_t n = 0;
  for (size_t i = 0; i < vm->slot_count && n < max; i++)
    {
      const _sp_slot *s = &vm->slots[i];
      if (s->applied_changed <= since)
        continue;
      out[n].subtree = s->target.subtree;
      out[n].hash = s->applied;
      out[n].changed = s->applied_changed;
      n++;
    }
  return n;
}
