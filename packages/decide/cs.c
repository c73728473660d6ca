#include "cs.h"

#include <string.h>

#define _CS_NIL UINT32_MAX
#define _CS_WAYS 8
#define _CS_HISTORY 64
/* Failed placements of one tier in one pass; bounds the work of a pass when
   the requests at the front need an engine that is full.  */
#define _CS_PASS_FAILURES 64
/* Requests examined for expiry by one tick.  */
#define _CS_TICK_SCAN 512
/* Time from a STOP to the free slot, used to predict a first token.  */
#define _CS_STOP_US 20000
/* Prefill left below this is not worth a stop.  */
#define _CS_STOP_PREFILL_US 50000
/* Prefill, in usual prompts, that is given up to bring a first token
   forward.  */
#define _CS_STOP_LOST 2.0
/* A request with less slack than this is about to miss its deadline.  */
#define _CS_NEAR_US 500000
/* First tokens this late are overdue; less is the length of an iteration.  */
#define _CS_OVERDUE_US 30000
#define _CS_REFUSED_MIN_US 20000
#define _CS_REFUSED_MAX_US 1000000
#define _CS_RETRY_MIN_MS 200
#define _CS_RETRY_MAX_MS 60000
/* An import of KV cache costs this fraction of the prefill it saves.  */
#define _CS_IMPORT_COST 0.25
/* A prompt this many times the usual one is long.  */
#define _CS_LONG_RATIO 8.0
/* Learned times this far above the best engine's ratio mark a slow one.  */
#define _CS_SLOW_RATIO 2.0
/* Samples with less prefill say more about the base than the rate.  */
#define _CS_RATE_TOKENS 64.0
/* Most that one sample may say, as a multiple of the learned time.  */
#define _CS_RATE_RISE 4.0

enum
{
  _CS_FREE = 0,
  _CS_WAITING,
  _CS_RUNNING,
  _CS_STOPPING
};

typedef enum
{
  _CS_PLACED,
  _CS_REFUSED,
  _CS_WAIT
} _cs_result;

typedef struct
{
  uint64_t request;
  uint64_t version;
  uint64_t deadline_us;
  uint64_t first_by_us;
  uint64_t submit_us;
  uint64_t key; /* order within the team: earliest first */
  uint64_t seq;
  uint64_t granted_us;
  id_handle resume_of;
  cs_prefix prefixes[CS_PREFIX_MAX];
  double sample_tokens; /* prefill ahead of and in this request */
  uint32_t holder;
  uint32_t team;
  uint32_t route;
  uint32_t prompt_tokens;
  uint32_t expected_tokens;
  uint32_t uncached_tokens;
  uint32_t first_token_us; /* predicted */
  uint32_t engine;
  /* Pairing heap of the team while waiting; list of the engine while
     running.  */
  uint32_t child, next, prev;
  /* Requests of the tier in order of submission, while waiting.  */
  uint32_t later, earlier;
  uint8_t tier;
  uint8_t state;
  uint8_t prefix_count;
  bool late;    /* the first token target has passed */
  bool stashed; /* out of its heap for the rest of the pass */
  bool has_first_token;
  bool unreported; /* no cs_first_token will come */
  bool is_long;
  bool cached_part; /* part of the prompt was expected in the cache */
} _cs_req;

typedef struct
{
  uint64_t time_us;
  uint32_t count;
} _cs_sample;

typedef struct
{
  id_handle id;
  st_name name;
  uint64_t versions[CS_VERSIONS_MAX];
  uint32_t version_count;
  uint32_t slots;
  bool used;
  bool leaving;
  bool gone;
  bool slow;
  bool reports_first_token;
  uint64_t kv_max;
  uint64_t kv_used;
  double prior_us_per_token;
  double us_per_token;
  double base_us;
  double itl_prior_us;
  double itl_per_batch_us;
  double itl_scale;
  double itl_shape[CS_BATCH_BUCKETS];
  uint64_t busy_until_us; /* end of the prefill granted so far */
  uint64_t long_until_us; /* end of the last long prefill */
  uint64_t refused_until_us;
  uint64_t refused_step_us;
  uint64_t probe_at_us;
  uint64_t first_token_at_us; /* of the last one seen */
  uint64_t load_time_us;
  uint32_t foreign;
  uint32_t foreign_last;
  uint32_t running; /* granted and not done, with the stopping ones */
  uint32_t stopping;
  uint32_t by_tier[CS_TIERS]; /* running and not stopping */
  uint32_t head;              /* list of running requests */
  _cs_sample history[_CS_HISTORY];
  uint32_t history_len, history_at;
  uint32_t claimed; /* stopping slots matched in the present pass */
} _cs_engine;

typedef struct
{
  uint32_t root;
  uint32_t count; /* waiting, with the stashed ones */
  uint32_t ring_next, ring_prev;
  uint64_t idle_round;
  int64_t deficit;
  int64_t saved; /* deficit before the present turn */
  bool changed;  /* SAVED is set */
} _cs_queue;

typedef struct
{
  _cs_queue *teams;
  uint32_t cursor; /* team in turn, _CS_NIL when none is active */
  uint32_t active; /* teams with work waiting */
  uint32_t ready;  /* of these, the ones that are not all stashed */
  uint64_t round;
  uint32_t saved_cursor;
  uint64_t saved_round;
  uint32_t oldest, newest;
  uint32_t waiting;
  uint64_t waiting_tokens; /* prompts of these */
  uint32_t running;        /* with the stopping ones */
} _cs_tier;

typedef struct
{
  uint64_t hash;
  uint64_t have;  /* engines that hold the block */
  uint64_t doubt; /* engines that held it before a gap in their events */
  uint64_t stamp;
} _cs_block;

struct cs_cell
{
  cs_desc desc;
  id_pool engine_ids;
  _cs_engine *engines;
  uint32_t engine_capacity;
  _cs_req *reqs;
  uint32_t req_capacity;
  uint32_t free_head;
  uint32_t waiting;
  uint32_t running;
  uint32_t *map; /* request handle -> slot, open addressing */
  uint32_t map_mask;
  _cs_tier tiers[CS_TIERS];
  uint32_t *weights;
  _cs_block *blocks;
  uint32_t block_sets;
  uint64_t block_stamp;
  cs_decision *ring;
  uint32_t ring_capacity, ring_at, ring_len;
  uint32_t *stash;
  uint32_t stash_len;
  uint64_t seq;
  uint32_t scan_at;
  bool dirty;
  uint32_t held_tier;  /* most urgent tier held back in the present pass */
  uint64_t wake_us;    /* when an engine has room for more prefill */
  double service_us;   /* mean time in a slot */
  double usual_tokens; /* mean prompt, long ones cut */
  double route_tokens[CS_ROUTES_MAX];
  cs_counts counts;
};

typedef struct
{
  uint32_t engine;
  double first_us;
  double finish_us;
  uint32_t uncached;
  bool found;
  bool meets;
  bool misses_deadline; /* an engine was passed over for the deadline */
  bool held;            /* one was passed over for its prefill */
} _cs_choice;

/* Requests by handle.  */

static uint32_t
_cs_mix (uint64_t x)
{
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdull;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ull;
  return (uint32_t)(x ^ x >> 33);
}

static uint32_t
_cs_find (const cs_cell *cs, uint64_t request)
{
  uint32_t i = _cs_mix (request) & cs->map_mask;
  while (cs->map[i] != _CS_NIL)
    {
      if (cs->reqs[cs->map[i]].request == request)
        return cs->map[i];
      i = (i + 1) & cs->map_mask;
    }
  return _CS_NIL;
}

static void
_cs_map_add (cs_cell *cs, uint32_t slot)
{
  uint32_t i = _cs_mix (cs->reqs[slot].request) & cs->map_mask;
  while (cs->map[i] != _CS_NIL)
    i = (i + 1) & cs->map_mask;
  cs->map[i] = slot;
}

/* Removes SLOT and moves later entries of its run back, so that no marker
   of a removed entry is needed.  */
static void
_cs_map_remove (cs_cell *cs, uint32_t slot)
{
  uint32_t i = _cs_mix (cs->reqs[slot].request) & cs->map_mask;
  while (cs->map[i] != slot)
    i = (i + 1) & cs->map_mask;
  uint32_t hole = i;
  for (;;)
    {
      i = (i + 1) & cs->map_mask;
      if (cs->map[i] == _CS_NIL)
        break;
      uint32_t home = _cs_mix (cs->reqs[cs->map[i]].request) & cs->map_mask;
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
  uint32_t slot = cs->free_head;
  if (slot != _CS_NIL)
    {
      cs->free_head = cs->reqs[slot].next;
      memset (&cs->reqs[slot], 0, sizeof (_cs_req));
    }
  return slot;
}

static void
_cs_req_free (cs_cell *cs, uint32_t slot)
{
  _cs_map_remove (cs, slot);
  cs->reqs[slot].state = _CS_FREE;
  cs->reqs[slot].request = 0;
  cs->reqs[slot].next = cs->free_head;
  cs->free_head = slot;
}

/* Queue of a team: a pairing heap over links in the requests.  */

static bool
_cs_before (const cs_cell *cs, uint32_t a, uint32_t b)
{
  const _cs_req *x = &cs->reqs[a], *y = &cs->reqs[b];
  return x->key != y->key ? x->key < y->key : x->seq < y->seq;
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

/* Merges the siblings from FIRST on in pairs, then the pairs.  */
static uint32_t
_cs_heap_combine (cs_cell *cs, uint32_t first)
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
_cs_ring_add (_cs_tier *tier, uint32_t team)
{
  _cs_queue *q = &tier->teams[team];
  if (tier->cursor == _CS_NIL)
    {
      q->ring_next = q->ring_prev = team;
      tier->cursor = team;
    }
  else
    {
      _cs_queue *at = &tier->teams[tier->cursor];
      q->ring_next = tier->cursor;
      q->ring_prev = at->ring_prev;
      tier->teams[at->ring_prev].ring_next = team;
      at->ring_prev = team;
    }
  tier->active++;
}

static void
_cs_ring_remove (_cs_tier *tier, uint32_t team)
{
  _cs_queue *q = &tier->teams[team];
  if (q->ring_next == team)
    tier->cursor = _CS_NIL;
  else
    {
      tier->teams[q->ring_prev].ring_next = q->ring_next;
      tier->teams[q->ring_next].ring_prev = q->ring_prev;
      if (tier->cursor == team)
        tier->cursor = q->ring_next;
    }
  tier->active--;
}

static int64_t
_cs_quantum (const cs_cell *cs, uint32_t team)
{
  return (int64_t)cs->desc.quantum_tokens * cs->weights[team];
}

/* Puts a waiting request into the heap of its team.  */
static void
_cs_heap_add (cs_cell *cs, uint32_t slot)
{
  _cs_req *r = &cs->reqs[slot];
  _cs_tier *tier = &cs->tiers[r->tier];
  _cs_queue *q = &tier->teams[r->team];
  r->child = r->next = r->prev = _CS_NIL;
  if (q->root == _CS_NIL)
    tier->ready++;
  q->root = _cs_heap_merge (cs, q->root, slot);
}

static void
_cs_heap_remove (cs_cell *cs, uint32_t slot)
{
  _cs_req *r = &cs->reqs[slot];
  _cs_tier *tier = &cs->tiers[r->tier];
  _cs_queue *q = &tier->teams[r->team];
  uint32_t sub = _cs_heap_combine (cs, r->child);
  if (q->root == slot)
    q->root = sub;
  else
    {
      if (cs->reqs[r->prev].child == slot)
        cs->reqs[r->prev].child = r->next;
      else
        cs->reqs[r->prev].next = r->next;
      if (r->next != _CS_NIL)
        cs->reqs[r->next].prev = r->prev;
      q->root = _cs_heap_merge (cs, q->root, sub);
    }
  r->child = r->next = r->prev = _CS_NIL;
  if (q->root == _CS_NIL)
    tier->ready--;
}

/* Adds a waiting request to its tier and team.  A team that was idle keeps
   its debt, less what the rounds since then would have given it.  */
static void
_cs_wait_add (cs_cell *cs, uint32_t slot)
{
  _cs_req *r = &cs->reqs[slot];
  _cs_tier *tier = &cs->tiers[r->tier];
  _cs_queue *q = &tier->teams[r->team];
  if (q->count == 0 && q->deficit < 0)
    {
      uint64_t rounds = tier->round - q->idle_round;
      int64_t gain = rounds > 1u << 20
                         ? -q->deficit
                         : (int64_t)rounds * _cs_quantum (cs, r->team);
      q->deficit = q->deficit + gain < 0 ? q->deficit + gain : 0;
    }
  if (q->count++ == 0)
    _cs_ring_add (tier, r->team);
  _cs_heap_add (cs, slot);
  r->state = _CS_WAITING;
  r->later = _CS_NIL;
  r->earlier = tier->newest;
  if (tier->newest != _CS_NIL)
    cs->reqs[tier->newest].later = slot;
  else
    tier->oldest = slot;
  tier->newest = slot;
  tier->waiting++;
  tier->waiting_tokens += r->prompt_tokens;
  cs->waiting++;
}

/* Takes a waiting request out of its tier and team.  */
static void
_cs_wait_remove (cs_cell *cs, uint32_t slot)
{
  _cs_req *r = &cs->reqs[slot];
  _cs_tier *tier = &cs->tiers[r->tier];
  _cs_queue *q = &tier->teams[r->team];
  if (!r->stashed)
    _cs_heap_remove (cs, slot);
  if (--q->count == 0)
    {
      q->idle_round = tier->round;
      if (q->deficit > 0)
        q->deficit = 0;
      q->changed = false;
      _cs_ring_remove (tier, r->team);
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
_cs_give (_cs_queue *q, int64_t tokens)
{
  if (!q->changed)
    {
      q->changed = true;
      q->saved = q->deficit;
    }
  q->deficit += tokens;
}

/* Team whose turn it is: deficit round robin in which a team is served while
   its deficit is above zero and may go below by one request.  Teams whose
   requests are all stashed are passed over.  */
static uint32_t
_cs_next_team (cs_cell *cs, _cs_tier *tier)
{
  if (tier->ready == 0)
    return _CS_NIL;
  for (;;)
    {
      for (uint32_t i = 0; i < tier->active; i++)
        {
          uint32_t team = tier->cursor;
          _cs_queue *q = &tier->teams[team];
          if (q->root != _CS_NIL)
            {
              if (q->deficit <= 0)
                _cs_give (q, _cs_quantum (cs, team));
              if (q->deficit > 0)
                return team;
            }
          tier->cursor = q->ring_next;
        }
      /* All teams are in debt by more than a quantum: gives all of them the
         rounds after which the first one is served.  */
      int64_t rounds = INT64_MAX;
      uint32_t team = tier->cursor;
      for (uint32_t i = 0; i < tier->active; i++)
        {
          const _cs_queue *q = &tier->teams[team];
          int64_t n = -q->deficit / _cs_quantum (cs, team);
          if (q->root != _CS_NIL && n < rounds)
            rounds = n;
          team = q->ring_next;
        }
      for (uint32_t i = 0; i < tier->active; i++)
        {
          _cs_queue *q = &tier->teams[team];
          if (q->root != _CS_NIL)
            _cs_give (q, rounds * _cs_quantum (cs, team));
          team = q->ring_next;
        }
      tier->round += (uint64_t)rounds + 1;
    }
}

/* Keeps what _cs_next_team gave, or takes it back when no request was placed
   since: a pass that grants nothing must not pay off the debt of a team.  */
static void
_cs_end_turn (_cs_tier *tier, bool keep)
{
  uint32_t team = tier->cursor;
  for (uint32_t i = 0; i < tier->active; i++)
    {
      _cs_queue *q = &tier->teams[team];
      if (q->changed && !keep)
        q->deficit = q->saved;
      q->changed = false;
      team = q->ring_next;
    }
  if (!keep && tier->saved_cursor != _CS_NIL
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
  _cs_queue *q = &tier->teams[r->team];
  q->deficit -= (int64_t)r->prompt_tokens + r->expected_tokens;
  if (q->deficit <= 0 && tier->cursor == r->team)
    {
      tier->cursor = q->ring_next;
      tier->round++;
    }
  _cs_end_turn (tier, true);
}

/* Prefix blocks: a set-associative table that forgets the least recently
   used hash of a set.  */

static _cs_block *
_cs_block_find (cs_cell *cs, uint64_t hash)
{
  _cs_block *set
      = &cs->blocks[(size_t)(_cs_mix (hash) % cs->block_sets) * _CS_WAYS];
  for (int i = 0; i < _CS_WAYS; i++)
    if (set[i].hash == hash && (set[i].have | set[i].doubt) != 0)
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
          = &cs->blocks[(size_t)(_cs_mix (hash) % cs->block_sets) * _CS_WAYS];
      b = &set[0];
      for (int i = 0; i < _CS_WAYS; i++)
        {
          if ((set[i].have | set[i].doubt) == 0)
            {
              b = &set[i];
              break;
            }
          if (set[i].stamp < b->stamp)
            b = &set[i];
        }
      *b = (_cs_block){ .hash = hash };
    }
  b->have |= 1ull << engine;
  b->doubt &= ~(1ull << engine);
  b->stamp = ++cs->block_stamp;
}

/* Expected cached tokens of R on every engine.  A block known only from
   before a gap counts half.  */
static void
_cs_cached (cs_cell *cs, const _cs_req *r, uint32_t cached[CS_ENGINES_MAX])
{
  memset (cached, 0, sizeof (uint32_t) * cs->engine_capacity);
  for (uint32_t i = 0; i < r->prefix_count; i++)
    {
      _cs_block *b = _cs_block_find (cs, r->prefixes[i].hash);
      if (b == NULL)
        continue;
      b->stamp = ++cs->block_stamp;
      for (uint64_t m = b->have | b->doubt; m != 0; m &= m - 1)
        {
          uint32_t e = (uint32_t)__builtin_ctzll (m);
          uint32_t tokens = r->prefixes[i].tokens;
          if ((b->have >> e & 1) == 0)
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
_cs_engine_of (const cs_cell *cs, id_handle id)
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
_cs_takes (const _cs_engine *e, const _cs_req *r)
{
  return e->used && !e->gone && !e->leaving && _cs_has_version (e, r->version);
}

static uint32_t
_cs_bucket (uint32_t batch)
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
         * e->itl_shape[_cs_bucket (batch)];
}

static uint32_t
_cs_limit (const cs_cell *cs, const _cs_engine *e, uint32_t tier)
{
  if (tier < cs->desc.strict_tiers || cs->desc.headroom_percent == CS_NONE
      || e->slots < 2)
    return e->slots;
  uint32_t kept = (e->slots * cs->desc.headroom_percent + 99) / 100;
  return kept < e->slots ? e->slots - kept : 1;
}

static uint32_t
_cs_load (const _cs_engine *e)
{
  return e->running + e->foreign;
}

static bool
_cs_free_slot (const cs_cell *cs, const _cs_engine *e, uint32_t tier)
{
  return _cs_load (e) < _cs_limit (cs, e, tier);
}

static void
_cs_note_running (_cs_engine *e, uint64_t now_us)
{
  e->history[e->history_at] = (_cs_sample){ now_us, e->running };
  e->history_at = (e->history_at + 1) % _CS_HISTORY;
  if (e->history_len < _CS_HISTORY)
    e->history_len++;
}

/* Requests of this cell that were running on E at TIME_US.  */
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
_cs_run_add (cs_cell *cs, uint32_t slot, uint32_t engine, uint64_t now_us)
{
  _cs_req *r = &cs->reqs[slot];
  _cs_engine *e = &cs->engines[engine];
  r->state = _CS_RUNNING;
  r->engine = engine;
  r->child = r->prev = _CS_NIL;
  r->next = e->head;
  if (e->head != _CS_NIL)
    cs->reqs[e->head].prev = slot;
  e->head = slot;
  e->running++;
  e->by_tier[r->tier]++;
  e->kv_used += (uint64_t)r->prompt_tokens + r->expected_tokens;
  cs->tiers[r->tier].running++;
  cs->running++;
  _cs_note_running (e, now_us);
}

static void
_cs_engine_free (cs_cell *cs, _cs_engine *e)
{
  uint64_t mask = ~(1ull << id_index (e->id));
  for (size_t i = 0; i < (size_t)cs->block_sets * _CS_WAYS; i++)
    {
      cs->blocks[i].have &= mask;
      cs->blocks[i].doubt &= mask;
    }
  id_destroy (&cs->engine_ids, e->id);
  e->used = false;
}

static void
_cs_run_remove (cs_cell *cs, uint32_t slot, uint64_t now_us)
{
  _cs_req *r = &cs->reqs[slot];
  _cs_engine *e = &cs->engines[r->engine];
  if (r->prev != _CS_NIL)
    cs->reqs[r->prev].next = r->next;
  else
    e->head = r->next;
  if (r->next != _CS_NIL)
    cs->reqs[r->next].prev = r->prev;
  e->running--;
  if (r->state == _CS_STOPPING)
    e->stopping--;
  else
    e->by_tier[r->tier]--;
  e->kv_used -= (uint64_t)r->prompt_tokens + r->expected_tokens;
  cs->tiers[r->tier].running--;
  cs->running--;
  _cs_note_running (e, now_us);
  if (e->gone && e->running == 0)
    _cs_engine_free (cs, e);
}

/* Prefill of R that its engine has still to do, in microseconds.  */
static double
_cs_prefill_left_us (const _cs_req *r, const _cs_engine *e, uint64_t now_us)
{
  if (r->has_first_token)
    return 0;
  uint64_t end = r->granted_us + r->first_token_us;
  if (end <= now_us)
    return 0;
  double left = (double)(end - now_us);
  double own = r->uncached_tokens * e->us_per_token;
  return left < own ? left : own;
}

/* True when R's prefill has to be counted.  Without a report it is taken as
   done at the predicted time.  */
static bool
_cs_in_prefill (const _cs_req *r, uint64_t now_us)
{
  return !r->has_first_token
         && (!r->unreported || now_us < r->granted_us + r->first_token_us);
}

/* Learns the prefill rate from one first token time.  A part expected in
   the cache may have been evicted, so such samples weigh less.  */
static void
_cs_learn_first (_cs_engine *e, const _cs_req *r, uint64_t first_us)
{
  if (r->sample_tokens < _CS_RATE_TOKENS)
    return;
  double us = (double)first_us - e->base_us;
  double seen = (us > 1 ? us : 1) / r->sample_tokens;
  double low = e->prior_us_per_token / 8, high = e->prior_us_per_token * 64;
  seen = seen < low ? low : seen > high ? high : seen;
  /* One sample may be wrong about the prefill that was ahead of it.  */
  if (seen > _CS_RATE_RISE * e->us_per_token)
    seen = _CS_RATE_RISE * e->us_per_token;
  double weight = r->cached_part ? 0.05 : 0.2;
  e->us_per_token += weight * (seen - e->us_per_token);
}

/* Corrects the end of the engine's prefill when the prefill of SLOT is known
   to be over or will not be done: only the requests granted after it, which
   come before it in the list, are still to be done.  Without reports of
   first tokens some of these may be over too, so the end only moves back.  */
static void
_cs_prefill_over (cs_cell *cs, uint32_t slot, uint64_t now_us)
{
  _cs_engine *e = &cs->engines[cs->reqs[slot].engine];
  double left_us = 0;
  bool is_long = false;
  for (uint32_t s = e->head; s != slot; s = cs->reqs[s].next)
    if (_cs_in_prefill (&cs->reqs[s], now_us))
      {
        left_us += cs->reqs[s].uncached_tokens * e->us_per_token;
        is_long = is_long || cs->reqs[s].is_long;
      }
  uint64_t end = now_us + (uint64_t)left_us;
  if (e->reports_first_token || end < e->busy_until_us)
    e->busy_until_us = end;
  if (!is_long)
    e->long_until_us = now_us;
  else if (e->long_until_us > end)
    e->long_until_us = end;
}

/* Corrects the end of the engine's prefill when SLOT leaves without a first
   token: its part is not done, and no more is left than what the others
   need.  */
static void
_cs_prefill_dropped (cs_cell *cs, uint32_t slot, uint64_t now_us)
{
  const _cs_req *r = &cs->reqs[slot];
  _cs_engine *e = &cs->engines[r->engine];
  double others_us = 0;
  bool is_long = false;
  for (uint32_t s = e->head; s != _CS_NIL; s = cs->reqs[s].next)
    if (s != slot && _cs_in_prefill (&cs->reqs[s], now_us))
      {
        others_us += cs->reqs[s].uncached_tokens * e->us_per_token;
        is_long = is_long || cs->reqs[s].is_long;
      }
  uint64_t own_us = (uint64_t)_cs_prefill_left_us (r, e, now_us);
  uint64_t most = now_us + (uint64_t)others_us;
  if (e->busy_until_us > now_us + own_us)
    e->busy_until_us -= own_us;
  else if (e->busy_until_us > now_us)
    e->busy_until_us = now_us;
  if (e->busy_until_us > most)
    e->busy_until_us = most;
  if (!is_long)
    e->long_until_us = now_us;
}

static void
_cs_learn_itl (_cs_engine *e, uint64_t itl_us)
{
  uint32_t batch = e->running > 0 ? e->running : 1;
  uint32_t b = _cs_bucket (batch);
  double prior = e->itl_prior_us + e->itl_per_batch_us * (batch - 1);
  double ratio = (double)itl_us / prior;
  ratio = ratio < 0.05 ? 0.05 : ratio > 64 ? 64 : ratio;
  e->itl_scale += 0.2 * (ratio / e->itl_shape[b] - e->itl_scale);
  double shape = ratio / e->itl_scale;
  shape = shape < 0.25 ? 0.25 : shape > 4 ? 4 : shape;
  e->itl_shape[b] += 0.02 * (shape - e->itl_shape[b]);
}

/* Marks the engines that are slow against the best one, each measured
   against its own prior speeds.  */
static void
_cs_mark_slow (cs_cell *cs)
{
  double best_prefill = 1e30, best_itl = 1e30;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!e->used || e->gone)
        continue;
      double p = e->us_per_token / e->prior_us_per_token;
      best_prefill = p < best_prefill ? p : best_prefill;
      best_itl = e->itl_scale < best_itl ? e->itl_scale : best_itl;
    }
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      _cs_engine *e = &cs->engines[i];
      if (e->used)
        e->slow = e->us_per_token / e->prior_us_per_token
                      > _CS_SLOW_RATIO * best_prefill
                  || e->itl_scale > _CS_SLOW_RATIO * best_itl;
    }
}

/* Decisions.  */

static bool
_cs_ring_full (const cs_cell *cs)
{
  return cs->ring_len == cs->ring_capacity;
}

static cs_decision *
_cs_emit (cs_cell *cs, cs_kind kind, const _cs_req *r)
{
  uint32_t at = (cs->ring_at + cs->ring_len++) % cs->ring_capacity;
  cs->ring[at] = (cs_decision){
    .kind = kind, .request = r->request, .holder = r->holder, .tier = r->tier
  };
  return &cs->ring[at];
}

/* Time after which a refused caller should return: the time that the
   waiting work needs, so that callers of a long queue return spread out.  */
static uint32_t
_cs_retry_after_ms (const cs_cell *cs)
{
  uint32_t slots = 0;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    if (cs->engines[i].used && !cs->engines[i].leaving)
      slots += cs->engines[i].slots;
  double ms = _CS_RETRY_MIN_MS
              + cs->waiting * cs->service_us / 1000 / (slots > 0 ? slots : 1);
  return ms < _CS_RETRY_MAX_MS ? (uint32_t)ms : _CS_RETRY_MAX_MS;
}

static bool
_cs_lower_work (const cs_cell *cs, uint32_t tier)
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
  d->lower_tier_runs = _cs_lower_work (cs, r->tier);
  cs->counts.refused++;
}

static void
_cs_refuse (cs_cell *cs, uint32_t slot, cs_reason reason)
{
  _cs_emit_refuse (cs, &cs->reqs[slot], reason);
  _cs_wait_remove (cs, slot);
  _cs_req_free (cs, slot);
}

static void
_cs_stop (cs_cell *cs, uint32_t slot)
{
  _cs_req *r = &cs->reqs[slot];
  _cs_engine *e = &cs->engines[r->engine];
  cs_decision *d = _cs_emit (cs, CS_STOP, r);
  d->engine = e->id;
  r->state = _CS_STOPPING;
  e->by_tier[r->tier]--;
  e->stopping++;
  e->claimed++;
  cs->counts.stopped++;
}

/* Prefill tokens that R has to do on engine E.  */
static uint32_t
_cs_uncached (const _cs_req *r, const _cs_engine *e, uint32_t cached)
{
  if (r->resume_of == 0)
    return r->prompt_tokens - cached;
  if (r->resume_of == e->id)
    return 0;
  return (uint32_t)(r->prompt_tokens * _CS_IMPORT_COST);
}

/* Least time to the whole answer on an engine with nothing else to do.
   False when no engine has the version.  */
static bool
_cs_best_case (cs_cell *cs, const _cs_req *r, double *first_us,
               double *finish_us)
{
  uint32_t cached[CS_ENGINES_MAX];
  _cs_cached (cs, r, cached);
  bool found = false;
  *first_us = *finish_us = 1e30;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!_cs_takes (e, r))
        continue;
      found = true;
      double first
          = e->base_us + _cs_uncached (r, e, cached[i]) * e->us_per_token;
      double finish = first + r->expected_tokens * _cs_itl_us (e, 1);
      *first_us = first < *first_us ? first : *first_us;
      *finish_us = finish < *finish_us ? finish : *finish_us;
    }
  return found;
}

/* Engines that may be in a long prefill at once: half of them, so that a
   short request finds one that is not.  */
static bool
_cs_long_allowed (const cs_cell *cs, uint64_t now_us)
{
  uint32_t engines = 0, busy = 0;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!e->used || e->gone || e->leaving)
        continue;
      engines++;
      busy += e->long_until_us > now_us;
    }
  return busy < (engines + 1) / 2;
}

static bool
_cs_is_long (const cs_cell *cs, uint32_t uncached, double own_us)
{
  return uncached > _CS_LONG_RATIO * cs->usual_tokens
         && own_us > (double)cs->desc.long_prefill_us;
}

static bool
_cs_may_probe (const cs_cell *cs, const _cs_engine *e, const _cs_req *r,
               uint64_t now_us)
{
  if (!e->slow || now_us < e->probe_at_us)
    return false;
  if (r->prompt_tokens * e->prior_us_per_token
      > (double)cs->desc.long_prefill_us)
    return false;
  uint64_t idle_us = now_us - e->probe_at_us;
  return r->tier >= cs->desc.strict_tiers
         || (r->tier > 0 && idle_us > 4 * cs->desc.probe_us)
         || idle_us > 9 * cs->desc.probe_us;
}

/* Chooses among the engines with a free slot.  An engine that meets the
   first token target goes before one that does not; then the earliest end.
   A slow engine whose probe is due goes first.  */
static _cs_choice
_cs_choose (const cs_cell *cs, const _cs_req *r, const uint32_t *cached,
            uint64_t now_us)
{
  _cs_choice best = { 0 };
  bool long_ok = _cs_long_allowed (cs, now_us);
  bool urgent = r->tier < cs->desc.strict_tiers;
  double ahead_us = (double)cs->desc.prefill_ahead_us * (urgent ? 2 : 1);
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!_cs_takes (e, r) || !_cs_free_slot (cs, e, r->tier)
          || now_us < e->refused_until_us)
        continue;
      if (e->kv_max > 0 && e->running > 0
          && e->kv_used + r->prompt_tokens + r->expected_tokens > e->kv_max)
        continue;
      uint32_t uncached = _cs_uncached (r, e, cached[i]);
      double own_us = uncached * e->us_per_token;
      if (_cs_is_long (cs, uncached, own_us)
          && (!long_ok || e->long_until_us > now_us))
        {
          best.held = true;
          continue;
        }
      double queue_us = e->busy_until_us > now_us
                            ? (double)(e->busy_until_us - now_us)
                            : 0;
      double first = queue_us + own_us + e->base_us;
      double finish
          = first + r->expected_tokens * _cs_itl_us (e, _cs_load (e) + 1);
      bool probe = _cs_may_probe (cs, e, r, now_us);
      if (!probe && r->deadline_us > 0
          && now_us + (uint64_t)finish > r->deadline_us)
        {
          best.misses_deadline = true;
          continue;
        }
      bool meets = probe || r->first_by_us == 0 || r->late
                   || now_us + (uint64_t)first <= r->first_by_us;
      bool exempt = urgent && meets && r->first_by_us > 0 && !r->late
                    && cs->held_tier >= r->tier;
      if (queue_us > ahead_us && !exempt)
        {
          best.held = true;
          continue;
        }
      if (probe || !best.found || (meets && !best.meets)
          || (meets == best.meets && finish < best.finish_us))
        {
          best.engine = i;
          best.first_us = first;
          best.finish_us = finish;
          best.uncached = uncached;
          best.found = true;
          best.meets = meets;
        }
      if (probe)
        break;
    }
  return best;
}

/* True when stopping A is better than stopping B: a request that loses a
   long prefill goes last, then the lowest tier goes first, then the one that
   loses the least prefill.  */
static bool
_cs_better_victim (const cs_cell *cs, const _cs_req *a, double a_lost,
                   const _cs_req *b, double b_lost)
{
  double heavy = _CS_LONG_RATIO * cs->usual_tokens;
  if ((a_lost > heavy) != (b_lost > heavy))
    return b_lost > heavy;
  return a->tier != b->tier ? a->tier > b->tier : a_lost < b_lost;
}

/* Running request of a tier below R's whose stop makes room for R on engine
   E, in the order of _cs_better_victim; it loses at most MOST_LOST tokens.
   With PREFILL only requests count whose prefill is still to be done.  */
static uint32_t
_cs_victim (const cs_cell *cs, const _cs_req *r, const _cs_engine *e,
            bool prefill, double most_lost, uint64_t now_us, double *lost_out)
{
  uint32_t best = _CS_NIL;
  double best_lost = 0;
  for (uint32_t s = e->head; s != _CS_NIL; s = cs->reqs[s].next)
    {
      const _cs_req *v = &cs->reqs[s];
      if (v->state != _CS_RUNNING || v->tier <= r->tier)
        continue;
      double left = _cs_prefill_left_us (v, e, now_us);
      if (prefill
          && (left < _CS_STOP_PREFILL_US || v->tier < cs->desc.strict_tiers))
        continue;
      double lost = v->uncached_tokens - left / e->us_per_token;
      if (lost > most_lost)
        continue;
      if (best == _CS_NIL
          || _cs_better_victim (cs, v, lost, &cs->reqs[best], best_lost))
        {
          best = s;
          best_lost = lost;
        }
    }
  *lost_out = best_lost;
  return best;
}

/* Stops one request so that R can be placed.  Prefers an engine where R
   would meet its target.  False when there is nothing to stop.  */
static bool
_cs_make_room (cs_cell *cs, const _cs_req *r, const uint32_t *cached,
               bool prefill, bool near_deadline, uint64_t now_us)
{
  uint32_t best = _CS_NIL;
  double best_lost = 0;
  bool best_meets = false;
  /* A long prefill that is under way is only given up for a request that is
     about to miss its deadline: stops of such prefills were most of the
     prefill wasted in overload.  */
  double most_lost = _CS_STOP_LOST * cs->usual_tokens;
  if (!prefill || near_deadline)
    most_lost = 1e30;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      double lost;
      if (!_cs_takes (e, r))
        continue;
      uint32_t s = _cs_victim (cs, r, e, prefill, most_lost, now_us, &lost);
      if (s == _CS_NIL)
        continue;
      const _cs_req *v = &cs->reqs[s];
      double queue_us = e->busy_until_us > now_us
                            ? (double)(e->busy_until_us - now_us)
                            : 0;
      double first = queue_us - _cs_prefill_left_us (v, e, now_us)
                     + _cs_uncached (r, e, cached[i]) * e->us_per_token
                     + e->base_us + _CS_STOP_US;
      bool meets = r->first_by_us == 0 || r->late
                   || (double)now_us + first <= (double)r->first_by_us;
      if (prefill && !meets)
        continue;
      const _cs_req *b = best != _CS_NIL ? &cs->reqs[best] : NULL;
      bool better = b == NULL || _cs_better_victim (cs, v, lost, b, best_lost);
      if (b != NULL && v->tier == b->tier && meets != best_meets)
        better = meets;
      if (better)
        {
          best = s;
          best_lost = lost;
          best_meets = meets;
        }
    }
  if (best == _CS_NIL)
    return false;
  _cs_stop (cs, best);
  return true;
}

/* Matches R with a slot that a stop in progress will free.  */
static bool
_cs_claim (cs_cell *cs, const _cs_req *r)
{
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      _cs_engine *e = &cs->engines[i];
      if (_cs_takes (e, r) && e->claimed < e->stopping)
        {
          e->claimed++;
          return true;
        }
    }
  return false;
}

static void
_cs_grant (cs_cell *cs, uint32_t slot, const _cs_choice *c, uint64_t now_us)
{
  _cs_req *r = &cs->reqs[slot];
  _cs_engine *e = &cs->engines[c->engine];
  cs_decision *d = _cs_emit (cs, CS_GRANT, r);
  d->engine = e->id;
  d->first_token_us = (uint64_t)c->first_us;
  d->cached_tokens = r->prompt_tokens - c->uncached;
  if (r->resume_of != 0 && r->resume_of != e->id)
    d->import_from = r->resume_of;
  _cs_charge (cs, r);
  _cs_wait_remove (cs, slot);
  uint64_t start = e->busy_until_us > now_us ? e->busy_until_us : now_us;
  double own_us = c->uncached * e->us_per_token;
  r->sample_tokens = (double)(start - now_us) / e->us_per_token + c->uncached;
  e->busy_until_us = start + (uint64_t)own_us;
  r->is_long = _cs_is_long (cs, c->uncached, own_us);
  if (r->is_long)
    e->long_until_us = e->busy_until_us;
  r->uncached_tokens = c->uncached;
  r->cached_part = c->uncached < r->prompt_tokens;
  r->first_token_us = c->first_us < 4e9 ? (uint32_t)c->first_us : UINT32_MAX;
  r->granted_us = now_us;
  e->probe_at_us = now_us + cs->desc.probe_us;
  _cs_run_add (cs, slot, c->engine, now_us);
  for (uint32_t i = 0; i < r->prefix_count; i++)
    _cs_block_add (cs, r->prefixes[i].hash, c->engine);
  cs->counts.granted++;
}

/* Tries to grant the waiting request SLOT; may refuse it or stop another
   one for it.  */
static _cs_result
_cs_try (cs_cell *cs, uint32_t slot, uint64_t now_us)
{
  _cs_req *r = &cs->reqs[slot];
  double first_us, finish_us;
  if (!_cs_best_case (cs, r, &first_us, &finish_us))
    {
      _cs_refuse (cs, slot, CS_REASON_NO_ENGINE);
      return _CS_REFUSED;
    }
  if (r->deadline_us > 0 && now_us + (uint64_t)finish_us > r->deadline_us)
    {
      _cs_refuse (cs, slot, CS_REASON_DEADLINE);
      return _CS_REFUSED;
    }
  if (r->first_by_us > 0 && now_us + (uint64_t)first_us > r->first_by_us)
    r->late = true;
  uint32_t cached[CS_ENGINES_MAX];
  _cs_cached (cs, r, cached);
  _cs_choice c = { 0 };
  if (cs->running < cs->desc.max_running)
    c = _cs_choose (cs, r, cached, now_us);
  bool urgent = r->tier < cs->desc.strict_tiers;
  if (c.found && (c.meets || !urgent))
    {
      _cs_grant (cs, slot, &c, now_us);
      return _CS_PLACED;
    }
  if (!urgent)
    return _CS_WAIT;
  if (c.held && r->tier < cs->held_tier)
    cs->held_tier = r->tier;
  /* With a slot that is free but too late, or kept from a long prefill, only
     a stop of lower-tier prefill helps.  */
  bool prefill = c.found || c.misses_deadline || c.held;
  bool near = r->deadline_us > 0
              && now_us + (uint64_t)finish_us + _CS_NEAR_US > r->deadline_us;
  if (_cs_claim (cs, r) || _cs_make_room (cs, r, cached, prefill, near, now_us)
      || !c.found)
    return _CS_WAIT;
  _cs_grant (cs, slot, &c, now_us);
  return _CS_PLACED;
}

static void
_cs_stash (cs_cell *cs, uint32_t slot)
{
  cs->reqs[slot].stashed = true;
  cs->stash[cs->stash_len++] = slot;
}

/* Request of TIER whose turn it is, out of its heap and stashed; _CS_NIL
   when none is left.  A request whose first token target has passed goes
   behind those that can still meet theirs.  */
static uint32_t
_cs_pop (cs_cell *cs, uint32_t tier, uint64_t now_us)
{
  for (;;)
    {
      uint32_t team = _cs_next_team (cs, &cs->tiers[tier]);
      if (team == _CS_NIL)
        return _CS_NIL;
      uint32_t slot = cs->tiers[tier].teams[team].root;
      _cs_req *r = &cs->reqs[slot];
      if (!r->late && r->first_by_us > 0 && now_us > r->first_by_us)
        {
          _cs_heap_remove (cs, slot);
          r->late = true;
          r->key = r->deadline_us > 0
                       ? r->deadline_us
                       : r->submit_us + cs->desc.implied_deadline_us;
          _cs_heap_add (cs, slot);
          continue;
        }
      _cs_heap_remove (cs, slot);
      _cs_stash (cs, slot);
      return slot;
    }
}

static bool
_cs_any_free (const cs_cell *cs, uint32_t tier)
{
  if (cs->running >= cs->desc.max_running)
    return false;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (e->used && !e->gone && !e->leaving && _cs_free_slot (cs, e, tier))
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
      if (!e->used || e->gone || e->leaving)
        continue;
      for (uint32_t t = tier + 1; t < CS_TIERS; t++)
        if (e->by_tier[t] > 0)
          return true;
    }
  return false;
}

static void
_cs_pass_urgent (cs_cell *cs, uint32_t tier, uint64_t now_us)
{
  uint32_t failures = 0;
  while (!_cs_ring_full (cs))
    {
      bool victim = _cs_any_victim (cs, tier);
      if (!victim && !_cs_any_free (cs, tier))
        return;
      if (!victim && failures >= _CS_PASS_FAILURES)
        return;
      uint32_t slot = _cs_pop (cs, tier, now_us);
      if (slot == _CS_NIL)
        return;
      if (_cs_try (cs, slot, now_us) == _CS_WAIT)
        failures++;
      else
        cs->stash_len--;
    }
  cs->dirty = true;
}

static uint32_t
_cs_oldest (const cs_cell *cs, uint32_t tier)
{
  uint32_t slot = cs->tiers[tier].oldest;
  while (slot != _CS_NIL && cs->reqs[slot].stashed)
    slot = cs->reqs[slot].later;
  return slot;
}

/* Next patient request: the oldest one past the ageing bound, else the one
   in turn of the tier whose oldest request has the lowest aged rank.  */
static uint32_t
_cs_pop_patient (cs_cell *cs, uint64_t now_us)
{
  uint32_t oldest = _CS_NIL, best_tier = CS_TIERS;
  uint64_t best_rank = UINT64_MAX;
  for (uint32_t t = cs->desc.strict_tiers; t < CS_TIERS; t++)
    {
      uint32_t slot = _cs_oldest (cs, t);
      if (slot == _CS_NIL)
        continue;
      const _cs_req *r = &cs->reqs[slot];
      if (oldest == _CS_NIL || r->seq < cs->reqs[oldest].seq)
        oldest = slot;
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
_cs_pass_patient (cs_cell *cs, uint64_t now_us)
{
  uint32_t failures = 0;
  while (!_cs_ring_full (cs))
    {
      if (failures >= _CS_PASS_FAILURES || !_cs_any_free (cs, CS_TIERS - 1))
        return;
      uint32_t slot = _cs_pop_patient (cs, now_us);
      if (slot == _CS_NIL)
        return;
      if (_cs_try (cs, slot, now_us) == _CS_WAIT)
        failures++;
      else
        cs->stash_len--;
    }
  cs->dirty = true;
}

/* Grants, refuses and stops until nothing more can be done.  */
static void
_cs_pass (cs_cell *cs, uint64_t now_us)
{
  if (now_us < cs->desc.collect_until_us)
    return;
  cs->dirty = false;
  cs->held_tier = CS_TIERS;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      _cs_engine *e = &cs->engines[i];
      e->claimed = 0;
      if (e->foreign > 0
          && now_us > e->load_time_us + cs->desc.report_max_age_us)
        e->foreign = 0;
    }
  for (uint32_t t = 0; t < CS_TIERS; t++)
    {
      cs->tiers[t].saved_cursor = cs->tiers[t].cursor;
      cs->tiers[t].saved_round = cs->tiers[t].round;
    }
  for (uint32_t t = 0; t < cs->desc.strict_tiers; t++)
    _cs_pass_urgent (cs, t, now_us);
  _cs_pass_patient (cs, now_us);
  for (uint32_t i = 0; i < cs->stash_len; i++)
    {
      cs->reqs[cs->stash[i]].stashed = false;
      _cs_heap_add (cs, cs->stash[i]);
    }
  cs->stash_len = 0;
  for (uint32_t t = 0; t < CS_TIERS; t++)
    if (cs->tiers[t].active > 0)
      _cs_end_turn (&cs->tiers[t], false);
  cs->wake_us = UINT64_MAX;
  uint64_t ahead = cs->desc.prefill_ahead_us;
  for (uint32_t i = 0; cs->waiting > 0 && i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      uint64_t at = UINT64_MAX;
      if (e->used && e->busy_until_us > now_us + 2 * ahead)
        at = e->busy_until_us - 2 * ahead;
      else if (e->used && e->busy_until_us > now_us + ahead)
        at = e->busy_until_us - ahead;
      cs->wake_us = at < cs->wake_us ? at : cs->wake_us;
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
  _CS_DEFAULT (probe_us, 1000000);
  _CS_DEFAULT (report_max_age_us, 5000000);
  _CS_DEFAULT (long_prefill_us, 150000);
  _CS_DEFAULT (prefill_ahead_us, 100000);
#undef _CS_DEFAULT
  if (d->max_engines > CS_ENGINES_MAX)
    d->max_engines = CS_ENGINES_MAX;
  if (d->strict_tiers > CS_TIERS)
    d->strict_tiers = CS_TIERS;
}

/* Makes a cell without engines.  Returns NULL when the given allocator has
   no memory.  */
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
  /* Engines that are gone keep their place until their requests end.  */
  cs->engine_capacity = d.max_engines * 2 < CS_ENGINES_MAX ? d.max_engines * 2
                                                           : CS_ENGINES_MAX;
  cs->req_capacity = d.max_waiting + 2 * d.max_running;
  cs->ring_capacity = cs->req_capacity;
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
  cs->ring = al_alloc (al, cs->ring_capacity * sizeof (cs_decision));
  cs->stash = al_alloc (al, cs->req_capacity * sizeof (uint32_t));
  cs->weights = al_alloc (al, d.max_teams * sizeof (uint32_t));
  bool ok = cs->engine_ids.generations != NULL
            && cs->engine_ids.free_list != NULL && cs->engines != NULL
            && cs->reqs != NULL && cs->map != NULL && cs->blocks != NULL
            && cs->ring != NULL && cs->stash != NULL && cs->weights != NULL;
  for (uint32_t t = 0; t < CS_TIERS; t++)
    {
      cs->tiers[t].teams = al_alloc (al, d.max_teams * sizeof (_cs_queue));
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
  cs->service_us = 1000000;
  cs->usual_tokens = 512;
  for (uint32_t i = 0; i < CS_ROUTES_MAX; i++)
    cs->route_tokens[i] = 128;
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
  al_free (&al, cs->ring);
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
  e->kv_max = desc->kv_tokens_max;
  e->version_count = desc->version_count;
  for (uint32_t i = 0; i < desc->version_count; i++)
    e->versions[i] = desc->versions[i];
}

/* Adds an engine.  Returns 0 when DESC is not valid, the name is taken or
   the cell has max_engines already.  */
id_handle
cs_make_engine (cs_cell *cs, const cs_engine_desc *desc, uint64_t now_us)
{
  if (!_cs_validate_engine (desc)
      || cs_query_engine_named (cs, desc->name) != 0)
    return 0;
  uint32_t live = 0;
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    live += cs->engines[i].used && !cs->engines[i].gone;
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
  e->head = _CS_NIL;
  double rate = desc->prefill_tokens_s > 0 ? desc->prefill_tokens_s : 8000;
  e->prior_us_per_token = e->us_per_token = 1e6 / rate;
  e->base_us = desc->base_us > 0 ? (double)desc->base_us : 15000;
  e->itl_prior_us = desc->itl_us > 0 ? (double)desc->itl_us : 20000;
  e->itl_per_batch_us
      = desc->itl_per_batch_us > 0 ? (double)desc->itl_per_batch_us : 500;
  e->itl_scale = 1;
  for (uint32_t i = 0; i < CS_BATCH_BUCKETS; i++)
    e->itl_shape[i] = 1;
  e->probe_at_us = now_us + cs->desc.probe_us;
  _cs_engine_set (e, desc);
  cs->dirty = true;
  return id;
}

/* Changes slots, versions, the KV limit and the leaving state.  The name and
   the prior speeds stay as they were.  */
bool
cs_update_engine (cs_cell *cs, id_handle engine, const cs_engine_desc *desc,
                  uint64_t now_us)
{
  _cs_engine *e = _cs_engine_of (cs, engine);
  if (e == NULL || e->gone || !_cs_validate_engine (desc))
    return false;
  (void)now_us;
  _cs_engine_set (e, desc);
  cs->dirty = true;
  return true;
}

/* Takes a dead engine out.  Requests granted to it end when their holders
   report cs_done.  */
bool
cs_destroy_engine (cs_cell *cs, id_handle engine, uint64_t now_us)
{
  _cs_engine *e = _cs_engine_of (cs, engine);
  if (e == NULL || e->gone)
    return false;
  (void)now_us;
  e->gone = true;
  if (e->running == 0)
    _cs_engine_free (cs, e);
  cs->dirty = true;
  return true;
}

/* Takes a load report.  What the engine had beyond this cell's own grants at
   the report's time counts as foreign load; it is the lower of the last two
   reports, because one report may fall between a grant and its arrival.  A
   report older than the last one or than report_max_age_us is ignored and
   false is returned.  */
bool
cs_set_load (cs_cell *cs, id_handle engine, const cs_load *load,
             uint64_t now_us)
{
  _cs_engine *e = _cs_engine_of (cs, engine);
  if (e == NULL || load->time_us < e->load_time_us || load->time_us > now_us
      || load->time_us + cs->desc.report_max_age_us < now_us)
    return false;
  uint32_t own = _cs_running_at (e, load->time_us);
  uint32_t all = load->running + load->queued;
  uint32_t foreign = all > own ? all - own : 0;
  e->foreign = foreign < e->foreign_last ? foreign : e->foreign_last;
  e->foreign_last = foreign;
  e->load_time_us = load->time_us;
  cs->dirty = true;
  return true;
}

/* Notes that ENGINE added or evicted the block HASH.  */
bool
cs_cache_event (cs_cell *cs, id_handle engine, uint64_t hash, bool added)
{
  _cs_engine *e = _cs_engine_of (cs, engine);
  if (e == NULL)
    return false;
  if (added)
    _cs_block_add (cs, hash, id_index (engine));
  else
    {
      _cs_block *b = _cs_block_find (cs, hash);
      if (b != NULL)
        {
          b->have &= ~(1ull << id_index (engine));
          b->doubt &= ~(1ull << id_index (engine));
        }
    }
  return true;
}

/* Notes that events of ENGINE were lost: what it held counts half until it
   is confirmed or a request is granted with it.  */
bool
cs_cache_gap (cs_cell *cs, id_handle engine)
{
  if (_cs_engine_of (cs, engine) == NULL)
    return false;
  uint64_t bit = 1ull << id_index (engine);
  for (size_t i = 0; i < (size_t)cs->block_sets * _CS_WAYS; i++)
    if ((cs->blocks[i].have & bit) != 0)
      {
        cs->blocks[i].have &= ~bit;
        cs->blocks[i].doubt |= bit;
      }
  return true;
}

/* Sets the share of TEAM within each tier, 1 to 1000; new teams have 1.  */
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
  r->holder = q->holder;
  r->tier = (uint8_t)q->tier;
  r->team = q->team;
  r->route = q->route % CS_ROUTES_MAX;
  r->version = q->version;
  r->prompt_tokens = q->prompt_tokens;
  r->expected_tokens = q->expected_tokens > 0
                           ? q->expected_tokens
                           : (uint32_t)cs->route_tokens[r->route];
  r->deadline_us = q->deadline_us;
  r->first_by_us = q->first_token_by_us;
  r->resume_of = q->resume_of;
  r->unreported = q->first_token_unreported;
  r->submit_us = now_us;
  r->key = r->first_by_us > 0   ? r->first_by_us
           : r->deadline_us > 0 ? r->deadline_us
                                : now_us + cs->desc.implied_deadline_us;
  /* Keeps the longest block and spreads the others over the chain.  */
  uint32_t n = q->prefix_count;
  uint32_t kept = n < CS_PREFIX_MAX ? n : CS_PREFIX_MAX;
  for (uint32_t i = 0; i < kept; i++)
    r->prefixes[i] = q->prefixes[((uint64_t)(i + 1) * n) / kept - 1];
  r->prefix_count = (uint8_t)kept;
}

static void
_cs_req_set (cs_cell *cs, uint32_t slot, const cs_request *q, uint64_t now_us)
{
  _cs_req_fill (cs, &cs->reqs[slot], q, now_us);
  cs->reqs[slot].seq = ++cs->seq;
}

/* True when a request of TIER for VERSION could run in the place of running
   work of a lower tier that has not been stopped yet.  */
static bool
_cs_replaceable (const cs_cell *cs, uint32_t tier, uint64_t version)
{
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (!e->used || e->gone || e->leaving || !_cs_has_version (e, version))
        continue;
      for (uint32_t t = tier + 1; t < CS_TIERS; t++)
        if (e->by_tier[t] > 0)
          return true;
    }
  return false;
}

/* Makes room in a full queue.  The newest waiting request of the lowest tier
   is refused; false when that is the new request itself.  When that one is
   urgent and can replace running work, the new one is taken beyond the limit:
   its place is paid for by the slot that is taken over.  */
static bool
_cs_make_place (cs_cell *cs, const cs_request *q)
{
  if (cs->waiting < cs->desc.max_waiting && cs->free_head != _CS_NIL)
    return true;
  uint32_t tier = CS_TIERS - 1;
  while (tier > q->tier && cs->tiers[tier].waiting == 0)
    tier--;
  uint32_t newest = tier > q->tier ? cs->tiers[tier].newest : _CS_NIL;
  uint64_t version = newest != _CS_NIL ? cs->reqs[newest].version : q->version;
  if (tier < cs->desc.strict_tiers && cs->free_head != _CS_NIL
      && _cs_replaceable (cs, tier, version))
    return true;
  if (newest == _CS_NIL)
    return false;
  _cs_refuse (cs, newest, CS_REASON_FULL);
  return true;
}

/* Queues a request.  Its end comes from cs_next.  False when the decisions
   have to be taken by cs_next first; then nothing was done.  */
bool
cs_submit (cs_cell *cs, const cs_request *request, uint64_t now_us)
{
  if (_cs_ring_full (cs))
    return false;
  cs->counts.submitted++;
  bool valid = _cs_validate_request (cs, request);
  if (!valid || _cs_find (cs, request->request) != _CS_NIL
      || !_cs_make_place (cs, request))
    {
      _cs_req r
          = { .request = request->request,
              .holder = request->holder,
              .tier = (uint8_t)(request->tier < CS_TIERS ? request->tier
                                                         : CS_TIERS - 1) };
      bool full = valid && _cs_find (cs, request->request) == _CS_NIL;
      _cs_emit_refuse (cs, &r, full ? CS_REASON_FULL : CS_REASON_INVALID);
      return true;
    }
  uint32_t slot = _cs_req_make (cs);
  _cs_req_set (cs, slot, request, now_us);
  _cs_map_add (cs, slot);
  _cs_wait_add (cs, slot);
  double cut = _CS_LONG_RATIO * cs->usual_tokens;
  double tokens = request->prompt_tokens;
  cs->usual_tokens
      += 0.01 * ((tokens < cut ? tokens : cut) - cs->usual_tokens);
  if (cs->usual_tokens < 64)
    cs->usual_tokens = 64;
  cs->dirty = true;
  return true;
}

/* Withdraws a waiting request; no decision follows.  False when it is not
   waiting: a granted request ends with cs_done.  */
bool
cs_cancel (cs_cell *cs, uint64_t request, uint64_t now_us)
{
  uint32_t slot = _cs_find (cs, request);
  (void)now_us;
  if (slot == _CS_NIL || cs->reqs[slot].state != _CS_WAITING)
    return false;
  _cs_wait_remove (cs, slot);
  _cs_req_free (cs, slot);
  cs->counts.cancelled++;
  return true;
}

/* Notes the first token of a granted request.  Without these reports the
   rates are learned at cs_done; with them a silent slow engine is found from
   the first answers that are overdue.  */
bool
cs_first_token (cs_cell *cs, uint64_t request, uint64_t first_token_us,
                uint64_t now_us)
{
  uint32_t slot = _cs_find (cs, request);
  if (slot == _CS_NIL || cs->reqs[slot].state == _CS_WAITING
      || cs->reqs[slot].has_first_token)
    return false;
  _cs_req *r = &cs->reqs[slot];
  _cs_engine *e = &cs->engines[r->engine];
  e->reports_first_token = true;
  _cs_learn_first (e, r, first_token_us);
  r->has_first_token = true;
  e->first_token_at_us = now_us;
  _cs_prefill_over (cs, slot, now_us);
  cs->dirty = true;
  return true;
}

static void
_cs_end (cs_cell *cs, uint32_t slot, const cs_done_info *done, uint64_t now_us)
{
  _cs_req *r = &cs->reqs[slot];
  _cs_engine *e = &cs->engines[r->engine];
  if (!r->has_first_token)
    {
      if (done->first_token_us > 0)
        {
          _cs_learn_first (e, r, done->first_token_us);
          _cs_prefill_over (cs, slot, now_us);
        }
      else
        _cs_prefill_dropped (cs, slot, now_us);
    }
  if (done->itl_us > 0 && done->tokens > 1)
    _cs_learn_itl (e, done->itl_us);
  if (done->outcome == CS_ANSWERED)
    {
      cs->service_us
          += 0.05 * ((double)(now_us - r->granted_us) - cs->service_us);
      double *tokens = &cs->route_tokens[r->route];
      *tokens += 0.05 * (done->tokens - *tokens);
      if (*tokens < 1)
        *tokens = 1;
    }
  if (done->outcome == CS_NOT_ADMITTED)
    {
      e->refused_step_us = e->refused_step_us * 2;
      if (e->refused_step_us < _CS_REFUSED_MIN_US)
        e->refused_step_us = _CS_REFUSED_MIN_US;
      if (e->refused_step_us > _CS_REFUSED_MAX_US)
        e->refused_step_us = _CS_REFUSED_MAX_US;
      e->refused_until_us = now_us + e->refused_step_us;
    }
  else if (done->outcome != CS_STOPPED)
    e->refused_step_us = 0;
  _cs_run_remove (cs, slot, now_us);
  _cs_req_free (cs, slot);
  cs->counts.done++;
  cs->dirty = true;
}

/* Ends a granted request and frees its slot.  False when the request holds
   no grant.  */
bool
cs_done (cs_cell *cs, uint64_t request, const cs_done_info *done,
         uint64_t now_us)
{
  uint32_t slot = _cs_find (cs, request);
  if (slot == _CS_NIL || cs->reqs[slot].state == _CS_WAITING)
    return false;
  _cs_end (cs, slot, done, now_us);
  return true;
}

/* Registers a grant that a former owner gave.  It counts as running, also
   beyond the slots of the engine.  False when it is known already, is not
   valid, or there is no room.  */
bool
cs_hold (cs_cell *cs, const cs_request *request, id_handle engine,
         uint64_t granted_us, uint64_t now_us)
{
  _cs_engine *e = _cs_engine_of (cs, engine);
  if (e == NULL || e->gone || !_cs_validate_request (cs, request)
      || _cs_find (cs, request->request) != _CS_NIL
      || cs->running >= cs->desc.max_running)
    return false;
  uint32_t slot = _cs_req_make (cs);
  if (slot == _CS_NIL)
    return false;
  _cs_req_set (cs, slot, request, now_us);
  _cs_map_add (cs, slot);
  _cs_req *r = &cs->reqs[slot];
  r->granted_us = granted_us < now_us ? granted_us : now_us;
  /* Its first token may have come before this owner was there.  */
  r->unreported = true;
  r->uncached_tokens = r->prompt_tokens;
  double first = e->base_us + r->prompt_tokens * e->us_per_token;
  r->first_token_us = first < 4e9 ? (uint32_t)first : UINT32_MAX;
  _cs_run_add (cs, slot, id_index (engine), now_us);
  cs->dirty = true;
  return true;
}

/* Drops what a dead holder had waiting and running.  */
void
cs_drop_holder (cs_cell *cs, uint32_t holder, uint64_t now_us)
{
  for (uint32_t i = 0; i < cs->req_capacity; i++)
    {
      _cs_req *r = &cs->reqs[i];
      if (r->state == _CS_FREE || r->holder != holder)
        continue;
      if (r->state == _CS_WAITING)
        cs_cancel (cs, r->request, now_us);
      else
        _cs_end (cs, i, &(cs_done_info){ .outcome = CS_CANCELLED }, now_us);
    }
}

/* Learns from first tokens that are overdue: the elapsed time is a lower
   bound of what the engine needs, and the prefill goes on for as long again
   as it is late.  */
static void
_cs_tick_engine (cs_cell *cs, _cs_engine *e, uint64_t now_us)
{
  double later_us = 0;
  uint64_t end_us = 0;
  const _cs_req *first = NULL;
  for (uint32_t s = e->head; s != _CS_NIL; s = cs->reqs[s].next)
    {
      const _cs_req *r = &cs->reqs[s];
      if (r->has_first_token || r->unreported)
        continue;
      double elapsed = (double)(now_us - r->granted_us);
      if (elapsed > r->first_token_us + (double)_CS_OVERDUE_US)
        end_us = now_us + (uint64_t)later_us + (uint64_t)elapsed
                 - r->first_token_us;
      later_us += r->uncached_tokens * e->us_per_token;
      first = r;
    }
  /* Only the oldest prefill is evidence: the later ones wait for it.  */
  if (first != NULL && first->uncached_tokens >= _CS_RATE_TOKENS)
    {
      uint64_t from_us = first->granted_us > e->first_token_at_us
                             ? first->granted_us
                             : e->first_token_at_us;
      double own_us = e->base_us + first->uncached_tokens * e->us_per_token;
      double elapsed = (double)(now_us - from_us);
      double bound = (elapsed - e->base_us) / first->uncached_tokens;
      double high = e->prior_us_per_token * 64;
      if (elapsed > 1.2 * own_us + 2.0 * _CS_OVERDUE_US
          && bound > e->us_per_token)
        e->us_per_token = bound < high ? bound : high;
    }
  if (end_us > e->busy_until_us)
    e->busy_until_us = end_us;
}

/* Advances what depends on time: expiry, overdue answers, slow engines.
   Call it about every 50 ms.  */
void
cs_tick (cs_cell *cs, uint64_t now_us)
{
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    if (cs->engines[i].used && cs->engines[i].reports_first_token)
      _cs_tick_engine (cs, &cs->engines[i], now_us);
  _cs_mark_slow (cs);
  cs->dirty = true;
  if (now_us < cs->desc.collect_until_us)
    return;
  uint32_t n
      = cs->req_capacity < _CS_TICK_SCAN ? cs->req_capacity : _CS_TICK_SCAN;
  for (uint32_t i = 0; i < n && !_cs_ring_full (cs); i++)
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

/* Takes the next decision.  False when there is none at NOW_US.  */
bool
cs_next (cs_cell *cs, uint64_t now_us, cs_decision *decision)
{
  if (cs->ring_len == 0 && (cs->dirty || now_us >= cs->wake_us))
    _cs_pass (cs, now_us);
  if (cs->ring_len == 0)
    return false;
  *decision = cs->ring[cs->ring_at];
  cs->ring_at = (cs->ring_at + 1) % cs->ring_capacity;
  cs->ring_len--;
  return true;
}

/* Requests of TIER that wait.  */
uint32_t
cs_query_waiting (const cs_cell *cs, uint32_t tier)
{
  return tier < CS_TIERS ? cs->tiers[tier].waiting : 0;
}

/* Requests of TIER that hold a slot.  */
uint32_t
cs_query_running (const cs_cell *cs, uint32_t tier)
{
  return tier < CS_TIERS ? cs->tiers[tier].running : 0;
}

/* True when work of a tier below TIER runs on an engine with VERSION, or
   waits.  A holder asks each cell that could run an urgent request before it
   tells the caller that the request is refused.  */
bool
cs_query_lower_work (const cs_cell *cs, uint32_t tier, uint64_t version)
{
  if (tier >= CS_TIERS)
    return false;
  for (uint32_t t = tier + 1; t < CS_TIERS; t++)
    if (cs->tiers[t].waiting > 0)
      return true;
  return _cs_replaceable (cs, tier, version);
}

/* Predicted first token time of REQUEST, from now, if it were submitted here
   now.  For the choice between cells; nothing is queued.  UINT64_MAX when no
   engine has the version.  */
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
  _cs_cached (cs, &r, cached);
  /* The prefill that waits here and goes first, spread over the engines.  */
  double tokens = 0, tokens_per_us = 0;
  uint32_t ahead = 1, slots = 0;
  for (uint32_t t = 0; t <= r.tier; t++)
    {
      tokens += (double)cs->tiers[t].waiting_tokens;
      ahead += cs->tiers[t].waiting;
    }
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    if (_cs_takes (&cs->engines[i], &r))
      {
        tokens_per_us += 1 / cs->engines[i].us_per_token;
        slots += cs->engines[i].slots;
      }
  double wait_us = tokens / tokens_per_us;
  cs->held_tier = CS_TIERS;
  _cs_choice c = _cs_choose (cs, &r, cached, now_us);
  if (c.found)
    return (uint64_t)(c.first_us + wait_us);
  if (c.held)
    return (uint64_t)(first_us + wait_us + (double)cs->desc.prefill_ahead_us);
  if (r.tier < cs->desc.strict_tiers
      && _cs_replaceable (cs, r.tier, r.version))
    return (uint64_t)(first_us + wait_us + _CS_STOP_US);
  double turn_us = ahead * cs->service_us / (slots > 0 ? slots : 1);
  return (uint64_t)(first_us + (wait_us > turn_us ? wait_us : turn_us));
}

/* Fills VIEW.  False when ENGINE is not in the cell.  */
bool
cs_query_engine (const cs_cell *cs, id_handle engine, cs_engine_view *view)
{
  const _cs_engine *e = _cs_engine_of (cs, engine);
  if (e == NULL || e->gone)
    return false;
  *view = (cs_engine_view){
    .name = e->name,
    .slots = e->slots,
    .running = e->running,
    .foreign = e->foreign,
    .leaving = e->leaving,
    .slow = e->slow,
    .prefill_tokens_s = 1e6 / e->us_per_token,
    .itl_us = (uint64_t)_cs_itl_us (e, _cs_load (e)),
    .idle_itl_us = (uint64_t)_cs_itl_us (e, 1),
    .prefill_end_us = e->busy_until_us,
    .base_us = (uint64_t)e->base_us,
  };
  return true;
}

/* Engine of this name; 0 when there is none.  */
id_handle
cs_query_engine_named (const cs_cell *cs, st_str name)
{
  for (uint32_t i = 0; i < cs->engine_capacity; i++)
    {
      const _cs_engine *e = &cs->engines[i];
      if (e->used && !e->gone && st_equal (st_name_str (&e->name), name))
        return e->id;
    }
  return 0;
}

/* Counts since cs_make.  */
cs_counts
cs_query_counts (const cs_cell *cs)
{
  return cs->counts;
}
