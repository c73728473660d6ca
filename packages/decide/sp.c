#include "sp.h"

#include "ft.h"

#include <stdlib.h>
#include <string.h>

#define _SP_WATCHERS 2
#define _SP_FAN_OUT 2
#define _SP_FETCH_TIMEOUT_US 300000ull
#define _SP_STORE_RETRY_US 400000ull
#define _SP_STORE_TIMEOUT_US 1000000ull
#define _SP_WATCH_INTERVAL_US 2500000ull
/* Sizes in the store in bytes, with names of usual length.  */
#define _SP_HEAD_BYTES 64
#define _SP_ENTRY_BYTES 48
#define _SP_RECORD_BYTES 120
/* Size of the head of 240 subtrees, the design size.  */
#define _SP_DESIGN_HEAD_BYTES 15000
#define _SP_WATCH_TIMEOUT_US 2500000ull
#define _SP_ACTION_QUEUE_LEN 512
/* Values fetched at the same time; the rest follows as these arrive.  */
#define _SP_VALUES_IN_FLIGHT 64
/* Peers from which a hinted head is fetched before the hint is dropped; the
   next probe renews it.  */
#define _SP_HEAD_ATTEMPTS_MAX 4
/* Shortest time between two reads of the head by a VM that does not get it
   from its peers.  */
#define _SP_OVERDUE_READ_US 1000000
/* Peers from which the head is fetched at startup.  */
#define _SP_STARTUP_PEERS 3
/* The same on all VMs, so that they agree on the watchers.  */
#define _SP_RANK_SEED 0x5e771465ull

typedef struct
{
  sp_entry target; /* newest received */
  sp_hash applied;
  uint64_t applied_changed;
  bool has_value; /* the value of TARGET has been received */
  bool in_flight;
  bool from_store; /* the newest head came from the store */
  uint32_t attempts;
  uint64_t fetch_started_us;
  uint64_t not_before_us;
  st_name source; /* peer that sent the head */
} _sp_subtree;

struct sp_vm
{
  sp_vm_desc desc;
  uint64_t random;
  uint64_t started_us;

  uint64_t version; /* applied */
  uint64_t target;
  size_t subtree_count;
  _sp_subtree *subtrees;

  size_t member_count;
  st_name *members; /* by rank */
  uint64_t *scores;

  uint64_t hinted_version; /* newest version that a peer reported */
  ft_lag lag;              /* behind the versions that peers reported */
  uint64_t fetch_started_us;

  uint64_t sequence;        /* of the last store call */
  uint64_t revision;        /* newest received */
  uint64_t call_started_us; /* start of the read or watch */
  uint64_t last_read_us;
  uint64_t read_interval_us; /* by the size of the last head */
  uint64_t store_due_us;

  uint64_t store_version;
  uint64_t startup_fetch_us;

  uint32_t values_in_flight;
  uint32_t rank;
  uint32_t head_attempts;
  bool is_member; /* SELF is among the members */
  bool head_fetch_pending;
  bool read_pending;
  bool watch_pending;
  bool read_due;
  bool ready;
  bool store_replied;
  bool store_failed;
  bool peer_replied;
  /* The next version comes from a change accepted on this VM, which then
     pushes it to the roots of the tree, because the store may be unavailable
     to them.  */
  bool push_roots;

  size_t queue_head;
  size_t queue_count;
  sp_vm_action queue[_SP_ACTION_QUEUE_LEN];
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

/* Queues an action; false when the queue is full.  Whatever was not queued is
   queued again after its time-out.  */
static bool
_sp_queue_action (sp_vm *vm, const sp_vm_action *action)
{
  if (vm->queue_count == _SP_ACTION_QUEUE_LEN)
    return false;
  vm->queue[(vm->queue_head + vm->queue_count++) % _SP_ACTION_QUEUE_LEN]
      = *action;
  return true;
}

/* Removes the oldest action from the queue and copies it to OUT; false when
   there is none.  */
bool
sp_vm_next (sp_vm *vm, sp_vm_action *out)
{
  if (vm->queue_count == 0)
    return false;
  *out = vm->queue[vm->queue_head];
  vm->queue_head = (vm->queue_head + 1) % _SP_ACTION_QUEUE_LEN;
  vm->queue_count--;
  return true;
}

/* Makes the state of a VM without settings.  */
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
  if (d->fetch_timeout_us == 0)
    d->fetch_timeout_us = _SP_FETCH_TIMEOUT_US;
  if (d->store_retry_us == 0)
    d->store_retry_us = _SP_STORE_RETRY_US;
  if (d->watch_interval_us == 0)
    d->watch_interval_us = _SP_WATCH_INTERVAL_US;
  if (d->watch_timeout_us == 0)
    d->watch_timeout_us = _SP_WATCH_TIMEOUT_US;
  vm->random = d->seed ^ st_hash (st_name_str (&d->self), 1);
  vm->started_us = now_us;
  vm->subtrees
      = al_alloc (&d->allocator, d->max_entries * sizeof *vm->subtrees);
  vm->members = al_alloc (&d->allocator, d->max_members * sizeof *vm->members);
  vm->scores = al_alloc (&d->allocator, d->max_members * sizeof *vm->scores);
  vm->read_due = true;
  vm->store_due_us = now_us;
  vm->startup_fetch_us = now_us;
  return vm;
}

/* Releases VM, which may be NULL.  */
void
sp_destroy_vm (sp_vm *vm)
{
  if (vm == NULL)
    return;
  al_allocator al = vm->desc.allocator;
  al_free (&al, vm->subtrees);
  al_free (&al, vm->members);
  al_free (&al, vm->scores);
  al_free (&al, vm);
}

static bool
_sp_is_watcher (const sp_vm *vm)
{
  return vm->is_member && vm->rank < vm->desc.watchers;
}

/* Sets the live VMs of this VM's data centre, in any order.  The first ones by
   rendezvous hashing watch the store.  */
void
sp_vm_set_members (sp_vm *vm, uint64_t now_us, const st_name *members,
                   size_t count)
{
  bool was_watcher = _sp_is_watcher (vm);
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
  vm->is_member = false;
  for (size_t i = 0; i < count; i++)
    if (_sp_name_equal (&vm->members[i], &vm->desc.self))
      {
        vm->is_member = true;
        vm->rank = (uint32_t)i;
      }
  if (_sp_is_watcher (vm) && !was_watcher)
    {
      vm->read_due = true;
      vm->store_due_us = now_us;
    }
}

/* Returns a random other member; NULL when there is none.  */
static const st_name *
_sp_choose_peer (sp_vm *vm)
{
  size_t others = vm->member_count - (vm->is_member ? 1 : 0);
  if (others == 0)
    return NULL;
  size_t at = (size_t)(_sp_random (vm) % others);
  if (vm->is_member && at >= vm->rank)
    at++;
  return &vm->members[at];
}

static void
_sp_fetch_head (sp_vm *vm, uint64_t now_us, const st_name *peer)
{
  sp_vm_action a
      = { .kind = SP_VM_FETCH_HEAD, .version = vm->version, .peer = *peer };
  vm->head_fetch_pending = true;
  vm->fetch_started_us = now_us;
  _sp_queue_action (vm, &a);
}

/* PEER reports that it has VERSION.  Fetches its head when VERSION is newer
   than the versions that VM has or is fetching.  */
void
sp_vm_on_hint (sp_vm *vm, uint64_t now_us, const st_name *peer,
               uint64_t version)
{
  if (version <= vm->version || version <= vm->target)
    return;
  if (version > vm->hinted_version)
    vm->hinted_version = version;
  if (vm->head_fetch_pending)
    return;
  vm->head_attempts = 1;
  _sp_fetch_head (vm, now_us, peer);
}

static void
_sp_push_to (sp_vm *vm, size_t rank, uint64_t since)
{
  if (rank >= vm->member_count || (vm->is_member && rank == vm->rank))
    return;
  sp_vm_action a = { .kind = SP_VM_PUSH,
                     .version = vm->version,
                     .since = since,
                     .peer = vm->members[rank] };
  _sp_queue_action (vm, &a);
}

/* Pushes the difference since version SINCE to the children of this VM.  With
   W watchers and a fan-out of F, ranks 0 to W-1 are the roots, and the F
   children of rank R start at rank W + R * F.  */
static void
_sp_push_to_children (sp_vm *vm, uint64_t since)
{
  if (!vm->is_member)
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
  bool by_store = vm->store_replied && vm->version >= vm->store_version;
  /* During a store outage the highest version of the peers is used; they have
     two time-outs to reply.  */
  bool by_peers = vm->store_failed && vm->peer_replied
                  && now_us >= vm->started_us + 2 * vm->desc.fetch_timeout_us;
  vm->ready = by_store || by_peers;
}

/* Applies the target version when all of its values have been received.  */
static void
_sp_try_apply (sp_vm *vm, uint64_t now_us)
{
  if (vm->target > vm->version)
    {
      for (size_t i = 0; i < vm->subtree_count; i++)
        if (!vm->subtrees[i].has_value)
          return;
      uint64_t since = vm->version;
      sp_vm_action a
          = { .kind = SP_VM_APPLY, .version = vm->target, .since = since };
      if (!_sp_queue_action (vm, &a))
        return;
      vm->version = vm->target;
      for (size_t i = 0; i < vm->subtree_count; i++)
        {
          vm->subtrees[i].applied = vm->subtrees[i].target.hash;
          vm->subtrees[i].applied_changed = vm->subtrees[i].target.changed;
        }
      if (vm->hinted_version < vm->version)
        vm->hinted_version = vm->version;
      if (vm->ready)
        _sp_push_to_children (vm, since);
    }
  _sp_check_ready (vm, now_us);
}

static void
_sp_fetch_value (sp_vm *vm, uint64_t now_us, _sp_subtree *s)
{
  sp_vm_action a = { .kind = SP_VM_READ_VALUE,
                     .subtree = s->target.subtree,
                     .hash = s->target.hash };
  /* A ready watcher receives a change before its peers do and reads it from
     the store; at startup, and after a push, peers have it.  */
  bool store_first = s->from_store && vm->ready;
  const st_name *peer = NULL;
  if (!store_first && s->attempts == 0 && s->source.len > 0)
    peer = &s->source;
  else if (s->attempts % 3 != 2 && !(store_first && s->attempts == 0))
    peer = _sp_choose_peer (vm);
  if (peer != NULL)
    {
      a.kind = SP_VM_FETCH_VALUE;
      a.peer = *peer;
    }
  if (!_sp_queue_action (vm, &a))
    return;
  s->in_flight = true;
  s->fetch_started_us = now_us;
  s->attempts++;
  vm->values_in_flight++;
}

static void
_sp_fetch_values (sp_vm *vm, uint64_t now_us)
{
  if (vm->target == vm->version)
    return;
  for (size_t i = 0;
       i < vm->subtree_count && vm->values_in_flight < _SP_VALUES_IN_FLIGHT;
       i++)
    {
      _sp_subtree *s = &vm->subtrees[i];
      if (!s->has_value && !s->in_flight && now_us >= s->not_before_us)
        _sp_fetch_value (vm, now_us, s);
    }
}

static void
_sp_end_fetch (sp_vm *vm, _sp_subtree *s)
{
  if (s->in_flight)
    vm->values_in_flight--;
  s->in_flight = false;
}

/* Index of SUBTREE; subtree_count when there is none.  GUESS is checked first:
   heads list their entries in the same order.  */
static size_t
_sp_find_subtree (const sp_vm *vm, const st_name *subtree, size_t guess)
{
  if (guess < vm->subtree_count
      && _sp_name_equal (&vm->subtrees[guess].target.subtree, subtree))
    return guess;
  size_t i = 0;
  while (i < vm->subtree_count
         && !_sp_name_equal (&vm->subtrees[i].target.subtree, subtree))
    i++;
  return i;
}

static bool
_sp_validate_head (const sp_vm *vm, const sp_head *head)
{
  size_t new_count = 0;
  for (size_t i = 0; i < head->entry_count; i++)
    {
      const sp_entry *e = &head->entries[i];
      if (e->changed == 0 || e->changed > head->version)
        return false;
      if (_sp_find_subtree (vm, &e->subtree, i) == vm->subtree_count)
        new_count++;
    }
  return vm->subtree_count + new_count <= vm->desc.max_entries;
}

/* Stores the entries of HEAD that are newer.  An entry never returns to an
   older version, so heads may be merged in any order.  */
static bool
_sp_merge_head (sp_vm *vm, const sp_source *source, const sp_head *head)
{
  if (!_sp_validate_head (vm, head))
    return false;
  for (size_t i = 0; i < head->entry_count; i++)
    {
      const sp_entry *e = &head->entries[i];
      size_t at = _sp_find_subtree (vm, &e->subtree, i);
      _sp_subtree *s = &vm->subtrees[at];
      if (at == vm->subtree_count)
        {
          vm->subtree_count++;
          memset (s, 0, sizeof *s);
          s->target.subtree = e->subtree;
        }
      if (e->changed <= s->target.changed)
        continue;
      _sp_end_fetch (vm, s);
      s->has_value
          = (s->has_value && _sp_hash_equal (&e->hash, &s->target.hash))
            || (s->applied_changed > 0
                && _sp_hash_equal (&e->hash, &s->applied));
      s->target = *e;
      s->attempts = 0;
      s->not_before_us = 0;
      s->from_store = source->kind == SP_FROM_STORE;
      s->source = source->peer;
    }
  return true;
}

/* Schedules the next store call at DUE_US: a read of the head if READ, else a
   watch.  */
static void
_sp_schedule_store (sp_vm *vm, uint64_t due_us, bool read)
{
  uint64_t earliest_us = vm->last_read_us + vm->read_interval_us;
  vm->read_due = read;
  vm->store_due_us = read && vm->store_replied && due_us < earliest_us
                         ? earliest_us
                         : due_us;
}

/* Time in microseconds between two reads of a head of this size, so that a
   watcher receives at most _SP_DESIGN_HEAD_BYTES in each
   watch_interval_us.  */
static uint64_t
_sp_read_interval_us (const sp_vm *vm, const sp_head *head)
{
  uint64_t bytes = _SP_HEAD_BYTES + _SP_ENTRY_BYTES * head->entry_count
                   + _SP_RECORD_BYTES * head->record_count;
  if (bytes > _SP_DESIGN_HEAD_BYTES)
    bytes = _SP_DESIGN_HEAD_BYTES;
  return vm->desc.watch_interval_us * bytes / _SP_DESIGN_HEAD_BYTES;
}

/* Updates the startup state and the calls in progress after a head from
   SOURCE.  */
static void
_sp_update_sources (sp_vm *vm, uint64_t now_us, const sp_source *source,
                    const sp_head *head)
{
  switch (source->kind)
    {
    case SP_FROM_STORE:
      vm->read_pending = false;
      vm->store_replied = true;
      vm->last_read_us = now_us;
      vm->read_interval_us = _sp_read_interval_us (vm, head);
      if (head->version > vm->store_version)
        vm->store_version = head->version;
      /* The next probe renews a hint that came during the read.  */
      if (head->version < vm->hinted_version)
        vm->hinted_version = head->version;
      if (head->revision > vm->revision)
        vm->revision = head->revision;
      _sp_schedule_store (vm, now_us, false);
      return;
    case SP_FROM_PEER:
      vm->peer_replied = true;
      vm->head_fetch_pending = false;
      /* The peer has no newer version: the hint was wrong or outdated.  */
      if (head->version < vm->hinted_version)
        vm->hinted_version = head->version;
      return;
    case SP_FROM_SELF:
      vm->push_roots = true;
      return;
    }
}

/* Processes a received head.  SINCE 0 is a complete head; otherwise HEAD holds
   only the entries changed after version SINCE.  */
void
sp_vm_on_head (sp_vm *vm, uint64_t now_us, const sp_source *source,
               const sp_head *head, uint64_t since)
{
  uint64_t newest = vm->target > vm->version ? vm->target : vm->version;
  if (head->version > newest && since > newest)
    {
      if (source->kind == SP_FROM_PEER)
        sp_vm_on_hint (vm, now_us, &source->peer, head->version);
      return;
    }
  _sp_update_sources (vm, now_us, source, head);
  if (head->version > newest && _sp_merge_head (vm, source, head))
    vm->target = head->version;
  _sp_try_apply (vm, now_us);
  _sp_fetch_values (vm, now_us);
}

/* Reading the head from the store failed.  */
void
sp_vm_on_head_error (sp_vm *vm, uint64_t now_us, uint64_t sequence)
{
  if (!vm->read_pending || sequence != vm->sequence)
    return;
  vm->read_pending = false;
  vm->store_failed = true;
  _sp_schedule_store (vm,
                      now_us + vm->desc.store_retry_us / 2
                          + _sp_random (vm) % vm->desc.store_retry_us,
                      true);
  _sp_check_ready (vm, now_us);
}

/* A watch ended; CHANGED means that the head has a newer revision.  */
void
sp_vm_on_watch (sp_vm *vm, uint64_t now_us, uint64_t sequence,
                sp_result result, bool changed)
{
  if (!vm->watch_pending || sequence != vm->sequence)
    return;
  vm->watch_pending = false;
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

/* The value with HASH was received and checked against its hash.  */
void
sp_vm_on_value (sp_vm *vm, uint64_t now_us, const sp_hash *hash)
{
  for (size_t i = 0; i < vm->subtree_count; i++)
    {
      _sp_subtree *s = &vm->subtrees[i];
      if (!s->has_value && _sp_hash_equal (&s->target.hash, hash))
        {
          _sp_end_fetch (vm, s);
          s->has_value = true;
        }
    }
  _sp_try_apply (vm, now_us);
  _sp_fetch_values (vm, now_us);
}

/* SOURCE has no value with HASH or the fetch failed.  */
void
sp_vm_on_no_value (sp_vm *vm, uint64_t now_us, const sp_source *source,
                   const sp_hash *hash)
{
  for (size_t i = 0; i < vm->subtree_count; i++)
    {
      _sp_subtree *s = &vm->subtrees[i];
      if (s->in_flight && _sp_hash_equal (&s->target.hash, hash))
        {
          _sp_end_fetch (vm, s);
          /* After a round of peers and store, wait before the next.  */
          if (source->kind == SP_FROM_STORE && s->attempts > 1)
            s->not_before_us = now_us + vm->desc.store_retry_us;
        }
    }
  _sp_fetch_values (vm, now_us);
}

static void
_sp_tick_store (sp_vm *vm, uint64_t now_us)
{
  ft_update_lag (&vm->lag, vm->target > vm->version ? vm->target : vm->version,
                 vm->hinted_version, now_us);
  bool overdue = ft_is_overdue (&vm->lag, false, now_us)
                 && now_us >= vm->last_read_us + _SP_OVERDUE_READ_US;
  if (vm->read_pending && now_us >= vm->call_started_us + _SP_STORE_TIMEOUT_US)
    sp_vm_on_head_error (vm, now_us, vm->sequence);
  if (vm->watch_pending
      && now_us >= vm->call_started_us + vm->desc.watch_timeout_us)
    {
      vm->watch_pending = false;
      _sp_schedule_store (vm, now_us, false);
    }
  if (vm->read_pending || vm->watch_pending || now_us < vm->store_due_us)
    return;
  bool needs_store = !vm->store_replied || _sp_is_watcher (vm) || overdue;
  if (!needs_store)
    return;
  vm->read_due |= overdue;
  sp_vm_action a = { .kind = vm->read_due ? SP_VM_READ_HEAD : SP_VM_WATCH,
                     .revision = vm->revision,
                     .sequence = vm->sequence + 1 };
  if (!_sp_queue_action (vm, &a))
    return;
  vm->sequence++;
  vm->read_pending = vm->read_due;
  vm->watch_pending = !vm->read_due;
  vm->call_started_us = now_us;
}

static void
_sp_tick_peers (sp_vm *vm, uint64_t now_us)
{
  if (vm->head_fetch_pending
      && now_us >= vm->fetch_started_us + vm->desc.fetch_timeout_us)
    {
      vm->head_fetch_pending = false;
      const st_name *peer = _sp_choose_peer (vm);
      if (vm->hinted_version > vm->version && vm->hinted_version > vm->target
          && peer != NULL && vm->head_attempts < _SP_HEAD_ATTEMPTS_MAX)
        {
          vm->head_attempts++;
          _sp_fetch_head (vm, now_us, peer);
        }
    }
  if (vm->ready || now_us < vm->startup_fetch_us)
    return;
  vm->startup_fetch_us = now_us + vm->desc.fetch_timeout_us;
  for (unsigned i = 0; i < _SP_STARTUP_PEERS; i++)
    {
      const st_name *peer = _sp_choose_peer (vm);
      if (peer != NULL)
        _sp_fetch_head (vm, now_us, peer);
    }
}

/* Retries what got no reply in time.  Call it every 100 ms.  */
void
sp_vm_tick (sp_vm *vm, uint64_t now_us)
{
  _sp_tick_store (vm, now_us);
  _sp_tick_peers (vm, now_us);
  for (size_t i = 0; i < vm->subtree_count; i++)
    {
      _sp_subtree *s = &vm->subtrees[i];
      if (s->in_flight
          && now_us >= s->fetch_started_us + vm->desc.fetch_timeout_us)
        _sp_end_fetch (vm, s);
    }
  _sp_try_apply (vm, now_us);
  _sp_fetch_values (vm, now_us);
}

/* Returns what VM has applied and what it still fetches.  */
sp_vm_state
sp_vm_query_state (const sp_vm *vm)
{
  sp_vm_state out
      = { .version = vm->version,
          .target = vm->target > vm->version ? vm->target : vm->version,
          .ready = vm->ready,
          .watcher = _sp_is_watcher (vm),
          .rank = vm->rank };
  for (size_t i = 0; i < vm->subtree_count; i++)
    out.missing += !vm->subtrees[i].has_value;
  return out;
}

/* Copies the applied entries that changed after version SINCE to OUT, at most
   MAX; returns their number.  Together with the applied version they are the
   reply to a peer's fetch.  */
size_t
sp_vm_list_entries (const sp_vm *vm, uint64_t since, sp_entry *out, size_t max)
{
  size_t n = 0;
  for (size_t i = 0; i < vm->subtree_count && n < max; i++)
    {
      const _sp_subtree *s = &vm->subtrees[i];
      if (s->applied_changed <= since)
        continue;
      out[n].subtree = s->target.subtree;
      out[n].hash = s->applied;
      out[n].changed = s->applied_changed;
      n++;
    }
  return n;
}
