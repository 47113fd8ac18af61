#include "soak/soak_server.h"

#include "types/clock.h"

#include <string.h>

#define FIRST_HEARTBEAT_MSEC 100u /* delay after an instance's start */
#define RUN_MSEC_MAX 30           /* longest run time of a request, ms */

/* A request that runs.  */
struct soak_run
{
  struct soak_server *server; /* server that runs it */
  SoupServerMessage *message; /* HTTP message of the request */
  char *request_id;           /* request id */
};

/* Keys */

/* Return TRUE if SERVER holds KEY at the time NOW.  */
gboolean
soak_server_holds (const struct soak_server *server, guint32 key, gint64 now)
{
  guint32 i;

  if (server->method == GRANT_BY_CALL)
    return now < server->orders.held_until[key % SHARD_KEY_COUNT];
  for (i = 0; now < server->held_until && i < server->held_range_count; i++)
    if (server->held_ranges[i].first <= key
        && key <= server->held_ranges[i].last)
      return TRUE;
  return FALSE;
}

/* Requests */

/* Refuse MESSAGE, the request ID, with status 421 and the header that says
   that it has not run.  */
static void
refuse (struct soak_server *server, SoupServerMessage *message, const char *id)
{
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (message);

  soup_server_message_set_status (message, SOUP_STATUS_MISDIRECTED_REQUEST,
                                  NULL);
  if (id != NULL)
    soup_message_headers_append (headers, "Request-Id", id);
  soup_message_headers_append (headers, "Not-Executed", "1");
  soup_message_headers_append (headers, "Instance-Id", server->instance.id);
  soak_limit_on_answer (&server->limit, headers, clock_usec ());
}

/* Answer a request whose run has ended.  Timer callback.  */
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
  soak_limit_on_answer (&run->server->limit, headers, clock_usec ());
  soup_server_message_set_response (run->message, "text/plain",
                                    SOUP_MEMORY_TAKE, body, strlen (body));
  soup_server_message_unpause (run->message);
  g_object_unref (run->message);
  g_free (run->request_id);
  g_free (run);
  return G_SOURCE_REMOVE;
}

/* Handle a request: run it, or refuse it if it is for another instance or its
   key is not held.  */
static void
on_request (SoupServer *http_server, SoupServerMessage *message,
            const char *path, GHashTable *query, gpointer data)
{
  struct soak_server *server = data;
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  const char *id = soup_message_headers_get_one (headers, "Request-Id");
  const char *expected_instance
      = soup_message_headers_get_one (headers, "Expect-Instance");
  const char *key = soup_message_headers_get_one (headers, "Shard-Key");
  struct soak_run *run;

  (void)http_server;
  (void)query;
  if (server->method == GRANT_BY_CALL
      && soak_orders_handle (&server->orders, message, path))
    return;
  soak_limit_on_arrival (&server->limit, server->checker, clock_usec ());
  if (id == NULL
      || (expected_instance != NULL
          && strcmp (expected_instance, server->instance.id) != 0)
      || (server->sharded
          && (key == NULL
              || !soak_server_holds (server,
                                     (guint32)g_ascii_strtoull (key, NULL, 10),
                                     clock_usec ()))))
    {
      refuse (server, message, id);
      return;
    }
  soak_checker_run_started (server->checker, id);
  run = g_new0 (struct soak_run, 1);
  run->server = server;
  run->message = g_object_ref (message);
  run->request_id = g_strdup (id);
  soup_server_message_pause (message);
  g_timeout_add (1 + g_str_hash (id) % RUN_MSEC_MAX, on_run_end, run);
}

/* Start and stop */

/* Begin a new instance of the server, which holds no keys.  Has the effect of
   a restart of the server's process.  */
void
soak_server_begin_instance (struct soak_server *server)
{
  server->instance.started_at_msec++;
  server->heartbeat_seq = 0;
  server->held_range_count = 0;
  server->released_range_count = 0;
  server->held_until = 0;
  soak_orders_reset (&server->orders);
  soak_limit_set (&server->limit, 0, 0);
  if (!server->heartbeat_pending)
    soak_server_schedule_heartbeat (server, FIRST_HEARTBEAT_MSEC);
}

/* Listen on LISTEN_ADDRESS and schedule the first heartbeat.  The caller has
   set the service, the instance and the addresses.  Return FALSE if
   LISTEN_ADDRESS cannot be listened on.  */
gboolean
soak_server_init (struct soak_server *server, struct http *http_client,
                  struct soak_checker *checker, struct address listen_address)
{
  enum err code;
  GSocket *socket = conn_listen (listen_address, &code);

  server->http_client = http_client;
  server->checker = checker;
  server->heartbeat_answer = g_byte_array_new ();
  soak_limit_init (&server->limit);
  soak_orders_init (&server->orders);
  server->http_server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server->http_server, NULL, on_request, server,
                           NULL);
  if (socket == NULL
      || !soup_server_listen_socket (server->http_server, socket, 0, NULL))
    return FALSE;
  soak_server_begin_instance (server);
  return TRUE;
}

/* Stop listening and release what SERVER holds.  */
void
soak_server_clear (struct soak_server *server)
{
  if (server->heartbeat_timer != 0)
    g_source_remove (server->heartbeat_timer);
  soup_server_disconnect (server->http_server);
  g_object_unref (server->http_server);
  g_byte_array_unref (server->heartbeat_answer);
  soak_limit_clear (&server->limit);
  soak_orders_clear (&server->orders);
}
