/* Fuzz target of the YAML loader: the first byte chooses between a VM's
   configuration and the settings tree.  Not built by CMake:

     clang -g -O1 -fsanitize=fuzzer,address,undefined -D_GNU_SOURCE \
       -Ipackages/settings -Ipackages/base packages/settings/fuzz/sl_fuzz.c \
       packages/settings/s?.c packages/settings/sx_keys.c \
       packages/base/{er,st,al}.c $(pkg-config --cflags --libs glib-2.0 \
       yaml-0.1 jansson libsodium libxxhash) -lm -o sl_fuzz
     ./sl_fuzz -max_total_time=60 -max_len=4096  */
#include "sb.h"
#include "sx.h"

#include <glib.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
_sl_fuzz_settings (st_str text, sl_report *report)
{
  sl_doc *doc = sl_parse (text, report);
  sx_tree *tree = doc != NULL ? sx_load_yaml (doc, report) : NULL;
  sl_destroy (doc);
  if (tree == NULL)
    return;
  /* A valid tree must be equal to itself after printing and parsing.  */
  char *yaml = sx_print_yaml (tree, NULL);
  sl_report *second = sl_report_make ("printed");
  doc = sl_parse (st_from_cstr (yaml), second);
  sx_tree *parsed = doc != NULL ? sx_load_yaml (doc, second) : NULL;
  if (parsed == NULL)
    abort ();
  sx_changes diff = sx_diff (tree, parsed);
  if (diff.count > 0)
    abort ();
  sx_changes_free (&diff);
  sx_unref (parsed);
  sl_destroy (doc);
  sl_report_destroy (second);
  g_free (yaml);
  sx_unref (tree);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  sl_report *report = sl_report_make ("fuzz");
  st_str text = { (const char *)data + 1, size - 1 };
  if (data[0] & 1)
    {
      sb_config config;
      if (sb_parse (&config, text, report))
        sb_free (&config);
    }
  else
    _sl_fuzz_settings (text, report);
  sl_report_destroy (report);
  return 0;
}
