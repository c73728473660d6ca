#include "oc.h"

#include "lg.h"
#include "oc_bucket.h"
#include "up.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <string.h>

#define _OC_MAX_CALLS 1024
#define _OC_CALLERS_PER_CALL 4
#define _OC_IDLE_TIMEOUT_MS 30000
#define _OC_RETRY_AFTER_MS 1000

static const char _oc_too_many[]
    = "this VM has too many calls or callers waiting: use another address";

/* A caller that waits for the outcome of its call.  */
typedef struct
{
  char *key; /* team, service and key of the caller */
  char *caller_key;
  char *team;
  char *path;
  char *content_type;
  char *body;
  size_t body_len;
  char addresses[OC_ADDRESSES_MAX][ST_NAME_MAX + 1];
  size_t address_count;
  oc_done done; /* NULL once the caller has disconnected */
  void *user;
} _oc_caller;

/* A call that was sent or is about to be sent.  */
typedef struct
{
  oc_task *oc;
  id_handle od_call; /* of the call in the decision module, od.h */
  up_id exchange;    /* 0: none */
  uint64_t fence;
  size_t address_index; /* into first_caller.addresses */
  /* Copy of the caller that started the call, which may be completed first. */
  _oc_caller first_caller;
  int status;
  char content_type[128];
  struct evbuffer *response;
  bool truncated;
  bool ended;
} _oc_attempt;

/* A store operation.  OC is NULL when the task was destroyed first.  */
typedef struct
{
  oc_task *oc;
  uint64_t op;
} _oc_op;

/* A call that the decision module did not get or did not accept; its caller
   gets the response from the event loop.  */
typedef struct
{
  oc_done done;
  void *user;
  er_kind kind;
  const char *message;
} _oc_refused;

struct oc_task
{
  oc_desc desc;
  ck_clock clock;
  od_state *od;
  up_pool *up;
  struct event *timer;
  id_pool ids;
  _oc_caller *callers;
  GPtrArray *attempts; /* _oc_attempt */
  GPtrArray *ops;      /* _oc_op in flight */
  GArray *refused;     /* _oc_refused */
};

static od_time
_oc_time (const oc_task *oc)
{
  const ck_clock *clock = oc->desc.clock != NULL ? oc->desc.clock : &oc->clock;
  return (od_time){ ck_now_us (clock), ck_wall_ms (clock) };
}

static void
_oc_count (oc_task *oc, const char *metric, const char *label,
           const char *value)
{
  if (oc->desc.metrics != NULL)
    mt_add (oc->desc.metrics,
            mt_counter (oc->desc.metrics, metric, label, st_from_cstr (value),
                        NULL, ST_LIT ("")),
            1);
}

static void
_oc_caller_clear (_oc_caller *c)
{
  g_free (c->key);
  g_free (c->caller_key);
  g_free (c->team);
  g_free (c->path);
  g_free (c->content_type);
  g_free (c->body);
  memset (c, 0, sizeof *c);
}

static void
_oc_caller_copy (_oc_caller *to, const _oc_caller *from)
{
  *to = *from;
  to->key = g_strdup (from->key);
  to->caller_key = g_strdup (from->caller_key);
  to->team = g_strdup (from->team);
  to->path = g_strdup (from->path);
  to->content_type = g_strdup (from->content_type);
  to->body = g_memdup2 (from->body, from->body_len);
}

static void
_oc_attempt_free (gpointer data)
{
  _oc_attempt *a = data;
  evbuffer_free (a->response);
  _oc_caller_clear (&a->first_caller);
  g_free (a);
}

static void _oc_run (oc_task *oc);

/* ---- store ---- */

static _oc_op *
_oc_make_op (oc_task *oc, uint64_t op)
{
  _oc_op *o = g_new0 (_oc_op, 1);
  o->oc = oc;
  o->op = op;
  g_ptr_array_add (oc->ops, o);
  return o;
}

static oc_task *
_oc_end_op (_oc_op *o, uint64_t *op)
{
  oc_task *oc = o->oc;
  *op = o->op;
  if (oc != NULL)
    g_ptr_array_remove_fast (oc->ops, o);
  g_free (o);
  return oc;
}

static void
_oc_bucket_key (uint32_t bucket, char *out, size_t size)
{
  g_snprintf (out, size, "orders/bucket/%02u", bucket);
}

static void
_oc_on_read (const pf_reply *reply, void *user)
{
  uint64_t op;
  oc_task *oc = _oc_end_op (user, &op);
  if (oc == NULL)
    return;
  _oc_count (oc, "order_store_calls_total", "result",
             pf_result_name (reply->result));
  er_error err = { 0 };
  switch (reply->result)
    {
    case PF_OK:
      {
        oc_bucket *b = oc_bucket_decode (reply->value, reply->revision, &err);
        if (b == NULL)
          {
            lg_log (LG_ERROR, "",
                    "stored calls cannot be read, new calls are refused: %s",
                    err.message);
            od_on_read (oc->od, op, OD_UNAVAILABLE, NULL, _oc_time (oc));
            break;
          }
        od_on_read (oc->od, op, OD_OK, oc_bucket_value (b), _oc_time (oc));
        oc_bucket_destroy (b);
        break;
      }
    case PF_NOT_FOUND:
      od_on_read (oc->od, op, OD_NOT_FOUND, NULL, _oc_time (oc));
      break;
    case PF_CONFLICT:
    case PF_UNAVAILABLE:
    case PF_UNKNOWN:
    case PF_REFUSED:
      od_on_read (oc->od, op, OD_UNAVAILABLE, NULL, _oc_time (oc));
      break;
    }
  _oc_run (oc);
}

static void
_oc_on_write (const pf_reply *reply, void *user)
{
  uint64_t op;
  oc_task *oc = _oc_end_op (user, &op);
  if (oc == NULL)
    return;
  od_result result = OD_LOST;
  _oc_count (oc, "order_store_calls_total", "result",
             pf_result_name (reply->result));
  switch (reply->result)
    {
    case PF_OK:
      result = OD_OK;
      break;
    case PF_CONFLICT:
    case PF_NOT_FOUND:
      result = OD_CONFLICT;
      break;
    case PF_UNAVAILABLE:
      result = OD_UNAVAILABLE;
      break;
    case PF_REFUSED:
      lg_log (LG_ERROR, "", "the store refused to write a bucket of calls: %s",
              reply->message);
      result = OD_UNAVAILABLE;
      break;
    case PF_UNKNOWN:
      break;
    }
  od_on_write (oc->od, op, result, reply->revision, _oc_time (oc));
  _oc_run (oc);
}

static void
_oc_read (oc_task *oc, const od_action *a)
{
  char key[64];
  _oc_bucket_key (a->bucket, key, sizeof key);
  pf_get (oc->desc.platform, st_from_cstr (key), _oc_on_read,
          _oc_make_op (oc, a->op));
}

static void
_oc_write (oc_task *oc, const od_action *a)
{
  char key[64];
  msgpack_sbuffer value;
  _oc_bucket_key (a->bucket, key, sizeof key);
  oc_bucket_encode (&a->value, &value);
  pf_put (oc->desc.platform, st_from_cstr (key),
          (st_str){ value.data, value.size }, a->value.revision, _oc_on_write,
          _oc_make_op (oc, a->op));
  msgpack_sbuffer_destroy (&value);
}

/* ---- the service ---- */

static void _oc_send_to_next (_oc_attempt *a);

static void
_oc_end_attempt (_oc_attempt *a, od_call_result result)
{
  oc_task *oc = a->oc;
  st_str body = { (const char *)evbuffer_pullup (a->response, -1),
                  evbuffer_get_length (a->response) };
  if (body.ptr == NULL)
    body = ST_LIT ("");
  a->ended = true;
  od_on_call_result (oc->od, a->od_call, result, (uint32_t)a->status, body,
                     _oc_time (oc));
  /* Completes the callers before the response that they get is freed.  */
  _oc_run (oc);
  g_ptr_array_remove_fast (oc->attempts, a);
}

static void
_oc_on_head (void *user, int status, struct evkeyvalq *headers)
{
  _oc_attempt *a = user;
  const char *type = evhttp_find_header (headers, "Content-Type");
  a->status = status;
  if (type != NULL)
    g_strlcpy (a->content_type, type, sizeof a->content_type);
}

static void
_oc_on_data (void *user, struct evbuffer *data)
{
  _oc_attempt *a = user;
  size_t room = OC_BODY_MAX_BYTES - evbuffer_get_length (a->response);
  if (evbuffer_get_length (data) > room)
    a->truncated = true;
  evbuffer_remove_buffer (data, a->response, room);
  evbuffer_drain (data, evbuffer_get_length (data));
}

static void
_oc_on_exchange_end (void *user, const up_result *result)
{
  _oc_attempt *a = user;
  a->exchange = 0;
  switch (result->end)
    {
    case UP_COMPLETE:
      a->status = result->status;
      _oc_end_attempt (a, OD_ANSWERED);
      return;
    case UP_NOT_SENT:
      a->address_index++;
      _oc_send_to_next (a);
      return;
    case UP_CONNECTION_LOST:
      lg_log (LG_WARNING, "",
              "the connection to a service was lost before the complete "
              "response: %s",
              result->error);
      _oc_end_attempt (a, OD_CONNECTION_LOST);
      return;
    }
}

static void
_oc_send_to_next (_oc_attempt *a)
{
  char fence[32];
  g_snprintf (fence, sizeof fence, "%" PRIu64, a->fence);
  /* The service may close an idle pooled connection just when the call is
     sent, which would end the call as unknown.  */
  const up_header headers[] = {
    { "Connection", "close" },
    { "Content-Type", a->first_caller.content_type },
    { "Idempotency-Key", a->first_caller.caller_key },
    { "Dotterelbend-Fence", fence },
    { "Dotterelbend-Team", a->first_caller.team },
  };
  while (a->address_index < a->first_caller.address_count)
    {
      a->exchange = up_send (
          a->oc->up,
          &(up_call_desc){
              .address
              = st_from_cstr (a->first_caller.addresses[a->address_index]),
              .method = EVHTTP_REQ_POST,
              .path = a->first_caller.path,
              .headers = headers,
              .header_count = G_N_ELEMENTS (headers),
              .body = { a->first_caller.body, a->first_caller.body_len },
              .idle_timeout_ms = a->oc->desc.idle_timeout_ms,
              .on_head = _oc_on_head,
              .on_data = _oc_on_data,
              .on_done = _oc_on_exchange_end,
              .user = a });
      if (a->exchange != 0)
        return;
      a->address_index++;
    }
  _oc_end_attempt (a, OD_NOT_SENT);
}

static const _oc_caller *
_oc_find_request (const oc_task *oc, st_str key)
{
  for (uint32_t i = 0; i < oc->ids.capacity; i++)
    if (oc->callers[i].key != NULL && st_equal_cstr (key, oc->callers[i].key))
      return &oc->callers[i];
  return NULL;
}

static void
_oc_send (oc_task *oc, const od_action *action)
{
  const _oc_caller *request = _oc_find_request (oc, action->key);
  if (request == NULL)
    {
      /* Cannot happen: the callers of a key stay until they are completed.  */
      lg_log (LG_ERROR, "", "a call was to be sent but has no caller");
      od_on_call_result (oc->od, action->call, OD_NOT_SENT, 0, ST_LIT (""),
                         _oc_time (oc));
      return;
    }
  _oc_attempt *a = g_new0 (_oc_attempt, 1);
  a->oc = oc;
  a->od_call = action->call;
  a->fence = action->fence;
  a->response = evbuffer_new ();
  _oc_caller_copy (&a->first_caller, request);
  g_ptr_array_add (oc->attempts, a);
  _oc_count (oc, "order_calls_sent_total", "team", a->first_caller.team);
  _oc_send_to_next (a);
}

/* ---- other VMs ---- */

static void
_oc_request_abandon (oc_task *oc, const od_action *a)
{
  char key[OD_KEY_MAX];
  st_str copy = { key, a->key.len };
  memcpy (key, a->key.ptr, a->key.len);
  switch (oc->desc.find_peer (oc->desc.user, a->incarnation))
    {
    case OC_PEER_DEAD:
      od_on_abandon_reply (oc->od, copy, a->attempt, OD_DEAD, _oc_time (oc));
      return;
    case OC_PEER_ALIVE:
      {
        ms_message m = { .type = MS_ABANDON_ASK };
        m.u.abandon_ask = (ms_abandon_ask){ .incarnation = a->incarnation,
                                            .key = copy,
                                            .attempt = a->attempt };
        if (oc->desc.send (oc->desc.user, a->incarnation, &m))
          return;
        break;
      }
    case OC_PEER_UNKNOWN:
      break;
    }
  od_on_abandon_reply (oc->od, copy, a->attempt, OD_UNREACHABLE,
                       _oc_time (oc));
}

/* Handles ABANDON_ASK and ABANDON_REPLY from the process SENDER.  */
void
oc_on_message (oc_task *oc, st_str sender, const ms_message *m)
{
  if (m->type == MS_ABANDON_ASK)
    {
      const ms_abandon_ask *ask = &m->u.abandon_ask;
      ms_message reply
          = { .type = MS_ABANDON_REPLY, .correlation = m->correlation };
      reply.u.abandon_reply = (ms_abandon_reply){
        .key = ask->key,
        .attempt = ask->attempt,
        .abandoned = od_on_abandon_request (oc->od, ask->incarnation, ask->key,
                                            ask->attempt)
      };
      oc->desc.send (oc->desc.user, sender, &reply);
      return;
    }
  if (m->type != MS_ABANDON_REPLY)
    return;
  const ms_abandon_reply *r = &m->u.abandon_reply;
  od_on_abandon_reply (oc->od, r->key, r->attempt,
                       r->abandoned ? OD_ABANDONED : OD_NOT_ABANDONED,
                       _oc_time (oc));
  _oc_run (oc);
}

/* ---- callers ---- */

typedef struct
{
  er_kind kind;
  const char *message;
} _oc_reason;

static _oc_reason
_oc_reason_of (od_reason reason)
{
  switch (reason)
    {
    case OD_REASON_STORE_UNAVAILABLE:
      return (_oc_reason){ ER_UNAVAILABLE,
                           "the configuration store cannot be reached, so "
                           "the call was not sent: try again later" };
    case OD_REASON_DEADLINE:
      return (_oc_reason){ ER_TIMEOUT,
                           "the call could not be recorded in the store in "
                           "time, so it was not sent: try again" };
    case OD_REASON_BUCKET_FULL:
      return (_oc_reason){ ER_LIMIT,
                           "the store cannot record more calls until older "
                           "ones expire: try again later" };
    case OD_REASON_TABLE_FULL:
      return (_oc_reason){ ER_LIMIT, _oc_too_many };
    case OD_REASON_CONNECT_FAILED:
      return (_oc_reason){ ER_UNAVAILABLE,
                           "no instance of the service could be reached, so "
                           "the call was not sent: try again" };
    case OD_REASON_CONNECTION_LOST:
      return (_oc_reason){ ER_UNAVAILABLE,
                           "the connection to the service was lost after the "
                           "call was sent: ask the service what happened" };
    case OD_REASON_OWNER_DEAD:
      return (_oc_reason){ ER_UNAVAILABLE,
                           "the VM that made this call is dead: ask the "
                           "service what happened" };
    case OD_REASON_OWNER_UNRESPONSIVE:
      return (_oc_reason){ ER_TIMEOUT,
                           "another VM recorded this call and does not reply: "
                           "try again later with the same key" };
    case OD_REASON_KEY_INVALID:
      return (_oc_reason){ ER_INVALID, "the Idempotency-Key is not valid" };
    case OD_REASON_NONE:
      break;
    }
  return (_oc_reason){ ER_UNAVAILABLE,
                       "the outcome of an earlier call with this key is not "
                       "known: ask the service" };
}

static const _oc_attempt *
_oc_find_attempt (const oc_task *oc, id_handle call)
{
  for (guint i = 0; i < oc->attempts->len; i++)
    {
      const _oc_attempt *a = oc->attempts->pdata[i];
      if (a->ended && a->od_call == call)
        return a;
    }
  return NULL;
}

static void
_oc_complete (oc_task *oc, const od_action *action)
{
  _oc_caller c;
  oc_response response = { .content_type = ST_LIT ("application/json"),
                           .body = ST_LIT (""),
                           .message = "" };
  if (!id_valid (&oc->ids, action->caller))
    return;
  _oc_caller *slot = &oc->callers[id_index (action->caller)];
  c = *slot;
  memset (slot, 0, sizeof *slot);
  id_destroy (&oc->ids, action->caller);
  _oc_reason why = _oc_reason_of (action->reason);
  switch (action->outcome)
    {
    case OD_DONE:
      response.outcome = OC_ANSWERED;
      response.status = (int)action->status;
      response.body = action->body.ptr != NULL ? action->body : ST_LIT ("");
      response.body_truncated = action->body_truncated;
      response.replayed = action->stored;
      if (!action->stored)
        {
          const _oc_attempt *a = _oc_find_attempt (oc, action->call);
          if (a == NULL)
            break;
          response.status = a->status;
          response.body_truncated = a->truncated;
          response.body.len = evbuffer_get_length (a->response);
          if (response.body.len > 0)
            response.body.ptr
                = (const char *)evbuffer_pullup (a->response, -1);
          if (a->content_type[0] != 0)
            response.content_type = st_from_cstr (a->content_type);
        }
      break;
    case OD_NOT_RUN:
      response.outcome = OC_NOT_RUN;
      response.retry_after_ms = _OC_RETRY_AFTER_MS;
      break;
    case OD_UNKNOWN:
    case OD_INTENT:
    case OD_ENTRY_STATES:
      response.outcome = OC_UNKNOWN;
      break;
    }
  if (response.outcome != OC_ANSWERED)
    {
      response.kind = why.kind;
      response.message = why.message;
    }
  static const char *const names[] = { "answered", "not_run", "unknown" };
  _oc_count (oc, "order_outcomes_total", "outcome", names[response.outcome]);
  if (c.done != NULL)
    c.done (c.user, &response);
  _oc_caller_clear (&c);
}

static void
_oc_complete_refused (oc_task *oc)
{
  while (oc->refused->len > 0)
    {
      _oc_refused r = g_array_index (oc->refused, _oc_refused, 0);
      g_array_remove_index (oc->refused, 0);
      _oc_count (oc, "order_outcomes_total", "outcome", "not_run");
      r.done (r.user,
              &(oc_response){ .outcome = OC_NOT_RUN,
                              .kind = r.kind,
                              .message = r.message,
                              .retry_after_ms
                              = r.kind == ER_LIMIT ? _OC_RETRY_AFTER_MS : 0,
                              .content_type = ST_LIT ("application/json"),
                              .body = ST_LIT ("") });
    }
}

/* Carries out all actions that are due, and sets the timer for the next.  */
static void
_oc_run (oc_task *oc)
{
  od_action a;
  while (od_next (oc->od, _oc_time (oc), &a))
    switch (a.kind)
      {
      case OD_READ:
        _oc_read (oc, &a);
        break;
      case OD_WRITE:
        _oc_write (oc, &a);
        break;
      case OD_SEND:
        _oc_send (oc, &a);
        break;
      case OD_REQUEST_ABANDON:
        _oc_request_abandon (oc, &a);
        break;
      case OD_COMPLETE:
        _oc_complete (oc, &a);
        break;
      }
  uint64_t now = _oc_time (oc).now_us;
  uint64_t wake = od_query_wake_us (oc->od, now);
  if (wake == UINT64_MAX)
    {
      evtimer_del (oc->timer);
      return;
    }
  struct timeval tv = { (time_t)((wake - now) / CK_S_US),
                        (suseconds_t)((wake - now) % CK_S_US) };
  evtimer_add (oc->timer, &tv);
}

static void
_oc_on_timer (evutil_socket_t fd, short what, void *arg)
{
  oc_task *oc = arg;
  (void)fd;
  (void)what;
  _oc_complete_refused (oc);
  _oc_run (oc);
}

/* Starts the task.  */
oc_task *
oc_make (const oc_desc *desc)
{
  oc_task *oc = g_new0 (oc_task, 1);
  oc->desc = *desc;
  if (oc->desc.max_calls == 0)
    oc->desc.max_calls = _OC_MAX_CALLS;
  if (oc->desc.idle_timeout_ms == 0)
    oc->desc.idle_timeout_ms = _OC_IDLE_TIMEOUT_MS;
  uint32_t callers = oc->desc.max_calls * _OC_CALLERS_PER_CALL;
  oc->od = od_make (
      &(od_desc){ .incarnation = desc->incarnation,
                  .seed = desc->seed,
                  .max_calls = oc->desc.max_calls,
                  .max_callers = callers,
                  .wait_us = desc->wait_us,
                  .abandon_interval_us = desc->abandon_interval_us });
  oc->up = up_make (&(up_desc){
      .base = desc->base, .max_calls = oc->desc.max_calls, .max_idle = 1 });
  id_setup (&oc->ids, &(id_desc){ .capacity = callers });
  oc->callers = g_new0 (_oc_caller, callers);
  oc->attempts = g_ptr_array_new_with_free_func (_oc_attempt_free);
  oc->ops = g_ptr_array_new ();
  oc->refused = g_array_new (FALSE, FALSE, sizeof (_oc_refused));
  oc->timer = evtimer_new (desc->base, _oc_on_timer, oc);
  return oc;
}

/* Ends the task without responses: the intents of calls in progress stay in
   the store, and other VMs find their process dead.  */
void
oc_destroy (oc_task *oc)
{
  if (oc == NULL)
    return;
  up_destroy (oc->up);
  for (guint i = 0; i < oc->ops->len; i++)
    ((_oc_op *)oc->ops->pdata[i])->oc = NULL;
  g_ptr_array_free (oc->ops, TRUE);
  g_ptr_array_free (oc->attempts, TRUE);
  g_array_free (oc->refused, TRUE);
  for (uint32_t i = 0; i < oc->ids.capacity; i++)
    _oc_caller_clear (&oc->callers[i]);
  g_free (oc->callers);
  id_shutdown (&oc->ids);
  event_free (oc->timer);
  od_destroy (oc->od);
  g_free (oc);
}

/* Team, service and key in one string; the lengths keep different triples
   apart.  */
static char *
_oc_compose_key (const oc_call_desc *d)
{
  return g_strdup_printf ("%zu:%.*s%zu:%.*s%.*s", d->team.len,
                          ST_FMT (d->team), d->service.len,
                          ST_FMT (d->service), ST_FMT (d->key));
}

static bool
_oc_validate_call (const oc_call_desc *d)
{
  if (d->key.len == 0 || d->key.len > OC_KEY_MAX
      || memchr (d->key.ptr, 0, d->key.len) != NULL
      || d->team.len > ST_NAME_MAX || d->service.len > ST_NAME_MAX
      || d->body.len > OC_BODY_MAX_BYTES
      || d->address_count > OC_ADDRESSES_MAX)
    return false;
  for (size_t i = 0; i < d->key.len; i++)
    if ((unsigned char)d->key.ptr[i] < 0x20 || d->key.ptr[i] == 0x7f)
      return false;
  for (size_t i = 0; i < d->address_count; i++)
    if (d->addresses[i].len > ST_NAME_MAX)
      return false;
  return true;
}

static oc_id
_oc_refuse (oc_task *oc, oc_done done, void *user, er_kind kind,
            const char *message)
{
  _oc_refused r
      = { .done = done, .user = user, .kind = kind, .message = message };
  g_array_append_val (oc->refused, r);
  event_active (oc->timer, EV_TIMEOUT, 0);
  return 0;
}

/* Makes a call.  DONE is called exactly once, unless oc_detach_caller comes
   first. A call that is malformed or above the limit is refused: the function
   returns 0, and DONE receives OC_NOT_RUN with ER_INVALID or ER_LIMIT.  */
oc_id
oc_call (oc_task *oc, const oc_call_desc *desc, oc_done done, void *user)
{
  if (!_oc_validate_call (desc))
    return _oc_refuse (
        oc, done, user, ER_INVALID,
        "the call is malformed: the Idempotency-Key must have 1 to "
        "256 bytes without control characters, the body at most "
        "1 MiB, and names must not be too long");
  oc_id id = id_make (&oc->ids);
  if (id == 0)
    return _oc_refuse (oc, done, user, ER_LIMIT, _oc_too_many);
  _oc_caller *c = &oc->callers[id_index (id)];
  c->key = _oc_compose_key (desc);
  c->caller_key = g_strndup (desc->key.ptr, desc->key.len);
  c->team = desc->team.len > 0 ? g_strndup (desc->team.ptr, desc->team.len)
                               : g_strdup ("");
  c->path = g_strdup (desc->path);
  c->content_type
      = desc->content_type.len > 0
            ? g_strndup (desc->content_type.ptr, desc->content_type.len)
            : g_strdup ("application/json");
  c->body = g_memdup2 (desc->body.ptr, desc->body.len);
  c->body_len = desc->body.len;
  for (size_t i = 0; i < desc->address_count; i++)
    memcpy (c->addresses[i], desc->addresses[i].ptr, desc->addresses[i].len);
  c->address_count = desc->address_count;
  c->done = done;
  c->user = user;
  if (!od_call (oc->od,
                &(od_call_desc){ .key = st_from_cstr (c->key), .caller = id },
                _oc_time (oc)))
    {
      _oc_caller_clear (c);
      id_destroy (&oc->ids, id);
      return _oc_refuse (oc, done, user, ER_LIMIT, _oc_too_many);
    }
  /* Responses come from the event loop.  */
  event_active (oc->timer, EV_TIMEOUT, 0);
  return id;
}

/* The caller of CALL has disconnected.  The call goes on, and its outcome is
   stored.  */
void
oc_detach_caller (oc_task *oc, oc_id call)
{
  if (id_valid (&oc->ids, call))
    oc->callers[id_index (call)].done = NULL;
}

/* Uses INCARNATION for calls from now on.  */
void
oc_set_incarnation (oc_task *oc, st_str incarnation)
{
  od_set_incarnation (oc->od, incarnation);
}

/* Counters of the decisions.  */
od_counts
oc_query_counts (const oc_task *oc)
{
  return od_query_counts (oc->od);
}

/* Callers that wait for their outcome.  */
uint32_t
oc_query_waiting (const oc_task *oc)
{
  return oc->ids.used;
}
