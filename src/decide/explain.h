#ifndef BAMBOOTALLY_EXPLAIN_H
#define BAMBOOTALLY_EXPLAIN_H

#include "types/err.h"
#include "types/view.h"

struct core;

/* Explains which server owns a key, by which record, and why.  */

/* Why a server owns a key.  */
enum explain_cause
{
  EXPLAIN_NO_OWNER, /* the slice has no owner */
  EXPLAIN_ASSIGNED, /* a record assigned the slice to its owner */
  EXPLAIN_MOVING,   /* the slice is owned and has a pending move */
  EXPLAIN_UNSHARDED /* the service is not sharded: any server may run the
                       request */
};

struct explanation
{
  enum explain_cause cause;  /* why the server owns the key */
  guint32 slice;             /* slice of the key */
  gboolean is_hot;           /* whether the key has a slice of its own */
  struct view_node owner;    /* the owner, if there is one */
  guint64 owner_offset;      /* offset of the record that named the owner */
  guint64 move_offset;       /* offset of the move, if MOVING */
  struct view_node receiver; /* receiver of the move, if MOVING */
  guint64 successors[SUCCESSOR_MAX]; /* incarnations of the successors, 0 for
                                        none */
  gboolean owner_is_self;            /* whether this node is the owner */
  gboolean lease_held;               /* whether this node holds its lease */
};

enum err explain_key (const struct core *core, const char *service,
                      const char *key, gint64 now,
                      struct explanation *explanation);
const char *explain_cause_name (enum explain_cause cause);

#endif
