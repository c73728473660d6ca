/* rc.h -- routes, services and teams of the proxied interface.

   Used by the adapter, which builds a configuration, and by the gateway, which
   matches requests against it.  An rc_config is one version: built once, then
   read-only and reference-counted, so that a request keeps the version that
   it started with.

     rc_config *c = rc_make (7);
     rc_route *r = rc_add_route (c, ST_LIT ("api.example"), ST_LIT ("/a/"));
     r->kind = RC_STREAM;
     ...
     rc_seal (c);
     const rc_route *found = rc_match (c, host, path);
     rc_unref (c);  */
#ifndef RC_H
#define RC_H

#include "el.h"
#include "er.h"
#include "st.h"

#include <glib.h>

typedef enum
{
  RC_IDEMPOTENT = 0, /* may run more than once */
  RC_NON_IDEMPOTENT, /* runs at most once for each attempt of the caller */
  RC_STREAM          /* of events; runs at most once unless resumable */
} rc_kind;

typedef struct
{
  st_str service;
  uint32_t weight;
} rc_weighted_service;

typedef struct
{
  st_str name;
  st_str host;
  st_str prefix; /* begins and ends with '/' */
  rc_kind kind;
  bool resumable; /* a stream may be resumed at another upstream */
  bool is_public; /* needs no key */
  uint32_t timeout_ms;
  uint32_t target_ms; /* latency target of the response, of a stream: of its
                         first event */
  uint32_t max_event_gap_ms; /* longest gap between the events of a stream */
  uint32_t tier;
  uint32_t attempts;  /* most upstreams on which one request may run */
  el_regions regions; /* in which it may be served */
  uint32_t weighted_service_count;
  rc_weighted_service *weighted_services; /* one is chosen by weight */
} rc_route;

typedef struct
{
  st_str name;
  bool engine;        /* model engine: tokens, prompts, streams */
  st_str health_path; /* at its upstreams; "": none is known */
  double cold_per_s;  /* requests a second that a cold upstream bears from all
                         VMs together; 0: no limit */
  uint32_t cold_ms;   /* how long an upstream is cold after its start */
} rc_service;

typedef struct
{
  st_str name;
  bool has_tier; /* its tier overrides the route's */
  uint32_t tier;
  bool by_tokens;          /* the quota counts tokens, not requests */
  uint32_t default_tokens; /* tokens of a request that states no usage */
  double rate;             /* per second; 0: no limit */
  double burst;
  el_regions regions; /* in which its requests may be served */
  uint32_t index;
} rc_team;

/* Limits on what a caller sends.  */
typedef struct
{
  uint32_t head_bytes;
  uint32_t body_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
} rc_limits;

typedef struct rc_config rc_config;

#ifdef __cplusplus
extern "C"
{
#endif

  rc_config *rc_make (uint64_t version);
  rc_config *rc_ref (rc_config *c);
  void rc_unref (rc_config *c);
  st_str rc_copy_text (rc_config *c, st_str text);
  rc_route *rc_add_route (rc_config *c, st_str host, st_str prefix);
  void rc_add_weighted_service (rc_config *c, rc_route *route, st_str service,
                                uint32_t weight);
  void rc_add_region (rc_config *c, el_regions *set, st_str region);
  rc_service *rc_add_service (rc_config *c, st_str name);
  rc_team *rc_add_team (rc_config *c, st_str name);
  bool rc_add_key (rc_config *c, rc_team *team, st_str key);
  void rc_set_limits (rc_config *c, const rc_limits *limits);
  void rc_seal (rc_config *c);

  uint64_t rc_query_version (const rc_config *c);
  const rc_limits *rc_query_limits (const rc_config *c);
  bool rc_has_teams (const rc_config *c);
  const rc_route *rc_match (const rc_config *c, st_str host, st_str path);
  const rc_route *rc_find_route (const rc_config *c, st_str host,
                                 st_str prefix);
  const rc_route *rc_query_route (const rc_config *c, uint32_t index);
  uint32_t rc_count_keys (const rc_config *c, const rc_team *team);
  const rc_service *rc_query_service (const rc_config *c, uint32_t index);
  const rc_service *rc_find_service (const rc_config *c, st_str name);
  const rc_team *rc_find_team (const rc_config *c, st_str name);
  const rc_team *rc_query_team (const rc_config *c, uint32_t index);
  const rc_team *rc_find_key (const rc_config *c, st_str key);
  st_str rc_choose_service (const rc_route *route, uint32_t random);

#ifdef __cplusplus
}
#endif

#endif
