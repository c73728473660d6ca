/* bn_engine.h -- fake engine with continuous batching.

   An engine admits requests as they arrive, in order, and has no priorities.
   Each iteration spends a bounded number of prompt tokens on the oldest
   prefills and makes one token for each stream whose prefill is done.  */
#ifndef BN_ENGINE_H
#define BN_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#define BN_ENGINE_QUEUE 4096
#define BN_ENGINE_SLOTS 64
#define BN_ENGINE_BLOCKS 256
#define BN_ENGINE_KEPT 32
#define BN_CHUNK_TOKENS 512
#define BN_BLOCKS 4

typedef struct
{
  /* The work.  */
  uint64_t arrival_us;
  uint32_t tier;
  uint32_t team;
  uint32_t region;
  uint32_t prompt_tokens;
  uint32_t answer_tokens;
  uint32_t expected_tokens;
  uint64_t deadline_us;
  uint64_t blocks[BN_BLOCKS];       /* prefix chain; 0: none */
  uint32_t block_tokens[BN_BLOCKS]; /* prompt length at the end of each */

  /* On an engine.  */
  bool on_engine;
  bool prefilled;
  uint32_t prefill_left;
  uint32_t prefill_done; /* prompt tokens computed, over all engines */
  uint32_t chunk;        /* prompt tokens in the present iteration */
  uint32_t produced;
  uint64_t first_us;
  uint64_t done_us;
} bn_work;

typedef struct
{
  uint32_t region;
  uint32_t slots;
  double us_per_prompt_token;
  double iteration_us;
  double us_per_stream;
  bool dead;
  double slowness; /* 1: as stated above */

  uint32_t queue[BN_ENGINE_QUEUE];
  uint32_t queue_head, queue_len;
  uint32_t running[BN_ENGINE_SLOTS];
  uint32_t running_len;
  bool iterating;
  uint64_t iteration_end_us;
  uint64_t blocks[BN_ENGINE_BLOCKS];
  uint64_t block_used[BN_ENGINE_BLOCKS];
  uint64_t use_count;
  uint32_t kept[BN_ENGINE_KEPT]; /* stopped streams, work index + 1 */
  uint32_t kept_at;

  /* What happened in the last step, for the caller.  */
  uint32_t first[BN_ENGINE_SLOTS];
  uint32_t first_len;
  uint32_t done[BN_ENGINE_SLOTS];
  uint32_t done_len;
  uint64_t added[BN_ENGINE_SLOTS * BN_BLOCKS];
  uint32_t added_len;
  uint64_t evicted[BN_ENGINE_SLOTS * BN_BLOCKS];
  uint32_t evicted_len;
} bn_engine;

#ifdef __cplusplus
extern "C"
{
#endif

  bool bn_engine_add (bn_engine *e, uint32_t work);
  void bn_engine_remove (bn_engine *e, bn_work *all, uint32_t work, bool keep);
  void bn_engine_kill (bn_engine *e, bn_work *all);
  void bn_engine_step (bn_engine *e, bn_work *all, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
