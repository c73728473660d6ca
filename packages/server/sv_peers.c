#include "sv_peers.h"

#include "lg.h"
#include "pe.h"
#include "sv.h"

#include <glib.h>
#include <string.h>

/* Most teams that one VM reports, the size of the table in po_.  */
#define _SV_MAX_DEMANDS 256
#define _SV_REPORT_INTERVAL_US CK_S_US

/* Owned copy of a member's record.  */
typedef struct
{
  st_name name;
  st_name region;
  st_name data_center;
  char incarnation[MB_INCARNATION_MAX + 1];
  char callers_address[MB_ADDRESS_MAX + 1];
  mb_member_state state;
} _sv_record;

struct sv_peers
{
  sv_server *sv;
  pe_task *pe;     /* NULL without listen.peers */
  GArray *records; /* _sv_record, this VM first */
  GArray *members; /* cm_member, views into RECORDS */
  uint64_t next_report_us;
};

static void
_sv_add_record (sv_peers *p, const mb_record *r)
{
  _sv_record record;
  memset (&record, 0, sizeof record);
  st_name_set (&record.name, r->name);
  st_name_set (&record.region, r->region);
  st_name_set (&record.data_center, r->data_center);
  st_copy (record.incarnation, sizeof record.incarnation, r->incarnation);
  st_copy (record.callers_address, sizeof record.callers_address,
           r->callers_address);
  record.state = r->state;
  g_array_append_val (p->records, record);
}

static void
_sv_add_self (sv_peers *p)
{
  const sv_server *sv = p->sv;
  mb_record self = {
    .name = st_name_str (&sv->config.vm_name),
    .incarnation = st_from_cstr (sv->incarnation),
    .region = st_name_str (&sv->config.region),
    .data_center = st_name_str (&sv->config.data_center),
    .callers_address = st_name_str (&sv->config.listen_callers),
    .state = sv_query_leaving (sv) ? MB_LEAVING : MB_ALIVE,
  };
  _sv_add_record (p, &self);
}

/* Reads the members again: this VM, then the others that are not dead.  */
void
sv_peers_refresh (sv_peers *p)
{
  uint32_t cursor = 0;
  mb_record r;
  g_array_set_size (p->records, 0);
  g_array_set_size (p->members, 0);
  _sv_add_self (p);
  while (p->pe != NULL
         && mb_query_member (pe_query_members (p->pe), &cursor, &r))
    if (r.state != MB_DEAD && r.incarnation.len > 0
        && !st_equal_cstr (r.incarnation, p->sv->incarnation))
      _sv_add_record (p, &r);
  for (guint i = 0; i < p->records->len; i++)
    {
      const _sv_record *record = &g_array_index (p->records, _sv_record, i);
      cm_member member
          = { .name = st_name_str (&record->name),
              .incarnation = st_from_cstr (record->incarnation),
              .region = st_name_str (&record->region),
              .data_center = st_name_str (&record->data_center),
              .callers_address = st_from_cstr (record->callers_address),
              .leaving = record->state == MB_LEAVING };
      g_array_append_val (p->members, member);
    }
}

static void
_sv_apply_report (sv_peers *p, st_str sender, const ms_demand_report *report)
{
  for (size_t i = 0; i < report->count; i++)
    po_on_report (p->sv->policy, sender, report->demands[i].team,
                  (double)report->demands[i].demand / 1000,
                  (double)report->demands[i].share / 1e6);
}

static void
_sv_on_peer_message (void *user, const pe_sender *sender, const ms_message *m)
{
  sv_peers *p = user;
  if (m->type == MS_DEMAND)
    _sv_apply_report (p, sender->name, &m->u.demand_report);
  sv_on_message (p->sv, sender->incarnation, m);
}

static void
_sv_on_probe (void *user, ms_probe *probe)
{
  const sv_peers *p = user;
  probe->settings_version = sv_query_settings_version (p->sv);
}

static void
_sv_send_to_region (sv_peers *p, const ms_demand_report *report)
{
  ms_message m = { .type = MS_DEMAND };
  m.u.demand_report = *report;
  for (guint i = 1; i < p->members->len; i++)
    {
      const cm_member *member = &g_array_index (p->members, cm_member, i);
      if (st_equal (member->region, st_name_str (&p->sv->config.region)))
        sv_peers_send (p, member->incarnation, &m);
    }
}

/* Reports the teams' demand to the other VMs of the region.  The stated
   error of the limits is based on a report every second.  */
static void
_sv_send_reports (sv_peers *p)
{
  ms_demand demands[_SV_MAX_DEMANDS];
  st_name teams[_SV_MAX_DEMANDS];
  double demand[_SV_MAX_DEMANDS];
  double share[_SV_MAX_DEMANDS];
  size_t count = po_query_reports (p->sv->policy, teams, demand, share,
                                   _SV_MAX_DEMANDS);
  for (size_t i = 0; i < count; i++)
    demands[i] = (ms_demand){ .team = st_name_str (&teams[i]),
                              .demand = (uint64_t)(demand[i] * 1000),
                              .share = (uint64_t)(share[i] * 1e6) };
  for (size_t from = 0; from < count; from += MS_DEMANDS_MAX)
    {
      size_t batch_count
          = count - from < MS_DEMANDS_MAX ? count - from : MS_DEMANDS_MAX;
      _sv_send_to_region (p,
                          &(ms_demand_report){ batch_count, demands + from });
    }
}

/* Periodic work.  */
void
sv_peers_tick (sv_peers *p)
{
  uint64_t now_us = sv_now_us (p->sv);
  if (now_us < p->next_report_us)
    return;
  p->next_report_us = now_us + _SV_REPORT_INTERVAL_US;
  _sv_send_reports (p);
}

static bool
_sv_is_listed (const sv_server *sv, st_str name)
{
  return dr_find (sv->directory, DR_VM, name) != NULL;
}

static void
_sv_on_peer_event (void *user, mb_event event, st_str name, st_str incarnation)
{
  sv_peers *p = user;
  sv_server *sv = p->sv;
  switch (event)
    {
    case MB_JOINED:
      lg_log (LG_INFO, "", "VM %.*s joined", ST_FMT (name));
      po_set_vm (sv->policy, name, true, false);
      rl_on_member_joined (sv->rollouts, incarnation);
      break;
    case MB_LEFT:
      lg_log (LG_INFO, "", "VM %.*s is leaving", ST_FMT (name));
      break;
    case MB_DIED:
      lg_log (LG_WARNING, "", "VM %.*s is dead", ST_FMT (name));
      po_set_vm (sv->policy, name, false, !_sv_is_listed (sv, name));
      cl_on_dispatcher_dead (sv->owned_cells, incarnation);
      break;
    case MB_OWN_DEAD:
      lg_log (LG_WARNING, "", "this VM was declared dead by its peers");
      break;
    case MB_SUSPECTED:
    case MB_CLEARED:
    case MB_RESYNC:
      break;
    }
  sv_members_changed (sv);
}

/* Starts the peer task.  NULL, with ERR set, when the peers' address cannot
   be bound.  */
sv_peers *
sv_peers_make (sv_server *sv, er_error *err)
{
  sv_peers *p = g_new0 (sv_peers, 1);
  p->sv = sv;
  p->records = g_array_new (FALSE, TRUE, sizeof (_sv_record));
  p->members = g_array_new (FALSE, TRUE, sizeof (cm_member));
  if (sv->config.listen_peers.len > 0)
    {
      p->pe = pe_make (
          &(pe_desc){ .base = sv->base,
                      .metrics = sv->metrics,
                      .name = st_name_str (&sv->config.vm_name),
                      .incarnation = st_from_cstr (sv->incarnation),
                      .region = st_name_str (&sv->config.region),
                      .data_center = st_name_str (&sv->config.data_center),
                      .peer_address = st_name_str (&sv->config.listen_peers),
                      .callers_address
                      = st_name_str (&sv->config.listen_callers),
                      .counter = sv_wall_ms (sv),
                      .seed = sv_random (sv),
                      .on_message = _sv_on_peer_message,
                      .on_event = _sv_on_peer_event,
                      .on_probe = _sv_on_probe,
                      .user = p },
          err);
      if (p->pe == NULL)
        {
          sv_peers_destroy (p);
          return NULL;
        }
    }
  sv_peers_refresh (p);
  return p;
}

/* Closes all connections.  */
void
sv_peers_destroy (sv_peers *p)
{
  if (p == NULL)
    return;
  pe_destroy (p->pe);
  g_array_free (p->records, TRUE);
  g_array_free (p->members, TRUE);
  g_free (p);
}

/* Passes the VMs of the VM list to the membership.  */
void
sv_peers_set_vm_list (sv_peers *p, const dr_directory *directory)
{
  GArray *listed = g_array_new (FALSE, TRUE, sizeof (mb_vm_entry));
  for (size_t i = 0; i < dr_query_count (directory); i++)
    {
      const dr_entry *e = dr_query_at (directory, i);
      mb_vm_entry entry = { .name = st_name_str (&e->name),
                            .region = st_name_str (&e->region),
                            .data_center = st_name_str (&e->data_center),
                            .peer_address = st_name_str (&e->peer_address),
                            .callers_address = st_name_str (&e->address),
                            .leaving = e->leaving };
      if (e->kind == DR_VM)
        g_array_append_val (listed, entry);
    }
  if (p->pe != NULL)
    pe_set_vm_list (p->pe, (const mb_vm_entry *)(void *)listed->data,
                    listed->len);
  g_array_free (listed, TRUE);
}

/* Announces to the other VMs that this one takes no new work.  */
void
sv_peers_leave (sv_peers *p)
{
  if (p->pe != NULL)
    pe_leave (p->pe);
  sv_peers_refresh (p);
}

/* Rejoins under the server's new incarnation.  */
void
sv_peers_rejoin (sv_peers *p)
{
  if (p->pe != NULL)
    pe_rejoin (p->pe, st_from_cstr (p->sv->incarnation), sv_wall_ms (p->sv));
  sv_peers_refresh (p);
}

/* True when the others declared this incarnation dead.  */
bool
sv_peers_query_own_dead (const sv_peers *p)
{
  return p->pe != NULL && mb_query_own_dead (pe_query_members (p->pe));
}

/* Sends M to another process.  False when it cannot be reached now.  */
bool
sv_peers_send (sv_peers *p, st_str incarnation, const ms_message *m)
{
  return p->pe != NULL && pe_send (p->pe, incarnation, m) == PE_SENT;
}

/* The live VMs, this one first; valid until the next change.  */
const cm_member *
sv_peers_query (const sv_peers *p, size_t *count)
{
  *count = p->members->len;
  return (const cm_member *)(void *)p->members->data;
}

/* State of the process INCARNATION; CALLERS_ADDRESS is set when it is alive
   or leaving.  */
sv_peer_state
sv_peers_find (const sv_peers *p, st_str incarnation, st_str *callers_address)
{
  mb_member_state state;
  size_t count;
  const cm_member *members = sv_peers_query (p, &count);
  for (size_t i = 0; i < count; i++)
    if (st_equal (members[i].incarnation, incarnation))
      {
        *callers_address = members[i].callers_address;
        return members[i].leaving ? SV_PEER_LEAVING : SV_PEER_ALIVE;
      }
  if (p->pe != NULL
      && mb_query_incarnation (pe_query_members (p->pe), incarnation, &state))
    return SV_PEER_DEAD;
  return SV_PEER_UNKNOWN;
}

static const char *
_sv_state_name (mb_member_state state)
{
  switch (state)
    {
    case MB_ALIVE:
      return "alive";
    case MB_SUSPECT:
      return "suspect";
    case MB_LEAVING:
      return "leaving";
    case MB_DEAD:
    case MB_STATES:
      break;
    }
  return "dead";
}

/* Array with one entry for each member, for the administration API.  */
json_t *
sv_peers_json (const sv_peers *p)
{
  json_t *list = json_array ();
  for (guint i = 0; i < p->records->len; i++)
    {
      const _sv_record *r = &g_array_index (p->records, _sv_record, i);
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s}", "name", r->name.text,
                     "incarnation", r->incarnation, "region", r->region.text,
                     "data_center", r->data_center.text, "address",
                     r->callers_address, "state", _sv_state_name (r->state)));
    }
  return list;
}
