#ifndef TESTS_MESH_BENCH_H
#define TESTS_MESH_BENCH_H

#include "mesh/mesh.h"
#include "tests/suite.h"

/* One mesh node between scripted events and the actions it wants.  */

#define MSEC ((gint64)1000)
#define START ((gint64)100000000)
#define OWN_SERVICE "own"
#define OTHER_SERVICE "other"

/* One node with its server, and another node that serves OTHER_SERVICE.  */
struct bench
{
  struct mesh mesh;       /* the node */
  struct actions actions; /* what it wants */
  gint64 now;             /* the time */
  guint32 last;           /* last exchange */
};

/* Give EVENT to the node; what it wanted before is forgotten.  */
static inline void
feed (struct bench *bench, const struct event *event)
{
  actions_remove_all (&bench->actions);
  mesh_step (&bench->mesh, event, bench->now, &bench->actions);
}

/* The first action of KIND in the last step, or NULL.  */
static inline const struct action *
find (const struct bench *bench, enum action_kind kind)
{
  guint i;

  for (i = 0; i < bench->actions.items->len; i++)
    if (actions_at (&bench->actions, i)->kind == kind)
      return actions_at (&bench->actions, i);
  return NULL;
}

/* Have the node know a configuration with a route to each service.  */
static inline void
teach_routes (struct bench *bench)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct routing *routing = routing_new (1);
  struct route route = { .host = "h",
                         .path_prefix = "/own/",
                         .run_class = RUN_IDEMPOTENT,
                         .priority = PRIORITY_NORMAL,
                         .timeout_usec = 1000 * MSEC,
                         .max_attempts = 2,
                         .share_count = 1 };

  g_strlcpy (route.shares[0].service, OWN_SERVICE, NAME_SIZE);
  routing_add_route (routing, &route);
  route.run_class = RUN_ONCE;
  g_strlcpy (route.path_prefix, "/once/", sizeof route.path_prefix);
  routing_add_route (routing, &route);
  route.run_class = RUN_IDEMPOTENT;
  g_strlcpy (route.path_prefix, "/other/", sizeof route.path_prefix);
  g_strlcpy (route.shares[0].service, OTHER_SERVICE, NAME_SIZE);
  routing_add_route (routing, &route);
  event.u.routing.routing = routing;
  feed (bench, &event);
}

/* Have the node read that the other one is a member.  */
static inline void
teach_members (struct bench *bench)
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
  event.u.fleet.items = &entry;
  event.u.fleet.count = 1;
  event.u.fleet.next_offset = 1;
  event.u.fleet.complete = TRUE;
  event.u.fleet.at_end = TRUE;
  event.u.fleet.started_at = bench->now;
  feed (bench, &event);
}

/* The other node says how it is.  */
static inline void
hear_other (struct bench *bench)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };

  g_strlcpy (call.u.gossip.name, "b", NAME_SIZE);
  call.u.gossip.incarnation = 77;
  call.u.gossip.applied_offset = 1;
  call.u.gossip.config_version = 1;
  call.u.gossip.load.slots = 4;
  event.u.mesh_call.call = &call;
  feed (bench, &event);
}

/* The server here sends a beat.  */
static inline void
heartbeat (struct bench *bench, guint64 number)
{
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);

  g_strlcpy (heartbeat->instance.id, "sa", sizeof heartbeat->instance.id);
  g_strlcpy (heartbeat->service, OWN_SERVICE, sizeof heartbeat->service);
  heartbeat->instance.started_at_msec = 5;
  heartbeat->sequence = number;
  heartbeat->slots = 1;
  event.u.heartbeat.heartbeat = heartbeat;
  feed (bench, &event);
  g_free (heartbeat);
}

/* Let the node's proposals take effect, one after the other.  */
static inline void
settle (struct bench *bench)
{
  guint64 offset = bench->mesh.fleet.applied_offset;

  while (bench->mesh.proposal.is_pending)
    {
      struct event event = { .kind = EVENT_STORE_APPENDED };
      event.u.stored.serial = bench->mesh.proposal.serial;
      event.u.stored.offset = offset++;
      feed (bench, &event);
    }
}

/* Set up a node that knows all that.  */
static inline struct bench *
bench_new (void)
{
  struct mesh_settings settings = { .name = "a",
                                    .service = OWN_SERVICE,
                                    .incarnation = 5,
                                    .heartbeat_usec = 900 * MSEC,
                                    .max_grant_usec = 10000 * MSEC,
                                    .drain_limit_usec = 2000 * MSEC,
                                    .stop_grace_usec = 6000 * MSEC };
  struct bench *bench = g_new0 (struct bench, 1);

  bench->now = START;
  actions_init (&bench->actions);
  mesh_init (&bench->mesh, &settings, bench->now);
  teach_members (bench);
  teach_routes (bench);
  hear_other (bench);
  heartbeat (bench, 1);
  settle (bench);
  return bench;
}

/* Release BENCH.  */
static inline void
bench_free (struct bench *bench)
{
  mesh_clear (&bench->mesh);
  actions_clear (&bench->actions);
  g_free (bench);
}

/* A request for TARGET with KEY comes that its caller awaits for 2 s.  */
static inline struct handle
ask_with_key (struct bench *bench, const char *target, const char *key)
{
  struct event event = { .kind = EVENT_REQUEST };

  g_strlcpy (event.u.request.request.key, key, KEY_SIZE);
  event.u.request.exchange = handle_make (++bench->last, 1);
  event.u.request.request.deadline = bench->now + 2000 * MSEC;
  event.u.request.host = "h";
  event.u.request.target = target;
  feed (bench, &event);
  return event.u.request.exchange;
}

/* A request for TARGET without a key comes.  */
static inline struct handle
ask (struct bench *bench, const char *target)
{
  return ask_with_key (bench, target, "");
}

/* EXCHANGE is answered with the failure STATUS by a server with room.  */
static inline void
fail_with (struct bench *bench, struct handle exchange, guint32 status)
{
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  event.u.ended.exchange = exchange;
  event.u.ended.outcome = OUTCOME_DONE;
  event.u.ended.http_status = status;
  event.u.ended.body_replayable = TRUE;
  event.u.ended.has_load = TRUE;
  event.u.ended.load.slots = 4;
  feed (bench, &event);
}

/* The attempt of EXCHANGE ends.  */
static inline void
end (struct bench *bench, struct handle exchange, enum outcome outcome,
     enum reason reason)
{
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  event.u.ended.exchange = exchange;
  event.u.ended.outcome = outcome;
  event.u.ended.reason = reason;
  event.u.ended.body_replayable = TRUE;
  event.u.ended.has_load = TRUE;
  event.u.ended.load.slots = 4;
  feed (bench, &event);
}

/* Time passes.  */
static inline void
pass (struct bench *bench, gint64 usec)
{
  struct event event = { .kind = EVENT_TICK };

  bench->now += usec;
  feed (bench, &event);
}

#endif
