/* The lease of holder A over three witnesses, and a collector that removes A.
   Time is discrete.  A renewal and its ack take any time; a freeze is a
   process that takes no step while time goes on.  Over one lease the clocks
   of any two processes differ by at most DRIFT ticks.

   FROM_RECEIPT: the lease counts from the ack's receipt, not from sending.
   CACHED: A admits by what its last step found, not by the clock.
   DRIFT_OFF: a witness leaves the drift out of the time it tells.
   NO_WAIT: the collector does not wait for the last acks to lapse.
   SHORTEST: the collector waits for the shortest of the times it was told.
   FORGET: a witness acks again after it has promised.
   RESTART_SAME: a witness that restarts keeps its name but not its memory.
   MINORITY: one promise makes a certificate.  */

#define W 3
#define LEASE 3
#define DRIFT 1
#ifdef DRIFT_OFF
#define ALLOWED LEASE
#else
#define ALLOWED (LEASE + DRIFT)
#endif

mtype = { idle, renewal, ack, seen };

byte left = LEASE;  /* of A's lease, on A's clock in real ticks */
bool held = true;   /* what A's last step found */
byte age = 0;       /* ticks since A sent the round on its way */
mtype round[W] = idle;
byte last[W] = ALLOWED; /* until the witness counts its last ack lapsed */
bool promised[W];
bool gone[W];           /* restarted: a new incarnation, in no set */
byte told[W] = 255;     /* time the witness told, 255 for no promise */
bool collected;         /* the collector has its majority */
byte wait;              /* ticks it still waits */
bool taken;             /* the successor serves */
byte restarts = 0;

#ifdef CACHED
#define admits held
#else
#define admits (left > 0)
#endif
#ifdef FORGET
#define MAY_ACK(i) true
#else
#define MAY_ACK(i) (!promised[i])
#endif
#ifdef MINORITY
#define NEED 1
#else
#define NEED 2
#endif

inline check ()
{
  assert (!(taken && admits))
}

inline witness (i)
{
  if
  :: round[i] == renewal && !gone[i] && MAY_ACK (i) ->
     round[i] = ack;
     last[i] = ALLOWED
  :: round[i] == ack -> round[i] = seen
  :: !promised[i] && !gone[i] ->
     promised[i] = true
  :: promised[i] && !gone[i] && told[i] == 255 && !collected ->
     told[i] = last[i]
  :: restarts < 1 && !gone[i] ->
     restarts++;
#ifdef RESTART_SAME
     promised[i] = false;
     last[i] = 0
#else
     gone[i] = true
#endif
  fi
}

inline down (x)
{
  if
  :: x > 0 -> x--
  :: else
  fi
}

active proctype world ()
{
  byte longest, shortest;
  byte extra;

  do
  /* Time.  */
  :: d_step {
       true ->
       down (left);
       down (last[0]);
       down (last[1]);
       down (last[2]);
       if
       :: age < LEASE + DRIFT -> age++
       :: else
       fi;
       if
       :: collected -> down (wait)
       :: else
       fi;
       check ()
     }
  /* A looks at its clock, renews, takes in a majority of acks.  */
  :: d_step { true -> held = (left > 0) }
  :: d_step { true -> age = 0; round[0] = renewal; round[1] = renewal;
     round[2] = renewal }
  :: atomic {
       (round[0] == seen) + (round[1] == seen) + (round[2] == seen) >= 2 ->
       if
       :: extra = 0
       :: extra = DRIFT
       fi;
       if
#ifdef FROM_RECEIPT
       :: LEASE + extra > left -> left = LEASE + extra
#else
       :: LEASE + extra > age + left -> left = LEASE + extra - age
#endif
       :: else
       fi;
       held = (left > 0);
       extra = 0;
       age = 0;
       round[0] = idle;
       round[1] = idle;
       round[2] = idle;
       check ()
     }
  /* Witnesses.  */
  :: atomic { witness (0) }
  :: atomic { witness (1) }
  :: atomic { witness (2) }
  /* The collector, and the successor that relies on it.  */
  :: d_step {
       !collected &&
       (told[0] < 255) + (told[1] < 255) + (told[2] < 255) >= NEED ->
       longest = 0;
       shortest = 255;
       if
       :: told[0] < 255 -> longest = told[0]; shortest = told[0]
       :: else
       fi;
       if
       :: told[1] < 255 && told[1] > longest -> longest = told[1]
       :: else
       fi;
       if
       :: told[1] < shortest -> shortest = told[1]
       :: else
       fi;
       if
       :: told[2] < 255 && told[2] > longest -> longest = told[2]
       :: else
       fi;
       if
       :: told[2] < shortest -> shortest = told[2]
       :: else
       fi;
#ifdef SHORTEST
       wait = shortest;
#else
       wait = longest;
#endif
       collected = true;
       longest = 0;
       shortest = 0
     }
#ifdef NO_WAIT
  :: d_step { collected && !taken -> taken = true; check () }
#else
  :: d_step { collected && wait == 0 && !taken -> taken = true; check () }
#endif
  od
}
