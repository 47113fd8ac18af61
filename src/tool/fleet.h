#ifndef BAMBOOTALLY_FLEET_H
#define BAMBOOTALLY_FLEET_H

#include "tool/tool.h"

/* The nodes as one of them sees them.  */

struct fleet_node
{
  guint64 incarnation;          /* the node's */
  char host[NAME_SIZE];         /* name of its host */
  char server[NAME_SIZE];       /* name of its backend server */
  char state[NAME_SIZE];        /* live, leaving or retired */
  char service[NAME_SIZE];      /* service of its backend server */
  struct address front_address; /* where it answers */
  gint64 slice_count;           /* slices it owns on the log */
};

struct fleet
{
  GArray *nodes;          /* struct fleet_node */
  guint64 applied_offset; /* offset that the asked node is at */
};

enum err fleet_fetch (struct fleet *fleet, const struct tool *tool);
void fleet_clear (struct fleet *fleet);
const struct fleet_node *fleet_find (const struct fleet *fleet,
                                     const char *word);

#endif
