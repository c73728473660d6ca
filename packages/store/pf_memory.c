/* Memory driver: an in-process fake with a manual clock.  */
#include "pf_driver.h"

#include <string.h>

typedef struct
{
  GBytes *value; /* NULL after a delete */
  uint64_t revision;
} _pf_entry;

typedef struct
{
  char *holder;
  uint64_t revision;
  uint64_t expires_us;
} _pf_lease_entry;

typedef struct
{
  uint64_t time_us;
  pf_vm *vms;
  uint32_t count;
} _pf_vm_snapshot;

typedef struct
{
  _pf_op *op;
  uint64_t due_us;
  pf_result result;
  uint64_t revision;
  GBytes *value;
  const char *message;
} _pf_pending_reply;

struct pf_memory
{
  ck_clock clock;
  pf_faults faults;
  uint64_t revision;
  GHashTable *entries;
  GHashTable *leases;
  GPtrArray *platforms; /* pf_platform */
  GPtrArray *replies;   /* _pf_pending_reply, in call order */
  GPtrArray *waiting;   /* _pf_op, watches */
  GArray *vms;          /* _pf_vm_snapshot, oldest first */
};

static void
_pf_entry_free (gpointer ptr)
{
  _pf_entry *e = ptr;
  if (e->value != NULL)
    g_bytes_unref (e->value);
  g_free (e);
}

static void
_pf_lease_free (gpointer ptr)
{
  _pf_lease_entry *l = ptr;
  g_free (l->holder);
  g_free (l);
}

static void
_pf_pending_reply_free (_pf_pending_reply *r)
{
  if (r->value != NULL)
    g_bytes_unref (r->value);
  g_free (r);
}

/* Makes an empty platform whose clock starts at 1 s.  */
pf_memory *
pf_memory_make (void)
{
  pf_memory *m = g_new0 (pf_memory, 1);
  m->clock = (ck_clock){ CK_MANUAL, CK_S_US };
  m->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      _pf_entry_free);
  m->leases = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                     _pf_lease_free);
  m->platforms = g_ptr_array_new ();
  m->replies = g_ptr_array_new ();
  m->waiting = g_ptr_array_new ();
  m->vms = g_array_new (FALSE, FALSE, sizeof (_pf_vm_snapshot));
  return m;
}

/* Frees M, after the platforms that use it.  */
void
pf_memory_destroy (pf_memory *m)
{
  g_hash_table_destroy (m->entries);
  g_hash_table_destroy (m->leases);
  g_ptr_array_free (m->platforms, TRUE);
  g_ptr_array_free (m->replies, TRUE);
  g_ptr_array_free (m->waiting, TRUE);
  for (guint i = 0; i < m->vms->len; i++)
    g_free (g_array_index (m->vms, _pf_vm_snapshot, i).vms);
  g_array_free (m->vms, TRUE);
  g_free (m);
}

/* The clock, to be advanced with ck_advance_us.  */
ck_clock *
pf_memory_clock (pf_memory *m)
{
  return &m->clock;
}

/* The fault switches, to be written to.  */
pf_faults *
pf_memory_faults (pf_memory *m)
{
  return &m->faults;
}

uint64_t
_pf_memory_now_us (const pf_memory *m)
{
  return ck_now_us (&m->clock);
}

/* Makes the lease KEY lapse now.  */
void
pf_memory_lapse_lease (pf_memory *m, st_str key)
{
  char *name = g_strndup (key.ptr, key.len);
  g_hash_table_remove (m->leases, name);
  g_free (name);
}

/* Replaces the VM list.  The strings of VMS must outlive M.  */
void
pf_memory_set_vms (pf_memory *m, const pf_vm *vms, uint32_t count)
{
  _pf_vm_snapshot list
      = { ck_now_us (&m->clock), g_new0 (pf_vm, count + 1), count };
  if (count > 0)
    memcpy (list.vms, vms, count * sizeof *vms);
  g_array_append_val (m->vms, list);
}

void
_pf_memory_add_platform (pf_memory *m, pf_platform *p)
{
  g_ptr_array_add (m->platforms, p);
}

void
_pf_memory_remove_platform (pf_memory *m, pf_platform *p)
{
  for (guint i = m->replies->len; i-- > 0;)
    {
      _pf_pending_reply *r = m->replies->pdata[i];
      if (r->op->p != p)
        continue;
      g_ptr_array_remove_index (m->replies, i);
      _pf_op_free (r->op);
      _pf_pending_reply_free (r);
    }
  for (guint i = m->waiting->len; i-- > 0;)
    {
      _pf_op *op = m->waiting->pdata[i];
      if (op->p != p)
        continue;
      g_ptr_array_remove_index (m->waiting, i);
      _pf_op_free (op);
    }
  g_ptr_array_remove (m->platforms, p);
}

void
_pf_memory_cancel (pf_memory *m, _pf_op *op)
{
  for (guint i = m->replies->len; i-- > 0;)
    {
      _pf_pending_reply *r = m->replies->pdata[i];
      if (r->op == op)
        {
          g_ptr_array_remove_index (m->replies, i);
          _pf_pending_reply_free (r);
        }
    }
  g_ptr_array_remove (m->waiting, op);
  _pf_op_free (op);
}

/* ---- effects ---- */

static uint64_t
_pf_memory_set_entry (pf_memory *m, const char *key, GBytes *value)
{
  _pf_entry *e = g_new0 (_pf_entry, 1);
  e->revision = ++m->revision;
  e->value = value != NULL ? g_bytes_ref (value) : NULL;
  g_hash_table_replace (m->entries, g_strdup (key), e);
  return e->revision;
}

static void
_pf_memory_write (pf_memory *m, _pf_op *op, _pf_pending_reply *r)
{
  const _pf_entry *e = g_hash_table_lookup (m->entries, op->key);
  uint64_t current = e != NULL && e->value != NULL ? e->revision : 0;
  if (op->call == PF_PUT && g_bytes_get_size (op->value) > PF_VALUE_MAX)
    {
      r->result = PF_REFUSED;
      r->message = "the value is too large; a value may be up to 1 MiB";
      return;
    }
  if (op->call == PF_DELETE && current == 0)
    {
      r->result = PF_NOT_FOUND;
      return;
    }
  r->revision = current;
  if (op->revision != PF_ANY_REVISION && op->revision != current)
    {
      r->result = PF_CONFLICT;
      return;
    }
  r->revision = _pf_memory_set_entry (
      m, op->key, op->call == PF_DELETE ? NULL : op->value);
}

static void
_pf_memory_lease (pf_memory *m, const _pf_op *op, _pf_pending_reply *r)
{
  uint64_t now_us = ck_now_us (&m->clock);
  _pf_lease_entry *l = g_hash_table_lookup (m->leases, op->key);
  bool live = l != NULL && l->expires_us > now_us;
  bool holds_lease
      = live && strcmp (l->holder, op->holder) == 0
        && (op->call == PF_LEASE_ACQUIRE || op->revision == l->revision);
  if (op->call == PF_LEASE_ACQUIRE ? live && !holds_lease : !holds_lease)
    {
      r->result = PF_CONFLICT;
      return;
    }
  if (op->call == PF_LEASE_RELEASE)
    {
      r->revision = l->revision;
      g_hash_table_remove (m->leases, op->key);
      return;
    }
  if (!holds_lease)
    {
      l = g_new0 (_pf_lease_entry, 1);
      l->holder = g_strdup (op->holder);
      l->revision = ++m->revision;
      g_hash_table_replace (m->leases, g_strdup (op->key), l);
    }
  l->expires_us = now_us + op->ttl_ms * CK_MS_US;
  r->revision = l->revision;
}

static void
_pf_memory_get (pf_memory *m, const _pf_op *op, _pf_pending_reply *r)
{
  const _pf_entry *e = g_hash_table_lookup (m->entries, op->key);
  if (e == NULL || e->value == NULL)
    {
      r->result = PF_NOT_FOUND;
      return;
    }
  r->revision = e->revision;
  r->value = g_bytes_ref (e->value);
}

static bool
_pf_memory_is_store_call (pf_call call)
{
  return call != PF_VM_LIST && call != PF_WEIGHTS;
}

/* Executes OP now; its reply is due later.  */
void
_pf_memory_submit (pf_memory *m, _pf_op *op)
{
  _pf_pending_reply *r;
  if (op->call == PF_WATCH && !m->faults.outage)
    {
      g_ptr_array_add (m->waiting, op);
      return;
    }
  r = g_new0 (_pf_pending_reply, 1);
  r->op = op;
  r->due_us = ck_now_us (&m->clock) + m->faults.delay_us;
  if (_pf_memory_is_store_call (op->call) && m->faults.outage)
    {
      r->result = PF_UNAVAILABLE;
      r->message = "the store is down";
    }
  else if (_pf_memory_is_store_call (op->call) && m->faults.unresponsive)
    {
      r->due_us += op->p->desc.timeout_ms * CK_MS_US;
      r->result = PF_UNKNOWN;
      r->message = "the platform did not reply within the time-out";
    }
  else if (op->call == PF_GET)
    _pf_memory_get (m, op, r);
  else if (op->call == PF_PUT || op->call == PF_DELETE)
    _pf_memory_write (m, op, r);
  else if (_pf_is_write (op->call))
    _pf_memory_lease (m, op, r);
  if (r->result == PF_OK && _pf_is_write (op->call)
      && m->faults.lose_answer > 0)
    {
      m->faults.lose_answer--;
      r->due_us += op->p->desc.timeout_ms * CK_MS_US;
      r->result = PF_UNKNOWN;
      r->revision = 0;
      r->message = "the connection to the platform was lost";
    }
  g_ptr_array_add (m->replies, r);
}

/* ---- replies ---- */

static GArray *
_pf_memory_events (pf_memory *m, const char *prefix, uint64_t after,
                   bool deleted)
{
  GArray *events = g_array_new (FALSE, FALSE, sizeof (pf_event));
  GHashTableIter it;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&it, m->entries);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const _pf_entry *e = value;
      pf_event event = { st_from_cstr (key), e->revision, e->value == NULL };
      if (e->revision > after && g_str_has_prefix (key, prefix)
          && (deleted || e->value != NULL))
        g_array_append_val (events, event);
    }
  return events;
}

static void
_pf_memory_deliver_events (pf_memory *m, _pf_op *op)
{
  GArray *events
      = _pf_memory_events (m, op->key, op->call == PF_WATCH ? op->revision : 0,
                           op->call == PF_WATCH);
  pf_reply reply = { .result = PF_OK,
                     .revision = m->revision,
                     .events = (const pf_event *)(void *)events->data,
                     .event_count = events->len };
  _pf_finish (op, &reply);
  g_array_free (events, TRUE);
}

static void
_pf_memory_deliver (pf_memory *m, _pf_pending_reply *r)
{
  pf_reply reply = { .result = r->result,
                     .revision = r->revision,
                     .message = r->message };
  gsize len;
  uint64_t visible_us = ck_now_us (&m->clock) - m->faults.list_lag_us;
  if (r->result == PF_OK && r->op->call == PF_LIST)
    {
      _pf_memory_deliver_events (m, r->op);
      return;
    }
  if (r->value != NULL)
    {
      reply.value.ptr = g_bytes_get_data (r->value, &len);
      reply.value.len = len;
    }
  if (r->op->call == PF_VM_LIST)
    for (guint i = 0; i < m->vms->len; i++)
      {
        const _pf_vm_snapshot *list
            = &g_array_index (m->vms, _pf_vm_snapshot, i);
        if (list->time_us > visible_us)
          break;
        reply.vms = list->vms;
        reply.vm_count = list->count;
        reply.revision = i + 1;
      }
  _pf_finish (r->op, &reply);
}

/* A waiting watch call that can end now; NULL when there is none.  */
static _pf_op *
_pf_memory_ready_watch (pf_memory *m)
{
  for (guint i = 0; i < m->waiting->len; i++)
    {
      _pf_op *op = m->waiting->pdata[i];
      GArray *events;
      bool has_events;
      if (m->faults.outage)
        return op;
      if (m->faults.unresponsive)
        continue;
      /* A watch that failed before reports its recovery at once.  */
      if (op->watch->failures > 0)
        return op;
      events = _pf_memory_events (m, op->key, op->revision, true);
      has_events = events->len > 0;
      g_array_free (events, TRUE);
      if (has_events)
        return op;
    }
  return NULL;
}

static bool
_pf_memory_arm_due_watch (pf_memory *m)
{
  uint64_t now_us = ck_now_us (&m->clock);
  for (guint i = 0; i < m->platforms->len; i++)
    {
      pf_platform *p = m->platforms->pdata[i];
      for (guint n = 0; n < p->watches->len; n++)
        {
          _pf_watch *w = p->watches->pdata[n];
          if (w->retry_due_us == 0 || w->retry_due_us > now_us)
            continue;
          _pf_watch_arm (w);
          return true;
        }
    }
  return false;
}

static bool
_pf_memory_step (pf_memory *m)
{
  uint64_t now_us = ck_now_us (&m->clock);
  _pf_op *watch;
  for (guint i = 0; i < m->replies->len; i++)
    {
      _pf_pending_reply *r = m->replies->pdata[i];
      if (r->due_us > now_us)
        continue;
      g_ptr_array_remove_index (m->replies, i);
      _pf_memory_deliver (m, r);
      _pf_pending_reply_free (r);
      return true;
    }
  if (_pf_memory_arm_due_watch (m))
    return true;
  watch = _pf_memory_ready_watch (m);
  if (watch == NULL)
    return false;
  g_ptr_array_remove (m->waiting, watch);
  if (m->faults.outage)
    _pf_fail (watch, PF_UNAVAILABLE, "the store is down");
  else
    _pf_memory_deliver_events (m, watch);
  return true;
}

/* Delivers the replies that are due, including those of calls made by the
   callbacks, and arms due watches.  Returns the number of steps.  */
uint32_t
pf_memory_run (pf_memory *m)
{
  uint32_t count = 0;
  while (_pf_memory_step (m))
    count++;
  return count;
}
