#ifndef BAMBOOTALLY_FRESHNESS_H
#define BAMBOOTALLY_FRESHNESS_H

#include <glib.h>

/* How recent a node's copy of a topic is: at the time `confirmed_at' the store
   had nothing newer.  */

struct freshness
{
  gint64 confirmed_at; /* when the confirming read began, 0: none */
  guint64 source;      /* process that made that read, 0: not known */
};

void freshness_confirm (struct freshness *freshness, gint64 started_at,
                        guint64 source);
gint64 freshness_age_usec (const struct freshness *freshness, gint64 now);

#endif
