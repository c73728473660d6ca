#include "ut.h"

#include <math.h>
#include <string.h>

#define _UT_REPORT_MAX_AGE_US 1500000
/* Requests that wait at a VM count for this long after its report: VMs report
   every 400 ms at least, and one that has gone leaves its part unused.  */
#define _UT_RIVAL_MAX_AGE_US 600000
/* Weight of the newest sample in the measured pace.  */
#define _UT_PACE_WEIGHT 0.1
/* How long an upstream is left out after a failed connection: first, doubled
   with each one in a row up to the last.  One that takes connections and ends
   them at once has room all the time and would draw all requests.  */
#define _UT_AVOID_FIRST_US 400000
#define _UT_AVOID_LAST_US 1600000
/* Connections that end without an answer before an upstream is left out; a
   single one is what an upstream that loses an answer now and then shows.  */
#define _UT_CUT_OFF_MAX 2

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

/* Twice the upstreams, so that probing ends soon; a power of two.  */
#define _UT_INDEX_SIZE (2 * UT_UPSTREAMS_MAX)

struct ut_table
{
  ut_desc desc;
  _ut_slot *slots;
  uint64_t key;    /* of this VM */
  uint32_t used;   /* slots ever used */
  uint32_t *index; /* by hash: slot number + 1, 0 for none */
  _ut_report reports[UT_PEERS_MAX];
};

/* Makes a table.  NULL without memory.  */
ut_table *
ut_make (const ut_desc *desc)
{
  ut_table *t = al_alloc (&desc->allocator, sizeof *t);
  if (t == NULL)
    return NULL;
  t->desc = *desc;
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

/* Number that stands for an upstream's id between VMs.  */
uint64_t
ut_hash (st_str id)
{
  return st_hash (id, 0);
}

/* Number of the slot whose upstream has HASH, or UT_UPSTREAMS_MAX.  */
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

/* Makes the index anew; upstreams come and go seldom.  */
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
  up->peer_unread_tokens += row->unread_tokens;
}

/* Adds the rows of REPORT to what other VMs have at the upstreams, or takes
   them off.  */
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
          up->peer_unread_tokens -= row->unread_tokens;
        }
    }
}

/* Sums the reports about UP, which is new.  */
static void
_ut_sum_reports (const ut_table *t, ut_upstream *up)
{
  for (size_t p = 0; p < UT_PEERS_MAX; p++)
    for (size_t i = 0; i < t->reports[p].count; i++)
      if (t->reports[p].rows[i].upstream == up->hash)
        _ut_add_row (up, &t->reports[p].rows[i],
                     _ut_first_rank (&t->reports[p]));
}

/* A number that differs for each pair of a VM and an upstream, so that VMs
   which know the same do not all choose the same upstream.  */
static double
_ut_bias (const ut_table *t, const ut_entry *entry)
{
  uint64_t hash = st_hash (st_name_str (&entry->id),
                           st_hash (st_name_str (&t->desc.vm), 3));
  return (double)(hash >> 32) / 4294967296.0;
}

/* Adds ENTRY or brings a known one up to date.  An entry with another start
   time is another process: what was measured of it is forgotten.  Returns
   generation 0 when the table is full.  */
ut_id
ut_put (ut_table *t, const ut_entry *entry, uint64_t now_us)
{
  ut_id id = ut_find (t, st_name_str (&entry->id));
  _ut_slot *slot = _ut_at (t, id);
  if (slot != NULL && slot->up.entry.started_ms == entry->started_ms)
    {
      slot->up.entry = *entry;
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
                            .bias = _ut_bias (t, entry),
                            .decayed_at_us = now_us };
  _ut_sum_reports (t, &slot->up);
  _ut_reindex (t);
  return (ut_id){ index, slot->generation };
}

/* Removes ID; calls with it have no effect from here on.  */
void
ut_remove (ut_table *t, ut_id id)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
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
_ut_share_of (const ut_table *t, const ut_upstream *up, const st_str *vms,
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

/* Deals the slots of the upstreams out among this VM and the COUNT others in
   VMS, by which each slot is one VM's to fill: reports of load come too late
   to keep two VMs from filling the same one.  With NEAR_ONLY the VMs share
   the upstreams of their data centre only.  */
void
ut_assign (ut_table *t, const st_str *vms, uint32_t count, bool near_only)
{
  for (uint32_t i = 0; i < t->used; i++)
    if (t->slots[i].generation % 2 == 1)
      {
        ut_id id = { i, t->slots[i].generation };
        ut_upstream *up = &t->slots[i].up;
        up->share = near_only && ut_query_distance (t, id) > 0
                        ? 0
                        : _ut_share_of (t, up, vms, count);
      }
}

/* A request with UNREAD_TOKENS of prompt goes to ID.  */
void
ut_begin (ut_table *t, ut_id id, uint32_t unread_tokens)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  slot->up.own_running++;
  slot->up.own_unread_tokens += unread_tokens;
}

/* The answer to a request has begun: its prompt has been read.  */
void
ut_first (ut_table *t, ut_id id, uint32_t unread_tokens)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  slot->up.own_unread_tokens -= unread_tokens < slot->up.own_unread_tokens
                                    ? unread_tokens
                                    : slot->up.own_unread_tokens;
}

static void
_ut_decay (ut_upstream *up, uint64_t now_us)
{
  double factor
      = exp2 (-(double)(now_us - up->decayed_at_us) / UT_HALF_LIFE_US);
  up->failures *= factor;
  up->answers *= factor;
  up->decayed_at_us = now_us;
}

static uint64_t
_ut_pause_us (uint32_t failures_in_row)
{
  uint32_t doublings = failures_in_row > 3 ? 2 : failures_in_row - 1;
  uint64_t pause = (uint64_t)_UT_AVOID_FIRST_US << doublings;
  return pause < _UT_AVOID_LAST_US ? pause : _UT_AVOID_LAST_US;
}

/* A request at ID has ended as OUTCOME says.  UNREAD_TOKENS are those that
   ut_first has not taken off.  */
void
ut_end (ut_table *t, ut_id id, uint32_t unread_tokens, ut_outcome outcome,
        uint64_t now_us)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  ut_upstream *up = &slot->up;
  ut_first (t, id, unread_tokens);
  if (up->own_running > 0)
    up->own_running--;
  _ut_decay (up, now_us);
  switch (outcome)
    {
    case UT_SERVED:
      up->answers += 1;
      up->unreachable_in_row = 0;
      up->cut_off_in_row = 0;
      break;
    case UT_FAILED:
      up->failures += 1;
      up->answers += 1;
      break;
    case UT_CUT_OFF:
      up->failures += 1;
      up->answers += 1;
      up->cut_off_in_row++;
      if (up->cut_off_in_row >= _UT_CUT_OFF_MAX)
        ut_avoid (
            t, id,
            now_us + _ut_pause_us (up->cut_off_in_row - _UT_CUT_OFF_MAX + 1));
      break;
    case UT_UNREACHABLE:
      up->failures += 1;
      up->answers += 1;
      up->unreachable_in_row++;
      ut_avoid (t, id, now_us + _ut_pause_us (up->unreachable_in_row));
      break;
    case UT_REFUSED:
    case UT_ABANDONED:
      break;
    }
}

/* Takes a measured time of one unit of work at ID.  */
void
ut_pace (ut_table *t, ut_id id, double unit_us)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return;
  double *pace = &slot->up.pace_us;
  *pace = *pace <= 0 ? unit_us : *pace + _UT_PACE_WEIGHT * (unit_us - *pace);
}

/* Leaves ID out until UNTIL_US, as long as others serve its service.  */
void
ut_avoid (ut_table *t, ut_id id, uint64_t until_us)
{
  _ut_slot *slot = _ut_at (t, id);
  if (slot != NULL && slot->up.avoid_until_us < until_us)
    slot->up.avoid_until_us = until_us;
}

/* Sets the number by which other VMs know the reports of this one.  */
void
ut_set_key (ut_table *t, uint64_t key)
{
  t->key = key;
}

/* Replaces what PEER (any number but 0) reported of its load.  Peers beyond
   UT_PEERS_MAX are ignored.  */
void
ut_set_peer (ut_table *t, uint64_t peer, const ut_report *report,
             uint64_t now_us)
{
  _ut_report *kept = NULL;
  for (size_t i = 0; i < UT_PEERS_MAX && kept == NULL; i++)
    if (t->reports[i].peer == peer)
      kept = &t->reports[i];
  for (size_t i = 0; i < UT_PEERS_MAX && kept == NULL; i++)
    if (t->reports[i].peer == 0)
      kept = &t->reports[i];
  if (kept == NULL)
    return;
  _ut_apply_report (t, kept, false);
  al_free (&t->desc.allocator, kept->rows);
  *kept = (_ut_report){ .peer = peer,
                        .at_us = now_us,
                        .waiting_ranks = report->waiting_ranks };
  size_t size = report->count * sizeof *report->rows;
  if (size > 0)
    kept->rows = al_alloc (&t->desc.allocator, size);
  if (kept->rows != NULL)
    {
      memcpy (kept->rows, report->rows, size);
      kept->count = report->count;
    }
  _ut_apply_report (t, kept, true);
}

/* The other VMs at which requests wait that go before one of RANK, or that
   are of the same rank.  */
ut_rivals
ut_query_rivals (const ut_table *t, uint32_t rank, uint64_t now_us)
{
  ut_rivals rivals = { .rank = rank };
  for (size_t i = 0; i < UT_PEERS_MAX; i++)
    {
      const _ut_report *r = &t->reports[i];
      if (r->peer != 0 && now_us - r->at_us < _UT_RIVAL_MAX_AGE_US
          && _ut_first_rank (r) <= rank)
        rivals.keys[rivals.count++] = r->peer;
    }
  return rivals;
}

/* Place of the VM KEY in the order in which VMs divide the slots of UP.  */
static uint64_t
_ut_turn (const ut_upstream *up, uint64_t key)
{
  uint64_t x = (key ^ up->hash) * UINT64_C (0x9e3779b97f4a7c15);
  x = (x ^ x >> 32) * UINT64_C (0xd6e8feb86659fd93);
  return x ^ x >> 32;
}

/* How many requests of the rivals' rank this VM may have at ID when all VMs
   together may have SLOTS there: what VMs at which nothing as urgent waits do
   not use is divided among the others.  */
uint32_t
ut_query_part (const ut_table *t, ut_id id, const ut_rivals *rivals,
               uint32_t slots)
{
  const _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return 0;
  const ut_upstream *up = &slot->up;
  for (uint32_t rank = rivals->rank + 1; rank <= UT_RANKS; rank++)
    slots -= up->running_by_rank[rank] < slots ? up->running_by_rank[rank]
                                               : slots;
  uint64_t own = _ut_turn (up, t->key);
  uint32_t before = 0;
  for (uint32_t i = 0; i < rivals->count; i++)
    before += _ut_turn (up, rivals->keys[i]) < own;
  uint32_t vms = rivals->count + 1;
  return slots / vms + (before < slots % vms);
}

/* Forgets reports that are too old.  */
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

/* This VM's own load, at most MAX rows; returns their number.  */
size_t
ut_query_rows (const ut_table *t, ut_row *rows, size_t max)
{
  size_t count = 0;
  for (uint32_t i = 0; i < t->used && count < max; i++)
    {
      const ut_upstream *up = &t->slots[i].up;
      if (t->slots[i].generation % 2 == 1 && up->own_running > 0)
        rows[count++]
            = (ut_row){ up->hash, up->own_running, up->own_unread_tokens };
    }
  return count;
}

/* Share of ID's recent answers that failed, pulled towards 0 by two served
   ones, so that a single failure does not condemn an upstream.  */
double
ut_query_failure_share (const ut_table *t, ut_id id, uint64_t now_us)
{
  const _ut_slot *slot = _ut_at (t, id);
  if (slot == NULL)
    return 0;
  ut_upstream up = slot->up;
  _ut_decay (&up, now_us);
  return up.failures / (up.answers + 2);
}
