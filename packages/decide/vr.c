#include "vr.h"

#include <math.h>

/* Share of the new version until the last phase, of 65536: 3%, less than a
   third of the share that a bad version may get.  */
#define _VR_SHARE 1966
/* The share, 8%, for a service, or a route, with so few requests that all VMs
   together have seen fewer to the new version after this fraction of the time.
   It is in force for few requests.  */
#define _VR_SHARE_FEW 5243
#define _VR_SEEN_ENOUGH 30
#define _VR_ROUTE_SEEN_ENOUGH 15
#define _VR_FEW_FRACTION 0.4
/* Share of the exposure where the order states none, and the fractions of the
   bounds that are used: a VM that restarts forgets what it has sent.  */
#define _VR_EXPOSURE_SHARE 0.1
#define _VR_EXPOSURE_SHARE_USED 0.9
#define _VR_EXPOSURE_SLACK_USED 0.8
/* Smallest part of the share that is used before the decision.  The rest is
   for the requests of the last phase, if a bad version is completed.  */
#define _VR_EXPOSURE_SHARE_MIN 0.4
/* Length of the load test: a fraction of the rollout, up to a maximum.  */
#define _VR_LOAD_TEST_FRACTION 0.25
#define _VR_LOAD_TEST_MAX_US 10000000
/* Length of the last phase, in which the controller decides: time for a write
   and for its way to all VMs.  With the share before, the whole traffic in it
   is under 10% of a rollout of 10 s.  */
#define _VR_LAST_PHASE_US 600000
/* The controller may be cut off from the store.  A deputy writes what has not
   come back by then: the decision, when this much of the last phase is left,
   and the running state, this long after the order.  */
#define _VR_DEPUTY_PHASE_US 300000
#define _VR_DEPUTY_START_US 1000000
/* Time after which a state is written again if it has not come back.  */
#define _VR_REWRITE_US 700000
/* Fewest failures, and fewest standard deviations above the old version's
   rate, at which the new version is bad.  */
#define _VR_BAD_MIN 4
#define _VR_BAD_DEVIATIONS 3.0
/* Failures beyond these deviations: the counts are judged after each request,
   and a few rare failures exceed them more often than many do.  */
#define _VR_BAD_MARGIN 1
/* A response is slow beyond this multiple of the old version's mean on its
   route, of the time until its first event plus the margin or of the time
   between events.  Upstreams of one version differ by less.  */
#define _VR_SLOW_FACTOR 2.5
#define _VR_SLOW_MARGIN_US 20000.0
/* Times are compared up to this many requests at the upstream beyond the old
   version's mean.  */
#define _VR_RUNNING_MARGIN 1
/* Requests to the old version on a route before any counts as slow.  */
#define _VR_ROUTE_SEEN_MIN 10
/* Fewest requests of all VMs to the new version for completion, and the
   greatest share of failures among them, beyond the old version's, which is
   too few to find it bad.  */
#define _VR_GOOD_MIN 8
#define _VR_GOOD_FAILED_MAX 0.1
/* Fraction of the old version's slots that the new one must have.  */
#define _VR_SLOTS_FRACTION 0.7
#define _VR_MEAN_WEIGHT 0.05

/* Adopts the stored state, if it was written after the order.  */
static void
_vr_apply_status (vr_rollout *r)
{
  if (r->status_revision > r->order_revision && r->target.len > 0
      && st_equal (st_name_str (&r->target), st_name_str (&r->status_target)))
    r->state = r->status;
}

/* Starts the rollout that ORDER requests; an order that is not newer is
   ignored.  */
void
vr_set_order (vr_rollout *r, const vr_order *order, uint64_t now_us)
{
  if (order->revision <= r->order_revision || order->target.len == 0)
    return;
  vr_rollout before = *r;
  *r = (vr_rollout){ .order_revision = order->revision,
                     .start_us = now_us,
                     .end_us = now_us + order->duration_us,
                     .state = VR_RUNNING,
                     .exposure_share = order->exposure_share > 0
                                           ? order->exposure_share
                                           : _VR_EXPOSURE_SHARE,
                     .exposure_slack = order->exposure_slack,
                     .stratum_count = 1,
                     .status_revision = before.status_revision,
                     .status_target = before.status_target,
                     .status = before.status };
  r->strata[0].own.key = r->strata[0].peers.key = VR_LOAD_TEST;
  st_name_set (&r->target, order->target);
  _vr_apply_status (r);
}

/* Adopts REVISION, at which the order was written again; the rollout goes
   on.  */
void
vr_renew_order (vr_rollout *r, uint64_t revision)
{
  if (revision > r->order_revision)
    r->order_revision = revision;
}

/* Adopts that the order is AGE_US old where this VM has read it later than
   others, as after a restart.  */
void
vr_set_age (vr_rollout *r, uint64_t age_us, uint64_t now_us)
{
  if (age_us > now_us || now_us - age_us >= r->start_us)
    return;
  uint64_t earlier_us = r->start_us - (now_us - age_us);
  r->start_us -= earlier_us;
  r->end_us -= earlier_us;
}

/* Stores the STATE of the rollout to TARGET, as written at REVISION.  */
void
vr_set_status (vr_rollout *r, st_str target, vr_state state, uint64_t revision)
{
  if (revision <= r->status_revision)
    return;
  r->status_revision = revision;
  r->status = state;
  st_name_set (&r->status_target, target);
  _vr_apply_status (r);
}

static bool
_vr_is_avoided (const vr_rollout *r)
{
  return r->state == VR_REVERTED || (r->state == VR_RUNNING && r->found_bad);
}

static const vr_stratum *
_vr_find_stratum (const vr_rollout *r, uint64_t key)
{
  for (uint32_t i = 0; i < r->stratum_count; i++)
    if (r->strata[i].own.key == key)
      return &r->strata[i];
  return NULL;
}

/* The stratum KEY, which is added if there is room; else NULL.  */
static vr_stratum *
_vr_add_stratum (vr_rollout *r, uint64_t key)
{
  vr_stratum *found = (vr_stratum *)_vr_find_stratum (r, key);
  if (found != NULL || key == VR_ALL || r->stratum_count == VR_STRATA_MAX)
    return found;
  found = &r->strata[r->stratum_count++];
  *found = (vr_stratum){ .own.key = key, .peers.key = key };
  return found;
}

/* True when another request to the new version keeps this VM's part of the
   bound on its exposure.  */
static bool
_vr_may_expose (const vr_rollout *r)
{
  double last_phase
      = (double)_VR_LAST_PHASE_US / (double)(r->end_us - r->start_us);
  double share = _VR_EXPOSURE_SHARE_USED * r->exposure_share - last_phase;
  if (share < _VR_EXPOSURE_SHARE_MIN * r->exposure_share)
    share = _VR_EXPOSURE_SHARE_MIN * r->exposure_share;
  return (double)r->target_sent + 1
         <= share * (double)(r->target_sent + r->other_sent + 1)
                + _VR_EXPOSURE_SLACK_USED * r->exposure_slack;
}

static uint32_t
_vr_share (const vr_rollout *r, uint64_t route)
{
  const vr_stratum *stratum = _vr_find_stratum (r, route);
  uint32_t seen = r->target_counts.seen + r->peer_target_counts.seen;
  bool few = seen < _VR_SEEN_ENOUGH
             || (stratum != NULL
                 && stratum->own.target.seen + stratum->peers.target.seen
                        < _VR_ROUTE_SEEN_ENOUGH);
  return r->few_phase && few ? _VR_SHARE_FEW : _VR_SHARE;
}

/* The versions for a request of ROUTE, the hash of its name; DRAW is uniform
   and is drawn once for the request.  */
vr_choice
vr_choose (const vr_rollout *r, uint64_t route, uint32_t draw)
{
  if (r->target.len == 0 || r->state == VR_NONE)
    return VR_ANY;
  if (_vr_is_avoided (r))
    return VR_OTHERS;
  /* The old upstreams stop on completion.  */
  if (r->state == VR_COMPLETED)
    return VR_TARGET;
  return (draw >> 8 & 0xffff) < _vr_share (r, route) && _vr_may_expose (r)
             ? VR_TARGET
             : VR_OTHERS;
}

/* True during the load test, while its requests keep the bound on the
   exposure.  */
bool
vr_in_load_test (const vr_rollout *r, uint64_t now_us)
{
  uint64_t length_us
      = (uint64_t)(_VR_LOAD_TEST_FRACTION * (double)(r->end_us - r->start_us));
  if (length_us > _VR_LOAD_TEST_MAX_US)
    length_us = _VR_LOAD_TEST_MAX_US;
  return r->target.len > 0 && r->state == VR_RUNNING && !r->found_bad
         && now_us + _VR_LAST_PHASE_US < r->end_us
         && now_us + _VR_LAST_PHASE_US + length_us >= r->end_us
         && _vr_may_expose (r);
}

/* True when a request with CHOICE may be sent to an upstream of VERSION.  */
bool
vr_allows (const vr_rollout *r, vr_choice choice, st_str version)
{
  bool is_target = st_equal (st_name_str (&r->target), version);
  switch (choice)
    {
    case VR_ANY:
      return true;
    case VR_TARGET:
      return is_target;
    case VR_OTHERS:
      return !is_target;
    }
  return true;
}

/* Share of failures of the old version at all VMs; above 0, so that a few
   failures of the new version are no surprise where nothing is known.  */
static double
_vr_old_rate (const vr_rollout *r)
{
  return (r->other_counts.failed + r->peer_other_counts.failed + 1.0)
         / (double)(r->other_counts.seen + r->peer_other_counts.seen + 20);
}

/* The rate that the failures in S are compared with: that of the load test
   has no slow responses, that of a route is used where the old version has
   served more than a few requests and fails more often than elsewhere.  */
static double
_vr_old_rate_of (const vr_rollout *r, const vr_stratum *s)
{
  uint32_t seen = s->own.other.seen + s->peers.other.seen;
  double rate
      = (s->own.other.failed + s->peers.other.failed + 1.0) / (seen + 20.0);
  double overall = _vr_old_rate (r);
  if (seen < _VR_ROUTE_SEEN_MIN)
    return overall;
  return s->own.key == VR_LOAD_TEST || rate > overall ? rate : overall;
}

static vr_counts
_vr_sum (const vr_counts *a, const vr_counts *b)
{
  return (vr_counts){ a->seen + b->seen, a->failed + b->failed };
}

/* Adopts that the new version is bad where the failures in COUNTS, those of
   the row KEY, exceed what the old version's RATE explains.  */
static void
_vr_judge_row (vr_rollout *r, uint64_t key, const vr_counts *counts,
               double rate)
{
  double expected = rate * counts->seen;
  if (r->found_bad || counts->failed < _VR_BAD_MIN
      || counts->failed <= expected + _VR_BAD_DEVIATIONS * sqrt (expected)
                               + _VR_BAD_MARGIN)
    return;
  r->found_bad = true;
  r->bad_key = key;
}

/* Judges the new version by its failures in all, on each route and in the load
   test.  */
static void
_vr_judge (vr_rollout *r)
{
  vr_counts all = _vr_sum (&r->target_counts, &r->peer_target_counts);
  _vr_judge_row (r, VR_ALL, &all, _vr_old_rate (r));
  for (uint32_t i = 0; i < r->stratum_count; i++)
    {
      const vr_stratum *s = &r->strata[i];
      vr_counts counts = _vr_sum (&s->own.target, &s->peers.target);
      _vr_judge_row (r, s->own.key, &counts, _vr_old_rate_of (r, s));
    }
}

/* True when the requests of all VMs show that the new version is good.  On a
   route a single failure is allowed beyond the fraction.  */
static bool
_vr_is_good (const vr_rollout *r)
{
  vr_counts all = _vr_sum (&r->target_counts, &r->peer_target_counts);
  if (all.seen < _VR_GOOD_MIN
      || all.failed > (_VR_GOOD_FAILED_MAX + _vr_old_rate (r)) * all.seen)
    return false;
  for (uint32_t i = 0; i < r->stratum_count; i++)
    {
      const vr_stratum *s = &r->strata[i];
      vr_counts counts = _vr_sum (&s->own.target, &s->peers.target);
      if (counts.failed
          > 1 + (_VR_GOOD_FAILED_MAX + _vr_old_rate_of (r, s)) * counts.seen)
        return false;
    }
  return true;
}

static bool
_vr_is_slow (const vr_route *route, const vr_sample *sample)
{
  if (route->seen < _VR_ROUTE_SEEN_MIN)
    return false;
  return (double)sample->first_us
             > _VR_SLOW_FACTOR * route->first_us + _VR_SLOW_MARGIN_US
         || (route->pace_us > 0
             && (double)sample->pace_us > _VR_SLOW_FACTOR * route->pace_us);
}

/* Adds the SEEN-th SAMPLE to a mean that forgets.  The first ones weigh the
   same.  */
static void
_vr_average (double *mean, uint64_t sample, uint32_t seen)
{
  double weight = 1.0 / seen > _VR_MEAN_WEIGHT ? 1.0 / seen : _VR_MEAN_WEIGHT;
  *mean += weight * ((double)sample - *mean);
}

static void
_vr_add_old_time (vr_route *route, const vr_sample *sample)
{
  if (sample->failed || sample->abandoned)
    return;
  route->seen++;
  _vr_average (&route->first_us, sample->first_us, route->seen);
  if (sample->pace_us > 0)
    _vr_average (&route->pace_us, sample->pace_us, ++route->paces_seen);
}

/* Counts a request that is sent to the new version (TARGET) or another one. */
void
vr_count_sent (vr_rollout *r, bool target)
{
  if (r->state != VR_RUNNING)
    return;
  if (target)
    r->target_sent++;
  else
    r->other_sent++;
}

static void
_vr_count (vr_row *row, bool target, bool failed)
{
  vr_counts *counts = target ? &row->target : &row->other;
  counts->seen++;
  counts->failed += failed;
}

/* True when the times of SAMPLE, of the new version, can be compared with the
   old version's.  */
static bool
_vr_is_comparable (const vr_rollout *r, const vr_sample *sample)
{
  return sample->running <= r->other_running + _VR_RUNNING_MARGIN;
}

/* Records the end of a request to the new version (TARGET) or another one.  */
void
vr_record (vr_rollout *r, bool target, const vr_sample *sample)
{
  vr_counts *counts = target ? &r->target_counts : &r->other_counts;
  vr_route *route = &r->routes[sample->route % VR_ROUTES_MAX];
  bool comparable = !target || _vr_is_comparable (r, sample);
  bool slow = comparable && _vr_is_slow (route, sample);
  bool failed = sample->failed || slow;
  if (r->state != VR_RUNNING || (sample->abandoned && !slow))
    return;
  if (comparable || !sample->load_test)
    {
      counts->seen++;
      counts->failed += failed;
      vr_stratum *of_route = _vr_add_stratum (r, sample->route);
      if (of_route != NULL)
        _vr_count (&of_route->own, target, failed);
    }
  if (!target || sample->load_test)
    _vr_count (&r->strata[0].own, target, sample->failed);
  if (!target)
    {
      _vr_average (&r->other_running, sample->running, r->other_counts.seen);
      _vr_add_old_time (route, sample);
    }
  _vr_judge (r);
}

/* Fills ROWS with what this VM has seen: all requests, then those of the load
   test and of each route with requests to the new version.  Returns their
   number, up to MAX.  */
size_t
vr_query_rows (const vr_rollout *r, vr_row *rows, size_t max)
{
  size_t count = 0;
  if (max > 0)
    rows[count++] = (vr_row){ VR_ALL, r->target_counts, r->other_counts };
  for (uint32_t i = 0; i < r->stratum_count && count < max; i++)
    if (r->strata[i].own.target.seen > 0)
      rows[count++] = r->strata[i].own;
  return count;
}

/* Replaces what the other VMs have seen since the order by the sum of ROWS. */
void
vr_set_peer_rows (vr_rollout *r, const vr_row *rows, size_t count)
{
  r->peer_target_counts = r->peer_other_counts = (vr_counts){ 0 };
  for (uint32_t i = 0; i < r->stratum_count; i++)
    r->strata[i].peers = (vr_row){ .key = r->strata[i].own.key };
  for (size_t i = 0; i < count; i++)
    {
      const vr_row *row = &rows[i];
      vr_stratum *s = _vr_add_stratum (r, row->key);
      vr_counts *target = s != NULL ? &s->peers.target : NULL;
      vr_counts *other = s != NULL ? &s->peers.other : NULL;
      if (row->key == VR_ALL)
        {
          target = &r->peer_target_counts;
          other = &r->peer_other_counts;
        }
      if (target == NULL)
        continue;
      *target = _vr_sum (target, &row->target);
      *other = _vr_sum (other, &row->other);
    }
  if (r->state == VR_RUNNING)
    _vr_judge (r);
}

/* The state that this VM has to write now, conditional on the revision of the
   stored one; VR_NONE when there is nothing to write.  */
vr_state
vr_tick (vr_rollout *r, const vr_inputs *in)
{
  vr_state state = VR_NONE;
  if (r->target.len == 0 || r->state != VR_RUNNING)
    return VR_NONE;
  r->few_phase = (double)(in->now_us - r->start_us)
                 > _VR_FEW_FRACTION * (double)(r->end_us - r->start_us);
  bool last_phase = in->now_us + _VR_LAST_PHASE_US >= r->end_us;
  bool decides
      = (in->controller && last_phase)
        || (in->deputy && in->now_us + _VR_DEPUTY_PHASE_US >= r->end_us);
  bool starts
      = in->controller
        || (in->deputy && in->now_us - r->start_us >= _VR_DEPUTY_START_US);
  if (r->found_bad)
    state = VR_REVERTED;
  else if (decides)
    state = _vr_is_good (r)
                    && in->target_slots
                           >= _VR_SLOTS_FRACTION * (double)in->other_slots
                ? VR_COMPLETED
                : VR_REVERTED;
  else if (starts && r->status_revision < r->order_revision)
    state = VR_RUNNING;
  if (state == VR_NONE
      || (r->written_us != 0 && in->now_us - r->written_us < _VR_REWRITE_US
          && !last_phase))
    return VR_NONE;
  r->written_us = in->now_us;
  return state;
}
