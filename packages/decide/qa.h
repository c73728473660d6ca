/* qa.h -- counts the quota use that VMs report to each other, each token once.

   Used by the gateway.

   A report holds, for each team, what its source has counted since it
   started.  These counts only grow, so a report that is late, repeated or out
   of order changes nothing, and a missing one is contained in the next.

   A VM reports what it admitted.  An aggregator reports what it has counted of
   the VMs of a group; the group is an account that several aggregators report,
   each with counts since its own start.  The counts of an aggregator are
   aligned with those of the account when it is first heard, and the largest
   aligned count is the account's.

     qa_ledger *ledger = qa_make (&(qa_desc){ 0 });
     qa_row increments[2];
     size_t count = qa_count (ledger,
                              &(qa_report){ .source = vm, .rows = rows,
                                            .count = 2 },
                              increments);
     subtract the increments from the teams' quotas
     qa_destroy (ledger);

   A source that has not reported for long is forgotten when the table is
   full; its next report counts as its first.  */
#ifndef QA_H
#define QA_H

#include "al.h"

#include <stdbool.h>
#include <stdint.h>

#define QA_SOURCES_MAX 256

typedef struct
{
  uint64_t team;
  uint64_t used; /* since the start of the source, or an increment */
} qa_row;

typedef struct
{
  uint64_t source;  /* VM that counted; not 0 */
  uint64_t group;   /* whose use it is; 0: the source's own */
  bool all_counted; /* the first report of a VM counts in full; else only what
                       follows it does */
  const qa_row *rows;
  size_t count;
} qa_report;

typedef struct
{
  uint32_t sources_max; /* 0 means QA_SOURCES_MAX */
  al_allocator allocator;
} qa_desc;

typedef struct qa_ledger qa_ledger;

#ifdef __cplusplus
extern "C"
{
#endif

  qa_ledger *qa_make (const qa_desc *desc);
  void qa_destroy (qa_ledger *ledger);
  size_t qa_count (qa_ledger *ledger, const qa_report *report,
                   qa_row *increments);

#ifdef __cplusplus
}
#endif

#endif
