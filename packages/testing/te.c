#include "te.h"

#include "ck.h"
#include "th.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#define TE_PREFILL_CHUNK_TOKENS 512
#define TE_SLOW_FACTOR 6
#define TE_REPORTS_MAX 256
#define TE_REPORT_INTERVAL_MS 20
#define TE_CACHE_EVENTS_MAX 8192
#define TE_TOKENS_MAX 100000
#define TE_ID_MAX 255
#define TE_FETCH_RETRY_S 1
/* Most steps in one event callback, so that other events are not delayed.  */
#define TE_STEPS_PER_ITERATION 64

typedef enum
{
  TE_QUEUED = 0,
  TE_PREFILL,
  TE_DECODE,
  TE_STOPPED, /* cancelled; the KV state is retained */
  TE_FINISHED,
  TE_CANCELLED,
  TE_FAILED
} _te_state;

static const char *const _te_state_names[]
    = { "queued",   "prefill",   "decode", "stopped",
        "finished", "cancelled", "failed" };

typedef struct
{
  struct evhttp_request *req;
  uint32_t next; /* next event to send */
  bool complete; /* gets one response that is not streamed */
  bool started;  /* headers were sent */
} _te_reader;

typedef struct
{
  te_engine *e;
  char *id;
  char *version;
  char *route;
  uint64_t prompt_hash;
  GArray *blocks; /* uint64_t hashes of the prompt's blocks */
  uint32_t prompt_tokens;
  uint32_t cached_tokens;
  uint32_t prefill_left_tokens;
  uint32_t prefilled_tokens; /* computed by this engine */
  uint32_t wasted_tokens;
  uint32_t max_tokens;
  uint32_t emitted_tokens;
  uint32_t received;
  uint32_t refused;
  uint32_t resumed;
  uint32_t skip_steps; /* before the next token, for slow versions */
  _te_state state;
  bool chat;
  bool bad;
  bool exported;
  uint64_t orphan_since_us; /* 0 while there is a reader */
  GPtrArray *readers;       /* _te_reader */
} _te_stream;

typedef struct
{
  uint64_t time_us;
  uint64_t wall_ms;
  uint32_t running;
  uint32_t queued;
  uint64_t kv_tokens;
} _te_report;

typedef struct
{
  uint64_t number;
  uint64_t time_us;
  uint64_t block;
  bool stored; /* else evicted */
  bool lost;
} _te_cache_event;

typedef struct
{
  te_engine *e;
  char *version;
  struct event *timer;
  bool fetched;
} _te_version_load;

struct te_engine
{
  te_desc desc;
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  char *address;
  char *name;
  char *model;
  char *region;
  char *data_center;
  char *platform;
  char *bad_version;
  char *bad_route;
  GPtrArray *versions; /* char * */
  ck_clock clock;
  GHashTable *streams; /* id -> _te_stream */
  GPtrArray *running;  /* _te_stream */
  GQueue *queue;       /* _te_stream */
  GPtrArray *loads;    /* _te_version_load */
  struct event *step;
  struct event *report_timer;
  bool step_armed;
  uint64_t step_due_us;
  _te_report reports[TE_REPORTS_MAX];
  uint32_t report_count;
  uint64_t kv_tokens;
  GHashTable *cache;    /* block hash -> link in lru */
  GQueue *lru;          /* uint64_t *, most recent first */
  GArray *cache_events; /* _te_cache_event */
  uint64_t cache_next;
  GRand *rand;
  uint64_t bad_from_us;
  uint64_t fence;
  uint64_t prefill_total_tokens;
  double slow_factor;
  uint32_t cut_after_events;
  bool refuse;
  bool copy_refusals;
  GHashTable *copies; /* evhttp_connection -> refusal to send again */
  bool leaving;
};

/* Text of token INDEX of the stream ID for a prompt with PROMPT_HASH.  */
void
te_token (st_str id, uint64_t prompt_hash, uint32_t index,
          char text[TE_TOKEN_LEN + 1])
{
  static const char digits[] = "0123456789abcdef";
  uint64_t h = st_hash (id, prompt_hash + index);
  for (int i = 0; i < TE_TOKEN_LEN - 1; i++)
    text[i] = digits[h >> (4 * i) & 15];
  text[TE_TOKEN_LEN - 1] = ' ';
  text[TE_TOKEN_LEN] = '\0';
}

/* Hash of a prompt, as te_token takes it.  */
uint64_t
te_prompt_hash (st_str prompt)
{
  return st_hash (prompt, 1);
}

/* Number of tokens of a prompt.  */
uint32_t
te_prompt_tokens (st_str prompt)
{
  return (uint32_t)((prompt.len + 3) / 4);
}

static void
_te_stream_free (gpointer ptr)
{
  _te_stream *s = ptr;
  for (guint i = 0; i < s->readers->len; i++)
    g_free (s->readers->pdata[i]);
  g_ptr_array_free (s->readers, TRUE);
  g_array_free (s->blocks, TRUE);
  g_free (s->id);
  g_free (s->version);
  g_free (s->route);
  g_free (s);
}

/* ---- prefix cache ---- */

static void
_te_cache_record_event (te_engine *e, uint64_t block, bool stored)
{
  _te_cache_event event = { .number = e->cache_next++,
                            .time_us = ck_now_us (&e->clock),
                            .block = block,
                            .stored = stored };
  event.lost = e->desc.cache_gap_rate > 0
               && g_rand_double (e->rand) < e->desc.cache_gap_rate;
  g_array_append_val (e->cache_events, event);
  if (e->cache_events->len > TE_CACHE_EVENTS_MAX)
    g_array_remove_range (e->cache_events, 0, TE_CACHE_EVENTS_MAX / 4);
}

/* Number of tokens at the start of the prompt that are cached.  */
static uint32_t
_te_cache_lookup (te_engine *e, const _te_stream *s)
{
  uint32_t n = 0;
  while (n < s->blocks->len)
    {
      GList *link = g_hash_table_lookup (
          e->cache, &g_array_index (s->blocks, uint64_t, n));
      if (link == NULL)
        break;
      g_queue_unlink (e->lru, link);
      g_queue_push_head_link (e->lru, link);
      n++;
    }
  return n * TE_BLOCK_TOKENS;
}

static void
_te_cache_add (te_engine *e, const _te_stream *s)
{
  guint limit = MAX (1, e->desc.cache_tokens / TE_BLOCK_TOKENS);
  for (guint i = 0; i < s->blocks->len; i++)
    {
      uint64_t block = g_array_index (s->blocks, uint64_t, i);
      uint64_t *key;
      if (g_hash_table_contains (e->cache, &block))
        continue;
      while (g_queue_get_length (e->lru) >= limit)
        {
          uint64_t *old = g_queue_pop_tail (e->lru);
          g_hash_table_remove (e->cache, old);
          _te_cache_record_event (e, *old, false);
          g_free (old);
        }
      key = g_new (uint64_t, 1);
      *key = block;
      g_queue_push_head (e->lru, key);
      g_hash_table_insert (e->cache, key, e->lru->head);
      _te_cache_record_event (e, block, true);
    }
}

/* ---- readers ---- */

static void
_te_write_event (struct evbuffer *out, const _te_stream *s, uint32_t index)
{
  char text[TE_TOKEN_LEN + 1] = "";
  const char *object
      = s->chat ? "chat.completion.chunk" : "text_completion.chunk";
  if (index < s->max_tokens)
    {
      te_token (st_from_cstr (s->id), s->prompt_hash, index, text);
      evbuffer_add_printf (
          out,
          s->chat ? "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
                    "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"},"
                    "\"finish_reason\":null}]}\n\n"
                  : "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
                    "\"choices\":[{\"index\":0,\"text\":\"%s\","
                    "\"finish_reason\":null}]}\n\n",
          s->id, object, s->e->model, text);
      return;
    }
  evbuffer_add_printf (
      out,
      "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
      "\"choices\":[{\"index\":0,%s,\"finish_reason\":\"stop\"}],"
      "\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
      "\"total_tokens\":%u,\"cached_tokens\":%u}}\n\ndata: [DONE]\n\n",
      s->id, object, s->e->model, s->chat ? "\"delta\":{}" : "\"text\":\"\"",
      s->prompt_tokens, s->max_tokens, s->prompt_tokens + s->max_tokens,
      s->cached_tokens);
}

static void
_te_send_complete (const _te_stream *s, struct evhttp_request *req)
{
  GString *text = g_string_sized_new (s->max_tokens * TE_TOKEN_LEN + 1);
  json_t *choice;
  char token[TE_TOKEN_LEN + 1];
  for (uint32_t i = 0; i < s->max_tokens; i++)
    {
      te_token (st_from_cstr (s->id), s->prompt_hash, i, token);
      g_string_append_len (text, token, TE_TOKEN_LEN);
    }
  choice = s->chat ? json_pack ("{s:i,s:{s:s,s:s},s:s}", "index", 0, "message",
                                "role", "assistant", "content", text->str,
                                "finish_reason", "stop")
                   : json_pack ("{s:i,s:s,s:s}", "index", 0, "text", text->str,
                                "finish_reason", "stop");
  th_reply_json (req, 200,
                 json_pack ("{s:s,s:s,s:s,s:[o],s:{s:i,s:i,s:i,s:i}}", "id",
                            s->id, "object",
                            s->chat ? "chat.completion" : "text_completion",
                            "model", s->e->model, "choices", choice, "usage",
                            "prompt_tokens", s->prompt_tokens,
                            "completion_tokens", s->max_tokens, "total_tokens",
                            s->prompt_tokens + s->max_tokens, "cached_tokens",
                            s->cached_tokens));
  g_string_free (text, TRUE);
}

static void
_te_reader_remove (_te_stream *s, guint index)
{
  g_free (g_ptr_array_remove_index (s->readers, index));
  if (s->readers->len == 0)
    s->orphan_since_us = ck_now_us (&s->e->clock);
}

/* Number of events so far: one for each token, and the last one.  */
static uint32_t
_te_event_count (const _te_stream *s)
{
  return s->emitted_tokens + (s->state == TE_FINISHED ? 1 : 0);
}

static void
_te_reader_start (_te_reader *r)
{
  if (r->started || r->complete)
    return;
  r->started = true;
  evhttp_add_header (evhttp_request_get_output_headers (r->req),
                     "Content-Type", "text/event-stream");
  evhttp_send_reply_start (r->req, 200, "OK");
}

/* Sends a reader the events that it has not received.  Returns false when the
   reader is done or disconnected; the caller removes it.  */
static bool
_te_reader_send (_te_stream *s, _te_reader *r)
{
  uint32_t events = _te_event_count (s);
  struct evbuffer *out;
  if (!th_connected (r->req))
    {
      evhttp_send_reply_end (r->req);
      return false;
    }
  if (r->complete)
    {
      if (s->state != TE_FINISHED)
        return true;
      _te_send_complete (s, r->req);
      return false;
    }
  _te_reader_start (r);
  if (r->next < events)
    {
      out = evbuffer_new ();
      while (r->next < events)
        _te_write_event (out, s, r->next++);
      evhttp_send_reply_chunk (r->req, out);
      evbuffer_free (out);
      if (s->e->cut_after_events > 0 && r->next >= s->e->cut_after_events)
        {
          s->e->cut_after_events = 0;
          th_abort (r->req);
          return false;
        }
    }
  if (s->state != TE_FINISHED)
    return true;
  evhttp_send_reply_end (r->req);
  return false;
}

static void
_te_send_events (_te_stream *s)
{
  for (guint i = s->readers->len; i-- > 0;)
    if (!_te_reader_send (s, s->readers->pdata[i]))
      _te_reader_remove (s, i);
}

/* Ends all readers of a stream without further events.  For one that received
   events the body ends without [DONE].  One that received nothing gets an
   error STATUS of KIND; with status 0 its connection is closed.  */
static void
_te_end_readers (_te_stream *s, int status, const char *kind)
{
  for (guint i = s->readers->len; i-- > 0;)
    {
      _te_reader *r = s->readers->pdata[i];
      if (r->started)
        evhttp_send_reply_end (r->req);
      else if (status == 0)
        th_abort (r->req);
      else
        th_reply_error (r->req, status, kind, "the stream has ended");
      _te_reader_remove (s, i);
    }
}

/* ---- steps ---- */

static void _te_arm_step_timer (te_engine *e);
static void _te_admit_queued (te_engine *e);

static uint32_t
_te_kv_tokens (const _te_stream *s)
{
  return s->prompt_tokens + s->max_tokens;
}

static void
_te_leave_batch (_te_stream *s, _te_state state)
{
  te_engine *e = s->e;
  if (s->state == TE_PREFILL || s->state == TE_DECODE)
    g_ptr_array_remove (e->running, s);
  else if (s->state == TE_QUEUED)
    g_queue_remove (e->queue, s);
  if (s->state != TE_QUEUED && s->state != TE_FINISHED
      && s->state != TE_CANCELLED && s->state != TE_FAILED
      && state != TE_STOPPED)
    e->kv_tokens -= MIN (e->kv_tokens, _te_kv_tokens (s));
  s->state = state;
}

static void
_te_cancel (_te_stream *s, bool keep)
{
  bool active = s->state == TE_QUEUED || s->state == TE_PREFILL
                || s->state == TE_DECODE || s->state == TE_STOPPED;
  if (!active)
    return;
  if (keep && s->state != TE_QUEUED)
    {
      if (s->state != TE_STOPPED)
        _te_leave_batch (s, TE_STOPPED);
    }
  else
    {
      if (!s->exported)
        s->wasted_tokens = s->prefilled_tokens;
      _te_leave_batch (s, TE_CANCELLED);
    }
  _te_end_readers (s, keep ? 0 : 409, "cancelled");
  _te_admit_queued (s->e);
}

static bool
_te_is_bad (te_engine *e, const _te_stream *s)
{
  if (e->bad_version == NULL || strcmp (e->bad_version, s->version) != 0
      || ck_now_us (&e->clock) < e->bad_from_us)
    return false;
  switch (e->desc.bad_mode)
    {
    case TE_GOOD:
      return false;
    case TE_FAIL:
    case TE_SLOW:
      return true;
    case TE_FAIL_ON_LOAD:
      return e->running->len >= e->desc.bad_load;
    case TE_FAIL_ON_ROUTE:
      return e->bad_route != NULL && strcmp (e->bad_route, s->route) == 0;
    }
  return false;
}

static void
_te_enter_batch (te_engine *e, _te_stream *s)
{
  if (s->emitted_tokens == 0 && s->prefilled_tokens == 0
      && s->prefill_left_tokens > 0)
    {
      uint32_t cached = _te_cache_lookup (e, s);
      /* The last token is always computed, as real engines do.  */
      s->cached_tokens = MIN (cached, s->prefill_left_tokens - 1);
      s->prefill_left_tokens -= s->cached_tokens;
    }
  s->bad = _te_is_bad (e, s);
  s->state = s->prefill_left_tokens > 0 ? TE_PREFILL : TE_DECODE;
  g_ptr_array_add (e->running, s);
}

static void
_te_admit_queued (te_engine *e)
{
  while (!g_queue_is_empty (e->queue) && e->running->len < e->desc.slots)
    {
      _te_stream *s = g_queue_peek_head (e->queue);
      if (e->running->len > 0
          && e->kv_tokens + _te_kv_tokens (s) > e->desc.kv_tokens_max)
        break;
      g_queue_pop_head (e->queue);
      e->kv_tokens += _te_kv_tokens (s);
      _te_enter_batch (e, s);
    }
  _te_arm_step_timer (e);
}

static void
_te_finish (_te_stream *s)
{
  _te_leave_batch (s, TE_FINISHED);
  _te_send_events (s);
}

static void
_te_fail (_te_stream *s)
{
  s->wasted_tokens = s->prefilled_tokens;
  _te_leave_batch (s, TE_FAILED);
  _te_end_readers (s, 500, "engine_fault");
}

static void
_te_emit (_te_stream *s)
{
  if (s->bad && s->e->desc.bad_mode == TE_SLOW)
    {
      if (s->skip_steps > 0)
        {
          s->skip_steps--;
          return;
        }
      s->skip_steps = TE_SLOW_FACTOR - 1;
    }
  s->emitted_tokens++;
  if (s->emitted_tokens >= s->max_tokens)
    _te_finish (s);
  else
    _te_send_events (s);
}

static bool
_te_orphaned (const _te_stream *s, uint64_t now_us)
{
  return s->readers->len == 0 && s->orphan_since_us > 0
         && now_us - s->orphan_since_us
                > (uint64_t)s->e->desc.orphan_ms * CK_MS_US;
}

/* First stream of the batch that is still in prefill; NULL when none.  */
static _te_stream *
_te_first_in_prefill (te_engine *e)
{
  for (guint i = 0; i < e->running->len; i++)
    {
      _te_stream *s = e->running->pdata[i];
      if (s->state == TE_PREFILL)
        return s;
    }
  return NULL;
}

static uint64_t
_te_step_us (te_engine *e)
{
  const _te_stream *p = _te_first_in_prefill (e);
  uint32_t decoding = 0;
  double s = 0;
  for (guint i = 0; i < e->running->len; i++)
    decoding += ((_te_stream *)e->running->pdata[i])->state == TE_DECODE;
  if (e->desc.instant)
    return 0;
  if (decoding > 0)
    s += (1 + e->desc.decode_slowdown * (decoding - 1))
         / e->desc.decode_tokens_per_s;
  if (p != NULL)
    {
      double slow = p->bad && e->desc.bad_mode == TE_SLOW ? TE_SLOW_FACTOR : 1;
      s += slow * MIN (p->prefill_left_tokens, TE_PREFILL_CHUNK_TOKENS)
           / e->desc.prefill_tokens_per_s;
    }
  return (uint64_t)(s * 1e6 * e->slow_factor / e->desc.time_scale);
}

static void
_te_run_step (te_engine *e)
{
  uint64_t now_us = ck_now_us (&e->clock);
  _te_stream *p = _te_first_in_prefill (e);
  GPtrArray *decoding = g_ptr_array_sized_new (e->running->len);
  for (guint i = 0; i < e->running->len; i++)
    if (((_te_stream *)e->running->pdata[i])->state == TE_DECODE)
      g_ptr_array_add (decoding, e->running->pdata[i]);
  if (p != NULL)
    {
      uint32_t chunk = MIN (p->prefill_left_tokens, TE_PREFILL_CHUNK_TOKENS);
      p->prefill_left_tokens -= chunk;
      p->prefilled_tokens += chunk;
      e->prefill_total_tokens += chunk;
      if (p->prefill_left_tokens == 0)
        {
          _te_cache_add (e, p);
          p->state = TE_DECODE;
          if (p->bad && e->desc.bad_mode != TE_SLOW)
            _te_fail (p);
          else
            g_ptr_array_add (decoding, p);
        }
    }
  for (guint i = 0; i < decoding->len; i++)
    {
      _te_stream *s = decoding->pdata[i];
      if (_te_orphaned (s, now_us))
        _te_cancel (s, false);
      else if (s->state == TE_DECODE)
        _te_emit (s);
    }
  g_ptr_array_free (decoding, TRUE);
}

static void
_te_on_step (evutil_socket_t fd, short what, void *user)
{
  te_engine *e = user;
  (void)fd;
  (void)what;
  for (int n = 0; n < TE_STEPS_PER_ITERATION && e->running->len > 0; n++)
    {
      uint64_t now_us = ck_now_us (&e->clock);
      if (e->step_due_us > now_us)
        break;
      _te_run_step (e);
      _te_admit_queued (e);
      e->step_due_us += _te_step_us (e);
      /* At most 50 ms of delay by a busy event loop are caught up.  */
      if (e->step_due_us + 50 * CK_MS_US < now_us)
        e->step_due_us = now_us;
    }
  e->step_armed = false;
  _te_arm_step_timer (e);
}

static void
_te_arm_step_timer (te_engine *e)
{
  uint64_t now_us = ck_now_us (&e->clock);
  uint64_t wait_us;
  struct timeval tv;
  if (e->step_armed || e->running->len == 0)
    return;
  if (e->step_due_us < now_us)
    e->step_due_us = now_us + _te_step_us (e);
  wait_us = e->step_due_us - now_us;
  tv = ck_timeval (wait_us);
  e->step_armed = true;
  evtimer_add (e->step, &tv);
}

/* ---- requests ---- */

static bool
_te_has_version (const te_engine *e, const char *version)
{
  for (guint i = 0; i < e->versions->len; i++)
    if (strcmp (e->versions->pdata[i], version) == 0)
      return true;
  return false;
}

/* True when ID needs no escaping in JSON and in paths.  */
static bool
_te_id_valid (const char *id)
{
  size_t len = strlen (id);
  return len > 0 && len <= TE_ID_MAX
         && strspn (id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789._:-")
                == len;
}

static GString *
_te_prompt (const json_t *body, bool chat)
{
  GString *text = g_string_new (NULL);
  size_t i;
  json_t *message;
  if (!chat)
    {
      const char *prompt
          = json_string_value (json_object_get (body, "prompt"));
      return g_string_append (text, prompt != NULL ? prompt : "");
    }
  json_array_foreach (json_object_get (body, "messages"), i, message)
  {
    const char *content
        = json_string_value (json_object_get (message, "content"));
    if (i > 0)
      g_string_append_c (text, '\n');
    g_string_append (text, content != NULL ? content : "");
  }
  return text;
}

static _te_stream *
_te_stream_make (te_engine *e, const char *id)
{
  _te_stream *s = g_new0 (_te_stream, 1);
  s->e = e;
  s->id = g_strdup (id);
  s->version = g_strdup ("");
  s->route = g_strdup ("");
  s->blocks = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  s->readers = g_ptr_array_new ();
  g_hash_table_insert (e->streams, s->id, s);
  return s;
}

static void
_te_hash_blocks (_te_stream *s, st_str prompt)
{
  uint64_t hash = 0;
  for (size_t at = 0; at + TE_BLOCK_BYTES <= prompt.len; at += TE_BLOCK_BYTES)
    {
      hash = st_hash (st_slice (prompt, at, at + TE_BLOCK_BYTES), hash);
      g_array_append_val (s->blocks, hash);
    }
}

static void
_te_add_reader (_te_stream *s, struct evhttp_request *req, uint32_t from,
                bool complete)
{
  _te_reader *r = g_new0 (_te_reader, 1);
  r->req = req;
  r->next = from;
  r->complete = complete;
  s->orphan_since_us = 0;
  g_ptr_array_add (s->readers, r);
}

static void
_te_on_copy_closed (struct evhttp_connection *conn, void *user)
{
  te_engine *e = user;
  g_hash_table_remove (e->copies, conn);
}

/* Keeps a copy of the refusal that REQ is about to get.  */
static void
_te_keep_copy (te_engine *e, struct evhttp_request *req)
{
  static const char body[] = "{\"error\":{\"kind\":\"not_admitted\","
                             "\"message\":\"a copy\"}}";
  struct evhttp_connection *conn = evhttp_request_get_connection (req);
  g_hash_table_insert (e->copies, conn,
                       g_strdup_printf ("HTTP/1.1 503 Service Unavailable\r\n"
                                        "Dotterelbend-Call: %s\r\n"
                                        "Content-Type: application/json\r\n"
                                        "Content-Length: %zu\r\n\r\n%s",
                                        th_header (req, "Dotterelbend-Call"),
                                        sizeof body - 1, body));
  evhttp_connection_set_closecb (conn, _te_on_copy_closed, e);
}

/* Sends the copy of the last refusal on the connection of REQ, a completion,
   if any.  Reports of load share the connections and must not use it up.  */
static void
_te_send_copy (te_engine *e, struct evhttp_request *req)
{
  struct evhttp_connection *conn = evhttp_request_get_connection (req);
  const char *copy = g_hash_table_lookup (e->copies, conn);
  if (copy == NULL)
    return;
  send (bufferevent_getfd (evhttp_connection_get_bufferevent (conn)), copy,
        strlen (copy), MSG_NOSIGNAL);
  g_hash_table_remove (e->copies, conn);
}

static void
_te_handle_completion (te_engine *e, struct evhttp_request *req, bool chat)
{
  static uint64_t unnamed;
  char generated_id[64];
  const char *id = th_header (req, "Dotterelbend-Stream");
  const char *version = th_header (req, "Dotterelbend-Version");
  json_t *body = th_body_json (req);
  GString *prompt = NULL;
  json_int_t max_tokens;
  bool complete;
  _te_stream *s;
  _te_send_copy (e, req);
  if (!json_is_object (body))
    {
      th_reply_error (req, 400, "invalid", "the body must be a JSON object");
      goto out;
    }
  if (id[0] == '\0')
    {
      g_snprintf (generated_id, sizeof generated_id,
                  "unnamed-%u-%" G_GUINT64_FORMAT, e->port, unnamed++);
      id = generated_id;
    }
  if (!_te_id_valid (id))
    {
      th_reply_error (req, 400, "invalid",
                      "a stream id has up to 255 letters, digits and ._:-");
      goto out;
    }
  if (version[0] == '\0')
    version = e->versions->len > 0 ? e->versions->pdata[0] : "";
  s = g_hash_table_lookup (e->streams, id);
  if (e->refuse || e->leaving || !_te_has_version (e, version))
    {
      if (s == NULL && !e->desc.instant)
        {
          s = _te_stream_make (e, id);
          s->state = TE_CANCELLED;
        }
      if (s != NULL)
        s->refused++;
      if (e->copy_refusals)
        _te_keep_copy (e, req);
      th_reply_error (req, 503, "not_admitted",
                      e->refuse || e->leaving ? "the engine refuses requests"
                                              : "the version is not loaded");
      goto out;
    }
  if (s != NULL && s->received > 0)
    {
      s->received++;
      th_reply_error (req, 409, "duplicate",
                      "the stream id was received before");
      goto out;
    }
  if (s == NULL)
    s = _te_stream_make (e, id);
  prompt = _te_prompt (body, chat);
  max_tokens = json_integer_value (json_object_get (body, "max_tokens"));
  if (max_tokens <= 0 || max_tokens > TE_TOKENS_MAX)
    max_tokens = 16;
  complete = !json_is_true (json_object_get (body, "stream"));
  s->received = 1;
  s->chat = chat;
  g_free (s->version);
  s->version = g_strdup (version);
  g_free (s->route);
  s->route = g_strdup (th_header (req, "Dotterelbend-Route"));
  s->max_tokens = (uint32_t)max_tokens;
  s->prompt_hash = te_prompt_hash ((st_str){ prompt->str, prompt->len });
  s->prompt_tokens
      = MAX (1, te_prompt_tokens ((st_str){ prompt->str, prompt->len }));
  s->prefill_left_tokens = s->prompt_tokens;
  s->state = TE_QUEUED;
  _te_add_reader (s, req, 0, complete);
  if (e->desc.instant)
    {
      bool stall = e->desc.stall_after_tokens > 0
                   && e->desc.stall_after_tokens < s->max_tokens;
      s->prefilled_tokens = s->prompt_tokens;
      s->emitted_tokens = stall ? e->desc.stall_after_tokens : s->max_tokens;
      s->state = stall ? TE_STOPPED : TE_FINISHED;
      _te_send_events (s);
      /* Measurements make many streams, so finished ones are freed.  */
      if (!stall)
        g_hash_table_remove (e->streams, s->id);
    }
  else
    {
      _te_hash_blocks (s, (st_str){ prompt->str, prompt->len });
      g_queue_push_tail (e->queue, s);
      _te_admit_queued (e);
    }
out:
  if (prompt != NULL)
    g_string_free (prompt, TRUE);
  json_decref (body);
}

/* Sends the events of S from the number of the query parameter "from", FROM by
   default.  */
static void
_te_handle_read (_te_stream *s, struct evhttp_request *req, uint64_t from)
{
  uint64_t complete = 0;
  uint64_t from_query;
  if (th_query_u64 (req, "from", &from_query))
    from = from_query;
  th_query_u64 (req, "whole", &complete);
  s->resumed++;
  if (s->state == TE_CANCELLED || s->state == TE_FAILED)
    {
      th_reply_error (req, 410, _te_state_names[s->state],
                      "the stream was stopped before its last event");
      return;
    }
  if (from > s->max_tokens + 1)
    {
      th_reply_error (req, 400, "invalid", "the stream has fewer events");
      return;
    }
  _te_add_reader (s, req, (uint32_t)from, complete != 0);
  _te_reader_start (s->readers->pdata[s->readers->len - 1]);
  _te_send_events (s);
}

static void
_te_handle_export (_te_stream *s, struct evhttp_request *req)
{
  json_t *blocks = json_array ();
  if (s->state != TE_STOPPED)
    {
      json_decref (blocks);
      th_reply_error (req, 409, "invalid",
                      "stop the stream with DELETE ?keep=1 first");
      return;
    }
  for (guint i = 0; i < s->blocks->len; i++)
    {
      char hex[20];
      g_snprintf (hex, sizeof hex, "%016" G_GINT64_MODIFIER "x",
                  g_array_index (s->blocks, uint64_t, i));
      json_array_append_new (blocks, json_string (hex));
    }
  s->exported = true;
  th_reply_json (req, 200,
                 json_pack ("{s:s,s:s,s:s,s:I,s:i,s:i,s:i,s:i,s:b,s:o}", "id",
                            s->id, "version", s->version, "route", s->route,
                            "prompt_hash", (json_int_t)s->prompt_hash,
                            "prompt_tokens", s->prompt_tokens, "max_tokens",
                            s->max_tokens, "emitted", s->emitted_tokens,
                            "prefill_left", s->prefill_left_tokens, "chat",
                            s->chat, "blocks", blocks));
}

static void
_te_handle_import (te_engine *e, struct evhttp_request *req, const char *id)
{
  json_t *body = th_body_json (req);
  _te_stream *s = g_hash_table_lookup (e->streams, id);
  const char *version;
  const char *route;
  json_int_t prompt_hash;
  int prompt_tokens;
  int max_tokens;
  int emitted_tokens;
  int prefill_left_tokens;
  int chat;
  json_t *blocks;
  json_t *block;
  size_t i;
  if (!_te_id_valid (id)
      || json_unpack (body, "{s:s,s:s,s:I,s:i,s:i,s:i,s:i,s:b,s:o}", "version",
                      &version, "route", &route, "prompt_hash", &prompt_hash,
                      "prompt_tokens", &prompt_tokens, "max_tokens",
                      &max_tokens, "emitted", &emitted_tokens, "prefill_left",
                      &prefill_left_tokens, "chat", &chat, "blocks", &blocks)
             != 0)
    {
      th_reply_error (req, 400, "invalid",
                      "the body is not an exported stream");
      json_decref (body);
      return;
    }
  if (s != NULL && s->state != TE_CANCELLED)
    {
      th_reply_error (req, 409, "conflict",
                      "the engine already has the stream");
      json_decref (body);
      return;
    }
  if (s == NULL)
    s = _te_stream_make (e, id);
  g_free (s->version);
  s->version = g_strdup (version);
  g_free (s->route);
  s->route = g_strdup (route);
  s->prompt_hash = (uint64_t)prompt_hash;
  s->prompt_tokens = (uint32_t)prompt_tokens;
  s->max_tokens = (uint32_t)max_tokens;
  s->emitted_tokens = (uint32_t)emitted_tokens;
  s->prefill_left_tokens = (uint32_t)prefill_left_tokens;
  s->chat = chat != 0;
  s->state = TE_STOPPED;
  g_array_set_size (s->blocks, 0);
  json_array_foreach (blocks, i, block)
  {
    uint64_t hash = g_ascii_strtoull (json_string_value (block), NULL, 16);
    g_array_append_val (s->blocks, hash);
  }
  e->kv_tokens += _te_kv_tokens (s);
  json_decref (body);
  th_reply_json (req, 200, json_pack ("{s:b}", "ok", 1));
}

static void
_te_handle_stream (te_engine *e, struct evhttp_request *req, const char *rest)
{
  enum evhttp_cmd_type method = evhttp_request_get_command (req);
  const char *slash = strchr (rest, '/');
  char *id = slash != NULL ? g_strndup (rest, (gsize)(slash - rest))
                           : g_strdup (rest);
  const char *action = slash != NULL ? slash + 1 : "";
  _te_stream *s = g_hash_table_lookup (e->streams, id);
  if (method == EVHTTP_REQ_PUT && strcmp (action, "kv") == 0)
    _te_handle_import (e, req, id);
  else if (s == NULL || (s->received == 0 && s->max_tokens == 0))
    th_reply_error (req, 404, "not_found", "the engine has no such stream");
  else if (method == EVHTTP_REQ_GET && strcmp (action, "kv") == 0)
    _te_handle_export (s, req);
  else if (method == EVHTTP_REQ_GET && action[0] == '\0')
    _te_handle_read (s, req, 0);
  else if (method == EVHTTP_REQ_POST && strcmp (action, "resume") == 0)
    {
      if (s->state == TE_STOPPED)
        {
          /* Its KV state is in memory, so it waits for a slot only.  */
          e->kv_tokens -= MIN (e->kv_tokens, _te_kv_tokens (s));
          s->state = TE_QUEUED;
          s->exported = false;
          g_queue_push_tail (e->queue, s);
        }
      _te_handle_read (s, req, s->emitted_tokens);
      _te_admit_queued (e);
    }
  else if (method == EVHTTP_REQ_DELETE)
    {
      uint64_t keep = 0;
      th_query_u64 (req, "keep", &keep);
      _te_cancel (s, keep != 0);
      th_reply_json (req, 200,
                     json_pack ("{s:s,s:s,s:i,s:i}", "id", s->id, "state",
                                _te_state_names[s->state], "emitted",
                                s->emitted_tokens, "prefilled",
                                s->prefilled_tokens));
    }
  else
    th_reply_error (req, 405, "invalid", "a stream has no such method");
  g_free (id);
}

static json_t *
_te_versions_json (const te_engine *e)
{
  json_t *versions = json_array ();
  for (guint i = 0; i < e->versions->len; i++)
    json_array_append_new (versions, json_string (e->versions->pdata[i]));
  return versions;
}

static void
_te_record_report (evutil_socket_t fd, short what, void *user)
{
  te_engine *e = user;
  _te_report *r = &e->reports[e->report_count++ % TE_REPORTS_MAX];
  (void)fd;
  (void)what;
  *r = (_te_report){ ck_now_us (&e->clock), ck_wall_ms (&e->clock),
                     e->running->len, g_queue_get_length (e->queue),
                     e->kv_tokens };
}

static void
_te_handle_load_report (te_engine *e, struct evhttp_request *req)
{
  uint64_t visible_until_us
      = ck_now_us (&e->clock) - e->desc.report_lag_ms * CK_MS_US;
  uint32_t oldest = e->report_count > TE_REPORTS_MAX
                        ? e->report_count - TE_REPORTS_MAX
                        : 0;
  _te_report r = e->reports[oldest % TE_REPORTS_MAX];
  if (e->desc.report_lag_ms == 0)
    _te_record_report (-1, 0, e);
  for (uint32_t n = e->report_count; n > oldest; n--)
    if (e->reports[(n - 1) % TE_REPORTS_MAX].time_us <= visible_until_us
        || e->desc.report_lag_ms == 0)
      {
        r = e->reports[(n - 1) % TE_REPORTS_MAX];
        break;
      }
  th_reply_json (req, 200,
                 json_pack ("{s:I,s:i,s:i,s:i,s:I,s:i,s:o}", "time_ms",
                            (json_int_t)r.wall_ms, "running", r.running,
                            "queued", r.queued, "slots", e->desc.slots,
                            "kv_tokens", (json_int_t)r.kv_tokens,
                            "kv_tokens_max", e->desc.kv_tokens_max, "versions",
                            _te_versions_json (e)));
}

static void
_te_handle_cache_events (te_engine *e, struct evhttp_request *req)
{
  json_t *events = json_array ();
  uint64_t from = 0;
  uint64_t next;
  uint64_t visible_until_us
      = ck_now_us (&e->clock) - e->desc.report_lag_ms * CK_MS_US;
  th_query_u64 (req, "from", &from);
  next = from;
  for (guint i = 0; i < e->cache_events->len; i++)
    {
      const _te_cache_event *c
          = &g_array_index (e->cache_events, _te_cache_event, i);
      char hex[20];
      if (c->number < from)
        continue;
      if (c->time_us > visible_until_us)
        break;
      next = c->number + 1;
      if (c->lost)
        continue;
      g_snprintf (hex, sizeof hex, "%016" G_GINT64_MODIFIER "x", c->block);
      json_array_append_new (
          events,
          json_pack ("{s:I,s:s,s:s}", "n", (json_int_t)c->number, "kind",
                     c->stored ? "stored" : "evicted", "block", hex));
    }
  th_reply_json (
      req, 200,
      json_pack ("{s:I,s:o}", "next", (json_int_t)next, "events", events));
}

/* Body of the response to GET /received.  The caller owns the result.  */
json_t *
te_query_received (const te_engine *e)
{
  json_t *streams = json_array ();
  uint64_t wasted_tokens = 0;
  GHashTableIter it;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&it, e->streams);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const _te_stream *s = value;
      wasted_tokens += s->wasted_tokens;
      json_array_append_new (
          streams,
          json_pack ("{s:s,s:i,s:i,s:i,s:b,s:s,s:s,s:i,s:i,s:i}", "id", s->id,
                     "received", s->received, "refused", s->refused, "resumed",
                     s->resumed, "finished", s->state == TE_FINISHED, "state",
                     _te_state_names[s->state], "version", s->version,
                     "prefill_tokens", s->prefilled_tokens, "wasted_tokens",
                     s->wasted_tokens, "tokens", s->emitted_tokens));
    }
  return json_pack ("{s:s,s:o,s:I,s:I}", "model", e->model, "streams", streams,
                    "prefill_tokens", (json_int_t)e->prefill_total_tokens,
                    "wasted_prefill_tokens", (json_int_t)wasted_tokens);
}

/* ---- orders ---- */

static void
_te_register (te_engine *e)
{
  if (e->platform == NULL)
    return;
  th_register (e->base, e->platform,
               json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:o,s:i}", "name",
                          e->name, "kind", "engine", "address", e->address,
                          "region", e->region, "data_center", e->data_center,
                          "state", e->leaving ? "leaving" : "live", "model",
                          e->model, "versions", _te_versions_json (e), "slots",
                          e->desc.slots));
}

static void
_te_version_load_free (_te_version_load *l)
{
  event_free (l->timer);
  g_free (l->version);
  g_free (l);
}

static void
_te_version_load_wait (_te_version_load *l, uint64_t wait_us)
{
  struct timeval tv = ck_timeval (wait_us);
  evtimer_add (l->timer, &tv);
}

static void
_te_on_weights_fetched (struct evhttp_request *req, void *user)
{
  _te_version_load *l = user;
  l->fetched = req != NULL && evhttp_request_get_response_code (req) == 200;
  _te_version_load_wait (l, l->fetched
                                ? (uint64_t)((double)l->e->desc.load_ms * 1e3
                                             / l->e->desc.time_scale)
                                : TE_FETCH_RETRY_S * CK_S_US);
}

static void
_te_fetch_weights (_te_version_load *l)
{
  te_engine *e = l->e;
  char host[64];
  uint16_t port;
  char *path;
  struct evhttp_connection *conn;
  struct evhttp_request *req;
  if (!th_parse_address (e->platform, host, sizeof host, &port))
    return;
  path = g_strdup_printf ("/weights/%s/%s", e->model, l->version);
  conn = evhttp_connection_base_new (e->base, NULL, host, port);
  evhttp_connection_set_timeout (conn, 5);
  evhttp_connection_free_on_completion (conn);
  req = evhttp_request_new (_te_on_weights_fetched, l);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Host", host);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Connection",
                     "close");
  if (evhttp_make_request (conn, req, EVHTTP_REQ_GET, path) != 0)
    _te_version_load_wait (l, TE_FETCH_RETRY_S * CK_S_US);
  g_free (path);
}

static void
_te_on_load_timer (evutil_socket_t fd, short what, void *user)
{
  _te_version_load *l = user;
  te_engine *e = l->e;
  (void)fd;
  (void)what;
  if (!l->fetched)
    {
      _te_fetch_weights (l);
      return;
    }
  if (!_te_has_version (e, l->version))
    g_ptr_array_add (e->versions, g_strdup (l->version));
  g_ptr_array_remove (e->loads, l);
  _te_version_load_free (l);
  _te_register (e);
}

static void
_te_start_load (te_engine *e, const char *version)
{
  _te_version_load *l;
  for (guint i = 0; i < e->loads->len; i++)
    if (strcmp (((_te_version_load *)e->loads->pdata[i])->version, version)
        == 0)
      return;
  l = g_new0 (_te_version_load, 1);
  l->e = e;
  l->version = g_strdup (version);
  l->timer = evtimer_new (e->base, _te_on_load_timer, l);
  g_ptr_array_add (e->loads, l);
  if (e->platform != NULL)
    {
      _te_fetch_weights (l);
      return;
    }
  l->fetched = true;
  _te_version_load_wait (
      l, (uint64_t)((double)e->desc.load_ms * 1e3 / e->desc.time_scale));
}

static void
_te_handle_order (te_engine *e, struct evhttp_request *req)
{
  json_t *body = th_body_json (req);
  const char *kind = NULL;
  const char *model = NULL;
  const char *version = NULL;
  json_int_t fence = 0;
  if (json_unpack (body, "{s:s,s:s,s:s,s?I}", "kind", &kind, "model", &model,
                   "version", &version, "fence", &fence)
      != 0)
    {
      th_reply_error (req, 400, "invalid",
                      "give kind, model, version and fence");
      goto out;
    }
  if (e->desc.check_fence && (uint64_t)fence < e->fence)
    {
      th_reply_error (
          req, 409, "old_fence",
          "an order with a higher fencing number was received before");
      goto out;
    }
  if (strcmp (model, e->model) != 0)
    {
      th_reply_error (req, 400, "unsupported", "the engine has one model");
      goto out;
    }
  e->fence = MAX (e->fence, (uint64_t)fence);
  if (strcmp (kind, "load") == 0)
    _te_start_load (e, version);
  else if (strcmp (kind, "unload") == 0)
    {
      for (guint i = e->versions->len; i-- > 0;)
        if (strcmp (e->versions->pdata[i], version) == 0)
          g_ptr_array_remove_index (e->versions, i);
      _te_register (e);
    }
  else if (strcmp (kind, "role") != 0)
    {
      th_reply_error (req, 400, "unsupported", "use load, unload or role");
      goto out;
    }
  th_reply_json (req, 200, json_pack ("{s:b}", "ok", 1));
out:
  json_decref (body);
}

static void
_te_close_stream_connections (te_engine *e)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, e->streams);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      _te_stream *s = value;
      for (guint i = s->readers->len; i-- > 0;)
        {
          th_abort (((_te_reader *)s->readers->pdata[i])->req);
          _te_reader_remove (s, i);
        }
    }
}

/* Mode of the name TEXT ("fail", "slow", "load" or "route").  */
static te_bad_mode
_te_parse_bad_mode (const char *text)
{
  if (strcmp (text, "fail") == 0)
    return TE_FAIL;
  if (strcmp (text, "slow") == 0)
    return TE_SLOW;
  if (strcmp (text, "load") == 0)
    return TE_FAIL_ON_LOAD;
  return strcmp (text, "route") == 0 ? TE_FAIL_ON_ROUTE : TE_GOOD;
}

/* Sets the faults of the body of POST /faults; see te.h.  */
void
te_set_faults (te_engine *e, const json_t *faults)
{
  const json_t *v;
  if ((v = json_object_get (faults, "bad_version")) != NULL)
    {
      g_free (e->bad_version);
      e->bad_version = g_strdup (json_string_value (v));
    }
  if ((v = json_object_get (faults, "bad_mode")) != NULL && json_is_string (v))
    e->desc.bad_mode = _te_parse_bad_mode (json_string_value (v));
  if ((v = json_object_get (faults, "bad_load")) != NULL)
    e->desc.bad_load = (uint32_t)json_integer_value (v);
  if ((v = json_object_get (faults, "bad_route")) != NULL)
    {
      g_free (e->bad_route);
      e->bad_route = g_strdup (json_string_value (v));
    }
  if ((v = json_object_get (faults, "bad_from_ms")) != NULL)
    e->bad_from_us
        = ck_now_us (&e->clock) + (uint64_t)json_integer_value (v) * CK_MS_US;
  if ((v = json_object_get (faults, "slow_factor")) != NULL)
    e->slow_factor = MAX (0.01, json_number_value (v));
  if ((v = json_object_get (faults, "refuse")) != NULL)
    e->refuse = json_is_true (v);
  if ((v = json_object_get (faults, "copy_refusals")) != NULL)
    e->copy_refusals = json_is_true (v);
  if ((v = json_object_get (faults, "cut_after_events")) != NULL)
    e->cut_after_events = (uint32_t)json_integer_value (v);
  if (json_is_true (json_object_get (faults, "cut_streams")))
    _te_close_stream_connections (e);
}

static void
_te_on_request (struct evhttp_request *req, void *user)
{
  te_engine *e = user;
  const char *path = th_path (req);
  bool post = evhttp_request_get_command (req) == EVHTTP_REQ_POST;
  th_echo_call (req);
  if (post && strcmp (path, "/v1/chat/completions") == 0)
    _te_handle_completion (e, req, true);
  else if (post && strcmp (path, "/v1/completions") == 0)
    _te_handle_completion (e, req, false);
  else if (g_str_has_prefix (path, "/v1/streams/"))
    _te_handle_stream (e, req, path + strlen ("/v1/streams/"));
  else if (strcmp (path, "/load") == 0)
    _te_handle_load_report (e, req);
  else if (strcmp (path, "/cache-events") == 0)
    _te_handle_cache_events (e, req);
  else if (post && strcmp (path, "/orders") == 0)
    _te_handle_order (e, req);
  else if (strcmp (path, "/received") == 0)
    th_reply_json (req, 200, te_query_received (e));
  else if (post && strcmp (path, "/faults") == 0)
    {
      json_t *body = th_body_json (req);
      te_set_faults (e, body);
      json_decref (body);
      th_reply_json (req, 200, json_pack ("{s:b}", "ok", 1));
    }
  else if (strcmp (path, "/healthz") == 0)
    th_reply_json (req, 200, json_pack ("{s:b}", "ok", 1));
  else
    th_reply_error (req, 404, "not_found", "no such path");
}

static char *
_te_dup_or_default (const char *text, const char *fallback)
{
  return g_strdup (text != NULL ? text : fallback);
}

static void
_te_apply_defaults (te_engine *e, const te_desc *desc)
{
  te_desc *d = &e->desc;
  *d = *desc;
  if (d->slots == 0)
    d->slots = 8;
  if (d->prefill_tokens_per_s <= 0)
    d->prefill_tokens_per_s = 8000;
  if (d->decode_tokens_per_s <= 0)
    d->decode_tokens_per_s = 50;
  if (d->time_scale <= 0)
    d->time_scale = 1;
  if (d->cache_tokens == 0)
    d->cache_tokens = 65536;
  if (d->kv_tokens_max == 0)
    d->kv_tokens_max = 262144;
  if (d->load_ms == 0)
    d->load_ms = 2000;
  if (d->orphan_ms == 0)
    d->orphan_ms = 30000;
  e->model = _te_dup_or_default (desc->model, "m1");
  e->region = _te_dup_or_default (desc->region, "region-1");
  e->data_center = _te_dup_or_default (desc->data_center, "dc-1");
  e->platform = g_strdup (desc->platform);
  e->bad_version = g_strdup (desc->bad_version);
  e->bad_route = g_strdup (desc->bad_route);
}

/* Starts a stand-in engine.  Returns NULL and fills ERR on failure.  */
te_engine *
te_make (const te_desc *desc, er_error *err)
{
  te_engine *e = g_new0 (te_engine, 1);
  struct timeval every = { 0, TE_REPORT_INTERVAL_MS * 1000 };
  char host[64];
  uint16_t given_port;
  char **versions;
  e->base = desc->base;
  e->slow_factor = 1;
  _te_apply_defaults (e, desc);
  e->versions = g_ptr_array_new_with_free_func (g_free);
  e->streams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, _te_stream_free);
  e->running = g_ptr_array_new ();
  e->queue = g_queue_new ();
  e->loads = g_ptr_array_new ();
  e->cache = g_hash_table_new (g_int64_hash, g_int64_equal);
  e->copies = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  e->lru = g_queue_new ();
  e->cache_events = g_array_new (FALSE, FALSE, sizeof (_te_cache_event));
  e->rand = g_rand_new_with_seed (1);
  e->bad_from_us
      = ck_now_us (&e->clock) + (uint64_t)desc->bad_from_ms * CK_MS_US;
  versions
      = g_strsplit (desc->versions != NULL ? desc->versions : "v1", ",", 0);
  for (char **v = versions; *v != NULL; v++)
    g_ptr_array_add (e->versions, g_strdup (*v));
  g_strfreev (versions);
  e->http
      = th_listen (e->base, desc->listen, _te_on_request, e, &e->port, err);
  if (e->http == NULL)
    {
      te_destroy (e);
      return NULL;
    }
  e->step = evtimer_new (e->base, _te_on_step, e);
  e->report_timer = event_new (e->base, -1, EV_PERSIST, _te_record_report, e);
  event_add (e->report_timer, &every);
  _te_record_report (-1, 0, e);
  th_parse_address (desc->listen, host, sizeof host, &given_port);
  e->address = g_strdup_printf ("%s:%u", host, e->port);
  e->name = desc->name != NULL ? g_strdup (desc->name)
                               : g_strdup_printf ("engine-%u", e->port);
  _te_register (e);
  return e;
}

/* Stops the engine and closes its connections.  */
void
te_destroy (te_engine *e)
{
  if (e == NULL)
    return;
  if (e->http != NULL)
    evhttp_free (e->http);
  if (e->step != NULL)
    event_free (e->step);
  if (e->report_timer != NULL)
    event_free (e->report_timer);
  for (guint i = 0; i < e->loads->len; i++)
    _te_version_load_free (e->loads->pdata[i]);
  g_ptr_array_free (e->loads, TRUE);
  g_hash_table_destroy (e->streams);
  g_hash_table_destroy (e->cache);
  g_hash_table_destroy (e->copies);
  g_queue_free_full (e->lru, g_free);
  g_array_free (e->cache_events, TRUE);
  g_ptr_array_free (e->running, TRUE);
  g_queue_free (e->queue);
  g_ptr_array_free (e->versions, TRUE);
  g_rand_free (e->rand);
  g_free (e->address);
  g_free (e->name);
  g_free (e->model);
  g_free (e->region);
  g_free (e->data_center);
  g_free (e->platform);
  g_free (e->bad_version);
  g_free (e->bad_route);
  g_free (e);
}

/* Port that the engine listens on.  */
uint16_t
te_query_port (const te_engine *e)
{
  return e->port;
}

/* Number of streams that run or wait for a slot.  */
uint32_t
te_query_open_streams (const te_engine *e)
{
  return e->running->len + g_queue_get_length (e->queue);
}

/* Refuses new requests from now on and sets the state of the engine in the VM
   list to leaving.  */
void
te_leave (te_engine *e)
{
  e->leaving = true;
  _te_register (e);
}
