#include "fe_internal.h"
#include "hx.h"

#include <event2/buffer.h>
#include <string.h>

/* JSON text of an error response; the caller frees it with g_free.  */
char *
fe_error_text (const fe_error *error)
{
  json_t *fields = json_object ();
  json_t *body = json_object ();
  json_object_set_new (fields, "kind",
                       json_string (error->name != NULL
                                        ? error->name
                                        : er_kind_name (error->kind)));
  json_object_set_new (fields, "message", json_string (error->message));
  if (error->outcome != RQ_NONE)
    json_object_set_new (fields, "outcome",
                         json_string (rq_outcome_name (error->outcome)));
  if (error->request_id != NULL && error->request_id[0] != 0)
    json_object_set_new (fields, "request_id",
                         json_string (error->request_id));
  json_object_set_new (body, "error", fields);
  char *dumped = json_dumps (body, JSON_COMPACT);
  char *text = g_strdup (dumped);
  free (dumped);
  json_decref (body);
  return text;
}

/* Sends BODY, which is released, as the complete response.  */
void
fe_reply_json (fe_front *fe, struct evhttp_request *req, int status,
               json_t *body)
{
  struct evbuffer *out = evbuffer_new ();
  char *text = json_dumps (body, JSON_COMPACT);
  evbuffer_add (out, text, strlen (text));
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     "application/json");
  hx_track (fe->desc.unsent, req);
  evhttp_send_reply (req, status, hx_reason_of (status), out);
  evbuffer_free (out);
  free (text);
  json_decref (body);
}

/* Responds to REQ with a typed error, and counts it.  */
void
fe_reply_error (fe_front *fe, struct evhttp_request *req,
                const fe_error *error)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  int status = error->status != 0 ? error->status : hx_status_of (error->kind);
  char *text = fe_error_text (error);
  struct evbuffer *out = evbuffer_new ();
  evbuffer_add (out, text, strlen (text));
  evhttp_add_header (headers, "Content-Type", "application/json");
  if (error->outcome != RQ_NONE)
    evhttp_add_header (headers, "Dotterelbend-Outcome",
                       rq_outcome_name (error->outcome));
  if (error->request_id != NULL && error->request_id[0] != 0)
    evhttp_add_header (headers, "Dotterelbend-Request-Id", error->request_id);
  if (error->retry_after_ms > 0)
    {
      char seconds[16];
      g_snprintf (seconds, sizeof seconds, "%u",
                  (error->retry_after_ms + 999) / 1000);
      evhttp_add_header (headers, "Retry-After", seconds);
    }
  fe_count (fe, "dotterelbend_errors_total", "kind",
            st_from_cstr (error->name != NULL ? error->name
                                              : er_kind_name (error->kind)));
  hx_track (fe->desc.unsent, req);
  evhttp_send_reply (req, status, hx_reason_of (status), out);
  evbuffer_free (out);
  g_free (text);
}
