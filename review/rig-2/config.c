#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A new configuration moves a route to another service and adds a route whose
   host name is long, as DNS allows (rule CONFIG).  */

#define HOST "jepu9.example"
#define LONG_HOST                                                             \
  "instalments-upload.plan-records.production.caerdydd.cynlluniau-angladd."   \
  "example"
#define SHORT_HOST "instalments-upload.example"
#define APPLY_MS 2000
#define NODES 4

static const char *const services[NODES]
    = { "hupu36c", "hupu36c", "wuno96b", "wuno96b" };

/* Write version N to TO: the route r-books goes to SERVICE, and the host of
   the second route, if ADDED is set, is ADDED.  */
static void
write_config (char *to, size_t size, int n, const char *service,
              const char *added)
{
  char row[512] = "";

  if (added != NULL)
    snprintf (row, sizeof row,
              ",[\"r-added\",\"%s\",\"/vogo791/\",\"idempotent\",1000,500,1,"
              "null,2,\"wuno96b\"]",
              added);
  snprintf (to, size,
            "{\"version\":\"r%d\",\"routes\":{\"columns\":[\"name\",\"host\","
            "\"path-prefix\",\"route-type\",\"timeout-ms\","
            "\"target-latency-ms\",\"priority\",\"weighted-services\","
            "\"max-attempts\",\"service\"],\"rows\":[[\"r-books\",\"" HOST
            "\",\"/xapu221/\",\"non_idempotent\",1200,600,1,null,2,\"%s\"]%s]"
            "},\"services\":{\"columns\":[\"name\",\"health-path\","
            "\"max-conns\",\"protocol\",\"tls\",\"sharded\",\"warmup-s\","
            "\"grants\"],\"rows\":[[\"hupu36c\",\"/health\",110,\"h1\",false,"
            "null,null,null],[\"wuno96b\",\"/health\",110,\"h1\",false,null,"
            "null,null]]},\"limits\":{\"max-header-bytes\":16384,"
            "\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
            "\"idle-timeout-ms\":15000}}",
            n, service, row);
}

static volatile long long acked_at; /* of the second version, 0: not yet */
static volatile int sent, served, old_runs, added_sent, added_served;

/* The id of a request names how long after the acknowledgement it was
   sent.  */
static int
run (struct server *server, const struct msg *request)
{
  char id[TEXT];
  long after = 0;
  bool old;

  msg_field (request, "Request-Id", id, sizeof id);
  sscanf (id + 10, "%8lx", &after);
  old = strncmp (request->target, "/xapu221/", 9) == 0 && after > APPLY_MS
        && strcmp (server->service, "hupu36c") == 0;
  __sync_fetch_and_add (&old_runs, old);
  record ("server %d: %s (%s) runs %s %s, sent %ld ms after the "
          "acknowledgement%s",
          server->index, server->id, server->service, id, request->target,
          after, old ? " OLD" : "");
  return 10 + rand () % 30;
}

static const char *added_host;

static void *
client (void *data)
{
  unsigned n = 0;
  int from = (int)(intptr_t)data;

  while (!rig.stop)
    {
      char id[64];
      long long at = acked_at;
      long after = at != 0 ? (long)(now_ms () - at) : 0;
      bool added = after > APPLY_MS && n % 2 == 0;
      int status;
      snprintf (id, sizeof id, "a%d%08x%08lx", from, n++, after);
      status = client_send (rig.nodes[from].callers, added ? "GET" : "POST",
                            added ? added_host : HOST,
                            added ? "/vogo791/bo8" : "/xapu221/ny95", id, -1,
                            "post", added ? 0 : 4, 2000, NULL, 0);
      if (added)
        {
          __sync_fetch_and_add (&added_sent, 1);
          __sync_fetch_and_add (&added_served, status == 200);
        }
      else
        {
          __sync_fetch_and_add (&sent, 1);
          __sync_fetch_and_add (&served, status == 200);
        }
      record ("client: %s at node %d, %s route, %ld ms after the "
              "acknowledgement: %d",
              id, from, added ? "added" : "moved", after, status);
      sleep_ms (80);
    }
  return NULL;
}

int
main (void)
{
  static const bool sharded[NODES];
  char config[4096];
  int i;

  on_run = run;
  write_config (config, sizeof config, 7, "hupu36c", NULL);
  rig_start (NODES, services, sharded, config);
  added_host = rig.trouble ? LONG_HOST : SHORT_HOST;
  if (!rig_wait_ready (20000))
    return finish (2, "the nodes did not get ready");
  sleep_ms (3000);
  for (i = 0; i < NODES; i++)
    {
      pthread_t t;
      pthread_create (&t, NULL, client, (void *)(intptr_t)i);
    }
  sleep_ms (5000);
  write_config (config, sizeof config, 9, "wuno96b", added_host);
  rig_put_config (config);
  acked_at = now_ms ();
  record ("operator: r9 moves r-books to wuno96b and adds a route of %s",
          added_host);
  sleep_ms (20000);
  rig.stop = true;
  sleep_ms (300);
  if (served == 0)
    return finish (2, "nothing was served");
  return finish (old_runs > 0,
                 "%d requests sent over %d ms after the acknowledgement were "
                 "run by the old service; of the added route %d of %d were "
                 "served",
                 old_runs, APPLY_MS, added_served, added_sent);
}
