#include "tool/tool.h"
#include "types/clock.h"

#include "tool/fleet.h"

#include <stdio.h>

#define READ_BACK_EVERY_USEC 100000 /* the node is asked so often */

/* Say what is at stake.  */
static void
print_stake (const struct tool *tool, const struct fleet_node *node)
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
        "Declared dead, it is out for good and others get its slices at "
        "once.\n"
        "If its process or its backend server still runs, keys can have two\n"
        "owners, and a request that must run once can run twice.  Make sure\n"
        "that the host is off, then repeat the command with --yes.\n",
        node->incarnation, node->host, node->slice_count, node->service);
}

/* Wait until the node that is asked no longer has INCARNATION in its view.  */
static gboolean
is_out (const struct tool *tool, const char *word, gint64 deadline)
{
  gboolean out = FALSE;

  while (!out && clock_usec () < deadline)
    {
      struct fleet fleet;
      out = fleet_fetch (&fleet, tool) == ERR_NONE
            && fleet_find (&fleet, word) == NULL;
      fleet_clear (&fleet);
      if (!out)
        g_usleep (READ_BACK_EVERY_USEC);
    }
  return out;
}

/* Append that NODE is out and wait for it to be folded.  The floor covers all
   moves folded so far, so a slice on its way goes to its receiver.  */
static int
declare (const struct tool *tool, const struct fleet_node *node, guint64 floor)
{
  struct record record
      = { .version = RECORD_VERSION, .kind = RECORD_REMOVED, .serial = 1 };
  gint64 deadline = clock_usec () + tool->timeout_usec;
  guint64 offset;
  char word[17];
  enum err code;

  record.writer = tool_random_id ();
  record.body.removed.incarnation = node->incarnation;
  record.body.removed.floor = floor;
  record.body.removed.cause = REMOVAL_DECLARED;
  code = tool_append (tool, &record, &offset);
  if (code != ERR_NONE && code != ERR_INDETERMINATE)
    {
      tool_print_error (tool, "declare-dead", code);
      return TOOL_UNREACHABLE;
    }
  g_snprintf (word, sizeof word, "%016" G_GINT64_MODIFIER "x",
              node->incarnation);
  if (!is_out (tool, word, deadline))
    {
      tool_print_error (tool, "not read back yet", ERR_INDETERMINATE);
      return TOOL_INDETERMINATE;
    }
  printf (tool->json_output ? "{\"out\":\"%s\"}\n" : "out: %s\n", word);
  return TOOL_OK;
}

/* Declare a node dead that nothing can prove dead: declare-dead NODE.  */
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
      print_stake (tool, node);
      status = TOOL_USAGE;
    }
  else
    status = declare (tool, node, fleet.applied_offset);
  fleet_clear (&fleet);
  return status;
}
