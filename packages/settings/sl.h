/* sl.h -- YAML loader that reports every problem with its location.

   sl_parse reads one YAML document into a tree of nodes with line and column
   numbers.  sl_bind reads a mapping into values by a key table; nested
   mappings and dotted names are equivalent ("log: {level: x}",
   "log.level: x").  Problems are added to a report as FILE:LINE:COLUMN:
   problem; suggested fix.

     sl_report *report = sl_report_make ("vm.yaml");
     sl_doc *doc = sl_parse (ST_LIT ("log: {level: debug}"), report);
     sk_value values[N];
     if (doc != NULL)
       sl_bind (sl_root (doc), keys, N, NULL, values, report);
     for (size_t i = 0; i < sl_report_count (report); i++)
       puts (sl_report_text (report, i));
     sl_destroy (doc);
     sl_report_destroy (report);

   Anchors, aliases and tags are refused: a small file with aliases can
   expand into a very large tree.  */
#ifndef SL_H
#define SL_H

#include "sk.h"

typedef enum
{
  SL_SCALAR = 0,
  SL_MAP,
  SL_LIST
} sl_kind;

typedef struct sl_node sl_node;
struct sl_node
{
  sl_kind kind;
  unsigned line; /* from 1 */
  unsigned column;
  st_str text;     /* scalar */
  size_t count;    /* map, list */
  sl_node **names; /* map */
  sl_node **items; /* map, list */
};

typedef struct sl_doc sl_doc;
typedef struct sl_report sl_report;

#define SL_FILE_MAX_BYTES (1024 * 1024)
#define SL_DEPTH_MAX 32

#ifdef __cplusplus
extern "C"
{
#endif

  sl_report *sl_report_make (const char *file);
  void sl_report_destroy (sl_report *report);
  void sl_report_add (sl_report *report, const sl_node *node,
                      const char *format, ...)
      __attribute__ ((format (printf, 3, 4)));
  size_t sl_report_count (const sl_report *report);
  const char *sl_report_text (const sl_report *report, size_t index);
  bool sl_report_error (const sl_report *report, er_error *err);

  sl_doc *sl_parse (st_str text, sl_report *report);
  sl_doc *sl_load (const char *path, sl_report *report);
  void sl_destroy (sl_doc *doc);
  const sl_node *sl_root (const sl_doc *doc);
  const sl_node *sl_get (const sl_node *map, const char *name);
  void sl_bind (const sl_node *map, const sk_key *keys, size_t key_count,
                const char *const *other_names, sk_value *values,
                sl_report *report);

#ifdef __cplusplus
}
#endif

#endif
