#include "nt.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* A connection whose other side does not answer is given up after this
   long.  A cut or a dark machine sends no reset.  */
#define _NT_SILENT_MS 2500
#define _NT_PROBE_AFTER_S 1
#define _NT_PROBE_EVERY_S 1
#define _NT_PROBES 2

/* Sends small writes at once and finds silent connections.  */
void
nt_tune (evutil_socket_t fd)
{
  int on = 1;
  int after = _NT_PROBE_AFTER_S;
  int every = _NT_PROBE_EVERY_S;
  int probes = _NT_PROBES;
  unsigned silent = _NT_SILENT_MS;
  /* An option that is refused leaves the system's default in force.  */
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &after, sizeof after);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof every);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent, sizeof silent);
}

/* Lets the close of FD reset the connection, so that the other side cannot
   take what it got for a complete message.  */
void
nt_reset_on_close (evutil_socket_t fd)
{
  struct linger now = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}
