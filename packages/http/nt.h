/* nt.h -- addresses and options of TCP sockets.

     nt_tune (fd);  */
#ifndef NT_H
#define NT_H

#include "st.h"

#include <event2/util.h>
#include <netinet/in.h>

#ifdef __cplusplus
extern "C"
{
#endif

  bool nt_parse_address (st_str text, struct sockaddr_in *out);
  void nt_tune (evutil_socket_t fd);
  void nt_reset_on_close (evutil_socket_t fd);

#ifdef __cplusplus
}
#endif

#endif
