#include "standins/caller_request.h"
#include "types/clock.h"

#include <string.h>

/* Requests */

/* The path of the next request; free it with g_free.  */
static char *
next_path (struct caller *caller)
{
  const struct caller_settings *settings = caller->settings;
  const char *mark = strchr (settings->path, '%');

  if (mark == NULL || settings->key_count == 0)
    return g_strdup (settings->path);
  return g_strdup_printf (
      "%.*s%u%s", (int)(mark - settings->path), settings->path,
      g_rand_int_range (caller->random, 0, (gint32)settings->key_count),
      mark + 1);
}

/* Tell whether another request is to be sent.  */
static gboolean
wants_more (const struct caller *caller)
{
  if (caller->settings->stop_at != 0)
    return clock_usec () < caller->settings->stop_at;
  return caller->started_count < caller->settings->request_count;
}

/* The pause between two requests is over.  */
static gboolean
on_pause_over (gpointer data)
{
  struct caller *caller = data;

  caller->active_count--;
  if (wants_more (caller))
    caller_request_new (caller, next_path (caller));
  else if (caller->active_count == 0)
    g_main_loop_quit (caller->loop);
  return G_SOURCE_REMOVE;
}

/* Send the next request, after the pause, or end the run.  */
void
caller_send_next (struct caller *caller)
{
  if (wants_more (caller) && caller->settings->pause_usec > 0)
    {
      caller->active_count++;
      g_timeout_add ((guint)(caller->settings->pause_usec / 1000),
                     on_pause_over, caller);
    }
  else if (wants_more (caller))
    caller_request_new (caller, next_path (caller));
  else if (caller->active_count == 0)
    g_main_loop_quit (caller->loop);
}

/* End the requests that take too long.  */
static gboolean
on_timer (gpointer data)
{
  struct caller *caller = data;

  http_expire (&caller->http_client, clock_usec ());
  return G_SOURCE_CONTINUE;
}

/* Send requests as SETTINGS say and add what comes of them to TOTALS.  */
void
caller_run (const struct caller_settings *settings,
            struct caller_totals *totals)
{
  struct caller caller = { .settings = settings, .totals = totals };
  guint timer;
  guint32 i;

  memset (totals, 0, sizeof *totals);
  totals->latencies_usec = g_array_new (FALSE, FALSE, sizeof (gint64));
  caller.loop = g_main_loop_new (NULL, FALSE);
  caller.random = g_rand_new_with_seed ((guint32)settings->seed);
  caller.run_id = ((guint64)g_random_int () << 32) | g_random_int ();
  http_init (&caller.http_client);
  timer = g_timeout_add (20, on_timer, &caller);
  for (i = 0; i < settings->concurrency && wants_more (&caller); i++)
    caller_request_new (&caller, next_path (&caller));
  if (caller.active_count > 0)
    g_main_loop_run (caller.loop);
  g_source_remove (timer);
  http_clear (&caller.http_client);
  g_rand_free (caller.random);
  g_main_loop_unref (caller.loop);
}

/* Compare two times.  */
static gint
compare_usec (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *)a;
  gint64 right = *(const gint64 *)b;

  return left < right ? -1 : left > right;
}

/* The time within which SHARE (0 to 1) of the whole answers came, in
   microseconds; 0 if there are none.  */
gint64
caller_percentile (const struct caller_totals *totals, double share)
{
  guint at;

  if (totals->latencies_usec->len == 0)
    return 0;
  g_array_sort (totals->latencies_usec, compare_usec);
  at = (guint)(share * (totals->latencies_usec->len - 1));
  return g_array_index (totals->latencies_usec, gint64, at);
}
