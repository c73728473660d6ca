// Tests of od: unit tests, and properties over random fault schedules with
// several processes, a store and a service in one test process.
//
// DB_SEED=N starts with schedule N, DB_RUNS=N runs N schedules; a failure
// prints the seed that replays it with DB_RUNS=1.
#include "od.h"

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

uint64_t
env (const char *name, uint64_t fallback)
{
  const char *value = getenv (name);
  return value != nullptr ? strtoull (value, nullptr, 10) : fallback;
}

struct StoredEntry
{
  std::string key, incarnation, body;
  uint64_t attempt;
  od_entry_state state;
  uint32_t status;
  bool truncated;
  uint64_t time_ms;
};

struct StoredValue
{
  uint64_t revision = 0;
  std::vector<StoredEntry> entries;
};

std::vector<StoredEntry>
copy_value (const od_value &v)
{
  std::vector<StoredEntry> out;
  for (uint32_t i = 0; i < v.count; i++)
    {
      const od_entry &e = v.entries[i];
      out.push_back ({ text (e.key), text (e.incarnation), text (e.body),
                       e.attempt, e.state, e.status, e.body_truncated,
                       e.time_ms });
    }
  return out;
}

std::vector<od_entry>
view_entries (const std::vector<StoredEntry> &stored)
{
  std::vector<od_entry> out;
  for (const StoredEntry &s : stored)
    out.push_back ({ view (s.key), s.attempt, view (s.incarnation), s.state,
                     s.status, view (s.body), s.truncated, s.time_ms });
  return out;
}

struct Faults
{
  double lose_reply, delay_write, outage, connect_fail, break_before,
      break_after, crash, pause, lose_abandon_request, false_death, slow_call;
};

struct Caller
{
  int vm;
  std::string incarnation;
  std::string key;
  int outcomes = 0;
  od_entry_state outcome = OD_INTENT;
  uint64_t attempt = 0;
};

class World
{
public:
  World (uint64_t seed, const Faults &faults, od_fault fault)
      : rng (seed), f (faults), od_fault_ (fault)
  {
    for (int i = 0; i < 3; i++)
      {
        vms.emplace_back ();
        vms.back ().skew_ms = rng () % 60000;
        start (i);
      }
  }

  ~World ()
  {
    for (Vm &vm : vms)
      od_destroy (vm.od);
  }

  void
  run ()
  {
    const int keys = 1 + (int)(rng () % 4);
    const int calls = 4 + (int)(rng () % 10);
    for (int i = 0; i < calls; i++)
      {
        std::string key = "order-" + std::to_string (rng () % keys);
        uint64_t when = rng () % 4000000;
        int vm = (int)(rng () % 3);
        at (when, [=] { call (vm, key); });
        if (chance (0.4)) // the same key at another VM at the same moment
          at (when, [=] { call ((vm + 1) % 3, key); });
      }
    for (int i = 0; i < 3; i++)
      {
        if (chance (f.crash))
          at (rng () % 5000000, [=] { crash (i); });
        if (chance (f.pause))
          at (rng () % 5000000, [=] {
            // Some pauses are longer than every deadline in the module.
            vms[i].paused_until
                = now + (chance (0.5) ? rng () % 500000 : rng () % 12000000);
          });
      }
    for (int i = 0; i < 3; i++)
      if (chance (f.outage))
        {
          uint64_t from = rng () % 5000000;
          outages.push_back ({ from, from + rng () % 3000000 });
        }
    while (!events.empty () && now < 120000000)
      {
        Event e = events.top ();
        events.pop ();
        now = e.time;
        (*e.run) ();
      }
    check ();
  }

  std::vector<std::string> violations;
  uint64_t executions = 0, answered = 0, not_run = 0, unknown = 0;

private:
  struct Vm
  {
    od_state *od = nullptr;
    std::string incarnation;
    uint64_t paused_until = 0;
    uint64_t skew_ms = 0;
    uint64_t wake_at = UINT64_MAX;
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
  // Faults end after 10 s, so that every caller must then get an outcome.
  bool
  fault (double p)
  {
    return now < 10000000 && chance (p);
  }
  uint64_t
  delay ()
  {
    return 100 + rng () % 20000;
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
  bool
  outage ()
  {
    for (auto &o : outages)
      if (now >= o.first && now < o.second)
        return true;
    return false;
  }
  od_time
  time_of (const Vm &vm)
  {
    return { now, 1700000000000 + vm.skew_ms + now / 1000 };
  }

  void
  start (int i)
  {
    Vm &vm = vms[i];
    vm.incarnation
        = "vm-" + std::to_string (i) + "-" + std::to_string (++starts);
    od_desc d = {};
    d.incarnation = view (vm.incarnation);
    d.seed = rng ();
    d.buckets = 2; // several keys share a bucket
    d.wait_us = 2000000;
    d.max_calls = 64;
    d.max_callers = 256;
    d.fault = od_fault_;
    vm.od = od_make (&d);
    vm.wake_at = UINT64_MAX;
  }

  // Runs RUN at VM I in D microseconds or after its pause, unless the VM
  // restarted meanwhile.
  void
  deliver (int i, const std::string &incarnation, uint64_t d,
           std::function<void ()> run)
  {
    after (d, [=] {
      Vm &vm = vms[i];
      if (vm.incarnation != incarnation)
        return;
      if (vm.paused_until > now)
        {
          deliver (i, incarnation, vm.paused_until - now, run);
          return;
        }
      run ();
      drain (i);
    });
  }

  void
  call (int i, const std::string &key)
  {
    size_t id = callers.size ();
    callers.push_back ({ i, vms[i].incarnation, key });
    deliver (i, vms[i].incarnation, 0, [=] {
      od_call_desc d = {};
      d.key = view (callers[id].key);
      d.caller = id;
      EXPECT_TRUE (od_call (vms[i].od, &d, time_of (vms[i])));
    });
  }

  void
  crash (int i)
  {
    od_destroy (vms[i].od);
    vms[i].paused_until = 0;
    dead.insert (vms[i].incarnation);
    start (i);
  }

  void
  drain (int i)
  {
    Vm &vm = vms[i];
    od_action a;
    int steps = 0;
    while (od_next (vm.od, time_of (vm), &a))
      {
        if (++steps > 10000)
          {
            violations.push_back ("od_next does not end");
            return;
          }
        act (i, a);
      }
    uint64_t wake = od_query_wake_us (vm.od, now);
    if (wake == UINT64_MAX)
      return;
    if (wake <= now)
      wake = now + 1;
    if (vm.wake_at > now && vm.wake_at <= wake)
      return;
    vm.wake_at = wake;
    deliver (i, vm.incarnation, wake - now, [=] {});
  }

  void
  act (int i, const od_action &a)
  {
    std::string inc = vms[i].incarnation;
    switch (a.kind)
      {
      case OD_READ:
        read (i, inc, a.op, a.bucket);
        break;
      case OD_WRITE:
        write (i, inc, a.op, a.bucket, a.value.revision, copy_value (a.value));
        break;
      case OD_SEND:
        send (i, inc, a.call, text (a.key), a.attempt);
        break;
      case OD_REQUEST_ABANDON:
        request_abandon (i, inc, text (a.incarnation), text (a.key),
                         a.attempt);
        break;
      case OD_COMPLETE:
        complete (a);
        break;
      }
  }

  void
  read (int i, const std::string &inc, uint64_t op, uint32_t bucket)
  {
    after (delay (), [=] {
      od_result r = OD_OK;
      StoredValue v = store[bucket];
      if (outage ())
        r = chance (0.7) ? OD_UNAVAILABLE : OD_LOST;
      else if (fault (f.lose_reply))
        r = OD_LOST;
      else if (v.revision == 0)
        r = OD_NOT_FOUND;
      deliver (i, inc, r == OD_LOST ? 300000 : delay (), [=] {
        std::vector<od_entry> entries = view_entries (v.entries);
        od_value value
            = { v.revision, (uint32_t)entries.size (), entries.data () };
        od_on_read (vms[i].od, op, r, &value, time_of (vms[i]));
      });
    });
  }

  void
  write (int i, const std::string &inc, uint64_t op, uint32_t bucket,
         uint64_t expected, const std::vector<StoredEntry> &entries)
  {
    // A late write takes effect after the request for it timed out.
    bool late = fault (f.delay_write);
    uint64_t d = late ? 300000 + rng () % 3000000 : delay ();
    bool reply_lost = late || fault (f.lose_reply);
    if (reply_lost)
      deliver (i, inc, 300000, [=] {
        od_on_write (vms[i].od, op, OD_LOST, 0, time_of (vms[i]));
      });
    after (d, [=] {
      od_result r = OD_CONFLICT;
      uint64_t revision = 0;
      StoredValue &v = store[bucket];
      if (outage ())
        r = OD_UNAVAILABLE;
      else if (v.revision == expected)
        {
          r = OD_OK;
          v.revision = revision = ++revisions;
          v.entries = entries;
        }
      if (!reply_lost)
        deliver (i, inc, delay (), [=] {
          od_on_write (vms[i].od, op, r, revision, time_of (vms[i]));
        });
    });
  }

  void
  result (int i, const std::string &inc, uint64_t d, id_handle call,
          od_call_result r)
  {
    std::string body (rng () % 6000, 'b');
    deliver (i, inc, d, [=] {
      od_on_call_result (vms[i].od, call, r, 200, view (body),
                         time_of (vms[i]));
    });
  }

  void
  send (int i, const std::string &inc, id_handle call, const std::string &key,
        uint64_t attempt)
  {
    if (fault (f.connect_fail))
      {
        result (i, inc, delay (), call, OD_NOT_SENT);
        return;
      }
    if (fault (f.break_before))
      {
        result (i, inc, delay (), call, OD_CONNECTION_LOST);
        return;
      }
    bool broken = fault (f.break_after);
    // The request is in transit: a crash of the sender does not stop it.
    after (chance (f.slow_call) ? rng () % 2000000 : delay (), [=] {
      executions++;
      if (++executed_keys[key] > 1)
        violations.push_back (key + " was executed "
                              + std::to_string (executed_keys[key])
                              + " times");
      executed_attempts.insert (attempt);
      result (i, inc, delay (), call,
              broken ? OD_CONNECTION_LOST : OD_ANSWERED);
    });
  }

  void
  request_abandon (int i, const std::string &inc, const std::string &target,
                   const std::string &key, uint64_t attempt)
  {
    auto reply = [=] (uint64_t d, od_abandon_result r) {
      deliver (i, inc, d, [=] {
        od_on_abandon_reply (vms[i].od, view (key), attempt, r,
                             time_of (vms[i]));
      });
    };
    if (dead.count (target) > 0)
      {
        reply (delay (), OD_DEAD);
        return;
      }
    for (int j = 0; j < 3; j++)
      if (vms[j].incarnation == target)
        {
          // A paused VM may be declared dead although it resumes.
          if (fault (f.false_death)
              || (vms[j].paused_until > now + 3000000 && chance (0.7)))
            {
              reply (delay (), OD_DEAD);
              return;
            }
          if (fault (f.lose_abandon_request))
            {
              reply (200000, OD_UNREACHABLE);
              return;
            }
          deliver (j, target, delay (), [=] {
            bool abandoned = od_on_abandon_request (vms[j].od, view (target),
                                                    view (key), attempt);
            reply (delay (), abandoned ? OD_ABANDONED : OD_NOT_ABANDONED);
          });
          return;
        }
  }

  void
  complete (const od_action &a)
  {
    Caller &c = callers[a.caller];
    if (++c.outcomes > 1)
      violations.push_back ("a caller received two outcomes");
    c.outcome = a.outcome;
    c.attempt = a.attempt;
    if (a.outcome == OD_NOT_RUN && fault (0.4))
      {
        int vm = chance (0.5) ? c.vm : (c.vm + 1) % 3;
        std::string key = c.key;
        after (delay (), [=] { call (vm, key); });
      }
  }

  void
  check ()
  {
    for (const Caller &c : callers)
      {
        bool alive = dead.count (c.incarnation) == 0;
        if (alive && c.outcomes != 1)
          violations.push_back ("a caller received "
                                + std::to_string (c.outcomes) + " outcomes");
        if (c.outcomes == 0)
          continue;
        switch (c.outcome)
          {
          case OD_DONE:
            answered++;
            if (executed_keys[c.key] != 1)
              violations.push_back ("answered, but executed "
                                    + std::to_string (executed_keys[c.key])
                                    + " times");
            break;
          case OD_NOT_RUN:
            not_run++;
            if (executed_attempts.count (c.attempt) > 0)
              violations.push_back ("not_run was reported for an attempt "
                                    "that was executed");
            break;
          case OD_UNKNOWN:
            unknown++;
            break;
          default:
            violations.push_back ("a caller received an invalid outcome");
          }
      }
  }

  std::mt19937_64 rng;
  Faults f;
  od_fault od_fault_;
  std::vector<Vm> vms;
  std::vector<Caller> callers;
  std::map<uint32_t, StoredValue> store;
  std::vector<std::pair<uint64_t, uint64_t>> outages;
  std::map<std::string, int> executed_keys;
  std::set<uint64_t> executed_attempts;
  std::set<std::string> dead;
  std::priority_queue<Event> events;
  uint64_t now = 0, order = 0, revisions = 0;
  int starts = 0;
};

struct Totals
{
  uint64_t runs = 0, bad = 0, executions = 0, answered = 0, not_run = 0,
           unknown = 0;
  std::string first;
};

Totals
run_schedules (uint64_t first, uint64_t runs, od_fault fault)
{
  Totals t;
  for (uint64_t seed = first; seed < first + runs; seed++)
    {
      std::mt19937_64 rng (seed);
      auto p = [&] (double max) {
        return rng () % 3 == 0
                   ? 0.0
                   : max * std::uniform_real_distribution<> (0, 1) (rng);
      };
      Faults f = { p (0.4), p (0.3), p (0.5), p (0.4), p (0.2), p (0.2),
                   p (0.6), p (0.6), p (0.5), p (0.2), p (0.4) };
      World w (seed, f, fault);
      w.run ();
      t.runs++;
      t.executions += w.executions;
      t.answered += w.answered;
      t.not_run += w.not_run;
      t.unknown += w.unknown;
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

// Carries out the actions of one od_state; store operations end at once.
struct Direct
{
  od_state *od = nullptr;
  StoredValue value;
  uint64_t now = 1, wall = 1700000000000;
  std::vector<std::pair<uint64_t, od_entry_state>> completions;
  std::vector<od_reason> reasons;
  std::vector<std::string> bodies;
  std::vector<id_handle> sends;
  uint64_t writes = 0;
  uint64_t largest = 0;

  explicit Direct (od_desc d)
  {
    static const std::string inc = "vm-0-0123456789abcdef";
    d.incarnation = view (inc);
    d.buckets = 1;
    od = od_make (&d);
  }
  ~Direct () { od_destroy (od); }
  od_time
  time () const
  {
    return { now, wall };
  }
  void
  call (const std::string &key, uint64_t caller)
  {
    od_call_desc d = {};
    d.key = view (key);
    d.caller = caller;
    EXPECT_TRUE (od_call (od, &d, time ()));
  }
  void
  drain (od_result store_result = OD_OK)
  {
    od_action a;
    while (od_next (od, time (), &a))
      switch (a.kind)
        {
        case OD_READ:
          {
            std::vector<od_entry> e = view_entries (value.entries);
            od_value v = { value.revision, (uint32_t)e.size (), e.data () };
            od_on_read (od, a.op,
                        store_result != OD_OK ? store_result
                        : value.revision == 0 ? OD_NOT_FOUND
                                              : OD_OK,
                        &v, time ());
            break;
          }
        case OD_WRITE:
          writes++;
          EXPECT_EQ (a.value.revision, value.revision);
          if (store_result == OD_OK)
            {
              value.entries = copy_value (a.value);
              value.revision++;
              uint64_t bytes = 0;
              for (const StoredEntry &s : value.entries)
                bytes += 64 + s.key.size () + s.incarnation.size ()
                         + s.body.size ();
              largest = std::max (largest, bytes);
            }
          od_on_write (od, a.op, store_result, value.revision, time ());
          break;
        case OD_SEND:
          sends.push_back (a.call);
          break;
        case OD_REQUEST_ABANDON:
          break;
        case OD_COMPLETE:
          completions.push_back ({ a.caller, a.outcome });
          reasons.push_back (a.reason);
          bodies.push_back (text (a.body));
          break;
        }
  }
  void
  respond (const std::string &body)
  {
    for (id_handle call : sends)
      od_on_call_result (od, call, OD_ANSWERED, 200, view (body), time ());
    sends.clear ();
    drain ();
  }
};

} // namespace

// Guards against a key that runs twice, an attempt that runs although it was
// reported as "not run", and callers with no outcome or two, under crashes,
// pauses, lost replies, late writes and store outages.
TEST (OdProperty, AtMostOnceUnderFaults)
{
  uint64_t first = env ("DB_SEED", 1);
  uint64_t runs = env ("DB_RUNS", 12000);
  Totals t = run_schedules (first, runs, OD_FAULT_NONE);
  printf ("seed %llu, %llu schedules: %llu executions, outcomes: %llu "
          "answered, %llu not_run, %llu unknown\n",
          (unsigned long long)first, (unsigned long long)t.runs,
          (unsigned long long)t.executions, (unsigned long long)t.answered,
          (unsigned long long)t.not_run, (unsigned long long)t.unknown);
  EXPECT_EQ (t.bad, 0u) << t.first;
  if (runs >= 1000)
    {
      // The schedules must reach every outcome often enough to test it.
      EXPECT_GT (t.answered, t.runs);
      EXPECT_GT (t.not_run, t.runs / 10);
      EXPECT_GT (t.unknown, t.runs / 10);
    }
}

// Guards against a property test that cannot fail: with a safety rule
// disabled, the same schedules must show violations.
TEST (OdProperty, RulesTurnedOffAreFound)
{
  for (od_fault fault : { OD_FAULT_SEND_WITHOUT_INTENT, OD_FAULT_REPLACE_DEAD,
                          OD_FAULT_FORGET_SENT })
    {
      Totals t = run_schedules (1, 2000, fault);
      printf ("fault %d: %llu of %llu schedules show a violation, first %s\n",
              fault, (unsigned long long)t.bad, (unsigned long long)t.runs,
              t.first.c_str ());
      EXPECT_GT (t.bad, 0u);
    }
}

// Guards against calls that end as not_run or unknown although nothing fails.
TEST (OdProperty, WithoutFaultsEveryCallIsAnswered)
{
  uint64_t unanswered = 0;
  for (uint64_t seed = 1; seed <= 500; seed++)
    {
      World w (seed, Faults{}, OD_FAULT_NONE);
      w.run ();
      EXPECT_TRUE (w.violations.empty ()) << w.violations[0];
      EXPECT_EQ (w.not_run, 0u) << "seed " << seed;
      unanswered += w.unknown;
    }
  EXPECT_EQ (unanswered, 0u);
}

// Guards against a separate store write for each call.
TEST (Od, IntentsShareOneWrite)
{
  Direct d ({});
  for (uint64_t i = 0; i < 100; i++)
    d.call ("k" + std::to_string (i), i);
  d.drain ();
  EXPECT_EQ (d.writes, 1u);
  EXPECT_EQ (d.sends.size (), 100u);
  d.respond ("ok");
  EXPECT_EQ (d.completions.size (), 100u);
  EXPECT_EQ (d.writes, 2u);
  EXPECT_EQ (od_query_counts (d.od).calls, 0u);
}

// Guards against a second dispatch for a key whose call is running or has its
// response.
TEST (Od, RetriesAttachOrReplay)
{
  Direct d ({});
  d.call ("k", 1);
  d.drain ();
  d.call ("k", 2);
  d.drain ();
  EXPECT_EQ (d.sends.size (), 1u);
  d.respond (std::string (5000, 'x'));
  ASSERT_EQ (d.completions.size (), 2u);
  d.call ("k", 3);
  d.drain ();
  ASSERT_EQ (d.completions.size (), 3u);
  EXPECT_EQ (d.completions[2].second, OD_DONE);
  EXPECT_EQ (d.bodies[2].size (), (size_t)OD_BODY_MAX_BYTES);
  EXPECT_TRUE (d.sends.empty ());
}

// Guards against callers that wait while the store is unavailable.
TEST (Od, StoreUnavailableIsNotRun)
{
  Direct d ({});
  d.call ("k", 1);
  d.drain (OD_UNAVAILABLE);
  ASSERT_EQ (d.completions.size (), 1u);
  EXPECT_EQ (d.completions[0].second, OD_NOT_RUN);
  EXPECT_EQ (d.reasons[0], OD_REASON_STORE_UNAVAILABLE);
  EXPECT_TRUE (d.sends.empty ());
}

// Guards against an attempt that is sent long after its intent was stored,
// because the process was paused in between.
TEST (Od, PauseBeforeSendIsNotRun)
{
  Direct d ({});
  d.call ("k", 1);
  od_action a;
  ASSERT_TRUE (od_next (d.od, d.time (), &a));
  ASSERT_EQ (a.kind, OD_READ);
  od_on_read (d.od, a.op, OD_NOT_FOUND, nullptr, d.time ());
  ASSERT_TRUE (od_next (d.od, d.time (), &a));
  ASSERT_EQ (a.kind, OD_WRITE);
  d.value.entries = copy_value (a.value);
  d.value.revision = 1;
  d.now += 3600ull * 1000000;
  od_on_write (d.od, a.op, OD_OK, 1, d.time ());
  d.drain ();
  EXPECT_TRUE (d.sends.empty ());
  ASSERT_EQ (d.completions.size (), 1u);
  EXPECT_EQ (d.completions[0].second, OD_NOT_RUN);
  ASSERT_EQ (d.value.entries.size (), 1u);
  EXPECT_EQ (d.value.entries[0].state, OD_NOT_RUN);
}

// Guards against a bucket that exceeds the store's value limit.
TEST (Od, FullBucketRefuses)
{
  od_desc desc = {};
  desc.bucket_max_bytes = 100000;
  Direct d (desc);
  for (uint64_t i = 0; i < 400; i++)
    {
      d.call ("k" + std::to_string (i), i);
      d.drain ();
      d.respond (std::string (4096, 'x'));
    }
  ASSERT_EQ (d.completions.size (), 400u);
  EXPECT_EQ (d.completions[0].second, OD_DONE);
  EXPECT_EQ (d.completions[399].second, OD_NOT_RUN);
  EXPECT_EQ (d.reasons[399], OD_REASON_BUCKET_FULL);
  EXPECT_LE (d.largest, 100000u);
  // After the retention entries are dropped and there is room again.
  d.wall += 25ull * 3600 * 1000;
  d.call ("recent", 1000); // its time becomes the newest one
  d.drain ();
}

// Guards against entries that are kept after the retention, and against one VM
// whose clock is wrong and that drops newer ones.
TEST (Od, RetentionNeedsTwoClocks)
{
  Direct d ({});
  d.call ("old", 1);
  d.drain ();
  d.respond ("a");
  d.wall += 25ull * 3600 * 1000;
  d.call ("second", 2);
  d.drain ();
  d.respond ("b");
  // The newest entry was as old as "old" at the first write.
  d.call ("third", 3);
  d.drain ();
  d.respond ("c");
  std::set<std::string> keys;
  for (const StoredEntry &e : d.value.entries)
    keys.insert (e.key);
  EXPECT_EQ (keys.count ("old"), 0u);
  EXPECT_EQ (keys.count ("second"), 1u);
  EXPECT_EQ (keys.count ("third"), 1u);
}

// Guards against a full table that makes callers wait, and against leaked
// slots.
TEST (Od, FullTableRefuses)
{
  od_desc desc = {};
  desc.max_calls = 4;
  Direct d (desc);
  for (uint64_t i = 0; i < 6; i++)
    d.call ("k" + std::to_string (i), i);
  d.drain ();
  EXPECT_EQ (d.sends.size (), 4u);
  EXPECT_EQ (d.completions.size (), 2u);
  EXPECT_EQ (d.reasons[0], OD_REASON_TABLE_FULL);
  d.respond ("ok");
  EXPECT_EQ (od_query_counts (d.od).calls, 0u);
  EXPECT_EQ (od_query_counts (d.od).callers, 0u);
}

// Guards against abandoning an attempt of another incarnation.
TEST (Od, AbandonRequestOfAnotherIncarnationIsRejected)
{
  Direct d ({});
  EXPECT_FALSE (
      od_on_abandon_request (d.od, ST_LIT ("vm-9-1"), ST_LIT ("k"), 1));
  EXPECT_TRUE (od_on_abandon_request (d.od, ST_LIT ("vm-0-0123456789abcdef"),
                                      ST_LIT ("k"), 1));
}
