#include "scenarios/script.h"

#include <string.h>

/* Random runs: failures drawn from a seed, with the standing checks, and an
   end at which everything heals and every slice must be served again.  */

#define STEP_MIN_USEC 20000    /* between two failures */
#define STEP_MAX_USEC 900000   /* between two failures */
#define FREEZE_MIN_USEC 100000 /* a node is frozen for */
#define FREEZE_MAX_USEC 4000000
#define SLOW_MAX_USEC 1000000 /* the log, network or a server takes */
#define HEALED_USEC 20000000  /* all is served again after the last failure */

/* A node drawn from RANDOM.  */
static guint
draw_node (struct script *script, GRand *random)
{
  return (guint)g_rand_int_range (random, 0, (gint32)script->world.node_count);
}

/* Kill a node that runs, unless another has been killed; otherwise start the
   one that was.  */
static void
kill_or_start (struct script *script, GRand *random)
{
  struct world *world = &script->world;
  guint n;

  for (n = 0; n < world->node_count; n++)
    if (!world->nodes[n].alive)
      {
        world_start_node (world, n);
        return;
      }
  world_kill_node (world, draw_node (script, random));
}

/* Send a request; every third one repeats the id of the one before.  */
static void
send_request (struct script *script, GRand *random)
{
  struct request request
      = { .run_class = script->run_class, .priority = PRIORITY_NORMAL };

  if (g_rand_int_range (random, 0, 3) > 0)
    script->probe_count++;
  g_strlcpy (request.service, WORLD_SERVICE, sizeof request.service);
  g_snprintf (request.id, sizeof request.id, "once-%u", script->probe_count);
  if (script->world.slice_count > 0)
    g_snprintf (request.key, sizeof request.key, "k%u",
                script->probe_count % 20);
  request.digest = script->probe_count + 1;
  request.deadline = script->world.now + G_USEC_PER_SEC;
  world_submit (&script->world, draw_node (script, random), &request, FALSE);
}

/* Cut off a zone.  */
static void
cut_some_zone (struct world *world, guint of)
{
  guint a;
  guint b;

  for (a = 0; a < world->node_count; a++)
    for (b = 0; b < world->node_count; b++)
      if (strcmp (world->nodes[a].zone, world->nodes[of].zone) == 0
          && strcmp (world->nodes[b].zone, world->nodes[of].zone) != 0)
        fake_net_cut (&world->net, a, b, TRUE);
}

/* Failures of longer runs: stops, restarts, cuts of zones, slowness of the
   log, of the network and of servers.  */
static void
wide_step (struct script *script, GRand *random)
{
  struct world *world = &script->world;
  guint n = draw_node (script, random);

  switch (g_rand_int_range (random, 0, 7))
    {
    case 0:
      if (world->nodes[n].alive)
        world_drain_node (world, n);
      break;
    case 1:
      world_kill_node (world, n);
      world_start_node (world, n);
      break;
    case 2:
      cut_some_zone (world, n);
      break;
    case 3:
      world->log.delay_usec = g_rand_int_range (random, 0, SLOW_MAX_USEC);
      break;
    case 4:
      world->net.jitter_usec = g_rand_int_range (random, 0, SLOW_MAX_USEC);
      break;
    case 5:
      world->nodes[n].server.work_usec
          = g_rand_int_range (random, 0, 2 * SLOW_MAX_USEC);
      break;
    default:
      fake_net_heal (&world->net);
      world->log.delay_usec = 0;
      world->net.jitter_usec = 0;
      break;
    }
}

/* Do one failure, or end one.  */
static void
random_step (struct script *script, GRand *random)
{
  struct world *world = &script->world;
  guint a = draw_node (script, random);
  guint b = draw_node (script, random);
  char name[NAME_SIZE];

  if (script->wide && g_rand_int_range (random, 0, 4) == 0)
    {
      wide_step (script, random);
      return;
    }
  switch (g_rand_int_range (random, 0, 12))
    {
    case 0:
      kill_or_start (script, random);
      break;
    case 1:
      world_freeze_node (
          world, a,
          world->now
              + g_rand_int_range (random, FREEZE_MIN_USEC, FREEZE_MAX_USEC));
      break;
    case 2:
      if (a != b)
        fake_net_cut (&world->net, a, b, TRUE);
      break;
    case 3:
      fake_net_heal (&world->net);
      break;
    case 4:
      world->log.down = !world->log.down;
      break;
    case 5:
      world->log.answers_to_lose++;
      break;
    case 6:
      g_snprintf (name, sizeof name, "c-%u", world->publications->len);
      world_publish (world, name, "op1");
      if (g_rand_int_range (random, 0, 2) == 0)
        world_publish (world, name, "op2");
      break;
    default:
      send_request (script, random);
      send_request (script, random);
      break;
    }
}

/* End every failure.  */
static void
heal_all (struct script *script)
{
  struct world *world = &script->world;
  guint n;

  fake_net_heal (&world->net);
  world->log.down = FALSE;
  world->log.answers_to_lose = 0;
  world->log.delay_usec = 0;
  world->net.jitter_usec = 0;
  for (n = 0; n < world->node_count; n++)
    if (!world->nodes[n].alive)
      world_start_node (world, n);
}

/* random seed=S steps=N [idempotent] [wide].  */
void
script_random (struct script *script)
{
  GRand *random;
  guint steps = 0;
  guint i;

  script->run_class = RUN_ONCE;
  while (!script_at_end (script) && script->failure[0] == '\0')
    {
      if (script_accept_word (script, "seed")
          && script_accept_char (script, '='))
        script->seed = (guint32)script_read_number (script);
      else if (script_accept_word (script, "steps")
               && script_accept_char (script, '='))
        steps = (guint)script_read_number (script);
      else if (script_accept_word (script, "idempotent"))
        script->run_class = RUN_IDEMPOTENT;
      else if (script_accept_word (script, "wide"))
        script->wide = TRUE;
      else
        script_fail (script, "line %u: seed= and steps= are wanted",
                     script->scanner->line);
    }
  random = g_rand_new_with_seed (script->seed);
  for (i = 0; i < steps && script->failure[0] == '\0'; i++)
    {
      random_step (script, random);
      script_run_until (script, script->world.now
                                    + g_rand_int_range (random, STEP_MIN_USEC,
                                                        STEP_MAX_USEC));
    }
  g_rand_free (random);
  heal_all (script);
  script_run_until (script, script->world.now + HEALED_USEC);
}
