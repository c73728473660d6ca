/* ct.h -- library of dotterelbendctl: calls to the administration API, files,
   and tables.

     ct_client client = { .address = "127.0.0.1:7001", .token = token };
     ct_response response;
     er_error err = { 0 };
     if (ct_call (&client, "GET", "/admin/members", NULL, &response, &err))
       ...
     ct_response_free (&response);

   A call blocks until the response arrives or the time-out passes.  */
#ifndef CT_H
#define CT_H

#include "er.h"
#include "sx.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

/* Exit codes of the program.  */
typedef enum
{
  CT_OK = 0,
  CT_REFUSED = 1, /* invalid, not found or denied */
  CT_USAGE = 2,
  CT_CONFLICT = 3,    /* a concurrent change was first */
  CT_UNAVAILABLE = 4, /* VM or store; nothing was changed */
  CT_UNKNOWN = 5,     /* the change may have been accepted */
  CT_DIFFERS = 6      /* diff found differences */
} ct_exit;

typedef struct
{
  const char *address; /* IP:PORT */
  const char *token;
  const char *operator_name; /* for the change history; may be NULL */
  unsigned timeout_s;        /* 0 means 30 */
} ct_client;

typedef struct
{
  int status;
  json_t *body; /* NULL when the response is not JSON */
} ct_response;

/* Rows of text that are printed with aligned columns.  */
typedef struct
{
  GPtrArray *rows; /* of char ** */
} ct_table;

#ifdef __cplusplus
extern "C"
{
#endif

  bool ct_call (const ct_client *client, const char *method, const char *path,
                const json_t *body, ct_response *out, er_error *err);
  void ct_response_free (ct_response *response);
  ct_exit ct_response_exit (const ct_response *response, er_error *err);
  char *ct_read_token (const char *file, er_error *err);

  ct_exit ct_validate (const char *path, FILE *out);
  sx_tree *ct_load (const char *path, FILE *problems);
  json_t *ct_edits (const sx_tree *before, const sx_tree *after,
                    const char *below);
  GPtrArray *ct_split_edits (const json_t *edits);

  ct_table ct_table_make (const char *const *head);
  void ct_table_add (ct_table *table, const char *const *cells);
  void ct_table_print (ct_table *table, FILE *out);

#ifdef __cplusplus
}
#endif

#endif
