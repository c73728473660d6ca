/* si.h -- signals that arrive before their handlers are set.

   Used by the programs.  A signal for which no handler has been set yet would
   end the process; blocked, it waits for the handler.

     si_block ();        at the start of main
     ... set the handlers
     si_unblock ();
 */
#ifndef SI_H
#define SI_H

#ifdef __cplusplus
extern "C"
{
#endif

  void si_block (void);
  void si_unblock (void);

#ifdef __cplusplus
}
#endif

#endif
