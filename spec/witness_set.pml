/* Two changes of the witness set of holder A, one after the other, and a
   collector that removes A with a view of any age.  Sets: {0,1,2}, {0,1,3},
   {0,3,4}.  A follows a change as a giving-up: it needs a majority of both
   sets until a majority of the old one has acked a floor at the change.  A
   certificate of the set before a change counts alone if its highest floor is
   below the change; one of the set after it counts alone if some promise, of
   either set, shows a floor at the change.

   JOINT_OFF: A goes over to the new set as soon as it has folded the change.
   FLOOR_OFF: a certificate of the set before counts whatever its floor.
   NEW_ONLY: a certificate of the set after a change is enough.
   RESTART_SAME: a witness that restarts keeps its name but not its memory.
   STALE_OFF: a certificate counts although its floor is past the view.  */

#define W 5
bool live[W] = true; /* an ack to A has not lapsed */
bool promised[W];
byte floor_of[W];  /* highest floor acked */
byte seen[W];      /* as A knows it */
byte restarts;
byte length = 0;   /* changes on the log */
byte a_pos;        /* changes A has folded */
bool joint;
byte c_pos;        /* changes the collector has folded */
bool taken;

#define TWO(x, y, z) ((x) + (y) + (z) >= 2)
#define LIVE0 TWO (live[0], live[1], live[2])
#define LIVE1 TWO (live[0], live[1], live[3])
#define LIVE2 TWO (live[0], live[3], live[4])

/* A holds its lease: a majority of each set that counts has live acks.  */
#define HOLDS0 (a_pos == 0 && LIVE0)
#define HOLDS1 (a_pos == 1 && LIVE1 && (!joint || LIVE0))
#define HOLDS2 (a_pos == 2 && LIVE2 && (!joint || LIVE1))
#define holds (HOLDS0 || HOLDS1 || HOLDS2)

/* A promise counts once the last ack has lapsed.  */
#define P(i) (promised[i] && !live[i])
#define PAIR(i, j) (P (i) && P (j))
#define PAIR_BELOW(i, j, f) (PAIR (i, j) && floor_of[i] < f && floor_of[j] < f)
#define CERT0 (PAIR (0, 1) || PAIR (0, 2) || PAIR (1, 2))
#define CERT1 (PAIR (0, 1) || PAIR (0, 3) || PAIR (1, 3))
#define CERT2 (PAIR (0, 3) || PAIR (0, 4) || PAIR (3, 4))
#define BELOW0(f) (PAIR_BELOW (0, 1, f) || PAIR_BELOW (0, 2, f) || PAIR_BELOW (1, 2, f))
#define BELOW1(f) (PAIR_BELOW (0, 1, f) || PAIR_BELOW (0, 3, f) || PAIR_BELOW (1, 3, f))

#define SHOWS(i, f) (P (i) && floor_of[i] >= f)
#define SHOWN1 (SHOWS (0, 1) || SHOWS (1, 1) || SHOWS (2, 1) || SHOWS (3, 1))
#define SHOWN2 (SHOWS (0, 2) || SHOWS (1, 2) || SHOWS (3, 2) || SHOWS (4, 2))

#ifdef FLOOR_OFF
#define OLD0 CERT0
#define OLD1 CERT1
#else
#define OLD0 BELOW0 (1)
#define OLD1 BELOW1 (2)
#endif
#ifdef NEW_ONLY
#define AFTER1 CERT1
#define AFTER2 CERT2
#else
#define AFTER1 (CERT1 && SHOWN1)
#define AFTER2 (CERT2 && SHOWN2)
#endif
#ifdef STALE_OFF
#define ONE0 CERT0
#define ONE1 AFTER1
#else
#define ONE0 BELOW0 (1)
#define ONE1 (AFTER1 && BELOW1 (2))
#endif
#define certificate ((c_pos == 0 && ONE0) || (c_pos == 1 && (OLD0 || ONE1)) || \
                     (c_pos == 2 && (OLD1 || AFTER2)))

#ifdef JOINT_OFF
#define JOINT false
#else
#define JOINT true
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
  :: seen[i] < floor_of[i] -> seen[i] = floor_of[i]
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

active proctype world ()
{
  do
  /* The log: A proposes a change only when the one before is done.  */
  :: d_step { length == 0 -> length = 1 }
  :: d_step { length == 1 && a_pos == 1 && !joint -> length = 2 }
  :: d_step { a_pos < length && !joint -> a_pos++; joint = JOINT; check () }
  :: d_step { c_pos < length -> c_pos++ }
  :: d_step { joint && a_pos == 1 &&
     TWO (seen[0] >= 1, seen[1] >= 1, seen[2] >= 1) ->
     joint = false; check () }
  :: d_step { joint && a_pos == 2 &&
     TWO (seen[0] >= 2, seen[1] >= 2, seen[3] >= 2) ->
     joint = false; check () }
  :: atomic { witness (0) }
  :: atomic { witness (1) }
  :: atomic { witness (2) }
  :: atomic { witness (3) }
  :: atomic { witness (4) }
  :: d_step { !taken && certificate -> taken = true; check () }
  od
}
