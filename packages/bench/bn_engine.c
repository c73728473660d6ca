#include "bn_engine.h"

#include <string.h>

/* Queues WORK.  False when the engine refuses the connection.  */
bool
bn_engine_add (bn_engine *e, uint32_t work)
{
  if (e->dead || e->queue_len == BN_ENGINE_QUEUE)
    return false;
  e->queue[(e->queue_head + e->queue_len++) % BN_ENGINE_QUEUE] = work;
  return true;
}

/* Takes WORK off the engine.  With KEEP its KV cache stays for a resume,
   until 32 later ones have pushed it out.  */
void
bn_engine_remove (bn_engine *e, bn_work *all, uint32_t work, bool keep)
{
  for (uint32_t i = 0; i < e->running_len; i++)
    if (e->running[i] == work)
      {
        memmove (&e->running[i], &e->running[i + 1],
                 (e->running_len - i - 1) * sizeof (uint32_t));
        e->running_len--;
        if (keep && all[work].prefilled)
          {
            e->kept[e->kept_at] = work + 1;
            e->kept_at = (e->kept_at + 1) % BN_ENGINE_KEPT;
          }
        all[work].on_engine = false;
        return;
      }
  uint32_t out = 0;
  for (uint32_t i = 0; i < e->queue_len; i++)
    {
      uint32_t w = e->queue[(e->queue_head + i) % BN_ENGINE_QUEUE];
      if (w != work)
        e->queue[(e->queue_head + out++) % BN_ENGINE_QUEUE] = w;
    }
  e->queue_len = out;
}

/* The engine dies with everything it held.  */
void
bn_engine_kill (bn_engine *e, bn_work *all)
{
  for (uint32_t i = 0; i < e->running_len; i++)
    all[e->running[i]].on_engine = false;
  e->dead = true;
  e->iterating = false;
  e->running_len = e->queue_len = 0;
  memset (e->blocks, 0, sizeof e->blocks);
  memset (e->kept, 0, sizeof e->kept);
}

static uint32_t
_bn_block_slot (const bn_engine *e, uint64_t hash)
{
  for (uint32_t i = 0; i < BN_ENGINE_BLOCKS; i++)
    if (e->blocks[i] == hash)
      return i;
  return BN_ENGINE_BLOCKS;
}

static void
_bn_block_add (bn_engine *e, uint64_t hash)
{
  uint32_t at = _bn_block_slot (e, hash);
  if (at == BN_ENGINE_BLOCKS)
    {
      at = 0;
      for (uint32_t i = 1; i < BN_ENGINE_BLOCKS; i++)
        if (e->block_used[i] < e->block_used[at])
          at = i;
      if (e->blocks[at] != 0 && e->evicted_len < BN_ENGINE_SLOTS * BN_BLOCKS)
        e->evicted[e->evicted_len++] = e->blocks[at];
      e->blocks[at] = hash;
      if (e->added_len < BN_ENGINE_SLOTS * BN_BLOCKS)
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
      e->queue_head = (e->queue_head + 1) % BN_ENGINE_QUEUE;
      e->queue_len--;
      bn_work *work = &all[w];
      uint32_t tokens = work->prompt_tokens + work->produced;
      uint32_t cached = 0;
      for (int i = 0; i < BN_BLOCKS && work->blocks[i] != 0; i++)
        {
          if (_bn_block_slot (e, work->blocks[i]) == BN_ENGINE_BLOCKS)
            break;
          cached = work->block_tokens[i];
        }
      for (uint32_t i = 0; i < BN_ENGINE_KEPT; i++)
        if (e->kept[i] == w + 1)
          {
            cached = tokens;
            e->kept[i] = 0;
          }
      work->prefill_left = cached < tokens ? tokens - cached : 0;
      work->prefilled = false;
      work->on_engine = true;
      work->chunk = 0;
      e->running[e->running_len++] = w;
    }
}

static void
_bn_start (bn_engine *e, bn_work *all, uint64_t from_us)
{
  uint32_t budget = BN_CHUNK_TOKENS, streams = 0, tokens = 0;
  for (uint32_t i = 0; i < e->running_len; i++)
    {
      bn_work *w = &all[e->running[i]];
      w->chunk = 0;
      if (w->prefilled)
        {
          streams++;
          continue;
        }
      w->chunk = w->prefill_left < budget ? w->prefill_left : budget;
      budget -= w->chunk;
      tokens += w->chunk;
    }
  double us = e->iteration_us + tokens * e->us_per_prompt_token
              + streams * e->us_per_stream;
  e->iterating = true;
  e->iteration_end_us = from_us + (uint64_t)(us * e->slowness);
}

static void
_bn_finish (bn_engine *e, bn_work *all)
{
  uint64_t at_us = e->iteration_end_us;
  e->iterating = false;
  for (uint32_t i = 0; i < e->running_len;)
    {
      uint32_t w = e->running[i];
      bn_work *work = &all[w];
      bool had_prefill = work->prefilled;
      work->prefill_left -= work->chunk;
      work->prefill_done += work->chunk;
      bool got_turn = work->chunk > 0 || work->prefill_left == 0;
      work->chunk = 0;
      if (!had_prefill && got_turn && work->prefill_left == 0)
        {
          work->prefilled = true;
          for (int b = 0; b < BN_BLOCKS && work->blocks[b] != 0; b++)
            _bn_block_add (e, work->blocks[b]);
        }
      if (work->prefilled)
        {
          work->produced++;
          if (work->first_us == 0)
            work->first_us = at_us;
          if (!had_prefill)
            e->first[e->first_len++] = w;
          if (work->produced >= work->answer_tokens)
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
      _bn_finish (e, all);
    }
  _bn_admit (e, all);
  if (e->running_len > 0)
    _bn_start (e, all, from_us);
}
