#ifndef BAMBOOTALLY_DEDUP_H
#define BAMBOOTALLY_DEDUP_H

#include "types/request.h"
#include "types/table.h"

/* The memory of request ids that makes a request run at most once, however
   often and wherever it is sent.

   A request carries the stamp under which it was first sent.  The stamp names
   one incarnation, and only that incarnation may run the request; it
   remembers the id for longer than it takes the stamp.  So a resend either
   reaches that memory, or it is refused as unknown.  An id under which
   nothing has begun to run is forgotten.  A caller keeps its stamp for all
   sendings of one request, and counts a request as unknown once one of its
   sendings was, until a later one says done.  */

#define DEDUP_ENTRIES_MAX 65536u /* ids that are remembered */
#define DEDUP_RETENTION_MIN_USEC ((gint64)120000000) /* shortest memory */
#define DEDUP_RETENTION_TIMEOUTS 4 /* memory in timeouts of the service */

/* The digest of an id with its service and key.  */
struct dedup_key
{
  guint64 high; /* upper half */
  guint64 low;  /* lower half */
};

/* An id that is remembered.  */
struct dedup_entry
{
  struct dedup_key key; /* which request */
  gint64 expires_at;    /* forgotten then, monotonic microseconds */
};

struct dedup
{
  struct table entries; /* struct dedup_entry */
  GHashTable *index;    /* struct dedup_key to handle bits */
  struct handle swept;  /* the sweep goes on after it */
  guint32 limit;        /* ids that may be remembered */
};

/* The grant under which a request is to run.  */
struct dedup_grant
{
  guint64 incarnation; /* incarnation of this node */
  struct fence fence;  /* fence of the slice, zero for an undivided service */
  gint64 retention_usec; /* how long ids are remembered, microseconds */
};

/* What the memory says of a request.  */
struct dedup_result
{
  gboolean may_run;     /* it may run, and its id is remembered */
  enum outcome outcome; /* how it ends otherwise */
  enum reason reason;   /* why */
};

void dedup_init (struct dedup *once);
void dedup_clear (struct dedup *once);
gint64 dedup_retention (guint32 timeout_msec);
struct dedup_result dedup_admit (struct dedup *once,
                                 const struct request *request,
                                 const struct dedup_grant *grant, gint64 now);
void dedup_remove (struct dedup *once, const struct request *request);
void dedup_sweep (struct dedup *once, guint32 count, gint64 now);

#endif
