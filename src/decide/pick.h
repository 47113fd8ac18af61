#ifndef BAMBOOTALLY_PICK_H
#define BAMBOOTALLY_PICK_H

#include "types/request.h"
#include "types/view.h"

struct core;

/* Picks the node that is to serve a request.  */

/* What was picked.  */
enum pick_kind
{
  PICK_LOCAL, /* this node */
  PICK_PEER,  /* another node */
  PICK_NONE   /* no node, for the reason given */
};

struct pick
{
  enum pick_kind kind; /* what was picked */
  struct handle node;  /* the node, with PICK_PEER */
  enum reason reason;  /* why not, with PICK_NONE */
  struct fence fence;  /* fence to serve under or known */
};

/* What earlier attempts at the request found.  */
struct pick_history
{
  gboolean
      owner_unreachable; /* the last one found no way to the owner's node */
  struct handle failed_node; /* node that could not serve it, or none */
};

gboolean pick_is_reachable (const struct core *core, struct handle h,
                            gint64 now);
struct pick pick_member (struct core *core, const struct view_service *service,
                         const struct request *request,
                         const struct pick_history *past, gint64 now);
struct pick pick_node (struct core *core, struct request *request,
                       const struct pick_history *past, gint64 now);

#endif
