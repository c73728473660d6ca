#include "sx.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <yaml.h>

/* Bits of a path: the levels that it names.  A larger number is a more
   specific path.  */
#define _SX_TEAM 1u
#define _SX_SERVICE 2u
#define _SX_TIER 4u
#define _SX_VERSION 8u
#define _SX_MASK_COUNT 16u

typedef struct
{
  gint refs;
  unsigned mask;
  sx_path path;
  char text[SX_PATH_MAX];
  st_name subtree;
  sk_value *values[SX_KEYS];
  /* Keys and values of a newer version of this program, stored unchanged so
     that an edit by this version does not remove them.  */
  GHashTable *unknown_values;
} _sx_level;

struct sx_tree
{
  gint refs;
  unsigned masks;     /* bit m: some level has the mask m */
  GHashTable *levels; /* text -> _sx_level */
  GHashTable *teams;  /* set of team names */
  sk_value defaults[SX_KEYS];
};

static unsigned
_sx_path_mask (const sx_path *path)
{
  return (path->team.len > 0 ? _SX_TEAM : 0)
         | (path->service.len > 0 ? _SX_SERVICE : 0)
         | (path->tier != SX_NO_TIER ? _SX_TIER : 0)
         | (path->version.len > 0 ? _SX_VERSION : 0);
}

static bool
_sx_set_name (st_name *name, st_str text, const char *level, er_error *err)
{
  if (!sk_name_valid (text) || text.len > SX_NAME_MAX)
    return er_set (err, ER_INVALID,
                   "\"%.*s\" is not a %s name; use 1 to %d letters, digits "
                   "and . _ -",
                   ST_FMT (st_slice (text, 0, 64)), level, SX_NAME_MAX);
  return st_name_set (name, text);
}

static bool
_sx_set_level (sx_path *path, unsigned level, st_str text, er_error *err)
{
  switch (level)
    {
    case 0:
      return _sx_set_name (&path->team, text, "team", err);
    case 1:
      return _sx_set_name (&path->service, text, "service", err);
    case 2:
      if (text.len != 1 || text.ptr[0] < '0' || text.ptr[0] >= '0' + SX_TIERS)
        return er_set (err, ER_INVALID,
                       "\"%.*s\" is not a tier; write a number from 0 to %d",
                       ST_FMT (st_slice (text, 0, 64)), SX_TIERS - 1);
      path->tier = text.ptr[0] - '0';
      return true;
    default:
      return _sx_set_name (&path->version, text, "version", err);
    }
}

static const char *const _sx_level_names[]
    = { "team", "service", "tier", "version" };

static const sx_path _sx_root_path = { .tier = SX_NO_TIER };

/* Parses a path such as "team/night/tier/1"; "root" and "" are the root.  */
bool
sx_path_parse (st_str text, sx_path *out, er_error *err)
{
  *out = _sx_root_path;
  if (text.len == 0 || st_equal (text, ST_LIT ("root")))
    return true;
  unsigned next = 0;
  st_str rest = text;
  while (rest.len > 0)
    {
      st_str parts[2] = { { NULL, 0 }, { NULL, 0 } };
      for (unsigned i = 0; i < 2; i++)
        {
          size_t slash = rest.len;
          st_find_char (rest, '/', &slash);
          parts[i] = st_slice (rest, 0, slash);
          rest = st_slice (rest, slash + 1, rest.len);
        }
      unsigned level = 0;
      while (level < 4 && !st_equal_cstr (parts[0], _sx_level_names[level]))
        level++;
      if (level == 4)
        {
          const char *near = sk_nearest (_sx_level_names, 4, parts[0]);
          return er_set (err, ER_INVALID,
                         "unknown level \"%.*s\" in a path; %s%s%s",
                         ST_FMT (st_slice (parts[0], 0, 64)),
                         near != NULL ? "did you mean \""
                                      : "write root, or "
                                        "team/NAME, service/NAME, tier/N, "
                                        "version/NAME",
                         near != NULL ? near : "", near != NULL ? "\"?" : "");
        }
      if (level < next)
        return er_set (
            err, ER_INVALID,
            "the levels of a path are out of order or duplicated at "
            "\"%s\"; write team, service, tier, version in this "
            "order",
            _sx_level_names[level]);
      if (!_sx_set_level (out, level, parts[1], err))
        return false;
      next = level + 1;
    }
  return true;
}

/* Prints PATH in the form that sx_path_parse accepts.  */
void
sx_path_print (const sx_path *path, char out[SX_PATH_MAX])
{
  char *c = out;
  char *end = out + SX_PATH_MAX;
  out[0] = 0;
  if (path->team.len > 0)
    c += g_snprintf (c, end - c, "/team/%s", path->team.text);
  if (path->service.len > 0)
    c += g_snprintf (c, end - c, "/service/%s", path->service.text);
  if (path->tier != SX_NO_TIER)
    c += g_snprintf (c, end - c, "/tier/%d", path->tier);
  if (path->version.len > 0)
    c += g_snprintf (c, end - c, "/version/%s", path->version.text);
  if (c == out)
    g_strlcpy (out, "root", SX_PATH_MAX);
  else
    memmove (out, out + 1, strlen (out));
}

/* Name of the subtree that PATH belongs to.  */
void
sx_path_subtree (const sx_path *path, st_name *out)
{
  char text[ST_NAME_MAX + 1];
  if (path->team.len > 0)
    g_snprintf (text, sizeof text, "team/%s", path->team.text);
  else if (path->service.len > 0)
    g_snprintf (text, sizeof text, "service/%s", path->service.text);
  else
    g_strlcpy (text, "root", sizeof text);
  st_name_set (out, st_from_cstr (text));
}

static _sx_level *
_sx_make_level (const sx_path *path)
{
  _sx_level *level = g_new0 (_sx_level, 1);
  level->refs = 1;
  level->path = *path;
  level->mask = _sx_path_mask (path);
  sx_path_print (path, level->text);
  sx_path_subtree (path, &level->subtree);
  return level;
}

static _sx_level *
_sx_copy_level (const _sx_level *from)
{
  _sx_level *level = _sx_make_level (&from->path);
  for (unsigned i = 0; i < SX_KEYS; i++)
    if (from->values[i] != NULL)
      level->values[i] = g_memdup2 (from->values[i], sizeof (sk_value));
  if (from->unknown_values != NULL)
    {
      GHashTableIter it;
      gpointer key;
      gpointer value;
      level->unknown_values
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_iter_init (&it, from->unknown_values);
      while (g_hash_table_iter_next (&it, &key, &value))
        g_hash_table_insert (level->unknown_values, g_strdup (key),
                             g_strdup (value));
    }
  return level;
}

static void
_sx_unref_level (gpointer data)
{
  _sx_level *level = data;
  if (!g_atomic_int_dec_and_test (&level->refs))
    return;
  for (unsigned i = 0; i < SX_KEYS; i++)
    g_free (level->values[i]);
  if (level->unknown_values != NULL)
    g_hash_table_unref (level->unknown_values);
  g_free (level);
}

static bool
_sx_level_is_empty (const _sx_level *level)
{
  for (unsigned i = 0; i < SX_KEYS; i++)
    if (level->values[i] != NULL)
      return false;
  return level->unknown_values == NULL
         || g_hash_table_size (level->unknown_values) == 0;
}

/* Makes a tree that has only the defaults.  */
sx_tree *
sx_make_empty (void)
{
  sx_tree *tree = g_new0 (sx_tree, 1);
  const sk_key *keys = sx_query_keys ();
  tree->refs = 1;
  tree->levels
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _sx_unref_level);
  tree->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (unsigned i = 0; i < SX_KEYS; i++)
    if (!sk_parse (&keys[i], st_from_cstr (keys[i].default_text),
                   &tree->defaults[i], NULL))
      g_error ("the default of %s does not parse", keys[i].name);
  return tree;
}

/* Takes a reference to TREE.  */
sx_tree *
sx_ref (const sx_tree *tree)
{
  sx_tree *t = (sx_tree *)tree;
  g_atomic_int_inc (&t->refs);
  return t;
}

/* Drops a reference to TREE, which may be NULL.  */
void
sx_unref (sx_tree *tree)
{
  if (tree == NULL || !g_atomic_int_dec_and_test (&tree->refs))
    return;
  g_hash_table_unref (tree->levels);
  g_hash_table_unref (tree->teams);
  g_free (tree);
}

/* A copy of TREE that shares its levels.  */
static sx_tree *
_sx_copy_tree (const sx_tree *tree)
{
  sx_tree *copy = sx_make_empty ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, tree->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      _sx_level *level = value;
      g_atomic_int_inc (&level->refs);
      g_hash_table_insert (copy->levels, level->text, level);
    }
  return copy;
}

/* The level at PATH of TREE, which is under construction, for writing: made
   or copied as needed.  */
static _sx_level *
_sx_writable_level (sx_tree *tree, const sx_path *path)
{
  char text[SX_PATH_MAX];
  sx_path_print (path, text);
  _sx_level *old = g_hash_table_lookup (tree->levels, text);
  if (old != NULL && g_atomic_int_get (&old->refs) == 1)
    return old;
  _sx_level *level
      = old != NULL ? _sx_copy_level (old) : _sx_make_level (path);
  g_hash_table_replace (tree->levels, level->text, level);
  return level;
}

/* Removes empty levels and computes the masks and teams, which queries use.
   Ends the construction of TREE.  */
static void
_sx_update_index (sx_tree *tree)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_remove_all (tree->teams);
  tree->masks = 0;
  g_hash_table_iter_init (&it, tree->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const _sx_level *level = value;
      if (_sx_level_is_empty (level))
        {
          g_hash_table_iter_remove (&it);
          continue;
        }
      tree->masks |= 1u << level->mask;
      if (level->path.team.len > 0)
        g_hash_table_add (tree->teams, g_strdup (level->path.team.text));
    }
}

/* Returns false for a key that must not be set at the last level of PATH.  */
static bool
_sx_validate_key_level (const sk_key *key, const sx_path *path, er_error *err)
{
  unsigned mask = _sx_path_mask (path);
  unsigned last = mask & _SX_VERSION   ? SX_AT_VERSION
                  : mask & _SX_TIER    ? SX_AT_TIER
                  : mask & _SX_SERVICE ? SX_AT_SERVICE
                  : mask & _SX_TEAM    ? SX_AT_TEAM
                                       : SX_AT_ROOT;
  static const char *const names[]
      = { "the root", "a team", "a service", "a tier", "a version" };
  if (!(key->levels & last))
    {
      char list[96] = "";
      for (unsigned i = 0; i < 5; i++)
        if (key->levels & 1u << i)
          {
            g_strlcat (list, list[0] != 0 ? ", " : "", sizeof list);
            g_strlcat (list, names[i], sizeof list);
          }
      unsigned bit = 0;
      while (last >> bit > 1)
        bit++;
      return er_set (err, ER_INVALID, "%s cannot be set at %s; set it at %s",
                     key->name, names[bit], list);
    }
  if ((key->levels & SX_NO_TEAM) && (mask & _SX_TEAM))
    return er_set (err, ER_INVALID,
                   "%s holds for all teams; set it at a path without a team",
                   key->name);
  return true;
}

static sx_where
_sx_where_of (const sx_path *path)
{
  sx_where where = { st_name_str (&path->team), st_name_str (&path->service),
                     path->tier, st_name_str (&path->version) };
  return where;
}

/* Checks the rules between the keys of one level, with inherited values.  */
static bool
_sx_validate_level (const sx_tree *tree, const _sx_level *level, er_error *err)
{
  sx_where where = _sx_where_of (&level->path);
  int64_t deadline = sx_query_int (tree, &where, SX_DEADLINE_MS);
  int64_t deadline_max = sx_query_int (tree, &where, SX_DEADLINE_MAX_MS);
  if (deadline > deadline_max)
    return er_set (err, ER_INVALID,
                   "%s: deadline_ms %" PRId64 " exceeds deadline_max_ms "
                   "%" PRId64 "; lower the first or raise the second",
                   level->text, deadline, deadline_max);
  int64_t most_urgent = sx_query_int (tree, &where, SX_TIERS_MOST_URGENT);
  int64_t tier = sx_query_int (tree, &where, SX_TIERS_DEFAULT);
  if (tier < most_urgent)
    return er_set (err, ER_INVALID,
                   "%s: tiers.default %" PRId64 " is more urgent than "
                   "tiers.most_urgent %" PRId64 "; raise tiers.default",
                   level->text, tier, most_urgent);
  int64_t retry_base = sx_query_int (tree, &where, SX_RETRY_BASE_MS);
  int64_t retry_max = sx_query_int (tree, &where, SX_RETRY_MAX_MS);
  if (retry_base > retry_max)
    return er_set (err, ER_INVALID,
                   "%s: retry.base_ms %" PRId64 " exceeds retry.max_ms "
                   "%" PRId64 "; lower the first or raise the second",
                   level->text, retry_base, retry_max);
  const sk_value *to = sx_query (tree, &where, SX_ROLLOUT_TO);
  if (to->text.len == 0)
    return true;
  const sk_value *current = sx_query (tree, &where, SX_CURRENT_VERSION);
  int64_t start = sx_query_int (tree, &where, SX_ROLLOUT_START);
  int64_t end = sx_query_int (tree, &where, SX_ROLLOUT_DEADLINE);
  if (current->text.len == 0)
    return er_set (err, ER_INVALID,
                   "%s: rollout.to needs current_version, the version to "
                   "fall back to; set it",
                   level->text);
  if (end == 0)
    return er_set (err, ER_INVALID,
                   "%s: rollout.to needs rollout.deadline; set it",
                   level->text);
  if (end <= start)
    return er_set (err, ER_INVALID,
                   "%s: rollout.deadline is not after rollout.start; move "
                   "one of them",
                   level->text);
  return true;
}

/* Checks the rules between keys and the size limits of TREE.  */
bool
sx_validate (const sx_tree *tree, er_error *err)
{
  GHashTableIter it;
  gpointer value;
  if (g_hash_table_size (tree->levels) > SX_LEVELS_MAX)
    return er_set (err, ER_TOO_LARGE,
                   "the settings have %u levels, more than the limit of %d; "
                   "remove some",
                   g_hash_table_size (tree->levels), SX_LEVELS_MAX);
  g_hash_table_iter_init (&it, tree->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!_sx_validate_level (tree, value, err))
      return false;
  char **subtrees = sx_list_subtrees (tree);
  unsigned count = g_strv_length (subtrees);
  bool ok = true;
  if (count > SX_SUBTREES_MAX)
    ok = er_set (err, ER_TOO_LARGE,
                 "the settings have %u subtrees (teams and services), more "
                 "than the limit of %d; remove some",
                 count, SX_SUBTREES_MAX);
  g_strfreev (subtrees);
  return ok;
}

static bool
_sx_apply_edit (sx_tree *tree, const sx_edit *edit, er_error *err)
{
  sx_path path;
  sx_key id;
  sk_value value;
  er_error inner = { 0 };
  if (!sx_path_parse (st_from_cstr (edit->path), &path, err))
    return false;
  bool known = sx_find_key (st_from_cstr (edit->key), &id, &inner);
  if (edit->value == NULL && !known)
    {
      _sx_level *level = _sx_writable_level (tree, &path);
      if (level->unknown_values != NULL
          && g_hash_table_remove (level->unknown_values, edit->key))
        return true;
    }
  if (!known)
    return er_set (err, ER_INVALID, "%s", inner.message);
  const sk_key *key = &sx_query_keys ()[id];
  if (!_sx_validate_key_level (key, &path, err))
    return false;
  if (edit->value != NULL
      && !sk_parse (key, st_from_cstr (edit->value), &value, &inner))
    return er_set (err, ER_INVALID, "%s: %s", edit->key, inner.message);
  _sx_level *level = _sx_writable_level (tree, &path);
  g_free (level->values[id]);
  level->values[id]
      = edit->value != NULL ? g_memdup2 (&value, sizeof value) : NULL;
  return true;
}

/* A new tree: TREE with COUNT edits, all or none of them.  NULL with ERR when
   an edit or the result is invalid.  */
sx_tree *
sx_apply (const sx_tree *tree, const sx_edit *edits, size_t count,
          er_error *err)
{
  sx_tree *next = _sx_copy_tree (tree);
  bool ok = true;
  for (size_t i = 0; i < count && ok; i++)
    ok = _sx_apply_edit (next, &edits[i], err);
  if (ok)
    _sx_update_index (next);
  if (ok && sx_validate (next, err))
    return next;
  sx_unref (next);
  return NULL;
}

/* The level of TREE at the levels of WHERE that are in MASK; NULL when there
   is none.  */
static const _sx_level *
_sx_find_level (const sx_tree *tree, const sx_where *where, unsigned mask)
{
  /* Longest text: four levels with names of SX_NAME_MAX.  */
  char text[SX_PATH_MAX];
  size_t len = 0;
  static const char *const prefixes[]
      = { "/team/", "/service/", "/tier/", "/version/" };
  char tier[2] = { (char)('0' + where->tier), 0 };
  st_str parts[4]
      = { where->team, where->service, { tier, 1 }, where->version };
  if (mask == 0)
    return g_hash_table_lookup (tree->levels, "root");
  for (unsigned i = 0; i < 4; i++)
    if (mask & 1u << i)
      {
        size_t prefix = strlen (prefixes[i]);
        if (parts[i].len == 0 || parts[i].len > SX_NAME_MAX)
          return NULL;
        memcpy (text + len, prefixes[i], prefix);
        memcpy (text + len + prefix, parts[i].ptr, parts[i].len);
        len += prefix + parts[i].len;
      }
  text[len] = 0;
  return g_hash_table_lookup (tree->levels, text + 1);
}

/* Value of KEY at WHERE and, in LEVEL, the level that sets it (NULL for the
   built-in default).  */
static const sk_value *
_sx_find (const sx_tree *tree, const sx_where *where, sx_key key,
          const _sx_level **level)
{
  unsigned named_levels
      = (where->team.len > 0 ? _SX_TEAM : 0)
        | (where->service.len > 0 ? _SX_SERVICE : 0)
        | (where->tier >= 0 && where->tier < SX_TIERS ? _SX_TIER : 0)
        | (where->version.len > 0 ? _SX_VERSION : 0);
  for (unsigned mask = _SX_MASK_COUNT; mask-- > 0;)
    {
      if (!(tree->masks & 1u << mask) || (mask & ~named_levels) != 0)
        continue;
      const _sx_level *found = _sx_find_level (tree, where, mask);
      if (found != NULL && found->values[key] != NULL)
        {
          *level = found;
          return found->values[key];
        }
    }
  *level = NULL;
  return &tree->defaults[key];
}

/* Value of KEY at WHERE; never NULL.  It is valid as long as TREE.  */
const sk_value *
sx_query (const sx_tree *tree, const sx_where *where, sx_key key)
{
  const _sx_level *level;
  return _sx_find (tree, where, key, &level);
}

/* Value of KEY, an integer, time or boolean, at WHERE.  */
int64_t
sx_query_int (const sx_tree *tree, const sx_where *where, sx_key key)
{
  return sx_query (tree, where, key)->number;
}

/* True when some level names TEAM.  */
bool
sx_query_team_known (const sx_tree *tree, st_str team)
{
  st_name name;
  return st_name_set (&name, team)
         && g_hash_table_contains (tree->teams, name.text);
}

/* True when requests of TEAM are served: it is known, or unknown teams use
   the defaults.  */
bool
sx_query_team_admitted (const sx_tree *tree, st_str team)
{
  sx_where root = { .tier = SX_NO_TIER };
  const sk_value *v = sx_query (tree, &root, SX_UNKNOWN_TEAMS);
  return strcmp (v->text.text, "defaults") == 0
         || sx_query_team_known (tree, team);
}

/* Number of levels that set a value.  */
size_t
sx_query_level_count (const sx_tree *tree)
{
  return g_hash_table_size (tree->levels);
}

/* VALUE is the value of KEY at PATH as text, LEVEL the path of the level that
   sets it or "default".  */
bool
sx_explain (const sx_tree *tree, st_str path, st_str key,
            char value[SK_TEXT_MAX], char level[SX_PATH_MAX], er_error *err)
{
  sx_path parsed;
  sx_key id;
  const _sx_level *from;
  if (!sx_path_parse (path, &parsed, err) || !sx_find_key (key, &id, err))
    return false;
  sx_where where = _sx_where_of (&parsed);
  sk_print (_sx_find (tree, &where, id, &from), value);
  g_strlcpy (level, from != NULL ? from->text : "default", SX_PATH_MAX);
  return true;
}

static int
_sx_compare_strings (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Turns the set KEYS into a sorted NULL-terminated array.  */
static char **
_sx_sorted (GHashTable *set)
{
  guint count = 0;
  gpointer *keys = g_hash_table_get_keys_as_array (set, &count);
  char **out = g_new0 (char *, count + 1);
  for (guint i = 0; i < count; i++)
    out[i] = g_strdup (keys[i]);
  g_free (keys);
  qsort (out, count, sizeof *out, _sx_compare_strings);
  return out;
}

/* Paths of all levels that set a value, sorted.  The caller frees them
   with g_strfreev.  */
char **
sx_list_paths (const sx_tree *tree)
{
  return _sx_sorted (tree->levels);
}

/* Names of all subtrees, sorted.  The caller frees them with g_strfreev.  */
char **
sx_list_subtrees (const sx_tree *tree)
{
  GHashTable *set = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, tree->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    g_hash_table_add (set, ((_sx_level *)value)->subtree.text);
  char **out = _sx_sorted (set);
  g_hash_table_unref (set);
  return out;
}

static void
_sx_add_change (GArray *out, const char *path, const char *key,
                const char *before, const char *after)
{
  if (g_strcmp0 (before, after) == 0)
    return;
  sx_change change = { g_strdup (path), g_strdup (key), g_strdup (before),
                       g_strdup (after) };
  g_array_append_val (out, change);
}

static void
_sx_diff_level (GArray *out, const char *path, const _sx_level *a,
                const _sx_level *b)
{
  const sk_key *keys = sx_query_keys ();
  for (unsigned i = 0; i < SX_KEYS; i++)
    {
      char left[SK_TEXT_MAX];
      char right[SK_TEXT_MAX];
      const sk_value *va = a != NULL ? a->values[i] : NULL;
      const sk_value *vb = b != NULL ? b->values[i] : NULL;
      if (va != NULL)
        sk_print (va, left);
      if (vb != NULL)
        sk_print (vb, right);
      _sx_add_change (out, path, keys[i].name, va != NULL ? left : NULL,
                      vb != NULL ? right : NULL);
    }
  GHashTable *set = g_hash_table_new (g_str_hash, g_str_equal);
  const _sx_level *both[] = { a, b };
  for (unsigned i = 0; i < 2; i++)
    if (both[i] != NULL && both[i]->unknown_values != NULL)
      {
        GHashTableIter it;
        gpointer key;
        g_hash_table_iter_init (&it, both[i]->unknown_values);
        while (g_hash_table_iter_next (&it, &key, NULL))
          g_hash_table_add (set, key);
      }
  char **names = _sx_sorted (set);
  for (char **n = names; *n != NULL; n++)
    _sx_add_change (out, path, *n,
                    a != NULL && a->unknown_values != NULL
                        ? g_hash_table_lookup (a->unknown_values, *n)
                        : NULL,
                    b != NULL && b->unknown_values != NULL
                        ? g_hash_table_lookup (b->unknown_values, *n)
                        : NULL);
  g_strfreev (names);
  g_hash_table_unref (set);
}

/* Differences between BEFORE and AFTER, sorted by path.  */
sx_changes
sx_diff (const sx_tree *before, const sx_tree *after)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (sx_change));
  GHashTable *set = g_hash_table_new (g_str_hash, g_str_equal);
  const sx_tree *both[] = { before, after };
  for (unsigned i = 0; i < 2; i++)
    {
      GHashTableIter it;
      gpointer key;
      g_hash_table_iter_init (&it, both[i]->levels);
      while (g_hash_table_iter_next (&it, &key, NULL))
        g_hash_table_add (set, key);
    }
  char **paths = _sx_sorted (set);
  g_hash_table_unref (set);
  for (char **p = paths; *p != NULL; p++)
    {
      const _sx_level *a = g_hash_table_lookup (before->levels, *p);
      const _sx_level *b = g_hash_table_lookup (after->levels, *p);
      if (a != b)
        _sx_diff_level (out, *p, a, b);
    }
  g_strfreev (paths);
  sx_changes changes = { NULL, out->len };
  changes.items = (sx_change *)(void *)g_array_free (out, FALSE);
  return changes;
}

/* Frees the items of CHANGES, which sx_diff returned.  */
void
sx_changes_free (sx_changes *changes)
{
  for (size_t i = 0; i < changes->count; i++)
    {
      g_free (changes->items[i].path);
      g_free (changes->items[i].key);
      g_free (changes->items[i].before);
      g_free (changes->items[i].after);
    }
  g_free (changes->items);
  *changes = (sx_changes){ NULL, 0 };
}

/* Node of the value of the dotted NAME in MAP; NULL when there is none.  */
static const sl_node *
_sx_find_node (const sl_node *map, const char *name)
{
  const sl_node *found = sl_get (map, name);
  const char *dot = strchr (name, '.');
  if (found != NULL || dot == NULL)
    return found;
  char *head = g_strndup (name, (size_t)(dot - name));
  found = _sx_find_node (sl_get (map, head), dot + 1);
  g_free (head);
  return found;
}

/* Reads the level PATH and the levels below it; NEXT is the first entry of
   _sx_level_names that may follow.  */
static void
_sx_load_level (sx_tree *tree, const sl_node *map, const sx_path *path,
                unsigned next, sl_report *report)
{
  const char *other_names[5] = { NULL };
  sk_value values[SX_KEYS];
  const sk_key *keys = sx_query_keys ();
  size_t before = sl_report_count (report);
  for (unsigned i = next; i < 4; i++)
    other_names[i - next] = _sx_level_names[i];
  sl_bind (map, keys, SX_KEYS, other_names, values, report);
  if (map->kind != SL_MAP)
    return;
  for (unsigned i = 0; i < SX_KEYS; i++)
    {
      er_error err = { 0 };
      if (!values[i].set)
        continue;
      if (!_sx_validate_key_level (&keys[i], path, &err))
        sl_report_add (report, _sx_find_node (map, keys[i].name), "%s",
                       err.message);
      else
        _sx_writable_level (tree, path)->values[i]
            = g_memdup2 (&values[i], sizeof values[i]);
    }
  if (sl_report_count (report) == before)
    {
      char text[SX_PATH_MAX];
      er_error err = { 0 };
      sx_path_print (path, text);
      _sx_level *level = g_hash_table_lookup (tree->levels, text);
      tree->masks |= level != NULL ? 1u << level->mask : 0;
      if (level != NULL && !_sx_validate_level (tree, level, &err))
        sl_report_add (report, map, "%s", err.message);
    }
  for (unsigned i = next; i < 4; i++)
    {
      const sl_node *group = sl_get (map, _sx_level_names[i]);
      if (group != NULL && group->kind != SL_MAP
          && (group->kind != SL_SCALAR || group->text.len > 0))
        sl_report_add (report, group,
                       "\"%s\" groups levels; write \"%s: {NAME: {key: "
                       "value}}\"",
                       _sx_level_names[i], _sx_level_names[i]);
      for (size_t j = 0;
           group != NULL && group->kind == SL_MAP && j < group->count; j++)
        {
          sx_path below = *path;
          er_error err = { 0 };
          if (!_sx_set_level (&below, i, group->names[j]->text, &err))
            sl_report_add (report, group->names[j], "%s", err.message);
          else
            _sx_load_level (tree, group->items[j], &below, i + 1, report);
        }
    }
}

/* Reads a complete tree from DOC.  NULL when problems were reported.  */
sx_tree *
sx_load_yaml (const sl_doc *doc, sl_report *report)
{
  sx_tree *tree = sx_make_empty ();
  size_t before = sl_report_count (report);
  er_error err = { 0 };
  _sx_load_level (tree, sl_root (doc), &_sx_root_path, 0, report);
  _sx_update_index (tree);
  if (sl_report_count (report) == before && !sx_validate (tree, &err))
    sl_report_add (report, NULL, "%s", err.message);
  if (sl_report_count (report) == before)
    return tree;
  sx_unref (tree);
  return NULL;
}

/* True when the path TEXT is at or below the path BELOW.  NULL, "" and "root"
   include all paths.  */
static bool
_sx_is_below (const char *text, const char *below)
{
  if (below == NULL || below[0] == 0 || strcmp (below, "root") == 0)
    return true;
  size_t len = strlen (below);
  return strncmp (text, below, len) == 0
         && (text[len] == 0 || text[len] == '/');
}

static void
_sx_emit_scalar (yaml_emitter_t *emitter, const char *text)
{
  yaml_event_t event;
  yaml_scalar_event_initialize (&event, NULL, NULL, (const yaml_char_t *)text,
                                (int)strlen (text), 1, 1,
                                YAML_ANY_SCALAR_STYLE);
  yaml_emitter_emit (emitter, &event);
}

static void
_sx_emit_map (yaml_emitter_t *emitter, bool start)
{
  yaml_event_t event;
  if (start)
    yaml_mapping_start_event_initialize (&event, NULL, NULL, 1,
                                         YAML_BLOCK_MAPPING_STYLE);
  else
    yaml_mapping_end_event_initialize (&event);
  yaml_emitter_emit (emitter, &event);
}

static int
_sx_write_yaml (void *user, unsigned char *bytes, size_t size)
{
  g_string_append_len (user, (const char *)bytes, (gssize)size);
  return 1;
}

/* Levels as a tree of nested names, for the YAML emitter.  */
typedef struct _sx_yaml_node _sx_yaml_node;
struct _sx_yaml_node
{
  const _sx_level *level;
  GTree *groups[4]; /* name -> _sx_yaml_node */
};

static void
_sx_free_yaml_node (gpointer data)
{
  _sx_yaml_node *node = data;
  for (unsigned i = 0; i < 4; i++)
    if (node->groups[i] != NULL)
      g_tree_unref (node->groups[i]);
  g_free (node);
}

static int
_sx_compare_names (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  return strcmp (a, b);
}

static _sx_yaml_node *
_sx_yaml_child (_sx_yaml_node *node, unsigned group, const char *name)
{
  if (node->groups[group] == NULL)
    node->groups[group] = g_tree_new_full (_sx_compare_names, NULL, g_free,
                                           _sx_free_yaml_node);
  _sx_yaml_node *child = g_tree_lookup (node->groups[group], name);
  if (child == NULL)
    {
      child = g_new0 (_sx_yaml_node, 1);
      g_tree_insert (node->groups[group], g_strdup (name), child);
    }
  return child;
}

static void _sx_emit_node (yaml_emitter_t *emitter, _sx_yaml_node *node);

static gboolean
_sx_emit_child (gpointer name, gpointer node, gpointer emitter)
{
  _sx_emit_scalar (emitter, name);
  _sx_emit_node (emitter, node);
  return FALSE;
}

static void
_sx_emit_node (yaml_emitter_t *emitter, _sx_yaml_node *node)
{
  const sk_key *keys = sx_query_keys ();
  char text[SK_TEXT_MAX];
  _sx_emit_map (emitter, true);
  for (unsigned i = 0; i < SX_KEYS && node->level != NULL; i++)
    if (node->level->values[i] != NULL)
      {
        sk_print (node->level->values[i], text);
        _sx_emit_scalar (emitter, keys[i].name);
        _sx_emit_scalar (emitter, text);
      }
  for (unsigned i = 0; i < 4; i++)
    if (node->groups[i] != NULL)
      {
        _sx_emit_scalar (emitter, _sx_level_names[i]);
        _sx_emit_map (emitter, true);
        g_tree_foreach (node->groups[i], _sx_emit_child, emitter);
        _sx_emit_map (emitter, false);
      }
  _sx_emit_map (emitter, false);
}

/* TREE, or the portion at and below the path BELOW, as YAML that sx_load_yaml
   reads.  The caller frees it with g_free.  */
char *
sx_print_yaml (const sx_tree *tree, const char *below)
{
  _sx_yaml_node *root = g_new0 (_sx_yaml_node, 1);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, tree->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const _sx_level *level = value;
      _sx_yaml_node *node = root;
      char tier[2] = { (char)('0' + level->path.tier), 0 };
      if (!_sx_is_below (level->text, below))
        continue;
      if (level->mask & _SX_TEAM)
        node = _sx_yaml_child (node, 0, level->path.team.text);
      if (level->mask & _SX_SERVICE)
        node = _sx_yaml_child (node, 1, level->path.service.text);
      if (level->mask & _SX_TIER)
        node = _sx_yaml_child (node, 2, tier);
      if (level->mask & _SX_VERSION)
        node = _sx_yaml_child (node, 3, level->path.version.text);
      node->level = level;
    }
  GString *out = g_string_new (NULL);
  yaml_emitter_t emitter;
  yaml_event_t event;
  yaml_emitter_initialize (&emitter);
  yaml_emitter_set_output (&emitter, _sx_write_yaml, out);
  yaml_stream_start_event_initialize (&event, YAML_UTF8_ENCODING);
  yaml_emitter_emit (&emitter, &event);
  yaml_document_start_event_initialize (&event, NULL, NULL, NULL, 1);
  yaml_emitter_emit (&emitter, &event);
  _sx_emit_node (&emitter, root);
  yaml_document_end_event_initialize (&event, 1);
  yaml_emitter_emit (&emitter, &event);
  yaml_stream_end_event_initialize (&event);
  yaml_emitter_emit (&emitter, &event);
  yaml_emitter_delete (&emitter);
  _sx_free_yaml_node (root);
  return g_string_free (out, FALSE);
}

static json_t *
_sx_level_to_json (const _sx_level *level)
{
  const sk_key *keys = sx_query_keys ();
  json_t *out = json_object ();
  for (unsigned i = 0; i < SX_KEYS; i++)
    if (level->values[i] != NULL)
      {
        char text[SK_TEXT_MAX];
        sk_print (level->values[i], text);
        json_object_set_new (out, keys[i].name, json_string (text));
      }
  if (level->unknown_values != NULL)
    {
      GHashTableIter it;
      gpointer key;
      gpointer value;
      g_hash_table_iter_init (&it, level->unknown_values);
      while (g_hash_table_iter_next (&it, &key, &value))
        json_object_set_new (out, key, json_string (value));
    }
  return out;
}

/* TREE, or the portion at and below the path BELOW, as
   {path: {key: text}}.  */
json_t *
sx_to_json (const sx_tree *tree, const char *below)
{
  json_t *out = json_object ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, tree->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const _sx_level *level = value;
      if (_sx_is_below (level->text, below))
        json_object_set_new (out, level->text, _sx_level_to_json (level));
    }
  return out;
}

/* Reads one level.  A key or value that this version does not support is
   stored unchanged and has no effect: VMs of two versions run at the same
   time during an upgrade.  */
static bool
_sx_level_from_json (sx_tree *tree, const char *path_text, const json_t *json,
                     er_error *err)
{
  sx_path path;
  const char *name;
  json_t *item;
  const sk_key *keys = sx_query_keys ();
  if (!sx_path_parse (st_from_cstr (path_text), &path, err))
    return false;
  if (!json_is_object (json))
    return er_set (err, ER_INVALID,
                   "%s is not a JSON object; write {key: "
                   "text}",
                   path_text);
  _sx_level *level = _sx_writable_level (tree, &path);
  json_object_foreach ((json_t *)json, name, item)
  {
    sx_key id;
    sk_value value;
    if (!json_is_string (item))
      return er_set (err, ER_INVALID,
                     "%s: %.64s is not a JSON string; write "
                     "the value as text",
                     path_text, name);
    st_str text = { json_string_value (item), json_string_length (item) };
    if (sx_find_key (st_from_cstr (name), &id, NULL)
        && sk_parse (&keys[id], text, &value, NULL)
        && _sx_validate_key_level (&keys[id], &path, NULL))
      {
        g_free (level->values[id]);
        level->values[id] = g_memdup2 (&value, sizeof value);
        continue;
      }
    if (level->unknown_values == NULL)
      level->unknown_values
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_replace (level->unknown_values, g_strdup (name),
                          g_strndup (text.ptr, text.len));
  }
  return true;
}

/* Reads the output of sx_to_json.  NULL with ERR when JSON has another
   form.  */
sx_tree *
sx_from_json (const json_t *json, er_error *err)
{
  sx_tree *tree = sx_make_empty ();
  const char *path;
  json_t *item;
  bool ok = json_is_object (json);
  if (!ok)
    er_set (err, ER_INVALID,
            "the settings are not a JSON object; write "
            "{path: {key: text}}");
  json_object_foreach ((json_t *)json, path, item) if (ok) ok
      = _sx_level_from_json (tree, path, item, err);
  if (ok)
    {
      _sx_update_index (tree);
      return tree;
    }
  sx_unref (tree);
  return NULL;
}

/* The store value of SUBTREE, LEN bytes; equal settings give equal bytes.  The
   caller frees it with g_free.  */
char *
sx_print_subtree (const sx_tree *tree, const char *subtree, size_t *len)
{
  json_t *out = json_object ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, tree->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const _sx_level *level = value;
      if (strcmp (level->subtree.text, subtree) == 0)
        json_object_set_new (out, level->text, _sx_level_to_json (level));
    }
  char *json = json_dumps (out, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (out);
  char *copy = g_strdup (json);
  free (json);
  *len = strlen (copy);
  return copy;
}

/* A new tree: TREE with SUBTREE replaced by the store value BYTES, or removed
   when BYTES is empty.  NULL with ERR when BYTES is not a value of this
   subtree.  */
sx_tree *
sx_with_subtree (const sx_tree *tree, const char *subtree, st_str bytes,
                 er_error *err)
{
  json_error_t json_err;
  json_t *json = bytes.len > 0
                     ? json_loadb (bytes.ptr, bytes.len, 0, &json_err)
                     : json_object ();
  if (json == NULL)
    {
      er_set (err, ER_INVALID,
              "settings value of %s is not JSON: %s; write "
              "the subtree again",
              subtree, json_err.text);
      return NULL;
    }
  sx_tree *replacement = sx_from_json (json, err);
  sx_tree *next = NULL;
  GHashTableIter it;
  gpointer value;
  json_decref (json);
  if (replacement == NULL)
    return NULL;
  g_hash_table_iter_init (&it, replacement->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (strcmp (((_sx_level *)value)->subtree.text, subtree) != 0)
      {
        er_set (
            err, ER_INVALID,
            "settings value of %s contains the path %s of another subtree; "
            "write the subtree again",
            subtree, ((_sx_level *)value)->text);
        goto out;
      }
  next = _sx_copy_tree (tree);
  g_hash_table_iter_init (&it, next->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (strcmp (((_sx_level *)value)->subtree.text, subtree) == 0)
      g_hash_table_iter_remove (&it);
  g_hash_table_iter_init (&it, replacement->levels);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      _sx_level *level = value;
      g_atomic_int_inc (&level->refs);
      g_hash_table_replace (next->levels, level->text, level);
    }
  _sx_update_index (next);
out:
  sx_unref (replacement);
  return next;
}

/* Content hash of a store value: 128 bits of BLAKE2b in hexadecimal.  */
void
sx_hash (st_str bytes, char out[33])
{
  unsigned char digest[16];
  crypto_generichash (digest, sizeof digest, (const unsigned char *)bytes.ptr,
                      bytes.len, NULL, 0);
  sodium_bin2hex (out, 33, digest, sizeof digest);
}
