/* qn.h -- quarantine of requests and prompt parts that crash upstreams.

   Used by the gateway.  A request may crash each upstream that begins to run
   it, and so may a part of a prompt, whatever else its request holds.  Either
   comes again at any VM.  When an upstream is lost, every request that it had
   not responded to is suspect: the request as a whole, and each part of its
   prompt but the last one, which is the request's own.  These are the subjects
   of a request.

   A part is blocked once different requests with it have lost several
   upstreams and none was responded to.  A request is blocked once it has lost
   several upstreams without a response in between.  Requests that were in
   progress beside the one that crashed an upstream cannot be told from it at
   first: a blocked request gets a few trials, in which a VM sends it once
   more.  A response ends the block.

   A VM that lost its connection to an upstream need not have lost the
   upstream.  A response to a request that was sent there later, to any VM,
   voids the loss.

   VMs tell each other about losses, trials, and responses that disprove a
   loss.  A blocked subject is published through the store, so that VMs that
   start learn of it.  A block ends when no request has met it for a while.

     qn_table *t = qn_make (&(qn_desc){ .seed = seed });
     qn_request request;
     qn_read_request (&request, identity, ST_LIT ("llm"),
                      ST_LIT ("5c1e:800,91bd:410"));
     if (qn_query_blocked (t, &request, now_us) != NULL) refuse it
     if (qn_on_sent (t, identity, now_us, &row)) send the row to the others
     count = qn_on_lost (t, &request, upstream, now_us, rows);  // send them
     count = qn_on_served (t, &request, now_us, rows);          // send them
     if (qn_on_alive (t, upstream, sent_us, now_us, &row)) send the row
     reply = qn_on_row (t, &row, now_us);          // from another VM
     while (qn_next_change (t, now_us, &change)) publish it
     qn_on_published (t, &change, now_us);        // read from the store  */
#ifndef QN_H
#define QN_H

#include "al.h"
#include "st.h"

/* Most subjects of one request: the request itself and parts of its prompt.
   Further parts are left out; prompts have a few tens at most.  */
#define QN_SUBJECTS_MAX 256

typedef struct
{
  st_name subjects[QN_SUBJECTS_MAX]; /* "=HASH" of a request, else
                                        "SERVICE/ID" of a part, or "HASH/HASH"
                                        where that is too long */
  uint32_t count;
  uint64_t prompt; /* hash of all parts */
} qn_request;

/* What a VM tells the others about a subject.  */
typedef enum
{
  QN_LOST = 0, /* a request with it lost the upstream */
  QN_SERVED,   /* a request with it was responded to */
  QN_TRIAL,    /* a trial of it was sent */
  QN_ALIVE     /* the upstream has responded since its last loss; there is no
                  subject */
} qn_row_kind;

typedef struct
{
  qn_row_kind kind;
  st_name subject;
  uint64_t upstream; /* hash */
  uint64_t prompt;   /* of QN_LOST */
} qn_row;

typedef struct
{
  st_name subject;
  bool blocked;
} qn_change;

typedef struct
{
  uint64_t seed; /* of the delays after which changes are published */
  al_allocator allocator;
} qn_desc;

typedef struct qn_table qn_table;

#ifdef __cplusplus
extern "C"
{
#endif

  qn_table *qn_make (const qn_desc *desc);
  void qn_destroy (qn_table *t);
  void qn_read_request (qn_request *request, uint64_t identity, st_str service,
                        st_str parts);
  bool qn_is_request (const st_name *subject);
  const st_name *qn_query_blocked (qn_table *t, const qn_request *request,
                                   uint64_t now_us);
  bool qn_query_suspect (qn_table *t, uint64_t identity, uint64_t now_us);
  bool qn_on_sent (qn_table *t, uint64_t identity, uint64_t now_us,
                   qn_row *row);
  uint32_t qn_on_lost (qn_table *t, const qn_request *request,
                       uint64_t upstream, uint64_t now_us,
                       qn_row rows[QN_SUBJECTS_MAX]);
  uint32_t qn_on_served (qn_table *t, const qn_request *request,
                         uint64_t now_us, qn_row rows[QN_SUBJECTS_MAX]);
  bool qn_on_alive (qn_table *t, uint64_t upstream, uint64_t sent_us,
                    uint64_t now_us, qn_row *row);
  bool qn_on_row (qn_table *t, const qn_row *row, uint64_t now_us);
  bool qn_next_change (qn_table *t, uint64_t now_us, qn_change *change);
  void qn_on_published (qn_table *t, const qn_change *change, uint64_t now_us);
  void qn_on_lapsed (qn_table *t, st_str subject, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
