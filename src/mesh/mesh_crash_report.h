#ifndef BAMBOOTALLY_MESH_CRASH_REPORT_H
#define BAMBOOTALLY_MESH_CRASH_REPORT_H

#include <glib.h>

/* A record by which this node reported that a request crashed a server.  */

#define MESH_CRASH_REPORTS_MAX 64u /* last reports that a node keeps */

struct mesh_crash_report
{
  guint64 digest;      /* digest of the request, 0: none */
  guint32 crash_count; /* crashes by the record */
  guint64 offset;      /* offset of the record */
};

#endif
