#include "proc.h"

#include "te.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <curl/curl.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace proc
{

namespace
{

const char prompt_text[] = "Write one line for the label of a tea box.";

std::string
read_file (const std::string &path)
{
  std::ifstream in (path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf ();
  return out.str ();
}

std::string
program (const std::string &name)
{
  return std::string (DB_BUILD_DIR) + "/packages/" + name;
}

size_t
on_body (char *data, size_t size, size_t count, void *user)
{
  static_cast<std::string *> (user)->append (data, size * count);
  return size * count;
}

size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  auto *headers = static_cast<std::map<std::string, std::string> *> (user);
  std::string line (data, size * count);
  size_t colon = line.find (':');
  if (colon != std::string::npos)
    {
      std::string name = line.substr (0, colon);
      size_t from = line.find_first_not_of (' ', colon + 1);
      size_t to = line.find_last_not_of ("\r\n");
      std::transform (name.begin (), name.end (), name.begin (), ::tolower);
      if (from != std::string::npos && to != std::string::npos && to >= from)
        (*headers)[name] = line.substr (from, to - from + 1);
    }
  return size * count;
}

std::string
choice_text (const json_t *body)
{
  const json_t *choice = json_array_get (json_object_get (body, "choices"), 0);
  const json_t *part = json_object_get (choice, "delta");
  if (part == nullptr)
    part = json_object_get (choice, "message");
  part = part != nullptr ? json_object_get (part, "content")
                         : json_object_get (choice, "text");
  return json_is_string (part) ? json_string_value (part) : "";
}

// Data of each event of a streamed response.
std::vector<std::string>
events_of (const std::string &body)
{
  std::vector<std::string> events;
  size_t from = 0;
  while (from < body.size ())
    {
      size_t end = body.find ("\n\n", from);
      if (end == std::string::npos)
        break;
      std::string event = body.substr (from, end - from);
      if (event.rfind ("data: ", 0) == 0)
        events.push_back (event.substr (6));
      from = end + 2;
    }
  return events;
}

} // namespace

int64_t
now_ms ()
{
  using namespace std::chrono;
  return duration_cast<milliseconds> (steady_clock::now ().time_since_epoch ())
      .count ();
}

void
sleep_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

// ---- Process ----

Process::Process (Process &&other) noexcept
    : pid_ (other.pid_), status_ (other.status_), log_ (other.log_)
{
  other.pid_ = 0;
}

Process &
Process::operator= (Process &&other) noexcept
{
  if (this != &other)
    {
      kill ();
      pid_ = other.pid_;
      status_ = other.status_;
      log_ = other.log_;
      other.pid_ = 0;
    }
  return *this;
}

Process::~Process () { kill (); }

bool
Process::start (const std::vector<std::string> &argv, const std::string &log)
{
  std::vector<char *> args;
  posix_spawn_file_actions_t actions;
  kill ();
  log_ = log;
  status_ = -1;
  for (const std::string &arg : argv)
    args.push_back (const_cast<char *> (arg.c_str ()));
  args.push_back (nullptr);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log.c_str (),
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  int rc
      = posix_spawn (&pid_, args[0], &actions, nullptr, args.data (), environ);
  posix_spawn_file_actions_destroy (&actions);
  if (rc != 0)
    pid_ = 0;
  return rc == 0;
}

bool
Process::running ()
{
  return pid_ > 0 && wait (0) == -1;
}

void
Process::signal (int number)
{
  if (pid_ > 0)
    ::kill (pid_, number);
}

int
Process::wait (int timeout_ms)
{
  int64_t end = now_ms () + timeout_ms;
  while (pid_ > 0)
    {
      int status;
      if (waitpid (pid_, &status, WNOHANG) == pid_)
        {
          status_ = WIFEXITED (status) ? WEXITSTATUS (status)
                                       : 128 + WTERMSIG (status);
          pid_ = 0;
          break;
        }
      if (now_ms () >= end)
        return -1;
      sleep_ms (5);
    }
  return status_;
}

void
Process::kill ()
{
  if (pid_ <= 0)
    return;
  ::kill (pid_, SIGKILL);
  int status;
  waitpid (pid_, &status, 0);
  status_ = 128 + SIGKILL;
  pid_ = 0;
}

std::string
Process::log () const
{
  return read_file (log_);
}

// ---- TempDir ----

TempDir::TempDir ()
{
  std::string name
      = (std::filesystem::temp_directory_path () / "dotterelbend-XXXXXX")
            .string ();
  path_ = mkdtemp (name.data ()) != nullptr ? name : ".";
}

TempDir::~TempDir ()
{
  std::error_code ignored;
  if (path_ != ".")
    std::filesystem::remove_all (path_, ignored);
}

uint16_t
free_port ()
{
  // Each test process starts at another port, so that tests that run at the
  // same time rarely choose the same one.
  static std::atomic<unsigned> next{ (unsigned)getpid () * 53u };
  for (int attempt = 0; attempt < 2000; attempt++)
    {
      uint16_t port = (uint16_t)(12000 + next++ % 20000);
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = {};
      address.sin_family = AF_INET;
      address.sin_port = htons (port);
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      bool bound
          = bind (fd, reinterpret_cast<sockaddr *> (&address), sizeof address)
            == 0;
      close (fd);
      if (bound)
        return port;
    }
  return 0;
}

// ---- HTTP ----

Response
call (const Request &request)
{
  Response response;
  CURL *curl = curl_easy_init ();
  curl_slist *headers = nullptr;
  std::string url = "http://" + request.url;
  // On loopback a 100-continue round trip only costs time.
  headers = curl_slist_append (headers, "Expect:");
  for (const std::string &h : request.headers)
    headers = curl_slist_append (headers, h.c_str ());
  curl_easy_setopt (curl, CURLOPT_URL, url.c_str ());
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, request.method.c_str ());
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, request.timeout_ms);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_FOLLOWLOCATION, request.follow ? 1L : 0L);
  curl_easy_setopt (curl, CURLOPT_MAXREDIRS, 5L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &response.body);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &response.headers);
  if (request.method != "GET")
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE,
                        (long)request.body.size ());
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, request.body.data ());
    }
  CURLcode rc = curl_easy_perform (curl);
  long status = 0;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  response.status = (int)status;
  if (rc != CURLE_OK)
    response.error = curl_easy_strerror (rc);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return response;
}

Response
get (const std::string &url, long timeout_ms)
{
  Request request;
  request.url = url;
  request.timeout_ms = timeout_ms;
  return call (request);
}

Response
post (const std::string &url, const std::string &body)
{
  Request request;
  request.method = "POST";
  request.url = url;
  request.body = body;
  return call (request);
}

std::string
Response::outcome () const
{
  if (done ())
    return "answered";
  auto header = headers.find ("dotterelbend-outcome");
  if (header != headers.end ())
    return header->second;
  std::vector<std::string> events = events_of (body);
  Json json (events.empty () ? body : events.back ());
  json_t *outcome
      = json_object_get (json_object_get (json.get (), "error"), "outcome");
  return json_is_string (outcome) ? json_string_value (outcome) : "";
}

std::string
Response::text () const
{
  std::vector<std::string> events = events_of (body);
  if (events.empty ())
    return choice_text (Json (body).get ());
  std::string out;
  for (const std::string &event : events)
    out += choice_text (Json (event).get ());
  return out;
}

bool
Response::done () const
{
  return error.empty () && body.size () >= 14
         && body.compare (body.size () - 14, 14, "data: [DONE]\n\n") == 0;
}

Json::Json (const std::string &text)
    : json_ (json_loadb (text.data (), text.size (), 0, nullptr))
{
}

std::string
Json::text (const char *name) const
{
  const json_t *v = json_object_get (json_, name);
  return json_is_string (v) ? json_string_value (v) : "";
}

// ---- Cluster ----

Cluster::Cluster (const ClusterDesc &desc)
    : desc_ (desc), vms_ (desc.vms), engines_ (desc.engines),
      services_ (desc.services)
{
  static const char *const centers[]
      = { "rajkot-a", "jamnagar-b", "ahmedabad-a" };
  static const char *const regions[]
      = { "gujarat-west", "gujarat-west", "gujarat-east" };
  auto assign_locations = [&] (std::vector<Node> &nodes, const char *prefix) {
    for (size_t i = 0; i < nodes.size (); i++)
      {
        size_t at = i % (size_t)desc_.data_centers;
        nodes[i].name = prefix + std::to_string (i);
        nodes[i].data_center = centers[at];
        nodes[i].region = regions[at];
      }
  };
  assign_locations (vms_, "vm-");
  assign_locations (engines_, "engine-");
  assign_locations (services_, "service-");
}

Cluster::~Cluster ()
{
  // VMs are stopped first, so that their logs do not end with upstream
  // failures.
  for (Node &n : vms_)
    n.process.kill ();
}

bool
Cluster::wait_address (Node &node)
{
  bool ok = wait_until (5000, [&] {
    std::string log = node.process.log ();
    size_t at = log.find (" listening ");
    size_t end = log.find ('\n');
    if (at == std::string::npos || end == std::string::npos)
      return false;
    node.address = log.substr (at + 11, end - at - 11);
    return true;
  });
  if (!ok)
    error = node.name + " did not start: " + node.process.log ();
  return ok;
}

bool
Cluster::start_platform ()
{
  platform_.name = "platform";
  platform_.argv = { program ("testing/standin-platform") };
  for (const std::string &arg : desc_.platform_args)
    platform_.argv.push_back (arg);
  return platform_.process.start (platform_.argv, folder () + "/platform.log")
         && wait_address (platform_);
}

bool
Cluster::start_upstreams ()
{
  for (Node &n : engines_)
    {
      n.argv = { program ("testing/standin-engine"),
                 "--platform",
                 platform_.address,
                 "--name",
                 n.name,
                 "--region",
                 n.region,
                 "--data-center",
                 n.data_center };
      for (const std::string &arg : desc_.engine_args)
        n.argv.push_back (arg);
      if (!n.process.start (n.argv, folder () + "/" + n.name + ".log")
          || !wait_address (n))
        return false;
    }
  for (Node &n : services_)
    {
      n.argv = { program ("testing/standin-service"),
                 "--platform",
                 platform_.address,
                 "--name",
                 n.name,
                 "--service",
                 "orders",
                 "--region",
                 n.region,
                 "--data-center",
                 n.data_center };
      if (!n.process.start (n.argv, folder () + "/" + n.name + ".log")
          || !wait_address (n))
        return false;
    }
  return true;
}

std::string
Cluster::vm_entry (int i, const char *state) const
{
  const Node &n = vms_[i];
  return R"({"name":")" + n.name + R"(","kind":"vm","address":")" + n.address
         + R"(","peer_address":")" + n.peers + R"(","region":")" + n.region
         + R"(","data_center":")" + n.data_center + R"(","state":")" + state
         + "\"}";
}

void
Cluster::post_vms (const std::string &json)
{
  post (platform_.address + "/vms", json);
}

bool
Cluster::start_vm (int i)
{
  Node &n = vms_[i];
  std::string file = folder () + "/" + n.name + ".yaml";
  if (n.address.empty ())
    {
      n.address = "127.0.0.1:" + std::to_string (free_port ());
      n.admin = "127.0.0.1:" + std::to_string (free_port ());
      n.peers = "127.0.0.1:" + std::to_string (free_port ());
    }
  std::ofstream out (file);
  out << "vm: {name: " << n.name << ", region: " << n.region
      << ", data_center: " << n.data_center << "}\n"
      << "listen: {callers: " << n.address << ", admin: " << n.admin
      << ", peers: " << n.peers << "}\n"
      << "platform: {store: " << platform_.address
      << ", vm_list: " << platform_.address
      << ", weights: " << platform_.address << "}\n"
      << "log: {level: info, format: plain}\n"
      << "admin:\n  tokens:\n"
      << "    - {token: test-root-token-0123456789, scope: root}\n";
  out.close ();
  incarnations_.erase (i);
  n.argv = { program ("server/dotterelbend"), "--config", file };
  if (n.process.start (n.argv, folder () + "/" + n.name + ".log"))
    return true;
  error = n.name + ": the process cannot be started";
  return false;
}

bool
Cluster::wait_ready (int i, int timeout_ms)
{
  bool ok = wait_until (timeout_ms, [&] {
    return get (vms_[i].address + "/readyz", 500).status == 200;
  });
  if (!ok)
    error = vms_[i].name + " did not become ready: " + vms_[i].process.log ();
  return ok;
}

bool
Cluster::wait_members (int i, size_t count, int timeout_ms)
{
  return wait_until (timeout_ms, [&] {
    Response r = get (vms_[i].address + "/v1/addresses", 500);
    return json_array_size (
               json_object_get (Json (r.body).get (), "addresses"))
           >= count;
  });
}

bool
Cluster::start ()
{
  if (!start_platform () || !start_upstreams ())
    return false;
  std::string entries;
  for (size_t i = 0; i < vms_.size (); i++)
    {
      if (!start_vm ((int)i))
        return false;
      entries += (i > 0 ? "," : "") + vm_entry ((int)i);
    }
  post_vms ("{\"vms\":[" + entries + "]}");
  for (size_t i = 0; i < vms_.size (); i++)
    if (!wait_ready ((int)i))
      return false;
  // The upstreams add themselves to the VM list; wait until it has all.
  bool listed = wait_until (5000, [&] {
    Response r = get (platform_.address + "/vms");
    return json_array_size (json_object_get (Json (r.body).get (), "vms"))
           >= vms_.size () + engines_.size () + services_.size ();
  });
  if (!listed)
    error = "the VM list is incomplete after 5 s";
  return listed;
}

void
Cluster::set_faults (const Node &node, const std::string &json)
{
  post (node.address + "/faults", json);
}

std::string
Cluster::incarnation (int i)
{
  auto cached = incarnations_.find (i);
  if (cached != incarnations_.end ())
    return cached->second;
  Response r = get (vms_[i].address + "/v1/addresses");
  Json body (r.body);
  size_t n;
  json_t *item;
  json_array_foreach (json_object_get (body.get (), "addresses"), n, item)
  {
    const char *address
        = json_string_value (json_object_get (item, "address"));
    const char *incarnation
        = json_string_value (json_object_get (item, "incarnation"));
    if (address != nullptr && incarnation != nullptr
        && vms_[i].address == address)
      return incarnations_[i] = incarnation;
  }
  return "";
}

std::string
Cluster::new_id (int i)
{
  using namespace std::chrono;
  auto wall
      = duration_cast<milliseconds> (system_clock::now ().time_since_epoch ());
  char nonce[32];
  snprintf (nonce, sizeof nonce, "%08x%08x", desc_.seed, (unsigned)nonce_++);
  return incarnation (i) + "." + std::to_string (wall.count ()) + "." + nonce;
}

Response
Cluster::draft (int i, const std::string &id, int max_tokens, bool stream,
                int tier, long timeout_ms)
{
  Request r;
  r.method = "POST";
  r.url = vms_[i].address + "/v1/chat/completions";
  r.body = R"({"model":"m1","messages":[{"role":"user","content":")"
           + std::string (prompt_text) + R"("}],"max_tokens":)"
           + std::to_string (max_tokens)
           + ",\"stream\":" + (stream ? "true" : "false") + "}";
  r.headers = { "Content-Type: application/json", "Dotterelbend-Team: night",
                "Dotterelbend-Tier: " + std::to_string (tier) };
  if (!id.empty ())
    r.headers.push_back ("Dotterelbend-Request-Id: " + id);
  r.timeout_ms = timeout_ms;
  return call (r);
}

Response
Cluster::order (int i, const std::string &key, long timeout_ms)
{
  Request r;
  r.method = "POST";
  r.url = vms_[i].address + "/v1/services/orders/submit";
  r.body = "{\"rolls\":4}";
  r.headers = { "Content-Type: application/json", "Dotterelbend-Team: orders",
                "Idempotency-Key: " + key };
  r.timeout_ms = timeout_ms;
  return call (r);
}

std::string
Cluster::outcome (int i, const std::string &id)
{
  Request request;
  request.url = vms_[i].address + "/v1/requests/" + id;
  request.timeout_ms = 3000;
  request.follow = true;
  Response r = call (request);
  Json body (r.body);
  std::string outcome = body.text ("outcome");
  if (!outcome.empty ())
    return outcome;
  if (!body.text ("state").empty ())
    return "running";
  return r.outcome ();
}

std::string
Cluster::expected (const std::string &id, int max_tokens)
{
  uint64_t hash = te_prompt_hash (st_from_cstr (prompt_text));
  std::string text;
  char token[TE_TOKEN_LEN + 1];
  for (int i = 0; i < max_tokens; i++)
    {
      te_token (st_from_cstr (id.c_str ()), hash, (uint32_t)i, token);
      text += token;
    }
  return text;
}

std::map<std::string, int>
Cluster::received ()
{
  std::map<std::string, int> counts;
  auto fetch = [&] (Node &n) {
    Response r = get (n.address + "/received", 2000);
    if (r.status == 200)
      last_received_[n.name] = r.body;
    Json body (last_received_[n.name]);
    size_t i;
    json_t *item;
    json_array_foreach (json_object_get (body.get (), "streams"), i, item)
        counts[json_string_value (json_object_get (item, "id"))]
        += (int)json_integer_value (json_object_get (item, "received"));
    json_array_foreach (json_object_get (body.get (), "calls"), i, item)
        counts[json_string_value (json_object_get (item, "key"))]
        += (int)json_integer_value (json_object_get (item, "count"));
  };
  for (Node &n : engines_)
    fetch (n);
  for (Node &n : services_)
    fetch (n);
  return counts;
}

int
Cluster::running_streams ()
{
  int running = 0;
  for (Node &n : engines_)
    {
      Response r = get (n.address + "/load", 1000);
      running += (int)json_integer_value (
          json_object_get (Json (r.body).get (), "running"));
    }
  return running;
}

void
Cluster::print_logs ()
{
  for (Node &n : vms_)
    {
      std::string log = n.process.log ();
      size_t from = log.size () > 4000 ? log.size () - 4000 : 0;
      // -1: it still runs
      fprintf (stderr, "---- %s, exit status %d\n%s\n", n.name.c_str (),
               n.process.wait (0), log.c_str () + from);
    }
}

} // namespace proc
