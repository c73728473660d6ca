#include "dr.h"

#include <glib.h>
#include <string.h>

struct dr_directory
{
  GArray *entries; /* dr_entry */
};

/* Makes an empty directory.  */
dr_directory *
dr_make (void)
{
  dr_directory *dr = g_new0 (dr_directory, 1);
  dr->entries = g_array_new (FALSE, TRUE, sizeof (dr_entry));
  return dr;
}

/* Releases DR.  */
void
dr_destroy (dr_directory *dr)
{
  if (dr == NULL)
    return;
  g_array_free (dr->entries, TRUE);
  g_free (dr);
}

/* Replaces all entries.  True when the list differs from the last one.  */
bool
dr_set (dr_directory *dr, const dr_entry *entries, size_t count)
{
  if (count == dr->entries->len
      && (count == 0
          || memcmp (dr->entries->data, entries, count * sizeof *entries)
                 == 0))
    return false;
  g_array_set_size (dr->entries, 0);
  if (count > 0)
    g_array_append_vals (dr->entries, entries, (guint)count);
  return true;
}

/* Number of entries.  */
size_t
dr_query_count (const dr_directory *dr)
{
  return dr->entries->len;
}

/* Entry INDEX, which must be below dr_query_count.  */
const dr_entry *
dr_query_at (const dr_directory *dr, size_t index)
{
  return &g_array_index (dr->entries, dr_entry, index);
}

/* The entry of KIND and NAME, or NULL.  */
const dr_entry *
dr_find (const dr_directory *dr, dr_kind kind, st_str name)
{
  for (guint i = 0; i < dr->entries->len; i++)
    {
      const dr_entry *e = dr_query_at (dr, i);
      if (e->kind == kind && st_equal (st_name_str (&e->name), name))
        return e;
    }
  return NULL;
}

/* True when an engine serves MODEL.  */
bool
dr_has_model (const dr_directory *dr, st_str model)
{
  for (guint i = 0; i < dr->entries->len; i++)
    {
      const dr_entry *e = dr_query_at (dr, i);
      if (e->kind == DR_ENGINE && st_equal (st_name_str (&e->serves), model))
        return true;
    }
  return false;
}
