#include "bn.h"

#include <glib.h>
#include <string.h>

#define _BN_NAME_SIZE 40

typedef struct
{
  char scenario[_BN_NAME_SIZE];
  char policy[_BN_NAME_SIZE];
  char metric[_BN_NAME_SIZE];
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

/* Adds one figure.  Names are truncated to 39 bytes.  */
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

/* Writes one line per figure.  Returns false when the file cannot be written.
 */
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
_bn_same_figure (const _bn_row *a, const _bn_row *b)
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

/* True for metrics whose lowest figure is the worst one.  */
static bool
_bn_higher_is_better (const char *metric)
{
  return g_str_has_prefix (metric, "goodput")
         || g_str_has_prefix (metric, "in_deadline")
         || g_str_has_suffix (metric, "_ok");
}

static bool
_bn_summarize (const bn_report *report, const char *scenario,
               const char *policy, const char *metric, double *median,
               double *worst, unsigned *count)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));
  _bn_row key = { 0 };
  g_strlcpy (key.scenario, scenario, sizeof key.scenario);
  g_strlcpy (key.policy, policy, sizeof key.policy);
  g_strlcpy (key.metric, metric, sizeof key.metric);
  for (guint i = 0; i < report->rows->len; i++)
    {
      const _bn_row *r = &g_array_index (report->rows, _bn_row, i);
      if (_bn_same_figure (r, &key))
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
                              _bn_higher_is_better (metric) ? 0 : n - 1);
    }
  g_array_free (values, TRUE);
  return n > 0;
}

/* Prints median and worst figure over the seeds, one line per metric.  */
void
bn_print_table (const bn_report *report, FILE *out)
{
  fprintf (out, "%-24s %-16s %-26s %-10s %5s %12s %12s\n", "scenario",
           "policy", "metric", "unit", "seeds", "median", "worst");
  for (guint i = 0; i < report->rows->len; i++)
    {
      const _bn_row *r = &g_array_index (report->rows, _bn_row, i);
      bool is_repeated = false;
      for (guint j = 0; j < i && !is_repeated; j++)
        is_repeated
            = _bn_same_figure (r, &g_array_index (report->rows, _bn_row, j));
      if (is_repeated)
        continue;
      double median = 0, worst = 0;
      unsigned count = 0;
      _bn_summarize (report, r->scenario, r->policy, r->metric, &median,
                     &worst, &count);
      fprintf (out, "%-24s %-16s %-26s %-10s %5u %12.5g %12.5g\n", r->scenario,
               r->policy, r->metric, r->unit, count, median, worst);
    }
}

typedef struct
{
  const bn_report *report;
  FILE *out;
  unsigned missed;
} _bn_target_check;

static void
_bn_check_target (_bn_target_check *c, const char *scenario, const char *what,
                  double value, const char *relation, double bound)
{
  bool met = relation[0] == '<' ? value <= bound : value >= bound;
  c->missed += !met;
  fprintf (c->out, "%-7s %-24s %-52s %10.5g %s %.5g\n", met ? "met" : "MISSED",
           scenario, what, value, relation, bound);
}

static const char *const _bn_baselines[]
    = { "round_robin", "least_in_flight", "least_reported" };

/* Compares the worst figures over the seeds with the targets of design section
   1.3 and returns the number of missed targets.  Each seed is compared with
   the baselines on the same seed.  */
unsigned
bn_print_targets (const bn_report *report, FILE *out)
{
  _bn_target_check c = { .report = report, .out = out };
  fprintf (out, "\ntargets (worst seed)\n");
  for (const bn_scenario *s = bn_scenarios; s->name != NULL; s++)
    {
      if (s->run != bn_run_placement)
        continue;
      double worst_bound_ratio = 1e9, worst_lead = 1e9, worst_waste = 0;
      double worst_waste_ratio = 0, worst_cross_ratio = 0, shed = 0,
             recovery = -1;
      bool has_rows = false;
      for (guint i = 0; i < report->rows->len; i++)
        {
          const _bn_row *r = &g_array_index (report->rows, _bn_row, i);
          if (strcmp (r->scenario, s->name) != 0
              || strcmp (r->policy, "dotterelbend") != 0)
            continue;
          has_rows = true;
          double bound = -1, best_baseline = -1, least_baseline_waste = -1,
                 round_robin_cross = -1;
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
                    best_baseline
                        = o->value > best_baseline ? o->value : best_baseline;
                    if (least_baseline_waste < 0
                        || o->value < least_baseline_waste)
                      least_baseline_waste = o->value;
                    if (b == 0)
                      round_robin_cross = o->value;
                  }
            }
          if (strcmp (r->metric, "goodput_tier0") == 0)
            {
              double ratio = bound > 0 ? r->value / bound : 1;
              worst_bound_ratio
                  = ratio < worst_bound_ratio ? ratio : worst_bound_ratio;
              double lead = r->value - best_baseline;
              worst_lead = lead < worst_lead ? lead : worst_lead;
            }
          else if (strcmp (r->metric, "prefill_wasted") == 0)
            {
              worst_waste = r->value > worst_waste ? r->value : worst_waste;
              double ratio = least_baseline_waste > 0
                                 ? r->value / least_baseline_waste
                             : r->value > 0 ? 1e9
                                            : 0;
              if (ratio > worst_waste_ratio)
                worst_waste_ratio = ratio;
            }
          else if (strcmp (r->metric, "cross_region") == 0
                   && round_robin_cross > 0)
            {
              double ratio = r->value / round_robin_cross;
              worst_cross_ratio
                  = ratio > worst_cross_ratio ? ratio : worst_cross_ratio;
            }
          else if (strcmp (r->metric, "urgent_shed") == 0)
            shed = r->value > shed ? r->value : shed;
          else if (strcmp (r->metric, "recovery") == 0)
            recovery = r->value > recovery ? r->value : recovery;
        }
      if (!has_rows)
        continue;
      bool overload = strcmp (s->name, "overload_1_3x") == 0;
      if (overload)
        _bn_check_target (&c, s->name, "tier 0 goodput / upper bound",
                          worst_bound_ratio, ">=", 0.97);
      _bn_check_target (&c, s->name, "tier 0 goodput - best baseline",
                        worst_lead, ">=", 0);
      if (overload)
        {
          _bn_check_target (&c, s->name, "prefill wasted, %", worst_waste,
                            "<=", 1);
          _bn_check_target (&c, s->name, "prefill wasted / better baseline's",
                            worst_waste_ratio, "<=", 0.25);
        }
      _bn_check_target (&c, s->name, "cross-region bytes / round robin's",
                        worst_cross_ratio, "<=", 0.2);
      _bn_check_target (&c, s->name, "urgent shed while lower-tier work ran",
                        shed, "<=", 0);
      if (recovery >= 0)
        _bn_check_target (&c, s->name, "seconds until goodput is back",
                          recovery, "<=", 10);
    }
  fprintf (out, "%u targets missed\n", c.missed);
  return c.missed;
}
