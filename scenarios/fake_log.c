#include "scenarios/fake_log.h"

#include "decide/apply.h"

/* Release one entry.  */
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

/* Release the records.  */
void
fake_log_clear (struct fake_log *log)
{
  g_array_free (log->entries, TRUE);
  view_clear (&log->view);
}

/* The offset after the last record.  */
guint64
fake_log_next_offset (const struct fake_log *log)
{
  return log->first_retained + log->entries->len;
}

/* The record at OFFSET, which must be retained.  */
const struct log_entry *
fake_log_at (const struct fake_log *log, guint64 offset)
{
  return &g_array_index (log->entries, struct log_entry,
                         offset - log->first_retained);
}

/* Append RECORD and put its place into OFFSET.  Return what the writer is
   told: ERR_INDETERMINATE where the answer is lost.  */
enum err
fake_log_append (struct fake_log *log, const struct record *record,
                 guint64 *offset)
{
  struct log_entry entry = { .offset = fake_log_next_offset (log) };
  struct actions notes;

  if (log->down)
    return ERR_UNAVAILABLE;
  record_copy (&entry.record, record);
  g_array_append_val (log->entries, entry);
  actions_init (&notes);
  apply_record (&log->view, entry.offset, &entry.record, &notes);
  actions_clear (&notes);
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
