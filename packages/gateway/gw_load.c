/* Reports of load: whom this VM tells, and what.  */
#include "gw_internal.h"
#include "pc.h"

/* Reports go out at most this often, and at least this often.  */
#define _GW_LOAD_MIN_US 25000
#define _GW_LOAD_MAX_US 400000
/* Mates up to which reports go out as often as they may.  */
#define _GW_LOAD_MATES 6
/* Sums between cells are exchanged, and cells worked out, this often.  */
#define _GW_CELL_US 200000
#define _GW_CELL_BUILD_US 400000
/* Members that are looked at; more are in no cell.  */
#define _GW_MEMBERS_MAX 2048

static void
_gw_sort_member (gw_task *gw, const mb_record *record, const pc_member *all,
                 uint32_t count)
{
  _gw_cell *c = &gw->cell;
  pc_member member = { record->name, record->data_center };
  uint64_t cell = pc_cell_of (all, count, &member);
  char *incarnation
      = g_strndup (record->incarnation.ptr, record->incarnation.len);
  if (cell == c->cell)
    g_ptr_array_add (c->mates, incarnation);
  else if (pc_is_speaker (all, count, &member, PC_SPEAKERS))
    g_ptr_array_add (c->speakers, incarnation);
  else
    g_free (incarnation);
}

/* Deals the upstreams' slots out among the VMs of the cell.  */
static void
_gw_deal_slots (gw_task *gw, const pc_member *all, uint32_t count)
{
  st_str *vms = g_new (st_str, count);
  uint32_t mates = 0;
  for (uint32_t i = 1; i < count; i++)
    if (pc_cell_of (all, count, &all[i]) == gw->cell.cell)
      vms[mates++] = all[i].name;
  ut_assign (gw->upstreams, vms, mates, gw->cell.several);
  g_free (vms);
}

/* Works out the cell from the members.  */
void
_gw_build_cell (gw_task *gw)
{
  static pc_member all[_GW_MEMBERS_MAX];
  static mb_record records[_GW_MEMBERS_MAX];
  _gw_cell *c = &gw->cell;
  uint32_t count = 0;
  uint32_t cursor = 0;
  mb_record record;
  pc_member self = { gw->desc.vm_name, gw->desc.data_center };
  g_ptr_array_set_size (c->mates, 0);
  g_ptr_array_set_size (c->speakers, 0);
  all[count++] = self;
  while (count < _GW_MEMBERS_MAX
         && mb_query_member (pe_query_members (gw->peers), &cursor, &record))
    if (record.state != MB_DEAD && !st_equal (record.name, self.name))
      {
        records[count] = record;
        all[count++] = (pc_member){ record.name, record.data_center };
      }
  c->vm_count = count;
  c->cell = pc_cell_of (all, count, &self);
  c->several = c->cell != 0;
  c->speaker = c->several && pc_is_speaker (all, count, &self, PC_SPEAKERS);
  for (uint32_t i = 1; i < count; i++)
    if (records[i].incarnation.len > 0)
      _gw_sort_member (gw, &records[i], all, count);
  _gw_deal_slots (gw, all, count);
  c->built_us = gw->now_us;
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
      row->unread_tokens += rows[i].unread_tokens;
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
  m.u.load.follows = following.follows;
  m.u.load.store_revision = following.revision;
  m.u.load.config_version = gw_query_config_version (gw);
  m.u.load.ready = gw_query_ready (gw);
  return m;
}

/* Tells the cell this VM's load.  */
static void
_gw_send_load (gw_task *gw)
{
  static ut_row rows[MS_LOAD_ROWS_MAX];
  static ms_load_row wire_rows[MS_LOAD_ROWS_MAX];
  ms_load_team teams[_GW_TEAMS_MAX];
  ms_message m = _gw_load_message (gw, MS_LOAD_VM);
  size_t count = ut_query_rows (gw->upstreams, rows, MS_LOAD_ROWS_MAX);
  for (size_t i = 0; i < count; i++)
    wire_rows[i] = (ms_load_row){ rows[i].upstream, rows[i].running,
                                  rows[i].unread_tokens };
  m.u.load.row_count = count;
  m.u.load.rows = wire_rows;
  m.u.load.team_count = _gw_own_teams (gw, teams);
  m.u.load.teams = teams;
  _gw_own_waiting (gw, m.u.load.waiting);
  _gw_tell (gw, gw->cell.mates, &m);
  gw->load_dirty = false;
  gw->load_sent_us = gw->now_us;
}

/* Sends the sum of the peers for which WANTED is the scope: the cell's to the
   other cells, the other cells' to the mates.  */
static void
_gw_send_sum (gw_task *gw, ms_load_scope scope)
{
  static ut_row own[MS_LOAD_ROWS_MAX];
  static ms_load_row rows[MS_LOAD_ROWS_MAX];
  ms_load_team teams[_GW_TEAMS_MAX] = { { 0 } };
  ms_load_team own_teams[_GW_TEAMS_MAX] = { { 0 } };
  ms_message m = _gw_load_message (gw, scope);
  ms_load *load = &m.u.load;
  GHashTable *sum
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;
  if (scope == MS_LOAD_CELL)
    {
      _gw_add_rows (sum, own,
                    ut_query_rows (gw->upstreams, own, MS_LOAD_ROWS_MAX));
      _gw_add_teams (load, teams, own_teams, _gw_own_teams (gw, own_teams));
      _gw_own_waiting (gw, load->waiting);
    }
  for (int i = 0; i < UT_PEERS_MAX; i++)
    {
      const _gw_peer *p = &gw->peer[i];
      ms_load_scope of = scope == MS_LOAD_CELL ? MS_LOAD_VM : MS_LOAD_CELL;
      if (p->key == 0 || p->scope != of
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
  _gw_tell (gw, scope == MS_LOAD_CELL ? gw->cell.speakers : gw->cell.mates,
            &m);
  g_hash_table_destroy (sum);
}

static void
_gw_on_load_timer (evutil_socket_t fd, short what, void *user)
{
  gw_task *gw = user;
  (void)fd;
  (void)what;
  _gw_now (gw);
  _gw_send_load (gw);
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
      _gw_send_sum (gw, MS_LOAD_CELL);
      _gw_send_sum (gw, MS_LOAD_REST);
    }
}

/* Tells the cell soon that this VM's load has changed.  */
void
_gw_load_changed (gw_task *gw)
{
  if (gw->peers == NULL || gw->load_dirty)
    return;
  gw->load_dirty = true;
  /* What a VM sends does not grow with its cell beyond a few mates.  */
  uint64_t pause = _GW_LOAD_MIN_US;
  if (gw->cell.mates->len > _GW_LOAD_MATES)
    pause = pause * gw->cell.mates->len / _GW_LOAD_MATES;
  uint64_t since = gw->now_us - gw->load_sent_us;
  struct timeval tv
      = { 0, since >= pause ? 1000 : (suseconds_t)(pause - since) };
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
