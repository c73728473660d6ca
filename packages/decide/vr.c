#include "vr.h"

#include <math.h>

/* Share of the new version until the last phase, of 65536: 3%, less than a
   third of the share that a bad version may get.  */
#define _VR_SHARE 1966
/* The share, 8%, for a service with so few requests that all VMs together have
   seen less than _VR_SEEN_ENOUGH to the new version after this fraction of the
   time.  It is in force for few requests.  */
#define _VR_SHARE_FEW 5243
#define _VR_SEEN_ENOUGH 30
#define _VR_FEW_FRACTION 0.4
/* Length of the last phase, in which the controller decides: time for a write
   and for its way to all VMs.  With the share before, the whole traffic in it
   is under 10% of a rollout of 10 s.  */
#define _VR_LAST_PHASE_US 600000
/* Time after which a state is written again if it has not come back.  */
#define _VR_REWRITE_US 700000
/* Fewest failures, and fewest standard deviations above the old version's
   rate, at which the new version is bad.  */
#define _VR_BAD_MIN 4
#define _VR_BAD_DEVIATIONS 3.0
/* A response is slow beyond this multiple of the old version's mean on its
   route, of the time until its first event plus the margin or of the time
   between events.  Upstreams of one version differ by less.  */
#define _VR_SLOW_FACTOR 2.5
#define _VR_SLOW_MARGIN_US 20000.0
/* Requests to the old version on a route before any counts as slow.  */
#define _VR_ROUTE_SEEN_MIN 10
/* Fewest requests of all VMs to the new version for completion, and the
   greatest share of failures among them, beyond the old version's, which is
   too few to find it bad.  */
#define _VR_GOOD_MIN 8
#define _VR_GOOD_FAILED_MAX 0.1
/* Fraction of the old version's slots that the new one must have.  */
#define _VR_SLOTS_FRACTION 0.7
#define _VR_TIME_WEIGHT 0.05

/* Adopts the stored state, if it was written after the order.  */
static void
_vr_apply_status (vr_rollout *r)
{
  if (r->status_revision > r->order_revision && r->target.len > 0
      && st_equal (st_name_str (&r->target), st_name_str (&r->status_target)))
    r->state = r->status;
}

/* Starts the rollout to TARGET, which the order of REVISION requests within
   DURATION_US; an order that is not newer is ignored.  */
void
vr_set_order (vr_rollout *r, st_str target, uint64_t duration_us,
              uint64_t revision, uint64_t now_us)
{
  if (revision <= r->order_revision || target.len == 0)
    return;
  vr_rollout before = *r;
  *r = (vr_rollout){ .order_revision = revision,
                     .start_us = now_us,
                     .end_us = now_us + duration_us,
                     .state = VR_RUNNING,
                     .status_revision = before.status_revision,
                     .status_target = before.status_target,
                     .status = before.status };
  st_name_set (&r->target, target);
  _vr_apply_status (r);
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

/* The versions for a new request; RANDOM is uniform.  */
vr_choice
vr_choose (const vr_rollout *r, uint32_t random)
{
  if (r->target.len == 0 || r->state == VR_NONE)
    return VR_ANY;
  if (_vr_is_avoided (r))
    return VR_OTHERS;
  /* The old upstreams stop on completion.  */
  if (r->state == VR_COMPLETED)
    return VR_TARGET;
  uint32_t share = r->few_seen ? _VR_SHARE_FEW : _VR_SHARE;
  return (random >> 8 & 0xffff) < share ? VR_TARGET : VR_OTHERS;
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

/* Adopts that the failures of the new version exceed what the old version's
   rate explains, if they do.  */
static void
_vr_judge (vr_rollout *r)
{
  uint32_t seen = r->target_counts.seen + r->peer_target_counts.seen;
  uint32_t failed = r->target_counts.failed + r->peer_target_counts.failed;
  double expected = _vr_old_rate (r) * seen;
  if (failed >= _VR_BAD_MIN
      && failed > expected + _VR_BAD_DEVIATIONS * sqrt (expected))
    r->found_bad = true;
}

/* True when the requests of all VMs show that the new version is good.  */
static bool
_vr_is_good (const vr_rollout *r)
{
  uint32_t seen = r->target_counts.seen + r->peer_target_counts.seen;
  uint32_t failed = r->target_counts.failed + r->peer_target_counts.failed;
  return seen >= _VR_GOOD_MIN
         && failed <= (_VR_GOOD_FAILED_MAX + _vr_old_rate (r)) * seen;
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

/* Adds the SEEN-th SAMPLE_US to a mean that forgets.  The first ones weigh the
   same.  */
static void
_vr_average (double *mean_us, uint64_t sample_us, uint32_t seen)
{
  double weight = 1.0 / seen > _VR_TIME_WEIGHT ? 1.0 / seen : _VR_TIME_WEIGHT;
  *mean_us += weight * ((double)sample_us - *mean_us);
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

/* Records the end of a request to the new version (TARGET) or another one.  */
void
vr_record (vr_rollout *r, bool target, const vr_sample *sample)
{
  vr_counts *counts = target ? &r->target_counts : &r->other_counts;
  vr_route *route = &r->routes[sample->route % VR_ROUTES_MAX];
  bool slow = _vr_is_slow (route, sample);
  if (r->state != VR_RUNNING || (sample->abandoned && !slow))
    return;
  counts->seen++;
  counts->failed += sample->failed || slow;
  if (!target)
    _vr_add_old_time (route, sample);
  _vr_judge (r);
}

/* Replaces what the other VMs have seen since the order.  */
void
vr_set_peer_counts (vr_rollout *r, const vr_counts *target,
                    const vr_counts *other)
{
  r->peer_target_counts = *target;
  r->peer_other_counts = *other;
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
  r->few_seen
      = r->target_counts.seen + r->peer_target_counts.seen < _VR_SEEN_ENOUGH
        && (double)(in->now_us - r->start_us)
               > _VR_FEW_FRACTION * (double)(r->end_us - r->start_us);
  bool last_phase = in->now_us + _VR_LAST_PHASE_US >= r->end_us;
  if (r->found_bad)
    state = VR_REVERTED;
  else if (in->controller && last_phase)
    state = _vr_is_good (r)
                    && in->target_slots
                           >= _VR_SLOTS_FRACTION * (double)in->other_slots
                ? VR_COMPLETED
                : VR_REVERTED;
  else if (in->controller && r->status_revision < r->order_revision)
    state = VR_RUNNING;
  if (state == VR_NONE
      || (r->written_us != 0 && in->now_us - r->written_us < _VR_REWRITE_US
          && !last_phase))
    return VR_NONE;
  r->written_us = in->now_us;
  return state;
}
