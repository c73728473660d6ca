/* Load reports: which VMs this VM reports its load to, and what it sends.  */
#include "gw_internal.h"
#include "pc.h"

/* Longest interval between two load reports.  */
#define _GW_LOAD_INTERVAL_MAX_US 400000
/* Intervals at which aggregators exchange the sums of their groups, and at
   which the groups are rebuilt.  */
#define _GW_GROUP_INTERVAL_US 200000
#define _GW_GROUP_BUILD_INTERVAL_US 400000
/* Time for which a VM reports that an upstream has no limit any more.  */
#define _GW_LIMIT_END_REPORTED_US 10000000

/* The members that are not dead, this VM first.  */
typedef struct
{
  mb_record records[PC_MEMBERS_MAX];
  pc_member members[PC_MEMBERS_MAX];
  pc_role roles[PC_MEMBERS_MAX];
  uint32_t count;
} _gw_fleet;

/* Makes the arrays of GROUP.  */
void
_gw_make_group (_gw_group *group)
{
  group->frequent_recipients = g_ptr_array_new_with_free_func (g_free);
  group->infrequent_recipients = g_ptr_array_new_with_free_func (g_free);
  group->standby_members = g_ptr_array_new_with_free_func (g_free);
  group->active_members = g_ptr_array_new_with_free_func (g_free);
  group->aggregators = g_ptr_array_new_with_free_func (g_free);
}

static void
_gw_clear_group (_gw_group *group)
{
  g_ptr_array_set_size (group->frequent_recipients, 0);
  g_ptr_array_set_size (group->infrequent_recipients, 0);
  g_ptr_array_set_size (group->standby_members, 0);
  g_ptr_array_set_size (group->active_members, 0);
  g_ptr_array_set_size (group->aggregators, 0);
}

/* Releases the arrays of GROUP.  */
void
_gw_destroy_group (_gw_group *group)
{
  g_ptr_array_free (group->frequent_recipients, TRUE);
  g_ptr_array_free (group->infrequent_recipients, TRUE);
  g_ptr_array_free (group->standby_members, TRUE);
  g_ptr_array_free (group->active_members, TRUE);
  g_ptr_array_free (group->aggregators, TRUE);
}

static void
_gw_read_fleet (const gw_task *gw, _gw_fleet *fleet)
{
  uint32_t cursor = 0;
  mb_record record;
  fleet->count = 1;
  fleet->members[0] = (pc_member){ gw->desc.vm_name, gw->desc.data_center,
                                   gw->desc.capacity };
  while (fleet->count < PC_MEMBERS_MAX
         && mb_query_member (pe_query_members (gw->peers), &cursor, &record))
    if (record.state != MB_DEAD && !st_equal (record.name, gw->desc.vm_name))
      {
        fleet->records[fleet->count] = record;
        fleet->members[fleet->count++]
            = (pc_member){ record.name, record.data_center, record.capacity };
      }
  /* VMs that this one has not heard of yet get their roles as well; else
     every VM of a fleet that starts at once would accept callers.  */
  for (guint i = 0; i < gw->listed->len && _gw_is_joining (gw)
                    && fleet->count < PC_MEMBERS_MAX;
       i++)
    {
      const _gw_listed_vm *vm = &g_array_index (gw->listed, _gw_listed_vm, i);
      if (_gw_is_member (gw, st_name_str (&vm->name)))
        continue;
      fleet->records[fleet->count] = (mb_record){ 0 };
      fleet->members[fleet->count++]
          = (pc_member){ st_name_str (&vm->name),
                         st_name_str (&vm->data_center), vm->capacity };
    }
  pc_assign_roles (fleet->members, fleet->count,
                   pc_needed_capacity (ut_query_slots (gw->upstreams)),
                   fleet->roles);
}

static void
_gw_add_incarnation (GPtrArray *array, const mb_record *record)
{
  g_ptr_array_add (
      array, g_strndup (record->incarnation.ptr, record->incarnation.len));
}

/* Adds member I of FLEET to the lists of recipients that it belongs to.  */
static void
_gw_add_recipient (gw_task *gw, const _gw_fleet *fleet, uint32_t i)
{
  _gw_group *group = &gw->group;
  const mb_record *record = &fleet->records[i];
  const pc_role *role = &fleet->roles[i];
  bool same_group = role->vm_group == group->id;
  if (same_group)
    _gw_add_incarnation (
        role->active ? group->active_members : group->standby_members, record);
  else if (role->aggregator)
    _gw_add_incarnation (group->aggregators, record);
  /* A VM without callers reports only within its group.  */
  if (group->active && role->active && (same_group || group->active_group))
    _gw_add_incarnation (group->frequent_recipients, record);
  else if (same_group)
    _gw_add_incarnation (group->active ? group->infrequent_recipients
                                       : group->frequent_recipients,
                         record);
  else if (role->aggregator && group->active && group->active_group)
    _gw_add_incarnation (group->infrequent_recipients, record);
}

/* Assigns slot shares of the upstreams to the active VMs of the group.  */
static void
_gw_assign_slots (gw_task *gw, const _gw_fleet *fleet)
{
  st_str *vms = g_new (st_str, fleet->count);
  uint32_t others = 0;
  for (uint32_t i = 1; i < fleet->count; i++)
    if (fleet->roles[i].active && fleet->roles[i].vm_group == gw->group.id)
      vms[others++] = fleet->members[i].name;
  ut_assign (gw->upstreams, vms, others, gw->group.remote_loads_delayed);
  g_free (vms);
}

/* Remembers which VMs are active, of all groups.  One that is on standby again
   shares nothing, although it is no longer heard.  */
static void
_gw_list_active (gw_task *gw, const _gw_fleet *fleet)
{
  g_array_set_size (gw->active_vms, 0);
  for (uint32_t i = 1; i < fleet->count; i++)
    {
      st_str incarnation = fleet->records[i].incarnation;
      _gw_active_vm vm
          = { .name = ut_hash (fleet->members[i].name),
              .key = incarnation.len > 0 ? ut_hash (incarnation) : 0,
              .direct = fleet->roles[i].vm_group == gw->group.id
                        || (gw->group.active && gw->group.active_group) };
      if (fleet->roles[i].active)
        g_array_append_val (gw->active_vms, vm);
      else
        ut_forget_cold_vm (gw->upstreams, vm.name);
    }
  _gw_update_fleet (gw);
}

/* Rebuilds the group and the lists of recipients from the members.  */
void
_gw_build_group (gw_task *gw)
{
  static _gw_fleet fleet;
  _gw_group *group = &gw->group;
  /* A VM that is cut off takes no further role: all that are would become
     active, each with its own view of the load and the quotas.  */
  if (_gw_is_isolated (gw) && gw->listed->len > 1)
    {
      group->built_us = gw->now_us;
      return;
    }
  _gw_clear_group (group);
  _gw_read_fleet (gw, &fleet);
  bool was_active = group->active;
  group->vm_count = fleet.count;
  group->active_count = 0;
  for (uint32_t i = 0; i < fleet.count; i++)
    group->active_count += fleet.roles[i].active;
  group->id = fleet.roles[0].vm_group;
  group->active = fleet.roles[0].active;
  group->active_group
      = group->id != 0 && group->active_count <= PC_ONE_GROUP_MAX;
  group->remote_loads_delayed
      = group->id != 0 && !(group->active && group->active_group);
  group->aggregator = group->id != 0 && fleet.roles[0].aggregator;
  for (uint32_t i = 1; i < fleet.count; i++)
    if (fleet.records[i].incarnation.len > 0)
      _gw_add_recipient (gw, &fleet, i);
  if (group->active && !was_active)
    gw->active_us = gw->now_us;
  _gw_assign_slots (gw, &fleet);
  _gw_list_active (gw, &fleet);
  group->built_us = gw->now_us;
  if (group->active != was_active)
    LO_EVENT ("takes_callers", ST_LIT (""), LO_BOOL ("active", group->active),
              LO_INT ("active_vms", group->active_count),
              LO_INT ("vms", group->vm_count));
}

/* Sends M to each of INCARNATIONS.  */
void
_gw_send_to_all (gw_task *gw, const GPtrArray *incarnations,
                 const ms_message *m)
{
  for (guint i = 0; i < incarnations->len; i++)
    pe_send (gw->peers, st_from_cstr (incarnations->pdata[i]), m);
}

/* Adds COUNT rows to SUM, which maps an upstream's hash to its row.  */
static void
_gw_add_rows (GHashTable *sum, const ut_row *rows, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      ms_load_row *row = g_hash_table_lookup (sum, &rows[i].upstream);
      if (row == NULL)
        {
          row = g_new0 (ms_load_row, 1);
          row->upstream = rows[i].upstream;
          g_hash_table_insert (sum, &row->upstream, row);
        }
      row->running += rows[i].running;
      row->unread_tokens += rows[i].prefill_tokens;
    }
}

static size_t
_gw_own_teams (const gw_task *gw, ms_load_team teams[_GW_TEAMS_MAX])
{
  size_t count = 0;
  for (guint i = 0; i < gw->teams->len && count < _GW_TEAMS_MAX; i++)
    {
      const _gw_team *team = gw->teams->pdata[i];
      uint64_t admitted = team->quota.admitted - team->reported_from;
      if (admitted > 0)
        teams[count++] = (ms_load_team){ team->hash, admitted };
    }
  return count;
}

static void
_gw_own_waiting (const gw_task *gw, uint32_t waiting[MS_LOAD_RANKS])
{
  for (guint i = 0; i < gw->services->len; i++)
    {
      const _gw_service *service = gw->services->pdata[i];
      for (uint32_t rank = 0; rank < GQ_RANKS && rank < MS_LOAD_RANKS; rank++)
        waiting[rank] += service->queue.count[rank];
    }
}

/* Fills LIMITS with what this VM has of the limits of upstreams, as far as it
   is from ORIGIN or nearer to them; returns their number.  The end of a limit
   is reported for a while.  */
static size_t
_gw_known_limits (const gw_task *gw, el_origin origin,
                  ms_load_limit limits[MS_LOAD_LIMITS_MAX])
{
  size_t count = 0;
  ut_id id = { 0, 0 };
  while (count < MS_LOAD_LIMITS_MAX && ut_next (gw->upstreams, &id))
    {
      const ut_upstream *up = ut_query (gw->upstreams, id);
      uint64_t age_us = gw->now_us - up->limit.stated_us;
      if (up->limit.stated_us == 0 || up->limit.origin > origin
          || (!up->limit.named && age_us > _GW_LIMIT_END_REPORTED_US))
        continue;
      limits[count++] = (ms_load_limit){
        up->hash, up->limit.named,
        (uint32_t)MIN (up->limit.per_s * 1000 + 0.5, (double)UINT32_MAX),
        (uint32_t)MIN (age_us / CK_MS_US + 1, UINT32_MAX)
      };
    }
  return count;
}

static ms_message
_gw_load_message (gw_task *gw, ms_load_scope scope)
{
  ms_message m = { .type = MS_LOAD };
  gw_follow_state state = { 0 };
  if (gw->desc.query_follow_state != NULL)
    state = gw->desc.query_follow_state (gw->desc.user);
  m.u.load.scope = scope;
  m.u.load.cell = gw->group.id;
  m.u.load.active = gw->group.active;
  m.u.load.follows = state.follows;
  m.u.load.store_revision = state.revision;
  m.u.load.config_version = gw_query_config_version (gw);
  m.u.load.ready = gw_query_ready (gw);
  m.u.load.no_path = gw->path.lost;
  uint64_t since_us = gw->rejoined_us != 0 ? gw->rejoined_us : gw->started_us;
  uint64_t uptime_ms = (gw->now_us - since_us) / CK_MS_US;
  m.u.load.uptime_ms
      = uptime_ms < UINT32_MAX ? (uint32_t)uptime_ms : UINT32_MAX;
  return m;
}

/* Sends this VM's load to the VMs in TO.  */
static void
_gw_send_load (gw_task *gw, const GPtrArray *to)
{
  static ut_row rows[MS_LOAD_ROWS_MAX];
  static ms_load_row wire_rows[MS_LOAD_ROWS_MAX];
  ms_load_team teams[_GW_TEAMS_MAX];
  ms_load_rollout rollouts[MS_LOAD_ROLLOUTS_MAX];
  ms_load_limit limits[MS_LOAD_LIMITS_MAX];
  if (to->len == 0)
    return;
  ms_message m = _gw_load_message (gw, MS_LOAD_VM);
  m.u.load.rollout_count = _gw_own_rollouts (gw, rollouts);
  m.u.load.rollouts = rollouts;
  size_t count = ut_query_rows (gw->upstreams, rows, MS_LOAD_ROWS_MAX);
  /* What hangs in lost connections is no load of the upstreams.  */
  if (gw->path.lost)
    count = 0;
  for (size_t i = 0; i < count; i++)
    wire_rows[i] = (ms_load_row){ rows[i].upstream, rows[i].running,
                                  rows[i].prefill_tokens };
  m.u.load.row_count = count;
  m.u.load.rows = wire_rows;
  m.u.load.team_count = _gw_own_teams (gw, teams);
  m.u.load.teams = teams;
  m.u.load.limit_count = _gw_known_limits (gw, EL_FROM_UPSTREAM, limits);
  m.u.load.limits = limits;
  _gw_own_waiting (gw, m.u.load.waiting);
  _gw_send_to_all (gw, to, &m);
}

/* True when the load of P is part of the sum WHAT.  The VMs of an active group
   report their loads directly to each other and to the aggregators.  */
bool
_gw_is_in_sum (const _gw_group *group, const _gw_peer *p, _gw_sum what)
{
  bool reports_directly = group->active_group && p->active;
  switch (what)
    {
    case _GW_SUM_GROUP:
      return p->scope == MS_LOAD_VM && p->vm_group == group->id
             && !reports_directly;
    case _GW_SUM_OTHER_GROUPS:
      return p->scope == MS_LOAD_GROUP;
    case _GW_SUM_OTHER_VMS:
      return p->scope == MS_LOAD_GROUP
             || (p->scope == MS_LOAD_VM && p->vm_group != group->id);
    case _GW_SUMS:
      return false;
    }
  return false;
}

/* Fills TEAMS with what was admitted by the VMs of the sum WHAT; returns the
   number of teams.  */
static size_t
_gw_sum_teams (const gw_task *gw, _gw_sum what,
               ms_load_team teams[_GW_TEAMS_MAX])
{
  size_t count = 0;
  for (guint i = 0; i < gw->teams->len && count < _GW_TEAMS_MAX; i++)
    {
      const _gw_team *team = gw->teams->pdata[i];
      if (team->sums[what] > 0)
        teams[count++] = (ms_load_team){ team->hash, team->sums[what] };
    }
  return count;
}

/* Sends the sum WHAT of the loads to the VMs in TO.  Loads whose report is
   past the report time-out are left out; what these VMs admitted is not.  */
static void
_gw_send_sum (gw_task *gw, _gw_sum what, const GPtrArray *to)
{
  static const ms_load_scope scopes[_GW_SUMS]
      = { MS_LOAD_GROUP, MS_LOAD_OTHER_GROUPS, MS_LOAD_OTHER_VMS };
  static ut_row own[MS_LOAD_ROWS_MAX];
  static ms_load_row rows[MS_LOAD_ROWS_MAX];
  ms_load_team teams[_GW_TEAMS_MAX];
  ms_load_limit limits[MS_LOAD_LIMITS_MAX];
  if (to->len == 0)
    return;
  ms_message m = _gw_load_message (gw, scopes[what]);
  ms_load *load = &m.u.load;
  GHashTable *sum
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;
  if (what == _GW_SUM_GROUP && !(gw->group.active && gw->group.active_group))
    {
      _gw_add_rows (sum, own,
                    ut_query_rows (gw->upstreams, own, MS_LOAD_ROWS_MAX));
      _gw_own_waiting (gw, load->waiting);
    }
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      if (p->key == 0 || !_gw_is_in_sum (&gw->group, p, what)
          || gw->now_us - p->report_received_us > _GW_REPORT_TIMEOUT_US)
        continue;
      _gw_add_rows (sum, p->rows, p->row_count);
      for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
        load->waiting[rank] += p->waiting[rank];
    }
  g_hash_table_iter_init (&iter, sum);
  while (load->row_count < MS_LOAD_ROWS_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    rows[load->row_count++] = *(const ms_load_row *)value;
  load->rows = rows;
  load->team_count = _gw_sum_teams (gw, what, teams);
  load->teams = teams;
  load->limit_count = _gw_known_limits (
      gw, what == _GW_SUM_GROUP ? EL_FROM_VM : EL_FROM_SUM, limits);
  load->limits = limits;
  _gw_send_to_all (gw, to, &m);
  g_hash_table_destroy (sum);
}

static void
_gw_on_load_timer (evutil_socket_t fd, short what, void *user)
{
  gw_task *gw = user;
  (void)fd;
  (void)what;
  _gw_now (gw);
  _gw_send_load (gw, gw->group.frequent_recipients);
  if (gw->now_us - gw->infrequent_sent_us >= _GW_LOAD_INTERVAL_MAX_US)
    {
      _gw_send_load (gw, gw->group.infrequent_recipients);
      gw->infrequent_sent_us = gw->now_us;
    }
  gw->load_dirty = false;
  gw->load_sent_us = gw->now_us;
  struct timeval tv = { 0, _GW_LOAD_INTERVAL_MAX_US };
  event_add (gw->load_timer, &tv);
}

static void
_gw_on_group_timer (evutil_socket_t fd, short what, void *user)
{
  gw_task *gw = user;
  (void)fd;
  (void)what;
  _gw_now (gw);
  if (gw->now_us - gw->group.built_us > _GW_GROUP_BUILD_INTERVAL_US)
    _gw_build_group (gw);
  if (gw->group.aggregator)
    {
      _gw_send_sum (gw, _GW_SUM_GROUP, gw->group.aggregators);
      _gw_send_sum (gw, _GW_SUM_OTHER_GROUPS, gw->group.active_members);
      _gw_send_sum (gw, _GW_SUM_OTHER_VMS, gw->group.standby_members);
    }
}

/* True when requests are queued here or at another VM.  */
static bool
_gw_is_busy (const gw_task *gw)
{
  uint32_t waiting[GQ_RANKS];
  _gw_peer_waiting (gw, waiting);
  _gw_own_waiting (gw, waiting);
  for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
    if (waiting[rank] > 0)
      return true;
  return false;
}

/* Schedules a report of this VM's changed load, after the report interval.  */
void
_gw_load_changed (gw_task *gw)
{
  if (gw->peers == NULL || gw->load_dirty)
    return;
  gw->load_dirty = true;
  uint64_t interval_us = pc_report_interval_us (
      gw->group.frequent_recipients->len, _gw_is_busy (gw));
  uint64_t since_us = gw->now_us - gw->load_sent_us;
  struct timeval tv = ck_timeval (
      since_us >= interval_us ? CK_MS_US : interval_us - since_us);
  event_add (gw->load_timer, &tv);
}

/* Builds the group and starts the timers of the reports.  */
void
_gw_start_reports (gw_task *gw)
{
  gw->load_timer = evtimer_new (gw->desc.base, _gw_on_load_timer, gw);
  gw->group_timer
      = event_new (gw->desc.base, -1, EV_PERSIST, _gw_on_group_timer, gw);
  struct timeval soon = { 0, 1000 };
  struct timeval often = { 0, _GW_GROUP_INTERVAL_US };
  _gw_build_group (gw);
  event_add (gw->load_timer, &soon);
  event_add (gw->group_timer, &often);
}
