/* bn.h -- measurements of the decision modules in simulated time.

   Used by dotterelbend-bench and the tests.  A scenario writes figures into a
   report.  The placement scenarios run the same arrivals under several
   policies against simulated engines (continuous batching, prefix cache,
   admission in order of arrival, delayed reports).  Everything is in one
   process and depends on the seed only.

     bn_report *report = bn_make_report ();
     bn_run_scenario (report, &bn_scenarios[i], seed);
     bn_write_csv (report, path);
     bn_print_table (report, stdout);
     bn_destroy_report (report);

   A new scenario is a function and an entry in the table of bn_table.c.  */
#ifndef BN_H
#define BN_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define BN_TIERS 5
/* Target for the time to the first token, by design sections 1.3 and 1.6.  */
#define BN_FIRST_TOKEN_TARGET_US 310000

typedef struct bn_report bn_report;

typedef struct
{
  const char *name;
  void (*run) (bn_report *report, const char *name, uint64_t seed);
} bn_scenario;

/* Ends with an entry whose name is NULL.  */
extern const bn_scenario bn_scenarios[];

#ifdef __cplusplus
extern "C"
{
#endif

  bn_report *bn_make_report (void);
  void bn_destroy_report (bn_report *report);
  void bn_add (bn_report *report, const char *scenario, const char *policy,
               uint64_t seed, const char *metric, const char *unit,
               double value);
  bool bn_write_csv (const bn_report *report, const char *path);
  void bn_print_table (const bn_report *report, FILE *out);
  unsigned bn_print_targets (const bn_report *report, FILE *out);

  /* Placement scenarios; see bn_world.c.  */
  void bn_run_placement (bn_report *report, const char *name, uint64_t seed);
  void bn_set_trace (FILE *out);

#ifdef __cplusplus
}
#endif

#endif
