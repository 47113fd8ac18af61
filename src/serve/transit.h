#ifndef BAMBOOTALLY_TRANSIT_H
#define BAMBOOTALLY_TRANSIT_H

#include "types/request.h"

/* A request that is in this node's hands.  */

#define TRANSIT_TRIED_MAX 4u /* nodes that one request is sent to */

enum transit_phase
{
  TRANSIT_WAITING, /* for an owner, or for another try */
  TRANSIT_SENT,    /* another node has it */
  TRANSIT_QUEUED,  /* it waits for a slot of the server here */
  TRANSIT_RUNNING  /* the server here runs it */
};

struct transit
{
  struct request request;   /* what it is; its deadline is this node's */
  enum transit_phase phase; /* where it is */
  char route[NAME_SIZE];    /* name of the route, empty if not known */
  gint64 came;              /* when it came */
  gint64 bytes;             /* of its body, 0 if not known */
  guint32 attempts;         /* servers that it may be sent to */
  guint32 reached;          /* servers that it may have reached */
  gboolean may_have_run;    /* an attempt may have run */
  gboolean waited;          /* that it waits was logged */
  guint32 status;           /* of the last whole answer, 0: none */
  gint64 return_at;         /* its caller is told to come again then, 0: it is
                               not told when */
  gint64 sent;              /* when the attempt under way began */
  gint64 retry_at;          /* when it is routed again */
  struct handle to;         /* member that has it */
  guint32 tried;            /* members that refused or failed it */
  struct handle past[TRANSIT_TRIED_MAX]; /* they */
};

#endif
