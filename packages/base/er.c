#include "er.h"

#include <stdarg.h>
#include <stdio.h>

/* Name of KIND as used in logs and in error responses.  */
const char *
er_kind_name (er_kind kind)
{
  switch (kind)
    {
    case ER_OK:
      return "ok";
    case ER_INVALID:
      return "invalid";
    case ER_NOT_FOUND:
      return "not_found";
    case ER_CONFLICT:
      return "conflict";
    case ER_UNAVAILABLE:
      return "unavailable";
    case ER_TIMEOUT:
      return "timeout";
    case ER_LIMIT:
      return "limit";
    case ER_DENIED:
      return "denied";
    case ER_TOO_LARGE:
      return "too_large";
    case ER_UNSUPPORTED:
      return "unsupported";
    case ER_INTERNAL:
      return "internal";
    }
  return "internal";
}

/* Fills ERR, which may be NULL.  Always returns false, so that a caller can
   write "return er_set (...)".  */
bool
er_set (er_error *err, er_kind kind, const char *format, ...)
{
  va_list args;
  if (err == NULL)
    return false;
  err->kind = kind;
  va_start (args, format);
  vsnprintf (err->message, sizeof err->message, format, args);
  va_end (args);
  return false;
}
