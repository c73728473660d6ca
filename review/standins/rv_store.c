/* A stand-in for the platform's store: items, leases, watches and
   transactions.  It serves each connection from a thread.  */
#include "rv.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

typedef struct
{
  char *key;
  char *value; /* base64; NULL: deleted */
  uint64_t revision;
  uint64_t created;
  uint64_t lease;
} item;

typedef struct
{
  uint64_t id;
  uint64_t ttl_ms;
  uint64_t end_ms;
} lease;

/* Each key has one item, which stays when it is deleted.  */
static GPtrArray *items;
static GArray *leases;
static uint64_t revision = 1;
static uint64_t last_lease = 1000;
/* Mean time after which a waiting watch is cut; 0: never.  */
static uint64_t cut_after_ms;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static item *
find (const char *key)
{
  for (guint i = 0; i < items->len; i++)
    {
      item *at = items->pdata[i];
      if (strcmp (at->key, key) == 0)
        return at;
    }
  return NULL;
}

/* Writes VALUE, or deletes the item where it is NULL.  */
static void
set (const char *key, const char *value, uint64_t lease_id)
{
  item *at = find (key);
  if (at == NULL)
    {
      at = g_new0 (item, 1);
      at->key = g_strdup (key);
      g_ptr_array_add (items, at);
    }
  if (value == NULL && at->value == NULL)
    return;
  revision++;
  if (at->value == NULL)
    at->created = revision;
  g_free (at->value);
  at->value = g_strdup (value);
  at->revision = revision;
  at->lease = lease_id;
  pthread_cond_broadcast (&changed);
}

static void
end_lease (uint64_t id)
{
  for (guint i = 0; i < items->len; i++)
    {
      const item *at = items->pdata[i];
      if (at->value != NULL && at->lease == id)
        set (at->key, NULL, 0);
    }
  for (guint i = 0; i < leases->len; i++)
    if (g_array_index (leases, lease, i).id == id)
      {
        g_array_remove_index_fast (leases, i);
        return;
      }
}

static lease *
find_lease (uint64_t id)
{
  for (guint i = 0; i < leases->len; i++)
    if (g_array_index (leases, lease, i).id == id)
      return &g_array_index (leases, lease, i);
  return NULL;
}

static void *
expire_leases (void *user)
{
  (void)user;
  for (;;)
    {
      rv_sleep_ms (50);
      pthread_mutex_lock (&mutex);
      for (guint i = leases->len; i > 0; i--)
        if (g_array_index (leases, lease, i - 1).end_ms <= rv_now_ms ())
          end_lease (g_array_index (leases, lease, i - 1).id);
      pthread_mutex_unlock (&mutex);
    }
  return NULL;
}

static json_t *
describe (const item *at)
{
  if (at->value == NULL)
    return json_pack ("{s:s, s:I, s:b}", "key", at->key, "rev",
                      (json_int_t)at->revision, "deleted", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", at->key, "value",
                    at->value, "rev", (json_int_t)at->revision,
                    "createRevision", (json_int_t)at->created, "lease",
                    (json_int_t)at->lease);
}

/* Value of the query parameter NAME in the start line of M.  */
static uint64_t
parameter (const rv_message *m, const char *name)
{
  char text[64];
  snprintf (text, sizeof text, "%s=", name);
  const char *at = strstr (m->head, text);
  return at != NULL ? strtoull (at + strlen (text), NULL, 10) : 0;
}

static gint
by_key (gconstpointer a, gconstpointer b)
{
  const item *x = *(const item *const *)a;
  const item *y = *(const item *const *)b;
  return strcmp (x->key, y->key);
}

static json_t *
serve_range (void)
{
  json_t *list = json_array ();
  g_ptr_array_sort (items, by_key);
  for (guint i = 0; i < items->len; i++)
    if (((item *)items->pdata[i])->value != NULL)
      json_array_append_new (list, describe (items->pdata[i]));
  return json_pack ("{s:o, s:b, s:I}", "items", list, "hasMore", 0,
                    "storeRevision", (json_int_t)revision);
}

#define WATCH_STEP_MS 20

/* The reply to a watch; NULL when it is cut.  */
static json_t *
serve_watch (const rv_message *m)
{
  uint64_t after = parameter (m, "after");
  uint64_t end_ms = rv_now_ms () + parameter (m, "waitMs");
  json_t *events = json_array ();
  for (;;)
    {
      for (guint i = 0; i < items->len; i++)
        if (((item *)items->pdata[i])->revision > after)
          json_array_append_new (events, describe (items->pdata[i]));
      if (json_array_size (events) > 0 || rv_now_ms () >= end_ms)
        return json_pack ("{s:o, s:I}", "events", events, "storeRevision",
                          (json_int_t)revision);
      if (cut_after_ms > 0
          && rv_random () < (double)WATCH_STEP_MS / (double)cut_after_ms)
        {
          json_decref (events);
          return NULL;
        }
      struct timespec until;
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_nsec += WATCH_STEP_MS * 1000 * 1000;
      until.tv_sec += until.tv_nsec / 1000000000;
      until.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&changed, &mutex, &until);
    }
}

static json_t *
serve_txn (const rv_message *m, int *status)
{
  size_t i;
  json_t *row;
  json_t *body = json_loadb (m->body, m->body_len, 0, NULL);
  json_array_foreach (json_object_get (body, "expectedRev"), i, row)
  {
    const item *at = find (json_string_value (json_object_get (row, "key")));
    uint64_t now = at != NULL && at->value != NULL ? at->revision : 0;
    if (now != (uint64_t)json_integer_value (json_object_get (row, "rev")))
      *status = 412;
  }
  json_array_foreach (json_object_get (body, "puts"), i, row)
  {
    uint64_t id
        = (uint64_t)json_integer_value (json_object_get (row, "lease"));
    if (id != 0 && find_lease (id) == NULL)
      *status = 404;
  }
  if (*status == 200)
    {
      json_array_foreach (json_object_get (body, "puts"), i, row)
      {
        set (json_string_value (json_object_get (row, "key")),
             json_string_value (json_object_get (row, "value")),
             (uint64_t)json_integer_value (json_object_get (row, "lease")));
      }
      json_array_foreach (json_object_get (body, "remove"), i, row)
      {
        set (json_string_value (row), NULL, 0);
      }
    }
  json_decref (body);
  return *status == 412 ? json_pack ("{s:[]}", "items")
                        : json_pack ("{s:I}", "rev", (json_int_t)revision);
}

static json_t *
serve_grant (const rv_message *m)
{
  json_t *body = json_loadb (m->body, m->body_len, 0, NULL);
  json_int_t ttl = json_integer_value (json_object_get (body, "ttlMs"));
  lease l = { ++last_lease, (uint64_t)ttl, rv_now_ms () + (uint64_t)ttl };
  g_array_append_val (leases, l);
  json_decref (body);
  return json_pack ("{s:I, s:I}", "lease", (json_int_t)l.id, "ttlMs", ttl);
}

static json_t *
serve_keep (uint64_t id, int *status)
{
  lease *l = find_lease (id);
  if (l == NULL)
    {
      *status = 404;
      return json_object ();
    }
  l->end_ms = rv_now_ms () + l->ttl_ms;
  return json_pack ("{s:I}", "ttlMs", (json_int_t)l->ttl_ms);
}

static json_t *
serve (const rv_message *m, int *status)
{
  const char *path = strchr (m->head, '/');
  *status = 200;
  if (path == NULL)
    path = "";
  if (g_str_has_prefix (path, "/-/kv-range"))
    return serve_range ();
  if (g_str_has_prefix (path, "/-/kv-watch"))
    return serve_watch (m);
  if (g_str_has_prefix (path, "/-/kv-txn"))
    return serve_txn (m, status);
  if (g_str_has_prefix (path, "/-/kv-lease-end/"))
    {
      end_lease (strtoull (path + 16, NULL, 10));
      return json_object ();
    }
  if (g_str_has_prefix (path, "/-/kv-lease"))
    return serve_grant (m);
  if (g_str_has_prefix (path, "/-/kv-keep/"))
    return serve_keep (strtoull (path + 11, NULL, 10), status);
  *status = 404;
  return json_object ();
}

static void *
serve_connection (void *user)
{
  rv_conn *c = user;
  rv_message *m = g_new (rv_message, 1);
  bool open = true;
  while (open && rv_read_message (c, m, true))
    {
      int status;
      pthread_mutex_lock (&mutex);
      json_t *reply = serve (m, &status);
      pthread_mutex_unlock (&mutex);
      if (reply == NULL)
        break;
      char *body = json_dumps (reply, JSON_COMPACT);
      char *text = g_strdup_printf (
          "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
          "Content-Length: %zu\r\n\r\n%s",
          status, strlen (body), body);
      open = rv_send (c->fd, text, strlen (text));
      g_free (text);
      free (body);
      json_decref (reply);
    }
  close (c->fd);
  g_free (m);
  g_free (c);
  return NULL;
}

static void *
accept_connections (void *user)
{
  int listener = GPOINTER_TO_INT (user);
  for (;;)
    {
      pthread_t thread;
      int fd = accept (listener, NULL, NULL);
      if (fd < 0)
        continue;
      rv_conn *c = g_new0 (rv_conn, 1);
      c->fd = fd;
      if (pthread_create (&thread, NULL, serve_connection, c) == 0)
        pthread_detach (thread);
    }
  return NULL;
}

/* Starts the store; returns its port.  */
uint16_t
rv_start_store (void)
{
  uint16_t port;
  pthread_t thread;
  int listener = rv_listen (&port);
  items = g_ptr_array_new ();
  leases = g_array_new (FALSE, TRUE, sizeof (lease));
  pthread_create (&thread, NULL, accept_connections,
                  GINT_TO_POINTER (listener));
  pthread_create (&thread, NULL, expire_leases, NULL);
  return port;
}

/* Writes VALUE to KEY, as the operator and the workers do.  */
void
rv_put (const char *key, const char *value)
{
  char *base64 = g_base64_encode ((const guchar *)value, strlen (value));
  pthread_mutex_lock (&mutex);
  set (key, base64, 0);
  pthread_mutex_unlock (&mutex);
  g_free (base64);
}

/* Removes KEY.  */
void
rv_remove (const char *key)
{
  pthread_mutex_lock (&mutex);
  if (find (key) != NULL)
    set (key, NULL, 0);
  pthread_mutex_unlock (&mutex);
}

/* Reads the value of KEY.  */
bool
rv_get (const char *key, char *value, size_t size)
{
  gsize len = 0;
  pthread_mutex_lock (&mutex);
  const item *at = find (key);
  guchar *bytes = at != NULL && at->value != NULL
                      ? g_base64_decode (at->value, &len)
                      : NULL;
  pthread_mutex_unlock (&mutex);
  if (bytes == NULL || len >= size)
    len = 0;
  else
    memcpy (value, bytes, len);
  value[len] = 0;
  g_free (bytes);
  return len > 0;
}

/* Cuts waiting watches from now on, each after AFTER_MS on average: their
   connections are closed without a reply.  0: no longer.  */
void
rv_cut_watches (uint64_t after_ms)
{
  pthread_mutex_lock (&mutex);
  cut_after_ms = after_ms;
  pthread_mutex_unlock (&mutex);
}
