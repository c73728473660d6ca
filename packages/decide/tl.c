#include "tl.h"

#define _TL_US_PER_S 1000000.0
/* Load per second added to the demand of every VM, so that a VM without
   traffic keeps a small share for its first requests.  */
#define _TL_DEMAND_MIN 0.05
/* Weight of the time since the last tick in the mean demand.  */
#define _TL_DEMAND_WEIGHT 0.5

typedef struct
{
  float demand;
  float share;
  uint64_t received_us; /* 0: never */
} _tl_vm_report;

typedef struct
{
  double limit; /* per second; 0: no limit */
  double share;
  double tokens;
  double received; /* cost since the last tick, admitted or not */
  double demand;
  uint64_t refill_us;
  bool has_total;
  bool total_complete;
  double total_demand;
  double total_share;
  uint64_t total_us;
} _tl_team;

struct tl_limits
{
  tl_desc desc;
  _tl_team *teams;
  _tl_vm_report *reports; /* max_vms for each team */
  uint8_t *states;
  uint32_t live_vms; /* other VMs */
  uint64_t tick_us;
};

/* Makes limits without teams and without other VMs.  Returns NULL when out of
   memory.  */
tl_limits *
tl_make (const tl_desc *desc)
{
  tl_limits *tl = al_alloc (&desc->allocator, sizeof *tl);
  if (tl == NULL)
    return NULL;
  tl->desc = *desc;
  tl_desc *d = &tl->desc;
  d->max_teams = d->max_teams > 0 ? d->max_teams : 256;
  d->max_vms = d->max_vms > 0 ? d->max_vms : 64;
  d->report_max_age_us
      = d->report_max_age_us > 0 ? d->report_max_age_us : 1500000;
  d->burst_s = d->burst_s > 0 ? d->burst_s : 1;
  tl->teams = al_alloc (&d->allocator, d->max_teams * sizeof (_tl_team));
  tl->reports = al_alloc (&d->allocator, (size_t)d->max_teams * d->max_vms
                                             * sizeof (_tl_vm_report));
  tl->states = al_alloc (&d->allocator, d->max_vms);
  if (tl->teams == NULL || tl->reports == NULL || tl->states == NULL)
    {
      tl_destroy (tl);
      return NULL;
    }
  return tl;
}

/* Frees TL; it may be NULL.  */
void
tl_destroy (tl_limits *tl)
{
  if (tl == NULL)
    return;
  al_allocator al = tl->desc.allocator;
  al_free (&al, tl->states);
  al_free (&al, tl->reports);
  al_free (&al, tl->teams);
  al_free (&al, tl);
}

static void
_tl_refill (const tl_limits *tl, _tl_team *t, uint64_t now_us)
{
  double rate = t->limit * t->share;
  double full = rate * tl->desc.burst_s;
  if (now_us > t->refill_us)
    {
      double elapsed_s = (double)(now_us - t->refill_us) / _TL_US_PER_S;
      double refilled = t->tokens + rate * elapsed_s;
      if (t->tokens < full)
        t->tokens = refilled < full ? refilled : full;
      t->refill_us = now_us;
    }
}

/* Sets the limit of TEAM over the whole region, per second; 0 removes it.  The
   first time, the VM starts with one second of an equal share.  False when
   TEAM or the limit is out of range.  */
bool
tl_set_limit (tl_limits *tl, uint32_t team, double limit_per_s,
              uint64_t now_us)
{
  if (team >= tl->desc.max_teams || limit_per_s < 0)
    return false;
  _tl_team *t = &tl->teams[team];
  if (t->limit == 0 && limit_per_s > 0)
    {
      t->share = tl->live_vms == 0 ? 1 : 0;
      t->tokens = limit_per_s / (tl->live_vms + 1) * tl->desc.burst_s;
      t->refill_us = now_us;
    }
  else
    _tl_refill (tl, t, now_us);
  if (limit_per_s < t->limit)
    {
      double full = limit_per_s * t->share * tl->desc.burst_s;
      t->tokens = t->tokens < full ? t->tokens : full;
    }
  t->limit = limit_per_s;
  return true;
}

/* Sets the state of another VM of the region.  False when VM is out of
   range.  */
bool
tl_set_vm (tl_limits *tl, uint32_t vm, tl_vm_state state)
{
  if (vm >= tl->desc.max_vms)
    return false;
  if (tl->states[vm] == TL_LIVE)
    tl->live_vms--;
  if (state == TL_LIVE)
    tl->live_vms++;
  if (state == TL_REMOVED)
    for (uint32_t i = 0; i < tl->desc.max_teams; i++)
      tl->reports[(size_t)i * tl->desc.max_vms + vm] = (_tl_vm_report){ 0 };
  tl->states[vm] = (uint8_t)state;
  return true;
}

/* Stores the report of another VM for TEAM.  False when a value is out of
   range or the VM has been removed.  */
bool
tl_report (tl_limits *tl, uint32_t vm, uint32_t team, double demand,
           double share, uint64_t now_us)
{
  if (vm >= tl->desc.max_vms || team >= tl->desc.max_teams || demand < 0
      || share < 0 || share > 1 || tl->states[vm] == TL_REMOVED)
    return false;
  tl->reports[(size_t)team * tl->desc.max_vms + vm]
      = (_tl_vm_report){ (float)demand, (float)share, now_us };
  return true;
}

/* Stores the sums of demand and share over all other VMs of the region.
   COMPLETE is true when every live VM is in them.  */
bool
tl_set_total (tl_limits *tl, uint32_t team, double demand, double share,
              bool complete, uint64_t now_us)
{
  if (team >= tl->desc.max_teams || demand < 0 || share < 0)
    return false;
  _tl_team *t = &tl->teams[team];
  t->has_total = true;
  t->total_complete = complete;
  t->total_demand = demand;
  t->total_share = share;
  t->total_us = now_us;
  return true;
}

/* Adds up the other VMs.  False when a report of a live VM is missing.  */
static bool
_tl_sum_others (const tl_limits *tl, uint32_t team, uint64_t now_us,
                double *demand, double *share)
{
  const _tl_team *t = &tl->teams[team];
  if (t->has_total)
    {
      *demand = t->total_demand + tl->live_vms * _TL_DEMAND_MIN;
      *share = t->total_share;
      return t->total_complete
             && now_us <= t->total_us + tl->desc.report_max_age_us;
    }
  bool complete = true;
  *demand = *share = 0;
  for (uint32_t i = 0; i < tl->desc.max_vms; i++)
    {
      if (tl->states[i] == TL_REMOVED)
        continue;
      const _tl_vm_report *r
          = &tl->reports[(size_t)team * tl->desc.max_vms + i];
      *share += (double)r->share;
      if (tl->states[i] == TL_DEAD)
        continue;
      *demand += (double)r->demand + _TL_DEMAND_MIN;
      if (r->received_us == 0
          || now_us > r->received_us + tl->desc.report_max_age_us)
        complete = false;
    }
  return complete;
}

/* Measures the demand since the last tick and computes the shares again.  */
void
tl_tick (tl_limits *tl, uint64_t now_us)
{
  double elapsed_s = tl->tick_us > 0 && now_us > tl->tick_us
                         ? (double)(now_us - tl->tick_us) / _TL_US_PER_S
                         : 1;
  tl->tick_us = now_us;
  for (uint32_t i = 0; i < tl->desc.max_teams; i++)
    {
      _tl_team *t = &tl->teams[i];
      if (t->limit == 0)
        continue;
      _tl_refill (tl, t, now_us);
      /* The demand that was last reported, not the newest one: all VMs have
         to compute their targets from the same figures.  */
      double own = t->demand + _TL_DEMAND_MIN;
      t->demand += _TL_DEMAND_WEIGHT * (t->received / elapsed_s - t->demand);
      t->received = 0;
      double demand, others_share;
      bool complete = _tl_sum_others (tl, i, now_us, &demand, &others_share);
      double target = own / (own + demand);
      /* Each VM takes the fraction TARGET of the free room, so that VMs that
         raise their shares at the same time do not take it twice.  */
      double room = 1 - others_share - t->share;
      if (target < t->share)
        t->share = target;
      else if (complete && room > 0)
        {
          double raised = t->share + room * target;
          t->share = raised < target ? raised : target;
        }
      /* After a change of membership the shares may add up to more than 1:
         each VM lowers its own in proportion.  */
      if (t->share + others_share > 1.0001 && t->share > target * 0.5)
        t->share /= t->share + others_share;
      double full = t->limit * t->share * tl->desc.burst_s;
      if (t->share > 0 && t->tokens > full)
        t->tokens = full;
    }
}

/* Admits a request of COST or not; counts it as demand either way.  Requests
   of a team without a limit are always admitted.  */
bool
tl_take (tl_limits *tl, uint32_t team, double cost, uint64_t now_us)
{
  if (team >= tl->desc.max_teams)
    return false;
  _tl_team *t = &tl->teams[team];
  t->received += cost;
  if (t->limit == 0)
    return true;
  _tl_refill (tl, t, now_us);
  if (t->tokens < cost)
    return false;
  t->tokens -= cost;
  return true;
}

/* Gets what this VM has to send the others about TEAM.  False when the team
   has no limit and nothing has to be sent.  */
bool
tl_query_report (const tl_limits *tl, uint32_t team, double *demand,
                 double *share)
{
  if (team >= tl->desc.max_teams || tl->teams[team].limit == 0)
    return false;
  *demand = tl->teams[team].demand;
  *share = tl->teams[team].share;
  return true;
}

/* Time in milliseconds until a request of COST may be admitted at the present
   share; at most one minute.  */
uint32_t
tl_query_wait_ms (const tl_limits *tl, uint32_t team, double cost)
{
  if (team >= tl->desc.max_teams || tl->teams[team].limit == 0)
    return 0;
  const _tl_team *t = &tl->teams[team];
  if (t->tokens >= cost)
    return 0;
  double rate = t->limit * t->share;
  double ms = rate > 0 ? (cost - t->tokens) * 1000 / rate : 60000;
  return ms < 60000 ? (uint32_t)ms + 1 : 60000;
}
