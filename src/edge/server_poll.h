#ifndef BAMBOOTALLY_SERVER_POLL_H
#define BAMBOOTALLY_SERVER_POLL_H

#include "types/handle.h"

/* Asks the backend server beside this node for its load, and so finds out
   that it is gone.  */

#define SERVER_POLL_REPORT_SIZE 256u /* bytes kept of a report */

struct node;

struct server_poll
{
  struct handle pending_call;   /* the HTTP call under way */
  gint64 next_poll_at;          /* when the next is due, monotonic usec */
  gint64 poll_started_at;       /* when this one was sent */
  guint32 consecutive_failures; /* in a row */
  guint http_status;            /* of the answer */
  char report[SERVER_POLL_REPORT_SIZE]; /* the report */
  gsize report_length;                  /* bytes of it */
};

void server_poll_step (struct node *node, gint64 now);
void server_poll_soon (struct node *node);

#endif
