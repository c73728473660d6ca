/* dr.h -- directory of VMs, engines and services, from the VM list.

   sv_ fills it; the other tasks of the server look entries up.

     dr_directory *dr = dr_make ();
     dr_set (dr, entries, count);            // replaces the whole list
     for (size_t i = 0; i < dr_query_count (dr); i++)
       use (dr_query_at (dr, i));
     const dr_entry *e = dr_find (dr, DR_ENGINE, ST_LIT ("engine-3"));
     dr_destroy (dr);

   Entries are valid until the next dr_set.  */
#ifndef DR_H
#define DR_H

#include "st.h"

#define DR_VERSIONS_MAX 16

typedef enum
{
  DR_VM,
  DR_ENGINE,
  DR_SERVICE
} dr_kind;

typedef struct
{
  dr_kind kind;
  st_name name;
  st_name address;      /* IP:PORT; of a VM, its callers' listener */
  st_name peer_address; /* VM */
  st_name region;
  st_name data_center;
  st_name serves; /* engine: model; service: its name */
  st_name versions[DR_VERSIONS_MAX];
  uint32_t version_count;
  uint32_t slots;
  bool leaving;
} dr_entry;

typedef struct dr_directory dr_directory;

#ifdef __cplusplus
extern "C"
{
#endif

  dr_directory *dr_make (void);
  void dr_destroy (dr_directory *dr);
  bool dr_set (dr_directory *dr, const dr_entry *entries, size_t count);
  size_t dr_query_count (const dr_directory *dr);
  const dr_entry *dr_query_at (const dr_directory *dr, size_t index);
  const dr_entry *dr_find (const dr_directory *dr, dr_kind kind, st_str name);
  bool dr_has_model (const dr_directory *dr, st_str model);

#ifdef __cplusplus
}
#endif

#endif
