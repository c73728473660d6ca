/* dotterelbendctl: command-line tool for operators.  */
#include "ct.h"
#include "pl_check.h"

#include <argp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "dotterelbendctl 0.1.0";

static const char _doc[]
    = "Reads and changes the settings of dotterelbend, lists its VMs and "
      "drains them, through the administration API of any VM.\v"
      "Commands:\n"
      "  validate FILE             check a settings file or VM "
      "configuration\n"
      "  config check FILE         check a configuration of the users' "
      "platform\n"
      "  get [PATH]                settings at and below PATH, as YAML\n"
      "  explain [PATH] [KEY]      effective values and the level that sets "
      "them\n"
      "  set [PATH] KEY VALUE      set one value\n"
      "  unset [PATH] KEY          remove one value, so that it is inherited\n"
      "  diff FILE                 what apply would change\n"
      "  apply FILE                replace the settings by those in FILE\n"
      "  history                   the last changes\n"
      "  watch                     print each version when it takes effect\n"
      "  moves                     rollouts, drains and changes with their "
      "states\n"
      "  members                   the VMs and their states\n"
      "  drain                     drain the VM at --address\n"
      "  log-level LEVEL           log level of the VM at --address\n"
      "  settings-reference        print docs/SETTINGS.md\n"
      "\n"
      "Examples:\n"
      "  dotterelbendctl validate settings.yaml\n"
      "  dotterelbendctl config check new.json --against now.json\n"
      "  dotterelbendctl --address 10.0.0.7:7001 get team/night\n"
      "  dotterelbendctl explain team/night/service/draft deadline_ms\n"
      "  dotterelbendctl set team/night deadline_ms 5s\n"
      "  dotterelbendctl set service/draft rollout.to v2\n"
      "  dotterelbendctl --path team/night apply night.yaml\n"
      "  dotterelbendctl apply --dry-run settings.yaml\n"
      "\n"
      "The address comes from --address or DOTTERELBEND_ADDRESS, the token "
      "from --token-file or DOTTERELBEND_TOKEN, never from the command "
      "line.\n"
      "\n"
      "Exit status: 0 done; 1 refused (invalid, not found, denied); 2 wrong "
      "usage; 3 conflict, a concurrent change was first; 4 VM or store "
      "unavailable, nothing was changed; 5 unknown, the change may have been "
      "accepted, see history; 6 diff found differences.";

static const struct argp_option _options[] = {
  { "address", 'a', "IP:PORT", 0, "administration listener of a VM", 0 },
  { "admin", 0, NULL, OPTION_ALIAS, NULL, 0 },
  { "token-file", 't', "FILE", 0, "file that holds the token", 0 },
  { "operator", 'o', "NAME", 0, "your name, for the history", 0 },
  { "path", 'p', "PATH", 0, "diff, apply: only at and below PATH", 0 },
  { "dry-run", 'n', NULL, 0, "apply, set: print what would change", 0 },
  { "count", 'c', "N", 0, "watch: stop after N versions", 0 },
  { "against", 'g', "FILE", 0, "config check: the version in force", 0 },
  { "json", 'j', NULL, 0, "print JSON", 0 },
  { 0 },
};

#define _CTL_WORDS_MAX 4

typedef struct
{
  const char *words[_CTL_WORDS_MAX + 1]; /* the command and its arguments */
  int count;
  const char *address;
  const char *token_file;
  const char *operator_name;
  const char *path;
  const char *against;
  uint64_t watch_count;
  bool dry_run;
  bool json;
  ct_client client;
} _ctl_args;

static error_t
_ctl_parse (int key, char *arg, struct argp_state *state)
{
  _ctl_args *args = state->input;
  switch (key)
    {
    case 'a':
      args->address = arg;
      return 0;
    case 't':
      args->token_file = arg;
      return 0;
    case 'o':
      if (!sk_name_valid (st_from_cstr (arg)))
        argp_error (state, "--operator: use letters, digits and . _ - only");
      args->operator_name = arg;
      return 0;
    case 'p':
      args->path = arg;
      return 0;
    case 'g':
      args->against = arg;
      return 0;
    case 'n':
      args->dry_run = true;
      return 0;
    case 'c':
      if (!st_parse_u64 (st_from_cstr (arg), &args->watch_count))
        argp_error (state, "--count: give a number of versions");
      return 0;
    case 'j':
      args->json = true;
      return 0;
    case ARGP_KEY_ARG:
      if (args->count == _CTL_WORDS_MAX)
        argp_error (state, "too many arguments");
      args->words[args->count++] = arg;
      return 0;
    case ARGP_KEY_END:
      if (args->count == 0)
        argp_error (state, "a command is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static ct_exit
_ctl_fail (ct_exit code, const er_error *err)
{
  fprintf (stderr, "dotterelbendctl: %s: %s\n", er_kind_name (err->kind),
           err->message);
  return code;
}

/* Member NAME of OBJECT as text; "-" when it is missing or empty.  NUMBER is
   the buffer for the text of a number.  */
static const char *
_ctl_member_text (const json_t *object, const char *name, char number[32])
{
  const json_t *v = json_object_get (object, name);
  if (json_is_string (v))
    return json_string_length (v) > 0 ? json_string_value (v) : "-";
  if (json_is_integer (v))
    g_snprintf (number, 32, "%lld", (long long)json_integer_value (v));
  else if (json_is_real (v))
    g_snprintf (number, 32, "%.4g", json_real_value (v));
  else if (json_is_boolean (v))
    return json_is_true (v) ? "yes" : "no";
  else
    return "-";
  return number;
}

/* Prints the members NAMES of each object in LIST as a table.  */
static void
_ctl_print_list (const json_t *list, const char *const *names)
{
  ct_table table = ct_table_make (names);
  size_t i;
  json_t *item;
  json_array_foreach (list, i, item)
  {
    const char *cells[16] = { NULL };
    char numbers[16][32];
    for (size_t c = 0; names[c] != NULL && c < 15; c++)
      cells[c] = _ctl_member_text (item, names[c], numbers[c]);
    ct_table_add (&table, cells);
  }
  ct_table_print (&table, stdout);
}

static void
_ctl_print_json (const json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (2) | JSON_SORT_KEYS);
  printf ("%s\n", text);
  free (text);
}

/* Calls the API; prints an error and, after a conflict, the changes since the
   base version.  */
static ct_exit
_ctl_call (const _ctl_args *args, const char *method, const char *path,
           const json_t *body, ct_response *out)
{
  static const char *const columns[]
      = { "version", "who", "subtree", "id", NULL };
  er_error err = { 0 };
  if (!ct_call (&args->client, method, path, body, out, &err))
    return _ctl_fail (err.kind == ER_TIMEOUT   ? CT_UNKNOWN
                      : err.kind == ER_INVALID ? CT_USAGE
                                               : CT_UNAVAILABLE,
                      &err);
  ct_exit code = ct_response_exit (out, &err);
  if (code == CT_OK)
    return CT_OK;
  if (args->json)
    _ctl_print_json (out->body);
  _ctl_fail (code, &err);
  const json_t *changed
      = json_object_get (json_object_get (out->body, "error"), "changed");
  if (!args->json && json_array_size (changed) > 0)
    {
      printf ("changed since your version:\n");
      _ctl_print_list (changed, columns);
    }
  ct_response_free (out);
  return code;
}

/* "/admin/NAME/PATH" with PATH escaped.  */
static char *
_ctl_uri (const char *name, const char *path)
{
  char *escaped = g_uri_escape_string (path, "/", FALSE);
  char *uri = g_strdup_printf ("/admin/%s%s%s", name,
                               escaped[0] != 0 ? "/" : "", escaped);
  g_free (escaped);
  return uri;
}

/* Fetches the settings at and below PATH.  */
static ct_exit
_ctl_fetch (const _ctl_args *args, const char *path, sx_tree **tree,
            json_int_t *version, ct_response *response)
{
  er_error err = { 0 };
  char *uri = _ctl_uri ("settings", path);
  ct_exit code = _ctl_call (args, "GET", uri, NULL, response);
  g_free (uri);
  *tree = NULL;
  if (code != CT_OK)
    return code;
  const json_t *settings = json_object_get (response->body, "settings");
  *version = json_integer_value (json_object_get (response->body, "version"));
  if (settings != NULL)
    {
      *tree = sx_from_json (settings, &err);
      if (*tree == NULL)
        {
          ct_response_free (response);
          return _ctl_fail (CT_REFUSED, &err);
        }
    }
  return CT_OK;
}

static ct_exit
_ctl_get (const _ctl_args *args)
{
  ct_response response;
  sx_tree *tree;
  json_int_t version;
  const char *path = args->count > 1 ? args->words[1] : "";
  ct_exit code = _ctl_fetch (args, path, &tree, &version, &response);
  if (code != CT_OK)
    return code;
  if (args->json)
    _ctl_print_json (response.body);
  else if (tree != NULL)
    {
      char *yaml = sx_print_yaml (tree, path);
      printf ("# version %lld\n%s", (long long)version, yaml);
      g_free (yaml);
    }
  else
    printf ("%s\n",
            json_string_value (json_object_get (response.body, "value")));
  sx_unref (tree);
  ct_response_free (&response);
  return CT_OK;
}

static ct_exit
_ctl_explain (const _ctl_args *args)
{
  static const char *const columns[] = { "key", "value", "level", NULL };
  ct_response response;
  sx_key id;
  const char *path = args->count > 1 ? args->words[1] : "root";
  const char *key = args->count > 2 ? args->words[2] : "";
  if (args->count == 2 && sx_find_key (st_from_cstr (path), &id, NULL))
    {
      key = path;
      path = "root";
    }
  char *escaped = g_uri_escape_string (path, NULL, FALSE);
  char *uri = g_strdup_printf ("/admin/explain?path=%s&key=%s", escaped, key);
  ct_exit code = _ctl_call (args, "GET", uri, NULL, &response);
  g_free (uri);
  g_free (escaped);
  if (code != CT_OK)
    return code;
  if (args->json)
    _ctl_print_json (response.body);
  else
    _ctl_print_list (json_object_get (response.body, "values"), columns);
  ct_response_free (&response);
  return CT_OK;
}

/* Sends EDITS as one change.  VERSION is the base version and is set to
   the accepted one.  */
static ct_exit
_ctl_send_edits (const _ctl_args *args, json_t *edits, json_int_t *version)
{
  ct_response response;
  json_t *body = json_pack ("{s:I,s:O,s:b}", "base_version", *version, "edits",
                            edits, "dry_run", args->dry_run);
  ct_exit code = _ctl_call (args, "POST", "/admin/changes", body, &response);
  json_decref (body);
  if (code != CT_OK)
    return code;
  if (args->json)
    _ctl_print_json (response.body);
  else if (!args->dry_run)
    printf ("accepted as version %lld\n",
            (long long)json_integer_value (
                json_object_get (response.body, "version")));
  if (!args->dry_run)
    *version = json_integer_value (json_object_get (response.body, "version"));
  ct_response_free (&response);
  return CT_OK;
}

static void
_ctl_print_edits (const json_t *edits)
{
  static const char *const columns[]
      = { "path", "key", "before", "after", NULL };
  ct_table table = ct_table_make (columns);
  size_t i;
  json_t *edit;
  json_array_foreach (edits, i, edit)
  {
    char number[32];
    const char *cells[] = { _ctl_member_text (edit, "path", number),
                            _ctl_member_text (edit, "key", number),
                            _ctl_member_text (edit, "before", number),
                            _ctl_member_text (edit, "value", number), NULL };
    ct_table_add (&table, cells);
  }
  ct_table_print (&table, stdout);
}

/* set [PATH] KEY VALUE, unset [PATH] KEY.  */
static ct_exit
_ctl_set (const _ctl_args *args, bool unset)
{
  int wanted = unset ? 2 : 3;
  bool at_root = args->count == wanted;
  const char *path = at_root ? "root" : args->words[1];
  const char *key = args->words[at_root ? 1 : 2];
  const char *value = unset ? NULL : args->words[at_root ? 2 : 3];
  ct_response response;
  sx_tree *tree;
  json_int_t version = 0;
  er_error err = { 0 };
  sx_path parsed;
  sx_key id;
  sk_value checked;
  if (!sx_path_parse (st_from_cstr (path), &parsed, &err)
      || !sx_find_key (st_from_cstr (key), &id, &err)
      || (value != NULL
          && !sk_parse (&sx_query_keys ()[id], st_from_cstr (value), &checked,
                        &err)))
    return _ctl_fail (CT_REFUSED, &err);
  ct_exit code = _ctl_fetch (args, path, &tree, &version, &response);
  if (code != CT_OK)
    return code;
  sx_unref (tree);
  ct_response_free (&response);
  json_t *edits = json_pack ("[{s:s,s:s,s:s?}]", "path", path, "key", key,
                             "value", value);
  code = _ctl_send_edits (args, edits, &version);
  json_decref (edits);
  return code;
}

/* diff FILE, apply FILE.  */
static ct_exit
_ctl_apply (const _ctl_args *args, bool apply)
{
  const char *below = args->path != NULL ? args->path : "";
  ct_response response;
  sx_tree *current;
  json_int_t version = 0;
  sx_tree *wanted = ct_load (args->words[1], stderr);
  if (wanted == NULL)
    return CT_REFUSED;
  ct_exit code = _ctl_fetch (args, below, &current, &version, &response);
  if (code != CT_OK)
    {
      sx_unref (wanted);
      return code;
    }
  ct_response_free (&response);
  json_t *edits = ct_edits (current, wanted, below);
  bool unchanged = json_array_size (edits) == 0;
  if (args->json && (!apply || args->dry_run))
    _ctl_print_json (edits);
  else if (unchanged)
    printf ("no difference to version %lld\n", (long long)version);
  else if (!args->json)
    _ctl_print_edits (edits);
  if (!apply && !unchanged)
    code = CT_DIFFERS;
  if (apply && !unchanged)
    {
      GPtrArray *changes = ct_split_edits (edits);
      for (guint i = 0; i < changes->len && code == CT_OK; i++)
        {
          code = _ctl_send_edits (args, changes->pdata[i], &version);
          if (code != CT_OK && i > 0)
            fprintf (stderr,
                     "dotterelbendctl: change %u of %u failed; those before "
                     "it are in effect, run apply again\n",
                     i + 1, changes->len);
        }
      g_ptr_array_unref (changes);
    }
  json_decref (edits);
  sx_unref (current);
  sx_unref (wanted);
  return code;
}

/* Prints the list that a GET of /admin/NAME returns.  */
static ct_exit
_ctl_list (const _ctl_args *args, const char *name, const char *const *columns)
{
  ct_response response;
  char *uri = g_strdup_printf ("/admin/%s", name);
  ct_exit code = _ctl_call (args, "GET", uri, NULL, &response);
  g_free (uri);
  if (code != CT_OK)
    return code;
  if (args->json)
    _ctl_print_json (response.body);
  else
    _ctl_print_list (json_object_get (response.body, name), columns);
  ct_response_free (&response);
  return CT_OK;
}

static ct_exit
_ctl_history (const _ctl_args *args)
{
  static const char *const columns[]
      = { "version", "time", "who", "subtree", "id", NULL };
  return _ctl_list (args, "history", columns);
}

static ct_exit
_ctl_moves (const _ctl_args *args)
{
  static const char *const columns[]
      = { "kind", "service", "from", "to", "state", "share", "reason", NULL };
  return _ctl_list (args, "moves", columns);
}

static ct_exit
_ctl_members (const _ctl_args *args)
{
  static const char *const columns[]
      = { "name",   "state",   "data_center",
          "region", "address", "settings_version",
          NULL };
  return _ctl_list (args, "members", columns);
}

static ct_exit
_ctl_watch (const _ctl_args *args)
{
  json_int_t version = -1;
  uint64_t seen = 0;
  while (args->watch_count == 0 || seen < args->watch_count)
    {
      ct_response response;
      char *uri = version < 0 ? g_strdup ("/admin/watch?wait_ms=0")
                              : g_strdup_printf ("/admin/watch?after=%lld",
                                                 (long long)version);
      ct_exit code = _ctl_call (args, "GET", uri, NULL, &response);
      g_free (uri);
      if (code != CT_OK)
        return code;
      json_int_t now
          = json_integer_value (json_object_get (response.body, "version"));
      if (now != version)
        {
          GDateTime *t = g_date_time_new_now_utc ();
          char *time = g_date_time_format (t, "%Y-%m-%dT%H:%M:%SZ");
          if (args->json)
            printf ("{\"version\":%lld,\"time\":\"%s\"}\n", (long long)now,
                    time);
          else
            printf ("%s  version %lld\n", time, (long long)now);
          fflush (stdout);
          g_free (time);
          g_date_time_unref (t);
          seen++;
        }
      version = now;
      ct_response_free (&response);
    }
  return CT_OK;
}

/* Sends BODY to the call NAME and prints the member RESULT of the response. */
static ct_exit
_ctl_post (const _ctl_args *args, const char *name, json_t *body,
           const char *result)
{
  ct_response response;
  char *uri = g_strdup_printf ("/admin/%s", name);
  ct_exit code = _ctl_call (args, "POST", uri, body, &response);
  g_free (uri);
  json_decref (body);
  if (code != CT_OK)
    return code;
  if (args->json)
    _ctl_print_json (response.body);
  else
    printf ("%s: %s\n", result,
            json_string_value (json_object_get (response.body, result)));
  ct_response_free (&response);
  return CT_OK;
}

typedef enum
{
  _CTL_VALIDATE,
  _CTL_CONFIG,
  _CTL_REFERENCE,
  _CTL_GET,
  _CTL_EXPLAIN,
  _CTL_SET,
  _CTL_UNSET,
  _CTL_DIFF,
  _CTL_APPLY,
  _CTL_HISTORY,
  _CTL_WATCH,
  _CTL_MOVES,
  _CTL_MEMBERS,
  _CTL_DRAIN,
  _CTL_LOG_LEVEL,
  _CTL_COMMANDS
} _ctl_command;

static const struct
{
  const char *name;
  int min; /* words, including the command */
  int max;
  bool offline;
} _ctl_commands[_CTL_COMMANDS] = {
  [_CTL_VALIDATE] = { "validate", 2, 2, true },
  [_CTL_CONFIG] = { "config", 3, 3, true },
  [_CTL_REFERENCE] = { "settings-reference", 1, 1, true },
  [_CTL_GET] = { "get", 1, 2, false },
  [_CTL_EXPLAIN] = { "explain", 1, 3, false },
  [_CTL_SET] = { "set", 3, 4, false },
  [_CTL_UNSET] = { "unset", 2, 3, false },
  [_CTL_DIFF] = { "diff", 2, 2, false },
  [_CTL_APPLY] = { "apply", 2, 2, false },
  [_CTL_HISTORY] = { "history", 1, 1, false },
  [_CTL_WATCH] = { "watch", 1, 1, false },
  [_CTL_MOVES] = { "moves", 1, 1, false },
  [_CTL_MEMBERS] = { "members", 1, 1, false },
  [_CTL_DRAIN] = { "drain", 1, 1, false },
  [_CTL_LOG_LEVEL] = { "log-level", 2, 2, false },
};

/* Checks the configuration of the platform in a file.  */
static ct_exit
_ctl_config (const _ctl_args *args)
{
  er_error err = { 0 };
  if (strcmp (args->words[1], "check") != 0)
    {
      er_set (&err, ER_INVALID,
              "config %s is unknown; write config check FILE", args->words[1]);
      return _ctl_fail (CT_USAGE, &err);
    }
  switch (pl_check_configuration (&(pl_check_desc){ .file = args->words[2],
                                                    .against = args->against,
                                                    .json = args->json,
                                                    .out = stdout }))
    {
    case PL_CHECK_OK:
      return CT_OK;
    case PL_CHECK_ERRORS:
      return CT_REFUSED;
    case PL_CHECK_UNREADABLE:
      return CT_USAGE;
    }
  return CT_USAGE;
}

static ct_exit
_ctl_run (const _ctl_args *args, _ctl_command command)
{
  switch (command)
    {
    case _CTL_VALIDATE:
      return ct_validate (args->words[1], stdout);
    case _CTL_CONFIG:
      return _ctl_config (args);
    case _CTL_REFERENCE:
      {
        char *text = sx_print_reference ();
        fputs (text, stdout);
        g_free (text);
        return CT_OK;
      }
    case _CTL_GET:
      return _ctl_get (args);
    case _CTL_EXPLAIN:
      return _ctl_explain (args);
    case _CTL_SET:
      return _ctl_set (args, false);
    case _CTL_UNSET:
      return _ctl_set (args, true);
    case _CTL_DIFF:
      return _ctl_apply (args, false);
    case _CTL_APPLY:
      return _ctl_apply (args, true);
    case _CTL_HISTORY:
      return _ctl_history (args);
    case _CTL_WATCH:
      return _ctl_watch (args);
    case _CTL_MOVES:
      return _ctl_moves (args);
    case _CTL_MEMBERS:
      return _ctl_members (args);
    case _CTL_DRAIN:
      return _ctl_post (args, "drain", json_object (), "state");
    case _CTL_LOG_LEVEL:
      return _ctl_post (args, "log-level",
                        json_pack ("{s:s}", "level", args->words[1]), "level");
    case _CTL_COMMANDS:
      break;
    }
  return CT_USAGE;
}

static bool
_ctl_find_command (const _ctl_args *args, _ctl_command *out, er_error *err)
{
  const char *names[_CTL_COMMANDS];
  for (unsigned i = 0; i < _CTL_COMMANDS; i++)
    {
      names[i] = _ctl_commands[i].name;
      if (strcmp (names[i], args->words[0]) == 0)
        {
          *out = (_ctl_command)i;
          if (args->count >= _ctl_commands[i].min
              && args->count <= _ctl_commands[i].max)
            return true;
          return er_set (err, ER_INVALID,
                         "%s: wrong number of arguments; see "
                         "--help",
                         names[i]);
        }
    }
  const char *near
      = sk_nearest (names, _CTL_COMMANDS, st_from_cstr (args->words[0]));
  return er_set (err, ER_INVALID, "unknown command \"%s\"; %s%s%s",
                 args->words[0],
                 near != NULL ? "did you mean \"" : "see --help",
                 near != NULL ? near : "", near != NULL ? "\"?" : "");
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { _options, _ctl_parse, "COMMAND [ARGUMENT...]", _doc, 0, 0, 0 };
  _ctl_args args = { .address = g_getenv ("DOTTERELBEND_ADDRESS") };
  _ctl_command command = _CTL_COMMANDS;
  er_error err = { 0 };
  char *token = NULL;
  argp_err_exit_status = CT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &args);
  if (!_ctl_find_command (&args, &command, &err))
    return _ctl_fail (CT_USAGE, &err);
  if (sodium_init () < 0)
    {
      er_set (&err, ER_INTERNAL, "libsodium initialisation failed");
      return _ctl_fail (CT_UNAVAILABLE, &err);
    }
  if (!_ctl_commands[command].offline)
    {
      if (args.address == NULL)
        {
          er_set (&err, ER_INVALID,
                  "no address; give --address IP:PORT or "
                  "set DOTTERELBEND_ADDRESS");
          return _ctl_fail (CT_USAGE, &err);
        }
      token = ct_read_token (args.token_file, &err);
      if (token == NULL)
        return _ctl_fail (CT_USAGE, &err);
      args.client = (ct_client){ .address = args.address,
                                 .token = token,
                                 .operator_name = args.operator_name };
    }
  ct_exit code = _ctl_run (&args, command);
  if (token != NULL)
    sodium_memzero (token, strlen (token));
  g_free (token);
  return code;
}
