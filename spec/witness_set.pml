/* Two changes of the witness set of holder A, one after the other, and a
   collector that removes A with a view of any age.  Sets: {0,1,2}, {0,1,3},
   {0,3,4}.  A follows a change as a giving-up: it raises its floor and needs a
   majority of both sets until a majority of the old one has acked that floor.
   The lease rests on the acks that granted it, and ends when the first of
   them lapses.  A certificate of the set before a change counts alone if no
   promise in it shows the change; one of the set after it if some does.

   JOINT_OFF: A goes over to the new set as soon as it has folded the change.
   LEFTOVER: a lease that rests on the old set's acks alone lasts on after A
     has gone over to the new set.
   FLOOR_OFF: a certificate of the set before counts whatever its floor.
   NEW_ONLY: a certificate of the set after a change is enough.
   RESTART_SAME: a witness that restarts keeps its name but not its memory.
   STALE_OFF: a certificate counts although its floor is past the view.  */

#define W 5
bool live[W] = true; /* the last ack has not lapsed */
bool promised[W];
byte floor_of[W];    /* highest floor acked */
bool rests[W];       /* the lease rests on this witness's ack */
byte oldest;         /* lowest floor among the renewals that it rests on */
byte restarts;
byte changes = 0;    /* changes on the log */
byte a_pos;          /* changes A has folded */
bool joint;
byte c_pos;          /* changes the collector has folded */
bool taken;

#define TWO(x, y, z) ((x) + (y) + (z) >= 2)
#define IN(s, i) ((s == 0 && i <= 2) || (s == 1 && (i <= 1 || i == 3)) || \
                  (s == 2 && (i == 0 || i >= 3)))
#define MAJORITY(s, b) (b[0] * IN (s, 0) + b[1] * IN (s, 1) + \
                        b[2] * IN (s, 2) + b[3] * IN (s, 3) + \
                        b[4] * IN (s, 4) >= 2)

/* The lease holds while all acks that it rests on are live; one that rests on
   a renewal sent before a change has ended when an ack of a later renewal has
   lapsed.  */
#define LASTS(i) ((!rests[i] || live[i]) && (live[i] || floor_of[i] <= oldest))
#define holds ((rests[0] || rests[1] || rests[2] || rests[3] || rests[4]) && \
               LASTS (0) && LASTS (1) && LASTS (2) && LASTS (3) && LASTS (4))

#ifdef JOINT_OFF
#define JOINT false
#else
#define JOINT true
#endif
#ifdef STALE_OFF
#define KNOWN true
#else
#define KNOWN (top <= c_pos)
#endif
#ifdef FLOOR_OFF
#define BELOW true
#else
#define BELOW (top_before < c_pos)
#endif
#ifdef NEW_ONLY
#define SHOWN true
#else
#define SHOWN (top >= c_pos)
#endif

inline check ()
{
  assert (!(taken && holds))
}

/* A witness that has not promised acks again and again, so its acks lapse only
   after its promise; one that is lost takes no more steps.  */
inline witness (i)
{
  if
  :: !promised[i] && floor_of[i] < a_pos -> floor_of[i] = a_pos
  :: !promised[i] -> promised[i] = true
  :: promised[i] && live[i] -> live[i] = false
#ifdef RESTART_SAME
  :: restarts < 1 ->
     restarts++;
     promised[i] = false;
     live[i] = true;
     floor_of[i] = 0
#endif
  fi;
  check ()
}

/* An ack that A has not heard of is one that it does not use: A may do without
   any step, so acks need no way of their own.  */

/* A may take in an ack of witness I: of one in the first set always, of
   another one only after the change that named it.  */
inline pick (i, least)
{
  if
  :: live[i] && floor_of[i] >= least ->
     p[i] = true;
     if
     :: floor_of[i] < low -> low = floor_of[i]
     :: else
     fi
  :: true
  fi
}

/* The collector may have the promise of witness I, lapsed.  */
inline gather (i)
{
  if
  :: promised[i] && !live[i] ->
     p[i] = true;
     if
     :: floor_of[i] > top && (IN (c_pos, i) || IN (c_pos - 1, i)) ->
        top = floor_of[i]
     :: else
     fi;
     if
     :: floor_of[i] > top_before && c_pos > 0 && IN (c_pos - 1, i) ->
        top_before = floor_of[i]
     :: else
     fi
  :: true
  fi
}

inline clear ()
{
  p[0] = false;
  p[1] = false;
  p[2] = false;
  p[3] = false;
  p[4] = false;
  top = 0;
  top_before = 0;
  low = W
}

inline no_lease ()
{
  rests[0] = false;
  rests[1] = false;
  rests[2] = false;
  rests[3] = false;
  rests[4] = false
}

/* The old set has acked the change: A goes over to the new one.  */
inline go_over ()
{
  joint = false;
#ifndef LEFTOVER
  no_lease ();
#endif
  check ()
}

active proctype world ()
{
  bool p[W];
  byte top, top_before;
  byte low = W;

  do
  /* The log: A proposes a change only when the one before is done.  */
  :: d_step { changes == 0 -> changes = 1 }
  :: d_step { changes == 1 && a_pos == 1 && !joint -> changes = 2 }
  :: d_step { a_pos < changes && !joint -> a_pos++; joint = JOINT; check () }
  :: d_step { c_pos < changes -> c_pos++ }
  :: d_step { joint && a_pos == 1 &&
     TWO (floor_of[0] >= 1, floor_of[1] >= 1, floor_of[2] >= 1) -> go_over () }
  :: d_step { joint && a_pos == 2 &&
     TWO (floor_of[0] >= 2, floor_of[1] >= 2, floor_of[3] >= 2) -> go_over () }
  /* A's lease.  */
  :: atomic {
       true ->
       pick (0, 0);
       pick (1, 0);
       pick (2, 0);
       pick (3, 1);
       pick (4, 2);
       if
       :: MAJORITY (a_pos, p) && (!joint || MAJORITY (a_pos - 1, p)) ->
          rests[0] = p[0];
          rests[1] = p[1];
          rests[2] = p[2];
          rests[3] = p[3];
          rests[4] = p[4];
          oldest = low
       :: else
       fi;
       clear ();
       check ()
     }
  :: atomic { witness (0) }
  :: atomic { witness (1) }
  :: atomic { witness (2) }
  :: atomic { witness (3) }
  :: atomic { witness (4) }
  /* The collector.  */
  :: atomic {
       !taken ->
       gather (0);
       gather (1);
       gather (2);
       gather (3);
       gather (4);
       if
       :: c_pos == 0 && MAJORITY (0, p) && KNOWN -> taken = true
       :: c_pos > 0 && MAJORITY (c_pos - 1, p) && BELOW -> taken = true
       :: c_pos > 0 && MAJORITY (c_pos, p) && SHOWN && KNOWN -> taken = true
       :: else
       fi;
       clear ();
       check ()
     }
  od
}
