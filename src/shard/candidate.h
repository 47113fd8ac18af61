#ifndef BAMBOOTALLY_CANDIDATE_H
#define BAMBOOTALLY_CANDIDATE_H

#include "types/server_instance.h"

/* A node whose backend server may be assigned keys.  */

struct candidate
{
  char node_name[NAME_SIZE];       /* name of the node */
  struct server_instance instance; /* instance of its backend server */
  guint32 weight; /* weight in the division of the keys into fair shares */
};

#endif
