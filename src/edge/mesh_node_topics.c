#include "edge/mesh_node.h"

#include "platform/config.h"
#include "wire/wire_fleet.h"

#include <string.h>

/* Say that WHAT under KEY was skipped.  */
static void
note_bad (struct mesh_node *node, const char *what, const char *key,
          guint64 offset)
{
  struct log_event log_event = { .id = LOG_EVENT_MESH_BAD_INPUT };

  g_strlcpy (log_event.text, key, sizeof log_event.text);
  g_snprintf (log_event.detail, sizeof log_event.detail,
              "what=%s offset=%" G_GUINT64_FORMAT " outcome=skipped", what,
              offset);
  mesh_node_log (node, &log_event);
}

/* Tell the core whether the store answers.  */
static void
tell_store (struct mesh_node *node, gboolean lost)
{
  struct event event = { .kind = EVENT_STORE_STATE };

  event.u.store.unreachable = lost;
  mesh_node_handle_event (node, &event);
}

/* Records of the fleet came, or the topic cannot be read.  */
void
mesh_node_on_fleet (const struct topic_reader_event *feed, gpointer data)
{
  struct mesh_node *node = data;
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry *entries;
  guint32 count = 0;
  guint i;

  tell_store (node, feed->code != ERR_NONE);
  if (feed->code != ERR_NONE)
    return;
  entries = g_new0 (struct fleet_entry, feed->item_count + 1);
  for (i = 0; i < feed->item_count; i++)
    {
      const struct store_item *item = &feed->items[i];
      entries[count].offset = item->offset;
      if (wire_fleet_decode (&entries[count].record, item->key, item->value,
                             item->value_length)
          == ERR_NONE)
        count++;
      else
        {
          note_bad (node, "record", item->key, item->offset);
          memset (&entries[count], 0, sizeof entries[count]);
        }
    }
  event.u.fleet.items = entries;
  event.u.fleet.count = count;
  event.u.fleet.next_offset = feed->next_offset;
  event.u.fleet.at_end = feed->at_end;
  event.u.fleet.complete = feed->at_end;
  event.u.fleet.started_at = feed->started_at;
  mesh_node_handle_event (node, &event);
  for (i = 0; i < count; i++)
    fleet_record_clear (&entries[i].record);
  g_free (entries);
}

/* A configuration was read from the store.  */
static void
take_config (struct mesh_node *node, const struct store_item *item)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct routing *routing
      = platform_config_read (item->value, item->value_length);

  if (routing == NULL)
    {
      note_bad (node, "configuration", item->key, item->offset);
      return;
    }
  if (node->mesh.routing == NULL
      || routing->version > node->mesh.routing->version)
    {
      g_byte_array_set_size (node->config_bytes, 0);
      g_byte_array_append (node->config_bytes, item->value,
                           (guint)item->value_length);
    }
  event.u.routing.routing = routing;
  mesh_node_handle_event (node, &event);
}

/* Records of the operator came, or the topic cannot be read.  */
void
mesh_node_on_config (const struct topic_reader_event *feed, gpointer data)
{
  struct mesh_node *node = data;
  guint i;

  tell_store (node, feed->code != ERR_NONE);
  for (i = 0; feed->code == ERR_NONE && i < feed->item_count; i++)
    if (strcmp (feed->items[i].key, PLATFORM_CONFIG_KEY) == 0
        && feed->items[i].value_length > 0)
      take_config (node, &feed->items[i]);
}
