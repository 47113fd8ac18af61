#ifndef BAMBOOTALLY_SERVER_POLL_H
#define BAMBOOTALLY_SERVER_POLL_H

#include "types/handle.h"

/* Polls the load of the local backend server over HTTP, and thereby detects
   that the server is down.  */

#define SERVER_POLL_REPORT_SIZE 256u /* bytes of a report, with its '\0' */

struct node;

struct server_poll
{
  struct handle pending_call;   /* pending HTTP call, if any */
  gint64 next_poll_at;          /* when the next poll is due, monotonic
                                   usec */
  gint64 poll_started_at;       /* when the last poll was sent,
                                   monotonic usec */
  guint32 consecutive_failures; /* failed polls since the last success */
  guint http_status;            /* HTTP status of the response */
  char report[SERVER_POLL_REPORT_SIZE]; /* response body */
  gsize report_length;                  /* bytes of report received so far */
};

void server_poll_step (struct node *node, gint64 now);
void server_poll_soon (struct node *node);

#endif
