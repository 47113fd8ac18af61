#include "soak/soak_cluster.h"

#include "platform/config.h"
#include "platform/store.h"
#include "soak/soak_caller.h"
#include "types/clock.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#define FOLDER "out/soak"    /* settings and logs */
#define PORTS_A_PLACE 10u    /* ports of one node and its server */
#define STORE_PORTS 1u       /* ports of the store, before all others */
#define KEYED_PERCENT 60     /* of the requests */
#define LOOPBACK 0x7f000001u /* 127.0.0.1 */

/* The configuration: a divided service and one that is not.  */
#define CONFIG                                                                \
  "{\"version\":\"r1\",\"services\":{\"columns\":[\"name\",\"sharded\"],"     \
  "\"rows\":[[\"own\",true],[\"other\",false]]},\"routes\":{\"columns\":"     \
  "[\"name\",\"host\",\"path-prefix\",\"route-type\",\"service\","            \
  "\"priority\",\"timeout-ms\",\"max-attempts\"],\"rows\":"                   \
  "[[\"a\",\"soak\",\"/own/\",\"idempotent\",\"own\",1,1500,2],"              \
  "[\"b\",\"soak\",\"/once/\",\"non_idempotent\",\"other\",1,1500,1]]}}"

/* Set-up */

/* The address of PORT.  */
static struct address
local (guint port)
{
  struct address address = { LOOPBACK, (guint16)port };

  return address;
}

/* Write the settings of the node at I, whose ports begin at PORT.  */
static void
write_settings (struct soak_cluster *world, guint i, guint port)
{
  struct soak_host *place = &world->hosts[i];
  char *text = g_strdup_printf (
      "[node]\nhost = soak-%u\nzone = zone-%u\nservice = %s\n[listen]\n"
      "callers = 127.0.0.1:%u\ncontrol = 127.0.0.1:%u\n"
      "ready = 127.0.0.1:%u\nmetrics = 127.0.0.1:%u\n"
      "peers = 127.0.0.1:%u\n[server]\naddress = 127.0.0.1:%u\n"
      "beat-ms = 900\n[store]\naddress = 127.0.0.1:%u\n",
      i, i % 3, place->server.service, port, port + 1, port + 2, port + 3,
      port + 4, port + 6, port + 7);

  place->node.settings_path = g_strdup_printf ("%s/node-%u.ini", FOLDER, i);
  place->node.log_path = g_strdup_printf ("%s/node-%u.log", FOLDER, i);
  g_file_set_contents (place->node.settings_path, text, -1, NULL);
  g_free (text);
}

/* Set up the node at I, whose ports begin at PORT, with its server.  */
static gboolean
init_place (struct soak_cluster *world, guint i, guint port,
            const char *program, guint16 store)
{
  struct soak_host *place = &world->hosts[i];
  struct soak_server *server = &place->server;

  server->sharded = i % 2 == 0;
  g_strlcpy (server->service, server->sharded ? "own" : "other", NAME_SIZE);
  g_snprintf (server->instance.id, sizeof server->instance.id, "s-%u", i);
  server->instance.started_at_msec = 1000;
  server->announced_address = local (port + 6);
  server->control_address = local (port + 1);
  place->callers_address = local (port);
  place->node.program_path = program;
  write_settings (world, i, port);
  if (!soak_server_init (server, &world->http_client, &world->checker,
                         local (port + 5))
      || !soak_relay_init (&place->server_relay, local (port + 6),
                           local (port + 5))
      || !soak_relay_init (&place->store_relay, local (port + 7),
                           local (store)))
    return FALSE;
  soak_node_start (&place->node);
  return TRUE;
}

/* Start NODES processes of PROGRAM and what they need, on ports from PORT on;
   FALSE if something cannot listen.  */
gboolean
soak_cluster_init (struct soak_cluster *world, guint32 seed, guint nodes,
                   const char *program, guint16 port)
{
  guint i;

  memset (world, 0, sizeof *world);
  mkdir ("out", 0755);
  mkdir (FOLDER, 0755);
  http_init (&world->http_client);
  soak_checker_init (&world->checker);
  world->random = g_rand_new_with_seed (seed);
  if (!soak_store_init (&world->store, local (port)))
    return FALSE;
  soak_store_put (&world->store, STORE_TOPIC_CONFIG, PLATFORM_CONFIG_KEY,
                  CONFIG);
  for (i = 0; i < nodes; i++, world->host_count++)
    if (!init_place (world, i, port + STORE_PORTS + i * PORTS_A_PLACE, program,
                     port))
      return FALSE;
  return TRUE;
}

/* End the processes and release what WORLD holds.  */
void
soak_cluster_clear (struct soak_cluster *world)
{
  guint i;

  for (i = 0; i < world->host_count; i++)
    {
      struct soak_host *place = &world->hosts[i];
      soak_node_kill (&place->node);
      soak_relay_clear (&place->server_relay);
      soak_relay_clear (&place->store_relay);
      soak_server_clear (&place->server);
      g_free (place->node.settings_path);
      g_free (place->node.log_path);
    }
  http_clear (&world->http_client);
  soak_store_clear (&world->store);
  soak_checker_clear (&world->checker);
  g_rand_free (world->random);
}

/* Checks */

/* Tell whether two ranges share a key.  */
static gboolean
overlap (const struct key_range *a, const struct key_range *b)
{
  return a->first <= b->last && b->first <= a->last;
}

/* See that no key has two holders.  */
static void
check_pair (struct soak_cluster *world, const struct soak_server *a,
            const struct soak_server *b, gint64 now)
{
  guint32 i;
  guint32 k;

  if (now >= a->held_until || now >= b->held_until)
    return;
  for (i = 0; i < a->held_range_count; i++)
    for (k = 0; k < b->held_range_count; k++)
      if (overlap (&a->held_ranges[i], &b->held_ranges[k]))
        {
          char *what
              = g_strdup_printf ("%s and %s, %u", a->instance.id,
                                 b->instance.id, a->held_ranges[i].first);
          soak_checker_violation (&world->checker, "one holder a key", what);
          g_free (what);
          return;
        }
}

/* See to all pairs of servers.  */
static void
check_holders (struct soak_cluster *world, gint64 now)
{
  guint i;
  guint k;

  for (i = 0; i < world->host_count; i++)
    for (k = i + 1; k < world->host_count; k++)
      check_pair (world, &world->hosts[i].server, &world->hosts[k].server,
                  now);
}

/* Trouble */

/* A time between LEAST and MOST milliseconds after NOW.  */
static gint64
later (struct soak_cluster *world, gint64 now, gint32 least, gint32 most)
{
  return now
         + (gint64)g_rand_int_range (world->random, least, most)
               * USEC_PER_MSEC;
}

/* A way that goes wrong.  */
static enum soak_relay_mode
draw_way (struct soak_cluster *world)
{
  return (enum soak_relay_mode)g_rand_int_range (
      world->random, SOAK_RELAY_DELAY, SOAK_RELAY_RESET + 1);
}

/* Bring one trouble.  Troubles overlap.  */
void
soak_cluster_inject_fault (struct soak_cluster *world, gint64 now)
{
  struct soak_host *place = &world->hosts[g_rand_int_range (
      world->random, 0, (gint32)world->host_count)];

  world->injected_fault_count++;
  switch (g_rand_int_range (world->random, 0, 8))
    {
    case 0:
      place->node.start_at = later (world, now, 100, 4000);
      soak_node_signal (&place->node, SIGKILL);
      break;
    case 1:
      soak_node_signal (&place->node, SIGTERM);
      break;
    case 2:
      place->node.resume_at = later (world, now, 300, 7000);
      soak_node_signal (&place->node, SIGSTOP);
      break;
    case 3:
      soak_node_signal (&place->node, SIGHUP);
      break;
    case 4:
      soak_relay_set_mode (&place->store_relay, draw_way (world));
      place->store_heal_at = later (world, now, 500, 8000);
      break;
    case 5:
      soak_relay_set_mode (&place->server_relay, draw_way (world));
      place->server_heal_at = later (world, now, 200, 3000);
      break;
    case 6:
      soak_server_begin_instance (&place->server);
      break;
    default:
      world->store.mode = (enum soak_store_mode)g_rand_int_range (
          world->random, SOAK_STORE_UNAVAILABLE, SOAK_STORE_LOSE_ANSWERS + 1);
      world->store_heal_at = later (world, now, 300, 6000);
      break;
    }
}

/* All heals at once.  */
void
soak_cluster_heal (struct soak_cluster *world, gint64 now)
{
  guint i;

  world->store_heal_at = now;
  for (i = 0; i < world->host_count; i++)
    {
      struct soak_host *place = &world->hosts[i];
      place->node.resume_at = now;
      place->node.start_at = now;
      place->store_heal_at = now;
      place->server_heal_at = now;
    }
}

/* Time */

/* Look after the processes, heal what is due and check.  */
void
soak_cluster_step (struct soak_cluster *world, gint64 now)
{
  guint i;

  http_expire (&world->http_client, now);
  if (now >= world->store_heal_at)
    world->store.mode = SOAK_STORE_NORMAL;
  for (i = 0; i < world->host_count; i++)
    {
      struct soak_host *place = &world->hosts[i];
      soak_node_step (&place->node, now);
      if (now >= place->store_heal_at)
        soak_relay_set_mode (&place->store_relay, SOAK_RELAY_NORMAL);
      if (now >= place->server_heal_at)
        soak_relay_set_mode (&place->server_relay, SOAK_RELAY_NORMAL);
    }
  check_holders (world, now);
}

/* A caller sends a request to one of the nodes.  */
void
soak_cluster_send_request (struct soak_cluster *world)
{
  char id[REQUEST_ID_SIZE];
  struct soak_caller_request ask = {
    .node_address = world
                        ->hosts[g_rand_int_range (world->random, 0,
                                                  (gint32)world->host_count)]
                        .callers_address,
    .request_id = id,
    .at_most_once = g_rand_int_range (world->random, 0, 100) >= KEYED_PERCENT,
    .shard_key
    = (guint32)g_rand_int_range (world->random, 0, (gint32)SHARD_KEY_COUNT)
  };

  g_snprintf (id, sizeof id, "r%u", ++world->last_request_serial);
  soak_caller_send (&world->checker, &world->http_client, &ask);
}
