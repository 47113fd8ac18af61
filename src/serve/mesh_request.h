#ifndef BAMBOOTALLY_MESH_REQUEST_H
#define BAMBOOTALLY_MESH_REQUEST_H

#include "types/request.h"

/* A request that is in this node's hands.  */

#define MESH_REQUEST_TRIED_MAX 4u /* nodes that one request is sent to */

enum mesh_request_phase
{
  MESH_REQUEST_WAITING, /* for an owner, or for another try */
  MESH_REQUEST_SENT,    /* another node has it */
  MESH_REQUEST_QUEUED,  /* it waits for a slot of the server here */
  MESH_REQUEST_RUNNING  /* the server here runs it */
};

struct mesh_request
{
  struct request request;        /* what it is; its deadline is this node's */
  enum mesh_request_phase phase; /* where it is */
  char route_name[NAME_SIZE];    /* name of the route, empty if not known */
  gint64 arrived_at;             /* when it came */
  gint64 body_bytes;             /* of its body, 0 if not known */
  guint32 max_attempts;          /* servers that it may be sent to */
  guint32 reached_count;         /* servers that it may have reached */
  gboolean may_have_run;         /* an attempt may have run */
  gboolean wait_logged;          /* that it waits was logged */
  guint32 last_status;           /* of the last whole answer, 0: none */
  gint64 caller_retry_at; /* its caller is told to come again then, 0: it is
                       not told when */
  gint64 sent_at;         /* when the attempt under way began */
  gint64 retry_at;        /* when it is routed again */
  struct handle sent_to;  /* member that has it */
  guint32 tried_count;    /* members that refused or failed it */
  struct handle tried_members[MESH_REQUEST_TRIED_MAX]; /* they */
};

#endif
