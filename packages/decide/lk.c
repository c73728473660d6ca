#include "lk.h"

#define _LK_S_US 1e6
/* A saved second is worth this part of a met deadline.  */
#define _LK_SECOND_PART 0.01
/* Longest saving that counts; a near time of "never" would outweigh all.  */
#define _LK_SAVED_MAX_S 60.0

/* Prepares LK with a full bucket and the whole share.  */
void
lk_setup (lk_link *lk, const lk_desc *desc, uint64_t now_us)
{
  static const double worth[LK_TIERS] = { 2e-3, 1e-3, 5e-5, 2e-5, 1e-5 };
  *lk = (lk_link){ .desc = *desc, .share = 1, .up = true };
  lk_desc *d = &lk->desc;
  d->bytes_per_s = d->bytes_per_s > 0 ? d->bytes_per_s : 1e6;
  d->burst_s = d->burst_s > 0 ? d->burst_s : 2;
  d->price_per_gb = d->price_per_gb > 0 ? d->price_per_gb : 0.05;
  d->latency_us = d->latency_us > 0 ? d->latency_us : 5000;
  for (int t = 0; t < LK_TIERS; t++)
    {
      if (d->deadline_worth[t] <= 0)
        d->deadline_worth[t] = worth[t];
      if (d->second_worth[t] <= 0)
        d->second_worth[t] = d->deadline_worth[t] * _LK_SECOND_PART;
    }
  lk->tokens = d->bytes_per_s * d->burst_s;
  lk->refill_us = now_us;
}

static void
_lk_refill (lk_link *lk, uint64_t now_us)
{
  double rate = lk->desc.bytes_per_s * lk->share;
  double full = rate * lk->desc.burst_s;
  if (now_us > lk->refill_us)
    {
      lk->tokens += rate * (double)(now_us - lk->refill_us) / _LK_S_US;
      lk->refill_us = now_us;
    }
  if (lk->tokens > full)
    lk->tokens = full;
}

/* Sets this VM's part of the budget, 0 to 1.  */
void
lk_set_share (lk_link *lk, double share, uint64_t now_us)
{
  _lk_refill (lk, now_us);
  lk->share = share < 0 ? 0 : share > 1 ? 1 : share;
  _lk_refill (lk, now_us);
}

/* Notes that the link was cut or is back.  The share stays as it was.  */
void
lk_set_up (lk_link *lk, bool up, uint64_t now_us)
{
  _lk_refill (lk, now_us);
  lk->up = up;
}

/* Worth of crossing: a deadline that is met only there and the seconds that
   are saved.  Not above zero when the other region is no better.  */
double
lk_gain (const lk_link *lk, const lk_offer *offer)
{
  uint32_t tier = offer->tier < LK_TIERS ? offer->tier : LK_TIERS - 1;
  uint64_t far_us = offer->far_us + 2 * lk->desc.latency_us;
  double saved_s = ((double)offer->near_us - (double)far_us) / _LK_S_US;
  if (saved_s > _LK_SAVED_MAX_S)
    saved_s = _LK_SAVED_MAX_S;
  double gain = saved_s * lk->desc.second_worth[tier];
  if (offer->deadline_us > 0)
    {
      bool near_ok = offer->near_us <= offer->deadline_us;
      bool far_ok = far_us <= offer->deadline_us;
      if (far_ok && !near_ok)
        gain += lk->desc.deadline_worth[tier];
      if (near_ok && !far_ok)
        gain -= lk->desc.deadline_worth[tier];
    }
  return gain;
}

/* Price of BYTES.  */
double
lk_price (const lk_link *lk, uint64_t bytes)
{
  return (double)bytes * lk->desc.price_per_gb / 1e9;
}

/* Decides whether a request crosses; takes its bytes from the budget when it
   does.  */
bool
lk_cross (lk_link *lk, const lk_offer *offer, uint64_t now_us)
{
  _lk_refill (lk, now_us);
  if (!lk->up || (double)offer->bytes > lk->tokens
      || lk_gain (lk, offer) <= lk_price (lk, offer->bytes))
    return false;
  lk->tokens -= (double)offer->bytes;
  lk->crossed++;
  lk->crossed_bytes += offer->bytes;
  return true;
}

/* Corrects the budget when a request that crossed has ended: what it used
   beyond its estimate is taken, what it did not use comes back.  */
void
lk_settle (lk_link *lk, uint64_t reserved_bytes, uint64_t actual_bytes)
{
  lk->tokens += (double)reserved_bytes - (double)actual_bytes;
  lk->crossed_bytes += actual_bytes - reserved_bytes;
}
