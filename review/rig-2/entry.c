#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/* An entry of another writer, without a value, is appended to the list that
   the system keeps in the store.  */

#define HOST "jepu9.example"
#define NODES 9
#define ENTRIES 12
#define GAP_MS 4000

static const char config[]
    = "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"path-prefix\",\"route-type\",\"timeout-ms\",\"target-latency-ms\","
      "\"priority\",\"weighted-services\",\"max-attempts\",\"service\"],"
      "\"rows\":[[\"r-books\",\"" HOST "\",\"/xapu221/\",\"non_idempotent\","
      "1200,600,1,null,2,\"wuno96b\"]]},\"services\":{\"columns\":[\"name\","
      "\"health-path\",\"max-conns\",\"protocol\",\"tls\",\"sharded\","
      "\"warmup-s\",\"grants\"],\"rows\":[[\"wuno96b\",\"/health\",110,\"h1\","
      "false,null,null,null]]},\"limits\":{\"max-header-bytes\":16384,"
      "\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
      "\"idle-timeout-ms\":15000}}";

static volatile int sent, served, lost;
static int ends[NODES];

static int
run (struct server *server, const struct msg *request)
{
  char id[TEXT];

  msg_field (request, "Request-Id", id, sizeof id);
  record ("server %d: %s runs %s", server->index, server->id, id);
  return 100 + rand () % 200;
}

static void *
client (void *data)
{
  unsigned n = 0;
  int self = (int)(intptr_t)data;

  while (!rig.stop)
    {
      char id[64];
      int from = (int)(n + (unsigned)self) % NODES;
      int status;
      snprintf (id, sizeof id, "a%02d%013x", self, n++);
      status = client_send (rig.nodes[from].callers, "POST", HOST,
                            "/xapu221/ny95", id, -1, "post", 4, 2000, NULL, 0);
      __sync_fetch_and_add (&sent, 1);
      __sync_fetch_and_add (&served, status == 200);
      __sync_fetch_and_add (&lost, status == 0);
      record ("client: %s at node %d: %d", id, from, status);
      sleep_ms (50);
    }
  return NULL;
}

/* Note processes that have ended, and start them again after 0.5 s.  */
static void
watch (int ms)
{
  long long until = now_ms () + ms;
  static long long start_at[NODES];
  int i;

  while (now_ms () < until)
    {
      for (i = 0; i < NODES; i++)
        {
          struct node *node = &rig.nodes[i];
          int status;
          if (node->pid > 0 && waitpid (node->pid, &status, WNOHANG) > 0)
            {
              node->pid = 0;
              start_at[i] = now_ms () + 500;
              ends[i]++;
              if (WIFSIGNALED (status))
                record ("node %d: has ended by signal %d", i,
                        WTERMSIG (status));
              else
                record ("node %d: has ended with %d", i, WEXITSTATUS (status));
            }
          if (node->pid == 0 && now_ms () >= start_at[i])
            rig_start_node (node);
        }
      sleep_ms (10);
    }
}

int
main (void)
{
  static const char *const services[NODES]
      = { "wuno96b", "wuno96b", "wuno96b", "wuno96b", "wuno96b",
          "wuno96b", "wuno96b", "wuno96b", "wuno96b" };
  static const bool sharded[NODES];
  int i;
  int total = 0, often = 0;

  on_run = run;
  rig_start (NODES, services, sharded, config);
  if (!rig_wait_ready (20000))
    return finish (2, "the nodes did not get ready");
  watch (3000);
  for (i = 0; i < 12; i++)
    {
      pthread_t t;
      pthread_create (&t, NULL, client, (void *)(intptr_t)i);
    }
  watch (5000);
  for (i = 0; i < ENTRIES; i++)
    {
      if (rig.trouble)
        {
          record ("another writer: an entry with the key i-7f3a91c2 and no "
                  "value");
          rig_put ("keyed.fleet", "i-7f3a91c2", "", 0);
        }
      watch (GAP_MS);
    }
  rig.stop = true;
  sleep_ms (300);
  for (i = 0; i < NODES; i++)
    {
      total += ends[i];
      often += ends[i] >= 3;
    }
  if (served == 0)
    return finish (2, "nothing was served");
  return finish (often >= 2,
                 "processes have ended by themselves %d times, on %d machines "
                 "three times or more; %d of %d requests were served, %d got "
                 "no answer",
                 total, often, served, sent, lost);
}
