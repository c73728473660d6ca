#include "sx.h"

#include <glib.h>
#include <inttypes.h>

#define _SX_ALL                                                               \
  (SX_AT_ROOT | SX_AT_TEAM | SX_AT_SERVICE | SX_AT_TIER | SX_AT_VERSION)

/* A row of the key table.  */
#define _SX(id, n, t, u, lo, hi, def, lv, text)                               \
  [id] = { .name = (n),                                                       \
           .type = (t),                                                       \
           .unit = (u),                                                       \
           .min = (lo),                                                       \
           .max = (hi),                                                       \
           .default_text = (def),                                             \
           .levels = (lv),                                                    \
           .doc = (text) }

static const sk_key _sx_keys[SX_KEYS] = {
  [SX_UNKNOWN_TEAMS]
  = { .name = "unknown_teams",
      .type = SK_CHOICE,
      .choices = "defaults refuse",
      .default_text = "defaults",
      .levels = SX_AT_ROOT,
      .doc = "Requests of a team that has no level of its own: serve them "
             "with the root defaults, or refuse them." },
  _SX (SX_TIERS_DEFAULT, "tiers.default", SK_INT, SK_UNIT_NONE, 0, 4, "2",
       SX_AT_ROOT | SX_AT_TEAM | SX_AT_SERVICE,
       "Tier of a request that names none; 0 is the most urgent."),
  _SX (
      SX_TIERS_MOST_URGENT, "tiers.most_urgent", SK_INT, SK_UNIT_NONE, 0, 4,
      "0", SX_AT_ROOT | SX_AT_TEAM | SX_AT_SERVICE,
      "Most urgent tier that a request may name; a more urgent one is lowered "
      "to it."),
  _SX (SX_TIERS_STRICT_THROUGH, "tiers.strict_through", SK_INT, SK_UNIT_NONE,
       0, 4, "1", SX_AT_ROOT,
       "Tiers up to this one are urgent: they have strict priority and stop "
       "lower-tier work.  Ageing applies to the tiers below it."),
  _SX (SX_LIMIT_REQUESTS_PER_S, "limit.requests_per_s", SK_DECIMAL,
       SK_UNIT_REQUESTS_PER_S, 0, 1000000, "0", SX_AT_ROOT | SX_AT_TEAM,
       "Requests per second of a team over all VMs of a region; 0 is no "
       "limit."),
  _SX (SX_LIMIT_PROMPT_TOKENS_PER_S, "limit.prompt_tokens_per_s", SK_DECIMAL,
       SK_UNIT_TOKENS_PER_S, 0, 100000000, "0", SX_AT_ROOT | SX_AT_TEAM,
       "Prompt tokens per second of a team over all VMs of a region; 0 is no "
       "limit."),
  _SX (SX_SHARE_WEIGHT, "share.weight", SK_INT, SK_UNIT_NONE, 1, 1000, "1",
       SX_AT_ROOT | SX_AT_TEAM,
       "Weight of a team within a tier, relative to the other teams."),
  _SX (SX_DEADLINE_MS, "deadline_ms", SK_INT, SK_UNIT_MS, 1, 86400000, "30000",
       _SX_ALL & ~SX_AT_VERSION, "Deadline of a request that names none."),
  _SX (SX_DEADLINE_MAX_MS, "deadline_max_ms", SK_INT, SK_UNIT_MS, 1, 86400000,
       "600000", _SX_ALL & ~SX_AT_VERSION,
       "Longest deadline that a request may name."),
  _SX (SX_AGEING_AFTER_MS, "ageing.after_ms", SK_INT, SK_UNIT_MS, 100, 3600000,
       "5000", SX_AT_ROOT | SX_AT_TIER | SX_NO_TEAM,
       "Waiting time after which a request below the strict tiers moves up by "
       "one tier."),
  _SX (SX_QUEUE_LENGTH_MAX, "queue.length_max", SK_INT, SK_UNIT_NONE, 1,
       1000000, "2000", SX_AT_ROOT | SX_AT_SERVICE | SX_AT_TIER | SX_NO_TEAM,
       "Longest queue of one tier in one cell, in requests."),
  _SX (SX_QUEUE_TEAM_LENGTH_MAX, "queue.team_length_max", SK_INT, SK_UNIT_NONE,
       1, 1000000, "1000", SX_AT_ROOT | SX_AT_TEAM,
       "Queued requests of one team in one cell, at most."),
  _SX (SX_QUEUE_WAIT_MAX_MS, "queue.wait_max_ms", SK_INT, SK_UNIT_MS, 1,
       86400000, "120000", SX_AT_ROOT | SX_AT_SERVICE | SX_AT_TIER,
       "Longest wait for a slot; then the request is refused as not run."),
  _SX (SX_HEADROOM_SLOTS_PERCENT, "headroom.slots_percent", SK_INT,
       SK_UNIT_PERCENT, 0, 90, "10",
       SX_AT_ROOT | SX_AT_SERVICE | SX_AT_VERSION | SX_NO_TEAM,
       "Percentage of an engine's slots that only urgent tiers may use."),
  _SX (SX_HEADROOM_KV_PERCENT, "headroom.kv_percent", SK_INT, SK_UNIT_PERCENT,
       0, 90, "5", SX_AT_ROOT | SX_AT_SERVICE | SX_AT_VERSION | SX_NO_TEAM,
       "Percentage of an engine's KV memory that slot grants leave free."),
  _SX (SX_RETRY_BUDGET_PERCENT, "retry.budget_percent", SK_INT,
       SK_UNIT_PERCENT, 0, 100, "10", SX_AT_ROOT | SX_AT_SERVICE | SX_NO_TEAM,
       "Retries as a percentage of the first attempts."),
  _SX (SX_RETRY_BASE_MS, "retry.base_ms", SK_INT, SK_UNIT_MS, 1, 60000, "100",
       SX_AT_ROOT | SX_AT_SERVICE | SX_NO_TEAM,
       "Delay of the first retry; it doubles with each further retry, with "
       "full jitter."),
  _SX (SX_RETRY_MAX_MS, "retry.max_ms", SK_INT, SK_UNIT_MS, 1, 600000, "5000",
       SX_AT_ROOT | SX_AT_SERVICE | SX_NO_TEAM, "Longest retry delay."),
  _SX (SX_REQUEST_ID_RETENTION_MS, "request_id.retention_ms", SK_INT,
       SK_UNIT_MS, 60000, 86400000, "600000", SX_AT_ROOT,
       "Time for which request ids are stored; older ids are refused."),
  _SX (SX_REQUEST_ID_FUTURE_MS, "request_id.future_ms", SK_INT, SK_UNIT_MS, 0,
       600000, "60000", SX_AT_ROOT,
       "How far the time in a request id may lie in the future."),
  [SX_KIND] = { .name = "kind",
                .type = SK_CHOICE,
                .choices = "engine plain",
                .default_text = "engine",
                .levels = SX_AT_SERVICE | SX_NO_TEAM,
                .doc = "Whether model engines or plain workers serve the "
                       "service." },
  _SX (SX_CURRENT_VERSION, "current_version", SK_NAME, SK_UNIT_NONE, 0, 0, "",
       SX_AT_SERVICE | SX_NO_TEAM,
       "Version that serves; empty means any version that an upstream "
       "reports."),
  _SX (SX_ROLLOUT_TO, "rollout.to", SK_NAME, SK_UNIT_NONE, 0, 0, "",
       SX_AT_SERVICE | SX_NO_TEAM,
       "Target version of the rollout; empty means no rollout."),
  _SX (SX_ROLLOUT_START, "rollout.start", SK_TIME, SK_UNIT_NONE, 0, 0, "none",
       SX_AT_SERVICE | SX_NO_TEAM,
       "Time before which the rollout sends no traffic; none means at once."),
  _SX (SX_ROLLOUT_DEADLINE, "rollout.deadline", SK_TIME, SK_UNIT_NONE, 0, 0,
       "none", SX_AT_SERVICE | SX_NO_TEAM,
       "Time by which the new version must serve all traffic."),
  _SX (SX_ROLLOUT_WATCH_MS, "rollout.watch_ms", SK_INT, SK_UNIT_MS, 0,
       604800000, "600000", SX_AT_ROOT | SX_AT_SERVICE | SX_NO_TEAM,
       "Time after a completed rollout for which the old version stays "
       "loaded."),
  _SX (SX_ROLLOUT_RUNG_MIN_MS, "rollout.rung_min_ms", SK_INT, SK_UNIT_MS, 100,
       86400000, "10000", SX_AT_ROOT | SX_AT_SERVICE | SX_NO_TEAM,
       "Shortest time that a rollout stays at one traffic share."),
  _SX (SX_WITHDRAWN, "withdrawn", SK_BOOL, SK_UNIT_NONE, 0, 0, "false",
       SX_AT_VERSION | SX_NO_TEAM,
       "Whether the version receives no requests, regardless of a rollout."),
  _SX (SX_UPSTREAM_CHECKS_FENCE, "upstream.checks_fence", SK_BOOL,
       SK_UNIT_NONE, 0, 0, "false", SX_AT_ROOT | SX_AT_SERVICE | SX_NO_TEAM,
       "Whether the upstreams refuse an order with an old fencing number."),
  _SX (SX_UPSTREAM_CONNECT_MS, "upstream.connect_ms", SK_INT, SK_UNIT_MS, 10,
       60000, "1000", SX_AT_ROOT | SX_AT_SERVICE | SX_NO_TEAM,
       "Time to connect to an upstream."),
  _SX (SX_UPSTREAM_SILENCE_MS, "upstream.silence_ms", SK_INT, SK_UNIT_MS, 100,
       3600000, "30000", SX_AT_ROOT | SX_AT_SERVICE | SX_NO_TEAM,
       "Time without received data after which the connection to an upstream "
       "is treated as lost."),
  _SX (SX_REGION_PRICE_PER_GB, "region.price_per_gb", SK_DECIMAL,
       SK_UNIT_PRICE_PER_GB, 0, 1000, "0.02", SX_AT_ROOT,
       "Price of the transfer of one gigabyte between regions."),
  _SX (SX_LINK_BUDGET_MBIT_PER_S, "link.budget_mbit_per_s", SK_DECIMAL,
       SK_UNIT_MBIT_PER_S, 0, 100000, "10", SX_AT_ROOT,
       "Traffic that one region may send to the others, all VMs together."),
  _SX (SX_ADDRESS_KEEP_MS, "address_keep_ms", SK_INT, SK_UNIT_MS, 1000,
       3600000, "30000", SX_AT_ROOT,
       "Time for which callers may cache the list of addresses."),
  [SX_LOG_LEVEL] = { .name = "log.level",
                     .type = SK_CHOICE,
                     .choices = "debug info warning error",
                     .default_text = "info",
                     .levels = SX_AT_ROOT,
                     .doc = "Lowest log level that all VMs write; until the "
                            "settings are loaded, a VM uses the level in its "
                            "configuration file." },
  _SX (SX_DRAIN_TOGETHER_MAX, "drain.together_max", SK_INT, SK_UNIT_NONE, 1,
       1000, "1", SX_AT_ROOT,
       "VMs of one data centre that operators may drain at the same time."),
  _SX (SX_DRAIN_TIME_MAX_MS, "drain.time_max_ms", SK_INT, SK_UNIT_MS, 0,
       604800000, "0", SX_AT_ROOT,
       "Longest drain; 0 is no limit, so that no request is interrupted."),
};

/* The table, SX_KEYS rows, indexed by sx_key.  */
const sk_key *
sx_query_keys (void)
{
  return _sx_keys;
}

/* Finds the key NAME; on false ERR suggests the closest name.  */
bool
sx_find_key (st_str name, sx_key *out, er_error *err)
{
  const char *names[SX_KEYS];
  for (unsigned i = 0; i < SX_KEYS; i++)
    {
      names[i] = _sx_keys[i].name;
      if (st_equal_cstr (name, names[i]))
        {
          *out = (sx_key)i;
          return true;
        }
    }
  const char *near = sk_nearest (names, SX_KEYS, name);
  if (near != NULL)
    return er_set (err, ER_NOT_FOUND,
                   "unknown key \"%.*s\"; did you mean \"%s\"?",
                   ST_FMT (st_slice (name, 0, 64)), near);
  return er_set (err, ER_NOT_FOUND,
                 "unknown key \"%.*s\"; see docs/SETTINGS.md for the known "
                 "keys",
                 ST_FMT (st_slice (name, 0, 64)));
}

static void
_sx_print_levels (GString *out, unsigned levels)
{
  static const char *const names[]
      = { "root", "team", "service", "tier", "version" };
  bool first = true;
  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (levels & 1u << i)
      {
        g_string_append_printf (out, "%s%s", first ? "" : ", ", names[i]);
        first = false;
      }
  if (levels & SX_NO_TEAM)
    g_string_append (out, " (not below a team)");
}

/* Text of the page docs/SETTINGS.md.  The caller frees it with g_free.  */
char *
sx_print_reference (void)
{
  GString *out = g_string_new (
      "# Settings\n\n"
      "Generated by `dotterelbendctl settings-reference`; do not edit.\n\n"
      "A value set at a path applies to everything below it. Paths:\n"
      "`root`, then `team/NAME`, `service/NAME`, `tier/N`, `version/NAME` in "
      "this order,\neach optional, for instance `team/night/service/draft`. "
      "The most specific path\nwins: version before tier, tier before "
      "service, "
      "service before team, team before\nroot. \"Levels\" lists the last "
      "levels of a "
      "path at which the key may be set.\n");
  for (unsigned i = 0; i < SX_KEYS; i++)
    {
      const sk_key *k = &_sx_keys[i];
      g_string_append_printf (out, "\n## %s\n\n%s\n\n- type: %s", k->name,
                              k->doc, sk_type_name (k->type));
      if (k->unit != SK_UNIT_NONE)
        g_string_append_printf (out, " in %s", sk_unit_name (k->unit));
      if (k->type == SK_INT || k->type == SK_DECIMAL)
        g_string_append_printf (out, ", from %" PRId64 " to %" PRId64, k->min,
                                k->max);
      if (k->type == SK_CHOICE)
        {
          char **words = g_strsplit (k->choices, " ", -1);
          char *list = g_strjoinv (", ", words);
          g_string_append_printf (out, ": %s", list);
          g_free (list);
          g_strfreev (words);
        }
      g_string_append_printf (out, "\n- default: %s\n- levels: ",
                              k->default_text[0] != 0 ? k->default_text
                                                      : "(empty)");
      _sx_print_levels (out, k->levels);
      g_string_append_c (out, '\n');
    }
  return g_string_free (out, FALSE);
}
