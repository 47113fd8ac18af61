#ifndef BAMBOOTALLY_MESH_EXPLAIN_JSON_H
#define BAMBOOTALLY_MESH_EXPLAIN_JSON_H

#include "mesh/mesh_explanation.h"

/* The JSON form of explanations of where requests would go.  */

char *mesh_explain_json (const struct mesh_explanation *explanation);

#endif
