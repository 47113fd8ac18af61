#ifndef BAMBOOTALLY_FLIGHT_H
#define BAMBOOTALLY_FLIGHT_H

#include "decide/pick.h"
#include "types/request.h"

/* A request that this node has accepted and not ended.  */

enum flight_phase
{
  FLIGHT_QUEUED,    /* waits for a slot of the backend server */
  FLIGHT_RUNNING,   /* runs at the backend server */
  FLIGHT_FORWARDED, /* was sent to another node */
  FLIGHT_WAITING    /* is routed again at retry_at */
};

struct flight
{
  struct request request;  /* routing data of the request */
  enum flight_phase phase; /* what the request waits for */
  guint64 peer;    /* FORWARDED: incarnation of the node it was sent to */
  gint64 retry_at; /* RETRY_WAIT: when it is routed again, monotonic usec */
  gint64 sent;     /* when it was forwarded or began to run, monotonic usec */
  guint32 tries;   /* attempts made by this node */
  struct fence fence;    /* fence it was admitted under */
  gboolean remembered;   /* its id is in the deduplication table */
  gboolean suspected;    /* its loss with the server has been counted */
  gboolean may_have_run; /* an attempt ended with an unknown outcome */
  /* results of earlier attempts, for the choice of a node */
  struct pick_past past;
};

#endif
