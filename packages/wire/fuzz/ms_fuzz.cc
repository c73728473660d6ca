// libFuzzer target: a byte stream as a peer could send it.  What decodes must
// encode again.  Built and run by hand:
//   clang++ -x c++ -std=c++17 -fsanitize=fuzzer,address ... ms_fuzz.cc
// see packages/wire/fuzz/run.sh.
#include "fr.h"
#include "ms.h"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static ms_decoder *decoder = ms_make_decoder ();
  struct evbuffer *in = evbuffer_new ();
  struct evbuffer *out = evbuffer_new ();
  evbuffer_add (in, data, size);
  fr_frame frame;
  while (fr_decode (in, &frame, nullptr) == FR_FRAME)
    {
      ms_message m;
      er_error err = {};
      if (ms_decode (decoder, &frame, &m, &err))
        {
          if (!ms_encode (out, &m, &err))
            abort ();
        }
      else if (err.kind == ER_OK)
        abort ();
      fr_drain (in, &frame);
    }
  evbuffer_free (in);
  evbuffer_free (out);
  return 0;
}
