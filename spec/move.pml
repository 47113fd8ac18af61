/* A move of slice s from owner A to receiver B, with successor M and three
   witnesses of A.  Every node folds the log at its own pace; messages arrive
   late or never; A may stop at any step; any two majorities may certify it.
   A's lease is abstract: once a majority has promised and its last acks have
   lapsed, A serves no more (lease.pml).

   RULE1_OFF: A gives s up before its successor has folded the move.
   RULE2_OFF: A releases s before a majority has acked the floor.
   RULE3_OFF: a successor that folded the move still takes s by certificate.
   RULE4_OFF: `out A` gives s to the successor whatever its floor.
   STICKY: a successor that took s before it folded the move serves on after;
     A, lapsed but back, may yet get its floor to one witness.
   RECEIVER_TAKES: B takes s by a certificate with the move's floor.
   RETIRE_RULE_OFF: a restart of A passes s on although a move is pending.  */

#define W 3
#define MAJORITY(a, b, c) ((a) + (b) + (c) >= 2)
#define LOG 6

mtype = { none, move, moved, out_low, out_high, out_m, retire };
mtype = { nobody, node_a, node_m, node_b };

mtype rec[LOG];
byte length = 0;
bool log_up = true;

/* Views: owner of s, whether the move is pending, whether A or M is out.  */
#define A 0
#define M 1
#define B 2
byte pos[3];
mtype owner[3] = node_a;
bool pending[3];
bool was_moved[3];
bool a_out[3];
bool m_out[3];

bool a_dead, a_lapsed, a_begun, a_restarted;
bool m_dead, m_taken, m_told;
bool b_released, b_got, b_taken;
bool floor_acked[W], ack_seen[W], promised[W];
byte outs;
bool move_sent, moved_sent, out_m_sent, retire_sent;
byte k;

#define serves_a (!a_dead && !a_lapsed && !a_begun && owner[A] == node_a)
#define serves_m (!m_dead && ((m_taken && SERVES_ON) || owner[M] == node_m))
#define serves_b (b_got || b_taken || owner[B] == node_b)
#define PROMISED MAJORITY (promised[0], promised[1], promised[2])
#define SEEN MAJORITY (ack_seen[0], ack_seen[1], ack_seen[2])

#ifdef RULE1_OFF
#define MAY_BEGIN true
#else
#define MAY_BEGIN (m_told || m_out[A])
#endif
#ifdef RULE2_OFF
#define MAY_RELEASE true
#else
#define MAY_RELEASE SEEN
#endif
#ifdef RULE3_OFF
#define MAY_TAKE true
#else
#define MAY_TAKE (!was_moved[M])
#endif
#ifdef RULE4_OFF
#define HIGH(r) false
#else
#define HIGH(r) ((r) == out_high)
#endif
#ifdef STICKY
#define SERVES_ON true
#else
#define SERVES_ON MAY_TAKE
#endif
#ifdef RETIRE_RULE_OFF
#define MAY_RETIRE(n) true
#else
#define MAY_RETIRE(n) (!pending[n])
#endif
#define PAIR_LOW(i, j) (promised[i] && promised[j] && !floor_acked[i] && !floor_acked[j])
#define PAIR_HIGH(i, j) (promised[i] && promised[j] && (floor_acked[i] || floor_acked[j]))
#define LOW_CERTIFICATE (PAIR_LOW (0, 1) || PAIR_LOW (0, 2) || PAIR_LOW (1, 2))
#define HIGH_CERTIFICATE (PAIR_HIGH (0, 1) || PAIR_HIGH (0, 2) || PAIR_HIGH (1, 2))

inline check ()
{
  assert (serves_a + serves_m + serves_b <= 1)
}

inline append (r)
{
  rec[length] = r;
  length++
}

/* Pass s on after the end of A, with the move begun or not.  */
inline inherit (n, high)
{
  if
  :: pending[n] && (high) -> owner[n] = node_b
  :: else ->
     if
     :: m_out[n] -> owner[n] = nobody
     :: else -> owner[n] = node_m
     fi
  fi;
  pending[n] = false
}

inline fold (n)
{
  if
  :: rec[pos[n]] == move && owner[n] == node_a && !was_moved[n] ->
     pending[n] = true;
     was_moved[n] = true
  :: rec[pos[n]] == moved && pending[n] ->
     owner[n] = node_b;
     pending[n] = false
  :: (rec[pos[n]] == out_low || rec[pos[n]] == out_high) && !a_out[n] ->
     a_out[n] = true;
     if
     :: owner[n] == node_a ->
        inherit (n, HIGH (rec[pos[n]]))
     :: else
     fi
  :: rec[pos[n]] == out_m ->
     m_out[n] = true;
     if
     :: owner[n] == node_m -> owner[n] = nobody
     :: else
     fi
  :: rec[pos[n]] == retire && owner[n] == node_a && MAY_RETIRE (n) ->
     inherit (n, false)
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
  :: d_step { log_up && pos[A] < length && !a_dead -> fold (A); check () }
  :: d_step { log_up && pos[M] < length && !m_dead -> fold (M); check () }
  :: d_step { log_up && pos[B] < length -> fold (B); check () }

  /* A gives s up.  */
  :: d_step { pending[A] && !a_begun && !a_dead && MAY_BEGIN ->
     a_begun = true; check () }
  :: d_step { !a_dead && a_begun && !b_released && MAY_RELEASE ->
     b_released = true; check () }
  :: d_step { !a_dead -> a_dead = true }
  :: d_step { a_dead && !a_restarted -> a_restarted = true }
  :: d_step { a_restarted && log_up && !retire_sent ->
     retire_sent = true; append (retire) }

  /* A's witnesses.  */
  :: d_step { a_begun && !promised[0] && !floor_acked[0] ->
     floor_acked[0] = true }
  :: d_step { a_begun && !promised[1] && !floor_acked[1] ->
     floor_acked[1] = true }
  :: d_step { a_begun && !promised[2] && !floor_acked[2] ->
     floor_acked[2] = true }
  :: d_step { floor_acked[0] && !ack_seen[0] -> ack_seen[0] = true }
  :: d_step { floor_acked[1] && !ack_seen[1] -> ack_seen[1] = true }
  :: d_step { floor_acked[2] && !ack_seen[2] -> ack_seen[2] = true }
  :: d_step { !promised[0] -> promised[0] = true }
  :: d_step { !promised[1] -> promised[1] = true }
  :: d_step { !promised[2] -> promised[2] = true }
  :: d_step { PROMISED && !a_lapsed -> a_lapsed = true; check () }

  /* Certificates: any majority, the floor is the highest in it.  */
  :: d_step { a_lapsed && log_up && outs < 2 && LOW_CERTIFICATE ->
     outs++; append (out_low) }
  :: d_step { a_lapsed && log_up && outs < 2 && HIGH_CERTIFICATE ->
     outs++; append (out_high) }

  /* The successor.  */
  :: d_step { was_moved[M] && !m_told && !m_dead -> m_told = true }
  :: d_step { a_lapsed && !m_dead && !m_taken && owner[M] == node_a &&
     MAY_TAKE && (LOW_CERTIFICATE || (HIGH_CERTIFICATE && pending[M])) ->
     m_taken = true; check () }
  :: d_step { !m_dead -> m_dead = true }
  :: d_step { m_dead && log_up && !out_m_sent ->
     out_m_sent = true; append (out_m) }

  /* The receiver.  */
  :: d_step { b_released && !b_got -> b_got = true; check () }
  :: d_step { b_got && pending[B] && log_up && !moved_sent ->
     moved_sent = true; append (moved) }
#ifdef RECEIVER_TAKES
  :: d_step { a_lapsed && pending[B] && !b_taken && HIGH_CERTIFICATE ->
     b_taken = true; check () }
#endif
  od
}
