/* er.h -- typed errors.

   A function that can fail takes an er_error pointer (may be NULL) and
   returns false or the kind.  The message states the problem and a suggested
   fix.

     er_error err = { 0 };
     if (!sx_load (&tree, path, &err))
       fprintf (stderr, "%s: %s\n", er_kind_name (err.kind), err.message);  */
#ifndef ER_H
#define ER_H

#include <stdbool.h>

typedef enum
{
  ER_OK = 0,
  ER_INVALID,     /* input is malformed or out of range */
  ER_NOT_FOUND,   /* the named object does not exist */
  ER_CONFLICT,    /* a concurrent change was first */
  ER_UNAVAILABLE, /* the remote end cannot be reached; retry */
  ER_TIMEOUT,     /* no reply in time; the effect is unknown */
  ER_LIMIT,       /* a limit of rate, size or count was reached */
  ER_DENIED,      /* credentials are missing or lack the scope */
  ER_TOO_LARGE,   /* input exceeds a size limit */
  ER_UNSUPPORTED, /* unknown version, type or feature */
  ER_INTERNAL     /* a bug in this program */
} er_kind;

#define ER_MESSAGE_MAX 512

typedef struct
{
  er_kind kind;
  char message[ER_MESSAGE_MAX];
} er_error;

#ifdef __cplusplus
extern "C"
{
#endif

  const char *er_kind_name (er_kind kind);
  bool er_set (er_error *err, er_kind kind, const char *format, ...)
      __attribute__ ((format (printf, 3, 4)));

#ifdef __cplusplus
}
#endif

#endif
