#ifndef SOAK_SERVER_H
#define SOAK_SERVER_H

#include "edge/http.h"
#include "soak/soak_checker.h"
#include "types/heartbeat.h"

/* A stand-in for a backend server: it beats to its node, holds the ranges that
   it is granted, and runs requests for a while.  */

struct soak_server
{
  SoupServer *http_server;          /* where it runs requests */
  struct http *http_client;         /* for its beats */
  struct soak_checker *checker;     /* told of each run */
  struct address announced_address; /* where it says that it serves */
  struct address control_address;   /* where its node takes beats */
  char service[NAME_SIZE];
  gboolean sharded;                /* it runs a key only while it holds it */
  struct server_instance instance; /* its life */
  guint64 heartbeat_seq;           /* of the last beat */
  guint32 held_range_count;        /* ranges that it holds */
  struct key_range held_ranges[HEARTBEAT_RANGES_MAX];
  guint32 released_range_count; /* ranges that it gave up */
  struct key_range released_ranges[HEARTBEAT_RANGES_MAX];
  gint64 held_until;            /* for so long */
  gint64 heartbeat_sent_at;     /* when the last beat was sent */
  gboolean heartbeat_pending;   /* it is not answered yet */
  guint heartbeat_timer;        /* for the next beat */
  GByteArray *heartbeat_answer; /* to the beat */
  guint heartbeat_status;       /* of that answer */
};

gboolean soak_server_init (struct soak_server *server, struct http *http,
                           struct soak_checker *book, struct address at);
void soak_server_clear (struct soak_server *server);
void soak_server_schedule_heartbeat (struct soak_server *server, guint msec);
void soak_server_begin_instance (struct soak_server *server);
gboolean soak_server_holds (const struct soak_server *server, guint32 key,
                            gint64 now);

#endif
