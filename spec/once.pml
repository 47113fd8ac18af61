/* A request of run mode `once' that its caller retries.  Copies travel through
   any ingress node and arrive late, at any owner.  The slice has three grants
   in sequence, by move or takeover; the third is again at the first node.  An
   owner runs a copy only if the copy's stamp is of the owner's current grant
   and not older than the remembered ids, and the request's id is not known.
   Property: the request runs at most once, and `not run' is answered only if
   it did not run.

   A switch turns one rule off:
   STAMP_OFF: an owner does not check the stamp.
   MEMORY_OFF: an owner does not remember ids.
   HORIZON_OFF: an owner forgets ids but still accepts the stamps of their
     time.
   RESTAMP: the caller puts a new stamp on a retry of a copy with an old stamp.
   GRANT_ONLY: a node that owns the slice again accepts its earlier stamps.
   RETRY_UNKNOWN: the ingress answers `not run' when an answer was lost.  */

#define COPIES 3
#define NO_STAMP 255

mtype = { unused, sent, running, answered, lost };

mtype copy[COPIES] = unused;
byte stamp[COPIES] = NO_STAMP;
byte grant = 0; /* the current grant: 0 and 2 at A, 1 at B */
bool id_known = false; /* the owner of the current grant remembers the id */
/* the owner has dropped the ids of the stamp's time */
bool id_forgotten = false;
byte runs = 0;
byte offered_stamp = NO_STAMP;
bool stamp_chosen = false; /* the caller has chosen a stamp */
byte caller_stamp = NO_STAMP;
bool answered_not_run = false;
bool answered_done = false;

#ifdef STAMP_OFF
#define STAMP_VALID(s) true
#else
#ifdef GRANT_ONLY
#define STAMP_VALID(s) ((s) == grant || ((s) == 0 && grant == 2))
#else
#define STAMP_VALID(s) ((s) == grant)
#endif
#endif
#ifdef HORIZON_OFF
#define WITHIN_HORIZON true
#else
#define WITHIN_HORIZON (!id_forgotten)
#endif

inline owner_step (i)
{
  if
  :: copy[i] == sent && stamp[i] == NO_STAMP ->
     offered_stamp = grant;
     copy[i] = answered
  :: copy[i] == sent && stamp[i] != NO_STAMP ->
     if
     :: STAMP_VALID (stamp[i]) && WITHIN_HORIZON && !id_known ->
#ifndef MEMORY_OFF
        id_known = true;
#endif
        runs++;
        copy[i] = running
     :: else -> copy[i] = lost
     fi
  :: copy[i] == running -> copy[i] = lost
  :: copy[i] == running -> copy[i] = answered; answered_done = true
#ifdef RETRY_UNKNOWN
  :: copy[i] == lost && runs > 0 -> answered_not_run = true
#endif
  fi;
  assert (runs <= 1);
  assert (!(answered_not_run && runs > 0))
}

inline send (i)
{
  d_step {
    copy[i] == unused ->
    copy[i] = sent;
#ifdef RESTAMP
    stamp[i] = offered_stamp
#else
    if
    :: !stamp_chosen && offered_stamp != NO_STAMP ->
       caller_stamp = offered_stamp; stamp_chosen = true
    :: else
    fi;
    stamp[i] = caller_stamp
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
  :: atomic { owner_step (0) }
  :: atomic { owner_step (1) }
  :: atomic { owner_step (2) }
  /* A move or takeover: a new grant, whose owner remembers no ids.  */
  :: d_step { grant < 2 -> grant++; id_known = false; id_forgotten = false }
  /* The memory for ids is bounded: the oldest are dropped.  */
  :: d_step { !id_forgotten -> id_known = false; id_forgotten = true }
  od
}
