/* st.h -- length-counted strings.

   An st_str is a view: a pointer and a length, not owned and not
   zero-terminated.

     st_str s = ST_LIT ("west");
     printf ("%.*s\n", ST_FMT (s));

   st_name stores a short string by value (names of VMs, teams, versions).  */
#ifndef ST_H
#define ST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  const char *ptr;
  size_t len;
} st_str;

#define ST_LIT(literal) ((st_str){ (literal), sizeof (literal) - 1 })
#define ST_FMT(s) (int)(s).len, (s).ptr

/* Longest name in bytes, without the terminator.  */
#define ST_NAME_MAX 63

typedef struct
{
  uint8_t len;
  char text[ST_NAME_MAX + 1];
} st_name;

#ifdef __cplusplus
extern "C"
{
#endif

  st_str st_from_cstr (const char *text);
  bool st_equal (st_str a, st_str b);
  bool st_equal_cstr (st_str a, const char *b);
  bool st_starts_with (st_str s, st_str prefix);
  st_str st_slice (st_str s, size_t from, size_t to);
  bool st_find_char (st_str s, char c, size_t *pos);
  bool st_parse_u64 (st_str s, uint64_t *out);
  uint64_t st_hash (st_str s, uint64_t seed);
  size_t st_copy (char *out, size_t size, st_str s);

  bool st_name_set (st_name *name, st_str s);
  st_str st_name_str (const st_name *name);

#ifdef __cplusplus
}
#endif

#endif
