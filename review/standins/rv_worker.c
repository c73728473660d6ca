/* A stand-in for a worker of a plain service.  It serves one request at a time
   on a connection, SLOTS requests at a time, and queues the others.  A faulty
   one rejects some requests, and sends some answers a second time: the copy
   arrives where the next answer on the connection is expected.  */
#include "rv.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct rv_worker
{
  rv_worker_desc desc;
  int listener;
  int running;
  rv_faults faults;
  pthread_mutex_t mutex;
  pthread_cond_t ended;
  GArray *fds; /* of open connections */
  bool stopped;
  uint64_t left_ms; /* time at which its entry was removed; 0: present */
  GArray *arrivals; /* times since then of requests that are not rejected */
};

typedef struct
{
  rv_worker *worker;
  rv_conn conn;
  char copy[512]; /* of the last answer, to be sent late; "": none */
} worker_conn;

static GHashTable *runs; /* request id, or "VERSION/ID", to the runs */
static pthread_mutex_t runs_mutex = PTHREAD_MUTEX_INITIALIZER;

static GArray *failures; /* times of failures under load */

/* Time of the failure NUMBER, from 1, of all versions that fail under load; 0
   before it.  */
uint64_t
rv_query_failure_ms (guint number)
{
  pthread_mutex_lock (&runs_mutex);
  uint64_t ms = failures != NULL && failures->len >= number
                    ? g_array_index (failures, uint64_t, number - 1)
                    : 0;
  pthread_mutex_unlock (&runs_mutex);
  return ms;
}

static void
count_failure (void)
{
  uint64_t now_ms = rv_now_ms ();
  pthread_mutex_lock (&runs_mutex);
  if (failures == NULL)
    failures = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_append_val (failures, now_ms);
  pthread_mutex_unlock (&runs_mutex);
}

/* Number of times that the request ID has run, at all workers, or "VERSION/ID"
   at those of a version.  */
int
rv_query_runs (const char *request_id)
{
  pthread_mutex_lock (&runs_mutex);
  int count = runs != NULL
                  ? GPOINTER_TO_INT (g_hash_table_lookup (runs, request_id))
                  : 0;
  pthread_mutex_unlock (&runs_mutex);
  return count;
}

static void
count_run (const char *request_id)
{
  pthread_mutex_lock (&runs_mutex);
  if (runs == NULL)
    runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  int count = GPOINTER_TO_INT (g_hash_table_lookup (runs, request_id));
  g_hash_table_insert (runs, g_strdup (request_id),
                       GINT_TO_POINTER (count + 1));
  pthread_mutex_unlock (&runs_mutex);
}

/* Runs a request.  False when it fails, because the worker has many.  */
static bool
run (rv_worker *w, const char *request_id, const rv_faults *faults)
{
  char of_version[2 * RV_ID_MAX];
  uint64_t now_ms = rv_now_ms ();
  pthread_mutex_lock (&w->mutex);
  if (w->left_ms != 0)
    {
      uint64_t since_ms = now_ms - w->left_ms;
      g_array_append_val (w->arrivals, since_ms);
      rv_record ("%s arrives at %s %llu ms after it left", request_id,
                 w->desc.id, (unsigned long long)since_ms);
    }
  while (w->running >= w->desc.slots)
    pthread_cond_wait (&w->ended, &w->mutex);
  w->running++;
  bool fails = 2 * w->running > w->desc.slots
               && rv_random () < faults->fail_under_load;
  pthread_mutex_unlock (&w->mutex);
  snprintf (of_version, sizeof of_version, "%s/%s", w->desc.version,
            request_id);
  count_run (request_id);
  count_run (of_version);
  rv_record ("run %s at %s %s%s", request_id, w->desc.id, w->desc.version,
             fails ? ", fails" : "");
  rv_sleep_ms ((uint64_t)w->desc.work_ms);
  pthread_mutex_lock (&w->mutex);
  w->running--;
  pthread_cond_signal (&w->ended);
  pthread_mutex_unlock (&w->mutex);
  if (fails)
    count_failure ();
  return !fails;
}

/* Writes the answer to M to TEXT.  */
static void
answer (rv_worker *w, const rv_message *m, const rv_faults *faults, char *text,
        size_t size)
{
  char request_id[RV_ID_MAX];
  char expected[RV_ID_MAX];
  char body[128];
  bool known = rv_field (m, "X-Dotterelbend-Request-Id", request_id,
                         sizeof request_id);
  if (rv_field (m, "X-Dotterelbend-Expect-Instance", expected, sizeof expected)
      && strcmp (expected, w->desc.id) != 0)
    {
      snprintf (text, size,
                "HTTP/1.1 421 Misdirected Request\r\n"
                "X-Dotterelbend-Request-Id: %s\r\n"
                "X-Dotterelbend-Instance-Id: %s\r\n"
                "Content-Length: 0\r\n\r\n",
                request_id, w->desc.id);
      return;
    }
  if (!known || rv_random () < faults->refuse)
    {
      rv_record ("reject %s at %s", request_id, w->desc.id);
      snprintf (text, size,
                "HTTP/1.1 %s\r\n"
                "X-Dotterelbend-Request-Id: %s\r\n"
                "X-Dotterelbend-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n",
                known ? "503 Service Unavailable" : "400 Bad Request",
                request_id);
      return;
    }
  bool served = run (w, request_id, faults);
  snprintf (body, sizeof body, "{\"order\":\"%s\"}", request_id);
  snprintf (text, size,
            "HTTP/1.1 %s\r\n"
            "X-Dotterelbend-Request-Id: %s\r\n"
            "X-Dotterelbend-Response-Signature: s.%s\r\n"
            "Content-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            served ? "200 OK" : "500 Internal Server Error", request_id,
            request_id, strlen (body), body);
}

static void
forget_connection (rv_worker *w, int fd)
{
  pthread_mutex_lock (&w->mutex);
  for (guint i = 0; i < w->fds->len; i++)
    if (g_array_index (w->fds, int, i) == fd)
      {
        g_array_remove_index_fast (w->fds, i);
        break;
      }
  pthread_mutex_unlock (&w->mutex);
}

static void *
serve_connection (void *user)
{
  worker_conn *c = user;
  rv_worker *w = c->worker;
  rv_message *m = g_new (rv_message, 1);
  char text[512];
  while (rv_read_message (&c->conn, m, true))
    {
      if (c->copy[0] != 0)
        {
          rv_record ("second copy of an answer from %s", w->desc.id);
          rv_send (c->conn.fd, c->copy, strlen (c->copy));
        }
      c->copy[0] = 0;
      pthread_mutex_lock (&w->mutex);
      rv_faults faults = w->faults;
      pthread_mutex_unlock (&w->mutex);
      answer (w, m, &faults, text, sizeof text);
      if (!rv_send (c->conn.fd, text, strlen (text)))
        break;
      if (rv_random () < faults.duplicate)
        g_strlcpy (c->copy, text, sizeof c->copy);
    }
  forget_connection (w, c->conn.fd);
  close (c->conn.fd);
  g_free (m);
  g_free (c);
  return NULL;
}

static void *
accept_connections (void *user)
{
  rv_worker *w = user;
  for (;;)
    {
      pthread_t thread;
      int fd = accept (w->listener, NULL, NULL);
      pthread_mutex_lock (&w->mutex);
      bool stopped = w->stopped;
      if (fd >= 0 && !stopped)
        g_array_append_val (w->fds, fd);
      pthread_mutex_unlock (&w->mutex);
      if (stopped)
        {
          if (fd >= 0)
            close (fd);
          close (w->listener);
          return NULL;
        }
      if (fd < 0)
        continue;
      worker_conn *c = g_new0 (worker_conn, 1);
      c->worker = w;
      c->conn.fd = fd;
      if (pthread_create (&thread, NULL, serve_connection, c) == 0)
        pthread_detach (thread);
    }
  return NULL;
}

/* Starts a worker and writes its entry to the store.  */
rv_worker *
rv_start_worker (const rv_worker_desc *desc)
{
  uint16_t port;
  pthread_t thread;
  char key[128];
  char entry[512];
  rv_worker *w = g_new0 (rv_worker, 1);
  w->desc = *desc;
  w->fds = g_array_new (FALSE, FALSE, sizeof (int));
  w->arrivals = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  w->listener = rv_listen (&port);
  pthread_mutex_init (&w->mutex, NULL);
  pthread_cond_init (&w->ended, NULL);
  pthread_create (&thread, NULL, accept_connections, w);
  snprintf (key, sizeof key, "servers/%s", desc->id);
  snprintf (entry, sizeof entry,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"zone-a\",\"version\":\"%s\",\"slots\":%d,"
            "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,"
            "\"born\":1700000000000}",
            desc->service, port, desc->version, desc->slots);
  rv_put (key, entry);
  return w;
}

/* Sets what W does wrong from now on.  */
void
rv_set_faults (rv_worker *w, const rv_faults *faults)
{
  pthread_mutex_lock (&w->mutex);
  w->faults = *faults;
  pthread_mutex_unlock (&w->mutex);
}

/* Stops W at once: its entry is removed and its connections are closed.  */
void
rv_stop_worker (rv_worker *w)
{
  char key[128];
  snprintf (key, sizeof key, "servers/%s", w->desc.id);
  rv_remove (key);
  pthread_mutex_lock (&w->mutex);
  w->stopped = true;
  shutdown (w->listener, SHUT_RDWR);
  for (guint i = 0; i < w->fds->len; i++)
    shutdown (g_array_index (w->fds, int, i), SHUT_RDWR);
  pthread_mutex_unlock (&w->mutex);
}

/* Removes the entry of W, which goes on serving, without a notice before.  */
void
rv_leave (rv_worker *w)
{
  char key[128];
  snprintf (key, sizeof key, "servers/%s", w->desc.id);
  rv_remove (key);
  pthread_mutex_lock (&w->mutex);
  w->left_ms = rv_now_ms ();
  pthread_mutex_unlock (&w->mutex);
  rv_record ("%s leaves", w->desc.id);
}

/* Number of requests that reached W later than AFTER_MS after its entry was
   removed.  */
int
rv_query_late_arrivals (const rv_worker *w, uint64_t after_ms)
{
  int late = 0;
  for (guint i = 0; i < w->arrivals->len; i++)
    late += g_array_index (w->arrivals, uint64_t, i) > after_ms;
  return late;
}
