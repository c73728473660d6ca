/* Quarantine: refuses requests that crash upstreams, or have a prompt part
   that does, by the rules of qn.h.  */
#include "gw_internal.h"

#include <inttypes.h>

/* Retry-After of a refused request.  The block outlasts what callers wait, so
   they gain nothing from coming back soon.  */
#define _GW_QUARANTINE_RETRY_AFTER_US (60 * CK_S_US)
/* Events of an attempt after which the upstream has evidently begun to respond
   and still runs.  */
#define _GW_SERVED_EVENTS 2
/* Messages a second in which a VM tells the others about requests, summed over
   the receivers: 16 rows with 9 others, one in two seconds with 300.  */
#define _GW_SUSPECT_MESSAGES_PER_S 150.0

static void
_gw_read_subjects (const _gw_request *r, qn_request *request)
{
  qn_read_request (request, r->identity, st_name_str (&r->service),
                   (st_str){ r->prompt_parts->str, r->prompt_parts->len });
}

static ms_suspect
_gw_make_suspect (const qn_row *row)
{
  st_str subject = st_name_str (&row->subject);
  switch (row->kind)
    {
    case QN_LOST:
      return (ms_suspect){ subject, false, row->upstream, row->prompt };
    case QN_TRIAL:
      return (ms_suspect){ subject, false, 0, 0 };
    case QN_SERVED:
      return (ms_suspect){ subject, true, 0, 0 };
    case QN_ALIVE:
      break;
    }
  return (ms_suspect){ ST_LIT ("alive"), true, row->upstream, 0 };
}

/* Fills ROW from S; false when the name of its subject is too long.  */
static bool
_gw_read_suspect (const ms_suspect *s, qn_row *row)
{
  *row = (qn_row){ .upstream = s->upstream, .prompt = s->request };
  if (s->served)
    row->kind = s->upstream != 0 ? QN_ALIVE : QN_SERVED;
  else
    row->kind = s->upstream != 0 ? QN_LOST : QN_TRIAL;
  return st_name_set (&row->subject, s->part);
}

/* True when ROW may be sent to all other VMs now.  Each lost attempt has a row
   of its request: where many upstreams of a large deployment crash together,
   the VMs tell each other of a sample.  */
static bool
_gw_may_send_row (gw_task *gw, const qn_row *row)
{
  if (row->kind == QN_TRIAL || row->kind == QN_ALIVE
      || !qn_is_request (&row->subject))
    return true;
  double vms = gw->group.frequent_recipients->len
               + gw->group.infrequent_recipients->len;
  double passed_s = (double)(gw->now_us - gw->suspect_us) / CK_S_US;
  gw->suspect_us = gw->now_us;
  gw->suspect_messages += passed_s * _GW_SUSPECT_MESSAGES_PER_S;
  if (gw->suspect_messages > _GW_SUSPECT_MESSAGES_PER_S)
    gw->suspect_messages = _GW_SUSPECT_MESSAGES_PER_S;
  if (gw->suspect_messages <= 0)
    return false;
  gw->suspect_messages -= vms;
  return true;
}

static void
_gw_send_suspects (gw_task *gw, const qn_row *rows, uint32_t count)
{
  ms_suspect suspects[MS_SUSPECTS_MAX];
  ms_message m = { .type = MS_SUSPECTS };
  m.u.suspects.rows = suspects;
  for (uint32_t i = 0; gw->peers != NULL && i < count; i++)
    {
      if (_gw_may_send_row (gw, &rows[i]))
        suspects[m.u.suspects.count++] = _gw_make_suspect (&rows[i]);
      if (m.u.suspects.count == 0
          || (m.u.suspects.count < MS_SUSPECTS_MAX && i + 1 < count))
        continue;
      _gw_send_to_all (gw, gw->group.frequent_recipients, &m);
      _gw_send_to_all (gw, gw->group.infrequent_recipients, &m);
      m.u.suspects.count = 0;
    }
}

/* Refuses R when it, or a part of its prompt, is blocked; true when it did. */
bool
_gw_refuse_quarantined (_gw_request *r)
{
  gw_task *gw = r->gw;
  qn_request request;
  _gw_read_subjects (r, &request);
  const st_name *subject
      = qn_query_blocked (gw->quarantine, &request, gw->now_us);
  if (subject == NULL)
    return false;
  LO_EVENT ("quarantined", st_name_str (&r->id),
            LO_STR ("subject", st_name_str (subject)),
            LO_INT ("runs", r->runs));
  _gw_refuse (r, 503,
              qn_is_request (subject) ? "quarantined_request"
                                      : "quarantined_part",
              _GW_QUARANTINE_RETRY_AFTER_US);
  return true;
}

/* True when requests equal to R have lost an upstream and were not responded
   to since.  */
bool
_gw_is_suspect (const _gw_request *r)
{
  return qn_query_suspect (r->gw->quarantine, r->identity, r->gw->now_us);
}

/* Records that R is sent to an upstream.  */
void
_gw_record_sent (const _gw_request *r)
{
  gw_task *gw = r->gw;
  qn_row row;
  if (!qn_on_sent (gw->quarantine, r->identity, gw->now_us, &row))
    return;
  LO_EVENT ("quarantine_trial", st_name_str (&r->id),
            LO_STR ("subject", st_name_str (&row.subject)));
  _gw_send_suspects (gw, &row, 1);
}

/* Records that R was responded to.  */
void
_gw_record_served (const _gw_request *r)
{
  gw_task *gw = r->gw;
  qn_row rows[QN_SUBJECTS_MAX];
  qn_request request;
  _gw_read_subjects (r, &request);
  uint32_t count = qn_on_served (gw->quarantine, &request, gw->now_us, rows);
  _gw_send_suspects (gw, rows, count);
}

/* Records an event of R's attempt.  */
void
_gw_record_event (_gw_request *r)
{
  if (++r->attempt_events == _GW_SERVED_EVENTS)
    _gw_record_served (r);
}

/* Records that the upstream of R has begun to respond, whatever to.  */
void
_gw_record_alive (const _gw_request *r)
{
  gw_task *gw = r->gw;
  qn_row row;
  if (!qn_on_alive (gw->quarantine, ut_hash (st_name_str (&r->upstream_id)),
                    r->sent_us, gw->now_us, &row))
    return;
  LO_EVENT ("upstream_lives", st_name_str (&r->id),
            LO_STR ("upstream", st_name_str (&r->upstream_id)));
  _gw_send_suspects (gw, &row, 1);
}

/* Logs that R's attempt lost its upstream, and what R asked for: the same
   request may have lost others, at other VMs.  */
static void
_gw_log_lost (const _gw_request *r)
{
  char identity[17];
  size_t line_end;
  st_str line = { r->head->str, r->head->len };
  if (st_find_char (line, '\r', &line_end))
    line.len = line_end;
  snprintf (identity, sizeof identity, "%016" PRIx64, r->identity);
  LO_EVENT ("upstream_lost", st_name_str (&r->id),
            LO_STR ("upstream", st_name_str (&r->upstream_id)),
            LO_CSTR ("request", identity), LO_STR ("route", r->route->name),
            LO_STR ("line", line),
            LO_STR ("team", r->team != NULL ? r->team->name : ST_LIT ("")),
            LO_INT ("body_bytes", g_bytes_get_size (r->body)),
            LO_INT ("events", r->attempt_events),
            LO_INT ("after_ms", (r->gw->now_us - r->sent_us) / CK_MS_US));
}

/* Records that R's attempt lost its upstream.  The loss of another VM says
   nothing about upstreams.  */
void
_gw_record_lost (const _gw_request *r)
{
  gw_task *gw = r->gw;
  qn_row rows[QN_SUBJECTS_MAX];
  if (r->is_forwarded)
    return;
  _gw_log_lost (r);
  if (r->attempt_events >= _GW_SERVED_EVENTS)
    return;
  qn_request request;
  _gw_read_subjects (r, &request);
  uint32_t count
      = qn_on_lost (gw->quarantine, &request,
                    ut_hash (st_name_str (&r->upstream_id)), gw->now_us, rows);
  for (uint32_t i = 0; i < count; i++)
    if (rows[i].kind == QN_LOST)
      LO_EVENT ("suspect", st_name_str (&r->id),
                LO_STR ("subject", st_name_str (&rows[i].subject)),
                LO_STR ("upstream", st_name_str (&r->upstream_id)));
  _gw_send_suspects (gw, rows, count);
}

/* Records the SUSPECTS of another VM.  */
void
_gw_on_suspects (gw_task *gw, const ms_suspects *suspects)
{
  qn_row disproved[QN_SUBJECTS_MAX];
  uint32_t count = 0;
  for (size_t i = 0; i < suspects->count; i++)
    {
      qn_row row;
      if (_gw_read_suspect (&suspects->rows[i], &row)
          && qn_on_row (gw->quarantine, &row, gw->now_us)
          && count < QN_SUBJECTS_MAX)
        disproved[count++]
            = (qn_row){ .kind = QN_SERVED, .subject = row.subject };
    }
  _gw_send_suspects (gw, disproved, count);
}

/* Publishes the changes that this VM has found.  */
void
_gw_publish_quarantine (gw_task *gw)
{
  qn_change change;
  if (gw->desc.write_quarantine == NULL)
    return;
  while (qn_next_change (gw->quarantine, gw->now_us, &change))
    {
      LO_EVENT ("quarantine_write", ST_LIT (""),
                LO_STR ("subject", st_name_str (&change.subject)),
                LO_BOOL ("blocked", change.blocked));
      gw->desc.write_quarantine (gw->desc.user, st_name_str (&change.subject),
                                 change.blocked);
    }
}

/* Stores whether the published state of SUBJECT is BLOCKED.  */
void
gw_set_quarantine (gw_task *gw, st_str subject, bool blocked)
{
  qn_change change = { .blocked = blocked };
  if (!st_name_set (&change.subject, subject))
    return;
  LO_EVENT ("quarantine", ST_LIT (""), LO_STR ("subject", subject),
            LO_BOOL ("blocked", blocked));
  qn_on_published (gw->quarantine, &change, _gw_now (gw));
}

/* Records that the published state of SUBJECT has lapsed.  */
void
gw_remove_quarantine (gw_task *gw, st_str subject)
{
  qn_on_lapsed (gw->quarantine, subject, _gw_now (gw));
}
