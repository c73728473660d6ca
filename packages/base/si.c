#include "si.h"

#include <signal.h>
#include <stddef.h>

static void
_si_mask (int how)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (how, &set, NULL);
}

/* Makes SIGTERM, SIGINT and SIGHUP wait.  */
void
si_block (void)
{
  _si_mask (SIG_BLOCK);
}

/* Delivers them again, also those that have waited.  */
void
si_unblock (void)
{
  _si_mask (SIG_UNBLOCK);
}
