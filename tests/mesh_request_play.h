#ifndef TESTS_MESH_REQUEST_PLAY_H
#define TESTS_MESH_REQUEST_PLAY_H

#include "tests/evacuation_fixture.h"

/* A node whose requests a test follows from event to event: where each of them
   is, and whether it may have run.  */

#define EXCHANGES_MAX 512u
#define SERVER_SLOTS 2u

/* Requests that wait are answered this long after their deadline at the
   latest: with the next tick.  */
#define LATE_USEC (50 * MSEC)

/* Where the test knows a request to be.  */
enum place
{
  PLACE_NODE,   /* at the node: it waits or is queued */
  PLACE_PEER,   /* at another node */
  PLACE_SERVER, /* at the local server */
  PLACE_ENDED   /* it was answered, or its caller has left */
};

/* A request, by the number of its exchange.  */
struct sent
{
  enum place place;
  enum run_class run_class;
  gboolean may_have_run; /* an attempt may have been executed */
  gint64 deadline;       /* of the request */
  gint64 back_at;        /* when its last attempt ended, 0: none has */
};

struct play
{
  struct fixture *fixture;         /* the node */
  struct sent sent[EXCHANGES_MAX]; /* requests by their exchanges' numbers */
  GRand *random;                   /* source of the random choices */
  guint64 heartbeats;              /* heartbeats of the local server so far */
  gint64 heartbeat_at;             /* when the next one is due */
  guint64 offset;                  /* next offset of the operator's topic */
};

/* Return a random number below BELOW.  */
static inline guint
pick (struct play *play, guint below)
{
  return (guint)g_rand_int_range (play->random, 0, (gint)below);
}

/* Return what the test knows of EXCHANGE.  */
static inline struct sent *
sent_of (struct play *play, struct handle exchange)
{
  return &play->sent[handle_index (exchange)];
}

/* Check that a server at PLACE whose data centre is evacuated gets no request
   any more.  */
static inline void
check_evacuated (const struct play *play, enum place place)
{
  const struct evacuations *known = &play->fixture->mesh.evacuations;
  gboolean is_served
      = place == PLACE_PEER
            ? !evacuations_include (known, OTHER_ZONE)
            : play->fixture->now < evacuations_serve_until (known, OWN_ZONE);

  CU_ASSERT_TRUE (is_served);
}

/* Note that an attempt at EXCHANGE begins at PLACE.  What may run once is not
   sent again.  */
static inline void
begin_attempt (struct play *play, struct handle exchange, enum place place)
{
  struct sent *sent = sent_of (play, exchange);

  CU_ASSERT_EQUAL (sent->place, PLACE_NODE);
  CU_ASSERT_FALSE (sent->run_class == RUN_ONCE && sent->may_have_run);
  CU_ASSERT_TRUE (play->fixture->now < sent->deadline);
  check_evacuated (play, place);
  sent->place = place;
}

/* Note what the last step has done.  A request is answered once, and is not
   said not to have run if it may have.  */
static inline void
follow (struct play *play)
{
  guint i;

  for (i = 0; i < play->fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&play->fixture->actions, i);
      if (action->kind == ACTION_FORWARD)
        begin_attempt (play, action->u.forward.exchange, PLACE_PEER);
      else if (action->kind == ACTION_RUN)
        begin_attempt (play, action->u.run.exchange, PLACE_SERVER);
      else if (action->kind == ACTION_ANSWER)
        {
          struct sent *sent = sent_of (play, action->u.answer.exchange);
          CU_ASSERT_EQUAL (sent->place, PLACE_NODE);
          CU_ASSERT_FALSE (action->u.answer.outcome == OUTCOME_NOT_RUN
                           && sent->may_have_run);
          CU_ASSERT_TRUE (action->u.answer.outcome != OUTCOME_NOT_RUN
                          || play->fixture->now
                                 < MAX (sent->deadline, sent->back_at)
                                       + LATE_USEC);
          sent->place = PLACE_ENDED;
        }
    }
}

/* Check that the node counts its requests as the test does.  */
static inline void
check_counts (struct play *play)
{
  const struct mesh *mesh = &play->fixture->mesh;
  struct handle h = table_next (&mesh->requests, HANDLE_NONE);
  guint running = 0;
  guint queued = 0;
  guint at_peers = 0;
  guint in_flight = 0;

  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    {
      const struct mesh_request *request = table_get (&mesh->requests, h);
      enum place place = sent_of (play, h)->place;
      running += request->phase == MESH_REQUEST_RUNNING;
      queued += request->phase == MESH_REQUEST_QUEUED;
      at_peers += request->phase == MESH_REQUEST_SENT;
      CU_ASSERT_EQUAL (request->phase == MESH_REQUEST_RUNNING,
                       place == PLACE_SERVER);
      CU_ASSERT_EQUAL (request->phase == MESH_REQUEST_SENT,
                       place == PLACE_PEER);
      CU_ASSERT_NOT_EQUAL (place, PLACE_ENDED);
    }
  for (h = table_next (&mesh->peers, HANDLE_NONE); handle_is_set (h);
       h = table_next (&mesh->peers, h))
    in_flight
        += ((const struct peer_state *)table_get (&mesh->peers, h))->in_flight;
  CU_ASSERT_EQUAL (mesh->admission.busy_slots, running);
  CU_ASSERT_EQUAL (mesh->admission.queue->len, queued);
  CU_ASSERT_EQUAL (in_flight, at_peers);
  CU_ASSERT_TRUE (mesh->running->len <= SERVER_SLOTS + 1);
}

/* Pass EVENT to the node, and check what it does.  */
static inline void
feed (struct play *play, const struct event *event)
{
  feed_event (play->fixture, event);
  follow (play);
  check_counts (play);
}

#endif
