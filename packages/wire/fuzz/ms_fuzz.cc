// libFuzzer target: a byte stream that a peer could send.  A message that
// decodes must also encode.  Built and run by hand, see
// packages/wire/fuzz/run.sh:
//   clang++ -x c++ -std=c++17 -fsanitize=fuzzer,address ... ms_fuzz.cc
#include "fr.h"
#include "ms.h"

#include <cstdlib>

static void
check (ms_decoder *decoder, const fr_frame *frame, struct evbuffer *out)
{
  ms_message m;
  er_error err = {};
  if (ms_decode (decoder, frame, &m, &err))
    {
      if (!ms_encode (out, &m, &err))
        abort ();
    }
  else if (err.kind == ER_OK)
    abort ();
}

// Input that starts with 0x80 + type is the body of one message; any other
// input is a stream of frames.
extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static ms_decoder *decoder = ms_make_decoder ();
  struct evbuffer *in = evbuffer_new ();
  struct evbuffer *out = evbuffer_new ();
  if (size > 0 && data[0] >= 0x80)
    {
      fr_frame frame = { (uint8_t)(data[0] & 0x7f),
                         1,
                         { (const char *)data + 1, size - 1 } };
      check (decoder, &frame, out);
    }
  else
    {
      fr_frame frame;
      evbuffer_add (in, data, size);
      while (fr_decode (in, &frame, nullptr) == FR_FRAME)
        {
          check (decoder, &frame, out);
          fr_drain (in, &frame);
        }
    }
  evbuffer_free (in);
  evbuffer_free (out);
  return 0;
}
