#ifndef BAMBOOTALLY_CALL_RETRY_H
#define BAMBOOTALLY_CALL_RETRY_H

#include <glib.h>

/* What to do with a call that a node refused before its server got it.

   Load pattern: the servers that a call may go to are at capacity, and each
   refuses it at once because its queue is too long at that moment.  The parent
   of the call occupies a slot elsewhere and fails with the call, while places
   in the queues become free within tens of milliseconds.  */

/* A refused call at its entry node.  */
struct call_refusal
{
  gint64 left_usec;       /* time until the call or its parent times out */
  gint64 need_usec;       /* least time that an attempt needs */
  gint64 advice_usec;     /* when the last node advised to retry, from now; 0:
                             it did not */
  guint32 tried_count;    /* servers that refused it since the last pause */
  guint32 pause_count;    /* pauses that it has had */
  gboolean other_is_free; /* there is a server that has not refused it since
                             the last pause */
};

enum call_retry_action
{
  CALL_RETRY_ELSEWHERE, /* try another server at once */
  CALL_RETRY_PAUSE,     /* try again, at any server, after a pause */
  CALL_RETRY_FAIL       /* no attempt can succeed any more */
};

struct call_retry
{
  enum call_retry_action action; /* what to do */
  gint64 pause_usec;             /* length of the pause */
};

struct call_retry call_retry_decide (const struct call_refusal *refusal);

#endif
