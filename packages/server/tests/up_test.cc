#include "up.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <unistd.h>
#include <vector>

// A server that sends a fixed response to each request.  In it "@" is replaced
// by the value of the request's field Dotterelbend-Call.
struct Upstream
{
  evconnlistener *listener = nullptr;
  std::string response;
  bool close_after = false;
  std::string repeated;  // follows the response again and again, without end
  size_t sent_bytes = 0; // of REPEATED
  bool copies = false;   // sends each response again before the next one
  std::map<bufferevent *, std::string> last; // response on a connection
  int accepted = 0;
  std::string received;
  std::vector<bufferevent *> open;

  static void
  on_read (bufferevent *bev, void *arg)
  {
    Upstream *p = static_cast<Upstream *> (arg);
    char buffer[4096];
    size_t n = bufferevent_read (bev, buffer, sizeof buffer);
    p->received.append (buffer, n);
    if (p->received.find ("\r\n\r\n") == std::string::npos)
      return;
    std::string text = p->response;
    if (text.find ('@') != std::string::npos)
      text.replace (text.find ('@'), 1, call_of (p->received));
    p->received.clear ();
    std::string all = (p->copies ? p->last[bev] : "") + text;
    p->last[bev] = text;
    bufferevent_write (bev, all.data (), all.size ());
    if (!p->repeated.empty ())
      bufferevent_setcb (bev, on_read, send_repeated, nullptr, p);
    if (p->close_after && p->response.empty ())
      shutdown (bufferevent_getfd (bev), SHUT_RDWR);
    else if (p->close_after)
      bufferevent_setcb (bev, nullptr, on_written, nullptr, p);
  }

  static std::string
  call_of (const std::string &head)
  {
    const std::string name = "Dotterelbend-Call: ";
    size_t at = head.find (name);
    if (at == std::string::npos)
      return "";
    at += name.size ();
    return head.substr (at, head.find ("\r\n", at) - at);
  }

  static void
  send_repeated (bufferevent *bev, void *arg)
  {
    Upstream *p = static_cast<Upstream *> (arg);
    std::string many;
    while (many.size () < 65536)
      many += p->repeated;
    p->sent_bytes += many.size ();
    bufferevent_write (bev, many.data (), many.size ());
  }

  static void
  on_written (bufferevent *bev, void *)
  {
    shutdown (bufferevent_getfd (bev), SHUT_RDWR);
  }

  static void
  on_accept (evconnlistener *l, evutil_socket_t fd, sockaddr *, int, void *arg)
  {
    Upstream *p = static_cast<Upstream *> (arg);
    p->accepted++;
    bufferevent *bev = bufferevent_socket_new (evconnlistener_get_base (l), fd,
                                               BEV_OPT_CLOSE_ON_FREE);
    p->open.push_back (bev);
    bufferevent_setcb (bev, on_read, nullptr, nullptr, p);
    bufferevent_enable (bev, EV_READ | EV_WRITE);
  }

  std::string
  start (event_base *base)
  {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    listener = evconnlistener_new_bind (
        base, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr *> (&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname (evconnlistener_get_fd (listener),
                 reinterpret_cast<sockaddr *> (&address), &size);
    return "127.0.0.1:" + std::to_string (ntohs (address.sin_port));
  }

  void
  stop ()
  {
    for (bufferevent *bev : open)
      bufferevent_free (bev);
    open.clear ();
    if (listener != nullptr)
      evconnlistener_free (listener);
    listener = nullptr;
  }
};

struct Result
{
  event_base *base;
  int done = 0;
  up_result last = {};
  std::string body;
  up_pool *pool = nullptr;
  up_id id = 0;
  bool cancel_on_data = false;
};

static void
on_data (void *user, evbuffer *data)
{
  Result *r = static_cast<Result *> (user);
  size_t n = evbuffer_get_length (data);
  r->body.append (reinterpret_cast<char *> (evbuffer_pullup (data, -1)), n);
  evbuffer_drain (data, n);
  if (r->cancel_on_data)
    {
      up_cancel (r->pool, r->id);
      event_base_loopbreak (r->base);
    }
}

static void
on_done (void *user, const up_result *result)
{
  Result *r = static_cast<Result *> (user);
  r->done++;
  r->last = *result;
  event_base_loopbreak (r->base);
}

class Up : public testing::Test
{
protected:
  event_base *base = event_base_new ();
  up_pool *pool = nullptr;
  Upstream upstream;
  Result result;

  void
  SetUp () override
  {
    up_desc desc = {};
    desc.base = base;
    desc.idle_timeout_ms = 300;
    desc.connect_timeout_ms = 300;
    pool = up_make (&desc);
    result.base = base;
    result.pool = pool;
  }

  void
  TearDown () override
  {
    up_destroy (pool);
    upstream.stop ();
    event_base_free (base);
  }

  void
  call (const std::string &address, const char *body = "{}")
  {
    up_call_desc desc = {};
    desc.address = st_str{ address.data (), address.size () };
    desc.method = EVHTTP_REQ_POST;
    desc.path = "/x";
    desc.body = st_from_cstr (body);
    desc.on_data = on_data;
    desc.max_body_bytes = 1 << 20;
    desc.on_done = on_done;
    desc.user = &result;
    result.id = up_send (pool, &desc);
    ASSERT_NE (result.id, 0u);
    timeval limit = { 5, 0 };
    event_base_loopexit (base, &limit);
    event_base_dispatch (base);
  }
};

// Guards against a faulty upstream that ends this VM: it sends what is no
// response, without end, and all of it is stored.
TEST_F (Up, AResponseWithoutEndIsCutOff)
{
  signal (SIGPIPE, SIG_IGN);
  const std::string head = "HTTP/1.1 200 OK\r\nDotterelbend-Call: @\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> kinds[] = {
    { "", "no response " },
    { head + "X-Long: ", "xxxxxxxxxxxxxxxx" },
    { head, "X-Field: value\r\n" },
    { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" },
    { chunked + "4;", "extension=1;" },
    { chunked + "0\r\n", "X-Trailer: value\r\n" },
    { chunked, "4\r\nbody\r\n" },
    { head + "\r\n", "body without a length " },
  };
  std::string address = upstream.start (base);
  for (auto &kind : kinds)
    {
      upstream.response = kind.first;
      upstream.repeated = kind.second;
      upstream.sent_bytes = 0;
      result.done = 0;
      result.last = {};
      call (address);
      EXPECT_EQ (result.done, 1) << kind.second;
      EXPECT_EQ (result.last.end, UP_CONNECTION_LOST) << kind.second;
      EXPECT_LT (upstream.sent_bytes, 16u << 20) << kind.second;
    }
}

// Guards against a refused connection being taken as one that may have run.
TEST_F (Up, RefusedConnectionIsNotSent)
{
  std::string address = upstream.start (base);
  upstream.stop ();
  call (address);
  EXPECT_EQ (result.done, 1);
  EXPECT_EQ (result.last.end, UP_NOT_SENT);
}

// Guards against a request being dispatched again after the upstream read it.
TEST_F (Up, CloseAfterRequestIsConnectionLost)
{
  std::string address = upstream.start (base);
  upstream.close_after = true;
  call (address);
  EXPECT_EQ (result.done, 1);
  EXPECT_EQ (result.last.end, UP_CONNECTION_LOST);
}

// Guards against a truncated response being taken as complete.
TEST_F (Up, TruncatedResponseIsConnectionLost)
{
  std::string address = upstream.start (base);
  upstream.response = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
  upstream.close_after = true;
  call (address);
  EXPECT_EQ (result.last.end, UP_CONNECTION_LOST);
  EXPECT_EQ (result.body, "abc");
}

// Guards against a truncated chunked stream being taken as complete.
TEST_F (Up, TruncatedChunkedResponseIsConnectionLost)
{
  std::string address = upstream.start (base);
  upstream.response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "3\r\nabc\r\n";
  upstream.close_after = true;
  call (address);
  EXPECT_EQ (result.last.end, UP_CONNECTION_LOST);
  EXPECT_EQ (result.body, "abc");
}

// Guards against an unresponsive upstream that occupies a request forever.
TEST_F (Up, UnresponsiveUpstreamTimesOutAsConnectionLost)
{
  std::string address = upstream.start (base);
  call (address);
  EXPECT_EQ (result.done, 1);
  EXPECT_EQ (result.last.end, UP_CONNECTION_LOST);
  EXPECT_STREQ (result.last.error, "timed out");
}

// Guards against garbage being taken as a response.
TEST_F (Up, GarbageIsConnectionLost)
{
  std::string address = upstream.start (base);
  upstream.response = "this is not HTTP\r\n\r\n";
  upstream.close_after = true;
  call (address);
  EXPECT_EQ (result.last.end, UP_CONNECTION_LOST);
}

// Guards against an upstream that ends in the middle of a response's head, and
// a call that takes what it got for a complete response.
TEST_F (Up, HeadThatIsCutOffIsConnectionLost)
{
  std::string address = upstream.start (base);
  for (const char *framing :
       { "Content-Length: 3\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n",
         "Connection: close\r\n\r\n", "\r\n" })
    {
      std::string head = "HTTP/1.1 200 OK\r\nDotterelbend-Call: @\r\n"
                         "Content-Type: application/json\r\n";
      head += framing;
      for (size_t cut = 0; cut < head.size (); cut++)
        {
          upstream.response = head.substr (0, cut);
          upstream.close_after = true;
          result.body.clear ();
          call (address);
          EXPECT_EQ (result.last.end, UP_CONNECTION_LOST)
              << framing << " cut at " << cut;
          EXPECT_EQ (result.body, "");
        }
    }
}

// Guards against a late copy of a response, such as a refusal, that is taken
// for the response to the next call: that call would count as not run while
// the upstream runs it.
TEST_F (Up, LateCopyIsNotTheNextCallsResponse)
{
  for (const char *echo : { "", "Dotterelbend-Call: @\r\n" })
    {
      std::string address = upstream.start (base);
      upstream.copies = true;
      upstream.response = std::string ("HTTP/1.1 503 X\r\n") + echo
                          + "Content-Length: 7\r\n\r\nrefused";
      call (address);
      EXPECT_EQ (result.last.end, UP_COMPLETE);
      EXPECT_EQ (result.last.status, 503);
      upstream.response = std::string ("HTTP/1.1 200 OK\r\n") + echo
                          + "Content-Length: 3\r\n\r\nran";
      result.body.clear ();
      call (address);
      EXPECT_FALSE (result.last.end == UP_COMPLETE
                    && result.last.status == 503)
          << echo << result.body;
      EXPECT_EQ (result.body.find ("refused"), std::string::npos) << echo;
      upstream.stop ();
    }
}

// Guards against bytes behind a response that are taken for the start of the
// next one.
TEST_F (Up, ConnectionWithExtraBytesIsNotReused)
{
  std::string address = upstream.start (base);
  upstream.response = "HTTP/1.1 200 OK\r\nDotterelbend-Call: @\r\n"
                      "Content-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n";
  for (int i = 0; i < 3; i++)
    {
      result.body.clear ();
      call (address);
      EXPECT_EQ (result.last.end, UP_COMPLETE);
      EXPECT_EQ (result.body, "abc");
    }
  EXPECT_EQ (upstream.accepted, 3);
}

// Guards against a connection that is used again though nothing tells a late
// response on it from the next one.
TEST_F (Up, ConnectionWithoutAnEchoIsNotReused)
{
  std::string address = upstream.start (base);
  upstream.response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
  for (int i = 0; i < 3; i++)
    {
      call (address);
      EXPECT_EQ (result.last.end, UP_COMPLETE);
    }
  EXPECT_EQ (upstream.accepted, 3);
}

// Guards against a new connection for each call.
TEST_F (Up, ConnectionIsReused)
{
  std::string address = upstream.start (base);
  upstream.response = "HTTP/1.1 200 OK\r\nDotterelbend-Call: @\r\n"
                      "Content-Length: 3\r\n\r\nabc";
  for (int i = 0; i < 5; i++)
    {
      call (address);
      EXPECT_EQ (result.last.end, UP_COMPLETE);
      EXPECT_EQ (result.last.status, 200);
    }
  EXPECT_EQ (upstream.accepted, 1);
  EXPECT_EQ (result.body, "abcabcabcabcabc");
}

// Guards against callbacks after a cancel, also from inside a callback, and
// against the events of a cancelled call reaching the next one.
TEST_F (Up, CancelInsideCallbackEndsTheCall)
{
  std::string address = upstream.start (base);
  upstream.response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
  result.cancel_on_data = true;
  call (address);
  EXPECT_EQ (result.done, 0);
  EXPECT_EQ (up_query_calls (pool), 0u);
  result.cancel_on_data = false;
  result.body.clear ();
  call (address);
  EXPECT_EQ (result.done, 1);
  EXPECT_EQ (result.body, "abc");
}

// Guards against malformed addresses reaching the network.
TEST_F (Up, MalformedAddressIsRefused)
{
  for (const char *bad : { "", "127.0.0.1", ":80", "127.0.0.1:0",
                           "127.0.0.1:65536", "127.0.0.1:x" })
    {
      char host[64];
      uint16_t port;
      EXPECT_FALSE (
          up_parse_address (st_from_cstr (bad), host, sizeof host, &port))
          << bad;
    }
}
