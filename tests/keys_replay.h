#ifndef TESTS_KEYS_REPLAY_H
#define TESTS_KEYS_REPLAY_H

#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

#include <math.h>

/* Replays the moves of keys between many owners, without a network.  The nodes
   are real and decide at their servers' heartbeats; the replay plays requests,
   run times, load reports, releases and appends of maps.  */

#define KEYS_OWNERS 40u
#define KEYS_ENTRIES 81u /* nodes at which requests enter */
#define KEYS_SLOTS 6u
#define KEYS_RUN_USEC 100000.0 /* mean run at a server of speed 1 */
#define KEYS_ASKED 5000u       /* keys that are asked for */
#define KEYS_STEP_USEC (5 * MSEC)
#define KEYS_HEARTBEAT_USEC (900 * MSEC)
#define KEYS_GOSSIP_USEC (300 * MSEC)
#define KEYS_RELEASE_USEC (180 * MSEC) /* heartbeat to release */
#define KEYS_APPEND_USEC (60 * MSEC)   /* a map is written */
#define KEYS_SLOW_USEC (400 * MSEC)
#define KEYS_SLOW_GAP_USEC 3600000.0
#define KEYS_SLOW_FACTOR 3.0
#define KEYS_CHANGED_OWNER 5u /* owner whose speed may change */
#define KEYS_CHANGE_USEC (30 * USEC_PER_SEC)

/* An owner of keys.  */
struct keys_owner
{
  struct mesh mesh;
  gdouble speed;
  gint64 heartbeat_at; /* next heartbeat */
  gint64 gossip_at;    /* next gossip */
  gint64 released_at;  /* when its planned handoffs are released, 0: none */
  gint64 slow_until;
  gint64 next_slow_at;
  gdouble work;      /* slot-seconds of the present second */
  gdouble work_long; /* slot-seconds of the present long window */
};

/* What a replay shows from a time on.  */
struct keys_result
{
  gdouble busiest;      /* busiest owner in multiples of the mean, in a
                           second */
  gdouble busiest_long; /* the same in windows of 5 s */
  guint maps;           /* maps written */
  guint moves;          /* ranges moved */
  guint shards;         /* shards of the map in the end */
  gdouble changed; /* work of the owner whose speed changed in multiples of
                      the mean, in windows of 5 s */
  gdouble unheld;  /* share of the requests whose key had no holder */
};

struct keys_replay
{
  struct keys_owner owners[KEYS_OWNERS];
  struct actions actions;
  GArray *candidates;
  struct shard_map map;
  gint64 held_from[SHARD_KEY_COUNT]; /* when the owner of a key is granted
                                        it */
  guint8 owner_of[SHARD_KEY_COUNT];
  guint32 asked[KEYS_ASKED]; /* keys that are asked for */
  gdouble share[KEYS_ASKED]; /* cumulated shares of the requests for them */
  GRand *random;
  gint64 now;
  gint64 last_append_at;
  guint maps;
  guint moves;
  guint requests;
  guint unheld;
};

/* Return the name of owner K.  */
static inline const char *
keys_name (guint k, char *name)
{
  g_snprintf (name, NAME_SIZE, "o%02u", k);
  return name;
}

/* Return an exponentially distributed random number with MEAN.  */
static inline gdouble
keys_exponential (struct keys_replay *replay, gdouble mean)
{
  return -log (g_rand_double_range (replay->random, 1e-12, 1)) * mean;
}

/* Set up the node of owner K, which knows the records of all owners.  */
static inline void
keys_init_owner (struct keys_replay *replay, guint k)
{
  struct keys_owner *owner = &replay->owners[k];
  struct mesh_settings settings = { .service = OWN_SERVICE,
                                    .incarnation = 100 + k,
                                    .heartbeat_usec = KEYS_HEARTBEAT_USEC };
  guint i;

  keys_name (k, settings.name);
  mesh_init (&owner->mesh, &settings, replay->now);
  owner->mesh.admission.slots = KEYS_SLOTS;
  owner->mesh.grant.heartbeat_received = TRUE;
  for (i = 0; i < KEYS_OWNERS; i++)
    {
      struct fleet_entry entry
          = { .offset = i, .record = { .kind = FLEET_MEMBER } };
      struct fleet_member *member = &entry.record.u.member;
      struct handle h;
      keys_name (i, member->name);
      keys_name (i, member->instance.id);
      g_strlcpy (member->service, OWN_SERVICE, sizeof member->service);
      member->incarnation = 100 + i;
      member->slots = KEYS_SLOTS;
      fleet_record_set_key (&entry.record);
      fleet_state_apply (&owner->mesh.fleet, &entry, replay->now);
      h = fleet_state_find (&owner->mesh.fleet, member->name);
      if (i != k)
        peer_state_on_record (table_mirror (&owner->mesh.peers, h), member,
                              replay->now);
    }
}

/* Give all owners the same number of keys, and fix how often each key is asked
   for.  */
static inline void
keys_init_map (struct keys_replay *replay)
{
  gdouble sum = 0;
  guint i;

  shard_map_init (&replay->map, OWN_SERVICE);
  for (i = 1; i < KEYS_OWNERS; i++)
    shard_map_split (&replay->map, SHARD_KEY_COUNT / KEYS_OWNERS * i);
  for (i = 0; i < KEYS_OWNERS; i++)
    {
      struct shard *shard = shard_map_at (&replay->map, i);
      shard->state = SHARD_HELD;
      shard->fence = i + 1;
      shard->owner = g_intern_string (keys_name (i, shard->instance.id));
      memset (&replay->owner_of[shard->first], (int)i,
              shard_key_count (shard));
    }
  for (i = 0; i < KEYS_ASKED; i++)
    {
      replay->asked[i] = (guint32)g_rand_int_range (replay->random, 0,
                                                    (gint)SHARD_KEY_COUNT);
      sum += pow (i + 20, -0.8);
      replay->share[i] = sum;
    }
  for (i = 0; i < KEYS_ASKED; i++)
    replay->share[i] /= sum;
}

/* Return a key by how often each is asked for.  */
static inline guint32
keys_draw (struct keys_replay *replay)
{
  gdouble share = g_rand_double (replay->random);
  guint low = 0;
  guint high = KEYS_ASKED - 1;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      if (replay->share[middle] < share)
        low = middle + 1;
      else
        high = middle;
    }
  return replay->asked[low];
}

/* Tell owner TO the load of owner FROM.  */
static inline void
keys_report (struct keys_replay *replay, guint from, guint to)
{
  struct mesh *mesh = &replay->owners[to].mesh;
  struct load_report load
      = mesh_load_report (&replay->owners[from].mesh, replay->now);
  char name[NAME_SIZE];

  load.next_heartbeat_msec
      = (guint32)(MAX (0, replay->owners[from].heartbeat_at - replay->now)
                  / MSEC);
  if (from != to)
    peer_state_on_load (
        table_mirror (&mesh->peers,
                      fleet_state_find (&mesh->fleet, keys_name (from, name))),
        &load, replay->now);
}

/* Play a request.  */
static inline void
keys_request (struct keys_replay *replay)
{
  guint32 key = keys_draw (replay);
  guint k = replay->owner_of[key];
  struct keys_owner *owner = &replay->owners[k];
  guint entry
      = (guint)g_rand_int_range (replay->random, 0, (gint)KEYS_ENTRIES);
  gdouble usec = KEYS_RUN_USEC / owner->speed
                 * g_rand_double_range (replay->random, 0.5, 1.5);

  replay->requests++;
  if (replay->now < replay->held_from[key])
    replay->unheld++;
  owner->work += usec / 1e6;
  owner->work_long += usec / 1e6;
  key_rate_add (&owner->mesh.key_rate, key);
  if (replay->now < owner->slow_until)
    usec *= KEYS_SLOW_FACTOR;
  run_times_add (&owner->mesh.run_times, 1, (gint64)usec);
  if (entry < KEYS_OWNERS)
    keys_report (replay, k, entry);
}

#endif
