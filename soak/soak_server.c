#include "soak/soak_server.h"

#include "platform/words.h"
#include "types/clock.h"

#include <string.h>

#define BEAT_MSEC 900u      /* between beats */
#define BEAT_SOON_MSEC 100u /* after keys were given up */
#define BEAT_USEC ((gint64)1000000)
#define SLOTS 8          /* requests at once */
#define RUN_MSEC_MOST 30 /* longest run */

/* A request that runs.  */
struct soak_run
{
  SoupServerMessage *message; /* its call */
  char *id;                   /* its id */
};

/* Keys */

/* Tell whether SERVER holds KEY at NOW.  */
gboolean
soak_server_holds (const struct soak_server *server, guint32 key, gint64 now)
{
  guint32 i;

  for (i = 0; now < server->hold_until && i < server->held; i++)
    if (server->hold[i].first <= key && key <= server->hold[i].last)
      return TRUE;
  return FALSE;
}

/* Tell whether ROW is among the COUNT ROWS.  */
static gboolean
is_among (const struct beat_row *rows, guint32 count,
          const struct beat_row *row)
{
  guint32 i;

  for (i = 0; i < count; i++)
    if (rows[i].first <= row->first && row->last <= rows[i].last)
      return TRUE;
  return FALSE;
}

/* Read the rows of LIST.  */
static guint32
read_rows (JsonArray *list, struct beat_row *rows)
{
  guint32 count = MIN (json_array_get_length (list), BEAT_ROWS_MAX);
  guint32 i;

  for (i = 0; i < count; i++)
    {
      JsonArray *row = json_array_get_array_element (list, i);
      rows[i].first = (guint32)json_array_get_int_element (row, 0);
      rows[i].last = (guint32)json_array_get_int_element (row, 1);
      rows[i].fence = (guint64)json_array_get_int_element (row, 2);
    }
  return count;
}

/* Hold ROWS from now on; what was held and is not among them is freed.  */
static void
take_rows (struct soak_server *server, const struct beat_row *rows,
           guint32 count, gint64 hold_msec)
{
  gint64 now = clock_usec ();
  guint32 i;

  server->freed = 0;
  for (i = 0; now < server->hold_until && i < server->held; i++)
    if (!is_among (rows, count, &server->hold[i]))
      server->free[server->freed++] = server->hold[i];
  memcpy (server->hold, rows, count * sizeof *rows);
  server->held = count;
  server->hold_until = server->beat_sent + hold_msec * USEC_PER_MSEC;
}

/* Beats */

static gboolean on_beat (gpointer data);

/* Beat in MSEC milliseconds.  */
static void
beat_in (struct soak_server *server, guint msec)
{
  if (server->timer != 0)
    g_source_remove (server->timer);
  server->timer = g_timeout_add (msec, on_beat, server);
}

/* Read the answer to a beat.  */
static void
take_answer (struct soak_server *server)
{
  JsonParser *parser = words_parse (server->answer->data, server->answer->len);
  struct beat_row rows[BEAT_ROWS_MAX] = { 0 };
  JsonArray *list;
  gint64 hold;

  if (parser == NULL)
    return;
  list = words_list (words_root (parser), "holds");
  if (list != NULL && words_number (words_root (parser), "hold-ms", &hold))
    take_rows (server, rows, read_rows (list, rows), hold);
  g_object_unref (parser);
}

/* Something happened to the beat under way.  */
static void
on_beat_event (const struct http_event *event, gpointer data)
{
  struct soak_server *server = data;

  switch (event->kind)
    {
    case HTTP_HEAD:
      server->status = event->status;
      break;
    case HTTP_DATA:
      g_byte_array_append (server->answer, event->bytes, (guint)event->count);
      break;
    case HTTP_ENDED:
      server->beating = FALSE;
      if (event->code == ERR_NONE && server->status == SOUP_STATUS_OK)
        take_answer (server);
      beat_in (server, server->freed > 0 ? BEAT_SOON_MSEC : BEAT_MSEC);
      break;
    case HTTP_FLUSH:
    case HTTP_DRAINED:
      break;
    }
}

/* Add the list NAME of COUNT ROWS to TEXT; freed ones carry a token.  */
static void
add_rows (GString *text, const char *name, const struct beat_row *rows,
          guint32 count, gboolean freed)
{
  guint32 i;

  g_string_append_printf (text, ",\"%s\":[", name);
  for (i = 0; i < count; i++)
    if (freed)
      g_string_append_printf (text, "%s[%u,%u,\"t%u\"]", i > 0 ? "," : "",
                              rows[i].first, rows[i].last, rows[i].first);
    else
      g_string_append_printf (text, "%s[%u,%u,%" G_GUINT64_FORMAT "]",
                              i > 0 ? "," : "", rows[i].first, rows[i].last,
                              rows[i].fence);
  g_string_append (text, "]");
}

/* Send a beat.  */
static gboolean
on_beat (gpointer data)
{
  struct soak_server *server = data;
  struct http_request request = { .to = server->node, .method = "PUT" };
  char *at = address_format (server->told);
  char *target = g_strdup_printf ("/api/instances/%s", server->life.id);
  GString *text = g_string_new (NULL);
  struct handle call;

  server->timer = 0;
  server->beat_sent = clock_usec ();
  server->beating = TRUE;
  server->status = 0;
  g_byte_array_set_size (server->answer, 0);
  if (server->beat_sent >= server->hold_until)
    server->held = 0;
  g_string_append_printf (
      text,
      "{\"address\":\"%s\",\"born\":%" G_GINT64_FORMAT
      ",\"info\":{\"service\":\"%s\",\"slots\":%d},\"status\":{\"state\":"
      "\"ready\",\"seq\":%" G_GUINT64_FORMAT ",\"cold-left-ms\":0}",
      at, server->life.born, server->service, SLOTS, ++server->number);
  add_rows (text, "holds", server->hold, server->held, FALSE);
  add_rows (text, "freed", server->free, server->freed, TRUE);
  g_string_append (text, "}");
  request.target = target;
  request.length = (gint64)text->len;
  request.deadline = server->beat_sent + BEAT_USEC;
  call = http_start (server->http, &request, on_beat_event, server);
  http_write (server->http, call, (const guint8 *)text->str, text->len);
  http_finish (server->http, call);
  g_string_free (text, TRUE);
  g_free (target);
  g_free (at);
  return G_SOURCE_REMOVE;
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
  soup_message_headers_append (headers, "Instance-Id", server->life.id);
}

/* A run has ended.  */
static gboolean
on_run_end (gpointer data)
{
  struct soak_run *run = data;
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (run->message);
  char *body = g_strdup_printf ("answer to %s", run->id);

  soup_server_message_set_status (run->message, SOUP_STATUS_OK, NULL);
  soup_message_headers_append (headers, "Request-Id", run->id);
  soup_message_headers_append (headers, "Server-Stamp", "s");
  soup_server_message_set_response (run->message, "text/plain",
                                    SOUP_MEMORY_TAKE, body, strlen (body));
  soup_server_message_unpause (run->message);
  g_object_unref (run->message);
  g_free (run->id);
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
  if (id == NULL || (meant != NULL && strcmp (meant, server->life.id) != 0)
      || (server->divided
          && (key == NULL
              || !soak_server_holds (server,
                                     (guint32)g_ascii_strtoull (key, NULL, 10),
                                     clock_usec ()))))
    {
      refuse (server, message);
      return;
    }
  soak_book_ran (server->book, id);
  run = g_new0 (struct soak_run, 1);
  run->message = g_object_ref (message);
  run->id = g_strdup (id);
  soup_server_message_pause (message);
  g_timeout_add (1 + g_str_hash (id) % RUN_MSEC_MOST, on_run_end, run);
}

/* Life */

/* A new life begins: it holds nothing.  */
void
soak_server_begin (struct soak_server *server)
{
  server->life.born++;
  server->number = 0;
  server->held = 0;
  server->freed = 0;
  server->hold_until = 0;
  if (!server->beating)
    beat_in (server, BEAT_SOON_MSEC);
}

/* Listen at AT and begin to beat; the names and addresses are filled in.  */
gboolean
soak_server_init (struct soak_server *server, struct http *http,
                  struct soak_book *book, struct address at)
{
  enum err code;
  GSocket *socket = conn_listen (at, &code);

  server->http = http;
  server->book = book;
  server->answer = g_byte_array_new ();
  server->front = soup_server_new (NULL, NULL);
  soup_server_add_handler (server->front, NULL, on_request, server, NULL);
  if (socket == NULL
      || !soup_server_listen_socket (server->front, socket, 0, NULL))
    return FALSE;
  soak_server_begin (server);
  return TRUE;
}

/* Stop.  */
void
soak_server_clear (struct soak_server *server)
{
  if (server->timer != 0)
    g_source_remove (server->timer);
  soup_server_disconnect (server->front);
  g_object_unref (server->front);
  g_byte_array_unref (server->answer);
}
