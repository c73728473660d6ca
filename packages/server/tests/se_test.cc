#include "se.h"

#include <cstdlib>
#include <event2/buffer.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <sodium.h>
#include <string>
#include <vector>

namespace
{

struct Result
{
  er_kind kind = ER_OK;
  bool ended = false;
  uint64_t version = 0;
  std::string message;
  std::string changed;
};

class Fleet;

// One settings task with its own platform client.
struct Vm
{
  Fleet *fleet = nullptr;
  std::string name, incarnation, centre;
  pf_platform *platform = nullptr;
  se_task *se = nullptr;
  std::map<uint64_t, Result> results;
  std::string history;
  uint64_t applied = 0;
};

// Settings tasks with one in-memory store and messages encoded as on the wire.
class Fleet
{
public:
  explicit Fleet (int count) : rng (7)
  {
    EXPECT_GE (sodium_init (), 0);
    memory = pf_memory_make ();
    pf_memory_faults (memory)->delay_us = 2000;
    decoder = ms_make_decoder ();
    for (int i = 0; i < count; i++)
      Start ("vm" + std::to_string (i), i % 2 == 0 ? "east" : "west");
  }

  ~Fleet ()
  {
    for (auto &v : vms)
      Stop (*v);
    ms_destroy_decoder (decoder);
    pf_memory_destroy (memory);
  }

  Vm &
  Start (const std::string &name, const std::string &centre)
  {
    vms.push_back (std::make_unique<Vm> ());
    Vm &v = *vms.back ();
    v.fleet = this;
    v.name = name;
    v.centre = centre;
    v.incarnation = name + "-" + std::to_string (1000 + starts++);
    pf_desc pd = {};
    pd.driver = PF_MEMORY;
    pd.memory = memory;
    er_error err = {};
    v.platform = pf_make (&pd, &err);
    se_desc d = {};
    d.platform = v.platform;
    d.name = { v.name.data (), v.name.size () };
    d.data_center = { v.centre.data (), v.centre.size () };
    d.seed = rng ();
    d.user = &v;
    d.send = Send;
    d.on_applied = [] (void *user, uint64_t version) {
      Vm *vm = (Vm *)user;
      EXPECT_GT (version, vm->applied) << vm->name;
      vm->applied = version;
    };
    d.on_finished = Finished;
    d.on_history = [] (void *user, uint64_t, const json_t *list,
                       const er_error *e) {
      char *text = list != nullptr ? json_dumps (list, 0) : nullptr;
      ((Vm *)user)->history = text != nullptr ? text : er_kind_name (e->kind);
      free (text);
    };
    v.se = se_make (&d, Now ());
    Members ();
    return v;
  }

  void
  Stop (Vm &v)
  {
    se_destroy (v.se);
    pf_destroy (v.platform);
    v.se = nullptr;
    v.platform = nullptr;
  }

  void
  Kill (size_t index)
  {
    Stop (*vms[index]);
    vms.erase (vms.begin () + (long)index);
    Members ();
  }

  void
  Members ()
  {
    std::vector<se_member> list;
    for (auto &v : vms)
      list.push_back ({ { v->name.data (), v->name.size () },
                        { v->incarnation.data (), v->incarnation.size () },
                        { v->centre.data (), v->centre.size () },
                        false });
    for (auto &v : vms)
      if (v->se != nullptr)
        se_set_members (v->se, list.data (), list.size ());
  }

  uint64_t
  Now ()
  {
    return ck_now_us (pf_memory_clock (memory));
  }

  void
  Run (uint64_t ms)
  {
    for (uint64_t i = 0; i < ms; i += 10)
      {
        ck_advance_us (pf_memory_clock (memory), 10000);
        pf_memory_run (memory);
        Deliver ();
        for (auto &v : vms)
          se_tick (v->se, Now (), 1700000000000 + Now () / 1000);
        Deliver ();
        if (++ticks % 50 == 0)
          Probe ();
      }
  }

  uint64_t
  Submit (size_t index, uint64_t base, const char *path, const char *key,
          const char *value, const char *who = "root")
  {
    sx_edit edit = { path, key, value };
    aa_change change = { base, &edit, 1, who };
    uint64_t ticket = ++tickets;
    vms[index]->results[ticket] = Result ();
    se_submit (vms[index]->se, ticket, &change);
    return ticket;
  }

  // Value of KEY at PATH on all VMs; "mixed" when they differ.
  std::string
  Everywhere (const char *path, const char *key)
  {
    std::string all;
    for (auto &v : vms)
      {
        char value[SK_TEXT_MAX];
        char level[SX_PATH_MAX];
        er_error err = {};
        EXPECT_TRUE (sx_explain (se_query_tree (v->se, nullptr),
                                 st_from_cstr (path), st_from_cstr (key),
                                 value, level, &err));
        if (all.empty ())
          all = value;
        else if (all != value)
          return "mixed";
      }
    return all;
  }

  pf_memory *memory;
  std::vector<std::unique_ptr<Vm>> vms;
  size_t messages = 0;
  bool lose_messages = false;

private:
  struct Message
  {
    std::string to, from;
    struct evbuffer *bytes;
  };
  std::vector<Message> queue;
  ms_decoder *decoder;
  std::mt19937_64 rng;
  uint64_t ticks = 0;
  uint64_t tickets = 0;
  uint64_t starts = 0;

  static bool
  Send (void *user, st_str to, const ms_message *m)
  {
    Vm *v = (Vm *)user;
    struct evbuffer *out = evbuffer_new ();
    er_error err = {};
    EXPECT_TRUE (ms_encode (out, m, &err)) << err.message;
    v->fleet->queue.push_back (
        { std::string (to.ptr, to.len), v->incarnation, out });
    v->fleet->messages++;
    return true;
  }

  static void
  Finished (void *user, uint64_t ticket, const aa_result *result)
  {
    Result &r = ((Vm *)user)->results[ticket];
    EXPECT_FALSE (r.ended) << "a change was finished twice";
    r.ended = true;
    r.kind = result->err.kind;
    r.version = result->version;
    r.message = result->err.message;
    char *text = result->changed != nullptr ? json_dumps (result->changed, 0)
                                            : nullptr;
    r.changed = text != nullptr ? text : "";
    free (text);
  }

  void
  Deliver ()
  {
    for (int round = 0; round < 20 && !queue.empty (); round++)
      {
        std::vector<Message> now;
        now.swap (queue);
        for (auto &m : now)
          {
            for (auto &v : vms)
              if (v->incarnation == m.to && !lose_messages)
                {
                  fr_frame frame;
                  ms_message msg;
                  er_error err = {};
                  ASSERT_EQ (fr_decode (m.bytes, &frame, &err), FR_FRAME);
                  ASSERT_TRUE (ms_decode (decoder, &frame, &msg, &err))
                      << err.message;
                  se_on_message (v->se, { m.from.data (), m.from.size () },
                                 &msg);
                }
            evbuffer_free (m.bytes);
          }
      }
  }

  void
  Probe ()
  {
    if (vms.size () < 2 || lose_messages)
      return;
    for (size_t i = 0; i < vms.size (); i++)
      {
        size_t to = (i + 1 + rng () % (vms.size () - 1)) % vms.size ();
        const std::string &a = vms[i]->incarnation;
        const std::string &b = vms[to]->incarnation;
        se_on_version (vms[to]->se, { a.data (), a.size () },
                       se_query_version (vms[i]->se));
        se_on_version (vms[i]->se, { b.data (), b.size () },
                       se_query_version (vms[to]->se));
      }
  }
};

}

// Guards against a change that is in force on some VMs only.
TEST (Se, AcceptedChangeIsInForceEverywhere)
{
  Fleet f (7);
  f.Run (1000);
  for (auto &v : f.vms)
    ASSERT_TRUE (se_query_ready (v->se));
  uint64_t t = f.Submit (3, 0, "root", "deadline_ms", "5s");
  f.Run (4000);
  EXPECT_TRUE (f.vms[3]->results[t].ended);
  EXPECT_EQ (f.vms[3]->results[t].kind, ER_OK);
  EXPECT_EQ (f.vms[3]->results[t].version, 1u);
  EXPECT_EQ (f.Everywhere ("root", "deadline_ms"), "5000");
  t = f.Submit (6, 1, "team/night", "share.weight", "9");
  f.Run (4000);
  EXPECT_EQ (f.vms[6]->results[t].kind, ER_OK);
  EXPECT_EQ (f.Everywhere ("team/night", "share.weight"), "9");
  EXPECT_EQ (f.Everywhere ("team/night", "deadline_ms"), "5000");
  se_read_history (f.vms[0]->se, 1);
  f.Run (100);
  EXPECT_NE (f.vms[0]->history.find ("team/night"), std::string::npos);
}

// Guards against two concurrent changes of which both, or none, are accepted,
// and against a refused operator who does not receive what was changed.
TEST (Se, TwoOperatorsAtOnce)
{
  Fleet f (5);
  f.Run (1000);
  for (int round = 0; round < 20; round++)
    {
      uint64_t base = se_query_version (f.vms[0]->se);
      uint64_t a = f.Submit (0, base, "root", "deadline_ms",
                             std::to_string (1000 + round).c_str (), "root/a");
      uint64_t b = f.Submit (1, base, "root", "deadline_ms",
                             std::to_string (2000 + round).c_str (), "root/b");
      f.Run (4000);
      Result &ra = f.vms[0]->results[a];
      Result &rb = f.vms[1]->results[b];
      ASSERT_TRUE (ra.ended && rb.ended);
      ASSERT_NE (ra.kind == ER_OK, rb.kind == ER_OK);
      const Result &loser = ra.kind == ER_OK ? rb : ra;
      EXPECT_EQ (loser.kind, ER_CONFLICT);
      EXPECT_NE (loser.changed.find (ra.kind == ER_OK ? "root/a" : "root/b"),
                 std::string::npos)
          << loser.changed;
      EXPECT_EQ (f.Everywhere ("root", "deadline_ms"),
                 std::to_string ((ra.kind == ER_OK ? 1000 : 2000) + round));
    }
}

// Guards against a conflict between changes of two subtrees.
TEST (Se, ChangesOfDifferentSubtreesAreBothAccepted)
{
  Fleet f (3);
  f.Run (1000);
  uint64_t a = f.Submit (0, 0, "team/a", "share.weight", "2");
  uint64_t b = f.Submit (1, 0, "team/b", "share.weight", "3");
  f.Run (4000);
  EXPECT_EQ (f.vms[0]->results[a].kind, ER_OK);
  EXPECT_EQ (f.vms[1]->results[b].kind, ER_OK);
  EXPECT_EQ (f.Everywhere ("team/a", "share.weight"), "2");
  EXPECT_EQ (f.Everywhere ("team/b", "share.weight"), "3");
}

// Guards against a lost reply of the store after which a change is applied
// twice, lost or unknown.
TEST (Se, LostRepliesAreReadBack)
{
  for (uint32_t lost = 1; lost <= 3; lost++)
    {
      Fleet f (3);
      f.Run (1000);
      pf_memory_faults (f.memory)->lose_answer = lost;
      uint64_t t = f.Submit (0, 0, "root", "deadline_ms", "5s");
      f.Run (9000);
      EXPECT_EQ (f.vms[0]->results[t].kind, ER_OK) << lost;
      EXPECT_EQ (f.vms[0]->results[t].version, 1u) << lost;
      EXPECT_EQ (f.Everywhere ("root", "deadline_ms"), "5000");
    }
}

// Guards against an outage that loses an accepted change, leaves VMs with old
// settings for more than 4 s after its end, or accepts a change without the
// store; and against a VM that cannot start from its peers.
TEST (Se, SurvivesStoreOutage)
{
  Fleet f (5);
  f.Run (1000);
  uint64_t t = f.Submit (0, 0, "root", "deadline_ms", "5s");
  f.Run (50);
  ASSERT_TRUE (f.vms[0]->results[t].ended);
  pf_memory_faults (f.memory)->outage = true;
  f.Run (4000);
  // The accepting VM sends the change to its peers without the store.
  EXPECT_EQ (f.Everywhere ("root", "deadline_ms"), "5000");
  uint64_t refused = f.Submit (1, 1, "root", "deadline_ms", "6s");
  f.Run (12000);
  EXPECT_EQ (f.vms[1]->results[refused].kind, ER_UNAVAILABLE);
  Vm &fresh = f.Start ("vm9", "west");
  f.Run (2000);
  EXPECT_TRUE (se_query_ready (fresh.se));
  EXPECT_EQ (f.Everywhere ("root", "deadline_ms"), "5000");
  se_read_history (f.vms[0]->se, 1);
  f.Run (100);
  EXPECT_EQ (f.vms[0]->history, "unavailable");
  pf_memory_faults (f.memory)->outage = false;
  f.Run (4000);
  t = f.Submit (2, 1, "root", "deadline_ms", "7s");
  f.Run (4000);
  EXPECT_EQ (f.vms[2]->results[t].kind, ER_OK);
  EXPECT_EQ (f.Everywhere ("root", "deadline_ms"), "7000");
}

// Guards against a VM that is ready without settings.
TEST (Se, NotReadyInAnOutageAlone)
{
  Fleet f (1);
  pf_memory_faults (f.memory)->outage = true;
  f.Run (5000);
  EXPECT_FALSE (se_query_ready (f.vms[0]->se));
  uint64_t t = f.Submit (0, 0, "root", "deadline_ms", "5s");
  EXPECT_EQ (f.vms[0]->results[t].kind, ER_UNAVAILABLE);
  pf_memory_faults (f.memory)->outage = false;
  f.Run (4000);
  EXPECT_TRUE (se_query_ready (f.vms[0]->se));
}

// Guards against settings that are lost when all VMs are restarted, and
// against watchers that are not replaced.
TEST (Se, SurvivesRestarts)
{
  Fleet f (5);
  f.Run (1000);
  uint64_t version = 0;
  for (int round = 0; round < 12; round++)
    {
      std::string value = std::to_string (1000 + round);
      uint64_t t
          = f.Submit (0, version, "root", "deadline_ms", value.c_str ());
      f.Run (200);
      ASSERT_EQ (f.vms[0]->results[t].kind, ER_OK) << round;
      version = f.vms[0]->results[t].version;
      f.Kill (0);
      f.Start ("vm" + std::to_string (round % 5),
               round % 2 == 0 ? "east" : "west");
      f.Run (4000);
      ASSERT_EQ (f.Everywhere ("root", "deadline_ms"), value) << round;
    }
}

// Guards against an edit that breaks a rule and is accepted.
TEST (Se, InvalidEditIsRefused)
{
  Fleet f (2);
  f.Run (1000);
  uint64_t t = f.Submit (0, 0, "root", "deadline_ms", "2h");
  f.Run (1000);
  EXPECT_EQ (f.vms[0]->results[t].kind, ER_INVALID);
  EXPECT_NE (f.vms[0]->results[t].message.find ("deadline_max_ms"),
             std::string::npos);
  json_t *moves = se_query_operations (f.vms[0]->se);
  ASSERT_EQ (json_array_size (moves), 1u);
  EXPECT_STREQ (
      json_string_value (json_object_get (json_array_get (moves, 0), "state")),
      "taken_back");
  json_decref (moves);
  EXPECT_EQ (se_query_version (f.vms[0]->se), 0u);
}

// Guards against a corrupted head that crashes a VM or is applied.
TEST (Se, MalformedHeadIsRefused)
{
  sp_entry entry = {};
  entry.changed = 3;
  st_name_set (&entry.subtree, ST_LIT ("team/night"));
  sx_hash (ST_LIT ("x"), entry.hash.text);
  sp_record record = {};
  record.version = 3;
  st_name_set (&record.id, ST_LIT ("c1"));
  record.after = entry.hash;
  sp_head head = { 3, 0, 1, &entry, 1, &record };
  char *bytes = nullptr;
  size_t len = 0;
  ASSERT_TRUE (se_encode_head (&head, &bytes, &len));
  sp_entry entries[4];
  sp_record records[SP_RECORDS_MAX];
  sp_head got;
  ASSERT_TRUE (se_decode_head ({ bytes, len }, entries, 4, records, &got));
  EXPECT_EQ (got.version, 3u);
  ASSERT_EQ (got.entry_count, 1u);
  EXPECT_STREQ (got.entries[0].hash.text, entry.hash.text);
  ASSERT_EQ (got.record_count, 1u);
  EXPECT_STREQ (got.records[0].before.text, "");
  for (size_t cut = 0; cut < len; cut++)
    EXPECT_FALSE (se_decode_head ({ bytes, cut }, entries, 4, records, &got));
  std::mt19937 rng (3);
  for (int i = 0; i < 20000; i++)
    {
      std::string copy (bytes, len);
      copy[rng () % len] = (char)rng ();
      copy[rng () % len] = (char)rng ();
      bool ok = se_decode_head ({ copy.data (), copy.size () }, entries, 4,
                                records, &got);
      EXPECT_TRUE (!ok || got.entry_count <= 4);
    }
  EXPECT_FALSE (se_decode_head ({ bytes, len }, entries, 0, records, &got));
  // An array that claims 2^32 - 1 items must not be allocated.
  EXPECT_FALSE (se_decode_head (ST_LIT ("\x94\x01\x03\xdd\xff\xff\xff\xff"),
                                entries, 4, records, &got));
  g_free (bytes);
}
