// Responses that wait in the output of their connections.
#include "hx.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

namespace
{

// More than the buffers of both sockets hold.
const size_t large_response_bytes = 16 << 20;

class HxUnsent : public testing::Test
{
protected:
  event_base *base = event_base_new ();
  evhttp *http = evhttp_new (base);
  hx_unsent unsent = {};
  uint32_t right_after_reply = 0;
  size_t response_bytes = 1;
  bool chunked = false;
  int client = -1;

  static void
  on_request (evhttp_request *req, void *arg)
  {
    HxUnsent *t = static_cast<HxUnsent *> (arg);
    evbuffer *out = evbuffer_new ();
    std::string body (t->response_bytes, 'x');
    evbuffer_add (out, body.data (), body.size ());
    if (t->chunked)
      {
        evhttp_send_reply_start (req, 200, "OK");
        evhttp_send_reply_chunk (req, out);
        hx_track (&t->unsent, req);
        evhttp_send_reply_end (req);
      }
    else
      {
        hx_track (&t->unsent, req);
        evhttp_send_reply (req, 200, "OK", out);
      }
    evbuffer_free (out);
    t->right_after_reply = t->unsent.responses;
  }

  void
  SetUp () override
  {
    evhttp_set_gencb (http, on_request, this);
    evhttp_bound_socket *bound
        = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
    ASSERT_NE (bound, nullptr);
    sockaddr_in address = {};
    socklen_t size = sizeof address;
    getsockname (evhttp_bound_socket_get_fd (bound),
                 reinterpret_cast<sockaddr *> (&address), &size);
    client = socket (AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ (connect (client, reinterpret_cast<sockaddr *> (&address), size),
               0);
    evutil_make_socket_nonblocking (client);
  }

  void
  TearDown () override
  {
    if (client >= 0)
      close (client);
    evhttp_free (http);
    event_base_free (base);
  }

  void
  send_request ()
  {
    const std::string text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_EQ (write (client, text.data (), text.size ()),
               static_cast<ssize_t> (text.size ()));
    right_after_reply = 0;
    while (right_after_reply == 0)
      event_base_loop (base, EVLOOP_ONCE);
  }

  // Reads until nothing is left to send, and returns the bytes.
  size_t
  read_all ()
  {
    std::string buffer (1 << 16, 0);
    size_t total = 0;
    for (int idle = 0; idle < 100;)
      {
        event_base_loop (base, EVLOOP_NONBLOCK);
        ssize_t n = read (client, &buffer[0], buffer.size ());
        if (n > 0)
          total += static_cast<size_t> (n);
        else if (unsent.responses == 0)
          idle++;
      }
    return total;
  }
};

} // namespace

// Guards against a process that ends between the end of a request and the
// write of its last bytes: the caller lost the end of its stream.
TEST_F (HxUnsent, CountsUntilTheLastByteIsWritten)
{
  send_request ();
  EXPECT_EQ (right_after_reply, 1u);
  EXPECT_GT (read_all (), response_bytes);
  EXPECT_EQ (unsent.responses, 0u);
}

TEST_F (HxUnsent, CountsTheEndOfAChunkedResponse)
{
  chunked = true;
  send_request ();
  EXPECT_EQ (right_after_reply, 1u);
  EXPECT_GT (read_all (), response_bytes);
  EXPECT_EQ (unsent.responses, 0u);
}

// Guards against a count that is not per response on a reused connection.
TEST_F (HxUnsent, CountsEachResponseOfAConnection)
{
  for (int i = 0; i < 3; i++)
    {
      send_request ();
      EXPECT_EQ (right_after_reply, 1u);
      read_all ();
      EXPECT_EQ (unsent.responses, 0u);
    }
}

TEST_F (HxUnsent, CountsWhileTheCallerDoesNotRead)
{
  response_bytes = large_response_bytes;
  send_request ();
  for (int i = 0; i < 100; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  EXPECT_EQ (unsent.responses, 1u);
  EXPECT_GT (read_all (), response_bytes);
  EXPECT_EQ (unsent.responses, 0u);
}

// Guards against a shutdown that waits for a caller that disconnected.
TEST_F (HxUnsent, DoesNotCountClosedConnections)
{
  response_bytes = large_response_bytes;
  send_request ();
  EXPECT_EQ (unsent.responses, 1u);
  close (client);
  client = -1;
  for (int i = 0; i < 1000 && unsent.responses > 0; i++)
    event_base_loop (base, EVLOOP_ONCE);
  EXPECT_EQ (unsent.responses, 0u);
}
