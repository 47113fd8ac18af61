#ifndef SOAK_SERVER_H
#define SOAK_SERVER_H

#include "edge/http.h"
#include "soak/soak_book.h"
#include "types/heartbeat.h"

/* A simulated backend server.  It sends heartbeats to its node, holds the key
   ranges that the answers grant, and runs requests for a few milliseconds.  */

struct soak_server
{
  SoupServer *front;      /* HTTP server for requests */
  struct http *http;      /* HTTP client for heartbeats */
  struct soak_book *book; /* checker that is told of each run */
  struct address told;    /* address in the heartbeats, where the relay to the
                             server listens */
  struct address node;    /* address where the node takes heartbeats */
  char service[NAME_SIZE];
  gboolean divided; /* a request runs only while its key is held */
  struct server_instance instance; /* current run of the server's process, as
                                      heartbeats name it */
  guint64 number; /* number of the last heartbeat of this instance */
  guint32 held;   /* length of held_ranges */
  struct key_range hold[HEARTBEAT_RANGES_MAX];
  guint32 freed; /* length of released_ranges */
  struct key_range free[HEARTBEAT_RANGES_MAX];
  gint64 hold_until; /* expiry of all held ranges, monotonic usec */
  gint64 beat_sent; /* time when the last heartbeat was sent, monotonic usec */
  gboolean beating; /* a heartbeat is in flight */
  guint timer;      /* event source for the next heartbeat, or 0 */
  GByteArray *answer; /* body of the answer to the heartbeat */
  guint status;       /* HTTP status of the answer to the heartbeat */
};

gboolean soak_server_init (struct soak_server *server,
                           struct http *http_client, struct soak_book *checker,
                           struct address listen_address);
void soak_server_clear (struct soak_server *server);
void soak_server_beat_in (struct soak_server *server, guint msec);
void soak_server_begin (struct soak_server *server);
gboolean soak_server_holds (const struct soak_server *server, guint32 key,
                            gint64 now);

#endif
