#include "hx.h"

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
  switch (status)
    {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
    }
}
