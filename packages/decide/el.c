#include "el.h"

#include "ck.h"

/* Interval of the budget where an upstream bears at least one request a
   second.  It is longer than a second by the time that requests may differ in
   on their way.  */
#define _EL_INTERVAL_US 1050000
/* Interval of a limit that an upstream names, in which each of several VMs has
   a request where it takes one a second, and the rate from which the shorter
   interval does.  */
#define _EL_LIMIT_INTERVAL_S 4
#define _EL_LIMIT_LARGE_PER_S 16.0
/* A smaller limit than this, 0 too, still gets a request now and then, whose
   response shows whether it has ended.  */
#define _EL_LIMIT_MIN_PER_S 0.1
/* A limit is remembered for this long after the last response that named it.
 */
#define _EL_LIMIT_MEMORY_US 60000000
/* A limit that has not been stated for this long may have ended.  */
#define _EL_LIMIT_CHECK_US 2000000

static el_vm *
_el_find_vm (el_fleet *fleet, uint64_t vm)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    if (fleet->vms[i].vm == vm)
      return &fleet->vms[i];
  return NULL;
}

/* Adopts a new view: this VM is ACTIVE or not, and so are the COUNT OTHERS.
   Without a majority of those that it knows, neither it nor VMs that are new
   to it get a part.  */
void
el_update_fleet (el_fleet *fleet, bool active, const uint64_t *others,
                 uint32_t count, uint64_t now_us)
{
  uint32_t known = fleet->count;
  uint32_t present = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      el_vm *vm = _el_find_vm (fleet, others[i]);
      if (vm == NULL)
        continue;
      vm->active_us = now_us;
      present++;
    }
  bool majority = known == 0 || 2 * present > known;
  fleet->view_us = now_us;
  if (majority || !active)
    {
      if (active && !fleet->has_part)
        fleet->since_us = now_us;
      fleet->has_part = active;
    }
  for (uint32_t i = 0; majority && i < count; i++)
    if (fleet->count < EL_VMS_MAX && _el_find_vm (fleet, others[i]) == NULL)
      fleet->vms[fleet->count++] = (el_vm){ others[i], now_us, now_us };
  uint64_t memory_us = majority ? EL_VM_MEMORY_US : EL_VM_MEMORY_MAX_US;
  for (uint32_t i = fleet->count; i > 0; i--)
    if (now_us - fleet->vms[i - 1].active_us > memory_us)
      fleet->vms[i - 1] = fleet->vms[--fleet->count];
}

/* Removes VM, which has left or is no longer active.  */
void
el_forget_vm (el_fleet *fleet, uint64_t vm)
{
  el_vm *found = _el_find_vm (fleet, vm);
  if (found != NULL)
    *found = fleet->vms[--fleet->count];
}

/* Part of the VMs that this one does not hear, of those that were active when
   the first of them became silent: VMs that have become active since then
   share the part of their side.  From 0 to 1.  */
double
el_silent_part (const el_fleet *fleet)
{
  uint64_t cut_us = UINT64_MAX;
  uint32_t silent = 0;
  uint32_t known = 0;
  for (uint32_t i = 0; i < fleet->count; i++)
    if (fleet->vms[i].active_us < fleet->view_us
        && fleet->vms[i].active_us < cut_us)
      cut_us = fleet->vms[i].active_us;
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      known += fleet->vms[i].first_us <= cut_us;
      silent += fleet->vms[i].first_us <= cut_us
                && fleet->vms[i].active_us < fleet->view_us;
    }
  known += fleet->has_part && fleet->since_us <= cut_us;
  return known > 0 ? (double)silent / known : 0;
}

/* True when SET, which may be NULL, has REGION.  */
bool
el_allows_region (const el_regions *set, st_str region)
{
  if (set == NULL || set->count == 0)
    return true;
  for (uint32_t i = 0; i < set->count; i++)
    if (st_equal (set->names[i], region))
      return true;
  return false;
}

/* True when no region is in both A and B; either may be NULL.  */
bool
el_is_disjoint (const el_regions *a, const el_regions *b)
{
  if (a == NULL || b == NULL || a->count == 0 || b->count == 0)
    return false;
  for (uint32_t i = 0; i < a->count; i++)
    if (el_allows_region (b, a->names[i]))
      return false;
  return true;
}

/* Order of the VMs that decides which of them gets REQUEST at UPSTREAM.  */
static uint64_t
_el_order (uint64_t vm, uint64_t upstream, uint32_t request)
{
  uint64_t x = (vm ^ upstream) * UINT64_C (0x9e3779b97f4a7c15)
               + (uint64_t)request * UINT64_C (0xd6e8feb86659fd93);
  x = (x ^ x >> 32) * UINT64_C (0xd6e8feb86659fd93);
  return x ^ x >> 29;
}

/* How many of REQUESTS, those that UPSTREAM bears in an interval, the VM SELF
   may send.  Each of them is assigned to one VM of SELF and FLEET by
   rendezvous hashing, so VMs that know the same fleet never send more
   together.  */
static uint32_t
_el_assign (const el_fleet *fleet, uint64_t self, uint64_t upstream,
            uint32_t requests)
{
  uint32_t share = 0;
  if (!fleet->has_part)
    return 0;
  for (uint32_t request = 0; request < requests && share < EL_SENDS_MAX;
       request++)
    {
      uint64_t own = _el_order (self, upstream, request);
      uint32_t i = 0;
      while (i < fleet->count
             && (fleet->vms[i].vm == self
                 || _el_order (fleet->vms[i].vm, upstream, request) <= own))
        i++;
      share += i == fleet->count;
    }
  return share;
}

/* Requests that the VM SELF may send in an interval to UPSTREAM while it is
   cold and bears PER_S a second.  */
uint32_t
el_share (const el_fleet *fleet, uint64_t self, uint64_t upstream,
          double per_s)
{
  return _el_assign (fleet, self, upstream, per_s < 1 ? 1 : (uint32_t)per_s);
}

/* True when the upstream of COLD is cold and its rate is limited.  */
bool
el_is_cold (const el_cold *cold, uint64_t now_us)
{
  return cold->per_s > 0
         && (now_us < cold->until_us || now_us < cold->held_us);
}

static uint64_t
_el_interval_us (const el_cold *cold)
{
  return cold->per_s < 1 ? (uint64_t)(_EL_INTERVAL_US / cold->per_s)
                         : _EL_INTERVAL_US;
}

/* Earliest time at which a process that has started at STARTED_US may send to
   a cold upstream: the one before it has the budget of its last second.  */
uint64_t
el_first_send_us (uint64_t started_us)
{
  return started_us + _EL_INTERVAL_US;
}

/* The same for an upstream that has named a limit.  */
uint64_t
el_first_limited_us (uint64_t started_us)
{
  return started_us + _EL_LIMIT_INTERVAL_S * CK_S_US;
}

/* Time in microseconds until this VM may send another request, when it may
   send SHARE in each span of INTERVAL_US; 0: now.  */
static uint64_t
_el_wait_us (const el_sends *sends, uint32_t share, uint64_t interval_us,
             uint64_t now_us)
{
  if (sends->count < share)
    return 0;
  uint64_t end_us
      = sends->us[(sends->count - share) % EL_SENDS_MAX] + interval_us;
  return end_us > now_us ? end_us - now_us : 0;
}

/* True when this VM, which has made SENDS, may send one request more to the
   upstream of COLD.  */
bool
el_cold_allows (const el_cold *cold, const el_sends *sends, uint64_t now_us)
{
  if (!el_is_cold (cold, now_us))
    return true;
  if (cold->share == 0 || now_us < cold->from_us)
    return false;
  return _el_wait_us (sends, cold->share, _el_interval_us (cold), now_us) == 0;
}

/* Interval over which a limit of PER_S is divided.  A larger one has more
   requests than a VM remembers.  */
static uint64_t
_el_limit_interval_us (double per_s)
{
  if (per_s * _EL_LIMIT_INTERVAL_S < 1)
    return (uint64_t)(1e6
                      / (per_s > _EL_LIMIT_MIN_PER_S ? per_s
                                                     : _EL_LIMIT_MIN_PER_S));
  return per_s > _EL_LIMIT_LARGE_PER_S ? _EL_INTERVAL_US
                                       : _EL_LIMIT_INTERVAL_S * CK_S_US;
}

/* Requests that the VM SELF may send in an interval to UPSTREAM, which takes
   PER_S a second from all VMs.  */
uint32_t
el_limit_share (const el_fleet *fleet, uint64_t self, uint64_t upstream,
                double per_s)
{
  double requests
      = per_s * (double)_el_limit_interval_us (per_s) / (double)CK_S_US;
  return _el_assign (fleet, self, upstream,
                     requests < 1            ? 1
                     : requests < UINT16_MAX ? (uint32_t)requests
                                             : UINT16_MAX);
}

/* Time in microseconds until this VM, which has made SENDS, may send another
   request to the upstream of LIMIT: 0: now, UINT64_MAX: other VMs have the
   limit.  A limit that nobody has stated for long is taken to have ended; if
   it has not, the next response names it.  */
uint64_t
el_limit_wait_us (const el_limit *limit, const el_sends *sends,
                  uint64_t now_us)
{
  if (!limit->named || now_us >= limit->stated_us + _EL_LIMIT_MEMORY_US)
    return 0;
  if (limit->share == 0)
    return UINT64_MAX;
  if (now_us < limit->from_us)
    return limit->from_us - now_us;
  return _el_wait_us (sends, limit->share,
                      _el_limit_interval_us (limit->per_s), now_us);
}

/* True when this VM may send one request more to the upstream of LIMIT.  */
bool
el_limit_allows (const el_limit *limit, const el_sends *sends, uint64_t now_us)
{
  return el_limit_wait_us (limit, sends, now_us) == 0;
}

/* True when a request should find out whether LIMIT still holds: the VMs that
   may send to its upstream may all prefer others.  */
bool
el_limit_needs_check (const el_limit *limit, uint64_t now_us)
{
  return limit->named && now_us >= limit->stated_us + _EL_LIMIT_CHECK_US;
}

/* Records a request that is sent to an upstream, cold, limited or not.  */
void
el_on_sent (el_sends *sends, uint64_t now_us)
{
  sends->us[sends->count % EL_SENDS_MAX] = now_us;
  /* Only differences up to EL_SENDS_MAX count, so the number may wrap at a
     multiple of it once it is past them.  */
  sends->count++;
  if (sends->count == 4 * EL_SENDS_MAX)
    sends->count = 2 * EL_SENDS_MAX;
}
