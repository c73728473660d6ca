#include "fr.h"
#include "ms.h"

#include <string.h>

#define _FR_LENGTH_BYTES 4

static uint64_t
_fr_read_be (const uint8_t *p, size_t n)
{
  uint64_t v = 0;
  for (size_t i = 0; i < n; i++)
    v = v << 8 | p[i];
  return v;
}

static void
_fr_write_be (uint8_t *p, size_t n, uint64_t v)
{
  for (size_t i = 0; i < n; i++)
    p[i] = (uint8_t)(v >> 8 * (n - 1 - i));
}

/* Appends a frame to OUT.  Fails with ER_TOO_LARGE, ER_UNSUPPORTED (type) or
   ER_INTERNAL (out of memory); OUT is then unchanged.  */
bool
fr_encode (struct evbuffer *out, uint8_t type, uint64_t correlation,
           st_str body, er_error *err)
{
  uint8_t header[FR_HEADER_BYTES];
  if (body.len > FR_BODY_MAX_BYTES)
    return er_set (err, ER_TOO_LARGE,
                   "frame body of %zu bytes exceeds %d; split the message",
                   body.len, FR_BODY_MAX_BYTES);
  if (!ms_type_known (type))
    return er_set (err, ER_UNSUPPORTED, "message type %u is not defined",
                   type);
  if (evbuffer_expand (out, FR_HEADER_BYTES + body.len) != 0)
    return er_set (err, ER_INTERNAL, "out of memory for a frame");
  _fr_write_be (header, _FR_LENGTH_BYTES,
                FR_HEADER_BYTES - _FR_LENGTH_BYTES + body.len);
  header[4] = FR_VERSION;
  header[5] = type;
  _fr_write_be (header + 6, 8, correlation);
  evbuffer_add (out, header, sizeof header);
  evbuffer_add (out, body.ptr, body.len);
  return true;
}

/* Reads the frame at the start of IN without removing it.  FRAME's body is a
   view that is valid until IN changes.  A frame that is too long or of an
   unknown version or type is detected from its header, before its body has
   arrived.  */
fr_result
fr_decode (struct evbuffer *in, fr_frame *frame, er_error *err)
{
  uint8_t header[FR_HEADER_BYTES];
  ev_ssize_t available_bytes = evbuffer_copyout (in, header, sizeof header);
  if (available_bytes < _FR_LENGTH_BYTES)
    return FR_MORE;
  size_t length = _fr_read_be (header, _FR_LENGTH_BYTES);
  if (length > FR_FRAME_MAX_BYTES - _FR_LENGTH_BYTES)
    {
      er_set (err, ER_TOO_LARGE, "frame of %zu bytes exceeds %d",
              length + _FR_LENGTH_BYTES, FR_FRAME_MAX_BYTES);
      return FR_TOO_LONG;
    }
  if (length < FR_HEADER_BYTES - _FR_LENGTH_BYTES)
    {
      er_set (err, ER_INVALID, "frame length %zu is shorter than its header",
              length);
      return FR_MALFORMED;
    }
  if (available_bytes > 4 && header[4] != FR_VERSION)
    {
      er_set (err, ER_UNSUPPORTED,
              "protocol version %u is not %d; run matching versions",
              header[4], FR_VERSION);
      return FR_UNKNOWN_VERSION;
    }
  if (available_bytes > 5 && !ms_type_known (header[5]))
    {
      er_set (err, ER_UNSUPPORTED,
              "message type %u is not defined; run matching versions",
              header[5]);
      return FR_UNKNOWN_TYPE;
    }
  size_t total = length + _FR_LENGTH_BYTES;
  if (evbuffer_get_length (in) < total)
    return FR_MORE;
  unsigned char *bytes = evbuffer_pullup (in, (ev_ssize_t)total);
  if (bytes == NULL)
    {
      er_set (err, ER_INTERNAL, "out of memory for a frame");
      return FR_MALFORMED;
    }
  frame->type = header[5];
  frame->correlation = _fr_read_be (header + 6, 8);
  frame->body.ptr = (const char *)bytes + FR_HEADER_BYTES;
  frame->body.len = total - FR_HEADER_BYTES;
  return FR_FRAME;
}

/* Removes FRAME, as read by fr_decode, from IN.  */
void
fr_drain (struct evbuffer *in, const fr_frame *frame)
{
  evbuffer_drain (in, FR_HEADER_BYTES + frame->body.len);
}

/* Name of RESULT for logs and counters.  */
const char *
fr_result_name (fr_result result)
{
  switch (result)
    {
    case FR_FRAME:
      return "frame";
    case FR_MORE:
      return "more";
    case FR_TOO_LONG:
      return "frame_too_long";
    case FR_MALFORMED:
      return "frame_malformed";
    case FR_UNKNOWN_VERSION:
      return "unknown_version";
    case FR_UNKNOWN_TYPE:
      return "unknown_type";
    }
  return "frame_malformed";
}
