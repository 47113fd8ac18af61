/* A change of successors: a move of slice s from A to A itself, which replaces
   successor S by successor T, with three witnesses and a log that each node
   applies at its own pace.  A raises its floor to the move, gets the floor
   acked by a majority, and then appends `moved', which makes T the successor.
   A certificate lets the successor in a node's view take over s; S may do so
   although it has applied the move if the floor of the certificate is below
   the move.  The removal of A gives s to S if the log has it before `moved',
   whatever its floor, and to T if after.  Property: at most one node serves s.

   A switch turns one rule off:
   RULE2_OFF: A appends `moved' before a majority acked the floor.
   FLOOR_OFF: S takes over s whatever the floor of the certificate.
   BY_FLOOR: the removal of A with a floor at the move gives s to T.  */

#define W 3
#define LOG 4
#define MAJORITY(a, b, c) ((a) + (b) + (c) >= 2)

mtype = { none, move, moved, removed_low, removed_high };

mtype log[LOG];
byte log_length;
bool log_up = true;
byte a_applied; /* records that A has applied */
byte s_applied;
byte t_applied;
bool a_dead;
bool a_floor_raised; /* the floor of A is at the move */
bool moved_appended;
bool floor_acked[W]; /* the witness has acked the floor */
bool promised[W];
bool move_appended, low_appended, high_appended;

/* Views of S and T: records applied.  */
bool s_applied_move, s_applied_moved, s_applied_removal;
bool t_applied_moved, t_applied_removal;
bool s_owns, t_owns; /* owner of s by the log */
bool s_has_low, s_has_high; /* S has a certificate with that floor */
bool t_has_low, t_has_high;

#define PROMISED MAJORITY (promised[0], promised[1], promised[2])
#define PAIR_LOW(i, j) (promised[i] && promised[j] && !floor_acked[i] && \
  !floor_acked[j])
#define PAIR_HIGH(i, j) (promised[i] && promised[j] && \
  (floor_acked[i] || floor_acked[j]))
#define LOW_CERTIFICATE (PAIR_LOW (0, 1) || PAIR_LOW (0, 2) || PAIR_LOW (1, 2))
#define HIGH_CERTIFICATE (PAIR_HIGH (0, 1) || PAIR_HIGH (0, 2) || \
  PAIR_HIGH (1, 2))

#ifdef RULE2_OFF
#define MAY_COMPLETE true
#else
#define MAY_COMPLETE MAJORITY (floor_acked[0], floor_acked[1], floor_acked[2])
#endif
#ifdef FLOOR_OFF
#define S_MAY_USE_HIGH (s_has_high && s_applied_move)
#else
#define S_MAY_USE_HIGH false
#endif

/* A certificate with the floor at the move does not let S take over: the log
   decides who owns s.  Once `moved' is applied, T and no longer S is the
   successor.  */
#define s_takes_over (!s_applied_moved && !s_applied_removal && \
  (s_has_low || S_MAY_USE_HIGH))
#define t_takes_over (t_applied_moved && !t_applied_removal && \
  (t_has_low || t_has_high))
#define serves_a (!a_dead && !PROMISED)
#define serves_s (s_owns || s_takes_over)
#define serves_t (t_owns || t_takes_over)

inline check ()
{
  assert (serves_a + serves_s + serves_t <= 1)
}

/* Append record r; the log must have room.  */
inline append (r)
{
  log[log_length] = r;
  log_length++
}

#ifdef BY_FLOOR
#define T_IS_SUCCESSOR(r, m) (m || r == removed_high)
#else
#define T_IS_SUCCESSOR(r, m) (m)
#endif

active proctype world ()
{
  do
  :: d_step { log_up -> log_up = false }
  :: d_step { !log_up -> log_up = true }
  /* Appends.  */
  :: d_step { log_up && !move_appended -> append (move); move_appended = true }
  :: d_step { log_up && !moved_appended && a_floor_raised && !a_dead &&
     MAY_COMPLETE ->
     append (moved); moved_appended = true }
  :: d_step { log_up && LOW_CERTIFICATE && !low_appended && log_length < LOG ->
     append (removed_low); low_appended = true }
  :: d_step { log_up && HIGH_CERTIFICATE && !high_appended &&
     log_length < LOG ->
     append (removed_high); high_appended = true }
  /* Nodes apply the log and skip records whose precondition fails.  */
  :: d_step { log_up && a_applied < log_length -> a_applied++ }
  :: d_step { log_up && s_applied < log_length ->
     if
     :: log[s_applied] == move && !s_applied_removal -> s_applied_move = true
     :: log[s_applied] == moved && s_applied_move && !s_applied_removal ->
        s_applied_moved = true
     :: (log[s_applied] == removed_low || log[s_applied] == removed_high) &&
        !s_applied_removal ->
        s_owns = !T_IS_SUCCESSOR (log[s_applied], s_applied_moved);
        s_applied_removal = true
     :: else
     fi;
     s_applied++;
     check () }
  :: d_step { log_up && t_applied < log_length ->
     if
     :: log[t_applied] == moved && !t_applied_removal -> t_applied_moved = true
     :: (log[t_applied] == removed_low || log[t_applied] == removed_high) &&
        !t_applied_removal ->
        t_owns = T_IS_SUCCESSOR (log[t_applied], t_applied_moved);
        t_applied_removal = true
     :: else
     fi;
     t_applied++;
     check () }
  /* A raises its floor or crashes.  */
  :: d_step { !a_dead && !a_floor_raised && a_applied > 0 && move_appended ->
     a_floor_raised = true }
  :: d_step { !a_dead -> a_dead = true }
  /* Witnesses ack the floor or promise.  */
  :: d_step { !a_dead && a_floor_raised && !promised[0] && !floor_acked[0] ->
     floor_acked[0] = true }
  :: d_step { !a_dead && a_floor_raised && !promised[1] && !floor_acked[1] ->
     floor_acked[1] = true }
  :: d_step { !a_dead && a_floor_raised && !promised[2] && !floor_acked[2] ->
     floor_acked[2] = true }
  :: d_step { !promised[0] -> promised[0] = true; check () }
  :: d_step { !promised[1] -> promised[1] = true; check () }
  :: d_step { !promised[2] -> promised[2] = true; check () }
  /* Certificates reach the successors.  */
  :: d_step { LOW_CERTIFICATE && !s_has_low -> s_has_low = true; check () }
  :: d_step { HIGH_CERTIFICATE && !s_has_high -> s_has_high = true; check () }
  :: d_step { LOW_CERTIFICATE && !t_has_low -> t_has_low = true; check () }
  :: d_step { HIGH_CERTIFICATE && !t_has_high -> t_has_high = true; check () }
  od
}
