#ifndef BAMBOOTALLY_LEASE_H
#define BAMBOOTALLY_LEASE_H

#include "types/action.h"
#include "types/view.h"

/* The lease of this node: held while a majority of its witnesses has acked a
   renewal sent less than LEASE_USEC ago.  While a new witness set replaces the
   old one, a majority of each is needed.  A handoff gives up a slice or a
   witness set: it begins by raising the floor that renewals carry, and is
   complete once a majority has acked that floor.  */

#define LEASE_RENEWALS_KEPT 8u /* sent renewals that are remembered */

/* State of one witness of this node.  */
struct lease_witness
{
  guint64 incarnation;  /* the witness */
  gint64 acked_sent_at; /* send time of the newest renewal that the witness
                           acked, monotonic usec */
  guint64 acked_floor;  /* highest floor that the witness acked */
  guint32 consecutive_refusals; /* refusals since the last ack */
};

/* A renewal that was sent to all witnesses.  */
struct lease_renewal
{
  guint64 number; /* rises with each renewal */
  gint64 sent_at; /* when the renewal was sent, monotonic usec */
  guint64 floor;  /* floor that the renewal carried */
};

/* The witness sets are copies of those in the view, because a set on the log
   is adopted only when its handoff may begin.  */
struct lease
{
  guint64 witnesses[WITNESS_MAX];     /* witness set in force */
  guint32 witness_count;              /* witnesses in the set in force */
  guint64 old_witnesses[WITNESS_MAX]; /* previous witness set */
  guint32 old_witness_count;          /* witnesses in the previous set */
  guint64 last_renewal;               /* number of the last renewal */
  gint64 next_renewal_at; /* when the next renewal is due, monotonic usec */
  /* sent renewals, at their number modulo LEASE_RENEWALS_KEPT */
  struct lease_renewal renewals[LEASE_RENEWALS_KEPT];
  /* state of the witnesses of both sets */
  struct lease_witness witness_states[2 * WITNESS_MAX];
  guint32 witness_state_count; /* entries in witness_states */
  guint64 witness_epoch;       /* offset of the record of the set in force */
  gboolean is_joint;           /* a majority of the old set is needed too */
  /* highest offset of a handoff that has begun; sent in renewals */
  guint64 floor;
  gint64 expires_at; /* the lease is held until then, monotonic usec */
  gboolean was_held; /* the lease was held at the last step, for the log */
};

void lease_init (struct lease *lease);
void lease_step (struct lease *lease, const struct view *view,
                 struct handle self, guint64 handoff_limit, gint64 now,
                 guint64 *serial, struct actions *out);
void lease_on_reply (struct lease *lease, guint64 peer,
                     const struct peer_renew_reply *reply);
void lease_raise_floor (struct lease *lease, guint64 floor);
gboolean lease_witness_refuses (const struct lease *lease, guint64 peer);
gboolean lease_can_renew (const struct lease *lease, const struct view *view);
gboolean lease_is_held (const struct lease *lease, gint64 now);
gboolean lease_is_floor_acked (const struct lease *lease, guint64 floor);

#endif
