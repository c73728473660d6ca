/* The other VMs: load that they report, and which of them take callers.  */
#include "gw_internal.h"

#include <inttypes.h>
#include <string.h>

/* Reports go out at most this often, and at least this often.  */
#define _GW_LOAD_MIN_US 25000
#define _GW_LOAD_MAX_US 400000
/* A VM that has not reported for this long takes no callers.  */
#define _GW_PEER_SILENT_US 1300000
/* Queues of a VM count for this long after its report.  */
#define _GW_WAITING_FRESH_US 600000
#define _GW_ASK_EVERY_US 300000

static _gw_peer *
_gw_find_peer (gw_task *gw, st_str incarnation)
{
  uint64_t key = ut_hash (incarnation);
  for (int i = 0; i < UT_PEERS_MAX; i++)
    if (gw->peer[i].key == key)
      return &gw->peer[i];
  return NULL;
}

static _gw_peer *
_gw_add_peer (gw_task *gw, const pe_sender *sender)
{
  _gw_peer *p = _gw_find_peer (gw, sender->incarnation);
  for (int i = 0; i < UT_PEERS_MAX && p == NULL; i++)
    if (gw->peer[i].key == 0)
      p = &gw->peer[i];
  if (p == NULL)
    return NULL;
  if (p->key == 0)
    {
      p->key = ut_hash (sender->incarnation);
      st_name_set (&p->name, sender->name);
      st_copy (p->incarnation, sizeof p->incarnation, sender->incarnation);
      LO_EVENT ("peer_heard", ST_LIT (""), LO_STR ("peer", sender->name));
    }
  return p;
}

/* Sends this VM's load to all that are alive.  */
static void
_gw_send_load (gw_task *gw)
{
  static ut_row rows[UT_UPSTREAMS_MAX];
  static ms_load_row wire_rows[MS_LOAD_ROWS_MAX];
  ms_load_team teams[64];
  ms_message m = { .type = MS_LOAD };
  uint32_t cursor = 0;
  mb_record record;
  size_t count = ut_query_rows (gw->upstreams, rows, MS_LOAD_ROWS_MAX);
  for (size_t i = 0; i < count; i++)
    wire_rows[i] = (ms_load_row){ rows[i].upstream, rows[i].running,
                                  rows[i].unread_tokens };
  m.u.load.config_version = gw_query_config_version (gw);
  m.u.load.ready = gw_query_ready (gw);
  m.u.load.row_count = count;
  m.u.load.rows = wire_rows;
  for (guint i = 0; i < gw->teams->len && m.u.load.team_count < 64; i++)
    {
      const _gw_team *team = gw->teams->pdata[i];
      if (team->allowance.admitted > 0)
        teams[m.u.load.team_count++]
            = (ms_load_team){ team->hash, team->allowance.admitted };
    }
  m.u.load.teams = teams;
  for (guint i = 0; i < gw->services->len; i++)
    {
      const _gw_service *service = gw->services->pdata[i];
      for (uint32_t rank = 0; rank < GQ_RANKS && rank < MS_LOAD_RANKS; rank++)
        m.u.load.waiting[rank] += service->queue.count[rank];
    }
  while (mb_query_member (pe_query_members (gw->peers), &cursor, &record))
    if (record.state != MB_DEAD && !st_equal (record.name, gw->desc.vm_name))
      pe_send (gw->peers, record.incarnation, &m);
  gw->load_dirty = false;
  gw->load_sent_us = gw->now_us;
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

/* Tells the others soon that this VM's load has changed.  */
void
_gw_load_changed (gw_task *gw)
{
  if (gw->peers == NULL || gw->load_dirty)
    return;
  gw->load_dirty = true;
  uint64_t since = gw->now_us - gw->load_sent_us;
  struct timeval tv = { 0, since >= _GW_LOAD_MIN_US
                               ? 1000
                               : (suseconds_t)(_GW_LOAD_MIN_US - since) };
  event_add (gw->load_timer, &tv);
}

/* Asks SENDER for the configuration that it says is newer.  */
static void
_gw_ask_document (gw_task *gw, const pe_sender *sender)
{
  if (gw->document_asked_us != 0
      && gw->now_us - gw->document_asked_us < _GW_ASK_EVERY_US)
    return;
  gw->document_asked_us = gw->now_us;
  ms_message m = { .type = MS_SETTINGS_GET };
  m.u.settings_get.since = gw_query_config_version (gw);
  pe_send (gw->peers, sender->incarnation, &m);
}

static void
_gw_on_load (gw_task *gw, const pe_sender *sender, const ms_load *load)
{
  static ut_row rows[MS_LOAD_ROWS_MAX];
  _gw_peer *p = _gw_add_peer (gw, sender);
  if (p == NULL)
    return;
  p->heard_us = gw->now_us;
  p->ready = load->ready;
  p->config_version = load->config_version;
  for (uint32_t rank = 0; rank < GQ_RANKS && rank < MS_LOAD_RANKS; rank++)
    p->waiting[rank] = load->waiting[rank];
  size_t count = load->row_count < MS_LOAD_ROWS_MAX ? load->row_count
                                                    : MS_LOAD_ROWS_MAX;
  for (size_t i = 0; i < count; i++)
    rows[i] = (ut_row){ load->rows[i].upstream, load->rows[i].running,
                        load->rows[i].unread_tokens };
  ut_set_peer (gw->upstreams, p->key, rows, count, gw->now_us);
  for (size_t i = 0; i < load->team_count; i++)
    for (guint k = 0; k < gw->teams->len; k++)
      {
        _gw_team *team = gw->teams->pdata[k];
        if (team->hash == load->teams[i].team)
          bu_report_allowance (&team->allowance, p->key,
                               load->teams[i].admitted, gw->now_us);
      }
  if (load->config_version > gw_query_config_version (gw))
    _gw_ask_document (gw, sender);
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
      uint64_t version = 0;
      ms_message answer = { .type = MS_SETTINGS_VALUE };
      answer.u.settings_value.hash = ST_LIT ("configuration");
      answer.u.settings_value.bytes
          = gw->desc.query_document (gw->desc.user, &version);
      if (version > m->u.settings_get.since)
        pe_send (gw->peers, sender->incarnation, &answer);
    }
  else if (m->type == MS_SETTINGS_VALUE && gw->desc.on_document != NULL
           && m->u.settings_value.bytes.len > 0)
    gw->desc.on_document (gw->desc.user, m->u.settings_value.bytes);
}

static void
_gw_on_member (void *user, mb_event event, st_str name, st_str incarnation)
{
  gw_task *gw = user;
  _gw_peer *p = _gw_find_peer (gw, incarnation);
  _gw_now (gw);
  switch (event)
    {
    case MB_JOINED:
      LO_EVENT ("peer_joined", ST_LIT (""), LO_STR ("peer", name));
      _gw_load_changed (gw);
      break;
    case MB_LEFT:
    case MB_DIED:
      LO_EVENT ("peer_left", ST_LIT (""), LO_STR ("peer", name),
                LO_BOOL ("died", event == MB_DIED));
      if (p != NULL)
        {
          ut_set_peer (gw->upstreams, p->key, NULL, 0, gw->now_us);
          *p = (_gw_peer){ 0 };
        }
      break;
    case MB_OWN_DEAD:
      {
        ck_clock clock = { 0 };
        uint64_t counter = ck_wall_ms (&clock);
        snprintf (gw->incarnation, sizeof gw->incarnation,
                  "%.*s-%08" PRIx32 "%08" PRIx32, ST_FMT (gw->desc.vm_name),
                  _gw_random (gw), _gw_random (gw));
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
  snprintf (gw->incarnation, sizeof gw->incarnation,
            "%.*s-%08" PRIx32 "%08" PRIx32, ST_FMT (gw->desc.vm_name),
            _gw_random (gw), _gw_random (gw));
  gw->peers
      = pe_make (&(pe_desc){ .base = gw->desc.base,
                             .clock = gw->desc.clock,
                             .metrics = gw->desc.metrics,
                             .name = gw->desc.vm_name,
                             .incarnation = st_from_cstr (gw->incarnation),
                             .region = gw->desc.region,
                             .data_center = gw->desc.data_center,
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
  gw->load_timer = evtimer_new (gw->desc.base, _gw_on_load_timer, gw);
  struct timeval soon = { 0, 1000 };
  event_add (gw->load_timer, &soon);
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

/* VMs that share the budgets: those known and not known to be dead.  */
uint32_t
_gw_live_vms (const gw_task *gw)
{
  uint32_t count = 1;
  uint32_t cursor = 0;
  mb_record record;
  if (gw->peers == NULL)
    return 1;
  while (mb_query_member (pe_query_members (gw->peers), &cursor, &record))
    if (record.state != MB_DEAD && !st_equal (record.name, gw->desc.vm_name))
      count++;
  return count;
}

/* Requests that wait at the other VMs, by tier.  */
void
_gw_peer_waiting (gw_task *gw, uint32_t waiting[GQ_RANKS])
{
  memset (waiting, 0, GQ_RANKS * sizeof *waiting);
  for (int i = 0; i < UT_PEERS_MAX; i++)
    if (gw->peer[i].key != 0
        && gw->now_us - gw->peer[i].heard_us < _GW_WAITING_FRESH_US)
      for (uint32_t rank = 0; rank < GQ_RANKS; rank++)
        waiting[rank] += gw->peer[i].waiting[rank];
}

/* Tells the next VM after CURSOR, which starts at 0; this VM is not among
   them.  */
bool
gw_next_vm (const gw_task *gw, uint32_t *cursor, gw_vm *vm)
{
  mb_record record;
  if (gw->peers == NULL)
    return false;
  while (mb_query_member (pe_query_members (gw->peers), cursor, &record))
    {
      if (record.state == MB_DEAD || st_equal (record.name, gw->desc.vm_name))
        continue;
      const _gw_peer *p = _gw_find_peer ((gw_task *)gw, record.incarnation);
      *vm = (gw_vm){ .name = record.name,
                     .region = record.region,
                     .data_center = record.data_center,
                     .callers_address = record.callers_address,
                     .ready
                     = p != NULL && p->ready && record.state != MB_LEAVING };
      return true;
    }
  return false;
}
