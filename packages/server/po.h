/* po.h -- policy: the settings in force, and the limits that follow from
   them.

   Holds the settings snapshot of this VM, the team limits, the retry budget
   and the link budget.  The other tasks of the server query it; no query waits
   for another process.

     po_policy *po = po_make (&(po_desc){ .server = sv });
     po_set_tree (po, tree);                  // a newer snapshot
     po_defaults defaults;
     if (!po_query (po, team, service, tier, &defaults, &err))
       refuse;
     if (!po_take_team (po, team, tokens, &wait_ms))
       refuse, Retry-After wait_ms;
     po_tick (po);                            // at least every 100 ms  */
#ifndef PO_H
#define PO_H

#include "er.h"
#include "rl.h"
#include "st.h"
#include "sx.h"

typedef struct po_policy po_policy;
typedef struct sv_server sv_server;

typedef struct
{
  sv_server *server;
} po_desc;

/* Settings for the requests of a team to a service.  */
typedef struct
{
  uint8_t default_tier;
  uint8_t most_urgent; /* more urgent requests are lowered to it */
  uint64_t deadline_ms;
  uint64_t deadline_max_ms;
} po_defaults;

/* One request that may be sent to another region.  */
typedef struct
{
  uint8_t tier;
  uint64_t bytes;       /* of the request and its response */
  uint64_t local_us;    /* expected time in the own region */
  uint64_t remote_us;   /* expected time in the other region */
  uint64_t deadline_us; /* from now; 0: none */
} po_transfer;

#ifdef __cplusplus
extern "C"
{
#endif

  po_policy *po_make (const po_desc *desc);
  void po_destroy (po_policy *po);
  void po_set_tree (po_policy *po, sx_tree *tree);

  bool po_query (po_policy *po, st_str team, st_str service, int tier,
                 po_defaults *out, er_error *err);
  uint32_t po_query_strict_tiers (const po_policy *po);
  uint32_t po_query_weight (const po_policy *po, st_str team);
  uint32_t po_query_headroom_percent (const po_policy *po, st_str service);
  uint64_t po_query_ageing_us (const po_policy *po);
  uint64_t po_query_address_keep_ms (const po_policy *po);
  uint64_t po_query_watch_ms (const po_policy *po, st_str service);
  uint64_t po_query_rung_min_us (const po_policy *po, st_str service);
  bool po_query_rollout_spec (const po_policy *po, st_str service,
                              rl_spec *out);
  bool po_query_withdrawn (const po_policy *po, st_str service,
                           st_str version);

  bool po_query_team_admitted (const po_policy *po, st_str team);
  bool po_take_team (po_policy *po, st_str team, uint32_t tokens,
                     uint32_t *wait_ms);
  void po_record_first_attempt (po_policy *po);
  bool po_take_retry (po_policy *po);
  uint64_t po_retry_delay_ms (po_policy *po, unsigned attempt);
  bool po_take_transfer (po_policy *po, const po_transfer *transfer);

  void po_set_vm (po_policy *po, st_str vm, bool live, bool removed);
  void po_on_report (po_policy *po, st_str vm, st_str team, double demand,
                     double share);
  size_t po_query_reports (po_policy *po, st_name *teams, double *demands,
                           double *shares, size_t max);
  void po_tick (po_policy *po);

#ifdef __cplusplus
}
#endif

#endif
