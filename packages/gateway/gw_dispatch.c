/* Dispatch: sends one attempt of a request to an upstream and evaluates the
   response.  */
#include "gw_internal.h"

#include <inttypes.h>
#include <string.h>

/* Least time left for another attempt; with less it is of no use.  */
#define _GW_ATTEMPT_MIN_LEFT_US 20000
/* Time for which an upstream is not chosen after it refused a request
   because it was full, or because it was another instance than expected.  */
#define _GW_FULL_AVOID_US 100000
#define _GW_OTHER_INSTANCE_AVOID_US 5000000
/* Longest pause that an upstream can ask for with one response.  */
#define _GW_PAUSE_MAX_US 60000000
/* Weight of the newest request in the moving average of the time that a
   request occupies a slot.  */
#define _GW_SERVICE_WEIGHT 0.05
/* Fraction of the retry budget's fixed part that is split among the active
   VMs; the rest is for callers that reconnect to others when active VMs end.
 */
#define _GW_ACTIVE_BUDGET_FRACTION 0.8

static const st_str _gw_response_drop[] = {
  { "Connection", 10 },       { "Keep-Alive", 10 },
  { "Proxy-Connection", 16 }, { "Transfer-Encoding", 17 },
  { "Content-Length", 14 },   { "Trailer", 7 },
  { "Upgrade", 7 },
};

/* Terms of this VM's retry budget.  The fixed part is split among all VMs,
   and the active ones, which need more of it, get the larger fraction.  */
static bu_terms
_gw_retry_terms (const gw_task *gw)
{
  const _gw_group *group = &gw->group;
  bu_terms terms = { .ratio = gw->desc.bounds.retry_ratio,
                     .fixed = gw->desc.bounds.retry_fixed,
                     .window_us = gw->desc.bounds.retry_window_ms * CK_MS_US,
                     .vms = gw_query_vm_count (gw) };
  uint32_t standby = terms.vms - group->active_count;
  if (group->id == 0 || standby == 0)
    return terms;
  terms.vms = group->active ? group->active_count : standby;
  terms.fixed *= group->active ? _GW_ACTIVE_BUDGET_FRACTION
                               : 1 - _GW_ACTIVE_BUDGET_FRACTION;
  return terms;
}

/* Takes one retry of R from the budget that the VMs share; false when none is
   left.  */
bool
_gw_take_retry (_gw_request *r)
{
  bu_terms terms = _gw_retry_terms (r->gw);
  return bu_take_retry (&_gw_service_of (r)->retries, &terms, r->gw->now_us);
}

/* Appends to HEAD the fields of R that differ for each attempt, to wherever it
   is sent.  LEFT_US is the time that the receiver has.  */
void
_gw_write_attempt_fields (const _gw_request *r, GString *head,
                          uint64_t left_us)
{
  const gw_names *names = r->gw->desc.names;
  uint64_t left_ms = left_us / CK_MS_US;
  g_string_append_printf (head, "%.*s: %" PRIu64 "\r\n",
                          ST_FMT (names->deadline_ms),
                          left_ms > 0 ? left_ms : 1);
  if (r->has_last_event)
    g_string_append_printf (head, "%.*s: %" PRIu64 "\r\n",
                            ST_FMT (names->resume_after), r->last_event);
}

/* Returns the head of R's request to an upstream: the common part and the
   fields that differ for each attempt.  The caller frees it.  */
static GString *
_gw_write_attempt_head (const _gw_request *r)
{
  const gw_names *names = r->gw->desc.names;
  GString *bytes = g_string_sized_new (r->head->len + 256);
  g_string_append_len (bytes, r->head->str, (gssize)r->head->len);
  _gw_write_attempt_fields (r, bytes, r->end_us - r->gw->now_us);
  g_string_append_printf (bytes, "%.*s: %.*s\r\n\r\n",
                          ST_FMT (names->expect_instance),
                          ST_FMT (st_name_str (&r->upstream_id)));
  return bytes;
}

/* Logs the attempt of R that starts at UP, which had OWN_RUNNING requests of
   this VM before it.  */
static void
_gw_log_dispatch (const _gw_request *r, const ut_upstream *up,
                  uint32_t own_running)
{
  const gw_task *gw = r->gw;
  uc_place place = { 0 };
  if (r->exchange != NULL)
    place = uc_query_place (r->exchange);
  /* waited_ms counts from the arrival and includes earlier attempts.  */
  LO_EVENT (
      "dispatch", st_name_str (&r->id),
      LO_STR ("upstream", st_name_str (&r->upstream_id)),
      LO_INT ("waited_ms", (gw->now_us - r->demand.arrived_us) / CK_MS_US),
      LO_INT ("own_running", own_running),
      LO_INT ("peer_running", up->peer_running),
      LO_INT ("reports_age_ms", _gw_reports_age_us (gw) / CK_MS_US),
      LO_INT ("slots", up->entry.slots), LO_INT ("send", r->attempt_count),
      LO_INT ("connection", place.connection), LO_INT ("use", place.use));
}

/* Resets the state of R for another attempt.  */
void
_gw_start_attempt (_gw_request *r)
{
  /* After a failed attempt it may wait again, as on time or as late.  */
  r->demand.rank = gq_queue_rank (&r->demand, GQ_WAIT);
  r->demand.waited_as_late = false;
  r->state = r->events > 0 ? _GW_RELAYING : _GW_SENT;
  r->sent_us = r->gw->now_us;
  r->last_event_us = 0;
  r->attempt_first_us = 0;
  r->attempt_events = 0;
  r->attempt_count++;
  r->status = 0;
  r->is_stream = false;
  r->is_resumed = r->events > 0;
  r->is_forwarded = false;
  g_string_truncate (r->response_body, 0);
  _gw_count_stored (r);
}

static void _gw_on_exchange (void *user, const uc_event *event);

/* Sends R with HEAD, which is freed, to its upstream or other VM at ADDRESS.
   R has no exchange then when no connection can be opened.  */
void
_gw_send_attempt (_gw_request *r, st_str address, GString *head)
{
  r->exchange = uc_send (
      r->gw->pool, &(uc_request){ .address = address,
                                  .instance = st_name_str (&r->upstream_id),
                                  .request_id = st_name_str (&r->id),
                                  .head = { head->str, head->len },
                                  .body = r->body,
                                  .no_body = _gw_is_head_request (r->conn),
                                  .on_event = _gw_on_exchange,
                                  .user = r });
  g_string_free (head, TRUE);
}

/* Sends R to the upstream TO.  */
void
_gw_dispatch (_gw_request *r, ut_id to)
{
  gw_task *gw = r->gw;
  bu_terms terms = _gw_retry_terms (gw);
  const ut_upstream *up = ut_query (gw->upstreams, to);
  if (!r->budget_counted)
    bu_count_request (&_gw_service_of (r)->retries, &terms, gw->now_us);
  r->budget_counted = true;
  _gw_charge_quota (r);
  _gw_record_sent (r);
  _gw_count_version (r, up);
  _gw_start_attempt (r);
  r->upstream = to;
  r->upstream_id = up->entry.id;
  r->prefill_tokens = r->demand.prompt_tokens;
  uint32_t own_running = up->own_running;
  ut_on_sent (gw->upstreams, to, r->prefill_tokens);
  ut_count_send (gw->upstreams, to, gw->now_us);
  _gw_send_attempt (r, st_name_str (&up->entry.address),
                    _gw_write_attempt_head (r));
  _gw_log_dispatch (r, up, own_running);
  _gw_load_changed (gw);
  if (r->exchange != NULL)
    _gw_plan_copy (r);
  if (r->exchange == NULL)
    {
      _gw_end_exchange (r, UT_UNREACHABLE);
      _gw_retry (r, false, false, "no_connection");
    }
}

/* Reports the end of R's exchange, with OUTCOME, to the upstream table.  */
void
_gw_end_exchange (_gw_request *r, ut_outcome outcome)
{
  gw_task *gw = r->gw;
  if (r->is_forwarded)
    _gw_end_forward (r);
  _gw_record_version (r, outcome);
  if (outcome == UT_SERVED)
    _gw_record_served (r);
  ut_on_end (gw->upstreams, r->upstream, r->prefill_tokens, outcome,
             gw->now_us);
  r->prefill_tokens = 0;
  r->exchange = NULL;
  _gw_load_changed (gw);
}

/* Claims another attempt of R, given that RUNS attempts may have run and
   DELIVERED may have reached an upstream: NULL when R may be sent again, else
   the reason why not.  Takes a retry from the budget if DELIVERED > 0; a
   started stream that finds none gets retry_due and NULL.  */
static const char *
_gw_claim_retry (_gw_request *r, uint32_t runs, uint32_t delivered)
{
  if (runs > 0 && (!r->retryable || runs >= r->route->attempts))
    return "may_have_run";
  if (r->attempt_count
      >= (r->events > 0 ? _GW_ATTEMPTS_MAX_STARTED : _GW_ATTEMPTS_MAX))
    return "sends_used_up";
  if (r->gw->now_us + _GW_ATTEMPT_MIN_LEFT_US >= r->end_us)
    return "no_time_left";
  if (delivered > 0 && !_gw_take_retry (r))
    {
      /* A stream that has started waits for the budget: its caller
         tolerates a gap, and otherwise what it received is lost.  */
      r->retry_due = r->events > 0;
      return r->retry_due ? NULL : "repeat_budget_used_up";
    }
  return NULL;
}

static void
_gw_log_retry (const _gw_request *r, bool may_have_run, const char *reason,
               const char *denied)
{
  LO_EVENT ("repeat", st_name_str (&r->id), LO_CSTR ("reason", reason),
            LO_STR ("upstream", st_name_str (&r->upstream_id)),
            LO_INT ("status", r->status),
            LO_BOOL ("may_have_run", may_have_run),
            LO_CSTR ("denied", denied != NULL ? denied : ""),
            LO_INT ("events", r->events),
            LO_INT ("after_ms", (r->gw->now_us - r->sent_us) / CK_MS_US),
            LO_STR ("parts",
                    ((st_str){ r->prompt_parts->str, r->prompt_parts->len })));
}

static void
_gw_record_attempt (_gw_request *r, bool arrived, bool may_have_run)
{
  r->runs += may_have_run;
  r->delivered_count += arrived;
  if (arrived)
    r->version_draw = VR_DRAW_OTHERS;
  if (r->demand.tried_count < GQ_TRIED_MAX)
    r->demand.tried[r->demand.tried_count++] = r->upstream;
}

/* Handles a failed attempt of R for REASON: retries R where that is allowed,
   else ends it.  ARRIVED states whether the attempt may have reached the
   upstream, MAY_HAVE_RUN whether it may have run there.  */
void
_gw_retry (_gw_request *r, bool arrived, bool may_have_run, const char *reason)
{
  if (_gw_leave_pair (r, arrived, may_have_run))
    return;
  _gw_record_attempt (r, arrived, may_have_run);
  const char *denied = _gw_claim_retry (r, r->runs, r->delivered_count);
  _gw_log_retry (r, may_have_run, reason, denied);
  if (denied == NULL)
    _gw_requeue (r);
  else if (r->runs == 0)
    _gw_refuse (r, 503, reason, 300 * CK_MS_US);
  else
    _gw_fail (r, 502, reason);
}

/* False when HEAD states another media type than that of event streams.  */
static bool
_gw_may_be_event_stream (const hp_head *head)
{
  static const st_str type = { "text/event-stream", 17 };
  st_str value;
  return !hp_get (head, ST_LIT ("Content-Type"), &value)
         || (value.len >= type.len
             && hp_name_equal (st_slice (value, 0, type.len), type));
}

static void
_gw_count_statement (const gw_task *gw, const char *name, st_str service)
{
  if (gw->desc.metrics != NULL)
    mt_add (gw->desc.metrics,
            mt_counter (gw->desc.metrics, name, "service", service, "",
                        ST_LIT ("")),
            1);
}

/* A rate that an upstream names in its responses, or no longer names.  */
typedef struct
{
  bool named;
  double per_s;
  uint64_t stated_us;
} _gw_rate;

/* Reads the rate that HEAD, of a response to R, states in FIELD; false when it
   states nothing.  The upstream is sure to have none no more when it leaves
   the field out of a signed success to a request that was sent after it last
   named one; an error need not have the field.  */
static bool
_gw_read_rate (const _gw_request *r, const hp_head *head, st_str field,
               _gw_rate *rate)
{
  const gw_task *gw = r->gw;
  st_str value;
  *rate = (_gw_rate){ .named = hp_get (head, field, &value),
                      .stated_us = gw->now_us };
  /* With 421 another process responds at this address.  */
  if (head->status == 421)
    return false;
  if (rate->named && !rt_parse_rate (value, &rate->per_s))
    {
      LO_EVENT ("upstream_rate_malformed", st_name_str (&r->id),
                LO_STR ("upstream", st_name_str (&r->upstream_id)),
                LO_STR ("field", field), LO_STR ("value", value));
      return false;
    }
  if (rate->named)
    return true;
  rate->stated_us = r->sent_us;
  return head->status < 300 && hp_get (head, gw->desc.names->signature, &value)
         && value.len > 0;
}

/* Adopts the limit that HEAD, of a response to R, names or no longer names. */
static void
_gw_read_limit (const _gw_request *r, const hp_head *head)
{
  gw_task *gw = r->gw;
  _gw_rate rate;
  if (!_gw_read_rate (r, head, gw->desc.names->limit, &rate))
    return;
  el_limit statement = { .named = rate.named,
                         .per_s = rate.per_s,
                         .stated_us = rate.stated_us };
  if (!ut_state_limit (gw->upstreams, r->upstream, &statement))
    return;
  LO_EVENT (
      "upstream_limit", st_name_str (&r->id),
      LO_STR ("upstream", st_name_str (&r->upstream_id)),
      LO_BOOL ("named", rate.named),
      LO_INT ("per_s_milli", MIN (rate.per_s * 1000, (double)UINT32_MAX)),
      LO_INT ("status", head->status));
  _gw_count_statement (gw, "gateway_upstream_limits_total",
                       st_name_str (&r->service));
}

/* Adopts how many rejections a second the upstream bears that sent HEAD, a
   response to R, or that it is no longer brittle.  */
static void
_gw_read_brittle (const _gw_request *r, const hp_head *head)
{
  gw_task *gw = r->gw;
  _gw_rate rate;
  if (!_gw_read_rate (r, head, gw->desc.names->brittle, &rate))
    return;
  ut_brittle statement = { .named = rate.named,
                           .per_s = rate.per_s,
                           .stated_us = rate.stated_us };
  if (!ut_state_brittle (gw->upstreams, r->upstream, &statement))
    return;
  LO_EVENT ("upstream_brittle", st_name_str (&r->id),
            LO_STR ("upstream", st_name_str (&r->upstream_id)),
            LO_BOOL ("named", rate.named),
            LO_INT ("per_s", MIN (rate.per_s, (double)UINT32_MAX)),
            LO_INT ("status", head->status));
  _gw_count_statement (gw, "gateway_upstreams_brittle_total",
                       st_name_str (&r->service));
}

/* Sends nothing more to R's upstream, which has rejected R, for a while if it
   is brittle: for this VM's part of the rejections that it bears from all.  */
static void
_gw_pause_brittle (const _gw_request *r)
{
  gw_task *gw = r->gw;
  const ut_brittle *brittle = ut_query_brittle (gw->upstreams, r->upstream);
  if (brittle == NULL)
    return;
  double per_s = brittle->per_s > 1 ? brittle->per_s : 1;
  uint32_t vms = gw->group.active_count > 0 ? gw->group.active_count : 1;
  double pause_s = (double)vms / per_s;
  ut_pause (gw->upstreams, r->upstream,
            gw->now_us + (uint64_t)((pause_s > 1 ? pause_s : 1) * CK_S_US));
}

/* Adopts what R's upstream states of itself in HEAD: that it leaves, that it
   takes so many requests a second, that it bears few rejections, or that it
   wants no requests for a while.  */
static void
_gw_read_statements (const _gw_request *r, const hp_head *head)
{
  gw_task *gw = r->gw;
  const ut_upstream *up = ut_query (gw->upstreams, r->upstream);
  st_str value;
  uint64_t pause_us;
  if (up != NULL && !up->said_leaving
      && hp_get (head, gw->desc.names->leaving, &value))
    {
      LO_EVENT ("upstream_leaving", st_name_str (&r->id),
                LO_STR ("upstream", st_name_str (&r->upstream_id)),
                LO_INT ("status", head->status));
      _gw_count_statement (gw, "gateway_upstreams_leaving_total",
                           st_name_str (&r->service));
      ut_set_leaving (gw->upstreams, r->upstream);
    }
  _gw_read_limit (r, head);
  _gw_read_brittle (r, head);
  if (head->status != 503 || !hp_get (head, ST_LIT ("Retry-After"), &value)
      || !rt_parse_retry_after (value, _GW_PAUSE_MAX_US, &pause_us))
    return;
  LO_EVENT ("upstream_paused", st_name_str (&r->id),
            LO_STR ("upstream", st_name_str (&r->upstream_id)),
            LO_STR ("asked_s", value),
            LO_INT ("pause_ms", pause_us / CK_MS_US));
  _gw_count_statement (gw, "gateway_upstream_pauses_total",
                       st_name_str (&r->service));
  ut_pause (gw->upstreams, r->upstream, gw->now_us + pause_us);
}

static void
_gw_on_head (_gw_request *r, const hp_head *head)
{
  const gw_names *names = r->gw->desc.names;
  st_str value;
  if (r->is_forwarded)
    _gw_on_forward_head (r, head);
  else
    _gw_read_statements (r, head);
  if (!r->is_forwarded && head->status != 421)
    _gw_record_alive (r);
  r->status = head->status;
  r->is_signed = hp_get (head, names->signature, &value) && value.len > 0;
  r->not_run = head->status == 421 || hp_get (head, names->not_run, &value);
  r->encoded = hp_get (head, ST_LIT ("Content-Encoding"), &value)
               && !hp_name_equal (value, ST_LIT ("identity"));
  r->is_stream = r->route->kind == RC_STREAM && head->status == 200
                 && r->is_signed && !r->encoded && !r->not_run
                 && _gw_may_be_event_stream (head);
  r->response_length = head->length;
  r->is_framed = head->has_length || head->chunked;
  if (r->events > 0)
    return; /* the caller has received the first head */
  g_string_truncate (r->response_head, 0);
  for (size_t i = 0; i < head->field_count; i++)
    {
      const hp_field *field = &head->fields[i];
      if (_gw_is_named (_gw_response_drop,
                        sizeof _gw_response_drop / sizeof *_gw_response_drop,
                        field->name))
        continue;
      g_string_append_printf (r->response_head, "%.*s: %.*s\r\n",
                              ST_FMT (field->name), ST_FMT (field->value));
    }
}

/* Forwards the response to the caller.  Where a stream has started
   another head cannot follow, so the connection is aborted.  */
static void
_gw_forward_response (_gw_request *r)
{
  gw_task *gw = r->gw;
  if (r->events > 0)
    {
      r->runs++;
      _gw_fail (r, 502, "error_of_a_further_run");
      return;
    }
  _gw_conn *conn = r->conn;
  _gw_service *service = _gw_service_of (r);
  size_t length = _gw_is_head_request (conn) ? r->response_length
                                             : r->response_body->len;
  r->runs++;
  _gw_send_response (conn, r->status,
                     (st_str){ r->response_head->str, r->response_head->len },
                     (st_str){ r->response_body->str, length });
  _gw_account (r, r->status < 400 ? "answered" : "upstream_error", r->status,
               "");
  _gw_free_request (r);
  _gw_schedule (gw, service);
}

/* Adds the time that R spent at its upstream to the mean of its service and,
   for a plain service, to that of the upstream.  */
void
_gw_record_service_time (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_service *service = _gw_service_of (r);
  double took_us = (double)(gw->now_us - r->sent_us);
  if (r->is_forwarded)
    return;
  if (service->service_us <= 0)
    service->service_us = took_us;
  service->service_us += _GW_SERVICE_WEIGHT * (took_us - service->service_us);
  if (!r->engine)
    ut_set_unit_time (gw->upstreams, r->upstream, took_us);
}

/* Handles a response which states that R did not run, for whatever reason; any
   status but 421 is logged as upstream_full.  */
static void
_gw_on_not_run (_gw_request *r)
{
  gw_task *gw = r->gw;
  uint64_t avoid_us
      = r->status == 421 ? _GW_OTHER_INSTANCE_AVOID_US : _GW_FULL_AVOID_US;
  if (r->status == 421)
    uc_close_instance (gw->pool, st_name_str (&r->upstream_id));
  else
    _gw_pause_brittle (r);
  ut_avoid (gw->upstreams, r->upstream, gw->now_us + avoid_us);
  _gw_end_exchange (r, UT_REFUSED);
  _gw_retry (r, true, false,
             r->status == 421 ? "other_instance" : "upstream_full");
}

/* Handles a response with an error status (IS_ERROR_STATUS), whose signature
   is not checked, or one that is unsigned, encoded or not the expected
   stream.  */
static void
_gw_on_bad_response (_gw_request *r, bool is_error_status)
{
  const char *reason = is_error_status ? "upstream_error" : "unsigned_answer";
  /* To the caller these statuses mean that nothing has run, which the upstream
     did not state.  */
  bool means_not_run = r->status == 429 || r->status == 503 || r->status == 408
                       || r->status == 421;
  _gw_end_exchange (r, UT_FAILED);
  if (_gw_leave_pair (r, true, true))
    return;
  const char *denied
      = _gw_claim_retry (r, r->runs + 1, r->delivered_count + 1);
  if (denied != NULL && is_error_status && !means_not_run)
    {
      _gw_forward_response (r);
      return;
    }
  _gw_record_attempt (r, true, true);
  _gw_log_retry (r, true, reason, denied);
  if (denied == NULL)
    _gw_requeue (r);
  else
    _gw_fail (r, 502, reason);
}

static void
_gw_on_response (_gw_request *r)
{
  /* Of two VMs the one that is next to the upstreams repeats requests.  */
  if (r->is_forwarded && !r->is_signed)
    {
      _gw_on_forward_refused (r);
      return;
    }
  if (r->is_forwarded && r->status >= 500 && r->events == 0)
    {
      _gw_end_exchange (r, UT_FAILED);
      _gw_forward_response (r);
      return;
    }
  if (r->not_run)
    {
      _gw_on_not_run (r);
      return;
    }
  if (r->status >= 500 || r->status == 429 || r->status == 408)
    {
      _gw_on_bad_response (r, true);
      return;
    }
  if ((r->status < 300 && !r->is_signed) || r->encoded
      || (r->route->kind == RC_STREAM && r->status < 300))
    {
      _gw_on_bad_response (r, false);
      return;
    }
  _gw_record_service_time (r);
  _gw_end_exchange (r, UT_SERVED);
  _gw_win_copy (r);
  _gw_forward_response (r);
}

static void
_gw_on_exchange_failed (_gw_request *r, const uc_event *event)
{
  bool connection_lost = event->sent && r->status == 0;
  if (!r->is_forwarded && r->status == 0)
    _gw_on_unheard (r);
  if (event->sent && event->connection_lost)
    _gw_record_lost (r);
  if (event->over_limit)
    _gw_on_limit_exceeded (r, event->reason);
  /* The idle connections of an upstream that has ended are useless, and a
     request that is sent on one counts as one that may have run.  */
  if (connection_lost)
    uc_close_instance (r->gw->pool, st_name_str (&r->upstream_id));
  _gw_end_exchange (r, connection_lost ? UT_CONNECTION_LOST
                       : event->sent   ? UT_FAILED
                                       : UT_UNREACHABLE);
  _gw_retry (r, event->sent, event->sent, event->reason);
}

static void
_gw_on_exchange (void *user, const uc_event *event)
{
  _gw_request *r = user;
  _gw_now (r->gw);
  if (!r->is_forwarded && event->kind != UC_FAILED)
    _gw_on_heard (r, event->kind == UC_HEAD);
  switch (event->kind)
    {
    case UC_HEAD:
      _gw_on_head (r, event->head);
      return;
    case UC_BODY:
      if (r->is_stream)
        {
          _gw_relay (r, event->bytes);
          return;
        }
      g_string_append_len (r->response_body, event->bytes.ptr,
                           (gssize)event->bytes.len);
      _gw_check_limits (r);
      return;
    case UC_END:
      if (r->is_stream)
        _gw_relay_end (r);
      else
        _gw_on_response (r);
      return;
    case UC_FAILED:
      _gw_on_exchange_failed (r, event);
      return;
    }
}
