/* sb.h -- configuration file of one VM.

     vm: {name: west-a-1, region: west, data_center: west-a}
     listen: {callers: 127.0.0.1:7000, admin: 127.0.0.1:7001,
              peers: 127.0.0.1:7002}
     platform: {store: 127.0.0.1:7100, vm_list: 127.0.0.1:7100,
                weights: 127.0.0.1:7100}
     log: {level: info, format: plain}
     admin:
       tokens:
         - {token: 5f3c..., scope: root}
         - {token: 91ab..., scope: team:night}
     limits: {body: 4MiB}

   Use:

     sb_config config;
     er_error err = { 0 };
     if (!sb_load (&config, "vm.yaml", &err))
       fprintf (stderr, "%s\n", err.message);    // file:line:column: ...
     else
       sb_free (&config);

   listen.admin, listen.peers, log, admin and limits are optional; an address
   that is not in the file has length 0.  */
#ifndef SB_H
#define SB_H

#include "er.h"
#include "lg.h"
#include "sl.h"
#include "st.h"

/* Length of a token in characters; 16 or more make guessing infeasible.  */
#define SB_TOKEN_MIN 16
#define SB_TOKEN_MAX 256

typedef struct
{
  char *token;
  size_t token_len;
  bool root;
  st_name team; /* when not root */
} sb_token;

typedef struct
{
  st_name vm_name;
  st_name region;
  st_name data_center;
  st_name listen_callers; /* IP:PORT; port 0: chosen by the system */
  st_name listen_admin;
  st_name listen_peers;
  st_name store;
  st_name vm_list;
  st_name weights;
  lg_level log_level;
  bool log_json;
  sb_token *tokens;
  size_t token_count;
  struct
  {
    uint64_t body_bytes;          /* largest request body */
    uint64_t header_bytes;        /* largest request header */
    uint64_t open_requests;       /* requests open at the same time */
    uint64_t connections;         /* callers' connections */
    uint64_t answer_buffer_bytes; /* response bytes buffered for one caller */
    uint64_t answer_store_bytes;  /* finished responses retained for replay */
    uint64_t header_timeout_ms;   /* time to receive the complete header */
  } limits;
} sb_config;

#ifdef __cplusplus
extern "C"
{
#endif

  bool sb_load (sb_config *out, const char *path, er_error *err);
  bool sb_load_report (sb_config *out, const char *path, sl_report *report);
  bool sb_parse (sb_config *out, st_str text, sl_report *report);
  void sb_free (sb_config *config);
  const sk_key *sb_query_keys (size_t *count);

#ifdef __cplusplus
}
#endif

#endif
