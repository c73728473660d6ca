/* Leave: drains this VM for a planned stop.  */
#include "gw_internal.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

/* A connection that has been idle for less may have a request on its way.  */
#define _GW_LEAVE_IDLE_US 300000
/* Retry-After of requests that a leaving VM refuses: its callers may go to
   another VM at once.  */
#define _GW_LEAVE_RETRY_AFTER_US 50000

/* Begins a planned stop of this VM, whose process ends after GRACE_US (0: when
   all requests have ended): it is no longer ready, and responses tell callers
   to close their connections.  */
void
gw_leave (gw_task *gw, uint64_t grace_us)
{
  if (gw->drain.start_us != 0)
    return;
  gw->drain.start_us = _gw_now (gw);
  gw->drain.end_us = grace_us > 0 ? gw->now_us + grace_us : 0;
  if (gw->peers != NULL)
    {
      _gw_load_changed (gw);
      pe_leave (gw->peers);
    }
}

/* Refuses R, which has not run, when this VM may end before it would; true
   when it did.  */
bool
_gw_refuse_while_leaving (_gw_request *r)
{
  if (dn_accepts (&r->gw->drain, r->end_us, r->gw->now_us))
    return false;
  _gw_refuse (r, 503, "vm_leaving", _GW_LEAVE_RETRY_AFTER_US);
  return true;
}

/* Accepts the connections that the system has already established; closing
   the listener would reset them.  */
static void
_gw_accept_established (gw_task *gw)
{
  int listener = evconnlistener_get_fd (gw->listener);
  int fd;
  while ((fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    _gw_add_conn (gw, fd);
}

/* True when CONN neither has a request nor is likely to get one.  */
static bool
_gw_is_unused (const _gw_conn *conn)
{
  int unread = 0;
  if (conn->request != NULL || hp_query_started (conn->reader)
      || evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0
      || conn->gw->now_us - conn->idle_since_us < _GW_LEAVE_IDLE_US)
    return false;
  ioctl (bufferevent_getfd (conn->bev), FIONREAD, &unread);
  return unread == 0
         && evbuffer_get_length (bufferevent_get_input (conn->bev)) == 0;
}

/* Closes the listener of callers and the connections without a request.  May
   be called again, for connections that get none.  */
void
gw_close_callers (gw_task *gw)
{
  _gw_now (gw);
  if (gw->listener != NULL)
    {
      _gw_accept_established (gw);
      evconnlistener_free (gw->listener);
    }
  gw->listener = NULL;
  for (guint i = gw->conns->len; i > 0; i--)
    {
      _gw_conn *conn = gw->conns->pdata[i - 1];
      if (_gw_is_unused (conn))
        _gw_close_conn (conn);
    }
}
