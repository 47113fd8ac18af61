#include "edge/mesh_node.h"

#include "platform/config.h"
#include "platform/evacuation.h"
#include "wire/wire_fleet.h"

#include <string.h>

/* Log that a malformed input was skipped: WHAT names its kind, KEY and OFFSET
   its place in the topic.  */
static void
log_skipped (struct mesh_node *node, const char *what, const char *key,
             guint64 offset)
{
  struct log_event log_event = { .id = LOG_EVENT_MESH_BAD_INPUT };

  g_strlcpy (log_event.text, key, sizeof log_event.text);
  g_snprintf (log_event.detail, sizeof log_event.detail,
              "what=%s offset=%" G_GUINT64_FORMAT " outcome=skipped", what,
              offset);
  mesh_node_log (node, &log_event);
}

/* Report to the decision logic how the read of TOPIC in READ ended.  */
static void
report_read (struct mesh_node *node, enum mesh_topic topic,
             const struct topic_reader_event *read)
{
  struct event event = { .kind = EVENT_TOPIC_READ };

  event.u.topic_read.topic = topic;
  event.u.topic_read.code = read->code;
  event.u.topic_read.at_end = read->at_end;
  event.u.topic_read.started_at = read->started_at;
  mesh_node_handle_event (node, &event);
}

/* Handle records of the fleet topic, or a failure to read it.  Malformed
   records are skipped and logged.  */
void
mesh_node_on_fleet (const struct topic_reader_event *topic, gpointer data)
{
  struct mesh_node *node = data;
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry *entries;
  guint32 count = 0;
  guint i;

  if (topic->code != ERR_NONE)
    {
      report_read (node, MESH_TOPIC_FLEET, topic);
      return;
    }
  entries = g_new0 (struct fleet_entry, topic->item_count + 1);
  for (i = 0; i < topic->item_count; i++)
    {
      const struct store_item *item = &topic->items[i];
      entries[count].offset = item->offset;
      if (wire_fleet_decode (&entries[count].record, item->key, item->value,
                             item->value_length)
          == ERR_NONE)
        count++;
      else
        {
          log_skipped (node, "record", item->key, item->offset);
          memset (&entries[count], 0, sizeof entries[count]);
        }
    }
  event.u.fleet_records.items = entries;
  event.u.fleet_records.count = count;
  event.u.fleet_records.next_offset = topic->next_offset;
  event.u.fleet_records.at_end = topic->at_end;
  event.u.fleet_records.complete = topic->at_end;
  event.u.fleet_records.started_at = topic->started_at;
  mesh_node_handle_event (node, &event);
  report_read (node, MESH_TOPIC_FLEET, topic);
  for (i = 0; i < count; i++)
    fleet_record_clear (&entries[i].record);
  g_free (entries);
}

/* Apply the configuration in ITEM, which was read from the store.  Return
   FALSE if it is malformed; that is logged.  */
static gboolean
handle_config (struct mesh_node *node, const struct store_item *item)
{
  if (mesh_node_apply_config (node, item->value, item->value_length, 0))
    return TRUE;
  log_skipped (node, "configuration", item->key, item->offset);
  return FALSE;
}

/* Append the evacuations among the records in READ to ITEMS.  */
static void
collect_evacuations (GArray *items, const struct topic_reader_event *read)
{
  struct evacuation item;
  guint i;

  for (i = 0; i < read->item_count; i++)
    if (platform_evacuation_read (&read->items[i], &item))
      g_array_append_val (items, item);
}

/* Pass ITEMS, the evacuations that were read up to the end of READ, to the
   decision logic.  */
static void
send_evacuations (struct mesh_node *node, const GArray *items,
                  const struct topic_reader_event *read)
{
  struct event event = { .kind = EVENT_EVACUATIONS };

  event.u.evacuations.items = (const struct evacuation *)items->data;
  event.u.evacuations.count = items->len;
  event.u.evacuations.is_listing = read->is_listing;
  event.u.evacuations.next_offset = read->next_offset;
  mesh_node_handle_event (node, &event);
}

/* Handle the evacuations among the records in READ.  The parts of a listing
   are collected first, since only the whole shows which data centres are not
   evacuated; the end of another read may come in between.  */
static void
handle_evacuations (struct mesh_node *node,
                    const struct topic_reader_event *read)
{
  GArray *items = node->listed_evacuations;

  if (!read->is_listing)
    items = g_array_new (FALSE, TRUE, sizeof (struct evacuation));
  else if (read->is_first)
    g_array_set_size (items, 0);
  collect_evacuations (items, read);
  if (read->next_offset != 0)
    send_evacuations (node, items, read);
  if (!read->is_listing)
    g_array_free (items, TRUE);
}

/* Handle records of the configuration topic, or a failure to read it.  Of
   several configurations only the last one that is not malformed is applied.
   After one that is malformed no read shows that the configuration in force is
   the newest, until a later one is applied.  */
void
mesh_node_on_config (const struct topic_reader_event *topic, gpointer data)
{
  struct mesh_node *node = data;
  struct topic_reader_event read = *topic;
  gboolean any_skipped = FALSE;
  guint i = topic->code == ERR_NONE ? topic->item_count : 0;

  if (topic->code == ERR_NONE)
    handle_evacuations (node, topic);
  while (i-- > 0)
    {
      if (strcmp (topic->items[i].key, PLATFORM_CONFIG_KEY) != 0
          || topic->items[i].value_length == 0)
        continue;
      if (handle_config (node, &topic->items[i]))
        {
          node->config_skipped = any_skipped;
          break;
        }
      any_skipped = node->config_skipped = TRUE;
    }
  read.at_end = topic->at_end && !node->config_skipped;
  report_read (node, MESH_TOPIC_CONFIG, &read);
}
