/* Property tests of the cell scheduler over random event schedules.

   DB_SEED=N starts at schedule N, DB_RUNS=N sets the number of schedules.  A
   failure prints the seed of its schedule; DB_SEED with that seed and
   DB_RUNS=1 replays it.  */
#include "cs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

const uint64_t US_PER_MS = 1000;
const uint64_t AGE_BOUND_US = 2000 * US_PER_MS;
const uint32_t STRICT_TIERS = 2;

uint64_t
from_environment (const char *name, uint64_t default_value)
{
  const char *text = getenv (name);
  return text != nullptr ? strtoull (text, nullptr, 10) : default_value;
}

struct Engine
{
  std::string name;
  id_handle id = 0;
  std::vector<uint64_t> versions;
  uint32_t slots = 0;
  bool leaving = false;
  bool removed = false;
  bool refused = false; /* has not admitted a request */

  bool
  accepts (uint64_t version) const
  {
    return !removed && !leaving
           && (version == 0
               || std::find (versions.begin (), versions.end (), version)
                      != versions.end ());
  }
};

enum State
{
  WAITING,
  RUNNING,
  STOPPING
};

struct Request
{
  cs_request q = {};
  State state = WAITING;
  uint64_t submit_us = 0;
  uint64_t seq = 0;
  size_t engine = 0;
  bool unconstrained = false; /* short, no deadline */
};

/* One random schedule, with a model of the permitted decisions.  */
struct Schedule
{
  uint64_t seed;
  std::mt19937_64 random;
  cs_cell *cs = nullptr;
  cs_desc desc = {};
  uint64_t now_us = 1000000;
  std::vector<Engine> engines;
  std::map<uint64_t, Request> open;
  std::set<uint64_t> ended;
  uint64_t next_id = 1, seq = 0;
  uint64_t submitted = 0, granted = 0, refused = 0, cancelled = 0, done = 0;
  uint64_t stopped = 0;
  bool with_loads, with_deadlines, with_restored_grants;
  std::string fault;

  explicit Schedule (uint64_t s) : seed (s), random (s)
  {
    desc.max_engines = 8;
    desc.max_waiting = 4 + pick (28);
    desc.max_running = 64;
    desc.max_teams = 4;
    desc.max_prefixes = 64;
    desc.age_bound_us = AGE_BOUND_US;
    desc.age_step_us = 500 * US_PER_MS;
    desc.quantum_tokens = 256;
    if (pick (4) == 0)
      desc.headroom_percent = CS_NONE;
    if (pick (8) == 0)
      desc.collect_until_us = now_us + 500 * US_PER_MS;
    with_loads = pick (2) == 0;
    with_deadlines = pick (2) == 0;
    with_restored_grants = pick (4) == 0;
    cs = cs_make (&desc);
    unsigned n = 1 + pick (4);
    for (unsigned i = 0; i < n; i++)
      add_engine ();
  }
  Schedule (const Schedule &) = delete;
  Schedule &operator= (const Schedule &) = delete;
  ~Schedule () { cs_destroy (cs); }

  uint64_t
  pick (uint64_t below)
  {
    return random () % below;
  }

  void
  fail (const std::string &what)
  {
    if (fault.empty ())
      fault = what + " at " + std::to_string (now_us) + " us";
  }

  cs_engine_desc
  engine_desc (const Engine &e) const
  {
    cs_engine_desc d = {};
    d.name = st_from_cstr (e.name.c_str ());
    d.versions = e.versions.data ();
    d.version_count = (uint32_t)e.versions.size ();
    d.slots = e.slots;
    d.leaving = e.leaving;
    return d;
  }

  void
  add_engine ()
  {
    Engine e;
    e.name = "engine-" + std::to_string (engines.size ());
    e.slots = 1 + (uint32_t)pick (6);
    for (uint64_t v = 1; v <= 2; v++)
      if (pick (3) != 0)
        e.versions.push_back (v);
    cs_engine_desc d = engine_desc (e);
    if (pick (2) == 0)
      d.prefill_tokens_s = 2000.0 * (double)(1 + pick (8));
    e.id = cs_make_engine (cs, &d, now_us);
    if (e.id != 0)
      engines.push_back (e);
  }

  uint32_t
  running_on (size_t engine) const
  {
    uint32_t n = 0;
    for (auto &[id, r] : open)
      n += r.state != WAITING && r.engine == engine;
    return n;
  }

  size_t
  engine_of (id_handle id) const
  {
    for (size_t i = 0; i < engines.size (); i++)
      if (engines[i].id == id)
        return i;
    return SIZE_MAX;
  }

  /* True when there is lower-tier work that Q could replace.  */
  bool
  has_lower_tier_work (const cs_request &q, bool waiting) const
  {
    for (auto &[id, r] : open)
      {
        if (r.q.tier <= q.tier)
          continue;
        if (r.state == WAITING && waiting)
          return true;
        if (r.state == RUNNING && engines[r.engine].accepts (q.version))
          return true;
      }
    return false;
  }

  bool
  idle_engine_meets_deadline (const cs_request &q) const
  {
    for (auto &e : engines)
      {
        cs_engine_view v;
        if (!e.accepts (q.version) || !cs_query_engine (cs, e.id, &v))
          continue;
        double us = (double)v.base_us
                    + q.prompt_tokens * 1e6 / v.prefill_tokens_s
                    + q.expected_tokens * ((double)v.batch1_itl_us + 1);
        /* The view rounds times to whole microseconds.  */
        if ((double)now_us + us + 10 <= (double)q.deadline_us)
          return true;
      }
    return false;
  }

  void
  submit ()
  {
    Request r;
    cs_request &q = r.q;
    cs_prefix prefixes[12];
    q.request = next_id++;
    q.dispatcher = (uint32_t)pick (4);
    q.tier = (uint32_t)pick (CS_TIERS);
    q.team = (uint32_t)pick (4);
    q.route = (uint32_t)pick (3);
    q.version = pick (3);
    q.prompt_tokens = 10 + (uint32_t)pick (400);
    q.expected_tokens = 1 + (uint32_t)pick (40);
    r.unconstrained = true;
    if (pick (20) == 0)
      {
        q.prompt_tokens *= 100;
        r.unconstrained = false;
      }
    if (with_deadlines && pick (2) == 0)
      {
        q.deadline_us = now_us + pick (3000 * US_PER_MS);
        r.unconstrained = false;
      }
    else if (pick (4) == 0)
      {
        q.prefixes = prefixes;
        q.prefix_count = 1 + (uint32_t)pick (12);
        for (uint32_t i = 0; i < q.prefix_count; i++)
          prefixes[i] = { 1 + pick (40), (i + 1) * 16 };
      }
    if (pick (3) == 0)
      q.first_token_by_us = now_us + pick (600 * US_PER_MS);
    if (pick (10) == 0 && !engines.empty ())
      q.resume_of = engines[pick (engines.size ())].id;
    r.submit_us = now_us;
    r.seq = ++seq;
    open[q.request] = r;
    submitted++;
    if (!cs_submit (cs, &q, now_us))
      fail ("submit was rejected although all decisions were taken");
    open[q.request].q.prefixes = nullptr;
  }

  /* Checks that a duplicate is refused and does not change the first one.  */
  void
  duplicate ()
  {
    uint64_t id = any (false);
    if (id == 0)
      return;
    cs_request q = open[id].q;
    cs_decision d;
    if (!cs_submit (cs, &q, now_us) || !cs_next (cs, now_us, &d)
        || d.kind != CS_REFUSE || d.request != id
        || d.reason != CS_REASON_INVALID)
      fail ("a duplicate was not refused");
  }

  void
  decide (const cs_decision &d)
  {
    auto it = open.find (d.request);
    if (it == open.end ())
      {
        fail ("decision for request " + std::to_string (d.request)
              + " that has ended");
        return;
      }
    Request &r = it->second;
    if (now_us < desc.collect_until_us && d.reason != CS_REASON_FULL)
      fail ("decision while grants of the previous owner are restored");
    switch (d.kind)
      {
      case CS_GRANT:
        grant (r, d);
        break;
      case CS_REFUSE:
        if (r.state != WAITING)
          fail ("a granted request was refused");
        if (d.reason == CS_REASON_FULL)
          for (auto &[id, other] : open)
            if (other.state == WAITING
                && (other.q.tier > r.q.tier
                    || (other.q.tier == r.q.tier && other.seq > r.seq)))
              fail ("refused for a full queue before the newest request of "
                    "the lowest tier");
        if (r.q.tier < STRICT_TIERS)
          check_urgent_refusal (r, d);
        refused++;
        ended.insert (d.request);
        open.erase (it);
        break;
      case CS_STOP:
        if (r.state != RUNNING)
          fail ("a request that is not running was stopped");
        check_stop (r);
        r.state = STOPPING;
        stopped++;
        break;
      }
  }

  void
  grant (Request &r, const cs_decision &d)
  {
    if (r.state != WAITING)
      fail ("request granted twice");
    size_t e = engine_of (d.engine);
    if (e == SIZE_MAX || !engines[e].accepts (r.q.version))
      {
        fail ("granted to an engine that does not accept the request");
        return;
      }
    if (running_on (e) >= engines[e].slots)
      fail ("slots over-committed");
    if (r.q.tier >= STRICT_TIERS)
      for (auto &[id, other] : open)
        if (other.state == WAITING && other.q.tier >= STRICT_TIERS
            && other.unconstrained && other.seq < r.seq
            && now_us >= other.submit_us + AGE_BOUND_US
            && engines[e].accepts (other.q.version))
          fail ("starvation: request " + std::to_string (id)
                + " is past the ageing bound and was passed by "
                + std::to_string (r.q.request));
    for (auto &[id, other] : open)
      if (other.state == WAITING && other.q.tier < r.q.tier
          && other.q.tier < STRICT_TIERS && other.unconstrained
          && other.q.first_token_by_us == 0
          && engines[e].accepts (other.q.version))
        fail ("urgent request " + std::to_string (id)
              + " waits while lower-tier work is granted");
    r.state = RUNNING;
    r.engine = e;
    granted++;
  }

  void
  check_urgent_refusal (const Request &r, const cs_decision &d)
  {
    bool waiting = d.reason == CS_REASON_FULL;
    if (d.reason == CS_REASON_DEADLINE)
      {
        /* Replacing work cannot help when an idle engine is too slow.  */
        if (r.q.prefix_count == 0 && r.q.resume_of == 0
            && idle_engine_meets_deadline (r.q))
          fail ("urgent request refused for a deadline that can be met");
        return;
      }
    if (has_lower_tier_work (r.q, waiting))
      fail ("urgent request " + std::to_string (r.q.request) + " of tier "
            + std::to_string (r.q.tier) + " refused for reason "
            + std::to_string (d.reason)
            + " while lower-tier work runs or waits");
  }

  void
  check_stop (const Request &victim)
  {
    for (auto &[id, r] : open)
      if (r.state == WAITING && r.q.tier < STRICT_TIERS
          && r.q.tier < victim.q.tier
          && engines[victim.engine].accepts (r.q.version))
        return;
    fail ("request stopped that no urgent one can replace");
  }

  void
  drain ()
  {
    cs_decision d;
    unsigned n = 0;
    while (fault.empty () && cs_next (cs, now_us, &d))
      {
        decide (d);
        if (++n > 10000)
          fail ("endless decisions");
      }
    check_idle ();
    check_counts ();
  }

  /* A slot must not be idle while work for it waits, unless the engine has
     too much granted prefill (prefill_ahead_max_us).  */
  void
  check_idle ()
  {
    if (with_loads || now_us < desc.collect_until_us)
      return;
    for (size_t i = 0; i < engines.size (); i++)
      {
        const Engine &e = engines[i];
        uint32_t reserved = desc.headroom_percent == CS_NONE || e.slots < 2
                                ? 0
                                : (e.slots * 12 + 99) / 100;
        uint32_t limit = e.slots > reserved ? e.slots - reserved : 1;
        cs_engine_view v;
        if (e.removed || e.leaving || e.refused || running_on (i) >= limit
            || !cs_query_engine (cs, e.id, &v))
          continue;
        for (auto &[id, r] : open)
          if (r.state == WAITING && r.unconstrained
              && r.q.first_token_by_us == 0 && e.accepts (r.q.version)
              && v.prefill_end_us
                     <= now_us
                            + (r.q.tier < STRICT_TIERS ? 200 : 100)
                                  * US_PER_MS)
            fail ("request " + std::to_string (id) + " waits while a slot of "
                  + e.name + " is idle");
      }
  }

  void
  check_counts ()
  {
    uint32_t waiting[CS_TIERS] = {}, running[CS_TIERS] = {};
    for (auto &[id, r] : open)
      (r.state == WAITING ? waiting : running)[r.q.tier]++;
    for (uint32_t t = 0; t < CS_TIERS; t++)
      if (cs_query_waiting (cs, t) != waiting[t]
          || cs_query_running (cs, t) != running[t])
        fail ("requests of tier " + std::to_string (t) + " were lost");
  }

  uint64_t
  any (bool granted_only)
  {
    std::vector<uint64_t> ids;
    for (auto &[id, r] : open)
      if (!granted_only || r.state != WAITING)
        ids.push_back (id);
    return ids.empty () ? 0 : ids[pick (ids.size ())];
  }

  void
  finish (uint64_t id)
  {
    Request r = open[id];
    cs_done_info info = {};
    info.tokens = 1 + (uint32_t)pick (40);
    info.first_token_us = pick (3) == 0 ? 0 : 1000 + pick (400 * US_PER_MS);
    info.itl_us = pick (3) == 0 ? 0 : 1000 + pick (60 * US_PER_MS);
    if (r.state == STOPPING && pick (8) != 0)
      info.outcome = CS_STOPPED;
    else if (pick (12) == 0)
      {
        info.outcome = CS_NOT_ADMITTED;
        info.first_token_us = 0;
        engines[r.engine].refused = true;
      }
    else if (pick (12) == 0)
      info.outcome = CS_FAILED;
    if (!cs_done (cs, id, &info, now_us))
      fail ("cs_done was rejected for a granted request");
    if (cs_done (cs, id, &info, now_us))
      fail ("a request ended twice");
    ended.insert (id);
    open.erase (id);
    done++;
  }

  void
  event ()
  {
    now_us += pick (4) == 0 ? pick (200 * US_PER_MS) : pick (5 * US_PER_MS);
    uint64_t id;
    switch (pick (16))
      {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
      case 5:
        submit ();
        break;
      case 6:
      case 7:
      case 8:
      case 9:
        if ((id = any (true)) != 0)
          finish (id);
        break;
      case 10:
        if ((id = any (true)) != 0)
          cs_first_token (cs, id, 1000 + pick (300 * US_PER_MS), now_us);
        break;
      case 11:
        if ((id = any (false)) != 0 && cs_cancel (cs, id, now_us))
          {
            if (open[id].state != WAITING)
              fail ("a granted request was cancelled");
            ended.insert (id);
            open.erase (id);
            cancelled++;
          }
        break;
      case 12:
        cs_tick (cs, now_us);
        break;
      case 13:
        report ();
        break;
      case 14:
        change_engine ();
        break;
      case 15:
        if (pick (4) == 0)
          duplicate ();
        if (with_restored_grants)
          restore_or_remove ();
        break;
      }
    drain ();
  }

  void
  report ()
  {
    if (engines.empty ())
      return;
    Engine &e = engines[pick (engines.size ())];
    switch (pick (4))
      {
      case 0:
        cs_cache_gap (cs, e.id);
        break;
      case 1:
        cs_cache_event (cs, e.id, 1 + pick (40), pick (2) == 0);
        break;
      default:
        if (with_loads)
          {
            cs_load load = {};
            load.time_us = now_us - pick (900 * US_PER_MS);
            load.running = (uint32_t)pick (8);
            load.queued = (uint32_t)pick (3);
            cs_set_load (cs, e.id, &load, now_us);
          }
        break;
      }
  }

  void
  change_engine ()
  {
    if (engines.empty () || pick (6) == 0)
      {
        add_engine ();
        return;
      }
    Engine &e = engines[pick (engines.size ())];
    if (e.removed)
      return;
    if (pick (6) == 0)
      {
        if (!cs_destroy_engine (cs, e.id, now_us))
          fail ("an engine was not removed");
        e.removed = true;
        return;
      }
    if (pick (3) == 0)
      e.leaving = !e.leaving;
    else
      e.slots = 1 + (uint32_t)pick (6);
    cs_engine_desc d = engine_desc (e);
    if (!cs_update_engine (cs, e.id, &d, now_us))
      fail ("an engine was not updated");
  }

  void
  restore_or_remove ()
  {
    if (pick (4) == 0)
      {
        uint32_t dispatcher = (uint32_t)pick (4);
        cs_remove_dispatcher (cs, dispatcher, now_us);
        for (auto it = open.begin (); it != open.end ();)
          if (it->second.q.dispatcher == dispatcher)
            {
              (it->second.state == WAITING ? cancelled : done)++;
              ended.insert (it->first);
              it = open.erase (it);
            }
          else
            ++it;
        return;
      }
    size_t e = pick (engines.size () + 1);
    if (e >= engines.size ())
      return;
    Request r;
    r.q.request = next_id++;
    r.q.tier = (uint32_t)pick (CS_TIERS);
    r.q.prompt_tokens = 100;
    r.q.expected_tokens = 10;
    r.q.dispatcher = (uint32_t)pick (4);
    r.submit_us = now_us;
    r.seq = ++seq;
    r.state = RUNNING;
    r.engine = e;
    if (cs_restore_grant (cs, &r.q, engines[e].id, now_us - pick (now_us),
                          now_us))
      open[r.q.request] = r;
    else if (!engines[e].removed)
      fail ("a grant was not restored");
  }

  /* Ends all open requests while time advances.  */
  void
  finish_all ()
  {
    for (unsigned i = 0; i < 4000 && !open.empty () && fault.empty (); i++)
      {
        now_us += 20 * US_PER_MS;
        uint64_t id = any (true);
        if (id != 0)
          finish (id);
        cs_tick (cs, now_us);
        drain ();
      }
    if (!open.empty ())
      fail ("request " + std::to_string (open.begin ()->first)
            + " never ended");
  }

  void
  run (unsigned events)
  {
    for (unsigned i = 0; i < events && fault.empty (); i++)
      event ();
    if (fault.empty ())
      finish_all ();
  }
};

/* Guards against: a request granted twice; slots over-committed; an urgent
   request refused while lower-tier work runs or waits that it could replace;
   a request that ends never or twice; a non-urgent request overtaken after the
   ageing bound; a stop that lets no urgent request run; an idle slot while
   work waits.  */
TEST (CsProperty, InvariantsHoldOverRandomSchedules)
{
  uint64_t seed = from_environment ("DB_SEED", 1);
  uint64_t runs = from_environment ("DB_RUNS", 10000);
  printf ("DB_SEED=%llu DB_RUNS=%llu\n", (unsigned long long)seed,
          (unsigned long long)runs);
  uint64_t granted = 0, refused = 0, stopped = 0, cancelled = 0, done = 0;
  for (uint64_t i = 0; i < runs; i++)
    {
      Schedule s (seed + i);
      s.run (40 + (unsigned)s.pick (160));
      ASSERT_EQ (s.fault, "")
          << "replay with DB_SEED=" << seed + i << " DB_RUNS=1";
      granted += s.granted;
      refused += s.refused;
      stopped += s.stopped;
      cancelled += s.cancelled;
      done += s.done;
    }
  printf ("granted %llu refused %llu stopped %llu cancelled %llu done %llu\n",
          (unsigned long long)granted, (unsigned long long)refused,
          (unsigned long long)stopped, (unsigned long long)cancelled,
          (unsigned long long)done);
  /* The schedules must include every kind of decision.  */
  if (runs >= 1000)
    {
      EXPECT_GT (granted, runs);
      EXPECT_GT (refused, runs);
      EXPECT_GT (stopped, runs / 10);
    }
}

/* Guards against tokens granted to teams that differ from their weights by
   more than cs.h states.  */
TEST (CsProperty, TeamTokensStayWithinTheStatedError)
{
  uint64_t seed = from_environment ("DB_SEED", 1);
  uint64_t runs = std::min<uint64_t> (from_environment ("DB_RUNS", 300), 300);
  for (uint64_t run = 0; run < runs; run++)
    {
      std::mt19937_64 random (seed + run);
      const uint32_t TEAMS = 4;
      cs_desc desc = {};
      desc.max_engines = 1;
      desc.max_waiting = 256;
      desc.max_running = 16;
      desc.max_teams = TEAMS;
      desc.max_prefixes = 8;
      desc.quantum_tokens = 64 + (uint32_t)(random () % 2000);
      desc.age_bound_us = UINT64_MAX / 4;
      cs_cell *cs = cs_make (&desc);
      cs_engine_desc ed = {};
      ed.name = ST_LIT ("a");
      ed.slots = 4;
      cs_make_engine (cs, &ed, 0);
      uint32_t weight[TEAMS], largest[TEAMS] = {};
      uint64_t served[TEAMS] = {};
      std::map<uint64_t, cs_request> open;
      std::vector<uint64_t> running;
      uint64_t id = 0, now_us = 0;
      uint32_t tier = (uint32_t)(random () % CS_TIERS);
      for (uint32_t t = 0; t < TEAMS; t++)
        {
          weight[t] = 1 + (uint32_t)(random () % 4);
          cs_set_weight (cs, t, weight[t]);
        }
      auto submit = [&] (uint32_t team) {
        cs_request q = {};
        q.request = ++id;
        q.team = team;
        q.tier = tier;
        q.prompt_tokens = 1 + (uint32_t)(random () % (team == 0 ? 1100 : 300));
        q.expected_tokens = 1 + (uint32_t)(random () % 50);
        largest[team]
            = std::max (largest[team], q.prompt_tokens + q.expected_tokens);
        open[q.request] = q;
        ASSERT_TRUE (cs_submit (cs, &q, now_us));
      };
      for (uint32_t t = 0; t < TEAMS; t++)
        for (int i = 0; i < 30; i++)
          submit (t);
      for (int step = 0; step < 500; step++)
        {
          cs_decision d;
          now_us += 10 * US_PER_MS;
          while (cs_next (cs, now_us, &d))
            {
              ASSERT_EQ (d.kind, CS_GRANT);
              const cs_request q = open[d.request];
              served[q.team] += q.prompt_tokens + q.expected_tokens;
              running.push_back (d.request);
              submit (q.team);
            }
          for (uint32_t a = 0; a < TEAMS; a++)
            for (uint32_t b = 0; b < TEAMS; b++)
              {
                double diff = (double)served[a] / weight[a]
                              - (double)served[b] / weight[b];
                double most = std::max ((double)largest[a] / weight[a],
                                        (double)largest[b] / weight[b]);
                ASSERT_LE (diff, 2.0 * desc.quantum_tokens + most)
                    << "DB_SEED=" << seed + run;
              }
          size_t at = random () % running.size ();
          cs_done_info info = {};
          cs_done (cs, running[at], &info, now_us);
          running.erase (running.begin () + (long)at);
        }
      cs_destroy (cs);
    }
}

/* Guards against allocation in the steady state.  */
unsigned allocations;

void *
count_alloc (size_t size, void *)
{
  allocations++;
  return malloc (size);
}

void
plain_free (void *ptr, void *)
{
  free (ptr);
}

TEST (CsProperty, SteadyStateDoesNotAllocate)
{
  cs_desc desc = {};
  desc.allocator.alloc = count_alloc;
  desc.allocator.free = plain_free;
  cs_cell *cs = cs_make (&desc);
  cs_engine_desc ed = {};
  ed.name = ST_LIT ("a");
  ed.slots = 4;
  cs_make_engine (cs, &ed, 0);
  unsigned before = allocations;
  for (uint64_t i = 1; i <= 5000; i++)
    {
      cs_request q = {};
      q.request = i;
      q.tier = i % CS_TIERS;
      q.prompt_tokens = 100;
      cs_submit (cs, &q, i * US_PER_MS);
      cs_decision d;
      while (cs_next (cs, i * US_PER_MS, &d))
        if (d.kind == CS_GRANT)
          {
            cs_done_info info = {};
            cs_done (cs, d.request, &info, i * US_PER_MS);
          }
      cs_tick (cs, i * US_PER_MS);
    }
  EXPECT_EQ (allocations, before);
  cs_destroy (cs);
}

}
