/* rk.h -- checks a configuration before it is sent, and compares two.

   Used by the operator's command, with the types and the matching of the
   gateway, so that both agree on what a configuration means.

     GPtrArray *found = rk_check (config);            // of rk_finding
     GPtrArray *changes = rk_compare (before, after);
     g_ptr_array_unref (found);

   An error is an entry that cannot do what it says: a route that nothing
   reaches, a service that is not there, limits that contradict each other.  A
   warning is one that works but is rarely meant.  */
#ifndef RK_H
#define RK_H

#include "rc.h"

typedef enum
{
  RK_ERROR = 0,
  RK_WARNING,
  RK_CHANGE /* of rk_compare */
} rk_kind;

typedef struct
{
  rk_kind kind;
  char *where; /* "route NAME" */
  char *text;  /* with the remedy */
} rk_finding;

#ifdef __cplusplus
extern "C"
{
#endif

  GPtrArray *rk_check (const rc_config *c);
  GPtrArray *rk_compare (const rc_config *before, const rc_config *after);
  const char *rk_kind_name (rk_kind kind);

#ifdef __cplusplus
}
#endif

#endif
