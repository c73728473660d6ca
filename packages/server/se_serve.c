#include "se_serve.h"

#include "aa.h"
#include "lg.h"
#include "po.h"
#include "se.h"
#include "sv.h"

#include <glib.h>

#define _SE_MEMBERS_PERIOD_US (200 * CK_MS_US)

struct se_service
{
  sv_server *sv;
  se_task *se;
  aa_api *aa; /* NULL without listen.admin */
  uint64_t next_members_us;
};

/* --- callbacks of the settings task ----------------------------------- */

static bool
_se_serve_send (void *user, st_str incarnation, const ms_message *m)
{
  se_service *s = user;
  return sv_send (s->sv, incarnation, m);
}

static void
_se_serve_applied (void *user, uint64_t version)
{
  se_service *s = user;
  po_set_tree (s->sv->policy, sx_ref (se_query_tree (s->se, NULL)));
  if (s->aa != NULL)
    aa_on_version (s->aa, version);
}

static void
_se_serve_finished (void *user, uint64_t ticket, const aa_result *result)
{
  se_service *s = user;
  aa_finish_change (s->aa, ticket, result);
}

static void
_se_serve_history_read (void *user, uint64_t ticket, const json_t *history,
                        const er_error *err)
{
  se_service *s = user;
  aa_finish_history (s->aa, ticket, history, err);
}

/* --- callbacks of the administration API ------------------------------ */

static const sx_tree *
_se_serve_settings (void *user, uint64_t *version)
{
  const se_service *s = user;
  return se_query_tree (s->se, version);
}

static void
_se_serve_submit (void *user, uint64_t ticket, const aa_change *change)
{
  se_service *s = user;
  se_submit (s->se, ticket, change);
}

static void
_se_serve_history (void *user, uint64_t ticket)
{
  se_service *s = user;
  se_read_history (s->se, ticket);
}

static json_t *
_se_serve_members (void *user)
{
  se_service *s = user;
  json_t *out = sv_peers_json (s->sv->peers);
  size_t i;
  json_t *one;
  json_array_foreach (out, i, one)
  {
    const char *incarnation
        = json_string_value (json_object_get (one, "incarnation"));
    uint64_t version
        = se_query_member_version (s->se, st_from_cstr (incarnation));
    json_object_set_new (one, "settings_version",
                         json_integer ((json_int_t)version));
  }
  return out;
}

/* Rollouts, drains and the changes that operators sent to this VM.  */
static json_t *
_se_serve_operations (void *user)
{
  se_service *s = user;
  size_t count;
  const cm_member *members = sv_query_members (s->sv, &count);
  json_t *out = json_array ();
  json_t *parts[]
      = { rl_query_operations (s->sv->rollouts), se_query_operations (s->se) };
  for (unsigned i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      json_array_extend (out, parts[i]);
      json_decref (parts[i]);
    }
  for (size_t i = 0; i < count; i++)
    if (members[i].leaving)
      json_array_append_new (
          out, json_pack ("{s:s,s:s%,s:s,s:s}", "kind", "drain", "service",
                          members[i].name.ptr, members[i].name.len, "state",
                          "running", "reason", ""));
  return out;
}

/* Starts a drain unless drain.together_max VMs of this data centre are leaving
   already.  */
static bool
_se_serve_drain (void *user, er_error *err)
{
  se_service *s = user;
  size_t count;
  const cm_member *members = sv_query_members (s->sv, &count);
  sx_where root = { .tier = SX_NO_TIER };
  int64_t max_leaving = sx_query_int (se_query_tree (s->se, NULL), &root,
                                      SX_DRAIN_TOGETHER_MAX);
  int64_t leaving = 0;
  if (sv_query_leaving (s->sv))
    return true;
  for (size_t i = 0; i < count; i++)
    leaving += members[i].leaving
               && st_equal (members[i].data_center,
                            st_name_str (&s->sv->config.data_center));
  if (leaving >= max_leaving)
    return er_set (err, ER_LIMIT,
                   "%d VMs of this data centre are draining "
                   "and drain.together_max is %d; wait until they have ended",
                   (int)leaving, (int)max_leaving);
  sv_begin_drain (s->sv);
  return true;
}

/* --- lifetime --------------------------------------------------------- */

static void
_se_serve_update_members (se_service *s)
{
  size_t count;
  const cm_member *members = sv_query_members (s->sv, &count);
  se_member *list = g_new0 (se_member, count + 1);
  for (size_t i = 0; i < count; i++)
    list[i] = (se_member){ members[i].name, members[i].incarnation,
                           members[i].data_center, members[i].leaving };
  se_set_members (s->se, list, count);
  g_free (list);
}

/* Starts the settings task and, with listen.admin, the administration API.
   NULL with ERR when its listener cannot be opened.  */
se_service *
se_serve_make (sv_server *sv, er_error *err)
{
  se_service *s = g_new0 (se_service, 1);
  s->sv = sv;
  s->se = se_make (
      &(se_desc){ .platform = sv->platform,
                  .name = st_name_str (&sv->config.vm_name),
                  .data_center = st_name_str (&sv->config.data_center),
                  .seed = sv_random (sv),
                  .user = s,
                  .send = _se_serve_send,
                  .on_applied = _se_serve_applied,
                  .on_finished = _se_serve_finished,
                  .on_history = _se_serve_history_read },
      sv_now_us (sv));
  if (sv->config.listen_admin.len == 0)
    return s;
  s->aa
      = aa_make (&(aa_desc){ .base = sv->base,
                             .unsent = &sv->unsent,
                             .listen = sv->config.listen_admin.text,
                             .tokens = sv->config.tokens,
                             .token_count = sv->config.token_count,
                             .core = { s, _se_serve_settings, _se_serve_submit,
                                       _se_serve_history, _se_serve_operations,
                                       _se_serve_members, _se_serve_drain } },
                 err);
  if (s->aa != NULL)
    {
      lg_log (LG_INFO, "", "administration API listens on port %u",
              aa_query_port (s->aa));
      return s;
    }
  se_serve_destroy (s);
  return NULL;
}

/* Closes the listener and releases S, which may be NULL.  */
void
se_serve_destroy (se_service *s)
{
  if (s == NULL)
    return;
  aa_destroy (s->aa);
  se_destroy (s->se);
  g_free (s);
}

/* Periodic work: updates the member list and retries what got no reply.  */
void
se_serve_tick (se_service *s)
{
  uint64_t now_us = sv_now_us (s->sv);
  if (now_us >= s->next_members_us)
    {
      s->next_members_us = now_us + _SE_MEMBERS_PERIOD_US;
      _se_serve_update_members (s);
    }
  se_tick (s->se, now_us, sv_wall_ms (s->sv));
}

/* Handles messages about settings, and the version in probes.  */
void
se_serve_on_message (se_service *s, st_str sender, const ms_message *m)
{
  switch (m->type)
    {
    case MS_PING:
    case MS_ACK:
      se_on_version (s->se, m->u.probe.sender, m->u.probe.settings_version);
      break;
    default:
      se_on_message (s->se, sender, m);
      break;
    }
}

/* Version in force, for probes.  */
uint64_t
se_serve_version (const se_service *s)
{
  return se_query_version (s->se);
}

/* True once the settings were read.  */
bool
se_serve_ready (const se_service *s)
{
  return se_query_ready (s->se);
}
