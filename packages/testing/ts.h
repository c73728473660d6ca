/* ts.h -- stand-in service: idempotent reads and non-idempotent calls.

   Used by standin-service; the load client computes the expected results with
   ts_result.

   GET /PATH is a read.  POST /PATH with Idempotency-Key is a call; each one
   is executed and counted, and the service does not detect duplicates.
   Faults are set by POST /faults with any of

     {"delay_ms": N,            respond after N ms
      "fail": bool,             respond with 500
      "close_before_answer": N, the next N calls take effect, then close
      "close_before_effect": N} the next N calls close without effect

   GET /received lists {"key", "count", "fence"} for each key.

     ts_service *s = ts_make (&(ts_desc){ .base = base, .service = "orders",
                                          .listen = "127.0.0.1:0" }, &err); */
#ifndef TS_H
#define TS_H

#include "er.h"

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

typedef struct ts_service ts_service;

typedef struct
{
  struct event_base *base;
  const char *listen;
  const char *name;    /* VM list name; NULL means service-PORT */
  const char *service; /* NULL means "orders" */
  const char *region;
  const char *data_center;
  const char *platform; /* IP:PORT to register at; NULL means none */
  uint32_t delay_ms;
} ts_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  ts_service *ts_make (const ts_desc *desc, er_error *err);
  void ts_destroy (ts_service *s);
  uint16_t ts_query_port (const ts_service *s);
  uint32_t ts_query_received (const ts_service *s, const char *key);
  void ts_set_faults (ts_service *s, const json_t *faults);
  void ts_leave (ts_service *s);
  uint64_t ts_result (const char *key, const char *body, size_t body_len);

#ifdef __cplusplus
}
#endif

#endif
