#include "fe_internal.h"
#include "ow.h"

#include "lg.h"

/* Teams beyond this number share the series of team "other".  */
#define _FE_MAX_TEAM_METRICS 512

/* Adds one to a counter.  */
void
fe_count (fe_front *fe, const char *name, const char *label, st_str value)
{
  mt_registry *m = fe->sv->metrics;
  mt_add (m, mt_counter (m, name, label, value, NULL, (st_str){ 0 }), 1);
}

/* Releases the slot of R, and reports END and the measured latencies to the
   cell owner and, for CS_ANSWERED and CS_FAILED, to the rollout's evidence.
   Does nothing when R has no slot.  */
void
fe_release_slot (fe_request *r, cs_outcome end)
{
  if (!r->has_slot)
    return;
  uint64_t itl_us = 0;
  r->has_slot = false;
  if (r->events > 1 && r->first_token_delay_us > 0)
    itl_us = (r->last_event_us - r->dispatched_us - r->first_token_delay_us)
             / (r->events - 1);
  ow_done (r->fe->sv->slot_requests, r->self,
           &(cs_done_info){ .outcome = end,
                            .first_token_us = r->first_token_delay_us,
                            .itl_us = itl_us,
                            .tokens = r->events });
  if (end == CS_ANSWERED || end == CS_FAILED)
    rl_record (r->fe->sv->rollouts,
               &(rl_sample){ .service = st_name_str (&r->model),
                             .route = st_name_str (&r->route),
                             .engine = st_from_cstr (r->engine),
                             .choice = r->choice,
                             .failed = end == CS_FAILED,
                             .first_token_us = r->first_token_delay_us,
                             .inter_token_us = itl_us });
}

/* Series are looked up once for each team and tier: a lookup builds and
   hashes the text of the labels.  */
static fe_team_metrics *
_fe_team_metrics_of (fe_front *fe, const st_name *team)
{
  fe_team_metrics *m = g_hash_table_lookup (fe->team_metrics, team->text);
  if (m != NULL)
    return m;
  bool full = g_hash_table_size (fe->team_metrics) >= _FE_MAX_TEAM_METRICS;
  const char *name = full ? "other" : team->text;
  m = full ? g_hash_table_lookup (fe->team_metrics, name) : NULL;
  if (m == NULL)
    {
      m = g_new0 (fe_team_metrics, 1);
      g_hash_table_insert (fe->team_metrics, g_strdup (name), m);
    }
  return m;
}

static void
_fe_record_histogram (const fe_request *r, mt_id *id, const char *name,
                      uint64_t value_us)
{
  mt_registry *m = r->fe->sv->metrics;
  if (*id == 0)
    *id = mt_histogram (m, name, "team", st_name_str (&r->team), "tier",
                        sv_tier_name (r->tier));
  mt_record (m, *id, value_us);
}

static void
_fe_record_metrics (const fe_request *r)
{
  fe_front *fe = r->fe;
  mt_registry *m = fe->sv->metrics;
  fe_team_metrics *team = _fe_team_metrics_of (fe, &r->team);
  mt_id *outcome = &fe->outcomes[r->outcome][r->tier];
  if (*outcome == 0)
    *outcome = mt_counter (m, "dotterelbend_requests_total", "outcome",
                           st_from_cstr (rq_outcome_name (r->outcome)), "tier",
                           sv_tier_name (r->tier));
  mt_add (m, *outcome, 1);
  _fe_record_histogram (r, &team->total[r->tier], "dotterelbend_request_us",
                        sv_now_us (fe->sv) - r->accepted_us);
  if (r->first_token_delay_us > 0)
    _fe_record_histogram (
        r, &team->first_token[r->tier], "dotterelbend_first_token_us",
        r->dispatched_us + r->first_token_delay_us - r->accepted_us);
}

static void
_fe_free_retained (fe_request *r)
{
  fe_front *fe = r->fe;
  rq_set_user (fe->sv->requests, r->record, 0);
  g_queue_delete_link (&fe->retained, r->retained);
  r->retained = NULL;
  fe_request_free (r);
}

static void
_fe_retain_response (fe_request *r)
{
  fe_front *fe = r->fe;
  g_queue_push_tail (&fe->retained, r);
  r->retained = fe->retained.tail;
  g_free (r->body);
  r->body = NULL;
  if (r->prompt != NULL)
    g_string_free (r->prompt, TRUE);
  r->prompt = NULL;
  while (fe->retained.length > 0
         && (fe->buffered_bytes > fe->desc.max_buffered_bytes
             || fe->retained.length > fe->desc.max_requests / 2))
    {
      fe_request *oldest = fe->retained.head->data;
      if (oldest->readers != NULL)
        break;
      _fe_free_retained (oldest);
    }
}

/* Gives R its outcome and completes its readers.  KIND and MESSAGE are for
   the error response, "" for an answered request.  R may be freed.  */
void
fe_end (fe_request *r, rq_outcome outcome, const char *kind,
        const char *message)
{
  if (!r->orphaned && !rq_finish (r->fe->sv->requests, r->record, outcome))
    {
      /* The request table rejects an outcome that contradicts its record.  */
      lg_log (LG_ERROR, r->id,
              "outcome %s contradicts the request record; reporting unknown",
              rq_outcome_name (outcome));
      outcome = RQ_UNKNOWN;
      rq_finish (r->fe->sv->requests, r->record, outcome);
    }
  r->state = FE_ENDED;
  r->outcome = outcome;
  r->fe->open--;
  g_strlcpy (r->error_kind, kind, sizeof r->error_kind);
  g_strlcpy (r->error, message, sizeof r->error);
  _fe_record_metrics (r);
  lg_log (outcome == RQ_ANSWERED ? LG_DEBUG : LG_INFO, r->id,
          "outcome %s tier %u team %s engine %s%s%s",
          rq_outcome_name (outcome), r->tier, r->team.text, r->engine,
          message[0] != 0 ? ": " : "", message);
  fe_end_readers (r);
  _fe_retain_response (r);
}

/* Frees all retained responses.  There must be no open requests.  */
void
fe_drop_retained (fe_front *fe)
{
  while (fe->retained.length > 0)
    _fe_free_retained (fe->retained.head->data);
}
