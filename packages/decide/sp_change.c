#include "sp.h"

#include <string.h>

#define _SP_TIME_LIMIT_US 10000000ull
#define _SP_RETRY_DELAY_US 200000ull

/* Step of the change in progress.  */
typedef enum
{
  _SP_READING,
  _SP_PREPARING,
  _SP_WRITING,
  _SP_SWAPPING,
  _SP_WAITING, /* until retry_at_us, then READING */
  _SP_DONE
} _sp_stage;

struct sp_change
{
  sp_change_desc desc;
  _sp_stage stage;
  bool action_due; /* the action of the stage was not returned yet */
  sp_outcome outcome;
  uint64_t deadline_us;
  uint64_t retry_at_us;
  size_t index; /* subtree of PREPARING and WRITING */
  sp_hash before[SP_CHANGE_SUBTREES_MAX];
  sp_hash after[SP_CHANGE_SUBTREES_MAX];
  bool prepared[SP_CHANGE_SUBTREES_MAX];
  bool written[SP_CHANGE_SUBTREES_MAX];
  uint64_t accepted_version;
  /* A swap without a reply: the revision of the head that it was made against
     (0 when there was no head) and the version that it writes.  The swap may
     still take effect while the head has that revision.  */
  uint64_t lost_revision;
  uint64_t lost_version;
  bool swap_lost;
  uint64_t base_revision; /* of the head that NEXT replaces */
  uint32_t max_entries;
  sp_entry *entries;
  sp_record records[SP_RECORDS_MAX + SP_CHANGE_SUBTREES_MAX];
  sp_head next;
};

/* Starts a change.  Its first action reads the head.  */
sp_change *
sp_make_change (const sp_change_desc *desc, uint64_t now_us)
{
  sp_change *c = al_alloc (&desc->allocator, sizeof *c);
  c->desc = *desc;
  c->max_entries
      = desc->max_entries > 0 ? desc->max_entries : SP_ENTRIES_DEFAULT;
  if (c->desc.limit_us == 0)
    c->desc.limit_us = _SP_TIME_LIMIT_US;
  if (c->desc.retry_us == 0)
    c->desc.retry_us = _SP_RETRY_DELAY_US;
  c->entries
      = al_alloc (&desc->allocator, c->max_entries * sizeof *c->entries);
  c->deadline_us = now_us + c->desc.limit_us;
  c->stage = _SP_READING;
  c->action_due = true;
  c->next.entries = c->entries;
  c->next.records = c->records;
  return c;
}

/* Releases C, which may be NULL.  */
void
sp_destroy_change (sp_change *c)
{
  if (c == NULL)
    return;
  al_allocator al = c->desc.allocator;
  al_free (&al, c->entries);
  al_free (&al, c);
}

static void
_sp_enter (sp_change *c, _sp_stage stage)
{
  c->stage = stage;
  c->action_due = true;
}

static void
_sp_finish_change (sp_change *c, sp_outcome outcome, uint64_t version)
{
  c->outcome = outcome;
  c->accepted_version = version;
  _sp_enter (c, _SP_DONE);
}

static void
_sp_delay_retry (sp_change *c, uint64_t now_us)
{
  c->stage = _SP_WAITING;
  c->action_due = false;
  c->retry_at_us = now_us + c->desc.retry_us;
}

/* Copies the next action to OUT; false when the change waits for a result or a
   delay.  */
bool
sp_change_next (sp_change *c, sp_change_action *out)
{
  if (!c->action_due)
    return false;
  c->action_due = false;
  memset (out, 0, sizeof *out);
  out->index = c->index;
  if (c->index < SP_CHANGE_SUBTREES_MAX)
    {
      out->before = c->before[c->index];
      out->after = c->after[c->index];
    }
  switch (c->stage)
    {
    case _SP_READING:
      out->kind = SP_CHANGE_READ_HEAD;
      return true;
    case _SP_PREPARING:
      out->kind = SP_CHANGE_PREPARE;
      return true;
    case _SP_WRITING:
      out->kind = SP_CHANGE_WRITE_VALUE;
      return true;
    case _SP_SWAPPING:
      out->kind = SP_CHANGE_SWAP_HEAD;
      out->revision = c->base_revision;
      out->head = &c->next;
      return true;
    case _SP_DONE:
      out->kind = SP_CHANGE_FINISHED;
      return true;
    case _SP_WAITING:
      break;
    }
  return false;
}

/* Index of SUBTREE in the entries of HEAD; entry_count when there is none.  */
static size_t
_sp_find_entry (const sp_head *head, const st_name *subtree)
{
  size_t i = 0;
  while (i < head->entry_count
         && !st_equal (st_name_str (&head->entries[i].subtree),
                       st_name_str (subtree)))
    i++;
  return i;
}

/* Version at which HEAD records the change ID; 0 when it does not.  */
static uint64_t
_sp_find_record (const sp_head *head, const st_name *id)
{
  for (size_t i = 0; i < head->record_count; i++)
    if (st_equal (st_name_str (&head->records[i].id), st_name_str (id)))
      return head->records[i].version;
  return 0;
}

/* True when the records of HEAD reach back far enough to show a change made at
   VERSION.  */
static bool
_sp_records_cover (const sp_head *head, uint64_t version)
{
  return head->version < version || head->record_count < SP_RECORDS_MAX
         || head->records[0].version < version;
}

/* Copies HEAD into NEXT as the starting point of the change.  */
static void
_sp_copy_head (sp_change *c, const sp_head *head)
{
  size_t n = head->entry_count < c->max_entries ? head->entry_count
                                                : c->max_entries;
  size_t r = head->record_count < SP_RECORDS_MAX ? head->record_count
                                                 : SP_RECORDS_MAX;
  if (n > 0)
    memcpy (c->entries, head->entries, n * sizeof *c->entries);
  if (r > 0)
    memcpy (c->records, head->records + (head->record_count - r),
            r * sizeof *c->records);
  c->next.version = head->version;
  c->next.revision = head->revision;
  c->next.entry_count = n;
  c->next.record_count = r;
}

/* Chooses the next stage or the outcome from the current head HEAD.  */
static void
_sp_check_head (sp_change *c, const sp_head *head)
{
  uint64_t found = _sp_find_record (head, &c->desc.id);
  _sp_copy_head (c, head);
  if (found != 0)
    {
      _sp_finish_change (c, SP_ACCEPTED, found);
      return;
    }
  if (c->swap_lost && head->revision == c->lost_revision)
    {
      /* The swap without a reply may still take effect.  The same swap is sent
         again: at most one of the two can take effect.  */
      c->base_revision = head->revision;
    }
  else if (c->swap_lost)
    {
      /* The head has a newer revision, so the swap without a reply cannot take
         effect any more.  Whether it did before is unknown only if the records
         do not reach back far enough.  */
      if (!_sp_records_cover (head, c->lost_version))
        {
          _sp_finish_change (c, SP_UNKNOWN, 0);
          return;
        }
      c->swap_lost = false;
    }
  size_t new_count = 0;
  for (size_t i = 0; i < c->desc.subtree_count; i++)
    {
      size_t at = _sp_find_entry (&c->next, &c->desc.subtrees[i]);
      sp_hash hash = { { 0 } };
      if (at == c->next.entry_count)
        new_count++;
      else if (c->entries[at].changed > c->desc.base_version)
        {
          _sp_finish_change (c, SP_CONFLICTED, 0);
          return;
        }
      else
        hash = c->entries[at].hash;
      if (strcmp (hash.text, c->before[i].text) != 0)
        c->prepared[i] = false;
      c->before[i] = hash;
    }
  if (head->entry_count + new_count > c->max_entries)
    {
      _sp_finish_change (c, SP_INVALID, 0);
      return;
    }
  c->index = 0;
  _sp_enter (c, _SP_PREPARING);
}

/* Builds in NEXT the head after the change.  */
static void
_sp_build_head (sp_change *c)
{
  uint64_t version = c->next.version + 1;
  c->base_revision = c->next.revision;
  for (size_t i = 0; i < c->desc.subtree_count; i++)
    {
      const st_name *subtree = &c->desc.subtrees[i];
      size_t at = _sp_find_entry (&c->next, subtree);
      if (at == c->next.entry_count)
        c->next.entry_count++;
      c->entries[at].subtree = *subtree;
      c->entries[at].hash = c->after[i];
      c->entries[at].changed = version;
      c->records[c->next.record_count++]
          = (sp_record){ .version = version,
                         .time_ms = c->desc.time_ms,
                         .id = c->desc.id,
                         .who = c->desc.who,
                         .subtree = *subtree,
                         .before = c->before[i],
                         .after = c->after[i] };
    }
  if (c->next.record_count > SP_RECORDS_MAX)
    {
      size_t extra = c->next.record_count - SP_RECORDS_MAX;
      memmove (c->records, c->records + extra,
               SP_RECORDS_MAX * sizeof *c->records);
      c->next.record_count = SP_RECORDS_MAX;
    }
  c->next.version = version;
}

/* Enters the next stage: preparing or writing the next subtree that needs it,
   else the swap.  */
static void
_sp_advance (sp_change *c)
{
  size_t i = 0;
  while (i < c->desc.subtree_count && c->prepared[i])
    i++;
  if (i < c->desc.subtree_count)
    {
      c->index = i;
      _sp_enter (c, _SP_PREPARING);
      return;
    }
  i = 0;
  while (i < c->desc.subtree_count && c->written[i])
    i++;
  if (i < c->desc.subtree_count)
    {
      c->index = i;
      _sp_enter (c, _SP_WRITING);
      return;
    }
  _sp_build_head (c);
  _sp_enter (c, _SP_SWAPPING);
}

/* Result of SP_CHANGE_READ_HEAD.  SP_NOT_FOUND means an empty store.  */
void
sp_change_on_head (sp_change *c, uint64_t now_us, sp_result result,
                   const sp_head *head)
{
  static const sp_head empty = { 0 };
  if (c->stage != _SP_READING)
    return;
  if (result == SP_OK)
    _sp_check_head (c, head);
  else if (result == SP_NOT_FOUND)
    _sp_check_head (c, &empty);
  else
    _sp_delay_retry (c, now_us);
  if (c->stage == _SP_PREPARING)
    _sp_advance (c);
}

/* The new value of subtree INDEX is prepared and has the hash AFTER; a RESULT
   other than SP_OK means that the old value could not be read.  */
void
sp_change_on_prepared (sp_change *c, uint64_t now_us, size_t index,
                       sp_result result, const sp_hash *after)
{
  if (c->stage != _SP_PREPARING || index != c->index)
    return;
  if (result != SP_OK)
    {
      _sp_delay_retry (c, now_us);
      return;
    }
  c->after[index] = *after;
  c->prepared[index] = true;
  c->written[index] = false;
  _sp_advance (c);
}

/* The edit does not give valid settings.  */
void
sp_change_on_invalid (sp_change *c)
{
  if (c->stage == _SP_PREPARING)
    _sp_finish_change (c, SP_INVALID, 0);
}

/* Result of SP_CHANGE_WRITE_VALUE.  SP_CONFLICT means that the value is stored
   already, which is a success.  */
void
sp_change_on_written (sp_change *c, uint64_t now_us, sp_result result)
{
  if (c->stage != _SP_WRITING)
    return;
  if (result != SP_OK && result != SP_CONFLICT)
    {
      _sp_delay_retry (c, now_us);
      return;
    }
  c->written[c->index] = true;
  _sp_advance (c);
}

/* Result of SP_CHANGE_SWAP_HEAD; REVISION is the new one on SP_OK.  */
void
sp_change_on_swapped (sp_change *c, uint64_t now_us, sp_result result,
                      uint64_t revision)
{
  if (c->stage != _SP_SWAPPING)
    return;
  switch (result)
    {
    case SP_OK:
      c->next.revision = revision;
      _sp_finish_change (c, SP_ACCEPTED, c->next.version);
      return;
    case SP_CONFLICT:
      _sp_enter (c, _SP_READING);
      return;
    case SP_LOST:
      c->swap_lost = true;
      c->lost_revision = c->base_revision;
      c->lost_version = c->next.version;
      _sp_delay_retry (c, now_us);
      return;
    case SP_UNAVAILABLE:
    case SP_NOT_FOUND:
      _sp_delay_retry (c, now_us);
      return;
    }
}

/* Ends the retry delay and, after the time limit, the change.  */
void
sp_change_tick (sp_change *c, uint64_t now_us)
{
  if (c->stage == _SP_DONE)
    return;
  if (now_us >= c->deadline_us)
    {
      /* A swap in flight may still take effect.  */
      bool in_flight = c->stage == _SP_SWAPPING && !c->action_due;
      _sp_finish_change (
          c, c->swap_lost || in_flight ? SP_UNKNOWN : SP_REFUSED, 0);
    }
  else if (c->stage == _SP_WAITING && now_us >= c->retry_at_us)
    _sp_enter (c, _SP_READING);
}

/* Outcome of the change; SP_PENDING until it ends.  */
sp_outcome
sp_change_query_outcome (const sp_change *c)
{
  return c->outcome;
}

/* Version of an accepted change; 0 otherwise.  */
uint64_t
sp_change_query_version (const sp_change *c)
{
  return c->accepted_version;
}

/* Returns the head that the change ended with: after acceptance the head that
   contains it, after a conflict the head whose records show what was
   changed.  */
const sp_head *
sp_change_query_head (const sp_change *c)
{
  return &c->next;
}
