/* ut.h -- table of upstreams: which serve a service, their load and health.

   Used by the gateway, which fills it, and by gq, which chooses from it.

     ut_table *t = ut_make (&(ut_desc){ .data_center = dc, .region = region });
     ut_put (t, &entry, now_us);              // from the registry
     ut_id id = ut_find (t, ST_LIT ("i-7f3a"));
     ut_on_sent (t, id, prompt_tokens);       // a request is sent to it
     ut_on_response_start (t, id, prompt_tokens);
     ut_on_end (t, id, 0, UT_SERVED, now_us);
     ut_set_leaving (t, id);                  // it states that it leaves
     ut_pause (t, id, until_us);              // it asks for a pause
     ut_state_limit (t, id, &(el_limit){ .named = true, .per_s = 1.5,
                                         .stated_us = now_us });
     ut_state_brittle (t, id, &(ut_brittle){ .named = true, .per_s = 5,
                                             .stated_us = now_us });
     ut_set_peer (t, peer, &report, now_us);  // load report of another VM

   Ids carry a generation: no call finds an upstream that has been removed.
   The load of an upstream is this VM's own plus what the other VMs reported;
   a report is valid until the next one or until it is too old.

   What an upstream states of itself in a response precedes its entry: one that
   has said that it leaves is leaving until it starts again, whatever the entry
   says and also if the entry is removed and comes back.

   Data centres that are evacuated and limits for cold upstreams apply to the
   upstreams that are in the table and to those that come; see el.h.

     ut_set_evacuated (t, dc, true, now_us);
     ut_set_cold_limit (t, service, 9.8, 3000000);
     ut_set_cold_vms (t, true, others, count, now_us);     // who shares it
     ut_count_send (t, id, now_us);             // with each send

   All VMs see a freed slot at about the same time.  Those with waiting
   requests, the contenders, would all fill it, so they divide the slots of an
   upstream among themselves: each computes the same order from the keys of the
   VMs and the upstream, and takes its share.

     ut_set_key (t, key);  // identifies this VM's reports to the other VMs
     ut_contenders contenders = ut_query_contenders (t, rank, now_us);
     uint32_t share = ut_query_slot_share (t, id, &contenders, slots);  */
#ifndef UT_H
#define UT_H

#include "al.h"
#include "el.h"
#include "st.h"

#define UT_UPSTREAMS_MAX 1024
#define UT_PEERS_MAX 192
/* Number of queue ranks; rank 0 is served first.  */
#define UT_RANKS 16

typedef struct
{
  uint32_t index;
  uint32_t generation; /* 0: no upstream */
} ut_id;

/* The registry entry of an upstream.  */
typedef struct
{
  st_name id;
  st_name service;
  st_name address; /* IP:PORT */
  st_name data_center;
  st_name region;
  st_name version;
  uint32_t slots;
  uint32_t cold_ms; /* remaining time of its cold start */
  uint64_t started_ms;
  bool leaving; /* gets no new requests */
} ut_entry;

/* Most data centres that are evacuated at a time, and services with a limit
   for cold upstreams.  */
#define UT_EVACUATED_MAX 64
#define UT_COLD_SERVICES_MAX 64
/* Services whose upstreams are remembered to be brittle.  */
#define UT_BRITTLE_SERVICES_MAX 64

/* Upstreams that left the table after they had said that they leave, and that
   are remembered.  */
#define UT_DEPARTED_MAX 64

typedef enum
{
  UT_SERVED = 0,
  UT_FAILED,          /* an error response, or a truncated one */
  UT_UNREACHABLE,     /* no connection could be made */
  UT_CONNECTION_LOST, /* connection lost before a response started */
  UT_REFUSED,         /* the upstream did not run the request */
  UT_ABANDONED        /* ended by this side; does not count for its health */
} ut_outcome;

typedef struct
{
  uint64_t upstream; /* ut_hash of its id */
  uint32_t running;
  uint32_t prefill_tokens; /* prompt tokens waiting for prefill */
} ut_row;

/* Load report of a VM.  */
typedef struct
{
  uint32_t waiting_ranks; /* bit I: requests of rank I wait there */
  const ut_row *rows;
  size_t count;
} ut_report;

/* The other VMs at which requests of RANK or more urgent ones wait.  */
typedef struct
{
  uint32_t rank;
  uint32_t count;
  uint64_t keys[UT_PEERS_MAX];
} ut_contenders;

/* What an upstream has stated last of the rejections that it bears.  */
typedef struct
{
  bool named;         /* more than PER_S in a second crash it */
  double per_s;       /* from all VMs together */
  uint64_t stated_us; /* time of the newest statement; 0: there was none */
} ut_brittle;

typedef struct
{
  ut_entry entry;
  uint64_t hash;
  uint64_t known_us;    /* when this process was put */
  double order_penalty; /* 0 to 1: position in this VM's own order */
  uint32_t slot_share;  /* slots that this VM fills; see ut_assign */
  uint32_t own_running;
  uint32_t own_prefill_tokens;
  uint32_t peer_running;
  /* peer_running by the most urgent rank that waits at the VM; the last one is
     for VMs at which nothing waits.  */
  uint32_t running_by_rank[UT_RANKS + 1];
  uint32_t peer_prefill_tokens;
  double unit_time_us;     /* measured time per work unit; 0: unknown */
  double recent_failures;  /* halved every UT_HALF_LIFE_US */
  double recent_responses; /* served or failed; halved likewise */
  uint64_t decayed_at_us;
  uint32_t unreachable_in_row;
  uint32_t connection_lost_in_row;
  uint64_t avoid_until_us; /* used only if there is no other */
  uint64_t pause_until_us; /* not used at all */
  bool said_leaving;       /* in a response; the entry need not say so */
  bool evacuated;          /* its data centre is */
  el_limit limit;
  ut_brittle brittle;
  el_cold cold;
  el_sends sends; /* of this VM */
} ut_upstream;

typedef struct
{
  st_name vm; /* this VM, for its own order of preference */
  st_name data_center;
  st_name region;
  uint64_t report_max_age_us; /* 0 means 1.5 s */
  al_allocator allocator;
} ut_desc;

typedef struct ut_table ut_table;

#define UT_HALF_LIFE_US 3000000

#ifdef __cplusplus
extern "C"
{
#endif

  ut_table *ut_make (const ut_desc *desc);
  void ut_destroy (ut_table *t);
  ut_id ut_put (ut_table *t, const ut_entry *entry, uint64_t now_us);
  void ut_remove (ut_table *t, ut_id id);
  ut_id ut_find (const ut_table *t, st_str id);
  ut_id ut_find_hash (const ut_table *t, uint64_t hash);
  const ut_upstream *ut_query (const ut_table *t, ut_id id);
  bool ut_next (const ut_table *t, ut_id *cursor);
  uint32_t ut_query_slots (const ut_table *t);
  uint32_t ut_query_distance (const ut_table *t, ut_id id);
  uint64_t ut_hash (st_str id);

  void ut_assign (ut_table *t, const st_str *vms, uint32_t count,
                  bool same_data_center_only);
  uint32_t ut_query_assigned (const ut_table *t, ut_id id);
  void ut_on_sent (ut_table *t, ut_id id, uint32_t prefill_tokens);
  void ut_on_response_start (ut_table *t, ut_id id, uint32_t prefill_tokens);
  void ut_on_end (ut_table *t, ut_id id, uint32_t prefill_tokens,
                  ut_outcome outcome, uint64_t now_us);
  void ut_set_unit_time (ut_table *t, ut_id id, double unit_time_us);
  void ut_avoid (ut_table *t, ut_id id, uint64_t until_us);
  void ut_pause (ut_table *t, ut_id id, uint64_t until_us);
  void ut_set_leaving (ut_table *t, ut_id id);
  bool ut_state_limit (ut_table *t, ut_id id, const el_limit *statement);
  bool ut_state_brittle (ut_table *t, ut_id id, const ut_brittle *statement);
  const ut_brittle *ut_query_brittle (const ut_table *t, ut_id id);
  bool ut_set_evacuated (ut_table *t, st_str data_center, bool evacuated,
                         uint64_t now_us);
  void ut_set_cold_limit (ut_table *t, st_str service, double per_s,
                          uint64_t cold_us);
  void ut_set_cold_vms (ut_table *t, bool active, const uint64_t *others,
                        uint32_t count, uint64_t now_us);
  void ut_forget_cold_vm (ut_table *t, uint64_t vm);
  double ut_query_silent_part (const ut_table *t);
  void ut_count_send (ut_table *t, ut_id id, uint64_t now_us);
  void ut_set_key (ut_table *t, uint64_t key);
  void ut_set_peer (ut_table *t, uint64_t peer, const ut_report *report,
                    uint64_t now_us);
  ut_contenders ut_query_contenders (const ut_table *t, uint32_t rank,
                                     uint64_t now_us);
  uint32_t ut_query_slot_share (const ut_table *t, ut_id id,
                                const ut_contenders *contenders,
                                uint32_t slots);
  void ut_expire_peers (ut_table *t, uint64_t now_us);
  size_t ut_query_rows (const ut_table *t, ut_row *rows, size_t max);
  double ut_query_failure_ratio (const ut_table *t, ut_id id, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
