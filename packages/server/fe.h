/* fe.h -- the callers' HTTP front end.

   One request passes these stages, one file each:

     fe_accept.c    parse HTTP, check limits, route by path
     fe_identify.c  team, tier, model, version, request id, deadline
     fe_admit.c     duplicates, drain, limits; ask for a place
     fe_dispatch.c  send to the granted engine, resume, stop
     fe_move.c      move a stopped stream to another engine
     fe_stream.c    keep the answer and copy it to the attached callers
     fe_account.c   outcome, slot release, metrics, evidence
     fe_query.c     outcome by id, rest of an answer, cancel
     fe_service.c   idempotent reads of plain services
     fe_call.c      calls of plain services that may not be repeated
     fe_recover.c   requests whose owner is gone
     fe_reply.c     error answers

   A request lives in a slot of the front end's pool.  Its answer is kept
   after the end, within a memory budget, for callers that ask again.

     fe_front *fe = fe_make (&(fe_desc){ .server = sv });
     fe_on_grant (fe, request, &place);     // from the owner task
     fe_destroy (fe);  */
#ifndef FE_H
#define FE_H

#include "er.h"
#include "hx.h"
#include "id.h"
#include "rq.h"
#include "st.h"

#include <event2/http.h>

typedef struct fe_front fe_front;
typedef struct sv_server sv_server;

typedef struct
{
  sv_server *server;
  hx_unsent *unsent; /* counts answers on their way; NULL: not counted */
  const char *host;
  uint16_t port;
  uint32_t max_requests;     /* open and kept; 0 means 16384 */
  size_t max_body_bytes;     /* 0 means 1 MiB */
  size_t max_header_bytes;   /* 0 means 16 KiB */
  size_t max_answer_bytes;   /* of one request; 0 means 4 MiB */
  size_t max_buffered_bytes; /* of all answers; 0 means 64 MiB */
} fe_desc;

/* Where a granted request runs.  */
typedef struct
{
  st_str engine;
  st_str address;
  uint64_t predicted_first_token_us;
} fe_place;

#ifdef __cplusplus
extern "C"
{
#endif

  fe_front *fe_make (const fe_desc *desc, er_error *err);
  void fe_destroy (fe_front *fe);

  void fe_on_grant (fe_front *fe, id_handle request, const fe_place *place);
  void fe_on_refuse (fe_front *fe, id_handle request, const char *reason,
                     uint32_t retry_after_ms);
  void fe_on_stop (fe_front *fe, id_handle request);

  void fe_forget_all (fe_front *fe);
  void fe_tick (fe_front *fe);
  uint32_t fe_query_open (const fe_front *fe);
  uint16_t fe_query_port (const fe_front *fe);

#ifdef __cplusplus
}
#endif

#endif
