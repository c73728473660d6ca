/* hx.h -- HTTP status codes of the server's answers.

     int status = hx_status_of (err.kind);
     evhttp_send_reply (req, status, hx_reason_of (status), body);  */
#ifndef HX_H
#define HX_H

#include "er.h"

#ifdef __cplusplus
extern "C"
{
#endif

  int hx_status_of (er_kind kind);
  const char *hx_reason_of (int status);

#ifdef __cplusplus
}
#endif

#endif
