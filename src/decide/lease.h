#ifndef BAMBOOTALLY_LEASE_H
#define BAMBOOTALLY_LEASE_H

#include "types/action.h"
#include "types/view.h"

/* The lease of this node: held while a majority of its witnesses has acked a
   renewal sent less than LEASE_USEC ago.  While a new witness set is taking
   over from the one before, a majority of each is needed.  */

#define LEASE_RENEWALS_KEPT 8u /* renewals whose send times are remembered */

/* What is known of one witness.  */
struct lease_witness
{
  guint64 incarnation;          /* the witness */
  gint64 acked_sent_at;         /* when the newest renewal it acked was sent */
  guint64 acked_floor;          /* highest floor it acked */
  guint32 consecutive_refusals; /* times it has refused since it last acked */
};

/* A renewal that was sent.  */
struct lease_renewal
{
  guint64 number; /* its number */
  gint64 sent_at; /* when, monotonic microseconds */
  guint64 floor;  /* floor that it carried */
};

/* The witness sets in force are copies: a set that stands on the log is taken
   over only when its giving-up may begin.  */
struct lease
{
  guint64 witnesses[WITNESS_MAX];     /* witnesses in force */
  guint32 witness_count;              /* how many */
  guint64 old_witnesses[WITNESS_MAX]; /* witnesses of the set before */
  guint32 old_witness_count;          /* how many */
  guint64 last_renewal;               /* number of the last renewal */
  gint64 next_renewal_at;             /* when the next renewal is due */
  struct lease_renewal renewals[LEASE_RENEWALS_KEPT]; /* by round modulo */
  struct lease_witness
      witness_states[2 * WITNESS_MAX]; /* witnesses of both sets */
  guint32 witness_state_count;         /* peers in use */
  guint64 witness_epoch;               /* offset of the set in force */
  gboolean is_joint;                   /* the set before still counts */
  guint64 floor;                       /* floor of the next renewal */
  gint64 expires_at;                   /* the lease ends then */
  gboolean was_held; /* what the last step found, for notes */
};

void lease_init (struct lease *lease);
void lease_step (struct lease *lease, const struct view *view,
                 struct handle self, guint64 limit, gint64 now,
                 guint64 *serial, struct actions *out);
void lease_on_reply (struct lease *lease, guint64 peer,
                     const struct peer_renew_reply *reply);
void lease_raise_floor (struct lease *lease, guint64 floor);
gboolean lease_witness_refuses (const struct lease *lease, guint64 peer);
gboolean lease_can_renew (const struct lease *lease, const struct view *view);
gboolean lease_is_held (const struct lease *lease, gint64 now);
gboolean lease_is_floor_acked (const struct lease *lease, guint64 floor);

#endif
