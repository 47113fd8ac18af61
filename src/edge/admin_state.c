#include "edge/admin_state.h"

#include "edge/json.h"
#include "wire/wire_view.h"

#include <string.h>

/* Set the header NAME to the decimal VALUE.  */
static void
add_number_header (SoupMessageHeaders *headers, const char *name,
                   guint64 value)
{
  char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, value);

  soup_message_headers_replace (headers, name, text);
  g_free (text);
}

/* Format the records of the last CONFIG_HISTORY_SIZE configurations that took
   effect, oldest first, as OFFSET/WRITER/SERIAL separated by commas.  Free the
   text with g_free.  */
static char *
format_history (const struct view *view)
{
  GString *text = g_string_new (NULL);
  guint i;

  for (i = 0; i < CONFIG_HISTORY_SIZE; i++)
    {
      const struct view_config_id *id
          = &view->config_history[(view->config_history_next + i)
                                  % CONFIG_HISTORY_SIZE];
      if (id->offset != 0)
        g_string_append_printf (
            text,
            "%s%" G_GUINT64_FORMAT "/%016" G_GINT64_MODIFIER
            "x/%" G_GUINT64_FORMAT,
            text->len > 0 ? "," : "", id->offset, id->writer, id->serial);
    }
  return g_string_free (text, FALSE);
}

/* Answer with the text of the configuration in force; headers hold its offset
   in the log, the offset up to which the log is applied, and the records of
   this and earlier configurations.  */
void
admin_answer_config (struct node *node, struct handle request)
{
  const struct view *view = &node->core.view;
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  char *history = format_history (view);

  add_number_header (headers, "Config-Offset", view->config_offset);
  add_number_header (headers, "Log-Next", view->applied_offset);
  soup_message_headers_replace (headers, "Config-Past", history);
  soup_message_headers_append (headers, "Content-Type", "text/plain");
  http_server_answer (&node->proxy.callers, request, SOUP_STATUS_OK, headers,
                      view->config_text != NULL ? view->config_text : "");
  soup_message_headers_unref (headers);
  g_free (history);
}

/* Answer with the digest of this node's view and the offset up to which the
   view has applied the log.  */
void
admin_answer_digest (struct node *node, struct handle request)
{
  const struct core *core = &node->core;
  JsonBuilder *builder = json_builder_new ();
  char *text;

  json_builder_begin_object (builder);
  json_add_incarnation (builder, "node", core->settings.incarnation);
  json_add_string (builder, "host", core->settings.host);
  json_add_number (builder, "next", (gint64)core->view.applied_offset);
  json_add_incarnation (builder, "digest", view_digest (&core->view));
  json_add_number (builder, "unread", (gint64)core->view.unsupported_offset);
  json_builder_end_object (builder);
  text = json_finish (builder);
  http_server_answer_text (&node->proxy.callers, request, SOUP_STATUS_OK,
                           "application/json", text);
  g_free (text);
}
