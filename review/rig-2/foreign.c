#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A heartbeat of another writer, which lacks fields and names another service,
   arrives at one node (rule UNASKED: the Caller-Service of what begins
   there).  */

#define HOST "jepu9.example"
#define DESK "huvo11a"
#define BOOKS "wuno96b"
#define NODES 6

static const char config[]
    = "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"path-prefix\",\"route-type\",\"timeout-ms\",\"target-latency-ms\","
      "\"priority\",\"weighted-services\",\"max-attempts\",\"service\"],"
      "\"rows\":[[\"r-desk\",\"" HOST "\",\"/lepu270/\",\"idempotent\",1000,"
      "500,2,null,2,\"" DESK "\"],[\"r-books\",\"" HOST "\",\"/xapu221/\","
      "\"non_idempotent\",1200,600,1,null,2,\"" BOOKS "\"]]},\"services\":{"
      "\"columns\":[\"name\",\"health-path\",\"max-conns\",\"protocol\","
      "\"tls\",\"sharded\",\"warmup-s\",\"grants\"],\"rows\":[[\"" DESK
      "\",\"/health\",110,\"h1\",false,true,5.0,\"heartbeat\"],[\"" BOOKS
      "\",\"/health\",110,\"h1\",false,null,null,null]]},\"limits\":{"
      "\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

static const char *const services[NODES]
    = { DESK, DESK, DESK, BOOKS, BOOKS, BOOKS };
static volatile int sent, served, wrong;

/* The id of a request names the node at which it began.  */
static int
run (struct server *server, const struct msg *request)
{
  char id[TEXT], caller[TEXT];
  int from = 0;
  bool is_wrong;

  msg_field (request, "Request-Id", id, sizeof id);
  msg_field (request, "Caller-Service", caller, sizeof caller);
  sscanf (id, "a%1d", &from);
  is_wrong = strcmp (caller, services[from]) != 0;
  __sync_fetch_and_add (&wrong, is_wrong);
  record ("server %d: %s runs %s, which began at node %d (%s), "
          "Caller-Service: %s%s",
          server->index, server->id, id, from, services[from], caller,
          is_wrong ? " WRONG" : "");
  return 10 + rand () % 40;
}

static void *
client (void *data)
{
  unsigned n = 0;
  int from = (int)(intptr_t)data;

  while (!rig.stop)
    {
      char id[64], path[64];
      bool desk = n % 2 == 0;
      int key = rand () % 65536;
      int status;
      snprintf (id, sizeof id, "a%d%014x", from, n++);
      snprintf (path, sizeof path, "%s%x", desk ? "/lepu270/" : "/xapu221/",
                key);
      status = client_send (rig.nodes[from].callers, desk ? "GET" : "POST",
                            HOST, path, id, desk ? key : -1, "post",
                            desk ? 0 : 4, 2000, NULL, 0);
      __sync_fetch_and_add (&sent, 1);
      __sync_fetch_and_add (&served, status == 200);
      record ("client: %s %s%s at node %d: %d", id, path,
              desk ? " (with its key)" : "", from, status);
      sleep_ms (100);
    }
  return NULL;
}

int
main (void)
{
  static const bool sharded[NODES] = { true, true, true };
  char json[1024];
  int i, k;
  int before, after, served_before;
  const struct server *v = &rig.servers[0];

  on_run = run;
  rig_start (NODES, services, sharded, config);
  if (!rig_wait_ready (20000))
    return finish (2, "the nodes did not get ready");
  for (i = 0; i < 200; i++)
    {
      bool all = true;
      for (k = 0; k < KEYS; k += 1024)
        all = all
              && (server_holds (&rig.servers[0], k)
                  || server_holds (&rig.servers[1], k)
                  || server_holds (&rig.servers[2], k));
      if (all)
        break;
      sleep_ms (100);
    }
  if (i == 200)
    return finish (2, "the keys were not granted");
  record ("all keys are held");
  for (i = 0; i < NODES; i++)
    {
      pthread_t t;
      pthread_create (&t, NULL, client, (void *)(intptr_t)i);
    }
  sleep_ms (8000);
  before = sent;
  served_before = served;
  if (rig.trouble)
    {
      snprintf (json, sizeof json,
                "{\"address\":\"%s:%d\",\"born\":%lld,\"info\":{"
                "\"service\":\"" BOOKS "\",\"slots\":18},\"status\":{"
                "\"state\":\"ready\",\"seq\":1}}",
                rig.ip, v->port, unix_ms ());
      record ("another writer: PUT /api/instances/i-7f3a91c2 %s", json);
      record ("another writer: node 0 answers %d",
              call_json (rig.nodes[0].control, "PUT",
                         "/api/instances/i-7f3a91c2", json, NULL, 0, 1000));
    }
  sleep_ms (20000);
  after = sent - before;
  rig.stop = true;
  sleep_ms (300);
  if (served == 0)
    return finish (2, "nothing was served");
  return finish (wrong > 0,
                 "%d requests ran with a Caller-Service that is not the "
                 "service of the machine where they began; served: %d of %d "
                 "before, %d of %d after",
                 wrong, served_before, before, served - served_before, after);
}
