#include "serve/peer_state.h"
#include "serve/placement.h"
#include "tests/suite.h"
#include "types/clock.h"

/* Replays a load of many entry nodes with little news of the servers, and
   compares the draw of a few candidates with the choice among all.  */

#define SERVERS ((gsize)59)
#define ENTRIES 194u
#define ZONES 5u
#define SLOTS 16u
#define RUN_USEC ((gint64)700000) /* mean run at a server of speed 1 */
#define STEP_USEC ((gint64)10000) /* time step of the replay */
#define STEPS 3000u               /* 30 s */
#define REQUESTS_PER_STEP                                                     \
  9u                                /* about three quarters of what the       \
                                       servers can do */
#define QUEUE_MAX 4096u             /* requests at a server */
#define ANSWER_USEC ((gint64)20000) /* way back of an answer */

/* A request at a server.  */
struct run
{
  guint entry;   /* node at which it entered */
  gint64 end_at; /* when its run ends, 0: it waits */
  gint64 at;     /* when it arrived */
};

struct server
{
  gdouble speed;              /* 1: a run takes RUN_USEC on average */
  struct run runs[QUEUE_MAX]; /* requests, running ones first */
  guint count;                /* requests */
  guint running;              /* of these, running */
  guint arrivals;             /* requests so far */
};

/* What a replay shows.  */
struct outcome
{
  gdouble busiest; /* requests at the busiest server by its speed, in multiples
                      of the mean */
  gdouble waited;  /* share of the requests that waited over a second */
};

struct replay
{
  struct server *servers;
  struct peer_state
      *news; /* what entry E knows of server S, E * SERVERS + S */
  GRand *random;
  gint64 now;
  guint waited; /* requests that waited over a second */
  guint total;  /* requests */
};

/* Return the cost at server S as entry E sees it.  */
static gint64
cost_seen (const struct replay *replay, guint e, guint s)
{
  struct peer_query query
      = { .same_zone = e % ZONES == s % ZONES, .default_run_usec = RUN_USEC };

  return peer_state_cost (&replay->news[e * SERVERS + s], &query, replay->now);
}

/* Return the cheapest server among all.  */
static guint
choose_all (const struct replay *replay, guint e)
{
  guint best = 0;
  guint s;

  for (s = 1; s < SERVERS; s++)
    if (cost_seen (replay, e, s) < cost_seen (replay, e, best))
      best = s;
  return best;
}

/* Return the cheapest server among those drawn.  */
static guint
choose_drawn (const struct replay *replay, guint e)
{
  struct server_placement placement;
  guint best;
  guint i;

  placement_init (&placement, g_rand_int (replay->random));
  for (i = 0; i < SERVERS; i++)
    {
      struct placement_candidate server
          = { .member = handle_make (i, 1),
              .is_near = e % ZONES == i % ZONES };
      placement_offer (&placement, &server,
                       peer_state_capacity (&replay->news[e * SERVERS + i],
                                            RUN_USEC, replay->now));
    }
  best = handle_index (placement_at (&placement, 0)->member);
  for (i = 1; i < placement_count (&placement); i++)
    {
      guint s = handle_index (placement_at (&placement, i)->member);
      if (cost_seen (replay, e, s) < cost_seen (replay, e, best))
        best = s;
    }
  return best;
}

/* Let a request enter at entry E and go to server S.  */
static void
arrive (struct replay *replay, guint e, guint s)
{
  struct server *server = &replay->servers[s];

  peer_state_on_sent (&replay->news[e * SERVERS + s], replay->now);
  server->arrivals++;
  replay->total++;
  if (server->count < QUEUE_MAX)
    server->runs[server->count++] = (struct run){ e, 0, replay->now };
}

/* End the runs of server S that are over, tell their entries, and begin
   others.  */
static void
advance (struct replay *replay, guint s)
{
  struct server *server = &replay->servers[s];
  guint i = 0;

  while (i < server->running)
    {
      struct run done = server->runs[i];
      struct peer_state *news;
      struct load_report load
          = { .slots = SLOTS,
              .mean_run_usec = (gint64)((gdouble)RUN_USEC / server->speed) };
      if (done.end_at > replay->now)
        {
          i++;
          continue;
        }
      memmove (&server->runs[i], &server->runs[i + 1],
               (server->count - i - 1) * sizeof (struct run));
      server->count--;
      server->running--;
      load.running = server->running;
      load.waiting = server->count - server->running;
      news = &replay->news[done.entry * SERVERS + s];
      peer_state_on_answer (news, replay->now);
      peer_state_on_load (news, &load, replay->now);
    }
  while (server->running < SLOTS && server->running < server->count)
    {
      struct run *run = &server->runs[server->running++];
      gdouble factor = g_rand_double_range (replay->random, 0.5, 1.5);
      run->end_at = replay->now + ANSWER_USEC
                    + (gint64)((gdouble)RUN_USEC * factor / server->speed);
      if (replay->now - run->at > USEC_PER_SEC)
        replay->waited++;
    }
}

/* Replay the load; choose among all servers, or among those drawn.  */
static struct outcome
replay_load (gboolean drawn)
{
  struct replay replay
      = { .servers = g_new0 (struct server, SERVERS),
          .news = g_new0 (struct peer_state, SERVERS * ENTRIES),
          .random = g_rand_new_with_seed (3),
          .now = (gint64)100 * USEC_PER_SEC };
  struct outcome outcome = { 0 };
  gdouble capacity = 0;
  guint step;
  guint i;

  for (i = 0; i < SERVERS; i++)
    {
      replay.servers[i].speed = 0.5 + (gdouble)i / (SERVERS - 1);
      capacity += replay.servers[i].speed;
    }
  for (i = 0; i < SERVERS * ENTRIES; i++)
    replay.news[i].load.slots = SLOTS;
  for (step = 0; step < STEPS; step++)
    {
      replay.now += STEP_USEC;
      for (i = 0; i < REQUESTS_PER_STEP; i++)
        {
          guint e = (guint)g_rand_int_range (replay.random, 0, ENTRIES);
          arrive (&replay, e,
                  drawn ? choose_drawn (&replay, e) : choose_all (&replay, e));
        }
      for (i = 0; i < SERVERS; i++)
        advance (&replay, i);
    }
  for (i = 0; i < SERVERS; i++)
    outcome.busiest
        = MAX (outcome.busiest, replay.servers[i].arrivals * capacity
                                    / replay.servers[i].speed / replay.total);
  outcome.waited = (gdouble)replay.waited / replay.total;
  g_rand_free (replay.random);
  g_free (replay.servers);
  g_free (replay.news);
  return outcome;
}

/* The choice among all overloads a few servers; the draw does not.  */
static void
test_old_news (void)
{
  struct outcome all = replay_load (FALSE);
  struct outcome drawn = replay_load (TRUE);

  printf ("all: busiest %.2f waited %.3f; drawn: busiest %.2f waited %.3f\n",
          all.busiest, all.waited, drawn.busiest, drawn.waited);
  CU_ASSERT_TRUE (drawn.busiest < 1.6);
  CU_ASSERT_TRUE (drawn.waited < 0.02);
  CU_ASSERT_TRUE (drawn.waited < all.waited / 4);
}

/* Few candidates are all compared, each once: a service with few servers in
   the own data centre must not lose one of them to the draw.  */
static void
test_few (void)
{
  struct server_placement placement;
  guint seen = 0;
  guint i;

  placement_init (&placement, 5);
  for (i = 0; i < PLACEMENT_MAX; i++)
    {
      struct placement_candidate server
          = { .member = handle_make (i, 1), .is_near = i < PLACEMENT_NEAR };
      placement_offer (&placement, &server, 1 + i);
    }
  CU_ASSERT_EQUAL (placement_count (&placement), PLACEMENT_MAX);
  for (i = 0; i < PLACEMENT_MAX; i++)
    seen |= 1u << handle_index (placement_at (&placement, i)->member);
  CU_ASSERT_EQUAL (seen, (1u << PLACEMENT_MAX) - 1);
}

/* Candidates must be drawn in proportion to their weights, or slow servers get
   as many requests as fast ones.  */
static void
test_weights (void)
{
  guint drawn[2] = { 0 };
  guint i;
  guint k;

  for (i = 0; i < 20000; i++)
    {
      struct server_placement placement;
      placement_init (&placement, i);
      for (k = 0; k < 16; k++)
        {
          struct placement_candidate server
              = { .member = handle_make (k, 1), .is_near = FALSE };
          placement_offer (&placement, &server, k % 2 == 0 ? 1 : 3);
        }
      drawn[handle_index (placement_at (&placement, 0)->member) % 2]++;
    }
  CU_ASSERT_TRUE (drawn[1] > drawn[0] * 27 / 10);
  CU_ASSERT_TRUE (drawn[1] < drawn[0] * 33 / 10);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "old news of many servers", test_old_news },
                          { "few candidates", test_few },
                          { "weights", test_weights },
                          CU_TEST_INFO_NULL };

  return suite_run ("placement", tests);
}
