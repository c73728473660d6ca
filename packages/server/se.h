/* se.h -- the settings task of the server.

   Carries out the decisions of sp_ with the store and the peers, and holds the
   settings that are in force on this VM.  se_serve_ runs it in the server.

     se_task *se = se_make (&(se_desc){ .platform = platform, .name = name,
                                        .user = self, .send = send, ... });
     se_set_members (se, members, count);      // live VMs, at each change
     se_on_version (se, incarnation, version); // from each probe
     se_on_message (se, incarnation, &m);      // SETTINGS_*
     se_tick (se, now_us, wall_ms);            // at least every 100 ms
     const sx_tree *tree = se_query_tree (se, &version);
     se_destroy (se);

   The store has "settings/head" (msgpack) and "settings/value/HASH" (JSON,
   immutable).  Destroy the task before the platform, without running the
   event loop between the two.  */
#ifndef SE_H
#define SE_H

#include "aa.h"
#include "ms.h"
#include "pf.h"
#include "sp.h"
#include "sx.h"

#include <jansson.h>

#define SE_HEAD_KEY "settings/head"
#define SE_VALUE_PREFIX "settings/value/"
#define SE_CHANGES_MAX 16 /* in progress at the same time */

typedef struct se_task se_task;

typedef struct
{
  st_str name;
  st_str incarnation;
  st_str data_center;
  bool leaving;
} se_member;

typedef struct
{
  pf_platform *platform;
  st_str name; /* of this VM */
  st_str data_center;
  uint64_t seed;
  void *user;
  /* Sends a message to a process; false when it cannot be reached.  */
  bool (*send) (void *user, st_str incarnation, const ms_message *m);
  /* VERSION is in force now; may be NULL.  */
  void (*on_applied) (void *user, uint64_t version);
  /* The change of TICKET has ended.  */
  void (*on_finished) (void *user, uint64_t ticket, const aa_result *result);
  /* The history for TICKET: an array, or NULL with ERR set.  */
  void (*on_history) (void *user, uint64_t ticket, const json_t *history,
                      const er_error *err);
} se_desc;

#ifdef __cplusplus
extern "C"
{
#endif

  se_task *se_make (const se_desc *desc, uint64_t now_us);
  void se_destroy (se_task *se);
  void se_tick (se_task *se, uint64_t now_us, uint64_t wall_ms);
  void se_set_members (se_task *se, const se_member *members, size_t count);
  void se_on_version (se_task *se, st_str incarnation, uint64_t version);
  void se_on_message (se_task *se, st_str sender, const ms_message *m);
  void se_submit (se_task *se, uint64_t ticket, const aa_change *change);
  void se_read_history (se_task *se, uint64_t ticket);

  const sx_tree *se_query_tree (const se_task *se, uint64_t *version);
  uint64_t se_query_version (const se_task *se);
  bool se_query_ready (const se_task *se);
  uint64_t se_query_member_version (const se_task *se, st_str incarnation);
  json_t *se_query_operations (const se_task *se);

  bool se_encode_head (const sp_head *head, char **bytes, size_t *len);
  bool se_decode_head (st_str bytes, sp_entry *entries, size_t max_entries,
                       sp_record *records, sp_head *out);

#ifdef __cplusplus
}
#endif

#endif
