#include "mesh/mesh_trial.h"

/* Make TRIAL a copy of MESH.  Clear it with mesh_trial_clear.  */
void
mesh_trial_init (struct mesh *trial, const struct mesh *mesh)
{
  *trial = *mesh;
  trial->routing = routing_copy (mesh->routing);
  trial->admission.queue = g_array_copy (mesh->admission.queue);
  trial->key_rate.counts = g_memdup2 (
      mesh->key_rate.counts, SHARD_KEY_COUNT * sizeof *mesh->key_rate.counts);
  table_copy (&trial->peers, &mesh->peers);
  table_copy (&trial->requests, &mesh->requests);
  trial->retry_budgets = g_array_copy (mesh->retry_budgets);
  /* A look-up in the index changes it.  */
  trial->peers_by_incarnation
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

/* Free what TRIAL does not share with the mesh that it is a copy of.  */
void
mesh_trial_clear (struct mesh *trial)
{
  routing_free (trial->routing);
  g_array_free (trial->admission.queue, TRUE);
  g_free (trial->key_rate.counts);
  table_clear (&trial->peers);
  table_clear (&trial->requests);
  g_array_free (trial->retry_budgets, TRUE);
  g_hash_table_destroy (trial->peers_by_incarnation);
}
