/* The other VMs: what they report, and which of them take callers.  */
#include "gw_internal.h"
#include "pc.h"

#include <inttypes.h>
#include <string.h>

/* Queues of a VM count for this long after its report.  */
#define _GW_WAITING_FRESH_US 600000
#define _GW_ASK_EVERY_US 300000
/* Without a report for this long a mate no longer counts as a follower of the
   store: two reports are missing.  */
#define _GW_FOLLOWER_SILENT_US 1000000
/* Incarnations that are remembered; later ones count as older, which is the
   safe side for a team.  */
#define _GW_HEARD_MAX 16384
/* VMs that are started together begin within this time.  */
#define _GW_START_SKEW_US 500000
/* Stands for all other cells among the peers; no hash of a name is even
   there.  */
#define _GW_REST_KEY 2

static _gw_peer *
_gw_find_peer (gw_task *gw, uint64_t key)
{
  for (int i = 0; i < UT_PEERS_MAX; i++)
    if (gw->peer[i].key == key)
      return &gw->peer[i];
  return NULL;
}

static _gw_peer *
_gw_add_peer (gw_task *gw, uint64_t key, const pe_sender *sender)
{
  _gw_peer *p = _gw_find_peer (gw, key);
  if (p == NULL)
    p = _gw_find_peer (gw, 0);
  if (p == NULL || p->key != 0)
    return p;
  p->key = key;
  st_name_set (&p->name, sender->name);
  st_copy (p->incarnation, sizeof p->incarnation, sender->incarnation);
  LO_EVENT ("peer_heard", ST_LIT (""), LO_STR ("peer", sender->name),
            LO_BOOL ("cell", key != ut_hash (sender->incarnation)));
  return p;
}

static void
_gw_forget_peer (gw_task *gw, _gw_peer *p)
{
  ut_set_peer (gw->upstreams, p->key, &(ut_report){ 0 }, gw->now_us);
  for (guint i = 0; i < gw->teams->len; i++)
    bu_remove_peer (&((_gw_team *)gw->teams->pdata[i])->quota, p->key);
  g_free (p->rows);
  *p = (_gw_peer){ 0 };
}

/* True when the sender of LOAD began after this VM and is heard for the first
   time, so that all it has admitted is news.  One that leaves or was taken for
   dead is forgotten and heard again; its admitted requests were counted
   before.  */
static bool
_gw_is_younger (gw_task *gw, uint64_t key, const ms_load *load)
{
  uint64_t own_us = gw->now_us - gw->started_us;
  if (load->scope != MS_LOAD_VM
      || load->uptime_ms * CK_MS_US > own_us + _GW_START_SKEW_US
      || g_hash_table_size (gw->heard) >= _GW_HEARD_MAX)
    return false;
  return g_hash_table_add (gw->heard, g_memdup2 (&key, sizeof key));
}

static void
_gw_keep_load (gw_task *gw, _gw_peer *p, const ms_load *load)
{
  if (p->heard_us == 0)
    p->younger = _gw_is_younger (gw, p->key, load);
  else if (gw->now_us - p->heard_us > _GW_PEER_SILENT_US)
    p->younger = false; /* quotas may have forgotten what it told */
  p->heard_us = gw->now_us;
  p->scope = load->scope;
  p->cell = load->cell;
  p->active = load->active;
  p->ready = load->ready;
  p->config_version = load->config_version;
  p->follows = load->follows;
  p->store_revision = load->store_revision;
  memcpy (p->waiting, load->waiting, sizeof p->waiting);
  g_free (p->rows);
  p->row_count = load->row_count;
  p->rows = g_new (ut_row, load->row_count + 1);
  for (size_t i = 0; i < load->row_count; i++)
    p->rows[i] = (ut_row){ load->rows[i].upstream, load->rows[i].running,
                           load->rows[i].unread_tokens };
  p->team_count
      = load->team_count < _GW_TEAMS_MAX ? load->team_count : _GW_TEAMS_MAX;
  if (p->team_count > 0)
    memcpy (p->teams, load->teams, p->team_count * sizeof *p->teams);
}

static void
_gw_count_teams (gw_task *gw, const _gw_peer *p)
{
  for (size_t i = 0; i < p->team_count; i++)
    for (guint k = 0; k < gw->teams->len; k++)
      {
        _gw_team *team = gw->teams->pdata[k];
        if (team->hash == p->teams[i].team)
          bu_report_quota (&team->quota, p->key, p->teams[i].admitted,
                           p->younger, gw->now_us);
      }
}

static void
_gw_on_load (gw_task *gw, const pe_sender *sender, const ms_load *load)
{
  uint64_t key = 0;
  switch (load->scope)
    {
    case MS_LOAD_VM:
      key = ut_hash (sender->incarnation);
      break;
    case MS_LOAD_GROUP:
      /* The speaker passes the sum of the cells on; for itself it is the
         rest as well.  */
      key = load->cell;
      break;
    case MS_LOAD_OTHER_GROUPS:
      key = _GW_REST_KEY;
      break;
    case MS_LOAD_SCOPES:
      return;
    }
  /* A speaker knows the cells themselves, the others their sum.  */
  if ((load->scope == MS_LOAD_OTHER_GROUPS && gw->cell.speaker)
      || (load->scope == MS_LOAD_GROUP
          && (!gw->cell.speaker || load->cell == gw->cell.cell)))
    return;
  _gw_peer *p = key != 0 ? _gw_add_peer (gw, key, sender) : NULL;
  if (p == NULL)
    return;
  _gw_keep_load (gw, p, load);
  ut_report report = { .rows = p->rows, .count = p->row_count };
  for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
    report.waiting_ranks |= p->waiting[rank] > 0 ? 1u << rank : 0;
  ut_set_peer (gw->upstreams, p->key, &report, gw->now_us);
  _gw_count_teams (gw, p);
  if (load->scope == MS_LOAD_VM
      && load->config_version > gw_query_config_version (gw))
    gw_ask_document (gw);
  _gw_schedule_all (gw);
}

static void
_gw_on_message (void *user, const pe_sender *sender, const ms_message *m)
{
  gw_task *gw = user;
  _gw_now (gw);
  if (m->type == MS_LOAD)
    _gw_on_load (gw, sender, &m->u.load);
  else if (m->type == MS_SETTINGS_GET && gw->desc.query_document != NULL)
    {
      ms_message answer = { .type = MS_SETTINGS_VALUE };
      answer.u.settings_value.hash = ST_LIT ("document");
      answer.u.settings_value.bytes
          = gw->desc.query_document (gw->desc.user, m->u.settings_get.since);
      if (answer.u.settings_value.bytes.len > 0)
        pe_send (gw->peers, sender->incarnation, &answer);
    }
  else if (m->type == MS_SETTINGS_VALUE && gw->desc.on_document != NULL
           && m->u.settings_value.bytes.len > 0)
    gw->desc.on_document (gw->desc.user, m->u.settings_value.bytes);
}

/* Sends DOCUMENT of the adapter to the cell.  */
void
gw_share (gw_task *gw, st_str document)
{
  ms_message m = { .type = MS_SETTINGS_VALUE };
  m.u.settings_value.hash = ST_LIT ("document");
  m.u.settings_value.bytes = document;
  if (gw->peers == NULL)
    return;
  _gw_tell (gw, gw->cell.working, &m);
  _gw_tell (gw, gw->cell.standby, &m);
}

/* Asks the mate that knows the store best for what this VM does not know;
   at most every so often.  */
void
gw_ask_document (gw_task *gw)
{
  const _gw_peer *best = NULL;
  gw_following own = { 0 };
  _gw_now (gw);
  if (gw->peers == NULL
      || (gw->document_asked_us != 0
          && gw->now_us - gw->document_asked_us < _GW_ASK_EVERY_US))
    return;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      if (p->key != 0 && p->scope == MS_LOAD_VM && p->config_version > 0
          && gw->now_us - p->heard_us < _GW_PEER_SILENT_US
          && (best == NULL || p->config_version > best->config_version
              || (p->config_version == best->config_version
                  && p->store_revision > best->store_revision)))
        best = p;
    }
  if (best == NULL)
    return;
  gw->document_asked_us = gw->now_us;
  if (gw->desc.query_following != NULL)
    own = gw->desc.query_following (gw->desc.user);
  ms_message m = { .type = MS_SETTINGS_GET };
  m.u.settings_get.since = own.revision;
  pe_send (gw->peers, st_from_cstr (best->incarnation), &m);
}

/* Counts in FIRST the mates that follow the store and come before this VM by
   name, and tells the newest revision among all that follow it.  */
void
gw_query_followers (const gw_task *gw, uint32_t *first, uint64_t *newest)
{
  *first = 0;
  *newest = 0;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      if (p->key == 0 || p->scope != MS_LOAD_VM || !p->follows
          || p->cell != gw->cell.cell
          || ck_now_us (gw->desc.clock) - p->heard_us > _GW_FOLLOWER_SILENT_US)
        continue;
      if (pc_compare_names (st_name_str (&p->name), gw->desc.vm_name) < 0)
        (*first)++;
      if (p->store_revision > *newest)
        *newest = p->store_revision;
    }
}

/* VMs that are known and not dead, this one included.  */
uint32_t
gw_query_vm_count (const gw_task *gw)
{
  return gw->cell.vm_count > 0 ? gw->cell.vm_count : 1;
}

/* Names this process anew; no other one had the name.  */
static void
_gw_new_incarnation (gw_task *gw)
{
  snprintf (gw->incarnation, sizeof gw->incarnation,
            "%.*s-%08" PRIx32 "%08" PRIx32, ST_FMT (gw->desc.vm_name),
            _gw_random (gw), _gw_random (gw));
  ut_set_key (gw->upstreams, ut_hash (st_from_cstr (gw->incarnation)));
}

static void
_gw_on_member (void *user, mb_event event, st_str name, st_str incarnation)
{
  gw_task *gw = user;
  _gw_peer *p = _gw_find_peer (gw, ut_hash (incarnation));
  _gw_now (gw);
  switch (event)
    {
    case MB_JOINED:
      LO_EVENT ("peer_joined", ST_LIT (""), LO_STR ("peer", name));
      _gw_build_cell (gw);
      _gw_load_changed (gw);
      break;
    case MB_LEFT:
    case MB_DIED:
      LO_EVENT ("peer_left", ST_LIT (""), LO_STR ("peer", name),
                LO_BOOL ("died", event == MB_DIED));
      if (p != NULL)
        _gw_forget_peer (gw, p);
      break;
    case MB_OWN_DEAD:
      {
        ck_clock clock = { 0 };
        uint64_t counter = ck_wall_ms (&clock);
        _gw_new_incarnation (gw);
        pe_rejoin (gw->peers, st_from_cstr (gw->incarnation), counter);
        break;
      }
    case MB_SUSPECTED:
    case MB_CLEARED:
    case MB_RESYNC:
      break;
    }
}

/* Starts the task that talks to the other VMs.  */
bool
_gw_start_peers (gw_task *gw, er_error *err)
{
  ck_clock clock = { 0 };
  uint64_t counter = ck_wall_ms (&clock);
  if (gw->desc.peer_listen.len == 0)
    return true;
  _gw_new_incarnation (gw);
  gw->peers
      = pe_make (&(pe_desc){ .base = gw->desc.base,
                             .clock = gw->desc.clock,
                             .metrics = gw->desc.metrics,
                             .name = gw->desc.vm_name,
                             .incarnation = st_from_cstr (gw->incarnation),
                             .region = gw->desc.region,
                             .data_center = gw->desc.data_center,
                             .capacity = gw->desc.capacity,
                             .peer_address = gw->desc.peer_listen,
                             .callers_address = gw->desc.listen,
                             .counter = counter,
                             .seed = gw->desc.seed,
                             .on_message = _gw_on_message,
                             .on_event = _gw_on_member,
                             .user = gw },
                 err);
  if (gw->peers == NULL)
    return false;
  _gw_start_reports (gw);
  return true;
}

/* Forgets reports of VMs that are silent.  */
void
_gw_expire_peers (gw_task *gw)
{
  ut_expire_peers (gw->upstreams, gw->now_us);
  for (int i = 0; i < UT_PEERS_MAX; i++)
    if (gw->peer[i].key != 0 && gw->peer[i].ready
        && gw->now_us - gw->peer[i].heard_us > _GW_PEER_SILENT_US)
      {
        gw->peer[i].ready = false;
        LO_EVENT ("peer_silent", ST_LIT (""),
                  LO_STR ("peer", st_name_str (&gw->peer[i].name)));
      }
}

/* Age of the oldest report of load that counts; 0 when there is none.  */
uint64_t
_gw_reports_age_us (const gw_task *gw)
{
  uint64_t oldest = 0;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      uint64_t age = gw->now_us - p->heard_us;
      if (p->key != 0 && age < _GW_PEER_SILENT_US && age > oldest)
        oldest = age;
    }
  return oldest;
}

/* Requests that wait at the other VMs, by tier.  */
void
_gw_peer_waiting (const gw_task *gw, uint32_t waiting[GQ_RANKS])
{
  memset (waiting, 0, GQ_RANKS * sizeof *waiting);
  for (int i = 0; i < UT_PEERS_MAX; i++)
    if (gw->peer[i].key != 0
        && gw->now_us - gw->peer[i].heard_us < _GW_WAITING_FRESH_US)
      for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
        waiting[rank] += gw->peer[i].waiting[rank];
}

/* Whether callers may be sent to the VM of RECORD.  VMs of the own cell are
   ready when they say so all the time; of others no more may be known than
   that they are alive.  */
static bool
_gw_takes_callers (const gw_task *gw, const mb_record *record)
{
  const _gw_peer *p
      = _gw_find_peer ((gw_task *)gw, ut_hash (record->incarnation));
  bool reports = p != NULL && p->scope == MS_LOAD_VM;
  if (record->state == MB_LEAVING)
    return false;
  if (reports
      && (p->cell == gw->cell.cell
          || ck_now_us (gw->desc.clock) - p->heard_us <= _GW_PEER_SILENT_US))
    return p->ready;
  return gw->cell.cell != 0;
}

/* Fills VMS with the VMs that are known and not dead, this one first, at most
   MAX; returns their number.  Of the ready ones those are active that would
   be if there were no others: a VM that takes no callers is replaced before
   it is known to have ended.  */
uint32_t
gw_query_vms (const gw_task *gw, gw_vm *vms, uint32_t max)
{
  static pc_member ready[GW_VMS_MAX];
  static bool active[GW_VMS_MAX];
  uint32_t count = 0;
  uint32_t ready_count = 0;
  uint32_t cursor = 0;
  mb_record record;
  if (max > GW_VMS_MAX)
    max = GW_VMS_MAX;
  vms[count++] = (gw_vm){ .name = gw->desc.vm_name,
                          .region = gw->desc.region,
                          .data_center = gw->desc.data_center,
                          .callers_address = gw->desc.listen,
                          .ready = gw_query_ready (gw) };
  if (vms[0].ready)
    ready[ready_count++]
        = (pc_member){ vms[0].name, vms[0].data_center, gw->desc.capacity };
  while (gw->peers != NULL && count < max
         && mb_query_member (pe_query_members (gw->peers), &cursor, &record))
    {
      if (record.state == MB_DEAD || st_equal (record.name, gw->desc.vm_name))
        continue;
      vms[count] = (gw_vm){ .name = record.name,
                            .region = record.region,
                            .data_center = record.data_center,
                            .callers_address = record.callers_address,
                            .ready = _gw_takes_callers (gw, &record) };
      if (vms[count++].ready)
        ready[ready_count++]
            = (pc_member){ record.name, record.data_center, record.capacity };
    }
  /* In a single cell all are, however many are ready.  */
  if (gw->cell.cell == 0)
    memset (active, true, sizeof active);
  else
    pc_choose_active (ready, ready_count, active);
  for (uint32_t i = 0, k = 0; i < count; i++)
    vms[i].active = vms[i].ready && active[k++];
  return count;
}
