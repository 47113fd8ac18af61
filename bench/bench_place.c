#include "bench/way.h"
#include "decide/slice.h"

#include <stdio.h>
#include <stdlib.h>

/* Places keys by plans and by two baselines, and prints imbalance and churn
   under the same draws.  Usage: bench_place SEED.  */

#define KEYS 20000u      /* keys drawn from */
#define DRAWS 200000u    /* requests in each half */
#define EXPONENT 0.9     /* of the evening rush's Zipf law */
#define HOT_SHARE 0.25   /* of all requests, for the hot key */
#define ROUNDS 256u      /* plans made at most */
#define HOT_LIMIT 0.1    /* of the load of one server, for a hot key */
#define PRIOR_WEIGHT 0.1 /* weight of a slice that was not asked for */

/* A deployment of the brief.  */
struct deployment
{
  const char *name; /* its name */
  guint32 slices;   /* of its divided service */
  guint32 servers;  /* of that service, a zone each */
  guint32 slots;    /* of each server */
};

static const struct deployment deployments[]
    = { { "wales", 96, 3, 20 }, { "yogyakarta", 48, 3, 5 } };

/* What befalls the fleet.  */
enum trouble
{
  TROUBLE_RUSH,   /* the evening rush */
  TROUBLE_HOT,    /* a hot key */
  TROUBLE_JOIN,   /* a server joins */
  TROUBLE_LEAVE,  /* a server leaves */
  TROUBLE_LOSS,   /* a server is lost */
  TROUBLE_OUTAGE, /* a server is lost while the log is down */
  TROUBLE_COUNT
};

static const char *const trouble_names[]
    = { "evening rush", "hot key", "join",
        "leave",        "loss",    "loss in a log outage" };

/* Give a slice of its own to each key that has shown a share of HOT_LIMIT of
   the load of one of the SERVERS.  */
static void
heat (struct fleet *fleet, const struct rush *rush, guint32 servers)
{
  const struct view_service *service = fleet_service (fleet);
  gdouble limit = (gdouble)rush->total / servers * HOT_LIMIT;
  guint32 i;

  for (i = 0; i < rush->keys; i++)
    {
      struct record record
          = { .version = RECORD_VERSION, .kind = RECORD_HOT_KEY };
      struct record_hot_key *body = &record.body.hot_key;
      if ((gdouble)rush->seen[i] < limit)
        continue;
      g_strlcpy (body->service, FLEET_SERVICE, sizeof body->service);
      rush_name (i, body->key, sizeof body->key);
      body->slice.epoch
          = view_slice_at (service, slice_of_key (service, body->key))->epoch;
      fleet_apply (fleet, &record);
    }
}

/* Teach PLANNER what RUSH has shown of the slices.  */
static void
learn (struct planner *planner, const struct fleet *fleet,
       const struct rush *rush)
{
  const struct view_service *service = fleet_service (fleet);
  gdouble unit = (gdouble)service->slices->len / (gdouble)rush->total;
  char name[KEY_SIZE];
  guint32 i;

  g_array_set_size (planner->slice_weights, service->slices->len);
  for (i = 0; i < service->slices->len; i++)
    g_array_index (planner->slice_weights, gdouble, i) = PRIOR_WEIGHT;
  for (i = 0; i < rush->keys; i++)
    {
      rush_name (i, name, sizeof name);
      g_array_index (planner->slice_weights, gdouble,
                     slice_of_key (service, name))
          += (gdouble)rush->seen[i] * unit;
    }
}

/* Let TROUBLE befall FLEET.  Return the number of keys that must move at
   least, where OWNERS owned them, or 0 if none must.  */
static guint32
befall (struct fleet *fleet, const struct deployment *deployment,
        enum trouble trouble, const struct rush *rush, const guint64 *owners)
{
  guint32 lost = 0;
  guint32 i;

  for (i = 0; i < rush->keys; i++)
    if (owners[i] == 1)
      lost++;
  switch (trouble)
    {
    case TROUBLE_RUSH:
    case TROUBLE_HOT:
    case TROUBLE_COUNT:
      return 0;
    case TROUBLE_JOIN:
      fleet_join (fleet, 0, deployment->slots);
      return rush->keys / (deployment->servers + 1);
    case TROUBLE_LEAVE:
      fleet_leave (fleet, 1);
      return lost;
    case TROUBLE_LOSS:
    case TROUBLE_OUTAGE:
      fleet_remove (fleet, 1);
      return lost;
    }
  return 0;
}

/* Run TROUBLE in DEPLOYMENT by WAY and print one row.  */
static void
run_way (const struct deployment *deployment, enum trouble trouble,
         enum way way, const struct rush *rush)
{
  guint64 *before = g_new (guint64, rush->keys);
  guint64 *after = g_new (guint64, rush->keys);
  gint64 now = G_USEC_PER_SEC;
  struct planner planner;
  struct fleet fleet;
  guint32 least;
  guint32 moved;
  guint32 i;

  fleet_init (&fleet, deployment->slices);
  planner_init (&planner);
  for (i = 0; i < deployment->servers; i++)
    fleet_join (&fleet, i, deployment->slots);
  fleet_plan (&fleet, &planner, now, ROUNDS);
  heat (&fleet, rush, deployment->servers);
  learn (&planner, &fleet, rush);
  if (trouble > TROUBLE_HOT)
    fleet_plan (&fleet, &planner, now, ROUNDS);
  way_owners (&fleet, way, rush, before);
  least = befall (&fleet, deployment, trouble, rush, before);
  if (trouble != TROUBLE_OUTAGE)
    fleet_plan (&fleet, &planner, now + (gint64)60 * G_USEC_PER_SEC, ROUNDS);
  way_owners (&fleet, way, rush, after);
  moved = way_moved (rush, before, after);
  printf ("| %s | %s | %s | %.2f | %u | %u | ", deployment->name,
          trouble_names[trouble], way_name (way),
          way_imbalance (&fleet, rush, after), moved, least);
  if (least > 0)
    printf ("%.2f |\n", (gdouble)moved / least);
  else
    printf ("- |\n");
  planner_clear (&planner);
  fleet_clear (&fleet);
  g_free (before);
  g_free (after);
}

int
main (int argc, char **argv)
{
  guint64 seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  guint d;
  guint t;
  guint w;

  printf ("seed %" G_GUINT64_FORMAT ", %u keys, Zipf %.1f, hot key %.0f%%\n\n",
          seed, KEYS, EXPONENT, HOT_SHARE * 100);
  printf ("| deployment | trouble | way | imbalance | keys moved | least "
          "possible | churn |\n|---|---|---|---|---|---|---|\n");
  for (d = 0; d < G_N_ELEMENTS (deployments); d++)
    for (t = 0; t < TROUBLE_COUNT; t++)
      {
        struct rush rush;
        rush_draw (&rush, KEYS, EXPONENT, t == TROUBLE_HOT ? HOT_SHARE : 0,
                   DRAWS, seed + t);
        for (w = 0; w < WAY_COUNT; w++)
          run_way (&deployments[d], t, w, &rush);
        rush_clear (&rush);
      }
  return 0;
}
