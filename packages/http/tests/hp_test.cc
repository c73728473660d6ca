#include "hp.h"

#include <gtest/gtest.h>
#include <string>

namespace
{
struct Reader
{
  std::string body;
  hp_reader *reader;
  struct evbuffer *in = evbuffer_new ();

  explicit Reader (hp_kind kind, size_t max_head = 0)
  {
    hp_desc desc = {};
    desc.kind = kind;
    desc.max_head_bytes = max_head;
    desc.on_body = [] (void *user, st_str bytes) {
      static_cast<Reader *> (user)->body.append (bytes.ptr, bytes.len);
    };
    desc.user = this;
    reader = hp_make (&desc);
  }
  ~Reader ()
  {
    hp_destroy (reader);
    evbuffer_free (in);
  }
  void
  add (const std::string &text)
  {
    evbuffer_add (in, text.data (), text.size ());
  }
  // Reads to the end of the message, an error, or the end of the bytes.
  hp_result
  read ()
  {
    hp_result result;
    do
      result = hp_read (reader, in);
    while (result == HP_HEAD);
    return result;
  }
  std::string
  field (const char *name)
  {
    st_str value;
    if (!hp_get (hp_query_head (reader), st_from_cstr (name), &value))
      return "(none)";
    return std::string (value.ptr, value.len);
  }
};

const char *const complete_request = "POST /a/b?c=1 HTTP/1.1\r\n"
                                     "Host: api.example\r\n"
                                     "X-Name:  some value \t\r\n"
                                     "Content-Length: 5\r\n\r\nhello";

// Guards against a head or body that depends on how the bytes arrive.
TEST (Hp, ReadsARequestSplitAnywhere)
{
  std::string text = complete_request;
  for (size_t split = 0; split <= text.size (); split++)
    {
      Reader r (HP_REQUEST);
      r.add (text.substr (0, split));
      r.read ();
      r.add (text.substr (split));
      ASSERT_EQ (r.read (), HP_END) << "split at " << split;
      const hp_head *head = hp_query_head (r.reader);
      EXPECT_EQ (std::string (head->target.ptr, head->target.len), "/a/b?c=1");
      EXPECT_EQ (r.field ("x-name"), "some value");
      EXPECT_EQ (r.body, "hello");
    }
}

// Guards against bytes of the next message being read as part of this one.
TEST (Hp, StopsAfterEachMessage)
{
  Reader r (HP_RESPONSE);
  r.add ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 500 No\r\n");
  ASSERT_EQ (r.read (), HP_END);
  EXPECT_EQ (r.body, "ab");
  EXPECT_EQ (evbuffer_get_length (r.in), strlen ("HTTP/1.1 500 No\r\n"));
  hp_next (r.reader);
  r.add ("Content-Length: 0\r\n\r\n");
  ASSERT_EQ (r.read (), HP_END);
  EXPECT_EQ (hp_query_head (r.reader)->status, 500);
}

// Guards against request smuggling: two readers that disagree on the end of a
// message.
TEST (Hp, RefusesAmbiguousFraming)
{
  const char *const bad[] = {
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
    "Content-Length: 5\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
    "Content-Length: 6\r\n\r\nhello!",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\nhello",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nhello",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5x\r\n\r\nhello",
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    "nonsense\r\n\r\n",
  };
  for (const char *text : bad)
    {
      Reader r (HP_REQUEST);
      r.add (text);
      EXPECT_EQ (r.read (), HP_BAD) << text;
    }
}

TEST (Hp, ReadsChunksAndDropsTrailers)
{
  Reader r (HP_REQUEST);
  r.add ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
         "3\r\nabc\r\n2;x=1\r\nde\r\n0\r\nX-Late: 1\r\n\r\n");
  ASSERT_EQ (r.read (), HP_END);
  EXPECT_EQ (r.body, "abcde");
  EXPECT_EQ (r.field ("X-Late"), "(none)");
}

// Guards against a head that uses too much memory.
TEST (Hp, BoundsTheHead)
{
  Reader large (HP_REQUEST, 256);
  large.add ("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string (300, 'x')
             + "\r\n\r\n");
  EXPECT_EQ (large.read (), HP_TOO_LARGE);
  Reader many (HP_REQUEST);
  std::string text = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < HP_FIELDS_MAX + 1; i++)
    text += "A: b\r\n";
  many.add (text + "\r\n");
  EXPECT_EQ (many.read (), HP_TOO_LARGE);
}

// Guards against a truncated response being taken for a complete one.
TEST (Hp, DistinguishesCompleteFromTruncatedResponses)
{
  Reader unframed (HP_RESPONSE);
  unframed.add ("HTTP/1.1 200 OK\r\n\r\nall of it");
  EXPECT_EQ (unframed.read (), HP_MORE);
  EXPECT_EQ (hp_finish (unframed.reader), HP_END);
  EXPECT_EQ (unframed.body, "all of it");
  Reader truncated (HP_RESPONSE);
  truncated.add ("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_EQ (truncated.read (), HP_MORE);
  EXPECT_EQ (hp_finish (truncated.reader), HP_BAD);
  Reader chunk (HP_RESPONSE);
  chunk.add ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nabc\r\n");
  EXPECT_EQ (chunk.read (), HP_MORE);
  EXPECT_EQ (hp_finish (chunk.reader), HP_BAD);
  Reader none (HP_RESPONSE);
  EXPECT_EQ (hp_finish (none.reader), HP_MORE);
}

TEST (Hp, FindsElementsOfLists)
{
  EXPECT_TRUE (hp_list_contains (ST_LIT ("a, X-b ,c"), ST_LIT ("x-B")));
  EXPECT_TRUE (hp_list_contains (ST_LIT ("close"), ST_LIT ("Close")));
  EXPECT_FALSE (hp_list_contains (ST_LIT ("closed"), ST_LIT ("close")));
  EXPECT_FALSE (hp_list_contains (ST_LIT (""), ST_LIT ("close")));
}

// Guards against state of one message that affects the next: messages with
// random changed bytes never crash the reader.
TEST (Hp, SurvivesRandomBytes)
{
  uint32_t random = 12345;
  for (int round = 0; round < 2000; round++)
    {
      Reader r (round % 2 == 0 ? HP_REQUEST : HP_RESPONSE);
      std::string text = complete_request;
      for (int change = 0; change < 4; change++)
        {
          random = random * 1664525u + 1013904223u;
          text[(random >> 8) % text.size ()] = (char)(random >> 24);
        }
      r.add (text);
      hp_result result = r.read ();
      if (result == HP_END)
        hp_next (r.reader);
      else if (result == HP_MORE)
        hp_finish (r.reader);
    }
}
} // namespace
