#include "tool/tool.h"
#include "types/clock.h"

#include "tool/fleet.h"

#include <stdio.h>

#define QUERY_INTERVAL_USEC 100000 /* interval of status queries */

/* Explains the risk of declaring NODE dead.  */
static void
print_risk (const struct tool *tool, const struct fleet_node *node)
{
  if (tool->json_output)
    printf (
        "{\"node\":\"%016" G_GINT64_MODIFIER
        "x\",\"host\":\"%s\",\"service\":\"%s\",\"slices\":%" G_GINT64_FORMAT
        ",\"wants\":\"--yes\"}\n",
        node->incarnation, node->host, node->service, node->slice_count);
  else
    fprintf (
        stderr,
        "Node %016" G_GINT64_MODIFIER "x on host %s owns %" G_GINT64_FORMAT
        " slices of %s.\n"
        "Declaring it dead is final, and other nodes take over its slices at "
        "once.\n"
        "If its process or its backend server still runs, keys can have two\n"
        "owners, and a request that must run once can run twice.  Make sure\n"
        "that the host is off, then repeat the command with --yes.\n",
        node->incarnation, node->host, node->slice_count, node->service);
}

/* Waits until the queried node has removed the node called NAME from its view,
   or until DEADLINE.  Returns whether the node was removed.  */
static gboolean
wait_until_removed (const struct tool *tool, const char *name, gint64 deadline)
{
  gboolean removed = FALSE;

  while (!removed && clock_usec () < deadline)
    {
      struct fleet fleet;
      removed = fleet_fetch (&fleet, tool) == ERR_NONE
                && fleet_find (&fleet, name) == NULL;
      fleet_clear (&fleet);
      if (!removed)
        g_usleep (QUERY_INTERVAL_USEC);
    }
  return removed;
}

/* Appends the record that removes NODE and waits until it is applied.  The
   release floor covers all moves applied so far, so a slice that is being
   moved goes to its receiver.  */
static int
declare_removed (const struct tool *tool, const struct fleet_node *node,
                 guint64 release_floor)
{
  struct record record
      = { .version = RECORD_VERSION, .kind = RECORD_REMOVED, .serial = 1 };
  gint64 deadline = clock_usec () + tool->timeout_usec;
  guint64 offset;
  char name[17];
  enum err code;

  record.writer = tool_random_id ();
  record.body.removed.incarnation = node->incarnation;
  record.body.removed.floor = release_floor;
  record.body.removed.cause = REMOVAL_DECLARED;
  code = tool_append (tool, &record, &offset);
  if (code != ERR_NONE && code != ERR_INDETERMINATE)
    {
      tool_print_error (tool, "declare-dead", code);
      return TOOL_UNREACHABLE;
    }
  g_snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x",
              node->incarnation);
  if (!wait_until_removed (tool, name, deadline))
    {
      tool_print_error (tool,
                        "appended, but the node has not confirmed it yet",
                        ERR_INDETERMINATE);
      return TOOL_INDETERMINATE;
    }
  printf (tool->json_output ? "{\"out\":\"%s\"}\n" : "out: %s\n", name);
  return TOOL_OK;
}

/* Removes a node that cannot be proven dead: declare-dead NODE.  */
int
tool_declare_dead (const struct tool *tool)
{
  struct fleet fleet;
  enum err code = fleet_fetch (&fleet, tool);
  const struct fleet_node *node
      = code == ERR_NONE ? fleet_find (&fleet, tool->args[1]) : NULL;
  int status = TOOL_UNREACHABLE;

  if (code != ERR_NONE)
    tool_print_error (tool, "node", code);
  else if (node == NULL)
    {
      tool_print_error (tool, tool->args[1], ERR_NOT_FOUND);
      status = TOOL_NOT_FOUND;
    }
  else if (!tool->is_confirmed)
    {
      print_risk (tool, node);
      status = TOOL_USAGE;
    }
  else
    status = declare_removed (tool, node, fleet.applied_offset);
  fleet_clear (&fleet);
  return status;
}
