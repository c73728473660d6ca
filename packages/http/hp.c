#include "hp.h"

#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <strings.h>

#define _HP_DEFAULT_HEAD_BYTES (16 * 1024)
/* Most bytes parsed in one step.  */
#define _HP_STEP_BYTES 16384

/* Fields that a reader has room for after hp_next; more are allocated.  */
#define _HP_FIELDS_KEPT 32
/* Statuses that a response may have.  */
#define _HP_STATUS_MIN 100
#define _HP_STATUS_MAX 599
/* What makes the parser fail at the end of a head; 0 to 2 have meanings.  */
#define _HP_PARSER_FAIL 3
/* Text of a head that a reader has room for after hp_next.  */
#define _HP_TEXT_KEPT 2048

typedef struct
{
  uint32_t name_at;
  uint32_t name_len;
  uint32_t value_at;
  uint32_t value_len;
} _hp_span;

struct hp_reader
{
  hp_desc desc;
  http_parser parser;
  GString *text; /* target, names and values */
  size_t target_len;
  _hp_span *spans;
  hp_field *fields; /* once the head is complete */
  size_t capacity;  /* of both */
  size_t count;
  bool in_value;
  bool too_large;
  bool started;
  bool head_done;
  bool head_reported;
  bool ended;
  bool no_body;
  hp_head head;
};

static int
_hp_add (hp_reader *r, const char *at, size_t len)
{
  if (r->text->len + len > r->desc.max_head_bytes)
    {
      r->too_large = true;
      return 1;
    }
  g_string_append_len (r->text, at, (gssize)len);
  return 0;
}

static void
_hp_set_capacity (hp_reader *r, size_t capacity)
{
  r->capacity = capacity;
  r->spans = g_renew (_hp_span, r->spans, capacity);
  g_free (r->fields);
  r->fields = NULL;
}

static int
_hp_on_begin (http_parser *p)
{
  hp_reader *r = p->data;
  r->started = true;
  return 0;
}

static int
_hp_on_url (http_parser *p, const char *at, size_t len)
{
  hp_reader *r = p->data;
  r->target_len += len;
  return _hp_add (r, at, len);
}

static int
_hp_on_field (http_parser *p, const char *at, size_t len)
{
  hp_reader *r = p->data;
  if (r->head_done)
    return 0; /* trailer fields are dropped */
  if (r->in_value || r->count == 0)
    {
      if (r->count == r->desc.max_fields)
        {
          r->too_large = true;
          return 1;
        }
      if (r->count == r->capacity)
        _hp_set_capacity (r, r->capacity == 0 ? _HP_FIELDS_KEPT
                                              : 2 * r->capacity);
      r->spans[r->count] = (_hp_span){ .name_at = (uint32_t)r->text->len };
      r->count++;
      r->in_value = false;
    }
  for (size_t i = 0; i < len; i++)
    if (!g_ascii_isgraph (at[i]))
      return 1;
  r->spans[r->count - 1].name_len += (uint32_t)len;
  return _hp_add (r, at, len);
}

static int
_hp_on_value (http_parser *p, const char *at, size_t len)
{
  hp_reader *r = p->data;
  if (r->head_done || r->count == 0)
    return 0;
  _hp_span *span = &r->spans[r->count - 1];
  if (!r->in_value)
    span->value_at = (uint32_t)r->text->len;
  r->in_value = true;
  for (size_t i = 0; i < len; i++)
    if (at[i] == 0 || at[i] == '\r' || at[i] == '\n')
      return 1;
  span->value_len += (uint32_t)len;
  return _hp_add (r, at, len);
}

static int
_hp_on_head (http_parser *p)
{
  hp_reader *r = p->data;
  if (r->desc.kind == HP_RESPONSE
      && (p->status_code < _HP_STATUS_MIN || p->status_code > _HP_STATUS_MAX))
    return _HP_PARSER_FAIL;
  r->head_done = true;
  if (r->fields == NULL)
    r->fields = g_new (hp_field, r->capacity + 1);
  for (size_t i = 0; i < r->count; i++)
    {
      const _hp_span *s = &r->spans[i];
      size_t len = s->value_len;
      const char *value = r->text->str + s->value_at;
      while (len > 0 && (value[len - 1] == ' ' || value[len - 1] == '\t'))
        len--;
      r->fields[i] = (hp_field){ { r->text->str + s->name_at, s->name_len },
                                 { value, len } };
    }
  r->head = (hp_head){
    .target = { r->text->str, r->target_len },
    .status = r->desc.kind == HP_RESPONSE ? (int)p->status_code : 0,
    .major = p->http_major,
    .minor = p->http_minor,
    .keep_alive = http_should_keep_alive (p) != 0,
    .chunked = (p->flags & F_CHUNKED) != 0,
    .has_length = (p->flags & F_CONTENTLENGTH) != 0,
    .length = (p->flags & F_CONTENTLENGTH) != 0 ? p->content_length : 0,
    .field_count = r->count,
    .fields = r->fields,
  };
  if (r->desc.kind == HP_REQUEST)
    r->head.method
        = st_from_cstr (http_method_str ((enum http_method)p->method));
  http_parser_pause (p, 1);
  /* To the parser 1 means that no body follows.  */
  return r->no_body ? 1 : 0;
}

static int
_hp_on_body (http_parser *p, const char *at, size_t len)
{
  hp_reader *r = p->data;
  if (r->desc.on_body != NULL)
    r->desc.on_body (r->desc.user, (st_str){ at, len });
  return 0;
}

static int
_hp_on_end (http_parser *p)
{
  hp_reader *r = p->data;
  r->ended = true;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings _hp_settings = {
  .on_message_begin = _hp_on_begin,
  .on_url = _hp_on_url,
  .on_header_field = _hp_on_field,
  .on_header_value = _hp_on_value,
  .on_headers_complete = _hp_on_head,
  .on_body = _hp_on_body,
  .on_message_complete = _hp_on_end,
};

/* Makes a reader.  Never fails: memory exhaustion ends the process.  */
hp_reader *
hp_make (const hp_desc *desc)
{
  hp_reader *r = g_new0 (hp_reader, 1);
  r->desc = *desc;
  if (r->desc.max_head_bytes == 0)
    r->desc.max_head_bytes = _HP_DEFAULT_HEAD_BYTES;
  if (r->desc.max_fields == 0)
    r->desc.max_fields = HP_FIELDS_MAX;
  r->text = g_string_sized_new (512);
  http_parser_init (&r->parser,
                    desc->kind == HP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
  r->parser.data = r;
  return r;
}

/* Releases R; R may be NULL.  */
void
hp_destroy (hp_reader *r)
{
  if (r == NULL)
    return;
  g_string_free (r->text, TRUE);
  g_free (r->spans);
  g_free (r->fields);
  g_free (r);
}

static hp_result
_hp_state (hp_reader *r)
{
  if (r->head_done && !r->head_reported)
    {
      r->head_reported = true;
      return HP_HEAD;
    }
  if (r->ended)
    return HP_END;
  return HP_MORE;
}

/* Parses and removes bytes of IN up to the end of the head or of the message,
   whichever comes first.  Body bytes are passed to on_body.  HP_HEAD is
   returned once for each message, before its body is read.  */
hp_result
hp_read (hp_reader *r, struct evbuffer *in)
{
  hp_result state = _hp_state (r);
  /* An error is final: the framing after it is not known.  */
  if (HTTP_PARSER_ERRNO (&r->parser) == HPE_PAUSED && !r->ended)
    http_parser_pause (&r->parser, 0);
  while (state == HP_MORE && evbuffer_get_length (in) > 0)
    {
      size_t available = evbuffer_get_contiguous_space (in);
      size_t step = available < _HP_STEP_BYTES ? available : _HP_STEP_BYTES;
      unsigned char *bytes = evbuffer_pullup (in, (ev_ssize_t)step);
      if (bytes == NULL)
        return HP_BAD;
      size_t parsed = http_parser_execute (&r->parser, &_hp_settings,
                                           (const char *)bytes, step);
      enum http_errno error = HTTP_PARSER_ERRNO (&r->parser);
      if (r->too_large)
        return HP_TOO_LARGE;
      if (error != HPE_OK && error != HPE_PAUSED)
        return HP_BAD;
      if (r->parser.upgrade)
        return HP_BAD;
      evbuffer_drain (in, parsed);
      state = _hp_state (r);
    }
  return state;
}

/* Handles the end of the connection.  HP_END when it completes the message,
   HP_MORE when no message has started, HP_BAD when one is truncated.  */
hp_result
hp_finish (hp_reader *r)
{
  if (r->ended)
    return HP_END;
  if (!r->started)
    return HP_MORE;
  if (HTTP_PARSER_ERRNO (&r->parser) == HPE_PAUSED)
    http_parser_pause (&r->parser, 0);
  http_parser_execute (&r->parser, &_hp_settings, NULL, 0);
  return r->ended ? HP_END : HP_BAD;
}

/* Discards the message that has ended and prepares for the next one.  */
void
hp_next (hp_reader *r)
{
  http_parser_init (&r->parser,
                    r->desc.kind == HP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
  hp_release_fields (r);
  r->target_len = 0;
  r->in_value = false;
  r->started = false;
  r->head_done = false;
  r->head_reported = false;
  r->ended = false;
  r->head = (hp_head){ 0 };
}

/* Releases the text and the fields of the head, so that a long request that is
   being processed does not keep them.  The rest of the head stays valid.  */
void
hp_release_fields (hp_reader *r)
{
  if (r->text->allocated_len > _HP_TEXT_KEPT)
    {
      g_string_free (r->text, TRUE);
      r->text = g_string_sized_new (512);
    }
  else
    g_string_truncate (r->text, 0);
  if (r->capacity > _HP_FIELDS_KEPT)
    _hp_set_capacity (r, _HP_FIELDS_KEPT);
  r->count = 0;
  r->head.target = (st_str){ "", 0 };
  r->head.field_count = 0;
  r->head.fields = r->fields;
}

/* Bytes of memory that R takes.  */
size_t
hp_query_memory (const hp_reader *r)
{
  return sizeof *r + r->text->allocated_len
         + r->capacity
               * (sizeof *r->spans
                  + (r->fields != NULL ? sizeof *r->fields : 0));
}

/* States whether the next messages have a body, whatever their heads say.  */
void
hp_expect_no_body (hp_reader *r, bool no_body)
{
  r->no_body = no_body;
}

/* True when bytes of a message have been read since the last hp_next.  */
bool
hp_query_started (const hp_reader *r)
{
  return r->started;
}

/* The head, once HP_HEAD was returned.  */
const hp_head *
hp_query_head (const hp_reader *r)
{
  return &r->head;
}

/* True when A and B are the same field name.  */
bool
hp_name_equal (st_str a, st_str b)
{
  return a.len == b.len && strncasecmp (a.ptr, b.ptr, a.len) == 0;
}

/* Finds the first field NAME; false when there is none.  */
bool
hp_get (const hp_head *head, st_str name, st_str *value)
{
  for (size_t i = 0; i < head->field_count; i++)
    if (hp_name_equal (head->fields[i].name, name))
      {
        *value = head->fields[i].value;
        return true;
      }
  return false;
}

/* True when the comma-separated LIST has the element WORD.  */
bool
hp_list_contains (st_str list, st_str word)
{
  size_t from = 0;
  while (from <= list.len)
    {
      size_t to = from;
      while (to < list.len && list.ptr[to] != ',')
        to++;
      st_str item = st_slice (list, from, to);
      while (item.len > 0 && g_ascii_isspace (item.ptr[0]))
        item = st_slice (item, 1, item.len);
      while (item.len > 0 && g_ascii_isspace (item.ptr[item.len - 1]))
        item.len--;
      if (hp_name_equal (item, word))
        return true;
      from = to + 1;
    }
  return false;
}

/* Reason phrase of STATUS; NULL for one that the project does not use.  */
const char *
hp_reason_of (int status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return NULL;
    }
}
