#ifndef BAMBOOTALLY_SERVER_INSTANCE_H
#define BAMBOOTALLY_SERVER_INSTANCE_H

#include "types/limits.h"
#include <glib.h>
#include <string.h>

/* One life of a backend server: from its start to its end.  A server that
   starts again holds nothing of what it held before, also under its old
   name.  */

struct server_instance
{
  char id[NAME_SIZE];     /* name that it gives itself; empty for none */
  gint64 started_at_msec; /* its start, milliseconds since 1970 */
};

/* Tell whether A and B are the same life.  */
static inline gboolean
server_instance_equal (const struct server_instance *a,
                       const struct server_instance *b)
{
  return a->started_at_msec == b->started_at_msec
         && strcmp (a->id, b->id) == 0;
}

/* Tell whether LIFE names any.  */
static inline gboolean
server_instance_is_set (const struct server_instance *server_instance)
{
  return server_instance->id[0] != '\0';
}

#endif
