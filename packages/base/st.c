#include "st.h"

#include <string.h>
#include <xxhash.h>

/* Views a zero-terminated string; NULL gives the empty string.  */
st_str
st_from_cstr (const char *text)
{
  st_str s = { text != NULL ? text : "", text != NULL ? strlen (text) : 0 };
  return s;
}

/* True when A and B have the same bytes.  */
bool
st_equal (st_str a, st_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.ptr, b.ptr, a.len) == 0);
}

/* True when A has the same bytes as the zero-terminated B.  */
bool
st_equal_cstr (st_str a, const char *b)
{
  return st_equal (a, st_from_cstr (b));
}

/* True when S starts with PREFIX.  */
bool
st_starts_with (st_str s, st_str prefix)
{
  return s.len >= prefix.len
         && (prefix.len == 0 || memcmp (s.ptr, prefix.ptr, prefix.len) == 0);
}

/* Bytes FROM to TO (exclusive) of S, clamped to its length.  */
st_str
st_slice (st_str s, size_t from, size_t to)
{
  if (to > s.len)
    to = s.len;
  if (from > to)
    from = to;
  st_str out = { s.ptr + from, to - from };
  return out;
}

/* Finds the first C in S and stores its offset in POS.  */
bool
st_find_char (st_str s, char c, size_t *pos)
{
  const char *found = s.len > 0 ? memchr (s.ptr, c, s.len) : NULL;
  if (found == NULL)
    return false;
  *pos = (size_t)(found - s.ptr);
  return true;
}

/* Parses an unsigned decimal number.  False on an empty string, on any
   other character and on overflow; OUT is then unchanged.  */
bool
st_parse_u64 (st_str s, uint64_t *out)
{
  uint64_t value = 0;
  if (s.len == 0)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      if (s.ptr[i] < '0' || s.ptr[i] > '9')
        return false;
      unsigned digit = (unsigned)(s.ptr[i] - '0');
      if (value > (UINT64_MAX - digit) / 10)
        return false;
      value = value * 10 + digit;
    }
  *out = value;
  return true;
}

/* 64-bit hash (XXH3) of S; the same on every VM for the same SEED.  */
uint64_t
st_hash (st_str s, uint64_t seed)
{
  return XXH3_64bits_withSeed (s.ptr, s.len, seed);
}

/* Copies S into OUT of SIZE bytes and zero-terminates it; a longer S is
   truncated. Returns the number of bytes copied.  */
size_t
st_copy (char *out, size_t size, st_str s)
{
  size_t len = s.len < size ? s.len : size - 1;
  if (len > 0)
    memcpy (out, s.ptr, len);
  out[len] = 0;
  return len;
}

/* Copies S into NAME.  False when S is longer than ST_NAME_MAX bytes or
   contains a zero byte; NAME is then unchanged.  */
bool
st_name_set (st_name *name, st_str s)
{
  if (s.len > ST_NAME_MAX || (s.len > 0 && memchr (s.ptr, 0, s.len) != NULL))
    return false;
  if (s.len > 0)
    memcpy (name->text, s.ptr, s.len);
  name->text[s.len] = 0;
  name->len = (uint8_t)s.len;
  return true;
}

/* Views the bytes of NAME.  */
st_str
st_name_str (const st_name *name)
{
  st_str s = { name->text, name->len };
  return s;
}
