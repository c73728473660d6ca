/* pf_driver.h -- private interface between pf.c and the drivers.

   pf.c makes an operation for each call and submits it to the driver.  The
   driver ends it with _pf_finish, once.  */
#ifndef PF_DRIVER_H
#define PF_DRIVER_H

#include "pf.h"

#include <glib.h>

typedef struct _pf_http _pf_http;

typedef struct _pf_op
{
  pf_platform *p;
  pf_call call;
  pf_done done;
  void *user;
  char *key;    /* key, prefix, or model of a weight fetch */
  char *holder; /* holder, or version of a weight fetch */
  GBytes *value;
  uint64_t revision; /* previous, lease's, or watch's start revision */
  uint32_t ttl_ms;
  struct _pf_watch *watch; /* of PF_WATCH */
  void *driver;            /* private to the driver; NULL when unused */
} _pf_op;

typedef struct _pf_watch
{
  pf_platform *p;
  uint64_t id;
  char *prefix;
  uint64_t after;
  pf_done done;
  void *user;
  _pf_op *op;            /* call in progress, NULL during a retry delay */
  struct event *timer;   /* retry delay after a failed call */
  uint64_t retry_due_us; /* end of the retry delay (memory driver); 0: none */
  uint32_t failures;
  bool in_callback; /* the callback is running */
  bool stopped;
} _pf_watch;

struct pf_platform
{
  pf_desc desc;
  uint64_t counts[PF_CALLS];
  GPtrArray *watches; /* _pf_watch */
  uint64_t next_watch;
  GRand *rand;
  _pf_http *http;
};

static inline bool
_pf_is_write (pf_call call)
{
  return call == PF_PUT || call == PF_DELETE
         || (call >= PF_LEASE_ACQUIRE && call <= PF_LEASE_RELEASE);
}

void _pf_finish (_pf_op *op, pf_reply *reply);
void _pf_fail (_pf_op *op, pf_result result, const char *message);
void _pf_op_free (_pf_op *op);
void _pf_watch_arm (_pf_watch *w);

_pf_http *_pf_http_make (pf_platform *p, er_error *err);
void _pf_http_destroy (_pf_http *h);
void _pf_http_submit (_pf_http *h, _pf_op *op);
void _pf_http_cancel (_pf_http *h, _pf_op *op);

void _pf_memory_add_platform (pf_memory *m, pf_platform *p);
void _pf_memory_remove_platform (pf_memory *m, pf_platform *p);
void _pf_memory_submit (pf_memory *m, _pf_op *op);
void _pf_memory_cancel (pf_memory *m, _pf_op *op);
uint64_t _pf_memory_now_us (const pf_memory *m);

#endif
