/* A heartbeat of another writer names a service that does not exist.  The node
   takes it for its own, and backends are told that requests come from it.  */

#include "rig.h"

#include <string.h>

#define FOREIGN_BEATS 5
#define FOREIGN_GAP_MS 1700
#define ROUTE                                                                 \
  "[\"r-read\",\"desk.example\",\"/desk/\",\"idempotent\",2000,500,2,null,2,"  \
  "\"desk\"]"
#define SERVICES                                                              \
  "[\"desk\",\"/health\",110,\"h1\",false,null,null,null],"                    \
  "[\"ledger\",\"/health\",110,\"h1\",false,null,null,null]"

static struct node hosts[2];
static struct backend backends[2];
static int wrong;
static int runs;

static void
on_run (const struct backend_request *request)
{
  __atomic_add_fetch (&runs, 1, __ATOMIC_SEQ_CST);
  if (strcmp (request->caller, "ledger") == 0)
    return;
  rig_record ("WRONG %s: Caller-Service is %s, it began on a machine of ledger",
              request->id, request->caller);
  __atomic_add_fetch (&wrong, 1, __ATOMIC_SEQ_CST);
}

/* Sends a heartbeat in which the service is none of the configuration's.  */
static void
foreign_heartbeat (const struct backend *backend)
{
  struct backend other = *backend;
  int status;

  snprintf (other.service, sizeof other.service, "nobody");
  status = backend_heartbeat (&other);
  rig_record ("heartbeat of another writer, service nobody, at host-2: %d",
              status);
}

int
main (int argc, char **argv)
{
  int store_port;
  int64_t until;
  int i;

  rig_init (argc, argv);
  store_port = rig_free_port ();
  store_start (store_port);
  operator_put (1, ROUTE, SERVICES);
  node_init (&hosts[0], "host-1", "desk", store_port);
  node_init (&hosts[1], "host-2", "ledger", store_port);
  backend_init (&backends[0], "i-a", "desk", &hosts[0], 6, 20);
  backend_init (&backends[1], "i-b", "ledger", &hosts[1], 6, 20);
  backends[0].on_run = on_run;
  for (i = 0; i < 2; i++)
    {
      node_start (&hosts[i]);
      backend_start (&backends[i]);
    }
  for (i = 0; i < 2; i++)
    node_wait_ready (&hosts[i], 10000);
  rig_sleep (4000);
  for (i = 0; i < FOREIGN_BEATS; i++)
    {
      if (rig_trouble)
        foreign_heartbeat (&backends[1]);
      until = rig_ms () + FOREIGN_GAP_MS;
      while (rig_ms () < until)
        {
          struct client_request request;
          client_request_init (&request, hosts[1].callers, "GET",
                               "/desk/menu");
          client_send (&request);
          rig_sleep (30);
        }
    }
  if (runs == 0)
    rig_fail ("no request was run");
  rig_record ("runs %d, with a wrong Caller-Service %d", runs, wrong);
  printf ("runs %d, with a wrong Caller-Service: %d\n", runs, wrong);
  rig_end (wrong > 0 ? 1 : 0);
}
