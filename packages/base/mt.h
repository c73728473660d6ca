/* mt.h -- counters, gauges and histograms with a bounded number of series.

   A registry owns its series.  A series is identified by a metric name and up
   to two label values (for instance team and tier).  At the series limit,
   further label values share the series with the labels "other", so that
   callers cannot grow the registry without bound.

     mt_registry *m = mt_make (&(mt_desc){ .max_series = 2048 });
     mt_id ok = mt_counter (m, "requests_total", "team", ST_LIT ("night"),
                            "tier", ST_LIT ("0"));
     mt_add (m, ok, 1);
     GString *text = mt_write_text (m);      // text exposition format
     mt_destroy (m);

   A registry may be used from one event loop thread only.  */
#ifndef MT_H
#define MT_H

#include "al.h"
#include "hs.h"
#include "st.h"

#include <glib.h>

typedef struct mt_registry mt_registry;
typedef uint32_t mt_id;

typedef struct
{
  uint32_t max_series; /* 0 means 4096 */
} mt_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  mt_registry *mt_make (const mt_desc *desc);
  void mt_destroy (mt_registry *m);
  mt_id mt_counter (mt_registry *m, const char *name, const char *label1,
                    st_str value1, const char *label2, st_str value2);
  mt_id mt_gauge (mt_registry *m, const char *name, const char *label1,
                  st_str value1, const char *label2, st_str value2);
  mt_id mt_histogram (mt_registry *m, const char *name, const char *label1,
                      st_str value1, const char *label2, st_str value2);
  void mt_add (mt_registry *m, mt_id id, uint64_t delta);
  void mt_set (mt_registry *m, mt_id id, int64_t value);
  void mt_record (mt_registry *m, mt_id id, uint64_t value);
  uint64_t mt_query_value (const mt_registry *m, mt_id id);
  const hs_histogram *mt_query_histogram (const mt_registry *m, mt_id id);
  uint32_t mt_query_series (const mt_registry *m);
  GString *mt_write_text (const mt_registry *m);

#ifdef __cplusplus
}
#endif

#endif
