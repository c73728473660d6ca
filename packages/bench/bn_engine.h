/* bn_engine.h -- simulated engine with continuous batching.

   Used by the placement scenarios (bn_world.c).  An engine admits requests in
   order of arrival and has no priorities.  Each iteration computes a bounded
   number of prompt tokens of the oldest prefills and one token for each stream
   whose prefill is done.  */
#ifndef BN_ENGINE_H
#define BN_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#define BN_ENGINE_QUEUE_MAX 4096
#define BN_ENGINE_SLOTS_MAX 64
#define BN_ENGINE_CACHE_BLOCKS 256
#define BN_ENGINE_RETAINED_MAX 32
#define BN_PREFILL_CHUNK_TOKENS 512
#define BN_PREFIX_BLOCKS_MAX 4

typedef struct
{
  /* The request.  */
  uint64_t arrival_us;
  uint32_t tier;
  uint32_t team;
  uint32_t region;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  uint32_t expected_tokens;
  uint64_t deadline_us;
  uint64_t blocks[BN_PREFIX_BLOCKS_MAX];       /* prefix chain; 0: none */
  uint32_t block_tokens[BN_PREFIX_BLOCKS_MAX]; /* prompt length at the end of
                                                  each */

  /* Its state on an engine.  */
  bool on_engine;
  bool prefilled;
  uint32_t prefill_left_tokens;
  uint32_t prefilled_tokens; /* prompt tokens computed, by all engines */
  uint32_t chunk_tokens;     /* prompt tokens in the current iteration */
  uint32_t produced_tokens;
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
  double slow_factor; /* of the times above; 1: none */

  uint32_t queue[BN_ENGINE_QUEUE_MAX];
  uint32_t queue_head, queue_len;
  uint32_t running[BN_ENGINE_SLOTS_MAX];
  uint32_t running_len;
  bool iterating;
  uint64_t iteration_end_us;
  uint64_t blocks[BN_ENGINE_CACHE_BLOCKS];
  uint64_t block_used[BN_ENGINE_CACHE_BLOCKS];
  uint64_t use_count;
  uint32_t retained[BN_ENGINE_RETAINED_MAX]; /* KV state of stopped streams;
                                                index + 1 */
  uint32_t retained_next;

  /* Events of the last step, for the caller.  */
  uint32_t first[BN_ENGINE_SLOTS_MAX];
  uint32_t first_len;
  uint32_t done[BN_ENGINE_SLOTS_MAX];
  uint32_t done_len;
  uint64_t added[BN_ENGINE_SLOTS_MAX * BN_PREFIX_BLOCKS_MAX];
  uint32_t added_len;
  uint64_t evicted[BN_ENGINE_SLOTS_MAX * BN_PREFIX_BLOCKS_MAX];
  uint32_t evicted_len;
} bn_engine;

#ifdef __cplusplus
extern "C"
{
#endif

  bool bn_engine_add (bn_engine *e, uint32_t work);
  void bn_engine_remove (bn_engine *e, bn_work *all, uint32_t work,
                         bool retain);
  void bn_engine_kill (bn_engine *e, bn_work *all);
  void bn_engine_step (bn_engine *e, bn_work *all, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
