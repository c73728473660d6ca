/* pw.h -- converts between membership messages (mb_) and wire messages
   (ms_).  Used by the peer task.

     ms_message m;
     ms_member updates[MB_UPDATES_MAX];
     pw_write (&action.message, &m, updates);   // PING, ACK or PING_REQ
     if (m.type == MS_PING || m.type == MS_ACK)
       pw_read_probe (&m, &in);

   The strings of an output are views into those of its input.  */
#ifndef PW_H
#define PW_H

#include "mb.h"
#include "ms.h"

#ifdef __cplusplus
extern "C"
{
#endif

  void pw_write (const mb_message *in, ms_message *out,
                 ms_member updates[MB_UPDATES_MAX]);
  void pw_read_probe (const ms_message *in, mb_message *out);

#ifdef __cplusplus
}
#endif

#endif
