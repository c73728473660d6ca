/* gw_internal.h -- state of the gateway, shared by the gw_*.c files.

   A request belongs to one caller connection.  Each stage passes it to the
   next one by a function below.  */
#ifndef GW_INTERNAL_H
#define GW_INTERNAL_H

#include "bb.h"
#include "bu.h"
#include "dn.h"
#include "ft.h"
#include "gq.h"
#include "gw.h"
#include "hp.h"
#include "lo.h"
#include "pa.h"
#include "pe.h"
#include "pt.h"
#include "qa.h"
#include "qn.h"
#include "rt.h"
#include "uc.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#define _GW_ID_MAX ST_NAME_MAX
/* Most attempts of one request, including those that did not run.  */
#define _GW_ATTEMPTS_MAX 4
/* Most attempts of a stream that has started.  Its caller tolerates a gap in
   which several upstreams may refuse it, as when all are being
   replaced.  */
#define _GW_ATTEMPTS_MAX_STARTED 12
/* A VM that has not reported for this long is not ready for callers.  */
#define _GW_REPORT_TIMEOUT_US 1300000
/* Most teams whose quota use is reported to the other VMs.  */
#define _GW_TEAMS_MAX 256
/* Most VMs that a request is forwarded to.  */
#define _GW_FORWARDS_MAX 2

typedef enum
{
  _GW_FREE = 0,
  _GW_QUEUED,  /* waits for a slot at an upstream */
  _GW_SENT,    /* no byte of a response has been forwarded */
  _GW_RELAYING /* a stream of which events have been forwarded */
} _gw_state;

typedef struct _gw_conn _gw_conn;

typedef struct _gw_request
{
  struct gw_task *gw;
  _gw_conn *conn;
  rc_config *config;
  const rc_route *route;
  const rc_team *team; /* NULL on public routes */
  GString *head;       /* request line and fields common to all attempts */
  GBytes *body;
  GString *prompt_parts;     /* as the caller sent them; "": none */
  GString *key;              /* Authorization; for other VMs only */
  uint64_t identity;         /* equal for requests that repeat each other */
  rc_config *regions_config; /* whose regions demand.regions are */
  uint64_t region_mask;      /* of these regions */
  double quota;              /* units of the team's quota that it takes */
  gq_demand demand;
  uint64_t queue_timeout_us; /* time at which its wait in the queue ends */
  uint64_t end_us;           /* deadline, of the caller or the route */
  uint64_t sent_us;
  uint64_t first_us; /* first event of a stream */
  ut_id upstream;
  uc_exchange *exchange;
  GString *response_head;    /* fields to forward */
  GString *response_body;    /* body, or the last incomplete event */
  uint64_t last_event;       /* id */
  uint64_t last_event_us;    /* 0 until the first event of the attempt */
  uint64_t attempt_first_us; /* first event of the attempt */
  uint64_t events;           /* forwarded */
  uint64_t attempt_events;   /* of the attempt */
  size_t stored_bytes;       /* of response_body, in the sum of all */
  struct event *timer;
  struct event *copy_timer;    /* NULL until it is needed */
  struct _gw_request *copy;    /* second copy of this request */
  struct _gw_request *copy_of; /* this one is the copy of it */
  struct _gw_request *next;    /* in the queue */
  uint32_t index;
  _gw_state state;
  uint32_t max_output_tokens;
  uint32_t attempt_count;
  uint32_t runs;            /* attempts that may have run */
  uint32_t delivered_count; /* attempts that may have reached an upstream */
  uint32_t prefill_tokens;  /* as in the upstream table */
  uint32_t version_draw;    /* decides on the version in a rollout */
  uint32_t running_before;  /* others at its upstream when it was sent */
  int status;               /* of the current response */
  st_name id;
  st_name service;
  st_name upstream_id;
  bool engine;
  bool is_forwarded;  /* the attempt is at another VM, not an upstream */
  bool was_forwarded; /* the caller is another VM */
  uint64_t forwarded_to[_GW_FORWARDS_MAX]; /* keys of VMs */
  uint32_t forward_count;
  uint64_t vm_retry_after_us; /* that the other VM asked for */
  bool retryable;             /* may run more than once */
  bool retry_due; /* its next attempt has yet to be taken from the budget */
  bool budget_counted; /* in the retry budget */
  bool quota_held;     /* and not charged yet */
  bool quota_due;      /* left to another VM, which did not send it */
  bool has_last_event;
  uint64_t response_length; /* as the head of the response states */
  bool is_signed;           /* the current response has a signature */
  bool not_run;             /* it states that the request did not run */
  bool encoded;   /* it has a content encoding, which upstreams must not use */
  bool is_stream; /* its events are forwarded as they arrive */
  bool is_framed; /* it states where it ends, by its length or in chunks */
  bool is_resumed; /* the attempt resumes a stream, and no event of it has had
                      an id yet */
  bool load_test;  /* the attempt is part of the load test of a version */
} _gw_request;

struct _gw_conn
{
  struct gw_task *gw;
  struct bufferevent *bev;
  hp_reader *reader;
  struct event *timer; /* head timeout, or idle */
  _gw_request *request;
  GString *body;
  bb_body body_memory;
  uint64_t body_wanted; /* bytes that its body waits for; 0: does not wait */
  uint32_t body_tier;
  bool continue_due; /* where the caller expects it before the body */
  bool body_too_large;
  bool close_after;
  lm_conn limit;
  bool unread;            /* the caller does not read, and is not read */
  bool dropping;          /* what the caller still sends */
  bool chunked;           /* the response in progress is */
  uint64_t idle_since_us; /* start, or end of the last response */
  uint32_t index;
};

typedef struct
{
  _gw_request *first[GQ_RANKS];
  _gw_request *last[GQ_RANKS];
  uint32_t count[GQ_RANKS];
} _gw_queue;

typedef struct
{
  st_name name;
  _gw_queue queue;
  bu_retries retries;
  bu_retries copies; /* second copies */
  double service_us; /* mean time in a slot; 0: none yet */
  vr_rollout rollout;
} _gw_service;

/* Loads that a sum contains.  */
typedef enum
{
  _GW_SUM_GROUP = 0,    /* of the group; sent to other groups */
  _GW_SUM_OTHER_GROUPS, /* of the other groups; sent to active VMs */
  _GW_SUM_OTHER_VMS,    /* of the other groups and of the active VMs there;
                            sent to VMs on standby */
  _GW_SUMS
} _gw_sum;

typedef struct
{
  st_name name; /* empty until a configuration has it */
  uint64_t hash;
  bu_quota quota;
  uint64_t reported_from;  /* admitted before it joined as it is now */
  uint64_t sums[_GW_SUMS]; /* admitted since this VM's start */
} _gw_team;

typedef struct
{
  uint64_t key; /* hash of the incarnation, or a group; 0: free */
  ms_load_scope scope;
  uint64_t vm_group; /* of the VM */
  bool active;       /* accepts callers */
  st_name name;
  char incarnation[MS_INCARNATION_MAX + 1];
  uint64_t report_received_us;
  bool ready;
  bool no_path;       /* it hears no upstream */
  uint32_t running;   /* its requests at all upstreams */
  uint32_t forwarded; /* requests of this VM that are there */
  uint64_t config_version;
  bool follows;
  uint64_t store_revision;
  uint32_t waiting[MS_LOAD_RANKS];
  ut_row *rows; /* upstream loads, for the sum of the group */
  size_t row_count;
  ms_load_rollout rollouts[MS_LOAD_ROLLOUTS_MAX];
  size_t rollout_count;
} _gw_peer;

typedef struct
{
  st_name name;
  st_name region;
  st_name data_center;
  st_name callers_address;
  uint32_t capacity;
} _gw_listed_vm;

typedef struct
{
  uint64_t name; /* hash */
  uint64_t key;  /* hash of the incarnation; 0: known from the list only */
  bool direct;   /* it reports to this VM directly */
} _gw_active_vm;

/* The VM group of this VM and the recipients of its reports, rebuilt from the
   members at intervals; see pc.h.  The VMs of a group forward configurations
   to each other.  Where the active VMs are at most PC_ONE_GROUP_MAX, they
   also report their loads directly to each other, across the data centres
   (the active group).  The arrays own the incarnations that they contain.  */
typedef struct
{
  uint64_t id;               /* 0: the deployment is one group */
  bool aggregator;           /* this VM exchanges sums with other groups */
  bool active;               /* this VM accepts callers */
  bool active_group;         /* there is an active group */
  bool remote_loads_delayed; /* the loads of some active VMs arrive late */
  GPtrArray *frequent_recipients;   /* receive each change of load */
  GPtrArray *infrequent_recipients; /* receive the load at intervals */
  GPtrArray *standby_members;       /* of the group */
  GPtrArray *active_members;        /* of the group */
  GPtrArray *aggregators;           /* of other groups */
  uint32_t vm_count;
  uint32_t active_count;
  uint64_t built_us;
} _gw_group;

struct gw_task
{
  gw_desc desc;
  ck_clock runtime;
  struct evconnlistener *listener;
  rc_config *config;
  ut_table *upstreams;
  uc_pool *pool;
  pe_task *peers;
  char incarnation[MS_INCARNATION_MAX + 1];
  _gw_peer peer[UT_PEERS_MAX]; /* VMs, other groups, or their sum */
  GHashTable *seen_peers;      /* keys of VMs that started later */
  qn_table *quarantine;
  double suspect_messages;   /* left for rows of requests */
  uint64_t suspect_us;       /* when they were counted */
  pa_path path;              /* to the upstreams */
  uc_exchange *path_probe;   /* NULL: none is in progress */
  uint64_t path_probe_us;    /* its start */
  uint32_t forwarded_count;  /* open requests that other VMs have forwarded */
  qa_ledger *quota_ledger;   /* what the other VMs admitted */
  bool quotas_started;       /* with their part of a bucket */
  uint32_t started_together; /* VMs that started with this one and reported */
  GArray *listed;            /* VM list of the registry, of _gw_listed_vm */
  GArray *silent;       /* VMs that have stopped reporting, see gw_silent.c */
  uint64_t heard_us;    /* last report of any VM; 0: none yet */
  GArray *active_vms;   /* the others that are active, of _gw_active_vm */
  double silent_part;   /* of the quotas, left to VMs that are not heard */
  uint64_t active_us;   /* this VM has been active since then */
  uint64_t rejoined_us; /* as another incarnation; 0: never */
  _gw_group group;
  GPtrArray *services;       /* of _gw_service */
  GPtrArray *teams;          /* of _gw_team */
  GArray *regions;           /* that routes and teams name, of st_name */
  GHashTable *route_times;   /* hash of a route's name -> hc_route */
  GHashTable *route_callers; /* hash of a route's name -> pt_route */
  GPtrArray *conns;
  _gw_request *requests; /* pool */
  uint32_t free_first;   /* index + 1; 0: none */
  uint32_t used;         /* entries of the pool used so far */
  uint32_t open_count;
  uint64_t request_count;
  size_t stored_bytes; /* of all responses */
  size_t stored_max;
  lm_pool *limits;           /* desc.limits, or its own */
  bb_budget bodies;          /* memory of request bodies */
  GPtrArray *body_waiting;   /* of _gw_conn, in the order of arrival */
  dn_drain drain;            /* of a planned stop */
  struct event *drain_timer; /* NULL unless the stop has an end */
  struct event *tick;
  struct event *load_timer;
  uint64_t load_sent_us;
  uint64_t infrequent_sent_us;
  struct event *group_timer;
  bool load_dirty;
  ft_fetch fetch;            /* of the document */
  struct event *queue_timer; /* armed while requests wait */
  uint32_t random;
  uint64_t now_us;
  uint64_t started_us;
};

uint64_t _gw_now (gw_task *gw);
uint32_t _gw_random (gw_task *gw);
void _gw_arm_queue_timer (gw_task *gw);
_gw_service *_gw_find_service (gw_task *gw, st_str name);
_gw_team *_gw_find_team (gw_task *gw, st_str name);
_gw_team *_gw_find_team_hash (gw_task *gw, uint64_t hash);
void _gw_charge_quota (_gw_request *r);
void _gw_release_quota (_gw_request *r);
double _gw_quota_slack (const gw_task *gw, const rc_team *team);
_gw_service *_gw_service_of (_gw_request *r);
bool _gw_is_named (const st_str *names, size_t count, st_str name);

/* Requests: gw_request.c.  */
_gw_request *_gw_make_request (gw_task *gw, _gw_conn *conn);
void _gw_free_request (_gw_request *r);
void _gw_account (_gw_request *r, const char *outcome, int status,
                  const char *reason);
void _gw_abandon (_gw_request *r, const char *reason);
void _gw_refuse (_gw_request *r, int status, const char *reason,
                 uint64_t retry_after_us);
void _gw_fail (_gw_request *r, int status, const char *reason);

/* Accept: gw_accept.c.  */
bool _gw_listen (gw_task *gw, er_error *err);
void _gw_add_conn (gw_task *gw, evutil_socket_t fd);
void _gw_close_conn (_gw_conn *conn);
void _gw_count_conn (_gw_conn *conn);
bool _gw_is_head_request (const _gw_conn *conn);
void _gw_send_response (_gw_conn *conn, int status, st_str fields,
                        st_str body);
void _gw_start_response (_gw_conn *conn, int status, st_str fields);
void _gw_send_chunk (_gw_conn *conn, st_str bytes);
void _gw_end_response (_gw_conn *conn);
void _gw_abort_response (_gw_conn *conn);
void _gw_send_error (_gw_conn *conn, int status, st_str id, const char *reason,
                     uint64_t retry_after_us);

rc_limits _gw_limits (const gw_task *gw);
void _gw_arm_conn_timer (_gw_conn *conn, uint32_t ms);

/* Body: gw_body.c.  */
void _gw_start_bodies (gw_task *gw);
bool _gw_take_body (_gw_conn *conn, uint64_t size);
void _gw_release_body (_gw_conn *conn);
void _gw_refuse_body (_gw_conn *conn);

/* Identify: gw_identify.c.  */
void _gw_identify (_gw_conn *conn);
st_str _gw_path (st_str target);
st_str _gw_read_id (const _gw_conn *conn);

/* Admit and queue: gw_queue.c.  */
void _gw_admit (_gw_request *r);
void _gw_requeue (_gw_request *r);
uint64_t _gw_stream_tolerance_us (const _gw_request *r);
void _gw_dequeue (_gw_request *r);
void _gw_schedule (gw_task *gw, _gw_service *service);
void _gw_schedule_all (gw_task *gw);
void _gw_expire_queues (gw_task *gw);

/* Dispatch: gw_dispatch.c.  */
void _gw_dispatch (_gw_request *r, ut_id to);
void _gw_start_attempt (_gw_request *r);
void _gw_write_attempt_fields (const _gw_request *r, GString *head,
                               uint64_t left_us);
void _gw_send_attempt (_gw_request *r, st_str address, GString *head);
void _gw_end_exchange (_gw_request *r, ut_outcome outcome);
void _gw_end_attempt (_gw_request *r, bool sent, const char *reason);
void _gw_fail_exchange (_gw_request *r, const char *reason);
void _gw_record_service_time (_gw_request *r);
bool _gw_take_retry (_gw_request *r);
void _gw_retry (_gw_request *r, bool arrived, bool may_have_run,
                const char *reason);

/* Leave: gw_leave.c.  */
bool _gw_refuse_while_leaving (_gw_request *r);

/* Second copies: gw_copy.c.  */
void _gw_plan_copy (_gw_request *r);
void _gw_win_copy (_gw_request *r);
void _gw_end_copy (_gw_request *r);
bool _gw_leave_pair (_gw_request *r, bool arrived, bool may_have_run);

/* Relay: gw_relay.c.  */
void _gw_relay (_gw_request *r, st_str bytes);
void _gw_relay_end (_gw_request *r);

/* Limit: gw_limit.c.  */
void _gw_start_responses (gw_task *gw);
void _gw_count_stored (_gw_request *r);
bool _gw_check_limits (_gw_request *r);
void _gw_on_limit_exceeded (_gw_request *r, const char *reason);
void _gw_limit_unsent (_gw_request *r);
void _gw_on_unsent_empty (_gw_request *r);

/* Regions and cold upstreams: gw_regions.c.  */
void _gw_set_regions (_gw_request *r, rc_config *config, const rc_route *route,
                      const rc_team *team);
void _gw_bind_all_regions (gw_task *gw);
bool _gw_refuse_without_region (_gw_request *r);
void _gw_set_cold_limits (gw_task *gw);

/* Rollouts: gw_rollout.c.  */
void _gw_choose_versions (_gw_request *r);
ut_id _gw_choose_load_test (_gw_request *r);
void _gw_count_version (_gw_request *r, const ut_upstream *up);
void _gw_record_version (_gw_request *r, ut_outcome outcome);
void _gw_tick_rollouts (gw_task *gw);
size_t _gw_own_rollouts (const gw_task *gw,
                         ms_load_rollout rows[MS_LOAD_ROLLOUTS_MAX]);
void _gw_count_rollouts (gw_task *gw);

/* Quarantine: gw_quarantine.c.  */
bool _gw_refuse_quarantined (_gw_request *r);
bool _gw_is_suspect (const _gw_request *r);
void _gw_record_sent (const _gw_request *r);
void _gw_record_served (const _gw_request *r);
void _gw_record_alive (const _gw_request *r);
void _gw_record_lost (const _gw_request *r);
void _gw_record_event (_gw_request *r);
void _gw_on_suspects (gw_task *gw, const ms_suspects *suspects);
void _gw_publish_quarantine (gw_task *gw);

/* Path to the upstreams: gw_path.c.  */
bool _gw_is_cut_off (const gw_task *gw);
void _gw_on_heard (const _gw_request *r, bool response_begins);
void _gw_on_unheard (const _gw_request *r);
void _gw_check_path (gw_task *gw);

/* Forward: gw_forward.c.  */
bool _gw_has_path (const gw_task *gw, const _gw_peer *p);
bool _gw_is_forward_field (st_str name);
void _gw_read_forwarded (_gw_request *r, const hp_head *head);
bool _gw_refuse_forwarded (_gw_request *r);
bool _gw_forward (_gw_request *r);
void _gw_forward_waiting (gw_task *gw);
void _gw_on_forward_head (_gw_request *r, const hp_head *head);
void _gw_end_forward (_gw_request *r);
void _gw_on_forward_refused (_gw_request *r);

/* Stall: gw_stall.c.  */
void _gw_end_stalled (gw_task *gw);

/* Load reports: gw_load.c.  */
void _gw_start_reports (gw_task *gw);
void _gw_make_group (_gw_group *group);
void _gw_destroy_group (_gw_group *group);
void _gw_build_group (gw_task *gw);
bool _gw_is_in_sum (const _gw_group *group, const _gw_peer *p, _gw_sum what);
void _gw_send_to_all (gw_task *gw, const GPtrArray *incarnations,
                      const ms_message *m);

/* Silent VMs: gw_silent.c.  */
GArray *_gw_make_silent (void);
bool _gw_is_silent (const gw_task *gw, uint64_t key);
void _gw_add_silent (gw_task *gw, const _gw_peer *p);
void _gw_on_silent_returned (gw_task *gw, uint64_t key);
void _gw_on_silent_ended (gw_task *gw, st_str name);
void _gw_expire_silent (gw_task *gw);
bool _gw_is_isolated (const gw_task *gw);
void _gw_update_silent_part (gw_task *gw, bool returned);
void _gw_update_fleet (gw_task *gw);

/* The other VMs: gw_peers.c.  */
_gw_peer *_gw_find_peer (gw_task *gw, uint64_t key);
bool _gw_shares_quotas (const gw_task *gw, const _gw_peer *p);
bool _gw_start_peers (gw_task *gw, er_error *err);
void _gw_load_changed (gw_task *gw);
void _gw_expire_peers (gw_task *gw);
void _gw_reserve_unheard (gw_task *gw);
void _gw_start_quotas (gw_task *gw);
bool _gw_is_joining (const gw_task *gw);
bool _gw_is_member (const gw_task *gw, st_str name);
uint64_t _gw_reports_age_us (const gw_task *gw);
void _gw_peer_waiting (const gw_task *gw, uint32_t waiting[GQ_RANKS]);

#endif
