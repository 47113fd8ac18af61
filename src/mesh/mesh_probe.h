#ifndef BAMBOOTALLY_MESH_PROBE_H
#define BAMBOOTALLY_MESH_PROBE_H

#include "types/handle.h"

#include <glib.h>

/* The claim of a request that is held back to be let through as a probe.  It
   is granted once a record that counts the probe was appended.  */

struct mesh_probe
{
  guint64 digest;         /* digest of the request, 0: no claim */
  struct handle exchange; /* the request */
  gint64 expires_at;      /* the request waits no longer than this */
  gboolean is_granted;    /* the probe was counted */
};

#endif
