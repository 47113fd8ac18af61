#ifndef BAMBOOTALLY_EXPLAIN_H
#define BAMBOOTALLY_EXPLAIN_H

#include "types/err.h"
#include "types/view.h"

struct core;

/* Which server owns a key, since which record, and why.  */

/* Why a server owns a key.  */
enum explain_cause
{
  EXPLAIN_NO_OWNER, /* nobody owns it */
  EXPLAIN_ASSIGNED, /* a record made the server its owner */
  EXPLAIN_MOVING,   /* owned, and to be moved */
  EXPLAIN_UNSHARDED /* the service is not divided: any server may run it */
};

struct explanation
{
  enum explain_cause cause;  /* why */
  guint32 slice;             /* slice of the key */
  gboolean is_hot;           /* the key has a slice of its own */
  struct view_node owner;    /* the owner, if there is one */
  guint64 owner_offset;      /* offset of the record that made it owner */
  guint64 move_offset;       /* offset of the move, with MOVING */
  struct view_node receiver; /* receiver of the move */
  guint64 successors[SUCCESSOR_MAX]; /* who takes over */
  gboolean owner_is_self;            /* the owner is this node */
  gboolean lease_held;               /* this node holds its lease */
};

enum err explain_key (const struct core *core, const char *service,
                      const char *key, gint64 now,
                      struct explanation *explanation);
const char *explain_cause_name (enum explain_cause cause);

#endif
