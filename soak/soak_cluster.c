#include "soak/soak_cluster.h"
#include "soak/soak_config.h"
#include "soak/soak_owners.h"

#include "platform/config.h"
#include "platform/store.h"
#include "types/clock.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#define OUTPUT_FOLDER "out/soak" /* settings and logs of the nodes */
#define PORTS_PER_HOST 10u /* ports of one node, its server and its relays */
#define STORE_PORTS 1u     /* ports of the store, below the hosts' ports */
#define HELD_UP_USEC                                                          \
  ((gint64)500000)           /* what a relay has held up has arrived by then */
#define LOOPBACK 0x7f000001u /* 127.0.0.1 */

/* Start and stop */

/* Return the address of PORT on loopback.  */
static struct address
loopback_address (guint port)
{
  struct address address = { LOOPBACK, (guint16)port };

  return address;
}

/* Write the settings of the node on host I, whose ports begin at PORT.  */
static void
write_settings (struct soak_cluster *cluster, guint i, guint port)
{
  struct soak_host *host = &cluster->hosts[i];
  char *text = g_strdup_printf (
      "[node]\nhost = soak-%u" SOAK_NAME_END "\nzone = zone-%u" SOAK_NAME_END
      "\nservice = %s\n[listen]\n"
      "callers = 127.0.0.1:%u\ncontrol = 127.0.0.1:%u\n"
      "ready = 127.0.0.1:%u\nmetrics = 127.0.0.1:%u\n"
      "peers = 127.0.0.1:%u\n[server]\naddress = 127.0.0.1:%u\n"
      "beat-ms = 900\ngrants = %s\n[store]\naddress = 127.0.0.1:%u\n",
      i, host->server.zone, host->server.service, port, port + 1, port + 2,
      port + 3, port + 4, port + 6,
      cluster->method == GRANT_BY_CALL ? "call" : "heartbeat", port + 7);

  host->node.settings_path
      = g_strdup_printf ("%s/node-%u.ini", OUTPUT_FOLDER, i);
  host->node.log_path = g_strdup_printf ("%s/node-%u.log", OUTPUT_FOLDER, i);
  g_file_set_contents (host->node.settings_path, text, -1, NULL);
  g_free (text);
}

/* Start host I, whose ports begin at PORT: its server, its relays and the
   node's process.  STORE_PORT is the port of the store.  Return FALSE if a
   port cannot be listened on.  */
static gboolean
start_host (struct soak_cluster *cluster, guint i, guint port,
            const char *program, guint16 store_port)
{
  struct soak_host *host = &cluster->hosts[i];
  struct soak_server *server = &host->server;

  server->sharded = i % 2 == 0;
  server->method = cluster->method;
  server->evacuation = &cluster->evacuation;
  server->zone = i % SOAK_ZONES;
  g_strlcpy (server->service,
             server->sharded ? SOAK_SHARDED_SERVICE : SOAK_OTHER_SERVICE,
             sizeof server->service);
  g_snprintf (server->instance.id, sizeof server->instance.id,
              "s-%u" SOAK_NAME_END, i);
  server->instance.started_at_msec = 1000;
  server->announced_address = loopback_address (port + 6);
  server->control_address = loopback_address (port + 1);
  host->callers_address = loopback_address (port);
  host->node.program_path = program;
  write_settings (cluster, i, port);
  if (!soak_server_init (server, &cluster->http_client, &cluster->checker,
                         loopback_address (port + 5))
      || !soak_relay_init (&host->server_relay, loopback_address (port + 6),
                           loopback_address (port + 5))
      || !soak_relay_init (&host->store_relay, loopback_address (port + 7),
                           loopback_address (store_port)))
    return FALSE;
  soak_node_start (&host->node);
  return TRUE;
}

/* Start NODES processes of PROGRAM with the store, servers and relays, on
   ports from PORT on.  The servers are told their keys by METHOD.  Return
   FALSE if a port cannot be listened on.  */
gboolean
soak_cluster_init (struct soak_cluster *cluster, guint32 seed, guint nodes,
                   const char *program, guint16 port, enum grant_method method)
{
  guint i;

  memset (cluster, 0, sizeof *cluster);
  cluster->method = method;
  mkdir ("out", 0755);
  mkdir (OUTPUT_FOLDER, 0755);
  http_init (&cluster->http_client);
  soak_checker_init (&cluster->checker);
  cluster->random = g_rand_new_with_seed (seed);
  soak_evacuation_init (&cluster->evacuation, seed);
  soak_rollback_init (&cluster->rollback, seed);
  cluster->cold_random = g_rand_new_with_seed (seed);
  if (!soak_store_init (&cluster->store, loopback_address (port)))
    return FALSE;
  soak_store_put (&cluster->store, STORE_TOPIC_CONFIG, PLATFORM_CONFIG_KEY,
                  SOAK_CONFIG);
  for (i = 0; i < nodes; i++, cluster->host_count++)
    if (!start_host (cluster, i, port + STORE_PORTS + i * PORTS_PER_HOST,
                     program, port))
      return FALSE;
  return TRUE;
}

/* Kill the processes and release what CLUSTER holds.  */
void
soak_cluster_clear (struct soak_cluster *cluster)
{
  guint i;

  for (i = 0; i < cluster->host_count; i++)
    {
      struct soak_host *host = &cluster->hosts[i];
      soak_node_kill (&host->node);
      soak_relay_clear (&host->server_relay);
      soak_relay_clear (&host->store_relay);
      soak_server_clear (&host->server);
      g_free (host->node.settings_path);
      g_free (host->node.log_path);
    }
  http_clear (&cluster->http_client);
  soak_store_clear (&cluster->store);
  soak_checker_clear (&cluster->checker);
  g_rand_free (cluster->random);
  soak_evacuation_clear (&cluster->evacuation);
  soak_rollback_clear (&cluster->rollback);
  g_rand_free (cluster->cold_random);
}

/* Return a random time from MIN_MSEC to MAX_MSEC milliseconds after NOW.  */
static gint64
random_time (struct soak_cluster *cluster, gint64 now, gint32 min_msec,
             gint32 max_msec)
{
  return now
         + (gint64)g_rand_int_range (cluster->random, min_msec, max_msec)
               * USEC_PER_MSEC;
}

/* Return a random mode of a relay other than the normal one.  */
static enum soak_relay_mode
random_fault_mode (struct soak_cluster *cluster)
{
  return (enum soak_relay_mode)g_rand_int_range (
      cluster->random, SOAK_RELAY_DELAY, SOAK_RELAY_RESET + 1);
}

/* Inject one random fault at the time NOW.  Several faults may be active at
   the same time.  */
void
soak_cluster_inject_fault (struct soak_cluster *cluster, gint64 now)
{
  struct soak_host *host = &cluster->hosts[g_rand_int_range (
      cluster->random, 0, (gint32)cluster->host_count)];

  cluster->injected_fault_count++;
  switch (g_rand_int_range (cluster->random, 0, 9))
    {
    case 0:
      host->node.start_at = random_time (cluster, now, 100, 4000);
      soak_limit_excuse (&host->server.limit, host->node.start_at);
      soak_node_signal (&host->node, SIGKILL);
      break;
    case 1:
      soak_node_signal (&host->node, SIGTERM);
      break;
    case 2:
      host->node.resume_at = random_time (cluster, now, 300, 7000);
      soak_limit_excuse (&host->server.limit, host->node.resume_at);
      soak_node_signal (&host->node, SIGSTOP);
      break;
    case 3:
      soak_node_signal (&host->node, SIGHUP);
      break;
    case 4:
      soak_relay_set_mode (&host->store_relay, random_fault_mode (cluster));
      host->store_heal_at = random_time (cluster, now, 500, 8000);
      break;
    case 5:
      soak_relay_set_mode (&host->server_relay, random_fault_mode (cluster));
      host->server_heal_at = random_time (cluster, now, 200, 3000);
      soak_limit_excuse (&host->server.limit, host->server_heal_at);
      host->server.held_up_until = host->server_heal_at + HELD_UP_USEC;
      soak_cold_excuse (&host->server.cold, host->server.held_up_until);
      break;
    case 6:
      soak_server_begin_instance (&host->server);
      break;
    case 7:
      soak_limit_set (&host->server.limit,
                      (guint)g_rand_int_range (cluster->random, 1, 6),
                      random_time (cluster, now, 8000, 20000));
      break;
    default:
      cluster->store.mode = (enum soak_store_mode)g_rand_int_range (
          cluster->random, SOAK_STORE_UNAVAILABLE,
          SOAK_STORE_LOSE_ANSWERS + 1);
      cluster->store_heal_at = random_time (cluster, now, 300, 6000);
      break;
    }
}

/* End all active faults at the next step, which is at the time NOW or later.
 */
void
soak_cluster_heal (struct soak_cluster *cluster, gint64 now)
{
  guint i;

  cluster->store_heal_at = now;
  soak_evacuation_end (&cluster->evacuation, &cluster->store);
  for (i = 0; i < cluster->host_count; i++)
    {
      struct soak_host *host = &cluster->hosts[i];
      host->node.resume_at = now;
      host->node.start_at = now;
      host->store_heal_at = now;
      host->server_heal_at = now;
      soak_limit_set (&host->server.limit, 0, 0);
    }
}

/* Steps */

/* Step the processes, end the faults whose time has come, and check the key
   ranges of the servers.  */
void
soak_cluster_step (struct soak_cluster *cluster, gint64 now)
{
  guint i;

  http_expire (&cluster->http_client, now);
  if (now >= cluster->store_heal_at)
    cluster->store.mode = SOAK_STORE_NORMAL;
  for (i = 0; i < cluster->host_count; i++)
    {
      struct soak_host *host = &cluster->hosts[i];
      soak_node_step (&host->node, now);
      http_server_expire (&host->server.http_server, now);
      if (now >= host->store_heal_at)
        soak_relay_set_mode (&host->store_relay, SOAK_RELAY_NORMAL);
      if (now >= host->server_heal_at)
        soak_relay_set_mode (&host->server_relay, SOAK_RELAY_NORMAL);
    }
  soak_owners_check (cluster, now);
}
