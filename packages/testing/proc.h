// proc.h -- processes, ports, folders and HTTP for end-to-end tests.
//
// Used by the e2e_*_test.cc programs.
//
//   proc::ClusterDesc desc;
//   proc::Cluster c (desc);
//   c.start ();
//   proc::Response r = c.draft (0, c.new_id (0), 8);
//   c.vm (0).process.signal (SIGKILL);
//
// A process is killed when its owner goes out of scope.
#pragma once

#include <cstdint>
#include <jansson.h>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace proc
{

// A process started with posix_spawn.  Its output goes to a file.
class Process
{
public:
  Process () = default;
  Process (Process &&other) noexcept;
  Process &operator= (Process &&other) noexcept;
  Process (const Process &) = delete;
  Process &operator= (const Process &) = delete;
  ~Process ();

  bool start (const std::vector<std::string> &argv, const std::string &log);
  bool running ();
  void signal (int number);
  // Waits for the exit.  Returns the exit status, 128 + the signal's number,
  // or -1 when the process still runs after TIMEOUT_MS.
  int wait (int timeout_ms);
  // Kills and reaps the process.
  void kill ();
  std::string log () const;
  pid_t
  pid () const
  {
    return pid_;
  }

private:
  pid_t pid_ = 0;
  int status_ = -1;
  std::string log_;
};

class TempDir
{
public:
  TempDir ();
  ~TempDir ();
  const std::string &
  path () const
  {
    return path_;
  }

private:
  std::string path_;
};

// A loopback port that is free now, below the range of outgoing connections.
uint16_t free_port ();

struct Request
{
  std::string method = "GET";
  std::string url; // without "http://"
  std::string body;
  std::vector<std::string> headers;
  long timeout_ms = 10000;
  bool follow = false; // follow a 307
};

struct Response
{
  int status = 0; // 0: no response
  std::string body;
  std::map<std::string, std::string> headers; // names in lower case
  std::string error;                          // why the response is incomplete

  std::string outcome () const; // of the header or the error body
  std::string text () const;    // of a response, streamed or not
  bool done () const;           // a stream that ended with [DONE]
};

Response call (const Request &request);
Response get (const std::string &url, long timeout_ms = 10000);
Response post (const std::string &url, const std::string &body);

// A JSON value that is released with its owner.
class Json
{
public:
  explicit Json (json_t *json) : json_ (json) {}
  explicit Json (const std::string &text);
  Json (Json &&other) noexcept : json_ (other.json_) { other.json_ = nullptr; }
  Json (const Json &) = delete;
  Json &operator= (const Json &) = delete;
  ~Json () { json_decref (json_); }
  json_t *
  get () const
  {
    return json_;
  }
  std::string text (const char *name) const;

private:
  json_t *json_;
};

struct Node
{
  std::string name;
  std::string address; // of a VM: the listener for callers
  std::string admin;
  std::string peers;
  std::string region;
  std::string data_center;
  Process process;
  std::vector<std::string> argv;
};

struct ClusterDesc
{
  int vms = 3;
  int engines = 3;
  int services = 1;
  int data_centers = 1; // VMs and upstreams are distributed over them
  std::vector<std::string> engine_args;
  std::vector<std::string> platform_args;
  uint32_t seed = 1;
};

// A platform, engines, services and VMs on loopback.
class Cluster
{
public:
  explicit Cluster (const ClusterDesc &desc);
  ~Cluster ();

  // Starts everything and waits until all VMs are ready.  Returns false and
  // sets error on failure.
  bool start ();
  std::string error;

  Node &
  vm (int i)
  {
    return vms_[i];
  }
  Node &
  engine (int i)
  {
    return engines_[i];
  }
  Node &
  service (int i)
  {
    return services_[i];
  }
  Node &
  platform ()
  {
    return platform_;
  }
  const std::string &
  folder () const
  {
    return dir_.path ();
  }

  bool start_vm (int i);
  bool wait_ready (int i, int timeout_ms = 10000);
  // Waits until the address list of VM I has at least COUNT entries.
  bool wait_members (int i, size_t count, int timeout_ms = 10000);
  void set_faults (const Node &node, const std::string &json);
  void post_vms (const std::string &json);
  std::string vm_entry (int i, const char *state = "live") const;

  std::string incarnation (int i);
  // A new request id that VM I owns; its last part is the seed and a counter.
  std::string new_id (int i);
  // Sends a chat draft of MAX_TOKENS tokens to VM I, as team night.
  Response draft (int i, const std::string &id, int max_tokens,
                  bool stream = true, int tier = 2, long timeout_ms = 20000);
  // Sends a non-idempotent call with KEY to service orders through VM I.
  Response order (int i, const std::string &key, long timeout_ms = 10000);
  // The outcome of ID as VM I states it: "answered", "not_run", "unknown",
  // "running", or "" without a response.
  std::string outcome (int i, const std::string &id);
  // The text of a correct response to a draft with ID.
  static std::string expected (const std::string &id, int max_tokens);
  // Number of first dispatches of each stream id and of calls of each key that
  // the upstreams received.  For an upstream without a response its last one
  // to this call is used, so call this just before an upstream is killed.
  std::map<std::string, int> received ();
  // Number of streams that the engines run now.
  int running_streams ();
  // Prints the last 4000 bytes of the log of each VM.
  void print_logs ();

private:
  bool start_platform ();
  bool start_upstreams ();
  bool wait_address (Node &node);

  ClusterDesc desc_;
  TempDir dir_;
  Node platform_;
  std::vector<Node> vms_;
  std::vector<Node> engines_;
  std::vector<Node> services_;
  std::map<int, std::string> incarnations_;
  std::map<std::string, std::string> last_received_;
  uint64_t nonce_ = 0;
};

// Polls CONDITION.  Returns true when it became true within TIMEOUT_MS.
template <typename F> bool wait_until (int timeout_ms, F condition);

void sleep_ms (int ms);
int64_t now_ms ();

template <typename F>
bool
wait_until (int timeout_ms, F condition)
{
  int64_t end = now_ms () + timeout_ms;
  while (!condition ())
    {
      if (now_ms () > end)
        return false;
      sleep_ms (20);
    }
  return true;
}

} // namespace proc
