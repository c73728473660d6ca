/* Distribution of settings: two operators, the settings head in the store, a
   VM that watches the head and a VM that learns of it from its peer.

   A change is one compare-and-swap of the head.  A swap is a message: it may
   take effect late, and its reply may be lost.  The head lists the versions
   of its last changes, so that an operator that reads it after a later change
   still finds the result of its own.  VMs crash, restart
   (also in a store outage, also beside a peer that lags) and pause.

   Checked: an accepted change is never lost; a change reported as refused never
   takes effect; a running VM's version never decreases; a VM is ready only
   with a version that a peer or the store has; when no step is
   enabled, every VM has the head (the check in monitor).

   See models/README.md.  */

#define VMS 2
#define OPERATORS 2

byte head = 0;      /* version, raised by one with each change */
byte author_of[4];  /* operator + 1 of each version */
bool outage = false;
bool in_effect[OPERATORS];
bool accepted[OPERATORS];
bool refused[OPERATORS];

typedef swap_t { bool used; bool answered; bool ok; byte expected };
swap_t swap[OPERATORS];

byte version[VMS];  /* settings version in use */
bool up[VMS];
bool ready[VMS];
byte finished = 0;

/* Pushed heads in flight; a duplicate stays in the channel.  */
chan push = [2] of { byte };

#define PENDING(i) (swap[i].used && !swap[i].answered)

active proctype store ()
{
  byte i;
end:
  do
  :: atomic { !outage && (PENDING (0) || PENDING (1)) ->
       if
       :: PENDING (0) -> i = 0
       :: PENDING (1) -> i = 1
       fi;
       if
       :: swap[i].expected == head ->
          head++;
          author_of[head] = i + 1;
          in_effect[i] = true;
          assert (!refused[i]);
          swap[i].ok = true
       :: else -> skip
       fi;
       swap[i].answered = true;
       i = 0 }
  od
}

active proctype outages ()
{
  outage = true;
  outage = false;
  finished++
}

/* SEEDED FAULT: READ_BACK_THE_TOP_ONLY */
/* SEEDED FAULT: ABSENT_MEANS_REFUSED */
/* SEEDED FAULT: ACCEPT_BEFORE_THE_ANSWER */
proctype operator (byte me)
{
  atomic { !outage ->
    swap[me].expected = head;
    swap[me].used = true }
#ifdef ACCEPT_BEFORE_THE_ANSWER
  accepted[me] = true;
#endif
  if
  :: atomic { swap[me].answered ->
       if
       :: swap[me].ok -> accepted[me] = true
       :: else -> refused[me] = true; assert (!in_effect[me])
       fi }
  :: skip /* no reply: read the head again */
     atomic { !outage ->
       if
#ifdef READ_BACK_THE_TOP_ONLY
       :: author_of[head] == me + 1 -> accepted[me] = true
       :: author_of[head] != me + 1 && head > swap[me].expected ->
          refused[me] = true; assert (!in_effect[me])
#else
       :: author_of[swap[me].expected + 1] == me + 1 -> accepted[me] = true
       /* The head is past the expected version: the swap can't succeed.  */
       :: author_of[swap[me].expected + 1] != me + 1 && head > swap[me].expected ->
          refused[me] = true; assert (!in_effect[me])
#endif
       /* The head is unchanged: the swap may still be in flight.  */
       :: head == swap[me].expected ->
#ifdef ABSENT_MEANS_REFUSED
          refused[me] = true
#else
          skip /* reported as unknown; neither accepted nor refused */
#endif
       fi }
  fi;
  assert (!accepted[me] || in_effect[me]);
  finished++
}

inline apply (v)
{
#ifdef APPLY_ANY
  version[me] = v;
  assert (v >= before);
  before = v
#else
  if
  :: v > version[me] -> version[me] = v
  :: else -> skip
  fi;
  assert (version[me] >= before);
  before = version[me]
#endif
}

/* SEEDED FAULT: APPLY_ANY */
/* SEEDED FAULT: READY_WITHOUT_A_SOURCE */
/* SEEDED FAULT: NO_GAP_CHECK */
proctype vm (byte me)
{
  byte before = 0; /* last version applied; a restart resets it */
  byte got;
  byte restarts = 0;
  bool has_source = true; /* the version is the store's or a peer's */
starting:
  atomic {
    if
    :: !outage ->
       version[me] = head;
       if
       :: ready[1 - me] && version[1 - me] > head -> assert (false)
       :: else -> skip
       fi
    :: outage && ready[1 - me] -> version[me] = version[1 - me]
#ifdef READY_WITHOUT_A_SOURCE
    :: outage && !ready[1 - me] -> version[me] = 0; has_source = false
#endif
    fi;
    assert (has_source);
    before = version[me];
    ready[me] = true;
    assert (version[me] <= head)
  }
end:
  do
  /* Watch of the head: only VM 0 watches; it pushes to its data centre.  */
  :: atomic { me == 0 && !outage && version[me] < head ->
       got = head; apply (got);
       if
       :: nfull (push) -> push!got
       :: skip /* push lost */
       fi; got = 0 }
  :: atomic { me == 1 && len (push) > 0 -> push?got; apply (got); got = 0 }
  :: atomic { me == 1 && len (push) > 0 -> /* duplicate */
       push?<got>; apply (got); got = 0 }
#ifndef NO_GAP_CHECK
  /* A probe has the peer's head version piggybacked on it.  */
  :: atomic { ready[1 - me] && version[1 - me] > version[me] ->
       got = version[1 - me]; apply (got); got = 0 }
#endif
  :: atomic { restarts == 0 ->
       restarts++; ready[me] = false; version[me] = 0; before = 0;
       goto starting }
  od
}

active proctype monitor ()
{
  /* No other step is enabled: every VM must have the head.  */
end:
  timeout ->
  assert (outage == false);
  assert (ready[0] && ready[1]);
  assert (version[0] == head && version[1] == head);
  assert (!accepted[0] || in_effect[0]);
  assert (!accepted[1] || in_effect[1])
}

init
{
  atomic {
    run operator (0);
    run operator (1);
    run vm (0);
    run vm (1)
  }
}
