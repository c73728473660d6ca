#include "hx.h"

#include "hp.h"

/* HTTP status of an error of KIND.  */
int
hx_status_of (er_kind kind)
{
  switch (kind)
    {
    case ER_OK:
      return 200;
    case ER_INVALID:
    case ER_UNSUPPORTED:
      return 400;
    case ER_DENIED:
      return 403;
    case ER_NOT_FOUND:
      return 404;
    case ER_CONFLICT:
      return 409;
    case ER_TOO_LARGE:
      return 413;
    case ER_LIMIT:
      return 429;
    case ER_UNAVAILABLE:
      return 503;
    case ER_TIMEOUT:
      return 504;
    case ER_INTERNAL:
      break;
    }
  return 500;
}

/* Reason phrase of STATUS.  */
const char *
hx_reason_of (int status)
{
  const char *known = hp_reason_of (status);
  if (known != NULL)
    return known;
  return status < 400 ? "OK" : "Error";
}
