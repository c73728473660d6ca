#include "sp.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

st_name
Name (const std::string &s)
{
  st_name n = {};
  EXPECT_TRUE (st_name_set (&n, { s.data (), s.size () }));
  return n;
}

std::string
Text (const st_name &n)
{
  return std::string (n.text, n.len);
}

sp_hash
Hash (const std::string &value)
{
  sp_hash h = {};
  st_str s = { value.data (), value.size () };
  std::snprintf (h.text, sizeof h.text, "%016llx%016llx",
                 (unsigned long long)st_hash (s, 1),
                 (unsigned long long)st_hash (s, 2));
  return h;
}

// A head that owns its arrays.
struct Head
{
  uint64_t version = 0;
  uint64_t revision = 0;
  std::vector<sp_entry> entries;
  std::vector<sp_record> records;

  Head () = default;
  explicit Head (const sp_head &h)
      : version (h.version), revision (h.revision),
        entries (h.entries, h.entries + h.entry_count),
        records (h.records, h.records + h.record_count)
  {
  }

  sp_head
  View () const
  {
    return { version,         revision,        entries.size (),
             entries.data (), records.size (), records.data () };
  }
};

// Faults that a run injects; numbers are probabilities.
struct Faults
{
  double lose_reply = 0; // the reply of a store call is lost
  double late_write = 0; // a write whose reply is lost takes effect later
  double drop = 0;       // a message between VMs is lost
  double stale_head = 0; // a peer sends an outdated head
  bool outages = false;
  bool restarts = false;
  bool partitions = false;
};

struct Settings
{
  uint64_t seed = 1;
  int vms = 5;
  int centres = 2;
  int operators = 2;
  uint64_t fault_end_us = 8000000;
  uint64_t operator_pause_us = 700000;
  size_t value_bytes = 40;
  int subtrees = 4;
  Faults faults;
};

// Simulates the store, the VMs and the operators in virtual time.
class World
{
public:
  explicit World (const Settings &s) : set (s), rng (s.seed)
  {
    heads.push_back (Head ());
    store_up.assign ((size_t)set.centres, true);
    vms.resize ((size_t)set.vms);
    for (int i = 0; i < set.vms; i++)
      {
        vms[i].index = i;
        vms[i].centre = i % set.centres;
        vms[i].name = "vm" + std::to_string (i);
        vms[i].believes_live.assign ((size_t)set.vms, true);
      }
    for (auto &v : vms)
      Start (v);
    for (int i = 0; i < set.operators; i++)
      After (RandomBetween (0, set.operator_pause_us), [this] { Operate (); });
    if (set.faults.outages)
      After (RandomBetween (100000, 4000000), [this] { Outage (); });
    if (set.faults.partitions)
      After (RandomBetween (100000, 4000000), [this] { Partition (); });
    if (set.faults.restarts)
      After (RandomBetween (100000, 3000000), [this] { Kill (); });
    At (set.fault_end_us, [this] { EndFaults (); });
  }

  ~World ()
  {
    for (auto &v : vms)
      sp_destroy_vm (v.sp);
    for (auto &o : ops)
      sp_destroy_change (o->change);
  }

  void
  Run (uint64_t until_us)
  {
    while (!events.empty () && events.top ().at <= until_us
           && failure.empty ())
      {
        Event e = events.top ();
        events.pop ();
        now = e.at;
        e.run ();
      }
    now = until_us;
    // Accepted changes must be in the history, refused ones must not.
    std::set<std::string> in_history;
    for (auto &r : history)
      in_history.insert (r);
    for (auto &o : ops)
      {
        if (o->outcome == SP_ACCEPTED && !in_history.count (o->id))
          Fail ("accepted change " + o->id + " is not in the history");
        if ((o->outcome == SP_REFUSED || o->outcome == SP_CONFLICTED)
            && in_history.count (o->id))
          Fail ("refused change " + o->id + " took effect");
      }
  }

  struct Op
  {
    std::string id;
    uint64_t base = 0; // version on which the operator based the edit
    int vm = 0;
    int incarnation = 0;
    sp_change *change = nullptr;
    sp_outcome outcome = SP_PENDING;
    uint64_t started = 0;
    uint64_t ended = 0;
    std::map<size_t, std::string> values;
  };

  struct Vm
  {
    int index = 0;
    int centre = 0;
    int incarnation = 0;
    bool alive = false;
    std::string name;
    sp_vm *sp = nullptr;
    uint64_t version = 0;
    std::map<std::string, std::string> values; // by hash
    std::vector<bool> believes_live;           // by VM index
    uint64_t watch_sequence = 0;
    uint64_t watch_revision = 0;
    bool watching = false;
    uint64_t bytes_in = 0;
    uint64_t bytes_out = 0;
  };

  Settings set;
  std::mt19937_64 rng;
  uint64_t now = 0;
  std::string failure;
  std::vector<Vm> vms;
  std::vector<std::unique_ptr<Op>> ops;
  std::vector<Head> heads; // all heads that the store has had, by version
  std::vector<std::string> history;
  uint64_t store_calls = 0;

  uint64_t
  RandomBetween (uint64_t lo, uint64_t hi)
  {
    return lo + rng () % (hi - lo + 1);
  }

  bool
  Chance (double p)
  {
    return p > 0 && (double)(rng () % 1000000) < p * 1e6;
  }

  size_t
  Count (sp_outcome outcome) const
  {
    size_t n = 0;
    for (auto &o : ops)
      n += o->outcome == outcome;
    return n;
  }

private:
  struct Event
  {
    uint64_t at;
    uint64_t order;
    std::function<void ()> run;
    bool
    operator<(const Event &o) const
    {
      return at != o.at ? at > o.at : order > o.order;
    }
  };
  std::priority_queue<Event> events;
  uint64_t order = 0;
  uint64_t revision = 0;
  std::map<std::string, std::string> stored; // values by hash
  std::vector<bool> store_up;                // by data centre
  bool outage = false;
  bool partitioned = false;
  bool faults_ended = false;

  void
  At (uint64_t at, std::function<void ()> run)
  {
    events.push ({ at, order++, std::move (run) });
  }

  void
  After (uint64_t us, std::function<void ()> run)
  {
    At (now + us, std::move (run));
  }

  void
  Fail (const std::string &why)
  {
    if (failure.empty ())
      failure = "at " + std::to_string (now) + " us: " + why;
  }

  // --- faults

  void
  Outage ()
  {
    if (faults_ended)
      return;
    outage = true;
    bool hanging = Chance (0.5);
    for (auto &v : vms)
      if (v.watching && !hanging)
        EndWatch (v, SP_UNAVAILABLE, false);
    After (RandomBetween (200000, 5000000), [this] {
      outage = false;
      After (RandomBetween (200000, 3000000), [this] { Outage (); });
    });
  }

  // Network partition: the data centres cannot reach each other; the store is
  // in the first.
  void
  Partition ()
  {
    if (faults_ended)
      return;
    partitioned = true;
    After (RandomBetween (200000, 5000000), [this] {
      partitioned = false;
      After (RandomBetween (200000, 3000000), [this] { Partition (); });
    });
  }

  void
  Kill ()
  {
    if (faults_ended)
      return;
    Vm &v = vms[rng () % vms.size ()];
    if (v.alive)
      {
        v.alive = false;
        v.watching = false;
        sp_destroy_vm (v.sp);
        v.sp = nullptr;
        Announce (v, false, 2800000);
        int index = v.index;
        After (RandomBetween (10000, 2000000), [this, index] {
          if (!vms[index].alive)
            Start (vms[index]);
        });
      }
    After (RandomBetween (50000, 2500000), [this] { Kill (); });
  }

  void
  EndFaults ()
  {
    faults_ended = true;
    outage = false;
    partitioned = false;
    for (auto &v : vms)
      if (!v.alive)
        Start (v);
  }

  bool
  StoreReachable (const Vm &v) const
  {
    return !outage && !(partitioned && v.centre != 0);
  }

  // --- membership and messages between VMs

  void
  Announce (const Vm &v, bool live, uint64_t lag)
  {
    int index = v.index;
    int incarnation = v.incarnation;
    for (auto &o : vms)
      {
        int other = o.index;
        After (RandomBetween (0, lag),
               [this, index, incarnation, other, live] {
                 // A report of an earlier incarnation has no effect.
                 if (vms[index].incarnation != incarnation)
                   return;
                 vms[other].believes_live[index] = live;
                 Members (vms[other]);
               });
      }
  }

  void
  Members (Vm &v)
  {
    if (!v.alive)
      return;
    std::vector<st_name> names;
    for (auto &o : vms)
      if (o.centre == v.centre
          && (v.believes_live[o.index] || o.index == v.index))
        names.push_back (Name (o.name));
    std::shuffle (names.begin (), names.end (), rng);
    sp_vm_set_members (v.sp, now, names.data (), names.size ());
    Pump (v);
  }

  void
  Start (Vm &v)
  {
    sp_vm_desc desc = {};
    desc.self = Name (v.name);
    desc.seed = rng ();
    desc.max_entries = (uint32_t)set.subtrees + 4;
    desc.max_members = (uint32_t)vms.size ();
    v.incarnation++;
    v.alive = true;
    v.version = 0;
    v.values.clear ();
    v.watching = false;
    v.sp = sp_make_vm (&desc, now);
    // The VM list lags: a new VM may believe dead VMs to be live.
    for (auto &o : vms)
      v.believes_live[o.index] = o.alive || now == 0 || Chance (0.5);
    if (now > 0)
      Announce (v, true, 1500000);
    int index = v.index;
    int incarnation = v.incarnation;
    for (auto &o : vms)
      if (!o.alive)
        {
          int other = o.index;
          int dead = o.incarnation;
          After (RandomBetween (0, 2800000),
                 [this, index, incarnation, other, dead] {
                   if (vms[index].incarnation == incarnation
                       && vms[other].incarnation == dead && !vms[other].alive)
                     {
                       vms[index].believes_live[other] = false;
                       Members (vms[index]);
                     }
                 });
        }
    Members (v);
    Tick (index, incarnation);
    After (RandomBetween (0, 500000),
           [this, index, incarnation] { Probe (index, incarnation); });
  }

  void
  Tick (int index, int incarnation)
  {
    Vm &v = vms[index];
    if (!v.alive || v.incarnation != incarnation)
      return;
    sp_vm_tick (v.sp, now);
    Pump (v);
    for (auto &o : ops)
      if (o->vm == index && o->incarnation == incarnation
          && o->outcome == SP_PENDING)
        {
          sp_change_tick (o->change, now);
          PumpOp (*o);
        }
    After (100000, [this, index, incarnation] { Tick (index, incarnation); });
  }

  Vm *
  Find (const st_name &name)
  {
    for (auto &v : vms)
      if (v.name == Text (name))
        return &v;
    return nullptr;
  }

  // Delivers a message after a random delay, unless it is lost.
  void
  Send (Vm &from, Vm &to, size_t bytes, std::function<void (Vm &)> deliver)
  {
    int index = to.index;
    int incarnation = to.incarnation;
    bool separated = partitioned && from.centre != to.centre;
    from.bytes_out += bytes;
    if (!to.alive || separated || (!faults_ended && Chance (set.faults.drop)))
      return;
    After (RandomBetween (100, from.centre == to.centre ? 1000 : 8000),
           [this, index, incarnation, bytes, deliver] {
             Vm &v = vms[index];
             if (!v.alive || v.incarnation != incarnation)
               return;
             v.bytes_in += bytes;
             deliver (v);
             Pump (v);
           });
  }

  void
  Probe (int index, int incarnation)
  {
    Vm &v = vms[index];
    if (!v.alive || v.incarnation != incarnation)
      return;
    std::vector<int> others;
    for (auto &o : vms)
      if (o.index != index && v.believes_live[o.index])
        others.push_back (o.index);
    if (!others.empty ())
      {
        Vm &to = vms[others[rng () % others.size ()]];
        uint64_t version = v.version;
        // The version is piggybacked on a probe, so it counts 9 bytes only.
        Send (v, to, 9, [this, index, version] (Vm &t) {
          st_name from = Name (vms[index].name);
          sp_vm_on_hint (t.sp, now, &from, version);
          uint64_t mine = t.version;
          st_name me = Name (t.name);
          Send (t, vms[index], 9, [this, me, mine] (Vm &prober) {
            sp_vm_on_hint (prober.sp, now, &me, mine);
          });
        });
      }
    After (500000, [this, index, incarnation] { Probe (index, incarnation); });
  }

  // Size of a head message in bytes: frame and array headers, then name, hash
  // and version of each entry.
  static size_t
  HeadBytes (size_t entries)
  {
    return 32 + entries * 70;
  }

  void
  SendHead (Vm &from, Vm &to, uint64_t since)
  {
    std::vector<sp_entry> entries (heads.back ().entries.size () + 1);
    Head h;
    h.version = from.version;
    entries.resize (
        sp_vm_list_entries (from.sp, since, entries.data (), entries.size ()));
    h.entries = entries;
    if (!faults_ended && Chance (set.faults.stale_head))
      {
        h = heads[rng () % (from.version + 1)];
        since = 0;
      }
    st_name me = Name (from.name);
    Send (from, to, HeadBytes (h.entries.size ()),
          [this, h, me, since] (Vm &t) {
            sp_source source = { SP_FROM_PEER, me };
            sp_head view = h.View ();
            view.revision = 0;
            sp_vm_on_head (t.sp, now, &source, &view, since);
          });
  }

  // --- store

  // Runs EFFECT at the store and ON_REPLY at the VM.  ON_REPLY receives
  // SP_LOST when there is no reply, or SP_UNAVAILABLE when the call had no
  // effect.
  void
  Call (Vm &v, bool write, std::function<void ()> effect,
        std::function<void (Vm &, sp_result)> on_reply)
  {
    int index = v.index;
    int incarnation = v.incarnation;
    bool faulty = !faults_ended;
    bool lose_reply = faulty && Chance (set.faults.lose_reply);
    bool late_write = lose_reply && write && Chance (set.faults.late_write);
    bool reachable = StoreReachable (v);
    uint64_t request_us = RandomBetween (200, 3000);
    uint64_t reply_us = RandomBetween (200, 3000);
    store_calls++;
    if (lose_reply)
      reply_us = RandomBetween (100000, 900000);
    if (late_write)
      request_us = RandomBetween (1000000, 4000000);
    auto reply = [this, index, incarnation, on_reply] (sp_result r) {
      Vm &t = vms[index];
      if (!t.alive || t.incarnation != incarnation)
        return;
      on_reply (t, r);
      Pump (t);
    };
    if (!reachable)
      {
        After (request_us + reply_us,
               [reply, write] { reply (write ? SP_LOST : SP_UNAVAILABLE); });
        return;
      }
    After (request_us, [effect] { effect (); });
    After (late_write ? reply_us : request_us + reply_us,
           [reply, lose_reply] { reply (lose_reply ? SP_LOST : SP_OK); });
  }

  void
  EndWatch (Vm &v, sp_result result, bool changed)
  {
    int index = v.index;
    int incarnation = v.incarnation;
    uint64_t sequence = v.watch_sequence;
    v.watching = false;
    After (RandomBetween (200, 3000),
           [this, index, incarnation, sequence, result, changed] {
             Vm &t = vms[index];
             if (!t.alive || t.incarnation != incarnation)
               return;
             sp_vm_on_watch (t.sp, now, sequence, result, changed);
             Pump (t);
           });
  }

  void
  HeadWritten ()
  {
    const Head &h = heads.back ();
    uint64_t version = h.version;
    const Head &before = heads[heads.size () - 2];
    if (version != before.version + 1)
      Fail ("the head jumped to version " + std::to_string (version));
    for (auto &r : h.records)
      if (r.version == version)
        {
          history.push_back (Text (r.id));
          // No change may overwrite one that its operator had not seen.
          std::string old;
          uint64_t changed = 0;
          for (auto &e : before.entries)
            if (Text (e.subtree) == Text (r.subtree))
              {
                old = e.hash.text;
                changed = e.changed;
              }
          uint64_t base = ops[std::stoul (Text (r.id).substr (1))]->base;
          if (old != r.before.text || changed > base)
            Fail ("change " + Text (r.id) + " overwrote an unseen one");
        }
    for (auto &v : vms)
      if (v.alive && v.watching && StoreReachable (v)
          && v.watch_revision < h.revision)
        EndWatch (v, SP_OK, true);
    At (std::max (now, set.fault_end_us) + 4000000, [this, version] {
      for (auto &v : vms)
        if (v.alive && v.version < version)
          {
            sp_vm_state s = sp_vm_query_state (v.sp);
            Fail (v.name + " has version " + std::to_string (v.version)
                  + " (target " + std::to_string (s.target) + ", missing "
                  + std::to_string (s.missing) + ", rank "
                  + std::to_string (s.rank) + ") 4 s after version "
                  + std::to_string (version));
          }
    });
  }

  // --- one VM

  void
  Pump (Vm &v)
  {
    sp_vm_action a;
    while (v.alive && sp_vm_next (v.sp, &a))
      Act (v, a);
  }

  void
  Act (Vm &v, const sp_vm_action &a)
  {
    switch (a.kind)
      {
      case SP_VM_WATCH:
        store_calls++;
        v.watch_sequence = a.sequence;
        v.watch_revision = a.revision;
        v.watching = true;
        if (!StoreReachable (v))
          EndWatch (v, SP_UNAVAILABLE, false);
        else if (heads.back ().revision > a.revision)
          EndWatch (v, SP_OK, true);
        break;
      case SP_VM_READ_HEAD:
        {
          auto head = std::make_shared<Head> ();
          uint64_t sequence = a.sequence;
          Call (
              v, false, [this, head] { *head = heads.back (); },
              [this, head, sequence] (Vm &t, sp_result r) {
                sp_source source = { SP_FROM_STORE, {} };
                sp_head view = head->View ();
                // Size in msgpack: names, 16-byte hashes, versions; then the
                // records.
                t.bytes_in += 64 + 48 * head->entries.size ()
                              + 120 * head->records.size ();
                if (r == SP_OK)
                  sp_vm_on_head (t.sp, now, &source, &view, 0);
                else
                  sp_vm_on_head_error (t.sp, now, sequence);
              });
          break;
        }
      case SP_VM_FETCH_HEAD:
        {
          Vm *peer = Find (a.peer);
          int index = v.index;
          uint64_t since = a.version;
          if (peer != nullptr)
            Send (v, *peer, 32, [this, index, since] (Vm &p) {
              if (vms[index].alive)
                SendHead (p, vms[index], since);
            });
          break;
        }
      case SP_VM_FETCH_VALUE:
        {
          Vm *peer = Find (a.peer);
          int index = v.index;
          sp_hash hash = a.hash;
          if (peer != nullptr)
            Send (v, *peer, 60, [this, index, hash] (Vm &p) {
              auto it = p.values.find (hash.text);
              st_name me = Name (p.name);
              if (!vms[index].alive)
                return;
              if (it == p.values.end ())
                Send (p, vms[index], 48, [this, hash, me] (Vm &t) {
                  sp_source source = { SP_FROM_PEER, me };
                  sp_vm_on_no_value (t.sp, now, &source, &hash);
                });
              else
                {
                  std::string value = it->second;
                  Send (p, vms[index], 48 + value.size (),
                        [this, hash, value] (Vm &t) {
                          t.values[hash.text] = value;
                          sp_vm_on_value (t.sp, now, &hash);
                        });
                }
            });
          break;
        }
      case SP_VM_READ_VALUE:
        {
          auto value = std::make_shared<std::string> ();
          sp_hash hash = a.hash;
          Call (
              v, false,
              [this, value, hash] {
                auto it = stored.find (hash.text);
                if (it == stored.end ())
                  Fail ("a head names a value that is not stored");
                else
                  *value = it->second;
              },
              [this, value, hash] (Vm &t, sp_result r) {
                sp_source source = { SP_FROM_STORE, {} };
                t.bytes_in += 48 + value->size ();
                if (r == SP_OK)
                  {
                    t.values[hash.text] = *value;
                    sp_vm_on_value (t.sp, now, &hash);
                  }
                else
                  sp_vm_on_no_value (t.sp, now, &source, &hash);
              });
          break;
        }
      case SP_VM_PUSH:
        {
          Vm *peer = Find (a.peer);
          if (peer != nullptr && a.version == v.version)
            SendHead (v, *peer, a.since);
          break;
        }
      case SP_VM_APPLY:
        Apply (v, a);
        break;
      }
  }

  void
  Apply (Vm &v, const sp_vm_action &a)
  {
    if (a.version <= v.version)
      Fail (v.name + " went back from " + std::to_string (v.version) + " to "
            + std::to_string (a.version));
    if (a.since != v.version)
      Fail (v.name + " skipped a version");
    v.version = a.version;
    if (a.version >= heads.size ())
      {
        Fail (v.name + " applied a version that was never written");
        return;
      }
    const Head &h = heads[a.version];
    std::vector<sp_entry> got (h.entries.size () + 4);
    got.resize (sp_vm_list_entries (v.sp, 0, got.data (), got.size ()));
    std::map<std::string, std::string> want;
    for (auto &e : h.entries)
      want[Text (e.subtree)] = e.hash.text;
    if (got.size () != want.size ())
      Fail (v.name + " applied a part of a version");
    for (auto &e : got)
      {
        if (want[Text (e.subtree)] != e.hash.text)
          Fail (v.name + " mixed two versions");
        if (!v.values.count (e.hash.text))
          Fail (v.name + " applied a version without its values");
      }
  }

  // --- operators

  void
  Operate ()
  {
    if (now >= set.fault_end_us)
      return;
    After (RandomBetween (set.operator_pause_us / 2,
                          set.operator_pause_us * 3 / 2),
           [this] { Operate (); });
    Vm &v = vms[rng () % vms.size ()];
    if (!v.alive || !sp_vm_query_state (v.sp).ready)
      return;
    auto op = std::make_unique<Op> ();
    sp_change_desc desc = {};
    op->id = "c" + std::to_string (ops.size ());
    op->vm = v.index;
    op->incarnation = v.incarnation;
    op->started = now;
    op->base = v.version;
    desc.id = Name (op->id);
    desc.who = Name ("op");
    desc.base_version = v.version;
    desc.limit_us = 5000000;
    desc.max_entries = (uint32_t)set.subtrees + 4;
    desc.subtree_count = 1 + rng () % 2;
    uint64_t first = rng () % (uint64_t)set.subtrees;
    for (size_t i = 0; i < desc.subtree_count; i++)
      desc.subtrees[i] = Name (
          "team/" + std::to_string ((first + i) % (uint64_t)set.subtrees));
    op->change = sp_make_change (&desc, now);
    ops.push_back (std::move (op));
    PumpOp (*ops.back ());
  }

  void
  PumpOp (Op &op)
  {
    sp_change_action a;
    while (op.outcome == SP_PENDING && vms[op.vm].alive
           && vms[op.vm].incarnation == op.incarnation
           && sp_change_next (op.change, &a))
      ActOp (op, a);
  }

  void
  ActOp (Op &op, const sp_change_action &a)
  {
    Vm &v = vms[op.vm];
    Op *o = &op;
    switch (a.kind)
      {
      case SP_CHANGE_READ_HEAD:
        {
          auto head = std::make_shared<Head> ();
          Call (
              v, false, [this, head] { *head = heads.back (); },
              [this, head, o] (Vm &, sp_result r) {
                sp_head view = head->View ();
                sp_change_on_head (
                    o->change, now,
                    r == SP_OK && head->version == 0 ? SP_NOT_FOUND : r,
                    &view);
                PumpOp (*o);
              });
          break;
        }
      case SP_CHANGE_PREPARE:
        {
          std::string value = a.before.text;
          value += "+" + op.id + "/" + std::to_string (a.index);
          value.resize (std::max (value.size (), set.value_bytes), '.');
          sp_hash after = Hash (value);
          op.values[a.index] = value;
          sp_change_on_prepared (op.change, now, a.index, SP_OK, &after);
          break;
        }
      case SP_CHANGE_WRITE_VALUE:
        {
          std::string value = op.values[a.index];
          std::string key = a.after.text;
          Call (
              v, true, [this, key, value] { stored[key] = value; },
              [this, o] (Vm &, sp_result r) {
                sp_change_on_written (o->change, now, r);
                PumpOp (*o);
              });
          break;
        }
      case SP_CHANGE_SWAP_HEAD:
        {
          auto next = std::make_shared<Head> (*a.head);
          auto result = std::make_shared<sp_result> (SP_CONFLICT);
          uint64_t expect = a.revision;
          Call (
              v, true,
              [this, next, result, expect] {
                if (heads.back ().revision != expect)
                  return;
                next->revision = ++revision;
                heads.push_back (*next);
                *result = SP_OK;
                HeadWritten ();
              },
              [this, next, result, o] (Vm &, sp_result r) {
                sp_change_on_swapped (o->change, now, r == SP_OK ? *result : r,
                                      next->revision);
                PumpOp (*o);
              });
          break;
        }
      case SP_CHANGE_FINISHED:
        Finish (op);
        break;
      }
  }

  void
  Finish (Op &op)
  {
    Vm &v = vms[op.vm];
    op.outcome = sp_change_query_outcome (op.change);
    op.ended = now;
    if (op.outcome != SP_ACCEPTED)
      return;
    uint64_t version = sp_change_query_version (op.change);
    if (version >= heads.size ())
      {
        Fail ("accepted at a version that was never written");
        return;
      }
    for (auto &it : op.values)
      v.values[Hash (it.second).text] = it.second;
    sp_source source = { SP_FROM_SELF, {} };
    sp_vm_on_head (v.sp, now, &source, sp_change_query_head (op.change), 0);
    for (auto &it : op.values)
      {
        sp_hash hash = Hash (it.second);
        sp_vm_on_value (v.sp, now, &hash);
      }
    Pump (v);
  }
};

uint64_t
FromEnvironment (const char *name, uint64_t fallback)
{
  const char *text = std::getenv (name);
  return text != nullptr ? std::strtoull (text, nullptr, 10) : fallback;
}

Settings
RandomSettings (uint64_t seed)
{
  std::mt19937_64 rng (seed * 7919 + 1);
  Settings s;
  s.seed = seed;
  s.vms = 2 + (int)(rng () % 7);
  s.centres = 1 + (int)(rng () % 3);
  s.centres = std::min (s.centres, s.vms);
  s.fault_end_us = 2000000 + rng () % 6000000;
  s.operator_pause_us = 100000 + rng () % 900000;
  s.faults.lose_reply = (double)(rng () % 3) * 0.1;
  s.faults.late_write = (double)(rng () % 3) * 0.3;
  s.faults.drop = (double)(rng () % 3) * 0.1;
  s.faults.stale_head = (double)(rng () % 2) * 0.3;
  s.faults.outages = rng () % 2;
  s.faults.restarts = rng () % 2;
  s.faults.partitions = rng () % 2;
  return s;
}

}

// Guards against an accepted change that is lost or overwritten, a refused one
// that takes effect, a VM that returns to an older version or mixes versions,
// and a VM that lacks a version 4 s after the faults have ended.  DB_SEED
// replays one schedule, DB_RUNS sets the number of schedules.
TEST (SpProperty, AcceptedChangesReachEveryVm)
{
  uint64_t first = FromEnvironment ("DB_SEED", 1);
  uint64_t runs = FromEnvironment (
      "DB_RUNS", std::getenv ("DB_SEED") != nullptr ? 1 : 10000);
  size_t outcomes[6] = {};
  for (uint64_t seed = first; seed < first + runs; seed++)
    {
      Settings s = RandomSettings (seed);
      World w (s);
      w.Run (s.fault_end_us + 12000000);
      for (int i = 0; i < 6; i++)
        outcomes[i] += w.Count ((sp_outcome)i);
      ASSERT_EQ (w.failure, "") << "replay with DB_SEED=" << seed;
    }
  std::printf ("schedules %llu: accepted %zu, conflicts %zu, refused %zu, "
               "unknown %zu, operator's VM lost %zu\n",
               (unsigned long long)runs, outcomes[SP_ACCEPTED],
               outcomes[SP_CONFLICTED], outcomes[SP_REFUSED],
               outcomes[SP_UNKNOWN], outcomes[SP_PENDING]);
}

// Guards against traffic and store calls above the limits at the design load:
// 74,000 changes a day, 155 VMs in a data centre, 240 subtrees, 8 KB/s for
// each VM for all control traffic.
TEST (Sp, BytesAtDesignLoad)
{
  Settings s;
  s.seed = 5;
  s.vms = 155;
  s.centres = 1;
  s.operators = 1;
  s.subtrees = 240;
  s.value_bytes = 600;
  s.operator_pause_us = 100000;
  s.fault_end_us = 185000000;
  // All subtrees are written first, so that heads have their full length.
  World w (s);
  w.Run (60000000);
  w.set.operator_pause_us = 1167568; // 86,400 s / 74,000
  w.Run (65000000);
  uint64_t calls = w.store_calls;
  size_t versions = w.heads.size ();
  for (auto &v : w.vms)
    v.bytes_in = v.bytes_out = 0;
  w.Run (185000000);
  ASSERT_EQ (w.failure, "");
  double seconds = 120;
  double changes = (double)(w.heads.size () - versions);
  uint64_t total = 0;
  uint64_t top = 0;
  for (auto &v : w.vms)
    {
      total += v.bytes_in;
      top = std::max (top, std::max (v.bytes_in, v.bytes_out));
    }
  double mean_rate = (double)total / 155 / seconds;
  double max_rate = (double)top / seconds;
  std::printf ("%.2f changes/s, %zu subtrees in the head: %.0f bytes per "
               "change and VM, %.0f B/s per VM on average, %.0f B/s at most, "
               "%.1f store calls per change\n",
               changes / seconds, w.heads.back ().entries.size (),
               (double)total / 155 / changes, mean_rate, max_rate,
               (double)(w.store_calls - calls) / changes);
  EXPECT_LT (mean_rate, 2000);
  EXPECT_LT (max_rate, 8000);
}

namespace
{

sp_vm *
MakeVm (const char *name, std::vector<std::string> members)
{
  sp_vm_desc desc = {};
  desc.self = Name (name);
  sp_vm *vm = sp_make_vm (&desc, 0);
  std::vector<st_name> names;
  for (auto &m : members)
    names.push_back (Name (m));
  sp_vm_set_members (vm, 0, names.data (), names.size ());
  return vm;
}

std::vector<sp_vm_action>
Drain (sp_vm *vm)
{
  std::vector<sp_vm_action> out;
  sp_vm_action a;
  while (sp_vm_next (vm, &a))
    out.push_back (a);
  return out;
}

size_t
CountKind (const std::vector<sp_vm_action> &actions, sp_vm_action_kind kind)
{
  size_t n = 0;
  for (auto &a : actions)
    n += a.kind == kind;
  return n;
}

Head
OneEntry (uint64_t version, const char *value)
{
  Head h;
  h.version = version;
  h.entries.push_back ({ version, Name ("root"), Hash (value) });
  return h;
}

}

// Guards against a VM that becomes ready without settings, in a store outage
// and without peers.
TEST (Sp, NotReadyWithoutStoreAndPeers)
{
  sp_vm *vm = MakeVm ("a", { "a" });
  for (uint64_t t = 0; t < 20000000; t += 100000)
    {
      sp_vm_tick (vm, t);
      for (auto &a : Drain (vm))
        if (a.kind == SP_VM_READ_HEAD)
          sp_vm_on_head_error (vm, t, a.sequence);
      ASSERT_FALSE (sp_vm_query_state (vm).ready);
    }
  // The store is available again and holds no settings: the defaults apply.
  sp_source store = { SP_FROM_STORE, {} };
  Head empty;
  sp_head view = empty.View ();
  sp_vm_on_head (vm, 20000000, &store, &view, 0);
  EXPECT_TRUE (sp_vm_query_state (vm).ready);
  sp_destroy_vm (vm);
}

// Guards against a VM that cannot start in a store outage although a peer has
// the settings, and against one that takes the first peer's older version for
// the newest.
TEST (Sp, StartsFromPeersInAnOutage)
{
  sp_vm *vm = MakeVm ("a", { "a", "b", "c" });
  sp_vm_tick (vm, 0);
  for (auto &a : Drain (vm))
    if (a.kind == SP_VM_READ_HEAD)
      sp_vm_on_head_error (vm, 1000, a.sequence);
  sp_source b = { SP_FROM_PEER, Name ("b") };
  sp_source c = { SP_FROM_PEER, Name ("c") };
  Head old = OneEntry (3, "old");
  Head newer = OneEntry (5, "fresh");
  sp_head view = old.View ();
  sp_vm_on_head (vm, 2000, &b, &view, 0);
  sp_hash hash = Hash ("old");
  sp_vm_on_value (vm, 3000, &hash);
  EXPECT_FALSE (sp_vm_query_state (vm).ready);
  view = newer.View ();
  sp_vm_on_head (vm, 4000, &c, &view, 0);
  hash = Hash ("fresh");
  sp_vm_on_value (vm, 5000, &hash);
  EXPECT_EQ (sp_vm_query_state (vm).version, 5u);
  sp_vm_tick (vm, 700000);
  EXPECT_TRUE (sp_vm_query_state (vm).ready);
  // Receiving the old head again has no effect.
  Drain (vm);
  view = old.View ();
  sp_vm_on_head (vm, 800000, &b, &view, 0);
  EXPECT_EQ (sp_vm_query_state (vm).version, 5u);
  EXPECT_EQ (CountKind (Drain (vm), SP_VM_APPLY), 0u);
  sp_destroy_vm (vm);
}

// Guards against values read from the store although a peer has them, and
// against a difference that is applied although versions before it are
// missing.
TEST (Sp, PeersBeforeStoreAndNoGaps)
{
  std::vector<std::string> names;
  for (int i = 0; i < 9; i++)
    names.push_back ("m" + std::to_string (i));
  sp_vm *vm = nullptr;
  for (auto &n : names)
    {
      vm = MakeVm (n.c_str (), names);
      if (!sp_vm_query_state (vm).watcher)
        break;
      sp_destroy_vm (vm);
      vm = nullptr;
    }
  ASSERT_NE (vm, nullptr);
  sp_source store = { SP_FROM_STORE, {} };
  sp_source peer = { SP_FROM_PEER, Name ("m0") };
  Head empty;
  sp_head view = empty.View ();
  sp_vm_on_head (vm, 0, &store, &view, 0);
  ASSERT_TRUE (sp_vm_query_state (vm).ready);
  Drain (vm);
  Head delta = OneEntry (8, "x");
  view = delta.View ();
  sp_vm_on_head (vm, 1000, &peer, &view, 7);
  auto actions = Drain (vm);
  EXPECT_EQ (CountKind (actions, SP_VM_FETCH_HEAD), 1u);
  EXPECT_EQ (sp_vm_query_state (vm).target, 0u);
  sp_vm_on_head (vm, 2000, &peer, &view, 0);
  actions = Drain (vm);
  EXPECT_EQ (CountKind (actions, SP_VM_FETCH_VALUE), 1u);
  EXPECT_EQ (CountKind (actions, SP_VM_READ_VALUE), 0u);
  sp_hash hash = Hash ("x");
  sp_vm_on_no_value (vm, 3000, &peer, &hash);
  EXPECT_EQ (CountKind (Drain (vm), SP_VM_FETCH_VALUE), 1u);
  sp_vm_on_no_value (vm, 4000, &peer, &hash);
  EXPECT_EQ (CountKind (Drain (vm), SP_VM_READ_VALUE), 1u);
  sp_vm_on_value (vm, 5000, &hash);
  EXPECT_EQ (CountKind (Drain (vm), SP_VM_APPLY), 1u);
  sp_destroy_vm (vm);
}

// Guards against a malformed entry in a head that leaves a VM waiting for a
// value for ever.
TEST (Sp, IgnoresMalformedHead)
{
  sp_vm *vm = MakeVm ("a", { "a", "b" });
  sp_source peer = { SP_FROM_PEER, Name ("b") };
  Head h = OneEntry (3, "x");
  h.entries[0].changed = 0;
  sp_head view = h.View ();
  sp_vm_on_head (vm, 0, &peer, &view, 0);
  h.entries[0].changed = 4;
  view = h.View ();
  sp_vm_on_head (vm, 0, &peer, &view, 0);
  EXPECT_EQ (sp_vm_query_state (vm).target, 0u);
  sp_destroy_vm (vm);
}

// Guards against a conflict that does not report what was changed, and against
// a conflict with a change of another subtree.
TEST (Sp, ConflictReportsWhatChanged)
{
  for (bool same_subtree : { true, false })
    {
      sp_change_desc desc = {};
      desc.id = Name ("mine");
      desc.base_version = 4;
      desc.subtree_count = 1;
      desc.subtrees[0] = Name (same_subtree ? "root" : "team/night");
      sp_change *c = sp_make_change (&desc, 0);
      Head h = OneEntry (5, "x");
      h.revision = 9;
      h.records.push_back ({ 5, 0, Name ("theirs"), Name ("other"),
                             Name ("root"), Hash ("w"), Hash ("x") });
      sp_change_action a;
      ASSERT_TRUE (sp_change_next (c, &a));
      sp_head view = h.View ();
      sp_change_on_head (c, 0, SP_OK, &view);
      ASSERT_TRUE (sp_change_next (c, &a));
      if (same_subtree)
        {
          EXPECT_EQ (a.kind, SP_CHANGE_FINISHED);
          EXPECT_EQ (sp_change_query_outcome (c), SP_CONFLICTED);
          const sp_head *seen = sp_change_query_head (c);
          ASSERT_EQ (seen->record_count, 1u);
          EXPECT_EQ (Text (seen->records[0].who), "other");
        }
      else
        EXPECT_EQ (a.kind, SP_CHANGE_PREPARE);
      sp_destroy_change (c);
    }
}

// Guards against a VM that hears of a change from peers that do not answer its
// fetches, and never reads the head from the store because others watch it.
TEST (Sp, AVmWhosePeersDoNotAnswerReadsTheHead)
{
  const uint64_t ms = 1000;
  std::vector<std::string> members;
  for (int i = 0; i < 10; i++)
    members.push_back ("vm" + std::to_string (i));
  for (auto &name : members)
    {
      sp_vm *vm = MakeVm (name.c_str (), members);
      Head h = OneEntry (1, "x");
      sp_head view = h.View ();
      sp_source store = {};
      store.kind = SP_FROM_STORE;
      sp_vm_tick (vm, 0);
      Drain (vm);
      sp_vm_on_head (vm, 0, &store, &view, 0);
      size_t reads = 0;
      st_name peer = Name (name == "vm0" ? "vm1" : "vm0");
      for (uint64_t t = 100 * ms; t < 4000 * ms; t += 100 * ms)
        {
          if (t % (500 * ms) == 0)
            sp_vm_on_hint (vm, t, &peer, 2);
          sp_vm_tick (vm, t);
          reads += CountKind (Drain (vm), SP_VM_READ_HEAD);
        }
      if (!sp_vm_query_state (vm).watcher)
        {
          EXPECT_GE (reads, 1u) << name;
          EXPECT_LE (reads, 4u) << name;
        }
      sp_destroy_vm (vm);
    }
}
