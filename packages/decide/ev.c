#include "ev.h"

#include <math.h>
#include <string.h>

#define _EV_DEFAULT_ALPHA 0.001
#define _EV_DEFAULT_BETA 0.01
#define _EV_DEFAULT_VMS 9
#define _EV_DEFAULT_ROUTES 16
#define _EV_DEFAULT_SENDERS 64
#define _EV_ODDS 3

/* A stratum closes when it holds this many requests, or at this age when it
   holds both versions, or at the longest age.  All three depend on the
   traffic only, never on the fate of the requests, which keeps the split of
   the failures hypergeometric.  The ages bound the delay of a verdict; a
   stratum with one version only tells nothing, so it may stay open.  */
#define _EV_STRATUM_REQUESTS 64
#define _EV_STRATUM_US 500000
#define _EV_STRATUM_MAX_US 8000000

/* Old-version samples before the slowness threshold of a cell is used.  */
#define _EV_WARM_SAMPLES 10
/* Quantile of the old version's times above which a request is slow.  */
#define _EV_QUANTILE 0.9
/* Step of the threshold for each sample, as a fraction.  0.05 follows a
   change of load within some 50 requests and keeps the noise near 10%.  */
#define _EV_GAIN 0.05
/* Old-version requests without which the test for good does not pass.  */
#define _EV_MIN_OLD 20

static const double _ev_odds[_EV_ODDS] = { 3, 12, 100 };
static const double _ev_margin[EV_KINDS] = { 0.05, 0.10, 0.10 };

typedef struct
{
  ev_counts step[2];  /* 0 old, 1 new: closed strata of this step */
  ev_counts open[2];  /* stratum in progress */
  uint64_t opened_us; /* 0 when the open stratum is empty */
  ev_counts late[2];  /* merged: stratum of the step before, told late */
  uint64_t late_us;   /* 0 when it is empty */
  double log_s[EV_KINDS][_EV_ODDS]; /* mixture over the start of the fault */
  uint32_t informative[EV_KINDS];   /* strata that moved log_s */
  bool passed[EV_KINDS];            /* test for good, this step */
} _ev_cell;

typedef struct
{
  double threshold_us[EV_KINDS]; /* slower is slow; learned from old only */
  uint32_t warm[EV_KINDS];
  uint32_t above[EV_KINDS]; /* old samples of the open stratum */
  uint32_t below[EV_KINDS];
} _ev_speed;

typedef struct
{
  st_name name;
  _ev_cell local[EV_LOADS];
  _ev_cell merged[EV_LOADS];
  _ev_speed speed[EV_LOADS];
  /* Part of the local counts already sent on each stream, and the rest of the
     step before.  */
  ev_counts sent[EV_STREAMS][EV_LOADS][2];
  ev_counts rest[EV_STREAMS][EV_LOADS][2];
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
  uint32_t step_before;
  uint64_t step_began_us;
  uint64_t term; /* of the merged book */
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
   distribution.  0 when the stratum tells nothing.  The cost is linear in
   the smaller of hits and new requests.  */
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
  double plain = -INFINITY;
  double tilted = -INFINITY;
  for (uint64_t i = lo; i <= hi; i++)
    {
      double x = (double)i;
      plain = _ev_log_add (plain, term);
      tilted = _ev_log_add (tilted, term + x * log_odds);
      term += log ((new_seen - x) * (hits - x)
                   / ((x + 1) * (old_seen - hits + x + 1)));
    }
  return new_hits * log_odds - (tilted - plain);
}

/* Makes a tracker; all memory is taken here.  */
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

/* Sets the number of VMs that share the false alarms of the local rule.  */
void
ev_set_vms (ev_tracker *t, uint32_t vms)
{
  t->log_vms = log (vms > 0 ? vms : 1);
}

static void
_ev_reset_mixture (_ev_cell *cell)
{
  for (int k = 0; k < EV_KINDS; k++)
    {
      for (int r = 0; r < _EV_ODDS; r++)
        cell->log_s[k][r] = -INFINITY;
      cell->informative[k] = 0;
    }
}

static void
_ev_reset_counts (_ev_cell *cell)
{
  memset (cell->step, 0, sizeof cell->step);
  memset (cell->open, 0, sizeof cell->open);
  memset (cell->late, 0, sizeof cell->late);
  memset (cell->passed, 0, sizeof cell->passed);
  cell->opened_us = 0;
  cell->late_us = 0;
}

/* Starts the test of VERSION.  Does nothing when it is under test already;
   else verdicts and counts are forgotten.  The old version's speed is kept,
   and so are the sequence numbers, since a VM may start later than others.  */
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
            memset (route->rest[m][l], 0, sizeof route->rest[m][l]);
          }
      }
}

/* Starts the merged book for the controller's fencing number TERM.  The VMs
   send all counts of the current step again to a new term, so nothing may be
   kept of an earlier one.  */
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
_ev_find_route (ev_tracker *t, st_str name)
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

/* Learns the first threshold from the largest of the first old samples, about
   their 90th percentile.  Any threshold that both versions share keeps the
   test exact, so a rough one costs sensitivity only.  */
static void
_ev_warm_up (_ev_speed *speed, ev_kind kind, uint64_t time_us)
{
  if (speed->threshold_us[kind] < (double)time_us)
    speed->threshold_us[kind] = (double)time_us;
  speed->warm[kind]++;
}

/* Adds one time to COUNTS.  Until the load level's own threshold is known,
   FALLBACK (the other level's) is used.  */
static void
_ev_record_time (_ev_speed *speed, const _ev_speed *fallback,
                 ev_counts *counts, ev_kind kind, uint64_t time_us, bool old)
{
  if (time_us == 0)
    return;
  double threshold_us = speed->threshold_us[kind];
  bool warm = speed->warm[kind] >= _EV_WARM_SAMPLES;
  if (!warm)
    {
      if (old)
        _ev_warm_up (speed, kind, time_us);
      if (fallback->warm[kind] < _EV_WARM_SAMPLES)
        return;
      threshold_us = fallback->threshold_us[kind];
    }
  bool slow = (double)time_us > threshold_us;
  counts->seen[kind]++;
  counts->hits[kind] += slow;
  counts->sum_us[kind] += time_us;
  if (warm && old)
    {
      if (slow)
        speed->above[kind]++;
      else
        speed->below[kind]++;
    }
}

/* Moves the thresholds of a cell towards the old version's quantile.  Done
   between strata, so that one threshold holds within a stratum.  The number
   of samples that count is capped: a stratum may be large at high rates.  */
static void
_ev_move_thresholds (_ev_speed *speed)
{
  for (int k = EV_SLOW_FIRST_TOKEN; k < EV_KINDS; k++)
    {
      double n = (double)speed->above[k] + speed->below[k];
      if (n > 0)
        {
          double fraction = speed->above[k] / n;
          double weight = n < 20 ? n : 20;
          speed->threshold_us[k]
              *= exp (_EV_GAIN * weight * (fraction - (1 - _EV_QUANTILE)));
        }
      speed->above[k] = 0;
      speed->below[k] = 0;
    }
}

/* Records one finished request.  False when it is left out: an earlier step,
   an engine without both versions, or a full table of routes.  */
bool
ev_record (ev_tracker *t, const ev_sample *sample, uint64_t now_us)
{
  if (sample->step != t->step || !sample->paired || sample->load >= EV_LOADS)
    return false;
  int index = _ev_find_route (t, sample->route);
  if (index < 0)
    return false;
  _ev_route *route = &t->routes[index];
  _ev_cell *cell = &route->local[sample->load];
  ev_counts *counts = &cell->open[sample->new_version];
  if (cell->opened_us == 0)
    cell->opened_us = now_us > 0 ? now_us : 1;
  counts->seen[EV_FAILURE]++;
  counts->hits[EV_FAILURE] += sample->failed;
  if (!sample->failed)
    {
      _ev_speed *speed = &route->speed[sample->load];
      const _ev_speed *other = &route->speed[!sample->load];
      bool old = !sample->new_version;
      _ev_record_time (speed, other, counts, EV_SLOW_FIRST_TOKEN,
                       sample->first_token_us, old);
      _ev_record_time (speed, other, counts, EV_SLOW_INTER_TOKEN,
                       sample->inter_token_us, old);
    }
  return true;
}

/* Log likelihood ratio of the test for good: the old version's rate plus the
   margin against the old version's rate.  */
static double
_ev_good_ratio (const ev_counts *old, const ev_counts *new, ev_kind kind)
{
  double p0 = (old->hits[kind] + 0.5) / (old->seen[kind] + 1.0);
  double p1 = p0 + _ev_margin[kind];
  if (p1 >= 0.99)
    return 0;
  double hits = new->hits[kind];
  return hits * log (p1 / p0)
         + (new->seen[kind] - hits) * log ((1 - p1) / (1 - p0));
}

static bool
_ev_passes (const ev_counts *old, const ev_counts *new, ev_kind kind,
            double log_beta)
{
  /* A kind that neither version shows (a service without tokens).  */
  if (old->seen[kind] == 0 && new->seen[kind] == 0)
    return kind != EV_FAILURE;
  return old->seen[kind] >= _EV_MIN_OLD
         && _ev_good_ratio (old, new, kind) <= log_beta;
}

static double
_ev_log_mixture (const _ev_cell *cell, ev_kind kind)
{
  double sum = -INFINITY;
  for (int r = 0; r < _EV_ODDS; r++)
    sum = _ev_log_add (sum, cell->log_s[kind][r]);
  return sum - log (_EV_ODDS);
}

/* ln of the boundary for the route at INDEX.  Half of alpha is for the local
   books and a quarter for the merged book of each receiver; then 3 kinds,
   2 levels, and 1 / ((i + 1) (i + 2)) for the i-th route, which sums to at
   most 1.  */
static double
_ev_boundary (const ev_tracker *t, uint32_t index, bool local)
{
  return t->log_alpha
         + log ((local ? 2.0 : 2.0 * EV_STREAMS) * EV_KINDS * EV_LOADS)
         + log ((index + 1.0) * (index + 2.0)) + (local ? t->log_vms : 0);
}

/* Updates the test for bad with a stratum of OLD and NEW.  */
static void
_ev_test_stratum (const ev_tracker *t, _ev_cell *cell, const ev_counts *old,
                  const ev_counts *new, uint32_t index, ev_load load,
                  bool local, ev_result *result)
{
  for (int k = 0; k < EV_KINDS; k++)
    {
      uint32_t hits = old->hits[k] + new->hits[k];
      uint32_t seen = old->seen[k] + new->seen[k];
      if (old->seen[k] == 0 || new->seen[k] == 0 || hits == 0 || hits == seen)
        continue;
      double n = cell->informative[k]++;
      double log_weight = n == 0 ? log (0.5) : log (0.5 / (n * (n + 1)));
      for (int r = 0; r < _EV_ODDS; r++)
        cell->log_s[k][r]
            = _ev_log_add (cell->log_s[k][r], log_weight)
              + ev_log_ratio (new->seen[k], new->hits[k], old->seen[k],
                              old->hits[k], _ev_odds[r]);
      double evidence = _ev_log_mixture (cell, k);
      if (result->verdict != EV_BAD
          && evidence >= _ev_boundary (t, index, local))
        {
          result->verdict = EV_BAD;
          result->reason.kind = k;
          result->reason.load = load;
          result->reason.route = t->routes[index].name;
          result->reason.old_counts = cell->step[0];
          result->reason.new_counts = cell->step[1];
          result->reason.log_evidence = evidence;
        }
    }
}

/* Closes the open stratum of CELL and updates both tests.  */
static void
_ev_close_stratum (const ev_tracker *t, _ev_cell *cell, uint32_t index,
                   ev_load load, bool local, ev_result *result)
{
  _ev_add (&cell->step[0], &cell->open[0]);
  _ev_add (&cell->step[1], &cell->open[1]);
  _ev_test_stratum (t, cell, &cell->open[0], &cell->open[1], index, load,
                    local, result);
  for (int k = 0; k < EV_KINDS; k++)
    if (!cell->passed[k])
      cell->passed[k]
          = _ev_passes (&cell->step[0], &cell->step[1], k, t->log_beta);
  memset (cell->open, 0, sizeof cell->open);
  cell->opened_us = 0;
}

/* Closes the stratum of the step before.  The test for good does not see it:
   it starts anew with each step.  */
static void
_ev_close_late (ev_tracker *t, _ev_cell *cell, uint32_t index, ev_load load)
{
  _ev_test_stratum (t, cell, &cell->late[0], &cell->late[1], index, load,
                    false, &t->merged);
  memset (cell->late, 0, sizeof cell->late);
  cell->late_us = 0;
}

/* Keeps what STREAM has not been told of the counts of ROUTE, as the step
   ends.  */
static void
_ev_keep_rest (_ev_route *route, ev_load load, int stream)
{
  for (int v = 0; v < 2; v++)
    {
      ev_counts *rest = &route->rest[stream][load][v];
      *rest = route->local[load].step[v];
      _ev_sub (rest, &route->sent[stream][load][v]);
      memset (&route->sent[stream][load][v], 0, sizeof *rest);
    }
}

/* Starts STEP: the counts and the test for good start anew, the test for bad
   goes on.  Open strata are closed, and what has not been told of the step
   before still is, as strata of its own; the time of a step does not depend
   on the fate of these requests.  Requests that were dispatched in an earlier
   step and end later are left out: the share differed, and with it the split
   of requests that are alike.  */
void
ev_begin_step (ev_tracker *t, uint32_t step, uint64_t now_us)
{
  if (step == t->step && t->step_began_us != 0)
    return;
  t->step_before = t->step;
  t->step = step;
  t->step_began_us = now_us > 0 ? now_us : 1;
  for (uint32_t i = 0; i < t->route_count; i++)
    for (int l = 0; l < EV_LOADS; l++)
      {
        _ev_route *route = &t->routes[i];
        _ev_close_stratum (t, &route->local[l], i, l, true, &t->local);
        _ev_move_thresholds (&route->speed[l]);
        _ev_close_late (t, &route->merged[l], i, l);
        _ev_close_stratum (t, &route->merged[l], i, l, false, &t->merged);
        for (int m = 0; m < EV_STREAMS; m++)
          _ev_keep_rest (route, l, m);
        _ev_reset_counts (&route->local[l]);
        _ev_reset_counts (&route->merged[l]);
      }
}

static bool
_ev_stratum_is_full (const _ev_cell *cell, uint64_t now_us)
{
  if (cell->opened_us == 0)
    return false;
  uint32_t old = cell->open[0].seen[EV_FAILURE];
  uint32_t new = cell->open[1].seen[EV_FAILURE];
  uint64_t age_us = now_us - cell->opened_us;
  return (old > 0 && new > 0
          && (old + new >= _EV_STRATUM_REQUESTS || age_us >= _EV_STRATUM_US))
         || age_us >= _EV_STRATUM_MAX_US;
}

/* Closes the strata that are due and updates the verdicts.  Call it every
   100 to 500 ms.  */
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
            _ev_move_thresholds (&route->speed[l]);
          }
        if (_ev_stratum_is_full (&route->merged[l], now_us))
          _ev_close_stratum (t, &route->merged[l], i, l, false, &t->merged);
        if (route->merged[l].late_us != 0
            && now_us - route->merged[l].late_us >= _EV_STRATUM_US)
          _ev_close_late (t, &route->merged[l], i, l);
      }
}

/* Stream of TERM; a new term takes the stream that was unused longest.  */
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
      memset (t->routes[i].rest[oldest], 0, sizeof t->routes[i].rest[oldest]);
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

/* Fills OUT with what was recorded since the last call for the same TERM, or
   with all counts of the current step when TERM is new.  What is left of the
   step before comes first, so that the caller asks again until there is
   nothing.  Up to EV_STREAMS terms are kept.  False when there is nothing to
   send.  */
bool
ev_take_delta (ev_tracker *t, uint64_t sender, uint64_t term, ev_delta *out)
{
  int m = _ev_find_stream (t, term);
  out->sender = sender;
  out->term = term;
  out->step = t->step_before;
  out->row_count = 0;
  for (uint32_t i = 0; i < t->route_count; i++)
    for (int l = 0; l < EV_LOADS; l++)
      {
        ev_counts *rest = t->routes[i].rest[m][l];
        _ev_add_row (out, &t->routes[i], l, rest);
        memset (rest, 0, sizeof t->routes[i].rest[m][l]);
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
        const _ev_cell *cell = &route->local[l];
        ev_counts now[2] = { cell->step[0], cell->step[1] };
        _ev_add (&now[0], &cell->open[0]);
        _ev_add (&now[1], &cell->open[1]);
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
_ev_find_sender (ev_tracker *t, uint64_t sender)
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

/* Merges DELTA into the merged book.  A delta is counted at most once: its
   sequence number has to be above the last one of its sender.  One that
   arrives after a later one is left out, which removes both versions'
   requests alike.  */
ev_merge_result
ev_merge (ev_tracker *t, const ev_delta *delta, uint64_t now_us)
{
  if (!_ev_validate_delta (delta))
    return EV_MALFORMED;
  if (delta->term != t->term)
    return EV_OTHER_TERM;
  _ev_sender *sender = _ev_find_sender (t, delta->sender);
  if (sender == NULL)
    return EV_SENDERS_FULL;
  if (delta->seq <= sender->seq)
    return EV_DUPLICATE;
  sender->seq = delta->seq;
  bool late = delta->step == t->step_before && delta->step != t->step;
  if (delta->step != t->step && !late)
    return EV_OTHER_STEP;
  ev_merge_result result = EV_MERGED;
  for (uint32_t i = 0; i < delta->row_count; i++)
    {
      const ev_row *row = &delta->rows[i];
      int index = _ev_find_route (t, st_name_str (&row->route));
      if (index < 0)
        {
          result = EV_ROUTES_FULL;
          continue;
        }
      _ev_cell *cell = &t->routes[index].merged[row->load];
      uint64_t *since_us = late ? &cell->late_us : &cell->opened_us;
      ev_counts *counts = late ? cell->late : cell->open;
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

/* Verdict of the merged book: EV_BAD once the boundary was crossed, EV_GOOD
   when every route with traffic passed at the levels that occurred in this
   step, else EV_UNDECIDED.  */
ev_result
ev_query_merged (const ev_tracker *t)
{
  ev_result result = t->merged;
  if (result.verdict == EV_BAD)
    return result;
  uint32_t cells = 0;
  uint32_t passed = 0;
  for (int l = 0; l < EV_LOADS; l++)
    {
      ev_progress p = ev_query_progress (t, l, 0, UINT64_MAX);
      cells += p.cells;
      passed += p.passed;
    }
  if (cells > 0 && passed == cells)
    result.verdict = EV_GOOD;
  return result;
}

/* Requests that the test for good needs in a cell, when the new version has
   the old version's rate.  */
static double
_ev_needed (const ev_counts *old, ev_kind kind, double log_beta)
{
  double p0 = (old->hits[kind] + 0.5) / (old->seen[kind] + 1.0);
  double p1 = p0 + _ev_margin[kind];
  if (p1 >= 0.99)
    return INFINITY;
  double drift = p0 * log (p1 / p0) + (1 - p0) * log ((1 - p1) / (1 - p0));
  return drift < 0 ? log_beta / drift : INFINITY;
}

/* Progress of the test for good at LOAD in the merged book.  A cell is sparse
   when its rate so far in this step will not give the requests needed before
   UNTIL_US.  */
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
      const _ev_cell *cell = &t->routes[i].merged[load];
      const ev_counts *old = &cell->step[0];
      const ev_counts *new = &cell->step[1];
      if (old->seen[EV_FAILURE] + new->seen[EV_FAILURE] == 0)
        continue;
      p.cells++;
      bool passed = true;
      bool sparse = false;
      bool ample = false;
      for (int k = 0; k < EV_KINDS; k++)
        if (!cell->passed[k])
          {
            passed = false;
            double seen = new->seen[k];
            double projected = seen + seen / elapsed * left;
            if (seen >= EV_AMPLE_SAMPLES)
              ample = true;
            if (projected < 2 * _ev_needed (old, k, t->log_beta)
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
          p.unclear += ample;
        }
    }
  p.sparse_passed = p.sparse > 0;
  for (int k = 0; k < EV_KINDS; k++)
    if (!_ev_passes (&sum[0], &sum[1], k, t->log_beta))
      p.sparse_passed = false;
  return p;
}
