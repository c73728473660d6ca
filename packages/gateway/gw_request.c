/* Requests: their pool, their end and its accounting.  */
#include "gw_internal.h"

static void
_gw_on_deadline (evutil_socket_t fd, short what, void *user)
{
  _gw_request *r = user;
  (void)fd;
  (void)what;
  _gw_now (r->gw);
  switch (r->state)
    {
    case _GW_FREE:
      break;
    case _GW_QUEUED:
      if (r->runs == 0)
        _gw_refuse (r, 503, "deadline_in_queue", 0);
      else
        _gw_fail (r, 504, "deadline_in_queue");
      break;
    case _GW_SENT:
    case _GW_RELAYING:
      _gw_fail (r, 504, "deadline");
      break;
    }
}

/* Allocates a request of CONN from the pool; NULL when all are in use.  */
_gw_request *
_gw_make_request (gw_task *gw, _gw_conn *conn)
{
  _gw_request *r;
  if (gw->free_first != 0)
    {
      r = &gw->requests[gw->free_first - 1];
      gw->free_first = r->next != NULL ? r->next->index + 1 : 0;
    }
  else if (gw->used < GW_REQUESTS_MAX)
    {
      r = &gw->requests[gw->used];
      r->index = gw->used++;
    }
  else
    return NULL;
  uint32_t index = r->index;
  *r = (_gw_request){ .gw = gw,
                      .index = index,
                      .conn = conn,
                      .region_mask = UINT64_MAX,
                      .config = rc_ref (gw->config),
                      .version_draw = _gw_random (gw) };
  r->head = g_string_sized_new (512);
  r->prompt_parts = g_string_new (NULL);
  r->key = g_string_new (NULL);
  r->response_body = g_string_new (NULL);
  r->response_head = g_string_new (NULL);
  r->timer = evtimer_new (gw->desc.base, _gw_on_deadline, r);
  conn->request = r;
  gw->open_count++;
  return r;
}

/* Returns R to the pool.  It must have no exchange and be in no queue.  */
void
_gw_free_request (_gw_request *r)
{
  gw_task *gw = r->gw;
  _gw_end_copy (r);
  if (r->conn != NULL && r->conn->request == r)
    r->conn->request = NULL;
  _gw_release_quota (r);
  g_string_truncate (r->response_body, 0);
  _gw_count_stored (r);
  event_free (r->timer);
  if (r->copy_timer != NULL)
    event_free (r->copy_timer);
  g_string_free (r->head, TRUE);
  if (r->body != NULL)
    g_bytes_unref (r->body);
  g_string_free (r->prompt_parts, TRUE);
  g_string_free (r->key, TRUE);
  gw->forwarded_count -= r->was_forwarded;
  g_string_free (r->response_body, TRUE);
  g_string_free (r->response_head, TRUE);
  rc_unref (r->config);
  rc_unref (r->regions_config);
  r->route = NULL;
  r->state = _GW_FREE;
  r->conn = NULL;
  r->next = gw->free_first != 0 ? &gw->requests[gw->free_first - 1] : NULL;
  gw->free_first = r->index + 1;
  gw->open_count--;
}

/* Records the end of R with OUTCOME in the log and the metrics.  */
void
_gw_account (_gw_request *r, const char *outcome, int status,
             const char *reason)
{
  gw_task *gw = r->gw;
  uint64_t took_us = gw->now_us - r->demand.arrived_us;
  st_str team = r->team != NULL ? r->team->name : ST_LIT ("");
  LO_EVENT (
      "request_end", st_name_str (&r->id), LO_CSTR ("outcome", outcome),
      LO_INT ("status", status), LO_CSTR ("reason", reason),
      LO_STR ("route", r->route->name), LO_STR ("team", team),
      LO_INT ("tier", r->demand.tier), LO_INT ("rank", r->demand.rank),
      LO_STR ("upstream", st_name_str (&r->upstream_id)),
      LO_INT ("sends", r->attempt_count), LO_INT ("runs", r->runs),
      LO_INT ("took_ms", took_us / CK_MS_US),
      LO_INT ("first_ms", r->first_us > 0
                              ? (r->first_us - r->demand.arrived_us) / CK_MS_US
                              : 0),
      LO_INT ("prompt_tokens", r->demand.prompt_tokens),
      LO_INT ("output_tokens", r->max_output_tokens),
      LO_INT ("events", r->events),
      LO_INT ("config", rc_query_version (r->config)));
  if (gw->desc.metrics == NULL)
    return;
  mt_add (gw->desc.metrics,
          mt_counter (gw->desc.metrics, "gateway_requests_total", "team", team,
                      "outcome", st_from_cstr (outcome)),
          1);
  mt_record (gw->desc.metrics,
             mt_histogram (gw->desc.metrics, "gateway_request_us", "team",
                           team, "route", r->route->name),
             took_us);
}

/* Removes R from its queue or cancels its exchange.  */
static void
_gw_release (_gw_request *r)
{
  if (r->state == _GW_QUEUED)
    _gw_dequeue (r);
  else if (r->exchange != NULL)
    {
      uc_exchange *x = r->exchange;
      _gw_end_exchange (r, UT_ABANDONED);
      uc_cancel (x);
    }
}

/* Ends R, whose caller has disconnected.  */
void
_gw_abandon (_gw_request *r, const char *reason)
{
  gw_task *gw = r->gw;
  _gw_service *service = _gw_service_of (r);
  _gw_now (gw);
  _gw_release (r);
  _gw_account (r, "abandoned", 0, reason);
  _gw_free_request (r);
  _gw_schedule (gw, service);
}

/* Ends R with STATUS (429 or 503), which tells the caller that it has not run
   and will not.  */
void
_gw_refuse (_gw_request *r, int status, const char *reason,
            uint64_t retry_after_us)
{
  gw_task *gw = r->gw;
  _gw_conn *conn = r->conn;
  st_name id = r->id;
  if (r->runs > 0)
    {
      _gw_fail (r, 502, reason);
      return;
    }
  _gw_release (r);
  _gw_account (r, "not_run", status, reason);
  _gw_free_request (r);
  _gw_send_error (conn, status, st_name_str (&id), reason, retry_after_us);
  _gw_load_changed (gw);
}

/* Ends R, which may have run, without a complete response: with STATUS, or by
   aborting the stream where one has started.  */
void
_gw_fail (_gw_request *r, int status, const char *reason)
{
  gw_task *gw = r->gw;
  _gw_conn *conn = r->conn;
  _gw_service *service = _gw_service_of (r);
  st_name id = r->id;
  /* This includes a started stream that is queued again.  */
  bool started = r->events > 0;
  _gw_release (r);
  _gw_account (r, started ? "broken_off" : "unknown", status, reason);
  _gw_free_request (r);
  if (started)
    _gw_abort_response (conn);
  else
    _gw_send_error (conn, status, st_name_str (&id), reason, 0);
  _gw_schedule (gw, service);
}
