/* A once request that its caller sends again.  Copies travel through any
   ingress node and arrive late, at any owner.  The slice has three grants one
   after the other, by move or takeover; the third is again at the first
   node.  An owner runs a copy only if its stamp is of the owner's own grant,
   not older than the memory kept, and its id is not known.

   STAMP_OFF: an owner does not look at the stamp.
   MEMORY_OFF: an owner does not remember ids.
   HORIZON_OFF: an owner forgets ids but not the stamps that go with them.
   RESTAMP: the caller takes a new stamp for a copy sent under an old one.
   GRANT_ONLY: a node that gets the slice again takes its old stamps.
   RETRY_UNKNOWN: the ingress answers not run when it has lost an answer.  */

#define COPIES 3
#define NO_STAMP 255

mtype = { unused, sent, running, answered, lost };

mtype copy[COPIES] = unused;
byte stamp[COPIES] = NO_STAMP;
byte grant = 0;         /* the grant in force: 0 and 2 at A, 1 at B */
bool known = false;     /* the id is in the memory of the grant in force */
bool forgotten = false; /* the memory has dropped the stamp's time */
byte runs = 0;
byte offered = NO_STAMP;
bool stamped = false;   /* the caller has sent a copy with a stamp */
byte its_stamp = NO_STAMP;
bool told_not_run = false;
bool told_done = false;

#ifdef STAMP_OFF
#define FRESH(s) true
#else
#ifdef GRANT_ONLY
#define FRESH(s) ((s) == grant || ((s) == 0 && grant == 2))
#else
#define FRESH(s) ((s) == grant)
#endif
#endif
#ifdef HORIZON_OFF
#define REMEMBERED true
#else
#define REMEMBERED (!forgotten)
#endif

inline owner (i)
{
  if
  :: copy[i] == sent && stamp[i] == NO_STAMP ->
     offered = grant;
     copy[i] = answered
  :: copy[i] == sent && stamp[i] != NO_STAMP ->
     if
     :: FRESH (stamp[i]) && REMEMBERED && !known ->
#ifndef MEMORY_OFF
        known = true;
#endif
        runs++;
        copy[i] = running
     :: else -> copy[i] = lost
     fi
  :: copy[i] == running -> copy[i] = lost
  :: copy[i] == running -> copy[i] = answered; told_done = true
#ifdef RETRY_UNKNOWN
  :: copy[i] == lost && runs > 0 -> told_not_run = true
#endif
  fi;
  assert (runs <= 1);
  assert (!(told_not_run && runs > 0))
}

inline send (i)
{
  d_step {
    copy[i] == unused ->
    copy[i] = sent;
#ifdef RESTAMP
    stamp[i] = offered
#else
    if
    :: !stamped && offered != NO_STAMP -> its_stamp = offered; stamped = true
    :: else
    fi;
    stamp[i] = its_stamp
#endif
  }
}

active proctype world ()
{
  do
  :: send (0)
  :: send (1)
  :: send (2)
  :: d_step { copy[0] == answered && stamp[0] == NO_STAMP -> copy[0] = unused }
  :: d_step { copy[1] == answered && stamp[1] == NO_STAMP -> copy[1] = unused }
  :: d_step { copy[2] == answered && stamp[2] == NO_STAMP -> copy[2] = unused }
  :: atomic { owner (0) }
  :: atomic { owner (1) }
  :: atomic { owner (2) }
  /* Moves and takeovers: a new grant with an empty memory.  */
  :: d_step { grant < 2 -> grant++; known = false; forgotten = false }
  /* The memory is bounded.  */
  :: d_step { !forgotten -> known = false; forgotten = true }
  od
}
