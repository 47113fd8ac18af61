#include "bench/policy.h"
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
  const char *name;         /* its name */
  guint32 slice_count;      /* of its divided service */
  guint32 server_count;     /* of that service, a zone each */
  guint32 slots_per_server; /* of each server */
};

static const struct deployment deployments[]
    = { { "wales", 96, 3, 20 }, { "yogyakarta", 48, 3, 5 } };

/* What befalls the fleet.  */
enum bench_case
{
  CASE_SKEWED_LOAD,    /* the evening rush */
  CASE_HOT_KEY,        /* a hot key */
  CASE_JOIN,           /* a server joins */
  CASE_LEAVE,          /* a server leaves */
  CASE_LOSS,           /* a server is lost */
  CASE_LOSS_IN_OUTAGE, /* a server is lost while the log is down */
  CASE_COUNT
};

static const char *const case_names[]
    = { "evening rush", "hot key", "join",
        "leave",        "loss",    "loss in a log outage" };

/* Give a slice of its own to each key that has shown a share of HOT_LIMIT of
   the load of one of the SERVERS.  */
static void
heat (struct fleet *fleet, const struct workload *rush, guint32 servers)
{
  const struct view_service *service = fleet_service (fleet);
  gdouble limit = (gdouble)rush->request_count / servers * HOT_LIMIT;
  guint32 i;

  for (i = 0; i < rush->key_count; i++)
    {
      struct record record
          = { .version = RECORD_VERSION, .kind = RECORD_HOT_KEY };
      struct record_hot_key *body = &record.body.hot_key;
      if ((gdouble)rush->training_counts[i] < limit)
        continue;
      g_strlcpy (body->service, FLEET_SERVICE, sizeof body->service);
      workload_key_name (i, body->key, sizeof body->key);
      body->slice.epoch
          = view_slice_at (service, slice_of_key (service, body->key))->epoch;
      fleet_apply (fleet, &record);
    }
}

/* Teach PLANNER what RUSH has shown of the slices.  */
static void
learn (struct planner *planner, const struct fleet *fleet,
       const struct workload *rush)
{
  const struct view_service *service = fleet_service (fleet);
  gdouble unit = (gdouble)service->slices->len / (gdouble)rush->request_count;
  char name[KEY_SIZE];
  guint32 i;

  g_array_set_size (planner->slice_weights, service->slices->len);
  for (i = 0; i < service->slices->len; i++)
    g_array_index (planner->slice_weights, gdouble, i) = PRIOR_WEIGHT;
  for (i = 0; i < rush->key_count; i++)
    {
      workload_key_name (i, name, sizeof name);
      g_array_index (planner->slice_weights, gdouble,
                     slice_of_key (service, name))
          += (gdouble)rush->training_counts[i] * unit;
    }
}

/* Let TROUBLE befall FLEET.  Return the number of keys that must move at
   least, where OWNERS owned them, or 0 if none must.  */
static guint32
befall (struct fleet *fleet, const struct deployment *deployment,
        enum bench_case trouble, const struct workload *rush,
        const guint64 *owners)
{
  guint32 lost = 0;
  guint32 i;

  for (i = 0; i < rush->key_count; i++)
    if (owners[i] == 1)
      lost++;
  switch (trouble)
    {
    case CASE_SKEWED_LOAD:
    case CASE_HOT_KEY:
    case CASE_COUNT:
      return 0;
    case CASE_JOIN:
      fleet_join (fleet, 0, deployment->slots_per_server);
      return rush->key_count / (deployment->server_count + 1);
    case CASE_LEAVE:
      fleet_leave (fleet, 1);
      return lost;
    case CASE_LOSS:
    case CASE_LOSS_IN_OUTAGE:
      fleet_remove (fleet, 1);
      return lost;
    }
  return 0;
}

/* Run TROUBLE in DEPLOYMENT by WAY and print one row.  */
static void
run_policy (const struct deployment *deployment, enum bench_case trouble,
            enum policy way, const struct workload *rush)
{
  guint64 *before = g_new (guint64, rush->key_count);
  guint64 *after = g_new (guint64, rush->key_count);
  gint64 now = G_USEC_PER_SEC;
  struct planner planner;
  struct fleet fleet;
  guint32 least;
  guint32 moved;
  guint32 i;

  fleet_init (&fleet, deployment->slice_count);
  planner_init (&planner);
  for (i = 0; i < deployment->server_count; i++)
    fleet_join (&fleet, i, deployment->slots_per_server);
  fleet_plan (&fleet, &planner, now, ROUNDS);
  heat (&fleet, rush, deployment->server_count);
  learn (&planner, &fleet, rush);
  if (trouble > CASE_HOT_KEY)
    fleet_plan (&fleet, &planner, now, ROUNDS);
  policy_owners (&fleet, way, rush, before);
  least = befall (&fleet, deployment, trouble, rush, before);
  if (trouble != CASE_LOSS_IN_OUTAGE)
    fleet_plan (&fleet, &planner, now + (gint64)60 * G_USEC_PER_SEC, ROUNDS);
  policy_owners (&fleet, way, rush, after);
  moved = policy_keys_moved (rush, before, after);
  printf ("| %s | %s | %s | %.2f | %u | %u | ", deployment->name,
          case_names[trouble], policy_name (way),
          policy_imbalance (&fleet, rush, after), moved, least);
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
    for (t = 0; t < CASE_COUNT; t++)
      {
        struct workload rush;
        workload_draw (&rush, KEYS, EXPONENT,
                       t == CASE_HOT_KEY ? HOT_SHARE : 0, DRAWS, seed + t);
        for (w = 0; w < POLICY_COUNT; w++)
          run_policy (&deployments[d], t, w, &rush);
        workload_clear (&rush);
      }
  return 0;
}
