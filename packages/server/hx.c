#include "hx.h"

#include "hp.h"

/* HTTP status of an error of KIND.  */
int
hx_status_of (er_kind kind)
{
  switch (kind)
    {
    case ER_OK:
      return 200;
    case ER_INVALID:
    case ER_UNSUPPORTED:
      return 400;
    case ER_DENIED:
      return 403;
    case ER_NOT_FOUND:
      return 404;
    case ER_CONFLICT:
      return 409;
    case ER_TOO_LARGE:
      return 413;
    case ER_LIMIT:
      return 429;
    case ER_UNAVAILABLE:
      return 503;
    case ER_TIMEOUT:
      return 504;
    case ER_INTERNAL:
      break;
    }
  return 500;
}

/* Reason phrase of STATUS.  */
const char *
hx_reason_of (int status)
{
  const char *known = hp_reason_of (status);
  if (known != NULL)
    return known;
  return status < 400 ? "OK" : "Error";
}

static void
_hx_on_sent (struct evhttp_request *req, void *arg)
{
  hx_unsent *unsent = arg;
  evhttp_connection_set_closecb (evhttp_request_get_connection (req), NULL,
                                 NULL);
  unsent->responses--;
}

static void
_hx_on_closed (struct evhttp_connection *conn, void *arg)
{
  hx_unsent *unsent = arg;
  (void)conn;
  unsent->responses--;
}

/* Counts the response to REQ in UNSENT until its last byte was written or its
   connection is closed.  Call it before the last portion is handed to evhttp.
   Replaces the close callback of the connection.  Does nothing when UNSENT is
   NULL.  */
void
hx_track (hx_unsent *unsent, struct evhttp_request *req)
{
  struct evhttp_connection *conn = evhttp_request_get_connection (req);
  if (unsent == NULL || conn == NULL)
    return;
  unsent->responses++;
  evhttp_request_set_on_complete_cb (req, _hx_on_sent, unsent);
  evhttp_connection_set_closecb (conn, _hx_on_closed, unsent);
}
