#ifndef BAMBOOTALLY_MESH_CRASH_REPORT_H
#define BAMBOOTALLY_MESH_CRASH_REPORT_H

#include "types/fleet_suspect.h"

/* A record by which this node reported that a request crashed a server.  */

#define MESH_CRASH_REPORTS_MAX 64u /* last reports that a node keeps */

struct mesh_crash_report
{
  struct fleet_suspect suspect; /* the record; digest 0: none */
  guint64 offset;               /* its offset */
};

#endif
