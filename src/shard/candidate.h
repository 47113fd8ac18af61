#ifndef BAMBOOTALLY_CANDIDATE_H
#define BAMBOOTALLY_CANDIDATE_H

#include "types/server_instance.h"

/* A node whose server may be given keys.  */

struct candidate
{
  char node_name[NAME_SIZE];       /* the node */
  struct server_instance instance; /* its server's */
  guint32 weight;                  /* its share among the weights of all */
};

#endif
