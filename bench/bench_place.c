#include "bench/policy.h"
#include "decide/slice.h"

#include <stdio.h>
#include <stdlib.h>

/* Compares placement by plans with two baseline policies: prints the load
   imbalance and the keys moved (churn) for the same random requests.
   Usage: bench_place SEED.  */

#define KEY_COUNT 20000u      /* distinct keys */
#define REQUEST_COUNT 200000u /* training requests; as many for evaluation */
#define ZIPF_EXPONENT 0.9     /* of the skewed load */
#define HOT_KEY_SHARE 0.25    /* of all requests */
#define MAX_PLANS 256u        /* upper bound on the plans made at once */
#define HOT_KEY_LIMIT 0.1     /* of the mean load of a server */
#define PRIOR_WEIGHT 0.1      /* weight of a slice without requests */

/* An example deployment with one sharded service.  */
struct deployment
{
  const char *name;         /* its folder under examples/ */
  guint32 slice_count;      /* slices of the sharded service */
  guint32 server_count;     /* servers of that service, one in each zone */
  guint32 slots_per_server; /* request slots of each server */
};

static const struct deployment deployments[]
    = { { "wales", 96, 3, 20 }, { "yogyakarta", 48, 3, 5 } };

/* A load or a change of the fleet that the policies are compared under.  */
enum bench_case
{
  CASE_SKEWED_LOAD,    /* Zipf-distributed load */
  CASE_HOT_KEY,        /* the same with one hot key */
  CASE_JOIN,           /* a server joins */
  CASE_LEAVE,          /* a server leaves as planned */
  CASE_LOSS,           /* a server is lost */
  CASE_LOSS_IN_OUTAGE, /* the same while the log is down: no plans */
  CASE_COUNT
};

static const char *const case_names[]
    = { "skewed load", "hot key", "join",
        "leave",       "loss",    "loss in a log outage" };

/* Give a slice of its own to each key whose training requests are at least
   HOT_KEY_LIMIT of the mean load of the SERVERS.  */
static void
split_hot_keys (struct fleet *fleet, const struct workload *workload,
                guint32 servers)
{
  const struct view_service *service = fleet_service (fleet);
  gdouble min_requests
      = (gdouble)workload->request_count / servers * HOT_KEY_LIMIT;
  guint32 i;

  for (i = 0; i < workload->key_count; i++)
    {
      struct record record
          = { .version = RECORD_VERSION, .kind = RECORD_HOT_KEY };
      struct record_hot_key *body = &record.body.hot_key;
      if ((gdouble)workload->training_counts[i] < min_requests)
        continue;
      g_strlcpy (body->service, FLEET_SERVICE, sizeof body->service);
      workload_key_name (i, body->key, sizeof body->key);
      body->slice.epoch
          = view_slice_at (service, slice_of_key (service, body->key))->epoch;
      fleet_apply (fleet, &record);
    }
}

/* Set the slice weights of PLANNER from the training requests of WORKLOAD.  */
static void
set_slice_weights (struct planner *planner, const struct fleet *fleet,
                   const struct workload *workload)
{
  const struct view_service *service = fleet_service (fleet);
  gdouble weight_per_request
      = (gdouble)service->slices->len / (gdouble)workload->request_count;
  char name[KEY_SIZE];
  guint32 i;

  g_array_set_size (planner->slice_weights, service->slices->len);
  for (i = 0; i < service->slices->len; i++)
    g_array_index (planner->slice_weights, gdouble, i) = PRIOR_WEIGHT;
  for (i = 0; i < workload->key_count; i++)
    {
      workload_key_name (i, name, sizeof name);
      g_array_index (planner->slice_weights, gdouble,
                     slice_of_key (service, name))
          += (gdouble)workload->training_counts[i] * weight_per_request;
    }
}

/* Apply BENCH_CASE to FLEET.  OWNERS are the owners of the keys before it.
   Return the least number of keys that must move, or 0 if none must.  */
static guint32
apply_case (struct fleet *fleet, const struct deployment *deployment,
            enum bench_case bench_case, const struct workload *workload,
            const guint64 *owners)
{
  guint32 owned_count = 0;
  guint32 i;

  for (i = 0; i < workload->key_count; i++)
    if (owners[i] == 1)
      owned_count++;
  switch (bench_case)
    {
    case CASE_SKEWED_LOAD:
    case CASE_HOT_KEY:
    case CASE_COUNT:
      return 0;
    case CASE_JOIN:
      fleet_join (fleet, 0, deployment->slots_per_server);
      return workload->key_count / (deployment->server_count + 1);
    case CASE_LEAVE:
      fleet_leave (fleet, 1);
      return owned_count;
    case CASE_LOSS:
    case CASE_LOSS_IN_OUTAGE:
      fleet_remove (fleet, 1);
      return owned_count;
    }
  return 0;
}

/* Run BENCH_CASE in DEPLOYMENT with POLICY and print a table row.  */
static void
run_policy (const struct deployment *deployment, enum bench_case bench_case,
            enum policy policy, const struct workload *workload)
{
  guint64 *owners_before = g_new (guint64, workload->key_count);
  guint64 *owners_after = g_new (guint64, workload->key_count);
  gint64 now = G_USEC_PER_SEC;
  struct planner planner;
  struct fleet fleet;
  guint32 least_moved;
  guint32 moved;
  guint32 i;

  fleet_init (&fleet, deployment->slice_count);
  planner_init (&planner);
  for (i = 0; i < deployment->server_count; i++)
    fleet_join (&fleet, i, deployment->slots_per_server);
  fleet_plan (&fleet, &planner, now, MAX_PLANS);
  split_hot_keys (&fleet, workload, deployment->server_count);
  set_slice_weights (&planner, &fleet, workload);
  if (bench_case > CASE_HOT_KEY)
    fleet_plan (&fleet, &planner, now, MAX_PLANS);
  policy_owners (&fleet, policy, workload, owners_before);
  least_moved
      = apply_case (&fleet, deployment, bench_case, workload, owners_before);
  if (bench_case != CASE_LOSS_IN_OUTAGE)
    fleet_plan (&fleet, &planner, now + (gint64)60 * G_USEC_PER_SEC,
                MAX_PLANS);
  policy_owners (&fleet, policy, workload, owners_after);
  moved = policy_keys_moved (workload, owners_before, owners_after);
  printf ("| %s | %s | %s | %.2f | %u | %u | ", deployment->name,
          case_names[bench_case], policy_name (policy),
          policy_imbalance (&fleet, workload, owners_after), moved,
          least_moved);
  if (least_moved > 0)
    printf ("%.2f |\n", (gdouble)moved / least_moved);
  else
    printf ("- |\n");
  planner_clear (&planner);
  fleet_clear (&fleet);
  g_free (owners_before);
  g_free (owners_after);
}

int
main (int argc, char **argv)
{
  guint64 seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  guint d;
  guint t;
  guint w;

  printf ("seed %" G_GUINT64_FORMAT ", %u keys, Zipf %.1f, hot key %.0f%%\n\n",
          seed, KEY_COUNT, ZIPF_EXPONENT, HOT_KEY_SHARE * 100);
  printf ("| deployment | case | policy | imbalance | keys moved | least "
          "possible | churn |\n|---|---|---|---|---|---|---|\n");
  for (d = 0; d < G_N_ELEMENTS (deployments); d++)
    for (t = 0; t < CASE_COUNT; t++)
      {
        struct workload workload;
        workload_draw (&workload, KEY_COUNT, ZIPF_EXPONENT,
                       t == CASE_HOT_KEY ? HOT_KEY_SHARE : 0, REQUEST_COUNT,
                       seed + t);
        for (w = 0; w < POLICY_COUNT; w++)
          run_policy (&deployments[d], t, w, &workload);
        workload_clear (&workload);
      }
  return 0;
}
