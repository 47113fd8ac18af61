#ifndef BAMBOOTALLY_FLEET_STATE_H
#define BAMBOOTALLY_FLEET_STATE_H

#include "types/fleet_record.h"
#include "types/handle.h"
#include "types/table.h"

/* What the records in the store add up to: the members, and who holds the
   keys of each service.  Every node folds the same records.  Since the newest
   record of a key says all of that key, records may be skipped, and one that
   is older than what is known of its key is passed over.  */

struct fleet_state
{
  struct table members;        /* struct fleet_member */
  GHashTable *handles_by_name; /* member's name to the bits of its handle */
  GPtrArray *shard_maps;       /* struct shard_map */
  GArray *suspects;            /* struct fleet_suspect */
  GHashTable *offset_by_key;   /* key to the offset of its newest record */
  guint64 applied_offset;      /* all records below this are known */
  guint64 change_count;        /* rises with each record folded */
};

void fleet_state_init (struct fleet_state *fleet_state);
void fleet_state_clear (struct fleet_state *fleet_state);
gboolean fleet_state_apply (struct fleet_state *fleet_state,
                            const struct fleet_entry *entry, gint64 now);
void fleet_state_advance (struct fleet_state *fleet_state, guint64 next);
struct handle fleet_state_find (const struct fleet_state *fleet_state,
                                const char *name);
const struct fleet_member *
fleet_state_member_at (const struct fleet_state *fleet_state, struct handle h);
const struct fleet_member *
fleet_state_member_named (const struct fleet_state *fleet_state,
                          const char *name);
struct shard_map *fleet_state_map (const struct fleet_state *fleet_state,
                                   const char *service);
guint32 fleet_state_crashes (const struct fleet_state *fleet_state,
                             guint64 digest);
GArray *fleet_state_since (const struct fleet_state *fleet_state,
                           guint64 offset);

#endif
