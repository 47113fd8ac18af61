#include "tool/record_line.h"

#include "edge/json.h"

#include <string.h>

/* Records for operators: each as one JSON object, or a line of the same
   fields.  */

/* Add a node by its incarnation, unless it is 0.  */
static void
add_node (JsonBuilder *builder, const char *name, guint64 incarnation)
{
  if (incarnation != 0)
    json_add_incarnation (builder, name, incarnation);
}

/* Add the fields of a join.  */
static void
add_join (JsonBuilder *builder, const struct record_join *join)
{
  char *front = address_format (join->http_address);

  add_node (builder, "node", join->incarnation);
  json_add_string (builder, "host", join->host);
  json_add_string (builder, "zone", join->zone);
  json_add_string (builder, "service", join->service);
  json_add_string (builder, "server", join->server);
  json_add_string (builder, "front", front);
  json_add_number (builder, "slots", join->slots);
  g_free (front);
}

/* Add the fields of a witness set.  */
static void
add_witness (JsonBuilder *builder, const struct record_witness_set *witness)
{
  guint32 i;

  add_node (builder, "node", witness->incarnation);
  json_add_number (builder, "epoch", (gint64)witness->replaced_epoch);
  json_builder_set_member_name (builder, "witnesses");
  json_builder_begin_array (builder);
  for (i = 0; i < witness->witness_count; i++)
    {
      char text[17];
      g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x",
                  witness->witnesses[i]);
      json_builder_add_string_value (builder, text);
    }
  json_builder_end_array (builder);
}

/* Add the fields of one slice.  */
static void
add_slice (JsonBuilder *builder, const struct record_slice *slice)
{
  json_builder_begin_object (builder);
  json_add_number (builder, "slice", slice->slice);
  json_add_number (builder, "epoch", (gint64)slice->epoch);
  add_node (builder, "owner", slice->owner);
  add_node (builder, "successor", slice->successors[0]);
  json_builder_end_object (builder);
}

/* Add the fields of slices.  */
static void
add_slices (JsonBuilder *builder, const struct record_slices *slices)
{
  guint32 i;

  json_add_string (builder, "service", slices->service);
  json_add_number (builder, "count", slices->count);
  json_builder_set_member_name (builder, "slices");
  json_builder_begin_array (builder);
  for (i = 0; i < slices->count; i++)
    add_slice (builder, &slices->items[i]);
  json_builder_end_array (builder);
}

/* Add the fields of the body of RECORD.  */
static void
add_body (JsonBuilder *builder, const struct record *record)
{
  static const char *const causes[] = { "certificate", "left", "declared" };
  const union record_body *body = &record->body;

  switch (record->kind)
    {
    case RECORD_CONFIG:
      json_add_number (builder, "base", (gint64)body->config.base_offset);
      json_add_string (builder, "author", body->config.author);
      json_add_number (builder, "bytes", (gint64)strlen (body->config.text));
      break;
    case RECORD_JOIN:
      add_join (builder, &body->join);
      break;
    case RECORD_LEAVING:
      add_node (builder, "node", body->leaving.incarnation);
      break;
    case RECORD_REMOVED:
      add_node (builder, "node", body->removed.incarnation);
      json_add_number (builder, "floor", (gint64)body->removed.floor);
      json_add_string (builder, "cause",
                       body->removed.cause < G_N_ELEMENTS (causes)
                           ? causes[body->removed.cause]
                           : "unnamed");
      break;
    case RECORD_WITNESS_SET:
      add_witness (builder, &body->witness_set);
      break;
    case RECORD_ASSIGN:
    case RECORD_MOVE:
    case RECORD_MOVED:
    case RECORD_SUCCESSOR:
      add_slices (builder, &body->slices);
      break;
    case RECORD_HOT_KEY:
      json_add_string (builder, "service", body->hot_key.service);
      json_add_string (builder, "key", body->hot_key.key);
      json_add_boolean (builder, "drop", body->hot_key.is_removal);
      break;
    case RECORD_SUSPECT:
      json_add_incarnation (builder, "digest", body->suspect.digest);
      add_node (builder, "node", body->suspect.incarnation);
      break;
    case RECORD_SNAPSHOT:
      json_add_number (builder, "snapshot",
                       (gint64)body->snapshot.snapshot_offset);
      json_add_number (builder, "chunk", body->snapshot.chunk_index);
      json_add_number (builder, "chunks", body->snapshot.chunk_count);
      json_add_number (builder, "bytes", body->snapshot.length);
      break;
    }
}

/* Write RECORD, which stands at OFFSET, as a JSON object; free the text with
   g_free.  */
char *
record_line_json (guint64 offset, const struct record *record)
{
  JsonBuilder *builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_add_number (builder, "offset", (gint64)offset);
  if (record->version == RECORD_VERSION_MALFORMED)
    json_add_string (builder, "kind", "malformed");
  else
    {
      json_add_string (builder, "kind",
                       record->version > RECORD_VERSION
                           ? "later-version"
                           : record_kind_name (record->kind));
      json_add_number (builder, "version", record->version);
      json_add_incarnation (builder, "writer", record->writer);
      json_add_number (builder, "serial", (gint64)record->serial);
    }
  if (record->version == RECORD_VERSION)
    add_body (builder, record);
  json_builder_end_object (builder);
  return json_finish (builder);
}

/* Write RECORD as a line: offset, kind, and the fields without quotes; free
   the text with g_free.  */
char *
record_line_text (guint64 offset, const struct record *record)
{
  char *json = record_line_json (offset, record);
  GString *line = g_string_new (NULL);
  const char *c;
  guint depth = 0;

  for (c = json; *c != '\0'; c++)
    {
      if (*c == '{' || *c == '[')
        depth++;
      if (*c == '}' || *c == ']')
        depth--;
      if (*c == '"' || (depth <= 1 && (*c == '{' || *c == '}')))
        continue;
      if (*c == ',' && depth <= 1)
        g_string_append_c (line, ' ');
      else if (*c == ':' && depth <= 1)
        g_string_append_c (line, '=');
      else
        g_string_append_c (line, *c);
    }
  g_free (json);
  return g_string_free (line, FALSE);
}
