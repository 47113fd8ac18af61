#include "tool/fleet.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Copy the text of MEMBER to TO.  */
static void
copy_text (JsonObject *object, const char *member, char *to, gsize size)
{
  g_strlcpy (to,
             json_object_get_string_member_with_default (object, member, ""),
             size);
}

/* Read one node of a status.  */
static void
read_node (JsonArray *array, guint i, JsonNode *element, gpointer data)
{
  struct fleet *fleet = data;
  struct fleet_node node = { 0 };
  JsonObject *object = json_node_get_object (element);
  char text[NAME_SIZE];

  (void)array;
  (void)i;
  copy_text (object, "node", text, sizeof text);
  node.incarnation = g_ascii_strtoull (text, NULL, 16);
  copy_text (object, "front", text, sizeof text);
  address_parse (text, &node.front_address);
  copy_text (object, "host", node.host, sizeof node.host);
  copy_text (object, "server", node.server, sizeof node.server);
  copy_text (object, "state", node.state, sizeof node.state);
  copy_text (object, "service", node.service, sizeof node.service);
  node.slice_count
      = json_object_get_int_member_with_default (object, "slices", 0);
  g_array_append_val (fleet->nodes, node);
}

/* Read the nodes of a status.  */
static enum err
read_status (struct fleet *fleet, const char *text)
{
  JsonParser *parser = json_parser_new ();
  enum err code = ERR_MALFORMED;

  if (json_parser_load_from_data (parser, text, -1, NULL)
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    {
      JsonObject *root = json_node_get_object (json_parser_get_root (parser));
      fleet->applied_offset
          = (guint64)json_object_get_int_member_with_default (root, "next", 0);
      if (json_object_has_member (root, "nodes"))
        json_array_foreach_element (
            json_object_get_array_member (root, "nodes"), read_node, fleet);
      code = ERR_NONE;
    }
  g_object_unref (parser);
  return code;
}

/* Ask the node for all nodes; clear FLEET either way.  */
enum err
fleet_fetch (struct fleet *fleet, const struct tool *tool)
{
  struct tool_response answer;
  enum err code;

  fleet->nodes = g_array_new (FALSE, TRUE, sizeof (struct fleet_node));
  fleet->applied_offset = 0;
  tool_request (&answer, tool->node_address, "GET", "/bambootally/status",
                NULL, 0, tool->timeout_usec);
  code = answer.code;
  if (code == ERR_NONE)
    code = answer.status == SOUP_STATUS_OK
               ? read_status (fleet, answer.body->str)
               : ERR_UNAVAILABLE;
  tool_response_clear (&answer);
  return code;
}

/* Release FLEET.  */
void
fleet_clear (struct fleet *fleet)
{
  g_array_free (fleet->nodes, TRUE);
}

/* Find a node by its incarnation, or by its host or server if just one node
   bears that name, or NULL.  */
const struct fleet_node *
fleet_find (const struct fleet *fleet, const char *word)
{
  const struct fleet_node *found = NULL;
  guint64 incarnation = g_ascii_strtoull (word, NULL, 16);
  guint hosts = 0;
  guint i;

  for (i = 0; i < fleet->nodes->len; i++)
    {
      const struct fleet_node *node
          = &g_array_index (fleet->nodes, struct fleet_node, i);
      if (strlen (word) == 16 && node->incarnation == incarnation)
        return node;
      if (strcmp (node->host, word) != 0 && strcmp (node->server, word) != 0)
        continue;
      found = node;
      hosts++;
    }
  return hosts == 1 ? found : NULL;
}
