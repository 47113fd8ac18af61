#include "tool/tool.h"

#include "edge/json.h"
#include "tool/fleet.h"

#include <stdio.h>
#include <string.h>

#define NODE_TIMEOUT_USEC ((gint64)1000000) /* timeout of one node */

/* The digest of a node's view.  */
struct digest
{
  char host[NAME_SIZE];  /* host of the node */
  gboolean answered;     /* whether the node answered */
  gint64 applied_offset; /* all records below this are applied at the node */
  char digest[17];       /* digest of the node's view */
};

/* Queries the digest of one node.  */
static void
query_digest (const struct fleet_node *node, struct digest *digest)
{
  JsonParser *parser = json_parser_new ();
  struct tool_response response;

  memset (digest, 0, sizeof *digest);
  g_strlcpy (digest->host, node->host, sizeof digest->host);
  tool_request (&response, node->front_address, "GET", "/bambootally/digest",
                NULL, 0, NODE_TIMEOUT_USEC);
  if (response.code == ERR_NONE && response.status == SOUP_STATUS_OK
      && json_parser_load_from_data (parser, response.body->str, -1, NULL)
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    {
      JsonObject *root = json_node_get_object (json_parser_get_root (parser));
      digest->answered = TRUE;
      digest->applied_offset
          = json_object_get_int_member_with_default (root, "next", 0);
      g_strlcpy (
          digest->digest,
          json_object_get_string_member_with_default (root, "digest", ""),
          sizeof digest->digest);
    }
  tool_response_clear (&response);
  g_object_unref (parser);
}

/* Tells whether any two nodes at the same offset have different views.  */
static gboolean
views_differ (const GArray *digests)
{
  guint i;
  guint k;

  for (i = 0; i < digests->len; i++)
    for (k = 0; k < i; k++)
      {
        const struct digest *a = &g_array_index (digests, struct digest, i);
        const struct digest *b = &g_array_index (digests, struct digest, k);
        if (a->answered && b->answered
            && a->applied_offset == b->applied_offset
            && strcmp (a->digest, b->digest) != 0)
          return TRUE;
      }
  return FALSE;
}

/* Prints the digests of all nodes.  */
static void
print_digests (const struct tool *tool, const GArray *digests,
               gboolean diverged)
{
  JsonBuilder *builder = json_builder_new ();
  char *text;
  guint i;

  json_builder_begin_object (builder);
  json_add_boolean (builder, "agree", !diverged);
  json_builder_set_member_name (builder, "nodes");
  json_builder_begin_array (builder);
  for (i = 0; i < digests->len; i++)
    {
      const struct digest *digest = &g_array_index (digests, struct digest, i);
      if (!tool->json_output)
        printf ("%s next=%" G_GINT64_FORMAT " digest=%s\n", digest->host,
                digest->applied_offset,
                digest->answered ? digest->digest : "none");
      json_builder_begin_object (builder);
      json_add_string (builder, "host", digest->host);
      json_add_boolean (builder, "answered", digest->answered);
      json_add_number (builder, "next", digest->applied_offset);
      json_add_string (builder, "digest", digest->digest);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  text = json_finish (builder);
  printf ("%s\n", tool->json_output ? text : diverged ? "differ" : "agree");
  g_free (text);
}

/* Checks that all nodes at the same offset have the same view: digest.  */
int
tool_digest (const struct tool *tool)
{
  GArray *digests = g_array_new (FALSE, TRUE, sizeof (struct digest));
  struct fleet fleet;
  enum err code = fleet_fetch (&fleet, tool);
  gboolean diverged;
  guint i;

  if (code != ERR_NONE)
    tool_print_error (tool, "node", code);
  for (i = 0; i < fleet.nodes->len; i++)
    {
      struct digest digest;
      query_digest (&g_array_index (fleet.nodes, struct fleet_node, i),
                    &digest);
      g_array_append_val (digests, digest);
    }
  diverged = views_differ (digests);
  if (code == ERR_NONE)
    print_digests (tool, digests, diverged);
  fleet_clear (&fleet);
  g_array_free (digests, TRUE);
  if (code != ERR_NONE)
    return TOOL_UNREACHABLE;
  return diverged ? TOOL_DIVERGED : TOOL_OK;
}
