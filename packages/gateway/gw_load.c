/* Reports of load: whom this VM tells, and what.  */
#include "gw_internal.h"
#include "pc.h"

/* Reports go out at least this often.  */
#define _GW_LOAD_MAX_US 400000
/* Sums between cells are exchanged, and cells worked out, this often.  */
#define _GW_CELL_US 200000
#define _GW_CELL_BUILD_US 400000

/* The members that are not dead, this VM first.  */
typedef struct
{
  mb_record records[PC_MEMBERS_MAX];
  pc_member members[PC_MEMBERS_MAX];
  pc_role places[PC_MEMBERS_MAX];
  uint32_t count;
} _gw_fleet;

/* Makes the arrays of CELL.  */
void
_gw_make_cell (_gw_cell *cell)
{
  cell->close = g_ptr_array_new_with_free_func (g_free);
  cell->distant = g_ptr_array_new_with_free_func (g_free);
  cell->standby = g_ptr_array_new_with_free_func (g_free);
  cell->working = g_ptr_array_new_with_free_func (g_free);
  cell->speakers = g_ptr_array_new_with_free_func (g_free);
}

static void
_gw_clear_cell (_gw_cell *cell)
{
  g_ptr_array_set_size (cell->close, 0);
  g_ptr_array_set_size (cell->distant, 0);
  g_ptr_array_set_size (cell->standby, 0);
  g_ptr_array_set_size (cell->working, 0);
  g_ptr_array_set_size (cell->speakers, 0);
}

/* Releases the arrays of CELL.  */
void
_gw_destroy_cell (_gw_cell *cell)
{
  g_ptr_array_free (cell->close, TRUE);
  g_ptr_array_free (cell->distant, TRUE);
  g_ptr_array_free (cell->standby, TRUE);
  g_ptr_array_free (cell->working, TRUE);
  g_ptr_array_free (cell->speakers, TRUE);
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
  pc_assign_roles (fleet->members, fleet->count, fleet->places);
}

static void
_gw_add_incarnation (GPtrArray *array, const mb_record *record)
{
  g_ptr_array_add (
      array, g_strndup (record->incarnation.ptr, record->incarnation.len));
}

/* Puts member I of FLEET among those that this VM tells something.  */
static void
_gw_sort_member (gw_task *gw, const _gw_fleet *fleet, uint32_t i)
{
  _gw_cell *c = &gw->cell;
  const mb_record *record = &fleet->records[i];
  const pc_role *place = &fleet->places[i];
  bool mate = place->vm_group == c->cell;
  if (mate)
    _gw_add_incarnation (place->active ? c->working : c->standby, record);
  else if (place->aggregator)
    _gw_add_incarnation (c->speakers, record);
  /* A VM without callers has nothing to tell beyond its cell.  */
  if (c->active && place->active && (mate || c->active_apart))
    _gw_add_incarnation (c->close, record);
  else if (mate)
    _gw_add_incarnation (c->active ? c->distant : c->close, record);
  else if (place->aggregator && c->active && c->active_apart)
    _gw_add_incarnation (c->distant, record);
}

/* Deals the upstreams' slots out among the active VMs of the cell.  */
static void
_gw_deal_slots (gw_task *gw, const _gw_fleet *fleet)
{
  st_str *vms = g_new (st_str, fleet->count);
  uint32_t others = 0;
  for (uint32_t i = 1; i < fleet->count; i++)
    if (fleet->places[i].active && fleet->places[i].vm_group == gw->cell.cell)
      vms[others++] = fleet->members[i].name;
  ut_assign (gw->upstreams, vms, others, gw->cell.several);
  g_free (vms);
}

/* Works out the cell from the members.  */
void
_gw_build_cell (gw_task *gw)
{
  static _gw_fleet fleet;
  _gw_cell *c = &gw->cell;
  _gw_clear_cell (c);
  _gw_read_fleet (gw, &fleet);
  bool was_active = c->active;
  c->vm_count = fleet.count;
  c->active_count = 0;
  for (uint32_t i = 0; i < fleet.count; i++)
    c->active_count += fleet.places[i].active;
  c->cell = fleet.places[0].vm_group;
  c->active = fleet.places[0].active;
  c->active_apart = c->cell != 0 && c->active_count <= PC_ONE_GROUP_MAX;
  c->several = c->cell != 0 && !(c->active && c->active_apart);
  c->speaker = c->cell != 0 && fleet.places[0].aggregator;
  for (uint32_t i = 1; i < fleet.count; i++)
    if (fleet.records[i].incarnation.len > 0)
      _gw_sort_member (gw, &fleet, i);
  _gw_deal_slots (gw, &fleet);
  c->built_us = gw->now_us;
  if (c->active != was_active)
    LO_EVENT ("takes_callers", ST_LIT (""), LO_BOOL ("active", c->active),
              LO_INT ("active_vms", c->active_count),
              LO_INT ("vms", c->vm_count));
}

/* Sends M to each of INCARNATIONS.  */
void
_gw_tell (gw_task *gw, const GPtrArray *incarnations, const ms_message *m)
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

static void
_gw_add_teams (ms_load *load, ms_load_team *teams, const ms_load_team *more,
               size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      size_t at = 0;
      while (at < load->team_count && teams[at].team != more[i].team)
        at++;
      if (at == _GW_TEAMS_MAX)
        return;
      if (at == load->team_count)
        teams[load->team_count++] = (ms_load_team){ more[i].team, 0 };
      teams[at].admitted += more[i].admitted;
    }
}

static size_t
_gw_own_teams (const gw_task *gw, ms_load_team teams[_GW_TEAMS_MAX])
{
  size_t count = 0;
  for (guint i = 0; i < gw->teams->len && count < _GW_TEAMS_MAX; i++)
    {
      const _gw_team *team = gw->teams->pdata[i];
      if (team->quota.admitted > 0)
        teams[count++] = (ms_load_team){ team->hash, team->quota.admitted };
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

static ms_message
_gw_load_message (gw_task *gw, ms_load_scope scope)
{
  ms_message m = { .type = MS_LOAD };
  gw_following following = { 0 };
  if (gw->desc.query_following != NULL)
    following = gw->desc.query_following (gw->desc.user);
  m.u.load.scope = scope;
  m.u.load.cell = gw->cell.cell;
  m.u.load.active = gw->cell.active;
  m.u.load.follows = following.follows;
  m.u.load.store_revision = following.revision;
  m.u.load.config_version = gw_query_config_version (gw);
  m.u.load.ready = gw_query_ready (gw);
  uint64_t uptime_ms = (gw->now_us - gw->started_us) / CK_MS_US;
  m.u.load.uptime_ms
      = uptime_ms < UINT32_MAX ? (uint32_t)uptime_ms : UINT32_MAX;
  return m;
}

/* Tells the VMs in TO this VM's load.  */
static void
_gw_send_load (gw_task *gw, const GPtrArray *to)
{
  static ut_row rows[MS_LOAD_ROWS_MAX];
  static ms_load_row wire_rows[MS_LOAD_ROWS_MAX];
  ms_load_team teams[_GW_TEAMS_MAX];
  if (to->len == 0)
    return;
  ms_message m = _gw_load_message (gw, MS_LOAD_VM);
  size_t count = ut_query_rows (gw->upstreams, rows, MS_LOAD_ROWS_MAX);
  for (size_t i = 0; i < count; i++)
    wire_rows[i] = (ms_load_row){ rows[i].upstream, rows[i].running,
                                  rows[i].prefill_tokens };
  m.u.load.row_count = count;
  m.u.load.rows = wire_rows;
  m.u.load.team_count = _gw_own_teams (gw, teams);
  m.u.load.teams = teams;
  _gw_own_waiting (gw, m.u.load.waiting);
  _gw_tell (gw, to, &m);
}

/* Which loads a sum holds.  */
typedef enum
{
  _GW_SUM_CELL = 0, /* of the cell, for other cells */
  _GW_SUM_REST,     /* of the other cells */
  _GW_SUM_REST_FULL /* and of the active VMs there, for VMs that are not */
} _gw_sum;

/* True when the load of P belongs to WHAT.  Active VMs apart tell their loads
   themselves to each other and to the speakers.  */
static bool
_gw_belongs (const _gw_cell *c, const _gw_peer *p, _gw_sum what)
{
  bool apart = c->active_apart && p->active;
  switch (what)
    {
    case _GW_SUM_CELL:
      return p->scope == MS_LOAD_VM && p->cell == c->cell && !apart;
    case _GW_SUM_REST:
      return p->scope == MS_LOAD_GROUP;
    case _GW_SUM_REST_FULL:
      return p->scope == MS_LOAD_GROUP
             || (p->scope == MS_LOAD_VM && p->cell != c->cell);
    }
  return false;
}

/* Sends the sum of the loads that WHAT names to the VMs in TO.  */
static void
_gw_send_sum (gw_task *gw, _gw_sum what, const GPtrArray *to)
{
  static ut_row own[MS_LOAD_ROWS_MAX];
  static ms_load_row rows[MS_LOAD_ROWS_MAX];
  ms_load_team teams[_GW_TEAMS_MAX] = { { 0 } };
  ms_load_team own_teams[_GW_TEAMS_MAX] = { { 0 } };
  if (to->len == 0)
    return;
  ms_message m = _gw_load_message (
      gw, what == _GW_SUM_CELL ? MS_LOAD_GROUP : MS_LOAD_OTHER_GROUPS);
  ms_load *load = &m.u.load;
  GHashTable *sum
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;
  if (what == _GW_SUM_CELL && !(gw->cell.active && gw->cell.active_apart))
    {
      _gw_add_rows (sum, own,
                    ut_query_rows (gw->upstreams, own, MS_LOAD_ROWS_MAX));
      _gw_add_teams (load, teams, own_teams, _gw_own_teams (gw, own_teams));
      _gw_own_waiting (gw, load->waiting);
    }
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      if (p->key == 0 || !_gw_belongs (&gw->cell, p, what)
          || gw->now_us - p->heard_us > _GW_PEER_SILENT_US)
        continue;
      _gw_add_rows (sum, p->rows, p->row_count);
      _gw_add_teams (load, teams, p->teams, p->team_count);
      for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
        load->waiting[rank] += p->waiting[rank];
    }
  g_hash_table_iter_init (&iter, sum);
  while (load->row_count < MS_LOAD_ROWS_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    rows[load->row_count++] = *(const ms_load_row *)value;
  load->rows = rows;
  load->teams = teams;
  _gw_tell (gw, to, &m);
  g_hash_table_destroy (sum);
}

static void
_gw_on_load_timer (evutil_socket_t fd, short what, void *user)
{
  gw_task *gw = user;
  (void)fd;
  (void)what;
  _gw_now (gw);
  _gw_send_load (gw, gw->cell.close);
  if (gw->now_us - gw->distant_sent_us >= _GW_LOAD_MAX_US)
    {
      _gw_send_load (gw, gw->cell.distant);
      gw->distant_sent_us = gw->now_us;
    }
  gw->load_dirty = false;
  gw->load_sent_us = gw->now_us;
  struct timeval tv = { 0, _GW_LOAD_MAX_US };
  event_add (gw->load_timer, &tv);
}

static void
_gw_on_cell_timer (evutil_socket_t fd, short what, void *user)
{
  gw_task *gw = user;
  (void)fd;
  (void)what;
  _gw_now (gw);
  if (gw->now_us - gw->cell.built_us > _GW_CELL_BUILD_US)
    _gw_build_cell (gw);
  if (gw->cell.speaker)
    {
      _gw_send_sum (gw, _GW_SUM_CELL, gw->cell.speakers);
      _gw_send_sum (gw, _GW_SUM_REST, gw->cell.working);
      _gw_send_sum (gw, _GW_SUM_REST_FULL, gw->cell.standby);
    }
}

/* True when requests wait here or at another VM.  */
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

/* Tells the cell soon that this VM's load has changed.  */
void
_gw_load_changed (gw_task *gw)
{
  if (gw->peers == NULL || gw->load_dirty)
    return;
  gw->load_dirty = true;
  uint64_t pause
      = pc_report_interval_us (gw->cell.close->len, _gw_is_busy (gw));
  uint64_t since = gw->now_us - gw->load_sent_us;
  struct timeval tv = ck_timeval (since >= pause ? CK_MS_US : pause - since);
  event_add (gw->load_timer, &tv);
}

/* Works out the cell and begins to report.  */
void
_gw_start_reports (gw_task *gw)
{
  gw->load_timer = evtimer_new (gw->desc.base, _gw_on_load_timer, gw);
  gw->cell_timer
      = event_new (gw->desc.base, -1, EV_PERSIST, _gw_on_cell_timer, gw);
  struct timeval soon = { 0, 1000 };
  struct timeval often = { 0, _GW_CELL_US };
  _gw_build_cell (gw);
  event_add (gw->load_timer, &soon);
  event_add (gw->cell_timer, &often);
}
