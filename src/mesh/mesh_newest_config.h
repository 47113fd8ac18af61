#ifndef BAMBOOTALLY_MESH_NEWEST_CONFIG_H
#define BAMBOOTALLY_MESH_NEWEST_CONFIG_H

#include "types/handle.h"

/* What a node knows of configurations newer than the one in force.  */

/* The newest configuration that this node knows of.  */
struct mesh_newest_config
{
  guint64 version; /* its version, 0: none is known of */
  guint64 source;  /* process that told of it first, 0: read by this node */
  gint64 heard_at; /* when this node learned of it */
  gint64 behind_since; /* since when a version newer than the one in force has
                          been known of, 0: none is */
  gboolean is_logged;  /* the log says that this node is behind */
};

#define MESH_CONFIG_FETCHES 16u /* latest fetches that are kept */

/* A fetch that is to bring a configuration.  */
struct mesh_config_fetch
{
  guint64 serial;       /* serial of the call, 0: it has ended, or
                           there was none */
  struct handle member; /* member that was asked */
  guint64 source;       /* process that was asked, 0: not known */
  guint64 version;      /* version in force here when it was sent */
  gint64 sent_at;       /* when it was sent */
  gint64 alone_until;   /* no other fetch asks for one until then */
};

#endif
