#include "sk.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Longest text of a value in bytes.  */
#define _SK_VALUE_MAX 63

/* Name of TYPE as printed in the reference.  */
const char *
sk_type_name (sk_type type)
{
  switch (type)
    {
    case SK_INT:
      return "integer";
    case SK_BOOL:
      return "true or false";
    case SK_DECIMAL:
      return "number";
    case SK_NAME:
      return "name";
    case SK_CHOICE:
      return "choice";
    case SK_ADDRESS:
      return "IP:PORT";
    case SK_TIME:
      return "time";
    }
  return "";
}

/* Name of UNIT as printed in the reference; "" for none.  */
const char *
sk_unit_name (sk_unit unit)
{
  switch (unit)
    {
    case SK_UNIT_NONE:
      return "";
    case SK_UNIT_MS:
      return "ms";
    case SK_UNIT_BYTES:
      return "bytes";
    case SK_UNIT_PERCENT:
      return "%";
    case SK_UNIT_REQUESTS_PER_S:
      return "requests/s";
    case SK_UNIT_TOKENS_PER_S:
      return "tokens/s";
    case SK_UNIT_TOKENS:
      return "tokens";
    case SK_UNIT_MBIT_PER_S:
      return "Mbit/s";
    case SK_UNIT_PRICE_PER_GB:
      return "price/GB";
    }
  return "";
}

/* Finds the key NAME; NULL when there is none.  */
const sk_key *
sk_find (const sk_key *keys, size_t count, st_str name)
{
  for (size_t i = 0; i < count; i++)
    if (st_equal_cstr (name, keys[i].name))
      return &keys[i];
  return NULL;
}

/* Edit distance of A and B, both truncated to 64 bytes.  */
static size_t
_sk_distance (st_str a, st_str b)
{
  size_t row[65];
  a = st_slice (a, 0, 64);
  b = st_slice (b, 0, 64);
  for (size_t j = 0; j <= b.len; j++)
    row[j] = j;
  for (size_t i = 1; i <= a.len; i++)
    {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= b.len; j++)
        {
          size_t above = row[j];
          size_t best = diagonal + (a.ptr[i - 1] != b.ptr[j - 1]);
          best = MIN (best, above + 1);
          best = MIN (best, row[j - 1] + 1);
          diagonal = above;
          row[j] = best;
        }
    }
  return row[b.len];
}

/* The name in NAMES that is closest to NAME by edit distance; NULL when the
   distance exceeds 2 and a third of the length of NAME.  */
const char *
sk_nearest (const char *const *names, size_t count, st_str name)
{
  const char *best = NULL;
  size_t best_distance = MAX (2, name.len / 3) + 1;
  for (size_t i = 0; i < count; i++)
    {
      size_t d = _sk_distance (name, st_from_cstr (names[i]));
      if (d < best_distance)
        {
          best = names[i];
          best_distance = d;
        }
    }
  return best;
}

/* True when NAME is valid for a VM, team, service or version.  */
bool
sk_name_valid (st_str name)
{
  if (name.len == 0 || name.len > ST_NAME_MAX)
    return false;
  for (size_t i = 0; i < name.len; i++)
    {
      char c = name.ptr[i];
      if (!g_ascii_isalnum (c) && c != '.' && c != '_' && c != '-')
        return false;
    }
  return true;
}

/* Splits IP:PORT (an IPv6 address in brackets).  False when TEXT is not one;
   host names are refused because they are never resolved.  */
bool
sk_address_split (st_str text, st_name *host, uint16_t *port)
{
  size_t colon = text.len;
  while (colon > 0 && text.ptr[colon - 1] != ':')
    colon--;
  uint64_t number = 0;
  if (colon == 0 || !st_parse_u64 (st_slice (text, colon, text.len), &number)
      || number > 65535)
    return false;
  st_str ip = st_slice (text, 0, colon - 1);
  bool v6 = ip.len > 2 && ip.ptr[0] == '[' && ip.ptr[ip.len - 1] == ']';
  if (v6)
    ip = st_slice (ip, 1, ip.len - 1);
  unsigned char parsed[sizeof (struct in6_addr)];
  st_name name;
  if (!st_name_set (&name, ip)
      || inet_pton (v6 ? AF_INET6 : AF_INET, name.text, parsed) != 1)
    return false;
  *host = name;
  *port = (uint16_t)number;
  return true;
}

static const struct
{
  sk_unit unit;
  const char *suffix;
  double factor;
} _sk_suffixes[] = {
  { SK_UNIT_MS, "ms", 1 },
  { SK_UNIT_MS, "s", 1000 },
  { SK_UNIT_MS, "min", 60000 },
  { SK_UNIT_MS, "h", 3600000 },
  { SK_UNIT_BYTES, "B", 1 },
  { SK_UNIT_BYTES, "KB", 1000 },
  { SK_UNIT_BYTES, "MB", 1000000 },
  { SK_UNIT_BYTES, "KiB", 1024 },
  { SK_UNIT_BYTES, "MiB", 1048576 },
  { SK_UNIT_BYTES, "GiB", 1073741824 },
  { SK_UNIT_PERCENT, "%", 1 },
  { SK_UNIT_REQUESTS_PER_S, "/s", 1 },
  { SK_UNIT_REQUESTS_PER_S, "/min", 1.0 / 60 },
  { SK_UNIT_TOKENS_PER_S, "/s", 1 },
  { SK_UNIT_TOKENS_PER_S, "k/s", 1000 },
  { SK_UNIT_TOKENS, "k", 1000 },
  { SK_UNIT_MBIT_PER_S, "Mbit/s", 1 },
  { SK_UNIT_MBIT_PER_S, "Gbit/s", 1000 },
};

/* Writes the suffixes of UNIT to OUT, separated by commas.  */
static void
_sk_list_suffixes (sk_unit unit, char *out, size_t size)
{
  out[0] = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (_sk_suffixes); i++)
    if (_sk_suffixes[i].unit == unit)
      {
        if (out[0] != 0)
          g_strlcat (out, ", ", size);
        g_strlcat (out, _sk_suffixes[i].suffix, size);
      }
}

static bool
_sk_parse_number (const sk_key *key, const char *text, sk_value *out,
                  er_error *err)
{
  /* g_ascii_strtod also takes hexadecimal, "inf" and "nan".  */
  size_t digits = strspn (text, "+-0123456789.");
  char *end = NULL;
  double factor = 1;
  double value = 0;
  char digits_text[_SK_VALUE_MAX + 1];
  memcpy (digits_text, text, digits);
  digits_text[digits] = 0;
  if (digits > 0)
    value = g_ascii_strtod (digits_text, &end);
  if (digits == 0 || end == digits_text || *end != 0)
    return er_set (err, ER_INVALID,
                   "\"%s\" is not %s %s; write for instance "
                   "%s",
                   text, key->type == SK_INT ? "an" : "a",
                   sk_type_name (key->type),
                   key->default_text != NULL ? key->default_text : "1");
  const char *suffix = text + digits;
  while (*suffix == ' ')
    suffix++;
  if (*suffix != 0)
    {
      bool known = false;
      for (size_t i = 0; i < G_N_ELEMENTS (_sk_suffixes) && !known; i++)
        if (_sk_suffixes[i].unit == key->unit
            && strcmp (_sk_suffixes[i].suffix, suffix) == 0)
          {
            factor = _sk_suffixes[i].factor;
            known = true;
          }
      char list[64];
      _sk_list_suffixes (key->unit, list, sizeof list);
      if (!known && list[0] == 0)
        return er_set (err, ER_INVALID,
                       "\"%s\" has the unit \"%s\", but the key has no "
                       "unit; write the number only",
                       text, suffix);
      if (!known)
        return er_set (err, ER_INVALID,
                       "unknown unit \"%s\"; write the number only (%s) or "
                       "one of %s",
                       suffix, sk_unit_name (key->unit), list);
    }
  value *= factor;
  if (key->type == SK_INT && fabs (value - rint (value)) > 1e-9)
    return er_set (
        err, ER_INVALID,
        "\"%s\" is not a whole number of %s; "
        "round it",
        text, key->unit != SK_UNIT_NONE ? sk_unit_name (key->unit) : "units");
  if (value < (double)key->min || value > (double)key->max)
    return er_set (err, ER_INVALID,
                   "%s is out of range; write a value from %" PRId64
                   " to %" PRId64 "%s%s",
                   text, key->min, key->max,
                   key->unit != SK_UNIT_NONE ? " " : "",
                   sk_unit_name (key->unit));
  out->decimal = value;
  out->number = key->type == SK_INT ? (int64_t)rint (value) : 0;
  return true;
}

static bool
_sk_parse_choice (const sk_key *key, st_str text, er_error *err)
{
  char **words = g_strsplit (key->choices, " ", -1);
  bool found = false;
  for (char **w = words; *w != NULL; w++)
    found = found || st_equal_cstr (text, *w);
  if (!found)
    {
      const char *near = sk_nearest ((const char *const *)words,
                                     g_strv_length (words), text);
      char *list = g_strjoinv (", ", words);
      er_set (err, ER_INVALID, "\"%.*s\" is not one of %s%s%s%s",
              ST_FMT (text), list, near != NULL ? "; did you mean \"" : "",
              near != NULL ? near : "", near != NULL ? "\"?" : "");
      g_free (list);
    }
  g_strfreev (words);
  return found;
}

static bool
_sk_parse_time (const char *text, sk_value *out, er_error *err)
{
  if (text[0] == 0 || strcmp (text, "none") == 0)
    return true;
  GDateTime *t = g_date_time_new_from_iso8601 (text, NULL);
  if (t == NULL)
    return er_set (err, ER_INVALID,
                   "\"%s\" is not a time with a zone; write for instance "
                   "2026-03-01T18:00:00Z, or none",
                   text);
  out->number = g_date_time_to_unix (t) * 1000
                + g_date_time_get_microsecond (t) / 1000;
  g_date_time_unref (t);
  if (out->number <= 0)
    return er_set (err, ER_INVALID,
                   "\"%s\" is before 1970; write a later "
                   "time, or none",
                   text);
  return true;
}

/* Parses TEXT as a value of KEY.  ERR states the problem and a suggested fix;
   it names neither file nor key.  */
bool
sk_parse (const sk_key *key, st_str text, sk_value *out, er_error *err)
{
  sk_value value = { .type = key->type, .set = true };
  char cstr[_SK_VALUE_MAX + 1];
  if (text.len > _SK_VALUE_MAX)
    return er_set (err, ER_INVALID,
                   "the value has %zu bytes; write at most "
                   "%d",
                   text.len, _SK_VALUE_MAX);
  if (text.len > 0 && memchr (text.ptr, 0, text.len) != NULL)
    return er_set (err, ER_INVALID,
                   "the value contains a zero byte; remove "
                   "it");
  if (text.len > 0)
    memcpy (cstr, text.ptr, text.len);
  cstr[text.len] = 0;
  switch (key->type)
    {
    case SK_INT:
    case SK_DECIMAL:
      if (!_sk_parse_number (key, cstr, &value, err))
        return false;
      break;
    case SK_BOOL:
      if (strcmp (cstr, "true") != 0 && strcmp (cstr, "false") != 0)
        return er_set (err, ER_INVALID,
                       "\"%s\" is not true or false; write "
                       "one of the two",
                       cstr);
      value.number = cstr[0] == 't';
      break;
    case SK_NAME:
      if (text.len > 0 && !sk_name_valid (text))
        return er_set (err, ER_INVALID,
                       "\"%s\" is not a name; use letters, "
                       "digits and . _ - only",
                       cstr);
      st_name_set (&value.text, text);
      break;
    case SK_CHOICE:
      if (!_sk_parse_choice (key, text, err))
        return false;
      st_name_set (&value.text, text);
      break;
    case SK_ADDRESS:
      {
        st_name host;
        uint16_t port;
        if (!sk_address_split (text, &host, &port) || port < key->min)
          return er_set (err, ER_INVALID,
                         "\"%s\" is not an address; write "
                         "IP:PORT, for instance 127.0.0.1:7000",
                         cstr);
        st_name_set (&value.text, text);
        break;
      }
    case SK_TIME:
      if (!_sk_parse_time (cstr, &value, err))
        return false;
      break;
    }
  *out = value;
  return true;
}

/* Prints VALUE in the form that sk_parse accepts.  */
void
sk_print (const sk_value *value, char out[SK_TEXT_MAX])
{
  switch (value->type)
    {
    case SK_INT:
      g_snprintf (out, SK_TEXT_MAX, "%" PRId64, value->number);
      return;
    case SK_BOOL:
      g_strlcpy (out, value->number != 0 ? "true" : "false", SK_TEXT_MAX);
      return;
    case SK_DECIMAL:
      {
        /* Six decimals without trailing zeros.  */
        g_ascii_formatd (out, SK_TEXT_MAX, "%.6f", value->decimal);
        size_t len = strlen (out);
        while (len > 0 && out[len - 1] == '0')
          out[--len] = 0;
        if (len > 0 && out[len - 1] == '.')
          out[--len] = 0;
        return;
      }
    case SK_NAME:
    case SK_CHOICE:
    case SK_ADDRESS:
      g_strlcpy (out, value->text.text, SK_TEXT_MAX);
      return;
    case SK_TIME:
      {
        if (value->number == 0)
          {
            g_strlcpy (out, "none", SK_TEXT_MAX);
            return;
          }
        GDateTime *t = g_date_time_new_from_unix_utc (value->number / 1000);
        char *text = t != NULL ? g_date_time_format (t, "%Y-%m-%dT%H:%M:%S")
                               : g_strdup ("");
        g_snprintf (out, SK_TEXT_MAX, "%s.%03dZ", text,
                    (int)(value->number % 1000));
        g_free (text);
        if (t != NULL)
          g_date_time_unref (t);
        return;
      }
    }
}

/* True when A and B have the same type and the same printed form.  */
bool
sk_equal (const sk_value *a, const sk_value *b)
{
  char left[SK_TEXT_MAX];
  char right[SK_TEXT_MAX];
  if (a->type != b->type || a->set != b->set)
    return false;
  sk_print (a, left);
  sk_print (b, right);
  return strcmp (left, right) == 0;
}
