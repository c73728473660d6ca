#include "qa.h"

#include <string.h>

/* Teams of a new entry; doubled when there are more.  */
#define _QA_CELLS_MIN 8

typedef struct
{
  uint64_t team;
  int64_t value;
} _qa_cell;

/* What kind of value the cells of an entry have.  */
typedef enum
{
  _QA_FREE = 0,
  _QA_VM,         /* last count of a VM */
  _QA_GROUP,      /* aligned count of a group */
  _QA_AGGREGATOR, /* aligned count less the count of an aggregator */
} _qa_kind;

typedef struct
{
  _qa_kind kind;
  uint64_t group;
  uint64_t source;
  uint64_t used_at; /* number of the last report */
  _qa_cell *cells;
  uint32_t cell_count;
  uint32_t cells_max;
} _qa_entry;

struct qa_ledger
{
  qa_desc desc;
  uint64_t report_count;
  _qa_entry *entries;
};

/* Makes a ledger without counts; NULL when out of memory.  */
qa_ledger *
qa_make (const qa_desc *desc)
{
  qa_ledger *l = al_alloc (&desc->allocator, sizeof *l);
  if (l == NULL)
    return NULL;
  l->desc = *desc;
  if (l->desc.sources_max == 0)
    l->desc.sources_max = QA_SOURCES_MAX;
  l->entries
      = al_alloc (&desc->allocator, l->desc.sources_max * sizeof *l->entries);
  if (l->entries != NULL)
    return l;
  qa_destroy (l);
  return NULL;
}

/* Releases LEDGER; it may be NULL.  */
void
qa_destroy (qa_ledger *ledger)
{
  if (ledger == NULL)
    return;
  al_allocator al = ledger->desc.allocator;
  for (uint32_t i = 0; ledger->entries != NULL && i < ledger->desc.sources_max;
       i++)
    al_free (&al, ledger->entries[i].cells);
  al_free (&al, ledger->entries);
  al_free (&al, ledger);
}

/* The entry of KIND, GROUP and SOURCE.  Where there is none, the one that was
   used least recently is replaced and FRESH is set.  */
static _qa_entry *
_qa_find_entry (qa_ledger *l, _qa_kind kind, uint64_t group, uint64_t source,
                bool *fresh)
{
  _qa_entry *oldest = &l->entries[0];
  *fresh = false;
  for (uint32_t i = 0; i < l->desc.sources_max; i++)
    {
      _qa_entry *e = &l->entries[i];
      if (e->kind == kind && e->group == group && e->source == source)
        {
          e->used_at = l->report_count;
          return e;
        }
      if (e->used_at < oldest->used_at)
        oldest = e;
    }
  *fresh = true;
  oldest->kind = kind;
  oldest->group = group;
  oldest->source = source;
  oldest->used_at = l->report_count;
  oldest->cell_count = 0;
  return oldest;
}

/* The cell of TEAM in E, at 0 when it is new, which sets FRESH; NULL when out
   of memory.  */
static _qa_cell *
_qa_find_cell (qa_ledger *l, _qa_entry *e, uint64_t team, bool *fresh)
{
  for (uint32_t i = 0; i < e->cell_count; i++)
    if (e->cells[i].team == team)
      return &e->cells[i];
  if (e->cell_count == e->cells_max)
    {
      uint32_t max = e->cells_max > 0 ? 2 * e->cells_max : _QA_CELLS_MIN;
      _qa_cell *cells = al_alloc (&l->desc.allocator, max * sizeof *cells);
      if (cells == NULL)
        return NULL;
      if (e->cell_count > 0)
        memcpy (cells, e->cells, e->cell_count * sizeof *cells);
      al_free (&l->desc.allocator, e->cells);
      e->cells = cells;
      e->cells_max = max;
    }
  *fresh = true;
  e->cells[e->cell_count] = (_qa_cell){ .team = team };
  return &e->cells[e->cell_count++];
}

/* Raises CELL to COUNT; returns by how much.  */
static uint64_t
_qa_raise (_qa_cell *cell, int64_t count)
{
  if (count <= cell->value)
    return 0;
  uint64_t increment = (uint64_t)(count - cell->value);
  cell->value = count;
  return increment;
}

static uint64_t
_qa_count_vm (qa_ledger *l, _qa_entry *vm, bool baseline, const qa_row *row)
{
  bool fresh = false;
  _qa_cell *last = _qa_find_cell (l, vm, row->team, &fresh);
  if (last == NULL)
    return 0;
  uint64_t increment = _qa_raise (last, (int64_t)row->used);
  return baseline ? 0 : increment;
}

static uint64_t
_qa_count_group (qa_ledger *l, _qa_entry *group, _qa_entry *aggregator,
                 bool baseline, const qa_row *row)
{
  bool fresh_count = false;
  bool fresh_offset = false;
  _qa_cell *count = _qa_find_cell (l, group, row->team, &fresh_count);
  _qa_cell *offset = _qa_find_cell (l, aggregator, row->team, &fresh_offset);
  if (count == NULL || offset == NULL)
    return 0;
  /* A team that no aggregator has reported yet starts at 0 for one that has
     been heard before.  */
  if (fresh_offset && (baseline || !fresh_count))
    offset->value = count->value - (int64_t)row->used;
  return _qa_raise (count, (int64_t)row->used + offset->value);
}

/* Counts REPORT.  Fills INCREMENTS, which has room for its rows, with what was
   not counted before, in the order of the rows; returns their number.  Rows
   without an increment are kept, with 0.  */
size_t
qa_count (qa_ledger *ledger, const qa_report *report, qa_row *increments)
{
  bool fresh = false;
  bool fresh_group = false;
  _qa_entry *group = NULL;
  ledger->report_count++;
  if (report->group != 0)
    group = _qa_find_entry (ledger, _QA_GROUP, report->group, 0, &fresh_group);
  _qa_entry *source
      = _qa_find_entry (ledger, group != NULL ? _QA_AGGREGATOR : _QA_VM,
                        report->group, report->source, &fresh);
  for (size_t i = 0; i < report->count; i++)
    {
      const qa_row *row = &report->rows[i];
      increments[i].team = row->team;
      increments[i].used
          = group != NULL ? _qa_count_group (ledger, group, source, fresh, row)
                          : _qa_count_vm (ledger, source,
                                          fresh && !report->all_counted, row);
    }
  return report->count;
}
