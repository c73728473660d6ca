/* tp.h -- stand-in platform: configuration store, VM list, weight store.

   Used by standin-platform and the tests of the platform client.

   The HTTP interface is that of section 6.3 of the design page.  Faults are
   set by POST /faults with any of

     {"delay_ms": N,         each store and list call is delayed by N ms
      "outage": true|"drop"|"hang"|false,
                             store calls get 503, a closed connection, or no
                             reply
      "lose_answer": N,      the next N writes take effect, then the
                             connection is closed without a reply
      "lapse_lease": KEY|true, one lease or all of them expire now
      "list_lag_ms": N,      the VM list has the state of N ms ago
      "list_outage": bool}   GET /vms gets 503

     tp_platform *p = tp_make (&(tp_desc){ .base = base,
                                           .listen = "127.0.0.1:0" }, &err);
     uint16_t port = tp_query_port (p);
     tp_destroy (p);  */
#ifndef TP_H
#define TP_H

#include "er.h"

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

/* Largest value of the store, in bytes.  */
#define TP_VALUE_MAX (1u << 20)

typedef struct tp_platform tp_platform;

typedef struct
{
  struct event_base *base;
  const char *listen;       /* IP:PORT; port 0 means any free one */
  uint32_t list_lag_ms;     /* lag of the VM list; 0 means none */
  uint32_t weights_per_min; /* weight fetches per minute; 0 means 60 */
} tp_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  tp_platform *tp_make (const tp_desc *desc, er_error *err);
  void tp_destroy (tp_platform *p);
  uint16_t tp_query_port (const tp_platform *p);
  uint64_t tp_query_count (const tp_platform *p, const char *kind);
  void tp_set_faults (tp_platform *p, const json_t *faults);

#ifdef __cplusplus
}
#endif

#endif
