#include "mesh/mesh_explanation.h"

/* Free what EXPLANATION holds.  */
void
mesh_explanation_clear (struct mesh_explanation *explanation)
{
  g_array_free (explanation->servers, TRUE);
  explanation->servers = NULL;
  route_clear (&explanation->route);
}

/* Return the name of END.  */
const char *
mesh_explained_end_name (enum mesh_explained_end end)
{
  switch (end)
    {
    case MESH_EXPLAINED_SENT:
      return "sent";
    case MESH_EXPLAINED_RUN:
      return "run";
    case MESH_EXPLAINED_QUEUED:
      return "queued";
    case MESH_EXPLAINED_WAITS:
      return "waits";
    case MESH_EXPLAINED_REFUSED:
      return "refused";
    }
  return "";
}
