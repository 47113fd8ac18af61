#include "shard/departure.h"

/* Record that the server SERVER_ID deregistered at NOW, which is AT_MSEC in
   milliseconds since 1970.  */
void
departures_add (struct departures *departures, const char *server_id,
                gint64 at_msec, gint64 now)
{
  struct departure *departure
      = &departures->items[departures->count++ % DEPARTURES_MAX];

  g_strlcpy (departure->server_id, server_id, sizeof departure->server_id);
  departure->at_msec = at_msec;
  departure->acked_at = now;
}

/* Return when the deregistration of INSTANCE was acknowledged, or 0 if it was
   not.  A server that started after it under the same name is another
   instance.  */
gint64
departures_acked_at (const struct departures *departures,
                     const struct server_instance *instance)
{
  guint i;

  for (i = 0; i < DEPARTURES_MAX; i++)
    {
      const struct departure *departure = &departures->items[i];
      if (departure->server_id[0] != '\0'
          && strcmp (departure->server_id, instance->id) == 0
          && instance->started_at_msec <= departure->at_msec)
        return departure->acked_at;
    }
  return 0;
}
