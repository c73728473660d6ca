/* Starts the gateways as separate processes, each with its settings file, and
   ends them.  */
#include "rv.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_TIMEOUT_MS 15000

extern char **environ;

typedef struct
{
  pid_t pid;
  uint16_t callers;
  uint16_t ready;
  uint16_t directory;
  uint16_t peers;
  uint16_t metrics;
} gateway;

/* A configuration with a service of orders, which may run once, and reads of
   their status.  */
const char rv_config[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"r-place\",\"host\":\"shop.example\",\"prefix\":"
      "\"/orders/\",\"kind\":\"non_idempotent\",\"timeoutMs\":2000,"
      "\"targetLatencyMs\":200,\"priority\":2,\"service\":\"orders\","
      "\"attempts\":2,\"public\":true},"
      "{\"name\":\"r-read\",\"host\":\"shop.example\",\"prefix\":"
      "\"/status/\",\"kind\":\"idempotent\",\"timeoutMs\":2000,"
      "\"targetLatencyMs\":200,\"priority\":2,\"service\":\"orders\","
      "\"attempts\":2,\"public\":true}],"
      "\"services\":[{\"name\":\"orders\",\"healthCheck\":\"/healthz\","
      "\"maxConnections\":100}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static gateway gateways[RV_GATEWAYS_MAX];
static int gateway_count;

static const char *gateway_program;
static const char *gateway_folder;
static uint16_t gateway_store;

static bool
write_settings (const char *path, int index, const gateway *g, uint16_t store)
{
  FILE *file = fopen (path, "w");
  if (file == NULL)
    return false;
  fprintf (file,
           "vm:\n"
           "  name: \"front-%d\"\n"
           "  region: \"region-a\"\n"
           "  data_center: \"zone-a\"\n"
           "  cores: 1\n"
           "  core_share: 0.25\n"
           "listen:\n"
           "  callers: \"127.0.0.1:%u\"\n"
           "  ready: \"127.0.0.1:%u\"\n"
           "  directory: \"127.0.0.1:%u\"\n"
           "  peers: \"127.0.0.1:%u\"\n"
           "  metrics: \"127.0.0.1:%u\"\n"
           "store:\n"
           "  address: \"127.0.0.1:%u\"\n"
           "  lease_min: 1000\n"
           "bounds:\n"
           "  repeat_share: 0.2\n"
           "  repeat_fixed: 54\n"
           "  repeat_window: 10s\n"
           "  quota_slack: 110000\n"
           "  grace: 8s\n"
           "  addresses_valid: 5s\n"
           "data_centers: {\"zone-a\":\"region-a\"}\n",
           index, g->callers, g->ready, g->directory, g->peers, g->metrics,
           store);
  return fclose (file) == 0;
}

static bool
start (int index)
{
  gateway *g = &gateways[index];
  char settings[512];
  char log[512];
  posix_spawn_file_actions_t actions;
  snprintf (settings, sizeof settings, "%s/gateway-%d.yaml", gateway_folder,
            index);
  snprintf (log, sizeof log, "%s/gateway-%d.log", gateway_folder, index);
  if (!write_settings (settings, index, g, gateway_store))
    return false;
  const char *const argv[]
      = { gateway_program, "--gateway", "--config", settings, NULL };
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, 1, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&actions, 1, 2);
  int error = posix_spawn (&g->pid, gateway_program, &actions, NULL,
                           (char *const *)argv, environ);
  posix_spawn_file_actions_destroy (&actions);
  return error == 0;
}

/* Ends the gateways when the script is ended before its time.  */
static void
on_signal (int number)
{
  (void)number;
  for (int i = 0; i < gateway_count; i++)
    if (gateways[i].pid > 0)
      kill (gateways[i].pid, SIGKILL);
  _exit (2);
}

/* Starts COUNT gateways, which keep their settings and logs in FOLDER.  */
bool
rv_start_gateways (const char *program, const char *folder, int count,
                   uint16_t store)
{
  gateway_program = program;
  gateway_folder = folder;
  gateway_store = store;
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  for (gateway_count = 0; gateway_count < count; gateway_count++)
    {
      gateways[gateway_count] = (gateway){ .callers = rv_free_port (),
                                           .ready = rv_free_port (),
                                           .directory = rv_free_port (),
                                           .peers = rv_free_port (),
                                           .metrics = rv_free_port () };
      if (!start (gateway_count))
        return false;
    }
  return true;
}

/* Ends the gateway INDEX at once and starts it again.  */
bool
rv_restart_gateway (int index)
{
  kill (gateways[index].pid, SIGKILL);
  waitpid (gateways[index].pid, NULL, 0);
  return start (index);
}

/* Memory of the gateway INDEX in KiB, without the pages of files that it
   shares; 0 when it is unknown.  */
long
rv_gateway_memory_kb (int index)
{
  char path[64];
  long resident = 0;
  long shared = 0;
  snprintf (path, sizeof path, "/proc/%d/statm", (int)gateways[index].pid);
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return 0;
  bool read = fscanf (file, "%*d %ld %ld", &resident, &shared) == 2;
  fclose (file);
  return read ? (resident - shared) * (sysconf (_SC_PAGESIZE) / 1024) : 0;
}

/* Port of the gateway INDEX for callers.  */
uint16_t
rv_gateway_port (int index)
{
  return gateways[index].callers;
}

static bool
answers (uint16_t port, const char *path)
{
  char text[512];
  rv_message m;
  rv_conn c = { .fd = rv_connect (port) };
  if (c.fd < 0)
    return false;
  snprintf (text, sizeof text,
            "GET %s HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Dotterelbend-Request-Id: ready-%d\r\n"
            "X-Dotterelbend-Deadline-Ms: 1000\r\n\r\n",
            path, rand ());
  bool ok = rv_send (c.fd, text, strlen (text))
            && rv_read_message (&c, &m, true)
            && strncmp (m.head, "HTTP/1.1 200", 12) == 0;
  close (c.fd);
  return ok;
}

/* Waits until all gateways answer GET PATH with 200.  */
bool
rv_wait_until_ready (const char *path)
{
  uint64_t end_ms = rv_now_ms () + READY_TIMEOUT_MS;
  for (int i = 0; i < gateway_count; i++)
    while (!answers (gateways[i].callers, path))
      {
        if (rv_now_ms () > end_ms)
          return false;
        rv_sleep_ms (100);
      }
  return true;
}

/* Ends the gateways.  */
void
rv_stop_gateways (void)
{
  for (int i = 0; i < gateway_count; i++)
    if (gateways[i].pid > 0)
      {
        kill (gateways[i].pid, SIGKILL);
        waitpid (gateways[i].pid, NULL, 0);
      }
  gateway_count = 0;
}
