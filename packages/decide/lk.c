#include "lk.h"

#define _LK_US_PER_S 1e6
/* Utility of a saved second, as a fraction of that of a met deadline.  */
#define _LK_SECOND_FRACTION 0.01
/* Upper bound of the time saved; otherwise a local time of "never" would
   outweigh any price.  */
#define _LK_SAVED_MAX_S 60.0

/* Initializes LK with a full bucket and the whole share.  */
void
lk_setup (lk_link *lk, const lk_desc *desc, uint64_t now_us)
{
  static const double utility[LK_TIERS] = { 2e-3, 1e-3, 5e-5, 2e-5, 1e-5 };
  *lk = (lk_link){ .desc = *desc, .share = 1, .up = true };
  lk_desc *d = &lk->desc;
  d->bytes_per_s = d->bytes_per_s > 0 ? d->bytes_per_s : 1e6;
  d->burst_s = d->burst_s > 0 ? d->burst_s : 2;
  d->price_per_gb = d->price_per_gb > 0 ? d->price_per_gb : 0.05;
  d->latency_us = d->latency_us > 0 ? d->latency_us : 5000;
  for (int t = 0; t < LK_TIERS; t++)
    {
      if (d->deadline_utility[t] <= 0)
        d->deadline_utility[t] = utility[t];
      if (d->second_utility[t] <= 0)
        d->second_utility[t] = d->deadline_utility[t] * _LK_SECOND_FRACTION;
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
      lk->tokens += rate * (double)(now_us - lk->refill_us) / _LK_US_PER_S;
      lk->refill_us = now_us;
    }
  if (lk->tokens > full)
    lk->tokens = full;
}

/* Sets this VM's fraction of the budget, 0 to 1.  */
void
lk_set_share (lk_link *lk, double share, uint64_t now_us)
{
  _lk_refill (lk, now_us);
  lk->share = share < 0 ? 0 : share > 1 ? 1 : share;
  _lk_refill (lk, now_us);
}

/* Marks the link as up or down.  The share stays as it was.  */
void
lk_set_up (lk_link *lk, bool up, uint64_t now_us)
{
  _lk_refill (lk, now_us);
  lk->up = up;
}

/* Utility of a transfer, in the unit of the price: that of a deadline met only
   there and of the seconds saved.  Not above zero when the other region is no
   better.  */
double
lk_gain (const lk_link *lk, const lk_transfer *transfer)
{
  uint32_t tier = transfer->tier < LK_TIERS ? transfer->tier : LK_TIERS - 1;
  uint64_t remote_us = transfer->remote_us + 2 * lk->desc.latency_us;
  double saved_s
      = ((double)transfer->local_us - (double)remote_us) / _LK_US_PER_S;
  if (saved_s > _LK_SAVED_MAX_S)
    saved_s = _LK_SAVED_MAX_S;
  double gain = saved_s * lk->desc.second_utility[tier];
  if (transfer->deadline_us > 0)
    {
      bool local_ok = transfer->local_us <= transfer->deadline_us;
      bool remote_ok = remote_us <= transfer->deadline_us;
      if (remote_ok && !local_ok)
        gain += lk->desc.deadline_utility[tier];
      if (local_ok && !remote_ok)
        gain -= lk->desc.deadline_utility[tier];
    }
  return gain;
}

/* Price of sending BYTES, in the unit of price_per_gb.  */
double
lk_price (const lk_link *lk, uint64_t bytes)
{
  return (double)bytes * lk->desc.price_per_gb / 1e9;
}

/* Decides whether a request is transferred; takes its bytes from the budget
   when it is.  */
bool
lk_take_transfer (lk_link *lk, const lk_transfer *transfer, uint64_t now_us)
{
  _lk_refill (lk, now_us);
  if (!lk->up || (double)transfer->bytes > lk->tokens
      || lk_gain (lk, transfer) <= lk_price (lk, transfer->bytes))
    return false;
  lk->tokens -= (double)transfer->bytes;
  lk->transfer_count++;
  lk->transferred_bytes += transfer->bytes;
  return true;
}

/* Corrects the budget when a transferred request has ended, by the difference
   between its estimated and its actual bytes.  */
void
lk_settle (lk_link *lk, uint64_t reserved_bytes, uint64_t actual_bytes)
{
  lk->tokens += (double)reserved_bytes - (double)actual_bytes;
  lk->transferred_bytes += actual_bytes - reserved_bytes;
}
