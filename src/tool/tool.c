#include "tool/tool.h"
#include "types/clock.h"

#include "edge/json.h"

#include <stdio.h>
#include <string.h>

/* Requests */

/* A pending request.  */
struct pending_request
{
  struct tool_response *response; /* filled in as the response arrives */
  GMainLoop *loop;                /* runs until the response is complete */
};

/* Returns the number in the header NAME, or 0.  */
static guint64
header_number (SoupMessageHeaders *headers, const char *name)
{
  const char *value = soup_message_headers_get_one (headers, name);

  return value != NULL ? g_ascii_strtoull (value, NULL, 10) : 0;
}

/* Handles an event of the pending request.  */
static void
on_event (const struct http_event *event, gpointer data)
{
  struct pending_request *pending = data;
  struct tool_response *response = pending->response;

  switch (event->kind)
    {
    case HTTP_HEAD:
      response->status = event->status;
      response->config_offset
          = header_number (event->headers, "Config-Offset");
      response->next_offset = header_number (event->headers, "Log-Next");
      response->first_offset = header_number (event->headers, "Log-First");
      response->end_offset = header_number (event->headers, "Log-Tail");
      g_free (response->config_history);
      response->config_history = g_strdup (
          soup_message_headers_get_one (event->headers, "Config-Past"));
      break;
    case HTTP_DATA:
      g_string_append_len (response->body, (const char *)event->bytes,
                           (gssize)event->byte_count);
      break;
    case HTTP_BATCH_END:
    case HTTP_DRAINED:
      break;
    case HTTP_ENDED:
      response->code = event->code;
      response->was_sent = event->any_sent;
      g_main_loop_quit (pending->loop);
      break;
    }
}

/* Ends requests that have timed out.  */
static gboolean
on_timer (gpointer data)
{
  http_expire (data, clock_usec ());
  return G_SOURCE_CONTINUE;
}

/* Sends METHOD TARGET with COUNT bytes to the server at ADDRESS and waits for
   the response; clear it with tool_response_clear.  */
void
tool_request (struct tool_response *response, struct address address,
              const char *method, const char *target, const guint8 *bytes,
              gsize count, gint64 timeout_usec)
{
  struct http http;
  struct pending_request pending = { response, g_main_loop_new (NULL, FALSE) };
  struct http_request request = { 0 };
  struct handle call;
  guint timer;

  memset (response, 0, sizeof *response);
  response->code = ERR_TIMEOUT;
  response->body = g_string_new (NULL);
  http_init (&http);
  request.address = address;
  request.method = method;
  request.target = target;
  request.body_length = (gint64)count;
  request.deadline = clock_usec () + timeout_usec;
  call = http_start (&http, &request, on_event, &pending);
  http_write (&http, call, bytes, count);
  http_finish (&http, call);
  timer = g_timeout_add (50, on_timer, &http);
  g_main_loop_run (pending.loop);
  g_source_remove (timer);
  http_clear (&http);
  g_main_loop_unref (pending.loop);
}

/* Frees the memory of a response.  */
void
tool_response_clear (struct tool_response *response)
{
  g_string_free (response->body, TRUE);
  g_free (response->config_history);
}

/* Output */

/* Prints the error CODE of the step or object WHAT, as JSON if requested.  */
void
tool_print_error (const struct tool *tool, const char *what, enum err code)
{
  if (tool->json_output)
    printf ("{\"error\":\"%s\",\"code\":%d,\"what\":\"%s\"}\n",
            err_name (code), (int)code, what);
  else
    fprintf (stderr, "bambootally: %s: %s (%d)\n", what, err_name (code),
             (int)code);
}

/* Adds one configuration error to a JSON array.  */
static void
add_config_error (JsonBuilder *builder,
                  const struct config_error *config_error)
{
  json_builder_begin_object (builder);
  json_add_string (builder, "fault",
                   config_error_kind_name (config_error->kind));
  json_add_string (builder, "file", config_error->file);
  json_add_number (builder, "line", config_error->line);
  json_add_string (builder, "section", config_error->section);
  json_add_string (builder, "key", config_error->key);
  json_add_string (builder, "value", config_error->value);
  json_builder_end_object (builder);
}

/* Prints configuration errors: one line each, or a JSON array if
   requested.  */
void
tool_print_config_errors (const struct tool *tool, const GArray *errors)
{
  JsonBuilder *builder;
  char *text;
  guint i;

  if (!tool->json_output)
    {
      for (i = 0; i < errors->len; i++)
        {
          text = config_error_format (
              &g_array_index (errors, struct config_error, i));
          fprintf (stderr, "%s\n", text);
          g_free (text);
        }
      return;
    }
  builder = json_builder_new ();
  json_builder_begin_array (builder);
  for (i = 0; i < errors->len; i++)
    add_config_error (builder,
                      &g_array_index (errors, struct config_error, i));
  json_builder_end_array (builder);
  text = json_finish (builder);
  printf ("%s\n", text);
  g_free (text);
}

/* Prints lines of a name and a number as one JSON object; a name without a
   number becomes true.  */
static void
print_lines (const char *text)
{
  JsonBuilder *builder = json_builder_new ();
  char **lines = g_strsplit (text, "\n", -1);
  char *json;
  guint i;

  json_builder_begin_object (builder);
  for (i = 0; lines[i] != NULL; i++)
    {
      char *space = strrchr (lines[i], ' ');
      if (space != NULL)
        {
          *space = '\0';
          json_add_number (builder, lines[i],
                           g_ascii_strtoll (space + 1, NULL, 10));
        }
      else if (lines[i][0] != '\0')
        json_add_boolean (builder, lines[i], TRUE);
    }
  json_builder_end_object (builder);
  json = json_finish (builder);
  printf ("%s\n", json);
  g_free (json);
  g_strfreev (lines);
}

/* Prints the response of a node, as JSON if requested.  */
static void
print_body (const struct tool *tool, const char *text)
{
  if (tool->json_output && text[0] != '{')
    print_lines (text);
  else
    printf ("%s%s", text, g_str_has_suffix (text, "\n") ? "" : "\n");
}

/* Sends METHOD TARGET to the queried node and prints its response by PRINT.
   Returns the exit status.  */
int
tool_print_response_by (const struct tool *tool, const char *method,
                        const char *target, tool_print_fn *print)
{
  struct tool_response response;
  int status = TOOL_OK;

  tool_request (&response, tool->node_address, method, target, NULL, 0,
                tool->timeout_usec);
  if (response.code != ERR_NONE)
    {
      tool_print_error (tool, "node", response.code);
      status = TOOL_UNREACHABLE;
    }
  else if (response.status == SOUP_STATUS_NOT_FOUND)
    {
      tool_print_error (tool, target, ERR_NOT_FOUND);
      status = TOOL_NOT_FOUND;
    }
  else if (response.status >= SOUP_STATUS_BAD_REQUEST)
    {
      tool_print_error (tool, target, ERR_INVALID);
      status = TOOL_USAGE;
    }
  else
    print (tool, response.body->str);
  tool_response_clear (&response);
  return status;
}

/* Sends METHOD TARGET to the queried node and prints its response.  Returns
   the exit status.  */
int
tool_print_response (const struct tool *tool, const char *method,
                     const char *target)
{
  return tool_print_response_by (tool, method, target, print_body);
}
