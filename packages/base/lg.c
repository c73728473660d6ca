#define G_LOG_DOMAIN "dotterelbend"
#include "lg.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static struct
{
  bool json;
  char vm[64];
  int threshold; /* rank of the lowest level written */
} _lg = { .threshold = 1 };

static const char *const _lg_names[] = { "info", "debug", "warning", "error" };
static const int _lg_ranks[] = { 1, 0, 2, 3 };

static GLogLevelFlags
_lg_glib_level (lg_level level)
{
  switch (level)
    {
    case LG_DEBUG:
      return G_LOG_LEVEL_DEBUG;
    case LG_INFO:
      return G_LOG_LEVEL_INFO;
    case LG_WARNING:
      return G_LOG_LEVEL_WARNING;
    case LG_ERROR:
      return G_LOG_LEVEL_CRITICAL;
    }
  return G_LOG_LEVEL_INFO;
}

static const char *
_lg_level_name (GLogLevelFlags level)
{
  if (level & G_LOG_LEVEL_DEBUG)
    return "debug";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR))
    return "error";
  return "info";
}

static void
_lg_append_json (GString *out, const char *key, const char *value)
{
  g_string_append_printf (out, "%s\"%s\":\"", out->len > 1 ? "," : "", key);
  for (const char *c = value; *c != 0; c++)
    {
      if (*c == '"' || *c == '\\')
        g_string_append_printf (out, "\\%c", *c);
      else if ((unsigned char)*c < 0x20)
        g_string_append_printf (out, "\\u%04x", (unsigned char)*c);
      else
        g_string_append_c (out, *c);
    }
  g_string_append_c (out, '"');
}

static const char *
_lg_field (const GLogField *fields, gsize count, const char *key)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, key) == 0)
      return fields[i].value;
  return "";
}

static GLogWriterOutput
_lg_write (GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer user)
{
  (void)user;
  const char *message = _lg_field (fields, count, "MESSAGE");
  const char *request = _lg_field (fields, count, "REQUEST_ID");
  GDateTime *now = g_date_time_new_now_utc ();
  char *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  GString *line = g_string_new (NULL);
  if (_lg.json)
    {
      g_string_append_c (line, '{');
      _lg_append_json (line, "time", time);
      _lg_append_json (line, "level", _lg_level_name (level));
      if (_lg.vm[0] != 0)
        _lg_append_json (line, "vm", _lg.vm);
      if (request[0] != 0)
        _lg_append_json (line, "request_id", request);
      _lg_append_json (line, "message", message);
      g_string_append (line, "}\n");
    }
  else
    {
      g_string_append_printf (line, "%s %s %s%s", time, _lg_level_name (level),
                              _lg.vm, _lg.vm[0] != 0 ? " " : "");
      if (request[0] != 0)
        g_string_append_printf (line, "[%s] ", request);
      g_string_append_printf (line, "%s\n", message);
    }
  fwrite (line->str, 1, line->len, stderr);
  g_string_free (line, TRUE);
  g_free (time);
  g_date_time_unref (now);
  return G_LOG_WRITER_HANDLED;
}

/* Installs the log writer.  Call once, before threads start.  */
void
lg_setup (const lg_desc *desc)
{
  _lg.json = desc->json;
  _lg.threshold = _lg_ranks[desc->level];
  g_strlcpy (_lg.vm, desc->vm != NULL ? desc->vm : "", sizeof _lg.vm);
  g_log_set_writer_func (_lg_write, NULL, NULL);
}

/* Sets the lowest level written: debug, info, warning or error.  False on
   another name.  */
bool
lg_set_level (const char *name)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (_lg_names); i++)
    if (strcmp (name, _lg_names[i]) == 0)
      {
        g_atomic_int_set (&_lg.threshold, _lg_ranks[i]);
        return true;
      }
  return false;
}

/* Name of the lowest level written.  */
const char *
lg_query_level (void)
{
  int rank = g_atomic_int_get (&_lg.threshold);
  for (unsigned i = 0; i < G_N_ELEMENTS (_lg_names); i++)
    if (_lg_ranks[i] == rank)
      return _lg_names[i];
  return "info";
}

/* Writes one record.  REQUEST_ID "" or NULL leaves that field out.  */
void
lg_log (lg_level level, const char *request_id, const char *format, ...)
{
  if (_lg_ranks[level] < g_atomic_int_get (&_lg.threshold))
    return;
  char message[1024];
  va_list args;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  GLogField fields[] = {
    { "MESSAGE", message, -1 },
    { "REQUEST_ID", request_id != NULL ? request_id : "", -1 },
    { "GLIB_DOMAIN", G_LOG_DOMAIN, -1 },
  };
  g_log_structured_array (_lg_glib_level (level), fields,
                          G_N_ELEMENTS (fields));
}
