#include "nt.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* A connection whose other side does not acknowledge fails after this long.  A
   network partition or a machine without power sends no reset.  */
#define _NT_USER_TIMEOUT_MS 2500
#define _NT_KEEPALIVE_IDLE_S 1
#define _NT_KEEPALIVE_INTERVAL_S 1
#define _NT_KEEPALIVE_PROBES 2

/* Bytes of a connection that the system stores in each direction, which it
   doubles for its own structures.  A round trip between regions takes 16 ms,
   so one connection carries 4 MB a second.  */
#define _NT_BUFFER_BYTES (64 * 1024)

/* Reads "IP:PORT" with an IPv4 address; port 0 lets the system choose.  */
bool
nt_parse_address (st_str text, struct sockaddr_in *out)
{
  size_t colon;
  uint64_t port;
  char host[INET_ADDRSTRLEN];
  memset (out, 0, sizeof *out);
  if (!st_find_char (text, ':', &colon) || colon >= sizeof host
      || !st_parse_u64 (st_slice (text, colon + 1, text.len), &port)
      || port > UINT16_MAX)
    return false;
  memcpy (host, text.ptr, colon);
  host[colon] = 0;
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &out->sin_addr) == 1;
}

/* Sets FD to send small writes without delay and to fail when the other side
   is unresponsive.  */
void
nt_set_tcp_options (evutil_socket_t fd)
{
  int on = 1;
  int idle_s = _NT_KEEPALIVE_IDLE_S;
  int interval_s = _NT_KEEPALIVE_INTERVAL_S;
  int probes = _NT_KEEPALIVE_PROBES;
  unsigned user_timeout_ms = _NT_USER_TIMEOUT_MS;
  /* An option that is refused leaves the system's default in force.  */
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
}

/* Bounds what the system stores for FD, or for the connections of a listener
   FD: by default it is megabytes for each peer that does not read, and for
   each that is not read.  */
void
nt_limit_buffers (evutil_socket_t fd)
{
  int bytes = _NT_BUFFER_BYTES;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

/* Releases BEV and closes its socket now: bufferevent_free would close it in a
   later round of the loop, after any number of connections were accepted.  */
void
nt_close (struct bufferevent *bev)
{
  evutil_socket_t fd = bufferevent_getfd (bev);
  bufferevent_disable (bev, EV_READ | EV_WRITE);
  if (fd >= 0)
    {
      bufferevent_setfd (bev, -1);
      evutil_closesocket (fd);
    }
  bufferevent_free (bev);
}

/* Makes the close of FD reset the connection, so that the other side cannot
   take what it received for a complete message.  */
void
nt_reset_on_close (evutil_socket_t fd)
{
  struct linger now = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}
