/* loadclient: sends a seeded mix of requests to dotterelbend VMs and writes
   a report, or checks a report against what the upstreams received.  */
#include "lc.h"
#include "lj.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  OPT_REGION = 256,
  OPT_MODELS,
  OPT_SERVICE,
  OPT_KINDS,
  OPT_REQUESTS,
  OPT_IN_FLIGHT,
  OPT_RATE,
  OPT_ATTEMPTS,
  OPT_TIMEOUT,
  OPT_TOKENS,
  OPT_SEED,
  OPT_REPORT,
  OPT_JUDGE
};

/* Most files with a response of GET /received.  */
#define RECEIVED_MAX 256

typedef struct
{
  lc_desc desc;
  const char *report;
  const char *judge;
  const char *received[RECEIVED_MAX];
  size_t received_count;
} _program;

static const struct argp_option _options[] = {
  { "vms", 'v', "IP:PORT,..", 0, "VMs that give the addresses", 0 },
  { "region", OPT_REGION, "NAME", 0, "region of the caller", 0 },
  { "models", OPT_MODELS, "NAME,..", 0, "models (m1)", 0 },
  { "service", OPT_SERVICE, "NAME", 0, "service (orders)", 0 },
  { "kinds", OPT_KINDS, "KIND,..", 0, "of chat, whole, text, read, call", 0 },
  { "requests", OPT_REQUESTS, "N", 0, "number of requests (100)", 0 },
  { "in-flight", OPT_IN_FLIGHT, "N", 0, "most concurrent requests (32)", 0 },
  { "rate", OPT_RATE, "N", 0, "requests per second", 0 },
  { "attempts", OPT_ATTEMPTS, "N", 0, "most attempts of one request (8)", 0 },
  { "timeout-ms", OPT_TIMEOUT, "MS", 0, "time-out of one request (60000)", 0 },
  { "max-tokens", OPT_TOKENS, "N", 0, "tokens of the longest response (32)",
    0 },
  { "seed", OPT_SEED, "N", 0, "seed of the mix (1)", 0 },
  { "report", OPT_REPORT, "FILE", 0, "report (standard output)", 0 },
  { "judge", OPT_JUDGE, "REPORT", 0,
    "check REPORT against the upstreams' /received responses in the FILEs",
    0 },
  { 0 },
};

static uint32_t
_u32 (const char *arg)
{
  return (uint32_t)strtoul (arg, NULL, 10);
}

static error_t
_parse (int key, char *arg, struct argp_state *state)
{
  _program *p = state->input;
  lc_desc *d = &p->desc;
  switch (key)
    {
    case 'v':
      d->vms = arg;
      return 0;
    case OPT_REGION:
      d->region = arg;
      return 0;
    case OPT_MODELS:
      d->models = arg;
      return 0;
    case OPT_SERVICE:
      d->service = arg;
      return 0;
    case OPT_KINDS:
      d->kinds = arg;
      return 0;
    case OPT_REQUESTS:
      d->requests = _u32 (arg);
      return 0;
    case OPT_IN_FLIGHT:
      d->in_flight = _u32 (arg);
      return 0;
    case OPT_RATE:
      d->rate = strtod (arg, NULL);
      return 0;
    case OPT_ATTEMPTS:
      d->attempts = _u32 (arg);
      return 0;
    case OPT_TIMEOUT:
      d->timeout_ms = _u32 (arg);
      return 0;
    case OPT_TOKENS:
      d->max_tokens = _u32 (arg);
      return 0;
    case OPT_SEED:
      d->seed = _u32 (arg);
      return 0;
    case OPT_REPORT:
      p->report = arg;
      return 0;
    case OPT_JUDGE:
      p->judge = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (p->received_count == RECEIVED_MAX)
        argp_error (state, "give at most %d files", RECEIVED_MAX);
      p->received[p->received_count++] = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
_print_summary (const json_t *report)
{
  static const char *const outcomes[]
      = { "answered", "not_run", "not_sent", "unknown",
          "wrong",    "error",   "lost" };
  size_t i;
  const json_t *r;
  fprintf (stderr, "loadclient: %d sent",
           (int)json_integer_value (json_object_get (report, "sent")));
  for (size_t o = 0; o < sizeof outcomes / sizeof outcomes[0]; o++)
    {
      int count = 0;
      json_array_foreach (json_object_get (report, "requests"), i, r) count
          += strcmp (json_string_value (json_object_get (r, "outcome")),
                     outcomes[o])
             == 0;
      if (count > 0)
        fprintf (stderr, ", %d %s", count, outcomes[o]);
    }
  fprintf (stderr, "\n");
}

static int
_check_report (const _program *p)
{
  json_t *received[RECEIVED_MAX];
  json_error_t error;
  lj_verdict v;
  GString *reasons = g_string_new (NULL);
  json_t *report = json_load_file (p->judge, 0, &error);
  bool ok = report != NULL;
  if (!ok)
    fprintf (stderr, "loadclient: %s: %s\n", p->judge, error.text);
  for (size_t i = 0; i < p->received_count; i++)
    {
      received[i] = json_load_file (p->received[i], 0, &error);
      if (received[i] == NULL)
        {
          fprintf (stderr, "loadclient: %s: %s\n", p->received[i], error.text);
          ok = false;
        }
    }
  ok = lj_check (&v, report, received, p->received_count, reasons) && ok;
  fprintf (stderr, "%s", reasons->str);
  printf ("%u sent, %u answered, %u not run, %u unknown, %u lost, %u run "
          "twice\n",
          v.sent, v.answered, v.not_run, v.unknown, v.lost, v.run_twice);
  for (size_t i = 0; i < p->received_count; i++)
    json_decref (received[i]);
  json_decref (report);
  g_string_free (reasons, TRUE);
  return ok ? 0 : 1;
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { _options, _parse, "[FILE...]", "Load client.", NULL, NULL, NULL };
  _program p = { .desc = { .seed = 1 } };
  er_error err = { 0 };
  argp_parse (&parser, argc, argv, 0, NULL, &p);
  if (p.judge != NULL)
    return _check_report (&p);
  signal (SIGPIPE, SIG_IGN);
  p.desc.base = event_base_new ();
  lc_client *c = lc_make (&p.desc, &err);
  if (c == NULL)
    {
      fprintf (stderr, "loadclient: %s\n", err.message);
      event_base_free (p.desc.base);
      return 1;
    }
  lc_start (c);
  event_base_dispatch (p.desc.base);
  json_t *report = lc_report (c);
  _print_summary (report);
  int status = p.report != NULL
                   ? json_dump_file (report, p.report, JSON_INDENT (1))
                   : json_dumpf (report, stdout, JSON_INDENT (1));
  if (status != 0)
    fprintf (stderr, "loadclient: cannot write the report to %s\n",
             p.report != NULL ? p.report : "standard output");
  json_decref (report);
  lc_destroy (c);
  event_base_free (p.desc.base);
  return status != 0;
}
