/* A part of prompts that crashes workers, behind more than seven parts that
   requests share: the VM goes on sending such requests to workers.  */
#include "../common-2/rig.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define WORKERS 9
/* Boots of all workers in a run.  */
#define BOOTS_MAX 400
#define SHARED_PARTS 10
#define CRASHING_PART "0badc0de"
#define CONTACT_MS 3000
/* Sound requests come all the while, the others from BEGIN_MS on.  */
#define SOUND_PER_S 20
#define CRASHING_PER_S 3
#define BEGIN_MS 5000
#define RUN_MS 25000
#define END_MS 7000
#define PREFILL_MS 300
#define EVENTS 15
#define EVENT_PAUSE_MS 40
/* "the worker is back after some seconds"  */
#define BACK_MS 3000

typedef struct
{
  uint64_t sent_ms;
  int number;
  bool crashing;
  bool complete;
} chat;

static rig_vm vm;
static rig_worker workers[BOOTS_MAX];
static gint boots;
static gint crashes;
static uint64_t fifth_ms; /* time of the fifth crash; 0: none */
static uint64_t start_ms;
static gint reached, reached_late;
static GMutex lock;
static GPtrArray *chats;

static bool
send_chunk (int fd, const char *event)
{
  char text[96];
  int length
      = snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
  return rig_send_all (fd, text, (size_t)length);
}

static void *start_boot (void *user);

/* WORKER crashes, and a new process takes its place after a while.  */
static void
crash (rig_worker *worker)
{
  if (!rig_crash_worker (worker))
    return;
  g_mutex_lock (&lock);
  int count = ++crashes;
  if (count == 5)
    fifth_ms = rig_now_ms ();
  g_mutex_unlock (&lock);
  rig_log ("worker %s crashes, the %d. crash", worker->id, count);
  rig_start_thread (start_boot, worker);
}

static bool
respond (rig_worker *worker, int fd, const rig_request *request)
{
  char text[512], event[64];
  bool crashing = strstr (request->prompt, CRASHING_PART) != NULL;
  if (crashing)
    {
      g_mutex_lock (&lock);
      bool late = fifth_ms != 0 && rig_now_ms () > fifth_ms + CONTACT_MS;
      g_mutex_unlock (&lock);
      g_atomic_int_inc (&reached);
      if (late)
        g_atomic_int_inc (&reached_late);
    }
  rig_sleep_ms (PREFILL_MS);
  if (crashing)
    {
      crash (worker);
      return false;
    }
  int length = snprintf (text, sizeof text,
                         "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                         "\r\nX-Dotterelbend-Request-Id: %s\r\n"
                         "X-Dotterelbend-Response-Signature: %s.%s\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                         request->id, worker->id, request->id);
  bool sent = rig_send_all (fd, text, (size_t)length);
  for (int i = 1; sent && i <= EVENTS; i++)
    {
      snprintf (event, sizeof event, "id: %d\ndata: x\n\n", i);
      sent = send_chunk (fd, event);
      rig_sleep_ms (EVENT_PAUSE_MS);
    }
  return sent && rig_send_all (fd, "0\r\n\r\n", 5);
}

/* Starts a worker, with a new id; USER is the one that it replaces, or NULL.
 */
static void *
start_boot (void *user)
{
  const rig_worker *before = user;
  char key[RIG_ID_MAX + 16];
  if (before != NULL)
    {
      rig_sleep_ms (BACK_MS);
      snprintf (key, sizeof key, "servers/%s", before->id);
      rig_remove (key);
    }
  int boot = g_atomic_int_add (&boots, 1);
  if (boot >= BOOTS_MAX)
    return NULL;
  rig_worker *worker = &workers[boot];
  snprintf (worker->id, sizeof worker->id, "m-%d", boot);
  worker->service = "llm";
  worker->slots = 6;
  worker->respond = respond;
  rig_start_worker (worker);
  return NULL;
}

/* Parts of the prompt of C: those that all requests share, the part that
   crashes workers where C has it, and one of its own.  */
static void
write_prompt (const chat *c, GString *out)
{
  for (int i = 0; i < SHARED_PARTS; i++)
    g_string_append_printf (out, "%08x:40,", 0x5c1e0000 + i);
  if (c->crashing)
    g_string_append (out, CRASHING_PART ":50,");
  g_string_append_printf (out, "%08x:250", 0x10000000 + c->number);
}

static void *
run_chat (void *user)
{
  chat *c = user;
  char id[RIG_ID_MAX];
  char bytes[4096];
  char last[8] = "";
  ssize_t got;
  GString *fields = g_string_new (
      "X-Dotterelbend-Deadline-Ms: 6000\r\nX-Dotterelbend-Model: m\r\n"
      "X-Dotterelbend-Token-Usage: 700,50\r\nConnection: close\r\n"
      "X-Dotterelbend-Prompt-Prefix: ");
  write_prompt (c, fields);
  g_string_append (fields, "\r\n");
  snprintf (id, sizeof id, "%s-%d", c->crashing ? "crashing" : "sound",
            c->number);
  int fd = rig_connect (&vm, vm.callers, 0);
  int status = 0;
  if (fd >= 0 && rig_send_request (fd, "POST", "/c/x", id, fields->str))
    while ((got = read (fd, bytes, sizeof bytes - 1)) > 0)
      {
        bytes[got] = 0;
        if (status == 0)
          sscanf (bytes, "HTTP/1.1 %d", &status);
        if (got >= 5)
          memcpy (last, bytes + got - 5, 5);
      }
  c->complete = status == 200 && strcmp (last, "0\r\n\r\n") == 0;
  rig_log ("%s: status %d, run %u times, %s", id, status, rig_count_runs (id),
           c->complete ? "complete" : "not complete");
  if (fd >= 0)
    close (fd);
  g_string_free (fields, TRUE);
  return NULL;
}

static void
send_chat (int number, bool crashing)
{
  chat *c = g_new0 (chat, 1);
  c->number = number;
  c->crashing = crashing;
  c->sent_ms = rig_now_ms ();
  g_ptr_array_add (chats, c);
  rig_start_thread (run_chat, c);
}

/* Counts the sound chats that were sent from FROM_MS to TO_MS, and how many of
   them were complete.  */
static void
count_sound (uint64_t from_ms, uint64_t to_ms, int *sent, int *complete)
{
  *sent = *complete = 0;
  for (guint i = 0; i < chats->len; i++)
    {
      const chat *c = chats->pdata[i];
      if (c->crashing || c->sent_ms < from_ms || c->sent_ms >= to_ms)
        continue;
      (*sent)++;
      *complete += c->complete;
    }
}

int
main (void)
{
  int number = 0;
  int sent[2], complete[2];
  rig_open_record ("review/6/record.txt");
  chats = g_ptr_array_new ();
  rig_start_store ();
  for (int i = 0; i < WORKERS; i++)
    start_boot (NULL);
  rig_put_config (
      "{\"name\":\"chat\",\"host\":\"h.example\",\"prefix\":\"/c/\","
      "\"kind\":\"stream\",\"timeoutMs\":6000,\"targetLatencyMs\":800,"
      "\"gapAimMs\":500,\"priority\":0,\"service\":\"llm\",\"attempts\":2,"
      "\"sticky\":true}",
      "{\"name\":\"llm\",\"engine\":{\"slots\":6}}");
  rig_start_vm (&vm);
  start_ms = rig_now_ms ();
  uint64_t sound_ms = start_ms;
  uint64_t crashing_ms = start_ms + BEGIN_MS;
  while (rig_now_ms () < start_ms + RUN_MS)
    {
      if (rig_now_ms () >= sound_ms)
        {
          send_chat (number++, false);
          sound_ms += 1000 / SOUND_PER_S;
        }
      if (rig_has_trouble () && rig_now_ms () >= crashing_ms)
        {
          send_chat (number++, true);
          crashing_ms += 1000 / CRASHING_PER_S;
        }
      rig_sleep_ms (2);
    }
  rig_sleep_ms (END_MS);
  bool lives = rig_vm_lives (&vm);
  count_sound (start_ms, start_ms + BEGIN_MS - 1000, &sent[0], &complete[0]);
  count_sound (start_ms + RUN_MS / 2, start_ms + RUN_MS, &sent[1],
               &complete[1]);
  rig_end_vm (&vm);
  rig_log ("%d crashes; %d requests with the part reached workers, %d of them "
           "later than contactMs after the fifth crash; sound requests: %d of "
           "%d complete before, %d of %d in the second half",
           crashes, reached, reached_late, complete[0], sent[0], complete[1],
           sent[1]);
  printf ("case 6: %d crashes, %d of %d requests with the part reached "
          "workers too late; sound requests complete: %d of %d before, %d of "
          "%d in the second half\n",
          crashes, reached_late, reached, complete[0], sent[0], complete[1],
          sent[1]);
  /* The rule's bound: more than three.  */
  return !lives || reached_late > 3 ? 1 : 0;
}
