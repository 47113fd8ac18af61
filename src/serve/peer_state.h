#ifndef BAMBOOTALLY_PEER_STATE_H
#define BAMBOOTALLY_PEER_STATE_H

#include "decide/breaker.h"
#include "types/handle.h"
#include "types/mesh_msg.h"

/* The state of another node of the mesh as this node knows it: whether the
   other node responds, how busy it is, and how much of the store it has
   read.  */

struct peer_state
{
  gint64 first_seen_at; /* when this node learned of the peer */
  gint64 waiting_since; /* when this node began to wait for a message from the
                           peer */
  gint64 last_message_at;  /* last message from the peer itself, 0: none yet */
  gint64 last_reported_at; /* last message from the peer that any node is known
                              to have received */
  guint64 last_sequence;   /* highest sequence number of the peer's gossip */
  gint64 reported_until;   /* gossip reports on the peer until then */
  gboolean is_neighbour;   /* the peer is a neighbour on the ring */
  gboolean is_gossip_target; /* this node sends gossip to the peer */
  gboolean is_watched;       /* this node checks whether the peer responds */
  gboolean reported_unresponsive; /* gossip of other nodes reports the peer as
                                     unresponsive */
  gint64 gossip_sent_at;          /* when gossip was last sent to the peer */
  guint64 gossip_serial;          /* serial of the last gossip sent */
  guint32 missed_gossip_count;    /* consecutive gossip without an answer */
  gboolean gossip_pending; /* the last gossip sent is not answered yet */
  guint64 incarnation; /* the peer's process, by its last message or record */
  guint64 recorded_incarnation; /* the peer's process, by its last record in
                                   the store */
  guint64 applied_offset;     /* the peer has applied all records below this */
  guint64 config_version;     /* configuration in force at the peer */
  guint64 evacuations_offset; /* offset of the peer's set of evacuated data
                                 centres */
  guint64 announced_evacuations; /* the same of the set that was last sent to
                                    the peer */
  guint64 announced_offset; /* applied offset that was last sent to the peer */
  guint64 announced_version; /* configuration that was last sent to the peer */
  guint64 announced_given_up;  /* given-up duties that were last sent to the
                                  peer */
  gint64 presumed_alive_until; /* the peer counts as alive until then, because
                                  the store shows it alive */
  gint64 ahead_since; /* since when the peer has had records or a configuration
                         that this node lacks, 0: it has none */
  gboolean is_leaving;      /* the peer is about to stop */
  gboolean store_lost;      /* the peer cannot reach the store */
  gboolean is_unresponsive; /* the peer was unresponsive at the last check */
  struct load_report load;  /* last load report of the peer's backend server */
  gint64 load_reported_at;  /* when that load report came, 0: never */
  guint32 recorded_slots;   /* slots of the server, by the peer's record */
  gint64 record_changed_at; /* when the record last named other slots or
                               another process */
  guint32 sent_since_load;  /* requests forwarded to the peer since its last
                               load report */
  guint32 in_flight; /* requests forwarded to the peer and not answered */
  gint64 unanswered_since; /* since when the peer has answered none of the
                              requests in flight, 0: none is in flight */
  gint64 late_until;       /* the peer is expected to answer late until then */
  struct breaker breaker;  /* circuit breaker for requests to the peer */
};

/* Properties of a request that influence its cost at a peer.  */
struct peer_query
{
  gboolean same_zone;      /* no link between zones lies on the way */
  gint64 default_run_usec; /* run time to assume at servers that report none,
                              0: not known */
  gint64 body_bytes;       /* length of the request body */
  gint64 busy_permille;    /* thousandths of a server's slots to assume to be
                              taken where that is not known; 0: half */
};

gint64 peer_state_last_message_at (const struct peer_state *peer);
gint64 peer_state_last_reported_at (const struct peer_state *peer);
gboolean peer_state_is_responsive (const struct peer_state *peer, gint64 now);
void peer_state_set_watched (struct peer_state *peer, gboolean watched,
                             gint64 now);
void peer_state_on_record (struct peer_state *peer,
                           const struct fleet_member *member, gint64 now);
void peer_state_on_message (struct peer_state *peer, gint64 now);
void peer_state_on_sent (struct peer_state *peer, gint64 now);
void peer_state_on_answer (struct peer_state *peer, gint64 now);
void peer_state_on_abandoned (struct peer_state *peer, gint64 now);
guint32 peer_state_slots (const struct peer_state *peer, gint64 now);
gdouble peer_state_capacity (const struct peer_state *peer,
                             gint64 default_run_usec, gint64 now);
gint64 peer_state_cost (const struct peer_state *peer,
                        const struct peer_query *query, gint64 now);
void peer_state_on_load (struct peer_state *peer,
                         const struct load_report *load, gint64 now);
void peer_state_on_gossip (struct peer_state *peer,
                           const struct gossip *gossip, gint64 now);

#endif
