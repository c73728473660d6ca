// Tests of mb: properties over random fault schedules with several views in
// one process, a network and restarts.
//
// DB_SEED=N starts with schedule N, DB_RUNS=N runs N schedules; a failure
// prints the seed that replays it with DB_RUNS=1.
#include "mb.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
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

// A record of a VM that is alive, counter 1.
mb_record
alive (const char *name, const char *incarnation, const char *address,
       const char *region = "", const char *data_center = "")
{
  mb_record r = {};
  r.name = st_from_cstr (name);
  r.incarnation = st_from_cstr (incarnation);
  r.region = st_from_cstr (region);
  r.data_center = st_from_cstr (data_center);
  r.peer_address = st_from_cstr (address);
  r.callers_address = ST_LIT ("");
  r.state = MB_ALIVE;
  r.counter = 1;
  return r;
}

// The VM "a", for a test of a single view.
mb_desc
vm_a ()
{
  mb_desc d = {};
  d.self.name = ST_LIT ("a");
  d.self.incarnation = ST_LIT ("a-1");
  d.self.peer_address = ST_LIT ("1");
  return d;
}

uint64_t
env (const char *name, uint64_t fallback)
{
  const char *value = getenv (name);
  return value != nullptr ? strtoull (value, nullptr, 10) : fallback;
}

// Faults end at kFaultEndUs; all views must agree kConvergeUs later.
constexpr uint64_t kFaultEndUs = 20000000;
constexpr uint64_t kConvergeUs = 30000000;

struct Record
{
  std::string f[6];
  mb_member_state state;
  uint64_t counter;
  uint32_t capacity;

  explicit Record (const mb_record &r)
      : f{ text (r.name),         text (r.incarnation),
           text (r.region),       text (r.data_center),
           text (r.peer_address), text (r.callers_address) },
        state (r.state), counter (r.counter), capacity (r.capacity)
  {
  }
  mb_record
  get () const
  {
    return { view (f[0]), view (f[1]), view (f[2]), view (f[3]), view (f[4]),
             view (f[5]), state,       capacity,    counter };
  }
};

struct Message
{
  mb_message_kind kind;
  uint64_t sequence;
  Record self;
  std::string subject;
  std::vector<Record> updates;

  explicit Message (const mb_message &m)
      : kind (m.kind), sequence (m.sequence), self (m.self),
        subject (text (m.subject))
  {
    for (uint32_t i = 0; i < m.update_count; i++)
      updates.emplace_back (m.updates[i]);
  }
  size_t
  bytes () const
  {
    size_t n = 64 + subject.size ();
    auto add = [&] (const Record &r) {
      n += 24;
      for (const std::string &s : r.f)
        n += s.size () + 2;
    };
    add (self);
    for (const Record &r : updates)
      add (r);
    return n;
  }
};

struct Faults
{
  double loss, duplicate, slow, pause, restart, partition, crash, leave;
  bool skew;
};

class World
{
public:
  World (uint64_t seed, const Faults &faults, mb_fault fault)
      : rng (seed), f (faults), mb_fault_ (fault)
  {
    n = 3 + (int)(rng () % 5);
    vms.resize (n);
    for (int i = 0; i < n; i++)
      start (i);
  }
  ~World ()
  {
    for (Vm &vm : vms)
      mb_destroy (vm.mb);
  }

  void
  run ()
  {
    for (int i = 0; i < n; i++)
      {
        if (chance (f.pause))
          at (rng () % 15000000, [=] {
            vms[i].paused_until
                = now + (chance (0.5) ? rng () % 2000000 : rng () % 5000000);
          });
        if (chance (f.restart))
          for (uint64_t k = rng () % 3 + 1; k > 0; k--)
            at (rng () % kFaultEndUs, [=] { restart (i); });
        if (i > 0 && chance (f.crash))
          at (rng () % kFaultEndUs, [=] { crash (i); });
        if (chance (f.leave))
          at (rng () % kFaultEndUs, [=] {
            if (vms[i].up)
              {
                vms[i].left = true;
                mb_leave (vms[i].mb);
              }
          });
      }
    if (chance (f.partition))
      at (rng () % 8000000, [=] {
        partition_at = 1 + (int)(rng () % (n - 1));
        after (rng () % 12000000, [=] { partition_at = 0; });
      });
    while (!events.empty () && events.top ().time < kFaultEndUs + kConvergeUs)
      {
        Event e = events.top ();
        events.pop ();
        now = e.time;
        (*e.run) ();
      }
    check ();
  }

  std::vector<std::string> violations;
  uint64_t deaths = 0, suspicions = 0, own_deads = 0, messages = 0;
  size_t largest = 0;

private:
  struct Vm
  {
    mb_state *mb = nullptr;
    std::string incarnation;
    bool up = false, left = false;
    int starts = 0;
    uint64_t paused_until = 0, wake_at = 0;
    std::set<std::string> known_dead;
    std::map<std::string, uint64_t> suspected_at;
    std::map<std::string, int> suspicion_sent;
  };
  struct Event
  {
    uint64_t time, order;
    std::shared_ptr<std::function<void ()>> run;
    bool
    operator<(const Event &o) const
    {
      return time != o.time ? time > o.time : order > o.order;
    }
  };

  bool
  chance (double p)
  {
    return std::uniform_real_distribution<> (0, 1) (rng) < p;
  }
  bool
  fault (double p)
  {
    return now < kFaultEndUs && chance (p);
  }
  void
  at (uint64_t when, std::function<void ()> run)
  {
    events.push (
        { when, order++,
          std::make_shared<std::function<void ()>> (std::move (run)) });
  }
  void
  after (uint64_t d, std::function<void ()> run)
  {
    at (now + d, std::move (run));
  }

  std::string
  new_incarnation (int i)
  {
    return "vm-" + std::to_string (i) + "-" + std::to_string (++vms[i].starts);
  }
  uint64_t
  counter ()
  {
    // The wall clock in ms; with skew a clock that may step back.
    return f.skew ? 1 + rng () % 100 : 1000000 + now / 1000;
  }

  void
  start (int i)
  {
    Vm &vm = vms[i];
    vm.incarnation = new_incarnation (i);
    vm.up = true;
    vm.left = false;
    vm.paused_until = 0;
    vm.known_dead.clear ();
    vm.suspected_at.clear ();
    std::string name = "vm-" + std::to_string (i);
    std::string address = "10.0.0." + std::to_string (i);
    mb_desc d = {};
    d.self.name = view (name);
    d.self.incarnation = view (vm.incarnation);
    d.self.region = ST_LIT ("r");
    d.self.data_center = ST_LIT ("d");
    d.self.peer_address = view (address);
    d.self.callers_address = view (address);
    d.self.counter = counter ();
    d.seed = rng ();
    d.max_members = 32;
    d.fault = mb_fault_;
    vm.mb = mb_make (&d, now);
    set_vm_list (i);
    vm.wake_at = 0;
    deliver (i, vm.mb, 0, [] {});
  }
  void
  set_vm_list (int i)
  {
    std::vector<std::string> names, addresses;
    for (int j = 0; j < n; j++)
      {
        names.push_back ("vm-" + std::to_string (j));
        addresses.push_back ("10.0.0." + std::to_string (j));
      }
    std::vector<mb_vm_entry> list;
    for (int j = 0; j < n; j++)
      list.push_back ({ view (names[j]), ST_LIT ("r"), ST_LIT ("d"),
                        view (addresses[j]), view (addresses[j]), false, 0 });
    mb_set_vm_list (vms[i].mb, list.data (), (uint32_t)list.size (), now);
  }
  void
  crash (int i)
  {
    if (!vms[i].up)
      return;
    vms[i].up = false;
    mb_destroy (vms[i].mb);
    vms[i].mb = nullptr;
  }
  void
  restart (int i)
  {
    if (!vms[i].up)
      return;
    crash (i);
    start (i);
  }

  void
  deliver (int i, mb_state *mb, uint64_t d, std::function<void ()> run)
  {
    after (d, [=] {
      Vm &vm = vms[i];
      if (!vm.up || vm.mb != mb)
        return;
      if (vm.paused_until > now)
        {
          deliver (i, mb, vm.paused_until - now, run);
          return;
        }
      run ();
      drain (i);
    });
  }

  void
  drain (int i)
  {
    Vm &vm = vms[i];
    mb_action a;
    int steps = 0;
    while (mb_next (vm.mb, now, &a))
      {
        if (++steps > 10000)
          {
            violations.push_back ("mb_next does not end");
            return;
          }
        if (a.kind == MB_SEND)
          send (i, a);
        else
          event (i, a);
      }
    uint64_t wake = mb_query_wake_us (vm.mb, now);
    wake = wake <= now ? now + 1 : wake;
    if (vm.wake_at > now && vm.wake_at <= wake)
      return;
    vm.wake_at = wake;
    deliver (i, vm.mb, wake - now, [] {});
  }

  void
  send (int i, const mb_action &a)
  {
    auto m = std::make_shared<Message> (a.message);
    messages++;
    largest = std::max (largest, m->bytes ());
    if (m->updates.size () > MB_UPDATES_MAX)
      violations.push_back ("a message with too many updates");
    for (const Record &r : m->updates)
      if (r.state == MB_SUSPECT && r.f[0] == text (a.to_name))
        vms[i].suspicion_sent[r.f[1]]++;
    int to = std::stoi (text (a.to_address).substr (7));
    int copies = fault (f.duplicate) ? 2 : 1;
    for (int k = 0; k < copies; k++)
      {
        if (fault (f.loss))
          continue;
        uint64_t d = 200 + rng () % 5000;
        if (fault (f.slow))
          d += rng () % 1500000;
        after (d, [=] {
          if (partition_at > 0 && (i < partition_at) != (to < partition_at))
            return;
          if (!vms[to].up)
            return;
          deliver (to, vms[to].mb, 0, [=] {
            mb_message raw = {};
            raw.kind = m->kind;
            raw.sequence = m->sequence;
            raw.self = m->self.get ();
            raw.subject = view (m->subject);
            raw.update_count = (uint32_t)m->updates.size ();
            for (size_t u = 0; u < m->updates.size (); u++)
              raw.updates[u] = m->updates[u].get ();
            mb_on_message (vms[to].mb, &raw, now);
          });
        });
      }
  }

  void
  event (int i, const mb_action &a)
  {
    Vm &vm = vms[i];
    std::string inc = text (a.incarnation);
    switch (a.event)
      {
      case MB_JOINED:
        if (vm.known_dead.count (inc) > 0)
          violations.push_back (inc + " was revived after its death");
        break;
      case MB_SUSPECTED:
        suspicions++;
        vm.suspected_at[inc] = now;
        vm.suspicion_sent[inc] = 0;
        break;
      case MB_CLEARED:
        vm.suspected_at.erase (inc);
        break;
      case MB_DIED:
        deaths++;
        vm.known_dead.insert (inc);
        if (a.declared_locally)
          check_death (i, inc);
        break;
      case MB_OWN_DEAD:
        own_deads++;
        if (inc != vm.incarnation)
          violations.push_back ("OWN_DEAD of another incarnation");
        // The VM rejoins when its work is done.
        deliver (i, vm.mb, rng () % 2000000, [=] {
          if (!mb_query_own_dead (vms[i].mb))
            return;
          vms[i].incarnation = new_incarnation (i);
          mb_rejoin (vms[i].mb, view (vms[i].incarnation), counter ());
        });
        break;
      case MB_LEFT:
      case MB_RESYNC:
        break;
      }
  }

  // A death that this VM declares needs a suspicion that lasted for the whole
  // time-out and that was sent to the suspect.
  void
  check_death (int i, const std::string &inc)
  {
    Vm &vm = vms[i];
    auto s = vm.suspected_at.find (inc);
    if (s == vm.suspected_at.end () || now - s->second < 2000000)
      violations.push_back (inc + " died without 2 s of suspicion");
    else if (vm.suspicion_sent[inc] < 1)
      violations.push_back (inc + " died without being sent the suspicion");
  }

  void
  check ()
  {
    std::set<std::string> want;
    for (Vm &vm : vms)
      if (vm.up && !vm.left)
        want.insert (vm.incarnation);
    for (int i = 0; i < n; i++)
      {
        if (!vms[i].up)
          continue;
        std::set<std::string> got;
        mb_record r;
        uint32_t cursor = 0;
        while (
            mb_query_live (vms[i].mb, ST_LIT ("r"), ST_LIT ("d"), &cursor, &r))
          got.insert (text (r.incarnation));
        if (got != want)
          {
            std::string s = "view of vm-" + std::to_string (i) + ":";
            for (auto &x : got)
              s += " " + x;
            s += "; wanted:";
            for (auto &x : want)
              s += " " + x;
            violations.push_back (s);
          }
      }
  }

  std::mt19937_64 rng;
  Faults f;
  mb_fault mb_fault_;
  int n = 0, partition_at = 0;
  std::vector<Vm> vms;
  std::priority_queue<Event> events;
  uint64_t now = 0, order = 0;
};

struct Totals
{
  uint64_t runs = 0, bad = 0, deaths = 0, suspicions = 0, own_deads = 0,
           messages = 0;
  size_t largest = 0;
  std::string first;
};

Totals
run_schedules (uint64_t first, uint64_t runs, mb_fault fault)
{
  Totals t;
  for (uint64_t seed = first; seed < first + runs; seed++)
    {
      std::mt19937_64 rng (seed);
      auto p = [&] (double max) {
        return rng () % 2 == 0
                   ? 0.0
                   : max * std::uniform_real_distribution<> (0, 1) (rng);
      };
      Faults f = { p (0.4), p (0.3), p (0.3), p (0.8),        p (0.8),
                   p (0.8), p (0.4), p (0.2), rng () % 2 == 0 };
      World w (seed, f, fault);
      w.run ();
      t.runs++;
      t.deaths += w.deaths;
      t.suspicions += w.suspicions;
      t.own_deads += w.own_deads;
      t.messages += w.messages;
      t.largest = std::max (t.largest, w.largest);
      if (!w.violations.empty ())
        {
          if (t.bad == 0)
            t.first = "DB_SEED=" + std::to_string (seed)
                      + " DB_RUNS=1: " + w.violations[0];
          t.bad++;
        }
    }
  return t;
}

} // namespace

// Guards against views that never agree, dead incarnations that are revived
// and deaths without a chance to refute, under loss, delay, duplicates,
// pauses, restarts and network partitions.
TEST (MbProperty, ConvergesAfterFaults)
{
  uint64_t first = env ("DB_SEED", 1);
  uint64_t runs = env ("DB_RUNS", 10000);
  Totals t = run_schedules (first, runs, MB_FAULT_NONE);
  printf ("seed %llu, %llu schedules: %llu suspicions, %llu deaths, %llu VMs "
          "received their own, %llu messages, largest %zu bytes\n",
          (unsigned long long)first, (unsigned long long)t.runs,
          (unsigned long long)t.suspicions, (unsigned long long)t.deaths,
          (unsigned long long)t.own_deads, (unsigned long long)t.messages,
          t.largest);
  EXPECT_EQ (t.bad, 0u) << t.first;
  EXPECT_LE (t.largest, 2048u);
  if (runs >= 1000)
    {
      EXPECT_GT (t.deaths, t.runs / 2);
      EXPECT_GT (t.own_deads, t.runs / 10);
    }
}

// Guards against a property test that cannot fail: with a rule disabled, the
// same schedules must show violations.
TEST (MbProperty, RulesTurnedOffAreFound)
{
  Totals t = run_schedules (1, 500, MB_FAULT_REVIVE_DEAD);
  printf ("fault REVIVE_DEAD: %llu of %llu schedules show a violation, "
          "first %s\n",
          (unsigned long long)t.bad, (unsigned long long)t.runs,
          t.first.c_str ());
  EXPECT_GT (t.bad, 0u);
}

namespace
{

struct FalseAlarms
{
  uint64_t suspicions = 0, deaths = 0;
};

// Schedules in which every VM replies: some loss or short pauses, no crash.
FalseAlarms
run_without_crashes (double loss, double pause, mb_fault fault)
{
  FalseAlarms q;
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      Faults f = {};
      f.loss = loss;
      f.pause = pause;
      World w (seed, f, fault);
      w.run ();
      q.suspicions += w.suspicions;
      q.deaths += w.deaths;
    }
  return q;
}

} // namespace

// Guards against suspicions when nothing fails.
TEST (MbProperty, NoFaultNoSuspicion)
{
  FalseAlarms q = run_without_crashes (0, 0, MB_FAULT_NONE);
  EXPECT_EQ (q.suspicions, 0u);
  EXPECT_EQ (q.deaths, 0u);
}

// Guards against a member that replies and is declared dead: lost messages
// raise suspicions, and the suspects refute them.
TEST (MbProperty, LiveSuspectsRefute)
{
  FalseAlarms with = run_without_crashes (0.25, 0, MB_FAULT_NONE);
  FalseAlarms without = run_without_crashes (0.25, 0, MB_FAULT_NO_REFUTE);
  printf ("loss 25%%: %llu suspicions, %llu deaths; without refutation %llu "
          "deaths\n",
          (unsigned long long)with.suspicions, (unsigned long long)with.deaths,
          (unsigned long long)without.deaths);
  EXPECT_GT (with.suspicions, 20u);
  EXPECT_EQ (with.deaths, 0u);
  EXPECT_GT (without.deaths, 20u);
}

// Guards against a paused VM that resumes and suspects the others.
TEST (MbProperty, ResumeAfterPauseSuspectsNobody)
{
  // The VM pauses for 60 s with a probe in flight.
  for (mb_fault fault : { MB_FAULT_NONE, MB_FAULT_TRUST_TIMERS })
    {
      mb_desc d = vm_a ();
      d.seed = 1;
      d.fault = fault;
      mb_state *mb = mb_make (&d, 0);
      mb_message m = {};
      m.kind = MB_PING;
      m.self = alive ("b", "b-1", "2");
      mb_on_message (mb, &m, 0);
      mb_action a;
      bool probed = false;
      uint64_t now = 0;
      while (!probed)
        {
          now = mb_query_wake_us (mb, now);
          while (mb_next (mb, now, &a))
            probed
                = probed || (a.kind == MB_SEND && a.message.kind == MB_PING);
        }
      now += 60000000;
      int suspected = 0;
      while (mb_next (mb, now, &a))
        if (a.kind == MB_EVENT && a.event == MB_SUSPECTED)
          suspected++;
      EXPECT_EQ (suspected, fault == MB_FAULT_NONE ? 0 : 1);
      mb_destroy (mb);
    }
}

// Guards against a leaving VM that still gets new work or is declared dead.
TEST (Mb, LeavingIsNotLiveAndNotDead)
{
  mb_desc d = vm_a ();
  mb_state *mb = mb_make (&d, 0);
  mb_message m = {};
  m.kind = MB_PING;
  m.self = alive ("b", "b-1", "2", "r", "d1");
  mb_on_message (mb, &m, 0);
  mb_record r;
  uint32_t cursor = 0;
  ASSERT_TRUE (mb_query_live (mb, ST_LIT (""), ST_LIT ("d1"), &cursor, &r));
  EXPECT_EQ (text (r.name), "b");
  m.self.state = MB_LEAVING;
  m.self.counter = 2;
  mb_on_message (mb, &m, 0);
  cursor = 0;
  EXPECT_FALSE (mb_query_live (mb, ST_LIT (""), ST_LIT ("d1"), &cursor, &r));
  mb_member_state state;
  ASSERT_TRUE (mb_query_incarnation (mb, ST_LIT ("b-1"), &state));
  EXPECT_EQ (state, MB_LEAVING);
  EXPECT_FALSE (mb_query_incarnation (mb, ST_LIT ("b-9"), &state));
  // A later record that is alive does not reset the state.
  m.self.state = MB_ALIVE;
  m.self.counter = 3;
  mb_on_message (mb, &m, 0);
  ASSERT_TRUE (mb_query_incarnation (mb, ST_LIT ("b-1"), &state));
  EXPECT_EQ (state, MB_LEAVING);
  mb_destroy (mb);
}

// Guards against a VM list that revives a dead incarnation or removes a live
// member.
TEST (Mb, VmListDoesNotRevive)
{
  mb_desc d = vm_a ();
  mb_state *mb = mb_make (&d, 0);
  mb_message m = {};
  m.kind = MB_ACK;
  m.self = alive ("b", "b-1", "2");
  mb_on_message (mb, &m, 0);
  mb_set_vm_list (mb, nullptr, 0, 0);
  EXPECT_EQ (mb_query_counts (mb).members, 2u);
  m.self.state = MB_DEAD;
  m.update_count = 1;
  m.updates[0] = m.self;
  m.self = alive ("c", "c-1", "3");
  mb_on_message (mb, &m, 0);
  mb_vm_entry list[] = { { ST_LIT ("b"), ST_LIT (""), ST_LIT (""),
                           ST_LIT ("2"), ST_LIT (""), false, 0 } };
  mb_set_vm_list (mb, list, 1, 0);
  mb_member_state state;
  ASSERT_TRUE (mb_query_incarnation (mb, ST_LIT ("b-1"), &state));
  EXPECT_EQ (state, MB_DEAD);
  // Its entry is freed when it is no longer listed; the incarnation stays
  // dead.
  mb_action a;
  for (uint64_t now = 0; now < 60000000; now += 100000)
    while (mb_next (mb, now, &a))
      ;
  mb_set_vm_list (mb, nullptr, 0, 60000000);
  m.updates[0].state = MB_ALIVE;
  m.updates[0].counter = 99;
  mb_on_message (mb, &m, 60000000);
  ASSERT_TRUE (mb_query_incarnation (mb, ST_LIT ("b-1"), &state));
  EXPECT_EQ (state, MB_DEAD);
  mb_record r;
  EXPECT_TRUE (!mb_query_name (mb, ST_LIT ("b"), &r) || r.state == MB_DEAD);
  mb_destroy (mb);
}

// Guards against VMs that choose members by capacity without having it: the
// capacity comes with the VM list and with a VM's own record, and a record
// without one does not reset it.
TEST (Mb, CapacityComesFromListAndRecords)
{
  mb_desc d = vm_a ();
  d.self.capacity = 250;
  mb_state *mb = mb_make (&d, 0);
  EXPECT_EQ (mb_query_self (mb).capacity, 250u);
  mb_vm_entry list[] = { { ST_LIT ("b"), ST_LIT (""), ST_LIT (""),
                           ST_LIT ("2"), ST_LIT (""), false, 500 } };
  mb_set_vm_list (mb, list, 1, 0);
  mb_record r;
  mb_message m = {};
  m.kind = MB_PING;
  m.self = alive ("b", "b-1", "2");
  mb_on_message (mb, &m, 0);
  ASSERT_TRUE (mb_query_name (mb, ST_LIT ("b"), &r));
  EXPECT_EQ (r.capacity, 500u);
  m.self = r;
  m.self.counter = 2;
  m.self.capacity = 1000;
  mb_on_message (mb, &m, 0);
  ASSERT_TRUE (mb_query_name (mb, ST_LIT ("b"), &r));
  EXPECT_EQ (r.capacity, 1000u);
  mb_destroy (mb);
}
