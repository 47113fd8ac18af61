#include "scenarios/script.h"

#include <string.h>

/* Statements that bring failures and end them.  */

/* Do FN to each node that is named.  */
static void
each_node (struct script *script, void (*fn) (struct world *, guint))
{
  do
    fn (&script->world, script_read_node (script));
  while (script_next_is_node (script));
}

/* Start a new process for a node; one that runs is killed first.  */
static void
restart (struct world *world, guint n)
{
  world_kill_node (world, n);
  world_start_node (world, n);
}

/* freeze N... for T.  */
static void
do_freeze (struct script *script)
{
  gboolean named[SIM_NODES_MAX] = { FALSE };
  gint64 until;
  guint n;

  do
    named[script_read_node (script)] = TRUE;
  while (script_next_is_node (script));
  if (!script_accept_word (script, "for"))
    script_fail (script, "line %u: for how long?", script->scanner->line);
  until = script->world.now
          + (gint64)(script_read_number (script) * G_USEC_PER_SEC);
  for (n = 0; n < script->world.node_count; n++)
    if (named[n])
      world_freeze_node (&script->world, n, until);
}

/* Cut or join all pairs between ZONE and the others.  */
static void
cut_zone (struct world *world, const char *zone, gboolean cut)
{
  guint a;
  guint b;

  for (a = 0; a < world->node_count; a++)
    for (b = 0; b < world->node_count; b++)
      if (strcmp (world->nodes[a].zone, zone) == 0
          && strcmp (world->nodes[b].zone, zone) != 0)
        fake_net_cut (&world->net, a, b, cut);
}

/* cut A B | cut A | cut zone Z, and the same with heal.  */
static void
do_cut (struct script *script, gboolean cut)
{
  struct world *world = &script->world;
  guint a;
  guint b;

  if (script_accept_word (script, "zone"))
    {
      cut_zone (world, script_read_name (script), cut);
      return;
    }
  if (script_at_end (script) && !cut)
    {
      fake_net_heal (&world->net);
      return;
    }
  a = script_read_node (script);
  if (script_next_is_node (script))
    {
      fake_net_cut (&world->net, a, script_read_node (script), cut);
      return;
    }
  for (b = 0; b < world->node_count; b++)
    if (b != a)
      fake_net_cut (&world->net, a, b, cut);
}

/* log down | up | slow T | lose-answer N | retain N.  */
static void
do_log (struct script *script)
{
  struct fake_log *log = &script->world.log;

  if (script_accept_word (script, "down"))
    log->down = TRUE;
  else if (script_accept_word (script, "up"))
    log->down = FALSE;
  else if (script_accept_word (script, "slow"))
    log->delay_usec = (gint64)(script_read_number (script) * G_USEC_PER_SEC);
  else if (script_accept_word (script, "lose-answer"))
    log->answers_to_lose += (guint32)script_read_number (script);
  else if (script_accept_word (script, "retain"))
    log->retention_records = (guint32)script_read_number (script);
  else
    script_fail (script, "line %u: the log does not do that",
                 script->scanner->line);
}

/* server N (crash-on D | work T | unchecked).  */
static void
do_server (struct script *script)
{
  guint n = script_read_node (script);
  struct fake_server *server = &script->world.nodes[n].server;

  if (script_accept_word (script, "crash-on"))
    server->crash_digest = (guint64)script_read_number (script);
  else if (script_accept_word (script, "work"))
    server->work_usec = (gint64)(script_read_number (script) * G_USEC_PER_SEC);
  else if (script_accept_word (script, "unchecked"))
    server->checks_fences = FALSE;
  else
    script_fail (script, "line %u: a server does not do that",
                 script->scanner->line);
}

/* net delay T jitter U.  */
static void
do_net (struct script *script)
{
  struct fake_net *net = &script->world.net;

  if (script_accept_word (script, "delay"))
    net->delay_usec = (gint64)(script_read_number (script) * G_USEC_PER_SEC);
  if (script_accept_word (script, "jitter"))
    net->jitter_usec = (gint64)(script_read_number (script) * G_USEC_PER_SEC);
}

/* Do the failure WORD.  */
void
script_inject_fault (struct script *script, const char *word)
{
  if (strcmp (word, "kill") == 0)
    each_node (script, world_kill_node);
  else if (strcmp (word, "restart") == 0)
    each_node (script, restart);
  else if (strcmp (word, "drain") == 0)
    each_node (script, world_drain_node);
  else if (strcmp (word, "freeze") == 0)
    do_freeze (script);
  else if (strcmp (word, "cut") == 0)
    do_cut (script, TRUE);
  else if (strcmp (word, "heal") == 0)
    do_cut (script, FALSE);
  else if (strcmp (word, "log") == 0)
    do_log (script);
  else if (strcmp (word, "net") == 0)
    do_net (script);
  else if (strcmp (word, "server") == 0)
    do_server (script);
  else
    script_fail (script, "line %u: no statement begins with %s",
                 script->scanner->line, word);
}
