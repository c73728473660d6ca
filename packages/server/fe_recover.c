/* Requests whose request owner is dead.  They are never dispatched.  If an
   engine still has the stream, the response is fetched from it.  Reading a
   stream twice is harmless, so a request owner that is wrongly declared dead
   causes no second run.  */
#include "fe_internal.h"

#include "lg.h"

/* Attaches REQ to R, whose request owner is dead, and looks for the stream on
   the engines.  FROM is the first event to fetch.  */
void
fe_recover (fe_request *r, struct evhttp_request *req, uint32_t from)
{
  r->orphaned = true;
  r->caller_chose_id = false;
  r->recover_from = from;
  r->state = FE_RESUMING;
  r->fe->open++;
  fe_count (r->fe, "dotterelbend_recoveries_total", NULL, ST_LIT (""));
  fe_attach (r, req, 0);
  fe_recover_next (r);
}

/* Fetches the stream from the next engine.  R may be freed on return.  */
void
fe_recover_next (fe_request *r)
{
  const dr_directory *directory = r->fe->sv->directory;
  char path[RQ_ID_MAX + 48];
  while (r->next_recover_entry < dr_query_count (directory))
    {
      const dr_entry *e = dr_query_at (directory, r->next_recover_entry++);
      if (e->kind != DR_ENGINE
          || (r->model.len > 0
              && !st_equal (st_name_str (&e->serves),
                            st_name_str (&r->model))))
        continue;
      g_strlcpy (r->engine, e->name.text, sizeof r->engine);
      g_strlcpy (r->address, e->address.text, sizeof r->address);
      r->status = 0;
      g_snprintf (path, sizeof path, "/v1/streams/%s?from=%u", r->id,
                  r->recover_from);
      fe_fetch_stream (r, path);
      return;
    }
  r->engine[0] = 0;
  fe_end (r, RQ_UNKNOWN, "owner_gone",
          "the process that owned this id is dead and no engine has the "
          "stream; the request is not sent again");
}
