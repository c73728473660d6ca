/* rl.h -- rollouts on this VM: follows their states, collects evidence, and
   runs the controller of a service when this VM is its candidate.

   Carries out the decisions of ro_, ev_ and wl_ with the store, the engines
   and the peers.  The front end chooses versions here and records the results
   of requests.

     rl_task *rl = rl_make (&(rl_desc){ .server = sv });
     rl_choice c = rl_choose (rl, service, route);
     rl_record (rl, &sample);                 // each finished request
     rl_on_message (rl, sender, &m);          // HALT, EVIDENCE
     rl_tick (rl);                            // at least every 100 ms

   The store has one JSON value for each service at "rollouts/<service>"; the
   lease is "leases/rollout/<service>".  */
#ifndef RL_H
#define RL_H

#include "ms.h"
#include "ro.h"
#include "st.h"

#include <jansson.h>

typedef struct rl_task rl_task;
typedef struct sv_server sv_server;

typedef struct
{
  sv_server *server;
} rl_desc;

/* Version for one request, with what rl_record needs when it ends.  */
typedef struct
{
  st_name version; /* empty: any */
  bool halted;     /* no version may be used */
  bool new_version;
  bool high_load;
  uint32_t step;
} rl_choice;

/* One finished request.  */
typedef struct
{
  st_str service;
  st_str route;
  st_str engine;
  rl_choice choice;
  bool failed;
  uint64_t first_token_us; /* 0: not measured */
  uint64_t inter_token_us; /* 0: not measured */
} rl_sample;

/* Desired state of a service, from the settings.  */
typedef struct
{
  st_name current;      /* version without a rollout; may be empty */
  st_name to;           /* empty: no rollout */
  uint64_t start_ms;    /* wall clock; 0: at once */
  uint64_t deadline_ms; /* wall clock */
  uint64_t watch_ms;    /* after 100%, in which a rollback is possible */
} rl_spec;

#ifdef __cplusplus
extern "C"
{
#endif

  rl_task *rl_make (const rl_desc *desc);
  void rl_destroy (rl_task *rl);
  rl_choice rl_choose (rl_task *rl, st_str service, st_str route);
  bool rl_query_halted (const rl_task *rl, st_str service, st_str version);
  void rl_record (rl_task *rl, const rl_sample *sample);
  void rl_on_message (rl_task *rl, st_str sender, const ms_message *m);
  void rl_on_member_joined (rl_task *rl, st_str incarnation);
  void rl_tick (rl_task *rl);
  json_t *rl_query_operations (const rl_task *rl);

  json_t *rl_state_to_json (const ro_state *state);
  bool rl_state_from_json (const json_t *json, ro_state *out);

#ifdef __cplusplus
}
#endif

#endif
