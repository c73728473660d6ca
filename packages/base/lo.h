/* lo.h -- event log: one JSON line on standard output per event.

     lo_setup (&(lo_desc){ .vm = "vm-1" });
     LO_EVENT ("dispatch", request_id, LO_STR ("upstream", id),
               LO_INT ("waited_ms", 12));

   A line has the time of day in milliseconds, the VM, the event, the id of
   the request ("" for none) and the fields.  Writing never blocks: a line
   that does not fit into the pipe, or that exceeds the rate limit, is dropped
   and counted; the next line that is written has the number of dropped lines.
 */
#ifndef LO_H
#define LO_H

#include "st.h"

typedef enum
{
  LO_KIND_STR = 0,
  LO_KIND_INT,
  LO_KIND_BOOL
} lo_kind;

typedef struct
{
  const char *key;
  lo_kind kind;
  st_str text;
  int64_t number;
} lo_field;

typedef struct
{
  const char *vm;       /* copied */
  int fd;               /* 0 means standard output */
  uint32_t lines_per_s; /* 0 means 300 */
} lo_desc;

#define LO_STR(key_, text_)                                                   \
  ((lo_field){ .key = (key_), .kind = LO_KIND_STR, .text = (text_) })
#define LO_CSTR(key_, text_) LO_STR (key_, st_from_cstr (text_))
#define LO_INT(key_, number_)                                                 \
  ((lo_field){                                                                \
      .key = (key_), .kind = LO_KIND_INT, .number = (int64_t)(number_) })
#define LO_BOOL(key_, value_)                                                 \
  ((lo_field){ .key = (key_), .kind = LO_KIND_BOOL, .number = (value_) })
#define LO_EVENT(event_, id_, ...)                                            \
  lo_event ((event_), (id_), (const lo_field[]){ __VA_ARGS__ },               \
            sizeof ((const lo_field[]){ __VA_ARGS__ }) / sizeof (lo_field))

#ifdef __cplusplus
extern "C"
{
#endif

  void lo_setup (const lo_desc *desc);
  void lo_shutdown (void);
  void lo_event (const char *event, st_str request_id, const lo_field *fields,
                 size_t count);
  uint64_t lo_query_dropped (void);

#ifdef __cplusplus
}
#endif

#endif
