#include "cs.h"

#include <string.h>

#define _CS_NIL UINT32_MAX
#define _CS_WAYS 8
#define _CS_HISTORY 64
/* Requests of one tier that one pass fails to grant before it gives up;
   bounds the work of a pass when the first requests need an engine that is
   full.  */
#define _CS_PASS_FAILURES_MAX 64
/* Requests examined for expiry by one tick.  */
#define _CS_TICK_SCAN_MAX 512
/* Time from CS_STOP until the slot is free, used to predict the time to first
   token.  */
#define _CS_STOP_DELAY_US 20000
/* A request with less remaining prefill than this is not stopped to free
   prefill time.  */
#define _CS_STOP_PREFILL_MIN_US 50000
/* Completed prefill, in mean prompts, that a stop may discard to make another
   first token earlier.  */
#define _CS_STOP_LOST_PROMPTS_MAX 2.0
/* A request with less slack than this is about to miss its deadline.  */
#define _CS_DEADLINE_NEAR_US 500000
/* A first token this much later than predicted is overdue; a shorter delay is
   within one engine iteration.  */
#define _CS_FIRST_TOKEN_OVERDUE_US 30000
/* No grants to an engine for this time after it did not admit a request; the
   time doubles with each further one.  */
#define _CS_ADMISSION_BACKOFF_MIN_US 20000
#define _CS_ADMISSION_BACKOFF_MAX_US 1000000
#define _CS_RETRY_AFTER_MIN_MS 200
#define _CS_RETRY_AFTER_MAX_MS 60000
/* Importing a KV cache costs this fraction of the prefill that it saves.  */
#define _CS_IMPORT_COST_RATIO 0.25
/* A prompt of more than this many mean prompts is long.  */
#define _CS_LONG_RATIO 8.0
/* An engine is slow when the ratio of its learned time to its prior exceeds
   the lowest such ratio in the cell by this factor.  */
#define _CS_SLOW_RATIO 2.0
/* Samples with less prefill reflect the base time more than the rate.  */
#define _CS_RATE_SAMPLE_TOKENS_MIN 64.0
/* Upper limit of one sample, as a multiple of the learned time.  */
#define _CS_RATE_SAMPLE_RATIO_MAX 4.0

enum
{
  _CS_FREE = 0,
  _CS_WAITING,
  _CS_RUNNING,
  _CS_STOPPING
};

typedef enum
{
  _CS_GRANTED,
  _CS_REFUSED,
  _CS_WAIT
} _cs_try_result;

typedef struct
{
  uint64_t request;
  uint64_t version;
  uint64_t deadline_us;
  uint64_t first_token_target_us;
  uint64_t submit_us;
  uint64_t order_us; /* order within the team: lowest first */
  uint64_t seq;
  uint64_t granted_us;
  id_handle resume_of;
  cs_prefix prefixes[CS_PREFIX_MAX];
  double sample_tokens; /* prefill ahead of and in this request */
  uint32_t dispatcher;
  uint32_t team;
  uint32_t route;
  uint32_t prompt_tokens;
  uint32_t expected_tokens;
  uint32_t uncached_tokens;
  uint32_t predicted_first_token_us;
  uint32_t engine;
  /* Pairing heap of the team while waiting; list of the engine while
     running.  */
  uint32_t child, next, prev;
  /* Requests of the tier in order of submission, while waiting.  */
  uint32_t later, earlier;
  uint8_t tier;
  uint8_t state;
  uint8_t prefix_count;
  bool late;    /* the first token target can no longer be met */
  bool stashed; /* out of its heap until the end of the pass */
  bool has_first_token;
  bool no_first_token_report; /* cs_first_token is not called for it */
  bool has_long_prefill;
  bool partly_cached; /* part of the prompt was expected in the cache */
} _cs_req;

typedef struct
{
  uint64_t time_us;
  uint32_t count;
} _cs_running_sample;

typedef struct
{
  id_handle id;
  st_name name;
  uint64_t versions[CS_VERSIONS_MAX];
  uint32_t version_count;
  uint32_t slots;
  bool used;
  bool leaving;
  bool removed;
  bool slow;
  bool reports_first_token;
  uint64_t kv_capacity_tokens;
  uint64_t kv_used_tokens;
  double prior_prefill_us_per_token;
  double prefill_us_per_token;
  double base_us;
  double itl_prior_us;
  double itl_per_batch_us;
  double itl_scale;
  double itl_shape[CS_BATCH_BUCKETS];
  uint64_t prefill_until_us;      /* end of the prefill granted so far */
  uint64_t long_prefill_until_us; /* end of the last long prefill */
  uint64_t admission_backoff_until_us;
  uint64_t admission_backoff_us;
  uint64_t next_probe_us;
  uint64_t first_token_at_us; /* of the last one reported */
  uint64_t load_time_us;
  uint32_t external_running;
  uint32_t external_running_last;
  uint32_t running; /* granted and not done, including stopping */
  uint32_t stopping;
  uint32_t running_by_tier[CS_TIERS]; /* running and not stopping */
  uint32_t running_head;              /* list of running requests */
  _cs_running_sample history[_CS_HISTORY];
  uint32_t history_len, history_at;
  uint32_t claimed; /* stopping slots assigned to a request in this pass */
} _cs_engine;

typedef struct
{
  uint32_t root;
  uint32_t count; /* waiting, including stashed */
  uint32_t ring_next, ring_prev;
  uint64_t idle_round;
  int64_t deficit;
  int64_t saved_deficit;  /* deficit before the last uncommitted credit */
  bool has_saved_deficit; /* saved_deficit is set */
} _cs_team_queue;

typedef struct
{
  _cs_team_queue *teams;
  uint32_t cursor;       /* team whose turn it is; _CS_NIL: none is active */
  uint32_t active_teams; /* teams with work waiting */
  uint32_t ready_teams;  /* of these, teams with a request not stashed */
  uint64_t round;
  uint32_t saved_cursor;
  uint64_t saved_round;
  uint32_t oldest, newest;
  uint32_t waiting;
  uint64_t waiting_tokens; /* sum of their prompt tokens */
  uint32_t running;        /* including stopping */
} _cs_tier;

typedef struct
{
  uint64_t hash;
  uint64_t cached_on;       /* bit set of engines that cache the block */
  uint64_t maybe_cached_on; /* bit set: cached before a gap in the events */
  uint64_t last_used;
} _cs_block;

struct cs_cell
{
  cs_desc desc;
  id_pool engine_ids;
  _cs_engine *engines;
  uint32_t engine_capacity;
  _cs_req *reqs; /* referred to by index, _CS_NIL for none */
  uint32_t req_capacity;
  uint32_t free_head;
  uint32_t waiting;
  uint32_t running;
  uint32_t *map; /* request id -> index in reqs, open addressing */
  uint32_t map_mask;
  _cs_tier tiers[CS_TIERS];
  uint32_t *weights;
  _cs_block *blocks;
  uint32_t block_sets;
  uint64_t block_use_count;
  cs_decision *decisions;
  uint32_t decision_capacity, decision_at, decision_len;
  uint32_t *stash;
  uint32_t stash_len;
  uint64_t seq;
  uint32_t scan_at;
  bool dirty;
  uint32_t delayed_tier;     /* most urgent tier with a request that this pass
                               left waiting for earlier prefill */
  uint64_t next_pass_us;     /* when an engine can be granted more prefill */
  double mean_slot_us;       /* mean time that a request occupies a slot */
  double mean_prompt_tokens; /* mean prompt, long ones clamped */
  double mean_output_tokens[CS_ROUTES_MAX];
  cs_counts counts;
};

typedef struct
{
  uint32_t engine;
  double first_us;
  double finish_us;
  uint32_t uncached;
  bool found;
  bool meets_target;
  bool misses_deadline;    /* an engine was skipped because of the deadline */
  bool delayed_by_prefill; /* one was skipped because of its granted prefill */
} _cs_choice;

/* Requests by id.  */

static uint32_t
_cs_hash (uint64_t x)
{
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdull;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ull;
  return (uint32_t)(x ^ x >> 33);
}

static uint32_t
_cs_req_find (const cs_cell *cs, uint64_t request)
{
  uint32_t i = _cs_hash (request) & cs->map_mask;
  while (cs->map[i] != _CS_NIL)
    {
      if (cs->reqs[cs->map[i]].request == request)
        return cs->map[i];
      i = (i + 1) & cs->map_mask;
    }
  return _CS_NIL;
}

static void
_cs_map_add (cs_cell *cs, uint32_t req)
{
  uint32_t i = _cs_hash (cs->reqs[req].request) & cs->map_mask;
  while (cs->map[i] != _CS_NIL)
    i = (i + 1) & cs->map_mask;
  cs->map[i] = req;
}

/* Removes REQ and shifts later entries of its probe sequence back, so that
   no tombstone is needed.  */
static void
_cs_map_remove (cs_cell *cs, uint32_t req)
{
  uint32_t i = _cs_hash (cs->reqs[req].request) & cs->map_mask;
  while (cs->map[i] != req)
    i = (i + 1) & cs->map_mask;
  uint32_t hole = i;
  for (;;)
    {
      i = (i + 1) & cs->map_mask;
      if (cs->map[i] == _CS_NIL)
        break;
      uint32_t home = _cs_hash (cs->reqs[cs->map[i]].request) & cs->map_mask;
      if (((i - home) & cs->map_mask) >= ((i - hole) & cs->map_mask))
        {
          cs->map[hole] = cs->map[i];
          hole = i;
        }
    }
  cs->map[hole] = _CS_NIL;
}

static uint32_t
_cs_req_make (cs_cell *cs)
{
  uint32_t req = cs->free_head;
  if (req != _CS_NIL)
    {
      cs->free_head = cs->reqs[req].next;
      memset (&cs->reqs[req], 0, sizeof (_cs_req));
    }
  return req;
}

static void
_cs_req_free (cs_cell *cs, uint32_t req)
{
  _cs_map_remove (cs, req);
  cs->reqs[req].state = _CS_FREE;
  cs->reqs[req].request = 0;
  cs->reqs[req].next = cs->free_head;
  cs->free_head = req;
}

/* Queue of a team: a pairing heap linked through the requests.  */

static bool
_cs_before (const cs_cell *cs, uint32_t a, uint32_t b)
{
  const _cs_req *x = &cs->reqs[a], *y = &cs->reqs[b];
  return x->order_us != y->order_us ? x->order_us < y->order_us
                                    : x->seq < y->seq;
}

static uint32_t
_cs_heap_merge (cs_cell *cs, uint32_t a, uint32_t b)
{
  if (a == _CS_NIL)
    return b;
  if (b == _CS_NIL)
    return a;
  if (_cs_before (cs, b, a))
    {
      uint32_t t = a;
      a = b;
      b = t;
    }
  _cs_req *top = &cs->reqs[a], *sub = &cs->reqs[b];
  sub->prev = a;
  sub->next = top->child;
  if (top->child != _CS_NIL)
    cs->reqs[top->child].prev = b;
  top->child = b;
  return a;
}

/* Merges FIRST and its later siblings in pairs, then the pairs into one heap.
   Returns the root.  */
static uint32_t
_cs_heap_merge_pairs (cs_cell *cs, uint32_t first)
{
  uint32_t pairs = _CS_NIL;
  while (first != _CS_NIL)
    {
      uint32_t a = first, b = cs->reqs[a].next;
      first = b != _CS_NIL ? cs->reqs[b].next : _CS_NIL;
      cs->reqs[a].next = cs->reqs[a].prev = _CS_NIL;
      if (b != _CS_NIL)
        cs->reqs[b].next = cs->reqs[b].prev = _CS_NIL;
      uint32_t m = _cs_heap_merge (cs, a, b);
      cs->reqs[m].next = pairs;
      pairs = m;
    }
  uint32_t root = _CS_NIL;
  while (pairs != _CS_NIL)
    {
      uint32_t rest = cs->reqs[pairs].next;
      cs->reqs[pairs].next = _CS_NIL;
      root = _cs_heap_merge (cs, root, pairs);
      pairs = rest;
    }
  if (root != _CS_NIL)
    cs->reqs[root].prev = cs->reqs[root].next = _CS_NIL;
  return root;
}

static void
_cs_team_ring_add (_cs_tier *tier, uint32_t team)
{
  _cs_team_queue *q = &tier->teams[team];
  if (tier->cursor == _CS_NIL)
    {
      q->ring_next = q->ring_prev = team;
      tier->cursor = team;
    }
  else
    {
      _cs_team_queue *at = &tier->teams[tier->cursor];
      q->ring_next = tier->cursor;
      q->ring_prev = at->ring_prev;
      tier->teams[at->ring_prev].ring_next = team;
      at->ring_prev = team;
    }
  tier->active_teams++;
}

static void
_cs_team_ring_remove (_cs_tier *tier, uint32_t team)
{
  _cs_team_queue *q = &tier->teams[team];
  if (q->ring_next == team)
    tier->cursor = _CS_NIL;
  else
    {
      tier->teams[q->ring_prev].ring_next = q->ring_next;
      tier->teams[q->ring_next].ring_prev = q->ring_prev;
      if (tier->cursor == team)
        tier->cursor = q->ring_next;
    }
  tier->active_teams--;
}

static int64_t
_cs_quantum (const cs_cell *cs, uint32_t team)
{
  return (int64_t)cs->desc.quantum_tokens * cs->weights[team];
}

/* Adds a waiting request to the heap of its team.  */
static void
_cs_heap_add (cs_cell *cs, uint32_t req)
{
  _cs_req *r = &cs->reqs[req];
  _cs_tier *tier = &cs->tiers[r->tier];
  _cs_team_queue *q = &tier->teams[r->team];
  r->child = r->next = r->prev = _CS_NIL;
  if (q->root == _CS_NIL)
    tier->ready_teams++;
  q->root = _cs_heap_merge (cs, q->root, req);
}

static void
_cs_heap_remove (cs_cell *cs, uint32_t req)
{
  _cs_req *r = &cs->reqs[req];
  _cs_tier *tier = &cs->tiers[r->tier];
  _cs_team_queue *q = &tier->teams[r->team];
  uint32_t sub = _cs_heap_merge_pairs (cs, r->child);
  if (q->root == req)
    q->root = sub;
  else
    {
      if (cs->reqs[r->prev].child == req)
        cs->reqs[r->prev].child = r->next;
      else
        cs->reqs[r->prev].next = r->next;
      if (r->next != _CS_NIL)
        cs->reqs[r->next].prev = r->prev;
      q->root = _cs_heap_merge (cs, q->root, sub);
    }
  r->child = r->next = r->prev = _CS_NIL;
  if (q->root == _CS_NIL)
    tier->ready_teams--;
}

/* Adds a waiting request to its tier and team.  A team that was idle keeps
   its negative deficit, less the credit of the rounds since then.  */
static void
_cs_waiting_add (cs_cell *cs, uint32_t req)
{
  _cs_req *r = &cs->reqs[req];
  _cs_tier *tier = &cs->tiers[r->tier];
  _cs_team_queue *q = &tier->teams[r->team];
  if (q->count == 0 && q->deficit < 0)
    {
      uint64_t rounds = tier->round - q->idle_round;
      int64_t gain = rounds > 1u << 20
                         ? -q->deficit
                         : (int64_t)rounds * _cs_quantum (cs, r->team);
      q->deficit = q->deficit + gain < 0 ? q->deficit + gain : 0;
    }
  if (q->count++ == 0)
    _cs_team_ring_add (tier, r->team);
  _cs_heap_add (cs, req);
  r->state = _CS_WAITING;
  r->later = _CS_NIL;
  r->earlier = tier->newest;
  if (tier->newest != _CS_NIL)
    cs->reqs[tier->newest].later = req;
  else
    tier->oldest = req;
  tier->newest = req;
  tier->waiting++;
  tier->waiting_tokens += r->prompt_tokens;
  cs->waiting++;
}

/* Removes a waiting request from its tier and team.  */
static void
_cs_waiting_remove (cs_cell *cs, uint32_t req)
{
  _cs_req *r = &cs->reqs[req];
  _cs_tier *tier = &cs->tiers[r->tier];
  _cs_team_queue *q = &tier->teams[r->team];
  if (!r->stashed)
    _cs_heap_remove (cs, req);
  if (--q->count == 0)
    {
      q->idle_round = tier->round;
      if (q->deficit > 0)
        q->deficit = 0;
      q->has_saved_deficit = false;
      _cs_team_ring_remove (tier, r->team);
    }
  if (r->earlier != _CS_NIL)
    cs->reqs[r->earlier].later = r->later;
  else
    tier->oldest = r->later;
  if (r->later != _CS_NIL)
    cs->reqs[r->later].earlier = r->earlier;
  else
    tier->newest = r->earlier;
  tier->waiting--;
  tier->waiting_tokens -= r->prompt_tokens;
  cs->waiting--;
}

static void
_cs_add_credit (_cs_team_queue *q, int64_t tokens)
{
  if (!q->has_saved_deficit)
    {
      q->has_saved_deficit = true;
      q->saved_deficit = q->deficit;
    }
  q->deficit += tokens;
}

/* Returns the team whose turn it is, _CS_NIL when there is none.  This is
   deficit round robin in which a team is served while its deficit is above
   zero and may go below zero by one request.  Teams whose requests are all
   stashed are skipped.  */
static uint32_t
_cs_next_team (cs_cell *cs, _cs_tier *tier)
{
  if (tier->ready_teams == 0)
    return _CS_NIL;
  for (;;)
    {
      for (uint32_t i = 0; i < tier->active_teams; i++)
        {
          uint32_t team = tier->cursor;
          _cs_team_queue *q = &tier->teams[team];
          if (q->root != _CS_NIL)
            {
              if (q->deficit <= 0)
                _cs_add_credit (q, _cs_quantum (cs, team));
              if (q->deficit > 0)
                return team;
            }
          tier->cursor = q->ring_next;
        }
      /* No team has a positive deficit after one quantum: credits all of them
         with the number of rounds after which the first one is served.  */
      int64_t rounds = INT64_MAX;
      uint32_t team = tier->cursor;
      for (uint32_t i = 0; i < tier->active_teams; i++)
        {
          const _cs_team_queue *q = &tier->teams[team];
          int64_t n = -q->deficit / _cs_quantum (cs, team);
          if (q->root != _CS_NIL && n < rounds)
            rounds = n;
          team = q->ring_next;
        }
      for (uint32_t i = 0; i < tier->active_teams; i++)
        {
          _cs_team_queue *q = &tier->teams[team];
          if (q->root != _CS_NIL)
            _cs_add_credit (q, rounds * _cs_quantum (cs, team));
          team = q->ring_next;
        }
      tier->round += (uint64_t)rounds + 1;
    }
}

/* Commits the credit that _cs_next_team added, or reverts it when no request
   was granted since: a pass that grants nothing must not raise the deficit of
   a team.  */
static void
_cs_settle_credit (_cs_tier *tier, bool commit)
{
  uint32_t team = tier->cursor;
  for (uint32_t i = 0; i < tier->active_teams; i++)
    {
      _cs_team_queue *q = &tier->teams[team];
      if (q->has_saved_deficit && !commit)
        q->deficit = q->saved_deficit;
      q->has_saved_deficit = false;
      team = q->ring_next;
    }
  if (!commit && tier->saved_cursor != _CS_NIL
      && tier->teams[tier->saved_cursor].count > 0)
    {
      tier->cursor = tier->saved_cursor;
      tier->round = tier->saved_round;
    }
  tier->saved_cursor = tier->cursor;
  tier->saved_round = tier->round;
}

static void
_cs_charge (cs_cell *cs, const _cs_req *r)
{
  _cs_tier *tier = &cs->tiers[r->tier];
  _cs_team_queue *q = &tier->teams[r->team];
  q->deficit -= (int64_t)r->prompt_tokens + r->expected_tokens;
  if (q->deficit <= 0 && tier->cursor == r->team)
    {
      tier->cursor = q->ring_next;
      tier->round++;
    }
  _cs_settle_credit (tier, true);
}

/* Prefix blocks: a set-associative table that evicts the least recently used
   hash of a set.  */

static _cs_block *
_cs_block_find (cs_cell *cs, uint64_t hash)
{
  _cs_block *set
      = &cs->blocks[(size_t)(_cs_hash (hash) % cs->block_sets) * _CS_WAYS];
  for (int i = 0; i < _CS_WAYS; i++)
    if (set[i].hash == hash
        && (set[i].cached_on | set[i].maybe_cached_on) != 0)
      return &set[i];
  return NULL;
}

static void
_cs_block_add (cs_cell *cs, uint64_t hash, uint32_t engine)
{
  _cs_block *b = _cs_block_find (cs, hash);
  if (b == NULL)
    {
      _cs_block *set
          = &cs->blocks[(size_t)(_cs_hash (hash) % cs->block_sets) * _CS_WAYS];
      b = &set[0];
      for (int i = 0; i < _CS_WAYS; i++)
        {
          if ((set[i].cached_on | set[i].maybe_cached_on) == 0)
            {
              b = &set[i];
              break;
            }
          if (set[i].last_used < b->last_used)
            b = &set[i];
        }
      *b = (_cs_block){ .hash = hash };
    }
  b->cached_on |= 1ull << engine;
  b->maybe_cached_on &= ~(1ull << engine);
  b->last_used = ++cs->block_use_count;
}

/* Writes the expected cached tokens of R on every engine to CACHED.  A block
   that was last reported before a gap in the events counts half.  */
static void
_cs_estimate_cached_tokens (cs_cell *cs, const _cs_req *r,
                            uint32_t cached[CS_ENGINES_MAX])
{
  memset (cached, 0, sizeof (uint32_t) * cs->engine_capacity);
  for (uint32_t i = 0; i < r->prefix_count; i++)
    {
      _cs_block *b = _cs_block_find (cs, r->prefixes[i].hash);
      if (b == NULL)
        continue;
      b->last_used = ++cs->block_use_count;
      for (uint64_t m = b->cached_on | b->maybe_cached_on; m != 0; m &= m - 1)
        {
          uint32_t e = (uint32_t)__builtin_ctzll (m);
          uint32_t tokens = r->prefixes[i].tokens;
          if ((b->cached_on >> e & 1) == 0)
            tokens /= 2;
          if (tokens > r->prompt_tokens)
            tokens = r->prompt_tokens;
          if (tokens > cached[e])
            cached[e] = tokens;
        }
    }
}

/* Engines.  */

static _cs_engine *
_cs_engine_find (const cs_cell *cs, id_handle id)
{
  return id_valid (&cs->engine_ids, id) ? &cs->engines[id_index (id)] : NULL;
}

static bool
_cs_has_version (const _cs_engine *e, uint64_t version)
{
  if (version == 0)
    return true;
  for (uint32_t i = 0; i < e->version_count; i++)
    if (e->versions[i] == version)
      return true;
  return false;
}

static bool
_cs_accepts (const _cs_engine *e, const _cs_req *r)
{
  return e->used && !e->removed && !e->leaving
         && _cs_has_version (e, r->version);
}

static uint32_t
_cs_batch_bucket (uint32_t batch)
{
  uint32_t b = 0;
  while (batch > 1 && b < CS_BATCH_BUCKETS - 1)
    {
      batch >>= 1;
      b++;
    }
  return b;
}

static double
_cs_itl_us (const _cs_engine *e, uint32_t batch)
{
  batch = batch > 0 ? batch : 1;
  return (e->itl_prior_us + e->itl_per_batch_us * (batch - 1)) * e->itl_scale
         * e->itl_shape[_cs_batch_bucket (batch)];
}

static uint32_t
_cs_slot_limit (const cs_cell *cs, const _cs_engine *e, uint32_t tier)
{
  if (tier < cs->desc.strict_tiers || cs->desc.headroom_percent == CS_NONE
      || e->slots < 2)
    return e->slots;
  uint32_t reserved = (e->slots * cs->desc.headroom_percent + 99) / 100;
  return reserved < e->slots ? e->slots - reserved : 1;
}

static uint32_t
_cs_engine_load (const _cs_engine *e)
{
  return e->running + e->external_running;
}

static bool
_cs_has_free_slot (const cs_cell *cs, const _cs_engine *e, uint32_t tier)
{
  return _cs_engine_load (e) < _cs_slot_limit (cs, e, tier);
}

static void
_cs_record_running (_cs_engine *e, uint64_t now_us)
{
  e->history[e->history_at] = (_cs_running_sample){ now_us, e->running };
  e->history_at = (e->history_at + 1) % _CS_HISTORY;
  if (e->history_len < _CS_HISTORY)
    e->history_len++;
}

/* Number of requests of this cell that were running on E at TIME_US.  */
static uint32_t
_cs_running_at (const _cs_engine *e, uint64_t time_us)
{
  uint32_t count = 0;
  for (uint32_t i = 1; i <= e->history_len; i++)
    {
      uint32_t at = (e->history_at + _CS_HISTORY - i) % _CS_HISTORY;
      count = e->history[at].count;
      if (e->history[at].time_us <= time_us)
        return count;
    }
  return e->history_len == _CS_HISTORY ? count : 0;
}

static void
_cs_running_add (cs_cell *cs, uint32_t req, uint32_t engine, uint64_t now_us)
{
  _cs_req *r = &cs->reqs[req];
  _cs_engine *e = &cs->engines[engine];
  r->state = _CS_RUNNING;
  r->engine = engine;
  r->child = r->prev = _CS_NIL;
  r->next = e->running_head;
  if (e->running_head != _CS_NIL)
    cs->reqs[e->running_head].prev = req;
  e->running_head = req;
  e->running++;
  e->running_by_tier[r->tier]++;
  e->kv_used_tokens += (uint64_t)r->prompt_tokens + r->expected_tokens;
  cs->tiers[r->tier].running++;
  cs->running++;
  _cs_record_running (e, now_us);
}

static void
_cs_engine_free (cs_cell *cs, _cs_engine *e)
{
  uint64_t mask = ~(1ull << id_index (e->id));
  for (size_t i = 0; i < (size_t)cs->block_sets * _CS_WAYS; i++)
    {
      cs->blocks[i].cached_on &= mask;
      cs->blocks[i].maybe_cached_on &= mask;
    }
  id_destroy (&cs->engine_ids, e->id);
  e->used = false;
}

static void
_cs_running_remove (cs_cell *cs, uint32_t req, uint64_t now_us)
{
  _cs_req *r = &cs->reqs[req];
  _cs_engine *e = &cs->engines[r->engine];
  if (r->prev != _CS_NIL)
    cs->reqs[r->prev].next = r->next;
  else
    e->running_head = r->next;
  if (r->next != _CS_NIL)
    cs->reqs[r->next].prev = r->prev;
  e->running--;
  if (r->state == _CS_STOPPING)
    e->stopping--;
  else
    e->running_by_tier[r->tier]--;
  e->kv_used_tokens -= (uint64_t)r->prompt_tokens + r->expected_tokens;
  cs->tiers[r->tier].running--;
  cs->running--;
  _cs_record_running (e, now_us);
  if (e->removed && e->running == 0)
    _cs_engine_free (cs, e);
}

/* Remaining prefill time of R on its engine E, in microseconds.  */
static double
_cs_prefill_left_us (const _cs_req *r, const _cs_engine *e, uint64_t now_us)
{
  if (r->has_first_token)
    return 0;
  uint64_t end_us = r->granted_us + r->predicted_first_token_us;
  if (end_us <= now_us)
    return 0;
  double left_us = (double)(end_us - now_us);
  double own_us = r->uncached_tokens * e->prefill_us_per_token;
  return left_us < own_us ? left_us : own_us;
}

/* True while the prefill of R is not done.  Without first token reports it is
   assumed done at the predicted time.  */
static bool
_cs_in_prefill (const _cs_req *r, uint64_t now_us)
{
  return !r->has_first_token
         && (!r->no_first_token_report
             || now_us < r->granted_us + r->predicted_first_token_us);
}

/* Updates the learned prefill rate with one time to first token.  The part of
   the prompt expected in the cache may have been evicted, so samples with such
   a part have a lower weight.  */
static void
_cs_learn_prefill_rate (_cs_engine *e, const _cs_req *r, uint64_t first_us)
{
  if (r->sample_tokens < _CS_RATE_SAMPLE_TOKENS_MIN)
    return;
  double us = (double)first_us - e->base_us;
  double sample = (us > 1 ? us : 1) / r->sample_tokens;
  double low = e->prior_prefill_us_per_token / 8,
         high = e->prior_prefill_us_per_token * 64;
  sample = sample < low ? low : sample > high ? high : sample;
  /* The prefill assumed to be ahead of one sample may be wrong.  */
  if (sample > _CS_RATE_SAMPLE_RATIO_MAX * e->prefill_us_per_token)
    sample = _CS_RATE_SAMPLE_RATIO_MAX * e->prefill_us_per_token;
  double weight = r->partly_cached ? 0.05 : 0.2;
  e->prefill_us_per_token += weight * (sample - e->prefill_us_per_token);
}

/* Corrects the predicted end of the engine's prefill when the prefill of REQ
   is done: only the requests granted after it, which come before it in the
   list, still need prefill.  Without first token reports some of these may be
   done too, so the end may then only move to an earlier time.  */
static void
_cs_on_prefill_done (cs_cell *cs, uint32_t req, uint64_t now_us)
{
  _cs_engine *e = &cs->engines[cs->reqs[req].engine];
  double left_us = 0;
  bool has_long_prefill = false;
  for (uint32_t s = e->running_head; s != req; s = cs->reqs[s].next)
    if (_cs_in_prefill (&cs->reqs[s], now_us))
      {
        left_us += cs->reqs[s].uncached_tokens * e->prefill_us_per_token;
        has_long_prefill = has_long_prefill || cs->reqs[s].has_long_prefill;
      }
  uint64_t end_us = now_us + (uint64_t)left_us;
  if (e->reports_first_token || end_us < e->prefill_until_us)
    e->prefill_until_us = end_us;
  if (!has_long_prefill)
    e->long_prefill_until_us = now_us;
  else if (e->long_prefill_until_us > end_us)
    e->long_prefill_until_us = end_us;
}

/* Corrects the predicted end of the engine's prefill when REQ ends without a
   first token: its remaining prefill is subtracted, and the rest is limited to
   the prefill of the other requests.  */
static void
_cs_on_prefill_abandoned (cs_cell *cs, uint32_t req, uint64_t now_us)
{
  const _cs_req *r = &cs->reqs[req];
  _cs_engine *e = &cs->engines[r->engine];
  double others_us = 0;
  bool has_long_prefill = false;
  for (uint32_t s = e->running_head; s != _CS_NIL; s = cs->reqs[s].next)
    if (s != req && _cs_in_prefill (&cs->reqs[s], now_us))
      {
        others_us += cs->reqs[s].uncached_tokens * e->prefill_us_per_token;
        has_long_prefill = has_long_prefill || cs->reqs[s].has_long_prefill;
      }
  uint64_t own_us = (uint64_t)_cs_prefill_left_us (r, e, now_us);
  uint64_t latest_us = now_us + (uint64_t)others_us;
  if (e->prefill_until_us > now_us + own_us)
    e->prefill_until_us -= own_us;
  else if (e->prefill_until_us > now_us)
    e->prefill_until_us = now_us;
  if (e->prefill_until_us > latest_us)
    e->prefill_until_us = latest_us;
  if (!has_long_prefill)
    e->long_prefill_until_us = now_us;
}

static void
_cs_learn_itl (_cs_engine *e, uint64_t itl_us)
{
  uint32_t batch = e->running > 0 ? e->running : 1;
  uint32_t b = _cs_batch_bucket (batch);
  double prior = e->itl_prior_us + e->itl_per_batch_us * (batch - 1);
  double ratio = (double)itl_us / prior;
  ratio = ratio < 0.05 ? 0.05 : ratio > 64 ? 64 : ratio;
  e->itl_scale += 0.2 * (ratio / e->itl_shape[b] - e->itl_scale);
  double shape = ratio / e->itl_scale;
  shape = shape < 0.25 ? 0.25 : shape > 4 ? 4 : shape;
  e->itl_shape[b] += 0.02 * (shape - e->itl_shape[b]);
}

/* Marks the engines that are slow compared with the fastest one, each relative
   to its own prior speeds.  */
static void
_cs_mark_slow (cs_cell *cs)
{
  double best_prefill = 1e30, best_itl = 1e30;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!e->used || e->removed)
        continue;
      double p = e->prefill_us_per_token / e->prior_prefill_us_per_token;
      best_prefill = p < best_prefill ? p : best_prefill;
      best_itl = e->itl_scale < best_itl ? e->itl_scale : best_itl;
    }
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      _cs_engine *e = &cs->engines[i];
      if (e->used)
        e->slow = e->prefill_us_per_token / e->prior_prefill_us_per_token
                      > _CS_SLOW_RATIO * best_prefill
                  || e->itl_scale > _CS_SLOW_RATIO * best_itl;
    }
}

/* Decisions.  */

static bool
_cs_decisions_full (const cs_cell *cs)
{
  return cs->decision_len == cs->decision_capacity;
}

static cs_decision *
_cs_emit (cs_cell *cs, cs_kind kind, const _cs_req *r)
{
  uint32_t at = (cs->decision_at + cs->decision_len++) % cs->decision_capacity;
  cs->decisions[at] = (cs_decision){ .kind = kind,
                                     .request = r->request,
                                     .dispatcher = r->dispatcher,
                                     .tier = r->tier };
  return &cs->decisions[at];
}

/* Time in ms after which a refused caller should retry: the time that the
   waiting work needs, so that callers refused by a long queue spread their
   retries.  */
static uint32_t
_cs_retry_after_ms (const cs_cell *cs)
{
  uint32_t slots = 0;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    if (cs->engines[i].used && !cs->engines[i].leaving)
      slots += cs->engines[i].slots;
  double ms
      = _CS_RETRY_AFTER_MIN_MS
        + cs->waiting * cs->mean_slot_us / 1000 / (slots > 0 ? slots : 1);
  return ms < _CS_RETRY_AFTER_MAX_MS ? (uint32_t)ms : _CS_RETRY_AFTER_MAX_MS;
}

static bool
_cs_has_lower_tier_work (const cs_cell *cs, uint32_t tier)
{
  for (uint32_t t = tier + 1; t < CS_TIERS; t++)
    if (cs->tiers[t].running > 0 || cs->tiers[t].waiting > 0)
      return true;
  return false;
}

static void
_cs_emit_refuse (cs_cell *cs, const _cs_req *r, cs_reason reason)
{
  cs_decision *d = _cs_emit (cs, CS_REFUSE, r);
  d->reason = reason;
  d->retry_after_ms = _cs_retry_after_ms (cs);
  d->has_lower_tier_work = _cs_has_lower_tier_work (cs, r->tier);
  cs->counts.refused++;
}

static void
_cs_refuse (cs_cell *cs, uint32_t req, cs_reason reason)
{
  _cs_emit_refuse (cs, &cs->reqs[req], reason);
  _cs_waiting_remove (cs, req);
  _cs_req_free (cs, req);
}

static void
_cs_stop (cs_cell *cs, uint32_t req)
{
  _cs_req *r = &cs->reqs[req];
  _cs_engine *e = &cs->engines[r->engine];
  cs_decision *d = _cs_emit (cs, CS_STOP, r);
  d->engine = e->id;
  r->state = _CS_STOPPING;
  e->running_by_tier[r->tier]--;
  e->stopping++;
  e->claimed++;
  cs->counts.stopped++;
}

/* Prefill tokens that R needs on engine E, where CACHED tokens of its prompt
   are expected in the cache.  */
static uint32_t
_cs_prefill_tokens (const _cs_req *r, const _cs_engine *e, uint32_t cached)
{
  if (r->resume_of == 0)
    return r->prompt_tokens - cached;
  if (r->resume_of == e->id)
    return 0;
  return (uint32_t)(r->prompt_tokens * _CS_IMPORT_COST_RATIO);
}

/* Computes the least time to the first token and to the complete response on
   an idle engine.  Returns false when no engine has the version.  */
static bool
_cs_best_case (cs_cell *cs, const _cs_req *r, double *first_us,
               double *finish_us)
{
  uint32_t cached[CS_ENGINES_MAX];
  _cs_estimate_cached_tokens (cs, r, cached);
  bool found = false;
  *first_us = *finish_us = 1e30;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!_cs_accepts (e, r))
        continue;
      found = true;
      double engine_first_us
          = e->base_us
            + _cs_prefill_tokens (r, e, cached[i]) * e->prefill_us_per_token;
      double engine_finish_us
          = engine_first_us + r->expected_tokens * _cs_itl_us (e, 1);
      *first_us = engine_first_us < *first_us ? engine_first_us : *first_us;
      *finish_us
          = engine_finish_us < *finish_us ? engine_finish_us : *finish_us;
    }
  return found;
}

/* True when one more engine may start a long prefill: at most half of them do
   so at once, so that a short request finds one that does not.  */
static bool
_cs_may_start_long_prefill (const cs_cell *cs, uint64_t now_us)
{
  uint32_t engines = 0, busy = 0;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!e->used || e->removed || e->leaving)
        continue;
      engines++;
      busy += e->long_prefill_until_us > now_us;
    }
  return busy < (engines + 1) / 2;
}

static bool
_cs_is_long_prefill (const cs_cell *cs, uint32_t uncached, double own_us)
{
  return uncached > _CS_LONG_RATIO * cs->mean_prompt_tokens
         && own_us > (double)cs->desc.long_prefill_min_us;
}

static bool
_cs_may_probe (const cs_cell *cs, const _cs_engine *e, const _cs_req *r,
               uint64_t now_us)
{
  if (!e->slow || now_us < e->next_probe_us)
    return false;
  if (r->prompt_tokens * e->prior_prefill_us_per_token
      > (double)cs->desc.long_prefill_min_us)
    return false;
  uint64_t overdue_us = now_us - e->next_probe_us;
  return r->tier >= cs->desc.strict_tiers
         || (r->tier > 0 && overdue_us > 4 * cs->desc.probe_interval_us)
         || overdue_us > 9 * cs->desc.probe_interval_us;
}

/* Chooses among the engines with a free slot.  An engine that meets the first
   token target is preferred, then the one with the earliest end of the
   response.  A slow engine whose probe is due is chosen before all others.  */
static _cs_choice
_cs_choose_engine (const cs_cell *cs, const _cs_req *r, const uint32_t *cached,
                   uint64_t now_us)
{
  _cs_choice best = { 0 };
  bool long_ok = _cs_may_start_long_prefill (cs, now_us);
  bool urgent = r->tier < cs->desc.strict_tiers;
  double ahead_us = (double)cs->desc.prefill_ahead_max_us * (urgent ? 2 : 1);
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!_cs_accepts (e, r) || !_cs_has_free_slot (cs, e, r->tier)
          || now_us < e->admission_backoff_until_us)
        continue;
      if (e->kv_capacity_tokens > 0 && e->running > 0
          && e->kv_used_tokens + r->prompt_tokens + r->expected_tokens
                 > e->kv_capacity_tokens)
        continue;
      uint32_t uncached = _cs_prefill_tokens (r, e, cached[i]);
      double own_us = uncached * e->prefill_us_per_token;
      if (_cs_is_long_prefill (cs, uncached, own_us)
          && (!long_ok || e->long_prefill_until_us > now_us))
        {
          best.delayed_by_prefill = true;
          continue;
        }
      double queue_us = e->prefill_until_us > now_us
                            ? (double)(e->prefill_until_us - now_us)
                            : 0;
      double first_us = queue_us + own_us + e->base_us;
      double finish_us
          = first_us
            + r->expected_tokens * _cs_itl_us (e, _cs_engine_load (e) + 1);
      bool probe = _cs_may_probe (cs, e, r, now_us);
      if (!probe && r->deadline_us > 0
          && now_us + (uint64_t)finish_us > r->deadline_us)
        {
          best.misses_deadline = true;
          continue;
        }
      bool meets_target
          = probe || r->first_token_target_us == 0 || r->late
            || now_us + (uint64_t)first_us <= r->first_token_target_us;
      bool exempt = urgent && meets_target && r->first_token_target_us > 0
                    && !r->late && cs->delayed_tier >= r->tier;
      if (queue_us > ahead_us && !exempt)
        {
          best.delayed_by_prefill = true;
          continue;
        }
      if (probe || !best.found || (meets_target && !best.meets_target)
          || (meets_target == best.meets_target && finish_us < best.finish_us))
        {
          best.engine = i;
          best.first_us = first_us;
          best.finish_us = finish_us;
          best.uncached = uncached;
          best.found = true;
          best.meets_target = meets_target;
        }
      if (probe)
        break;
    }
  return best;
}

/* True when stopping A is better than stopping B.  Requests that would lose a
   long prefill come last; the others are stopped by lowest tier, then by least
   lost prefill.  */
static bool
_cs_better_victim (const cs_cell *cs, const _cs_req *a, double a_lost_tokens,
                   const _cs_req *b, double b_lost_tokens)
{
  double long_prompt_tokens = _CS_LONG_RATIO * cs->mean_prompt_tokens;
  if ((a_lost_tokens > long_prompt_tokens)
      != (b_lost_tokens > long_prompt_tokens))
    return b_lost_tokens > long_prompt_tokens;
  return a->tier != b->tier ? a->tier > b->tier
                            : a_lost_tokens < b_lost_tokens;
}

/* Finds the best request to stop on engine E, in the order of
   _cs_better_victim, among the running requests of tiers below that of R that
   lose at most LOST_TOKENS_MAX tokens of prefill.  With PREFILL only
   non-urgent requests with enough remaining prefill are considered.  Returns
   _CS_NIL when there is none.  */
static uint32_t
_cs_find_victim (const cs_cell *cs, const _cs_req *r, const _cs_engine *e,
                 bool prefill, double lost_tokens_max, uint64_t now_us,
                 double *lost_tokens_out)
{
  uint32_t best = _CS_NIL;
  double best_lost_tokens = 0;
  for (uint32_t s = e->running_head; s != _CS_NIL; s = cs->reqs[s].next)
    {
      const _cs_req *v = &cs->reqs[s];
      if (v->state != _CS_RUNNING || v->tier <= r->tier)
        continue;
      double left_us = _cs_prefill_left_us (v, e, now_us);
      if (prefill
          && (left_us < _CS_STOP_PREFILL_MIN_US
              || v->tier < cs->desc.strict_tiers))
        continue;
      double lost_tokens
          = v->uncached_tokens - left_us / e->prefill_us_per_token;
      if (lost_tokens > lost_tokens_max)
        continue;
      if (best == _CS_NIL
          || _cs_better_victim (cs, v, lost_tokens, &cs->reqs[best],
                                best_lost_tokens))
        {
          best = s;
          best_lost_tokens = lost_tokens;
        }
    }
  *lost_tokens_out = best_lost_tokens;
  return best;
}

/* Stops one request so that R can be granted.  Prefers an engine where R would
   meet its first token target.  Returns false when there is nothing to
   stop.  */
static bool
_cs_preempt (cs_cell *cs, const _cs_req *r, const uint32_t *cached,
             bool prefill, bool near_deadline, uint64_t now_us)
{
  uint32_t best = _CS_NIL;
  double best_lost_tokens = 0;
  bool best_meets_target = false;
  /* A long prefill in progress is only discarded for a request that is about
     to miss its deadline: stops of such prefills were most of the prefill
     wasted in overload.  */
  double lost_tokens_max = _CS_STOP_LOST_PROMPTS_MAX * cs->mean_prompt_tokens;
  if (!prefill || near_deadline)
    lost_tokens_max = 1e30;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      double lost_tokens;
      if (!_cs_accepts (e, r))
        continue;
      uint32_t s = _cs_find_victim (cs, r, e, prefill, lost_tokens_max, now_us,
                                    &lost_tokens);
      if (s == _CS_NIL)
        continue;
      const _cs_req *v = &cs->reqs[s];
      double queue_us = e->prefill_until_us > now_us
                            ? (double)(e->prefill_until_us - now_us)
                            : 0;
      double first_us
          = queue_us - _cs_prefill_left_us (v, e, now_us)
            + _cs_prefill_tokens (r, e, cached[i]) * e->prefill_us_per_token
            + e->base_us + _CS_STOP_DELAY_US;
      bool meets_target
          = r->first_token_target_us == 0 || r->late
            || (double)now_us + first_us <= (double)r->first_token_target_us;
      if (prefill && !meets_target)
        continue;
      const _cs_req *b = best != _CS_NIL ? &cs->reqs[best] : NULL;
      bool better
          = b == NULL
            || _cs_better_victim (cs, v, lost_tokens, b, best_lost_tokens);
      if (b != NULL && v->tier == b->tier && meets_target != best_meets_target)
        better = meets_target;
      if (better)
        {
          best = s;
          best_lost_tokens = lost_tokens;
          best_meets_target = meets_target;
        }
    }
  if (best == _CS_NIL)
    return false;
  _cs_stop (cs, best);
  return true;
}

/* Assigns to R a slot that a stop in progress will free.  Returns false when
   there is none.  */
static bool
_cs_claim_stopping_slot (cs_cell *cs, const _cs_req *r)
{
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      _cs_engine *e = &cs->engines[i];
      if (_cs_accepts (e, r) && e->claimed < e->stopping)
        {
          e->claimed++;
          return true;
        }
    }
  return false;
}

static void
_cs_grant (cs_cell *cs, uint32_t req, const _cs_choice *c, uint64_t now_us)
{
  _cs_req *r = &cs->reqs[req];
  _cs_engine *e = &cs->engines[c->engine];
  cs_decision *d = _cs_emit (cs, CS_GRANT, r);
  d->engine = e->id;
  d->first_token_us = (uint64_t)c->first_us;
  d->cached_tokens = r->prompt_tokens - c->uncached;
  if (r->resume_of != 0 && r->resume_of != e->id)
    d->import_from = r->resume_of;
  _cs_charge (cs, r);
  _cs_waiting_remove (cs, req);
  uint64_t start_us
      = e->prefill_until_us > now_us ? e->prefill_until_us : now_us;
  double own_us = c->uncached * e->prefill_us_per_token;
  r->sample_tokens
      = (double)(start_us - now_us) / e->prefill_us_per_token + c->uncached;
  e->prefill_until_us = start_us + (uint64_t)own_us;
  r->has_long_prefill = _cs_is_long_prefill (cs, c->uncached, own_us);
  if (r->has_long_prefill)
    e->long_prefill_until_us = e->prefill_until_us;
  r->uncached_tokens = c->uncached;
  r->partly_cached = c->uncached < r->prompt_tokens;
  r->predicted_first_token_us
      = c->first_us < 4e9 ? (uint32_t)c->first_us : UINT32_MAX;
  r->granted_us = now_us;
  e->next_probe_us = now_us + cs->desc.probe_interval_us;
  _cs_running_add (cs, req, c->engine, now_us);
  for (uint32_t i = 0; i < r->prefix_count; i++)
    _cs_block_add (cs, r->prefixes[i].hash, c->engine);
  cs->counts.granted++;
}

/* Tries to grant the waiting request REQ; may refuse it or stop another one
   for it.  */
static _cs_try_result
_cs_try_grant (cs_cell *cs, uint32_t req, uint64_t now_us)
{
  _cs_req *r = &cs->reqs[req];
  double first_us, finish_us;
  if (!_cs_best_case (cs, r, &first_us, &finish_us))
    {
      _cs_refuse (cs, req, CS_REASON_NO_ENGINE);
      return _CS_REFUSED;
    }
  if (r->deadline_us > 0 && now_us + (uint64_t)finish_us > r->deadline_us)
    {
      _cs_refuse (cs, req, CS_REASON_DEADLINE);
      return _CS_REFUSED;
    }
  if (r->first_token_target_us > 0
      && now_us + (uint64_t)first_us > r->first_token_target_us)
    r->late = true;
  uint32_t cached[CS_ENGINES_MAX];
  _cs_estimate_cached_tokens (cs, r, cached);
  _cs_choice c = { 0 };
  if (cs->running < cs->desc.max_running)
    c = _cs_choose_engine (cs, r, cached, now_us);
  bool urgent = r->tier < cs->desc.strict_tiers;
  if (c.found && (c.meets_target || !urgent))
    {
      _cs_grant (cs, req, &c, now_us);
      return _CS_GRANTED;
    }
  if (!urgent)
    return _CS_WAIT;
  if (c.delayed_by_prefill && r->tier < cs->delayed_tier)
    cs->delayed_tier = r->tier;
  /* When a slot is free but its engine would be too late or has too much
     granted prefill, only a stop of lower-tier prefill helps.  */
  bool prefill = c.found || c.misses_deadline || c.delayed_by_prefill;
  bool near = r->deadline_us > 0
              && now_us + (uint64_t)finish_us + _CS_DEADLINE_NEAR_US
                     > r->deadline_us;
  if (_cs_claim_stopping_slot (cs, r)
      || _cs_preempt (cs, r, cached, prefill, near, now_us) || !c.found)
    return _CS_WAIT;
  _cs_grant (cs, req, &c, now_us);
  return _CS_GRANTED;
}

static void
_cs_stash (cs_cell *cs, uint32_t req)
{
  cs->reqs[req].stashed = true;
  cs->stash[cs->stash_len++] = req;
}

/* Removes the request of TIER whose turn it is from its heap and stashes it;
   returns _CS_NIL when none is left.  A request whose first token target has
   passed moves behind those that can still meet theirs.  */
static uint32_t
_cs_pop (cs_cell *cs, uint32_t tier, uint64_t now_us)
{
  for (;;)
    {
      uint32_t team = _cs_next_team (cs, &cs->tiers[tier]);
      if (team == _CS_NIL)
        return _CS_NIL;
      uint32_t req = cs->tiers[tier].teams[team].root;
      _cs_req *r = &cs->reqs[req];
      if (!r->late && r->first_token_target_us > 0
          && now_us > r->first_token_target_us)
        {
          _cs_heap_remove (cs, req);
          r->late = true;
          r->order_us = r->deadline_us > 0
                            ? r->deadline_us
                            : r->submit_us + cs->desc.implied_deadline_us;
          _cs_heap_add (cs, req);
          continue;
        }
      _cs_heap_remove (cs, req);
      _cs_stash (cs, req);
      return req;
    }
}

static bool
_cs_any_free_slot (const cs_cell *cs, uint32_t tier)
{
  if (cs->running >= cs->desc.max_running)
    return false;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (e->used && !e->removed && !e->leaving
          && _cs_has_free_slot (cs, e, tier))
        return true;
    }
  return false;
}

static bool
_cs_any_victim (const cs_cell *cs, uint32_t tier)
{
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!e->used || e->removed || e->leaving)
        continue;
      for (uint32_t t = tier + 1; t < CS_TIERS; t++)
        if (e->running_by_tier[t] > 0)
          return true;
    }
  return false;
}

static void
_cs_pass_urgent (cs_cell *cs, uint32_t tier, uint64_t now_us)
{
  uint32_t failures = 0;
  while (!_cs_decisions_full (cs))
    {
      bool victim = _cs_any_victim (cs, tier);
      if (!victim && !_cs_any_free_slot (cs, tier))
        return;
      if (!victim && failures >= _CS_PASS_FAILURES_MAX)
        return;
      uint32_t req = _cs_pop (cs, tier, now_us);
      if (req == _CS_NIL)
        return;
      if (_cs_try_grant (cs, req, now_us) == _CS_WAIT)
        failures++;
      else
        cs->stash_len--;
    }
  cs->dirty = true;
}

static uint32_t
_cs_oldest_unstashed (const cs_cell *cs, uint32_t tier)
{
  uint32_t req = cs->tiers[tier].oldest;
  while (req != _CS_NIL && cs->reqs[req].stashed)
    req = cs->reqs[req].later;
  return req;
}

/* Removes and stashes the next non-urgent request: the oldest one when it is
   past the ageing bound, else the one whose turn it is in the tier whose
   oldest request has the lowest aged rank.  */
static uint32_t
_cs_pop_non_urgent (cs_cell *cs, uint64_t now_us)
{
  uint32_t oldest = _CS_NIL, best_tier = CS_TIERS;
  uint64_t best_rank = UINT64_MAX;
  for (uint32_t t = cs->desc.strict_tiers; t < CS_TIERS; t++)
    {
      uint32_t req = _cs_oldest_unstashed (cs, t);
      if (req == _CS_NIL)
        continue;
      const _cs_req *r = &cs->reqs[req];
      if (oldest == _CS_NIL || r->seq < cs->reqs[oldest].seq)
        oldest = req;
      uint64_t rank
          = r->submit_us + (t - cs->desc.strict_tiers) * cs->desc.age_step_us;
      if (rank < best_rank)
        {
          best_rank = rank;
          best_tier = t;
        }
    }
  if (oldest == _CS_NIL)
    return _CS_NIL;
  if (now_us >= cs->reqs[oldest].submit_us + cs->desc.age_bound_us)
    {
      _cs_heap_remove (cs, oldest);
      _cs_stash (cs, oldest);
      return oldest;
    }
  return _cs_pop (cs, best_tier, now_us);
}

static void
_cs_pass_non_urgent (cs_cell *cs, uint64_t now_us)
{
  uint32_t failures = 0;
  while (!_cs_decisions_full (cs))
    {
      if (failures >= _CS_PASS_FAILURES_MAX
          || !_cs_any_free_slot (cs, CS_TIERS - 1))
        return;
      uint32_t req = _cs_pop_non_urgent (cs, now_us);
      if (req == _CS_NIL)
        return;
      if (_cs_try_grant (cs, req, now_us) == _CS_WAIT)
        failures++;
      else
        cs->stash_len--;
    }
  cs->dirty = true;
}

/* Makes grants, refusals and stops until no more are possible.  */
static void
_cs_pass (cs_cell *cs, uint64_t now_us)
{
  if (now_us < cs->desc.collect_until_us)
    return;
  cs->dirty = false;
  cs->delayed_tier = CS_TIERS;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      _cs_engine *e = &cs->engines[i];
      e->claimed = 0;
      if (e->external_running > 0
          && now_us > e->load_time_us + cs->desc.report_max_age_us)
        e->external_running = 0;
    }
  for (uint32_t t = 0; t < CS_TIERS; t++)
    {
      cs->tiers[t].saved_cursor = cs->tiers[t].cursor;
      cs->tiers[t].saved_round = cs->tiers[t].round;
    }
  for (uint32_t t = 0; t < cs->desc.strict_tiers; t++)
    _cs_pass_urgent (cs, t, now_us);
  _cs_pass_non_urgent (cs, now_us);
  for (uint32_t i = 0; i < cs->stash_len; i++)
    {
      cs->reqs[cs->stash[i]].stashed = false;
      _cs_heap_add (cs, cs->stash[i]);
    }
  cs->stash_len = 0;
  for (uint32_t t = 0; t < CS_TIERS; t++)
    if (cs->tiers[t].active_teams > 0)
      _cs_settle_credit (&cs->tiers[t], false);
  cs->next_pass_us = UINT64_MAX;
  uint64_t ahead = cs->desc.prefill_ahead_max_us;
  for (uint32_t i = 0; cs->waiting > 0 && i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      uint64_t at = UINT64_MAX;
      if (e->used && e->prefill_until_us > now_us + 2 * ahead)
        at = e->prefill_until_us - 2 * ahead;
      else if (e->used && e->prefill_until_us > now_us + ahead)
        at = e->prefill_until_us - ahead;
      cs->next_pass_us = at < cs->next_pass_us ? at : cs->next_pass_us;
    }
}

/* Interface.  */

static void
_cs_set_defaults (cs_desc *d)
{
#define _CS_DEFAULT(field, value) d->field = d->field > 0 ? d->field : (value)
  _CS_DEFAULT (max_engines, 16);
  _CS_DEFAULT (max_waiting, 4096);
  _CS_DEFAULT (max_running, 2048);
  _CS_DEFAULT (max_teams, 256);
  _CS_DEFAULT (max_prefixes, 16384);
  _CS_DEFAULT (strict_tiers, 2);
  _CS_DEFAULT (headroom_percent, 12);
  _CS_DEFAULT (quantum_tokens, 2048);
  _CS_DEFAULT (age_step_us, 5000000);
  _CS_DEFAULT (age_bound_us, 30000000);
  _CS_DEFAULT (implied_deadline_us, 30000000);
  _CS_DEFAULT (probe_interval_us, 1000000);
  _CS_DEFAULT (report_max_age_us, 5000000);
  _CS_DEFAULT (long_prefill_min_us, 150000);
  _CS_DEFAULT (prefill_ahead_max_us, 100000);
#undef _CS_DEFAULT
  if (d->max_engines > CS_ENGINES_MAX)
    d->max_engines = CS_ENGINES_MAX;
  if (d->strict_tiers > CS_TIERS)
    d->strict_tiers = CS_TIERS;
}

/* Makes a cell without engines.  Returns NULL when the given allocator is out
   of memory.  */
cs_cell *
cs_make (const cs_desc *desc)
{
  cs_desc d = *desc;
  _cs_set_defaults (&d);
  cs_cell *cs = al_alloc (&d.allocator, sizeof *cs);
  if (cs == NULL)
    return NULL;
  cs->desc = d;
  const al_allocator *al = &cs->desc.allocator;
  /* A removed engine occupies its entry until its requests end.  */
  cs->engine_capacity = d.max_engines * 2 < CS_ENGINES_MAX ? d.max_engines * 2
                                                           : CS_ENGINES_MAX;
  cs->req_capacity = d.max_waiting + 2 * d.max_running;
  cs->decision_capacity = cs->req_capacity;
  uint32_t map_size = 16;
  while (map_size < 2 * cs->req_capacity)
    map_size *= 2;
  cs->map_mask = map_size - 1;
  cs->block_sets = (d.max_prefixes + _CS_WAYS - 1) / _CS_WAYS;
  id_setup (&cs->engine_ids, &(id_desc){ .capacity = cs->engine_capacity,
                                         .allocator = d.allocator });
  cs->engines = al_alloc (al, cs->engine_capacity * sizeof (_cs_engine));
  cs->reqs = al_alloc (al, cs->req_capacity * sizeof (_cs_req));
  cs->map = al_alloc (al, map_size * sizeof (uint32_t));
  cs->blocks
      = al_alloc (al, (size_t)cs->block_sets * _CS_WAYS * sizeof (_cs_block));
  cs->decisions = al_alloc (al, cs->decision_capacity * sizeof (cs_decision));
  cs->stash = al_alloc (al, cs->req_capacity * sizeof (uint32_t));
  cs->weights = al_alloc (al, d.max_teams * sizeof (uint32_t));
  bool ok = cs->engine_ids.generations != NULL
            && cs->engine_ids.free_list != NULL && cs->engines != NULL
            && cs->reqs != NULL && cs->map != NULL && cs->blocks != NULL
            && cs->decisions != NULL && cs->stash != NULL
            && cs->weights != NULL;
  for (uint32_t t = 0; t < CS_TIERS; t++)
    {
      cs->tiers[t].teams
          = al_alloc (al, d.max_teams * sizeof (_cs_team_queue));
      ok = ok && cs->tiers[t].teams != NULL;
    }
  if (!ok)
    {
      cs_destroy (cs);
      return NULL;
    }
  for (uint32_t t = 0; t < CS_TIERS; t++)
    {
      cs->tiers[t].cursor = cs->tiers[t].saved_cursor = _CS_NIL;
      cs->tiers[t].oldest = cs->tiers[t].newest = _CS_NIL;
      for (uint32_t i = 0; i < d.max_teams; i++)
        cs->tiers[t].teams[i].root = _CS_NIL;
    }
  for (uint32_t i = 0; i < map_size; i++)
    cs->map[i] = _CS_NIL;
  for (uint32_t i = 0; i < d.max_teams; i++)
    cs->weights[i] = 1;
  cs->free_head = 0;
  for (uint32_t i = 0; i < cs->req_capacity; i++)
    cs->reqs[i].next = i + 1 < cs->req_capacity ? i + 1 : _CS_NIL;
  cs->mean_slot_us = 1000000;
  cs->mean_prompt_tokens = 512;
  for (uint32_t i = 0; i < CS_ROUTES_MAX; i++)
    cs->mean_output_tokens[i] = 128;
  return cs;
}

/* Frees CS; it may be NULL.  */
void
cs_destroy (cs_cell *cs)
{
  if (cs == NULL)
    return;
  al_allocator al = cs->desc.allocator;
  for (uint32_t t = 0; t < CS_TIERS; t++)
    al_free (&al, cs->tiers[t].teams);
  al_free (&al, cs->weights);
  al_free (&al, cs->stash);
  al_free (&al, cs->decisions);
  al_free (&al, cs->blocks);
  al_free (&al, cs->map);
  al_free (&al, cs->reqs);
  al_free (&al, cs->engines);
  id_shutdown (&cs->engine_ids);
  al_free (&al, cs);
}

static bool
_cs_validate_engine (const cs_engine_desc *desc)
{
  return desc->slots > 0 && desc->version_count <= CS_VERSIONS_MAX
         && desc->name.len > 0 && desc->name.len <= ST_NAME_MAX;
}

static void
_cs_engine_set (_cs_engine *e, const cs_engine_desc *desc)
{
  e->slots = desc->slots;
  e->leaving = desc->leaving;
  e->kv_capacity_tokens = desc->kv_tokens_max;
  e->version_count = desc->version_count;
  for (uint32_t i = 0; i < desc->version_count; i++)
    e->versions[i] = desc->versions[i];
}

/* Adds an engine.  Returns 0 when DESC is not valid, the name is already in
   use or the cell has max_engines engines.  */
id_handle
cs_make_engine (cs_cell *cs, const cs_engine_desc *desc, uint64_t now_us)
{
  if (!_cs_validate_engine (desc)
      || cs_query_engine_named (cs, desc->name) != 0)
    return 0;
  uint32_t live = 0;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    live += cs->engines[i].used && !cs->engines[i].removed;
  if (live >= cs->desc.max_engines)
    return 0;
  id_handle id = id_make (&cs->engine_ids);
  if (id == 0)
    return 0;
  _cs_engine *e = &cs->engines[id_index (id)];
  memset (e, 0, sizeof *e);
  if (!st_name_set (&e->name, desc->name))
    {
      id_destroy (&cs->engine_ids, id);
      return 0;
    }
  e->id = id;
  e->used = true;
  e->running_head = _CS_NIL;
  double rate = desc->prefill_tokens_s > 0 ? desc->prefill_tokens_s : 8000;
  e->prior_prefill_us_per_token = e->prefill_us_per_token = 1e6 / rate;
  e->base_us = desc->base_us > 0 ? (double)desc->base_us : 15000;
  e->itl_prior_us = desc->itl_us > 0 ? (double)desc->itl_us : 20000;
  e->itl_per_batch_us
      = desc->itl_per_batch_us > 0 ? (double)desc->itl_per_batch_us : 500;
  e->itl_scale = 1;
  for (uint32_t i = 0; i < CS_BATCH_BUCKETS; i++)
    e->itl_shape[i] = 1;
  e->next_probe_us = now_us + cs->desc.probe_interval_us;
  _cs_engine_set (e, desc);
  cs->dirty = true;
  return id;
}

/* Changes slots, versions, the KV cache limit and the leaving state; the name
   and the prior speeds do not change.  Returns false when ENGINE is not in the
   cell or DESC is not valid.  */
bool
cs_update_engine (cs_cell *cs, id_handle engine, const cs_engine_desc *desc,
                  uint64_t now_us)
{
  _cs_engine *e = _cs_engine_find (cs, engine);
  if (e == NULL || e->removed || !_cs_validate_engine (desc))
    return false;
  (void)now_us;
  _cs_engine_set (e, desc);
  cs->dirty = true;
  return true;
}

/* Removes a dead engine.  Requests granted to it end when their dispatchers
   call cs_done.  Returns false when ENGINE is not in the cell.  */
bool
cs_destroy_engine (cs_cell *cs, id_handle engine, uint64_t now_us)
{
  _cs_engine *e = _cs_engine_find (cs, engine);
  if (e == NULL || e->removed)
    return false;
  (void)now_us;
  e->removed = true;
  if (e->running == 0)
    _cs_engine_free (cs, e);
  cs->dirty = true;
  return true;
}

/* Applies a load report.  Requests on the engine beyond the grants of this
   cell at the time of the report are external load.  The lower value of the
   last two reports is used, because one report may fall between a grant and
   the arrival of its request.  A report older than the last one or than
   report_max_age_us is ignored and false is returned.  */
bool
cs_set_load (cs_cell *cs, id_handle engine, const cs_load *load,
             uint64_t now_us)
{
  _cs_engine *e = _cs_engine_find (cs, engine);
  if (e == NULL || load->time_us < e->load_time_us || load->time_us > now_us
      || load->time_us + cs->desc.report_max_age_us < now_us)
    return false;
  uint32_t own = _cs_running_at (e, load->time_us);
  uint32_t all = load->running + load->queued;
  uint32_t external_running = all > own ? all - own : 0;
  e->external_running = external_running < e->external_running_last
                            ? external_running
                            : e->external_running_last;
  e->external_running_last = external_running;
  e->load_time_us = load->time_us;
  cs->dirty = true;
  return true;
}

/* Records that ENGINE added or evicted the block HASH.  */
bool
cs_cache_event (cs_cell *cs, id_handle engine, uint64_t hash, bool added)
{
  _cs_engine *e = _cs_engine_find (cs, engine);
  if (e == NULL)
    return false;
  if (added)
    _cs_block_add (cs, hash, id_index (engine));
  else
    {
      _cs_block *b = _cs_block_find (cs, hash);
      if (b != NULL)
        {
          b->cached_on &= ~(1ull << id_index (engine));
          b->maybe_cached_on &= ~(1ull << id_index (engine));
        }
    }
  return true;
}

/* Records that cache events of ENGINE were lost: a block that it cached counts
   half until an event confirms it or a request with the block is granted to
   ENGINE.  */
bool
cs_cache_gap (cs_cell *cs, id_handle engine)
{
  if (_cs_engine_find (cs, engine) == NULL)
    return false;
  uint64_t bit = 1ull << id_index (engine);
  for (size_t i = 0; i < (size_t)cs->block_sets * _CS_WAYS; i++)
    if ((cs->blocks[i].cached_on & bit) != 0)
      {
        cs->blocks[i].cached_on &= ~bit;
        cs->blocks[i].maybe_cached_on |= bit;
      }
  return true;
}

/* Sets the weight of TEAM within each tier, 1 to 1000; the default is 1.  */
bool
cs_set_weight (cs_cell *cs, uint32_t team, uint32_t weight)
{
  if (team >= cs->desc.max_teams || weight < 1 || weight > 1000)
    return false;
  cs->weights[team] = weight;
  return true;
}

static bool
_cs_validate_request (const cs_cell *cs, const cs_request *q)
{
  return q->request != 0 && q->tier < CS_TIERS && q->team < cs->desc.max_teams
         && (q->prefix_count == 0 || q->prefixes != NULL);
}

static void
_cs_req_fill (const cs_cell *cs, _cs_req *r, const cs_request *q,
              uint64_t now_us)
{
  r->request = q->request;
  r->dispatcher = q->dispatcher;
  r->tier = (uint8_t)q->tier;
  r->team = q->team;
  r->route = q->route % CS_ROUTES_MAX;
  r->version = q->version;
  r->prompt_tokens = q->prompt_tokens;
  r->expected_tokens = q->expected_tokens > 0
                           ? q->expected_tokens
                           : (uint32_t)cs->mean_output_tokens[r->route];
  r->deadline_us = q->deadline_us;
  r->first_token_target_us = q->first_token_by_us;
  r->resume_of = q->resume_of;
  r->no_first_token_report = q->first_token_unreported;
  r->submit_us = now_us;
  r->order_us = r->first_token_target_us > 0 ? r->first_token_target_us
                : r->deadline_us > 0         ? r->deadline_us
                                     : now_us + cs->desc.implied_deadline_us;
  /* Takes the longest prefix and spreads the others evenly over the chain.  */
  uint32_t n = q->prefix_count;
  uint32_t kept = n < CS_PREFIX_MAX ? n : CS_PREFIX_MAX;
  for (uint32_t i = 0; i < kept; i++)
    r->prefixes[i] = q->prefixes[((uint64_t)(i + 1) * n) / kept - 1];
  r->prefix_count = (uint8_t)kept;
}

static void
_cs_req_set (cs_cell *cs, uint32_t req, const cs_request *q, uint64_t now_us)
{
  _cs_req_fill (cs, &cs->reqs[req], q, now_us);
  cs->reqs[req].seq = ++cs->seq;
}

/* True when a request of TIER for VERSION could take the slot of a running
   request of a lower tier that has not been stopped yet.  */
static bool
_cs_can_replace_running (const cs_cell *cs, uint32_t tier, uint64_t version)
{
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!e->used || e->removed || e->leaving
          || !_cs_has_version (e, version))
        continue;
      for (uint32_t t = tier + 1; t < CS_TIERS; t++)
        if (e->running_by_tier[t] > 0)
          return true;
    }
  return false;
}

/* Makes room for Q in a full queue.  Refuses the newest waiting request of the
   lowest tier; returns false when that is Q itself.  When that request is
   urgent and can replace running work, nothing is refused and Q may exceed the
   limit of the queue, because the replaced work frees a slot.  */
static bool
_cs_make_queue_room (cs_cell *cs, const cs_request *q)
{
  if (cs->waiting < cs->desc.max_waiting && cs->free_head != _CS_NIL)
    return true;
  uint32_t tier = CS_TIERS - 1;
  while (tier > q->tier && cs->tiers[tier].waiting == 0)
    tier--;
  uint32_t newest = tier > q->tier ? cs->tiers[tier].newest : _CS_NIL;
  uint64_t version = newest != _CS_NIL ? cs->reqs[newest].version : q->version;
  if (tier < cs->desc.strict_tiers && cs->free_head != _CS_NIL
      && _cs_can_replace_running (cs, tier, version))
    return true;
  if (newest == _CS_NIL)
    return false;
  _cs_refuse (cs, newest, CS_REASON_FULL);
  return true;
}

/* Queues a request; cs_next returns the decisions on it.  Returns false and
   does nothing when the buffer of decisions is full: call cs_next first.  */
bool
cs_submit (cs_cell *cs, const cs_request *request, uint64_t now_us)
{
  if (_cs_decisions_full (cs))
    return false;
  cs->counts.submitted++;
  bool valid = _cs_validate_request (cs, request);
  if (!valid || _cs_req_find (cs, request->request) != _CS_NIL
      || !_cs_make_queue_room (cs, request))
    {
      _cs_req r
          = { .request = request->request,
              .dispatcher = request->dispatcher,
              .tier = (uint8_t)(request->tier < CS_TIERS ? request->tier
                                                         : CS_TIERS - 1) };
      bool full = valid && _cs_req_find (cs, request->request) == _CS_NIL;
      _cs_emit_refuse (cs, &r, full ? CS_REASON_FULL : CS_REASON_INVALID);
      return true;
    }
  uint32_t req = _cs_req_make (cs);
  _cs_req_set (cs, req, request, now_us);
  _cs_map_add (cs, req);
  _cs_waiting_add (cs, req);
  double cut = _CS_LONG_RATIO * cs->mean_prompt_tokens;
  double tokens = request->prompt_tokens;
  cs->mean_prompt_tokens
      += 0.01 * ((tokens < cut ? tokens : cut) - cs->mean_prompt_tokens);
  if (cs->mean_prompt_tokens < 64)
    cs->mean_prompt_tokens = 64;
  cs->dirty = true;
  return true;
}

/* Cancels a waiting request; no decision follows.  Returns false when it is
   not waiting: a granted request ends with cs_done.  */
bool
cs_cancel (cs_cell *cs, uint64_t request, uint64_t now_us)
{
  uint32_t req = _cs_req_find (cs, request);
  (void)now_us;
  if (req == _CS_NIL || cs->reqs[req].state != _CS_WAITING)
    return false;
  _cs_waiting_remove (cs, req);
  _cs_req_free (cs, req);
  cs->counts.cancelled++;
  return true;
}

/* Records the first token of a granted request, FIRST_TOKEN_US after its
   dispatch.  Without these calls the prefill rates are learned at cs_done;
   with them an engine that is slow without reporting it is found from the
   first overdue responses.  Returns false when the request has no grant or had
   its first token.  */
bool
cs_first_token (cs_cell *cs, uint64_t request, uint64_t first_token_us,
                uint64_t now_us)
{
  uint32_t req = _cs_req_find (cs, request);
  if (req == _CS_NIL || cs->reqs[req].state == _CS_WAITING
      || cs->reqs[req].has_first_token)
    return false;
  _cs_req *r = &cs->reqs[req];
  _cs_engine *e = &cs->engines[r->engine];
  e->reports_first_token = true;
  _cs_learn_prefill_rate (e, r, first_token_us);
  r->has_first_token = true;
  e->first_token_at_us = now_us;
  _cs_on_prefill_done (cs, req, now_us);
  cs->dirty = true;
  return true;
}

static void
_cs_end_request (cs_cell *cs, uint32_t req, const cs_done_info *done,
                 uint64_t now_us)
{
  _cs_req *r = &cs->reqs[req];
  _cs_engine *e = &cs->engines[r->engine];
  if (!r->has_first_token)
    {
      if (done->first_token_us > 0)
        {
          _cs_learn_prefill_rate (e, r, done->first_token_us);
          _cs_on_prefill_done (cs, req, now_us);
        }
      else
        _cs_on_prefill_abandoned (cs, req, now_us);
    }
  if (done->itl_us > 0 && done->tokens > 1)
    _cs_learn_itl (e, done->itl_us);
  if (done->outcome == CS_ANSWERED)
    {
      cs->mean_slot_us
          += 0.05 * ((double)(now_us - r->granted_us) - cs->mean_slot_us);
      double *tokens = &cs->mean_output_tokens[r->route];
      *tokens += 0.05 * (done->tokens - *tokens);
      if (*tokens < 1)
        *tokens = 1;
    }
  if (done->outcome == CS_NOT_ADMITTED)
    {
      e->admission_backoff_us = e->admission_backoff_us * 2;
      if (e->admission_backoff_us < _CS_ADMISSION_BACKOFF_MIN_US)
        e->admission_backoff_us = _CS_ADMISSION_BACKOFF_MIN_US;
      if (e->admission_backoff_us > _CS_ADMISSION_BACKOFF_MAX_US)
        e->admission_backoff_us = _CS_ADMISSION_BACKOFF_MAX_US;
      e->admission_backoff_until_us = now_us + e->admission_backoff_us;
    }
  else if (done->outcome != CS_STOPPED)
    e->admission_backoff_us = 0;
  _cs_running_remove (cs, req, now_us);
  _cs_req_free (cs, req);
  cs->counts.done++;
  cs->dirty = true;
}

/* Ends a granted request and frees its slot.  Returns false when the request
   has no grant.  */
bool
cs_done (cs_cell *cs, uint64_t request, const cs_done_info *done,
         uint64_t now_us)
{
  uint32_t req = _cs_req_find (cs, request);
  if (req == _CS_NIL || cs->reqs[req].state == _CS_WAITING)
    return false;
  _cs_end_request (cs, req, done, now_us);
  return true;
}

/* Restores a grant that the previous cell owner made at GRANTED_US.  The
   request is running, even beyond the slots of the engine.  Returns false when
   the request is already in the cell or not valid, ENGINE is not in the cell,
   or there is no room.  */
bool
cs_restore_grant (cs_cell *cs, const cs_request *request, id_handle engine,
                  uint64_t granted_us, uint64_t now_us)
{
  _cs_engine *e = _cs_engine_find (cs, engine);
  if (e == NULL || e->removed || !_cs_validate_request (cs, request)
      || _cs_req_find (cs, request->request) != _CS_NIL
      || cs->running >= cs->desc.max_running)
    return false;
  uint32_t req = _cs_req_make (cs);
  if (req == _CS_NIL)
    return false;
  _cs_req_set (cs, req, request, now_us);
  _cs_map_add (cs, req);
  _cs_req *r = &cs->reqs[req];
  r->granted_us = granted_us < now_us ? granted_us : now_us;
  /* Its first token may have come before this owner took over the cell.  */
  r->no_first_token_report = true;
  r->uncached_tokens = r->prompt_tokens;
  double first_us = e->base_us + r->prompt_tokens * e->prefill_us_per_token;
  r->predicted_first_token_us
      = first_us < 4e9 ? (uint32_t)first_us : UINT32_MAX;
  _cs_running_add (cs, req, id_index (engine), now_us);
  cs->dirty = true;
  return true;
}

/* Cancels all waiting and running requests of a dead dispatcher.  */
void
cs_remove_dispatcher (cs_cell *cs, uint32_t dispatcher, uint64_t now_us)
{
  for (uint32_t i = 0; i < cs->req_capacity; i++)
    {
      _cs_req *r = &cs->reqs[i];
      if (r->state == _CS_FREE || r->dispatcher != dispatcher)
        continue;
      if (r->state == _CS_WAITING)
        cs_cancel (cs, r->request, now_us);
      else
        _cs_end_request (cs, i, &(cs_done_info){ .outcome = CS_CANCELLED },
                         now_us);
    }
}

/* Updates the learned rate and the predicted end of prefill of engine E from
   overdue first tokens.  The elapsed time is a lower bound of the time that
   the engine needs; the prefill is predicted to last as long again as it is
   overdue.  */
static void
_cs_learn_from_overdue (cs_cell *cs, _cs_engine *e, uint64_t now_us)
{
  double later_prefill_us = 0;
  uint64_t end_us = 0;
  const _cs_req *first = NULL;
  for (uint32_t s = e->running_head; s != _CS_NIL; s = cs->reqs[s].next)
    {
      const _cs_req *r = &cs->reqs[s];
      if (r->has_first_token || r->no_first_token_report)
        continue;
      double elapsed_us = (double)(now_us - r->granted_us);
      if (elapsed_us
          > r->predicted_first_token_us + (double)_CS_FIRST_TOKEN_OVERDUE_US)
        end_us = now_us + (uint64_t)later_prefill_us + (uint64_t)elapsed_us
                 - r->predicted_first_token_us;
      later_prefill_us += r->uncached_tokens * e->prefill_us_per_token;
      first = r;
    }
  /* Only the oldest prefill is used: the later ones wait for it.  */
  if (first != NULL && first->uncached_tokens >= _CS_RATE_SAMPLE_TOKENS_MIN)
    {
      uint64_t from_us = first->granted_us > e->first_token_at_us
                             ? first->granted_us
                             : e->first_token_at_us;
      double own_us
          = e->base_us + first->uncached_tokens * e->prefill_us_per_token;
      double elapsed_us = (double)(now_us - from_us);
      double bound_us_per_token
          = (elapsed_us - e->base_us) / first->uncached_tokens;
      double high_us_per_token = e->prior_prefill_us_per_token * 64;
      if (elapsed_us > 1.2 * own_us + 2.0 * _CS_FIRST_TOKEN_OVERDUE_US
          && bound_us_per_token > e->prefill_us_per_token)
        e->prefill_us_per_token = bound_us_per_token < high_us_per_token
                                      ? bound_us_per_token
                                      : high_us_per_token;
    }
  if (end_us > e->prefill_until_us)
    e->prefill_until_us = end_us;
}

/* Does the periodic work: refuses waiting requests that can no longer meet
   their deadline or have no engine, learns from overdue first tokens and marks
   slow engines.  Call it about every 50 ms.  */
void
cs_tick (cs_cell *cs, uint64_t now_us)
{
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    if (cs->engines[i].used && cs->engines[i].reports_first_token)
      _cs_learn_from_overdue (cs, &cs->engines[i], now_us);
  _cs_mark_slow (cs);
  cs->dirty = true;
  if (now_us < cs->desc.collect_until_us)
    return;
  uint32_t n = cs->req_capacity < _CS_TICK_SCAN_MAX ? cs->req_capacity
                                                    : _CS_TICK_SCAN_MAX;
  for (uint32_t i = 0; i < n && !_cs_decisions_full (cs); i++)
    {
      cs->scan_at = (cs->scan_at + 1) % cs->req_capacity;
      _cs_req *r = &cs->reqs[cs->scan_at];
      double first_us, finish_us;
      if (r->state != _CS_WAITING)
        continue;
      if (!_cs_best_case (cs, r, &first_us, &finish_us))
        _cs_refuse (cs, cs->scan_at, CS_REASON_NO_ENGINE);
      else if (r->deadline_us > 0
               && now_us + (uint64_t)finish_us > r->deadline_us)
        _cs_refuse (cs, cs->scan_at, CS_REASON_DEADLINE);
    }
}

/* Writes the next decision to DECISION and removes it from the cell.  Returns
   false when there is none at NOW_US.  */
bool
cs_next (cs_cell *cs, uint64_t now_us, cs_decision *decision)
{
  if (cs->decision_len == 0 && (cs->dirty || now_us >= cs->next_pass_us))
    _cs_pass (cs, now_us);
  if (cs->decision_len == 0)
    return false;
  *decision = cs->decisions[cs->decision_at];
  cs->decision_at = (cs->decision_at + 1) % cs->decision_capacity;
  cs->decision_len--;
  return true;
}

/* Number of waiting requests of TIER.  */
uint32_t
cs_query_waiting (const cs_cell *cs, uint32_t tier)
{
  return tier < CS_TIERS ? cs->tiers[tier].waiting : 0;
}

/* Number of requests of TIER that occupy a slot.  */
uint32_t
cs_query_running (const cs_cell *cs, uint32_t tier)
{
  return tier < CS_TIERS ? cs->tiers[tier].running : 0;
}

/* True when work of a tier below TIER runs on an engine with VERSION, or
   waits.  A dispatcher checks this for each cell that could run an urgent
   request before it refuses the request to the caller.  */
bool
cs_query_lower_tier_work (const cs_cell *cs, uint32_t tier, uint64_t version)
{
  if (tier >= CS_TIERS)
    return false;
  for (uint32_t t = tier + 1; t < CS_TIERS; t++)
    if (cs->tiers[t].waiting > 0)
      return true;
  return _cs_can_replace_running (cs, tier, version);
}

/* Predicted time to first token in microseconds if REQUEST were submitted to
   this cell at NOW_US.  Used to choose between cells; nothing is queued.
   Returns UINT64_MAX when no engine has the version or REQUEST is not
   valid.  */
uint64_t
cs_query_estimate (cs_cell *cs, const cs_request *request, uint64_t now_us)
{
  _cs_req r = { 0 };
  double first_us, finish_us;
  if (!_cs_validate_request (cs, request))
    return UINT64_MAX;
  _cs_req_fill (cs, &r, request, now_us);
  if (!_cs_best_case (cs, &r, &first_us, &finish_us))
    return UINT64_MAX;
  uint32_t cached[CS_ENGINES_MAX];
  _cs_estimate_cached_tokens (cs, &r, cached);
  /* Waiting prefill of the same and more urgent tiers, spread over the
     engines.  */
  double tokens = 0, tokens_per_us = 0;
  uint32_t ahead = 1, slots = 0;
  for (uint32_t t = 0; t <= r.tier; t++)
    {
      tokens += (double)cs->tiers[t].waiting_tokens;
      ahead += cs->tiers[t].waiting;
    }
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    if (_cs_accepts (&cs->engines[i], &r))
      {
        tokens_per_us += 1 / cs->engines[i].prefill_us_per_token;
        slots += cs->engines[i].slots;
      }
  double wait_us = tokens / tokens_per_us;
  cs->delayed_tier = CS_TIERS;
  _cs_choice c = _cs_choose_engine (cs, &r, cached, now_us);
  if (c.found)
    return (uint64_t)(c.first_us + wait_us);
  if (c.delayed_by_prefill)
    return (uint64_t)(first_us + wait_us
                      + (double)cs->desc.prefill_ahead_max_us);
  if (r.tier < cs->desc.strict_tiers
      && _cs_can_replace_running (cs, r.tier, r.version))
    return (uint64_t)(first_us + wait_us + _CS_STOP_DELAY_US);
  double turn_us = ahead * cs->mean_slot_us / (slots > 0 ? slots : 1);
  return (uint64_t)(first_us + (wait_us > turn_us ? wait_us : turn_us));
}

/* Fills VIEW.  Returns false when ENGINE is not in the cell.  */
bool
cs_query_engine (const cs_cell *cs, id_handle engine, cs_engine_view *view)
{
  const _cs_engine *e = _cs_engine_find (cs, engine);
  if (e == NULL || e->removed)
    return false;
  *view = (cs_engine_view){
    .name = e->name,
    .slots = e->slots,
    .running = e->running,
    .external_running = e->external_running,
    .leaving = e->leaving,
    .slow = e->slow,
    .prefill_tokens_s = 1e6 / e->prefill_us_per_token,
    .itl_us = (uint64_t)_cs_itl_us (e, _cs_engine_load (e)),
    .batch1_itl_us = (uint64_t)_cs_itl_us (e, 1),
    .prefill_end_us = e->prefill_until_us,
    .base_us = (uint64_t)e->base_us,
  };
  return true;
}

/* Handle of the engine with this name; 0 when there is none.  */
id_handle
cs_query_engine_named (const cs_cell *cs, st_str name)
{
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (e->used && !e->removed && st_equal (st_name_str (&e->name), name))
        return e->id;
    }
  return 0;
}

/* Numbers of requests since cs_make.  */
cs_counts
cs_query_counts (const cs_cell *cs)
{
  return cs->counts;
}
