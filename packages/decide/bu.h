/* bu.h -- retry budgets and quotas that all VMs share without a message for
   each request.

   Used by the gateway.

   Retry budget.  The retries of a service are limited in a sliding window to a
   ratio of its requests plus a fixed number.  Each VM uses the ratio of its
   own requests and an equal fraction of the fixed number, so the sum over the
   VMs holds during a network partition as well.

     bu_count_request (&retries, &terms, now_us);
     if (bu_take_retry (&retries, &terms, now_us)) send again

   Quotas.  A team has a token bucket, of tokens or of requests.  Every VM
   keeps the whole bucket and subtracts what it admits and what the others
   report (qa.h).  Less urgent requests leave an amount in reserve, so that the
   urgent ones of a team above its quota are served; its rate stays the same.
   For a VM that is unresponsive, its last rate is reserved.

   VMs that start together begin with equal shares of a part of the bucket, and
   leave each other an equal share of the rate.  Once one of them has reported,
   its use is subtracted in full, so its shares are added:

     bu_start_quota (&quota, 7, now_us);
     bu_reserve_unheard (&quota, 6, 7, now_us);
     bu_add_share (&quota, now_us);            one of the 6 has reported
     bu_reserve_unheard (&quota, 5, 7, now_us);

   A VM that stops reporting may be behind a partition: its part of the bucket
   and of the rate is withheld.  When it reports again, with all that it has
   admitted, what was withheld for it is added.

     bu_withhold_peer (&quota, peer);
     bu_set_silent (&quota, 2.0 / 7, false, now_us);  two of seven are silent
     bu_set_silent (&quota, 1.0 / 7, true, now_us);   one reports again

   A request holds its amount from its arrival on and is charged when it is
   sent, so that a team pays nothing for requests that are refused.  Other VMs
   do not see what is held, so a request that has waited is checked again.

     if (!bu_hold_quota (&quota, 1460, 0, now_us, &retry_after_us)) 429, for
       the reason bu_query_bound
     if (!bu_allows_held (&quota, 0, now_us, &retry_after_us)) 429, after a
   wait bu_charge_quota (&quota, 1460)    when the request is first sent, or
     bu_release_quota (&quota, 1460)   when it ends without having been sent
     bu_report_quota (&quota, peer, increment, now_us)
 */
#ifndef BU_H
#define BU_H

#include <stdbool.h>
#include <stdint.h>

#define BU_BUCKETS 10
#define BU_PEERS_MAX 64

typedef struct
{
  double ratio; /* retries per request */
  double fixed; /* retries in a window in addition to the ratio */
  uint64_t window_us;
  uint32_t vms; /* that divide FIXED among themselves */
} bu_terms;

typedef struct
{
  uint64_t bucket; /* number of the newest bucket */
  uint32_t requests[BU_BUCKETS];
  uint32_t retries[BU_BUCKETS];
} bu_retries;

typedef struct
{
  uint64_t peer;   /* 0: free */
  uint64_t at_us;  /* last report */
  double rate;     /* per second */
  double reserved; /* since its last report */
} bu_peer;

typedef struct
{
  double rate; /* per second; 0: no limit */
  double burst;
  double level;
  double held; /* for requests that have not been sent */
  /* Fraction of the rate that is reserved for VMs which have not reported
     yet.  */
  double unheard;
  double start_share;      /* of the bucket, of each VM that started */
  double start_rate_share; /* per second */
  uint64_t started_us;
  double silent;   /* part of the VMs that have stopped reporting */
  double withheld; /* for these */
  uint64_t filled_at_us;
  uint64_t admitted; /* charged by this VM since its start */
  bu_peer peers[BU_PEERS_MAX];
} bu_quota;

/* What keeps a request from the quota.  */
typedef enum
{
  BU_USED = 0, /* the team has used its quota */
  BU_SILENT,   /* what is left is reserved for VMs that do not report */
  BU_URGENT    /* what is left is reserved for more urgent requests */
} bu_bound;

#ifdef __cplusplus
extern "C"
{
#endif

  void bu_count_request (bu_retries *b, const bu_terms *terms,
                         uint64_t now_us);
  bool bu_take_retry (bu_retries *b, const bu_terms *terms, uint64_t now_us);

  void bu_set_quota (bu_quota *quota, double rate, double burst,
                     uint64_t now_us);
  void bu_start_quota (bu_quota *quota, uint32_t vms, uint64_t now_us);
  void bu_add_share (bu_quota *quota, uint64_t now_us);
  void bu_set_silent (bu_quota *quota, double part, bool returned,
                      uint64_t now_us);
  void bu_reserve_unheard (bu_quota *quota, uint32_t unheard, uint32_t vms,
                           uint64_t now_us);
  bool bu_hold_quota (bu_quota *quota, double amount, double reserve_amount,
                      uint64_t now_us, uint64_t *retry_after_us);
  bool bu_allows_held (bu_quota *quota, double reserve_amount, uint64_t now_us,
                       uint64_t *retry_after_us);
  bu_bound bu_query_bound (const bu_quota *quota);
  const char *bu_bound_name (bu_bound bound);
  double bu_query_reserved (const bu_quota *quota);
  void bu_charge_quota (bu_quota *quota, double amount);
  void bu_release_quota (bu_quota *quota, double amount);
  void bu_report_quota (bu_quota *quota, uint64_t peer, uint64_t increment,
                        uint64_t now_us);
  void bu_remove_peer (bu_quota *quota, uint64_t peer);
  void bu_withhold_peer (bu_quota *quota, uint64_t peer);

#ifdef __cplusplus
}
#endif

#endif
