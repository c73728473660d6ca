/* rv.h -- stand-ins for the platform's store, workers and clients, and the
   start of gateway processes, for the scripts of the review.

   One program for each script uses these functions.  It serves the store and
   the workers from threads of its own, starts the gateways as separate
   processes, sends requests to them and writes what was sent, answered and run
   to a record.  All addresses are loopback addresses.  */
#ifndef RV_H
#define RV_H

#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>
#include <sys/types.h>

#define RV_ID_MAX 64
#define RV_GATEWAYS_MAX 8

/* A connection with the bytes that were read ahead.  */
typedef struct
{
  int fd;
  char bytes[16384];
  size_t len;
} rv_conn;

/* A request or response.  HEAD has the start line and the fields.  */
typedef struct
{
  char head[8192];
  char body[65536];
  size_t body_len;
} rv_message;

uint64_t rv_now_ms (void);
void rv_sleep_ms (uint64_t ms);
double rv_random (void);
void rv_open_record (const char *path, uint64_t seed);
void rv_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void rv_close_record (void);

int rv_listen (uint16_t *port);
uint16_t rv_free_port (void);
int rv_connect (uint16_t port);
bool rv_read_message (rv_conn *c, rv_message *m, bool has_body);
bool rv_field (const rv_message *m, const char *name, char *value,
               size_t size);
bool rv_send (int fd, const char *text, size_t len);

/* The store, for one script.  */
uint16_t rv_start_store (void);
void rv_put (const char *key, const char *value);
void rv_remove (const char *key);
void rv_cut_watches (uint64_t after_ms);
bool rv_get (const char *key, char *value, size_t size);

/* What a faulty worker does.  */
typedef struct
{
  double refuse;    /* fraction of the requests that it rejects */
  double duplicate; /* fraction of the answers that it sends a second time */
  /* Fraction of the requests that fail while over half of the slots are
     taken.  */
  double fail_under_load;
} rv_faults;

typedef struct
{
  char id[RV_ID_MAX];
  const char *service;
  const char *version;
  int slots;
  int work_ms;
} rv_worker_desc;

typedef struct rv_worker rv_worker;
rv_worker *rv_start_worker (const rv_worker_desc *desc);
void rv_set_faults (rv_worker *w, const rv_faults *faults);
void rv_leave (rv_worker *w);
int rv_query_late_arrivals (const rv_worker *w, uint64_t after_ms);
void rv_stop_worker (rv_worker *w);
int rv_query_runs (const char *request_id);
uint64_t rv_query_failure_ms (unsigned number);

/* Gateways.  */
extern const char rv_config[];
bool rv_start_gateways (const char *program, const char *folder, int count,
                        uint16_t store);
uint16_t rv_gateway_port (int index);
bool rv_restart_gateway (int index);
long rv_gateway_memory_kb (int index);
bool rv_wait_until_ready (const char *path);
void rv_stop_gateways (void);

#endif
