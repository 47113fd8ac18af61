#ifndef BAMBOOTALLY_SERVER_POLL_H
#define BAMBOOTALLY_SERVER_POLL_H

#include "types/handle.h"

/* Polls the load of the local backend server over HTTP, and thereby detects
   that the server is down.  */

#define SERVER_POLL_TEXT_SIZE 256u /* bytes of a report, with its '\0' */

struct node;

struct server_poll
{
  struct handle call;               /* pending HTTP call, if any */
  gint64 next;                      /* when the next poll is due, monotonic
                                       usec */
  gint64 begun;                     /* when the last poll was sent, monotonic
                                       usec */
  guint32 failures;                 /* failed polls since the last success */
  guint status;                     /* HTTP status of the response */
  char text[SERVER_POLL_TEXT_SIZE]; /* response body */
  gsize length;                     /* bytes received of the response body */
};

void server_poll_step (struct node *node, gint64 now);
void server_poll_soon (struct node *node);

#endif
