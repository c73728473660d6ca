/* standin-platform: a stand-in for the configuration store, the VM list and
   the weight store, for tests and the demo.  */
#include "th.h"
#include "tp.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

static const struct argp_option _options[]
    = { { "listen", 'l', "IP:PORT", 0, "listen address (127.0.0.1:0)", 0 },
        { "list-lag-ms", 'g', "MS", 0, "lag of the VM list (0)", 0 },
        { "weights-per-min", 'w', "N", 0, "weight fetches per minute (60)",
          0 },
        { 0 } };

static error_t
_parse (int key, char *arg, struct argp_state *state)
{
  tp_desc *desc = state->input;
  switch (key)
    {
    case 'l':
      desc->listen = arg;
      return 0;
    case 'g':
      desc->list_lag_ms = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case 'w':
      desc->weights_per_min = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
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
      = { _options, _parse, NULL, "Stand-in platform.", NULL, NULL, NULL };
  tp_desc desc = { .listen = "127.0.0.1:0" };
  er_error err = { 0 };
  struct event *term;
  argp_parse (&parser, argc, argv, 0, NULL, &desc);
  desc.base = event_base_new ();
  tp_platform *p = tp_make (&desc, &err);
  if (p == NULL)
    {
      fprintf (stderr, "standin-platform: %s\n", err.message);
      event_base_free (desc.base);
      return 1;
    }
  term = evsignal_new (desc.base, SIGTERM, _on_signal, desc.base);
  event_add (term, NULL);
  th_announce ("standin-platform", desc.listen, tp_query_port (p));
  event_base_dispatch (desc.base);
  event_free (term);
  tp_destroy (p);
  event_base_free (desc.base);
  return 0;
}
