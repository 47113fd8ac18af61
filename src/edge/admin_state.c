#include "edge/admin_state.h"

#include "edge/json.h"
#include "wire/wire_view.h"

#include <string.h>

/* Add a header whose value is a number.  */
static void
add_number_header (SoupMessageHeaders *headers, const char *name,
                   guint64 value)
{
  char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, value);

  soup_message_headers_replace (headers, name, text);
  g_free (text);
}

/* The records that put configurations in force, oldest first, as
   OFFSET/WRITER/SERIAL with commas between; free it with g_free.  */
static char *
format_past (const struct view *view)
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

/* Answer with the text of the configuration in force, where it stands, and
   which records put it and those before it in force.  */
void
admin_answer_config (struct node *node, SoupServerMessage *message)
{
  const struct view *view = &node->core.view;
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (message);
  char *text = g_strdup (view->config_text != NULL ? view->config_text : "");
  char *past = format_past (view);

  add_number_header (headers, "Config-Offset", view->config_offset);
  add_number_header (headers, "Log-Next", view->applied_offset);
  soup_message_headers_replace (headers, "Config-Past", past);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_TAKE,
                                    text, strlen (text));
  g_free (past);
}

/* Answer with the digest of this node's view and the offset that it is at. */
void
admin_answer_digest (struct node *node, SoupServerMessage *message)
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
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "application/json",
                                    SOUP_MEMORY_TAKE, text, strlen (text));
}
