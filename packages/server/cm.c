#include "cm.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct cm_map
{
  GArray *cells; /* cm_cell, sorted by name */
};

/* Makes an empty map.  */
cm_map *
cm_make (void)
{
  cm_map *cm = g_new0 (cm_map, 1);
  cm->cells = g_array_new (FALSE, TRUE, sizeof (cm_cell));
  return cm;
}

/* Releases CM.  */
void
cm_destroy (cm_map *cm)
{
  if (cm == NULL)
    return;
  g_array_free (cm->cells, TRUE);
  g_free (cm);
}

static int
_cm_compare_engines (const void *a, const void *b)
{
  const dr_entry *x = *(const dr_entry *const *)a;
  const dr_entry *y = *(const dr_entry *const *)b;
  int order = strcmp (x->data_center.text, y->data_center.text);
  if (order == 0)
    order = strcmp (x->serves.text, y->serves.text);
  return order != 0 ? order : strcmp (x->name.text, y->name.text);
}

static bool
_cm_same_pool (const dr_entry *a, const dr_entry *b)
{
  return strcmp (a->data_center.text, b->data_center.text) == 0
         && strcmp (a->serves.text, b->serves.text) == 0;
}

/* Writes the members that may own CELL to OUT and NAMES and returns their
   number: those of its data centre (distance 0), else those of its region
   (1), else all (2).  Leaving members are left out.  */
static uint32_t
_cm_find_candidates (const cm_cell *cell, const cm_member *members,
                     size_t count, const cm_member **out, st_str *names)
{
  for (int distance = 0; distance < 3; distance++)
    {
      uint32_t found = 0;
      for (size_t i = 0; i < count; i++)
        {
          const cm_member *m = &members[i];
          bool is_eligible
              = distance == 2
                || (distance == 1
                    && st_equal (m->region, st_name_str (&cell->region)))
                || st_equal (m->data_center, st_name_str (&cell->data_center));
          if (m->leaving || !is_eligible)
            continue;
          names[found] = m->name;
          out[found++] = m;
        }
      if (found > 0)
        return found;
    }
  return 0;
}

static void
_cm_choose_owner (cm_cell *cell, const cm_member *members, size_t count)
{
  const cm_member **candidates = g_new (const cm_member *, count + 1);
  st_str *names = g_new (st_str, count + 1);
  uint32_t found
      = _cm_find_candidates (cell, members, count, candidates, names);
  uint32_t owner = ce_owner (st_name_str (&cell->name), names, found);
  if (owner != CE_NONE)
    snprintf (cell->owner, sizeof cell->owner, "%.*s",
              ST_FMT (candidates[owner]->incarnation));
  g_free (names);
  g_free (candidates);
}

static void
_cm_add_pool (GArray *cells, const dr_entry **engines, uint32_t count,
              const cm_member *members, size_t member_count)
{
  char pool[2 * ST_NAME_MAX + 2];
  int len = snprintf (pool, sizeof pool, "%s/%s", engines[0]->data_center.text,
                      engines[0]->serves.text);
  st_str *names = g_new (st_str, count);
  uint32_t *cell_of = g_new (uint32_t, count);
  uint32_t *fill = g_new0 (uint32_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    names[i] = st_name_str (&engines[i]->name);
  uint32_t n
      = ce_split ((st_str){ pool, (size_t)len }, names, count, cell_of, fill);
  for (uint32_t c = 0; c < n; c++)
    {
      cm_cell cell;
      memset (&cell, 0, sizeof cell);
      cell.data_center = engines[0]->data_center;
      cell.region = engines[0]->region;
      cell.model = engines[0]->serves;
      for (uint32_t i = 0; i < count; i++)
        if (cell_of[i] == c && cell.engine_count < CE_CELL_ENGINES_MAX)
          cell.engines[cell.engine_count++] = engines[i]->name;
      if (cell.engine_count == 0
          || !ce_cell_name (&cell.name, st_name_str (&cell.data_center),
                            st_name_str (&cell.model), c))
        continue;
      _cm_choose_owner (&cell, members, member_count);
      g_array_append_val (cells, cell);
    }
  g_free (fill);
  g_free (cell_of);
  g_free (names);
}

/* Recomputes the map.  True when it differs from the previous one.  */
bool
cm_update (cm_map *cm, const dr_directory *directory, const cm_member *members,
           size_t member_count)
{
  size_t total = dr_query_count (directory);
  const dr_entry **engines = g_new (const dr_entry *, total + 1);
  uint32_t count = 0;
  GArray *cells = g_array_new (FALSE, TRUE, sizeof (cm_cell));
  for (size_t i = 0; i < total; i++)
    if (dr_query_at (directory, i)->kind == DR_ENGINE)
      engines[count++] = dr_query_at (directory, i);
  qsort (engines, count, sizeof (const dr_entry *), _cm_compare_engines);
  for (uint32_t from = 0; from < count;)
    {
      uint32_t to = from + 1;
      while (to < count && _cm_same_pool (engines[from], engines[to]))
        to++;
      _cm_add_pool (cells, engines + from, to - from, members, member_count);
      from = to;
    }
  g_free (engines);
  bool changed = cells->len != cm->cells->len
                 || (cells->len > 0
                     && memcmp (cells->data, cm->cells->data,
                                cells->len * sizeof (cm_cell))
                            != 0);
  g_array_free (cm->cells, TRUE);
  cm->cells = cells;
  return changed;
}

/* Number of cells.  */
size_t
cm_query_count (const cm_map *cm)
{
  return cm->cells->len;
}

/* Cell INDEX, valid until the next cm_update.  */
const cm_cell *
cm_query_at (const cm_map *cm, size_t index)
{
  return &g_array_index (cm->cells, cm_cell, index);
}

/* The cell called NAME, or NULL.  */
const cm_cell *
cm_find (const cm_map *cm, st_str name)
{
  for (guint i = 0; i < cm->cells->len; i++)
    if (st_equal (st_name_str (&cm_query_at (cm, i)->name), name))
      return cm_query_at (cm, i);
  return NULL;
}

/* The cell that ENGINE belongs to, or NULL.  */
const cm_cell *
cm_find_engine (const cm_map *cm, st_str engine)
{
  for (guint i = 0; i < cm->cells->len; i++)
    {
      const cm_cell *cell = cm_query_at (cm, i);
      for (uint32_t e = 0; e < cell->engine_count; e++)
        if (st_equal (st_name_str (&cell->engines[e]), engine))
          return cell;
    }
  return NULL;
}
