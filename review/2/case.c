/* A backend sheds part of its requests.  The node at which slow uploads enter
   ends by itself, and with it the requests at sound backends.  */

#include "rig.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define SHED_PERCENT 45 /* the site's srv_grey, x */
#define SHED_MS 6500    /* the site's srv_grey, for_s */
#define SLOTS 6 /* as on darmo-mesh */
#define UPLOADERS 12
#define WINDOWS 5 /* times that the backend sheds */
#define PAUSE_MS 4000
#define POSTERS 10
#define RUNS_MAX 65536
#define ROUTES                                                                \
  "[\"r-up\",\"desk.example\",\"/photos/\",\"upload\",null,600,1,null,2,"      \
  "\"records\"],"                                                             \
  "[\"r-post\",\"desk.example\",\"/pay/\",\"non_idempotent\",1200,600,1,null," \
  "2,\"ledger\"]"
#define SERVICES                                                              \
  "[\"records\",\"/health\",110,\"h1\",false,null,null,null],"                 \
  "[\"ledger\",\"/health\",110,\"h1\",false,null,null,null]"

static struct node hosts[3];
static struct backend backends[3];
static bool ran[RUNS_MAX]; /* at a sound backend, by the id's number */
static volatile bool stops;
static volatile bool judged;
static int lost;
static int served;
static int sent;

static void
on_run (const struct backend_request *request)
{
  unsigned number = 0;

  if (request->backend != &backends[1] /* the one that is not sound */
      && sscanf (request->id, "q%u", &number) == 1 && number < RUNS_MAX)
    ran[number] = true;
}

static void
judge (const struct client_request *request, const struct answer *answer)
{
  unsigned number = 0;

  __atomic_add_fetch (&sent, 1, __ATOMIC_SEQ_CST);
  if (answer->status == 200)
    __atomic_add_fetch (&served, 1, __ATOMIC_SEQ_CST);
  if (answer->status != 0 || !answer->reused)
    return;
  sscanf (request->id, "q%u", &number);
  if (number >= RUNS_MAX || !ran[number])
    return;
  rig_record ("LOST %s ran, and its kept connection ended without an answer",
              request->id);
  __atomic_add_fetch (&lost, 1, __ATOMIC_SEQ_CST);
}

static void *
run_uploader (void *data)
{
  int kept = -1;
  int index = (int)(intptr_t)data;

  rig_sleep (index * 23);
  while (!stops)
    {
      struct client_request request;
      struct answer answer;
      client_request_init (&request, hosts[0].callers, "POST", "/photos/cart");
      request.kept = &kept;
      request.body_first = 30000;
      request.body_part = 20000;
      request.body_gap_ms = 30;
      request.body_bytes = 150000;
      answer = client_send (&request);
      judge (&request, &answer);
      rig_sleep (answer.status == 200 ? 100 : 300);
    }
  return NULL;
}

static void *
run_poster (void *data)
{
  int kept = -1;
  int index = (int)(intptr_t)data;

  rig_sleep (index * 31);
  while (!stops)
    {
      struct client_request request;
      struct answer answer;
      client_request_init (&request, hosts[0].callers, "POST", "/pay/sale");
      request.kept = &kept;
      request.body_bytes = 400;
      answer = client_send (&request);
      judge (&request, &answer);
      rig_sleep (answer.status == 200 ? 50 : 300);
    }
  return NULL;
}

/* Waits for DURATION_MS or until a node ends by itself.  Returns how many
   nodes have.  */
static int
watch (int64_t duration_ms)
{
  int64_t until = rig_ms () + duration_ms;
  int ended = 0;
  int status;
  int i;

  while (rig_ms () < until && ended == 0)
    {
      for (i = 0; i < 3; i++)
        if (node_has_ended (&hosts[i], &status))
          {
            rig_record ("ENDED node %s by itself, signal %d", hosts[i].name,
                        WIFSIGNALED (status) ? WTERMSIG (status) : 0);
            ended++;
          }
      rig_sleep (10);
    }
  return ended;
}

int
main (int argc, char **argv)
{
  static const char *const services[] = { "records", "records", "ledger" };
  static const char *const names[] = { "host-1", "host-2", "host-3" };
  static const char *const ids[] = { "i-a", "i-b", "i-c" };
  int store_port;
  int ended = 0;
  int window;
  int i;

  rig_init (argc, argv);
  store_port = rig_free_port ();
  store_start (store_port);
  operator_put (1, ROUTES, SERVICES);
  for (i = 0; i < 3; i++)
    {
      node_init (&hosts[i], names[i], services[i], store_port);
      node_start (&hosts[i]);
      backend_init (&backends[i], ids[i], services[i], &hosts[i], SLOTS, 190);
      backends[i].on_run = on_run;
      backend_start (&backends[i]);
    }
  for (i = 0; i < 3; i++)
    node_wait_ready (&hosts[i], 10000);
  rig_sleep (3000);
  for (i = 0; i < UPLOADERS; i++)
    rig_thread (run_uploader, (void *)(intptr_t)i);
  for (i = 0; i < POSTERS; i++)
    rig_thread (run_poster, (void *)(intptr_t)i);
  rig_sleep (4000);
  if (served < 50)
    rig_fail ("the calm deployment does not serve");
  for (window = 0; window < WINDOWS && ended == 0; window++)
    {
      if (rig_trouble)
        {
          backends[1].shed_after_ms = 40;
          backends[1].shed_percent = SHED_PERCENT;
          rig_record ("backend i-b sheds %d of 100", SHED_PERCENT);
        }
      ended += watch (SHED_MS);
      backends[1].shed_percent = 0;
      if (ended == 0)
        ended += watch (PAUSE_MS);
    }
  stops = true;
  rig_sleep (3000);
  rig_record ("sent %d, served %d, ended nodes %d, lost %d", sent, served,
              ended, lost);
  printf ("nodes that ended by themselves: %d, requests lost: %d\n", ended,
          lost);
  rig_end (lost > 3 ? 1 : 0);
}
