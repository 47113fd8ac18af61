/* The lease of node A, granted by three witnesses, and a collector that
   removes A from the cluster.  Time is discrete.  A renewal and its ack may be
   delayed for any time; a frozen process takes no step while time passes.
   Over one lease term the clocks of any two processes differ by at most DRIFT
   ticks.  Property: A and its successor never serve at the same time.

   A switch turns one rule off:
   FROM_RECEIPT: the lease counts from the receipt of the ack, not from the
     sending of the renewal.
   CACHED: A decides by the lease state at its last step, not by the clock.
   DRIFT_OFF: a witness leaves the drift out of the time that it reports.
   NO_WAIT: the collector does not wait until the last acks have expired.
   SHORTEST: the collector waits for the shortest of the reported times.
   FORGET: a witness acks again after it has promised.
   RESTART_SAME: a restarted witness keeps its incarnation but not its memory.
   MINORITY: one promise makes a certificate.  */

#define W 3
#define LEASE 3
#define DRIFT 1
#ifdef DRIFT_OFF
#define ACK_TICKS LEASE
#else
#define ACK_TICKS (LEASE + DRIFT)
#endif

mtype = { idle, renewal, ack, received };

byte lease_left = LEASE; /* ticks left of A's lease, on A's clock */
bool cached_valid = true; /* lease state at A's last step */
byte round_age = 0; /* ticks since A sent the current round */
mtype round[W] = idle;
byte ack_left[W] = ACK_TICKS; /* ticks until the witness's last ack expires */
bool promised[W];
bool restarted[W]; /* has a new incarnation, in no witness set */
byte reported_left[W] = 255; /* time in the promise, 255: no promise */
bool certified; /* the collector has a majority of promises */
byte collector_wait; /* ticks that the collector still waits */
bool successor_serves; /* the successor has started to serve */
byte restarts = 0;

#ifdef CACHED
#define may_serve cached_valid
#else
#define may_serve (lease_left > 0)
#endif
#ifdef FORGET
#define MAY_ACK(i) true
#else
#define MAY_ACK(i) (!promised[i])
#endif
#ifdef MINORITY
#define QUORUM 1
#else
#define QUORUM 2
#endif

inline check ()
{
  assert (!(successor_serves && may_serve))
}

inline witness (i)
{
  if
  :: round[i] == renewal && !restarted[i] && MAY_ACK (i) ->
     round[i] = ack;
     ack_left[i] = ACK_TICKS
  :: round[i] == ack -> round[i] = received
  :: !promised[i] && !restarted[i] ->
     promised[i] = true
  :: promised[i] && !restarted[i] && reported_left[i] == 255 && !certified ->
     reported_left[i] = ack_left[i]
  :: restarts < 1 && !restarted[i] ->
     restarts++;
#ifdef RESTART_SAME
     promised[i] = false;
     ack_left[i] = 0
#else
     restarted[i] = true
#endif
  fi
}

inline decrement (x)
{
  if
  :: x > 0 -> x--
  :: else
  fi
}

active proctype world ()
{
  byte longest, shortest;
  byte drift;

  do
  /* One tick passes.  */
  :: d_step {
       true ->
       decrement (lease_left);
       decrement (ack_left[0]);
       decrement (ack_left[1]);
       decrement (ack_left[2]);
       if
       :: round_age < LEASE + DRIFT -> round_age++
       :: else
       fi;
       if
       :: certified -> decrement (collector_wait)
       :: else
       fi;
       check ()
     }
  /* A reads its clock, sends a round of renewals, or extends its lease by a
     majority of acks.  */
  :: d_step { true -> cached_valid = (lease_left > 0) }
  :: d_step { true -> round_age = 0; round[0] = renewal; round[1] = renewal;
     round[2] = renewal }
  :: atomic {
       (round[0] == received) + (round[1] == received) +
       (round[2] == received) >= 2 ->
       if
       :: drift = 0
       :: drift = DRIFT
       fi;
       if
#ifdef FROM_RECEIPT
       :: LEASE + drift > lease_left -> lease_left = LEASE + drift
#else
       :: LEASE + drift > round_age + lease_left ->
          lease_left = LEASE + drift - round_age
#endif
       :: else
       fi;
       cached_valid = (lease_left > 0);
       drift = 0;
       round_age = 0;
       round[0] = idle;
       round[1] = idle;
       round[2] = idle;
       check ()
     }
  /* Witnesses.  */
  :: atomic { witness (0) }
  :: atomic { witness (1) }
  :: atomic { witness (2) }
  /* The collector, and the successor that serves once A is removed.  */
  :: d_step {
       !certified &&
       (reported_left[0] < 255) + (reported_left[1] < 255) +
       (reported_left[2] < 255) >= QUORUM ->
       longest = 0;
       shortest = 255;
       if
       :: reported_left[0] < 255 -> longest = reported_left[0];
          shortest = reported_left[0]
       :: else
       fi;
       if
       :: reported_left[1] < 255 && reported_left[1] > longest ->
          longest = reported_left[1]
       :: else
       fi;
       if
       :: reported_left[1] < shortest -> shortest = reported_left[1]
       :: else
       fi;
       if
       :: reported_left[2] < 255 && reported_left[2] > longest ->
          longest = reported_left[2]
       :: else
       fi;
       if
       :: reported_left[2] < shortest -> shortest = reported_left[2]
       :: else
       fi;
#ifdef SHORTEST
       collector_wait = shortest;
#else
       collector_wait = longest;
#endif
       certified = true;
       longest = 0;
       shortest = 0
     }
#ifdef NO_WAIT
  :: d_step { certified && !successor_serves -> successor_serves = true;
     check () }
#else
  :: d_step { certified && collector_wait == 0 && !successor_serves ->
     successor_serves = true; check () }
#endif
  od
}
