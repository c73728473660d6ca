#include "sb.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

enum
{
  _SB_VM_NAME,
  _SB_REGION,
  _SB_DATA_CENTER,
  _SB_LISTEN_CALLERS,
  _SB_LISTEN_ADMIN,
  _SB_LISTEN_PEERS,
  _SB_STORE,
  _SB_VM_LIST,
  _SB_WEIGHTS,
  _SB_LOG_LEVEL,
  _SB_LOG_FORMAT,
  _SB_BODY,
  _SB_HEADER,
  _SB_OPEN_REQUESTS,
  _SB_CONNECTIONS,
  _SB_ANSWER_BUFFER,
  _SB_ANSWER_STORE,
  _SB_HEADER_TIMEOUT,
  _SB_KEYS
};

static const sk_key _sb_keys[_SB_KEYS] = {
  [_SB_VM_NAME] = { .name = "vm.name",
                    .type = SK_NAME,
                    .doc = "Name of this VM, unique in the VM list." },
  [_SB_REGION]
  = { .name = "vm.region", .type = SK_NAME, .doc = "Region of this VM." },
  [_SB_DATA_CENTER] = { .name = "vm.data_center",
                        .type = SK_NAME,
                        .doc = "Data centre of this VM." },
  [_SB_LISTEN_CALLERS] = { .name = "listen.callers",
                           .type = SK_ADDRESS,
                           .doc = "Address on which callers connect." },
  [_SB_LISTEN_ADMIN]
  = { .name = "listen.admin",
      .type = SK_ADDRESS,
      .default_text = "",
      .doc = "Address of the administration API; without it the API is off." },
  [_SB_LISTEN_PEERS]
  = { .name = "listen.peers",
      .type = SK_ADDRESS,
      .default_text = "",
      .doc
      = "Address on which other VMs connect; without it the VM runs alone." },
  [_SB_STORE] = { .name = "platform.store",
                  .type = SK_ADDRESS,
                  .min = 1,
                  .doc = "Address of the configuration store." },
  [_SB_VM_LIST] = { .name = "platform.vm_list",
                    .type = SK_ADDRESS,
                    .min = 1,
                    .doc = "Address of the VM list." },
  [_SB_WEIGHTS] = { .name = "platform.weights",
                    .type = SK_ADDRESS,
                    .min = 1,
                    .doc = "Address of the weight store." },
  [_SB_LOG_LEVEL] = { .name = "log.level",
                      .type = SK_CHOICE,
                      .choices = "debug info warning error",
                      .default_text = "info",
                      .doc = "Lowest log level that is written at start." },
  [_SB_LOG_FORMAT] = { .name = "log.format",
                       .type = SK_CHOICE,
                       .choices = "plain json",
                       .default_text = "plain",
                       .doc = "Format of log lines." },
  [_SB_BODY] = { .name = "limits.body",
                 .type = SK_INT,
                 .unit = SK_UNIT_BYTES,
                 .min = 1024,
                 .max = 268435456,
                 .default_text = "8388608",
                 .doc = "Largest request body." },
  [_SB_HEADER] = { .name = "limits.header",
                   .type = SK_INT,
                   .unit = SK_UNIT_BYTES,
                   .min = 1024,
                   .max = 1048576,
                   .default_text = "16384",
                   .doc = "Largest request header." },
  [_SB_OPEN_REQUESTS]
  = { .name = "limits.open_requests",
      .type = SK_INT,
      .min = 1,
      .max = 1000000,
      .default_text = "8192",
      .doc = "Requests that may be open at the same time." },
  [_SB_CONNECTIONS]
  = { .name = "limits.connections",
      .type = SK_INT,
      .min = 1,
      .max = 1000000,
      .default_text = "16384",
      .doc = "Callers' connections that may be open at the same time." },
  [_SB_ANSWER_BUFFER]
  = { .name = "limits.answer_buffer",
      .type = SK_INT,
      .unit = SK_UNIT_BYTES,
      .min = 1024,
      .max = 16777216,
      .default_text = "65536",
      .doc = "Response bytes buffered for a caller that reads slowly; beyond "
             "them its stream is paused." },
  [_SB_ANSWER_STORE]
  = { .name = "limits.answer_store",
      .type = SK_INT,
      .unit = SK_UNIT_BYTES,
      .min = 0,
      .max = 4294967296,
      .default_text = "67108864",
      .doc = "Memory for finished responses that are retained for replay." },
  [_SB_HEADER_TIMEOUT]
  = { .name = "limits.header_timeout",
      .type = SK_INT,
      .unit = SK_UNIT_MS,
      .min = 100,
      .max = 600000,
      .default_text = "10000",
      .doc = "Time for a caller to send its request header." },
};

/* Key table of the file, for validation and documentation.  */
const sk_key *
sb_query_keys (size_t *count)
{
  *count = _SB_KEYS;
  return _sb_keys;
}

/* Sets VALUES that ROOT lacks to their defaults; reports required keys that
   are missing or empty.  */
static void
_sb_apply_defaults (const sl_node *root, sk_value *values, sl_report *report)
{
  for (size_t i = 0; i < _SB_KEYS; i++)
    {
      const sk_key *key = &_sb_keys[i];
      bool empty
          = values[i].set && key->type == SK_NAME && values[i].text.len == 0;
      if (key->default_text == NULL && (!values[i].set || empty))
        {
          /* An invalid value has been reported already.  */
          char **parts = g_strsplit (key->name, ".", 2);
          const sl_node *section = sl_get (root, parts[0]);
          if (empty
              || (sl_get (section, parts[1]) == NULL
                  && sl_get (root, key->name) == NULL))
            sl_report_add (report, section != NULL ? section : root,
                           "\"%s\" is missing; add it (%s)", key->name,
                           key->doc);
          g_strfreev (parts);
        }
      else if (!values[i].set && key->default_text != NULL
               && key->default_text[0] != 0)
        sk_parse (key, st_from_cstr (key->default_text), &values[i], NULL);
    }
}

static void
_sb_read_token (const sl_node *item, sb_token *token, sl_report *report)
{
  const sl_node *text = sl_get (item, "token");
  const sl_node *scope = sl_get (item, "scope");
  static const char *const token_keys[] = { "token", "scope" };
  if (item->kind != SL_MAP)
    {
      sl_report_add (report, item,
                     "admin.tokens: an entry must be a "
                     "mapping; write \"- {token: ..., scope: root}\"");
      return;
    }
  for (size_t i = 0; i < item->count; i++)
    if (item->items[i] != text && item->items[i] != scope)
      {
        st_str name = item->names[i]->text;
        const char *near = sk_nearest (token_keys, 2, name);
        sl_report_add (report, item->names[i], "unknown key \"%.*s\"; %s%s",
                       ST_FMT (name),
                       near != NULL ? "did you mean "
                                    : "a token has the "
                                      "keys token and scope",
                       near != NULL ? near : "");
      }
  /* The token itself is never printed.  */
  if (text == NULL || text->kind != SL_SCALAR || text->text.len < SB_TOKEN_MIN
      || text->text.len > SB_TOKEN_MAX)
    sl_report_add (report, text != NULL ? text : item,
                   "admin.tokens: token must have %d to %d characters; write "
                   "a random one",
                   SB_TOKEN_MIN, SB_TOKEN_MAX);
  else
    {
      for (size_t i = 0; i < text->text.len; i++)
        if (!g_ascii_isgraph (text->text.ptr[i]))
          {
            sl_report_add (report, text,
                           "admin.tokens: token contains a "
                           "character that is not allowed in a header; use "
                           "letters and digits");
            break;
          }
      token->token = g_strndup (text->text.ptr, text->text.len);
      token->token_len = text->text.len;
    }
  if (scope != NULL && scope->kind == SL_SCALAR
      && st_equal_cstr (scope->text, "root"))
    token->root = true;
  else if (scope != NULL && scope->kind == SL_SCALAR
           && st_starts_with (scope->text, ST_LIT ("team:"))
           && sk_name_valid (st_slice (scope->text, 5, scope->text.len)))
    st_name_set (&token->team, st_slice (scope->text, 5, scope->text.len));
  else
    sl_report_add (report, scope != NULL ? scope : item,
                   "admin.tokens: scope is neither root nor team:NAME; write "
                   "for instance \"scope: team:night\"");
}

static void
_sb_read_tokens (const sl_node *root, sb_config *out, sl_report *report)
{
  const sl_node *admin = sl_get (root, "admin");
  if (admin == NULL)
    return;
  if (admin->kind != SL_MAP)
    {
      sl_report_add (report, admin,
                     "\"admin\" is a group of keys; write a "
                     "mapping below it");
      return;
    }
  for (size_t i = 0; i < admin->count; i++)
    if (!st_equal_cstr (admin->names[i]->text, "tokens"))
      sl_report_add (report, admin->names[i],
                     "unknown key \"admin.%.*s\"; did you mean "
                     "\"admin.tokens\"?",
                     ST_FMT (admin->names[i]->text));
  const sl_node *tokens = sl_get (admin, "tokens");
  if (tokens == NULL)
    return;
  if (tokens->kind != SL_LIST)
    {
      sl_report_add (report, tokens,
                     "admin.tokens: a list is expected; "
                     "write \"- {token: ..., scope: root}\" lines");
      return;
    }
  out->token_count = tokens->count;
  out->tokens = g_new0 (sb_token, tokens->count);
  for (size_t i = 0; i < tokens->count; i++)
    _sb_read_token (tokens->items[i], &out->tokens[i], report);
}

static bool
_sb_read (sb_config *out, const sl_doc *doc, sl_report *report)
{
  static const char *const other_names[] = { "admin", NULL };
  sk_value v[_SB_KEYS];
  const sl_node *root = sl_root (doc);
  sl_bind (root, _sb_keys, _SB_KEYS, other_names, v, report);
  _sb_apply_defaults (root, v, report);
  _sb_read_tokens (root, out, report);
  out->vm_name = v[_SB_VM_NAME].text;
  out->region = v[_SB_REGION].text;
  out->data_center = v[_SB_DATA_CENTER].text;
  out->listen_callers = v[_SB_LISTEN_CALLERS].text;
  out->listen_admin = v[_SB_LISTEN_ADMIN].text;
  out->listen_peers = v[_SB_LISTEN_PEERS].text;
  out->store = v[_SB_STORE].text;
  out->vm_list = v[_SB_VM_LIST].text;
  out->weights = v[_SB_WEIGHTS].text;
  const char *level = v[_SB_LOG_LEVEL].text.text;
  out->log_level = strcmp (level, "debug") == 0     ? LG_DEBUG
                   : strcmp (level, "warning") == 0 ? LG_WARNING
                   : strcmp (level, "error") == 0   ? LG_ERROR
                                                    : LG_INFO;
  out->log_json = strcmp (v[_SB_LOG_FORMAT].text.text, "json") == 0;
  out->limits.body_bytes = (uint64_t)v[_SB_BODY].number;
  out->limits.header_bytes = (uint64_t)v[_SB_HEADER].number;
  out->limits.open_requests = (uint64_t)v[_SB_OPEN_REQUESTS].number;
  out->limits.connections = (uint64_t)v[_SB_CONNECTIONS].number;
  out->limits.answer_buffer_bytes = (uint64_t)v[_SB_ANSWER_BUFFER].number;
  out->limits.answer_store_bytes = (uint64_t)v[_SB_ANSWER_STORE].number;
  out->limits.header_timeout_ms = (uint64_t)v[_SB_HEADER_TIMEOUT].number;
  return sl_report_count (report) == 0;
}

static bool
_sb_read_doc (sb_config *out, sl_doc *doc, sl_report *report)
{
  memset (out, 0, sizeof *out);
  if (doc == NULL)
    return false;
  bool ok = _sb_read (out, doc, report);
  sl_destroy (doc);
  if (!ok)
    sb_free (out);
  return ok;
}

/* Reads a configuration from TEXT.  False when problems were reported; OUT
   then owns nothing.  */
bool
sb_parse (sb_config *out, st_str text, sl_report *report)
{
  return _sb_read_doc (out, sl_parse (text, report), report);
}

/* Reads the file PATH and adds all problems to REPORT.  */
bool
sb_load_report (sb_config *out, const char *path, sl_report *report)
{
  return _sb_read_doc (out, sl_load (path, report), report);
}

/* Reads the file PATH.  On false ERR lists the problems, one per line, as many
   as fit, and OUT owns nothing.  */
bool
sb_load (sb_config *out, const char *path, er_error *err)
{
  sl_report *report = sl_report_make (path);
  bool ok = sb_load_report (out, path, report);
  if (!ok)
    sl_report_error (report, err);
  sl_report_destroy (report);
  return ok;
}

/* Frees the memory of CONFIG and overwrites its tokens with zeros.  */
void
sb_free (sb_config *config)
{
  for (size_t i = 0; i < config->token_count; i++)
    if (config->tokens[i].token != NULL)
      {
        sodium_memzero (config->tokens[i].token, config->tokens[i].token_len);
        g_free (config->tokens[i].token);
      }
  g_free (config->tokens);
  memset (config, 0, sizeof *config);
}
