#include "sl.h"

#include <errno.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

/* Further problems are not recorded; more would not help to fix the file.  */
#define _SL_PROBLEMS_MAX 100

struct sl_report
{
  char *file;
  GPtrArray *lines;
};

struct sl_doc
{
  GPtrArray *nodes; /* owns all nodes */
  sl_node *root;
};

/* Makes an empty report about FILE, the prefix of each problem.  */
sl_report *
sl_report_make (const char *file)
{
  sl_report *report = g_new0 (sl_report, 1);
  report->file = g_strdup (file);
  report->lines = g_ptr_array_new_with_free_func (g_free);
  return report;
}

/* Frees REPORT, which may be NULL.  */
void
sl_report_destroy (sl_report *report)
{
  if (report == NULL)
    return;
  g_ptr_array_unref (report->lines);
  g_free (report->file);
  g_free (report);
}

/* Replaces control characters, so that each problem stays on one line.  */
static void
_sl_make_printable (char *text)
{
  for (char *c = text; *c != 0; c++)
    if (g_ascii_iscntrl (*c))
      *c = '?';
}

static void
_sl_report_at (sl_report *report, unsigned line, unsigned column,
               const char *text)
{
  if (report->lines->len >= _SL_PROBLEMS_MAX)
    return;
  char *problem
      = g_strdup_printf ("%s:%u:%u: %s", report->file, line, column, text);
  _sl_make_printable (problem);
  g_ptr_array_add (report->lines, problem);
}

/* Adds a problem at NODE; NULL means the start of the file.  */
void
sl_report_add (sl_report *report, const sl_node *node, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  _sl_report_at (report, node != NULL ? node->line : 1,
                 node != NULL ? node->column : 1, text);
  g_free (text);
}

/* Number of problems.  */
size_t
sl_report_count (const sl_report *report)
{
  return report->lines->len;
}

/* Problem INDEX as FILE:LINE:COLUMN: text.  */
const char *
sl_report_text (const sl_report *report, size_t index)
{
  return g_ptr_array_index (report->lines, index);
}

/* Sets ERR to the problems, one per line, as many as fit.  True when there
   are none.  */
bool
sl_report_error (const sl_report *report, er_error *err)
{
  if (report->lines->len == 0)
    return true;
  GString *all = g_string_new (NULL);
  for (unsigned i = 0; i < report->lines->len; i++)
    {
      const char *line = g_ptr_array_index (report->lines, i);
      if (i > 0 && all->len + strlen (line) + 32 > ER_MESSAGE_MAX)
        {
          g_string_append_printf (all, "\nand %u more",
                                  report->lines->len - i);
          break;
        }
      g_string_append_printf (all, "%s%s", i > 0 ? "\n" : "", line);
    }
  er_set (err, ER_INVALID, "%s", all->str);
  g_string_free (all, TRUE);
  return false;
}

static void
_sl_free_node (gpointer data)
{
  sl_node *node = data;
  g_free ((char *)node->text.ptr);
  g_free (node->names);
  g_free (node->items);
  g_free (node);
}

static sl_node *
_sl_make_node (sl_doc *doc, sl_kind kind, const yaml_mark_t *mark)
{
  sl_node *node = g_new0 (sl_node, 1);
  node->kind = kind;
  node->line = (unsigned)mark->line + 1;
  node->column = (unsigned)mark->column + 1;
  g_ptr_array_add (doc->nodes, node);
  return node;
}

static bool
_sl_next_event (yaml_parser_t *parser, yaml_event_t *event, sl_report *report)
{
  if (yaml_parser_parse (parser, event))
    return true;
  const yaml_mark_t *mark = &parser->problem_mark;
  char *text = g_strdup_printf (
      "not valid YAML: %s%s%s; check the indentation, quotes and colons here",
      parser->problem != NULL ? parser->problem : "unreadable",
      parser->context != NULL ? " " : "",
      parser->context != NULL ? parser->context : "");
  _sl_report_at (report, (unsigned)mark->line + 1, (unsigned)mark->column + 1,
                 text);
  g_free (text);
  return false;
}

/* Reports an anchor or a tag; true when there is neither.  */
static bool
_sl_validate_no_anchor_or_tag (const sl_node *node, const yaml_char_t *anchor,
                               const yaml_char_t *tag, sl_report *report)
{
  if (anchor != NULL)
    sl_report_add (report, node,
                   "anchors (&) are not supported; write the value out");
  else if (tag != NULL)
    sl_report_add (report, node, "tags (!) are not supported; remove the tag");
  return anchor == NULL && tag == NULL;
}

static void
_sl_validate_unique (const sl_node *map, sl_report *report)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < map->count; i++)
    {
      sl_node *name = map->names[i];
      sl_node *first = g_hash_table_lookup (seen, name->text.ptr);
      if (first != NULL)
        sl_report_add (report, name,
                       "duplicate key \"%.*s\", first given in line %u; "
                       "remove one of them",
                       ST_FMT (name->text), first->line);
      else
        g_hash_table_insert (seen, (char *)name->text.ptr, name);
    }
  g_hash_table_unref (seen);
}

static sl_node *_sl_read_node (sl_doc *doc, yaml_parser_t *parser,
                               yaml_event_t *event, unsigned depth,
                               sl_report *report);

/* Reads the children of a map or list up to its end event.  */
static bool
_sl_read_children (sl_doc *doc, yaml_parser_t *parser, sl_node *parent,
                   unsigned depth, sl_report *report)
{
  GPtrArray *names = g_ptr_array_new ();
  GPtrArray *items = g_ptr_array_new ();
  bool ok = false;
  for (;;)
    {
      yaml_event_t event;
      if (!_sl_next_event (parser, &event, report))
        break;
      if (event.type == YAML_MAPPING_END_EVENT
          || event.type == YAML_SEQUENCE_END_EVENT)
        {
          yaml_event_delete (&event);
          ok = true;
          break;
        }
      sl_node *node = _sl_read_node (doc, parser, &event, depth, report);
      if (node == NULL)
        break;
      if (parent->kind == SL_MAP && names->len == items->len)
        {
          if (node->kind != SL_SCALAR || strlen (node->text.ptr) == 0
              || strlen (node->text.ptr) != node->text.len)
            {
              sl_report_add (report, node,
                             "a key must be a plain word; write \"key: "
                             "value\"");
              break;
            }
          g_ptr_array_add (names, node);
        }
      else
        g_ptr_array_add (items, node);
    }
  parent->count = items->len;
  parent->items = (sl_node **)g_ptr_array_free (items, FALSE);
  parent->names = (sl_node **)g_ptr_array_free (names, FALSE);
  if (ok && parent->kind == SL_MAP)
    _sl_validate_unique (parent, report);
  return ok;
}

/* Reads the node that starts with EVENT and deletes EVENT.  NULL after a
   problem that stops parsing.  */
static sl_node *
_sl_read_node (sl_doc *doc, yaml_parser_t *parser, yaml_event_t *event,
               unsigned depth, sl_report *report)
{
  sl_node *node = NULL;
  bool ok = true;
  if (depth > SL_DEPTH_MAX)
    {
      char text[96];
      g_snprintf (text, sizeof text,
                  "nested more than %d levels deep; flatten the file",
                  SL_DEPTH_MAX);
      _sl_report_at (report, (unsigned)event->start_mark.line + 1,
                     (unsigned)event->start_mark.column + 1, text);
      yaml_event_delete (event);
      return NULL;
    }
  switch (event->type)
    {
    case YAML_SCALAR_EVENT:
      node = _sl_make_node (doc, SL_SCALAR, &event->start_mark);
      node->text.len = event->data.scalar.length;
      char *copy = g_malloc (node->text.len + 1);
      memcpy (copy, event->data.scalar.value, node->text.len);
      copy[node->text.len] = 0;
      node->text.ptr = copy;
      ok = _sl_validate_no_anchor_or_tag (node, event->data.scalar.anchor,
                                          event->data.scalar.tag, report);
      break;
    case YAML_MAPPING_START_EVENT:
      node = _sl_make_node (doc, SL_MAP, &event->start_mark);
      ok = _sl_validate_no_anchor_or_tag (
               node, event->data.mapping_start.anchor,
               event->data.mapping_start.tag, report)
           && _sl_read_children (doc, parser, node, depth + 1, report);
      break;
    case YAML_SEQUENCE_START_EVENT:
      node = _sl_make_node (doc, SL_LIST, &event->start_mark);
      ok = _sl_validate_no_anchor_or_tag (
               node, event->data.sequence_start.anchor,
               event->data.sequence_start.tag, report)
           && _sl_read_children (doc, parser, node, depth + 1, report);
      break;
    default:
      _sl_report_at (report, (unsigned)event->start_mark.line + 1,
                     (unsigned)event->start_mark.column + 1,
                     "aliases (*) are not supported; write the value out");
      ok = false;
    }
  yaml_event_delete (event);
  return ok ? node : NULL;
}

/* Reads the only document of the stream.  An empty stream is an empty
   mapping.  */
static bool
_sl_read_stream (sl_doc *doc, yaml_parser_t *parser, sl_report *report)
{
  for (;;)
    {
      yaml_event_t event;
      if (!_sl_next_event (parser, &event, report))
        return false;
      yaml_event_type_t type = event.type;
      if (type == YAML_STREAM_START_EVENT || type == YAML_DOCUMENT_END_EVENT)
        {
          yaml_event_delete (&event);
          continue;
        }
      if (type == YAML_STREAM_END_EVENT)
        {
          if (doc->root == NULL)
            doc->root = _sl_make_node (doc, SL_MAP, &event.start_mark);
          yaml_event_delete (&event);
          return true;
        }
      if (type == YAML_DOCUMENT_START_EVENT)
        {
          bool is_second = doc->root != NULL;
          if (is_second)
            _sl_report_at (report, (unsigned)event.start_mark.line + 1,
                           (unsigned)event.start_mark.column + 1,
                           "a second document starts; a file may have only "
                           "one document, remove this one");
          yaml_event_delete (&event);
          if (is_second)
            return false;
          continue;
        }
      doc->root = _sl_read_node (doc, parser, &event, 0, report);
      if (doc->root == NULL)
        return false;
    }
}

/* Parses TEXT.  NULL when problems were reported.  */
sl_doc *
sl_parse (st_str text, sl_report *report)
{
  yaml_parser_t parser;
  unsigned before = report->lines->len;
  if (text.len > SL_FILE_MAX_BYTES)
    {
      sl_report_add (report, NULL,
                     "the file has %zu bytes, more than the limit of %d; "
                     "split it",
                     text.len, SL_FILE_MAX_BYTES);
      return NULL;
    }
  if (!yaml_parser_initialize (&parser))
    {
      sl_report_add (report, NULL, "out of memory; try again");
      return NULL;
    }
  yaml_parser_set_encoding (&parser, YAML_UTF8_ENCODING);
  yaml_parser_set_input_string (&parser, (const unsigned char *)text.ptr,
                                text.len);
  sl_doc *doc = g_new0 (sl_doc, 1);
  doc->nodes = g_ptr_array_new_with_free_func (_sl_free_node);
  bool ok = _sl_read_stream (doc, &parser, report);
  yaml_parser_delete (&parser);
  if (ok && doc->root->kind != SL_MAP)
    sl_report_add (report, doc->root,
                   "the file is not a mapping; write \"key: value\" lines");
  if (!ok || report->lines->len > before)
    {
      sl_destroy (doc);
      return NULL;
    }
  return doc;
}

/* Reads and parses the file PATH.  NULL when problems were reported.  */
sl_doc *
sl_load (const char *path, sl_report *report)
{
  FILE *file = fopen (path, "rb");
  if (file == NULL)
    {
      sl_report_add (report, NULL,
                     "cannot be opened: %s; check the path and "
                     "its permissions",
                     g_strerror (errno));
      return NULL;
    }
  char *text = g_malloc (SL_FILE_MAX_BYTES + 1);
  size_t len = fread (text, 1, SL_FILE_MAX_BYTES + 1, file);
  sl_doc *doc = NULL;
  if (ferror (file))
    sl_report_add (report, NULL, "cannot be read; check that it is a file");
  else
    doc = sl_parse ((st_str){ text, len }, report);
  fclose (file);
  g_free (text);
  return doc;
}

/* Frees DOC, which may be NULL, and its nodes.  */
void
sl_destroy (sl_doc *doc)
{
  if (doc == NULL)
    return;
  g_ptr_array_unref (doc->nodes);
  g_free (doc);
}

/* The root mapping of DOC.  */
const sl_node *
sl_root (const sl_doc *doc)
{
  return doc->root;
}

/* The value of NAME in MAP; NULL when MAP is NULL, is not a mapping, or
   has no such key.  */
const sl_node *
sl_get (const sl_node *map, const char *name)
{
  if (map == NULL || map->kind != SL_MAP)
    return NULL;
  for (size_t i = 0; i < map->count; i++)
    if (st_equal_cstr (map->names[i]->text, name))
      return map->items[i];
  return NULL;
}

typedef struct
{
  const sk_key *keys;
  size_t key_count;
  const char *const *other_names;
  sk_value *values;
  sl_report *report;
} _sl_binding;

/* True when a key of the table starts with NAME and a dot.  */
static bool
_sl_is_key_prefix (const _sl_binding *b, const char *name)
{
  size_t len = strlen (name);
  for (size_t i = 0; i < b->key_count; i++)
    if (strncmp (b->keys[i].name, name, len) == 0
        && b->keys[i].name[len] == '.')
      return true;
  return false;
}

static void
_sl_report_unknown (const _sl_binding *b, const sl_node *at, const char *name)
{
  GPtrArray *names = g_ptr_array_new ();
  for (size_t i = 0; i < b->key_count; i++)
    g_ptr_array_add (names, (char *)b->keys[i].name);
  for (size_t i = 0; b->other_names != NULL && b->other_names[i] != NULL; i++)
    g_ptr_array_add (names, (char *)b->other_names[i]);
  const char *near = sk_nearest ((const char *const *)names->pdata, names->len,
                                 st_from_cstr (name));
  if (near != NULL)
    sl_report_add (b->report, at, "unknown key \"%s\"; did you mean \"%s\"?",
                   name, near);
  else
    sl_report_add (b->report, at,
                   "unknown key \"%s\"; remove it or see the reference for "
                   "the known keys",
                   name);
  g_ptr_array_unref (names);
}

static void
_sl_bind_value (const _sl_binding *b, const sk_key *key, const sl_node *name,
                const sl_node *item)
{
  sk_value *value = &b->values[key - b->keys];
  er_error err = { 0 };
  if (item->kind != SL_SCALAR)
    sl_report_add (b->report, item,
                   "%s: a %s where one value (%s) is "
                   "expected; write \"%s: %s\"",
                   key->name, item->kind == SL_MAP ? "mapping" : "list",
                   sk_type_name (key->type), key->name,
                   key->default_text != NULL ? key->default_text : "...");
  else if (value->set)
    sl_report_add (b->report, name,
                   "duplicate key \"%s\", given both nested "
                   "and dotted; remove one of them",
                   key->name);
  else if (!sk_parse (key, item->text, value, &err))
    sl_report_add (b->report, item, "%s: %s", key->name, err.message);
}

static void
_sl_bind_map (const _sl_binding *b, const char *prefix, const sl_node *map)
{
  for (size_t i = 0; i < map->count; i++)
    {
      const sl_node *item = map->items[i];
      char *name = g_strconcat (prefix, map->names[i]->text.ptr, NULL);
      const sk_key *key = sk_find (b->keys, b->key_count, st_from_cstr (name));
      bool is_other_name = false;
      for (size_t j = 0; b->other_names != NULL && b->other_names[j] != NULL;
           j++)
        is_other_name = is_other_name || strcmp (b->other_names[j], name) == 0;
      if (is_other_name)
        ;
      else if (key != NULL)
        _sl_bind_value (b, key, map->names[i], item);
      else if (!_sl_is_key_prefix (b, name))
        _sl_report_unknown (b, map->names[i], name);
      else if (item->kind == SL_MAP)
        {
          char *inner = g_strconcat (name, ".", NULL);
          _sl_bind_map (b, inner, item);
          g_free (inner);
        }
      else if (item->kind != SL_SCALAR || item->text.len > 0)
        sl_report_add (b->report, item,
                       "\"%s\" is a group of keys; write a "
                       "mapping below it",
                       name);
      g_free (name);
    }
}

/* Reads MAP into VALUES by the table KEYS; values[i] belongs to keys[i], and
   its member set is true when the file has the key.  OTHER_NAMES lists
   further names, which the caller reads itself (NULL-terminated, or NULL for
   none).  Reports unknown keys, wrong types, ranges and units.  */
void
sl_bind (const sl_node *map, const sk_key *keys, size_t key_count,
         const char *const *other_names, sk_value *values, sl_report *report)
{
  _sl_binding b = { keys, key_count, other_names, values, report };
  for (size_t i = 0; i < key_count; i++)
    values[i] = (sk_value){ .type = keys[i].type };
  if (map->kind != SL_MAP)
    sl_report_add (report, map,
                   "a mapping is expected; write \"key: value\" "
                   "lines");
  else
    _sl_bind_map (&b, "", map);
}
