#ifndef SOAK_TOPICS_H
#define SOAK_TOPICS_H

#include <glib.h>

/* The topics of the store stand-in, which can be set back to an earlier
   time.  */

struct soak_topics
{
  GHashTable *records; /* name to GPtrArray of GBytes: keyed records */
  GHashTable *times;   /* GPtrArray of a topic to GArray of gint64: when its
                          records were appended, monotonic usec */
};

void soak_topics_init (struct soak_topics *topics);
void soak_topics_clear (struct soak_topics *topics);
GPtrArray *soak_topics_records (struct soak_topics *topics, const char *name);
void soak_topics_add (struct soak_topics *topics, GPtrArray *records,
                      GBytes *record);
void soak_topics_roll_back (struct soak_topics *topics, gint64 copied_at);

#endif
