#ifndef SOAK_RELAY_H
#define SOAK_RELAY_H

#include "edge/conn.h"

/* A loopback relay between a node and something else, on which the ways of a
   network go wrong.  */

enum soak_relay_mode
{
  SOAK_RELAY_NORMAL,       /* it passes all on */
  SOAK_RELAY_DELAY,        /* it passes all on late */
  SOAK_RELAY_DROP,         /* it drops all bytes, and no connection */
  SOAK_RELAY_DROP_ANSWERS, /* it drops the bytes that come back */
  SOAK_RELAY_RESET         /* it ends connections, old and new */
};

struct soak_relay
{
  struct address target_address; /* where it leads */
  enum soak_relay_mode mode;     /* what it does */
  GSocket *listener;             /* where it listens */
  GSource *accept_source;        /* watch for connections */
  GPtrArray *pipes;              /* struct soak_relay_pair */
};

gboolean soak_relay_init (struct soak_relay *relay, struct address at,
                          struct address to);
void soak_relay_clear (struct soak_relay *relay);
void soak_relay_set_mode (struct soak_relay *relay, enum soak_relay_mode mode);

#endif
