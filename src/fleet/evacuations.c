#include "fleet/evacuations.h"

#include <string.h>

/* Return the index of ZONE in ZONES, or its count if it is not included.  */
static guint32
index_of (const struct evacuated_zones *zones, const char *zone)
{
  guint32 i;

  for (i = 0; i < zones->count; i++)
    if (strcmp (zones->names[i], zone) == 0)
      return i;
  return zones->count;
}

/* Add ZONE to ZONES, which are to be those of EVACUATIONS, or remove it if it
   IS_CANCELLED.  A set that is full takes no further name; it is counted.  */
static void
apply (struct evacuations *evacuations, struct evacuated_zones *zones,
       const char *zone, gboolean is_cancelled)
{
  guint32 i = index_of (zones, zone);

  if (is_cancelled && i < zones->count)
    {
      zones->count--;
      if (i < zones->count)
        zones->names[i] = zones->names[zones->count];
    }
  else if (!is_cancelled && i == zones->count && i < EVACUATED_ZONES_MAX)
    zones->names[zones->count++] = g_intern_string (zone);
  else if (!is_cancelled && i == zones->count)
    evacuations->dropped_count++;
}

/* Return whether ZONES takes more of the operator's topic into account than
   the set THAN.  */
gboolean
evacuations_is_newer (const struct evacuated_zones *zones,
                      const struct evacuated_zones *than)
{
  return zones->offset > than->offset;
}

/* Replace the set by ZONES if that is newer.  Servers in data centres that it
   adds may be served until SERVE_UNTIL.  Return whether a name was added or
   removed.  */
gboolean
evacuations_adopt (struct evacuations *evacuations,
                   const struct evacuated_zones *zones, gint64 serve_until)
{
  const struct evacuations old = *evacuations;
  gboolean changed = zones->count != old.zones.count;
  guint32 i;

  if (!evacuations_is_newer (zones, &old.zones))
    return FALSE;
  evacuations->zones = *zones;
  for (i = 0; i < zones->count; i++)
    {
      guint32 k = index_of (&old.zones, zones->names[i]);
      gboolean is_known = k < old.zones.count;
      evacuations->serve_until[i]
          = is_known ? old.serve_until[k] : serve_until;
      changed = changed || !is_known;
    }
  if (changed)
    evacuations->changed_offset = zones->offset;
  return changed;
}

/* Apply COUNT ITEMS, which were read from the operator's topic in the order of
   their offsets up to NEXT_OFFSET.  If IS_LISTING they are the newest records
   of all keys, and data centres that they do not name are not evacuated.
   Records that the set takes into account already are skipped, since another
   node may have told of newer ones.  Servers in data centres that are added
   may be served until SERVE_UNTIL.  Return whether a name was added or
   removed.  */
gboolean
evacuations_read (struct evacuations *evacuations,
                  const struct evacuation *items, guint32 count,
                  gboolean is_listing, guint64 next_offset, gint64 serve_until)
{
  struct evacuated_zones zones = evacuations->zones;
  guint32 i;

  if (next_offset <= zones.offset)
    return FALSE;
  if (is_listing)
    zones.count = 0;
  for (i = 0; i < count; i++)
    if (is_listing || items[i].offset >= evacuations->zones.offset)
      apply (evacuations, &zones, items[i].zone, items[i].is_cancelled);
  zones.offset = next_offset;
  return evacuations_adopt (evacuations, &zones, serve_until);
}

/* Return whether ZONE is evacuated.  */
gboolean
evacuations_include (const struct evacuations *evacuations, const char *zone)
{
  return evacuations->zones.count > 0
         && index_of (&evacuations->zones, zone) < evacuations->zones.count;
}

/* Return until when requests that servers in ZONE have accepted, or for keys
   that they hold, may start; G_MAXINT64 if ZONE is not evacuated.  */
gint64
evacuations_serve_until (const struct evacuations *evacuations,
                         const char *zone)
{
  guint32 i = index_of (&evacuations->zones, zone);

  return i < evacuations->zones.count ? evacuations->serve_until[i]
                                      : G_MAXINT64;
}
