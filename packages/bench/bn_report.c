#include "bn.h"

#include <glib.h>
#include <string.h>

#define _BN_NAME 40

typedef struct
{
  char scenario[_BN_NAME];
  char policy[_BN_NAME];
  char metric[_BN_NAME];
  char unit[16];
  uint64_t seed;
  double value;
} _bn_row;

struct bn_report
{
  GArray *rows;
};

/* Makes an empty report.  */
bn_report *
bn_make_report (void)
{
  bn_report *report = g_new0 (bn_report, 1);
  report->rows = g_array_new (FALSE, FALSE, sizeof (_bn_row));
  return report;
}

/* Frees REPORT.  */
void
bn_destroy_report (bn_report *report)
{
  g_array_free (report->rows, TRUE);
  g_free (report);
}

/* Adds one figure.  Names are cut at 39 bytes.  */
void
bn_add (bn_report *report, const char *scenario, const char *policy,
        uint64_t seed, const char *metric, const char *unit, double value)
{
  _bn_row row = { .seed = seed, .value = value };
  g_strlcpy (row.scenario, scenario, sizeof row.scenario);
  g_strlcpy (row.policy, policy, sizeof row.policy);
  g_strlcpy (row.metric, metric, sizeof row.metric);
  g_strlcpy (row.unit, unit, sizeof row.unit);
  g_array_append_val (report->rows, row);
}

/* Writes one line a figure.  False when the file cannot be written.  */
bool
bn_write_csv (const bn_report *report, const char *path)
{
  FILE *out = fopen (path, "w");
  if (out == NULL)
    return false;
  fputs ("scenario,policy,seed,metric,unit,value\n", out);
  for (guint i = 0; i < report->rows->len; i++)
    {
      const _bn_row *r = &g_array_index (report->rows, _bn_row, i);
      fprintf (out, "%s,%s,%" G_GUINT64_FORMAT ",%s,%s,%.6g\n", r->scenario,
               r->policy, r->seed, r->metric, r->unit, r->value);
    }
  return fclose (out) == 0;
}

static bool
_bn_same (const _bn_row *a, const _bn_row *b)
{
  return strcmp (a->scenario, b->scenario) == 0
         && strcmp (a->policy, b->policy) == 0
         && strcmp (a->metric, b->metric) == 0;
}

static int
_bn_compare (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

/* For goodput the lowest figure is the worst one, else the highest.  */
static bool
_bn_more_is_better (const char *metric)
{
  return g_str_has_prefix (metric, "goodput")
         || g_str_has_prefix (metric, "in_deadline")
         || g_str_has_suffix (metric, "_ok");
}

static bool
_bn_summary (const bn_report *report, const char *scenario, const char *policy,
             const char *metric, double *median, double *worst,
             unsigned *count)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));
  _bn_row key = { 0 };
  g_strlcpy (key.scenario, scenario, sizeof key.scenario);
  g_strlcpy (key.policy, policy, sizeof key.policy);
  g_strlcpy (key.metric, metric, sizeof key.metric);
  for (guint i = 0; i < report->rows->len; i++)
    {
      const _bn_row *r = &g_array_index (report->rows, _bn_row, i);
      if (_bn_same (r, &key))
        g_array_append_val (values, r->value);
    }
  guint n = values->len;
  *count = n;
  if (n > 0)
    {
      g_array_sort (values, _bn_compare);
      double low = g_array_index (values, double, (n - 1) / 2);
      double high = g_array_index (values, double, n / 2);
      *median = (low + high) / 2;
      *worst = g_array_index (values, double,
                              _bn_more_is_better (metric) ? 0 : n - 1);
    }
  g_array_free (values, TRUE);
  return n > 0;
}

/* Prints median and worst over the seeds, one line a figure.  */
void
bn_print_table (const bn_report *report, FILE *out)
{
  fprintf (out, "%-24s %-16s %-26s %-10s %5s %12s %12s\n", "scenario",
           "policy", "metric", "unit", "seeds", "median", "worst");
  for (guint i = 0; i < report->rows->len; i++)
    {
      const _bn_row *r = &g_array_index (report->rows, _bn_row, i);
      bool seen = false;
      for (guint j = 0; j < i && !seen; j++)
        seen = _bn_same (r, &g_array_index (report->rows, _bn_row, j));
      if (seen)
        continue;
      double median = 0, worst = 0;
      unsigned count = 0;
      _bn_summary (report, r->scenario, r->policy, r->metric, &median, &worst,
                   &count);
      fprintf (out, "%-24s %-16s %-26s %-10s %5u %12.5g %12.5g\n", r->scenario,
               r->policy, r->metric, r->unit, count, median, worst);
    }
}

typedef struct
{
  const bn_report *report;
  FILE *out;
  unsigned missed;
} _bn_check;

static void
_bn_target (_bn_check *c, const char *scenario, const char *what, double value,
            const char *relation, double bound)
{
  bool met = relation[0] == '<' ? value <= bound : value >= bound;
  c->missed += !met;
  fprintf (c->out, "%-7s %-24s %-52s %10.5g %s %.5g\n", met ? "met" : "MISSED",
           scenario, what, value, relation, bound);
}

static const char *const _bn_baselines[]
    = { "round_robin", "least_in_flight", "least_reported" };

/* Compares the worst figures over the seeds with the targets of design
   section 1.3 and returns the number that was missed.  Each seed is compared
   with the baselines on the same seed.  */
unsigned
bn_print_targets (const bn_report *report, FILE *out)
{
  _bn_check c = { .report = report, .out = out };
  fprintf (out, "\ntargets (worst seed)\n");
  for (const bn_scenario *s = bn_scenarios; s->name != NULL; s++)
    {
      if (s->run != bn_run_placement)
        continue;
      double worst_bound = 1e9, worst_base = 1e9, worst_waste = 0;
      double worst_waste_ratio = 0, worst_cross = 0, shed = 0, recovery = -1;
      bool any = false;
      for (guint i = 0; i < report->rows->len; i++)
        {
          const _bn_row *r = &g_array_index (report->rows, _bn_row, i);
          if (strcmp (r->scenario, s->name) != 0
              || strcmp (r->policy, "dotterelbend") != 0)
            continue;
          any = true;
          double bound = -1, base = -1, base_waste = -1, rr_cross = -1;
          for (guint j = 0; j < report->rows->len; j++)
            {
              const _bn_row *o = &g_array_index (report->rows, _bn_row, j);
              if (strcmp (o->scenario, s->name) != 0 || o->seed != r->seed
                  || strcmp (o->metric, r->metric) != 0)
                continue;
              if (strcmp (o->policy, "upper_bound") == 0)
                bound = o->value;
              for (int b = 0; b < 3; b++)
                if (strcmp (o->policy, _bn_baselines[b]) == 0)
                  {
                    base = o->value > base ? o->value : base;
                    if (base_waste < 0 || o->value < base_waste)
                      base_waste = o->value;
                    if (b == 0)
                      rr_cross = o->value;
                  }
            }
          if (strcmp (r->metric, "goodput_tier0") == 0)
            {
              double ratio = bound > 0 ? r->value / bound : 1;
              worst_bound = ratio < worst_bound ? ratio : worst_bound;
              double ahead = r->value - base;
              worst_base = ahead < worst_base ? ahead : worst_base;
            }
          else if (strcmp (r->metric, "prefill_wasted") == 0)
            {
              worst_waste = r->value > worst_waste ? r->value : worst_waste;
              double ratio = base_waste > 0 ? r->value / base_waste
                             : r->value > 0 ? 1e9
                                            : 0;
              if (ratio > worst_waste_ratio)
                worst_waste_ratio = ratio;
            }
          else if (strcmp (r->metric, "cross_region") == 0 && rr_cross > 0)
            {
              double ratio = r->value / rr_cross;
              worst_cross = ratio > worst_cross ? ratio : worst_cross;
            }
          else if (strcmp (r->metric, "urgent_shed") == 0)
            shed = r->value > shed ? r->value : shed;
          else if (strcmp (r->metric, "recovery") == 0)
            recovery = r->value > recovery ? r->value : recovery;
        }
      if (!any)
        continue;
      bool overload = strcmp (s->name, "overload_1_3x") == 0;
      if (overload)
        _bn_target (&c, s->name, "tier 0 goodput / upper bound", worst_bound,
                    ">=", 0.97);
      _bn_target (&c, s->name, "tier 0 goodput - best baseline", worst_base,
                  ">=", 0);
      if (overload)
        {
          _bn_target (&c, s->name, "prefill wasted, %", worst_waste, "<=", 1);
          _bn_target (&c, s->name, "prefill wasted / better baseline's",
                      worst_waste_ratio, "<=", 0.25);
        }
      _bn_target (&c, s->name, "cross-region bytes / round robin's",
                  worst_cross, "<=", 0.2);
      _bn_target (&c, s->name, "urgent shed while lower-tier work ran", shed,
                  "<=", 0);
      if (recovery >= 0)
        _bn_target (&c, s->name, "seconds until goodput is back", recovery,
                    "<=", 10);
    }
  fprintf (out, "%u targets missed\n", c.missed);
  return c.missed;
}
