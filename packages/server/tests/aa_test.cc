#include "aa.h"

#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <event2/event.h>
#include <event2/thread.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sodium.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

const char kRoot[] = "0123456789abcdef-root";
const char kNight[] = "0123456789abcdef-night";

// The API over a fake server core.  Calls are made with blocking sockets
// while a second thread runs the event loop.
class Api : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    ASSERT_GE (sodium_init (), 0);
    base = event_base_new ();
    tree = sx_make_empty ();
    Edit ("team/night", "share.weight", "5");
    Edit ("team/day", "share.weight", "7");
    Edit ("service/draft", "current_version", "v1");
    version = 3;
    sb_token tokens[2] = {};
    tokens[0].token = const_cast<char *> (kRoot);
    tokens[0].token_len = strlen (kRoot);
    tokens[0].root = true;
    tokens[1].token = const_cast<char *> (kNight);
    tokens[1].token_len = strlen (kNight);
    st_name_set (&tokens[1].team, ST_LIT ("night"));
    aa_desc desc = {};
    desc.base = base;
    desc.listen = "127.0.0.1:0";
    desc.tokens = tokens;
    desc.token_count = 2;
    desc.max_body_bytes = 4096;
    desc.max_waiting = 2;
    desc.watch_ms = 1500;
    desc.core = { this,       QuerySettings, Submit,    History,
                  Operations, Members,       BeginDrain };
    er_error err = {};
    aa = aa_make (&desc, &err);
    ASSERT_NE (aa, nullptr) << err.message;
    struct timeval tick = { 0, 5000 };
    timer = event_new (base, -1, EV_PERSIST, Tick, this);
    event_add (timer, &tick);
    loop = std::thread ([this] { event_base_dispatch (base); });
  }

  void
  TearDown () override
  {
    stop = true;
    loop.join ();
    aa_destroy (aa);
    event_free (timer);
    event_base_free (base);
    sx_unref (tree);
  }

  struct Response
  {
    int status = 0;
    std::string text;
    json_t *json = nullptr;
    std::string
    Kind () const
    {
      const char *s = json_string_value (
          json_object_get (json_object_get (json, "error"), "kind"));
      return s != nullptr ? s : "";
    }
    ~Response () { json_decref (json); }
  };

  Response
  Raw (const std::string &request)
  {
    Response a;
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    struct timeval limit = { 10, 0 };
    setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    struct sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons (aa_query_port (aa));
    inet_pton (AF_INET, "127.0.0.1", &to.sin_addr);
    EXPECT_EQ (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
    size_t sent = 0;
    while (sent < request.size ())
      {
        ssize_t n = send (fd, request.data () + sent, request.size () - sent,
                          MSG_NOSIGNAL);
        if (n <= 0)
          break;
        sent += (size_t)n;
      }
    char buffer[4096];
    ssize_t n;
    while ((n = recv (fd, buffer, sizeof buffer, 0)) > 0)
      a.text.append (buffer, (size_t)n);
    close (fd);
    if (a.text.size () > 12)
      a.status = atoi (a.text.c_str () + 9);
    size_t body = a.text.find ("\r\n\r\n");
    if (body != std::string::npos)
      a.json = json_loads (a.text.c_str () + body + 4, 0, nullptr);
    return a;
  }

  Response
  Call (const char *method, const std::string &path, const std::string &body,
        const char *token = kRoot)
  {
    std::string r = std::string (method) + " " + path
                    + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n";
    if (token != nullptr)
      r += std::string ("Authorization: Bearer ") + token + "\r\n";
    r += "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
    return Raw (r);
  }

  void
  Edit (const char *path, const char *key, const char *value)
  {
    sx_edit e = { path, key, value };
    er_error err = {};
    sx_tree *next = sx_apply (tree, &e, 1, &err);
    ASSERT_NE (next, nullptr) << err.message;
    sx_unref (tree);
    tree = next;
  }

  static void
  Tick (evutil_socket_t, short, void *arg)
  {
    Api *t = (Api *)arg;
    if (t->stop)
      event_base_loopbreak (t->base);
    if (t->announce != 0)
      {
        t->version = t->announce;
        t->announce = 0;
        aa_on_version (t->aa, t->version);
      }
    for (uint64_t ticket : t->tickets)
      {
        aa_result result = {};
        result.err.kind = t->result_kind;
        result.version = 9;
        result.id = "c1";
        if (t->result_kind == ER_CONFLICT)
          result.changed
              = json_pack ("[{s:s,s:s}]", "subtree", "root", "who", "other");
        aa_finish_change (t->aa, ticket, &result);
        // A second result for the same ticket has no effect.
        aa_finish_change (t->aa, ticket, &result);
        json_decref (result.changed);
      }
    t->tickets.clear ();
    for (uint64_t ticket : t->histories)
      {
        json_t *list
            = json_pack ("[{s:s},{s:s},{s:s}]", "subtree", "root", "subtree",
                         "team/day", "subtree", "team/night");
        er_error err = {};
        er_set (&err, t->result_kind, "the store is down");
        aa_finish_history (t->aa, ticket,
                           t->result_kind == ER_OK ? list : nullptr, &err);
        json_decref (list);
      }
    t->histories.clear ();
  }

  static const sx_tree *
  QuerySettings (void *user, uint64_t *v)
  {
    *v = ((Api *)user)->version;
    return ((Api *)user)->tree;
  }

  static void
  Submit (void *user, uint64_t ticket, const aa_change *change)
  {
    Api *t = (Api *)user;
    t->submitted++;
    t->who = change->who;
    t->base_version = change->base_version;
    if (!t->hold)
      t->tickets.push_back (ticket);
  }

  static void
  History (void *user, uint64_t ticket)
  {
    ((Api *)user)->histories.push_back (ticket);
  }

  static json_t *
  Operations (void *)
  {
    return json_array ();
  }

  static json_t *
  Members (void *)
  {
    return json_array ();
  }

  static bool
  BeginDrain (void *user, er_error *)
  {
    ((Api *)user)->drains++;
    return true;
  }

  struct event_base *base = nullptr;
  struct event *timer = nullptr;
  aa_api *aa = nullptr;
  sx_tree *tree = nullptr;
  std::thread loop;
  std::atomic<bool> stop{ false };
  std::atomic<uint64_t> announce{ 0 };
  std::atomic<bool> hold{ false };
  uint64_t version = 0;
  std::vector<uint64_t> tickets;
  std::vector<uint64_t> histories;
  std::atomic<int> submitted{ 0 };
  std::atomic<int> drains{ 0 };
  std::atomic<er_kind> result_kind{ ER_OK };
  std::string who;
  uint64_t base_version = 0;
};

std::string
Change (const char *path, const char *key, const char *value,
        const char *more = "")
{
  return std::string ("{\"base_version\":3,\"edits\":[{\"path\":\"") + path
         + "\",\"key\":\"" + key + "\",\"value\":\"" + value + "\"}]" + more
         + "}";
}

}

// Guards against a call that is served without a valid token.
TEST_F (Api, NeedsAToken)
{
  for (const char *path : { "/admin/settings", "/admin/members", "/nonsense" })
    {
      EXPECT_EQ (Call ("GET", path, "", nullptr).status, 401);
      EXPECT_EQ (Call ("GET", path, "", "").status, 401);
      EXPECT_EQ (Call ("GET", path, "", "wrong").status, 401);
      EXPECT_EQ (Call ("GET", path, "", "0123456789abcdef-roo").status, 401);
      EXPECT_EQ (Call ("GET", path, "", "0123456789abcdef-roott").status, 401);
    }
  Response a = Call ("POST", "/admin/drain", "{}", nullptr);
  EXPECT_EQ (a.status, 401);
  EXPECT_EQ (a.Kind (), "denied");
  EXPECT_EQ (drains, 0);
}

// Guards against a team's operator who reads or changes the settings of
// another team, or acts on the VM.
TEST_F (Api, TeamScopeIsLimited)
{
  EXPECT_EQ (Call ("POST", "/admin/changes",
                   Change ("team/night", "share.weight", "2"), kNight)
                 .status,
             200);
  EXPECT_EQ (who, "team:night");
  EXPECT_EQ (submitted, 1);
  for (const char *path : { "team/day", "root", "service/draft", "tier/1",
                            "team/nigh", "team/nightx" })
    {
      Response a = Call ("POST", "/admin/changes",
                         Change (path, "deadline_ms", "2"), kNight);
      EXPECT_EQ (a.status, 403) << path;
      EXPECT_EQ (a.Kind (), "denied");
    }
  EXPECT_EQ (submitted, 1);
  EXPECT_EQ (Call ("POST", "/admin/drain", "{}", kNight).status, 403);
  EXPECT_EQ (Call ("POST", "/admin/log-level", "{\"level\":\"debug\"}", kNight)
                 .status,
             403);
  EXPECT_EQ (drains, 0);
  Response all = Call ("GET", "/admin/settings", "", kNight);
  EXPECT_EQ (all.status, 200);
  EXPECT_EQ (all.text.find ("team/day"), std::string::npos);
  EXPECT_NE (all.text.find ("team/night"), std::string::npos);
  EXPECT_EQ (Call ("GET", "/admin/settings/team/day", "", kNight).status, 403);
  EXPECT_EQ (
      Call ("GET", "/admin/settings/team/day/share.weight", "", kNight).status,
      403);
  EXPECT_EQ (Call ("GET", "/admin/explain?path=team/day", "", kNight).status,
             403);
  Response history = Call ("GET", "/admin/history", "", kNight);
  EXPECT_EQ (history.text.find ("team/day"), std::string::npos);
  EXPECT_NE (history.text.find ("team/night"), std::string::npos);
}

// Guards against invalid input that is accepted, or refused without a reason.
TEST_F (Api, RefusesBadInput)
{
  struct
  {
    const char *method, *path;
    std::string body;
    int status;
    const char *kind;
  } cases[] = {
    { "GET", "/admin/nonsense", "", 404, "not_found" },
    { "GET", "/other", "", 404, "not_found" },
    { "POST", "/admin/settings", "{}", 405, "unsupported" },
    { "GET", "/admin/drain", "", 405, "unsupported" },
    { "GET", "/admin/settings/teem/x", "", 400, "invalid" },
    { "GET", "/admin/explain?path=root&key=deadlin_ms", "", 404, "not_found" },
    { "GET", "/admin/watch?after=x", "", 400, "invalid" },
    { "POST", "/admin/changes", "", 400, "invalid" },
    { "POST", "/admin/changes", "[]", 400, "invalid" },
    { "POST", "/admin/changes", "{\"a\":1", 400, "invalid" },
    { "POST", "/admin/changes", "{\"edits\":[]}", 400, "invalid" },
    { "POST", "/admin/changes", "{\"base_version\":3,\"edits\":[]}", 400,
      "invalid" },
    { "POST", "/admin/changes", "{\"base_version\":-1,\"edits\":[1]}", 400,
      "invalid" },
    { "POST", "/admin/changes", "{\"base_version\":3,\"edits\":[1]}", 400,
      "invalid" },
    { "POST", "/admin/changes",
      "{\"base_version\":3,\"edits\":[{\"path\":\"root\",\"key\":\"x\"}]}",
      400, "invalid" },
    { "POST", "/admin/changes",
      Change ("root", "deadline_ms", "5", ",\"dryrun\":true"), 400,
      "invalid" },
    { "POST", "/admin/changes", std::string (5000, ' '), 413, "too_large" },
    { "POST", "/admin/changes",
      "{\"base_version\":3,\"base_version\":4,\"edits\":[1]}", 400,
      "invalid" },
    { "POST", "/admin/changes",
      Change ("root", "deadline_ms", "soon", ",\"dry_run\":true"), 400,
      "invalid" },
    { "POST", "/admin/log-level", "{\"level\":\"loud\"}", 400, "invalid" },
    { "POST", "/admin/log-level", "\"info\"", 400, "invalid" },
  };
  for (auto &c : cases)
    {
      Response a = Call (c.method, c.path, c.body);
      EXPECT_EQ (a.status, c.status) << c.path << " " << c.body << a.text;
      EXPECT_EQ (a.Kind (), c.kind) << c.path << " " << c.body << a.text;
    }
  EXPECT_EQ (submitted, 0);
  // Bodies and headers far beyond the limits are rejected, not stored.
  EXPECT_EQ (Call ("POST", "/admin/changes", std::string (200000, ' ')).status,
             413);
  std::string huge = "GET /admin/settings HTTP/1.1\r\nX: "
                     + std::string (100000, 'a') + "\r\n\r\n";
  EXPECT_NE (Raw (huge).status, 200);
  EXPECT_EQ (Call ("GET", "/admin/settings", "").status, 200);
}

// Guards against outcomes that the operator cannot distinguish.
TEST_F (Api, OutcomesAreDistinct)
{
  std::string body = Change ("root", "deadline_ms", "5s");
  Response ok = Call ("POST", "/admin/changes", body);
  EXPECT_EQ (ok.status, 200);
  EXPECT_EQ (json_integer_value (json_object_get (ok.json, "version")), 9);
  EXPECT_EQ (base_version, 3u);
  result_kind = ER_CONFLICT;
  Response conflict = Call ("POST", "/admin/changes", body);
  EXPECT_EQ (conflict.status, 409);
  EXPECT_NE (conflict.text.find ("\"who\":\"other\""), std::string::npos);
  result_kind = ER_UNAVAILABLE;
  Response down = Call ("POST", "/admin/changes", body);
  EXPECT_EQ (down.status, 503);
  EXPECT_NE (down.text.find ("Retry-After"), std::string::npos);
  EXPECT_EQ (Call ("GET", "/admin/history", "").status, 503);
  result_kind = ER_TIMEOUT;
  EXPECT_EQ (Call ("POST", "/admin/changes", body).status, 504);
}

TEST_F (Api, ReadsSettings)
{
  Response all = Call ("GET", "/admin/settings", "");
  EXPECT_EQ (json_integer_value (json_object_get (all.json, "version")), 3);
  EXPECT_NE (all.text.find ("team/day"), std::string::npos);
  Response one = Call ("GET", "/admin/settings/team/night/share.weight", "");
  EXPECT_STREQ (json_string_value (json_object_get (one.json, "value")), "5");
  Response root = Call ("GET", "/admin/settings/tiers.strict_through", "");
  EXPECT_STREQ (json_string_value (json_object_get (root.json, "value")), "1");
  Response why
      = Call ("GET", "/admin/explain?path=team%2Fnight&key=share.weight", "");
  EXPECT_NE (why.text.find ("\"level\":\"team/night\""), std::string::npos);
  Response dry
      = Call ("POST", "/admin/changes",
              Change ("team/night", "share.weight", "6", ",\"dry_run\":true"));
  EXPECT_EQ (dry.status, 200);
  EXPECT_NE (dry.text.find ("\"before\":\"5\""), std::string::npos);
  EXPECT_EQ (submitted, 0);
}

// Guards against watches that miss a version, never end or accumulate, and
// against a caller that disconnects while it waits.
TEST_F (Api, WatchesEnd)
{
  EXPECT_EQ (Call ("GET", "/admin/watch?after=2", "").status, 200);
  std::thread later ([this] {
    usleep (100000);
    announce = 4;
  });
  Response a = Call ("GET", "/admin/watch?after=3", "");
  later.join ();
  EXPECT_EQ (json_integer_value (json_object_get (a.json, "version")), 4);
  Response none = Call ("GET", "/admin/watch?after=4&wait_ms=50", "");
  EXPECT_EQ (json_integer_value (json_object_get (none.json, "version")), 4);
  hold = true;
  std::vector<int> fds;
  for (int i = 0; i < 2; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      struct sockaddr_in to = {};
      to.sin_family = AF_INET;
      to.sin_port = htons (aa_query_port (aa));
      inet_pton (AF_INET, "127.0.0.1", &to.sin_addr);
      ASSERT_EQ (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
      std::string r = "GET /admin/watch?after=4 HTTP/1.1\r\nHost: x\r\n"
                      "Authorization: Bearer "
                      + std::string (kRoot) + "\r\n\r\n";
      ASSERT_EQ (send (fd, r.data (), r.size (), 0), (ssize_t)r.size ());
      fds.push_back (fd);
    }
  usleep (100000);
  EXPECT_EQ (Call ("GET", "/admin/watch?after=4", "").status, 429);
  for (int fd : fds)
    close (fd);
  usleep (1600000);
  EXPECT_EQ (Call ("GET", "/admin/watch?after=4&wait_ms=1", "").status, 200);
}

TEST_F (Api, RootMayDrainAndSetTheLogLevel)
{
  EXPECT_EQ (Call ("POST", "/admin/drain", "{}").status, 202);
  EXPECT_EQ (drains, 1);
  Response a = Call ("POST", "/admin/log-level", "{\"level\":\"warning\"}");
  EXPECT_EQ (a.status, 200);
  EXPECT_EQ (Call ("POST", "/admin/log-level", "{\"level\":\"info\"}").status,
             200);
}
