#include "sx.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

namespace
{

struct Edit
{
  std::string path, key, value;
};

sx_tree *
Apply (const sx_tree *tree, const std::vector<Edit> &edits, er_error *err)
{
  std::vector<sx_edit> raw;
  for (auto &e : edits)
    raw.push_back ({ e.path.c_str (), e.key.c_str (),
                     e.value == "-" ? nullptr : e.value.c_str () });
  return sx_apply (tree, raw.data (), raw.size (), err);
}

sx_tree *
Make (const std::vector<Edit> &edits)
{
  sx_tree *empty = sx_make_empty ();
  er_error err = {};
  sx_tree *tree = Apply (empty, edits, &err);
  EXPECT_NE (tree, nullptr) << err.message;
  sx_unref (empty);
  return tree;
}

std::string
Refusal (const std::vector<Edit> &edits)
{
  sx_tree *empty = sx_make_empty ();
  er_error err = {};
  sx_tree *tree = Apply (empty, edits, &err);
  EXPECT_EQ (tree, nullptr);
  sx_unref (tree);
  sx_unref (empty);
  return err.message;
}

std::string
Explain (const sx_tree *tree, const char *path, const char *key)
{
  char value[SK_TEXT_MAX];
  char level[SX_PATH_MAX];
  er_error err = {};
  if (!sx_explain (tree, st_from_cstr (path), st_from_cstr (key), value, level,
                   &err))
    return err.message;
  return std::string (value) + " from " + level;
}

sx_tree *
FromYaml (const std::string &text, std::string *problems)
{
  sl_report *report = sl_report_make ("s.yaml");
  sl_doc *doc = sl_parse ({ text.data (), text.size () }, report);
  sx_tree *tree = doc != nullptr ? sx_load_yaml (doc, report) : nullptr;
  for (size_t i = 0; i < sl_report_count (report); i++)
    *problems += std::string (sl_report_text (report, i)) + "\n";
  sl_destroy (doc);
  sl_report_destroy (report);
  return tree;
}

}

// Guards against an override that has no effect, or that affects other
// paths.
TEST (Sx, MostSpecificLevelWins)
{
  sx_tree *t = Make ({ { "root", "deadline_ms", "1s" },
                       { "team/night", "deadline_ms", "2s" },
                       { "service/draft", "deadline_ms", "3s" },
                       { "team/night/service/draft", "deadline_ms", "4s" },
                       { "tier/1", "deadline_ms", "5s" },
                       { "team/night/tier/1", "deadline_ms", "6s" } });
  const char *k = "deadline_ms";
  EXPECT_EQ (Explain (t, "root", k), "1000 from root");
  EXPECT_EQ (Explain (t, "team/day", k), "1000 from root");
  EXPECT_EQ (Explain (t, "team/night", k), "2000 from team/night");
  EXPECT_EQ (Explain (t, "team/day/service/draft", k),
             "3000 from service/draft");
  EXPECT_EQ (Explain (t, "team/night/service/draft", k),
             "4000 from team/night/service/draft");
  EXPECT_EQ (Explain (t, "team/day/service/draft/tier/1", k),
             "5000 from tier/1");
  EXPECT_EQ (Explain (t, "team/night/service/draft/tier/1/version/v2", k),
             "6000 from team/night/tier/1");
  EXPECT_EQ (Explain (t, "root", "share.weight"), "1 from default");
  sx_where w = { ST_LIT ("night"), {}, SX_NO_TIER, {} };
  EXPECT_EQ (sx_query_int (t, &w, SX_DEADLINE_MS), 2000);
  sx_unref (t);
}

// Guards against values at levels that do not allow them, and against values
// that contradict each other.
TEST (Sx, RefusesInvalidEdits)
{
  struct
  {
    std::vector<Edit> edits;
    const char *expect;
  } cases[] = {
    { { { "team/night", "unknown_teams", "refuse" } },
      "unknown_teams cannot be set at a team; set it at the root" },
    { { { "team/n/service/s", "rollout.to", "v2" } },
      "rollout.to holds for all teams; set it at a path without a team" },
    { { { "root", "deadlin_ms", "1" } }, "did you mean \"deadline_ms\"?" },
    { { { "root", "deadline_ms", "2h" } }, "deadline_max_ms" },
    { { { "service/s", "rollout.to", "v2" } }, "needs current_version" },
    { { { "service/s", "rollout.to", "v2" },
        { "service/s", "current_version", "v1" } },
      "needs rollout.deadline" },
    { { { "service/s", "rollout.to", "v2" },
        { "service/s", "current_version", "v1" },
        { "service/s", "rollout.start", "2026-03-02T00:00:00Z" },
        { "service/s", "rollout.deadline", "2026-03-01T00:00:00Z" } },
      "not after rollout.start" },
    { { { "service/s/team/t", "deadline_ms", "1" } }, "out of order" },
    { { { "tier/7", "deadline_ms", "1" } }, "from 0 to 4" },
    { { { "teem/x", "deadline_ms", "1" } }, "did you mean \"team\"?" },
    { { { "team/", "deadline_ms", "1" } }, "not a team name" },
    { { { "team/a b", "deadline_ms", "1" } }, "not a team name" },
    { { { "team/" + std::string (49, 'x'), "deadline_ms", "1" } },
      "use 1 to 48" },
    { { { "root", "tiers.most_urgent", "3" } }, "tiers.default 2" },
  };
  for (auto &c : cases)
    {
      std::string message = Refusal (c.edits);
      EXPECT_NE (message.find (c.expect), std::string::npos) << message;
    }
}

// Guards against an edit that modifies its source tree, and against an unset
// that does not remove the value.
TEST (Sx, TreesAreImmutable)
{
  sx_tree *a = Make ({ { "team/night", "share.weight", "5" } });
  er_error err = {};
  sx_tree *b = Apply (a,
                      { { "team/night", "share.weight", "-" },
                        { "team/day", "share.weight", "7" } },
                      &err);
  ASSERT_NE (b, nullptr) << err.message;
  EXPECT_EQ (Explain (a, "team/night", "share.weight"), "5 from team/night");
  EXPECT_EQ (Explain (b, "team/night", "share.weight"), "1 from default");
  EXPECT_TRUE (sx_query_team_known (a, ST_LIT ("night")));
  EXPECT_FALSE (sx_query_team_known (b, ST_LIT ("night")));
  sx_changes d = sx_diff (a, b);
  ASSERT_EQ (d.count, 2u);
  EXPECT_STREQ (d.items[0].path, "team/day");
  EXPECT_EQ (d.items[0].before, nullptr);
  EXPECT_STREQ (d.items[0].after, "7");
  EXPECT_STREQ (d.items[1].path, "team/night");
  EXPECT_EQ (d.items[1].after, nullptr);
  sx_changes_free (&d);
  sx_unref (a);
  sx_unref (b);
}

TEST (Sx, UnknownTeamsAreRefusedOnlyWhenSet)
{
  sx_tree *a = Make ({ { "team/night", "share.weight", "5" } });
  EXPECT_TRUE (sx_query_team_admitted (a, ST_LIT ("other")));
  sx_tree *b = Make ({ { "team/night", "share.weight", "5" },
                       { "root", "unknown_teams", "refuse" } });
  EXPECT_FALSE (sx_query_team_admitted (b, ST_LIT ("other")));
  EXPECT_TRUE (sx_query_team_admitted (b, ST_LIT ("night")));
  sx_unref (a);
  sx_unref (b);
}

// Guards against a value that is lost or altered when it is written to the
// store or a file and read back.
TEST (Sx, StoreAndYamlRoundTrip)
{
  sx_tree *t = Make (
      { { "root", "region.price_per_gb", "0.045" },
        { "root", "log.level", "warning" },
        { "team/night", "limit.requests_per_s", "12.5" },
        { "team/night/service/draft/tier/1", "deadline_ms", "4s" },
        { "service/draft", "current_version", "v1" },
        { "service/draft", "rollout.to", "v2" },
        { "service/draft", "rollout.deadline", "2026-03-01T18:00:00+01:00" },
        { "service/draft/version/v0", "withdrawn", "true" },
        { "tier/4", "ageing.after_ms", "1min" } });
  char *yaml = sx_print_yaml (t, nullptr);
  std::string problems;
  sx_tree *parsed = FromYaml (yaml, &problems);
  ASSERT_NE (parsed, nullptr) << problems << yaml;
  sx_changes d = sx_diff (t, parsed);
  EXPECT_EQ (d.count, 0u) << yaml;
  sx_changes_free (&d);
  sx_unref (parsed);
  g_free (yaml);

  sx_tree *rebuilt = sx_make_empty ();
  char **subtrees = sx_list_subtrees (t);
  EXPECT_EQ (g_strv_length (subtrees), 3u);
  for (char **s = subtrees; *s != nullptr; s++)
    {
      size_t len;
      er_error err = {};
      char *bytes = sx_print_subtree (t, *s, &len);
      sx_tree *next = sx_with_subtree (rebuilt, *s, { bytes, len }, &err);
      ASSERT_NE (next, nullptr) << err.message;
      sx_unref (rebuilt);
      rebuilt = next;
      g_free (bytes);
    }
  g_strfreev (subtrees);
  d = sx_diff (t, rebuilt);
  EXPECT_EQ (d.count, 0u);
  sx_changes_free (&d);
  sx_unref (rebuilt);
  sx_unref (t);
}

// Guards against an older VM that removes a newer VM's settings when it edits
// another key in the same subtree.
TEST (Sx, RetainsUnknownKeysAndValues)
{
  sx_tree *empty = sx_make_empty ();
  er_error err = {};
  const char *in = "{\"team/night\":{\"future.key\":\"9\",\"share.weight\":"
                   "\"2\",\"deadline_ms\":\"1 fortnight\"}}";
  sx_tree *t = sx_with_subtree (empty, "team/night", st_from_cstr (in), &err);
  ASSERT_NE (t, nullptr) << err.message;
  EXPECT_EQ (Explain (t, "team/night", "deadline_ms"), "30000 from default");
  sx_tree *u = Apply (t, { { "team/night", "share.weight", "3" } }, &err);
  ASSERT_NE (u, nullptr) << err.message;
  size_t len;
  char *bytes = sx_print_subtree (u, "team/night", &len);
  EXPECT_STREQ (bytes, "{\"team/night\":{\"deadline_ms\":\"1 fortnight\","
                       "\"future.key\":\"9\",\"share.weight\":\"3\"}}");
  g_free (bytes);
  sx_unref (u);
  sx_unref (t);
  sx_unref (empty);
}

// Guards against a store value with paths of another subtree.
TEST (Sx, SubtreeCannotContainPathsOfAnother)
{
  sx_tree *empty = sx_make_empty ();
  for (const char *in : { "{\"root\":{\"share.weight\":\"2\"}}",
                          "{\"team/nigh\":{\"share."
                          "weight\":\"2\"}}",
                          "{\"team/night\":{\"share.weight\":2}}", "[]",
                          "{\"team/night\":1}", "{" })
    {
      er_error err = {};
      EXPECT_EQ (
          sx_with_subtree (empty, "team/night", st_from_cstr (in), &err),
          nullptr)
          << in;
      EXPECT_EQ (err.kind, ER_INVALID) << in;
    }
  sx_unref (empty);
}

// Guards against problems in a settings file without a location.
TEST (Sx, YamlProblemsHaveLocations)
{
  std::string problems;
  sx_tree *t = FromYaml ("deadline_ms: 5s\n"
                         "team:\n"
                         "  night:\n"
                         "    share: {wieght: 3}\n"
                         "    unknown_teams: refuse\n"
                         "    team: {x: {}}\n"
                         "  day:\n"
                         "    deadline_ms: 1h\n"
                         "  'a b': {}\n"
                         "tier:\n"
                         "  9: {}\n"
                         "service: 7\n",
                         &problems);
  EXPECT_EQ (t, nullptr);
  for (const char *expect :
       { "s.yaml:4:13: unknown key \"share.wieght\"; did you mean "
         "\"share.weight\"?",
         "s.yaml:5:20: unknown_teams cannot be set at a team",
         "s.yaml:6:5: unknown key \"team\"",
         "s.yaml:8:5: team/day: deadline_ms 3600000 exceeds",
         "s.yaml:9:3: \"a b\" is not a team name",
         "s.yaml:11:3: \"9\" is not a tier",
         "s.yaml:12:10: \"service\" groups levels" })
    EXPECT_NE (problems.find (expect), std::string::npos)
        << expect << "\nnot in\n"
        << problems;
}

// Guards against a reader that sees a tree change while it reads.
TEST (Sx, ReadersNeedNoLocks)
{
  sx_tree *t = Make ({ { "team/night", "share.weight", "1" } });
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; i++)
    readers.emplace_back ([ref = sx_ref (t)] {
      sx_where w = { ST_LIT ("night"), {}, SX_NO_TIER, {} };
      for (int j = 0; j < 20000; j++)
        ASSERT_EQ (sx_query_int (ref, &w, SX_SHARE_WEIGHT), 1);
      sx_unref (ref);
    });
  for (int i = 2; i < 500; i++)
    {
      er_error err = {};
      sx_tree *next = Apply (
          t, { { "team/night", "share.weight", std::to_string (i) } }, &err);
      sx_unref (t);
      t = next;
    }
  for (auto &r : readers)
    r.join ();
  sx_unref (t);
}

// Guards against a reference page that differs from the key table.
TEST (Sx, ReferencePageIsCurrent)
{
  char *page = nullptr;
  ASSERT_TRUE (g_file_get_contents (DB_SOURCE_DIR "/docs/SETTINGS.md", &page,
                                    nullptr, nullptr));
  char *expect = sx_print_reference ();
  EXPECT_STREQ (page, expect)
      << "run dotterelbendctl settings-reference > docs/SETTINGS.md";
  g_free (expect);
  g_free (page);
}
