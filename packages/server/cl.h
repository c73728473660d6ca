/* cl.h -- the cells that this VM owns.

   Runs the scheduler of each owned cell, reads the load reports and cache
   events of its engines, and sends the decisions to the dispatchers by SLOT
   messages.  A dispatcher is the process that sends the requests to the
   engines.  A dispatcher on this VM uses the same messages; sv_send delivers
   them without a connection.

     cl_task *cl = cl_make (&(cl_desc){ .server = sv });
     cl_update (cl);                     // the cell map changed
     cl_on_message (cl, dispatcher, &m); // SLOT_ASK, _DONE, _HOLD, _CANCEL
     cl_tick (cl);                       // at least every 50 ms

   DISPATCHER is the incarnation that sent the message.  */
#ifndef CL_H
#define CL_H

#include "cs.h"
#include "ms.h"

typedef struct cl_task cl_task;
typedef struct sv_server sv_server;

typedef struct
{
  sv_server *server;
} cl_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  cl_task *cl_make (const cl_desc *desc);
  void cl_destroy (cl_task *cl);
  void cl_update (cl_task *cl);
  void cl_on_message (cl_task *cl, st_str dispatcher, const ms_message *m);
  void cl_on_dispatcher_dead (cl_task *cl, st_str dispatcher);
  void cl_on_first_token (cl_task *cl, st_str dispatcher, uint64_t handle,
                          uint64_t first_token_us);
  void cl_tick (cl_task *cl);

#ifdef __cplusplus
}
#endif

#endif
