#include "tool/fleet.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Copies the string in the field MEMBER to TO.  */
static void
copy_text (JsonObject *object, const char *member, char *to, gsize size)
{
  g_strlcpy (to,
             json_object_get_string_member_with_default (object, member, ""),
             size);
}

/* Reads one node of a status answer.  */
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

/* Reads all nodes of a status answer.  */
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

/* Fetches the list of nodes from the node that TOOL names.  FLEET must be
   cleared also after an error.  */
enum err
fleet_fetch (struct fleet *fleet, const struct tool *tool)
{
  struct tool_response response;
  enum err code;

  fleet->nodes = g_array_new (FALSE, TRUE, sizeof (struct fleet_node));
  fleet->applied_offset = 0;
  tool_request (&response, tool->node_address, "GET", "/bambootally/status",
                NULL, 0, tool->timeout_usec);
  code = response.code;
  if (code == ERR_NONE)
    code = response.status == SOUP_STATUS_OK
               ? read_status (fleet, response.body->str)
               : ERR_UNAVAILABLE;
  tool_response_clear (&response);
  return code;
}

/* Frees the memory of FLEET.  */
void
fleet_clear (struct fleet *fleet)
{
  g_array_free (fleet->nodes, TRUE);
}

/* Finds a node by its incarnation, or by the name of its host or server if
   only one node has that name.  Returns NULL if there is none.  */
const struct fleet_node *
fleet_find (const struct fleet *fleet, const char *name)
{
  const struct fleet_node *found = NULL;
  guint64 incarnation = g_ascii_strtoull (name, NULL, 16);
  guint matches = 0;
  guint i;

  for (i = 0; i < fleet->nodes->len; i++)
    {
      const struct fleet_node *node
          = &g_array_index (fleet->nodes, struct fleet_node, i);
      if (strlen (name) == 16 && node->incarnation == incarnation)
        return node;
      if (strcmp (node->host, name) != 0 && strcmp (node->server, name) != 0)
        continue;
      found = node;
      matches++;
    }
  return matches == 1 ? found : NULL;
}
