/* standin-engine: a stand-in for a model engine, for tests and the demo.  */
#include "te.h"
#include "th.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  te_desc desc;
  te_engine *engine;
  uint32_t leave_ms;  /* longest time from SIGTERM to the exit; 0: at once */
  uint32_t waited_ms; /* since SIGTERM */
  struct event *leave_timer;
} _program;

enum
{
  OPT_MODEL = 256,
  OPT_VERSIONS,
  OPT_SLOTS,
  OPT_PREFILL,
  OPT_DECODE,
  OPT_FALL,
  OPT_SCALE,
  OPT_LAG,
  OPT_CACHE,
  OPT_KV,
  OPT_GAP,
  OPT_LOAD_MS,
  OPT_ORPHAN,
  OPT_FENCE,
  OPT_INSTANT,
  OPT_STALL,
  OPT_BAD_MODE,
  OPT_BAD_VERSION,
  OPT_BAD_LOAD,
  OPT_BAD_ROUTE,
  OPT_BAD_FROM,
  OPT_LEAVE
};

static const struct argp_option _options[] = {
  { "listen", 'l', "IP:PORT", 0, "listen address (127.0.0.1:0)", 0 },
  { "name", 'n', "NAME", 0, "name in the VM list", 0 },
  { "region", 'r', "NAME", 0, "region", 0 },
  { "data-center", 'd', "NAME", 0, "data centre", 0 },
  { "platform", 'p', "IP:PORT", 0, "platform to register at", 0 },
  { "model", OPT_MODEL, "NAME", 0, "model (m1)", 0 },
  { "versions", OPT_VERSIONS, "V,V", 0, "loaded versions (v1)", 0 },
  { "slots", OPT_SLOTS, "N", 0, "batch limit (8)", 0 },
  { "prefill", OPT_PREFILL, "TOKENS/S", 0, "prefill rate (8000)", 0 },
  { "decode", OPT_DECODE, "TOKENS/S", 0, "decode rate of a single stream (50)",
    0 },
  { "decode-fall", OPT_FALL, "X", 0,
    "fraction by which each further stream lengthens a step (0)", 0 },
  { "time-scale", OPT_SCALE, "X", 0, "runs X times as fast (1)", 0 },
  { "report-lag-ms", OPT_LAG, "MS", 0, "lag of load reports (0)", 0 },
  { "cache-tokens", OPT_CACHE, "N", 0, "prefix cache (65536)", 0 },
  { "kv-tokens", OPT_KV, "N", 0, "KV memory (262144)", 0 },
  { "cache-gap-rate", OPT_GAP, "X", 0,
    "fraction of cache events that are lost (0)", 0 },
  { "load-ms", OPT_LOAD_MS, "MS", 0, "time to load a version (2000)", 0 },
  { "orphan-ms", OPT_ORPHAN, "MS", 0,
    "time until a stream without a reader is cancelled (30000)", 0 },
  { "check-fence", OPT_FENCE, NULL, 0, "refuse old fencing numbers", 0 },
  { "instant", OPT_INSTANT, NULL, 0, "respond without delay", 0 },
  { "stall-after", OPT_STALL, "N", 0,
    "with --instant: each stream stays open after N tokens", 0 },
  { "bad-mode", OPT_BAD_MODE, "MODE", 0, "fail, slow, load or route", 0 },
  { "bad-version", OPT_BAD_VERSION, "V", 0, "version that is bad", 0 },
  { "bad-load", OPT_BAD_LOAD, "N", 0,
    "running streams from which mode load fails", 0 },
  { "bad-route", OPT_BAD_ROUTE, "NAME", 0, "route on which mode route fails",
    0 },
  { "bad-from-ms", OPT_BAD_FROM, "MS", 0,
    "time from the start until the version is bad (0)", 0 },
  { "leave-ms", OPT_LEAVE, "MS", 0,
    "on SIGTERM, be listed as leaving until idle, at most this long (0)", 0 },
  { 0 },
};

static uint32_t
_u32 (const char *arg)
{
  return (uint32_t)strtoul (arg, NULL, 10);
}

static error_t
_parse_bad_mode (te_desc *d, const char *arg, struct argp_state *state)
{
  if (strcmp (arg, "fail") == 0)
    d->bad_mode = TE_FAIL;
  else if (strcmp (arg, "slow") == 0)
    d->bad_mode = TE_SLOW;
  else if (strcmp (arg, "load") == 0)
    d->bad_mode = TE_FAIL_ON_LOAD;
  else if (strcmp (arg, "route") == 0)
    d->bad_mode = TE_FAIL_ON_ROUTE;
  else
    argp_error (state, "--bad-mode takes fail, slow, load or route");
  return 0;
}

static error_t
_parse (int key, char *arg, struct argp_state *state)
{
  _program *p = state->input;
  te_desc *d = &p->desc;
  switch (key)
    {
    case 'l':
      d->listen = arg;
      return 0;
    case 'n':
      d->name = arg;
      return 0;
    case 'r':
      d->region = arg;
      return 0;
    case 'd':
      d->data_center = arg;
      return 0;
    case 'p':
      d->platform = arg;
      return 0;
    case OPT_MODEL:
      d->model = arg;
      return 0;
    case OPT_VERSIONS:
      d->versions = arg;
      return 0;
    case OPT_SLOTS:
      d->slots = _u32 (arg);
      return 0;
    case OPT_PREFILL:
      d->prefill_tokens_per_s = strtod (arg, NULL);
      return 0;
    case OPT_DECODE:
      d->decode_tokens_per_s = strtod (arg, NULL);
      return 0;
    case OPT_FALL:
      d->decode_slowdown = strtod (arg, NULL);
      return 0;
    case OPT_SCALE:
      d->time_scale = strtod (arg, NULL);
      return 0;
    case OPT_LAG:
      d->report_lag_ms = _u32 (arg);
      return 0;
    case OPT_CACHE:
      d->cache_tokens = _u32 (arg);
      return 0;
    case OPT_KV:
      d->kv_tokens_max = _u32 (arg);
      return 0;
    case OPT_GAP:
      d->cache_gap_rate = strtod (arg, NULL);
      return 0;
    case OPT_LOAD_MS:
      d->load_ms = _u32 (arg);
      return 0;
    case OPT_ORPHAN:
      d->orphan_ms = _u32 (arg);
      return 0;
    case OPT_FENCE:
      d->check_fence = true;
      return 0;
    case OPT_INSTANT:
      d->instant = true;
      return 0;
    case OPT_STALL:
      d->stall_after_tokens = _u32 (arg);
      return 0;
    case OPT_BAD_MODE:
      return _parse_bad_mode (d, arg, state);
    case OPT_BAD_VERSION:
      d->bad_version = arg;
      return 0;
    case OPT_BAD_LOAD:
      d->bad_load = _u32 (arg);
      return 0;
    case OPT_BAD_ROUTE:
      d->bad_route = arg;
      return 0;
    case OPT_BAD_FROM:
      d->bad_from_ms = _u32 (arg);
      return 0;
    case OPT_LEAVE:
      p->leave_ms = _u32 (arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
_on_leave_timer (evutil_socket_t fd, short what, void *user)
{
  _program *p = user;
  (void)fd;
  (void)what;
  p->waited_ms += 100;
  if (p->waited_ms >= p->leave_ms
      || (p->waited_ms > 500 && te_query_open_streams (p->engine) == 0))
    event_base_loopbreak (p->desc.base);
}

static void
_on_signal (evutil_socket_t fd, short what, void *user)
{
  _program *p = user;
  struct timeval tv = { 0, 100000 };
  (void)fd;
  (void)what;
  if (p->leave_ms == 0)
    {
      event_base_loopbreak (p->desc.base);
      return;
    }
  te_leave (p->engine);
  event_add (p->leave_timer, &tv);
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { _options, _parse, NULL, "Stand-in engine.", NULL, NULL, NULL };
  _program p = { .desc = { .listen = "127.0.0.1:0" } };
  er_error err = { 0 };
  struct event *term;
  argp_parse (&parser, argc, argv, 0, NULL, &p);
  p.desc.base = event_base_new ();
  p.engine = te_make (&p.desc, &err);
  if (p.engine == NULL)
    {
      fprintf (stderr, "standin-engine: %s\n", err.message);
      event_base_free (p.desc.base);
      return 1;
    }
  p.leave_timer = event_new (p.desc.base, -1, EV_PERSIST, _on_leave_timer, &p);
  term = evsignal_new (p.desc.base, SIGTERM, _on_signal, &p);
  event_add (term, NULL);
  th_announce ("standin-engine", p.desc.listen, te_query_port (p.engine));
  event_base_dispatch (p.desc.base);
  event_free (term);
  event_free (p.leave_timer);
  te_destroy (p.engine);
  event_base_free (p.desc.base);
  return 0;
}
