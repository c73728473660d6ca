/* Orders, which must not run twice, go through six gateways to a service
   with two workers.  For some seconds at a time both workers reject a part of
   the requests, and send a few answers a second time, late.  Each order is one
   request with an id of its own; the check compares what the clients were told
   with what the workers ran.  */
#include "../standins/rv.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GATEWAYS 6
#define WORKERS 2
#define CLIENTS 24
#define LENGTH_MS 78000
#define GAP_MS 200 /* mean time between the orders of a client */
#define DEADLINE_MS 2000
/* Largest doses that the site file names.  All workers reject, and a share of
   0.6 of them, which is one of two, sends answers twice.  */
#define REJECT_MS 4000
#define REJECT_FRACTION 0.45
#define DUPLICATE_MS 5000
#define DUPLICATE_FRACTION 0.03
#define DUPLICATING_WORKERS 1
#define PAUSE_MS 500

static rv_worker *workers[WORKERS];
static volatile bool stopping;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static int sent;
static int answered;
static int run_twice;
static int refused_but_run;
static int foreign;

/* One order and what the client was told: 0 without an answer.  */
typedef struct
{
  char id[RV_ID_MAX];
  int status;
} order;

static order orders[100000];

/* Sends one order on C, a kept connection, or on a new one; stores what was
   answered in O.  False when C cannot be used any more.  */
static bool
send_order (rv_conn *c, order *o)
{
  char text[1024];
  char id[RV_ID_MAX];
  char close_field[32];
  static __thread rv_message m;
  snprintf (text, sizeof text,
            "POST /orders/place HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Dotterelbend-Request-Id: %s\r\n"
            "X-Dotterelbend-Deadline-Ms: %d\r\n"
            "Content-Type: application/json\r\n"
            "Content-Length: 11\r\n\r\n{\"rolls\":3}",
            o->id, DEADLINE_MS);
  rv_record ("send %s", o->id);
  if (!rv_send (c->fd, text, strlen (text)) || !rv_read_message (c, &m, true))
    {
      rv_record ("no answer %s", o->id);
      return false;
    }
  o->status = atoi (m.head + strlen ("HTTP/1.1 "));
  rv_field (&m, "X-Dotterelbend-Request-Id", id, sizeof id);
  rv_record ("answer %s %d %s", o->id, o->status,
             m.body_len > 0 ? m.body : "");
  pthread_mutex_lock (&mutex);
  answered++;
  if (strcmp (id, o->id) != 0)
    foreign++;
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
      order *o = &orders[sent];
      snprintf (o->id, sizeof o->id, "order-%d", sent++);
      pthread_mutex_unlock (&mutex);
      if (!send_order (&c, o))
        {
          close (c.fd);
          c.fd = -1;
        }
    }
  if (c.fd >= 0)
    close (c.fd);
  return NULL;
}

static void
set_faults (double reject, double duplicate)
{
  rv_record ("workers reject %.2f and send twice %.2f", reject, duplicate);
  for (int i = 0; i < WORKERS; i++)
    {
      rv_faults faults = { .refuse = reject };
      if (i < DUPLICATING_WORKERS)
        faults.duplicate = duplicate;
      rv_set_faults (workers[i], &faults);
    }
}

static void
check (void)
{
  for (int i = 0; i < sent; i++)
    {
      int runs = rv_query_runs (orders[i].id);
      int status = orders[i].status;
      bool promised
          = status == 429 || status == 503 || status == 408 || status == 421;
      if (runs > 1)
        {
          run_twice++;
          rv_record ("TWICE %s ran %d times, answer %d", orders[i].id, runs,
                     status);
        }
      if (promised && runs > 0)
        {
          refused_but_run++;
          rv_record ("REFUSED %s was answered %d and ran %d times",
                     orders[i].id, status, runs);
        }
    }
}

static void
run_clients (bool trouble)
{
  pthread_t threads[CLIENTS];
  int numbers[CLIENTS];
  for (int i = 0; i < CLIENTS; i++)
    {
      numbers[i] = i;
      pthread_create (&threads[i], NULL, run_client, &numbers[i]);
    }
  uint64_t end_ms = rv_now_ms () + LENGTH_MS;
  while (rv_now_ms () < end_ms)
    {
      rv_sleep_ms (PAUSE_MS);
      if (trouble)
        set_faults (REJECT_FRACTION, DUPLICATE_FRACTION);
      rv_sleep_ms (REJECT_MS);
      if (trouble)
        set_faults (0, DUPLICATE_FRACTION);
      rv_sleep_ms (DUPLICATE_MS - REJECT_MS);
      if (trouble)
        set_faults (0, 0);
    }
  stopping = true;
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  /* A request may still run whose answer was given.  */
  rv_sleep_ms (DEADLINE_MS);
}

int
main (int argc, char **argv)
{
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
    {
      rv_worker_desc desc = {
        .service = "orders", .version = "v1", .slots = 6, .work_ms = 30
      };
      snprintf (desc.id, sizeof desc.id, "i-0000000%d", i + 1);
      workers[i] = rv_start_worker (&desc);
    }
  if (!rv_start_gateways (argv[1], argv[2], GATEWAYS, store)
      || !rv_wait_until_ready ("/status/1"))
    {
      fprintf (stderr, "the gateways are not ready\n");
      rv_stop_gateways ();
      return 2;
    }
  run_clients (trouble == NULL || strcmp (trouble, "0") != 0);
  check ();
  rv_stop_gateways ();
  rv_record ("%d sent, %d answered, %d ran twice, %d refused though run, "
             "%d foreign",
             sent, answered, run_twice, refused_but_run, foreign);
  printf ("%d sent, %d answered, %d ran twice, %d refused though run, "
          "%d foreign\n",
          sent, answered, run_twice, refused_but_run, foreign);
  rv_close_record ();
  return run_twice + refused_but_run + foreign > 0 ? 1 : 0;
}
