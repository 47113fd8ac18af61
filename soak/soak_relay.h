#ifndef SOAK_RELAY_H
#define SOAK_RELAY_H

#include "edge/conn.h"

/* A TCP relay on loopback between a node and its server or the store.  It
   simulates the faults of a network.  */

enum soak_relay_mode
{
  SOAK_RELAY_NORMAL,       /* pass all bytes on */
  SOAK_RELAY_DELAY,        /* pass all bytes on after a delay */
  SOAK_RELAY_DROP,         /* drop all bytes and keep the connections */
  SOAK_RELAY_DROP_ANSWERS, /* drop the bytes from the target */
  SOAK_RELAY_RESET         /* close all connections, open and new ones */
};

struct soak_relay
{
  struct address target_address; /* address to relay connections to */
  enum soak_relay_mode mode;     /* treatment of connections and bytes */
  GSocket *listener;             /* listening socket */
  GSource *accept_source;        /* event source for incoming connections */
  GPtrArray *pairs;              /* struct soak_relay_pair: open connections */
};

gboolean soak_relay_init (struct soak_relay *relay,
                          struct address listen_address,
                          struct address target_address);
void soak_relay_clear (struct soak_relay *relay);
void soak_relay_set_mode (struct soak_relay *relay, enum soak_relay_mode mode);

#endif
