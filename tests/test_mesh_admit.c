#include "tests/mesh_fixture.h"

/* A node beside a server with several slots, under more load than the server
   can carry for a while.  */

#define SLOTS 6u
#define RUNS_MAX 64u
#define STEP (1 * MSEC)
#define TICK (25 * MSEC)

/* A kind of request.  */
struct kind
{
  gint64 every;    /* one comes so often, microseconds */
  gint64 work;     /* it runs so long */
  gint64 time;     /* its caller waits so long */
  gint64 target;   /* its answer is late after so long, 0: not known */
  guint32 route;   /* number of its route */
  gint64 next;     /* when the next one comes */
  guint asked;     /* how many came */
  guint done;      /* how many were run to their end in time */
  guint on_target; /* how many of them were not late */
  guint refused;   /* how many were refused */
  gint64 held_max; /* longest time until a refusal */
};

/* A request that has not ended.  */
struct asked
{
  struct handle exchange; /* its name */
  struct kind *kind;      /* what it is */
  gint64 came;            /* when it came */
  gint64 ends;            /* when its run ends, 0: it does not run */
};

struct world
{
  struct bench *bench;
  struct asked asked[RUNS_MAX * 4];
  guint count;
};

/* The request under EXCHANGE.  */
static struct asked *
asked_of (struct world *world, struct handle exchange)
{
  guint i;

  for (i = 0; i < world->count; i++)
    if (handle_equal (world->asked[i].exchange, exchange))
      return &world->asked[i];
  return NULL;
}

/* Do what the node wanted in its last step.  */
static void
take_actions (struct world *world)
{
  gint64 now = world->bench->now;
  guint i;

  for (i = 0; i < world->bench->actions.items->len; i++)
    {
      const struct action *action = actions_at (&world->bench->actions, i);
      struct asked *asked;
      if (action->kind == ACTION_RUN)
        {
          asked = asked_of (world, action->u.run.exchange);
          asked->ends = now + asked->kind->work;
        }
      else if (action->kind == ACTION_ANSWER)
        {
          asked = asked_of (world, action->u.answer.exchange);
          asked->kind->refused++;
          asked->kind->held_max
              = MAX (asked->kind->held_max, now - asked->came);
          *asked = world->asked[--world->count];
        }
    }
}

/* A request of KIND comes from another node.  */
static void
come (struct world *world, struct kind *kind)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;
  struct asked *asked = &world->asked[world->count++];

  g_assert (world->count < G_N_ELEMENTS (world->asked));
  event.u.request.exchange = handle_make (++world->bench->last, 1);
  request->forwarded = TRUE;
  request->priority = PRIORITY_NORMAL;
  request->route_number = kind->route;
  request->deadline = world->bench->now + kind->time;
  g_strlcpy (request->service, OWN_SERVICE, sizeof request->service);
  asked->exchange = event.u.request.exchange;
  asked->kind = kind;
  asked->came = world->bench->now;
  asked->ends = 0;
  kind->asked++;
  kind->next += kind->every;
  feed (world->bench, &event);
  take_actions (world);
}

/* Have the node know a route for each of the COUNT KINDS.  */
static void
teach_kinds (struct bench *bench, struct kind *kinds, guint count)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct routing *routing = routing_new (2);
  guint i;

  for (i = 0; i < count; i++)
    {
      struct route route = { .host = "h",
                             .target_latency_usec = kinds[i].target,
                             .share_count = 1 };
      g_snprintf (route.path_prefix, sizeof route.path_prefix, "/kind/%u/", i);
      g_strlcpy (route.shares[0].service, OWN_SERVICE, NAME_SIZE);
      routing_add_route (routing, &route);
      kinds[i].route = routing_match (routing, "h", route.path_prefix)->number;
    }
  event.u.routing.routing = routing;
  feed (bench, &event);
}

/* The run of the request at I ends.  */
static void
end_run (struct world *world, guint i)
{
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };
  struct asked asked = world->asked[i];

  if (world->bench->now <= asked.came + asked.kind->time)
    asked.kind->done++;
  if (world->bench->now <= asked.came + asked.kind->target)
    asked.kind->on_target++;
  world->asked[i] = world->asked[--world->count];
  event.u.ended.exchange = asked.exchange;
  event.u.ended.outcome = OUTCOME_DONE;
  event.u.ended.http_status = 200;
  feed (world->bench, &event);
  take_actions (world);
}

/* Have requests of the COUNT KINDS come for USEC.  */
static void
play (struct kind *kinds, guint count, gint64 usec)
{
  struct world world = { .bench = bench_new () };
  struct bench *bench = world.bench;
  gint64 until = bench->now + usec;
  guint i;

  teach_kinds (bench, kinds, count);
  admission_set_slots (&bench->mesh.admission, SLOTS, SLOTS * 4);
  for (i = 0; i < count; i++)
    kinds[i].next = bench->now;
  while (bench->now < until)
    {
      bench->now += STEP;
      for (i = world.count; i-- > 0;)
        if (i < world.count && world.asked[i].ends != 0
            && world.asked[i].ends <= bench->now)
          end_run (&world, i);
      for (i = 0; i < count; i++)
        while (kinds[i].next <= bench->now)
          come (&world, &kinds[i]);
      if (bench->now % TICK == 0)
        {
          pass (bench, 0);
          take_actions (&world);
        }
    }
  bench_free (bench);
}

/* Requests of equal rank with little time are served beside ones with much
   that ask for more than the server can do.  */
static void
test_short_deadlines_starved (void)
{
  struct kind kinds[] = {
    { .every = 20 * MSEC, .work = 170 * MSEC, .time = 1500 * MSEC },
    { .every = 100 * MSEC, .work = 33 * MSEC, .time = 400 * MSEC },
  };
  const struct kind *sale = &kinds[0];
  const struct kind *call = &kinds[1];

  play (kinds, G_N_ELEMENTS (kinds), 20000 * MSEC);
  CU_ASSERT_TRUE (call->done * 100 >= call->asked * 95);
  CU_ASSERT_TRUE (sale->done * sale->work
                  >= (gint64)20000 * MSEC * SLOTS * 85 / 100);
}

/* Where more is asked for than the server can do for long, what is served is
   served in time for its target, and what is refused is refused soon.  */
static void
test_standing_queue_makes_all_late (void)
{
  struct kind sale = { .every = 20 * MSEC,
                       .work = 170 * MSEC,
                       .time = 1500 * MSEC,
                       .target = 600 * MSEC };

  play (&sale, 1, 20000 * MSEC);
  CU_ASSERT_TRUE (sale.on_target * 100 >= sale.done * 95);
  CU_ASSERT_TRUE (sale.done * sale.work
                  >= (gint64)20000 * MSEC * SLOTS * 85 / 100);
  CU_ASSERT_TRUE (sale.held_max <= sale.target);
}

/* Short requests that ask for more than the server can do do not keep long
   ones of their rank away from it.  */
static void
test_long_targets_starved (void)
{
  struct kind kinds[] = {
    { .every = 100 * MSEC,
      .work = 170 * MSEC,
      .time = 1500 * MSEC,
      .target = 600 * MSEC },
    { .every = 3 * MSEC,
      .work = 33 * MSEC,
      .time = 400 * MSEC,
      .target = 150 * MSEC },
  };
  const struct kind *sale = &kinds[0];
  const struct kind *call = &kinds[1];

  play (kinds, G_N_ELEMENTS (kinds), 20000 * MSEC);
  CU_ASSERT_TRUE (sale->done * (sale->asked + call->asked) * 4
                  >= (sale->done + call->done) * sale->asked);
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
