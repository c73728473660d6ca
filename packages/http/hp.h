/* hp.h -- reads HTTP/1.1 messages from an evbuffer, by http_parser.

   Used by the gateway for requests of callers and responses of upstreams.  A
   reader parses one message after the other.  It stops after each message, so
   that its user sees whether more bytes follow.

     hp_reader *r = hp_make (&(hp_desc){ .kind = HP_REQUEST,
                                         .on_body = on_body, .user = self });
     switch (hp_read (r, bufferevent_get_input (bev)))
       {
       case HP_MORE: wait for more bytes
       case HP_HEAD: look at hp_query_head (r), call hp_read again
       case HP_END:  the message is complete; hp_next (r) before the next one
       case HP_BAD:  close the connection
       }
     hp_destroy (r);

   hp_expect_no_body is for the response to a HEAD request, whose length is not
   that of a body that follows.

   Responses with a status that is none, such as 000, are HP_BAD, and so are
   messages with both a length and a transfer coding, with two lengths, unknown
   transfer codings or control characters in names, so that no two readers
   disagree on the end of a message.  */
#ifndef HP_H
#define HP_H

#include "st.h"

#include <event2/buffer.h>

/* Most fields of a message unless the user sets another number; more are
   HP_TOO_LARGE.  */
#define HP_FIELDS_MAX 96

typedef enum
{
  HP_REQUEST = 0,
  HP_RESPONSE
} hp_kind;

typedef enum
{
  HP_MORE = 0,
  HP_HEAD, /* the head is complete */
  HP_END,  /* the message is complete */
  HP_TOO_LARGE,
  HP_BAD
} hp_result;

typedef struct
{
  st_str name;
  st_str value;
} hp_field;

/* Views into the reader, valid until hp_next.  */
typedef struct
{
  st_str method; /* of a request */
  st_str target;
  int status; /* of a response */
  int major;
  int minor;
  bool keep_alive;
  bool chunked;
  bool has_length;
  uint64_t length;
  size_t field_count;
  const hp_field *fields;
} hp_head;

typedef struct
{
  hp_kind kind;
  size_t max_head_bytes; /* 0 means 16 KiB */
  size_t max_fields;     /* 0 means HP_FIELDS_MAX */
  void (*on_body) (void *user, st_str bytes);
  void *user;
} hp_desc;

typedef struct hp_reader hp_reader;

#ifdef __cplusplus
extern "C"
{
#endif

  hp_reader *hp_make (const hp_desc *desc);
  void hp_destroy (hp_reader *r);
  hp_result hp_read (hp_reader *r, struct evbuffer *in);
  hp_result hp_finish (hp_reader *r);
  void hp_next (hp_reader *r);
  void hp_expect_no_body (hp_reader *r, bool no_body);
  bool hp_query_started (const hp_reader *r);
  void hp_release_fields (hp_reader *r);
  size_t hp_query_memory (const hp_reader *r);
  const hp_head *hp_query_head (const hp_reader *r);
  bool hp_get (const hp_head *head, st_str name, st_str *value);
  bool hp_name_equal (st_str a, st_str b);
  bool hp_list_contains (st_str list, st_str word);
  const char *hp_reason_of (int status);

#ifdef __cplusplus
}
#endif

#endif
