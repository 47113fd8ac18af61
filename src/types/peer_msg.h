#ifndef BAMBOOTALLY_PEER_MSG_H
#define BAMBOOTALLY_PEER_MSG_H

#include "types/err.h"
#include <glib.h>

/* Messages between nodes about ownership and the log.  A call and its reply
   have the same kind.  */

enum peer_kind
{
  PEER_RENEW = 1,    /* holder to witness: renew a lease */
  PEER_PROMISE = 2,  /* collector to witness: end a lease */
  PEER_APPLIED = 3,  /* successor to owner: log position */
  PEER_RELEASED = 4, /* old owner to new one: slices released */
  PEER_FETCH = 5,    /* read a page of a snapshot of the view */
  PEER_CERTIFIED = 6 /* collector to peers: a node owns nothing */
};

/* Renew a lease.  */
struct peer_renew
{
  guint64 incarnation; /* incarnation of the lease holder */
  guint64 round;       /* number of the renewal, rising */
  guint64 floor; /* highest offset of a move whose release of slices may have
                    started */
  guint64 applied_offset; /* all records below this offset are applied */
};

/* Ask a witness to promise that it acknowledges no more leases of an
   incarnation.  */
struct peer_promise
{
  guint64 target;    /* incarnation to remove */
  guint64 collector; /* incarnation that collects the promises */
};

/* Tell how far the sender has applied the log.  */
struct peer_applied
{
  guint64 incarnation;    /* incarnation of the sender */
  guint64 applied_offset; /* all records below this offset are applied */
};

/* Tell the receiver of a move that a majority of witnesses acknowledged the
   floor, so the move's slices are released.  */
struct peer_released
{
  guint64 incarnation; /* incarnation of the old owner */
  guint64 move_offset; /* offset of the move's record */
};

/* Read a page of a snapshot of the view.  The target may be incarnation 0: any
   node that listens on the address.  */
struct peer_fetch
{
  guint64 applied_offset;  /* all records below this offset are applied */
  guint64 snapshot_offset; /* snapshot to read the next page of; 0: any */
  guint32 position; /* bytes of the snapshot that the caller already has */
};

/* Publish a certificate that an incarnation owns nothing.  */
struct peer_certified
{
  guint64 target;    /* incarnation that was removed */
  guint64 floor;     /* highest floor among the promises */
  guint64 collector; /* incarnation that collected the promises */
};

/* A call between nodes.  */
struct peer_call
{
  enum peer_kind kind;
  guint64 target_incarnation; /* incarnation that is called; others reply
                                 ERR_NOT_FOUND */
  union
  {
    struct peer_renew renew;
    struct peer_promise promise;
    struct peer_applied applied;
    struct peer_released released;
    struct peer_fetch fetch;
    struct peer_certified certified;
  } u;
};

/* The reply to a renewal.  */
struct peer_renew_reply
{
  gboolean granted;       /* the witness acknowledges the lease */
  guint64 round;          /* number of the renewal */
  guint64 applied_offset; /* all records below this offset are applied */
};

/* The reply to a request for a promise.  */
struct peer_promise_reply
{
  guint64 target;        /* incarnation that the promise is about */
  gboolean promised;     /* the witness promises */
  gint64 remaining_usec; /* until the last acknowledged lease expires */
  guint64 floor;         /* highest floor that the witness acknowledged */
};

/* A page of a snapshot; without bytes if there is none to send.  */
struct peer_fetch_reply
{
  guint64 snapshot_offset; /* all records below this offset are included */
  guint32 position;        /* offset of the page in the snapshot, bytes */
  guint32 total_length;    /* length of the snapshot, bytes */
  guint32 length;          /* length of the page, bytes */
  guint8 *bytes;           /* page, allocated by g_malloc */
};

/* A reply between nodes.  */
struct peer_reply
{
  enum peer_kind kind;
  enum err code; /* ERR_NONE, or why the call failed */
  union
  {
    struct peer_renew_reply renew;
    struct peer_promise_reply promise;
    struct peer_fetch_reply fetch;
  } u;
};

#endif
