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

qn_request
prompt (const std::string &parts)
{
  qn_request p;
  /* Each is another request.  */
  static uint64_t identity;
  qn_read_request (&p, ++identity, ST_LIT ("llm"),
                   { parts.data (), parts.size () });
  return p;
}

// A request with the part "bad" and a last part of its own loses UPSTREAM.
void
lose (const Table &t, int request, uint64_t upstream, uint64_t now_us)
{
  qn_row rows[QN_SUBJECTS_MAX];
  qn_request p = prompt ("bad:20," + std::to_string (request) + ":5");
  qn_on_lost (t.get (), &p, upstream, now_us, rows);
}

bool
blocked (const Table &t, const std::string &parts, uint64_t now_us)
{
  qn_request p = prompt (parts);
  return qn_query_blocked (t.get (), &p, now_us) != nullptr;
}

TEST (Qn, ReadsAllPartsButTheLast)
{
  qn_request p = prompt ("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  /* The first subject is the request itself.  */
  ASSERT_EQ (p.count, 3u);
  EXPECT_TRUE (qn_is_request (&p.subjects[0]));
  EXPECT_STREQ (p.subjects[1].text, "llm/5c1e07a2");
  EXPECT_STREQ (p.subjects[2].text, "llm/91bd3f06");
  EXPECT_EQ (prompt ("").count, 1u);
  EXPECT_EQ (prompt ("a:1").count, 1u);
  EXPECT_EQ (
      prompt ("a,b:1,/../x:2,:3," + std::string (80, 'a') + ":1,c:1").count,
      3u);
  EXPECT_EQ (prompt ("a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,a:1,b:1").count,
             11u);
  std::string many;
  for (int i = 0; i < 300; i++)
    many += "a:1,";
  EXPECT_EQ (prompt (many).count, (uint32_t)QN_SUBJECTS_MAX);
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
  qn_row rows[QN_SUBJECTS_MAX];
  qn_request served = prompt ("bad:20,x:1");
  Table t = make ();
  Table other = make ();
  for (int i = 0; i < 4; i++)
    {
      lose (t, i, (uint64_t)i + 1, Second);
      lose (other, i, (uint64_t)i + 1, Second);
    }
  ASSERT_EQ (qn_on_served (t.get (), &served, Second, rows), 1u);
  EXPECT_EQ (rows[0].kind, QN_SERVED);
  EXPECT_FALSE (blocked (t, "bad:20,x:1", Second));
  EXPECT_FALSE (qn_on_row (other.get (), &rows[0], Second));
  EXPECT_FALSE (blocked (other, "bad:20,x:1", Second));
  /* Later losses count for nothing, and another VM's are disproved.  */
  lose (t, 9, 9, Second);
  uint32_t count = qn_on_lost (t.get (), &served, 10, Second, rows);
  for (uint32_t i = 0; i < count; i++)
    EXPECT_NE (rows[i].kind, QN_LOST) << rows[i].subject.text;
  qn_row loss = {};
  st_name_set (&loss.subject, ST_LIT ("llm/bad"));
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
  EXPECT_STREQ (change.subject.text, "llm/bad");
  EXPECT_FALSE (qn_next_change (t.get (), 3 * Second, &change));
  EXPECT_TRUE (qn_next_change (t.get (), 5 * Second, &change)) << "not read";
  qn_on_published (t.get (), &change, 5 * Second);
  EXPECT_FALSE (qn_next_change (t.get (), 99 * Second, &change));
  change.blocked = true;
  st_name_set (&change.subject, ST_LIT ("llm/bad"));
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
    std::shared_ptr<qn_request> prompt;
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
            served.subject = d.row.subject;
            served.kind = QN_SERVED;
            tell (vm, &served, 1);
          }
  }
  void
  arrive (const std::string &parts)
  {
    qn_row rows[QN_SUBJECTS_MAX];
    Run run = { pick (Vms), std::make_shared<qn_request> (prompt (parts)), 0,
                0, false };
    run.bad = parts.find ("bad") != std::string::npos;
    const st_name *part = qn_query_blocked (tables_[(size_t)run.vm].get (),
                                            run.prompt.get (), now_);
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
                qn_on_lost (tables_[(size_t)run.vm].get (), run.prompt.get (),
                            u.id, now_, rows));
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
    qn_row rows[QN_SUBJECTS_MAX];
    Upstream &u = upstreams_[at];
    if (u.back_us > now_)
      return;
    for (auto &run : u.runs)
      if (run.bad || now_ < run.begin_us + 30 * Ms)
        tell (run.vm, rows,
              qn_on_lost (tables_[(size_t)run.vm].get (), run.prompt.get (),
                          u.id, now_, rows));
    u.runs.clear ();
    u.id = 1000 + next_++;
    u.back_us = now_ + (uint64_t)(2000 + pick (3000)) * Ms;
  }
  void
  step ()
  {
    qn_row rows[QN_SUBJECTS_MAX];
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
                    qn_on_served (tables_[(size_t)run.vm].get (),
                                  run.prompt.get (), now_, rows));
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

// A request that others repeat.
qn_request
repeated (uint64_t identity)
{
  qn_request r;
  qn_read_request (&r, identity, ST_LIT ("orders"), ST_LIT (""));
  return r;
}

void
lose_request (const Table &t, uint64_t identity, uint64_t upstream,
              uint64_t now_us)
{
  qn_row rows[QN_SUBJECTS_MAX];
  qn_request r = repeated (identity);
  qn_on_lost (t.get (), &r, upstream, now_us, rows);
}

bool
request_blocked (const Table &t, uint64_t identity, uint64_t now_us)
{
  qn_request r = repeated (identity);
  return qn_query_blocked (t.get (), &r, now_us) != nullptr;
}

// Guards against a request that goes on crashing upstreams, and against
// blocking one for a single sick upstream.
TEST (QnRequest, ThreeUpstreamsBlockIt)
{
  Table t = make ();
  for (int i = 0; i < 9; i++)
    lose_request (t, 2, 1, Second);
  EXPECT_FALSE (request_blocked (t, 2, Second));
  for (uint64_t i = 0; i < 3; i++)
    {
      EXPECT_FALSE (request_blocked (t, 1, Second));
      lose_request (t, 1, i + 1, Second);
    }
  EXPECT_TRUE (request_blocked (t, 1, Second));
  EXPECT_FALSE (request_blocked (t, 2, Second));
}

// Guards against counting one crash several times, for requests that are equal
// but for the parts of their prompts.
TEST (QnRequest, OneCrashCountsOnceWhateverThePrompts)
{
  qn_row rows[QN_SUBJECTS_MAX];
  Table t = make ();
  for (int i = 0; i < 9; i++)
    {
      qn_request r;
      std::string parts = std::to_string (i) + ":9,x:1";
      qn_read_request (&r, 1, ST_LIT ("orders"),
                       { parts.data (), parts.size () });
      qn_on_lost (t.get (), &r, 1, Second, rows);
    }
  EXPECT_FALSE (request_blocked (t, 1, Second));
}

// Guards against a request that crashes one upstream again and again, which
// starts under the same id each time.
TEST (QnRequest, CrashesOfOneUpstreamThatStartsAgainBlockIt)
{
  Table t = make ();
  for (uint64_t i = 0; i < 3; i++)
    {
      uint64_t at = (1 + 3 * i) * Second;
      EXPECT_FALSE (request_blocked (t, 1, at));
      for (int vm = 0; vm < 4; vm++)
        lose_request (t, 1, 1, at + (uint64_t)vm * 100 * Ms);
    }
  EXPECT_TRUE (request_blocked (t, 1, 8 * Second));
}

// Guards against a block of a request that was sound before the first loss,
// or is served in between: it was beside another one.
TEST (QnRequest, AResponseOutweighsWhatWasLostBefore)
{
  qn_row rows[QN_SUBJECTS_MAX];
  qn_request r = repeated (1);
  Table t = make ();
  for (uint64_t i = 0; i < 20; i++)
    {
      lose_request (t, 1, i + 1, (i + 1) * Second);
      if (i % 3 == 2)
        qn_on_served (t.get (), &r, (i + 1) * Second, rows);
      EXPECT_FALSE (request_blocked (t, 1, (i + 1) * Second)) << i;
    }
}

// Guards against a request that is never blocked because it was sound for
// long, at several VMs, before it began to crash upstreams.
TEST (QnRequest, ResponsesOfLongAgoDoNotProtectIt)
{
  qn_row rows[QN_SUBJECTS_MAX];
  qn_request r = repeated (1);
  Table a = make ();
  Table b = make ();
  for (int i = 0; i < 50; i++)
    {
      qn_on_served (a.get (), &r, Second, rows);
      qn_on_served (b.get (), &r, Second, rows);
    }
  uint64_t losses = 0;
  for (; losses < 10 && !request_blocked (a, 1, 2 * Second); losses++)
    {
      uint32_t count = qn_on_lost (a.get (), &r, losses + 1, 2 * Second, rows);
      for (uint32_t k = 0; k < count; k++)
        if (qn_on_row (b.get (), &rows[k], 2 * Second))
          {
            qn_row served = rows[k];
            served.kind = QN_SERVED;
            qn_on_row (a.get (), &served, 2 * Second);
          }
    }
  EXPECT_LE (losses, 4u);
  EXPECT_TRUE (request_blocked (b, 1, 2 * Second));
}

// Guards against losses that a VM takes for crashes when its own links fail.
TEST (QnRequest, AResponseOfTheUpstreamVoidsTheLoss)
{
  qn_row row;
  Table t = make ();
  for (uint64_t i = 0; i < 3; i++)
    lose_request (t, 1, i + 1, Second);
  ASSERT_TRUE (request_blocked (t, 1, Second));
  /* It may have been sent before the crash.  */
  EXPECT_FALSE (qn_on_alive (t.get (), 2, Second, Second + Ms, &row));
  EXPECT_TRUE (request_blocked (t, 1, Second + Ms));
  EXPECT_TRUE (qn_on_alive (t.get (), 2, Second + Ms, Second + 9 * Ms, &row));
  EXPECT_EQ (row.kind, QN_ALIVE);
  EXPECT_FALSE (request_blocked (t, 1, Second + 9 * Ms));
  /* A process that has started since has the same id.  */
  for (uint64_t i = 3; i < 6; i++)
    lose_request (t, 1, i + 1, 5 * Second);
  EXPECT_FALSE (qn_on_alive (t.get (), 5, 7 * Second, 8 * Second, &row));
  EXPECT_TRUE (request_blocked (t, 1, 5 * Second));
}

// Guards against a message from each VM to all others for each lost answer.
TEST (QnRequest, ASingleLossIsVoidedWithoutAMessage)
{
  qn_row row;
  Table t = make ();
  lose_request (t, 1, 1, Second);
  EXPECT_FALSE (qn_on_alive (t.get (), 1, Second + Ms, Second + 9 * Ms, &row));
  lose_request (t, 1, 2, Second + 10 * Ms);
  lose_request (t, 1, 3, Second + 10 * Ms);
  EXPECT_FALSE (request_blocked (t, 1, Second + 10 * Ms)) << "voided here";
  EXPECT_TRUE (
      qn_on_alive (t.get (), 3, Second + 11 * Ms, Second + 19 * Ms, &row));
}

// Guards against a sound request that stays blocked, and against trials
// without end.
TEST (QnRequest, ABlockedOneIsTriedTwice)
{
  qn_row rows[QN_SUBJECTS_MAX];
  qn_row row;
  qn_request r = repeated (1);
  Table t = make ();
  Table other = make ();
  for (uint64_t i = 0; i < 3; i++)
    {
      lose_request (t, 1, i + 1, Second);
      lose_request (other, 1, i + 1, Second);
    }
  int trials = 0;
  for (uint64_t now = Second; now < 500 * Second; now += 100 * Ms)
    {
      if (request_blocked (t, 1, now))
        continue;
      ASSERT_TRUE (qn_on_sent (t.get (), 1, now, &row));
      qn_on_row (other.get (), &row, now);
      EXPECT_TRUE (request_blocked (t, 1, now)) << "no second one at once";
      EXPECT_TRUE (request_blocked (other, 1, now)) << "none elsewhere";
      lose_request (t, 1, 100 + (uint64_t)++trials, now);
    }
  EXPECT_EQ (trials, 2);
  ASSERT_EQ (qn_on_served (other.get (), &r, 500 * Second, rows), 1u);
  qn_on_row (t.get (), &rows[0], 500 * Second);
  EXPECT_FALSE (request_blocked (t, 1, 500 * Second));
}

// Guards against writes to the store for a block that ended before any VM
// wrote it, and against a block that stays there.
TEST (QnRequest, TheEndOfABlockIsWrittenWhereTheBlockWas)
{
  qn_row row;
  qn_change change = {};
  Table t = make ();
  for (uint64_t i = 0; i < 3; i++)
    lose_request (t, 1, i + 1, Second);
  ASSERT_TRUE (qn_on_alive (t.get (), 2, Second + Ms, Second + 9 * Ms, &row));
  EXPECT_FALSE (qn_next_change (t.get (), 9 * Second, &change));
  /* Another VM has written it in the meantime.  */
  change.subject = repeated (1).subjects[0];
  change.blocked = true;
  qn_on_published (t.get (), &change, 9 * Second);
  EXPECT_FALSE (request_blocked (t, 1, 9 * Second));
  ASSERT_TRUE (qn_next_change (t.get (), 10 * Second, &change));
  EXPECT_FALSE (change.blocked);
}

// Guards against a block that ends where it is read from the store by a VM
// that was responded to long ago, and against trials of such a VM.
TEST (QnRequest, APublishedBlockHoldsAtOtherVms)
{
  qn_row rows[QN_SUBJECTS_MAX];
  qn_request r = repeated (1);
  qn_change change = {};
  Table t = make ();
  Table later = make ();
  for (uint64_t i = 0; i < 3; i++)
    lose_request (t, 1, i + 1, Second);
  ASSERT_TRUE (qn_next_change (t.get (), 2 * Second, &change));
  EXPECT_TRUE (change.blocked);
  qn_on_served (later.get (), &r, Second, rows);
  qn_on_published (later.get (), &change, 2 * Second);
  for (uint64_t now = 2 * Second; now < 500 * Second; now += Second)
    EXPECT_TRUE (request_blocked (later, 1, now));
  EXPECT_FALSE (qn_next_change (later.get (), 500 * Second, &change));
}

// VMs before few upstreams, with some requests that crash them and sound ones
// of which one repeats itself all the time.
class RequestFleet
{
public:
  static const int Vms = 9;
  static const int Upstreams = 3;
  struct Bad
  {
    uint32_t sent = 0, late = 0, crashes = 0;
    uint64_t third_us = 0, last_us = 0;
  };
  std::vector<Bad> bad;
  uint32_t sound_sent = 0, sound_refused = 0; // of the last third

  RequestFleet (uint64_t seed, size_t bad_count)
      : bad (bad_count), random_ (seed)
  {
    for (int i = 0; i < Vms; i++)
      tables_.push_back (make (seed + (uint64_t)i));
    for (auto &u : upstreams_)
      u.id = ++next_;
  }
  void
  play (int seconds, double bad_per_s)
  {
    uint64_t end = (uint64_t)seconds * Second;
    for (now_ = Second; now_ < end; now_ += 5 * Ms)
      {
        deliver ();
        step ();
        if (chance (0.05))
          arrive (0, now_ > end / 3 * 2); // 10 a second
        if (chance (0.1))
          arrive (1000 + next_++, false);
        for (size_t i = 0; i < bad.size (); i++)
          if (chance (bad_per_s * 0.005))
            arrive (1 + i, false);
      }
  }

private:
  struct Run
  {
    int vm;
    uint64_t identity, begin_us;
  };
  struct Upstream
  {
    uint64_t id = 0, back_us = 0;
    std::vector<Run> runs;
  };
  struct Delayed
  {
    uint64_t at_us;
    int from;
    qn_row row;
  };
  std::mt19937_64 random_;
  std::vector<Table> tables_;
  std::vector<Delayed> delayed_;
  Upstream upstreams_[Upstreams];
  uint64_t now_ = 0, next_ = 0;

  bool
  chance (double p)
  {
    return std::uniform_real_distribution<> (0, 1) (random_) < p;
  }
  uint64_t
  pick (uint64_t n)
  {
    return random_ () % n;
  }
  qn_table *
  table (int vm)
  {
    return tables_[(size_t)vm].get ();
  }
  void
  tell (int from, const qn_row *rows, uint32_t count)
  {
    for (uint32_t i = 0; i < count; i++)
      delayed_.push_back ({ now_ + (10 + pick (40)) * Ms, from, rows[i] });
  }
  void
  deliver ()
  {
    std::vector<Delayed> due;
    for (auto &d : delayed_)
      if (d.at_us <= now_)
        due.push_back (d);
    delayed_.erase (
        std::remove_if (delayed_.begin (), delayed_.end (),
                        [&] (const Delayed &d) { return d.at_us <= now_; }),
        delayed_.end ());
    for (auto &d : due)
      for (int vm = 0; vm < Vms; vm++)
        if (vm != d.from && qn_on_row (table (vm), &d.row, now_))
          {
            qn_row served = d.row;
            served.kind = QN_SERVED;
            tell (vm, &served, 1);
          }
  }
  void
  arrive (uint64_t identity, bool counted)
  {
    int vm = (int)pick (Vms);
    qn_row row;
    qn_request r = repeated (identity);
    sound_sent += counted;
    if (qn_query_blocked (table (vm), &r, now_) != nullptr)
      {
        sound_refused += counted;
        return;
      }
    std::vector<Upstream *> up;
    for (auto &u : upstreams_)
      if (u.back_us <= now_ && u.runs.size () < 6)
        up.push_back (&u);
    if (up.empty ())
      return;
    if (qn_on_sent (table (vm), identity, now_, &row))
      tell (vm, &row, 1);
    if (identity >= 1 && identity <= bad.size ())
      {
        Bad &b = bad[identity - 1];
        b.sent++;
        b.late += b.third_us != 0 && now_ > b.third_us + 3 * Second;
      }
    up[pick (up.size ())]->runs.push_back ({ vm, identity, now_ });
  }
  void
  step ()
  {
    for (auto &u : upstreams_)
      {
        bool ends = false;
        for (auto &run : u.runs)
          ends |= run.identity >= 1 && run.identity <= bad.size ()
                  && now_ >= run.begin_us + 100 * Ms;
        if (ends)
          crash (u);
        for (auto &run : u.runs)
          if (now_ >= run.begin_us + 30 * Ms
              && run.identity - 1 >= bad.size ())
            respond (u, run);
        u.runs.erase (std::remove_if (u.runs.begin (), u.runs.end (),
                                      [&] (const Run &r) {
                                        return now_ >= r.begin_us + 30 * Ms
                                               && r.identity - 1
                                                      >= bad.size ();
                                      }),
                      u.runs.end ());
      }
  }
  void
  respond (const Upstream &u, const Run &run)
  {
    qn_row rows[QN_SUBJECTS_MAX];
    qn_request r = repeated (run.identity);
    if (qn_on_alive (table (run.vm), u.id, run.begin_us, now_, rows))
      tell (run.vm, rows, 1);
    tell (run.vm, rows, qn_on_served (table (run.vm), &r, now_, rows));
  }
  void
  crash (Upstream &u)
  {
    qn_row rows[QN_SUBJECTS_MAX];
    for (auto &run : u.runs)
      {
        qn_request r = repeated (run.identity);
        if (run.identity >= 1 && run.identity <= bad.size ())
          {
            Bad &b = bad[run.identity - 1];
            if (b.last_us != now_ && ++b.crashes == 3)
              b.third_us = now_;
            b.last_us = now_;
          }
        tell (run.vm, rows, qn_on_lost (table (run.vm), &r, u.id, now_, rows));
      }
    u.runs.clear ();
    u.id = 1000 + ++next_;
    u.back_us = now_ + (2500 + pick (1500)) * Ms;
  }
};

// Guards against requests that crash upstreams at all VMs, each of which sees
// a few of the losses, and against refusing a sound one that was beside them.
TEST (QnFleet, BadRequestsAreBlockedEverywhereAndNothingElse)
{
  for (uint64_t seed = 1; seed <= 100; seed++)
    for (size_t bad_count : { 1u, 3u })
      for (double bad_per_s : { 0.5, 2.0, 8.0 })
        {
          RequestFleet f (seed, bad_count);
          f.play (90, bad_per_s);
          SCOPED_TRACE ("seed " + std::to_string (seed) + ", "
                        + std::to_string (bad_count) + " of "
                        + std::to_string (bad_per_s) + " a second");
          for (auto &b : f.bad)
            EXPECT_LE (b.late, 3u) << b.crashes << " crashes";
          EXPECT_LE (f.sound_refused, f.sound_sent / 20);
        }
}
}
