#ifndef BAMBOOTALLY_FLEET_H
#define BAMBOOTALLY_FLEET_H

#include "tool/tool.h"

/* The nodes of a fleet according to one of them.  */

struct fleet_node
{
  guint64 incarnation;          /* incarnation of the node */
  char host[NAME_SIZE];         /* name of its host */
  char server[NAME_SIZE];       /* name of its backend server */
  char state[NAME_SIZE];        /* live, leaving or retired */
  char service[NAME_SIZE];      /* service of its backend server */
  struct address front_address; /* address of its HTTP front end */
  gint64 slice_count;           /* number of slices that it owns */
};

struct fleet
{
  GArray *nodes;          /* struct fleet_node */
  guint64 applied_offset; /* all records below this are applied */
};

enum err fleet_fetch (struct fleet *fleet, const struct tool *tool);
void fleet_clear (struct fleet *fleet);
const struct fleet_node *fleet_find (const struct fleet *fleet,
                                     const char *name);

#endif
