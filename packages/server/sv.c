#include "sv.h"

#include "lg.h"
#include "si.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>

#define _SV_TICK_MS 20
#define _SV_MAX_INSTANCES 64
/* Records per open request: those of ended requests are retained.  */
#define _SV_RECORDS_PER_REQUEST 4
#define _SV_VM_LIST_INTERVAL_US (500 * CK_MS_US)
/* A longer wait for a slot is high load.  */
#define _SV_HIGH_LOAD_WAIT_US (20 * CK_MS_US)

struct sv_state
{
  struct event *tick;
  struct event *sigterm;
  struct event *sigint;
  bool leaving;
  bool own_dead; /* declared dead by the peers */
  bool vm_list_read;
  bool vm_list_pending;
  uint64_t next_vm_list_us;
  unsigned next_instance;
};

/* Monotonic time in microseconds.  */
uint64_t
sv_now_us (const sv_server *sv)
{
  return ck_now_us (&sv->clock);
}

/* Wall clock in milliseconds.  */
uint64_t
sv_wall_ms (const sv_server *sv)
{
  return ck_wall_ms (&sv->clock);
}

/* 64 random bits.  */
uint64_t
sv_random (sv_server *sv)
{
  uint64_t value;
  (void)sv;
  randombytes_buf (&value, sizeof value);
  return value;
}

/* Incarnation of this process.  */
st_str
sv_query_incarnation (const sv_server *sv)
{
  return st_from_cstr (sv->incarnation);
}

/* True when the VM takes no new work: it drains, or its peers declared it
   dead.  */
bool
sv_query_leaving (const sv_server *sv)
{
  return sv->state->leaving || sv->state->own_dead;
}

/* True when the VM does not drain and has read the VM list and the settings;
   otherwise WHY tells which of these is missing.  */
bool
sv_query_ready (const sv_server *sv, const char **why)
{
  if (sv->state->leaving)
    *why = "the VM is shutting down";
  else if (!sv->state->vm_list_read)
    *why = "the VM list was not read yet";
  else if (!se_serve_ready (sv->settings))
    *why = "the settings were not read yet";
  else
    *why = "";
  return (*why)[0] == 0;
}

/* Port of a bound socket, 0 when it has none.  */
uint16_t
sv_socket_port (evutil_socket_t fd)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in in;
    struct sockaddr_in6 in6;
  } address;
  socklen_t size = sizeof address;
  memset (&address, 0, sizeof address);
  if (getsockname (fd, &address.any, &size) != 0)
    return 0;
  return address.any.sa_family == AF_INET6 ? ntohs (address.in6.sin6_port)
                                           : ntohs (address.in.sin_port);
}

/* Name of a tier as a metric label.  */
st_str
sv_tier_name (uint8_t tier)
{
  static const char names[SV_TIERS][2] = { "0", "1", "2", "3", "4" };
  return st_from_cstr (names[tier < SV_TIERS ? tier : SV_TIERS - 1]);
}

/* ---- members ---- */

/* The live VMs, this one first; valid until the next change.  */
const cm_member *
sv_query_members (const sv_server *sv, size_t *count)
{
  return sv_peers_query (sv->peers, count);
}

/* State of the process INCARNATION; fills ADDRESS with its callers' address
   when it is alive or leaving.  */
sv_peer_state
sv_find_incarnation (const sv_server *sv, st_str incarnation, char *address,
                     size_t size)
{
  st_str found = { "", 0 };
  sv_peer_state state = sv_peers_find (sv->peers, incarnation, &found);
  st_copy (address, size, found);
  return state;
}

/* Body of the response to GET /v1/addresses: the VMs that take work, those of
   REGION (this VM's when empty) with a higher weight.  */
json_t *
sv_addresses_json (sv_server *sv, st_str region)
{
  size_t count;
  const cm_member *members = sv_query_members (sv, &count);
  json_t *list = json_array ();
  if (region.len == 0)
    region = st_name_str (&sv->config.region);
  for (int local = 1; local >= 0; local--)
    for (size_t i = 0; i < count; i++)
      {
        const cm_member *m = &members[i];
        if (m->leaving || st_equal (m->region, region) != (local == 1))
          continue;
        json_array_append_new (
            list,
            json_pack ("{s:s%,s:s%,s:s%,s:s%,s:i}", "address",
                       m->callers_address.ptr, m->callers_address.len,
                       "incarnation", m->incarnation.ptr, m->incarnation.len,
                       "region", m->region.ptr, m->region.len, "data_center",
                       m->data_center.ptr, m->data_center.len, "weight",
                       local == 1 ? 100 : 10));
      }
  return json_pack ("{s:o,s:i}", "addresses", list, "keep_s",
                    (int)(po_query_address_keep_ms (sv->policy) / 1000));
}

/* ---- upstreams ---- */

/* True when the recent wait for a slot, at a cell of SERVICE in the own
   region, is above _SV_HIGH_LOAD_WAIT_US.  */
bool
sv_query_high_load (sv_server *sv, st_str service)
{
  return ow_query_wait_us (sv->slot_requests, service) > _SV_HIGH_LOAD_WAIT_US;
}

/* Logs that a request could not be sent to ENGINE.  */
void
sv_engine_unreachable (sv_server *sv, st_str engine)
{
  (void)sv;
  lg_log (LG_WARNING, "", "engine %.*s cannot be reached", ST_FMT (engine));
}

/* Chooses an instance of SERVICE for ATTEMPT, from 0: a local one while
   ATTEMPT is below their number, not necessarily another one each time, then
   those of other regions in turn.  NULL when there is none.  */
const dr_entry *
sv_choose_service (sv_server *sv, st_str service, unsigned attempt)
{
  const dr_entry *local[_SV_MAX_INSTANCES];
  const dr_entry *remote[_SV_MAX_INSTANCES];
  size_t local_count = 0;
  size_t remote_count = 0;
  for (size_t i = 0; i < dr_query_count (sv->directory); i++)
    {
      const dr_entry *e = dr_query_at (sv->directory, i);
      if (e->kind != DR_SERVICE || e->leaving
          || !st_equal (st_name_str (&e->serves), service))
        continue;
      if (st_equal (st_name_str (&e->region),
                    st_name_str (&sv->config.region)))
        {
          if (local_count < G_N_ELEMENTS (local))
            local[local_count++] = e;
        }
      else if (remote_count < G_N_ELEMENTS (remote))
        remote[remote_count++] = e;
    }
  if (attempt < local_count)
    return local[(sv->state->next_instance++ + attempt) % local_count];
  if (remote_count > 0)
    return remote[(attempt - local_count) % remote_count];
  return local_count > 0 ? local[attempt % local_count] : NULL;
}

/* ---- messages ---- */

/* Passes a message of the process SENDER to the task that handles it.  */
void
sv_on_message (sv_server *sv, st_str sender, const ms_message *m)
{
  switch (m->type)
    {
    case MS_SLOT_ASK:
    case MS_SLOT_DONE:
    case MS_SLOT_HOLD:
    case MS_SLOT_CANCEL:
      cl_on_message (sv->owned_cells, sender, m);
      break;
    case MS_SLOT_GRANT:
    case MS_SLOT_REFUSE:
    case MS_SLOT_STOP:
      ow_on_message (sv->slot_requests, sender, m);
      break;
    case MS_ABANDON_ASK:
    case MS_ABANDON_REPLY:
      oc_on_message (sv->calls, sender, m);
      break;
    case MS_HALT:
    case MS_EVIDENCE:
      rl_on_message (sv->rollouts, sender, m);
      break;
    case MS_PING:
    case MS_ACK:
    case MS_SETTINGS_HEAD:
    case MS_SETTINGS_GET:
    case MS_SETTINGS_VALUE:
      se_serve_on_message (sv->settings, sender, m);
      break;
    default:
      break;
    }
}

/* Sends M to the process INCARNATION, which may be this one.  False when
   there is no connection; M is then lost.  */
bool
sv_send (sv_server *sv, st_str incarnation, const ms_message *m)
{
  if (!st_equal_cstr (incarnation, sv->incarnation))
    return sv_peers_send (sv->peers, incarnation, m);
  sv_on_message (sv, incarnation, m);
  return true;
}

/* Computes the cells again after a change of the directory or the members,
   and updates the tasks that use them.  */
static void
_sv_update_cells (sv_server *sv)
{
  size_t count;
  const cm_member *members = sv_query_members (sv, &count);
  bool changed = cm_update (sv->cells, sv->directory, members, count);
  cl_update (sv->owned_cells);
  if (changed)
    ow_update (sv->slot_requests);
}

/* The set of members, or the state of one, changed.  */
void
sv_members_changed (sv_server *sv)
{
  /* Events may arrive while the tasks are being made.  */
  if (sv->front_end == NULL)
    return;
  sv_peers_refresh (sv->peers);
  _sv_update_cells (sv);
}

/* Version of the settings in force, 0 before there are any.  */
uint64_t
sv_query_settings_version (const sv_server *sv)
{
  return sv->settings != NULL ? se_serve_version (sv->settings) : 0;
}

/* ---- VM list ---- */

static dr_entry
_sv_entry_of (const pf_vm *vm)
{
  dr_entry entry;
  memset (&entry, 0, sizeof entry);
  switch (vm->kind)
    {
    case PF_VM:
      entry.kind = DR_VM;
      break;
    case PF_ENGINE:
      entry.kind = DR_ENGINE;
      st_name_set (&entry.serves, vm->model);
      break;
    case PF_SERVICE:
      entry.kind = DR_SERVICE;
      st_name_set (&entry.serves, vm->service);
      break;
    }
  st_name_set (&entry.name, vm->name);
  st_name_set (&entry.address, vm->address);
  st_name_set (&entry.peer_address, vm->peer_address);
  st_name_set (&entry.region, vm->region);
  st_name_set (&entry.data_center, vm->data_center);
  for (uint32_t i = 0; i < vm->version_count && i < DR_VERSIONS_MAX; i++)
    st_name_set (&entry.versions[entry.version_count++], vm->versions[i]);
  entry.slots = vm->slots;
  entry.leaving = vm->leaving;
  return entry;
}

static void
_sv_on_vm_list (const pf_reply *reply, void *user)
{
  sv_server *sv = user;
  sv->state->vm_list_pending = false;
  if (reply->result != PF_OK)
    return;
  if (reply->malformed_count > 0)
    lg_log (LG_WARNING, "", "%u entries of the VM list are malformed",
            reply->malformed_count);
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (dr_entry));
  for (uint32_t i = 0; i < reply->vm_count; i++)
    {
      dr_entry entry = _sv_entry_of (&reply->vms[i]);
      g_array_append_val (entries, entry);
    }
  sv->state->vm_list_read = true;
  if (dr_set (sv->directory, (dr_entry *)(void *)entries->data, entries->len))
    {
      sv_peers_set_vm_list (sv->peers, sv->directory);
      sv_members_changed (sv);
    }
  g_array_free (entries, TRUE);
}

static void
_sv_poll_vm_list (sv_server *sv, uint64_t now_us)
{
  if (sv->state->vm_list_pending || now_us < sv->state->next_vm_list_us)
    return;
  sv->state->next_vm_list_us = now_us + _SV_VM_LIST_INTERVAL_US;
  sv->state->vm_list_pending = true;
  pf_vm_list (sv->platform, _sv_on_vm_list, sv);
}

/* ---- lifetime ---- */

static void
_sv_make_incarnation (sv_server *sv)
{
  g_snprintf (sv->incarnation, sizeof sv->incarnation,
              "%s-%016" G_GINT64_MODIFIER "x", sv->config.vm_name.text,
              sv_random (sv));
}

static rq_table *
_sv_make_requests (sv_server *sv)
{
  return rq_make (
      &(rq_desc){ .incarnation = st_from_cstr (sv->incarnation),
                  .capacity = (uint32_t)sv->config.limits.open_requests
                              * _SV_RECORDS_PER_REQUEST });
}

/* True when no request and no call is in progress.  */
static bool
_sv_is_idle (const sv_server *sv)
{
  return fe_query_open (sv->front_end) == 0
         && oc_query_waiting (sv->calls) == 0;
}

/* Handles that the peers declared this VM dead, for instance because it was
   paused.  It finishes its requests, then rejoins as a new incarnation, since
   the other VMs treat request ids of the old one as those of a dead owner.  */
static void
_sv_check_own_dead (sv_server *sv)
{
  if (!sv_peers_query_own_dead (sv->peers) || sv->state->leaving)
    {
      sv->state->own_dead = false;
      return;
    }
  if (!sv->state->own_dead)
    {
      sv->state->own_dead = true;
      sv_members_changed (sv);
    }
  if (!_sv_is_idle (sv))
    return;
  _sv_make_incarnation (sv);
  fe_drop_retained (sv->front_end);
  rq_destroy (sv->requests);
  sv->requests = _sv_make_requests (sv);
  oc_set_incarnation (sv->calls, st_from_cstr (sv->incarnation));
  sv_peers_rejoin (sv->peers);
  sv->state->own_dead = false;
  sv_members_changed (sv);
  lg_log (LG_WARNING, "", "rejoined as incarnation %s", sv->incarnation);
}

static void
_sv_on_tick (evutil_socket_t fd, short what, void *arg)
{
  sv_server *sv = arg;
  (void)fd;
  (void)what;
  _sv_poll_vm_list (sv, sv_now_us (sv));
  se_serve_tick (sv->settings);
  po_tick (sv->policy);
  sv_peers_tick (sv->peers);
  cl_tick (sv->owned_cells);
  ow_tick (sv->slot_requests);
  rl_tick (sv->rollouts);
  fe_tick (sv->front_end);
  _sv_check_own_dead (sv);
  /* The output of a connection may still have the end of a complete response,
     which the exit of the process would truncate.  */
  if (sv->state->leaving && _sv_is_idle (sv) && sv->unsent.responses == 0)
    {
      lg_log (LG_INFO, "", "drained; exiting");
      event_base_loopbreak (sv->base);
    }
}

/* Stops taking work.  The process ends when no request and no call is in
   progress and all responses are written; a second call changes nothing.  */
void
sv_begin_drain (sv_server *sv)
{
  if (sv->state->leaving)
    return;
  sv->state->leaving = true;
  sv_peers_leave (sv->peers);
  sv_members_changed (sv);
  lg_log (LG_INFO, "", "draining: %u requests in progress",
          fe_query_open (sv->front_end));
}

static void
_sv_on_signal (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  sv_begin_drain (arg);
}

static const char *
_sv_address_or_null (const st_name *address)
{
  return address->len > 0 ? address->text : NULL;
}

static oc_peer_state
_sv_find_call_peer (void *user, st_str incarnation)
{
  const sv_server *sv = user;
  st_str address;
  switch (sv_peers_find (sv->peers, incarnation, &address))
    {
    case SV_PEER_ALIVE:
    case SV_PEER_LEAVING:
      return OC_PEER_ALIVE;
    case SV_PEER_DEAD:
      return OC_PEER_DEAD;
    case SV_PEER_UNKNOWN:
      break;
    }
  return OC_PEER_UNKNOWN;
}

static bool
_sv_send_call_message (void *user, st_str incarnation, const ms_message *m)
{
  return sv_send (user, incarnation, m);
}

static bool
_sv_start_tasks (sv_server *sv, er_error *err)
{
  char host[64];
  uint16_t port;
  st_str listen = st_name_str (&sv->config.listen_callers);
  if (!up_parse_address (listen, host, sizeof host, &port))
    return er_set (err, ER_INVALID, "listen.callers '%.*s' is not IP:PORT",
                   ST_FMT (listen));
  sv->platform = pf_make (
      &(pf_desc){ .base = sv->base,
                  .driver = PF_HTTP,
                  .store = _sv_address_or_null (&sv->config.store),
                  .vm_list = _sv_address_or_null (&sv->config.vm_list),
                  .weights = _sv_address_or_null (&sv->config.weights),
                  .seed = sv_random (sv) },
      err);
  if (sv->platform == NULL)
    return false;
  sv->up = up_make (&(up_desc){ .base = sv->base });
  sv->directory = dr_make ();
  sv->policy = po_make (&(po_desc){ .server = sv });
  sv->settings = se_serve_make (sv, err);
  if (sv->settings == NULL)
    return false;
  sv->cells = cm_make ();
  sv->owned_cells = cl_make (&(cl_desc){ .server = sv });
  sv->slot_requests = ow_make (&(ow_desc){ .server = sv });
  sv->rollouts = rl_make (&(rl_desc){ .server = sv });
  sv->requests = _sv_make_requests (sv);
  sv->peers = sv_peers_make (sv, err);
  if (sv->peers == NULL)
    return false;
  sv->calls
      = oc_make (&(oc_desc){ .base = sv->base,
                             .platform = sv->platform,
                             .metrics = sv->metrics,
                             .incarnation = st_from_cstr (sv->incarnation),
                             .seed = sv_random (sv),
                             .find_peer = _sv_find_call_peer,
                             .send = _sv_send_call_message,
                             .user = sv });
  sv->front_end = fe_make (
      &(fe_desc){ .server = sv,
                  .unsent = &sv->unsent,
                  .host = host,
                  .port = port,
                  .max_requests = (uint32_t)sv->config.limits.open_requests,
                  .max_body_bytes = sv->config.limits.body_bytes,
                  .max_header_bytes = sv->config.limits.header_bytes,
                  .max_buffered_bytes = sv->config.limits.answer_store_bytes },
      err);
  return sv->front_end != NULL;
}

/* One thread uses the base, so it needs no locks.  The change list saves a
   system call for each change of an event's direction.  */
static struct event_base *
_sv_make_base (void)
{
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_NOLOCK
                                     | EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  struct event_base *base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

/* Starts the server of CONFIG, whose content it takes and clears.  NULL, with
   ERR set, when listen.callers is invalid or a task cannot start.  */
sv_server *
sv_make (sb_config *config, er_error *err)
{
  sv_server *sv = g_new0 (sv_server, 1);
  sv->state = g_new0 (struct sv_state, 1);
  sv->config = *config;
  memset (config, 0, sizeof *config);
  sv->base = _sv_make_base ();
  sv->metrics = mt_make (&(mt_desc){ 0 });
  _sv_make_incarnation (sv);
  if (!_sv_start_tasks (sv, err))
    {
      sv_destroy (sv);
      return NULL;
    }
  struct timeval tick = { 0, _SV_TICK_MS * 1000 };
  sv->state->tick = event_new (sv->base, -1, EV_PERSIST, _sv_on_tick, sv);
  event_add (sv->state->tick, &tick);
  sv->state->sigterm = evsignal_new (sv->base, SIGTERM, _sv_on_signal, sv);
  sv->state->sigint = evsignal_new (sv->base, SIGINT, _sv_on_signal, sv);
  event_add (sv->state->sigterm, NULL);
  event_add (sv->state->sigint, NULL);
  return sv;
}

/* Runs until drained.  Returns the exit status of the process.  */
int
sv_run (sv_server *sv)
{
  lg_log (LG_INFO, "", "incarnation %s accepts requests on port %u",
          sv->incarnation, fe_query_port (sv->front_end));
  si_unblock ();
  return event_base_dispatch (sv->base) < 0 ? 1 : 0;
}

static void
_sv_free_event (struct event *ev)
{
  if (ev != NULL)
    event_free (ev);
}

/* Closes all sockets and releases SV.  */
void
sv_destroy (sv_server *sv)
{
  if (sv == NULL)
    return;
  _sv_free_event (sv->state->tick);
  _sv_free_event (sv->state->sigterm);
  _sv_free_event (sv->state->sigint);
  fe_destroy (sv->front_end);
  sv->front_end = NULL;
  oc_destroy (sv->calls);
  sv_peers_destroy (sv->peers);
  up_destroy (sv->up);
  rl_destroy (sv->rollouts);
  ow_destroy (sv->slot_requests);
  cl_destroy (sv->owned_cells);
  cm_destroy (sv->cells);
  se_serve_destroy (sv->settings);
  po_destroy (sv->policy);
  pf_destroy (sv->platform);
  rq_destroy (sv->requests);
  dr_destroy (sv->directory);
  mt_destroy (sv->metrics);
  event_base_free (sv->base);
  sb_free (&sv->config);
  g_free (sv->state);
  g_free (sv);
}
