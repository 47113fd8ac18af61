/* A move of slice s from owner A to receiver B, with successor M and three
   witnesses of A.  Every node applies the log at its own pace; messages arrive
   late or never; A may crash at any step; any two majorities may certify its
   removal.  The lease of A is abstract: once a majority has promised and its
   last acks have expired, A no longer serves (lease.pml).
   Property: at most one node serves s.

   A switch turns one rule off:
   RULE1_OFF: A stops serving s before its successor has applied the move.
   RULE2_OFF: A releases s to B before a majority has acked the floor.
   RULE3_OFF: a successor that applied the move still takes over s by
     certificate.
   RULE4_OFF: the removal of A gives s to the successor whatever its floor.
   STICKY: a successor that took over s before it applied the move still serves
     afterwards; A, expired but running again, may yet get its floor to one
     witness.
   RECEIVER_TAKES: B takes over s by a certificate with the floor of the move.
   RETIRE_RULE_OFF: a restart of A passes s on although a move is pending.  */

#define W 3
#define MAJORITY(a, b, c) ((a) + (b) + (c) >= 2)
#define LOG 6

mtype = { none, move, moved, removed_low, removed_high, removed_m, retire };
mtype = { nobody, node_a, node_m, node_b };

mtype records[LOG];
byte log_length = 0;
bool log_up = true;

/* The view of each node: the records applied, the owner of s, whether the move
   is pending or has been applied, whether A or M is removed.  */
#define A 0
#define M 1
#define B 2
byte applied[3];
mtype owner[3] = node_a;
bool move_pending[3];
bool move_applied[3];
bool a_removed[3];
bool m_removed[3];

bool a_dead, a_expired, a_stopped, a_restarted;
bool m_dead, m_took_over, m_confirmed;
bool released_to_b, b_received, b_took_over;
bool floor_acked[W], ack_received[W], promised[W];
byte removals;
bool move_appended, moved_appended, removed_m_appended, retire_appended;

#define serves_a (!a_dead && !a_expired && !a_stopped && owner[A] == node_a)
#define serves_m (!m_dead && \
  ((m_took_over && STILL_SERVES) || owner[M] == node_m))
#define serves_b (b_received || b_took_over || owner[B] == node_b)
#define PROMISED MAJORITY (promised[0], promised[1], promised[2])
#define FLOOR_ACKED MAJORITY \
  (ack_received[0], ack_received[1], ack_received[2])

#ifdef RULE1_OFF
#define MAY_STOP true
#else
#define MAY_STOP (m_confirmed || m_removed[A])
#endif
#ifdef RULE2_OFF
#define MAY_RELEASE true
#else
#define MAY_RELEASE FLOOR_ACKED
#endif
#ifdef RULE3_OFF
#define MAY_TAKE_OVER true
#else
#define MAY_TAKE_OVER (!move_applied[M])
#endif
#ifdef RULE4_OFF
#define HIGH(r) false
#else
#define HIGH(r) ((r) == removed_high)
#endif
#ifdef STICKY
#define STILL_SERVES true
#else
#define STILL_SERVES MAY_TAKE_OVER
#endif
#ifdef RETIRE_RULE_OFF
#define MAY_RETIRE(n) true
#else
#define MAY_RETIRE(n) (!move_pending[n])
#endif
#define PAIR_LOW(i, j) (promised[i] && promised[j] && !floor_acked[i] && \
  !floor_acked[j])
#define PAIR_HIGH(i, j) (promised[i] && promised[j] && \
  (floor_acked[i] || floor_acked[j]))
#define LOW_CERTIFICATE (PAIR_LOW (0, 1) || PAIR_LOW (0, 2) || PAIR_LOW (1, 2))
#define HIGH_CERTIFICATE (PAIR_HIGH (0, 1) || PAIR_HIGH (0, 2) || \
  PAIR_HIGH (1, 2))

inline check ()
{
  assert (serves_a + serves_m + serves_b <= 1)
}

inline append (r)
{
  records[log_length] = r;
  log_length++
}

/* Give s a new owner in the view of node n after A is removed or retires.
   HIGH: the floor of A covers the move.  */
inline pass_on (n, high)
{
  if
  :: move_pending[n] && (high) -> owner[n] = node_b
  :: else ->
     if
     :: m_removed[n] -> owner[n] = nobody
     :: else -> owner[n] = node_m
     fi
  fi;
  move_pending[n] = false
}

inline apply (n)
{
  if
  :: records[applied[n]] == move && owner[n] == node_a && !move_applied[n] ->
     move_pending[n] = true;
     move_applied[n] = true
  :: records[applied[n]] == moved && move_pending[n] ->
     owner[n] = node_b;
     move_pending[n] = false
  :: (records[applied[n]] == removed_low ||
     records[applied[n]] == removed_high) && !a_removed[n] ->
     a_removed[n] = true;
     if
     :: owner[n] == node_a ->
        pass_on (n, HIGH (records[applied[n]]))
     :: else
     fi
  :: records[applied[n]] == removed_m ->
     m_removed[n] = true;
     if
     :: owner[n] == node_m -> owner[n] = nobody
     :: else
     fi
  :: records[applied[n]] == retire && owner[n] == node_a && MAY_RETIRE (n) ->
     pass_on (n, false)
  :: else
  fi;
  applied[n]++
}

active proctype world ()
{
  do
  /* The log goes down and up, takes the move, and is read by each node.  */
  :: d_step { log_up -> log_up = false }
  :: d_step { !log_up -> log_up = true }
  :: d_step { log_up && !move_appended -> move_appended = true; append (move) }
  :: d_step { log_up && applied[A] < log_length && !a_dead -> apply (A);
     check () }
  :: d_step { log_up && applied[M] < log_length && !m_dead -> apply (M);
     check () }
  :: d_step { log_up && applied[B] < log_length -> apply (B); check () }

  /* A stops serving s, releases it to B, crashes, restarts.  */
  :: d_step { move_pending[A] && !a_stopped && !a_dead && MAY_STOP ->
     a_stopped = true; check () }
  :: d_step { !a_dead && a_stopped && !released_to_b && MAY_RELEASE ->
     released_to_b = true; check () }
  :: d_step { !a_dead -> a_dead = true }
  :: d_step { a_dead && !a_restarted -> a_restarted = true }
  :: d_step { a_restarted && log_up && !retire_appended ->
     retire_appended = true; append (retire) }

  /* The witnesses of A ack the floor or promise; the lease expires.  */
  :: d_step { a_stopped && !promised[0] && !floor_acked[0] ->
     floor_acked[0] = true }
  :: d_step { a_stopped && !promised[1] && !floor_acked[1] ->
     floor_acked[1] = true }
  :: d_step { a_stopped && !promised[2] && !floor_acked[2] ->
     floor_acked[2] = true }
  :: d_step { floor_acked[0] && !ack_received[0] -> ack_received[0] = true }
  :: d_step { floor_acked[1] && !ack_received[1] -> ack_received[1] = true }
  :: d_step { floor_acked[2] && !ack_received[2] -> ack_received[2] = true }
  :: d_step { !promised[0] -> promised[0] = true }
  :: d_step { !promised[1] -> promised[1] = true }
  :: d_step { !promised[2] -> promised[2] = true }
  :: d_step { PROMISED && !a_expired -> a_expired = true; check () }

  /* Removals of A, by any majority; the floor is the highest in it.  */
  :: d_step { a_expired && log_up && removals < 2 && LOW_CERTIFICATE ->
     removals++; append (removed_low) }
  :: d_step { a_expired && log_up && removals < 2 && HIGH_CERTIFICATE ->
     removals++; append (removed_high) }

  /* M confirms the move, takes over, crashes, is removed.  */
  :: d_step { move_applied[M] && !m_confirmed && !m_dead ->
     m_confirmed = true }
  :: d_step { a_expired && !m_dead && !m_took_over && owner[M] == node_a &&
     MAY_TAKE_OVER &&
     (LOW_CERTIFICATE || (HIGH_CERTIFICATE && move_pending[M])) ->
     m_took_over = true; check () }
  :: d_step { !m_dead -> m_dead = true }
  :: d_step { m_dead && log_up && !removed_m_appended ->
     removed_m_appended = true; append (removed_m) }

  /* B receives s and completes the move.  */
  :: d_step { released_to_b && !b_received -> b_received = true; check () }
  :: d_step { b_received && move_pending[B] && log_up && !moved_appended ->
     moved_appended = true; append (moved) }
#ifdef RECEIVER_TAKES
  :: d_step { a_expired && move_pending[B] && !b_took_over &&
     HIGH_CERTIFICATE ->
     b_took_over = true; check () }
#endif
  od
}
