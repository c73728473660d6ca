/* rig.h -- stand-ins for the cases of the second review.

   A store, workers and callers in one process, and VMs of the program as
   separate processes, all on loopback addresses.  Every function ends the
   process with status 2 when the case cannot run.  */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_ID_MAX 64
/* Most connections of a worker.  */
#define RIG_CONNS_MAX 512

/* Settings of a VM, as `limits` and `bounds` of a small site have them.  */
#define RIG_MEMORY_MB 110
#define RIG_GRACE_S 8

typedef struct
{
  char host[16];
  uint16_t callers;
  uint16_t ready;
  pid_t pid;
  bool ended; /* and reaped */
  int status; /* of wait, once it has ended */
  char dir[64];
} rig_vm;

/* A request that a worker has read.  */
typedef struct
{
  char method[16];
  char path[128];
  char id[RIG_ID_MAX];
  char prompt[512]; /* X-Dotterelbend-Prompt-Prefix */
} rig_request;

typedef struct rig_worker rig_worker;

/* Responds to REQUEST on the connection FD.  False closes the connection.  */
typedef bool (*rig_respond) (rig_worker *worker, int fd,
                             const rig_request *request);

struct rig_worker
{
  char id[RIG_ID_MAX];
  const char *service;
  uint32_t slots;
  rig_respond respond;
  uint16_t port;
  bool crashed;
  int listener;
  int conns[RIG_CONNS_MAX]; /* 0: free */
};

/* What a caller has received of a response.  */
typedef struct
{
  int status;        /* 0: no complete head */
  size_t length;     /* of the body, as the head states */
  size_t received;   /* of the body */
  bool complete;     /* the whole body */
  bool closed;       /* the connection has ended */
  const char *error; /* how it ended; "" for an end without an error */
} rig_response;

uint64_t rig_now_ms (void);
void rig_sleep_ms (uint64_t ms);
bool rig_has_trouble (void);
void rig_open_record (const char *path);
void rig_log (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void rig_fail (const char *what) __attribute__ ((noreturn));
void rig_start_thread (void *(*run) (void *), void *user);

void rig_start_store (void);
void rig_put (const char *key, const char *value);
void rig_remove (const char *key);
void rig_put_config (const char *routes, const char *services);

void rig_start_worker (rig_worker *worker);
bool rig_crash_worker (rig_worker *worker);
bool rig_send_all (int fd, const void *bytes, size_t size);
bool rig_answer (const rig_worker *worker, int fd, const rig_request *request,
                 size_t size);
uint32_t rig_count_runs (const char *id);
uint32_t rig_count_all_runs (void);

void rig_start_vm (rig_vm *vm);
void rig_signal_vm (const rig_vm *vm, int signal_number);
bool rig_vm_lives (rig_vm *vm);
long rig_vm_memory_kb (const rig_vm *vm);
void rig_end_vm (rig_vm *vm);
bool rig_is_ready (const rig_vm *vm, uint32_t timeout_ms);

int rig_connect (const rig_vm *vm, uint16_t port, int receive_buffer);
bool rig_send_request (int fd, const char *method, const char *path,
                       const char *id, const char *fields);
rig_response rig_read_response (int fd, size_t step, uint32_t pause_ms,
                                uint32_t timeout_ms);

#endif
