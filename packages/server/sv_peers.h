/* sv_peers.h -- the other VMs: which are members, and messages to them.

   Runs the peer task and keeps a list of the members that sv_query_members
   returns.  Without listen.peers the VM has no peers.

     sv_peers *p = sv_peers_make (sv, &err);
     sv_peers_set_vm_list (p, sv->directory);
     sv_peers_tick (p);
     sv_peers_destroy (p);  */
#ifndef SV_PEERS_H
#define SV_PEERS_H

#include "cm.h"
#include "dr.h"
#include "er.h"
#include "ms.h"

#include <jansson.h>

typedef struct sv_peers sv_peers;
typedef struct sv_server sv_server;

typedef enum
{
  SV_PEER_UNKNOWN, /* not in the member list */
  SV_PEER_ALIVE,
  SV_PEER_LEAVING,
  SV_PEER_DEAD
} sv_peer_state;

#ifdef __cplusplus
extern "C"
{
#endif

  sv_peers *sv_peers_make (sv_server *sv, er_error *err);
  void sv_peers_destroy (sv_peers *p);
  void sv_peers_set_vm_list (sv_peers *p, const dr_directory *directory);
  void sv_peers_refresh (sv_peers *p);
  void sv_peers_tick (sv_peers *p);
  void sv_peers_leave (sv_peers *p);
  void sv_peers_rejoin (sv_peers *p);
  bool sv_peers_query_own_dead (const sv_peers *p);
  bool sv_peers_send (sv_peers *p, st_str incarnation, const ms_message *m);
  const cm_member *sv_peers_query (const sv_peers *p, size_t *count);
  sv_peer_state sv_peers_find (const sv_peers *p, st_str incarnation,
                               st_str *callers_address);
  json_t *sv_peers_json (const sv_peers *p);

#ifdef __cplusplus
}
#endif

#endif
