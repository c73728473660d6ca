#include "aa.h"

#include "hx.h"

#include "lg.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>

#define _AA_BODY_MAX_BYTES (1024 * 1024)
#define _AA_HEADER_MAX_BYTES (16 * 1024)
#define _AA_WAITING_MAX 256
#define _AA_WATCH_MS 20000
#define _AA_IDLE_TIMEOUT_S 60
#define _AA_DIGEST_BYTES 32
#define _AA_WHO_MAX_BYTES 64

/* Scope of the caller, from its token.  */
typedef struct
{
  bool root;
  st_name team;
} _aa_scope;

typedef struct
{
  unsigned char digest[_AA_DIGEST_BYTES];
  _aa_scope scope;
} _aa_token;

/* A request whose response is sent later.  */
typedef struct
{
  aa_api *aa;
  struct evhttp_request *req;
  uint64_t ticket; /* of a change or of the history; 0: a watch */
  bool change;
  _aa_scope scope;
  uint64_t after; /* of a watch */
  struct event *timer;
} _aa_waiting;

struct aa_api
{
  aa_desc desc;
  struct evhttp *http;
  uint16_t port;
  unsigned char key[crypto_generichash_KEYBYTES];
  _aa_token *tokens;
  GPtrArray *waiting;
  uint64_t next_ticket;
};

/* One call while it is handled.  */
typedef struct
{
  aa_api *aa;
  struct evhttp_request *req;
  _aa_scope scope;
  const char *path; /* after "/admin/" */
  struct evkeyvalq query;
} _aa_call;

/* Sends BODY, which is consumed, as the response to REQ.  */
static void
_aa_reply (aa_api *aa, struct evhttp_request *req, int status, json_t *body)
{
  struct evbuffer *out = evbuffer_new ();
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  char *text = json_dumps (body, JSON_COMPACT | JSON_SORT_KEYS);
  evhttp_add_header (headers, "Content-Type", "application/json");
  evhttp_add_header (headers, "Cache-Control", "no-store");
  if (status == 401)
    evhttp_add_header (headers, "WWW-Authenticate", "Bearer");
  if (status == 503 || status == 429)
    evhttp_add_header (headers, "Retry-After", "1");
  evbuffer_add_printf (out, "%s\n", text != NULL ? text : "{}");
  hx_track (aa->desc.unsent, req);
  evhttp_send_reply (req, status, hx_reason_of (status), out);
  evbuffer_free (out);
  free (text);
  json_decref (body);
}

/* A JSON string of TEXT in which bytes that are not UTF-8 are replaced.  */
static json_t *
_aa_text (const char *text)
{
  char *valid = g_utf8_make_valid (text, -1);
  json_t *out = json_string (valid);
  g_free (valid);
  return out;
}

static void
_aa_reply_error (aa_api *aa, struct evhttp_request *req, int status,
                 const char *kind, const char *message, json_t *more)
{
  json_t *error
      = json_pack ("{s:s,s:o}", "kind", kind, "message", _aa_text (message));
  if (more != NULL)
    json_object_update (error, more);
  json_decref (more);
  _aa_reply (aa, req, status, json_pack ("{s:o}", "error", error));
}

static void
_aa_reply_er (aa_api *aa, struct evhttp_request *req, const er_error *err)
{
  _aa_reply_error (aa, req, hx_status_of (err->kind), er_kind_name (err->kind),
                   err->message, NULL);
}

/* --- tokens ----------------------------------------------------------- */

static void
_aa_digest (const aa_api *aa, const char *token, size_t len,
            unsigned char out[_AA_DIGEST_BYTES])
{
  crypto_generichash (out, _AA_DIGEST_BYTES, (const unsigned char *)token, len,
                      aa->key, sizeof aa->key);
}

/* Finds the scope of the token in REQ.  The time does not depend on which
   token matches or on the length of a partial match.  */
static bool
_aa_authenticate (const aa_api *aa, struct evhttp_request *req,
                  _aa_scope *scope)
{
  static const char scheme[] = "Bearer ";
  const char *header = evhttp_find_header (
      evhttp_request_get_input_headers (req), "Authorization");
  unsigned char digest[_AA_DIGEST_BYTES];
  bool found = false;
  if (header == NULL
      || g_ascii_strncasecmp (header, scheme, sizeof scheme - 1) != 0)
    return false;
  const char *token = header + sizeof scheme - 1;
  _aa_digest (aa, token, strlen (token), digest);
  for (size_t i = 0; i < aa->desc.token_count; i++)
    if (sodium_memcmp (digest, aa->tokens[i].digest, sizeof digest) == 0)
      {
        *scope = aa->tokens[i].scope;
        found = true;
      }
  return found;
}

/* True when the caller may see the level or subtree at PATH.  */
static bool
_aa_may_read (const _aa_scope *scope, const char *path)
{
  sx_path parsed;
  if (scope->root)
    return true;
  return sx_path_parse (st_from_cstr (path), &parsed, NULL)
         && (parsed.team.len == 0
             || st_equal (st_name_str (&parsed.team),
                          st_name_str (&scope->team)));
}

static bool
_aa_may_change (const _aa_scope *scope, const sx_path *path)
{
  return scope->root
         || st_equal (st_name_str (&path->team), st_name_str (&scope->team));
}

static bool
_aa_require_root (const _aa_call *call)
{
  if (call->scope.root)
    return true;
  er_error err = { 0 };
  er_set (&err, ER_DENIED,
          "the token's scope is team:%s; use a token of "
          "scope root",
          call->scope.team.text);
  _aa_reply_er (call->aa, call->req, &err);
  return false;
}

/* --- delayed responses ------------------------------------------------ */

static void
_aa_free_waiting (_aa_waiting *w)
{
  if (w->timer != NULL)
    event_free (w->timer);
  g_ptr_array_remove_fast (w->aa->waiting, w);
  g_free (w);
}

static _aa_waiting *
_aa_wait (const _aa_call *call)
{
  aa_api *aa = call->aa;
  if (aa->waiting->len >= aa->desc.max_waiting)
    {
      er_error err = { 0 };
      er_set (&err, ER_LIMIT,
              "%u calls are waiting already; try again in a "
              "second",
              aa->waiting->len);
      _aa_reply_er (call->aa, call->req, &err);
      return NULL;
    }
  _aa_waiting *w = g_new0 (_aa_waiting, 1);
  w->aa = aa;
  w->req = call->req;
  w->scope = call->scope;
  g_ptr_array_add (aa->waiting, w);
  return w;
}

/* The call that waits with TICKET; NULL when it was finished.  */
static _aa_waiting *
_aa_find_waiting (const aa_api *aa, uint64_t ticket)
{
  for (guint i = 0; ticket != 0 && i < aa->waiting->len; i++)
    if (((_aa_waiting *)aa->waiting->pdata[i])->ticket == ticket)
      return aa->waiting->pdata[i];
  return NULL;
}

/* Sends the response to the change of TICKET.  */
void
aa_finish_change (aa_api *aa, uint64_t ticket, const aa_result *result)
{
  _aa_waiting *w = _aa_find_waiting (aa, ticket);
  if (w == NULL)
    return;
  struct evhttp_request *req = w->req;
  _aa_free_waiting (w);
  json_t *more
      = json_pack ("{s:I,s:s}", "version", (json_int_t)result->version, "id",
                   result->id != NULL ? result->id : "");
  if (result->err.kind == ER_OK)
    {
      _aa_reply (aa, req, 200, more);
      return;
    }
  if (result->changed != NULL)
    json_object_set (more, "changed", result->changed);
  _aa_reply_error (aa, req, hx_status_of (result->err.kind),
                   er_kind_name (result->err.kind), result->err.message, more);
}

static void
_aa_finish_watch (_aa_waiting *w, uint64_t version)
{
  aa_api *aa = w->aa;
  struct evhttp_request *req = w->req;
  _aa_free_waiting (w);
  _aa_reply (aa, req, 200,
             json_pack ("{s:I}", "version", (json_int_t)version));
}

static void
_aa_on_watch_timer (evutil_socket_t fd, short what, void *arg)
{
  _aa_waiting *w = arg;
  uint64_t version = 0;
  (void)fd;
  (void)what;
  w->aa->desc.core.query_settings (w->aa->desc.core.user, &version);
  _aa_finish_watch (w, version);
}

/* VERSION was applied: finishes the watches that wait for it.  */
void
aa_on_version (aa_api *aa, uint64_t version)
{
  for (guint i = aa->waiting->len; i-- > 0;)
    {
      _aa_waiting *w = aa->waiting->pdata[i];
      if (w->ticket == 0 && version > w->after)
        _aa_finish_watch (w, version);
    }
}

/* --- calls ------------------------------------------------------------ */

static const char *
_aa_argument (const _aa_call *call, const char *name)
{
  const char *value = evhttp_find_header (&call->query, name);
  return value != NULL ? value : "";
}

static bool
_aa_number (const _aa_call *call, const char *name, uint64_t default_value,
            uint64_t *out)
{
  const char *text = _aa_argument (call, name);
  er_error err = { 0 };
  *out = default_value;
  if (text[0] == 0 || st_parse_u64 (st_from_cstr (text), out))
    return true;
  er_set (&err, ER_INVALID, "%s is not a number; write decimal digits", name);
  _aa_reply_er (call->aa, call->req, &err);
  return false;
}

static const sx_tree *
_aa_settings (const _aa_call *call, uint64_t *version)
{
  const aa_core *core = &call->aa->desc.core;
  return core->query_settings (core->user, version);
}

static bool
_aa_explain_one (const _aa_call *call, const sx_tree *tree, const char *path,
                 const char *key, json_t **out, er_error *err)
{
  char value[SK_TEXT_MAX];
  char level[SX_PATH_MAX];
  sx_path parsed;
  if (!sx_path_parse (st_from_cstr (path), &parsed, err))
    return false;
  if (!_aa_may_read (&call->scope, path))
    return er_set (err, ER_DENIED,
                   "the token's scope is team:%s; ask for a "
                   "path of this team",
                   call->scope.team.text);
  if (!sx_explain (tree, st_from_cstr (path), st_from_cstr (key), value, level,
                   err))
    return false;
  *out = json_pack ("{s:s,s:s,s:s,s:s}", "path", path[0] != 0 ? path : "root",
                    "key", key, "value", value, "level", level);
  return true;
}

/* GET /admin/settings[/PATH]; the last segment of PATH may be a key.  */
static void
_aa_handle_settings (_aa_call *call)
{
  uint64_t version = 0;
  const sx_tree *tree = _aa_settings (call, &version);
  const char *path = call->path + strlen ("settings");
  er_error err = { 0 };
  sx_path parsed;
  path += *path == '/';
  const char *slash = strrchr (path, '/');
  const char *last = slash != NULL ? slash + 1 : path;
  sx_key id;
  if (sx_find_key (st_from_cstr (last), &id, NULL))
    {
      char *head = g_strndup (path, slash != NULL ? (gsize)(slash - path) : 0);
      json_t *one = NULL;
      if (_aa_explain_one (call, tree, head, last, &one, &err))
        {
          json_object_set_new (one, "version",
                               json_integer ((json_int_t)version));
          _aa_reply (call->aa, call->req, 200, one);
        }
      else
        _aa_reply_er (call->aa, call->req, &err);
      g_free (head);
      return;
    }
  if (!sx_path_parse (st_from_cstr (path), &parsed, &err)
      || (!_aa_may_read (&call->scope, path)
          && !er_set (&err, ER_DENIED,
                      "the token's scope is team:%s; ask "
                      "for a path of this team",
                      call->scope.team.text)))
    {
      _aa_reply_er (call->aa, call->req, &err);
      return;
    }
  json_t *all = sx_to_json (tree, path);
  json_t *out = json_object ();
  const char *name;
  json_t *level;
  json_object_foreach (all, name, level) if (_aa_may_read (&call->scope, name))
      json_object_set (out, name, level);
  json_decref (all);
  _aa_reply (call->aa, call->req, 200,
             json_pack ("{s:I,s:o}", "version", (json_int_t)version,
                        "settings", out));
}

/* GET /admin/explain?path=&key=; without key: all keys.  */
static void
_aa_handle_explain (_aa_call *call)
{
  uint64_t version = 0;
  const sx_tree *tree = _aa_settings (call, &version);
  const char *path = _aa_argument (call, "path");
  const char *key = _aa_argument (call, "key");
  json_t *list = json_array ();
  er_error err = { 0 };
  bool ok = true;
  for (unsigned i = 0; i < SX_KEYS && ok; i++)
    {
      const char *name = key[0] != 0 ? key : sx_query_keys ()[i].name;
      json_t *one = NULL;
      ok = _aa_explain_one (call, tree, path, name, &one, &err);
      if (ok)
        json_array_append_new (list, one);
      if (key[0] != 0)
        break;
    }
  if (!ok)
    {
      json_decref (list);
      _aa_reply_er (call->aa, call->req, &err);
      return;
    }
  _aa_reply (
      call->aa, call->req, 200,
      json_pack ("{s:I,s:o}", "version", (json_int_t)version, "values", list));
}

/* Reads the body as a JSON object.  NULL when an error response was sent.  */
static json_t *
_aa_read_body (_aa_call *call)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (call->req);
  size_t len = evbuffer_get_length (in);
  er_error err = { 0 };
  json_error_t json_err;
  if (len > call->aa->desc.max_body_bytes)
    {
      er_set (&err, ER_TOO_LARGE,
              "the body has %zu bytes; the limit is %zu, "
              "split the change",
              len, call->aa->desc.max_body_bytes);
      _aa_reply_er (call->aa, call->req, &err);
      return NULL;
    }
  const char *text = len > 0 ? (const char *)evbuffer_pullup (in, -1) : "";
  json_t *body = json_loadb (text, len, JSON_REJECT_DUPLICATES, &json_err);
  if (body == NULL || !json_is_object (body))
    {
      er_set (&err, ER_INVALID,
              "the body is not a JSON object: line %d "
              "column %d: %s; send {\"name\": value}",
              json_err.line, json_err.column,
              body == NULL ? json_err.text : "another type");
      json_decref (body);
      _aa_reply_er (call->aa, call->req, &err);
      return NULL;
    }
  return body;
}

/* Refuses members of BODY that are not among NAMES.  */
static bool
_aa_validate_members (const json_t *body, const char *const *names,
                      size_t count, er_error *err)
{
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *)body, name, value)
  {
    bool known = false;
    for (size_t i = 0; i < count; i++)
      known = known || strcmp (names[i], name) == 0;
    if (!known)
      {
        const char *nearest = sk_nearest (names, count, st_from_cstr (name));
        return er_set (
            err, ER_INVALID, "unknown member \"%.64s\" in the body; %s%s%s",
            name, nearest != NULL ? "did you mean \"" : "remove it",
            nearest != NULL ? nearest : "", nearest != NULL ? "\"?" : "");
      }
  }
  return true;
}

static bool
_aa_read_edit (const _aa_call *call, const json_t *json, size_t index,
               sx_edit *out, er_error *err)
{
  static const char *const names[] = { "path", "key", "value" };
  if (!json_is_object (json))
    return er_set (err, ER_INVALID,
                   "edits[%zu] is not an object; write "
                   "{\"path\", \"key\", \"value\"}",
                   index);
  if (!_aa_validate_members (json, names, 3, err))
    return false;
  const json_t *path = json_object_get (json, "path");
  const json_t *key = json_object_get (json, "key");
  const json_t *value = json_object_get (json, "value");
  if (!json_is_string (path) || !json_is_string (key)
      || !(json_is_string (value) || json_is_null (value)))
    return er_set (err, ER_INVALID,
                   "edits[%zu] needs the strings path and "
                   "key, and value as a string or null (remove)",
                   index);
  sx_path parsed;
  if (!sx_path_parse (st_from_cstr (json_string_value (path)), &parsed, err))
    return false;
  if (!_aa_may_change (&call->scope, &parsed))
    return er_set (err, ER_DENIED,
                   "the token's scope is team:%s, which does "
                   "not include \"%s\"; use a token of scope root",
                   call->scope.team.text, json_string_value (path));
  out->path = json_string_value (path);
  out->key = json_string_value (key);
  out->value = json_is_string (value) ? json_string_value (value) : NULL;
  return true;
}

/* Responds with the effect that the change would have.  */
static void
_aa_dry_run (const _aa_call *call, const sx_edit *edits, size_t count)
{
  uint64_t version = 0;
  er_error err = { 0 };
  const sx_tree *tree = _aa_settings (call, &version);
  sx_tree *next = sx_apply (tree, edits, count, &err);
  if (next == NULL)
    {
      _aa_reply_er (call->aa, call->req, &err);
      return;
    }
  sx_changes diff = sx_diff (tree, next);
  json_t *list = json_array ();
  for (size_t i = 0; i < diff.count; i++)
    json_array_append_new (
        list, json_pack ("{s:s,s:s,s:s?,s:s?}", "path", diff.items[i].path,
                         "key", diff.items[i].key, "before",
                         diff.items[i].before, "after", diff.items[i].after));
  sx_changes_free (&diff);
  sx_unref (next);
  _aa_reply (call->aa, call->req, 200,
             json_pack ("{s:I,s:b,s:o}", "version", (json_int_t)version,
                        "dry_run", 1, "changes", list));
}

static void
_aa_submit (_aa_call *call, uint64_t base_version, const sx_edit *edits,
            size_t count)
{
  aa_api *aa = call->aa;
  char who[_AA_WHO_MAX_BYTES];
  const char *name = evhttp_find_header (
      evhttp_request_get_input_headers (call->req), "Dotterelbend-Operator");
  bool named = name != NULL && sk_name_valid (st_from_cstr (name));
  _aa_waiting *w = _aa_wait (call);
  if (w == NULL)
    return;
  g_snprintf (who, sizeof who, "%s%s%s%.20s",
              call->scope.root ? "root" : "team:", call->scope.team.text,
              named ? "/" : "", named ? name : "");
  w->ticket = ++aa->next_ticket;
  w->change = true;
  aa_change change = { base_version, edits, count, who };
  aa->desc.core.submit (aa->desc.core.user, w->ticket, &change);
}

/* POST /admin/changes {base_version, edits, dry_run}.  */
static void
_aa_handle_changes (_aa_call *call)
{
  static const char *const names[] = { "base_version", "edits", "dry_run" };
  er_error err = { 0 };
  json_t *body = _aa_read_body (call);
  sx_edit *edits = NULL;
  if (body == NULL)
    return;
  const json_t *base = json_object_get (body, "base_version");
  const json_t *list = json_object_get (body, "edits");
  size_t count = json_array_size (list);
  if (!_aa_validate_members (body, names, 3, &err))
    goto refuse;
  if (!json_is_integer (base) || json_integer_value (base) < 0)
    {
      er_set (&err, ER_INVALID,
              "base_version is missing; send the version "
              "that the change is based on (GET /admin/settings)");
      goto refuse;
    }
  if (count == 0 || count > AA_EDITS_MAX)
    {
      er_set (&err, count == 0 ? ER_INVALID : ER_TOO_LARGE,
              "edits has %zu entries; send an array of 1 to %d", count,
              AA_EDITS_MAX);
      goto refuse;
    }
  edits = g_new0 (sx_edit, count);
  for (size_t i = 0; i < count; i++)
    if (!_aa_read_edit (call, json_array_get (list, i), i, &edits[i], &err))
      goto refuse;
  if (json_is_true (json_object_get (body, "dry_run")))
    _aa_dry_run (call, edits, count);
  else
    _aa_submit (call, (uint64_t)json_integer_value (base), edits, count);
  g_free (edits);
  json_decref (body);
  return;
refuse:
  _aa_reply_er (call->aa, call->req, &err);
  g_free (edits);
  json_decref (body);
}

/* GET /admin/watch?after=V&wait_ms=N: responds once a version above V is in
   force on this VM, or after N milliseconds.  */
static void
_aa_handle_watch (_aa_call *call)
{
  uint64_t version = 0;
  uint64_t after;
  uint64_t wait_ms;
  _aa_settings (call, &version);
  if (!_aa_number (call, "after", version, &after)
      || !_aa_number (call, "wait_ms", call->aa->desc.watch_ms, &wait_ms))
    return;
  wait_ms = MIN (wait_ms, call->aa->desc.watch_ms);
  if (version > after)
    {
      _aa_reply (call->aa, call->req, 200,
                 json_pack ("{s:I}", "version", (json_int_t)version));
      return;
    }
  _aa_waiting *w = _aa_wait (call);
  if (w == NULL)
    return;
  struct timeval tv
      = { (time_t)(wait_ms / 1000), (suseconds_t)(wait_ms % 1000 * 1000) };
  w->after = after;
  w->timer = evtimer_new (call->aa->desc.base, _aa_on_watch_timer, w);
  evtimer_add (w->timer, &tv);
}

/* GET /admin/history.  */
static void
_aa_handle_history (_aa_call *call)
{
  aa_api *aa = call->aa;
  _aa_waiting *w = _aa_wait (call);
  if (w == NULL)
    return;
  w->ticket = ++aa->next_ticket;
  aa->desc.core.query_history (aa->desc.core.user, w->ticket);
}

/* Sends the response to the history call of TICKET: HISTORY, newest last, or
   ERR when HISTORY is NULL.  */
void
aa_finish_history (aa_api *aa, uint64_t ticket, const json_t *history,
                   const er_error *err)
{
  _aa_waiting *w = _aa_find_waiting (aa, ticket);
  if (w == NULL)
    return;
  struct evhttp_request *req = w->req;
  _aa_scope scope = w->scope;
  _aa_free_waiting (w);
  if (history == NULL)
    {
      _aa_reply_er (aa, req, err);
      return;
    }
  json_t *out = json_array ();
  size_t i;
  json_t *item;
  json_array_foreach ((json_t *)history, i, item)
  {
    const char *subtree
        = json_string_value (json_object_get (item, "subtree"));
    if (_aa_may_read (&scope, subtree != NULL ? subtree : "root"))
      json_array_append (out, item);
  }
  _aa_reply (aa, req, 200, json_pack ("{s:o}", "history", out));
}

/* GET /admin/moves.  */
static void
_aa_handle_operations (_aa_call *call)
{
  const aa_core *core = &call->aa->desc.core;
  _aa_reply (
      call->aa, call->req, 200,
      json_pack ("{s:o}", "moves", core->query_operations (core->user)));
}

/* GET /admin/members.  */
static void
_aa_handle_members (_aa_call *call)
{
  const aa_core *core = &call->aa->desc.core;
  _aa_reply (call->aa, call->req, 200,
             json_pack ("{s:o}", "members", core->query_members (core->user)));
}

/* POST /admin/log-level {level}: sets the level on this VM, until its restart
   or a change of the setting log.level.  */
static void
_aa_handle_log_level (_aa_call *call)
{
  static const char *const names[] = { "level" };
  er_error err = { 0 };
  if (!_aa_require_root (call))
    return;
  json_t *body = _aa_read_body (call);
  if (body == NULL)
    return;
  const char *level = json_string_value (json_object_get (body, "level"));
  if (!_aa_validate_members (body, names, 1, &err))
    _aa_reply_er (call->aa, call->req, &err);
  else if (level == NULL || !lg_set_level (level))
    {
      er_set (&err, ER_INVALID,
              "level is not one of debug, info, warning, "
              "error; send {\"level\": \"info\"}");
      _aa_reply_er (call->aa, call->req, &err);
    }
  else
    {
      lg_log (LG_INFO, "", "log level set to %s by an operator", level);
      _aa_reply (call->aa, call->req, 200,
                 json_pack ("{s:s}", "level", level));
    }
  json_decref (body);
}

/* POST /admin/drain.  */
static void
_aa_handle_drain (_aa_call *call)
{
  const aa_core *core = &call->aa->desc.core;
  er_error err = { 0 };
  if (!_aa_require_root (call))
    return;
  if (core->begin_drain (core->user, &err))
    _aa_reply (call->aa, call->req, 202,
               json_pack ("{s:s}", "state", "leaving"));
  else
    _aa_reply_er (call->aa, call->req, &err);
}

typedef enum
{
  _AA_SETTINGS,
  _AA_CHANGES,
  _AA_EXPLAIN,
  _AA_HISTORY,
  _AA_WATCH_CALL,
  _AA_OPERATIONS,
  _AA_MEMBERS,
  _AA_LOG_LEVEL,
  _AA_DRAIN,
  _AA_CALLS
} _aa_kind;

static const struct
{
  const char *name;
  bool post;
} _aa_calls[_AA_CALLS] = {
  [_AA_SETTINGS] = { "settings", false },
  [_AA_CHANGES] = { "changes", true },
  [_AA_EXPLAIN] = { "explain", false },
  [_AA_HISTORY] = { "history", false },
  [_AA_WATCH_CALL] = { "watch", false },
  [_AA_OPERATIONS] = { "moves", false },
  [_AA_MEMBERS] = { "members", false },
  [_AA_LOG_LEVEL] = { "log-level", true },
  [_AA_DRAIN] = { "drain", true },
};

static bool
_aa_find_call (const char *path, _aa_kind *out)
{
  for (unsigned i = 0; i < _AA_CALLS; i++)
    if (strcmp (path, _aa_calls[i].name) == 0)
      {
        *out = (_aa_kind)i;
        return true;
      }
  *out = _AA_SETTINGS;
  return g_str_has_prefix (path, "settings/");
}

static void
_aa_dispatch (_aa_call *call, _aa_kind kind)
{
  switch (kind)
    {
    case _AA_SETTINGS:
      _aa_handle_settings (call);
      break;
    case _AA_CHANGES:
      _aa_handle_changes (call);
      break;
    case _AA_EXPLAIN:
      _aa_handle_explain (call);
      break;
    case _AA_HISTORY:
      _aa_handle_history (call);
      break;
    case _AA_WATCH_CALL:
      _aa_handle_watch (call);
      break;
    case _AA_OPERATIONS:
      _aa_handle_operations (call);
      break;
    case _AA_MEMBERS:
      _aa_handle_members (call);
      break;
    case _AA_LOG_LEVEL:
      _aa_handle_log_level (call);
      break;
    case _AA_DRAIN:
      _aa_handle_drain (call);
      break;
    case _AA_CALLS:
      break;
    }
}

static void
_aa_on_request (struct evhttp_request *req, void *arg)
{
  static const char prefix[] = "/admin/";
  _aa_call call = { .aa = arg, .req = req };
  _aa_kind kind;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (req);
  const char *raw = uri != NULL ? evhttp_uri_get_path (uri) : NULL;
  const char *query = uri != NULL ? evhttp_uri_get_query (uri) : NULL;
  enum evhttp_cmd_type method = evhttp_request_get_command (req);
  /* The token is checked first, so that a caller without one gets no other
     information.  */
  if (!_aa_authenticate (arg, req, &call.scope))
    {
      _aa_reply_error (call.aa, req, 401, er_kind_name (ER_DENIED),
                       call.aa->desc.token_count > 0
                           ? "the bearer token is missing or unknown; send "
                             "Authorization: Bearer TOKEN"
                           : "no tokens are configured; add admin.tokens to "
                             "the VM's configuration",
                       NULL);
      return;
    }
  char *path = evhttp_uridecode (raw != NULL ? raw : "", 0, NULL);
  if (path == NULL || !g_str_has_prefix (path, prefix)
      || !_aa_find_call (path + sizeof prefix - 1, &kind))
    _aa_reply_error (call.aa, req, 404, er_kind_name (ER_NOT_FOUND),
                     "unknown path; the calls are /admin/settings, changes, "
                     "explain, history, watch, moves, members, log-level, "
                     "drain",
                     NULL);
  else if (method != (_aa_calls[kind].post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET))
    _aa_reply_error (call.aa, req, 405, er_kind_name (ER_UNSUPPORTED),
                     _aa_calls[kind].post ? "use POST for this call"
                                          : "use GET for this call",
                     NULL);
  else if (evhttp_parse_query_str (query != NULL ? query : "", &call.query)
           < 0)
    _aa_reply_error (call.aa, req, 400, er_kind_name (ER_INVALID),
                     "the query is malformed; write ?name=value&name=value",
                     NULL);
  else
    {
      call.path = path + sizeof prefix - 1;
      _aa_dispatch (&call, kind);
      evhttp_clear_headers (&call.query);
    }
  free (path);
}

/* --- lifetime --------------------------------------------------------- */

static uint16_t
_aa_port_of (evutil_socket_t fd)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in in;
    struct sockaddr_in6 in6;
  } address;
  socklen_t size = sizeof address;
  memset (&address, 0, sizeof address);
  if (getsockname (fd, &address.any, &size) != 0)
    return 0;
  return address.any.sa_family == AF_INET6 ? ntohs (address.in6.sin6_port)
                                           : ntohs (address.in.sin_port);
}

static bool
_aa_listen (aa_api *aa, er_error *err)
{
  st_name host;
  uint16_t port;
  if (!sk_address_split (st_from_cstr (aa->desc.listen), &host, &port))
    return er_set (err, ER_INVALID, "listen.admin '%s' is not IP:PORT",
                   aa->desc.listen);
  aa->http = evhttp_new (aa->desc.base);
  evhttp_set_allowed_methods (aa->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                            | EVHTTP_REQ_PUT
                                            | EVHTTP_REQ_DELETE);
  evhttp_set_max_headers_size (aa->http, _AA_HEADER_MAX_BYTES);
  /* Above the limit, so that a body that is a little too long gets a JSON
     error response; evhttp itself rejects a longer one.  */
  evhttp_set_max_body_size (aa->http,
                            (ev_ssize_t)(4 * aa->desc.max_body_bytes));
  evhttp_set_timeout (aa->http, _AA_IDLE_TIMEOUT_S);
  evhttp_set_gencb (aa->http, _aa_on_request, aa);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (aa->http, host.text, port);
  if (bound == NULL)
    return er_set (err, ER_UNAVAILABLE,
                   "listen.admin %s cannot be opened: "
                   "%s; choose a free port",
                   aa->desc.listen, g_strerror (errno));
  aa->port = _aa_port_of (evhttp_bound_socket_get_fd (bound));
  return true;
}

/* Opens the listener.  NULL, with ERR set, when that fails.  The tokens are
   not needed after the call.  */
aa_api *
aa_make (const aa_desc *desc, er_error *err)
{
  aa_api *aa = g_new0 (aa_api, 1);
  aa->desc = *desc;
  if (aa->desc.max_body_bytes == 0)
    aa->desc.max_body_bytes = _AA_BODY_MAX_BYTES;
  if (aa->desc.max_waiting == 0)
    aa->desc.max_waiting = _AA_WAITING_MAX;
  if (aa->desc.watch_ms == 0)
    aa->desc.watch_ms = _AA_WATCH_MS;
  aa->waiting = g_ptr_array_new ();
  randombytes_buf (aa->key, sizeof aa->key);
  aa->tokens = g_new0 (_aa_token, desc->token_count);
  for (size_t i = 0; i < desc->token_count; i++)
    {
      const sb_token *t = &desc->tokens[i];
      _aa_digest (aa, t->token, t->token_len, aa->tokens[i].digest);
      aa->tokens[i].scope = (_aa_scope){ t->root, t->team };
    }
  aa->desc.tokens = NULL;
  if (_aa_listen (aa, err))
    return aa;
  aa_destroy (aa);
  return NULL;
}

/* Closes the listener.  Waiting changes get a time-out error, other waiting
   calls an unavailable error.  */
void
aa_destroy (aa_api *aa)
{
  if (aa == NULL)
    return;
  for (guint i = aa->waiting->len; i-- > 0;)
    {
      _aa_waiting *w = aa->waiting->pdata[i];
      struct evhttp_request *req = w->req;
      bool change = w->change;
      _aa_free_waiting (w);
      _aa_reply_error (aa, req, change ? 504 : 503,
                       er_kind_name (change ? ER_TIMEOUT : ER_UNAVAILABLE),
                       change ? "the VM is shutting down; see the history for "
                                "whether the change was accepted"
                              : "the VM is shutting down; use another VM",
                       NULL);
    }
  g_ptr_array_unref (aa->waiting);
  if (aa->http != NULL)
    evhttp_free (aa->http);
  sodium_memzero (aa->key, sizeof aa->key);
  g_free (aa->tokens);
  g_free (aa);
}

/* Port of the listener.  */
uint16_t
aa_query_port (const aa_api *aa)
{
  return aa->port;
}
