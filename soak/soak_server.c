#include "soak/soak_server.h"

#include "types/clock.h"

#include <string.h>

#define BEAT_SOON_MSEC 100u /* a life begins with a beat */
#define RUN_MSEC_MOST 30    /* longest run */

/* A request that runs.  */
struct soak_run
{
  SoupServerMessage *message; /* its call */
  char *request_id;           /* its id */
};

/* Keys */

/* Tell whether SERVER holds KEY at NOW.  */
gboolean
soak_server_holds (const struct soak_server *server, guint32 key, gint64 now)
{
  guint32 i;

  for (i = 0; now < server->held_until && i < server->held_range_count; i++)
    if (server->held_ranges[i].first <= key
        && key <= server->held_ranges[i].last)
      return TRUE;
  return FALSE;
}

/* Requests */

/* Refuse MESSAGE: it is not run.  */
static void
refuse (const struct soak_server *server, SoupServerMessage *message)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (message);

  soup_server_message_set_status (message, SOUP_STATUS_MISDIRECTED_REQUEST,
                                  NULL);
  soup_message_headers_append (headers, "Not-Executed", "1");
  soup_message_headers_append (headers, "Instance-Id", server->instance.id);
}

/* A run has ended.  */
static gboolean
on_run_end (gpointer data)
{
  struct soak_run *run = data;
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (run->message);
  char *body = g_strdup_printf ("answer to %s", run->request_id);

  soup_server_message_set_status (run->message, SOUP_STATUS_OK, NULL);
  soup_message_headers_append (headers, "Request-Id", run->request_id);
  soup_message_headers_append (headers, "Server-Stamp", "s");
  soup_server_message_set_response (run->message, "text/plain",
                                    SOUP_MEMORY_TAKE, body, strlen (body));
  soup_server_message_unpause (run->message);
  g_object_unref (run->message);
  g_free (run->request_id);
  g_free (run);
  return G_SOURCE_REMOVE;
}

/* A request came.  */
static void
on_request (SoupServer *front, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct soak_server *server = data;
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  const char *id = soup_message_headers_get_one (headers, "Request-Id");
  const char *meant
      = soup_message_headers_get_one (headers, "Expect-Instance");
  const char *key = soup_message_headers_get_one (headers, "Shard-Key");
  struct soak_run *run;

  (void)front;
  (void)path;
  (void)query;
  if (id == NULL || (meant != NULL && strcmp (meant, server->instance.id) != 0)
      || (server->sharded
          && (key == NULL
              || !soak_server_holds (server,
                                     (guint32)g_ascii_strtoull (key, NULL, 10),
                                     clock_usec ()))))
    {
      refuse (server, message);
      return;
    }
  soak_checker_run_started (server->checker, id);
  run = g_new0 (struct soak_run, 1);
  run->message = g_object_ref (message);
  run->request_id = g_strdup (id);
  soup_server_message_pause (message);
  g_timeout_add (1 + g_str_hash (id) % RUN_MSEC_MOST, on_run_end, run);
}

/* Life */

/* A new life begins: it holds nothing.  */
void
soak_server_begin_instance (struct soak_server *server)
{
  server->instance.started_at_msec++;
  server->heartbeat_seq = 0;
  server->held_range_count = 0;
  server->released_range_count = 0;
  server->held_until = 0;
  if (!server->heartbeat_pending)
    soak_server_schedule_heartbeat (server, BEAT_SOON_MSEC);
}

/* Listen at AT and begin to beat; the names and addresses are filled in.  */
gboolean
soak_server_init (struct soak_server *server, struct http *http,
                  struct soak_checker *book, struct address at)
{
  enum err code;
  GSocket *socket = conn_listen (at, &code);

  server->http_client = http;
  server->checker = book;
  server->heartbeat_answer = g_byte_array_new ();
  server->http_server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server->http_server, NULL, on_request, server,
                           NULL);
  if (socket == NULL
      || !soup_server_listen_socket (server->http_server, socket, 0, NULL))
    return FALSE;
  soak_server_begin_instance (server);
  return TRUE;
}

/* Stop.  */
void
soak_server_clear (struct soak_server *server)
{
  if (server->heartbeat_timer != 0)
    g_source_remove (server->heartbeat_timer);
  soup_server_disconnect (server->http_server);
  g_object_unref (server->http_server);
  g_byte_array_unref (server->heartbeat_answer);
}
