#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A route for uploads is added.  Among its first requests is one that crashes
   the servers that run it; it is sent twice.  Later all other requests of that
   path are sound (rule CONFIG: routes that were added later).  */

#define HOST "jepu9.example"
#define DOCUMENTS "/fiti832/ti23/documents"
#define BYTES 60000
#define NODES 6

static const char *const services[NODES]
    = { "hupu36c", "hupu36c", "hupu36c", "hupu36c", "wuno96b", "wuno96b" };

static void
write_config (char *to, size_t size, int n, bool added)
{
  snprintf (to, size,
            "{\"version\":\"r%d\",\"routes\":{\"columns\":[\"name\",\"host\","
            "\"path-prefix\",\"route-type\",\"timeout-ms\","
            "\"target-latency-ms\",\"priority\",\"weighted-services\","
            "\"max-attempts\",\"service\"],\"rows\":[[\"r-books\",\"" HOST
            "\",\"/xapu221/\",\"idempotent\",1200,600,1,null,2,\"wuno96b\"]%s]"
            "},\"services\":{\"columns\":[\"name\",\"health-path\","
            "\"max-conns\",\"protocol\",\"tls\",\"sharded\",\"warmup-s\","
            "\"grants\"],\"rows\":[[\"hupu36c\",\"/health\",110,\"h1\",false,"
            "null,null,null],[\"wuno96b\",\"/health\",110,\"h1\",false,null,"
            "null,null]]},\"limits\":{\"max-header-bytes\":16384,"
            "\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
            "\"idle-timeout-ms\":15000}}",
            n,
            added ? ",[\"r-docs\",\"" HOST "\",\"/fiti832/ti23/\",\"upload\","
                    "2500,600,1,null,2,\"hupu36c\"]"
                  : "");
}

static volatile int crashes;
static volatile bool is_calm;
static volatile int books_sent, books_served, docs_sent, docs_served;

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
  record ("server %d: %s runs the request %s that crashes it (crash %d)",
          server->index, server->id, id, __sync_add_and_fetch (&crashes, 1));
  return -1;
}

/* Other, short uploads of the same service.  */
static void *
notes_client (void *data)
{
  unsigned n = 0;
  int self = (int)(intptr_t)data;

  while (!rig.stop)
    {
      char id[64];
      struct node *node = &rig.nodes[(n + (unsigned)self) % 4];
      snprintf (id, sizeof id, "b%d%014x", self, n++);
      record ("client: note %s at node %d: %d", id, node->index,
              client_send (node->callers, "POST", HOST, "/fiti832/ti23/notes",
                           id, -1, id, 16, 2500, NULL, 0));
      sleep_ms (60);
    }
  return NULL;
}

static void *
client (void *data)
{
  unsigned n = 0;
  int self = (int)(intptr_t)data;
  bool docs = self >= 2;
  char *body = malloc (BYTES);

  while (!rig.stop)
    {
      char id[64];
      struct node *node = &rig.nodes[(n + (unsigned)self) % NODES];
      bool counts = is_calm;
      int status;
      if (docs && !counts)
        {
          sleep_ms (50);
          continue;
        }
      snprintf (id, sizeof id, "a%d%014x", self, n++);
      memset (body, 'a' + (int)(n % 26), BYTES);
      memcpy (body, id, strlen (id));
      status = client_send (node->callers, docs ? "POST" : "GET", HOST,
                            docs ? DOCUMENTS : "/xapu221/ny95", id, -1, body,
                            docs ? BYTES : 0, 2500, NULL, 0);
      record ("client: %s %s at node %d: %d", docs ? "upload" : "read", id,
              node->index, status);
      if (counts)
        {
          __sync_fetch_and_add (docs ? &docs_sent : &books_sent, 1);
          __sync_fetch_and_add (docs ? &docs_served : &books_served,
                                status == 200);
        }
      sleep_ms (200);
    }
  free (body);
  return NULL;
}

int
main (void)
{
  static const bool sharded[NODES];
  char config[4096];
  char *body = malloc (BYTES);
  int i;

  on_run = run;
  write_config (config, sizeof config, 7, false);
  rig_start (NODES, services, sharded, config);
  if (!rig_wait_ready (20000))
    return finish (2, "the nodes did not get ready");
  sleep_ms (3000);
  for (i = 0; i < 4; i++)
    {
      pthread_t t;
      pthread_create (&t, NULL, client, (void *)(intptr_t)i);
    }
  sleep_ms (3000);
  write_config (config, sizeof config, 9, true);
  rig_put_config (config);
  sleep_ms (3000);
  for (i = 0; i < 4; i++)
    {
      pthread_t t;
      pthread_create (&t, NULL, notes_client, (void *)(intptr_t)i);
    }
  sleep_ms (2000);
  memset (body, 'x', BYTES);
  if (rig.trouble)
    memcpy (body, "POISON", 6);
  for (i = 0; i < 2; i++)
    {
      char id[64];
      snprintf (id, sizeof id, "9c41d07be2a3%04x", i);
      record ("client: sends the first upload as %s to node %d", id, i);
      record ("client: %s gets %d", id,
              client_send (rig.nodes[i].callers, "POST", HOST, DOCUMENTS, id,
                           -1, body, BYTES, 2500, NULL, 0));
      sleep_ms (5000);
    }
  sleep_ms (8000);
  record ("calm: nothing was disrupted for 13 s");
  is_calm = true;
  sleep_ms (20000);
  is_calm = false;
  sleep_ms (500);
  rig.stop = true;
  sleep_ms (300);
  if (books_served == 0 || docs_sent < 20)
    return finish (2, "not enough was served");
  return finish ((double)docs_served / docs_sent
                     < (double)books_served / books_sent / 4,
                 "after %d crashes, with nothing disrupted, %d of %d sound "
                 "uploads and %d of %d other requests were served",
                 crashes, docs_served, docs_sent, books_served, books_sent);
}
