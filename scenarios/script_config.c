#include "scenarios/script.h"

#include <string.h>

/* Expecting what became of a configuration.  */

#define POLL_USEC 50000 /* what is to come is looked for so often */

/* The publication NAME, or NULL.  */
static const struct publication *
find_publication (const struct script *script, const char *name)
{
  guint i;

  for (i = 0; i < script->world.publications->len; i++)
    {
      const struct publication *publication
          = &g_array_index (script->world.publications, struct publication, i);
      if (strcmp (publication->name, name) == 0)
        return publication;
    }
  return NULL;
}

/* Tell whether NAME is in force at each node that runs.  */
static gboolean
in_force (const struct script *script, const char *name)
{
  const struct publication *publication = find_publication (script, name);
  guint n;

  if (publication == NULL || !publication->accepted)
    return FALSE;
  for (n = 0; n < script->world.node_count; n++)
    {
      const struct sim_node *node = &script->world.nodes[n];
      if (node->alive && node->frozen_until <= script->world.now
          && node->core.view.config_offset != publication->offset)
        return FALSE;
    }
  return TRUE;
}

/* expect config C (everywhere within T | accepted | conflict).  */
void
script_expect_config (struct script *script)
{
  char name[NAME_SIZE];
  const struct publication *publication;
  gint64 until;

  g_strlcpy (name, script_read_name (script), sizeof name);
  publication = find_publication (script, name);
  if (publication == NULL)
    script_fail (script, "line %u: %s was not published",
                 script->scanner->line, name);
  else if (script_accept_word (script, "accepted"))
    {
      if (!publication->accepted)
        script_fail (script, "line %u: %s was not accepted",
                     script->scanner->line, name);
    }
  else if (script_accept_word (script, "conflict"))
    {
      if (publication->offset == 0 || publication->accepted)
        script_fail (script, "line %u: %s met no conflict",
                     script->scanner->line, name);
    }
  else if (script_accept_word (script, "everywhere"))
    {
      until = script_read_deadline (script);
      while (!in_force (script, name) && script->world.now < until
             && script->failure[0] == '\0')
        script_run_until (script, MIN (until, script->world.now + POLL_USEC));
      if (!in_force (script, name))
        script_fail (script, "line %u: %s is not in force everywhere",
                     script->scanner->line, name);
    }
}
