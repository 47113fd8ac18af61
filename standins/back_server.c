#include "standins/back_server.h"
#include "types/clock.h"

#include "edge/inet.h"

#include "edge/headers.h"
#include "standins/back_work.h"

#include <stdlib.h>
#include <string.h>

#define ANNOUNCE_EVERY_MSEC 500 /* announces itself so often */
#define ANNOUNCE_TIMEOUT_USEC ((gint64)1000000)

/* Announcing */

/* The node answered, or not: nothing to do.  */
static void
on_announced (const struct http_event *event, gpointer data)
{
  (void)event;
  (void)data;
}

/* Announce the server to the node beside it.  */
static gboolean
on_announce_timer (gpointer data)
{
  struct back_server *back = data;
  struct http_request request = { 0 };
  char *at = address_format (back->settings.listen_address);
  char *target = g_strdup_printf (
      "/bambootally/announce?server=%s&address=%s&slots=%u&checks-fences=%s",
      back->settings.name, at, back->settings.slot_count,
      back->settings.checks_fences ? "yes" : "no");
  struct handle call;

  http_expire (&back->http_client, clock_usec ());
  request.address = back->settings.node_address;
  request.method = "POST";
  request.target = target;
  request.deadline = clock_usec () + ANNOUNCE_TIMEOUT_USEC;
  call = http_start (&back->http_client, &request, on_announced, back);
  http_finish (&back->http_client, call);
  g_free (target);
  g_free (at);
  return G_SOURCE_CONTINUE;
}

/* Take the load report, which lags.  */
static gboolean
on_load_timer (gpointer data)
{
  struct back_server *back = data;

  back->reported_busy_count = back->busy_count;
  return G_SOURCE_CONTINUE;
}

/* Requests */

/* Answer the load report.  */
static void
answer_load (struct back_server *back, SoupServerMessage *message)
{
  char *text
      = g_strdup_printf ("busy=%u\nslots=%u\n", back->reported_busy_count,
                         back->settings.slot_count);

  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_TAKE,
                                    text, strlen (text));
}

/* Set the switches that the query names.  */
static void
take_control (struct back_server *back, SoupServerMessage *message,
              GHashTable *query)
{
  const char *silent
      = query != NULL ? g_hash_table_lookup (query, "silent") : NULL;
  const char *run_msec
      = query != NULL ? g_hash_table_lookup (query, "run-ms") : NULL;

  if (silent != NULL)
    back->unresponsive = strcmp (silent, "yes") == 0;
  if (run_msec != NULL)
    back->settings.run_msec = (guint)strtoul (run_msec, NULL, 10);
  back->control_set_at = clock_usec ();
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
}

/* The headers of a request have come.  */
static void
on_early (SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
  struct back_server *back = data;

  (void)server;
  (void)query;
  if (!g_str_has_prefix (path, "/bambootally/"))
    back_work_begin (back, message, path);
}

/* A request has come whole.  */
static void
on_whole (SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
  struct back_server *back = data;

  (void)server;
  if (strcmp (path, "/bambootally/load") == 0)
    answer_load (back, message);
  else if (strcmp (path, "/bambootally/control") == 0)
    take_control (back, message, query);
  else
    back_work_received (message, query);
}

/* Life */

/* Start a backend server.  */
enum err
back_server_init (struct back_server *back,
                  const struct back_settings *settings)
{
  GSocketAddress *address = inet_socket_address (settings->listen_address);
  gboolean listens;

  memset (back, 0, sizeof *back);
  back->settings = *settings;
  back->started_at = clock_usec ();
  back->newest_fences = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  if (settings->record_path != NULL)
    back->record_file = fopen (settings->record_path, "a");
  http_init (&back->http_client);
  back->http_server = soup_server_new (NULL, NULL);
  soup_server_add_early_handler (back->http_server, NULL, on_early, back,
                                 NULL);
  soup_server_add_handler (back->http_server, NULL, on_whole, back, NULL);
  listens = soup_server_listen (back->http_server, address, 0, NULL);
  g_object_unref (address);
  if (settings->node_address.port != 0)
    {
      on_announce_timer (back);
      g_timeout_add (ANNOUNCE_EVERY_MSEC, on_announce_timer, back);
    }
  g_timeout_add (MAX (1, settings->load_report_msec), on_load_timer, back);
  return listens ? ERR_NONE : ERR_IO;
}

/* Stop a backend server at once.  */
void
back_server_clear (struct back_server *back)
{
  while (g_source_remove_by_user_data (back))
    ;
  soup_server_disconnect (back->http_server);
  g_object_unref (back->http_server);
  http_clear (&back->http_client);
  g_hash_table_destroy (back->newest_fences);
  if (back->record_file != NULL)
    fclose (back->record_file);
}
