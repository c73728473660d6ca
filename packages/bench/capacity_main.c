/* dotterelbend-capacity: measures the cost of decisions for fleets of
   different sizes.  Prints markdown tables, the source of docs/CAPACITY.md. */
#include "ce.h"
#include "cs.h"
#include "ms.h"
#include "tl.h"

#include <event2/buffer.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static size_t _bn_allocated;

static void *
_bn_count_alloc (size_t size, void *user)
{
  (void)user;
  void *p = malloc (size > 0 ? size : 1);
  if (p != NULL)
    _bn_allocated += malloc_usable_size (p);
  return p;
}

static void
_bn_count_free (void *ptr, void *user)
{
  (void)user;
  if (ptr != NULL)
    _bn_allocated -= malloc_usable_size (ptr);
  free (ptr);
}

static const al_allocator _bn_allocator
    = { .alloc = _bn_count_alloc, .free = _bn_count_free };

static double
_bn_cpu_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

#define _BN_SLOTS 32
#define _BN_MEASURED_REQUESTS 200000u

typedef struct
{
  cs_cell *cs;
  uint64_t submitted; /* number of the last submitted request */
  uint64_t done;      /* number of the last finished request */
} _bn_flow;

static cs_cell *
_bn_make_cell (uint32_t engines)
{
  cs_cell *cs = cs_make (&(cs_desc){ .max_engines = CE_CELL_ENGINES_MAX,
                                     .max_waiting = 64,
                                     .max_running = 64,
                                     .max_teams = 220,
                                     .max_prefixes = 512 });
  for (uint32_t i = 0; i < engines; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "e%u", i);
      cs_make_engine (
          cs,
          &(cs_engine_desc){ .name = st_from_cstr (name), .slots = _BN_SLOTS },
          0);
    }
  return cs;
}

/* Submits a request whose prompt has eight prefix blocks and runs the
   decisions of the cell.  Returns the CPU time of both in us.  */
static double
_bn_submit_request (_bn_flow *flow, uint64_t now_us)
{
  cs_cell *cs = flow->cs;
  cs_prefix prefixes[CS_PREFIX_MAX];
  uint64_t number = ++flow->submitted;
  for (uint32_t i = 0; i < CS_PREFIX_MAX; i++)
    prefixes[i] = (cs_prefix){ (number % 40) * 64 + i + 1, 60 * (i + 1) };
  cs_request q = { .request = number,
                   .tier = (uint32_t)(number % CS_TIERS),
                   .team = (uint32_t)(number * 7 % 220),
                   .prompt_tokens = 600,
                   .expected_tokens = 100,
                   .prefixes = prefixes,
                   .prefix_count = CS_PREFIX_MAX,
                   .first_token_by_us = now_us + 310000,
                   .deadline_us = now_us + 10000000 };
  cs_decision d;
  double start = _bn_cpu_us ();
  cs_submit (cs, &q, now_us);
  while (cs_next (cs, now_us, &d))
    ;
  return _bn_cpu_us () - start;
}

static void
_bn_finish_request (_bn_flow *flow, uint64_t now_us)
{
  cs_cell *cs = flow->cs;
  cs_decision d;
  uint64_t number = ++flow->done;
  cs_first_token (cs, number, 40000, now_us);
  if (!cs_done (cs, number,
                &(cs_done_info){
                    .first_token_us = 40000, .itl_us = 20000, .tokens = 100 },
                now_us))
    cs_cancel (cs, number, now_us);
  while (cs_next (cs, now_us, &d))
    ;
}

static void
_bn_measure_placement (void)
{
  static const uint32_t sizes[] = { 12, 120, 1200, 12000 };
  /* The CPU time of a clock read, which is subtracted from the results.  */
  double clock_us = _bn_cpu_us ();
  for (int i = 0; i < 100000; i++)
    (void)_bn_cpu_us ();
  clock_us = (_bn_cpu_us () - clock_us) / 100000;
  printf (
      "\n| workers | cells | granted, %% | placement, us | whole request, us "
      "| tick, us |\n|---|---|---|---|---|---|\n");
  for (size_t k = 0; k < sizeof sizes / sizeof sizes[0]; k++)
    {
      uint32_t cells = ce_cell_count (sizes[k]);
      _bn_flow *flows = calloc (cells, sizeof *flows);
      if (flows == NULL)
        abort ();
      for (uint32_t c = 0; c < cells; c++)
        flows[c].cs = _bn_make_cell (sizes[k] / cells);
      uint64_t now_us = 1000000;
      /* Eight requests run in each cell.  */
      for (uint32_t i = 0; i < 8; i++)
        for (uint32_t c = 0; c < cells; c++)
          _bn_submit_request (&flows[c], now_us);
      double place_us = 0, start = _bn_cpu_us ();
      uint32_t c = 0;
      for (uint32_t i = 0; i < _BN_MEASURED_REQUESTS; i++)
        {
          now_us += c == 0 ? 100000 : 0;
          _bn_finish_request (&flows[c], now_us);
          place_us += _bn_submit_request (&flows[c], now_us) - clock_us;
          c = (c + 1) % cells;
        }
      double all_us
          = _bn_cpu_us () - start - 2 * clock_us * _BN_MEASURED_REQUESTS;
      start = _bn_cpu_us ();
      uint32_t ticks = cells < 2000 ? 2000 : cells;
      cs_decision d;
      for (uint32_t i = 0; i < ticks; i++)
        {
          cs_tick (flows[i % cells].cs, now_us);
          while (cs_next (flows[i % cells].cs, now_us, &d))
            ;
        }
      double tick_us = (_bn_cpu_us () - start) / ticks;
      uint64_t granted = 0;
      for (uint32_t i = 0; i < cells; i++)
        granted += cs_query_counts (flows[i].cs).granted;
      printf ("| %u | %u | %.1f | %.2f | %.2f | %.2f |\n", sizes[k], cells,
              100.0 * (double)granted / (_BN_MEASURED_REQUESTS + 8.0 * cells),
              place_us / _BN_MEASURED_REQUESTS, all_us / _BN_MEASURED_REQUESTS,
              tick_us);
      for (uint32_t i = 0; i < cells; i++)
        cs_destroy (flows[i].cs);
      free (flows);
    }
}

static size_t
_bn_cell_bytes (cs_desc desc)
{
  size_t before = _bn_allocated;
  desc.allocator = _bn_allocator;
  cs_cell *cs = cs_make (&desc);
  size_t bytes = _bn_allocated - before;
  cs_destroy (cs);
  return bytes;
}

static void
_bn_print_memory (const char *what, uint64_t count, size_t bytes)
{
  printf ("| %s | %llu | %.1f |\n", what, (unsigned long long)count,
          (double)bytes / 1024);
}

static void
_bn_measure_memory (void)
{
  printf ("\n| input | count | KiB |\n|---|---|---|\n");
  static const uint32_t teams[] = { 5, 220, 2200 };
  for (int i = 0; i < 3; i++)
    _bn_print_memory (
        "one cell, teams", teams[i],
        _bn_cell_bytes ((cs_desc){ .max_engines = CE_CELL_ENGINES_MAX,
                                   .max_teams = teams[i] }));
  static const uint32_t open[] = { 100, 1000, 10000, 100000 };
  for (int i = 0; i < 4; i++)
    _bn_print_memory (
        "one cell, waiting requests", open[i],
        _bn_cell_bytes ((cs_desc){ .max_engines = CE_CELL_ENGINES_MAX,
                                   .max_running = 256,
                                   .max_waiting = open[i] }));
  static const uint32_t prefixes[] = { 1024, 16384, 262144 };
  for (int i = 0; i < 3; i++)
    _bn_print_memory (
        "one cell, prefix hashes", prefixes[i],
        _bn_cell_bytes ((cs_desc){ .max_engines = CE_CELL_ENGINES_MAX,
                                   .max_prefixes = prefixes[i] }));
  static const uint32_t models[] = { 1, 14, 140 };
  for (int i = 0; i < 3; i++)
    _bn_print_memory ("default cells, one a model", models[i],
                      models[i]
                          * _bn_cell_bytes ((cs_desc){
                              .max_engines = CE_CELL_ENGINES_MAX }));
  static const uint32_t vms[] = { 8, 425, 1700 };
  for (int i = 0; i < 3; i++)
    {
      size_t before = _bn_allocated;
      tl_limits *tl = tl_make (&(tl_desc){
          .max_teams = 220, .max_vms = vms[i], .allocator = _bn_allocator });
      _bn_print_memory ("limits of 220 teams, VMs of the region", vms[i],
                        _bn_allocated - before);
      tl_destroy (tl);
    }
}

static void
_bn_measure_split (void)
{
  printf ("\n| engines of one pool | cells | split, ms |\n|---|---|---|\n");
  static const uint32_t sizes[] = { 12, 120, 1200, 12000 };
  for (int k = 0; k < 4; k++)
    {
      uint32_t n = sizes[k];
      char (*names)[24] = calloc (n, sizeof *names);
      st_str *views = calloc (n, sizeof *views);
      uint32_t *cells = calloc (n, sizeof *cells);
      uint32_t *fill = calloc (n, sizeof *fill);
      if (names == NULL || views == NULL || cells == NULL || fill == NULL)
        abort ();
      for (uint32_t i = 0; i < n; i++)
        {
          snprintf (names[i], sizeof names[i], "engine-%05u", i);
          views[i] = st_from_cstr (names[i]);
        }
      double start = _bn_cpu_us ();
      uint32_t count = ce_split (ST_LIT ("dc/model"), views, n, cells, fill);
      printf ("| %u | %u | %.3f |\n", n, count,
              (_bn_cpu_us () - start) / 1000);
      free (fill);
      free (cells);
      free (views);
      free (names);
    }
}

static void
_bn_measure_limits (void)
{
  printf ("\n| VMs of the region | tick of 220 limits, us |\n|---|---|\n");
  static const uint32_t vms[] = { 8, 425, 1700 };
  for (int k = 0; k < 3; k++)
    {
      tl_limits *tl
          = tl_make (&(tl_desc){ .max_teams = 220, .max_vms = vms[k] });
      for (uint32_t v = 0; v < vms[k]; v++)
        tl_set_vm (tl, v, TL_LIVE);
      for (uint32_t t = 0; t < 220; t++)
        tl_set_limit (tl, t, 100, 0);
      double start = _bn_cpu_us ();
      for (uint64_t s = 1; s <= 100; s++)
        tl_tick (tl, s * 1000000);
      printf ("| %u | %.1f |\n", vms[k], (_bn_cpu_us () - start) / 100);
      tl_destroy (tl);
    }
}

static void
_bn_print_message (const char *name, const ms_message *m)
{
  struct evbuffer *out = evbuffer_new ();
  er_error err = { 0 };
  if (out == NULL)
    abort ();
  if (ms_encode (out, m, &err))
    printf ("| %s | %zu |\n", name, evbuffer_get_length (out));
  else
    printf ("| %s | %s |\n", name, err.message);
  evbuffer_free (out);
}

/* Prints the sizes of the frames of one request whose cell owner is another
   VM.  */
static void
_bn_measure_messages (void)
{
  ms_prefix prefixes[CS_PREFIX_MAX];
  for (uint32_t i = 0; i < CS_PREFIX_MAX; i++)
    prefixes[i] = (ms_prefix){ 0xfedcba9876543210ull + i, 500 * (i + 1) };
  printf ("| message | bytes with frame |\n|---|---|\n");
  _bn_print_message (
      "SLOT_ASK, 8 prefix hashes",
      &(ms_message){ .type = MS_SLOT_ASK,
                     .u.slot_ask
                     = { .handle = 1ull << 32 | 70000,
                         .cell = ST_LIT ("region-a/chat-drafts/12"),
                         .tier = 1,
                         .team = ST_LIT ("market-day"),
                         .version = ST_LIT ("label-draft-2026-11"),
                         .route = ST_LIT ("/v1/chat/completions"),
                         .prompt_tokens = 4100,
                         .expected_tokens = 300,
                         .prefix_count = CS_PREFIX_MAX,
                         .prefixes = prefixes,
                         .deadline_ms = 10000 } });
  _bn_print_message (
      "SLOT_GRANT",
      &(ms_message){ .type = MS_SLOT_GRANT,
                     .u.slot_grant = { .handle = 1ull << 32 | 70000,
                                       .engine = ST_LIT ("region-a-w117"),
                                       .grant_id = 1ull << 32 | 70000,
                                       .first_token_us = 90000 } });
  _bn_print_message (
      "SLOT_DONE",
      &(ms_message){ .type = MS_SLOT_DONE,
                     .u.slot_done = { .handle = 1ull << 32 | 70000,
                                      .grant_id = 1ull << 32 | 70000,
                                      .first_token_us = 90000,
                                      .tokens = 300,
                                      .inter_token_us = 21000 } });
}

int
main (void)
{
  _bn_measure_messages ();
  _bn_measure_placement ();
  _bn_measure_memory ();
  _bn_measure_split ();
  _bn_measure_limits ();
  return 0;
}
