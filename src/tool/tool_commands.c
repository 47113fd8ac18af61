#include "tool/tool.h"

#include "decide/config_read.h"

#include <stdio.h>

/* Validates a configuration file: check FILE.  */
int
tool_check (const struct tool *tool)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct config config;
  char *text = NULL;
  int status = TOOL_OK;

  if (!g_file_get_contents (tool->args[1], &text, NULL, NULL))
    g_strlcpy (config_error_add (errors, CONFIG_ERROR_FILE)->file,
               tool->args[1], PATH_SIZE);
  else
    {
      config_read (&config, tool->args[1], text, errors);
      config_clear (&config);
    }
  if (errors->len > 0)
    status = TOOL_INVALID;
  if (errors->len > 0 || tool->json_output)
    tool_print_config_errors (tool, errors);
  else
    printf ("%s: valid\n", tool->args[1]);
  g_array_free (errors, TRUE);
  g_free (text);
  return status;
}

/* Shows the view of a node: status.  */
int
tool_status (const struct tool *tool)
{
  return tool_print_response (tool, "GET", "/bambootally/status");
}

/* Shows the counters of a node: counters.  */
int
tool_counters (const struct tool *tool)
{
  return tool_print_response (tool, "GET", "/bambootally/counters");
}

/* Shows which server owns a key, and why: explain SERVICE KEY.  */
int
tool_explain (const struct tool *tool)
{
  char *service = g_uri_escape_string (tool->args[1], NULL, FALSE);
  char *key = g_uri_escape_string (tool->args[2], NULL, FALSE);
  char *target = g_strdup_printf ("/bambootally/explain?service=%s&key=%s",
                                  service, key);
  int status = tool_print_response (tool, "GET", target);

  g_free (target);
  g_free (key);
  g_free (service);
  return status;
}

/* Starts a graceful stop of a node: drain.  */
int
tool_drain (const struct tool *tool)
{
  return tool_print_response (tool, "POST", "/bambootally/drain");
}
