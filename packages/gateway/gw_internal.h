/* gw_internal.h -- state of the gateway, shared by its stages.

   A request belongs to one caller connection; each stage hands it to the next
   one by a function below.  */
#ifndef GW_INTERNAL_H
#define GW_INTERNAL_H

#include "bu.h"
#include "gq.h"
#include "gw.h"
#include "hp.h"
#include "lo.h"
#include "pe.h"
#include "pt.h"
#include "uc.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#define _GW_ID_MAX ST_NAME_MAX
/* Sendings of one request, those included that ran nothing.  */
#define _GW_SENDS_MAX 4
/* Of a stream that has begun: its caller bears a pause in which several
   upstreams may turn it away, as they do while all of them are replaced.  */
#define _GW_SENDS_MAX_BEGUN 12
/* A VM that has not reported for this long takes no callers.  */
#define _GW_PEER_SILENT_US 1300000
/* Teams whose use is told to the other VMs.  */
#define _GW_TEAMS_MAX 64

typedef enum
{
  _GW_FREE = 0,
  _GW_QUEUED,  /* waits for room at an upstream */
  _GW_SENT,    /* no byte of an answer has been passed on */
  _GW_RELAYING /* a stream of which the caller has a part */
} _gw_state;

typedef struct _gw_conn _gw_conn;

typedef struct _gw_request
{
  struct gw_task *gw;
  _gw_conn *conn;
  rc_config *config;
  const rc_route *route;
  const rc_team *team; /* NULL on public routes */
  GString *head;       /* request line and fields that every sending shares */
  GString *body;
  double quota; /* that it takes */
  gq_demand demand;
  uint64_t give_up_us; /* refused when it still waits then */
  uint64_t end_us;     /* the caller or the route waits no longer */
  uint64_t sent_us;
  uint64_t first_us; /* first event or head of the answer */
  ut_id upstream;
  uc_exchange *exchange;
  GString *answer_head; /* fields to pass on */
  GString *answer;      /* body, or the last incomplete event */
  uint64_t last_event;  /* id */
  uint64_t last_event_us;
  uint64_t events; /* passed on */
  struct event *timer;
  struct _gw_request *next; /* in the queue */
  uint32_t index;
  _gw_state state;
  uint32_t max_output_tokens;
  uint32_t sends;
  uint32_t runs;          /* sendings that may have run */
  uint32_t arrivals;      /* sendings that may have reached an upstream */
  uint32_t unread_tokens; /* reported for the upstream */
  int status;             /* of the answer at hand */
  st_name id;
  st_name service;
  st_name upstream_id;
  bool engine;
  bool repeatable; /* may run more than once */
  bool repeat_due; /* its next sending still has to be taken from the budget */
  bool counted;    /* in the budget of repeats */
  bool has_last_event;
  bool is_signed; /* the answer at hand has a signature */
  bool not_run;   /* it states that the request did not run */
  bool encoded;   /* it has an encoding that the caller did not ask for */
  bool is_stream; /* its events are passed on as they arrive */
} _gw_request;

struct _gw_conn
{
  struct gw_task *gw;
  struct bufferevent *bev;
  hp_reader *reader;
  struct event *timer; /* head timeout, or idle */
  _gw_request *request;
  GString *body;
  bool body_too_large;
  bool close_after;
  bool chunked; /* the answer under way is */
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
  bu_retries repeats;
  double service_us; /* mean time in a slot */
} _gw_service;

typedef struct
{
  st_name name;
  uint64_t hash;
  bu_quota quota;
} _gw_team;

typedef struct
{
  uint64_t key; /* hash of the incarnation, or a cell; 0: free */
  ms_load_scope scope;
  uint64_t cell; /* of the VM */
  bool active;   /* takes callers */
  bool younger;  /* than this VM */
  st_name name;
  char incarnation[MS_INCARNATION_MAX + 1];
  uint64_t heard_us;
  bool ready;
  uint64_t config_version;
  bool follows;
  uint64_t store_revision;
  uint32_t waiting[MS_LOAD_RANKS];
  ut_row *rows; /* of MS_LOAD_VM, for the sum of the cell */
  size_t row_count;
  ms_load_team teams[_GW_TEAMS_MAX];
  size_t team_count;
} _gw_peer;

/* Whom this VM tells what: worked out from the members now and then.  The
   VMs of a cell pass configurations on to each other.  Active VMs are few,
   and where they are few enough for it, they are one cell of their own for
   their loads, across the data centres.  The arrays hold incarnations and
   own them.  */
typedef struct
{
  uint64_t cell;
  bool speaker;        /* for the cell, to the speakers of others */
  bool active;         /* this VM takes callers */
  bool active_apart;   /* the active VMs tell each other their loads */
  bool several;        /* the loads of some VMs with callers come late */
  GPtrArray *close;    /* told of each change of load */
  GPtrArray *distant;  /* told of the load now and then */
  GPtrArray *standby;  /* of the cell, without callers */
  GPtrArray *working;  /* of the cell, with callers */
  GPtrArray *speakers; /* of other cells */
  uint32_t vm_count;
  uint32_t active_count;
  uint64_t built_us;
} _gw_cell;

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
  _gw_peer peer[UT_PEERS_MAX]; /* mates, other cells, the rest */
  GHashTable *heard;           /* keys of younger VMs that were peers */
  _gw_cell cell;
  GPtrArray *services; /* of _gw_service */
  GPtrArray *teams;    /* of _gw_team */
  GHashTable *callers; /* hash of a route's name -> pt_route */
  GPtrArray *conns;
  _gw_request *requests; /* pool */
  uint32_t free_first;   /* index + 1; 0: none */
  uint32_t used;
  uint32_t open;
  uint64_t count;
  bool leaving;
  uint64_t leaving_us;
  struct event *tick;
  struct event *load_timer;
  uint64_t load_sent_us;
  uint64_t distant_sent_us;
  struct event *cell_timer;
  bool load_dirty;
  uint64_t document_asked_us;
  struct event *expiry; /* while requests wait */
  uint32_t random;
  uint64_t now_us;
  uint64_t started_us;
};

uint64_t _gw_now (gw_task *gw);
uint32_t _gw_random (gw_task *gw);
void _gw_watch_queues (gw_task *gw);
_gw_service *_gw_find_service (gw_task *gw, st_str name);
_gw_team *_gw_find_team (gw_task *gw, st_str name);
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
void _gw_close_conn (_gw_conn *conn);
void _gw_reply (_gw_conn *conn, int status, st_str fields, st_str body);
void _gw_reply_begin (_gw_conn *conn, int status, st_str fields);
void _gw_reply_part (_gw_conn *conn, st_str bytes);
void _gw_reply_end (_gw_conn *conn);
void _gw_reply_abort (_gw_conn *conn);
void _gw_reply_error (_gw_conn *conn, int status, st_str id,
                      const char *reason, uint64_t retry_after_us);

/* Identify: gw_identify.c.  */
void _gw_identify (_gw_conn *conn);

/* Admit and queue: gw_queue.c.  */
void _gw_admit (_gw_request *r);
void _gw_requeue (_gw_request *r);
void _gw_dequeue (_gw_request *r);
void _gw_schedule (gw_task *gw, _gw_service *service);
void _gw_schedule_all (gw_task *gw);
void _gw_expire_queues (gw_task *gw);

/* Dispatch: gw_dispatch.c.  */
void _gw_dispatch (_gw_request *r, ut_id to);
void _gw_end_exchange (_gw_request *r, ut_outcome outcome);
void _gw_measure (_gw_request *r);
bool _gw_take_repeat (_gw_request *r);
void _gw_retry (_gw_request *r, bool arrived, bool may_have_run,
                const char *reason);

/* Relay: gw_relay.c.  */
void _gw_relay (_gw_request *r, st_str bytes);
void _gw_relay_end (_gw_request *r);

/* Reports of load: gw_load.c.  */
void _gw_start_reports (gw_task *gw);
void _gw_make_cell (_gw_cell *cell);
void _gw_destroy_cell (_gw_cell *cell);
void _gw_build_cell (gw_task *gw);
void _gw_tell (gw_task *gw, const GPtrArray *incarnations,
               const ms_message *m);

/* The other VMs: gw_peers.c.  */
bool _gw_start_peers (gw_task *gw, er_error *err);
void _gw_load_changed (gw_task *gw);
void _gw_expire_peers (gw_task *gw);
uint64_t _gw_reports_age_us (const gw_task *gw);
void _gw_peer_waiting (const gw_task *gw, uint32_t waiting[GQ_RANKS]);

#endif
