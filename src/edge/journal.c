#include "edge/journal.h"

#include <log4c.h>
#include <string.h>

#define JOURNAL_CATEGORY "bambootally" /* name of the log4c category */

static log4c_category_t *journal_category; /* where events go */

/* Open the journal for events of LEVEL (error, info or debug) and above.
   Return 0, or -1 if log4c cannot start.  */
int
journal_open (const char *level)
{
  int priority = LOG4C_PRIORITY_INFO;

  if (log4c_init () != 0)
    return -1;
  if (strcmp (level, "error") == 0)
    priority = LOG4C_PRIORITY_ERROR;
  else if (strcmp (level, "debug") == 0)
    priority = LOG4C_PRIORITY_DEBUG;
  journal_category = log4c_category_get (JOURNAL_CATEGORY);
  log4c_category_set_appender (journal_category,
                               log4c_appender_get ("stderr"));
  log4c_appender_set_layout (log4c_appender_get ("stderr"),
                             log4c_layout_get ("dated"));
  log4c_layout_set_type (log4c_layout_get ("dated"),
                         log4c_layout_type_get ("dated"));
  log4c_category_set_priority (journal_category, priority);
  return 0;
}

/* Write NOTE as its number, name and fields; free the text with g_free.  */
char *
journal_format (const struct note *note)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "event=%d name=%s", (int)note->id,
                          note_name (note->id));
  if (note->service[0] != '\0')
    g_string_append_printf (text, " service=%s", note->service);
  if (note->key[0] != '\0')
    g_string_append_printf (text, " key=%s", note->key);
  if (note->has_slice)
    g_string_append_printf (text, " slice=%u", note->slice);
  if (note->node != 0)
    g_string_append_printf (text, " node=%016" G_GINT64_MODIFIER "x",
                            note->node);
  if (note->offset != 0)
    g_string_append_printf (text, " offset=%" G_GUINT64_FORMAT, note->offset);
  if (note->code != 0)
    g_string_append_printf (text, " code=%d", note->code);
  if (note->amount != 0)
    g_string_append_printf (text, " amount=%" G_GINT64_FORMAT, note->amount);
  if (note->text[0] != '\0')
    g_string_append_printf (text, " text=%s", note->text);
  return g_string_free (text, FALSE);
}

/* The log4c priority of an event.  Routing a request is an everyday event and
   goes at debug, so that a busy node can leave it out.  */
static int
priority_of (enum note_id id)
{
  switch (id)
    {
    case NOTE_ROUTE_OWN:
    case NOTE_ROUTE_FORWARD:
    case NOTE_ROUTE_QUEUED:
      return LOG4C_PRIORITY_DEBUG;
    case NOTE_LEASE_LAPSED:
    case NOTE_LOG_DOWN:
    case NOTE_SERVER_DOWN:
    case NOTE_SERVER_REFUSED:
    case NOTE_RECORD_UNKNOWN:
      return LOG4C_PRIORITY_ERROR;
    default:
      return LOG4C_PRIORITY_INFO;
    }
}

/* Write an event.  */
void
journal_note (const struct note *note)
{
  int priority = priority_of (note->id);
  char *text;

  if (journal_category == NULL
      || !log4c_category_is_priority_enabled (journal_category, priority))
    return;
  text = journal_format (note);
  log4c_category_log (journal_category, priority, "%s", text);
  g_free (text);
}

/* Close the journal.  */
void
journal_close (void)
{
  if (journal_category != NULL)
    log4c_fini ();
  journal_category = NULL;
}
