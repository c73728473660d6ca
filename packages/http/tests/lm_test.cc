// lm_test.cc -- which connections are closed at the limits of a process.
#include "lm.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace
{
struct Conn
{
  lm_conn limit = {};
  bool closed = false;

  static void
  close (void *user)
  {
    static_cast<Conn *> (user)->closed = true;
  }
};

class Pool : public testing::Test
{
protected:
  lm_pool *pool = nullptr;
  std::vector<std::unique_ptr<Conn>> conns;

  void
  make (uint32_t max_connections, size_t max_bytes)
  {
    lm_desc desc = {};
    desc.max_connections = max_connections;
    desc.max_bytes = max_bytes;
    pool = lm_make (&desc);
  }
  void
  TearDown () override
  {
    for (auto &c : conns)
      lm_remove (pool, &c->limit);
    EXPECT_EQ (lm_query (pool).connections, 0u);
    EXPECT_EQ (lm_query (pool).bytes, 0u);
    lm_destroy (pool);
  }
  Conn &
  add ()
  {
    conns.push_back (std::make_unique<Conn> ());
    lm_add (pool, &conns.back ()->limit, "test", Conn::close,
            conns.back ().get ());
    return *conns.back ();
  }
};

// Guards against a new connection that is refused while others do nothing, and
// against the end of one whose request is processed.
TEST_F (Pool, TheConnectionWithTheLeastProgressIsClosed)
{
  make (3, 0);
  Conn &busy = add (), &slow = add (), &active = add ();
  lm_set_busy (&busy.limit, true);
  lm_progress (pool, &slow.limit, 1);
  lm_progress (pool, &active.limit, LM_PROGRESS);
  Conn &fourth = add ();
  EXPECT_TRUE (slow.closed);
  EXPECT_FALSE (busy.closed || active.closed || fourth.closed);
  EXPECT_EQ (lm_query (pool).connections, 3u);
  EXPECT_EQ (lm_query (pool).closed, 1u);
}

// Guards against a client that keeps its connection by a byte now and then.
TEST_F (Pool, SingleBytesAreNoProgress)
{
  make (2, 0);
  Conn &dribbles = add (), &whole = add ();
  lm_progress (pool, &whole.limit, LM_PROGRESS);
  for (int i = 0; i < 100; i++)
    lm_progress (pool, &dribbles.limit, 1);
  add ();
  EXPECT_TRUE (dribbles.closed);
  EXPECT_FALSE (whole.closed);
}

// Guards against a limit that busy connections exceed by closing each other:
// more requests are then processed than connections are wanted.
TEST_F (Pool, BusyConnectionsAreNeverClosed)
{
  make (2, 100);
  for (int i = 0; i < 4; i++)
    {
      Conn &c = add ();
      lm_set_busy (&c.limit, true);
      EXPECT_EQ (lm_set_bytes (pool, &c.limit, 40), i < 2);
    }
  for (auto &c : conns)
    EXPECT_FALSE (c->closed);
  lm_set_busy (&conns[1]->limit, false);
  add ();
  EXPECT_TRUE (conns[1]->closed);
}

// Guards against bytes that are counted twice, or not returned at a close.
TEST_F (Pool, BytesOfAllConnectionsAreLimited)
{
  make (0, 1000);
  Conn &a = add (), &b = add (), &c = add ();
  EXPECT_TRUE (lm_set_bytes (pool, &a.limit, 400));
  EXPECT_TRUE (lm_set_bytes (pool, &b.limit, 400));
  EXPECT_TRUE (lm_set_bytes (pool, &b.limit, 300));
  EXPECT_EQ (lm_query (pool).bytes, 700u);
  EXPECT_TRUE (lm_set_bytes (pool, &c.limit, 400));
  EXPECT_TRUE (a.closed);
  EXPECT_FALSE (b.closed);
  EXPECT_EQ (lm_query (pool).bytes, 700u);
  EXPECT_FALSE (lm_set_bytes (pool, &c.limit, 2000));
  EXPECT_TRUE (b.closed);
}
} // namespace
