#include "fr.h"
#include "ms.h"

#include <event2/buffer.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace
{

st_str
str (const char *s)
{
  return st_from_cstr (s);
}

uint64_t
seed ()
{
  const char *text = getenv ("DB_SEED");
  return text != nullptr ? strtoull (text, nullptr, 10) : 1;
}

ms_member
member (const char *name)
{
  ms_member m = {};
  m.name = str (name);
  m.incarnation = str ("rajkot-a-1-0123456789abcdef");
  m.region = str ("gujarat-west");
  m.data_center = str ("rajkot-a");
  m.peer_address = str ("127.0.0.1:7001");
  m.callers_address = str ("127.0.0.1:8001");
  m.state = MS_MEMBER_LEAVING;
  m.counter = 77;
  return m;
}

// One message of each type with every field set.  The arrays are static so
// that the messages can be copied.
std::vector<ms_message>
samples ()
{
  static ms_member updates[MS_UPDATES_MAX];
  for (auto &u : updates)
    u = member ("jamnagar-b-2");
  static ms_demand demands[2] = { { ST_LIT ("night"), 12, 1000000 },
                                  { ST_LIT ("day"), UINT64_MAX, 0 } };
  static ms_prefix prefixes[3]
      = { { 1, 16 }, { UINT64_MAX, 32 }, { 0x1234567890abcdef, 48 } };
  static ms_settings_ref refs[2]
      = { { ST_LIT ("root"), ST_LIT ("h1"), 41 },
          { ST_LIT ("team/night"), ST_LIT ("h2"), UINT64_MAX } };
  static uint64_t counts[4] = { 0, 1, 300, UINT64_MAX };
  static ms_evidence_entry entries[2]
      = { { ST_LIT ("labels"), ST_LIT ("v2"), ST_LIT ("draft"), 2, 4, counts },
          { ST_LIT ("labels"), ST_LIT ("v1"), ST_LIT ("draft"), 0, 0,
            nullptr } };
  std::vector<ms_message> all;
  for (unsigned type = MS_HELLO; type < MS_TYPE_END; type++)
    {
      ms_message m = {};
      m.type = (ms_type)type;
      m.correlation = 0x0102030405060708 + type;
      switch (m.type)
        {
        case MS_HELLO:
          m.u.hello = { str ("rajkot-a-1"),
                        str ("rajkot-a-1-0123456789abcdef"),
                        str ("gujarat-west"),
                        str ("rajkot-a"),
                        str ("127.0.0.1:7001"),
                        str ("127.0.0.1:8001"),
                        1 };
          break;
        case MS_PING:
        case MS_ACK:
          m.u.probe = { 9,
                        str ("rajkot-a-1-0123456789abcdef"),
                        str ("jamnagar-b-2-0123456789abcdef"),
                        41,
                        member ("rajkot-a-1"),
                        MS_UPDATES_MAX,
                        updates,
                        2,
                        demands };
          break;
        case MS_PING_REQ:
          m.u.ping_req = { 10, str ("a-1"), str ("b-2") };
          break;
        case MS_LOOKUP:
          m.u.lookup = { str ("a-1.5.n"), str ("b-2"), true };
          break;
        case MS_LOOKUP_REPLY:
          m.u.lookup_reply = { str ("a-1.5.n"), MS_LOOKUP_FINISHED,
                               MS_OUTCOME_NOT_RUN, str ("engine-3") };
          break;
        case MS_SLOT_ASK:
          m.u.slot_ask = { 5,          str ("rajkot-a/llm/0"),
                           4,          str ("night"),
                           str ("v1"), str ("draft"),
                           4096,       300,
                           3,          prefixes,
                           30000,      str ("engine-3"),
                           true };
          break;
        case MS_SLOT_GRANT:
          m.u.slot_grant = { 5, str ("engine-3"), 6, 310000 };
          break;
        case MS_SLOT_REFUSE:
          m.u.slot_refuse = { 5, MS_REFUSE_SHED, 1500, true };
          break;
        case MS_SLOT_DONE:
          m.u.slot_done
              = { 5, 6, 280000, 300, 38000, MS_OUTCOME_ANSWERED, true };
          break;
        case MS_SLOT_STOP:
          m.u.slot_stop = { 5, 6 };
          break;
        case MS_SLOT_HOLD:
          m.u.slot_hold = { 5,
                            6,
                            str ("rajkot-a/llm/0"),
                            str ("engine-3"),
                            2,
                            str ("night"),
                            str ("v1"),
                            str ("draft"),
                            4096,
                            300,
                            17 };
          break;
        case MS_SLOT_CANCEL:
          m.u.slot_cancel = { 5 };
          break;
        case MS_SETTINGS_HEAD:
          m.u.settings_head = { 42, 2, refs, 40 };
          break;
        case MS_SETTINGS_GET:
          m.u.settings_get = { 2, refs, 7 };
          break;
        case MS_SETTINGS_VALUE:
          m.u.settings_value = { str ("h1"), st_str{ "a\0b", 3 } };
          break;
        case MS_HALT:
          m.u.halt = { str ("labels"), str ("v2"), str ("failures"), 12 };
          break;
        case MS_EVIDENCE:
          m.u.evidence = { str ("a-1"), 3, 2, entries };
          break;
        case MS_ABANDON_ASK:
          m.u.abandon_ask = { str ("a-1"), str ("night/orders/k1"), 99 };
          break;
        case MS_ABANDON_REPLY:
          m.u.abandon_reply = { str ("night/orders/k1"), 99, true };
          break;
        case MS_DEMAND:
          m.u.demand_report = { 2, demands };
          break;
        case MS_LOAD:
          {
            static const ms_load_row rows[2] = { { 7, 3, 4096 }, { 9, 0, 0 } };
            static const ms_load_team teams[1] = { { 11, 74267 } };
            static const ms_load_rollout rollouts[1]
                = { { 13, 17, 1200, 19, 40, 3, 900, 5 } };
            static const ms_load_limit limits[2]
                = { { 7, true, 1600, 20 }, { 9, false, 0, 4000 } };
            m.u.load = {
              MS_LOAD_GROUP, 3, true, true, 17,    42, true,     true, 1500,
              { 0, 2, 5 },   2, rows, 1,    teams, 1,  rollouts, 2,    limits
            };
            break;
          }
        case MS_SUSPECTS:
          {
            static const ms_suspect rows[2]
                = { { ST_LIT ("llm/5c1e07a2"), false, 7, 9 },
                    { ST_LIT ("llm/91bd3f06"), true, 0, 0 } };
            m.u.suspects = { 2, rows };
            break;
          }
        case MS_TYPE_END:
          break;
        }
      all.push_back (m);
    }
  return all;
}

std::string
bytes_of (const ms_message &m)
{
  struct evbuffer *out = evbuffer_new ();
  er_error err = {};
  EXPECT_TRUE (ms_encode (out, &m, &err)) << err.message;
  size_t n = evbuffer_get_length (out);
  std::string s (n, 0);
  evbuffer_remove (out, &s[0], n);
  evbuffer_free (out);
  return s;
}

// Feeds BYTES to a frame decoder and then the message decoder; calls SEEN for
// each message that decodes.
fr_result
feed (ms_decoder *d, const std::string &bytes,
      const std::function<void (const ms_message &)> &seen, bool *rejected,
      er_error *err)
{
  struct evbuffer *in = evbuffer_new ();
  evbuffer_add (in, bytes.data (), bytes.size ());
  fr_frame frame = {};
  fr_result r;
  while ((r = fr_decode (in, &frame, err)) == FR_FRAME)
    {
      ms_message m;
      if (ms_decode (d, &frame, &m, err))
        seen (m);
      else
        *rejected = true;
      fr_drain (in, &frame);
    }
  evbuffer_free (in);
  return r;
}

class Ms : public testing::Test
{
protected:
  void
  SetUp () override
  {
    decoder = ms_make_decoder ();
  }
  void
  TearDown () override
  {
    ms_destroy_decoder (decoder);
  }
  ms_decoder *decoder = nullptr;
};

} // namespace

// Guards against a field that is lost, swapped or changed in transit.
TEST_F (Ms, RoundTripOfEveryType)
{
  for (const ms_message &m : samples ())
    {
      SCOPED_TRACE (ms_type_name (m.type));
      std::string bytes = bytes_of (m);
      int count = 0;
      bool rejected = false;
      er_error err = {};
      feed (
          decoder, bytes,
          [&] (const ms_message &got) {
            count++;
            EXPECT_EQ (got.type, m.type);
            EXPECT_EQ (got.correlation, m.correlation);
            // Equal bytes after a second encoding show that every field was
            // decoded.
            EXPECT_EQ (bytes_of (got), bytes);
          },
          &rejected, &err);
      EXPECT_EQ (count, 1) << err.message;
      EXPECT_FALSE (rejected);
    }
}

// Guards against two fields of one type that are read in another order than
// written, which a second encoding would hide.
TEST_F (Ms, FieldsKeepTheirMeaning)
{
  for (const ms_message &m : samples ())
    {
      bool rejected = false;
      er_error err = {};
      feed (
          decoder, bytes_of (m),
          [&] (const ms_message &got) {
            if (m.type == MS_SLOT_ASK)
              {
                EXPECT_EQ (got.u.slot_ask.prompt_tokens, 4096u);
                EXPECT_EQ (got.u.slot_ask.expected_tokens, 300u);
                EXPECT_TRUE (st_equal_cstr (got.u.slot_ask.route, "draft"));
                ASSERT_EQ (got.u.slot_ask.prefix_count, 3u);
                EXPECT_EQ (got.u.slot_ask.prefixes[1].hash, UINT64_MAX);
                EXPECT_EQ (got.u.slot_ask.prefixes[2].tokens, 48u);
              }
            if (m.type == MS_ACK)
              {
                ASSERT_EQ (got.u.probe.update_count, (size_t)MS_UPDATES_MAX);
                EXPECT_TRUE (st_equal_cstr (got.u.probe.updates[7].name,
                                            "jamnagar-b-2"));
                EXPECT_EQ (got.u.probe.updates[7].state, MS_MEMBER_LEAVING);
                EXPECT_EQ (got.u.probe.demands[1].demand, UINT64_MAX);
                EXPECT_EQ (got.u.probe.demands[0].share, 1000000u);
              }
            if (m.type == MS_EVIDENCE)
              {
                ASSERT_EQ (got.u.evidence.count, 2u);
                ASSERT_EQ (got.u.evidence.entries[0].count, 4u);
                EXPECT_EQ (got.u.evidence.entries[0].counts[2], 300u);
              }
            if (m.type == MS_SETTINGS_VALUE)
              {
                EXPECT_EQ (got.u.settings_value.bytes.len, 3u);
              }
          },
          &rejected, &err);
    }
}

// Guards against a partial frame that is treated as complete or as an error.
TEST_F (Ms, TruncatedStreamWaitsForMore)
{
  for (const ms_message &m : samples ())
    {
      SCOPED_TRACE (ms_type_name (m.type));
      std::string bytes = bytes_of (m);
      for (size_t n = 0; n < bytes.size (); n++)
        {
          bool rejected = false;
          er_error err = {};
          EXPECT_EQ (feed (
                         decoder, bytes.substr (0, n),
                         [] (const ms_message &) { ADD_FAILURE (); },
                         &rejected, &err),
                     FR_MORE);
          EXPECT_FALSE (rejected);
        }
    }
}

// Guards against reads past the end of a truncated body.
TEST_F (Ms, TruncatedBodyIsRejected)
{
  for (const ms_message &m : samples ())
    {
      SCOPED_TRACE (ms_type_name (m.type));
      std::string bytes = bytes_of (m);
      for (size_t n = FR_HEADER_BYTES; n < bytes.size (); n++)
        {
          // An exact copy on the heap lets the address sanitizer find reads
          // past its end.
          std::vector<char> body (bytes.begin () + FR_HEADER_BYTES,
                                  bytes.begin () + (long)n);
          fr_frame frame
              = { (uint8_t)m.type, 1, { body.data (), body.size () } };
          ms_message got;
          er_error err = {};
          EXPECT_FALSE (ms_decode (decoder, &frame, &got, &err));
          EXPECT_EQ (err.kind, ER_INVALID);
          EXPECT_NE (std::string (err.message).find (ms_type_name (m.type)),
                     std::string::npos);
        }
    }
}

// Guards against corrupted bytes that crash the decoder, cause reads out of
// bounds or decode to a message that exceeds its own limits.
TEST_F (Ms, RandomByteFlips)
{
  std::mt19937_64 rng (seed ());
  printf ("seed %llu\n", (unsigned long long)seed ());
  size_t accepted = 0;
  size_t rejected_count = 0;
  for (int round = 0; round < 300; round++)
    for (const ms_message &m : samples ())
      {
        std::string bytes = bytes_of (m);
        unsigned flips = 1 + (unsigned)(rng () % 4);
        for (unsigned i = 0; i < flips; i++)
          bytes[rng () % bytes.size ()] = (char)rng ();
        bool rejected = false;
        er_error err = {};
        fr_result r = feed (
            decoder, bytes,
            [&] (const ms_message &got) {
              accepted++;
              bytes_of (got); // what decodes also encodes
            },
            &rejected, &err);
        if (rejected || r > FR_MORE)
          {
            rejected_count++;
            EXPECT_NE (err.kind, ER_OK);
            EXPECT_NE (err.message[0], 0);
          }
      }
  EXPECT_GT (accepted, 0u);
  EXPECT_GT (rejected_count, 0u);
}

// Guards against allocations whose size is taken from a stated count.
TEST_F (Ms, StatedCountsAreNotTrusted)
{
  const std::vector<std::string> bodies = {
    std::string ("\xdd\xff\xff\xff\xff", 5),
    std::string ("\xdd\x00\x10\x00\x00\x01\x01", 7),
    std::string ("\x91\xdb\xff\xff\xff\xff", 6),
    std::string ("\x91\xc6\x7f\xff\xff\xff", 6),
    std::string ("\xdf\xff\xff\xff\xff", 5),
    std::string ("\x91\x91\x91\x91\x91\x91\x91\x01", 8),
    std::string ("\xc1", 1),
    std::string (),
    // 100,000 valid objects
    std::string ("\xdd\x00\x01\x86\xa0", 5) + std::string (100000, 1),
  };
  for (const std::string &body : bodies)
    for (unsigned type = MS_HELLO; type < MS_TYPE_END; type++)
      {
        fr_frame frame = { (uint8_t)type, 1, { body.data (), body.size () } };
        ms_message got;
        er_error err = {};
        EXPECT_FALSE (ms_decode (decoder, &frame, &got, &err));
        EXPECT_EQ (err.kind, ER_INVALID);
      }
}

// Guards against a body with a valid message followed by other bytes.
TEST_F (Ms, BytesAfterTheBodyAreRejected)
{
  for (const ms_message &m : samples ())
    {
      std::string body = bytes_of (m).substr (FR_HEADER_BYTES) + "\x01";
      fr_frame frame = { (uint8_t)m.type, 1, { body.data (), body.size () } };
      ms_message got;
      EXPECT_FALSE (ms_decode (decoder, &frame, &got, nullptr));
    }
}

// Guards against values out of range that encode or decode.
TEST_F (Ms, RangesAreChecked)
{
  std::vector<ms_message> all = samples ();
  struct evbuffer *out = evbuffer_new ();
  er_error err = {};
  std::string longname (MS_NAME_MAX + 1, 'x');
  for (ms_message m : all)
    {
      switch (m.type)
        {
        case MS_SLOT_ASK:
          m.u.slot_ask.tier = MS_TIERS;
          break;
        case MS_HELLO:
          m.u.hello.name = str (longname.c_str ());
          break;
        case MS_PING:
          m.u.probe.update_count = MS_UPDATES_MAX + 1;
          break;
        case MS_ACK:
          m.u.probe.self.state = MS_MEMBER_STATES;
          break;
        case MS_HALT:
          m.u.halt.service = st_str{ "a\0b", 3 };
          break;
        case MS_ABANDON_ASK:
          m.u.abandon_ask.key = str ("");
          break;
        default:
          continue;
        }
      err = {};
      EXPECT_FALSE (ms_encode (out, &m, &err)) << ms_type_name (m.type);
      EXPECT_EQ (err.kind, ER_INVALID);
    }
  EXPECT_EQ (evbuffer_get_length (out), 0u);
  evbuffer_free (out);
  // The reason of an encoded SLOT_REFUSE is set out of range.
  std::string bytes = bytes_of (all[MS_SLOT_REFUSE - 1]);
  size_t reason = bytes.find ((char)MS_REFUSE_SHED, FR_HEADER_BYTES);
  ASSERT_NE (reason, std::string::npos);
  bytes[reason] = (char)MS_REFUSE_REASONS;
  bool rejected = false;
  feed (
      decoder, bytes, [] (const ms_message &) { ADD_FAILURE (); }, &rejected,
      &err);
  EXPECT_TRUE (rejected);
}

// Guards against a store value of the maximum size that does not fit a frame.
TEST_F (Ms, LargestValueFits)
{
  std::string value (MS_VALUE_MAX_BYTES, 'v');
  ms_message m = {};
  m.type = MS_SETTINGS_VALUE;
  m.u.settings_value = { str ("h"), { value.data (), value.size () } };
  bool rejected = false;
  er_error err = {};
  int count = 0;
  feed (
      decoder, bytes_of (m),
      [&] (const ms_message &got) {
        count++;
        EXPECT_EQ (got.u.settings_value.bytes.len, value.size ());
      },
      &rejected, &err);
  EXPECT_EQ (count, 1);
}

// Guards against buffering data of a frame that can never be valid.
TEST (Fr, BadHeadersAreDetectedBeforeTheBodyArrives)
{
  struct
  {
    std::string bytes;
    fr_result expected;
    er_kind kind;
  } cases[] = {
    { std::string ("\xff\xff\xff\xff", 4), FR_TOO_LONG, ER_TOO_LARGE },
    { std::string ("\x00\x11\x00\x00", 4), FR_TOO_LONG, ER_TOO_LARGE },
    { std::string ("\x00\x00\x00\x09", 4), FR_MALFORMED, ER_INVALID },
    { std::string ("\x00\x00\x00\x00", 4), FR_MALFORMED, ER_INVALID },
    { std::string ("\x00\x00\x00\x20", 4) + (char)(FR_VERSION - 1),
      FR_UNKNOWN_VERSION, ER_UNSUPPORTED },
    { std::string ("\x00\x00\x00\x20", 4) + (char)(FR_VERSION + 1),
      FR_UNKNOWN_VERSION, ER_UNSUPPORTED },
    { std::string ("\x00\x00\x00\x20", 4) + (char)FR_VERSION + '\x00',
      FR_UNKNOWN_TYPE, ER_UNSUPPORTED },
    { std::string ("\x00\x00\x00\x20", 4) + (char)FR_VERSION + '\xff',
      FR_UNKNOWN_TYPE, ER_UNSUPPORTED },
  };
  for (auto &c : cases)
    {
      struct evbuffer *in = evbuffer_new ();
      evbuffer_add (in, c.bytes.data (), c.bytes.size ());
      fr_frame frame = {};
      er_error err = {};
      EXPECT_EQ (fr_decode (in, &frame, &err), c.expected);
      EXPECT_EQ (err.kind, c.kind);
      EXPECT_STRNE (fr_result_name (c.expected), "frame");
      evbuffer_free (in);
    }
}

// Guards against sending a body over the limit, after which the receiver would
// close the connection.
TEST (Fr, EncodeRejectsWhatDecodeRejects)
{
  struct evbuffer *out = evbuffer_new ();
  std::string body (FR_BODY_MAX_BYTES + 1, 'x');
  er_error err = {};
  EXPECT_FALSE (
      fr_encode (out, MS_PING, 1, { body.data (), body.size () }, &err));
  EXPECT_EQ (err.kind, ER_TOO_LARGE);
  EXPECT_FALSE (fr_encode (out, 0, 1, { body.data (), 1 }, &err));
  EXPECT_FALSE (fr_encode (out, MS_TYPE_END, 1, { body.data (), 1 }, &err));
  EXPECT_EQ (evbuffer_get_length (out), 0u);
  EXPECT_TRUE (
      fr_encode (out, MS_PING, 1, { body.data (), FR_BODY_MAX_BYTES }, &err));
  fr_frame frame = {};
  EXPECT_EQ (fr_decode (out, &frame, &err), FR_FRAME);
  EXPECT_EQ (frame.body.len, (size_t)FR_BODY_MAX_BYTES);
  evbuffer_free (out);
}

// Guards against errors in reassembly when frames arrive in small pieces.
TEST (Fr, ManyFramesInPieces)
{
  struct evbuffer *out = evbuffer_new ();
  for (uint64_t i = 0; i < 100; i++)
    {
      std::string body (i * 7, (char)i);
      ASSERT_TRUE (
          fr_encode (out, MS_ACK, i, { body.data (), body.size () }, nullptr));
    }
  std::string bytes (evbuffer_get_length (out), 0);
  evbuffer_remove (out, &bytes[0], bytes.size ());
  struct evbuffer *in = evbuffer_new ();
  uint64_t next = 0;
  for (size_t at = 0; at < bytes.size (); at += 13)
    {
      evbuffer_add (in, &bytes[at], std::min<size_t> (13, bytes.size () - at));
      fr_frame frame = {};
      while (fr_decode (in, &frame, nullptr) == FR_FRAME)
        {
          EXPECT_EQ (frame.correlation, next);
          EXPECT_EQ (frame.body.len, next * 7);
          next++;
          fr_drain (in, &frame);
        }
    }
  EXPECT_EQ (next, 100u);
  evbuffer_free (in);
  evbuffer_free (out);
}
