#include "qn.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{
const uint64_t Ms = 1000;
const uint64_t Second = 1000000;

struct Free
{
  void
  operator() (qn_table *t) const
  {
    qn_destroy (t);
  }
};
using Table = std::unique_ptr<qn_table, Free>;

Table
make (uint64_t seed = 1)
{
  qn_desc desc = {};
  desc.seed = seed;
  return Table (qn_make (&desc));
}

qn_prompt
prompt (const std::string &parts)
{
  qn_prompt p;
  qn_read_prompt (&p, ST_LIT ("llm"), { parts.data (), parts.size () });
  return p;
}

// A request with the part "bad" and a last part of its own loses UPSTREAM.
void
lose (const Table &t, int request, uint64_t upstream, uint64_t now_us)
{
  qn_row rows[QN_PROMPT_PARTS_MAX];
  qn_prompt p = prompt ("bad:20," + std::to_string (request) + ":5");
  qn_on_lost (t.get (), &p, upstream, now_us, rows);
}

bool
blocked (const Table &t, const std::string &parts, uint64_t now_us)
{
  qn_prompt p = prompt (parts);
  return qn_query_blocked (t.get (), &p, now_us) != nullptr;
}

TEST (Qn, ReadsAllPartsButTheLast)
{
  qn_prompt p = prompt ("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  ASSERT_EQ (p.count, 2u);
  EXPECT_STREQ (p.parts[0].text, "llm/5c1e07a2");
  EXPECT_STREQ (p.parts[1].text, "llm/91bd3f06");
  EXPECT_EQ (prompt ("").count, 0u);
  EXPECT_EQ (prompt ("a:1").count, 0u);
  EXPECT_EQ (
      prompt ("a,b:1,/../x:2,:3," + std::string (80, 'a') + ":1,c:1").count,
      1u);
  EXPECT_EQ (prompt ("a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,b:1").count,
             (uint32_t)QN_PROMPT_PARTS_MAX);
}

// Guards against blocking a part for one request that is retried, or for one
// upstream that is sick.
TEST (Qn, SeveralRequestsAndUpstreamsAreNeeded)
{
  Table one_request = make ();
  Table one_upstream = make ();
  Table several = make ();
  for (int i = 0; i < 9; i++)
    {
      lose (one_request, 1, (uint64_t)i + 1, Second);
      lose (one_upstream, i, 1, Second);
    }
  EXPECT_FALSE (blocked (one_request, "bad:20,x:1", Second));
  EXPECT_FALSE (blocked (one_upstream, "bad:20,x:1", Second));
  for (int i = 0; i < 4; i++)
    {
      EXPECT_FALSE (blocked (several, "bad:20,x:1", Second));
      lose (several, i, (uint64_t)i + 1, Second);
    }
  EXPECT_TRUE (blocked (several, "bad:20,x:1", Second));
  EXPECT_FALSE (blocked (several, "x:1,bad:20", Second)) << "a last part";
  EXPECT_FALSE (blocked (several, "good:20,x:1", Second));
}

// Guards against a block that a response has disproved, at this VM or another.
TEST (Qn, AResponseDisprovesASuspicion)
{
  qn_row rows[QN_PROMPT_PARTS_MAX];
  qn_prompt served = prompt ("bad:20,x:1");
  Table t = make ();
  Table other = make ();
  for (int i = 0; i < 4; i++)
    {
      lose (t, i, (uint64_t)i + 1, Second);
      lose (other, i, (uint64_t)i + 1, Second);
    }
  ASSERT_EQ (qn_on_served (t.get (), &served, Second, rows), 1u);
  EXPECT_TRUE (rows[0].served);
  EXPECT_FALSE (blocked (t, "bad:20,x:1", Second));
  EXPECT_FALSE (qn_on_row (other.get (), &rows[0], Second));
  EXPECT_FALSE (blocked (other, "bad:20,x:1", Second));
  /* Later losses count for nothing, and another VM's are disproved.  */
  lose (t, 9, 9, Second);
  EXPECT_EQ (qn_on_lost (t.get (), &served, 10, Second, rows), 0u);
  qn_row loss = {};
  st_name_set (&loss.part, ST_LIT ("llm/bad"));
  loss.upstream = 11;
  EXPECT_TRUE (qn_on_row (t.get (), &loss, Second));
  /* The block may be in the store, so that the response is published.  */
  qn_change change = {};
  ASSERT_TRUE (qn_next_change (t.get (), 2 * Second, &change));
  EXPECT_FALSE (change.blocked);
}

// Guards against a block that is lost when all VMs are restarted, and against
// one that lasts for ever.
TEST (Qn, ABlockIsPublishedAndEnds)
{
  Table t = make ();
  Table later = make ();
  qn_change change = {};
  for (int i = 0; i < 4; i++)
    lose (t, i, (uint64_t)i + 1, Second);
  ASSERT_TRUE (qn_next_change (t.get (), 2 * Second, &change));
  EXPECT_TRUE (change.blocked);
  EXPECT_STREQ (change.part.text, "llm/bad");
  EXPECT_FALSE (qn_next_change (t.get (), 3 * Second, &change));
  EXPECT_TRUE (qn_next_change (t.get (), 5 * Second, &change)) << "not read";
  qn_on_published (t.get (), &change, 5 * Second);
  EXPECT_FALSE (qn_next_change (t.get (), 99 * Second, &change));
  change.blocked = true;
  st_name_set (&change.part, ST_LIT ("llm/bad"));
  qn_on_published (later.get (), &change, 5 * Second);
  EXPECT_TRUE (blocked (later, "bad:20,x:1", 6 * Second));
  EXPECT_TRUE (blocked (t, "bad:20,x:1", 500 * Second));
  qn_on_lapsed (t.get (), ST_LIT ("llm/bad"), 606 * Second);
  ASSERT_TRUE (qn_next_change (t.get (), 608 * Second, &change));
  EXPECT_TRUE (blocked (t, "bad:20,x:1", 1099 * Second));
  EXPECT_FALSE (blocked (t, "bad:20,x:1", 1700 * Second));
}

// VMs before upstreams that run several requests each.  Requests arrive at
// random VMs; the VMs tell each other what they find, with a delay.
class Fleet
{
public:
  static const int Vms = 9;
  static const int Upstreams = 9;
  uint32_t bad_sent_late = 0; // 3 s after the fifth crash and later
  uint32_t crashes = 0;
  std::set<std::string> blocked_parts;

  explicit Fleet (uint64_t seed) : random_ (seed)
  {
    for (int i = 0; i < Vms; i++)
      tables_.push_back (make (seed + (uint64_t)i));
    for (int i = 0; i < Upstreams; i++)
      upstreams_[i].id = (uint64_t)i + 1;
  }
  // Plays SECONDS with BAD_PER_S requests that crash their upstream, and
  // SICK_PER_S upstreams that crash by themselves.
  void
  play (int seconds, double bad_per_s, double sick_per_s)
  {
    for (now_ = Second; now_ < (uint64_t)seconds * Second; now_ += 10 * Ms)
      {
        deliver ();
        step ();
        for (double n = 115 * 0.01; chance (n); n -= 1)
          arrive (sound_parts ());
        if (chance (bad_per_s * 0.01))
          arrive ("f" + std::to_string (pick (4)) + ":9,bad:9,"
                  + std::to_string (next_++) + ":9");
        if (chance (sick_per_s * 0.01))
          crash (pick (Upstreams));
      }
  }

private:
  struct Run
  {
    int vm;
    qn_prompt prompt;
    uint64_t begin_us, end_us;
    bool bad;
  };
  struct Delayed
  {
    uint64_t at_us;
    int from;
    qn_row row;
  };
  struct Upstream
  {
    uint64_t id = 0, back_us = 0;
    std::vector<Run> runs;
  };
  std::mt19937_64 random_;
  std::vector<Table> tables_;
  std::vector<Delayed> delayed_;
  Upstream upstreams_[Upstreams];
  uint64_t now_ = 0, fifth_crash_us_ = 0, next_ = 1;

  int
  pick (int n)
  {
    return (int)(random_ () % (uint64_t)n);
  }
  bool
  chance (double p)
  {
    return std::uniform_real_distribution<> (0, 1) (random_) < p;
  }
  // One of 4 first parts, and for most requests one of 400 sessions, which
  // change over time.
  std::string
  sound_parts ()
  {
    std::string parts = "f" + std::to_string (pick (4)) + ":9,";
    if (chance (0.8))
      parts += "s" + std::to_string (pick (400) + (int)(now_ / Second) * 20)
               + ":9,";
    return parts + std::to_string (next_++) + ":9";
  }
  void
  tell (int from, const qn_row *rows, uint32_t count)
  {
    for (uint32_t i = 0; i < count; i++)
      delayed_.push_back (
          { now_ + (uint64_t)(10 + pick (50)) * Ms, from, rows[i] });
  }
  void
  deliver ()
  {
    std::vector<Delayed> due;
    for (size_t i = 0; i < delayed_.size ();)
      if (delayed_[i].at_us <= now_)
        {
          due.push_back (delayed_[i]);
          delayed_.erase (delayed_.begin () + (long)i);
        }
      else
        i++;
    for (auto &d : due)
      for (int vm = 0; vm < Vms; vm++)
        if (vm != d.from
            && qn_on_row (tables_[(size_t)vm].get (), &d.row, now_))
          {
            qn_row served = {};
            served.part = d.row.part;
            served.served = true;
            tell (vm, &served, 1);
          }
  }
  void
  arrive (const std::string &parts)
  {
    qn_row rows[QN_PROMPT_PARTS_MAX];
    Run run = { pick (Vms), prompt (parts), 0, 0, false };
    run.bad = parts.find ("bad") != std::string::npos;
    const st_name *part
        = qn_query_blocked (tables_[(size_t)run.vm].get (), &run.prompt, now_);
    if (part != nullptr)
      {
        blocked_parts.insert (part->text);
        return;
      }
    Upstream &u = upstreams_[pick (Upstreams)];
    if (u.back_us > now_)
      {
        /* It no longer accepts connections; a few were open.  */
        if (chance (0.1))
          tell (run.vm, rows,
                qn_on_lost (tables_[(size_t)run.vm].get (), &run.prompt, u.id,
                            now_, rows));
        return;
      }
    if (run.bad && fifth_crash_us_ != 0 && now_ > fifth_crash_us_ + 3 * Second)
      bad_sent_late++;
    run.begin_us = now_ + (uint64_t)(50 + pick (300)) * Ms;
    run.end_us = run.begin_us + (uint64_t)(200 + pick (2000)) * Ms;
    u.runs.push_back (run);
  }
  void
  crash (int at)
  {
    qn_row rows[QN_PROMPT_PARTS_MAX];
    Upstream &u = upstreams_[at];
    if (u.back_us > now_)
      return;
    for (auto &run : u.runs)
      if (run.bad || now_ < run.begin_us + 30 * Ms)
        tell (run.vm, rows,
              qn_on_lost (tables_[(size_t)run.vm].get (), &run.prompt, u.id,
                          now_, rows));
    u.runs.clear ();
    u.id = 1000 + next_++;
    u.back_us = now_ + (uint64_t)(2000 + pick (3000)) * Ms;
  }
  void
  step ()
  {
    qn_row rows[QN_PROMPT_PARTS_MAX];
    for (int i = 0; i < Upstreams; i++)
      {
        Upstream &u = upstreams_[i];
        bool crashes_now = false;
        for (auto &run : u.runs)
          {
            if (run.bad && now_ >= run.begin_us + 60 * Ms)
              crashes_now = true;
            else if (!run.bad && now_ >= run.begin_us + 30 * Ms
                     && now_ < run.begin_us + 40 * Ms)
              tell (run.vm, rows,
                    qn_on_served (tables_[(size_t)run.vm].get (), &run.prompt,
                                  now_, rows));
          }
        u.runs.erase (
            std::remove_if (u.runs.begin (), u.runs.end (),
                            [&] (const Run &r) { return now_ >= r.end_us; }),
            u.runs.end ());
        if (!crashes_now)
          continue;
        crash (i);
        if (++crashes == 5)
          fifth_crash_us_ = now_;
      }
  }
};

// Guards against a part that crashes upstreams of all VMs, each of which sees
// a few of the losses.
TEST (QnFleet, ABadPartIsBlockedEverywhereAndNothingElse)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    for (double bad_per_s : { 0.3, 1.0, 4.0 })
      for (double sick_per_s : { 0.0, 0.5 })
        {
          Fleet f (seed);
          f.play (120, bad_per_s, sick_per_s);
          SCOPED_TRACE ("seed " + std::to_string (seed) + ", "
                        + std::to_string (bad_per_s) + " and "
                        + std::to_string (sick_per_s) + " a second");
          EXPECT_LE (f.bad_sent_late, 3u);
          EXPECT_EQ (f.blocked_parts, std::set<std::string>{ "llm/bad" });
        }
}

// Guards against blocking sound parts while upstreams crash by themselves.
TEST (QnFleet, CrashesAloneBlockNothing)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    for (double sick_per_s : { 0.5, 3.0 })
      {
        Fleet f (seed);
        f.play (60, 0, sick_per_s);
        EXPECT_EQ (f.blocked_parts, std::set<std::string>{})
            << "seed " << seed << ", " << sick_per_s << " a second";
      }
}
}
