/* standin-service: a stand-in for an ordinary service, for tests and the
   demo.  */
#include "th.h"
#include "ts.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct
{
  ts_desc desc;
  ts_service *service;
  uint32_t leave_ms; /* time from SIGTERM to the exit; 0: at once */
} _program;

static const struct argp_option _options[] = {
  { "listen", 'l', "IP:PORT", 0, "listen address (127.0.0.1:0)", 0 },
  { "name", 'n', "NAME", 0, "name in the VM list", 0 },
  { "service", 's', "NAME", 0, "service (orders)", 0 },
  { "region", 'r', "NAME", 0, "region", 0 },
  { "data-center", 'd', "NAME", 0, "data centre", 0 },
  { "platform", 'p', "IP:PORT", 0, "platform to register at", 0 },
  { "delay-ms", 'D', "MS", 0, "delay of each response (0)", 0 },
  { "leave-ms", 'L', "MS", 0,
    "on SIGTERM, be listed as leaving for this time (0)", 0 },
  { 0 },
};

static error_t
_parse (int key, char *arg, struct argp_state *state)
{
  _program *p = state->input;
  switch (key)
    {
    case 'l':
      p->desc.listen = arg;
      return 0;
    case 'n':
      p->desc.name = arg;
      return 0;
    case 's':
      p->desc.service = arg;
      return 0;
    case 'r':
      p->desc.region = arg;
      return 0;
    case 'd':
      p->desc.data_center = arg;
      return 0;
    case 'p':
      p->desc.platform = arg;
      return 0;
    case 'D':
      p->desc.delay_ms = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case 'L':
      p->leave_ms = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
_on_signal (evutil_socket_t fd, short what, void *user)
{
  _program *p = user;
  struct timeval tv = { p->leave_ms / 1000, p->leave_ms % 1000 * 1000 };
  (void)fd;
  (void)what;
  if (p->leave_ms > 0)
    ts_leave (p->service);
  event_base_loopexit (p->desc.base, &tv);
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { _options, _parse, NULL, "Stand-in service.", NULL, NULL, NULL };
  _program p = { .desc = { .listen = "127.0.0.1:0" } };
  er_error err = { 0 };
  struct event *term;
  argp_parse (&parser, argc, argv, 0, NULL, &p);
  p.desc.base = event_base_new ();
  p.service = ts_make (&p.desc, &err);
  if (p.service == NULL)
    {
      fprintf (stderr, "standin-service: %s\n", err.message);
      event_base_free (p.desc.base);
      return 1;
    }
  term = evsignal_new (p.desc.base, SIGTERM, _on_signal, &p);
  event_add (term, NULL);
  th_announce ("standin-service", p.desc.listen, ts_query_port (p.service));
  event_base_dispatch (p.desc.base);
  event_free (term);
  ts_destroy (p.service);
  event_base_free (p.desc.base);
  return 0;
}
