#include "tp.h"

#include "ck.h"
#include "st.h"
#include "th.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#define TP_WATCH_TIMEOUT_MS 30000
#define TP_SNAPSHOTS_MAX 4096

typedef enum
{
  TP_GET = 0,
  TP_PUT,
  TP_DELETE,
  TP_LIST,
  TP_WATCH,
  TP_LEASE,
  TP_LEASE_RENEW,
  TP_LEASE_RELEASE,
  TP_VMS,
  TP_VMS_POST,
  TP_WEIGHTS,
  TP_KINDS
} _tp_kind;

static const char *const _tp_kind_names[TP_KINDS]
    = { "get",   "put",      "delete",      "list",
        "watch", "lease",    "lease_renew", "lease_release",
        "vms",   "vms_post", "weights" };

typedef enum
{
  TP_UP = 0,
  TP_REFUSE, /* 503 */
  TP_DROP,   /* connection closed without effect or reply */
  TP_HANG    /* no reply */
} _tp_outage;

typedef struct
{
  char *value; /* NULL after a delete; watches need the revision */
  size_t len;
  uint64_t revision;
} _tp_entry;

typedef struct
{
  char *holder;
  uint64_t revision;
  uint64_t expires_us;
} _tp_lease;

typedef struct
{
  tp_platform *p;
  struct evhttp_request *req;
  struct event *timer;
  char *prefix;
  uint64_t after_revision;
} _tp_watch;

typedef struct
{
  tp_platform *p;
  struct evhttp_request *req;
  struct event *timer;
} _tp_delayed;

typedef struct
{
  uint64_t time_us;
  uint64_t revision;
  json_t *vms;
} _tp_snapshot;

struct tp_platform
{
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  ck_clock clock;
  uint64_t revision;
  GHashTable *entries; /* key -> _tp_entry */
  GHashTable *leases;  /* key -> _tp_lease */
  GPtrArray *watches;  /* _tp_watch */
  GPtrArray *delayed;  /* _tp_delayed */
  json_t *vms;         /* array, by name */
  uint64_t vms_revision;
  GArray *snapshots; /* _tp_snapshot */
  uint64_t counts[TP_KINDS];
  uint32_t delay_ms;
  uint32_t replies_to_lose;
  uint32_t list_lag_ms;
  _tp_outage outage;
  bool list_outage;
  double weight_tokens;
  uint32_t weights_per_min;
  uint64_t weight_time_us;
};

static void
_tp_entry_free (gpointer ptr)
{
  _tp_entry *e = ptr;
  g_free (e->value);
  g_free (e);
}

static void
_tp_lease_free (gpointer ptr)
{
  _tp_lease *l = ptr;
  g_free (l->holder);
  g_free (l);
}

/* Replies to a write, or closes the connection for the fault lose_answer.  */
static void
_tp_reply_write (tp_platform *p, struct evhttp_request *req, int status,
                 json_t *body)
{
  if (p->replies_to_lose > 0)
    {
      p->replies_to_lose--;
      json_decref (body);
      th_abort (req);
      return;
    }
  th_reply_json (req, status, body);
}

static json_t *
_tp_revision_body (struct evhttp_request *req, uint64_t revision)
{
  char text[32];
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, revision);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Store-Revision",
                     text);
  return json_pack ("{s:I}", "revision", (json_int_t)revision);
}

static json_t *
_tp_conflict_body (const char *message)
{
  return json_pack ("{s:{s:s,s:s}}", "error", "kind", "conflict", "message",
                    message);
}

/* The latest event of each key under PREFIX after AFTER_REVISION.  */
static json_t *
_tp_events (tp_platform *p, const char *prefix, uint64_t after_revision)
{
  json_t *events = json_array ();
  GHashTableIter it;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&it, p->entries);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const _tp_entry *e = value;
      if (e->revision <= after_revision || !g_str_has_prefix (key, prefix))
        continue;
      json_array_append_new (events,
                             json_pack ("{s:s,s:I,s:b}", "key", key,
                                        "revision", (json_int_t)e->revision,
                                        "deleted", e->value == NULL));
    }
  return events;
}

static void
_tp_watch_free (_tp_watch *w)
{
  event_free (w->timer);
  g_free (w->prefix);
  g_free (w);
}

static void
_tp_watch_reply (_tp_watch *w)
{
  tp_platform *p = w->p;
  g_ptr_array_remove_fast (p->watches, w);
  th_reply_json (w->req, 200,
                 json_pack ("{s:I,s:o}", "revision", (json_int_t)p->revision,
                            "events",
                            _tp_events (p, w->prefix, w->after_revision)));
  _tp_watch_free (w);
}

static void
_tp_on_watch_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  _tp_watch_reply (user);
}

static void
_tp_notify_watches (tp_platform *p, const char *key)
{
  for (guint i = p->watches->len; i-- > 0;)
    {
      _tp_watch *w = p->watches->pdata[i];
      if (g_str_has_prefix (key, w->prefix))
        _tp_watch_reply (w);
    }
}

static uint64_t
_tp_set_value (tp_platform *p, const char *key, st_str value, bool deleted)
{
  _tp_entry *e = g_new0 (_tp_entry, 1);
  e->revision = ++p->revision;
  if (!deleted)
    {
      e->value = g_malloc (value.len + 1);
      memcpy (e->value, value.ptr, value.len);
      e->len = value.len;
    }
  g_hash_table_replace (p->entries, g_strdup (key), e);
  return e->revision;
}

static void
_tp_handle_kv (tp_platform *p, struct evhttp_request *req, const char *key)
{
  enum evhttp_cmd_type method = evhttp_request_get_command (req);
  const _tp_entry *e = g_hash_table_lookup (p->entries, key);
  uint64_t current = e != NULL && e->value != NULL ? e->revision : 0;
  st_str body = th_body (req);
  uint64_t prev;
  bool has_prev = th_query_u64 (req, "prev_rev", &prev);
  if (method == EVHTTP_REQ_GET)
    {
      struct evbuffer *out;
      if (current == 0)
        {
          th_reply_error (req, 404, "not_found", "the key does not exist");
          return;
        }
      out = evbuffer_new ();
      json_decref (_tp_revision_body (req, current));
      evbuffer_add (out, e->value, e->len);
      evhttp_send_reply (req, 200, NULL, out);
      evbuffer_free (out);
      return;
    }
  if (body.len > TP_VALUE_MAX)
    {
      th_reply_error (req, 413, "too_large", "a value may be up to 1 MB");
      return;
    }
  if (method == EVHTTP_REQ_DELETE && current == 0)
    {
      th_reply_error (req, 404, "not_found", "the key does not exist");
      return;
    }
  if (has_prev && prev != current)
    {
      json_t *conflict
          = _tp_conflict_body ("prev_rev is not the key's revision");
      json_decref (_tp_revision_body (req, current));
      th_reply_json (req, 409, conflict);
      return;
    }
  current = _tp_set_value (p, key, body, method == EVHTTP_REQ_DELETE);
  _tp_reply_write (p, req, 200, _tp_revision_body (req, current));
  _tp_notify_watches (p, key);
}

static void
_tp_handle_list (tp_platform *p, struct evhttp_request *req)
{
  char prefix[256] = "";
  json_t *keys = json_array ();
  GHashTableIter it;
  gpointer key;
  gpointer value;
  th_query_text (req, "prefix", prefix, sizeof prefix);
  g_hash_table_iter_init (&it, p->entries);
  while (g_hash_table_iter_next (&it, &key, &value))
    if (((_tp_entry *)value)->value != NULL && g_str_has_prefix (key, prefix))
      json_array_append_new (
          keys, json_pack ("{s:s,s:I}", "key", key, "revision",
                           (json_int_t)((_tp_entry *)value)->revision));
  th_reply_json (req, 200,
                 json_pack ("{s:I,s:o}", "revision", (json_int_t)p->revision,
                            "keys", keys));
}

static void
_tp_handle_watch (tp_platform *p, struct evhttp_request *req,
                  const char *prefix)
{
  uint64_t after_revision = p->revision;
  uint64_t wait_ms = TP_WATCH_TIMEOUT_MS;
  json_t *events;
  bool has_events;
  _tp_watch *w;
  struct timeval tv;
  th_query_u64 (req, "after", &after_revision);
  th_query_u64 (req, "wait_ms", &wait_ms);
  events = _tp_events (p, prefix, after_revision);
  has_events = json_array_size (events) > 0;
  json_decref (events);
  w = g_new0 (_tp_watch, 1);
  w->p = p;
  w->req = req;
  w->prefix = g_strdup (prefix);
  w->after_revision = after_revision;
  w->timer = evtimer_new (p->base, _tp_on_watch_timer, w);
  g_ptr_array_add (p->watches, w);
  if (has_events)
    {
      _tp_watch_reply (w);
      return;
    }
  tv = (struct timeval){ (time_t)(wait_ms / 1000),
                         (suseconds_t)(wait_ms % 1000 * 1000) };
  evtimer_add (w->timer, &tv);
}

static void
_tp_handle_lease (tp_platform *p, struct evhttp_request *req, _tp_kind kind)
{
  json_t *body = th_body_json (req);
  const char *key = NULL;
  const char *holder = NULL;
  json_int_t ttl_ms = 0;
  json_int_t revision = 0;
  uint64_t now_us = ck_now_us (&p->clock);
  _tp_lease *l;
  bool live;
  bool is_holder;
  if (json_unpack (body, "{s:s,s:s,s?I,s?I}", "key", &key, "holder", &holder,
                   "ttl_ms", &ttl_ms, "revision", &revision)
          != 0
      || (kind != TP_LEASE_RELEASE && ttl_ms <= 0))
    {
      json_decref (body);
      th_reply_error (req, 400, "invalid", "give key, holder and ttl_ms");
      return;
    }
  l = g_hash_table_lookup (p->leases, key);
  live = l != NULL && l->expires_us > now_us;
  is_holder = live && strcmp (l->holder, holder) == 0
              && (kind == TP_LEASE || revision == 0
                  || (uint64_t)revision == l->revision);
  if (kind == TP_LEASE ? live && !is_holder : !is_holder)
    {
      th_reply_json (req, 409,
                     _tp_conflict_body (live ? "another holder has the lease"
                                             : "the lease has expired"));
      json_decref (body);
      return;
    }
  if (kind == TP_LEASE_RELEASE)
    {
      revision = (json_int_t)l->revision;
      g_hash_table_remove (p->leases, key);
    }
  else
    {
      if (!is_holder)
        {
          l = g_new0 (_tp_lease, 1);
          l->holder = g_strdup (holder);
          l->revision = ++p->revision;
          g_hash_table_replace (p->leases, g_strdup (key), l);
        }
      l->expires_us = now_us + (uint64_t)ttl_ms * CK_MS_US;
      revision = (json_int_t)l->revision;
    }
  json_decref (body);
  _tp_reply_write (p, req, 200, _tp_revision_body (req, (uint64_t)revision));
}

static void
_tp_record_vms (tp_platform *p)
{
  _tp_snapshot s
      = { ck_now_us (&p->clock), ++p->vms_revision, json_deep_copy (p->vms) };
  g_array_append_val (p->snapshots, s);
  if (p->snapshots->len > TP_SNAPSHOTS_MAX)
    {
      json_decref (g_array_index (p->snapshots, _tp_snapshot, 0).vms);
      g_array_remove_index (p->snapshots, 0);
    }
}

static void
_tp_remove_vm (tp_platform *p, const char *name)
{
  size_t i;
  json_t *vm;
  json_array_foreach (p->vms, i, vm)
  {
    const char *other = json_string_value (json_object_get (vm, "name"));
    if (other != NULL && strcmp (other, name) == 0)
      {
        json_array_remove (p->vms, i);
        return;
      }
  }
}

static void
_tp_handle_vms (tp_platform *p, struct evhttp_request *req)
{
  json_t *body;
  json_t *item;
  size_t i;
  if (evhttp_request_get_command (req) == EVHTTP_REQ_GET)
    {
      uint64_t visible_until_us
          = ck_now_us (&p->clock) - p->list_lag_ms * CK_MS_US;
      for (guint n = p->snapshots->len; n-- > 0;)
        {
          _tp_snapshot *s = &g_array_index (p->snapshots, _tp_snapshot, n);
          if (s->time_us > visible_until_us)
            continue;
          th_reply_json (req, 200,
                         json_pack ("{s:I,s:O}", "revision",
                                    (json_int_t)s->revision, "vms", s->vms));
          return;
        }
      th_reply_json (req, 200, json_pack ("{s:i,s:[]}", "revision", 0, "vms"));
      return;
    }
  body = th_body_json (req);
  json_array_foreach (json_object_get (body, "remove"), i, item)
  {
    if (json_is_string (item))
      _tp_remove_vm (p, json_string_value (item));
  }
  json_array_foreach (json_object_get (body, "vms"), i, item)
  {
    const char *name = json_string_value (json_object_get (item, "name"));
    if (name == NULL)
      continue;
    _tp_remove_vm (p, name);
    json_array_append (p->vms, item);
  }
  json_decref (body);
  _tp_record_vms (p);
  th_reply_json (req, 200,
                 json_pack ("{s:I}", "revision", (json_int_t)p->vms_revision));
}

static void
_tp_handle_weights (tp_platform *p, struct evhttp_request *req,
                    const char *name)
{
  uint64_t now_us = ck_now_us (&p->clock);
  double per_us = p->weights_per_min / 60e6;
  p->weight_tokens = MIN (
      1.0, p->weight_tokens + (double)(now_us - p->weight_time_us) * per_us);
  p->weight_time_us = now_us;
  if (p->weight_tokens < 1.0)
    {
      char wait_s[32];
      g_snprintf (wait_s, sizeof wait_s, "%u",
                  1 + (unsigned)((1.0 - p->weight_tokens) / per_us / 1e6));
      evhttp_add_header (evhttp_request_get_output_headers (req),
                         "Retry-After", wait_s);
      th_reply_error (req, 429, "limit",
                      "the rate limit of the weight store is reached; wait");
      return;
    }
  p->weight_tokens -= 1.0;
  th_reply_json (req, 200,
                 json_pack ("{s:s,s:i}", "name", name, "bytes", 1 << 30));
}

static void
_tp_close_watches (tp_platform *p)
{
  while (p->watches->len > 0)
    {
      _tp_watch *w = g_ptr_array_remove_index_fast (p->watches, 0);
      th_abort (w->req);
      _tp_watch_free (w);
    }
}

/* Sets the faults of the body of POST /faults; see tp.h.  */
void
tp_set_faults (tp_platform *p, const json_t *faults)
{
  const json_t *v;
  if ((v = json_object_get (faults, "delay_ms")) != NULL)
    p->delay_ms = (uint32_t)json_integer_value (v);
  if ((v = json_object_get (faults, "lose_answer")) != NULL)
    p->replies_to_lose = (uint32_t)json_integer_value (v);
  if ((v = json_object_get (faults, "list_lag_ms")) != NULL)
    p->list_lag_ms = (uint32_t)json_integer_value (v);
  if ((v = json_object_get (faults, "list_outage")) != NULL)
    p->list_outage = json_is_true (v);
  if ((v = json_object_get (faults, "outage")) != NULL)
    {
      const char *mode = json_string_value (v);
      p->outage = json_is_true (v) ? TP_REFUSE : TP_UP;
      if (mode != NULL && strcmp (mode, "refuse") == 0)
        p->outage = TP_REFUSE;
      if (mode != NULL && strcmp (mode, "drop") == 0)
        p->outage = TP_DROP;
      if (mode != NULL && strcmp (mode, "hang") == 0)
        p->outage = TP_HANG;
      if (p->outage != TP_UP && p->outage != TP_HANG)
        _tp_close_watches (p);
    }
  if ((v = json_object_get (faults, "lapse_lease")) != NULL)
    {
      if (json_is_string (v))
        g_hash_table_remove (p->leases, json_string_value (v));
      else if (json_is_true (v))
        g_hash_table_remove_all (p->leases);
    }
}

static void
_tp_handle_faults (tp_platform *p, struct evhttp_request *req)
{
  json_t *body = th_body_json (req);
  tp_set_faults (p, body);
  json_decref (body);
  th_reply_json (req, 200, json_pack ("{s:b}", "ok", 1));
}

static void
_tp_handle_counts (tp_platform *p, struct evhttp_request *req)
{
  json_t *counts = json_object ();
  uint64_t total = 0;
  for (int i = 0; i < TP_KINDS; i++)
    {
      json_object_set_new (counts, _tp_kind_names[i],
                           json_integer ((json_int_t)p->counts[i]));
      total += p->counts[i];
    }
  json_object_set_new (counts, "total", json_integer ((json_int_t)total));
  th_reply_json (req, 200, counts);
}

/* Kind of a counted call, or TP_KINDS for the stand-in's own paths.  Returns
   the key, prefix or name in ARG.  */
static _tp_kind
_tp_classify (struct evhttp_request *req, const char *path, const char **arg)
{
  enum evhttp_cmd_type method = evhttp_request_get_command (req);
  *arg = "";
  if (g_str_has_prefix (path, "/kv/"))
    {
      *arg = path + 4;
      if (method == EVHTTP_REQ_GET)
        return TP_GET;
      return method == EVHTTP_REQ_DELETE ? TP_DELETE : TP_PUT;
    }
  if (strcmp (path, "/kv") == 0)
    return TP_LIST;
  if (g_str_has_prefix (path, "/watch/"))
    {
      *arg = path + 7;
      return TP_WATCH;
    }
  if (strcmp (path, "/lease") == 0)
    return TP_LEASE;
  if (strcmp (path, "/lease/renew") == 0)
    return TP_LEASE_RENEW;
  if (strcmp (path, "/lease/release") == 0)
    return TP_LEASE_RELEASE;
  if (strcmp (path, "/vms") == 0)
    return method == EVHTTP_REQ_GET ? TP_VMS : TP_VMS_POST;
  if (g_str_has_prefix (path, "/weights/"))
    {
      *arg = path + 9;
      return TP_WEIGHTS;
    }
  return TP_KINDS;
}

static bool
_tp_is_store_call (_tp_kind kind)
{
  return kind <= TP_LEASE_RELEASE;
}

/* Executes the call of REQ, which was counted and delayed before.  */
static void
_tp_dispatch (tp_platform *p, struct evhttp_request *req)
{
  char *path = evhttp_uridecode (th_path (req), 0, NULL);
  const char *arg;
  _tp_kind kind = _tp_classify (req, path, &arg);
  if (_tp_is_store_call (kind) && p->outage != TP_UP)
    {
      if (p->outage == TP_REFUSE)
        th_reply_error (req, 503, "unavailable", "the store is down");
      else if (p->outage == TP_DROP)
        th_abort (req);
      /* TP_HANG: there is no reply until the connection is closed.  */
      goto out;
    }
  switch (kind)
    {
    case TP_GET:
    case TP_PUT:
    case TP_DELETE:
      _tp_handle_kv (p, req, arg);
      break;
    case TP_LIST:
      _tp_handle_list (p, req);
      break;
    case TP_WATCH:
      _tp_handle_watch (p, req, arg);
      break;
    case TP_LEASE:
    case TP_LEASE_RENEW:
    case TP_LEASE_RELEASE:
      _tp_handle_lease (p, req, kind);
      break;
    case TP_VMS:
      if (p->list_outage)
        {
          th_reply_error (req, 503, "unavailable", "the VM list is down");
          break;
        }
      _tp_handle_vms (p, req);
      break;
    case TP_VMS_POST:
      _tp_handle_vms (p, req);
      break;
    case TP_WEIGHTS:
      _tp_handle_weights (p, req, arg);
      break;
    case TP_KINDS:
      if (strcmp (path, "/faults") == 0)
        _tp_handle_faults (p, req);
      else if (strcmp (path, "/counts") == 0)
        _tp_handle_counts (p, req);
      else if (strcmp (path, "/healthz") == 0)
        th_reply_json (req, 200, json_pack ("{s:b}", "ok", 1));
      else
        th_reply_error (req, 404, "not_found", "no such path");
      break;
    }
out:
  free (path);
}

static void
_tp_on_delay_timer (evutil_socket_t fd, short what, void *user)
{
  _tp_delayed *h = user;
  (void)fd;
  (void)what;
  g_ptr_array_remove (h->p->delayed, h);
  _tp_dispatch (h->p, h->req);
  event_free (h->timer);
  g_free (h);
}

static void
_tp_on_request (struct evhttp_request *req, void *user)
{
  tp_platform *p = user;
  const char *arg;
  _tp_kind kind = _tp_classify (req, th_path (req), &arg);
  if (kind != TP_KINDS)
    p->counts[kind]++;
  if (p->delay_ms > 0 && kind != TP_KINDS && kind != TP_VMS_POST)
    {
      _tp_delayed *h = g_new0 (_tp_delayed, 1);
      struct timeval tv = { p->delay_ms / 1000, p->delay_ms % 1000 * 1000 };
      h->p = p;
      h->req = req;
      h->timer = evtimer_new (p->base, _tp_on_delay_timer, h);
      g_ptr_array_add (p->delayed, h);
      evtimer_add (h->timer, &tv);
      return;
    }
  _tp_dispatch (p, req);
}

/* Starts a stand-in platform.  Returns NULL and fills ERR on failure.  */
tp_platform *
tp_make (const tp_desc *desc, er_error *err)
{
  tp_platform *p = g_new0 (tp_platform, 1);
  p->base = desc->base;
  p->list_lag_ms = desc->list_lag_ms;
  p->weights_per_min = desc->weights_per_min > 0 ? desc->weights_per_min : 60;
  p->weight_tokens = 1.0;
  p->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      _tp_entry_free);
  p->leases = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                     _tp_lease_free);
  p->watches = g_ptr_array_new ();
  p->delayed = g_ptr_array_new ();
  p->vms = json_array ();
  p->snapshots = g_array_new (FALSE, TRUE, sizeof (_tp_snapshot));
  p->weight_time_us = ck_now_us (&p->clock);
  p->http
      = th_listen (p->base, desc->listen, _tp_on_request, p, &p->port, err);
  if (p->http == NULL)
    {
      tp_destroy (p);
      return NULL;
    }
  return p;
}

/* Stops the platform and closes its connections.  */
void
tp_destroy (tp_platform *p)
{
  if (p == NULL)
    return;
  for (guint i = 0; i < p->watches->len; i++)
    _tp_watch_free (p->watches->pdata[i]);
  for (guint i = 0; i < p->delayed->len; i++)
    {
      _tp_delayed *h = p->delayed->pdata[i];
      event_free (h->timer);
      g_free (h);
    }
  if (p->http != NULL)
    evhttp_free (p->http);
  for (guint i = 0; i < p->snapshots->len; i++)
    json_decref (g_array_index (p->snapshots, _tp_snapshot, i).vms);
  g_array_free (p->snapshots, TRUE);
  g_ptr_array_free (p->watches, TRUE);
  g_ptr_array_free (p->delayed, TRUE);
  json_decref (p->vms);
  g_hash_table_destroy (p->entries);
  g_hash_table_destroy (p->leases);
  g_free (p);
}

/* Port that the platform listens on.  */
uint16_t
tp_query_port (const tp_platform *p)
{
  return p->port;
}

/* Number of calls of KIND (a name of GET /counts) so far.  */
uint64_t
tp_query_count (const tp_platform *p, const char *kind)
{
  for (int i = 0; i < TP_KINDS; i++)
    if (strcmp (_tp_kind_names[i], kind) == 0)
      return p->counts[i];
  return 0;
}
