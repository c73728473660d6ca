// support.hh -- an upstream with faults and a raw caller, for tests of the
// gateway on one event loop.
#pragma once

#include "gw.h"
#include "hp.h"

#include <algorithm>
#include <arpa/inet.h>
#include <deque>
#include <map>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <set>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace support
{

inline st_str
str (const std::string &s)
{
  return { s.data (), s.size () };
}

// A loopback address that only this process uses, so that no other test can
// take a port between its choice and the listen.
inline uint32_t
own_host ()
{
  return 0x7f010001u + ((uint32_t)getpid () % 0x7f0000 << 1);
}

inline struct sockaddr_in
ipv4 (uint32_t host, uint16_t port)
{
  struct sockaddr_in sin = {};
  sin.sin_family = AF_INET;
  sin.sin_addr.s_addr = htonl (host);
  sin.sin_port = htons (port);
  return sin;
}

// Port that FD is bound to.
inline uint16_t
port_of (evutil_socket_t fd)
{
  struct sockaddr_in sin = {};
  socklen_t len = sizeof sin;
  getsockname (fd, (struct sockaddr *)&sin, &len);
  return ntohs (sin.sin_port);
}

// A port that is free at own_host and has not been returned before.
inline uint16_t
free_port ()
{
  static std::set<uint16_t> returned;
  for (;;)
    {
      struct sockaddr_in sin = ipv4 (own_host (), 0);
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      EXPECT_EQ (bind (fd, (struct sockaddr *)&sin, sizeof sin), 0);
      uint16_t port = port_of (fd);
      close (fd);
      if (returned.insert (port).second)
        return port;
    }
}

// PORT of own_host as text.
inline std::string
own_address (uint16_t port)
{
  struct in_addr host = { htonl (own_host ()) };
  return std::string (inet_ntoa (host)) + ":" + std::to_string (port);
}

// Listens on a loopback port that the system chooses and sets *PORT to it.
inline struct evconnlistener *
listen_anywhere (struct event_base *base, evconnlistener_cb on_accept,
                 void *user, uint16_t *port)
{
  struct sockaddr_in sin = ipv4 (INADDR_LOOPBACK, 0);
  struct evconnlistener *listener = evconnlistener_new_bind (
      base, on_accept, user, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&sin, sizeof sin);
  *port = port_of (evconnlistener_get_fd (listener));
  return listener;
}

// Runs the loop of BASE until DONE or for at most LIMIT_MS; returns DONE.
inline bool
run_loop (struct event_base *base, const std::function<bool ()> &done,
          int limit_ms)
{
  ck_clock clock = {};
  uint64_t end = ck_now_us (&clock) + (uint64_t)limit_ms * 1000;
  while (!done () && ck_now_us (&clock) < end)
    {
      struct timeval tv = { 0, 2000 };
      event_base_loopexit (base, &tv);
      event_base_dispatch (base);
    }
  return done ();
}

// Names of header fields that the tests give a gateway.
inline gw_names
field_names ()
{
  gw_names names = {};
  names.request_id = ST_LIT ("X-Id");
  names.deadline_ms = ST_LIT ("X-Deadline");
  names.team = ST_LIT ("X-Team");
  names.expect_instance = ST_LIT ("X-Expect");
  names.signature = ST_LIT ("X-Sign");
  names.not_run = ST_LIT ("X-Not-Run");
  names.leaving = ST_LIT ("X-Leaving");
  names.limit = ST_LIT ("X-Limit");
  names.brittle = ST_LIT ("X-Brittle");
  names.token_usage = ST_LIT ("X-Tokens");
  names.prompt_parts = ST_LIT ("X-Parts");
  names.resume_after = ST_LIT ("Last-Event-Id");
  names.key_scheme = ST_LIT ("Token");
  return names;
}

// Names of the fields that the test upstream reads and writes.
struct FieldNames
{
  std::string id = "X-Id";
  std::string sign = "X-Sign";
  std::string not_run = "X-Not-Run";
  std::string brittle = "X-Brittle";
};

enum Behaviour
{
  Respond,
  Unsigned,       // 200 without a signature
  OtherId,        // only the response of another request
  LateOtherFirst, // the late response of another request, then its own
  Extra,          // its own response, then one more
  NotFound,       // 404, signed
  ErrorText,      // 200, signed, but a text that looks like an event
  ErrorEvent,     // a stream of one event without an id
  EmptyUnframed,  // a stream without a length and events, then the end of the
                  // connection
  ErrorUnframed,  // 500 without a length, ends with the connection
  Truncated,      // half of a body, then the end of the connection
  Cut,            // RAW, then the end of the connection
  Head,           // RAW
  Reset,          // no response, reset
  Shed,           // 503, states that it did not run
  ShedPause,      // the same, and wants no requests for PAUSE_S
  Leaving,        // responds and states that it leaves
  ShedCopied, // 503 that did not run, and again before the connection's next
              // response
  Plain503,   // 503 that does not state so
  OtherInstance,   // 421
  Error,           // 500, signed
  Delayed,         // responds after 50 ms
  BusyError,       // the same, with 500 where more than 4 requests are open
  Silent,          // never responds
  Unframed,        // no length, ends with the connection
  UnframedReset,   // no length, ends with a reset
  Early,           // responds before the body is read
  EarlyReset,      // the same without a length, and resets the connection
  EarlyClose,      // or closes it, with the body unread
  EarlyShutdown,   // or ends its side first, and resets it then
  Encoded,         // a content encoding
  Stream,          // events 1 to 6, or from the one after Last-Event-Id
  StreamTruncated, // two events and half of one, then the connection ends
  StreamGap,       // leaves out an event
  StreamStall,     // two events, then nothing
  StreamDribble,   // two events, then bytes that complete none
  StreamSlow,      // an event every 800 ms
  EndlessHead,     // bytes without end: a field,
  EndlessFields,   // fields,
  EndlessContinue, // interim responses,
  EndlessBody,     // a body without a length,
  EndlessLength,   // a body with a huge one,
  EndlessChunk,    // the extension of a chunk,
  EndlessTrailer,  // the trailer,
  EndlessOther,    // the response of another request,
  EndlessEvent,    // an event,
  EndlessComments, // or an event of short lines
  EndlessEvents,   // events in order, as fast as they are read
};

// An upstream on a loopback port.  Each request takes the next of BEHAVIOURS,
// or DEFAULT_BEHAVIOUR when none is left.
class Upstream
{
public:
  struct Conn
  {
    Upstream *owner;
    struct bufferevent *bev;
    hp_reader *reader;
    std::string body;
    std::string late_copy; // sent before the next response
  };

  std::deque<Behaviour> behaviours;
  Behaviour default_behaviour = Respond;
  std::string pause_s = "1";
  std::string limit; // requests a second that all responses name; "": none
  // Rejections in a second that all responses name, above which it crashes;
  // "": none.
  std::string brittle;
  uint32_t room = 0; // requests beyond which it rejects; 0: no limit
  uint32_t rejections = 0;
  std::deque<uint64_t> rejections_us; // of the last second
  std::string raw; // a response, or the start of one; "@" is the request's id
  FieldNames names;
  bool record_requests = true;
  // Responds with streams to the paths of streams only, where the behaviour is
  // one of a successful response.
  bool streams_by_path = false;
  std::vector<std::string> heads; // of requests, in order of arrival
  std::vector<std::string> bodies;
  uint32_t runs = 0;
  uint32_t open = 0; // requests with a delayed response
  uint32_t most_open = 0;
  std::map<std::string, uint32_t> runs_of; // by request id
  std::map<std::string, size_t> length_of; // of its body
  uint64_t last_arrival_us = 0;
  std::deque<uint64_t> arrivals_us; // of the last second
  std::string last_arrival;
  uint32_t connections = 0;
  uint32_t closed_by_peer = 0;
  uint16_t port = 0;
  size_t sent_bytes = 0; // of endless responses
  // True for requests that crash the upstream CRASH_MS after it has begun to
  // run them; ON_CRASH is called then.
  std::function<bool (const hp_head *, const std::string &)> crashes_on;
  std::function<void ()> on_crash;
  int crash_ms = 60;
  int early_ms = 30; // 0: EarlyReset resets at once

  explicit Upstream (struct event_base *base)
      : base_ (base),
        listener_ (listen_anywhere (base, on_accept, this, &port))
  {
    crash_timer_ = evtimer_new (
        base,
        [] (evutil_socket_t, short, void *user) {
          static_cast<Upstream *> (user)->crash ();
        },
        this);
  }
  ~Upstream ()
  {
    event_free (crash_timer_);
    stop ();
    while (!conns_.empty ())
      drop (*conns_.begin ());
  }
  // Refuses connections from here on.
  void
  stop ()
  {
    if (listener_ != nullptr)
      evconnlistener_free (listener_);
    listener_ = nullptr;
  }
  // Ends like a process: its connections are closed and new ones refused.
  void
  crash ()
  {
    stop ();
    while (!conns_.empty ())
      drop (*conns_.begin ());
    if (on_crash)
      on_crash ();
  }
  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (port);
  }

private:
  // Sends something to CONN at intervals, while SEND returns true.
  struct Pulse
  {
    Upstream *owner;
    Conn *conn;
    int count;
    std::function<bool (int)> send;
    struct event *timer;
  };
  struct event_base *base_;
  struct evconnlistener *listener_;
  struct event *crash_timer_;
  std::set<Conn *> conns_;
  std::set<Pulse *> pulses_;

  void
  end_pulse (Pulse *p)
  {
    pulses_.erase (p);
    event_free (p->timer);
    delete p;
  }
  void
  pulse (Conn *c, int interval_ms, int first,
         const std::function<bool (int)> &send)
  {
    Pulse *p = new Pulse{ this, c, first, send, nullptr };
    struct timeval tv = { 0, interval_ms * 1000 };
    p->timer = event_new (
        base_, -1, EV_PERSIST,
        [] (evutil_socket_t, short, void *user) {
          Pulse *self = static_cast<Pulse *> (user);
          if (!self->send (self->count++))
            self->owner->end_pulse (self);
        },
        p);
    event_add (p->timer, &tv);
    pulses_.insert (p);
  }

  void
  drop (Conn *c, bool reset = false)
  {
    if (reset)
      {
        struct linger now = { 1, 0 };
        setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_LINGER, &now,
                    sizeof now);
      }
    for (auto p = pulses_.begin (); p != pulses_.end ();)
      if ((*p)->conn == c)
        end_pulse (*p++);
      else
        p++;
    conns_.erase (c);
    bufferevent_free (c->bev);
    hp_destroy (c->reader);
    delete c;
  }
  static void
  on_accept (struct evconnlistener *, evutil_socket_t fd, struct sockaddr *,
             int, void *user)
  {
    Upstream *self = static_cast<Upstream *> (user);
    Conn *c = new Conn{ self, nullptr, nullptr, "", "" };
    hp_desc desc = {};
    desc.kind = HP_REQUEST;
    // As many fields as a head has room for, like the upstreams.
    desc.max_fields = 16384;
    desc.on_body = [] (void *to, st_str bytes) {
      static_cast<Conn *> (to)->body.append (bytes.ptr, bytes.len);
    };
    desc.user = c;
    c->reader = hp_make (&desc);
    c->bev = bufferevent_socket_new (self->base_, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb (c->bev, on_read, nullptr, on_event, c);
    bufferevent_enable (c->bev, EV_READ | EV_WRITE);
    self->conns_.insert (c);
    self->connections++;
  }
  static void
  on_event (struct bufferevent *, short, void *user)
  {
    Conn *c = static_cast<Conn *> (user);
    c->owner->closed_by_peer++;
    c->owner->drop (c);
  }
  static void
  on_read (struct bufferevent *bev, void *user)
  {
    Conn *c = static_cast<Conn *> (user);
    Upstream *self = c->owner;
    for (;;)
      {
        hp_result result = hp_read (c->reader, bufferevent_get_input (bev));
        if (result == HP_HEAD)
          {
            if (!self->behaviours.empty ()
                && self->behaviours.front () == Early)
              {
                self->behaviours.pop_front ();
                self->note (c);
                self->respond (c, 200,
                               "body of "
                                   + self->field (c, self->names.id.c_str ()),
                               true);
              }
            else if (!self->behaviours.empty ()
                     && (self->behaviours.front () == EarlyReset
                         || self->behaviours.front () == EarlyClose
                         || self->behaviours.front () == EarlyShutdown))
              {
                self->respond_early (c);
                return;
              }
            continue;
          }
        if (result != HP_END)
          return;
        self->note (c);
        bool open = self->act (c);
        if (!open)
          return;
        hp_next (c->reader);
        c->body.clear ();
      }
  }
  void
  note (Conn *c)
  {
    ck_clock clock = {};
    last_arrival_us = ck_now_us (&clock);
    arrivals_us.push_back (last_arrival_us);
    while (arrivals_us.front () + 1000000 <= last_arrival_us)
      arrivals_us.pop_front ();
    last_arrival = field (c, names.id.c_str ());
    if (!record_requests)
      return;
    const hp_head *h = hp_query_head (c->reader);
    std::string text (h->method.ptr, h->method.len);
    text += " " + std::string (h->target.ptr, h->target.len) + "\n";
    for (size_t i = 0; i < h->field_count; i++)
      text += std::string (h->fields[i].name.ptr, h->fields[i].name.len) + ": "
              + std::string (h->fields[i].value.ptr, h->fields[i].value.len)
              + "\n";
    heads.push_back (text);
    bodies.push_back (c->body);
  }
  std::string
  field (Conn *c, const char *name)
  {
    st_str value;
    if (!hp_get (hp_query_head (c->reader), st_from_cstr (name), &value))
      return "";
    return std::string (value.ptr, value.len);
  }
  void
  send (Conn *c, const std::string &text)
  {
    // Written at once: a bufferevent writes from the loop, possibly after the
    // connection is closed.
    ssize_t n = ::send (bufferevent_getfd (c->bev), text.data (), text.size (),
                        MSG_NOSIGNAL);
    // The loop may learn only later that the caller has closed the connection.
    if (n < 0 && (errno == EPIPE || errno == ECONNRESET))
      return;
    EXPECT_EQ (n, (ssize_t)text.size ()) << strerror (errno);
  }
  std::string
  response_text (Conn *c, int status, const std::string &body, bool is_signed,
                 const std::string &id = "", const std::string &more = "")
  {
    return "HTTP/1.1 " + std::to_string (status) + " X\r\n" + names.id + ": "
           + (id.empty () ? field (c, names.id.c_str ()) : id) + "\r\n"
           + (is_signed ? names.sign + ": s1\r\n" : "") + more
           + (limit.empty () ? "" : "X-Limit: " + limit + "\r\n")
           + (brittle.empty () ? "" : names.brittle + ": " + brittle + "\r\n")
           + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
           + body;
  }
  void
  respond (Conn *c, int status, const std::string &body, bool is_signed,
           const std::string &id = "", const std::string &more = "")
  {
    send (c, response_text (c, status, body, is_signed, id, more));
  }
  static std::string
  chunk (const std::string &text)
  {
    char size[16];
    snprintf (size, sizeof size, "%zx\r\n", text.size ());
    return size + text + "\r\n";
  }
  static std::string
  event_text (int id, const std::string &request)
  {
    return "id: " + std::to_string (id) + "\ndata: part-" + std::to_string (id)
           + " of " + request + "\n\n";
  }
  void
  stream (Conn *c, Behaviour b)
  {
    std::string from = field (c, "Last-Event-Id");
    int first = from.empty () ? 1 : atoi (from.c_str ()) + 1;
    send (c, "HTTP/1.1 200 OK\r\n" + names.id + ": "
                 + field (c, names.id.c_str ()) + "\r\n" + names.sign
                 + ": s1\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
    if (b == StreamSlow)
      {
        pulse (c, 800, first, [this, c] (int id) {
          send (c, chunk (event_text (id, field (c, names.id.c_str ())))
                       + (id == 6 ? "0\r\n\r\n" : ""));
          return id < 6;
        });
        return;
      }
    for (int id = first; id <= 6; id++)
      {
        if (b == StreamDribble && id == first + 2)
          {
            pulse (c, 100, 0, [this, c] (int) {
              send (c, chunk (": "));
              return true;
            });
            return;
          }
        if (b == StreamGap && id == first + 2)
          continue;
        if ((b == StreamTruncated || b == StreamStall) && id == first + 2)
          {
            if (b == StreamTruncated)
              send (c, chunk ("id: " + std::to_string (id) + "\nda"));
            return;
          }
        send (c, chunk (event_text (id, field (c, names.id.c_str ()))));
      }
    send (c, "0\r\n\r\n");
  }
  void
  respond_later (Conn *c, bool fails_when_busy)
  {
    std::string text = response_text (
        c, fails_when_busy && open >= 4 ? 500 : 200, "late", true);
    open++;
    most_open = std::max (most_open, open);
    pulse (c, 50, 0, [this, c, text] (int) {
      send (c, text);
      open--;
      return false;
    });
  }
  // What an endless response begins with, and what it repeats.
  std::pair<std::string, std::string>
  endless_text (Conn *c, Behaviour b)
  {
    const std::string id = field (c, names.id.c_str ());
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string head
        = start + names.id + ": " + id + "\r\n" + names.sign + ": s1\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    switch (b)
      {
      case EndlessHead:
        return { head + "X-Long: ", "xxxxxxxxxxxxxxxx" };
      case EndlessFields:
        return { head, "X-Field: value\r\n" };
      case EndlessContinue:
        return { "", "HTTP/1.1 100 Continue\r\n\r\n" };
      case EndlessLength:
        return { head + "Content-Length: 4000000000000\r\n\r\n", "body" };
      case EndlessChunk:
        return { head + chunked + "4;", "extension" };
      case EndlessTrailer:
        return { head + chunked + "2\r\nab\r\n0\r\n", "X-T: value\r\n" };
      case EndlessOther:
        return { start + names.id + ": other\r\n\r\n", "body" };
      case EndlessComments:
        return { head + "\r\n", ": comment\n" };
      default:
        return { head + "\r\n", "body" };
      }
  }
  void
  endless (Conn *c, Behaviour b)
  {
    auto [start, repeated] = endless_text (c, b);
    auto pending = std::make_shared<std::string> (start);
    auto id = std::make_shared<int> (0);
    std::string more = repeated;
    pulse (c, 1, 0, [this, c, b, pending, id, more] (int) {
      while (pending->size () < 256 * 1024)
        if (b == EndlessEvents)
          *pending += event_text (++*id, std::string (1000, 'x'));
        else
          *pending += more;
      ssize_t n = ::send (bufferevent_getfd (c->bev), pending->data (),
                          pending->size (), MSG_NOSIGNAL | MSG_DONTWAIT);
      sent_bytes += n > 0 ? (size_t)n : 0;
      pending->erase (0, n > 0 ? (size_t)n : 0);
      return true;
    });
  }
  // Rejects the request of C for want of room; false when that was too much.
  bool
  reject (Conn *c)
  {
    ck_clock clock = {};
    uint64_t now = ck_now_us (&clock);
    respond (c, 503, "", false, "", names.not_run + ": 1\r\n");
    rejections++;
    rejections_us.push_back (now);
    while (rejections_us.front () + 1000000 <= now)
      rejections_us.pop_front ();
    if (brittle.empty ()
        || rejections_us.size () <= strtoul (brittle.c_str (), nullptr, 10))
      return true;
    crash ();
    return false;
  }
  void
  finish (Conn *c, bool reset = false)
  {
    drop (c, reset);
  }
  Behaviour
  behaviour_for_path (Conn *c, Behaviour b)
  {
    std::string target (hp_query_head (c->reader)->target.ptr,
                        hp_query_head (c->reader)->target.len);
    bool streams = target.compare (0, 8, "/stream/") == 0
                   || target.compare (0, 8, "/resume/") == 0;
    if (streams && (b == Respond || b == Unframed || b == Extra))
      return Stream;
    if (!streams
        && (b == Stream || b == StreamTruncated || b == StreamGap
            || b == StreamStall || b == StreamDribble || b == StreamSlow))
      return Respond;
    return b;
  }
  // Responds to the request of C; false when C was closed.
  bool
  act (Conn *c)
  {
    Behaviour b = default_behaviour;
    if (!behaviours.empty ())
      {
        b = behaviours.front ();
        behaviours.pop_front ();
      }
    if (streams_by_path)
      b = behaviour_for_path (c, b);
    if (crashes_on && crashes_on (hp_query_head (c->reader), c->body))
      {
        struct timeval tv = { 0, crash_ms * 1000 };
        if (!event_pending (crash_timer_, EV_TIMEOUT, nullptr))
          event_add (crash_timer_, &tv);
        b = Silent;
      }
    if (st_equal (hp_query_head (c->reader)->target, ST_LIT ("/healthz")))
      {
        respond (c, 200, "", false);
        return true;
      }
    if (room > 0 && open >= room)
      return reject (c);
    if (!c->late_copy.empty ())
      send (c, std::exchange (c->late_copy, ""));
    if (b != Shed && b != ShedPause && b != ShedCopied && b != OtherInstance)
      {
        runs++;
        runs_of[field (c, names.id.c_str ())]++;
        length_of[field (c, names.id.c_str ())] = c->body.size ();
      }
    switch (b)
      {
      case Respond:
      case Early:
      case EarlyReset:
      case EarlyClose:
      case EarlyShutdown:
        respond (c, 200, "body of " + field (c, names.id.c_str ()), true);
        return true;
      case Unsigned:
        respond (c, 200, "unsigned", false);
        return true;
      case OtherId:
        respond (c, 200, "not yours", true, "other");
        return true;
      case LateOtherFirst:
        respond (c, 200, "not yours", true, "other");
        respond (c, 200, "body of " + field (c, names.id.c_str ()), true);
        return true;
      case Extra:
        respond (c, 200, "body of " + field (c, names.id.c_str ()), true);
        respond (c, 200, "again", true);
        return true;
      case Truncated:
        send (c, "HTTP/1.1 200 OK\r\n" + names.id + ": "
                     + field (c, names.id.c_str ()) + "\r\n" + names.sign
                     + ": s1\r\nContent-Length: 100\r\n\r\nhalf");
        finish (c);
        return false;
      case Cut:
      case Head:
        {
          std::string text = raw;
          size_t at = text.find ('@');
          if (at != std::string::npos)
            text.replace (at, 1, field (c, names.id.c_str ()));
          send (c, text);
          if (b == Cut)
            finish (c);
          return b == Head;
        }
      case Reset:
        finish (c, true);
        return false;
      case Shed:
        respond (c, 503, "", false, "", names.not_run + ": 1\r\n");
        return true;
      case ShedPause:
        respond (c, 503, "", false, "",
                 names.not_run + ": 1\r\nRetry-After: " + pause_s + "\r\n");
        return true;
      case Leaving:
        respond (c, 200, "leaving", true, "", "X-Leaving: 1\r\n");
        return true;
      case ShedCopied:
        c->late_copy
            = response_text (c, 503, "", false, "", names.not_run + ": 1\r\n");
        send (c, c->late_copy);
        return true;
      case Plain503:
        respond (c, 503, "busy", true);
        return true;
      case OtherInstance:
        respond (c, 421, "", false);
        return true;
      case Error:
        respond (c, 500, "failed", true);
        return true;
      case NotFound:
        respond (c, 404, "failed\n\n", true);
        return true;
      case ErrorText:
        respond (c, 200, "failed: overloaded\n\n", true, "",
                 "Content-Type: text/plain\r\n");
        return true;
      case ErrorEvent:
        respond (c, 200, "event: error\ndata: failed\n\n", true, "",
                 "Content-Type: text/event-stream\r\n");
        return true;
      case EmptyUnframed:
        send (c, "HTTP/1.1 200 OK\r\n" + names.id + ": "
                     + field (c, names.id.c_str ()) + "\r\n" + names.sign
                     + ": s1\r\nContent-Type: text/event-stream\r\n\r\n");
        finish (c);
        return false;
      case ErrorUnframed:
        send (c, "HTTP/1.1 500 X\r\n" + names.id + ": "
                     + field (c, names.id.c_str ()) + "\r\n" + names.sign
                     + ": s1\r\n\r\nfailed\n\n");
        finish (c);
        return false;
      case Delayed:
      case BusyError:
        respond_later (c, b == BusyError);
        return true;
      case Silent:
        return true;
      case Unframed:
      case UnframedReset:
        send (c, "HTTP/1.1 200 OK\r\n" + names.id + ": "
                     + field (c, names.id.c_str ()) + "\r\n" + names.sign
                     + ": s1\r\n\r\nunframed");
        if (b == Unframed)
          finish (c);
        else
          reset_soon (c);
        return false;
      case EndlessHead:
      case EndlessFields:
      case EndlessContinue:
      case EndlessBody:
      case EndlessLength:
      case EndlessChunk:
      case EndlessTrailer:
      case EndlessOther:
      case EndlessEvent:
      case EndlessComments:
      case EndlessEvents:
        endless (c, b);
        return true;
      case Encoded:
        respond (c, 200, "zip", true, "", "Content-Encoding: gzip\r\n");
        return true;
      case Stream:
      case StreamTruncated:
      case StreamGap:
      case StreamStall:
      case StreamDribble:
      case StreamSlow:
        stream (c, b);
        if (b != StreamTruncated)
          return true;
        finish (c);
        return false;
      }
    return true;
  }
  // Sends a part of a response without a length before the body of the request
  // is read, and ends the connection.
  void
  respond_early (Conn *c)
  {
    Behaviour b = behaviours.front ();
    behaviours.pop_front ();
    note (c);
    runs++;
    runs_of[field (c, names.id.c_str ())]++;
    bufferevent_disable (c->bev, EV_READ);
    send (c, "HTTP/1.1 200 OK\r\n" + names.id + ": "
                 + field (c, names.id.c_str ()) + "\r\n" + names.sign
                 + ": s1\r\n\r\npart of a body");
    if (b == EarlyShutdown)
      shutdown (bufferevent_getfd (c->bev), SHUT_WR);
    if (b == EarlyShutdown || (b == EarlyReset && early_ms > 0))
      reset_soon (c);
    else
      finish (c, b == EarlyReset);
  }
  // Resets C after 30 ms, when the gateway has read the bytes before.
  void
  reset_soon (Conn *c)
  {
    struct timeval tv = { 0, 30000 };
    bufferevent_disable (c->bev, EV_READ);
    event_base_once (
        base_, -1, EV_TIMEOUT,
        [] (evutil_socket_t, short, void *user) {
          Conn *conn = static_cast<Conn *> (user);
          conn->owner->drop (conn, true);
        },
        c, &tv);
  }
};

// A connection of a caller that stores the bytes that it receives.
class Caller
{
public:
  std::string received;
  bool closed = false;
  bool was_reset = false;

  Caller (struct event_base *base, uint16_t port,
          uint32_t host = INADDR_LOOPBACK)
  {
    struct sockaddr_in sin = ipv4 (host, port);
    bev_ = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb (bev_, on_read, nullptr, on_event, this);
    bufferevent_enable (bev_, EV_READ | EV_WRITE);
    bufferevent_socket_connect (bev_, (struct sockaddr *)&sin, sizeof sin);
  }
  ~Caller () { disconnect (); }
  void
  send (const std::string &text)
  {
    bufferevent_write (bev_, text.data (), text.size ());
  }
  // Sends a request for PATH with further FIELDS, each "Name: value\r\n".
  void
  request (const std::string &id, const std::string &path,
           const std::string &fields = "", const std::string &body = "")
  {
    send ("POST " + path + " HTTP/1.1\r\nHost: api.example\r\nX-Id: " + id
          + "\r\nAuthorization: Token key-1\r\n" + fields + "Content-Length: "
          + std::to_string (body.size ()) + "\r\n\r\n" + body);
  }
  void
  disconnect ()
  {
    if (bev_ != nullptr)
      bufferevent_free (bev_);
    bev_ = nullptr;
  }
  int
  status () const
  {
    return received.compare (0, 9, "HTTP/1.1 ") == 0
               ? atoi (received.c_str () + 9)
               : 0;
  }
  bool
  has (const std::string &text) const
  {
    return received.find (text) != std::string::npos;
  }
  // True when a complete response with a length has arrived.
  bool
  complete () const
  {
    size_t end = received.find ("\r\n\r\n");
    size_t at = received.find ("Content-Length: ");
    if (end == std::string::npos || at == std::string::npos || at > end)
      return false;
    return received.size ()
           >= end + 4 + strtoul (received.c_str () + at + 16, nullptr, 10);
  }

private:
  struct bufferevent *bev_;

  static void
  on_read (struct bufferevent *bev, void *user)
  {
    Caller *self = static_cast<Caller *> (user);
    char bytes[4096];
    size_t n;
    while ((n = bufferevent_read (bev, bytes, sizeof bytes)) > 0)
      self->received.append (bytes, n);
  }
  static void
  on_event (struct bufferevent *, short what, void *user)
  {
    Caller *self = static_cast<Caller *> (user);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
      self->closed = true;
    if (what & BEV_EVENT_ERROR)
      self->was_reset = true;
  }
};

// A gateway with one route of each kind and UPSTREAM_COUNT upstreams.
class Gateway
{
public:
  struct event_base *base = event_base_new ();
  gw_task *gw = nullptr;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  rc_config *config = nullptr;
  gw_names names = field_names ();
  std::vector<st_str> drop = { ST_LIT ("X-Hold") };
  std::vector<st_str> forward = { ST_LIT ("X-Id") };

  explicit Gateway (uint32_t upstream_count = 1, double retries = 100,
                    uint32_t window_ms = 10000, double quota_slack = 0,
                    uint64_t memory_bytes = 0, double copies = 0)
  {
    names.drop = drop.data ();
    names.drop_count = drop.size ();
    names.forward = forward.data ();
    names.forward_count = forward.size ();
    gw_desc desc = {};
    desc.base = base;
    desc.vm_name = ST_LIT ("vm-1");
    desc.region = ST_LIT ("west");
    desc.data_center = ST_LIT ("west-a");
    desc.listen = ST_LIT ("127.0.0.1:0");
    desc.names = &names;
    desc.bounds.retry_ratio = 0;
    desc.bounds.retry_fixed = retries;
    desc.bounds.retry_window_ms = window_ms;
    desc.bounds.quota_slack = quota_slack;
    desc.memory_bytes = memory_bytes;
    desc.copies.share = copies;
    desc.seed = 7;
    er_error err = {};
    gw = gw_make (&desc, &err);
    EXPECT_NE (gw, nullptr) << err.message;
    for (uint32_t i = 0; i < upstream_count; i++)
      {
        upstreams.push_back (std::make_unique<Upstream> (base));
        put (i);
      }
    configure (1, [] (rc_config *) {});
  }
  ~Gateway ()
  {
    gw_destroy (gw);
    upstreams.clear ();
    rc_unref (config);
    event_base_free (base);
  }
  Upstream &
  up (size_t i = 0)
  {
    return *upstreams[i];
  }
  void
  put (uint32_t i, bool leaving = false, uint32_t slots = 4,
       uint64_t started_ms = 1)
  {
    ut_entry e = {};
    st_name_set (&e.id, str ("up-" + std::to_string (i)));
    st_name_set (&e.service, ST_LIT ("llm"));
    st_name_set (&e.address, str (up (i).address ()));
    st_name_set (&e.data_center, ST_LIT ("west-a"));
    st_name_set (&e.region, ST_LIT ("west"));
    e.slots = slots;
    e.leaving = leaving;
    e.started_ms = started_ms;
    gw_put_upstream (gw, &e);
  }
  // Sets a configuration of VERSION: routes /once/, /again/, /stream/ and
  // /resume/, one team, and the changes that CHANGE makes.
  void
  configure (uint64_t version, const std::function<void (rc_config *)> &change)
  {
    static const struct
    {
      const char *prefix;
      rc_kind kind;
      bool resumable;
      uint32_t attempts;
    } routes[] = { { "/once/", RC_NON_IDEMPOTENT, false, 1 },
                   { "/again/", RC_IDEMPOTENT, false, 2 },
                   { "/stream/", RC_STREAM, false, 1 },
                   { "/resume/", RC_STREAM, true, 2 } };
    rc_config *c = rc_make (version);
    for (auto &row : routes)
      {
        rc_route *r = rc_add_route (c, ST_LIT ("api.example"),
                                    st_from_cstr (row.prefix));
        r->name = st_from_cstr (row.prefix);
        r->kind = row.kind;
        r->resumable = row.resumable;
        r->attempts = row.attempts;
        r->timeout_ms = 700;
        r->target_ms = 300;
        r->max_event_gap_ms = 100;
        r->tier = row.resumable ? 2 : 0;
        rc_add_weighted_service (c, r, ST_LIT ("llm"), 1);
      }
    rc_add_service (c, ST_LIT ("llm"))->engine = true;
    rc_team *team = rc_add_team (c, ST_LIT ("team-1"));
    rc_add_key (c, team, ST_LIT ("key-1"));
    change (c);
    rc_seal (c);
    gw_set_config (gw, c);
    rc_unref (config);
    config = c;
  }
  std::unique_ptr<Caller>
  caller ()
  {
    return std::make_unique<Caller> (base, gw_query_port (gw));
  }
  bool
  run (const std::function<bool ()> &done, int limit_ms = 3000)
  {
    return run_loop (base, done, limit_ms);
  }
  void
  wait (int ms)
  {
    run ([] { return false; }, ms);
  }
};

} // namespace support
