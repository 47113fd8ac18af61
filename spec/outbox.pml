/* Configurations of two operators and a record of a node on the log.  An
   append in transit takes effect at any time, also after its sender has
   stopped waiting for the answer.  The sender repeats it if a read to the end
   of the log, started after the timeout, did not show it, so a record may be
   on the log twice.  Nodes apply the log at their own pace, forwards only.
   Operator 1 publishes c1 and then c3, which is based on c1; operator 2
   publishes c2, which is based on no configuration.

   A switch turns one rule off:
   BASE_OFF: a node activates a configuration based on one that is not active.
   EPOCH_OFF: a node applies a record whose expected epoch is past.
   ANSWER: an operator takes the answer to the append, not the record read back
     and applied, as the acceptance of a configuration.
   BACKWARDS: a restarted node applies the log from an older snapshot.  */

#define LOG 7
mtype = { c1, c2, c3, node_record };
mtype records[LOG];
byte log_length = 0;
byte in_transit[4]; /* appends of c1, c2, c3, node_record in transit */
byte send_count[4];
bool accepted[4];
byte applied[2];
byte active_config[2]; /* active configuration of each node, 0: none */
byte node_record_count[2]; /* times that node_record took effect */
byte last_config[2]; /* number of the configuration active at the last check */

#ifdef BASE_OFF
#define BASE(n, b) true
#else
#define BASE(n, b) (active_config[n] == (b))
#endif
#ifdef EPOCH_OFF
#define EPOCH(n) true
#else
#define EPOCH(n) (node_record_count[n] == 0)
#endif

inline apply (n)
{
  if
  :: records[applied[n]] == c1 && BASE (n, 0) -> active_config[n] = 1
  :: records[applied[n]] == c2 && BASE (n, 0) -> active_config[n] = 2
  :: records[applied[n]] == c3 && BASE (n, 1) -> active_config[n] = 3
  :: records[applied[n]] == node_record && EPOCH (n) -> node_record_count[n]++
  :: else
  fi;
  applied[n]++
}

/* An active configuration is replaced only by one that is based on it, and
   does not become active again; a record takes effect once; two nodes that
   have applied the log to the same offset agree; an accepted configuration is
   active or was replaced by its successor.  */
inline check (n)
{
  assert (node_record_count[n] <= 1);
  assert (!(last_config[n] == 1 && active_config[n] != 1 &&
            active_config[n] != 3));
  assert (!(last_config[n] == 2 && active_config[n] != 2));
  assert (!(last_config[n] == 3 && active_config[n] != 3));
  last_config[n] = active_config[n];
  assert (applied[0] != applied[1] || active_config[0] == active_config[1]);
  assert (!(accepted[0] && accepted[1]));
  assert (!(applied[n] == log_length && accepted[0] && active_config[n] != 1 &&
            active_config[n] != 3));
  assert (!(applied[n] == log_length && accepted[1] && active_config[n] != 2));
  assert (!(applied[n] == log_length && accepted[2] && active_config[n] != 3))
}

inline proposer (i, r, is_applied)
{
  if
  :: send_count[i] < 2 && log_length < LOG -> send_count[i]++; in_transit[i]++
  :: in_transit[i] > 0 && log_length < LOG ->
     in_transit[i]--;
     records[log_length] = r;
     log_length++;
#ifdef ANSWER
     accepted[i] = true
#endif
  :: in_transit[i] > 0 -> in_transit[i]--
#ifndef ANSWER
  :: !accepted[i] && is_applied -> accepted[i] = true
#endif
  fi
}

active proctype world ()
{
  do
  :: atomic { proposer (0, c1, active_config[0] == 1) }
  :: atomic { proposer (1, c2, active_config[1] == 2) }
  :: atomic { active_config[0] == 1 || send_count[2] > 0 ->
     proposer (2, c3, active_config[0] == 3) }
  :: atomic { proposer (3, node_record, node_record_count[0] == 1) }
  :: d_step { applied[0] < log_length -> apply (0); check (0) }
  :: d_step { applied[1] < log_length -> apply (1); check (1) }
#ifdef BACKWARDS
  :: d_step { applied[0] > 0 -> applied[0] = 0; active_config[0] = 0;
     node_record_count[0] = 0; check (0) }
#endif
  od
}
