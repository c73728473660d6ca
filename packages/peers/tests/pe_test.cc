// Tests of the peer task: several tasks on loopback in one event loop, and
// raw sockets that violate the protocol.
#include "fr.h"
#include "pe.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <functional>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

st_str
view (const std::string &s)
{
  return { s.data (), s.size () };
}

std::string
text (st_str s)
{
  return std::string (s.ptr != nullptr ? s.ptr : "", s.len);
}

// IP:PORT with a loopback address that only this process uses and any port.  A
// port that is released stays free: no other test can take it.
std::string
own_address ()
{
  uint32_t host = 0x7f020001u + ((uint32_t)getpid () % 0x7e0000 << 1);
  struct in_addr in = { htonl (host) };
  return std::string (inet_ntoa (in)) + ":0";
}

struct Received
{
  std::string name, incarnation;
  ms_type type;
  uint64_t correlation;
  size_t bytes;
};

struct Vm
{
  pe_task *pe = nullptr;
  std::string name, incarnation;
  std::vector<Received> received;
  std::vector<std::pair<mb_event, std::string>> events;

  static void
  on_message (void *user, const pe_sender *sender, const ms_message *m)
  {
    if (m->type == MS_PING || m->type == MS_ACK)
      return;
    Vm *vm = static_cast<Vm *> (user);
    vm->received.push_back (
        { text (sender->name), text (sender->incarnation), m->type,
          m->correlation,
          m->type == MS_SETTINGS_VALUE ? m->u.settings_value.bytes.len : 0 });
  }
  static void
  on_event (void *user, mb_event event, st_str, st_str incarnation)
  {
    static_cast<Vm *> (user)->events.push_back ({ event, text (incarnation) });
  }
  bool
  saw (mb_event event, const std::string &inc) const
  {
    for (auto &e : events)
      if (e.first == event && e.second == inc)
        return true;
    return false;
  }
};

class Pe : public testing::Test
{
protected:
  void
  SetUp () override
  {
    base = event_base_new ();
    mt_desc d = {};
    metrics = mt_make (&d);
  }
  void
  TearDown () override
  {
    for (auto &vm : vms)
      pe_destroy (vm->pe);
    for (int fd : fds)
      close (fd);
    mt_destroy (metrics);
    event_base_free (base);
  }

  pe_desc
  desc (Vm *vm, const std::string &address)
  {
    pe_desc d = {};
    d.base = base;
    d.metrics = metrics;
    d.name = view (vm->name);
    d.incarnation = view (vm->incarnation);
    d.region = ST_LIT ("kingston");
    d.data_center = ST_LIT ("kingston-north");
    d.peer_address = view (address);
    d.callers_address = ST_LIT ("127.0.0.1:1");
    d.counter = ++counter;
    d.seed = 7 + counter;
    d.hello_ms = 300;
    d.retry_ms = 10;
    d.retry_max_ms = 50;
    d.period_us = 50000;
    d.suspect_us = 300000;
    d.output_max_bytes = 2 * 1024 * 1024 + 512 * 1024;
    d.on_message = Vm::on_message;
    d.on_event = Vm::on_event;
    d.user = vm;
    return d;
  }

  Vm *
  start (const std::string &name, const std::string &address = "127.0.0.1:0")
  {
    vms.push_back (std::make_unique<Vm> ());
    Vm *vm = vms.back ().get ();
    vm->name = name;
    vm->incarnation
        = name + "-" + std::to_string (1000000000000000 + ++starts);
    pe_desc d = desc (vm, address);
    er_error err = {};
    vm->pe = pe_make (&d, &err);
    EXPECT_NE (vm->pe, nullptr) << err.message;
    return vm;
  }

  void
  stop (Vm *vm)
  {
    pe_destroy (vm->pe);
    vm->pe = nullptr;
  }

  // Sets the VM list of every task: all tasks and EXTRA.
  void
  set_vm_lists (const std::vector<std::pair<std::string, std::string>> &extra
                = {})
  {
    std::vector<std::pair<std::string, std::string>> all = extra;
    for (auto &vm : vms)
      if (vm->pe != nullptr)
        all.push_back ({ vm->name, text (pe_query_address (vm->pe)) });
    std::vector<mb_vm_entry> entries;
    for (auto &e : all)
      entries.push_back ({ view (e.first), ST_LIT ("kingston"),
                           ST_LIT ("kingston-north"), view (e.second),
                           ST_LIT (""), false, 0 });
    for (auto &vm : vms)
      if (vm->pe != nullptr)
        pe_set_vm_list (vm->pe, entries.data (), (uint32_t)entries.size ());
  }

  // Runs the loop until DONE or for MS; returns DONE's last value.
  bool
  run (const std::function<bool ()> &done, int ms = 5000)
  {
    ck_clock clock = {};
    uint64_t end = ck_now_us (&clock) + (uint64_t)ms * 1000;
    while (!done () && ck_now_us (&clock) < end)
      {
        struct timeval tv = { 0, 5000 };
        event_base_loopexit (base, &tv);
        event_base_dispatch (base);
      }
    return done ();
  }

  bool
  all_see (uint32_t count)
  {
    for (auto &vm : vms)
      if (vm->pe != nullptr
          && mb_query_counts (pe_query_members (vm->pe)).members != count)
        return false;
    return true;
  }

  int
  connect_to (const Vm *vm)
  {
    std::string address = text (pe_query_address (vm->pe));
    int port = std::stoi (address.substr (address.rfind (':') + 1));
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in in = {};
    in.sin_family = AF_INET;
    in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    in.sin_port = htons ((uint16_t)port);
    EXPECT_EQ (connect (fd, (sockaddr *)&in, sizeof in), 0);
    fcntl (fd, F_SETFL, O_NONBLOCK);
    fds.push_back (fd);
    return fd;
  }

  static void
  write_all (int fd, const std::string &bytes)
  {
    EXPECT_EQ (write (fd, bytes.data (), bytes.size ()),
               (ssize_t)bytes.size ());
  }

  static bool
  closed (int fd)
  {
    char buffer[4096];
    for (;;)
      {
        ssize_t n = read (fd, buffer, sizeof buffer);
        if (n > 0)
          continue;
        return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      }
  }

  static std::string
  bytes_of (const ms_message &m)
  {
    struct evbuffer *out = evbuffer_new ();
    er_error err = {};
    EXPECT_TRUE (ms_encode (out, &m, &err)) << err.message;
    std::string s (evbuffer_get_length (out), 0);
    evbuffer_remove (out, &s[0], s.size ());
    evbuffer_free (out);
    return s;
  }

  static std::string
  hello (const std::string &name, const std::string &incarnation)
  {
    ms_message m = {};
    m.type = MS_HELLO;
    m.u.hello = { view (name), view (incarnation), ST_LIT (""), ST_LIT (""),
                  ST_LIT (""), ST_LIT (""),        FR_VERSION };
    return bytes_of (m);
  }

  static std::string
  ping (const std::string &name, const std::string &incarnation,
        const std::string &address)
  {
    ms_message m = {};
    m.type = MS_PING;
    m.u.probe.sequence = 1;
    m.u.probe.sender = view (incarnation);
    m.u.probe.self = { view (name),
                       view (incarnation),
                       ST_LIT (""),
                       ST_LIT (""),
                       view (address),
                       ST_LIT (""),
                       MS_MEMBER_ALIVE,
                       0,
                       1 };
    return bytes_of (m);
  }

  uint64_t
  errors (const char *name)
  {
    return mt_query_value (metrics, mt_counter (metrics, "peer_errors_total",
                                                "error", st_from_cstr (name),
                                                nullptr, ST_LIT ("")));
  }

  static ms_message
  cancel (uint64_t correlation)
  {
    ms_message m = {};
    m.type = MS_SLOT_CANCEL;
    m.correlation = correlation;
    return m;
  }

  struct event_base *base = nullptr;
  mt_registry *metrics = nullptr;
  std::vector<std::unique_ptr<Vm>> vms;
  std::vector<int> fds;
  uint64_t counter = 1000;
  int starts = 0;
};

} // namespace

// Guards against members that do not find each other from the VM list,
// and messages that are lost, reordered or attributed to the wrong sender.
TEST_F (Pe, MembersJoinAndExchangeMessages)
{
  Vm *a = start ("north-1");
  Vm *b = start ("north-2");
  start ("north-3");
  set_vm_lists ();
  ASSERT_TRUE (run ([&] { return all_see (3); }));
  for (uint64_t i = 1; i <= 100; i++)
    {
      ms_message m = cancel (i);
      EXPECT_EQ (pe_send (a->pe, view (b->incarnation), &m), PE_SENT);
    }
  ASSERT_TRUE (run ([&] { return b->received.size () == 100; }));
  for (uint64_t i = 0; i < 100; i++)
    {
      EXPECT_EQ (b->received[i].correlation, i + 1);
      EXPECT_EQ (b->received[i].incarnation, a->incarnation);
    }
  ms_message m = cancel (1);
  EXPECT_EQ (pe_send (a->pe, ST_LIT ("north-2-0000000000000000"), &m),
             PE_UNKNOWN);
  EXPECT_EQ (pe_send (a->pe, view (a->incarnation), &m), PE_UNKNOWN);
  m.type = MS_TYPE_END;
  EXPECT_EQ (pe_send (a->pe, view (b->incarnation), &m), PE_INVALID);
  EXPECT_EQ (pe_query_counts (a->pe).protocol_errors, 0u);
}

// Guards against a large value that blocks or closes the connection.
TEST_F (Pe, LargestValueArrives)
{
  Vm *a = start ("north-1");
  Vm *b = start ("north-2");
  set_vm_lists ();
  ASSERT_TRUE (run ([&] { return all_see (2); }));
  std::string value (MS_VALUE_MAX_BYTES, 'v');
  ms_message m = {};
  m.type = MS_SETTINGS_VALUE;
  m.u.settings_value = { ST_LIT ("h"), view (value) };
  EXPECT_EQ (pe_send_name (a->pe, ST_LIT ("north-2"), &m), PE_SENT);
  ASSERT_TRUE (run ([&] { return b->received.size () == 1; }));
  EXPECT_EQ (b->received[0].bytes, value.size ());
}

// Guards against a protocol violation that affects other connections or is
// counted under the wrong error.
TEST_F (Pe, ViolationsCloseOnlyTheirConnection)
{
  Vm *a = start ("north-1");
  Vm *b = start ("north-2");
  set_vm_lists ();
  ASSERT_TRUE (run ([&] { return all_see (2); }));
  struct
  {
    std::string bytes;
    const char *error;
  } cases[] = {
    { "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "frame_too_long" },
    { std::string ("\xff\xff\xff\xff", 4), "frame_too_long" },
    { std::string ("\x00\x00\x00\x01", 4), "frame_malformed" },
    { std::string ("\x00\x00\x00\x0b\x09\x01\x00\x00\x00\x00\x00\x00\x00\x00"
                   "\x90",
                   15),
      "unknown_version" },
    { std::string ("\x00\x00\x00\x0b", 4) + (char)FR_VERSION
          + std::string ("\xee\x00\x00\x00\x00\x00\x00\x00\x00"
                         "\x90",
                         10),
      "unknown_type" },
    { std::string ("\x00\x00\x00\x0b", 4) + (char)FR_VERSION
          + std::string ("\x01\x00\x00\x00\x00\x00\x00\x00\x00"
                         "\xc1",
                         10),
      "message_malformed" },
    { bytes_of (cancel (1)), "no_hello" },
    { hello ("north-1", "north-1-9"), "own_name" },
    { hello ("x", "x-1") + hello ("y", "y-1"), "other_name" },
    { hello ("x", "x-1") + ping ("y", "y-1", "127.0.0.1:9"),
      "sender_mismatch" },
  };
  for (auto &c : cases)
    {
      SCOPED_TRACE (c.error);
      uint64_t before = errors (c.error);
      int fd = connect_to (a);
      write_all (fd, c.bytes);
      EXPECT_TRUE (run ([&] { return closed (fd); }));
      EXPECT_EQ (errors (c.error), before + 1);
    }
  size_t seen = a->received.size ();
  ms_message m = cancel (5);
  EXPECT_EQ (pe_send (b->pe, view (a->incarnation), &m), PE_SENT);
  EXPECT_TRUE (run ([&] { return a->received.size () == seen + 1; }));
  EXPECT_TRUE (all_see (2));
  EXPECT_FALSE (a->saw (MB_SUSPECTED, b->incarnation));
}

// Guards against half-open connections that are never closed, and a VM
// list entry whose VM accepts connections and never replies.
TEST_F (Pe, HalfOpenConnectionsAreClosed)
{
  Vm *a = start ("north-1");
  Vm *b = start ("north-2");
  int unresponsive = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in in = {};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  socklen_t size = sizeof in;
  ASSERT_EQ (bind (unresponsive, (sockaddr *)&in, sizeof in), 0);
  ASSERT_EQ (listen (unresponsive, 16), 0);
  ASSERT_EQ (getsockname (unresponsive, (sockaddr *)&in, &size), 0);
  fds.push_back (unresponsive);
  set_vm_lists (
      { { "north-9", "127.0.0.1:" + std::to_string (ntohs (in.sin_port)) } });
  int fd = connect_to (a);
  int partial = connect_to (a);
  write_all (partial, hello ("x", "x-1").substr (0, 20));
  EXPECT_TRUE (run ([&] { return all_see (2); }));
  EXPECT_TRUE (run ([&] { return closed (fd) && closed (partial); }));
  EXPECT_GE (errors ("no_hello"), 2u);
  ms_message m = cancel (3);
  EXPECT_EQ (pe_send (a->pe, view (b->incarnation), &m), PE_SENT);
  EXPECT_TRUE (run ([&] { return b->received.size () == 1; }));
  EXPECT_TRUE (run ([&] {
    return pe_query_counts (a->pe).connect_failures > 0
           || pe_query_counts (b->pe).connect_failures > 0;
  }));
  EXPECT_LE (pe_query_counts (a->pe).connections, 8u);
}

// Guards against a dead VM that stays a member, a restarted one that does not
// rejoin, and messages that reach the wrong process.
TEST_F (Pe, DeathAndRestart)
{
  Vm *a = start ("north-1");
  Vm *b = start ("north-2");
  Vm *c = start ("north-3", own_address ());
  set_vm_lists ();
  ASSERT_TRUE (run ([&] { return all_see (3); }));
  std::string address = text (pe_query_address (c->pe));
  std::string old = c->incarnation;
  stop (c);
  ASSERT_TRUE (
      run ([&] { return a->saw (MB_DIED, old) && b->saw (MB_DIED, old); }));
  ms_message m = cancel (1);
  EXPECT_EQ (pe_send (a->pe, view (old), &m), PE_UNKNOWN);
  Vm *restarted = start ("north-3", address);
  set_vm_lists ();
  ASSERT_TRUE (run ([&] { return all_see (3); }, 10000));
  EXPECT_EQ (pe_send (a->pe, view (old), &m), PE_UNKNOWN);
  EXPECT_EQ (pe_send (a->pe, view (restarted->incarnation), &m), PE_SENT);
  EXPECT_TRUE (run ([&] { return restarted->received.size () == 1; }));
}

// Guards against a restart that is faster than the detection of the death: a
// message for the old process must not reach the new one.
TEST_F (Pe, FastRestartKeepsIncarnationsApart)
{
  Vm *a = start ("north-1");
  Vm *b = start ("north-2", own_address ());
  set_vm_lists ();
  ASSERT_TRUE (run ([&] { return all_see (2); }));
  std::string address = text (pe_query_address (b->pe));
  std::string old = b->incarnation;
  stop (b);
  Vm *restarted = start ("north-2", address);
  ms_message m = cancel (1);
  pe_send (a->pe, view (old), &m);
  set_vm_lists ();
  ASSERT_TRUE (
      run ([&] { return a->saw (MB_JOINED, restarted->incarnation); }));
  EXPECT_TRUE (a->saw (MB_DIED, old));
  EXPECT_EQ (pe_send (a->pe, view (restarted->incarnation), &m), PE_SENT);
  EXPECT_TRUE (run ([&] { return !restarted->received.empty (); }));
  EXPECT_EQ (restarted->received.size (), 1u);
}

// Guards against an output buffer that grows without bound for a slow reader.
TEST_F (Pe, OutputOfASlowReaderIsBounded)
{
  Vm *a = start ("north-1");
  Vm *b = start ("north-2");
  set_vm_lists ();
  ASSERT_TRUE (run ([&] { return all_see (2); }));
  int fd = connect_to (a);
  write_all (fd, hello ("slow", "slow-1")
                     + ping ("slow", "slow-1", "127.0.0.1:9"));
  ASSERT_TRUE (run ([&] { return a->saw (MB_JOINED, "slow-1"); }));
  std::string value (MS_VALUE_MAX_BYTES, 'v');
  ms_message m = {};
  m.type = MS_SETTINGS_VALUE;
  m.u.settings_value = { ST_LIT ("h"), view (value) };
  int sent = 0;
  pe_result r = PE_SENT;
  uint64_t full = errors ("output_full");
  while (r == PE_SENT && sent < 100)
    {
      r = pe_send (a->pe, ST_LIT ("slow-1"), &m);
      sent++;
    }
  EXPECT_EQ (r, PE_DROPPED);
  EXPECT_LE (sent, 4);
  EXPECT_EQ (errors ("output_full"), full + 1);
  m = cancel (4);
  EXPECT_EQ (pe_send (a->pe, view (b->incarnation), &m), PE_SENT);
  EXPECT_TRUE (run ([&] { return b->received.size () == 1; }));
}

// Guards against periodic messages that fill the output buffer and close the
// connection instead of being dropped.
TEST_F (Pe, PeriodicMessagesAreDroppedFirst)
{
  Vm *a = start ("north-1");
  int fd = connect_to (a);
  write_all (fd, hello ("slow", "slow-1")
                     + ping ("slow", "slow-1", "127.0.0.1:9"));
  ASSERT_TRUE (run ([&] { return a->saw (MB_JOINED, "slow-1"); }));
  std::vector<uint64_t> counts (MS_COUNTS_MAX, UINT64_MAX);
  std::vector<ms_evidence_entry> entries (
      200, { ST_LIT ("s"), ST_LIT ("v"), ST_LIT ("r"), 1, counts.size (),
             counts.data () });
  ms_message m = {};
  m.type = MS_EVIDENCE;
  m.u.evidence
      = { view (a->incarnation), 1, entries.size (), entries.data () };
  int dropped = 0;
  for (int i = 0; i < 50; i++)
    dropped += pe_send (a->pe, ST_LIT ("slow-1"), &m) == PE_DROPPED ? 1 : 0;
  EXPECT_GT (dropped, 30);
  EXPECT_EQ (errors ("output_full"), 0u);
  m = cancel (1);
  EXPECT_EQ (pe_send (a->pe, ST_LIT ("slow-1"), &m), PE_SENT);
}

// Guards against a new incarnation that the peers do not receive, and messages
// to it that are dropped on the existing connections.
TEST_F (Pe, RejoinUnderANewIncarnation)
{
  Vm *a = start ("north-1");
  Vm *b = start ("north-2");
  set_vm_lists ();
  ASSERT_TRUE (run ([&] { return all_see (2); }));
  std::string next = "north-2-ffffffffffffffff";
  pe_rejoin (b->pe, view (next), ++counter);
  ASSERT_TRUE (run ([&] { return a->saw (MB_JOINED, next); }));
  EXPECT_TRUE (a->saw (MB_DIED, b->incarnation));
  ms_message m = cancel (1);
  ASSERT_TRUE (run ([&] {
    pe_send (a->pe, view (next), &m);
    return !b->received.empty ();
  }));
  EXPECT_EQ (pe_send (a->pe, view (b->incarnation), &m), PE_UNKNOWN);
  EXPECT_FALSE (b->saw (MB_OWN_DEAD, next));
}

// Guards against a drain that the other VMs do not receive within 1 s.
TEST_F (Pe, LeavingIsDisseminated)
{
  Vm *a = start ("north-1");
  Vm *b = start ("north-2");
  Vm *c = start ("north-3");
  set_vm_lists ();
  ASSERT_TRUE (run ([&] { return all_see (3); }));
  pe_leave (c->pe);
  EXPECT_TRUE (run (
      [&] {
        return a->saw (MB_LEFT, c->incarnation)
               && b->saw (MB_LEFT, c->incarnation);
      },
      1000));
}

// Guards against start-up errors of the wrong kind.
TEST_F (Pe, BadAddressIsReported)
{
  Vm vm;
  vm.name = "n";
  vm.incarnation = "n-1";
  er_error err = {};
  std::string bad = "not-an-address"; // the desc has a view of it
  pe_desc d = desc (&vm, bad);
  EXPECT_EQ (pe_make (&d, &err), nullptr);
  EXPECT_EQ (err.kind, ER_INVALID);
  Vm *a = start ("north-1");
  std::string address = text (pe_query_address (a->pe));
  err = {};
  d = desc (&vm, address);
  EXPECT_EQ (pe_make (&d, &err), nullptr);
  EXPECT_EQ (err.kind, ER_UNAVAILABLE);
}
