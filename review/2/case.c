/* The workers of a service are replaced one after the other: a new one starts,
   the entry of an old one is removed without a notice, and the old one serves
   on for some seconds.  The store cuts a waiting watch now and then.  The
   check is the time after which a worker that has left gets no request.  */
#include "../standins/rv.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GATEWAYS 3
#define WORKERS 3
#define REPLACEMENTS 12
#define CLIENTS 12
#define GAP_MS 100 /* mean time between the orders of a client */
#define DEADLINE_MS 2000
#define CUT_AFTER_MS 4000
/* drainMs, and how much longer a worker serves.  */
#define DRAIN_MS 2500
#define SERVE_ON_MS 2500
#define WORK_MS 30

static rv_worker *workers[WORKERS + REPLACEMENTS];
static volatile bool stopping;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static int sent;
static int served;

static bool
send_order (rv_conn *c, int number)
{
  static __thread rv_message m;
  char text[512];
  char close_field[32];
  snprintf (text, sizeof text,
            "POST /orders/place HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Dotterelbend-Request-Id: order-%d\r\n"
            "X-Dotterelbend-Deadline-Ms: %d\r\n"
            "Content-Length: 11\r\n\r\n{\"rolls\":3}",
            number, DEADLINE_MS);
  rv_record ("send order-%d", number);
  if (!rv_send (c->fd, text, strlen (text)) || !rv_read_message (c, &m, true))
    return false;
  int status = atoi (m.head + strlen ("HTTP/1.1 "));
  rv_record ("answer order-%d %d", number, status);
  pthread_mutex_lock (&mutex);
  served += status == 200;
  pthread_mutex_unlock (&mutex);
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
      int number = sent++;
      pthread_mutex_unlock (&mutex);
      if (!send_order (&c, number))
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
start_worker (int number)
{
  rv_worker_desc desc = {
    .service = "orders", .version = "v1", .slots = 6, .work_ms = WORK_MS
  };
  snprintf (desc.id, sizeof desc.id, "i-0000%04d", number);
  return rv_start_worker (&desc);
}

int
main (int argc, char **argv)
{
  pthread_t threads[CLIENTS];
  int numbers[CLIENTS];
  int late = 0;
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
    workers[i] = start_worker (i);
  if (!rv_start_gateways (argv[1], argv[2], GATEWAYS, store)
      || !rv_wait_until_ready ("/status/1"))
    {
      fprintf (stderr, "the gateways are not ready\n");
      rv_stop_gateways ();
      return 2;
    }
  if (trouble == NULL || strcmp (trouble, "0") != 0)
    rv_cut_watches (CUT_AFTER_MS);
  for (int i = 0; i < CLIENTS; i++)
    {
      numbers[i] = i;
      pthread_create (&threads[i], NULL, run_client, &numbers[i]);
    }
  for (int i = 0; i < REPLACEMENTS; i++)
    {
      workers[WORKERS + i] = start_worker (WORKERS + i);
      rv_sleep_ms (1000);
      rv_leave (workers[i]);
      rv_sleep_ms (DRAIN_MS + SERVE_ON_MS);
      rv_stop_worker (workers[i]);
    }
  stopping = true;
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  rv_stop_gateways ();
  for (int i = 0; i < REPLACEMENTS; i++)
    late += rv_query_late_arrivals (workers[i], DRAIN_MS);
  rv_record ("%d sent, %d served, %d reached a worker too late", sent, served,
             late);
  printf ("%d sent, %d served, %d reached a worker too late\n", sent, served,
          late);
  rv_close_record ();
  return late > 0 ? 1 : 0;
}
