#ifndef BAMBOOTALLY_ROSTER_H
#define BAMBOOTALLY_ROSTER_H

#include "types/fleet_record.h"
#include "types/handle.h"
#include "types/table.h"

/* What the records in the store add up to: the members, and who holds the
   keys of each service.  Every node folds the same records.  Since the newest
   record of a key says all of that key, records may be skipped, and one that
   is older than what is known of its key is passed over.  */

struct roster
{
  struct table members;   /* struct fleet_member */
  GHashTable *by_name;    /* member's name to the bits of its handle */
  GPtrArray *maps;        /* struct shard_map */
  GArray *suspects;       /* struct fleet_suspect */
  GHashTable *key_offset; /* key to the offset of its newest record */
  guint64 next;           /* all records below this are known */
  guint64 changes;        /* rises with each record folded */
};

void roster_init (struct roster *roster);
void roster_clear (struct roster *roster);
gboolean roster_fold (struct roster *roster, const struct fleet_entry *entry,
                      gint64 now);
void roster_reach (struct roster *roster, guint64 next);
struct handle roster_find (const struct roster *roster, const char *name);
const struct fleet_member *roster_member_at (const struct roster *roster,
                                             struct handle h);
const struct fleet_member *roster_member_named (const struct roster *roster,
                                                const char *name);
struct shard_map *roster_map (const struct roster *roster,
                              const char *service);
guint32 roster_crashes (const struct roster *roster, guint64 digest);
GArray *roster_since (const struct roster *roster, guint64 offset);

#endif
