/* bench-membership: measures the membership protocol for different numbers of
   members: bytes and messages per VM per second, and the time until all VMs
   have detected a crash.  All VMs run in one process in simulated time;
   messages are encoded as on the wire.  Frame bytes are counted, TCP and IP
   headers are not.

     bench-membership [SEED]

   Prints CSV: scenario,policy,seed,metric,unit,value.  */
#include "ck.h"
#include "fr.h"
#include "mb.h"
#include "ms.h"
#include "pw.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define _BN_START_US (120 * CK_S_US)
#define _BN_STEADY_US (60 * CK_S_US)
#define _BN_RESTARTS_US (60 * CK_S_US)
#define _BN_SETTLE_US (60 * CK_S_US)
/* One restart per 10 s in the fleet; the design size has one per 44 s.  */
#define _BN_RESTART_INTERVAL_US (10 * CK_S_US)

typedef struct
{
  uint64_t at_us;
  uint64_t order;
  uint32_t vm;
  uint32_t incarnation_number; /* of the VM that set the wake-up */
  char *frame;                 /* NULL: wake-up */
  size_t len;
} _bn_event;

typedef struct
{
  mb_state *mb;
  uint32_t incarnation_number;
  uint64_t wake_us;
  uint64_t bytes;
  uint64_t messages;
} _bn_vm;

typedef struct
{
  uint32_t count;
  uint64_t now_us;
  uint64_t order;
  uint64_t random;
  _bn_vm *vms;
  mb_vm_entry *list;
  st_name *names;
  st_name *addresses;
  _bn_event *heap;
  size_t used, capacity;
  ms_decoder *decoder;
  struct evbuffer *buffer;
} _bn_world;

static uint64_t
_bn_random (_bn_world *w)
{
  w->random += 0x9e3779b97f4a7c15ull;
  uint64_t z = w->random;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ z >> 27) * 0x94d049bb133111ebull;
  return z ^ z >> 31;
}

static bool
_bn_before (const _bn_event *a, const _bn_event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
_bn_push_event (_bn_world *w, _bn_event e)
{
  if (w->used == w->capacity)
    {
      w->capacity = w->capacity > 0 ? w->capacity * 2 : 1024;
      _bn_event *heap = realloc (w->heap, w->capacity * sizeof *heap);
      if (heap == NULL)
        abort ();
      w->heap = heap;
    }
  size_t i = w->used++;
  e.order = ++w->order;
  while (i > 0 && _bn_before (&e, &w->heap[(i - 1) / 2]))
    {
      w->heap[i] = w->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  w->heap[i] = e;
}

static _bn_event
_bn_pop_event (_bn_world *w)
{
  _bn_event top = w->heap[0];
  _bn_event last = w->heap[--w->used];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= w->used)
        break;
      if (child + 1 < w->used
          && _bn_before (&w->heap[child + 1], &w->heap[child]))
        child++;
      if (!_bn_before (&w->heap[child], &last))
        break;
      w->heap[i] = w->heap[child];
      i = child;
    }
  w->heap[i] = last;
  w->heap[w->used].frame = NULL;
  return top;
}

static bool
_bn_encode (_bn_world *w, const mb_message *in)
{
  ms_member updates[MB_UPDATES_MAX];
  ms_message m;
  pw_write (in, &m, updates);
  if (m.type != MS_PING_REQ)
    m.u.probe.settings_version = 123456;
  return ms_encode (w->buffer, &m, NULL);
}

static void
_bn_run_actions (_bn_world *w, uint32_t i)
{
  _bn_vm *vm = &w->vms[i];
  mb_action a;
  while (mb_next (vm->mb, w->now_us, &a))
    {
      if (a.kind != MB_SEND || !_bn_encode (w, &a.message))
        continue;
      _bn_event e = { .at_us = w->now_us + 200 + _bn_random (w) % 5000 };
      e.vm = (uint32_t)strtoul (a.to_address.ptr, NULL, 10);
      e.len = evbuffer_get_length (w->buffer);
      e.frame = malloc (e.len);
      if (e.frame == NULL)
        abort ();
      evbuffer_remove (w->buffer, e.frame, e.len);
      vm->bytes += e.len;
      vm->messages++;
      _bn_push_event (w, e);
    }
  uint64_t wake = mb_query_wake_us (vm->mb, w->now_us);
  if (wake <= w->now_us)
    wake = w->now_us + 1;
  if (vm->wake_us > w->now_us && vm->wake_us <= wake)
    return;
  vm->wake_us = wake;
  _bn_push_event (w,
                  (_bn_event){ .at_us = wake,
                               .vm = i,
                               .incarnation_number = vm->incarnation_number });
}

static void
_bn_start_vm (_bn_world *w, uint32_t i)
{
  _bn_vm *vm = &w->vms[i];
  char incarnation[96];
  vm->incarnation_number++;
  vm->wake_us = 0;
  snprintf (incarnation, sizeof incarnation, "%s-%016" PRIx64,
            w->names[i].text, _bn_random (w));
  mb_desc d
      = { .seed = _bn_random (w), .max_members = w->count + w->count / 4 + 8 };
  d.self = (mb_record){ .name = w->list[i].name,
                        .incarnation = st_from_cstr (incarnation),
                        .region = w->list[i].region,
                        .data_center = w->list[i].data_center,
                        .peer_address = w->list[i].peer_address,
                        .callers_address = w->list[i].callers_address,
                        .counter = 1700000000000 + w->now_us / 1000 };
  vm->mb = mb_make (&d, w->now_us);
  mb_set_vm_list (vm->mb, w->list, w->count, w->now_us);
  _bn_run_actions (w, i);
}

static void
_bn_receive (_bn_world *w, const _bn_event *e)
{
  fr_frame frame;
  ms_message m;
  evbuffer_add (w->buffer, e->frame, e->len);
  if (fr_decode (w->buffer, &frame, NULL) != FR_FRAME
      || !ms_decode (w->decoder, &frame, &m, NULL))
    abort ();
  mb_message in = { .kind = MB_PING_REQ };
  if (m.type == MS_PING_REQ)
    {
      mb_record self;
      in.sequence = m.u.ping_req.sequence;
      in.subject = m.u.ping_req.target;
      /* As in the server, which has the name of the sender from its HELLO.  */
      for (uint32_t i = 0, cursor = 0; i < w->count && in.self.name.len == 0;
           i++)
        if (mb_query_member (w->vms[e->vm].mb, &cursor, &self)
            && st_equal (self.incarnation, m.u.ping_req.sender))
          in.self = self;
    }
  else
    pw_read_probe (&m, &in);
  mb_on_message (w->vms[e->vm].mb, &in, w->now_us);
  evbuffer_drain (w->buffer, evbuffer_get_length (w->buffer));
}

static void
_bn_run_until (_bn_world *w, uint64_t until_us)
{
  while (w->used > 0 && w->heap[0].at_us < until_us)
    {
      _bn_event e = _bn_pop_event (w);
      w->now_us = e.at_us;
      _bn_vm *vm = &w->vms[e.vm];
      if (vm->mb != NULL
          && (e.frame != NULL
              || e.incarnation_number == vm->incarnation_number))
        {
          if (e.frame != NULL)
            _bn_receive (w, &e);
          _bn_run_actions (w, e.vm);
        }
      free (e.frame);
    }
  w->now_us = until_us;
}

static void
_bn_crash_vm (_bn_world *w, uint32_t i)
{
  mb_destroy (w->vms[i].mb);
  w->vms[i].mb = NULL;
}

/* Number of VMs that have COUNT live members.  */
static uint32_t
_bn_count_vms_with (const _bn_world *w, uint32_t count)
{
  uint32_t agreeing = 0;
  for (uint32_t i = 0; i < w->count; i++)
    if (w->vms[i].mb != NULL
        && mb_query_counts (w->vms[i].mb).members == count)
      agreeing++;
  return agreeing;
}

static void
_bn_print (const _bn_world *w, const char *scenario, uint64_t seed,
           const char *metric, const char *unit, double value)
{
  printf ("membership_%s,n%u,%" PRIu64 ",%s,%s,%.2f\n", scenario, w->count,
          seed, metric, unit, value);
}

static void
_bn_reset_counts (_bn_world *w)
{
  for (uint32_t i = 0; i < w->count; i++)
    w->vms[i].bytes = w->vms[i].messages = 0;
}

static void
_bn_report (const _bn_world *w, const char *scenario, uint64_t seed,
            uint64_t span_us, double cpu_us)
{
  double bytes = 0;
  double messages = 0;
  double most = 0;
  double s = (double)span_us / CK_S_US;
  for (uint32_t i = 0; i < w->count; i++)
    {
      bytes += (double)w->vms[i].bytes;
      messages += (double)w->vms[i].messages;
      if ((double)w->vms[i].bytes > most)
        most = (double)w->vms[i].bytes;
    }
  _bn_print (w, scenario, seed, "sent_bytes_mean", "B/s/VM",
             bytes / w->count / s);
  _bn_print (w, scenario, seed, "sent_bytes_most", "B/s/VM", most / s);
  _bn_print (w, scenario, seed, "sent_messages_mean", "1/s/VM",
             messages / w->count / s);
  _bn_print (w, scenario, seed, "cpu_with_codec", "us/s/VM",
             cpu_us / w->count / s);
}

static void
_bn_measure (uint32_t count, uint64_t seed)
{
  _bn_world w = { .count = count, .random = seed };
  ck_clock clock = { .kind = CK_RUNTIME };
  static const char *const centers[]
      = { "region-a", "district-b", "province-ca" };
  w.vms = calloc (count, sizeof *w.vms);
  w.list = calloc (count, sizeof *w.list);
  w.names = calloc (count, sizeof *w.names);
  w.addresses = calloc (count, sizeof *w.addresses);
  w.decoder = ms_make_decoder ();
  w.buffer = evbuffer_new ();
  for (uint32_t i = 0; i < count; i++)
    {
      char text[64];
      snprintf (text, sizeof text, "%s-%u", centers[i % 3], i);
      st_name_set (&w.names[i], st_from_cstr (text));
      /* As long as an IPv4 address and port; starts with the VM's index.  */
      snprintf (text, sizeof text, "%u:xxxxxxxxxxx:7001", i);
      st_name_set (&w.addresses[i], st_from_cstr (text));
      w.list[i]
          = (mb_vm_entry){ .name = st_name_str (&w.names[i]),
                           .region = i % 3 < 2 ? ST_LIT ("country-west")
                                               : ST_LIT ("country-east"),
                           .data_center = st_from_cstr (centers[i % 3]),
                           .peer_address = st_name_str (&w.addresses[i]),
                           .callers_address = st_name_str (&w.addresses[i]) };
    }
  for (uint32_t i = 0; i < count; i++)
    _bn_start_vm (&w, i);
  uint64_t complete_us = 0;
  while (w.now_us < _BN_START_US && complete_us == 0)
    {
      _bn_run_until (&w, w.now_us + CK_S_US);
      if (_bn_count_vms_with (&w, count) == count)
        complete_us = w.now_us;
    }
  _bn_print (&w, "start", seed, "all_views_complete", "s",
             complete_us > 0 ? (double)complete_us / CK_S_US : -1);
  _bn_run_until (&w, _BN_START_US);
  _bn_reset_counts (&w);
  uint64_t cpu = ck_now_us (&clock);
  _bn_run_until (&w, w.now_us + _BN_STEADY_US);
  _bn_report (&w, "steady", seed, _BN_STEADY_US,
              (double)(ck_now_us (&clock) - cpu));
  _bn_reset_counts (&w);
  cpu = ck_now_us (&clock);
  uint64_t end = w.now_us + _BN_RESTARTS_US;
  while (w.now_us < end)
    {
      uint32_t i = (uint32_t)(_bn_random (&w) % count);
      _bn_crash_vm (&w, i);
      _bn_start_vm (&w, i);
      _bn_run_until (&w, w.now_us + _BN_RESTART_INTERVAL_US);
    }
  _bn_report (&w, "restarts", seed, _BN_RESTARTS_US,
              (double)(ck_now_us (&clock) - cpu));
  /* The VMs that were restarted last fetch the member table from another one.
   */
  _bn_run_until (&w, w.now_us + _BN_SETTLE_US);
  uint64_t crash = w.now_us;
  uint64_t first = 0;
  uint64_t all = 0;
  _bn_crash_vm (&w, (uint32_t)(_bn_random (&w) % count));
  while (all == 0 && w.now_us < crash + 60 * CK_S_US)
    {
      _bn_run_until (&w, w.now_us + 50 * CK_MS_US);
      uint32_t agreeing = _bn_count_vms_with (&w, count - 1);
      if (agreeing > 0 && first == 0)
        first = w.now_us;
      if (agreeing == count - 1)
        all = w.now_us;
    }
  _bn_print (&w, "crash", seed, "first_declares_dead", "s",
             first > 0 ? (double)(first - crash) / CK_S_US : -1);
  _bn_print (&w, "crash", seed, "all_know", "s",
             all > 0 ? (double)(all - crash) / CK_S_US : -1);
  for (uint32_t i = 0; i < count; i++)
    mb_destroy (w.vms[i].mb);
  for (size_t i = 0; i < w.used; i++)
    free (w.heap[i].frame);
  free (w.heap);
  free (w.vms);
  free (w.list);
  free (w.names);
  free (w.addresses);
  ms_destroy_decoder (w.decoder);
  evbuffer_free (w.buffer);
}

int
main (int argc, char **argv)
{
  static const uint32_t counts[] = { 8, 80, 300, 1700 };
  uint64_t seed = 1;
  if (argc > 2 || (argc == 2 && !st_parse_u64 (st_from_cstr (argv[1]), &seed)))
    {
      fprintf (stderr, "usage: %s [SEED]\n", argv[0]);
      return 2;
    }
  printf ("scenario,policy,seed,metric,unit,value\n");
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      _bn_measure (counts[i], seed);
      fflush (stdout);
    }
  return 0;
}
