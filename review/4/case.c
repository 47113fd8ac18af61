/* A node that starts while the store is down answers the deregistration of its
   backend with 200, and later sends requests to that backend.  */

#include "rig.h"

#include <signal.h>
#include <string.h>

#define OUTAGE_MS 4500 /* the site's platform_down */
#define STAY_MS 15000  /* the site's scale_in that stays */
#define ROUTE                                                                 \
  "[\"r-read\",\"desk.example\",\"/desk/\",\"idempotent\",2000,500,2,null,2,"  \
  "\"desk\"]"
#define SERVICE "[\"desk\",\"/health\",110,\"h1\",false,null,null,null]"

static struct node a;
static struct node b;
static struct backend backend_a;
static struct backend backend_b;
static int64_t acknowledged_at;
static int64_t in_touch_at;
static int late_runs;
static int runs_in_time;
static int served;

static void
on_run (const struct backend_request *request)
{
  int64_t now = rig_ms ();

  if (acknowledged_at == 0)
    return;
  if (now <= acknowledged_at + DRAIN_MS)
    {
      runs_in_time++;
      return;
    }
  rig_record ("LATE %s reaches %s %lld ms after the acknowledgement%s",
              request->id, request->backend->id,
              (long long)(now - acknowledged_at),
              now > in_touch_at ? ", machines in touch" : "");
  if (now > in_touch_at)
    late_runs++;
}

static void
send_read (const struct node *node)
{
  struct client_request request;

  client_request_init (&request, node->callers, "GET", "/desk/menu");
  if (client_send (&request).status == 200)
    served++;
}

static void
traffic_until (int64_t until)
{
  while (rig_ms () < until)
    {
      send_read (&a);
      send_read (&b);
      rig_sleep (40);
    }
}

int
main (int argc, char **argv)
{
  int store_port;
  int64_t outage_at;
  int64_t ends_at;
  int status = 0;

  rig_init (argc, argv);
  store_port = rig_free_port ();
  store_start (store_port);
  operator_put (1, ROUTE, SERVICE);
  node_init (&a, "host-1", "desk", store_port);
  node_init (&b, "host-2", "desk", store_port);
  node_start (&a);
  node_start (&b);
  backend_init (&backend_a, "i-a", "desk", &a, 6, 20);
  backend_init (&backend_b, "i-b", "desk", &b, 6, 20);
  backend_a.on_run = on_run;
  backend_start (&backend_a);
  backend_start (&backend_b);
  node_wait_ready (&a, 10000);
  node_wait_ready (&b, 10000);
  rig_sleep (3000);
  traffic_until (rig_ms () + 2000);
  if (served < 20)
    rig_fail ("the calm deployment does not serve");

  /* The platform restarts the node alone, with SIGTERM.  The store goes down
     while the node is away.  */
  node_kill (&a, SIGTERM);
  while (!node_has_ended (&a, &status))
    rig_sleep (20);
  rig_record ("node host-1 has ended, wait status %d", status);
  status = 0;
  outage_at = rig_ms ();
  if (rig_trouble)
    store_set_mode (STORE_BUSY);
  rig_sleep (200);
  node_start (&a);
  backend_a.beats = false;
  /* The backend leaves; its call is repeated until a node takes it.  */
  while (status == 0 && rig_ms () < outage_at + 3000)
    {
      rig_sleep (100);
      status = backend_deregister (&backend_a);
    }
  rig_record ("backend i-a deregisters at host-1: %d", status);
  if (status != 200)
    rig_fail ("no acknowledgement");
  acknowledged_at = rig_ms ();
  in_touch_at = outage_at + OUTAGE_MS + CONTACT_MS;
  ends_at = acknowledged_at + STAY_MS;
  rig_sleep_until (outage_at + OUTAGE_MS);
  if (rig_trouble)
    store_set_mode (STORE_SERVES);
  served = 0;
  traffic_until (ends_at);
  rig_record ("served after the outage: %d, late runs: %d, runs in time: %d",
              served, late_runs, runs_in_time);
  printf ("requests that reached the backend late: %d\n", late_runs);
  rig_end (late_runs > 0 ? 1 : 0);
}
