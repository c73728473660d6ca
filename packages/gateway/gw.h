/* gw.h -- the gateway task: proxies requests of callers to upstreams.

   Used by platform/, the adapter that feeds it configuration, upstreams and
   VMs.  Callers connect to one listener.  A request passes the stages accept,
   identify, admit, queue, dispatch, relay (streams) or check (complete
   responses) and account, in that order; see the gw_*.c files.

     gw_task *gw = gw_make (&(gw_desc){ .base = base, .listen = address,
                                        .names = &names, ... }, &err);
     gw_set_config (gw, config);         // each newer version
     gw_put_upstream (gw, &entry);       // from the registry
     gw_remove_upstream (gw, id);
     gw_leave (gw, grace_us);            // SIGTERM: no new callers
     gw_destroy (gw);

   A caller receives 429 or 503 only when no upstream has run the request or
   will run it; 502 or 504 when one may have.  A complete response is forwarded
   after all of it has been checked, a stream event by event.  A stream whose
   upstream connection is lost never ends like a complete one.  */
#ifndef GW_H
#define GW_H

#include "ck.h"
#include "er.h"
#include "hc.h"
#include "lm.h"
#include "mt.h"
#include "rc.h"
#include "ut.h"
#include "vr.h"

#include <event2/event.h>

/* Most requests that are open at a time; more are refused.  */
#define GW_REQUESTS_MAX 4096
/* Most VMs that gw_query_vms returns.  */
#define GW_VMS_MAX 2048

/* Names of header fields, set by the adapter.  */
typedef struct
{
  st_str request_id;
  st_str deadline_ms;     /* how long the caller waits */
  st_str team;            /* set by the gateway */
  st_str expect_instance; /* set by the gateway */
  st_str signature;       /* a 2xx response must have it */
  st_str not_run;      /* its presence states that the request did not run */
  st_str leaving;      /* its presence states that the upstream leaves */
  st_str limit;        /* requests a second that the upstream takes */
  st_str brittle;      /* rejections a second that the upstream bears */
  st_str token_usage;  /* "PROMPT,MAX_OUTPUT" */
  st_str prompt_parts; /* "ID:TOKENS,...", in the order of the prompt */
  st_str resume_after; /* id of the last event that the caller received */
  st_str key_scheme;   /* word before the key in Authorization */
  /* Fields that are dropped from requests: only the gateway may set them.  */
  const st_str *drop;
  size_t drop_count;
  /* Fields that are forwarded even where Connection lists them.  */
  const st_str *forward;
  size_t forward_count;
} gw_names;

/* Limits for all VMs together.  */
typedef struct
{
  double retry_ratio; /* retries for each request to a service */
  double retry_fixed; /* further retries in a window */
  uint32_t retry_window_ms;
  /* Tokens by which a team may exceed its quota in a window: room for bursts
     and for load reports in transit.  */
  double quota_slack;
  /* Requests to a version that turns out to be bad, of those to its service
     while the rollout runs, and further ones.  */
  double exposure_share; /* 0 means 0.1 */
  double exposure_slack;
} gw_bounds;

typedef struct
{
  bool follows;             /* this VM follows the store */
  uint64_t revision;        /* of the store that it has */
  uint64_t config_revision; /* at which its configuration was written */
} gw_follow_state;

typedef struct
{
  struct event_base *base;
  const ck_clock *clock; /* NULL: the runtime's */
  mt_registry *metrics;  /* may be NULL */
  st_str vm_name;
  st_str region;
  st_str data_center;
  uint32_t capacity;     /* thousandths of a core; 0: unknown */
  uint64_t memory_bytes; /* of the process; 0: unknown */
  lm_pool *limits; /* of all connections; NULL: none but those of bodies */
  uint32_t upstream_connections; /* most at a time; 0: no limit */
  uint32_t peer_connections;     /* the same; 0: the default of pe.h */
  st_str listen;                 /* IP:PORT for callers; port 0: any */
  st_str peer_listen; /* IP:PORT for the other VMs; "": runs alone */
  const gw_names *names;
  gw_bounds bounds;
  hc_desc copies; /* of slow requests; zero: none */
  uint64_t seed;
  /* The document that the adapters of the VMs exchange, in their own format:
     query_document returns the one for a VM whose configuration was written at
     the revision SINCE, on_document
     receives one from another VM; see gw_publish_document.  */
  st_str (*query_document) (void *user, uint64_t since);
  void (*on_document) (void *user, st_str document);
  /* Writes STATE of the rollout of SERVICE to TARGET, provided that the stored
     state has REVISION (0: there is none).  May be NULL.  */
  void (*write_rollout) (void *user, st_str service, st_str target,
                         vr_state state, uint64_t revision);
  /* Publishes whether requests with SUBJECT, a name of qn.h, are BLOCKED.  May
     be NULL.  */
  void (*write_quarantine) (void *user, st_str subject, bool blocked);
  /* State of the store follower; reported to the other VMs of the group.  */
  gw_follow_state (*query_follow_state) (void *user);
  void *user;
} gw_desc;

/* A VM that callers may be sent to.  */
typedef struct
{
  st_str name;
  st_str region;
  st_str data_center;
  st_str callers_address;
  bool ready;
  bool active; /* it accepts callers; see pc.h */
} gw_vm;

/* A VM list entry of the registry.  */
typedef struct
{
  st_str name;
  st_str region;
  st_str data_center;
  st_str peer_address;
  st_str callers_address;
  uint32_t capacity; /* thousandths of a core; 0: unknown */
} gw_vm_entry;

typedef struct
{
  uint64_t requests;   /* since the start */
  uint32_t open;       /* requests */
  uint32_t callers;    /* connections */
  size_t stored_bytes; /* of responses that are not forwarded yet */
  uint64_t body_bytes; /* memory taken for the bodies of requests */
} gw_counts;

typedef struct gw_task gw_task;

#ifdef __cplusplus
extern "C"
{
#endif

  gw_task *gw_make (const gw_desc *desc, er_error *err);
  void gw_destroy (gw_task *gw);
  void gw_set_config (gw_task *gw, rc_config *config);
  void gw_put_upstream (gw_task *gw, const ut_entry *entry);
  void gw_remove_upstream (gw_task *gw, st_str id, const char *reason);
  void gw_set_vms (gw_task *gw, const gw_vm_entry *vms, uint32_t count);
  void gw_set_rollout (gw_task *gw, st_str service, st_str target,
                       uint64_t duration_us, uint64_t revision);
  void gw_renew_rollout (gw_task *gw, st_str service, uint64_t revision);
  void gw_set_rollout_state (gw_task *gw, st_str service, st_str target,
                             vr_state state, uint64_t revision);
  void gw_set_evacuated (gw_task *gw, st_str data_center, bool evacuated);
  void gw_set_quarantine (gw_task *gw, st_str subject, bool blocked);
  void gw_remove_quarantine (gw_task *gw, st_str subject);
  void gw_publish_document (gw_task *gw, st_str document);
  void gw_query_followers (const gw_task *gw, uint32_t *first,
                           uint64_t *newest);
  uint64_t gw_query_newest_config (const gw_task *gw);
  bool gw_is_receiving (const gw_task *gw);
  uint32_t gw_query_vm_count (const gw_task *gw);
  void gw_fetch_document (gw_task *gw);
  void gw_leave (gw_task *gw, uint64_t grace_us);
  void gw_close_callers (gw_task *gw);
  bool gw_query_ready (const gw_task *gw);
  uint32_t gw_query_vms (const gw_task *gw, gw_vm *vms, uint32_t max);
  gw_counts gw_query_counts (const gw_task *gw);
  const ut_table *gw_query_upstreams (const gw_task *gw);
  uint64_t gw_query_config_version (const gw_task *gw);
  uint16_t gw_query_port (const gw_task *gw);

#ifdef __cplusplus
}
#endif

#endif
