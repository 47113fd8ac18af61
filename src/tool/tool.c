#include "tool/tool.h"
#include "types/clock.h"

#include "edge/json.h"

#include <stdio.h>
#include <string.h>

/* Asking */

/* A question under way.  */
struct question
{
  struct tool_response *answer; /* what comes of it */
  GMainLoop *loop;              /* runs until it has */
};

/* The number in the header NAME, or 0.  */
static guint64
header_number (SoupMessageHeaders *headers, const char *name)
{
  const char *value = soup_message_headers_get_one (headers, name);

  return value != NULL ? g_ascii_strtoull (value, NULL, 10) : 0;
}

/* Something happened to the question.  */
static void
on_event (const struct http_event *event, gpointer data)
{
  struct question *question = data;
  struct tool_response *answer = question->answer;

  switch (event->kind)
    {
    case HTTP_HEAD:
      answer->status = event->status;
      answer->config_offset = header_number (event->headers, "Config-Offset");
      answer->next_offset = header_number (event->headers, "Log-Next");
      answer->first_offset = header_number (event->headers, "Log-First");
      answer->end_offset = header_number (event->headers, "Log-Tail");
      g_free (answer->config_history);
      answer->config_history = g_strdup (
          soup_message_headers_get_one (event->headers, "Config-Past"));
      break;
    case HTTP_DATA:
      g_string_append_len (answer->body, (const char *)event->bytes,
                           (gssize)event->byte_count);
      break;
    case HTTP_BATCH_END:
    case HTTP_DRAINED:
      break;
    case HTTP_ENDED:
      answer->code = event->code;
      answer->was_sent = event->any_sent;
      g_main_loop_quit (question->loop);
      break;
    }
}

/* Give up questions that take too long.  */
static gboolean
on_timer (gpointer data)
{
  http_expire (data, clock_usec ());
  return G_SOURCE_CONTINUE;
}

/* Ask METHOD TARGET of the server at TO, with COUNT bytes, and wait for the
   answer; clear it with tool_response_clear.  */
void
tool_request (struct tool_response *answer, struct address to,
              const char *method, const char *target, const guint8 *bytes,
              gsize count, gint64 timeout_usec)
{
  struct http http;
  struct question question = { answer, g_main_loop_new (NULL, FALSE) };
  struct http_request request = { 0 };
  struct handle call;
  guint timer;

  memset (answer, 0, sizeof *answer);
  answer->code = ERR_TIMEOUT;
  answer->body = g_string_new (NULL);
  http_init (&http);
  request.address = to;
  request.method = method;
  request.target = target;
  request.body_length = (gint64)count;
  request.deadline = clock_usec () + timeout_usec;
  call = http_start (&http, &request, on_event, &question);
  http_write (&http, call, bytes, count);
  http_finish (&http, call);
  timer = g_timeout_add (50, on_timer, &http);
  g_main_loop_run (question.loop);
  g_source_remove (timer);
  http_clear (&http);
  g_main_loop_unref (question.loop);
}

/* Release an answer.  */
void
tool_response_clear (struct tool_response *answer)
{
  g_string_free (answer->body, TRUE);
  g_free (answer->config_history);
}

/* Printing */

/* Print an error, as JSON on request.  */
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

/* Add one fault to a JSON array.  */
static void
add_fault (JsonBuilder *builder, const struct config_error *config_error)
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

/* Print faults: a line each, or a JSON array on request.  */
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
    add_fault (builder, &g_array_index (errors, struct config_error, i));
  json_builder_end_array (builder);
  text = json_finish (builder);
  printf ("%s\n", text);
  g_free (text);
}

/* Print lines of a name and a number as one JSON object; a name alone counts
   as true.  */
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

/* Print what a node answered, as JSON on request.  */
static void
print_answer (const struct tool *tool, const char *text)
{
  if (tool->json_output && text[0] != '{')
    print_lines (text);
  else
    printf ("%s%s", text, g_str_has_suffix (text, "\n") ? "" : "\n");
}

/* Ask the node for TARGET and print the answer as it is.  */
int
tool_print_response (const struct tool *tool, const char *method,
                     const char *target)
{
  struct tool_response answer;
  int status = TOOL_OK;

  tool_request (&answer, tool->node_address, method, target, NULL, 0,
                tool->timeout_usec);
  if (answer.code != ERR_NONE)
    {
      tool_print_error (tool, "node", answer.code);
      status = TOOL_UNREACHABLE;
    }
  else if (answer.status == SOUP_STATUS_NOT_FOUND)
    {
      tool_print_error (tool, target, ERR_NOT_FOUND);
      status = TOOL_NOT_FOUND;
    }
  else if (answer.status >= SOUP_STATUS_BAD_REQUEST)
    {
      tool_print_error (tool, target, ERR_INVALID);
      status = TOOL_USAGE;
    }
  else
    print_answer (tool, answer.body->str);
  tool_response_clear (&answer);
  return status;
}
