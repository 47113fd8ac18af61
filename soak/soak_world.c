#include "soak/soak_world.h"

#include "platform/config.h"
#include "platform/store.h"
#include "soak/soak_caller.h"
#include "types/clock.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#define FOLDER "out/soak" /* folder for the settings and logs of the nodes */
#define PORTS_A_PLACE 10u /* ports of one node, its server and its relays */
#define STORE_PORTS 1u   /* ports of the store, which come before the hosts' */
#define KEYED_PERCENT 60 /* share of the requests that carry a key */
#define LOOPBACK 0x7f000001u /* 127.0.0.1 */

/* The configuration: one service that is divided by key and one that is
   not.  */
#define CONFIG                                                                \
  "{\"version\":\"r1\",\"services\":{\"columns\":[\"name\",\"sharded\"],"     \
  "\"rows\":[[\"own\",true],[\"other\",false]]},\"routes\":{\"columns\":"     \
  "[\"name\",\"host\",\"path-prefix\",\"route-type\",\"service\","            \
  "\"priority\",\"timeout-ms\",\"max-attempts\"],\"rows\":"                   \
  "[[\"a\",\"soak\",\"/own/\",\"idempotent\",\"own\",1,1500,2],"              \
  "[\"b\",\"soak\",\"/once/\",\"non_idempotent\",\"other\",1,1500,1]]}}"

/* Start and stop */

/* Return the address of PORT on loopback.  */
static struct address
local (guint port)
{
  struct address address = { LOOPBACK, (guint16)port };

  return address;
}

/* Write the settings of the node on host I, whose ports begin at PORT.  */
static void
write_settings (struct soak_world *world, guint i, guint port)
{
  struct soak_place *place = &world->place[i];
  char *text = g_strdup_printf (
      "[node]\nhost = soak-%u\nzone = zone-%u\nservice = %s\n[listen]\n"
      "callers = 127.0.0.1:%u\ncontrol = 127.0.0.1:%u\n"
      "ready = 127.0.0.1:%u\nmetrics = 127.0.0.1:%u\n"
      "peers = 127.0.0.1:%u\n[server]\naddress = 127.0.0.1:%u\n"
      "beat-ms = 900\n[store]\naddress = 127.0.0.1:%u\n",
      i, i % 3, place->server.service, port, port + 1, port + 2, port + 3,
      port + 4, port + 6, port + 7);

  place->node.settings = g_strdup_printf ("%s/node-%u.ini", FOLDER, i);
  place->node.log = g_strdup_printf ("%s/node-%u.log", FOLDER, i);
  g_file_set_contents (place->node.settings, text, -1, NULL);
  g_free (text);
}

/* Start host I, whose ports begin at PORT: its server, its relays and the
   node's process.  STORE is the port of the store.  Return FALSE if a port
   cannot be listened on.  */
static gboolean
init_place (struct soak_world *world, guint i, guint port, const char *program,
            guint16 store)
{
  struct soak_place *place = &world->place[i];
  struct soak_server *server = &place->server;

  server->divided = i % 2 == 0;
  g_strlcpy (server->service, server->divided ? "own" : "other", NAME_SIZE);
  g_snprintf (server->instance.id, sizeof server->instance.id, "s-%u", i);
  server->instance.started_at_msec = 1000;
  server->told = local (port + 6);
  server->node = local (port + 1);
  place->callers = local (port);
  place->node.program = program;
  write_settings (world, i, port);
  if (!soak_server_init (server, &world->http, &world->book, local (port + 5))
      || !soak_relay_init (&place->to_server, local (port + 6),
                           local (port + 5))
      || !soak_relay_init (&place->to_store, local (port + 7), local (store)))
    return FALSE;
  soak_node_start (&place->node);
  return TRUE;
}

/* Start NODES processes of PROGRAM with the store, servers and relays, on
   ports from PORT on.  Return FALSE if a port cannot be listened on.  */
gboolean
soak_world_init (struct soak_world *world, guint32 seed, guint nodes,
                 const char *program, guint16 port)
{
  guint i;

  memset (world, 0, sizeof *world);
  mkdir ("out", 0755);
  mkdir (FOLDER, 0755);
  http_init (&world->http);
  soak_book_init (&world->book);
  world->random = g_rand_new_with_seed (seed);
  if (!soak_store_init (&world->store, local (port)))
    return FALSE;
  soak_store_put (&world->store, STORE_TOPIC_CONFIG, PLATFORM_CONFIG_KEY,
                  CONFIG);
  for (i = 0; i < nodes; i++, world->places++)
    if (!init_place (world, i, port + STORE_PORTS + i * PORTS_A_PLACE, program,
                     port))
      return FALSE;
  return TRUE;
}

/* Kill the processes and release what CLUSTER holds.  */
void
soak_world_clear (struct soak_world *world)
{
  guint i;

  for (i = 0; i < world->places; i++)
    {
      struct soak_place *place = &world->place[i];
      soak_node_end (&place->node);
      soak_relay_clear (&place->to_server);
      soak_relay_clear (&place->to_store);
      soak_server_clear (&place->server);
      g_free (place->node.settings);
      g_free (place->node.log);
    }
  http_clear (&world->http);
  soak_store_clear (&world->store);
  soak_book_clear (&world->book);
  g_rand_free (world->random);
}

/* Checks */

/* Return TRUE if two ranges share a key.  */
static gboolean
overlap (const struct key_range *a, const struct key_range *b)
{
  return a->first <= b->last && b->first <= a->last;
}

/* Check that no key is held by both A and B at the time NOW.  */
static void
check_pair (struct soak_world *world, const struct soak_server *a,
            const struct soak_server *b, gint64 now)
{
  guint32 i;
  guint32 k;

  if (now >= a->hold_until || now >= b->hold_until)
    return;
  for (i = 0; i < a->held; i++)
    for (k = 0; k < b->held; k++)
      if (overlap (&a->hold[i], &b->hold[k]))
        {
          char *what = g_strdup_printf ("%s and %s, %u", a->instance.id,
                                        b->instance.id, a->hold[i].first);
          soak_book_break (&world->book, "one holder a key", what);
          g_free (what);
          return;
        }
}

/* Check all pairs of servers for keys that both hold.  */
static void
check_holders (struct soak_world *world, gint64 now)
{
  guint i;
  guint k;

  for (i = 0; i < world->places; i++)
    for (k = i + 1; k < world->places; k++)
      check_pair (world, &world->place[i].server, &world->place[k].server,
                  now);
}

/* Faults */

/* Return a random time between LEAST and MOST milliseconds after NOW.  */
static gint64
later (struct soak_world *world, gint64 now, gint32 least, gint32 most)
{
  return now
         + (gint64)g_rand_int_range (world->random, least, most)
               * USEC_PER_MSEC;
}

/* Return a random mode of a relay other than the normal one.  */
static enum soak_relay_mode
draw_way (struct soak_world *world)
{
  return (enum soak_relay_mode)g_rand_int_range (
      world->random, SOAK_RELAY_SLOW, SOAK_RELAY_RESET + 1);
}

/* Inject one random fault at the time NOW.  Several faults may be active at
   the same time.  */
void
soak_world_trouble (struct soak_world *world, gint64 now)
{
  struct soak_place *place = &world->place[g_rand_int_range (
      world->random, 0, (gint32)world->places)];

  world->injected_faults++;
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
      soak_relay_set (&place->to_store, draw_way (world));
      place->store_well_at = later (world, now, 500, 8000);
      break;
    case 5:
      soak_relay_set (&place->to_server, draw_way (world));
      place->server_well_at = later (world, now, 200, 3000);
      break;
    case 6:
      soak_server_begin (&place->server);
      break;
    default:
      world->store.mode = (enum soak_store_mode)g_rand_int_range (
          world->random, SOAK_STORE_BUSY, SOAK_STORE_LOSES + 1);
      world->store_well_at = later (world, now, 300, 6000);
      break;
    }
}

/* End all active faults at the time NOW.  */
void
soak_world_heal (struct soak_world *world, gint64 now)
{
  guint i;

  world->store_well_at = now;
  for (i = 0; i < world->places; i++)
    {
      struct soak_place *place = &world->place[i];
      place->node.resume_at = now;
      place->node.start_at = now;
      place->store_well_at = now;
      place->server_well_at = now;
    }
}

/* Steps */

/* Step the processes, end the faults whose time has come, and check the key
   ranges of the servers.  */
void
soak_world_step (struct soak_world *world, gint64 now)
{
  guint i;

  http_expire (&world->http, now);
  if (now >= world->store_well_at)
    world->store.mode = SOAK_STORE_WELL;
  for (i = 0; i < world->places; i++)
    {
      struct soak_place *place = &world->place[i];
      soak_node_step (&place->node, now);
      if (now >= place->store_well_at)
        soak_relay_set (&place->to_store, SOAK_RELAY_WELL);
      if (now >= place->server_well_at)
        soak_relay_set (&place->to_server, SOAK_RELAY_WELL);
    }
  check_holders (world, now);
}

/* Send a random request to a random node.  */
void
soak_world_ask (struct soak_world *world)
{
  char id[REQUEST_ID_SIZE];
  struct soak_ask ask = {
    .node
    = world->place[g_rand_int_range (world->random, 0, (gint32)world->places)]
          .callers,
    .id = id,
    .once = g_rand_int_range (world->random, 0, 100) >= KEYED_PERCENT,
    .key
    = (guint32)g_rand_int_range (world->random, 0, (gint32)SHARD_KEY_COUNT)
  };

  g_snprintf (id, sizeof id, "r%u", ++world->serial);
  soak_caller_send (&world->book, &world->http, &ask);
}
