/* The other VMs: receives their reports and tracks which accept callers.  */
#include "gw_internal.h"
#include "pc.h"

#include <inttypes.h>
#include <string.h>

/* Time for which the queue lengths in a report are used.  */
#define _GW_WAITING_VALID_US 600000
/* A VM of the group that has not reported for this long, which is two missed
   reports, is not counted as a follower of the store.  */
#define _GW_FOLLOWER_TIMEOUT_US 1000000
/* Incarnations that are remembered.  Once they are so many, each new one
   counts as started before this VM, which errs on the side of admitting a
   team.  */
#define _GW_SEEN_PEERS_MAX 16384
/* Start times of VMs that are started together differ by less than this.  */
#define _GW_START_SKEW_US 500000
/* A VM that is reachable has reported by this time after the start, also when
   hundreds of VMs start and connect to each other at once.  */
#define _GW_HEARD_BY_US 6000000
/* Keys of the sums of other groups and of other VMs among the peers.  They are
   even, and hashes of names are odd.  */
#define _GW_OTHER_GROUPS_KEY 2
#define _GW_OTHER_VMS_KEY 4

/* Marks of documents: the reply to a fetch, and published changes.  */
#define _GW_REPLY ST_LIT ("document")
#define _GW_CHANGES ST_LIT ("changes")

/* The VM or sum of VMs that reports under KEY; NULL when none does.  */
_gw_peer *
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
  /* cell: the reports are sums over several VMs.  */
  LO_EVENT ("peer_heard", ST_LIT (""), LO_STR ("peer", sender->name),
            LO_BOOL ("cell", key != ut_hash (sender->incarnation)));
  return p;
}

static void
_gw_remove_peer (gw_task *gw, _gw_peer *p)
{
  if (gw->fetch.peer == p->key)
    ft_on_end (&gw->fetch);
  ut_set_peer (gw->upstreams, p->key, &(ut_report){ 0 }, gw->now_us);
  for (guint i = 0; i < gw->teams->len; i++)
    bu_remove_peer (&((_gw_team *)gw->teams->pdata[i])->quota, p->key);
  g_free (p->rows);
  *p = (_gw_peer){ 0 };
}

/* True when the sender of LOAD started after this VM, or at most
   _GW_START_SKEW_US before it, and is seen for the first time, so that none of
   its admitted requests has been counted here.  A VM that left or was declared
   dead is removed and may report again; its admitted requests were counted
   before.  So were, in the sums, those of all that started before this VM
   became active.  */
static bool
_gw_started_later (gw_task *gw, uint64_t key, const ms_load *load)
{
  uint64_t since_us
      = gw->active_us > gw->started_us ? gw->active_us : gw->started_us;
  uint64_t own_us = gw->now_us - since_us;
  if (load->scope != MS_LOAD_VM
      || load->uptime_ms * CK_MS_US > own_us + _GW_START_SKEW_US
      || g_hash_table_size (gw->seen_peers) >= _GW_SEEN_PEERS_MAX)
    return false;
  return g_hash_table_add (gw->seen_peers, g_memdup2 (&key, sizeof key));
}

/* True when the sender of LOAD, for which _gw_started_later is true, started
   with this VM and has a share of the quotas of that start.  */
static bool
_gw_started_together (const gw_task *gw, const ms_load *load)
{
  uint64_t own_us = gw->now_us - gw->started_us;
  return own_us <= _GW_HEARD_BY_US
         && load->uptime_ms * CK_MS_US + _GW_START_SKEW_US >= own_us;
}

static void
_gw_store_load (gw_task *gw, _gw_peer *p, const ms_load *load)
{
  p->report_received_us = gw->now_us;
  p->scope = load->scope;
  p->vm_group = load->cell;
  p->active = load->active;
  p->ready = load->ready;
  p->no_path = load->no_path;
  p->config_version = load->config_version;
  p->follows = load->follows;
  p->store_revision = load->store_revision;
  memcpy (p->waiting, load->waiting, sizeof p->waiting);
  p->rollout_count = load->rollout_count;
  if (load->rollout_count > 0)
    memcpy (p->rollouts, load->rollouts,
            load->rollout_count * sizeof *p->rollouts);
  g_free (p->rows);
  p->row_count = load->row_count;
  p->rows = g_new (ut_row, load->row_count + 1);
  p->running = 0;
  for (size_t i = 0; i < load->row_count; i++)
    {
      p->rows[i] = (ut_row){ load->rows[i].upstream, load->rows[i].running,
                             load->rows[i].unread_tokens };
      p->running += load->rows[i].running;
    }
}

/* True for a while after the start, in which this VM knows other VMs from the
   VM list only.  */
bool
_gw_is_joining (const gw_task *gw)
{
  return gw->peers != NULL
         && ck_now_us (gw->desc.clock) - gw->started_us <= _GW_HEARD_BY_US;
}

/* True when NAME is this VM or a member, dead ones included.  */
bool
_gw_is_member (const gw_task *gw, st_str name)
{
  uint32_t cursor = 0;
  mb_record record;
  if (st_equal (name, gw->desc.vm_name))
    return true;
  while (mb_query_member (pe_query_members (gw->peers), &cursor, &record))
    if (st_equal (record.name, name))
      return true;
  return false;
}

/* True when the VM of P may admit requests like this one, and reports directly
   to it.  */
bool
_gw_shares_quotas (const gw_task *gw, const _gw_peer *p)
{
  return gw->group.active && p->key != 0 && p->scope == MS_LOAD_VM
         && p->active;
}

/* Number of VMs that may admit requests like this one, and how many of them
   this VM has HEARD of, itself included.  All VMs on standby may have callers
   for a while, and hear of the active ones in the sums.  */
static uint32_t
_gw_count_sharers (const gw_task *gw, uint32_t *heard)
{
  bool active_heard = false;
  *heard = 1;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      if (p->key == 0)
        continue;
      if (gw->group.active)
        *heard += _gw_shares_quotas (gw, p);
      else
        active_heard |= p->scope != MS_LOAD_VM;
    }
  if (gw->group.active)
    return gw->group.active_count;
  if (active_heard)
    *heard = gw->group.vm_count;
  return gw->group.vm_count;
}

/* Reserves the shares of VMs that have not been heard of yet, for a while
   after this VM's start.  */
void
_gw_reserve_unheard (gw_task *gw)
{
  uint32_t heard;
  uint32_t vms = _gw_count_sharers (gw, &heard);
  uint32_t unheard = vms > heard ? vms - heard : 0;
  if (gw->peers == NULL || gw->now_us - gw->started_us > _GW_HEARD_BY_US)
    unheard = 0;
  for (guint i = 0; i < gw->teams->len; i++)
    bu_reserve_unheard (&((_gw_team *)gw->teams->pdata[i])->quota, unheard,
                        vms, gw->now_us);
}

/* Gives the teams their first part of a bucket, once the configuration and the
   VMs that share it are known.  */
void
_gw_start_quotas (gw_task *gw)
{
  uint32_t heard;
  if (gw->quotas_started || gw->config == NULL)
    return;
  gw->quotas_started = true;
  if (gw->peers != NULL)
    _gw_build_group (gw);
  uint32_t vms = _gw_count_sharers (gw, &heard);
  for (guint i = 0; i < gw->teams->len; i++)
    {
      bu_quota *quota = &((_gw_team *)gw->teams->pdata[i])->quota;
      bu_start_quota (quota, vms, gw->now_us);
      for (uint32_t n = 0; n < gw->started_together; n++)
        bu_add_share (quota, gw->now_us);
    }
  _gw_reserve_unheard (gw);
}

/* Counts a VM that started with this one and has reported for the first
   time.  */
static void
_gw_add_share (gw_task *gw)
{
  gw->started_together++;
  for (guint i = 0; gw->quotas_started && i < gw->teams->len; i++)
    bu_add_share (&((_gw_team *)gw->teams->pdata[i])->quota, gw->now_us);
}

/* Counts what the VMs of LOAD, which the VM SENDER reports for the peer P,
   admitted since its last report.  FIRST: P has not reported before.  */
static void
_gw_count_quotas (gw_task *gw, const _gw_peer *p, const pe_sender *sender,
                  const ms_load *load, bool first)
{
  qa_row rows[_GW_TEAMS_MAX];
  qa_row increments[_GW_TEAMS_MAX];
  size_t count
      = load->team_count < _GW_TEAMS_MAX ? load->team_count : _GW_TEAMS_MAX;
  bool all_counted = first && _gw_started_later (gw, p->key, load);
  if (all_counted && _gw_started_together (gw, load))
    _gw_add_share (gw);
  for (size_t i = 0; i < count; i++)
    rows[i] = (qa_row){ load->teams[i].team, load->teams[i].admitted };
  count = qa_count (
      gw->quota_ledger,
      &(qa_report){ .source = ut_hash (sender->incarnation),
                    .group = load->scope != MS_LOAD_VM ? p->key : 0,
                    .all_counted = all_counted,
                    .rows = rows,
                    .count = count },
      increments);
  for (size_t i = 0; i < count; i++)
    {
      _gw_team *team = _gw_find_team_hash (gw, increments[i].team);
      bu_report_quota (&team->quota, p->key, increments[i].used, gw->now_us);
      for (_gw_sum what = _GW_SUM_GROUP; what < _GW_SUMS; what++)
        if (_gw_is_in_sum (&gw->group, p, what))
          team->sums[what] += increments[i].used;
    }
}

/* Adopts the limits of upstreams that the VM SENDER reports in LOAD.  */
static void
_gw_adopt_limits (gw_task *gw, const pe_sender *sender, const ms_load *load)
{
  for (size_t i = 0; i < load->limit_count; i++)
    {
      const ms_load_limit *row = &load->limits[i];
      ut_id id = ut_find_hash (gw->upstreams, row->upstream);
      uint64_t age_us = row->age_ms * CK_MS_US;
      el_limit statement
          = { .named = row->named,
              .per_s = row->per_s_milli / 1000.0,
              .stated_us = gw->now_us > age_us ? gw->now_us - age_us : 1,
              .origin = load->scope == MS_LOAD_VM ? EL_FROM_VM : EL_FROM_SUM };
      if (!ut_state_limit (gw->upstreams, id, &statement))
        continue;
      LO_EVENT ("upstream_limit", ST_LIT (""),
                LO_STR ("upstream",
                        st_name_str (&ut_query (gw->upstreams, id)->entry.id)),
                LO_BOOL ("named", row->named),
                LO_INT ("per_s_milli", row->per_s_milli),
                LO_STR ("peer", sender->name));
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
      /* An aggregator stores the sum of each other group, uses all of them
         and forwards their sum to its group.  */
      key = load->cell;
      break;
    case MS_LOAD_OTHER_GROUPS:
      key = _GW_OTHER_GROUPS_KEY;
      break;
    case MS_LOAD_OTHER_VMS:
      key = _GW_OTHER_VMS_KEY;
      break;
    case MS_LOAD_SCOPES:
      return;
    }
  /* An aggregator uses the sums of the single groups, the others the sum of
     all groups.  */
  if (((load->scope == MS_LOAD_OTHER_GROUPS
        || load->scope == MS_LOAD_OTHER_VMS)
       && gw->group.aggregator)
      || (load->scope == MS_LOAD_GROUP
          && (!gw->group.aggregator || load->cell == gw->group.id)))
    return;
  _gw_peer *p = key != 0 ? _gw_add_peer (gw, key, sender) : NULL;
  if (p == NULL)
    return;
  bool first = p->report_received_us == 0;
  gw->heard_us = gw->now_us;
  _gw_store_load (gw, p, load);
  _gw_on_silent_returned (gw, key);
  if (first)
    _gw_reserve_unheard (gw);
  ut_report report = { .rows = p->rows, .count = p->row_count };
  for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
    report.waiting_ranks |= p->waiting[rank] > 0 ? 1u << rank : 0;
  ut_set_peer (gw->upstreams, p->key, &report, gw->now_us);
  _gw_count_quotas (gw, p, sender, load, first);
  _gw_adopt_limits (gw, sender, load);
  if (p->rollout_count > 0)
    _gw_count_rollouts (gw);
  if (load->scope == MS_LOAD_VM
      && load->config_version > gw_query_config_version (gw))
    gw_fetch_document (gw);
  _gw_schedule_all (gw);
}

static void
_gw_on_message (void *user, const pe_sender *sender, const ms_message *m)
{
  gw_task *gw = user;
  _gw_now (gw);
  if (m->type == MS_LOAD)
    _gw_on_load (gw, sender, &m->u.load);
  else if (m->type == MS_SUSPECTS)
    _gw_on_suspects (gw, &m->u.suspects);
  else if (m->type == MS_SETTINGS_GET && gw->desc.query_document != NULL)
    {
      ms_message reply = { .type = MS_SETTINGS_VALUE };
      reply.u.settings_value.hash = _GW_REPLY;
      reply.u.settings_value.bytes
          = gw->desc.query_document (gw->desc.user, m->u.settings_get.since);
      pe_result result = PE_UNKNOWN;
      if (reply.u.settings_value.bytes.len > 0)
        result = pe_send_connected (gw->peers, sender, &reply);
      LO_EVENT ("document_reply", ST_LIT (""), LO_STR ("peer", sender->name),
                LO_INT ("since", m->u.settings_get.since),
                LO_INT ("bytes", reply.u.settings_value.bytes.len),
                LO_CSTR ("result", pe_result_name (result)));
    }
  else if (m->type == MS_SETTINGS_VALUE && gw->desc.on_document != NULL
           && m->u.settings_value.bytes.len > 0)
    {
      LO_EVENT ("document_received", ST_LIT (""),
                LO_STR ("peer", sender->name),
                LO_INT ("bytes", m->u.settings_value.bytes.len));
      if (st_equal (m->u.settings_value.hash, _GW_REPLY))
        ft_on_end (&gw->fetch);
      gw->desc.on_document (gw->desc.user, m->u.settings_value.bytes);
    }
}

/* Sends DOCUMENT of the adapter to the VMs of the group.  */
void
gw_publish_document (gw_task *gw, st_str document)
{
  ms_message m = { .type = MS_SETTINGS_VALUE };
  m.u.settings_value.hash = _GW_CHANGES;
  m.u.settings_value.bytes = document;
  if (gw->peers == NULL)
    return;
  LO_EVENT ("document_published", ST_LIT (""), LO_INT ("bytes", document.len),
            LO_INT ("vms", gw->group.active_members->len
                               + gw->group.standby_members->len));
  _gw_send_to_all (gw, gw->group.active_members, &m);
  _gw_send_to_all (gw, gw->group.standby_members, &m);
}

/* True when A is a better source of the document than B, by what they
   reported: the newer configuration, then a VM of this group, then one that
   follows the store.  */
static bool
_gw_is_better_source (const gw_task *gw, const _gw_peer *a, const _gw_peer *b)
{
  bool group_a = a->vm_group == gw->group.id;
  bool group_b = b->vm_group == gw->group.id;
  if (a->config_version != b->config_version)
    return a->config_version > b->config_version;
  if (group_a != group_b)
    return group_a;
  return a->follows && !b->follows;
}

/* The VM to fetch the document from, other than the one with the key EXCEPT
   where there is a choice; NULL when none has reported.  Equal ones are chosen
   from at random, so that no VM replies to all.  */
static const _gw_peer *
_gw_choose_source (gw_task *gw, uint64_t except)
{
  const _gw_peer *best = NULL;
  uint32_t equal = 0;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      if (p->key == 0 || p->key == except || p->scope != MS_LOAD_VM
          || p->config_version == 0
          || gw->now_us - p->report_received_us >= _GW_REPORT_TIMEOUT_US)
        continue;
      if (best == NULL || _gw_is_better_source (gw, p, best))
        equal = 0;
      else if (_gw_is_better_source (gw, best, p))
        continue;
      if (_gw_random (gw) % ++equal == 0)
        best = p;
    }
  return best == NULL && except != 0 ? _gw_choose_source (gw, 0) : best;
}

/* Requests the platform's document from another VM, unless a fetch is in
   progress or ended a short time ago.  */
void
gw_fetch_document (gw_task *gw)
{
  gw_follow_state own = { 0 };
  _gw_now (gw);
  if (gw->peers == NULL || !ft_may_fetch (&gw->fetch, gw->now_us))
    return;
  const _gw_peer *source = _gw_choose_source (gw, gw->fetch.peer);
  if (source == NULL)
    return;
  if (gw->desc.query_follow_state != NULL)
    own = gw->desc.query_follow_state (gw->desc.user);
  ms_message m = { .type = MS_SETTINGS_GET };
  m.u.settings_get.since = own.config_revision;
  pe_result result
      = pe_send_connected (gw->peers,
                           &(pe_sender){ st_name_str (&source->name),
                                         st_from_cstr (source->incarnation) },
                           &m);
  bool sent = result == PE_SENT;
  ft_on_sent (&gw->fetch, source->key, sent, gw->now_us);
  LO_EVENT ("document_fetch", ST_LIT (""), LO_BOOL ("sent", sent),
            LO_CSTR ("result", pe_result_name (result)),
            LO_STR ("peer", st_name_str (&source->name)),
            LO_INT ("since", own.config_revision),
            LO_INT ("config", gw_query_config_version (gw)),
            LO_INT ("peer_config", source->config_version),
            LO_INT ("peer_revision", source->store_revision));
}

/* Sets FIRST to the number of VMs of the group that follow the store and rank
   before this VM by name, and NEWEST to the newest store revision among all
   VMs of the group that follow it; 0 when there is none.  */
void
gw_query_followers (const gw_task *gw, uint32_t *first, uint64_t *newest)
{
  *first = 0;
  *newest = 0;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      if (p->key == 0 || p->scope != MS_LOAD_VM || !p->follows
          || p->vm_group != gw->group.id
          || ck_now_us (gw->desc.clock) - p->report_received_us
                 > _GW_FOLLOWER_TIMEOUT_US)
        continue;
      if (pc_compare_names (st_name_str (&p->name), gw->desc.vm_name) < 0)
        (*first)++;
      if (p->store_revision > *newest)
        *newest = p->store_revision;
    }
}

/* Newest configuration version that a VM has reported; 0: none has.  */
uint64_t
gw_query_newest_config (const gw_task *gw)
{
  uint64_t newest = 0;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      if (p->key != 0 && p->scope == MS_LOAD_VM && p->config_version > newest)
        newest = p->config_version;
    }
  return newest;
}

/* True while a message of another VM arrives in parts.  */
bool
gw_is_receiving (const gw_task *gw)
{
  return gw->peers != NULL && pe_is_receiving (gw->peers);
}

/* Members that are not dead, this VM included.  */
uint32_t
gw_query_vm_count (const gw_task *gw)
{
  return gw->group.vm_count > 0 ? gw->group.vm_count : 1;
}

/* Sets a new incarnation name, which no other process has had.  */
static void
_gw_new_incarnation (gw_task *gw)
{
  snprintf (gw->incarnation, sizeof gw->incarnation,
            "%.*s-%08" PRIx32 "%08" PRIx32, ST_FMT (gw->desc.vm_name),
            _gw_random (gw), _gw_random (gw));
  ut_set_key (gw->upstreams, ut_hash (st_from_cstr (gw->incarnation)));
}

/* Reports as a VM that starts now: the others count the first report of the
   new incarnation in full, and have counted those of the one before.  */
static void
_gw_restart_reports (gw_task *gw)
{
  gw->rejoined_us = gw->now_us;
  for (guint i = 0; i < gw->teams->len; i++)
    {
      _gw_team *team = gw->teams->pdata[i];
      team->reported_from = team->quota.admitted;
    }
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
      if (!_gw_is_silent (gw, ut_hash (incarnation)))
        _gw_on_silent_ended (gw, name);
      _gw_build_group (gw);
      _gw_load_changed (gw);
      break;
    case MB_LEFT:
    case MB_DIED:
      LO_EVENT ("peer_left", ST_LIT (""), LO_STR ("peer", name),
                LO_BOOL ("died", event == MB_DIED));
      if (p != NULL && event == MB_DIED)
        _gw_add_silent (gw, p);
      if (event == MB_LEFT)
        {
          ut_forget_cold_vm (gw->upstreams, ut_hash (name));
          _gw_on_silent_ended (gw, name);
        }
      if (p != NULL)
        _gw_remove_peer (gw, p);
      break;
    case MB_OWN_DEAD:
      {
        ck_clock clock = { 0 };
        uint64_t counter = ck_wall_ms (&clock);
        _gw_new_incarnation (gw);
        _gw_restart_reports (gw);
        pe_rejoin (gw->peers, st_from_cstr (gw->incarnation), counter);
        break;
      }
    case MB_SUSPECTED:
    case MB_CLEARED:
    case MB_RESYNC:
      break;
    }
}

/* Starts the peer connections and the reports; false and ERR on failure.
   Does nothing when the VM runs alone.  */
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
                             .max_connections = gw->desc.peer_connections,
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

/* Drops the reports of VMs that exceeded the report time-out, and marks these
   VMs as not ready.  */
void
_gw_expire_peers (gw_task *gw)
{
  ut_expire_peers (gw->upstreams, gw->now_us);
  _gw_expire_silent (gw);
  _gw_update_fleet (gw);
  for (int i = 0; i < UT_PEERS_MAX; i++)
    if (gw->peer[i].key != 0 && gw->peer[i].ready
        && gw->now_us - gw->peer[i].report_received_us > _GW_REPORT_TIMEOUT_US)
      {
        gw->peer[i].ready = false;
        _gw_add_silent (gw, &gw->peer[i]);
        LO_EVENT ("peer_silent", ST_LIT (""),
                  LO_STR ("peer", st_name_str (&gw->peer[i].name)));
      }
}

/* Age in microseconds of the oldest load report that is used; 0 when there is
   none.  */
uint64_t
_gw_reports_age_us (const gw_task *gw)
{
  uint64_t oldest = 0;
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      uint64_t age = gw->now_us - p->report_received_us;
      if (p->key != 0 && age < _GW_REPORT_TIMEOUT_US && age > oldest)
        oldest = age;
    }
  return oldest;
}

/* Sets WAITING to the requests that are queued at the other VMs, by rank.  */
void
_gw_peer_waiting (const gw_task *gw, uint32_t waiting[GQ_RANKS])
{
  memset (waiting, 0, GQ_RANKS * sizeof *waiting);
  for (int i = 0; i < UT_PEERS_MAX; i++)
    if (gw->peer[i].key != 0
        && gw->now_us - gw->peer[i].report_received_us < _GW_WAITING_VALID_US)
      for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
        waiting[rank] += gw->peer[i].waiting[rank];
}

/* True when callers may be sent to the VM of RECORD.  A VM of this group is
   judged by its newest report (_gw_expire_peers clears ready when that is too
   old), one of another group by a recent report.  Without such a report a VM
   that is not leaving is accepted where there are several groups.  */
static bool
_gw_accepts_callers (const gw_task *gw, const mb_record *record)
{
  const _gw_peer *p
      = _gw_find_peer ((gw_task *)gw, ut_hash (record->incarnation));
  bool reports = p != NULL && p->scope == MS_LOAD_VM;
  if (record->state == MB_LEAVING)
    return false;
  if (reports
      && (p->vm_group == gw->group.id
          || ck_now_us (gw->desc.clock) - p->report_received_us
                 <= _GW_REPORT_TIMEOUT_US))
    return p->ready;
  return gw->group.id != 0;
}

/* Fills VMS with the members that are not dead, this VM first, at most MAX;
   returns their number.  The active VMs are chosen among the ready ones only,
   so a VM that accepts no callers is replaced before it is declared dead.  One
   that hears no other VM takes those of the registry's list: the others may
   serve callers, and it may itself be the one that is cut off.  */
uint32_t
gw_query_vms (const gw_task *gw, gw_vm *vms, uint32_t max)
{
  static pc_member ready[GW_VMS_MAX];
  static bool active[GW_VMS_MAX];
  uint32_t count = 0;
  uint32_t ready_count = 0;
  uint32_t cursor = 0;
  bool isolated = _gw_is_isolated (gw) && gw->listed->len > 1;
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
  while (gw->peers != NULL && !isolated && count < max
         && mb_query_member (pe_query_members (gw->peers), &cursor, &record))
    {
      if (record.state == MB_DEAD || st_equal (record.name, gw->desc.vm_name))
        continue;
      vms[count] = (gw_vm){ .name = record.name,
                            .region = record.region,
                            .data_center = record.data_center,
                            .callers_address = record.callers_address,
                            .ready = _gw_accepts_callers (gw, &record) };
      if (vms[count++].ready)
        ready[ready_count++]
            = (pc_member){ record.name, record.data_center, record.capacity };
    }
  for (guint i = 0;
       i < gw->listed->len && (isolated || _gw_is_joining (gw)) && count < max;
       i++)
    {
      const _gw_listed_vm *vm = &g_array_index (gw->listed, _gw_listed_vm, i);
      st_str name = st_name_str (&vm->name);
      if (isolated ? st_equal (name, gw->desc.vm_name)
                   : _gw_is_member (gw, name))
        continue;
      vms[count++]
          = (gw_vm){ .name = st_name_str (&vm->name),
                     .region = st_name_str (&vm->region),
                     .data_center = st_name_str (&vm->data_center),
                     .callers_address = st_name_str (&vm->callers_address),
                     .ready = gw->group.id != 0 };
      if (vms[count - 1].ready)
        ready[ready_count++]
            = (pc_member){ vms[count - 1].name, vms[count - 1].data_center,
                           vm->capacity };
    }
  /* In a deployment of one group all ready VMs are active.  */
  if (gw->group.id == 0)
    memset (active, true, sizeof active);
  else
    pc_choose_active (ready, ready_count,
                      pc_needed_capacity (ut_query_slots (gw->upstreams)),
                      active);
  for (uint32_t i = 0, k = 0; i < count; i++)
    vms[i].active = vms[i].ready && active[k++];
  return count;
}
