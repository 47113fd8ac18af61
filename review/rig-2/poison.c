#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A request that crashes each backend that begins to run it comes again and
   again, with the same path, caller and body (rule BUDGET).

   poison BYTES SOUND_GAP_MS CLIENTS GAP_MS: all bodies have BYTES; CLIENTS
   send sound requests of the same path, with other bodies, each SOUND_GAP_MS;
   the request that crashes servers is sent each GAP_MS.  */

#define CONTACT_MS 3000
#define RETRIES_MAX 3
#define HOST "jepu9.example"
#define PATH "/fiti832/ti23/documents"

static const char config[]
    = "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"path-prefix\",\"route-type\",\"timeout-ms\",\"target-latency-ms\","
      "\"priority\",\"weighted-services\",\"max-attempts\",\"service\"],"
      "\"rows\":[[\"r-docs\",\"" HOST "\",\"/fiti832/ti23/\",\"upload\",2500,"
      "600,1,null,2,\"hupu36c\"]]},\"services\":{\"columns\":[\"name\","
      "\"health-path\",\"max-conns\",\"protocol\",\"tls\",\"sharded\","
      "\"warmup-s\",\"grants\"],\"rows\":[[\"hupu36c\",\"/health\",110,\"h1\","
      "false,null,null,null]]},\"limits\":{\"max-header-bytes\":16384,"
      "\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
      "\"idle-timeout-ms\":15000}}";

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int crashes;              /* of servers by the poison */
static long long third_crash_at; /* ms, 0: not yet */
static int late_arrivals;        /* at servers, over CONTACT_MS after it */
static int served, sent;

static int
run (struct server *server, const struct msg *request)
{
  char id[TEXT];

  msg_field (request, "Request-Id", id, sizeof id);
  if (request->length < 6 || memcmp (request->body, "POISON", 6) != 0)
    {
      record ("server %d: %s runs %s, %zu bytes", server->index, server->id,
              id, request->length);
      return 20 + rand () % 40;
    }
  pthread_mutex_lock (&lock);
  if (third_crash_at != 0 && now_ms () > third_crash_at + CONTACT_MS)
    late_arrivals++;
  if (++crashes == 3)
    third_crash_at = now_ms ();
  record ("server %d: %s runs the request %s that crashes it (crash %d%s)",
          server->index, server->id, id, crashes,
          late_arrivals > 0 ? ", late" : "");
  pthread_mutex_unlock (&lock);
  return -1;
}

static int sound_gap_ms;
static size_t sound_bytes;

static void *
sound_client (void *data)
{
  unsigned n = 0;
  int self = (int)(intptr_t)data;
  char *body = malloc (sound_bytes);

  while (!rig.stop)
    {
      char id[64];
      int status;
      struct node *node = &rig.nodes[(n + (unsigned)self) % 4];
      snprintf (id, sizeof id, "50%02d%012x", self, n++);
      memset (body, 'a' + (int)(n % 26), sound_bytes);
      memcpy (body, id, strlen (id));
      status = client_send (node->callers, "POST", HOST, PATH, id, -1, body,
                            sound_bytes, 2500, NULL, 0);
      pthread_mutex_lock (&lock);
      sent++;
      served += status == 200;
      pthread_mutex_unlock (&lock);
      record ("client: sound request %s at node %d: %d", id, node->index,
              status);
      sleep_ms (sound_gap_ms);
    }
  free (body);
  return NULL;
}

int
main (int argc, char **argv)
{
  static const char *const services[]
      = { "hupu36c", "hupu36c", "hupu36c", "hupu36c" };
  static const bool sharded[4];
  size_t bytes = argc > 1 ? strtoul (argv[1], NULL, 10) : 60000;
  int clients = argc > 3 ? atoi (argv[3]) : 4;
  int gap = argc > 4 ? atoi (argv[4]) : 6000;
  char *body = malloc (bytes);
  int i;

  srand (1);
  sound_gap_ms = argc > 2 ? atoi (argv[2]) : 100;
  sound_bytes = bytes;
  crash_down_ms = 3000;
  on_run = run;
  memset (body, 'x', bytes);
  memcpy (body, "POISON", 6);
  rig_start (4, services, sharded, config);
  if (!rig_wait_ready (20000))
    return finish (2, "the nodes did not get ready");
  sleep_ms (3000);
  for (i = 0; i < clients; i++)
    {
      pthread_t t;
      pthread_create (&t, NULL, sound_client, (void *)(intptr_t)i);
    }
  sleep_ms (4000);
  for (i = 0; i < 12; i++)
    {
      char id[64];
      int status;
      struct node *node = &rig.nodes[i % 4];
      snprintf (id, sizeof id, "9c41d07be2a3%04x", i);
      if (rig.trouble)
        {
          record ("client: sends the crashing request as %s to node %d", id,
                  node->index);
          status = client_send (node->callers, "POST", HOST, PATH, id, -1,
                                body, bytes, 2500, NULL, 0);
          record ("client: %s gets %d", id, status);
        }
      sleep_ms (gap);
      if (late_arrivals > RETRIES_MAX)
        break;
    }
  rig.stop = true;
  sleep_ms (300);
  if (sent == 0 || served == 0)
    return finish (2, "no sound request was served");
  return finish (late_arrivals > RETRIES_MAX,
                 "it crashed %d servers and reached %d later than %d ms after "
                 "the third; %d of %d sound requests were served",
                 crashes, late_arrivals, CONTACT_MS, served, sent);
}
