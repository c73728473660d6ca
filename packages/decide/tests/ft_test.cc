#include "ft.h"

#include <gtest/gtest.h>

namespace
{
const uint64_t Ms = 1000;

// Guards against repeating a fetch while its reply is on its way.
TEST (Ft, OneFetchIsInProgress)
{
  ft_fetch f = {};
  EXPECT_TRUE (ft_may_fetch (&f, 1));
  ft_on_sent (&f, 7, true, 1000 * Ms);
  EXPECT_FALSE (ft_may_fetch (&f, 1999 * Ms));
  EXPECT_TRUE (ft_may_fetch (&f, 2000 * Ms));
  ft_on_sent (&f, 8, true, 2000 * Ms);
  EXPECT_FALSE (ft_may_fetch (&f, 3999 * Ms));
  EXPECT_TRUE (ft_may_fetch (&f, 4000 * Ms));
  for (int i = 0; i < 9; i++)
    ft_on_sent (&f, 8, true, 4000 * Ms);
  EXPECT_TRUE (ft_may_fetch (&f, 8000 * Ms));
}

// Guards against a fetch that waits after its reply.
TEST (Ft, AnEndedFetchMayBeFollowedSoon)
{
  ft_fetch f = {};
  ft_on_sent (&f, 7, true, 1000 * Ms);
  ft_on_sent (&f, 7, true, 2000 * Ms);
  ft_on_end (&f);
  EXPECT_FALSE (ft_may_fetch (&f, 2299 * Ms));
  EXPECT_TRUE (ft_may_fetch (&f, 2300 * Ms));
  ft_on_sent (&f, 7, true, 2300 * Ms);
  EXPECT_TRUE (ft_may_fetch (&f, 3300 * Ms));
}

// Guards against waiting for the reply to a fetch that was not sent: a VM that
// started was without a configuration for 7 s because the VMs that it asked
// were not members yet.
TEST (Ft, AFetchThatWasNotSentIsRepeatedSoon)
{
  ft_fetch f = {};
  for (uint64_t now = 1000 * Ms; now < 9000 * Ms; now += 300 * Ms)
    {
      ASSERT_TRUE (ft_may_fetch (&f, now));
      ft_on_sent (&f, 7, false, now);
      ASSERT_FALSE (ft_may_fetch (&f, now + 299 * Ms));
    }
}

// Guards against a VM that never notices that it is behind, because a newer
// version is reported before the one that it lacks is overdue.
TEST (Ft, AVersionIsOverdueAlsoWhileNewerOnesAreReported)
{
  ft_lag lag = {};
  for (uint64_t ms = 1000; ms < 2500; ms += 250)
    {
      ft_update_lag (&lag, 5, 6 + ms / 250, ms * Ms);
      EXPECT_FALSE (ft_is_overdue (&lag, false, ms * Ms)) << ms;
    }
  ft_update_lag (&lag, 5, 20, 2500 * Ms);
  EXPECT_TRUE (ft_is_overdue (&lag, false, 2500 * Ms));
}

// Guards against a VM that keeps up with a series of changes and counts as
// behind all the same, and against one that gives up a reply that is arriving.
TEST (Ft, AVersionThatArrivesInTimeIsNotOverdue)
{
  ft_lag lag = {};
  for (uint64_t ms = 1000, newest = 7; ms < 20000; ms += 1000, newest++)
    {
      ft_update_lag (&lag, newest - 1, newest, ms * Ms);
      EXPECT_FALSE (ft_is_overdue (&lag, false, ms * Ms)) << ms;
    }
  ft_update_lag (&lag, 30, 31, 20000 * Ms);
  EXPECT_FALSE (ft_is_overdue (&lag, true, 22999 * Ms));
  EXPECT_TRUE (ft_is_overdue (&lag, true, 23000 * Ms));
  ft_update_lag (&lag, 31, 31, 23000 * Ms);
  EXPECT_FALSE (ft_is_overdue (&lag, false, 30000 * Ms));
}
}
