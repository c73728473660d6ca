#include "fe_internal.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

static const char *
_fe_state_name (rq_state state)
{
  switch (state)
    {
    case RQ_QUEUED:
      return "queued";
    case RQ_DISPATCHED:
      return "running";
    case RQ_FINISHED:
      return "finished";
    }
  return "unknown";
}

/* JSON of a request's record, for the response to GET /v1/requests/ID.  */
json_t *
fe_record_json (fe_front *fe, const rq_record *record)
{
  const fe_request *r = fe_request_of (fe, record->user);
  json_t *body = json_object ();
  json_object_set_new (body, "id",
                       json_stringn (record->id.ptr, record->id.len));
  json_object_set_new (body, "state",
                       json_string (_fe_state_name (record->state)));
  json_object_set_new (body, "outcome",
                       record->outcome != RQ_NONE
                           ? json_string (rq_outcome_name (record->outcome))
                           : json_null ());
  if (r != NULL)
    {
      json_object_set_new (body, "engine", json_string (r->engine));
      json_object_set_new (body, "events", json_integer (r->events));
      if (r->error_kind[0] != 0)
        json_object_set_new (body, "kind", json_string (r->error_kind));
    }
  return body;
}

static void
_fe_query_from (struct evhttp_request *req, uint32_t *from)
{
  struct evkeyvalq query;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (req);
  const char *text = evhttp_uri_get_query (uri);
  uint64_t number;
  *from = 0;
  if (text == NULL || evhttp_parse_query_str (text, &query) != 0)
    return;
  const char *value = evhttp_find_header (&query, "from");
  if (value != NULL && st_parse_u64 (st_from_cstr (value), &number))
    *from = number < UINT32_MAX ? (uint32_t)number : UINT32_MAX;
  evhttp_clear_headers (&query);
}

static void
_fe_query_response (fe_front *fe, struct evhttp_request *req,
                    const rq_record *record)
{
  uint32_t from;
  fe_request *r = fe_request_of (fe, record->user);
  _fe_query_from (req, &from);
  if (r != NULL)
    fe_attach (r, req, from);
  else
    fe_reply_json (fe, req, 410, fe_record_json (fe, record));
}

static void
_fe_query_cancel (fe_front *fe, struct evhttp_request *req, st_str id,
                  const rq_record *record)
{
  fe_request *r = fe_request_of (fe, record->user);
  rq_record after;
  if (r != NULL && r->state != FE_ENDED)
    fe_dispatch_abort (r);
  if (rq_lookup (fe->sv->requests, id, sv_wall_ms (fe->sv), false, &after)
      == RQ_SEEN)
    fe_reply_json (fe, req, 200, fe_record_json (fe, &after));
  else
    fe_reply_json (fe, req, 200, fe_record_json (fe, record));
}

static void
_fe_reply_unseen (fe_front *fe, struct evhttp_request *req, st_str id,
                  rq_verdict verdict)
{
  char text[RQ_ID_MAX];
  st_copy (text, sizeof text, id);
  switch (verdict)
    {
    case RQ_MALFORMED:
      fe_reply_error (fe, req,
                      &(fe_error){ .kind = ER_INVALID,
                                   .name = "invalid_request_id",
                                   .message = "the path has no request id "
                                              "of the form <incarnation>."
                                              "<issued_ms>.<nonce>" });
      break;
    case RQ_TOO_OLD:
      fe_reply_error (fe, req,
                      &(fe_error){ .status = 410,
                                   .kind = ER_NOT_FOUND,
                                   .name = "request_id_too_old",
                                   .outcome = RQ_UNKNOWN,
                                   .request_id = text,
                                   .message = "the record of this id may "
                                              "have been dropped" });
      break;
    case RQ_FULL:
      fe_reply_error (fe, req,
                      &(fe_error){ .kind = ER_UNAVAILABLE,
                                   .name = "request_table_full",
                                   .request_id = text,
                                   .retry_after_ms = 1000,
                                   .message = "query again later" });
      break;
    default:
      fe_reply_error (fe, req,
                      &(fe_error){ .kind = ER_INVALID,
                                   .name = "request_id_in_future",
                                   .request_id = text,
                                   .message = "issued_ms of the request id "
                                              "is ahead of this VM's clock" });
    }
}

/* Handles a query for an id whose request owner is dead.  Its response is
   fetched from the engine that has the stream; otherwise its outcome is
   unknown.  */
static void
_fe_query_orphan (fe_front *fe, struct evhttp_request *req, st_str id,
                  bool wants_response)
{
  char text[RQ_ID_MAX];
  uint32_t from;
  st_copy (text, sizeof text, id);
  fe_request *r = wants_response ? fe_request_make (fe) : NULL;
  if (r != NULL)
    {
      _fe_query_from (req, &from);
      g_strlcpy (r->id, text, sizeof r->id);
      r->path = "/v1/completions";
      r->stream = true;
      fe_recover (r, req, from);
      return;
    }
  fe_reply_json (fe, req, 200,
                 json_pack ("{s:s,s:s,s:s,s:s}", "id", text, "state",
                            "owner_gone", "outcome", "unknown", "message",
                            "the process that owned this id is dead; GET "
                            ".../answer fetches what an engine still has"));
}

/* GET /v1/requests/ID, GET /v1/requests/ID/answer and DELETE
   /v1/requests/ID.  REST is the path behind "/v1/requests/".  A query
   for an id that never arrived records it as refused, so that the outcome "not
   run" stays true.  */
void
fe_query (fe_front *fe, struct evhttp_request *req, st_str rest)
{
  static const st_str suffix = { "/answer", 7 };
  bool wants_response
      = rest.len > suffix.len
        && st_equal (st_slice (rest, rest.len - suffix.len, rest.len), suffix);
  st_str id
      = wants_response ? st_slice (rest, 0, rest.len - suffix.len) : rest;
  rq_record record;
  enum evhttp_cmd_type method = evhttp_request_get_command (req);
  rq_verdict verdict
      = rq_lookup (fe->sv->requests, id, sv_wall_ms (fe->sv), true, &record);
  if (verdict == RQ_OTHER_OWNER)
    {
      if (!fe_redirect (fe, req, id))
        _fe_query_orphan (fe, req, id, wants_response);
      return;
    }
  if (verdict != RQ_SEEN)
    {
      _fe_reply_unseen (fe, req, id, verdict);
      return;
    }
  if (method == EVHTTP_REQ_DELETE)
    _fe_query_cancel (fe, req, id, &record);
  else if (wants_response)
    _fe_query_response (fe, req, &record);
  else
    fe_reply_json (fe, req, 200, fe_record_json (fe, &record));
}
