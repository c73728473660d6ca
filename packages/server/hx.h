/* hx.h -- HTTP status codes of the server's answers, and the answers that
   still wait in the output of their connections.

     hx_unsent unsent = { 0 };
     int status = hx_status_of (err.kind);
     hx_watch (&unsent, req);
     evhttp_send_reply (req, status, hx_reason_of (status), body);
     ...
     bool may_exit = unsent.answers == 0;  */
#ifndef HX_H
#define HX_H

#include "er.h"

#include <event2/http.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Answers that were handed to evhttp and not yet to the kernel.  It must
     live as long as the connections.  */
  typedef struct
  {
    uint32_t answers;
  } hx_unsent;

  int hx_status_of (er_kind kind);
  const char *hx_reason_of (int status);
  void hx_watch (hx_unsent *unsent, struct evhttp_request *req);

#ifdef __cplusplus
}
#endif

#endif
