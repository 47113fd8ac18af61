#include "tool/tool.h"
#include "types/clock.h"

#include "tool/fleet.h"

#include <stdio.h>

#define READ_BACK_EVERY_USEC 100000 /* interval of status queries */

/* Explains the risk of declaring NODE dead.  */
static void
print_risk (const struct tool *tool, const struct fleet_node *node)
{
  if (tool->json)
    printf (
        "{\"node\":\"%016" G_GINT64_MODIFIER
        "x\",\"host\":\"%s\",\"service\":\"%s\",\"slices\":%" G_GINT64_FORMAT
        ",\"wants\":\"--yes\"}\n",
        node->incarnation, node->host, node->service, node->slices);
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
        node->incarnation, node->host, node->slices, node->service);
}

/* Waits until the queried node has removed the node called NAME from its view,
   or until DEADLINE.  Returns whether it has.  */
static gboolean
wait_until_removed (const struct tool *tool, const char *name, gint64 deadline)
{
  gboolean removed = FALSE;

  while (!removed && clock_usec () < deadline)
    {
      struct fleet fleet;
      removed = fleet_ask (&fleet, tool) == ERR_NONE
                && fleet_find (&fleet, name) == NULL;
      fleet_clear (&fleet);
      if (!removed)
        g_usleep (READ_BACK_EVERY_USEC);
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
      = { .version = RECORD_VERSION, .kind = RECORD_OUT, .serial = 1 };
  gint64 deadline = clock_usec () + tool->timeout_usec;
  guint64 offset;
  char name[17];
  enum err code;

  record.writer = tool_random ();
  record.body.out.incarnation = node->incarnation;
  record.body.out.floor = release_floor;
  record.body.out.cause = OUT_DECLARED;
  code = tool_append (tool, &record, &offset);
  if (code != ERR_NONE && code != ERR_EFFECT)
    {
      tool_print_error (tool, "declare-dead", code);
      return TOOL_UNREACHED;
    }
  g_snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x",
              node->incarnation);
  if (!wait_until_removed (tool, name, deadline))
    {
      tool_print_error (
          tool, "appended, but the node has not confirmed it yet", ERR_EFFECT);
      return TOOL_UNSURE;
    }
  printf (tool->json ? "{\"out\":\"%s\"}\n" : "out: %s\n", name);
  return TOOL_OK;
}

/* Removes a node that cannot be proven dead: declare-dead NODE.  */
int
tool_declare_dead (const struct tool *tool)
{
  struct fleet fleet;
  enum err code = fleet_ask (&fleet, tool);
  const struct fleet_node *node
      = code == ERR_NONE ? fleet_find (&fleet, tool->words[1]) : NULL;
  int status = TOOL_UNREACHED;

  if (code != ERR_NONE)
    tool_print_error (tool, "node", code);
  else if (node == NULL)
    {
      tool_print_error (tool, tool->words[1], ERR_NOT_FOUND);
      status = TOOL_NOT_FOUND;
    }
  else if (!tool->yes)
    {
      print_risk (tool, node);
      status = TOOL_USAGE;
    }
  else
    status = declare_removed (tool, node, fleet.next);
  fleet_clear (&fleet);
  return status;
}
