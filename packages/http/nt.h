/* nt.h -- options of TCP sockets.

     nt_tune (fd);  */
#ifndef NT_H
#define NT_H

#include <event2/util.h>

#ifdef __cplusplus
extern "C"
{
#endif

  void nt_tune (evutil_socket_t fd);
  void nt_reset_on_close (evutil_socket_t fd);

#ifdef __cplusplus
}
#endif

#endif
