#ifndef BAMBOOTALLY_MESH_TRIAL_H
#define BAMBOOTALLY_MESH_TRIAL_H

#include "mesh/mesh.h"

/* A copy of a mesh on which the decisions on one request can be taken without
   an effect on the mesh.  What a request changes is copied; the rest, such as
   the members and the maps, is shared, so that no other events may be passed
   to the copy, and the mesh must not change as long as the copy exists.  */

void mesh_trial_init (struct mesh *trial, const struct mesh *mesh);
void mesh_trial_clear (struct mesh *trial);

#endif
