#ifndef TESTS_MESH_FIXTURE_H
#define TESTS_MESH_FIXTURE_H

#include "mesh/mesh.h"
#include "tests/suite.h"

/* A mesh node that is fed scripted events and whose actions are inspected.  */

#define MSEC ((gint64)1000)
#define START ((gint64)100000000)
#define OWN_SERVICE "own"
#define OTHER_SERVICE "other"

/* A node "a" with its server, and another node "b" that serves
   OTHER_SERVICE.  */
struct fixture
{
  struct mesh mesh;       /* the node */
  struct actions actions; /* actions of the last step */
  gint64 now;             /* current time */
  guint32 last_exchange;  /* number of the last exchange */
};

/* Pass EVENT to the node; the actions of the previous step are removed.  */
static inline void
feed_event (struct fixture *fixture, const struct event *event)
{
  actions_remove_all (&fixture->actions);
  mesh_step (&fixture->mesh, event, fixture->now, &fixture->actions);
}

/* Return the first action of KIND in the last step, or NULL.  */
static inline const struct action *
find_action (const struct fixture *fixture, enum action_kind kind)
{
  guint i;

  for (i = 0; i < fixture->actions.items->len; i++)
    if (actions_at (&fixture->actions, i)->kind == kind)
      return actions_at (&fixture->actions, i);
  return NULL;
}

/* Give the node a configuration with a route to each service.  */
static inline void
add_services (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct routing *routing = routing_new (1);
  struct route_share share = { .service = OWN_SERVICE, .weight = 1 };
  struct route route = { .host = "h",
                         .path_prefix = "/own/",
                         .run_class = RUN_IDEMPOTENT,
                         .priority = PRIORITY_NORMAL,
                         .timeout_usec = 1000 * MSEC,
                         .max_attempts = 2,
                         .share_count = 1,
                         .shares = &share };

  routing_add_route (routing, &route);
  route.run_class = RUN_ONCE;
  route.path_prefix = "/once/";
  routing_add_route (routing, &route);
  route.run_class = RUN_IDEMPOTENT;
  route.path_prefix = "/other/";
  share.service = OTHER_SERVICE;
  routing_add_route (routing, &route);
  event.u.routing.routing = routing;
  feed_event (fixture, &event);
}

/* Report a read of the operator's topic that showed nothing newer.  */
static inline void
read_config_end (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_TOPIC_READ };

  event.u.topic_read.topic = MESH_TOPIC_CONFIG;
  event.u.topic_read.at_end = TRUE;
  event.u.topic_read.started_at = fixture->now;
  feed_event (fixture, &event);
}

/* Give the node the record of the other member.  */
static inline void
add_other_member (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, "b", sizeof member->name);
  g_strlcpy (member->service, OTHER_SERVICE, sizeof member->service);
  g_strlcpy (member->instance.id, "sb", sizeof member->instance.id);
  member->incarnation = 77;
  member->slots = 4;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = 1;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = TRUE;
  event.u.fleet_records.started_at = fixture->now;
  feed_event (fixture, &event);
}

/* Send a gossip message from the other node.  */
static inline void
gossip_from_other (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };

  g_strlcpy (call.u.gossip.name, "b", NAME_SIZE);
  call.u.gossip.incarnation = 77;
  call.u.gossip.applied_offset = 1;
  call.u.gossip.config_version = 1;
  call.u.gossip.load.slots = 4;
  event.u.mesh_call.call = &call;
  feed_event (fixture, &event);
}

/* Send a heartbeat of the local server with sequence number NUMBER.  */
static inline void
send_heartbeat (struct fixture *fixture, guint64 number)
{
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);

  g_strlcpy (heartbeat->instance.id, "sa", sizeof heartbeat->instance.id);
  g_strlcpy (heartbeat->service, OWN_SERVICE, sizeof heartbeat->service);
  heartbeat->instance.started_at_msec = 5;
  heartbeat->sequence = number;
  heartbeat->slots = 1;
  event.u.heartbeat.heartbeat = heartbeat;
  feed_event (fixture, &event);
  g_free (heartbeat);
}

/* Confirm the proposals of the node, one after the other.  */
static inline void
confirm_proposals (struct fixture *fixture)
{
  guint64 offset = fixture->mesh.fleet.applied_offset;

  while (fixture->mesh.proposal.is_pending)
    {
      struct event event = { .kind = EVENT_STORE_APPENDED };
      event.u.store_appended.serial = fixture->mesh.proposal.serial;
      event.u.store_appended.offset = offset++;
      feed_event (fixture, &event);
    }
}

/* Return a node "a" that has read and heard nothing yet, and whose server is
   told its keys by METHOD.  */
static inline struct fixture *
fixture_start_by (enum grant_method method)
{
  struct mesh_settings settings = { .name = "a",
                                    .service = OWN_SERVICE,
                                    .incarnation = 5,
                                    .grant_method = method,
                                    .heartbeat_usec = 900 * MSEC,
                                    .max_grant_usec = 10000 * MSEC,
                                    .drain_limit_usec = 2000 * MSEC,
                                    .config_apply_usec = 2500 * MSEC,
                                    .stop_grace_usec = 6000 * MSEC };
  struct fixture *fixture = g_new0 (struct fixture, 1);

  fixture->now = START;
  actions_init (&fixture->actions);
  mesh_init (&fixture->mesh, &settings, fixture->now);
  return fixture;
}

/* Return a node "a" that has read and heard nothing yet, and whose server is
   told its keys by the answers to its heartbeats.  */
static inline struct fixture *
fixture_start (void)
{
  return fixture_start_by (GRANT_BY_ANSWER);
}

/* Set up a node with the other member, the configuration, a gossip message and
   a heartbeat, and with its own records confirmed.  Its server is told its
   keys by METHOD.  */
static inline struct fixture *
fixture_new_by (enum grant_method method)
{
  struct fixture *fixture = fixture_start_by (method);

  add_other_member (fixture);
  add_services (fixture);
  read_config_end (fixture);
  gossip_from_other (fixture);
  send_heartbeat (fixture, 1);
  confirm_proposals (fixture);
  return fixture;
}

/* Set up such a node, whose server is told its keys by the answers to its
   heartbeats.  */
static inline struct fixture *
fixture_new (void)
{
  return fixture_new_by (GRANT_BY_ANSWER);
}

/* Free FIXTURE.  */
static inline void
fixture_free (struct fixture *fixture)
{
  mesh_clear (&fixture->mesh);
  actions_clear (&fixture->actions);
  g_free (fixture);
}

/* Send a request for TARGET with KEY and a deadline 2 s ahead.  */
static inline struct handle
send_keyed_request (struct fixture *fixture, const char *target,
                    const char *key)
{
  struct event event = { .kind = EVENT_REQUEST };

  g_strlcpy (event.u.request.request.key, key, KEY_SIZE);
  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.request.deadline = fixture->now + 2000 * MSEC;
  event.u.request.host = "h";
  event.u.request.target = target;
  feed_event (fixture, &event);
  return event.u.request.exchange;
}

/* Send a request for TARGET without a key.  */
static inline struct handle
send_request (struct fixture *fixture, const char *target)
{
  return send_keyed_request (fixture, target, "");
}

/* Answer EXCHANGE with the error STATUS of a server that has free slots.  */
static inline void
end_with_status (struct fixture *fixture, struct handle exchange,
                 guint32 status)
{
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  event.u.attempt_ended.exchange = exchange;
  event.u.attempt_ended.outcome = OUTCOME_DONE;
  event.u.attempt_ended.http_status = status;
  event.u.attempt_ended.body_replayable = TRUE;
  event.u.attempt_ended.has_load = TRUE;
  event.u.attempt_ended.load.slots = 4;
  feed_event (fixture, &event);
}

/* End the attempt at EXCHANGE with OUTCOME and REASON.  */
static inline void
end_attempt (struct fixture *fixture, struct handle exchange,
             enum outcome outcome, enum reason reason)
{
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  event.u.attempt_ended.exchange = exchange;
  event.u.attempt_ended.outcome = outcome;
  event.u.attempt_ended.reason = reason;
  event.u.attempt_ended.body_replayable = TRUE;
  event.u.attempt_ended.has_load = TRUE;
  event.u.attempt_ended.load.slots = 4;
  feed_event (fixture, &event);
}

/* Advance the time by USEC and pass a tick to the node.  */
static inline void
advance (struct fixture *fixture, gint64 usec)
{
  struct event event = { .kind = EVENT_TICK };

  fixture->now += usec;
  feed_event (fixture, &event);
}

#endif
