#include "soak/soak_server.h"

#include "soak/soak_caller.h"
#include "types/clock.h"

#include <string.h>

#define FIRST_HEARTBEAT_MSEC 100u /* delay after an instance's start */
#define RUN_MSEC_MAX 30           /* longest run time of a request, ms */

/* A request, from its head to the end of its run.  */
struct soak_run
{
  struct soak_server *server; /* server that runs it */
  struct handle self;         /* handle of this run */
  struct handle request;      /* request of the HTTP server */
  GByteArray *body;           /* its body so far */
  char *request_id;           /* request id, once it runs */
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

/* Remove RUN.  */
static void
remove_run (struct soak_run *run)
{
  g_byte_array_unref (run->body);
  g_free (run->request_id);
  table_remove (&run->server->runs, run->self);
}

/* Answer the request of RUN with STATUS, HEADERS, to which those of a limit
   are added, and TEXT.  Remove RUN, and release HEADERS.  */
static void
answer (struct soak_run *run, guint status, SoupMessageHeaders *headers,
        const char *text)
{
  struct soak_server *server = run->server;

  soak_limit_on_answer (&server->limit, headers, clock_usec ());
  http_server_answer (&server->http_server, run->request, status, headers,
                      text);
  soup_message_headers_unref (headers);
  remove_run (run);
}

/* Refuse the request of RUN, with the id ID, with status 421 and the header
   that says that it has not run.  */
static void
refuse (struct soak_run *run, const char *id)
{
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);

  if (id != NULL)
    soup_message_headers_append (headers, "Request-Id", id);
  soup_message_headers_append (headers, "Not-Executed", "1");
  soup_message_headers_append (headers, "Instance-Id",
                               run->server->instance.id);
  answer (run, SOUP_STATUS_MISDIRECTED_REQUEST, headers, "");
}

/* Answer a request whose run has ended.  Timer callback.  */
static gboolean
on_run_end (gpointer data)
{
  struct soak_run *run = data;
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  char *text = g_strdup_printf ("answer to %s", run->request_id);

  soup_message_headers_append (headers, "Request-Id", run->request_id);
  soup_message_headers_append (headers, "Server-Stamp", "s");
  soup_message_headers_append (headers, "Content-Type", "text/plain");
  answer (run, SOUP_STATUS_OK, headers, text);
  g_free (text);
  return G_SOURCE_REMOVE;
}

/* Return whether BODY is that of a request of METHOD.  */
static gboolean
is_whole_body (const char *method, const GByteArray *body)
{
  const char *expected = strcmp (method, "POST") == 0 ? SOAK_ONCE_BODY : "";

  return body->len == strlen (expected)
         && memcmp (body->data, expected, body->len) == 0;
}

/* Return whether the server must refuse the request ID with HEADERS: it is for
   another instance, or its key is not held.  */
static gboolean
must_refuse (const struct soak_server *server, SoupMessageHeaders *headers,
             const char *id)
{
  const char *expected_instance
      = soup_message_headers_get_one (headers, "Expect-Instance");
  const char *key = soup_message_headers_get_one (headers, "Shard-Key");

  if (id == NULL
      || (expected_instance != NULL
          && strcmp (expected_instance, server->instance.id) != 0))
    return TRUE;
  return server->sharded
         && (key == NULL
             || !soak_server_holds (server,
                                    (guint32)g_ascii_strtoull (key, NULL, 10),
                                    clock_usec ()));
}

/* Handle the request of RUN, which was received to its end.  */
static void
handle_request (struct soak_run *run, const struct http_server_event *event)
{
  struct soak_server *server = run->server;
  SoupMessageHeaders *headers = event->head->headers;
  const char *id = soup_message_headers_get_one (headers, "Request-Id");

  if (server->method == GRANT_BY_CALL
      && soak_orders_handle (&server->orders, &server->http_server, event,
                             run->body))
    {
      remove_run (run);
      return;
    }
  soak_limit_on_arrival (&server->limit, server->checker, clock_usec ());
  soak_cold_on_arrival (&server->cold, server->checker, server->instance.id,
                        clock_usec ());
  soak_evacuation_on_arrival (server->evacuation, server->checker,
                              server->zone, server->held_up_until,
                              id != NULL ? id : "", clock_usec ());
  if (must_refuse (server, headers, id))
    {
      refuse (run, id);
      return;
    }
  soak_checker_run_started (server->checker, id,
                            is_whole_body (event->head->method, run->body));
  run->request_id = g_strdup (id);
  g_timeout_add (1 + g_str_hash (id) % RUN_MSEC_MAX, on_run_end, run);
}

/* Add a run for the request in EVENT.  */
static void
add_run (struct soak_server *server, const struct http_server_event *event)
{
  struct handle h = table_add (&server->runs);
  struct soak_run *run = table_get (&server->runs, h);

  run->server = server;
  run->self = h;
  run->request = event->request;
  run->body = g_byte_array_new ();
  http_server_set_user (&server->http_server, event->request, h);
}

/* Handle an event of the HTTP server.  A request that runs goes on if its
   connection ends.  */
static void
on_request (const struct http_server_event *event, gpointer data)
{
  struct soak_server *server = data;
  struct soak_run *run = table_get (&server->runs, event->user);

  if (event->kind == HTTP_SERVER_HEAD)
    add_run (server, event);
  if (run == NULL)
    return;
  switch (event->kind)
    {
    case HTTP_SERVER_DATA:
      g_byte_array_append (run->body, event->bytes, (guint)event->byte_count);
      break;
    case HTTP_SERVER_BODY_END:
      handle_request (run, event);
      break;
    case HTTP_SERVER_LEFT:
      if (run->request_id == NULL)
        remove_run (run);
      break;
    case HTTP_SERVER_HEAD:
    case HTTP_SERVER_BATCH:
    case HTTP_SERVER_DRAINED:
    case HTTP_SERVER_SENT:
      break;
    }
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
  if (server->sharded)
    soak_cold_begin (&server->cold, clock_usec ());
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
  server->http_client = http_client;
  server->checker = checker;
  server->heartbeat_answer = g_byte_array_new ();
  soak_limit_init (&server->limit);
  soak_cold_init (&server->cold);
  soak_orders_init (&server->orders);
  table_init (&server->runs, sizeof (struct soak_run));
  http_server_init (&server->http_server, on_request, server);
  if (http_server_listen (&server->http_server, listen_address) != ERR_NONE)
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
  http_server_clear (&server->http_server);
  g_byte_array_unref (server->heartbeat_answer);
  soak_limit_clear (&server->limit);
  soak_cold_clear (&server->cold);
  soak_orders_clear (&server->orders);
}
