#include "ev.h"

#include <math.h>
#include <string.h>

#define _EV_DEFAULT_ALPHA 0.001
#define _EV_DEFAULT_BETA 0.01
#define _EV_DEFAULT_VMS 9
#define _EV_DEFAULT_ROUTES 16
#define _EV_DEFAULT_SENDERS 64
#define _EV_ODDS 3

/* A stratum closes when it has this many requests, or at this age when it has
   both versions, or at the longest age.  All three depend on the traffic only,
   never on the results of the requests, which keeps the split of the failures
   hypergeometric.  The ages limit the delay of a verdict; a stratum with one
   version only is no evidence, so it may stay open.  */
#define _EV_STRATUM_REQUESTS 64
#define _EV_STRATUM_US 500000
#define _EV_STRATUM_MAX_US 8000000

/* Old-version samples needed before the slowness threshold of a route at a
   load level is used.  */
#define _EV_MIN_WARM_SAMPLES 10
/* Quantile of the old version's times above which a request is slow.  */
#define _EV_SLOW_QUANTILE 0.9
/* Relative change of the threshold for each sample.  0.05 adapts to a change
   of load within some 50 requests and keeps the noise near 10%.  */
#define _EV_THRESHOLD_GAIN 0.05
/* Old-version requests needed before the non-inferiority test can pass.  */
#define _EV_MIN_OLD_SAMPLES 20

static const double _ev_odds[_EV_ODDS] = { 3, 12, 100 };
static const double _ev_margins[EV_KINDS] = { 0.05, 0.10, 0.10 };

typedef struct
{
  ev_counts step[2];  /* closed strata of this step; 0 old, 1 new */
  ev_counts open[2];  /* the open stratum */
  uint64_t opened_us; /* 0 when the open stratum is empty */
  /* Merged counts only: stratum of the step before, received after this step
     began.  */
  ev_counts previous[2];
  uint64_t previous_opened_us; /* 0 when it is empty */
  /* ln of the mixture over the start of the fault, for each odds ratio.  */
  double log_mixture[EV_KINDS][_EV_ODDS];
  uint32_t informative[EV_KINDS]; /* strata that changed log_mixture */
  bool passed[EV_KINDS];          /* non-inferiority test, this step */
} _ev_route_test;

typedef struct
{
  double threshold_us[EV_KINDS]; /* a longer time is slow; learned from the old
                                    version only */
  uint32_t warm_samples[EV_KINDS];
  uint32_t above_count[EV_KINDS]; /* old-version samples of the open stratum */
  uint32_t below_count[EV_KINDS];
} _ev_thresholds;

typedef struct
{
  st_name name;
  _ev_route_test local[EV_LOADS];
  _ev_route_test merged[EV_LOADS];
  _ev_thresholds thresholds[EV_LOADS];
  /* Local counts already sent on each stream, and those of the step before
     that are still to be sent.  */
  ev_counts sent[EV_STREAMS][EV_LOADS][2];
  ev_counts unsent_previous[EV_STREAMS][EV_LOADS][2];
} _ev_route;

typedef struct
{
  uint64_t sender; /* 0 when free */
  uint64_t seq;
} _ev_sender;

/* Deltas to one receiver.  */
typedef struct
{
  uint64_t term; /* 0 when free */
  uint64_t seq;
  uint64_t last_use;
} _ev_stream;

struct ev_tracker
{
  al_allocator allocator;
  double log_alpha; /* -ln alpha */
  double log_beta;  /* ln beta */
  double log_vms;
  uint32_t max_routes;
  uint32_t route_count;
  uint32_t max_senders;
  uint32_t sender_count;
  uint32_t step;
  uint32_t previous_step;
  uint64_t step_began_us;
  uint64_t term; /* of the merged counts */
  _ev_stream streams[EV_STREAMS];
  uint64_t stream_uses;
  st_name version; /* under test */
  ev_result local;
  ev_result merged;
  _ev_route *routes;
  _ev_sender *senders;
};

/* Name of KIND as used in logs, messages and the stored reason.  */
const char *
ev_kind_name (ev_kind kind)
{
  switch (kind)
    {
    case EV_FAILURE:
      return "failure";
    case EV_SLOW_FIRST_TOKEN:
      return "slow_first_token";
    case EV_SLOW_INTER_TOKEN:
      return "slow_inter_token";
    case EV_KINDS:
      break;
    }
  return "unknown";
}

/* Name of LOAD as used in logs, messages and the stored reason.  */
const char *
ev_load_name (ev_load load)
{
  return load == EV_LOAD_HIGH ? "high" : "low";
}

static double
_ev_log_add (double a, double b)
{
  double hi = a > b ? a : b;
  double lo = a > b ? b : a;
  if (hi == -INFINITY)
    return hi;
  return hi + log1p (exp (lo - hi));
}

/* Natural log of the likelihood ratio of ODDS_RATIO against 1 in one stratum,
   given the total number of hits: Fisher's noncentral hypergeometric
   distribution.  0 when the stratum holds one version only or all results are
   the same.  The cost is linear in the smaller of hits and new requests.  */
double
ev_log_ratio (uint32_t new_seen, uint32_t new_hits, uint32_t old_seen,
              uint32_t old_hits, double odds_ratio)
{
  double hits = (double)new_hits + old_hits;
  double total = (double)new_seen + old_seen;
  if (new_seen == 0 || old_seen == 0 || hits == 0 || hits == total)
    return 0;
  uint64_t all = (uint64_t)new_hits + old_hits;
  uint64_t lo = all > old_seen ? all - old_seen : 0;
  uint64_t hi = all < new_seen ? all : new_seen;
  double log_odds = log (odds_ratio);
  double term = 0; /* ln of the weight of x, up to a constant */
  double log_sum_null = -INFINITY;
  double log_sum_odds = -INFINITY;
  for (uint64_t i = lo; i <= hi; i++)
    {
      double x = (double)i;
      log_sum_null = _ev_log_add (log_sum_null, term);
      log_sum_odds = _ev_log_add (log_sum_odds, term + x * log_odds);
      term += log ((new_seen - x) * (hits - x)
                   / ((x + 1) * (old_seen - hits + x + 1)));
    }
  return new_hits * log_odds - (log_sum_odds - log_sum_null);
}

/* Makes a tracker; all memory is allocated here.  */
ev_tracker *
ev_make_tracker (const ev_desc *desc)
{
  ev_tracker *t = al_alloc (&desc->allocator, sizeof *t);
  t->allocator = desc->allocator;
  t->log_alpha = -log (desc->alpha > 0 ? desc->alpha : _EV_DEFAULT_ALPHA);
  t->log_beta = log (desc->beta > 0 ? desc->beta : _EV_DEFAULT_BETA);
  t->log_vms = log (desc->vms > 0 ? desc->vms : _EV_DEFAULT_VMS);
  t->max_routes = desc->max_routes > 0 ? desc->max_routes : _EV_DEFAULT_ROUTES;
  if (t->max_routes > EV_MAX_ROUTES)
    t->max_routes = EV_MAX_ROUTES;
  t->max_senders
      = desc->max_senders > 0 ? desc->max_senders : _EV_DEFAULT_SENDERS;
  t->routes = al_alloc (&t->allocator, t->max_routes * sizeof (_ev_route));
  t->senders = al_alloc (&t->allocator, t->max_senders * sizeof (_ev_sender));
  return t;
}

/* Releases T, which may be NULL.  */
void
ev_destroy_tracker (ev_tracker *t)
{
  if (t == NULL)
    return;
  al_allocator al = t->allocator;
  al_free (&al, t->routes);
  al_free (&al, t->senders);
  al_free (&al, t);
}

/* Sets the number of VMs among which the false alarms of the local rule are
   divided.  */
void
ev_set_vms (ev_tracker *t, uint32_t vms)
{
  t->log_vms = log (vms > 0 ? vms : 1);
}

static void
_ev_reset_mixture (_ev_route_test *test)
{
  for (int k = 0; k < EV_KINDS; k++)
    {
      for (int r = 0; r < _EV_ODDS; r++)
        test->log_mixture[k][r] = -INFINITY;
      test->informative[k] = 0;
    }
}

static void
_ev_reset_counts (_ev_route_test *test)
{
  memset (test->step, 0, sizeof test->step);
  memset (test->open, 0, sizeof test->open);
  memset (test->previous, 0, sizeof test->previous);
  memset (test->passed, 0, sizeof test->passed);
  test->opened_us = 0;
  test->previous_opened_us = 0;
}

/* Starts the test of VERSION.  Does nothing when VERSION is under test
   already; otherwise clears verdicts and counts.  The slowness thresholds
   learned from the old version stay, and so do the sequence numbers, since a
   VM may start later than others.  */
void
ev_begin_rollout (ev_tracker *t, st_str version)
{
  if (st_equal (st_name_str (&t->version), version))
    return;
  st_name_set (&t->version, version);
  memset (&t->local, 0, sizeof t->local);
  memset (&t->merged, 0, sizeof t->merged);
  t->step_began_us = 0;
  for (uint32_t i = 0; i < t->route_count; i++)
    for (int l = 0; l < EV_LOADS; l++)
      {
        _ev_route *route = &t->routes[i];
        _ev_reset_counts (&route->local[l]);
        _ev_reset_counts (&route->merged[l]);
        _ev_reset_mixture (&route->local[l]);
        _ev_reset_mixture (&route->merged[l]);
        for (int m = 0; m < EV_STREAMS; m++)
          {
            memset (route->sent[m][l], 0, sizeof route->sent[m][l]);
            memset (route->unsent_previous[m][l], 0,
                    sizeof route->unsent_previous[m][l]);
          }
      }
}

/* Clears the merged counts for the controller's fencing number TERM.  The VMs
   send all counts of the current step again for a new term, so none of an
   earlier term may stay.  */
void
ev_begin_term (ev_tracker *t, uint64_t term, uint64_t now_us)
{
  if (term == t->term)
    return;
  t->term = term;
  t->sender_count = 0;
  memset (t->senders, 0, t->max_senders * sizeof (_ev_sender));
  memset (&t->merged, 0, sizeof t->merged);
  for (uint32_t i = 0; i < t->route_count; i++)
    for (int l = 0; l < EV_LOADS; l++)
      {
        _ev_reset_counts (&t->routes[i].merged[l]);
        _ev_reset_mixture (&t->routes[i].merged[l]);
      }
  if (t->step_began_us == 0)
    t->step_began_us = now_us > 0 ? now_us : 1;
}

static int
_ev_find_or_add_route (ev_tracker *t, st_str name)
{
  for (uint32_t i = 0; i < t->route_count; i++)
    if (st_equal (st_name_str (&t->routes[i].name), name))
      return (int)i;
  if (t->route_count == t->max_routes)
    return -1;
  _ev_route *route = &t->routes[t->route_count];
  if (!st_name_set (&route->name, name))
    return -1;
  for (int l = 0; l < EV_LOADS; l++)
    {
      _ev_reset_mixture (&route->local[l]);
      _ev_reset_mixture (&route->merged[l]);
    }
  return (int)t->route_count++;
}

static void
_ev_add (ev_counts *into, const ev_counts *from)
{
  for (int k = 0; k < EV_KINDS; k++)
    {
      into->seen[k] += from->seen[k];
      into->hits[k] += from->hits[k];
      into->sum_us[k] += from->sum_us[k];
    }
}

static void
_ev_sub (ev_counts *into, const ev_counts *from)
{
  for (int k = 0; k < EV_KINDS; k++)
    {
      into->seen[k] -= from->seen[k];
      into->hits[k] -= from->hits[k];
      into->sum_us[k] -= from->sum_us[k];
    }
}

/* Learns the first threshold from the largest of the first old-version
   samples, about their 90th percentile.  Any threshold that both versions
   share keeps the test exact, so a rough one costs sensitivity only.  */
static void
_ev_warm_up (_ev_thresholds *thresholds, ev_kind kind, uint64_t time_us)
{
  if (thresholds->threshold_us[kind] < (double)time_us)
    thresholds->threshold_us[kind] = (double)time_us;
  thresholds->warm_samples[kind]++;
}

/* Adds TIME_US to COUNTS.  Until the load level has a threshold of its own,
   FALLBACK (the other level's) is used.  */
static void
_ev_record_time (_ev_thresholds *thresholds, const _ev_thresholds *fallback,
                 ev_counts *counts, ev_kind kind, uint64_t time_us, bool old)
{
  if (time_us == 0)
    return;
  double threshold_us = thresholds->threshold_us[kind];
  bool is_warm = thresholds->warm_samples[kind] >= _EV_MIN_WARM_SAMPLES;
  if (!is_warm)
    {
      if (old)
        _ev_warm_up (thresholds, kind, time_us);
      if (fallback->warm_samples[kind] < _EV_MIN_WARM_SAMPLES)
        return;
      threshold_us = fallback->threshold_us[kind];
    }
  bool slow = (double)time_us > threshold_us;
  counts->seen[kind]++;
  counts->hits[kind] += slow;
  counts->sum_us[kind] += time_us;
  if (is_warm && old)
    {
      if (slow)
        thresholds->above_count[kind]++;
      else
        thresholds->below_count[kind]++;
    }
}

/* Moves THRESHOLDS towards the old version's quantile.  Called between strata,
   so that one threshold applies within a stratum.  The weight of one stratum
   is capped at 20 samples, because a stratum may be large at high rates.  */
static void
_ev_move_thresholds (_ev_thresholds *thresholds)
{
  for (int k = EV_SLOW_FIRST_TOKEN; k < EV_KINDS; k++)
    {
      double n
          = (double)thresholds->above_count[k] + thresholds->below_count[k];
      if (n > 0)
        {
          double fraction = thresholds->above_count[k] / n;
          double weight = n < 20 ? n : 20;
          thresholds->threshold_us[k]
              *= exp (_EV_THRESHOLD_GAIN * weight
                      * (fraction - (1 - _EV_SLOW_QUANTILE)));
        }
      thresholds->above_count[k] = 0;
      thresholds->below_count[k] = 0;
    }
}

/* Records one finished request.  Returns false when it is ignored: an earlier
   step, an engine without both versions, or a full table of routes.  */
bool
ev_record (ev_tracker *t, const ev_sample *sample, uint64_t now_us)
{
  if (sample->step != t->step || !sample->paired || sample->load >= EV_LOADS)
    return false;
  int index = _ev_find_or_add_route (t, sample->route);
  if (index < 0)
    return false;
  _ev_route *route = &t->routes[index];
  _ev_route_test *test = &route->local[sample->load];
  ev_counts *counts = &test->open[sample->new_version];
  if (test->opened_us == 0)
    test->opened_us = now_us > 0 ? now_us : 1;
  counts->seen[EV_FAILURE]++;
  counts->hits[EV_FAILURE] += sample->failed;
  if (!sample->failed)
    {
      _ev_thresholds *thresholds = &route->thresholds[sample->load];
      const _ev_thresholds *other = &route->thresholds[!sample->load];
      bool old = !sample->new_version;
      _ev_record_time (thresholds, other, counts, EV_SLOW_FIRST_TOKEN,
                       sample->first_token_us, old);
      _ev_record_time (thresholds, other, counts, EV_SLOW_INTER_TOKEN,
                       sample->inter_token_us, old);
    }
  return true;
}

/* Natural log of the likelihood ratio of the non-inferiority test: the old
   version's rate plus the margin against the old version's rate.  */
static double
_ev_non_inferiority_log_ratio (const ev_counts *old, const ev_counts *new,
                               ev_kind kind)
{
  double p0 = (old->hits[kind] + 0.5) / (old->seen[kind] + 1.0);
  double p1 = p0 + _ev_margins[kind];
  if (p1 >= 0.99)
    return 0;
  double hits = new->hits[kind];
  return hits * log (p1 / p0)
         + (new->seen[kind] - hits) * log ((1 - p1) / (1 - p0));
}

static bool
_ev_is_non_inferior (const ev_counts *old, const ev_counts *new, ev_kind kind,
                     double log_beta)
{
  /* Neither version has samples of this kind (a service without tokens).  */
  if (old->seen[kind] == 0 && new->seen[kind] == 0)
    return kind != EV_FAILURE;
  return old->seen[kind] >= _EV_MIN_OLD_SAMPLES
         && _ev_non_inferiority_log_ratio (old, new, kind) <= log_beta;
}

static double
_ev_log_mixture (const _ev_route_test *test, ev_kind kind)
{
  double sum = -INFINITY;
  for (int r = 0; r < _EV_ODDS; r++)
    sum = _ev_log_add (sum, test->log_mixture[kind][r]);
  return sum - log (_EV_ODDS);
}

/* ln of the boundary for the route at INDEX.  Half of alpha is for the local
   counts and a quarter for the merged counts of each receiver; the rest of the
   division is by 3 kinds, 2 levels, and 1 / ((i + 1) (i + 2)) for the i-th
   route, which sums to at most 1.  */
static double
_ev_boundary (const ev_tracker *t, uint32_t index, bool local)
{
  return t->log_alpha
         + log ((local ? 2.0 : 2.0 * EV_STREAMS) * EV_KINDS * EV_LOADS)
         + log ((index + 1.0) * (index + 2.0)) + (local ? t->log_vms : 0);
}

/* Updates the test for a bad version with a stratum of OLD and NEW.  */
static void
_ev_test_stratum (const ev_tracker *t, _ev_route_test *test,
                  const ev_counts *old, const ev_counts *new, uint32_t index,
                  ev_load load, bool local, ev_result *result)
{
  for (int k = 0; k < EV_KINDS; k++)
    {
      uint32_t hits = old->hits[k] + new->hits[k];
      uint32_t seen = old->seen[k] + new->seen[k];
      if (old->seen[k] == 0 || new->seen[k] == 0 || hits == 0 || hits == seen)
        continue;
      double n = test->informative[k]++;
      double log_weight = n == 0 ? log (0.5) : log (0.5 / (n * (n + 1)));
      for (int r = 0; r < _EV_ODDS; r++)
        test->log_mixture[k][r]
            = _ev_log_add (test->log_mixture[k][r], log_weight)
              + ev_log_ratio (new->seen[k], new->hits[k], old->seen[k],
                              old->hits[k], _ev_odds[r]);
      double evidence = _ev_log_mixture (test, k);
      if (result->verdict != EV_BAD
          && evidence >= _ev_boundary (t, index, local))
        {
          result->verdict = EV_BAD;
          result->reason.kind = k;
          result->reason.load = load;
          result->reason.route = t->routes[index].name;
          result->reason.old_counts = test->step[0];
          result->reason.new_counts = test->step[1];
          result->reason.log_evidence = evidence;
        }
    }
}

/* Closes the open stratum of TEST and updates both tests.  */
static void
_ev_close_stratum (const ev_tracker *t, _ev_route_test *test, uint32_t index,
                   ev_load load, bool local, ev_result *result)
{
  _ev_add (&test->step[0], &test->open[0]);
  _ev_add (&test->step[1], &test->open[1]);
  _ev_test_stratum (t, test, &test->open[0], &test->open[1], index, load,
                    local, result);
  for (int k = 0; k < EV_KINDS; k++)
    if (!test->passed[k])
      test->passed[k] = _ev_is_non_inferior (&test->step[0], &test->step[1], k,
                                             t->log_beta);
  memset (test->open, 0, sizeof test->open);
  test->opened_us = 0;
}

/* Closes the stratum of the step before.  It does not enter the
   non-inferiority test, which restarts with each step.  */
static void
_ev_close_previous_step (ev_tracker *t, _ev_route_test *test, uint32_t index,
                         ev_load load)
{
  _ev_test_stratum (t, test, &test->previous[0], &test->previous[1], index,
                    load, false, &t->merged);
  memset (test->previous, 0, sizeof test->previous);
  test->previous_opened_us = 0;
}

/* Saves the counts of ROUTE that were not sent on STREAM when the step
   ends.  */
static void
_ev_save_unsent (_ev_route *route, ev_load load, int stream)
{
  for (int v = 0; v < 2; v++)
    {
      ev_counts *unsent = &route->unsent_previous[stream][load][v];
      *unsent = route->local[load].step[v];
      _ev_sub (unsent, &route->sent[stream][load][v]);
      memset (&route->sent[stream][load][v], 0, sizeof *unsent);
    }
}

/* Starts STEP: the counts and the non-inferiority test restart, the test for a
   bad version goes on.  Open strata are closed, and counts of the step before
   that were not sent yet are still sent, as strata of their own; the time of a
   step change does not depend on the results of these requests.  Requests that
   were dispatched in an earlier step and end later are ignored: the traffic
   share differed, and with it the split of requests that are alike.  */
void
ev_begin_step (ev_tracker *t, uint32_t step, uint64_t now_us)
{
  if (step == t->step && t->step_began_us != 0)
    return;
  t->previous_step = t->step;
  t->step = step;
  t->step_began_us = now_us > 0 ? now_us : 1;
  for (uint32_t i = 0; i < t->route_count; i++)
    for (int l = 0; l < EV_LOADS; l++)
      {
        _ev_route *route = &t->routes[i];
        _ev_close_stratum (t, &route->local[l], i, l, true, &t->local);
        _ev_move_thresholds (&route->thresholds[l]);
        _ev_close_previous_step (t, &route->merged[l], i, l);
        _ev_close_stratum (t, &route->merged[l], i, l, false, &t->merged);
        for (int m = 0; m < EV_STREAMS; m++)
          _ev_save_unsent (route, l, m);
        _ev_reset_counts (&route->local[l]);
        _ev_reset_counts (&route->merged[l]);
      }
}

static bool
_ev_stratum_is_full (const _ev_route_test *test, uint64_t now_us)
{
  if (test->opened_us == 0)
    return false;
  uint32_t old = test->open[0].seen[EV_FAILURE];
  uint32_t new = test->open[1].seen[EV_FAILURE];
  uint64_t age_us = now_us - test->opened_us;
  return (old > 0 && new > 0
          && (old + new >= _EV_STRATUM_REQUESTS || age_us >= _EV_STRATUM_US))
         || age_us >= _EV_STRATUM_MAX_US;
}

/* Closes the strata that are due and updates the verdicts.  Call it every 100
   to 500 ms.  */
void
ev_tick (ev_tracker *t, uint64_t now_us)
{
  for (uint32_t i = 0; i < t->route_count; i++)
    for (int l = 0; l < EV_LOADS; l++)
      {
        _ev_route *route = &t->routes[i];
        if (_ev_stratum_is_full (&route->local[l], now_us))
          {
            _ev_close_stratum (t, &route->local[l], i, l, true, &t->local);
            _ev_move_thresholds (&route->thresholds[l]);
          }
        if (_ev_stratum_is_full (&route->merged[l], now_us))
          _ev_close_stratum (t, &route->merged[l], i, l, false, &t->merged);
        if (route->merged[l].previous_opened_us != 0
            && now_us - route->merged[l].previous_opened_us >= _EV_STRATUM_US)
          _ev_close_previous_step (t, &route->merged[l], i, l);
      }
}

/* Index of the stream of TERM; a new term gets the least recently used
   stream.  */
static int
_ev_find_stream (ev_tracker *t, uint64_t term)
{
  int oldest = 0;
  for (int i = 0; i < EV_STREAMS; i++)
    {
      if (t->streams[i].term == term)
        {
          oldest = i;
          break;
        }
      if (t->streams[i].last_use < t->streams[oldest].last_use)
        oldest = i;
    }
  _ev_stream *stream = &t->streams[oldest];
  stream->last_use = ++t->stream_uses;
  if (stream->term == term)
    return oldest;
  stream->term = term;
  stream->seq = 0;
  for (uint32_t i = 0; i < t->route_count; i++)
    {
      memset (t->routes[i].sent[oldest], 0, sizeof t->routes[i].sent[oldest]);
      memset (t->routes[i].unsent_previous[oldest], 0,
              sizeof t->routes[i].unsent_previous[oldest]);
    }
  return oldest;
}

/* Adds the row of ROUTE at LOAD to OUT, unless it is empty.  */
static void
_ev_add_row (ev_delta *out, const _ev_route *route, ev_load load,
             const ev_counts counts[2])
{
  if (counts[0].seen[EV_FAILURE] == 0 && counts[1].seen[EV_FAILURE] == 0)
    return;
  out->rows[out->row_count++] = (ev_row){ .route = route->name,
                                          .load = load,
                                          .old_counts = counts[0],
                                          .new_counts = counts[1] };
}

/* Fills OUT with the requests recorded since the last call for the same TERM,
   or with all counts of the current step when TERM is new.  Unsent counts of
   the step before come first, so call it until it returns false.  Up to
   EV_STREAMS terms are tracked.  Returns false when there is nothing to
   send.  */
bool
ev_take_delta (ev_tracker *t, uint64_t sender, uint64_t term, ev_delta *out)
{
  int m = _ev_find_stream (t, term);
  out->sender = sender;
  out->term = term;
  out->step = t->previous_step;
  out->row_count = 0;
  for (uint32_t i = 0; i < t->route_count; i++)
    for (int l = 0; l < EV_LOADS; l++)
      {
        ev_counts *unsent_previous = t->routes[i].unsent_previous[m][l];
        _ev_add_row (out, &t->routes[i], l, unsent_previous);
        memset (unsent_previous, 0, sizeof t->routes[i].unsent_previous[m][l]);
      }
  if (out->row_count > 0)
    {
      out->seq = ++t->streams[m].seq;
      return true;
    }
  out->step = t->step;
  for (uint32_t i = 0; i < t->route_count; i++)
    for (int l = 0; l < EV_LOADS; l++)
      {
        _ev_route *route = &t->routes[i];
        const _ev_route_test *test = &route->local[l];
        ev_counts now[2] = { test->step[0], test->step[1] };
        _ev_add (&now[0], &test->open[0]);
        _ev_add (&now[1], &test->open[1]);
        ev_counts news[2] = { now[0], now[1] };
        _ev_sub (&news[0], &route->sent[m][l][0]);
        _ev_sub (&news[1], &route->sent[m][l][1]);
        _ev_add_row (out, route, l, news);
        memcpy (route->sent[m][l], now, sizeof now);
      }
  if (out->row_count == 0)
    return false;
  out->seq = ++t->streams[m].seq;
  return true;
}

static _ev_sender *
_ev_find_or_add_sender (ev_tracker *t, uint64_t sender)
{
  for (uint32_t i = 0; i < t->max_senders; i++)
    {
      _ev_sender *s = &t->senders[(sender + i) % t->max_senders];
      if (s->sender == sender)
        return s;
      if (s->sender == 0)
        {
          s->sender = sender;
          t->sender_count++;
          return s;
        }
    }
  return NULL;
}

static bool
_ev_validate_counts (const ev_counts *c)
{
  for (int k = 0; k < EV_KINDS; k++)
    if (c->hits[k] > c->seen[k] || c->seen[k] > c->seen[EV_FAILURE])
      return false;
  return true;
}

static bool
_ev_validate_delta (const ev_delta *d)
{
  if (d->sender == 0 || d->row_count > EV_MAX_ROUTES * EV_LOADS)
    return false;
  for (uint32_t i = 0; i < d->row_count; i++)
    if (d->rows[i].load >= EV_LOADS
        || !_ev_validate_counts (&d->rows[i].old_counts)
        || !_ev_validate_counts (&d->rows[i].new_counts))
      return false;
  return true;
}

/* Adds DELTA to the merged counts.  A delta is added at most once: its
   sequence number has to be above the last one of its sender.  One that
   arrives after a later one is dropped, which removes both versions' requests
   alike.  */
ev_merge_result
ev_merge (ev_tracker *t, const ev_delta *delta, uint64_t now_us)
{
  if (!_ev_validate_delta (delta))
    return EV_MALFORMED;
  if (delta->term != t->term)
    return EV_OTHER_TERM;
  _ev_sender *sender = _ev_find_or_add_sender (t, delta->sender);
  if (sender == NULL)
    return EV_SENDERS_FULL;
  if (delta->seq <= sender->seq)
    return EV_DUPLICATE;
  sender->seq = delta->seq;
  bool is_previous = delta->step == t->previous_step && delta->step != t->step;
  if (delta->step != t->step && !is_previous)
    return EV_OTHER_STEP;
  ev_merge_result result = EV_MERGED;
  for (uint32_t i = 0; i < delta->row_count; i++)
    {
      const ev_row *row = &delta->rows[i];
      int index = _ev_find_or_add_route (t, st_name_str (&row->route));
      if (index < 0)
        {
          result = EV_ROUTES_FULL;
          continue;
        }
      _ev_route_test *test = &t->routes[index].merged[row->load];
      uint64_t *since_us
          = is_previous ? &test->previous_opened_us : &test->opened_us;
      ev_counts *counts = is_previous ? test->previous : test->open;
      if (*since_us == 0)
        *since_us = now_us > 0 ? now_us : 1;
      _ev_add (&counts[0], &row->old_counts);
      _ev_add (&counts[1], &row->new_counts);
    }
  return result;
}

/* Verdict of this VM's own requests: EV_BAD or EV_UNDECIDED.  */
ev_result
ev_query_local (const ev_tracker *t)
{
  return t->local;
}

/* Verdict of the merged counts: EV_BAD once the boundary was crossed, EV_GOOD
   when every route with traffic passed at the levels that occurred in this
   step, else EV_UNDECIDED.  */
ev_result
ev_query_merged (const ev_tracker *t)
{
  ev_result result = t->merged;
  if (result.verdict == EV_BAD)
    return result;
  uint32_t route_tests = 0;
  uint32_t passed = 0;
  for (int l = 0; l < EV_LOADS; l++)
    {
      ev_progress p = ev_query_progress (t, l, 0, UINT64_MAX);
      route_tests += p.route_tests;
      passed += p.passed;
    }
  if (route_tests > 0 && passed == route_tests)
    result.verdict = EV_GOOD;
  return result;
}

/* Number of requests of the new version that the non-inferiority test needs to
   pass when the new version has the old version's rate.  */
static double
_ev_needed_requests (const ev_counts *old, ev_kind kind, double log_beta)
{
  double p0 = (old->hits[kind] + 0.5) / (old->seen[kind] + 1.0);
  double p1 = p0 + _ev_margins[kind];
  if (p1 >= 0.99)
    return INFINITY;
  double drift = p0 * log (p1 / p0) + (1 - p0) * log ((1 - p1) / (1 - p0));
  return drift < 0 ? log_beta / drift : INFINITY;
}

/* Progress of the non-inferiority test at LOAD in the merged counts.  A route
   test is sparse when its request rate in this step so far will not give the
   requests needed before UNTIL_US.  */
ev_progress
ev_query_progress (const ev_tracker *t, ev_load load, uint64_t now_us,
                   uint64_t until_us)
{
  ev_progress p = { 0 };
  ev_counts sum[2] = { 0 };
  double elapsed
      = now_us > t->step_began_us ? (double)(now_us - t->step_began_us) : 1;
  double left = until_us > now_us ? (double)(until_us - now_us) : 0;
  for (uint32_t i = 0; i < t->route_count; i++)
    {
      const _ev_route_test *test = &t->routes[i].merged[load];
      const ev_counts *old = &test->step[0];
      const ev_counts *new = &test->step[1];
      if (old->seen[EV_FAILURE] + new->seen[EV_FAILURE] == 0)
        continue;
      p.route_tests++;
      bool passed = true;
      bool sparse = false;
      bool ample = false;
      for (int k = 0; k < EV_KINDS; k++)
        if (!test->passed[k])
          {
            passed = false;
            double seen = new->seen[k];
            double projected = seen + seen / elapsed * left;
            if (seen >= EV_AMPLE_SAMPLES)
              ample = true;
            if (projected < 2 * _ev_needed_requests (old, k, t->log_beta)
                && seen < EV_AMPLE_SAMPLES)
              sparse = true;
          }
      if (passed)
        p.passed++;
      else if (sparse)
        {
          p.sparse++;
          _ev_add (&sum[0], old);
          _ev_add (&sum[1], new);
        }
      else
        {
          p.undecided++;
          p.inconclusive += ample;
        }
    }
  p.sparse_passed = p.sparse > 0;
  for (int k = 0; k < EV_KINDS; k++)
    if (!_ev_is_non_inferior (&sum[0], &sum[1], k, t->log_beta))
      p.sparse_passed = false;
  return p;
}
