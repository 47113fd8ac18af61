#include "bench/scale.h"

#include "mesh/mesh.h"

/* What one node of a mesh computes by the number of members: for a tick, a
   gossip message, a request to be forwarded and a record of the shard map.  */

#define SERVICES 3u         /* services; the first one is sharded */
#define SHARDS_PER_OWNER 3u /* shards of an owner, as after some moves */
#define ROUNDS 400u         /* repetitions that are timed */
#define GOSSIP_REPORTS 16u  /* third nodes in a gossip message */
#define TICK_USEC ((gint64)25000)
#define START ((gint64)100000000)

/* A node under load, with the time that it is told.  */
struct bench
{
  struct mesh mesh;       /* the node */
  struct actions actions; /* actions of the last step */
  gint64 now;             /* time that is passed to the node */
  guint32 members;        /* number of members */
};

/* Pass EVENT to the node and drop what it asks for.  */
static void
feed (struct bench *bench, const struct event *event)
{
  actions_remove_all (&bench->actions);
  mesh_step (&bench->mesh, event, bench->now, &bench->actions);
}

/* Fill in the record of member I.  */
static void
fill_member (struct fleet_member *member, guint i)
{
  g_snprintf (member->name, sizeof member->name, "host-zone-%u-%u", i % 5, i);
  g_snprintf (member->zone, sizeof member->zone, "zone-%u", i % 5);
  g_snprintf (member->service, sizeof member->service, "service-%u",
              i % SERVICES);
  g_snprintf (member->instance.id, sizeof member->instance.id, "s-%u", i);
  member->instance.started_at_msec = 5;
  member->peer_address.port = 7000;
  member->incarnation = 1000 + i;
  member->slots = 16;
  member->state = MEMBER_READY;
}

/* Return a map of the first service with SHARDS_PER_OWNER shards an owner.  */
static struct shard_map
make_map (guint32 members)
{
  struct shard_map map;
  guint owners = MAX (1, members / SERVICES);
  guint shards = MIN (owners * SHARDS_PER_OWNER, SHARDS_MAX);
  guint i;

  shard_map_init (&map, "service-0");
  for (i = 1; i < shards; i++)
    shard_map_split (&map, i * SHARD_KEY_COUNT / shards);
  for (i = 0; i < map.shards->len; i++)
    {
      struct shard *shard = shard_map_at (&map, i);
      struct fleet_member member = { 0 };
      fill_member (&member,
                   i * SERVICES % MAX (1, members) / SERVICES * SERVICES);
      shard->state = SHARD_HELD;
      shard->instance = member.instance;
      shard->fence = map.next_fence++;
      shard->owner = g_intern_string (member.name);
    }
  return map;
}

/* Give the node the records of all members and the map, from OFFSET on.  */
static void
feed_records (struct bench *bench)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  guint i;

  for (i = 0; i <= bench->members; i++)
    {
      struct fleet_entry entry = { .offset = i };
      entry.record.kind = i < bench->members ? FLEET_MEMBER : FLEET_MAP;
      if (i < bench->members)
        fill_member (&entry.record.u.member, i);
      else
        entry.record.u.map = make_map (bench->members);
      fleet_record_set_key (&entry.record);
      g_array_append_val (entries, entry);
    }
  event.u.fleet_records.items = (const void *)entries->data;
  event.u.fleet_records.count = entries->len;
  event.u.fleet_records.next_offset = entries->len;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = TRUE;
  event.u.fleet_records.started_at = bench->now;
  feed (bench, &event);
  for (i = 0; i < entries->len; i++)
    fleet_record_clear (
        &g_array_index (entries, struct fleet_entry, i).record);
  g_array_free (entries, TRUE);
}

/* Give the node a route to each service.  */
static void
feed_routing (struct bench *bench)
{
  struct event event = { .kind = EVENT_ROUTING };
  guint i;

  event.u.routing.routing = routing_new (1);
  for (i = 0; i < SERVICES; i++)
    {
      char prefix[NAME_SIZE];
      char name[NAME_SIZE];
      struct route_share share = { .service = name, .weight = 1 };
      struct route route = { .host = "h",
                             .path_prefix = prefix,
                             .run_class = RUN_IDEMPOTENT,
                             .timeout_usec = (gint64)10 * USEC_PER_SEC,
                             .max_attempts = 2,
                             .share_count = 1,
                             .shares = &share };
      struct route_service service = { .sharded = i == 0 };
      g_snprintf (prefix, sizeof prefix, "/%u/", i);
      g_snprintf (name, sizeof name, "service-%u", i);
      g_strlcpy (service.name, name, sizeof service.name);
      routing_add_route (event.u.routing.routing, &route);
      g_array_append_val (event.u.routing.routing->services, service);
    }
  feed (bench, &event);
}

/* Give the node the heartbeat NUMBER of its server.  */
static void
feed_heartbeat (struct bench *bench, guint64 number)
{
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);
  struct fleet_member self = { 0 };

  fill_member (&self, 0);
  heartbeat->instance = self.instance;
  g_strlcpy (heartbeat->service, "service-0", sizeof heartbeat->service);
  heartbeat->sequence = number;
  heartbeat->slots = 16;
  event.u.heartbeat.heartbeat = heartbeat;
  feed (bench, &event);
  g_free (heartbeat);
}

/* Give the node gossip of member FROM.  */
static void
feed_gossip (struct bench *bench, guint from, guint64 sequence)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };
  struct fleet_member member = { 0 };
  guint i;

  fill_member (&member, from);
  g_strlcpy (call.u.gossip.name, member.name, NAME_SIZE);
  call.u.gossip.incarnation = member.incarnation;
  call.u.gossip.sequence = sequence;
  call.u.gossip.applied_offset = bench->members + 1;
  call.u.gossip.config_version = 1;
  call.u.gossip.load.slots = 16;
  call.u.gossip.report_count = MIN (GOSSIP_REPORTS, bench->members);
  for (i = 0; i < call.u.gossip.report_count; i++)
    call.u.gossip.reports[i].incarnation
        = 1000 + (from + i * 7) % bench->members;
  event.u.mesh_call.call = &call;
  feed (bench, &event);
}

/* Give the node a request for service SERVICE and end it.  */
static void
feed_request (struct bench *bench, guint service, guint number)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct event gone = { .kind = EVENT_DISCONNECTED };
  char target[NAME_SIZE];

  g_snprintf (target, sizeof target, "/%u/x", service);
  g_snprintf (event.u.request.request.key, KEY_SIZE, "%u",
              number * 7919 % SHARD_KEY_COUNT);
  event.u.request.exchange = handle_make (1 + number % 64, 1 + number / 64);
  event.u.request.request.deadline = bench->now + USEC_PER_SEC;
  event.u.request.host = "h";
  event.u.request.target = target;
  feed (bench, &event);
  gone.u.disconnected.exchange = event.u.request.exchange;
  feed (bench, &gone);
}

/* What is timed.  */
enum bench_part
{
  BENCH_TICK,
  BENCH_GOSSIP,
  BENCH_HEARTBEAT,
  BENCH_KEYED,
  BENCH_UNKEYED,
  BENCH_PARTS
};

static const char *const part_names[BENCH_PARTS]
    = { "tick", "gossip message", "heartbeat", "keyed request",
        "request without a key" };

/* Do PART once, for the time numbered ROUND.  */
static void
do_part (struct bench *bench, enum bench_part part, guint round)
{
  struct event tick = { .kind = EVENT_TICK };

  switch (part)
    {
    case BENCH_TICK:
      bench->now += TICK_USEC;
      feed (bench, &tick);
      break;
    case BENCH_GOSSIP:
      feed_gossip (bench, 1 + round % (bench->members - 1), round + 1);
      break;
    case BENCH_HEARTBEAT:
      bench->now += TICK_USEC;
      feed_heartbeat (bench, round + 2);
      break;
    case BENCH_KEYED:
      feed_request (bench, 0, round);
      break;
    case BENCH_UNKEYED:
      feed_request (bench, 1, ROUNDS + round);
      break;
    case BENCH_PARTS:
      break;
    }
}

/* Time all parts at a node with MEMBERS members.  */
static void
run (guint32 members)
{
  struct bench *bench = g_new0 (struct bench, 1);
  struct mesh_settings settings
      = { .service = "service-0",
          .zone = "zone-0",
          .incarnation = 1000,
          .heartbeat_usec = 900000,
          .max_grant_usec = (gint64)10 * USEC_PER_SEC,
          .drain_limit_usec = (gint64)2 * USEC_PER_SEC,
          .stop_grace_usec = (gint64)6 * USEC_PER_SEC };
  struct fleet_member self = { 0 };
  enum bench_part part;
  guint round;

  fill_member (&self, 0);
  g_strlcpy (settings.name, self.name, sizeof settings.name);
  bench->now = START;
  bench->members = members;
  actions_init (&bench->actions);
  mesh_init (&bench->mesh, &settings, bench->now);
  feed_records (bench);
  feed_routing (bench);
  feed_heartbeat (bench, 1);
  for (part = 0; part < BENCH_PARTS; part++)
    {
      struct scale_start start = scale_begin ();
      for (round = 0; round < ROUNDS; round++)
        do_part (bench, part, round);
      scale_print (part_names[part], members,
                   (gdouble)scale_end (start).cpu_usec / ROUNDS, "usec");
    }
  mesh_clear (&bench->mesh);
  actions_clear (&bench->actions);
  g_free (bench);
}

int
main (int argc, char **argv)
{
  static const guint32 sizes[] = { 30, 194, 300, 3000, 17000 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    if (argc < 2 || g_ascii_strtoull (argv[1], NULL, 10) == sizes[i])
      run (sizes[i]);
  return 0;
}
