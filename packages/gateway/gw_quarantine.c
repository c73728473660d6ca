/* Quarantine: refuses requests with a prompt part that crashes upstreams, by
   the rules of qn.h.  */
#include "gw_internal.h"

#include <inttypes.h>

/* Retry-After of a refused request.  The block outlasts what callers wait, so
   they gain nothing from coming back soon.  */
#define _GW_QUARANTINE_RETRY_AFTER_US (60 * CK_S_US)
/* Events of an attempt after which the upstream has evidently begun to respond
   and still runs.  */
#define _GW_SERVED_EVENTS 2

static void
_gw_send_suspects (gw_task *gw, const qn_row *rows, uint32_t count)
{
  ms_suspect suspects[QN_PROMPT_PARTS_MAX];
  ms_message m = { .type = MS_SUSPECTS };
  if (gw->peers == NULL || count == 0)
    return;
  for (uint32_t i = 0; i < count; i++)
    suspects[i] = (ms_suspect){ st_name_str (&rows[i].part), rows[i].served,
                                rows[i].upstream, rows[i].request };
  m.u.suspects.rows = suspects;
  m.u.suspects.count = count;
  _gw_send_to_all (gw, gw->group.frequent_recipients, &m);
  _gw_send_to_all (gw, gw->group.infrequent_recipients, &m);
}

/* Refuses R when its prompt has a blocked part; true when it did.  */
bool
_gw_refuse_quarantined (_gw_request *r)
{
  gw_task *gw = r->gw;
  const st_name *part
      = qn_query_blocked (gw->quarantine, &r->prompt, gw->now_us);
  if (part == NULL)
    return false;
  LO_EVENT ("quarantined", st_name_str (&r->id),
            LO_STR ("part", st_name_str (part)), LO_INT ("runs", r->runs));
  _gw_refuse (r, 503, "quarantined_part", _GW_QUARANTINE_RETRY_AFTER_US);
  return true;
}

/* Records that R was responded to.  */
void
_gw_record_prompt_served (_gw_request *r)
{
  gw_task *gw = r->gw;
  qn_row rows[QN_PROMPT_PARTS_MAX];
  uint32_t count = qn_on_served (gw->quarantine, &r->prompt, gw->now_us, rows);
  _gw_send_suspects (gw, rows, count);
}

/* Records an event of R's attempt.  */
void
_gw_record_event (_gw_request *r)
{
  if (++r->attempt_events == _GW_SERVED_EVENTS)
    _gw_record_prompt_served (r);
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

/* Records that R's attempt lost its upstream.  */
void
_gw_record_prompt_lost (_gw_request *r)
{
  gw_task *gw = r->gw;
  qn_row rows[QN_PROMPT_PARTS_MAX];
  _gw_log_lost (r);
  if (r->attempt_events >= _GW_SERVED_EVENTS)
    return;
  uint32_t count
      = qn_on_lost (gw->quarantine, &r->prompt,
                    ut_hash (st_name_str (&r->upstream_id)), gw->now_us, rows);
  for (uint32_t i = 0; i < count; i++)
    LO_EVENT ("suspect_part", st_name_str (&r->id),
              LO_STR ("part", st_name_str (&rows[i].part)),
              LO_STR ("upstream", st_name_str (&r->upstream_id)));
  _gw_send_suspects (gw, rows, count);
}

/* Records the SUSPECTS of another VM.  */
void
_gw_on_suspects (gw_task *gw, const ms_suspects *suspects)
{
  qn_row disproved[QN_PROMPT_PARTS_MAX];
  uint32_t count = 0;
  for (size_t i = 0; i < suspects->count; i++)
    {
      const ms_suspect *s = &suspects->rows[i];
      qn_row row = { .served = s->served,
                     .upstream = s->upstream,
                     .request = s->request };
      if (st_name_set (&row.part, s->part)
          && qn_on_row (gw->quarantine, &row, gw->now_us)
          && count < QN_PROMPT_PARTS_MAX)
        disproved[count++] = (qn_row){ .part = row.part, .served = true };
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
                LO_STR ("part", st_name_str (&change.part)),
                LO_BOOL ("blocked", change.blocked));
      gw->desc.write_quarantine (gw->desc.user, st_name_str (&change.part),
                                 change.blocked);
    }
}

/* Stores whether the published state of PART, "SERVICE/ID", is BLOCKED.  */
void
gw_set_quarantine (gw_task *gw, st_str part, bool blocked)
{
  qn_change change = { .blocked = blocked };
  if (!st_name_set (&change.part, part))
    return;
  LO_EVENT ("quarantine", ST_LIT (""), LO_STR ("part", part),
            LO_BOOL ("blocked", blocked));
  qn_on_published (gw->quarantine, &change, _gw_now (gw));
}

/* Records that the published state of PART has lapsed.  */
void
gw_remove_quarantine (gw_task *gw, st_str part)
{
  qn_on_lapsed (gw->quarantine, part, _gw_now (gw));
}
