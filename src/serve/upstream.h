#ifndef BAMBOOTALLY_UPSTREAM_H
#define BAMBOOTALLY_UPSTREAM_H

#include "decide/breaker.h"
#include "types/handle.h"
#include "types/mesh_msg.h"

/* What this node knows about another node of the mesh: whether it responds,
   how busy it is, and how much of the store it has read.  */

struct upstream
{
  gint64 seen;   /* when this node learned of the peer */
  gint64 since;  /* the peer's silence counts from here at the earliest */
  gint64 heard;  /* last message from the peer itself, 0: none yet */
  gint64 told;   /* last message from the peer that any node is known to have
                    received */
  guint64 stamp; /* highest gossip stamp known of the peer's process */
  gint64 news_until;      /* gossip reports on the peer until then */
  gboolean neighbour;     /* the peer is a neighbour on the ring */
  gboolean called;        /* this node sends gossip to the peer periodically */
  gboolean watched;       /* this node checks whether the peer responds */
  gboolean suspected;     /* other nodes report the peer as unresponsive */
  gint64 pulse_at;        /* when gossip was last sent to the peer */
  guint64 pulse_serial;   /* serial of the last gossip sent */
  guint32 pulses_missed;  /* consecutive gossip messages without an answer */
  gboolean pulse_pending; /* the last gossip sent is not answered yet */
  guint64 incarnation; /* the peer's process, by its last message or record */
  guint64 recorded; /* the peer's process, by its last record in the store */
  guint64 folded;   /* the peer has applied all records below this */
  guint64 config;   /* version of the configuration in force at the peer */
  gint64 vouched_until; /* the peer counts as alive until then, because the
                           store shows it alive */
  gint64 behind_since; /* since when the peer has known more than this node, 0:
                          it does not */
  gboolean leaving;    /* the peer is about to stop */
  gboolean store_lost; /* the peer cannot reach the store */
  gboolean silent; /* the peer was unresponsive at the last check, which was
                      logged */
  struct load_report load; /* last load report of the peer's backend server */
  gint64 load_at;          /* when that load report came, 0: never */
  guint32 sent; /* requests forwarded to the peer since its last load report */
  guint32 flying;    /* requests forwarded to the peer and not answered */
  gint64 owes_since; /* since when the peer has answered none of its requests
                        from this node, 0: it has none */
  gint64 late_until; /* the peer is expected to answer late until then */
  struct breaker breaker; /* circuit breaker for requests to the peer */
};

/* Properties of a request that influence its cost at a peer.  */
struct upstream_ask
{
  gboolean same_zone; /* no link between zones lies on the way */
  gint64 run_usec;    /* run time to assume at servers that report none, 0: not
                         known */
  gint64 bytes;       /* length of the request body */
};

gint64 upstream_last_word (const struct upstream *upstream);
gint64 upstream_last_told (const struct upstream *upstream);
gboolean upstream_is_heard (const struct upstream *upstream, gint64 now);
void upstream_watch (struct upstream *upstream, gboolean watched, gint64 now);
void upstream_on_record (struct upstream *upstream,
                         const struct fleet_member *member, gint64 now);
void upstream_on_word (struct upstream *upstream, gint64 now);
void upstream_on_sent (struct upstream *upstream, gint64 now);
void upstream_on_answer (struct upstream *upstream, gint64 now);
void upstream_on_abandoned (struct upstream *upstream, gint64 now);
gint64 upstream_cost (const struct upstream *upstream,
                      const struct upstream_ask *ask, gint64 now);
void upstream_on_load (struct upstream *upstream,
                       const struct load_report *load, gint64 now);
void upstream_on_pulse (struct upstream *upstream, const struct pulse *pulse,
                        gint64 now);

#endif
