#include "tests/mesh_request_play.h"

#include <string.h>

/* Requests at one node in random orders of arrivals, calls, refusals,
   failures, disconnects and evacuations.  */

#define SEEDS 400u
#define STEPS 400u

/* Send a request: of a caller, a call, or of another node.  */
static void
send_any (struct play *play)
{
  static const char *const targets[] = { "/own/x", "/once/x", "/other/x" };
  struct fixture *fixture = play->fixture;
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;
  guint kind = pick (play, 3);
  struct sent *sent;

  if (fixture->last_exchange >= EXCHANGES_MAX - 2)
    return;
  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.host = "h";
  event.u.request.target = targets[kind];
  request->deadline = fixture->now + (100 + pick (play, 900)) * MSEC;
  sent = sent_of (play, event.u.request.exchange);
  sent->run_class = kind == 1 ? RUN_ONCE : RUN_IDEMPOTENT;
  sent->deadline = request->deadline;
  g_snprintf (request->id, sizeof request->id, "p%u", pick (play, 6));
  if (pick (play, 3) == 0)
    {
      g_strlcat (request->id, ".1", sizeof request->id);
      request->parent_id_length = 2;
    }
  else if (pick (play, 2) == 0)
    {
      request->forwarded = TRUE;
      request->priority = (enum priority)pick (play, PRIORITY_COUNT);
      request->run_class = sent->run_class;
      request->is_call = pick (play, 2) == 0;
      g_strlcpy (request->service, OWN_SERVICE, sizeof request->service);
    }
  feed (play, &event);
}

/* Return a request that is at PLACE or, if there is none, HANDLE_NONE.  */
static struct handle
any_at (struct play *play, enum place place)
{
  guint start = pick (play, EXCHANGES_MAX);
  guint i;

  for (i = 0; i < EXCHANGES_MAX; i++)
    {
      guint number = (start + i) % EXCHANGES_MAX;
      if (number > 0 && number <= play->fixture->last_exchange
          && play->sent[number].place == place)
        return handle_make (number, 1);
    }
  return HANDLE_NONE;
}

/* End an attempt at PLACE in a random way.  */
static void
end_any (struct play *play, enum place place)
{
  static const enum reason refusals[]
      = { REASON_OVERLOAD,   REASON_DEADLINE,  REASON_SERVER_DOWN,
          REASON_WARMING_UP, REASON_EVACUATED, REASON_DRAINING,
          REASON_SHED,       REASON_NO_CONFIG, REASON_PEER_LOST };
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };
  struct event_attempt_ended *ended = &event.u.attempt_ended;
  struct sent *sent;

  ended->exchange = any_at (play, place);
  if (!handle_is_set (ended->exchange))
    return;
  sent = sent_of (play, ended->exchange);
  ended->outcome = (enum outcome)pick (play, 3);
  ended->body_replayable = pick (play, 10) > 0;
  ended->has_load = pick (play, 2) == 0;
  ended->load.slots = 4;
  ended->load.running = pick (play, 6);
  ended->load.mean_run_usec = pick (play, 200) * MSEC;
  switch (ended->outcome)
    {
    case OUTCOME_DONE:
      ended->http_status = pick (play, 4) == 0 ? 500 : 200;
      sent->may_have_run = TRUE;
      break;
    case OUTCOME_NOT_RUN:
      ended->reason = refusals[pick (play, G_N_ELEMENTS (refusals))];
      ended->retry_after_msec = pick (play, 300);
      break;
    case OUTCOME_UNKNOWN:
      ended->reason = pick (play, 2) == 0 ? REASON_DEADLINE : REASON_TRUNCATED;
      sent->may_have_run = TRUE;
      break;
    }
  sent->place = PLACE_NODE;
  sent->back_at = play->fixture->now;
  feed_event (play->fixture, &event);
  follow (play);
  if (table_get (&play->fixture->mesh.requests, ended->exchange) == NULL
      && ended->outcome == OUTCOME_DONE)
    sent->place = PLACE_ENDED;
  check_counts (play);
}

/* Let the caller of a request leave.  */
static void
leave_any (struct play *play)
{
  struct event event = { .kind = EVENT_DISCONNECTED };
  struct handle exchange = any_at (play, (enum place)pick (play, PLACE_ENDED));

  if (!handle_is_set (exchange))
    return;
  event.u.disconnected.exchange = exchange;
  sent_of (play, exchange)->place = PLACE_ENDED;
  feed (play, &event);
}

/* Let time pass, with what the node hears meanwhile.  */
static void
pass_time (struct play *play, gint64 usec)
{
  struct event tick = { .kind = EVENT_TICK };
  struct fixture *fixture = play->fixture;

  fixture->now += usec;
  feed (play, &tick);
  if (fixture->now < play->heartbeat_at)
    return;
  play->heartbeat_at = fixture->now + 300 * MSEC;
  send_heartbeat (fixture, ++play->heartbeats);
  follow (play);
  gossip_from_other (fixture);
  follow (play);
  read_config_end (fixture);
  follow (play);
}

/* Evacuate a data centre, or end that.  */
static void
evacuate (struct play *play)
{
  read_evacuation (play->fixture, pick (play, 2) == 0 ? OWN_ZONE : OTHER_ZONE,
                   play->offset++, pick (play, 2) == 0);
  follow (play);
  check_counts (play);
}

/* Play one case with SEED.  */
static void
play_seed (guint32 seed)
{
  struct play *play = g_new0 (struct play, 1);
  struct mesh *mesh;
  guint i;

  play->fixture = evacuation_fixture ();
  play->random = g_rand_new_with_seed (seed);
  play->heartbeats = 1;
  play->offset = 1;
  mesh = &play->fixture->mesh;
  admission_set_slots (&mesh->admission, SERVER_SLOTS, 4 * SERVER_SLOTS);
  for (i = 0; i < STEPS; i++)
    switch (pick (play, 12))
      {
      case 0:
      case 1:
      case 2:
      case 3:
        send_any (play);
        break;
      case 4:
      case 5:
        end_any (play, PLACE_PEER);
        break;
      case 6:
      case 7:
        end_any (play, PLACE_SERVER);
        break;
      case 8:
        if (pick (play, 4) == 0)
          leave_any (play);
        break;
      case 9:
        if (pick (play, 10) == 0)
          evacuate (play);
        break;
      default:
        pass_time (play, (1 + pick (play, 40)) * MSEC);
        break;
      }
  for (i = 0; i < 100; i++)
    pass_time (play, 25 * MSEC);
  CU_ASSERT_FALSE (handle_is_set (any_at (play, PLACE_NODE)));
  CU_ASSERT_EQUAL (mesh->admission.queue->len, 0);
  fixture_free (play->fixture);
  g_rand_free (play->random);
  g_free (play);
}

/* Guards against a request that is never answered or is answered twice, one
   that may run once and is sent again, one that is said not to have run
   although it may have, and against slots that are never free again.  */
static void
test_orders (void)
{
  guint32 seed;

  for (seed = 1; seed <= SEEDS; seed++)
    {
      guint before = CU_get_number_of_failures ();
      play_seed (seed);
      if (CU_get_number_of_failures () > before)
        {
          printf ("seed %u\n", seed);
          return;
        }
    }
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "random orders", test_orders }, CU_TEST_INFO_NULL };

  return suite_run ("mesh_request_random", tests);
}
