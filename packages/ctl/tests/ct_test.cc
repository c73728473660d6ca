#include "ct.h"

#include <cstdio>
#include <cstdlib>
#include <glib.h>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

namespace
{

// A file that is removed at the end of the test.
struct File
{
  std::string path;
  explicit File (const std::string &text)
  {
    char name[] = "/tmp/ct_test_XXXXXX";
    int fd = mkstemp (name);
    EXPECT_EQ (write (fd, text.data (), text.size ()), (ssize_t)text.size ());
    close (fd);
    path = name;
  }
  ~File () { unlink (path.c_str ()); }
};

std::string
Validate (const std::string &text, ct_exit expect)
{
  File f (text);
  char *out = nullptr;
  size_t size = 0;
  FILE *stream = open_memstream (&out, &size);
  EXPECT_EQ (ct_validate (f.path.c_str (), stream), expect);
  fclose (stream);
  std::string s (out, size);
  free (out);
  size_t at = s.find (f.path);
  return at == 0 ? s.substr (f.path.size ()) : s;
}

}

// Guards against a file that is validated as the wrong kind, and against
// problems without a location.
TEST (Ct, ValidatesBothKindsOfFile)
{
  EXPECT_EQ (Validate ("deadline_ms: 5s\n", CT_OK), ": valid settings\n");
  EXPECT_EQ (Validate ("deadlin_ms: 5s\n", CT_REFUSED),
             ":1:1: unknown key \"deadlin_ms\"; did you mean "
             "\"deadline_ms\"?\n");
  EXPECT_NE (Validate ("vm: {name: a}\n", CT_REFUSED).find ("vm.region"),
             std::string::npos);
  EXPECT_EQ (Validate ("vm: {name: a, region: r, data_center: d}\n"
                       "listen: {callers: 127.0.0.1:1}\n"
                       "platform: {store: 127.0.0.1:2, vm_list: 127.0.0.1:2, "
                       "weights: 127.0.0.1:2}\n",
                       CT_OK),
             ": valid VM configuration\n");
}

// Guards against a change that the server refuses because it touches too many
// subtrees, and against edits outside the path.
TEST (Ct, SplitsLargeChanges)
{
  sx_tree *empty = sx_make_empty ();
  std::string yaml = "team:\n";
  for (int i = 0; i < 20; i++)
    yaml += "  t" + std::to_string (i)
            + ": {share.weight: 2, deadline_ms: 1}\n";
  File f (yaml);
  sx_tree *tree = ct_load (f.path.c_str (), stderr);
  ASSERT_NE (tree, nullptr);
  json_t *edits = ct_edits (empty, tree, "");
  EXPECT_EQ (json_array_size (edits), 40u);
  GPtrArray *changes = ct_split_edits (edits);
  ASSERT_EQ (changes->len, 3u);
  size_t total = 0;
  for (guint i = 0; i < changes->len; i++)
    {
      json_t *change = (json_t *)changes->pdata[i];
      EXPECT_LE (json_array_size (change), 16u);
      total += json_array_size (change);
      EXPECT_EQ (json_object_get (json_array_get (change, 0), "before"),
                 nullptr);
    }
  EXPECT_EQ (total, 40u);
  g_ptr_array_unref (changes);
  json_decref (edits);
  edits = ct_edits (empty, tree, "team/t1");
  EXPECT_EQ (json_array_size (edits), 2u);
  json_decref (edits);
  sx_unref (tree);
  sx_unref (empty);
}

// Guards against a token from a source other than the file or the
// environment.
TEST (Ct, ReadsToken)
{
  er_error err = {};
  unsetenv ("DOTTERELBEND_TOKEN");
  EXPECT_EQ (ct_read_token (nullptr, &err), nullptr);
  EXPECT_NE (std::string (err.message).find ("--token-file"),
             std::string::npos);
  File f ("abc\n");
  char *token = ct_read_token (f.path.c_str (), &err);
  EXPECT_STREQ (token, "abc");
  g_free (token);
  File empty ("\n");
  EXPECT_EQ (ct_read_token (empty.path.c_str (), &err), nullptr);
  EXPECT_EQ (ct_read_token ("/nonexistent/token", &err), nullptr);
}

// Guards against reporting a change without a response as refused or
// accepted.
TEST (Ct, ChangeWithoutResponseIsUnknown)
{
  ct_client client = { "127.0.0.1:1", "token", nullptr, 2 };
  ct_response response;
  er_error err = {};
  EXPECT_FALSE (
      ct_call (&client, "GET", "/admin/members", nullptr, &response, &err));
  EXPECT_EQ (err.kind, ER_UNAVAILABLE);
  json_t *body = json_object ();
  EXPECT_FALSE (
      ct_call (&client, "POST", "/admin/changes", body, &response, &err));
  EXPECT_EQ (err.kind, ER_TIMEOUT);
  json_decref (body);
  client.address = "localhost:1";
  EXPECT_FALSE (ct_call (&client, "GET", "/", nullptr, &response, &err));
  EXPECT_EQ (err.kind, ER_INVALID);
}

TEST (Ct, ExitCodesFollowStatus)
{
  struct
  {
    int status;
    ct_exit code;
  } cases[] = { { 200, CT_OK },          { 202, CT_OK },
                { 400, CT_REFUSED },     { 401, CT_REFUSED },
                { 404, CT_REFUSED },     { 409, CT_CONFLICT },
                { 429, CT_UNAVAILABLE }, { 503, CT_UNAVAILABLE },
                { 504, CT_UNKNOWN },     { 500, CT_REFUSED } };
  for (auto &c : cases)
    {
      er_error err = {};
      ct_response a = { c.status, json_object () };
      EXPECT_EQ (ct_response_exit (&a, &err), c.code) << c.status;
      ct_response_free (&a);
    }
}
