#include "edge/mesh_explain_json.h"

#include "edge/json.h"

/* Begin the object that is the member NAME.  */
static void
begin_object (JsonBuilder *builder, const char *name)
{
  json_builder_set_member_name (builder, name);
  json_builder_begin_object (builder);
}

/* Add ROUTE as the member "route".  */
static void
add_route (JsonBuilder *builder, const struct route *route)
{
  begin_object (builder, "route");
  json_add_string (builder, "name", route->name);
  json_add_string (builder, "path_prefix", route->path_prefix);
  json_add_number (builder, "priority", route->priority);
  json_add_string (builder, "run_class",
                   route->run_class == RUN_ONCE ? "at-most-once"
                                                : "idempotent");
  json_add_number (builder, "timeout_ms", route->timeout_usec / USEC_PER_MSEC);
  json_add_number (builder, "target_ms",
                   route->target_latency_usec / USEC_PER_MSEC);
  json_builder_end_object (builder);
}

/* Return the name of STATE.  */
static const char *
shard_state_name (enum shard_state state)
{
  switch (state)
    {
    case SHARD_FREE:
      return "free";
    case SHARD_HELD:
      return "held";
    case SHARD_LOST:
      return "lost";
    }
  return "";
}

/* Add OWNER as the member "shard".  */
static void
add_owner (JsonBuilder *builder, const struct mesh_explained_owner *owner)
{
  const struct shard *shard = &owner->shard;

  begin_object (builder, "shard");
  json_add_number (builder, "first", shard->first);
  json_add_number (builder, "last", shard->last);
  json_add_string (builder, "state", shard_state_name (shard->state));
  json_add_number (builder, "fence", (gint64)shard->fence);
  json_add_string (builder, "owner", shard->owner);
  json_add_string (builder, "next_owner", shard->next_owner);
  json_add_boolean (builder, "is_member", owner->is_member);
  json_add_string (builder, "zone", owner->zone);
  json_add_boolean (builder, "is_local", owner->is_local);
  json_add_boolean (builder, "is_evacuated", owner->is_evacuated);
  json_add_boolean (builder, "serves_key", owner->serves_key);
  json_add_string (builder, "obstacle", mesh_obstacle_name (owner->obstacle));
  json_add_number (builder, "heard_ms", owner->heard_age_msec);
  json_builder_end_object (builder);
}

/* Return how SERVER stands in the choice.  */
static const char *
verdict (const struct mesh_explained_server *server)
{
  if (server->is_taken)
    return "taken";
  if (server->obstacle != MESH_OBSTACLE_NONE)
    return mesh_obstacle_name (server->obstacle);
  return server->is_drawn ? "costs-more" : "not-drawn";
}

/* Add SERVER to an array.  */
static void
add_server (JsonBuilder *builder, const struct mesh_explained_server *server)
{
  json_builder_begin_object (builder);
  json_add_string (builder, "name", server->name);
  json_add_string (builder, "verdict", verdict (server));
  json_add_string (builder, "zone", server->zone);
  json_add_boolean (builder, "is_local", server->is_local);
  json_add_boolean (builder, "is_near", server->is_near);
  if (server->is_drawn)
    json_add_number (builder, "cost_ms", server->cost_usec / USEC_PER_MSEC);
  json_add_number (builder, "running", server->load.running);
  json_add_number (builder, "waiting", server->load.waiting);
  json_add_number (builder, "slots", server->slots);
  json_add_number (builder, "in_flight", server->in_flight);
  json_add_number (builder, "run_ms",
                   server->load.mean_run_usec / USEC_PER_MSEC);
  json_add_number (builder, "failed_permille", server->load.failed_permille);
  json_add_number (builder, "cold_left_ms", server->load.warmup_msec);
  json_add_number (builder, "load_ms", server->load_age_msec);
  json_add_number (builder, "heard_ms", server->heard_age_msec);
  json_builder_end_object (builder);
}

/* Return what ADMISSION does with the request.  */
static const char *
admission_name (const struct mesh_explained_admission *admission)
{
  if (admission->awaits_grant)
    return "waits";
  switch (admission->result)
    {
    case ADMISSION_RUN:
      return "run";
    case ADMISSION_QUEUE:
      return "queue";
    case ADMISSION_REFUSE:
      return "refuse";
    }
  return "";
}

/* Add ADMISSION as the member "admission".  */
static void
add_admission (JsonBuilder *builder,
               const struct mesh_explained_admission *admission)
{
  const struct admission_forecast *forecast = &admission->forecast;

  begin_object (builder, "admission");
  json_add_string (builder, "result", admission_name (admission));
  json_add_string (builder, "reason", reason_name (admission->reason));
  json_add_number (builder, "busy", admission->busy_slots);
  json_add_number (builder, "slots", admission->slots);
  json_add_number (builder, "waiting", admission->waiting);
  json_add_number (builder, "cold_left_ms", admission->cold_left_msec);
  if (admission->has_forecast)
    {
      json_add_number (builder, "ahead", forecast->requests_ahead);
      json_add_number (builder, "wait_ms",
                       forecast->wait_usec / USEC_PER_MSEC);
      json_add_number (builder, "run_ms", forecast->run_usec / USEC_PER_MSEC);
      json_add_number (builder, "free_milli", forecast->free_milli);
    }
  json_builder_end_object (builder);
}

/* Add the servers of EXPLANATION as the member "servers".  */
static void
add_servers (JsonBuilder *builder, const struct mesh_explanation *explanation)
{
  guint i;

  json_add_number (builder, "busy_permille", explanation->busy_permille);
  json_builder_set_member_name (builder, "servers");
  json_builder_begin_array (builder);
  for (i = 0; i < explanation->servers->len; i++)
    add_server (builder, &g_array_index (explanation->servers,
                                         struct mesh_explained_server, i));
  json_builder_end_array (builder);
}

/* Return EXPLANATION as JSON text.  Free it with g_free.  */
char *
mesh_explain_json (const struct mesh_explanation *explanation)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_add_string (builder, "outcome",
                   mesh_explained_end_name (explanation->end));
  json_add_string (builder, "to", explanation->member);
  json_add_string (builder, "reason", reason_name (explanation->reason));
  json_add_number (builder, "retry_after_ms", explanation->retry_msec);
  json_add_number (builder, "config", (gint64)explanation->config_version);
  json_add_number (builder, "config_ms", explanation->config_age_msec);
  if (explanation->has_route)
    {
      add_route (builder, &explanation->route);
      json_add_string (builder, "service", explanation->service);
      json_add_boolean (builder, "is_sharded", explanation->is_sharded);
      if (explanation->owner.has_shard)
        add_owner (builder, &explanation->owner);
      if (!explanation->is_sharded)
        add_servers (builder, explanation);
      if (explanation->has_admission)
        add_admission (builder, &explanation->admission);
    }
  json_builder_end_object (builder);
  return json_finish (builder);
}
