#ifndef BAMBOOTALLY_FLEET_STATE_H
#define BAMBOOTALLY_FLEET_STATE_H

#include "fleet/quarantine.h"
#include "types/fleet_record.h"
#include "types/handle.h"
#include "types/table.h"

/* The state that results from the records in the store: the members, and the
   shard map of each service.  Every node applies the same records.  The newest
   record of a key describes that key completely, so records may be skipped,
   and a record older than the known one of its key is ignored.  */

struct fleet_state
{
  struct table members;         /* struct fleet_member */
  GHashTable *handles_by_name;  /* name of a member, as it stands in keys, to
                                   the bits of its handle */
  GPtrArray *shard_maps;        /* struct shard_map */
  GPtrArray *stored_maps;       /* struct shard_map: the store's records of the
                                   maps that are ahead of them */
  struct quarantine quarantine; /* requests that crashed servers */
  GHashTable *offset_by_key;    /* key to the offset of its newest record */
  guint64 applied_offset;       /* all records below this are applied */
  guint64 change_count;         /* grows with each applied record */
  guint64 member_change_count;  /* grows when a member is added or removed */
};

void fleet_state_init (struct fleet_state *fleet);
void fleet_state_clear (struct fleet_state *fleet);
gboolean fleet_state_apply (struct fleet_state *fleet,
                            const struct fleet_entry *entry, gint64 now);
void fleet_state_advance (struct fleet_state *fleet, guint64 next);
struct handle fleet_state_find (const struct fleet_state *fleet,
                                const char *name);
const struct fleet_member *
fleet_state_member_at (const struct fleet_state *fleet, struct handle h);
const struct fleet_member *
fleet_state_member_named (const struct fleet_state *fleet, const char *name);
struct shard_map *fleet_state_map (const struct fleet_state *fleet,
                                   const char *service);
struct shard_map *fleet_state_stored_map (const struct fleet_state *fleet,
                                          const char *service);
void fleet_state_keep_stored (struct fleet_state *fleet,
                              const struct shard_map *map,
                              const struct shard_map *record, guint64 offset);
void fleet_state_apply_map (struct fleet_state *fleet,
                            const struct shard_map *record, guint64 offset,
                            gint64 now);
guint64 fleet_state_offset (const struct fleet_state *fleet, const char *key);
GArray *fleet_state_since (const struct fleet_state *fleet, guint64 offset,
                           gboolean with_patches);

#endif
