#include "tests/mesh_fixture.h"

/* A node with a server that has several slots, under a load that exceeds the
   capacity of the server for a while.  */

#define SLOTS 6u
#define RUNS_MAX 64u
#define STEP_USEC (1 * MSEC)
#define TICK_USEC (25 * MSEC)

/* By then an overload that began at the start has shown in the rate of
   admitted work.  */
#define STEADY_USEC (3000 * MSEC)

/* A type of request.  */
struct request_kind
{
  gint64 interval_usec;    /* interval between requests, microseconds */
  gint64 run_usec;         /* run time of each request */
  gint64 timeout_usec;     /* time from arrival to the deadline */
  gint64 target_usec;      /* target latency of the route, 0: none */
  guint32 route;           /* number of the route of the requests */
  gint64 next_at;          /* when the next request arrives */
  guint sent_count;        /* requests that arrived */
  guint done_count;        /* requests that ended before the deadline */
  guint on_target_count;   /* requests that ended within the target */
  guint refused_count;     /* requests that were refused */
  gint64 refusal_max_usec; /* longest time until a refusal */
  gint64 steady_max_usec;  /* the same for those that arrived after STEADY */
  gint64 refusal_usec;     /* time until refusals, summed */
};

/* A request that has not ended.  */
struct pending_request
{
  struct handle exchange;    /* handle of the request's exchange */
  struct request_kind *kind; /* type of the request */
  gint64 arrived_at;         /* when the request arrived */
  gint64 ends_at; /* when the run of the request ends, 0: it does not run */
};

/* A node under load.  */
struct load_test
{
  struct fixture *fixture;                      /* the node */
  struct pending_request pending[RUNS_MAX * 4]; /* requests at the node */
  guint pending_count;                          /* used entries of `pending' */
};

/* Return the request with the handle EXCHANGE.  */
static struct pending_request *
find_request (struct load_test *test, struct handle exchange)
{
  guint i;

  for (i = 0; i < test->pending_count; i++)
    if (handle_equal (test->pending[i].exchange, exchange))
      return &test->pending[i];
  return NULL;
}

/* Count the refusal at NOW of a request of KIND that arrived at ARRIVED_AT. */
static void
count_refusal (struct request_kind *kind, gint64 arrived_at, gint64 now)
{
  gint64 usec = now - arrived_at;

  kind->refusal_usec += usec;
  kind->refusal_max_usec = MAX (kind->refusal_max_usec, usec);
  if (arrived_at >= START + STEADY_USEC)
    kind->steady_max_usec = MAX (kind->steady_max_usec, usec);
}

/* Carry out the actions of the last step of the node.  */
static void
do_actions (struct load_test *test)
{
  gint64 now = test->fixture->now;
  guint i;

  for (i = 0; i < test->fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&test->fixture->actions, i);
      struct pending_request *request;
      if (action->kind == ACTION_RUN)
        {
          request = find_request (test, action->u.run.exchange);
          request->ends_at = now + request->kind->run_usec;
        }
      else if (action->kind == ACTION_ANSWER)
        {
          request = find_request (test, action->u.answer.exchange);
          request->kind->refused_count++;
          count_refusal (request->kind, request->arrived_at, now);
          *request = test->pending[--test->pending_count];
        }
    }
}

/* Send a request of KIND from another node.  */
static void
send_kind (struct load_test *test, struct request_kind *kind)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;
  struct pending_request *pending = &test->pending[test->pending_count++];

  g_assert (test->pending_count < G_N_ELEMENTS (test->pending));
  event.u.request.exchange = handle_make (++test->fixture->last_exchange, 1);
  request->forwarded = TRUE;
  request->priority = PRIORITY_NORMAL;
  request->route_number = kind->route;
  request->deadline = test->fixture->now + kind->timeout_usec;
  g_strlcpy (request->service, OWN_SERVICE, sizeof request->service);
  pending->exchange = event.u.request.exchange;
  pending->kind = kind;
  pending->arrived_at = test->fixture->now;
  pending->ends_at = 0;
  kind->sent_count++;
  kind->next_at += kind->interval_usec;
  feed_event (test->fixture, &event);
  do_actions (test);
}

/* Give the node a route for each of the COUNT KINDS.  */
static void
add_routes (struct fixture *fixture, struct request_kind *kinds, guint count)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct routing *routing = routing_new (2);
  guint i;

  for (i = 0; i < count; i++)
    {
      char prefix[NAME_SIZE];
      struct route_share share = { .service = OWN_SERVICE, .weight = 1 };
      struct route route = { .host = "h",
                             .path_prefix = prefix,
                             .target_latency_usec = kinds[i].target_usec,
                             .share_count = 1,
                             .shares = &share };
      g_snprintf (prefix, sizeof prefix, "/kind/%u/", i);
      routing_add_route (routing, &route);
      kinds[i].route = routing_match (routing, "h", prefix)->number;
    }
  event.u.routing.routing = routing;
  feed_event (fixture, &event);
}

/* End the run of the request at index I.  */
static void
end_run (struct load_test *test, guint i)
{
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };
  struct pending_request request = test->pending[i];

  if (test->fixture->now <= request.arrived_at + request.kind->timeout_usec)
    request.kind->done_count++;
  if (test->fixture->now <= request.arrived_at + request.kind->target_usec)
    request.kind->on_target_count++;
  test->pending[i] = test->pending[--test->pending_count];
  event.u.attempt_ended.exchange = request.exchange;
  event.u.attempt_ended.outcome = OUTCOME_DONE;
  event.u.attempt_ended.http_status = 200;
  feed_event (test->fixture, &event);
  do_actions (test);
}

/* Send requests of the COUNT KINDS for USEC.  */
static void
run_load (struct request_kind *kinds, guint count, gint64 usec)
{
  struct load_test test = { .fixture = fixture_new () };
  struct fixture *fixture = test.fixture;
  gint64 end_at = fixture->now + usec;
  guint i;

  add_routes (fixture, kinds, count);
  admission_set_slots (&fixture->mesh.admission, SLOTS, SLOTS * 4);
  for (i = 0; i < count; i++)
    kinds[i].next_at = fixture->now;
  while (fixture->now < end_at)
    {
      fixture->now += STEP_USEC;
      for (i = test.pending_count; i-- > 0;)
        if (i < test.pending_count && test.pending[i].ends_at != 0
            && test.pending[i].ends_at <= fixture->now)
          end_run (&test, i);
      for (i = 0; i < count; i++)
        while (kinds[i].next_at <= fixture->now)
          send_kind (&test, &kinds[i]);
      if (fixture->now % TICK_USEC == 0)
        {
          advance (fixture, 0);
          do_actions (&test);
        }
    }
  fixture_free (fixture);
}

/* Requests with short deadlines must not starve while requests of equal
   priority with long deadlines exceed the capacity of the server.  */
static void
test_short_deadlines_starved (void)
{
  struct request_kind kinds[] = {
    { .interval_usec = 20 * MSEC,
      .run_usec = 170 * MSEC,
      .timeout_usec = 1500 * MSEC },
    { .interval_usec = 100 * MSEC,
      .run_usec = 33 * MSEC,
      .timeout_usec = 400 * MSEC },
  };
  const struct request_kind *long_kind = &kinds[0];
  const struct request_kind *short_kind = &kinds[1];

  run_load (kinds, G_N_ELEMENTS (kinds), 20000 * MSEC);
  CU_ASSERT_TRUE (short_kind->done_count * 100 >= short_kind->sent_count * 95);
  CU_ASSERT_TRUE (long_kind->done_count * long_kind->run_usec
                  >= (gint64)20000 * MSEC * SLOTS * 85 / 100);
}

/* Under permanent overload, served requests meet their target and refused ones
   are refused early.  A standing queue would make all of them late.  Until the
   overload shows in the rate of admitted work, a request that misses its
   target may wait as long as it is forecast to complete.  */
static void
test_standing_queue_makes_all_late (void)
{
  struct request_kind long_kind = { .interval_usec = 20 * MSEC,
                                    .run_usec = 170 * MSEC,
                                    .timeout_usec = 1500 * MSEC,
                                    .target_usec = 600 * MSEC };

  run_load (&long_kind, 1, 20000 * MSEC);
  CU_ASSERT_TRUE (long_kind.on_target_count * 100
                  >= long_kind.done_count * 95);
  CU_ASSERT_TRUE (long_kind.done_count * long_kind.run_usec
                  >= (gint64)20000 * MSEC * SLOTS * 85 / 100);
  CU_ASSERT_TRUE (long_kind.steady_max_usec <= long_kind.target_usec);
  CU_ASSERT_TRUE (long_kind.refusal_max_usec
                  <= long_kind.timeout_usec - long_kind.run_usec);
  CU_ASSERT_TRUE (long_kind.refusal_usec
                  <= long_kind.refused_count * long_kind.target_usec / 4);
  printf (" refused after %d ms on average, steady max %d ms ",
          (int)(long_kind.refusal_usec / long_kind.refused_count / MSEC),
          (int)(long_kind.steady_max_usec / MSEC));
}

/* Short requests that exceed the capacity of the server do not starve long
   ones of the same priority.  */
static void
test_long_targets_starved (void)
{
  struct request_kind kinds[] = {
    { .interval_usec = 100 * MSEC,
      .run_usec = 170 * MSEC,
      .timeout_usec = 1500 * MSEC,
      .target_usec = 600 * MSEC },
    { .interval_usec = 3 * MSEC,
      .run_usec = 33 * MSEC,
      .timeout_usec = 400 * MSEC,
      .target_usec = 150 * MSEC },
  };
  const struct request_kind *long_kind = &kinds[0];
  const struct request_kind *short_kind = &kinds[1];

  run_load (kinds, G_N_ELEMENTS (kinds), 20000 * MSEC);
  CU_ASSERT_TRUE (long_kind->done_count
                      * (long_kind->sent_count + short_kind->sent_count) * 4
                  >= (long_kind->done_count + short_kind->done_count)
                         * long_kind->sent_count);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "short deadlines starved", test_short_deadlines_starved },
          { "standing queue makes all late",
            test_standing_queue_makes_all_late },
          { "long targets starved", test_long_targets_starved },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_admit", tests);
}
