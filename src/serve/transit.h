#ifndef BAMBOOTALLY_TRANSIT_H
#define BAMBOOTALLY_TRANSIT_H

#include "types/request.h"

/* A request at this node, from its arrival to its answer.  */

#define TRANSIT_TRIED_MAX 4u /* members that one request is sent to */

enum transit_phase
{
  TRANSIT_WAITING, /* for an owner, or for the next attempt */
  TRANSIT_SENT,    /* forwarded to another node */
  TRANSIT_QUEUED,  /* queued for a slot of the local backend server */
  TRANSIT_RUNNING  /* running at the local backend server */
};

struct transit
{
  struct request request;   /* request, its deadline on this clock */
  enum transit_phase phase; /* progress of the request */
  char route[NAME_SIZE];    /* name of the route, empty if not known */
  gint64 came;              /* when the request arrived */
  gint64 bytes;             /* length of the request body, 0 if not known */
  guint32 attempts;         /* servers that the request may be sent to */
  guint32 reached;          /* servers that the request may have reached */
  gboolean may_have_run;    /* an attempt may have been executed */
  gboolean waited;          /* the wait for an owner was logged */
  guint32 status;   /* HTTP status of the last complete answer, 0: none */
  gint64 return_at; /* when the caller is told to retry, 0: no time is given */
  gint64 sent;      /* when the current attempt began */
  gint64 retry_at;  /* when the request is routed again */
  struct handle to; /* member that the request was forwarded to */
  guint32 tried;    /* used entries of `tried_members' */
  struct handle past[TRANSIT_TRIED_MAX]; /* members that refused the request or
                                            failed to answer it */
};

#endif
