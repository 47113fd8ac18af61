#ifndef SCENARIO_FAKE_LOG_H
#define SCENARIO_FAKE_LOG_H

#include "types/event.h"
#include "types/view.h"

/* A simulated log service: offsets start at 1, and a scenario can set
   retention, outages, slow answers, and answers lost after an append took
   effect.  */

struct fake_log
{
  GArray *entries;           /* struct log_entry, starting at first_retained */
  guint64 first_retained;    /* offset of the oldest record kept */
  guint32 retention_records; /* records kept, 0 for all */
  gboolean down;             /* reads and appends fail */
  gint64 delay_usec;         /* added to each answer, microseconds */
  guint32 answers_to_lose;   /* coming append answers that will be lost */
  struct view view;          /* state after applying all records */
};

void fake_log_init (struct fake_log *log);
void fake_log_clear (struct fake_log *log);
guint64 fake_log_next_offset (const struct fake_log *log);
enum err fake_log_append (struct fake_log *log, const struct record *record,
                          guint64 *offset);
const struct log_entry *fake_log_at (const struct fake_log *log,
                                     guint64 offset);

#endif
