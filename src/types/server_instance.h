#ifndef BAMBOOTALLY_SERVER_INSTANCE_H
#define BAMBOOTALLY_SERVER_INSTANCE_H

#include "types/limits.h"
#include <glib.h>
#include <string.h>

/* One run of a backend server's process.  After a restart, a server holds none
   of the keys it held before, even under the same name.  */

struct server_instance
{
  char id[NAME_SIZE];     /* name of the server; empty: no instance */
  gint64 started_at_msec; /* start of the process, milliseconds since 1970 */
};

/* Tell whether A and B are the same instance.  */
static inline gboolean
server_instance_equal (const struct server_instance *a,
                       const struct server_instance *b)
{
  return a->started_at_msec == b->started_at_msec
         && strcmp (a->id, b->id) == 0;
}

/* Tell whether INSTANCE refers to any server.  */
static inline gboolean
server_instance_is_set (const struct server_instance *instance)
{
  return instance->id[0] != '\0';
}

#endif
