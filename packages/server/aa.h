/* aa.h -- administration API (section 6.4 of the design page).

   An HTTP listener of its own with bearer tokens.  A token of scope root may
   do everything; a token of scope team:T reads the settings without those of
   other teams and changes those of team T only.  Tokens are stored as keyed
   hashes, compared in constant time, and never logged.

   The API calls the server core through the functions in aa_core, which
   se_serve_ supplies.  A change ends asynchronously: submit receives a ticket,
   and the core calls aa_finish_change with it exactly once.

     aa_api *aa = aa_make (&(aa_desc){ .base = base, .listen = "127.0.0.1:0",
                                       .tokens = config.tokens,
                                       .token_count = config.token_count,
                                       .core = core }, &err);
     aa_on_version (aa, version);        // a version was applied
     aa_finish_change (aa, ticket, &result);
     aa_destroy (aa);  */
#ifndef AA_H
#define AA_H

#include "er.h"
#include "hx.h"
#include "sb.h"
#include "sx.h"

#include <event2/event.h>
#include <jansson.h>

typedef struct aa_api aa_api;

/* A change that has passed the checks of syntax and scope.  Its pointers are
   valid during the call only.  */
typedef struct
{
  uint64_t base_version;
  const sx_edit *edits;
  size_t count;
  const char *who;
} aa_change;

typedef struct
{
  er_error err;     /* ER_OK: accepted.  ER_CONFLICT: another change was first.
                       ER_INVALID: not valid.  ER_UNAVAILABLE: not accepted.
                       ER_TIMEOUT: not known whether it was accepted */
  uint64_t version; /* of the accepted change; else the newest here */
  const char *id;   /* of the change */
  json_t *changed;  /* ER_CONFLICT: array of the changes since; borrowed */
} aa_result;

/* Functions of the server core, called on the event loop's thread.  The API
   owns the JSON that they return.  */
typedef struct
{
  void *user;
  /* Borrowed; valid until the event loop runs again.  */
  const sx_tree *(*query_settings) (void *user, uint64_t *version);
  void (*submit) (void *user, uint64_t ticket, const aa_change *change);
  /* Finished by aa_finish_history, from the event loop, exactly once.  */
  void (*query_history) (void *user, uint64_t ticket);
  json_t *(*query_operations) (void *user); /* array */
  json_t *(*query_members) (void *user);    /* array */
  bool (*begin_drain) (void *user, er_error *err);
} aa_core;

typedef struct
{
  struct event_base *base;
  const char *listen; /* IP:PORT; port 0 takes a free one */
  const sb_token *tokens;
  size_t token_count;
  aa_core core;
  hx_unsent *unsent;     /* counts responses being sent; NULL: not counted */
  size_t max_body_bytes; /* 0 means 1 MiB */
  uint32_t max_waiting;  /* changes and watches; 0 means 256 */
  uint32_t watch_ms;     /* longest wait of a watch; 0 means 20 s */
} aa_desc;

#define AA_EDITS_MAX 1000

#ifdef __cplusplus
extern "C"
{
#endif

  aa_api *aa_make (const aa_desc *desc, er_error *err);
  void aa_destroy (aa_api *aa);
  uint16_t aa_query_port (const aa_api *aa);
  void aa_on_version (aa_api *aa, uint64_t version);
  void aa_finish_change (aa_api *aa, uint64_t ticket, const aa_result *result);
  void aa_finish_history (aa_api *aa, uint64_t ticket, const json_t *history,
                          const er_error *err);

#ifdef __cplusplus
}
#endif

#endif
