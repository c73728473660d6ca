#include "ts.h"

#include "st.h"
#include "th.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  uint32_t count;
  uint64_t fence;
} _ts_call;

typedef struct
{
  ts_service *s;
  struct evhttp_request *req;
  struct event *timer;
  json_t *body;
  int status;
} _ts_delayed;

struct ts_service
{
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  char *address;
  char *name;
  char *service;
  char *region;
  char *data_center;
  char *platform;
  GHashTable *calls; /* key -> _ts_call */
  GPtrArray *delayed;
  uint64_t reads;
  uint32_t delay_ms;
  uint32_t close_before_answer;
  uint32_t close_before_effect;
  bool fail;
};

/* Result of a call with KEY and BODY, for callers that check it.  */
uint64_t
ts_result (const char *key, const char *body, size_t body_len)
{
  st_str text = { body, body_len };
  return st_hash (st_from_cstr (key), st_hash (text, 0)) >> 12;
}

static void
_ts_on_delay_timer (evutil_socket_t fd, short what, void *user)
{
  _ts_delayed *h = user;
  (void)fd;
  (void)what;
  g_ptr_array_remove (h->s->delayed, h);
  th_reply_json (h->req, h->status, h->body);
  event_free (h->timer);
  g_free (h);
}

static void
_ts_reply (ts_service *s, struct evhttp_request *req, int status, json_t *body)
{
  struct timeval tv = { s->delay_ms / 1000, s->delay_ms % 1000 * 1000 };
  _ts_delayed *h;
  if (s->delay_ms == 0)
    {
      th_reply_json (req, status, body);
      return;
    }
  h = g_new0 (_ts_delayed, 1);
  h->s = s;
  h->req = req;
  h->status = status;
  h->body = body;
  h->timer = evtimer_new (s->base, _ts_on_delay_timer, h);
  g_ptr_array_add (s->delayed, h);
  evtimer_add (h->timer, &tv);
}

static json_t *
_ts_fault_body (void)
{
  return json_pack ("{s:{s:s,s:s}}", "error", "kind", "service_fault",
                    "message", "the fault \"fail\" is set");
}

static void
_ts_handle_call (ts_service *s, struct evhttp_request *req)
{
  const char *key = th_header (req, "Idempotency-Key");
  st_str body = th_body (req);
  uint64_t fence = 0;
  _ts_call *call;
  if (key[0] == '\0')
    {
      th_reply_error (req, 400, "invalid", "a call needs Idempotency-Key");
      return;
    }
  if (s->close_before_effect > 0)
    {
      s->close_before_effect--;
      th_abort (req);
      return;
    }
  st_parse_u64 (st_from_cstr (th_header (req, "Dotterelbend-Fence")), &fence);
  call = g_hash_table_lookup (s->calls, key);
  if (call == NULL)
    {
      call = g_new0 (_ts_call, 1);
      g_hash_table_insert (s->calls, g_strdup (key), call);
    }
  call->count++;
  call->fence = MAX (call->fence, fence);
  if (s->close_before_answer > 0)
    {
      s->close_before_answer--;
      th_abort (req);
      return;
    }
  if (s->fail)
    _ts_reply (s, req, 500, _ts_fault_body ());
  else
    _ts_reply (s, req, 200,
               json_pack ("{s:s,s:s,s:I}", "service", s->service, "key", key,
                          "result",
                          (json_int_t)ts_result (key, body.ptr, body.len)));
}

static void
_ts_handle_received (ts_service *s, struct evhttp_request *req)
{
  json_t *calls = json_array ();
  GHashTableIter it;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&it, s->calls);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_array_append_new (calls,
                           json_pack ("{s:s,s:i,s:I}", "key", key, "count",
                                      ((_ts_call *)value)->count, "fence",
                                      (json_int_t)((_ts_call *)value)->fence));
  th_reply_json (
      req, 200,
      json_pack ("{s:o,s:I}", "calls", calls, "reads", (json_int_t)s->reads));
}

/* Sets the faults of the body of POST /faults; see ts.h.  */
void
ts_set_faults (ts_service *s, const json_t *faults)
{
  const json_t *v;
  if ((v = json_object_get (faults, "delay_ms")) != NULL)
    s->delay_ms = (uint32_t)json_integer_value (v);
  if ((v = json_object_get (faults, "fail")) != NULL)
    s->fail = json_is_true (v);
  if ((v = json_object_get (faults, "close_before_answer")) != NULL)
    s->close_before_answer = (uint32_t)json_integer_value (v);
  if ((v = json_object_get (faults, "close_before_effect")) != NULL)
    s->close_before_effect = (uint32_t)json_integer_value (v);
}

static void
_ts_on_request (struct evhttp_request *req, void *user)
{
  ts_service *s = user;
  const char *path = th_path (req);
  enum evhttp_cmd_type method = evhttp_request_get_command (req);
  th_echo_call (req);
  if (strcmp (path, "/received") == 0)
    _ts_handle_received (s, req);
  else if (strcmp (path, "/healthz") == 0)
    th_reply_json (req, 200, json_pack ("{s:b}", "ok", 1));
  else if (strcmp (path, "/faults") == 0)
    {
      json_t *body = th_body_json (req);
      ts_set_faults (s, body);
      json_decref (body);
      th_reply_json (req, 200, json_pack ("{s:b}", "ok", 1));
    }
  else if (method == EVHTTP_REQ_GET)
    {
      s->reads++;
      if (s->fail)
        _ts_reply (s, req, 500, _ts_fault_body ());
      else
        _ts_reply (
            s, req, 200,
            json_pack ("{s:s,s:s}", "service", s->service, "path", path));
    }
  else if (method == EVHTTP_REQ_POST)
    _ts_handle_call (s, req);
  else
    th_reply_error (req, 405, "invalid", "use GET or POST");
}

static void
_ts_register (ts_service *s, const char *state)
{
  if (s->platform == NULL)
    return;
  th_register (s->base, s->platform,
               json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "name", s->name,
                          "kind", "service", "address", s->address, "region",
                          s->region, "data_center", s->data_center, "state",
                          state, "service", s->service));
}

static char *
_ts_dup_or_default (const char *text, const char *fallback)
{
  return g_strdup (text != NULL ? text : fallback);
}

/* Starts a stand-in service.  Returns NULL and fills ERR on failure.  */
ts_service *
ts_make (const ts_desc *desc, er_error *err)
{
  ts_service *s = g_new0 (ts_service, 1);
  char host[64];
  uint16_t given_port;
  s->base = desc->base;
  s->delay_ms = desc->delay_ms;
  s->calls = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->delayed = g_ptr_array_new ();
  s->service = _ts_dup_or_default (desc->service, "orders");
  s->region = _ts_dup_or_default (desc->region, "region-1");
  s->data_center = _ts_dup_or_default (desc->data_center, "dc-1");
  s->platform = g_strdup (desc->platform);
  s->http
      = th_listen (s->base, desc->listen, _ts_on_request, s, &s->port, err);
  if (s->http == NULL)
    {
      ts_destroy (s);
      return NULL;
    }
  th_parse_address (desc->listen, host, sizeof host, &given_port);
  s->address = g_strdup_printf ("%s:%u", host, s->port);
  s->name = desc->name != NULL ? g_strdup (desc->name)
                               : g_strdup_printf ("service-%u", s->port);
  _ts_register (s, "live");
  return s;
}

/* Stops the service and closes its connections.  */
void
ts_destroy (ts_service *s)
{
  if (s == NULL)
    return;
  for (guint i = 0; i < s->delayed->len; i++)
    {
      _ts_delayed *h = s->delayed->pdata[i];
      event_free (h->timer);
      json_decref (h->body);
      g_free (h);
    }
  if (s->http != NULL)
    evhttp_free (s->http);
  g_ptr_array_free (s->delayed, TRUE);
  g_hash_table_destroy (s->calls);
  g_free (s->address);
  g_free (s->name);
  g_free (s->service);
  g_free (s->region);
  g_free (s->data_center);
  g_free (s->platform);
  g_free (s);
}

/* Port that the service listens on.  */
uint16_t
ts_query_port (const ts_service *s)
{
  return s->port;
}

/* How often a call with KEY was executed.  */
uint32_t
ts_query_received (const ts_service *s, const char *key)
{
  const _ts_call *call = g_hash_table_lookup (s->calls, key);
  return call != NULL ? call->count : 0;
}

/* Sets the state of the service in the VM list to leaving.  */
void
ts_leave (ts_service *s)
{
  _ts_register (s, "leaving");
}
