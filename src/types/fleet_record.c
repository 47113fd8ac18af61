#include "types/fleet_record.h"

#include <string.h>
#include <xxhash.h>

/* The longest name that fits into a key behind the longest prefix.  */
#define KEY_NAME_MAX (FLEET_KEY_SIZE - sizeof FLEET_SUSPECT_PREFIX)

/* Return how NAME, of a member or a service, stands in a key: a name that is
   too long for a key is replaced by its digest, which BUFFER is used for.  The
   result for such a text is the text itself.  */
const char *
fleet_key_name (const char *name, char buffer[FLEET_KEY_SIZE])
{
  XXH128_hash_t digest;

  if (strlen (name) <= KEY_NAME_MAX)
    return name;
  digest = XXH3_128bits (name, strlen (name));
  g_snprintf (buffer, FLEET_KEY_SIZE,
              "~%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
              (guint64)digest.high64, (guint64)digest.low64);
  return buffer;
}

/* Set the key of RECORD from its content.  The key of a tombstone must be set
   already.  */
void
fleet_record_set_key (struct fleet_record *record)
{
  char buffer[FLEET_KEY_SIZE];

  switch (record->kind)
    {
    case FLEET_MEMBER:
      g_snprintf (record->key, sizeof record->key, FLEET_MEMBER_PREFIX "%s",
                  fleet_key_name (record->u.member.name, buffer));
      break;
    case FLEET_MAP:
    case FLEET_MAP_PATCH:
      g_snprintf (record->key, sizeof record->key, FLEET_MAP_PREFIX "%s",
                  fleet_key_name (record->u.map.service, buffer));
      break;
    case FLEET_SUSPECT:
      g_snprintf (record->key, sizeof record->key,
                  FLEET_SUSPECT_PREFIX "%016" G_GINT64_MODIFIER "x",
                  record->u.suspect.digest);
      break;
    case FLEET_TOMBSTONE:
      break;
    }
}

/* Return the digest of the suspect whose record has KEY.  */
guint64
fleet_suspect_digest (const char *key)
{
  return g_ascii_strtoull (key + strlen (FLEET_SUSPECT_PREFIX), NULL, 16);
}

/* Release what RECORD owns.  */
void
fleet_record_clear (struct fleet_record *record)
{
  if (record->kind == FLEET_MAP || record->kind == FLEET_MAP_PATCH)
    shard_map_clear (&record->u.map);
}
