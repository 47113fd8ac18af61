/* A key moves from server A to server B.  The node beside A grants it by calls
   that may be carried out late and out of order, then takes it back by a call
   that may be repeated.  The node passes the key on when a release was
   answered.  Sessions and the expiry of grants are not modelled.  Property: B
   is not given the key while A holds it or runs a request for it.

   A switch turns one rule off:
   SAME_FENCE: a release has the fence of the grants.
   NO_ANSWER: the key is passed on when the release was sent.
   EARLY: a release is answered while a request for the key runs.  */

#define GRANTS 3
#define RELEASES 2
#define GRANT_FENCE 2
#ifdef SAME_FENCE
#define RELEASE_FENCE GRANT_FENCE
#else
#define RELEASE_FENCE 3
#endif

byte grants_sent;
byte grants_on_way;
byte releases_sent;
byte releases_on_way;
byte a_seen_fence;
bool a_holds;
bool a_runs;
bool releasing;
bool release_done; /* A has carried out a release */
bool release_answered;
bool b_granted;

#ifdef EARLY
#define MAY_ANSWER release_done
#else
#define MAY_ANSWER (release_done && !a_runs)
#endif
#ifdef NO_ANSWER
#define MAY_PASS_ON (releases_sent > 0)
#else
#define MAY_PASS_ON release_answered
#endif

active proctype world ()
{
  do
  :: atomic { !releasing && grants_sent < GRANTS ->
       grants_sent++; grants_on_way++ }
  :: atomic { grants_on_way > 0 ->
       grants_on_way--;
       if
       :: a_seen_fence <= GRANT_FENCE ->
          a_seen_fence = GRANT_FENCE; a_holds = true
       :: else
       fi }
  :: atomic { a_holds && !a_runs && !releasing -> a_runs = true }
  :: atomic { a_runs -> a_runs = false }
  :: atomic { !releasing -> releasing = true }
  :: atomic { releasing && releases_sent < RELEASES ->
       releases_sent++; releases_on_way++ }
  :: atomic { releases_on_way > 0 ->
       releases_on_way--; a_holds = false; release_done = true;
       a_seen_fence = (a_seen_fence > RELEASE_FENCE -> a_seen_fence
                                                    : RELEASE_FENCE) }
  :: atomic { MAY_ANSWER && !release_answered -> release_answered = true }
  :: atomic { releasing && MAY_PASS_ON && !b_granted -> b_granted = true }
  :: atomic { b_granted -> assert (!a_holds && !a_runs); break }
  :: atomic { b_granted && grants_on_way > 0 -> skip }
  od;
  do
  :: atomic { grants_on_way > 0 ->
       grants_on_way--;
       if
       :: a_seen_fence <= GRANT_FENCE -> a_holds = true
       :: else
       fi;
       assert (!a_holds) }
  :: grants_on_way == 0 -> break
  od
}
