#include "ft.h"

/* Shortest interval between two fetches.  */
#define _FT_INTERVAL_US 300000
/* Time after which a reply counts as lost, at first and at most.  A large
   document takes a second on the slowest links.  */
#define _FT_TIMEOUT_US 1000000
#define _FT_TIMEOUT_MAX_US 4000000
/* Time after which a version is overdue: a change has to be in force within
   2.5 to 4 s, of which reading it from the store takes 0.5 s.  While a large
   message is being received it is likely to be the reply.  */
#define _FT_OVERDUE_US 1500000
#define _FT_OVERDUE_RECEIVING_US 3000000

/* True when a fetch may be sent at NOW_US.  */
bool
ft_may_fetch (const ft_fetch *f, uint64_t now_us)
{
  uint64_t wait_us = f->peer != 0 ? f->timeout_us : _FT_INTERVAL_US;
  return f->sent_us == 0 || now_us - f->sent_us >= wait_us;
}

/* Records a fetch from PEER; SENT is false when it could not be sent.  A fetch
   that was in progress counts as lost.  */
void
ft_on_sent (ft_fetch *f, uint64_t peer, bool sent, uint64_t now_us)
{
  if (f->peer == 0)
    f->timeout_us = _FT_TIMEOUT_US;
  else if (f->timeout_us < _FT_TIMEOUT_MAX_US)
    f->timeout_us *= 2;
  f->peer = sent ? peer : 0;
  f->sent_us = now_us;
}

/* Records that no reply is awaited any more.  */
void
ft_on_end (ft_fetch *f)
{
  f->peer = 0;
}

/* Records that this VM has the version OWN, and others NEWEST.  */
void
ft_update_lag (ft_lag *lag, uint64_t own, uint64_t newest, uint64_t now_us)
{
  if (own >= lag->version)
    lag->since_us = 0;
  if (lag->since_us != 0 || newest <= own)
    return;
  lag->version = newest;
  lag->since_us = now_us;
}

/* True when the version that LAG waits for should have arrived by now.
   RECEIVING states that a message is arriving in parts.  */
bool
ft_is_overdue (const ft_lag *lag, bool receiving, uint64_t now_us)
{
  return lag->since_us != 0
         && now_us - lag->since_us
                >= (receiving ? _FT_OVERDUE_RECEIVING_US : _FT_OVERDUE_US);
}
