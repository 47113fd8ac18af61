/* Takeovers of slice s along the chain A, M, N, with a second loss in one
   outage of the log, and a move of s from A to B under way.  Certificates are
   abstract: a node that is certified has lapsed for good (lease.pml), and a
   certificate of A shows the floor of the move or not until a majority has
   acked it (move.pml).  `out A` and `out M` come in either order.

   CHAIN_OFF: N takes over with a certificate of A alone.
   RULE3_OFF: successors that folded the move still take s by certificate.
   FIRST_ONLY: A begins to give s up when its first successor has folded.
   LAPSE_OFF: M serves on after its lease has lapsed.
   FOLDED_OFF: N takes over from M before it has folded as far as M had, and
     so under a lower fence than M's.  */

#define LOG 6
#define A 0
#define M 1
#define N 2
#define B 3

mtype = { move, out_a_low, out_a_high, out_m };
mtype = { nobody, node_a, node_m, node_n, node_b };

mtype rec[LOG];
byte length = 0;
bool log_up = true;
byte pos[4];
mtype owner[4] = node_a;
byte epoch[4];    /* offset after the record that named the owner */
bool pending[4];
bool folded_move[4];
bool a_out[4];
bool m_out[4];

bool a_lapsed, m_lapsed, n_lapsed;
bool a_begun, a_complete, released;
bool told_m, told_n;
bool m_took, n_took;
byte m_fence = 0; /* highest fence under which M has served */
bool move_sent, out_m_sent;
byte outs;

#ifdef CHAIN_OFF
#define M_GONE true
#else
#define M_GONE (m_lapsed || m_out[N])
#endif
#ifdef RULE3_OFF
#define MAY_TAKE(n) true
#else
#define MAY_TAKE(n) (!folded_move[n])
#endif
#ifdef FIRST_ONLY
#define MAY_BEGIN (told_m || m_out[A])
#else
#define MAY_BEGIN ((told_m || m_out[A]) && told_n)
#endif
#ifdef LAPSE_OFF
#define M_LEASE true
#else
#define M_LEASE (!m_lapsed)
#endif
#ifdef FOLDED_OFF
#define FOLDED true
#else
#define FOLDED (pos[N] >= pos[M])
#endif
#define M_LIVE(n) (!m_out[n])

#define serves_a (!a_lapsed && !a_begun && owner[A] == node_a)
#define serves_m (M_LEASE && (m_took || owner[M] == node_m))
#define serves_n (!n_lapsed && (n_took || owner[N] == node_n))
#define serves_b (released || owner[B] == node_b)

/* One owner at most; and M's fences are below those of N, its successor.  */
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
  rec[length] = r;
  length++
}

inline set_owner (n, who)
{
  owner[n] = who;
  epoch[n] = pos[n] + 1;
  pending[n] = false
}

inline fold (n)
{
  if
  :: rec[pos[n]] == move && owner[n] == node_a ->
     pending[n] = true;
     folded_move[n] = true
  :: (rec[pos[n]] == out_a_low || rec[pos[n]] == out_a_high) &&
     owner[n] == node_a ->
     a_out[n] = true;
     if
     :: pending[n] && rec[pos[n]] == out_a_high -> set_owner (n, node_b)
     :: else ->
        if
        :: M_LIVE (n) -> set_owner (n, node_m)
        :: else -> set_owner (n, node_n)
        fi
     fi
  :: rec[pos[n]] == out_m ->
     m_out[n] = true;
     if
     :: owner[n] == node_m -> set_owner (n, node_n)
     :: else
     fi
  :: else
  fi;
  pos[n]++
}

active proctype world ()
{
  do
  /* The log.  */
  :: d_step { log_up -> log_up = false }
  :: d_step { !log_up -> log_up = true }
  :: d_step { log_up && !move_sent -> move_sent = true; append (move) }
  :: d_step { log_up && a_lapsed && outs < 2 && !a_complete ->
     outs++; append (out_a_low) }
  :: d_step { log_up && a_lapsed && outs < 2 && a_begun ->
     outs++; append (out_a_high) }
  :: d_step { log_up && m_lapsed && !out_m_sent ->
     out_m_sent = true; append (out_m) }
  :: d_step { log_up && pos[A] < length -> fold (A); check () }
  :: d_step { log_up && pos[M] < length && !m_lapsed -> fold (M); check () }
  :: d_step { log_up && pos[N] < length -> fold (N); check () }
  :: d_step { log_up && pos[B] < length -> fold (B); check () }

  /* A gives s up.  */
  :: d_step { folded_move[M] && !told_m && !m_lapsed -> told_m = true }
  :: d_step { folded_move[N] && !told_n -> told_n = true }
  :: d_step { pending[A] && !a_begun && !a_lapsed && MAY_BEGIN ->
     a_begun = true; check () }
  :: d_step { a_begun && !a_lapsed && !a_complete -> a_complete = true }
  :: d_step { a_complete && !released -> released = true; check () }

  /* Losses: certified by a majority.  */
  :: d_step { !a_lapsed -> a_lapsed = true; check () }
  :: d_step { !m_lapsed -> m_lapsed = true; check () }
  :: d_step { !n_lapsed -> n_lapsed = true; check () }

  /* Takeovers.  */
  :: d_step { a_lapsed && M_LEASE && !m_took && owner[M] == node_a &&
     MAY_TAKE (M) && (!a_complete || pending[M]) ->
     m_took = true; check () }
  :: d_step { a_lapsed && M_GONE && !n_lapsed && !n_took && FOLDED &&
     owner[N] == node_a && MAY_TAKE (N) && (!a_complete || pending[N]) ->
     n_took = true; check () }
  :: d_step { m_lapsed && !n_lapsed && !n_took && FOLDED &&
     owner[N] == node_m ->
     n_took = true; check () }
  od
}
