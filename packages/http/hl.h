/* hl.h -- listener for HTTP requests that are answered at once, without an
   upstream: readiness, addresses, metrics.

     hl_listener *l = hl_make (&(hl_desc){ .base = base,
                                           .name = "ready",
                                           .address = ST_LIT ("127.0.0.1:80"),
                                           .limits = pool,
                                           .on_request = on_request,
                                           .user = self }, &err);
     hl_destroy (l);

   on_request gets the head of each request and fills the reply, of status 404
   unless it changes that.  The body of a request is dropped as it arrives, so
   a long one costs nothing; one above the limit gets 413.

   A client that does not read its responses is not read either.  Connections
   count in the pool of limits that all listeners share.  */
#ifndef HL_H
#define HL_H

#include "er.h"
#include "hp.h"
#include "lm.h"

#include <event2/event.h>
#include <glib.h>

typedef struct hl_listener hl_listener;

typedef struct
{
  int status;
  const char *type; /* media type; NULL: none */
  GString *body;    /* empty at first */
} hl_reply;

typedef struct
{
  struct event_base *base;
  const char *name; /* in logs and metrics; not copied */
  st_str address;   /* IP:PORT; port 0: any */
  lm_pool *limits;
  uint32_t head_bytes;      /* 0 means 16 KiB */
  uint64_t body_bytes;      /* 0 means 4 MiB */
  uint32_t idle_timeout_ms; /* without progress; 0 means 10 s */
  void (*on_request) (void *user, const hp_head *head, hl_reply *reply);
  void *user;
} hl_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  hl_listener *hl_make (const hl_desc *desc, er_error *err);
  void hl_destroy (hl_listener *l);
  uint16_t hl_query_port (const hl_listener *l);

#ifdef __cplusplus
}
#endif

#endif
