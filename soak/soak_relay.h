#ifndef SOAK_RELAY_H
#define SOAK_RELAY_H

#include "edge/conn.h"

/* A TCP relay on loopback between a node and its server or the store.  It
   simulates the faults of a network.  */

enum soak_relay_mode
{
  SOAK_RELAY_WELL,    /* pass all bytes on */
  SOAK_RELAY_SLOW,    /* pass all bytes on after a delay */
  SOAK_RELAY_SILENT,  /* drop all bytes and keep the connections */
  SOAK_RELAY_ONE_WAY, /* drop the bytes from the target, pass the others on */
  SOAK_RELAY_RESET    /* close all connections, open and new ones */
};

struct soak_relay
{
  struct address to; /* address that connections are relayed to */
  enum soak_relay_mode
      mode;          /* what the relay does with connections and bytes */
  GSocket *listener; /* listening socket */
  GSource *accept;   /* event source for incoming connections */
  GPtrArray *pairs;  /* struct soak_relay_pair: open connections */
};

gboolean soak_relay_init (struct soak_relay *relay,
                          struct address listen_address,
                          struct address target_address);
void soak_relay_clear (struct soak_relay *relay);
void soak_relay_set (struct soak_relay *relay, enum soak_relay_mode mode);

#endif
