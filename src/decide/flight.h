#ifndef BAMBOOTALLY_FLIGHT_H
#define BAMBOOTALLY_FLIGHT_H

#include "decide/pick.h"
#include "types/request.h"

/* A request that is in this node's hands.  */

enum flight_phase
{
  FLIGHT_QUEUED,    /* waits for a slot of the server */
  FLIGHT_RUNNING,   /* the server runs it */
  FLIGHT_FORWARDED, /* another node has it */
  FLIGHT_WAITING    /* will be routed again at retry_at */
};

struct flight
{
  struct request request;  /* what it is */
  enum flight_phase phase; /* where it is */
  guint64 peer;            /* node that has it, when forwarded */
  gint64 retry_at;         /* when it is routed again, monotonic usec */
  gint64 sent;             /* when it was sent or began to run */
  guint32 tries;           /* attempts made from here */
  struct fence fence;      /* fence it was admitted under */
  gboolean remembered;     /* its id is in the memory of ids */
  gboolean suspected;      /* its loss has been counted */
  gboolean may_have_run;   /* an attempt ended as unknown */
  struct pick_past past;   /* what earlier attempts found */
};

#endif
