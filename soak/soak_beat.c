#include "soak/soak_server.h"

#include "platform/json_fields.h"
#include "types/clock.h"

#include <string.h>

#define HEARTBEAT_MSEC 900u /* interval between heartbeats */
#define EARLY_HEARTBEAT_MSEC                                                  \
  100u /* interval after keys were released, so that the node learns it early \
        */
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
  guint32 count = MIN (json_array_get_length (list), HEARTBEAT_RANGES_MAX);
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

  server->freed = 0;
  for (i = 0; now < server->hold_until && i < server->held; i++)
    if (!is_covered (ranges, count, &server->hold[i]))
      server->free[server->freed++] = server->hold[i];
  memcpy (server->hold, ranges, count * sizeof *ranges);
  server->held = count;
  server->hold_until = server->beat_sent + hold_msec * USEC_PER_MSEC;
}

/* Heartbeats */

static gboolean on_heartbeat_timer (gpointer data);

/* Send the next heartbeat in MSEC milliseconds.  */
void
soak_server_beat_in (struct soak_server *server, guint msec)
{
  if (server->timer != 0)
    g_source_remove (server->timer);
  server->timer = g_timeout_add (msec, on_heartbeat_timer, server);
}

/* Read the answer to a heartbeat, which names the ranges to hold.  */
static void
read_answer (struct soak_server *server)
{
  JsonParser *parser
      = json_fields_parse (server->answer->data, server->answer->len);
  struct key_range ranges[HEARTBEAT_RANGES_MAX] = { 0 };
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
      server->status = event->status;
      break;
    case HTTP_DATA:
      g_byte_array_append (server->answer, event->bytes, (guint)event->count);
      break;
    case HTTP_ENDED:
      server->beating = FALSE;
      if (event->code == ERR_NONE && server->status == SOUP_STATUS_OK)
        read_answer (server);
      soak_server_beat_in (server, server->freed > 0 ? EARLY_HEARTBEAT_MSEC
                                                     : HEARTBEAT_MSEC);
      break;
    case HTTP_FLUSH:
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
  struct http_request request = { .to = server->node, .method = "PUT" };
  char *address_text = address_format (server->told);
  char *target = g_strdup_printf ("/api/instances/%s", server->instance.id);
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
      address_text, server->instance.started_at_msec, server->service,
      SLOT_COUNT, ++server->number);
  add_ranges (text, "holds", server->hold, server->held, FALSE);
  add_ranges (text, "freed", server->free, server->freed, TRUE);
  g_string_append (text, "}");
  request.target = target;
  request.length = (gint64)text->len;
  request.deadline = server->beat_sent + HEARTBEAT_TIMEOUT_USEC;
  call = http_start (server->http, &request, on_heartbeat_event, server);
  http_write (server->http, call, (const guint8 *)text->str, text->len);
  http_finish (server->http, call);
  g_string_free (text, TRUE);
  g_free (target);
  g_free (address_text);
  return G_SOURCE_REMOVE;
}
