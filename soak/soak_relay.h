#ifndef SOAK_RELAY_H
#define SOAK_RELAY_H

#include "edge/conn.h"

/* A loopback relay between a node and something else, on which the ways of a
   network go wrong.  */

enum soak_relay_mode
{
  SOAK_RELAY_WELL,    /* it passes all on */
  SOAK_RELAY_SLOW,    /* it passes all on late */
  SOAK_RELAY_SILENT,  /* it drops all bytes, and no connection */
  SOAK_RELAY_ONE_WAY, /* it drops the bytes that come back */
  SOAK_RELAY_RESET    /* it ends connections, old and new */
};

struct soak_relay
{
  struct address to;         /* where it leads */
  enum soak_relay_mode mode; /* what it does */
  GSocket *listener;         /* where it listens */
  GSource *accept;           /* watch for connections */
  GPtrArray *pipes;          /* struct soak_pipe */
};

gboolean soak_relay_init (struct soak_relay *relay, struct address at,
                          struct address to);
void soak_relay_clear (struct soak_relay *relay);
void soak_relay_set (struct soak_relay *relay, enum soak_relay_mode mode);

#endif
