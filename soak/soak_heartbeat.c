#include "soak/soak_server.h"

#include "platform/json_fields.h"
#include "types/clock.h"

#include <string.h>

#define BEAT_MSEC 900u      /* between beats */
#define BEAT_SOON_MSEC 100u /* after keys were given up */
#define BEAT_USEC ((gint64)1000000)
#define SLOTS 8 /* requests at once */

/* Keys */

/* Tell whether ROW is among the COUNT ROWS.  */
static gboolean
is_among (const struct key_range *rows, guint32 count,
          const struct key_range *row)
{
  guint32 i;

  for (i = 0; i < count; i++)
    if (rows[i].first <= row->first && row->last <= rows[i].last)
      return TRUE;
  return FALSE;
}

/* Read the rows of LIST.  */
static guint32
read_rows (JsonArray *list, struct key_range *rows)
{
  guint32 count = MIN (json_array_get_length (list), HEARTBEAT_RANGES_MAX);
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
take_rows (struct soak_server *server, const struct key_range *rows,
           guint32 count, gint64 hold_msec)
{
  gint64 now = clock_usec ();
  guint32 i;

  server->released_range_count = 0;
  for (i = 0; now < server->held_until && i < server->held_range_count; i++)
    if (!is_among (rows, count, &server->held_ranges[i]))
      server->released_ranges[server->released_range_count++]
          = server->held_ranges[i];
  memcpy (server->held_ranges, rows, count * sizeof *rows);
  server->held_range_count = count;
  server->held_until = server->heartbeat_sent_at + hold_msec * USEC_PER_MSEC;
}

/* Beats */

static gboolean on_beat (gpointer data);

/* Beat in MSEC milliseconds.  */
void
soak_server_schedule_heartbeat (struct soak_server *server, guint msec)
{
  if (server->heartbeat_timer != 0)
    g_source_remove (server->heartbeat_timer);
  server->heartbeat_timer = g_timeout_add (msec, on_beat, server);
}

/* Read the answer to a beat.  */
static void
take_answer (struct soak_server *server)
{
  JsonParser *parser = json_fields_parse (server->heartbeat_answer->data,
                                          server->heartbeat_answer->len);
  struct key_range rows[HEARTBEAT_RANGES_MAX] = { 0 };
  JsonArray *list;
  gint64 hold;

  if (parser == NULL)
    return;
  list = json_field_array (json_fields_root (parser), "holds");
  if (list != NULL
      && json_field_number (json_fields_root (parser), "hold-ms", &hold))
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
      server->heartbeat_status = event->status;
      break;
    case HTTP_DATA:
      g_byte_array_append (server->heartbeat_answer, event->bytes,
                           (guint)event->byte_count);
      break;
    case HTTP_ENDED:
      server->heartbeat_pending = FALSE;
      if (event->code == ERR_NONE
          && server->heartbeat_status == SOUP_STATUS_OK)
        take_answer (server);
      soak_server_schedule_heartbeat (server, server->released_range_count > 0
                                                  ? BEAT_SOON_MSEC
                                                  : BEAT_MSEC);
      break;
    case HTTP_BATCH_END:
    case HTTP_DRAINED:
      break;
    }
}

/* Add the list NAME of COUNT ROWS to TEXT; freed ones carry a token.  */
static void
add_rows (GString *text, const char *name, const struct key_range *rows,
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
  struct http_request request
      = { .address = server->control_address, .method = "PUT" };
  char *at = address_format (server->announced_address);
  char *target = g_strdup_printf ("/api/instances/%s", server->instance.id);
  GString *text = g_string_new (NULL);
  struct handle call;

  server->heartbeat_timer = 0;
  server->heartbeat_sent_at = clock_usec ();
  server->heartbeat_pending = TRUE;
  server->heartbeat_status = 0;
  g_byte_array_set_size (server->heartbeat_answer, 0);
  if (server->heartbeat_sent_at >= server->held_until)
    server->held_range_count = 0;
  g_string_append_printf (
      text,
      "{\"address\":\"%s\",\"born\":%" G_GINT64_FORMAT
      ",\"info\":{\"service\":\"%s\",\"slots\":%d},\"status\":{\"state\":"
      "\"ready\",\"seq\":%" G_GUINT64_FORMAT ",\"cold-left-ms\":0}",
      at, server->instance.started_at_msec, server->service, SLOTS,
      ++server->heartbeat_seq);
  add_rows (text, "holds", server->held_ranges, server->held_range_count,
            FALSE);
  add_rows (text, "freed", server->released_ranges,
            server->released_range_count, TRUE);
  g_string_append (text, "}");
  request.target = target;
  request.body_length = (gint64)text->len;
  request.deadline = server->heartbeat_sent_at + BEAT_USEC;
  call = http_start (server->http_client, &request, on_beat_event, server);
  http_write (server->http_client, call, (const guint8 *)text->str, text->len);
  http_finish (server->http_client, call);
  g_string_free (text, TRUE);
  g_free (target);
  g_free (at);
  return G_SOURCE_REMOVE;
}
