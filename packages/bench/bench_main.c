#include "bn.h"

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  uint64_t seed;
  uint64_t seeds;
  const char *report;
  const char *scenario;
  const char *trace;
} _bn_options;

static const struct argp_option _bn_option_list[] = {
  { "seed", 's', "N", 0, "first seed (default 1)", 0 },
  { "seeds", 'n', "N", 0, "number of seeds (default 1)", 0 },
  { "report", 'r', "FILE", 0, "write the figures as CSV", 0 },
  { "scenario", 'c', "NAME", 0, "run this scenario only", 0 },
  { "trace", 't', "FILE", 0,
    "write one line for each request that missed its targets", 0 },
  { 0 },
};

static error_t
_bn_parse (int key, char *arg, struct argp_state *state)
{
  _bn_options *o = state->input;
  switch (key)
    {
    case 's':
      o->seed = strtoull (arg, NULL, 10);
      return 0;
    case 'n':
      o->seeds = strtoull (arg, NULL, 10);
      if (o->seeds == 0 || o->seeds > 1000)
        argp_error (state, "--seeds must be 1 to 1000");
      return 0;
    case 'r':
      o->report = arg;
      return 0;
    case 'c':
      o->scenario = arg;
      return 0;
    case 't':
      o->trace = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp _bn_argp
    = { .options = _bn_option_list,
        .parser = _bn_parse,
        .doc = "Measures the decision modules against simple baselines in "
               "simulated time." };

int
main (int argc, char **argv)
{
  _bn_options o = { .seed = 1, .seeds = 1 };
  argp_parse (&_bn_argp, argc, argv, 0, NULL, &o);
  FILE *trace = NULL;
  if (o.trace != NULL)
    {
      trace = fopen (o.trace, "w");
      if (trace == NULL)
        {
          fprintf (stderr, "%s: %s\n", o.trace, strerror (errno));
          return 1;
        }
      bn_set_trace (trace);
    }
  bn_report *report = bn_make_report ();
  unsigned ran = 0;
  for (const bn_scenario *s = bn_scenarios; s->name != NULL; s++)
    for (uint64_t i = 0; i < o.seeds; i++)
      if (o.scenario == NULL || strcmp (o.scenario, s->name) == 0)
        {
          s->run (report, s->name, o.seed + i);
          ran++;
        }
  int status = 0;
  if (ran == 0)
    {
      fprintf (stderr, "no scenario is named %s\n", o.scenario);
      status = 1;
    }
  bn_print_table (report, stdout);
  bn_print_targets (report, stdout);
  if (o.report != NULL && !bn_write_csv (report, o.report))
    {
      fprintf (stderr, "%s: %s\n", o.report, strerror (errno));
      status = 1;
    }
  bn_destroy_report (report);
  if (trace != NULL)
    fclose (trace);
  return status;
}
