#ifndef BAMBOOTALLY_INFLIGHT_H
#define BAMBOOTALLY_INFLIGHT_H

#include "decide/pick.h"
#include "types/request.h"

/* A request that this node has accepted and not ended.  */

enum inflight_phase
{
  INFLIGHT_QUEUED,    /* waits for a slot of the backend server */
  INFLIGHT_RUNNING,   /* runs at the backend server */
  INFLIGHT_FORWARDED, /* was sent to another node */
  INFLIGHT_RETRY_WAIT /* is routed again at retry_at */
};

struct inflight
{
  struct request request;    /* routing data of the request */
  enum inflight_phase phase; /* what the request waits for */
  guint64 forwarded_to; /* FORWARDED: incarnation of the node that the request
                           was sent to */
  gint64 retry_at; /* RETRY_WAIT: when the request is routed again, monotonic
                      usec */
  gint64 sent_at;  /* when the request was forwarded or began to run, monotonic
                      usec */
  guint32 attempts;         /* attempts made by this node */
  struct fence fence;       /* fence that the request was admitted under */
  gboolean is_in_dedup;     /* the request id is in the deduplication table */
  gboolean is_loss_counted; /* the loss of the request in a server crash has
                               been counted */
  gboolean may_have_run;    /* an attempt ended with an unknown outcome */
  /* results of earlier attempts, for the choice of a node */
  struct pick_history past_attempts;
};

#endif
