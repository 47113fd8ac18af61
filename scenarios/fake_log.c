#include "scenarios/fake_log.h"

#include "decide/apply.h"

/* Free the record of one log entry.  */
static void
entry_clear (gpointer data)
{
  record_clear (&((struct log_entry *)data)->record);
}

/* Set up an empty log.  */
void
fake_log_init (struct fake_log *log)
{
  log->entries = g_array_new (FALSE, TRUE, sizeof (struct log_entry));
  g_array_set_clear_func (log->entries, entry_clear);
  log->first_retained = 1;
  log->retention_records = 0;
  log->down = FALSE;
  log->delay_usec = 0;
  log->answers_to_lose = 0;
  view_init (&log->view);
}

/* Free the records and the view of LOG.  */
void
fake_log_clear (struct fake_log *log)
{
  g_array_free (log->entries, TRUE);
  view_clear (&log->view);
}

/* Return the offset that the next record will get.  */
guint64
fake_log_next_offset (const struct fake_log *log)
{
  return log->first_retained + log->entries->len;
}

/* Return the record at OFFSET, which must still be retained.  */
const struct log_entry *
fake_log_at (const struct fake_log *log, guint64 offset)
{
  return &g_array_index (log->entries, struct log_entry,
                         offset - log->first_retained);
}

/* Append RECORD, store its offset in OFFSET, and drop the oldest records
   beyond the retention limit.  Return what the writer is told: ERR_UNAVAILABLE
   while the log is down, ERR_INDETERMINATE if the record was appended but the
   answer is lost.  */
enum err
fake_log_append (struct fake_log *log, const struct record *record,
                 guint64 *offset)
{
  struct log_entry entry = { .offset = fake_log_next_offset (log) };
  struct actions actions;

  if (log->down)
    return ERR_UNAVAILABLE;
  record_copy (&entry.record, record);
  g_array_append_val (log->entries, entry);
  actions_init (&actions);
  apply_record (&log->view, entry.offset, &entry.record, &actions);
  actions_clear (&actions);
  while (log->retention_records > 0
         && log->entries->len > log->retention_records)
    {
      g_array_remove_index (log->entries, 0);
      log->first_retained++;
    }
  *offset = entry.offset;
  if (log->answers_to_lose == 0)
    return ERR_NONE;
  log->answers_to_lose--;
  return ERR_INDETERMINATE;
}
