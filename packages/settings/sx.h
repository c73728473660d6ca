/* sx.h -- settings tree.

   Root defaults are at the path "root".  Below it a path names a team, a
   service, a tier and a version, in this order, each optional:
   "team/night/service/draft/tier/1/version/v2", "service/draft", "tier/0".
   A level stores only the values that differ.  The value of a key comes from
   the most specific path that matches: a path that ends in a version beats one
   that ends in a tier, then service, then team; among paths with the same last
   level the one that names more levels wins.

   A tree is immutable.  A change makes a new tree that shares the unchanged
   levels.  Any thread that has a reference to a tree may read it without
   locks.

     sx_tree *tree = sx_make_empty ();
     sx_edit edit = { .path = "team/night", .key = "deadline_ms",
                      .value = "5s" };
     er_error err = { 0 };
     sx_tree *next = sx_apply (tree, &edit, 1, &err);
     sx_where where = { .team = ST_LIT ("night"), .tier = SX_NO_TIER };
     int64_t ms = sx_query_int (next, &where, SX_DEADLINE_MS);    // 5000
     sx_unref (next);
     sx_unref (tree);

   The store has one value per subtree: "root" (with the tiers and versions
   directly below it), "team/NAME" and "service/NAME".  */
#ifndef SX_H
#define SX_H

#include "sl.h"

#include <jansson.h>

#define SX_NO_TIER (-1)
#define SX_TIERS 5

/* Longest name of a team, service or version, so that the name of a subtree
   fits into an st_name.  */
#define SX_NAME_MAX 48
#define SX_PATH_MAX 224
#define SX_SUBTREES_MAX 1000
#define SX_LEVELS_MAX 20000
#define SX_SUBTREE_MAX_BYTES (256 * 1024)

typedef enum
{
  SX_UNKNOWN_TEAMS,
  SX_TIERS_DEFAULT,
  SX_TIERS_MOST_URGENT,
  SX_TIERS_STRICT_THROUGH,
  SX_LIMIT_REQUESTS_PER_S,
  SX_LIMIT_PROMPT_TOKENS_PER_S,
  SX_SHARE_WEIGHT,
  SX_DEADLINE_MS,
  SX_DEADLINE_MAX_MS,
  SX_AGEING_AFTER_MS,
  SX_QUEUE_LENGTH_MAX,
  SX_QUEUE_TEAM_LENGTH_MAX,
  SX_QUEUE_WAIT_MAX_MS,
  SX_HEADROOM_SLOTS_PERCENT,
  SX_HEADROOM_KV_PERCENT,
  SX_RETRY_BUDGET_PERCENT,
  SX_RETRY_BASE_MS,
  SX_RETRY_MAX_MS,
  SX_REQUEST_ID_RETENTION_MS,
  SX_REQUEST_ID_FUTURE_MS,
  SX_KIND,
  SX_CURRENT_VERSION,
  SX_ROLLOUT_TO,
  SX_ROLLOUT_START,
  SX_ROLLOUT_DEADLINE,
  SX_ROLLOUT_WATCH_MS,
  SX_ROLLOUT_RUNG_MIN_MS,
  SX_WITHDRAWN,
  SX_UPSTREAM_CHECKS_FENCE,
  SX_UPSTREAM_CONNECT_MS,
  SX_UPSTREAM_SILENCE_MS,
  SX_REGION_PRICE_PER_GB,
  SX_LINK_BUDGET_MBIT_PER_S,
  SX_ADDRESS_KEEP_MS,
  SX_LOG_LEVEL,
  SX_DRAIN_TOGETHER_MAX,
  SX_DRAIN_TIME_MAX_MS,
  SX_KEYS
} sx_key;

/* Levels at which a key may be set: bits of sk_key.levels, by the last level
   of the path.  */
#define SX_AT_ROOT 1u
#define SX_AT_TEAM 2u
#define SX_AT_SERVICE 4u
#define SX_AT_TIER 8u
#define SX_AT_VERSION 16u
/* The path must not name a team: the value applies to all teams.  */
#define SX_NO_TEAM 32u

/* Request attributes that a query selects a value by.  An empty name and
   SX_NO_TIER leave a level out.  */
typedef struct
{
  st_str team;
  st_str service;
  int tier;
  st_str version;
} sx_where;

typedef struct
{
  st_name team;
  st_name service;
  int tier; /* SX_NO_TIER: none */
  st_name version;
} sx_path;

typedef struct
{
  const char *path;
  const char *key;
  const char *value; /* NULL: remove, so that the value is inherited */
} sx_edit;

/* One difference; owned by the array that sx_diff returns.  */
typedef struct
{
  char *path;
  char *key;
  char *before; /* NULL: not set before */
  char *after;  /* NULL: not set after */
} sx_change;

typedef struct
{
  sx_change *items;
  size_t count;
} sx_changes;

typedef struct sx_tree sx_tree;

#ifdef __cplusplus
extern "C"
{
#endif

  const sk_key *sx_query_keys (void);
  bool sx_find_key (st_str name, sx_key *out, er_error *err);
  char *sx_print_reference (void);

  bool sx_path_parse (st_str text, sx_path *out, er_error *err);
  void sx_path_print (const sx_path *path, char out[SX_PATH_MAX]);
  void sx_path_subtree (const sx_path *path, st_name *out);

  sx_tree *sx_make_empty (void);
  sx_tree *sx_ref (const sx_tree *tree);
  void sx_unref (sx_tree *tree);
  sx_tree *sx_apply (const sx_tree *tree, const sx_edit *edits, size_t count,
                     er_error *err);
  bool sx_validate (const sx_tree *tree, er_error *err);

  const sk_value *sx_query (const sx_tree *tree, const sx_where *where,
                            sx_key key);
  int64_t sx_query_int (const sx_tree *tree, const sx_where *where,
                        sx_key key);
  bool sx_query_team_known (const sx_tree *tree, st_str team);
  bool sx_query_team_admitted (const sx_tree *tree, st_str team);
  size_t sx_query_level_count (const sx_tree *tree);
  char **sx_list_paths (const sx_tree *tree);
  bool sx_explain (const sx_tree *tree, st_str path, st_str key,
                   char value[SK_TEXT_MAX], char level[SX_PATH_MAX],
                   er_error *err);

  sx_changes sx_diff (const sx_tree *before, const sx_tree *after);
  void sx_changes_free (sx_changes *changes);

  sx_tree *sx_load_yaml (const sl_doc *doc, sl_report *report);
  char *sx_print_yaml (const sx_tree *tree, const char *below);
  json_t *sx_to_json (const sx_tree *tree, const char *below);
  sx_tree *sx_from_json (const json_t *json, er_error *err);

  char **sx_list_subtrees (const sx_tree *tree);
  char *sx_print_subtree (const sx_tree *tree, const char *subtree,
                          size_t *len);
  sx_tree *sx_with_subtree (const sx_tree *tree, const char *subtree,
                            st_str bytes, er_error *err);
  void sx_hash (st_str bytes, char out[33]);

#ifdef __cplusplus
}
#endif

#endif
