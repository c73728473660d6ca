#include "lo.h"

#include "ck.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Longest line in bytes; the last fields of a longer one are left out.  */
#define _LO_LINE_MAX 1024
/* Keeps the log of one VM under 100 KB/s on average, at 300 bytes a line.  */
#define _LO_LINES_PER_S 300
/* A burst may use up to this many seconds' worth of unused lines.  */
#define _LO_BURST_S 4

typedef struct
{
  char text[_LO_LINE_MAX];
  size_t len;
  bool truncated;
} _lo_line;

static struct
{
  bool enabled;
  int fd;
  char vm[ST_NAME_MAX + 1];
  uint64_t lines_per_s;
  uint64_t credit_us; /* one line costs 1 s / lines_per_s */
  uint64_t refilled_us;
  uint64_t dropped;
  uint64_t dropped_unreported;
} _lo;

/* Starts the log with the options in DESC.  Events before lo_setup and after
   lo_shutdown are dropped without being counted.  */
void
lo_setup (const lo_desc *desc)
{
  ck_clock clock = { 0 };
  memset (&_lo, 0, sizeof _lo);
  _lo.fd = desc->fd != 0 ? desc->fd : STDOUT_FILENO;
  _lo.lines_per_s
      = desc->lines_per_s != 0 ? desc->lines_per_s : _LO_LINES_PER_S;
  if (desc->vm != NULL)
    st_copy (_lo.vm, sizeof _lo.vm, st_from_cstr (desc->vm));
  int flags = fcntl (_lo.fd, F_GETFL);
  if (flags >= 0)
    fcntl (_lo.fd, F_SETFL, flags | O_NONBLOCK);
  _lo.refilled_us = ck_now_us (&clock);
  _lo.credit_us = _LO_BURST_S * CK_S_US;
  _lo.enabled = true;
}

/* Stops the log.  */
void
lo_shutdown (void)
{
  _lo.enabled = false;
}

/* Lines dropped since lo_setup.  */
uint64_t
lo_query_dropped (void)
{
  return _lo.dropped;
}

static void
_lo_put (_lo_line *line, const char *text, size_t len)
{
  if (line->truncated || line->len + len + 3 > sizeof line->text)
    {
      line->truncated = true;
      return;
    }
  memcpy (line->text + line->len, text, len);
  line->len += len;
}

static void
_lo_put_str (_lo_line *line, st_str s)
{
  size_t start = line->len;
  _lo_put (line, "\"", 1);
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char c = (unsigned char)s.ptr[i];
      char escaped[8];
      if (c == '"' || c == '\\')
        _lo_put (line, (char[]){ '\\', (char)c }, 2);
      else if (c < 0x20 || c >= 0x7f)
        _lo_put (line, escaped,
                 (size_t)snprintf (escaped, sizeof escaped, "\\u%04x", c));
      else
        _lo_put (line, (const char *)&s.ptr[i], 1);
    }
  _lo_put (line, "\"", 1);
  if (line->truncated)
    line->len = start;
}

static void
_lo_put_field (_lo_line *line, const lo_field *field)
{
  char number[32];
  size_t start = line->len;
  _lo_put (line, ",", 1);
  _lo_put_str (line, st_from_cstr (field->key));
  _lo_put (line, ":", 1);
  switch (field->kind)
    {
    case LO_KIND_STR:
      _lo_put_str (line, field->text);
      break;
    case LO_KIND_INT:
      _lo_put (
          line, number,
          (size_t)snprintf (number, sizeof number, "%" PRId64, field->number));
      break;
    case LO_KIND_BOOL:
      _lo_put (line, field->number ? "true" : "false", field->number ? 4 : 5);
      break;
    }
  if (line->truncated)
    line->len = start;
}

/* Takes the credit for one line; false when the rate limit is reached.  */
static bool
_lo_take_line (uint64_t now_us)
{
  uint64_t cost = CK_S_US / _lo.lines_per_s;
  _lo.credit_us += now_us - _lo.refilled_us;
  _lo.refilled_us = now_us;
  if (_lo.credit_us > _LO_BURST_S * CK_S_US)
    _lo.credit_us = _LO_BURST_S * CK_S_US;
  if (_lo.credit_us < cost)
    return false;
  _lo.credit_us -= cost;
  return true;
}

/* Writes a line for EVENT.  REQUEST_ID is "" for events that belong to no
   request.  Drops and counts the line instead of blocking.  */
void
lo_event (const char *event, st_str request_id, const lo_field *fields,
          size_t count)
{
  ck_clock clock = { 0 };
  _lo_line line = { .len = 0 };
  if (!_lo.enabled)
    return;
  if (!_lo_take_line (ck_now_us (&clock)))
    {
      _lo.dropped++;
      _lo.dropped_unreported++;
      return;
    }
  line.len = (size_t)snprintf (line.text, sizeof line.text,
                               "{\"time_ms\":%" PRIu64, ck_wall_ms (&clock));
  _lo_put_field (&line, &LO_CSTR ("vm", _lo.vm));
  _lo_put_field (&line, &LO_CSTR ("event", event));
  if (request_id.len > 0)
    _lo_put_field (&line, &LO_STR ("id", request_id));
  if (_lo.dropped_unreported > 0)
    _lo_put_field (&line, &LO_INT ("lines_dropped", _lo.dropped_unreported));
  for (size_t i = 0; i < count && !line.truncated; i++)
    _lo_put_field (&line, &fields[i]);
  memcpy (line.text + line.len, "}\n", 2);
  line.len += 2;
  /* Lines are shorter than PIPE_BUF, so a pipe accepts a line completely or
     not at all.  */
  if (write (_lo.fd, line.text, line.len) != (ssize_t)line.len)
    {
      _lo.dropped++;
      _lo.dropped_unreported++;
      return;
    }
  _lo.dropped_unreported = 0;
}
