#ifndef BAMBOOTALLY_MESH_EXPLANATION_H
#define BAMBOOTALLY_MESH_EXPLANATION_H

#include "mesh/mesh_explain_query.h"
#include "mesh/mesh_explained_admission.h"
#include "mesh/mesh_explained_owner.h"
#include "mesh/mesh_explained_server.h"
#include "types/route.h"

struct mesh;

/* Where a caller's request would go at a time, and why.  */

/* What would be done with the request.  */
enum mesh_explained_end
{
  MESH_EXPLAINED_SENT,   /* sent to another node */
  MESH_EXPLAINED_RUN,    /* run at the local server */
  MESH_EXPLAINED_QUEUED, /* queued for a slot of the local server */
  MESH_EXPLAINED_WAITS,  /* kept until a server can be sent it */
  MESH_EXPLAINED_REFUSED /* refused as not run */
};

struct mesh_explanation
{
  guint64 config_version;  /* configuration in force, 0: none */
  gint64 config_age_msec;  /* age of the read that showed it, -1: none did */
  gboolean has_route;      /* a route matches */
  struct route route;      /* the route */
  char service[NAME_SIZE]; /* service that its weights choose */
  gboolean is_sharded;     /* each key of the service has an owner */
  struct mesh_explained_owner owner; /* if it is and the request has a key */
  GArray *servers;                   /* struct mesh_explained_server; if it
                                        is not */
  gint64 busy_permille;   /* share of the service's slots that is taken, by
                             recent reports */
  gboolean has_admission; /* `admission' is set: the local server is one of
                             the service */
  struct mesh_explained_admission admission; /* to the local server */
  enum mesh_explained_end end; /* what would be done with the request */
  enum reason reason;          /* why it would be refused or kept */
  guint32 retry_msec;     /* with MESH_EXPLAINED_REFUSED: advice when to return
                           */
  char member[NAME_SIZE]; /* node that would be sent the request; this node if
                             it would run here; otherwise empty */
};

void mesh_explain (const struct mesh *mesh,
                   const struct mesh_explain_query *query, gint64 now,
                   struct mesh_explanation *explanation);
void mesh_explanation_clear (struct mesh_explanation *explanation);
const char *mesh_explained_end_name (enum mesh_explained_end end);

#endif
