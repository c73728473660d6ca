/* tc.h -- small asynchronous HTTP client.

   Used by loadclient, pathload and passthrough.

   A tc_conn is one connection, which stays open between calls.  It makes one
   call at a time; on_done is called once for each, from the event loop.

     tc_conn *c = tc_make (base, "127.0.0.1:7000");
     tc_send (c, &(tc_call){ .method = EVHTTP_REQ_GET, .path = "/readyz",
                             .on_done = on_done, .user = self });
     tc_destroy (c);      // also from inside its own callbacks  */
#ifndef TC_H
#define TC_H

#include "st.h"

#include <event2/event.h>
#include <event2/http.h>

typedef struct tc_conn tc_conn;

typedef enum
{
  TC_COMPLETE,       /* the response is complete */
  TC_NOT_SENT,       /* no byte of the request was sent */
  TC_CONNECTION_LOST /* bytes were sent; the response is not complete */
} tc_end;

typedef struct
{
  tc_end end;
  int status;
  struct evkeyvalq *headers; /* NULL unless TC_COMPLETE */
} tc_result;

typedef struct
{
  const char *name;
  const char *value;
} tc_header;

typedef struct
{
  enum evhttp_cmd_type method;
  const char *path;
  const tc_header *headers; /* ended by a NULL name; may be NULL */
  st_str body;
  uint32_t idle_timeout_ms; /* of the connection; 0 means 30000 */
  void (*on_head) (int status, struct evkeyvalq *headers, void *user);
  void (*on_data) (st_str data, void *user);
  void (*on_done) (const tc_result *result, void *user);
  void *user;
} tc_call;

#ifdef __cplusplus
extern "C"
{
#endif

  tc_conn *tc_make (struct event_base *base, const char *address);
  void tc_destroy (tc_conn *c);
  bool tc_send (tc_conn *c, const tc_call *call);

#ifdef __cplusplus
}
#endif

#endif
