#include "ct.h"

#include "sb.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>
#include <string.h>

#define _CT_TIMEOUT_S 30
#define _CT_RESPONSE_MAX_BYTES (16 * 1024 * 1024)
/* The server's limit of subtrees in one change.  */
#define _CT_SUBTREES_MAX 8
#define _CT_EDITS_MAX 1000

typedef struct
{
  struct event_base *base;
  bool has_response;
  ct_response *out;
} _ct_pending;

static void
_ct_on_response (struct evhttp_request *req, void *arg)
{
  _ct_pending *pending = arg;
  if (req != NULL && evhttp_request_get_response_code (req) != 0)
    {
      struct evbuffer *in = evhttp_request_get_input_buffer (req);
      size_t len = evbuffer_get_length (in);
      pending->has_response = true;
      pending->out->status = evhttp_request_get_response_code (req);
      pending->out->body
          = len > 0 ? json_loadb ((const char *)evbuffer_pullup (in, -1), len,
                                  0, NULL)
                    : NULL;
    }
  event_base_loopbreak (pending->base);
}

static struct evhttp_request *
_ct_make_request (const ct_client *client, const json_t *body,
                  _ct_pending *pending)
{
  struct evhttp_request *req = evhttp_request_new (_ct_on_response, pending);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  char *bearer = g_strdup_printf ("Bearer %s", client->token);
  evhttp_add_header (headers, "Host", client->address);
  evhttp_add_header (headers, "Connection", "close");
  evhttp_add_header (headers, "Authorization", bearer);
  if (client->operator_name != NULL)
    evhttp_add_header (headers, "Dotterelbend-Operator",
                       client->operator_name);
  sodium_memzero (bearer, strlen (bearer));
  g_free (bearer);
  if (body != NULL)
    {
      char *text = json_dumps (body, JSON_COMPACT);
      evbuffer_add (evhttp_request_get_output_buffer (req), text,
                    strlen (text));
      free (text);
    }
  return req;
}

/* Calls the API.  METHOD is GET or POST.  False with ER_UNAVAILABLE when a GET
   gets no response, with ER_TIMEOUT when a POST gets none and may have taken
   effect.  */
bool
ct_call (const ct_client *client, const char *method, const char *path,
         const json_t *body, ct_response *out, er_error *err)
{
  st_name host;
  uint16_t port;
  bool post = strcmp (method, "POST") == 0;
  *out = (ct_response){ 0, NULL };
  if (!sk_address_split (st_from_cstr (client->address), &host, &port)
      || port == 0)
    return er_set (err, ER_INVALID,
                   "\"%s\" is not an address; write "
                   "IP:PORT, for instance 127.0.0.1:7001",
                   client->address);
  struct event_base *base = event_base_new ();
  struct evhttp_connection *evcon
      = evhttp_connection_base_new (base, NULL, host.text, port);
  _ct_pending pending = { base, false, out };
  evhttp_connection_set_timeout (
      evcon, client->timeout_s > 0 ? (int)client->timeout_s : _CT_TIMEOUT_S);
  evhttp_connection_set_max_body_size (evcon, _CT_RESPONSE_MAX_BYTES);
  struct evhttp_request *req = _ct_make_request (client, body, &pending);
  if (evhttp_make_request (evcon, req, post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                           path)
      == 0)
    event_base_dispatch (base);
  evhttp_connection_free (evcon);
  event_base_free (base);
  if (pending.has_response)
    return true;
  if (post)
    return er_set (err, ER_TIMEOUT,
                   "no response from %s; if the VM "
                   "received the request, the change may have been accepted: "
                   "check \"dotterelbendctl history\"",
                   client->address);
  return er_set (err, ER_UNAVAILABLE,
                 "no response from %s; check the address "
                 "or use another VM",
                 client->address);
}

/* Frees the body of RESPONSE, which ct_call filled.  */
void
ct_response_free (ct_response *response)
{
  json_decref (response->body);
  response->body = NULL;
}

/* Exit code for RESPONSE; sets ERR to the error that it contains.  */
ct_exit
ct_response_exit (const ct_response *response, er_error *err)
{
  const json_t *error = json_object_get (response->body, "error");
  const char *message = json_string_value (json_object_get (error, "message"));
  if (response->status >= 200 && response->status < 300
      && response->body != NULL)
    return CT_OK;
  if (message == NULL)
    message = "the response is not from the administration API; check that "
              "the address is that of listen.admin";
  switch (response->status)
    {
    case 409:
      er_set (err, ER_CONFLICT, "%s", message);
      return CT_CONFLICT;
    case 401:
    case 403:
      er_set (err, ER_DENIED, "%s", message);
      return CT_REFUSED;
    case 404:
      er_set (err, ER_NOT_FOUND, "%s", message);
      return CT_REFUSED;
    case 413:
      er_set (err, ER_TOO_LARGE, "%s", message);
      return CT_REFUSED;
    case 429:
      er_set (err, ER_LIMIT, "%s", message);
      return CT_UNAVAILABLE;
    case 503:
      er_set (err, ER_UNAVAILABLE, "%s", message);
      return CT_UNAVAILABLE;
    case 504:
      er_set (err, ER_TIMEOUT, "%s", message);
      return CT_UNKNOWN;
    default:
      er_set (err, ER_INVALID, "%s", message);
      return CT_REFUSED;
    }
}

/* The token in FILE, or of DOTTERELBEND_TOKEN when FILE is NULL.  The caller
   frees it with g_free.  */
char *
ct_read_token (const char *file, er_error *err)
{
  char *token = NULL;
  GError *gerr = NULL;
  if (file == NULL)
    {
      const char *env = g_getenv ("DOTTERELBEND_TOKEN");
      if (env != NULL && env[0] != 0)
        return g_strdup (env);
      er_set (err, ER_DENIED,
              "no token; set DOTTERELBEND_TOKEN or give "
              "--token-file FILE");
      return NULL;
    }
  if (!g_file_get_contents (file, &token, NULL, &gerr))
    {
      er_set (err, ER_INVALID, "--token-file: %s; check the path",
              gerr->message);
      g_error_free (gerr);
      return NULL;
    }
  g_strstrip (token);
  if (token[0] != 0)
    return token;
  g_free (token);
  er_set (err, ER_INVALID,
          "--token-file %s is empty; write the token into "
          "it",
          file);
  return NULL;
}

static void
_ct_print_report (const sl_report *report, FILE *out)
{
  for (size_t i = 0; i < sl_report_count (report); i++)
    fprintf (out, "%s\n", sl_report_text (report, i));
}

/* Checks the file PATH without a server: a VM's configuration when it has
   the key vm, listen or platform, else a settings tree.  Prints all problems
   to OUT.  */
ct_exit
ct_validate (const char *path, FILE *out)
{
  sl_report *report = sl_report_make (path);
  sl_doc *doc = sl_load (path, report);
  bool is_config = false;
  if (doc != NULL)
    {
      static const char *const config_keys[] = { "vm", "listen", "platform" };
      const sl_node *root = sl_root (doc);
      for (unsigned i = 0; i < G_N_ELEMENTS (config_keys); i++)
        is_config = is_config || sl_get (root, config_keys[i]) != NULL;
      if (is_config)
        {
          sb_config config;
          if (sb_load_report (&config, path, report))
            sb_free (&config);
        }
      else
        sx_unref (sx_load_yaml (doc, report));
    }
  _ct_print_report (report, out);
  bool ok = sl_report_count (report) == 0;
  if (ok)
    fprintf (out, "%s: valid %s\n", path,
             is_config ? "VM configuration" : "settings");
  sl_destroy (doc);
  sl_report_destroy (report);
  return ok ? CT_OK : CT_REFUSED;
}

/* Reads the settings in the file PATH.  NULL when problems were printed to
   PROBLEMS.  */
sx_tree *
ct_load (const char *path, FILE *problems)
{
  sl_report *report = sl_report_make (path);
  sl_doc *doc = sl_load (path, report);
  sx_tree *tree = doc != NULL ? sx_load_yaml (doc, report) : NULL;
  _ct_print_report (report, problems);
  sl_destroy (doc);
  sl_report_destroy (report);
  return tree;
}

static bool
_ct_is_below (const char *path, const char *below)
{
  size_t len = strlen (below);
  return len == 0 || strcmp (below, "root") == 0
         || (strncmp (path, below, len) == 0
             && (path[len] == 0 || path[len] == '/'));
}

/* Edits that turn BEFORE into AFTER, at and below the path BELOW only, in the
   form of the API, with the old value in the member "before".  */
json_t *
ct_edits (const sx_tree *before, const sx_tree *after, const char *below)
{
  sx_changes diff = sx_diff (before, after);
  json_t *out = json_array ();
  for (size_t i = 0; i < diff.count; i++)
    if (_ct_is_below (diff.items[i].path, below))
      json_array_append_new (
          out, json_pack ("{s:s,s:s,s:s?,s:s?}", "path", diff.items[i].path,
                          "key", diff.items[i].key, "before",
                          diff.items[i].before, "value", diff.items[i].after));
  sx_changes_free (&diff);
  return out;
}

/* Splits EDITS, sorted by path, into changes within the server's limits.
   Returns JSON arrays of edits without the member "before".  */
GPtrArray *
ct_split_edits (const json_t *edits)
{
  GPtrArray *out
      = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  GHashTable *subtrees
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_t *change = NULL;
  size_t i;
  json_t *edit;
  json_array_foreach (edits, i, edit)
  {
    sx_path path;
    st_name subtree;
    const char *text = json_string_value (json_object_get (edit, "path"));
    if (!sx_path_parse (st_from_cstr (text), &path, NULL))
      continue;
    sx_path_subtree (&path, &subtree);
    bool is_new_subtree = !g_hash_table_contains (subtrees, subtree.text);
    if (change == NULL || json_array_size (change) == _CT_EDITS_MAX
        || (is_new_subtree
            && g_hash_table_size (subtrees) == _CT_SUBTREES_MAX))
      {
        change = json_array ();
        g_ptr_array_add (out, change);
        g_hash_table_remove_all (subtrees);
      }
    g_hash_table_add (subtrees, g_strdup (subtree.text));
    json_t *copy = json_copy (edit);
    json_object_del (copy, "before");
    json_array_append_new (change, copy);
  }
  g_hash_table_unref (subtrees);
  return out;
}

/* Makes a table with the column titles HEAD, NULL-terminated.  */
ct_table
ct_table_make (const char *const *head)
{
  ct_table table
      = { g_ptr_array_new_with_free_func ((GDestroyNotify)g_strfreev) };
  ct_table_add (&table, head);
  return table;
}

/* Adds a row; CELLS is NULL-terminated.  */
void
ct_table_add (ct_table *table, const char *const *cells)
{
  g_ptr_array_add (table->rows, g_strdupv ((char **)cells));
}

/* Prints TABLE with aligned columns and frees it.  */
void
ct_table_print (ct_table *table, FILE *out)
{
  size_t widths[16] = { 0 };
  for (guint r = 0; r < table->rows->len; r++)
    {
      char **cells = table->rows->pdata[r];
      for (size_t c = 0; cells[c] != NULL && c < G_N_ELEMENTS (widths); c++)
        widths[c] = MAX (widths[c], strlen (cells[c]));
    }
  for (guint r = 0; r < table->rows->len; r++)
    {
      char **cells = table->rows->pdata[r];
      for (size_t c = 0; cells[c] != NULL && c < G_N_ELEMENTS (widths); c++)
        if (cells[c + 1] != NULL)
          fprintf (out, "%-*s  ", (int)widths[c], cells[c]);
        else
          fprintf (out, "%s\n", cells[c]);
    }
  g_ptr_array_unref (table->rows);
  table->rows = NULL;
}
