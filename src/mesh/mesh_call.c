#include "mesh/mesh_parts.h"

/* Calls: requests that a request which runs at the local backend server makes
   through this node.  */

/* Return the request that runs at the local server with the handle at INDEX of
   those that were sent there, or NULL if it has ended.  */
static const struct mesh_request *
running_at (const struct mesh *mesh, guint index)
{
  struct handle h = g_array_index (mesh->running, struct handle, index);
  const struct mesh_request *request = table_get (&mesh->requests, h);

  return request != NULL && request->phase == MESH_REQUEST_RUNNING ? request
                                                                   : NULL;
}

/* Note that the request EXCHANGE, which may make calls, runs at the local
   server.  Those that have ended are forgotten, so that a call is compared
   with about as many requests as the server has slots: a node may have
   thousands of others.  */
void
mesh_call_add_parent (struct mesh *mesh, struct handle exchange)
{
  guint i = 0;

  while (i < mesh->running->len)
    {
      struct handle h = g_array_index (mesh->running, struct handle, i);
      if (running_at (mesh, i) == NULL || handle_equal (h, exchange))
        g_array_remove_index_fast (mesh->running, i);
      else
        i++;
    }
  g_array_append_val (mesh->running, exchange);
}

/* Return the request that runs at the local server and that the id of REQUEST
   names as its parent, or NULL.  */
static const struct mesh_request *
find_parent (const struct mesh *mesh, const struct request *request)
{
  guint i;

  if (request->parent_id_length == 0)
    return NULL;
  for (i = 0; i < mesh->running->len; i++)
    {
      const struct mesh_request *parent = running_at (mesh, i);
      if (parent != NULL
          && strlen (parent->request.id) == request->parent_id_length
          && strncmp (parent->request.id, request->id,
                      request->parent_id_length)
                 == 0)
        return parent;
    }
  return NULL;
}

/* Return the earlier of the due times A and B that lies after NOW; a due time
   of 0 is not known.  */
static gint64
earlier_due_at (gint64 a, gint64 b, gint64 now)
{
  if (b <= now)
    return a;
  return a == 0 ? b : MIN (a, b);
}

/* Recognize REQUEST as a call if a request that it may name as its parent runs
   here, and let it inherit its parent's priority, if that is higher than that
   of its own route, and its time: the parent occupies a slot until the call is
   answered.  The form of the id alone proves nothing, since it is not
   guaranteed.  */
void
mesh_call_recognise (struct mesh *mesh, struct mesh_request *request,
                     gint64 now)
{
  struct request *call = &request->request;
  const struct mesh_request *parent = find_parent (mesh, call);

  if (parent == NULL)
    return;
  call->is_call = TRUE;
  call->priority = MIN (call->priority, parent->request.priority);
  call->deadline = MIN (call->deadline, parent->request.deadline);
  call->due_at = earlier_due_at (call->due_at, parent->request.due_at, now);
}
