#include "lj.h"

#include <string.h>

static void
_lj_add_count (GHashTable *counts, const json_t *item, const char *name,
               const char *count)
{
  const char *key = json_string_value (json_object_get (item, name));
  json_int_t n = json_integer_value (json_object_get (item, count));
  gint64 before;
  if (key == NULL)
    return;
  before = GPOINTER_TO_INT (g_hash_table_lookup (counts, key));
  g_hash_table_insert (counts, g_strdup (key),
                       GINT_TO_POINTER ((int)(before + n)));
}

static int
_lj_received (GHashTable *counts, const char *key)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (counts, key));
}

static const char *
_lj_text (const json_t *item, const char *name)
{
  const char *text = json_string_value (json_object_get (item, name));
  return text != NULL ? text : "";
}

static void
_lj_count_outcome (lj_verdict *v, const json_t *r, GString *reasons)
{
  const char *outcome = _lj_text (r, "outcome");
  if (strcmp (outcome, "answered") == 0)
    v->answered++;
  else if (strcmp (outcome, "not_run") == 0
           || strcmp (outcome, "not_sent") == 0)
    v->not_run++;
  else if (strcmp (outcome, "unknown") == 0)
    v->unknown++;
  else if (strcmp (outcome, "error") == 0
           && strcmp (_lj_text (r, "kind"), "read") == 0)
    /* A read that failed at every attempt has no effect.  */
    v->unknown++;
  else
    {
      v->lost++;
      g_string_append_printf (reasons, "%s %s %s%s: %s: %s\n",
                              "lost:", _lj_text (r, "kind"),
                              _lj_text (r, "id"), _lj_text (r, "key"), outcome,
                              _lj_text (r, "note"));
    }
}

static void
_lj_check_ids (lj_verdict *v, const json_t *r, GHashTable *streams,
               GString *reasons)
{
  size_t i;
  const json_t *used;
  json_array_foreach (json_object_get (r, "ids"), i, used)
  {
    const char *id = _lj_text (used, "id");
    const char *outcome = _lj_text (used, "outcome");
    int received = _lj_received (streams, id);
    bool stated_not_run = strcmp (outcome, "not_run") == 0
                          || strcmp (outcome, "not_sent") == 0;
    if (stated_not_run && received > 0)
      {
        v->run_twice++;
        g_string_append_printf (reasons, "%s has the outcome %s but ran\n", id,
                                outcome);
      }
    if (strcmp (outcome, "answered") == 0 && received == 0)
      {
        v->lost++;
        g_string_append_printf (reasons, "%s was answered but never ran\n",
                                id);
      }
  }
}

static void
_lj_check_key (lj_verdict *v, const json_t *r, GHashTable *calls,
               GString *reasons)
{
  const char *key = _lj_text (r, "key");
  const char *outcome = _lj_text (r, "outcome");
  int received = _lj_received (calls, key);
  if (key[0] == '\0')
    return;
  if (strcmp (outcome, "not_run") == 0 && received > 0)
    {
      v->run_twice++;
      g_string_append_printf (
          reasons, "call %s has the outcome not_run but ran\n", key);
    }
  if (strcmp (outcome, "answered") == 0 && received == 0)
    {
      v->lost++;
      g_string_append_printf (reasons, "call %s was answered but never ran\n",
                              key);
    }
}

static void
_lj_check_run_twice (lj_verdict *v, GHashTable *counts, const char *what,
                     GString *reasons)
{
  GHashTableIter it;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&it, counts);
  while (g_hash_table_iter_next (&it, &key, &value))
    if (GPOINTER_TO_INT (value) > 1)
      {
        v->run_twice++;
        g_string_append_printf (reasons, "%s %s was received %d times\n", what,
                                (char *)key, GPOINTER_TO_INT (value));
      }
}

/* Compares REPORT with the COUNT responses of GET /received and fills V.
   Returns true when nothing was lost or run twice; otherwise REASONS gets a
   line for each case.  */
bool
lj_check (lj_verdict *v, const json_t *report, json_t *const *received,
          size_t count, GString *reasons)
{
  GHashTable *streams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *calls
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  size_t i;
  const json_t *r;
  memset (v, 0, sizeof *v);
  for (size_t n = 0; n < count; n++)
    {
      json_array_foreach (json_object_get (received[n], "streams"), i, r)
          _lj_add_count (streams, r, "id", "received");
      json_array_foreach (json_object_get (received[n], "calls"), i, r)
          _lj_add_count (calls, r, "key", "count");
    }
  json_array_foreach (json_object_get (report, "requests"), i, r)
  {
    v->sent++;
    _lj_count_outcome (v, r, reasons);
    _lj_check_ids (v, r, streams, reasons);
    _lj_check_key (v, r, calls, reasons);
  }
  _lj_check_run_twice (v, streams, "stream", reasons);
  _lj_check_run_twice (v, calls, "call", reasons);
  g_hash_table_destroy (streams);
  g_hash_table_destroy (calls);
  return v->lost == 0 && v->run_twice == 0;
}
