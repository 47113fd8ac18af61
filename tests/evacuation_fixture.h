#ifndef TESTS_EVACUATION_FIXTURE_H
#define TESTS_EVACUATION_FIXTURE_H

#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* A mesh node in one data centre, another node in a second one, and an
   operator who evacuates them.  */

#define OWN_ZONE "z1"
#define OTHER_ZONE "z2"
#define BOUND_USEC (5000 * MSEC) /* time until an evacuation is in force */

/* Requests start at an evacuated server until this long after the last read
   that did not show the evacuation.  */
#define SERVED_USEC (4000 * MSEC)

/* Put the node NAME in the data centre ZONE, as far as the store says.  */
static inline void
set_zone (struct fixture *fixture, const char *name, const char *zone)
{
  struct fleet_member *member
      = table_get (&fixture->mesh.fleet.members,
                   fleet_state_find (&fixture->mesh.fleet, name));

  g_strlcpy (member->zone, zone, sizeof member->zone);
}

/* Put the other node in the data centre ZONE.  */
static inline void
set_other_zone (struct fixture *fixture, const char *zone)
{
  set_zone (fixture, "b", zone);
}

/* Set up a node in OWN_ZONE and another in OTHER_ZONE.  */
static inline struct fixture *
evacuation_fixture (void)
{
  struct fixture *fixture = fixture_new ();

  g_strlcpy (fixture->mesh.settings.zone, OWN_ZONE, NAME_SIZE);
  fixture->mesh.settings.evacuate_usec = BOUND_USEC;
  set_zone (fixture, "a", OWN_ZONE);
  set_other_zone (fixture, OTHER_ZONE);
  return fixture;
}

/* Have the node read the record at OFFSET that evacuates ZONE, or that ends
   this if IS_CANCELLED.  */
static inline void
read_evacuation (struct fixture *fixture, const char *zone, guint64 offset,
                 gboolean is_cancelled)
{
  struct event event = { .kind = EVENT_EVACUATIONS };
  struct evacuation item = { .offset = offset, .is_cancelled = is_cancelled };

  g_strlcpy (item.zone, zone, sizeof item.zone);
  event.u.evacuations.items = &item;
  event.u.evacuations.count = 1;
  event.u.evacuations.next_offset = offset + 1;
  feed_event (fixture, &event);
}

/* Send a request for OWN_SERVICE from another node, with KEY, which may be
   empty.  */
static inline struct handle
forward_to_node (struct fixture *fixture, const char *key)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;

  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  request->forwarded = TRUE;
  request->deadline = fixture->now + 4 * BOUND_USEC;
  g_strlcpy (request->service, OWN_SERVICE, sizeof request->service);
  g_strlcpy (request->key, key, sizeof request->key);
  feed_event (fixture, &event);
  return event.u.request.exchange;
}

/* Return the reason for which the last step refused a request, or
   REASON_NONE.  */
static inline enum reason
refusal (const struct fixture *fixture)
{
  const struct action *action = find_action (fixture, ACTION_ANSWER);

  return action != NULL && action->u.answer.outcome == OUTCOME_NOT_RUN
             ? action->u.answer.reason
             : REASON_NONE;
}

/* Give the node a map in which the node OWNER owns all keys of SERVICE.  */
static inline void
give_keys (struct fixture *fixture, const char *service, const char *owner)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = fixture->mesh.fleet.applied_offset,
                               .record.kind = FLEET_MAP };
  struct route_service sharded = { .sharded = TRUE };
  struct shard *shard;

  g_strlcpy (sharded.name, service, sizeof sharded.name);
  g_array_append_val (fixture->mesh.routing->services, sharded);
  shard_map_init (&entry.record.u.map, service);
  shard = shard_map_at (&entry.record.u.map, 0);
  shard->state = SHARD_HELD;
  shard->fence = entry.record.u.map.next_fence++;
  shard->owner = g_intern_string (owner);
  shard->instance
      = fleet_state_member_named (&fixture->mesh.fleet, owner)->instance;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry.offset + 1;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = TRUE;
  event.u.fleet_records.started_at = fixture->now;
  feed_event (fixture, &event);
  fleet_record_clear (&entry.record);
}

#endif
