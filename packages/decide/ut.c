#include "ut.h"

#include <math.h>
#include <string.h>

#define _UT_REPORT_MAX_AGE_US 1500000
/* A VM remains a contender for this long after its report.  VMs report at
   least every 400 ms, and the share of one that has ended stays unused.  */
#define _UT_CONTENDER_MAX_AGE_US 600000
/* Weight of the newest sample in the mean time per work unit.  */
#define _UT_UNIT_TIME_WEIGHT 0.1
/* How long an upstream is avoided after a failed connection: at first the
   minimum, doubled with each further one in a row up to the maximum.  An
   upstream that accepts connections and closes them at once always has room
   and would attract all requests.  */
#define _UT_AVOID_MIN_US 400000
#define _UT_AVOID_MAX_US 1600000
/* Connections in a row that are lost before a response, from which on an
   upstream is avoided.  A single one may be an occasional lost response.  */
#define _UT_CONNECTION_LOST_MAX 2

typedef struct
{
  uint64_t peer; /* 0: free */
  uint64_t at_us;
  uint32_t waiting_ranks;
  ut_row *rows;
  size_t count;
} _ut_report;

typedef struct
{
  ut_upstream up;
  uint32_t generation; /* odd while in use */
} _ut_slot;

/* The newest statement of any upstream of a service.  */
typedef struct
{
  st_name service;
  ut_brittle brittle;
} _ut_brittle_service;

/* Twice the upstreams, so that probe sequences are short; a power of two.  */
#define _UT_INDEX_SIZE (2 * UT_UPSTREAMS_MAX)

/* An incarnation that said that it leaves.  */
typedef struct
{
  uint64_t hash; /* of its id */
  uint64_t started_ms;
} _ut_departed;

/* Limit for the cold upstreams of a service.  */
typedef struct
{
  st_name service;
  double per_s;
  uint64_t cold_us; /* how long an upstream of it is cold */
} _ut_cold_limit;

struct ut_table
{
  ut_desc desc;
  st_name evacuated[UT_EVACUATED_MAX];
  uint32_t evacuated_count;
  _ut_cold_limit cold_limits[UT_COLD_SERVICES_MAX];
  uint32_t cold_limit_count;
  _ut_brittle_service brittle_services[UT_BRITTLE_SERVICES_MAX];
  uint32_t brittle_service_count;
  el_fleet fleet; /* that shares the budget of cold upstreams */
  uint64_t first_put_us;
  _ut_slot *slots;
  uint64_t key;    /* of this VM */
  bool assigned;   /* slots, to several VMs; else this VM has all */
  uint32_t used;   /* slots ever used */
  uint32_t *index; /* by hash: slot number + 1, 0 for none */
  _ut_report reports[UT_PEERS_MAX];
  _ut_departed departed[UT_DEPARTED_MAX]; /* the oldest is replaced */
  uint32_t departed_next;
};

/* Makes a table.  Returns NULL when out of memory.  */
ut_table *
ut_make (const ut_desc *desc)
{
  ut_table *t = al_alloc (&desc->allocator, sizeof *t);
  if (t == NULL)
    return NULL;
  t->desc = *desc;
  t->fleet.has_part = true; /* until it is told of others */
  if (t->desc.report_max_age_us == 0)
    t->desc.report_max_age_us = _UT_REPORT_MAX_AGE_US;
  t->slots = al_alloc (&desc->allocator, UT_UPSTREAMS_MAX * sizeof *t->slots);
  t->index = al_alloc (&desc->allocator, _UT_INDEX_SIZE * sizeof *t->index);
  if (t->slots == NULL || t->index == NULL)
    {
      ut_destroy (t);
      return NULL;
    }
  return t;
}

/* Releases T; T may be NULL.  */
void
ut_destroy (ut_table *t)
{
  if (t == NULL)
    return;
  for (size_t i = 0; i < UT_PEERS_MAX; i++)
    al_free (&t->desc.allocator, t->reports[i].rows);
  al_free (&t->desc.allocator, t->slots);
  al_free (&t->desc.allocator, t->index);
  al_allocator al = t->desc.allocator;
  al_free (&al, t);
}

static _ut_slot *
_ut_at (const ut_table *t, ut_id id)
{
  if (id.generation == 0 || id.index >= t->used
      || t->slots[id.index].generation != id.generation)
    return NULL;
  return &t->slots[id.index];
}

/* Number that identifies the upstream ID in load reports.  */
uint64_t
ut_hash (st_str id)
{
  return st_hash (id, 0);
}

/* Index of the slot whose upstream has HASH, or UT_UPSTREAMS_MAX.  */
static uint32_t
_ut_lookup (const ut_table *t, uint64_t hash)
{
  for (uint64_t i = hash;; i++)
    {
      uint32_t entry = t->index[i % _UT_INDEX_SIZE];
      if (entry == 0)
        return UT_UPSTREAMS_MAX;
      if (t->slots[entry - 1].up.hash == hash
          && t->slots[entry - 1].generation % 2 == 1)
        return entry - 1;
    }
}

/* Rebuilds the index; upstreams are seldom added or removed.  */
static void
_ut_reindex (ut_table *t)
{
  memset (t->index, 0, _UT_INDEX_SIZE * sizeof *t->index);
  for (uint32_t slot = 0; slot < t->used; slot++)
    {
      if (t->slots[slot].generation % 2 == 0)
        continue;
      uint64_t i = t->slots[slot].up.hash;
      while (t->index[i % _UT_INDEX_SIZE] != 0)
        i++;
      t->index[i % _UT_INDEX_SIZE] = slot + 1;
    }
}

/* The most urgent rank that waits at the VM of REPORT, UT_RANKS for none.  */
static uint32_t
_ut_first_rank (const _ut_report *report)
{
  uint32_t rank = 0;
  while (rank < UT_RANKS && (report->waiting_ranks >> rank & 1) == 0)
    rank++;
  return rank;
}

static void
_ut_add_row (ut_upstream *up, const ut_row *row, uint32_t rank)
{
  up->peer_running += row->running;
  up->running_by_rank[rank] += row->running;
  up->peer_prefill_tokens += row->prefill_tokens;
}

/* Adds the rows of REPORT to the peer load of the upstreams, or subtracts
   them.  */
static void
_ut_apply_report (ut_table *t, const _ut_report *report, bool add)
{
  uint32_t rank = _ut_first_rank (report);
  for (size_t i = 0; i < report->count; i++)
    {
      const ut_row *row = &report->rows[i];
      uint32_t slot = _ut_lookup (t, row->upstream);
      if (slot == UT_UPSTREAMS_MAX)
        continue;
      ut_upstream *up = &t->slots[slot].up;
      if (add)
        _ut_add_row (up, row, rank);
      else
        {
          up->peer_running -= row->running;
          up->running_by_rank[rank] -= row->running;
          up->peer_prefill_tokens -= row->prefill_tokens;
        }
    }
}

/* Adds the stored reports about UP, which is new.  */
static void
_ut_sum_reports (const ut_table *t, ut_upstream *up)
{
  for (size_t p = 0; p < UT_PEERS_MAX; p++)
    for (size_t i = 0; i < t->reports[p].count; i++)
      if (t->reports[p].rows[i].upstream == up->hash)
        _ut_add_row (up, &t->reports[p].rows[i],
                     _ut_first_rank (&t->reports[p]));
}

/* A number from 0 to 1 that differs for each pair of a VM and an upstream, so
   that VMs with the same data do not all choose the same upstream.  */
static double
_ut_order_penalty (const ut_table *t, const ut_entry *entry)
{
  uint64_t hash = st_hash (st_name_str (&entry->id),
                           st_hash (st_name_str (&t->desc.vm), 3));
  return (double)(hash >> 32) / 4294967296.0;
}

static bool
_ut_has_departed (const ut_table *t, uint64_t hash, uint64_t started_ms)
{
  for (uint32_t i = 0; i < UT_DEPARTED_MAX && started_ms != 0; i++)
    if (t->departed[i].hash == hash && t->departed[i].started_ms == started_ms)
      return true;
  return false;
}

static bool
_ut_is_evacuated (const ut_table *t, st_str data_center)
{
  for (uint32_t i = 0; i < t->evacuated_count; i++)
    if (st_equal (st_name_str (&t->evacuated[i]), data_center))
      return true;
  return false;
}

static const _ut_cold_limit *
_ut_find_cold_limit (const ut_table *t, st_str service)
{
  for (uint32_t i = 0; i < t->cold_limit_count; i++)
    if (st_equal (st_name_str (&t->cold_limits[i].service), service))
      return &t->cold_limits[i];
  return NULL;
}

/* Sets the limit of UP while it is cold, and this VM's share of it.  */
static void
_ut_update_cold (const ut_table *t, ut_upstream *up)
{
  const _ut_cold_limit *limit
      = _ut_find_cold_limit (t, st_name_str (&up->entry.service));
  up->cold.per_s = limit != NULL ? limit->per_s : 0;
  up->cold.share = 0;
  if (up->cold.per_s > 0)
    up->cold.share = el_share (&t->fleet, ut_hash (st_name_str (&t->desc.vm)),
                               up->hash, up->cold.per_s);
}

/* Sets this VM's share of the limit that UP has named.  */
static void
_ut_update_limit (const ut_table *t, ut_upstream *up)
{
  if (!up->limit.named)
    return;
  up->limit.share
      = el_limit_share (&t->fleet, ut_hash (st_name_str (&t->desc.vm)),
                        up->hash, up->limit.per_s);
  up->limit.from_us = el_first_limited_us (t->first_put_us);
}

/* Adopts what the entry of UP, the newest, states of its cold start.  */
static void
_ut_read_cold (ut_upstream *up, uint64_t now_us)
{
  up->cold.until_us = up->entry.cold_ms > 0
                          ? now_us + up->entry.cold_ms * UINT64_C (1000)
                          : 0;
}

/* Adds ENTRY or updates the one with its id.  An entry with another start time
   is another process: the measurements of the old one are discarded.  Returns
   generation 0 when the table is full.  */
ut_id
ut_put (ut_table *t, const ut_entry *entry, uint64_t now_us)
{
  ut_id id = ut_find (t, st_name_str (&entry->id));
  _ut_slot *slot = _ut_at (t, id);
  if (slot != NULL && slot->up.entry.started_ms == entry->started_ms)
    {
      slot->up.entry = *entry;
      slot->up.entry.leaving |= slot->up.said_leaving;
      slot->up.evacuated
          = _ut_is_evacuated (t, st_name_str (&entry->data_center));
      _ut_read_cold (&slot->up, now_us);
      _ut_update_cold (t, &slot->up);
      return id;
    }
  if (slot != NULL)
    ut_remove (t, id);
  uint32_t index = 0;
  while (index < t->used && t->slots[index].generation % 2 == 1)
    index++;
  if (index == UT_UPSTREAMS_MAX)
    return (ut_id){ 0, 0 };
  if (index == t->used)
    t->used++;
  slot = &t->slots[index];
  slot->generation++;
  slot->up = (ut_upstream){ .entry = *entry,
                            .hash = ut_hash (st_name_str (&entry->id)),
                            .known_us = now_us,
                            .order_penalty = _ut_order_penalty (t, entry),
                            .decayed_at_us = now_us };
  slot->up.said_leaving
      = _ut_has_departed (t, slot->up.hash, entry->started_ms);
  slot->up.entry.leaving |= slot->up.said_leaving;
  slot->up.evacuated = _ut_is_evacuated (t, st_name_str (&entry->data_center));
  _ut_read_cold (&slot->up, now_us);
  _ut_update_cold (t, &slot->up);
  if (t->first_put_us == 0)
    t->first_put_us = now_us;
  if (t->first_put_us != 0)
    slot->up.cold.from_us = el_first_send_us (t->first_put_us);
  _ut_sum_reports (t, &slot->up);
  _ut_reindex (t);
  return (ut_id){ index, slot->generation };
}

/* Removes ID; later calls with it have no effect.  */
void
ut_remove (ut_table *t, ut_id id)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  if (slot->up.said_leaving)
    t->departed[t->departed_next++ % UT_DEPARTED_MAX]
        = (_ut_departed){ slot->up.hash, slot->up.entry.started_ms };
  slot->generation++;
  _ut_reindex (t);
}

/* The upstream whose id has HASH; generation 0 when there is none.  */
ut_id
ut_find_hash (const ut_table *t, uint64_t hash)
{
  uint32_t slot = _ut_lookup (t, hash);
  if (slot == UT_UPSTREAMS_MAX)
    return (ut_id){ 0, 0 };
  return (ut_id){ slot, t->slots[slot].generation };
}

/* The upstream with the registry's ID; generation 0 when there is none.  */
ut_id
ut_find (const ut_table *t, st_str id)
{
  ut_id found = ut_find_hash (t, ut_hash (id));
  const ut_upstream *up = ut_query (t, found);
  if (up != NULL && !st_equal (st_name_str (&up->entry.id), id))
    return (ut_id){ 0, 0 };
  return found;
}

/* The upstream ID, or NULL when it has been removed.  */
const ut_upstream *
ut_query (const ut_table *t, ut_id id)
{
  const _ut_slot *slot = _ut_at (t, id);
  return slot != NULL ? &slot->up : NULL;
}

/* Moves CURSOR, which starts zeroed, to the next upstream.  */
bool
ut_next (const ut_table *t, ut_id *cursor)
{
  uint32_t i = cursor->generation == 0 ? 0 : cursor->index + 1;
  for (; i < t->used; i++)
    if (t->slots[i].generation % 2 == 1)
      {
        *cursor = (ut_id){ i, t->slots[i].generation };
        return true;
      }
  return false;
}

/* Slots of all upstreams, those that are leaving included.  */
uint32_t
ut_query_slots (const ut_table *t)
{
  uint32_t slots = 0;
  ut_id id = { 0, 0 };
  while (ut_next (t, &id))
    slots += ut_query (t, id)->entry.slots;
  return slots;
}

/* 0 in this VM's data centre, 1 in its region, 2 elsewhere.  */
uint32_t
ut_query_distance (const ut_table *t, ut_id id)
{
  const _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return 2;
  if (st_equal (st_name_str (&slot->up.entry.data_center),
                st_name_str (&t->desc.data_center)))
    return 0;
  return st_equal (st_name_str (&slot->up.entry.region),
                   st_name_str (&t->desc.region))
             ? 1
             : 2;
}

static uint32_t
_ut_slot_share (const ut_table *t, const ut_upstream *up, const st_str *vms,
                uint32_t count)
{
  uint64_t own = st_hash (st_name_str (&t->desc.vm), up->hash);
  uint32_t share = 0;
  for (uint32_t slot = 0; slot < up->entry.slots; slot++)
    {
      uint64_t best = own * (2 * (uint64_t)slot + 3);
      uint32_t i = 0;
      while (i < count
             && st_hash (vms[i], up->hash) * (2 * (uint64_t)slot + 3) <= best)
        i++;
      share += i == count;
    }
  return share;
}

/* Assigns each slot of the upstreams to one of this VM and the COUNT others in
   VMS, by rendezvous hashing: load reports arrive too late to prevent two VMs
   from filling the same slot.  With SAME_DATA_CENTER_ONLY only the upstreams
   of this data centre are assigned.  */
void
ut_assign (ut_table *t, const st_str *vms, uint32_t count,
           bool same_data_center_only)
{
  t->assigned = count > 0;
  for (uint32_t i = 0; i < t->used; i++)
    if (t->slots[i].generation % 2 == 1)
      {
        ut_id id = { i, t->slots[i].generation };
        ut_upstream *up = &t->slots[i].up;
        up->slot_share = same_data_center_only && ut_query_distance (t, id) > 0
                             ? 0
                             : _ut_slot_share (t, up, vms, count);
      }
}

/* Slots of ID that no other VM fills; all where this VM runs alone.  */
uint32_t
ut_query_assigned (const ut_table *t, ut_id id)
{
  const _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return 0;
  return t->assigned ? slot->up.slot_share : slot->up.entry.slots;
}

/* Counts a request with PREFILL_TOKENS of prompt that is sent to ID.  */
void
ut_on_sent (ut_table *t, ut_id id, uint32_t prefill_tokens)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  slot->up.own_running++;
  slot->up.own_prefill_tokens += prefill_tokens;
}

/* Counts the start of a response from ID: the prefill of PREFILL_TOKENS is
   done.  */
void
ut_on_response_start (ut_table *t, ut_id id, uint32_t prefill_tokens)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  slot->up.own_prefill_tokens -= prefill_tokens < slot->up.own_prefill_tokens
                                     ? prefill_tokens
                                     : slot->up.own_prefill_tokens;
}

static void
_ut_decay (ut_upstream *up, uint64_t now_us)
{
  double factor
      = exp2 (-(double)(now_us - up->decayed_at_us) / UT_HALF_LIFE_US);
  up->recent_failures *= factor;
  up->recent_responses *= factor;
  up->decayed_at_us = now_us;
}

static uint64_t
_ut_avoid_time_us (uint32_t failures_in_row)
{
  uint32_t doublings = failures_in_row > 3 ? 2 : failures_in_row - 1;
  uint64_t avoid_us = (uint64_t)_UT_AVOID_MIN_US << doublings;
  return avoid_us < _UT_AVOID_MAX_US ? avoid_us : _UT_AVOID_MAX_US;
}

/* Counts a request at ID that has ended with OUTCOME.  PREFILL_TOKENS are
   those that ut_on_response_start has not subtracted.  */
void
ut_on_end (ut_table *t, ut_id id, uint32_t prefill_tokens, ut_outcome outcome,
           uint64_t now_us)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  ut_upstream *up = &slot->up;
  ut_on_response_start (t, id, prefill_tokens);
  if (up->own_running > 0)
    up->own_running--;
  _ut_decay (up, now_us);
  switch (outcome)
    {
    case UT_SERVED:
      up->recent_responses += 1;
      up->unreachable_in_row = 0;
      up->connection_lost_in_row = 0;
      break;
    case UT_FAILED:
      up->recent_failures += 1;
      up->recent_responses += 1;
      break;
    case UT_CONNECTION_LOST:
      up->recent_failures += 1;
      up->recent_responses += 1;
      up->connection_lost_in_row++;
      if (up->connection_lost_in_row >= _UT_CONNECTION_LOST_MAX)
        ut_avoid (t, id,
                  now_us
                      + _ut_avoid_time_us (up->connection_lost_in_row
                                           - _UT_CONNECTION_LOST_MAX + 1));
      break;
    case UT_UNREACHABLE:
      up->recent_failures += 1;
      up->recent_responses += 1;
      up->unreachable_in_row++;
      ut_avoid (t, id, now_us + _ut_avoid_time_us (up->unreachable_in_row));
      break;
    case UT_REFUSED:
    case UT_ABANDONED:
      break;
    }
}

/* Adds a sample of the time per work unit at ID, in microseconds, to its
   mean.  */
void
ut_set_unit_time (ut_table *t, ut_id id, double unit_time_us)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  double *mean_us = &slot->up.unit_time_us;
  *mean_us = *mean_us <= 0
                 ? unit_time_us
                 : *mean_us + _UT_UNIT_TIME_WEIGHT * (unit_time_us - *mean_us);
}

/* Avoids ID until UNTIL_US, as long as others serve its service.  */
void
ut_avoid (ut_table *t, ut_id id, uint64_t until_us)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot != NULL && slot->up.avoid_until_us < until_us)
    slot->up.avoid_until_us = until_us;
}

/* Excludes ID until UNTIL_US, as it asked for.  It counts as sound.  */
void
ut_pause (ut_table *t, ut_id id, uint64_t until_us)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot != NULL && slot->up.pause_until_us < until_us)
    slot->up.pause_until_us = until_us;
}

/* Adopts that this incarnation of ID leaves, as it stated in a response.  */
void
ut_set_leaving (ut_table *t, ut_id id)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  slot->up.said_leaving = true;
  slot->up.entry.leaving = true;
}

/* Records the STATEMENT of ID about its limit.  True when it changes the
   limit; an older one than the last has no effect.  */
bool
ut_state_limit (ut_table *t, ut_id id, const el_limit *statement)
{
  _ut_slot *slot = _ut_at (t, id);
  el_limit *limit = slot != NULL ? &slot->up.limit : NULL;
  if (limit == NULL || statement->stated_us <= limit->stated_us
      || (!statement->named && limit->stated_us == 0))
    return false;
  bool changed = statement->named != limit->named
                 || (statement->named && statement->per_s != limit->per_s);
  *limit = *statement;
  _ut_update_limit (t, &slot->up);
  return changed;
}

/* Services beyond UT_BRITTLE_SERVICES_MAX are not remembered, and neither are
   those none of whose upstreams has ever been brittle.  */
static void
_ut_state_brittle_service (ut_table *t, const st_name *service,
                           const ut_brittle *statement)
{
  for (uint32_t i = 0; i < t->brittle_service_count; i++)
    if (st_equal (st_name_str (&t->brittle_services[i].service),
                  st_name_str (service)))
      {
        t->brittle_services[i].brittle = *statement;
        return;
      }
  if (statement->named && t->brittle_service_count < UT_BRITTLE_SERVICES_MAX)
    t->brittle_services[t->brittle_service_count++]
        = (_ut_brittle_service){ *service, *statement };
}

/* Records the STATEMENT of ID about the rejections that it bears.  True when
   it changes what was stated; an older one than the last has no effect.  */
bool
ut_state_brittle (ut_table *t, ut_id id, const ut_brittle *statement)
{
  _ut_slot *slot = _ut_at (t, id);
  ut_brittle *brittle = slot != NULL ? &slot->up.brittle : NULL;
  if (brittle == NULL || statement->stated_us <= brittle->stated_us)
    return false;
  bool changed = statement->named != brittle->named
                 || (statement->named && statement->per_s != brittle->per_s);
  *brittle = *statement;
  _ut_state_brittle_service (t, &slot->up.entry.service, statement);
  return changed;
}

/* What holds for ID, which is brittle; NULL when it is not.  One that has not
   stated anything yet is as brittle as the last of its service that has: those
   that have crashed start again while requests wait for them.  */
const ut_brittle *
ut_query_brittle (const ut_table *t, ut_id id)
{
  const _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return NULL;
  const ut_brittle *brittle = &slot->up.brittle;
  for (uint32_t i = 0; brittle->stated_us == 0 && i < t->brittle_service_count;
       i++)
    if (st_equal (st_name_str (&t->brittle_services[i].service),
                  st_name_str (&slot->up.entry.service)))
      brittle = &t->brittle_services[i].brittle;
  return brittle->named ? brittle : NULL;
}

/* Starts or ends the evacuation of DATA_CENTER.  After its end the upstreams
   there count as cold for the time of a cold start: they have been idle, and
   an entry that says so may arrive later than the order.  False when too many
   data centres are evacuated to remember another one.  */
bool
ut_set_evacuated (ut_table *t, st_str data_center, bool evacuated,
                  uint64_t now_us)
{
  bool was = _ut_is_evacuated (t, data_center);
  if (evacuated && !was)
    {
      if (t->evacuated_count == UT_EVACUATED_MAX)
        return false;
      st_name_set (&t->evacuated[t->evacuated_count++], data_center);
    }
  for (uint32_t i = 0; !evacuated && i < t->evacuated_count; i++)
    if (st_equal (st_name_str (&t->evacuated[i]), data_center))
      t->evacuated[i] = t->evacuated[--t->evacuated_count];
  for (uint32_t i = 0; i < t->used; i++)
    {
      ut_upstream *up = &t->slots[i].up;
      if (t->slots[i].generation % 2 == 0
          || !st_equal (st_name_str (&up->entry.data_center), data_center))
        continue;
      const _ut_cold_limit *limit
          = _ut_find_cold_limit (t, st_name_str (&up->entry.service));
      if (up->evacuated && !evacuated && limit != NULL)
        up->cold.held_us = now_us + limit->cold_us;
      up->evacuated = evacuated;
    }
  return true;
}

static void
_ut_update_all_shares (ut_table *t)
{
  for (uint32_t i = 0; i < t->used; i++)
    if (t->slots[i].generation % 2 == 1)
      {
        _ut_update_cold (t, &t->slots[i].up);
        _ut_update_limit (t, &t->slots[i].up);
      }
}

/* Limits the cold upstreams of SERVICE, which are cold for COLD_US after a
   start, to PER_S requests a second from all VMs; 0: no limit.  Services
   beyond UT_COLD_SERVICES_MAX have none.  */
void
ut_set_cold_limit (ut_table *t, st_str service, double per_s, uint64_t cold_us)
{
  _ut_cold_limit *limit = (_ut_cold_limit *)_ut_find_cold_limit (t, service);
  if (limit == NULL
      && (per_s <= 0 || t->cold_limit_count == UT_COLD_SERVICES_MAX))
    return;
  if (limit == NULL)
    {
      limit = &t->cold_limits[t->cold_limit_count++];
      st_name_set (&limit->service, service);
    }
  limit->per_s = per_s;
  limit->cold_us = cold_us;
  _ut_update_all_shares (t);
}

/* Sets the VMs that share the limits of upstreams, as far as this VM
   sees them: itself where ACTIVE, and the COUNT OTHERS, hashes of their
   names.  */
void
ut_set_cold_vms (ut_table *t, bool active, const uint64_t *others,
                 uint32_t count, uint64_t now_us)
{
  el_update_fleet (&t->fleet, active, others, count, now_us);
  _ut_update_all_shares (t);
}

/* Removes VM, the hash of a name, from those that share the budget: it has
   left or is on standby.  */
void
ut_forget_cold_vm (ut_table *t, uint64_t vm)
{
  el_forget_vm (&t->fleet, vm);
}

/* Part of these VMs that this one does not hear; see el_silent_part.  */
double
ut_query_silent_part (const ut_table *t)
{
  return el_silent_part (&t->fleet);
}

/* Counts a request that is sent to ID, for the time when its rate may be
   limited.  */
void
ut_count_send (ut_table *t, ut_id id, uint64_t now_us)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot != NULL)
    el_on_sent (&slot->up.sends, now_us);
}

/* Sets the KEY that identifies the reports of this VM to the others.  */
void
ut_set_key (ut_table *t, uint64_t key)
{
  t->key = key;
}

/* Replaces the load report of PEER (any number but 0).  Peers beyond
   UT_PEERS_MAX are ignored.  */
void
ut_set_peer (ut_table *t, uint64_t peer, const ut_report *report,
             uint64_t now_us)
{
  _ut_report *stored = NULL;
  for (size_t i = 0; i < UT_PEERS_MAX && stored == NULL; i++)
    if (t->reports[i].peer == peer)
      stored = &t->reports[i];
  for (size_t i = 0; i < UT_PEERS_MAX && stored == NULL; i++)
    if (t->reports[i].peer == 0)
      stored = &t->reports[i];
  if (stored == NULL)
    return;
  _ut_apply_report (t, stored, false);
  al_free (&t->desc.allocator, stored->rows);
  *stored = (_ut_report){ .peer = peer,
                          .at_us = now_us,
                          .waiting_ranks = report->waiting_ranks };
  size_t size = report->count * sizeof *report->rows;
  if (size > 0)
    stored->rows = al_alloc (&t->desc.allocator, size);
  if (stored->rows != NULL)
    {
      memcpy (stored->rows, report->rows, size);
      stored->count = report->count;
    }
  _ut_apply_report (t, stored, true);
}

/* The other VMs at which requests of RANK or more urgent ones wait.  */
ut_contenders
ut_query_contenders (const ut_table *t, uint32_t rank, uint64_t now_us)
{
  ut_contenders contenders = { .rank = rank };
  for (size_t i = 0; i < UT_PEERS_MAX; i++)
    {
      const _ut_report *r = &t->reports[i];
      if (r->peer != 0 && now_us - r->at_us < _UT_CONTENDER_MAX_AGE_US
          && _ut_first_rank (r) <= rank)
        contenders.keys[contenders.count++] = r->peer;
    }
  return contenders;
}

/* Sort key of the VM KEY in the order in which VMs divide the slots of UP.  */
static uint64_t
_ut_vm_order (const ut_upstream *up, uint64_t key)
{
  uint64_t x = (key ^ up->hash) * UINT64_C (0x9e3779b97f4a7c15);
  x = (x ^ x >> 32) * UINT64_C (0xd6e8feb86659fd93);
  return x ^ x >> 32;
}

/* Number of requests of the contenders' rank that this VM may have at ID when
   all VMs together may have SLOTS there.  What is left by the VMs at which
   nothing as urgent waits is divided among the others.  */
uint32_t
ut_query_slot_share (const ut_table *t, ut_id id,
                     const ut_contenders *contenders, uint32_t slots)
{
  const _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return 0;
  const ut_upstream *up = &slot->up;
  for (uint32_t rank = contenders->rank + 1; rank <= UT_RANKS; rank++)
    slots -= up->running_by_rank[rank] < slots ? up->running_by_rank[rank]
                                               : slots;
  uint64_t own = _ut_vm_order (up, t->key);
  uint32_t vms_before = 0;
  for (uint32_t i = 0; i < contenders->count; i++)
    vms_before += _ut_vm_order (up, contenders->keys[i]) < own;
  uint32_t vms = contenders->count + 1;
  return slots / vms + (vms_before < slots % vms);
}

/* Discards reports that are too old.  */
void
ut_expire_peers (ut_table *t, uint64_t now_us)
{
  for (size_t i = 0; i < UT_PEERS_MAX; i++)
    {
      _ut_report *r = &t->reports[i];
      if (r->peer == 0 || now_us - r->at_us <= t->desc.report_max_age_us)
        continue;
      _ut_apply_report (t, r, false);
      al_free (&t->desc.allocator, r->rows);
      *r = (_ut_report){ 0 };
    }
}

/* Writes this VM's own load to ROWS, at most MAX; returns their number.  */
size_t
ut_query_rows (const ut_table *t, ut_row *rows, size_t max)
{
  size_t count = 0;
  for (uint32_t i = 0; i < t->used && count < max; i++)
    {
      const ut_upstream *up = &t->slots[i].up;
      if (t->slots[i].generation % 2 == 1 && up->own_running > 0)
        rows[count++]
            = (ut_row){ up->hash, up->own_running, up->own_prefill_tokens };
    }
  return count;
}

/* Fraction of ID's recent responses that failed, 0 to 1.  Two successes are
   added to them, so that a single failure does not exclude an upstream.  */
double
ut_query_failure_ratio (const ut_table *t, ut_id id, uint64_t now_us)
{
  const _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return 0;
  ut_upstream up = slot->up;
  _ut_decay (&up, now_us);
  return up.recent_failures / (up.recent_responses + 2);
}
