#include "rl.h"

#include <string.h>

static const char *const _rl_phases[]
    = { "none", "loading", "running", "done", "taken_back" };
static const char *const _rl_reasons[]
    = { "",         "failure", "slow_first_token", "slow_inter_token",
        "deadline", "halted",  "operator" };

#define _RL_COUNT(table) (sizeof (table) / sizeof (table)[0])

static json_t *
_rl_name (const st_name *name)
{
  return json_stringn (name->text, name->len);
}

/* JSON of STATE, as stored.  Times are in milliseconds of the wall clock,
   shares in thousandths.  */
json_t *
rl_state_to_json (const ro_state *state)
{
  json_t *json = json_object ();
  json_object_set_new (json, "service", _rl_name (&state->service));
  json_object_set_new (json, "from", _rl_name (&state->from));
  json_object_set_new (json, "to", _rl_name (&state->to));
  json_object_set_new (json, "fence", json_integer ((json_int_t)state->fence));
  json_object_set_new (json, "step", json_integer (state->step));
  json_object_set_new (json, "share_step", json_integer (state->share_step));
  json_object_set_new (json, "share_permille",
                       json_integer (state->share_permille));
  json_object_set_new (json, "share_high_permille",
                       json_integer (state->share_high_permille));
  json_object_set_new (json, "state", json_string (_rl_phases[state->phase]));
  json_object_set_new (json, "reason",
                       json_string (_rl_reasons[state->reason.kind]));
  json_object_set_new (json, "reason_high_load",
                       json_boolean (state->reason.load == EV_LOAD_HIGH));
  json_object_set_new (json, "reason_route", _rl_name (&state->reason.route));
  json_object_set_new (json, "deadline_ms",
                       json_integer ((json_int_t)state->deadline_ms));
  json_object_set_new (json, "watch_until_ms",
                       json_integer ((json_int_t)state->watch_until_ms));
  return json;
}

static bool
_rl_get_name (const json_t *json, const char *key, st_name *out)
{
  const json_t *value = json_object_get (json, key);
  return json_is_string (value)
         && st_name_set (out, (st_str){ json_string_value (value),
                                        json_string_length (value) });
}

static bool
_rl_get_number (const json_t *json, const char *key, uint64_t max,
                uint64_t *out)
{
  const json_t *value = json_object_get (json, key);
  if (!json_is_integer (value) || json_integer_value (value) < 0
      || (uint64_t)json_integer_value (value) > max)
    return false;
  *out = (uint64_t)json_integer_value (value);
  return true;
}

static bool
_rl_get_word (const json_t *json, const char *key, const char *const *words,
              size_t count, unsigned *out)
{
  const char *word = json_string_value (json_object_get (json, key));
  for (size_t i = 0; word != NULL && i < count; i++)
    if (strcmp (word, words[i]) == 0)
      {
        *out = (unsigned)i;
        return true;
      }
  return false;
}

/* Reads what rl_state_to_json wrote.  False when a field is missing or out of
   range; OUT must not be used then.  */
bool
rl_state_from_json (const json_t *json, ro_state *out)
{
  uint64_t step;
  uint64_t share_step;
  uint64_t share;
  uint64_t share_high;
  unsigned phase;
  unsigned reason;
  memset (out, 0, sizeof *out);
  bool ok
      = _rl_get_name (json, "service", &out->service)
        && _rl_get_name (json, "from", &out->from)
        && _rl_get_name (json, "to", &out->to)
        && _rl_get_number (json, "fence", INT64_MAX, &out->fence)
        && _rl_get_number (json, "step", UINT32_MAX, &step)
        && _rl_get_number (json, "share_step", UINT32_MAX, &share_step)
        && _rl_get_number (json, "share_permille", 1000, &share)
        && _rl_get_number (json, "share_high_permille", 1000, &share_high)
        && _rl_get_number (json, "deadline_ms", INT64_MAX, &out->deadline_ms)
        && _rl_get_number (json, "watch_until_ms", INT64_MAX,
                           &out->watch_until_ms)
        && _rl_get_word (json, "state", _rl_phases, _RL_COUNT (_rl_phases),
                         &phase)
        && _rl_get_word (json, "reason", _rl_reasons, _RL_COUNT (_rl_reasons),
                         &reason)
        && _rl_get_name (json, "reason_route", &out->reason.route);
  if (!ok)
    return false;
  out->step = (uint32_t)step;
  out->share_step = (uint32_t)share_step;
  out->share_permille = (uint16_t)share;
  out->share_high_permille = (uint16_t)share_high;
  out->phase = (ro_phase)phase;
  out->reason.kind = (ro_reason_kind)reason;
  out->reason.load = json_is_true (json_object_get (json, "reason_high_load"))
                         ? EV_LOAD_HIGH
                         : EV_LOAD_LOW;
  return true;
}
