#include "tests/mesh_fixture.h"

/* A node whose server names a limit on the requests that it takes.  */

#define SLOTS 18u
#define RUN_USEC (150 * MSEC)     /* run time of each request */
#define WINDOW_USEC (4000 * MSEC) /* window of the bound */
#define STARTS_MAX 4096u          /* starts that a test records */
#define MILLI_PER_S 10000u        /* limit that the server names */
#define ALLOWED 65u               /* 1.5 * 10 a second * 4 s + 5 */

/* A request that runs.  */
struct run
{
  struct handle exchange; /* handle of the request's exchange */
  gint64 ends_at;         /* when the server answers */
};

/* A node under load, and what its server sees.  */
struct limit_test
{
  struct fixture *fixture;       /* the node */
  struct server_notice notice;   /* what the server says in its answers */
  struct run runs[SLOTS];        /* requests that run */
  guint run_count;               /* used entries of `runs' */
  gint64 starts[STARTS_MAX];     /* when requests started */
  guint start_count;             /* used entries of `starts' */
  gint64 arrived_at[STARTS_MAX]; /* when requests arrived, by exchange */
  gint64 refusal_max_usec;       /* longest time until a refusal */
  guint refused_count;           /* refused requests */
  guint without_advice;          /* refusals without a time to retry */
};

/* Carry out the actions of the last step of the node.  */
static void
do_actions (struct limit_test *test)
{
  gint64 now = test->fixture->now;
  guint i;

  for (i = 0; i < test->fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&test->fixture->actions, i);
      if (action->kind == ACTION_RUN)
        {
          g_assert (test->run_count < SLOTS && test->start_count < STARTS_MAX);
          test->starts[test->start_count++] = now;
          test->runs[test->run_count].exchange = action->u.run.exchange;
          test->runs[test->run_count++].ends_at = now + RUN_USEC;
        }
      else if (action->kind == ACTION_ANSWER)
        {
          guint number = handle_index (action->u.answer.exchange);
          test->refused_count++;
          test->without_advice += action->u.answer.retry_after_msec == 0;
          test->refusal_max_usec
              = MAX (test->refusal_max_usec, now - test->arrived_at[number]);
        }
    }
}

/* Send a request from another node.  */
static void
send_one (struct limit_test *test)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;
  guint number = ++test->fixture->last_exchange;

  g_assert (number < STARTS_MAX);
  test->arrived_at[number] = test->fixture->now;
  event.u.request.exchange = handle_make (number, 1);
  request->forwarded = TRUE;
  request->priority = PRIORITY_NORMAL;
  request->deadline = test->fixture->now + 1000 * MSEC;
  g_strlcpy (request->service, OWN_SERVICE, sizeof request->service);
  feed_event (test->fixture, &event);
  do_actions (test);
}

/* Answer the requests whose run is over.  */
static void
answer_runs (struct limit_test *test)
{
  guint i = 0;

  while (i < test->run_count)
    {
      struct event event = { .kind = EVENT_ATTEMPT_ENDED };
      if (test->runs[i].ends_at > test->fixture->now)
        {
          i++;
          continue;
        }
      event.u.attempt_ended.exchange = test->runs[i].exchange;
      event.u.attempt_ended.outcome = OUTCOME_DONE;
      event.u.attempt_ended.http_status = 200;
      event.u.attempt_ended.has_notice = TRUE;
      event.u.attempt_ended.notice = test->notice;
      test->runs[i] = test->runs[--test->run_count];
      feed_event (test->fixture, &event);
      do_actions (test);
    }
}

/* Let a request arrive every INTERVAL_USEC for USEC.  */
static void
run_load (struct limit_test *test, gint64 interval_usec, gint64 usec)
{
  gint64 end = test->fixture->now + usec;
  guint64 step = 0;

  for (; test->fixture->now < end; step++)
    {
      answer_runs (test);
      if (step * MSEC % (guint64)interval_usec == 0)
        send_one (test);
      if (step % 25 == 0)
        {
          advance (test->fixture, 1 * MSEC);
          do_actions (test);
        }
      else
        test->fixture->now += 1 * MSEC;
    }
}

/* Return the most requests that started in any window after SINCE.  */
static guint
most_starts (const struct limit_test *test, gint64 since)
{
  guint most = 0;
  guint i;
  guint j;

  for (i = 0; i < test->start_count; i++)
    {
      guint count = 0;
      if (test->starts[i] < since)
        continue;
      for (j = i; j < test->start_count
                  && test->starts[j] < test->starts[i] + WINDOW_USEC;
           j++)
        count++;
      most = MAX (most, count);
    }
  return most;
}

/* Set up a node whose server has SLOTS slots.  */
static struct limit_test *
test_new (void)
{
  struct limit_test *test = g_new0 (struct limit_test, 1);

  test->fixture = fixture_new ();
  admission_set_slots (&test->fixture->mesh.admission, SLOTS, 4 * SLOTS);
  return test;
}

/* Free TEST.  */
static void
test_free (struct limit_test *test)
{
  fixture_free (test->fixture);
  g_free (test);
}

/* A server gets no more than its limit allows from half a second after it has
   named it.  */
static void
test_exceeded (void)
{
  struct limit_test *test = test_new ();
  gint64 named_at;

  run_load (test, 10 * MSEC, 2000 * MSEC);
  test->notice.limit = LIMIT_NOTICE_NAMED;
  test->notice.limit_milli_per_s = MILLI_PER_S;
  named_at = test->fixture->now;
  run_load (test, 10 * MSEC, 12000 * MSEC);
  CU_ASSERT_TRUE (most_starts (test, named_at + 500 * MSEC) <= ALLOWED);
  CU_ASSERT_TRUE (most_starts (test, named_at + 500 * MSEC) >= 36);
  test->notice.limit = LIMIT_NOTICE_NONE;
  run_load (test, 10 * MSEC, 6000 * MSEC);
  CU_ASSERT_TRUE (most_starts (test, test->fixture->now - 4500 * MSEC) >= 390);
  test_free (test);
}

/* What is beyond the limit is refused at once, and told when to return.  */
static void
test_held (void)
{
  struct limit_test *test = test_new ();

  test->notice.limit = LIMIT_NOTICE_NAMED;
  test->notice.limit_milli_per_s = 300;
  run_load (test, 10 * MSEC, 8000 * MSEC);
  CU_ASSERT_TRUE (test->refused_count > 700);
  CU_ASSERT_TRUE (test->refusal_max_usec <= 400 * MSEC);
  CU_ASSERT_EQUAL (test->without_advice, 0);
  test_free (test);
}

/* A node that has just started does not know the limit, and sends little until
   the server has answered.  */
static void
test_unknown (void)
{
  struct limit_test *test = test_new ();

  test->notice.limit = LIMIT_NOTICE_NAMED;
  test->notice.limit_milli_per_s = 3200;
  run_load (test, 10 * MSEC, 4000 * MSEC);
  CU_ASSERT_TRUE (most_starts (test, 0) <= 24);
  test_free (test);
}

/* The load that a node reports shows the limit of its server.  */
static void
test_reported (void)
{
  struct limit_test *test = test_new ();

  run_load (test, 10 * MSEC, 2000 * MSEC);
  CU_ASSERT_EQUAL (
      mesh_load_report (&test->fixture->mesh, test->fixture->now).slots,
      SLOTS);
  test->notice.limit = LIMIT_NOTICE_NAMED;
  test->notice.limit_milli_per_s = MILLI_PER_S;
  run_load (test, 10 * MSEC, 1000 * MSEC);
  CU_ASSERT_EQUAL (
      mesh_load_report (&test->fixture->mesh, test->fixture->now).slots, 2);
  test_free (test);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "server gets more than its limit", test_exceeded },
          { "request beyond the limit is held", test_held },
          { "limit is not known after a start", test_unknown },
          { "limit is missing from the load report", test_reported },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh limit", tests);
}
