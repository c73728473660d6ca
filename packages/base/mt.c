#include "mt.h"

#include <inttypes.h>
#include <string.h>

#define _MT_DEFAULT_MAX_SERIES 4096

typedef enum
{
  _MT_COUNTER,
  _MT_GAUGE,
  _MT_HISTOGRAM
} _mt_kind;

typedef struct
{
  _mt_kind kind;
  char *name;
  char *labels; /* text between the braces */
  union
  {
    uint64_t counter;
    int64_t gauge;
    hs_histogram *histogram;
  } u;
} _mt_series;

struct mt_registry
{
  uint32_t max_series;
  GPtrArray *series; /* _mt_series */
  GHashTable *index; /* "name{labels}" -> position + 1 */
};

static void
_mt_series_free (gpointer data)
{
  _mt_series *s = data;
  if (s->kind == _MT_HISTOGRAM)
    g_free (s->u.histogram);
  g_free (s->name);
  g_free (s->labels);
  g_free (s);
}

/* Makes an empty registry.  */
mt_registry *
mt_make (const mt_desc *desc)
{
  mt_registry *m = g_new0 (mt_registry, 1);
  m->max_series
      = desc->max_series > 0 ? desc->max_series : _MT_DEFAULT_MAX_SERIES;
  m->series = g_ptr_array_new_with_free_func (_mt_series_free);
  m->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return m;
}

/* Frees M, which may be NULL, and all its series.  */
void
mt_destroy (mt_registry *m)
{
  if (m == NULL)
    return;
  g_hash_table_destroy (m->index);
  g_ptr_array_free (m->series, TRUE);
  g_free (m);
}

static void
_mt_append_label (GString *out, const char *label, st_str value)
{
  if (label == NULL)
    return;
  if (out->len > 0)
    g_string_append_c (out, ',');
  g_string_append_printf (out, "%s=\"", label);
  for (size_t i = 0; i < value.len; i++)
    {
      char c = value.ptr[i];
      if (c == '"' || c == '\\')
        g_string_append_c (out, '\\');
      if (c == '\n')
        g_string_append (out, "\\n");
      else
        g_string_append_c (out, c);
    }
  g_string_append_c (out, '"');
}

static mt_id
_mt_find_or_make (mt_registry *m, _mt_kind kind, const char *name,
                  const char *label1, st_str value1, const char *label2,
                  st_str value2)
{
  GString *labels = g_string_new (NULL);
  _mt_append_label (labels, label1, value1);
  _mt_append_label (labels, label2, value2);
  char *key = g_strdup_printf ("%s{%s}", name, labels->str);
  gpointer position = g_hash_table_lookup (m->index, key);
  if (position == NULL && m->series->len >= m->max_series && label1 != NULL
      && !st_equal (value1, ST_LIT ("other")))
    {
      g_free (key);
      g_string_free (labels, TRUE);
      return _mt_find_or_make (m, kind, name, label1, ST_LIT ("other"), label2,
                               label2 != NULL ? ST_LIT ("other") : value2);
    }
  if (position == NULL)
    {
      _mt_series *s = g_new0 (_mt_series, 1);
      s->kind = kind;
      s->name = g_strdup (name);
      s->labels = g_strdup (labels->str);
      if (kind == _MT_HISTOGRAM)
        s->u.histogram = g_new0 (hs_histogram, 1);
      g_ptr_array_add (m->series, s);
      position = GUINT_TO_POINTER (m->series->len);
      g_hash_table_insert (m->index, g_strdup (key), position);
    }
  g_free (key);
  g_string_free (labels, TRUE);
  return GPOINTER_TO_UINT (position);
}

/* Finds or makes a counter.  LABEL1 and LABEL2 may be NULL.  */
mt_id
mt_counter (mt_registry *m, const char *name, const char *label1,
            st_str value1, const char *label2, st_str value2)
{
  return _mt_find_or_make (m, _MT_COUNTER, name, label1, value1, label2,
                           value2);
}

/* Finds or makes a gauge.  */
mt_id
mt_gauge (mt_registry *m, const char *name, const char *label1, st_str value1,
          const char *label2, st_str value2)
{
  return _mt_find_or_make (m, _MT_GAUGE, name, label1, value1, label2, value2);
}

/* Finds or makes a histogram.  */
mt_id
mt_histogram (mt_registry *m, const char *name, const char *label1,
              st_str value1, const char *label2, st_str value2)
{
  return _mt_find_or_make (m, _MT_HISTOGRAM, name, label1, value1, label2,
                           value2);
}

static _mt_series *
_mt_series_of (const mt_registry *m, mt_id id)
{
  return id > 0 && id <= m->series->len ? m->series->pdata[id - 1] : NULL;
}

/* Adds DELTA to a counter.  */
void
mt_add (mt_registry *m, mt_id id, uint64_t delta)
{
  _mt_series *s = _mt_series_of (m, id);
  if (s != NULL && s->kind == _MT_COUNTER)
    s->u.counter += delta;
}

/* Sets a gauge.  */
void
mt_set (mt_registry *m, mt_id id, int64_t value)
{
  _mt_series *s = _mt_series_of (m, id);
  if (s != NULL && s->kind == _MT_GAUGE)
    s->u.gauge = value;
}

/* Records VALUE in a histogram.  */
void
mt_record (mt_registry *m, mt_id id, uint64_t value)
{
  _mt_series *s = _mt_series_of (m, id);
  if (s != NULL && s->kind == _MT_HISTOGRAM)
    hs_record (s->u.histogram, value);
}

/* Value of a counter or gauge, number of values in a histogram, 0 for an
   invalid ID.  */
uint64_t
mt_query_value (const mt_registry *m, mt_id id)
{
  const _mt_series *s = _mt_series_of (m, id);
  if (s == NULL)
    return 0;
  switch (s->kind)
    {
    case _MT_COUNTER:
      return s->u.counter;
    case _MT_GAUGE:
      return (uint64_t)s->u.gauge;
    case _MT_HISTOGRAM:
      return s->u.histogram->count;
    }
  return 0;
}

/* The histogram of ID; NULL when ID is not a histogram.  */
const hs_histogram *
mt_query_histogram (const mt_registry *m, mt_id id)
{
  const _mt_series *s = _mt_series_of (m, id);
  return s != NULL && s->kind == _MT_HISTOGRAM ? s->u.histogram : NULL;
}

/* Number of series.  */
uint32_t
mt_query_series (const mt_registry *m)
{
  return m->series->len;
}

static void
_mt_write_histogram (GString *out, const _mt_series *s)
{
  static const double quantiles[] = { 0.5, 0.95, 0.99 };
  const char *comma = s->labels[0] != 0 ? "," : "";
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    g_string_append_printf (out, "%s{%s%squantile=\"%g\"} %" PRIu64 "\n",
                            s->name, s->labels, comma, quantiles[i],
                            hs_quantile (s->u.histogram, quantiles[i]));
  g_string_append_printf (out, "%s_sum{%s} %" PRIu64 "\n", s->name, s->labels,
                          s->u.histogram->sum);
  g_string_append_printf (out, "%s_count{%s} %" PRIu64 "\n", s->name,
                          s->labels, s->u.histogram->count);
}

/* Text exposition of all series, one per line; the caller frees it.  */
GString *
mt_write_text (const mt_registry *m)
{
  GString *out = g_string_new (NULL);
  for (guint i = 0; i < m->series->len; i++)
    {
      const _mt_series *s = m->series->pdata[i];
      switch (s->kind)
        {
        case _MT_COUNTER:
          g_string_append_printf (out, "%s{%s} %" PRIu64 "\n", s->name,
                                  s->labels, s->u.counter);
          break;
        case _MT_GAUGE:
          g_string_append_printf (out, "%s{%s} %" PRId64 "\n", s->name,
                                  s->labels, s->u.gauge);
          break;
        case _MT_HISTOGRAM:
          _mt_write_histogram (out, s);
          break;
        }
    }
  return out;
}
