/* fe_internal.h -- state shared by the stages of the front end.  */
#ifndef FE_INTERNAL_H
#define FE_INTERNAL_H

#include "fe.h"
#include "sv.h"
#include "up.h"

#include <glib.h>
#include <jansson.h>

/* Unsent bytes above which reading from the engine pauses, and below which
   it resumes.  */
#define FE_HIGH_WATER_BYTES (128 * 1024)
#define FE_LOW_WATER_BYTES (32 * 1024)
/* Largest chunk that is handed to one caller's connection at a time.  */
#define FE_CHUNK_BYTES (64 * 1024)
#define FE_MAX_DISPATCHES 4
#define FE_MAX_RESUMES 5

typedef enum
{
  FE_WAITING,  /* for a slot */
  FE_RUNNING,  /* a call to the engine is in progress */
  FE_STOPPING, /* the engine was requested to stop and keep the state */
  FE_MOVING,   /* the KV state is transferred to another engine */
  FE_RESUMING, /* the rest of the stream is fetched */
  FE_ENDED     /* has an outcome; the response is retained */
} fe_state;

typedef struct fe_request fe_request;
typedef struct fe_reader fe_reader;

/* A caller that waits for the response to a request.  */
struct fe_reader
{
  fe_front *fe;
  id_handle request;
  struct evhttp_request *http;
  size_t sent; /* bytes of the response */
  bool started;
  bool writing;
  fe_reader *next;
};

struct fe_request
{
  fe_front *fe;
  id_handle self;
  rq_handle record;
  char id[RQ_ID_MAX];
  const char *path; /* of the engine's interface */
  st_name team;
  st_name model;
  rl_choice choice; /* version */
  st_name route;
  uint8_t tier;
  bool stream;
  bool caller_chose_id; /* the caller can reconnect by the id it chose */
  bool resumed;
  bool has_slot; /* of the engine */
  bool paused;
  bool orphaned; /* the request owner is dead: this VM never dispatches the
                    request, it only fetches the response */
  fe_state state;
  uint8_t dispatch_count;
  uint8_t resume_count;
  uint32_t prompt_tokens;
  uint32_t expected_tokens;
  uint64_t accepted_us;
  uint64_t deadline_us;
  uint64_t dispatched_us;
  uint64_t first_token_delay_us; /* from dispatched_us; 0: none yet */
  uint64_t last_event_us;
  uint32_t events;
  char *body;
  size_t body_len;
  GString *prompt; /* text, for the prefix hashes */
  char engine[ST_NAME_MAX + 1];
  char address[80];
  char import_from[80]; /* address of the engine that has the KV state */
  GString *kv_state;    /* KV state in transfer; NULL otherwise */
  up_id call;           /* carries the response */
  up_id control;        /* stop request, or a step of a move */
  uint8_t stop_attempts;
  int status;
  char content_type[64];
  GString *response;
  GArray *event_ends; /* uint32_t offset of the end of each event */
  rq_outcome outcome;
  char error_kind[24];
  char error[200];
  uint32_t retry_after_ms;
  fe_reader *readers;
  GList *retained;             /* link in fe_front.retained */
  uint32_t recover_from;       /* first event that the caller requested */
  uint32_t next_recover_entry; /* directory index of the next engine */
};

/* Histograms of one team, by tier.  */
typedef struct
{
  mt_id total[SV_TIERS];
  mt_id first_token[SV_TIERS];
} fe_team_metrics;

struct fe_front
{
  sv_server *sv;
  fe_desc desc;
  struct evhttp *http;
  uint16_t port;
  id_pool ids;
  fe_request *requests; /* by slot index */
  uint32_t open;
  uint32_t service_calls;
  size_t buffered_bytes;
  GQueue retained; /* ended requests, oldest first */
  uint64_t next_expire_us;
  GHashTable *team_metrics; /* team -> fe_team_metrics */
  mt_id outcomes[RQ_UNKNOWN + 1][SV_TIERS];
};

fe_request *fe_request_of (fe_front *fe, id_handle id);
fe_request *fe_request_make (fe_front *fe);
void fe_request_free (fe_request *r);

/* fe_identify.c */
bool fe_identify (fe_front *fe, struct evhttp_request *req, fe_request *r,
                  er_error *err);
st_str fe_header (struct evhttp_request *req, const char *name);
bool fe_parse_tier (st_str text, uint8_t *tier, er_error *err);

/* fe_admit.c */
rq_outcome fe_refusal_outcome (fe_front *fe, struct evhttp_request *req);
void fe_admit (fe_front *fe, struct evhttp_request *req, fe_request *r);
void fe_request_slot (fe_request *r);
void fe_choose_version (fe_request *r);
bool fe_redirect (fe_front *fe, struct evhttp_request *req, st_str id);

/* fe_dispatch.c */
void fe_dispatch_abort (fe_request *r);
void fe_dispatch_resume (fe_request *r);
void fe_on_engine_failed (fe_request *r, const char *why);

void fe_fetch_stream (fe_request *r, const char *path);

/* fe_move.c */
void fe_move (fe_request *r);

/* fe_recover.c */
void fe_recover (fe_request *r, struct evhttp_request *req, uint32_t from);
void fe_recover_next (fe_request *r);

/* fe_stream.c */
void fe_attach (fe_request *r, struct evhttp_request *req, uint32_t from);
void fe_append (fe_request *r, struct evbuffer *data);
void fe_flush_readers (fe_request *r);
void fe_end_readers (fe_request *r);
bool fe_assemble_response (fe_request *r);
size_t fe_event_offset (const fe_request *r, uint32_t event);

/* fe_account.c */
void fe_end (fe_request *r, rq_outcome outcome, const char *kind,
             const char *message);
void fe_release_slot (fe_request *r, cs_outcome end);
void fe_count (fe_front *fe, const char *name, const char *label,
               st_str value);

/* fe_query.c */
void fe_query (fe_front *fe, struct evhttp_request *req, st_str rest);
json_t *fe_record_json (fe_front *fe, const rq_record *record);

/* fe_service.c */
void fe_service (fe_front *fe, struct evhttp_request *req, st_str rest);

/* fe_call.c */
void fe_service_call (fe_front *fe, struct evhttp_request *req, st_str service,
                      st_str path);

/* fe_reply.c */
typedef struct
{
  int status; /* HTTP status; 0 takes the one of KIND */
  er_kind kind;
  const char *name; /* kind in the response; NULL takes the name of KIND */
  const char *message;
  rq_outcome outcome; /* RQ_NONE leaves it out */
  const char *request_id;
  uint32_t retry_after_ms; /* 0 leaves it out */
} fe_error;

void fe_reply_error (fe_front *fe, struct evhttp_request *req,
                     const fe_error *error);
void fe_reply_json (fe_front *fe, struct evhttp_request *req, int status,
                    json_t *body);
char *fe_error_text (const fe_error *error);

#endif
