#ifndef BAMBOOTALLY_PICK_H
#define BAMBOOTALLY_PICK_H

#include "types/request.h"
#include "types/view.h"

struct core;

/* Picks the node that is to serve a request.  */

/* Kinds of results.  */
enum pick_kind
{
  PICK_LOCAL, /* this node */
  PICK_PEER,  /* another node */
  PICK_NONE   /* no node, for the given reason */
};

struct pick
{
  enum pick_kind kind; /* kind of the result */
  struct handle node;  /* picked node, with PICK_PEER */
  enum reason reason;  /* why no node was picked, with PICK_NONE */
  struct fence fence;  /* fence to serve under with PICK_LOCAL, otherwise the
                          fence that this node knows */
};

/* What earlier attempts at a request found.  */
struct pick_history
{
  gboolean owner_unreachable; /* whether the last attempt did not reach the
                                 node of the owner */
  /* node that could not serve the request, or none */
  struct handle failed_node;
};

gboolean pick_is_reachable (const struct core *core, struct handle h,
                            gint64 now);
struct pick pick_member (struct core *core, const struct view_service *service,
                         const struct request *request,
                         const struct pick_history *history, gint64 now);
struct pick pick_node (struct core *core, struct request *request,
                       const struct pick_history *history, gint64 now);

#endif
