#include "lj.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

struct Verdict
{
  bool passed;
  lj_verdict v;
  std::string reasons;
};

Verdict
check (const char *report_text, const char *received_text)
{
  Verdict out = {};
  json_t *report = json_loads (report_text, 0, nullptr);
  json_t *received = json_loads (received_text, 0, nullptr);
  GString *reasons = g_string_new (nullptr);
  EXPECT_NE (report, nullptr);
  EXPECT_NE (received, nullptr);
  out.passed = lj_check (&out.v, report, &received, 1, reasons);
  out.reasons = reasons->str;
  g_string_free (reasons, TRUE);
  json_decref (report);
  json_decref (received);
  return out;
}

} // namespace

// Guards against a check that fails for a correct run.
TEST (Lj, CorrectRunPasses)
{
  Verdict r = check (R"({"requests":[
    {"id":"a","key":"","kind":"chat","outcome":"answered",
     "ids":[{"id":"x","outcome":"not_run"},{"id":"a","outcome":"answered"}]},
    {"id":"b","key":"","kind":"chat","outcome":"unknown",
     "ids":[{"id":"b","outcome":"unknown"}]},
    {"id":"","key":"k","kind":"call","outcome":"answered","ids":[]},
    {"id":"","key":"","kind":"read","outcome":"answered","ids":[]}]})",
                     R"({"streams":[{"id":"a","received":1},
    {"id":"b","received":1},{"id":"x","received":0}],
    "calls":[{"key":"k","count":1}]})");
  EXPECT_TRUE (r.passed) << r.reasons;
  EXPECT_EQ (r.v.sent, 4u);
  EXPECT_EQ (r.v.answered, 3u);
  EXPECT_EQ (r.v.unknown, 1u);
}

// Guards against a second dispatch or call that is not found.
TEST (Lj, FindsRunTwice)
{
  Verdict r = check (R"({"requests":[]})",
                     R"({"streams":[{"id":"a","received":2}],
                         "calls":[{"key":"k","count":3}]})");
  EXPECT_FALSE (r.passed);
  EXPECT_EQ (r.v.run_twice, 2u);
}

// Guards against a run with the outcome "not run" that is not found, also for
// an id of an earlier attempt.
TEST (Lj, FindsRunStatedAsNotRun)
{
  Verdict r = check (R"({"requests":[
    {"id":"a","key":"","kind":"chat","outcome":"answered",
     "ids":[{"id":"x","outcome":"not_run"},{"id":"a","outcome":"answered"}]},
    {"id":"","key":"k","kind":"call","outcome":"not_run","ids":[]}]})",
                     R"({"streams":[{"id":"a","received":1},
    {"id":"x","received":1}],"calls":[{"key":"k","count":1}]})");
  EXPECT_FALSE (r.passed);
  EXPECT_EQ (r.v.run_twice, 2u);
}

// Guards against requests without an outcome, and responses that no upstream
// sent, that are not found.
TEST (Lj, FindsLost)
{
  Verdict r = check (R"({"requests":[
    {"id":"a","key":"","kind":"chat","outcome":"lost",
     "ids":[{"id":"a","outcome":"lost"}]},
    {"id":"b","key":"","kind":"chat","outcome":"wrong",
     "ids":[{"id":"b","outcome":"wrong"}]},
    {"id":"c","key":"","kind":"chat","outcome":"answered",
     "ids":[{"id":"c","outcome":"answered"}]},
    {"id":"","key":"k","kind":"call","outcome":"error","ids":[]}]})",
                     R"({"streams":[{"id":"a","received":1},
    {"id":"b","received":1}]})");
  EXPECT_FALSE (r.passed);
  EXPECT_EQ (r.v.lost, 4u);
}
