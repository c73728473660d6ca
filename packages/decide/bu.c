#include "bu.h"

#include <string.h>

/* Parts that are spent: a window is counted in buckets, so that any window
   may hold the repeats of one bucket more.  */
#define _BU_FIXED_PART 0.85
#define _BU_SHARE_PART 0.9
/* A peer that has not reported for this long is taken to go on as it did.  */
#define _BU_SILENT_US 700000
/* A peer that has been silent for this long has ended.  */
#define _BU_GONE_US 12000000
/* Part of the burst that a VM starts with: the others may have spent it.  */
#define _BU_START_PART 0.5

static void
_bu_roll (bu_repeats *b, const bu_terms *terms, uint64_t now_us)
{
  uint64_t width = terms->window_us / BU_BUCKETS;
  uint64_t bucket = now_us / (width > 0 ? width : 1);
  uint64_t steps = bucket - b->bucket;
  if (steps > BU_BUCKETS)
    steps = BU_BUCKETS;
  for (uint64_t i = 0; i < steps; i++)
    {
      b->requests[(bucket - i) % BU_BUCKETS] = 0;
      b->repeats[(bucket - i) % BU_BUCKETS] = 0;
    }
  b->bucket = bucket;
}

/* Counts the first sending of a request.  */
void
bu_count_request (bu_repeats *b, const bu_terms *terms, uint64_t now_us)
{
  _bu_roll (b, terms, now_us);
  b->requests[b->bucket % BU_BUCKETS]++;
}

/* Takes one repeat from the budget; false when it is used up.  */
bool
bu_take_repeat (bu_repeats *b, const bu_terms *terms, uint64_t now_us)
{
  uint32_t requests = 0;
  uint32_t repeats = 0;
  _bu_roll (b, terms, now_us);
  for (int i = 0; i < BU_BUCKETS; i++)
    {
      requests += b->requests[i];
      repeats += b->repeats[i];
    }
  double fixed
      = _BU_FIXED_PART * terms->fixed / (terms->vms > 0 ? terms->vms : 1);
  if (repeats + 1 > _BU_SHARE_PART * terms->share * requests + fixed)
    return false;
  b->repeats[b->bucket % BU_BUCKETS]++;
  return true;
}

static void
_bu_refill (bu_quota *a, uint64_t now_us)
{
  double reserved = 0;
  double elapsed_s = (double)(now_us - a->filled_at_us) / 1e6;
  for (int i = 0; i < BU_PEERS_MAX; i++)
    {
      bu_peer *p = &a->peers[i];
      if (p->peer != 0 && now_us - p->at_us > _BU_GONE_US)
        *p = (bu_peer){ 0 };
      if (p->peer != 0 && now_us - p->at_us > _BU_SILENT_US)
        reserved += p->rate;
    }
  a->level += (a->rate - reserved) * elapsed_s;
  if (a->level > a->burst)
    a->level = a->burst;
  /* A debt beyond that of one large request comes from reports that were late;
     the team does not pay for it for ever.  */
  if (a->level < -a->rate - a->burst)
    a->level = -a->rate - a->burst;
  a->filled_at_us = now_us;
}

/* Sets the limits of A.  A zeroed A starts with a part of the burst.  */
void
bu_set_quota (bu_quota *a, double rate, double burst, uint64_t now_us)
{
  if (a->filled_at_us == 0)
    {
      a->level = _BU_START_PART * burst;
      a->filled_at_us = now_us;
    }
  _bu_refill (a, now_us);
  a->rate = rate;
  a->burst = burst > rate / 4 ? burst : rate / 4;
  if (a->level > a->burst)
    a->level = a->burst;
}

/* Takes AMOUNT off the quota when more than KEEP is left, which is for
   requests that matter more; else RETRY_AFTER_US says when it will be.  What
   is left decides and not AMOUNT, which may run into debt: otherwise a team at
   its limit would get its small requests served and none of its large ones. */
bool
bu_take_quota (bu_quota *a, double amount, double keep, uint64_t now_us,
               uint64_t *retry_after_us)
{
  *retry_after_us = 0;
  if (a->rate > 0)
    {
      _bu_refill (a, now_us);
      if (a->level <= keep)
        {
          *retry_after_us = (uint64_t)((keep - a->level) / a->rate * 1e6) + 1;
          return false;
        }
      a->level -= amount;
    }
  a->admitted += (uint64_t)amount;
  return true;
}

/* Takes a report of PEER (any number but 0): ADMITTED since its start.  The
   first one counts in full when the peer is YOUNGER than this VM; of an older
   one it tells what it had admitted before this VM began to count.  */
void
bu_report_quota (bu_quota *a, uint64_t peer, uint64_t admitted, bool younger,
                 uint64_t now_us)
{
  bu_peer *p = NULL;
  for (int i = 0; i < BU_PEERS_MAX && p == NULL; i++)
    if (a->peers[i].peer == peer)
      p = &a->peers[i];
  for (int i = 0; i < BU_PEERS_MAX && p == NULL; i++)
    if (a->peers[i].peer == 0)
      {
        p = &a->peers[i];
        *p = (bu_peer){ .peer = peer, .admitted = admitted, .at_us = now_us };
        if (younger)
          {
            _bu_refill (a, now_us);
            a->level -= (double)admitted;
          }
      }
  if (p == NULL || now_us <= p->at_us)
    return;
  _bu_refill (a, now_us);
  double elapsed_s = (double)(now_us - p->at_us) / 1e6;
  /* What was reserved while the peer was silent is given back.  */
  if (now_us - p->at_us > _BU_SILENT_US)
    a->level += p->rate * (elapsed_s - _BU_SILENT_US / 1e6);
  if (admitted > p->admitted)
    {
      double used = (double)(admitted - p->admitted);
      a->level -= used;
      p->rate += 0.3 * (used / (elapsed_s > 0.05 ? elapsed_s : 0.05) - p->rate)
                 * (elapsed_s < 1 ? elapsed_s : 1);
    }
  else
    p->rate -= p->rate * 0.3 * (elapsed_s < 1 ? elapsed_s : 1);
  p->admitted = admitted;
  p->at_us = now_us;
}

/* PEER has ended: what it may be using is no longer reserved.  */
void
bu_forget_peer (bu_quota *a, uint64_t peer)
{
  for (int i = 0; i < BU_PEERS_MAX; i++)
    if (a->peers[i].peer == peer)
      a->peers[i] = (bu_peer){ 0 };
}
