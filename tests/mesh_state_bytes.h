#ifndef TESTS_MESH_STATE_BYTES_H
#define TESTS_MESH_STATE_BYTES_H

#include "mesh/mesh.h"

/* The state of a node as bytes, by which two states are compared.  */

/* Append COUNT bytes at DATA to BYTES.  */
static inline void
add_bytes (GByteArray *bytes, const void *data, gsize count)
{
  g_byte_array_append (bytes, data, (guint)count);
}

/* Append the items of TABLE to BYTES.  */
static inline void
add_table (GByteArray *bytes, const struct table *table)
{
  struct handle h = table_next (table, HANDLE_NONE);

  add_bytes (bytes, &table->count, sizeof table->count);
  for (; handle_is_set (h); h = table_next (table, h))
    add_bytes (bytes, table_get (table, h), table->item_size);
}

/* Return the state of MESH as bytes: the struct and all that a request
   changes or that is passed to functions that could change it.  */
static inline GByteArray *
state_of (const struct mesh *mesh)
{
  GByteArray *bytes = g_byte_array_new ();
  guint index_size = g_hash_table_size (mesh->peers_by_incarnation);
  guint i;

  add_bytes (bytes, mesh, sizeof *mesh);
  add_table (bytes, &mesh->peers);
  add_table (bytes, &mesh->requests);
  add_table (bytes, &mesh->fleet.members);
  add_bytes (bytes, &index_size, sizeof index_size);
  add_bytes (bytes, mesh->routing->routes->data,
             mesh->routing->routes->len * sizeof (struct route));
  for (i = 0; i < mesh->routing->routes->len; i++)
    {
      const struct route *route
          = &g_array_index (mesh->routing->routes, struct route, i);
      add_bytes (bytes, route->shares,
                 route->share_count * sizeof *route->shares);
    }
  add_bytes (bytes, mesh->retry_budgets->data,
             mesh->retry_budgets->len * sizeof (struct mesh_retry_budget));
  add_bytes (bytes, mesh->admission.queue->data,
             mesh->admission.queue->len * sizeof (struct admission_waiter));
  add_bytes (bytes, mesh->key_rate.counts,
             SHARD_KEY_COUNT * sizeof *mesh->key_rate.counts);
  for (i = 0; i < mesh->fleet.shard_maps->len; i++)
    {
      const struct shard_map *map
          = g_ptr_array_index (mesh->fleet.shard_maps, i);
      add_bytes (bytes, map->shards->data,
                 map->shards->len * sizeof (struct shard));
    }
  return bytes;
}

#endif
