/* lg.h -- structured logs through GLib, plain or JSON, one line per record.

     lg_setup (&(lg_desc){ .vm = "west-a-1", .json = true });
     lg_log (LG_WARNING, request_id, "engine %s refused the connection", name);

   REQUEST_ID is "" for records that belong to no request.  The level can be
   changed while the process runs.  Logs go to standard error.  */
#ifndef LG_H
#define LG_H

#include <stdbool.h>

typedef enum
{
  LG_INFO = 0,
  LG_DEBUG,
  LG_WARNING,
  LG_ERROR
} lg_level;

typedef struct
{
  const char *vm; /* copied; NULL leaves the field out */
  bool json;
  lg_level level; /* lowest level that is written; default LG_INFO */
} lg_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  void lg_setup (const lg_desc *desc);
  bool lg_set_level (const char *name);
  const char *lg_query_level (void);
  void lg_log (lg_level level, const char *request_id, const char *format, ...)
      __attribute__ ((format (printf, 3, 4)));

#ifdef __cplusplus
}
#endif

#endif
