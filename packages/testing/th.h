/* th.h -- HTTP helpers shared by the stand-ins and the load clients.

     struct evhttp *http = th_listen (base, "127.0.0.1:0", on_request, self,
                                      &port, &err);
     th_reply_json (req, 200, json_pack ("{s:i}", "n", 1));

   A request stays valid after its connection was lost, until a reply or
   th_abort; th_connected is false for it.  */
#ifndef TH_H
#define TH_H

#include "er.h"
#include "st.h"

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#ifdef __cplusplus
extern "C"
{
#endif

  bool th_parse_address (const char *address, char *host, size_t host_size,
                         uint16_t *port);
  struct evhttp *th_listen (struct event_base *base, const char *address,
                            void (*on_request) (struct evhttp_request *,
                                                void *),
                            void *user, uint16_t *port, er_error *err);
  const char *th_path (struct evhttp_request *req);
  const char *th_header (struct evhttp_request *req, const char *name);
  void th_echo_call (struct evhttp_request *req);
  bool th_query_u64 (struct evhttp_request *req, const char *name,
                     uint64_t *value);
  bool th_query_text (struct evhttp_request *req, const char *name, char *text,
                      size_t size);
  st_str th_body (struct evhttp_request *req);
  json_t *th_body_json (struct evhttp_request *req);
  void th_reply_json (struct evhttp_request *req, int status, json_t *body);
  void th_reply_error (struct evhttp_request *req, int status,
                       const char *kind, const char *message);
  void th_abort (struct evhttp_request *req);
  bool th_connected (struct evhttp_request *req);
  void th_register (struct event_base *base, const char *platform,
                    json_t *entry);
  bool th_announce (const char *program, const char *address, uint16_t port);

#ifdef __cplusplus
}
#endif

#endif
