/* Two consecutive changes of the witness set of node A, and a collector that
   removes A with a view of any age.  Sets: {0,1,2}, {0,1,3}, {0,3,4}.  A
   change works like a move: A raises its floor and needs a majority of both
   sets (joint quorum) until a majority of the old set has acked that floor.
   The lease uses the acks that granted it, and ends when the first of them
   expires.  A certificate of the set before a change is valid by itself if no
   promise in it shows the change; a certificate of the set after the change if
   some promise does.  Property: A does not hold its lease once it has been
   removed.

   A switch turns one rule off:
   JOINT_OFF: A uses the new set alone as soon as it has applied the change.
   LEFTOVER: a lease that uses acks of the old set only stays valid after A has
     left the joint quorum.
   FLOOR_OFF: a certificate of the set before the change is valid whatever its
     floor.
   NEW_ONLY: a certificate of the set after a change is enough.
   RESTART_SAME: a restarted witness keeps its incarnation but not its memory.
   STALE_OFF: a certificate is valid although its floor is beyond the
     collector's view.  */

#define W 5
bool ack_live[W] = true; /* the last ack of the witness has not expired */
bool promised[W];
byte acked_floor[W]; /* highest floor that the witness acked */
bool lease_uses[W]; /* the lease uses the ack of this witness */
byte lease_floor; /* lowest floor of the renewals that the lease uses */
byte restarts;
byte logged_changes = 0; /* changes of the witness set on the log */
byte a_applied; /* changes that A has applied */
bool joint;
byte c_applied; /* changes that the collector has applied */
bool successor_serves;

#define TWO_OF_THREE(x, y, z) ((x) + (y) + (z) >= 2)
#define IN_SET(s, i) ((s == 0 && i <= 2) || (s == 1 && (i <= 1 || i == 3)) || \
                      (s == 2 && (i == 0 || i >= 3)))
#define MAJORITY(s, b) (b[0] * IN_SET (s, 0) + b[1] * IN_SET (s, 1) + \
                        b[2] * IN_SET (s, 2) + b[3] * IN_SET (s, 3) + \
                        b[4] * IN_SET (s, 4) >= 2)

/* A lease is valid while all acks that it uses are live; a lease that uses a
   renewal sent before a change has ended when an ack of a later renewal has
   expired.  */
#define ACK_HOLDS(i) ((!lease_uses[i] || ack_live[i]) && \
  (ack_live[i] || acked_floor[i] <= lease_floor))
#define a_holds_lease ((lease_uses[0] || lease_uses[1] || lease_uses[2] || \
                        lease_uses[3] || lease_uses[4]) && \
                       ACK_HOLDS (0) && ACK_HOLDS (1) && ACK_HOLDS (2) && \
                       ACK_HOLDS (3) && ACK_HOLDS (4))

#ifdef JOINT_OFF
#define NEEDS_JOINT false
#else
#define NEEDS_JOINT true
#endif
#ifdef STALE_OFF
#define NOT_STALE true
#else
#define NOT_STALE (top_floor <= c_applied)
#endif
#ifdef FLOOR_OFF
#define FLOOR_BELOW_CHANGE true
#else
#define FLOOR_BELOW_CHANGE (top_floor_before < c_applied)
#endif
#ifdef NEW_ONLY
#define FLOOR_SHOWS_CHANGE true
#else
#define FLOOR_SHOWS_CHANGE (top_floor >= c_applied)
#endif

inline check ()
{
  assert (!(successor_serves && a_holds_lease))
}

/* A witness acks repeatedly until it promises, so its acks expire only after
   its promise; a lost witness takes no more steps.  */
inline witness (i)
{
  if
  :: !promised[i] && acked_floor[i] < a_applied -> acked_floor[i] = a_applied
  :: !promised[i] -> promised[i] = true
  :: promised[i] && ack_live[i] -> ack_live[i] = false
#ifdef RESTART_SAME
  :: restarts < 1 ->
     restarts++;
     promised[i] = false;
     ack_live[i] = true;
     acked_floor[i] = 0
#endif
  fi;
  check ()
}

/* Acks in transit need no state: an ack that A has not received is one that A
   does not use, and A may leave out any ack.  */

/* A uses the ack of witness i or not.  LEAST is the first change that has the
   witness in its set: 0 for a witness of the first set, and then every ack may
   be used.  */
inline pick_ack (i, least)
{
  if
  :: ack_live[i] && acked_floor[i] >= least ->
     picked[i] = true;
     if
     :: acked_floor[i] < lowest_floor -> lowest_floor = acked_floor[i]
     :: else
     fi
  :: true
  fi
}

/* The collector has the promise of witness i or not; with it, the acks of the
   witness have expired.  */
inline gather_promise (i)
{
  if
  :: promised[i] && !ack_live[i] ->
     picked[i] = true;
     if
     :: acked_floor[i] > top_floor &&
        (IN_SET (c_applied, i) || IN_SET (c_applied - 1, i)) ->
        top_floor = acked_floor[i]
     :: else
     fi;
     if
     :: acked_floor[i] > top_floor_before && c_applied > 0 &&
        IN_SET (c_applied - 1, i) ->
        top_floor_before = acked_floor[i]
     :: else
     fi
  :: true
  fi
}

inline clear_picks ()
{
  picked[0] = false;
  picked[1] = false;
  picked[2] = false;
  picked[3] = false;
  picked[4] = false;
  top_floor = 0;
  top_floor_before = 0;
  lowest_floor = W
}

inline drop_lease ()
{
  lease_uses[0] = false;
  lease_uses[1] = false;
  lease_uses[2] = false;
  lease_uses[3] = false;
  lease_uses[4] = false
}

/* A majority of the old set has acked the change: A leaves the joint quorum
   and uses the new set alone.  */
inline leave_joint ()
{
  joint = false;
#ifndef LEFTOVER
  drop_lease ();
#endif
  check ()
}

active proctype world ()
{
  bool picked[W];
  byte top_floor, top_floor_before;
  byte lowest_floor = W;

  do
  /* The log: A proposes a change only when the previous one is complete.  */
  :: d_step { logged_changes == 0 -> logged_changes = 1 }
  :: d_step { logged_changes == 1 && a_applied == 1 && !joint ->
     logged_changes = 2 }
  :: d_step { a_applied < logged_changes && !joint -> a_applied++;
     joint = NEEDS_JOINT; check () }
  :: d_step { c_applied < logged_changes -> c_applied++ }
  :: d_step { joint && a_applied == 1 &&
     TWO_OF_THREE (acked_floor[0] >= 1, acked_floor[1] >= 1,
     acked_floor[2] >= 1) -> leave_joint () }
  :: d_step { joint && a_applied == 2 &&
     TWO_OF_THREE (acked_floor[0] >= 2, acked_floor[1] >= 2,
     acked_floor[3] >= 2) -> leave_joint () }
  /* A renews its lease with any acks that make up the majorities.  */
  :: atomic {
       true ->
       pick_ack (0, 0);
       pick_ack (1, 0);
       pick_ack (2, 0);
       pick_ack (3, 1);
       pick_ack (4, 2);
       if
       :: MAJORITY (a_applied, picked) &&
          (!joint || MAJORITY (a_applied - 1, picked)) ->
          lease_uses[0] = picked[0];
          lease_uses[1] = picked[1];
          lease_uses[2] = picked[2];
          lease_uses[3] = picked[3];
          lease_uses[4] = picked[4];
          lease_floor = lowest_floor
       :: else
       fi;
       clear_picks ();
       check ()
     }
  :: atomic { witness (0) }
  :: atomic { witness (1) }
  :: atomic { witness (2) }
  :: atomic { witness (3) }
  :: atomic { witness (4) }
  /* The collector certifies with any promises.  */
  :: atomic {
       !successor_serves ->
       gather_promise (0);
       gather_promise (1);
       gather_promise (2);
       gather_promise (3);
       gather_promise (4);
       if
       :: c_applied == 0 && MAJORITY (0, picked) && NOT_STALE ->
          successor_serves = true
       :: c_applied > 0 && MAJORITY (c_applied - 1, picked) &&
          FLOOR_BELOW_CHANGE -> successor_serves = true
       :: c_applied > 0 && MAJORITY (c_applied, picked) &&
          FLOOR_SHOWS_CHANGE && NOT_STALE -> successor_serves = true
       :: else
       fi;
       clear_picks ();
       check ()
     }
  od
}
