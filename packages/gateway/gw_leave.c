/* Leave: drains this VM for a planned stop.  */
#include "gw_internal.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

/* A connection that has been idle for less may have a request on its way.  */
#define _GW_LEAVE_IDLE_US 300000
/* Retry-After of requests that a leaving VM refuses: its callers may go to
   another VM at once.  */
#define _GW_LEAVE_RETRY_AFTER_US 50000

static void
_gw_end_queued (gw_task *gw)
{
  for (uint32_t i = 0; i < gw->used; i++)
    {
      _gw_request *r = &gw->requests[i];
      if (r->state == _GW_QUEUED && r->runs == 0)
        _gw_refuse (r, 503, "vm_leaving", _GW_LEAVE_RETRY_AFTER_US);
      else if (r->state == _GW_QUEUED)
        _gw_fail (r, 504, "vm_leaving");
    }
}

/* Ends the requests that are open at the end of a planned stop, so that their
   callers get a response and not only a closed connection.  */
static void
_gw_on_drain_end (evutil_socket_t fd, short what, void *user)
{
  gw_task *gw = user;
  (void)fd;
  (void)what;
  _gw_now (gw);
  /* These first: the end of another request would dispatch them.  */
  _gw_end_queued (gw);
  for (uint32_t i = 0; i < gw->used; i++)
    {
      _gw_request *r = &gw->requests[i];
      if (r->state != _GW_FREE && r->copy_of == NULL)
        _gw_fail (r, 504, "vm_leaving");
    }
}

/* Begins a planned stop of this VM: it is no longer ready, and responses tell
   callers to close their connections.  The requests that are open after
   GRACE_US (0: no limit) are ended then; the process must write the responses
   before it ends.  */
void
gw_leave (gw_task *gw, uint64_t grace_us)
{
  if (gw->drain.start_us != 0)
    return;
  gw->drain.start_us = _gw_now (gw);
  if (grace_us > 0)
    {
      struct timeval grace = ck_timeval (grace_us);
      gw->drain.end_us = gw->now_us + grace_us;
      gw->drain_timer = evtimer_new (gw->desc.base, _gw_on_drain_end, gw);
      event_add (gw->drain_timer, &grace);
    }
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
