/* Configurations of two operators and a node's own record on the log.
   An append takes effect at any time while it is on its way, also after its
   answer was given up; its sender sends it again if a read to the tail, begun
   after the loss, did not show it, so that a record may stand twice.  Nodes
   fold at their own pace, forwards only.  Operator 1 publishes c1 and then c3
   made from it, operator 2 publishes c2 made from none.

   BASE_OFF: the fold puts in force what was made from another configuration.
   EPOCH_OFF: the fold takes a record whose expected epoch is past.
   ANSWER: an operator counts a configuration as accepted by the append's
     answer, not by the fold of what was read back.
   BACKWARDS: a node that starts again folds from an older snapshot in place.  */

#define LOG 7
mtype = { c1, c2, c3, own };
mtype rec[LOG];
byte length = 0;
byte ways[4];        /* sendings of c1, c2, c3, own on their way */
byte sendings[4];
bool accepted[4];
byte pos[2];
byte config[2];      /* configuration in force, 0 for none */
byte steps[2];       /* changes of it by c1 and c3 in turn */
byte epoch[2];       /* times that the node's own record took effect */
byte highest[2];     /* rank of the configuration that was in force */

#ifdef BASE_OFF
#define BASE(n, b) true
#else
#define BASE(n, b) (config[n] == (b))
#endif
#ifdef EPOCH_OFF
#define EPOCH(n) true
#else
#define EPOCH(n) (epoch[n] == 0)
#endif

inline fold (n)
{
  if
  :: rec[pos[n]] == c1 && BASE (n, 0) -> config[n] = 1
  :: rec[pos[n]] == c2 && BASE (n, 0) -> config[n] = 2
  :: rec[pos[n]] == c3 && BASE (n, 1) -> config[n] = 3
  :: rec[pos[n]] == own && EPOCH (n) -> epoch[n]++
  :: else
  fi;
  pos[n]++
}

/* No configuration that was in force comes back or is lost to one that was
   not made from it; a record takes effect once; two nodes at one offset
   agree; what was accepted is in force or was replaced by its successor.  */
inline check (n)
{
  assert (epoch[n] <= 1);
  assert (!(highest[n] == 1 && config[n] != 1 && config[n] != 3));
  assert (!(highest[n] == 2 && config[n] != 2));
  assert (!(highest[n] == 3 && config[n] != 3));
  highest[n] = config[n];
  assert (pos[0] != pos[1] || config[0] == config[1]);
  assert (!(accepted[0] && accepted[1]));
  assert (!(pos[n] == length && accepted[0] && config[n] != 1 &&
            config[n] != 3));
  assert (!(pos[n] == length && accepted[1] && config[n] != 2));
  assert (!(pos[n] == length && accepted[2] && config[n] != 3))
}

inline proposer (i, r, folded)
{
  if
  :: sendings[i] < 2 && length < LOG -> sendings[i]++; ways[i]++
  :: ways[i] > 0 && length < LOG ->
     ways[i]--;
     rec[length] = r;
     length++;
#ifdef ANSWER
     accepted[i] = true
#endif
  :: ways[i] > 0 -> ways[i]--
#ifndef ANSWER
  :: !accepted[i] && folded -> accepted[i] = true
#endif
  fi
}

active proctype world ()
{
  do
  :: atomic { proposer (0, c1, config[0] == 1) }
  :: atomic { proposer (1, c2, config[1] == 2) }
  :: atomic { config[0] == 1 || sendings[2] > 0 ->
     proposer (2, c3, config[0] == 3) }
  :: atomic { proposer (3, own, epoch[0] == 1) }
  :: d_step { pos[0] < length -> fold (0); check (0) }
  :: d_step { pos[1] < length -> fold (1); check (1) }
#ifdef BACKWARDS
  :: d_step { pos[0] > 0 -> pos[0] = 0; config[0] = 0; epoch[0] = 0; check (0) }
#endif
  od
}
