#ifndef BAMBOOTALLY_MESH_EXPLAIN_QUERY_H
#define BAMBOOTALLY_MESH_EXPLAIN_QUERY_H

#include <glib.h>

/* The request of a caller that is to be explained.  */

struct mesh_explain_query
{
  const char *host;   /* Host header of the request */
  const char *target; /* path and query of the request */
  const char *key;    /* its key in decimal, or empty */
  guint32 key_number; /* its key, 0 if it has none */
  const char *method; /* its method */
  guint64 digest;     /* digest of the request, 0: that of its head and no
                         body */
  gint64 deadline;    /* deadline of its caller, monotonic usec */
  gint64 body_bytes;  /* length of its body */
};

#endif
