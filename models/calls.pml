/* Non-idempotent calls: one idempotency key, two VMs.

   The record of the key lives in the store and changes by compare-and-swap on
   its revision.  A write is a message: it may take effect late, also after
   its sender has read the record again or has crashed, and its reply may be
   lost.  A VM may declare the other dead at any moment (the other may only be
   paused).  Each VM makes up to ATTEMPTS attempts and may crash twice; it
   restarts after the first crash only.

   Checked: the service executes at most once for the key; an attempt that
   was reported as "not run" never executes afterwards.

   See models/README.md.  */

#define VMS 2
#define ATTEMPTS 2
#define NO_ATTEMPT 9

mtype = { none, intent, done, not_run, unknown };

/* The record.  An attempt is numbered vm * ATTEMPTS + try.  */
mtype state = none;
byte attempt = NO_ATTEMPT;
byte attempt_incarnation = 0;
byte revision = 0;

byte executed = 0;
bool reported_not_run[4];
/* In the memory of the attempt's process; others may use them only while the
   incarnation is the same.  */
bool sent[4];      /* the call was sent */
bool abandoned[4]; /* the call will never be sent */
byte incarnation[VMS];

/* Writes in flight to the store.  */
typedef write_t { bool used; byte expected; mtype state; byte attempt;
                  byte incarnation; bool answered; bool ok };
write_t w[4]; /* for each attempt */
bool call_in_flight[4];

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
  call_in_flight[i] = false;
  executed++;
  assert (executed <= 1);
  assert (!reported_not_run[i])
}

active proctype service ()
{
end:
  do
  :: atomic { call_in_flight[0] -> execute (0) }
  :: atomic { call_in_flight[1] -> execute (1) }
  :: atomic { call_in_flight[2] -> execute (2) }
  :: atomic { call_in_flight[3] -> execute (3) }
  od
}

inline report_not_run ()
{
  assert (!sent[mine]);
  abandoned[mine] = true;
  reported_not_run[mine] = true
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
    :: try == ATTEMPTS -> goto stop
    :: else -> skip
    fi;
    mine = me * ATTEMPTS + try;
    /* A write of an earlier attempt may still be in flight.  */
    try++;
  }
  atomic {
    seen_revision = revision;
    if
    :: state == done || state == unknown -> goto begin
    :: state == none || state == not_run -> skip
    :: state == intent ->
       other = attempt;
       if
       :: other / ATTEMPTS == me && attempt_incarnation == incarnation[me] ->
          /* An attempt that this process abandoned.  */
          if
          :: abandoned[other] -> skip
          :: else -> goto begin
          fi
       :: else ->
          /* ABANDON_ASK.  No reply, or the VM of the attempt is declared
             dead: the outcome is unknown and the call is never sent again.  */
          if
#ifdef DEAD_INTENT_IS_REPLACED
          :: skip
#else
          :: goto begin
#endif
#ifdef RESTARTED_VM_ABANDONS
          :: attempt_incarnation != incarnation[other / ATTEMPTS] -> skip
#endif
#ifdef ABANDON_AFTER_SEND
          :: attempt_incarnation == incarnation[other / ATTEMPTS] ->
#else
          :: attempt_incarnation == incarnation[other / ATTEMPTS] &&
             !sent[other] ->
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

  /* Wait for the reply; it may be lost.  */
  if
  :: atomic { w[mine].answered && w[mine].ok -> goto intent_present }
  :: atomic { w[mine].answered && !w[mine].ok ->
       report_not_run (); goto begin }
  :: goto no_reply
  :: goto crash
  fi;

no_reply:
#ifdef SEND_WITHOUT_READ_BACK
  goto intent_present;
#endif
  atomic {
    if
    :: state == intent && attempt == mine -> goto intent_present
    :: else ->
       /* No intent is recorded; the write may still take effect, so the
          attempt is abandoned.  */
       report_not_run (); goto begin
    fi
  }

intent_present:
  if
  :: goto crash
  :: atomic { true -> /* keeps the else below apart from the goto above */
       if
#ifndef SEND_AFTER_ABANDON
       :: abandoned[mine] -> report_not_run (); goto begin
#endif
       :: else -> skip
       fi;
       /* The connection fails before a byte is sent, or the call is sent.  */
       if
       :: report_not_run (); seen_revision = revision;
          if
          :: state == intent && attempt == mine && (!w[mine].used || w[mine].answered) -> post_write (not_run)
          :: else -> skip
          fi;
          goto begin
       :: sent[mine] = true; call_in_flight[mine] = true
       fi
     }
  fi;
  /* The outcome is recorded: done or unknown.  */
  if
  :: goto crash
  :: atomic { (!w[mine].used || w[mine].answered) && attempt == mine ->
       seen_revision = revision;
       if
       :: !call_in_flight[mine] -> post_write (done)
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
