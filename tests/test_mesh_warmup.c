#include "tests/mesh_fixture.h"

/* A node whose server is cold: requests above its rate are refused or sent
   elsewhere, over all ways to the server.  */

#define SLOTS 12u
#define RUN_USEC (40 * MSEC) /* run time of each request */
#define SECOND (1000 * MSEC)
#define STARTS_MAX 8192u /* starts and requests that a test records */
#define PER_SECOND 17u   /* rate of the cold server */

/* A node under load, and what its server gets.  */
struct warmup_test
{
  struct fixture *fixture;   /* the node */
  struct handle runs[SLOTS]; /* exchanges that run */
  gint64 ends_at[SLOTS];     /* when they end */
  guint run_count;           /* used entries of `runs' */
  gint64 starts[STARTS_MAX]; /* when requests started */
  guint start_count;         /* used entries of `starts' */
  guint refused_count;       /* requests that were refused */
  guint without_advice;      /* of these, without a time to return */
};

/* Carry out the actions of the last step of the node.  */
static void
do_actions (struct warmup_test *test)
{
  guint i;

  for (i = 0; i < test->fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&test->fixture->actions, i);
      if (action->kind == ACTION_RUN)
        {
          g_assert (test->run_count < SLOTS && test->start_count < STARTS_MAX);
          test->starts[test->start_count++] = test->fixture->now;
          test->ends_at[test->run_count] = test->fixture->now + RUN_USEC;
          test->runs[test->run_count++] = action->u.run.exchange;
        }
      else if (action->kind == ACTION_ANSWER)
        {
          test->refused_count++;
          test->without_advice += action->u.answer.retry_after_msec == 0;
        }
    }
}

/* Let a request arrive, from another node if FORWARDED, else from a caller. */
static void
send_one (struct warmup_test *test, gboolean forwarded)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;

  event.u.request.exchange = handle_make (++test->fixture->last_exchange, 1);
  event.u.request.host = "h";
  event.u.request.target = "/own/x";
  request->forwarded = forwarded;
  request->priority = PRIORITY_NORMAL;
  request->deadline = test->fixture->now + SECOND;
  if (forwarded)
    g_strlcpy (request->service, OWN_SERVICE, sizeof request->service);
  feed_event (test->fixture, &event);
  do_actions (test);
}

/* End the requests whose run is over.  */
static void
end_runs (struct warmup_test *test)
{
  guint i = 0;

  while (i < test->run_count)
    if (test->ends_at[i] > test->fixture->now)
      i++;
    else
      {
        struct handle exchange = test->runs[i];
        test->run_count--;
        test->runs[i] = test->runs[test->run_count];
        test->ends_at[i] = test->ends_at[test->run_count];
        end_with_status (test->fixture, exchange, 200);
        do_actions (test);
      }
}

/* Send a heartbeat by which the server is cold for WARMUP_USEC more.  */
static void
send_warmup (struct warmup_test *test, guint64 number, gint64 warmup_usec)
{
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);

  g_strlcpy (heartbeat->instance.id, "sa", sizeof heartbeat->instance.id);
  g_strlcpy (heartbeat->service, OWN_SERVICE, sizeof heartbeat->service);
  heartbeat->instance.started_at_msec = 5;
  heartbeat->sequence = number;
  heartbeat->slots = SLOTS;
  heartbeat->warmup_usec = warmup_usec;
  event.u.heartbeat.heartbeat = heartbeat;
  feed_event (test->fixture, &event);
  do_actions (test);
  g_free (heartbeat);
}

/* Let a request arrive each 5 ms for USEC, from callers and nodes by turns. */
static void
run_load (struct warmup_test *test, gint64 usec)
{
  gint64 end = test->fixture->now + usec;
  guint step = 0;

  for (; test->fixture->now < end; step++)
    {
      end_runs (test);
      if (step % 5 == 0)
        send_one (test, step % 10 == 0);
      if (step % 25 == 0)
        {
          advance (test->fixture, MSEC);
          do_actions (test);
        }
      else
        test->fixture->now += MSEC;
    }
}

/* Return the most requests that started in any second from SINCE on.  */
static guint
most_starts (const struct warmup_test *test, gint64 since)
{
  guint most = 0;
  guint i;
  guint j;

  for (i = 0; i < test->start_count; i++)
    {
      for (j = i; j < test->start_count
                  && test->starts[j] < test->starts[i] + SECOND;)
        j++;
      if (test->starts[i] >= since)
        most = MAX (most, j - i);
    }
  return most;
}

/* Set up a node whose service has a rate for cold servers.  */
static void
setup (struct warmup_test *test)
{
  struct route_service service = { .name = OWN_SERVICE,
                                   .warmup_usec = 3 * SECOND,
                                   .warmup_milli_per_s = PER_SECOND * 1000 };

  memset (test, 0, sizeof *test);
  test->fixture = fixture_new ();
  g_array_append_val (test->fixture->mesh.routing->services, service);
}

/* Guards against a cold server that gets more than its rate, from callers of
   this node and from other nodes together, and against refusals that do not
   say when to return.  Once it is warm it gets its load again.  */
static void
test_rate (void)
{
  struct warmup_test *test = g_new0 (struct warmup_test, 1);
  gint64 start;
  gint64 warm_at;

  setup (test);
  start = test->fixture->now;
  send_warmup (test, 2, 3 * SECOND);
  run_load (test, 2900 * MSEC);
  CU_ASSERT_TRUE (most_starts (test, start) <= PER_SECOND);
  CU_ASSERT_TRUE (test->start_count >= PER_SECOND);
  CU_ASSERT_TRUE (test->refused_count > 0);
  CU_ASSERT_EQUAL (test->without_advice, 0);
  send_warmup (test, 3, 0);
  warm_at = test->fixture->now;
  run_load (test, 2 * SECOND);
  CU_ASSERT_TRUE (most_starts (test, warm_at) > 3 * PER_SECOND);
  fixture_free (test->fixture);
  g_free (test);
}

/* Other nodes are told that the server is cold, and how many slots its rate
   keeps busy, so that they place requests and keys elsewhere.  */
static void
test_report (void)
{
  struct warmup_test *test = g_new0 (struct warmup_test, 1);
  struct load_report load;

  setup (test);
  send_warmup (test, 2, 3 * SECOND);
  load = mesh_load_report (&test->fixture->mesh, test->fixture->now);
  CU_ASSERT_TRUE (load.slots >= 1 && load.slots <= 2);
  CU_ASSERT_EQUAL (load.warmup_msec, 3000);
  send_warmup (test, 3, 0);
  load = mesh_load_report (&test->fixture->mesh, test->fixture->now);
  CU_ASSERT_EQUAL (load.slots, SLOTS);
  CU_ASSERT_EQUAL (load.warmup_msec, 0);
  fixture_free (test->fixture);
  g_free (test);
}

/* A service without a rate for cold servers is served as before.  */
static void
test_no_rate (void)
{
  struct warmup_test *test = g_new0 (struct warmup_test, 1);

  setup (test);
  g_array_set_size (test->fixture->mesh.routing->services, 0);
  send_warmup (test, 2, 3 * SECOND);
  run_load (test, 2 * SECOND);
  CU_ASSERT_TRUE (most_starts (test, START) > 3 * PER_SECOND);
  fixture_free (test->fixture);
  g_free (test);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "rate of a cold server", test_rate },
                                 { "report to other nodes", test_report },
                                 { "no rate", test_no_rate },
                                 CU_TEST_INFO_NULL };

  return suite_run ("mesh_warmup", tests);
}
