#include "tool/publication.h"

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
   PUBLICATION_ACCEPTED, OFFSET tells where the record stands.  */
enum publication
publication_judge (const struct publication_query *query, const char *past,
                   guint64 *offset)
{
  char **words = g_strsplit (past != NULL ? past : "", ",", -1);
  struct view_config_id id = { 0, 0, 0 };
  enum publication found = PUBLICATION_OPEN;
  guint i;

  for (i = 0; words[i] != NULL && found == PUBLICATION_OPEN; i++)
    {
      if (!read_id (words[i], &id) || id.offset <= query->base)
        continue;
      found = PUBLICATION_CONFLICT;
      if (id.writer == query->writer && id.serial == query->serial)
        found = PUBLICATION_ACCEPTED;
    }
  g_strfreev (words);
  if (found == PUBLICATION_ACCEPTED)
    *offset = id.offset;
  if (found == PUBLICATION_OPEN && query->offset != 0
      && query->next > query->offset)
    found = PUBLICATION_DROPPED;
  return found;
}
