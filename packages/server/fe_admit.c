#include "fe_internal.h"
#include "ow.h"

#include "lg.h"

#include <string.h>

#define _FE_DRAIN_RETRY_MS 1000

/* Outcome to report for a request that is refused before it has a record.
   When the caller chose the id, the refusal is recorded first: a late copy of
   the same message could otherwise be admitted after the caller received
   "not run".  */
rq_outcome
fe_refusal_outcome (fe_front *fe, struct evhttp_request *req)
{
  rq_record record;
  st_str id = fe_header (req, "Dotterelbend-Request-Id");
  if (id.len == 0)
    return RQ_NOT_RUN;
  switch (rq_lookup (fe->sv->requests, id, sv_wall_ms (fe->sv), true, &record))
    {
    case RQ_SEEN:
      return record.outcome == RQ_NOT_RUN ? RQ_NOT_RUN : RQ_UNKNOWN;
    case RQ_MALFORMED:
      return RQ_NOT_RUN;
    default:
      return RQ_UNKNOWN;
    }
}

static void
_fe_refuse_verdict (fe_front *fe, struct evhttp_request *req,
                    const fe_request *r, rq_verdict verdict)
{
  fe_error error = { .outcome = RQ_NOT_RUN, .request_id = r->id };
  switch (verdict)
    {
    case RQ_MALFORMED:
      error.kind = ER_INVALID;
      error.name = "invalid_request_id";
      error.request_id = NULL;
      error.message = "Dotterelbend-Request-Id must be "
                      "<incarnation>.<issued_ms>.<nonce>: take the "
                      "incarnation from GET /v1/addresses";
      break;
    case RQ_TOO_OLD:
      /* A record of this id may have been dropped, so it may have run.  */
      error.kind = ER_CONFLICT;
      error.name = "request_id_too_old";
      error.outcome = RQ_UNKNOWN;
      error.message = "this id was issued before the retention period; its "
                      "outcome is no longer available";
      break;
    case RQ_IN_FUTURE:
      error.kind = ER_INVALID;
      error.name = "request_id_in_future";
      error.outcome = RQ_UNKNOWN;
      error.message = "issued_ms of the request id is ahead of this VM's "
                      "clock: set the caller's clock";
      break;
    default:
      error.kind = ER_UNAVAILABLE;
      error.name = "request_table_full";
      error.outcome = r->caller_chose_id ? RQ_UNKNOWN : RQ_NOT_RUN;
      error.retry_after_ms = _FE_DRAIN_RETRY_MS;
      error.message = "this VM has too many requests: use another address";
    }
  fe_reply_error (fe, req, &error);
}

/* Redirects the caller to the request owner of ID when that is alive.  False
   when it is dead or not in the member list.  */
bool
fe_redirect (fe_front *fe, struct evhttp_request *req, st_str id)
{
  rq_id parts;
  char address[80];
  char text[RQ_ID_MAX];
  char location[512];
  if (!rq_parse_id (id, &parts))
    return false;
  switch (
      sv_find_incarnation (fe->sv, parts.incarnation, address, sizeof address))
    {
    case SV_PEER_ALIVE:
    case SV_PEER_LEAVING:
      break;
    case SV_PEER_DEAD:
    case SV_PEER_UNKNOWN:
      return false;
    }
  st_copy (text, sizeof text, id);
  g_snprintf (location, sizeof location, "http://%s%s", address,
              evhttp_request_get_uri (req));
  evhttp_add_header (evhttp_request_get_output_headers (req), "Location",
                     location);
  fe_count (fe, "dotterelbend_redirects_total", NULL, ST_LIT (""));
  fe_reply_error (fe, req,
                  &(fe_error){ .status = 307,
                               .kind = ER_CONFLICT,
                               .name = "other_owner",
                               .request_id = text,
                               .message = "another VM owns this id: follow "
                                          "the Location header" });
  return true;
}

/* Requests a slot for R.  */
void
fe_request_slot (fe_request *r)
{
  r->state = FE_WAITING;
  ow_request_slot (
      r->fe->sv->slot_requests,
      &(ow_slot_desc){ .request = r->self,
                       .model = st_name_str (&r->model),
                       .version = st_name_str (&r->choice.version),
                       .team = st_name_str (&r->team),
                       .route = st_name_str (&r->route),
                       .tier = r->tier,
                       .prompt_tokens = r->prompt_tokens,
                       .expected_tokens = r->expected_tokens,
                       .prompt = { r->prompt->str, r->prompt->len },
                       .deadline_us = r->deadline_us,
                       .stream = r->stream && !r->resumed,
                       .resume_engine = st_from_cstr (
                           r->resumed || r->events > 0 ? r->engine : "") });
}

/* Chooses the version of R and requests a slot.  R may be freed on
   return.  */
void
fe_choose_version (fe_request *r)
{
  r->choice = rl_choose (r->fe->sv->rollouts, st_name_str (&r->model),
                         st_name_str (&r->route));
  if (r->choice.halted)
    fe_end (r, RQ_NOT_RUN, "no_version",
            "every version of the model is withdrawn: ask an operator");
  else
    fe_request_slot (r);
}

static bool
_fe_assign_id (fe_front *fe, struct evhttp_request *req, fe_request *r)
{
  st_str id = fe_header (req, "Dotterelbend-Request-Id");
  if (id.len == 0)
    {
      rq_format_id (r->id, sizeof r->id, sv_query_incarnation (fe->sv),
                    sv_wall_ms (fe->sv), sv_random (fe->sv));
      return true;
    }
  r->caller_chose_id = true;
  if (id.len >= sizeof r->id)
    return false;
  memcpy (r->id, id.ptr, id.len);
  r->id[id.len] = 0;
  return true;
}

/* Decides whether R, identified from REQ, is new, and starts it.  R is freed
   when it is not.  */
void
fe_admit (fe_front *fe, struct evhttp_request *req, fe_request *r)
{
  rq_record record;
  if (!_fe_assign_id (fe, req, r))
    {
      r->id[0] = 0;
      _fe_refuse_verdict (fe, req, r, RQ_MALFORMED);
      fe_request_free (r);
      return;
    }
  st_str id = st_from_cstr (r->id);
  rq_verdict verdict
      = rq_admit (fe->sv->requests, id, sv_wall_ms (fe->sv), &r->record);
  switch (verdict)
    {
    case RQ_ADMITTED:
      break;
    case RQ_SEEN:
      rq_query (fe->sv->requests, r->record, &record);
      fe_count (fe, "dotterelbend_duplicates_total", NULL, ST_LIT (""));
      lg_log (LG_DEBUG, r->id, "duplicate request attached to its record");
      fe_request_free (r);
      fe_request *first = fe_request_of (fe, record.user);
      if (first != NULL)
        fe_attach (first, req, 0);
      else
        fe_reply_json (fe, req, record.state == RQ_FINISHED ? 410 : 202,
                       fe_record_json (fe, &record));
      return;
    case RQ_OTHER_OWNER:
      if (fe_redirect (fe, req, id))
        fe_request_free (r);
      else
        fe_recover (r, req, 0);
      return;
    default:
      _fe_refuse_verdict (fe, req, r, verdict);
      fe_request_free (r);
      return;
    }
  rq_set_user (fe->sv->requests, r->record, r->self);
  fe->open++;
  fe_attach (r, req, 0);
  if (sv_query_leaving (fe->sv))
    {
      fe_end (r, RQ_NOT_RUN, "leaving",
              "this VM is shutting down: use another address");
      return;
    }
  if (!po_take_team (fe->sv->policy, st_name_str (&r->team), r->prompt_tokens,
                     &r->retry_after_ms))
    {
      fe_end (r, RQ_NOT_RUN, "team_limit",
              "the team's rate limit is reached: send later or ask an "
              "operator to raise limit.requests_per_s");
      return;
    }
  po_record_first_attempt (fe->sv->policy);
  fe_choose_version (r);
}
