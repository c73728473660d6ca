#include "lc.h"

#include "ck.h"
#include "tc.h"
#include "te.h"
#include "th.h"
#include "ts.h"

#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>

#define LC_TIERS 5
#define LC_ID_MAX 192
#define LC_REDIRECTS_MAX 5
#define LC_QUERIES_MAX 60
#define LC_RETRY_DELAY_MS 100
#define LC_RETRY_DELAY_MAX_MS 1000
#define LC_ADDRESS_TIMEOUT_MS 1000
#define LC_RESPONSE_IDLE_TIMEOUT_MS 20000

typedef enum
{
  LC_CHAT = 0, /* streamed chat */
  LC_WHOLE,    /* chat that is not streamed */
  LC_TEXT,     /* completion, streamed or not */
  LC_READ,     /* idempotent read */
  LC_CALL,     /* non-idempotent call */
  LC_KINDS
} _lc_kind;

static const char *const _lc_kind_names[LC_KINDS]
    = { "chat", "whole", "text", "read", "call" };
/* Percentage of each kind in the mix.  */
static const uint32_t _lc_kind_weights[LC_KINDS] = { 35, 20, 15, 15, 15 };

static const char *const _lc_teams[]
    = { "labels", "market", "night", "inscriptions", "orders" };

typedef struct
{
  char address[64];
  char incarnation[128];
  bool local;
} _lc_vm;

typedef enum
{
  LC_SEND,  /* the request itself */
  LC_QUERY, /* GET /v1/requests/ID */
  LC_FETCH  /* GET /v1/requests/ID/answer */
} _lc_step;

typedef struct
{
  lc_client *c;
  uint32_t index;
  _lc_kind kind;
  uint8_t tier;
  const char *team;
  const char *model;
  bool stream;
  bool text; /* completions instead of chat */
  uint32_t max_tokens;
  char *prompt;
  char *body;
  char *path;
  char id[LC_ID_MAX];
  char key[64];
  char address[64]; /* that the current step is sent to */
  uint32_t attempts;
  uint32_t redirects;
  uint32_t query_count;
  _lc_step step;
  tc_conn *conn;
  struct event *timer;
  GString *response;
  uint64_t started_us;
  uint64_t first_us;
  uint64_t ended_us;
  const char *outcome; /* NULL while it runs */
  char note[160];
  json_t *ids; /* {"id","outcome"} for each id that was used */
} _lc_request;

struct lc_client
{
  lc_desc desc;
  ck_clock clock;
  GRand *rand;
  char **given_vms;
  char **models;
  char *service;
  bool kinds[LC_KINDS];
  GArray *vms; /* _lc_vm */
  uint64_t refresh_us;
  tc_conn *address_conn;
  GString *address_body;
  uint32_t address_attempts;
  struct event *tick;
  _lc_request *requests;
  uint32_t next;
  uint32_t running;
  uint32_t done;
  uint64_t start_us;
};

static void _lc_send (_lc_request *r);
static void _lc_query_outcome (_lc_request *r);

/* ---- addresses ---- */

static bool
_lc_apply_addresses (lc_client *c)
{
  json_t *body
      = json_loadb (c->address_body->str, c->address_body->len, 0, NULL);
  json_t *list = json_object_get (body, "addresses");
  json_int_t keep_s = json_integer_value (json_object_get (body, "keep_s"));
  size_t i;
  json_t *item;
  bool ok = json_array_size (list) > 0;
  if (ok)
    g_array_set_size (c->vms, 0);
  json_array_foreach (list, i, item)
  {
    _lc_vm vm = { 0 };
    const char *address = NULL;
    const char *incarnation = NULL;
    const char *region = "";
    if (json_unpack (item, "{s:s,s:s,s?s}", "address", &address, "incarnation",
                     &incarnation, "region", &region)
        != 0)
      continue;
    g_strlcpy (vm.address, address, sizeof vm.address);
    g_strlcpy (vm.incarnation, incarnation, sizeof vm.incarnation);
    vm.local = c->desc.region == NULL || strcmp (c->desc.region, region) == 0;
    g_array_append_val (c->vms, vm);
  }
  json_decref (body);
  c->refresh_us
      = ck_now_us (&c->clock) + (uint64_t)CLAMP (keep_s, 1, 60) * CK_S_US;
  return ok;
}

static void
_lc_on_address_data (st_str data, void *user)
{
  lc_client *c = user;
  g_string_append_len (c->address_body, data.ptr, (gssize)data.len);
}

static void
_lc_on_addresses (const tc_result *result, void *user)
{
  lc_client *c = user;
  tc_destroy (c->address_conn);
  c->address_conn = NULL;
  if (result->end != TC_COMPLETE || result->status != 200
      || !_lc_apply_addresses (c))
    c->refresh_us = ck_now_us (&c->clock) + LC_RETRY_DELAY_MS * CK_MS_US;
}

/* Fetches the address list.  Any VM has it: those of the last list and the
   given ones take turns, so that a dead one does not block the client.  */
static void
_lc_fetch_addresses (lc_client *c)
{
  guint given_count = g_strv_length (c->given_vms);
  guint turn = c->address_attempts++ % (given_count + c->vms->len);
  const char *address = turn < c->vms->len
                            ? g_array_index (c->vms, _lc_vm, turn).address
                            : c->given_vms[turn - c->vms->len];
  char path[128];
  g_snprintf (path, sizeof path, "/v1/addresses%s%s",
              c->desc.region != NULL ? "?region=" : "",
              c->desc.region != NULL ? c->desc.region : "");
  g_string_truncate (c->address_body, 0);
  c->address_conn = tc_make (c->desc.base, address);
  if (c->address_conn == NULL
      || !tc_send (c->address_conn,
                   &(tc_call){ .method = EVHTTP_REQ_GET,
                               .path = path,
                               .idle_timeout_ms = LC_ADDRESS_TIMEOUT_MS,
                               .on_data = _lc_on_address_data,
                               .on_done = _lc_on_addresses,
                               .user = c }))
    {
      tc_destroy (c->address_conn);
      c->address_conn = NULL;
      c->refresh_us = ck_now_us (&c->clock) + LC_RETRY_DELAY_MS * CK_MS_US;
    }
}

/* A random VM, if possible one of the caller's region, and if possible other
   than AVOID.  Returns NULL when there is none.  */
static const _lc_vm *
_lc_pick_vm (lc_client *c, const char *avoid)
{
  for (int pass = 0; pass < 3; pass++)
    {
      guint count = 0;
      const _lc_vm *picked = NULL;
      for (guint i = 0; i < c->vms->len; i++)
        {
          const _lc_vm *vm = &g_array_index (c->vms, _lc_vm, i);
          if ((pass == 0 && !vm->local)
              || (pass < 2 && strcmp (vm->address, avoid) == 0))
            continue;
          if (g_rand_int_range (c->rand, 0, (gint32)++count) == 0)
            picked = vm;
        }
      if (picked != NULL)
        return picked;
    }
  return NULL;
}

/* ---- ends ---- */

static bool
_lc_is_draft (const _lc_request *r)
{
  return r->kind == LC_CHAT || r->kind == LC_WHOLE || r->kind == LC_TEXT;
}

static void
_lc_record_id (_lc_request *r, const char *outcome)
{
  if (r->id[0] == '\0')
    return;
  json_array_append_new (
      r->ids, json_pack ("{s:s,s:s}", "id", r->id, "outcome", outcome));
  r->id[0] = '\0';
}

static void
_lc_end (_lc_request *r, const char *outcome, const char *note)
{
  lc_client *c = r->c;
  if (_lc_is_draft (r))
    {
      char id[LC_ID_MAX];
      memcpy (id, r->id, sizeof id);
      _lc_record_id (r, outcome);
      memcpy (r->id, id, sizeof id);
    }
  tc_destroy (r->conn);
  r->conn = NULL;
  event_del (r->timer);
  r->outcome = outcome;
  r->ended_us = ck_now_us (&c->clock);
  g_strlcpy (r->note, note, sizeof r->note);
  g_free (r->body);
  r->body = NULL;
  c->running--;
  c->done++;
  if (c->done == c->desc.requests)
    event_base_loopbreak (c->desc.base);
}

static bool
_lc_timed_out (_lc_request *r)
{
  return ck_now_us (&r->c->clock) - r->started_us
         > r->c->desc.timeout_ms * CK_MS_US;
}

static void
_lc_set_timer (_lc_request *r, uint32_t delay_ms)
{
  struct timeval tv = { delay_ms / 1000, delay_ms % 1000 * 1000 };
  tc_destroy (r->conn);
  r->conn = NULL;
  evtimer_add (r->timer, &tv);
}

/* Retries the request after DELAY_MS.  Ends it with OUTCOME when its attempts
   or its time are used up.  */
static void
_lc_retry (_lc_request *r, const char *outcome, uint32_t delay_ms,
           const char *note)
{
  if (r->attempts >= r->c->desc.attempts || _lc_timed_out (r))
    {
      _lc_end (r, outcome, note);
      return;
    }
  if (_lc_is_draft (r))
    _lc_record_id (r, outcome);
  r->step = LC_SEND;
  r->redirects = 0;
  _lc_set_timer (r, MIN (delay_ms, LC_RETRY_DELAY_MAX_MS));
}

/* Called when the request was sent and no outcome was received.  For a draft,
   the outcome is queried at the VMs; a read or a call is retried.  */
static void
_lc_find_outcome (_lc_request *r, const char *note)
{
  if (!_lc_is_draft (r))
    {
      /* A read is idempotent, and a call is retried with its key.  */
      _lc_retry (r, r->kind == LC_READ ? "error" : "lost", LC_RETRY_DELAY_MS,
                 note);
      return;
    }
  if (r->query_count++ >= LC_QUERIES_MAX || _lc_timed_out (r))
    {
      _lc_end (r, "lost", note);
      return;
    }
  r->step = LC_QUERY;
  _lc_set_timer (r, r->query_count == 1 ? 1 : LC_RETRY_DELAY_MS * 2);
}

/* ---- responses ---- */

static bool
_lc_text_matches (const _lc_request *r, const char *text)
{
  st_str prompt = st_from_cstr (r->prompt);
  uint64_t hash = te_prompt_hash (prompt);
  char token[TE_TOKEN_LEN + 1];
  if (text == NULL || strlen (text) != r->max_tokens * TE_TOKEN_LEN)
    return false;
  for (uint32_t i = 0; i < r->max_tokens; i++)
    {
      te_token (st_from_cstr (r->id), hash, i, token);
      if (memcmp (text + i * TE_TOKEN_LEN, token, TE_TOKEN_LEN) != 0)
        return false;
    }
  return true;
}

static const char *
_lc_choice_text (const json_t *body)
{
  const json_t *choice = json_array_get (json_object_get (body, "choices"), 0);
  const json_t *part = json_object_get (choice, "message");
  if (part == NULL)
    part = json_object_get (choice, "delta");
  part = part != NULL ? json_object_get (part, "content")
                      : json_object_get (choice, "text");
  return json_string_value (part);
}

static const char *
_lc_error_outcome (const json_t *body)
{
  const char *outcome = json_string_value (
      json_object_get (json_object_get (body, "error"), "outcome"));
  return outcome != NULL ? outcome : "";
}

static const char *
_lc_error_message (const json_t *body)
{
  const char *message = json_string_value (
      json_object_get (json_object_get (body, "error"), "message"));
  return message != NULL ? message : "";
}

/* Handles an outcome that a VM stated in an error.  */
static void
_lc_on_outcome (_lc_request *r, const char *outcome, uint32_t delay_ms,
                const char *message)
{
  if (strcmp (outcome, "not_run") == 0)
    _lc_retry (r, "not_run", delay_ms, message);
  else if (strcmp (outcome, "unknown") == 0)
    _lc_end (r, "unknown", message);
  else if (r->kind == LC_READ)
    _lc_retry (r, "error", delay_ms, message);
  else
    _lc_end (r, "error", message);
}

/* Ends the request by what its streamed response holds.  A stream without
   [DONE] and without a stated outcome leads to a query.  */
static void
_lc_check_events (_lc_request *r)
{
  GString *text = g_string_new (NULL);
  char **events = g_strsplit (r->response->str, "\n\n", -1);
  bool done = false;
  char outcome[32] = "";
  char message[160] = "";
  for (char **event = events; *event != NULL; event++)
    {
      json_t *body;
      const char *part;
      if (!g_str_has_prefix (*event, "data: "))
        continue;
      if (strcmp (*event + 6, "[DONE]") == 0)
        {
          done = true;
          continue;
        }
      body = json_loads (*event + 6, 0, NULL);
      part = _lc_choice_text (body);
      if (part != NULL)
        g_string_append (text, part);
      if (json_object_get (body, "error") != NULL)
        {
          g_strlcpy (outcome, _lc_error_outcome (body), sizeof outcome);
          g_strlcpy (message, _lc_error_message (body), sizeof message);
        }
      json_decref (body);
    }
  g_strfreev (events);
  if (done && _lc_text_matches (r, text->str))
    _lc_end (r, "answered", "");
  else if (done)
    _lc_end (r, "wrong", "the text is not the one expected for this prompt");
  else if (outcome[0] != '\0')
    _lc_on_outcome (r, outcome, LC_RETRY_DELAY_MS, message);
  else
    _lc_find_outcome (r, "the stream ended before [DONE]");
  g_string_free (text, TRUE);
}

static void
_lc_check_response (_lc_request *r)
{
  json_t *body;
  if (_lc_is_draft (r) && r->stream)
    {
      _lc_check_events (r);
      return;
    }
  body = json_loadb (r->response->str, r->response->len, 0, NULL);
  if (r->kind == LC_READ)
    {
      const char *path = json_string_value (json_object_get (body, "path"));
      char *sent = g_strdup (r->path);
      bool right = path != NULL && g_str_has_suffix (sent, path);
      g_free (sent);
      _lc_end (r, right ? "answered" : "wrong", "");
    }
  else if (r->kind == LC_CALL)
    {
      json_int_t result
          = json_integer_value (json_object_get (body, "result"));
      uint64_t expected = ts_result (r->key, r->prompt, strlen (r->prompt));
      _lc_end (r, (uint64_t)result == expected ? "answered" : "wrong", "");
    }
  else
    _lc_end (
        r, _lc_text_matches (r, _lc_choice_text (body)) ? "answered" : "wrong",
        "");
  json_decref (body);
}

/* Sets the address to that of a 307.  Returns false when the redirect is
   malformed or there were too many.  */
static bool
_lc_redirect (_lc_request *r, const tc_result *result)
{
  const char *location = evhttp_find_header (result->headers, "Location");
  const char *host;
  const char *slash;
  if (location == NULL || r->redirects++ >= LC_REDIRECTS_MAX
      || !g_str_has_prefix (location, "http://"))
    return false;
  host = location + strlen ("http://");
  slash = strchr (host, '/');
  if (slash == NULL || (size_t)(slash - host) >= sizeof r->address)
    return false;
  memset (r->address, 0, sizeof r->address);
  memcpy (r->address, host, (size_t)(slash - host));
  return true;
}

static uint32_t
_lc_retry_after_ms (const tc_result *result)
{
  const char *text = evhttp_find_header (result->headers, "Retry-After");
  uint64_t seconds;
  if (text == NULL || !st_parse_u64 (st_from_cstr (text), &seconds))
    return LC_RETRY_DELAY_MS;
  return (uint32_t)MIN (seconds * 1000, LC_RETRY_DELAY_MAX_MS);
}

static void _lc_start_step (_lc_request *r);

/* Handles the response to GET /v1/requests/ID.  */
static void
_lc_on_request_state (_lc_request *r, const tc_result *result)
{
  json_t *body = json_loadb (r->response->str, r->response->len, 0, NULL);
  const char *state = json_string_value (json_object_get (body, "state"));
  const char *outcome = json_string_value (json_object_get (body, "outcome"));
  if (state != NULL && outcome != NULL && strcmp (outcome, "answered") != 0)
    _lc_on_outcome (r, outcome, _lc_retry_after_ms (result),
                    "stated by the request's record");
  else if (state != NULL)
    {
      r->step = LC_FETCH;
      _lc_start_step (r);
    }
  else if (_lc_error_outcome (body)[0] != '\0')
    _lc_on_outcome (r, _lc_error_outcome (body), _lc_retry_after_ms (result),
                    _lc_error_message (body));
  else
    _lc_find_outcome (r, "no VM has stated the outcome");
  json_decref (body);
}

static void
_lc_on_response (_lc_request *r, const tc_result *result)
{
  json_t *body;
  const char *outcome;
  if (result->status == 307 && _lc_redirect (r, result))
    {
      tc_destroy (r->conn);
      r->conn = NULL;
      _lc_start_step (r);
      return;
    }
  if (r->step == LC_QUERY)
    {
      _lc_on_request_state (r, result);
      return;
    }
  if (result->status == 200)
    {
      _lc_check_response (r);
      return;
    }
  body = json_loadb (r->response->str, r->response->len, 0, NULL);
  outcome = _lc_error_outcome (body);
  if (outcome[0] == '\0')
    {
      outcome = evhttp_find_header (result->headers, "Dotterelbend-Outcome");
      if (outcome == NULL)
        outcome = "";
    }
  if (result->status == 202 || (result->status >= 500 && outcome[0] == '\0'))
    _lc_find_outcome (r, "the response states no outcome");
  else
    _lc_on_outcome (r, outcome, _lc_retry_after_ms (result),
                    body != NULL ? _lc_error_message (body)
                                 : r->response->str);
  json_decref (body);
}

static void
_lc_on_data (st_str data, void *user)
{
  _lc_request *r = user;
  if (r->first_us == 0)
    r->first_us = ck_now_us (&r->c->clock);
  g_string_append_len (r->response, data.ptr, (gssize)data.len);
}

static void
_lc_on_done (const tc_result *result, void *user)
{
  _lc_request *r = user;
  if (result->end == TC_COMPLETE)
    _lc_on_response (r, result);
  else if (r->step == LC_SEND && result->end == TC_NOT_SENT)
    {
      /* Nothing was sent, so the request was not run.  */
      r->c->refresh_us = 0;
      _lc_retry (r, "not_sent", LC_RETRY_DELAY_MS,
                 "the VM did not accept the connection");
    }
  else
    {
      r->c->refresh_us = 0;
      _lc_find_outcome (r, "the connection was lost");
    }
}

/* ---- requests ---- */

/* Sends the current step to the address of the request.  */
static void
_lc_start_step (_lc_request *r)
{
  char tier[8];
  char path[LC_ID_MAX + 64];
  tc_header headers[5] = { { 0 } };
  tc_call call = { .idle_timeout_ms = LC_RESPONSE_IDLE_TIMEOUT_MS,
                   .on_data = _lc_on_data,
                   .on_done = _lc_on_done,
                   .user = r };
  int n = 0;
  g_snprintf (tier, sizeof tier, "%u", r->tier);
  headers[n++] = (tc_header){ "Dotterelbend-Team", r->team };
  headers[n++] = (tc_header){ "Dotterelbend-Tier", tier };
  if (r->step == LC_SEND)
    {
      call.method = r->kind == LC_READ ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
      call.path = r->path;
      if (r->body != NULL)
        call.body = st_from_cstr (r->body);
      if (r->kind == LC_CALL)
        headers[n++] = (tc_header){ "Idempotency-Key", r->key };
      else if (_lc_is_draft (r))
        headers[n++] = (tc_header){ "Dotterelbend-Request-Id", r->id };
    }
  else
    {
      g_snprintf (path, sizeof path, "/v1/requests/%s%s", r->id,
                  r->step == LC_FETCH ? "/answer?from=0" : "");
      call.method = EVHTTP_REQ_GET;
      call.path = path;
    }
  call.headers = headers;
  g_string_truncate (r->response, 0);
  tc_destroy (r->conn);
  r->conn = tc_make (r->c->desc.base, r->address);
  if (r->conn == NULL || !tc_send (r->conn, &call))
    {
      tc_result result = { .end = TC_NOT_SENT };
      _lc_on_done (&result, r);
    }
}

static void
_lc_send (_lc_request *r)
{
  lc_client *c = r->c;
  const _lc_vm *vm = _lc_pick_vm (c, r->address);
  r->attempts++;
  if (vm == NULL)
    {
      _lc_retry (r, "not_sent", LC_RETRY_DELAY_MS,
                 "no VM address was received");
      return;
    }
  g_strlcpy (r->address, vm->address, sizeof r->address);
  if (_lc_is_draft (r))
    g_snprintf (r->id, sizeof r->id, "%s.%" G_GUINT64_FORMAT ".%08x%08x",
                vm->incarnation, ck_wall_ms (&c->clock), g_rand_int (c->rand),
                g_rand_int (c->rand));
  r->step = LC_SEND;
  _lc_start_step (r);
}

/* Queries the outcome at another VM.  */
static void
_lc_query_outcome (_lc_request *r)
{
  const _lc_vm *vm = _lc_pick_vm (r->c, r->address);
  r->redirects = 0;
  if (vm == NULL)
    {
      _lc_find_outcome (r, "no VM address was received");
      return;
    }
  g_strlcpy (r->address, vm->address, sizeof r->address);
  _lc_start_step (r);
}

static void
_lc_on_timer (evutil_socket_t fd, short what, void *user)
{
  _lc_request *r = user;
  (void)fd;
  (void)what;
  if (r->step == LC_SEND)
    _lc_send (r);
  else
    {
      r->step = LC_QUERY;
      _lc_query_outcome (r);
    }
}

static _lc_kind
_lc_pick_kind (lc_client *c)
{
  uint32_t total = 0;
  uint32_t at;
  for (int k = 0; k < LC_KINDS; k++)
    total += c->kinds[k] ? _lc_kind_weights[k] : 0;
  at = (uint32_t)g_rand_int_range (c->rand, 0, (gint32)total);
  for (int k = 0; k < LC_KINDS; k++)
    {
      if (!c->kinds[k])
        continue;
      if (at < _lc_kind_weights[k])
        return k;
      at -= _lc_kind_weights[k];
    }
  return LC_CHAT;
}

/* Each prompt begins with one of 8 long texts, so that prefix caches get
   hits.  */
static char *
_lc_make_prompt (lc_client *c)
{
  GString *text = g_string_new (NULL);
  gint32 opening = g_rand_int_range (c->rand, 0, 8);
  gint32 repeats = 2 + opening * 6;
  for (gint32 i = 0; i < repeats; i++)
    g_string_append_printf (
        text, "Opening %d, part %d: house style for labels and letters. ",
        opening, i);
  g_string_append_printf (text, "Task %08x.", g_rand_int (c->rand));
  return g_string_free (text, FALSE);
}

static void
_lc_make_draft (_lc_request *r)
{
  json_t *body;
  r->text = r->kind == LC_TEXT;
  r->stream = r->kind == LC_CHAT || (r->text && g_rand_boolean (r->c->rand));
  body = r->text ? json_pack ("{s:s}", "prompt", r->prompt)
                 : json_pack ("{s:[{s:s,s:s}]}", "messages", "role", "user",
                              "content", r->prompt);
  json_object_set_new (body, "model", json_string (r->model));
  json_object_set_new (body, "stream", json_boolean (r->stream));
  json_object_set_new (body, "max_tokens",
                       json_integer ((json_int_t)r->max_tokens));
  r->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  r->path = g_strdup (r->text ? "/v1/completions" : "/v1/chat/completions");
}

static void
_lc_start_request (lc_client *c)
{
  _lc_request *r = &c->requests[c->next];
  r->c = c;
  r->index = c->next++;
  r->kind = _lc_pick_kind (c);
  r->tier = (uint8_t)g_rand_int_range (c->rand, 0, LC_TIERS);
  r->team = _lc_teams[g_rand_int_range (c->rand, 0, G_N_ELEMENTS (_lc_teams))];
  r->model = c->models[g_rand_int_range (c->rand, 0,
                                         (gint32)g_strv_length (c->models))];
  r->max_tokens = (uint32_t)g_rand_int_range (c->rand, 1,
                                              (gint32)c->desc.max_tokens + 1);
  r->prompt = _lc_make_prompt (c);
  r->response = g_string_new (NULL);
  r->ids = json_array ();
  r->timer = evtimer_new (c->desc.base, _lc_on_timer, r);
  r->started_us = ck_now_us (&c->clock);
  c->running++;
  if (_lc_is_draft (r))
    _lc_make_draft (r);
  else if (r->kind == LC_READ)
    r->path
        = g_strdup_printf ("/v1/services/%s/item-%u", c->service, r->index);
  else
    {
      g_snprintf (r->key, sizeof r->key, "%08x-%08x-%u", g_rand_int (c->rand),
                  g_rand_int (c->rand), r->index);
      r->path = g_strdup_printf ("/v1/services/%s/submit", c->service);
      r->body = g_strdup (r->prompt);
    }
  _lc_send (r);
}

static void
_lc_on_tick (evutil_socket_t fd, short what, void *user)
{
  lc_client *c = user;
  uint64_t now_us = ck_now_us (&c->clock);
  uint32_t due = c->desc.requests;
  (void)fd;
  (void)what;
  if (now_us >= c->refresh_us && c->address_conn == NULL)
    _lc_fetch_addresses (c);
  if (c->vms->len == 0)
    {
      /* Requests start without a VM only after the time-out of one request, so
         that the run ends with the outcome not_sent.  */
      if (now_us - c->start_us < c->desc.timeout_ms * CK_MS_US)
        return;
    }
  if (c->desc.rate > 0)
    due = (uint32_t)MIN ((double)c->desc.requests,
                         (double)(now_us - c->start_us) / 1e6 * c->desc.rate);
  while (c->next < due && c->running < c->desc.in_flight)
    _lc_start_request (c);
}

static bool
_lc_parse_kinds (lc_client *c, er_error *err)
{
  char **names;
  bool ok = true;
  if (c->desc.kinds == NULL)
    {
      for (int k = 0; k < LC_KINDS; k++)
        c->kinds[k] = true;
      return true;
    }
  names = g_strsplit (c->desc.kinds, ",", 0);
  for (char **name = names; *name != NULL; name++)
    {
      bool found = false;
      for (int k = 0; k < LC_KINDS; k++)
        if (strcmp (*name, _lc_kind_names[k]) == 0)
          found = c->kinds[k] = true;
      if (!found)
        ok = er_set (
            err, ER_INVALID,
            "'%s' is not a request kind; use chat, whole, text, read or call",
            *name);
    }
  g_strfreev (names);
  return ok;
}

/* Makes a client.  Returns NULL and fills ERR when DESC is invalid.  */
lc_client *
lc_make (const lc_desc *desc, er_error *err)
{
  lc_client *c;
  if (desc->vms == NULL || desc->vms[0] == '\0')
    {
      er_set (err, ER_INVALID, "give the address of at least one VM");
      return NULL;
    }
  c = g_new0 (lc_client, 1);
  c->desc = *desc;
  if (c->desc.requests == 0)
    c->desc.requests = 100;
  if (c->desc.in_flight == 0)
    c->desc.in_flight = 32;
  if (c->desc.attempts == 0)
    c->desc.attempts = 8;
  if (c->desc.timeout_ms == 0)
    c->desc.timeout_ms = 60000;
  if (c->desc.max_tokens == 0)
    c->desc.max_tokens = 32;
  c->rand = g_rand_new_with_seed (desc->seed);
  c->given_vms = g_strsplit (desc->vms, ",", 0);
  c->models = g_strsplit (desc->models != NULL ? desc->models : "m1", ",", 0);
  c->service = g_strdup (desc->service != NULL ? desc->service : "orders");
  c->vms = g_array_new (FALSE, TRUE, sizeof (_lc_vm));
  c->address_body = g_string_new (NULL);
  c->requests = g_new0 (_lc_request, c->desc.requests);
  if (!_lc_parse_kinds (c, err))
    {
      lc_destroy (c);
      return NULL;
    }
  return c;
}

/* Frees C and closes its connections.  */
void
lc_destroy (lc_client *c)
{
  if (c == NULL)
    return;
  for (uint32_t i = 0; i < c->next; i++)
    {
      _lc_request *r = &c->requests[i];
      tc_destroy (r->conn);
      event_free (r->timer);
      g_string_free (r->response, TRUE);
      json_decref (r->ids);
      g_free (r->prompt);
      g_free (r->body);
      g_free (r->path);
    }
  tc_destroy (c->address_conn);
  if (c->tick != NULL)
    event_free (c->tick);
  g_free (c->requests);
  g_array_free (c->vms, TRUE);
  g_string_free (c->address_body, TRUE);
  g_strfreev (c->given_vms);
  g_strfreev (c->models);
  g_free (c->service);
  g_rand_free (c->rand);
  g_free (c);
}

/* Starts the run.  The event loop is broken when every request has ended.  */
void
lc_start (lc_client *c)
{
  struct timeval every = { 0, 5000 };
  c->start_us = ck_now_us (&c->clock);
  c->tick = event_new (c->desc.base, -1, EV_PERSIST, _lc_on_tick, c);
  event_add (c->tick, &every);
}

/* Report: {"requests":[{"id","key","kind","tier","team","outcome",
   "attempts","first_ms","total_ms","ids":[{"id","outcome"}],"note"}]}.
   A request that has not ended has the outcome "lost".  */
json_t *
lc_report (const lc_client *c)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < c->next; i++)
    {
      const _lc_request *r = &c->requests[i];
      double total_ms = r->outcome != NULL
                            ? (double)(r->ended_us - r->started_us) / 1000.0
                            : -1;
      double first_ms = r->first_us > 0
                            ? (double)(r->first_us - r->started_us) / 1000.0
                            : -1;
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:s,s:i,s:s,s:b,s:s,s:i,s:f,s:f,s:O,s:s}", "id",
                     r->id, "key", r->key, "kind", _lc_kind_names[r->kind],
                     "tier", r->tier, "team", r->team, "stream", r->stream,
                     "outcome", r->outcome != NULL ? r->outcome : "lost",
                     "attempts", r->attempts, "first_ms", first_ms, "total_ms",
                     total_ms, "ids", r->ids, "note", r->note));
    }
  return json_pack ("{s:i,s:i,s:o}", "seed", (int)c->desc.seed, "sent",
                    (int)c->next, "requests", list);
}
