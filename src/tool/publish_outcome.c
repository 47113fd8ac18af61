#include "tool/publish_outcome.h"

#include <glib.h>

/* Parses ENTRY as OFFSET/WRITER/SERIAL.  Returns FALSE for any other text.  */
static gboolean
read_id (const char *entry, struct view_config_id *id)
{
  char **parts = g_strsplit (entry, "/", -1);
  gboolean valid = g_strv_length (parts) == 3;

  if (valid)
    {
      id->offset = g_ascii_strtoull (parts[0], NULL, 10);
      id->writer = g_ascii_strtoull (parts[1], NULL, 16);
      id->serial = g_ascii_strtoull (parts[2], NULL, 10);
    }
  g_strfreev (parts);
  return valid;
}

/* Determines the outcome of the record in QUERY from HISTORY, the list of
   records that put configurations in force, oldest first.  A configuration is
   accepted only while its base is in force, so the first one accepted after
   the base decides: no other record made from that base can be accepted any
   more, regardless of its offset or time of arrival.  With
   PUBLISH_OUTCOME_ACCEPTED, OFFSET is set to the offset of the record.  */
enum publish_outcome
publish_outcome_find (const struct publish_query *query, const char *history,
                      guint64 *offset)
{
  char **entries = g_strsplit (history != NULL ? history : "", ",", -1);
  struct view_config_id id = { 0, 0, 0 };
  enum publish_outcome outcome = PUBLISH_OUTCOME_PENDING;
  guint i;

  for (i = 0; entries[i] != NULL && outcome == PUBLISH_OUTCOME_PENDING; i++)
    {
      if (!read_id (entries[i], &id) || id.offset <= query->base_offset)
        continue;
      outcome = PUBLISH_OUTCOME_CONFLICT;
      if (id.writer == query->writer && id.serial == query->serial)
        outcome = PUBLISH_OUTCOME_ACCEPTED;
    }
  g_strfreev (entries);
  if (outcome == PUBLISH_OUTCOME_ACCEPTED)
    *offset = id.offset;
  if (outcome == PUBLISH_OUTCOME_PENDING && query->record_offset != 0
      && query->applied_offset > query->record_offset)
    outcome = PUBLISH_OUTCOME_REJECTED;
  return outcome;
}
