/* A change of successors: a move of slice s from A to A itself, from successor
   S to successor T, with three witnesses and a log that each node reads at its
   own pace.  A raises its floor to the move, gets it to a majority, and then
   appends `moved', which makes T the successor.  A certificate lets
   the successor that a node's view names take s; S may do so although it has
   folded the move if the certificate's floor is below it.  `out A' before
   `moved' gives s to S whatever its floor, after it to T.

   RULE2_OFF: A appends `moved' before a majority acked the floor.
   FLOOR_OFF: S takes s whatever the certificate's floor.
   BY_FLOOR: `out A' with a floor at the move gives s to T.  */

#define W 3
#define LOG 4
#define MAJORITY(a, b, c) ((a) + (b) + (c) >= 2)

mtype = { none, move, moved, out_low, out_high };

mtype log[LOG];
byte length;
bool log_up = true;
byte pos_a;             /* records A has folded */
byte pos_s;
byte pos_t;
bool a_dead;
bool a_begun;           /* A's floor is at the move */
bool moved_sent;
bool acked[W];          /* witness acked the floor */
bool promised[W];
bool move_sent, low_sent, high_sent;

/* What S and T see of s.  */
bool s_move, s_moved, s_out;  /* S folded the move, `moved', `out' */
bool t_moved, t_out;
bool s_owns, t_owns;          /* by the log */
bool s_low, s_high;           /* certificates known to S, by floor */
bool t_low, t_high;

#define PROMISED MAJORITY (promised[0], promised[1], promised[2])
#define PAIR_LOW(i, j) (promised[i] && promised[j] && !acked[i] && !acked[j])
#define PAIR_HIGH(i, j) (promised[i] && promised[j] && (acked[i] || acked[j]))
#define CERT_LOW (PAIR_LOW (0, 1) || PAIR_LOW (0, 2) || PAIR_LOW (1, 2))
#define CERT_HIGH (PAIR_HIGH (0, 1) || PAIR_HIGH (0, 2) || PAIR_HIGH (1, 2))

#ifdef RULE2_OFF
#define MAY_END true
#else
#define MAY_END MAJORITY (acked[0], acked[1], acked[2])
#endif
#ifdef FLOOR_OFF
#define S_HIGH (s_high && s_move)
#else
#define S_HIGH false
#endif

/* A certificate with the floor at the move wants the move folded, and leaves s
   to the log; `moved' folded ends S's turn and begins T's.  */
#define takes_s (!s_moved && !s_out && (s_low || S_HIGH))
#define takes_t (t_moved && !t_out && (t_low || t_high))
#define serves_a (!a_dead && !PROMISED)
#define serves_s (s_owns || takes_s)
#define serves_t (t_owns || takes_t)

inline check ()
{
  assert (serves_a + serves_s + serves_t <= 1)
}

/* Append R; there is room.  */
inline append (r)
{
  log[length] = r;
  length++
}

#ifdef BY_FLOOR
#define HEIR_T(r, m) (m || r == out_high)
#else
#define HEIR_T(r, m) (m)
#endif

active proctype world ()
{
  do
  :: d_step { log_up -> log_up = false }
  :: d_step { !log_up -> log_up = true }
  /* Appends.  */
  :: d_step { log_up && !move_sent -> append (move); move_sent = true }
  :: d_step { log_up && !moved_sent && a_begun && !a_dead && MAY_END ->
     append (moved); moved_sent = true }
  :: d_step { log_up && CERT_LOW && !low_sent && length < LOG ->
     append (out_low); low_sent = true }
  :: d_step { log_up && CERT_HIGH && !high_sent && length < LOG ->
     append (out_high); high_sent = true }
  /* Folds.  A record whose expectation is gone is dropped.  */
  :: d_step { log_up && pos_a < length -> pos_a++ }
  :: d_step { log_up && pos_s < length ->
     if
     :: log[pos_s] == move && !s_out -> s_move = true
     :: log[pos_s] == moved && s_move && !s_out -> s_moved = true
     :: (log[pos_s] == out_low || log[pos_s] == out_high) && !s_out ->
        s_owns = !HEIR_T (log[pos_s], s_moved);
        s_out = true
     :: else
     fi;
     pos_s++;
     check () }
  :: d_step { log_up && pos_t < length ->
     if
     :: log[pos_t] == moved && !t_out -> t_moved = true
     :: (log[pos_t] == out_low || log[pos_t] == out_high) && !t_out ->
        t_owns = HEIR_T (log[pos_t], t_moved);
        t_out = true
     :: else
     fi;
     pos_t++;
     check () }
  /* A.  */
  :: d_step { !a_dead && !a_begun && pos_a > 0 && move_sent ->
     a_begun = true }
  :: d_step { !a_dead -> a_dead = true }
  /* Witnesses: acks of the floor and promises.  */
  :: d_step { !a_dead && a_begun && !promised[0] && !acked[0] -> acked[0] = true }
  :: d_step { !a_dead && a_begun && !promised[1] && !acked[1] -> acked[1] = true }
  :: d_step { !a_dead && a_begun && !promised[2] && !acked[2] -> acked[2] = true }
  :: d_step { !promised[0] -> promised[0] = true; check () }
  :: d_step { !promised[1] -> promised[1] = true; check () }
  :: d_step { !promised[2] -> promised[2] = true; check () }
  /* Certificates reach the successors.  */
  :: d_step { CERT_LOW && !s_low -> s_low = true; check () }
  :: d_step { CERT_HIGH && !s_high -> s_high = true; check () }
  :: d_step { CERT_LOW && !t_low -> t_low = true; check () }
  :: d_step { CERT_HIGH && !t_high -> t_high = true; check () }
  od
}
