/* bu.h -- budgets that all VMs share without asking each other each time.

   Repeats.  A service may be sent a bounded number of repeats in a sliding
   window: a share of its requests plus a fixed part.  Each VM spends its own
   requests' share and an equal part of the fixed one, so the sum over the
   VMs holds whoever can be reached.

     if (bu_take_repeat (&budget, &terms, now_us)) send again

   Quotas.  A team's tokens (or requests) refill a bucket at its rate.
   Every VM keeps the whole bucket and takes off what it admits and what the
   others report.  Less urgent requests leave a part of the bucket, so that a
   team that asks for more than its quota gets the urgent ones served; its
   rate stays the same.  What a silent VM may be using is reserved: its last
   rate.

     if (!bu_take_quota (&quota, 1460, 0, now_us, &retry_after_us)) 429
     bu_report_quota (&quota, peer, admitted_since_its_start, younger, now_us)
 */
#ifndef BU_H
#define BU_H

#include <stdbool.h>
#include <stdint.h>

#define BU_BUCKETS 10
#define BU_PEERS_MAX 64

typedef struct
{
  double share; /* repeats for each request */
  double fixed; /* repeats in a window beside the share */
  uint64_t window_us;
  uint32_t vms; /* that share the fixed part */
} bu_terms;

typedef struct
{
  uint64_t bucket; /* number of the newest one */
  uint32_t requests[BU_BUCKETS];
  uint32_t repeats[BU_BUCKETS];
} bu_repeats;

typedef struct
{
  uint64_t peer; /* 0: free */
  uint64_t admitted;
  uint64_t at_us;
  double rate; /* per second */
} bu_peer;

typedef struct
{
  double rate; /* per second; 0: no limit */
  double burst;
  double level;
  uint64_t filled_at_us;
  uint64_t admitted; /* by this VM since its start */
  bu_peer peers[BU_PEERS_MAX];
} bu_quota;

#ifdef __cplusplus
extern "C"
{
#endif

  void bu_count_request (bu_repeats *b, const bu_terms *terms,
                         uint64_t now_us);
  bool bu_take_repeat (bu_repeats *b, const bu_terms *terms, uint64_t now_us);

  void bu_set_quota (bu_quota *a, double rate, double burst, uint64_t now_us);
  bool bu_take_quota (bu_quota *a, double amount, double keep, uint64_t now_us,
                      uint64_t *retry_after_us);
  void bu_report_quota (bu_quota *a, uint64_t peer, uint64_t admitted,
                        bool younger, uint64_t now_us);
  void bu_forget_peer (bu_quota *a, uint64_t peer);

#ifdef __cplusplus
}
#endif

#endif
