/* fr.h -- framing of messages between dotterelbend processes.

   A frame is a 4 byte big-endian length (of everything after it), a 1 byte
   protocol version, a 1 byte message type, an 8 byte big-endian correlation
   number and a msgpack body.

     fr_encode (out, MS_PING, 7, body, &err);

     fr_frame frame;
     fr_result r = fr_decode (in, &frame, &err);
     if (r == FR_FRAME)
       {
         use (frame.body);          // a view into IN
         fr_drain (in, &frame);
       }
     else if (r != FR_MORE)
       close the connection and count fr_result_name (r);  */
#ifndef FR_H
#define FR_H

#include "er.h"
#include "st.h"

#include <event2/buffer.h>

#define FR_VERSION 7
#define FR_HEADER_BYTES 14
/* Longest frame, header included: a 1 MiB store value and its envelope.  */
#define FR_FRAME_MAX_BYTES (1024 * 1024 + 64 * 1024)
#define FR_BODY_MAX_BYTES (FR_FRAME_MAX_BYTES - FR_HEADER_BYTES)

typedef enum
{
  FR_FRAME = 0,       /* a complete frame has arrived */
  FR_MORE,            /* more bytes are needed */
  FR_TOO_LONG,        /* the length exceeds FR_FRAME_MAX_BYTES */
  FR_MALFORMED,       /* the length is shorter than the header */
  FR_UNKNOWN_VERSION, /* the protocol version is not FR_VERSION */
  FR_UNKNOWN_TYPE     /* the type is not an ms_type */
} fr_result;

typedef struct
{
  uint8_t type; /* ms_type */
  uint64_t correlation;
  st_str body;
} fr_frame;

#ifdef __cplusplus
extern "C"
{
#endif

  bool fr_encode (struct evbuffer *out, uint8_t type, uint64_t correlation,
                  st_str body, er_error *err);
  fr_result fr_decode (struct evbuffer *in, fr_frame *frame, er_error *err);
  void fr_drain (struct evbuffer *in, const fr_frame *frame);
  const char *fr_result_name (fr_result result);

#ifdef __cplusplus
}
#endif

#endif
