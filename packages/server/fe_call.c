#include "fe_internal.h"
#include "hx.h"
#include "oc.h"

#include <event2/buffer.h>
#include <string.h>

/* A non-idempotent call and the caller that waits for it.  */
typedef struct
{
  fe_front *fe;
  struct evhttp_request *http; /* NULL once the caller disconnected */
  char *body;
  char path[1024];
} _fe_call;

static void
_fe_call_free (_fe_call *call)
{
  g_free (call->body);
  g_free (call);
}

/* The caller disconnected.  The call continues, and a shutdown waits for
   it.  */
static void
_fe_call_on_closed (struct evhttp_connection *conn, void *arg)
{
  _fe_call *call = arg;
  (void)conn;
  call->http = NULL;
}

static void
_fe_call_reply (_fe_call *call, const oc_response *response)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (call->http);
  char type[128];
  struct evbuffer *out = evbuffer_new ();
  st_copy (type, sizeof type,
           response->content_type.len > 0 ? response->content_type
                                          : ST_LIT ("application/json"));
  evhttp_add_header (headers, "Content-Type", type);
  evhttp_add_header (headers, "Dotterelbend-Outcome", "answered");
  if (response->replayed)
    evhttp_add_header (headers, "Dotterelbend-Replayed",
                       response->body_truncated ? "cut" : "whole");
  evbuffer_add (out, response->body.ptr, response->body.len);
  hx_track (call->fe->desc.unsent, call->http);
  evhttp_send_reply (call->http, response->status,
                     hx_reason_of (response->status), out);
  evbuffer_free (out);
}

static void
_fe_call_on_response (void *user, const oc_response *response)
{
  _fe_call *call = user;
  fe_front *fe = call->fe;
  static const rq_outcome outcomes[] = { RQ_ANSWERED, RQ_NOT_RUN, RQ_UNKNOWN };
  fe_count (fe, "dotterelbend_calls_total", "outcome",
            st_from_cstr (rq_outcome_name (outcomes[response->outcome])));
  if (call->http == NULL)
    {
      _fe_call_free (call);
      return;
    }
  evhttp_connection_set_closecb (evhttp_request_get_connection (call->http),
                                 NULL, NULL);
  if (response->outcome == OC_ANSWERED)
    _fe_call_reply (call, response);
  else
    fe_reply_error (
        fe, call->http,
        &(fe_error){ .status = response->outcome == OC_UNKNOWN ? 502 : 0,
                     .kind = response->kind,
                     .message = response->message,
                     .outcome = outcomes[response->outcome],
                     .retry_after_ms = (uint32_t)response->retry_after_ms });
  _fe_call_free (call);
}

static void
_fe_call_refuse (fe_front *fe, struct evhttp_request *req, er_kind kind,
                 const char *name, const char *message,
                 uint32_t retry_after_ms)
{
  fe_reply_error (fe, req,
                  &(fe_error){ .kind = kind,
                               .name = name,
                               .message = message,
                               .outcome = RQ_NOT_RUN,
                               .retry_after_ms = retry_after_ms });
}

/* Writes the addresses of SERVICE to OUT in the order to try them, without
   duplicates, and returns their number.  */
static size_t
_fe_call_addresses (fe_front *fe, st_str service, st_str *out)
{
  size_t count = 0;
  for (unsigned attempt = 0; attempt < OC_ADDRESSES_MAX; attempt++)
    {
      const dr_entry *e = sv_choose_service (fe->sv, service, attempt);
      bool skip = e == NULL;
      for (size_t i = 0; i < count && !skip; i++)
        skip = st_equal (out[i], st_name_str (&e->address));
      if (!skip)
        out[count++] = st_name_str (&e->address);
    }
  return count;
}

static bool
_fe_call_validate (fe_front *fe, struct evhttp_request *req, st_str team,
                   st_str key)
{
  uint32_t wait_ms;
  if (key.len == 0 || key.len > OC_KEY_MAX)
    _fe_call_refuse (fe, req, ER_INVALID, NULL,
                     "a call needs the header Idempotency-Key, 1 to 256 "
                     "bytes: choose one for each order",
                     0);
  else if (sv_query_leaving (fe->sv))
    _fe_call_refuse (fe, req, ER_UNAVAILABLE, "leaving",
                     "this VM is shutting down: use another address", 1000);
  else if (team.len > ST_NAME_MAX)
    _fe_call_refuse (fe, req, ER_INVALID, NULL,
                     "Dotterelbend-Team must have 1 to 63 bytes", 0);
  else if (!po_query_team_admitted (fe->sv->policy, team))
    _fe_call_refuse (fe, req, ER_DENIED, NULL,
                     "the team is not in the settings: check "
                     "Dotterelbend-Team",
                     0);
  else if (!po_take_team (fe->sv->policy, team, 0, &wait_ms))
    _fe_call_refuse (fe, req, ER_LIMIT, "team_limit",
                     "the team's rate limit is reached: send later", wait_ms);
  else
    return true;
  return false;
}

/* POST /v1/services/SERVICE/PATH: runs at most once for each team, service
   and Idempotency-Key.  */
void
fe_service_call (fe_front *fe, struct evhttp_request *req, st_str service,
                 st_str path)
{
  st_str addresses[OC_ADDRESSES_MAX];
  st_str team = fe_header (req, "Dotterelbend-Team");
  st_str key = fe_header (req, "Idempotency-Key");
  struct evbuffer *in = evhttp_request_get_input_buffer (req);
  if (team.len == 0)
    team = ST_LIT ("default");
  if (!_fe_call_validate (fe, req, team, key))
    return;
  size_t count = _fe_call_addresses (fe, service, addresses);
  if (count == 0)
    {
      _fe_call_refuse (fe, req, ER_UNAVAILABLE, "no_service",
                       "no instance of the service is live: try again later",
                       1000);
      return;
    }
  _fe_call *call = g_new0 (_fe_call, 1);
  size_t size = evbuffer_get_length (in);
  call->fe = fe;
  call->http = req;
  call->body = g_malloc (size + 1);
  evbuffer_copyout (in, call->body, size);
  g_snprintf (call->path, sizeof call->path, "/%.*s", ST_FMT (path));
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 _fe_call_on_closed, call);
  oc_call (fe->sv->calls,
           &(oc_call_desc){ .team = team,
                            .service = service,
                            .key = key,
                            .path = call->path,
                            .content_type = fe_header (req, "Content-Type"),
                            .body = { call->body, size },
                            .addresses = addresses,
                            .address_count = count },
           _fe_call_on_response, call);
}
