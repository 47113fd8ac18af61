#ifndef SOAK_SERVER_H
#define SOAK_SERVER_H

#include "edge/http.h"
#include "edge/http_server.h"
#include "soak/soak_checker.h"
#include "soak/soak_cold.h"
#include "soak/soak_evacuation.h"
#include "soak/soak_limit.h"
#include "soak/soak_orders.h"
#include "types/grant_method.h"
#include "types/heartbeat.h"

/* A simulated backend server.  It sends heartbeats to its node, holds the key
   ranges that the answers grant, and runs requests for a few milliseconds.  */

struct soak_server
{
  struct http_server http_server;   /* HTTP server for requests */
  struct table runs;                /* struct soak_run */
  struct http *http_client;         /* HTTP client for heartbeats */
  struct soak_checker *checker;     /* checker that records each run */
  struct address announced_address; /* relay's address, sent in heartbeats */
  struct address control_address;   /* node's address for heartbeats */
  char service[NAME_SIZE];          /* name of the service */
  gboolean sharded;          /* a request runs only while its key is held */
  enum grant_method method;  /* how the server is told its keys */
  struct soak_orders orders; /* its keys if that is by calls */
  struct soak_limit limit;   /* limit that the server names */
  struct soak_cold cold;     /* its warm-up; only of a divided service */
  const struct soak_evacuation *evacuation; /* the data centre that is
                                               evacuated */
  guint zone;           /* number of the server's data centre */
  gint64 held_up_until; /* requests may be held up on their way until
                           then, monotonic usec */
  struct server_instance instance; /* current run of the simulated process */
  guint64 heartbeat_seq;    /* number of the instance's last heartbeat */
  guint32 held_range_count; /* length of held_ranges */
  /* key ranges that the node has granted */
  struct key_range held_ranges[ANSWER_RANGES_MAX];
  guint32 released_range_count; /* length of released_ranges */
  /* key ranges that the next heartbeat reports as released */
  struct key_range released_ranges[ANSWER_RANGES_MAX];
  gint64 held_until;          /* expiry of all held ranges, monotonic usec */
  gint64 heartbeat_sent_at;   /* time of the last heartbeat, monotonic usec */
  gboolean heartbeat_pending; /* a heartbeat is in flight */
  guint heartbeat_timer;      /* event source for the next heartbeat, or 0 */
  GByteArray *heartbeat_answer; /* body of the answer to the heartbeat */
  guint heartbeat_status;       /* HTTP status of heartbeat_answer */
};

gboolean soak_server_init (struct soak_server *server,
                           struct http *http_client,
                           struct soak_checker *checker,
                           struct address listen_address);
void soak_server_clear (struct soak_server *server);
void soak_server_schedule_heartbeat (struct soak_server *server, guint msec);
void soak_server_begin_instance (struct soak_server *server);
gboolean soak_server_holds (const struct soak_server *server, guint32 key,
                            gint64 now);

#endif
