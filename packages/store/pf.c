#include "pf.h"

#include "pf_driver.h"

#include <string.h>

#define PF_RETRY_DOUBLINGS 4

/* Name of CALL as used in metrics.  */
const char *
pf_call_name (pf_call call)
{
  static const char *const names[PF_CALLS] = {
    "get",           "put",         "delete",        "list",    "watch",
    "lease_acquire", "lease_renew", "lease_release", "vm_list", "weights"
  };
  return call < PF_CALLS ? names[call] : "";
}

/* Name of RESULT as used in logs.  */
const char *
pf_result_name (pf_result result)
{
  switch (result)
    {
    case PF_OK:
      return "ok";
    case PF_CONFLICT:
      return "conflict";
    case PF_NOT_FOUND:
      return "not found";
    case PF_UNAVAILABLE:
      return "unavailable";
    case PF_UNKNOWN:
      return "unknown";
    case PF_REFUSED:
      return "refused";
    }
  return "";
}

/* Frees OP without calling its callback.  */
void
_pf_op_free (_pf_op *op)
{
  g_free (op->key);
  g_free (op->holder);
  if (op->value != NULL)
    g_bytes_unref (op->value);
  g_free (op);
}

static void
_pf_watch_free (_pf_watch *w)
{
  if (w->timer != NULL)
    event_free (w->timer);
  g_free (w->prefix);
  g_free (w);
}

static void
_pf_watch_schedule_retry (_pf_watch *w)
{
  pf_platform *p = w->p;
  uint32_t doublings = MIN (w->failures, PF_RETRY_DOUBLINGS);
  uint64_t delay_us = ((uint64_t)p->desc.retry_ms << doublings) * CK_MS_US;
  struct timeval tv;
  /* Half of the delay is jitter, so that watches that failed together
     reconnect at different times.  */
  delay_us = delay_us / 2
             + (uint64_t)(g_rand_double (p->rand) * (double)delay_us / 2);
  w->failures++;
  if (p->desc.driver == PF_MEMORY)
    {
      w->retry_due_us = _pf_memory_now_us (p->desc.memory) + delay_us;
      return;
    }
  tv = (struct timeval){ (time_t)(delay_us / CK_S_US),
                         (suseconds_t)(delay_us % CK_S_US) };
  evtimer_add (w->timer, &tv);
}

/* Handles the end of a watch call.  The callback receives events, the first
   failure after a success, and the first success after a failure.  */
static void
_pf_watch_on_reply (_pf_watch *w, const pf_reply *reply)
{
  bool ok = reply->result == PF_OK;
  w->op = NULL;
  w->in_callback = true;
  if (ok && reply->revision > w->after)
    w->after = reply->revision;
  if (ok ? reply->event_count > 0 || w->failures > 0 : w->failures == 0)
    w->done (reply, w->user);
  w->in_callback = false;
  if (w->stopped)
    {
      _pf_watch_free (w);
      return;
    }
  if (ok)
    {
      w->failures = 0;
      _pf_watch_arm (w);
    }
  else
    _pf_watch_schedule_retry (w);
}

/* Passes REPLY to the callback of OP and frees OP.  */
void
_pf_finish (_pf_op *op, pf_reply *reply)
{
  if (reply->message == NULL)
    reply->message = "";
  if (reply->result == PF_UNKNOWN && !_pf_is_write (op->call))
    reply->result = PF_UNAVAILABLE;
  if (op->watch != NULL)
    _pf_watch_on_reply (op->watch, reply);
  else
    op->done (reply, op->user);
  _pf_op_free (op);
}

/* Ends OP with an error.  */
void
_pf_fail (_pf_op *op, pf_result result, const char *message)
{
  pf_reply reply = { .result = result, .message = message };
  _pf_finish (op, &reply);
}

static void
_pf_submit (_pf_op *op)
{
  pf_platform *p = op->p;
  p->counts[op->call]++;
  switch (p->desc.driver)
    {
    case PF_HTTP:
      _pf_http_submit (p->http, op);
      return;
    case PF_MEMORY:
      _pf_memory_submit (p->desc.memory, op);
      return;
    }
}

static _pf_op *
_pf_op_make (pf_platform *p, pf_call call, st_str key, pf_done done,
             void *user)
{
  _pf_op *op = g_new0 (_pf_op, 1);
  op->p = p;
  op->call = call;
  op->key = g_strndup (key.ptr, key.len);
  op->done = done;
  op->user = user;
  return op;
}

/* Sends the next call of watch W.  */
void
_pf_watch_arm (_pf_watch *w)
{
  _pf_op *op
      = _pf_op_make (w->p, PF_WATCH, st_from_cstr (w->prefix), NULL, NULL);
  op->revision = w->after;
  op->watch = w;
  w->op = op;
  w->retry_due_us = 0;
  _pf_submit (op);
}

static void
_pf_watch_on_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  _pf_watch_arm (user);
}

static bool
_pf_validate_desc (const pf_desc *desc, er_error *err)
{
  if (desc->driver == PF_MEMORY)
    return desc->memory != NULL
           || er_set (err, ER_INVALID,
                      "desc.memory is NULL; PF_MEMORY needs a pf_memory");
  return desc->base != NULL
         || er_set (err, ER_INVALID,
                    "desc.base is NULL; PF_HTTP needs an event_base");
}

/* Makes a platform client.  Returns NULL and sets ERR when DESC is
   invalid.  */
pf_platform *
pf_make (const pf_desc *desc, er_error *err)
{
  pf_platform *p;
  if (!_pf_validate_desc (desc, err))
    return NULL;
  p = g_new0 (pf_platform, 1);
  p->desc = *desc;
  if (p->desc.timeout_ms == 0)
    p->desc.timeout_ms = 2000;
  if (p->desc.watch_ms == 0)
    p->desc.watch_ms = 20000;
  if (p->desc.retry_ms == 0)
    p->desc.retry_ms = 200;
  if (p->desc.connections == 0)
    p->desc.connections = 4;
  if (p->desc.queue_max == 0)
    p->desc.queue_max = 4096;
  p->watches = g_ptr_array_new ();
  p->rand = g_rand_new_with_seed ((guint32)desc->seed);
  if (desc->driver == PF_MEMORY)
    {
      _pf_memory_add_platform (desc->memory, p);
      return p;
    }
  p->http = _pf_http_make (p, err);
  if (p->http == NULL)
    {
      pf_destroy (p);
      return NULL;
    }
  return p;
}

/* Frees the client.  Calls in progress are dropped without calling their
   callbacks.  Not to be called from a callback.  */
void
pf_destroy (pf_platform *p)
{
  if (p == NULL)
    return;
  if (p->http != NULL)
    _pf_http_destroy (p->http);
  if (p->desc.driver == PF_MEMORY)
    _pf_memory_remove_platform (p->desc.memory, p);
  for (guint i = 0; i < p->watches->len; i++)
    _pf_watch_free (p->watches->pdata[i]);
  g_ptr_array_free (p->watches, TRUE);
  g_rand_free (p->rand);
  g_free (p);
}

/* Reads KEY: the reply has its value and revision.  */
void
pf_get (pf_platform *p, st_str key, pf_done done, void *user)
{
  _pf_submit (_pf_op_make (p, PF_GET, key, done, user));
}

/* Writes KEY if its revision is PREV_REV (0: it must not exist;
   PF_ANY_REVISION: in any case).  The reply has the new revision.  */
void
pf_put (pf_platform *p, st_str key, st_str value, uint64_t prev_rev,
        pf_done done, void *user)
{
  _pf_op *op = _pf_op_make (p, PF_PUT, key, done, user);
  op->value = g_bytes_new (value.ptr, value.len);
  op->revision = prev_rev;
  _pf_submit (op);
}

/* Deletes KEY if its revision is PREV_REV, as in pf_put.  */
void
pf_delete (pf_platform *p, st_str key, uint64_t prev_rev, pf_done done,
           void *user)
{
  _pf_op *op = _pf_op_make (p, PF_DELETE, key, done, user);
  op->revision = prev_rev;
  _pf_submit (op);
}

/* Lists the keys that start with PREFIX, with their revisions.  */
void
pf_list (pf_platform *p, st_str prefix, pf_done done, void *user)
{
  _pf_submit (_pf_op_make (p, PF_LIST, prefix, done, user));
}

/* Watches the keys that start with PREFIX for changes after revision AFTER,
   until pf_unwatch.  DONE is called for each batch of changes (PF_OK with
   events), when the store becomes unavailable, and when it replies again
   (PF_OK, perhaps without events).  No change is missed across an outage;
   changes of one key may be merged.  */
uint64_t
pf_watch (pf_platform *p, st_str prefix, uint64_t after, pf_done done,
          void *user)
{
  _pf_watch *w = g_new0 (_pf_watch, 1);
  w->p = p;
  w->id = ++p->next_watch;
  w->prefix = g_strndup (prefix.ptr, prefix.len);
  w->after = after;
  w->done = done;
  w->user = user;
  if (p->desc.base != NULL)
    w->timer = evtimer_new (p->desc.base, _pf_watch_on_timer, w);
  g_ptr_array_add (p->watches, w);
  _pf_watch_arm (w);
  return w->id;
}

/* Stops the watch that pf_watch returned.  May be called from its
   callback.  */
void
pf_unwatch (pf_platform *p, uint64_t watch)
{
  for (guint i = 0; i < p->watches->len; i++)
    {
      _pf_watch *w = p->watches->pdata[i];
      if (w->id != watch)
        continue;
      g_ptr_array_remove_index (p->watches, i);
      w->stopped = true;
      if (w->op != NULL && p->desc.driver == PF_HTTP)
        _pf_http_cancel (p->http, w->op);
      else if (w->op != NULL)
        _pf_memory_cancel (p->desc.memory, w->op);
      w->op = NULL;
      if (!w->in_callback)
        _pf_watch_free (w);
      return;
    }
}

static void
_pf_lease (pf_platform *p, pf_call call, st_str key, st_str holder,
           uint64_t revision, uint32_t ttl_ms, pf_done done, void *user)
{
  _pf_op *op = _pf_op_make (p, call, key, done, user);
  op->holder = g_strndup (holder.ptr, holder.len);
  op->revision = revision;
  op->ttl_ms = ttl_ms;
  _pf_submit (op);
}

/* Acquires the lease KEY for HOLDER.  The reply's revision is the fencing
   number: it is higher than that of every earlier holder.  A holder that
   acquires its live lease again keeps the number.  PF_CONFLICT when another
   holder has it.  */
void
pf_lease_acquire (pf_platform *p, st_str key, st_str holder, uint32_t ttl_ms,
                  pf_done done, void *user)
{
  _pf_lease (p, PF_LEASE_ACQUIRE, key, holder, 0, ttl_ms, done, user);
}

/* Extends the lease that was acquired with REVISION.  PF_CONFLICT when it
   has lapsed.  */
void
pf_lease_renew (pf_platform *p, st_str key, st_str holder, uint64_t revision,
                uint32_t ttl_ms, pf_done done, void *user)
{
  _pf_lease (p, PF_LEASE_RENEW, key, holder, revision, ttl_ms, done, user);
}

/* Releases the lease that was acquired with REVISION.  PF_CONFLICT when it
   has lapsed.  */
void
pf_lease_release (pf_platform *p, st_str key, st_str holder, uint64_t revision,
                  pf_done done, void *user)
{
  _pf_lease (p, PF_LEASE_RELEASE, key, holder, revision, 0, done, user);
}

/* Fetches the VM list.  Malformed entries are skipped and counted.  */
void
pf_vm_list (pf_platform *p, pf_done done, void *user)
{
  _pf_submit (_pf_op_make (p, PF_VM_LIST, (st_str){ "", 0 }, done, user));
}

/* Fetches the weights of VERSION of MODEL.  PF_UNAVAILABLE with
   retry_after_ms when the weight store's rate limit is reached.  */
void
pf_weights (pf_platform *p, st_str model, st_str version, pf_done done,
            void *user)
{
  _pf_op *op = _pf_op_make (p, PF_WEIGHTS, model, done, user);
  op->holder = g_strndup (version.ptr, version.len);
  _pf_submit (op);
}

/* Calls made so far, by kind; each arming of a watch counts as one.  */
void
pf_query_counts (const pf_platform *p, uint64_t counts[PF_CALLS])
{
  memcpy (counts, p->counts, sizeof p->counts);
}
