#include "ft.h"

/* Shortest interval between two fetches.  */
#define _FT_INTERVAL_US 300000
/* Time after which a reply counts as lost, at first and at most.  A large
   document takes a second on the slowest links.  */
#define _FT_TIMEOUT_US 1000000
#define _FT_TIMEOUT_MAX_US 4000000

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
