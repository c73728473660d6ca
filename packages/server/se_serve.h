/* se_serve.h -- settings and administration API of the running server.

   Connects the settings task (se_), the administration API (aa_) and the other
   tasks of the server.  sv_ runs it.

     se_service *s = se_serve_make (sv, &err);
     se_serve_tick (s);                      // about every 20 ms
     se_serve_on_message (s, sender, &m);    // SETTINGS_*, PING, ACK
     probe.settings_version = se_serve_version (s);
     se_serve_destroy (s);                   // before the platform  */
#ifndef SE_SERVE_H
#define SE_SERVE_H

#include "er.h"
#include "ms.h"

typedef struct se_service se_service;
typedef struct sv_server sv_server;

#ifdef __cplusplus
extern "C"
{
#endif

  se_service *se_serve_make (sv_server *sv, er_error *err);
  void se_serve_destroy (se_service *s);
  void se_serve_tick (se_service *s);
  void se_serve_on_message (se_service *s, st_str sender, const ms_message *m);
  uint64_t se_serve_version (const se_service *s);
  bool se_serve_ready (const se_service *s);

#ifdef __cplusplus
}
#endif

#endif
