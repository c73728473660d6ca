/* The operator orders a roll-out to a version half of whose requests fail
   while over half of a worker's slots are taken.  When the system writes
   "completed", the old workers stop.  The check is the bound on the requests
   that a bad version gets after its 50th bad answer.  */
#include "../standins/rv.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GATEWAYS 3
#define WORKERS 3 /* of each version */
#define CLIENTS 16
#define WORK_MS 90
#define GAP_MS 20 /* mean time between the requests of a client */
#define DEADLINE_MS 2000
#define BEFORE_MS 4000
#define ROLLOUT_S 16
#define AFTER_MS 16000
#define FAIL_FRACTION 0.5
/* EXPOSURE: "later than rollbackMs after its 50th bad answer".  */
#define BAD_ANSWERS 50
#define ROLLBACK_MS 5000
#define REQUESTS_MAX 100000

typedef struct
{
  char id[RV_ID_MAX];
  uint64_t sent_ms;
  int status;
} request;

static request requests[REQUESTS_MAX];
static int sent;
static volatile bool stopping;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static rv_worker *old_workers[WORKERS];

static bool
send_read (rv_conn *c, request *r)
{
  static __thread rv_message m;
  char text[512];
  char close_field[32];
  snprintf (text, sizeof text,
            "GET /status/1 HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Dotterelbend-Request-Id: %s\r\n"
            "X-Dotterelbend-Deadline-Ms: %d\r\n\r\n",
            r->id, DEADLINE_MS);
  r->sent_ms = rv_now_ms ();
  rv_record ("send %s", r->id);
  if (!rv_send (c->fd, text, strlen (text)) || !rv_read_message (c, &m, true))
    return false;
  r->status = atoi (m.head + strlen ("HTTP/1.1 "));
  rv_record ("answer %s %d", r->id, r->status);
  return !rv_field (&m, "Connection", close_field, sizeof close_field);
}

static void *
run_client (void *user)
{
  uint16_t port = rv_gateway_port (*(int *)user % GATEWAYS);
  rv_conn c = { .fd = -1 };
  while (!stopping)
    {
      rv_sleep_ms ((uint64_t)(2 * GAP_MS * rv_random ()));
      if (c.fd < 0)
        c = (rv_conn){ .fd = rv_connect (port) };
      if (c.fd < 0)
        continue;
      pthread_mutex_lock (&mutex);
      request *r = &requests[sent < REQUESTS_MAX - 1 ? sent : sent - 1];
      snprintf (r->id, sizeof r->id, "read-%d", sent++);
      pthread_mutex_unlock (&mutex);
      if (!send_read (&c, r))
        {
          close (c.fd);
          c.fd = -1;
        }
    }
  if (c.fd >= 0)
    close (c.fd);
  return NULL;
}

static rv_worker *
start_worker (const char *version, int number)
{
  rv_worker_desc desc = {
    .service = "orders", .version = version, .slots = 6, .work_ms = WORK_MS
  };
  snprintf (desc.id, sizeof desc.id, "i-%s-%d", version, number);
  return rv_start_worker (&desc);
}

/* Orders the roll-out and does what the platform does at its end.  */
static void
roll_out (bool bad)
{
  char status[256];
  rv_faults faults = { .fail_under_load = bad ? FAIL_FRACTION : 0 };
  for (int i = 0; i < WORKERS; i++)
    rv_set_faults (start_worker ("v2", i), &faults);
  snprintf (status, sizeof status,
            "{\"service\":\"orders\",\"target\":\"v2\",\"durationS\":%d}",
            ROLLOUT_S);
  rv_put ("op/rollout/orders", status);
  rv_record ("roll-out to v2 ordered");
  uint64_t end_ms = rv_now_ms () + ROLLOUT_S * 1000;
  while (rv_now_ms () < end_ms)
    {
      rv_sleep_ms (20);
      if (!rv_get ("status/rollout/orders", status, sizeof status)
          || strstr (status, "running") != NULL)
        continue;
      break;
    }
  rv_record ("roll-out: %s", status);
  printf ("roll-out: %s\n", status);
  if (strstr (status, "completed") != NULL)
    for (int i = 0; i < WORKERS; i++)
      rv_stop_worker (old_workers[i]);
}

/* Counts the requests that reached v2 though they were sent too late for a bad
   version.  */
static int
count_late (void)
{
  int late = 0;
  char of_version[RV_ID_MAX + 8];
  uint64_t bad_ms = rv_query_failure_ms (BAD_ANSWERS);
  for (int i = 0; i < sent && bad_ms != 0; i++)
    {
      snprintf (of_version, sizeof of_version, "v2/%s", requests[i].id);
      if (requests[i].sent_ms > bad_ms + ROLLBACK_MS
          && rv_query_runs (of_version) > 0)
        late++;
    }
  return late;
}

static int
count_failed (void)
{
  int failed = 0;
  for (int i = 0; i < sent; i++)
    failed += requests[i].status >= 500;
  return failed;
}

int
main (int argc, char **argv)
{
  pthread_t threads[CLIENTS];
  int numbers[CLIENTS];
  if (argc != 5)
    {
      fprintf (stderr, "usage: case GATEWAY FOLDER RECORD SEED\n");
      return 2;
    }
  const char *trouble = getenv ("TROUBLE");
  rv_open_record (argv[3], strtoull (argv[4], NULL, 10));
  uint16_t store = rv_start_store ();
  rv_put ("op/config", rv_config);
  for (int i = 0; i < WORKERS; i++)
    old_workers[i] = start_worker ("v1", i);
  if (!rv_start_gateways (argv[1], argv[2], GATEWAYS, store)
      || !rv_wait_until_ready ("/status/1"))
    {
      fprintf (stderr, "the gateways are not ready\n");
      rv_stop_gateways ();
      return 2;
    }
  for (int i = 0; i < CLIENTS; i++)
    {
      numbers[i] = i;
      pthread_create (&threads[i], NULL, run_client, &numbers[i]);
    }
  rv_sleep_ms (BEFORE_MS);
  roll_out (trouble == NULL || strcmp (trouble, "0") != 0);
  rv_sleep_ms (AFTER_MS);
  stopping = true;
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  int late = count_late ();
  int failed = count_failed ();
  rv_stop_gateways ();
  rv_record ("%d sent, %d failed, %d at the bad version too late", sent,
             failed, late);
  printf ("%d sent, %d failed, %d at the bad version too late\n", sent, failed,
          late);
  rv_close_record ();
  return late > 0 ? 1 : 0;
}
