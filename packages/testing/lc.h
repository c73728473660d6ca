/* lc.h -- load client: a seeded mix of requests as callers send them.

   The client asks a VM for the addresses, connects directly to VMs and sends
   drafts (chat and completions, streamed and whole), idempotent reads and
   calls that may not be repeated.  It retries as the protocol allows:

   - "not run" of a draft: again with a new request id;
   - "not run" of a call: again with the same Idempotency-Key;
   - a broken connection of a draft: asks for the outcome by request id at
     other VMs, and fetches the rest of the answer;
   - a broken connection of a call: again with the same key at another VM;
   - reads: again, at another VM.

   Every answer is checked against the stand-ins' function of the prompt.

     lc_client *c = lc_make (&(lc_desc){ .base = base, .vms = "IP:PORT,..",
                                         .requests = 1000 }, &err);
     lc_start (c);              // runs until the loop is broken at the end
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
  const char *vms;     /* IP:PORT, comma separated, to ask for addresses */
  const char *region;  /* of the caller; NULL: any */
  const char *models;  /* comma separated; NULL means "m1" */
  const char *service; /* NULL means "orders" */
  const char *kinds;   /* subset of "chat,whole,text,read,call"; NULL: all */
  uint32_t requests;   /* 0 means 100 */
  uint32_t in_flight;  /* most requests at a time; 0 means 32 */
  double rate;         /* requests a second; 0 means as in_flight allows */
  uint32_t attempts;   /* tries of one request; 0 means 8 */
  uint32_t timeout_ms; /* of one request; 0 means 60000 */
  uint32_t max_tokens; /* longest answer; 0 means 32 */
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
