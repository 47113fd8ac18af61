#ifndef BAMBOOTALLY_DEDUP_H
#define BAMBOOTALLY_DEDUP_H

#include "types/request.h"
#include "types/table.h"

/* Deduplication table: keeps request ids so that a run-once request runs at
   most once, however often and to whichever node it is sent.  A request
   carries the stamp under which it was first sent.  The stamp names one
   incarnation, and only that incarnation may run the request and keeps the id
   for longer than it accepts the stamp.  So a repeat either reaches the table
   that holds its id, or is refused with an unknown outcome.  The id of a
   request that provably has not run is removed.  A caller keeps the stamp for
   all sendings of a request, and once one of them ended as unknown, the
   request counts as unknown until a later one ends as done.  */

#define DEDUP_ENTRIES_MAX 65536u /* ids that are kept */
/* Shortest time an id is kept.  */
#define DEDUP_RETENTION_MIN_USEC ((gint64)120000000)
/* Time an id is kept, in timeouts of its service.  */
#define DEDUP_RETENTION_TIMEOUTS 4

/* Digest of a request id with its service and key.  */
struct dedup_key
{
  guint64 high; /* upper 64 bits */
  guint64 low;  /* lower 64 bits */
};

/* A request id that is kept.  */
struct dedup_entry
{
  struct dedup_key key; /* digest that identifies the request */
  gint64 expires_at;    /* when the entry is removed, monotonic usec */
};

struct dedup
{
  struct table entries;         /* struct dedup_entry */
  GHashTable *index;            /* struct dedup_key to handle bits */
  struct handle sweep_position; /* the sweep continues after this entry */
  guint32 entries_max;          /* most ids that are kept */
};

/* The grant under which a request is to run.  */
struct dedup_grant
{
  guint64 incarnation; /* incarnation of this node */
  struct fence fence;  /* fence of the slice, zero for an unsharded service */
  gint64 retention_usec; /* how long ids are kept, microseconds */
};

/* Result of checking a request.  */
struct dedup_result
{
  gboolean may_run;     /* the request may run, and its id was added */
  enum outcome outcome; /* outcome of a request that may not run */
  enum reason reason;   /* why the request may not run */
};

void dedup_init (struct dedup *dedup);
void dedup_clear (struct dedup *dedup);
gint64 dedup_retention (guint32 timeout_msec);
struct dedup_result dedup_admit (struct dedup *dedup,
                                 const struct request *request,
                                 const struct dedup_grant *grant, gint64 now);
void dedup_remove (struct dedup *dedup, const struct request *request);
void dedup_sweep (struct dedup *dedup, guint32 count, gint64 now);

#endif
