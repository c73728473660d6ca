/* Time, the record, sockets and HTTP messages.  */
#include "rv.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FREE_PORT_MIN 20000
#define FREE_PORTS 10000

static FILE *record;
static uint64_t start_ms;
static uint64_t random_state = 1;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;

/* Milliseconds of the steady clock.  */
uint64_t
rv_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
rv_sleep_ms (uint64_t ms)
{
  struct timespec t = { (time_t)(ms / 1000), (long)(ms % 1000) * 1000 * 1000 };
  while (nanosleep (&t, &t) != 0 && errno == EINTR)
    continue;
}

/* A number from 0 to 1 of an xorshift generator.  */
double
rv_random (void)
{
  pthread_mutex_lock (&mutex);
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  double number = (double)(random_state >> 11) / 9007199254740992.0;
  pthread_mutex_unlock (&mutex);
  return number;
}

/* Opens the record at PATH and sets the SEED of rv_random.  */
void
rv_open_record (const char *path, uint64_t seed)
{
  record = fopen (path, "w");
  start_ms = rv_now_ms ();
  random_state = seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
}

/* Writes a line to the record, after the milliseconds since the start.  */
void
rv_record (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  pthread_mutex_lock (&mutex);
  if (record != NULL)
    {
      fprintf (record, "%8llu ",
               (unsigned long long)(rv_now_ms () - start_ms));
      vfprintf (record, format, args);
      fputc ('\n', record);
    }
  pthread_mutex_unlock (&mutex);
  va_end (args);
}

void
rv_close_record (void)
{
  pthread_mutex_lock (&mutex);
  if (record != NULL)
    fclose (record);
  record = NULL;
  pthread_mutex_unlock (&mutex);
}

static struct sockaddr_in
loopback (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (port);
  return address;
}

/* Listens on a free loopback port, which is stored in PORT.  */
int
rv_listen (uint16_t *port)
{
  struct sockaddr_in address = loopback (0);
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 256) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    {
      perror ("listen");
      exit (2);
    }
  *port = ntohs (address.sin_port);
  return fd;
}

/* A free port below the range that outgoing connections use.  */
uint16_t
rv_free_port (void)
{
  static uint16_t offset;
  uint16_t first = (uint16_t)(getpid () * 37 % FREE_PORTS);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  while (fd >= 0 && offset < FREE_PORTS)
    {
      uint16_t port
          = (uint16_t)(FREE_PORT_MIN + (first + offset++) % FREE_PORTS);
      struct sockaddr_in address = loopback (port);
      if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
        continue;
      close (fd);
      return port;
    }
  fprintf (stderr, "no free port\n");
  exit (2);
}

/* Connects to a loopback port; -1 on failure.  */
int
rv_connect (uint16_t port)
{
  struct sockaddr_in address = loopback (port);
  struct timeval limit = { 20, 0 };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
rv_send (int fd, const char *text, size_t len)
{
  while (len > 0)
    {
      ssize_t sent = send (fd, text, len, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      text += sent;
      len -= (size_t)sent;
    }
  return true;
}

static bool
read_more (rv_conn *c)
{
  if (c->len == sizeof c->bytes)
    return false;
  ssize_t got = recv (c->fd, c->bytes + c->len, sizeof c->bytes - c->len, 0);
  if (got <= 0)
    return false;
  c->len += (size_t)got;
  return true;
}

static void
consume (rv_conn *c, size_t len)
{
  memmove (c->bytes, c->bytes + len, c->len - len);
  c->len -= len;
}

/* Finds the field NAME of M.  */
bool
rv_field (const rv_message *m, const char *name, char *value, size_t size)
{
  size_t name_len = strlen (name);
  const char *line = strstr (m->head, "\r\n");
  for (; line != NULL; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, name_len) != 0 || line[name_len] != ':')
        continue;
      const char *from = line + name_len + 1;
      while (*from == ' ')
        from++;
      size_t len = strcspn (from, "\r\n");
      if (len >= size)
        len = size - 1;
      memcpy (value, from, len);
      value[len] = 0;
      return true;
    }
  value[0] = 0;
  return false;
}

static bool
read_bytes (rv_conn *c, char *out, size_t len)
{
  while (len > 0)
    {
      if (c->len == 0 && !read_more (c))
        return false;
      size_t part = c->len < len ? c->len : len;
      memcpy (out, c->bytes, part);
      consume (c, part);
      out += part;
      len -= part;
    }
  return true;
}

static bool
discard (rv_conn *c, size_t len)
{
  char bytes[4096];
  while (len > 0)
    {
      size_t part = len < sizeof bytes ? len : sizeof bytes;
      if (!read_bytes (c, bytes, part))
        return false;
      len -= part;
    }
  return true;
}

/* Reads a message whose body, if HAS_BODY, has a length; of a long body only
   the beginning is kept.  False when the connection ends before or the bytes
   are no message.  */
bool
rv_read_message (rv_conn *c, rv_message *m, bool has_body)
{
  char length[32];
  char *end;
  m->head[0] = 0;
  m->body_len = 0;
  for (;;)
    {
      end = memmem (c->bytes, c->len, "\r\n\r\n", 4);
      if (end != NULL)
        break;
      if (!read_more (c))
        return false;
    }
  size_t head_len = (size_t)(end - c->bytes);
  if (head_len + 3 > sizeof m->head)
    return false;
  memcpy (m->head, c->bytes, head_len + 2);
  m->head[head_len + 2] = 0;
  consume (c, head_len + 4);
  if (!has_body || !rv_field (m, "Content-Length", length, sizeof length))
    return true;
  size_t body_len = strtoul (length, NULL, 10);
  m->body_len = body_len < sizeof m->body ? body_len : sizeof m->body - 1;
  m->body[m->body_len] = 0;
  if (!read_bytes (c, m->body, m->body_len))
    return false;
  m->body[m->body_len] = 0;
  return discard (c, body_len - m->body_len);
}
