/* hx.h -- HTTP status codes of the server's responses, and the count of
   responses that were not yet written to their connections.

     hx_unsent unsent = { 0 };
     int status = hx_status_of (err.kind);
     hx_track (&unsent, req);
     evhttp_send_reply (req, status, hx_reason_of (status), body);
     ...
     bool may_exit = unsent.responses == 0;  */
#ifndef HX_H
#define HX_H

#include "er.h"

#include <event2/http.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Number of responses that were handed to evhttp and not yet to the kernel.
     Must outlive the connections.  */
  typedef struct
  {
    uint32_t responses;
  } hx_unsent;

  int hx_status_of (er_kind kind);
  const char *hx_reason_of (int status);
  void hx_track (hx_unsent *unsent, struct evhttp_request *req);

#ifdef __cplusplus
}
#endif

#endif
