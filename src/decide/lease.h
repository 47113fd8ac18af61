#ifndef BAMBOOTALLY_LEASE_H
#define BAMBOOTALLY_LEASE_H

#include "types/action.h"
#include "types/view.h"

/* The lease of this node: held while a majority of its witnesses has acked a
   renewal sent less than LEASE_USEC ago.  While a new witness set is taking
   over from the one before, a majority of each is needed.  */

#define LEASE_ROUNDS 8u /* renewals whose send times are remembered */

/* What is known of one witness.  */
struct lease_witness
{
  guint64 incarnation; /* the witness */
  gint64 acked;        /* when the newest renewal it acked was sent */
  guint64 floor;       /* highest floor it acked */
  guint32 refusals;    /* times it has refused since it last acked */
};

/* A renewal that was sent.  */
struct lease_round
{
  guint64 round; /* its number */
  gint64 sent;   /* when, monotonic microseconds */
  guint64 floor; /* floor that it carried */
};

/* The witness sets in force are copies: a set that stands on the log is taken
   over only when its giving-up may begin.  */
struct lease
{
  guint64 set[WITNESS_MAX];                /* witnesses in force */
  guint32 set_count;                       /* how many */
  guint64 before[WITNESS_MAX];             /* witnesses of the set before */
  guint32 before_count;                    /* how many */
  guint64 round;                           /* number of the last renewal */
  gint64 next_send;                        /* when the next renewal is due */
  struct lease_round rounds[LEASE_ROUNDS]; /* by round modulo */
  struct lease_witness peers[2 * WITNESS_MAX]; /* witnesses of both sets */
  guint32 count;                               /* peers in use */
  guint64 epoch;                               /* offset of the set in force */
  gboolean joint; /* the set before still counts */
  guint64 floor;  /* floor of the next renewal */
  gint64 until;   /* the lease ends then */
  gboolean held;  /* what the last step found, for notes */
};

void lease_init (struct lease *lease);
void lease_step (struct lease *lease, const struct view *view,
                 struct handle self, guint64 limit, gint64 now,
                 guint64 *serial, struct actions *out);
void lease_on_reply (struct lease *lease, guint64 peer,
                     const struct peer_renew_reply *reply);
void lease_raise_floor (struct lease *lease, guint64 floor);
gboolean lease_is_refused (const struct lease *lease, guint64 peer);
gboolean lease_can_renew (const struct lease *lease, const struct view *view);
gboolean lease_is_held (const struct lease *lease, gint64 now);
gboolean lease_floor_acked (const struct lease *lease, guint64 floor);

#endif
