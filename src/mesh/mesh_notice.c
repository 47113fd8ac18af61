#include "mesh/mesh_parts.h"

/* Return the name of STATE for the log.  */
static const char *
limit_name (enum limit_notice state)
{
  switch (state)
    {
    case LIMIT_NOTICE_NONE:
      return "none";
    case LIMIT_NOTICE_NAMED:
      return "named";
    case LIMIT_NOTICE_UNREADABLE:
      return "unreadable";
    }
  return "";
}

/* Return whether A and B say the same.  */
static gboolean
notice_equal (const struct server_notice *a, const struct server_notice *b)
{
  return a->limit == b->limit && a->limit_milli_per_s == b->limit_milli_per_s
         && a->is_leaving == b->is_leaving;
}

/* Process NOTICE, what the local server said of itself in an answer.  A server
   that leaves says so in its answers and perhaps not in its heartbeats.  */
void
mesh_on_notice (struct mesh *mesh, const struct server_notice *notice,
                gint64 now, struct actions *out)
{
  server_limit_on_notice (&mesh->admission.limit, notice, now);
  if (notice->is_leaving && !grant_is_leaving (&mesh->grant))
    {
      grant_on_leaving (&mesh->grant, now);
      mesh_plan_step (mesh, now, out);
      mesh_orders_update (mesh, now, out);
    }
  if (notice_equal (notice, &mesh->server_notice))
    return;
  mesh->server_notice = *notice;
  mesh_log (out, LOG_EVENT_MESH_LIMIT, mesh->grant.instance.id,
            "limit=%s milli_per_s=%" G_GUINT64_FORMAT " leaving=%d"
            " busy=%u/%u waiting=%u",
            limit_name (notice->limit), notice->limit_milli_per_s,
            notice->is_leaving, mesh->admission.busy_slots,
            mesh->admission.slots, mesh->admission.queue->len);
}

/* Let the expected run times follow how slow the machine of the local server
   is at NOW.  */
void
mesh_slowdown_step (struct mesh *mesh, gint64 now)
{
  run_times_set_slowdown (
      &mesh->run_times,
      server_load_slowdown (&mesh->admission.server_load, now));
}

/* Process the load that the local server reported in a response.  */
void
mesh_on_server_load (struct mesh *mesh, const struct event_server_load *load,
                     gint64 now)
{
  server_load_on_slowdown (&mesh->admission.server_load, load->slow_percent,
                           load->measured_at);
  mesh_slowdown_step (mesh, now);
}
