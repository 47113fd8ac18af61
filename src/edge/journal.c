#include "edge/journal.h"

#include <log4c.h>
#include <string.h>

#define JOURNAL_CATEGORY "bambootally" /* name of the log4c category */

static log4c_category_t *journal_category; /* where events go */
static struct log_output *journal_out;     /* where lines go, or NULL */

/* Hand a line of log4c's on to the output that does not block.  */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  gint64 now = g_get_real_time ();
  char *line = g_strdup_printf (
      "time=%" G_GINT64_FORMAT ".%03d level=%s %s", now / G_USEC_PER_SEC,
      (int)(now % G_USEC_PER_SEC / 1000),
      log4c_priority_to_string (event->evt_priority), event->evt_msg);

  (void)appender;
  log_output_line (journal_out, line);
  g_free (line);
  return 0;
}

static const log4c_appender_type_t journal_appender
    = { "bounded", NULL, append_line, NULL };

/* Have events go to OUT, in place of standard error.  */
void
journal_set_output (struct log_output *out)
{
  journal_out = out;
  log4c_appender_type_set (&journal_appender);
  log4c_appender_set_type (log4c_appender_get ("bounded"), &journal_appender);
  log4c_category_set_appender (journal_category,
                               log4c_appender_get ("bounded"));
}

/* Lines that the output had no room for.  */
guint64
journal_dropped_lines (void)
{
  return journal_out != NULL ? journal_out->dropped_lines : 0;
}

/* The lowest priority of events of LEVEL.  */
static int
lowest_priority (const char *level)
{
  if (strcmp (level, "error") == 0)
    return LOG4C_PRIORITY_ERROR;
  if (strcmp (level, "debug") == 0)
    return LOG4C_PRIORITY_DEBUG;
  return LOG4C_PRIORITY_INFO;
}

/* Open the journal for events of LEVEL (error, info or debug) and above.
   Return 0, or -1 if log4c cannot start.  */
int
journal_open (const char *level)
{
  if (log4c_init () != 0)
    return -1;
  journal_category = log4c_category_get (JOURNAL_CATEGORY);
  log4c_category_set_appender (journal_category,
                               log4c_appender_get ("stderr"));
  log4c_appender_set_layout (log4c_appender_get ("stderr"),
                             log4c_layout_get ("dated"));
  log4c_layout_set_type (log4c_layout_get ("dated"),
                         log4c_layout_type_get ("dated"));
  log4c_category_set_priority (journal_category, lowest_priority (level));
  return 0;
}

/* Write NOTE as its number, name and fields; free the text with g_free.  */
char *
journal_format (const struct log_event *log_event)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "event=%d name=%s", (int)log_event->id,
                          log_event_name (log_event->id));
  if (log_event->service[0] != '\0')
    g_string_append_printf (text, " service=%s", log_event->service);
  if (log_event->key[0] != '\0')
    g_string_append_printf (text, " key=%s", log_event->key);
  if (log_event->has_slice)
    g_string_append_printf (text, " slice=%u", log_event->slice);
  if (log_event->node != 0)
    g_string_append_printf (text, " node=%016" G_GINT64_MODIFIER "x",
                            log_event->node);
  if (log_event->offset != 0)
    g_string_append_printf (text, " offset=%" G_GUINT64_FORMAT,
                            log_event->offset);
  if (log_event->code != 0)
    g_string_append_printf (text, " code=%d", log_event->code);
  if (log_event->amount != 0)
    g_string_append_printf (text, " amount=%" G_GINT64_FORMAT,
                            log_event->amount);
  if (log_event->text[0] != '\0')
    g_string_append_printf (text, " %s=%s",
                            log_event->id < LOG_EVENT_MESH_FIRST ? "text"
                                                                 : "subject",
                            log_event->text);
  if (log_event->detail[0] != '\0')
    g_string_append_printf (text, " %s", log_event->detail);
  return g_string_free (text, FALSE);
}

/* The log4c priority of an event.  Routing a request is an everyday event and
   goes at debug, so that a busy node can leave it out.  */
static int
priority_of (enum log_event_id id)
{
  switch (id)
    {
    case LOG_EVENT_ROUTE_OWN:
    case LOG_EVENT_ROUTE_FORWARD:
    case LOG_EVENT_ROUTE_QUEUED:
      return LOG4C_PRIORITY_DEBUG;
    case LOG_EVENT_LEASE_LAPSED:
    case LOG_EVENT_LOG_DOWN:
    case LOG_EVENT_SERVER_DOWN:
    case LOG_EVENT_SERVER_REFUSED:
    case LOG_EVENT_RECORD_UNKNOWN:
    case LOG_EVENT_MESH_BAD_INPUT:
      return LOG4C_PRIORITY_ERROR;
    default:
      return LOG4C_PRIORITY_INFO;
    }
}

/* Write an event.  */
void
journal_log_event (const struct log_event *log_event)
{
  int priority = priority_of (log_event->id);
  char *text;

  if (journal_category == NULL
      || !log4c_category_is_priority_enabled (journal_category, priority))
    return;
  text = journal_format (log_event);
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
