/* A node that stops ends its process in the same turn of its loop in which it
   reads one more request and passes it on.  The request gets no answer.  */

#include "rig.h"

#include <signal.h>
#include <string.h>

#define ENTRIES 6
#define PLAY_MS 90000
#define STOP_GAP_MS 1000 /* between two stops: the site's roll_term, gap_s */
#define GRACE_MS 6000
/* Requests sent so long after a SIGTERM are recorded one by one.  */
#define RECORD_FROM_MS 2590
#define RECORD_TO_MS 2800
#define RUNS_MAX 4194304
#define ROUTE                                                                 \
  "[\"r-post\",\"desk.example\",\"/pay/\",\"non_idempotent\",1200,600,1,null," \
  "2,\"records\"]"
#define SERVICES                                                              \
  "[\"records\",\"/health\",110,\"h1\",false,null,null,null],"                 \
  "[\"ledger\",\"/health\",110,\"h1\",false,null,null,null]"

static struct node hosts[ENTRIES + 1];
static struct backend backends[ENTRIES + 1];
static bool ran[RUNS_MAX];   /* by the number in the request's id */
static bool shown[RUNS_MAX]; /* its lines are recorded */
static int64_t stopped_at[ENTRIES + 1];
static pthread_mutex_t stop_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t next_stop_at;
static volatile bool stops;
static int stop_count;
static int lost;
static int served;
static int done;

static unsigned
number_of (const char *id)
{
  unsigned number = 0;

  sscanf (id, "q%u", &number);
  return number % RUNS_MAX;
}

static void
on_run (const struct backend_request *request)
{
  unsigned number = number_of (request->id);

  ran[number] = true;
  if (shown[number])
    rig_record ("backend %s runs %s", request->backend->id, request->id);
}

/* Sends one request after the other on a kept connection.  */
static void *
run_client (void *data)
{
  int index = (int)(intptr_t)data;
  int kept = -1;

  while (!stops)
    {
      struct client_request request;
      struct answer answer;
      int64_t since;
      client_request_init (&request, hosts[index].callers, "POST", "/pay/x");
      request.kept = &kept;
      request.body_bytes = 300;
      since = rig_ms () - stopped_at[index];
      request.quiet = since < RECORD_FROM_MS || since > RECORD_TO_MS;
      shown[number_of (request.id)] = !request.quiet;
      answer = client_send (&request);
      if (answer.status == 200)
        __atomic_add_fetch (&served, 1, __ATOMIC_SEQ_CST);
      else if (answer.status == 0 && ran[number_of (request.id)])
        {
          rig_record ("LOST %s: passed on and run, no answer, %lld ms after"
                      " the SIGTERM of %s",
                      request.id,
                      (long long)(rig_ms () - stopped_at[index]),
                      hosts[index].name);
          __atomic_add_fetch (&lost, 1, __ATOMIC_SEQ_CST);
        }
      if (answer.status != 200)
        rig_sleep (answer.status == 503 ? 250 : 20);
    }
  return NULL;
}

/* Waits until the next node may be stopped, STOP_GAP_MS after the last.  */
static void
wait_for_turn (void)
{
  pthread_mutex_lock (&stop_lock);
  rig_sleep_until (next_stop_at);
  next_stop_at = rig_ms () + STOP_GAP_MS;
  pthread_mutex_unlock (&stop_lock);
}

/* Stops and starts a node again and again, as the platform does.  */
static void *
run_stops (void *data)
{
  int index = (int)(intptr_t)data;
  struct node *node = &hosts[index];

  rig_sleep (index * 500);
  while (!stops)
    {
      int status;
      rig_sleep (2000);
      wait_for_turn ();
      stopped_at[index] = rig_ms ();
      node_kill (node, rig_trouble ? SIGTERM : 0);
      while (rig_trouble && !node_has_ended (node, &status))
        {
          if (rig_ms () > stopped_at[index] + GRACE_MS)
            node_kill (node, SIGKILL);
          rig_sleep (5);
        }
      __atomic_add_fetch (&stop_count, 1, __ATOMIC_SEQ_CST);
      if (rig_trouble)
        node_start (node);
    }
  __atomic_add_fetch (&done, 1, __ATOMIC_SEQ_CST);
  return NULL;
}

int
main (int argc, char **argv)
{
  int store_port;
  int i;

  rig_init (argc, argv);
  store_port = rig_free_port ();
  store_start (store_port);
  operator_put (1, ROUTE, SERVICES);
  for (i = 0; i <= ENTRIES; i++)
    {
      static char names[ENTRIES + 1][16];
      static char ids[ENTRIES + 1][16];
      const char *service = i == 0 ? "records" : "ledger";
      snprintf (names[i], sizeof names[i], "host-%d", i);
      snprintf (ids[i], sizeof ids[i], "i-%d", i);
      node_init (&hosts[i], names[i], service, store_port);
      node_start (&hosts[i]);
      backend_init (&backends[i], ids[i], service, &hosts[i], 18, 2);
      backends[i].on_run = on_run;
      backends[i].quiet = true;
      backend_start (&backends[i]);
    }
  for (i = 0; i <= ENTRIES; i++)
    node_wait_ready (&hosts[i], 10000);
  rig_sleep (3000);
  for (i = 1; i <= ENTRIES; i++)
    {
      rig_thread (run_client, (void *)(intptr_t)i);
      rig_thread (run_stops, (void *)(intptr_t)i);
    }
  rig_sleep (PLAY_MS);
  stops = true;
  while (done < ENTRIES)
    rig_sleep (20);
  rig_sleep (2500);
  if (served < 1000)
    rig_fail ("too little was served");
  rig_record ("stops %d, served %d, lost %d", stop_count, served, lost);
  printf ("stops %d, requests passed on and left without an answer: %d\n",
          stop_count, lost);
  rig_end (lost > 0 ? 1 : 0);
}
