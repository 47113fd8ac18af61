#include "tool/publish_outcome.h"

#include <glib.h>

/* Read one OFFSET/WRITER/SERIAL; FALSE if WORD is something else.  */
static gboolean
read_id (const char *word, struct view_config_id *id)
{
  char **parts = g_strsplit (word, "/", -1);
  gboolean good = g_strv_length (parts) == 3;

  if (good)
    {
      id->offset = g_ascii_strtoull (parts[0], NULL, 10);
      id->writer = g_ascii_strtoull (parts[1], NULL, 16);
      id->serial = g_ascii_strtoull (parts[2], NULL, 10);
    }
  g_strfreev (parts);
  return good;
}

/* Judge by PAST, the records that put configurations in force, oldest first.
   A configuration is accepted only where its base is in force, so the first
   one accepted after the base decides: no other record made from that base
   can be accepted any more, wherever it stands and whenever it arrives.  With
   PUBLISH_OUTCOME_ACCEPTED, OFFSET tells where the record stands.  */
enum publish_outcome
publish_outcome_find (const struct publish_query *query, const char *past,
                      guint64 *offset)
{
  char **words = g_strsplit (past != NULL ? past : "", ",", -1);
  struct view_config_id id = { 0, 0, 0 };
  enum publish_outcome found = PUBLISH_OUTCOME_PENDING;
  guint i;

  for (i = 0; words[i] != NULL && found == PUBLISH_OUTCOME_PENDING; i++)
    {
      if (!read_id (words[i], &id) || id.offset <= query->base_offset)
        continue;
      found = PUBLISH_OUTCOME_CONFLICT;
      if (id.writer == query->writer && id.serial == query->serial)
        found = PUBLISH_OUTCOME_ACCEPTED;
    }
  g_strfreev (words);
  if (found == PUBLISH_OUTCOME_ACCEPTED)
    *offset = id.offset;
  if (found == PUBLISH_OUTCOME_PENDING && query->record_offset != 0
      && query->applied_offset > query->record_offset)
    found = PUBLISH_OUTCOME_REJECTED;
  return found;
}
