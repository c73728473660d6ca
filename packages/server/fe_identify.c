#include "fe_internal.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

/* Bytes of text that make about one token.  */
#define _FE_BYTES_PER_TOKEN 4
#define _FE_MAX_DEADLINE_MS (24 * 3600 * 1000ull)

/* Value of a request header, empty when it is absent.  */
st_str
fe_header (struct evhttp_request *req, const char *name)
{
  return st_from_cstr (
      evhttp_find_header (evhttp_request_get_input_headers (req), name));
}

/* Parses a tier; an empty TEXT leaves TIER as it is.  */
bool
fe_parse_tier (st_str text, uint8_t *tier, er_error *err)
{
  uint64_t number;
  if (text.len == 0)
    return true;
  if (!st_parse_u64 (text, &number) || number >= SV_TIERS)
    return er_set (err, ER_INVALID,
                   "Dotterelbend-Tier '%.*s' is not a tier: send a number "
                   "from 0 (most urgent) to %d",
                   ST_FMT (text), SV_TIERS - 1);
  *tier = (uint8_t)number;
  return true;
}

static bool
_fe_validate_name (st_str s, const char *what, st_name *out, er_error *err)
{
  if (s.len == 0 || !st_name_set (out, s))
    return er_set (err, ER_INVALID, "%s must have 1 to %d bytes", what,
                   ST_NAME_MAX);
  for (size_t i = 0; i < s.len; i++)
    if ((unsigned char)s.ptr[i] < 0x21 || s.ptr[i] == '/' || s.ptr[i] == 0x7f)
      return er_set (err, ER_INVALID,
                     "%s contains a control character, a space or '/'", what);
  return true;
}

static bool
_fe_read_headers (fe_front *fe, struct evhttp_request *req, fe_request *r,
                  er_error *err)
{
  st_str team = fe_header (req, "Dotterelbend-Team");
  st_str route = fe_header (req, "Dotterelbend-Route");
  st_str deadline = fe_header (req, "Dotterelbend-Deadline-Ms");
  uint64_t deadline_ms = 0;
  if (team.len == 0)
    team = ST_LIT ("default");
  if (!_fe_validate_name (team, "Dotterelbend-Team", &r->team, err))
    return false;
  if (route.len == 0)
    route = st_name_str (&r->model);
  if (!_fe_validate_name (route, "Dotterelbend-Route", &r->route, err))
    return false;
  if (deadline.len > 0
      && (!st_parse_u64 (deadline, &deadline_ms) || deadline_ms == 0
          || deadline_ms > _FE_MAX_DEADLINE_MS))
    return er_set (err, ER_INVALID,
                   "Dotterelbend-Deadline-Ms '%.*s' is not a number of "
                   "milliseconds from 1 to %llu",
                   ST_FMT (deadline), (unsigned long long)_FE_MAX_DEADLINE_MS);
  uint8_t requested_tier = SV_TIERS;
  po_defaults policy;
  if (!fe_parse_tier (fe_header (req, "Dotterelbend-Tier"), &requested_tier,
                      err)
      || !po_query (fe->sv->policy, st_name_str (&r->team),
                    st_name_str (&r->model),
                    requested_tier < SV_TIERS ? requested_tier : SX_NO_TIER,
                    &policy, err))
    return false;
  r->tier = requested_tier < SV_TIERS ? requested_tier : policy.default_tier;
  if (r->tier < policy.most_urgent)
    r->tier = policy.most_urgent;
  if (deadline_ms == 0)
    deadline_ms = policy.deadline_ms;
  if (deadline_ms > policy.deadline_max_ms)
    return er_set (err, ER_INVALID,
                   "Dotterelbend-Deadline-Ms %llu is above deadline_max_ms, "
                   "%llu: name a shorter deadline",
                   (unsigned long long)deadline_ms,
                   (unsigned long long)policy.deadline_max_ms);
  r->deadline_us = r->accepted_us + deadline_ms * 1000;
  return true;
}

/* The text that the engine will see as prompt: the strings of PROMPT, or the
   contents of its messages, joined by line feeds.  */
static void
_fe_append_text (GString *out, json_t *prompt)
{
  size_t index;
  json_t *item;
  if (json_is_string (prompt))
    {
      if (out->len > 0)
        g_string_append_c (out, '\n');
      g_string_append_len (out, json_string_value (prompt),
                           (gssize)json_string_length (prompt));
      return;
    }
  if (json_is_object (prompt))
    {
      json_t *content = json_object_get (prompt, "content");
      json_t *text = json_object_get (prompt, "text");
      _fe_append_text (out, content != NULL ? content : text);
      return;
    }
  json_array_foreach (prompt, index, item) _fe_append_text (out, item);
}

static bool
_fe_read_json (fe_request *r, json_t *body, er_error *err)
{
  bool chat = strcmp (r->path, "/v1/chat/completions") == 0;
  const char *key = chat ? "messages" : "prompt";
  json_t *prompt = json_object_get (body, key);
  json_t *model = json_object_get (body, "model");
  json_t *stream = json_object_get (body, "stream");
  json_t *max_tokens = json_object_get (body, "max_tokens");
  if (!json_is_string (model))
    return er_set (err, ER_INVALID,
                   "the body has no 'model' string: name the model to use");
  st_str name = { json_string_value (model), json_string_length (model) };
  if (!_fe_validate_name (name, "'model'", &r->model, err))
    return false;
  if (chat ? !json_is_array (prompt)
           : !json_is_string (prompt) && !json_is_array (prompt))
    return er_set (err, ER_INVALID, "'%s' is missing or not %s", key,
                   chat ? "an array of messages" : "a string or an array");
  if (stream != NULL && !json_is_boolean (stream) && !json_is_null (stream))
    return er_set (err, ER_INVALID, "'stream' must be true or false");
  if (max_tokens != NULL && !json_is_null (max_tokens)
      && (!json_is_integer (max_tokens) || json_integer_value (max_tokens) < 1
          || json_integer_value (max_tokens) > 1000000))
    return er_set (err, ER_INVALID,
                   "'max_tokens' must be a whole number from 1 to 1000000");
  r->stream = json_is_true (stream);
  r->expected_tokens = json_is_integer (max_tokens)
                           ? (uint32_t)json_integer_value (max_tokens)
                           : 0;
  r->prompt = g_string_new (NULL);
  _fe_append_text (r->prompt, prompt);
  r->prompt_tokens = (uint32_t)(r->prompt->len / _FE_BYTES_PER_TOKEN) + 1;
  return true;
}

/* Fills R from the headers and the body of REQ.  The body is stored for
   the dispatch.  False, with a typed error, when anything is malformed.  */
bool
fe_identify (fe_front *fe, struct evhttp_request *req, fe_request *r,
             er_error *err)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (req);
  json_error_t where;
  r->body_len = evbuffer_get_length (in);
  r->body = g_malloc (r->body_len + 1);
  evbuffer_copyout (in, r->body, r->body_len);
  r->body[r->body_len] = 0;
  json_t *body
      = json_loadb (r->body, r->body_len, JSON_REJECT_DUPLICATES, &where);
  if (body == NULL)
    return er_set (err, ER_INVALID, "the body is not JSON: line %d: %s",
                   where.line, where.text);
  bool ok = json_is_object (body)
                ? _fe_read_json (r, body, err)
                : er_set (err, ER_INVALID, "the body is not a JSON object");
  json_decref (body);
  return ok && _fe_read_headers (fe, req, r, err);
}
