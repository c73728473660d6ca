/* lc.h -- load client: a seeded mix of requests as callers send them.

   Used by loadclient.

   The client fetches the addresses from a VM, connects directly to VMs and
   sends drafts (chat and completions, streamed or not), idempotent reads and
   non-idempotent calls.  It retries as the protocol allows:

   - "not run" of a draft: with a new request id;
   - "not run" of a call: with the same Idempotency-Key;
   - connection of a draft lost: queries the outcome by request id at other
     VMs, and fetches the rest of the response;
   - connection of a call lost: with the same key at another VM;
   - reads: at another VM.

   The text of every response is compared with the text that the stand-ins
   compute from the prompt.

     lc_client *c = lc_make (&(lc_desc){ .base = base, .vms = "IP:PORT,..",
                                         .requests = 1000 }, &err);
     lc_start (c);              // breaks the event loop at the end of the run
     json_t *report = lc_report (c);  */
#ifndef LC_H
#define LC_H

#include "er.h"

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

typedef struct lc_client lc_client;

typedef struct
{
  struct event_base *base;
  const char *vms;     /* IP:PORT, comma separated; they give the addresses */
  const char *region;  /* of the caller; NULL: any */
  const char *models;  /* comma separated; NULL means "m1" */
  const char *service; /* NULL means "orders" */
  const char *kinds;   /* subset of "chat,whole,text,read,call"; NULL: all */
  uint32_t requests;   /* 0 means 100 */
  uint32_t in_flight;  /* most concurrent requests; 0 means 32 */
  double rate;         /* requests per second; 0 means as in_flight allows */
  uint32_t attempts;   /* most attempts of one request; 0 means 8 */
  uint32_t timeout_ms; /* of one request; 0 means 60000 */
  uint32_t max_tokens; /* of the longest response; 0 means 32 */
  uint32_t seed;
} lc_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  lc_client *lc_make (const lc_desc *desc, er_error *err);
  void lc_destroy (lc_client *c);
  void lc_start (lc_client *c);
  json_t *lc_report (const lc_client *c);

#ifdef __cplusplus
}
#endif

#endif
