/* cs.h -- scheduler of one cell: queues requests by tier, chooses engines,
   assigns slots.

   A cell is a set of engines of one data centre and one model.  The cell
   owner passes events in and takes decisions out.  A dispatcher is a process
   that submits requests and sends them to the engines.  The module uses no
   clock and no I/O and allocates no memory after cs_make; every call takes
   the monotonic time in microseconds.

     cs_cell *cs = cs_make (&(cs_desc){ 0 });
     id_handle e = cs_make_engine (cs, &engine, now_us);
     cs_submit (cs, &request, now_us);
     cs_decision d;
     while (cs_next (cs, now_us, &d))
       switch (d.kind)
         {
         case CS_GRANT:  // the dispatcher sends d.request to d.engine
         case CS_REFUSE: // the request is over; nothing was dispatched
         case CS_STOP:   // the dispatcher stops the stream, keeps its state
         }
     cs_first_token (cs, request, ttft_us, now_us);   // optional, see there
     cs_done (cs, request, &done, now_us);
     cs_destroy (cs);

   Call cs_tick at least every 50 ms.  After it and after every input, call
   cs_next until it returns false.  A submitted request ends in one of three
   ways: CS_REFUSE; cs_cancel while it waits; or CS_GRANT, possibly CS_STOP,
   and then cs_done.
   A stopped request ends with cs_done and CS_STOPPED; the dispatcher submits
   it again with resume_of set.  A request that the engine did not admit ends
   with CS_NOT_ADMITTED and may be submitted again.

   Tiers below strict_tiers are urgent.  Among the non-urgent tiers a request
   gains one tier for each age_step_us that it waits; once it has waited for
   age_bound_us, only urgent requests and older ones that can be granted go
   before it.  While two teams of a tier have waiting work that can be granted,
   the tokens granted to each, divided by its weight, differ by at most two
   quanta and the largest request of either.  */
#ifndef CS_H
#define CS_H

#include "al.h"
#include "id.h"
#include "st.h"

#include <stdbool.h>
#include <stdint.h>

#define CS_TIERS 5
#define CS_ENGINES_MAX 64
#define CS_VERSIONS_MAX 16
#define CS_PREFIX_MAX 8
#define CS_BATCH_BUCKETS 9
#define CS_ROUTES_MAX 64

/* Stands for zero in a setting where 0 means the default.  */
#define CS_NONE UINT32_MAX

typedef struct cs_cell cs_cell;

typedef struct
{
  uint32_t max_engines;         /* 0: 16; at most CS_ENGINES_MAX */
  uint32_t max_waiting;         /* 0: 4096; at least the sum of all slots */
  uint32_t max_running;         /* 0: 2048; at least the sum of all slots */
  uint32_t max_teams;           /* 0: 256 */
  uint32_t max_prefixes;        /* 0: 16384 hashes */
  uint32_t strict_tiers;        /* 0: 2, tiers 0 and 1 are urgent */
  uint32_t headroom_percent;    /* slots reserved for urgent work; 0: 12% */
  uint32_t quantum_tokens;      /* of the deficit round robin; 0: 2048 */
  uint64_t age_step_us;         /* 0: 5 s */
  uint64_t age_bound_us;        /* 0: 30 s */
  uint64_t implied_deadline_us; /* orders requests without one; 0: 30 s */
  uint64_t probe_interval_us;   /* least time between probes; 0: 1 s */
  uint64_t report_max_age_us;   /* older load reports are ignored; 0: 5 s */
  uint64_t long_prefill_min_us; /* a shorter one is never long; 0: 150 ms */
  /* An engine is granted more prefill only while the prefill granted to it
     takes at most this time, because engines have no priorities: this much
     for non-urgent work, twice as much for urgent work.  Urgent work that
     meets its first token target may exceed the limit, unless more urgent
     work is waiting because of it.  0: 100 ms.  */
  uint64_t prefill_ahead_max_us;
  uint64_t collect_until_us; /* no decision before this time */
  al_allocator allocator;
} cs_desc;

typedef struct
{
  st_str name;
  st_str region;
  st_str data_center;
  const uint64_t *versions; /* st_hash (name, 0) of each loaded version */
  uint32_t version_count;
  uint32_t slots;
  bool leaving;           /* no new work */
  uint64_t kv_tokens_max; /* 0: no limit */
  /* Prefill rate and times between tokens are initial estimates, which
     measurements correct.  */
  double prefill_tokens_s;   /* 0: 8000 */
  uint64_t base_us;          /* time to first token, empty prompt; 0: 15 ms */
  uint64_t itl_us;           /* time between tokens, batch 1; 0: 20 ms */
  uint64_t itl_per_batch_us; /* added per further stream; 0: 500 us */
} cs_engine_desc;

typedef struct
{
  uint64_t time_us; /* of the measurement, on the cell owner's clock */
  uint32_t running;
  uint32_t queued;
  uint64_t kv_tokens;
} cs_load;

typedef struct
{
  uint64_t hash;
  uint32_t tokens; /* length of the prompt up to the end of this block */
} cs_prefix;

typedef struct
{
  uint64_t request;    /* chosen by the caller, unique in the cell, not 0 */
  uint32_t dispatcher; /* number chosen by the caller */
  uint32_t tier;       /* 0 is the most urgent */
  uint32_t team;       /* below max_teams */
  uint32_t route;
  uint64_t version; /* st_hash (name, 0); 0: any */
  uint32_t prompt_tokens;
  uint32_t expected_tokens;  /* of the response; 0: learned for the route */
  const cs_prefix *prefixes; /* short to long; at most 8 are used */
  uint32_t prefix_count;
  uint64_t deadline_us;       /* of the complete response; 0: none */
  uint64_t first_token_by_us; /* first token target; 0: none */
  id_handle resume_of; /* engine that retains the stopped stream; 0: none */
  /* cs_first_token is not called for this request, because its response is not
     streamed or its dispatcher is on another VM.  Its first token is then
     never overdue.  */
  bool first_token_unreported;
} cs_request;

typedef enum
{
  CS_GRANT = 1,
  CS_REFUSE,
  CS_STOP
} cs_kind;

typedef enum
{
  CS_REASON_NONE = 0,
  CS_REASON_DEADLINE,  /* the deadline cannot be met */
  CS_REASON_FULL,      /* the queue is full */
  CS_REASON_NO_ENGINE, /* no engine here has the version */
  CS_REASON_INVALID    /* malformed or a duplicate */
} cs_reason;

typedef struct
{
  cs_kind kind;
  uint64_t request;
  uint32_t dispatcher;
  uint32_t tier;
  id_handle engine;         /* GRANT, STOP */
  uint64_t first_token_us;  /* GRANT: predicted time to first token */
  uint32_t cached_tokens;   /* GRANT: expected in the engine's cache */
  id_handle import_from;    /* GRANT: fetch the KV cache of the stopped
                               stream from this engine; 0: none */
  cs_reason reason;         /* REFUSE */
  uint32_t retry_after_ms;  /* REFUSE */
  bool has_lower_tier_work; /* REFUSE: runs or waits in this cell */
} cs_decision;

typedef enum
{
  CS_ANSWERED = 0,
  CS_FAILED,
  CS_CANCELLED,
  CS_STOPPED,
  CS_NOT_ADMITTED
} cs_outcome;

typedef struct
{
  cs_outcome outcome;
  uint64_t first_token_us; /* from dispatch; 0: none */
  uint64_t itl_us;         /* mean time between tokens; 0: unknown */
  uint32_t tokens;         /* produced */
} cs_done_info;

typedef struct
{
  st_name name;
  uint32_t slots;
  uint32_t running;          /* granted here and not yet done */
  uint32_t external_running; /* reported by the engine beyond these */
  bool leaving;
  bool slow; /* detected from observed times */
  double prefill_tokens_s;
  uint64_t itl_us;         /* at the current batch size */
  uint64_t batch1_itl_us;  /* at batch 1 */
  uint64_t prefill_end_us; /* predicted end of the granted prefill */
  uint64_t base_us;        /* time to first token, empty prompt */
} cs_engine_view;

typedef struct
{
  uint64_t submitted;
  uint64_t granted;
  uint64_t refused;
  uint64_t stopped;
  uint64_t cancelled;
  uint64_t done;
} cs_counts;

#ifdef __cplusplus
extern "C"
{
#endif

  cs_cell *cs_make (const cs_desc *desc);
  void cs_destroy (cs_cell *cs);

  id_handle cs_make_engine (cs_cell *cs, const cs_engine_desc *desc,
                            uint64_t now_us);
  bool cs_update_engine (cs_cell *cs, id_handle engine,
                         const cs_engine_desc *desc, uint64_t now_us);
  bool cs_destroy_engine (cs_cell *cs, id_handle engine, uint64_t now_us);
  bool cs_set_load (cs_cell *cs, id_handle engine, const cs_load *load,
                    uint64_t now_us);
  bool cs_cache_event (cs_cell *cs, id_handle engine, uint64_t hash,
                       bool added);
  bool cs_cache_gap (cs_cell *cs, id_handle engine);
  bool cs_set_weight (cs_cell *cs, uint32_t team, uint32_t weight);

  bool cs_submit (cs_cell *cs, const cs_request *request, uint64_t now_us);
  bool cs_cancel (cs_cell *cs, uint64_t request, uint64_t now_us);
  bool cs_first_token (cs_cell *cs, uint64_t request, uint64_t first_token_us,
                       uint64_t now_us);
  bool cs_done (cs_cell *cs, uint64_t request, const cs_done_info *done,
                uint64_t now_us);
  bool cs_restore_grant (cs_cell *cs, const cs_request *request,
                         id_handle engine, uint64_t granted_us,
                         uint64_t now_us);
  void cs_remove_dispatcher (cs_cell *cs, uint32_t dispatcher,
                             uint64_t now_us);
  void cs_tick (cs_cell *cs, uint64_t now_us);
  bool cs_next (cs_cell *cs, uint64_t now_us, cs_decision *decision);

  uint32_t cs_query_waiting (const cs_cell *cs, uint32_t tier);
  uint32_t cs_query_running (const cs_cell *cs, uint32_t tier);
  bool cs_query_lower_tier_work (const cs_cell *cs, uint32_t tier,
                                 uint64_t version);
  uint64_t cs_query_estimate (cs_cell *cs, const cs_request *request,
                              uint64_t now_us);
  bool cs_query_engine (const cs_cell *cs, id_handle engine,
                        cs_engine_view *view);
  id_handle cs_query_engine_named (const cs_cell *cs, st_str name);
  cs_counts cs_query_counts (const cs_cell *cs);

#ifdef __cplusplus
}
#endif

#endif
