/* pathload: load generator for the request path of one address.

   Prints the results as one JSON line.  With --hold it opens a stream on each
   connection, prints the line after the first event of each and keeps them
   open until SIGTERM.  */
#include "ck.h"
#include "tc.h"
#include "th.h"

#include <argp.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  OPT_CONNECTIONS = 256,
  OPT_REQUESTS,
  OPT_RATE,
  OPT_TOKENS,
  OPT_HOLD,
  OPT_SECONDS
};

typedef struct
{
  const char *target;
  uint32_t connections;
  uint32_t requests;
  double rate; /* 0: as fast as the connections allow */
  uint32_t tokens;
  uint32_t seconds;
  bool hold;
} _load_options;

typedef struct
{
  struct _load *load;
  tc_conn *conn;
  uint64_t due_us; /* send time of the current request by the rate */
  bool busy;
  bool opened;
} _worker;

typedef struct _load
{
  _load_options o;
  struct event_base *base;
  ck_clock clock;
  _worker *workers;
  char body[1024];
  uint32_t sent;
  uint32_t done;
  uint32_t errors;
  uint32_t open;
  uint32_t *latencies_us;
  uint64_t start_us;
  struct event *tick;
} _load;

static const struct argp_option _options[] = {
  { "target", 't', "IP:PORT", 0, "address to load", 0 },
  { "connections", OPT_CONNECTIONS, "N", 0, "connections (32)", 0 },
  { "requests", OPT_REQUESTS, "N", 0, "requests (1000)", 0 },
  { "rate", OPT_RATE, "N", 0, "requests per second", 0 },
  { "max-tokens", OPT_TOKENS, "N", 0, "tokens of a response (16)", 0 },
  { "seconds", OPT_SECONDS, "N", 0, "longest run (30)", 0 },
  { "hold", OPT_HOLD, NULL, 0, "keep the streams open until SIGTERM", 0 },
  { 0 },
};

static error_t
_parse (int key, char *arg, struct argp_state *state)
{
  _load_options *o = state->input;
  switch (key)
    {
    case 't':
      o->target = arg;
      return 0;
    case OPT_CONNECTIONS:
      o->connections = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPT_REQUESTS:
      o->requests = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPT_RATE:
      o->rate = strtod (arg, NULL);
      return 0;
    case OPT_TOKENS:
      o->tokens = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPT_SECONDS:
      o->seconds = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPT_HOLD:
      o->hold = true;
      return 0;
    case ARGP_KEY_END:
      if (o->target == NULL || o->connections == 0)
        argp_error (state, "--target is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
_compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return x < y ? -1 : x > y;
}

static void
_print_result (_load *l)
{
  double seconds = (double)(ck_now_us (&l->clock) - l->start_us) / 1e6;
  uint32_t n = l->done - l->errors;
  qsort (l->latencies_us, n, sizeof *l->latencies_us, _compare);
  printf ("{\"requests\":%u,\"errors\":%u,\"open\":%u,\"seconds\":%.3f,"
          "\"rps\":%.1f,\"p50_us\":%u,\"p99_us\":%u}\n",
          l->done, l->errors, l->open, seconds, n / seconds,
          n > 0 ? l->latencies_us[n / 2] : 0,
          n > 0 ? l->latencies_us[n - 1 - n / 100] : 0);
  fflush (stdout);
}

static void _send_request (_worker *w, uint64_t due_us);

static void
_on_data (st_str data, void *user)
{
  _worker *w = user;
  (void)data;
  if (w->opened)
    return;
  w->opened = true;
  w->load->open++;
  if (w->load->o.hold && w->load->open == w->load->o.connections)
    _print_result (w->load);
}

static void
_on_done (const tc_result *result, void *user)
{
  _worker *w = user;
  _load *l = w->load;
  uint64_t now_us = ck_now_us (&l->clock);
  w->busy = false;
  if (result->end != TC_COMPLETE || result->status != 200)
    l->errors++;
  else
    l->latencies_us[l->done - l->errors] = (uint32_t)(now_us - w->due_us);
  l->done++;
  if (result->end != TC_COMPLETE)
    {
      tc_destroy (w->conn);
      w->conn = tc_make (l->base, l->o.target);
    }
  if (l->done >= l->o.requests)
    event_base_loopbreak (l->base);
  else if (l->o.rate <= 0 && l->sent < l->o.requests)
    _send_request (w, now_us);
}

static void
_send_request (_worker *w, uint64_t due_us)
{
  _load *l = w->load;
  w->due_us = due_us;
  w->busy = true;
  l->sent++;
  if (!tc_send (w->conn, &(tc_call){ .method = EVHTTP_REQ_POST,
                                     .path = "/v1/chat/completions",
                                     .body = st_from_cstr (l->body),
                                     .idle_timeout_ms = 600000,
                                     .on_data = _on_data,
                                     .on_done = _on_done,
                                     .user = w }))
    {
      tc_result failed = { .end = TC_NOT_SENT };
      _on_done (&failed, w);
    }
}

/* Sends the requests that are due at the given rate.  When no connection is
   idle a request is sent later, and this delay is part of its latency.  */
static void
_on_tick (evutil_socket_t fd, short what, void *user)
{
  _load *l = user;
  uint64_t now_us = ck_now_us (&l->clock);
  (void)fd;
  (void)what;
  if (now_us - l->start_us > l->o.seconds * CK_S_US && !l->o.hold)
    event_base_loopbreak (l->base);
  for (uint32_t i = 0; i < l->o.connections && l->o.rate > 0; i++)
    {
      uint64_t due_us = l->start_us + (uint64_t)(l->sent * 1e6 / l->o.rate);
      if (due_us > now_us || l->sent >= l->o.requests)
        break;
      if (!l->workers[i].busy)
        _send_request (&l->workers[i], due_us);
    }
}

static void
_on_signal (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (user);
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { _options, _parse, NULL, "Load generator.", NULL, NULL, NULL };
  _load l = {
    .o = { .connections = 32, .requests = 1000, .tokens = 16, .seconds = 30 }
  };
  struct timeval every = { 0, 500 };
  struct event *term;
  argp_parse (&parser, argc, argv, 0, NULL, &l.o);
  signal (SIGPIPE, SIG_IGN);
  if (l.o.hold)
    l.o.requests = l.o.connections + 1;
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  l.base = event_base_new_with_config (config);
  event_config_free (config);
  g_snprintf (l.body, sizeof l.body,
              "{\"model\":\"m1\",\"stream\":true,\"max_tokens\":%u,"
              "\"messages\":[{\"role\":\"user\",\"content\":\"Write one line "
              "for the label of a tea box, in the house style, with the "
              "place of harvest and the month.\"}]}",
              l.o.tokens);
  l.workers = g_new0 (_worker, l.o.connections);
  l.latencies_us = g_new0 (uint32_t, l.o.requests + 1);
  l.start_us = ck_now_us (&l.clock);
  term = evsignal_new (l.base, SIGTERM, _on_signal, l.base);
  event_add (term, NULL);
  l.tick = event_new (l.base, -1, EV_PERSIST, _on_tick, &l);
  event_add (l.tick, &every);
  for (uint32_t i = 0; i < l.o.connections; i++)
    {
      l.workers[i].load = &l;
      l.workers[i].conn = tc_make (l.base, l.o.target);
      if (l.o.rate <= 0 && l.sent < l.o.requests && l.workers[i].conn != NULL)
        _send_request (&l.workers[i], l.start_us);
    }
  event_base_dispatch (l.base);
  if (!l.o.hold)
    _print_result (&l);
  for (uint32_t i = 0; i < l.o.connections; i++)
    tc_destroy (l.workers[i].conn);
  event_base_loop (l.base, EVLOOP_NONBLOCK);
  event_free (term);
  event_free (l.tick);
  g_free (l.workers);
  g_free (l.latencies_us);
  event_base_free (l.base);
  return l.errors > 0;
}
