#include "tool/tool.h"

#include "edge/json.h"
#include "tool/fleet.h"

#include <stdio.h>
#include <string.h>

#define NODE_TIMEOUT_USEC ((gint64)1000000) /* one node may take */

/* What one node says of its view.  */
struct digest
{
  char host[NAME_SIZE]; /* its host */
  gboolean answered;    /* whether it said anything */
  gint64 next;          /* offset it is at */
  char digest[17];      /* of its view */
};

/* Ask one node.  */
static void
ask_digest (const struct fleet_node *node, struct digest *digest)
{
  JsonParser *parser = json_parser_new ();
  struct tool_response answer;

  memset (digest, 0, sizeof *digest);
  g_strlcpy (digest->host, node->host, sizeof digest->host);
  tool_request (&answer, node->front_address, "GET", "/bambootally/digest",
                NULL, 0, NODE_TIMEOUT_USEC);
  if (answer.code == ERR_NONE && answer.status == SOUP_STATUS_OK
      && json_parser_load_from_data (parser, answer.body->str, -1, NULL)
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    {
      JsonObject *root = json_node_get_object (json_parser_get_root (parser));
      digest->answered = TRUE;
      digest->next = json_object_get_int_member_with_default (root, "next", 0);
      g_strlcpy (
          digest->digest,
          json_object_get_string_member_with_default (root, "digest", ""),
          sizeof digest->digest);
    }
  tool_response_clear (&answer);
  g_object_unref (parser);
}

/* Tell whether any two nodes at the same offset have different views.  */
static gboolean
differ (const GArray *digests)
{
  guint i;
  guint k;

  for (i = 0; i < digests->len; i++)
    for (k = 0; k < i; k++)
      {
        const struct digest *a = &g_array_index (digests, struct digest, i);
        const struct digest *b = &g_array_index (digests, struct digest, k);
        if (a->answered && b->answered && a->next == b->next
            && strcmp (a->digest, b->digest) != 0)
          return TRUE;
      }
  return FALSE;
}

/* Print what the nodes said.  */
static void
print_digests (const struct tool *tool, const GArray *digests,
               gboolean disagree)
{
  JsonBuilder *builder = json_builder_new ();
  char *text;
  guint i;

  json_builder_begin_object (builder);
  json_add_boolean (builder, "agree", !disagree);
  json_builder_set_member_name (builder, "nodes");
  json_builder_begin_array (builder);
  for (i = 0; i < digests->len; i++)
    {
      const struct digest *digest = &g_array_index (digests, struct digest, i);
      if (!tool->json_output)
        printf ("%s next=%" G_GINT64_FORMAT " digest=%s\n", digest->host,
                digest->next, digest->answered ? digest->digest : "none");
      json_builder_begin_object (builder);
      json_add_string (builder, "host", digest->host);
      json_add_boolean (builder, "answered", digest->answered);
      json_add_number (builder, "next", digest->next);
      json_add_string (builder, "digest", digest->digest);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  text = json_finish (builder);
  printf ("%s\n", tool->json_output ? text : disagree ? "differ" : "agree");
  g_free (text);
}

/* Check that all nodes at the same offset hold the same view: digest.  */
int
tool_digest (const struct tool *tool)
{
  GArray *digests = g_array_new (FALSE, TRUE, sizeof (struct digest));
  struct fleet fleet;
  enum err code = fleet_fetch (&fleet, tool);
  gboolean disagree;
  guint i;

  if (code != ERR_NONE)
    tool_print_error (tool, "node", code);
  for (i = 0; i < fleet.nodes->len; i++)
    {
      struct digest digest;
      ask_digest (&g_array_index (fleet.nodes, struct fleet_node, i), &digest);
      g_array_append_val (digests, digest);
    }
  disagree = differ (digests);
  if (code == ERR_NONE)
    print_digests (tool, digests, disagree);
  fleet_clear (&fleet);
  g_array_free (digests, TRUE);
  if (code != ERR_NONE)
    return TOOL_UNREACHABLE;
  return disagree ? TOOL_DIVERGED : TOOL_OK;
}
