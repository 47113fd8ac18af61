/* Takeovers of slice s along the succession A, M, N, with two losses during
   one outage of the log, and a move of s from A to B in progress.
   Certificates are abstract: the lease of a certified node has expired for
   good (lease.pml), and until a majority has acked the floor of the move, a
   certificate of A may show that floor or not (move.pml).  A and M are removed
   in either order.

   A switch turns one rule off:
   CHAIN_OFF: N takes over with a certificate of A alone.
   RULE3_OFF: successors that applied the move still take over s by
     certificate.
   FIRST_ONLY: A stops serving s when its first successor has applied the move.
   LAPSE_OFF: M still serves after its lease has expired.
   FOLDED_OFF: N takes over from M before it has applied the log as far as M
     had, and so under a lower fence than that of M.  */

#define LOG 6
#define A 0
#define M 1
#define N 2
#define B 3

mtype = { move, removed_a_low, removed_a_high, removed_m };
mtype = { nobody, node_a, node_m, node_n, node_b };

mtype records[LOG];
byte log_length = 0;
bool log_up = true;
byte applied[4];
mtype owner[4] = node_a;
byte epoch[4]; /* offset after the record that set the owner */
bool move_pending[4];
bool move_applied[4];
bool a_removed[4];
bool m_removed[4];

bool a_expired, m_expired, n_expired;
bool a_stopped, floor_acked, released_to_b;
bool m_confirmed, n_confirmed;
bool m_took_over, n_took_over;
byte m_fence = 0; /* highest fence under which M has served */
bool move_appended, removed_m_appended;
byte removals;

#ifdef CHAIN_OFF
#define M_OUT_OF_SERVICE true
#else
#define M_OUT_OF_SERVICE (m_expired || m_removed[N])
#endif
#ifdef RULE3_OFF
#define MAY_TAKE_OVER(n) true
#else
#define MAY_TAKE_OVER(n) (!move_applied[n])
#endif
#ifdef FIRST_ONLY
#define MAY_STOP (m_confirmed || m_removed[A])
#else
#define MAY_STOP ((m_confirmed || m_removed[A]) && n_confirmed)
#endif
#ifdef LAPSE_OFF
#define M_HOLDS_LEASE true
#else
#define M_HOLDS_LEASE (!m_expired)
#endif
#ifdef FOLDED_OFF
#define N_CAUGHT_UP true
#else
#define N_CAUGHT_UP (applied[N] >= applied[M])
#endif
#define M_IS_MEMBER(n) (!m_removed[n])

#define serves_a (!a_expired && !a_stopped && owner[A] == node_a)
#define serves_m (M_HOLDS_LEASE && (m_took_over || owner[M] == node_m))
#define serves_n (!n_expired && (n_took_over || owner[N] == node_n))
#define serves_b (released_to_b || owner[B] == node_b)

/* At most one node serves s, and the fences of M are below those of its
   successor N.  */
inline check ()
{
  assert (serves_a + serves_m + serves_n + serves_b <= 1);
  if
  :: serves_m && owner[M] == node_m && 4 * epoch[M] > m_fence ->
     m_fence = 4 * epoch[M]
  :: serves_m && owner[M] == node_a && m_fence < 1 -> m_fence = 1
  :: else
  fi;
  if
  :: serves_n && owner[N] == node_n -> assert (4 * epoch[N] > m_fence)
  :: serves_n && owner[N] == node_m -> assert (4 * epoch[N] + 1 > m_fence)
  :: serves_n && owner[N] == node_a -> assert (2 > m_fence)
  :: else
  fi
}

inline append (r)
{
  records[log_length] = r;
  log_length++
}

inline set_owner (n, new_owner)
{
  owner[n] = new_owner;
  epoch[n] = applied[n] + 1;
  move_pending[n] = false
}

inline apply (n)
{
  if
  :: records[applied[n]] == move && owner[n] == node_a ->
     move_pending[n] = true;
     move_applied[n] = true
  :: (records[applied[n]] == removed_a_low ||
     records[applied[n]] == removed_a_high) &&
     owner[n] == node_a ->
     a_removed[n] = true;
     if
     :: move_pending[n] && records[applied[n]] == removed_a_high ->
        set_owner (n, node_b)
     :: else ->
        if
        :: M_IS_MEMBER (n) -> set_owner (n, node_m)
        :: else -> set_owner (n, node_n)
        fi
     fi
  :: records[applied[n]] == removed_m ->
     m_removed[n] = true;
     if
     :: owner[n] == node_m -> set_owner (n, node_n)
     :: else
     fi
  :: else
  fi;
  applied[n]++
}

active proctype world ()
{
  do
  /* The log goes down and up, takes records, and is read by each node.  */
  :: d_step { log_up -> log_up = false }
  :: d_step { !log_up -> log_up = true }
  :: d_step { log_up && !move_appended -> move_appended = true; append (move) }
  :: d_step { log_up && a_expired && removals < 2 && !floor_acked ->
     removals++; append (removed_a_low) }
  :: d_step { log_up && a_expired && removals < 2 && a_stopped ->
     removals++; append (removed_a_high) }
  :: d_step { log_up && m_expired && !removed_m_appended ->
     removed_m_appended = true; append (removed_m) }
  :: d_step { log_up && applied[A] < log_length -> apply (A); check () }
  :: d_step { log_up && applied[M] < log_length && !m_expired -> apply (M);
     check () }
  :: d_step { log_up && applied[N] < log_length -> apply (N); check () }
  :: d_step { log_up && applied[B] < log_length -> apply (B); check () }

  /* M and N confirm the move; A stops serving s, gets its floor acked by a
     majority, and releases s to B.  */
  :: d_step { move_applied[M] && !m_confirmed && !m_expired ->
     m_confirmed = true }
  :: d_step { move_applied[N] && !n_confirmed -> n_confirmed = true }
  :: d_step { move_pending[A] && !a_stopped && !a_expired && MAY_STOP ->
     a_stopped = true; check () }
  :: d_step { a_stopped && !a_expired && !floor_acked -> floor_acked = true }
  :: d_step { floor_acked && !released_to_b -> released_to_b = true; check () }

  /* A node is lost, and a majority certifies it.  */
  :: d_step { !a_expired -> a_expired = true; check () }
  :: d_step { !m_expired -> m_expired = true; check () }
  :: d_step { !n_expired -> n_expired = true; check () }

  /* Takeovers.  */
  :: d_step { a_expired && M_HOLDS_LEASE && !m_took_over &&
     owner[M] == node_a &&
     MAY_TAKE_OVER (M) && (!floor_acked || move_pending[M]) ->
     m_took_over = true; check () }
  :: d_step { a_expired && M_OUT_OF_SERVICE && !n_expired && !n_took_over &&
     N_CAUGHT_UP &&
     owner[N] == node_a && MAY_TAKE_OVER (N) &&
     (!floor_acked || move_pending[N]) ->
     n_took_over = true; check () }
  :: d_step { m_expired && !n_expired && !n_took_over && N_CAUGHT_UP &&
     owner[N] == node_m ->
     n_took_over = true; check () }
  od
}
