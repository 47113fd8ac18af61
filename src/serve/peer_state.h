#ifndef BAMBOOTALLY_PEER_STATE_H
#define BAMBOOTALLY_PEER_STATE_H

#include "decide/breaker.h"
#include "types/handle.h"
#include "types/mesh_msg.h"

/* What this node has seen of another one: whether it is heard, how busy it
   is, and what it knows of the store.  */

struct peer_state
{
  gint64 first_seen_at;    /* when this node first knew of it */
  gint64 waiting_since;    /* its silence counts from here at the earliest */
  gint64 last_message_at;  /* last word from it, 0: none yet */
  gint64 last_reported_at; /* last word from it that any node heard, as far as
                  that was told */
  guint64 last_sequence;   /* highest of its process that was heard of */
  gint64 reported_until;   /* other nodes are told of it until then */
  gboolean is_neighbour;   /* it is one on the ring */
  gboolean is_gossip_target;      /* it is called at intervals */
  gboolean is_watched;            /* its silence is noticed here */
  gboolean reported_unresponsive; /* others say that it is silent */
  gint64 gossip_sent_at;          /* when it was last called */
  guint64 gossip_serial;          /* of that call */
  guint32 missed_gossip_count;    /* in a row */
  gboolean gossip_pending;        /* that call is not answered yet */
  guint64 incarnation; /* its process, as it or its record said last */
  guint64 recorded_incarnation; /* its process, as its record said last */
  guint64 applied_offset;       /* records below this it has folded */
  guint64 config_version;       /* version that it has in force */
  gint64 presumed_alive_until;  /* the store has shown it alive */
  gint64 ahead_since;       /* it has known more than this node since, 0: no */
  gboolean is_leaving;      /* it is about to end */
  gboolean store_lost;      /* the store does not answer it */
  gboolean is_unresponsive; /* it was reported as not heard */
  struct load_report load;  /* its gate, as it said last */
  gint64 load_reported_at;  /* when it said that, 0: never */
  guint32 sent_since_load;  /* requests sent to it since it said that */
  guint32 in_flight;        /* requests that it has from here */
  gint64 unanswered_since;  /* it has answered nothing since then though it has
                         requests from here; 0: it has none */
  gint64 late_until;        /* it is thought to answer late until then */
  struct breaker breaker;   /* keeps requests away from it */
};

/* A request whose place is looked for.  */
struct peer_query
{
  gboolean same_zone;      /* no link between zones lies on the way */
  gint64 default_run_usec; /* of a server that has told no run time, 0: not
                              known */
  gint64 body_bytes;       /* of its body */
};

gint64 peer_state_last_message_at (const struct peer_state *peer_state);
gint64 peer_state_last_reported_at (const struct peer_state *peer_state);
gboolean peer_state_is_responsive (const struct peer_state *peer_state,
                                   gint64 now);
void peer_state_set_watched (struct peer_state *peer_state, gboolean watched,
                             gint64 now);
void peer_state_on_record (struct peer_state *peer_state,
                           const struct fleet_member *member, gint64 now);
void peer_state_on_message (struct peer_state *peer_state, gint64 now);
void peer_state_on_sent (struct peer_state *peer_state, gint64 now);
void peer_state_on_answer (struct peer_state *peer_state, gint64 now);
void peer_state_on_abandoned (struct peer_state *peer_state, gint64 now);
gint64 peer_state_cost (const struct peer_state *peer_state,
                        const struct peer_query *ask, gint64 now);
void peer_state_on_load (struct peer_state *peer_state,
                         const struct load_report *load, gint64 now);
void peer_state_on_gossip (struct peer_state *peer_state,
                           const struct gossip *gossip, gint64 now);

#endif
