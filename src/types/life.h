#ifndef BAMBOOTALLY_LIFE_H
#define BAMBOOTALLY_LIFE_H

#include "types/limits.h"
#include <glib.h>
#include <string.h>

/* One run of a backend server's process.  After a restart, a server holds none
   of the keys it held before, even under the same name.  */

struct life
{
  char id[NAME_SIZE]; /* name of the server; empty: no instance */
  gint64 born;        /* start of the process, milliseconds since 1970 */
};

/* Tell whether A and B are the same instance.  */
static inline gboolean
life_equal (const struct life *a, const struct life *b)
{
  return a->born == b->born && strcmp (a->id, b->id) == 0;
}

/* Tell whether INSTANCE refers to any server.  */
static inline gboolean
life_is_set (const struct life *life)
{
  return life->id[0] != '\0';
}

#endif
