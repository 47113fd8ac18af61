#include "edge/json.h"

/* Add a text.  */
void
json_add_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

/* Add a number.  */
void
json_add_number (JsonBuilder *builder, const char *name, gint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

/* Add true or false.  */
void
json_add_boolean (JsonBuilder *builder, const char *name, gboolean value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}

/* Add an incarnation, as 16 hexadecimal digits.  */
void
json_add_incarnation (JsonBuilder *builder, const char *name, guint64 value)
{
  char text[17];

  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", value);
  json_add_string (builder, name, text);
}

/* Write what BUILDER holds and release it; free the text with g_free.  */
char *
json_finish (JsonBuilder *builder)
{
  JsonNode *root = json_builder_get_root (builder);
  char *text = json_to_string (root, FALSE);

  json_node_unref (root);
  g_object_unref (builder);
  return text;
}
