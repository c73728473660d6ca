/* dotterelbend: the server that runs on each VM.  */
#include "lg.h"
#include "pl_run.h"
#include "sb.h"
#include "si.h"
#include "sv.h"

#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "dotterelbend 0.1.0";

static const char doc[]
    = "Request scheduler for model engines and plain services: the server of "
      "one VM.\v"
      "Example:\n"
      "  dotterelbend --config vm.yaml\n"
      "  dotterelbend --gateway --config gateway.yaml\n\n"
      "SIGTERM drains: the VM leaves the addresses, running requests finish, "
      "then the process exits with status 0.  Exit status 1: the "
      "configuration is wrong or a listener cannot be opened.";

static const struct argp_option options[] = {
  { "config", 'c', "FILE", 0, "configuration of this VM (YAML)", 0 },
  { "gateway", 'g', NULL, 0,
    "serve proxied routes on the users' platform; its configuration is that "
    "of deploy/vm.yaml.tmpl",
    0 },
  { "check", 'n', NULL, 0, "check the configuration and exit", 0 },
  { 0 },
};

typedef struct
{
  const char *config;
  bool check;
  bool gateway;
} arguments;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  arguments *args = state->input;
  switch (key)
    {
    case 'c':
      args->config = arg;
      return 0;
    case 'g':
      args->gateway = true;
      return 0;
    case 'n':
      args->check = true;
      return 0;
    case ARGP_KEY_END:
      if (args->config == NULL)
        argp_error (state, "--config FILE is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Runs the gateway, or only checks its configuration.  */
static int
run_gateway (const arguments *args)
{
  static pl_settings settings;
  er_error err = { .kind = ER_OK };
  if (!pl_load_settings (&settings, args->config, &err))
    {
      fprintf (stderr, "%s\n", err.message);
      return EXIT_FAILURE;
    }
  if (args->check)
    {
      printf ("%s: ok\n", args->config);
      return EXIT_SUCCESS;
    }
  signal (SIGPIPE, SIG_IGN);
  lg_setup (&(lg_desc){
      .vm = settings.vm_name.text, .json = true, .level = LG_WARNING });
  return pl_run (&settings, args->config);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, doc, 0, 0, 0 };
  arguments args = { 0 };
  sb_config config;
  er_error err = { .kind = ER_OK };
  si_block ();
  argp_parse (&argp, argc, argv, 0, NULL, &args);
  if (sodium_init () < 0)
    {
      fprintf (stderr, "dotterelbend: no source of random numbers\n");
      return EXIT_FAILURE;
    }
  if (args.gateway)
    return run_gateway (&args);
  if (!sb_load (&config, args.config, &err))
    {
      fprintf (stderr, "%s\n", err.message);
      return EXIT_FAILURE;
    }
  if (args.check)
    {
      sb_free (&config);
      printf ("%s: ok\n", args.config);
      return EXIT_SUCCESS;
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGHUP, SIG_IGN);
  lg_setup (&(lg_desc){ .vm = config.vm_name.text,
                        .json = config.log_json,
                        .level = config.log_level });
  sv_server *sv = sv_make (&config, &err);
  if (sv == NULL)
    {
      fprintf (stderr, "dotterelbend: %s\n", err.message);
      sb_free (&config);
      return EXIT_FAILURE;
    }
  int status = sv_run (sv);
  sv_destroy (sv);
  return status;
}
