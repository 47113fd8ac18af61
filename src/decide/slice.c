#include "decide/slice.h"

#include <string.h>
#include <xxhash.h>

/* Hash TEXT; the same on every node.  */
guint64
slice_hash_text (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

/* Mix A and B into a rank for rendezvous hashing; the lowest comes first.  */
guint64
slice_rank (guint64 a, guint64 b)
{
  guint64 pair[2] = { a, b };

  return XXH3_64bits (pair, sizeof pair);
}

/* The slice that KEY belongs to: its own if it is hot, or else the one it
   hashes to.  SERVICE must be divided.  */
guint32
slice_of_key (const struct view_service *service, const char *key)
{
  gpointer slice;

  if (g_hash_table_size (service->slice_by_hot_key) > 0
      && g_hash_table_lookup_extended (service->slice_by_hot_key, key, NULL,
                                       &slice))
    return GPOINTER_TO_UINT (slice);
  return (guint32)(slice_hash_text (key) % service->config.slice_count);
}
