/* Section 3.1: one draft request, its owner VM, another VM, two engines.

   The id carries the owner's first incarnation (0).  The owner may crash and
   restart with the next incarnation at any moment.  The other VM may take
   the owner for dead at any moment, which covers a paused owner.  Messages
   may be duplicated and delayed; a LOOKUP reply may be lost.  A dispatch that
   was written may reach the engine after its sender crashed.

   Checked: an engine admits the request at most once; "not run" is told only
   for a request that no engine has admitted or will admit; no two contrary
   outcomes are told.  */

#define ENGINES 2

mtype = { none, queued, sent, answered, not_run, unknown };
mtype = { m_request, m_lookup };

mtype record = none; /* the owner's record of the id */
byte incarnation = 0;
bool old = false; /* the id is past its retention */
byte engine_of = 0;

byte received = 0; /* admissions, over all engines */
bool stream[ENGINES];
bool nak[ENGINES];

bool told_answered = false;
bool told_not_run = false;
bool told_unknown = false;

chan to_owner = [3] of { mtype };
chan to_other = [2] of { mtype };
chan to_other_reply = [1] of { mtype };
chan to_engine[ENGINES] = [1] of { bit };

inline tell (outcome)
{
  if
  :: outcome == answered -> assert (received == 1); told_answered = true
  :: outcome == not_run -> assert (received == 0); told_not_run = true
  :: outcome == unknown -> told_unknown = true
  :: else -> skip
  fi;
  assert (!(told_answered && told_not_run))
}

/* A dead incarnation: the engines are asked for the stream, nothing is
   dispatched.  */
inline resolve_dead ()
{
  if
  :: stream[0] || stream[1] -> tell (answered)
  :: else -> tell (unknown)
  fi
}

/* The owner receives the request.  */
inline owner_request ()
{
#ifdef DISPATCH_FOR_OLD_INCARNATION
  if
  :: record == none && !old -> record = queued
  :: else -> tell (record)
  fi
#else
  if
  :: incarnation != 0 -> resolve_dead ()
  :: incarnation == 0 && record == none && !old -> record = queued
#ifdef NOT_RUN_WITHOUT_RECORD
  /* The table is full or the id is in the future: no record is kept.  */
  :: incarnation == 0 && record == none && !old -> tell (not_run)
#endif
  :: incarnation == 0 && record == none && old ->
#ifdef OLD_ID_IS_NOT_RUN
     tell (not_run)
#else
     /* The record may have been dropped after the request ran.  */
     tell (unknown)
#endif
  :: incarnation == 0 && record != none -> tell (record)
  fi
#endif
}

/* Another VM asks the owner for the state of the id.  */
inline owner_lookup ()
{
  if
  :: incarnation != 0 -> to_other_reply!unknown
  :: incarnation == 0 && record == none ->
     if
#ifndef OLD_LOOKUP_IS_NOT_SEEN
     :: old -> to_other_reply!unknown
     :: !old ->
#else
     :: true ->
#endif
#ifndef LOOKUP_DOES_NOT_RECORD
        record = not_run;
#endif
        to_other_reply!not_run
     fi
  :: incarnation == 0 && record != none -> to_other_reply!record
  fi
}

/* SEEDED FAULT: DISPATCH_FOR_OLD_INCARNATION */
/* SEEDED FAULT: LOOKUP_DOES_NOT_RECORD */
/* SEEDED FAULT: DISPATCH_AGAIN_AFTER_BREAK */
/* SEEDED FAULT: OLD_ID_IS_NOT_RUN */
/* SEEDED FAULT: OLD_LOOKUP_IS_NOT_SEEN */
/* SEEDED FAULT: CLOCK_STEPS_BACK */
/* SEEDED FAULT: NOT_RUN_WITHOUT_RECORD */
active proctype owner ()
{
  byte e;
end:
  do
  :: atomic { to_owner?m_request -> owner_request () }
  :: atomic { len (to_other_reply) == 0 && to_owner?[m_lookup] ->
       to_owner?m_lookup; owner_lookup () }
  /* The request leaves the queue: refused connections leave it queued.  */
  :: atomic { record == queued ->
       if
       :: e = 0
       :: e = 1
       fi;
       if
       :: skip /* connection refused, no byte sent */
       :: len (to_engine[e]) == 0 && !nak[e] ->
          to_engine[e]!1; engine_of = e; record = sent
       fi; e = 0 }
  :: atomic { record == queued -> record = not_run; tell (not_run) }
  /* Only the engine's "not admitted" frees a sent request.  */
  :: atomic { record == sent && nak[engine_of] ->
       nak[engine_of] = false; record = queued }
  :: atomic { record == sent && stream[engine_of] ->
       record = answered; tell (answered) }
  /* The connection broke after a byte was sent; the engine does not know the
     stream, or does not know it yet.  */
  :: atomic { record == sent && !stream[engine_of] ->
#ifdef DISPATCH_AGAIN_AFTER_BREAK
       record = queued
#else
       record = unknown; tell (unknown)
#endif
     }
  :: atomic { incarnation == 0 ->
       incarnation = 1; record = none; engine_of = 0 }
  :: atomic { old && (record == answered || record == not_run || record == unknown) -> record = none }
  od
}

active [ENGINES] proctype engine ()
{
  byte me = _pid - 1;
end:
  do
  :: atomic { to_engine[me]?1 ->
       if
       :: received++; stream[me] = true;
          assert (received <= 1);
          assert (!told_not_run)
       :: nak[me] = true
       fi }
  od
}

active proctype other ()
{
end:
  do
  :: atomic { to_other?m_request ->
       if
       :: nfull (to_owner) -> to_owner!m_lookup
       :: resolve_dead () /* takes the owner for dead, or no reply */
       fi }
  :: atomic { to_other_reply?not_run -> tell (not_run) }
  :: atomic { to_other_reply?answered -> tell (answered) }
  :: atomic { to_other_reply?unknown -> resolve_dead () }
  :: to_other_reply?queued
  :: to_other_reply?sent
  :: to_other_reply?_ /* reply lost */
  od
}

active proctype caller ()
{
  byte sends = 0;
  do
  :: sends < 3 && nfull (to_owner) -> atomic { to_owner!m_request; sends++ }
  :: sends < 3 && nfull (to_other) -> atomic { to_other!m_request; sends++ }
  :: sends == 3 -> break
  od
}

active proctype clock ()
{
  old = true;
#ifdef CLOCK_STEPS_BACK
  old = false
#endif
}
