/* ut.h -- table of upstreams: who serves a service, and how loaded and how
   healthy each of them is.

     ut_table *t = ut_make (&(ut_desc){ .data_center = dc, .region = region });
     ut_put (t, &entry, now_us);              // from the registry
     ut_id id = ut_find (t, ST_LIT ("i-7f3a"));
     ut_begin (t, id, unread_tokens);         // a request is sent to it
     ut_first (t, id, unread_tokens);         // its answer has begun
     ut_end (t, id, UT_SERVED, now_us);
     ut_set_peer (t, peer, &report, now_us); // load that another VM has

   Ids carry a generation: an id of an upstream that has been removed is found
   by no call.  Load of an upstream is this VM's own plus what the other VMs
   reported; a report counts until the next one or until it is too old.

   A slot that becomes free is seen by all VMs at about the same time.  Those
   with requests waiting would all fill it, so they divide what is free at an
   upstream among themselves: each works out the same order from the keys of
   the VMs and the upstream, and takes its part of it.

     ut_set_key (t, key);  // by which other VMs know the reports of this one
     ut_rivals rivals = ut_query_rivals (t, rank, now_us);
     uint32_t part = ut_query_part (t, id, &rivals, slots);  */
#ifndef UT_H
#define UT_H

#include "al.h"
#include "st.h"

#define UT_UPSTREAMS_MAX 1024
#define UT_PEERS_MAX 64
/* Ranks of waiting requests that are told apart; 0 goes first.  */
#define UT_RANKS 16

typedef struct
{
  uint32_t index;
  uint32_t generation; /* 0: no upstream */
} ut_id;

/* What the registry says of an upstream.  */
typedef struct
{
  st_name id;
  st_name service;
  st_name address; /* IP:PORT */
  st_name data_center;
  st_name region;
  st_name version;
  uint32_t slots;
  uint32_t cold_ms; /* how much longer it is slow after its start */
  uint64_t started_ms;
  bool leaving; /* gets no new requests */
} ut_entry;

typedef enum
{
  UT_SERVED = 0,
  UT_FAILED,      /* an answer that is a failure, or a broken one */
  UT_UNREACHABLE, /* no connection */
  UT_CUT_OFF,     /* the connection ended before an answer began */
  UT_REFUSED,     /* it did not run the request */
  UT_ABANDONED    /* ended by this side: says nothing about the upstream */
} ut_outcome;

typedef struct
{
  uint64_t upstream; /* ut_hash of its id */
  uint32_t running;
  uint32_t unread_tokens;
} ut_row;

/* What a VM reports of its load.  */
typedef struct
{
  uint32_t waiting_ranks; /* bit I: requests of rank I wait there */
  const ut_row *rows;
  size_t count;
} ut_report;

/* The VMs at which requests wait that are as urgent as a given rank.  */
typedef struct
{
  uint32_t rank;
  uint32_t count;
  uint64_t keys[UT_PEERS_MAX];
} ut_rivals;

typedef struct
{
  ut_entry entry;
  uint64_t hash;
  double bias;    /* 0 to 1: how far down this VM's own order it stands */
  uint32_t share; /* slots that are this VM's to fill; see ut_assign */
  uint32_t own_running;
  uint32_t own_unread_tokens;
  uint32_t peer_running;
  /* The same by the most urgent rank that waits at the VM; the last one is
     for VMs at which nothing waits.  */
  uint32_t running_by_rank[UT_RANKS + 1];
  uint32_t peer_unread_tokens;
  double pace_us;  /* measured time of one unit of work; 0: unknown */
  double failures; /* recent failures, halved every UT_HALF_LIFE_US */
  double answers;  /* recent answers, halved likewise */
  uint64_t decayed_at_us;
  uint32_t unreachable_in_row;
  uint32_t cut_off_in_row;
  uint64_t avoid_until_us;
} ut_upstream;

typedef struct
{
  st_name vm; /* this VM: each has its own order of preference */
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
  uint32_t ut_query_distance (const ut_table *t, ut_id id);
  uint64_t ut_hash (st_str id);

  void ut_assign (ut_table *t, const st_str *vms, uint32_t count,
                  bool near_only);
  void ut_begin (ut_table *t, ut_id id, uint32_t unread_tokens);
  void ut_first (ut_table *t, ut_id id, uint32_t unread_tokens);
  void ut_end (ut_table *t, ut_id id, uint32_t unread_tokens,
               ut_outcome outcome, uint64_t now_us);
  void ut_pace (ut_table *t, ut_id id, double unit_us);
  void ut_avoid (ut_table *t, ut_id id, uint64_t until_us);
  void ut_set_key (ut_table *t, uint64_t key);
  void ut_set_peer (ut_table *t, uint64_t peer, const ut_report *report,
                    uint64_t now_us);
  ut_rivals ut_query_rivals (const ut_table *t, uint32_t rank,
                             uint64_t now_us);
  uint32_t ut_query_part (const ut_table *t, ut_id id, const ut_rivals *rivals,
                          uint32_t slots);
  void ut_expire_peers (ut_table *t, uint64_t now_us);
  size_t ut_query_rows (const ut_table *t, ut_row *rows, size_t max);
  double ut_query_failure_share (const ut_table *t, ut_id id, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
