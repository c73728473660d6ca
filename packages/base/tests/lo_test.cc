#include "lo.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

namespace
{
struct Pipe
{
  int fds[2] = { -1, -1 };
  explicit Pipe (uint32_t lines_per_s)
  {
    EXPECT_EQ (pipe2 (fds, O_NONBLOCK), 0);
    lo_desc desc = {};
    desc.vm = "a-1";
    desc.fd = fds[1];
    desc.lines_per_s = lines_per_s;
    lo_setup (&desc);
  }
  ~Pipe ()
  {
    lo_shutdown ();
    close (fds[0]);
    close (fds[1]);
  }
  std::string
  take () const
  {
    std::string all;
    char bytes[65536];
    ssize_t n;
    while ((n = read (fds[0], bytes, sizeof bytes)) > 0)
      all.append (bytes, (size_t)n);
    return all;
  }
};

void
event (const char *id, st_str text)
{
  lo_field fields[] = { { "text", LO_KIND_STR, text, 0 },
                        { "count", LO_KIND_INT, { "", 0 }, -7 },
                        { "flag", LO_KIND_BOOL, { "", 0 }, 1 } };
  lo_event ("test", st_from_cstr (id), fields, 3);
}

TEST (Lo, WritesOneJsonLine)
{
  Pipe p (100);
  event ("r1", ST_LIT ("a \"b\" \\ \n\x01 \xff"));
  std::string line = p.take ();
  EXPECT_NE (line.find ("\"vm\":\"a-1\",\"event\":\"test\",\"id\":\"r1\""),
             std::string::npos);
  EXPECT_NE (line.find ("a \\\"b\\\" \\\\ \\u000a\\u0001 \\u00ff"),
             std::string::npos);
  EXPECT_NE (line.find ("\"count\":-7,\"flag\":true}\n"), std::string::npos);
}

// Guards against logs that grow with the load, and against drops that the log
// does not report.
TEST (Lo, DropsAndCountsLinesOverTheRateLimit)
{
  Pipe p (10);
  for (int i = 0; i < 200; i++)
    event ("", ST_LIT ("x"));
  EXPECT_GE (lo_query_dropped (), 150u);
  p.take ();
  usleep (150000);
  event ("", ST_LIT ("x"));
  EXPECT_NE (p.take ().find ("\"lines_dropped\":1"), std::string::npos);
}

// Guards against blocking requests when the log's reader stops reading.
TEST (Lo, NeverBlocksOnAFullPipe)
{
  Pipe p (1000000);
  for (int i = 0; i < 5000; i++)
    event ("", ST_LIT ("0123456789012345678901234567890123456789"));
  EXPECT_GT (lo_query_dropped (), 0u);
  std::string all = p.take ();
  EXPECT_EQ (all.back (), '\n');
}

// Guards against malformed JSON in a line with a long value.
TEST (Lo, OverlongLineOmitsItsLastFieldsOnly)
{
  Pipe p (100);
  std::string large (2000, 'y');
  event ("r1", { large.data (), large.size () });
  std::string line = p.take ();
  EXPECT_EQ (line.substr (line.size () - 2), "}\n");
  EXPECT_EQ (line.find ("yyy"), std::string::npos);
}
} // namespace
