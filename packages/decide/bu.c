#include "bu.h"

#include <string.h>

/* Fractions of the budget that are used.  A window is counted in buckets, so
   that a true sliding window may hold the retries of one bucket more.  */
#define _BU_FIXED_FRACTION 0.85
#define _BU_RATIO_FRACTION 0.9
/* A peer that has not reported for this long is assumed to go on at its last
   rate.  */
#define _BU_UNRESPONSIVE_US 700000
/* A peer that has not reported for this long is assumed to have ended.  */
#define _BU_ENDED_US 12000000
/* Fraction of the burst that all VMs together start with: it may have been
   used before.  */
#define _BU_START_FRACTION 0.25

static void
_bu_advance_window (bu_retries *b, const bu_terms *terms, uint64_t now_us)
{
  uint64_t width = terms->window_us / BU_BUCKETS;
  uint64_t bucket = now_us / (width > 0 ? width : 1);
  uint64_t steps = bucket - b->bucket;
  if (steps > BU_BUCKETS)
    steps = BU_BUCKETS;
  for (uint64_t i = 0; i < steps; i++)
    {
      b->requests[(bucket - i) % BU_BUCKETS] = 0;
      b->retries[(bucket - i) % BU_BUCKETS] = 0;
    }
  b->bucket = bucket;
}

/* Counts the first attempt of a request.  */
void
bu_count_request (bu_retries *b, const bu_terms *terms, uint64_t now_us)
{
  _bu_advance_window (b, terms, now_us);
  b->requests[b->bucket % BU_BUCKETS]++;
}

/* Takes one retry from the budget; false when it is used up.  */
bool
bu_take_retry (bu_retries *b, const bu_terms *terms, uint64_t now_us)
{
  uint32_t requests = 0;
  uint32_t retries = 0;
  _bu_advance_window (b, terms, now_us);
  for (int i = 0; i < BU_BUCKETS; i++)
    {
      requests += b->requests[i];
      retries += b->retries[i];
    }
  double fixed
      = _BU_FIXED_FRACTION * terms->fixed / (terms->vms > 0 ? terms->vms : 1);
  if (retries + 1 > _BU_RATIO_FRACTION * terms->ratio * requests + fixed)
    return false;
  b->retries[b->bucket % BU_BUCKETS]++;
  return true;
}

static void
_bu_refill (bu_quota *quota, uint64_t now_us)
{
  double reserved = 0;
  double elapsed_s = (double)(now_us - quota->filled_at_us) / 1e6;
  for (int i = 0; i < BU_PEERS_MAX; i++)
    {
      bu_peer *p = &quota->peers[i];
      if (p->peer != 0 && now_us - p->at_us > _BU_ENDED_US)
        *p = (bu_peer){ 0 };
      if (p->peer == 0 || now_us - p->at_us <= _BU_UNRESPONSIVE_US)
        continue;
      p->reserved += p->rate * elapsed_s;
      reserved += p->rate * elapsed_s;
    }
  double seen = 1 - quota->unheard - quota->silent;
  quota->level += quota->rate * (seen > 0 ? seen : 0) * elapsed_s - reserved;
  quota->withheld += quota->rate * quota->silent * elapsed_s;
  /* The silent VMs may spend their part of the bucket themselves.  */
  double full = quota->burst * (1 - quota->silent);
  if (quota->level > full)
    quota->level = full;
  /* A larger debt than that of one large request comes from late reports.  It
     is limited, so that the team is not refused for too long.  */
  if (quota->level < -quota->rate - quota->burst)
    quota->level = -quota->rate - quota->burst;
  quota->filled_at_us = now_us;
}

/* Sets the rate, per second, and the burst of QUOTA.  A zeroed one is empty,
   or in debt by what was reported before.  */
void
bu_set_quota (bu_quota *quota, double rate, double burst, uint64_t now_us)
{
  if (burst < rate / 4)
    burst = rate / 4;
  if (quota->filled_at_us != 0)
    _bu_refill (quota, now_us);
  quota->filled_at_us = now_us;
  quota->rate = rate;
  quota->burst = burst;
  if (quota->level > quota->burst)
    quota->level = quota->burst;
}

/* Adds what a VM may admit before it hears of the others, when all VMS that
   accept callers may have started at once.  */
void
bu_start_quota (bu_quota *quota, uint32_t vms, uint64_t now_us)
{
  if (vms == 0)
    vms = 1;
  quota->start_share = _BU_START_FRACTION * quota->burst / vms;
  quota->start_rate_share = quota->rate / vms;
  quota->started_us = now_us;
  quota->level += quota->start_share;
}

/* Adds the shares of a VM that started with this one and has reported for the
   first time: all that it has used of them is subtracted as its use.  */
void
bu_add_share (bu_quota *quota, uint64_t now_us)
{
  if (quota->started_us == 0)
    return;
  if (quota->filled_at_us != 0)
    _bu_refill (quota, now_us);
  double elapsed_s = (double)(now_us - quota->started_us) / 1e6;
  quota->level += quota->start_share + quota->start_rate_share * elapsed_s;
  if (quota->level > quota->burst)
    quota->level = quota->burst;
}

/* Reserves the shares of UNHEARD of the VMS that accept callers, from now on:
   they may have started with this one and admit requests, but have not
   reported.  */
void
bu_reserve_unheard (bu_quota *quota, uint32_t unheard, uint32_t vms,
                    uint64_t now_us)
{
  if (quota->filled_at_us != 0)
    _bu_refill (quota, now_us);
  quota->unheard = vms > 0 && unheard < vms ? (double)unheard / vms : 0;
}

/* Withholds PART of the bucket and of the rate for VMs that have stopped
   reporting.  RETURNED: one of them reports again, and what was withheld for
   it is added; otherwise it is not known what it has used.  */
void
bu_set_silent (bu_quota *quota, double part, bool returned, uint64_t now_us)
{
  if (quota->filled_at_us != 0)
    _bu_refill (quota, now_us);
  if (part > quota->silent && quota->level > 0)
    {
      double more
          = quota->level * (part - quota->silent) / (1 - quota->silent);
      quota->level -= more;
      quota->withheld += more;
    }
  else if (part < quota->silent)
    {
      double less = quota->withheld * (1 - part / quota->silent);
      quota->withheld -= less;
      quota->level += returned ? less : 0;
      if (quota->level > quota->burst)
        quota->level = quota->burst;
    }
  quota->silent = part;
}

/* What this VM sees of a reserve of AMOUNT: it does not see what the VMs have
   that it does not hear of.  */
static double
_bu_seen_reserve (const bu_quota *quota, double amount)
{
  double seen = 1 - quota->unheard - quota->silent;
  return amount * (seen > 0 ? seen : 0);
}

/* Holds AMOUNT of the quota when more than RESERVE_AMOUNT, which is for more
   urgent requests, is left; else sets RETRY_AFTER_US to the time until it will
   be.  AMOUNT is not compared with what is left and may run into debt:
   otherwise the small requests of a team at its limit would be served and none
   of its large ones.  */
bool
bu_hold_quota (bu_quota *quota, double amount, double reserve_amount,
               uint64_t now_us, uint64_t *retry_after_us)
{
  *retry_after_us = 0;
  if (quota->rate > 0)
    {
      _bu_refill (quota, now_us);
      double left = quota->level - quota->held;
      reserve_amount = _bu_seen_reserve (quota, reserve_amount);
      if (left <= reserve_amount)
        {
          *retry_after_us
              = (uint64_t)((reserve_amount - left) / quota->rate * 1e6) + 1;
          return false;
        }
    }
  quota->held += amount;
  return true;
}

/* True when a request that holds an amount may still be sent: others have not
   used up the quota while it waited.  Else sets RETRY_AFTER_US as
   bu_hold_quota does.  */
bool
bu_allows_held (bu_quota *quota, double reserve_amount, uint64_t now_us,
                uint64_t *retry_after_us)
{
  *retry_after_us = 0;
  if (quota->rate <= 0)
    return true;
  _bu_refill (quota, now_us);
  reserve_amount = _bu_seen_reserve (quota, reserve_amount);
  if (quota->level > reserve_amount)
    return true;
  *retry_after_us
      = (uint64_t)((reserve_amount - quota->level) / quota->rate * 1e6) + 1;
  return false;
}

/* Amount that is reserved for VMs which do not report.  */
double
bu_query_reserved (const bu_quota *quota)
{
  double reserved = quota->withheld;
  for (int i = 0; i < BU_PEERS_MAX; i++)
    reserved += quota->peers[i].reserved;
  return reserved;
}

/* What kept a request from QUOTA that bu_hold_quota or bu_allows_held refused
   just now.  */
bu_bound
bu_query_bound (const bu_quota *quota)
{
  double left = quota->level - quota->held;
  if (left > 0)
    return BU_URGENT;
  return left + bu_query_reserved (quota) > 0 || quota->unheard > 0
                 || quota->silent > 0
             ? BU_SILENT
             : BU_USED;
}

/* Name of BOUND in logs and metrics.  */
const char *
bu_bound_name (bu_bound bound)
{
  switch (bound)
    {
    case BU_USED:
      return "used";
    case BU_SILENT:
      return "silent_vms";
    case BU_URGENT:
      return "urgent_reserve";
    }
  return "";
}

/* Charges AMOUNT, which was held, when its request is sent.  */
void
bu_charge_quota (bu_quota *quota, double amount)
{
  bu_release_quota (quota, amount);
  if (quota->rate > 0)
    quota->level -= amount;
  quota->admitted += (uint64_t)amount;
}

/* Releases AMOUNT, which was held: its request ends without having been
   sent.  */
void
bu_release_quota (bu_quota *quota, double amount)
{
  quota->held -= amount;
  if (quota->held < 0)
    quota->held = 0;
}

/* The entry of PEER; for a new one, that of the peer with the lowest rate.  */
static bu_peer *
_bu_find_peer (bu_quota *quota, uint64_t peer, uint64_t now_us)
{
  bu_peer *lowest = &quota->peers[0];
  for (int i = 0; i < BU_PEERS_MAX; i++)
    {
      bu_peer *p = &quota->peers[i];
      if (p->peer == peer)
        return p;
      if (lowest->peer != 0 && (p->peer == 0 || p->rate < lowest->rate))
        lowest = p;
    }
  *lowest = (bu_peer){ .peer = peer, .at_us = now_us };
  return lowest;
}

/* Stores a report of PEER (any number but 0): INCREMENT is what it admitted
   since its last report.  */
void
bu_report_quota (bu_quota *quota, uint64_t peer, uint64_t increment,
                 uint64_t now_us)
{
  bu_peer *p = _bu_find_peer (quota, peer, now_us);
  if (quota->filled_at_us != 0)
    _bu_refill (quota, now_us);
  double elapsed_s = (double)(now_us - p->at_us) / 1e6;
  /* The amount reserved while the peer was unresponsive is returned.  */
  quota->level += p->reserved - (double)increment;
  p->reserved = 0;
  if (elapsed_s <= 0)
    return;
  double sample = (double)increment / (elapsed_s > 0.05 ? elapsed_s : 0.05);
  p->rate += 0.3 * (sample - p->rate) * (elapsed_s < 1 ? elapsed_s : 1);
  p->at_us = now_us;
}

/* Removes PEER, which has ended: nothing is reserved for it any more.  */
void
bu_remove_peer (bu_quota *quota, uint64_t peer)
{
  for (int i = 0; i < BU_PEERS_MAX; i++)
    if (quota->peers[i].peer == peer)
      quota->peers[i] = (bu_peer){ 0 };
}

/* Removes PEER, which has stopped reporting: what was reserved for it is
   withheld with its part of the quota.  */
void
bu_withhold_peer (bu_quota *quota, uint64_t peer)
{
  for (int i = 0; i < BU_PEERS_MAX; i++)
    if (quota->peers[i].peer == peer)
      {
        quota->withheld += quota->peers[i].reserved;
        quota->peers[i] = (bu_peer){ 0 };
      }
}
