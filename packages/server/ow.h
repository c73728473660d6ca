/* ow.h -- requests slots for the requests that this VM dispatches.

   A slot of an engine is granted by the owner of the engine's cell.  The task
   chooses the cell (own data centre first, then by the wait that it observed
   there), sends SLOT messages to the cell owner, resends them when no reply
   arrives, and registers grants with a new cell owner.  Decisions go to the
   front end: fe_on_grant, fe_on_refuse, fe_on_stop.

     ow_task *ow = ow_make (&(ow_desc){ .server = sv });
     ow_request_slot (ow, &(ow_slot_desc){ .request = id, .model = model });
     ow_done (ow, id, &info);           // ends a grant
     ow_cancel (ow, id);                // ends a wait
     ow_on_message (ow, owner, &m);     // SLOT_GRANT, SLOT_REFUSE, SLOT_STOP
     ow_tick (ow);

   fe_on_grant and fe_on_refuse may run before ow_request_slot returns.  */
#ifndef OW_H
#define OW_H

#include "cs.h"
#include "id.h"
#include "ms.h"
#include "st.h"

typedef struct ow_task ow_task;
typedef struct sv_server sv_server;

typedef struct
{
  sv_server *server;
} ow_desc;

typedef struct
{
  id_handle request;
  st_str model;
  st_str version;
  st_str team;
  st_str route;
  uint8_t tier;
  uint32_t prompt_tokens;
  uint32_t expected_tokens;
  st_str prompt; /* text, for the prefix hashes */
  uint64_t deadline_us;
  bool stream;          /* the time of the first token can be measured */
  st_str resume_engine; /* engine that has the stopped stream, or empty */
} ow_slot_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  ow_task *ow_make (const ow_desc *desc);
  void ow_destroy (ow_task *ow);
  void ow_request_slot (ow_task *ow, const ow_slot_desc *desc);
  void ow_cancel (ow_task *ow, id_handle request);
  void ow_first_token (ow_task *ow, id_handle request,
                       uint64_t first_token_us);
  void ow_done (ow_task *ow, id_handle request, const cs_done_info *info);
  void ow_on_message (ow_task *ow, st_str owner, const ms_message *m);
  void ow_update (ow_task *ow);
  uint64_t ow_query_wait_us (ow_task *ow, st_str model);
  void ow_tick (ow_task *ow);

#ifdef __cplusplus
}
#endif

#endif
