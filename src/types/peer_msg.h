#ifndef BAMBOOTALLY_PEER_MSG_H
#define BAMBOOTALLY_PEER_MSG_H

#include "types/err.h"
#include <glib.h>

/* What nodes say to each other about ownership and the log.  A call and its
   reply share a kind.  */

enum peer_kind
{
  PEER_RENEW = 1,    /* holder to witness: renew my lease */
  PEER_PROMISE = 2,  /* collector to witness: never ack that one again */
  PEER_APPLIED = 3,  /* successor to owner: I have folded up to here */
  PEER_RELEASED = 4, /* old owner to new: the slice is yours */
  PEER_FETCH = 5,    /* give me a snapshot of the view */
  PEER_CERTIFIED = 6 /* collector to peers: that node owns nothing */
};

/* Renew a lease.  */
struct peer_renew
{
  guint64 incarnation;    /* the holder */
  guint64 round;          /* number of the renewal, rising */
  guint64 floor;          /* highest offset whose giving-up has begun */
  guint64 applied_offset; /* offset up to which the holder has folded */
};

/* Ask for a promise never to ack an incarnation again.  */
struct peer_promise
{
  guint64 target;    /* the incarnation to remove */
  guint64 collector; /* who asks */
};

/* Tell how far the sender has folded.  */
struct peer_applied
{
  guint64 incarnation;    /* the sender */
  guint64 applied_offset; /* all records below this are folded */
};

/* Tell the receiver of a move that a majority acked the floor.  */
struct peer_released
{
  guint64 incarnation; /* the old owner */
  guint64 move_offset; /* offset of the move */
};

/* Ask for a page of a snapshot of the view.  It may be sent to incarnation 0,
   whoever listens at the address.  */
struct peer_fetch
{
  guint64 applied_offset; /* the sender has folded all records below this */
  guint64
      snapshot_offset; /* the snapshot whose next page is wanted, 0 for any */
  guint32 position;    /* bytes of it that the sender has */
};

/* A certificate that an incarnation owns nothing.  */
struct peer_certified
{
  guint64 target;    /* the incarnation */
  guint64 floor;     /* highest floor among the promises */
  guint64 collector; /* who collected it */
};

/* A call between nodes.  */
struct peer_call
{
  enum peer_kind kind;
  guint64 target_incarnation; /* incarnation that is meant; another one answers
                                 not-found */
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

/* Answer to a renewal.  */
struct peer_renew_reply
{
  gboolean granted;       /* whether the witness acks */
  guint64 round;          /* the renewal it answers */
  guint64 applied_offset; /* offset up to which the witness has folded */
};

/* Answer to a request for a promise.  */
struct peer_promise_reply
{
  guint64 target;        /* the incarnation it is about */
  gboolean promised;     /* whether the witness promises */
  gint64 remaining_usec; /* microseconds until its last ack has lapsed */
  guint64 floor;         /* highest floor that it acked */
};

/* Answer to a fetch: a page of a snapshot, or no bytes.  */
struct peer_fetch_reply
{
  guint64 snapshot_offset; /* the snapshot holds all records below this */
  guint32 position;        /* bytes of it before this page */
  guint32 total_length;    /* bytes in it */
  guint32 length;          /* bytes that follow */
  guint8 *bytes;           /* allocated by g_malloc */
};

/* A reply between nodes.  */
struct peer_reply
{
  enum peer_kind kind;
  enum err code; /* ERR_NONE, or why there is no answer */
  union
  {
    struct peer_renew_reply renew;
    struct peer_promise_reply promise;
    struct peer_fetch_reply fetch;
  } u;
};

#endif
