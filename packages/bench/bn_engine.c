#include "bn_engine.h"

#include <string.h>

/* Queues WORK.  Returns false when the engine refuses the connection.  */
bool
bn_engine_add (bn_engine *e, uint32_t work)
{
  if (e->dead || e->queue_len == BN_ENGINE_QUEUE_MAX)
    return false;
  e->queue[(e->queue_head + e->queue_len++) % BN_ENGINE_QUEUE_MAX] = work;
  return true;
}

/* Removes WORK from the engine.  With RETAIN its KV state is retained for a
   resume, until those of 32 later streams have replaced it.  */
void
bn_engine_remove (bn_engine *e, bn_work *all, uint32_t work, bool retain)
{
  for (uint32_t i = 0; i < e->running_len; i++)
    if (e->running[i] == work)
      {
        memmove (&e->running[i], &e->running[i + 1],
                 (e->running_len - i - 1) * sizeof (uint32_t));
        e->running_len--;
        if (retain && all[work].prefilled)
          {
            e->retained[e->retained_next] = work + 1;
            e->retained_next = (e->retained_next + 1) % BN_ENGINE_RETAINED_MAX;
          }
        all[work].on_engine = false;
        return;
      }
  uint32_t out = 0;
  for (uint32_t i = 0; i < e->queue_len; i++)
    {
      uint32_t w = e->queue[(e->queue_head + i) % BN_ENGINE_QUEUE_MAX];
      if (w != work)
        e->queue[(e->queue_head + out++) % BN_ENGINE_QUEUE_MAX] = w;
    }
  e->queue_len = out;
}

/* Simulates the death of the engine: its streams, queue and caches are lost.
 */
void
bn_engine_kill (bn_engine *e, bn_work *all)
{
  for (uint32_t i = 0; i < e->running_len; i++)
    all[e->running[i]].on_engine = false;
  e->dead = true;
  e->iterating = false;
  e->running_len = e->queue_len = 0;
  memset (e->blocks, 0, sizeof e->blocks);
  memset (e->retained, 0, sizeof e->retained);
}

static uint32_t
_bn_find_block (const bn_engine *e, uint64_t hash)
{
  for (uint32_t i = 0; i < BN_ENGINE_CACHE_BLOCKS; i++)
    if (e->blocks[i] == hash)
      return i;
  return BN_ENGINE_CACHE_BLOCKS;
}

static void
_bn_add_block (bn_engine *e, uint64_t hash)
{
  uint32_t at = _bn_find_block (e, hash);
  if (at == BN_ENGINE_CACHE_BLOCKS)
    {
      at = 0;
      for (uint32_t i = 1; i < BN_ENGINE_CACHE_BLOCKS; i++)
        if (e->block_used[i] < e->block_used[at])
          at = i;
      if (e->blocks[at] != 0
          && e->evicted_len < BN_ENGINE_SLOTS_MAX * BN_PREFIX_BLOCKS_MAX)
        e->evicted[e->evicted_len++] = e->blocks[at];
      e->blocks[at] = hash;
      if (e->added_len < BN_ENGINE_SLOTS_MAX * BN_PREFIX_BLOCKS_MAX)
        e->added[e->added_len++] = hash;
    }
  e->block_used[at] = ++e->use_count;
}

static void
_bn_admit (bn_engine *e, bn_work *all)
{
  while (e->queue_len > 0 && e->running_len < e->slots)
    {
      uint32_t w = e->queue[e->queue_head];
      e->queue_head = (e->queue_head + 1) % BN_ENGINE_QUEUE_MAX;
      e->queue_len--;
      bn_work *work = &all[w];
      uint32_t tokens = work->prompt_tokens + work->produced_tokens;
      uint32_t cached = 0;
      for (int i = 0; i < BN_PREFIX_BLOCKS_MAX && work->blocks[i] != 0; i++)
        {
          if (_bn_find_block (e, work->blocks[i]) == BN_ENGINE_CACHE_BLOCKS)
            break;
          cached = work->block_tokens[i];
        }
      for (uint32_t i = 0; i < BN_ENGINE_RETAINED_MAX; i++)
        if (e->retained[i] == w + 1)
          {
            cached = tokens;
            e->retained[i] = 0;
          }
      work->prefill_left_tokens = cached < tokens ? tokens - cached : 0;
      work->prefilled = false;
      work->on_engine = true;
      work->chunk_tokens = 0;
      e->running[e->running_len++] = w;
    }
}

static void
_bn_start_iteration (bn_engine *e, bn_work *all, uint64_t from_us)
{
  uint32_t budget = BN_PREFILL_CHUNK_TOKENS, streams = 0, tokens = 0;
  for (uint32_t i = 0; i < e->running_len; i++)
    {
      bn_work *w = &all[e->running[i]];
      w->chunk_tokens = 0;
      if (w->prefilled)
        {
          streams++;
          continue;
        }
      w->chunk_tokens
          = w->prefill_left_tokens < budget ? w->prefill_left_tokens : budget;
      budget -= w->chunk_tokens;
      tokens += w->chunk_tokens;
    }
  double us = e->iteration_us + tokens * e->us_per_prompt_token
              + streams * e->us_per_stream;
  e->iterating = true;
  e->iteration_end_us = from_us + (uint64_t)(us * e->slow_factor);
}

static void
_bn_finish_iteration (bn_engine *e, bn_work *all)
{
  uint64_t at_us = e->iteration_end_us;
  e->iterating = false;
  for (uint32_t i = 0; i < e->running_len;)
    {
      uint32_t w = e->running[i];
      bn_work *work = &all[w];
      bool was_prefilled = work->prefilled;
      work->prefill_left_tokens -= work->chunk_tokens;
      work->prefilled_tokens += work->chunk_tokens;
      bool was_scheduled
          = work->chunk_tokens > 0 || work->prefill_left_tokens == 0;
      work->chunk_tokens = 0;
      if (!was_prefilled && was_scheduled && work->prefill_left_tokens == 0)
        {
          work->prefilled = true;
          for (int b = 0; b < BN_PREFIX_BLOCKS_MAX && work->blocks[b] != 0;
               b++)
            _bn_add_block (e, work->blocks[b]);
        }
      if (work->prefilled)
        {
          work->produced_tokens++;
          if (work->first_us == 0)
            work->first_us = at_us;
          if (!was_prefilled)
            e->first[e->first_len++] = w;
          if (work->produced_tokens >= work->output_tokens)
            {
              work->done_us = at_us;
              work->on_engine = false;
              e->done[e->done_len++] = w;
              memmove (&e->running[i], &e->running[i + 1],
                       (e->running_len - i - 1) * sizeof (uint32_t));
              e->running_len--;
              continue;
            }
        }
      i++;
    }
}

/* Advances the engine to NOW_US.  At most one iteration ends in a step, so
   steps must be shorter than an iteration.  */
void
bn_engine_step (bn_engine *e, bn_work *all, uint64_t now_us)
{
  e->first_len = e->done_len = e->added_len = e->evicted_len = 0;
  if (e->dead)
    return;
  uint64_t from_us = now_us;
  if (e->iterating)
    {
      if (e->iteration_end_us > now_us)
        return;
      from_us = e->iteration_end_us;
      _bn_finish_iteration (e, all);
    }
  _bn_admit (e, all);
  if (e->running_len > 0)
    _bn_start_iteration (e, all, from_us);
}
