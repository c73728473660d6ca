/* Dispatch of one draft request: its request owner, another VM, two engines.

   The id carries the owner's first incarnation (0).  The owner may crash and
   restart with the next incarnation at any moment.  The other VM may declare
   the owner dead at any moment, which covers a paused owner.  Messages
   may be duplicated and delayed; a LOOKUP reply may be lost.  A dispatch that
   was written may reach the engine after its sender crashed.

   Checked: an engine admits the request at most once; "not run" is reported
   only for a request that no engine has admitted or will admit; no two
   contradictory outcomes are reported.

   See models/README.md.  */

#define ENGINES 2

mtype = { none, queued, sent, answered, not_run, unknown };
mtype = { m_request, m_lookup };

mtype record = none; /* the owner's record of the id */
byte incarnation = 0;
bool id_expired = false; /* the id is past its retention */
byte engine_of = 0;

byte admissions = 0; /* over all engines */
bool stream[ENGINES];
bool not_admitted[ENGINES];

bool reported_answered = false;
bool reported_not_run = false;
bool reported_unknown = false;

chan to_owner = [3] of { mtype };
chan to_other = [2] of { mtype };
chan to_other_reply = [1] of { mtype };
chan to_engine[ENGINES] = [1] of { bit };

inline report (outcome)
{
  if
  :: outcome == answered -> assert (admissions == 1); reported_answered = true
  :: outcome == not_run -> assert (admissions == 0); reported_not_run = true
  :: outcome == unknown -> reported_unknown = true
  :: else -> skip
  fi;
  assert (!(reported_answered && reported_not_run))
}

/* A dead incarnation: the engines are queried for the stream, nothing
   is dispatched.  */
inline resolve_dead_owner ()
{
  if
  :: stream[0] || stream[1] -> report (answered)
  :: else -> report (unknown)
  fi
}

/* The owner receives the request.  */
inline owner_request ()
{
#ifdef DISPATCH_FOR_OLD_INCARNATION
  if
  :: record == none && !id_expired -> record = queued
  :: else -> report (record)
  fi
#else
  if
  :: incarnation != 0 -> resolve_dead_owner ()
  :: incarnation == 0 && record == none && !id_expired -> record = queued
#ifdef NOT_RUN_WITHOUT_RECORD
  /* The table is full or the id is in the future: no record is kept.  */
  :: incarnation == 0 && record == none && !id_expired -> report (not_run)
#endif
  :: incarnation == 0 && record == none && id_expired ->
#ifdef OLD_ID_IS_NOT_RUN
     report (not_run)
#else
     /* The record may have been dropped after the request ran.  */
     report (unknown)
#endif
  :: incarnation == 0 && record != none -> report (record)
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
     :: id_expired -> to_other_reply!unknown
     :: !id_expired ->
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
       :: len (to_engine[e]) == 0 && !not_admitted[e] ->
          to_engine[e]!1; engine_of = e; record = sent
       fi; e = 0 }
  :: atomic { record == queued -> record = not_run; report (not_run) }
  /* Only the engine's "not admitted" frees a sent request.  */
  :: atomic { record == sent && not_admitted[engine_of] ->
       not_admitted[engine_of] = false; record = queued }
  :: atomic { record == sent && stream[engine_of] ->
       record = answered; report (answered) }
  /* The connection was lost after a byte was sent; the engine does not know the
     stream, or does not know it yet.  */
  :: atomic { record == sent && !stream[engine_of] ->
#ifdef DISPATCH_AGAIN_AFTER_BREAK
       record = queued
#else
       record = unknown; report (unknown)
#endif
     }
  :: atomic { incarnation == 0 ->
       incarnation = 1; record = none; engine_of = 0 }
  :: atomic { id_expired && (record == answered || record == not_run
                             || record == unknown) ->
       record = none }
  od
}

active [ENGINES] proctype engine ()
{
  byte me = _pid - 1;
end:
  do
  :: atomic { to_engine[me]?1 ->
       if
       :: admissions++; stream[me] = true;
          assert (admissions <= 1);
          assert (!reported_not_run)
       :: not_admitted[me] = true
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
       :: resolve_dead_owner () /* declares the owner dead, or gets no reply */
       fi }
  :: atomic { to_other_reply?not_run -> report (not_run) }
  :: atomic { to_other_reply?answered -> report (answered) }
  :: atomic { to_other_reply?unknown -> resolve_dead_owner () }
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
  id_expired = true;
#ifdef CLOCK_STEPS_BACK
  id_expired = false
#endif
}
