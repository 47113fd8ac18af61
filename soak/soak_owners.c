#include "soak/soak_owners.h"

/* Return TRUE if two ranges share a key.  */
static gboolean
ranges_overlap (const struct key_range *a, const struct key_range *b)
{
  return a->first <= b->last && b->first <= a->last;
}

/* Check that no key is held by both A and B at the time NOW.  */
static void
check_pair (struct soak_cluster *cluster, const struct soak_server *a,
            const struct soak_server *b, gint64 now)
{
  guint32 i;
  guint32 k;

  if (a->method == GRANT_BY_CALL && a->sharded && b->sharded
      && soak_orders_overlap (&a->orders, &b->orders, now, &i))
    {
      char *detail = g_strdup_printf ("%s and %s, %u", a->instance.id,
                                      b->instance.id, i);
      soak_checker_violation (&cluster->checker, "one owner per key", detail);
      g_free (detail);
      return;
    }
  if (now >= a->held_until || now >= b->held_until)
    return;
  for (i = 0; i < a->held_range_count; i++)
    for (k = 0; k < b->held_range_count; k++)
      if (ranges_overlap (&a->held_ranges[i], &b->held_ranges[k]))
        {
          char *detail
              = g_strdup_printf ("%s and %s, %u", a->instance.id,
                                 b->instance.id, a->held_ranges[i].first);
          soak_checker_violation (&cluster->checker, "one owner per key",
                                  detail);
          g_free (detail);
          return;
        }
}

/* Check all pairs of servers for keys that both hold.  */
void
soak_owners_check (struct soak_cluster *cluster, gint64 now)
{
  guint i;
  guint k;

  for (i = 0; i < cluster->host_count; i++)
    for (k = i + 1; k < cluster->host_count; k++)
      check_pair (cluster, &cluster->hosts[i].server,
                  &cluster->hosts[k].server, now);
}
