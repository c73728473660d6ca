#include "sb.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

const char kGood[] = R"(
vm: {name: rajkot-a-1, region: gujarat-west, data_center: rajkot-a}
listen:
  callers: 127.0.0.1:7000
  admin: 127.0.0.1:0
platform: {store: 127.0.0.1:7100, vm_list: 127.0.0.1:7101, weights: '[::1]:7102'}
log.level: debug
log: {format: json}
admin:
  tokens:
    - {token: 0123456789abcdef, scope: root}
    - {token: fedcba9876543210, scope: "team:night"}
limits: {body: 4MiB, header_timeout: 2s}
)";

std::vector<std::string>
Problems (const std::string &text)
{
  sl_report *report = sl_report_make ("vm.yaml");
  sb_config c;
  if (sb_parse (&c, { text.data (), text.size () }, report))
    sb_free (&c);
  std::vector<std::string> out;
  for (size_t i = 0; i < sl_report_count (report); i++)
    out.push_back (sl_report_text (report, i));
  sl_report_destroy (report);
  return out;
}

std::string
Replace (std::string text, const std::string &from, const std::string &to)
{
  size_t at = text.find (from);
  EXPECT_NE (at, std::string::npos) << from;
  return text.replace (at, from.size (), to);
}

}

// Guards against a valid file that is refused or assigned to the wrong fields.
TEST (Sb, ReadsEveryField)
{
  sl_report *report = sl_report_make ("vm.yaml");
  sb_config c;
  ASSERT_TRUE (sb_parse (&c, st_from_cstr (kGood), report))
      << sl_report_text (report, 0);
  EXPECT_STREQ (c.vm_name.text, "rajkot-a-1");
  EXPECT_STREQ (c.region.text, "gujarat-west");
  EXPECT_STREQ (c.data_center.text, "rajkot-a");
  EXPECT_STREQ (c.listen_callers.text, "127.0.0.1:7000");
  EXPECT_STREQ (c.listen_admin.text, "127.0.0.1:0");
  EXPECT_EQ (c.listen_peers.len, 0);
  EXPECT_STREQ (c.weights.text, "[::1]:7102");
  EXPECT_EQ (c.log_level, LG_DEBUG);
  EXPECT_TRUE (c.log_json);
  ASSERT_EQ (c.token_count, 2u);
  EXPECT_TRUE (c.tokens[0].root);
  EXPECT_STREQ (c.tokens[1].team.text, "night");
  EXPECT_EQ (c.limits.body_bytes, 4u * 1024 * 1024);
  EXPECT_EQ (c.limits.header_bytes, 16384u);
  EXPECT_EQ (c.limits.header_timeout_ms, 2000u);
  sb_free (&c);
  sl_report_destroy (report);
}

// Guards against a problem without location or suggested fix, one case per
// kind of error.
TEST (Sb, ReportsLocationAndSuggestedFix)
{
  struct
  {
    const char *from, *to, *expect;
  } cases[] = {
    { "  callers: ", "  calers: ",
      "vm.yaml:4:3: unknown key "
      "\"listen.calers\"; did you mean "
      "\"listen.callers\"?" },
    { "4MiB", "4MiX",
      "vm.yaml:13:16: limits.body: unknown unit \"MiX\"; "
      "write the number only (bytes) or one of B, KB, MB, "
      "KiB, MiB, GiB" },
    { "4MiB", "12",
      "vm.yaml:13:16: limits.body: 12 is out of range; write a "
      "value from 1024 to 268435456 bytes" },
    { "4MiB", "[1]",
      "vm.yaml:13:16: limits.body: a list where one value "
      "(integer) is expected" },
    { "4MiB", "lots", "limits.body: \"lots\" is not an integer" },
    { "json", "jsn", "did you mean \"json\"?" },
    { "127.0.0.1:7101", "localhost:7101", "write IP:PORT" },
    { "127.0.0.1:7101", "127.0.0.1:0", "write IP:PORT" },
    { "name: rajkot-a-1, ", "", "vm.yaml:2:5: \"vm.name\" is missing" },
    { "log: {format: json}", "log: {format: json}\nlog: {}",
      "vm.yaml:9:1: duplicate key \"log\", first given in line 8" },
    { "log: {format: json}", "log: {format: json, level: info}",
      "given both nested and dotted" },
    { "scope: root", "scope: rot", "vm.yaml:11:40: admin.tokens: scope" },
    { "0123456789abcdef", "short",
      "vm.yaml:11:15: admin.tokens: token must "
      "have 16 to 256 characters" },
    { "vm: {", "vm: &a {", "anchors (&) are not supported" },
    { "vm: {", "vm: *a #", "aliases (*) are not supported" },
    { "vm: {", "vm: !!map {", "tags (!) are not supported" },
    { "json}", "json", "not valid YAML" },
  };
  for (auto &c : cases)
    {
      auto problems = Problems (Replace (kGood, c.from, c.to));
      bool found = false;
      std::string all;
      for (auto &p : problems)
        {
          found = found || p.find (c.expect) != std::string::npos;
          all += p + "\n";
        }
      EXPECT_TRUE (found) << c.to << " gave\n" << all;
    }
}

// Guards against a report that ends at the first problem.
TEST (Sb, ReportsEveryProblem)
{
  auto problems = Problems ("vm: {nme: x}\nlimits: {body: 1, header: x}\n");
  // One unknown key, two bad values, seven missing keys.
  EXPECT_EQ (problems.size (), 10u);
}

// Guards against tokens that appear in problem reports.
TEST (Sb, TokenIsNotPrinted)
{
  for (auto &p : Problems (Replace (kGood, "0123456789abcdef", "secret7")))
    EXPECT_EQ (p.find ("secret7"), std::string::npos) << p;
}

// Guards against a crash or unbounded recursion on malicious files.
TEST (Sb, RefusesMaliciousFiles)
{
  EXPECT_FALSE (Problems (std::string (2 * SL_FILE_MAX_BYTES, 'a')).empty ());
  EXPECT_FALSE (Problems (std::string (5000, '[')).empty ());
  EXPECT_FALSE (Problems (std::string ("vm:\0x: 1", 8)).empty ());
  EXPECT_FALSE (Problems ("\xff\xfe").empty ());
  EXPECT_FALSE (Problems ("- a\n").empty ());
  EXPECT_FALSE (Problems ("a: 1\n---\nb: 2\n").empty ());
  EXPECT_FALSE (Problems ("? [a]\n: 1\n").empty ());
  EXPECT_FALSE (Problems ("").empty ());
}

// Guards against reading a missing file as an empty one.
TEST (Sb, MissingFileNamesPath)
{
  sb_config c;
  er_error err = {};
  EXPECT_FALSE (sb_load (&c, "/nonexistent/vm.yaml", &err));
  EXPECT_EQ (err.kind, ER_INVALID);
  EXPECT_NE (std::string (err.message)
                 .find ("/nonexistent/vm.yaml:1:1: "
                        "cannot be opened"),
             std::string::npos);
}
