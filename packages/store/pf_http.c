/* HTTP driver: one request at a time on each persistent connection; further
   calls wait in a queue.  A call that has waited for three quarters of its
   time-out is not sent: its reply would most likely come too late, and
   PF_UNAVAILABLE (no effect) is more useful to the caller than PF_UNKNOWN.  */
#include "pf_driver.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define PF_BODY_MAX (32 << 20)
#define PF_PATH_MAX 2048

typedef struct _pf_endpoint _pf_endpoint;

typedef struct
{
  _pf_endpoint *endpoint;
  struct evhttp_connection *conn;
  _pf_op *op; /* in progress, NULL when idle */
} _pf_conn;

struct _pf_endpoint
{
  _pf_http *h;
  char *host; /* NULL when the address is not configured */
  uint16_t port;
  uint32_t max_connections; /* 0 means no limit, for watches */
  GPtrArray *conns;
  GQueue *waiting; /* _pf_op */
};

typedef struct
{
  _pf_conn *conn; /* NULL while the call waits */
  _pf_endpoint *endpoint;
  struct evhttp_request *req;
  struct event *timer;
  uint64_t send_by_us;  /* latest time to send the call */
  bool connection_lost; /* after it was established */
} _pf_call_state;

struct _pf_http
{
  pf_platform *p;
  _pf_endpoint store;
  _pf_endpoint watch;
  _pf_endpoint vm_list;
  _pf_endpoint weights;
  struct event *send_event;
  GPtrArray *ops; /* _pf_op, every call in progress */
};

static uint64_t
_pf_now_us (void)
{
  ck_clock clock = { .kind = CK_RUNTIME };
  return ck_now_us (&clock);
}

static bool
_pf_endpoint_setup (_pf_endpoint *e, _pf_http *h, const char *address,
                    uint32_t max_connections, er_error *err)
{
  const char *colon;
  uint64_t port;
  e->h = h;
  e->max_connections = max_connections;
  e->conns = g_ptr_array_new ();
  e->waiting = g_queue_new ();
  if (address == NULL)
    return true;
  colon = strrchr (address, ':');
  if (colon == NULL || colon == address
      || !st_parse_u64 (st_from_cstr (colon + 1), &port) || port == 0
      || port > 65535)
    return er_set (err, ER_INVALID,
                   "platform address '%s' is not valid; give IP:PORT",
                   address);
  e->host = g_strndup (address, (gsize)(colon - address));
  e->port = (uint16_t)port;
  return true;
}

static void
_pf_endpoint_shutdown (_pf_endpoint *e)
{
  for (guint i = 0; i < e->conns->len; i++)
    {
      _pf_conn *c = e->conns->pdata[i];
      evhttp_connection_free (c->conn);
      g_free (c);
    }
  g_ptr_array_free (e->conns, TRUE);
  g_queue_free (e->waiting);
  g_free (e->host);
}

/* Removes OP from the driver's state, without ending it.  */
static void
_pf_detach (_pf_http *h, _pf_op *op)
{
  _pf_call_state *state = op->driver;
  if (state->conn != NULL)
    state->conn->op = NULL;
  else
    g_queue_remove (state->endpoint->waiting, op);
  event_free (state->timer);
  g_free (state);
  op->driver = NULL;
  g_ptr_array_remove_fast (h->ops, op);
  event_active (h->send_event, EV_TIMEOUT, 0);
}

/* ---- replies ---- */

static bool
_pf_read_text (const json_t *object, const char *name, st_str *out)
{
  const json_t *v = json_object_get (object, name);
  if (!json_is_string (v))
    return false;
  *out = (st_str){ json_string_value (v), json_string_length (v) };
  return out->len > 0;
}

/* Reads one entry of the VM list.  Returns false when a field that its kind
   requires is missing or invalid.  */
static bool
_pf_read_vm (const json_t *item, pf_vm *vm)
{
  st_str kind;
  st_str state;
  size_t i;
  json_t *version;
  json_int_t slots = json_integer_value (json_object_get (item, "slots"));
  memset (vm, 0, sizeof *vm);
  if (!_pf_read_text (item, "kind", &kind)
      || !_pf_read_text (item, "name", &vm->name)
      || !_pf_read_text (item, "address", &vm->address)
      || !_pf_read_text (item, "region", &vm->region)
      || !_pf_read_text (item, "data_center", &vm->data_center)
      || !_pf_read_text (item, "state", &state) || vm->name.len > ST_NAME_MAX
      || vm->region.len > ST_NAME_MAX || vm->data_center.len > ST_NAME_MAX)
    return false;
  vm->leaving = st_equal_cstr (state, "leaving");
  if (!vm->leaving && !st_equal_cstr (state, "live"))
    return false;
  if (st_equal_cstr (kind, "vm"))
    {
      vm->kind = PF_VM;
      return _pf_read_text (item, "peer_address", &vm->peer_address);
    }
  if (st_equal_cstr (kind, "service"))
    {
      vm->kind = PF_SERVICE;
      return _pf_read_text (item, "service", &vm->service);
    }
  if (!st_equal_cstr (kind, "engine"))
    return false;
  vm->kind = PF_ENGINE;
  if (!_pf_read_text (item, "model", &vm->model) || slots <= 0
      || slots > UINT16_MAX)
    return false;
  vm->slots = (uint32_t)slots;
  json_array_foreach (json_object_get (item, "versions"), i, version)
  {
    if (json_is_string (version) && vm->version_count < PF_VERSIONS_MAX)
      vm->versions[vm->version_count++]
          = st_from_cstr (json_string_value (version));
  }
  return true;
}

static void
_pf_finish_malformed (_pf_op *op)
{
  /* A write whose reply cannot be read may have taken effect.  */
  _pf_fail (op, PF_UNKNOWN, "the platform's reply is malformed");
}

static void
_pf_finish_vms (_pf_op *op, const json_t *body)
{
  json_t *list = json_object_get (body, "vms");
  json_t *revision = json_object_get (body, "revision");
  pf_reply reply = { .result = PF_OK };
  pf_vm *vms;
  size_t i;
  json_t *item;
  if (!json_is_array (list) || !json_is_integer (revision))
    {
      _pf_finish_malformed (op);
      return;
    }
  vms = g_new (pf_vm, json_array_size (list) + 1);
  json_array_foreach (list, i, item)
  {
    if (_pf_read_vm (item, &vms[reply.vm_count]))
      reply.vm_count++;
    else
      reply.malformed_count++;
  }
  reply.vms = vms;
  reply.revision = (uint64_t)json_integer_value (revision);
  _pf_finish (op, &reply);
  g_free (vms);
}

static void
_pf_finish_events (_pf_op *op, const json_t *body, const char *name)
{
  json_t *list = json_object_get (body, name);
  json_t *revision = json_object_get (body, "revision");
  pf_reply reply = { .result = PF_OK };
  pf_event *events;
  size_t i;
  json_t *item;
  if (!json_is_array (list) || !json_is_integer (revision))
    {
      _pf_finish_malformed (op);
      return;
    }
  events = g_new0 (pf_event, json_array_size (list) + 1);
  json_array_foreach (list, i, item)
  {
    pf_event *e = &events[i];
    json_t *rev = json_object_get (item, "revision");
    if (!_pf_read_text (item, "key", &e->key) || !json_is_integer (rev))
      {
        g_free (events);
        _pf_finish_malformed (op);
        return;
      }
    e->revision = (uint64_t)json_integer_value (rev);
    e->deleted = json_is_true (json_object_get (item, "deleted"));
  }
  reply.events = events;
  reply.event_count = (uint32_t)json_array_size (list);
  reply.revision = (uint64_t)json_integer_value (revision);
  _pf_finish (op, &reply);
  g_free (events);
}

static bool
_pf_read_revision (struct evhttp_request *req, uint64_t *revision)
{
  const char *text = evhttp_find_header (
      evhttp_request_get_input_headers (req), "Store-Revision");
  return text != NULL && st_parse_u64 (st_from_cstr (text), revision);
}

/* Ends OP with the reply in a 200 response.  */
static void
_pf_finish_ok (_pf_op *op, struct evhttp_request *req, st_str body)
{
  pf_reply reply = { .result = PF_OK };
  json_t *json;
  switch (op->call)
    {
    case PF_GET:
    case PF_PUT:
    case PF_DELETE:
    case PF_LEASE_ACQUIRE:
    case PF_LEASE_RENEW:
    case PF_LEASE_RELEASE:
      if (!_pf_read_revision (req, &reply.revision))
        {
          _pf_finish_malformed (op);
          return;
        }
      if (op->call == PF_GET)
        reply.value = body;
      _pf_finish (op, &reply);
      return;
    case PF_WEIGHTS:
      _pf_finish (op, &reply);
      return;
    case PF_LIST:
    case PF_WATCH:
    case PF_VM_LIST:
      json = json_loadb (body.ptr, body.len, 0, NULL);
      if (op->call == PF_VM_LIST)
        _pf_finish_vms (op, json);
      else
        _pf_finish_events (op, json, op->call == PF_WATCH ? "events" : "keys");
      json_decref (json);
      return;
    case PF_CALLS:
      return;
    }
}

static void
_pf_finish_status (_pf_op *op, struct evhttp_request *req, int status)
{
  pf_reply reply = { .result = PF_UNKNOWN };
  const char *retry_after = evhttp_find_header (
      evhttp_request_get_input_headers (req), "Retry-After");
  uint64_t retry_s = 0;
  switch (status)
    {
    case 404:
      reply.result = PF_NOT_FOUND;
      reply.message = "the key does not exist";
      break;
    case 409:
      reply.result = PF_CONFLICT;
      reply.message = "a concurrent write or another lease holder was first";
      _pf_read_revision (req, &reply.revision);
      break;
    case 400:
    case 413:
      reply.result = PF_REFUSED;
      reply.message = "the platform refused the call as malformed or too "
                      "large; values may be up to 1 MB";
      break;
    case 429:
    case 503:
      reply.result = PF_UNAVAILABLE;
      reply.message
          = "the platform is unavailable or its rate limit is reached";
      if (retry_after != NULL
          && st_parse_u64 (st_from_cstr (retry_after), &retry_s))
        reply.retry_after_ms = (uint32_t)MIN (retry_s, 86400) * 1000;
      break;
    default:
      reply.message = "the platform replied with an unexpected status";
      break;
    }
  _pf_finish (op, &reply);
}

static void
_pf_on_response (struct evhttp_request *req, void *user)
{
  _pf_op *op = user;
  _pf_call_state *state = op->driver;
  _pf_http *h = op->p->http;
  bool no_response = req == NULL || state->connection_lost;
  int status = req != NULL ? evhttp_request_get_response_code (req) : 0;
  _pf_detach (h, op);
  if (no_response)
    {
      _pf_fail (op, PF_UNKNOWN, "the connection to the platform was lost");
      return;
    }
  if (status == 0)
    {
      /* evhttp passes a request without a status only when connecting
         failed, so nothing was sent.  */
      _pf_fail (op, PF_UNAVAILABLE, "cannot connect to the platform");
      return;
    }
  if (status == 200)
    {
      struct evbuffer *in = evhttp_request_get_input_buffer (req);
      size_t len = evbuffer_get_length (in);
      const char *ptr = len > 0 ? (const char *)evbuffer_pullup (in, -1) : "";
      _pf_finish_ok (op, req, (st_str){ ptr, len });
    }
  else
    _pf_finish_status (op, req, status);
}

static void
_pf_on_error (enum evhttp_request_error error, void *user)
{
  _pf_op *op = user;
  _pf_call_state *state = op->driver;
  if (error != EVREQ_HTTP_REQUEST_CANCEL && state != NULL)
    state->connection_lost = true;
}

/* ---- requests ---- */

/* Cancels the HTTP request of OP, which is in progress.  */
static void
_pf_cancel_request (_pf_op *op)
{
  _pf_call_state *state = op->driver;
  if (state->req != NULL)
    evhttp_cancel_request (state->req);
  state->req = NULL;
}

static void
_pf_on_timeout (evutil_socket_t fd, short what, void *user)
{
  _pf_op *op = user;
  _pf_call_state *state = op->driver;
  bool sent = state->conn != NULL;
  (void)fd;
  (void)what;
  if (sent)
    _pf_cancel_request (op);
  _pf_detach (op->p->http, op);
  _pf_fail (op, sent ? PF_UNKNOWN : PF_UNAVAILABLE,
            "the platform did not reply within the time-out");
}

static char *
_pf_encode (const char *text)
{
  return evhttp_uriencode (text, -1, 0);
}

static void
_pf_write_path (const _pf_op *op, char *path, size_t size)
{
  char *key = _pf_encode (op->key);
  char *holder = NULL;
  switch (op->call)
    {
    case PF_GET:
      g_snprintf (path, size, "/kv/%s", key);
      break;
    case PF_PUT:
    case PF_DELETE:
      if (op->revision == PF_ANY_REVISION)
        g_snprintf (path, size, "/kv/%s", key);
      else
        g_snprintf (path, size, "/kv/%s?prev_rev=%" G_GUINT64_FORMAT, key,
                    op->revision);
      break;
    case PF_LIST:
      g_snprintf (path, size, "/kv?prefix=%s", key);
      break;
    case PF_WATCH:
      g_snprintf (path, size,
                  "/watch/%s?after=%" G_GUINT64_FORMAT "&wait_ms=%u", key,
                  op->revision, op->p->desc.watch_ms);
      break;
    case PF_LEASE_ACQUIRE:
      g_strlcpy (path, "/lease", size);
      break;
    case PF_LEASE_RENEW:
      g_strlcpy (path, "/lease/renew", size);
      break;
    case PF_LEASE_RELEASE:
      g_strlcpy (path, "/lease/release", size);
      break;
    case PF_VM_LIST:
      g_strlcpy (path, "/vms", size);
      break;
    case PF_WEIGHTS:
      holder = _pf_encode (op->holder);
      g_snprintf (path, size, "/weights/%s/%s", key, holder);
      break;
    case PF_CALLS:
      path[0] = '\0';
      break;
    }
  free (key);
  free (holder);
}

static void
_pf_write_body (const _pf_op *op, struct evbuffer *out)
{
  if (op->value != NULL)
    {
      gsize len;
      const void *ptr = g_bytes_get_data (op->value, &len);
      if (len > 0)
        evbuffer_add (out, ptr, len);
    }
  else if (op->call >= PF_LEASE_ACQUIRE && op->call <= PF_LEASE_RELEASE)
    {
      json_t *body = json_pack ("{s:s,s:s,s:I,s:I}", "key", op->key, "holder",
                                op->holder, "ttl_ms", (json_int_t)op->ttl_ms,
                                "revision", (json_int_t)op->revision);
      char *text = json_dumps (body, JSON_COMPACT);
      if (text != NULL)
        evbuffer_add (out, text, strlen (text));
      free (text);
      json_decref (body);
    }
}

static enum evhttp_cmd_type
_pf_method (pf_call call)
{
  if (call == PF_PUT)
    return EVHTTP_REQ_PUT;
  if (call == PF_DELETE)
    return EVHTTP_REQ_DELETE;
  return call >= PF_LEASE_ACQUIRE && call <= PF_LEASE_RELEASE ? EVHTTP_REQ_POST
                                                              : EVHTTP_REQ_GET;
}

static void
_pf_send (_pf_conn *c, _pf_op *op)
{
  _pf_call_state *state = op->driver;
  char path[PF_PATH_MAX];
  state->conn = c;
  c->op = op;
  state->req = evhttp_request_new (_pf_on_response, op);
  evhttp_request_set_error_cb (state->req, _pf_on_error);
  evhttp_add_header (evhttp_request_get_output_headers (state->req), "Host",
                     c->endpoint->host);
  _pf_write_path (op, path, sizeof path);
  _pf_write_body (op, evhttp_request_get_output_buffer (state->req));
  /* On failure evhttp has freed the request without calling back.  */
  if (evhttp_make_request (c->conn, state->req, _pf_method (op->call), path)
      != 0)
    {
      state->req = NULL;
      _pf_detach (op->p->http, op);
      _pf_fail (op, PF_UNAVAILABLE, "cannot connect to the platform");
    }
}

/* An idle connection of E, or a new one; NULL when all max_connections are
   in use.  */
static _pf_conn *
_pf_idle_conn (_pf_endpoint *e)
{
  _pf_conn *c;
  struct timeval tv;
  uint32_t max_call_ms = e->h->p->desc.watch_ms + 2 * e->h->p->desc.timeout_ms;
  for (guint i = 0; i < e->conns->len; i++)
    if (((_pf_conn *)e->conns->pdata[i])->op == NULL)
      return e->conns->pdata[i];
  if (e->max_connections > 0 && e->conns->len >= e->max_connections)
    return NULL;
  c = g_new0 (_pf_conn, 1);
  c->endpoint = e;
  c->conn = evhttp_connection_base_new (e->h->p->desc.base, NULL, e->host,
                                        e->port);
  /* Each call has its own timer; this time-out is only a safeguard.  */
  tv = (struct timeval){ (time_t)(max_call_ms / 1000) + 1, 0 };
  evhttp_connection_set_timeout_tv (c->conn, &tv);
  evhttp_connection_set_max_body_size (c->conn, PF_BODY_MAX);
  evhttp_connection_set_retries (c->conn, 0);
  g_ptr_array_add (e->conns, c);
  return c;
}

static void
_pf_send_waiting (_pf_endpoint *e)
{
  while (!g_queue_is_empty (e->waiting))
    {
      _pf_conn *c;
      _pf_op *op = g_queue_peek_head (e->waiting);
      if (e->host == NULL)
        {
          _pf_detach (e->h, op);
          _pf_fail (op, PF_UNAVAILABLE, "no address is set for this service");
          continue;
        }
      if (op->value != NULL && g_bytes_get_size (op->value) > PF_VALUE_MAX)
        {
          _pf_detach (e->h, op);
          _pf_fail (op, PF_REFUSED, "a value may be up to 1 MB");
          continue;
        }
      if (strlen (op->key) > ST_NAME_MAX * 8)
        {
          _pf_detach (e->h, op);
          _pf_fail (op, PF_REFUSED,
                    "the key is too long; a key may be up to 504 bytes");
          continue;
        }
      if (g_queue_get_length (e->waiting) > e->h->p->desc.queue_max)
        {
          op = g_queue_peek_tail (e->waiting);
          _pf_detach (e->h, op);
          _pf_fail (op, PF_UNAVAILABLE,
                    "the queue of calls to the platform is full; retry later");
          continue;
        }
      c = _pf_idle_conn (e);
      if (c == NULL)
        return;
      if (_pf_now_us () > ((_pf_call_state *)op->driver)->send_by_us)
        {
          _pf_detach (e->h, op);
          _pf_fail (
              op, PF_UNAVAILABLE,
              "the call waited in the queue for too long and was not sent");
          continue;
        }
      g_queue_pop_head (e->waiting);
      _pf_send (c, op);
    }
}

static void
_pf_on_send_event (evutil_socket_t fd, short what, void *user)
{
  _pf_http *h = user;
  (void)fd;
  (void)what;
  _pf_send_waiting (&h->store);
  _pf_send_waiting (&h->watch);
  _pf_send_waiting (&h->vm_list);
  _pf_send_waiting (&h->weights);
}

_pf_http *
_pf_http_make (pf_platform *p, er_error *err)
{
  _pf_http *h = g_new0 (_pf_http, 1);
  bool ok = true;
  h->p = p;
  h->ops = g_ptr_array_new ();
  h->send_event = event_new (p->desc.base, -1, 0, _pf_on_send_event, h);
  ok &= _pf_endpoint_setup (&h->store, h, p->desc.store, p->desc.connections,
                            err);
  ok &= _pf_endpoint_setup (&h->watch, h, p->desc.store, 0, err);
  ok &= _pf_endpoint_setup (&h->vm_list, h, p->desc.vm_list, 1, err);
  ok &= _pf_endpoint_setup (&h->weights, h, p->desc.weights, 2, err);
  if (!ok)
    {
      _pf_http_destroy (h);
      return NULL;
    }
  return h;
}

void
_pf_http_destroy (_pf_http *h)
{
  while (h->ops->len > 0)
    {
      _pf_op *op = h->ops->pdata[0];
      _pf_http_cancel (h, op);
    }
  _pf_endpoint_shutdown (&h->store);
  _pf_endpoint_shutdown (&h->watch);
  _pf_endpoint_shutdown (&h->vm_list);
  _pf_endpoint_shutdown (&h->weights);
  event_free (h->send_event);
  g_ptr_array_free (h->ops, TRUE);
  g_free (h);
}

static _pf_endpoint *
_pf_endpoint_of (_pf_http *h, pf_call call)
{
  switch (call)
    {
    case PF_WATCH:
      return &h->watch;
    case PF_VM_LIST:
      return &h->vm_list;
    case PF_WEIGHTS:
      return &h->weights;
    default:
      return &h->store;
    }
}

void
_pf_http_submit (_pf_http *h, _pf_op *op)
{
  _pf_call_state *state = g_new0 (_pf_call_state, 1);
  uint32_t max_wait_ms = h->p->desc.timeout_ms;
  struct timeval tv;
  if (op->call == PF_WATCH)
    max_wait_ms += h->p->desc.watch_ms;
  tv = (struct timeval){ max_wait_ms / 1000, max_wait_ms % 1000 * 1000 };
  state->endpoint = _pf_endpoint_of (h, op->call);
  state->send_by_us = _pf_now_us () + max_wait_ms * CK_MS_US * 3 / 4;
  state->timer = evtimer_new (h->p->desc.base, _pf_on_timeout, op);
  evtimer_add (state->timer, &tv);
  op->driver = state;
  g_ptr_array_add (h->ops, op);
  g_queue_push_tail (state->endpoint->waiting, op);
  event_active (h->send_event, EV_TIMEOUT, 0);
}

/* Cancels OP and frees it without calling its callback.  */
void
_pf_http_cancel (_pf_http *h, _pf_op *op)
{
  _pf_call_state *state = op->driver;
  if (state->conn != NULL)
    _pf_cancel_request (op);
  _pf_detach (h, op);
  _pf_op_free (op);
}
