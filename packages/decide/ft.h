/* ft.h -- when a document is fetched from another VM.

   Used by the gateway.  One fetch is in progress at a time: on a link that is
   full a repetition delays the reply that is already on its way.  A fetch ends
   with its reply, or when the VM that was asked dies, or counts as lost after
   a time that doubles with each loss.  One that could not be sent is not in
   progress.

     ft_fetch fetch = { 0 };
     if (ft_may_fetch (&fetch, now_us))
       ft_on_sent (&fetch, peer, send (peer), now_us);
     ft_on_end (&fetch);  // the reply has arrived, or the peer has died

   A VM that fetches from others must not depend on them: their reports may
   reach it while its fetches or their replies do not.  An ft_lag measures for
   how long it has lacked what they report, whatever the reason.

     ft_lag lag = { 0 };
     ft_update_lag (&lag, own_version, newest_version, now_us);
     if (ft_is_overdue (&lag, receiving, now_us))
       // read it from where they have it  */
#ifndef FT_H
#define FT_H

#include <stdbool.h>
#include <stdint.h>

/* Zeroed at first.  */
typedef struct
{
  uint64_t peer; /* that has yet to reply; 0: none */
  uint64_t sent_us;
  uint64_t timeout_us;
} ft_fetch;

/* The oldest version that others have reported and this VM lacks.  Zeroed at
   first.  */
typedef struct
{
  uint64_t version;
  uint64_t since_us; /* 0: it lacks none */
} ft_lag;

#ifdef __cplusplus
extern "C"
{
#endif

  bool ft_may_fetch (const ft_fetch *f, uint64_t now_us);
  void ft_on_sent (ft_fetch *f, uint64_t peer, bool sent, uint64_t now_us);
  void ft_on_end (ft_fetch *f);
  void ft_update_lag (ft_lag *lag, uint64_t own, uint64_t newest,
                      uint64_t now_us);
  bool ft_is_overdue (const ft_lag *lag, bool receiving, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
