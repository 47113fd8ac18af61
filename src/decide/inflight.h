#ifndef BAMBOOTALLY_INFLIGHT_H
#define BAMBOOTALLY_INFLIGHT_H

#include "decide/pick.h"
#include "types/request.h"

/* A request that is in this node's hands.  */

enum inflight_phase
{
  INFLIGHT_QUEUED,    /* waits for a slot of the server */
  INFLIGHT_RUNNING,   /* the server runs it */
  INFLIGHT_FORWARDED, /* another node has it */
  INFLIGHT_RETRY_WAIT /* will be routed again at retry_at */
};

struct inflight
{
  struct request request;    /* what it is */
  enum inflight_phase phase; /* where it is */
  guint64 forwarded_to;      /* node that has it, when forwarded */
  gint64 retry_at;           /* when it is routed again, monotonic usec */
  gint64 sent_at;            /* when it was sent or began to run */
  guint32 attempts;          /* attempts made from here */
  struct fence fence;        /* fence it was admitted under */
  gboolean is_in_dedup;      /* its id is in the memory of ids */
  gboolean is_loss_counted;  /* its loss has been counted */
  gboolean may_have_run;     /* an attempt ended as unknown */
  struct pick_history past_attempts; /* what earlier attempts found */
};

#endif
