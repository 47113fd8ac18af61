#ifndef SOAK_SERVER_H
#define SOAK_SERVER_H

#include "edge/http.h"
#include "soak/soak_book.h"
#include "types/heartbeat.h"

/* A stand-in for a backend server: it beats to its node, holds the ranges that
   it is granted, and runs requests for a while.  */

struct soak_server
{
  SoupServer *front;      /* where it runs requests */
  struct http *http;      /* for its beats */
  struct soak_book *book; /* told of each run */
  struct address told;    /* where it says that it serves */
  struct address node;    /* where its node takes beats */
  char service[NAME_SIZE];
  gboolean divided;                /* it runs a key only while it holds it */
  struct server_instance instance; /* its life */
  guint64 number;                  /* of the last beat */
  guint32 held;                    /* ranges that it holds */
  struct key_range hold[HEARTBEAT_RANGES_MAX];
  guint32 freed; /* ranges that it gave up */
  struct key_range free[HEARTBEAT_RANGES_MAX];
  gint64 hold_until;  /* for so long */
  gint64 beat_sent;   /* when the last beat was sent */
  gboolean beating;   /* it is not answered yet */
  guint timer;        /* for the next beat */
  GByteArray *answer; /* to the beat */
  guint status;       /* of that answer */
};

gboolean soak_server_init (struct soak_server *server, struct http *http,
                           struct soak_book *book, struct address at);
void soak_server_clear (struct soak_server *server);
void soak_server_beat_in (struct soak_server *server, guint msec);
void soak_server_begin (struct soak_server *server);
gboolean soak_server_holds (const struct soak_server *server, guint32 key,
                            gint64 now);

#endif
