#ifndef TESTS_EXPLAIN_STAGE_H
#define TESTS_EXPLAIN_STAGE_H

#include "edge/mesh_explain_json.h"
#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* A node "a" among others, brought into random states from a seed.  */

#define KEYED_SERVICE "keyed"
#define STAGE_MEMBERS 12u    /* members besides "a" and "b" */
#define STAGE_DIGEST 99u     /* digest of requests that crashed servers */
#define STAGE_KEY_STEP 8192u /* keys of one shard */
#define STAGE_BODY_MAX 50000 /* longest body, bytes */

struct explain_stage
{
  struct fixture *fixture; /* the node */
  GRand *random;           /* random numbers of the run */
  guint64 offset;          /* offset of the last record of the operator */
  gint64 config_version;   /* last configuration */
};

/* Return a random number below MAX.  */
static inline guint32
stage_random (struct explain_stage *stage, guint32 max)
{
  return (guint32)g_rand_int_range (stage->random, 0, (gint32)max);
}

/* Return TRUE in PERCENT of the calls.  */
static inline gboolean
stage_chance (struct explain_stage *stage, guint32 percent)
{
  return stage_random (stage, 100) < percent;
}

/* Pass ENTRY, a record of the fleet's topic, to the node.  */
static inline void
stage_record (struct explain_stage *stage, struct fleet_entry *entry)
{
  struct fixture *fixture = stage->fixture;
  struct event event = { .kind = EVENT_FLEET_RECORDS };

  entry->offset = fixture->mesh.fleet.applied_offset;
  fleet_record_set_key (&entry->record);
  event.u.fleet_records.items = entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry->offset + 1;
  feed_event (fixture, &event);
  fleet_record_clear (&entry->record);
}

/* Add the members.  */
static inline void
stage_add_members (struct explain_stage *stage)
{
  guint i;

  for (i = 0; i < STAGE_MEMBERS; i++)
    {
      struct fleet_entry entry = { .record.kind = FLEET_MEMBER };
      struct fleet_member *member = &entry.record.u.member;
      g_snprintf (member->name, sizeof member->name, "m%u", i);
      g_snprintf (member->zone, sizeof member->zone, "z%u", i % 3);
      g_strlcpy (member->service,
                 i < 7    ? OTHER_SERVICE
                 : i < 11 ? KEYED_SERVICE
                          : OWN_SERVICE,
                 sizeof member->service);
      g_snprintf (member->instance.id, sizeof member->instance.id, "s%u", i);
      member->incarnation = 1000 + i;
      member->slots = 4;
      stage_record (stage, &entry);
    }
}

/* Give SERVICE a map with random owners among "a" and the members.  */
static inline void
stage_set_map (struct explain_stage *stage, const char *service)
{
  struct fleet_entry entry = { .record.kind = FLEET_MAP };
  guint32 key;
  guint i;

  shard_map_init (&entry.record.u.map, service);
  for (key = STAGE_KEY_STEP; key < SHARD_KEY_COUNT; key += STAGE_KEY_STEP)
    shard_map_split (&entry.record.u.map, key);
  for (i = 0; i < entry.record.u.map.shards->len; i++)
    {
      struct shard *shard = shard_map_at (&entry.record.u.map, i);
      char owner[NAME_SIZE];
      shard->fence = 10 + i;
      shard->state = (enum shard_state)stage_random (stage, 3);
      if (stage_chance (stage, 60))
        shard->state = SHARD_HELD;
      if (stage_chance (stage, 25))
        shard->owner = "a";
      else
        {
          g_snprintf (owner, sizeof owner, "m%u",
                      stage_random (stage, STAGE_MEMBERS + 1));
          shard->owner = g_intern_string (owner);
        }
    }
  stage_record (stage, &entry);
}

/* Put a new configuration into force.  In some the service of the local server
   is divided by key.  */
static inline void
stage_set_routes (struct explain_stage *stage)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct routing *routing = routing_new ((guint64)++stage->config_version);
  struct route_service keyed = { .name = KEYED_SERVICE, .sharded = TRUE };
  struct route_service own
      = { .name = OWN_SERVICE, .sharded = stage_chance (stage, 30) };
  static const char *const services[]
      = { OWN_SERVICE, OTHER_SERVICE, KEYED_SERVICE };
  guint i;

  g_array_append_val (routing->services, keyed);
  g_array_append_val (routing->services, own);
  for (i = 0; i <= G_N_ELEMENTS (services); i++)
    {
      gboolean is_mixed = i == G_N_ELEMENTS (services);
      const char *name = is_mixed ? "mixed" : services[i];
      struct route_share shares[]
          = { { .service = is_mixed ? OWN_SERVICE : name, .weight = 3 },
              { .service = OTHER_SERVICE, .weight = 2 } };
      char prefix[NAME_SIZE];
      struct route route = { .name = name,
                             .host = "h",
                             .path_prefix = prefix,
                             .run_class = RUN_IDEMPOTENT,
                             .priority = (enum priority) (i % PRIORITY_COUNT),
                             .timeout_usec = 1000 * MSEC,
                             .target_latency_usec = 300 * MSEC,
                             .max_attempts = 2,
                             .share_count = is_mixed ? 2 : 1,
                             .shares = shares };
      g_snprintf (prefix, sizeof prefix, "/%s/", name);
      routing_add_route (routing, &route);
    }
  event.u.routing.routing = routing;
  feed_event (stage->fixture, &event);
}

/* Evacuate a data centre, or end that.  */
static inline void
stage_evacuate (struct explain_stage *stage)
{
  struct event event = { .kind = EVENT_EVACUATIONS };
  struct evacuation item = { .offset = ++stage->offset,
                             .is_cancelled = stage_chance (stage, 60) };

  g_snprintf (item.zone, sizeof item.zone, "z%u", stage_random (stage, 3));
  event.u.evacuations.items = &item;
  event.u.evacuations.count = 1;
  event.u.evacuations.next_offset = stage->offset + 1;
  feed_event (stage->fixture, &event);
}

/* Change what the node knows of its peers.  */
static inline void
stage_change_peers (struct explain_stage *stage)
{
  struct fixture *fixture = stage->fixture;
  struct table *peers = &fixture->mesh.peers;
  struct handle h = table_next (peers, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (peers, h))
    {
      struct peer_state *peer = table_get (peers, h);
      struct load_report load
          = { .running = stage_random (stage, 5),
              .waiting = stage_random (stage, 40),
              .slots = stage_chance (stage, 90) ? 4 : 0,
              .mean_run_usec = stage_random (stage, 300) * MSEC,
              .warmup_msec = stage_chance (stage, 10) ? 900 : 0 };
      if (stage_chance (stage, 60))
        peer_state_on_message (peer, fixture->now);
      if (stage_chance (stage, 40))
        peer_state_on_load (peer, &load, fixture->now);
      peer->reported_unresponsive = stage_chance (stage, 10);
      peer->is_leaving = stage_chance (stage, 10);
      if (stage_chance (stage, 10))
        breaker_on_result (&peer->breaker, BREAKER_FAILURE, fixture->now);
    }
}

/* End a random share of the requests that are under way.  */
static inline void
stage_end_attempts (struct explain_stage *stage)
{
  struct fixture *fixture = stage->fixture;
  struct table *requests = &fixture->mesh.requests;
  struct handle h = table_next (requests, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (requests, h))
    {
      const struct mesh_request *request = table_get (requests, h);
      if ((request->phase == MESH_REQUEST_SENT
           || request->phase == MESH_REQUEST_RUNNING)
          && stage_chance (stage, 30))
        end_attempt (fixture, h,
                     stage_chance (stage, 70) ? OUTCOME_DONE : OUTCOME_NOT_RUN,
                     REASON_OVERLOAD);
    }
}

/* Send a heartbeat of the local server, which may be cold.  */
static inline void
stage_heartbeat (struct explain_stage *stage, guint64 number)
{
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);

  g_strlcpy (heartbeat->instance.id, "sa", sizeof heartbeat->instance.id);
  g_strlcpy (heartbeat->service, OWN_SERVICE, sizeof heartbeat->service);
  heartbeat->instance.started_at_msec = 5;
  heartbeat->sequence = number;
  heartbeat->slots = 2;
  heartbeat->warmup_usec = stage_chance (stage, 20) ? 800 * MSEC : 0;
  event.u.heartbeat.heartbeat = heartbeat;
  feed_event (stage->fixture, &event);
  g_free (heartbeat);
}

/* Have all peers report that their servers are busy for longer than requests
   last.  */
static inline void
stage_fill_servers (struct explain_stage *stage)
{
  struct fixture *fixture = stage->fixture;
  struct table *peers = &fixture->mesh.peers;
  struct load_report load = {
    .running = 4, .waiting = 400, .slots = 4, .mean_run_usec = 20000 * MSEC
  };
  struct handle h = table_next (peers, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (peers, h))
    peer_state_on_load (table_get (peers, h), &load, fixture->now);
}

/* Bring the node into its next random state.  NUMBER counts the states.  */
static inline void
stage_step (struct explain_stage *stage, guint64 number)
{
  struct fixture *fixture = stage->fixture;

  advance (fixture, stage_random (stage, 60) * MSEC);
  if (stage_chance (stage, 90))
    read_config_end (fixture);
  if (stage_chance (stage, 10))
    stage_heartbeat (stage, number + 2);
  if (stage_chance (stage, 2))
    stage_set_routes (stage);
  if (stage_chance (stage, 5))
    stage_set_map (stage, KEYED_SERVICE);
  if (stage_chance (stage, 5))
    stage_set_map (stage, OWN_SERVICE);
  if (stage_chance (stage, 5))
    stage_evacuate (stage);
  if (stage_chance (stage, 20))
    stage_change_peers (stage);
  if (stage_chance (stage, 2))
    warmup_set_rate (&fixture->mesh.admission.warmup, 2000);
  if (stage_chance (stage, 3))
    fixture->now += 400 * MSEC;
  stage_end_attempts (stage);
  if (stage_chance (stage, 5))
    stage_fill_servers (stage);
}

/* Return a node that has read the members and a configuration.  */
static inline struct explain_stage *
stage_new (guint32 seed)
{
  struct explain_stage *stage = g_new0 (struct explain_stage, 1);
  struct fleet_entry suspect = { .record.kind = FLEET_SUSPECT };

  stage->random = g_rand_new_with_seed (seed);
  stage->fixture = fixture_new ();
  stage->config_version = 1;
  stage->fixture->mesh.settings.evacuate_usec = 5000 * MSEC;
  stage->fixture->mesh.random_count = seed;
  g_strlcpy (stage->fixture->mesh.settings.zone, "z0", NAME_SIZE);
  stage_add_members (stage);
  suspect.record.u.suspect.digest = STAGE_DIGEST;
  suspect.record.u.suspect.crash_count = QUARANTINE_CRASHES_MIN;
  stage_record (stage, &suspect);
  stage_set_routes (stage);
  stage_set_map (stage, KEYED_SERVICE);
  stage_set_map (stage, OWN_SERVICE);
  return stage;
}

/* Free STAGE.  */
static inline void
stage_free (struct explain_stage *stage)
{
  fixture_free (stage->fixture);
  g_rand_free (stage->random);
  g_free (stage);
}

#endif
