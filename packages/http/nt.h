/* nt.h -- parses addresses and sets options of TCP sockets.

   Used by the gateway for its connections to callers and upstreams.

     nt_set_tcp_options (fd);  */
#ifndef NT_H
#define NT_H

#include "st.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>

#ifdef __cplusplus
extern "C"
{
#endif

  bool nt_parse_address (st_str text, struct sockaddr_in *out);
  void nt_set_tcp_options (evutil_socket_t fd);
  void nt_limit_buffers (evutil_socket_t fd);
  void nt_close (struct bufferevent *bev);
  void nt_reset_on_close (evutil_socket_t fd);

#ifdef __cplusplus
}
#endif

#endif
