#ifndef SCENARIO_FAKE_LOG_H
#define SCENARIO_FAKE_LOG_H

#include "types/event.h"
#include "types/view.h"

/* The log service as the world's nodes meet it: offsets from 1, retention,
   outage, slowness, and answers that are lost after the effect.  */

struct fake_log
{
  GArray *entries;           /* struct log_entry, from offset first on */
  guint64 first_retained;    /* first offset retained */
  guint32 retention_records; /* records retained, 0 for all */
  gboolean down;             /* neither reads nor appends are served */
  gint64 delay_usec;         /* each answer takes so long, microseconds */
  guint32 answers_to_lose;   /* answers of appends still to be lost */
  struct view view;          /* what all records add up to */
};

void fake_log_init (struct fake_log *log);
void fake_log_clear (struct fake_log *log);
guint64 fake_log_next_offset (const struct fake_log *log);
enum err fake_log_append (struct fake_log *log, const struct record *record,
                          guint64 *offset);
const struct log_entry *fake_log_at (const struct fake_log *log,
                                     guint64 offset);

#endif
