#ifndef BAMBOOTALLY_ROSTER_H
#define BAMBOOTALLY_ROSTER_H

#include "types/fleet_record.h"
#include "types/handle.h"
#include "types/table.h"

/* The state that results from the records in the store: the members, and the
   shard map of each service.  Every node applies the same records.  The newest
   record of a key describes that key completely, so records may be skipped,
   and a record older than the known one of its key is ignored.  */

struct roster
{
  struct table members;   /* struct fleet_member */
  GHashTable *by_name;    /* name of a member to the bits of its handle */
  GPtrArray *maps;        /* struct shard_map */
  GArray *suspects;       /* struct fleet_suspect */
  GHashTable *key_offset; /* key to the offset of its newest record */
  guint64 next;           /* all records below this are applied */
  guint64 changes;        /* grows with each applied record */
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
