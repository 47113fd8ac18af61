#ifndef BAMBOOTALLY_QUARANTINE_H
#define BAMBOOTALLY_QUARANTINE_H

#include "types/fleet_suspect.h"

/* The requests that crashed servers, by their digests, as the records of the
   fleet tell, and which of them are held back.  One that is held back is let
   through once in a while, as a probe; see docs/design/crash-quarantine.md. */

/* Servers that must crash while they run a request before it is held back. */
#define QUARANTINE_CRASHES_MIN 2u

struct quarantine
{
  GHashTable *entries; /* digest to struct quarantine_entry */
};

/* A digest.  Its times are those of this node, in monotonic microseconds.  */
struct quarantine_entry
{
  struct fleet_suspect suspect; /* the newest record */
  gint64 changed_at;            /* when the newest record was applied */
  gint64 completed_at; /* last run that ended well here since the first
                          record was applied, 0: none did */
};

void quarantine_init (struct quarantine *quarantine);
void quarantine_clear (struct quarantine *quarantine);
void quarantine_apply (struct quarantine *quarantine,
                       const struct fleet_suspect *record, gint64 now);
void quarantine_remove (struct quarantine *quarantine, guint64 digest);
const struct quarantine_entry *
quarantine_find (const struct quarantine *quarantine, guint64 digest);
gboolean quarantine_holds (const struct quarantine *quarantine,
                           guint64 digest);
gboolean quarantine_holds_head (const struct quarantine *quarantine,
                                guint64 head_digest);
guint quarantine_held_count (const struct quarantine *quarantine);
gint64 quarantine_probe_at (const struct quarantine_entry *entry);
void quarantine_on_completed (struct quarantine *quarantine, guint64 digest,
                              gint64 now);
const struct quarantine_entry *
quarantine_next_sound (const struct quarantine *quarantine);
const struct quarantine_entry *
quarantine_next_expired (const struct quarantine *quarantine, gint64 now);

#endif
