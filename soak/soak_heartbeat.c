#include "soak/soak_server.h"

#include "platform/json_fields.h"
#include "types/clock.h"

#include <string.h>

#define HEARTBEAT_MSEC 900u       /* interval between heartbeats */
#define EARLY_HEARTBEAT_MSEC 100u /* interval after keys were released */
#define HEARTBEAT_TIMEOUT_USEC ((gint64)1000000)
#define SLOT_COUNT 8 /* requests that the server may run at the same time */

/* Keys */

/* Return TRUE if RANGE lies within one of the COUNT RANGES.  */
static gboolean
is_covered (const struct key_range *ranges, guint32 count,
            const struct key_range *range)
{
  guint32 i;

  for (i = 0; i < count; i++)
    if (ranges[i].first <= range->first && range->last <= ranges[i].last)
      return TRUE;
  return FALSE;
}

/* Read the key ranges of LIST into RANGES; return how many there are.  */
static guint32
read_ranges (JsonArray *list, struct key_range *ranges)
{
  guint32 count = MIN (json_array_get_length (list), ANSWER_RANGES_MAX);
  guint32 i;

  for (i = 0; i < count; i++)
    {
      JsonArray *range = json_array_get_array_element (list, i);
      ranges[i].first = (guint32)json_array_get_int_element (range, 0);
      ranges[i].last = (guint32)json_array_get_int_element (range, 1);
      ranges[i].fence = (guint64)json_array_get_int_element (range, 2);
    }
  return count;
}

/* Hold the COUNT RANGES for HOLD_MSEC from the time the heartbeat was sent.
   Ranges held so far that are not among them become released.  */
static void
hold_ranges (struct soak_server *server, const struct key_range *ranges,
             guint32 count, gint64 hold_msec)
{
  gint64 now = clock_usec ();
  guint32 i;

  server->released_range_count = 0;
  for (i = 0; now < server->held_until && i < server->held_range_count; i++)
    if (!is_covered (ranges, count, &server->held_ranges[i]))
      server->released_ranges[server->released_range_count++]
          = server->held_ranges[i];
  memcpy (server->held_ranges, ranges, count * sizeof *ranges);
  server->held_range_count = count;
  server->held_until = server->heartbeat_sent_at + hold_msec * USEC_PER_MSEC;
}

/* Heartbeats */

static gboolean on_heartbeat_timer (gpointer data);

/* Send the next heartbeat in MSEC milliseconds.  */
void
soak_server_schedule_heartbeat (struct soak_server *server, guint msec)
{
  if (server->heartbeat_timer != 0)
    g_source_remove (server->heartbeat_timer);
  server->heartbeat_timer = g_timeout_add (msec, on_heartbeat_timer, server);
}

/* Read the answer to a heartbeat, which names the ranges to hold.  */
static void
read_answer (struct soak_server *server)
{
  JsonParser *parser = json_fields_parse (server->heartbeat_answer->data,
                                          server->heartbeat_answer->len);
  struct key_range ranges[ANSWER_RANGES_MAX] = { 0 };
  JsonArray *list;
  gint64 hold_msec;

  if (parser == NULL)
    return;
  list = json_field_array (json_fields_root (parser), "holds");
  if (list != NULL
      && json_field_number (json_fields_root (parser), "hold-ms", &hold_msec))
    hold_ranges (server, ranges, read_ranges (list, ranges), hold_msec);
  g_object_unref (parser);
}

/* Handle an event of the HTTP client for the heartbeat in flight.  */
static void
on_heartbeat_event (const struct http_event *event, gpointer data)
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
        {
          soak_cold_on_answered (&server->cold, clock_usec ());
          read_answer (server);
        }
      soak_server_schedule_heartbeat (server, server->released_range_count > 0
                                                  ? EARLY_HEARTBEAT_MSEC
                                                  : HEARTBEAT_MSEC);
      break;
    case HTTP_BATCH_END:
    case HTTP_DRAINED:
      break;
    }
}

/* Append the JSON list NAME of COUNT RANGES to TEXT.  RELEASED ranges carry a
   handover token in place of the fence.  */
static void
add_ranges (GString *text, const char *name, const struct key_range *ranges,
            guint32 count, gboolean released)
{
  guint32 i;

  g_string_append_printf (text, ",\"%s\":[", name);
  for (i = 0; i < count; i++)
    if (released)
      g_string_append_printf (text, "%s[%u,%u,\"t%u\"]", i > 0 ? "," : "",
                              ranges[i].first, ranges[i].last,
                              ranges[i].first);
    else
      g_string_append_printf (text, "%s[%u,%u,%" G_GUINT64_FORMAT "]",
                              i > 0 ? "," : "", ranges[i].first,
                              ranges[i].last, ranges[i].fence);
  g_string_append (text, "]");
}

/* Send a heartbeat.  Timer callback; DATA is the server.  */
static gboolean
on_heartbeat_timer (gpointer data)
{
  struct soak_server *server = data;
  struct http_request request
      = { .address = server->control_address, .method = "PUT" };
  char *address_text = address_format (server->announced_address);
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
      "\"ready\",\"seq\":%" G_GUINT64_FORMAT
      ",\"cold-left-ms\":%" G_GINT64_FORMAT "}",
      address_text, server->instance.started_at_msec, server->service,
      SLOT_COUNT, ++server->heartbeat_seq,
      soak_cold_tell_msec (&server->cold, server->heartbeat_sent_at));
  add_ranges (text, "holds", server->held_ranges, server->held_range_count,
              FALSE);
  add_ranges (text, "freed", server->released_ranges,
              server->released_range_count, TRUE);
  g_string_append (text, "}");
  request.target = target;
  request.body_length = (gint64)text->len;
  request.deadline = server->heartbeat_sent_at + HEARTBEAT_TIMEOUT_USEC;
  call
      = http_start (server->http_client, &request, on_heartbeat_event, server);
  http_write (server->http_client, call, (const guint8 *)text->str, text->len);
  http_finish (server->http_client, call);
  g_string_free (text, TRUE);
  g_free (target);
  g_free (address_text);
  return G_SOURCE_REMOVE;
}
