#include "se.h"

#include "lg.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#define _SE_OPERATIONS_MAX 32
/* Most refs in one SETTINGS_GET.  */
#define _SE_GET_MAX 64
/* Values that no entry names are removed when there are more than this many.
 */
#define _SE_UNUSED_VALUES_MAX 128

typedef struct
{
  st_name name;
  st_name data_center;
  char incarnation[MS_INCARNATION_MAX + 1];
  uint64_t version; /* of the settings, last received */
  bool leaving;
} _se_peer;

/* A change in progress.  */
typedef struct
{
  se_task *se;
  sp_change *sp;
  uint64_t ticket;
  st_name id;
  st_name who;
  uint64_t begin_ms;
  uint64_t base_version;
  size_t count;
  sx_edit *edits; /* owned copies */
  size_t subtree_count;
  st_name subtrees[SP_CHANGE_SUBTREES_MAX];
  GBytes *values[SP_CHANGE_SUBTREES_MAX];
  er_error invalid;
} _se_change;

/* Outcome of a change, for the list of operations.  */
typedef struct
{
  st_name id;
  st_name who;
  st_name subtree;
  uint64_t time_ms;
  uint64_t version;
  sp_outcome outcome;
  char reason[160];
} _se_operation;

typedef enum
{
  _SE_READ_HEAD,
  _SE_READ_VALUE,
  _SE_READ_HISTORY,
  _SE_CHANGE_READ_HEAD,
  _SE_CHANGE_READ_VALUE,
  _SE_CHANGE_WRITE_VALUE,
  _SE_CHANGE_SWAP_HEAD
} _se_call_kind;

/* A call to the store without a reply yet.  */
typedef struct
{
  se_task *se;
  _se_call_kind kind;
  uint64_t sequence; /* READ_HEAD */
  uint64_t ticket;   /* READ_HISTORY */
  size_t index;      /* CHANGE_READ_VALUE */
  sp_hash hash;      /* READ_VALUE, CHANGE_READ_VALUE */
  st_name change;    /* id of the change */
} _se_call;

struct se_task
{
  se_desc desc;
  st_name name;
  st_name data_center;
  uint64_t now_us;
  uint64_t wall_ms;
  sp_vm *sp;
  sx_tree *tree;
  uint64_t version;
  GHashTable *values; /* hash -> GBytes */
  GArray *peers;      /* _se_peer */
  GHashTable *calls;  /* set of _se_call */
  GPtrArray *changes; /* _se_change */
  GArray *operations; /* _se_operation, oldest first */
  uint64_t watch;     /* of the platform; 0: none */
  uint64_t watch_sequence;
  sp_entry *entries; /* SP_ENTRIES_DEFAULT, for heads being read */
  sp_record *records;
  bool pumping;
};

static void _se_pump (se_task *se);
static void _se_pump_change (_se_change *c);

/* --- values ----------------------------------------------------------- */

static void
_se_store_value (se_task *se, const sp_hash *hash, st_str bytes)
{
  g_hash_table_replace (se->values, g_strdup (hash->text),
                        g_bytes_new (bytes.ptr, bytes.len));
}

/* Finds the value with HASH; false when this VM does not have it.  */
static bool
_se_find_value (const se_task *se, const sp_hash *hash, st_str *out)
{
  GBytes *bytes = g_hash_table_lookup (se->values, hash->text);
  if (bytes == NULL)
    return false;
  out->ptr = g_bytes_get_data (bytes, &out->len);
  return true;
}

/* Stores BYTES when their hash is HASH.  */
static bool
_se_accept_value (se_task *se, const sp_hash *hash, st_str bytes)
{
  sp_hash actual;
  sx_hash (bytes, actual.text);
  if (strcmp (actual.text, hash->text) != 0)
    {
      lg_log (LG_WARNING, "",
              "received settings value %s with the hash %s; ignored",
              hash->text, actual.text);
      return false;
    }
  _se_store_value (se, hash, bytes);
  return true;
}

/* Removes the values that none of the COUNT applied ENTRIES names, when there
   are too many.  */
static void
_se_prune_values (se_task *se, const sp_entry *entries, size_t count)
{
  if (g_hash_table_size (se->values) <= count + _SE_UNUSED_VALUES_MAX)
    return;
  GHashTable *used = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_bytes_unref);
  for (size_t i = 0; i < count; i++)
    {
      GBytes *bytes = g_hash_table_lookup (se->values, entries[i].hash.text);
      if (bytes != NULL)
        g_hash_table_replace (used, g_strdup (entries[i].hash.text),
                              g_bytes_ref (bytes));
    }
  g_hash_table_unref (se->values);
  se->values = used;
}

/* --- peers ------------------------------------------------------------ */

static _se_peer *
_se_find_peer (const se_task *se, st_str incarnation)
{
  for (guint i = 0; i < se->peers->len; i++)
    {
      _se_peer *p = &g_array_index (se->peers, _se_peer, i);
      if (st_equal_cstr (incarnation, p->incarnation))
        return p;
    }
  return NULL;
}

/* Incarnation of the VM NAME; empty when it is not live.  */
static st_str
_se_incarnation_of (const se_task *se, const st_name *name)
{
  for (guint i = 0; i < se->peers->len; i++)
    {
      const _se_peer *p = &g_array_index (se->peers, _se_peer, i);
      if (st_equal (st_name_str (&p->name), st_name_str (name)))
        return st_from_cstr (p->incarnation);
    }
  return (st_str){ "", 0 };
}

static bool
_se_send (se_task *se, const st_name *peer, const ms_message *m)
{
  st_str incarnation = _se_incarnation_of (se, peer);
  return incarnation.len > 0 && se->desc.send (se->desc.user, incarnation, m);
}

/* Sets the live VMs, this one included.  */
void
se_set_members (se_task *se, const se_member *members, size_t count)
{
  GArray *peers = g_array_new (FALSE, TRUE, sizeof (_se_peer));
  bool same = count == se->peers->len;
  for (size_t i = 0; i < count; i++)
    {
      const se_member *m = &members[i];
      _se_peer p = { .leaving = m->leaving };
      if (m->incarnation.len > MS_INCARNATION_MAX
          || !st_name_set (&p.name, m->name)
          || !st_name_set (&p.data_center, m->data_center))
        continue;
      memcpy (p.incarnation, m->incarnation.ptr, m->incarnation.len);
      const _se_peer *old = _se_find_peer (se, m->incarnation);
      p.version = old != NULL ? old->version : 0;
      same = same && old != NULL && old->leaving == p.leaving;
      g_array_append_val (peers, p);
    }
  g_array_unref (se->peers);
  se->peers = peers;
  if (same)
    return;
  st_name *local_members = g_new0 (st_name, peers->len + 1);
  size_t n = 0;
  for (guint i = 0; i < peers->len; i++)
    {
      const _se_peer *p = &g_array_index (peers, _se_peer, i);
      bool self = st_equal (st_name_str (&p->name), st_name_str (&se->name));
      /* A leaving VM may exit before its replacement is known.  */
      if (st_equal (st_name_str (&p->data_center),
                    st_name_str (&se->data_center))
          && (self || !p->leaving))
        local_members[n++] = p->name;
    }
  sp_vm_set_members (se->sp, se->now_us, local_members, n);
  g_free (local_members);
  _se_pump (se);
}

/* The process INCARNATION has the settings VERSION in force.  */
void
se_on_version (se_task *se, st_str incarnation, uint64_t version)
{
  _se_peer *peer = _se_find_peer (se, incarnation);
  if (peer == NULL
      || st_equal (st_name_str (&peer->name), st_name_str (&se->name)))
    return;
  peer->version = version;
  sp_vm_on_hint (se->sp, se->now_us, &peer->name, version);
  _se_pump (se);
}

/* --- messages --------------------------------------------------------- */

/* Sends PEER the entries that changed after SINCE.  */
static void
_se_send_head (se_task *se, const st_name *peer, uint64_t since,
               uint64_t correlation)
{
  sp_entry *entries = g_new (sp_entry, SP_ENTRIES_DEFAULT);
  size_t n = sp_vm_list_entries (se->sp, since, entries, SP_ENTRIES_DEFAULT);
  ms_settings_ref *refs = g_new0 (ms_settings_ref, n + 1);
  for (size_t i = 0; i < n; i++)
    refs[i] = (ms_settings_ref){ st_name_str (&entries[i].subtree),
                                 st_from_cstr (entries[i].hash.text),
                                 entries[i].changed };
  ms_message m = { .type = MS_SETTINGS_HEAD,
                   .correlation = correlation,
                   .u.settings_head = { se->version, n, refs, since } };
  _se_send (se, peer, &m);
  g_free (refs);
  g_free (entries);
}

static bool
_se_read_hash (st_str text, sp_hash *out)
{
  memset (out, 0, sizeof *out);
  if (text.len != SP_HASH_LEN)
    return false;
  for (size_t i = 0; i < text.len; i++)
    if (!g_ascii_isxdigit (text.ptr[i]))
      return false;
  memcpy (out->text, text.ptr, text.len);
  return true;
}

static void
_se_on_head (se_task *se, const _se_peer *peer, const ms_settings_head *m)
{
  sp_head head = { .version = m->version,
                   .entry_count = m->count,
                   .entries = se->entries };
  sp_source source = { SP_FROM_PEER, peer->name };
  if (m->count > SP_ENTRIES_DEFAULT)
    return;
  for (size_t i = 0; i < m->count; i++)
    {
      sp_entry *e = &se->entries[i];
      e->changed = m->refs[i].changed;
      if (!st_name_set (&e->subtree, m->refs[i].subtree)
          || !_se_read_hash (m->refs[i].hash, &e->hash))
        {
          lg_log (LG_WARNING, "",
                  "settings head from %s is malformed; "
                  "ignored",
                  peer->name.text);
          return;
        }
    }
  sp_vm_on_head (se->sp, se->now_us, &source, &head, m->since);
}

static void
_se_on_get (se_task *se, const _se_peer *peer, const ms_settings_get *m,
            uint64_t correlation)
{
  if (m->count == 0)
    {
      _se_send_head (se, &peer->name, m->since, correlation);
      return;
    }
  for (size_t i = 0; i < m->count; i++)
    {
      sp_hash hash;
      ms_message reply
          = { .type = MS_SETTINGS_VALUE,
              .correlation = correlation,
              .u.settings_value = { m->refs[i].hash, { "", 0 } } };
      if (_se_read_hash (m->refs[i].hash, &hash))
        _se_find_value (se, &hash, &reply.u.settings_value.bytes);
      _se_send (se, &peer->name, &reply);
    }
}

static void
_se_on_value (se_task *se, const _se_peer *peer, const ms_settings_value *m)
{
  sp_hash hash;
  sp_source source = { SP_FROM_PEER, peer->name };
  if (!_se_read_hash (m->hash, &hash))
    return;
  if (m->bytes.len > 0 && _se_accept_value (se, &hash, m->bytes))
    sp_vm_on_value (se->sp, se->now_us, &hash);
  else
    sp_vm_on_no_value (se->sp, se->now_us, &source, &hash);
}

/* Handles SETTINGS_HEAD, SETTINGS_GET and SETTINGS_VALUE from the process
   SENDER.  */
void
se_on_message (se_task *se, st_str sender, const ms_message *m)
{
  _se_peer *found = _se_find_peer (se, sender);
  if (found == NULL)
    return;
  _se_peer peer = *found;
  switch (m->type)
    {
    case MS_SETTINGS_HEAD:
      if (m->u.settings_head.version > found->version)
        found->version = m->u.settings_head.version;
      _se_on_head (se, &peer, &m->u.settings_head);
      break;
    case MS_SETTINGS_GET:
      _se_on_get (se, &peer, &m->u.settings_get, m->correlation);
      break;
    case MS_SETTINGS_VALUE:
      _se_on_value (se, &peer, &m->u.settings_value);
      break;
    default:
      return;
    }
  _se_pump (se);
}

/* --- store ------------------------------------------------------------ */

static _se_call *
_se_make_call (se_task *se, _se_call_kind kind)
{
  _se_call *call = g_new0 (_se_call, 1);
  call->se = se;
  call->kind = kind;
  g_hash_table_add (se->calls, call);
  return call;
}

static _se_change *
_se_find_change (const se_task *se, const st_name *id)
{
  for (guint i = 0; i < se->changes->len; i++)
    {
      _se_change *c = se->changes->pdata[i];
      if (st_equal (st_name_str (&c->id), st_name_str (id)))
        return c;
    }
  return NULL;
}

static sp_result
_se_result_of (pf_result result)
{
  switch (result)
    {
    case PF_OK:
      return SP_OK;
    case PF_CONFLICT:
      return SP_CONFLICT;
    case PF_NOT_FOUND:
      return SP_NOT_FOUND;
    case PF_UNKNOWN:
      return SP_LOST;
    case PF_UNAVAILABLE:
    case PF_REFUSED:
      break;
    }
  return SP_UNAVAILABLE;
}

/* Decodes the head in REPLY.  */
static sp_result
_se_decode_head_reply (se_task *se, const pf_reply *reply, sp_head *out)
{
  memset (out, 0, sizeof *out);
  if (reply->result != PF_OK)
    return _se_result_of (reply->result);
  if (!se_decode_head (reply->value, se->entries, SP_ENTRIES_DEFAULT,
                       se->records, out))
    {
      lg_log (
          LG_ERROR, "",
          "the value of " SE_HEAD_KEY " is malformed or of a newer format; "
          "settings stay at version %" G_GUINT64_FORMAT "; restore the key",
          se->version);
      return SP_UNAVAILABLE;
    }
  out->revision = reply->revision;
  return SP_OK;
}

static json_t *
_se_record_json (const sp_record *r)
{
  GDateTime *t = g_date_time_new_from_unix_utc (
      (gint64)(r->time_ms / 1000 % 253402300000));
  char *time = g_date_time_format (t, "%Y-%m-%dT%H:%M:%SZ");
  json_t *out = json_pack (
      "{s:I,s:s,s:s,s:s,s:s,s:s,s:s}", "version", (json_int_t)r->version,
      "time", time, "id", r->id.text, "who", r->who.text, "subtree",
      r->subtree.text, "before", r->before.text, "after", r->after.text);
  g_free (time);
  g_date_time_unref (t);
  return out;
}

/* The records of HEAD with a version above BASE.  */
static json_t *
_se_records_json (const sp_head *head, uint64_t base)
{
  json_t *out = json_array ();
  for (size_t i = 0; i < head->record_count; i++)
    if (head->records[i].version > base)
      {
        json_t *one = _se_record_json (&head->records[i]);
        if (one != NULL)
          json_array_append_new (out, one);
      }
  return out;
}

static void
_se_finish_history (se_task *se, uint64_t ticket, sp_result result,
                    const sp_head *head)
{
  er_error err = { 0 };
  if (result != SP_OK && result != SP_NOT_FOUND)
    {
      er_set (&err, ER_UNAVAILABLE,
              "the configuration store cannot be read; "
              "try again in a few seconds");
      se->desc.on_history (se->desc.user, ticket, NULL, &err);
      return;
    }
  json_t *list = _se_records_json (head, 0);
  se->desc.on_history (se->desc.user, ticket, list, NULL);
  json_decref (list);
}

static void _se_prepare (_se_change *c, size_t index, st_str before);

static void
_se_on_change_reply (se_task *se, const _se_call *call, const pf_reply *reply)
{
  _se_change *c = _se_find_change (se, &call->change);
  sp_result result = _se_result_of (reply->result);
  sp_head head;
  if (c == NULL)
    return;
  switch (call->kind)
    {
    case _SE_CHANGE_READ_HEAD:
      result = _se_decode_head_reply (se, reply, &head);
      sp_change_on_head (c->sp, se->now_us, result, &head);
      break;
    case _SE_CHANGE_READ_VALUE:
      if (result == SP_OK && _se_accept_value (se, &call->hash, reply->value))
        _se_prepare (c, call->index, reply->value);
      else
        sp_change_on_prepared (c->sp, se->now_us, call->index, SP_UNAVAILABLE,
                               NULL);
      break;
    case _SE_CHANGE_WRITE_VALUE:
      sp_change_on_written (c->sp, se->now_us, result);
      break;
    case _SE_CHANGE_SWAP_HEAD:
      sp_change_on_swapped (c->sp, se->now_us, result, reply->revision);
      break;
    case _SE_READ_HEAD:
    case _SE_READ_VALUE:
    case _SE_READ_HISTORY:
      break;
    }
  _se_pump_change (c);
}

static void
_se_on_store (const pf_reply *reply, void *user)
{
  _se_call call = *(_se_call *)user;
  se_task *se = call.se;
  sp_source store = { .kind = SP_FROM_STORE };
  sp_head head;
  sp_result result;
  g_hash_table_remove (se->calls, user);
  switch (call.kind)
    {
    case _SE_READ_HEAD:
      result = _se_decode_head_reply (se, reply, &head);
      if (result == SP_OK || result == SP_NOT_FOUND)
        sp_vm_on_head (se->sp, se->now_us, &store, &head, 0);
      else
        sp_vm_on_head_error (se->sp, se->now_us, call.sequence);
      break;
    case _SE_READ_VALUE:
      if (reply->result == PF_OK
          && _se_accept_value (se, &call.hash, reply->value))
        sp_vm_on_value (se->sp, se->now_us, &call.hash);
      else
        sp_vm_on_no_value (se->sp, se->now_us, &store, &call.hash);
      break;
    case _SE_READ_HISTORY:
      result = _se_decode_head_reply (se, reply, &head);
      _se_finish_history (se, call.ticket, result, &head);
      break;
    case _SE_CHANGE_READ_HEAD:
    case _SE_CHANGE_READ_VALUE:
    case _SE_CHANGE_WRITE_VALUE:
    case _SE_CHANGE_SWAP_HEAD:
      _se_on_change_reply (se, &call, reply);
      break;
    }
  _se_pump (se);
}

static void
_se_get_value (se_task *se, const sp_hash *hash, _se_call *call)
{
  char key[sizeof SE_VALUE_PREFIX + SP_HASH_LEN];
  call->hash = *hash;
  g_snprintf (key, sizeof key, "%s%s", SE_VALUE_PREFIX, hash->text);
  pf_get (se->desc.platform, st_from_cstr (key), _se_on_store, call);
}

static void
_se_stop_watch (se_task *se)
{
  if (se->watch != 0)
    pf_unwatch (se->desc.platform, se->watch);
  se->watch = 0;
}

static void
_se_on_watch (const pf_reply *reply, void *user)
{
  se_task *se = user;
  sp_result result = _se_result_of (reply->result);
  _se_stop_watch (se);
  sp_vm_on_watch (se->sp, se->now_us, se->watch_sequence, result,
                  result == SP_OK && reply->event_count > 0);
  _se_pump (se);
}

/* --- settings in force ------------------------------------------------ */

/* Sets the log level when it differs between BEFORE and AFTER.  */
static void
_se_apply_log_level (const sx_tree *before, const sx_tree *after)
{
  sx_where root = { .tier = SX_NO_TIER };
  const sk_value *old = sx_query (before, &root, SX_LOG_LEVEL);
  const sk_value *new = sx_query (after, &root, SX_LOG_LEVEL);
  if (!sk_equal (old, new))
    lg_set_level (new->text.text);
}

static void
_se_apply (se_task *se, const sp_vm_action *a)
{
  sp_entry *entries = g_new (sp_entry, SP_ENTRIES_DEFAULT);
  size_t n = sp_vm_list_entries (se->sp, 0, entries, SP_ENTRIES_DEFAULT);
  sx_tree *tree = sx_ref (se->tree);
  size_t changed = 0;
  for (size_t i = 0; i < n; i++)
    {
      st_str bytes;
      er_error err = { 0 };
      if (entries[i].changed <= a->since)
        continue;
      sx_tree *next = NULL;
      if (!_se_find_value (se, &entries[i].hash, &bytes))
        er_set (&err, ER_INTERNAL, "this VM does not have the value");
      else
        next = sx_with_subtree (tree, entries[i].subtree.text, bytes, &err);
      if (next == NULL)
        {
          /* The accepting VM checked the value.  One that cannot be read must
             not delay the other subtrees.  */
          lg_log (LG_ERROR, "", "settings %s cannot be applied: %s",
                  entries[i].subtree.text, err.message);
          continue;
        }
      sx_unref (tree);
      tree = next;
      changed++;
    }
  _se_apply_log_level (se->tree, tree);
  sx_unref (se->tree);
  se->tree = tree;
  se->version = a->version;
  lg_log (LG_INFO, "",
          "settings version %" G_GUINT64_FORMAT
          " in force, %zu subtrees changed",
          a->version, changed);
  _se_prune_values (se, entries, n);
  g_free (entries);
  if (se->desc.on_applied != NULL)
    se->desc.on_applied (se->desc.user, a->version);
}

/* Refs for one message to one peer.  */
typedef struct
{
  st_name peer;
  size_t count;
  st_name subtrees[_SE_GET_MAX];
  sp_hash hashes[_SE_GET_MAX];
} _se_batch;

static void
_se_flush (se_task *se, _se_batch *batch)
{
  ms_settings_ref refs[_SE_GET_MAX];
  if (batch->count == 0)
    return;
  for (size_t i = 0; i < batch->count; i++)
    refs[i] = (ms_settings_ref){ st_name_str (&batch->subtrees[i]),
                                 st_from_cstr (batch->hashes[i].text), 0 };
  ms_message m = { .type = MS_SETTINGS_GET,
                   .u.settings_get = { batch->count, refs, 0 } };
  _se_send (se, &batch->peer, &m);
  batch->count = 0;
}

static void
_se_add_to_batch (se_task *se, _se_batch *batch, const sp_vm_action *a)
{
  if (batch->count == _SE_GET_MAX
      || (batch->count > 0
          && !st_equal (st_name_str (&batch->peer), st_name_str (&a->peer))))
    _se_flush (se, batch);
  batch->peer = a->peer;
  batch->subtrees[batch->count] = a->subtree;
  batch->hashes[batch->count++] = a->hash;
}

static void
_se_run_action (se_task *se, const sp_vm_action *a, _se_batch *batch)
{
  st_str bytes;
  _se_call *call;
  /* No fetch for a value that this VM has.  */
  if ((a->kind == SP_VM_FETCH_VALUE || a->kind == SP_VM_READ_VALUE)
      && _se_find_value (se, &a->hash, &bytes))
    {
      sp_vm_on_value (se->sp, se->now_us, &a->hash);
      return;
    }
  switch (a->kind)
    {
    case SP_VM_WATCH:
      _se_stop_watch (se);
      se->watch_sequence = a->sequence;
      se->watch = pf_watch (se->desc.platform, ST_LIT (SE_HEAD_KEY),
                            a->revision, _se_on_watch, se);
      break;
    case SP_VM_READ_HEAD:
      call = _se_make_call (se, _SE_READ_HEAD);
      call->sequence = a->sequence;
      pf_get (se->desc.platform, ST_LIT (SE_HEAD_KEY), _se_on_store, call);
      break;
    case SP_VM_FETCH_HEAD:
      {
        ms_message m = { .type = MS_SETTINGS_GET,
                         .u.settings_get = { 0, NULL, a->version } };
        _se_send (se, &a->peer, &m);
        break;
      }
    case SP_VM_FETCH_VALUE:
      _se_add_to_batch (se, batch, a);
      break;
    case SP_VM_READ_VALUE:
      _se_get_value (se, &a->hash, _se_make_call (se, _SE_READ_VALUE));
      break;
    case SP_VM_PUSH:
      if (a->version == se->version)
        _se_send_head (se, &a->peer, a->since, 0);
      break;
    case SP_VM_APPLY:
      _se_apply (se, a);
      break;
    }
}

/* Carries out the actions that are due.  A message to this process is handled
   within the call that sends it, so the loop must not be entered twice.  */
static void
_se_pump (se_task *se)
{
  _se_batch *batch;
  sp_vm_action a;
  if (se->pumping)
    return;
  se->pumping = true;
  batch = g_new0 (_se_batch, 1);
  for (;;)
    {
      while (sp_vm_next (se->sp, &a))
        _se_run_action (se, &a, batch);
      if (batch->count == 0)
        break;
      _se_flush (se, batch);
    }
  g_free (batch);
  se->pumping = false;
}

/* --- changes ---------------------------------------------------------- */

static void
_se_free_change (gpointer data)
{
  _se_change *c = data;
  for (size_t i = 0; i < c->count; i++)
    {
      g_free ((char *)c->edits[i].path);
      g_free ((char *)c->edits[i].key);
      g_free ((char *)c->edits[i].value);
    }
  g_free (c->edits);
  for (size_t i = 0; i < SP_CHANGE_SUBTREES_MAX; i++)
    if (c->values[i] != NULL)
      g_bytes_unref (c->values[i]);
  sp_destroy_change (c->sp);
  g_free (c);
}

/* Computes the new value of subtree INDEX from BEFORE.  */
static void
_se_prepare (_se_change *c, size_t index, st_str before)
{
  se_task *se = c->se;
  const char *subtree = c->subtrees[index].text;
  sp_hash hash;
  size_t len = 0;
  /* Rules between keys use the other subtrees as in force on this VM.  */
  sx_tree *old = sx_with_subtree (se->tree, subtree, before, &c->invalid);
  sx_tree *new
      = old != NULL ? sx_apply (old, c->edits, c->count, &c->invalid) : NULL;
  sx_unref (old);
  if (new == NULL)
    {
      sp_change_on_invalid (c->sp);
      return;
    }
  char *bytes = sx_print_subtree (new, subtree, &len);
  sx_unref (new);
  if (len > SX_SUBTREE_MAX_BYTES)
    {
      er_set (&c->invalid, ER_TOO_LARGE,
              "%s would have %zu bytes; the limit "
              "is %d, remove levels",
              subtree, len, SX_SUBTREE_MAX_BYTES);
      g_free (bytes);
      sp_change_on_invalid (c->sp);
      return;
    }
  sx_hash ((st_str){ bytes, len }, hash.text);
  if (c->values[index] != NULL)
    g_bytes_unref (c->values[index]);
  c->values[index] = g_bytes_new_take (bytes, len);
  sp_change_on_prepared (c->sp, se->now_us, index, SP_OK, &hash);
}

static void
_se_run_change_action (_se_change *c, const sp_change_action *a)
{
  se_task *se = c->se;
  _se_call *call;
  st_str bytes = { "", 0 };
  switch (a->kind)
    {
    case SP_CHANGE_READ_HEAD:
      call = _se_make_call (se, _SE_CHANGE_READ_HEAD);
      call->change = c->id;
      pf_get (se->desc.platform, ST_LIT (SE_HEAD_KEY), _se_on_store, call);
      break;
    case SP_CHANGE_PREPARE:
      if (a->before.text[0] == 0 || _se_find_value (se, &a->before, &bytes))
        {
          _se_prepare (c, a->index, bytes);
          break;
        }
      call = _se_make_call (se, _SE_CHANGE_READ_VALUE);
      call->change = c->id;
      call->index = a->index;
      _se_get_value (se, &a->before, call);
      break;
    case SP_CHANGE_WRITE_VALUE:
      {
        char key[sizeof SE_VALUE_PREFIX + SP_HASH_LEN];
        g_snprintf (key, sizeof key, "%s%s", SE_VALUE_PREFIX, a->after.text);
        bytes.ptr = g_bytes_get_data (c->values[a->index], &bytes.len);
        call = _se_make_call (se, _SE_CHANGE_WRITE_VALUE);
        call->change = c->id;
        pf_put (se->desc.platform, st_from_cstr (key), bytes, 0, _se_on_store,
                call);
        break;
      }
    case SP_CHANGE_SWAP_HEAD:
      {
        char *head = NULL;
        size_t len = 0;
        call = _se_make_call (se, _SE_CHANGE_SWAP_HEAD);
        call->change = c->id;
        se_encode_head (a->head, &head, &len);
        pf_put (se->desc.platform, ST_LIT (SE_HEAD_KEY), (st_str){ head, len },
                a->revision, _se_on_store, call);
        g_free (head);
        break;
      }
    case SP_CHANGE_FINISHED:
      break;
    }
}

/* Fills ERR for OUTCOME of C.  */
static void
_se_outcome_error (const _se_change *c, sp_outcome outcome, er_error *err)
{
  switch (outcome)
    {
    case SP_PENDING:
    case SP_ACCEPTED:
      break;
    case SP_CONFLICTED:
      er_set (err, ER_CONFLICT,
              "the settings were changed since version %" G_GUINT64_FORMAT
              "; read them again and repeat the change",
              c->base_version);
      break;
    case SP_INVALID:
      if (c->invalid.kind != ER_OK)
        *err = c->invalid;
      else
        er_set (err, ER_TOO_LARGE,
                "the settings have too many teams and "
                "services; remove some");
      break;
    case SP_REFUSED:
      er_set (err, ER_UNAVAILABLE,
              "the configuration store cannot be "
              "reached; nothing was changed, try again later");
      break;
    case SP_UNKNOWN:
      er_set (err, ER_TIMEOUT,
              "the configuration store did not answer; the "
              "change %s may have been accepted, look at the history",
              c->id.text);
      break;
    }
}

static void
_se_record_operation (se_task *se, const _se_change *c, sp_outcome outcome,
                      const er_error *err)
{
  _se_operation operation = { .id = c->id,
                              .who = c->who,
                              .subtree = c->subtrees[0],
                              .time_ms = c->begin_ms,
                              .version = sp_change_query_version (c->sp),
                              .outcome = outcome };
  g_strlcpy (operation.reason, err->message, sizeof operation.reason);
  if (se->operations->len == _SE_OPERATIONS_MAX)
    g_array_remove_index (se->operations, 0);
  g_array_append_val (se->operations, operation);
}

/* Puts an accepted change into force on this VM before its operator receives
   the response.  */
static void
_se_apply_own_change (se_task *se, const _se_change *c)
{
  sp_source self = { .kind = SP_FROM_SELF };
  sp_hash hashes[SP_CHANGE_SUBTREES_MAX];
  for (size_t i = 0; i < c->subtree_count; i++)
    {
      st_str bytes = { "", 0 };
      if (c->values[i] != NULL)
        bytes.ptr = g_bytes_get_data (c->values[i], &bytes.len);
      sx_hash (bytes, hashes[i].text);
      if (bytes.len > 0)
        _se_store_value (se, &hashes[i], bytes);
    }
  sp_vm_on_head (se->sp, se->now_us, &self, sp_change_query_head (c->sp), 0);
  for (size_t i = 0; i < c->subtree_count; i++)
    if (c->values[i] != NULL)
      sp_vm_on_value (se->sp, se->now_us, &hashes[i]);
  _se_pump (se);
}

static void
_se_finish_change (_se_change *c)
{
  se_task *se = c->se;
  sp_outcome outcome = sp_change_query_outcome (c->sp);
  const sp_head *head = sp_change_query_head (c->sp);
  aa_result result = { .version = head->version, .id = c->id.text };
  json_t *changed = NULL;
  _se_outcome_error (c, outcome, &result.err);
  if (outcome == SP_ACCEPTED)
    {
      result.version = sp_change_query_version (c->sp);
      _se_apply_own_change (se, c);
    }
  if (outcome == SP_CONFLICTED)
    changed = _se_records_json (head, c->base_version);
  result.changed = changed;
  lg_log (LG_INFO, "", "change %s by %s of %s: %s%s", c->id.text, c->who.text,
          c->subtrees[0].text,
          outcome == SP_ACCEPTED ? "accepted" : er_kind_name (result.err.kind),
          c->subtree_count > 1 ? " (and others)" : "");
  _se_record_operation (se, c, outcome, &result.err);
  se->desc.on_finished (se->desc.user, c->ticket, &result);
  json_decref (changed);
}

/* Carries out the actions of C that are due; ends it when it has an outcome.
 */
static void
_se_pump_change (_se_change *c)
{
  sp_change_action a;
  while (sp_change_next (c->sp, &a))
    {
      if (a.kind != SP_CHANGE_FINISHED)
        {
          _se_run_change_action (c, &a);
          continue;
        }
      _se_finish_change (c);
      g_ptr_array_remove (c->se->changes, c);
      return;
    }
}

static void
_se_refuse (se_task *se, uint64_t ticket, er_kind kind, const char *message)
{
  aa_result result = { .version = se->version };
  er_set (&result.err, kind, "%s", message);
  se->desc.on_finished (se->desc.user, ticket, &result);
}

/* Collects the subtrees of the edits in CHANGE.  */
static bool
_se_list_subtrees (_se_change *c, const aa_change *change, er_error *err)
{
  for (size_t i = 0; i < change->count; i++)
    {
      sx_path path;
      st_name subtree;
      size_t at = 0;
      if (!sx_path_parse (st_from_cstr (change->edits[i].path), &path, err))
        return false;
      sx_path_subtree (&path, &subtree);
      while (at < c->subtree_count
             && !st_equal (st_name_str (&c->subtrees[at]),
                           st_name_str (&subtree)))
        at++;
      if (at == SP_CHANGE_SUBTREES_MAX)
        return er_set (err, ER_TOO_LARGE,
                       "the change touches more than %d "
                       "teams and services; split it",
                       SP_CHANGE_SUBTREES_MAX);
      if (at == c->subtree_count)
        c->subtrees[c->subtree_count++] = subtree;
    }
  return true;
}

/* Starts CHANGE.  on_finished is called with TICKET when it has ended, which
   may be within this call.  */
void
se_submit (se_task *se, uint64_t ticket, const aa_change *change)
{
  er_error err = { 0 };
  if (!se_query_ready (se))
    {
      _se_refuse (se, ticket, ER_UNAVAILABLE,
                  "this VM has no settings yet; "
                  "try another VM");
      return;
    }
  if (se->changes->len == SE_CHANGES_MAX)
    {
      _se_refuse (se, ticket, ER_LIMIT,
                  "too many changes at the same time; "
                  "try again in a second");
      return;
    }
  _se_change *c = g_new0 (_se_change, 1);
  unsigned char id[8];
  char hex[sizeof id * 2 + 1];
  if (!_se_list_subtrees (c, change, &err))
    {
      g_free (c);
      _se_refuse (se, ticket, err.kind, err.message);
      return;
    }
  randombytes_buf (id, sizeof id);
  sodium_bin2hex (hex, sizeof hex, id, sizeof id);
  st_name_set (&c->id, st_from_cstr (hex));
  st_name_set (&c->who, st_slice (st_from_cstr (change->who), 0, ST_NAME_MAX));
  c->se = se;
  c->ticket = ticket;
  c->begin_ms = se->wall_ms;
  c->base_version = change->base_version;
  c->count = change->count;
  c->edits = g_new0 (sx_edit, change->count);
  for (size_t i = 0; i < change->count; i++)
    c->edits[i] = (sx_edit){ g_strdup (change->edits[i].path),
                             g_strdup (change->edits[i].key),
                             g_strdup (change->edits[i].value) };
  sp_change_desc desc = { .id = c->id,
                          .who = c->who,
                          .time_ms = se->wall_ms,
                          .base_version = change->base_version,
                          .subtree_count = c->subtree_count };
  memcpy (desc.subtrees, c->subtrees, sizeof desc.subtrees);
  c->sp = sp_make_change (&desc, se->now_us);
  g_ptr_array_add (se->changes, c);
  _se_pump_change (c);
}

/* Reads the history from the store; on_history is called with TICKET.  */
void
se_read_history (se_task *se, uint64_t ticket)
{
  _se_call *call = _se_make_call (se, _SE_READ_HISTORY);
  call->ticket = ticket;
  pf_get (se->desc.platform, ST_LIT (SE_HEAD_KEY), _se_on_store, call);
}

/* --- lifetime --------------------------------------------------------- */

/* Makes the task; the first tick starts reading the settings.  */
se_task *
se_make (const se_desc *desc, uint64_t now_us)
{
  se_task *se = g_new0 (se_task, 1);
  se->desc = *desc;
  st_name_set (&se->name, desc->name);
  st_name_set (&se->data_center, desc->data_center);
  se->now_us = now_us;
  se->sp = sp_make_vm (&(sp_vm_desc){ .self = se->name, .seed = desc->seed },
                       now_us);
  se->tree = sx_make_empty ();
  se->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_bytes_unref);
  se->peers = g_array_new (FALSE, TRUE, sizeof (_se_peer));
  se->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  se->changes = g_ptr_array_new_with_free_func (_se_free_change);
  se->operations = g_array_new (FALSE, TRUE, sizeof (_se_operation));
  se->entries = g_new0 (sp_entry, SP_ENTRIES_DEFAULT);
  se->records = g_new0 (sp_record, SP_RECORDS_MAX);
  return se;
}

/* Releases SE, which may be NULL.  on_finished is not called for changes that
   have no outcome yet.  */
void
se_destroy (se_task *se)
{
  if (se == NULL)
    return;
  _se_stop_watch (se);
  g_ptr_array_unref (se->changes);
  sp_destroy_vm (se->sp);
  sx_unref (se->tree);
  g_hash_table_unref (se->values);
  g_hash_table_unref (se->calls);
  g_array_unref (se->peers);
  g_array_unref (se->operations);
  g_free (se->entries);
  g_free (se->records);
  g_free (se);
}

/* Periodic work: retries what got no reply.  */
void
se_tick (se_task *se, uint64_t now_us, uint64_t wall_ms)
{
  se->now_us = now_us;
  se->wall_ms = wall_ms;
  sp_vm_tick (se->sp, now_us);
  _se_pump (se);
  for (guint i = se->changes->len; i-- > 0;)
    {
      _se_change *c = se->changes->pdata[i];
      sp_change_tick (c->sp, now_us);
      _se_pump_change (c);
    }
}

/* The settings in force, valid until the event loop runs again.  */
const sx_tree *
se_query_tree (const se_task *se, uint64_t *version)
{
  if (version != NULL)
    *version = se->version;
  return se->tree;
}

/* Version of the settings in force.  */
uint64_t
se_query_version (const se_task *se)
{
  return se->version;
}

/* True once settings were read; false in a store outage without peers.  */
bool
se_query_ready (const se_task *se)
{
  return sp_vm_query_state (se->sp).ready;
}

/* Version that INCARNATION last reported; 0 when there was no report.  */
uint64_t
se_query_member_version (const se_task *se, st_str incarnation)
{
  const _se_peer *peer = _se_find_peer (se, incarnation);
  if (peer == NULL)
    return 0;
  return st_equal (st_name_str (&peer->name), st_name_str (&se->name))
             ? se->version
             : peer->version;
}

static json_t *
_se_operation_json (const st_name *id, const st_name *who,
                    const st_name *subtree, const char *state,
                    const char *reason, uint64_t version)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:I}", "kind", "change", "id",
                    id->text, "who", who->text, "service", subtree->text,
                    "state", state, "reason", reason, "version",
                    (json_int_t)version);
}

/* Array with the changes that operators sent to this VM: running, done,
   unknown, or taken_back with the reason.  */
json_t *
se_query_operations (const se_task *se)
{
  json_t *out = json_array ();
  for (guint i = 0; i < se->operations->len; i++)
    {
      const _se_operation *m
          = &g_array_index (se->operations, _se_operation, i);
      const char *state = m->outcome == SP_ACCEPTED  ? "done"
                          : m->outcome == SP_UNKNOWN ? "unknown"
                                                     : "taken_back";
      json_array_append_new (out, _se_operation_json (&m->id, &m->who,
                                                      &m->subtree, state,
                                                      m->reason, m->version));
    }
  for (guint i = 0; i < se->changes->len; i++)
    {
      const _se_change *c = se->changes->pdata[i];
      json_array_append_new (out, _se_operation_json (&c->id, &c->who,
                                                      &c->subtrees[0],
                                                      "running", "", 0));
    }
  return out;
}
