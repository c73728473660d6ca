/* ms.h -- typed messages between dotterelbend processes.

   An ms_message is a tagged union.  Strings and byte ranges are views: when
   encoding, into the caller's memory; when decoding, into the frame.  Arrays
   of a decoded message are in the decoder's memory.  A decoded message is
   valid until the frame is drained or the decoder is used again.

     ms_message m = { .type = MS_HALT, .u.halt = { .service = s, ... } };
     ms_encode (out, &m, &err);             // appends one frame

     ms_decoder *d = ms_make_decoder ();
     if (fr_decode (in, &frame, &err) == FR_FRAME
         && ms_decode (d, &frame, &m, &err))
       switch (m.type) ...
     ms_destroy_decoder (d);

   Both directions check the same ranges and lengths, so what encodes also
   decodes.  Decoding uses at most 24 bytes for each byte of the body and
   never more than the longest frame.  */
#ifndef MS_H
#define MS_H

#include "er.h"
#include "fr.h"
#include "st.h"

typedef enum
{
  MS_HELLO = 1,
  MS_PING,
  MS_PING_REQ,
  MS_ACK,
  MS_LOOKUP,
  MS_LOOKUP_REPLY,
  MS_SLOT_ASK,
  MS_SLOT_GRANT,
  MS_SLOT_REFUSE,
  MS_SLOT_DONE,
  MS_SLOT_STOP,
  MS_SLOT_HOLD,
  MS_SLOT_CANCEL,
  MS_SETTINGS_HEAD,
  MS_SETTINGS_GET,
  MS_SETTINGS_VALUE,
  MS_HALT,
  MS_EVIDENCE,
  MS_ABANDON_ASK,
  MS_ABANDON_REPLY,
  MS_DEMAND,
  MS_LOAD,
  MS_SUSPECTS,
  MS_TYPE_END /* one past the last type */
} ms_type;

/* Longest strings, in bytes.  */
#define MS_NAME_MAX ST_NAME_MAX
#define MS_INCARNATION_MAX 96 /* VM name, '-', 16 hex digits */
#define MS_ADDRESS_MAX 64     /* IP:PORT, IPv6 included */
#define MS_REQUEST_ID_MAX 192
#define MS_KEY_MAX 512
#define MS_REASON_MAX 256
#define MS_ROUTE_MAX 128
#define MS_HASH_MAX 128
#define MS_VALUE_MAX_BYTES (1024 * 1024)

/* Largest counts.  */
#define MS_UPDATES_MAX 8
#define MS_DEMANDS_MAX 32
#define MS_PREFIXES_MAX 128
#define MS_SETTINGS_MAX 2048
#define MS_EVIDENCE_MAX 512
#define MS_COUNTS_MAX 128
#define MS_LOAD_ROWS_MAX 1024
#define MS_LOAD_RANKS 16
#define MS_LOAD_LIMITS_MAX 64
#define MS_LOAD_ROLLOUTS_MAX 32
#define MS_SUSPECTS_MAX 64
#define MS_TIERS 5
#define MS_TOKENS_MAX (1u << 26)

typedef enum
{
  MS_MEMBER_ALIVE = 0,
  MS_MEMBER_SUSPECT,
  MS_MEMBER_LEAVING,
  MS_MEMBER_DEAD,
  MS_MEMBER_STATES
} ms_member_state;

typedef enum
{
  MS_OUTCOME_NONE = 0, /* not finished */
  MS_OUTCOME_ANSWERED,
  MS_OUTCOME_NOT_RUN,
  MS_OUTCOME_UNKNOWN,
  MS_OUTCOMES
} ms_outcome;

typedef enum
{
  MS_LOOKUP_NOT_SEEN = 0,
  MS_LOOKUP_QUEUED,
  MS_LOOKUP_RUNNING,
  MS_LOOKUP_FINISHED,
  MS_LOOKUP_STATES
} ms_lookup_state;

typedef enum
{
  MS_REFUSE_DEADLINE = 0, /* cannot meet its deadline */
  MS_REFUSE_QUEUE_FULL,
  MS_REFUSE_TEAM_LIMIT,
  MS_REFUSE_NO_ENGINE,
  MS_REFUSE_NOT_OWNER, /* the receiver is not the cell owner */
  MS_REFUSE_LEAVING,
  MS_REFUSE_SHED,
  MS_REFUSE_REASONS
} ms_refuse_reason;

typedef struct
{
  st_str name;
  st_str incarnation;
  st_str region;
  st_str data_center;
  st_str peer_address;
  st_str callers_address;
  uint32_t protocol_version;
} ms_hello;

typedef struct
{
  st_str name;
  st_str incarnation;
  st_str region;
  st_str data_center;
  st_str peer_address;
  st_str callers_address;
  ms_member_state state;
  uint32_t capacity; /* of the VM, in thousandths of a core; 0: unknown */
  uint64_t counter;  /* raised by the VM itself */
} ms_member;

typedef struct
{
  st_str team;
  uint64_t demand; /* requests per second, in thousandths */
  uint64_t share;  /* limit share of the sender, in millionths */
} ms_demand;

/* PING and ACK.  SUBJECT is the incarnation that is probed (PING, may be
   empty) or that replied (ACK; not the sender when the ACK is relayed).  */
typedef struct
{
  uint64_t sequence;
  st_str sender; /* incarnation */
  st_str subject;
  uint64_t settings_version;
  ms_member self; /* the sender's own record */
  size_t update_count;
  const ms_member *updates;
  size_t demand_count;
  const ms_demand *demands;
} ms_probe;

typedef struct
{
  uint64_t sequence;
  st_str sender; /* incarnation */
  st_str target; /* incarnation to probe */
} ms_ping_req;

typedef struct
{
  st_str request_id;
  st_str asker; /* incarnation of the sender */
  bool refuse_if_unseen;
} ms_lookup;

typedef struct
{
  st_str request_id;
  ms_lookup_state state;
  ms_outcome outcome;
  st_str engine; /* may be empty */
} ms_lookup_reply;

typedef struct
{
  uint64_t hash;
  uint32_t tokens; /* length of the prefix that HASH covers */
} ms_prefix;

typedef struct
{
  uint64_t handle; /* of the request at its dispatcher */
  st_str cell;
  uint32_t tier;
  st_str team;
  st_str version;
  st_str route;
  uint32_t prompt_tokens;
  uint32_t expected_tokens;
  size_t prefix_count;
  const ms_prefix *prefixes;
  uint64_t deadline_ms;        /* from now */
  st_str resume_engine;        /* may be empty */
  bool first_token_unreported; /* see cs_request */
} ms_slot_ask;

typedef struct
{
  uint64_t handle;
  st_str engine;
  uint64_t grant_id;
  uint64_t first_token_us; /* predicted */
} ms_slot_grant;

typedef struct
{
  uint64_t handle;
  ms_refuse_reason reason;
  uint64_t retry_after_ms;
  bool lower_tier_running;
} ms_slot_refuse;

typedef struct
{
  uint64_t handle;
  uint64_t grant_id;
  uint64_t first_token_us;
  uint32_t tokens;
  uint64_t inter_token_us; /* mean */
  ms_outcome outcome;
  bool engine_refused;
} ms_slot_done;

typedef struct
{
  uint64_t handle;
  uint64_t grant_id;
} ms_slot_stop;

typedef struct
{
  uint64_t handle;
  uint64_t grant_id;
  st_str cell;
  st_str engine;
  uint32_t tier;
  st_str team;
  st_str version;
  st_str route;
  uint32_t prompt_tokens;
  uint32_t expected_tokens;
  uint32_t tokens; /* generated so far */
} ms_slot_hold;

typedef struct
{
  uint64_t handle;
} ms_slot_cancel;

typedef struct
{
  st_str subtree; /* may be empty in SETTINGS_GET */
  st_str hash;
  uint64_t changed; /* version that last changed the subtree */
} ms_settings_ref;

typedef struct
{
  uint64_t version;
  size_t count;
  const ms_settings_ref *refs;
  uint64_t since; /* REFS are those changed after this version; 0: all */
} ms_settings_head;

/* Requests the values of REFS; without refs, the head with the subtrees that
   changed after version SINCE.  */
typedef struct
{
  size_t count;
  const ms_settings_ref *refs;
  uint64_t since;
} ms_settings_get;

/* No bytes: the sender does not have the value.  */
typedef struct
{
  st_str hash;
  st_str bytes;
} ms_settings_value;

typedef struct
{
  st_str service;
  st_str version;
  st_str reason;
  uint64_t fence;
} ms_halt;

/* The sender and the receiver define the meaning of COUNTS.  */
typedef struct
{
  st_str service;
  st_str version;
  st_str route;
  uint32_t level;
  size_t count;
  const uint64_t *counts;
} ms_evidence_entry;

typedef struct
{
  st_str sender; /* incarnation */
  uint64_t sequence;
  size_t count;
  const ms_evidence_entry *entries;
} ms_evidence;

typedef struct
{
  st_str incarnation; /* of the process that dispatched the attempt */
  st_str key;         /* (team, service, key) in one string */
  uint64_t attempt;
} ms_abandon_ask;

typedef struct
{
  st_str key;
  uint64_t attempt;
  bool abandoned;
} ms_abandon_reply;

/* Demands that a VM reports to the VMs of its region for the teams' limits. */
typedef struct
{
  size_t count;
  const ms_demand *demands;
} ms_demand_report;

/* Requests of the sender that run at an upstream.  */
typedef struct
{
  uint64_t upstream; /* hash of the upstream's id */
  uint32_t running;
  uint32_t unread_tokens; /* prompt tokens waiting for prefill: those of
                             requests without a response yet */
} ms_load_row;

/* Tokens or requests that the sender has admitted for a team since its
   start.  */
typedef struct
{
  uint64_t team; /* hash of the team's name */
  uint64_t admitted;
} ms_load_team;

/* What the sender has seen of a rollout's versions, since the order.  */
typedef struct
{
  uint64_t service; /* hash of its name */
  uint64_t order;   /* revision of the order */
  uint32_t age_ms;  /* since the order was read first */
  uint64_t stratum; /* which requests; the key of a vr_row */
  uint32_t target_seen;
  uint32_t target_failed;
  uint32_t other_seen;
  uint32_t other_failed;
} ms_load_rollout;

/* What an upstream has stated of the requests a second that it takes from all
   VMs.  */
typedef struct
{
  uint64_t upstream;    /* hash of its id */
  bool named;           /* false: it has no limit any more */
  uint32_t per_s_milli; /* thousandths of a request a second */
  uint32_t age_ms;      /* of the statement */
} ms_load_limit;

typedef enum
{
  MS_LOAD_VM = 0,       /* of the sender */
  MS_LOAD_GROUP,        /* of all VMs of the sender's group */
  MS_LOAD_OTHER_GROUPS, /* sum of the loads of other groups */
  MS_LOAD_OTHER_VMS,    /* and of the VMs there that report directly to the
                           sender */
  MS_LOAD_SCOPES
} ms_load_scope;

/* Load of gateway VMs, sent to other VMs on change.  */
typedef struct
{
  ms_load_scope scope;
  uint64_t cell;           /* group of the sender */
  bool active;             /* the sender accepts callers */
  bool follows;            /* the sender follows the store, and the store
                              replies */
  uint64_t store_revision; /* up to which the sender has the store */
  uint64_t config_version; /* newest that the sender has; 0: none */
  bool ready;
  bool no_path;                    /* the sender hears no upstream */
  uint32_t uptime_ms;              /* of the sender */
  uint32_t waiting[MS_LOAD_RANKS]; /* queued requests by rank */
  size_t row_count;
  const ms_load_row *rows;
  size_t team_count;
  const ms_load_team *teams;
  size_t rollout_count;
  const ms_load_rollout *rollouts;
  size_t limit_count;
  const ms_load_limit *limits;
} ms_load;

/* A request or prompt part that was lost with UPSTREAM or, where UPSTREAM is
   0, was sent once more; or that was SERVED or, where UPSTREAM is not 0, an
   upstream that has responded since.  */
typedef struct
{
  st_str part; /* not empty */
  bool served;
  uint64_t upstream; /* hashes */
  uint64_t request;
} ms_suspect;

typedef struct
{
  size_t count;
  const ms_suspect *rows;
} ms_suspects;

typedef struct
{
  ms_type type;
  uint64_t correlation; /* a reply repeats its request's; 0: unused */
  union
  {
    ms_hello hello;
    ms_probe probe; /* PING, ACK */
    ms_ping_req ping_req;
    ms_lookup lookup;
    ms_lookup_reply lookup_reply;
    ms_slot_ask slot_ask;
    ms_slot_grant slot_grant;
    ms_slot_refuse slot_refuse;
    ms_slot_done slot_done;
    ms_slot_stop slot_stop;
    ms_slot_hold slot_hold;
    ms_slot_cancel slot_cancel;
    ms_settings_head settings_head;
    ms_settings_get settings_get;
    ms_settings_value settings_value;
    ms_halt halt;
    ms_evidence evidence;
    ms_abandon_ask abandon_ask;
    ms_abandon_reply abandon_reply;
    ms_demand_report demand_report;
    ms_load load;
    ms_suspects suspects;
  } u;
} ms_message;

typedef struct ms_decoder ms_decoder;

#ifdef __cplusplus
extern "C"
{
#endif

  bool ms_encode (struct evbuffer *out, const ms_message *m, er_error *err);
  ms_decoder *ms_make_decoder (void);
  void ms_destroy_decoder (ms_decoder *decoder);
  bool ms_decode (ms_decoder *decoder, const fr_frame *frame, ms_message *m,
                  er_error *err);
  bool ms_check_stored (st_str value, uint32_t objects_max, er_error *err);
  bool ms_type_known (unsigned type);
  const char *ms_type_name (unsigned type);

#ifdef __cplusplus
}
#endif

#endif
