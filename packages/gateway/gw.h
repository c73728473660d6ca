/* gw.h -- the gateway task: proxied requests from accept to account.

   Callers connect to one listener.  A request goes through accept, identify,
   admit, queue, dispatch, relay (streams) or check (whole answers), account;
   one file a stage, in that order.

     gw_task *gw = gw_make (&(gw_desc){ .base = base, .listen = address,
                                        .names = &names, ... }, &err);
     gw_set_config (gw, config);         // each newer version
     gw_put_upstream (gw, &entry);       // from the registry
     gw_remove_upstream (gw, id);
     gw_leave (gw);                      // SIGTERM: no new callers
     gw_destroy (gw);

   What a caller is told: 429 and 503 only when no upstream can have run the
   request or ever will; 502 and 504 when one may have.  A whole answer is
   passed on only after all of it has been checked; a stream event by event,
   and one that breaks off never ends like a complete one.  */
#ifndef GW_H
#define GW_H

#include "ck.h"
#include "er.h"
#include "mt.h"
#include "rc.h"
#include "ut.h"

#include <event2/event.h>

/* Requests open at one time; more are refused.  */
#define GW_REQUESTS_MAX 4096
/* VMs that callers may be sent to at most.  */
#define GW_VMS_MAX 2048

/* Names of header fields, given by the adapter.  */
typedef struct
{
  st_str request_id;
  st_str deadline_ms;     /* time that the caller will wait */
  st_str team;            /* set by this side */
  st_str expect_instance; /* set by this side */
  st_str signature;       /* without it no answer is a success */
  st_str not_run;         /* an answer with it states: not run */
  st_str token_usage;     /* "PROMPT,MAX_OUTPUT" */
  st_str resume_after;    /* id of the last event that the caller has */
  st_str key_scheme;      /* word before the key in Authorization */
  /* Fields of callers that only this side may set.  */
  const st_str *drop;
  size_t drop_count;
  /* End-to-end fields, whatever Connection says of them.  */
  const st_str *keep;
  size_t keep_count;
} gw_names;

/* Limits that the whole system keeps, not each VM.  */
typedef struct
{
  double repeat_share; /* repeats for each request to a service */
  double repeat_fixed; /* and beside these, in a window */
  uint32_t repeat_window_ms;
  /* Units of a team's quota by which a window may exceed it: room for
     bursts and for reports under way.  */
  double quota_slack;
} gw_bounds;

typedef struct
{
  bool follows;
  uint64_t revision;
} gw_following;

typedef struct
{
  struct event_base *base;
  const ck_clock *clock; /* NULL: the runtime's */
  mt_registry *metrics;  /* may be NULL */
  st_str vm_name;
  st_str region;
  st_str data_center;
  uint32_t capacity;  /* thousandths of a core; 0: unknown */
  st_str listen;      /* IP:PORT of callers; port 0: any */
  st_str peer_listen; /* IP:PORT of the other VMs; "": runs alone */
  const gw_names *names;
  gw_bounds bounds;
  uint64_t seed;
  /* What the adapter shares with its kind on other VMs, in its own format;
     see gw_share.  */
  st_str (*query_document) (void *user, uint64_t since);
  void (*on_document) (void *user, st_str document);
  /* Whether this VM follows the store, and up to which revision it knows it;
     told to the cell.  */
  gw_following (*query_following) (void *user);
  void *user;
} gw_desc;

/* A VM, as far as callers may be sent to it.  */
typedef struct
{
  st_str name;
  st_str region;
  st_str data_center;
  st_str callers_address;
  bool ready;
  bool active; /* it is among those that are to take callers; see pc.h */
} gw_vm;

/* A VM that the registry knows.  */
typedef struct
{
  st_str name;
  st_str region;
  st_str data_center;
  st_str peer_address;
  st_str callers_address;
  uint32_t capacity; /* thousandths of a core; 0: unknown */
} gw_listed;

typedef struct
{
  uint64_t requests;
  uint32_t open;    /* requests */
  uint32_t callers; /* connections */
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
  void gw_set_vms (gw_task *gw, const gw_listed *vms, uint32_t count);
  void gw_share (gw_task *gw, st_str document);
  void gw_query_followers (const gw_task *gw, uint32_t *first,
                           uint64_t *newest);
  uint32_t gw_query_vm_count (const gw_task *gw);
  void gw_ask_document (gw_task *gw);
  void gw_leave (gw_task *gw);
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
