#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define _RIG_HOST "127.0.0.1"
#define _RIG_STACK_BYTES (256 * 1024)
#define _RIG_HEAD_MAX (64 * 1024)
#define _RIG_PROGRAM "target/packages/server/dotterelbend"

/* An item of the store, or the removal of one.  */
typedef struct
{
  char *key;
  char *base64; /* NULL: deleted */
  uint64_t revision;
  uint64_t created;
  uint64_t lease;
} _rig_item;

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GHashTable *items; /* key -> _rig_item, the newest of each */
  GPtrArray *log;    /* of _rig_item, all */
  uint64_t revision;
  uint64_t leases;
  uint16_t port;
} _rig_store = { .lock = PTHREAD_MUTEX_INITIALIZER,
                 .changed = PTHREAD_COND_INITIALIZER };

static pthread_mutex_t _rig_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *_rig_record;
static uint64_t _rig_started_ms;
static GHashTable *_rig_runs; /* id -> count */
static uint32_t _rig_run_count;

/* Time of the steady clock.  */
uint64_t
rig_now_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void
rig_sleep_ms (uint64_t ms)
{
  struct timespec ts = { (time_t)(ms / 1000), (long)(ms % 1000) * 1000000 };
  while (nanosleep (&ts, &ts) != 0 && errno == EINTR)
    ;
}

/* False when TROUBLE=0 asks for the same run without the disruption.  */
bool
rig_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return text == NULL || strcmp (text, "0") != 0;
}

/* Opens the record of the run, and prepares the process.  */
void
rig_open_record (const char *path)
{
  struct rlimit limit;
  signal (SIGPIPE, SIG_IGN);
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max < 8192 ? limit.rlim_max : 8192;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  _rig_started_ms = rig_now_ms ();
  _rig_runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  _rig_record = fopen (path, "w");
  if (_rig_record == NULL)
    rig_fail ("cannot write the record");
  rig_log ("trouble: %s", rig_has_trouble () ? "yes" : "no");
}

/* Writes a line to the record.  */
void
rig_log (const char *format, ...)
{
  va_list args;
  pthread_mutex_lock (&_rig_lock);
  fprintf (_rig_record, "%8.3f ",
           (double)(rig_now_ms () - _rig_started_ms) / 1000);
  va_start (args, format);
  vfprintf (_rig_record, format, args);
  va_end (args);
  fputc ('\n', _rig_record);
  fflush (_rig_record);
  pthread_mutex_unlock (&_rig_lock);
}

/* Ends the process: the case cannot run.  */
void
rig_fail (const char *what)
{
  fprintf (stderr, "the case cannot run: %s: %s\n", what, strerror (errno));
  /* run.sh ends what is left.  */
  _exit (2);
}

/* Runs RUN with USER in a thread of its own.  */
void
rig_start_thread (void *(*run) (void *), void *user)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, _RIG_STACK_BYTES);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attr, run, user) != 0)
    rig_fail ("pthread_create");
  pthread_attr_destroy (&attr);
}

static int
_rig_listen (uint16_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  inet_pton (AF_INET, _RIG_HOST, &address.sin_addr);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 1024) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    rig_fail ("listen");
  *port = ntohs (address.sin_port);
  return fd;
}

/* A port that was free just now.  */
static uint16_t
_rig_free_port (void)
{
  uint16_t port;
  close (_rig_listen (&port));
  return port;
}

/* Sends SIZE BYTES on FD; false when the connection has ended.  */
bool
rig_send_all (int fd, const void *bytes, size_t size)
{
  const char *at = bytes;
  while (size > 0)
    {
      ssize_t sent = send (fd, at, size, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      at += sent;
      size -= (size_t)sent;
    }
  return true;
}

/* ---- messages ---- */

/* Reads a head into HEAD, up to its empty line; bytes of the body that came
   with it follow.  Returns the length of the head, 0 at the end of the
   connection.  */
static size_t
_rig_read_head (int fd, GString *head)
{
  char bytes[16384];
  for (;;)
    {
      const char *end = strstr (head->str, "\r\n\r\n");
      if (end != NULL)
        return (size_t)(end - head->str) + 4;
      ssize_t got = recv (fd, bytes, sizeof bytes, 0);
      if (got <= 0 || head->len > _RIG_HEAD_MAX)
        return 0;
      g_string_append_len (head, bytes, got);
    }
}

/* Value of the field NAME in HEAD of LENGTH bytes, copied to OUT; "" without
   one.  */
static void
_rig_field (const GString *head, size_t length, const char *name, char *out,
            size_t size)
{
  const char *line = strstr (head->str, "\r\n");
  out[0] = 0;
  while (line != NULL && (size_t)(line - head->str) + 4 < length)
    {
      line += 2;
      size_t name_len = strlen (name);
      if (strncasecmp (line, name, name_len) == 0 && line[name_len] == ':')
        {
          const char *value = line + name_len + 1;
          value += strspn (value, " ");
          size_t value_len = strcspn (value, "\r");
          if (value_len >= size)
            value_len = size - 1;
          memcpy (out, value, value_len);
          out[value_len] = 0;
          return;
        }
      line = strstr (line, "\r\n");
    }
}

static size_t
_rig_content_length (const GString *head, size_t length)
{
  char text[32];
  _rig_field (head, length, "Content-Length", text, sizeof text);
  return (size_t)strtoull (text, NULL, 10);
}

/* Reads a message with a body of a stated length.  IN has what was read
   before; the message is left in it, with its head of the returned length.  0
   at the end of the connection.  */
static size_t
_rig_read_message (int fd, GString *in, size_t *body_length)
{
  char bytes[16384];
  size_t head = _rig_read_head (fd, in);
  if (head == 0)
    return 0;
  *body_length = _rig_content_length (in, head);
  while (in->len < head + *body_length)
    {
      ssize_t got = recv (fd, bytes, sizeof bytes, 0);
      if (got <= 0)
        return 0;
      g_string_append_len (in, bytes, got);
    }
  return head;
}

/* ---- store ---- */

static json_t *
_rig_item_json (const _rig_item *item)
{
  if (item->base64 == NULL)
    return json_pack ("{s:s, s:I, s:b}", "key", item->key, "rev",
                      (json_int_t)item->revision, "deleted", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                    item->base64, "rev", (json_int_t)item->revision,
                    "createRevision", (json_int_t)item->created, "lease",
                    (json_int_t)item->lease);
}

/* Writes an item; the store is locked.  */
static void
_rig_write_item (const char *key, const char *base64, uint64_t lease)
{
  const _rig_item *before = g_hash_table_lookup (_rig_store.items, key);
  _rig_item *item = g_new0 (_rig_item, 1);
  item->key = g_strdup (key);
  item->base64 = g_strdup (base64);
  item->revision = ++_rig_store.revision;
  item->created = before != NULL ? before->created : item->revision;
  item->lease = lease;
  g_hash_table_replace (_rig_store.items, item->key, item);
  g_ptr_array_add (_rig_store.log, item);
  pthread_cond_broadcast (&_rig_store.changed);
}

static void
_rig_remove_item (const char *key)
{
  if (g_hash_table_lookup (_rig_store.items, key) == NULL)
    return;
  _rig_item *item = g_new0 (_rig_item, 1);
  item->key = g_strdup (key);
  item->revision = ++_rig_store.revision;
  g_hash_table_remove (_rig_store.items, key);
  g_ptr_array_add (_rig_store.log, item);
  pthread_cond_broadcast (&_rig_store.changed);
}

/* Writes VALUE to KEY, as the operator or a worker does.  */
void
rig_put (const char *key, const char *value)
{
  char *base64 = g_base64_encode ((const guchar *)value, strlen (value));
  pthread_mutex_lock (&_rig_store.lock);
  _rig_write_item (key, base64, 0);
  pthread_mutex_unlock (&_rig_store.lock);
  g_free (base64);
}

/* Removes KEY, as a worker does that has left, or the store after its entry
   has lapsed.  */
void
rig_remove (const char *key)
{
  pthread_mutex_lock (&_rig_store.lock);
  _rig_remove_item (key);
  pthread_mutex_unlock (&_rig_store.lock);
}

/* Writes a configuration with ROUTES and SERVICES, both lists in JSON, and one
   tenant without a limit, whose key is "key".  */
void
rig_put_config (const char *routes, const char *services)
{
  static int version;
  version += 3;
  char *text = g_strdup_printf (
      "{\"version\":%d,\"routes\":[%s],\"services\":[%s],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"team\",\"apiKeys\":[\"key\"],"
      "\"ratePerS\":0,\"burst\":0}]}",
      version, routes, services);
  rig_put ("op/config", text);
  g_free (text);
}

static gint
_rig_compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static json_t *
_rig_range (void)
{
  json_t *list = json_array ();
  GList *keys = g_list_sort (g_hash_table_get_keys (_rig_store.items),
                             _rig_compare_keys);
  for (const GList *at = keys; at != NULL; at = at->next)
    {
      const char *key = at->data;
      /* Readers page from "after"; all items fit on the first page.  */
      json_array_append_new (
          list, _rig_item_json (g_hash_table_lookup (_rig_store.items, key)));
    }
  g_list_free (keys);
  return json_pack ("{s:o, s:b, s:I}", "items", list, "hasMore", 0,
                    "storeRevision", (json_int_t)_rig_store.revision);
}

static json_t *
_rig_watch (const char *target)
{
  const char *after_at = strstr (target, "after=");
  const char *wait_at = strstr (target, "waitMs=");
  uint64_t after = after_at != NULL ? strtoull (after_at + 6, NULL, 10) : 0;
  uint64_t wait_ms = wait_at != NULL ? strtoull (wait_at + 7, NULL, 10) : 0;
  struct timespec end;
  clock_gettime (CLOCK_REALTIME, &end);
  end.tv_sec += (time_t)(wait_ms / 1000);
  end.tv_nsec += (long)(wait_ms % 1000) * 1000000;
  if (end.tv_nsec >= 1000000000)
    {
      end.tv_sec++;
      end.tv_nsec -= 1000000000;
    }
  while (
      _rig_store.revision <= after
      && pthread_cond_timedwait (&_rig_store.changed, &_rig_store.lock, &end)
             == 0)
    ;
  json_t *events = json_array ();
  for (guint i = 0; i < _rig_store.log->len; i++)
    {
      const _rig_item *item = _rig_store.log->pdata[i];
      if (item->revision > after)
        json_array_append_new (events, _rig_item_json (item));
    }
  return json_pack ("{s:o, s:I}", "events", events, "storeRevision",
                    (json_int_t)_rig_store.revision);
}

static bool
_rig_expected (const json_t *rows)
{
  size_t i;
  json_t *row;
  json_array_foreach (rows, i, row)
  {
    const _rig_item *item = g_hash_table_lookup (
        _rig_store.items, json_string_value (json_object_get (row, "key")));
    json_int_t wanted = json_integer_value (json_object_get (row, "rev"));
    if ((item != NULL ? (json_int_t)item->revision : 0) != wanted)
      return false;
  }
  return true;
}

static json_t *
_rig_txn (const json_t *body, int *status)
{
  size_t i;
  json_t *row;
  if (!_rig_expected (json_object_get (body, "expectedRev")))
    {
      *status = 412;
      return json_pack ("{s:[]}", "items");
    }
  json_array_foreach (json_object_get (body, "puts"), i, row)
  {
    _rig_write_item (
        json_string_value (json_object_get (row, "key")),
        json_string_value (json_object_get (row, "value")),
        (uint64_t)json_integer_value (json_object_get (row, "lease")));
  }
  json_array_foreach (json_object_get (body, "remove"), i, row)
  {
    _rig_remove_item (json_string_value (row));
  }
  return json_pack ("{s:I}", "rev", (json_int_t)_rig_store.revision);
}

/* Ends the lease LEASE: its items are removed.  */
static json_t *
_rig_end_lease (uint64_t lease)
{
  GList *keys = g_hash_table_get_keys (_rig_store.items);
  for (const GList *at = keys; at != NULL; at = at->next)
    {
      const _rig_item *item = g_hash_table_lookup (_rig_store.items, at->data);
      if (item->lease == lease)
        _rig_remove_item (item->key);
    }
  g_list_free (keys);
  return json_object ();
}

static json_t *
_rig_call (const char *target, const json_t *body, int *status)
{
  if (g_str_has_prefix (target, "/-/kv-range"))
    return _rig_range ();
  if (g_str_has_prefix (target, "/-/kv-watch"))
    return _rig_watch (target);
  if (g_str_has_prefix (target, "/-/kv-txn"))
    return _rig_txn (body, status);
  if (g_str_has_prefix (target, "/-/kv-lease-end/"))
    return _rig_end_lease (
        strtoull (target + strlen ("/-/kv-lease-end/"), NULL, 10));
  if (g_str_has_prefix (target, "/-/kv-lease"))
    return json_pack ("{s:I, s:O}", "lease", (json_int_t)++_rig_store.leases,
                      "ttlMs", json_object_get (body, "ttlMs"));
  /* A lease lasts as long as the run.  */
  if (g_str_has_prefix (target, "/-/kv-keep/"))
    return json_object ();
  *status = 404;
  return json_object ();
}

static void *
_rig_serve_store (void *user)
{
  int fd = (int)(intptr_t)user;
  GString *in = g_string_new (NULL);
  size_t head, length;
  while ((head = _rig_read_message (fd, in, &length)) > 0)
    {
      char method[16] = "";
      char target[512] = "";
      int status = 200;
      sscanf (in->str, "%15s %511s", method, target);
      json_t *body
          = length > 0 ? json_loadb (in->str + head, length, 0, NULL) : NULL;
      pthread_mutex_lock (&_rig_store.lock);
      json_t *reply = _rig_call (target, body, &status);
      char *text = json_dumps (reply, JSON_COMPACT);
      pthread_mutex_unlock (&_rig_store.lock);
      char *answer = g_strdup_printf (
          "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
          "Content-Length: %zu\r\n\r\n%s",
          status, strlen (text), text);
      bool sent = rig_send_all (fd, answer, strlen (answer));
      g_free (answer);
      free (text);
      json_decref (reply);
      json_decref (body);
      if (!sent)
        break;
      g_string_erase (in, 0, (gssize)(head + length));
    }
  g_string_free (in, TRUE);
  close (fd);
  return NULL;
}

static void *
_rig_accept_store (void *user)
{
  int listener = (int)(intptr_t)user;
  int fd;
  while ((fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    rig_start_thread (_rig_serve_store, (void *)(intptr_t)fd);
  return NULL;
}

/* Starts the store.  */
void
rig_start_store (void)
{
  _rig_store.items = g_hash_table_new (g_str_hash, g_str_equal);
  _rig_store.log = g_ptr_array_new ();
  int listener = _rig_listen (&_rig_store.port);
  rig_start_thread (_rig_accept_store, (void *)(intptr_t)listener);
}

/* ---- workers ---- */

typedef struct
{
  rig_worker *worker;
  int fd;
} _rig_worker_conn;

static void
_rig_record_run (const rig_worker *worker, const rig_request *request)
{
  pthread_mutex_lock (&_rig_lock);
  guint count
      = GPOINTER_TO_UINT (g_hash_table_lookup (_rig_runs, request->id));
  g_hash_table_replace (_rig_runs, g_strdup (request->id),
                        GUINT_TO_POINTER (count + 1));
  _rig_run_count++;
  pthread_mutex_unlock (&_rig_lock);
  rig_log ("worker %s runs %s %s, id %s", worker->id, request->method,
           request->path, request->id);
}

/* Number of runs of the request ID.  */
uint32_t
rig_count_runs (const char *id)
{
  pthread_mutex_lock (&_rig_lock);
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (_rig_runs, id));
  pthread_mutex_unlock (&_rig_lock);
  return count;
}

/* Number of all runs.  */
uint32_t
rig_count_all_runs (void)
{
  pthread_mutex_lock (&_rig_lock);
  uint32_t count = _rig_run_count;
  pthread_mutex_unlock (&_rig_lock);
  return count;
}

/* Sends a signed success with a body of SIZE bytes.  */
bool
rig_answer (const rig_worker *worker, int fd, const rig_request *request,
            size_t size)
{
  char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\n"
                                "X-Dotterelbend-Request-Id: %s\r\n"
                                "X-Dotterelbend-Response-Signature: %s.%s\r\n"
                                "Content-Length: %zu\r\n\r\n",
                                request->id, worker->id, request->id, size);
  char *body = g_malloc (size + 1);
  memset (body, 'b', size);
  bool sent = rig_send_all (fd, text, strlen (text))
              && rig_send_all (fd, body, size);
  g_free (body);
  g_free (text);
  return sent;
}

/* Adds FD to the connections of WORKER, or removes it.  False when WORKER has
   crashed.  */
static bool
_rig_keep_conn (rig_worker *worker, int fd, bool add)
{
  pthread_mutex_lock (&_rig_lock);
  bool kept = !worker->crashed;
  for (size_t i = 0; i < RIG_CONNS_MAX && kept; i++)
    if (worker->conns[i] == (add ? 0 : fd))
      {
        worker->conns[i] = add ? fd : 0;
        break;
      }
  pthread_mutex_unlock (&_rig_lock);
  return kept;
}

/* Ends WORKER: its connections close and new ones are refused.  Its entry
   stays.  False when it has crashed before.  */
bool
rig_crash_worker (rig_worker *worker)
{
  pthread_mutex_lock (&_rig_lock);
  bool first = !worker->crashed;
  worker->crashed = true;
  for (size_t i = 0; i < RIG_CONNS_MAX && first; i++)
    if (worker->conns[i] != 0)
      shutdown (worker->conns[i], SHUT_RDWR);
  pthread_mutex_unlock (&_rig_lock);
  if (first)
    shutdown (worker->listener, SHUT_RDWR);
  return first;
}

static void *
_rig_serve_worker (void *user)
{
  _rig_worker_conn *conn = user;
  rig_worker *worker = conn->worker;
  int fd = conn->fd;
  GString *in = g_string_new (NULL);
  size_t head, length;
  while (_rig_keep_conn (worker, fd, false)
         && _rig_keep_conn (worker, fd, true)
         && (head = _rig_read_message (fd, in, &length)) > 0)
    {
      rig_request request = { 0 };
      sscanf (in->str, "%15s %127s", request.method, request.path);
      _rig_field (in, head, "X-Dotterelbend-Request-Id", request.id,
                  sizeof request.id);
      _rig_field (in, head, "X-Dotterelbend-Prompt-Prefix", request.prompt,
                  sizeof request.prompt);
      g_string_erase (in, 0, (gssize)(head + length));
      _rig_record_run (worker, &request);
      if (!worker->respond (worker, fd, &request))
        break;
    }
  g_string_free (in, TRUE);
  _rig_keep_conn (worker, fd, false);
  close (fd);
  g_free (conn);
  return NULL;
}

static void *
_rig_accept_worker (void *user)
{
  rig_worker *worker = user;
  int fd, on = 1;
  while ((fd = accept4 (worker->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      _rig_worker_conn *conn = g_new0 (_rig_worker_conn, 1);
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      conn->worker = worker;
      conn->fd = fd;
      rig_start_thread (_rig_serve_worker, conn);
    }
  close (worker->listener);
  return NULL;
}

/* Starts WORKER, whose id, service, slots and respond are set, and writes its
   entry.  */
void
rig_start_worker (rig_worker *worker)
{
  char key[RIG_ID_MAX + 16];
  worker->listener = _rig_listen (&worker->port);
  rig_start_thread (_rig_accept_worker, worker);
  snprintf (key, sizeof key, "servers/%s", worker->id);
  char *entry = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"a\","
      "\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
      "\"coldLeftMs\":0,\"seq\":1,\"born\":%lld}",
      worker->service, _RIG_HOST, worker->port, worker->slots,
      (long long)time (NULL) * 1000);
  rig_put (key, entry);
  g_free (entry);
}

/* ---- VMs ---- */

static void
_rig_write_settings (const rig_vm *vm, const char *path)
{
  FILE *file = fopen (path, "w");
  if (file == NULL)
    rig_fail ("cannot write the settings");
  /* The keys of deploy/vm.yaml.tmpl.  */
  fprintf (file,
           "vm:\n  name: \"front-1\"\n  region: \"r\"\n"
           "  data_center: \"a\"\n  cores: 1\n  core_share: 0.25\n"
           "  memory_mb: %d\n  descriptors: 4100\n"
           "listen:\n  callers: \"%s:%u\"\n  ready: \"%s:%u\"\n"
           "  directory: \"%s:%u\"\n  peers: \"%s:%u\"\n"
           "  metrics: \"%s:%u\"\n"
           "store:\n  address: \"%s:%u\"\n  lease_min: 1000\n"
           "  entry_interval: 1200\n"
           "bounds:\n  repeat_share: 0.2\n  repeat_fixed: 54\n"
           "  repeat_window: 10s\n  quota_slack: 110000\n"
           "  exposure_share: 0.1\n  exposure_slack: 50\n  grace: %ds\n"
           "  addresses_valid: 5s\ndata_centers: {\"a\":\"r\"}\n",
           RIG_MEMORY_MB, vm->host, vm->callers, vm->host, vm->ready, vm->host,
           _rig_free_port (), vm->host, _rig_free_port (), vm->host,
           _rig_free_port (), _RIG_HOST, _rig_store.port, RIG_GRACE_S);
  fclose (file);
}

/* Starts VM, a process of the program, and waits until it is ready.  */
void
rig_start_vm (rig_vm *vm)
{
  char path[96], log[96];
  const char *tmp = getenv ("RIG_DIR");
  memset (vm, 0, sizeof *vm);
  snprintf (vm->dir, sizeof vm->dir, "%s", tmp != NULL ? tmp : "/tmp");
  snprintf (vm->host, sizeof vm->host, "%s", _RIG_HOST);
  vm->callers = _rig_free_port ();
  vm->ready = _rig_free_port ();
  snprintf (path, sizeof path, "%s/boot.yaml", vm->dir);
  snprintf (log, sizeof log, "%s/vm.log", vm->dir);
  _rig_write_settings (vm, path);
  vm->pid = fork ();
  if (vm->pid == 0)
    {
      /* It ends with this process, however that ends.  */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int fd = open (log, O_WRONLY | O_CREAT | O_TRUNC, 0644);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (_RIG_PROGRAM, "dotterelbend", "--gateway", "--config", path,
             (char *)NULL);
      _exit (127);
    }
  for (int i = 0; i < 200 && vm->pid > 0 && rig_vm_lives (vm); i++)
    {
      rig_sleep_ms (50);
      if (rig_is_ready (vm, 1000))
        {
          /* The first watch has the entries that were written meanwhile.  */
          rig_sleep_ms (1500);
          rig_log ("VM is ready, process %d", (int)vm->pid);
          return;
        }
    }
  rig_fail ("the VM does not get ready");
}

/* Sends SIGNAL_NUMBER to VM.  */
void
rig_signal_vm (const rig_vm *vm, int signal_number)
{
  rig_log ("signal %d to the VM", signal_number);
  if (!vm->ended)
    kill (vm->pid, signal_number);
}

/* True until the process of VM has ended.  */
bool
rig_vm_lives (rig_vm *vm)
{
  if (!vm->ended && waitpid (vm->pid, &vm->status, WNOHANG) == vm->pid)
    {
      vm->ended = true;
      rig_log ("the VM's process has ended, status %d", vm->status);
    }
  return !vm->ended;
}

/* Resident memory of VM in units of 1,024 bytes; 0 once it has ended.  */
long
rig_vm_memory_kb (const rig_vm *vm)
{
  char path[64], line[256];
  long kb = 0;
  snprintf (path, sizeof path, "/proc/%d/status", (int)vm->pid);
  FILE *file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (g_str_has_prefix (line, "VmRSS:"))
      kb = strtol (line + 6, NULL, 10);
  if (file != NULL)
    fclose (file);
  return kb;
}

/* Kills VM and waits for its end.  */
void
rig_end_vm (rig_vm *vm)
{
  if (!rig_vm_lives (vm))
    return;
  kill (vm->pid, SIGKILL);
  waitpid (vm->pid, &vm->status, 0);
  vm->ended = true;
}

/* True when VM answers its readiness check with 200 within TIMEOUT_MS.  */
bool
rig_is_ready (const rig_vm *vm, uint32_t timeout_ms)
{
  int fd = rig_connect (vm, vm->ready, 0);
  if (fd < 0)
    return false;
  bool ready = false;
  if (rig_send_request (fd, "GET", "/-/readyz", "ready", ""))
    {
      rig_response response = rig_read_response (fd, 4096, 0, timeout_ms);
      ready = response.complete && response.status == 200;
    }
  close (fd);
  return ready;
}

/* ---- callers ---- */

/* Connects to PORT of VM; -1 when it does not accept.  RECEIVE_BUFFER is the
   size of the socket's receive buffer, 0 for the system's.  */
int
rig_connect (const rig_vm *vm, uint16_t port, int receive_buffer)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  if (fd < 0)
    rig_fail ("socket");
  inet_pton (AF_INET, vm->host, &address.sin_addr);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Sends a request without a body; FIELDS are complete lines of its head.  */
bool
rig_send_request (int fd, const char *method, const char *path, const char *id,
                  const char *fields)
{
  char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: h.example\r\n"
      "X-Dotterelbend-Request-Id: %s\r\nAuthorization: Token key\r\n%s%s\r\n",
      method, path, id, fields,
      strcmp (method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
  bool sent = rig_send_all (fd, text, strlen (text));
  g_free (text);
  return sent;
}

static const char *
_rig_error_name (ssize_t got)
{
  if (got == 0)
    return "";
  return errno == ECONNRESET ? "reset" : "error";
}

/* Reads a response with a stated length: at most STEP bytes at a time, with a
   pause of PAUSE_MS after each, for TIMEOUT_MS in all.  */
rig_response
rig_read_response (int fd, size_t step, uint32_t pause_ms, uint32_t timeout_ms)
{
  rig_response r = { .error = "timeout" };
  uint64_t end_ms = rig_now_ms () + timeout_ms;
  GString *in = g_string_new (NULL);
  size_t head = 0;
  char *bytes = g_malloc (step);
  while (!r.complete && !r.closed && rig_now_ms () < end_ms)
    {
      struct pollfd wait = { .fd = fd, .events = POLLIN };
      if (poll (&wait, 1, (int)(end_ms - rig_now_ms ())) <= 0)
        break;
      ssize_t got = recv (fd, bytes, step, 0);
      if (got <= 0)
        {
          r.closed = true;
          r.error = _rig_error_name (got);
          break;
        }
      if (head == 0)
        {
          g_string_append_len (in, bytes, got);
          const char *end = strstr (in->str, "\r\n\r\n");
          if (end != NULL)
            {
              head = (size_t)(end - in->str) + 4;
              sscanf (in->str, "HTTP/1.1 %d", &r.status);
              r.length = _rig_content_length (in, head);
              r.received = in->len - head;
            }
        }
      else
        r.received += (size_t)got;
      r.complete = head > 0 && r.received >= r.length;
      if (pause_ms > 0 && !r.complete)
        rig_sleep_ms (pause_ms);
    }
  if (r.complete)
    r.error = "";
  g_string_free (in, TRUE);
  g_free (bytes);
  return r;
}
