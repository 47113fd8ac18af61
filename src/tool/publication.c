#include "tool/publication.h"

#include <glib.h>

/* Parses OFFSET/WRITER/SERIAL.  Returns FALSE if WORD is something else.  */
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
   PUBLICATION_ACCEPTED, OFFSET is set to the offset of the record.  */
enum publication
publication_judge (const struct publication_query *query, const char *history,
                   guint64 *offset)
{
  char **entries = g_strsplit (history != NULL ? history : "", ",", -1);
  struct view_config_id id = { 0, 0, 0 };
  enum publication outcome = PUBLICATION_OPEN;
  guint i;

  for (i = 0; entries[i] != NULL && outcome == PUBLICATION_OPEN; i++)
    {
      if (!read_id (entries[i], &id) || id.offset <= query->base)
        continue;
      outcome = PUBLICATION_CONFLICT;
      if (id.writer == query->writer && id.serial == query->serial)
        outcome = PUBLICATION_ACCEPTED;
    }
  g_strfreev (entries);
  if (outcome == PUBLICATION_ACCEPTED)
    *offset = id.offset;
  if (outcome == PUBLICATION_OPEN && query->offset != 0
      && query->next > query->offset)
    outcome = PUBLICATION_DROPPED;
  return outcome;
}
