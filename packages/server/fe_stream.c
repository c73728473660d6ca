#include "fe_internal.h"
#include "hx.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

static void _fe_send_chunk (fe_request *r, fe_reader *reader);

static void
_fe_detach (fe_request *r, fe_reader *reader)
{
  for (fe_reader **at = &r->readers; *at != NULL; at = &(*at)->next)
    if (*at == reader)
      {
        *at = reader->next;
        break;
      }
  struct evhttp_connection *conn
      = evhttp_request_get_connection (reader->http);
  if (conn != NULL)
    evhttp_connection_set_closecb (conn, NULL, NULL);
  g_free (reader);
}

/* The caller disconnected before its response was complete.  A caller that
   chose the id can reconnect for the rest, so its request continues.  */
static void
_fe_on_caller_closed (struct evhttp_connection *conn, void *arg)
{
  fe_reader *reader = arg;
  fe_request *r = fe_request_of (reader->fe, reader->request);
  (void)conn;
  if (r == NULL)
    {
      g_free (reader);
      return;
    }
  _fe_detach (r, reader);
  if (r->readers == NULL && !r->caller_chose_id && r->state != FE_ENDED)
    {
      fe_count (r->fe, "dotterelbend_callers_gone_total", NULL, ST_LIT (""));
      fe_dispatch_abort (r);
    }
  else
    fe_flush_readers (r);
}

static void
_fe_set_nodelay (struct evhttp_request *req)
{
  int one = 1;
  struct evhttp_connection *conn = evhttp_request_get_connection (req);
  evutil_socket_t fd
      = bufferevent_getfd (evhttp_connection_get_bufferevent (conn));
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

/* Byte offset at which EVENT starts, also when it is the next one to arrive;
   the response's length for a later EVENT.  */
size_t
fe_event_offset (const fe_request *r, uint32_t event)
{
  if (event == 0)
    return 0;
  if (event > r->event_ends->len)
    return r->response->len;
  return g_array_index (r->event_ends, uint32_t, event - 1);
}

/* Makes REQ a reader of R's response from event FROM on.  R may run or have
   ended.  */
void
fe_attach (fe_request *r, struct evhttp_request *req, uint32_t from)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  fe_reader *reader = g_new0 (fe_reader, 1);
  reader->fe = r->fe;
  reader->request = r->self;
  reader->http = req;
  reader->sent = fe_event_offset (r, from);
  reader->next = r->readers;
  r->readers = reader;
  evhttp_add_header (headers, "Dotterelbend-Request-Id", r->id);
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 _fe_on_caller_closed, reader);
  if (r->state == FE_ENDED)
    fe_end_readers (r);
  else
    fe_flush_readers (r);
}

static void
_fe_on_written (struct evhttp_connection *conn, void *arg)
{
  fe_reader *reader = arg;
  (void)conn;
  reader->writing = false;
  fe_request *r = fe_request_of (reader->fe, reader->request);
  if (r == NULL)
    return;
  if (r->state == FE_ENDED)
    fe_end_readers (r);
  else
    fe_flush_readers (r);
}

static void
_fe_start_stream (fe_request *r, fe_reader *reader)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (reader->http);
  reader->started = true;
  evhttp_add_header (headers, "Content-Type", "text/event-stream");
  evhttp_add_header (headers, "Cache-Control", "no-cache");
  if (r->engine[0] != 0)
    evhttp_add_header (headers, "Dotterelbend-Engine", r->engine);
  _fe_set_nodelay (reader->http);
  evhttp_send_reply_start (reader->http, 200, "OK");
}

/* Number of response bytes that may be sent.  Callers receive complete events
   only, so that a resumed stream never repeats a portion of an event.  */
static size_t
_fe_sendable (const fe_request *r)
{
  return r->state == FE_ENDED ? r->response->len
                              : fe_event_offset (r, r->events);
}

/* Hands the next chunk of the response to one caller's connection.  The
   following chunk is sent when this one was written, so that a slow caller
   occupies the memory of one chunk only.  */
static void
_fe_send_chunk (fe_request *r, fe_reader *reader)
{
  size_t end = _fe_sendable (r);
  if (reader->writing || reader->sent >= end)
    return;
  if (!reader->started)
    _fe_start_stream (r, reader);
  size_t size = end - reader->sent;
  if (size > FE_CHUNK_BYTES)
    size = FE_CHUNK_BYTES;
  struct evbuffer *out = evbuffer_new ();
  evbuffer_add (out, r->response->str + reader->sent, size);
  reader->sent += size;
  reader->writing = true;
  evhttp_send_reply_chunk_with_cb (reader->http, out, _fe_on_written, reader);
  evbuffer_free (out);
}

static void
_fe_update_back_pressure (fe_request *r)
{
  size_t unsent = 0;
  size_t end = _fe_sendable (r);
  for (const fe_reader *reader = r->readers; reader != NULL;
       reader = reader->next)
    if (end > reader->sent && end - reader->sent > unsent)
      unsent = end - reader->sent;
  if (!r->paused && unsent > FE_HIGH_WATER_BYTES)
    r->paused = up_pause (r->fe->sv->up, r->call);
  else if (r->paused && unsent < FE_LOW_WATER_BYTES)
    {
      r->paused = false;
      up_resume (r->fe->sv->up, r->call);
    }
}

/* Sends what has arrived of a streamed response to all readers.  */
void
fe_flush_readers (fe_request *r)
{
  if (!r->stream)
    return;
  for (fe_reader *reader = r->readers; reader != NULL; reader = reader->next)
    _fe_send_chunk (r, reader);
  _fe_update_back_pressure (r);
}

/* Appends DATA, which is drained, to the response and, when the response is
   a stream, counts its events.  */
void
fe_append (fe_request *r, struct evbuffer *data)
{
  size_t size = evbuffer_get_length (data);
  size_t from = r->response->len;
  g_string_set_size (r->response, from + size);
  evbuffer_remove (data, r->response->str + from, size);
  r->fe->buffered_bytes += size;
  if (!r->stream && !r->resumed)
    return;
  /* The separator may have started in the previous chunk.  */
  const char *at = r->response->str + (from > 0 ? from - 1 : 0);
  const char *end = r->response->str + r->response->len;
  while ((at = memchr (at, '\n', (size_t)(end - at))) != NULL && ++at < end)
    if (*at == '\n')
      {
        uint32_t offset = (uint32_t)(++at - r->response->str);
        g_array_append_val (r->event_ends, offset);
      }
  r->events = r->event_ends->len;
}

static void
_fe_end_stream (fe_request *r, fe_reader *reader)
{
  if (r->outcome != RQ_ANSWERED)
    {
      char *text = fe_error_text (&(fe_error){ .kind = ER_UNAVAILABLE,
                                               .name = r->error_kind,
                                               .message = r->error,
                                               .outcome = r->outcome,
                                               .request_id = r->id });
      struct evbuffer *out = evbuffer_new ();
      evbuffer_add_printf (out, "data: %s\n\n", text);
      evhttp_send_reply_chunk (reader->http, out);
      evbuffer_free (out);
      g_free (text);
    }
  struct evhttp_request *http = reader->http;
  _fe_detach (r, reader);
  hx_track (r->fe->desc.unsent, http);
  evhttp_send_reply_end (http);
}

static void
_fe_end_complete (fe_request *r, fe_reader *reader)
{
  struct evhttp_request *http = reader->http;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);
  int status = r->status != 0 ? r->status : 200;
  _fe_detach (r, reader);
  evhttp_add_header (headers, "Content-Type",
                     r->content_type[0] != 0 ? r->content_type
                                             : "application/json");
  evhttp_add_header (headers, "Dotterelbend-Outcome", "answered");
  if (r->engine[0] != 0)
    evhttp_add_header (headers, "Dotterelbend-Engine", r->engine);
  struct evbuffer *out = evbuffer_new ();
  evbuffer_add (out, r->response->str, r->response->len);
  hx_track (r->fe->desc.unsent, http);
  evhttp_send_reply (http, status, hx_reason_of (status), out);
  evbuffer_free (out);
}

static int
_fe_error_status (const fe_request *r)
{
  if (strcmp (r->error_kind, "team_limit") == 0)
    return 429;
  if (r->outcome == RQ_UNKNOWN)
    return 502;
  return 503;
}

static void
_fe_end_reader (fe_request *r, fe_reader *reader)
{
  if (reader->started)
    {
      _fe_end_stream (r, reader);
      return;
    }
  if (r->outcome == RQ_ANSWERED)
    {
      _fe_end_complete (r, reader);
      return;
    }
  struct evhttp_request *http = reader->http;
  _fe_detach (r, reader);
  evhttp_remove_header (evhttp_request_get_output_headers (http),
                        "Dotterelbend-Request-Id");
  fe_reply_error (r->fe, http,
                  &(fe_error){ .status = _fe_error_status (r),
                               .kind = ER_UNAVAILABLE,
                               .name = r->error_kind,
                               .message = r->error,
                               .outcome = r->outcome,
                               .request_id = r->id,
                               .retry_after_ms = r->retry_after_ms });
}

/* Completes every reader that has received all of the response; the others
   are completed when they have.  */
void
fe_end_readers (fe_request *r)
{
  fe_reader *next;
  for (fe_reader *reader = r->readers; reader != NULL; reader = next)
    {
      next = reader->next;
      bool streaming = r->stream && r->response->len > 0
                       && (reader->started || r->status == 200);
      if (streaming)
        _fe_send_chunk (r, reader);
      if (streaming && reader->sent < r->response->len)
        continue;
      _fe_end_reader (r, reader);
    }
}

static void
_fe_append_event_text (json_t *event, GString *text, json_t **last)
{
  json_t *choice = json_array_get (json_object_get (event, "choices"), 0);
  json_t *content
      = json_object_get (json_object_get (choice, "delta"), "content");
  if (content == NULL)
    content = json_object_get (choice, "text");
  if (json_is_string (content))
    g_string_append_len (text, json_string_value (content),
                         (gssize)json_string_length (content));
  if (json_is_string (json_object_get (choice, "finish_reason"))
      || json_object_get (event, "usage") != NULL)
    {
      json_decref (*last);
      *last = json_incref (event);
    }
}

/* Replaces the events of a resumed stream by the single JSON response that
   the caller requested.  False when the stream ended without [DONE].  */
bool
fe_assemble_response (fe_request *r)
{
  GString *text = g_string_new (NULL);
  json_t *last = json_object ();
  bool done = false;
  bool chat = strcmp (r->path, "/v1/chat/completions") == 0;
  char **events = g_strsplit (r->response->str, "\n\n", -1);
  for (char **event = events; *event != NULL; event++)
    {
      if (!g_str_has_prefix (*event, "data: "))
        continue;
      if (strcmp (*event + 6, "[DONE]") == 0)
        {
          done = true;
          break;
        }
      json_t *parsed = json_loads (*event + 6, 0, NULL);
      if (parsed != NULL)
        _fe_append_event_text (parsed, text, &last);
      json_decref (parsed);
    }
  g_strfreev (events);
  if (done)
    {
      json_t *content = json_stringn (text->str, text->len);
      json_t *choice
          = chat ? json_pack ("{s:i,s:{s:s,s:o},s:s}", "index", 0, "message",
                              "role", "assistant", "content", content,
                              "finish_reason", "stop")
                 : json_pack ("{s:i,s:o,s:s}", "index", 0, "text", content,
                              "finish_reason", "stop");
      json_t *usage = json_object_get (last, "usage");
      json_t *body = json_pack ("{s:s,s:s,s:s,s:[o]}", "id", r->id, "object",
                                chat ? "chat.completion" : "text_completion",
                                "model", r->model.text, "choices", choice);
      if (usage != NULL)
        json_object_set (body, "usage", usage);
      char *dumped = json_dumps (body, JSON_COMPACT);
      r->fe->buffered_bytes -= r->response->len;
      g_string_assign (r->response, dumped);
      r->fe->buffered_bytes += r->response->len;
      free (dumped);
      json_decref (body);
      g_strlcpy (r->content_type, "application/json", sizeof r->content_type);
    }
  json_decref (last);
  g_string_free (text, TRUE);
  return done;
}
