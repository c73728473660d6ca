/* Rollout of a service: two VMs, each a rollout follower and a possible
   controller.

   The lease may lapse at any moment, also while its holder is paused and
   still acts as the holder.  A write of the record is a message with the
   expected revision: it may take effect late, also after its holder's lease
   lapsed or after the holder read the record again, and its reply may be
   lost.  One of the VMs may crash and restart; the store
   has an outage.  Up to two leases and four writes are covered.

   Checked:
   - once rolled_back is stored, no write follows it;
   - the traffic share that a VM uses never rises once it has a halt, and a VM
     that joins while its peer has the halt gets it too;
   - each step is written once, and no write of an earlier holder takes
     effect once a later holder acts;
   - the traffic share is not raised in a store outage;
   - halts reach the other VM without the store; in the end a halted version
     is stored as rolled back or the store could not be written.

   See models/README.md.  */

#define VMS 2
#define TOP 1 /* rungs: 0, 1 */

/* The record in the store.  */
byte revision = 0;
byte fence = 0;
byte step = 0;
byte rung = 0;
bool rolled_back = false;

bool outage = false;
byte lease_fence = 0; /* fencing number of the last lease given */
byte lease_holder = VMS;  /* lease holder; VMS when lapsed or free */
byte leases = 0;

/* Controllers.  */
byte held_fence[VMS];
bool claim_stored[VMS]; /* the claim is known to be stored */
bool record_read[VMS];
byte read_revision[VMS];
byte read_step[VMS];
byte read_rung[VMS];
bool read_rolled_back[VMS];

typedef write_t { bool used; bool answered; bool ok; bool reply_lost;
                  byte expected; byte fence; byte step; byte rung;
                  bool rolled_back; bool claim };
write_t w[3]; /* one for each controller, and a late one whose reply was lost */

/* Followers.  */
bool up[VMS];
bool halted[VMS];
byte follower_fence[VMS];
byte follower_step[VMS];
byte follower_rung[VMS];

bool version_faulty = false;
bool restarted = false; /* one restart, of either VM */
bool halt_in_flight[VMS];

#define SHARE(i) (halted[i] -> 0 : follower_rung[i])

/* Finished writes are cleared, which keeps the number of states small.  */
inline clear_write (j)
{
  w[j].used = false; w[j].answered = false; w[j].ok = false;
  w[j].reply_lost = false; w[j].expected = 0; w[j].fence = 0; w[j].step = 0;
  w[j].rung = 0; w[j].rolled_back = false; w[j].claim = false
}

/* The reply is lost: the write may take effect later.  */
inline lose_reply ()
{
  if
  :: w[me].answered -> skip
  :: else ->
     w[2].used = true; w[2].reply_lost = true; w[2].expected = w[me].expected;
     w[2].fence = w[me].fence; w[2].step = w[me].step; w[2].rung = w[me].rung;
     w[2].rolled_back = w[me].rolled_back; w[2].claim = w[me].claim
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
          assert (!rolled_back);
          assert (w[i].step == step + 1);
          assert (w[i].fence >= fence);
          /* A later holder acts: no earlier one's write may take effect.  */
          assert (!(claim_stored[0] && held_fence[0] > w[i].fence));
          assert (!(claim_stored[1] && held_fence[1] > w[i].fence));
          revision++;
          fence = w[i].fence;
          step = w[i].step;
          rung = w[i].rung;
          rolled_back = w[i].rolled_back;
          w[i].ok = true
       :: else -> skip
       fi;
       w[i].answered = true;
       if
       :: w[i].reply_lost -> clear_write (i)
       :: else -> skip
       fi;
       i = 0 }
  od
}

active proctype environment ()
{
  /* One store outage; the version becomes faulty at any moment.  */
  do
  :: atomic { !version_faulty -> version_faulty = true }
  :: atomic { !outage -> outage = true }
  :: atomic { outage -> outage = false; break }
  od;
  version_faulty = true
}

inline post_write (new_rung, new_rolled_back, is_claim)
{
  w[me].used = true;
  w[me].answered = false;
  w[me].ok = false;
  w[me].expected = read_revision[me];
  w[me].fence = held_fence[me];
  w[me].step = read_step[me] + 1;
  w[me].rung = new_rung;
  w[me].rolled_back = new_rolled_back;
  w[me].claim = is_claim
}

inline read_record ()
{
  record_read[me] = true;
  read_revision[me] = revision;
  read_step[me] = step;
  read_rung[me] = rung;
  read_rolled_back[me] = rolled_back
}

/* ro_apply_state: newer by (fence, step) only.  */
inline apply_state (s_fence, s_step, s_rung, s_rolled_back)
{
  if
  :: s_rolled_back -> halted[me] = true
  :: else -> skip
  fi;
#ifdef HALT_IS_NOT_STICKY
  if
  :: !s_rolled_back && s_fence == follower_fence[me] &&
     s_step > follower_step[me] ->
     halted[me] = false
  :: else -> skip
  fi;
#endif
  if
#ifdef APPLY_OLDER
  :: true ->
#else
  :: s_fence > follower_fence[me] ||
     (s_fence == follower_fence[me] && s_step > follower_step[me]) ->
#endif
     follower_fence[me] = s_fence; follower_step[me] = s_step;
     follower_rung[me] = s_rung
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
     state of the store when it answers.  It isn't ready when neither
     answers.  */
  atomic {
    (up[1 - me] || !outage) ->
    if
    :: up[1 - me] ->
       apply_state (follower_fence[1 - me], follower_step[1 - me],
                    follower_rung[1 - me], false);
#ifndef JOIN_WITHOUT_HALTS
       halted[me] = halted[1 - me]
#endif
    :: else -> skip
    fi;
    if
    :: !outage -> apply_state (fence, step, rung, rolled_back)
    :: else -> skip
    fi;
    assert (!up[1 - me] || !halted[1 - me] || halted[me]);
    up[me] = true;
    step_before = follower_step[me]
  }
end:
  do
  /* Follower: the record from the store (watch) or from the peer.  */
  :: atomic { !outage &&
              (fence != follower_fence[me] || step != follower_step[me]) ->
       share_before = SHARE (me);
       if
       :: halted[me] -> skip
       :: else -> share_before = TOP
       fi;
       apply_state (fence, step, rung, rolled_back);
       assert (SHARE (me) <= share_before);
       assert (follower_step[me] >= step_before);
       step_before = follower_step[me]; share_before = 0 }
  :: atomic { up[1 - me] && follower_step[1 - me] != follower_step[me] ->
       share_before = TOP;
       if
       :: halted[me] -> share_before = 0
       :: else -> skip
       fi;
       apply_state (follower_fence[1 - me], follower_step[1 - me],
                    follower_rung[1 - me], false);
       assert (SHARE (me) <= share_before);
       assert (follower_step[me] >= step_before);
       step_before = follower_step[me]; share_before = 0 }
  /* The local evidence test crosses its boundary; HALT is sent to the peer.  */
  :: atomic { version_faulty && follower_rung[me] > 0 && !halted[me] ->
       halted[me] = true; halt_in_flight[1 - me] = true }
  :: atomic { halt_in_flight[me] ->
       if
       :: halt_in_flight[me] = false
       :: skip /* duplicate */
       fi;
       if
       :: !halted[me] -> halted[me] = true
       :: else -> halt_in_flight[me] = false
       fi }

  /* Controller: lease.  It may lapse while this VM still acts as its
     holder.  */
  /* The VMs are symmetric, so only VM 0 can take the first lease.  */
  :: atomic { !outage && lease_holder == VMS && leases < 2 &&
              (leases > 0 || me == 0) ->
       leases++; lease_fence++; lease_holder = me; held_fence[me] = lease_fence;
       claim_stored[me] = false; record_read[me] = false }
  :: atomic { lease_holder == me -> lease_holder = VMS }

  /* Read, also after a lost reply or a conflict.  */
  :: atomic { !outage && held_fence[me] > 0 && !record_read[me] ->
       read_record ();
#ifndef WRITE_OVER_HIGHER_FENCE
       /* A later holder has claimed the record: this lease is over.  */
       if
       :: fence > held_fence[me] -> held_fence[me] = 0; record_read[me] = false;
          claim_stored[me] = false; goto end
       :: else -> skip
       fi;
#endif
#ifdef NO_CLAIM
       claim_stored[me] = true;
#else
       if
       :: fence == held_fence[me] -> claim_stored[me] = true
       :: else -> skip
       fi;
#endif
     }
  /* Write: claim first, then roll back or raise the traffic share.  */
  :: atomic { held_fence[me] > 0 && record_read[me] && !read_rolled_back[me] &&
              !w[me].used && read_step[me] < 4 ->
       if
#ifndef NO_CLAIM
       :: !claim_stored[me] -> post_write (read_rung[me], false, true)
#endif
       :: claim_stored[me] && halted[me] -> post_write (0, true, false)
       :: claim_stored[me] && !halted[me] && read_rung[me] < TOP ->
          post_write (read_rung[me] + 1, false, false)
       :: claim_stored[me] && !halted[me] && read_rung[me] == TOP -> goto end
       fi;
       goto waiting }
  :: atomic { !restarted ->
       restarted = true; up[me] = false; halted[me] = false;
       follower_fence[me] = 0; follower_step[me] = 0; follower_rung[me] = 0;
       held_fence[me] = 0;
       claim_stored[me] = false; record_read[me] = false;
       halt_in_flight[me] = false;
       share_before = 0; step_before = 0;
       goto starting }
  od;
waiting:
  if
  :: atomic { w[me].answered && w[me].ok ->
       read_revision[me]++; read_step[me] = w[me].step;
       read_rung[me] = w[me].rung;
       read_rolled_back[me] = w[me].rolled_back;
       if
       :: w[me].claim -> claim_stored[me] = true
       :: else -> skip
       fi;
       clear_write (me);
       goto end }
  :: atomic { w[me].answered && !w[me].ok ->
       record_read[me] = false; clear_write (me); goto end }
  /* Lost reply: the record is read again.  The write may still take effect;
     the revision decides which write succeeds.  */
  :: atomic { w[me].answered || !w[2].used ->
#ifdef LOST_ANSWER_IS_SUCCESS
       read_revision[me]++; read_step[me] = w[me].step;
       read_rung[me] = w[me].rung;
       read_rolled_back[me] = w[me].rolled_back;
       if
       :: w[me].claim -> claim_stored[me] = true
       :: else -> skip
       fi;
#else
       record_read[me] = false;
#endif
       lose_reply ();
       goto end }
  fi
}

init
{
  atomic { run vm (0); run vm (1) }
}
