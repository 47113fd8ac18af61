#ifndef BAMBOOTALLY_UPSTREAM_H
#define BAMBOOTALLY_UPSTREAM_H

#include "decide/breaker.h"
#include "types/handle.h"
#include "types/mesh_msg.h"

/* What this node has seen of another one: whether it is heard, how busy it
   is, and what it knows of the store.  */

struct upstream
{
  gint64 seen;             /* when this node first knew of it */
  gint64 since;            /* its silence counts from here at the earliest */
  gint64 heard;            /* last word from it, 0: none yet */
  gint64 told;             /* last word from it that any node heard, as far as
                              that was told */
  guint64 stamp;           /* highest of its process that was heard of */
  gint64 news_until;       /* other nodes are told of it until then */
  gboolean neighbour;      /* it is one on the ring */
  gboolean called;         /* it is called at intervals */
  gboolean watched;        /* its silence is noticed here */
  gboolean suspected;      /* others say that it is silent */
  gint64 pulse_at;         /* when it was last called */
  guint64 pulse_serial;    /* of that call */
  guint32 pulses_missed;   /* in a row */
  gboolean pulse_pending;  /* that call is not answered yet */
  guint64 incarnation;     /* its process, as it or its record said last */
  guint64 recorded;        /* its process, as its record said last */
  guint64 applied;          /* records below this it has folded */
  guint64 config;          /* version that it has in force */
  gint64 vouched_until;    /* the store has shown it alive */
  gint64 behind_since;     /* it has known more than this node since, 0: no */
  gboolean leaving;        /* it is about to end */
  gboolean store_lost;     /* the store does not answer it */
  gboolean silent;         /* it was reported as not heard */
  struct load_report load; /* its gate, as it said last */
  gint64 load_at;          /* when it said that, 0: never */
  guint32 sent;            /* requests sent to it since it said that */
  guint32 flying;          /* requests that it has from here */
  gint64 owes_since;       /* it has answered nothing since then though it has
                              requests from here; 0: it has none */
  gint64 late_until;       /* it is thought to answer late until then */
  struct breaker breaker;  /* keeps requests away from it */
};

/* A request whose place is looked for.  */
struct upstream_ask
{
  gboolean same_zone; /* no link between zones lies on the way */
  gint64 run_usec;    /* of a server that has told no run time, 0: not known */
  gint64 bytes;       /* of its body */
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
void upstream_on_pulse (struct upstream *upstream, const struct gossip *gossip,
                        gint64 now);

#endif
