/* Requests whose owner is gone.  They are never dispatched.  The engines may
   still have the stream: the answer is then read from the engine.  Reading a
   stream twice is harmless, so a wrong belief that the owner is gone breaks
   no promise.  */
#include "fe_internal.h"

#include "lg.h"

/* Makes REQ a caller of R, an id of a process that is gone, and looks for
   the stream at the engines.  FROM is the first event that is wanted.  */
void
fe_recover (fe_request *r, struct evhttp_request *req, uint32_t from)
{
  r->foreign = true;
  r->own_id = false;
  r->recover_from = from;
  r->state = FE_RESUMING;
  r->fe->open++;
  fe_count (r->fe, "dotterelbend_recoveries_total", NULL, ST_LIT (""));
  fe_attach (r, req, 0);
  fe_recover_next (r);
}

/* Asks the next engine for the stream.  R may be gone afterwards.  */
void
fe_recover_next (fe_request *r)
{
  const dr_directory *directory = r->fe->sv->directory;
  char path[RQ_ID_MAX + 48];
  while (r->candidate < dr_query_count (directory))
    {
      const dr_entry *e = dr_query_at (directory, r->candidate++);
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
      fe_call_stream (r, path);
      return;
    }
  r->engine[0] = 0;
  fe_end (r, RQ_UNKNOWN, "owner_gone",
          "the process that owned this id is gone and no engine has the "
          "stream; the request is not sent again");
}
