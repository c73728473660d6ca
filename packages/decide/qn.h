/* qn.h -- quarantine of prompt parts that crash upstreams.

   Used by the gateway.  A part of a prompt may crash each upstream that begins
   to respond to it.  Such requests are unlike each other and come at any VM;
   other requests share their team and their remaining parts.  When an upstream
   is lost, every request that it had not responded to yet is suspect, and so
   is each part but the last one, which is the request's own.  A suspect part
   is blocked once requests with it have lost several upstreams and none has
   been responded to.  A response to one request disproves the suspicion.

   VMs tell each other about losses, and about responses that disprove one.  A
   blocked part is published through the store, so that VMs that start learn
   of it.  A block ends when no request has had the part for a while.

     qn_table *t = qn_make (&(qn_desc){ .seed = seed });
     qn_prompt prompt;
     qn_read_prompt (&prompt, ST_LIT ("llm"), ST_LIT ("5c1e:800,91bd:410"));
     if (qn_query_blocked (t, &prompt, now_us) != NULL) refuse the request
     count = qn_on_lost (t, &prompt, upstream, now_us, rows);  // send them
     count = qn_on_served (t, &prompt, now_us, rows);          // send them
     disproved = qn_on_row (t, &row, now_us);          // from another VM
     while (qn_next_change (t, now_us, &change)) publish it
     qn_on_published (t, &change, now_us);        // read from the store  */
#ifndef QN_H
#define QN_H

#include "al.h"
#include "st.h"

/* Most parts of one prompt that are looked at.  */
#define QN_PROMPT_PARTS_MAX 8

typedef struct
{
  st_name parts[QN_PROMPT_PARTS_MAX]; /* "SERVICE/ID" */
  uint32_t count;
  uint64_t request; /* repeated attempts of a request have the same */
} qn_prompt;

/* What a VM tells the others: a request with the part lost the upstream, or
   was responded to.  */
typedef struct
{
  st_name part;
  bool served;
  uint64_t upstream; /* hashes, of a loss */
  uint64_t request;
} qn_row;

typedef struct
{
  st_name part;
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
  void qn_read_prompt (qn_prompt *prompt, st_str service, st_str parts);
  const st_name *qn_query_blocked (qn_table *t, const qn_prompt *prompt,
                                   uint64_t now_us);
  uint32_t qn_on_lost (qn_table *t, const qn_prompt *prompt, uint64_t upstream,
                       uint64_t now_us, qn_row rows[QN_PROMPT_PARTS_MAX]);
  uint32_t qn_on_served (qn_table *t, const qn_prompt *prompt, uint64_t now_us,
                         qn_row rows[QN_PROMPT_PARTS_MAX]);
  bool qn_on_row (qn_table *t, const qn_row *row, uint64_t now_us);
  bool qn_next_change (qn_table *t, uint64_t now_us, qn_change *change);
  void qn_on_published (qn_table *t, const qn_change *change, uint64_t now_us);
  void qn_on_lapsed (qn_table *t, st_str part, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
