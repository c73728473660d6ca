/* sv.h -- the server of one VM: its tasks and the state that they share.

   One event loop runs all tasks of a process.  Each task owns its sockets
   and its state; this module starts them in order, passes events between
   them and has the queries that need more than one task.

     sv_server *sv = sv_make (&config, &err);
     sv_run (sv);          // until drained after SIGTERM
     sv_destroy (sv);  */
#ifndef SV_H
#define SV_H

#include "ck.h"
#include "cl.h"
#include "cm.h"
#include "cs.h"
#include "dr.h"
#include "er.h"
#include "fe.h"
#include "hx.h"
#include "mt.h"
#include "oc.h"
#include "ow.h"
#include "pf.h"
#include "po.h"
#include "rl.h"
#include "rq.h"
#include "sb.h"
#include "se_serve.h"
#include "sv_peers.h"
#include "up.h"

#include <event2/event.h>
#include <event2/util.h>
#include <glib.h>
#include <jansson.h>

#define SV_TIERS 5

struct sv_server
{
  sb_config config;
  ck_clock clock;
  struct event_base *base;
  char incarnation[ST_NAME_MAX + 18];
  mt_registry *metrics;
  hx_unsent unsent; /* of all HTTP listeners */
  rq_table *requests;
  pf_platform *platform;
  up_pool *up;
  dr_directory *directory;
  po_policy *policy;
  se_service *settings;
  cm_map *cells;
  cl_task *owned_cells;
  ow_task *slot_requests;
  rl_task *rollouts;
  sv_peers *peers;
  oc_task *calls;
  fe_front *front_end;
  struct sv_state *state; /* private to sv.c */
};

/* Passed to one-shot timers of a request.  */
typedef struct
{
  sv_server *server;
  id_handle id;
} sv_timer_ref;

#ifdef __cplusplus
extern "C"
{
#endif

  sv_server *sv_make (sb_config *config, er_error *err);
  void sv_destroy (sv_server *sv);
  int sv_run (sv_server *sv);
  void sv_begin_drain (sv_server *sv);

  uint64_t sv_now_us (const sv_server *sv);
  uint64_t sv_wall_ms (const sv_server *sv);
  uint64_t sv_random (sv_server *sv);
  st_str sv_query_incarnation (const sv_server *sv);
  bool sv_query_leaving (const sv_server *sv);
  bool sv_query_ready (const sv_server *sv, const char **why);
  const cm_member *sv_query_members (const sv_server *sv, size_t *count);
  void sv_members_changed (sv_server *sv);
  uint64_t sv_query_settings_version (const sv_server *sv);
  void sv_on_message (sv_server *sv, st_str sender, const ms_message *m);
  bool sv_send (sv_server *sv, st_str incarnation, const ms_message *m);
  sv_peer_state sv_find_incarnation (const sv_server *sv, st_str incarnation,
                                     char *address, size_t size);
  json_t *sv_addresses_json (sv_server *sv, st_str region);
  const dr_entry *sv_choose_service (sv_server *sv, st_str service,
                                     unsigned attempt);
  void sv_engine_unreachable (sv_server *sv, st_str engine);
  bool sv_query_high_load (sv_server *sv, st_str service);
  st_str sv_tier_name (uint8_t tier);
  uint16_t sv_socket_port (evutil_socket_t fd);

#ifdef __cplusplus
}
#endif

#endif
