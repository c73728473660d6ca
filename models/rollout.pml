/* Section 3.7: two VMs, each follower and possible controller of a service.

   The lease may lapse at any moment, also while its holder is paused and
   goes on believing in it.  A write of the record is a message with the
   expected revision: it may take effect late, also after its holder's lease
   lapsed or after the holder read the record back, and its answer may be
   lost.  One of the VMs may crash and restart; the store
   has an outage.  Up to two leases and four writes are looked at.

   Checked:
   - once taken_back is stored, no write follows it;
   - the share that a VM uses never rises once it knows a halt, and a VM that
     joins beside a VM which knows the halt knows it too;
   - each step is written once, and no write of an earlier holder takes
     effect once a later holder acts;
   - nothing widens in an outage;
   - halts reach the other VM without the store; in the end a halted version
     is stored as taken back or the store could not be written.  */

#define VMS 2
#define TOP 1 /* rungs: 0, 1 */

/* The record in the store.  */
byte revision = 0;
byte fence = 0;
byte step = 0;
byte rung = 0;
bool taken_back = false;

bool outage = false;
byte lease_fence = 0; /* fencing number of the last lease given */
byte lease_of = VMS;  /* holder; VMS when lapsed or free */
byte leases = 0;

/* Controllers.  */
byte my_fence[VMS];
bool acting[VMS]; /* the claim is known to be stored */
bool known[VMS];
byte k_revision[VMS];
byte k_step[VMS];
byte k_rung[VMS];
bool k_back[VMS];

typedef write_t { bool used; bool answered; bool ok; bool lost; byte expected;
                  byte fence; byte step; byte rung; bool back; bool claim };
write_t w[3]; /* one for each controller, and a late one whose answer was lost */

/* Followers.  */
bool up[VMS];
bool halted[VMS];
byte f_fence[VMS];
byte f_step[VMS];
byte f_rung[VMS];

bool bad = false;
bool restarted = false; /* one restart, of either VM */
bool halt_to[VMS];

#define SHARE(i) (halted[i] -> 0 : f_rung[i])

/* Finished writes are cleared, which keeps the number of states small.  */
inline clear_write (j)
{
  w[j].used = false; w[j].answered = false; w[j].ok = false;
  w[j].lost = false; w[j].expected = 0; w[j].fence = 0; w[j].step = 0;
  w[j].rung = 0; w[j].back = false; w[j].claim = false
}

/* The answer is lost: the write may take effect later.  */
inline lose_answer ()
{
  if
  :: w[me].answered -> skip
  :: else ->
     w[2].used = true; w[2].lost = true; w[2].expected = w[me].expected;
     w[2].fence = w[me].fence; w[2].step = w[me].step; w[2].rung = w[me].rung;
     w[2].back = w[me].back; w[2].claim = w[me].claim
  fi;
  clear_write (me)
}

#define PENDING(i) (w[i].used && !w[i].answered)

active proctype store ()
{
  byte i;
end:
  do
  :: atomic { !outage && (PENDING (0) || PENDING (1) || PENDING (2)) ->
       if
       :: PENDING (0) -> i = 0
       :: PENDING (1) -> i = 1
       :: PENDING (2) -> i = 2
       fi;
       if
#ifdef WRITE_WITHOUT_COMPARE
       :: true ->
#else
       :: w[i].expected == revision ->
#endif
          assert (!taken_back);
          assert (w[i].step == step + 1);
          assert (w[i].fence >= fence);
          /* A later holder acts: nothing of an earlier one may follow.  */
          assert (!(acting[0] && my_fence[0] > w[i].fence));
          assert (!(acting[1] && my_fence[1] > w[i].fence));
          revision++;
          fence = w[i].fence;
          step = w[i].step;
          rung = w[i].rung;
          taken_back = w[i].back;
          w[i].ok = true
       :: else -> skip
       fi;
       w[i].answered = true;
       if
       :: w[i].lost -> clear_write (i)
       :: else -> skip
       fi;
       i = 0 }
  od
}

active proctype world ()
{
  /* One outage, and the version shows its fault at any moment.  */
  do
  :: atomic { !bad -> bad = true }
  :: atomic { !outage -> outage = true }
  :: atomic { outage -> outage = false; break }
  od;
  bad = true
}

inline post_write (new_rung, new_back, is_claim)
{
  w[me].used = true;
  w[me].answered = false;
  w[me].ok = false;
  w[me].expected = k_revision[me];
  w[me].fence = my_fence[me];
  w[me].step = k_step[me] + 1;
  w[me].rung = new_rung;
  w[me].back = new_back;
  w[me].claim = is_claim
}

inline read_record ()
{
  known[me] = true;
  k_revision[me] = revision;
  k_step[me] = step;
  k_rung[me] = rung;
  k_back[me] = taken_back
}

/* ro_apply_state: newer by (fence, step) only.  */
inline follow (s_fence, s_step, s_rung, s_back)
{
  if
  :: s_back -> halted[me] = true
  :: else -> skip
  fi;
#ifdef HALT_IS_NOT_STICKY
  if
  :: !s_back && s_fence == f_fence[me] && s_step > f_step[me] ->
     halted[me] = false
  :: else -> skip
  fi;
#endif
  if
#ifdef APPLY_OLDER
  :: true ->
#else
  :: s_fence > f_fence[me] || (s_fence == f_fence[me] && s_step > f_step[me]) ->
#endif
     f_fence[me] = s_fence; f_step[me] = s_step; f_rung[me] = s_rung
  :: else -> skip
  fi
}

/* SEEDED FAULT: WRITE_WITHOUT_COMPARE */
/* SEEDED FAULT: NO_CLAIM */
/* SEEDED FAULT: WRITE_OVER_HIGHER_FENCE */
/* SEEDED FAULT: HALT_IS_NOT_STICKY */
/* SEEDED FAULT: LOST_ANSWER_IS_SUCCESS */
/* SEEDED FAULT: JOIN_WITHOUT_HALTS */
/* SEEDED FAULT: APPLY_OLDER */
proctype vm (byte me)
{
  byte share_before;
  byte step_before;
starting:
  /* A VM that starts takes the state and the halts of its peer, and the
     state of the store when it answers.  It isn't ready without a source.  */
  atomic {
    (up[1 - me] || !outage) ->
    if
    :: up[1 - me] ->
       follow (f_fence[1 - me], f_step[1 - me], f_rung[1 - me], false);
#ifndef JOIN_WITHOUT_HALTS
       halted[me] = halted[1 - me]
#endif
    :: else -> skip
    fi;
    if
    :: !outage -> follow (fence, step, rung, taken_back)
    :: else -> skip
    fi;
    assert (!up[1 - me] || !halted[1 - me] || halted[me]);
    up[me] = true;
    step_before = f_step[me]
  }
end:
  do
  /* Follower: the record from the store (watch) or from the peer.  */
  :: atomic { !outage && (fence != f_fence[me] || step != f_step[me]) ->
       share_before = SHARE (me);
       if
       :: halted[me] -> skip
       :: else -> share_before = TOP
       fi;
       follow (fence, step, rung, taken_back);
       assert (SHARE (me) <= share_before);
       assert (f_step[me] >= step_before);
       step_before = f_step[me]; share_before = 0 }
  :: atomic { up[1 - me] && f_step[1 - me] != f_step[me] ->
       share_before = TOP;
       if
       :: halted[me] -> share_before = 0
       :: else -> skip
       fi;
       follow (f_fence[1 - me], f_step[1 - me], f_rung[1 - me], false);
       assert (SHARE (me) <= share_before);
       assert (f_step[me] >= step_before);
       step_before = f_step[me]; share_before = 0 }
  /* The local rule crosses its boundary; HALT goes to the peer.  */
  :: atomic { bad && f_rung[me] > 0 && !halted[me] ->
       halted[me] = true; halt_to[1 - me] = true }
  :: atomic { halt_to[me] ->
       if
       :: halt_to[me] = false
       :: skip /* duplicate */
       fi;
       if
       :: !halted[me] -> halted[me] = true
       :: else -> halt_to[me] = false
       fi }

  /* Controller: lease.  It may lapse while this VM still believes in it.  */
  /* The VMs are alike, so VM 0 stands for the one that is first.  */
  :: atomic { !outage && lease_of == VMS && leases < 2 && (leases > 0 || me == 0) ->
       leases++; lease_fence++; lease_of = me; my_fence[me] = lease_fence;
       acting[me] = false; known[me] = false }
  :: atomic { lease_of == me -> lease_of = VMS }

  /* Read, also after a lost answer or a conflict.  */
  :: atomic { !outage && my_fence[me] > 0 && !known[me] ->
       read_record ();
#ifndef WRITE_OVER_HIGHER_FENCE
       /* A later holder has claimed the record: this lease is over.  */
       if
       :: fence > my_fence[me] -> my_fence[me] = 0; known[me] = false;
          acting[me] = false; goto end
       :: else -> skip
       fi;
#endif
#ifdef NO_CLAIM
       acting[me] = true;
#else
       if
       :: fence == my_fence[me] -> acting[me] = true
       :: else -> skip
       fi;
#endif
     }
  /* Write: claim first, then take back or widen.  */
  :: atomic { my_fence[me] > 0 && known[me] && !k_back[me] && !w[me].used && k_step[me] < 4 ->
       if
#ifndef NO_CLAIM
       :: !acting[me] -> post_write (k_rung[me], false, true)
#endif
       :: acting[me] && halted[me] -> post_write (0, true, false)
       :: acting[me] && !halted[me] && k_rung[me] < TOP ->
          post_write (k_rung[me] + 1, false, false)
       :: acting[me] && !halted[me] && k_rung[me] == TOP -> goto end
       fi;
       goto waiting }
  :: atomic { !restarted ->
       restarted = true; up[me] = false; halted[me] = false;
       f_fence[me] = 0; f_step[me] = 0; f_rung[me] = 0; my_fence[me] = 0;
       acting[me] = false; known[me] = false; halt_to[me] = false;
       share_before = 0; step_before = 0;
       goto starting }
  od;
waiting:
  if
  :: atomic { w[me].answered && w[me].ok ->
       k_revision[me]++; k_step[me] = w[me].step; k_rung[me] = w[me].rung;
       k_back[me] = w[me].back;
       if
       :: w[me].claim -> acting[me] = true
       :: else -> skip
       fi;
       clear_write (me);
       goto end }
  :: atomic { w[me].answered && !w[me].ok ->
       known[me] = false; clear_write (me); goto end }
  /* Lost answer: the record is read back.  The write may yet take effect;
     the revision settles which write wins.  */
  :: atomic { w[me].answered || !w[2].used ->
#ifdef LOST_ANSWER_IS_SUCCESS
       k_revision[me]++; k_step[me] = w[me].step; k_rung[me] = w[me].rung;
       k_back[me] = w[me].back;
       if
       :: w[me].claim -> acting[me] = true
       :: else -> skip
       fi;
#else
       known[me] = false;
#endif
       lose_answer ();
       goto end }
  fi
}

init
{
  atomic { run vm (0); run vm (1) }
}
