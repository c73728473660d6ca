/* fe.h -- the callers' HTTP front end.

   One request passes these stages, one file each:

     fe_accept.c    parse HTTP, check limits, route by path
     fe_identify.c  team, tier, model, version, request id, deadline
     fe_admit.c     duplicates, drain, limits; request a slot
     fe_dispatch.c  send to the granted engine, resume, stop
     fe_move.c      move a stopped stream to another engine
     fe_stream.c    store the response, copy it to the attached callers
     fe_account.c   outcome, slot release, metrics, evidence
     fe_query.c     outcome by id, rest of a response, cancel
     fe_service.c   idempotent reads of plain services
     fe_call.c      non-idempotent calls of plain services
     fe_recover.c   requests whose request owner is dead
     fe_reply.c     error responses

   A request occupies one entry of the front end's pool.  Its response is
   retained after the end, within a memory budget, for callers that
   reconnect.

     fe_front *fe = fe_make (&(fe_desc){ .server = sv });
     fe_on_grant (fe, request, &grant);     // called by ow
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
  hx_unsent *unsent; /* counts unsent responses; NULL: not counted */
  const char *host;
  uint16_t port;
  uint32_t max_requests;     /* open and retained; 0 means 16384 */
  size_t max_body_bytes;     /* 0 means 1 MiB */
  size_t max_header_bytes;   /* 0 means 16 KiB */
  size_t max_response_bytes; /* of one request; 0 means 4 MiB */
  size_t max_buffered_bytes; /* of all responses; 0 means 64 MiB */
} fe_desc;

/* The engine whose slot was granted to a request.  */
typedef struct
{
  st_str engine;
  st_str address;
  uint64_t predicted_first_token_us;
} fe_grant;

#ifdef __cplusplus
extern "C"
{
#endif

  fe_front *fe_make (const fe_desc *desc, er_error *err);
  void fe_destroy (fe_front *fe);

  void fe_on_grant (fe_front *fe, id_handle request, const fe_grant *grant);
  void fe_on_refuse (fe_front *fe, id_handle request, const char *reason,
                     uint32_t retry_after_ms);
  void fe_on_stop (fe_front *fe, id_handle request);

  void fe_drop_retained (fe_front *fe);
  void fe_tick (fe_front *fe);
  uint32_t fe_query_open (const fe_front *fe);
  uint16_t fe_query_port (const fe_front *fe);

#ifdef __cplusplus
}
#endif

#endif
