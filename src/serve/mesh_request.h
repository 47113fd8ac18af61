#ifndef BAMBOOTALLY_MESH_REQUEST_H
#define BAMBOOTALLY_MESH_REQUEST_H

#include "types/request.h"

/* A request at this node, from its arrival to its answer.  */

#define MESH_REQUEST_TRIED_MAX 4u /* tried members that a request keeps */

enum mesh_request_phase
{
  MESH_REQUEST_WAITING, /* waiting for an owner, a grant or a retry */
  MESH_REQUEST_SENT,    /* forwarded to another node */
  MESH_REQUEST_QUEUED,  /* queued for a slot of the local backend server */
  MESH_REQUEST_RUNNING  /* running at the local backend server */
};

struct mesh_request
{
  struct request request;        /* its deadline is on this node's clock */
  enum mesh_request_phase phase; /* progress of the request */
  char route_name[NAME_SIZE];    /* name of the route, empty if not known */
  gint64 arrived_at;             /* when the request arrived */
  gint64 caller_deadline; /* deadline that the caller gave, on this node's
                             clock */
  gint64 body_bytes;      /* length of the request body, 0 if not known */
  guint32 max_attempts;   /* servers that the request may reach */
  guint32 reached_count;  /* servers that the request may have reached */
  gboolean may_have_run;  /* an attempt may have been executed */
  gboolean is_probe;    /* the request is let through though requests with its
                           digest are held back */
  gboolean awaits_body; /* the request is routed once its body is whole */
  gboolean withholds_end;   /* the last byte of its body is sent once the
                               digest of the body is known */
  gboolean is_loss_counted; /* it was counted as lost with the server */
  gboolean wait_logged;     /* the wait was logged, or is a wait for a grant */
  guint32 last_status; /* HTTP status of the last complete answer, 0: none */
  gint64 caller_retry_at; /* when the caller is told to retry, 0: not told */
  gint64 sent_at;         /* when the current attempt began */
  gint64 retry_at;        /* when the request is routed again */
  struct handle sent_to;  /* member that the last attempt went to */
  struct handle evacuated_at; /* member that refused the request since its data
                                 centre is evacuated, HANDLE_NONE: none did */
  guint32 denied_count;       /* attempts at servers that denied to hold the
                                 key */
  guint32 pause_count;        /* pauses after refusals, of a call */
  guint32 tried_count; /* attempts that failed or were refused; may exceed
                          MESH_REQUEST_TRIED_MAX */

  /* First members that refused the request or failed to answer it.  */
  struct handle tried_members[MESH_REQUEST_TRIED_MAX];
};

#endif
