#ifndef BAMBOOTALLY_LIFE_H
#define BAMBOOTALLY_LIFE_H

#include "types/limits.h"
#include <glib.h>
#include <string.h>

/* One life of a backend server: from its start to its end.  A server that
   starts again holds nothing of what it held before, also under its old
   name.  */

struct life
{
  char id[NAME_SIZE]; /* name that it gives itself; empty for none */
  gint64 born;        /* its start, milliseconds since 1970 */
};

/* Tell whether A and B are the same life.  */
static inline gboolean
life_equal (const struct life *a, const struct life *b)
{
  return a->born == b->born && strcmp (a->id, b->id) == 0;
}

/* Tell whether LIFE names any.  */
static inline gboolean
life_is_set (const struct life *life)
{
  return life->id[0] != '\0';
}

#endif
