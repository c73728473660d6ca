/* rq.h -- request table: dispatches each request id at most once.

   A request id is "<incarnation>.<issued_ms>.<nonce>".  Only the request
   owner, the process whose incarnation is in the id, may dispatch the request.
   Its table keeps a record of the id until the id is too old to be admitted
   again.  The server's front end uses one table per process.

     rq_table *t = rq_make (&(rq_desc){ .incarnation = own });
     rq_handle h;
     switch (rq_admit (t, id, wall_ms, &h))
       {
       case RQ_ADMITTED:      // new id: queue the request
       case RQ_SEEN:          // attach to h, never dispatch again
       case RQ_OTHER_OWNER:   // redirect, or look it up at the request owner
       ...
       }
     if (rq_begin_dispatch (t, h))  // true at most once ...
       send ();
     rq_undo_dispatch (t, h);       // ... unless it certainly did not run
     rq_finish (t, h, RQ_ANSWERED);

   A full table drops its oldest finished records and from then on refuses
   every id that was issued no later than the newest of them, as if the
   retention were shorter.  A burst therefore shortens the retention but never
   makes an id run twice.

   Times are wall clock milliseconds because ids carry the caller's wall
   clock.  The table uses the highest time that it was given, so a clock that
   steps back cannot make the id of a dropped record admissible.  */
#ifndef RQ_H
#define RQ_H

#include "al.h"
#include "id.h"
#include "st.h"

#define RQ_ID_MAX 160
#define RQ_NONCE_MAX 32
/* Records that one rq_expire examines, which bounds its run time.  */
#define RQ_SWEEP_RECORDS 4096

typedef id_handle rq_handle;
typedef struct rq_table rq_table;

typedef struct
{
  st_str incarnation;        /* of this process; copied */
  uint32_t capacity;         /* records; 0 means 16384 */
  uint64_t retention_ms;     /* 0 means 10 minutes */
  uint64_t min_retention_ms; /* of a full table; 0 means 5 s */
  uint64_t max_future_ms;    /* of an id's issue time; 0 means 60 s */
  al_allocator allocator;
  /* For tests that show what the duplicate check prevents.  */
  bool disable_duplicate_check;
} rq_desc;

typedef enum
{
  RQ_ADMITTED,    /* new id; a record was stored */
  RQ_SEEN,        /* the table already has a record */
  RQ_OTHER_OWNER, /* the id names another incarnation */
  RQ_MALFORMED,   /* not a well-formed id */
  RQ_TOO_OLD,     /* issued before the retention period */
  RQ_IN_FUTURE,   /* issued too far ahead of this VM's clock */
  RQ_FULL         /* no free record; nothing was stored */
} rq_verdict;

typedef enum
{
  RQ_QUEUED,     /* not sent to any upstream */
  RQ_DISPATCHED, /* may have reached an upstream */
  RQ_FINISHED    /* has an outcome */
} rq_state;

typedef enum
{
  RQ_NONE = 0,
  RQ_ANSWERED, /* has its response */
  RQ_NOT_RUN,  /* certainly not run */
  RQ_UNKNOWN   /* may have run */
} rq_outcome;

typedef struct
{
  st_str incarnation;
  uint64_t issued_ms;
  st_str nonce;
} rq_id;

typedef struct
{
  st_str id;
  rq_state state;
  rq_outcome outcome;
  uint64_t issued_ms;
  uint64_t user; /* set with rq_set_user */
} rq_record;

#ifdef __cplusplus
extern "C"
{
#endif

  rq_table *rq_make (const rq_desc *desc);
  void rq_destroy (rq_table *t);
  bool rq_parse_id (st_str text, rq_id *out);
  size_t rq_format_id (char *out, size_t size, st_str incarnation,
                       uint64_t issued_ms, uint64_t nonce);
  rq_verdict rq_admit (rq_table *t, st_str id, uint64_t wall_ms,
                       rq_handle *out);
  bool rq_begin_dispatch (rq_table *t, rq_handle h);
  bool rq_undo_dispatch (rq_table *t, rq_handle h);
  bool rq_finish (rq_table *t, rq_handle h, rq_outcome outcome);
  rq_verdict rq_lookup (rq_table *t, st_str id, uint64_t wall_ms,
                        bool refuse_if_unseen, rq_record *out);
  bool rq_query (const rq_table *t, rq_handle h, rq_record *out);
  bool rq_set_user (rq_table *t, rq_handle h, uint64_t user);
  uint32_t rq_expire (rq_table *t, uint64_t wall_ms,
                      void (*on_drop) (const rq_record *record, void *user),
                      void *user);
  uint32_t rq_query_count (const rq_table *t);
  uint32_t rq_query_open (const rq_table *t);
  const char *rq_outcome_name (rq_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
