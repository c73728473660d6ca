/* lk.h -- budget of the link between two regions and cost of a transfer.

   Used by the server for each request that could run in the other region.  It
   is transferred only when the gain, weighted by its tier, is above the price
   of its bytes and the budget has room.  The budget is a token bucket; the
   share is this VM's fraction of it, from the rules of tl_.

     lk_link lk;
     lk_setup (&lk, &(lk_desc){ .bytes_per_s = 2e6 }, now_us);
     lk_set_share (&lk, share, now_us);
     if (lk_take_transfer (&lk, &(lk_transfer){ .tier = 0, .bytes = 40000,
                                                .local_us = 900000,
                                                .remote_us = 150000,
                                                .deadline_us = 310000 },
                           now_us))
       dispatch it in the other region, then
       lk_settle (&lk, 40000, actual_bytes);

   During a network partition, lk_set_up (&lk, false): nothing is
   transferred.  */
#ifndef LK_H
#define LK_H

#include <stdbool.h>
#include <stdint.h>

#define LK_TIERS 5

typedef struct
{
  double bytes_per_s;  /* for requests; 0: 1,000,000 */
  double burst_s;      /* 0: 2 */
  double price_per_gb; /* 0: 0.05 */
  uint64_t latency_us; /* one way; 0: 5 ms */
  /* Utility of a met deadline and of a second saved, in the unit of the
     price, by tier; 0: 2e-3, 1e-3, 5e-5, 2e-5, 1e-5 for the deadline and a
     hundredth of it for the second.  */
  double deadline_utility[LK_TIERS];
  double second_utility[LK_TIERS];
} lk_desc;

typedef struct
{
  lk_desc desc;
  double share;
  double tokens;
  uint64_t refill_us;
  bool up;
  uint64_t transfer_count;
  uint64_t transferred_bytes;
} lk_link;

typedef struct
{
  uint32_t tier;
  uint64_t bytes;       /* prompt, response and KV cache, both ways */
  uint64_t local_us;    /* predicted time here; UINT64_MAX: impossible */
  uint64_t remote_us;   /* predicted time there, without the link */
  uint64_t deadline_us; /* from now; 0: none */
} lk_transfer;

#ifdef __cplusplus
extern "C"
{
#endif

  void lk_setup (lk_link *lk, const lk_desc *desc, uint64_t now_us);
  void lk_set_share (lk_link *lk, double share, uint64_t now_us);
  void lk_set_up (lk_link *lk, bool up, uint64_t now_us);
  double lk_gain (const lk_link *lk, const lk_transfer *transfer);
  double lk_price (const lk_link *lk, uint64_t bytes);
  bool lk_take_transfer (lk_link *lk, const lk_transfer *transfer,
                         uint64_t now_us);
  void lk_settle (lk_link *lk, uint64_t reserved_bytes, uint64_t actual_bytes);

#ifdef __cplusplus
}
#endif

#endif
