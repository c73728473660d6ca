/* sk.h -- key tables: name, type, unit, range, default and text of each key.

   A table describes the keys of a file or of the settings tree.  Values are
   parsed and printed by their key, so that every reader reports the same
   problems with the same suggested fixes.

     static const sk_key keys[] = {
       { .name = "deadline_ms", .type = SK_INT, .unit = SK_UNIT_MS,
         .min = 1, .max = 3600000, .default_text = "30000",
         .doc = "Deadline of a request that names none." },
     };
     sk_value v;
     er_error err = { 0 };
     if (!sk_parse (&keys[0], ST_LIT ("2s"), &v, &err))
       puts (err.message);                    // v.number is 2000  */
#ifndef SK_H
#define SK_H

#include "er.h"
#include "st.h"

typedef enum
{
  SK_INT = 0,
  SK_BOOL,
  SK_DECIMAL,
  SK_NAME,    /* [A-Za-z0-9._-], may be empty */
  SK_CHOICE,  /* one of the words in sk_key.choices */
  SK_ADDRESS, /* IP:PORT; min is the lowest port that is allowed */
  SK_TIME     /* RFC 3339 time, stored as ms since 1970; 0 is "none" */
} sk_type;

typedef enum
{
  SK_UNIT_NONE = 0,
  SK_UNIT_MS,
  SK_UNIT_BYTES,
  SK_UNIT_PERCENT,
  SK_UNIT_REQUESTS_PER_S,
  SK_UNIT_TOKENS_PER_S,
  SK_UNIT_TOKENS,
  SK_UNIT_MBIT_PER_S,
  SK_UNIT_PRICE_PER_GB
} sk_unit;

typedef struct
{
  const char *name;
  sk_type type;
  sk_unit unit;
  int64_t min; /* in units, a whole number for SK_DECIMAL too */
  int64_t max;
  const char *choices;      /* separated by one space */
  const char *default_text; /* NULL means that the key is required */
  unsigned levels;          /* for the table's module, as SX_AT_* */
  const char *doc;
} sk_key;

typedef struct
{
  int64_t number; /* SK_INT, SK_BOOL (0 or 1), SK_TIME */
  double decimal; /* SK_DECIMAL */
  sk_type type;
  bool set;
  st_name text; /* SK_NAME, SK_CHOICE, SK_ADDRESS */
} sk_value;

/* Longest printed value with its terminator.  */
#define SK_TEXT_MAX 64

#ifdef __cplusplus
extern "C"
{
#endif

  const char *sk_type_name (sk_type type);
  const char *sk_unit_name (sk_unit unit);
  const sk_key *sk_find (const sk_key *keys, size_t count, st_str name);
  const char *sk_nearest (const char *const *names, size_t count, st_str name);
  bool sk_parse (const sk_key *key, st_str text, sk_value *out, er_error *err);
  void sk_print (const sk_value *value, char out[SK_TEXT_MAX]);
  bool sk_equal (const sk_value *a, const sk_value *b);
  bool sk_name_valid (st_str name);
  bool sk_address_split (st_str text, st_name *host, uint16_t *port);

#ifdef __cplusplus
}
#endif

#endif
