#include "types/fleet_record.h"

/* Set the key of RECORD from its content.  The key of a tombstone must be set
   already.  */
void
fleet_record_set_key (struct fleet_record *record)
{
  switch (record->kind)
    {
    case FLEET_MEMBER:
      g_snprintf (record->key, sizeof record->key, "member/%s",
                  record->u.member.name);
      break;
    case FLEET_MAP:
    case FLEET_MAP_PATCH:
      g_snprintf (record->key, sizeof record->key, "map/%s",
                  record->u.map.service);
      break;
    case FLEET_SUSPECT:
      g_snprintf (record->key, sizeof record->key,
                  "suspect/%016" G_GINT64_MODIFIER "x",
                  record->u.suspect.digest);
      break;
    case FLEET_TOMBSTONE:
      break;
    }
}

/* Release what RECORD owns.  */
void
fleet_record_clear (struct fleet_record *record)
{
  if (record->kind == FLEET_MAP || record->kind == FLEET_MAP_PATCH)
    shard_map_clear (&record->u.map);
}
