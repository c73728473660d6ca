#include "rl.h"

#include <cstring>
#include <gtest/gtest.h>
#include <string>

static ro_state
sample ()
{
  ro_state s;
  memset (&s, 0, sizeof s);
  st_name_set (&s.service, ST_LIT ("draft"));
  st_name_set (&s.from, ST_LIT ("v1"));
  st_name_set (&s.to, ST_LIT ("v2"));
  s.fence = 77;
  s.step = 9;
  s.share_step = 8;
  s.share_permille = 20;
  s.share_high_permille = 10;
  s.phase = RO_ROLLED_BACK;
  s.reason.kind = RO_REASON_SLOW_INTER_TOKEN;
  s.reason.load = EV_LOAD_HIGH;
  st_name_set (&s.reason.route, ST_LIT ("night"));
  s.deadline_ms = 123456789012;
  s.watch_until_ms = 5;
  return s;
}

// Guards against a field that is lost between a write and a read.
TEST (RlState, RoundTrip)
{
  ro_state s = sample ();
  ro_state back;
  json_t *json = rl_state_to_json (&s);
  ASSERT_TRUE (rl_state_from_json (json, &back));
  json_t *again = rl_state_to_json (&back);
  EXPECT_TRUE (json_equal (json, again));
  EXPECT_EQ (ro_compare (&s, &back), 0);
  EXPECT_EQ (back.phase, RO_ROLLED_BACK);
  EXPECT_EQ (back.reason.load, EV_LOAD_HIGH);
  json_decref (json);
  json_decref (again);
}

// Guards against a malformed stored state being followed.
TEST (RlState, EveryFieldIsChecked)
{
  ro_state s = sample ();
  ro_state back;
  const char *keys[] = { "service",
                         "from",
                         "to",
                         "fence",
                         "step",
                         "share_step",
                         "share_permille",
                         "share_high_permille",
                         "state",
                         "reason",
                         "reason_route",
                         "deadline_ms",
                         "watch_until_ms" };
  for (const char *key : keys)
    {
      json_t *json = rl_state_to_json (&s);
      json_object_del (json, key);
      EXPECT_FALSE (rl_state_from_json (json, &back)) << key;
      json_object_set_new (json, key, json_null ());
      EXPECT_FALSE (rl_state_from_json (json, &back)) << key;
      json_decref (json);
    }
  json_t *json = rl_state_to_json (&s);
  json_object_set_new (json, "share_permille", json_integer (1001));
  EXPECT_FALSE (rl_state_from_json (json, &back));
  json_object_set_new (json, "share_permille", json_integer (-1));
  EXPECT_FALSE (rl_state_from_json (json, &back));
  json_decref (json);
  json = json_string ("x");
  EXPECT_FALSE (rl_state_from_json (json, &back));
  json_decref (json);
}
