/* Section 3.2: calls that may not be repeated; one key, two VMs.

   The record of the key lives in the store and changes by compare-and-swap on
   its revision.  A write is a message: it may take effect late, also after
   its sender has read the record back or has crashed, and its answer may be
   lost.  A VM may take the other for dead at any moment (it may be paused
   only).  Each VM makes up to TRIES attempts and may crash and restart once.

   Checked: the service executes at most once for the key; an attempt that
   was told "not run" never executes, ever after.  */

#define VMS 2
#define TRIES 2
#define NOBODY 9

mtype = { none, intent, done, not_run, unknown };

/* The record.  An attempt is numbered vm * TRIES + try.  */
mtype state = none;
byte attempt = NOBODY;
byte attempt_incarnation = 0;
byte revision = 0;

byte executed = 0;
bool told_not_run[4];
bool sent[4];      /* by the VM's memory: the call was sent */
bool abandoned[4]; /* by the VM's memory: the call will never be sent */
byte incarnation[VMS];

/* Writes on their way to the store.  */
typedef write_t { bool used; byte expected; mtype state; byte attempt;
                  byte incarnation; bool answered; bool ok };
write_t w[4]; /* for each attempt */
bool call_on_its_way[4];

inline post_write (new_state)
{
  w[mine].used = true;
  w[mine].expected = seen_revision;
  w[mine].state = new_state;
  w[mine].attempt = mine;
  w[mine].incarnation = incarnation[me];
  w[mine].answered = false;
  w[mine].ok = false
}

#define PENDING(i) (w[i].used && !w[i].answered)

active proctype store ()
{
  byte i;
end:
  do
  :: atomic { PENDING (0) || PENDING (1) || PENDING (2) || PENDING (3) ->
       if
       :: PENDING (0) -> i = 0
       :: PENDING (1) -> i = 1
       :: PENDING (2) -> i = 2
       :: PENDING (3) -> i = 3
       fi;
       if
       :: w[i].expected == revision ->
          revision++;
          state = w[i].state;
          attempt = w[i].attempt;
          attempt_incarnation = w[i].incarnation;
          w[i].ok = true
       :: else -> w[i].ok = false
       fi;
       w[i].answered = true;
       i = 0 }
  od
}

inline execute (i)
{
  call_on_its_way[i] = false;
  executed++;
  assert (executed <= 1);
  assert (!told_not_run[i])
}

active proctype service ()
{
end:
  do
  :: atomic { call_on_its_way[0] -> execute (0) }
  :: atomic { call_on_its_way[1] -> execute (1) }
  :: atomic { call_on_its_way[2] -> execute (2) }
  :: atomic { call_on_its_way[3] -> execute (3) }
  od
}

inline tell_not_run ()
{
  assert (!sent[mine]);
  abandoned[mine] = true;
  told_not_run[mine] = true
}

/* SEEDED FAULT: SEND_WITHOUT_READ_BACK */
/* SEEDED FAULT: ABANDON_AFTER_SEND */
/* SEEDED FAULT: RESTARTED_VM_ABANDONS */
/* SEEDED FAULT: DEAD_INTENT_IS_REPLACED */
/* SEEDED FAULT: SEND_AFTER_ABANDON */
/* SEEDED FAULT: WRITE_WITHOUT_COMPARE */
proctype vm (byte me)
{
  byte try = 0;
  byte mine;
  byte seen_revision;
  byte other;

begin:
  atomic {
    if
    :: try == TRIES -> goto stop
    :: else -> skip
    fi;
    mine = me * TRIES + try;
    try++;
    /* A write of an earlier attempt may still be on its way.  */
  }
  atomic {
    seen_revision = revision;
    if
    :: state == done || state == unknown -> goto begin
    :: state == none || state == not_run -> skip
    :: state == intent ->
       other = attempt;
       if
       :: other / TRIES == me && attempt_incarnation == incarnation[me] ->
          /* An attempt of this process that it gave up.  */
          if
          :: abandoned[other] -> skip
          :: else -> goto begin
          fi
       :: else ->
          /* ABANDON_ASK.  No reply, or the owner is taken for dead: the
             outcome is unknown and the call is never sent again.  */
          if
#ifdef DEAD_INTENT_IS_REPLACED
          :: skip
#else
          :: goto begin
#endif
#ifdef RESTARTED_VM_ABANDONS
          :: attempt_incarnation != incarnation[other / TRIES] -> skip
#endif
#ifdef ABANDON_AFTER_SEND
          :: attempt_incarnation == incarnation[other / TRIES] ->
#else
          :: attempt_incarnation == incarnation[other / TRIES] && !sent[other] ->
#endif
             abandoned[other] = true
          fi
       fi
    fi;
    other = 0
  }
  atomic { !w[mine].used || w[mine].answered ->
#ifdef WRITE_WITHOUT_COMPARE
    seen_revision = revision;
#endif
    post_write (intent) }

  /* Wait for the answer, or lose it.  */
  if
  :: atomic { w[mine].answered && w[mine].ok -> goto present }
  :: atomic { w[mine].answered && !w[mine].ok ->
       tell_not_run (); goto begin }
  :: goto lost
  :: goto crash
  fi;

lost:
#ifdef SEND_WITHOUT_READ_BACK
  goto present;
#endif
  atomic {
    if
    :: state == intent && attempt == mine -> goto present
    :: else ->
       /* Not there; it may still arrive, so the attempt is given up.  */
       tell_not_run (); goto begin
    fi
  }

present:
  if
  :: goto crash
  :: atomic { true -> /* keeps the else below apart from the goto above */
       if
#ifndef SEND_AFTER_ABANDON
       :: abandoned[mine] -> tell_not_run (); goto begin
#endif
       :: else -> skip
       fi;
       /* The connection fails before a byte is sent, or the call is sent.  */
       if
       :: tell_not_run (); seen_revision = revision;
          if
          :: state == intent && attempt == mine && (!w[mine].used || w[mine].answered) -> post_write (not_run)
          :: else -> skip
          fi;
          goto begin
       :: sent[mine] = true; call_on_its_way[mine] = true
       fi
     }
  fi;
  /* The outcome is recorded: done or unknown.  */
  if
  :: goto crash
  :: atomic { (!w[mine].used || w[mine].answered) && attempt == mine ->
       seen_revision = revision;
       if
       :: !call_on_its_way[mine] -> post_write (done)
       :: post_write (unknown)
       fi }
  :: attempt != mine -> skip
  fi;
  goto begin;

crash:
  atomic {
    if
    :: incarnation[me] == 0 -> incarnation[me] = 1; goto begin
    :: else -> goto stop
    fi
  }
stop:
  skip
}

init
{
  atomic { run vm (0); run vm (1) }
}
