/* te.h -- stand-in engine: continuous batching, prefix cache, streams.

   Used by standin-engine; the load client and the tests compute the expected
   texts with te_token.

   The HTTP interface is that of section 6.2 of the design page.  The engine
   works in steps.  A step prefills one chunk of one stream and decodes one
   token of each other running stream.  It lasts

     (1 + slowdown x (decoding - 1)) / decode rate  +  chunk / prefill rate

   divided by the time scale; decoding is the number of streams that decode.
   Requests past the slots wait in a FIFO queue.

   Events: a stream of N tokens has N events with a token each, then one with
   the finish reason and the usage, then [DONE].  "from=K" skips K events.
   The text of token I is te_token (stream id, prompt, I); the prompt is the
   "prompt" string or the "content" strings of all messages joined by "\n".
   A prompt has one token for each 4 bytes, rounded up.

   DELETE /v1/streams/ID ends the body of a streamed response without [DONE].
   A caller that waits for a response that is not streamed gets 409
   "cancelled"; with ?keep=1 its connection is closed.

   The prefix cache works in blocks of TE_BLOCK_TOKENS tokens.  The hash of
   block K is st_hash (bytes of the block, hash of block K-1), the one before
   the first being 0.  Only complete blocks are cached.

   Other paths: POST /v1/streams/ID/resume?from=K restarts a stopped stream
   and streams from event K.  PUT /v1/streams/ID/kv takes what GET
   of the same path returned and makes a stopped stream of it.  POST /orders
   {kind: load | unload, model, version, fence}.  POST /faults with any of

     {"bad_version": V, "bad_mode": "fail"|"slow"|"load"|"route",
      "bad_load": N, "bad_route": R, "bad_from_ms": N (from now),
      "slow_factor": X,     all steps take X times as long
      "refuse": bool,       503 not_admitted for every request
      "copy_refusals": bool, sends each refusal again, before the response to
                            the next completion on its connection
      "cut_streams": true,  closes the connections of all streams now
      "cut_after_events": N} closes one connection after N events

     te_engine *e = te_make (&(te_desc){ .base = base, .slots = 8,
                                         .listen = "127.0.0.1:0" }, &err); */
#ifndef TE_H
#define TE_H

#include "er.h"
#include "st.h"

#include <event2/event.h>
#include <jansson.h>

#define TE_BLOCK_TOKENS 64
#define TE_BLOCK_BYTES (TE_BLOCK_TOKENS * 4)
#define TE_TOKEN_LEN 9 /* bytes of a token's text */

typedef struct te_engine te_engine;

typedef enum
{
  TE_GOOD = 0,
  TE_FAIL,         /* 500 after the prefill */
  TE_SLOW,         /* 6 times slower */
  TE_FAIL_ON_LOAD, /* fails while bad_load or more streams run */
  TE_FAIL_ON_ROUTE /* fails on bad_route only */
} te_bad_mode;

typedef struct
{
  struct event_base *base;
  const char *listen;
  const char *name;     /* VM list name; NULL means engine-PORT */
  const char *model;    /* NULL means "m1" */
  const char *versions; /* comma separated; NULL means "v1" */
  const char *region;
  const char *data_center;
  const char *platform;        /* IP:PORT to register at; NULL means none */
  uint32_t slots;              /* batch limit; 0 means 8 */
  double prefill_tokens_per_s; /* 0 means 8000 */
  double decode_tokens_per_s;  /* of a stream alone; 0 means 50 */
  double decode_slowdown;      /* see above; 0 means none */
  double time_scale;           /* 0 means 1 */
  uint32_t report_lag_ms;      /* lag of GET /load and of cache events */
  uint32_t cache_tokens;       /* 0 means 65536 */
  uint32_t kv_tokens_max;      /* 0 means 262144 */
  double cache_gap_rate;       /* fraction of cache events that are lost */
  uint32_t load_ms;            /* time to load a version; 0 means 2000 */
  uint32_t orphan_ms; /* time until a stream without a reader is cancelled; 0
                         means 30000 */
  bool check_fence;   /* refuse orders with an old fence */
  bool instant;       /* respond without delay, for measurements */
  uint32_t stall_after_tokens; /* instant: the stream stays open after this
                                  many tokens; 0 means never */
  te_bad_mode bad_mode;
  const char *bad_version; /* NULL means none */
  uint32_t bad_load;
  const char *bad_route;
  uint32_t bad_from_ms;
} te_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  te_engine *te_make (const te_desc *desc, er_error *err);
  void te_destroy (te_engine *e);
  uint16_t te_query_port (const te_engine *e);
  uint32_t te_query_open_streams (const te_engine *e);
  json_t *te_query_received (const te_engine *e);
  void te_set_faults (te_engine *e, const json_t *faults);
  void te_leave (te_engine *e);
  void te_token (st_str id, uint64_t prompt_hash, uint32_t index,
                 char text[TE_TOKEN_LEN + 1]);
  uint64_t te_prompt_hash (st_str prompt);
  uint32_t te_prompt_tokens (st_str prompt);

#ifdef __cplusplus
}
#endif

#endif
